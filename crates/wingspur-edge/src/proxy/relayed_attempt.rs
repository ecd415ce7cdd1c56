//! One attempt through another box, which reaches the servers that this box does not.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::header::RETRY_AFTER;
use wingspur_protocol::{
    BoxRecord, RELAY_HEADER, RELAY_PROTOCOL_VERSION, RELAY_RESULT_HEADER, RelayResult,
    RelayedRequest, ResultCode, decode_relay_header, encode_relay_header,
};
use wingspur_state::{AttemptEnd, AttemptNumber};
use wingspur_transport::{
    Attribution, BackendConnection, BackendConnections, ResponseError, ResponseHead,
    ReusePolicy, RunEvidence, SendBody, ServerDeadline, UnprovenReason,
};

use crate::catalog::active_bundle::ActiveRoute;
use crate::edge_state::EdgeState;
use crate::log_values::id_text;
use crate::proxy::attempt::{
    AttemptResult, FailedAttempt, LATE_RESPONSE_GRACE, MAX_BUFFERED_BYTES,
    record_connection, release_unread,
};
use crate::proxy::attempt_trace::RefusalTrace;
use crate::proxy::request_head::{UpstreamRequest, reuse_policy, serialize_head};
use crate::proxy::response_body::{BodySource, StreamGuard};
use crate::request_error::BufferedResponse;
use crate::services::ServiceState;

/// Inputs of one attempt through another box.
pub struct RelayedAttempt {
    /// The state that all tasks of the box share.
    pub shared: Arc<EdgeState>,
    /// The route.
    pub route: Arc<ActiveRoute>,
    /// The service.
    pub service: Arc<ServiceState>,
    /// The box that forwards the request.
    pub relay: BoxRecord,
    /// The request.
    pub outgoing: Arc<UpstreamRequest>,
    /// The number of servers to which the request was sent already.
    pub attempts_made: u8,
    /// Its number among the attempts of the request.
    pub number: AttemptNumber,
}

/// An attempt at a relay in flight. Counts against the relay until it is dropped.
struct RelayGuard {
    shared: Arc<EdgeState>,
    relay: BoxRecord,
    connections: Arc<BackendConnections>,
}

impl RelayedAttempt {
    /// Hands the request to the relay and reads the response.
    pub async fn run(self, body: SendBody) -> AttemptResult {
        let connections = self.shared.relays.connections(self.relay.peer_address);
        let guard = RelayGuard::begin(&self, connections.clone());
        let timeout = CONNECT_TIMEOUT.min(self.remaining());
        let id = self.outgoing.id.as_ref();
        // What the relay says of a request without an id counts on a new connection only.
        let reuse = match id {
            Some(_) => reuse_policy(self.route.route.class, true, None),
            None => ReusePolicy::Never,
        };
        let mut connection = match connections.connect(reuse, id, timeout).await {
            Ok(connection) => connection,
            Err(error) => return self.not_taken("unreached", &error),
        };
        let admitted = &self.outgoing.admitted;
        if admitted.account_now(&self.shared, &self.route).is_err() {
            connections.release(connection);
            let reason = &"the client account key was revoked";
            return self.failure(AttemptEnd::NotSent, ResultCode::UnknownKey, reason);
        }
        let began = wingspur_clock::now();
        if self.outgoing.is_overdue(began + HOP_ALLOWANCE) {
            connections.release(connection);
            let code = ResultCode::DeadlineBeforeSend;
            return self.failure(AttemptEnd::NotSent, code, &"no time is left");
        }
        if !self.outgoing.in_flight.start_sending(self.number) {
            connections.release(connection);
            let reason = &"the request was refused already";
            return self.failure(AttemptEnd::NotSent, ResultCode::NotSent, reason);
        }
        let exchange = async { Some(self.exchange(&mut connection, body, began).await) };
        let expired = async {
            let deadline = self.outgoing.deadline;
            wingspur_clock::sleep_past(deadline, LATE_RELAY_GRACE).await;
            None
        };
        match exchange.or(expired).await {
            None => {
                self.shared.metrics.count_relayed("sent", "timed_out");
                let code = ResultCode::DeadlineAfterSend;
                self.failure(AttemptEnd::InDoubt, code, &"no answer in time")
            }
            Some(Err(error @ ResponseError::NotSent(_))) => {
                self.not_taken("unreached", &error)
            }
            Some(Err(error)) => {
                self.shared.metrics.count_relayed("sent", "lost");
                let code = ResultCode::ConnectionLostAfterSend;
                self.failure(AttemptEnd::InDoubt, code, &error)
            }
            Some(Ok(received)) => self.evaluate(received, connection, guard),
        }
    }

