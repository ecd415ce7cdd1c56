//! Simulates a service whose servers shed for 8.5 s, in virtual time, and compares what
//! is served with a perfect allocation of the same retry budget. Guards against resends
//! that go unused or to requests that gain little from them while others need them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wingspur_state::{
    AttemptEnd, AttemptId, Balancer, BoxPosition, CoverageRole, ExpectedLatency,
    FleetMembership, FleetRetryBudget, FleetSize, HealthOutcome, MembershipState, Pick,
    PickRequest, Priority, RESEND_LEASE_TTL, ResendDemand, ResendGainInputs, ResendKind,
    ResendPlanInputs, RetryBudgetSettings, RetryDecision, RouteClass, ServerKey,
    ServerRecord, ServerTally, ServiceTally, ServiceTime, StopReason, decide_retry,
    resend_gain,
};

const BOXES: usize = 39;
const DATA_CENTRES: usize = 3;
const SERVERS: usize = 121;
const REQUESTS_PER_S: f64 = 460.0;
const SETTINGS: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.2,
    window_s: 10.0,
    slack: 168.0,
};
const MAX_ATTEMPTS: u8 = 3;
/// Servers shed from this time on, when the window is full of requests.
const SHED_FROM_MS: u64 = 12_000;
const SHED_UNTIL_MS: u64 = SHED_FROM_MS + 8_500;
const END_MS: u64 = SHED_UNTIL_MS + 3_000;
/// Boxes report every 0.2 s, and a report takes 0.1 s: what a box knows is 0.1 to 0.3 s
/// old.
const REPORT_INTERVAL_MS: u64 = 200;
const REPORT_DELAY_MS: u64 = 100;
const WORK_MS: u64 = 150;
const REFUSAL_MS: u64 = 5;
/// The transit of a lease message between two boxes.
const LEASE_HOP_MS: u64 = 4;
const DEADLINE_MS: u64 = 6_000;
/// The deadline of requests that no resend can answer in time.
const SHORT_DEADLINE_MS: u64 = 100;
const TARGET_MS: u64 = 1_500;
/// Part of what a perfect allocation serves that must be served.
const GOAL: f64 = 0.95;
const SEEDS: [u64; 3] = [1, 2, 3];
const URGENT: Priority = 0;
const ORDINARY: Priority = 2;

/// The load and the shedding of a play.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    /// The fraction of arrivals that a server sheds.
    shed: fn(server: usize) -> f64,
    /// The share of the load that a box gets, relative to the other boxes.
    weight: fn(place: usize) -> f64,
    /// The fraction of requests with the most urgent priority.
    urgent_ratio: f64,
    /// The fraction of requests with too little time for a resend.
    short_ratio: f64,
    /// The fraction of requests that ask for a hedge before the servers shed.
    hedged_ratio: f64,
    /// Whether the reports and lease messages of a data centre's boxes arrive, by the
    /// time since the servers began to shed.
    is_connected: fn(data_centre: usize, shed_ms: u64) -> bool,
    /// Whether a box runs, by the same time. Callers go to the boxes that run.
    runs: fn(place: usize, shed_ms: u64) -> bool,
}

const ALIKE: Case = Case {
    name: "all alike",
    shed: |_| 0.55,
    weight: |_| 1.0,
    urgent_ratio: 1.0,
    short_ratio: 0.0,
    hedged_ratio: 0.0,
    is_connected: |_, _| true,
    runs: |_, _| true,
};

const TWO_PRIORITIES: Case = Case {
    name: "two priorities",
    urgent_ratio: 0.4,
    ..ALIKE
};

const FEW_URGENT: Case = Case {
    name: "few urgent requests",
    urgent_ratio: 0.15,
    ..ALIKE
};

const UNEVEN_BOXES: Case = Case {
    name: "boxes with few requests",
    weight: |place| if place.is_multiple_of(2) { 4.0 } else { 0.4 },
    ..ALIKE
};

const SHORT_OF_TIME: Case = Case {
    name: "requests with little time",
    short_ratio: 0.3,
    ..ALIKE
};

const HEDGED_BEFORE: Case = Case {
    name: "hedges before the shedding",
    hedged_ratio: 0.15,
    ..ALIKE
};

const UNEQUAL_SERVERS: Case = Case {
    name: "servers that shed unequally",
    shed: |server| [0.35, 0.55, 0.75][server % 3],
    ..ALIKE
};

/// Who gets the resends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Allocation {
    /// Whoever asks while there is budget.
    FirstCome,
    /// As `ResendDemand` decides.
    Planned,
}

struct SimBox {
    demand: ResendDemand,
    balancer: Balancer,
    budget: FleetRetryBudget,
}

/// A request of a caller that arrived while the servers shed, or just before.
struct SimRequest {
    place: usize,
    priority: Priority,
    arrived_ms: u64,
    deadline_ms: u64,
    /// Whether it arrived while the servers shed.
    is_judged: bool,
    tried: Vec<ServerKey>,
    /// Resends from the box's own share.
    own_resends: u32,
    is_served: bool,
    is_first_served: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    AttemptEnds {
        request: usize,
        attempt: AttemptId,
        refused: bool,
    },
    /// A lease request arrives at the box that may grant it.
    LeaseAsked {
        request: usize,
        lender: usize,
        is_forwarded: bool,
    },
    LeaseDecided {
        request: usize,
        granted: bool,
    },
    HedgeEnds {
        place: usize,
    },
}

