//! Recent outcomes of a server's work, older ones counting for less.

use std::time::{Duration, Instant};

use crate::ServerTally;

/// Outcomes with weights that halve every `HALF_LIFE`.
#[derive(Debug, Clone, Copy)]
pub struct RecentOutcomes {
    good: f64,
    failed: f64,
    refused: f64,
    slowness: f64,
    at: Instant,
}

impl RecentOutcomes {
    /// No outcomes.
    pub fn new(now: Instant) -> Self {
        Self {
            good: 0.0,
            failed: 0.0,
            refused: 0.0,
            slowness: 0.0,
            at: now,
        }
    }

    /// Adds outcomes.
    pub fn add(&mut self, counts: &ServerTally, now: Instant) {
        *self = self.at(now);
        self.good += f64::from(counts.good);
        self.failed += f64::from(counts.failed);
        self.refused += f64::from(counts.refused);
        self.slowness += f64::from(counts.slowness_percent) / 100.0;
    }

    /// The outcomes with the weights that they have at a time.
    pub fn at(&self, now: Instant) -> Self {
        let age = now.saturating_duration_since(self.at);
        if age.is_zero() {
            return *self;
        }
        let kept = (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        Self {
            good: self.good * kept,
            failed: self.failed * kept,
            refused: self.refused * kept,
            slowness: self.slowness * kept,
            at: now,
        }
    }

    /// The share of requests that fail, drawn towards `prior` while little is known;
    /// each overdue request counts as half a failure.
    pub fn failure_share(&self, prior: f64, overdue: u32) -> f64 {
        let failed = self.failed + f64::from(overdue) * OVERDUE_WEIGHT;
        (prior * PRIOR_WEIGHT + failed) / (PRIOR_WEIGHT + self.good + failed)
    }

    /// The share of requests that the server refuses, drawn towards none.
    pub fn refusal_share(&self) -> f64 {
        self.refused / (PRIOR_WEIGHT + self.good + self.failed + self.refused)
    }

    /// How many times the usual time answers take, drawn towards one.
    pub fn slowness(&self) -> f64 {
        let answers = PRIOR_WEIGHT + self.good;
        ((PRIOR_WEIGHT + self.slowness) / answers).clamp(LEAST_SLOWNESS, MOST_SLOWNESS)
    }

    /// Outcomes that tell of failure or success.
    pub fn weight(&self) -> f64 {
        self.good + self.failed
    }

    /// Failures among them.
    pub fn failed(&self) -> f64 {
        self.failed
    }
}

/// A gray failure of the users lasts five to seven seconds; what is older than that should
/// hardly count, and at four requests a second to a server, ten outcomes still do.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// How many outcomes the prior is worth: two failures in a row must outweigh it.
const PRIOR_WEIGHT: f64 = 4.0;
/// An overdue request may still be answered.
const OVERDUE_WEIGHT: f64 = 0.5;
const LEAST_SLOWNESS: f64 = 0.5;
/// Slower than this is as good as stalled.
const MOST_SLOWNESS: f64 = 12.0;
