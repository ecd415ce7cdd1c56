//! Rendezvous hashing: each box computes by itself which box owns a role.

use sha2::{Digest, Sha256};
use wingspur_state::{BoxId, mix};

/// A set of boxes with their hashes precomputed, to find the owners of many roles.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RendezvousSet {
    boxes: Vec<(u64, BoxId)>,
}

impl RendezvousSet {
    /// Creates a set of boxes, computing their hashes.
    pub fn new(boxes: impl IntoIterator<Item = BoxId>) -> Self {
        Self::from_hashed(boxes.into_iter().map(|id| (hash_of(&id), id)))
    }

    /// Creates a set of boxes from their hashes by `hash_of`.
    pub fn from_hashed(boxes: impl IntoIterator<Item = (u64, BoxId)>) -> Self {
        Self {
            boxes: boxes.into_iter().collect(),
        }
    }

    /// Returns the box that owns a role, or `None` if the set is empty. Removing any
    /// other box from the set does not move the role.
    pub fn owner(&self, role: &str) -> Option<&BoxId> {
        let role = hash_of(role);
        let best = self
            .boxes
            .iter()
            .max_by_key(|(hash, id)| (mix(*hash ^ role), id));
        best.map(|(_, id)| id)
    }

    /// Returns whether a box is among the first `count` candidates for a role.
    pub fn is_in_top(&self, role: &str, count: usize, id: &BoxId) -> bool {
        let role = hash_of(role);
        let own = mix(hash_of(id) ^ role);
        let ranked_before = self.boxes.iter().filter(|(hash, other)| {
            let weight = mix(*hash ^ role);
            weight > own || (weight == own && other > id)
        });
        ranked_before.count() < count
    }

    /// Returns the boxes of the set.
    pub fn ids(&self) -> impl ExactSizeIterator<Item = &BoxId> {
        self.boxes.iter().map(|(_, id)| id)
    }
}

/// Returns the first 64 bits of a text's SHA-256, which are the same on every box and in
/// every release.
pub fn hash_of(text: &str) -> u64 {
    let digest = Sha256::digest(text.as_bytes());
    let mut start = [0; 8];
    start.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(start)
}
