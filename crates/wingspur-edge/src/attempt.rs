//! One attempt at one backend server: sent, answered, weighed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use hyper::body::Bytes;
use hyper::header::{CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap, HeaderValue};
use hyper::{Method, StatusCode};
use wingspur_protocol::{ResultCode, ServerHints};
use wingspur_state::{
    AttemptEnd, AttemptId, ClientAccount, ExpectedLatency, HealthOutcome, Pick,
    RequestFingerprint, ServerRecord,
};
use wingspur_transport::{
    BackendConnection, BackendConnections, ResponseError, ResponseHead, ReusePolicy,
    SendBody,
};

use crate::active_bundle::ActiveRoute;
use crate::admission::Principal;
use crate::edge_state::EdgeState;
use crate::in_flight_requests::InFlightGuard;
use crate::peer_exchange::send_urgent_on_suspect;
use crate::request_error::BufferedResponse;
use crate::request_log::id_text;
use crate::server_hints::observe_response;
use crate::services::ServiceState;
use crate::suspect_requests::{
    InterruptedAttempt, check_for_server_crash, record_completed,
};

/// A request as every attempt sends it, but for the body.
#[derive(Debug)]
pub struct UpstreamRequest {
    /// The method.
    pub method: Method,
    /// Path and query, as the caller wrote them.
    pub target: String,
    /// All headers but those that concern one connection or one attempt.
    pub headers: HeaderMap,
    /// What tells it from any other request, whichever try of its caller this is.
    pub fingerprint: RequestFingerprint,
    /// The request's id, if the caller gave one.
    pub id: Option<HeaderValue>,
    /// When it came.
    pub arrived: Instant,
    /// When it is given up.
    pub deadline: Instant,
    /// Whom it is sent for.
    pub admitted: Principal,
    /// Its place among the requests that are not over.
    pub ticket: Arc<InFlightGuard>,
}

/// How an attempt ended.
pub enum AttemptResult {
    /// The server's answer, whole.
    Answered(BufferedResponse),
    /// The beginning of an answer that is too long to hold.
    Streaming {
        /// The status and headers.
        head: ResponseHead,
        /// What has come of the body.
        first: Vec<Bytes>,
        /// Where the rest comes from.
        connection: Box<BackendConnection>,
        /// Ends the attempt with the body.
        guard: Box<AttemptGuard>,
    },
    /// Nothing to pass on, or a failure of the server's own.
    Failed(Box<FailedAttempt>),
}

/// An attempt that brought no good answer.
pub struct FailedAttempt {
    /// What is known about the request at the server.
    pub end: AttemptEnd,
    /// What the caller is told if nothing better comes.
    pub code: ResultCode,
    /// The server's own failure, whole; it may be passed on.
    pub answer: Option<BufferedResponse>,
    /// What happened, for the log.
    pub reason: String,
    /// The connection ended before the answer was whole; the server may have ended.
    pub interrupted: Option<InterruptedAttempt>,
    /// The server, and why it was picked.
    pub pick: Pick,
}

impl FailedAttempt {
    /// Whether the server has surely had the request.
    pub fn reached_server(&self) -> bool {
        self.answer.is_some() || self.end == AttemptEnd::RefusedBeforeRunning
    }
}

/// An attempt that is out; dropping it counts it as abandoned.
pub struct AttemptGuard {
    shared: Arc<EdgeState>,
    service: Arc<ServiceState>,
    backend: Arc<BackendConnections>,
    server: Arc<ServerRecord>,
    request: RequestFingerprint,
    id: Option<AttemptId>,
    /// For how long the machine had been suspended when the attempt began.
    suspended: Duration,
}

/// What an attempt needs to know.
pub struct UpstreamAttempt {
    /// What all parts of the box share.
    pub shared: Arc<EdgeState>,
    /// The route.
    pub route: Arc<ActiveRoute>,
    /// The service.
    pub service: Arc<ServiceState>,
    /// The server that was picked.
    pub pick: Pick,
    /// The request.
    pub outgoing: Arc<UpstreamRequest>,
}

