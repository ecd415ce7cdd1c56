//! Evidence that a server is sick: log-likelihood ratios of what its work shows.
//!
//! Each attempt is weighed under several hypotheses. *Well*: its latency follows the
//! server's own log-normal history, moved by the service's present shift, with a thin
//! heavy tail; errors come at the service's present rate. *Sick*: a share of the work
//! stalls for ever, comes back several times later, or fails. Two such alternatives run
//! side by side: a server that fails some of its work, and one that fails most of it.
//! An attempt that has not come back is a censored observation: its age counts before
//! any timeout does.

use serde::{Deserialize, Serialize};

/// Evidence under each alternative: the logarithm of how much likelier it is than the
/// server being well.
pub type Evidence = [f64; ALTERNATIVES.len()];

/// A way of being sick: the shares of the work that go wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Alternative {
    /// Never comes back.
    pub stall: f64,
    /// Comes back several times later.
    pub slow: f64,
    /// Fails.
    pub error: f64,
}

impl Alternative {
    const fn good(&self) -> f64 {
        1.0 - self.stall - self.slow - self.error
    }
}

/// The ways of being sick that are told from being well.
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

/// What a server's work is measured against at present.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HealthBaseline {
    /// The mean of the natural logarithm of the latency in milliseconds.
    pub mean_ln_ms: f64,
    /// The standard deviation of that logarithm.
    pub deviation_ln: f64,
    /// The share of errors that the service shows at present.
    pub error_rate: f64,
    /// The share of answers beyond the log-normal's tail.
    pub tail_rate: f64,
}

impl HealthBaseline {
    /// The evidence of an attempt that has been out for `age_ms`, and still is.
    pub fn survival(&self, age_ms: f64) -> Evidence {
        let ln_age = ln_ms(age_ms);
        let well = self.survival_well(ln_age);
        let slow = upper_tail((ln_age - self.slow_mean()) / self.slow_deviation());
        ALTERNATIVES.map(|sick| {
            let survives = sick.good() * well + sick.stall + sick.slow * slow;
            (survives / well).ln()
        })
    }

    /// The evidence of an answer that came after `latency_ms`.
    pub fn answer(&self, latency_ms: f64) -> Evidence {
        let ln_latency = ln_ms(latency_ms);
        let well = self.density_well(ln_latency);
        let z = (ln_latency - self.slow_mean()) / self.slow_deviation();
        let slow = density(z) / self.slow_deviation();
        ALTERNATIVES.map(|sick| ((sick.good() * well + sick.slow * slow) / well).ln())
    }

    /// The evidence of an error.
    pub fn error(&self) -> Evidence {
        let well = self.error_rate.clamp(LEAST_ERROR_RATE, 1.0);
        ALTERNATIVES.map(|sick| (sick.good() + sick.error / well).ln())
    }

    fn survival_well(&self, ln_age: f64) -> f64 {
        let z = (ln_age - self.mean_ln_ms) / self.deviation_ln;
        let beyond = (z - TAIL_FROM_Z).max(0.0) * self.deviation_ln;
        let tail = (-TAIL_EXPONENT * beyond).exp();
        (1.0 - self.tail_rate) * upper_tail(z) + self.tail_rate * tail
    }

    fn density_well(&self, ln_latency: f64) -> f64 {
        let z = (ln_latency - self.mean_ln_ms) / self.deviation_ln;
        let body = density(z) / self.deviation_ln;
        let tail = if z < TAIL_FROM_Z {
            0.0
        } else {
            let beyond = (z - TAIL_FROM_Z) * self.deviation_ln;
            TAIL_EXPONENT * (-TAIL_EXPONENT * beyond).exp()
        };
        // The floor keeps answers that are faster than ever from counting as sick.
        ((1.0 - self.tail_rate) * body + self.tail_rate * tail).max(LEAST_DENSITY)
    }

    fn slow_mean(&self) -> f64 {
        self.mean_ln_ms + SLOW_FACTOR.ln()
    }

    fn slow_deviation(&self) -> f64 {
        self.deviation_ln.max(SLOW_DEVIATION)
    }
}

/// The evidence of a well answer; each observation is at least this.
pub fn healthy_evidence() -> Evidence {
    ALTERNATIVES.map(|sick| sick.good().ln())
}

