//! Positions in the history of the store in which bundles, servers and boxes are
//! announced.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// A counter that increases each time the store is restored from an older copy.
pub type StoreEra = u64;

/// A position in the store's history.
///
/// A restored store uses its revision numbers again, so a revision is meaningless without
/// its era. Positions are ordered by era first.
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
    /// Returns the position right after the change with this revision in an era.
    pub fn new(era: StoreEra, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Returns the position before all changes of an era. As the position of a key it
    /// means that the key does not exist.
    pub fn start_of(era: StoreEra) -> Self {
        Self::new(era, 0)
    }

    /// Returns whether nothing of the era's history is known yet.
    pub fn is_start(&self) -> bool {
        self.revision == 0
    }

    /// Returns the era.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Returns the revision without its era, for calls to the store only: it must not be
    /// compared with another revision.
    pub fn wire_revision(&self) -> u64 {
        self.revision
    }
}

impl Display for StorePosition {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.revision)
    }
}
