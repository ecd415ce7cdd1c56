//! Simulates services whose servers drain or ask for backoff, in virtual time and with
//! the real balancing code. Guards against requests sent despite an announcement, and
//! against servers refused or left idle without one.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wingspur_state::{
    AnnouncedStates, AttemptId, Balancer, ExpectedLatency, HealthOutcome, Pick,
    PickRequest, ServerKey, ServerRecord, ServerTally, ServiceLoad, ServiceTime,
};

const SERVERS: usize = 12;
const SLOTS: usize = 3;
const QUEUE: usize = 4;
const WORK_MS: u64 = 200;
const STEP_MS: u64 = 5;
const UPDATE_INTERVAL_MS: u64 = 100;
const FIRST_ANNOUNCEMENT_MS: u64 = 6_000;
const LAST_ANNOUNCEMENT_MS: u64 = 20_000;
const END_MS: u64 = 34_000;
/// A draining server ends after this time, and its next instance starts a second later.
const DRAIN_MS: u64 = 5_000;
/// For this long, a first attempt may go to a draining server where the others are full.
const LAST_RESORT_MS: u64 = 1_000;
/// A request waits at most this long for the end of a backoff.
const MAX_BACKOFF_WAIT_MS: u64 = 300;

/// The parameters of a simulation.
#[derive(Debug, Clone, Copy)]
struct Setting {
    seed: u64,
    boxes: usize,
    /// The number of servers that announce something.
    announcing: usize,
    /// The backoff that they ask for; `None` where they drain instead.
    backoff_ms: Option<u64>,
    /// How long they announce it each time, and the interval at which that starts again.
    announce_ms: u64,
    every_ms: u64,
    /// The rate of requests, as a multiple of the capacity of all servers.
    load: f64,
    /// Whether entries are removed and written again, and boxes restart.
    disturbed: bool,
}

impl Setting {
    fn drawn(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut one_of = |choices: &[u64]| choices[random.random_range(0..choices.len())];
        Self {
            seed,
            boxes: one_of(&[1, 8, 40, 113]) as usize,
            announcing: one_of(&[1, 6, 12]) as usize,
            backoff_ms: match one_of(&[0, 300, 1_000, 3_000, 10_000]) {
                0 => None,
                backoff_ms => Some(backoff_ms),
            },
            announce_ms: one_of(&[100, 1_000, 3_000]),
            every_ms: one_of(&[2_000, 5_000, 100_000]),
            load: [0.3, 0.6, 3.0][one_of(&[0, 1, 2]) as usize],
            disturbed: one_of(&[0, 1]) == 1,
        }
    }

    /// Returns whether a server makes its announcement now.
    fn announces(&self, server: usize, ms: u64) -> bool {
        if server >= self.announcing
            || !(FIRST_ANNOUNCEMENT_MS..LAST_ANNOUNCEMENT_MS).contains(&ms)
        {
            return false;
        }
        // The servers' announcements overlap, but do not all start at once.
        let since_ms = ms - FIRST_ANNOUNCEMENT_MS + 170 * server as u64;
        since_ms % self.every_ms < self.announce_ms
    }
}

/// A server: its current instance and the requests in it.
#[derive(Default)]
struct SimServer {
    instance: u64,
    key: ServerKey,
    /// When the instance started to drain, in milliseconds of the simulation.
    draining_since_ms: Option<u64>,
    is_up: bool,
    /// The requests that run, with the time at which each ends, and those that wait.
    running: Vec<(u64, Sent)>,
    waiting: VecDeque<Sent>,
    /// When its last backoff ends, and when it first completed a request after that.
    backoff_until_ms: u64,
    used_again_ms: Option<u64>,
}

#[derive(Clone, Copy)]
struct Sent {
    place: usize,
    incarnation: u64,
    attempt: AttemptId,
    server: usize,
    key: ServerKey,
    resend: bool,
}

/// A response of a server.
struct Answer {
    due_ms: u64,
    sent: Sent,
    ended: HealthOutcome,
    backoff_ms: Option<u64>,
    is_draining: bool,
}

