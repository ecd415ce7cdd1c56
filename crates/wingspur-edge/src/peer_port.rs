//! Answers requests on the peer port: links, reachability queries and relayed requests.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use http_body_util::Full;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use hyper::{Method, Request, Response, StatusCode};
use wingspur_protocol::{REACHABILITY_PATH, RELAY_HEADER, encode_relay_body};
use wingspur_transport::{BodyError, LinkBody};

use crate::edge_state::EdgeState;
use crate::peers::link_handlers::LinkHandlers;
use crate::peers::peer_exchange::open_peer_link;
use crate::peers::relay_search::answer_query;
use crate::proxy::relay_requests::handle_relayed_request;
use crate::proxy::response_body::ResponseBody;

/// The body of a response to another box.
pub enum PeerBody {
    /// The frames of a link.
    Link(LinkBody),
    /// A message, or the response to a relayed request.
    Response(ResponseBody),
}

/// Handles a request on the peer port: one with `RELAY_HEADER` is forwarded to a server,
/// a `POST` to `REACHABILITY_PATH` is answered, one to `LINK_PATH` opens a link, and
/// anything else gets a 404. The link calls `handlers`.
pub async fn handle_peer_request(
    shared: Arc<EdgeState>,
    request: Request<Incoming>,
    from: SocketAddr,
    handlers: LinkHandlers,
) -> Response<PeerBody> {
    if request.headers().contains_key(RELAY_HEADER) {
        let response = handle_relayed_request(shared, request, from).await;
        return response.map(PeerBody::Response);
    }
    if request.method() == Method::POST && request.uri().path() == REACHABILITY_PATH {
        return handle_query(&shared, request).await;
    }
    open_peer_link(shared, request, handlers).map(PeerBody::Link)
}

/// Answers a reachability query, or refuses one that is not valid.
async fn handle_query(
    shared: &Arc<EdgeState>,
    request: Request<Incoming>,
) -> Response<PeerBody> {
    let (status, body) = match answer_query(shared, request).await {
        Some(reply) => (StatusCode::OK, encode_relay_body(&reply)),
        None => {
            shared.metrics.count_peer_refusal("invalid_query");
            (StatusCode::BAD_REQUEST, Vec::new())
        }
    };
    let body = ResponseBody::Buffered(Full::new(Bytes::from(body)));
    let mut response = Response::new(PeerBody::Response(body));
    *response.status_mut() = status;
    response
}

impl Body for PeerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Link(body) => Pin::new(body).poll_frame(context),
            Self::Response(body) => Pin::new(body).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Link(body) => body.is_end_stream(),
            Self::Response(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Link(body) => body.size_hint(),
            Self::Response(body) => body.size_hint(),
        }
    }
}
