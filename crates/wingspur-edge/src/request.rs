//! A caller's request: checked, routed, forwarded, answered.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, COOKIE, HOST, HeaderMap, HeaderValue,
};
use hyper::http::request::Parts;
use hyper::{Request, Response, Version};
use wingspur_protocol::ResultCode;
use wingspur_state::{RequestFingerprint, RequestParts};
use wingspur_transport::{ResponseHead, SendBody};

use crate::active_bundle::ActiveRoute;
use crate::admission::{
    AdmissionRequest, Principal, admit, find_route, strip_credentials,
};
use crate::attempt::{AttemptResult, UpstreamRequest};
use crate::edge_state::EdgeState;
use crate::error_response::error_response;
use crate::forwarding::RequestForwarder;
use crate::headers::{check_framing, strip_hop_by_hop};
use crate::in_flight_requests::InFlightGuard;
use crate::quota_leases::enforce_account_limit;
use crate::request_error::{BufferedResponse, RequestError};
use crate::request_log::RequestLog;
use crate::response_body::{ResponseBody, StreamBody};
use crate::shutdown::shutdown_result;

/// Answers a caller: a backend server's whole answer, or an honest refusal.
pub async fn handle_request(
    shared: Arc<EdgeState>,
    request: Request<Incoming>,
    _from: SocketAddr,
) -> Response<ResponseBody> {
    let old_version = request.version() < Version::HTTP_11;
    let arrived = wingspur_clock::now();
    let id = request.headers().get(shared.header_names.request_id);
    let mut log = RequestLog::begin(id, &shared, arrived);
    let forwarded = async { Some(forward(&shared, request, arrived, &mut log).await) };
    let stopped = async {
        shared.stopping.drain_expired().await;
        None
    };
    let forwarded = forwarded.or(stopped).await;
    let mut response = match forwarded {
        Some(Ok(response)) => {
            log.log_forwarded(&response);
            response
        }
        Some(Err(given_up)) => refuse(&shared, given_up, log),
        None => {
            // Whatever it waits for, it has its answer before the box ends.
            let sent = log.ticket().was_sent();
            refuse(&shared, RequestError::from_code(shutdown_result(sent)), log)
        }
    };
    if shared.stopping.has_begun() || old_version {
        // The connection ends with this answer, not under the caller's next request.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn forward(
    shared: &Arc<EdgeState>,
    request: Request<Incoming>,
    arrived: Instant,
    log: &mut RequestLog,
) -> Result<Response<ResponseBody>, RequestError> {
    let (parts, body) = request.into_parts();
    check_framing(&parts.headers).map_err(RequestError::from_code)?;
    let host = host_of(&parts).ok_or(RequestError::from_code(ResultCode::BadFraming))?;
    let patience = patience(shared, &parts.headers);
    let asking = AdmissionRequest {
        id: log.id(),
        arrived,
        timeout: patience,
    };
    let route = find_route(shared, &asking, host, parts.uri.path()).await?;
    let admitted = admit(shared, &asking, &route, &parts.headers).await?;
    let in_force = shared.active_bundle();
    let in_force = in_force.ok_or(RequestError::from_code(ResultCode::NotReady))?;
    let service = route.next_service().clone();
    log.routed(&route, &service.name, in_force.version());
    log.admitted(&admitted);
    let limit = arrived + patience.min(route.timeout());
    let limit = shared.stopping.cap_deadline(limit);
    let limits = in_force.bundle.caller_limits;
    let kept_bytes = shared.settings().kept_body_bytes;
    let body = receive_body(body, limits.max_body_bytes, kept_bytes, limit);
    let body = body.await.map_err(RequestError::from_code)?;
    if let Some(account) = &admitted.account {
        // Once its body is in: it reaches a server right after it was counted.
        let within = enforce_account_limit(shared, log.id(), account, patience).await;
        within.inspect_err(|_| count_unserved(&route))?;
    }
    let class = route.route.class.as_str();
    let labels = [service.name.as_str(), class];
    shared.metrics.requests.with_label_values(&labels).inc();
    let ticket = log.ticket().clone();
    let fingerprint = fingerprint(&parts, &admitted, &body);
    log.set_fingerprint(fingerprint);
    let taken = Taken {
        arrived,
        limit,
        fingerprint,
    };
    let outgoing = outgoing(shared, parts, admitted, taken, ticket.clone());
    let forwarding =
        RequestForwarder::new(shared.clone(), route, service, outgoing, body);
    match forwarding.run().await? {
        AttemptResult::Answered(answer) => Ok(whole(answer)),
        AttemptResult::Streaming {
            head,
            first,
            connection,
            guard,
        } => {
            let length = head.body_bytes;
            let body = StreamBody::new(first, *connection, guard, length, ticket);
            Ok(with_head(head, ResponseBody::Stream(body)))
        }
        AttemptResult::Failed(failed) => Err(RequestError::from_code(failed.code)),
    }
}

/// Counts a request that is refused for its account's sake: to its service, too, it is one
/// that is not served, and while many are, all servers must be in use.
fn count_unserved(route: &ActiveRoute) {
    let now = wingspur_clock::now();
    let mut budget = route.next_service().budget.lock();
    budget.count_request(now);
    budget.count_failed_request(now);
}

fn refuse(
    shared: &EdgeState,
    mut given_up: RequestError,
    log: RequestLog,
) -> Response<ResponseBody> {
    let answer = given_up.upstream_response.take();
    let response = match answer {
        Some(answer) => whole(answer),
        None => {
            shared.metrics.count_refusal(given_up.code);
            error_response(given_up.code, given_up.retry_after)
                .map(ResponseBody::Buffered)
        }
    };
    log.log_error(&given_up, &response);
    response
}

/// When a request came, until when it is held, and which it is.
struct Taken {
    arrived: Instant,
    limit: Instant,
    fingerprint: RequestFingerprint,
}

/// Turns a caller's head into what every attempt sends.
fn outgoing(
    shared: &EdgeState,
    parts: Parts,
    admitted: Principal,
    taken: Taken,
    ticket: Arc<InFlightGuard>,
) -> UpstreamRequest {
    let names = &shared.header_names;
    let mut headers = parts.headers;
    strip_hop_by_hop(&mut headers);
    let id = headers.get(names.request_id).cloned();
    let in_force = shared.active_bundle();
    let has_keys = in_force.is_some_and(|in_force| in_force.accounts.is_some());
    strip_credentials(&mut headers, names.account, has_keys);
    headers.remove(names.deadline_ms);
    headers.remove(CONTENT_LENGTH);
    if let Some(name) = names.expected_incarnation {
        headers.remove(name);
    }
    let target = parts.uri.path_and_query();
    UpstreamRequest {
        method: parts.method,
        target: target.map_or("/", |target| target.as_str()).to_owned(),
        fingerprint: taken.fingerprint,
        headers,
        id,
        arrived: taken.arrived,
        deadline: taken.limit,
        admitted,
        ticket,
    }
}

/// What tells a request from any other, by what its server is given to work on.
///
/// The address that it comes from is no part of it: callers come again from others.
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

/// What a caller without an account says of itself.
fn caller_headers(headers: &HeaderMap) -> Vec<u8> {
    let names = [AUTHORIZATION, COOKIE];
    let values = names.iter().flat_map(|name| headers.get_all(name));
    let values: Vec<&[u8]> = values.map(HeaderValue::as_bytes).collect();
    values.join(&b'\n')
}

/// How long the caller says that it waits.
fn patience(shared: &EdgeState, headers: &HeaderMap) -> Duration {
    let told = headers.get(shared.header_names.deadline_ms);
    let told = told.and_then(|value| value.to_str().ok()?.parse().ok());
    told.map_or(Duration::MAX, Duration::from_millis)
}

/// Keeps a small body whole, so that it can be sent again; streams a large one.
async fn receive_body(
    body: Incoming,
    most_bytes: u64,
    kept_bytes: u64,
    limit: Instant,
) -> Result<SendBody, ResultCode> {
    if body.is_end_stream() {
        return Ok(SendBody::empty());
    }
    match body.size_hint().exact() {
        Some(length) if length > most_bytes => Err(ResultCode::TooLarge),
        Some(length) if length <= kept_bytes => {
            let whole = Limited::new(body, length as usize).collect();
            let received = async { whole.await.map_err(|_| ResultCode::BadFraming) };
            let expired = async {
                wingspur_clock::sleep_until(limit).await;
                Err(ResultCode::DeadlineBeforeSend)
            };
            let whole = received.or(expired).await?;
            Ok(SendBody::buffered(whole.to_bytes()))
        }
        _ => Ok(SendBody::Stream(body, most_bytes)),
    }
}

fn host_of(parts: &Parts) -> Option<&str> {
    let authority = parts.uri.authority().map(|authority| authority.as_str());
    let header = parts
        .headers
        .get(HOST)
        .and_then(|value| value.to_str().ok());
    authority.or(header)
}

fn whole(answer: BufferedResponse) -> Response<ResponseBody> {
    let body = ResponseBody::Buffered(Full::new(answer.body));
    with_head(answer.head, body)
}

fn with_head(head: ResponseHead, body: ResponseBody) -> Response<ResponseBody> {
    let mut headers = head.headers;
    strip_hop_by_hop(&mut headers);
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = headers;
    response
}