impl UpstreamAttempt {
    /// Makes the attempt.
    pub async fn run(self, body: SendBody) -> AttemptResult {
        let backend = self.shared.services.backend(self.pick.server.address);
        let mut guard = AttemptGuard::begin(&self, backend.clone());
        let timeout = CONNECT_TIMEOUT.min(self.remaining());
        let mut connection = match backend.connect(self.reuse(), timeout).await {
            Ok(connection) => connection,
            Err(error) => {
                guard.end(HealthOutcome::Unreached);
                return self.failed(AttemptEnd::NotSent, ResultCode::NotSent, &error);
            }
        };
        let Ok(account) = self
            .outgoing
            .admitted
            .account_now(&self.shared, &self.route)
        else {
            guard.end(HealthOutcome::Abandoned);
            guard.backend.release(connection);
            let reason = &"the key was taken away";
            return self.failed(AttemptEnd::NotSent, ResultCode::UnknownKey, reason);
        };
        let began = wingspur_clock::now();
        if !guard.may_send(began) {
            guard.end(HealthOutcome::Abandoned);
            guard.backend.release(connection);
            let reason = &"the server wants nothing any more";
            return self.failed(AttemptEnd::NotSent, ResultCode::NotSent, reason);
        }
        let answering = async {
            let account = account.as_deref();
            Some(self.converse(&mut connection, account, body).await)
        };
        let answering = answering.or(guard.watch_silence(self.expected()));
        let expired = async {
            wingspur_clock::sleep_until(self.outgoing.deadline + LATE_ANSWER).await;
            None
        };
        let answered = match answering.or(expired).await {
            None => {
                guard.end(HealthOutcome::Abandoned);
                let code = ResultCode::DeadlineAfterSend;
                return self.failed(AttemptEnd::InDoubt, code, &"no answer in time");
            }
            Some(Err(error)) => {
                guard.end(HealthOutcome::Failed);
                return self.broken(&error, backend);
            }
            Some(Ok(answered)) => answered,
        };
        match answered {
            Conversed::Whole(answer, hints) => {
                self.weigh(answer, &hints, connection, guard, began)
            }
            Conversed::Longer { head, first } => {
                guard.note_answering();
                AttemptResult::Streaming {
                    head,
                    first,
                    connection: Box::new(connection),
                    guard: Box::new(guard),
                }
            }
        }
    }

    /// Sends the request and reads the answer that is its own.
    async fn converse(
        &self,
        connection: &mut BackendConnection,
        account: Option<&ClientAccount>,
        body: SendBody,
    ) -> Result<Conversed, ResponseError> {
        let method = &self.outgoing.method;
        let request = self.head_bytes(account, &body);
        let mut head = connection.send_request(request, body, method).await?;
        let mut hints = self.receive(&head);
        while self.belongs_to_another(&head) {
            // A second answer to an earlier request; ours may follow it.
            tracing::info!(server = %self.pick.server.id, "attempt: skipped an answer to another request.");
            connection.disable_reuse();
            let skipped = connection.read_whole(HELD_BYTES).await?;
            if skipped.is_err() || !connection.is_read() {
                return Err(ResponseError::Unreadable("of another request".to_owned()));
            }
            head = connection.read_head(method).await?;
            hints = self.receive(&head);
        }
        self.check_own(&head)?;
        match connection.read_whole(HELD_BYTES).await? {
            Ok(body) => Ok(Conversed::Whole(BufferedResponse { head, body }, hints)),
            Err(first) => Ok(Conversed::Longer { head, first }),
        }
    }

    fn receive(&self, head: &ResponseHead) -> ServerHints {
        let id = id_text(self.outgoing.id.as_ref());
        observe_response(&self.shared, id, &self.pick.server, head)
    }

