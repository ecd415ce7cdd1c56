//! Replays traces through the `ServiceTable` of each box and the service's outlier
//! detector, or through baseline detectors.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use wingspur_state::{
    AttemptId, AttemptOutcome, BackendServer, Detection, EVIDENCE_TICK, EjectionState,
    Floor, Limits, OutlierDetector, RetryRules, Service, ServiceTable, Verdict,
};

use crate::baseline::Baseline;
use crate::decider::Decider;
use crate::trace::{DEADLINE_MS, Observation, Scenario};

/// The result of a replay.
///
/// A box holds a server back while it regards the server as suspected, on probation or
/// excluded. A baseline holds back the servers that it has ejected.
#[derive(Debug, Clone)]
pub struct ReplayReport {
    /// For each server and box, when the box first held the server back, in milliseconds
    /// from the start of the trace; `None` if it never did.
    pub held_ms: Vec<Vec<Option<f64>>>,
    /// For each server, the fraction of all ticks of all boxes in which a box held it
    /// back.
    pub held_share: Vec<f64>,
    /// The lowest number of slots of servers that the ejection record did not list as
    /// ejected.
    pub least_slots_in: u32,
    /// Number of evidence reports of all boxes. The outlier detector receives them only
    /// with `Decider::Wingspur`.
    pub reports: u64,
}

impl ReplayReport {
    /// Returns when the last of these boxes first held the server back, in milliseconds
    /// from the start of the trace; `None` if one of them never did.
    pub fn held_by_all_ms(&self, server: usize, boxes: &[usize]) -> Option<f64> {
        let times = boxes.iter().map(|index| self.held_ms[server][*index]);
        times
            .collect::<Option<Vec<f64>>>()?
            .into_iter()
            .max_by(f64::total_cmp)
    }

    /// Returns whether any box ever held the server back.
    pub fn was_held(&self, server: usize) -> bool {
        self.held_ms[server].iter().any(Option::is_some)
    }
}

/// Replays a trace of the scenario's service and reports which servers were held back.
///
/// The observations must be in the order of their times.
pub fn replay(
    scenario: &Scenario,
    observations: impl Iterator<Item = Observation>,
    decider: Decider,
) -> ReplayReport {
    let mut replay = Replay::new(scenario, decider);
    for observation in observations {
        replay.advance_to(observation.at_ms);
        replay.begin(&observation);
    }
    replay.advance_to(scenario.duration_s * 1000.0);
    replay.into_report()
}

/// Returns the service that a scenario describes, without routes.
pub fn service_of(scenario: &Scenario) -> Service {
    let server = |index: usize| BackendServer {
        name: format!("server-{index:02}"),
        address: ([127, 0, 0, 1], 20_000 + index as u16).into(),
        data_centre: data_centre(scenario, index),
        slots: scenario.slots,
        connections: 330,
    };
    Service {
        name: "replayed".to_owned(),
        floor: Floor {
            healthy_slots_percent: scenario.floor_percent,
        },
        detection: Detection {
            false_ejections_per_server_day: scenario.false_ejections_per_server_day,
        },
        limits: Limits::default(),
        retry: RetryRules::default(),
        servers: (0..scenario.servers).map(server).collect(),
        routes: Vec::new(),
        server_connections: None,
        cold_requests_per_s: None,
    }
}

struct Replay {
    decider: Decider,
    start: Instant,
    now_ms: f64,
    next_tick_ms: f64,
    tables: Vec<ServiceTable>,
    baselines: Vec<Baseline>,
    box_ids: Vec<String>,
    data_centres: Vec<String>,
    detector: OutlierDetector,
    sent_verdicts: Vec<Verdict>,
    events: BinaryHeap<Reverse<AttemptEvent>>,
    held_ms: Vec<Vec<Option<f64>>>,
    held_ticks: Vec<u64>,
    ticks: u64,
    least_slots_in: u32,
    reports: u64,
}

/// A scheduled event of an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
struct AttemptEvent {
    at_ms: f64,
    box_index: usize,
    attempt: AttemptId,
    server: usize,
    kind: AttemptEventKind,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum AttemptEventKind {
    Head,
    Finish(AttemptOutcome),
}

impl Eq for AttemptEvent {}

impl Ord for AttemptEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at_ms.total_cmp(&other.at_ms)
    }
}

impl PartialOrd for AttemptEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Replay {
    fn new(scenario: &Scenario, decider: Decider) -> Self {
        let service = Arc::new(service_of(scenario));
        let start = Instant::now();
        let boxes = scenario.boxes;
        let box_data_centres: Vec<String> =
            (0..boxes).map(|i| data_centre(scenario, i)).collect();
        let table =
            |home: &String| ServiceTable::new(service.clone(), 1, home, boxes as u32);
        let initial_verdict = Verdict {
            service_tag: 1,
            standings: Vec::new(),
        };
        Self {
            decider,
            start,
            now_ms: 0.0,
            next_tick_ms: 0.0,
            tables: box_data_centres.iter().map(table).collect(),
            baselines: (0..boxes)
                .map(|_| Baseline::new(decider, scenario.servers))
                .collect(),
            box_ids: (0..boxes).map(|index| format!("box-{index:02}")).collect(),
            detector: OutlierDetector::new(&service, 1, None, start),
            sent_verdicts: vec![initial_verdict; boxes],
            events: BinaryHeap::new(),
            held_ms: vec![vec![None; boxes]; scenario.servers],
            held_ticks: vec![0; scenario.servers],
            ticks: 0,
            least_slots_in: service.slots(),
            reports: 0,
            data_centres: box_data_centres,
        }
    }

