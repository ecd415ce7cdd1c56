//! Replays traces through the decisions: each box's table, and the judge.

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

/// What a replay came to.
#[derive(Debug, Clone)]
pub struct ReplayReport {
    /// For each server and box, when the box first held the server back, in
    /// milliseconds.
    pub held_ms: Vec<Vec<Option<f64>>>,
    /// For each server, the share of the trace's time that boxes held it back.
    pub held_share: Vec<f64>,
    /// The least slots that were in by the agreed record.
    pub least_slots_in: u32,
    /// Messages that boxes sent to the judge.
    pub reports: u64,
}

impl ReplayReport {
    /// When the last of these boxes held the server back, in milliseconds; none when
    /// one never did.
    pub fn held_by_all_ms(&self, server: usize, boxes: &[usize]) -> Option<f64> {
        let times = boxes.iter().map(|index| self.held_ms[server][*index]);
        times
            .collect::<Option<Vec<f64>>>()?
            .into_iter()
            .max_by(f64::total_cmp)
    }

    /// Whether any box ever held the server back.
    pub fn was_held(&self, server: usize) -> bool {
        self.held_ms[server].iter().any(Option::is_some)
    }
}

/// Replays a trace of a scenario's service.
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
    replay.close()
}

/// The service that a scenario describes.
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
    base: Instant,
    now_ms: f64,
    next_tick_ms: f64,
    tables: Vec<ServiceTable>,
    baselines: Vec<Baseline>,
    box_ids: Vec<String>,
    data_centres: Vec<String>,
    judge: OutlierDetector,
    sent: Vec<Verdict>,
    ends: BinaryHeap<Reverse<End>>,
    held_ms: Vec<Vec<Option<f64>>>,
    held_ticks: Vec<u64>,
    ticks: u64,
    least_slots_in: u32,
    reports: u64,
}

/// Something that an attempt comes to at a time.
#[derive(Debug, Clone, Copy, PartialEq)]
struct End {
    at_ms: f64,
    box_index: usize,
    attempt: AttemptId,
    server: usize,
    kind: EndKind,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum EndKind {
    Head,
    Finish(AttemptOutcome),
}

impl Eq for End {}

impl Ord for End {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at_ms.total_cmp(&other.at_ms)
    }
}

impl PartialOrd for End {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Replay {
    fn new(scenario: &Scenario, decider: Decider) -> Self {
        let service = Arc::new(service_of(scenario));
        let base = Instant::now();
        let boxes = scenario.boxes;
        let home: Vec<String> = (0..boxes).map(|i| data_centre(scenario, i)).collect();
        let table =
            |home: &String| ServiceTable::new(service.clone(), 1, home, boxes as u32);
        let quiet = Verdict {
            service_tag: 1,
            standings: Vec::new(),
        };
        Self {
            decider,
            base,
            now_ms: 0.0,
            next_tick_ms: 0.0,
            tables: home.iter().map(table).collect(),
            baselines: (0..boxes)
                .map(|_| Baseline::new(decider, scenario.servers))
                .collect(),
            box_ids: (0..boxes).map(|index| format!("box-{index:02}")).collect(),
            judge: OutlierDetector::new(&service, 1, None, base),
            sent: vec![quiet; boxes],
            ends: BinaryHeap::new(),
            held_ms: vec![vec![None; boxes]; scenario.servers],
            held_ticks: vec![0; scenario.servers],
            ticks: 0,
            least_slots_in: service.slots(),
            reports: 0,
            data_centres: home,
        }
    }