/// The spent and allowed resends of each box, as last reported.
type Usage = Vec<(f64, f64)>;

struct Report {
    due_ms: u64,
    servers: Vec<Vec<ServerTally>>,
    services: Vec<ServiceTally>,
    usage: Usage,
}

struct Play {
    case: Case,
    allocation: Allocation,
    start: Instant,
    now_ms: u64,
    random: StdRng,
    boxes: Vec<SimBox>,
    keys: Vec<ServerKey>,
    requests: Vec<SimRequest>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_event: u64,
    reports: Vec<Report>,
    reported: Report,
    usage: Usage,
    /// Times at which resends were sent, hedges included.
    resends_ms: Vec<u64>,
    /// Resends by whether they were sent while the servers shed: total and successful.
    judged_resends: u32,
}

/// What a play served, and what perfect allocations would have served, by priority:
/// urgent requests first.
#[derive(Debug, Clone, Copy, Default)]
struct Outcome {
    requests: [f64; 2],
    first_served: [f64; 2],
    served: [f64; 2],
    /// With all resends that the rule on the retry budget allows.
    perfect: [f64; 2],
    /// With the resends that one box with all requests would allow itself.
    perfect_as_counted: [f64; 2],
    resends: f64,
}

impl Outcome {
    fn plus(mut self, other: &Self) -> Self {
        for class in 0..2 {
            self.requests[class] += other.requests[class];
            self.first_served[class] += other.first_served[class];
            self.served[class] += other.served[class];
            self.perfect[class] += other.perfect[class];
            self.perfect_as_counted[class] += other.perfect_as_counted[class];
        }
        self.resends += other.resends;
        self
    }

    /// Returns what was served as a fraction of what a perfect allocation would have
    /// served: of the urgent requests, and of all.
    fn ratios(&self, perfect: &[f64; 2]) -> (f64, f64) {
        let all = |counts: &[f64; 2]| counts[0] + counts[1];
        (
            self.served[0] / perfect[0],
            all(&self.served) / all(perfect),
        )
    }
}

fn record(n: usize) -> ServerRecord {
    ServerRecord {
        id: format!("i-{n}"),
        born_ms: 0,
        service: "svc".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: format!("dc-{}", n % DATA_CENTRES).as_str().into(),
        slots: 4,
        leaving: false,
        cold_ms: 0,
    }
}

impl Play {
    fn new(case: Case, allocation: Allocation, seed: u64) -> Self {
        let start = Instant::now() + Duration::from_secs(100);
        let fleet_size = FleetSize {
            boxes: BOXES,
            data_centres: DATA_CENTRES,
        };
        let boxes = (0..BOXES).map(|place| {
            let home = format!("dc-{}", place % DATA_CENTRES);
            let mut balancer = Balancer::new(home.as_str().into());
            balancer.set_coverage_role(CoverageRole {
                key: place as u64 + 1,
                position: Some(BoxPosition {
                    index: (place / DATA_CENTRES) as u32,
                    count: (BOXES / DATA_CENTRES) as u32,
                }),
                fleet_boxes: BOXES,
            });
            for n in 0..SERVERS {
                balancer.upsert(record(n), start);
            }
            let mut budget = FleetRetryBudget::new(SETTINGS);
            budget.set_fleet_size(fleet_size);
            SimBox {
                demand: ResendDemand::default(),
                balancer,
                budget,
            }
        });
        let nothing = Report {
            due_ms: 0,
            servers: vec![vec![ServerTally::default(); SERVERS]; BOXES],
            services: vec![ServiceTally::default(); BOXES],
            usage: vec![(0.0, 0.0); BOXES],
        };
        Self {
            case,
            allocation,
            start,
            now_ms: 0,
            random: StdRng::seed_from_u64(seed),
            boxes: boxes.collect(),
            keys: (0..SERVERS).map(|n| record(n).key()).collect(),
            requests: Vec::new(),
            events: BinaryHeap::new(),
            next_event: 0,
            reports: Vec::new(),
            reported: nothing,
            usage: vec![(0.0, 0.0); BOXES],
            resends_ms: Vec::new(),
            judged_resends: 0,
        }
    }

    fn run(mut self) -> Self {
        while self.now_ms < END_MS {
            while self
                .events
                .peek()
                .is_some_and(|Reverse((due, ..))| *due <= self.now_ms)
            {
                let Reverse((_, _, event)) = self.events.pop().unwrap();
                self.handle(event);
            }
            if self.now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
                self.send_report();
            }
            self.deliver_reports();
            if self
                .random
                .random_bool((REQUESTS_PER_S / 1000.0).clamp(0.0, 1.0))
            {
                self.take_request();
            }
            self.now_ms += 1;
        }
        self
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn is_shedding(&self) -> bool {
        (SHED_FROM_MS..SHED_UNTIL_MS).contains(&self.now_ms)
    }