struct SimBox {
    incarnation: u64,
    balancer: Balancer,
    announced_states: AnnouncedStates,
    /// What the box has received, kept separately from the code under test: for each
    /// instance, when its backoff ends and since when it is draining, in milliseconds.
    received: HashMap<ServerKey, (u64, Option<u64>)>,
    remote: BTreeMap<ServerKey, ServerTally>,
    waiting: Vec<u64>,
}

#[derive(Default, Debug)]
struct Outcome {
    requests: u64,
    served: u64,
    refused: u64,
    sent_in_backoff: u64,
    /// Requests sent to a draining server later than `LAST_RESORT_MS` after its
    /// announcement.
    sent_to_draining_late: u64,
    /// First attempts at a draining server while another one had a free slot.
    sent_to_draining_needlessly: u64,
    /// Requests that were refused although a server could have run them.
    refused_needlessly: u64,
    /// The longest time that a server was idle after its last backoff.
    longest_idle_ms: u64,
}

struct Simulation {
    setting: Setting,
    random: StdRng,
    start: Instant,
    now_ms: u64,
    boxes: Vec<SimBox>,
    servers: Vec<SimServer>,
    /// The server of each instance so far.
    instances: HashMap<ServerKey, usize>,
    arrivals: VecDeque<(u64, Sent)>,
    answers: Vec<Answer>,
    incarnations: u64,
    outcome: Outcome,
}

fn record(server: usize, run: u64) -> ServerRecord {
    ServerRecord {
        id: format!("i-{server}-{run}"),
        born_ms: 0,
        service: "svc".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "dc-1".into(),
        slots: SLOTS as u32,
        leaving: false,
        cold_ms: 0,
    }
}

impl Simulation {
    fn new(setting: Setting) -> Self {
        let mut simulation = Self {
            setting,
            random: StdRng::seed_from_u64(setting.seed + 1_000),
            start: Instant::now(),
            now_ms: 0,
            boxes: Vec::new(),
            servers: Vec::new(),
            instances: HashMap::new(),
            arrivals: VecDeque::new(),
            answers: Vec::new(),
            incarnations: 0,
            outcome: Outcome::default(),
        };
        for n in 0..SERVERS {
            let first = simulation.start_instance(n, 0);
            simulation.servers.push(first);
        }
        for _ in 0..setting.boxes {
            let fresh = simulation.fresh_box();
            simulation.boxes.push(fresh);
        }
        simulation
    }