    fn begin(&mut self, observation: &Observation) {
        let now = self.instant(observation.at_ms);
        let (box_index, server) = (observation.box_index, observation.server);
        let attempt = self.tables[box_index].begin(server, now);
        let mut end = |after_ms: f64, kind: EndKind| {
            let at_ms = observation.at_ms + after_ms;
            self.ends.push(Reverse(End {
                at_ms,
                box_index,
                attempt,
                server,
                kind,
            }));
        };
        if observation.body_stalls {
            end(HEAD_MS, EndKind::Head);
        }
        match observation.took_ms.filter(|took| *took < DEADLINE_MS) {
            None => end(DEADLINE_MS, EndKind::Finish(AttemptOutcome::Abandoned)),
            Some(took) if observation.error => {
                end(took, EndKind::Finish(AttemptOutcome::Failed));
            }
            Some(took) => end(took, EndKind::Finish(AttemptOutcome::Answered)),
        }
    }

    fn advance_to(&mut self, at_ms: f64) {
        loop {
            let next_end = self.ends.peek().map_or(f64::INFINITY, |end| end.0.at_ms);
            let next = next_end.min(self.next_tick_ms);
            if next > at_ms {
                break;
            }
            self.now_ms = next;
            if next_end <= self.next_tick_ms {
                self.end_one();
            } else {
                self.tick();
                self.next_tick_ms += EVIDENCE_TICK.as_secs_f64() * 1000.0;
            }
        }
        self.now_ms = at_ms;
    }

    fn end_one(&mut self) {
        let Some(Reverse(end)) = self.ends.pop() else {
            return;
        };
        let now = self.instant(end.at_ms);
        let table = &mut self.tables[end.box_index];
        match end.kind {
            EndKind::Head => {
                table.record_response_head(end.attempt, AttemptOutcome::Answered, now)
            }
            EndKind::Finish(outcome) => {
                table.finish(end.attempt, outcome, now);
                let good = outcome == AttemptOutcome::Answered;
                self.baselines[end.box_index].end(end.server, good, end.at_ms);
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
                self.judge
                    .record_report(&self.box_ids[index], home, &report, now);
                let verdict = self.judge.verdict(home);
                self.tables[index].apply(&verdict, now);
                self.sent[index] = verdict;
            }
        }
        if self.decider == Decider::Wingspur {
            self.step_judge(now);
        }
        self.look(now);
    }

    fn step_judge(&mut self, now: Instant) {
        self.judge.tick(now);
        if let Some(record) = self.judge.pending_record() {
            self.judge.apply_record(record, now);
        }
        self.least_slots_in = self.least_slots_in.min(self.judge.available_slots());
        for index in 0..self.tables.len() {
            let verdict = self.judge.verdict(&self.data_centres[index]);
            if verdict != self.sent[index] {
                self.tables[index].apply(&verdict, now);
                self.sent[index] = verdict;
            }
        }
    }

    /// Notes which boxes hold which servers back.
    fn look(&mut self, now: Instant) {
        self.ticks += 1;
        for (index, table) in self.tables.iter().enumerate() {
            for server in 0..self.held_ms.len() {
                let held = match self.decider {
                    Decider::Wingspur | Decider::OwnEvidence => {
                        table.ejection_state(server, now) != EjectionState::Active
                    }
                    Decider::ConsecutiveErrors | Decider::SuccessRate => {
                        self.baselines[index].is_out(server, self.now_ms)
                    }
                };
                if held {
                    self.held_ticks[server] += 1;
                    self.held_ms[server][index].get_or_insert(self.now_ms);
                }
            }
        }
    }

    fn close(self) -> ReplayReport {
        let looks = (self.ticks * self.tables.len() as u64).max(1) as f64;
        let share = |ticks: &u64| *ticks as f64 / looks;
        ReplayReport {
            held_share: self.held_ticks.iter().map(share).collect(),
            held_ms: self.held_ms,
            least_slots_in: self.least_slots_in,
            reports: self.reports,
        }
    }

    fn instant(&self, at_ms: f64) -> Instant {
        self.base + Duration::from_secs_f64(at_ms / 1000.0)
    }
}

fn data_centre(scenario: &Scenario, index: usize) -> String {
    format!("data-centre-{}", index % scenario.data_centres.max(1))
}

/// A head that comes before its body stalls takes this long.
const HEAD_MS: f64 = 10.0;
