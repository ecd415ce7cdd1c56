//! Evidence that a server is sick: log-likelihood ratios of what its work shows.
//!
//! Each attempt is weighed under two hypotheses. *Well*: its latency follows the
//! server's own log-normal history, moved by the service's present shift, with a thin
//! heavy tail; errors come at the service's present rate. *Sick*: a share of the work
//! stalls for ever, comes back several times later, or fails. An attempt that has not
//! come back is a censored observation: its age counts before any timeout does.

use serde::{Deserialize, Serialize};

/// What a server's work is measured against at present.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reference {
    /// The mean of the natural logarithm of the latency in milliseconds.
    pub mean_ln_ms: f64,
    /// The standard deviation of that logarithm.
    pub deviation_ln: f64,
    /// The share of errors that the service shows at present.
    pub error_rate: f64,
    /// The share of answers beyond the log-normal's tail.
    pub tail_rate: f64,
}

impl Reference {
    /// The evidence of an attempt that has been out for `age_ms`, and still is.
    pub fn survival(&self, age_ms: f64) -> f64 {
        let ln_age = ln_ms(age_ms);
        let well = self.survival_well(ln_age);
        let slow = upper_tail((ln_age - self.slow_mean()) / self.slow_deviation());
        let sick = (1.0 - SICK_SHARE) * well + STALL_SHARE + SLOW_SHARE * slow;
        (sick / well).ln()
    }

    /// The evidence of an answer that came after `latency_ms`.
    pub fn answer(&self, latency_ms: f64) -> f64 {
        let ln_latency = ln_ms(latency_ms);
        let well = self.density_well(ln_latency);
        let z = (ln_latency - self.slow_mean()) / self.slow_deviation();
        let slow = density(z) / self.slow_deviation();
        let sick = (1.0 - SICK_SHARE) * well + SLOW_SHARE * slow;
        (sick / well).ln()
    }

    /// The evidence of an error.
    pub fn error(&self) -> f64 {
        let well = self.error_rate.clamp(LEAST_ERROR_RATE, 1.0);
        ((1.0 - SICK_SHARE) + ERROR_SHARE / well).ln()
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
pub fn well_evidence() -> f64 {
    (1.0 - SICK_SHARE).ln()
}

/// What a box saw of one service since its last report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// Stands for the service and its exact list of servers.
    pub service_tag: u64,
    /// Milliseconds that the report spans.
    pub span_ms: u32,
    /// The servers that the box worked with.
    pub entries: Vec<EvidenceEntry>,
}

/// What a box saw of one server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EvidenceEntry {
    /// The server's position in its service.
    pub server: u16,
    /// Attempts that ended, or were first weighed, in the span.
    pub observations: u16,
    /// Evidence above that of so many well answers; never negative.
    pub excess: f32,
}

/// The threshold that keeps false ejections within the operators' allowance.
///
/// A cumulative sum of log-likelihood ratios passes `h` falsely at most once in
/// `exp(h)` steps; the judge takes one step each `STEPS_PER_DAY`th of a day.
pub fn threshold(false_ejections_per_server_day: f64) -> f64 {
    (STEPS_PER_DAY / false_ejections_per_server_day).ln()
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

/// The share of a sick server's work that goes wrong, in equal parts.
const SICK_SHARE: f64 = 0.15;
const STALL_SHARE: f64 = SICK_SHARE / 3.0;
const SLOW_SHARE: f64 = SICK_SHARE / 3.0;
const ERROR_SHARE: f64 = SICK_SHARE / 3.0;
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
/// Ten steps a second.
const STEPS_PER_DAY: f64 = 864_000.0;
