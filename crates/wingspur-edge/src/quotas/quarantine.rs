//! Quarantined requests: permits to send one, and their records in the store.
//!
//! Before a box sends such a request, it counts the trial in the store. A box that cannot
//! reach the store asks its hub for a permit.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use wingspur_coordination::{
    LinkId, QuotaMessage, RecordOutcome, TrialDecision, TrialRecord,
};
use wingspur_protocol::{
    LeasedResource, QuarantineRecord, QuotaLeaseReply, QuotaLeaseRequest,
};
use wingspur_state::{
    RequestFingerprint, SUSPECT_RETENTION, StoreEra, StorePosition, StoredQuarantine,
};
use wingspur_transport::{CatalogError, ConditionalWriteResult, StopSignal};

use crate::catalog::store_calls::call_store;
use crate::edge_state::EdgeState;
use crate::peers::lease_messages::send_lease_messages;
use crate::quotas::quarantine_state::SendPermission;

/// Waits until a request may be sent, or until it is known that it may not be before
/// `deadline`.
///
/// While another box runs a trial of the request, this waits for the outcome: a harmless
/// request is answered within a third of a second, and then all waiting requests proceed.
/// If no trial is left, the request is refused at once.
pub async fn wait_for_send_permit(
    shared: &Arc<EdgeState>,
    id: &str,
    request: RequestFingerprint,
    deadline: Instant,
) -> SendPermission {
    let started_at = wingspur_clock::now();
    loop {
        if !is_quarantined(shared, request) {
            return SendPermission::Free;
        }
        let decision = decide_permit(shared, request).await;
        let now = wingspur_clock::now();
        let remaining = deadline.saturating_duration_since(now);
        let permission = match decision {
            PermitDecision::Granted => SendPermission::Once,
            PermitDecision::RetryAfter(after) if after >= remaining => {
                SendPermission::Refused(after)
            }
            PermitDecision::RetryAfter(after) => {
                wait_until_cleared(shared, request, now + after).await;
                continue;
            }
        };
        shared.metrics.count_permit(permission);
        tracing::info!(
            id,
            fingerprint = %request,
            outcome = ?permission,
            waited_ms = wingspur_clock::since(started_at).as_millis() as u64,
            left_ms = remaining.as_millis() as u64,
            "quarantine: asked whether it may be sent."
        );
        return permission;
    }
}

/// Whether a request is quarantined, so that it may be sent only with a permit.
pub fn is_quarantined(shared: &EdgeState, request: RequestFingerprint) -> bool {
    let suspects = shared.suspect_requests.lock();
    !suspects.is_empty() && suspects.is_quarantined(request, wingspur_clock::now())
}

/// Writes to the store that a request is quarantined, so that boxes that start later know
/// it.
///
/// Only a hub writes it, for events that it or one of its members has observed. The write
/// runs in the background.
pub fn store_quarantine(shared: &Arc<EdgeState>, request: RequestFingerprint) {
    if shared.links.lock().own_hub().is_some() || !is_quarantined(shared, request) {
        return;
    }
    let known = shared.suspect_requests.lock().quarantine(request);
    let mut state = shared.quarantine.lock();
    let trial =
        state
            .permits
            .begin_quarantine(request, known.as_ref(), wingspur_clock::now());
    drop(state);
    let Some(trial) = trial else { return };
    let shared = shared.clone();
    let spawner = shared.spawner.clone();
    spawner.detach(async move {
        let outcome = write_trial(&shared, request, trial).await;
        let mut state = shared.quarantine.lock();
        state
            .permits
            .quarantine_recorded(request, outcome, wingspur_clock::now());
    });
}

/// Applies a quarantine record from the catalog.
pub fn apply_quarantine(shared: &EdgeState, record: &QuarantineRecord) {
    let known = stored_quarantine(record, wingspur_clock::now());
    shared
        .suspect_requests
        .lock()
        .apply_quarantine(record.request, known);
    tracing::info!(
        fingerprint = %record.request,
        tries = record.tries,
        position = %record.position,
        "quarantine: known."
    );
}

/// Ends the quarantine of a request on this box.
pub fn end_quarantine(shared: &EdgeState, request: RequestFingerprint) {
    shared.suspect_requests.lock().remove_quarantine(request);
    shared.quarantine.lock().permits.forget(request);
    tracing::info!(fingerprint = %request, "quarantine: ended.");
}

