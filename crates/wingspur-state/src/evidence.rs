//! Evidence that a server is unhealthy: log-likelihood ratios of its attempts.
//!
//! Each attempt is evaluated under several hypotheses. *Healthy*: its latency follows the
//! server's own log-normal history, moved by the service's current latency shift, with a
//! small heavy tail; errors occur at the service's current rate. *Unhealthy*: a share of
//! the attempts stalls for ever, takes several times as long, or fails. Two such
//! alternatives are tested in parallel: a server that fails some of its attempts, and one
//! that fails most of them. An attempt without a response is a censored observation: its
//! age counts as evidence before it reaches a timeout.

use serde::{Deserialize, Serialize};

/// Log-likelihood ratio of each alternative against a healthy server; positive values
/// speak against the server.
pub type Evidence = [f64; ALTERNATIVES.len()];

/// An unhealthy server as a hypothesis: the shares of its attempts that go wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Alternative {
    /// Share that never gets a response.
    pub stall: f64,
    /// Share whose response takes several times as long.
    pub slow: f64,
    /// Share that fails.
    pub error: f64,
}

impl Alternative {
    const fn healthy_share(&self) -> f64 {
        1.0 - self.stall - self.slow - self.error
    }
}

/// The hypotheses that are tested against a healthy server.
pub const ALTERNATIVES: [Alternative; 2] = [
    Alternative {
        stall: 0.05,
        slow: 0.05,
        error: 0.05,
    },
    Alternative {
        stall: 0.4,
        slow: 0.3,
        error: 0.2,
    },
];

/// Latency distribution and error rate that a server's attempts are compared with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HealthBaseline {
    /// Mean of the natural logarithm of the latency in milliseconds.
    pub mean_ln_ms: f64,
    /// Standard deviation of that logarithm.
    pub deviation_ln: f64,
    /// Current share of errors in the service.
    pub error_rate: f64,
    /// Share of responses that belong to the heavy tail beyond the log-normal
    /// distribution.
    pub tail_rate: f64,
}

impl HealthBaseline {
    /// Returns the evidence from an attempt that has had no response for `age_ms`.
    pub fn pending_evidence(&self, age_ms: f64) -> Evidence {
        let ln_age = ln_ms(age_ms);
        let healthy = self.healthy_survival(ln_age);
        let slow = upper_tail((ln_age - self.slow_mean_ln()) / self.slow_deviation_ln());
        ALTERNATIVES.map(|unhealthy| {
            let survives = unhealthy.healthy_share() * healthy
                + unhealthy.stall
                + unhealthy.slow * slow;
            (survives / healthy).ln()
        })
    }

    /// Returns the evidence from a good response that took `latency_ms`.
    pub fn response_evidence(&self, latency_ms: f64) -> Evidence {
        let ln_latency = ln_ms(latency_ms);
        let healthy = self.healthy_density(ln_latency);
        let z = (ln_latency - self.slow_mean_ln()) / self.slow_deviation_ln();
        let slow = normal_density(z) / self.slow_deviation_ln();
        ALTERNATIVES.map(|unhealthy| {
            ((unhealthy.healthy_share() * healthy + unhealthy.slow * slow) / healthy).ln()
        })
    }

    /// Returns the evidence from a failed attempt.
    pub fn error_evidence(&self) -> Evidence {
        let healthy = self.error_rate.clamp(MIN_ERROR_RATE, 1.0);
        ALTERNATIVES
            .map(|unhealthy| (unhealthy.healthy_share() + unhealthy.error / healthy).ln())
    }

    fn healthy_survival(&self, ln_age: f64) -> f64 {
        let z = (ln_age - self.mean_ln_ms) / self.deviation_ln;
        let beyond = (z - TAIL_FROM_Z).max(0.0) * self.deviation_ln;
        let tail = (-TAIL_EXPONENT * beyond).exp();
        (1.0 - self.tail_rate) * upper_tail(z) + self.tail_rate * tail
    }

    fn healthy_density(&self, ln_latency: f64) -> f64 {
        let z = (ln_latency - self.mean_ln_ms) / self.deviation_ln;
        let body = normal_density(z) / self.deviation_ln;
        let tail = if z < TAIL_FROM_Z {
            0.0
        } else {
            let beyond = (z - TAIL_FROM_Z) * self.deviation_ln;
            TAIL_EXPONENT * (-TAIL_EXPONENT * beyond).exp()
        };
        // Keeps unusually fast responses from counting against the server.
        ((1.0 - self.tail_rate) * body + self.tail_rate * tail).max(MIN_DENSITY)
    }

    fn slow_mean_ln(&self) -> f64 {
        self.mean_ln_ms + SLOW_FACTOR.ln()
    }

    fn slow_deviation_ln(&self) -> f64 {
        self.deviation_ln.max(MIN_SLOW_DEVIATION_LN)
    }
}

/// Returns the evidence from a typical good response, the lower bound of the
/// evidence from any observation.
pub fn healthy_evidence() -> Evidence {
    ALTERNATIVES.map(|unhealthy| unhealthy.healthy_share().ln())
}

