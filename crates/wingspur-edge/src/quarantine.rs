//! Requests in quarantine: who may send one, and what the store holds of them.
//!
//! A box counts in the store each time that it lets such a request through, before it does; one
//! that cannot have the store asks its hub.

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

use crate::edge_state::EdgeState;
use crate::lease_messages::send_lease_messages;
use crate::quarantine_state::SendPermission;
use crate::store_calls::call_store;

/// Waits until a request may be sent, or it is known that it may not before `limit`.
///
/// While another box tries it, the outcome is worth waiting for: a request that is well is
/// answered in a third of a second, and all that wait go on. Where no try is left it is
/// refused at once.
pub async fn wait_for_send_permit(
    shared: &Arc<EdgeState>,
    id: &str,
    request: RequestFingerprint,
    limit: Instant,
) -> SendPermission {
    let began = wingspur_clock::now();
    loop {
        if !is_quarantined(shared, request) {
            return SendPermission::Free;
        }
        let step = decide(shared, request).await;
        let now = wingspur_clock::now();
        let left = limit.saturating_duration_since(now);
        let permission = match step {
            Step::Lend => SendPermission::Once,
            Step::Later(after) if after >= left => SendPermission::Refused(after),
            Step::Later(after) => {
                wait_for_updates(shared, request, now + after).await;
                continue;
            }
        };
        shared.metrics.count_permit(permission);
        tracing::info!(
            id,
            fingerprint = %request,
            outcome = ?permission,
            waited_ms = wingspur_clock::since(began).as_millis() as u64,
            left_ms = left.as_millis() as u64,
            "quarantine: asked whether it may be sent."
        );
        return permission;
    }
}

/// Whether a request may be sent with a permit only.
pub fn is_quarantined(shared: &EdgeState, request: RequestFingerprint) -> bool {
    let suspects = shared.suspect_requests.lock();
    !suspects.is_empty() && suspects.is_quarantined(request, wingspur_clock::now())
}

/// Writes to the store that a request is in quarantine, where this box is the hub of the one
/// that has seen it, so that boxes that start know it.
pub fn store_quarantine(shared: &Arc<EdgeState>, request: RequestFingerprint) {
    if shared.links.lock().own_hub().is_some() || !is_quarantined(shared, request) {
        return;
    }
    let known = shared.suspect_requests.lock().quarantine(request);
    let mut state = shared.quarantine.lock();
    let due =
        state
            .permits
            .begin_quarantine(request, known.as_ref(), wingspur_clock::now());
    drop(state);
    let Some(count) = due else { return };
    let shared = shared.clone();
    let spawner = shared.spawner.clone();
    spawner.detach(async move {
        let outcome = write(&shared, request, count).await;
        let mut state = shared.quarantine.lock();
        state
            .permits
            .quarantine_recorded(request, outcome, wingspur_clock::now());
    });
}

/// Takes in what the catalog says of a request in quarantine.
pub fn apply_quarantine(shared: &EdgeState, record: &QuarantineRecord) {
    let known = known_at(record, wingspur_clock::now());
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

/// Takes in that a request is in quarantine no more.
pub fn end_quarantine(shared: &EdgeState, request: RequestFingerprint) {
    shared.suspect_requests.lock().remove_quarantine(request);
    shared.quarantine.lock().permits.forget(request);
    tracing::info!(fingerprint = %request, "quarantine: ended.");
}

/// Takes in all requests that are in quarantine, as a listing at a position has them.
pub fn replace_quarantines(
    shared: &Arc<EdgeState>,
    position: StorePosition,
    records: &[QuarantineRecord],
) {
    if shared.links.lock().position().era() < position.era() {
        return take_restored(shared, position.era(), records);
    }
    let listed = |request: &RequestFingerprint| {
        records.iter().any(|record| record.request == *request)
    };
    let known: Vec<_> = shared.suspect_requests.lock().quarantines().collect();
    for (request, _) in known {
        if !listed(&request) {
            end_quarantine(shared, request);
        }
    }
    for record in records {
        apply_quarantine(shared, record);
    }
}

/// Takes in what a restored store holds; a hub writes again what it has lost.
fn take_restored(shared: &Arc<EdgeState>, era: StoreEra, records: &[QuarantineRecord]) {
    let now = wingspur_clock::now();
    let listed: Vec<_> = records
        .iter()
        .map(|r| (r.request, known_at(r, now)))
        .collect();
    let lost = shared
        .suspect_requests
        .lock()
        .reconcile_restored(era, &listed);
    tracing::info!(
        era,
        listed = listed.len(),
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
            let count = TrialRecord {
                tries: known.tries,
                counted_by: known.counted_by,
                expected_position: known.position,
            };
            write(&shared, request, count).await;
        }
    });
}

