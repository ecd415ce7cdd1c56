//! The seam to wherever bundles, backend servers and boxes are announced.
//!
//! A catalog is a set of calls; each way of announcing gives its own. All of them report
//! what they find in the product's types, at revisions that only grow.

use std::fmt::{self, Debug, Formatter};
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use wingspur_protocol::{
    BoxRecord, CatalogChanges, CatalogListing, QuarantineRecord, Revision,
};
use wingspur_state::RequestFingerprint;

/// The calls of a catalog.
#[derive(Clone)]
pub struct Catalog {
    /// Lists all there is, as it stands now or, cheaper, as it may have stood some seconds
    /// ago.
    pub list: Arc<dyn Fn(bool) -> CatalogFuture<CatalogListing> + Send + Sync>,
    /// Lists the boxes alone, as they may have been announced some seconds ago.
    pub list_boxes: Arc<dyn Fn() -> CatalogFuture<CatalogListing> + Send + Sync>,
    /// Waits for changes after a revision, at most for the time given.
    pub watch:
        Arc<dyn Fn(Revision, Duration) -> CatalogFuture<CatalogChanges> + Send + Sync>,
    /// Announces this box until its lease ends, under the lease that it has or else a new
    /// one; returns the lease.
    pub announce:
        Arc<dyn Fn(BoxRecord, Option<LeaseId>) -> CatalogFuture<LeaseId> + Send + Sync>,
    /// Renews the lease of this box; false when it has ended.
    pub renew: Arc<dyn Fn(LeaseId) -> CatalogFuture<bool> + Send + Sync>,
    /// Ends the lease of this box, and with it its announcement.
    pub withdraw: Arc<dyn Fn(LeaseId) -> CatalogFuture<()> + Send + Sync>,
    /// Writes how often a request in quarantine was let through, if what stands there is of
    /// the revision that is told (0 for nothing); it stands for the time given.
    pub count_try: Arc<
        dyn Fn(QuarantineRecord, Duration) -> CatalogFuture<TryCounted> + Send + Sync,
    >,
    /// Reads what stands there of a request in quarantine now.
    pub read_quarantine: Arc<
        dyn Fn(RequestFingerprint) -> CatalogFuture<Option<QuarantineRecord>>
            + Send
            + Sync,
    >,
    /// Ends the quarantine of a request, if what stands there is of that revision.
    pub end_quarantine:
        Arc<dyn Fn(QuarantineRecord) -> CatalogFuture<TryCounted> + Send + Sync>,
}

/// A call of a catalog under way.
pub type CatalogFuture<T> = Pin<Box<dyn Future<Output = Result<T, CatalogError>> + Send>>;

/// What came of a write that depends on a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TryCounted {
    /// It stands, at this revision.
    Stands(Revision),
    /// Something else stands there, or nothing.
    Overtaken(Option<QuarantineRecord>),
}

/// Names a lease in the store.
pub type LeaseId = u64;

/// Why a call of a catalog failed.
#[derive(Debug, thiserror::Error)]
pub enum CatalogError {
    /// No answer, or a refusal: the store is away, for this box at least.
    #[error("the store cannot be had: {0}")]
    Away(String),
    /// The revision to watch from is older than what the store remembers.
    #[error("the store has forgotten what came after the revision; list anew")]
    HistoryLost,
    /// The answer cannot be read.
    #[error("the store's answer cannot be read: {0}")]
    Unreadable(String),
}

impl CatalogError {
    /// Whether the store is away, for this box at least.
    pub fn is_away(&self) -> bool {
        matches!(self, Self::Away(_))
    }
}

impl Debug for Catalog {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("Catalog")
    }
}
