//! Follows the catalog: a listing first, then its changes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use wingspur_protocol::{CatalogChange, CatalogChanges, CatalogListing, Revision};
use wingspur_transport::{CatalogError, StopSignal};

use crate::shared::Shared;

/// Follows the catalog until the box stops.
pub async fn run_feed(shared: Arc<Shared>, stop: StopSignal) {
    let mut revision: Option<Revision> = None;
    let mut failures = 0u32;
    while !stop.is_given() {
        let result = match revision {
            None => list(&shared).await,
            Some(after) => watch(&shared, after).await,
        };
        match result {
            Ok(reached) => {
                if failures > 0 {
                    tracing::info!(failures, "store: it answers again.");
                }
                failures = 0;
                revision = Some(reached);
                shared.directory.lock().store_returned(Instant::now());
            }
            Err(CatalogError::HistoryLost) => {
                tracing::info!(?revision, "store: history lost, listing anew.");
                revision = None;
            }
            Err(error) => {
                if failures == 0 {
                    tracing::warn!(%error, "store: lost.");
                }
                failures += 1;
                shared.directory.lock().store_lost();
                smol::Timer::after(pause(failures)).await;
            }
        }
        shared.settle(Instant::now());
    }
}

async fn list(shared: &Shared) -> Result<Revision, CatalogError> {
    let listing = (shared.catalog.list)().await?;
    Ok(apply_listing(shared, listing))
}

async fn watch(shared: &Shared, after: Revision) -> Result<Revision, CatalogError> {
    let changes = (shared.catalog.watch)(after, WATCH_WAIT).await?;
    Ok(apply_changes(shared, changes))
}

fn apply_listing(shared: &Shared, listing: CatalogListing) -> Revision {
    if let Some(bundle) = listing.bundle {
        shared.put_in_force(bundle, "store");
    }
    let now = Instant::now();
    let changes = shared.directory.lock().replace(listing.servers, now);
    shared.follow(&changes, "store");
    if let Some(in_force) = shared.in_force() {
        shared.services.share(&in_force.bundle, listing.boxes.len());
    }
    listing.revision
}

fn apply_changes(shared: &Shared, changes: CatalogChanges) -> Revision {
    let now = Instant::now();
    let mut followed = Vec::new();
    for change in changes.changes {
        match change {
            CatalogChange::Bundle(bundle) => {
                shared.put_in_force(bundle, "store");
            }
            CatalogChange::Server(record) => {
                followed.extend(shared.directory.lock().put(record));
            }
            CatalogChange::ServerGone(id) => {
                followed.extend(shared.directory.lock().remove(&id, now));
            }
            CatalogChange::Box(_) | CatalogChange::BoxGone(_) => {}
        }
    }
    shared.follow(&followed, "store");
    changes.revision
}

/// A pause that doubles up to a second, drawn between a half and the whole of it.
fn pause(failures: u32) -> Duration {
    let whole = FIRST_PAUSE * 2u32.pow(failures.min(4));
    whole
        .min(MOST_PAUSE)
        .mul_f64(0.5 + rand::random::<f64>() / 2.0)
}

/// How long a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(2);
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MOST_PAUSE: Duration = Duration::from_secs(1);
