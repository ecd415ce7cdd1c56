//! Plain detectors to compare with, one in each box and alone.

use std::collections::VecDeque;

use crate::decider::Decider;

/// A box's plain detector.
#[derive(Debug)]
pub struct Baseline {
    decider: Decider,
    servers: Vec<Track>,
    looked_ms: f64,
}

#[derive(Debug, Default, Clone)]
struct Track {
    errors_in_row: u32,
    ends: VecDeque<(f64, bool)>,
    out_until_ms: f64,
    ejections: u32,
}

impl Baseline {
    /// A detector that has seen nothing.
    pub fn new(decider: Decider, servers: usize) -> Self {
        Self {
            decider,
            servers: vec![Track::default(); servers],
            looked_ms: 0.0,
        }
    }

    /// Takes in how an attempt ended.
    pub fn end(&mut self, server: usize, good: bool, at_ms: f64) {
        match self.decider {
            Decider::Wingspur | Decider::OwnEvidence => {}
            Decider::ConsecutiveErrors => self.end_in_row(server, good, at_ms),
            Decider::SuccessRate => {
                self.servers[server].ends.push_back((at_ms, good));
                if at_ms - self.looked_ms >= INTERVAL_MS {
                    self.looked_ms = at_ms;
                    self.eject_outliers(at_ms);
                }
            }
        }
    }

    /// Whether the server is out.
    pub fn is_out(&self, server: usize, at_ms: f64) -> bool {
        at_ms < self.servers[server].out_until_ms
    }

    fn end_in_row(&mut self, server: usize, good: bool, at_ms: f64) {
        let track = &mut self.servers[server];
        track.errors_in_row = if good { 0 } else { track.errors_in_row + 1 };
        if track.errors_in_row >= ERRORS_IN_ROW {
            track.eject(at_ms);
        }
    }

    fn eject_outliers(&mut self, at_ms: f64) {
        let mut rates = Vec::new();
        for (index, track) in self.servers.iter_mut().enumerate() {
            while track
                .ends
                .front()
                .is_some_and(|(at, _)| at_ms - at > INTERVAL_MS)
            {
                track.ends.pop_front();
            }
            if track.ends.len() >= LEAST_ENDS {
                let good = track.ends.iter().filter(|(_, good)| *good).count();
                rates.push((index, good as f64 / track.ends.len() as f64));
            }
        }
        if rates.len() < LEAST_SERVERS {
            return;
        }
        let count = rates.len() as f64;
        let mean = rates.iter().map(|(_, rate)| rate).sum::<f64>() / count;
        let squares = rates
            .iter()
            .map(|(_, rate)| (rate - mean).powi(2))
            .sum::<f64>();
        let least = mean - DEVIATIONS * (squares / count).sqrt();
        for (index, rate) in rates {
            if rate < least {
                self.servers[index].eject(at_ms);
            }
        }
    }
}

impl Track {
    fn eject(&mut self, at_ms: f64) {
        self.errors_in_row = 0;
        self.ends.clear();
        self.ejections += 1;
        self.out_until_ms = at_ms + HOLD_MS * f64::from(self.ejections.min(10));
    }
}

const ERRORS_IN_ROW: u32 = 5;
const INTERVAL_MS: f64 = 10_000.0;
const HOLD_MS: f64 = 30_000.0;
const LEAST_ENDS: usize = 5;
const LEAST_SERVERS: usize = 5;
const DEVIATIONS: f64 = 1.9;
