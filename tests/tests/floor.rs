//! Guards against too few servers in use while a large part of the requests fails: 70% of
//! any group of healthy servers must be sent requests in any two seconds (the floor).
//! Simulates fleets whose boxes receive each other's tallies late.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wingspur_state::{
    AttemptId, Balancer, BoxPosition, CoverageInputs, CoverageRole, ExpectedLatency,
    HealthOutcome, IdleServer, KeyedTally, PickRequest, ServerKey, ServerRecord,
    ServerTally, ServiceLoad, ServiceTime, pick_owned_probe,
};

/// A fleet of boxes before one service.
#[derive(Debug, Clone, Copy)]
struct Plan {
    boxes: usize,
    servers: usize,
    /// Servers that join after two seconds, and are cold for three.
    joining: usize,
    /// The fraction of the other servers that is faulty and fails most requests.
    faulty_ratio: f64,
    requests_per_s: f64,
    seed: u64,
}

/// The tallies that a box sends to the others, and when they receive them.
struct Update {
    due_ms: u64,
    from: usize,
    changes: Vec<KeyedTally>,
}

/// The state of a simulated fleet.
struct Fleet {
    plan: Plan,
    start: Instant,
    random: StdRng,
    boxes: Vec<Balancer>,
    ends: VecDeque<(u64, usize, usize, AttemptId)>,
    updates: VecDeque<Update>,
    reported: Vec<Vec<ServerTally>>,
    /// When each server was sent requests, in milliseconds.
    sent_ms: Vec<Vec<u64>>,
}

const WORK_MS: u64 = 150;
const UPDATE_DELAY_MS: u64 = 150;
const STEP_MS: u64 = 5;
const JOIN_MS: u64 = 2_000;
const END_MS: u64 = 9_000;
/// The window in which the floor is checked, and the time from which it is: two seconds
/// after servers join.
const WINDOW_MS: u64 = 2_000;
const CHECKED_FROM_MS: u64 = JOIN_MS + WINDOW_MS;
const FLOOR_RATIO: f64 = 0.7;

fn record(n: usize, cold_ms: u64) -> ServerRecord {
    ServerRecord {
        id: format!("i-{n}"),
        born_ms: 0,
        service: "svc".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "dc-1".into(),
        slots: 2,
        leaving: false,
        cold_ms,
    }
}

/// The role of a box in a fleet of one data centre.
fn role(at: usize, boxes: usize) -> CoverageRole {
    CoverageRole {
        key: at as u64 + 1,
        position: Some(BoxPosition {
            index: at as u32,
            count: boxes as u32,
        }),
        fleet_boxes: boxes,
    }
}

fn key(n: usize) -> ServerKey {
    record(n, 0).key()
}