    fn runs(&self, place: usize) -> bool {
        (self.case.runs)(place, self.now_ms.saturating_sub(SHED_FROM_MS))
    }

    fn membership(&self, place: usize) -> FleetMembership {
        FleetMembership {
            boxes: BOXES,
            state: match (self.is_connected(place), self.was_cut_off(place)) {
                (false, _) => MembershipState::Disconnected,
                (true, true) => MembershipState::Joining,
                (true, false) => MembershipState::Joined,
            },
        }
    }

    /// Whether a box has lost the others since the servers began to shed: it joins anew,
    /// which takes longer than they shed.
    fn was_cut_off(&self, place: usize) -> bool {
        let until = self.now_ms.saturating_sub(SHED_FROM_MS);
        let data_centre = place % DATA_CENTRES;
        (0..until)
            .step_by(500)
            .any(|ms| !(self.case.is_connected)(data_centre, ms))
    }

    fn is_connected(&self, place: usize) -> bool {
        let shed_ms = self.now_ms.saturating_sub(SHED_FROM_MS);
        !self.is_shedding() || (self.case.is_connected)(place % DATA_CENTRES, shed_ms)
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.next_event += 1;
        let due = self.now_ms + delay_ms;
        self.events.push(Reverse((due, self.next_event, event)));
    }

    fn draw_box(&mut self) -> usize {
        let weights: Vec<f64> = (0..BOXES)
            .map(|place| match self.runs(place) {
                true => (self.case.weight)(place),
                false => 0.0,
            })
            .collect();
        let mut left = self.random.random::<f64>() * weights.iter().sum::<f64>();
        let place = weights.iter().position(|weight| {
            left -= weight;
            left < 0.0
        });
        place.unwrap_or(BOXES - 1)
    }

    fn take_request(&mut self) {
        let (place, now) = (self.draw_box(), self.now());
        let is_urgent = self.random.random_bool(self.case.urgent_ratio);
        let is_short = self.random.random_bool(self.case.short_ratio);
        let priority = if is_urgent { URGENT } else { ORDINARY };
        self.boxes[place].budget.count_request(now);
        self.boxes[place].demand.count_request(priority, now);
        self.requests.push(SimRequest {
            place,
            priority,
            arrived_ms: self.now_ms,
            deadline_ms: self.now_ms
                + if is_short {
                    SHORT_DEADLINE_MS
                } else {
                    DEADLINE_MS
                },
            is_judged: self.is_shedding(),
            tried: Vec::new(),
            own_resends: 0,
            is_served: false,
            is_first_served: false,
        });
        self.send(self.requests.len() - 1);
        if !self.is_shedding() && self.random.random_bool(self.case.hedged_ratio) {
            self.hedge(place);
        }
    }

    /// Sends a hedge if the box's own share allows it, or that of another box.
    fn hedge(&mut self, place: usize) {
        let now = self.now();
        let membership = self.membership(place);
        let budget = &mut self.boxes[place].budget;
        if budget.try_spend(ResendKind::Hedge, membership, now).allowed {
            self.resends_ms.push(self.now_ms);
            return self.schedule(WORK_MS, Event::HedgeEnds { place });
        }
        let share = ResendKind::Hedge.budget_share();
        let left = |place: &usize| self.usage[*place].1 * share - self.usage[*place].0;
        let lenders = (0..BOXES).filter(|other| *other != place && left(other) >= 1.0);
        let Some(lender) = lenders.max_by(|a, b| left(a).total_cmp(&left(b))) else {
            return;
        };
        let budget = &mut self.boxes[lender].budget;
        if budget.try_lend(ResendKind::Hedge, membership, now).allowed {
            self.usage[lender].0 += 1.0;
            self.resends_ms.push(self.now_ms);
        }
    }

    fn pick(&mut self, request: usize) -> Pick {
        let now = self.now();
        let request = &self.requests[request];
        let run = &self.boxes[request.place];
        let pick_request = PickRequest {
            retry_safe: request.tried.len() + 1 < usize::from(MAX_ATTEMPTS),
            typical_latency: Duration::from_millis(WORK_MS),
            cross_data_centre_cost: Duration::from_millis(30),
            tried: &request.tried,
            service_load: run.budget.service_load(now),
        };
        let pick = run.balancer.pick(&pick_request, now, &mut self.random);
        pick.expect("a server is open")
    }

