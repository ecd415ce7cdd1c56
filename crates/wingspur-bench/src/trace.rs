//! Traces: what each box observed of each attempt. A trace file has one JSON object per
//! line and observation.

use std::io::{BufRead, Write};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

/// One attempt as a box observed it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Observation {
    /// When the attempt was sent, in milliseconds from the start of the trace.
    pub at_ms: f64,
    /// The index of the box.
    #[serde(rename = "box")]
    pub box_index: usize,
    /// The index of the server.
    pub server: usize,
    /// Time until the response was complete, in milliseconds; `None` if it never was.
    pub took_ms: Option<f64>,
    /// Whether the response is an error.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub error: bool,
    /// Whether the response head arrives quickly, but the body never completes.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub body_stalls: bool,
}

/// A service under load with faults. Traces are drawn from it at random.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Number of boxes.
    pub boxes: usize,
    /// Number of servers.
    pub servers: usize,
    /// Slots of each server.
    pub slots: u32,
    /// Number of data centres, to which boxes and servers are assigned in turn.
    pub data_centres: usize,
    /// Requests per second over all boxes.
    pub rate_per_s: f64,
    /// The median time of a request at the fastest server, in milliseconds.
    pub median_ms: f64,
    /// The standard deviation of that time's logarithm.
    pub deviation_ln: f64,
    /// Spread of the servers' speeds: server `i` of `n` takes `hardware_spread^(i / n)`
    /// times as long as server 0. Values below 1 count as 1.
    #[serde(default = "one")]
    pub hardware_spread: f64,
    /// Fraction of requests that take ten times as long, apart from any faults.
    #[serde(default)]
    pub straggler_share: f64,
    /// Fraction of requests with an error response, apart from any faults.
    #[serde(default)]
    pub error_share: f64,
    /// The length of the trace, in seconds.
    pub duration_s: f64,
    /// The service's floor: the percentage of slots that must stay available.
    pub floor_percent: u8,
    /// False ejections that outlier detection may cause per server and day.
    pub false_ejections_per_server_day: f64,
    /// The faults, which may overlap.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

impl Scenario {
    /// Returns a service with three slots per server, one request a second for one
    /// second, and no faults, stragglers or errors.
    pub fn quiet(servers: usize, boxes: usize) -> Self {
        Self {
            boxes,
            servers,
            slots: 3,
            data_centres: 3,
            rate_per_s: 1.0,
            median_ms: 20.0,
            deviation_ln: 0.4,
            hardware_spread: 1.0,
            straggler_share: 0.0,
            error_share: 0.0,
            duration_s: 1.0,
            floor_percent: 60,
            false_ejections_per_server_day: 0.1,
            faults: Vec::new(),
        }
    }
}

/// A fault of some servers, for all boxes or only for some.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What the fault does to requests.
    pub kind: FaultKind,
    /// The servers that are affected.
    pub servers: Vec<usize>,
    /// The boxes whose requests are affected; `None` means all.
    #[serde(default)]
    pub boxes: Option<Vec<usize>>,
    /// When the fault begins, in seconds from the start of the trace.
    pub from_s: f64,
    /// When the fault ends, in seconds; `None` means at the end of the trace.
    #[serde(default)]
    pub until_s: Option<f64>,
    /// If set, the fault is alternately present and absent for this time, in seconds; it
    /// begins with present.
    #[serde(default)]
    pub flap_s: Option<f64>,
}

/// The effect of a fault on requests.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// Some requests never get a response.
    Stall {
        /// The fraction of requests that is affected.
        share: f64,
    },
    /// The response head arrives, but the body stalls.
    BodyStall,
    /// All requests take longer.
    Slow {
        /// The factor by which their time is multiplied.
        factor: f64,
    },
    /// Some requests get an error response.
    Errors {
        /// The fraction of requests that is affected.
        share: f64,
    },
}

impl Fault {
    fn applies_to(&self, server: usize, box_index: usize, at_s: f64) -> bool {
        let ended = self.until_s.is_some_and(|until_s| at_s >= until_s);
        let box_affected = self
            .boxes
            .as_ref()
            .is_none_or(|boxes| boxes.contains(&box_index));
        if at_s < self.from_s || ended || !box_affected || !self.servers.contains(&server)
        {
            return false;
        }
        let half_periods = self.flap_s.map_or(0.0, |flap| (at_s - self.from_s) / flap);
        (half_periods as u64).is_multiple_of(2)
    }
}

