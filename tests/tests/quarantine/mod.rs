//! A play of what boxes make of requests that end servers, in virtual time.
//!
//! The decisions are the real ones; boxes, hubs, links, the store and servers are as much of
//! a model as they need: who hears what how late, and what is out where when a server ends.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::ops::Range;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wingspur_coordination::{QuarantineRegistry, RecordOutcome, TrialDecision};
use wingspur_state::{
    RequestFingerprint, RequestParts, StorePosition, StoredQuarantine, SuspectEvent,
    SuspectMessage, SuspectRequests, SuspectUpdate,
};

pub type Ms = u64;

/// What befalls the fleet, from `FAULT_MS` on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// A third of the boxes is killed, one after the other, and starts again.
    BoxesRestart,
    /// All boxes are killed at once, and start again.
    AllLost,
    /// The hub of each data centre stops, and so does the one that follows it.
    HubsStop,
    /// One data centre neither hears the others nor is heard by them.
    DataCentreAlone,
    /// A quarter of the boxes neither hears nor reaches any other.
    BoxesCutOff,
    /// What boxes tell each other is two seconds late.
    LateLinks,
    /// The store answers nobody.
    StoreAway,
    /// The store does what it is asked, and half of its answers are lost.
    StoreLosesAnswers,
    /// A third of the servers ends at once, and comes back.
    RackLost,
    /// Servers end one after the other for reasons of their own.
    ServersEnd,
    /// A quarter of the boxes stands still for four seconds.
    Suspended,
    /// Callers of the request that ends servers come all at once.
    Burst,
    /// The store comes back twice from a copy of 2.5 seconds before.
    StoreRestored,
}

impl Fault {
    /// All that can befall a fleet.
    pub const ALL: [Self; 13] = [
        Self::BoxesRestart,
        Self::AllLost,
        Self::HubsStop,
        Self::DataCentreAlone,
        Self::BoxesCutOff,
        Self::LateLinks,
        Self::StoreAway,
        Self::StoreLosesAnswers,
        Self::RackLost,
        Self::ServersEnd,
        Self::Suspended,
        Self::Burst,
        Self::StoreRestored,
    ];
}

/// What a play came to.
#[derive(Debug, Default, Clone)]
pub struct Outcome {
    /// For each request that ends servers: how many it ended, and how often it was sent
    /// once `HEARD_MS` had passed after the third, by boxes in touch and by any.
    pub fatal: Vec<Fatal>,
    /// Requests that end no server: how many came, and were answered whole.
    pub well: usize,
    pub answered: usize,
    /// Those that were refused for what had happened to them: since no try was left, since
    /// the store could not be had, and after waiting for an outcome.
    pub refused: Refused,
    /// The most suspects that a box remembered, and the notes that were told.
    pub most_suspects: usize,
    pub notes: usize,
    /// What was written to the store.
    pub writes: usize,
    /// How often one request was sent late by any box, in touch or not.
    pub most_sent: usize,
}

impl Outcome {
    /// Adds another play's.
    pub fn add(&mut self, other: &Self) {
        self.well += other.well;
        self.answered += other.answered;
        self.refused.no_try += other.refused.no_try;
        self.refused.no_store += other.refused.no_store;
        self.refused.waited += other.refused.waited;
        self.most_suspects = self.most_suspects.max(other.most_suspects);
        self.notes = self.notes.max(other.notes);
        self.writes = self.writes.max(other.writes);
    }
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    pub no_try: usize,
    pub no_store: usize,
    pub waited: usize,
}

#[derive(Debug, Default, Clone)]
pub struct Fatal {
    pub ended: usize,
    pub sent_in_touch: usize,
    pub sent: usize,
}

/// Boxes have heard of the third server by then: the users' figure for being in touch.
pub const HEARD_MS: Ms = 3_000;
const FAULT_MS: Ms = 8_000;
const FAULT_LASTS_MS: Ms = 7_000;
const END_MS: Ms = 45_000;
/// Callers of well requests stop before the end, so that all have their answers.
const LAST_CALL_MS: Ms = 38_000;
const DATA_CENTRES: usize = 3;
const SLOTS: usize = 3;
const QUEUE: usize = 6;
const SERVER_BACK_MS: Ms = 3_000;
const BOX_BACK_MS: Ms = 600;
/// A box that starts is ready after this, with what the store holds.
const READY_AFTER_MS: Ms = 500;
/// A hub that is lost is replaced after this; one that says so, much sooner.
const HUB_LOST_MS: Ms = 1_200;
const PATIENCE_MS: Ms = 4_000;
const ATTEMPTS: usize = 2;
/// After this the hub is taken for lost.
const ANSWER_LOST_MS: Ms = 700;
const HEDGE_MS: Ms = 900;

/// Plays one fleet; `fatals` is how many requests end servers.
pub fn play(boxes: usize, fatals: usize, faults: [Fault; 2], seed: u64) -> Outcome {
    let mut play = Play::new(boxes, fatals, faults, seed);
    play.run();
    play.outcome()
}

struct Play {
    rng: StdRng,
    base: Instant,
    now: Ms,
    faults: [Fault; 2],
    events: BinaryHeap<Reverse<(Ms, u64, usize)>>,
    pending: HashMap<usize, Event>,
    next_event: usize,
    boxes: Vec<PlayedBox>,
    hubs: Vec<Option<usize>>,
    servers: Vec<PlayedServer>,
    store: Store,
    kinds: HashMap<RequestFingerprint, usize>,
    fatal_ends: Vec<Vec<Ms>>,
    fatal_sent: Vec<Vec<(Ms, usize, bool)>>,
    requests: HashMap<u64, Request>,
    next_request: u64,
    outcome: Outcome,
}