    fn send(&mut self, request: usize) {
        let pick = self.pick(request);
        let (now, key) = (self.now(), pick.server.key());
        let server = self.keys.iter().position(|known| *known == key).unwrap();
        let expected = ExpectedLatency {
            baseline_ms: pick.baseline_ms,
            healthy_ms: pick.healthy_ms,
            service_time: ServiceTime::new(),
        };
        let is_shedding = self.is_shedding();
        let shed_ratio = (self.case.shed)(server);
        let sent = &mut self.requests[request];
        sent.tried.push(key);
        let attempt = self.boxes[sent.place].balancer.begin(key, expected, now);
        if sent.tried.len() > 1 {
            self.resends_ms.push(self.now_ms);
            self.judged_resends += u32::from(sent.is_judged);
        }
        let refused = is_shedding && self.random.random_bool(shed_ratio);
        let ends = Event::AttemptEnds {
            request,
            attempt,
            refused,
        };
        self.schedule(if refused { REFUSAL_MS } else { WORK_MS }, ends);
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        let place = match event {
            Event::AttemptEnds { request, .. }
            | Event::LeaseAsked { request, .. }
            | Event::LeaseDecided { request, .. } => self.requests[request].place,
            Event::HedgeEnds { place } => place,
        };
        if !self.runs(place) {
            // The request is lost with its box.
            return;
        }
        match event {
            Event::AttemptEnds {
                request,
                attempt,
                refused,
            } => self.end_attempt(request, attempt, refused),
            Event::LeaseAsked {
                request,
                lender,
                is_forwarded,
            } => self.ask_lender(request, lender, is_forwarded),
            Event::LeaseDecided { request, granted } => match granted {
                true => self.send(request),
                false => self.finish(request, false),
            },
            Event::HedgeEnds { place } => {
                self.boxes[place].budget.finish_request(1, 0, now);
            }
        }
    }

    fn end_attempt(&mut self, request: usize, attempt: AttemptId, refused: bool) {
        let now = self.now();
        let place = self.requests[request].place;
        let outcome = match refused {
            true => HealthOutcome::Refused,
            false => HealthOutcome::Good,
        };
        self.boxes[place].balancer.end(attempt, outcome, now);
        self.boxes[place].demand.count_attempt(!refused, now);
        match refused {
            true => self.resend(request),
            false => self.finish(request, true),
        }
    }

    fn resend(&mut self, request: usize) {
        let now = self.now();
        let state = &self.requests[request];
        let place = state.place;
        let remaining = state.deadline_ms.saturating_sub(self.now_ms);
        let decision = |in_budget| {
            decide_retry(
                AttemptEnd::RefusedBeforeRunning,
                RouteClass::Read,
                MAX_ATTEMPTS,
                Duration::from_millis(remaining),
                state.tried.len(),
                true,
                in_budget,
            )
        };
        if !matches!(decision(true), RetryDecision::Retry(_)) {
            return self.finish(request, false);
        }
        if self.allocation == Allocation::Planned && !self.is_planned(request) {
            return self.finish(request, false);
        }
        let membership = self.membership(place);
        let budget = &mut self.boxes[place].budget;
        if budget
            .try_spend(ResendKind::AfterFailure, membership, now)
            .allowed
        {
            self.requests[request].own_resends += 1;
            return self.send(request);
        }
        let hub = place % DATA_CENTRES;
        let lender = match (self.is_connected(place), place == hub) {
            (false, _) => None,
            (true, true) => self.choose_lender(place, place, true),
            (true, false) => Some(hub),
        };
        match lender {
            Some(lender) => self.schedule(
                LEASE_HOP_MS,
                Event::LeaseAsked {
                    request,
                    lender,
                    is_forwarded: place == hub,
                },
            ),
            None => self.finish(request, false),
        }
    }

    /// Decides by the plan, as the request's box would.
    fn is_planned(&mut self, request: usize) -> bool {
        let now = self.now();
        let pick = self.pick(request);
        let state = &self.requests[request];
        let until = |ms: u64| Duration::from_millis(ms.saturating_sub(self.now_ms));
        let gain = resend_gain(&ResendGainInputs {
            failure_probability: pick.failure_probability,
            refusal_probability: pick.refusal_probability,
            expected: Duration::from_secs_f64(pick.expected_ms / 1000.0),
            service_time: ServiceTime::new(),
            time_to_latency_target: until(state.arrived_ms + TARGET_MS),
            time_to_deadline: until(state.deadline_ms),
        });
        let (place, priority) = (state.place, state.priority);
        let membership = self.membership(place);
        let hub = place % DATA_CENTRES;
        let members = (0..BOXES).filter(|place| place % DATA_CENTRES == hub);
        let usage = members.map(|place| self.usage[place]);
        let mut used = usage.fold((0.0, 0.0), |sum, of_box| {
            (sum.0 + of_box.0, sum.1 + of_box.1)
        });
        let run = &mut self.boxes[place];
        let own = run.budget.check(ResendKind::AfterFailure, membership, now);
        let mut boxes = BOXES;
        if membership.state == MembershipState::Disconnected {
            used = (f64::from(own.spent), own.limit());
            boxes = 1;
        }
        run.demand.count_needed(priority, gain, now);
        let inputs = ResendPlanInputs {
            priority,
            gain,
            max_attempts: MAX_ATTEMPTS,
            requests_per_s: run.budget.service_load(now).requests_per_s,
            budget_used_ratio: used.0 / f64::max(used.1, 1.0),
            answered_ratio: run.balancer.answered_ratio(now),
            boxes,
            settings: RetryBudgetSettings {
                slack: own.slack * BOXES as f64,
                ..SETTINGS
            },
        };
        let decision = run.demand.decide(&inputs, now);
        decision.stop.is_none()
    }

