//! Hints that servers give about themselves in response headers: applied here and sent to
//! other boxes.

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
use crate::quotas::quota_leases::acquire_quota;

/// Applies the hints in a server's response head, regardless of what happens to the
/// response afterwards, and returns them.
///
/// Every response that belongs to a request passes through here once, so that no request
/// path can miss a hint. A copy does not: its backoff or limit may be over, and the
/// request that it precedes may be for another instance. If the head comes from another
/// instance than the one the request was sent to, its other hints are not applied.
pub fn observe_response(
    shared: &EdgeState,
    id: &str,
    server: &ServerRecord,
    head: &ResponseHead,
) -> ServerHints {
    let now = wingspur_clock::now();
    let hints = head.hints(&shared.header_names, SystemTime::now());
    if hints.is_other_instance {
        // The other hints are not about the instance that the request was sent to.
        handle_replaced_instance(shared, id, server);
        return hints;
    }
    report_unreadable_hints(shared, id, server, &hints);
    if let Ok(per_s) = hints.limit_per_s {
        handle_own_limit(shared, server, per_s, now);
    }
    if hints.draining == Ok(true) {
        handle_own_draining(shared, id, server, now);
    }
    if let Ok(Some(backoff)) = hints.backoff {
        handle_own_backoff(shared, id, server, backoff, now);
    }
    hints
}

/// Stops sending to a server instance whose address another instance uses now.
fn handle_replaced_instance(shared: &EdgeState, id: &str, server: &ServerRecord) {
    shared
        .announced_states
        .lock()
        .receive_replaced(server.key());
    update_balancer(shared, server.key());
    shared.metrics.count_server_hint("replaced");
    tracing::warn!(
        id,
        server = %server.id,
        address = %server.address,
        "server: its address is another's now."
    );
}

fn report_unreadable_hints(
    shared: &EdgeState,
    id: &str,
    server: &ServerRecord,
    hints: &ServerHints,
) {
    let report = |hint: &str, error: &dyn std::fmt::Display| {
        shared.metrics.count_server_hint(hint);
        tracing::info!(id, server = %server.id, %error, "server: a word is not read.");
    };
    if let Err(error) = &hints.draining {
        report("unreadable_leaving", error);
    }
    if let Err(error) = &hints.backoff {
        report("unreadable_rest", error);
    }
    if let Err(error) = &hints.limit_per_s {
        shared.metrics.count_limit("unreadable");
        report("unreadable_limit", error);
    }
}

fn handle_own_limit(
    shared: &EdgeState,
    server: &ServerRecord,
    per_s: Option<f64>,
    at: Instant,
) {
    let mut states = shared.announced_states.lock();
    let change = states.limits.receive_response(server.key(), per_s, at);
    drop(states);
    if let Some(change) = change {
        apply_limit(shared, &change, "own", None);
    }
}

fn handle_own_draining(
    shared: &EdgeState,
    id: &str,
    server: &ServerRecord,
    now: Instant,
) {
    let is_new = shared
        .announced_states
        .lock()
        .record_draining(server.key(), now);
    if is_new {
        apply_draining(shared, id, server.key(), now, None);
    }
}

fn handle_own_backoff(
    shared: &EdgeState,
    id: &str,
    server: &ServerRecord,
    backoff: Duration,
    now: Instant,
) {
    let is_new = shared
        .announced_states
        .lock()
        .receive_backoff(server.key(), now + backoff);
    if is_new {
        update_balancer(shared, server.key());
    }
    shared.metrics.count_server_hint("rest");
    let outcome = if is_new {
        "asked for"
    } else {
        "asked for less"
    };
    let rest_ms = backoff.as_millis() as u64;
    tracing::info!(id, server = %server.id, rest_ms, "rest: {outcome}.");
}

/// Applies server rate limits reported by another box and forwards changes.
pub fn handle_limit_updates(
    shared: &EdgeState,
    link: LinkId,
    updates: &[ServerLimitUpdate],
) {
    let now = wingspur_clock::now();
    for update in updates {
        let age = Duration::from_millis(update.age_ms.into());
        let window = shared.links.lock().observation_window(link, age, now);
        let mut states = shared.announced_states.lock();
        let change = states
            .limits
            .receive_updates(update.server, update.per_s, window);
        drop(states);
        if let Some(change) = change {
            apply_limit(shared, &change, "peer", Some(link));
        }
    }
}