/// Replaces the known quarantines by those of a catalog snapshot at `position`. A
/// snapshot of a newer store era is merged instead, because a restored store may have
/// lost records.
pub fn replace_quarantines(
    shared: &Arc<EdgeState>,
    position: StorePosition,
    records: &[QuarantineRecord],
) {
    if shared.links.lock().position().era() < position.era() {
        return merge_restored(shared, position.era(), records);
    }
    let is_listed = |request: &RequestFingerprint| {
        records.iter().any(|record| record.request == *request)
    };
    let known: Vec<_> = shared.suspect_requests.lock().quarantines().collect();
    for (request, _) in known {
        if !is_listed(&request) {
            end_quarantine(shared, request);
        }
    }
    for record in records {
        apply_quarantine(shared, record);
    }
}

/// Merges the quarantines of a restored store. A hub writes the lost ones again, in the
/// background.
fn merge_restored(shared: &Arc<EdgeState>, era: StoreEra, records: &[QuarantineRecord]) {
    let now = wingspur_clock::now();
    let stored: Vec<_> = records
        .iter()
        .map(|r| (r.request, stored_quarantine(r, now)))
        .collect();
    let lost = shared
        .suspect_requests
        .lock()
        .reconcile_restored(era, &stored);
    tracing::info!(
        era,
        listed = stored.len(),
        lost = lost.len(),
        "quarantine: read from a restored store."
    );
    if lost.is_empty() || shared.links.lock().own_hub().is_some() {
        return;
    }
    let shared = shared.clone();
    let spawner = shared.spawner.clone();
    spawner.detach(async move {
        for (request, known) in lost {
            let trial = TrialRecord {
                tries: known.tries,
                counted_by: known.counted_by,
                expected_position: known.position,
            };
            write_trial(&shared, request, trial).await;
        }
    });
}

fn stored_quarantine(
    record: &QuarantineRecord,
    received_at: Instant,
) -> StoredQuarantine {
    StoredQuarantine {
        position: record.position,
        tries: record.tries,
        counted_by: record.counted_by,
        learned_at: received_at,
    }
}

/// Returns the records of all quarantined requests, for a box whose catalog is behind.
pub fn quarantine_records(shared: &EdgeState) -> Vec<QuarantineRecord> {
    let suspects = shared.suspect_requests.lock();
    let records = suspects
        .quarantines()
        .map(|(request, known)| QuarantineRecord {
            request,
            tries: known.tries,
            counted_by: known.counted_by,
            position: known.position,
        });
    records.collect()
}

/// Handles another box's request for a permit. The reply is sent in the background once
/// the decision is made.
pub fn handle_permit_request(
    shared: &Arc<EdgeState>,
    link: LinkId,
    permit_request: &QuotaLeaseRequest,
) {
    let LeasedResource::Permit(request) = permit_request.resource else {
        return;
    };
    let (number, resource) = (permit_request.request_id, permit_request.resource);
    let shared = shared.clone();
    let spawner = shared.spawner.clone();
    spawner.detach(async move {
        let (granted, retry_after) = match decide_locally(&shared, request, true).await {
            TrialDecision::Lend => (1, Duration::ZERO),
            TrialDecision::Later(after) => (0, after),
            TrialDecision::AskHub | TrialDecision::Count(_) => (0, PERMIT_RETRY_DELAY),
        };
        let reply = QuotaLeaseReply {
            request_id: number,
            resource,
            on_demand_granted: granted,
            prefetch_granted: 0.0,
            renewed: false,
            retry_after_ms: Some(retry_after.as_millis() as u32),
            queue: None,
        };
        send_lease_messages(&shared, vec![QuotaMessage::reply(link, reply, true)]);
    });
}

/// Delivers the hub's reply to the task that waits for the permit.
pub fn handle_permit_response(shared: &EdgeState, reply: &QuotaLeaseReply) {
    let waiter = shared.quarantine.lock().pending.remove(&reply.request_id);
    if let Some(waiter) = waiter {
        // Sending fails if the waiting task has timed out, which needs no handling.
        let _ = waiter.try_send(*reply);
    }
}

/// Evicts expired suspect requests until the box stops. A hub also ends the stored
/// quarantines of requests that were answered completely.
pub async fn run_quarantine(shared: Arc<EdgeState>, stop: StopSignal) {
    while !stop.is_triggered() {
        wingspur_clock::sleep(EVICTION_INTERVAL).await;
        let now = wingspur_clock::now();
        let cleared = evict_expired(&shared, now);
        if shared.links.lock().own_hub().is_some() {
            continue;
        }
        for (request, known) in cleared {
            end_stored_quarantine(&shared, request, known).await;
        }
    }
}

