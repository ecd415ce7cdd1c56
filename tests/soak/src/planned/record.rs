//! What callers, servers and the operator noted in a play, for the checks.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::budget::Budget;

/// A box by its number.
pub type BoxIndex = usize;
/// One run of a backend server.
pub type RunId = String;
/// A service by its number.
pub type ServiceIndex = usize;

/// All that was noted.
pub struct Record {
    /// When callers began.
    pub began: Instant,
    /// The requests, as their callers saw them.
    pub calls: Vec<Call>,
    /// The same requests where they arrived at servers.
    pub arrivals: Vec<Arrival>,
    /// The lives of each box.
    pub lives: Vec<Vec<Life>>,
    /// What boxes told of the version in force.
    pub readings: Vec<Reading>,
    /// The configurations, in order.
    pub versions: Vec<Version>,
    /// When the store had taken that a run of a server leaves, or is gone.
    pub left: HashMap<RunId, Instant>,
    /// The retry budget that the boxes were told.
    pub budget: Budget,
    /// What was done, with the moment.
    pub work: Vec<(Instant, String)>,
}

/// A request and what came of it.
#[derive(Debug, Clone)]
pub struct Call {
    /// The request's id.
    pub id: String,
    /// The box that was asked.
    pub box_index: BoxIndex,
    /// The route by its number.
    pub route: usize,
    /// Requests that the connection had carried before.
    pub before: usize,
    /// How long the connection had rested.
    pub rested: Duration,
    /// When sending began.
    pub began: Instant,
    /// When the last byte had been sent; none if the connection ended before.
    pub sent: Option<Instant>,
    /// When the answer was whole, or the connection ended.
    pub ended: Instant,
    /// What came back.
    pub outcome: Outcome,
    /// Bytes of the answer that had come by then.
    pub read_bytes: usize,
}

/// What came back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer of a server.
    Answer {
        /// The status.
        status: u16,
        /// Whether it is the request's own in all parts.
        own: bool,
    },
    /// An answer that the box made itself.
    Refusal {
        /// The status.
        status: u16,
    },
    /// The connection ended without a whole answer.
    Broken,
    /// Nothing came until the caller gave up.
    Silence,
    /// Bytes came where no request waited for an answer.
    Surplus,
}

/// A request where it arrived at a server.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The request's id.
    pub id: String,
    /// The run of the server.
    pub run: RunId,
    /// The server's service.
    pub service: ServiceIndex,
    /// When it arrived.
    pub at: Instant,
    /// What the server did with it.
    pub work: Work,
    /// When the server's answer was written, or could not be.
    pub ended: Option<Instant>,
    /// Whether the body is the one that was sent.
    pub body_as_sent: bool,
}

/// What a server does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// It is for another run.
    Misdirected,
    /// It is refused before it runs.
    Shed,
    /// It runs, and succeeds.
    Succeeds,
    /// It runs, and the server says that it failed.
    Fails,
    /// It runs until its deadline.
    Late,
}

impl Work {
    /// Whether the request runs.
    pub fn runs(self) -> bool {
        !matches!(self, Self::Misdirected | Self::Shed)
    }
}

/// One life of a box.
#[derive(Debug, Clone, Copy)]
pub struct Life {
    /// When it was started.
    pub started: Instant,
    /// When it was told to stop.
    pub told: Option<Instant>,
    /// When its process was last found running.
    pub seen: Instant,
    /// When its process was found ended.
    pub ended: Option<Instant>,
    /// Whether the process said that all went well.
    pub well: bool,
}

/// What a box told of itself.
#[derive(Debug, Clone, Copy)]
pub struct Reading {
    /// The box.
    pub box_index: BoxIndex,
    /// When it was asked.
    pub asked: Instant,
    /// When it had answered.
    pub told: Instant,
    /// The version in force.
    pub version: u64,
}

/// A configuration that the operator wrote.
#[derive(Debug, Clone)]
pub struct Version {
    /// Its number.
    pub number: u64,
    /// When it was written.
    pub written: Instant,
    /// When the store had taken it.
    pub taken: Instant,
    /// The services that each route leads to.
    pub services: Vec<Vec<ServiceIndex>>,
}

impl Record {
    /// The arrivals of each request, in the order of time.
    pub fn arrivals_by_id(&self) -> HashMap<&str, Vec<&Arrival>> {
        let mut by_id: HashMap<&str, Vec<&Arrival>> = HashMap::new();
        for arrival in &self.arrivals {
            by_id.entry(&arrival.id).or_default().push(arrival);
        }
        for arrivals in by_id.values_mut() {
            arrivals.sort_by_key(|arrival| arrival.at);
        }
        by_id
    }

    /// The life of a box at a moment.
    pub fn life_at(&self, box_index: BoxIndex, at: Instant) -> Option<(usize, &Life)> {
        let lives = self.lives[box_index].iter().enumerate();
        lives.rev().find(|(_, life)| life.started <= at)
    }

    /// Whether a box has run undisturbed for so long that bounds hold for it.
    pub fn in_touch(&self, box_index: BoxIndex, at: Instant) -> bool {
        self.life_at(box_index, at).is_some_and(|(_, life)| {
            life.started + CONTACT <= at && life.told.is_none_or(|told| told > at)
        })
    }

    /// When a box was told to stop, if that was before a moment in its life.
    pub fn told_before(&self, box_index: BoxIndex, at: Instant) -> Option<Instant> {
        let (_, life) = self.life_at(box_index, at)?;
        life.told.filter(|told| *told <= at)
    }

    /// The place of the newest configuration that the store had taken at a moment.
    pub fn newest_taken(&self, at: Instant) -> usize {
        self.versions
            .partition_point(|version| version.taken <= at)
            .saturating_sub(1)
    }

    /// Seconds since callers began; below zero before.
    pub fn seconds(&self, at: Instant) -> f64 {
        let after = at.saturating_duration_since(self.began).as_secs_f64();
        after - self.began.saturating_duration_since(at).as_secs_f64()
    }
}

/// Bounds hold for a box that was neither started nor told to stop for this long: the
/// platform's figure.
const CONTACT: Duration = Duration::from_secs(3);
