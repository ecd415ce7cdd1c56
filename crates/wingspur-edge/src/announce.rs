//! Keeps this box announced in the store while it may become a hub.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use wingspur_coordination::{AnnouncementInputs, AnnouncementStep, announcement_step};
use wingspur_transport::{Announcement, CatalogError, StopSignal};

use crate::catalog_watch::retry_backoff;
use crate::edge_state::EdgeState;
use crate::store_calls::call_store;

/// Announces this box when it should be, and renews its lease, until it stops.
pub async fn run_announcement(shared: Arc<EdgeState>, stop: StopSignal) {
    let mut told_boxes = 0;
    let mut failures = 0u32;
    while !stop.is_triggered() && !shared.stopping.has_begun() {
        let done = match (next_step(&shared), announcement(&shared)) {
            (AnnouncementStep::AnnounceWithin(span), _) => {
                announce_within(&shared, span, &mut told_boxes).await
            }
            (AnnouncementStep::Keep, Some(held)) => {
                renew(&shared, held, &mut told_boxes).await
            }
            (AnnouncementStep::Lapse, Some(held)) => {
                let lease = held.lease.id;
                tracing::info!(lease, "lease: not needed any more, it will lapse.");
                *shared.announcement.lock() = None;
                Ok(IDLE)
            }
            (AnnouncementStep::Keep | AnnouncementStep::Lapse, None) => Ok(IDLE),
        };
        let wait = match done {
            Ok(wait) => {
                failures = 0;
                wait
            }
            Err(error) => {
                failures += 1;
                tracing::info!(%error, failures, "lease: not renewed.");
                let holds = announcement(&shared).is_some();
                if holds {
                    RENEWAL
                } else {
                    retry_backoff(failures)
                }
            }
        };
        shared.announcement_due.wait(wait).await;
    }
}

/// Ends the announcement, so that the others look for another hub in time.
///
/// Removes the announcement itself: the lease's id may be another box's since a restore of the
/// store that this box has not heard of.
pub async fn withdraw_announcement(shared: &Arc<EdgeState>, limit: Duration) {
    let Some(held) = shared.announcement.lock().take() else {
        return;
    };
    let own_id = shared.settings().box_id.clone();
    let call = (shared.catalog.withdraw)(own_id, held.position);
    let withdrawing = async { call_store(shared, "withdraw", call).await.map(Some) };
    let expired = async {
        wingspur_clock::sleep(limit).await;
        Ok(None)
    };
    match withdrawing.or(expired).await {
        Ok(Some(true)) => {}
        Ok(Some(false)) => tracing::info!("lease: written anew since, it will lapse."),
        Ok(None) => tracing::info!("lease: no answer in time, it will lapse."),
        Err(error) => tracing::info!(%error, "lease: not ended, it will lapse."),
    }
}

/// What this box should do about its announcement now; nothing before it knows any other, and
/// nothing once it stops: one that is announced then is taken for a hub until its lease ends.
fn next_step(shared: &EdgeState) -> AnnouncementStep {
    let announced = announcement(shared).is_some();
    let mut links = shared.links.lock();
    if links.is_starting() || shared.stopping.has_begun() {
        return AnnouncementStep::Keep;
    }
    announcement_step(&AnnouncementInputs {
        ranked_before: links.planner().rank(),
        capacity: links.own().capacity,
        announced,
    })
}

/// Announces this box at some time within a span, unless it is not needed any more by then.
async fn announce_within(
    shared: &Arc<EdgeState>,
    span: Duration,
    told_boxes: &mut u32,
) -> Result<Duration, CatalogError> {
    wingspur_clock::sleep(span.mul_f64(rand::random())).await;
    if !matches!(next_step(shared), AnnouncementStep::AnnounceWithin(_)) {
        return Ok(IDLE);
    }
    announce(shared, None, told_boxes).await?;
    tracing::info!("lease: announced.");
    if shared.stopping.has_begun() {
        // The stop began while the store was written: it found no lease to end.
        withdraw_announcement(shared, WITHDRAWAL_LIMIT).await;
    }
    Ok(RENEWAL)
}

/// Renews the lease, and tells the fleet's size anew where it has changed.
async fn renew(
    shared: &Arc<EdgeState>,
    held: Announcement,
    told_boxes: &mut u32,
) -> Result<Duration, CatalogError> {
    let lease = held.lease.id;
    let boxes = shared.links.lock().fleet_boxes(wingspur_clock::now()) as u32;
    if boxes.abs_diff(*told_boxes) > *told_boxes / RETOLD_PART {
        announce(shared, Some(held), told_boxes).await?;
        tracing::info!(lease, boxes, "lease: another size of the fleet told.");
    }
    let call = (shared.catalog.renew)(held.lease);
    if !call_store(shared, "renew", call).await? {
        tracing::warn!(lease, "lease: it has ended.");
        *shared.announcement.lock() = None;
        return Ok(Duration::ZERO);
    }
    Ok(RENEWAL)
}

async fn announce(
    shared: &Arc<EdgeState>,
    held: Option<Announcement>,
    told_boxes: &mut u32,
) -> Result<(), CatalogError> {
    let record = {
        let mut links = shared.links.lock();
        let boxes = links.fleet_boxes(wingspur_clock::now()) as u32;
        let mut record = links.own().clone();
        record.fleet_boxes = boxes;
        record
    };
    *told_boxes = record.fleet_boxes;
    let call = (shared.catalog.announce)(record, held.map(|held| held.lease));
    let written = call_store(shared, "announce", call).await?;
    *shared.announcement.lock() = Some(written);
    Ok(())
}

/// How this box is announced in the store's present era.
fn announcement(shared: &EdgeState) -> Option<Announcement> {
    let era = shared.links.lock().watch_state().era();
    let held = *shared.announcement.lock();
    held.filter(|held| held.lease.era == era)
}

/// Two renewals may be lost before the lease of ten seconds ends.
const RENEWAL: Duration = Duration::from_secs(3);
/// How soon a box notices that it should be announced.
const IDLE: Duration = Duration::from_millis(300);
/// A size that is off by more than a quarter is told anew.
const RETOLD_PART: u32 = 4;
/// A call of the store takes milliseconds; a box that stops is there for seconds.
const WITHDRAWAL_LIMIT: Duration = Duration::from_secs(1);
