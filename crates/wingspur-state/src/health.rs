//! Estimates from the outcomes of its requests how probably a server is unhealthy.
//!
//! The model has two states between which a server changes now and then: a healthy server
//! fails requests at the baseline rate of its service, and an unhealthy one fails most of
//! them. Each outcome multiplies the odds by its likelihood ratio under the two states.
//! Without outcomes the probability drifts back to its prior. Two failures in a row are
//! therefore enough to distrust a server, even after a hundred good responses, and a few
//! good responses restore it.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ServerTally;

/// A box's health estimate of a server, as sent to a box that has just joined.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct HealthSnapshot {
    /// Probability that the server fails most of its requests.
    pub failing: f64,
    /// Probability that the server refuses most of its requests.
    pub refusing: f64,
    /// Number of recent good responses that `lateness` sums over, weighted by age.
    pub answers: f64,
    /// Sum over these responses of the time taken, as a multiple of the usual time.
    pub lateness: f64,
}

/// Health estimate of a server from its recent outcomes.
#[derive(Debug, Clone, Copy)]
pub struct Health {
    /// Probability that the server fails most of its requests.
    failing: f64,
    /// Probability that the server refuses most of its requests.
    refusing: f64,
    /// Number of good responses, with weights that halve every `HALF_LIFE`.
    answers: f64,
    /// Sum of their times as multiples of the usual time, with the same weights.
    lateness: f64,
    /// The time that the other fields are valid for.
    at: Instant,
}

impl Health {
    /// Creates the estimate of a server without outcomes.
    pub fn new(now: Instant) -> Self {
        Self {
            failing: PRIOR_UNHEALTHY,
            refusing: PRIOR_UNHEALTHY,
            answers: 0.0,
            lateness: 0.0,
            at: now,
        }
    }

    /// Adds outcomes; `usual` is the share of requests that fail at a healthy server.
    pub fn add(&mut self, counts: &ServerTally, usual: f64, now: Instant) {
        *self = self.at(now);
        let (good, failed) = (f64::from(counts.good), f64::from(counts.failed));
        let refused = f64::from(counts.refused);
        self.failing = shift(self.failing, failed, good, usual);
        self.refusing = shift(self.refusing, refused, good + failed, MIN_USUAL);
        self.answers += good;
        self.lateness += f64::from(counts.slowness_percent) / 100.0;
    }

    /// Returns the estimate for other boxes, or `None` if the server is neither slow nor
    /// probably unhealthy.
    pub fn snapshot(&self, now: Instant) -> Option<HealthSnapshot> {
        let health = self.at(now);
        let snapshot = HealthSnapshot {
            failing: health.failing,
            refusing: health.refusing,
            answers: health.answers,
            lateness: health.lateness,
        };
        let slow = health.slowness() >= SNAPSHOT_MIN_SLOWNESS;
        let unhealthy = health.failing.max(health.refusing) >= SNAPSHOT_MIN_UNHEALTHY;
        (slow || unhealthy).then_some(snapshot)
    }

    /// Takes over from another box's snapshot what is worse than the local estimate, and
    /// its latency figures if they rest on more responses.
    pub fn merge_snapshot(&mut self, snapshot: &HealthSnapshot, now: Instant) {
        *self = self.at(now);
        self.failing = self
            .failing
            .max(snapshot.failing.clamp(0.0, MAX_SNAPSHOT_PROBABILITY));
        self.refusing = self
            .refusing
            .max(snapshot.refusing.clamp(0.0, MAX_SNAPSHOT_PROBABILITY));
        if snapshot.answers > self.answers {
            self.answers = snapshot.answers;
            self.lateness = snapshot.lateness;
        }
    }