    /// A box grants a lease from its own budget; a hub forwards it to the box with the
    /// most budget left, members before other hubs.
    fn ask_lender(&mut self, request: usize, lender: usize, is_forwarded: bool) {
        let now = self.now();
        if !self.runs(lender) || !self.is_connected(lender) {
            let denied = Event::LeaseDecided {
                request,
                granted: false,
            };
            return self.schedule(RESEND_LEASE_TTL.as_millis() as u64, denied);
        }
        let membership = self.membership(lender);
        let budget = &mut self.boxes[lender].budget;
        let lent = budget.try_lend(ResendKind::AfterFailure, membership, now);
        if lent.allowed {
            let decided = Event::LeaseDecided {
                request,
                granted: true,
            };
            return self.schedule(LEASE_HOP_MS, decided);
        }
        let place = self.requests[request].place;
        let is_hub = lender < DATA_CENTRES;
        let next = match is_hub {
            true => self.choose_lender(lender, place, !is_forwarded),
            false => None,
        };
        match next {
            Some(lender) => self.schedule(
                LEASE_HOP_MS,
                Event::LeaseAsked {
                    request,
                    lender,
                    is_forwarded: true,
                },
            ),
            None => self.schedule(
                LEASE_HOP_MS,
                Event::LeaseDecided {
                    request,
                    granted: false,
                },
            ),
        }
    }

    /// Chooses as `ResendLeases::choose_lender` does.
    fn choose_lender(
        &mut self,
        hub: usize,
        requester: usize,
        other_hubs: bool,
    ) -> Option<usize> {
        let left = |place: usize| self.usage[place].1 - self.usage[place].0;
        let members = (0..BOXES).filter(|place| {
            place % DATA_CENTRES == hub && *place != hub && *place != requester
        });
        let members = members.filter(|place| left(*place) >= 1.0);
        let member = members.max_by(|a, b| left(*a).total_cmp(&left(*b)));
        if let Some(member) = member {
            self.usage[member].0 += 1.0;
            return Some(member);
        }
        if !other_hubs {
            return None;
        }
        let sum = |hub: usize| {
            let places = (0..BOXES).filter(|place| place % DATA_CENTRES == hub);
            places.map(left).sum::<f64>()
        };
        let hubs = (0..DATA_CENTRES).filter(|other| *other != hub);
        let hubs = hubs.filter(|other| sum(*other) >= 1.0);
        let chosen = hubs.max_by(|a, b| sum(*a).total_cmp(&sum(*b)))?;
        self.usage[chosen].0 += 1.0;
        Some(chosen)
    }

    fn finish(&mut self, request: usize, is_answered: bool) {
        let now = self.now();
        let state = &mut self.requests[request];
        let in_time = self.now_ms <= state.deadline_ms;
        state.is_served = is_answered && in_time;
        state.is_first_served = state.is_served && state.tried.len() == 1;
        let budget = &mut self.boxes[state.place].budget;
        budget.finish_request(state.own_resends, 0, now);
        if !state.is_served {
            budget.count_failed_request(now);
        }
    }

    fn send_report(&mut self) {
        let now = self.now();
        let mut servers = self.latest_servers();
        for (place, run) in self.boxes.iter_mut().enumerate() {
            for (key, tally) in run.balancer.take_changes() {
                let server = self.keys.iter().position(|known| *known == key).unwrap();
                servers[place][server] = tally;
            }
        }
        let usage = (0..BOXES).map(|place| {
            let membership = self.membership(place);
            if !self.runs(place) {
                return (0.0, 0.0);
            }
            let budget = &mut self.boxes[place].budget;
            let check = budget.check(ResendKind::AfterFailure, membership, now);
            (f64::from(check.spent), check.limit())
        });
        let usage = usage.collect();
        let services = self.boxes.iter().map(|run| run.budget.own()).collect();
        self.reports.push(Report {
            due_ms: self.now_ms + REPORT_DELAY_MS,
            servers,
            services,
            usage,
        });
    }

    fn latest_servers(&self) -> Vec<Vec<ServerTally>> {
        let latest = self.reports.last().unwrap_or(&self.reported);
        latest.servers.clone()
    }

    fn deliver_reports(&mut self) {
        let now_ms = self.now_ms;
        let due = |report: &mut Report| report.due_ms <= now_ms;
        let due: Vec<Report> = self.reports.extract_if(.., due).collect();
        for report in due {
            self.deliver(report);
        }
    }

