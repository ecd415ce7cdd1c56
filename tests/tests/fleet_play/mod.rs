//! A fleet in virtual time: boxes of three data centres, hubs that hold parts of allowances and
//! lend, members that borrow, requests, faults, and messages on the way. The decisions are
//! the real ones; a seed decides the rest.
#![allow(dead_code, reason = "each suite uses a part")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wingspur_coordination::{
    AnnouncementView, DataCentreQuota, FleetView, LinkPeer, PeerRole, PendingGrant,
    Quota, QuotaAllocator, QuotaLeaseManager, QuotaMessages, QuotaTopology,
};
use wingspur_protocol::{
    DelegatedShare, FleetStatus, LeaseMessages, LeasedResource, MembershipUpdate,
};
use wingspur_state::{
    AcquireOutcome, ClientAccount, DataCentreId, QuotaTerms, QuotaTolerance, ServerKey,
    ServerLimitChange, ServerLimits, quota_request_probability,
};

pub const QUOTA: QuotaTolerance = QuotaTolerance {
    window_s: 5.0,
    overrun: 0.1,
    slack: 20.0,
};
const STEP_MS: u64 = 10;
const DATA_CENTRES: usize = 3;
/// What a message takes; the longest where a play says nothing else.
const LEAST_WAY_MS: u64 = 1;
const MOST_WAY_MS: u64 = 8;
const SIGN_OF_LIFE_MS: u64 = 150;
/// How often links are looked at.
const LINKS_EVERY_MS: u64 = 50;
/// How often boxes go on with what waits, note their part while nothing does, and drop pools
/// that are full.
const GO_ON_EVERY_MS: u64 = 20;
const NOTED_EVERY_MS: u64 = 200;
const TIDY_EVERY_MS: u64 = 1_000;
/// Who waits longer is refused.
const PATIENCE_MS: u64 = 1_800;
/// A run that starts has its links after this, and callers before it.
const LINKED_AFTER_MS: u64 = 400;
pub const END_MS: u64 = 40_000;
/// Callers come once the fleet has settled.
pub const OPEN_MS: u64 = 6_000;

/// What happens in a play.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub name: &'static str,
    /// What is asked for, as a multiple of the usual.
    pub asked: fn(ms: u64) -> f64,
    /// Whether a box runs.
    pub runs: fn(place: usize, ms: u64) -> bool,
    /// Whether two boxes hear each other.
    pub hears: fn(one: usize, other: usize, ms: u64) -> bool,
    /// Until when a box stands still; 0 where it does not.
    pub frozen_until: fn(place: usize, ms: u64) -> u64,
    /// When what is sent between boxes can arrive.
    pub passes: fn(ms: u64) -> u64,
}

pub fn half(_: u64) -> f64 {
    0.5
}

pub fn tenfold(ms: u64) -> f64 {
    if ms.is_multiple_of(3_000) || ms > 20_000 {
        10.0
    } else {
        0.5
    }
}

fn always(_: usize, _: u64) -> bool {
    true
}

fn all_hear(_: usize, _: usize, _: u64) -> bool {
    true
}

fn never(_: usize, _: u64) -> u64 {
    0
}

fn at_once(ms: u64) -> u64 {
    ms
}

fn within(ms: u64, from_ms: u64, until_ms: u64) -> bool {
    (from_ms..until_ms).contains(&ms)
}

pub const CALM: Scenario = Scenario {
    name: "calm",
    asked: half,
    runs: always,
    hears: all_hear,
    frozen_until: never,
    passes: at_once,
};

fn all_lost(_: usize, ms: u64) -> bool {
    !within(ms, 15_000, 15_900) && !within(ms, 17_500, 18_300)
}

fn hubs_in_series(place: usize, ms: u64) -> bool {
    let from_ms = 12_000 + 700 * place as u64;
    place >= 24 || !within(ms, from_ms, from_ms + 1_000)
}

fn one_by_one(place: usize, ms: u64) -> bool {
    !(ms > 10_000 && (ms / 1_300 + place as u64 * 7).is_multiple_of(11))
}

fn one_data_centre_alone(one: usize, other: usize, ms: u64) -> bool {
    let alone = |place: usize| place % DATA_CENTRES == 1;
    alone(one) == alone(other) || !within(ms, 14_000, 24_000)
}