    fn begin(&mut self, observation: &Observation) {
        let now = self.instant(observation.at_ms);
        let (box_index, server) = (observation.box_index, observation.server);
        let attempt = self.tables[box_index].begin(server, now);
        let mut schedule = |after_ms: f64, kind: AttemptEventKind| {
            let at_ms = observation.at_ms + after_ms;
            self.events.push(Reverse(AttemptEvent {
                at_ms,
                box_index,
                attempt,
                server,
                kind,
            }));
        };
        if observation.body_stalls {
            schedule(HEAD_DELAY_MS, AttemptEventKind::Head);
        }
        match observation.took_ms.filter(|took| *took < DEADLINE_MS) {
            None => schedule(
                DEADLINE_MS,
                AttemptEventKind::Finish(AttemptOutcome::Abandoned),
            ),
            Some(took) if observation.error => {
                schedule(took, AttemptEventKind::Finish(AttemptOutcome::Failed));
            }
            Some(took) => {
                schedule(took, AttemptEventKind::Finish(AttemptOutcome::Answered))
            }
        }
    }

    /// Runs all events and ticks up to a time, in milliseconds from the start of the
    /// trace.
    fn advance_to(&mut self, at_ms: f64) {
        loop {
            let next_event_ms = self
                .events
                .peek()
                .map_or(f64::INFINITY, |event| event.0.at_ms);
            let next_ms = next_event_ms.min(self.next_tick_ms);
            if next_ms > at_ms {
                break;
            }
            self.now_ms = next_ms;
            if next_event_ms <= self.next_tick_ms {
                self.process_next_event();
            } else {
                self.tick();
                self.next_tick_ms += EVIDENCE_TICK.as_secs_f64() * 1000.0;
            }
        }
        self.now_ms = at_ms;
    }

    fn process_next_event(&mut self) {
        let Some(Reverse(event)) = self.events.pop() else {
            return;
        };
        let now = self.instant(event.at_ms);
        let table = &mut self.tables[event.box_index];
        match event.kind {
            AttemptEventKind::Head => {
                table.record_response_head(event.attempt, AttemptOutcome::Answered, now)
            }
            AttemptEventKind::Finish(outcome) => {
                table.finish(event.attempt, outcome, now);
                let succeeded = outcome == AttemptOutcome::Answered;
                self.baselines[event.box_index].record_outcome(
                    event.server,
                    succeeded,
                    event.at_ms,
                );
            }
        }
    }

    fn tick(&mut self) {
        let now = self.instant(self.now_ms);
        for index in 0..self.tables.len() {
            let Some(report) = self.tables[index].tick(now) else {
                continue;
            };
            self.reports += 1;
            if self.decider == Decider::Wingspur {
                let home = &self.data_centres[index];
                self.detector
                    .record_report(&self.box_ids[index], home, &report, now);
                let verdict = self.detector.verdict(home);
                self.tables[index].apply(&verdict, now);
                self.sent_verdicts[index] = verdict;
            }
        }
        if self.decider == Decider::Wingspur {
            self.tick_detector(now);
        }
        self.record_held_servers(now);
    }

    fn tick_detector(&mut self, now: Instant) {
        self.detector.tick(now);
        if let Some(record) = self.detector.pending_record() {
            self.detector.apply_record(record, now);
        }
        self.least_slots_in = self.least_slots_in.min(self.detector.available_slots());
        for index in 0..self.tables.len() {
            let verdict = self.detector.verdict(&self.data_centres[index]);
            if verdict != self.sent_verdicts[index] {
                self.tables[index].apply(&verdict, now);
                self.sent_verdicts[index] = verdict;
            }
        }
    }

    /// Records which boxes hold which servers back at present.
    fn record_held_servers(&mut self, now: Instant) {
        self.ticks += 1;
        for (index, table) in self.tables.iter().enumerate() {
            for server in 0..self.held_ms.len() {
                let held = match self.decider {
                    Decider::Wingspur | Decider::OwnEvidence => {
                        table.ejection_state(server, now) != EjectionState::Active
                    }
                    Decider::ConsecutiveErrors | Decider::SuccessRate => {
                        self.baselines[index].is_ejected(server, self.now_ms)
                    }
                };
                if held {
                    self.held_ticks[server] += 1;
                    self.held_ms[server][index].get_or_insert(self.now_ms);
                }
            }
        }
    }

    fn into_report(self) -> ReplayReport {
        let samples = (self.ticks * self.tables.len() as u64).max(1) as f64;
        let share = |ticks: &u64| *ticks as f64 / samples;
        ReplayReport {
            held_share: self.held_ticks.iter().map(share).collect(),
            held_ms: self.held_ms,
            least_slots_in: self.least_slots_in,
            reports: self.reports,
        }
    }

    fn instant(&self, at_ms: f64) -> Instant {
        self.start + Duration::from_secs_f64(at_ms / 1000.0)
    }
}

fn data_centre(scenario: &Scenario, index: usize) -> String {
    format!("data-centre-{}", index % scenario.data_centres.max(1))
}

/// Time until the response head of an attempt whose body stalls, in milliseconds.
const HEAD_DELAY_MS: f64 = 10.0;
