//! What a box has learned of a service: the latency history of each server and the
//! current conditions of the whole service.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::ServerIndex;
use crate::evidence::{HealthBaseline, MIN_ERROR_RATE};

/// Slowly changing mean and variance of the logarithm of a server's latency.
#[derive(Debug, Clone, Copy, Default)]
pub struct LatencyHistory {
    responses: u32,
    mean_ln_ms: f64,
    variance_ln: f64,
}

impl LatencyHistory {
    /// Adds a response; `ln_ms` is the natural logarithm of its latency in milliseconds.
    pub fn record(&mut self, ln_ms: f64) {
        self.responses = self.responses.saturating_add(1);
        let weight = (1.0 / f64::from(self.responses)).max(MIN_HISTORY_WEIGHT);
        let difference = ln_ms - self.mean_ln_ms;
        self.mean_ln_ms += weight * difference;
        self.variance_ln =
            (1.0 - weight) * (self.variance_ln + weight * difference * difference);
    }

    /// Whether there are enough responses to compare others with.
    pub fn has_enough_responses(&self) -> bool {
        self.responses >= MIN_RESPONSES
    }
}

/// Current conditions of a service, which apply on top of the histories of its servers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CurrentConditions {
    /// Difference of the logarithm of the latency from the histories; above 0 is slower.
    pub latency_shift_ln: f64,
    /// Share of errors.
    pub error_rate: f64,
}

impl CurrentConditions {
    /// Updates the conditions that a server's evidence was computed against.
    ///
    /// Returns true if they have become so much worse that earlier evidence no longer
    /// counts; they are then replaced. Otherwise only lower values are taken over.
    pub fn update(&mut self, current: CurrentConditions) -> bool {
        let slower = current.latency_shift_ln > self.latency_shift_ln + WORSE_SHIFT_LN;
        let failing = current.error_rate > 2.0 * self.error_rate + WORSE_ERROR_RATE;
        if slower || failing {
            *self = current;
            return true;
        }
        self.latency_shift_ln = self.latency_shift_ln.min(current.latency_shift_ln);
        self.error_rate = self.error_rate.min(current.error_rate);
        false
    }
}

/// Recent observations of a service and the conditions that all its servers share.
#[derive(Debug, Clone)]
pub struct ServiceHistory {
    /// History over the responses of all servers.
    pooled: LatencyHistory,
    /// Time, server and difference of the logarithm of the latency from the server's own
    /// history for each recent response.
    residuals: VecDeque<(Instant, ServerIndex, f64)>,
    /// Time, server and whether it was an error for each recently ended attempt.
    outcomes: VecDeque<(Instant, ServerIndex, bool)>,
    /// Share of responses far above the expected latency, see
    /// `HealthBaseline::tail_rate`.
    tail_rate: f64,
    /// Current latency shift of the whole service.
    latency_shift_ln: f64,
    /// Current latency shift of the data centre of each server; 0 for a data centre with
    /// too few servers to compare.
    group_latency_shifts_ln: Vec<f64>,
    /// The servers of each data centre.
    groups: Vec<Vec<ServerIndex>>,
    error_rate: f64,
}

impl ServiceHistory {
    /// Creates a history without observations; `groups` are the servers of each data
    /// centre.
    pub fn new(servers: usize, groups: Vec<Vec<ServerIndex>>) -> Self {
        Self {
            pooled: LatencyHistory::default(),
            residuals: VecDeque::new(),
            outcomes: VecDeque::new(),
            tail_rate: MIN_TAIL_RATE,
            latency_shift_ln: 0.0,
            group_latency_shifts_ln: vec![0.0; servers],
            groups,
            error_rate: MIN_ERROR_RATE,
        }
    }

    /// Takes over what another history knows of the service as a whole, not of its
    /// servers.
    pub fn inherit(&mut self, older: &Self) {
        self.pooled = older.pooled;
        self.tail_rate = older.tail_rate;
        self.latency_shift_ln = older.latency_shift_ln;
        self.error_rate = older.error_rate;
    }