    /// Each box receives the sum of the reports of the others.
    fn deliver(&mut self, report: Report) {
        let now = self.now();
        let sum = |tallies: &[Vec<ServerTally>], server: usize| {
            let all = tallies.iter().map(|of_box| of_box[server]);
            all.fold(ServerTally::default(), |sum, tally| sum.plus(&tally))
        };
        let hears: Vec<bool> = (0..BOXES).map(|n| self.is_connected(n)).collect();
        for server in 0..SERVERS {
            let total = sum(&report.servers, server);
            let before = sum(&self.reported.servers, server);
            for (place, run) in self.boxes.iter_mut().enumerate() {
                let others = total.minus(&report.servers[place][server]);
                let earlier = before.minus(&self.reported.servers[place][server]);
                if others != earlier && hears[place] {
                    let tally = (self.keys[server], others);
                    let updates = others.since(&earlier);
                    run.balancer.apply_remote(1, tally, &updates, now);
                }
            }
        }
        for (place, run) in self.boxes.iter_mut().enumerate() {
            if !hears[place] {
                continue;
            }
            for other in (0..BOXES).filter(|other| *other != place) {
                let tally =
                    report.services[other].increase_since(&self.reported.services[other]);
                run.budget.merge_remote_counts(tally, now);
            }
        }
        self.usage.clone_from(&report.usage);
        self.reported = report;
    }

    /// Returns what was served, and what a perfect allocation of the budget would have
    /// served after the same first attempts: all resends that are allowed until the
    /// servers stop shedding, to the servers that shed least, first for the urgent
    /// requests that have time for them.
    fn outcome(&self) -> Outcome {
        let mut outcome = Outcome {
            resends: f64::from(self.judged_resends),
            ..Outcome::default()
        };
        for request in self.requests.iter().filter(|request| request.is_judged) {
            let class = usize::from(request.priority != URGENT);
            outcome.requests[class] += 1.0;
            outcome.first_served[class] += f64::from(u8::from(request.is_first_served));
            outcome.served[class] += f64::from(u8::from(request.is_served));
        }
        let in_rule =
            SETTINGS.ratio * REQUESTS_PER_S * SETTINGS.window_s + SETTINGS.slack;
        outcome.perfect = self.perfect(&outcome, in_rule);
        outcome.perfect_as_counted = self.perfect(&outcome, self.budget_of_one_box());
        outcome
    }

    /// Returns what is served at best with this many resends.
    fn perfect(&self, outcome: &Outcome, mut resends: f64) -> [f64; 2] {
        let chance = (0..3)
            .map(|n| 1.0 - (self.case.shed)(n))
            .fold(0.0, f64::max);
        std::array::from_fn(|class| {
            let have_time = outcome.requests[class] * (1.0 - self.case.short_ratio);
            let first_served = outcome.first_served[class];
            // A request that fails is sent again twice at most.
            let needed = (have_time - first_served) * (1.0 + (1.0 - chance));
            let given = needed.min(resends);
            resends -= given;
            first_served + given * chance
        })
    }

    /// Returns how many resends one box with all requests would allow itself while the
    /// servers shed.
    fn budget_of_one_box(&self) -> f64 {
        let alone = FleetMembership {
            boxes: 1,
            state: MembershipState::Joined,
        };
        let mut budget = FleetRetryBudget::new(SETTINGS);
        let mut arrivals = self.requests.iter().map(|r| r.arrived_ms).peekable();
        let mut resends = 0;
        for ms in 0..SHED_UNTIL_MS {
            let now = self.start + Duration::from_millis(ms);
            while arrivals.next_if(|arrived| *arrived <= ms).is_some() {
                budget.count_request(now);
            }
            let kind = ResendKind::AfterFailure;
            while ms >= SHED_FROM_MS && budget.try_spend(kind, alone, now).allowed {
                budget.finish_request(1, 0, now);
                resends += 1;
            }
        }
        f64::from(resends)
    }

    /// Returns the largest number of resends in any window. Asserts that none has more
    /// than the rule allows.
    fn most_resends_in_a_window(&self) -> usize {
        let window_ms = (SETTINGS.window_s * 1000.0) as u64;
        let (mut first, mut first_request, mut most) = (0, 0, 0);
        for (last, at) in self.resends_ms.iter().enumerate() {
            while self.resends_ms[first] + window_ms <= *at {
                first += 1;
            }
            while self.requests[first_request].arrived_ms + window_ms <= *at {
                first_request += 1;
            }
            let resends = last + 1 - first;
            let until = self.requests.partition_point(|r| r.arrived_ms <= *at);
            let requests = (until - first_request) as f64;
            let allowed = SETTINGS.ratio * requests + SETTINGS.slack;
            assert!(resends as f64 <= allowed, "{resends} of {allowed}");
            most = most.max(resends);
        }
        most
    }
}

/// Plays a case with several seeds and prints the figures.
fn play(case: Case, allocation: Allocation) -> Outcome {
    let plays = SEEDS.map(|seed| Play::new(case, allocation, seed).run());
    let outcomes = plays.iter().map(Play::outcome);
    let sum = outcomes.fold(Outcome::default(), |sum, outcome| sum.plus(&outcome));
    let most = plays.iter().map(Play::most_resends_in_a_window).max();
    println!(
        "{}, {allocation:?}: served {:.3} and {:.3} after {:.3} at first; of the best by \
         the rule {:.3?}, by the counts {:.3?}; resends {:.0}, at most {most:?} in a window",
        case.name,
        sum.served[0] / sum.requests[0],
        sum.served[1] / sum.requests[1].max(1.0),
        sum.first_served[0] / sum.requests[0],
        sum.ratios(&sum.perfect),
        sum.ratios(&sum.perfect_as_counted),
        sum.resends / SEEDS.len() as f64,
    );
    sum
}

