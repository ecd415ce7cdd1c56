//! Services whose servers leave and ask for rest, in virtual time: what boxes still send against
//! a word, and what they refuse or leave idle beyond it. The decisions are the real ones; a
//! seed decides the rest.

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
const NEWS_EVERY_MS: u64 = 100;
const FROM_MS: u64 = 6_000;
const LAST_WORD_MS: u64 = 20_000;
const END_MS: u64 = 34_000;
/// A server that leaves ends after this, and its next run begins a second later.
const LEAVES_FOR_MS: u64 = 5_000;
/// A first attempt may go to a server that leaves for so long, where others are full.
const LAST_RESORT_MS: u64 = 1_000;
/// A request waits for the end of a rest this long.
const PATIENCE_MS: u64 = 300;

/// What a play is about.
#[derive(Debug, Clone, Copy)]
struct Setting {
    seed: u64,
    boxes: usize,
    /// How many servers say something.
    speakers: usize,
    /// For how long they ask for rest; none where they leave.
    rest_ms: Option<u64>,
    /// How long they are in need each time, and how often that begins anew.
    need_ms: u64,
    every_ms: u64,
    /// What is asked for, as a multiple of what all servers do.
    load: f64,
    /// Whether entries go and come back, and boxes start again.
    disturbed: bool,
}

impl Setting {
    fn drawn(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut one_of = |choices: &[u64]| choices[random.random_range(0..choices.len())];
        Self {
            seed,
            boxes: one_of(&[1, 8, 40, 113]) as usize,
            speakers: one_of(&[1, 6, 12]) as usize,
            rest_ms: match one_of(&[0, 300, 1_000, 3_000, 10_000]) {
                0 => None,
                rest_ms => Some(rest_ms),
            },
            need_ms: one_of(&[100, 1_000, 3_000]),
            every_ms: one_of(&[2_000, 5_000, 100_000]),
            load: [0.3, 0.6, 3.0][one_of(&[0, 1, 2]) as usize],
            disturbed: one_of(&[0, 1]) == 1,
        }
    }

    /// Whether a server says its word now.
    fn speaks(&self, server: usize, ms: u64) -> bool {
        if server >= self.speakers || !(FROM_MS..LAST_WORD_MS).contains(&ms) {
            return false;
        }
        // They overlap, but do not all begin at once.
        let since_ms = ms - FROM_MS + 170 * server as u64;
        since_ms % self.every_ms < self.need_ms
    }
}

/// A server: a run of it, and what it works on.
#[derive(Default)]
struct SimServer {
    run: u64,
    key: ServerKey,
    leaves_since: Option<u64>,
    is_up: bool,
    /// Ends of what runs, and what waits: box, its life, attempt, when it came.
    running: Vec<(u64, Sent)>,
    waiting: VecDeque<Sent>,
    /// When the last rest that it asked for ends, and when it was first of use after that.
    backoff_until_ms: u64,
    used_again_ms: Option<u64>,
}

#[derive(Clone, Copy)]
struct Sent {
    place: usize,
    life: u64,
    attempt: AttemptId,
    server: usize,
    key: ServerKey,
    resend: bool,
}

/// What an answer says.
struct Answer {
    due_ms: u64,
    sent: Sent,
    ended: HealthOutcome,
    rest_ms: Option<u64>,
    leaves: bool,
}

struct SimBox {
    life: u64,
    balancer: Balancer,
    standings: AnnouncedStates,
    /// What the box has heard, kept here by itself: until when a run rests, since when it
    /// leaves.
    heard: HashMap<ServerKey, (u64, Option<u64>)>,
    remote: BTreeMap<ServerKey, ServerTally>,
    waiting: Vec<u64>,
}

#[derive(Default, Debug)]
struct Outcome {
    asked: u64,
    served: u64,
    refused: u64,
    sent_to_resting: u64,
    sent_to_leaving_late: u64,
    /// First attempts at a server that leaves while another had a slot free.
    sent_to_leaving_in_vain: u64,
    /// Requests that were refused though a server could have taken them.
    refused_in_vain: u64,
    /// How long a server was idle after its last rest, at most.
    longest_idle_ms: u64,
}