    /// Returns the baseline that a server is compared with now: its own history, or that
    /// of the whole service while it has too few responses, moved by the current latency
    /// shift.
    pub fn baseline_for(
        &self,
        server: ServerIndex,
        own: &LatencyHistory,
    ) -> HealthBaseline {
        let history = if own.has_enough_responses() {
            own
        } else {
            &self.pooled
        };
        let deviation_ln = history
            .variance_ln
            .sqrt()
            .clamp(MIN_DEVIATION_LN, MAX_DEVIATION_LN);
        let has_own_history = own.has_enough_responses();
        HealthBaseline {
            mean_ln_ms: history.mean_ln_ms + self.latency_shift_of(server),
            deviation_ln: if has_own_history {
                deviation_ln
            } else {
                deviation_ln.max(MIN_POOLED_DEVIATION_LN)
            },
            error_rate: self.error_rate,
            tail_rate: self.tail_rate,
        }
    }

    /// Whether the service has enough responses to judge its servers by latency.
    pub fn has_enough_responses(&self) -> bool {
        self.pooled.has_enough_responses()
    }

    /// Adds a good response. `trusted` is false for a suspected server: its responses
    /// count towards the current conditions but not towards the histories.
    pub fn record_response(
        &mut self,
        server: ServerIndex,
        own: &mut LatencyHistory,
        latency_ms: f64,
        trusted: bool,
        now: Instant,
    ) {
        let ln_ms = latency_ms.max(0.05).ln();
        if own.has_enough_responses() {
            let residual = ln_ms - own.mean_ln_ms;
            self.residuals.push_back((now, server, residual));
            if trusted {
                let deviation = self.baseline_for(server, own).deviation_ln;
                let beyond =
                    (residual - self.latency_shift_of(server)) / deviation > TAIL_MIN_Z;
                self.update_tail_rate(beyond);
            }
        }
        if trusted {
            let latency_shift_ln = self.latency_shift_of(server);
            own.record(ln_ms - latency_shift_ln);
            self.pooled.record(ln_ms - latency_shift_ln);
        }
    }

    /// Records whether an attempt ended with an error.
    pub fn record_outcome(&mut self, server: ServerIndex, error: bool, now: Instant) {
        self.outcomes.push_back((now, server, error));
        if self.outcomes.len() > MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
    }

    /// Evicts old observations and recomputes the current conditions.
    pub fn refresh(&mut self, now: Instant) {
        let is_expired =
            |at: Instant| now.saturating_duration_since(at) > CONDITIONS_WINDOW;
        while self.residuals.len() > MAX_RESIDUALS
            || self
                .residuals
                .front()
                .is_some_and(|(at, ..)| is_expired(*at))
        {
            self.residuals.pop_front();
        }
        while self
            .outcomes
            .front()
            .is_some_and(|(at, ..)| is_expired(*at))
        {
            self.outcomes.pop_front();
        }
        self.latency_shift_ln = self.median_latency_shift();
        self.refresh_group_shifts();
        self.error_rate = self.median_error_rate().max(MIN_ERROR_RATE);
    }

    fn update_tail_rate(&mut self, beyond: bool) {
        let sample = if beyond { TAIL_MARGIN } else { 0.0 };
        let rate = self.tail_rate + TAIL_WEIGHT * (sample - self.tail_rate);
        self.tail_rate = rate.clamp(MIN_TAIL_RATE, MAX_TAIL_RATE);
    }

    /// Returns the median residual, at least 0. It ignores a few unhealthy servers but
    /// follows a slowdown that affects most of them.
    fn median_latency_shift(&self) -> f64 {
        if self.residuals.len() < MIN_RESIDUALS {
            return 0.0;
        }
        let residuals = self.residuals.iter().map(|(_, _, residual)| *residual);
        median(residuals.collect()).max(0.0)
    }

