//! The seam to wherever bundles, backend servers and boxes are announced.
//!
//! A catalog is a set of calls; each way of announcing gives its own. All of them report
//! what they find in the product's types, at positions in the store's history, and each
//! answer names the era that it is of.

use std::fmt::{self, Debug, Formatter};
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use wingspur_protocol::{BoxRecord, CatalogChanges, CatalogSnapshot, QuarantineRecord};
use wingspur_state::{BoxId, RequestFingerprint, StoreEra, StorePosition};

/// The calls of a catalog.
#[derive(Clone)]
pub struct Catalog {
    /// Lists all there is, as it stands now or, cheaper, as it may have stood some seconds
    /// ago.
    pub list: Arc<dyn Fn(bool) -> CatalogFuture<CatalogSnapshot> + Send + Sync>,
    /// Lists the boxes alone, as they may have been announced some seconds ago.
    pub list_boxes: Arc<dyn Fn() -> CatalogFuture<CatalogSnapshot> + Send + Sync>,
    /// Waits for changes after a position, at most for the time given.
    pub watch: Arc<
        dyn Fn(StorePosition, Duration) -> CatalogFuture<CatalogChanges> + Send + Sync,
    >,
    /// Announces this box until its lease ends, under the lease that it has or else a new
    /// one.
    pub announce: Arc<
        dyn Fn(BoxRecord, Option<StoreLease>) -> CatalogFuture<Announcement>
            + Send
            + Sync,
    >,
    /// Renews a lease; false when it has ended.
    pub renew: Arc<dyn Fn(StoreLease) -> CatalogFuture<bool> + Send + Sync>,
    /// Removes this box's announcement, unless it was written anew since; whether it was
    /// removed.
    pub withdraw: Arc<dyn Fn(BoxId, StorePosition) -> CatalogFuture<bool> + Send + Sync>,
    /// Writes how often a request in quarantine was let through, if what stands there was
    /// written at the record's position; it stands for the time given.
    pub record_trial: Arc<
        dyn Fn(QuarantineRecord, Duration) -> CatalogFuture<ConditionalWriteResult>
            + Send
            + Sync,
    >,
    /// Reads what stands there of a request in quarantine now.
    pub read_quarantine: Arc<
        dyn Fn(RequestFingerprint) -> CatalogFuture<Option<QuarantineRecord>>
            + Send
            + Sync,
    >,
    /// Ends the quarantine of a request, if what stands there was written at the record's
    /// position.
    pub end_quarantine: Arc<
        dyn Fn(QuarantineRecord) -> CatalogFuture<ConditionalWriteResult> + Send + Sync,
    >,
}

/// A call of a catalog under way.
pub type CatalogFuture<T> = Pin<Box<dyn Future<Output = CatalogResponse<T>> + Send>>;

/// What came of a call, with what the store said of its era.
#[derive(Debug)]
pub struct CatalogResponse<T, E = CatalogError> {
    /// What the answer said of the era, whatever came of the call.
    pub era: ReportedEra,
    /// What came of the call.
    pub outcome: Result<T, E>,
}

/// What an answer of the store said of its era.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReportedEra {
    /// There was no answer.
    NoAnswer,
    /// It named none.
    Missing,
    /// What it named is not a whole number.
    Unreadable(String),
    /// It named this one.
    Named(StoreEra),
}

/// What came of a write that depends on a position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConditionalWriteResult {
    /// It was made, at this position.
    Written(StorePosition),
    /// Something else stands there, or nothing.
    Conflict(Option<QuarantineRecord>),
}

/// A lease in the store. A restored store gives its ids out again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreLease {
    /// The era in which it was granted.
    pub era: StoreEra,
    /// Its id in that era.
    pub id: LeaseId,
}

/// Names a lease within an era of the store.
pub type LeaseId = u64;

/// How this box is announced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Announcement {
    /// The lease that the announcement is under.
    pub lease: StoreLease,
    /// Where it was written.
    pub position: StorePosition,
}

/// Why a call of a catalog failed.
#[derive(Debug, thiserror::Error)]
pub enum CatalogError {
    /// No answer, or a refusal: the store is away, for this box at least.
    #[error("the store cannot be had: {0}")]
    Unavailable(String),
    /// The position to watch from, or the pages read so far, are not of the history that
    /// the store has now.
    #[error("the store does not have the history after this position; list anew")]
    HistoryLost,
    /// The answer is of an era that is over.
    #[error("the answer is of era {answer} of the store, which is in era {known}")]
    OlderEra {
        /// The era of the answer.
        answer: StoreEra,
        /// The newest era that is known.
        known: StoreEra,
    },
    /// The answer names no era, though others have.
    #[error("the answer names no era of the store, which is in era {known}")]
    NoEra {
        /// The newest era that is known.
        known: StoreEra,
    },
    /// The answer cannot be read.
    #[error("the store's answer cannot be read: {0}")]
    Unreadable(String),
}

impl<T, E> CatalogResponse<T, E> {
    /// The same answer with another outcome, made of its own.
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
    /// The era; a store that has never named one is in era 0.
    pub fn era(&self) -> StoreEra {
        match self {
            Self::Named(era) => *era,
            Self::NoAnswer | Self::Missing | Self::Unreadable(_) => 0,
        }
    }
}

impl CatalogError {
    /// Whether the store is away, for this box at least.
    pub fn is_unavailable(&self) -> bool {
        matches!(self, Self::Unavailable(_))
    }
}

impl Debug for Catalog {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("Catalog")
    }
}
