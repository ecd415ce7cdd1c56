//! How likely a server is sick, from the outcomes of its work.
//!
//! A server is taken to be either well or sick, and to change between the two now and then.
//! Well, it fails as rarely as its service does at best; sick, it fails most of its work.
//! Each outcome shifts the odds by how much likelier it is under one than the other, and
//! without outcomes the odds drift back to what is usual. So two failures in a row tell
//! enough, whatever the hundred good answers before them, and some good ones clear it.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ServerTally;

/// What a box makes of a server, for one that has just come and knows nothing.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct HealthSnapshot {
    /// How likely the server fails most of its work.
    pub failing: f64,
    /// How likely it refuses most of its work.
    pub refusing: f64,
    /// How many recent answers the next figure rests on.
    pub answers: f64,
    /// The sum of how many times the usual time each of them took.
    pub lateness: f64,
}

/// What recent outcomes say of a server.
#[derive(Debug, Clone, Copy)]
pub struct Health {
    /// How likely it fails most of its work.
    failing: f64,
    /// How likely it refuses most of its work.
    refusing: f64,
    /// How late good answers are, with weights that halve every `HALF_LIFE`.
    answers: f64,
    lateness: f64,
    at: Instant,
}

impl Health {
    /// A server that nothing is known of.
    pub fn new(now: Instant) -> Self {
        Self {
            failing: USUAL_SICK,
            refusing: USUAL_SICK,
            answers: 0.0,
            lateness: 0.0,
            at: now,
        }
    }

    /// Takes in outcomes; `usual` is the share of requests that fail at a well server.
    pub fn add(&mut self, counts: &ServerTally, usual: f64, now: Instant) {
        *self = self.at(now);
        let (good, failed) = (f64::from(counts.good), f64::from(counts.failed));
        let refused = f64::from(counts.refused);
        self.failing = shift(self.failing, failed, good, usual);
        self.refusing = shift(self.refusing, refused, good + failed, LEAST_USUAL);
        self.answers += good;
        self.lateness += f64::from(counts.slowness_percent) / 100.0;
    }

    /// What another box should know of the server; none where that is nothing special.
    pub fn snapshot(&self, now: Instant) -> Option<HealthSnapshot> {
        let health = self.at(now);
        let note = HealthSnapshot {
            failing: health.failing,
            refusing: health.refusing,
            answers: health.answers,
            lateness: health.lateness,
        };
        let late = health.slowness() >= NOTED_SLOWNESS;
        let sick = health.failing.max(health.refusing) >= NOTED_SICKNESS;
        (late || sick).then_some(note)
    }

    /// Takes over from a note what is worse than what is known here.
    pub fn merge_snapshot(&mut self, note: &HealthSnapshot, now: Instant) {
        *self = self.at(now);
        self.failing = self.failing.max(note.failing.clamp(0.0, MOST_NOTED));
        self.refusing = self.refusing.max(note.refusing.clamp(0.0, MOST_NOTED));
        if note.answers > self.answers {
            self.answers = note.answers;
            self.lateness = note.lateness;
        }
    }

    /// The same at a later time, without outcomes in between.
    pub fn at(&self, now: Instant) -> Self {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        if age == 0.0 {
            return *self;
        }
        let stays = (-age / MEAN_SICKNESS.as_secs_f64()).exp();
        let kept = (-age / HALF_LIFE.as_secs_f64()).exp2();
        let drift = |odds: f64| USUAL_SICK + (odds - USUAL_SICK) * stays;
        Self {
            failing: drift(self.failing),
            refusing: drift(self.refusing),
            answers: self.answers * kept,
            lateness: self.lateness * kept,
            at: now,
        }
    }

    /// The share of requests that should fail now; the silence of those that are out speaks
    /// against the server as so many quarters of a failure.
    pub fn failure_share(&self, usual: f64, silence_quarters: u32) -> f64 {
        let silent = f64::from(silence_quarters) / 4.0;
        let failing = shift(self.failing, silent, 0.0, usual);
        failing * SICK_SHARE + (1.0 - failing) * usual
    }

    /// The share of requests that the server should refuse now.
    pub fn refusal_share(&self) -> f64 {
        self.refusing * SICK_SHARE
    }

    /// How likely the server is sick.
    pub fn sickness(&self) -> f64 {
        self.failing
    }

    /// How many times the usual time answers take, drawn towards one.
    pub fn slowness(&self) -> f64 {
        let slowness = (PRIOR_ANSWERS + self.lateness) / (PRIOR_ANSWERS + self.answers);
        slowness.clamp(LEAST_SLOWNESS, MOST_SLOWNESS)
    }
}

/// The share of requests that fail at the well servers of a service.
#[derive(Debug, Clone, Copy)]
pub struct UsualFailures {
    failed: f64,
    all: f64,
}