    fn run(mut self) -> Outcome {
        while self.now_ms < END_MS {
            self.follow_servers();
            if self.setting.disturbed {
                self.disturb();
            }
            self.arrive();
            self.finish();
            self.deliver();
            self.send_requests();
            if self.now_ms.is_multiple_of(UPDATE_INTERVAL_MS) {
                self.send_updates();
            }
            self.now_ms += STEP_MS;
        }
        self.outcome.longest_idle_ms = self.longest_idle_ms();
        self.outcome
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn now(&self) -> Instant {
        self.at(self.now_ms)
    }

    fn start_instance(&mut self, n: usize, instance: u64) -> SimServer {
        let key = record(n, instance).key();
        self.instances.insert(key, n);
        SimServer {
            instance,
            key,
            is_up: true,
            ..SimServer::default()
        }
    }

    fn fresh_box(&mut self) -> SimBox {
        self.incarnations += 1;
        let mut fresh = SimBox {
            incarnation: self.incarnations,
            balancer: Balancer::new("dc-1".into()),
            announced_states: AnnouncedStates::default(),
            received: HashMap::new(),
            remote: BTreeMap::new(),
            waiting: Vec::new(),
        };
        for (n, server) in self.servers.iter().enumerate().filter(|(_, s)| s.is_up) {
            announce(&mut fresh, &record(n, server.instance), self.now());
        }
        fresh
    }

    /// Starts to drain servers, ends draining ones and starts their next instances.
    fn follow_servers(&mut self) {
        for n in 0..SERVERS {
            let starts = self.setting.backoff_ms.is_none()
                && self.setting.announces(n, self.now_ms)
                && self.servers[n].draining_since_ms.is_none();
            if starts && self.servers[n].instance == 0 {
                self.servers[n].draining_since_ms = Some(self.now_ms);
            }
            let Some(since) = self.servers[n].draining_since_ms else {
                continue;
            };
            let now = self.now();
            if self.servers[n].is_up && self.now_ms >= since + DRAIN_MS {
                let ended = record(n, self.servers[n].instance);
                self.servers[n].is_up = false;
                self.servers[n].waiting.clear();
                for sim in &mut self.boxes {
                    withdraw(sim, ended.key());
                }
            }
            if self.now_ms >= since + DRAIN_MS + 1_000 {
                let instance = self.servers[n].instance + 1;
                self.servers[n] = self.start_instance(n, instance);
                let started = record(n, instance);
                for sim in &mut self.boxes {
                    announce(sim, &started, now);
                }
            }
        }
    }

    /// Removes entries and adds them again, at each box independently, and sometimes
    /// restarts a box.
    fn disturb(&mut self) {
        let now = self.now();
        for place in 0..self.boxes.len() {
            if self.random.random_bool(0.002) {
                let n = self.random.random_range(0..SERVERS);
                let entry = record(n, self.servers[n].instance);
                let sim = &mut self.boxes[place];
                if self.servers[n].is_up {
                    withdraw(sim, entry.key());
                    announce(sim, &entry, now);
                }
            }
            if self.random.random_bool(0.0002) {
                self.boxes[place] = self.fresh_box();
            }
        }
    }

    fn send_requests(&mut self) {
        let per_s =
            self.setting.load * (SERVERS * SLOTS) as f64 * 1000.0 / WORK_MS as f64;
        let mut due = per_s * STEP_MS as f64 / 1000.0;
        while due >= 1.0 || (due > 0.0 && self.random.random_bool(due)) {
            due -= 1.0;
            let place = self.random.random_range(0..self.boxes.len());
            self.outcome.requests += 1;
            self.request(place, None, MAX_BACKOFF_WAIT_MS);
        }
        for place in 0..self.boxes.len() {
            let waiting = std::mem::take(&mut self.boxes[place].waiting);
            for due_ms in waiting {
                if due_ms <= self.now_ms {
                    self.request(place, None, 0);
                } else {
                    self.boxes[place].waiting.push(due_ms);
                }
            }
        }
    }

    /// Sends a request as a box does: to the best server, to a draining one where the
    /// others are full, or later where the shortest backoff ends soon.
    fn request(&mut self, place: usize, tried: Option<ServerKey>, max_wait_ms: u64) {
        let now = self.now();
        let tried: Vec<_> = tried.into_iter().collect();
        let want = PickRequest {
            retry_safe: true,
            typical_latency: Duration::from_millis(WORK_MS),
            cross_data_centre_cost: Duration::ZERO,
            tried: &tried,
            service_load: ServiceLoad {
                requests_per_s: 100.0,
                failure_ratio: 0.0,
                unreported_requests: 0.0,
            },
        };
        let balancer = &self.boxes[place].balancer;
        let pick = balancer.pick(&want, now, &mut self.random);
        let waits_long = |pick: &Pick| pick.wait_ms > WORK_MS as f64;
        let draining = match pick.as_ref().is_none_or(waits_long) && tried.is_empty() {
            true => balancer.pick_draining(&want, now, &mut self.random),
            false => None,
        };
        let draining = draining.filter(|draining| {
            let other = pick.as_ref();
            other.is_none_or(|pick| draining.expected_ms < pick.expected_ms)
        });
        let is_draining = draining.is_some();
        if let Some(pick) = draining.or(pick) {
            return self.send(place, &pick, is_draining, !tried.is_empty());
        }
        let back = balancer.shortest_backoff(&want, now);
        let back_ms = back.map(|back| back.as_millis() as u64);
        if let Some(back_ms) = back_ms.filter(|back_ms| *back_ms <= max_wait_ms) {
            let spread = self.random.random_range(0..50);
            let due_ms = self.now_ms + back_ms + spread;
            return self.boxes[place].waiting.push(due_ms);
        }
        self.outcome.refused += 1;
        let could_run = (0..SERVERS).any(|n| {
            let SimServer { key, is_up, .. } = self.servers[n];
            is_up && !tried.contains(&key) && self.is_free(place, key)
        });
        self.outcome.refused_needlessly += u64::from(could_run);
    }

    /// Returns whether a box may use an instance by the announcements that it has
    /// received.
    fn is_free(&self, place: usize, instance: ServerKey) -> bool {
        let received = self.boxes[place].received.get(&instance);
        received.is_none_or(|(backoff_until_ms, draining_since_ms)| {
            *backoff_until_ms <= self.now_ms && draining_since_ms.is_none()
        })
    }

    fn send(&mut self, place: usize, pick: &Pick, is_draining: bool, resend: bool) {
        let now = self.now();
        let key = pick.server.key();
        let received = self.boxes[place].received.get(&key).copied();
        if let Some((backoff_until_ms, draining_since_ms)) = received {
            self.outcome.sent_in_backoff += u64::from(self.now_ms < backoff_until_ms);
            let late =
                draining_since_ms.is_some_and(|ms| self.now_ms >= ms + LAST_RESORT_MS);
            self.outcome.sent_to_draining_late += u64::from(late);
            let idle = self.setting.load < 0.5 && self.setting.announcing < SERVERS;
            let needless = draining_since_ms.is_some() && (!is_draining || idle);
            self.outcome.sent_to_draining_needlessly += u64::from(needless);
        }
        let sim = &mut self.boxes[place];
        let expected = ExpectedLatency {
            baseline_ms: pick.baseline_ms,
            healthy_ms: pick.healthy_ms,
            service_time: ServiceTime::new(),
        };
        let attempt = sim.balancer.begin(key, expected, now);
        let server = self.instances[&key];
        let sent = Sent {
            place,
            incarnation: sim.incarnation,
            attempt,
            server,
            key,
            resend,
        };
        let due_ms = self.now_ms + self.random.random_range(1..5);
        self.arrivals.push_back((due_ms, sent));
    }

    fn arrive(&mut self) {
        for (due_ms, sent) in std::mem::take(&mut self.arrivals) {
            if due_ms > self.now_ms {
                self.arrivals.push_back((due_ms, sent));
                continue;
            }
            let announces = self.setting.announces(sent.server, self.now_ms);
            let server = &mut self.servers[sent.server];
            if !server.is_up || server.key != sent.key {
                self.answer(sent, HealthOutcome::Unreached, None);
            } else if announces && self.setting.backoff_ms.is_some() {
                self.answer(sent, HealthOutcome::Refused, self.setting.backoff_ms);
            } else if server.running.len() < SLOTS {
                server.running.push((self.now_ms + WORK_MS, sent));
            } else if server.waiting.len() < QUEUE {
                server.waiting.push_back(sent);
            } else {
                self.answer(sent, HealthOutcome::Refused, None);
            }
        }
    }

    fn finish(&mut self) {
        for n in 0..SERVERS {
            let now_ms = self.now_ms;
            let running = std::mem::take(&mut self.servers[n].running);
            let (ended, still_running): (Vec<_>, Vec<_>) = running
                .into_iter()
                .partition(|(end_ms, _)| *end_ms <= now_ms);
            self.servers[n].running = still_running;
            for (_, sent) in ended {
                if let Some(next) = self.servers[n].waiting.pop_front() {
                    self.servers[n].running.push((now_ms + WORK_MS, next));
                }
                self.answer(sent, HealthOutcome::Good, None);
            }
        }
    }

    fn answer(&mut self, sent: Sent, ended: HealthOutcome, backoff_ms: Option<u64>) {
        let due_ms = self.now_ms + self.random.random_range(1..5);
        let server = &mut self.servers[sent.server];
        let is_draining = server.draining_since_ms.is_some();
        if let Some(backoff_ms) = backoff_ms {
            server.backoff_until_ms = server.backoff_until_ms.max(due_ms + backoff_ms);
            server.used_again_ms = None;
        }
        if ended == HealthOutcome::Good && self.now_ms >= server.backoff_until_ms {
            server.used_again_ms.get_or_insert(self.now_ms);
        }
        self.answers.push(Answer {
            due_ms,
            sent,
            ended,
            backoff_ms,
            is_draining: is_draining && ended == HealthOutcome::Good,
        });
    }

    fn deliver(&mut self) {
        for answer in std::mem::take(&mut self.answers) {
            if answer.due_ms > self.now_ms {
                self.answers.push(answer);
                continue;
            }
            let sent = answer.sent;
            let now = self.now();
            let sim = &mut self.boxes[sent.place];
            if sim.incarnation != sent.incarnation {
                continue;
            }
            let key = sent.key;
            self.receive(&answer, key);
            let sim = &mut self.boxes[sent.place];
            sim.balancer.end(sent.attempt, answer.ended, now);
            match answer.ended {
                HealthOutcome::Good => self.outcome.served += 1,
                _ if !sent.resend => self.request(sent.place, Some(key), 0),
                _ => self.outcome.refused += 1,
            }
        }
    }

    /// Applies the announcements of a response, as a box does for each response head.
    fn receive(&mut self, answer: &Answer, key: ServerKey) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let sim = &mut self.boxes[answer.sent.place];
        let received = sim.received.entry(key).or_insert((0, None));
        if let Some(backoff_ms) = answer.backoff_ms {
            received.0 = received.0.max(now_ms + backoff_ms);
            sim.announced_states
                .receive_backoff(key, now + Duration::from_millis(backoff_ms));
        }
        if answer.is_draining {
            received.1 = received.1.or(Some(now_ms));
            sim.announced_states.record_draining(key, now);
        }
        let standing = sim.announced_states.state(key);
        sim.balancer.set_announced_state(key, standing);
    }

