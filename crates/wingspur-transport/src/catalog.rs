//! The interface to the service where bundles, backend servers and boxes are announced.
//!
//! A catalog is a set of calls, implemented once for each such service. All
//! implementations return the types of this project with positions in the store's
//! history, and each response names the store era that it belongs to.

use std::fmt::{self, Debug, Formatter};
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use wingspur_protocol::{BoxRecord, CatalogChanges, CatalogSnapshot, QuarantineRecord};
use wingspur_state::{BoxId, RequestFingerprint, StoreEra, StorePosition};

/// The calls of a catalog.
#[derive(Clone)]
pub struct Catalog {
    /// Reads a snapshot of the whole catalog. With `true` it is current; with `false` it
    /// may be some seconds old, which is cheaper for the store.
    pub list: Arc<dyn Fn(bool) -> CatalogFuture<CatalogSnapshot> + Send + Sync>,
    /// Reads a snapshot of the boxes only, which may be some seconds old.
    pub list_boxes: Arc<dyn Fn() -> CatalogFuture<CatalogSnapshot> + Send + Sync>,
    /// Waits for changes after a position, at most for the given time.
    pub watch: Arc<
        dyn Fn(StorePosition, Duration) -> CatalogFuture<CatalogChanges> + Send + Sync,
    >,
    /// Announces this box under the given lease, or under a new one if none is given. The
    /// announcement is removed when the lease ends.
    pub announce: Arc<
        dyn Fn(BoxRecord, Option<StoreLease>) -> CatalogFuture<Announcement>
            + Send
            + Sync,
    >,
    /// Renews a lease. Returns false if the lease has ended.
    pub renew: Arc<dyn Fn(StoreLease) -> CatalogFuture<bool> + Send + Sync>,
    /// Removes the announcement of this box if it was last written at the given position.
    /// Returns whether it was removed.
    pub withdraw: Arc<dyn Fn(BoxId, StorePosition) -> CatalogFuture<bool> + Send + Sync>,
    /// Writes how often a quarantined request was let through, if the stored record was
    /// last written at the position in the given one. The record expires after the given
    /// time.
    pub record_trial: Arc<
        dyn Fn(QuarantineRecord, Duration) -> CatalogFuture<ConditionalWriteResult>
            + Send
            + Sync,
    >,
    /// Reads the current quarantine record of a request; `None` if there is no readable
    /// one.
    pub read_quarantine: Arc<
        dyn Fn(RequestFingerprint) -> CatalogFuture<Option<QuarantineRecord>>
            + Send
            + Sync,
    >,
    /// Ends the quarantine of a request by removing its record, if the stored record was
    /// last written at the position in the given one.
    pub end_quarantine: Arc<
        dyn Fn(QuarantineRecord) -> CatalogFuture<ConditionalWriteResult> + Send + Sync,
    >,
}

/// A catalog call in progress.
pub type CatalogFuture<T> = Pin<Box<dyn Future<Output = CatalogResponse<T>> + Send>>;

/// Outcome of a catalog call, with the era that the store reported.
#[derive(Debug)]
pub struct CatalogResponse<T, E = CatalogError> {
    /// The store era that the response named, also when the call failed.
    pub era: ReportedEra,
    /// The result of the call, or why it failed.
    pub outcome: Result<T, E>,
}

/// The store era that a response named, or why there is none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReportedEra {
    /// There was no response.
    NoAnswer,
    /// The response named no era.
    Missing,
    /// The response named an era that is not a whole number; contains its text.
    Unreadable(String),
    /// The response named this era.
    Named(StoreEra),
}

/// Outcome of a write that depends on the position of the last write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConditionalWriteResult {
    /// The write took effect, at this position.
    Written(StorePosition),
    /// The record was written at another position or removed, so nothing was written.
    /// Contains the stored record, if there is a readable one.
    Conflict(Option<QuarantineRecord>),
}

/// A lease in the store. Its id is unique only within its era, as a restored store may
/// assign the same ids again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreLease {
    /// The store era in which the lease was granted.
    pub era: StoreEra,
    /// The lease id, unique within that era.
    pub id: LeaseId,
}

/// Identifies a lease within an era of the store.
pub type LeaseId = u64;

/// The announcement of this box in the catalog, as written to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Announcement {
    /// The lease that the announcement depends on.
    pub lease: StoreLease,
    /// The position at which it was written.
    pub position: StorePosition,
}

/// Why a catalog call failed.
#[derive(Debug, thiserror::Error)]
pub enum CatalogError {
    /// The store is unavailable to this box: it did not answer or refused the call.
    #[error("the store is unavailable: {0}")]
    Unavailable(String),
    /// The store no longer has the history after the position to watch from, or the pages
    /// read so far belong to another history. A new snapshot is needed.
    #[error(
        "the store no longer has the history after this position; read a new snapshot"
    )]
    HistoryLost,
    /// The response belongs to an era that has ended.
    #[error("the response belongs to era {answer} of the store, which is in era {known}")]
    OlderEra {
        /// The era of the response.
        answer: StoreEra,
        /// The newest era that is known.
        known: StoreEra,
    },
    /// The response names no era although earlier ones did, or its era is unreadable.
    #[error("the response names no era of the store, which is in era {known}")]
    NoEra {
        /// The newest era that is known.
        known: StoreEra,
    },
    /// The response cannot be decoded.
    #[error("the store's response cannot be decoded: {0}")]
    Unreadable(String),
}

impl<T, E> CatalogResponse<T, E> {
    /// Converts the outcome with `outcome` and keeps the reported era.
    pub fn and_then<U, F>(
        self,
        outcome: impl FnOnce(Result<T, E>) -> Result<U, F>,
    ) -> CatalogResponse<U, F> {
        CatalogResponse {
            era: self.era,
            outcome: outcome(self.outcome),
        }
    }
}

impl ReportedEra {
    /// Returns the named era, or 0 if the response named none: a store that has never
    /// named an era is in era 0.
    pub fn era(&self) -> StoreEra {
        match self {
            Self::Named(era) => *era,
            Self::NoAnswer | Self::Missing | Self::Unreadable(_) => 0,
        }
    }
}

impl CatalogError {
    /// Returns whether the store is unavailable to this box.
    pub fn is_unavailable(&self) -> bool {
        matches!(self, Self::Unavailable(_))
    }
}

impl Debug for Catalog {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("Catalog")
    }
}