/// Applies another box's report that servers are draining and forwards what is new.
pub fn handle_draining_updates(
    shared: &EdgeState,
    link: LinkId,
    updates: &[ServerDrainingUpdate],
) {
    let now = wingspur_clock::now();
    for update in updates {
        let age = Duration::from_millis(update.age_ms.into());
        let (earliest, _) = shared.links.lock().observation_window(link, age, now);
        let is_new = shared
            .announced_states
            .lock()
            .record_draining(update.server, earliest);
        if is_new {
            apply_draining(shared, "", update.server, earliest, Some(link));
        }
    }
}

/// Updates the announced server states from catalog changes, before these are applied to
/// the services. What a server has announced is kept for as long as its instance lives,
/// also while the catalog does not list it.
pub fn record_announcements(shared: &EdgeState, changes: &[RegistryChange]) {
    let now = wingspur_clock::now();
    let mut states = shared.announced_states.lock();
    let mut record_listed = |record: &ServerRecord| {
        states.announce(record.key());
        if record.leaving {
            states.record_catalog_draining(record.key(), now);
        }
    };
    for change in changes {
        match change {
            RegistryChange::Updated(record) => record_listed(record),
            RegistryChange::Restarted { record, .. } => record_listed(record),
            RegistryChange::Removed(_) => {}
        }
    }
    for change in changes {
        match change {
            RegistryChange::Updated(_) => {}
            RegistryChange::Restarted { before, .. } => states.forget(before.key()),
            RegistryChange::Removed(record) => states.withdraw(record.key()),
        }
    }
    states.limits.evict_expired(now);
}

/// Applies a server's announced state to the balancer of its service. Returns the
/// server's record; `None` if the catalog does not list it.
fn update_balancer(shared: &EdgeState, server: ServerKey) -> Option<Arc<ServerRecord>> {
    let service = shared.services.of_server(server)?;
    let mut balancer = service.balancer.lock();
    let state = shared.announced_states.lock().state(server);
    balancer.set_announced_state(server, state);
    balancer.record(server).cloned()
}

/// Applies to the balancer that a server is draining, and sends it to the other boxes.
fn apply_draining(
    shared: &EdgeState,
    id: &str,
    key: ServerKey,
    since: Instant,
    from: Option<LinkId>,
) {
    let record = update_balancer(shared, key);
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

/// Applies a changed rate limit to the balancer, and sends it to the other boxes.
fn apply_limit(
    shared: &EdgeState,
    change: &ServerLimitChange,
    source: &str,
    from: Option<LinkId>,
) {
    let record = update_balancer(shared, change.server);
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

/// Acquires one unit of a backend server's declared rate limit before a request is sent
/// to it.
///
/// The error says that none was available in time, with the time until one should be;
/// `None` if that is not known.
pub async fn acquire_server_quota(
    shared: &EdgeState,
    id: &str,
    server: &ServerRecord,
    priority: Priority,
) -> Result<(), Option<Duration>> {
    let started_at = wingspur_clock::now();
    let resource = LeasedResource::Server(server.key());
    let outcome = acquire_quota(
        shared,
        resource,
        reserve_share(priority),
        SERVER_QUOTA_TIMEOUT,
    )
    .await;
    let (result, available_in) = match outcome {
        AcquireOutcome::Acquired => ("place taken", None),
        AcquireOutcome::Refused(available_in) => ("no place", Some(available_in)),
        AcquireOutcome::Unknown | AcquireOutcome::Pending => ("nobody could tell", None),
    };
    shared.metrics.count_limit(&result.replace(' ', "_"));
    tracing::info!(
        id,
        server = %server.id,
        rank = priority,
        waited_ms = wingspur_clock::since(started_at).as_millis() as u64,
        more_in_ms = available_in.map(|available_in| available_in.as_millis() as u64),
        "limit: {result}."
    );
    match outcome {
        AcquireOutcome::Acquired => Ok(()),
        AcquireOutcome::Refused(_)
        | AcquireOutcome::Unknown
        | AcquireOutcome::Pending => Err(available_in),
    }
}

/// Returns the share of the quota beyond one unit that a request leaves to more urgent
/// ones. When the quota is scarce, more urgent requests get it first, even if they asked
/// later.
fn reserve_share(priority: Priority) -> ReserveShare {
    f32::from(priority.min(MAX_PRIORITY_LEVEL)) * RESERVE_PER_PRIORITY_LEVEL
}

/// Longest wait for a unit of a server's quota. Its allocator replies within some
/// milliseconds, and the request could use another server meanwhile.
const SERVER_QUOTA_TIMEOUT: Duration = Duration::from_millis(40);
/// Highest (least urgent) priority level that is told apart; higher levels count as this
/// one.
pub const MAX_PRIORITY_LEVEL: Priority = 3;
const RESERVE_PER_PRIORITY_LEVEL: f32 = 0.25;