struct PlayedBox {
    life: u32,
    alive: bool,
    ready_at: Ms,
    frozen_until: Ms,
    /// When anything last befell it.
    disturbed: Ms,
    /// The newest era of the store that it has read a listing of.
    era: u64,
    suspects: SuspectRequests,
    desk: QuarantineRegistry,
}

struct PlayedServer {
    run: u64,
    up: bool,
    running: Vec<u64>,
    queue: Vec<u64>,
}

/// What the store holds of a request: its revision, the tries, and who counted.
#[derive(Clone, Copy)]
struct Record {
    revision: u64,
    tries: u32,
    counted_by: u64,
}

#[derive(Default)]
struct Store {
    era: u64,
    revision: u64,
    records: BTreeMap<RequestFingerprint, Record>,
    copy: Option<(u64, BTreeMap<RequestFingerprint, Record>)>,
}

/// A try of a caller at one box.
#[derive(Clone)]
struct Request {
    print: RequestFingerprint,
    at: usize,
    life: u32,
    limit: Ms,
    /// Attempts that are out, with the server and its run.
    out: Vec<(usize, u64)>,
    attempts: usize,
    permit: bool,
    /// Numbers its questions for a permit: a late answer is void.
    question: u32,
    tries_left: u32,
    over: bool,
}

enum Event {
    Arrive {
        print: RequestFingerprint,
        tries_left: u32,
    },
    /// A request asks for its permission, or is sent.
    Consider {
        request: u64,
    },
    Permitted {
        request: u64,
        question: u32,
        permitted: bool,
        after: Ms,
    },
    Asked {
        hub: usize,
        life: u32,
        request: u64,
        question: u32,
    },
    Counted {
        hub: usize,
        life: u32,
        request: u64,
        question: u32,
        step: DeskStepPlayed,
    },
    Work {
        server: usize,
        run: u64,
        request: u64,
    },
    Broken {
        request: u64,
        server: usize,
        run: u64,
    },
    Answered {
        request: u64,
        server: usize,
        run: u64,
    },
    Hedge {
        request: u64,
    },
    ServerUp {
        server: usize,
    },
    ServerEnds {
        server: usize,
    },
    Note {
        to: usize,
        life: u32,
        from: usize,
        note: SuspectMessage,
    },
    Record {
        to: usize,
        life: u32,
        print: RequestFingerprint,
        era: u64,
        record: Option<Record>,
    },
    CopyStore,
    RestoreStore,
    /// A box hears of a restore, with what the store held right after it.
    Restored {
        to: usize,
        life: u32,
        era: u64,
        records: Vec<(RequestFingerprint, Record)>,
    },
    BoxDown {
        place: usize,
        back: bool,
    },
    BoxUp {
        place: usize,
    },
    NewHub {
        data_centre: usize,
    },
    Greet {
        one: usize,
        other: usize,
    },
    Tidy {
        place: usize,
    },
    HubSilent {
        data_centre: usize,
    },
    Wait {
        request: u64,
        until: Ms,
    },
    Vouch {
        place: usize,
        life: u32,
        print: RequestFingerprint,
    },
    Opened {
        hub: usize,
        life: u32,
        print: RequestFingerprint,
        outcome: RecordOutcome,
    },
}

#[derive(Clone, Copy)]
struct DeskStepPlayed {
    outcome: RecordOutcome,
}

