//! The request path: forwards a caller's request to a backend server and relays its
//! response.

use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode, Uri, Version};
use wingspur_protocol::{
    ExecutionState, HeaderNames, OperationId, OperationOutcome, ResultCode,
    parse_load_hint,
};
use wingspur_state::{
    AttemptEnd, AttemptNumber, AttemptOutcome, RetryDecision, Route, RouteClass,
    ServerIndex, decide_retry,
};
use wingspur_transport::{
    Attribution, DeclaredRefusals, PoolReuse, PooledConnection, RefusalTiming,
    ResponseNaming, RunEvidence, SendBody, SendFailure, SentRequest, ServerDeadline,
    declared_run_evidence,
};

use crate::active_bundle::ServiceHandle;
use crate::claims::{ClaimGuard, claim};
use crate::concurrency_limiter::ConcurrencyPermit;
use crate::entry_state::EntryState;
use crate::response_body::{AttemptGuard, BodyTimeout, ResponseBody, UpstreamBody};
use wingspur_edge::{
    AttemptTraces, BodyLimits, LockRank, RankedMutex, RefusalTrace, check_framing,
    error_response, receive_body, shutdown_result, strip_hop_by_hop,
};

/// Answers callers' requests.
#[derive(Debug, Clone)]
pub struct Proxy {
    shared: Arc<EntryState>,
    account_hash: RandomState,
}

/// A request in progress, with its route, deadline and state.
struct PendingRequest {
    handle: Arc<ServiceHandle>,
    route: usize,
    parts: Parts,
    deadline: Instant,
    progress: Arc<RequestProgress>,
}

/// How far a request has come.
struct RequestProgress {
    arrived: Instant,
    /// Whether it was sent to a server, so that it may have run.
    sent: AtomicBool,
    attempts: RankedMutex<AttemptTraces>,
}

impl RequestProgress {
    fn begin() -> Arc<Self> {
        let traces = AttemptTraces::default();
        Arc::new(Self {
            arrived: wingspur_clock::now(),
            sent: AtomicBool::new(false),
            attempts: RankedMutex::new(LockRank::AttemptTraces, traces),
        })
    }
}

impl PendingRequest {
    fn route(&self) -> &Route {
        &self.handle.service.routes[self.route]
    }

    /// Returns the request's id; the box gives one to a request without an id.
    fn request_id(&self) -> Option<&HeaderValue> {
        self.parts.headers.get(REQUEST_ID_HEADER)
    }

    /// Determines to which request a response on a connection belongs. Servers need not
    /// name the request.
    fn attribution(
        &self,
        headers: &HeaderMap,
        connection: &PooledConnection,
    ) -> Attribution {
        let used = connection.used();
        let sent = SentRequest {
            id: self.request_id(),
            is_first: used.is_first(),
            is_repeated: used.is_repeated,
        };
        let naming = ResponseNaming::Optional;
        Attribution::of_response(headers, REQUEST_ID_HEADER, naming, sent)
    }

    fn remaining(&self) -> Duration {
        self.deadline
            .saturating_duration_since(wingspur_clock::now())
    }
}

/// A response head, with the connection and the attempt that it was received on.
type ResponseHead = (Response<Incoming>, PooledConnection, AttemptGuard);

/// The response head, or the final result code and whether the request certainly did not
/// run.
type Forwarded = Result<ResponseHead, (ResultCode, bool)>;

/// An attempt that got no response for the caller.
struct FailedAttempt {
    end: AttemptEnd,
    code: ResultCode,
    /// The request's body if it was not sent.
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
    /// Creates a proxy over a box's shared state.
    pub fn new(shared: Arc<EntryState>) -> Self {
        Self {
            shared,
            account_hash: RandomState::new(),
        }
    }

