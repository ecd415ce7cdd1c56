//! Handles a caller's request: checks, routes and forwards it, and returns the response.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, COOKIE, HOST, HeaderMap, HeaderValue,
};
use hyper::http::request::Parts;
use hyper::{Request, Response, Version};
use wingspur_protocol::{RELAY_HEADER, RELAY_RESULT_HEADER, ResultCode};
use wingspur_state::{Priority, RequestFingerprint, RequestParts, UrgencyCounts};
use wingspur_transport::{ResponseHead, SendBody};

use crate::catalog::active_bundle::ActiveRoute;
use crate::edge_state::EdgeState;
use crate::proxy::admission::{
    AdmissionRequest, Principal, admit, find_route, strip_credentials,
};
use crate::proxy::attempt::{AttemptResult, LATE_RESPONSE_GRACE};
use crate::proxy::error_response::{error_response, name_request};
use crate::proxy::forwarding::RequestForwarder;
use crate::proxy::headers::{check_framing, strip_hop_by_hop};
use crate::proxy::in_flight_requests::InFlightGuard;
use crate::proxy::request_body::{BodyLimits, receive_body};
use crate::proxy::request_head::UpstreamRequest;
use crate::proxy::request_log::RequestLog;
use crate::proxy::request_origin::RequestOrigin;
use crate::proxy::response_body::{ResponseBody, StreamBody, StreamContext};
use crate::quotas::quota_leases::enforce_account_limit;
use crate::request_error::{BufferedResponse, RequestError};

/// Handles one request of a caller and returns its response: that of a backend server, or
/// an error response of the box.
pub async fn handle_request(
    shared: Arc<EdgeState>,
    request: Request<Incoming>,
    _caller: SocketAddr,
) -> Response<ResponseBody> {
    let (response, _) = respond(shared, request, RequestOrigin::Caller).await;
    response
}

