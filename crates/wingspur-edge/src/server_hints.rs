//! What servers say of themselves in their answers: heard, told, and kept to.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use wingspur_coordination::{LinkId, ReserveShare};
use wingspur_protocol::{
    LeasedResource, ServerDrainingUpdate, ServerHints, ServerLimitUpdate,
};
use wingspur_state::{
    AcquireOutcome, Priority, RegistryChange, ServerKey, ServerLimitChange, ServerRecord,
};
use wingspur_transport::ResponseHead;

use crate::edge_state::EdgeState;
use crate::quota_leases::acquire_quota;

/// Takes in what the head of an answer says of the server that was asked, whatever becomes
/// of the answer.
///
/// All heads of servers' answers come by here, so that no path of a request can miss a word.
pub fn observe_response(
    shared: &EdgeState,
    id: &str,
    server: &ServerRecord,
    head: &ResponseHead,
) -> ServerHints {
    let now = wingspur_clock::now();
    let hints = head.hints(&shared.header_names, SystemTime::now());
    if hints.is_other_instance {
        // What it says of itself is not of the run that was asked.
        receive_replaced(shared, id, server);
        return hints;
    }
    note_unreadable(shared, id, server, &hints);
    if let Ok(per_s) = hints.limit_per_s {
        receive_limit(shared, server, per_s, now);
    }
    if hints.draining == Ok(true) {
        receive_leaving(shared, id, server, now);
    }
    if let Ok(Some(rest)) = hints.backoff {
        receive_backoff(shared, id, server, rest, now);
    }
    hints
}

/// Stops sending to a run whose address is another's now.
fn receive_replaced(shared: &EdgeState, id: &str, server: &ServerRecord) {
    shared
        .announced_states
        .lock()
        .receive_replaced(server.key());
    adopt(shared, server.key());
    shared.metrics.count_server_hint("replaced");
    tracing::warn!(id, server = %server.id, address = %server.address, "server: its address is another's now.");
}

fn note_unreadable(
    shared: &EdgeState,
    id: &str,
    server: &ServerRecord,
    hints: &ServerHints,
) {
    let note = |word: &str, error: &dyn std::fmt::Display| {
        shared.metrics.count_server_hint(word);
        tracing::info!(id, server = %server.id, %error, "server: a word is not read.");
    };
    if let Err(error) = &hints.draining {
        note("unreadable_leaving", error);
    }
    if let Err(error) = &hints.backoff {
        note("unreadable_rest", error);
    }
    if let Err(error) = &hints.limit_per_s {
        shared.metrics.count_limit("unreadable");
        note("unreadable_limit", error);
    }
}

fn receive_limit(
    shared: &EdgeState,
    server: &ServerRecord,
    per_s: Option<f64>,
    at: Instant,
) {
    let mut standings = shared.announced_states.lock();
    let change = standings.limits.receive_answer(server.key(), per_s, at);
    drop(standings);
    if let Some(change) = change {
        apply(shared, &change, "own", None);
    }
}

fn receive_leaving(shared: &EdgeState, id: &str, server: &ServerRecord, now: Instant) {
    let is_new = shared
        .announced_states
        .lock()
        .record_draining(server.key(), now);
    if is_new {
        apply_leaving(shared, id, server.key(), now, None);
    }
}

fn receive_backoff(
    shared: &EdgeState,
    id: &str,
    server: &ServerRecord,
    rest: Duration,
    now: Instant,
) {
    let is_new = shared
        .announced_states
        .lock()
        .receive_backoff(server.key(), now + rest);
    if is_new {
        adopt(shared, server.key());
    }
    shared.metrics.count_server_hint("rest");
    let outcome = if is_new {
        "asked for"
    } else {
        "asked for less"
    };
    let rest_ms = rest.as_millis() as u64;
    tracing::info!(id, server = %server.id, rest_ms, "rest: {outcome}.");
}

/// Takes in what another box tells of servers' limits.
pub fn handle_limit_updates(
    shared: &EdgeState,
    link: LinkId,
    notes: &[ServerLimitUpdate],
) {
    let now = wingspur_clock::now();
    for note in notes {
        let age = Duration::from_millis(note.age_ms.into());
        let told = shared.links.lock().observation_window(link, age, now);
        let mut standings = shared.announced_states.lock();
        let change = standings
            .limits
            .receive_updates(note.server, note.per_s, told);
        drop(standings);
        if let Some(change) = change {
            apply(shared, &change, "peer", Some(link));
        }
    }
}

/// Takes in that other boxes have heard servers say that they leave.
pub fn handle_leaving_updates(
    shared: &EdgeState,
    link: LinkId,
    notes: &[ServerDrainingUpdate],
) {
    let now = wingspur_clock::now();
    for note in notes {
        let age = Duration::from_millis(note.age_ms.into());
        let (earliest, _) = shared.links.lock().observation_window(link, age, now);
        let is_new = shared
            .announced_states
            .lock()
            .record_draining(note.server, earliest);
        if is_new {
            apply_leaving(shared, "", note.server, earliest, Some(link));
        }
    }
}

