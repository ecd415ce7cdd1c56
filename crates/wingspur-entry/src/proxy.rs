//! The request path: from a caller's request to its one whole answer.

use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, Uri, Version};
use wingspur_protocol::{
    HeaderNames, OperationId, OperationOutcome, ResultCode, parse_load_hint,
};
use wingspur_state::{
    AttemptEnd, AttemptOutcome, RetryDecision, Route, RouteClass, decide_retry,
};
use wingspur_transport::{PooledConnection, SendBody, SendFailure};

use crate::active_bundle::ServiceHandle;
use crate::claims::{ClaimGuard, claim};
use crate::concurrency_limiter::ConcurrencyPermit;
use crate::entry_state::EntryState;
use crate::response_body::{AttemptGuard, BodyTimeout, ResponseBody, UpstreamBody};
use wingspur_edge::{check_framing, error_response, shutdown_result, strip_hop_by_hop};

/// Answers callers' requests.
#[derive(Debug, Clone)]
pub struct Proxy {
    shared: Arc<EntryState>,
    account_hash: RandomState,
}

/// A request on its way, with all that was decided about it.
struct Pending {
    handle: Arc<ServiceHandle>,
    route: usize,
    parts: Parts,
    deadline: Instant,
    /// Whether any server was sent it, so that it may have run.
    sent: Arc<AtomicBool>,
}

impl Pending {
    fn route(&self) -> &Route {
        &self.handle.service.routes[self.route]
    }

    fn remaining(&self) -> Duration {
        self.deadline
            .saturating_duration_since(wingspur_clock::now())
    }
}

/// An answer's head with the connection and the attempt that it came by.
type AnswerHead = (Response<Incoming>, PooledConnection, AttemptGuard);

/// The answer's head, or the final code and whether the request surely did not run.
type Forwarded = Result<AnswerHead, (ResultCode, bool)>;

/// One attempt that got no answer for the caller.
struct FailedAttempt {
    end: AttemptEnd,
    code: ResultCode,
    /// The request's body, where it was not sent.
    unsent: Option<SendBody>,
}

impl FailedAttempt {
    fn new(end: AttemptEnd, code: ResultCode) -> Self {
        Self {
            end,
            code,
            unsent: None,
        }
    }
}

impl Proxy {
    /// A proxy over a box's shared tables.
    pub fn new(shared: Arc<EntryState>) -> Self {
        Self {
            shared,
            account_hash: RandomState::new(),
        }
    }

