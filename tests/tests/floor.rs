//! Enough servers are in use while a good part of the requests is lost: played over whole
//! fleets whose boxes hear of each other late.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wingspur_state::{
    AttemptId, Balancer, ExpectedLatency, HealthOutcome, IdleProbeInputs, IdleServer,
    KeyedTally, PickRequest, ServerKey, ServerRecord, ServerTally, ServiceLoad,
    ServiceTime, pick_idle_probe,
};

/// A fleet of boxes before one service.
#[derive(Debug, Clone, Copy)]
struct Plan {
    boxes: usize,
    servers: usize,
    /// Servers that join after two seconds, and are cold for three.
    joining: usize,
    /// The share of the others that fails most of its work.
    sick_share: f64,
    requests_per_s: f64,
    seed: u64,
}

/// What a box tells the others, and when they hear it.
struct News {
    due_ms: u64,
    from: usize,
    changes: Vec<KeyedTally>,
}

/// What is under way in a fleet.
struct Fleet {
    plan: Plan,
    start: Instant,
    random: StdRng,
    boxes: Vec<Balancer>,
    ends: VecDeque<(u64, usize, usize, AttemptId)>,
    updates: VecDeque<News>,
    told: Vec<Vec<ServerTally>>,
    /// When each server was sent requests, in milliseconds.
    sent_ms: Vec<Vec<u64>>,
}

const WORK_MS: u64 = 150;
const NEWS_MS: u64 = 150;
const STEP_MS: u64 = 5;
const JOIN_MS: u64 = 2_000;
const END_MS: u64 = 9_000;
/// The span over which the floor is judged, and from when: two seconds after the joining.
const WINDOW_MS: u64 = 2_000;
const JUDGED_MS: u64 = JOIN_MS + WINDOW_MS;
const FLOOR_SHARE: f64 = 0.7;

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

fn key(n: usize) -> ServerKey {
    record(n, 0).key()
}

