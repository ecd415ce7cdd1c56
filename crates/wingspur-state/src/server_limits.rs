//! The limits that backend servers name in their answers, as one box knows them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ServerKey;

/// What servers take from all boxes together, in requests a second, as they last said.
///
/// A server's limit is what its newest answer says; one whose newest answer names none has
/// none. Servers that never named any take no room here.
#[derive(Debug, Default)]
pub struct ServerLimits {
    readings: HashMap<ServerKey, Reading>,
}

/// What a server said last.
#[derive(Debug, Clone, Copy)]
struct Reading {
    per_s: Option<f64>,
    /// When its answer came, to whichever box.
    at: Instant,
}

/// A limit that is not what it was.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerLimitChange {
    /// The server.
    pub server: ServerKey,
    /// What it took before, in requests a second; none for no limit.
    pub before: Option<f64>,
    /// What it takes now.
    pub per_s: Option<f64>,
    /// When it said so.
    pub at: Instant,
}

impl ServerLimits {
    /// Takes in what an answer to this box says; what has changed by it.
    pub fn receive_answer(
        &mut self,
        server: ServerKey,
        per_s: Option<f64>,
        at: Instant,
    ) -> Option<ServerLimitChange> {
        if per_s.is_none() && !self.readings.contains_key(&server) {
            return None;
        }
        let known = self.readings.insert(server, Reading { per_s, at });
        let before = known.and_then(|known| known.per_s);
        (before != per_s).then_some(ServerLimitChange {
            server,
            before,
            per_s,
            at,
        })
    }

    /// Takes in what another box tells: that an answer said so between two moments; what has
    /// changed by it.
    ///
    /// Where it may be older or newer than what is known, the lower limit counts: the next
    /// answer of the server, to whichever box, settles it.
    pub fn receive_updates(
        &mut self,
        server: ServerKey,
        per_s: Option<f64>,
        (earliest, latest): (Instant, Instant),
    ) -> Option<ServerLimitChange> {
        let known = self.readings.get(&server).copied();
        if let Some(known) = known {
            let is_older = latest <= known.at;
            let may_be_older = earliest <= known.at;
            if is_older || (may_be_older && !is_tighter(per_s, known.per_s)) {
                return None;
            }
        }
        self.receive_answer(server, per_s, latest)
    }

    /// All limits that are named now, for a box that has just linked with this one.
    pub fn current_limits(&self) -> Vec<ServerLimitChange> {
        let named = self
            .readings
            .iter()
            .filter(|(_, reading)| reading.per_s.is_some());
        let told = named.map(|(server, reading)| ServerLimitChange {
            server: *server,
            before: None,
            per_s: reading.per_s,
            at: reading.at,
        });
        told.collect()
    }

    /// What a server takes, in requests a second; none for no limit.
    pub fn limit(&self, server: ServerKey) -> Option<f64> {
        self.readings.get(&server)?.per_s
    }

    /// Forgets a server that is gone.
    pub fn forget(&mut self, server: ServerKey) {
        self.readings.remove(&server);
    }

    /// Forgets limits that ended so long ago that no older news of them can still come.
    pub fn evict_expired(&mut self, now: Instant) {
        self.readings.retain(|_, reading| {
            let age = now.saturating_duration_since(reading.at);
            reading.per_s.is_some() || age < ENDED_KEPT_FOR
        });
    }
}

/// Whether a limit allows less than another; no limit allows most.
fn is_tighter(one: Option<f64>, other: Option<f64>) -> bool {
    one.unwrap_or(f64::INFINITY) < other.unwrap_or(f64::INFINITY)
}

/// The share of a service's requests that ask for a place at a server with a limit.
///
/// `limit_per_s` is what it takes, `requests_per_s` what is asked of the service over all
/// boxes, `servers` how many may take it. Over all boxes that makes a few times as many
/// questions as places, however many boxes there are; and no more than half as much again as
/// its even share of the requests, since a server in need is not sent more than others.
pub fn quota_request_probability(
    limit_per_s: f64,
    requests_per_s: f64,
    servers: usize,
) -> f64 {
    let least = LEAST_ASKED_PER_S / requests_per_s.max(1.0);
    let by_limit = limit_per_s * ASKED_OF_LIMIT / requests_per_s.max(1.0);
    let even = MOST_OF_EVEN_SHARE / servers.max(1) as f64;
    by_limit.min(even).max(least)
}

/// With as many questions as the limit allows requests, a third of the limit would be left
/// unused by chance; with three times as many, one in fifty.
const ASKED_OF_LIMIT: f64 = 3.0;
/// Where a server takes a request in a second or less, its place is asked for a fifth of a
/// second after it comes, on average: the answer tells when the need is over.
const LEAST_ASKED_PER_S: f64 = 5.0;
/// Of what an even share of the requests would be.
const MOST_OF_EVEN_SHARE: f64 = 1.5;
/// A link on which nothing arrives for a second is given up; news is on two of them at most.
const ENDED_KEPT_FOR: Duration = Duration::from_secs(10);
