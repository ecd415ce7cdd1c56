//! Counters and gauges, with one counter for each refusal and each retry reason.

use prometheus::{
    Encoder, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};
use wingspur_protocol::ResultCode;
use wingspur_state::RetryReason;
use wingspur_transport::ExchangeTotals;

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
    /// Second attempts begun beside a slow first one.
    pub hedges: IntCounter,
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
        let version = IntGauge::new("wingspur_bundle_version", "Bundle in force.");
        let bundle_version = version.expect("the name is a constant");
        let boxed = Box::new(bundle_version.clone());
        registry.register(boxed).expect("each name is used once");
        let plain = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("the names are constants");
            registry
                .register(Box::new(counter.clone()))
                .expect("each name is used once");
            counter
        };
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
            exchanges,
            bundle_version,
            hedges,
            frames,
            frame_bytes,
            registry,
        };
        metrics.touch_all();
        metrics
    }

    /// Counts an answer of wingspur's own.
    pub fn refuse(&self, code: ResultCode) {
        self.refusals
            .with_label_values(&[code.number().to_string().as_str(), code.name()])
            .inc();
    }

    /// Counts a peer's message that was refused.
    pub fn refuse_peer(&self, reason: &str) {
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
    pub fn retry(&self, reason: RetryReason) {
        self.retries.with_label_values(&[reason.as_str()]).inc();
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
    pub fn set_exchanges(&self, part: &str, totals: ExchangeTotals) {
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
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
