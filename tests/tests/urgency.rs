//! Simulates a fleet of boxes in front of servers that are short of capacity, with urgent
//! lookups and less urgent uploads. The picks, the retry budget and the admission by
//! urgency are those of the production code.

mod fleet_play;

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use fleet_play::play_all;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wingspur_state::{
    AttemptId, Balancer, BoxPosition, CoverageRole, ExpectedLatency, FleetMembership,
    FleetRetryBudget, FleetSize, HealthOutcome, LevelLoad, LevelNeeds, MembershipState,
    Occupancy, PickRequest, Priority, ReportState, ResendKind, RetryAfterInputs,
    RetryAfterSchedule, RetryBudgetSettings, ServerKey, ServerRecord, ServerTally,
    ServiceTally, ServiceTime, ServiceUrgency, URGENCY_LEVELS, UrgencyCounts,
    UrgencyInputs, UrgencyReason, decide_by_urgency, urgency_level,
};

/// The load, the faults and whether requests are admitted by urgency.
#[derive(Debug, Clone, Copy)]
struct Plan {
    admits_by_urgency: bool,
    /// Whether refused callers come back at the time that they are told.
    callers_return: bool,
    /// Requests per second of the lookups and the uploads, as multiples of the usual.
    lookups: fn(ms: u64) -> f64,
    uploads: fn(ms: u64) -> f64,
    /// Priorities of the lookups and the uploads.
    priorities: fn(ms: u64) -> [Priority; 2],
    /// Whether servers fail in episodes.
    has_episodes: bool,
    /// Whether a box receives reports.
    hears: fn(place: usize, ms: u64) -> bool,
    /// Whether a box without reports knows that it is cut off.
    knows_cut: bool,
    seed: u64,
}

/// A server that processes requests in the order of their arrival.
#[derive(Debug, Default)]
struct Worker {
    running: usize,
    waiting: VecDeque<Sent>,
    /// The phase of its episodes.
    phase_ms: u64,
}

/// A request at a server.
#[derive(Debug, Clone)]
struct Sent {
    request: Request,
    from: usize,
    id: AttemptId,
    at_ms: u64,
    healthy_ms: f64,
    tried: Vec<ServerKey>,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    class: usize,
    arrived_ms: u64,
    /// When its caller sent it for the first time.
    first_ms: u64,
}

/// What became of the requests of a class.
#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    asked: usize,
    on_time: usize,
    late: usize,
    /// Served later than the target after their caller first sent them.
    late_since_first: usize,
    /// Served after their caller was refused and came back.
    on_return: usize,
    /// Served between 3 s and the end.
    good: usize,
    /// Refused until their deadline.
    refused: usize,
    refusals: usize,
    /// Refusals in the last quarter of the time.
    refused_last: usize,
    /// Refused by servers with full queues, or failed.
    lost: usize,
}

struct SimBox {
    balancer: Balancer,
    budget: FleetRetryBudget,
    urgency: ServiceUrgency,
    service_times: [ServiceTime; 2],
    schedule: RetryAfterSchedule,
    /// The last tallies that it has reported.
    own: Vec<ServerTally>,
    own_service: ServiceTally,
    /// The sums of the others that it received last.
    received: Vec<ServerTally>,
    received_service: ServiceTally,
}

const BOXES: usize = 116;
const SERVERS: usize = 104;
const SLOTS: usize = 4;
const QUEUE: usize = 16;
const SERVICE_MS: f64 = 410.0;
const PER_S: [f64; 2] = [330.0, 116.0];
const TARGET_MS: [u64; 2] = [1_500, 3_000];
const DEADLINE_MS: [u64; 2] = [6_000, 10_000];
const END_MS: u64 = 18_000;
/// Longest time that requests in progress take to end.
const DRAIN_MS: u64 = 12_000;
const STEP_MS: u64 = 5;
/// Reports are 0.15 to 0.35 s old when they are used.
const REPORT_INTERVAL_MS: u64 = 200;
const REPORT_AGE_MS: u64 = 150;
/// A third of the servers are in an episode at any time.
const EPISODE_MS: u64 = 9_000;
const EPISODE_INTERVAL_MS: u64 = 27_000;
const EPISODE_FAILURES: f64 = 0.85;
const MAX_ATTEMPTS: usize = 3;
const BUDGET: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.2,
    window_s: 10.0,
    slack: 168.0,
};