    /// Weighs an answer that is here whole.
    fn weigh(
        &self,
        answer: BufferedResponse,
        hints: &ServerHints,
        connection: BackendConnection,
        mut guard: AttemptGuard,
        began: Instant,
    ) -> AttemptResult {
        let status = answer.head.status;
        if hints.not_run {
            // A server in need that turns one away is as well as before: its limit tells how
            // much it takes.
            let at_limit = hints.limit_per_s != Ok(None);
            guard.end(if at_limit {
                HealthOutcome::Abandoned
            } else {
                HealthOutcome::Refused
            });
            guard.backend.release(connection);
            let end = AttemptEnd::RefusedBeforeRunning;
            return self.failed(end, ResultCode::NotSent, &status);
        }
        if promises_not_run(status) {
            // Without the server's own mark it may have run, and callers would take the
            // status for a promise that it has not.
            guard.end(HealthOutcome::Failed);
            guard.backend.release(connection);
            return self.failed(
                AttemptEnd::InDoubt,
                ResultCode::ConnectionLostAfterSend,
                &status,
            );
        }
        if status.is_server_error() {
            // A server stops working at the time that it was given: that tells of the time,
            // not of the server.
            let timed_out = status == StatusCode::GATEWAY_TIMEOUT
                && self.remaining() < TIMEOUT_MARGIN;
            guard.end(if timed_out {
                HealthOutcome::Abandoned
            } else {
                HealthOutcome::Failed
            });
            guard.backend.release(connection);
            return AttemptResult::Failed(Box::new(FailedAttempt {
                end: AttemptEnd::ServerError,
                code: ResultCode::ConnectionLostAfterSend,
                answer: Some(answer),
                reason: status.to_string(),
                interrupted: None,
                pick: self.pick.clone(),
            }));
        }
        let bytes = answer.body.len() as u64;
        tracing::debug!(
            id = id_text(self.outgoing.id.as_ref()),
            server = %self.pick.server.id,
            status = status.as_u16(),
            took_ms = wingspur_clock::since(began).as_millis() as u64,
            "attempt: answered."
        );
        if !guard.machine_stood_still() {
            self.learn_from(wingspur_clock::since(began), bytes);
        }
        guard.complete(connection);
        AttemptResult::Answered(answer)
    }

    /// Learns how long the route's answers take.
    fn learn_from(&self, took: Duration, bytes: u64) {
        let (metrics, learned) = (&self.shared.metrics, &self.route.stats);
        metrics.observe_server_latency(&self.service.name, took);
        // What the queue took is not the route's own time.
        let typical_ms = learned.typical_latency().as_secs_f64() * 1000.0;
        let queue = (self.pick.baseline_ms / typical_ms).max(1.0);
        learned.record_response(took.div_f64(queue), bytes);
        learned.record_latency_ratio(took.as_secs_f64() * 1000.0 / self.pick.healthy_ms);
    }

    /// Checks what an answer must have to be the server's own.
    fn check_own(&self, head: &ResponseHead) -> Result<(), ResponseError> {
        if !head.status.is_success() {
            return Ok(());
        }
        let stamp = self.shared.header_names.server_stamp;
        if stamp.is_some_and(|name| !head.headers.contains_key(name)) {
            let reason = "a success without the server's stamp";
            return Err(ResponseError::Unreadable(reason.to_owned()));
        }
        let encoded = head.headers.contains_key(CONTENT_ENCODING);
        if stamp.is_some() && encoded {
            // Callers ask for bodies as they are: an encoded one is not the server's.
            let reason = "an encoded body that nobody asked for";
            return Err(ResponseError::Unreadable(reason.to_owned()));
        }
        Ok(())
    }

    fn belongs_to_another(&self, head: &ResponseHead) -> bool {
        let echoed = head.headers.get(self.shared.header_names.request_id);
        echoed.is_some_and(|id| Some(id) != self.outgoing.id.as_ref())
    }

    /// Which connections the request may take: one that must not run twice is in doubt when
    /// a kept connection turns out to lead nowhere, so it takes one that is surely alive.
    fn reuse(&self) -> ReusePolicy {
        if self.route.route.class.is_retry_safe() {
            return ReusePolicy::Any;
        }
        ReusePolicy::IdleAtMost(SURELY_ALIVE)
    }

