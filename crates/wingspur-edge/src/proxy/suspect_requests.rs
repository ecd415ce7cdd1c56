//! Detects which requests were in flight when servers ended, and exchanges this with
//! other boxes.

use std::sync::Arc;
use std::time::Duration;

use wingspur_coordination::LinkId;
use wingspur_state::{
    HealthOutcome, RegistryChange, RequestFingerprint, ServerRecord, SuspectEvent,
    SuspectMessage, SuspectUpdate,
};
use wingspur_transport::{BackendConnections, ConnectError};

use crate::edge_state::EdgeState;
use crate::path_check::{
    check_path, reaches_other_service, record_connected, record_unreached,
};
use crate::quotas::quarantine::{is_quarantined, store_quarantine};
use crate::services::ServiceState;

/// An attempt whose connection ended before the response was complete.
pub struct InterruptedAttempt {
    /// Fingerprint of the request.
    pub request: RequestFingerprint,
    /// The service.
    pub service: Arc<ServiceState>,
    /// The connections to the server.
    pub backend: Arc<BackendConnections>,
    /// The server.
    pub server: Arc<ServerRecord>,
    /// Ends the attempt, which is still in flight for the server's health.
    pub end: Box<dyn FnOnce(HealthOutcome) + Send>,
}

/// Checks whether the server of an interrupted attempt has ended, and blames the request
/// if so.
///
/// A server that refuses connections has ended, if this box reaches others. Otherwise the
/// attempt is recorded, so that the request is blamed if the server's catalog entry is
/// removed within some seconds. Without a path to the servers, neither the request nor
/// the server is blamed.
pub async fn check_for_server_crash(
    shared: &Arc<EdgeState>,
    attempt: InterruptedAttempt,
) {
    let (request, server) = (attempt.request, attempt.server.key());
    let at = wingspur_clock::now();
    let checked = attempt.backend.check(CHECK_TIMEOUT).await;
    let is_path_lost = match checked {
        Ok(()) => {
            record_connected(shared, &attempt.service, server);
            false
        }
        Err(_) => {
            record_unreached(shared, &attempt.service, server);
            !check_path(shared, &attempt.service).await
                && !reaches_other_service(shared, &attempt.service).await
        }
    };
    (attempt.end)(match is_path_lost {
        true => HealthOutcome::PathLost,
        false => HealthOutcome::Failed,
    });
    let has_ended = checked
        .as_ref()
        .is_err_and(ConnectError::is_connection_refused);
    tracing::info!(
        fingerprint = %request,
        server = %attempt.server.id,
        address = %attempt.server.address,
        has_ended,
        is_path_lost,
        error = checked.err().map(|error| error.to_string()),
        "server: looked for after an answer broke off."
    );
    if is_path_lost {
        return;
    }
    if !has_ended {
        return shared
            .suspect_requests
            .lock()
            .record_broken_attempt(request, server, at);
    }
    let seen = SuspectEvent::ServerEnded(server);
    apply_own_update(shared, SuspectUpdate { request, seen, at });
}

/// Records that a request was answered completely, which clears it of suspicion if
/// servers have ended while processing it.
pub fn record_completed(shared: &Arc<EdgeState>, request: RequestFingerprint) {
    let at = wingspur_clock::now();
    if !shared
        .suspect_requests
        .lock()
        .record_complete_answer(request, at)
    {
        return;
    }
    let seen = SuspectEvent::AnsweredWhole;
    apply_own_update(shared, SuspectUpdate { request, seen, at });
}

/// Records that servers have ended according to the catalog. Blames the requests that are
/// in flight at them or were interrupted there recently. Servers that were draining are
/// ignored.
pub fn record_server_crashes(shared: &Arc<EdgeState>, changes: &[RegistryChange]) {
    let now = wingspur_clock::now();
    for change in changes {
        let record = match change {
            RegistryChange::Removed(record) => record,
            RegistryChange::Restarted { before, .. } => before,
            RegistryChange::Updated(_) => continue,
        };
        if record.leaving {
            continue;
        }
        let server = record.key();
        let mut updates = shared
            .suspect_requests
            .lock()
            .take_broken_attempts(server, now);
        let in_flight = shared.in_flight.sent_to(&record.id);
        updates.extend(in_flight.into_iter().map(|request| SuspectUpdate {
            request,
            seen: SuspectEvent::ServerEnded(server),
            at: now,
        }));
        for update in updates {
            apply_own_update(shared, update);
        }
    }
}