fn usual(_: u64) -> f64 {
    1.0
}

fn threefold(_: u64) -> f64 {
    3.0
}

fn surging_uploads(ms: u64) -> f64 {
    if (4_000..11_000).contains(&ms) {
        2.6
    } else {
        1.0
    }
}

fn surging_lookups(ms: u64) -> f64 {
    if (11_000..14_000).contains(&ms) {
        1.8
    } else {
        1.0
    }
}

fn lookups_first(_: u64) -> [Priority; 2] {
    [0, 2]
}

fn always(_: usize, _: u64) -> bool {
    true
}

/// The load that admission by urgency is designed for.
const DESIGN_LOAD: Plan = Plan {
    admits_by_urgency: true,
    callers_return: true,
    lookups: surging_lookups,
    uploads: surging_uploads,
    priorities: lookups_first,
    has_episodes: true,
    hears: always,
    knows_cut: false,
    seed: 1,
};

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
    numbers: HashMap<ServerKey, usize>,
    boxes: Vec<SimBox>,
    workers: Vec<Worker>,
    /// The recent sums over all boxes, oldest first.
    sums: VecDeque<(u64, Vec<ServerTally>, ServiceTally)>,
    /// The ends of the requests in progress: the time, the server, the request and
    /// whether it succeeds.
    ends: Vec<(u64, usize, Sent, bool)>,
    /// Refused callers that come back: when, the class and their first time.
    returns: Vec<(u64, usize, u64)>,
    outcomes: [Outcome; 2],
}