/// What a box makes of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// Stands for the service and its exact list of servers.
    pub service_tag: u64,
    /// Milliseconds that the observations span.
    pub span_ms: u32,
    /// The servers that the box worked with, or holds something against.
    pub entries: Vec<EvidenceEntry>,
}

/// What a box makes of one server.
///
/// It tells where the box's sums stand, not how they changed: a repeated, lost or late
/// report neither adds up nor leaves a gap.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EvidenceEntry {
    /// The server's position in its service.
    pub server: u16,
    /// Attempts that ended, or were first weighed, in the span.
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
    /// Adds evidence; a sum never falls below nought, nor grows beyond what matters.
    pub fn add(&mut self, evidence: Evidence) {
        for (sum, evidence) in self.sums.iter_mut().zip(evidence) {
            *sum = (*sum + evidence).clamp(0.0, MOST_SUM);
        }
    }

    /// Forgives a server that shows nothing, for lack of work, over so many seconds.
    pub fn forgive(&mut self, passed_s: f64) {
        let observed = IDLE_RATE * passed_s;
        self.add(healthy_evidence().map(|evidence| evidence * observed));
    }

    /// The evidence against the server, under the alternative that fits best.
    pub fn sum(&self) -> f64 {
        self.sums.into_iter().fold(0.0, f64::max)
    }

    /// The sums as a report carries them.
    pub fn hundredths(&self) -> [u16; ALTERNATIVES.len()] {
        self.sums.map(|sum| (sum * 100.0) as u16)
    }
}

/// The threshold for the sum over `boxes` boxes of their cumulative sums.
///
/// A single cumulative sum of log-likelihood ratios `s` has `P(s > x) <= p exp(-x)`,
/// where `p` is how often it is above nought, `busy_share`. Chernoff's bound for the sum
/// of so many then gives, for any `t` below 1,
/// `P(S > h) <= exp(-t h) (1 + p t / (1 - t))^boxes`; the best `t` gives the threshold at
/// which the allowance is kept, with a sum for each alternative and `STEPS_PER_DAY` looks
/// at it a day.
pub fn ejection_threshold(
    false_ejections_per_server_day: f64,
    boxes: usize,
    busy_share: f64,
) -> f64 {
    let sums = ALTERNATIVES.len() as f64;
    let wanted = (sums * STEPS_PER_DAY / false_ejections_per_server_day).ln();
    let busy = busy_share.clamp(LEAST_BUSY_SHARE, 1.0);
    let bound = |t: f64| {
        let each = (1.0 + busy * t / (1.0 - t)).ln();
        (wanted + boxes as f64 * each) / t
    };
    (1..100)
        .map(|step| bound(f64::from(step) / 100.0))
        .fold(f64::INFINITY, f64::min)
}

fn ln_ms(milliseconds: f64) -> f64 {
    milliseconds.max(LEAST_MS).ln()
}

/// The share of a standard normal distribution above `z`.
fn upper_tail(z: f64) -> f64 {
    0.5 * libm::erfc(z / std::f64::consts::SQRT_2)
}

/// The density of the standard normal distribution at `z`.
fn density(z: f64) -> f64 {
    (-0.5 * z * z).exp() / (2.0 * std::f64::consts::PI).sqrt()
}

/// Slow work takes about so many times longer.
const SLOW_FACTOR: f64 = 5.0;
const SLOW_DEVIATION: f64 = 0.8;
/// The heavy tail begins here, in deviations, and thins by this power.
const TAIL_FROM_Z: f64 = 2.0;
const TAIL_EXPONENT: f64 = 0.5;
const LEAST_DENSITY: f64 = 1e-6;
/// One error in so many is taken for granted.
pub(crate) const LEAST_ERROR_RATE: f64 = 0.003;
const LEAST_MS: f64 = 0.05;
/// One look a second: looks that are closer see nearly the same sums.
const STEPS_PER_DAY: f64 = 86_400.0;
/// How often a box's sum against a well server is taken to be above nought, at least.
pub(crate) const LEAST_BUSY_SHARE: f64 = 0.03;
/// A server without work is forgiven as if it had given so many well answers a second.
const IDLE_RATE: f64 = 0.1;
const MOST_SUM: f64 = 100.0;
