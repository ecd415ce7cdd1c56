//! Traces: what each box saw of each attempt, one JSON line an observation.

use std::io::{BufRead, Write};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

/// One attempt as a box saw it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Observation {
    /// When it was sent, in milliseconds from the trace's start.
    pub at_ms: f64,
    /// The box.
    #[serde(rename = "box")]
    pub box_index: usize,
    /// The server.
    pub server: usize,
    /// How long it took; none when it never came back.
    pub took_ms: Option<f64>,
    /// Whether what came was an error.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub error: bool,
    /// Whether the head came quickly and only the body never ended.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub body_stalls: bool,
}

/// A service under load with faults, from which a trace is drawn by a seed.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Boxes.
    pub boxes: usize,
    /// Servers.
    pub servers: usize,
    /// Slots of each server.
    pub slots: u32,
    /// Data centres, over which boxes and servers are dealt in turn.
    pub data_centres: usize,
    /// Requests a second over all boxes.
    pub rate_per_s: f64,
    /// The median time of a request at the fastest server, in milliseconds.
    pub median_ms: f64,
    /// The standard deviation of that time's logarithm.
    pub deviation_ln: f64,
    /// The slowest server's time is so many times the fastest's.
    #[serde(default = "one")]
    pub hardware_spread: f64,
    /// This share of well answers comes ten times later.
    #[serde(default)]
    pub straggler_share: f64,
    /// This share of well answers is errors.
    #[serde(default)]
    pub error_share: f64,
    /// The length of the trace, in seconds.
    pub duration_s: f64,
    /// The floor, in percent of slots.
    pub floor_percent: u8,
    /// The knob.
    pub false_ejections_per_server_day: f64,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

impl Scenario {
    /// A quiet service of three slots a server, which nothing befalls.
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

/// Something that goes wrong.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// The servers that it befalls.
    pub servers: Vec<usize>,
    /// The boxes that feel it; none means all.
    #[serde(default)]
    pub boxes: Option<Vec<usize>>,
    /// From when, in seconds.
    pub from_s: f64,
    /// Until when; none means to the end.
    #[serde(default)]
    pub until_s: Option<f64>,
    /// It is there and gone by turns of so many seconds.
    #[serde(default)]
    pub flap_s: Option<f64>,
}

/// What a fault does to a request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// This share never comes back.
    Stall {
        /// Of all requests.
        share: f64,
    },
    /// The head comes, the body stops midway.
    BodyStall,
    /// All take so many times longer.
    Slow {
        /// The factor.
        factor: f64,
    },
    /// This share fails.
    Errors {
        /// Of all requests.
        share: f64,
    },
}

impl Fault {
    fn is_on(&self, server: usize, box_index: usize, at_s: f64) -> bool {
        let ended = self.until_s.is_some_and(|until| at_s >= until);
        let felt = self
            .boxes
            .as_ref()
            .is_none_or(|boxes| boxes.contains(&box_index));
        if at_s < self.from_s || ended || !felt || !self.servers.contains(&server) {
            return false;
        }
        let turns = self.flap_s.map_or(0.0, |flap| (at_s - self.from_s) / flap);
        (turns as u64).is_multiple_of(2)
    }
}

/// Draws the observations of a scenario, in the order of their times.
///
/// A box that has two requests out at a server sends it no third, as picking would not.
#[derive(Debug)]
pub struct TraceSource {
    scenario: Scenario,
    random: SmallRng,
    at_ms: f64,
    /// For each box and server, when its requests that are out come back.
    out: Vec<Vec<Vec<f64>>>,
}

impl TraceSource {
    /// A source by a seed.
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        Self {
            scenario: scenario.clone(),
            random: SmallRng::seed_from_u64(seed),
            at_ms: 0.0,
            out: vec![vec![Vec::new(); scenario.servers]; scenario.boxes],
        }
    }

    fn draw(&mut self, box_index: usize, server: usize) -> Observation {
        let scenario = &self.scenario;
        let spread = scenario.hardware_spread.max(1.0);
        let place = server as f64 / scenario.servers.max(2) as f64;
        let mut took_ms = scenario.median_ms * spread.powf(place);
        let normal = normal(&mut self.random);
        took_ms *= (scenario.deviation_ln * normal).exp();
        if self.random.random::<f64>() < scenario.straggler_share {
            took_ms *= 10.0;
        }
        let mut error = self.random.random::<f64>() < scenario.error_share;
        let (mut comes_back, mut body_stalls) = (true, false);
        let at_s = self.at_ms / 1000.0;
        for fault in &scenario.faults {
            if !fault.is_on(server, box_index, at_s) {
                continue;
            }
            match fault.kind {
                FaultKind::Stall { share } => {
                    comes_back &= self.random.random::<f64>() >= share;
                }
                FaultKind::BodyStall => {
                    body_stalls = true;
                    comes_back = false;
                }
                FaultKind::Slow { factor } => took_ms *= factor,
                FaultKind::Errors { share } => {
                    error |= self.random.random::<f64>() < share;
                }
            }
        }
        let took_ms = comes_back.then_some(took_ms);
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
            let gap_ms = -(1.0 - self.random.random::<f64>()).ln() * 1000.0;
            self.at_ms += gap_ms / self.scenario.rate_per_s;
            if self.at_ms >= self.scenario.duration_s * 1000.0 {
                return None;
            }
            let box_index = self.random.random_range(0..self.scenario.boxes);
            let server = self.random.random_range(0..self.scenario.servers);
            let now = self.at_ms;
            let out = &mut self.out[box_index][server];
            out.retain(|until| *until > now);
            if out.len() >= MOST_OUT {
                continue;
            }
            let drawn = self.draw(box_index, server);
            let until = drawn.took_ms.unwrap_or(DEADLINE_MS).min(DEADLINE_MS);
            self.out[box_index][server].push(now + until);
            return Some(drawn);
        }
    }
}

/// Writes observations, one JSON line each.
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

/// Reads observations; an error names the line.
pub fn read_trace(input: impl BufRead) -> Result<Vec<Observation>, String> {
    let mut observations = Vec::new();
    for (number, line) in input.lines().enumerate() {
        let line = line.map_err(|error| error.to_string())?;
        let read = serde_json::from_str(&line);
        let read = read.map_err(|error| format!("line {}: {error}", number + 1))?;
        observations.push(read);
    }
    Ok(observations)
}

/// A draw from the standard normal distribution, by Box and Muller.
fn normal(random: &mut SmallRng) -> f64 {
    let (a, b): (f64, f64) = (random.random(), random.random());
    (-2.0 * (1.0 - a).ln()).sqrt() * (2.0 * std::f64::consts::PI * b).cos()
}

fn one() -> f64 {
    1.0
}

/// A request that does not come back is given up after this.
pub const DEADLINE_MS: f64 = 2000.0;
const MOST_OUT: usize = 2;
