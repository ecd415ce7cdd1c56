//! Counters, gauges and histograms of a box, with one counter for each result code that
//! the box responds with itself and each retry reason.

use std::time::Duration;

use hyper::StatusCode;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};
use wingspur_protocol::ResultCode;
use wingspur_state::{Priority, RetryReason, StopReason, SuspectEvent, UrgencyDecision};
use wingspur_transport::{BufferBudget, HttpClientTotals, RefusalTiming, RunEvidence};

use crate::proxy::attempt_trace::RepetitionCause;
use crate::quotas::quarantine_state::SendPermission;

/// The metrics of one box.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Requests by service and class.
    pub requests: IntCounterVec,
    /// Responses sent to callers, by service and status class.
    pub answers: IntCounterVec,
    /// Responses that were interrupted before their end, by service.
    pub cuts: IntCounterVec,
    /// Error responses that the box generated itself, by result code.
    refusals: IntCounterVec,
    /// Resent requests, by reason.
    retries: IntCounterVec,
    /// Peer messages refused, by reason.
    pub peer_refusals: IntCounterVec,
    /// Servers that the outlier detection of this box suspected, put on probation or
    /// returned to service, by service and event.
    pub judge_events: IntCounterVec,
    /// Calls to the store, by kind.
    pub store_calls: IntCounterVec,
    /// Bundles refused, by reason.
    pub bundle_refusals: IntCounterVec,
    /// Outcomes of once-only operations that no owner of their log recorded, by outcome.
    pub unrecorded_outcomes: IntCounterVec,
    /// Totals of the HTTP calls that this box made, by part (`peers` or `store`) and
    /// kind: the number of calls, and the bytes of bodies sent and received.
    pub exchanges: IntGaugeVec,
    /// The version of the active bundle.
    pub bundle_version: IntGauge,
    /// The number of evacuated data centres.
    pub evacuated_data_centres: IntGauge,
    /// The staleness of what this box knows of the store, in milliseconds.
    pub news_age_ms: IntGauge,
    /// Requests that were not resent, by reason.
    retry_stops: IntCounterVec,
    /// Requests sent to backend servers, by service and how they ended.
    attempts: IntCounterVec,
    /// How long callers waited for the response, in seconds, by service.
    request_seconds: HistogramVec,
    /// The latency of successful responses of backend servers, in seconds, by service.
    server_seconds: HistogramVec,
    /// The latency of successful calls to the store, in seconds, by kind.
    store_seconds: HistogramVec,
    /// Requests whose callers disconnected before the response.
    pub client_disconnects: IntCounter,
    /// Log lines that were dropped because earlier ones had not been read from the log
    /// output.
    pub dropped_log_lines: IntGauge,
    /// Hedges: second attempts started while a slow first one was still in flight.
    pub hedges: IntCounter,
    /// Slow first attempts that were not hedged, by reason.
    unhedged: IntCounterVec,
    /// Decisions by urgency in services whose requests have several priorities, by
    /// service, priority (of the account and of the route), outcome and reason.
    urgency_decisions: IntCounterVec,
    /// Events of suspected requests that this box observed: servers that ended while such
    /// a request was in flight there, and such requests that were answered completely.
    suspect_events: IntCounterVec,
    /// The number of requests during which servers ended, as far as this box knows.
    pub suspects: IntGauge,
    /// Decisions on whether a request in quarantine may be sent, by outcome.
    permits: IntCounterVec,
    /// Limits that servers announced, as far as they changed what this box knew, and
    /// those that could not be read, by event.
    server_limits: IntCounterVec,
    /// Requests refused by the quota of their account, by reason.
    quota_refusals: IntCounterVec,
    /// Other hints that servers gave of themselves in responses, and those that could not
    /// be read, by kind.
    server_hints: IntCounterVec,
    /// Responses of servers that claim that a request did not run, by what they prove.
    refusal_evidence: IntCounterVec,
    /// Requests that come again to an address where they have failed on an open
    /// connection, by cause.
    repeated_requests: IntCounterVec,
    /// Responses of servers that named an earlier request and were skipped.
    skipped_responses: IntCounter,
    /// How long after their request such responses arrived, in seconds, by what they
    /// prove.
    refusal_delay: HistogramVec,
    /// The time that such servers had left until the deadline that they were given, in
    /// seconds, by what the responses prove.
    refusal_time_left: HistogramVec,
    /// Store responses and updates whose era was not the expected one: older, missing,
    /// unreadable, or of a restored store.
    store_eras: IntCounterVec,
    /// Servers whose entries vanished from the store: removed at once, kept for a grace
    /// period, or removed after it.
    vanished_servers: IntCounterVec,
    /// Requests that were handed to other boxes (`sent`) or taken from them (`taken`), by
    /// direction and outcome.
    relayed: IntCounterVec,
    /// Checks of the path to a service's servers, by result.
    path_checks: IntCounterVec,
    /// The number of services whose servers this box cannot reach.
    pub unreachable_services: IntGauge,
    /// How long relays took to begin their responses, in seconds, by service.
    relay_seconds: HistogramVec,
    /// Bytes that are leased for what the box buffers of requests and responses.
    buffered_bytes: IntGauge,
    /// Leases that were not granted, since the limit for buffers was reached.
    denied_buffers: IntGauge,
    /// Frames sent to other boxes.
    frames: IntCounter,
    /// Bytes of those frames.
    frame_bytes: IntCounter,
}