    /// Answers a request: a backend server's whole answer, or an honest refusal.
    pub async fn answer(
        self,
        request: Request<Incoming>,
        from: SocketAddr,
    ) -> Response<ResponseBody> {
        let http1 = request.version() == Version::HTTP_11;
        let sent = Arc::new(AtomicBool::new(false));
        let answering = self.try_answer(request, from, sent.clone());
        let stopped = async {
            self.shared.stopping.drain_expired().await;
            // Whatever it waits for, it has its answer before the box ends.
            Err(shutdown_result(sent.load(Ordering::Acquire)))
        };
        let mut response = match answering.or(stopped).await {
            Ok(response) => response,
            Err(code) => {
                self.shared.metrics.count_refusal(code);
                error_response(code, None).map(ResponseBody::own)
            }
        };
        if http1 && self.shared.stopping.has_begun() {
            // The connection ends with this answer, not under the caller's next request.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn try_answer(
        &self,
        request: Request<Incoming>,
        from: SocketAddr,
        sent: Arc<AtomicBool>,
    ) -> Result<Response<ResponseBody>, ResultCode> {
        let arrived = wingspur_clock::now();
        let bundle = self.shared.active_bundle().ok_or(ResultCode::NotReady)?;
        let (parts, body) = request.into_parts();
        check_framing(&parts.headers)?;
        let found = bundle.match_route(parts.method.as_str(), parts.uri.path());
        let target = found.ok_or(ResultCode::NoRoute)?;
        let target = target.ok_or(ResultCode::MethodNotAllowed)?;
        let handle = bundle.services[target.service].clone();
        let route = &handle.service.routes[target.route];
        let deadline = self
            .shared
            .stopping
            .cap_deadline(arrived + route.deadline());
        let class = route.class;
        let labels = [handle.service.name.as_str(), class.as_str()];
        self.shared
            .metrics
            .requests
            .with_label_values(&labels)
            .inc();
        self.take_account(&bundle.account_header, &handle, &parts.headers, arrived)?;
        let place = handle.limiter(class).acquire(route.deadline() / 2).await?;
        let mut pending = Pending {
            handle,
            route: target.route,
            parts,
            deadline,
            sent,
        };
        let body = self.receive_body(body, pending.remaining()).await?;
        prepare_head(&mut pending.parts, from);
        match class {
            RouteClass::OnceOnly => self.run_once(pending, body, place).await,
            RouteClass::Read | RouteClass::Download => {
                let forwarded = self.forward(&pending, body).await;
                let (response, lease, attempt) = forwarded.map_err(|(code, _)| code)?;
                Ok(self.relay(&pending, response, lease, attempt, place))
            }
        }
    }

    /// Runs a once-only request: claimed first, sent after, its end recorded.
    async fn run_once(
        &self,
        pending: Pending,
        body: SendBody,
        place: ConcurrencyPermit,
    ) -> Result<Response<ResponseBody>, ResultCode> {
        let key = operation_key(&pending.parts.headers, pending.route().key_header())?;
        let operation = OperationId::new(&pending.handle.service.name, key);
        let granted = claim(&self.shared, operation, pending.remaining()).await?;
        let mut guard = ClaimGuard::new(self.shared.clone(), operation, granted);
        let forwarded = self.forward(&pending, body).await;
        match forwarded {
            Ok((response, lease, attempt)) => {
                guard.record_outcome(OperationOutcome::Ran);
                Ok(self.relay(&pending, response, lease, attempt, place))
            }
            Err((code, certainly_not_run)) => {
                guard.record_outcome(match certainly_not_run {
                    true => OperationOutcome::NotRun,
                    false => OperationOutcome::Unknown,
                });
                Err(code)
            }
        }
    }

    /// Tries servers until one answers, the rules forbid more, or time is up.
    async fn forward(&self, pending: &Pending, body: SendBody) -> Forwarded {
        let mut body = Some(body);
        let mut tried = Vec::new();
        let mut in_doubt = false;
        loop {
            if pending.remaining().is_zero() {
                return Err(give_up(ResultCode::DeadlineBeforeSend, in_doubt));
            }
            let Some(server) = self.pick(pending, &tried) else {
                return Err(give_up(ResultCode::NoServer, in_doubt));
            };
            let kept = body.as_ref().and_then(SendBody::try_clone);
            let sent = body.take().unwrap_or(SendBody::empty());
            let attempt = AttemptGuard::begin(pending.handle.clone(), server);
            tried.push(server);
            pending.sent.store(true, Ordering::Release);
            let failed = match self.send(pending, attempt, sent).await {
                Ok(answered) => return Ok(answered),
                Err(failed) => failed,
            };
            in_doubt |= !failed.end.certainly_not_run();
            body = failed.unsent.or(kept);
            if !self.may_retry(pending, failed.end, tried.len(), body.is_some()) {
                return Err(give_up(failed.code, in_doubt));
            }
        }
    }

    fn pick(&self, pending: &Pending, tried: &[usize]) -> Option<usize> {
        let class = pending.route().class;
        let table = pending.handle.table.lock();
        table.pick(class, tried, wingspur_clock::now(), &mut rand::rng())
    }

    /// Makes one attempt; on failure tells how it ended and gives an unsent body back.
    async fn send(
        &self,
        pending: &Pending,
        mut attempt: AttemptGuard,
        body: SendBody,
    ) -> Result<AnswerHead, FailedAttempt> {
        let request = self.build_request(pending, body);
        let pool = pending.handle.pools[attempt.server].clone();
        let sending = async { Some(pool.send(request).await) };
        let expired = async {
            wingspur_clock::sleep_until(pending.deadline).await;
            None
        };
        match sending.or(expired).await {
            None => {
                let (end, code) = (AttemptEnd::InDoubt, ResultCode::DeadlineAfterSend);
                Err(FailedAttempt::new(end, code))
            }
            Some(Err(SendFailure::NotSent { request, reason })) => {
                tracing::debug!("proxy: not sent: {reason}.");
                attempt.finish(AttemptOutcome::Failed);
                let mut failed =
                    FailedAttempt::new(AttemptEnd::NotSent, ResultCode::NotSent);
                failed.unsent = Some(request.into_body());
                Err(failed)
            }
            Some(Err(SendFailure::MaybeSent(error))) => {
                tracing::debug!("proxy: in doubt: {error}.");
                attempt.finish(AttemptOutcome::Failed);
                Err(FailedAttempt::new(
                    AttemptEnd::InDoubt,
                    ResultCode::ConnectionLostAfterSend,
                ))
            }
            Some(Ok((response, lease))) => {
                self.weigh_head(pending, attempt, response, lease)
            }
        }
    }

    fn weigh_head(
        &self,
        pending: &Pending,
        mut attempt: AttemptGuard,
        response: Response<Incoming>,
        lease: PooledConnection,
    ) -> Result<AnswerHead, FailedAttempt> {
        self.take_hints(pending, attempt.server, response.headers());
        if names_another(&pending.parts.headers, response.headers()) {
            tracing::warn!("proxy: an answer to another request; its connection ends.");
            attempt.finish(AttemptOutcome::Failed);
            return Err(FailedAttempt::new(
                AttemptEnd::InDoubt,
                ResultCode::ConnectionLostAfterSend,
            ));
        }
        let status = response.status();
        let declared = &pending.handle.service.retry.not_run_statuses;
        if declared.contains(&status.as_u16()) {
            // The server sheds load or drains: no sign of sickness.
            attempt.finish(AttemptOutcome::Abandoned);
            let end = AttemptEnd::RefusedBeforeRunning;
            return Err(FailedAttempt::new(end, ResultCode::NotSent));
        }
        if status.is_server_error() {
            attempt.head(AttemptOutcome::Failed);
        } else {
            attempt.head(AttemptOutcome::Answered);
            pending.handle.table.lock().budget().earn();
        }
        Ok((response, lease, attempt))
    }

    /// Takes in what a server says of its own load and plans.
    fn take_hints(&self, pending: &Pending, server: usize, headers: &HeaderMap) {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let hint = text(HeaderNames::DEFAULT.load).and_then(parse_load_hint);
        let leaving = HeaderNames::DEFAULT.draining;
        let drains = leaving.is_some_and(|name| headers.contains_key(name));
        if hint.is_none() && !drains {
            return;
        }
        let mut table = pending.handle.table.lock();
        if let Some(hint) = hint {
            table.set_load_hint(server, hint);
        }
        if drains {
            table.set_draining(server);
        }
    }

    fn may_retry(
        &self,
        pending: &Pending,
        end: AttemptEnd,
        tried: usize,
        body_kept: bool,
    ) -> bool {
        let mut table = pending.handle.table.lock();
        let max_attempts = table.service().retry.retries.saturating_add(1);
        let (class, remaining) = (pending.route().class, pending.remaining());
        let budget = table.budget();
        let in_budget = budget.allows();
        match decide_retry(
            end,
            class,
            max_attempts,
            remaining,
            tried,
            body_kept,
            in_budget,
        ) {
            RetryDecision::Stop(reason) => {
                self.shared.metrics.count_retry_stop(reason);
                false
            }
            RetryDecision::Retry(reason) => {
                budget.spend();
                self.shared.metrics.count_retry(reason);
                true
            }
        }
    }

    fn build_request(&self, pending: &Pending, body: SendBody) -> Request<SendBody> {
        let mut request = Request::new(body);
        *request.method_mut() = pending.parts.method.clone();
        *request.uri_mut() = pending.parts.uri.clone();
        *request.headers_mut() = pending.parts.headers.clone();
        let remaining_ms = pending.remaining().as_millis() as u64;
        let headers = request.headers_mut();
        headers.insert(DEADLINE_HEADER, HeaderValue::from(remaining_ms));
        request
    }

    /// Passes a whole head on, and the body as it comes.
    fn relay(
        &self,
        pending: &Pending,
        response: Response<Incoming>,
        lease: PooledConnection,
        attempt: AttemptGuard,
        place: ConcurrencyPermit,
    ) -> Response<ResponseBody> {
        let (mut parts, incoming) = response.into_parts();
        strip_hop_by_hop(&mut parts.headers);
        parts.version = Version::HTTP_11;
        let name = pending.handle.service.name.as_str();
        let status_class = ["1xx", "2xx", "3xx", "4xx", "5xx"]
            [usize::from(parts.status.as_u16() / 100).clamp(1, 5) - 1];
        let metrics = &self.shared.metrics;
        metrics
            .answers
            .with_label_values(&[name, status_class])
            .inc();
        let rule = match pending.route().class {
            RouteClass::Download => BodyTimeout::Idle(DOWNLOAD_STANDSTILL),
            RouteClass::Read | RouteClass::OnceOnly => BodyTimeout::At(pending.deadline),
        };
        let cuts = metrics.cuts.with_label_values(&[name]);
        let body = UpstreamBody::new(incoming, attempt, lease, rule, cuts, place);
        Response::from_parts(parts, ResponseBody::Upstream(Box::new(body)))
    }

    fn take_account(
        &self,
        header: &str,
        handle: &ServiceHandle,
        headers: &HeaderMap,
        now: Instant,
    ) -> Result<(), ResultCode> {
        let Some(account) = headers.get(header) else {
            return Ok(());
        };
        let name = handle.service.name.as_str();
        let account = self.account_hash.hash_one((name, account.as_bytes()));
        let rate = handle.service.limits.account_requests_per_s;
        let taken = self.shared.accounts.lock().take(account, rate, now);
        taken.then_some(()).ok_or(ResultCode::AccountLimit)
    }

    /// Keeps a small body whole, so that it can be sent again; streams a large one.
    async fn receive_body(
        &self,
        body: Incoming,
        patience: Duration,
    ) -> Result<SendBody, ResultCode> {
        if body.is_end_stream() {
            return Ok(SendBody::empty());
        }
        let settings = &self.shared.settings;
        match body.size_hint().exact() {
            Some(length) if length > settings.max_body_bytes => Err(ResultCode::TooLarge),
            Some(length) if length <= settings.kept_body_bytes => {
                let whole = Limited::new(body, length as usize).collect();
                let received = async { whole.await.map_err(|_| ResultCode::BadFraming) };
                let expired = async {
                    wingspur_clock::sleep(patience).await;
                    Err(ResultCode::DeadlineBeforeSend)
                };
                let whole = received.or(expired).await?;
                Ok(SendBody::buffered(whole.to_bytes()))
            }
            _ => Ok(SendBody::Stream(body, settings.max_body_bytes)),
        }
    }
}

/// Whether an answer says that it belongs to another request than the one sent: servers
/// that repeat the request's id are held to it.
fn names_another(request: &HeaderMap, answer: &HeaderMap) -> bool {
    let answered = answer.get(REQUEST_ID_HEADER);
    answered.is_some_and(|id| Some(id) != request.get(REQUEST_ID_HEADER))
}

/// The final code: once an attempt is in doubt, no later one makes it *not run*.
fn give_up(code: ResultCode, in_doubt: bool) -> (ResultCode, bool) {
    match code {
        ResultCode::DeadlineAfterSend | ResultCode::ConnectionLostAfterSend => {
            (code, false)
        }
        ResultCode::DeadlineBeforeSend if in_doubt => {
            (ResultCode::DeadlineAfterSend, false)
        }
        _ if in_doubt => (ResultCode::ConnectionLostAfterSend, false),
        _ => (code, true),
    }
}

/// Turns a caller's head into what a backend server gets.
fn prepare_head(parts: &mut Parts, from: SocketAddr) {
    strip_hop_by_hop(&mut parts.headers);
    if !parts.headers.contains_key(HOST)
        && let Some(authority) = parts.uri.authority()
        && let Ok(host) = HeaderValue::from_str(authority.as_str())
    {
        parts.headers.insert(HOST, host);
    }
    if let Some(path) = parts.uri.path_and_query().cloned() {
        parts.uri = Uri::from(path);
    }
    append_forwarded(&mut parts.headers, from);
    if !parts.headers.contains_key(REQUEST_ID_HEADER) {
        let id = format!("{:032x}", rand::random::<u128>());
        let id = HeaderValue::from_str(&id).expect("hexadecimal digits are valid");
        parts.headers.insert(REQUEST_ID_HEADER, id);
    }
}

fn append_forwarded(headers: &mut HeaderMap, from: SocketAddr) {
    let before = headers
        .get(FORWARDED_FOR_HEADER)
        .and_then(|value| value.to_str().ok());
    let all = match before {
        Some(before) => format!("{before}, {}", from.ip()),
        None => from.ip().to_string(),
    };
    if let Ok(value) = HeaderValue::from_str(&all) {
        headers.insert(FORWARDED_FOR_HEADER, value);
    }
}

/// The key of a once-only operation: 1 to 128 visible ASCII characters.
fn operation_key<'a>(headers: &'a HeaderMap, name: &str) -> Result<&'a str, ResultCode> {
    let mut values = headers.get_all(name).iter();
    let key = values.next().and_then(|value| value.to_str().ok());
    let key = key.ok_or(ResultCode::BadKey)?;
    let visible = key.bytes().all(|byte| byte.is_ascii_graphic());
    if values.next().is_some() || key.is_empty() || key.len() > MOST_KEY_BYTES || !visible
    {
        return Err(ResultCode::BadKey);
    }
    Ok(key)
}

const FORWARDED_FOR_HEADER: &str = "x-forwarded-for";
const REQUEST_ID_HEADER: &str = "x-request-id";
/// Tells a backend server how much time is left, in milliseconds.
const DEADLINE_HEADER: &str = "wingspur-deadline-ms";
const MOST_KEY_BYTES: usize = 128;
/// A download that stands still for longer is cut.
const DOWNLOAD_STANDSTILL: Duration = Duration::from_secs(15);
