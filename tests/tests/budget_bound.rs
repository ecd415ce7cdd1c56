//! Simulates retry budgets in virtual time. Guards against more resends in a window than
//! allowed, for example if boxes that start after a loss of all boxes assume that nothing
//! was spent before, and so spend the slack twice.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wingspur_coordination::{AnnouncementView, FleetView, LinkPeer, OWN_LINK, PeerRole};
use wingspur_protocol::{FleetStatus, MembershipUpdate};
use wingspur_state::{
    DataCentreId, FleetMembership, FleetRetryBudget, ResendKind, RetryBudgetSettings,
};

const SETTINGS: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.2,
    window_s: 10.0,
    slack: 60.0,
};
const SPAN_MS: i64 = 10_000;
const STEP_MS: u64 = 50;
const DATA_CENTRES: usize = 4;
/// A fleet of many boxes with few requests each, and one of few boxes with many.
const FLEETS: [usize; 2] = [40, 8];
/// The number of boxes that the scenarios' rates are for.
const RATED_BOXES: usize = 40;
/// The delay of an update from one box to another. `LONGEST_ARRIVAL_MS` is the longest
/// delay of a resend to its server.
const UPDATE_DELAY_MS: u64 = 100;
/// How often each side of a link receives an update: less often than boxes send them.
const UPDATE_INTERVAL_MS: u64 = 300;
const LONGEST_ARRIVAL_MS: u64 = 400;

/// The rates and faults of a play.
struct Scenario {
    name: &'static str,
    /// Requests per second of a box.
    rate: fn(place: usize, ms: u64) -> f64,
    /// The probability that a request asks for resends.
    failing: fn(ms: u64) -> f64,
    /// Whether a box runs.
    runs: fn(place: usize, ms: u64) -> bool,
    /// Whether two data centres are connected.
    connected: fn(one: usize, other: usize, ms: u64) -> bool,
    /// When a resend that would arrive at the given time reaches its server.
    reaches_server_ms: fn(ms: u64) -> u64,
}

fn steady(_: usize, _: u64) -> f64 {
    1.75
}

fn always(_: usize, _: u64) -> bool {
    true
}

fn all_connected(_: usize, _: usize, _: u64) -> bool {
    true
}

fn at_once(ms: u64) -> u64 {
    ms
}

fn within(ms: u64, from_s: u64, until_s: u64) -> bool {
    (from_s * 1000..until_s * 1000).contains(&ms)
}

const SCENARIOS: [Scenario; 6] = [
    Scenario {
        name: "all boxes lost in the middle of a window",
        rate: steady,
        failing: |ms| if ms > 27_500 { 0.6 } else { 0.05 },
        runs: |_, ms| !within(ms, 32, 33),
        connected: all_connected,
        reaches_server_ms: at_once,
    },
    Scenario {
        name: "boxes and hubs stopped in turn",
        rate: steady,
        failing: |ms| if ms > 27_500 { 0.6 } else { 0.05 },
        runs: |place, ms| {
            let from_ms = 28_000 + 300 * place as u64;
            !(place < 24 && (from_ms..from_ms + 1_200).contains(&ms))
        },
        connected: all_connected,
        reaches_server_ms: at_once,
    },
    Scenario {
        name: "many resends asked for at once",
        rate: |_, ms| if ms % 10_000 < 50 { 150.0 } else { 1.2 },
        failing: |ms| if ms > 25_000 { 0.9 } else { 0.0 },
        runs: always,
        connected: all_connected,
        reaches_server_ms: at_once,
    },
    Scenario {
        name: "halves that do not hear each other while boxes join",
        rate: steady,
        failing: |ms| if ms > 20_000 { 0.5 } else { 0.05 },
        runs: |place, ms| place % 4 != 3 || ms > 30_000,
        connected: |one, other, ms| one / 2 == other / 2 || !within(ms, 27, 47),
        reaches_server_ms: at_once,
    },
    Scenario {
        name: "single boxes killed again and again",
        rate: steady,
        failing: |ms| if ms > 20_000 { 0.6 } else { 0.05 },
        runs: |place, ms| {
            let phase_ms = ms + 400 * (place as u64 / 4);
            place % 4 != 1 || ms < 20_000 || phase_ms % 4_000 > 700
        },
        connected: all_connected,
        reaches_server_ms: at_once,
    },
    Scenario {
        name: "traffic moves from one data centre to another",
        rate: |place, ms| {
            let turn = (ms / 10_000) as usize % DATA_CENTRES;
            if place % DATA_CENTRES == turn {
                7.0
            } else {
                0.0
            }
        },
        failing: |ms| if ms > 20_000 { 0.7 } else { 0.05 },
        runs: always,
        connected: all_connected,
        reaches_server_ms: at_once,
    },
];

