//! Calls to the store, and the tracking of the store's era, which its responses and other
//! boxes name. The era is the generation of the store's numbering; a restore begins a new
//! one.

use std::sync::Arc;

use wingspur_coordination::EraChange;
use wingspur_state::StoreEra;
use wingspur_transport::{CatalogError, CatalogFuture, ReportedEra};

use crate::edge_state::EdgeState;

/// Awaits a call to the store, and records the era that its response names.
///
/// `kind` names the call in metrics and logs. A response of an earlier era than the
/// current one is an error, however late it comes.
pub async fn call_store<T>(
    shared: &Arc<EdgeState>,
    kind: &'static str,
    call: CatalogFuture<T>,
) -> Result<T, CatalogError> {
    shared.metrics.count_store_call(kind);
    let began = wingspur_clock::now();
    let response = call.await;
    if response.outcome.is_ok() {
        shared
            .metrics
            .observe_store_latency(kind, wingspur_clock::since(began));
    }
    check_era(shared, kind, &response.era)?;
    response.outcome
}

/// Records the era that a response of the store names. Returns an error where the
/// response cannot belong to the current history of the store, since its era is an
/// earlier one, is unreadable, or is missing although the store has named one before.
fn check_era(
    shared: &Arc<EdgeState>,
    kind: &'static str,
    reading: &ReportedEra,
) -> Result<(), CatalogError> {
    let known = shared.links.lock().watch_state().era();
    let outcome = match reading {
        ReportedEra::NoAnswer => return Ok(()),
        ReportedEra::Named(era) => match handle_store_era(shared, *era, kind) {
            EraChange::Older => {
                shared.metrics.count_era("older");
                tracing::info!(era, known, kind, "store: an answer of an older era.");
                return Err(CatalogError::OlderEra {
                    answer: *era,
                    known,
                });
            }
            EraChange::Same | EraChange::First | EraChange::Restored { .. } => {
                return Ok(());
            }
        },
        ReportedEra::Missing => "missing",
        ReportedEra::Unreadable(_) => "unreadable",
    };
    if outcome == "missing" && known == 0 {
        // A store that has never named an era has only a single one.
        return Ok(());
    }
    shared.metrics.count_era(outcome);
    tracing::warn!(known, ?reading, kind, "store: no era in its answer.");
    Err(CatalogError::NoEra { known })
}

/// Records an era of the store that a response or another box has named, and returns how
/// it compares with the newest known one.
///
/// Every era that this box learns of passes through here. When the store has been
/// restored, everything that depends on a lease or a revision of the earlier era is given
/// up, and the catalog has to be listed again.
pub fn handle_store_era(
    shared: &Arc<EdgeState>,
    era: StoreEra,
    source: &str,
) -> EraChange {
    let change = shared.links.lock().watch_state().note_era(era);
    match change {
        EraChange::Same | EraChange::Older => {}
        EraChange::First => {
            shared.quarantine.lock().note_era(era);
            tracing::info!(era, source, "store: its era is known.");
        }
        EraChange::Restored { before } => {
            shared.quarantine.lock().note_era(era);
            let announcement = shared.announcement.lock().take();
            shared
                .directory
                .lock()
                .store_restored(era, wingspur_clock::now());
            shared.metrics.count_era("restored");
            tracing::warn!(
                era,
                before,
                source,
                announced_before = announcement.is_some(),
                "store: it has come back from an older copy."
            );
            shared.store_restored.notify();
            shared.announcement_due.notify();
            shared.pending_updates.notify();
        }
    }
    change
}
