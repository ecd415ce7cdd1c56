//! What a box has learned of a service: each server's own history and the present.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::ServerIndex;
use crate::evidence::{HealthBaseline, LEAST_ERROR_RATE};

/// A server's own latency history, slow to change.
#[derive(Debug, Clone, Copy, Default)]
pub struct LatencyHistory {
    answers: u32,
    mean_ln_ms: f64,
    variance_ln: f64,
}

impl LatencyHistory {
    /// Takes in an answer; `ln_ms` is the logarithm of its latency.
    pub fn learn(&mut self, ln_ms: f64) {
        self.answers = self.answers.saturating_add(1);
        let weight = (1.0 / f64::from(self.answers)).max(HISTORY_WEIGHT);
        let off = ln_ms - self.mean_ln_ms;
        self.mean_ln_ms += weight * off;
        self.variance_ln = (1.0 - weight) * (self.variance_ln + weight * off * off);
    }

    /// Whether there is enough to judge by.
    pub fn is_settled(&self) -> bool {
        self.answers >= SETTLED_ANSWERS
    }
}

/// What a service shows at present, beyond the histories of its servers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Present {
    /// How much later answers come, as a difference of logarithms.
    pub shift: f64,
    /// The share of errors.
    pub error_rate: f64,
}

impl Present {
    /// Follows the present; true when it has become so much worse that evidence which
    /// was measured against what went before no longer counts.
    pub fn follow(&mut self, present: Present) -> bool {
        let later = present.shift > self.shift + WORSE_SHIFT;
        let failing = present.error_rate > 2.0 * self.error_rate + WORSE_ERRORS;
        if later || failing {
            *self = present;
            return true;
        }
        self.shift = self.shift.min(present.shift);
        self.error_rate = self.error_rate.min(present.error_rate);
        false
    }
}

/// The present of a service: what all its servers have in common.
#[derive(Debug, Clone)]
pub struct ServiceHistory {
    pooled: LatencyHistory,
    /// How far recent answers were from their servers' own histories.
    residuals: VecDeque<(Instant, ServerIndex, f64)>,
    /// Recent ends: the server, and whether it was an error.
    ends: VecDeque<(Instant, ServerIndex, bool)>,
    tail_rate: f64,
    /// The present shift of the whole service.
    shift: f64,
    /// The present shift of each server's data centre, where it has several.
    group_shifts: Vec<f64>,
    groups: Vec<Vec<ServerIndex>>,
    error_rate: f64,
}

impl ServiceHistory {
    /// A history without observations; `groups` are the servers of each data centre.
    pub fn new(servers: usize, groups: Vec<Vec<ServerIndex>>) -> Self {
        Self {
            pooled: LatencyHistory::default(),
            residuals: VecDeque::new(),
            ends: VecDeque::new(),
            tail_rate: LEAST_TAIL_RATE,
            shift: 0.0,
            group_shifts: vec![0.0; servers],
            groups,
            error_rate: LEAST_ERROR_RATE,
        }
    }

    /// Takes over what another history knows of the service as a whole.
    pub fn inherit(&mut self, older: &Self) {
        self.pooled = older.pooled;
        self.tail_rate = older.tail_rate;
        self.shift = older.shift;
        self.error_rate = older.error_rate;
    }

    /// What a server is measured against now.
    pub fn reference(&self, server: ServerIndex, own: &LatencyHistory) -> HealthBaseline {
        let history = if own.is_settled() { own } else { &self.pooled };
        let learned = history
            .variance_ln
            .sqrt()
            .clamp(LEAST_DEVIATION, MOST_DEVIATION);
        let settled = own.is_settled();
        HealthBaseline {
            mean_ln_ms: history.mean_ln_ms + self.shift_of(server),
            deviation_ln: if settled {
                learned
            } else {
                learned.max(UNSETTLED_DEVIATION)
            },
            error_rate: self.error_rate,
            tail_rate: self.tail_rate,
        }
    }

    /// Whether the service is known well enough to judge by latency at all.
    pub fn is_settled(&self) -> bool {
        self.pooled.is_settled()
    }

    /// Takes in an answer; `trusted` is false for a server under suspicion, whose
    /// answers tell of the present but must not become its history.
    pub fn learn_answer(
        &mut self,
        server: ServerIndex,
        own: &mut LatencyHistory,
        latency_ms: f64,
        trusted: bool,
        now: Instant,
    ) {
        let ln_ms = latency_ms.max(0.05).ln();
        if own.is_settled() {
            let residual = ln_ms - own.mean_ln_ms;
            self.residuals.push_back((now, server, residual));
            if trusted {
                let deviation = self.reference(server, own).deviation_ln;
                let beyond = (residual - self.shift_of(server)) / deviation > TAIL_Z;
                self.learn_tail(beyond);
            }
        }
        if trusted {
            let shift = self.shift_of(server);
            own.learn(ln_ms - shift);
            self.pooled.learn(ln_ms - shift);
        }
    }