/// Identifies one instance of a box, from its start to its end.
type InstanceId = u64;

/// A running box.
struct SimBox {
    budget: FleetRetryBudget,
    fleet: FleetView,
    instance: InstanceId,
}

/// A link between two instances of boxes, each by place and instance.
#[derive(Clone, Copy, PartialEq)]
struct SimLink {
    one: (usize, InstanceId),
    other: (usize, InstanceId),
    /// Whether the first is a member of the other, its hub.
    of_member: bool,
}

/// An update in transit.
struct SentUpdate {
    due_ms: u64,
    sent_at: Instant,
    link: u64,
    to: usize,
    note: FleetStatus,
    census: MembershipUpdate,
}

/// A request that asks for a resend.
struct ResendRequest {
    at_ms: u64,
    place: usize,
    instance: InstanceId,
    resends: u32,
    /// Attempts without a response: they are still on their way to a server.
    unanswered: u32,
}

/// A request that ends, with its resends.
struct EndingRequest {
    at_ms: u64,
    place: usize,
    instance: InstanceId,
    resends: u32,
    unanswered: u32,
}

struct Play<'a> {
    scenario: &'a Scenario,
    fleet: usize,
    start: Instant,
    now_ms: u64,
    random: StdRng,
    boxes: BTreeMap<usize, SimBox>,
    hubs: [Option<usize>; DATA_CENTRES],
    links: BTreeMap<u64, SimLink>,
    next_link: u64,
    last_instance: InstanceId,
    sent: Vec<SentUpdate>,
    asking: Vec<ResendRequest>,
    ending: Vec<EndingRequest>,
    requests_ms: Vec<u64>,
    arrivals_ms: Vec<u64>,
}

impl<'a> Play<'a> {
    fn new(scenario: &'a Scenario, fleet: usize, seed: u64) -> Self {
        Self {
            scenario,
            fleet,
            start: Instant::now() + Duration::from_secs(100),
            now_ms: 0,
            random: StdRng::seed_from_u64(seed),
            boxes: BTreeMap::new(),
            hubs: [None; DATA_CENTRES],
            links: BTreeMap::new(),
            next_link: OWN_LINK + 1,
            last_instance: 0,
            sent: Vec::new(),
            asking: Vec::new(),
            ending: Vec::new(),
            requests_ms: Vec::new(),
            arrivals_ms: Vec::new(),
        }
    }

