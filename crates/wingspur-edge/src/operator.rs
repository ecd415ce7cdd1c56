//! The operator port, read-only: `/ready`, `/status` and `/metrics`.

use std::sync::Arc;

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use wingspur_protocol::BoxStatus;

use crate::edge_state::EdgeState;

/// What the operator port shows; each page is made when it is asked for.
pub struct OperatorEndpoint<Metrics, Status> {
    /// Whether the box takes callers.
    pub is_ready: bool,
    /// Makes the counters, as text.
    pub metrics: Metrics,
    /// Makes what the box says of itself.
    pub status: Status,
}

impl<Metrics, Status> OperatorEndpoint<Metrics, Status>
where
    Metrics: FnOnce() -> Vec<u8>,
    Status: FnOnce() -> BoxStatus,
{
    /// Answers a request on the operator port.
    pub fn answer(self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        if request.method() != Method::GET {
            let hint = "This port only reads.\n";
            return answer_text(StatusCode::METHOD_NOT_ALLOWED, hint);
        }
        match request.uri().path() {
            "/ready" if self.is_ready => answer_text(StatusCode::OK, "ready\n"),
            "/ready" => answer_text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/metrics" => answer_bytes(StatusCode::OK, (self.metrics)()),
            "/status" => {
                let status = serde_json::to_vec(&(self.status)());
                answer_bytes(StatusCode::OK, status.expect("a status serialises"))
            }
            _ => {
                let hint = "Try /ready, /status or /metrics.\n";
                answer_text(StatusCode::NOT_FOUND, hint)
            }
        }
    }
}

/// Answers a request on the operator port of an edge box.
pub async fn answer_operator(
    shared: Arc<EdgeState>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let pages = OperatorEndpoint {
        is_ready: shared.is_ready(),
        metrics: || shared.metrics.render(),
        status: || status(&shared),
    };
    pages.answer(&request)
}

/// What the box says of itself.
pub fn status(shared: &EdgeState) -> BoxStatus {
    let now = wingspur_clock::now();
    let mut out = Vec::new();
    for service in shared.services.all() {
        let suspects = service.balancer.lock().suspects(now);
        out.extend(suspects.iter().map(|id| format!("{}/{id}", service.name)));
    }
    out.sort();
    let in_force = shared
        .active_bundle()
        .map(|bundle| wingspur_clock::since(bundle.since));
    BoxStatus {
        id: shared.settings().box_id.clone(),
        data_centre: shared.settings().data_centre.clone(),
        bundle_version: shared.bundle_version(),
        in_force_ms: in_force.map_or(0, |time| time.as_millis() as u64),
        ready: shared.is_ready(),
        out,
    }
}

/// A short text for whoever reads the operator port.
fn answer_text(status: StatusCode, body: &'static str) -> Response<Full<Bytes>> {
    answer_bytes(status, body.as_bytes().to_vec())
}

/// The same with any bytes.
fn answer_bytes(status: StatusCode, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
