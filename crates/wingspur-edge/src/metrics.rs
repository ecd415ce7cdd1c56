//! Counters and gauges, with one counter for each refusal and each retry reason.

use std::time::Duration;

use hyper::StatusCode;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};
use wingspur_protocol::ResultCode;
use wingspur_state::{RetryReason, StopReason, SuspectEvent};
use wingspur_transport::HttpClientTotals;

use crate::quarantine_state::SendPermission;

/// The metrics of one box.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Requests by service and class.
    pub requests: IntCounterVec,
    /// Answers passed on, by service and status class.
    pub answers: IntCounterVec,
    /// Answers that broke off midway, by service.
    pub cuts: IntCounterVec,
    /// Answers of wingspur's own, by result code.
    refusals: IntCounterVec,
    /// Requests sent again, by reason.
    retries: IntCounterVec,
    /// Peer messages refused, by reason.
    pub peer_refusals: IntCounterVec,
    /// What judges of this box did, by service and event.
    pub judge_events: IntCounterVec,
    /// Calls to the store, by kind.
    pub store_calls: IntCounterVec,
    /// Bundles refused, by reason.
    pub bundle_refusals: IntCounterVec,
    /// Outcomes of once-only operations that no owner took, by outcome.
    pub unrecorded_outcomes: IntCounterVec,
    /// Exchanges with peers and the store that this box began, by part and kind:
    /// calls, bytes of bodies sent and received.
    pub exchanges: IntGaugeVec,
    /// The bundle in force.
    pub bundle_version: IntGauge,
    /// Data centres that are evacuated.
    pub evacuated_data_centres: IntGauge,
    /// How old the newest news of the store is, in milliseconds.
    pub news_age_ms: IntGauge,
    /// Requests that were not sent again, by reason.
    stops: IntCounterVec,
    /// Answers of backend servers, by service and how they ended.
    attempts: IntCounterVec,
    /// How long callers waited, by service.
    request_seconds: HistogramVec,
    /// How long backend servers took for good answers, by service.
    server_seconds: HistogramVec,
    /// How long calls of the store took, by kind.
    store_seconds: HistogramVec,
    /// Requests whose callers left before the answer.
    pub client_disconnects: IntCounter,
    /// Log lines that were dropped because nobody read the earlier ones.
    pub dropped_log_lines: IntGauge,
    /// Second attempts begun beside a slow first one.
    pub hedges: IntCounter,
    /// Slow first ones that none was begun beside, by the reason.
    unhedged: IntCounterVec,
    /// What was seen of requests under which servers ended, by this box.
    suspect_events: IntCounterVec,
    /// Requests under which servers ended, as far as this box knows.
    pub suspects: IntGauge,
    /// Answers to whether a request in quarantine may be sent.
    permits: IntCounterVec,
    /// What servers said of their limits, as far as it was news here.
    server_limits: IntCounterVec,
    /// What else servers said of themselves.
    server_hints: IntCounterVec,
    /// Eras of the store that were not the expected one, by what was wrong.
    store_eras: IntCounterVec,
    frames: IntCounter,
    frame_bytes: IntCounter,
}

