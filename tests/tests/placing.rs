//! Where requests go while boxes hear of each other late: servers with slots and short
//! queues before a whole fleet of boxes, with the real decisions.

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
    /// How often a box hears of the others, and how old that is by then.
    news_every_ms: u64,
    news_age_ms: u64,
    seed: u64,
}

/// A server that works on three requests at once and lets twelve wait.
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

/// What became of the requests.
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
    /// What each box has told of each server.
    own: Vec<Vec<ServerTally>>,
    /// The sums of all boxes as they stood lately, oldest first.
    sums: VecDeque<(u64, Vec<ServerTally>)>,
    /// What each box heard last of the others.
    heard: Vec<Vec<ServerTally>>,
    /// Ends of work: when, at which server, of which box's attempt.
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
        let nothing = vec![ServerTally::default(); plan.servers];
        Self {
            plan,
            start,
            random: StdRng::seed_from_u64(plan.seed),
            keys: (0..plan.servers).map(|n| record(n).key()).collect(),
            boxes: (0..plan.boxes).map(|_| balancer()).collect(),
            workers: (0..plan.servers).map(|_| Worker::default()).collect(),
            own: vec![nothing.clone(); plan.boxes],
            sums: VecDeque::new(),
            heard: vec![nothing; plan.boxes],
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
            let more = self.random.random::<f64>() < mean.fract();
            for _ in 0..mean as usize + usize::from(more) {
                self.send(ms);
            }
            self.add_up(ms);
            for at in 0..self.boxes.len() {
                // Boxes hear at different times.
                let phase = at as u64 * STEP_MS % self.plan.news_every_ms;
                if ms % self.plan.news_every_ms == phase {
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
        let want = PickRequest {
            retry_safe: false,
            typical_latency: Duration::from_millis(MEAN_WORK_MS as u64),
            cross_data_centre_cost: Duration::from_millis(30),
            tried: &[],
            service_load: ServiceLoad {
                requests_per_s: self.plan.requests_per_s,
                failure_ratio: 0.02,
                unreported_requests: self.plan.requests_per_s
                    * self.plan.news_every_ms as f64
                    / 1000.0,
            },
        };
        let pick = self.boxes[from].pick(&want, now, &mut self.random).unwrap();
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
        let (done, rest) = self.ends.drain(..).partition(|(due, ..)| *due <= ms);
        self.ends = rest;
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
        while self.sums[0].0 + self.plan.news_age_ms < ms {
            self.sums.pop_front();
        }
    }

    fn receive(&mut self, at: usize, ms: u64) {
        let now = self.at(ms);
        for n in 0..self.keys.len() {
            let others = self.sums[0].1[n].minus(&self.own[at][n]);
            let updates = others.increase_since(&self.heard[at][n]);
            if others != self.heard[at][n] {
                self.heard[at][n] = others;
                self.boxes[at].apply_remote(1, (self.keys[n], others), &updates, now);
            }
        }
    }

    fn number_of(&self, key: ServerKey) -> usize {
        self.keys.iter().position(|other| *other == key).unwrap()
    }
}

/// The wait that so many in a hundred exceed.
fn wait_passed_by(outcome: &mut Outcome, percent: usize) -> u64 {
    outcome.waits_ms.sort_unstable();
    outcome.waits_ms[outcome.waits_ms.len() * (100 - percent) / 100]
}

#[test]
fn boxes_that_hear_late_do_not_all_press_on_the_same_servers() {
    let plan = Plan {
        boxes: 88,
        servers: 60,
        requests_per_s: 470.0,
        news_every_ms: 290,
        news_age_ms: 60,
        seed: 1,
    };
    for seed in 1..=3 {
        let mut outcome = Fleet::new(Plan { seed, ..plan }).play();
        let (refused, sent) = (outcome.refused, outcome.sent);
        let late = wait_passed_by(&mut outcome, 10);
        eprintln!(
            "{refused} of {sent}, wait {late} ms, {:.2}",
            outcome.busiest
        );
        assert!(refused * 1_000 <= sent, "{refused} of {sent} were refused");
        assert!(late <= 180, "one in ten waited more than {late} ms");
    }
}