    /// Sends the request and reads the response, or the beginning of a long one.
    async fn exchange(
        &self,
        connection: &mut BackendConnection,
        body: SendBody,
        began: Instant,
    ) -> Result<Received, ResponseError> {
        let message = self.message();
        let own_headers = [(RELAY_HEADER, message.as_str())];
        let deadline = self.outgoing.server_deadline(began + HOP_ALLOWANCE);
        let time = Duration::from_millis(deadline.timeout_ms());
        let sent = ServerDeadline::new(began, time);
        self.outgoing.in_flight.record_sent(self.number, sent);
        let names = &self.shared.header_names;
        let request =
            serialize_head(&self.outgoing, names, deadline, &own_headers, &body);
        let method = &self.outgoing.method;
        let id = self.outgoing.id.as_ref();
        let used =
            record_connection(&self.shared, &self.outgoing, self.number, connection);
        let sent = self.outgoing.sent_on(&used);
        let mut head = connection.send_request(request, body, method, id).await?;
        let hop = wingspur_clock::since(began);
        let attribution = head.attribution(names, sent);
        if attribution == Attribution::Other {
            return Err(unreadable("a response to another request"));
        }
        let service = &self.service.name;
        self.shared.metrics.observe_relay_latency(service, hop);
        let result = relay_result(&mut head)?;
        self.record_load(result.load);
        if !result.is_taken {
            return Ok(match attribution.unproven_reason() {
                None => Received::Declined(head.status),
                Some(reason) => Received::Unproven(head.status, reason),
            });
        }
        let evidence = head.relayed_run_evidence(names, sent);
        self.trace_refusal(&head, connection, evidence);
        match evidence {
            RunEvidence::Ordinary => {}
            RunEvidence::NotRun => return Ok(Received::NotRun(head)),
            RunEvidence::Unproven(reason) => {
                return Ok(Received::Unproven(head.status, reason));
            }
        }
        match connection.read_whole(MAX_BUFFERED_BYTES).await? {
            Ok(body) => Ok(Received::Complete(BufferedResponse { head, body })),
            Err(first) => Ok(Received::Beginning { head, first }),
        }
    }

    fn trace_refusal(
        &self,
        head: &ResponseHead,
        connection: &BackendConnection,
        evidence: RunEvidence,
    ) {
        if evidence == RunEvidence::Ordinary {
            return;
        }
        let refusal = RefusalTrace {
            status: head.status,
            arrival: connection.latest_arrival(),
            read_at: wingspur_clock::now(),
            evidence,
        };
        self.outgoing.in_flight.record_refusal(self.number, refusal);
    }

    fn record_load(&self, load: f32) {
        let mut directory = self.shared.relays.directory.lock();
        directory.record_load(&self.relay.id, load);
    }

    fn message(&self) -> String {
        let settings = self.shared.settings();
        encode_relay_header(&RelayedRequest {
            protocol: RELAY_PROTOCOL_VERSION,
            fleet: settings.fleet.clone(),
            from: settings.box_id.clone(),
            bundle_version: self.shared.bundle_version(),
            service: self.service.name.clone(),
            attempts_made: self.attempts_made,
            key: self.outgoing.admitted.key,
        })
    }

    fn evaluate(
        &self,
        received: Received,
        connection: BackendConnection,
        guard: RelayGuard,
    ) -> AttemptResult {
        match received {
            Received::Declined(status) => {
                self.release_unread(connection, guard);
                self.not_taken("declined", &status)
            }
            Received::NotRun(head) => {
                self.release_unread(connection, guard);
                self.shared.metrics.count_relayed("sent", "answered");
                self.refusal(&head)
            }
            Received::Unproven(status, reason) => {
                self.shared.metrics.count_relayed("sent", "unproven");
                let code = ResultCode::ConnectionLostAfterSend;
                let text = format!("{status}, {}", reason.as_str());
                self.failure(AttemptEnd::InDoubt, code, &text)
            }
            Received::Complete(response) => {
                self.record_answered(response.head.status);
                guard.complete(connection);
                AttemptResult::Complete(response)
            }
            Received::Beginning { head, first } => {
                self.record_answered(head.status);
                let body = BodySource {
                    first,
                    connection: Box::new(connection),
                    guard: guard.into_stream_guard(),
                };
                AttemptResult::Streaming { head, body }
            }
        }
    }

