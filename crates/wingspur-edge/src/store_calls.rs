//! Calls of the store, and the era that their answers and other boxes name.

use std::sync::Arc;

use wingspur_coordination::EraChange;
use wingspur_state::StoreEra;
use wingspur_transport::{CatalogError, CatalogFuture, ReportedEra};

use crate::edge_state::EdgeState;

/// Awaits a call of the store, and takes in the era that its answer names.
///
/// An answer of an era that is over is an error, however late it comes.
pub async fn call_store<T>(
    shared: &Arc<EdgeState>,
    kind: &'static str,
    call: CatalogFuture<T>,
) -> Result<T, CatalogError> {
    shared.metrics.count_store_call(kind);
    let began = wingspur_clock::now();
    let answer = call.await;
    if answer.outcome.is_ok() {
        shared
            .metrics
            .observe_store_latency(kind, wingspur_clock::since(began));
    }
    check_era(shared, kind, &answer.era)?;
    answer.outcome
}

/// Takes in what an answer of the store says of its era; an error where the answer cannot be
/// of the store's present history.
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
        // A store that has never named an era has the one.
        return Ok(());
    }
    shared.metrics.count_era(outcome);
    tracing::warn!(known, ?reading, kind, "store: no era in its answer.");
    Err(CatalogError::NoEra { known })
}

/// Takes in an era of the store that an answer or another box has named.
///
/// Every era comes by here. When the store has been restored, what was held in the era
/// before by a lease or a revision is given up, and a listing is due.
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
