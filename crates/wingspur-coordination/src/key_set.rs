//! Sets of servers that take a bit a server: one stands for each link and source of updates.

use std::collections::HashMap;

use fixedbitset::FixedBitSet;
use wingspur_state::ServerKey;

/// Numbers the servers that sets are made of.
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
    /// The position of a server, which it keeps.
    pub fn position(&mut self, key: ServerKey) -> usize {
        let next = self.keys.len();
        let position = *self.positions.entry(key).or_insert(next);
        if position == next {
            self.keys.push(key);
        }
        position
    }

    /// The server at a position that was given out.
    pub fn key(&self, position: usize) -> ServerKey {
        self.keys[position]
    }
}

impl KeySet {
    /// Whether it holds nothing.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Whether it holds a server.
    pub fn contains(&self, position: usize) -> bool {
        self.bits.contains(position)
    }

    /// Adds a server.
    pub fn insert(&mut self, position: usize) {
        self.bits.grow(position + 1);
        self.length += usize::from(!self.bits.put(position));
    }

    /// Removes a server.
    pub fn remove(&mut self, position: usize) {
        if self.bits.contains(position) {
            self.bits.set(position, false);
            self.length -= 1;
        }
    }

    /// Removes all servers, and returns them.
    pub fn take(&mut self) -> Vec<usize> {
        let taken = self.bits.ones().collect();
        self.bits.clear();
        self.length = 0;
        taken
    }

    /// Removes at most so many servers, from the position `next` on and around, and returns
    /// them; moves `next` behind them, so that each has its turn.
    pub fn take_from(&mut self, next: &mut usize, most: usize) -> Vec<usize> {
        if self.length <= most {
            return self.take();
        }
        let behind = self.bits.ones().skip_while(|position| position < next);
        let before = self.bits.ones().take_while(|position| position < next);
        let taken: Vec<usize> = behind.chain(before).take(most).collect();
        for position in &taken {
            self.remove(*position);
        }
        if let Some(last) = taken.last() {
            *next = last + 1;
        }
        taken
    }
}