fn boxes_cut_off(one: usize, other: usize, ms: u64) -> bool {
    let cut = |place: usize| place % 4 == 3;
    !(cut(one) || cut(other)) || !within(ms, 13_000, 22_000)
}

fn frozen(place: usize, ms: u64) -> u64 {
    let wakes = 16_000 + 300 * (place as u64 % 9);
    if place % 5 < 2 && within(ms, 14_000, wakes) {
        wakes
    } else {
        0
    }
}

fn links_stand_still(ms: u64) -> u64 {
    if within(ms, 14_000, 17_000) {
        17_000
    } else {
        ms
    }
}

/// Boxes are stopped and started one after the other, a fifth are killed, and then six in ten
/// at once; each is back after three tenths of a second.
fn most_lost_after_a_roll(place: usize, ms: u64) -> bool {
    let rolled_ms = 10_000 + 600 * (place as u64 / 2);
    let is_rolled = place < 16 && within(ms, rolled_ms, rolled_ms + 300);
    let is_killed = place.is_multiple_of(5) && within(ms, 18_000, 18_300);
    let is_lost = place * 7 % 10 < 6 && within(ms, 22_000, 22_300);
    !(is_rolled || is_killed || is_lost)
}

fn seven_tenths(_: u64) -> f64 {
    0.7
}

/// Losses of boxes while an account asks for less than its limit.
pub const LOSSES: Scenario = Scenario {
    name: "most lost after a roll",
    asked: seven_tenths,
    runs: most_lost_after_a_roll,
    ..CALM
};

/// The faults, each alone.
pub fn faults() -> Vec<Scenario> {
    vec![
        CALM,
        Scenario {
            name: "all lost twice",
            runs: all_lost,
            ..CALM
        },
        Scenario {
            name: "hubs stopped in series",
            runs: hubs_in_series,
            ..CALM
        },
        Scenario {
            name: "boxes killed one by one",
            runs: one_by_one,
            ..CALM
        },
        Scenario {
            name: "one data centre alone",
            hears: one_data_centre_alone,
            ..CALM
        },
        Scenario {
            name: "boxes cut off",
            hears: boxes_cut_off,
            ..CALM
        },
        Scenario {
            name: "boxes frozen",
            frozen_until: frozen,
            ..CALM
        },
        Scenario {
            name: "links stand still",
            passes: links_stand_still,
            ..CALM
        },
    ]
}

/// Two faults at once; of two of the same sort the second.
pub fn both(one: &Scenario, other: &Scenario) -> Scenario {
    let is_of = |scenario: &Scenario, names: &[&str]| names.contains(&scenario.name);
    let kills = [
        "all lost twice",
        "hubs stopped in series",
        "boxes killed one by one",
    ];
    let cuts = ["one data centre alone", "boxes cut off"];
    let of = |names: &[&str]| match is_of(other, names) {
        true => *other,
        false => *one,
    };
    Scenario {
        name: other.name,
        asked: one.asked,
        runs: of(&kills).runs,
        hears: of(&cuts).hears,
        frozen_until: of(&["boxes frozen"]).frozen_until,
        passes: of(&["links stand still"]).passes,
    }
}

/// A message between two runs of boxes.
struct Message {
    due_ms: u64,
    from: Run,
    to: Run,
    what: What,
}

type Run = (usize, u64);

#[derive(Clone)]
enum What {
    Note {
        told: FleetStatus,
        census: MembershipUpdate,
        left: Vec<DelegatedShare>,
        sent: Instant,
        echo: Option<Instant>,
    },
    Lending(LeaseMessages),
    /// The server's limit, with how long ago it said so.
    Limit(Option<f64>, Duration),
    /// A hub has ended a link in order: it uses the other side's part no more.
    Ended,
}

/// What is shared out in a play.
enum Subject {
    /// What a client account may ask for.
    Account(Arc<ClientAccount>),
    /// What a server takes.
    Server(LimitedServer),
}

