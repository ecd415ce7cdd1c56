//! Takes requests that another box hands over because it does not reach their servers.

use std::net::SocketAddr;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use wingspur_protocol::{
    RELAY_HEADER, RELAY_PROTOCOL_VERSION, RELAY_RESULT_HEADER, RelayResult,
    RelayedRequest, ResultCode, decode_relay_header, encode_relay_header,
};

use crate::edge_state::EdgeState;
use crate::log_values::id_text;
use crate::peers::relay_search::{is_relaying, relay_load};
use crate::proxy::error_response::{error_response, name_request};
use crate::proxy::request::respond;
use crate::proxy::request_origin::RequestOrigin;
use crate::proxy::response_body::ResponseBody;

/// Forwards a request that another box hands over. If this box cannot forward it now, the
/// response says that the request was sent to no server.
pub async fn handle_relayed_request(
    shared: Arc<EdgeState>,
    request: Request<Incoming>,
    from: SocketAddr,
) -> Response<ResponseBody> {
    match check_relayed(&shared, &request) {
        Ok(relayed) => {
            let origin = RequestOrigin::Relayed(Arc::new(relayed));
            let (mut response, is_taken) = respond(shared.clone(), request, origin).await;
            add_result(&shared, &mut response, is_taken);
            response
        }
        Err(reason) => {
            let id = request.headers().get(shared.header_names.request_id);
            tracing::info!(id = id_text(id), %from, reason, "relay: declined.");
            shared.metrics.count_relayed("taken", reason);
            let response = error_response(ResultCode::NotSent, None);
            let mut response = response.map(ResponseBody::Buffered);
            name_request(&mut response, &shared.header_names, id.cloned());
            add_result(&shared, &mut response, false);
            response
        }
    }
}

/// Adds what became of a relayed request to the response.
fn add_result<B>(shared: &EdgeState, response: &mut Response<B>, is_taken: bool) {
    let result = RelayResult {
        is_taken,
        load: relay_load(shared),
    };
    let value = HeaderValue::from_str(&encode_relay_header(&result));
    let value = value.expect("base64 is a valid header value");
    response.headers_mut().insert(RELAY_RESULT_HEADER, value);
}

/// Checks whether this box may forward the request now; fails with the reason for the
/// metrics and the log.
fn check_relayed(
    shared: &EdgeState,
    request: &Request<Incoming>,
) -> Result<RelayedRequest, &'static str> {
    let value = request.headers().get(RELAY_HEADER).ok_or("no_header")?;
    let relayed: RelayedRequest =
        decode_relay_header(value.as_bytes()).map_err(|_| "unreadable")?;
    if relayed.protocol != RELAY_PROTOCOL_VERSION {
        return Err("other_protocol");
    }
    if relayed.fleet != shared.settings().fleet {
        return Err("other_fleet");
    }
    if shared.stopping.has_begun() {
        return Err("stopping");
    }
    if shared.bundle_version() < relayed.bundle_version {
        return Err("older_bundle");
    }
    if !is_relaying(shared) {
        return Err("busy");
    }
    Ok(relayed)
}
