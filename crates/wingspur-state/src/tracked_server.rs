//! One backend server as a box tracks it, and the requests that are out there.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::health::Health;
use crate::{
    AnnouncedState, ServerKey, ServerRecord, ServerTally, ServiceTime, SourceId,
};

/// A backend server with all that a box knows of it.
#[derive(Debug)]
pub struct Server {
    /// As it announces itself.
    pub record: Arc<ServerRecord>,
    /// How far it is from this box.
    pub distance: Distance,
    /// Until when it is slow from its start.
    pub cold_until: Instant,
    /// This box's own tally.
    pub own: ServerTally,
    /// Whether it has changed since it was last reported.
    pub changed: bool,
    /// What other boxes have out there, by who told it.
    pub remote: BTreeMap<SourceId, ServerTally>,
    /// What all boxes' outcomes say.
    pub health: Health,
    /// What this box's own say, with requests that did not reach the server.
    pub path: Health,
    /// When a box last sent it a request, as far as is known.
    pub sent: Instant,
    /// When it last answered one well.
    pub answered: Option<Instant>,
    /// When it last failed one.
    pub failed: Option<Instant>,
    /// When it last refused one.
    pub refused: Option<Instant>,
    /// When it last failed one that left hardly a doubt that it is sick.
    pub surely_sick: Option<Instant>,
    /// When another box last told of it.
    pub heard: Option<Instant>,
    /// What it has said of itself, and what binds by that.
    pub standing: AnnouncedState,
    /// Whether it was a suspect when this was last reviewed.
    pub suspect: bool,
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

/// A request that is out at a server.
#[derive(Debug)]
pub struct Attempt {
    /// The server.
    pub server: ServerKey,
    /// Since when.
    pub since: Instant,
    /// When its answer should be there.
    pub expected: ExpectedLatency,
    /// How many quarters of a failure its silence was counted as.
    pub silence_quarters: u32,
    /// Whether the beginning of its answer is here.
    pub answering: bool,
}

/// When the answer of an attempt should be there.
#[derive(Debug, Clone, Copy)]
pub struct ExpectedLatency {
    /// At a server that takes the usual time, in milliseconds.
    pub baseline_ms: f64,
    /// At this server while it is well, in milliseconds.
    pub healthy_ms: f64,
    /// How good answers spread around that.
    pub service_time: ServiceTime,
}

/// How an attempt ended, as far as it tells of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthOutcome {
    /// A good answer.
    Good,
    /// An error, or a broken, spoiled or missing answer.
    Failed,
    /// The server refused it before running it.
    Refused,
    /// This box could not reach the server.
    Unreached,
    /// It was given up, or its time was over: a failure only if good answers come sooner.
    Abandoned,
}

impl HealthOutcome {
    /// The end as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::Failed => "failed",
            Self::Refused => "refused",
            Self::Unreached => "unreached",
            Self::Abandoned => "abandoned",
        }
    }
}

impl Server {
    /// Takes in outcomes; whether they have made a suspect of it.
    pub fn observe(&mut self, outcomes: &ServerTally, usual: f64, now: Instant) -> bool {
        let before = self.health.at(now).sickness();
        self.health.add(outcomes, usual, now);
        if outcomes.good > 0 {
            self.answered = Some(now);
        }
        if outcomes.refused > 0 {
            self.refused = Some(now);
        }
        if outcomes.failed > 0 {
            self.failed = Some(now);
            if self.health.sickness() >= SURE {
                self.surely_sick = Some(now);
            }
        }
        self.health.sickness() - before >= ALARMING
    }

    /// For how long it has not answered well; none where it never has.
    pub fn unanswered_for(&self, now: Instant) -> Option<Duration> {
        let answered = self.answered?;
        Some(now.saturating_duration_since(answered))
    }

    /// Requests that the fleet has out there.
    pub fn in_flight(&self) -> u32 {
        let remote: u32 = self.remote.values().map(|tally| tally.in_flight).sum();
        self.own.in_flight + remote
    }

    /// What the silence of those tells, in quarters of a failure.
    pub fn silence_quarters(&self) -> u32 {
        let told = self.remote.values().map(|tally| tally.silence_quarters);
        self.own.silence_quarters + told.sum::<u32>()
    }

    /// Takes back what the silence of an attempt told that is over.
    pub fn take_back_silence(&mut self, quarters: u32) {
        let told = &mut self.own.silence_quarters;
        *told = told.saturating_sub(quarters);
        self.changed |= quarters > 0;
    }

    /// The worse of what the fleet and what this box alone makes of the server.
    pub fn failure_share(&self, usual: f64, now: Instant) -> f64 {
        let fleet = self
            .health
            .at(now)
            .failure_share(usual, self.silence_quarters());
        let path = self
            .path
            .at(now)
            .failure_share(usual, self.own.silence_quarters);
        fleet.max(path)
    }
}

impl Attempt {
    /// How many quarters of a failure its silence tells of now.
    pub fn silence_at(&self, now: Instant) -> u32 {
        if self.answering {
            return 0;
        }
        let out_ms = now.saturating_duration_since(self.since).as_secs_f64() * 1000.0;
        let ratio = out_ms / self.expected.healthy_ms.max(LEAST_USUAL_MS);
        let service_time = &self.expected.service_time;
        let known = UNKNOWN_ROUTE_QUARTERS.saturating_add(service_time.answers());
        service_time.silence_quarters(ratio).min(known)
    }

    /// What its end tells of the server.
    pub fn outcome(&self, ended: HealthOutcome, now: Instant) -> ServerTally {
        let mut seen = ServerTally::default();
        match ended {
            HealthOutcome::Good => {
                seen.good = 1;
                let took = now.saturating_duration_since(self.since).as_secs_f64();
                let ratio = took * 1000.0 / self.expected.baseline_ms.max(LEAST_USUAL_MS);
                seen.slowness_percent = (ratio * 100.0).min(MOST_PERCENT) as u32;
            }
            HealthOutcome::Failed => seen.failed = 1,
            HealthOutcome::Refused | HealthOutcome::Unreached => seen.refused = 1,
            HealthOutcome::Abandoned if self.silence_at(now) >= ABANDONED_FAILED => {
                seen.failed = 1;
            }
            HealthOutcome::Abandoned => {}
        }
        seen
    }
}

/// What an outcome says about this box's way to the server.
pub fn path_outcome(ended: HealthOutcome, seen: &ServerTally) -> ServerTally {
    match ended {
        HealthOutcome::Unreached => ServerTally {
            failed: 1,
            ..ServerTally::default()
        },
        _ => *seen,
    }
}

/// A route of which no answer has been seen may be one whose work never ends in its time:
/// its silence alone makes no failure. Each answer adds a quarter.
const UNKNOWN_ROUTE_QUARTERS: u32 = 2;
/// An attempt that was given up is a failure where its silence told of three quarters of
/// one: fewer than 4 in 100 good answers take as long.
const ABANDONED_FAILED: u32 = 3;
/// What two failures in a row come to, and one does not: a well server fails two in a row
/// once in thousands of requests.
const SURE: f64 = 0.95;
/// News that make a server's sickness so much likelier do not wait for the next tick: what
/// comes on top of a server known to be sick does.
const ALARMING: f64 = 0.1;
const LEAST_USUAL_MS: f64 = 1.0;
const MOST_PERCENT: f64 = 1200.0;