/// One of a service's servers, which names limits.
#[derive(Clone, Copy)]
pub struct LimitedServer {
    /// What it names, by the time.
    pub names: fn(ms: u64) -> Option<f64>,
    /// The service's servers.
    pub servers: usize,
    /// What is asked of the service in a second.
    pub requests_per_s: f64,
    /// Whether there is no other server that could take a request.
    pub is_only: bool,
}

/// A request that reached the server.
#[derive(Clone, Copy)]
pub struct Arrival {
    pub ms: u64,
    /// Since when its box has known a limit; none where it knows of none.
    pub told_ms: Option<u64>,
}

/// An answer of the server on its way.
struct ServerAnswer {
    due_ms: u64,
    to: Run,
    per_s: Option<f64>,
}

struct SimBox {
    life: u64,
    since_ms: u64,
    view: FleetView,
    desk: QuotaLeaseManager,
    /// Requests that wait, by when they came, with where they are told the outcome.
    waiting: VecDeque<(u64, PendingGrant)>,
    limits: ServerLimits,
    /// Since when it has known that there is a limit.
    told_ms: Option<u64>,
    links: BTreeMap<Run, SimLink>,
}

struct SimLink {
    with: PeerRole,
    /// When the last message that was heard was sent, by the sender's clock.
    echo: Option<Instant>,
    /// When what was heard last was true at the earliest, by the own clock.
    vouched: Option<Instant>,
    /// What is still to be told of the server's limit.
    limit: Option<ServerLimitChange>,
}

pub struct Play {
    scenario: Scenario,
    boxes_planned: usize,
    subject: Subject,
    random: StdRng,
    start: Instant,
    now_ms: u64,
    boxes: BTreeMap<usize, SimBox>,
    messages: Vec<Message>,
    lives: u64,
    answers: Vec<ServerAnswer>,
    pub granted_ms: Vec<u64>,
    pub arrivals: Vec<Arrival>,
    pub asked: u64,
    pub refused: u64,
    /// When a box last knew of a limit while the server named none, and for how long at most.
    pub longest_unheard_ms: u64,
    named_none_since_ms: Option<u64>,
    /// The most that the parts of a server's allowance added up to, over all boxes.
    pub most_parts: f64,
}

impl Play {
    /// A play of an account with a limit.
    pub fn of_account(
        scenario: Scenario,
        boxes_planned: usize,
        per_s: f64,
        seed: u64,
    ) -> Self {
        let account = ClientAccount {
            name: "school".into(),
            keys_sha256: Vec::new(),
            priority: 0,
            requests_per_s: per_s,
            burst: per_s,
        };
        let subject = Subject::Account(Arc::new(account));
        Self::new(scenario, boxes_planned, subject, seed)
    }

    /// A play of a server that names limits.
    pub fn of_server(
        scenario: Scenario,
        boxes_planned: usize,
        server: LimitedServer,
        seed: u64,
    ) -> Self {
        Self::new(scenario, boxes_planned, Subject::Server(server), seed)
    }

    fn new(
        scenario: Scenario,
        boxes_planned: usize,
        subject: Subject,
        seed: u64,
    ) -> Self {
        Self {
            scenario,
            boxes_planned,
            subject,
            random: StdRng::seed_from_u64(seed),
            start: Instant::now() + Duration::from_secs(100),
            now_ms: 0,
            boxes: BTreeMap::new(),
            messages: Vec::new(),
            lives: 0,
            answers: Vec::new(),
            granted_ms: Vec::new(),
            arrivals: Vec::new(),
            asked: 0,
            refused: 0,
            longest_unheard_ms: 0,
            named_none_since_ms: None,
            most_parts: 0.0,
        }
    }