    /// Returns the longest time that a server was idle after its last backoff.
    fn longest_idle_ms(&self) -> u64 {
        let backed_off = self
            .servers
            .iter()
            .filter(|server| server.backoff_until_ms > 0);
        let idle = backed_off.map(|server| {
            let used_ms = server.used_again_ms.unwrap_or(END_MS);
            used_ms.saturating_sub(server.backoff_until_ms)
        });
        idle.max().unwrap_or(0)
    }

    /// Sends each box the tallies of all others.
    fn send_updates(&mut self) {
        let now = self.now();
        let mut all: BTreeMap<ServerKey, ServerTally> = BTreeMap::new();
        let own: Vec<_> = self
            .boxes
            .iter()
            .map(|sim| sim.balancer.tallies())
            .collect();
        for (key, tally) in own.iter().flatten() {
            let sum = all.entry(*key).or_default();
            *sum = sum.plus(tally);
        }
        for (sim, own) in self.boxes.iter_mut().zip(own) {
            let own: HashMap<_, _> = own.into_iter().collect();
            for (key, sum) in &all {
                let others = sum.minus(&own.get(key).copied().unwrap_or_default());
                let before = sim.remote.insert(*key, others).unwrap_or_default();
                let updates = others.increase_since(&before);
                sim.balancer.apply_remote(1, (*key, others), &updates, now);
            }
        }
    }
}

