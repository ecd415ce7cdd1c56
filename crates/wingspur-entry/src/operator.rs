//! The operator port, read-only: `/ready`, `/status` and `/metrics`.

use std::sync::Arc;

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response};
use wingspur_edge::OperatorEndpoint;
use wingspur_protocol::BoxStatus;
use wingspur_state::EjectionState;

use crate::entry_state::EntryState;

/// Answers a request on the operator port.
pub async fn handle_operator_request(
    shared: Arc<EntryState>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let endpoint = OperatorEndpoint {
        is_ready: shared.is_ready(),
        metrics: || {
            shared
                .metrics
                .set_exchanges("peers", shared.peer_client.totals());
            let store = shared.store_http.totals();
            shared.metrics.set_exchanges("store", store);
            shared.metrics.set_buffers(&shared.buffers);
            shared.metrics.render()
        },
        status: || status(&shared),
    };
    endpoint.answer(&request)
}

/// Returns the status that the box reports to operators and peers.
pub fn status(shared: &EntryState) -> BoxStatus {
    let bundle = shared.active_bundle();
    let now = wingspur_clock::now();
    let mut out = Vec::new();
    for handle in bundle.iter().flat_map(|bundle| &bundle.services) {
        let table = handle.table.lock();
        for (index, server) in handle.service.servers.iter().enumerate() {
            if table.ejection_state(index, now) != EjectionState::Active {
                out.push(format!("{}/{}", handle.service.name, server.name));
            }
        }
    }
    let active_for = bundle
        .as_ref()
        .map(|bundle| wingspur_clock::since(bundle.activated_at));
    BoxStatus {
        id: shared.settings.box_id.clone(),
        data_centre: shared.settings.data_centre.clone(),
        bundle_version: shared.bundle_version(),
        in_force_ms: active_for.map_or(0, |time| time.as_millis() as u64),
        ready: shared.is_ready(),
        out,
        // Paths to servers are not checked here.
        unreachable: Vec::new(),
    }
}