    pub fn run(mut self) -> Self {
        while self.now_ms < END_MS {
            self.follow_boxes();
            self.deliver();
            if self.now_ms.is_multiple_of(SIGN_OF_LIFE_MS) {
                self.tell();
            }
            if self.now_ms.is_multiple_of(LIMITS_EVERY_MS) {
                self.tell_limits();
            }
            self.take_server_answers();
            self.let_callers_come();
            if self.now_ms.is_multiple_of(GO_ON_EVERY_MS) {
                self.go_on();
            }
            self.tell_callers();
            self.note_unheard();
            if self.now_ms.is_multiple_of(LINKS_EVERY_MS) {
                self.add_up_parts();
            }
            self.now_ms += STEP_MS;
        }
        self
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn is_frozen(&self, place: usize) -> bool {
        (self.scenario.frozen_until)(place, self.now_ms) > self.now_ms
    }

    fn awake(&self) -> Vec<usize> {
        let places = self.boxes.keys().copied();
        places.filter(|place| !self.is_frozen(*place)).collect()
    }

    fn follow_boxes(&mut self) {
        let now = self.now();
        for place in 0..self.boxes_planned {
            let runs = (self.scenario.runs)(place, self.now_ms);
            if !runs {
                self.boxes.remove(&place);
            } else if !self.boxes.contains_key(&place) {
                self.lives += 1;
                let fresh = SimBox {
                    life: self.lives,
                    since_ms: self.now_ms,
                    view: FleetView::new(key_of(place), now)
                        .in_data_centre(centre(place)),
                    desk: QuotaLeaseManager::new(now),
                    waiting: VecDeque::new(),
                    limits: ServerLimits::default(),
                    told_ms: None,
                    links: BTreeMap::new(),
                };
                self.boxes.insert(place, fresh);
            }
        }
        if self.now_ms.is_multiple_of(LINKS_EVERY_MS) {
            self.follow_links();
        }
    }

    /// The hub that a box of a data centre goes by: the first that runs and that it hears.
    fn hub_for(&self, place: usize) -> Option<usize> {
        let here = self.boxes.keys().copied();
        let mut here = here.filter(|other| other % DATA_CENTRES == place % DATA_CENTRES);
        here.find(|other| {
            let heard = (self.scenario.hears)(place, *other, self.now_ms);
            *other == place || (heard && self.is_linkable(*other))
        })
    }

    fn is_linkable(&self, place: usize) -> bool {
        let run = &self.boxes[&place];
        self.now_ms >= run.since_ms + LINKED_AFTER_MS
    }

    fn is_hub(&self, place: usize) -> bool {
        self.hub_for(place) == Some(place)
    }

    fn follow_links(&mut self) {
        let mut wanted: Vec<(Run, Run, PeerRole, PeerRole)> = Vec::new();
        let places: Vec<usize> = self.boxes.keys().copied().collect();
        let run = |place: usize| (place, self.boxes[&place].life);
        let hubs: Vec<usize> = places
            .iter()
            .copied()
            .filter(|place| self.is_hub(*place))
            .collect();
        for place in places
            .iter()
            .copied()
            .filter(|place| self.is_linkable(*place))
        {
            if let Some(hub) = self.hub_for(place).filter(|hub| *hub != place) {
                let ends = (PeerRole::OwnHub, PeerRole::Member);
                wanted.push((run(place), run(hub), ends.0, ends.1));
            }
        }
        for (index, one) in hubs.iter().copied().enumerate() {
            for other in hubs[..index].iter().copied() {
                let apart = one % DATA_CENTRES != other % DATA_CENTRES;
                let heard = (self.scenario.hears)(one, other, self.now_ms);
                if apart && heard && self.is_linkable(one) && self.is_linkable(other) {
                    wanted.push((run(one), run(other), PeerRole::Hub, PeerRole::Hub));
                }
            }
        }
        let now = self.now();
        for (one, other, with, back) in &wanted {
            for (from, to, with) in [(one, other, with), (other, one, back)] {
                let end = self.boxes.get_mut(&from.0).expect("it runs");
                if !end.links.contains_key(to) {
                    end.links.insert(
                        *to,
                        SimLink {
                            with: *with,
                            echo: None,
                            vouched: None,
                            limit: end.limits.current_limits().pop(),
                        },
                    );
                    let peer = LinkPeer {
                        data_centre: centre(to.0),
                        key: key_of(to.0),
                    };
                    end.view.add_link(to.1, peer, *with, now);
                }
            }
        }
        let pairs = wanted
            .iter()
            .flat_map(|(one, other, ..)| [(*one, *other), (*other, *one)]);
        let pairs: BTreeSet<(Run, Run)> = pairs.collect();
        let mut left_hubs = Vec::new();
        for (place, end) in &mut self.boxes {
            let own = (*place, end.life);
            let links = end.links.keys().copied();
            let gone: Vec<Run> =
                links.filter(|to| !pairs.contains(&(own, *to))).collect();
            for to in gone {
                let link = end.links.remove(&to).expect("it was there");
                end.view.drop_link(to.1, now);
                if link.with == PeerRole::OwnHub {
                    left_hubs.push((own, to));
                }
            }
        }
        for (member, hub) in left_hubs {
            let runs = self.boxes.get(&hub.0).is_some_and(|run| run.life == hub.1);
            let hears = (self.scenario.hears)(member.0, hub.0, self.now_ms);
            if runs && hears && !self.is_frozen(hub.0) {
                self.send(hub, member, What::Ended);
            }
        }
    }

    fn announced(&self, place: usize) -> AnnouncementView {
        let others = (0..DATA_CENTRES).filter(|other| *other != place % DATA_CENTRES);
        AnnouncementView {
            announced_boxes: 1,
            // Announcements of a fleet that has run for a while tell its size.
            reported_fleet_size: if self.now_ms > OPEN_MS {
                self.boxes_planned
            } else {
                0
            },
            data_centres: others.map(centre).collect(),
            is_hub: self.is_hub(place),
            is_acting_hub: false,
            age: Some(Duration::ZERO),
        }
    }

    fn send(&mut self, from: Run, to: Run, what: What) {
        let way = self.random.random_range(LEAST_WAY_MS..=MOST_WAY_MS);
        let due_ms = (self.scenario.passes)(self.now_ms + way);
        self.messages.push(Message {
            due_ms,
            from,
            to,
            what,
        });
    }

    fn tell(&mut self) {
        let now = self.now();
        for place in self.awake() {
            let known = self.announced(place);
            let run = self.boxes.get_mut(&place).expect("it runs");
            let told = run.view.outgoing_notes(&known, now);
            let from = (place, run.life);
            let links: Vec<_> = run
                .links
                .iter()
                .map(|(to, link)| (*to, link.echo))
                .collect();
            let notes = links.into_iter().map(|(to, echo)| {
                let told = run.view.note_for_link(to.1, &told, now);
                let census = run.view.census_for(to.1);
                let left = run.view.delegate_shares(to.1, &known, now);
                (
                    to,
                    What::Note {
                        told,
                        census,
                        left,
                        sent: now,
                        echo,
                    },
                )
            });
            let notes: Vec<_> = notes.collect();
            for (to, note) in notes {
                self.send(from, to, note);
            }
        }
    }

    /// What a box is among the others.
    fn standing(&mut self, place: usize) -> QuotaTopology {
        let (now, known) = (self.now(), self.announced(place));
        let run = self.boxes.get_mut(&place).expect("it runs");
        let links = |with: PeerRole| {
            let links = run.links.iter().filter(move |(_, link)| link.with == with);
            links.map(|(to, _)| to.1)
        };
        let own_hub = links(PeerRole::OwnHub).next();
        let lenders =
            own_hub.map_or_else(|| links(PeerRole::Hub).collect(), |hub| vec![hub]);
        let names = (0..DATA_CENTRES).map(centre).filter(|_| own_hub.is_none());
        let names: Vec<_> = names.collect();
        let places = names.into_iter().map(|name| DataCentreQuota {
            share: run.view.share_for(&name, &known, now),
            allocator: run.view.allocator_for(&name, now),
            data_centre: name,
        });
        QuotaTopology {
            own_hub,
            allocators: lenders,
            data_centres: places.collect(),
            share: run.view.share(&known, now),
        }
    }

    /// Boxes note their parts, go on with what waits, and drop full pools now and then.
    fn go_on(&mut self) {
        let now = self.now();
        for place in self.awake() {
            let standing = self.standing(place);
            let subject = self.subject.allowance();
            let run = self.boxes.get_mut(&place).expect("it runs");
            let is_due = self.now_ms.is_multiple_of(NOTED_EVERY_MS);
            if !run.desk.has_pending() && !is_due {
                continue;
            }
            run.desk.update_shares(&standing, now);
            let find = |_| allowance_of(&subject, &run.limits);
            let messages = run.desk.poll(&standing, &find, now);
            if self.now_ms.is_multiple_of(TIDY_EVERY_MS) {
                run.desk.evict_idle(&find, now);
            }
            self.send_all(place, messages);
        }
    }

    fn send_all(&mut self, place: usize, messages: QuotaMessages) {
        let run = &self.boxes[&place];
        let from = (place, run.life);
        let to = |link| run.links.keys().copied().find(|to| to.1 == link);
        let messages = messages.into_iter();
        let messages = messages.filter_map(|message| {
            let to = to(message.link)?;
            Some((to, What::Lending(message.lending)))
        });
        let messages: Vec<_> = messages.collect();
        for (to, what) in messages {
            self.send(from, to, what);
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let due = |message: &mut Message| message.due_ms <= now_ms;
        let due: Vec<Message> = self.messages.extract_if(.., due).collect();
        for message in due {
            let place = message.to.0;
            if self.is_frozen(place) {
                let due_ms = (self.scenario.frozen_until)(place, now_ms);
                self.messages.push(Message { due_ms, ..message });
                continue;
            }
            let is_end = matches!(message.what, What::Ended);
            let same = self.boxes.get(&place).is_some_and(|run| {
                let is_linked = run.links.contains_key(&message.from);
                run.life == message.to.1 && (is_linked || is_end)
            });
            if same {
                self.take(message);
            }
        }
    }

    fn take(&mut self, Message { from, to, what, .. }: Message) {
        let now = self.now();
        let known = self.announced(to.0);
        let standing = self.standing(to.0);
        let subject = self.subject.allowance();
        let run = self.boxes.get_mut(&to.0).expect("it runs");
        if matches!(what, What::Ended) {
            return run.view.release_share(from.1, now);
        }
        let link = run.links.get_mut(&from).expect("it is linked");
        match what {
            What::Ended => {}
            What::Note {
                told,
                census,
                left,
                sent,
                echo,
            } => {
                link.echo = Some(sent);
                link.vouched = echo.or(link.vouched);
                run.view.receive_census(from.1, &census, &known, now);
                run.view.receive(from.1, told, &known, echo, now);
                run.view.receive_delegated_shares(from.1, &left, echo);
            }
            What::Lending(lending) => {
                run.desk.update_shares(&standing, now);
                let find = |_| allowance_of(&subject, &run.limits);
                let desk = &mut run.desk;
                let mut messages = QuotaMessages::new();
                for ask in &lending.requests {
                    messages
                        .extend(desk.handle_request(from.1, ask, &standing, &find, now));
                }
                for answer in &lending.replies {
                    messages.extend(desk.handle_answer(answer, &standing, &find, now));
                }
                self.send_all(to.0, messages);
            }
            What::Limit(per_s, age) => {
                let vouched = link.vouched.unwrap_or(now);
                let told = (vouched - age, now - age);
                if let Some(change) = run.limits.receive_updates(SERVER, per_s, told) {
                    self.spread(to.0, &change, Some(from));
                }
            }
        }
    }

    fn let_callers_come(&mut self) {
        if self.now_ms < OPEN_MS {
            return;
        }
        let usual_per_s = match &self.subject {
            Subject::Account(account) => account.requests_per_s,
            Subject::Server(server) => server.requests_per_s,
        };
        let rate = (self.scenario.asked)(self.now_ms) * usual_per_s;
        let mut due = rate * STEP_MS as f64 / 1000.0;
        while self.random.random_bool(due.clamp(0.0, 1.0)) {
            due -= 1.0;
            // A few boxes see most of the callers.
            let spread = self.boxes_planned as f64;
            let place = (self.random.random::<f64>().powi(3) * spread) as usize;
            let place = (place * 7 + 3) % self.boxes_planned;
            let is_open = self
                .boxes
                .get(&place)
                .is_some_and(|run| self.now_ms >= run.since_ms + LINKED_AFTER_MS);
            if is_open && !self.is_frozen(place) {
                self.asked += 1;
                self.want(place, rate);
            }
        }
    }

    fn want(&mut self, place: usize, requests_per_s: f64) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let (of, reserve) = (self.subject.lendable(), 0.0);
        if let Subject::Server(server) = &self.subject {
            let run = &self.boxes[&place];
            let share = match run.limits.limit(SERVER) {
                _ if server.is_only => 1.0,
                Some(per_s) => {
                    quota_request_probability(per_s, requests_per_s, server.servers)
                }
                None => 1.0 / server.servers as f64,
            };
            if !self.random.random_bool(share.clamp(0.0, 1.0)) {
                return;
            }
            if run.limits.limit(SERVER).is_none() {
                return self.arrive(place);
            }
        }
        let standing = self.standing(place);
        let subject = self.subject.allowance();
        let run = self.boxes.get_mut(&place).expect("it runs");
        run.desk.update_shares(&standing, now);
        let find = |_| allowance_of(&subject, &run.limits);
        let (outcome, messages) = run.desk.acquire(of, reserve, &standing, &find, now);
        match outcome {
            Ok(AcquireOutcome::Acquired) => self.grant(place),
            Ok(_) => self.refused += 1,
            Err(told) => run.waiting.push_back((now_ms, told)),
        }
        self.send_all(place, messages);
    }

    fn grant(&mut self, place: usize) {
        self.granted_ms.push(self.now_ms);
        if matches!(self.subject, Subject::Server(_)) {
            self.arrive(place);
        }
    }

    /// A request reaches the server, which answers after a while.
    fn arrive(&mut self, place: usize) {
        let run = &self.boxes[&place];
        self.arrivals.push(Arrival {
            ms: self.now_ms,
            told_ms: run.told_ms,
        });
        let due_ms = self.now_ms + WORK_MS;
        let Subject::Server(server) = &self.subject else {
            return;
        };
        self.answers.push(ServerAnswer {
            due_ms,
            to: (place, run.life),
            per_s: (server.names)(due_ms),
        });
    }

    fn take_server_answers(&mut self) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let due = |answer: &mut ServerAnswer| answer.due_ms <= now_ms;
        let due: Vec<_> = self.answers.extract_if(.., due).collect();
        for answer in due {
            let place = answer.to.0;
            if self.is_frozen(place) {
                let due_ms = (self.scenario.frozen_until)(place, now_ms);
                self.answers.push(ServerAnswer { due_ms, ..answer });
                continue;
            }
            let run = self.boxes.get_mut(&place);
            let Some(run) = run.filter(|run| run.life == answer.to.1) else {
                continue;
            };
            run.told_ms = match answer.per_s {
                Some(_) => run.told_ms.or(Some(now_ms)),
                None => None,
            };
            if let Some(change) = run.limits.receive_answer(SERVER, answer.per_s, now) {
                self.spread(place, &change, None);
            }
        }
    }