/// Applies suspect updates of another box, and forwards those that were new here.
pub fn handle_suspect_updates(
    shared: &Arc<EdgeState>,
    link: LinkId,
    messages: &[SuspectMessage],
) {
    let now = wingspur_clock::now();
    for message in messages {
        let update = message.to_update(now);
        let was_quarantined = is_quarantined(shared, update.request);
        if !shared.suspect_requests.lock().apply_update(&update, now) {
            continue;
        }
        if is_quarantined(shared, update.request) != was_quarantined {
            // The box that observed an event logs each one. This box logs only those that
            // change whether the request is quarantined here.
            log_update(shared, &update, "peer");
        }
        let is_members = shared.links.lock().broadcast_suspect(&update, Some(link));
        shared.pending_updates.notify();
        if is_members {
            store_quarantine(shared, update.request);
        }
        schedule_cleared_update(shared, update.request);
    }
}

/// Returns the suspect updates for a newly linked box.
pub fn initial_suspect_updates(shared: &EdgeState) -> Vec<SuspectUpdate> {
    shared
        .suspect_requests
        .lock()
        .initial_updates(wingspur_clock::now())
}

/// Applies an event that this box has observed, and sends it to the other boxes at once.
fn apply_own_update(shared: &Arc<EdgeState>, update: SuspectUpdate) {
    let now = wingspur_clock::now();
    if !shared.suspect_requests.lock().apply_update(&update, now) {
        return;
    }
    shared.metrics.count_suspect(update.seen);
    log_update(shared, &update, "own");
    let mut links = shared.links.lock();
    links.broadcast_suspect(&update, None);
    links.mark_urgent();
    drop(links);
    shared.urgent_updates.notify();
    shared.pending_updates.notify();
    store_quarantine(shared, update.request);
    schedule_cleared_update(shared, update.request);
}

/// Tells the other boxes, after a random delay, that this box answered a request
/// completely shortly before it was quarantined.
///
/// If many boxes could do so, the first updates clear the request, and the other boxes
/// send none.
fn schedule_cleared_update(shared: &Arc<EdgeState>, request: RequestFingerprint) {
    let due = shared
        .suspect_requests
        .lock()
        .answered_before(request, wingspur_clock::now());
    if due.is_none() {
        return;
    }
    let shared = shared.clone();
    let spawner = shared.spawner.clone();
    spawner.detach(async move {
        wingspur_clock::sleep(MAX_CLEARED_UPDATE_DELAY.mul_f64(rand::random())).await;
        let answered_at = shared
            .suspect_requests
            .lock()
            .answered_before(request, wingspur_clock::now());
        let Some(at) = answered_at else { return };
        let seen = SuspectEvent::AnsweredWhole;
        apply_own_update(&shared, SuspectUpdate { request, seen, at });
    });
}

fn log_update(shared: &EdgeState, update: &SuspectUpdate, source: &str) {
    let now = wingspur_clock::now();
    let suspects = shared.suspect_requests.lock();
    let endings = suspects.endings(update.request, now);
    let is_quarantined = suspects.is_quarantined(update.request, now);
    let known = suspects.len();
    drop(suspects);
    let age_ms = now.saturating_duration_since(update.at).as_millis() as u64;
    let outcome = match update.seen {
        SuspectEvent::ServerEnded(_) => "a server has ended under it",
        SuspectEvent::AnsweredWhole => "answered whole, cleared",
    };
    tracing::info!(
        fingerprint = %update.request,
        endings,
        is_quarantined,
        known,
        age_ms,
        source,
        "suspect: {outcome}."
    );
}

/// Maximum random delay; a box's update reaches most other boxes within this time.
const MAX_CLEARED_UPDATE_DELAY: Duration = Duration::from_millis(200);
/// Timeout of the connection check. If nothing listens at the address, the connection is
/// refused within one round trip; a longer delay points to the network.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);