    fn record_answered(&self, status: StatusCode) {
        self.shared.metrics.count_relayed("sent", "answered");
        if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
            let mut budget = self.service.budget.lock();
            budget.count_failed_request(wingspur_clock::now());
        }
    }

    /// Ends the attempt at a response whose body is not needed.
    fn release_unread(&self, connection: BackendConnection, guard: RelayGuard) {
        let connections = guard.connections.clone();
        release_unread(&self.shared, connections, connection);
    }

    /// Returns the failure of an attempt of which the relay has sent nothing to a server.
    fn not_taken(&self, outcome: &str, reason: &dyn std::fmt::Display) -> AttemptResult {
        self.shared.metrics.count_relayed("sent", outcome);
        let now = wingspur_clock::now();
        let mut directory = self.shared.relays.directory.lock();
        directory.record_declined(self.service.key(), &self.relay.id, now);
        drop(directory);
        self.failure(AttemptEnd::NotSent, ResultCode::NotSent, reason)
    }

    /// Returns the failure of an attempt that the relay has refused.
    fn refusal(&self, head: &ResponseHead) -> AttemptResult {
        let code = head.result_code().unwrap_or(ResultCode::NotSent);
        let end = AttemptEnd::RefusedBeforeRunning;
        AttemptResult::Failed(Box::new(FailedAttempt {
            retry_after: retry_after(head),
            ..self.failed(end, code, &head.status)
        }))
    }

    fn failure(
        &self,
        end: AttemptEnd,
        code: ResultCode,
        reason: &dyn std::fmt::Display,
    ) -> AttemptResult {
        AttemptResult::Failed(Box::new(self.failed(end, code, reason)))
    }

    fn failed(
        &self,
        end: AttemptEnd,
        code: ResultCode,
        reason: &dyn std::fmt::Display,
    ) -> FailedAttempt {
        tracing::info!(
            id = id_text(self.outgoing.id.as_ref()),
            relay = %self.relay.id,
            service = self.service.name,
            ?end,
            %reason,
            left_ms = self.remaining().as_millis() as u64,
            "relay: failed."
        );
        FailedAttempt {
            end,
            code,
            response: None,
            retry_after: None,
            reason: reason.to_string(),
            interrupted: None,
            pick: None,
        }
    }

    fn remaining(&self) -> Duration {
        self.outgoing
            .deadline
            .saturating_duration_since(wingspur_clock::now())
    }
}

/// What a relay has responded.
enum Received {
    /// It has not taken the request and has sent it to no server.
    Declined(StatusCode),
    /// The head of a refusal of its own, which proves that the request did not run.
    NotRun(ResponseHead),
    /// The head of a refusal that proves nothing.
    Unproven(StatusCode, UnprovenReason),
    /// A complete response.
    Complete(BufferedResponse),
    /// The beginning of a response that is too long to buffer.
    Beginning { head: ResponseHead, first: Bytes },
}

impl RelayGuard {
    fn begin(attempt: &RelayedAttempt, connections: Arc<BackendConnections>) -> Self {
        let shared = attempt.shared.clone();
        shared.relays.directory.lock().begin(&attempt.relay.id);
        Self {
            shared,
            relay: attempt.relay.clone(),
            connections,
        }
    }

    /// Returns the closure that ends the attempt when the body of its response ends.
    fn into_stream_guard(self) -> StreamGuard {
        Box::new(|end: Result<BackendConnection, &ResponseError>| match end {
            Ok(connection) => self.complete(connection),
            Err(error) => self.fail(error),
        })
    }

    /// Ends the attempt after the whole response was read.
    fn complete(self, connection: BackendConnection) {
        self.connections.release(connection);
    }

    /// Ends the attempt because the response could not be read to its end.
    fn fail(self, error: &ResponseError) {
        self.shared.metrics.count_relayed("sent", "cut");
        tracing::info!(relay = %self.relay.id, %error, "relay: a response broke off.");
    }
}

impl Drop for RelayGuard {
    fn drop(&mut self) {
        self.shared.relays.directory.lock().end(&self.relay.id);
    }
}

/// Returns after which time a relay that has refused a request wants it again.
fn retry_after(head: &ResponseHead) -> Option<Duration> {
    let seconds = head.headers.get(RETRY_AFTER)?.to_str().ok()?;
    Duration::try_from_secs_f64(seconds.parse().ok()?).ok()
}

/// Takes the relay's result out of a response.
///
/// Fails if there is none: something else than a relay may have the relay's address now,
/// and the request may have run.
fn relay_result(head: &mut ResponseHead) -> Result<RelayResult, ResponseError> {
    let value = head.headers.remove(RELAY_RESULT_HEADER);
    let value = value.ok_or(unreadable("a response without the result of the relay"))?;
    decode_relay_header(value.as_bytes()).map_err(|error| unreadable(&error.to_string()))
}

fn unreadable(reason: &str) -> ResponseError {
    ResponseError::Unreadable(reason.to_owned())
}

/// How long the connection to a relay may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Subtracted from the time that a relay is given, so that its server is never given more
/// than the caller waits.
const HOP_ALLOWANCE: Duration = Duration::from_millis(5);
/// Time after the deadline in which a relay's response is still accepted. The relay itself
/// waits for its server's response until after the deadline.
const LATE_RELAY_GRACE: Duration = LATE_RESPONSE_GRACE.saturating_mul(2);