/// Draws the observations of a scenario at random, in the order of their times.
///
/// A box with two requests in flight at a server sends it no third one, because a
/// balancer wouldn't pick that server. The request is left out of the trace.
#[derive(Debug)]
pub struct TraceSource {
    scenario: Scenario,
    random: SmallRng,
    at_ms: f64,
    /// For each box and server, when its requests in flight end, in milliseconds.
    in_flight: Vec<Vec<Vec<f64>>>,
}

impl TraceSource {
    /// Creates a source whose random draws are determined by the seed.
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        Self {
            scenario: scenario.clone(),
            random: SmallRng::seed_from_u64(seed),
            at_ms: 0.0,
            in_flight: vec![vec![Vec::new(); scenario.servers]; scenario.boxes],
        }
    }

    fn draw(&mut self, box_index: usize, server: usize) -> Observation {
        let scenario = &self.scenario;
        let spread = scenario.hardware_spread.max(1.0);
        let speed_rank = server as f64 / scenario.servers.max(2) as f64;
        let mut took_ms = scenario.median_ms * spread.powf(speed_rank);
        let deviations = sample_normal(&mut self.random);
        took_ms *= (scenario.deviation_ln * deviations).exp();
        if self.random.random::<f64>() < scenario.straggler_share {
            took_ms *= 10.0;
        }
        let mut error = self.random.random::<f64>() < scenario.error_share;
        let (mut completes, mut body_stalls) = (true, false);
        let at_s = self.at_ms / 1000.0;
        for fault in &scenario.faults {
            if !fault.applies_to(server, box_index, at_s) {
                continue;
            }
            match fault.kind {
                FaultKind::Stall { share } => {
                    completes &= self.random.random::<f64>() >= share;
                }
                FaultKind::BodyStall => {
                    body_stalls = true;
                    completes = false;
                }
                FaultKind::Slow { factor } => took_ms *= factor,
                FaultKind::Errors { share } => {
                    error |= self.random.random::<f64>() < share;
                }
            }
        }
        let took_ms = completes.then_some(took_ms);
        Observation {
            at_ms: self.at_ms,
            box_index,
            server,
            took_ms,
            error,
            body_stalls,
        }
    }
}

impl Iterator for TraceSource {
    type Item = Observation;

    fn next(&mut self) -> Option<Observation> {
        loop {
            let unit_gap_ms = -(1.0 - self.random.random::<f64>()).ln() * 1000.0;
            self.at_ms += unit_gap_ms / self.scenario.rate_per_s;
            if self.at_ms >= self.scenario.duration_s * 1000.0 {
                return None;
            }
            let box_index = self.random.random_range(0..self.scenario.boxes);
            let server = self.random.random_range(0..self.scenario.servers);
            let now = self.at_ms;
            let in_flight = &mut self.in_flight[box_index][server];
            in_flight.retain(|until_ms| *until_ms > now);
            if in_flight.len() >= MAX_IN_FLIGHT {
                continue;
            }
            let observation = self.draw(box_index, server);
            let until_ms = observation.took_ms.unwrap_or(DEADLINE_MS).min(DEADLINE_MS);
            self.in_flight[box_index][server].push(now + until_ms);
            return Some(observation);
        }
    }
}

/// Writes observations as JSON, one per line.
pub fn write_trace(
    out: &mut impl Write,
    observations: impl Iterator<Item = Observation>,
) -> std::io::Result<()> {
    for observation in observations {
        serde_json::to_writer(&mut *out, &observation)?;
        out.write_all(b"\n")?;
    }
    Ok(())
}

/// Reads observations that `write_trace` has written. The error for a line that can't be
/// parsed contains its number.
pub fn read_trace(input: impl BufRead) -> Result<Vec<Observation>, String> {
    let mut observations = Vec::new();
    for (number, line) in input.lines().enumerate() {
        let line = line.map_err(|error| error.to_string())?;
        let observation = serde_json::from_str(&line);
        let observation =
            observation.map_err(|error| format!("line {}: {error}", number + 1))?;
        observations.push(observation);
    }
    Ok(observations)
}

/// Draws from the standard normal distribution with the Box-Muller transform.
fn sample_normal(random: &mut SmallRng) -> f64 {
    let (a, b): (f64, f64) = (random.random(), random.random());
    (-2.0 * (1.0 - a).ln()).sqrt() * (2.0 * std::f64::consts::PI * b).cos()
}

fn one() -> f64 {
    1.0
}

/// Time after which a request without a complete response is abandoned, in milliseconds.
pub const DEADLINE_MS: f64 = 2000.0;
const MAX_IN_FLIGHT: usize = 2;
