//! The read-only operator port: `/ready`, `/status` and `/metrics`.

use std::sync::Arc;

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use wingspur_protocol::BoxStatus;

use crate::edge_state::EdgeState;

/// The content of the operator port. A page is generated only when it is requested.
pub struct OperatorEndpoint<Metrics, Status> {
    /// Whether the box accepts requests of callers.
    pub is_ready: bool,
    /// Generates the metrics in the Prometheus text format.
    pub metrics: Metrics,
    /// Generates the status of the box.
    pub status: Status,
}

impl<Metrics, Status> OperatorEndpoint<Metrics, Status>
where
    Metrics: FnOnce() -> Vec<u8>,
    Status: FnOnce() -> BoxStatus,
{
    /// Answers a request on the operator port: 405 for any method but GET, and 404 for an
    /// unknown path.
    pub fn answer(self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        if request.method() != Method::GET {
            let hint = "This port only reads.\n";
            return text_response(StatusCode::METHOD_NOT_ALLOWED, hint);
        }
        match request.uri().path() {
            "/ready" if self.is_ready => text_response(StatusCode::OK, "ready\n"),
            "/ready" => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/metrics" => bytes_response(StatusCode::OK, (self.metrics)()),
            "/status" => {
                let status = serde_json::to_vec(&(self.status)());
                bytes_response(StatusCode::OK, status.expect("a status serialises"))
            }
            _ => {
                let hint = "Try /ready, /status or /metrics.\n";
                text_response(StatusCode::NOT_FOUND, hint)
            }
        }
    }
}

/// Answers a request on the operator port of an edge box.
pub async fn answer_operator(
    shared: Arc<EdgeState>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let endpoint = OperatorEndpoint {
        is_ready: shared.is_ready(),
        metrics: || {
            shared.metrics.set_buffers(&shared.buffers);
            shared.metrics.render()
        },
        status: || status(&shared),
    };
    endpoint.answer(&request)
}

/// Returns the status of the box for `/status`.
pub fn status(shared: &EdgeState) -> BoxStatus {
    let now = wingspur_clock::now();
    let mut out = Vec::new();
    let mut unreachable = Vec::new();
    for service in shared.services.all() {
        if !service.is_reachable() {
            unreachable.push(service.name.clone());
        }
        let suspects = service.balancer.lock().suspects(now);
        out.extend(suspects.iter().map(|id| format!("{}/{id}", service.name)));
    }
    out.sort();
    unreachable.sort();
    let active_for = shared
        .active_bundle()
        .map(|bundle| wingspur_clock::since(bundle.since));
    BoxStatus {
        id: shared.settings().box_id.clone(),
        data_centre: shared.settings().data_centre.clone(),
        bundle_version: shared.bundle_version(),
        in_force_ms: active_for.map_or(0, |time| time.as_millis() as u64),
        ready: shared.is_ready(),
        out,
        unreachable,
    }
}

/// Builds a response with a text body.
fn text_response(status: StatusCode, body: &'static str) -> Response<Full<Bytes>> {
    bytes_response(status, body.as_bytes().to_vec())
}

/// Builds a response with a body of any bytes.
fn bytes_response(status: StatusCode, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
