//! Registry of the requests in flight, which shows why a box is still waiting.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Instant;

use wingspur_protocol::{ExecutionState, ResultCode};
use wingspur_state::{
    AttemptEnd, AttemptLedger, AttemptNumber, AttemptTarget, RequestFingerprint,
};
use wingspur_transport::{ConnectionUse, ServerDeadline};

use crate::locks::{LockRank, RankedMutex, RankedMutexGuard};
use crate::proxy::attempt_trace::{AttemptTraces, RefusalTrace, RepetitionCause};

/// All requests that were accepted and have not finished.
#[derive(Debug)]
pub struct InFlightRequests {
    by_number: RankedMutex<BTreeMap<u64, InFlightRequest>>,
    next: AtomicU64,
    /// The number of those that other boxes have handed over.
    relayed: AtomicUsize,
}

/// A request's entry in the registry, which is removed when the last holder drops it.
#[derive(Debug)]
pub struct InFlightGuard {
    requests: Arc<InFlightRequests>,
    number: u64,
    attempts: RankedMutex<AttemptLedger>,
    attempt_traces: RankedMutex<AttemptTraces>,
    is_relayed: bool,
}

/// Progress of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStage {
    /// Its body is still being received, or no server has been chosen yet.
    Taken,
    /// An attempt at a server has begun, and may have ended since.
    Sent,
    /// The beginning of the response has been sent to the caller.
    Answering,
}

/// Diagnostic details of one request in flight.
#[derive(Debug, Clone)]
pub struct InFlightRequest {
    /// Id that the caller gave the request; empty if there is none.
    pub id: String,
    /// Name of its route; empty until one is found.
    pub route: String,
    /// Id of the server that it was last sent to; empty until it is sent.
    pub server: String,
    /// Fingerprint of the request; `None` until it is sent.
    pub fingerprint: Option<RequestFingerprint>,
    /// Progress of the request.
    pub stage: RequestStage,
    /// When its head was received.
    pub received_at: Instant,
}

impl InFlightRequests {
    /// Creates an empty registry.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            by_number: RankedMutex::new(LockRank::RequestsOut, BTreeMap::new()),
            next: AtomicU64::new(0),
            relayed: AtomicUsize::new(0),
        })
    }

    /// Registers a request whose head was received at `began`; `is_relayed` says that
    /// another box has handed it over.
    pub fn register(
        self: &Arc<Self>,
        id: &str,
        began: Instant,
        is_relayed: bool,
    ) -> Arc<InFlightGuard> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let details = InFlightRequest {
            id: id.to_owned(),
            route: String::new(),
            server: String::new(),
            fingerprint: None,
            stage: RequestStage::Taken,
            received_at: began,
        };
        self.by_number.lock().insert(number, details);
        self.relayed
            .fetch_add(usize::from(is_relayed), Ordering::AcqRel);
        Arc::new(InFlightGuard {
            requests: self.clone(),
            number,
            attempts: RankedMutex::new(LockRank::Attempts, AttemptLedger::default()),
            attempt_traces: RankedMutex::new(
                LockRank::AttemptTraces,
                AttemptTraces::default(),
            ),
            is_relayed,
        })
    }

    /// Returns the number of requests in flight.
    pub fn count(&self) -> usize {
        self.by_number.lock().len()
    }

    /// Returns the number of requests in flight that other boxes have handed over.
    pub fn relayed_count(&self) -> usize {
        self.relayed.load(Ordering::Acquire)
    }

    /// Returns up to `limit` requests, oldest first.
    pub fn oldest(&self, limit: usize) -> Vec<InFlightRequest> {
        self.by_number
            .lock()
            .values()
            .take(limit)
            .cloned()
            .collect()
    }

    /// Returns the fingerprints of the requests in flight that were last sent to the
    /// server with this id.
    pub fn sent_to(&self, server: &str) -> Vec<RequestFingerprint> {
        let requests = self.by_number.lock();
        let sent = requests.values().filter(|details| {
            details.server == server && details.stage != RequestStage::Taken
        });
        sent.filter_map(|details| details.fingerprint).collect()
    }

    /// Describes the oldest few requests as the value of one log field.
    pub fn oldest_text(&self, now: Instant) -> String {
        let mut text = String::new();
        for details in self.oldest(MAX_REQUESTS_IN_LOG_LINE) {
            let age_ms = now
                .saturating_duration_since(details.received_at)
                .as_millis();
            let InFlightRequest {
                id,
                route,
                server,
                stage,
                ..
            } = details;
            // Writing to a string does not fail.
            let _ = write!(text, "{id} {route} {server} {stage:?} {age_ms} ms; ");
        }
        text
    }
}

