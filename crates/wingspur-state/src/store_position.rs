//! Points in the history of the store that announces bundles, servers and boxes.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// Counts how often the store has come back from an older copy.
pub type StoreEra = u64;

/// A point in the store's history.
///
/// A restored store gives its revisions out again, so a revision means nothing without its
/// era. Positions are ordered by era first.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct StorePosition {
    era: StoreEra,
    revision: u64,
}

impl StorePosition {
    /// The point right after a change of an era.
    pub fn new(era: StoreEra, revision: u64) -> Self {
        Self { era, revision }
    }

    /// The point before all changes of an era. As the position of a key, it says that the
    /// key does not exist.
    pub fn start_of(era: StoreEra) -> Self {
        Self::new(era, 0)
    }

    /// Whether nothing of the history is known yet.
    pub fn is_start(&self) -> bool {
        self.revision == 0
    }

    /// The era.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// The bare revision, for calls of the store only: it must not be compared with another.
    pub fn wire_revision(&self) -> u64 {
        self.revision
    }
}

impl Display for StorePosition {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.revision)
    }
}