/// Asserts that nearly as many urgent requests, and nearly as many of all, are served as
/// with a perfect allocation of the budget that the boxes count.
fn assert_near_best(case: Case) {
    // Printed only: the figures that the plan is compared with.
    play(case, Allocation::FirstCome);
    let outcome = play(case, Allocation::Planned);
    let (urgent, all) = outcome.ratios(&outcome.perfect_as_counted);
    assert!(urgent >= GOAL, "{}: {urgent:.3} of the urgent", case.name);
    assert!(all >= GOAL, "{}: {all:.3} of all", case.name);
}

#[test]
fn as_many_are_served_as_at_best_where_all_requests_are_alike() {
    assert_near_best(ALIKE);
}

#[test]
fn ordinary_requests_leave_the_resends_to_urgent_ones_that_need_them_all() {
    assert_near_best(TWO_PRIORITIES);
}

#[test]
fn ordinary_requests_get_the_resends_that_few_urgent_ones_do_not_need() {
    assert_near_best(FEW_URGENT);
}

#[test]
fn resends_that_boxes_with_few_requests_do_not_need_are_used() {
    assert_near_best(UNEVEN_BOXES);
}

#[test]
fn no_resends_go_to_requests_whose_time_is_over() {
    assert_near_best(SHORT_OF_TIME);
}

#[test]
fn hedges_leave_enough_resends_for_shedding_that_follows() {
    assert_near_best(HEDGED_BEFORE);
}

#[test]
fn resends_go_to_the_servers_that_shed_least() {
    assert_near_best(UNEQUAL_SERVERS);
}

/// Asserts that the plan serves more of the urgent requests by at least this fraction,
/// and hardly fewer of all.
fn assert_urgent_gain(case: Case, min_gain: f64) {
    let before = play(case, Allocation::FirstCome);
    let planned = play(case, Allocation::Planned);
    let urgent = |outcome: &Outcome| outcome.served[0] / outcome.requests[0];
    let gain = urgent(&planned) - urgent(&before);
    assert!(gain >= min_gain, "{}: {gain:.3} gained", case.name);
    let all = |outcome: &Outcome| outcome.ratios(&outcome.perfect).1;
    let lost = all(&before) - all(&planned);
    assert!(lost <= 0.01, "{}: {lost:.3} of all lost", case.name);
}

/// Returns how many fewer of the ordinary requests the plan serves, as a fraction.
fn ordinary_loss(case: Case) -> f64 {
    let before = play(case, Allocation::FirstCome);
    let planned = play(case, Allocation::Planned);
    let ordinary = |outcome: &Outcome| outcome.served[1] / outcome.requests[1];
    ordinary(&before) - ordinary(&planned)
}

#[test]
fn ordinary_requests_are_sent_again_while_few_attempts_fail() {
    let case = Case {
        name: "a tenth of the servers sheds nearly all",
        shed: |server| if server.is_multiple_of(10) { 0.9 } else { 0.02 },
        urgent_ratio: 0.7,
        ..ALIKE
    };
    let loss = ordinary_loss(case);
    assert!(loss <= 0.01, "{loss:.3} of the ordinary requests lost");
}

#[test]
fn ordinary_requests_lose_little_where_the_budget_just_suffices() {
    let case = Case {
        name: "a third of the servers sheds nearly all",
        shed: |server| if server.is_multiple_of(3) { 0.9 } else { 0.02 },
        urgent_ratio: 0.7,
        ..ALIKE
    };
    let loss = ordinary_loss(case);
    assert!(loss <= 0.07, "{loss:.3} of the ordinary requests lost");
}

#[test]
fn urgent_requests_come_first_while_the_hub_of_a_data_centre_is_lost() {
    let case = Case {
        name: "a hub lost for 3 s",
        is_connected: |data_centre, shed_ms| {
            data_centre != 1 || !(2_000..5_000).contains(&shed_ms)
        },
        ..TWO_PRIORITIES
    };
    assert_urgent_gain(case, 0.1);
}

#[test]
fn urgent_requests_come_first_after_a_quarter_of_the_boxes_is_lost() {
    let case = Case {
        name: "a quarter of the boxes lost",
        runs: |place, shed_ms| place % 4 != 3 || shed_ms < 3_000,
        ..TWO_PRIORITIES
    };
    assert_urgent_gain(case, 0.1);
}

#[test]
fn urgent_requests_come_first_also_in_boxes_that_receive_no_reports() {
    let case = Case {
        name: "boxes without reports",
        is_connected: |_, _| false,
        ..TWO_PRIORITIES
    };
    assert_urgent_gain(case, 0.05);
}

