//! Tracks the number of boxes in the fleet.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of boxes in the fleet, which decreases only after a delay.
///
/// A hub that has just taken over has few members yet. If its count applied at once, what
/// boxes share by their number, such as the connections to a server and the slack of the
/// retry budget, would be handed out several times until all members have linked to it.
#[derive(Debug, Clone, Default)]
pub struct FleetSizeTracker(Peaks);

/// Counts that may still be the maximum of some span, the largest first.
#[derive(Debug, Clone, Default)]
struct Peaks(VecDeque<(Instant, usize)>);

impl FleetSizeTracker {
    /// Records the current count, and returns the number of boxes to use.
    pub fn record(&mut self, counted: usize, now: Instant) -> usize {
        self.0.record(counted, now);
        self.max_within(DEFAULT_HOLD, now)
    }

    /// Returns the largest count within `span`, which is limited to `MAX_HOLD`.
    pub fn max_within(&self, span: Duration, now: Instant) -> usize {
        self.0.max_within(span, now)
    }
}

impl Peaks {
    fn record(&mut self, counted: usize, now: Instant) {
        while self.0.back().is_some_and(|(_, other)| *other <= counted) {
            self.0.pop_back();
        }
        self.0.push_back((now, counted));
        let is_expired =
            |(at, _): &(Instant, usize)| now.saturating_duration_since(*at) > MAX_HOLD;
        while self.0.front().is_some_and(is_expired) {
            self.0.pop_front();
        }
    }

    fn max_within(&self, span: Duration, now: Instant) -> usize {
        let is_recent = |(at, _): &&(Instant, usize)| {
            now.saturating_duration_since(*at) < span.min(MAX_HOLD)
        };
        let peak = self.0.iter().find(is_recent).or(self.0.back());
        peak.map_or(0, |(_, counted)| *counted)
    }
}

/// Time for which a larger count applies. Members of a lost hub link to the next one well
/// within this time.
const DEFAULT_HOLD: Duration = Duration::from_secs(10);
/// Time for which counts are kept: several times the usual window of a retry budget.
pub const MAX_HOLD: Duration = Duration::from_secs(60);