    /// Queues a changed limit for the links that do not hear it otherwise.
    fn spread(&mut self, place: usize, change: &ServerLimitChange, from: Option<Run>) {
        let run = self.boxes.get_mut(&place).expect("it runs");
        let teller = from.and_then(|from| run.links.get(&from));
        let is_own = teller.is_none_or(|link| link.with == PeerRole::Member);
        for (to, link) in &mut run.links {
            let hears = is_own || link.with == PeerRole::Member;
            if hears && Some(*to) != from {
                link.limit = Some(*change);
            }
        }
    }

    fn tell_limits(&mut self) {
        let now = self.now();
        for place in self.awake() {
            let run = self.boxes.get_mut(&place).expect("it runs");
            let from = (place, run.life);
            let links = run.links.iter_mut();
            let told = links.filter_map(|(to, link)| Some((*to, link.limit.take()?)));
            let told: Vec<_> = told.collect();
            for (to, change) in told {
                let age = now.saturating_duration_since(change.at);
                self.send(from, to, What::Limit(change.per_s, age));
            }
        }
    }

    /// Adds up the parts of the server's allowance that boxes would use now.
    fn add_up_parts(&mut self) {
        if !matches!(self.subject, Subject::Server(_)) {
            return;
        }
        let (now, place_name) = (self.now(), centre(SERVER_PLACE));
        let mut sum = 0.0;
        for place in self.awake() {
            let known = self.announced(place);
            let run = self.boxes.get_mut(&place).expect("it runs");
            sum += run.view.share_for(&place_name, &known, now);
        }
        self.most_parts = self.most_parts.max(sum);
    }