    /// Answers a request with a backend server's response, or with an error response
    /// whose result code tells why there is none.
    pub async fn answer(
        self,
        request: Request<Incoming>,
        from: SocketAddr,
    ) -> Response<ResponseBody> {
        let http1 = request.version() == Version::HTTP_11;
        let id = request.headers().get(REQUEST_ID_HEADER).cloned();
        let progress = RequestProgress::begin();
        let answering = self.try_answer(request, from, progress.clone());
        let stopped = async {
            self.shared.stopping.drain_expired().await;
            // A request still in progress at the drain deadline gets an error response
            // before the box ends.
            Err(shutdown_result(progress.sent.load(Ordering::Acquire)))
        };
        let mut response = match answering.or(stopped).await {
            Ok(response) => response,
            Err(code) => {
                self.shared.metrics.count_refusal(code);
                log_refused(id.as_ref(), code, &progress);
                error_response(code, None).map(ResponseBody::own)
            }
        };
        if http1 && self.shared.stopping.has_begun() {
            // Closes the connection after this response, so that it does not close while
            // the caller sends its next request.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn try_answer(
        &self,
        request: Request<Incoming>,
        from: SocketAddr,
        progress: Arc<RequestProgress>,
    ) -> Result<Response<ResponseBody>, ResultCode> {
        let arrived = progress.arrived;
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
        self.charge_account(&bundle.account_header, &handle, &parts.headers, arrived)?;
        let permit = handle.limiter(class).acquire(route.deadline() / 2).await?;
        let mut pending = PendingRequest {
            handle,
            route: target.route,
            parts,
            deadline,
            progress,
        };
        let limits = BodyLimits {
            max_bytes: self.shared.settings.max_body_bytes,
            max_kept_bytes: self.shared.settings.kept_body_bytes,
        };
        let expired = wingspur_clock::sleep(pending.remaining());
        let body = receive_body(body, limits, &self.shared.buffers, expired).await?;
        prepare_head(&mut pending.parts, from);
        match class {
            RouteClass::OnceOnly => self.run_once(pending, body, permit).await,
            RouteClass::Read | RouteClass::Download => {
                let forwarded = self.forward(&pending, body).await;
                let (response, connection, attempt) =
                    forwarded.map_err(|(code, _)| code)?;
                Ok(self.relay(&pending, response, connection, attempt, permit))
            }
        }
    }

    /// Runs a once-only request: claims its operation, sends it, and records its outcome.
    async fn run_once(
        &self,
        pending: PendingRequest,
        body: SendBody,
        permit: ConcurrencyPermit,
    ) -> Result<Response<ResponseBody>, ResultCode> {
        let key = operation_key(&pending.parts.headers, pending.route().key_header())?;
        let operation = OperationId::new(&pending.handle.service.name, key);
        let nonce = claim(&self.shared, operation, pending.remaining()).await?;
        let mut guard = ClaimGuard::new(self.shared.clone(), operation, nonce);
        let forwarded = self.forward(&pending, body).await;
        match forwarded {
            Ok((response, connection, attempt)) => {
                guard.record_outcome(OperationOutcome::Ran);
                Ok(self.relay(&pending, response, connection, attempt, permit))
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

    /// Tries servers until one responds, no further attempt is possible or allowed, or
    /// the deadline has passed.
    async fn forward(&self, pending: &PendingRequest, body: SendBody) -> Forwarded {
        let mut body = Some(body);
        let mut tried = Vec::new();
        let mut may_have_run = false;
        loop {
            if pending.remaining().is_zero() {
                return Err(final_failure(ResultCode::DeadlineBeforeSend, may_have_run));
            }
            let Some(server) = self.pick(pending, &tried) else {
                return Err(final_failure(ResultCode::NoServer, may_have_run));
            };
            let resendable = body.as_ref().and_then(SendBody::try_clone);
            let sent = body.take().unwrap_or(SendBody::empty());
            let attempt = AttemptGuard::begin(pending.handle.clone(), server);
            let name = &pending.handle.service.servers[server].name;
            let progress = &pending.progress;
            let number = progress.attempts.lock().begin(name);
            tried.push(server);
            progress.sent.store(true, Ordering::Release);
            let failed = match self.send(pending, number, attempt, sent).await {
                Ok(head) => return Ok(head),
                Err(failed) => failed,
            };
            progress.attempts.lock().record_end(number, failed.end);
            may_have_run |= !failed.end.certainly_not_run();
            body = failed.unsent.or(resendable);
            if !self.may_retry(pending, failed.end, tried.len(), body.is_some()) {
                return Err(final_failure(failed.code, may_have_run));
            }
        }
    }

    fn pick(&self, pending: &PendingRequest, tried: &[usize]) -> Option<usize> {
        let class = pending.route().class;
        let table = pending.handle.table.lock();
        table.pick(class, tried, wingspur_clock::now(), &mut rand::rng())
    }

    /// Makes one attempt. A failure tells how the attempt ended, and has the body if it
    /// was not sent.
    async fn send(
        &self,
        pending: &PendingRequest,
        number: AttemptNumber,
        mut attempt: AttemptGuard,
        body: SendBody,
    ) -> Result<ResponseHead, FailedAttempt> {
        let deadline = ServerDeadline::new(wingspur_clock::now(), pending.remaining());
        let attempts = &pending.progress.attempts;
        attempts.lock().record_sent(number, deadline);
        let request = self.build_request(pending, body, deadline);
        let pool = pending.handle.pools[attempt.server].clone();
        let id = pending.request_id();
        let reuse = match pending.route().class {
            RouteClass::OnceOnly if !pool.names_requests() => PoolReuse::Unused,
            _ => PoolReuse::Any,
        };
        let sending = async { Some(pool.send(request, id, reuse).await) };
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
                tracing::debug!("proxy: the request was not sent: {reason}.");
                attempt.finish(AttemptOutcome::Failed);
                let mut failed =
                    FailedAttempt::new(AttemptEnd::NotSent, ResultCode::NotSent);
                failed.unsent = Some(request.into_body());
                Err(failed)
            }
            Some(Err(SendFailure::MaybeSent(error))) => {
                tracing::debug!("proxy: the request may have been sent: {error}.");
                attempt.finish(AttemptOutcome::Failed);
                Err(FailedAttempt::new(
                    AttemptEnd::InDoubt,
                    ResultCode::ConnectionLostAfterSend,
                ))
            }
            Some(Ok((response, connection))) => {
                let head = (response, connection, attempt);
                self.handle_response_head(pending, number, head, deadline)
            }
        }
    }

    fn handle_response_head(
        &self,
        pending: &PendingRequest,
        number: AttemptNumber,
        (response, mut connection, mut attempt): ResponseHead,
        deadline: ServerDeadline,
    ) -> Result<ResponseHead, FailedAttempt> {
        let used = connection.used();
        let mut attempts = pending.progress.attempts.lock();
        if let Some(cause) = attempts.record_connection(number, used, false) {
            self.shared.metrics.count_repeated_request(cause);
        }
        drop(attempts);
        let attribution = pending.attribution(response.headers(), &connection);
        if attribution == Attribution::Other {
            tracing::warn!("proxy: an answer to another request; its connection ends.");
            attempt.finish(AttemptOutcome::Failed);
            return Err(FailedAttempt::new(
                AttemptEnd::InDoubt,
                ResultCode::ConnectionLostAfterSend,
            ));
        }
        if attribution != Attribution::PossibleCopy {
            self.apply_hints(pending, attempt.server, response.headers());
        }
        self.record_naming(pending, attempt.server, &response, &mut connection);
        let status = response.status();
        let evidence = self.observe_evidence(
            pending,
            number,
            status,
            attribution,
            &connection,
            deadline,
        );
        match evidence {
            RunEvidence::Ordinary => {}
            RunEvidence::NotRun => {
                // The server sheds load or drains, which is no sign of a fault.
                attempt.finish(AttemptOutcome::Abandoned);
                let end = AttemptEnd::RefusedBeforeRunning;
                return Err(FailedAttempt::new(end, ResultCode::NotSent));
            }
            RunEvidence::Unproven(reason) => {
                attempt.finish(match reason.is_refusal() {
                    true => AttemptOutcome::Abandoned,
                    false => AttemptOutcome::Failed,
                });
                let (end, code) = (AttemptEnd::InDoubt, reason.result_code());
                return Err(FailedAttempt::new(end, code));
            }
        }
        if status.is_server_error() {
            attempt.record_head(AttemptOutcome::Failed);
        } else {
            attempt.record_head(AttemptOutcome::Answered);
            pending.handle.table.lock().budget().earn();
        }
        Ok((response, connection, attempt))
    }

    /// Determines, logs and counts what a status says about whether the request ran.
    /// `deadline` is the one that the server was given.
    fn observe_evidence(
        &self,
        pending: &PendingRequest,
        number: AttemptNumber,
        status: StatusCode,
        attribution: Attribution,
        connection: &PooledConnection,
        deadline: ServerDeadline,
    ) -> RunEvidence {
        if !status.is_client_error() && !status.is_server_error() {
            return RunEvidence::Ordinary;
        }
        let rules = &pending.handle.service.retry;
        let declared = DeclaredRefusals {
            statuses: &rules.not_run_statuses,
            are_atomic: rules.atomic_refusals,
        };
        let arrival = connection.latest_arrival();
        let now = wingspur_clock::now();
        let timing = RefusalTiming {
            deadline,
            request_sent_at: Some(connection.sent_at()),
            arrival,
            max_prompt_delay: self.shared.settings.max_prompt_delay(),
        };
        let evidence = declared_run_evidence(status, declared, attribution, timing);
        if evidence == RunEvidence::Ordinary {
            return evidence;
        }
        let refusal = RefusalTrace {
            status,
            arrival,
            read_at: now,
            evidence,
        };
        let attempts = &pending.progress.attempts;
        attempts.lock().record_refusal(number, refusal);
        self.shared
            .metrics
            .count_refusal_evidence(evidence, &timing);
        let id = pending.request_id();
        tracing::info!(
            id = id.and_then(|id| id.to_str().ok()),
            service = pending.handle.service.name,
            status = status.as_u16(),
            evidence = evidence.as_str(),
            server_timeout_ms = deadline.timeout_ms(),
            held_ms = timing.delay().as_millis() as u64,
            read_after_ms = deadline.elapsed(now).as_millis() as u64,
            round_trip_us = arrival.round_trip.as_micros() as u64,
            left_ms = pending.remaining().as_millis() as u64,
            "proxy: a refusal."
        );
        evidence
    }

    /// Records whether a response names its request. If it does not, a copy of it could
    /// be taken for the response to a later request, so that the connection is closed
    /// after an error, and where later once-only requests would not use it.
    fn record_naming(
        &self,
        pending: &PendingRequest,
        server: ServerIndex,
        response: &Response<Incoming>,
        connection: &mut PooledConnection,
    ) {
        let names_request = response.headers().contains_key(REQUEST_ID_HEADER);
        pending.handle.pools[server].record_naming(names_request);
        let status = response.status();
        let is_error = status.is_client_error() || status.is_server_error();
        let is_once_only = pending.route().class == RouteClass::OnceOnly;
        if !names_request && (is_error || is_once_only) {
            connection.close_after_response();
        }
    }

    /// Applies the load hint and the draining header of a server's response.
    fn apply_hints(&self, pending: &PendingRequest, server: usize, headers: &HeaderMap) {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let hint = text(HeaderNames::DEFAULT.load).and_then(parse_load_hint);
        let draining_header = HeaderNames::DEFAULT.draining;
        let is_draining = draining_header.is_some_and(|name| headers.contains_key(name));
        if hint.is_none() && !is_draining {
            return;
        }
        let mut table = pending.handle.table.lock();
        if let Some(hint) = hint {
            table.set_load_hint(server, hint);
        }
        if is_draining {
            table.set_draining(server);
        }
    }

    fn may_retry(
        &self,
        pending: &PendingRequest,
        end: AttemptEnd,
        tried: usize,
        is_resendable: bool,
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
            is_resendable,
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

    fn build_request(
        &self,
        pending: &PendingRequest,
        body: SendBody,
        deadline: ServerDeadline,
    ) -> Request<SendBody> {
        let mut request = Request::new(body);
        *request.method_mut() = pending.parts.method.clone();
        *request.uri_mut() = pending.parts.uri.clone();
        *request.headers_mut() = pending.parts.headers.clone();
        let timeout_ms = deadline.timeout_ms();
        let headers = request.headers_mut();
        headers.insert(DEADLINE_HEADER, HeaderValue::from(timeout_ms));
        request
    }

    /// Relays the response head, and streams the body.
    fn relay(
        &self,
        pending: &PendingRequest,
        response: Response<Incoming>,
        connection: PooledConnection,
        attempt: AttemptGuard,
        permit: ConcurrencyPermit,
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
        let body_timeout = match pending.route().class {
            RouteClass::Download => BodyTimeout::Idle(DOWNLOAD_IDLE_TIMEOUT),
            RouteClass::Read | RouteClass::OnceOnly => BodyTimeout::At(pending.deadline),
        };
        let cuts = metrics.cuts.with_label_values(&[name]);
        let body =
            UpstreamBody::new(incoming, attempt, connection, body_timeout, cuts, permit);
        Response::from_parts(parts, ResponseBody::Upstream(Box::new(body)))
    }

    fn charge_account(
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
        let allowed = self.shared.accounts.lock().take(account, rate, now);
        allowed.then_some(()).ok_or(ResultCode::AccountLimit)
    }
}

/// Logs that a request gets a response of the box's own, and what has become of its
/// attempts.
fn log_refused(id: Option<&HeaderValue>, code: ResultCode, progress: &RequestProgress) {
    tracing::info!(
        id = id.and_then(|id| id.to_str().ok()),
        status = code.status(),
        code = code.number(),
        result = code.name(),
        attempts = progress.attempts.lock().text(progress.arrived),
        took_ms = wingspur_clock::since(progress.arrived).as_millis() as u64,
        "proxy: refused."
    );
}

/// Returns the final result code, and whether the request certainly did not run. Once an
/// attempt may have run, no later attempt changes the result to *not run*.
fn final_failure(code: ResultCode, may_have_run: bool) -> (ResultCode, bool) {
    match code {
        code if code.run_state() == ExecutionState::Unknown => (code, false),
        ResultCode::DeadlineBeforeSend if may_have_run => {
            (ResultCode::DeadlineAfterSend, false)
        }
        _ if may_have_run => (ResultCode::ConnectionLostAfterSend, false),
        _ => (code, true),
    }
}

/// Turns the head of a caller's request into the one that a backend server gets.
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

/// Returns the key of a once-only operation: 1 to 128 visible ASCII characters. Fails
/// with `BadKey` when the header is missing, repeated or malformed.
fn operation_key<'a>(headers: &'a HeaderMap, name: &str) -> Result<&'a str, ResultCode> {
    let mut values = headers.get_all(name).iter();
    let key = values.next().and_then(|value| value.to_str().ok());
    let key = key.ok_or(ResultCode::BadKey)?;
    let visible = key.bytes().all(|byte| byte.is_ascii_graphic());
    if values.next().is_some() || key.is_empty() || key.len() > MAX_KEY_BYTES || !visible
    {
        return Err(ResultCode::BadKey);
    }
    Ok(key)
}

const FORWARDED_FOR_HEADER: &str = "x-forwarded-for";
const REQUEST_ID_HEADER: &str = "x-request-id";
/// Tells a backend server how much time is left, in milliseconds.
const DEADLINE_HEADER: &str = "wingspur-deadline-ms";
const MAX_KEY_BYTES: usize = 128;
/// A download that receives no data for this long is cut off.
const DOWNLOAD_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