impl UsualFailures {
    /// Before any outcome.
    pub fn new() -> Self {
        Self {
            failed: LEAST_USUAL * USUAL_PRIOR,
            all: USUAL_PRIOR,
        }
    }

    /// Takes in outcomes of a server by how likely it is well.
    pub fn add(&mut self, counts: &ServerTally, wellness: f64) {
        let failed = f64::from(counts.failed) * wellness;
        let all = failed + f64::from(counts.good) * wellness;
        self.failed += failed;
        self.all += all;
        if self.all > USUAL_MEMORY {
            let kept = USUAL_MEMORY / self.all;
            self.failed *= kept;
            self.all *= kept;
        }
    }

    /// The share.
    pub fn share(&self) -> f64 {
        (self.failed / self.all).clamp(LEAST_USUAL, MOST_USUAL)
    }
}

/// The share of requests that fail at servers of which nothing was known.
///
/// Where servers outnumber the requests of some seconds, most are unknown most of the time: a
/// server that lately answered is then a better pick than its bare record tells.
#[derive(Debug, Clone, Copy, Default)]
pub struct UnknownFailures {
    failed: f64,
    all: f64,
}

impl UnknownFailures {
    /// Takes in outcomes of a server that had no good answer for so long; none for never.
    pub fn add(&mut self, counts: &ServerTally, unanswered_for: Option<Duration>) {
        if unanswered_for.is_some_and(|age| age < MEAN_SICKNESS) {
            return;
        }
        self.failed += f64::from(counts.failed);
        self.all += f64::from(counts.failed) + f64::from(counts.good);
        if self.all > UNKNOWN_MEMORY {
            let kept = UNKNOWN_MEMORY / self.all;
            self.failed *= kept;
            self.all *= kept;
        }
    }

    /// The share that should fail at a server, by what its own outcomes tell and how long ago
    /// it answered well: what is known of it ages towards what is found at unknown ones.
    pub fn aged(&self, known: f64, unanswered_for: Option<Duration>) -> f64 {
        let unknown = self.failed / (self.all + UNKNOWN_PRIOR);
        let mean_s = MEAN_SICKNESS.as_secs_f64();
        let changed =
            unanswered_for.map_or(1.0, |age| 1.0 - (-age.as_secs_f64() / mean_s).exp());
        known + (unknown - known).max(0.0) * changed
    }
}

impl Default for UsualFailures {
    fn default() -> Self {
        Self::new()
    }
}

/// Shifts a likelihood of being sick by `bad` and `good` outcomes.
fn shift(likelihood: f64, bad: f64, good: f64, usual: f64) -> f64 {
    let by_bad = bad * (SICK_SHARE / usual).ln();
    let by_good = good * ((1.0 - SICK_SHARE) / (1.0 - usual)).ln();
    let odds = (likelihood / (1.0 - likelihood)).ln() + by_bad + by_good;
    let odds = odds.clamp(-MOST_LN_ODDS, MOST_LN_ODDS);
    1.0 / (1.0 + (-odds).exp())
}

/// A sick server fails, or refuses, about so much of its work; the users' gray failures
/// take 40 to 75 in 100.
const SICK_SHARE: f64 = 0.6;
/// A gray failure lasts five to ten seconds.
const MEAN_SICKNESS: Duration = Duration::from_secs(6);
/// How likely a server is sick when nothing is known of it.
const USUAL_SICK: f64 = 0.04;
/// Odds beyond e^5 would take too many good answers to clear.
const MOST_LN_ODDS: f64 = 5.0;
/// Worth telling a box that knows nothing.
const NOTED_SICKNESS: f64 = 0.15;
const NOTED_SLOWNESS: f64 = 1.5;
/// A note alone never makes a server surely sick.
const MOST_NOTED: f64 = 0.99;
const HALF_LIFE: Duration = Duration::from_secs(3);
/// How many answers the usual time is worth.
const PRIOR_ANSWERS: f64 = 3.0;
const LEAST_SLOWNESS: f64 = 0.5;
/// Slower than this is as good as stalled.
const MOST_SLOWNESS: f64 = 12.0;
/// One or two requests in a hundred fail at a well server.
const LEAST_USUAL: f64 = 0.015;
const MOST_USUAL: f64 = 0.04;
/// Outcomes that the least usual share is worth at the start.
const USUAL_PRIOR: f64 = 50.0;
/// Good outcomes at unknown servers that are presumed: a service whose servers are all known
/// after its first requests keeps to what they tell.
const UNKNOWN_PRIOR: f64 = 200.0;
const UNKNOWN_MEMORY: f64 = 2000.0;
/// About ten seconds of a service's outcomes.
const USUAL_MEMORY: f64 = 400.0;
