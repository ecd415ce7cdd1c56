//! What follows where the list of servers changes.

use std::sync::Arc;
use std::time::Instant;

use wingspur_state::RegistryChange;

use crate::edge_state::EdgeState;
use crate::server_hints::record_announcements;
use crate::suspect_requests::record_server_crashes;

/// Lets the services follow what became of servers.
pub fn apply_server_changes(
    shared: &Arc<EdgeState>,
    changes: &[RegistryChange],
    source: &str,
) {
    record_server_crashes(shared, changes);
    record_announcements(shared, changes);
    if changes.len() > MOST_SINGLE_LINES {
        // A box that starts would write one for each server that there is.
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

/// Drops servers that have not come back after an outage of the store.
pub fn expire_missing_servers(shared: &Arc<EdgeState>, now: Instant) {
    let age = shared.links.lock().watch_state().confirmed_age(now);
    let Some(as_of) = age.and_then(|age| now.checked_sub(age)) else {
        return;
    };
    let changes = shared.directory.lock().settle(as_of);
    apply_server_changes(shared, &changes, "settled");
}

/// So many servers that change at once have a log line each; a rack has fewer.
const MOST_SINGLE_LINES: usize = 40;
