//! Simulates requests to servers that each become faulty for some seconds, from a fleet of
//! boxes that exchange tallies over one hub, in virtual time. Guards against losing too
//! many of these requests, and against several failures for each time a server is faulty.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wingspur_coordination::{LinkKind, Rollup, TallyUpdateReader};
use wingspur_protocol::TallyUpdate;
use wingspur_state::{
    AttemptId, Balancer, BoxPosition, CoverageRole, ExpectedLatency, FleetRetryBudget,
    HealthOutcome, PickRequest, RetryBudgetSettings, ServerKey, ServerRecord,
    ServiceLoad, ServiceTime,
};

/// A service whose servers become faulty for a while, each at its own times.
#[derive(Debug, Clone, Copy)]
struct Plan {
    boxes: usize,
    servers: usize,
    requests_per_s: f64,
    /// The fraction of servers that is faulty at any time, and the mean duration of a
    /// fault.
    faulty_ratio: f64,
    fault_ms: f64,
    /// The fraction of its requests that a faulty server fails.
    faulty_failure_ratio: f64,
    /// The interval at which the hub sends updates to each member.
    update_interval_ms: u64,
    /// The unreported requests that a box assumes, in seconds of all requests.
    unreported_s: f64,
    /// The fraction of the requests that may be sent again if they fail.
    retry_safe_ratio: f64,
    /// Whether all faults last equally long.
    equal_faults: bool,
    /// The number of boxes that are lost in the middle of the simulation.
    lost_boxes: usize,
    positions: Positions,
    seed: u64,
}

/// The positions by which the boxes own probes of idle servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Positions {
    /// One hub has assigned all of them.
    Assigned,
    /// No hub has assigned any.
    Missing,
    /// A hub assigns them in the middle of the simulation.
    Late,
    /// Each of two hubs has assigned those of half of the boxes.
    Overlapping,
}

/// The results of a simulation.
#[derive(Debug, Default)]
struct Outcome {
    sent: usize,
    failed: usize,
    /// Requests that found all slots of their server in use.
    queued: usize,
    /// The minimum fraction of the healthy servers that was sent requests in any two
    /// seconds in which more than a tenth of the requests failed; `None` if there were
    /// none.
    min_used_ratio: Option<f64>,
    /// Faults during which a request failed, and the requests that failed during them.
    faults_met: usize,
    failed_in_faults: usize,
    /// Those of them that were idle probes, and all idle probes.
    failed_probes: usize,
    probes: usize,
    /// Those sent before the boxes could know of the first failure of the fault.
    failed_unaware: usize,
    /// The mean and the minimum fraction of the servers, healthy for two seconds, that
    /// were sent requests in two seconds.
    mean_calm_used_ratio: f64,
    min_calm_used_ratio: f64,
    calm_checks: usize,
    /// The same minimum among those of them without requests in flight.
    min_unoccupied_used_ratio: f64,
}

/// A request in flight.
struct InFlight {
    sent_ms: u64,
    ends_ms: u64,
    at: usize,
    server: usize,
    id: AttemptId,
    is_idle_probe: bool,
    retry_safe: bool,
}

struct Play {
    plan: Plan,
    start: Instant,
    random: StdRng,
    boxes: Vec<Balancer>,
    readers: Vec<TallyUpdateReader>,
    hub: Rollup,
    numbers: HashMap<ServerKey, usize>,
    /// Whether each server is faulty, and until when that lasts.
    faulty: Vec<(bool, u64)>,
    in_flight: VecDeque<InFlight>,
    in_use: Vec<u32>,
    /// The request counts of the service, as if each box knew of all requests at once.
    budget: FleetRetryBudget,
    /// When each server was last sent a request, and since when it is healthy or faulty.
    sent_ms: Vec<u64>,
    state_since_ms: Vec<u64>,
    /// The requests that failed during each server's present fault.
    failed_in_fault: Vec<usize>,
    /// When the first of them ended.
    first_failure_ms: Vec<u64>,
    /// The recently ended requests: the time, and whether they failed.
    ended: VecDeque<(u64, bool)>,
    outcome: Outcome,
}