impl Fleet {
    fn new(plan: Plan) -> Self {
        let start = Instant::now();
        let all = plan.servers + plan.joining;
        let mut boxes = Vec::new();
        for at in 0..plan.boxes {
            let mut balancer = Balancer::new("dc-1".into());
            balancer.set_coverage_role(role(at, plan.boxes));
            for n in 0..plan.servers {
                balancer.upsert(record(n, 0), start);
            }
            boxes.push(balancer);
        }
        Self {
            plan,
            start,
            random: StdRng::seed_from_u64(plan.seed),
            boxes,
            ends: VecDeque::new(),
            updates: VecDeque::new(),
            reported: vec![vec![ServerTally::default(); all]; plan.boxes],
            sent_ms: vec![Vec::new(); all],
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn is_faulty(&self, server: usize) -> bool {
        let faulty_count = (self.plan.servers as f64 * self.plan.faulty_ratio) as usize;
        server < faulty_count
    }

    fn play(mut self) -> Self {
        for ms in (0..END_MS).step_by(STEP_MS as usize) {
            if ms == JOIN_MS {
                self.join(ms);
            }
            self.end_attempts(ms);
            self.deliver_updates(ms);
            let mean = self.plan.requests_per_s * STEP_MS as f64 / 1000.0;
            let has_extra = self.random.random::<f64>() < mean.fract();
            for _ in 0..mean as usize + usize::from(has_extra) {
                self.send(ms);
            }
            if ms % 50 == 0 {
                self.send_updates(ms);
            }
        }
        self
    }

    fn join(&mut self, ms: u64) {
        let (first, now) = (self.plan.servers, self.at(ms));
        for n in first..first + self.plan.joining {
            for balancer in &mut self.boxes {
                balancer.upsert(record(n, 3_000), now);
            }
        }
    }

    fn send(&mut self, ms: u64) {
        let (now, at) = (self.at(ms), self.random.random_range(0..self.boxes.len()));
        let request = PickRequest {
            retry_safe: self.random.random(),
            typical_latency: Duration::from_millis(WORK_MS),
            cross_data_centre_cost: Duration::from_millis(30),
            tried: &[],
            service_load: ServiceLoad {
                requests_per_s: self.plan.requests_per_s,
                failure_ratio: 0.12,
                unreported_requests: 0.0,
            },
        };
        let pick = self.boxes[at]
            .pick(&request, now, &mut self.random)
            .unwrap();
        let server = (0..self.sent_ms.len())
            .find(|n| key(*n) == pick.server.key())
            .unwrap();
        let expected = ExpectedLatency {
            baseline_ms: pick.baseline_ms,
            healthy_ms: pick.healthy_ms,
            service_time: ServiceTime::new(),
        };
        let id = self.boxes[at].begin(key(server), expected, now);
        self.sent_ms[server].push(ms);
        self.ends.push_back((ms + WORK_MS, at, server, id));
    }

    fn end_attempts(&mut self, ms: u64) {
        while self.ends.front().is_some_and(|(due, ..)| *due <= ms) {
            let (_, at, server, id) = self.ends.pop_front().unwrap();
            let fails = self.is_faulty(server) && self.random.random_bool(0.6);
            let outcome = if fails {
                HealthOutcome::Failed
            } else {
                HealthOutcome::Good
            };
            let now = self.at(ms);
            self.boxes[at].end(id, outcome, now);
        }
    }

    fn send_updates(&mut self, ms: u64) {
        for at in 0..self.boxes.len() {
            let changes = self.boxes[at].take_changes();
            if !changes.is_empty() {
                self.updates.push_back(Update {
                    due_ms: ms + UPDATE_DELAY_MS,
                    from: at,
                    changes,
                });
            }
        }
    }

    fn deliver_updates(&mut self, ms: u64) {
        while self
            .updates
            .front()
            .is_some_and(|updates| updates.due_ms <= ms)
        {
            let Update { from, changes, .. } = self.updates.pop_front().unwrap();
            for (reported, tally) in changes {
                let n = (0..self.sent_ms.len())
                    .find(|n| key(*n) == reported)
                    .unwrap();
                let updates = tally.since(&self.reported[from][n]);
                self.reported[from][n] = tally;
                let now = self.at(ms);
                for to in (0..self.boxes.len()).filter(|to| *to != from) {
                    let source = from as u64 + 1;
                    self.boxes[to].apply_remote(source, (reported, tally), &updates, now);
                }
            }
        }
    }

    /// Returns the minimum fraction of some servers that was sent requests in any two
    /// seconds.
    fn min_used_ratio(&self, servers: &[usize]) -> f64 {
        let windows = (CHECKED_FROM_MS..=END_MS).step_by(50);
        let used_in = |end: u64| {
            let used = servers.iter().filter(|n| {
                let sent = &self.sent_ms[**n];
                sent.iter().any(|ms| (end - WINDOW_MS..end).contains(ms))
            });
            used.count() as f64 / servers.len() as f64
        };
        windows.map(used_in).fold(1.0, f64::min)
    }
}

#[test]
fn most_of_any_group_of_well_servers_is_used_in_any_two_seconds() {
    let plan = |boxes, servers, joining, requests_per_s| Plan {
        boxes,
        servers,
        joining,
        faulty_ratio: 0.25,
        requests_per_s,
        seed: 0,
    };
    let plans = [
        plan(12, 30, 4, 60.0),
        plan(36, 31, 6, 100.0),
        plan(40, 119, 6, 360.0),
        plan(24, 119, 20, 200.0),
    ];
    for plan in plans {
        for seed in 1..=4 {
            let fleet = Fleet::new(Plan { seed, ..plan }).play();
            let all = plan.servers + plan.joining;
            let healthy: Vec<usize> = (0..all).filter(|n| !fleet.is_faulty(*n)).collect();
            let joined: Vec<usize> = (plan.servers..all).collect();
            for (name, group) in [("healthy", healthy), ("joined", joined)] {
                let min_used = fleet.min_used_ratio(&group);
                assert!(
                    min_used >= FLOOR_RATIO,
                    "{name}: {min_used}, {plan:?} seed {seed}"
                );
            }
        }
    }
}

/// The inputs for a service that fails an eighth of its requests, at the only box.
fn losing(requests_per_s: f64) -> CoverageInputs {
    CoverageInputs {
        retry_safe: false,
        service_load: ServiceLoad {
            requests_per_s,
            failure_ratio: 0.12,
            unreported_requests: 0.0,
        },
        role: CoverageRole::default(),
    }
}

/// Returns numbered servers; those from `first_idle` on have been idle for `idle_time`.
fn servers(count: usize, first_idle: usize, idle_time: Duration) -> Vec<IdleServer> {
    let server = |n: usize| IdleServer {
        key: n as u64,
        idle_for: if n < first_idle {
            Duration::ZERO
        } else {
            idle_time
        },
        failure_probability: 0.05,
        failed_ago: None,
        is_local: true,
        is_eligible: true,
    };
    (0..count).map(server).collect()
}

/// Returns the times at which boxes that receive no reports probe a server, in
/// milliseconds after its last request. Each box knows its own probes only.
fn probes_without_reports(
    boxes: usize,
    server: u64,
    until_ms: u64,
    random: &mut StdRng,
) -> Vec<u64> {
    const REQUESTS_PER_MS: usize = 1;
    let mut last_used_ms = vec![0; boxes];
    let mut probes = Vec::new();
    for ms in 1_000..until_ms {
        for _ in 0..REQUESTS_PER_MS {
            let at = random.random_range(0..boxes);
            let inputs = CoverageInputs {
                role: role(at, boxes),
                ..losing(1_000.0)
            };
            let idle_for = Duration::from_millis(ms - last_used_ms[at]);
            let idle = IdleServer {
                key: server,
                ..servers(1, 0, idle_for)[0]
            };
            if pick_owned_probe(&[idle], &inputs, random).is_some() {
                last_used_ms[at] = ms;
                probes.push(ms);
            }
        }
    }
    probes
}

/// With seven probes expected at random, e to the power of -7 of the servers would get
/// none: 2 of 2,000. Three slots bear at most 10 probes a second.
#[test]
fn a_server_of_which_no_news_comes_is_tried_surely_and_then_not_flooded() {
    const SERVERS: u64 = 2_000;
    const MAX_UNTRIED: u64 = 2;
    const FLOODED: u64 = 200;
    let mut random = StdRng::seed_from_u64(5);
    for boxes in [39, 300] {
        let mut untried = 0;
        for server in 0..SERVERS {
            let probes = probes_without_reports(boxes, server, 1_800, &mut random);
            untried += u64::from(probes.is_empty());
        }
        assert!(
            untried <= MAX_UNTRIED,
            "{boxes} boxes: {untried} of {SERVERS} without a probe within 0.8 s"
        );
        let mut probes = Vec::new();
        for server in 0..FLOODED {
            probes.extend(probes_without_reports(boxes, server, 10_000, &mut random));
        }
        for from_ms in (1_850..9_000).step_by(50) {
            let within = from_ms..from_ms + 1_000;
            let count = probes.iter().filter(|ms| within.contains(*ms)).count();
            let per_s = count as f64 / FLOODED as f64;
            assert!(
                per_s <= 10.0,
                "{boxes} boxes: {per_s} probes in the second from {from_ms} ms on"
            );
        }
    }
}

#[test]
fn also_the_most_doubtful_servers_are_in_use_while_a_good_part_is_lost() {
    const REQUESTS_PER_MS: usize = 1;
    const DOUBTFUL: usize = 80;
    let mut random = StdRng::seed_from_u64(6);
    let mut servers = servers(100, 100, Duration::ZERO);
    for (n, server) in servers.iter_mut().enumerate().take(DOUBTFUL) {
        server.failure_probability = 0.6 - n as f64 / 200.0;
    }
    let mut sent_ms = vec![vec![0u64]; servers.len()];
    for ms in 0..END_MS {
        for _ in 0..REQUESTS_PER_MS {
            let probed = pick_owned_probe(&servers, &losing(1_000.0), &mut random);
            // The trusted servers are picked all the time.
            let n = probed.map_or_else(
                || random.random_range(DOUBTFUL..servers.len()),
                |probe| probe.key as usize,
            );
            servers[n].idle_for = Duration::ZERO;
            sent_ms[n].push(ms);
        }
        for server in &mut servers {
            server.idle_for += Duration::from_millis(1);
        }
    }
    let most_doubtful = &sent_ms[..20];
    for end in (CHECKED_FROM_MS..END_MS).step_by(50) {
        let in_window = |ms: &u64| (end - WINDOW_MS..end).contains(ms);
        let used = most_doubtful
            .iter()
            .filter(|sent| sent.iter().any(in_window));
        let used = used.count() as f64 / most_doubtful.len() as f64;
        assert!(used >= FLOOR_RATIO, "{used} in use before {end} ms");
    }
    let probes: usize = sent_ms[..DOUBTFUL].iter().map(Vec::len).sum();
    let max_probes = DOUBTFUL * 5 * END_MS as usize / 1_000 / 5;
    assert!(
        probes <= max_probes,
        "{probes} probes of doubtful servers, at most {max_probes}"
    );
}

/// The floor also counts for the two seconds before a sudden loss. Of the servers without
/// requests in flight then, 7 of 15 had been sent none for two seconds: doubtful after
/// one or two failures, then trusted again, they had been idle for up to ten seconds.
#[test]
fn servers_that_were_doubted_for_a_while_do_not_rest_in_calm_times() {
    const REQUESTS_PER_MS: usize = 1;
    const DOUBTFUL: usize = 40;
    let mut random = StdRng::seed_from_u64(8);
    let mut servers = servers(100, 100, Duration::ZERO);
    for (n, server) in servers.iter_mut().enumerate().take(DOUBTFUL) {
        server.failure_probability = 0.34 - n as f64 * 0.006;
        server.failed_ago = Some(Duration::from_secs(4));
    }
    let calm = CoverageInputs {
        service_load: ServiceLoad {
            failure_ratio: 0.02,
            ..losing(1_000.0).service_load
        },
        ..losing(1_000.0)
    };
    let mut sent_ms = vec![vec![0u64]; servers.len()];
    for ms in 0..END_MS {
        for _ in 0..REQUESTS_PER_MS {
            let probed = pick_owned_probe(&servers, &calm, &mut random);
            // The trusted servers are picked all the time.
            let n = probed.map_or_else(
                || random.random_range(DOUBTFUL..servers.len()),
                |probe| probe.key as usize,
            );
            servers[n].idle_for = Duration::ZERO;
            sent_ms[n].push(ms);
        }
        for server in &mut servers {
            server.idle_for += Duration::from_millis(1);
        }
    }
    for end in (CHECKED_FROM_MS..END_MS).step_by(50) {
        let in_window = |ms: &u64| (end - WINDOW_MS..end).contains(ms);
        let used = sent_ms[..DOUBTFUL]
            .iter()
            .filter(|sent| sent.iter().any(in_window));
        let used = used.count() as f64 / DOUBTFUL as f64;
        assert!(used >= FLOOR_RATIO, "{used} in use before {end} ms");
    }
    // Once in two seconds on average: more probes would cause more failures than the
    // floor requires.
    let probes: usize = sent_ms[..DOUBTFUL].iter().map(Vec::len).sum();
    let max_probes = DOUBTFUL * END_MS as usize / 1_000 * 6 / 10;
    assert!(
        probes <= max_probes,
        "{probes} probes of doubtful servers, at most {max_probes}"
    );
}

/// A fleet of any size in front of sound servers, whose boxes hear of each other's
/// requests late. Only the decision about probes is simulated.
#[derive(Debug, Clone, Copy)]
struct SoundFleet {
    boxes: usize,
    servers: usize,
    requests_per_s: f64,
    retry_safe_ratio: f64,
    report_delay_ms: u64,
    /// Boxes that are lost after `LOST_MS`; the positions of the others stay.
    lost_boxes: usize,
}

/// The probes of a simulation.
#[derive(Debug, Default)]
struct Coverage {
    /// Times at which a server had been without a request for two seconds, in parts of
    /// all times of all servers.
    uncovered_ratio: f64,
    /// Probes for each time that a server was due.
    probes_per_due: f64,
}

const LOST_MS: u64 = 4_000;

impl SoundFleet {
    fn play(self, seed: u64) -> Coverage {
        const WINDOW_MS: u64 = 2_000;
        const FIRST_DUE_MS: u64 = 900;
        let mut random = StdRng::seed_from_u64(seed);
        // The servers start at different times of a cycle.
        let mut used_ms: Vec<u64> = (0..self.servers)
            .map(|_| random.random_range(1_000..2_500))
            .collect();
        let mut reported_ms = used_ms.clone();
        let mut reports = VecDeque::new();
        let mut own_ms: HashMap<(usize, usize), u64> = HashMap::new();
        let (mut probes, mut dues, mut uncovered, mut checks) = (0, 0, 0, 0);
        for ms in 2_500..8_000 {
            while let Some((at_ms, server)) =
                reports.pop_front_if(|(at_ms, _)| *at_ms + self.report_delay_ms <= ms)
            {
                reported_ms[server] = at_ms;
            }
            let boxes = match ms < LOST_MS {
                true => self.boxes,
                false => self.boxes - self.lost_boxes,
            };
            let mean = self.requests_per_s / 1_000.0;
            let has_extra = random.random::<f64>() < mean.fract();
            for _ in 0..mean as usize + usize::from(has_extra) {
                let at = random.random_range(0..boxes);
                let idle_ms = |server: usize| {
                    let own = own_ms.get(&(at, server)).copied().unwrap_or_default();
                    ms.saturating_sub(own.max(reported_ms[server]))
                };
                let due =
                    (0..self.servers).filter(|n| ms - reported_ms[*n] >= FIRST_DUE_MS);
                let due = due.map(|n| IdleServer {
                    key: n as u64,
                    ..servers(1, 0, Duration::from_millis(idle_ms(n)))[0]
                });
                let due: Vec<IdleServer> = due.collect();
                let inputs = CoverageInputs {
                    retry_safe: random.random_bool(self.retry_safe_ratio),
                    role: role(at, self.boxes),
                    ..losing(self.requests_per_s)
                };
                let Some(probe) = pick_owned_probe(&due, &inputs, &mut random) else {
                    continue;
                };
                let server = probe.key as usize;
                probes += 1;
                dues += u64::from(ms - used_ms[server] >= FIRST_DUE_MS);
                used_ms[server] = ms;
                own_ms.insert((at, server), ms);
                reports.push_back((ms, server));
            }
            if ms >= 2_500 + WINDOW_MS && ms % 50 == 0 {
                checks += self.servers;
                uncovered += used_ms.iter().filter(|at| **at + WINDOW_MS < ms).count();
            }
        }
        Coverage {
            uncovered_ratio: uncovered as f64 / checks as f64,
            probes_per_due: probes as f64 / dues as f64,
        }
    }
}

/// Guards against sound servers that no box probes within two seconds, and against more
/// than two or three probes of one that is due: at all sizes, with late reports, and when a
/// third of the boxes is lost without notice.
#[test]
fn sound_servers_are_in_use_at_all_sizes_without_many_probes_each() {
    let fleet = |boxes, servers, requests_per_s| SoundFleet {
        boxes,
        servers,
        requests_per_s,
        retry_safe_ratio: 0.5,
        report_delay_ms: 150,
        lost_boxes: 0,
    };
    let fleets = [
        fleet(39, 50, 60.0),
        fleet(39, 280, 280.0),
        fleet(116, 341, 446.0),
        fleet(300, 1_000, 1_200.0),
    ];
    // A box decides on 4,000 servers for each request, which takes long in a debug build.
    let largest = fleet(300, 4_000, 4_000.0);
    let mut cases = vec![largest];
    for fleet in fleets {
        cases.extend([
            fleet,
            SoundFleet {
                retry_safe_ratio: 0.0,
                ..fleet
            },
            SoundFleet {
                report_delay_ms: 300,
                ..fleet
            },
            SoundFleet {
                lost_boxes: fleet.boxes / 3,
                ..fleet
            },
        ]);
    }
    for case in cases {
        let coverage = case.play(1);
        println!("{case:?}: {coverage:?}");
        assert!(coverage.uncovered_ratio <= 0.03, "{case:?}: {coverage:?}");
        assert!(coverage.probes_per_due <= 2.6, "{case:?}: {coverage:?}");
    }
}