impl Fleet {
    fn new(plan: Plan) -> Self {
        let start = Instant::now();
        let all = plan.servers + plan.joining;
        let mut boxes = Vec::new();
        for _ in 0..plan.boxes {
            let mut balancer = Balancer::new("dc-1".into());
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
            told: vec![vec![ServerTally::default(); all]; plan.boxes],
            sent_ms: vec![Vec::new(); all],
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn is_sick(&self, server: usize) -> bool {
        let sick = (self.plan.servers as f64 * self.plan.sick_share) as usize;
        server < sick
    }

    fn play(mut self) -> Self {
        for ms in (0..END_MS).step_by(STEP_MS as usize) {
            if ms == JOIN_MS {
                self.join(ms);
            }
            self.end_attempts(ms);
            self.deliver(ms);
            let mean = self.plan.requests_per_s * STEP_MS as f64 / 1000.0;
            let more = self.random.random::<f64>() < mean.fract();
            for _ in 0..mean as usize + usize::from(more) {
                self.send(ms);
            }
            if ms % 50 == 0 {
                self.tell(ms);
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
        let want = PickRequest {
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
        let pick = self.boxes[at].pick(&want, now, &mut self.random).unwrap();
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
            let fails = self.is_sick(server) && self.random.random_bool(0.6);
            let ended = if fails {
                HealthOutcome::Failed
            } else {
                HealthOutcome::Good
            };
            let now = self.at(ms);
            self.boxes[at].end(id, ended, now);
        }
    }

    fn tell(&mut self, ms: u64) {
        for at in 0..self.boxes.len() {
            let changes = self.boxes[at].take_changes();
            if !changes.is_empty() {
                self.updates.push_back(News {
                    due_ms: ms + NEWS_MS,
                    from: at,
                    changes,
                });
            }
        }
    }

    fn deliver(&mut self, ms: u64) {
        while self
            .updates
            .front()
            .is_some_and(|updates| updates.due_ms <= ms)
        {
            let News { from, changes, .. } = self.updates.pop_front().unwrap();
            for (told, tally) in changes {
                let n = (0..self.sent_ms.len()).find(|n| key(*n) == told).unwrap();
                let updates = tally.since(&self.told[from][n]);
                self.told[from][n] = tally;
                let now = self.at(ms);
                for to in (0..self.boxes.len()).filter(|to| *to != from) {
                    let source = from as u64 + 1;
                    self.boxes[to].apply_remote(source, (told, tally), &updates, now);
                }
            }
        }
    }

    /// The least share of some servers that was sent requests in any two seconds.
    fn least_used(&self, servers: &[usize]) -> f64 {
        let windows = (JUDGED_MS..=END_MS).step_by(50);
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
        sick_share: 0.25,
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
            let well: Vec<usize> = (0..all).filter(|n| !fleet.is_sick(*n)).collect();
            let joined: Vec<usize> = (plan.servers..all).collect();
            for (name, group) in [("well", well), ("joined", joined)] {
                let least = fleet.least_used(&group);
                assert!(
                    least >= FLOOR_SHARE,
                    "{name}: {least}, {plan:?} seed {seed}"
                );
            }
        }
    }
}

/// A service that loses an eighth of its requests.
fn losing(requests_per_s: f64) -> IdleProbeInputs {
    IdleProbeInputs {
        retry_safe: false,
        service_load: ServiceLoad {
            requests_per_s,
            failure_ratio: 0.12,
            unreported_requests: 0.0,
        },
    }
}

/// Servers by number; those from `rested` on were unused for `unused_for`.
fn servers(count: usize, rested: usize, unused_for: Duration) -> Vec<IdleServer<usize>> {
    let server = |n: usize| IdleServer {
        key: n,
        idle_for: if n < rested {
            Duration::ZERO
        } else {
            unused_for
        },
        failure_probability: 0.05,
        is_eligible: true,
    };
    (0..count).map(server).collect()
}

#[test]
fn a_server_of_which_no_news_comes_is_tried_surely_and_then_not_flooded() {
    const REQUESTS_PER_S: f64 = 1_000.0;
    const DRAWS: usize = 2_000;
    let mut random = StdRng::seed_from_u64(5);
    let mut tries_per_s = |unused_ms: u64| {
        let servers = servers(100, 99, Duration::from_millis(unused_ms));
        let tries = (0..DRAWS).filter(|_| {
            pick_idle_probe(&servers, &losing(REQUESTS_PER_S), &mut random) == Some(99)
        });
        tries.count() as f64 / DRAWS as f64 * REQUESTS_PER_S
    };
    let until_sure: f64 = (1_000..1_800).step_by(50).map(&mut tries_per_s).sum();
    let tries = until_sure * 0.05;
    assert!(tries >= 7.0, "{tries} tries within 0.8 s");
    for unused_ms in (1_850..10_000).step_by(200) {
        let tries = tries_per_s(unused_ms);
        assert!(tries <= 10.0, "{tries} a second after {unused_ms} ms");
    }
}

#[test]
fn also_the_most_doubtful_servers_are_in_use_while_a_good_part_is_lost() {
    const REQUESTS_PER_MS: usize = 1;
    const DOUBTED: usize = 80;
    let mut random = StdRng::seed_from_u64(6);
    let mut servers = servers(100, 100, Duration::ZERO);
    for (n, server) in servers.iter_mut().enumerate().take(DOUBTED) {
        server.failure_probability = 0.6 - n as f64 / 200.0;
    }
    let mut sent_ms = vec![vec![0u64]; servers.len()];
    for ms in 0..END_MS {
        for _ in 0..REQUESTS_PER_MS {
            let tried = pick_idle_probe(&servers, &losing(1_000.0), &mut random);
            // Those that are not doubted are picked all the time.
            let n = tried.unwrap_or(random.random_range(DOUBTED..servers.len()));
            servers[n].idle_for = Duration::ZERO;
            sent_ms[n].push(ms);
        }
        for server in &mut servers {
            server.idle_for += Duration::from_millis(1);
        }
    }
    let most_doubted = &sent_ms[..20];
    for end in (JUDGED_MS..END_MS).step_by(50) {
        let in_window = |ms: &u64| (end - WINDOW_MS..end).contains(ms);
        let used = most_doubted
            .iter()
            .filter(|sent| sent.iter().any(in_window));
        let used = used.count() as f64 / most_doubted.len() as f64;
        assert!(used >= FLOOR_SHARE, "{used} in use before {end} ms");
    }
    let tries: usize = sent_ms[..DOUBTED].iter().map(Vec::len).sum();
    let most = DOUBTED * 5 * END_MS as usize / 1_000 / 5;
    assert!(
        tries <= most,
        "{tries} tries of doubtful servers, at most {most}"
    );
}

/// A sudden loss makes the two seconds before it ones in which many requests were not served, and
/// of the servers that had nothing out at that moment, 7 of 15 had been sent nothing for two
/// seconds: doubted after a failure or two, then trusted again, they had rested for up to ten.
#[test]
fn servers_that_were_doubted_for_a_while_do_not_rest_in_calm_times() {
    const REQUESTS_PER_MS: usize = 1;
    const DOUBTED: usize = 40;
    let mut random = StdRng::seed_from_u64(8);
    let mut servers = servers(100, 100, Duration::ZERO);
    for (n, server) in servers.iter_mut().enumerate().take(DOUBTED) {
        server.failure_probability = 0.34 - n as f64 * 0.006;
    }
    let calm = IdleProbeInputs {
        service_load: ServiceLoad {
            failure_ratio: 0.02,
            ..losing(1_000.0).service_load
        },
        ..losing(1_000.0)
    };
    let mut sent_ms = vec![vec![0u64]; servers.len()];
    for ms in 0..END_MS {
        for _ in 0..REQUESTS_PER_MS {
            let tried = pick_idle_probe(&servers, &calm, &mut random);
            // Those that are not doubted are picked all the time.
            let n = tried.unwrap_or(random.random_range(DOUBTED..servers.len()));
            servers[n].idle_for = Duration::ZERO;
            sent_ms[n].push(ms);
        }
        for server in &mut servers {
            server.idle_for += Duration::from_millis(1);
        }
    }
    for end in (JUDGED_MS..END_MS).step_by(50) {
        let in_window = |ms: &u64| (end - WINDOW_MS..end).contains(ms);
        let used = sent_ms[..DOUBTED]
            .iter()
            .filter(|sent| sent.iter().any(in_window));
        let used = used.count() as f64 / DOUBTED as f64;
        assert!(used >= FLOOR_SHARE, "{used} in use before {end} ms");
    }
    // Once in two seconds on average: more failures would be bought than the floor needs.
    let tries: usize = sent_ms[..DOUBTED].iter().map(Vec::len).sum();
    let most = DOUBTED * END_MS as usize / 1_000 * 6 / 10;
    assert!(
        tries <= most,
        "{tries} tries of doubted servers, at most {most}"
    );
}
