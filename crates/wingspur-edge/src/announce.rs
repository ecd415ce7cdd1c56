//! Keeps this box announced in the store while it may become a hub.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use wingspur_coordination::{AnnouncementInputs, AnnouncementStep, announcement_step};
use wingspur_transport::{CatalogError, LeaseId, StopSignal};

use crate::feed::pause;
use crate::shared::Shared;

/// Announces this box when it should be, and renews its lease, until it stops.
pub async fn run_announcement(shared: Arc<Shared>, stop: StopSignal) {
    let mut told_boxes = 0;
    let mut failures = 0u32;
    while !stop.is_given() && !shared.stopping.has_begun() {
        let done = match (next_step(&shared), held_lease(&shared)) {
            (AnnouncementStep::AnnounceWithin(span), _) => {
                announce_within(&shared, span, &mut told_boxes).await
            }
            (AnnouncementStep::Stay, Some(lease)) => {
                renew(&shared, lease, &mut told_boxes).await
            }
            (AnnouncementStep::Lapse, Some(lease)) => {
                tracing::info!(lease, "lease: not needed any more, it will lapse.");
                *shared.lease.lock() = None;
                Ok(IDLE)
            }
            (AnnouncementStep::Stay | AnnouncementStep::Lapse, None) => Ok(IDLE),
        };
        let wait = match done {
            Ok(wait) => {
                failures = 0;
                wait
            }
            Err(error) => {
                failures += 1;
                tracing::info!(%error, failures, "lease: not renewed.");
                let holds = held_lease(&shared).is_some();
                if holds { RENEWAL } else { pause(failures) }
            }
        };
        wingspur_clock::sleep(wait).await;
    }
}

/// Ends the announcement, so that the others look for another hub in time.
pub async fn withdraw(shared: &Shared, limit: Duration) {
    let Some(lease) = shared.lease.lock().take() else {
        return;
    };
    let withdrawing = async { (shared.catalog.withdraw)(lease).await };
    let expired = async {
        wingspur_clock::sleep(limit).await;
        Ok(())
    };
    if let Err(error) = withdrawing.or(expired).await {
        tracing::info!(%error, "lease: not ended, it will lapse.");
    }
}

/// What this box should do about its announcement now; nothing before it knows any other, and
/// nothing once it stops: one that is announced then is taken for a hub until its lease ends.
fn next_step(shared: &Shared) -> AnnouncementStep {
    let announced = held_lease(shared).is_some();
    let mut links = shared.links.lock();
    if links.is_starting() || shared.stopping.has_begun() {
        return AnnouncementStep::Stay;
    }
    announcement_step(&AnnouncementInputs {
        before: links.planner().rank(),
        capacity: links.own().capacity,
        announced,
    })
}

/// Announces this box at some time within a span, unless it is not needed any more by then.
async fn announce_within(
    shared: &Shared,
    span: Duration,
    told_boxes: &mut u32,
) -> Result<Duration, CatalogError> {
    wingspur_clock::sleep(span.mul_f64(rand::random())).await;
    if !matches!(next_step(shared), AnnouncementStep::AnnounceWithin(_)) {
        return Ok(IDLE);
    }
    let lease = announce(shared, None, told_boxes).await?;
    tracing::info!(lease, "lease: announced.");
    *shared.lease.lock() = Some(lease);
    if shared.stopping.has_begun() {
        // The stop began while the store was written: it found no lease to end.
        withdraw(shared, WITHDRAWAL_LIMIT).await;
    }
    Ok(RENEWAL)
}

/// Renews the lease, and tells the fleet's size anew where it has changed.
async fn renew(
    shared: &Shared,
    lease: LeaseId,
    told_boxes: &mut u32,
) -> Result<Duration, CatalogError> {
    let boxes = shared.links.lock().fleet_boxes(wingspur_clock::now()) as u32;
    if boxes.abs_diff(*told_boxes) > *told_boxes / RETOLD_PART {
        announce(shared, Some(lease), told_boxes).await?;
        tracing::info!(lease, boxes, "lease: another size of the fleet told.");
    }
    shared.metrics.count_store_call("renew");
    let began = wingspur_clock::now();
    let stands = (shared.catalog.renew)(lease).await?;
    shared
        .metrics
        .time_store("renew", wingspur_clock::since(began));
    if !stands {
        tracing::warn!(lease, "lease: it has ended.");
        *shared.lease.lock() = None;
        return Ok(Duration::ZERO);
    }
    Ok(RENEWAL)
}

async fn announce(
    shared: &Shared,
    lease: Option<LeaseId>,
    told_boxes: &mut u32,
) -> Result<LeaseId, CatalogError> {
    let record = {
        let mut links = shared.links.lock();
        let boxes = links.fleet_boxes(wingspur_clock::now()) as u32;
        let mut record = links.own().clone();
        record.fleet_boxes = boxes;
        record
    };
    shared.metrics.count_store_call("announce");
    *told_boxes = record.fleet_boxes;
    (shared.catalog.announce)(record, lease).await
}

fn held_lease(shared: &Shared) -> Option<LeaseId> {
    *shared.lease.lock()
}

/// Two renewals may be lost before the lease of ten seconds ends.
const RENEWAL: Duration = Duration::from_secs(3);
/// How soon a box notices that it should be announced.
const IDLE: Duration = Duration::from_millis(300);
/// A size that is off by more than a quarter is told anew.
const RETOLD_PART: u32 = 4;
/// A call of the store takes milliseconds; a box that stops is there for seconds.
const WITHDRAWAL_LIMIT: Duration = Duration::from_secs(1);
