//! Checks the retry budget of a service over every window of the budget's length.

use std::time::{Duration, Instant};

/// Limit on the resends to a service, as it stands in the settings of the boxes.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    /// Resends allowed as a share of the requests.
    pub ratio: f64,
    /// Length of the window over which requests and resends are counted.
    pub window: Duration,
    /// Resends allowed in any window in addition, however few requests there are.
    pub slack: f64,
}

/// Use of the retry budget in one window.
#[derive(Debug, Clone, Copy)]
pub struct WindowUse {
    /// Start of the window.
    pub from: Instant,
    /// Number of resends in the window.
    pub spent: usize,
    /// Number of requests from which the allowed resends are computed.
    pub requests: usize,
    /// Number of resends that the budget allows in the window.
    pub allowed: f64,
}

impl Budget {
    /// Returns the window with the greatest share of its budget used, or `None` if there
    /// are no resends. `requests` and `resends` must be sorted by time. Requests are
    /// counted in a window that begins earlier by each of `shifts` (in window lengths),
    /// and the greatest count is used.
    pub fn fullest(
        &self,
        requests: &[Instant],
        resends: &[Instant],
        shifts: &[f64],
    ) -> Option<WindowUse> {
        let starts = resends.iter().flat_map(|at| {
            let ending_there = at.checked_sub(self.window);
            [Some(*at), ending_there].into_iter().flatten()
        });
        let uses = starts.map(|from| self.window_use(from, requests, resends, shifts));
        uses.max_by(|a, b| a.share().total_cmp(&b.share()))
    }

    fn window_use(
        &self,
        from: Instant,
        requests: &[Instant],
        resends: &[Instant],
        shifts: &[f64],
    ) -> WindowUse {
        let window_start = |shift: f64| from.checked_sub(self.window.mul_f64(shift));
        let counted = shifts
            .iter()
            .filter_map(|shift| window_start(*shift))
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
    /// Returns the resends divided by the allowed resends; above 1 the budget was
    /// exceeded.
    pub fn share(&self) -> f64 {
        self.spent as f64 / self.allowed
    }
}

/// Counts the moments from `from` to `to`, both included. `moments` must be sorted.
fn count_in(moments: &[Instant], from: Instant, to: Instant) -> usize {
    let earlier = moments.partition_point(|at| *at < from);
    moments.partition_point(|at| *at <= to) - earlier
}
