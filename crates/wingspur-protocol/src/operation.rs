//! Once-only operations, and the segments of their log in the store.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Identifies an operation by a digest of its service and its key.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct OperationId(pub u128);

impl OperationId {
    /// Returns the id of the operation with this key at this service.
    ///
    /// The id is 128 bits of a SHA-256 digest, so collisions of two keys are not
    /// expected.
    pub fn new(service: &str, key: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update((service.len() as u64).to_le_bytes());
        hash.update(service.as_bytes());
        hash.update(key.as_bytes());
        let digest = hash.finalize();
        let mut start = [0; 16];
        start.copy_from_slice(&digest[..16]);
        Self(u128::from_le_bytes(start))
    }

    /// Returns the index of the shard that stores the operation, out of `shards` shards.
    pub fn shard(self, shards: u32) -> u32 {
        (self.0 % u128::from(shards.max(1))) as u32
    }
}

/// The outcome of an attempt at an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperationOutcome {
    /// A response arrived, so the operation ran.
    Ran,
    /// The operation certainly did not run; its key may be claimed again.
    NotRun,
    /// The operation may have run.
    Unknown,
}

/// An entry of a shard's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogEntry {
    /// The box that generated the nonce may send the operation.
    Claimed {
        /// The operation.
        operation: OperationId,
        /// The claim's nonce.
        nonce: u64,
        /// The time at which the claim was recorded, in milliseconds since the Unix epoch
        /// by the recording box's clock. It serves retention only, never fencing.
        at_unix_ms: u64,
    },
    /// The attempt at the operation ended.
    Ended {
        /// The operation.
        operation: OperationId,
        /// The claim's nonce.
        nonce: u64,
        /// How the attempt ended.
        outcome: OperationOutcome,
    },
}

/// A segment of the log, which is written once under its number and never changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogSegment {
    /// The writer's box id, its incarnation and a counter. By them a box recognises its
    /// own write when the reply to it was lost.
    pub writer: (String, u64, u64),
    /// The entries, in order.
    pub entries: Vec<LogEntry>,
}
