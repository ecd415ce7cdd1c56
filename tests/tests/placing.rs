//! Simulates a fleet of boxes that receive each other's tallies late, with the real
//! balancer and servers with slots and short queues. Guards against many boxes that pick
//! the same servers.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wingspur_state::{
    AttemptId, Balancer, ExpectedLatency, HealthOutcome, PickRequest, ServerKey,
    ServerRecord, ServerTally, ServiceLoad, ServiceTime,
};

/// The load and the fleet.
#[derive(Debug, Clone, Copy)]
struct Plan {
    boxes: usize,
    servers: usize,
    requests_per_s: f64,
    /// How often a box receives the tallies of the others, and how old they are then.
    update_interval_ms: u64,
    update_age_ms: u64,
    seed: u64,
}

/// A server that processes three requests at the same time and queues up to twelve.
#[derive(Debug, Default)]
struct Worker {
    running: usize,
    waiting: VecDeque<Sent>,
    arrivals: usize,
}

/// A request at a server.
#[derive(Debug, Clone, Copy)]
struct Sent {
    at_ms: u64,
    from: usize,
    id: AttemptId,
}

/// The counts and waits of the simulated requests.
#[derive(Debug, Default)]
struct Outcome {
    sent: usize,
    refused: usize,
    waits_ms: Vec<u64>,
    /// Arrivals at the busiest server, as a multiple of the mean.
    busiest: f64,
}

const SLOTS: usize = 3;
const QUEUE: usize = 12;
const MEAN_WORK_MS: f64 = 240.0;
const END_MS: u64 = 8_000;
const STEP_MS: u64 = 5;

fn record(n: usize) -> ServerRecord {
    ServerRecord {
        id: format!("i-{n}"),
        born_ms: 0,
        service: "svc".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "dc-1".into(),
        slots: SLOTS as u32,
        leaving: false,
        cold_ms: 0,
    }
}

struct Fleet {
    plan: Plan,
    start: Instant,
    random: StdRng,
    keys: Vec<ServerKey>,
    boxes: Vec<Balancer>,
    workers: Vec<Worker>,
    /// The last tally that each box has reported of each server.
    own: Vec<Vec<ServerTally>>,
    /// The recent sums over all boxes, oldest first.
    sums: VecDeque<(u64, Vec<ServerTally>)>,
    /// The sums of the other boxes that each box received last.
    received: Vec<Vec<ServerTally>>,
    /// The ends of the requests in progress: the time, the server and the request.
    ends: Vec<(u64, usize, Sent)>,
    outcome: Outcome,
}