struct Play {
    setting: Setting,
    random: StdRng,
    start: Instant,
    now_ms: u64,
    boxes: Vec<SimBox>,
    servers: Vec<SimServer>,
    /// The server of each run that there was.
    runs: HashMap<ServerKey, usize>,
    arrivals: VecDeque<(u64, Sent)>,
    answers: Vec<Answer>,
    lives: u64,
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

impl Play {
    fn new(setting: Setting) -> Self {
        let mut play = Self {
            setting,
            random: StdRng::seed_from_u64(setting.seed + 1_000),
            start: Instant::now(),
            now_ms: 0,
            boxes: Vec::new(),
            servers: Vec::new(),
            runs: HashMap::new(),
            arrivals: VecDeque::new(),
            answers: Vec::new(),
            lives: 0,
            outcome: Outcome::default(),
        };
        for n in 0..SERVERS {
            let first = play.begin_run(n, 0);
            play.servers.push(first);
        }
        for _ in 0..setting.boxes {
            let fresh = play.fresh_box();
            play.boxes.push(fresh);
        }
        play
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
            self.let_callers_come();
            if self.now_ms.is_multiple_of(NEWS_EVERY_MS) {
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

    fn begin_run(&mut self, n: usize, run: u64) -> SimServer {
        let key = record(n, run).key();
        self.runs.insert(key, n);
        SimServer {
            run,
            key,
            is_up: true,
            ..SimServer::default()
        }
    }

    fn fresh_box(&mut self) -> SimBox {
        self.lives += 1;
        let mut fresh = SimBox {
            life: self.lives,
            balancer: Balancer::new("dc-1".into()),
            standings: AnnouncedStates::default(),
            heard: HashMap::new(),
            remote: BTreeMap::new(),
            waiting: Vec::new(),
        };
        for (n, server) in self.servers.iter().enumerate().filter(|(_, s)| s.is_up) {
            announce(&mut fresh, &record(n, server.run), self.now());
        }
        fresh
    }

    /// Servers that leave end, and their next run begins.
    fn follow_servers(&mut self) {
        for n in 0..SERVERS {
            let begins = self.setting.rest_ms.is_none()
                && self.setting.speaks(n, self.now_ms)
                && self.servers[n].leaves_since.is_none();
            if begins && self.servers[n].run == 0 {
                self.servers[n].leaves_since = Some(self.now_ms);
            }
            let Some(since) = self.servers[n].leaves_since else {
                continue;
            };
            let now = self.now();
            if self.servers[n].is_up && self.now_ms >= since + LEAVES_FOR_MS {
                let gone = record(n, self.servers[n].run);
                self.servers[n].is_up = false;
                self.servers[n].waiting.clear();
                for sim in &mut self.boxes {
                    withdraw(sim, gone.key());
                }
            }
            if self.now_ms >= since + LEAVES_FOR_MS + 1_000 {
                let run = self.servers[n].run + 1;
                self.servers[n] = self.begin_run(n, run);
                let born = record(n, run);
                for sim in &mut self.boxes {
                    announce(sim, &born, now);
                }
            }
        }
    }

    /// Entries go and come back, at each box by itself; now and then a box starts again.
    fn disturb(&mut self) {
        let now = self.now();
        for place in 0..self.boxes.len() {
            if self.random.random_bool(0.002) {
                let n = self.random.random_range(0..SERVERS);
                let entry = record(n, self.servers[n].run);
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

    fn let_callers_come(&mut self) {
        let per_s =
            self.setting.load * (SERVERS * SLOTS) as f64 * 1000.0 / WORK_MS as f64;
        let mut due = per_s * STEP_MS as f64 / 1000.0;
        while due >= 1.0 || (due > 0.0 && self.random.random_bool(due)) {
            due -= 1.0;
            let place = self.random.random_range(0..self.boxes.len());
            self.outcome.asked += 1;
            self.request(place, None, PATIENCE_MS);
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

    /// Sends a request as a box does: to the best server, to one that leaves where the others
    /// are full, or later where the first rest ends soon.
    fn request(&mut self, place: usize, tried: Option<ServerKey>, patience_ms: u64) {
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
        let leaving = match pick.as_ref().is_none_or(waits_long) && tried.is_empty() {
            true => balancer.pick_draining(&want, now, &mut self.random),
            false => None,
        };
        let leaving = leaving.filter(|leaving| {
            let other = pick.as_ref();
            other.is_none_or(|pick| leaving.expected_ms < pick.expected_ms)
        });
        let is_leaving = leaving.is_some();
        if let Some(pick) = leaving.or(pick) {
            return self.send(place, &pick, is_leaving, !tried.is_empty());
        }
        let back = balancer.shortest_backoff(&want, now);
        let back_ms = back.map(|back| back.as_millis() as u64);
        if let Some(back_ms) = back_ms.filter(|back_ms| *back_ms <= patience_ms) {
            let spread = self.random.random_range(0..50);
            let due_ms = self.now_ms + back_ms + spread;
            return self.boxes[place].waiting.push(due_ms);
        }
        self.outcome.refused += 1;
        let could = (0..SERVERS).any(|n| {
            let SimServer { key, is_up, .. } = self.servers[n];
            is_up && !tried.contains(&key) && self.is_free(place, key)
        });
        self.outcome.refused_in_vain += u64::from(could);
    }

    /// Whether a box may use a run by what it has heard.
    fn is_free(&self, place: usize, run: ServerKey) -> bool {
        let heard = self.boxes[place].heard.get(&run);
        heard.is_none_or(|(backoff_until_ms, leaves)| {
            *backoff_until_ms <= self.now_ms && leaves.is_none()
        })
    }

    fn send(&mut self, place: usize, pick: &Pick, is_leaving: bool, resend: bool) {
        let now = self.now();
        let key = pick.server.key();
        let heard = self.boxes[place].heard.get(&key).copied();
        if let Some((backoff_until_ms, leaves)) = heard {
            self.outcome.sent_to_resting += u64::from(self.now_ms < backoff_until_ms);
            let late = leaves.is_some_and(|ms| self.now_ms >= ms + LAST_RESORT_MS);
            self.outcome.sent_to_leaving_late += u64::from(late);
            let idle = self.setting.load < 0.5 && self.setting.speakers < SERVERS;
            let in_vain = leaves.is_some() && (!is_leaving || idle);
            self.outcome.sent_to_leaving_in_vain += u64::from(in_vain);
        }
        let sim = &mut self.boxes[place];
        let expected = ExpectedLatency {
            baseline_ms: pick.baseline_ms,
            healthy_ms: pick.healthy_ms,
            service_time: ServiceTime::new(),
        };
        let attempt = sim.balancer.begin(key, expected, now);
        let server = self.runs[&key];
        let sent = Sent {
            place,
            life: sim.life,
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
            let needy = self.setting.speaks(sent.server, self.now_ms);
            let server = &mut self.servers[sent.server];
            if !server.is_up || server.key != sent.key {
                self.answer(sent, HealthOutcome::Unreached, None);
            } else if needy && self.setting.rest_ms.is_some() {
                self.answer(sent, HealthOutcome::Refused, self.setting.rest_ms);
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
            let (ended, goes_on): (Vec<_>, Vec<_>) = running
                .into_iter()
                .partition(|(end_ms, _)| *end_ms <= now_ms);
            self.servers[n].running = goes_on;
            for (_, sent) in ended {
                if let Some(next) = self.servers[n].waiting.pop_front() {
                    self.servers[n].running.push((now_ms + WORK_MS, next));
                }
                self.answer(sent, HealthOutcome::Good, None);
            }
        }
    }

    fn answer(&mut self, sent: Sent, ended: HealthOutcome, rest_ms: Option<u64>) {
        let due_ms = self.now_ms + self.random.random_range(1..5);
        let server = &mut self.servers[sent.server];
        let leaves = server.leaves_since.is_some();
        if let Some(rest_ms) = rest_ms {
            server.backoff_until_ms = server.backoff_until_ms.max(due_ms + rest_ms);
            server.used_again_ms = None;
        }
        if ended == HealthOutcome::Good && self.now_ms >= server.backoff_until_ms {
            server.used_again_ms.get_or_insert(self.now_ms);
        }
        self.answers.push(Answer {
            due_ms,
            sent,
            ended,
            rest_ms,
            leaves: leaves && ended == HealthOutcome::Good,
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
            if sim.life != sent.life {
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

    /// Takes in what an answer says, as a box does for each head that it reads.
    fn receive(&mut self, answer: &Answer, key: ServerKey) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let sim = &mut self.boxes[answer.sent.place];
        let heard = sim.heard.entry(key).or_insert((0, None));
        if let Some(rest_ms) = answer.rest_ms {
            heard.0 = heard.0.max(now_ms + rest_ms);
            sim.standings
                .receive_backoff(key, now + Duration::from_millis(rest_ms));
        }
        if answer.leaves {
            heard.1 = heard.1.or(Some(now_ms));
            sim.standings.record_draining(key, now);
        }
        let standing = sim.standings.state(key);
        sim.balancer.set_announced_state(key, standing);
    }

    /// How long the servers were idle after their last rests, at most.
    fn longest_idle_ms(&self) -> u64 {
        let spoke = self
            .servers
            .iter()
            .filter(|server| server.backoff_until_ms > 0);
        let idle = spoke.map(|server| {
            let used_ms = server.used_again_ms.unwrap_or(END_MS);
            used_ms.saturating_sub(server.backoff_until_ms)
        });
        idle.max().unwrap_or(0)
    }

    /// Tells each box what all others have seen.
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
    sim.standings.announce(record.key());
    sim.balancer.upsert(record.clone(), now);
    let standing = sim.standings.state(record.key());
    sim.balancer.set_announced_state(record.key(), standing);
}

fn withdraw(sim: &mut SimBox, server: ServerKey) {
    sim.standings.withdraw(server);
    sim.balancer.remove(server);
}

fn play_checked(seed: u64) {
    let setting = Setting::drawn(seed);
    let outcome = Play::new(setting).run();
    assert!(outcome.served > 500, "{setting:?}: {outcome:?}");
    assert_eq!(outcome.sent_to_resting, 0, "{setting:?}");
    assert_eq!(outcome.sent_to_leaving_late, 0, "{setting:?}");
    assert_eq!(outcome.sent_to_leaving_in_vain, 0, "{setting:?}");
    assert_eq!(outcome.refused_in_vain, 0, "{setting:?}");
    // The time in which the floor tries what nobody used, and a slot's work.
    let is_asked_for = setting.load > 0.5;
    assert!(
        !is_asked_for || outcome.longest_idle_ms <= 2_500,
        "{setting:?}: {outcome:?}"
    );
}

#[test]
fn no_word_is_passed_and_nothing_is_refused_beyond_it() {
    let play_each_fifth = |from: u64| (from..50).step_by(5).for_each(play_checked);
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..5)
            .map(|from| scope.spawn(move || play_each_fifth(from)))
            .collect();
        for thread in threads {
            thread.join().expect("no play fails");
        }
    });
}