    /// Plays sixty seconds.
    fn run(&mut self) {
        while self.now_ms < 60_000 {
            self.update_boxes();
            self.update_links();
            self.send_updates();
            self.receive();
            self.take_requests();
            self.make_resends();
            self.end_requests();
            self.now_ms += STEP_MS;
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn update_boxes(&mut self) {
        let now = self.now();
        for place in 0..self.fleet {
            if !(self.scenario.runs)(place, self.now_ms) {
                self.boxes.remove(&place);
            } else if !self.boxes.contains_key(&place) {
                self.last_instance += 1;
                let started = SimBox {
                    budget: FleetRetryBudget::new(SETTINGS),
                    fleet: FleetView::new(key_of(place), now),
                    instance: self.last_instance,
                };
                self.boxes.insert(place, started);
            }
        }
        // The first running box of a data centre is its hub.
        self.hubs = std::array::from_fn(|data_centre| {
            let here = self.boxes.keys().copied();
            here.filter(|place| place % DATA_CENTRES == data_centre)
                .min()
        });
    }

    fn wanted_links(&self) -> Vec<SimLink> {
        let run = |place: usize| (place, self.boxes[&place].instance);
        let mut wanted = Vec::new();
        for place in self.boxes.keys().copied() {
            let hub = self.hubs[place % DATA_CENTRES]
                .expect("a data centre with a running box has a hub");
            if hub != place {
                wanted.push(SimLink {
                    one: run(place),
                    other: run(hub),
                    of_member: true,
                });
            }
        }
        for one in 0..DATA_CENTRES {
            for other in 0..one {
                let hubs = self.hubs[one].zip(self.hubs[other]);
                let is_connected = (self.scenario.connected)(one, other, self.now_ms);
                if let Some((one, other)) = hubs.filter(|_| is_connected) {
                    wanted.push(SimLink {
                        one: run(one),
                        other: run(other),
                        of_member: false,
                    });
                }
            }
        }
        wanted
    }

    fn update_links(&mut self) {
        let wanted = self.wanted_links();
        let removed = self.links.iter().filter(|(_, link)| !wanted.contains(link));
        let removed: Vec<(u64, SimLink)> =
            removed.map(|(id, link)| (*id, *link)).collect();
        for (id, link) in removed {
            self.links.remove(&id);
            self.sent.retain(|sent| sent.link != id);
            for run in [link.one, link.other] {
                self.end_link(run, id);
            }
        }
        for link in wanted {
            if !self.links.values().any(|known| *known == link) {
                self.begin_link(link);
            }
        }
    }

    fn end_link(&mut self, (place, instance): (usize, InstanceId), id: u64) {
        let now = self.now();
        let same = self
            .boxes
            .get_mut(&place)
            .filter(|run| run.instance == instance);
        if let Some(run) = same {
            run.fleet.drop_link(id, now);
        }
    }

    fn begin_link(&mut self, link: SimLink) {
        let id = self.next_link;
        self.next_link += 1;
        self.links.insert(id, link);
        let with = match link.of_member {
            true => [PeerRole::OwnHub, PeerRole::Member],
            false => [PeerRole::Hub, PeerRole::Hub],
        };
        let now = self.now();
        let ends = [(link.one, link.other), (link.other, link.one)];
        for (((place, _), (peer, _)), with) in ends.into_iter().zip(with) {
            let run = self.boxes.get_mut(&place).expect("the box runs");
            let there = LinkPeer {
                data_centre: name_of(peer % DATA_CENTRES),
                key: key_of(peer),
            };
            run.fleet.add_link(id, there, with, now);
        }
    }

    /// Each box sends an update on each of its links.
    fn send_updates(&mut self) {
        if !self.now_ms.is_multiple_of(UPDATE_INTERVAL_MS) {
            return;
        }
        let links: Vec<(u64, SimLink)> =
            self.links.iter().map(|(id, link)| (*id, *link)).collect();
        for (id, link) in links {
            self.send(id, link.one.0, link.other.0);
            self.send(id, link.other.0, link.one.0);
        }
    }

    fn send(&mut self, link: u64, from: usize, to: usize) {
        let (known, now) = (self.announced(from), self.now());
        let with = match (self.links[&link].of_member, known.is_hub) {
            (true, true) => PeerRole::Member,
            (true, false) => PeerRole::OwnHub,
            (false, _) => PeerRole::Hub,
        };
        let run = self.boxes.get_mut(&from).expect("the box runs");
        self.sent.push(SentUpdate {
            due_ms: self.now_ms + UPDATE_DELAY_MS,
            sent_at: now,
            link,
            to,
            note: run.fleet.outgoing_notes(&known, now).note_for(with),
            census: run.fleet.membership_updates_for(link),
        });
    }

    /// The announcements that a box reads in the store: every box reads them, even while
    /// data centres are disconnected.
    fn announced(&self, place: usize) -> AnnouncementView {
        let here = place % DATA_CENTRES;
        let elsewhere = (0..DATA_CENTRES).filter(|other| *other != here);
        let elsewhere = elsewhere.filter(|other| self.hubs[*other].is_some());
        AnnouncementView {
            announced_boxes: 1,
            reported_fleet_size: 0,
            data_centres: elsewhere.map(name_of).collect(),
            hub_candidates: Vec::new(),
            is_hub: self.is_hub(place),
            is_acting_hub: false,
            age: Some(Duration::ZERO),
        }
    }

    fn is_hub(&self, place: usize) -> bool {
        self.hubs[place % DATA_CENTRES] == Some(place)
    }

    fn receive(&mut self) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let due = |sent: &mut SentUpdate| sent.due_ms <= now_ms;
        let arrived: Vec<SentUpdate> = self.sent.extract_if(.., due).collect();
        for sent in arrived {
            let known = self.announced(sent.to);
            let run = self
                .boxes
                .get_mut(&sent.to)
                .expect("a removed link has no updates in transit");
            let sent_at = Some(sent.sent_at);
            run.fleet
                .receive_membership(sent.link, &sent.census, &known, now);
            run.fleet
                .receive(sent.link, sent.note, &known, sent_at, now);
        }
    }

    fn take_requests(&mut self) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let rate_factor = RATED_BOXES as f64 / self.fleet as f64;
        for (place, run) in &mut self.boxes {
            let rate = (self.scenario.rate)(*place, now_ms) * rate_factor;
            let mut due = rate * STEP_MS as f64 / 1000.0;
            while self.random.random_bool(due.clamp(0.0, 1.0)) {
                due -= 1.0;
                run.budget.count_request(now);
                self.requests_ms.push(now_ms);
                if self.random.random_bool((self.scenario.failing)(now_ms)) {
                    self.asking.push(ResendRequest {
                        at_ms: now_ms + STEP_MS * self.random.random_range(0..4),
                        place: *place,
                        instance: run.instance,
                        resends: 0,
                        unanswered: 0,
                    });
                }
            }
        }
    }