impl Play {
    fn new(boxes: usize, fatals: usize, faults: [Fault; 2], seed: u64) -> Self {
        let servers = (boxes / 4).max(9);
        let mut play = Self {
            rng: StdRng::seed_from_u64(seed),
            base: Instant::now(),
            now: 0,
            faults,
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            next_event: 0,
            boxes: (0..boxes).map(|place| PlayedBox::new(place, 0)).collect(),
            hubs: (0..DATA_CENTRES).map(Some).collect(),
            servers: (0..servers).map(|n| PlayedServer::new(n as u64)).collect(),
            store: Store::default(),
            kinds: HashMap::new(),
            fatal_ends: vec![Vec::new(); fatals],
            fatal_sent: vec![Vec::new(); fatals],
            requests: HashMap::new(),
            next_request: 0,
            outcome: Outcome::default(),
        };
        // Its caller comes again at once, or now and then.
        let pace = match seed % 2 {
            0 => 50..1_100,
            _ => 1_000..5_000,
        };
        play.schedule_callers(fatals, pace);
        play.schedule_faults();
        for place in 0..boxes {
            play.after(1_000, Event::Tidy { place });
        }
        play
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, number))) = self.events.pop() {
            if at > END_MS {
                return;
            }
            self.now = at;
            let Some(event) = self.pending.remove(&number) else {
                continue;
            };
            self.handle(event);
        }
    }

    fn outcome(mut self) -> Outcome {
        for (ends, sent) in self.fatal_ends.iter().zip(&self.fatal_sent) {
            let mut fatal = Fatal {
                ended: ends.len(),
                ..Fatal::default()
            };
            if let Some(third) = ends.get(2) {
                let late = sent.iter().filter(|(at, ..)| *at > third + HEARD_MS);
                for (_, _, in_touch) in late {
                    fatal.sent += 1;
                    fatal.sent_in_touch += usize::from(*in_touch);
                }
            }
            self.outcome.fatal.push(fatal);
        }
        self.outcome
    }

    fn has(&self, fault: Fault) -> bool {
        self.faults.contains(&fault)
    }

    fn lasts(&self) -> bool {
        (FAULT_MS..FAULT_MS + FAULT_LASTS_MS).contains(&self.now)
    }

    fn has_now(&self, fault: Fault) -> bool {
        self.has(fault) && self.lasts()
    }

    fn at(&self, ms: Ms) -> Instant {
        self.base + Duration::from_millis(ms)
    }

    fn instant(&self) -> Instant {
        self.at(self.now)
    }

    fn after(&mut self, ms: Ms, event: Event) {
        let number = self.next_event;
        self.next_event += 1;
        self.pending.insert(number, event);
        let at = self.now + ms;
        self.events.push(Reverse((at, number as u64, number)));
    }

    // What happens.

    fn schedule_callers(&mut self, fatals: usize, pace: Range<Ms>) {
        for n in 0..fatals {
            let print = print_of(&format!("fatal-{n}"));
            self.kinds.insert(print, n);
            let mut at = 3_000 + self.rng.random_range(0..2_000);
            while at < LAST_CALL_MS {
                self.after(
                    at,
                    Event::Arrive {
                        print,
                        tries_left: 0,
                    },
                );
                at += self.rng.random_range(pace.clone());
            }
            if self.has(Fault::Burst) {
                for _ in 0..20 {
                    let at = FAULT_MS + self.rng.random_range(0..150);
                    self.after(
                        at,
                        Event::Arrive {
                            print,
                            tries_left: 0,
                        },
                    );
                }
            }
        }
        // Half of the slots are busy; a tenth of the requests are for a few popular pages.
        let per_s = self.servers.len() * SLOTS * 3 / 2;
        for at in 0..LAST_CALL_MS / 1_000 {
            for n in 0..per_s {
                let ms = at * 1_000 + self.rng.random_range(0..1_000);
                let name = match n % 10 {
                    0 => format!("popular-{}", self.rng.random_range(0..4)),
                    _ => format!("page-{at}-{n}"),
                };
                let print = print_of(&name);
                self.after(
                    ms,
                    Event::Arrive {
                        print,
                        tries_left: 4,
                    },
                );
            }
        }
    }

    fn schedule_faults(&mut self) {
        let boxes = self.boxes.len();
        if self.has(Fault::BoxesRestart) {
            for (n, place) in (0..boxes).step_by(3).enumerate() {
                let at = FAULT_MS + n as Ms * FAULT_LASTS_MS * 3 / boxes as Ms;
                self.after(at, Event::BoxDown { place, back: true });
            }
        }
        if self.has(Fault::AllLost) {
            for place in 0..boxes {
                self.after(FAULT_MS + 500, Event::BoxDown { place, back: true });
            }
        }
        if self.has(Fault::HubsStop) {
            for n in 0..4 {
                for data_centre in 0..DATA_CENTRES {
                    let place = data_centre + n * DATA_CENTRES;
                    if place < boxes {
                        let at = FAULT_MS + n as Ms * 1_500;
                        self.after(at, Event::BoxDown { place, back: true });
                    }
                }
            }
        }
        if self.has(Fault::RackLost) {
            for server in 0..self.servers.len() / 3 {
                self.after(FAULT_MS, Event::ServerEnds { server });
                self.after(FAULT_MS + 4_000, Event::ServerEnds { server });
            }
        }
        if self.has(Fault::StoreRestored) {
            for at in [FAULT_MS, FAULT_MS + 3_500] {
                self.after(at - 2_500, Event::CopyStore);
                self.after(at, Event::RestoreStore);
            }
        }
        if self.has(Fault::ServersEnd) {
            for n in 0..20 {
                let server = self.rng.random_range(0..self.servers.len());
                self.after(FAULT_MS + n * 400, Event::ServerEnds { server });
            }
        }
        if self.has(Fault::Suspended) {
            let wakes = FAULT_MS + 4_000;
            for place in (1..boxes).step_by(4) {
                self.boxes[place].frozen_until = wakes;
            }
            for data_centre in 0..DATA_CENTRES {
                self.after(FAULT_MS + HUB_LOST_MS, Event::HubSilent { data_centre });
            }
        }
        let over = FAULT_MS + FAULT_LASTS_MS;
        for one in 0..boxes {
            for other in self.neighbours(one) {
                self.after(over + 300, Event::Greet { one, other });
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { print, tries_left } => self.arrive(print, tries_left),
            Event::Consider { request } => self.consider(request),
            Event::Permitted {
                request,
                question,
                permitted,
                after,
            } => self.permitted(request, question, permitted, after),
            Event::Wait { request, until } => self.wait(request, until),
            Event::Asked {
                hub,
                life,
                request,
                question,
            } => self.asked(hub, life, request, question),
            Event::Counted {
                hub,
                life,
                request,
                question,
                step,
            } => self.counted(hub, life, request, question, step),
            Event::Work {
                server,
                run,
                request,
            } => self.work(server, run, request),
            Event::Broken {
                request,
                server,
                run,
            } => self.broken(request, server, run),
            Event::Answered {
                request,
                server,
                run,
            } => {
                self.answered(request, server, run);
            }
            Event::Hedge { request } => self.hedge(request),
            Event::ServerUp { server } => self.servers[server].start(),
            Event::ServerEnds { server } => self.end_server(server),
            Event::Note {
                to,
                life,
                from,
                note,
            } => self.note(to, life, from, note),
            Event::Record {
                to,
                life,
                print,
                era,
                record,
            } => {
                self.record(to, life, print, era, record);
            }
            Event::CopyStore => {
                let records = self.store.records.clone();
                self.store.copy = Some((self.store.revision, records));
            }
            Event::RestoreStore => self.restore_store(),
            Event::Restored {
                to,
                life,
                era,
                records,
            } => self.receive_restored(to, life, era, records),
            Event::BoxDown { place, back } => self.box_down(place, back),
            Event::BoxUp { place } => self.box_up(place),
            Event::NewHub { data_centre } => self.new_hub(data_centre),
            Event::Greet { one, other } => self.greet(one, other),
            Event::Tidy { place } => self.tidy(place),
            Event::HubSilent { data_centre } => self.replace_frozen(data_centre),
            Event::Vouch { place, life, print } => self.vouch(place, life, print),
            Event::Opened {
                hub,
                life,
                print,
                outcome,
            } => {
                if self.boxes[hub].life == life {
                    let now = self.instant();
                    self.boxes[hub]
                        .desk
                        .quarantine_recorded(print, outcome, now);
                }
            }
        }
    }

    // Callers and boxes.

    fn arrive(&mut self, print: RequestFingerprint, tries_left: u32) {
        let takes: Vec<usize> = (0..self.boxes.len())
            .filter(|place| self.takes_callers(*place))
            .collect();
        let is_well = !self.kinds.contains_key(&print);
        if is_well && tries_left == 4 {
            self.outcome.well += 1;
        }
        if takes.is_empty() {
            return;
        }
        let at = takes[self.rng.random_range(0..takes.len())];
        let number = self.next_request;
        self.next_request += 1;
        let request = Request {
            print,
            at,
            life: self.boxes[at].life,
            limit: self.now + PATIENCE_MS,
            out: Vec::new(),
            attempts: 0,
            permit: false,
            question: 0,
            tries_left,
            over: false,
        };
        self.requests.insert(number, request);
        self.after(0, Event::Consider { request: number });
    }

    fn takes_callers(&self, place: usize) -> bool {
        let played = &self.boxes[place];
        played.alive && self.now >= played.ready_at && !self.is_frozen(place)
    }

    fn is_frozen(&self, place: usize) -> bool {
        self.lasts() && self.now < self.boxes[place].frozen_until
    }

    /// The request, if its box is still the one that took it.
    fn live(&mut self, number: u64) -> Option<Request> {
        let request = self.requests.get(&number)?.clone();
        let same = self.boxes[request.at].life == request.life;
        (same && !request.over).then_some(request)
    }

    fn consider(&mut self, number: u64) {
        let Some(request) = self.live(number) else {
            return;
        };
        if self.is_frozen(request.at) {
            return self.after(50, Event::Consider { request: number });
        }
        let now = self.instant();
        let suspects = &self.boxes[request.at].suspects;
        if request.permit || !suspects.is_quarantined(request.print, now) {
            return self.send(number);
        }
        if request.attempts > 0 {
            return self.fail(number, false);
        }
        if self.now >= request.limit {
            return self.fail(number, false);
        }
        if !self.has_free_slot() {
            // A permit would be lost.
            return self.after(25, Event::Consider { request: number });
        }
        let question = request.question + 1;
        self.requests.get_mut(&number).expect("it lives").question = question;
        let life = request.life;
        self.asked(request.at, life, number, question);
    }

    /// The store cannot be had: the hub may have it.
    fn ask_hub(&mut self, number: u64, question: u32) {
        let Some(request) = self.live(number) else {
            return;
        };
        let hub = self.hub_of(request.at);
        let life = self.boxes[hub].life;
        // No answer: it asks again.
        self.after(
            ANSWER_LOST_MS,
            Event::Permitted {
                request: number,
                question,
                permitted: false,
                after: 200,
            },
        );
        if let Some(way) = self.way(request.at, hub) {
            self.after(
                way,
                Event::Asked {
                    hub,
                    life,
                    request: number,
                    question,
                },
            );
        }
    }

    fn free_server(&self, up: &[usize]) -> Option<usize> {
        let has_room = |n: &&usize| self.servers[**n].running.len() < SLOTS;
        let free: Vec<usize> = up.iter().filter(has_room).copied().collect();
        let drawn = self.now as usize * 7919 % free.len().max(1);
        free.get(drawn).copied()
    }

    fn has_free_slot(&self) -> bool {
        let has_room = |server: &PlayedServer| server.up && server.running.len() < SLOTS;
        self.servers.iter().any(has_room)
    }

    fn permitted(&mut self, number: u64, question: u32, permitted: bool, after: Ms) {
        let Some(request) = self.live(number) else {
            return;
        };
        if request.question != question {
            return;
        }
        let entry = self.requests.get_mut(&number).expect("it lives");
        entry.question += 1;
        entry.permit = permitted;
        if permitted {
            return self.consider(number);
        }
        if self.now + after >= request.limit {
            return self.refuse(number, after);
        }
        self.wait(number, self.now + after);
    }

    /// Waits until the request is cleared or the time is over.
    fn wait(&mut self, number: u64, until: Ms) {
        let Some(request) = self.live(number) else {
            return;
        };
        let now = self.instant();
        let suspects = &self.boxes[request.at].suspects;
        if self.now >= until || !suspects.is_quarantined(request.print, now) {
            return self.consider(number);
        }
        let step = (until - self.now).min(25);
        self.after(
            step,
            Event::Wait {
                request: number,
                until,
            },
        );
    }

    fn asked(&mut self, hub: usize, life: u32, number: u64, question: u32) {
        if self.boxes[hub].life != life || !self.boxes[hub].alive {
            return;
        }
        if self.is_frozen(hub) {
            return self.after(
                50,
                Event::Asked {
                    hub,
                    life,
                    request: number,
                    question,
                },
            );
        }
        let Some(request) = self.live(number) else {
            return;
        };
        let now = self.instant();
        let played = &mut self.boxes[hub];
        if !played.suspects.is_quarantined(request.print, now) {
            return self.tell(hub, number, question, TrialDecision::Lend);
        }
        match played
            .desk
            .request_trial(request.print, &played.suspects, now)
        {
            TrialDecision::Count(count) => {
                let (outcome, took) = self.write(hub, request.print, count);
                let step = DeskStepPlayed { outcome };
                self.after(
                    took,
                    Event::Counted {
                        hub,
                        life,
                        request: number,
                        question,
                        step,
                    },
                );
            }
            step => self.tell(hub, number, question, step),
        }
    }

    fn counted(
        &mut self,
        hub: usize,
        life: u32,
        number: u64,
        question: u32,
        step: DeskStepPlayed,
    ) {
        if self.boxes[hub].life != life || !self.boxes[hub].alive {
            return;
        }
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let (print, now) = (request.print, self.instant());
        let is_hub = self.hub_of(hub) == hub;
        let step = self.boxes[hub]
            .desk
            .trial_recorded(print, step.outcome, is_hub, now);
        if step == TrialDecision::AskHub {
            return self.ask_hub(number, question);
        }
        self.tell(hub, number, question, step);
    }

    fn tell(&mut self, hub: usize, number: u64, question: u32, step: TrialDecision) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let Some(way) = self.way(hub, request.at) else {
            return;
        };
        let (permitted, after) = match step {
            TrialDecision::Lend => (true, 0),
            TrialDecision::Later(after) => (false, after.as_millis() as Ms),
            TrialDecision::Count(_) | TrialDecision::AskHub => {
                unreachable!("it was counted")
            }
        };
        self.after(
            way,
            Event::Permitted {
                request: number,
                question,
                permitted,
                after,
            },
        );
    }

    fn send(&mut self, number: u64) {
        let Some(request) = self.live(number) else {
            return;
        };
        if self.now >= request.limit {
            return self.fail(number, false);
        }
        let tried: HashSet<usize> =
            request.out.iter().map(|(server, _)| *server).collect();
        let up: Vec<usize> = (0..self.servers.len())
            .filter(|n| self.servers[*n].up && !tried.contains(n))
            .collect();
        if up.is_empty() {
            return self.fail(number, false);
        }
        let one = up[self.rng.random_range(0..up.len())];
        let other = up[self.rng.random_range(0..up.len())];
        let load = |n: usize| self.servers[n].running.len() + self.servers[n].queue.len();
        // A permit goes where there is room.
        let server = match request.permit {
            true => self.free_server(&up).unwrap_or(one),
            false if load(one) <= load(other) => one,
            false => other,
        };
        let is_full = load(server) >= SLOTS + QUEUE;
        if let Some(kind) = self.kinds.get(&request.print).copied() {
            let in_touch = self.in_touch(request.at);
            self.fatal_sent[kind].push((self.now, request.at, in_touch));
        }
        let run = self.servers[server].run;
        let request = self.requests.get_mut(&number).expect("it lives");
        request.attempts += 1;
        request.permit = false;
        request.out.push((server, run));
        if request.attempts == 1 {
            self.after(HEDGE_MS, Event::Hedge { request: number });
        }
        if is_full {
            // It sheds: told at once, and nothing has run.
            self.requests.get_mut(&number).expect("it lives").out.pop();
            return self.fail(number, true);
        }
        let way = 1 + self.rng.random_range(0..3);
        self.after(
            way,
            Event::Work {
                server,
                run,
                request: number,
            },
        );
    }

    fn hedge(&mut self, number: u64) {
        let Some(request) = self.live(number) else {
            return;
        };
        let now = self.instant();
        let suspects = &self.boxes[request.at].suspects;
        let quarantined = suspects.is_quarantined(request.print, now);
        let may = request.out.len() == 1 && request.attempts < ATTEMPTS && !quarantined;
        if may && !self.is_frozen(request.at) {
            self.send(number);
        }
    }

    fn work(&mut self, server: usize, run: u64, number: u64) {
        if self.servers[server].run != run || !self.servers[server].up {
            return self.after(
                1,
                Event::Broken {
                    request: number,
                    server,
                    run,
                },
            );
        }
        if self.servers[server].running.len() >= SLOTS {
            return self.servers[server].queue.push(number);
        }
        self.begin(server, number);
    }

    fn begin(&mut self, server: usize, number: u64) {
        let run = self.servers[server].run;
        self.servers[server].running.push(number);
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        if let Some(kind) = self.kinds.get(&request.print).copied() {
            let ends_at = self.now + self.rng.random_range(30..110);
            self.fatal_ends[kind].push(ends_at);
            let wait = ends_at - self.now;
            return self.after(wait, Event::ServerEnds { server });
        }
        let took = self.rng.random_range(100..600);
        self.after(
            took,
            Event::Answered {
                request: number,
                server,
                run,
            },
        );
    }

    fn end_server(&mut self, server: usize) {
        if !self.servers[server].up {
            return;
        }
        let run = self.servers[server].run;
        let ended = &mut self.servers[server];
        ended.up = false;
        let out: Vec<u64> = ended
            .running
            .drain(..)
            .chain(ended.queue.drain(..))
            .collect();
        for number in out {
            let way = 1 + self.rng.random_range(0..3);
            self.after(
                way,
                Event::Broken {
                    request: number,
                    server,
                    run,
                },
            );
        }
        self.after(SERVER_BACK_MS, Event::ServerUp { server });
    }

    fn broken(&mut self, number: u64, server: usize, run: u64) {
        let Some(request) = self.live(number) else {
            return;
        };
        if self.is_frozen(request.at) {
            return self.after(
                50,
                Event::Broken {
                    request: number,
                    server,
                    run,
                },
            );
        }
        let stays = |out: &(usize, u64)| *out != (server, run);
        self.requests
            .get_mut(&number)
            .expect("it lives")
            .out
            .retain(stays);
        // One trip to see that nobody listens there.
        let updates = SuspectUpdate {
            request: request.print,
            seen: SuspectEvent::ServerEnded(run),
            at: self.instant(),
        };
        self.own_updates(request.at, updates);
        let request = self.requests.get(&number).expect("it lives");
        if !request.out.is_empty() {
            return;
        }
        if request.attempts < ATTEMPTS {
            return self.after(2, Event::Consider { request: number });
        }
        self.fail(number, false);
    }

    fn answered(&mut self, number: u64, server: usize, run: u64) {
        if self.servers[server].run != run || !self.servers[server].up {
            return;
        }
        self.servers[server]
            .running
            .retain(|other| *other != number);
        if !self.servers[server].queue.is_empty() {
            let next = self.servers[server].queue.remove(0);
            self.begin(server, next);
        }
        let Some(request) = self.live(number) else {
            return;
        };
        self.requests.get_mut(&number).expect("it lives").over = true;
        let now = self.instant();
        let suspects = &mut self.boxes[request.at].suspects;
        if suspects.record_complete_answer(request.print, now) {
            let updates = SuspectUpdate {
                request: request.print,
                seen: SuspectEvent::AnsweredWhole,
                at: self.instant(),
            };
            self.own_updates(request.at, updates);
        }
        self.outcome.answered += 1;
    }

    /// The caller comes again after a while, if it has patience left.
    fn fail(&mut self, number: u64, _shed: bool) {
        let Some(request) = self.live(number) else {
            return;
        };
        if !request.out.is_empty() {
            return;
        }
        self.requests.get_mut(&number).expect("it lives").over = true;
        if request.tries_left > 0 {
            let wait = self.rng.random_range(200..1_500);
            let (print, tries_left) = (request.print, request.tries_left - 1);
            self.after(wait, Event::Arrive { print, tries_left });
        }
    }

    fn refuse(&mut self, number: u64, after: Ms) {
        let Some(request) = self.live(number) else {
            return;
        };
        if !self.kinds.contains_key(&request.print) {
            let refused = &mut self.outcome.refused;
            match after {
                10_000.. => refused.no_try += 1,
                5_000.. => refused.no_store += 1,
                _ => refused.waited += 1,
            }
        }
        self.fail(number, false);
    }

    // News.

    fn own_updates(&mut self, place: usize, updates: SuspectUpdate) {
        let now = self.instant();
        if !self.boxes[place].suspects.apply_update(&updates, now) {
            return;
        }
        self.spread(place, None, &updates);
        self.open(place, updates.request);
        self.vouch_soon(place, updates.request);
    }

    fn note(&mut self, to: usize, life: u32, from: usize, note: SuspectMessage) {
        if self.boxes[to].life != life || !self.boxes[to].alive {
            return;
        }
        if self.is_frozen(to) {
            return self.after(
                50,
                Event::Note {
                    to,
                    life,
                    from,
                    note,
                },
            );
        }
        let now = self.instant();
        let updates = note.to_update(now);
        if !self.boxes[to].suspects.apply_update(&updates, now) {
            return;
        }
        self.spread(to, Some(from), &updates);
        if self.hub_of(from) == to {
            self.open(to, updates.request);
        }
        self.vouch_soon(to, updates.request);
    }

    fn vouch_soon(&mut self, place: usize, print: RequestFingerprint) {
        let suspects = &self.boxes[place].suspects;
        if suspects.answered_before(print, self.instant()).is_some() {
            let life = self.boxes[place].life;
            let wait = self.rng.random_range(0..200);
            self.after(wait, Event::Vouch { place, life, print });
        }
    }

    fn vouch(&mut self, place: usize, life: u32, print: RequestFingerprint) {
        if self.boxes[place].life != life || self.is_frozen(place) {
            return;
        }
        let suspects = &self.boxes[place].suspects;
        if let Some(at) = suspects.answered_before(print, self.instant()) {
            let seen = SuspectEvent::AnsweredWhole;
            self.own_updates(
                place,
                SuspectUpdate {
                    request: print,
                    seen,
                    at,
                },
            );
        }
    }

    fn spread(&mut self, place: usize, from: Option<usize>, updates: &SuspectUpdate) {
        let is_own = from.is_none_or(|from| self.hub_of(from) == place);
        for other in self.neighbours(place) {
            let is_member = self.hub_of(other) == place;
            if Some(other) != from && (is_own || is_member) {
                self.send_note(place, other, updates);
            }
        }
    }

    fn send_note(&mut self, from: usize, to: usize, updates: &SuspectUpdate) {
        self.outcome.notes += 1;
        let note = updates.to_message(self.instant());
        let Some(way) = self.way(from, to) else {
            return;
        };
        // It waits for the next frame.
        let gap = match from % DATA_CENTRES == to % DATA_CENTRES {
            true => self.rng.random_range(5..50),
            false => self.rng.random_range(10..100),
        };
        let life = self.boxes[to].life;
        self.after(
            way + gap,
            Event::Note {
                to,
                life,
                from,
                note,
            },
        );
    }

    fn greet(&mut self, one: usize, other: usize) {
        let now = self.instant();
        if !self.boxes[one].alive {
            return;
        }
        for updates in self.boxes[one].suspects.initial_updates(now) {
            self.send_note(one, other, &updates);
        }
    }

    fn record(
        &mut self,
        to: usize,
        life: u32,
        print: RequestFingerprint,
        era: u64,
        record: Option<Record>,
    ) {
        if self.boxes[to].life != life || !self.boxes[to].alive {
            return;
        }
        if era != self.boxes[to].era {
            // Of an older era, or of one whose listing it has not had: that has it as well.
            return;
        }
        if self.is_frozen(to) {
            return self.after(
                50,
                Event::Record {
                    to,
                    life,
                    print,
                    era,
                    record,
                },
            );
        }
        self.learn(to, print, record);
    }

    fn learn(&mut self, to: usize, print: RequestFingerprint, record: Option<Record>) {
        let heard = self.instant();
        let played = &mut self.boxes[to];
        match record {
            Some(record) => {
                let known = StoredQuarantine {
                    position: StorePosition::new(self.store.era, record.revision),
                    tries: record.tries,
                    counted_by: record.counted_by,
                    heard,
                };
                played.suspects.apply_quarantine(print, known);
            }
            None => {
                played.suspects.remove_quarantine(print);
                played.desk.forget(print);
            }
        }
    }

    // The store.

    fn open(&mut self, place: usize, print: RequestFingerprint) {
        let now = self.instant();
        let is_member = self.hub_of(place) != place;
        let played = &mut self.boxes[place];
        if is_member || !played.suspects.is_quarantined(print, now) {
            return;
        }
        let known = played.suspects.quarantine(print);
        let life = played.life;
        let Some(count) = played.desk.begin_quarantine(print, known.as_ref(), now) else {
            return;
        };
        let (outcome, took) = self.write(place, print, count);
        self.after(
            took,
            Event::Opened {
                hub: place,
                life,
                print,
                outcome,
            },
        );
    }

    fn write(
        &mut self,
        hub: usize,
        print: RequestFingerprint,
        count: wingspur_coordination::TrialRecord,
    ) -> (RecordOutcome, Ms) {
        self.outcome.writes += 1;
        if self.has_now(Fault::StoreAway) {
            return (RecordOutcome::Unknown, 300);
        }
        if count.expected_position.era() != self.store.era {
            // The answer to the call before it names the new era.
            self.receive_restored_now(hub);
            return (RecordOutcome::Overtaken, 5);
        }
        let stands = self.store.records.get(&print).copied();
        let expected = count.expected_position.wire_revision();
        if stands.map_or(0, |record| record.revision) != expected {
            self.learn(hub, print, stands);
            return (RecordOutcome::Overtaken, 5);
        }
        self.store.revision += 1;
        let record = Record {
            revision: self.store.revision,
            tries: count.tries,
            counted_by: count.counted_by,
        };
        self.store.records.insert(print, record);
        self.tell_all(print, Some(record));
        if self.has_now(Fault::StoreLosesAnswers) && self.rng.random_bool(0.5) {
            // It looks what stands there.
            self.learn(hub, print, Some(record));
            return (RecordOutcome::Stands, 400);
        }
        self.learn(hub, print, Some(record));
        (RecordOutcome::Stands, 5)
    }

    fn tell_all(&mut self, print: RequestFingerprint, record: Option<Record>) {
        for to in 0..self.boxes.len() {
            if !self.boxes[to].alive {
                continue;
            }
            let hub = self.hub_of(to);
            let mut late = self.rng.random_range(5..80);
            if hub != to {
                late += match self.way(hub, to) {
                    Some(way) => way + self.rng.random_range(1..60),
                    // It reads for itself once its hub is silent for too long.
                    None => 1_800,
                };
            }
            let life = self.boxes[to].life;
            let era = self.store.era;
            self.after(
                late,
                Event::Record {
                    to,
                    life,
                    print,
                    era,
                    record,
                },
            );
        }
    }

    fn restore_store(&mut self) {
        let Some((revision, records)) = self.store.copy.clone() else {
            return;
        };
        self.store.era += 1;
        self.store.revision = revision;
        self.store.records = records;
        let records: Vec<_> = self.store.records.clone().into_iter().collect();
        for to in 0..self.boxes.len() {
            if !self.boxes[to].alive {
                continue;
            }
            let hub = self.hub_of(to);
            // A hub's watch ends within 0.65 s, and a listing follows.
            let mut late = self.rng.random_range(5..700);
            if hub != to {
                late += match self.way(hub, to) {
                    Some(way) => way + self.rng.random_range(1..60),
                    None => 1_800,
                };
            }
            let (life, era) = (self.boxes[to].life, self.store.era);
            let records = records.clone();
            self.after(
                late,
                Event::Restored {
                    to,
                    life,
                    era,
                    records,
                },
            );
        }
    }

    /// Lets a box list what the store holds now.
    fn receive_restored_now(&mut self, to: usize) {
        let (life, era) = (self.boxes[to].life, self.store.era);
        let records = self.store.records.clone().into_iter().collect();
        self.receive_restored(to, life, era, records);
    }

    fn receive_restored(
        &mut self,
        to: usize,
        life: u32,
        era: u64,
        records: Vec<(RequestFingerprint, Record)>,
    ) {
        let heard = self.instant();
        let played = &mut self.boxes[to];
        if played.life != life || !played.alive || era <= played.era {
            return;
        }
        if self.is_frozen(to) {
            return self.after(
                50,
                Event::Restored {
                    to,
                    life,
                    era,
                    records,
                },
            );
        }
        let played = &mut self.boxes[to];
        played.era = era;
        played.desk.note_era(era);
        let listed = records.iter().map(|(print, record)| {
            let known = StoredQuarantine {
                position: StorePosition::new(era, record.revision),
                tries: record.tries,
                counted_by: record.counted_by,
                heard,
            };
            (*print, known)
        });
        let listed: Vec<_> = listed.collect();
        let lost = played.suspects.reconcile_restored(era, &listed);
        if self.hub_of(to) != to {
            return;
        }
        for (print, known) in lost {
            let count = wingspur_coordination::TrialRecord {
                tries: known.tries,
                counted_by: known.counted_by,
                expected_position: known.position,
            };
            self.write(to, print, count);
        }
    }

    fn tidy(&mut self, place: usize) {
        self.after(1_000, Event::Tidy { place });
        if !self.boxes[place].alive || self.is_frozen(place) {
            return;
        }
        let now = self.instant();
        let played = &mut self.boxes[place];
        played.suspects.evict_expired(now);
        played.desk.evict_idle(now);
        let len = played.suspects.len();
        self.outcome.most_suspects = self.outcome.most_suspects.max(len);
        let outlived = self.boxes[place].suspects.cleared_quarantines();
        if self.hub_of(place) != place || self.has_now(Fault::StoreAway) {
            return;
        }
        for (print, known) in outlived {
            self.outcome.writes += 1;
            let stands = self.store.records.get(&print).copied();
            let expected = known.position.wire_revision();
            if known.position.era() != self.store.era {
                continue;
            }
            if stands.map(|record| record.revision) == Some(expected) {
                self.store.records.remove(&print);
                self.tell_all(print, None);
                self.learn(place, print, None);
            } else {
                self.learn(place, print, stands);
            }
        }
    }

    // The fleet.

    fn box_down(&mut self, place: usize, back: bool) {
        let played = &mut self.boxes[place];
        played.alive = false;
        played.life += 1;
        played.disturbed = self.now;
        let data_centre = place % DATA_CENTRES;
        if self.hubs[data_centre] == Some(place) {
            self.hubs[data_centre] = None;
            self.after(HUB_LOST_MS, Event::NewHub { data_centre });
        }
        if back {
            self.after(BOX_BACK_MS, Event::BoxUp { place });
        }
    }

    fn box_up(&mut self, place: usize) {
        let life = self.boxes[place].life;
        let mut fresh = PlayedBox::new(place, life);
        fresh.ready_at = self.now + READY_AFTER_MS;
        fresh.disturbed = self.now;
        fresh.era = self.store.era;
        fresh.desk.note_era(self.store.era);
        self.boxes[place] = fresh;
        // It has what the store holds before it is ready, from its hub or by itself.
        let records: Vec<_> = self.store.records.clone().into_iter().collect();
        for (print, record) in records {
            self.learn(place, print, Some(record));
        }
        let data_centre = place % DATA_CENTRES;
        if self.hubs[data_centre].is_none() {
            self.after(100, Event::NewHub { data_centre });
        }
        for other in self.neighbours(place) {
            self.after(
                300,
                Event::Greet {
                    one: other,
                    other: place,
                },
            );
        }
    }

    fn new_hub(&mut self, data_centre: usize) {
        if self.hubs[data_centre].is_some() {
            return;
        }
        let here = (data_centre..self.boxes.len()).step_by(DATA_CENTRES);
        let mut alive = here.filter(|place| {
            let is_cut = self.has_now(Fault::BoxesCutOff) && place % 4 == 3;
            self.boxes[*place].alive && !is_cut
        });
        let Some(hub) = alive.find(|place| !self.is_frozen(*place)) else {
            return;
        };
        self.hubs[data_centre] = Some(hub);
        for other in self.neighbours(hub) {
            self.after(100, Event::Greet { one: hub, other });
            self.after(
                100,
                Event::Greet {
                    one: other,
                    other: hub,
                },
            );
        }
    }

    fn replace_frozen(&mut self, data_centre: usize) {
        let is_silent = self.hubs[data_centre].is_some_and(|hub| self.is_frozen(hub));
        if is_silent {
            self.hubs[data_centre] = None;
            self.new_hub(data_centre);
        }
    }

    /// The hub that a box asks; itself where there is none, or none that it hears.
    fn hub_of(&self, place: usize) -> usize {
        let is_noticed = self.now > FAULT_MS + HUB_LOST_MS;
        let is_cut = |place: usize| place % 4 == 3;
        if self.has_now(Fault::BoxesCutOff) && is_noticed && is_cut(place) {
            return place;
        }
        self.hubs[place % DATA_CENTRES].unwrap_or(place)
    }

    /// Who is linked with a box.
    fn neighbours(&self, place: usize) -> Vec<usize> {
        let hub = self.hub_of(place);
        if hub != place {
            return vec![hub];
        }
        let members = (place % DATA_CENTRES..self.boxes.len()).step_by(DATA_CENTRES);
        let members = members.filter(|other| *other != place);
        let hubs = self.hubs.iter().flatten().filter(|other| **other != place);
        members.chain(hubs.copied()).collect()
    }

    /// How long what one box tells another is on its way; none where it does not arrive.
    fn way(&mut self, from: usize, to: usize) -> Option<Ms> {
        if from == to {
            return Some(0);
        }
        let alone = |place: usize| place % DATA_CENTRES == 1;
        if self.has_now(Fault::DataCentreAlone) && alone(from) != alone(to) {
            return None;
        }
        let cut = |place: usize| place % 4 == 3;
        if self.has_now(Fault::BoxesCutOff) && (cut(from) || cut(to)) {
            return None;
        }
        let late = match self.has_now(Fault::LateLinks) {
            true => 2_000,
            false => 0,
        };
        Some(late + 1 + self.rng.random_range(0..3))
    }

    /// Whether nothing has befallen a box or the store for as long as it takes to hear.
    fn in_touch(&self, place: usize) -> bool {
        let since_box = self.now - self.boxes[place].disturbed;
        let calm = |fault: Fault| {
            let over = FAULT_MS + FAULT_LASTS_MS + HEARD_MS;
            !self.has(fault) || self.now < FAULT_MS || self.now > over
        };
        let is_cut = place % 4 == 3 && !calm(Fault::BoxesCutOff);
        let frozen = place % 4 == 1 && !calm(Fault::Suspended);
        let late = !calm(Fault::LateLinks);
        let store = !calm(Fault::StoreAway) || !calm(Fault::StoreLosesAnswers);
        since_box > HEARD_MS && !is_cut && !frozen && !late && !store
    }
}

impl PlayedBox {
    fn new(place: usize, life: u32) -> Self {
        let name = place as u64 + (u64::from(life) << 32);
        Self {
            life,
            alive: true,
            ready_at: 0,
            frozen_until: 0,
            disturbed: 0,
            era: 0,
            suspects: SuspectRequests::default(),
            desk: QuarantineRegistry::new(name),
        }
    }
}

impl PlayedServer {
    fn new(number: u64) -> Self {
        Self {
            run: (number + 1) << 32,
            up: true,
            running: Vec::new(),
            queue: Vec::new(),
        }
    }

    fn start(&mut self) {
        self.run += 1;
        self.up = true;
    }
}

fn print_of(name: &str) -> RequestFingerprint {
    RequestFingerprint::of(&RequestParts {
        method: "GET",
        host: "site.example",
        target: name,
        caller: b"",
        body: b"",
        body_bytes: Some(0),
    })
}
