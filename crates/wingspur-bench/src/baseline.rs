//! Baseline outlier detectors for comparison. Each box runs one and uses only its own
//! observations.

use std::collections::VecDeque;

use crate::decider::Decider;

/// The baseline detector of one box.
#[derive(Debug)]
pub struct Baseline {
    decider: Decider,
    servers: Vec<ServerHistory>,
    evaluated_ms: f64,
}

/// What the detector knows of one server.
#[derive(Debug, Default, Clone)]
struct ServerHistory {
    consecutive_errors: u32,
    /// When attempts finished, in milliseconds, and whether they succeeded.
    outcomes: VecDeque<(f64, bool)>,
    ejected_until_ms: f64,
    ejections: u32,
}

impl Baseline {
    /// Creates a detector without observations for a number of servers. It never ejects a
    /// server unless `decider` is one of the baselines.
    pub fn new(decider: Decider, servers: usize) -> Self {
        Self {
            decider,
            servers: vec![ServerHistory::default(); servers],
            evaluated_ms: 0.0,
        }
    }

    /// Records whether an attempt that finished at `at_ms` succeeded. Ejects the server
    /// after too many consecutive errors, or evaluates the success rates if
    /// `EVALUATION_INTERVAL_MS` have passed since the last evaluation.
    pub fn record_outcome(&mut self, server: usize, succeeded: bool, at_ms: f64) {
        match self.decider {
            Decider::Wingspur | Decider::OwnEvidence => {}
            Decider::ConsecutiveErrors => {
                self.count_consecutive_errors(server, succeeded, at_ms)
            }
            Decider::SuccessRate => {
                self.servers[server].outcomes.push_back((at_ms, succeeded));
                if at_ms - self.evaluated_ms >= EVALUATION_INTERVAL_MS {
                    self.evaluated_ms = at_ms;
                    self.eject_outliers(at_ms);
                }
            }
        }
    }

    /// Returns whether the server is ejected at `at_ms`.
    pub fn is_ejected(&self, server: usize, at_ms: f64) -> bool {
        at_ms < self.servers[server].ejected_until_ms
    }

    fn count_consecutive_errors(&mut self, server: usize, succeeded: bool, at_ms: f64) {
        let history = &mut self.servers[server];
        history.consecutive_errors = if succeeded {
            0
        } else {
            history.consecutive_errors + 1
        };
        if history.consecutive_errors >= CONSECUTIVE_ERRORS_TO_EJECT {
            history.eject(at_ms);
        }
    }

    /// Ejects the servers whose success rate in the last `EVALUATION_INTERVAL_MS` is more
    /// than `MAX_DEVIATIONS_BELOW_MEAN` standard deviations below the mean of all
    /// servers. Only servers with at least `MIN_OUTCOMES` outcomes count, and without
    /// `MIN_SERVERS` of them none is ejected.
    fn eject_outliers(&mut self, at_ms: f64) {
        let mut rates = Vec::new();
        for (index, history) in self.servers.iter_mut().enumerate() {
            while history
                .outcomes
                .front()
                .is_some_and(|(at, _)| at_ms - at > EVALUATION_INTERVAL_MS)
            {
                history.outcomes.pop_front();
            }
            if history.outcomes.len() >= MIN_OUTCOMES {
                let succeeded = history
                    .outcomes
                    .iter()
                    .filter(|(_, succeeded)| *succeeded)
                    .count();
                rates.push((index, succeeded as f64 / history.outcomes.len() as f64));
            }
        }
        if rates.len() < MIN_SERVERS {
            return;
        }
        let count = rates.len() as f64;
        let mean = rates.iter().map(|(_, rate)| rate).sum::<f64>() / count;
        let squares = rates
            .iter()
            .map(|(_, rate)| (rate - mean).powi(2))
            .sum::<f64>();
        let min_rate = mean - MAX_DEVIATIONS_BELOW_MEAN * (squares / count).sqrt();
        for (index, rate) in rates {
            if rate < min_rate {
                self.servers[index].eject(at_ms);
            }
        }
    }
}

impl ServerHistory {
    /// Ejects the server. The n-th ejection lasts n times `BASE_EJECTION_MS`, but at most
    /// ten times.
    fn eject(&mut self, at_ms: f64) {
        self.consecutive_errors = 0;
        self.outcomes.clear();
        self.ejections += 1;
        self.ejected_until_ms =
            at_ms + BASE_EJECTION_MS * f64::from(self.ejections.min(10));
    }
}

const CONSECUTIVE_ERRORS_TO_EJECT: u32 = 5;
const EVALUATION_INTERVAL_MS: f64 = 10_000.0;
const BASE_EJECTION_MS: f64 = 30_000.0;
const MIN_OUTCOMES: usize = 5;
const MIN_SERVERS: usize = 5;
const MAX_DEVIATIONS_BELOW_MEAN: f64 = 1.9;