    /// Takes in how an attempt ended.
    pub fn learn_end(&mut self, server: ServerIndex, error: bool, now: Instant) {
        self.ends.push_back((now, server, error));
        if self.ends.len() > MOST_ENDS {
            self.ends.pop_front();
        }
    }

    /// Forgets what is past and settles what the service shows at present.
    pub fn refresh(&mut self, now: Instant) {
        let past = |at: Instant| now.saturating_duration_since(at) > PRESENT;
        while self.residuals.len() > MOST_RESIDUALS
            || self.residuals.front().is_some_and(|(at, ..)| past(*at))
        {
            self.residuals.pop_front();
        }
        while self.ends.front().is_some_and(|(at, ..)| past(*at)) {
            self.ends.pop_front();
        }
        self.shift = self.present_shift();
        self.refresh_groups();
        self.error_rate = self.present_error_rate().max(LEAST_ERROR_RATE);
    }

    fn learn_tail(&mut self, beyond: bool) {
        let seen = if beyond { TAIL_MARGIN } else { 0.0 };
        let rate = self.tail_rate + TAIL_WEIGHT * (seen - self.tail_rate);
        self.tail_rate = rate.clamp(LEAST_TAIL_RATE, MOST_TAIL_RATE);
    }

    /// The median residual: sick servers are few, a slow evening is felt by most.
    fn present_shift(&self) -> f64 {
        if self.residuals.len() < LEAST_RESIDUALS {
            return 0.0;
        }
        let residuals = self.residuals.iter().map(|(_, _, residual)| *residual);
        median(residuals.collect()).max(0.0)
    }

    /// A data centre is as slow as its least slow server: only what all of its servers
    /// share is the data centre's.
    fn refresh_groups(&mut self) {
        let mut sums = vec![(0u32, 0.0); self.group_shifts.len()];
        for (_, server, residual) in &self.residuals {
            sums[*server].0 += 1;
            sums[*server].1 += residual;
        }
        for group in &self.groups {
            let seen = group.iter().filter(|server| sums[**server].0 > 0);
            let means = seen.map(|server| sums[*server].1 / f64::from(sums[*server].0));
            let (mut count, mut least) = (0, f64::INFINITY);
            for mean in means {
                count += 1;
                least = least.min(mean);
            }
            let enough = group.len() >= LEAST_GROUP && count >= LEAST_SEEN;
            let shift = if enough { least.max(0.0) } else { 0.0 };
            for server in group {
                self.group_shifts[*server] = shift;
            }
        }
    }

    /// What the service shows at present where a server stands.
    pub fn present(&self, server: ServerIndex) -> Present {
        Present {
            shift: self.shift_of(server),
            error_rate: self.error_rate,
        }
    }

    fn shift_of(&self, server: ServerIndex) -> f64 {
        self.shift.max(self.group_shifts[server])
    }

    /// The median over servers of their present error shares.
    fn present_error_rate(&self) -> f64 {
        let servers = self.ends.iter().map(|(_, server, _)| server + 1).max();
        let mut counts = vec![(0u32, 0u32); servers.unwrap_or(0)];
        for (_, server, error) in &self.ends {
            counts[*server].0 += 1;
            counts[*server].1 += u32::from(*error);
        }
        let seen = counts.into_iter().filter(|(ends, _)| *ends > 0);
        let rates: Vec<f64> = seen
            .map(|(ends, errors)| f64::from(errors) / f64::from(ends))
            .collect();
        if rates.len() < 2 { 0.0 } else { median(rates) }
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    let middle = values.len() / 2;
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}

/// History weighs a new answer by this, once it has settled.
const HISTORY_WEIGHT: f64 = 0.005;
const SETTLED_ANSWERS: u32 = 20;
const LEAST_DEVIATION: f64 = 0.3;
const MOST_DEVIATION: f64 = 1.2;
const UNSETTLED_DEVIATION: f64 = 1.0;
/// What counts as the present.
const PRESENT: Duration = Duration::from_millis(2000);
const WORSE_SHIFT: f64 = 0.2;
const WORSE_ERRORS: f64 = 0.02;
const MOST_RESIDUALS: usize = 64;
/// Servers of a data centre that make it comparable.
const LEAST_GROUP: usize = 3;
/// Of them, those that must have answered lately.
const LEAST_SEEN: usize = 2;
const LEAST_RESIDUALS: usize = 8;
const MOST_ENDS: usize = 256;
const TAIL_Z: f64 = 3.0;
const TAIL_WEIGHT: f64 = 0.002;
const TAIL_MARGIN: f64 = 1.5;
const LEAST_TAIL_RATE: f64 = 0.003;
const MOST_TAIL_RATE: f64 = 0.05;