/// Evicts expired entries. Returns the quarantines that the store still holds although
/// the requests are cleared.
fn evict_expired(
    shared: &EdgeState,
    now: Instant,
) -> Vec<(RequestFingerprint, StoredQuarantine)> {
    let mut suspects = shared.suspect_requests.lock();
    suspects.evict_expired(now);
    let cleared = suspects.cleared_quarantines();
    shared.metrics.suspects.set(suspects.len() as i64);
    drop(suspects);
    shared.quarantine.lock().permits.evict_idle(now);
    cleared
}

/// The decision on sending a quarantined request.
enum PermitDecision {
    Granted,
    RetryAfter(Duration),
}

/// Decides locally whether a request may be sent, counting a trial in the store first. If
/// the store is unavailable, asks the hub.
async fn decide_permit(
    shared: &Arc<EdgeState>,
    request: RequestFingerprint,
) -> PermitDecision {
    let hub = shared.links.lock().own_hub();
    match (decide_locally(shared, request, hub.is_none()).await, hub) {
        (TrialDecision::Lend, _) => PermitDecision::Granted,
        (TrialDecision::Later(after), _) => PermitDecision::RetryAfter(after),
        (TrialDecision::AskHub, Some(hub)) => {
            request_permit_from_hub(shared, request, hub).await
        }
        (TrialDecision::AskHub | TrialDecision::Count(_), _) => {
            PermitDecision::RetryAfter(PERMIT_RETRY_DELAY)
        }
    }
}

async fn request_permit_from_hub(
    shared: &Arc<EdgeState>,
    request: RequestFingerprint,
    hub: LinkId,
) -> PermitDecision {
    let (sender, receiver) = async_channel::bounded(1);
    let number = {
        let mut state = shared.quarantine.lock();
        state.last_number = state.last_number.wrapping_add(1);
        let number = state.last_number;
        state.pending.insert(number, sender);
        number
    };
    let permit_request = QuotaLeaseRequest {
        request_id: number,
        resource: LeasedResource::Permit(request),
        held: 0.0,
        on_demand_count: 1,
        reserve: 0.0,
        wanted: 0.0,
    };
    send_lease_messages(shared, vec![QuotaMessage::request(hub, permit_request)]);
    let reply = async { receiver.recv().await.ok() };
    let expired = async {
        wingspur_clock::sleep(HUB_REPLY_TIMEOUT).await;
        None
    };
    let reply = reply.or(expired).await;
    shared.quarantine.lock().pending.remove(&number);
    match reply {
        Some(reply) if reply.on_demand_granted > 0 => PermitDecision::Granted,
        Some(reply) => {
            let after = reply.retry_after_ms.unwrap_or_default();
            PermitDecision::RetryAfter(Duration::from_millis(after.into()))
        }
        // The hub seems to be lost. The next request goes to its successor.
        None => PermitDecision::RetryAfter(PERMIT_RETRY_DELAY),
    }
}

/// Decides whether a request may be sent, counting a trial in the store first.
/// `is_last_resort` says that no other box can be asked if the store is unavailable.
async fn decide_locally(
    shared: &Arc<EdgeState>,
    request: RequestFingerprint,
    is_last_resort: bool,
) -> TrialDecision {
    if !is_quarantined(shared, request) {
        return TrialDecision::Lend;
    }
    let (known, decision) = {
        let suspects = shared.suspect_requests.lock();
        let mut state = shared.quarantine.lock();
        let decision =
            state
                .permits
                .request_trial(request, &suspects, wingspur_clock::now());
        (suspects.quarantine(request), decision)
    };
    let decision = match decision {
        TrialDecision::Count(trial) => {
            let outcome = write_trial(shared, request, trial).await;
            let mut state = shared.quarantine.lock();
            let now = wingspur_clock::now();
            state
                .permits
                .trial_recorded(request, outcome, is_last_resort, now)
        }
        decision => decision,
    };
    tracing::info!(
        fingerprint = %request,
        tries = known.map(|known| known.tries),
        position = known.map(|known| known.position.to_string()),
        outcome = ?decision,
        "quarantine: decided."
    );
    decision
}