/// A service that is short of resends, of which servers answer half of the attempts.
fn short_of_resends(priority: Priority, gain: f64) -> ResendPlanInputs {
    ResendPlanInputs {
        priority,
        gain,
        max_attempts: MAX_ATTEMPTS,
        requests_per_s: REQUESTS_PER_S,
        budget_used_ratio: 0.9,
        answered_ratio: 0.5,
        boxes: BOXES,
        settings: SETTINGS,
    }
}

/// Returns the demand of a box that got the given requests, each of which needed a
/// resend.
fn demand_of(requests: &[(Priority, f64)], now: Instant) -> ResendDemand {
    let mut demand = ResendDemand::default();
    for (priority, gain) in requests {
        demand.count_request(*priority, now);
        demand.count_attempt(false, now);
        demand.count_needed(*priority, *gain, now);
    }
    demand
}

#[test]
fn requests_of_one_priority_are_never_held_back_for_each_other() {
    let now = Instant::now();
    let demand = demand_of(&[(URGENT, 0.5); 40], now);
    for used in [0.0, 0.9, 1.0] {
        let inputs = ResendPlanInputs {
            budget_used_ratio: used,
            ..short_of_resends(URGENT, 0.5)
        };
        assert_eq!(demand.decide(&inputs, now).stop, None);
    }
}

#[test]
fn only_a_short_budget_is_reserved_for_more_urgent_requests() {
    let now = Instant::now();
    let requests: Vec<_> = (0..40)
        .map(|n| (if n % 2 == 0 { URGENT } else { ORDINARY }, 0.5))
        .collect();
    let demand = demand_of(&requests, now);
    let stop = |inputs: &ResendPlanInputs| demand.decide(inputs, now).stop;
    let ordinary = short_of_resends(ORDINARY, 0.5);
    assert_eq!(stop(&ordinary), Some(StopReason::Reserved));
    assert_eq!(stop(&short_of_resends(URGENT, 0.5)), None);
    let ample = RetryBudgetSettings {
        ratio: 2.0,
        ..SETTINGS
    };
    let ample = ResendPlanInputs {
        settings: ample,
        budget_used_ratio: 0.1,
        ..ordinary
    };
    assert_eq!(stop(&ample), None);
}

#[test]
fn a_resend_that_will_hardly_succeed_comes_after_all_others() {
    let now = Instant::now();
    let demand = demand_of(&[(ORDINARY, 0.5); 40], now);
    let hopeless = short_of_resends(URGENT, 0.01);
    assert_eq!(
        demand.decide(&hopeless, now).stop,
        Some(StopReason::Unlikely)
    );
    assert_eq!(
        demand.decide(&short_of_resends(ORDINARY, 0.5), now).stop,
        None
    );
}

#[test]
fn the_gain_of_a_resend_falls_with_the_time_left_and_with_refusals() {
    let gain = |refusal_probability, target_ms, deadline_ms| {
        resend_gain(&ResendGainInputs {
            failure_probability: 0.1,
            refusal_probability,
            expected: Duration::from_millis(150),
            service_time: ServiceTime::new(),
            time_to_latency_target: Duration::from_millis(target_ms),
            time_to_deadline: Duration::from_millis(deadline_ms),
        })
    };
    let ample = gain(0.0, 5_000, 5_000);
    assert!((0.85..=0.9).contains(&ample), "{ample}");
    let late = gain(0.0, 0, 5_000);
    assert!((late / ample - 0.5).abs() < 0.02, "{late}");
    assert!(gain(0.0, 0, 20) < 0.05 * ample);
    assert!((gain(0.5, 5_000, 5_000) / ample - 0.5).abs() < 0.01);
}

#[test]
fn a_small_budget_over_many_boxes_is_not_reserved_while_little_fails() {
    let now = Instant::now();
    let mut demand = ResendDemand::default();
    for priority in [URGENT, ORDINARY].repeat(20) {
        demand.count_request(priority, now);
        demand.count_attempt(true, now);
    }
    for requests_per_s in [0.0, 10.0] {
        let inputs = ResendPlanInputs {
            requests_per_s,
            budget_used_ratio: 0.0,
            answered_ratio: 0.98,
            settings: RetryBudgetSettings {
                slack: 10.0,
                ..SETTINGS
            },
            ..short_of_resends(ORDINARY, 0.9)
        };
        assert_eq!(demand.decide(&inputs, now).stop, None);
    }
}

#[test]
fn no_resends_are_reserved_for_requests_that_may_not_be_sent_again() {
    let now = Instant::now();
    let mut demand = demand_of(&[(ORDINARY, 0.5); 20], now);
    for _ in 0..20 {
        demand.count_request(URGENT, now);
        demand.count_attempt(false, now);
        demand.count_not_resendable(URGENT, now);
    }
    let ordinary = ResendPlanInputs {
        budget_used_ratio: 0.5,
        ..short_of_resends(ORDINARY, 0.5)
    };
    assert_eq!(demand.decide(&ordinary, now).stop, None);
    for _ in 0..40 {
        demand.count_needed(URGENT, 0.5, now);
    }
    assert_eq!(
        demand.decide(&ordinary, now).stop,
        Some(StopReason::Reserved)
    );
}