    /// Returns the estimate as of `now`, without outcomes since the last update.
    pub fn at(&self, now: Instant) -> Self {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        if age == 0.0 {
            return *self;
        }
        let kept_deviation = (-age / MEAN_UNHEALTHY_TIME.as_secs_f64()).exp();
        let kept_weight = (-age / HALF_LIFE.as_secs_f64()).exp2();
        let drift = |probability: f64| {
            PRIOR_UNHEALTHY + (probability - PRIOR_UNHEALTHY) * kept_deviation
        };
        Self {
            failing: drift(self.failing),
            refusing: drift(self.refusing),
            answers: self.answers * kept_weight,
            lateness: self.lateness * kept_weight,
            at: now,
        }
    }

    /// Returns the probability that a request fails now.
    ///
    /// `usual` is the share of requests that fail at a healthy server. `silence_quarters`
    /// is the failure evidence from unanswered requests in flight, in quarters of a
    /// failure.
    pub fn failure_probability(&self, usual: f64, silence_quarters: u32) -> f64 {
        let silent = f64::from(silence_quarters) / 4.0;
        let failing = shift(self.failing, silent, 0.0, usual);
        failing * UNHEALTHY_FAILURE_RATE + (1.0 - failing) * usual
    }

    /// Returns the probability that the server refuses a request now.
    pub fn refusal_probability(&self) -> f64 {
        self.refusing * UNHEALTHY_FAILURE_RATE
    }

    /// Returns the probability that the server is unhealthy, i.e. fails most requests.
    pub fn unhealthy_probability(&self) -> f64 {
        self.failing
    }

    /// Returns the response time as a multiple of the usual time, shrunk towards 1 while
    /// there are few responses.
    pub fn slowness(&self) -> f64 {
        let slowness =
            (PRIOR_RESPONSES + self.lateness) / (PRIOR_RESPONSES + self.answers);
        slowness.clamp(MIN_SLOWNESS, MAX_SLOWNESS)
    }
}

/// Baseline failure rate: the share of requests that fail at healthy servers of a
/// service.
#[derive(Debug, Clone, Copy)]
pub struct BaselineFailureRate {
    failed: f64,
    all: f64,
}

impl BaselineFailureRate {
    /// Creates the estimate of a service without outcomes.
    pub fn new() -> Self {
        Self {
            failed: MIN_USUAL * PRIOR_USUAL_OUTCOMES,
            all: PRIOR_USUAL_OUTCOMES,
        }
    }

    /// Adds outcomes of a server, weighted by the probability that it is healthy.
    pub fn add(&mut self, counts: &ServerTally, health: f64) {
        let failed = f64::from(counts.failed) * health;
        let all = failed + f64::from(counts.good) * health;
        self.failed += failed;
        self.all += all;
        if self.all > MAX_USUAL_OUTCOMES {
            let kept_weight = MAX_USUAL_OUTCOMES / self.all;
            self.failed *= kept_weight;
            self.all *= kept_weight;
        }
    }

    /// Returns the share of requests that fail, within fixed bounds.
    pub fn share(&self) -> f64 {
        (self.failed / self.all).clamp(MIN_USUAL, MAX_USUAL)
    }
}

/// The share of requests that fail at servers without a recent good response.
///
/// If a service has more servers than it gets requests in some seconds, the state of most
/// servers is unknown most of the time. A server that has responded recently is then a
/// better choice than its own outcomes alone show.
#[derive(Debug, Clone, Copy, Default)]
pub struct UnknownServerFailureRate {
    failed: f64,
    all: f64,
}

impl UnknownServerFailureRate {
    /// Adds outcomes of a server whose last good response was `unanswered_for` ago,
    /// `None` if it has never had one. A server that responded recently is left out.
    pub fn add(&mut self, counts: &ServerTally, unanswered_for: Option<Duration>) {
        if unanswered_for.is_some_and(|age| age < MEAN_UNHEALTHY_TIME) {
            return;
        }
        self.failed += f64::from(counts.failed);
        self.all += f64::from(counts.failed) + f64::from(counts.good);
        if self.all > MAX_UNKNOWN_OUTCOMES {
            let kept_weight = MAX_UNKNOWN_OUTCOMES / self.all;
            self.failed *= kept_weight;
            self.all *= kept_weight;
        }
    }