impl Fleet {
    fn new(plan: Plan) -> Self {
        let start = Instant::now();
        let mut random = StdRng::seed_from_u64(plan.seed);
        let sim_box = |at: usize| {
            let mut balancer = Balancer::new("dc-1".into());
            balancer.set_coverage_role(CoverageRole {
                key: at as u64 + 1,
                position: Some(BoxPosition {
                    index: at as u32,
                    count: BOXES as u32,
                }),
                fleet_boxes: BOXES,
            });
            (0..SERVERS).for_each(|n| balancer.upsert(record(n), start));
            let mut budget = FleetRetryBudget::new(BUDGET);
            budget.set_fleet_size(FleetSize {
                boxes: BOXES,
                data_centres: 1,
            });
            SimBox {
                balancer,
                budget,
                urgency: ServiceUrgency::default(),
                service_times: [ServiceTime::new(); 2],
                schedule: RetryAfterSchedule::default(),
                own: vec![ServerTally::default(); SERVERS],
                own_service: ServiceTally::default(),
                received: vec![ServerTally::default(); SERVERS],
                received_service: ServiceTally::default(),
            }
        };
        let boxes = (0..BOXES).map(sim_box).collect();
        let worker = |n: usize| Worker {
            phase_ms: n as u64 * EPISODE_INTERVAL_MS / SERVERS as u64
                + random.random_range(0..1_000),
            ..Worker::default()
        };
        let keys: Vec<_> = (0..SERVERS).map(|n| record(n).key()).collect();
        Self {
            plan,
            start,
            workers: (0..SERVERS).map(worker).collect(),
            random,
            numbers: keys.iter().copied().zip(0..).collect(),
            keys,
            boxes,
            sums: VecDeque::new(),
            ends: Vec::new(),
            returns: Vec::new(),
            outcomes: [Outcome::default(); 2],
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn play(mut self) -> [Outcome; 2] {
        for ms in (0..END_MS + DRAIN_MS).step_by(STEP_MS as usize) {
            self.finish(ms);
            let due = self.returns.extract_if(.., |(due_ms, ..)| *due_ms <= ms);
            for (_, class, first_ms) in due.collect::<Vec<_>>() {
                self.arrive(class, first_ms, ms);
            }
            for (class, times) in
                [self.plan.lookups, self.plan.uploads].iter().enumerate()
            {
                let mean = PER_S[class] * times(ms) * STEP_MS as f64 / 1000.0;
                // Arrivals vary as independent callers' do.
                let mut left = mean - exponential(&mut self.random);
                while left > 0.0 && ms < END_MS {
                    self.outcomes[class].asked += 1;
                    self.arrive(class, ms, ms);
                    left -= exponential(&mut self.random);
                }
            }
            self.add_up(ms);
            for place in 0..BOXES {
                let phase = place as u64 * STEP_MS % REPORT_INTERVAL_MS;
                if ms % REPORT_INTERVAL_MS == phase && (self.plan.hears)(place, ms) {
                    self.receive(place, ms);
                }
            }
        }
        self.outcomes
    }

    fn arrive(&mut self, class: usize, first_ms: u64, ms: u64) {
        let from = self.random.random_range(0..BOXES);
        let now = self.at(ms);
        let priority = (self.plan.priorities)(ms)[class];
        let level = urgency_level(priority);
        let end = &mut self.boxes[from];
        let needs = LevelNeeds::of_route(
            Duration::from_millis(TARGET_MS[class]),
            Duration::from_millis(SERVICE_MS as u64),
            &end.service_times[class],
        );
        end.urgency.record_needs(level, needs, now);
        end.budget
            .count_request_of(UrgencyCounts::one_of(level), now);
        if self.plan.admits_by_urgency && end.budget.has_mixed_urgency(now) {
            let is_cut_off = self.plan.knows_cut && !(self.plan.hears)(from, ms);
            let reports = ReportState::new(BOXES, is_cut_off, end.budget.report_age(now));
            let per_s = match reports {
                ReportState::CutOff => end.budget.own_load_by_urgency(now),
                _ => end.budget.load_by_urgency(now),
            };
            let decision = decide_by_urgency(&UrgencyInputs {
                level,
                needs,
                to_target: needs.target,
                to_deadline: Duration::from_millis(DEADLINE_MS[class]),
                loads: end.urgency.with_needs(&per_s),
                occupancy: end.balancer.occupancy(needs.typical, now),
                own_wait: end.urgency.own_wait(now),
                reports,
                boxes: BOXES,
                draw: self.random.random(),
            });
            if !decision.admitted {
                self.outcomes[class].refusals += 1;
                let is_last = ms >= END_MS * 3 / 4;
                self.outcomes[class].refused_last += usize::from(is_last);
                let inputs = RetryAfterInputs {
                    priority,
                    min_queue_wait: decision.room_in,
                    spare_per_s: decision.room_per_s,
                };
                let wait = end.schedule.schedule(&inputs, now, &mut self.random);
                let back_ms = ms + wait.as_millis() as u64;
                let is_in_time =
                    back_ms + SERVICE_MS as u64 <= first_ms + DEADLINE_MS[class];
                match is_in_time && self.plan.callers_return {
                    true => self.returns.push((back_ms, class, first_ms)),
                    false => self.outcomes[class].refused += 1,
                }
                return;
            }
        }
        let request = Request {
            class,
            arrived_ms: ms,
            first_ms,
        };
        self.send(request, from, Vec::new(), ms);
    }

    fn send(
        &mut self,
        request: Request,
        from: usize,
        mut tried: Vec<ServerKey>,
        ms: u64,
    ) {
        let now = self.at(ms);
        let end = &mut self.boxes[from];
        let pick_request = PickRequest {
            retry_safe: request.class == 0 && tried.len() + 1 < MAX_ATTEMPTS,
            typical_latency: Duration::from_millis(SERVICE_MS as u64),
            cross_data_centre_cost: Duration::from_millis(30),
            tried: &tried,
            service_load: end.budget.service_load(now),
        };
        let pick = end.balancer.pick(&pick_request, now, &mut self.random);
        let Some(pick) = pick else {
            self.outcomes[request.class].lost += 1;
            return;
        };
        let key = pick.server.key();
        let expected = ExpectedLatency {
            baseline_ms: pick.baseline_ms,
            healthy_ms: pick.healthy_ms,
            service_time: end.service_times[request.class],
        };
        let id = end.balancer.begin(key, expected, now);
        tried.push(key);
        let n = self.numbers[&key];
        let sent = Sent {
            request,
            from,
            id,
            at_ms: ms,
            healthy_ms: pick.healthy_ms,
            tried,
        };
        if self.workers[n].running < SLOTS {
            self.work(n, sent, ms);
        } else if self.workers[n].waiting.len() < QUEUE {
            self.workers[n].waiting.push_back(sent);
        } else {
            self.boxes[from]
                .balancer
                .end(id, HealthOutcome::Refused, now);
            self.resend(sent, ms);
        }
    }

    fn is_in_episode(&self, n: usize, ms: u64) -> bool {
        let phase_ms = (ms + self.workers[n].phase_ms) % EPISODE_INTERVAL_MS;
        self.plan.has_episodes && phase_ms < EPISODE_MS
    }

    fn work(&mut self, n: usize, sent: Sent, ms: u64) {
        self.workers[n].running += 1;
        let mut work_ms = SERVICE_MS * self.random.random_range(0.4..1.6);
        let fails =
            self.is_in_episode(n, ms) && self.random.random_bool(EPISODE_FAILURES);
        if fails {
            // The server resets the request while it works on it.
            work_ms *= self.random.random_range(0.5..1.0);
        }
        self.ends.push((ms + work_ms as u64, n, sent, !fails));
    }

    fn resend(&mut self, sent: Sent, ms: u64) {
        let (class, now) = (sent.request.class, self.at(ms));
        let membership = FleetMembership {
            boxes: BOXES,
            state: MembershipState::Joined,
        };
        let budget = &mut self.boxes[sent.from].budget;
        let may_resend = sent.tried.len() < MAX_ATTEMPTS
            && ms < sent.request.arrived_ms + DEADLINE_MS[class]
            && budget
                .try_spend(ResendKind::AfterFailure, membership, now)
                .allowed;
        if may_resend {
            return self.send(sent.request, sent.from, sent.tried, ms);
        }
        budget.count_failed_request(now);
        self.outcomes[class].lost += 1;
    }

    fn finish(&mut self, ms: u64) {
        let now = self.at(ms);
        let due: Vec<_> = self.ends.extract_if(.., |(due, ..)| *due <= ms).collect();
        for (_, n, sent, is_good) in due {
            let class = sent.request.class;
            self.workers[n].running -= 1;
            if let Some(next) = self.workers[n].waiting.pop_front() {
                self.work(n, next, ms);
            }
            let end = &mut self.boxes[sent.from];
            if !is_good {
                end.balancer.end(sent.id, HealthOutcome::Failed, now);
                // Uploads may have run, and are not sent again.
                match class {
                    0 => self.resend(sent, ms),
                    _ => {
                        end.budget.count_failed_request(now);
                        self.outcomes[class].lost += 1;
                    }
                }
                continue;
            }
            end.balancer.end(sent.id, HealthOutcome::Good, now);
            let took_ms = (ms - sent.at_ms) as f64;
            end.service_times[class].record(took_ms / sent.healthy_ms);
            end.urgency
                .record_wait((took_ms - SERVICE_MS) / 1000.0, now);
            let total_ms = ms - sent.request.arrived_ms;
            let is_return = sent.request.first_ms < sent.request.arrived_ms;
            self.outcomes[class].on_return += usize::from(is_return);
            let since_first_ms = ms - sent.request.first_ms;
            let is_slow = since_first_ms > TARGET_MS[class];
            self.outcomes[class].late_since_first += usize::from(is_slow);
            match total_ms {
                _ if total_ms <= TARGET_MS[class] => self.outcomes[class].on_time += 1,
                _ if total_ms <= DEADLINE_MS[class] => self.outcomes[class].late += 1,
                _ => self.outcomes[class].lost += 1,
            }
            if (3_000..END_MS).contains(&ms) {
                self.outcomes[class].good += 1;
            }
        }
    }

    fn add_up(&mut self, ms: u64) {
        let (mut sums, mut service) = match self.sums.back() {
            Some((_, sums, service)) => (sums.clone(), *service),
            None => (
                vec![ServerTally::default(); SERVERS],
                ServiceTally::default(),
            ),
        };
        for end in &mut self.boxes {
            for (key, tally) in end.balancer.take_changes() {
                let n = self.numbers[&key];
                sums[n] = sums[n].minus(&end.own[n]).plus(&tally);
                end.own[n] = tally;
            }
            if let Some(tally) = end.budget.take_change() {
                service = service.plus(&tally.since(&end.own_service));
                end.own_service = tally;
            }
        }
        self.sums.push_back((ms, sums, service));
        while self.sums[0].0 + REPORT_AGE_MS < ms {
            self.sums.pop_front();
        }
    }

    fn receive(&mut self, place: usize, ms: u64) {
        let now = self.at(ms);
        let end = &mut self.boxes[place];
        let (_, sums, service) = &self.sums[0];
        for (n, sum) in sums.iter().enumerate() {
            let others = sum.minus(&end.own[n]);
            if others != end.received[n] {
                let updates = others.increase_since(&end.received[n]);
                end.received[n] = others;
                let keyed = (self.keys[n], others);
                end.balancer.apply_remote(1, keyed, &updates, now);
            }
        }
        let others = service.since(&end.own_service);
        let increase = others.increase_since(&end.received_service);
        end.received_service = others.mark_after(&end.received_service);
        end.budget.merge_remote_counts(increase, now);
    }
}

fn exponential(random: &mut StdRng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}

impl Outcome {
    fn share(count: usize, of: usize) -> f64 {
        count as f64 / of.max(1) as f64
    }

    fn served(&self) -> f64 {
        Self::share(self.on_time + self.late, self.asked)
    }

    /// Share of the served requests that miss their target.
    fn late(&self) -> f64 {
        Self::share(self.late, self.on_time + self.late)
    }

    fn plus(&self, other: &Self) -> Self {
        Self {
            asked: self.asked + other.asked,
            on_time: self.on_time + other.on_time,
            late: self.late + other.late,
            late_since_first: self.late_since_first + other.late_since_first,
            on_return: self.on_return + other.on_return,
            refusals: self.refusals + other.refusals,
            good: self.good + other.good,
            refused: self.refused + other.refused,
            lost: self.lost + other.lost,
            refused_last: self.refused_last + other.refused_last,
        }
    }
}

const SEEDS: u64 = 3;

/// Plays a plan with several seeds; returns the outcomes of lookups and uploads.
fn play(name: &str, plan: Plan) -> [Outcome; 2] {
    let plans: Vec<_> = (1..=SEEDS).map(|seed| Plan { seed, ..plan }).collect();
    let played = play_all(&plans, |plan| Fleet::new(*plan).play());
    let sum = |class: usize| {
        let outcomes = played.iter().map(|outcomes| outcomes[class]);
        outcomes.fold(Outcome::default(), |sum, outcome| sum.plus(&outcome))
    };
    let sums = [sum(0), sum(1)];
    for (class, outcome) in ["lookups", "uploads"].iter().zip(&sums) {
        eprintln!(
            "{name}, {class}: served {:.3} ({:.3} on return), late {:.3} ({:.3} since first sent), \
             refusals {:.3}, refused to the end {:.3}, lost {:.3}",
            outcome.served(),
            Outcome::share(outcome.on_return, outcome.asked),
            outcome.late(),
            Outcome::share(outcome.late_since_first, outcome.on_time + outcome.late),
            Outcome::share(outcome.refusals, outcome.asked),
            Outcome::share(outcome.refused, outcome.asked),
            Outcome::share(outcome.lost, outcome.asked),
        );
    }
    sums
}

/// Returns the served requests per second between 3 s and the end.
fn goodput_per_s(outcomes: &[Outcome; 2]) -> f64 {
    let good: usize = outcomes.iter().map(|outcome| outcome.good).sum();
    good as f64 / SEEDS as f64 / ((END_MS - 3_000) as f64 / 1000.0)
}

const WITHOUT_ADMISSION: Plan = Plan {
    admits_by_urgency: false,
    ..DESIGN_LOAD
};

const THREEFOLD: Plan = Plan {
    lookups: threefold,
    uploads: threefold,
    has_episodes: false,
    ..DESIGN_LOAD
};

/// Guards against lookups that wait behind a surge of uploads.
#[test]
fn urgent_requests_meet_their_target_under_the_design_load() {
    let before = play("design load without", WITHOUT_ADMISSION);
    for callers_return in [false, true] {
        let name = format!("design load, callers return: {callers_return}");
        let plan = Plan {
            callers_return,
            ..DESIGN_LOAD
        };
        let now = play(&name, plan);
        // Callers that return add to a later surge.
        let max_late = if callers_return { 0.035 } else { 0.03 };
        let late = now[0].late();
        assert!(late <= max_late, "{late:.3} of the lookups are late");
        assert!(late < before[0].late());
        assert!(now[0].served() >= now[1].served());
        assert!(now[0].served() >= before[0].served());
        // Uploads that are refused are served when they come back.
        assert!(!callers_return || now[1].served() >= before[1].served() - 0.01);
    }
}

/// Guards against queues in which all requests are late, and against refusals that leave
/// slots free.
#[test]
fn three_times_the_load_is_served_up_to_the_capacity() {
    let before = play(
        "three times the load without",
        Plan {
            admits_by_urgency: false,
            ..THREEFOLD
        },
    );
    let now = play("three times the load", THREEFOLD);
    let ratio = goodput_per_s(&now) / goodput_per_s(&before);
    eprintln!("three times the load: {ratio:.3} of the goodput without admission");
    assert!(now[0].late() <= 0.03, "{:.3} are late", now[0].late());
    assert!(now[0].served() >= before[0].served());
    assert!(ratio >= 0.9, "{ratio:.3} of the goodput without admission");
}

/// Guards against refusals while the servers can take all requests.
#[test]
fn nothing_is_refused_below_the_capacity() {
    for has_episodes in [false, true] {
        let plan = Plan {
            lookups: usual,
            uploads: usual,
            has_episodes,
            ..DESIGN_LOAD
        };
        let outcomes = play("usual load", plan);
        assert_eq!(outcomes[0].refusals + outcomes[1].refusals, 0);
    }
}

/// Guards against an effect on services whose requests all have the same priority.
#[test]
fn one_priority_is_never_refused() {
    let plan = Plan {
        priorities: |_| [2, 2],
        ..THREEFOLD
    };
    let outcomes = play("one priority", plan);
    assert_eq!(outcomes[0].refusals + outcomes[1].refusals, 0);
}

/// Guards against decisions by figures that no longer hold when no reports arrive.
#[test]
fn boxes_without_reports_decide_by_their_own_waits() {
    let hears = |_: usize, ms: u64| ms < 4_000;
    let before = play(
        "no reports without",
        Plan {
            hears,
            ..WITHOUT_ADMISSION
        },
    );
    let now = play(
        "no reports",
        Plan {
            hears,
            ..DESIGN_LOAD
        },
    );
    assert!(now[0].served() >= before[0].served() - 0.01);
    assert!(now[1].served() >= before[1].served() - 0.01);
}

/// The inputs of a request of a level in a service over its capacity: 800 urgent and 400
/// other requests a second before 400 slots, in a fleet of 100 boxes.
fn overloaded(level: u8, reports: ReportState) -> UrgencyInputs {
    let needs = |target_ms| LevelNeeds {
        target: Duration::from_millis(target_ms),
        typical: Duration::from_millis(400),
        slow_ratio: 1.5,
    };
    let mut loads = [LevelLoad::default(); URGENCY_LEVELS];
    for (level, per_s, target_ms) in [(0, 800.0, 1_500), (2, 400.0, 3_000)] {
        loads[level] = LevelLoad {
            per_s,
            needs: Some(needs(target_ms)),
        };
    }
    let needs = loads[usize::from(level)].needs.unwrap();
    UrgencyInputs {
        level,
        needs,
        to_target: needs.target,
        to_deadline: 2 * needs.target,
        loads,
        occupancy: Occupancy {
            in_flight: 700,
            slots: 400.0,
            capacity_per_s: 1_000.0,
        },
        own_wait: None,
        reports,
        boxes: 100,
        draw: 0.5,
    }
}

fn reports_in_time() -> ReportState {
    ReportState::new(100, false, Some(Duration::from_millis(200)))
}

/// Guards against late figures of the fleet in the decisions of a box without reports.
#[test]
fn only_own_waits_count_without_reports() {
    let age = Duration::from_millis(1_500);
    let reports = ReportState::new(100, false, Some(age));
    assert_eq!(reports, ReportState::Outdated(Some(age)));
    let decide = |level, own_wait_ms: Option<u64>| {
        decide_by_urgency(&UrgencyInputs {
            own_wait: own_wait_ms.map(Duration::from_millis),
            ..overloaded(level, reports)
        })
    };
    assert!(decide(2, None).admitted, "nothing is known");
    assert!(decide(2, Some(50)).admitted);
    assert!(!decide(2, Some(500)).admitted);
    assert!(decide(0, Some(500)).admitted, "it still meets its target");
}

/// Guards against a class that gets nothing while more urgent ones ask for more than the
/// capacity.
#[test]
fn each_level_keeps_a_minimum_share() {
    let mut inputs = overloaded(2, reports_in_time());
    inputs.loads[0].per_s = 5_000.0;
    let decision = decide_by_urgency(&inputs);
    // A tenth of the 1,000 requests per second that are served, of 400 that are asked.
    assert!((decision.admitted_share - 0.25).abs() < 0.001);
    assert!(!decision.admitted);
    assert_eq!(decision.reason, UrgencyReason::UrgentTarget);
    inputs.draw = 0.2;
    let decision = decide_by_urgency(&inputs);
    assert!(decision.admitted);
    assert_eq!(decision.reason, UrgencyReason::MinimumShare);
}

/// Guards against refusals before the slots are in use, whatever is asked for.
#[test]
fn free_slots_are_filled_first() {
    let mut inputs = overloaded(2, reports_in_time());
    inputs.loads[0].per_s = 5_000.0;
    inputs.draw = 1.0;
    inputs.occupancy.in_flight = 399;
    assert!(decide_by_urgency(&inputs).admitted);
    inputs.occupancy.in_flight = 400;
    assert!(!decide_by_urgency(&inputs).admitted);
}

/// Guards against refused callers that are told to come back while there is no room, or
/// after their deadline.
#[test]
fn refused_caller_gets_the_time_when_there_is_room() {
    let refused = |to_deadline_ms| {
        decide_by_urgency(&UrgencyInputs {
            draw: 1.0,
            to_deadline: Duration::from_millis(to_deadline_ms),
            ..overloaded(2, reports_in_time())
        })
    };
    let decision = refused(6_000);
    // The more urgent requests leave 200 a second, and each box a hundredth of them.
    let excess = 700.0 - decision.max_in_flight;
    let room_s = decision.room_in.as_secs_f64();
    assert!((room_s - excess / 200.0).abs() < 0.001, "{decision:?}");
    assert!((decision.room_per_s - 2.0).abs() < 0.001);
    assert!(decision.can_return);
    assert!(!refused(900).can_return);
}

/// Guards against requests that are late anyway and delay those that are not yet.
#[test]
fn requests_past_their_target_come_last() {
    let mut inputs = overloaded(0, reports_in_time());
    inputs.draw = 0.9;
    assert!(decide_by_urgency(&inputs).admitted);
    inputs.to_target = Duration::from_millis(100);
    let decision = decide_by_urgency(&inputs);
    assert!(!decision.admitted);
    assert_eq!(decision.reason, UrgencyReason::TargetPassed);
}

/// Guards against boxes that claim the whole capacity while they are cut off.
#[test]
fn boxes_that_are_cut_off_use_their_share() {
    let hears = |place: usize, ms: u64| {
        !place.is_multiple_of(4) || !(4_000..13_000).contains(&ms)
    };
    let before = play(
        "cut off without",
        Plan {
            hears,
            ..WITHOUT_ADMISSION
        },
    );
    let plan = Plan {
        hears,
        knows_cut: true,
        ..DESIGN_LOAD
    };
    let now = play("cut off", plan);
    assert!(now[0].late() <= before[0].late());
    assert!(now[0].served() >= now[1].served());
}

/// Guards against counts and needs of an earlier configuration that still decide.
#[test]
fn changed_priorities_hold_within_seconds() {
    let swap = |ms: u64| if ms < 8_000 { [0, 2] } else { [2, 0] };
    let plan = Plan {
        priorities: swap,
        ..THREEFOLD
    };
    let [lookups, uploads] = play("changed priorities", plan);
    eprintln!(
        "{} and {} refused last",
        lookups.refused_last, uploads.refused_last
    );
    assert!(lookups.refused_last > 0);
    assert_eq!(uploads.refused_last, 0, "uploads come first now");
}

/// Guards against priorities that change their order when they are counted by level.
#[test]
fn levels_keep_the_order_of_priorities() {
    let priorities = (0..6).flat_map(|account| {
        (0..6).map(move |route| wingspur_state::priority_of(account, route))
    });
    let levels: Vec<_> = priorities.map(urgency_level).collect();
    assert!(levels[..5].is_sorted());
    assert_eq!(urgency_level(0), 0);
    assert_eq!(urgency_level(u16::MAX) as usize, URGENCY_LEVELS - 1);
    for pair in levels.chunks(6).collect::<Vec<_>>().windows(2) {
        assert!(pair[0][5] <= pair[1][5] && pair[0][0] <= pair[1][0]);
    }
}

/// Guards against counts that boxes lose or take for others in frames.
#[test]
fn counts_by_urgency_pass_through_frames() {
    let tally = |by_urgency| ServiceTally {
        requests: 9,
        resends: 2,
        lost: 1,
        by_urgency,
    };
    let mixed = UrgencyCounts::from(vec![(0, 1), (2, 5), (15, 300)]);
    for by_urgency in [UrgencyCounts::default(), mixed] {
        let sent = vec![(7u64, tally(by_urgency)), (8, tally(mixed))];
        let bytes = rmp_serde::to_vec(&sent).unwrap();
        let received: Vec<(u64, ServiceTally)> = rmp_serde::from_slice(&bytes).unwrap();
        assert_eq!(received, sent);
    }
    let alone = rmp_serde::to_vec(&tally(UrgencyCounts::default())).unwrap();
    assert_eq!(
        alone.len(),
        4,
        "a service with one level sends nothing more"
    );
    let tally = ServiceTally {
        requests: 10,
        by_urgency: UrgencyCounts::from(vec![(0, 1), (2, 5)]),
        ..ServiceTally::default()
    };
    assert_eq!([0, 1, 2].map(|level| tally.requests_of(level)), [4, 0, 5]);
}