fn announce(sim: &mut SimBox, record: &ServerRecord, now: Instant) {
    sim.announced_states.announce(record.key());
    sim.balancer.upsert(record.clone(), now);
    let standing = sim.announced_states.state(record.key());
    sim.balancer.set_announced_state(record.key(), standing);
}

fn withdraw(sim: &mut SimBox, server: ServerKey) {
    sim.announced_states.withdraw(server);
    sim.balancer.remove(server);
}

fn simulate_checked(seed: u64) {
    let setting = Setting::drawn(seed);
    let outcome = Simulation::new(setting).run();
    assert!(outcome.served > 500, "{setting:?}: {outcome:?}");
    assert_eq!(outcome.sent_in_backoff, 0, "{setting:?}");
    assert_eq!(outcome.sent_to_draining_late, 0, "{setting:?}");
    assert_eq!(outcome.sent_to_draining_needlessly, 0, "{setting:?}");
    assert_eq!(outcome.refused_needlessly, 0, "{setting:?}");
    // The time until an idle probe goes to an unused server, and the work of one slot.
    let is_loaded = setting.load > 0.5;
    assert!(
        !is_loaded || outcome.longest_idle_ms <= 2_500,
        "{setting:?}: {outcome:?}"
    );
}

#[test]
fn no_word_is_passed_and_nothing_is_refused_beyond_it() {
    let simulate_each_fifth =
        |from: u64| (from..50).step_by(5).for_each(simulate_checked);
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..5)
            .map(|from| scope.spawn(move || simulate_each_fifth(from)))
            .collect();
        for thread in threads {
            thread.join().expect("no simulation fails");
        }
    });
}
