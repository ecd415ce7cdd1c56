//! How many boxes the fleet has.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The number of boxes, slow to fall.
///
/// A hub that has just taken over has few members yet. What boxes share by their
/// number, the connections to a server and the slack of the retry budget, would be dealt out
/// several times until all have linked with it.
#[derive(Debug, Clone, Default)]
pub struct FleetSizeTracker(Peaks);

/// Counts that may still be the largest of some span, the largest first.
#[derive(Debug, Clone, Default)]
struct Peaks(VecDeque<(Instant, usize)>);

impl FleetSizeTracker {
    /// Takes in how many are counted now; returns how many to go by.
    pub fn record(&mut self, counted: usize, now: Instant) -> usize {
        self.0.follow(counted, now);
        self.max_within(HOLD, now)
    }

    /// The most that were counted in the last while.
    pub fn max_within(&self, span: Duration, now: Instant) -> usize {
        self.0.most(span, now)
    }
}

impl Peaks {
    fn follow(&mut self, counted: usize, now: Instant) {
        while self.0.back().is_some_and(|(_, other)| *other <= counted) {
            self.0.pop_back();
        }
        self.0.push_back((now, counted));
        let past = |(at, _): &(Instant, usize)| {
            now.saturating_duration_since(*at) > LONGEST_HOLD
        };
        while self.0.front().is_some_and(past) {
            self.0.pop_front();
        }
    }

    fn most(&self, span: Duration, now: Instant) -> usize {
        let recent = |(at, _): &&(Instant, usize)| {
            now.saturating_duration_since(*at) < span.min(LONGEST_HOLD)
        };
        let peak = self.0.iter().find(recent).or(self.0.back());
        peak.map_or(0, |(_, counted)| *counted)
    }
}

/// Members of a hub that has gone are linked with the next one well within this.
const HOLD: Duration = Duration::from_secs(10);
/// Counts are kept for so long: several times the usual window of a retry budget.
pub const LONGEST_HOLD: Duration = Duration::from_secs(60);