impl InFlightGuard {
    /// Records the route.
    pub fn record_route(&self, route: &str) {
        self.change(|details| details.route = route.to_owned());
    }

    /// Begins an attempt at the server, or at the relay, with this id. Nothing was sent
    /// yet. Returns its number among the attempts of the request.
    pub fn begin_attempt(
        &self,
        target: AttemptTarget,
        server: &str,
        fingerprint: RequestFingerprint,
    ) -> AttemptNumber {
        let number = self.attempts().begin(target);
        let traced = self.attempt_traces.lock().begin(server);
        debug_assert_eq!(number, traced, "each attempt has a trace");
        self.change(|details| {
            details.stage = RequestStage::Sent;
            details.fingerprint = Some(fingerprint);
            details.server = server.to_owned();
        });
        number
    }

    /// Records how an attempt ended.
    pub fn end_attempt(&self, attempt: AttemptNumber, end: AttemptEnd) {
        self.attempts().end(attempt, end);
        self.attempt_traces.lock().record_end(attempt, end);
    }

    /// Records that the response is being forwarded while it is received.
    pub fn record_responding(&self) {
        self.change(|details| details.stage = RequestStage::Answering);
    }

    /// Locks the request's attempts.
    pub fn attempts(&self) -> RankedMutexGuard<'_, AttemptLedger> {
        self.attempts.lock()
    }

    /// Records for the log that an attempt sends the request, with this deadline.
    pub fn record_sent(&self, attempt: AttemptNumber, deadline: ServerDeadline) {
        self.attempt_traces.lock().record_sent(attempt, deadline);
    }

    /// Records for the log which connection an attempt uses. Returns why the request comes
    /// again to its address; `None` if no connection to it has failed the request before.
    pub fn record_connection(
        &self,
        attempt: AttemptNumber,
        connection: ConnectionUse,
    ) -> Option<RepetitionCause> {
        let mut traces = self.attempt_traces.lock();
        traces.record_connection(attempt, connection, self.is_relayed)
    }

    /// Records for the log that an attempt has received a refusal.
    pub fn record_refusal(&self, attempt: AttemptNumber, refusal: RefusalTrace) {
        self.attempt_traces.lock().record_refusal(attempt, refusal);
    }

    /// Describes all attempts as the value of one log field, for a request that arrived at
    /// this moment.
    pub fn attempts_text(&self, arrived: Instant) -> String {
        self.attempt_traces.lock().text(arrived)
    }

    /// Records that an attempt writes the request from now on. Returns false if it must
    /// not, because the request was already refused as not run.
    #[must_use]
    pub fn start_sending(&self, attempt: AttemptNumber) -> bool {
        self.attempts().start_sending(attempt)
    }

    /// Returns the code that the caller is given where the box would respond with `code`.
    /// A code that promises that the request did not run needs the proof of its attempts,
    /// none of which may send the request after that.
    pub fn final_code(&self, code: ResultCode) -> ResultCode {
        match code.run_state() {
            ExecutionState::NotRun if !self.attempts().refuse() => match code {
                ResultCode::DeadlineBeforeSend => ResultCode::DeadlineAfterSend,
                _ => ResultCode::ConnectionLostAfterSend,
            },
            _ => code,
        }
    }

    /// Returns the id that the caller gave the request; empty if there is none.
    pub fn id(&self) -> String {
        let requests = self.requests.by_number.lock();
        let details = requests.get(&self.number);
        details.map_or(String::new(), |details| details.id.clone())
    }

    /// Returns the id of the server that the request was last sent to; empty until it is
    /// sent.
    pub fn server(&self) -> String {
        let requests = self.requests.by_number.lock();
        let details = requests.get(&self.number);
        details.map_or(String::new(), |details| details.server.clone())
    }

    fn change(&self, change: impl FnOnce(&mut InFlightRequest)) {
        if let Some(details) = self.requests.by_number.lock().get_mut(&self.number) {
            change(details);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.requests.by_number.lock().remove(&self.number);
        let relayed = usize::from(self.is_relayed);
        self.requests.relayed.fetch_sub(relayed, Ordering::AcqRel);
    }
}

/// Maximum number of requests named in one log line. Boxes in simulated days had at most
/// two in flight when they stopped.
const MAX_REQUESTS_IN_LOG_LINE: usize = 4;