const STEP_MS: u64 = 5;
const WORK_MS: u64 = 230;
const SLOTS: u32 = 3;
/// The interval at which a box sends updates to its hub.
const UPDATE_INTERVAL_MS: u64 = 50;
/// The maximum number of servers in a frame.
const MAX_SERVERS_PER_FRAME: usize = 300;
const END_MS: u64 = 20_000;
/// When boxes are lost, and when late positions are assigned.
const CHANGE_MS: u64 = 11_000;
/// Failures count from this time on, because the boxes know nothing at the start.
const COUNTED_FROM_MS: u64 = 4_000;
/// The failure ratio of a healthy server.
const HEALTHY_FAILURE_RATIO: f64 = 0.012;
/// The window in which the floor is checked, for the servers that are healthy for as
/// long.
const FLOOR_MS: u64 = 2_000;
const FLOOR_RATIO: f64 = 0.7;

fn record(n: usize) -> ServerRecord {
    ServerRecord {
        id: format!("i-{n}"),
        born_ms: 0,
        service: "svc".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "dc-1".into(),
        slots: SLOTS,
        leaving: false,
        cold_ms: 0,
    }
}

impl Play {
    fn new(plan: Plan) -> Self {
        let start = Instant::now();
        let mut random = StdRng::seed_from_u64(plan.seed);
        let records: Vec<_> = (0..plan.servers).map(record).collect();
        let mut boxes = Vec::new();
        let mut hub = Rollup::new(1_000_000);
        for at in 0..plan.boxes {
            let mut balancer = Balancer::new("dc-1".into());
            for record in &records {
                balancer.upsert(record.clone(), start);
            }
            balancer.set_coverage_role(coverage_role(&plan, at, 0));
            boxes.push(balancer);
            hub.add_link(at as u64 + 1, LinkKind::Member);
        }
        let faulty = (0..plan.servers).map(|_| {
            let is_faulty = random.random_bool(plan.faulty_ratio);
            (is_faulty, state_duration_ms(&plan, is_faulty, &mut random))
        });
        Self {
            faulty: faulty.collect(),
            plan,
            start,
            readers: (0..plan.boxes)
                .map(|_| TallyUpdateReader::default())
                .collect(),
            boxes,
            hub,
            numbers: records.iter().map(ServerRecord::key).zip(0..).collect(),
            in_flight: VecDeque::new(),
            in_use: vec![0; plan.servers],
            budget: FleetRetryBudget::new(RetryBudgetSettings::default()),
            sent_ms: vec![0; plan.servers],
            state_since_ms: vec![0; plan.servers],
            failed_in_fault: vec![0; plan.servers],
            first_failure_ms: vec![0; plan.servers],
            ended: VecDeque::new(),
            outcome: Outcome {
                min_calm_used_ratio: 1.0,
                min_unoccupied_used_ratio: 1.0,
                ..Outcome::default()
            },
            random,
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn play(mut self) -> Outcome {
        for ms in (0..END_MS).step_by(STEP_MS as usize) {
            if ms == CHANGE_MS {
                self.lose_boxes();
                for (at, balancer) in self.boxes.iter_mut().enumerate() {
                    balancer.set_coverage_role(coverage_role(&self.plan, at, ms));
                }
            }
            self.turn(ms);
            self.end_requests(ms);
            let mean = self.plan.requests_per_s * STEP_MS as f64 / 1000.0;
            let has_extra = self.random.random::<f64>() < mean.fract();
            for _ in 0..mean as usize + usize::from(has_extra) {
                self.send(ms);
            }
            if ms % UPDATE_INTERVAL_MS == 0 {
                self.send_to_hub();
                self.check_floor(ms);
                self.check_calm_use(ms);
            }
            self.send_to_members(ms);
        }
        let checks = self.outcome.calm_checks.max(1) as f64;
        self.outcome.mean_calm_used_ratio /= checks;
        self.outcome
    }

    /// Ends boxes, with what they have in flight; the others are not told.
    fn lose_boxes(&mut self) {
        let left = self.boxes.len() - self.plan.lost_boxes;
        self.boxes.truncate(left);
        for in_flight in self.in_flight.iter().filter(|request| request.at >= left) {
            self.in_use[in_flight.server] -= 1;
        }
        self.in_flight.retain(|request| request.at < left);
    }

    /// Makes servers faulty or healthy when their time has come.
    fn turn(&mut self, ms: u64) {
        for (n, (is_faulty, until)) in self.faulty.iter_mut().enumerate() {
            if ms >= *until {
                let failed = std::mem::take(&mut self.failed_in_fault[n]);
                if *is_faulty && self.state_since_ms[n] >= COUNTED_FROM_MS && failed > 0 {
                    self.outcome.faults_met += 1;
                    self.outcome.failed_in_faults += failed;
                }
                *is_faulty = !*is_faulty;
                *until = ms + state_duration_ms(&self.plan, *is_faulty, &mut self.random);
                self.state_since_ms[n] = ms;
            }
        }
    }

    /// Records which fraction of the healthy servers is in use while many requests fail.
    fn check_floor(&mut self, ms: u64) {
        let from = ms.saturating_sub(FLOOR_MS);
        while self.ended.front().is_some_and(|(at, _)| *at < from) {
            self.ended.pop_front();
        }
        let failed = self.ended.iter().filter(|(_, failed)| *failed).count();
        if ms < COUNTED_FROM_MS || failed * 10 <= self.ended.len() {
            return;
        }
        let is_healthy =
            |n: &usize| !self.faulty[*n].0 && self.state_since_ms[*n] <= from;
        let healthy: Vec<usize> = (0..self.plan.servers).filter(is_healthy).collect();
        let used = healthy.iter().filter(|n| self.sent_ms[**n] >= from).count();
        let used = used as f64 / healthy.len().max(1) as f64;
        let min_ratio = self.outcome.min_used_ratio.unwrap_or(1.0);
        self.outcome.min_used_ratio = Some(min_ratio.min(used));
    }

    /// Records which fraction of the healthy servers is in use, however many requests
    /// fail.
    fn check_calm_use(&mut self, ms: u64) {
        let from = ms.saturating_sub(FLOOR_MS);
        if ms < COUNTED_FROM_MS {
            return;
        }
        let is_healthy =
            |n: &usize| !self.faulty[*n].0 && self.state_since_ms[*n] <= from;
        let healthy: Vec<usize> = (0..self.plan.servers).filter(is_healthy).collect();
        let used_ratio = |servers: &[usize]| {
            let used = servers.iter().filter(|n| self.sent_ms[**n] >= from).count();
            used as f64 / servers.len().max(1) as f64
        };
        let unoccupied = healthy.iter().filter(|n| self.in_use[**n] == 0);
        let unoccupied: Vec<usize> = unoccupied.copied().collect();
        let (used, unoccupied) = (used_ratio(&healthy), used_ratio(&unoccupied));
        let outcome = &mut self.outcome;
        outcome.calm_checks += 1;
        outcome.mean_calm_used_ratio += used;
        outcome.min_calm_used_ratio = outcome.min_calm_used_ratio.min(used);
        outcome.min_unoccupied_used_ratio =
            outcome.min_unoccupied_used_ratio.min(unoccupied);
    }

    fn send(&mut self, ms: u64) {
        let (now, at) = (self.at(ms), self.random.random_range(0..self.boxes.len()));
        let retry_safe = self.plan.retry_safe_ratio > 0.0
            && self.random.random_bool(self.plan.retry_safe_ratio);
        let request = PickRequest {
            retry_safe,
            typical_latency: Duration::from_millis(WORK_MS),
            cross_data_centre_cost: Duration::from_millis(30),
            tried: &[],
            service_load: ServiceLoad {
                unreported_requests: self.plan.requests_per_s * self.plan.unreported_s,
                ..self.budget.service_load(now)
            },
        };
        self.budget.count_request(now);
        let pick = self.boxes[at]
            .pick(&request, now, &mut self.random)
            .unwrap();
        let key = pick.server.key();
        let server = self.numbers[&key];
        let expected = ExpectedLatency {
            baseline_ms: pick.baseline_ms,
            healthy_ms: pick.healthy_ms,
            service_time: ServiceTime::new(),
        };
        let id = self.boxes[at].begin(key, expected, now);
        self.in_use[server] += 1;
        self.sent_ms[server] = ms;
        if ms >= COUNTED_FROM_MS {
            self.outcome.sent += 1;
            self.outcome.queued += usize::from(self.in_use[server] > SLOTS);
        }
        self.in_flight.push_back(InFlight {
            sent_ms: ms,
            ends_ms: ms + WORK_MS,
            at,
            server,
            id,
            is_idle_probe: pick.probe.is_some(),
            retry_safe,
        });
        if ms >= COUNTED_FROM_MS {
            self.outcome.probes += usize::from(pick.probe.is_some());
        }
    }

    fn end_requests(&mut self, ms: u64) {
        while self
            .in_flight
            .front()
            .is_some_and(|in_flight| in_flight.ends_ms <= ms)
        {
            let in_flight = self.in_flight.pop_front().unwrap();
            self.in_use[in_flight.server] -= 1;
            let (is_faulty, _) = self.faulty[in_flight.server];
            let fails = if is_faulty {
                self.plan.faulty_failure_ratio
            } else {
                HEALTHY_FAILURE_RATIO
            };
            let fails = self.random.random_bool(fails);
            let ended = if fails {
                HealthOutcome::Failed
            } else {
                HealthOutcome::Good
            };
            let now = self.at(ms);
            self.boxes[in_flight.at].end(in_flight.id, ended, now);
            if fails && is_faulty {
                let first_failure_ms = &mut self.first_failure_ms[in_flight.server];
                if self.failed_in_fault[in_flight.server] == 0 {
                    *first_failure_ms = ms;
                }
                let known_ms = *first_failure_ms + self.plan.update_interval_ms;
                self.failed_in_fault[in_flight.server] += 1;
                if in_flight.sent_ms < known_ms {
                    self.outcome.failed_unaware += 1;
                } else {
                    self.outcome.failed_probes += usize::from(in_flight.is_idle_probe);
                }
            }
            // A request that may be sent again is presumed to succeed then.
            if fails && !in_flight.is_idle_probe && !in_flight.retry_safe {
                self.budget.count_failed_request(now);
            }
            self.ended.push_back((ms, fails));
            let is_counted = in_flight.ends_ms >= COUNTED_FROM_MS + WORK_MS;
            self.outcome.failed += usize::from(fails && is_counted);
        }
    }

    fn send_to_hub(&mut self) {
        for (at, balancer) in self.boxes.iter_mut().enumerate() {
            let servers = balancer.take_changes();
            if !servers.is_empty() {
                let digest = TallyUpdate {
                    source: at as u64 + 1,
                    servers,
                    ..TallyUpdate::default()
                };
                self.hub.receive(at as u64 + 1, &digest);
            }
        }
    }

    /// Sends updates to the members in turn, as a hub with many members does.
    fn send_to_members(&mut self, ms: u64) {
        let now = self.at(ms);
        for at in 0..self.boxes.len() {
            let interval_ms = self.plan.update_interval_ms;
            let turn = at as u64 * interval_ms / self.boxes.len() as u64;
            if ms % interval_ms != turn / STEP_MS * STEP_MS {
                continue;
            }
            for digest in self
                .hub
                .compose_within(at as u64 + 1, MAX_SERVERS_PER_FRAME)
            {
                let updates = self.readers[at].read(&digest);
                for (tally, counts) in updates.servers {
                    self.boxes[at].apply_remote(updates.source, tally, &counts, now);
                }
            }
        }
    }
}

/// Returns the role of a box at a time. Positions count boxes that have been lost, as they
/// do until the hub misses them.
fn coverage_role(plan: &Plan, at: usize, ms: u64) -> CoverageRole {
    let (index, count) = match plan.positions {
        Positions::Overlapping => (at / 2, plan.boxes.div_ceil(2)),
        Positions::Assigned | Positions::Late | Positions::Missing => (at, plan.boxes),
    };
    let is_assigned = match plan.positions {
        Positions::Assigned | Positions::Overlapping => true,
        Positions::Late => ms >= CHANGE_MS,
        Positions::Missing => false,
    };
    CoverageRole {
        key: at as u64 + 1,
        position: is_assigned.then_some(BoxPosition {
            index: index as u32,
            count: count as u32,
        }),
        fleet_boxes: plan.boxes,
    }
}

/// Draws how long a server stays faulty, or healthy.
fn state_duration_ms(plan: &Plan, is_faulty: bool, random: &mut StdRng) -> u64 {
    if is_faulty && plan.equal_faults {
        return plan.fault_ms as u64;
    }
    let healthy_duration_ms =
        plan.fault_ms * (1.0 - plan.faulty_ratio) / plan.faulty_ratio;
    let mean_ms = if is_faulty {
        plan.fault_ms
    } else {
        healthy_duration_ms
    };
    (-mean_ms * (1.0 - random.random::<f64>()).ln()) as u64
}

/// Guards against two failures: when a server was as good a pick as the others until it
/// had failed, a tenth of the requests failed; when all boxes picked the few servers with
/// the latest responses, a tenth of the requests found all slots in use.
#[test]
fn once_only_requests_go_to_servers_that_lately_answered() {
    for (boxes, servers, requests_per_s) in [(25, 375, 65.0), (50, 750, 130.0)] {
        let outcome = Play::new(Plan {
            boxes,
            servers,
            requests_per_s,
            faulty_ratio: 0.3,
            fault_ms: 9_000.0,
            faulty_failure_ratio: 0.75,
            update_interval_ms: 600,
            // One of five data centres, with updates from any of their hubs each 0.1 s.
            unreported_s: 0.02,
            retry_safe_ratio: 0.0,
            equal_faults: false,
            lost_boxes: 0,
            positions: Positions::Assigned,
            seed: 1,
        })
        .play();
        let failed = outcome.failed as f64 / outcome.sent as f64;
        assert!(failed <= 0.07, "{failed} failed: {outcome:?}");
        let queued = outcome.queued as f64 / outcome.sent as f64;
        assert!(queued <= 0.05, "{queued} queued: {outcome:?}");
    }
}

/// Idle servers are probed while many requests fail. The failures of the probes counted
/// as well and kept the failure ratio up, at 6.9%.
#[test]
fn losses_of_floor_tries_do_not_ask_for_more_of_them() {
    const SEEDS: u64 = 3;
    let play = |seed| {
        Play::new(Plan {
            boxes: 39,
            servers: 121,
            requests_per_s: 417.0,
            faulty_ratio: 0.3,
            fault_ms: 6_000.0,
            faulty_failure_ratio: 0.85,
            update_interval_ms: 300,
            unreported_s: 0.3,
            retry_safe_ratio: 0.0,
            equal_faults: false,
            lost_boxes: 0,
            positions: Positions::Assigned,
            seed,
        })
        .play()
    };
    let plays: Vec<Outcome> = (1..=SEEDS).map(play).collect();
    let failed: usize = plays.iter().map(|outcome| outcome.failed).sum();
    let sent: usize = plays.iter().map(|outcome| outcome.sent).sum();
    assert!(
        failed * 1_000 <= sent * 62,
        "{failed} of {sent} failed: {plays:?}"
    );
    let min_used_ratio = plays.iter().filter_map(|outcome| outcome.min_used_ratio);
    for used in min_used_ratio {
        assert!(used >= FLOOR_RATIO, "{used} in use: {plays:?}");
    }
}

/// A fleet in front of many servers, each of which gets less than a request a second.
fn sparse_plan(fault_ms: f64, retry_safe_ratio: f64, seed: u64) -> Plan {
    Plan {
        boxes: 39,
        servers: 280,
        requests_per_s: 250.0,
        faulty_ratio: 0.3,
        fault_ms,
        faulty_failure_ratio: 0.85,
        update_interval_ms: 200,
        unreported_s: 0.1,
        retry_safe_ratio,
        equal_faults: true,
        lost_boxes: 0,
        positions: Positions::Assigned,
        seed,
    }
}

/// Returns the requests that failed for each fault met, over some simulations.
fn failed_per_fault(outcomes: &[Outcome]) -> f64 {
    let failed: usize = outcomes
        .iter()
        .map(|outcome| outcome.failed_in_faults)
        .sum();
    let met: usize = outcomes.iter().map(|outcome| outcome.faults_met).sum();
    failed as f64 / met as f64
}

/// Guards against several requests lost to one fault: by several boxes that probe a
/// server at once, and by probes of servers that have just failed. When each box drew its
/// probes at random, 1.5, 2.4 and 3.3 (once-only requests only) or 1.5, 2.4 and 3.8
/// (half of the requests retry-safe) failed for each fault of 2, 5 and 9 s.
#[test]
fn few_requests_fail_for_each_fault() {
    let max_failed = [
        (2_000.0, 0.0, 1.4),
        (2_000.0, 0.5, 1.4),
        (5_000.0, 0.0, 1.5),
        (5_000.0, 0.5, 1.7),
        (9_000.0, 0.0, 2.5),
        (9_000.0, 0.5, 2.8),
    ];
    for (fault_ms, retry_safe_ratio, max) in max_failed {
        let plays = (1..=2)
            .map(|seed| Play::new(sparse_plan(fault_ms, retry_safe_ratio, seed)).play());
        let plays: Vec<Outcome> = plays.collect();
        let failed = failed_per_fault(&plays);
        println!("{fault_ms} ms, {retry_safe_ratio} retry-safe: {failed:.2}, {plays:?}");
        assert!(
            failed <= max,
            "{failed} failed for each fault of {fault_ms} ms: {plays:?}"
        );
        for used in plays.iter().map(|outcome| outcome.min_calm_used_ratio) {
            assert!(used >= FLOOR_RATIO, "{used} in use: {plays:?}");
        }
    }
}

/// Guards against owners whose loss leaves servers without probes, and against positions
/// that lead to many probes of a server or to none.
#[test]
fn servers_are_in_use_whatever_boxes_are_lost_and_whatever_their_positions() {
    let cases = [
        (Positions::Assigned, 13),
        (Positions::Missing, 0),
        (Positions::Missing, 13),
        (Positions::Late, 0),
        (Positions::Overlapping, 0),
        (Positions::Overlapping, 13),
    ];
    for (positions, lost_boxes) in cases {
        let outcome = Play::new(Plan {
            positions,
            lost_boxes,
            ..sparse_plan(5_000.0, 0.5, 1)
        })
        .play();
        let failed = failed_per_fault(std::slice::from_ref(&outcome));
        println!("{positions:?}, {lost_boxes} lost: {failed:.2}, {outcome:?}");
        let used = outcome.min_calm_used_ratio;
        assert!(used >= FLOOR_RATIO, "{used} in use: {outcome:?}");
        assert!(
            failed <= 2.3,
            "{failed} failed for each fault with positions {positions:?}: {outcome:?}"
        );
    }
}
