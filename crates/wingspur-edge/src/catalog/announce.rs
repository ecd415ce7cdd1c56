//! Keeps this box announced in the store while it may become a hub of its data centre.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use wingspur_coordination::{AnnouncementInputs, AnnouncementStep, announcement_step};
use wingspur_transport::{Announcement, CatalogError, StopSignal};

use crate::catalog::catalog_watch::retry_backoff;
use crate::catalog::store_calls::call_store;
use crate::edge_state::EdgeState;

/// Announces this box in the store whenever it should be announced, and renews the lease
/// of the announcement, until the box stops.
pub async fn run_announcement(shared: Arc<EdgeState>, stop: StopSignal) {
    let mut announced_size = 0;
    let mut failures = 0u32;
    while !stop.is_triggered() && !shared.stopping.has_begun() {
        let result = match (next_step(&shared), current_announcement(&shared)) {
            (AnnouncementStep::AnnounceWithin(max_delay), _) => {
                announce_within(&shared, max_delay, &mut announced_size).await
            }
            (AnnouncementStep::Keep, Some(current)) => {
                renew(&shared, current, &mut announced_size).await
            }
            (AnnouncementStep::Lapse, Some(current)) => {
                let lease = current.lease.id;
                tracing::info!(
                    lease,
                    "lease: announcement no longer needed; the lease will expire."
                );
                *shared.announcement.lock() = None;
                Ok(IDLE_CHECK_INTERVAL)
            }
            (AnnouncementStep::Keep | AnnouncementStep::Lapse, None) => {
                Ok(IDLE_CHECK_INTERVAL)
            }
        };
        let wait = match result {
            Ok(wait) => {
                failures = 0;
                wait
            }
            Err(error) => {
                failures += 1;
                tracing::info!(%error, failures, "lease: not renewed.");
                let is_announced = current_announcement(&shared).is_some();
                if is_announced {
                    LEASE_RENEWAL_INTERVAL
                } else {
                    retry_backoff(failures)
                }
            }
        };
        shared.announcement_due.wait(wait).await;
    }
}

/// Removes this box's announcement from the store, so that other boxes look for another
/// hub in time. Gives up after `timeout`; the announcement then ends with its lease.
///
/// The announcement itself is removed, rather than its lease: after a restore of the
/// store that this box does not know of, the lease's id may belong to another box.
pub async fn withdraw_announcement(shared: &Arc<EdgeState>, timeout: Duration) {
    let Some(current) = shared.announcement.lock().take() else {
        return;
    };
    let own_id = shared.settings().box_id.clone();
    let call = (shared.catalog.withdraw)(own_id, current.position);
    let withdrawing = async { call_store(shared, "withdraw", call).await.map(Some) };
    let timed_out = async {
        wingspur_clock::sleep(timeout).await;
        Ok(None)
    };
    match withdrawing.or(timed_out).await {
        Ok(Some(true)) => {}
        Ok(Some(false)) => tracing::info!(
            "lease: announcement was rewritten in the store; it will expire."
        ),
        Ok(None) => tracing::info!(
            "lease: no response of the store in time; the lease will expire."
        ),
        Err(error) => {
            tracing::info!(%error, "lease: announcement not removed; it will expire.")
        }
    }
}

/// Returns what this box should do about its announcement now. That is `Keep`, no change,
/// before the box knows the catalog and once it is stopping: other boxes would take a box
/// that is announced while it stops for a hub until its lease ends.
fn next_step(shared: &EdgeState) -> AnnouncementStep {
    let announced = current_announcement(shared).is_some();
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

/// Announces this box after a random delay of up to `max_delay`, unless that is no longer
/// needed by then. Returns how long to wait before the next step.
async fn announce_within(
    shared: &Arc<EdgeState>,
    max_delay: Duration,
    announced_size: &mut u32,
) -> Result<Duration, CatalogError> {
    wingspur_clock::sleep(max_delay.mul_f64(rand::random())).await;
    if !matches!(next_step(shared), AnnouncementStep::AnnounceWithin(_)) {
        return Ok(IDLE_CHECK_INTERVAL);
    }
    announce(shared, None, announced_size).await?;
    tracing::info!("lease: announced.");
    if shared.stopping.has_begun() {
        // The stop began while the announcement was being written, so the stop found none
        // to withdraw.
        withdraw_announcement(shared, WITHDRAWAL_TIMEOUT).await;
    }
    Ok(LEASE_RENEWAL_INTERVAL)
}

/// Renews the lease, and first announces the box again if the size of the fleet has
/// changed enough since its last announcement. Returns how long to wait before the next
/// step, which is zero where the lease has ended.
async fn renew(
    shared: &Arc<EdgeState>,
    current: Announcement,
    announced_size: &mut u32,
) -> Result<Duration, CatalogError> {
    let lease = current.lease.id;
    let boxes = shared.links.lock().fleet_boxes(wingspur_clock::now()) as u32;
    if boxes.abs_diff(*announced_size) > *announced_size / FLEET_SIZE_TOLERANCE_DIVISOR {
        announce(shared, Some(current), announced_size).await?;
        tracing::info!(
            lease,
            boxes,
            "lease: announced a changed size of the fleet."
        );
    }
    let call = (shared.catalog.renew)(current.lease);
    if !call_store(shared, "renew", call).await? {
        tracing::warn!(lease, "lease: the lease has ended.");
        *shared.announcement.lock() = None;
        return Ok(Duration::ZERO);
    }
    Ok(LEASE_RENEWAL_INTERVAL)
}

/// Writes the announcement of this box to the store, under the lease of the current one
/// or else a new lease, and records the announced size of the fleet.
async fn announce(
    shared: &Arc<EdgeState>,
    current: Option<Announcement>,
    announced_size: &mut u32,
) -> Result<(), CatalogError> {
    let record = {
        let mut links = shared.links.lock();
        let boxes = links.fleet_boxes(wingspur_clock::now()) as u32;
        let mut record = links.own().clone();
        record.fleet_boxes = boxes;
        record
    };
    let boxes = record.fleet_boxes;
    let call = (shared.catalog.announce)(record, current.map(|current| current.lease));
    let written = call_store(shared, "announce", call).await?;
    *announced_size = boxes;
    *shared.announcement.lock() = Some(written);
    Ok(())
}

/// Returns the announcement of this box in the current era of the store; `None` where it
/// is not announced in that era.
fn current_announcement(shared: &EdgeState) -> Option<Announcement> {
    let era = shared.links.lock().watch_state().era();
    let current = *shared.announcement.lock();
    current.filter(|current| current.lease.era == era)
}

/// The interval of lease renewals. Two renewals may fail before the lease of ten seconds
/// ends.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_secs(3);
/// How often a box checks whether it should be announced.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// The announced size of the fleet is updated when it is off by more than a quarter.
const FLEET_SIZE_TOLERANCE_DIVISOR: u32 = 4;
/// The longest time to wait for the removal of the announcement. A call to the store
/// takes milliseconds, and a stopping box keeps running for seconds.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_secs(1);
