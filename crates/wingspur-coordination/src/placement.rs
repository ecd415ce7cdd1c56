//! Rendezvous hashing: which box holds a role, by every box's own reckoning.

use sha2::{Digest, Sha256};
use wingspur_state::BoxId;

/// The box among `boxes` that holds `role`; a role moves only when its holder goes.
pub fn owner_of<'a>(
    role: &str,
    boxes: impl Iterator<Item = &'a BoxId>,
) -> Option<&'a BoxId> {
    boxes.max_by_key(|id| (weight(role, id), *id))
}

/// The first `count` boxes for a role, the holder first.
pub fn ranked<'a>(
    role: &str,
    boxes: impl Iterator<Item = &'a BoxId>,
    count: usize,
) -> Vec<&'a BoxId> {
    let mut ranked: Vec<(u64, &BoxId)> = boxes.map(|id| (weight(role, id), id)).collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.into_iter().take(count).map(|(_, id)| id).collect()
}

fn weight(role: &str, id: &BoxId) -> u64 {
    let mut hash = Sha256::new();
    hash.update((role.len() as u64).to_le_bytes());
    hash.update(role.as_bytes());
    hash.update(id.as_bytes());
    let digest = hash.finalize();
    let mut start = [0; 8];
    start.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(start)
}