    fn failed(
        &self,
        end: AttemptEnd,
        code: ResultCode,
        reason: &dyn std::fmt::Display,
    ) -> AttemptResult {
        AttemptResult::Failed(Box::new(FailedAttempt {
            end,
            code,
            answer: None,
            reason: reason.to_string(),
            interrupted: None,
            pick: self.pick.clone(),
        }))
    }

    /// An attempt without an answer; the server may have ended under it.
    fn broken(
        &self,
        error: &ResponseError,
        backend: Arc<BackendConnections>,
    ) -> AttemptResult {
        let broken_off = error.is_connection_lost().then(|| InterruptedAttempt {
            request: self.outgoing.fingerprint,
            server: self.pick.server.clone(),
            backend,
        });
        AttemptResult::Failed(Box::new(FailedAttempt {
            end: AttemptEnd::InDoubt,
            code: ResultCode::ConnectionLostAfterSend,
            answer: None,
            reason: error.to_string(),
            interrupted: broken_off,
            pick: self.pick.clone(),
        }))
    }

    /// When the answer should be there.
    fn expected(&self) -> ExpectedLatency {
        ExpectedLatency {
            baseline_ms: self.pick.baseline_ms,
            healthy_ms: self.pick.healthy_ms,
            service_time: self.route.stats.service_time(),
        }
    }

    fn remaining(&self) -> Duration {
        self.outgoing
            .deadline
            .saturating_duration_since(wingspur_clock::now())
    }

    /// The request's head in bytes.
    fn head_bytes(&self, account: Option<&ClientAccount>, body: &SendBody) -> Vec<u8> {
        let outgoing = &self.outgoing;
        let names = &self.shared.header_names;
        let mut head = Vec::with_capacity(512);
        push(
            &mut head,
            &[outgoing.method.as_str(), " ", &outgoing.target],
        );
        head.extend_from_slice(b" HTTP/1.1\r\n");
        for (name, value) in &outgoing.headers {
            push(&mut head, &[name.as_str(), ": "]);
            head.extend_from_slice(value.as_bytes());
            head.extend_from_slice(b"\r\n");
        }
        let left_ms = self.remaining().as_millis().to_string();
        push(&mut head, &[names.deadline_ms, ": ", &left_ms, "\r\n"]);
        if let Some(name) = names.expected_incarnation {
            push(&mut head, &[name, ": ", &self.pick.server.id, "\r\n"]);
        }
        if let Some(account) = account {
            push(&mut head, &[names.account, ": ", &account.name, "\r\n"]);
        }
        match hyper::body::Body::size_hint(body).exact() {
            Some(0) if outgoing.headers.contains_key(CONTENT_LENGTH) => {}
            Some(0) if !takes_body(&outgoing.method) => {}
            Some(length) => {
                let length = length.to_string();
                push(&mut head, &[CONTENT_LENGTH.as_str(), ": ", &length, "\r\n"]);
            }
            None => push(&mut head, &["transfer-encoding: chunked\r\n"]),
        }
        head.extend_from_slice(b"\r\n");
        head
    }
}

/// What came back on the connection.
enum Conversed {
    Whole(BufferedResponse, ServerHints),
    Longer {
        head: ResponseHead,
        first: Vec<Bytes>,
    },
}

impl AttemptGuard {
    fn begin(plan: &UpstreamAttempt, backend: Arc<BackendConnections>) -> Self {
        let server: &Arc<ServerRecord> = &plan.pick.server;
        let mut balancer = plan.service.balancer.lock();
        let id = balancer.begin(server.key(), plan.expected(), wingspur_clock::now());
        drop(balancer);
        plan.shared.pending_updates.notify();
        Self {
            shared: plan.shared.clone(),
            service: plan.service.clone(),
            backend,
            server: server.clone(),
            request: plan.outgoing.fingerprint,
            id: Some(id),
            suspended: wingspur_clock::suspended(),
        }
    }