/// Writes the number of trials of a request to the store by a conditional write, and
/// applies the record that the store holds afterwards.
async fn write_trial(
    shared: &Arc<EdgeState>,
    request: RequestFingerprint,
    trial: TrialRecord,
) -> RecordOutcome {
    let record = QuarantineRecord {
        request,
        tries: trial.tries,
        counted_by: trial.counted_by,
        position: trial.expected_position,
    };
    let call = (shared.catalog.record_trial)(record, SUSPECT_RETENTION);
    let result = call_store(shared, "quarantine", call).await;
    log_write(&record, &result);
    match result {
        Ok(ConditionalWriteResult::Written(position)) => {
            apply_quarantine(shared, &QuarantineRecord { position, ..record });
            RecordOutcome::Stands
        }
        Ok(ConditionalWriteResult::Conflict(Some(found))) => {
            apply_quarantine(shared, &found);
            RecordOutcome::Overtaken
        }
        Ok(ConditionalWriteResult::Conflict(None)) => {
            shared.suspect_requests.lock().remove_quarantine(request);
            RecordOutcome::Overtaken
        }
        Err(_) => read_back_trial(shared, &record).await,
    }
}

/// Reads back whether a write whose response was lost has taken effect.
///
/// A trial that is counted but not run would leave a harmless request one trial less.
async fn read_back_trial(
    shared: &Arc<EdgeState>,
    record: &QuarantineRecord,
) -> RecordOutcome {
    let call = (shared.catalog.read_quarantine)(record.request);
    let read = call_store(shared, "read_quarantine", call).await;
    let (fingerprint, tries) = (record.request, record.tries);
    match read {
        Ok(Some(found)) => {
            apply_quarantine(shared, &found);
            match (found.tries, found.counted_by) == (tries, record.counted_by) {
                true => RecordOutcome::Stands,
                false => RecordOutcome::Overtaken,
            }
        }
        Ok(None) => {
            shared
                .suspect_requests
                .lock()
                .remove_quarantine(record.request);
            RecordOutcome::Overtaken
        }
        Err(error) => {
            tracing::warn!(%fingerprint, tries, %error, "quarantine: not known.");
            RecordOutcome::Unknown
        }
    }
}

/// Ends the stored quarantine of a request that was answered completely.
async fn end_stored_quarantine(
    shared: &Arc<EdgeState>,
    request: RequestFingerprint,
    known: StoredQuarantine,
) {
    let record = QuarantineRecord {
        request,
        tries: known.tries,
        counted_by: known.counted_by,
        position: known.position,
    };
    let call = (shared.catalog.end_quarantine)(record);
    let ended = call_store(shared, "end_quarantine", call).await;
    log_write(&record, &ended);
    match ended {
        Ok(
            ConditionalWriteResult::Written(_) | ConditionalWriteResult::Conflict(None),
        ) => {
            end_quarantine(shared, request);
        }
        // Another box has written the record since; its version applies.
        Ok(ConditionalWriteResult::Conflict(Some(found))) => {
            apply_quarantine(shared, &found)
        }
        // `run_quarantine` retries it in its next round.
        Err(_) => {}
    }
}

fn log_write(
    record: &QuarantineRecord,
    result: &Result<ConditionalWriteResult, CatalogError>,
) {
    let (fingerprint, tries) = (record.request, record.tries);
    let on = record.position;
    match result {
        Ok(outcome) => {
            tracing::info!(%fingerprint, tries, %on, ?outcome, "quarantine: written.");
        }
        Err(error) => {
            tracing::warn!(%fingerprint, tries, %on, %error, "quarantine: not written.");
        }
    }
}

/// Waits until a request is cleared or `deadline` is reached.
async fn wait_until_cleared(
    shared: &EdgeState,
    request: RequestFingerprint,
    deadline: Instant,
) {
    while wingspur_clock::now() < deadline && is_quarantined(shared, request) {
        wingspur_clock::sleep(CLEARED_POLL_INTERVAL).await;
    }
}

/// Time after which the hub's reply counts as lost. The hub replies after one store call,
/// which takes milliseconds, or a quarter of a second if the store is slow.
const HUB_REPLY_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay before another permit request. A member links with its next hub in less time.
const PERMIT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Interval at which a waiting request checks whether it has been cleared.
const CLEARED_POLL_INTERVAL: Duration = Duration::from_millis(25);
const EVICTION_INTERVAL: Duration = Duration::from_secs(1);
