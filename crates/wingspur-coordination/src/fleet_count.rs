//! How many boxes the fleet has.

use std::time::{Duration, Instant};

/// The number of boxes, slow to fall.
///
/// Purpose: a hub that has just taken over has few members yet. What boxes share by their
/// number, the connections to a server and the slack of the retry budget, would be dealt out
/// several times until all have linked with it.
#[derive(Debug, Clone, Copy, Default)]
pub struct FleetCount {
    boxes: usize,
    /// When so many were last counted; none before any were.
    counted: Option<Instant>,
}

impl FleetCount {
    /// Takes in how many are counted now; returns how many to go by.
    pub fn follow(&mut self, counted: usize, now: Instant) -> usize {
        let held = self
            .counted
            .is_some_and(|at| now.saturating_duration_since(at) < HOLD);
        if counted >= self.boxes || !held {
            self.boxes = counted;
            self.counted = Some(now);
        }
        self.boxes
    }
}

/// Members of a hub that has gone are linked with the next one well within this.
const HOLD: Duration = Duration::from_secs(10);
