//! Searches for boxes that reach a service which this box does not, and answers the
//! queries of others.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use rand::seq::SliceRandom;
use wingspur_coordination::relay_capacity;
use wingspur_protocol::{
    BoxRecord, REACHABILITY_PATH, RELAY_PROTOCOL_VERSION, ReachabilityQuery,
    ReachabilityReply, RelayError, decode_relay_body, encode_relay_body,
};
use wingspur_state::{BoxId, ServerKey};
use wingspur_transport::{ConnectError, ResponseError, ReusePolicy, SendBody};

use crate::edge_state::EdgeState;
use crate::path_check::check_path;
use crate::services::ServiceState;

/// Why a box did not answer a reachability query.
#[derive(Debug, thiserror::Error)]
enum QueryError {
    #[error(transparent)]
    Connect(#[from] ConnectError),
    #[error(transparent)]
    Response(#[from] ResponseError),
    #[error(transparent)]
    Reply(#[from] RelayError),
    #[error("status {0}")]
    Status(StatusCode),
    #[error("the reply is too long")]
    TooLong,
    #[error("no reply within {QUERY_TIMEOUT:?}")]
    Silent,
}

/// Asks some boxes which of the unreachable services they reach, if a query is due.
pub fn search_relays(shared: &Arc<EdgeState>, lost: &[Arc<ServiceState>]) {
    let now = wingspur_clock::now();
    let served_ago = lost.iter().filter_map(|service| {
        let balancer = service.balancer.lock();
        balancer.served_elsewhere_ago(now)
    });
    let served_ago = served_ago.min();
    let is_due = shared.relays.directory.lock().is_query_due(served_ago, now);
    if !is_due {
        return;
    }
    let services: Vec<ServerKey> = lost.iter().map(|service| service.key()).collect();
    let services = services[..services.len().min(MAX_QUERIED_SERVICES)].to_vec();
    let boxes = shared.links.lock().known_boxes();
    let mut directory = shared.relays.directory.lock();
    let asked =
        directory.boxes_to_ask(&services, &boxes, served_ago, now, &mut rand::rng());
    let relays = directory.relay_count();
    drop(directory);
    tracing::info!(
        services = services.len(),
        asked = asked.len(),
        known = boxes.len(),
        relays,
        served_ms_ago = served_ago.map(|age| age.as_millis() as u64),
        "relay: asked boxes."
    );
    for record in asked {
        let (shared, services) = (shared.clone(), services.clone());
        let spawner = shared.spawner.clone();
        spawner.detach(async move { ask(&shared, record, services).await });
    }
}

async fn ask(shared: &EdgeState, record: BoxRecord, services: Vec<ServerKey>) {
    let replied = async { query(shared, &record, services).await };
    let expired = async {
        wingspur_clock::sleep(QUERY_TIMEOUT).await;
        Err(QueryError::Silent)
    };
    let reply = replied.or(expired).await;
    let now = wingspur_clock::now();
    let mut directory = shared.relays.directory.lock();
    match reply {
        Ok(reply) => {
            directory.record_named(reply.others, now);
            directory.record_reply(record, &reply.reachable, reply.load, now);
        }
        Err(error) => {
            tracing::info!(peer = %record.id, %error, "relay: no reply to a query.");
            directory.record_silent(&record.id, now);
        }
    }
}

async fn query(
    shared: &EdgeState,
    to: &BoxRecord,
    services: Vec<ServerKey>,
) -> Result<ReachabilityReply, QueryError> {
    let query = ReachabilityQuery {
        protocol: RELAY_PROTOCOL_VERSION,
        fleet: shared.settings().fleet.clone(),
        services,
    };
    let body = encode_relay_body(&query);
    let head = format!(
        "POST {REACHABILITY_PATH} HTTP/1.1\r\nhost: {}\r\ncontent-length: {}\r\n\r\n",
        to.peer_address,
        body.len()
    );
    let connections = shared.relays.connections(to.peer_address);
    let reuse = ReusePolicy::Any;
    let mut connection = connections.connect(reuse, None, QUERY_TIMEOUT).await?;
    let body = SendBody::buffered(body.into());
    let head = connection
        .send_request(head.into_bytes(), body, &Method::POST, None)
        .await?;
    let body = connection.read_whole(MAX_QUERY_BYTES).await?;
    connections.release(connection);
    if !head.status.is_success() {
        return Err(QueryError::Status(head.status));
    }
    let body = body.map_err(|_| QueryError::TooLong)?;
    Ok(decode_relay_body(&body)?)
}

/// Answers the reachability query of another box; `None` if it is not a valid one of
/// this fleet.
pub async fn answer_query(
    shared: &Arc<EdgeState>,
    request: Request<Incoming>,
) -> Option<ReachabilityReply> {
    let body = Limited::new(request.into_body(), MAX_QUERY_BYTES);
    let body = body.collect().await.ok()?.to_bytes();
    let query: ReachabilityQuery = decode_relay_body(&body).ok()?;
    let is_valid = query.protocol == RELAY_PROTOCOL_VERSION
        && query.fleet == shared.settings().fleet
        && query.services.len() <= MAX_QUERIED_SERVICES;
    if !is_valid {
        return None;
    }
    let mut reachable = Vec::new();
    let load = relay_load(shared);
    if is_relaying(shared) {
        for key in query.services {
            if reaches(shared, key).await {
                reachable.push(key);
            }
        }
    }
    Some(ReachabilityReply {
        reachable,
        load,
        others: linked_boxes(shared),
    })
}

/// Returns a random few of the boxes that this one has links to.
fn linked_boxes(shared: &EdgeState) -> Vec<BoxRecord> {
    let mut boxes = shared.links.lock().linked_boxes();
    let (named, _) = boxes.partial_shuffle(&mut rand::rng(), MAX_NAMED_BOXES);
    named.to_vec()
}

/// Returns whether this box forwards requests for other boxes now.
pub fn is_relaying(shared: &EdgeState) -> bool {
    shared.is_ready() && relay_load(shared) < 1.0
}

/// Returns the fraction of this box's capacity for relayed requests that is in use.
pub fn relay_load(shared: &EdgeState) -> f32 {
    let capacity = shared.settings().capacity();
    shared.in_flight.relayed_count() as f32 / relay_capacity(capacity)
}

async fn reaches(shared: &Arc<EdgeState>, key: ServerKey) -> bool {
    let Some(service) = shared.services.by_key(key) else {
        return false;
    };
    let connected_ago = service.path.lock().connected_ago(wingspur_clock::now());
    if service.is_reachable() && connected_ago.is_some_and(|ago| ago < REACHED_TTL) {
        return true;
    }
    check_path(shared, &service).await
}

/// Returns a relay for a request to a service. Where the service has just become
/// unreachable, waits a little for the replies of the boxes that were asked.
pub async fn find_relay(
    shared: &Arc<EdgeState>,
    service: &ServiceState,
    declined: &[BoxId],
    max_wait: Duration,
) -> Option<BoxRecord> {
    let key = service.key();
    let give_up_at = wingspur_clock::now() + max_wait.min(SEARCH_WAIT);
    loop {
        let now = wingspur_clock::now();
        let (relay, is_searching) = {
            let directory = shared.relays.directory.lock();
            let relay = directory.pick(key, declined, now, &mut rand::rng());
            (relay, directory.is_searching(now))
        };
        if relay.is_some() || service.is_reachable() {
            return relay;
        }
        if now >= give_up_at || !is_searching {
            return None;
        }
        wingspur_clock::sleep(SEARCH_POLL_INTERVAL).await;
    }
}

/// How long a box may take to reply to a query; it may have to check its path first.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait of a request for the first relay.
const SEARCH_WAIT: Duration = Duration::from_millis(400);
const SEARCH_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long a new connection shows that this box reaches a service.
const REACHED_TTL: Duration = Duration::from_secs(1);
/// The number of other boxes that a reply names.
const MAX_NAMED_BOXES: usize = 4;
const MAX_QUERY_BYTES: usize = 16 << 10;
const MAX_QUERIED_SERVICES: usize = 64;
