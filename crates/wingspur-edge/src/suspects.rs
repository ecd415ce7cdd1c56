//! What this box sees, tells and hears of requests under which servers end.

use std::sync::Arc;
use std::time::Duration;

use wingspur_coordination::LinkId;
use wingspur_state::{
    RegistryChange, RequestFingerprint, ServerRecord, SuspectEvent, SuspectMessage,
    SuspectUpdate,
};
use wingspur_transport::{BackendConnections, ConnectError};

use crate::quarantine::{is_quarantined, open_quarantine};
use crate::shared::Shared;

/// An attempt that broke off before its answer was whole.
pub struct BrokenOff {
    /// The request.
    pub request: RequestFingerprint,
    /// The server.
    pub server: Arc<ServerRecord>,
    /// The connections to it.
    pub backend: Arc<BackendConnections>,
}

/// Finds out whether the server has ended under an attempt that broke off there: nobody
/// listens at its address any more, or its entry goes within some seconds.
pub async fn note_broken_off(shared: &Arc<Shared>, broken: &BrokenOff) {
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
            .suspects
            .lock()
            .record_broken_attempt(request, server, at);
    }
    let seen = SuspectEvent::ServerEnded(server);
    take_in_own(shared, SuspectUpdate { request, seen, at });
}

/// Notes that a request was answered whole, which clears it where servers have ended under
/// it.
pub fn note_answered(shared: &Arc<Shared>, request: RequestFingerprint) {
    let at = wingspur_clock::now();
    if !shared.suspects.lock().record_complete_answer(request, at) {
        return;
    }
    let seen = SuspectEvent::AnsweredWhole;
    take_in_own(shared, SuspectUpdate { request, seen, at });
}

/// Takes in which servers have ended, as the catalog tells: what was out there, or broke off
/// there a moment ago, was out when they did.
pub fn note_gone(shared: &Arc<Shared>, changes: &[RegistryChange]) {
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
        let mut updates = shared.suspects.lock().take_broken_attempts(server, now);
        let out = shared.requests_out.sent_to(&ended.id);
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
pub fn take_notes(shared: &Arc<Shared>, link: LinkId, notes: &[SuspectMessage]) {
    let now = wingspur_clock::now();
    for note in notes {
        let updates = note.to_update(now);
        let was_quarantined = is_quarantined(shared, updates.request);
        if !shared.suspects.lock().apply_update(&updates, now) {
            continue;
        }
        if is_quarantined(shared, updates.request) != was_quarantined {
            // Who has seen it tells of each: this box tells what it changes here.
            log_update(shared, &updates, "peer");
        }
        let is_members = shared.links.lock().spread_suspect(&updates, Some(link));
        shared.updates.notify();
        if is_members {
            open_quarantine(shared, updates.request);
        }
        vouch_soon(shared, updates.request);
    }
}

/// What a box that has just linked with this one should hear.
pub fn greeting_notes(shared: &Shared) -> Vec<SuspectUpdate> {
    shared
        .suspects
        .lock()
        .initial_updates(wingspur_clock::now())
}

/// Takes in what this box has seen, and tells the others without delay.
fn take_in_own(shared: &Arc<Shared>, updates: SuspectUpdate) {
    let now = wingspur_clock::now();
    if !shared.suspects.lock().apply_update(&updates, now) {
        return;
    }
    shared.metrics.count_suspect(updates.seen);
    log_update(shared, &updates, "own");
    let mut links = shared.links.lock();
    links.spread_suspect(&updates, None);
    links.note_urgent();
    drop(links);
    shared.alarm.notify();
    shared.updates.notify();
    open_quarantine(shared, updates.request);
    vouch_soon(shared, updates.request);
}

/// Tells the others that this box has answered a request in quarantine a moment before, at
/// some time in the next moments: where many boxes could, the first ones spare the rest.
fn vouch_soon(shared: &Arc<Shared>, request: RequestFingerprint) {
    let due = shared
        .suspects
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
            .suspects
            .lock()
            .answered_before(request, wingspur_clock::now());
        let Some(at) = answered else { return };
        let seen = SuspectEvent::AnsweredWhole;
        take_in_own(&shared, SuspectUpdate { request, seen, at });
    });
}

fn log_update(shared: &Shared, updates: &SuspectUpdate, source: &str) {
    let now = wingspur_clock::now();
    let suspects = shared.suspects.lock();
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