impl Metrics {
    /// Fresh metrics in a registry of their own.
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
        let plain = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("the names are constants");
            registry
                .register(Box::new(counter.clone()))
                .expect("each name is used once");
            counter
        };
        let callers_gone = plain(
            "wingspur_callers_gone_total",
            "Requests whose callers left before the answer.",
        );
        let hedges = plain("wingspur_hedges_total", "Second attempts.");
        let frames = plain("wingspur_frames_total", "Frames sent to other boxes.");
        let frame_bytes = plain("wingspur_frame_bytes_total", "Bytes of those frames.");
        let opts = Opts::new("wingspur_exchanges", "Exchanges begun, by part and kind.");
        let exchanges = IntGaugeVec::new(opts, &["part", "kind"]);
        let exchanges = exchanges.expect("the name is a constant");
        let boxed = Box::new(exchanges.clone());
        registry.register(boxed).expect("each name is used once");
        let metrics = Self {
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
            stops: counter(
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
            client_disconnects: callers_gone,
            dropped_log_lines,
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
            server_hints: counter(
                "wingspur_server_words_total",
                "What servers said of themselves in answers, and what could not be read.",
                &["word"],
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
        metrics.touch_all();
        metrics
    }

    /// Counts an answer of wingspur's own.
    pub fn count_refusal(&self, code: ResultCode) {
        self.refusals
            .with_label_values(&[code.number().to_string().as_str(), code.name()])
            .inc();
    }

    /// Counts a slow attempt that no second one was begun beside.
    pub fn count_unhedged(&self, reason: &str) {
        self.unhedged.with_label_values(&[reason]).inc();
    }

    /// Counts what this box saw of a request under which a server ended.
    pub fn count_suspect(&self, seen: SuspectEvent) {
        let event = match seen {
            SuspectEvent::ServerEnded(_) => "server_ended",
            SuspectEvent::AnsweredWhole => "answered_whole",
        };
        self.suspect_events.with_label_values(&[event]).inc();
    }

    /// Counts an answer to whether a request in quarantine may be sent.
    pub fn count_permit(&self, permission: SendPermission) {
        let outcome = match permission {
            SendPermission::Free => "free",
            SendPermission::Once => "once",
            SendPermission::Refused(_) => "refused",
        };
        self.permits.with_label_values(&[outcome]).inc();
    }

    /// Counts what a server said of its limit.
    pub fn count_limit(&self, event: &str) {
        self.server_limits.with_label_values(&[event]).inc();
    }

    /// Counts what else a server said of itself.
    pub fn count_server_hint(&self, word: &str) {
        self.server_hints.with_label_values(&[word]).inc();
    }

    /// Counts a peer's message that was refused.
    pub fn count_peer_refusal(&self, reason: &str) {
        self.peer_refusals.with_label_values(&[reason]).inc();
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, kind: &str) {
        self.store_calls.with_label_values(&[kind]).inc();
    }

    /// Counts a frame sent to another box.
    pub fn count_frame(&self, bytes: usize) {
        self.frames.inc();
        self.frame_bytes.inc_by(bytes as u64);
    }

    /// Counts a request sent again.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries.with_label_values(&[reason.as_str()]).inc();
    }

    /// Counts a request that was not sent again.
    pub fn count_retry_stop(&self, reason: StopReason) {
        self.stops.with_label_values(&[reason.as_str()]).inc();
    }

    /// Counts an answer to a caller of a service, and how long the caller waited.
    pub fn count_answer(&self, service: &str, status: StatusCode, took: Duration) {
        let class = match status.as_u16() / 100 {
            2 => "2xx",
            3 => "3xx",
            4 => "4xx",
            _ => "5xx",
        };
        self.answers.with_label_values(&[service, class]).inc();
        let seconds = self.request_seconds.with_label_values(&[service]);
        seconds.observe(took.as_secs_f64());
    }

    /// Counts the end of an attempt at a backend server.
    pub fn count_attempt(&self, service: &str, end: &str) {
        self.attempts.with_label_values(&[service, end]).inc();
    }

    /// Notes how long a backend server took for a good answer.
    pub fn observe_server_latency(&self, service: &str, took: Duration) {
        let seconds = self.server_seconds.with_label_values(&[service]);
        seconds.observe(took.as_secs_f64());
    }

    /// Counts an era of the store that was not the expected one.
    pub fn count_era(&self, kind: &str) {
        self.store_eras.with_label_values(&[kind]).inc();
    }

    /// Notes how long a call of the store took; a watch waits for news and is not timed.
    pub fn observe_store_latency(&self, kind: &str, took: Duration) {
        if kind == "watch" {
            return;
        }
        let seconds = self.store_seconds.with_label_values(&[kind]);
        seconds.observe(took.as_secs_f64());
    }

    /// The number of answers of wingspur's own with a code.
    pub fn refused(&self, code: ResultCode) -> u64 {
        let labels = [code.number().to_string(), code.name().to_owned()];
        self.refusals.with_label_values(&labels).get()
    }

    /// The number of requests sent again for a reason.
    pub fn retried(&self, reason: RetryReason) -> u64 {
        self.retries.with_label_values(&[reason.as_str()]).get()
    }

    /// Takes in the totals of exchanges of one part of the box.
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

    /// All metrics in the text form.
    pub fn render(&self) -> Vec<u8> {
        let mut out = Vec::new();
        let families = self.registry.gather();
        let encoded = TextEncoder::new().encode(&families, &mut out);
        encoded.expect("writing to memory does not fail");
        out
    }

    /// Shows every refusal and retry reason from the start, at nought.
    fn touch_all(&self) {
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
            self.stops.with_label_values(&[reason.as_str()]);
        }
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// From what the hop alone takes to the longest that a request is held, in seconds.
const LATENCY_BOUNDS_S: &[f64] = &[
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];