    /// Notes for how long boxes go by a limit that the server does not name any more.
    fn note_unheard(&mut self) {
        let Subject::Server(server) = &self.subject else {
            return;
        };
        if (server.names)(self.now_ms).is_some() {
            self.named_none_since_ms = None;
            return;
        }
        let since_ms = *self.named_none_since_ms.get_or_insert(self.now_ms);
        let knows = |run: &SimBox| run.limits.limit(SERVER).is_some();
        if self.boxes.values().any(knows) {
            let unheard_ms = self.now_ms - since_ms;
            self.longest_unheard_ms = self.longest_unheard_ms.max(unheard_ms);
        }
    }

    /// Callers go on that are told what came of their requests, or that wait no longer.
    fn tell_callers(&mut self) {
        let now_ms = self.now_ms;
        for place in self.awake() {
            let run = self.boxes.get_mut(&place).expect("it runs");
            let mut granted = 0;
            run.waiting.retain(|(came_ms, told)| {
                let outcome = told.try_recv().ok();
                let is_late = came_ms + PATIENCE_MS <= now_ms;
                match outcome {
                    Some(AcquireOutcome::Acquired) => granted += 1,
                    Some(_) => self.refused += 1,
                    None if is_late => self.refused += 1,
                    None => return true,
                }
                false
            });
            for _ in 0..granted {
                self.grant(place);
            }
        }
    }

