//! Once-only operations and the segments of their log in the store.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Stands for an operation: a digest of the service and the operation's key.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct OperationId(pub u128);

impl OperationId {
    /// The id of the operation with this key at this service.
    ///
    /// 128 bits of SHA-256: two keys that share an id are not to be expected.
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

    /// The shard that keeps the operation, of `shards`.
    pub fn shard(self, shards: u32) -> u32 {
        (self.0 % u128::from(shards.max(1))) as u32
    }
}

/// How an operation's attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperationOutcome {
    /// An answer came.
    Ran,
    /// It surely did not run: the key may be claimed again.
    NotRun,
    /// It may have run.
    Unknown,
}

/// One line of a shard's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogEntry {
    /// The operation may be sent by the box that drew the nonce.
    Claimed {
        /// The operation.
        operation: OperationId,
        /// The claim's nonce.
        nonce: u64,
        /// When the claim was recorded, in milliseconds of the recording box's clock
        /// since the Unix epoch: for retention only, never for fencing.
        at_unix_ms: u64,
    },
    /// The operation's attempt ended.
    Ended {
        /// The operation.
        operation: OperationId,
        /// The claim's nonce.
        nonce: u64,
        /// How.
        outcome: OperationOutcome,
    },
}

/// A value of the log: written once under its number, never changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogSegment {
    /// The writer's box and incarnation, and a count: tells one's own write apart when
    /// its reply was lost.
    pub writer: (String, u64, u64),
    /// The entries.
    pub entries: Vec<LogEntry>,
}