    /// Returns the failure probability of a server from `known`, the estimate by its own
    /// outcomes, and the time since its last good response, `None` if it has never had
    /// one.
    ///
    /// The estimate ages towards the failure rate of unknown servers if that is higher.
    pub fn aged(&self, known: f64, unanswered_for: Option<Duration>) -> f64 {
        let unknown = self.failed / (self.all + PRIOR_UNKNOWN_OUTCOMES);
        let mean_s = MEAN_UNHEALTHY_TIME.as_secs_f64();
        let changed =
            unanswered_for.map_or(1.0, |age| 1.0 - (-age.as_secs_f64() / mean_s).exp());
        known + (unknown - known).max(0.0) * changed
    }
}

impl Default for BaselineFailureRate {
    fn default() -> Self {
        Self::new()
    }
}

/// Updates the probability of being unhealthy by `bad` and `good` outcomes (Bayes' rule);
/// `usual` is the share of bad outcomes at a healthy server.
fn shift(probability: f64, bad: f64, good: f64, usual: f64) -> f64 {
    let by_bad = bad * (UNHEALTHY_FAILURE_RATE / usual).ln();
    let by_good = good * ((1.0 - UNHEALTHY_FAILURE_RATE) / (1.0 - usual)).ln();
    let odds = (probability / (1.0 - probability)).ln() + by_bad + by_good;
    let odds = odds.clamp(-MAX_LN_ODDS, MAX_LN_ODDS);
    1.0 / (1.0 + (-odds).exp())
}

/// Share of requests that an unhealthy server fails or refuses; gray failures affect 40
/// to 75 % of the requests.
const UNHEALTHY_FAILURE_RATE: f64 = 0.6;
/// Mean time for which a server stays unhealthy; gray failures last 5 to 10 s.
const MEAN_UNHEALTHY_TIME: Duration = Duration::from_secs(6);
/// Probability that a server is unhealthy while nothing is known of it.
const PRIOR_UNHEALTHY: f64 = 0.04;
/// Bound on the logarithm of the odds: beyond e^5 it would take too many good responses
/// to restore a server.
const MAX_LN_ODDS: f64 = 5.0;
/// From this probability or this slowness on, new boxes are sent a snapshot of a server.
const SNAPSHOT_MIN_UNHEALTHY: f64 = 0.15;
const SNAPSHOT_MIN_SLOWNESS: f64 = 1.5;
/// Upper bound on the probabilities taken over from a snapshot: it never makes a server
/// certainly unhealthy.
const MAX_SNAPSHOT_PROBABILITY: f64 = 0.99;
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Weight of the usual time in the slowness, in responses.
const PRIOR_RESPONSES: f64 = 3.0;
const MIN_SLOWNESS: f64 = 0.5;
/// A server that is slower than this is no better than a stalled one.
const MAX_SLOWNESS: f64 = 12.0;
/// Lower bound on the baseline failure rate; 1 to 2 % of requests fail at healthy
/// servers.
const MIN_USUAL: f64 = 0.015;
const MAX_USUAL: f64 = 0.04;
/// Number of outcomes that the lower bound counts for at the start.
const PRIOR_USUAL_OUTCOMES: f64 = 50.0;
/// Number of good outcomes at unknown servers that is assumed at the start. With it, a
/// service whose servers are all known after its first requests relies on their own
/// outcomes.
const PRIOR_UNKNOWN_OUTCOMES: f64 = 200.0;
/// Number of outcomes at unknown servers above which older ones lose weight.
const MAX_UNKNOWN_OUTCOMES: f64 = 2000.0;
/// Number of outcomes above which older ones lose weight, about 10 s of a service's
/// requests.
const MAX_USUAL_OUTCOMES: f64 = 400.0;
