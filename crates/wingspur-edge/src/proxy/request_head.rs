//! A request as it is sent to a backend server or to a relay, and its head.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Method;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue};
use wingspur_protocol::HeaderNames;
use wingspur_state::{RequestFingerprint, RouteClass};
use wingspur_transport::{
    ConnectionUse, ReusePolicy, SendBody, SentRequest, ServerDeadline,
};

use crate::proxy::admission::Principal;
use crate::proxy::in_flight_requests::InFlightGuard;

/// A request as it is sent on every attempt, without the body.
#[derive(Debug)]
pub struct UpstreamRequest {
    /// The method.
    pub method: Method,
    /// Path and query, as the caller wrote them.
    pub target: String,
    /// All headers but those that concern one connection or one attempt.
    pub headers: HeaderMap,
    /// Identifies the request by its content; the same for each repetition by the caller.
    pub fingerprint: RequestFingerprint,
    /// The request's id, if the caller gave one.
    pub id: Option<HeaderValue>,
    /// When the request arrived.
    pub arrived: Instant,
    /// Time at which the request is given up.
    pub deadline: Instant,
    /// The key and the client account that the request is sent for.
    pub admitted: Principal,
    /// Registers the request as in flight until the last clone is dropped.
    pub in_flight: Arc<InFlightGuard>,
}

impl UpstreamRequest {
    /// Returns the request as it is sent on a connection with this history.
    pub fn sent_on(&self, used: &ConnectionUse) -> SentRequest<'_> {
        SentRequest {
            id: self.id.as_ref(),
            is_first: used.is_first(),
            is_repeated: used.is_repeated,
        }
    }

    /// Whether a server that gets the request now is left less than a millisecond, the
    /// unit in which it is told its time.
    pub fn is_overdue(&self, now: Instant) -> bool {
        self.deadline.saturating_duration_since(now) < Duration::from_millis(1)
    }

    /// Returns the deadline of a server that is sent the request now.
    pub fn server_deadline(&self, now: Instant) -> ServerDeadline {
        ServerDeadline::new(now, self.deadline.saturating_duration_since(now))
    }
}

/// Serializes the head of a request for one attempt, with the deadline of its server and
/// the headers of this attempt alone.
pub fn serialize_head(
    outgoing: &UpstreamRequest,
    names: &HeaderNames,
    deadline: ServerDeadline,
    attempt_headers: &[(&str, &str)],
    body: &SendBody,
) -> Vec<u8> {
    let mut head = Vec::with_capacity(512);
    push_all(
        &mut head,
        &[outgoing.method.as_str(), " ", &outgoing.target],
    );
    head.extend_from_slice(b" HTTP/1.1\r\n");
    for (name, value) in &outgoing.headers {
        push_all(&mut head, &[name.as_str(), ": "]);
        head.extend_from_slice(value.as_bytes());
        head.extend_from_slice(b"\r\n");
    }
    let timeout_ms = deadline.timeout_ms().to_string();
    push_header(&mut head, names.deadline_ms, &timeout_ms);
    for (name, value) in attempt_headers {
        push_header(&mut head, name, value);
    }
    match hyper::body::Body::size_hint(body).exact() {
        Some(0) if outgoing.headers.contains_key(CONTENT_LENGTH) => {}
        Some(0) if !usually_has_body(&outgoing.method) => {}
        Some(length) => {
            push_header(&mut head, CONTENT_LENGTH.as_str(), &length.to_string());
        }
        None => push_header(&mut head, "transfer-encoding", "chunked"),
    }
    head.extend_from_slice(b"\r\n");
    head
}

/// Returns which pooled connections a request of a class may use. `has_id` says whether
/// the request has an id, and `lost_at` is when the path to the servers was lost, if it
/// is: only connections that have worked since then are used.
///
/// If a pooled connection turns out to be dead, it is unknown whether the request has
/// run. So a once-only request only uses a connection that was in use a moment ago. A
/// refusal of a request without an id counts on a new connection only, so a once-only
/// request without one uses no other as long as one can be opened.
pub fn reuse_policy(
    class: RouteClass,
    has_id: bool,
    lost_at: Option<Instant>,
) -> ReusePolicy {
    let used_at_least = wingspur_clock::now().checked_sub(ONCE_ONLY_MAX_IDLE);
    match (lost_at, class.is_retry_safe()) {
        (Some(lost_at), true) => ReusePolicy::UsedSince(lost_at),
        (Some(lost_at), false) => {
            ReusePolicy::UsedSince(used_at_least.map_or(lost_at, |at| at.max(lost_at)))
        }
        (None, true) => ReusePolicy::Any,
        (None, false) if !has_id => ReusePolicy::Never,
        (None, false) => ReusePolicy::IdleAtMost(ONCE_ONLY_MAX_IDLE),
    }
}

fn usually_has_body(method: &Method) -> bool {
    matches!(*method, Method::POST | Method::PUT | Method::PATCH)
}

fn push_header(head: &mut Vec<u8>, name: &str, value: &str) {
    push_all(head, &[name, ": ", value, "\r\n"]);
}

fn push_all(to: &mut Vec<u8>, parts: &[&str]) {
    for part in parts {
        to.extend_from_slice(part.as_bytes());
    }
}

/// Longest idle time of a pooled connection for a once-only request: its server was alive
/// a moment ago.
const ONCE_ONLY_MAX_IDLE: Duration = Duration::from_millis(200);
