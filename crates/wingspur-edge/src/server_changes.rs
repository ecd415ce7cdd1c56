//! What follows where the list of servers changes.

use std::sync::Arc;
use std::time::Instant;

use wingspur_state::RegistryChange;

use crate::server_hints::note_announced;
use crate::shared::Shared;
use crate::suspects::note_gone;

/// Lets the services follow what became of servers.
pub fn follow(shared: &Arc<Shared>, changes: &[RegistryChange], source: &str) {
    note_gone(shared, changes);
    note_announced(shared, changes);
    if changes.len() > MOST_SINGLE_LINES {
        // A box that starts would write one for each server that there is.
        let servers = changes.len();
        tracing::info!(servers, source, "server: many have changed.");
        return shared.services.follow(changes, &shared.standings);
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
    shared.services.follow(changes, &shared.standings);
}

/// Drops servers that have not come back after an outage of the store.
pub fn settle(shared: &Arc<Shared>, now: Instant) {
    let age = shared.links.lock().feed().confirmed_age(now);
    let Some(as_of) = age.and_then(|age| now.checked_sub(age)) else {
        return;
    };
    let changes = shared.directory.lock().settle(as_of);
    follow(shared, &changes, "settled");
}

/// So many servers that change at once have a log line each; a rack has fewer.
const MOST_SINGLE_LINES: usize = 40;
