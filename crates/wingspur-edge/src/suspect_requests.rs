//! What this box sees, tells and hears of requests under which servers end.

use std::sync::Arc;
use std::time::Duration;

use wingspur_coordination::LinkId;
use wingspur_state::{
    RegistryChange, RequestFingerprint, ServerRecord, SuspectEvent, SuspectMessage,
    SuspectUpdate,
};
use wingspur_transport::{BackendConnections, ConnectError};

use crate::edge_state::EdgeState;
use crate::quarantine::{is_quarantined, store_quarantine};

/// An attempt that broke off before its answer was whole.
pub struct InterruptedAttempt {
    /// The request.
    pub request: RequestFingerprint,
    /// The server.
    pub server: Arc<ServerRecord>,
    /// The connections to it.
    pub backend: Arc<BackendConnections>,
}

/// Finds out whether the server has ended under an attempt that broke off there: nobody
/// listens at its address any more, or its entry goes within some seconds.
pub async fn check_for_server_crash(
    shared: &Arc<EdgeState>,
    broken: &InterruptedAttempt,
) {
    let (request, server) = (broken.request, broken.server.key());
    let at = wingspur_clock::now();
    let checked = broken.backend.check(CHECK_TIMEOUT).await;
    let has_ended = checked
        .as_ref()
        .is_err_and(ConnectError::is_connection_refused);
    tracing::info!(
        fingerprint = %request,
        server = %broken.server.id,
        address = %broken.server.address,
        has_ended,
        error = checked.err().map(|error| error.to_string()),
        "server: looked for after an answer broke off."
    );
    if !has_ended {
        return shared
            .suspect_requests
            .lock()
            .record_broken_attempt(request, server, at);
    }
    let seen = SuspectEvent::ServerEnded(server);
    take_in_own(shared, SuspectUpdate { request, seen, at });
}

/// Notes that a request was answered whole, which clears it where servers have ended under
/// it.
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
    take_in_own(shared, SuspectUpdate { request, seen, at });
}

/// Takes in which servers have ended, as the catalog tells: what was out there, or broke off
/// there a moment ago, was out when they did.
pub fn record_server_crashes(shared: &Arc<EdgeState>, changes: &[RegistryChange]) {
    let now = wingspur_clock::now();
    for change in changes {
        let ended = match change {
            RegistryChange::Removed(record) => record,
            RegistryChange::Restarted { before, .. } => before,
            RegistryChange::Updated(_) => continue,
        };
        if ended.leaving {
            continue;
        }
        let server = ended.key();
        let mut updates = shared
            .suspect_requests
            .lock()
            .take_broken_attempts(server, now);
        let out = shared.in_flight.sent_to(&ended.id);
        updates.extend(out.into_iter().map(|request| SuspectUpdate {
            request,
            seen: SuspectEvent::ServerEnded(server),
            at: now,
        }));
        for updates in updates {
            take_in_own(shared, updates);
        }
    }
}

/// Takes in what another box tells, and passes on what was news here.
pub fn handle_suspect_updates(
    shared: &Arc<EdgeState>,
    link: LinkId,
    notes: &[SuspectMessage],
) {
    let now = wingspur_clock::now();
    for note in notes {
        let updates = note.to_update(now);
        let was_quarantined = is_quarantined(shared, updates.request);
        if !shared.suspect_requests.lock().apply_update(&updates, now) {
            continue;
        }
        if is_quarantined(shared, updates.request) != was_quarantined {
            // Who has seen it tells of each: this box tells what it changes here.
            log_update(shared, &updates, "peer");
        }
        let is_members = shared.links.lock().broadcast_suspect(&updates, Some(link));
        shared.pending_updates.notify();
        if is_members {
            store_quarantine(shared, updates.request);
        }
        vouch_soon(shared, updates.request);
    }
}

/// What a box that has just linked with this one should hear.
pub fn initial_suspect_updates(shared: &EdgeState) -> Vec<SuspectUpdate> {
    shared
        .suspect_requests
        .lock()
        .initial_updates(wingspur_clock::now())
}

/// Takes in what this box has seen, and tells the others without delay.
fn take_in_own(shared: &Arc<EdgeState>, updates: SuspectUpdate) {
    let now = wingspur_clock::now();
    if !shared.suspect_requests.lock().apply_update(&updates, now) {
        return;
    }
    shared.metrics.count_suspect(updates.seen);
    log_update(shared, &updates, "own");
    let mut links = shared.links.lock();
    links.broadcast_suspect(&updates, None);
    links.mark_urgent();
    drop(links);
    shared.urgent_updates.notify();
    shared.pending_updates.notify();
    store_quarantine(shared, updates.request);
    vouch_soon(shared, updates.request);
}

/// Tells the others that this box has answered a request in quarantine a moment before, at
/// some time in the next moments: where many boxes could, the first ones spare the rest.
fn vouch_soon(shared: &Arc<EdgeState>, request: RequestFingerprint) {
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
        wingspur_clock::sleep(VOUCH_WITHIN.mul_f64(rand::random())).await;
        let answered = shared
            .suspect_requests
            .lock()
            .answered_before(request, wingspur_clock::now());
        let Some(at) = answered else { return };
        let seen = SuspectEvent::AnsweredWhole;
        take_in_own(&shared, SuspectUpdate { request, seen, at });
    });
}

fn log_update(shared: &EdgeState, updates: &SuspectUpdate, source: &str) {
    let now = wingspur_clock::now();
    let suspects = shared.suspect_requests.lock();
    let endings = suspects.endings(updates.request, now);
    let is_quarantined = suspects.is_quarantined(updates.request, now);
    let known = suspects.len();
    drop(suspects);
    let age_ms = now.saturating_duration_since(updates.at).as_millis() as u64;
    let outcome = match updates.seen {
        SuspectEvent::ServerEnded(_) => "a server has ended under it",
        SuspectEvent::AnsweredWhole => "answered whole, cleared",
    };
    tracing::info!(
        fingerprint = %updates.request,
        endings,
        is_quarantined,
        known,
        age_ms,
        source,
        "suspect: {outcome}."
    );
}

/// News of a box reaches most others within this.
const VOUCH_WITHIN: Duration = Duration::from_millis(200);
/// A server refuses in one trip if nobody listens there; longer tells of the way to it.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);
