//! Sets of servers with one bit per server. There is a set for each link and source of
//! updates.

use std::collections::HashMap;

use fixedbitset::FixedBitSet;
use wingspur_state::ServerKey;

/// Assigns each server the position that stands for it in a `KeySet`.
#[derive(Debug, Default)]
pub struct KeyIndex {
    positions: HashMap<ServerKey, usize>,
    keys: Vec<ServerKey>,
}

/// A set of servers by their positions in an index.
#[derive(Debug, Default)]
pub struct KeySet {
    bits: FixedBitSet,
    length: usize,
}

impl KeyIndex {
    /// Returns the position of a server, assigning one at the first call. It never
    /// changes.
    pub fn position(&mut self, key: ServerKey) -> usize {
        let next = self.keys.len();
        let position = *self.positions.entry(key).or_insert(next);
        if position == next {
            self.keys.push(key);
        }
        position
    }

    /// Returns the server at a position.
    ///
    /// Panics if `position` was not returned by this index.
    pub fn key(&self, position: usize) -> ServerKey {
        self.keys[position]
    }
}

impl KeySet {
    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns whether the set contains the server at a position.
    pub fn contains(&self, position: usize) -> bool {
        self.bits.contains(position)
    }

    /// Adds the server at a position.
    pub fn insert(&mut self, position: usize) {
        self.bits.grow(position + 1);
        self.length += usize::from(!self.bits.put(position));
    }

    /// Removes the server at a position.
    pub fn remove(&mut self, position: usize) {
        if self.bits.contains(position) {
            self.bits.set(position, false);
            self.length -= 1;
        }
    }

    /// Removes all servers and returns their positions.
    pub fn take(&mut self) -> Vec<usize> {
        let taken = self.bits.ones().collect();
        self.bits.clear();
        self.length = 0;
        taken
    }

    /// Removes at most `max_count` servers and returns their positions.
    ///
    /// Starts at the position `next` and wraps around. If servers remain in the set,
    /// `next` moves past the last one taken, so that all servers are taken in turn.
    pub fn take_from(&mut self, next: &mut usize, max_count: usize) -> Vec<usize> {
        if self.length <= max_count {
            return self.take();
        }
        let from_next = self.bits.ones().skip_while(|position| position < next);
        let before_next = self.bits.ones().take_while(|position| position < next);
        let taken: Vec<usize> = from_next.chain(before_next).take(max_count).collect();
        for position in &taken {
            self.remove(*position);
        }
        if let Some(last) = taken.last() {
            *next = last + 1;
        }
        taken
    }
}