/// Handles one request of a caller or of another box. Returns its response, and whether
/// this box has taken the request: if not, it was sent to no server, and another box might
/// forward it.
pub async fn respond(
    shared: Arc<EdgeState>,
    request: Request<Incoming>,
    origin: RequestOrigin,
) -> (Response<ResponseBody>, bool) {
    let is_before_http_11 = request.version() < Version::HTTP_11;
    let arrived = wingspur_clock::now();
    let id = request
        .headers()
        .get(shared.header_names.request_id)
        .cloned();
    let from_box = origin.relayed().map(|relayed| relayed.from.clone());
    let mut log = RequestLog::begin(id.as_ref(), &shared, arrived, from_box);
    let forwarded =
        async { Some(forward(&shared, request, arrived, &origin, &mut log).await) };
    let stopped = async {
        shared.stopping.drain_expired().await;
        None
    };
    let forwarded = forwarded.or(stopped).await;
    let is_taken = !matches!(&forwarded, Some(Err(error)) if is_for_another_box(error));
    let mut response = match forwarded {
        Some(Ok(response)) => {
            log.log_forwarded(&response);
            response
        }
        Some(Err(error)) => respond_with_error(&shared, error, id, log),
        None => {
            // Whatever the request waits for, the caller gets a response before the box
            // ends.
            let error = RequestError::from_code(ResultCode::DeadlineBeforeSend);
            respond_with_error(&shared, error, id, log)
        }
    };
    if shared.stopping.has_begun() || is_before_http_11 {
        // Closes the connection after this response rather than during the caller's next
        // request.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    (response, is_taken)
}

/// Whether another box might forward a request that this one has sent to no server.
fn is_for_another_box(error: &RequestError) -> bool {
    let is_own_condition = matches!(
        error.code,
        ResultCode::NotSent
            | ResultCode::NoServer
            | ResultCode::NotReady
            | ResultCode::CatalogStale
    );
    error.is_unsent && is_own_condition
}

async fn forward(
    shared: &Arc<EdgeState>,
    request: Request<Incoming>,
    arrived: Instant,
    origin: &RequestOrigin,
    log: &mut RequestLog,
) -> Result<Response<ResponseBody>, RequestError> {
    let (parts, body) = request.into_parts();
    check_framing(&parts.headers).map_err(RequestError::from_code)?;
    let host = host_of(&parts).ok_or(RequestError::from_code(ResultCode::BadFraming))?;
    let caller_timeout = caller_timeout(shared, &parts.headers);
    let admission = AdmissionRequest {
        id: log.id(),
        arrived,
        timeout: caller_timeout,
    };
    let route = find_route(shared, &admission, host, parts.uri.path()).await?;
    let key = origin.key(&parts.headers);
    let admitted = admit(shared, &admission, &route, key).await?;
    let active = shared.active_bundle();
    let active = active.ok_or(RequestError::from_code(ResultCode::NotReady))?;
    let service = origin.service(&route).clone();
    log.routed(&route, &service.name, active.version());
    log.admitted(&admitted);
    let is_relayed = origin.relayed().is_some();
    if is_relayed && !service.is_reachable() {
        return Err(RequestError::from_code(ResultCode::NotSent));
    }
    let deadline = arrived + caller_timeout.min(route.timeout());
    let deadline = shared.stopping.cap_deadline(deadline);
    let limits = active.bundle.caller_limits;
    let limits = BodyLimits {
        max_bytes: limits.max_body_bytes,
        max_kept_bytes: shared.settings().kept_body_bytes,
    };
    let expired = wingspur_clock::sleep_until(deadline);
    let body = receive_body(body, limits, &shared.buffers, expired).await;
    let body = body.map_err(RequestError::from_code)?;
    if let Some(account) = admitted.account.as_ref().filter(|_| !is_relayed) {
        // Counted only after its body was received, so that it reaches a server right
        // after.
        let priority = Priority::from(route.route.priority);
        let admitted_by_limit =
            enforce_account_limit(shared, log.id(), account, priority, caller_timeout)
                .await;
        admitted_by_limit.inspect_err(|_| count_unserved(&route))?;
    }
    let class = route.route.class.as_str();
    let labels = [service.name.as_str(), class];
    if !is_relayed {
        shared.metrics.requests.with_label_values(&labels).inc();
    }
    let in_flight = log.in_flight().clone();
    let fingerprint = fingerprint(&parts, &admitted, &body);
    log.set_fingerprint(fingerprint);
    let received = ReceivedRequest {
        arrived,
        deadline,
        fingerprint,
    };
    let outgoing = upstream_request(shared, parts, admitted, received, in_flight.clone());
    let origin = origin.clone();
    let context = StreamContext {
        shared: shared.clone(),
        service: service.name.clone(),
        deadline: deadline + LATE_RESPONSE_GRACE,
        in_flight,
    };
    let forwarder =
        RequestForwarder::new(shared.clone(), route, service, outgoing, body, origin);
    match forwarder.run().await? {
        AttemptResult::Complete(response) => Ok(buffered_response(response)),
        AttemptResult::Streaming { head, body } => {
            let body = StreamBody::new(body, head.body_bytes, context);
            Ok(with_head(head, ResponseBody::Stream(body)))
        }
        AttemptResult::Failed(failed) => Err(RequestError::from_code(failed.code)),
    }
}

/// Counts a request that is refused because of its account's limit as a failed request of
/// the service. While many requests fail, all servers of the service must be in use.
fn count_unserved(route: &ActiveRoute) {
    let now = wingspur_clock::now();
    let mut budget = route.next_service().budget.lock();
    budget.count_request_of(UrgencyCounts::one_refused_by_limit(), now);
    budget.count_failed_request(now);
}

/// Returns the server's error response if the error has one, else one of the box, which
/// says that the request did not run only if its attempts prove it.
fn respond_with_error(
    shared: &EdgeState,
    mut error: RequestError,
    id: Option<HeaderValue>,
    log: RequestLog,
) -> Response<ResponseBody> {
    let upstream_response = error.upstream_response.take();
    let response = match upstream_response {
        Some(upstream_response) => buffered_response(upstream_response),
        None => {
            error.code = log.in_flight().final_code(error.code);
            shared.metrics.count_refusal(error.code);
            let mut response = error_response(error.code, error.retry_after);
            name_request(&mut response, &shared.header_names, id);
            response.map(ResponseBody::Buffered)
        }
    };
    log.log_error(&error, &response);
    response
}

/// When a request arrived, its deadline, and its fingerprint.
struct ReceivedRequest {
    arrived: Instant,
    deadline: Instant,
    fingerprint: RequestFingerprint,
}

/// Builds the request that is sent on every attempt from the caller's head.
fn upstream_request(
    shared: &EdgeState,
    parts: Parts,
    admitted: Principal,
    received: ReceivedRequest,
    in_flight: Arc<InFlightGuard>,
) -> UpstreamRequest {
    let names = &shared.header_names;
    let mut headers = parts.headers;
    strip_hop_by_hop(&mut headers);
    headers.remove(RELAY_HEADER);
    headers.remove(RELAY_RESULT_HEADER);
    if let Some(authority) = parts.uri.authority()
        && !headers.contains_key(HOST)
        && let Ok(host) = HeaderValue::from_str(authority.as_str())
    {
        // HTTP/2 callers name the host in the request line alone.
        headers.insert(HOST, host);
    }
    let id = headers.get(names.request_id).cloned();
    let active = shared.active_bundle();
    let has_keys = active.is_some_and(|active| active.accounts.is_some());
    strip_credentials(&mut headers, names.account, has_keys);
    headers.remove(names.deadline_ms);
    headers.remove(CONTENT_LENGTH);
    if let Some(name) = names.expected_server_id {
        headers.remove(name);
    }
    let target = parts.uri.path_and_query();
    UpstreamRequest {
        method: parts.method,
        target: target.map_or("/", |target| target.as_str()).to_owned(),
        fingerprint: received.fingerprint,
        headers,
        id,
        arrived: received.arrived,
        deadline: received.deadline,
        admitted,
        in_flight,
    }
}

/// Returns the fingerprint of a request, computed from what the server gets to work on.
///
/// The caller's address is left out, because callers repeat requests from other
/// addresses.
fn fingerprint(
    parts: &Parts,
    admitted: &Principal,
    body: &SendBody,
) -> RequestFingerprint {
    let target = parts.uri.path_and_query();
    let account = admitted.account.as_ref();
    let caller = match account {
        Some(account) => account.name.clone().into_bytes(),
        None => caller_headers(&parts.headers),
    };
    RequestFingerprint::of(&RequestParts {
        method: parts.method.as_str(),
        host: host_of(parts).unwrap_or_default(),
        target: target.map_or("/", |target| target.as_str()),
        caller: &caller,
        body: body.buffered_bytes().unwrap_or_default(),
        body_bytes: body.size_hint().exact(),
    })
}

/// Returns the values of the headers that identify a caller without an account.
fn caller_headers(headers: &HeaderMap) -> Vec<u8> {
    let names = [AUTHORIZATION, COOKIE];
    let values = names.iter().flat_map(|name| headers.get_all(name));
    let values: Vec<&[u8]> = values.map(HeaderValue::as_bytes).collect();
    values.join(&b'\n')
}

/// Returns how long the caller waits for the response, as its header says;
/// [`Duration::MAX`] without a readable header.
fn caller_timeout(shared: &EdgeState, headers: &HeaderMap) -> Duration {
    let header = headers.get(shared.header_names.deadline_ms);
    let timeout_ms = header.and_then(|value| value.to_str().ok()?.parse().ok());
    timeout_ms.map_or(Duration::MAX, Duration::from_millis)
}

fn host_of(parts: &Parts) -> Option<&str> {
    let authority = parts.uri.authority().map(|authority| authority.as_str());
    let header = parts
        .headers
        .get(HOST)
        .and_then(|value| value.to_str().ok());
    authority.or(header)
}

fn buffered_response(response: BufferedResponse) -> Response<ResponseBody> {
    let body = ResponseBody::Buffered(Full::new(response.body));
    with_head(response.head, body)
}

fn with_head(head: ResponseHead, body: ResponseBody) -> Response<ResponseBody> {
    let mut headers = head.headers;
    strip_hop_by_hop(&mut headers);
    headers.remove(RELAY_RESULT_HEADER);
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = headers;
    response
}