    /// The most that was let through in any window, and what is allowed.
    pub fn fullest(&self) -> (usize, f64) {
        let window_ms = (QUOTA.window_s * 1000.0) as u64;
        let mut most = 0;
        let mut first = 0;
        for (last, ms) in self.granted_ms.iter().enumerate() {
            while self.granted_ms[first] + window_ms < *ms {
                first += 1;
            }
            most = most.max(last - first + 1);
        }
        let Subject::Account(account) = &self.subject else {
            return (most, f64::INFINITY);
        };
        let limit = account.requests_per_s * QUOTA.window_s + account.burst;
        (most, limit * (1.0 + QUOTA.overrun) + QUOTA.slack)
    }
}

impl Subject {
    fn lendable(&self) -> LeasedResource {
        match self {
            Self::Account(account) => LeasedResource::Account(account.allowance()),
            Self::Server(_) => LeasedResource::Server(SERVER),
        }
    }

    /// An account's allowance; none for a server's, which each box knows by what it has heard.
    fn allowance(&self) -> Option<Quota> {
        let Self::Account(account) = self else {
            return None;
        };
        Some(Quota {
            terms: QuotaTerms::of_account(account, &QUOTA),
            allocator: QuotaAllocator::EachHub,
        })
    }
}

fn allowance_of(account: &Option<Quota>, limits: &ServerLimits) -> Option<Quota> {
    account.clone().or_else(|| {
        Some(Quota {
            terms: QuotaTerms::of_server(limits.limit(SERVER)?),
            allocator: QuotaAllocator::DataCentreHub(centre(SERVER_PLACE)),
        })
    })
}

/// Plays many at once, as the machine has processors; what came of each, in order.
pub fn play_all<T: Sync, R: Send>(plans: &[T], play: impl Fn(&T) -> R + Sync) -> Vec<R> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let each = plans.len().div_ceil(threads).max(1);
    std::thread::scope(|scope| {
        let parts = plans.chunks(each);
        let parts = parts.map(|part| scope.spawn(|| part.iter().map(&play).collect()));
        let parts: Vec<_> = parts.collect();
        let played = parts.into_iter().flat_map(|part| {
            let played: Vec<R> = part.join().expect("no play panics");
            played
        });
        played.collect()
    })
}

/// The server, and where it stands.
const SERVER: ServerKey = 7;
const SERVER_PLACE: usize = 2;
/// How long it takes for a request.
const WORK_MS: u64 = 300;
/// How often boxes tell what has changed.
const LIMITS_EVERY_MS: u64 = 50;

/// A box that starts again keeps its key.
fn key_of(place: usize) -> u64 {
    place as u64 + 1
}

fn centre(place: usize) -> DataCentreId {
    format!("dc-{}", place % DATA_CENTRES)
}
