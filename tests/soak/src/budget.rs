//! The retry budget of a service, checked over every window of its length.

use std::time::{Duration, Instant};

/// What resends a service may be asked to bear, as the boxes are told.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    /// Resends allowed as a share of the requests.
    pub ratio: f64,
    /// The span over which both are counted.
    pub window: Duration,
    /// Resends allowed in any window whatever the requests.
    pub slack: f64,
}

/// A window, and what was used of the resends that it allows.
#[derive(Debug, Clone, Copy)]
pub struct WindowUse {
    /// When the window begins.
    pub from: Instant,
    /// The resends in it.
    pub spent: usize,
    /// The requests that count for it.
    pub requests: usize,
    /// The resends that these allow.
    pub allowed: f64,
}

impl Budget {
    /// The window in which the greatest share was used; moments are in the order of time.
    /// Requests count in whichever has most of the windows `shifts` lengths before.
    pub fn fullest(
        &self,
        requests: &[Instant],
        resends: &[Instant],
        shifts: &[f64],
    ) -> Option<WindowUse> {
        let begins = resends.iter().flat_map(|at| {
            let ends_there = at.checked_sub(self.window);
            [Some(*at), ends_there].into_iter().flatten()
        });
        let used = begins.map(|from| self.window_use(from, requests, resends, shifts));
        used.max_by(|a, b| a.share().total_cmp(&b.share()))
    }

    fn window_use(
        &self,
        from: Instant,
        requests: &[Instant],
        resends: &[Instant],
        shifts: &[f64],
    ) -> WindowUse {
        let before = |shift: f64| from.checked_sub(self.window.mul_f64(shift));
        let counted = shifts
            .iter()
            .filter_map(|shift| before(*shift))
            .map(|from| count_in(requests, from, from + self.window));
        let requests = counted.max().unwrap_or(0);
        WindowUse {
            from,
            spent: count_in(resends, from, from + self.window),
            requests,
            allowed: self.ratio * requests as f64 + self.slack,
        }
    }
}

impl WindowUse {
    /// The part of what is allowed that was used; above 1, the budget was passed.
    pub fn share(&self) -> f64 {
        self.spent as f64 / self.allowed
    }
}

/// How many moments lie within a span, both ends included.
fn count_in(moments: &[Instant], from: Instant, to: Instant) -> usize {
    let before = moments.partition_point(|at| *at < from);
    moments.partition_point(|at| *at <= to) - before
}
