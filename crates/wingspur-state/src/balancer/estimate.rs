//! The estimate of a request at a server, on which its pick is based.

use std::time::{Duration, Instant};

use super::Pick;
use crate::tracked_server::Server;

/// The expected times and the failure probability of a request at a server.
#[derive(Debug, Clone, Copy)]
pub(super) struct Estimate {
    pub(super) expected_ms: f64,
    pub(super) baseline_ms: f64,
    pub(super) healthy_ms: f64,
    pub(super) wait_ms: f64,
    pub(super) failure_probability: f64,
    pub(super) in_flight: u32,
}

impl Estimate {
    /// Returns the expected response time.
    pub(super) fn expected(&self) -> Duration {
        Duration::from_secs_f64(self.expected_ms / 1000.0)
    }

    /// Returns the pick of the server that this is the estimate of.
    pub(super) fn pick(&self, server: &Server, candidates: usize, now: Instant) -> Pick {
        Pick {
            server: server.record.clone(),
            expected_ms: self.expected_ms,
            baseline_ms: self.baseline_ms,
            healthy_ms: self.healthy_ms,
            wait_ms: self.wait_ms,
            failure_probability: self.failure_probability,
            refusal_probability: server.health.at(now).refusal_probability(),
            unused_for: now.saturating_duration_since(server.last_request_at),
            in_flight: self.in_flight,
            candidates,
            choice_set_size: 0,
            probe: None,
            last_report_age: server
                .last_report_at
                .map(|at| now.saturating_duration_since(at)),
        }
    }
}
