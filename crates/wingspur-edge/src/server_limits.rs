//! What this box hears of the limits that servers name in their answers.

use std::time::Instant;

use hyper::header::HeaderMap;
use wingspur_protocol::parse_server_limit;
use wingspur_state::{LimitChange, ServerRecord};

use crate::shared::Shared;

/// Takes in what an answer of a server says of its limit, whatever else it says.
pub fn note_answer(
    shared: &Shared,
    server: &ServerRecord,
    headers: &HeaderMap,
    at: Instant,
) {
    let Some(name) = shared.names.server_limit else {
        return;
    };
    let values = headers.get_all(name).iter();
    let values = values.map(hyper::header::HeaderValue::as_bytes);
    let per_s = match parse_server_limit(values) {
        Ok(per_s) => per_s,
        Err(error) => {
            tracing::debug!(server = %server.id, %error, "limit: not read.");
            return shared.metrics.count_limit("unreadable");
        }
    };
    let change = shared
        .server_limits
        .lock()
        .hear_answer(server.key(), per_s, at);
    if let Some(change) = change {
        log_change(shared, server, &change, "own");
    }
}

/// Logs a limit that is not what it was, by whom it was heard.
fn log_change(
    shared: &Shared,
    server: &ServerRecord,
    change: &LimitChange,
    source: &str,
) {
    let outcome = match change.per_s {
        Some(_) => "named",
        None => "ended",
    };
    shared.metrics.count_limit(outcome);
    tracing::info!(
        server = %server.id,
        service = server.service,
        before_per_s = change.before,
        per_s = change.per_s,
        age_ms = wingspur_clock::since(change.at).as_millis() as u64,
        source,
        "limit: {outcome}."
    );
}