impl Fleet {
    fn new(plan: Plan) -> Self {
        let start = Instant::now();
        let balancer = || {
            let mut balancer = Balancer::new("dc-1".into());
            (0..plan.servers).for_each(|n| balancer.upsert(record(n), start));
            balancer
        };
        let empty = vec![ServerTally::default(); plan.servers];
        Self {
            plan,
            start,
            random: StdRng::seed_from_u64(plan.seed),
            keys: (0..plan.servers).map(|n| record(n).key()).collect(),
            boxes: (0..plan.boxes).map(|_| balancer()).collect(),
            workers: (0..plan.servers).map(|_| Worker::default()).collect(),
            own: vec![empty.clone(); plan.boxes],
            sums: VecDeque::new(),
            received: vec![empty; plan.boxes],
            ends: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn play(mut self) -> Outcome {
        for ms in (0..END_MS).step_by(STEP_MS as usize) {
            self.finish(ms);
            let mean = self.plan.requests_per_s * STEP_MS as f64 / 1000.0;
            let has_extra = self.random.random::<f64>() < mean.fract();
            for _ in 0..mean as usize + usize::from(has_extra) {
                self.send(ms);
            }
            self.add_up(ms);
            for at in 0..self.boxes.len() {
                // The boxes receive updates at different times.
                let phase = at as u64 * STEP_MS % self.plan.update_interval_ms;
                if ms % self.plan.update_interval_ms == phase {
                    self.receive(at, ms);
                }
            }
        }
        let arrivals = self.workers.iter().map(|worker| worker.arrivals);
        let most = arrivals.clone().max().unwrap() as f64;
        let mean = arrivals.sum::<usize>() as f64 / self.workers.len() as f64;
        self.outcome.busiest = most / mean;
        self.outcome
    }

    fn send(&mut self, ms: u64) {
        let (now, from) = (self.at(ms), self.random.random_range(0..self.boxes.len()));
        let request = PickRequest {
            retry_safe: false,
            typical_latency: Duration::from_millis(MEAN_WORK_MS as u64),
            cross_data_centre_cost: Duration::from_millis(30),
            tried: &[],
            service_load: ServiceLoad {
                requests_per_s: self.plan.requests_per_s,
                failure_ratio: 0.02,
                unreported_requests: self.plan.requests_per_s
                    * self.plan.update_interval_ms as f64
                    / 1000.0,
            },
        };
        let pick = self.boxes[from]
            .pick(&request, now, &mut self.random)
            .unwrap();
        let n = self.number_of(pick.server.key());
        let expected = ExpectedLatency {
            baseline_ms: pick.baseline_ms,
            healthy_ms: pick.healthy_ms,
            service_time: ServiceTime::new(),
        };
        let id = self.boxes[from].begin(self.keys[n], expected, now);
        let sent = Sent {
            at_ms: ms,
            from,
            id,
        };
        self.outcome.sent += 1;
        self.workers[n].arrivals += 1;
        if self.workers[n].running < SLOTS {
            self.work(n, sent, ms);
        } else if self.workers[n].waiting.len() < QUEUE {
            self.workers[n].waiting.push_back(sent);
        } else {
            self.outcome.refused += 1;
            self.boxes[from].end(id, HealthOutcome::Refused, now);
        }
    }

    fn work(&mut self, n: usize, sent: Sent, ms: u64) {
        self.workers[n].running += 1;
        self.outcome.waits_ms.push(ms - sent.at_ms);
        let work_ms = MEAN_WORK_MS * self.random.random_range(0.4..1.6);
        self.ends.push((ms + work_ms as u64, n, sent));
    }

    fn finish(&mut self, ms: u64) {
        let (done, pending) = self.ends.drain(..).partition(|(due, ..)| *due <= ms);
        self.ends = pending;
        let done: Vec<(u64, usize, Sent)> = done;
        for (_, n, sent) in done {
            let now = self.at(ms);
            self.boxes[sent.from].end(sent.id, HealthOutcome::Good, now);
            self.workers[n].running -= 1;
            if let Some(next) = self.workers[n].waiting.pop_front() {
                self.work(n, next, ms);
            }
        }
    }

    fn add_up(&mut self, ms: u64) {
        let mut sums = match self.sums.back() {
            Some((_, sums)) => sums.clone(),
            None => vec![ServerTally::default(); self.keys.len()],
        };
        for at in 0..self.boxes.len() {
            for (key, tally) in self.boxes[at].take_changes() {
                let n = self.number_of(key);
                sums[n] = sums[n].minus(&self.own[at][n]).plus(&tally);
                self.own[at][n] = tally;
            }
        }
        self.sums.push_back((ms, sums));
        while self.sums[0].0 + self.plan.update_age_ms < ms {
            self.sums.pop_front();
        }
    }

    fn receive(&mut self, at: usize, ms: u64) {
        let now = self.at(ms);
        for n in 0..self.keys.len() {
            let others = self.sums[0].1[n].minus(&self.own[at][n]);
            let updates = others.increase_since(&self.received[at][n]);
            if others != self.received[at][n] {
                self.received[at][n] = others;
                self.boxes[at].apply_remote(1, (self.keys[n], others), &updates, now);
            }
        }
    }

    fn number_of(&self, key: ServerKey) -> usize {
        self.keys.iter().position(|other| *other == key).unwrap()
    }
}

/// Returns the wait in milliseconds that this percentage of requests exceeds.
fn wait_exceeded_by(outcome: &mut Outcome, percent: usize) -> u64 {
    outcome.waits_ms.sort_unstable();
    outcome.waits_ms[outcome.waits_ms.len() * (100 - percent) / 100]
}

#[test]
fn boxes_that_hear_late_do_not_all_press_on_the_same_servers() {
    let plan = Plan {
        boxes: 88,
        servers: 60,
        requests_per_s: 470.0,
        update_interval_ms: 290,
        update_age_ms: 60,
        seed: 1,
    };
    for seed in 1..=3 {
        let mut outcome = Fleet::new(Plan { seed, ..plan }).play();
        let (refused, sent) = (outcome.refused, outcome.sent);
        let wait_ms = wait_exceeded_by(&mut outcome, 10);
        eprintln!(
            "{refused} of {sent} refused, wait {wait_ms} ms, busiest {:.2}",
            outcome.busiest
        );
        assert!(refused * 1_000 <= sent, "{refused} of {sent} were refused");
        assert!(wait_ms <= 180, "one in ten waited more than {wait_ms} ms");
    }
}