/// One box's evidence on the servers of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// Identifies the service and its exact list of servers.
    pub service_tag: u64,
    /// Time that the observations cover, in milliseconds.
    pub span_ms: u32,
    /// The servers that the box has used or has evidence against.
    pub entries: Vec<EvidenceEntry>,
}

/// One box's evidence on one server.
///
/// It holds the sums themselves, not their changes, so that a repeated, lost or late
/// report neither counts twice nor leaves a gap.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EvidenceEntry {
    /// The server's position in its service.
    pub server: u16,
    /// Number of attempts that were first counted as evidence in the span of the report.
    pub observations: u16,
    /// The box's cumulative sums, by alternative, in hundredths.
    pub hundredths: [u16; ALTERNATIVES.len()],
}

/// A box's cumulative sums of evidence against a server, one for each alternative.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Score {
    sums: Evidence,
}

impl Score {
    /// Adds evidence; each sum stays between 0 and `MAX_SUM`, above which its size makes
    /// no difference.
    pub fn add(&mut self, evidence: Evidence) {
        for (sum, evidence) in self.sums.iter_mut().zip(evidence) {
            *sum = (*sum + evidence).clamp(0.0, MAX_SUM);
        }
    }

    /// Lowers the sums over `passed_s` seconds as if the server had given a few good
    /// responses, so that a server without requests recovers too.
    pub fn decay(&mut self, passed_s: f64) {
        let responses = DECAY_RESPONSES_PER_S * passed_s;
        self.add(healthy_evidence().map(|evidence| evidence * responses));
    }

    /// Returns the evidence against the server under the alternative that fits best.
    pub fn sum(&self) -> f64 {
        self.sums.into_iter().fold(0.0, f64::max)
    }

    /// Returns the sums in hundredths, as they are reported.
    pub fn hundredths(&self) -> [u16; ALTERNATIVES.len()] {
        self.sums.map(|sum| (sum * 100.0) as u16)
    }
}

/// Returns the threshold for the sum over `boxes` boxes of their cumulative sums that
/// keeps to the allowed number of false ejections per server and day.
///
/// A single cumulative sum of log-likelihood ratios `s` has `P(s > x) <= p exp(-x)`,
/// where `p`, `busy_share`, is the probability that it is above 0. For the sum over the
/// boxes and any `t` below 1, Chernoff's bound then gives
/// `P(S > h) <= exp(-t h) (1 + p t / (1 - t))^boxes`. The threshold is the least `h`, over
/// a grid of `t`, at which this bound keeps to the allowed number for one sum per
/// alternative and `STEPS_PER_DAY` evaluations a day.
pub fn ejection_threshold(
    false_ejections_per_server_day: f64,
    boxes: usize,
    busy_share: f64,
) -> f64 {
    let sums = ALTERNATIVES.len() as f64;
    let ln_evaluations_per_error =
        (sums * STEPS_PER_DAY / false_ejections_per_server_day).ln();
    let busy = busy_share.clamp(MIN_BUSY_SHARE, 1.0);
    let bound = |t: f64| {
        let each = (1.0 + busy * t / (1.0 - t)).ln();
        (ln_evaluations_per_error + boxes as f64 * each) / t
    };
    (1..100)
        .map(|step| bound(f64::from(step) / 100.0))
        .fold(f64::INFINITY, f64::min)
}

fn ln_ms(milliseconds: f64) -> f64 {
    milliseconds.max(MIN_LATENCY_MS).ln()
}

/// Returns the probability that a standard normal variable exceeds `z`.
fn upper_tail(z: f64) -> f64 {
    0.5 * libm::erfc(z / std::f64::consts::SQRT_2)
}

/// Returns the density of the standard normal distribution at `z`.
fn normal_density(z: f64) -> f64 {
    (-0.5 * z * z).exp() / (2.0 * std::f64::consts::PI).sqrt()
}

/// Factor by which the latency of a slow attempt exceeds the usual one.
const SLOW_FACTOR: f64 = 5.0;
const MIN_SLOW_DEVIATION_LN: f64 = 0.8;
/// The heavy tail begins this many standard deviations above the mean and decays with the
/// power `TAIL_EXPONENT` of the latency.
const TAIL_FROM_Z: f64 = 2.0;
const TAIL_EXPONENT: f64 = 0.5;
const MIN_DENSITY: f64 = 1e-6;
/// Lower bound on the error rate that a healthy server is assumed to have.
pub(crate) const MIN_ERROR_RATE: f64 = 0.003;
const MIN_LATENCY_MS: f64 = 0.05;
/// One evaluation a second: the sums hardly change between evaluations that are closer.
const STEPS_PER_DAY: f64 = 86_400.0;
/// Lower bound on the assumed probability that a box's sum against a healthy server is
/// above 0.
pub(crate) const MIN_BUSY_SHARE: f64 = 0.03;
/// Good responses per second that the sums are lowered by in `Score::decay`.
const DECAY_RESPONSES_PER_S: f64 = 0.1;
const MAX_SUM: f64 = 100.0;
