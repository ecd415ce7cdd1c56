//! Rendezvous hashing: which box holds a role, by every box's own reckoning.

use sha2::{Digest, Sha256};
use wingspur_state::BoxId;

/// Boxes with their hashes, ready for many placements.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RendezvousSet {
    boxes: Vec<(u64, BoxId)>,
}

impl RendezvousSet {
    /// A roster of these boxes.
    pub fn new(boxes: impl IntoIterator<Item = BoxId>) -> Self {
        Self::from_hashed(boxes.into_iter().map(|id| (hash_of(&id), id)))
    }

    /// A roster of boxes whose hashes, by `hash_of`, are known.
    pub fn from_hashed(boxes: impl IntoIterator<Item = (u64, BoxId)>) -> Self {
        Self {
            boxes: boxes.into_iter().collect(),
        }
    }

    /// The box that holds a role; the role moves only when its holder goes.
    pub fn owner(&self, role: &str) -> Option<&BoxId> {
        let role = hash_of(role);
        let best = self
            .boxes
            .iter()
            .max_by_key(|(hash, id)| (mix(*hash ^ role), id));
        best.map(|(_, id)| id)
    }

    /// Whether a box is among the first `count` for a role.
    pub fn is_in_top(&self, role: &str, count: usize, id: &BoxId) -> bool {
        let role = hash_of(role);
        let own = mix(hash_of(id) ^ role);
        let before = self.boxes.iter().filter(|(hash, other)| {
            let weight = mix(*hash ^ role);
            weight > own || (weight == own && other > id)
        });
        before.count() < count
    }

    /// The boxes.
    pub fn ids(&self) -> impl ExactSizeIterator<Item = &BoxId> {
        self.boxes.iter().map(|(_, id)| id)
    }
}

/// The first 64 bits of a text's SHA-256: the same on every box and in every release.
pub fn hash_of(text: &str) -> u64 {
    let digest = Sha256::digest(text.as_bytes());
    let mut start = [0; 8];
    start.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(start)
}

/// Spreads a hash over all bits (the finaliser of SplitMix64).
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