    /// Whether the server may still be sent the request, now that there is a connection.
    fn may_send(&self, now: Instant) -> bool {
        let balancer = self.service.balancer.lock();
        balancer.may_send(self.server.key(), now)
    }

    /// Counts the attempt's silence against its server as soon as it tells more; never
    /// ends.
    async fn watch_silence<T>(&self, expected: ExpectedLatency) -> T {
        let began = wingspur_clock::now();
        for quarters in 1.. {
            let Some(ratio) = expected.service_time.ratio_at_quarters(quarters) else {
                break;
            };
            let age = Duration::from_secs_f64(ratio * expected.healthy_ms / 1000.0);
            wingspur_clock::sleep_until(began + age + SILENCE_MARGIN).await;
            let Some(id) = self.id else { break };
            if self.machine_stood_still() {
                break;
            }
            let mut balancer = self.service.balancer.lock();
            let told = balancer.update_silence_evidence(id, wingspur_clock::now());
            drop(balancer);
            if told {
                self.shared.pending_updates.notify();
            }
        }
        futures_lite::future::pending().await
    }

    /// Whether the machine was suspended while the attempt was out: how long that took, and
    /// that it broke off, then tells nothing of the server.
    fn machine_stood_still(&self) -> bool {
        wingspur_clock::was_suspended_since(self.suspended)
    }

    /// Notes that the beginning of the answer is here.
    fn note_answering(&self) {
        if let Some(id) = self.id {
            self.service.balancer.lock().record_response_started(id);
        }
    }

    /// Ends the attempt by a good answer, and keeps its connection.
    pub fn complete(mut self, connection: BackendConnection) {
        self.end(HealthOutcome::Good);
        record_completed(&self.shared, self.request);
        self.backend.release(connection);
    }

    /// Ends the attempt by an answer that broke off.
    pub fn fail(mut self, error: &ResponseError) {
        tracing::info!(%error, "attempt: an answer under way broke off.");
        self.end(HealthOutcome::Failed);
        if !error.is_connection_lost() {
            return;
        }
        let broken = InterruptedAttempt {
            request: self.request,
            server: self.server.clone(),
            backend: self.backend.clone(),
        };
        let shared = self.shared.clone();
        let spawner = shared.spawner.clone();
        spawner.detach(async move { check_for_server_crash(&shared, &broken).await });
    }

    fn end(&mut self, ended: HealthOutcome) {
        let ended = match ended {
            HealthOutcome::Failed if self.machine_stood_still() => {
                HealthOutcome::Abandoned
            }
            ended => ended,
        };
        if let Some(id) = self.id.take() {
            let (metrics, service) = (&self.shared.metrics, &self.service);
            metrics.count_attempt(&service.name, ended.as_str());
            service
                .balancer
                .lock()
                .end(id, ended, wingspur_clock::now());
            self.shared.pending_updates.notify();
            send_urgent_on_suspect(&self.shared, &self.service);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.end(HealthOutcome::Abandoned);
    }
}

/// Whether callers take a status to mean that the request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn takes_body(method: &Method) -> bool {
    matches!(*method, Method::POST | Method::PUT | Method::PATCH)
}

fn push(to: &mut Vec<u8>, parts: &[&str]) {
    for part in parts {
        to.extend_from_slice(part.as_bytes());
    }
}

/// Answers up to this are held whole before any of it is passed on.
const HELD_BYTES: usize = 1 << 20;
/// A connection within a region is up in milliseconds; a lost opening packet is only sent
/// again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// A connection that rested no longer leads to a server that was alive just now.
const SURELY_ALIVE: Duration = Duration::from_millis(200);
/// A server's own 504 with no more than this left came at the time that it was given.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(50);
/// Timers fire late rather than early; a moment more makes sure that the age is reached.
const SILENCE_MARGIN: Duration = Duration::from_millis(2);
/// An answer on its way at the limit is still passed on.
const LATE_ANSWER: Duration = Duration::from_millis(20);
