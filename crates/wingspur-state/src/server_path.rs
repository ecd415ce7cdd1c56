//! Decides whether a box can reach the backend servers of a service.
//!
//! A failed connection says as much about the box's own path as about the server. Only
//! new connections count: open ones may work on while new ones fail, and their silence
//! may be a slow server.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ServerKey;

/// The path from this box to the servers of one service.
#[derive(Debug, Clone, Default)]
pub struct ServerPath {
    /// Servers to which no connection could be opened since the last one that was, with
    /// the time of the latest failure.
    unreached: BTreeMap<ServerKey, Instant>,
    /// When the path was lost; `None` while the service is reachable.
    lost_at: Option<Instant>,
    /// Servers that were reached since the path was lost.
    reached: BTreeSet<ServerKey>,
    last_connected_at: Option<Instant>,
    last_checked_at: Option<Instant>,
    last_response_at: Option<Instant>,
}

/// A change of a service's reachability, with the evidence for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathChange {
    /// No server of the service can be reached.
    Lost {
        /// The number of servers to which a connection failed.
        unreached: usize,
        /// The time since a connection was last opened; `None` if none ever was.
        connected_ago: Option<Duration>,
    },
    /// The service can be reached again.
    Regained {
        /// How long it could not be reached.
        lost_for: Duration,
    },
}

impl ServerPath {
    /// Returns whether the service counts as reachable.
    pub fn is_reachable(&self) -> bool {
        self.lost_at.is_none()
    }

    /// Returns when the path was lost; `None` while the service is reachable.
    pub fn lost_at(&self) -> Option<Instant> {
        self.lost_at
    }

    /// Returns the time since a connection to any server of the service was last opened;
    /// `None` if none ever was.
    pub fn connected_ago(&self, now: Instant) -> Option<Duration> {
        let at = self.last_connected_at?;
        Some(now.saturating_duration_since(at))
    }

    /// Returns the time since the path was last checked; `None` if it never was.
    pub fn checked_ago(&self, now: Instant) -> Option<Duration> {
        let at = self.last_checked_at?;
        Some(now.saturating_duration_since(at))
    }

    /// Returns the time since a server of the service last responded; `None` if none ever
    /// did.
    pub fn response_ago(&self, now: Instant) -> Option<Duration> {
        let at = self.last_response_at?;
        Some(now.saturating_duration_since(at))
    }

    /// Records that a server of the service has responded.
    pub fn record_response(&mut self, now: Instant) {
        self.last_response_at = Some(now);
    }

    /// Records that a check of the path has ended.
    pub fn record_check(&mut self, now: Instant) {
        self.last_checked_at = Some(now);
    }

    /// Returns the servers to which a connection has failed lately, and none was opened
    /// since.
    pub fn unreached(&self, now: Instant) -> impl Iterator<Item = ServerKey> {
        let recent = self.unreached.iter();
        let recent = recent.filter(move |(_, at)| !is_expired(**at, now));
        recent.map(|(server, _)| *server)
    }

    /// Records that a new connection to a server was opened; `servers` is the number of
    /// servers of the service.
    pub fn record_connected(
        &mut self,
        server: ServerKey,
        servers: usize,
        now: Instant,
    ) -> Option<PathChange> {
        self.last_connected_at = Some(now);
        let Some(lost_at) = self.lost_at else {
            self.unreached.clear();
            return None;
        };
        self.unreached.remove(&server);
        self.reached.insert(server);
        (self.reached.len() >= SERVERS_TO_REGAIN.min(servers))
            .then(|| self.regain(lost_at, now))
    }

    /// Records that no connection to a server could be opened; `servers` is the number of
    /// servers of the service.
    pub fn record_unreached(
        &mut self,
        server: ServerKey,
        servers: usize,
        now: Instant,
    ) -> Option<PathChange> {
        self.unreached.retain(|_, at| !is_expired(*at, now));
        self.unreached.insert(server, now);
        self.reached.clear();
        let is_evident = self.unreached.len() >= SERVERS_TO_LOSE.min(servers.max(1));
        if self.lost_at.is_some() || !is_evident {
            return None;
        }
        self.lost_at = Some(now);
        Some(PathChange::Lost {
            unreached: self.unreached.len(),
            connected_ago: self.connected_ago(now),
        })
    }

    /// Records that the service has no servers, so that there is nothing to reach.
    pub fn record_no_servers(&mut self, now: Instant) -> Option<PathChange> {
        let lost_at = self.lost_at?;
        Some(self.regain(lost_at, now))
    }

    fn regain(&mut self, lost_at: Instant, now: Instant) -> PathChange {
        self.lost_at = None;
        self.unreached.clear();
        self.reached.clear();
        PathChange::Regained {
            lost_for: now.saturating_duration_since(lost_at),
        }
    }
}

fn is_expired(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) >= UNREACHED_TTL
}

/// The number of servers in a row that must be unreachable for the path to count as lost.
/// Two may crash within the same second.
const SERVERS_TO_LOSE: usize = 3;
/// The number of servers in a row that must be reached for the path to count as regained.
const SERVERS_TO_REGAIN: usize = 2;
/// How long a failed connection counts.
const UNREACHED_TTL: Duration = Duration::from_secs(2);