    /// Makes the resends that are due and allowed.
    fn make_resends(&mut self) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let due = |asking: &mut ResendRequest| asking.at_ms <= now_ms;
        let asking: Vec<ResendRequest> = self.asking.extract_if(.., due).collect();
        let window = Duration::from_secs_f64(SETTINGS.window_s);
        for mut asking in asking {
            let place = asking.place;
            let same = self.boxes.get(&place);
            if same.is_none_or(|run| run.instance != asking.instance) {
                continue;
            }
            let known = self.announced(place);
            let run = self.boxes.get_mut(&place).expect("the box runs");
            let membership = run.fleet.membership(window, &known, now);
            let allowed = run
                .budget
                .try_spend(ResendKind::AfterFailure, membership, now)
                .allowed;
            let mut ends_ms = now_ms;
            if allowed {
                asking.resends += 1;
                let steps = self.random.random_range(0..=LONGEST_ARRIVAL_MS / STEP_MS);
                let arrives_ms = now_ms + STEP_MS * steps;
                let reaches_ms = (self.scenario.reaches_server_ms)(arrives_ms);
                self.arrivals_ms.push(reaches_ms);
                asking.unanswered += u32::from(reaches_ms > arrives_ms);
                ends_ms = arrives_ms + STEP_MS;
            }
            if allowed && asking.resends < MOST_RESENDS {
                asking.at_ms = ends_ms;
                self.asking.push(asking);
            } else {
                self.ending.push(EndingRequest {
                    at_ms: ends_ms,
                    place,
                    instance: asking.instance,
                    resends: asking.resends,
                    unanswered: asking.unanswered,
                });
            }
        }
    }

    fn end_requests(&mut self) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let due = |ending: &mut EndingRequest| ending.at_ms <= now_ms;
        let ending: Vec<EndingRequest> = self.ending.extract_if(.., due).collect();
        for ending in ending {
            let same = self.boxes.get_mut(&ending.place);
            if let Some(run) = same.filter(|run| run.instance == ending.instance) {
                run.budget
                    .finish_request(ending.resends, ending.unanswered, now);
            }
        }
    }

    /// Returns the worst span of the window's length: resends, the number allowed
    /// including the slack, and its start.
    fn worst(&self) -> (usize, f64, u64) {
        let spans = worst_span(&self.requests_ms, &self.arrivals_ms, self.now_ms);
        let (arrived, credit, from_ms) = spans;
        (arrived, credit + SETTINGS.slack, from_ms)
    }
}

/// Returns the worst span of the window's length: resends, the number that the requests
/// allow, and its start.
///
/// Spans end within the play, since requests after a span count for later ones.
fn worst_span(
    requests_ms: &[u64],
    arrivals_ms: &[u64],
    until_ms: u64,
) -> (usize, f64, u64) {
    let requests = CountBySteps::new(requests_ms, until_ms);
    let arrivals = CountBySteps::new(arrivals_ms, until_ms);
    let of = |from_ms: i64| {
        let most = [0, SPAN_MS, SPAN_MS / 2]
            .map(|back| requests.within(from_ms - back, from_ms - back + SPAN_MS))
            .into_iter()
            .max();
        let most = most.expect("there are three");
        let arrived = arrivals.within(from_ms, from_ms + SPAN_MS);
        (arrived, SETTINGS.ratio * most as f64, from_ms.max(0) as u64)
    };
    let starts = (-SPAN_MS..until_ms as i64 - SPAN_MS).step_by(STEP_MS as usize);
    let all = starts.map(of);
    all.max_by(|a, b| (a.0 as f64 - a.1).total_cmp(&(b.0 as f64 - b.1)))
        .expect("there are spans")
}

/// A box that restarts keeps its key.
fn key_of(place: usize) -> u64 {
    place as u64 + 1
}