    /// Recomputes the latency shift of each data centre as that of its least slow server:
    /// only what all of its servers share is attributed to the data centre.
    fn refresh_group_shifts(&mut self) {
        let mut sums = vec![(0u32, 0.0); self.group_latency_shifts_ln.len()];
        for (_, server, residual) in &self.residuals {
            sums[*server].0 += 1;
            sums[*server].1 += residual;
        }
        for group in &self.groups {
            let observed = group.iter().filter(|server| sums[**server].0 > 0);
            let means =
                observed.map(|server| sums[*server].1 / f64::from(sums[*server].0));
            let (mut count, mut min_mean) = (0, f64::INFINITY);
            for mean in means {
                count += 1;
                min_mean = min_mean.min(mean);
            }
            let enough =
                group.len() >= MIN_GROUP_SERVERS && count >= MIN_OBSERVED_SERVERS;
            let latency_shift_ln = if enough { min_mean.max(0.0) } else { 0.0 };
            for server in group {
                self.group_latency_shifts_ln[*server] = latency_shift_ln;
            }
        }
    }

    /// Returns the current conditions that apply to a server.
    pub fn conditions_for(&self, server: ServerIndex) -> CurrentConditions {
        CurrentConditions {
            latency_shift_ln: self.latency_shift_of(server),
            error_rate: self.error_rate,
        }
    }

    fn latency_shift_of(&self, server: ServerIndex) -> f64 {
        self.latency_shift_ln
            .max(self.group_latency_shifts_ln[server])
    }

    /// Returns the median over servers of their current error shares, or 0 for fewer than
    /// two servers.
    fn median_error_rate(&self) -> f64 {
        let servers = self.outcomes.iter().map(|(_, server, _)| server + 1).max();
        let mut counts = vec![(0u32, 0u32); servers.unwrap_or(0)];
        for (_, server, error) in &self.outcomes {
            counts[*server].0 += 1;
            counts[*server].1 += u32::from(*error);
        }
        let observed = counts.into_iter().filter(|(outcomes, _)| *outcomes > 0);
        let rates: Vec<f64> = observed
            .map(|(outcomes, errors)| f64::from(errors) / f64::from(outcomes))
            .collect();
        if rates.len() < 2 { 0.0 } else { median(rates) }
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    let middle = values.len() / 2;
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}

/// Least weight of a new response in the history.
const MIN_HISTORY_WEIGHT: f64 = 0.005;
const MIN_RESPONSES: u32 = 20;
const MIN_DEVIATION_LN: f64 = 0.3;
const MAX_DEVIATION_LN: f64 = 1.2;
/// Least standard deviation of the logarithm for a server without a history of its own.
const MIN_POOLED_DEVIATION_LN: f64 = 1.0;
/// Age up to which observations count towards the current conditions.
const CONDITIONS_WINDOW: Duration = Duration::from_millis(2000);
const WORSE_SHIFT_LN: f64 = 0.2;
const WORSE_ERROR_RATE: f64 = 0.02;
const MAX_RESIDUALS: usize = 64;
/// Least number of servers of a data centre for a latency shift of its own.
const MIN_GROUP_SERVERS: usize = 3;
/// Least number of them that must have responded recently.
const MIN_OBSERVED_SERVERS: usize = 2;
const MIN_RESIDUALS: usize = 8;
const MAX_OUTCOMES: usize = 256;
/// Standard deviations above the mean from which a response counts as part of the heavy
/// tail.
const TAIL_MIN_Z: f64 = 3.0;
const TAIL_WEIGHT: f64 = 0.002;
/// Factor by which the learned tail rate exceeds the observed share.
const TAIL_MARGIN: f64 = 1.5;
const MIN_TAIL_RATE: f64 = 0.003;
const MAX_TAIL_RATE: f64 = 0.05;
