//! Record of what callers, servers and the operator observed during a play; the checks
//! read it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::budget::Budget;

/// Number of a box.
pub type BoxIndex = usize;
/// Id of one instance of a backend server.
pub type InstanceId = String;
/// Number of a service, an index into `SERVICES`.
pub type ServiceIndex = usize;

/// Everything that was recorded during a play.
pub struct Record {
    /// When the callers began.
    pub began: Instant,
    /// Requests as their callers observed them.
    pub calls: Vec<Call>,
    /// Arrivals of the requests at servers.
    pub arrivals: Vec<Arrival>,
    /// Instances of each box, oldest first.
    pub instances: Vec<Vec<BoxInstance>>,
    /// Versions that the boxes reported as active.
    pub readings: Vec<Reading>,
    /// Configurations in the order in which they were written.
    pub versions: Vec<Version>,
    /// When the store had stored that an instance of a server is draining, or had removed
    /// its entry.
    pub withdrawn_at: HashMap<InstanceId, Instant>,
    /// Retry budget in the settings of the boxes.
    pub budget: Budget,
    /// Descriptions of the work that was done, with the time.
    pub work: Vec<(Instant, String)>,
}

/// A request and its outcome.
#[derive(Debug, Clone)]
pub struct Call {
    /// The request's id.
    pub id: String,
    /// Box to which the request was sent.
    pub box_index: BoxIndex,
    /// Number of the route, an index into `ROUTES`.
    pub route: usize,
    /// Number of earlier requests on the same connection.
    pub requests_before: usize,
    /// How long the connection had been idle.
    pub idle_for: Duration,
    /// When sending began.
    pub began: Instant,
    /// When the last byte had been sent; `None` if the connection ended before.
    pub sent: Option<Instant>,
    /// When the response was complete, the connection ended, or the caller gave up.
    pub ended: Instant,
    /// Outcome of a request as its caller saw it.
    pub outcome: Outcome,
    /// Bytes of the response that had arrived by then.
    pub read_bytes: usize,
}

/// Outcome of a request as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response of a server.
    Answer {
        /// The status.
        status: u16,
        /// Whether the id, the stamp and the body belong to the request.
        own: bool,
    },
    /// An error response of the box itself.
    Refusal {
        /// The status.
        status: u16,
    },
    /// The connection ended without a complete response.
    Broken,
    /// No complete response arrived before the caller gave up.
    Silence,
    /// Bytes arrived on the connection while no request waited for a response.
    Surplus,
}

/// Arrival of a request at a server.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The request's id.
    pub id: String,
    /// Instance of the server.
    pub instance: InstanceId,
    /// The server's service.
    pub service: ServiceIndex,
    /// When it arrived.
    pub at: Instant,
    /// How the server handled the request.
    pub work: Work,
    /// When the server had written its response, or failed to; `None` before that.
    pub ended: Option<Instant>,
    /// Whether the body that arrived is the one that the caller sent.
    pub body_as_sent: bool,
}

/// How a server handles a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// The request is meant for another instance of the server and is refused.
    Misdirected,
    /// The request is refused before it runs.
    Shed,
    /// The request runs and succeeds.
    Succeeds,
    /// The request runs and the server responds that it failed.
    Fails,
    /// The request runs until its deadline and times out.
    Late,
}

impl Work {
    /// Returns whether the request runs.
    pub fn runs(self) -> bool {
        !matches!(self, Self::Misdirected | Self::Shed)
    }
}

/// One instance of a box: the lifetime of one process.
#[derive(Debug, Clone, Copy)]
pub struct BoxInstance {
    /// When the process was started.
    pub started: Instant,
    /// When SIGTERM was sent; `None` before that.
    pub stop_sent: Option<Instant>,
    /// When the process was last found running.
    pub last_seen_running: Instant,
    /// When the process was found to have ended; `None` before that.
    pub ended: Option<Instant>,
    /// Whether the process exited with success; true while it is running.
    pub exited_cleanly: bool,
}

/// Status that a box reported.
#[derive(Debug, Clone, Copy)]
pub struct Reading {
    /// The box.
    pub box_index: BoxIndex,
    /// When the status was requested.
    pub requested_at: Instant,
    /// When the response was received.
    pub received_at: Instant,
    /// Version of the active configuration.
    pub version: u64,
}

/// A configuration that the operator wrote.
#[derive(Debug, Clone)]
pub struct Version {
    /// Version number.
    pub number: u64,
    /// When the write to the store began.
    pub written: Instant,
    /// When the store had acknowledged the write.
    pub acknowledged: Instant,
    /// Services to which each route leads, by route number.
    pub services: Vec<Vec<ServiceIndex>>,
}

impl Record {
    /// Returns the arrivals of each request, in the order of time, by request id.
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

    /// Returns the newest instance of a box that was started by `at`, with its number;
    /// `None` if there is none.
    pub fn instance_at(
        &self,
        box_index: BoxIndex,
        at: Instant,
    ) -> Option<(usize, &BoxInstance)> {
        let instances = self.instances[box_index].iter().enumerate();
        instances.rev().find(|(_, instance)| instance.started <= at)
    }

    /// Returns whether a box has been running undisturbed for long enough at `at` that
    /// the time bounds hold for it.
    pub fn is_settled(&self, box_index: BoxIndex, at: Instant) -> bool {
        self.instance_at(box_index, at)
            .is_some_and(|(_, instance)| {
                instance.started + SETTLE_TIME <= at
                    && instance.stop_sent.is_none_or(|stop_sent| stop_sent > at)
            })
    }

    /// Returns when SIGTERM was sent to the instance of a box that is current at `at`, or
    /// `None` if it was not sent by then.
    pub fn stop_sent_before(&self, box_index: BoxIndex, at: Instant) -> Option<Instant> {
        let (_, instance) = self.instance_at(box_index, at)?;
        instance.stop_sent.filter(|stop_sent| *stop_sent <= at)
    }

    /// Returns the index of the newest configuration that the store had acknowledged at
    /// `at`; 0 if there was none.
    pub fn newest_acknowledged(&self, at: Instant) -> usize {
        self.versions
            .partition_point(|version| version.acknowledged <= at)
            .saturating_sub(1)
    }

    /// Returns the seconds from when the callers began to `at`; negative for earlier
    /// moments.
    pub fn seconds(&self, at: Instant) -> f64 {
        let after = at.saturating_duration_since(self.began).as_secs_f64();
        after - self.began.saturating_duration_since(at).as_secs_f64()
    }
}

/// Time bounds hold for a box that was started at least this long ago and is not
/// stopping; the platform sets the figure.
const SETTLE_TIME: Duration = Duration::from_secs(3);