fn name_of(data_centre: usize) -> DataCentreId {
    format!("dc-{data_centre}").as_str().into()
}

/// The number of moments before each step.
struct CountBySteps(Vec<usize>);

impl CountBySteps {
    fn new(moments_ms: &[u64], until_ms: u64) -> Self {
        let steps = (until_ms / STEP_MS) as usize + 2;
        let mut before = vec![0; steps + 1];
        for moment in moments_ms {
            let step = (moment / STEP_MS) as usize;
            before[(step + 1).min(steps)] += 1;
        }
        for step in 0..steps {
            before[step + 1] += before[step];
        }
        Self(before)
    }

    /// Returns the number of moments in a span, both ends included.
    fn within(&self, from_ms: i64, until_ms: i64) -> usize {
        let step =
            |ms: i64| (ms.max(0) as usize / STEP_MS as usize).min(self.0.len() - 1);
        if until_ms < 0 {
            return 0;
        }
        self.0[(step(until_ms) + 1).min(self.0.len() - 1)] - self.0[step(from_ms)]
    }
}

/// Returns the plays of the scenarios that exceed the bound, with their figures.
fn broken(scenarios: &[Scenario]) -> Vec<String> {
    let mut broken = Vec::new();
    for scenario in scenarios {
        for (fleet, seed) in FLEETS
            .into_iter()
            .flat_map(|fleet| (0..SEEDS).map(move |seed| (fleet, seed)))
        {
            let mut play = Play::new(scenario, fleet, seed);
            play.run();
            let (arrived, allowed, from_ms) = play.worst();
            let all = play.arrivals_ms.len();
            let summary = format!(
                "{}, {fleet} boxes, seed {seed}: {arrived} resends of {allowed:.1} \
                 from {from_ms} ms, {all} in all",
                scenario.name
            );
            eprintln!("{summary}");
            if arrived as f64 > allowed {
                broken.push(summary);
            }
        }
    }
    broken
}

const SEEDS: u64 = 3;
/// Maximum number of resends of one request.
const MOST_RESENDS: u32 = 2;

#[test]
fn no_window_holds_more_resends_than_allowed() {
    let broken = broken(&SCENARIOS);
    assert!(broken.is_empty(), "{broken:#?}");
}

/// The links to the servers stall for three seconds. Requests are given up meanwhile, but
/// data already written still reaches the servers afterwards, even on closed connections.
/// If the ledger counted these resends as arrived a quarter of a second after their
/// requests ended, it would allow too many in the ten seconds after the stall.
#[test]
fn resends_that_reach_servers_after_their_requests_have_ended_count_when_they_do() {
    let broken = broken(&[Scenario {
        name: "links to servers stand still",
        rate: steady,
        failing: |ms| if ms > 27_500 { 0.6 } else { 0.05 },
        runs: always,
        connected: all_connected,
        reaches_server_ms: |ms| if within(ms, 28, 31) { 31_000 } else { ms },
    }]);
    assert!(broken.is_empty(), "{broken:#?}");
}

/// All callers move from one of two boxes to the other every ten seconds, and both boxes
/// always spend all that they may. In no window may this be more than a fifth of the
/// fleet's requests.
#[test]
fn callers_that_move_from_one_box_to_another_are_not_counted_twice() {
    let start = Instant::now() + Duration::from_secs(100);
    let alone = FleetMembership::unknown();
    let mut boxes = [(); 2].map(|()| FleetRetryBudget::new(SETTINGS));
    let (mut requests_ms, mut arrivals_ms) = (Vec::new(), Vec::new());
    for now_ms in (0..60_000u64).step_by(STEP_MS as usize) {
        let now = start + Duration::from_millis(now_ms);
        let asked = &mut boxes[(now_ms / 10_000 % 2) as usize];
        (0..2).for_each(|_| asked.count_request(now));
        requests_ms.extend([now_ms; 2]);
        for budget in &mut boxes {
            while budget
                .try_spend(ResendKind::AfterFailure, alone, now)
                .allowed
            {
                budget.finish_request(1, 0, now);
                arrivals_ms.push(now_ms);
            }
        }
    }
    let (arrived, credit, from_ms) = worst_span(&requests_ms, &arrivals_ms, 60_000);
    assert!(
        arrived as f64 <= credit,
        "{arrived} of {credit} from {from_ms} ms"
    );
    assert!(arrivals_ms.len() > 200, "{} of 480", arrivals_ms.len());
}
