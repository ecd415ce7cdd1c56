//! A backend server as tracked by a box, and the attempts in flight at servers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::health::Health;
use crate::recent_ratio::RecentRatio;
use crate::{
    AnnouncedState, ServerKey, ServerRecord, ServerTally, ServiceTime, SourceId,
};

/// A backend server with everything that a box knows about it.
#[derive(Debug)]
pub struct Server {
    /// The record that the server has announced.
    pub record: Arc<ServerRecord>,
    /// Distance from this box.
    pub distance: Distance,
    /// End of the warm-up after its start, during which it is slow.
    pub warmup_until: Instant,
    /// This box's own tally.
    pub local_tally: ServerTally,
    /// Whether `local_tally` has changed since it was last sent to other boxes.
    pub changed: bool,
    /// Latest tallies of other boxes, by the source that sent them.
    pub remote: BTreeMap<SourceId, ServerTally>,
    /// Health estimate from the outcomes of all boxes.
    pub health: Health,
    /// Health estimate from this box's own outcomes, in which a request that could not
    /// reach the server counts as failed.
    pub path_health: Health,
    /// When any box last sent it a request, as far as is known.
    pub last_request_at: Instant,
    /// When it last gave a good response.
    pub last_success_at: Option<Instant>,
    /// When it last failed a request.
    pub last_failure_at: Option<Instant>,
    /// When it last refused a request.
    pub last_refusal_at: Option<Instant>,
    /// The fraction of requests that it has refused lately. `Health` tells whether it
    /// refuses most of them, and follows each outcome; where all servers refuse some,
    /// this tells which of them refuse least.
    pub refusals: RecentRatio,
    /// When it last failed a request after which it was almost certainly unhealthy.
    pub last_certain_failure_at: Option<Instant>,
    /// When a report on it last arrived from another box.
    pub last_report_at: Option<Instant>,
    /// State that the server has announced: draining, backoff, replaced, rate limit.
    pub announced_state: AnnouncedState,
    /// Whether it was suspected at the last check for changes.
    pub is_suspected: bool,
}

/// How far a server is from a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distance {
    /// In the same data centre.
    SameDataCentre,
    /// In another data centre of the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// An attempt in flight at a server.
#[derive(Debug)]
pub struct Attempt {
    /// The server that the attempt was sent to.
    pub server: ServerKey,
    /// When the attempt was sent.
    pub since: Instant,
    /// How long the response is expected to take.
    pub expected: ExpectedLatency,
    /// Failure evidence that was already counted for the missing response, in quarters of
    /// a failure.
    pub silence_quarters: u32,
    /// Whether the response has begun.
    pub response_started: bool,
    /// Whether this box lost its path to the server during the attempt.
    pub is_path_lost: bool,
}

/// How long the response to an attempt is expected to take.
#[derive(Debug, Clone, Copy)]
pub struct ExpectedLatency {
    /// Expected time at a server of usual speed, in milliseconds.
    pub baseline_ms: f64,
    /// Expected time at this server while it is healthy, in milliseconds.
    pub healthy_ms: f64,
    /// Distribution of the times of good responses around the expected one.
    pub service_time: ServiceTime,
}

/// How an attempt ended, as evidence of the server's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthOutcome {
    /// A good response.
    Good,
    /// An error, or an interrupted, corrupt or missing response.
    Failed,
    /// The server refused the request before running it.
    Refused,
    /// This box could not open a connection to the server.
    Unreached,
    /// This box had lost its path to the server, which says nothing about the server.
    PathLost,
    /// The attempt was given up or timed out. It counts as failed only if nearly all good
    /// responses take less time.
    Abandoned,
}

impl HealthOutcome {
    /// Returns the outcome as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::Failed => "failed",
            Self::Refused => "refused",
            Self::Unreached => "unreached",
            Self::PathLost => "path_lost",
            Self::Abandoned => "abandoned",
        }
    }
}

impl Server {
    /// Adds outcomes of all boxes. Returns true if they make the server so much more
    /// probably unhealthy that other boxes should know at once.
    ///
    /// `usual` is the share of requests that fail at a healthy server.
    pub fn record_outcomes(
        &mut self,
        outcomes: &ServerTally,
        usual: f64,
        now: Instant,
    ) -> bool {
        let before = self.health.at(now).unhealthy_probability();
        self.health.add(outcomes, usual, now);
        self.refusals
            .add(outcomes.refused, outcome_count(outcomes), now);
        if outcomes.good > 0 {
            self.last_success_at = Some(now);
        }
        if outcomes.refused > 0 {
            self.last_refusal_at = Some(now);
        }
        if outcomes.failed > 0 {
            self.last_failure_at = Some(now);
            if self.health.unhealthy_probability() >= ALMOST_CERTAIN {
                self.last_certain_failure_at = Some(now);
            }
        }
        self.health.unhealthy_probability() - before >= URGENT_INCREASE
    }

