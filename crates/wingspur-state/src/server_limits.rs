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
pub struct LimitChange {
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
    pub fn hear_answer(
        &mut self,
        server: ServerKey,
        per_s: Option<f64>,
        at: Instant,
    ) -> Option<LimitChange> {
        if per_s.is_none() && !self.readings.contains_key(&server) {
            return None;
        }
        let known = self.readings.insert(server, Reading { per_s, at });
        let before = known.and_then(|known| known.per_s);
        (before != per_s).then_some(LimitChange {
            server,
            before,
            per_s,
            at,
        })
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
    pub fn tidy(&mut self, now: Instant) {
        self.readings.retain(|_, reading| {
            let age = now.saturating_duration_since(reading.at);
            reading.per_s.is_some() || age < ENDED_KEPT_FOR
        });
    }
}

/// A link on which nothing arrives for a second is given up; news is on two of them at most.
const ENDED_KEPT_FOR: Duration = Duration::from_secs(10);
