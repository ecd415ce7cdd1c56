//! Applies changes of the server list to everything that depends on it.

use std::sync::Arc;
use std::time::Instant;

use wingspur_state::{RegistryChange, ServerId};

use crate::edge_state::EdgeState;
use crate::proxy::server_hints::record_announcements;
use crate::proxy::suspect_requests::record_server_crashes;

/// Applies changes of servers to the services, the announced states and the detection of
/// server crashes, and logs them. `source` tells in the log where the changes come from.
pub fn apply_server_changes(
    shared: &Arc<EdgeState>,
    changes: &[RegistryChange],
    source: &str,
) {
    record_server_crashes(shared, changes);
    record_announcements(shared, changes);
    let removed = |change: &&RegistryChange| matches!(change, RegistryChange::Removed(_));
    let outcome = match source {
        SETTLED => "expired",
        _ => "removed",
    };
    let removed = changes.iter().filter(removed).count();
    shared.metrics.count_vanished_servers(outcome, removed);
    if changes.len() > MAX_CHANGES_LOGGED_SINGLY {
        // A starting box would log one line for every server.
        let servers = changes.len();
        tracing::info!(servers, source, "server: many have changed.");
        return shared
            .services
            .apply_directory_changes(changes, &shared.announced_states);
    }
    for change in changes {
        let (event, record) = match change {
            RegistryChange::Updated(record) if record.leaving => ("leaving", record),
            RegistryChange::Updated(record) => ("takes work", record),
            RegistryChange::Restarted { record, .. } => ("started again", record),
            RegistryChange::Removed(record) => ("gone", record),
        };
        let (server, service) = (&record.id, &record.service);
        tracing::info!(%server, %service, address = %record.address, source, "server: {event}.");
    }
    shared
        .services
        .apply_directory_changes(changes, &shared.announced_states);
}

/// Counts and logs servers that are kept although their entries have vanished from the
/// store. `source` tells in the log where the changes come from.
pub fn log_kept_servers(
    shared: &EdgeState,
    servers: &[ServerId],
    source: &str,
    now: Instant,
) {
    if servers.is_empty() {
        return;
    }
    shared.metrics.count_vanished_servers("kept", servers.len());
    let read_age = shared.links.lock().watch_state().confirmed_age(now);
    let read_age_ms = read_age.map(|age| age.as_millis() as u64);
    let grace = shared.directory.lock().removal_grace_left(now);
    let grace_ms = grace.as_millis() as u64;
    if servers.len() > MAX_CHANGES_LOGGED_SINGLY {
        let servers = servers.len();
        tracing::info!(
            servers,
            grace_ms,
            read_age_ms,
            source,
            "server: many kept without an entry."
        );
        return;
    }
    for server in servers {
        tracing::info!(
            %server,
            grace_ms,
            read_age_ms,
            source,
            "server: kept without an entry."
        );
    }
}

/// Removes servers whose entries have not been written again in time after an outage of
/// the store. Uses entries that were held back after a restore of the store once they
/// must have been written since. Does nothing while no reading of the store has reached
/// this box.
pub fn expire_missing_servers(shared: &Arc<EdgeState>, now: Instant) {
    let age = shared.links.lock().watch_state().confirmed_age(now);
    let Some(as_of) = age.and_then(|age| now.checked_sub(age)) else {
        return;
    };
    let changes = shared.directory.lock().finish_grace(as_of);
    apply_server_changes(shared, &changes, SETTLED);
}

/// The source of changes that the end of a grace period makes.
const SETTLED: &str = "settled";

/// The largest number of simultaneous server changes that are logged with one line each.
/// A rack has fewer servers.
const MAX_CHANGES_LOGGED_SINGLY: usize = 40;