    /// Returns the time since the last good response, or `None` if there was none.
    pub fn unanswered_for(&self, now: Instant) -> Option<Duration> {
        let answered = self.last_success_at?;
        Some(now.saturating_duration_since(answered))
    }

    /// Returns the number of requests of all boxes that are in flight at the server.
    pub fn in_flight(&self) -> u32 {
        let remote: u32 = self.remote.values().map(|tally| tally.in_flight).sum();
        self.local_tally.in_flight + remote
    }

    /// Returns the failure evidence from those of them that have had no response yet, in
    /// quarters of a failure.
    pub fn silence_quarters(&self) -> u32 {
        let remote = self.remote.values().map(|tally| tally.silence_quarters);
        self.local_tally.silence_quarters + remote.sum::<u32>()
    }

    /// Removes the failure evidence of an attempt that has ended or whose response has
    /// begun, in quarters of a failure.
    pub fn remove_silence_evidence(&mut self, quarters: u32) {
        let counted = &mut self.local_tally.silence_quarters;
        *counted = counted.saturating_sub(quarters);
        self.changed |= quarters > 0;
    }

    /// Returns the failure probability of a request: the higher of the estimates from all
    /// boxes and from this box alone.
    pub fn failure_probability(&self, usual: f64, now: Instant) -> f64 {
        let fleet = self
            .health
            .at(now)
            .failure_probability(usual, self.silence_quarters());
        let path = self
            .path_health
            .at(now)
            .failure_probability(usual, self.local_tally.silence_quarters);
        fleet.max(path)
    }
}

impl Attempt {
    /// Returns the failure evidence from the missing response at `now`, in quarters of a
    /// failure; 0 once the response has begun.
    pub fn silence_at(&self, now: Instant) -> u32 {
        if self.response_started {
            return 0;
        }
        let age_ms = now.saturating_duration_since(self.since).as_secs_f64() * 1000.0;
        let ratio = age_ms / self.expected.healthy_ms.max(MIN_EXPECTED_MS);
        let service_time = &self.expected.service_time;
        let limit =
            UNKNOWN_ROUTE_SILENCE_QUARTERS.saturating_add(service_time.response_count());
        service_time.silence_quarters(ratio).min(limit)
    }

    /// Returns the tally that the end of the attempt adds for the server.
    pub fn outcome(&self, outcome: HealthOutcome, now: Instant) -> ServerTally {
        let is_failure =
            matches!(outcome, HealthOutcome::Failed | HealthOutcome::Abandoned);
        if is_failure && self.is_path_lost {
            return ServerTally::default();
        }
        let mut tally = ServerTally::default();
        match outcome {
            HealthOutcome::Good => {
                tally.good = 1;
                let elapsed_s = now.saturating_duration_since(self.since).as_secs_f64();
                let ratio =
                    elapsed_s * 1000.0 / self.expected.baseline_ms.max(MIN_EXPECTED_MS);
                tally.slowness_percent = (ratio * 100.0).min(MAX_SLOWNESS_PERCENT) as u32;
            }
            HealthOutcome::Failed => tally.failed = 1,
            HealthOutcome::Refused => tally.refused = 1,
            HealthOutcome::Unreached | HealthOutcome::PathLost => {}
            HealthOutcome::Abandoned
                if self.silence_at(now) >= ABANDONED_FAILURE_QUARTERS =>
            {
                tally.failed = 1;
            }
            HealthOutcome::Abandoned => {}
        }
        tally
    }
}

/// Converts an outcome to what it says about this box's path to the server: a server that
/// could not be reached counts as failed.
pub fn path_outcome(outcome: HealthOutcome, tally: &ServerTally) -> ServerTally {
    match outcome {
        HealthOutcome::Unreached => ServerTally {
            failed: 1,
            ..ServerTally::default()
        },
        _ => *tally,
    }
}

/// Bound on the silence evidence, in quarters of a failure, on a route without a response
/// so far; each response raises it by a quarter. The requests of such a route may never
/// finish in time, so a missing response alone must not count as a failure.
const UNKNOWN_ROUTE_SILENCE_QUARTERS: u32 = 2;
/// An abandoned attempt counts as failed from this silence evidence on, in quarters of a
/// failure: fewer than 4 % of good responses take as long.
const ABANDONED_FAILURE_QUARTERS: u32 = 3;
/// Probability from which a server is almost certainly unhealthy. Two failures in a row
/// reach it and one does not; a healthy server fails two in a row once in thousands of
/// requests.
const ALMOST_CERTAIN: f64 = 0.95;
/// Increase of the probability of being unhealthy that is sent to other boxes before the
/// next tick. Further failures of a server known to be unhealthy raise it less and wait.
const URGENT_INCREASE: f64 = 0.1;
const MIN_EXPECTED_MS: f64 = 1.0;
const MAX_SLOWNESS_PERCENT: f64 = 1200.0;

/// Returns the number of requests whose outcomes are counted.
pub fn outcome_count(outcomes: &ServerTally) -> u32 {
    outcomes.good + outcomes.failed + outcomes.refused
}