impl Metrics {
    /// Creates metrics in a registry of their own.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels);
            let counter = counter.expect("the names are constants");
            registry
                .register(Box::new(counter.clone()))
                .expect("each name is used once");
            counter
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("the names are constants");
            registry
                .register(Box::new(gauge.clone()))
                .expect("each name is used once");
            gauge
        };
        let histogram = |name: &str, help: &str, label: &str| {
            let opts = HistogramOpts::new(name, help).buckets(LATENCY_BOUNDS_S.to_vec());
            let histogram = HistogramVec::new(opts, &[label]);
            let histogram = histogram.expect("the names are constants");
            registry
                .register(Box::new(histogram.clone()))
                .expect("each name is used once");
            histogram
        };
        let bundle_version = gauge("wingspur_bundle_version", "Bundle in force.");
        let evacuated_data_centres = gauge(
            "wingspur_evacuated_data_centres",
            "Data centres whose servers get nothing.",
        );
        let news_age_ms = gauge(
            "wingspur_news_age_milliseconds",
            "Age of the newest news of the store.",
        );
        let suspects = gauge(
            "wingspur_suspect_requests",
            "Requests under which servers ended.",
        );
        let dropped_log_lines =
            gauge("wingspur_dropped_log_lines", "Log lines that nobody read.");
        let unlabelled_counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("the names are constants");
            registry
                .register(Box::new(counter.clone()))
                .expect("each name is used once");
            counter
        };
        let disconnects = unlabelled_counter(
            "wingspur_callers_gone_total",
            "Requests whose callers left before the answer.",
        );
        let skipped_responses = unlabelled_counter(
            "wingspur_skipped_responses_total",
            "Responses of servers that named an earlier request.",
        );
        let hedges = unlabelled_counter("wingspur_hedges_total", "Second attempts.");
        let frames =
            unlabelled_counter("wingspur_frames_total", "Frames sent to other boxes.");
        let frame_bytes =
            unlabelled_counter("wingspur_frame_bytes_total", "Bytes of those frames.");
        let opts = Opts::new("wingspur_exchanges", "Exchanges begun, by part and kind.");
        let exchanges = IntGaugeVec::new(opts, &["part", "kind"]);
        let exchanges = exchanges.expect("the name is a constant");
        let collector = Box::new(exchanges.clone());
        registry
            .register(collector)
            .expect("each name is used once");
        let unreachable_services = gauge(
            "wingspur_unreachable_services",
            "Services whose servers this box cannot reach.",
        );
        let metrics = Self {
            buffered_bytes: gauge(
                "wingspur_buffered_bytes",
                "Bytes of requests and responses that are buffered beyond small ones.",
            ),
            denied_buffers: gauge(
                "wingspur_denied_buffers",
                "Buffers that could not grow since the limit was reached.",
            ),
            relayed: counter(
                "wingspur_relayed_requests_total",
                "Requests handed to and taken from other boxes, by outcome.",
                &["direction", "outcome"],
            ),
            path_checks: counter(
                "wingspur_path_checks_total",
                "Checks of the path to the servers of a service, by result.",
                &["result"],
            ),
            unreachable_services,
            relay_seconds: histogram(
                "wingspur_relay_seconds",
                "How long relays took to begin their responses, by service.",
                "service",
            ),
            requests: counter(
                "wingspur_requests_total",
                "Requests by service and class.",
                &["service", "class"],
            ),
            answers: counter(
                "wingspur_answers_total",
                "Answers passed on, by service and status class.",
                &["service", "status"],
            ),
            cuts: counter(
                "wingspur_cut_answers_total",
                "Answers that broke off midway, by service.",
                &["service"],
            ),
            refusals: counter(
                "wingspur_refusals_total",
                "Answers of wingspur's own, by result code.",
                &["code", "result"],
            ),
            retries: counter(
                "wingspur_retries_total",
                "Requests sent again, by reason.",
                &["reason"],
            ),
            retry_stops: counter(
                "wingspur_not_retried_total",
                "Requests that were not sent again, by reason.",
                &["reason"],
            ),
            attempts: counter(
                "wingspur_attempts_total",
                "Requests sent to backend servers, by service and end.",
                &["service", "end"],
            ),
            request_seconds: histogram(
                "wingspur_request_seconds",
                "How long callers waited, by service.",
                "service",
            ),
            server_seconds: histogram(
                "wingspur_server_seconds",
                "How long backend servers took for good answers, by service.",
                "service",
            ),
            store_seconds: histogram(
                "wingspur_store_seconds",
                "How long calls of the store took, by kind.",
                "kind",
            ),
            client_disconnects: disconnects,
            skipped_responses,
            dropped_log_lines,
            urgency_decisions: counter(
                "wingspur_urgency_decisions_total",
                "Requests admitted and refused by urgency, by service and priority.",
                &["service", "priority", "outcome", "reason"],
            ),
            unhedged: counter(
                "wingspur_unhedged_total",
                "Slow attempts that no second one was begun beside, by reason.",
                &["reason"],
            ),
            peer_refusals: counter(
                "wingspur_peer_refusals_total",
                "Peer messages refused, by reason.",
                &["reason"],
            ),
            judge_events: counter(
                "wingspur_judge_events_total",
                "What judges of this box did.",
                &["service", "event"],
            ),
            store_calls: counter(
                "wingspur_store_calls_total",
                "Calls to the store, by kind.",
                &["kind"],
            ),
            bundle_refusals: counter(
                "wingspur_bundle_refusals_total",
                "Bundles refused, by reason.",
                &["reason"],
            ),
            unrecorded_outcomes: counter(
                "wingspur_unrecorded_outcomes_total",
                "Outcomes of once-only operations that no owner took.",
                &["outcome"],
            ),
            suspect_events: counter(
                "wingspur_suspect_events_total",
                "Servers that ended under requests, and such requests answered whole.",
                &["event"],
            ),
            permits: counter(
                "wingspur_quarantine_permits_total",
                "Whether requests in quarantine were let through, by outcome.",
                &["outcome"],
            ),
            store_eras: counter(
                "wingspur_store_eras_total",
                "Restores of the store, and answers without a present era.",
                &["kind"],
            ),
            vanished_servers: counter(
                "wingspur_vanished_servers_total",
                "Servers whose entries vanished from the store, by outcome.",
                &["outcome"],
            ),
            server_hints: counter(
                "wingspur_server_words_total",
                "What servers said of themselves in answers, and what could not be read.",
                &["word"],
            ),
            refusal_evidence: counter(
                "wingspur_refusal_evidence_total",
                "Responses of servers that claim a request did not run, by their evidence.",
                &["evidence"],
            ),
            repeated_requests: counter(
                "wingspur_repeated_requests_total",
                "Requests that came again where an open connection failed them, by cause.",
                &["cause"],
            ),
            refusal_delay: histogram(
                "wingspur_refusal_delay_seconds",
                "Time from a request until its refusal arrived, by evidence.",
                "evidence",
            ),
            refusal_time_left: histogram(
                "wingspur_refusal_time_left_seconds",
                "Time left until the server's deadline when it refused, by evidence.",
                "evidence",
            ),
            quota_refusals: counter(
                "wingspur_quota_refusals_total",
                "Requests refused by the quota of their account.",
                &["reason"],
            ),
            server_limits: counter(
                "wingspur_server_limits_total",
                "Limits of servers that were named, changed, ended or not readable.",
                &["event"],
            ),
            suspects,
            exchanges,
            bundle_version,
            evacuated_data_centres,
            news_age_ms,
            hedges,
            frames,
            frame_bytes,
            registry,
        };
        metrics.init_counters();
        metrics
    }

    /// Counts an error response that the box generated itself.
    pub fn count_refusal(&self, code: ResultCode) {
        self.refusals
            .with_label_values(&[code.number().to_string().as_str(), code.name()])
            .inc();
    }

    /// Counts a slow attempt that was not hedged.
    pub fn count_unhedged(&self, reason: &str) {
        self.unhedged.with_label_values(&[reason]).inc();
    }

    /// Counts a decision by urgency on a request with this priority.
    pub fn count_urgency_decision(
        &self,
        service: &str,
        priority: Priority,
        decision: &UrgencyDecision,
    ) {
        let [account, route] = priority.to_be_bytes();
        let outcome = match decision.admitted {
            true => "admitted",
            false => "refused",
        };
        let priority = format!("{account}.{route}");
        let labels = [service, &priority, outcome, decision.reason.as_str()];
        self.urgency_decisions.with_label_values(&labels).inc();
    }

    /// Counts what this box observed of a suspected request.
    pub fn count_suspect(&self, event: SuspectEvent) {
        let label = match event {
            SuspectEvent::ServerEnded(_) => "server_ended",
            SuspectEvent::AnsweredWhole => "answered_whole",
        };
        self.suspect_events.with_label_values(&[label]).inc();
    }

    /// Counts a decision on whether a request in quarantine may be sent.
    pub fn count_permit(&self, permission: SendPermission) {
        let outcome = match permission {
            SendPermission::Free => "free",
            SendPermission::Once => "once",
            SendPermission::Refused(_) => "refused",
        };
        self.permits.with_label_values(&[outcome]).inc();
    }

    /// Counts a request that was refused by the quota of its account.
    pub fn count_quota_refusal(&self, reason: &str) {
        self.quota_refusals.with_label_values(&[reason]).inc();
    }

    /// Counts an event of the limit that a server announces for itself.
    pub fn count_limit(&self, event: &str) {
        self.server_limits.with_label_values(&[event]).inc();
    }

    /// Counts another hint that a server gave of itself.
    pub fn count_server_hint(&self, hint: &str) {
        self.server_hints.with_label_values(&[hint]).inc();
    }

    /// Counts a response of a server that claims that a request did not run.
    pub fn count_refusal_evidence(&self, evidence: RunEvidence, timing: &RefusalTiming) {
        let labels = [evidence.as_str()];
        self.refusal_evidence.with_label_values(&labels).inc();
        let delays = self.refusal_delay.with_label_values(&labels);
        delays.observe(timing.delay().as_secs_f64());
        let times_left = self.refusal_time_left.with_label_values(&labels);
        times_left.observe(timing.server_left().as_secs_f64());
    }

    /// Counts a request that comes again to an address where it has failed on an open
    /// connection.
    pub fn count_repeated_request(&self, cause: RepetitionCause) {
        let repeated = self.repeated_requests.with_label_values(&[cause.as_str()]);
        repeated.inc();
    }

    /// Counts a response that named an earlier request and was skipped.
    pub fn count_skipped_response(&self) {
        self.skipped_responses.inc();
    }

    /// Counts a message of a peer that was refused.
    pub fn count_peer_refusal(&self, reason: &str) {
        self.peer_refusals.with_label_values(&[reason]).inc();
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, kind: &str) {
        self.store_calls.with_label_values(&[kind]).inc();
    }

    /// Counts a frame of this size, in bytes, sent to another box.
    pub fn count_frame(&self, bytes: usize) {
        self.frames.inc();
        self.frame_bytes.inc_by(bytes as u64);
    }

    /// Counts a request handed to another box or taken from one, by direction (`sent` or
    /// `taken`) and outcome.
    pub fn count_relayed(&self, direction: &str, outcome: &str) {
        self.relayed.with_label_values(&[direction, outcome]).inc();
    }

    /// Returns the number of requests with this direction and outcome.
    pub fn relayed(&self, direction: &str, outcome: &str) -> u64 {
        self.relayed.with_label_values(&[direction, outcome]).get()
    }

    /// Counts a check of the path to a service's servers.
    pub fn count_path_check(&self, is_reached: bool) {
        let result = if is_reached { "reached" } else { "unreached" };
        self.path_checks.with_label_values(&[result]).inc();
    }

    /// Records how long a relay took to begin its response.
    pub fn observe_relay_latency(&self, service: &str, latency: Duration) {
        let seconds = self.relay_seconds.with_label_values(&[service]);
        seconds.observe(latency.as_secs_f64());
    }

    /// Counts a resent request.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries.with_label_values(&[reason.as_str()]).inc();
    }

    /// Counts a request that was not resent.
    pub fn count_retry_stop(&self, reason: StopReason) {
        self.retry_stops.with_label_values(&[reason.as_str()]).inc();
    }

    /// Counts a response to a caller of a service, and records how long the caller
    /// waited.
    pub fn count_answer(&self, service: &str, status: StatusCode, latency: Duration) {
        let class = match status.as_u16() / 100 {
            2 => "2xx",
            3 => "3xx",
            4 => "4xx",
            _ => "5xx",
        };
        self.answers.with_label_values(&[service, class]).inc();
        let seconds = self.request_seconds.with_label_values(&[service]);
        seconds.observe(latency.as_secs_f64());
    }

    /// Counts a request to a backend server that has ended.
    pub fn count_attempt(&self, service: &str, end: &str) {
        self.attempts.with_label_values(&[service, end]).inc();
    }

    /// Records the latency of a successful response of a backend server.
    pub fn observe_server_latency(&self, service: &str, latency: Duration) {
        let seconds = self.server_seconds.with_label_values(&[service]);
        seconds.observe(latency.as_secs_f64());
    }

    /// Counts a store era that was not the expected one.
    pub fn count_era(&self, kind: &str) {
        self.store_eras.with_label_values(&[kind]).inc();
    }

    /// Counts servers whose entries vanished from the store.
    pub fn count_vanished_servers(&self, outcome: &str, servers: usize) {
        let count = self.vanished_servers.with_label_values(&[outcome]);
        count.inc_by(servers as u64);
    }

    /// Records the latency of a call to the store. A watch is left out, since it waits
    /// for changes.
    pub fn observe_store_latency(&self, kind: &str, latency: Duration) {
        if kind == "watch" {
            return;
        }
        let seconds = self.store_seconds.with_label_values(&[kind]);
        seconds.observe(latency.as_secs_f64());
    }

    /// Returns the number of error responses with this result code.
    pub fn refused(&self, code: ResultCode) -> u64 {
        let labels = [code.number().to_string(), code.name().to_owned()];
        self.refusals.with_label_values(&labels).get()
    }

    /// Returns the number of requests that were resent for this reason.
    pub fn retried(&self, reason: RetryReason) -> u64 {
        self.retries.with_label_values(&[reason.as_str()]).get()
    }

    /// Sets the totals of the HTTP calls that one part of the box made.
    pub fn set_exchanges(&self, part: &str, totals: HttpClientTotals) {
        let rows = [
            ("calls", totals.calls),
            ("sent_bytes", totals.sent_bytes),
            ("received_bytes", totals.received_bytes),
        ];
        for (kind, value) in rows {
            self.exchanges
                .with_label_values(&[part, kind])
                .set(value as i64);
        }
    }

    /// Sets the metrics of what the box buffers.
    pub fn set_buffers(&self, buffers: &BufferBudget) {
        self.buffered_bytes.set(buffers.leased_bytes() as i64);
        self.denied_buffers.set(buffers.denied() as i64);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut out = Vec::new();
        let families = self.registry.gather();
        let encoded = TextEncoder::new().encode(&families, &mut out);
        encoded.expect("writing to memory does not fail");
        out
    }

    /// Creates the counters of all result codes, retry reasons and stop reasons, so that
    /// they are shown with the value 0 from the start.
    fn init_counters(&self) {
        for code in ResultCode::ALL {
            let labels = [code.number().to_string(), code.name().to_owned()];
            self.refusals.with_label_values(&labels);
        }
        let reasons = [
            RetryReason::NotSent,
            RetryReason::RefusedBeforeRunning,
            RetryReason::InDoubt,
            RetryReason::ServerError,
        ];
        for reason in reasons {
            self.retries.with_label_values(&[reason.as_str()]);
        }
        for reason in StopReason::ALL {
            self.retry_stops.with_label_values(&[reason.as_str()]);
        }
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// The bucket bounds of the latency histograms, in seconds: from the latency that the box
/// itself adds up to the longest time that a request is held.
const LATENCY_BOUNDS_S: &[f64] = &[
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];
