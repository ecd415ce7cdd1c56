//! The limits that servers name in their answers: heard, told, and kept to.

use std::time::{Duration, Instant};

use hyper::header::HeaderMap;
use wingspur_coordination::{LinkId, Reserve};
use wingspur_protocol::{Lendable, LimitNote, parse_server_limit};
use wingspur_state::{Borrowed, DirectoryChange, LimitChange, Priority, ServerRecord};

use crate::lending::want;
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
        apply(shared, &change, "own", None);
    }
}

/// Takes in what another box tells of servers' limits.
pub fn take_limits(shared: &Shared, link: LinkId, notes: &[LimitNote]) {
    let now = wingspur_clock::now();
    for note in notes {
        let age = Duration::from_millis(note.age_ms.into());
        let told = shared.links.lock().told_between(link, age, now);
        let mut limits = shared.server_limits.lock();
        let change = limits.hear_news(note.server, note.per_s, told);
        drop(limits);
        if let Some(change) = change {
            apply(shared, &change, "peer", Some(link));
        }
    }
}

/// Takes up what servers have named before they were announced, and forgets those that are
/// gone.
pub fn follow(shared: &Shared, changes: &[DirectoryChange]) {
    for change in changes {
        match change {
            DirectoryChange::Put(record) => adopt(shared, record),
            DirectoryChange::Restarted { before, record } => {
                shared.server_limits.lock().forget(before.key());
                adopt(shared, record);
            }
            DirectoryChange::Gone(record) => {
                shared.server_limits.lock().forget(record.key());
            }
        }
    }
    shared.server_limits.lock().tidy(wingspur_clock::now());
}

fn adopt(shared: &Shared, record: &ServerRecord) {
    let per_s = shared.server_limits.lock().limit(record.key());
    if let Some(service) = shared.services.of_server(record.key()) {
        service.balancer.lock().set_limit(record.key(), per_s);
    }
}

/// Lets this box's picks go by a changed limit, and tells the others.
fn apply(shared: &Shared, change: &LimitChange, source: &str, from: Option<LinkId>) {
    let service = shared.services.of_server(change.server);
    let mut server = None;
    if let Some(service) = &service {
        let mut balancer = service.balancer.lock();
        balancer.set_limit(change.server, change.per_s);
        server = balancer.record(change.server).cloned();
    }
    shared.links.lock().spread_limit(change, from);
    shared.news.poke();
    let outcome = match (change.before, change.per_s) {
        (_, None) => "ended",
        (None, Some(_)) => "named",
        (Some(_), Some(_)) => "changed",
    };
    shared.metrics.count_limit(outcome);
    let server = server.as_ref().map_or("", |server| &server.id);
    tracing::info!(
        server,
        service = service.map(|service| service.name.clone()),
        before_per_s = change.before,
        per_s = change.per_s,
        age_ms = wingspur_clock::since(change.at).as_millis() as u64,
        source,
        "limit: {outcome}."
    );
}

/// Asks for a place at a server that takes so many requests only; none where it has none left,
/// with when there should be one, if that is known.
pub async fn take_place(
    shared: &Shared,
    id: &str,
    server: &ServerRecord,
    rank: Priority,
) -> Result<(), Option<Duration>> {
    let began = wingspur_clock::now();
    let of = Lendable::Server(server.key());
    let outcome = want(shared, of, reserve_of(rank), PLACE_PATIENCE).await;
    let (told, more_in) = match outcome {
        Borrowed::Taken => ("place taken", None),
        Borrowed::Refused(more_in) => ("no place", Some(more_in)),
        Borrowed::Unknown | Borrowed::Waits => ("nobody could tell", None),
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
        Borrowed::Taken => Ok(()),
        Borrowed::Refused(_) | Borrowed::Unknown | Borrowed::Waits => Err(more_in),
    }
}

/// The share of the room beyond one place that a request leaves to more urgent ones: places
/// that come while there are none to spare go to those first, whoever asked before.
fn reserve_of(rank: Priority) -> Reserve {
    f32::from(rank.min(RANKS_APART)) * RESERVE_PER_RANK
}

/// The holder of a server's limit answers within some milliseconds; meanwhile a request could
/// go elsewhere.
const PLACE_PATIENCE: Duration = Duration::from_millis(40);
/// Ranks beyond this leave as much as this one, three quarters of the room.
const RANKS_APART: Priority = 3;
const RESERVE_PER_RANK: f32 = 0.25;
