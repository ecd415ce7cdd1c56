//! The fraction of recent events that were of one kind.

use std::time::{Duration, Instant};

/// Counts of events, which decay exponentially.
#[derive(Debug, Clone, Copy)]
pub struct RecentRatio {
    memory: Duration,
    part: f64,
    all: f64,
    counted_at: Option<Instant>,
}

impl RecentRatio {
    /// Creates counts that decay with the time constant `memory`.
    pub fn new(memory: Duration) -> Self {
        Self {
            memory,
            part: 0.0,
            all: 0.0,
            counted_at: None,
        }
    }

    /// Counts `all` events, of which `part` were of the kind.
    pub fn add(&mut self, part: u32, all: u32, now: Instant) {
        let kept = self.kept(now);
        self.part = self.part * kept + f64::from(part);
        self.all = self.all * kept + f64::from(all);
        self.counted_at = Some(now);
    }

    /// Returns the fraction. `presumed` is assumed of `presumed_count` further events, so
    /// that it is the result while there were few.
    pub fn ratio(&self, presumed: f64, presumed_count: f64, now: Instant) -> f64 {
        let (part, all) = self.counts(now);
        (part + presumed * presumed_count) / (all + presumed_count)
    }

    /// Returns the counts of the kind and of all, as they have decayed until `now`.
    pub fn counts(&self, now: Instant) -> (f64, f64) {
        let kept = self.kept(now);
        (self.part * kept, self.all * kept)
    }

    /// Returns the weight of the counts now.
    fn kept(&self, now: Instant) -> f64 {
        let age = self
            .counted_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        (-age.div_duration_f64(self.memory)).exp()
    }
}
