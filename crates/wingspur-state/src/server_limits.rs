//! The request limits that backend servers announce in their responses, as known to one
//! box.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ServerKey;

/// The request rates that servers last announced as their limits over all boxes.
///
/// A server's limit is the one in its newest response; without one there, it has no
/// limit. Servers that never announced a limit take no memory here.
#[derive(Debug, Default)]
pub struct ServerLimits {
    reports: HashMap<ServerKey, LimitReport>,
}

/// The newest limit information from a server.
#[derive(Debug, Clone, Copy)]
struct LimitReport {
    per_s: Option<f64>,
    /// When the response with it arrived, at any box.
    at: Instant,
}

/// A change of a server's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerLimitChange {
    /// The server.
    pub server: ServerKey,
    /// The limit before, in requests a second; `None` for no limit.
    pub before: Option<f64>,
    /// The limit now, in requests a second; `None` for no limit.
    pub per_s: Option<f64>,
    /// When the response with the new limit arrived.
    pub at: Instant,
}

impl ServerLimits {
    /// Records the limit in a response to this box, in requests a second, or its absence.
    ///
    /// Returns the change, or `None` if the limit is the same as before.
    pub fn receive_response(
        &mut self,
        server: ServerKey,
        per_s: Option<f64>,
        at: Instant,
    ) -> Option<ServerLimitChange> {
        if per_s.is_none() && !self.reports.contains_key(&server) {
            return None;
        }
        let previous = self.reports.insert(server, LimitReport { per_s, at });
        let before = previous.and_then(|previous| previous.per_s);
        (before != per_s).then_some(ServerLimitChange {
            server,
            before,
            per_s,
            at,
        })
    }

    /// Records a limit that another box reports, from a response that arrived between two
    /// times.
    ///
    /// If it may be older or newer than the known one, the lower limit counts until the
    /// server's next response to any box. Returns the change, or `None` if nothing has
    /// changed.
    pub fn receive_updates(
        &mut self,
        server: ServerKey,
        per_s: Option<f64>,
        (earliest, latest): (Instant, Instant),
    ) -> Option<ServerLimitChange> {
        let previous = self.reports.get(&server).copied();
        if let Some(previous) = previous {
            let is_older = latest <= previous.at;
            let may_be_older = earliest <= previous.at;
            if is_older || (may_be_older && !is_lower_limit(per_s, previous.per_s)) {
                return None;
            }
        }
        self.receive_response(server, per_s, latest)
    }

    /// Returns all current limits, for a box that has just linked with this one.
    pub fn current_limits(&self) -> Vec<ServerLimitChange> {
        let current = self
            .reports
            .iter()
            .filter(|(_, report)| report.per_s.is_some());
        let changes = current.map(|(server, report)| ServerLimitChange {
            server: *server,
            before: None,
            per_s: report.per_s,
            at: report.at,
        });
        changes.collect()
    }

    /// Returns a server's limit in requests a second; `None` for no limit.
    pub fn limit(&self, server: ServerKey) -> Option<f64> {
        self.reports.get(&server)?.per_s
    }

    /// Removes a server that has ended.
    pub fn forget(&mut self, server: ServerKey) {
        self.reports.remove(&server);
    }

    /// Removes servers whose limit ended so long ago that no older report of it can still
    /// arrive.
    pub fn evict_expired(&mut self, now: Instant) {
        self.reports.retain(|_, report| {
            let age = now.saturating_duration_since(report.at);
            report.per_s.is_some() || age < ENDED_LIMIT_RETENTION
        });
    }
}

/// Returns whether a limit allows less than another; `None` allows the most.
fn is_lower_limit(one: Option<f64>, other: Option<f64>) -> bool {
    one.unwrap_or(f64::INFINITY) < other.unwrap_or(f64::INFINITY)
}

/// Returns the fraction of a service's requests that ask for quota at a server with a
/// limit.
///
/// `limit_per_s` is the limit of the server and `requests_per_s` the rate of the
/// service's requests, both over all boxes; `servers` is how many servers may take the
/// requests. Over all boxes this gives a few times as many quota requests as the limit
/// allows, however many boxes there are. It is at most half as much again as the even
/// share of the requests, because a server that limits itself must not be sent more than
/// others, except that a minimum rate of quota requests is always kept.
pub fn quota_request_probability(
    limit_per_s: f64,
    requests_per_s: f64,
    servers: usize,
) -> f64 {
    let min_probability = MIN_QUOTA_REQUESTS_PER_S / requests_per_s.max(1.0);
    let by_limit = limit_per_s * QUOTA_REQUESTS_TO_LIMIT_RATIO / requests_per_s.max(1.0);
    let max_probability = MAX_RATIO_TO_EVEN_SHARE / servers.max(1) as f64;
    by_limit.min(max_probability).max(min_probability)
}

/// With as many quota requests as the limit allows, a third of the limit would stay
/// unused by random variation; with three times as many, one in fifty.
const QUOTA_REQUESTS_TO_LIMIT_RATIO: f64 = 3.0;
/// The minimum rate of quota requests: the quota of a server that allows about one
/// request a second or less is asked for a fifth of a second after it becomes available,
/// on average. The server's response then shows when it no longer limits itself.
const MIN_QUOTA_REQUESTS_PER_S: f64 = 5.0;
/// The maximum fraction of requests that ask for quota, as a multiple of the server's
/// even share of the requests.
const MAX_RATIO_TO_EVEN_SHARE: f64 = 1.5;
/// A report passes over at most two links, and a link that receives nothing for a second
/// is closed, so that no older report arrives after this time.
const ENDED_LIMIT_RETENTION: Duration = Duration::from_secs(10);