fn known_at(record: &QuarantineRecord, heard: Instant) -> StoredQuarantine {
    StoredQuarantine {
        position: record.position,
        tries: record.tries,
        counted_by: record.counted_by,
        heard,
    }
}

/// All requests that are in quarantine, for a box that is behind.
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

/// Answers another box that asks whether it may send a request, once that is decided.
pub fn handle_permit_request(
    shared: &Arc<EdgeState>,
    link: LinkId,
    asked: &QuotaLeaseRequest,
) {
    let LeasedResource::Permit(request) = asked.resource else {
        return;
    };
    let (number, of) = (asked.request_id, asked.resource);
    let shared = shared.clone();
    let spawner = shared.spawner.clone();
    spawner.detach(async move {
        let (urgent, more_in) = match decide_here(&shared, request, true).await {
            TrialDecision::Lend => (1, Duration::ZERO),
            TrialDecision::Later(after) => (0, after),
            TrialDecision::AskHub | TrialDecision::Count(_) => (0, ASK_AGAIN),
        };
        let answer = QuotaLeaseReply {
            request_id: number,
            resource: of,
            on_demand_granted: urgent,
            prefetch_granted: 0.0,
            renewed: false,
            retry_after_ms: Some(more_in.as_millis() as u32),
        };
        send_lease_messages(&shared, vec![QuotaMessage::reply(link, answer, true)]);
    });
}

/// Takes in the hub's answer to a question of this box.
pub fn handle_permit_response(shared: &EdgeState, answer: &QuotaLeaseReply) {
    let asked = shared.quarantine.lock().pending.remove(&answer.request_id);
    if let Some(asked) = asked {
        // One that has given up does not listen any more.
        let _ = asked.try_send(*answer);
    }
}

/// Ends in the store what whole answers have cleared, and forgets what is too old, until the
/// box stops.
pub async fn run_quarantine(shared: Arc<EdgeState>, stop: StopSignal) {
    while !stop.is_triggered() {
        wingspur_clock::sleep(TIDY_EVERY).await;
        let now = wingspur_clock::now();
        let outlived = tidy(&shared, now);
        if shared.links.lock().own_hub().is_some() {
            continue;
        }
        for (request, known) in outlived {
            end_in_store(&shared, request, known).await;
        }
    }
}

/// Forgets what is too old; returns what the store still holds of cleared requests.
fn tidy(shared: &EdgeState, now: Instant) -> Vec<(RequestFingerprint, StoredQuarantine)> {
    let mut suspects = shared.suspect_requests.lock();
    suspects.evict_expired(now);
    let outlived = suspects.cleared_quarantines();
    shared.metrics.suspects.set(suspects.len() as i64);
    drop(suspects);
    shared.quarantine.lock().permits.evict_idle(now);
    outlived
}

/// What a box is told that asks.
enum Step {
    Lend,
    Later(Duration),
}

/// Decides here, after counting in the store what is let through; where the store cannot be
/// had, the hub decides.
async fn decide(shared: &Arc<EdgeState>, request: RequestFingerprint) -> Step {
    let hub = shared.links.lock().own_hub();
    match (decide_here(shared, request, hub.is_none()).await, hub) {
        (TrialDecision::Lend, _) => Step::Lend,
        (TrialDecision::Later(after), _) => Step::Later(after),
        (TrialDecision::AskHub, Some(hub)) => ask_hub(shared, request, hub).await,
        (TrialDecision::AskHub | TrialDecision::Count(_), _) => Step::Later(ASK_AGAIN),
    }
}