/// Notes what the catalog says of servers before their services follow it: what they have
/// said stands for as long as their run does, also while it is not announced.
pub fn record_announcements(shared: &EdgeState, changes: &[RegistryChange]) {
    let now = wingspur_clock::now();
    let mut standings = shared.announced_states.lock();
    let mut note_put = |record: &ServerRecord| {
        standings.announce(record.key());
        if record.leaving {
            standings.record_catalog_draining(record.key(), now);
        }
    };
    for change in changes {
        match change {
            RegistryChange::Updated(record) => note_put(record),
            RegistryChange::Restarted { record, .. } => note_put(record),
            RegistryChange::Removed(_) => {}
        }
    }
    for change in changes {
        match change {
            RegistryChange::Updated(_) => {}
            RegistryChange::Restarted { before, .. } => standings.forget(before.key()),
            RegistryChange::Removed(record) => standings.withdraw(record.key()),
        }
    }
    standings.limits.evict_expired(now);
}

/// Lets this box's picks go by how a server stands now; the server, if it is announced.
fn adopt(shared: &EdgeState, server: ServerKey) -> Option<Arc<ServerRecord>> {
    let service = shared.services.of_server(server)?;
    let mut balancer = service.balancer.lock();
    let standing = shared.announced_states.lock().state(server);
    balancer.set_announced_state(server, standing);
    balancer.record(server).cloned()
}

/// Lets this box's picks go by a server that leaves, and tells the others.
fn apply_leaving(
    shared: &EdgeState,
    id: &str,
    key: ServerKey,
    since: Instant,
    from: Option<LinkId>,
) {
    let record = adopt(shared, key);
    shared.links.lock().broadcast_leaving(key, since, from);
    shared.pending_updates.notify();
    shared.metrics.count_server_hint("leaving");
    tracing::info!(
        id,
        server = record.as_ref().map_or("", |record| &record.id),
        service = record.as_ref().map_or("", |record| &record.service),
        age_ms = wingspur_clock::since(since).as_millis() as u64,
        source = if from.is_some() { "peer" } else { "own" },
        "server: says that it leaves."
    );
}

/// Lets this box's picks go by a changed limit, and tells the others.
fn apply(
    shared: &EdgeState,
    change: &ServerLimitChange,
    source: &str,
    from: Option<LinkId>,
) {
    let record = adopt(shared, change.server);
    shared.links.lock().broadcast_limit(change, from);
    shared.pending_updates.notify();
    let outcome = match (change.before, change.per_s) {
        (_, None) => "ended",
        (None, Some(_)) => "named",
        (Some(_), Some(_)) => "changed",
    };
    shared.metrics.count_limit(outcome);
    tracing::info!(
        server = record.as_ref().map_or("", |record| &record.id),
        service = record.as_ref().map_or("", |record| &record.service),
        before_per_s = change.before,
        per_s = change.per_s,
        age_ms = wingspur_clock::since(change.at).as_millis() as u64,
        source,
        "limit: {outcome}."
    );
}

/// Asks for a place at a server that takes so many requests only; none where it has none left,
/// with when there should be one, if that is known.
pub async fn acquire_server_quota(
    shared: &EdgeState,
    id: &str,
    server: &ServerRecord,
    rank: Priority,
) -> Result<(), Option<Duration>> {
    let began = wingspur_clock::now();
    let of = LeasedResource::Server(server.key());
    let outcome = acquire_quota(shared, of, reserve_of(rank), PLACE_PATIENCE).await;
    let (told, more_in) = match outcome {
        AcquireOutcome::Acquired => ("place taken", None),
        AcquireOutcome::Refused(more_in) => ("no place", Some(more_in)),
        AcquireOutcome::Unknown | AcquireOutcome::Pending => ("nobody could tell", None),
    };
    shared.metrics.count_limit(&told.replace(' ', "_"));
    tracing::info!(
        id,
        server = %server.id,
        rank,
        waited_ms = wingspur_clock::since(began).as_millis() as u64,
        more_in_ms = more_in.map(|more_in| more_in.as_millis() as u64),
        "limit: {told}."
    );
    match outcome {
        AcquireOutcome::Acquired => Ok(()),
        AcquireOutcome::Refused(_)
        | AcquireOutcome::Unknown
        | AcquireOutcome::Pending => Err(more_in),
    }
}

/// The share of the room beyond one place that a request leaves to more urgent ones: places
/// that come while there are none to spare go to those first, whoever asked before.
fn reserve_of(rank: Priority) -> ReserveShare {
    f32::from(rank.min(MAX_PRIORITY_LEVEL)) * RESERVE_PER_RANK
}

/// The holder of a server's limit answers within some milliseconds; meanwhile a request could
/// go elsewhere.
const PLACE_PATIENCE: Duration = Duration::from_millis(40);
/// Ranks beyond this count as this one.
pub const MAX_PRIORITY_LEVEL: Priority = 3;
const RESERVE_PER_RANK: f32 = 0.25;