async fn ask_hub(
    shared: &Arc<EdgeState>,
    request: RequestFingerprint,
    hub: LinkId,
) -> Step {
    let (tell, told) = async_channel::bounded(1);
    let number = {
        let mut state = shared.quarantine.lock();
        state.last_number = state.last_number.wrapping_add(1);
        let number = state.last_number;
        state.pending.insert(number, tell);
        number
    };
    let question = QuotaLeaseRequest {
        request_id: number,
        resource: LeasedResource::Permit(request),
        held: 0.0,
        on_demand_count: 1,
        reserve: 0.0,
        wanted: 0.0,
    };
    send_lease_messages(shared, vec![QuotaMessage::request(hub, question)]);
    let told = async { told.recv().await.ok() };
    let expired = async {
        wingspur_clock::sleep(ANSWER_LOST).await;
        None
    };
    let answer = told.or(expired).await;
    shared.quarantine.lock().pending.remove(&number);
    match answer {
        Some(answer) if answer.on_demand_granted > 0 => Step::Lend,
        Some(answer) => {
            let after = answer.retry_after_ms.unwrap_or_default();
            Step::Later(Duration::from_millis(after.into()))
        }
        // The hub is lost: its successor is asked.
        None => Step::Later(ASK_AGAIN),
    }
}

/// Decides after counting in the store what is let through.
async fn decide_here(
    shared: &Arc<EdgeState>,
    request: RequestFingerprint,
    nobody_else: bool,
) -> TrialDecision {
    if !is_quarantined(shared, request) {
        return TrialDecision::Lend;
    }
    let (known, step) = {
        let suspects = shared.suspect_requests.lock();
        let mut state = shared.quarantine.lock();
        let step = state
            .permits
            .request_trial(request, &suspects, wingspur_clock::now());
        (suspects.quarantine(request), step)
    };
    let step = match step {
        TrialDecision::Count(count) => {
            let outcome = write(shared, request, count).await;
            let mut state = shared.quarantine.lock();
            let now = wingspur_clock::now();
            state
                .permits
                .trial_recorded(request, outcome, nobody_else, now)
        }
        step => step,
    };
    tracing::info!(
        fingerprint = %request,
        tries = known.map(|known| known.tries),
        position = known.map(|known| known.position.to_string()),
        outcome = ?step,
        "quarantine: decided."
    );
    step
}

/// Writes how often a request was let through, and takes in what stands then.
async fn write(
    shared: &Arc<EdgeState>,
    request: RequestFingerprint,
    count: TrialRecord,
) -> RecordOutcome {
    let record = QuarantineRecord {
        request,
        tries: count.tries,
        counted_by: count.counted_by,
        position: count.expected_position,
    };
    let call = (shared.catalog.record_trial)(record, SUSPECT_RETENTION);
    let written = call_store(shared, "quarantine", call).await;
    log_write(&record, &written);
    match written {
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
        Err(_) => look_whether_written(shared, &record).await,
    }
}

/// What became of a write whose answer is lost: it may have been done, and a try that is
/// counted but not made is one less for a request that is well.
async fn look_whether_written(
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

/// Ends in the store the quarantine of a request that was answered whole.
async fn end_in_store(
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
        // Someone else has written since: the catalog tells.
        Ok(ConditionalWriteResult::Conflict(Some(found))) => {
            apply_quarantine(shared, &found)
        }
        // It is tried again with the next round.
        Err(_) => {}
    }
}

fn log_write(
    record: &QuarantineRecord,
    written: &Result<ConditionalWriteResult, CatalogError>,
) {
    let (fingerprint, tries) = (record.request, record.tries);
    let on = record.position;
    match written {
        Ok(outcome) => {
            tracing::info!(%fingerprint, tries, %on, ?outcome, "quarantine: written.");
        }
        Err(error) => {
            tracing::warn!(%fingerprint, tries, %on, %error, "quarantine: not written.");
        }
    }
}

/// Waits until a request is cleared, at most until `until`.
async fn wait_for_updates(
    shared: &EdgeState,
    request: RequestFingerprint,
    until: Instant,
) {
    while wingspur_clock::now() < until && is_quarantined(shared, request) {
        wingspur_clock::sleep(LOOK_AGAIN).await;
    }
}

/// The hub answers after one call of the store, which takes milliseconds, and a quarter of a
/// second where it is slow.
const ANSWER_LOST: Duration = Duration::from_millis(700);
/// A member links with its next hub in less.
const ASK_AGAIN: Duration = Duration::from_millis(200);
/// How soon one that waits sees that the request is cleared.
const LOOK_AGAIN: Duration = Duration::from_millis(25);
const TIDY_EVERY: Duration = Duration::from_secs(1);
