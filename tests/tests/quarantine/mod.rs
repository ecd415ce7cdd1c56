//! Simulates in virtual time how boxes handle requests that end servers. The decisions
//! are the real code; boxes, hubs, links, the store and servers are models of message
//! delays and of the requests in flight when a server ends.

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

/// A fault in the fleet, from `FAULT_MS` on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// A third of the boxes are killed, one after the other, and restart.
    BoxesRestart,
    /// All boxes are killed at once and restart.
    AllLost,
    /// The hub of each data centre and the three boxes after it are killed, 1.5 s apart,
    /// and restart.
    HubsStop,
    /// One data centre is cut off from the others.
    DataCentreAlone,
    /// A quarter of the boxes are cut off from all others.
    BoxesCutOff,
    /// Messages between boxes are two seconds late.
    LateLinks,
    /// The store is unavailable.
    StoreAway,
    /// The store applies writes, but half of its replies are lost.
    StoreLosesAnswers,
    /// A third of the servers end at once, and again 4 s later, and restart each time.
    RackLost,
    /// Servers end one after the other without being ended by a request.
    ServersEnd,
    /// A quarter of the boxes are suspended for four seconds.
    Suspended,
    /// Requests that end servers arrive in a burst.
    Burst,
    /// The store is restored twice from a copy that is 2.5 seconds old.
    StoreRestored,
}

impl Fault {
    /// All faults except `None`.
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

/// The result of a simulation.
#[derive(Debug, Default, Clone)]
pub struct Outcome {
    /// For each request that ends servers: how many it ended, and how often it was sent
    /// later than `UPDATE_MS` after the third, by boxes in touch and by any box.
    pub fatal: Vec<Fatal>,
    /// Requests that end no server: how many arrived, and how many got a complete
    /// response.
    pub well: usize,
    pub answered: usize,
    /// Requests that end no server and were refused: because no trial was left, because
    /// the store was unavailable, and after waiting for an outcome.
    pub refused: Refused,
    /// The maximum number of suspects that a box remembered, and the number of messages.
    pub most_suspects: usize,
    pub notes: usize,
    /// The number of writes to the store.
    pub writes: usize,
    /// The maximum number of times that one request was sent late, by boxes in touch or
    /// not.
    pub most_sent: usize,
}

impl Outcome {
    /// Adds the result of another simulation.
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

/// Time within which a box in touch must know of the third server: a requirement of the
/// service.
pub const UPDATE_MS: Ms = 3_000;
const FAULT_MS: Ms = 8_000;
const FAULT_LASTS_MS: Ms = 7_000;
const END_MS: Ms = 45_000;
/// Requests stop before the end, so that all get their responses.
const LAST_REQUEST_MS: Ms = 38_000;
const DATA_CENTRES: usize = 3;
const SLOTS: usize = 3;
const QUEUE: usize = 6;
const SERVER_BACK_MS: Ms = 3_000;
const BOX_BACK_MS: Ms = 600;
/// Time after which a box that starts is ready and knows what the store holds.
const READY_AFTER_MS: Ms = 500;
/// Time after which a lost hub is replaced. A hub that announces its stop is replaced
/// much sooner.
const HUB_LOST_MS: Ms = 1_200;
const CALLER_TIMEOUT_MS: Ms = 4_000;
const ATTEMPTS: usize = 2;
/// Time after which a request to the hub counts as failed.
const HUB_REPLY_TIMEOUT_MS: Ms = 700;
const HEDGE_MS: Ms = 900;

/// Simulates one fleet; `fatals` is the number of requests that end servers.
pub fn play(boxes: usize, fatals: usize, faults: [Fault; 2], seed: u64) -> Outcome {
    let mut simulation = Simulation::new(boxes, fatals, faults, seed);
    simulation.run();
    simulation.outcome()
}

struct Simulation {
    rng: StdRng,
    base: Instant,
    now: Ms,
    faults: [Fault; 2],
    events: BinaryHeap<Reverse<(Ms, u64, usize)>>,
    pending: HashMap<usize, Event>,
    next_event: usize,
    boxes: Vec<SimulatedBox>,
    hubs: Vec<Option<usize>>,
    servers: Vec<SimulatedServer>,
    store: Store,
    fatal_indexes: HashMap<RequestFingerprint, usize>,
    fatal_ends: Vec<Vec<Ms>>,
    fatal_sent: Vec<Vec<(Ms, usize, bool)>>,
    requests: HashMap<u64, Request>,
    next_request: u64,
    outcome: Outcome,
}

struct SimulatedBox {
    incarnation: u32,
    alive: bool,
    ready_at: Ms,
    suspended_until: Ms,
    /// When it was last killed or restarted.
    last_disturbed: Ms,
    /// The newest era of the store of which it has read a snapshot.
    era: u64,
    suspects: SuspectRequests,
    registry: QuarantineRegistry,
}

struct SimulatedServer {
    instance: u64,
    up: bool,
    running: Vec<u64>,
    queue: Vec<u64>,
}

/// The store's record of a request: its revision, the number of trials, and the box that
/// recorded them.
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

/// One attempt of a caller, at one box.
#[derive(Clone)]
struct Request {
    fingerprint: RequestFingerprint,
    at: usize,
    incarnation: u32,
    deadline: Ms,
    /// Attempts in flight, by server and its instance.
    in_flight: Vec<(usize, u64)>,
    attempts: usize,
    permit: bool,
    /// Number of its last permit request; a reply to an earlier one is ignored.
    permit_request: u32,
    tries_left: u32,
    is_done: bool,
}

enum Event {
    Arrive {
        fingerprint: RequestFingerprint,
        tries_left: u32,
    },
    /// A request is sent, or asks for a permit if it is quarantined.
    Consider {
        request: u64,
    },
    Permitted {
        request: u64,
        permit_request: u32,
        permitted: bool,
        after: Ms,
    },
    TrialRequested {
        hub: usize,
        incarnation: u32,
        request: u64,
        permit_request: u32,
    },
    TrialRecorded {
        hub: usize,
        incarnation: u32,
        request: u64,
        permit_request: u32,
        step: TrialWriteResult,
    },
    Work {
        server: usize,
        instance: u64,
        request: u64,
    },
    Interrupted {
        request: u64,
        server: usize,
        instance: u64,
    },
    Answered {
        request: u64,
        server: usize,
        instance: u64,
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
    Message {
        to: usize,
        incarnation: u32,
        from: usize,
        message: SuspectMessage,
    },
    Record {
        to: usize,
        incarnation: u32,
        fingerprint: RequestFingerprint,
        era: u64,
        record: Option<Record>,
    },
    CopyStore,
    RestoreStore,
    /// A box receives the store's records as they were right after a restore.
    Restored {
        to: usize,
        incarnation: u32,
        era: u64,
        records: Vec<(RequestFingerprint, Record)>,
    },
    BoxDown {
        box_index: usize,
        restarts: bool,
    },
    BoxUp {
        box_index: usize,
    },
    NewHub {
        data_centre: usize,
    },
    SendInitialUpdates {
        one: usize,
        other: usize,
    },
    Evict {
        box_index: usize,
    },
    HubSilent {
        data_centre: usize,
    },
    Wait {
        request: u64,
        until: Ms,
    },
    PublishAnswer {
        box_index: usize,
        incarnation: u32,
        fingerprint: RequestFingerprint,
    },
    QuarantineRecorded {
        hub: usize,
        incarnation: u32,
        fingerprint: RequestFingerprint,
        outcome: RecordOutcome,
    },
}

#[derive(Clone, Copy)]
struct TrialWriteResult {
    outcome: RecordOutcome,
}

impl Simulation {
    fn new(boxes: usize, fatals: usize, faults: [Fault; 2], seed: u64) -> Self {
        let servers = (boxes / 4).max(9);
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            base: Instant::now(),
            now: 0,
            faults,
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            next_event: 0,
            boxes: (0..boxes)
                .map(|box_index| SimulatedBox::new(box_index, 0))
                .collect(),
            hubs: (0..DATA_CENTRES).map(Some).collect(),
            servers: (0..servers)
                .map(|n| SimulatedServer::new(n as u64))
                .collect(),
            store: Store::default(),
            fatal_indexes: HashMap::new(),
            fatal_ends: vec![Vec::new(); fatals],
            fatal_sent: vec![Vec::new(); fatals],
            requests: HashMap::new(),
            next_request: 0,
            outcome: Outcome::default(),
        };
        // Callers of fatal requests repeat them quickly or slowly, depending on the seed.
        let interval = match seed % 2 {
            0 => 50..1_100,
            _ => 1_000..5_000,
        };
        simulation.schedule_callers(fatals, interval);
        simulation.schedule_faults();
        for box_index in 0..boxes {
            simulation.after(1_000, Event::Evict { box_index });
        }
        simulation
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
                let late = sent.iter().filter(|(at, ..)| *at > third + UPDATE_MS);
                for (_, _, in_touch) in late {
                    fatal.sent += 1;
                    fatal.sent_in_touch += usize::from(*in_touch);
                }
            }
            self.outcome.fatal.push(fatal);
        }
        self.outcome
    }

    fn has_fault(&self, fault: Fault) -> bool {
        self.faults.contains(&fault)
    }

    fn is_fault_active(&self) -> bool {
        (FAULT_MS..FAULT_MS + FAULT_LASTS_MS).contains(&self.now)
    }

    fn has_active_fault(&self, fault: Fault) -> bool {
        self.has_fault(fault) && self.is_fault_active()
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

    // Events.

    fn schedule_callers(&mut self, fatals: usize, interval: Range<Ms>) {
        for n in 0..fatals {
            let fingerprint = fingerprint_of(&format!("fatal-{n}"));
            self.fatal_indexes.insert(fingerprint, n);
            let mut at = 3_000 + self.rng.random_range(0..2_000);
            while at < LAST_REQUEST_MS {
                self.after(
                    at,
                    Event::Arrive {
                        fingerprint,
                        tries_left: 0,
                    },
                );
                at += self.rng.random_range(interval.clone());
            }
            if self.has_fault(Fault::Burst) {
                for _ in 0..20 {
                    let at = FAULT_MS + self.rng.random_range(0..150);
                    self.after(
                        at,
                        Event::Arrive {
                            fingerprint,
                            tries_left: 0,
                        },
                    );
                }
            }
        }
        // Half of the slots are busy; a tenth of the requests are for a few popular
        // pages.
        let per_s = self.servers.len() * SLOTS * 3 / 2;
        for at in 0..LAST_REQUEST_MS / 1_000 {
            for n in 0..per_s {
                let ms = at * 1_000 + self.rng.random_range(0..1_000);
                let name = match n % 10 {
                    0 => format!("popular-{}", self.rng.random_range(0..4)),
                    _ => format!("page-{at}-{n}"),
                };
                let fingerprint = fingerprint_of(&name);
                self.after(
                    ms,
                    Event::Arrive {
                        fingerprint,
                        tries_left: 4,
                    },
                );
            }
        }
    }

    fn schedule_faults(&mut self) {
        let boxes = self.boxes.len();
        if self.has_fault(Fault::BoxesRestart) {
            for (n, box_index) in (0..boxes).step_by(3).enumerate() {
                let at = FAULT_MS + n as Ms * FAULT_LASTS_MS * 3 / boxes as Ms;
                self.after(
                    at,
                    Event::BoxDown {
                        box_index,
                        restarts: true,
                    },
                );
            }
        }
        if self.has_fault(Fault::AllLost) {
            for box_index in 0..boxes {
                self.after(
                    FAULT_MS + 500,
                    Event::BoxDown {
                        box_index,
                        restarts: true,
                    },
                );
            }
        }
        if self.has_fault(Fault::HubsStop) {
            for n in 0..4 {
                for data_centre in 0..DATA_CENTRES {
                    let box_index = data_centre + n * DATA_CENTRES;
                    if box_index < boxes {
                        let at = FAULT_MS + n as Ms * 1_500;
                        self.after(
                            at,
                            Event::BoxDown {
                                box_index,
                                restarts: true,
                            },
                        );
                    }
                }
            }
        }
        if self.has_fault(Fault::RackLost) {
            for server in 0..self.servers.len() / 3 {
                self.after(FAULT_MS, Event::ServerEnds { server });
                self.after(FAULT_MS + 4_000, Event::ServerEnds { server });
            }
        }
        if self.has_fault(Fault::StoreRestored) {
            for at in [FAULT_MS, FAULT_MS + 3_500] {
                self.after(at - 2_500, Event::CopyStore);
                self.after(at, Event::RestoreStore);
            }
        }
        if self.has_fault(Fault::ServersEnd) {
            for n in 0..20 {
                let server = self.rng.random_range(0..self.servers.len());
                self.after(FAULT_MS + n * 400, Event::ServerEnds { server });
            }
        }
        if self.has_fault(Fault::Suspended) {
            let wakes = FAULT_MS + 4_000;
            for box_index in (1..boxes).step_by(4) {
                self.boxes[box_index].suspended_until = wakes;
            }
            for data_centre in 0..DATA_CENTRES {
                self.after(FAULT_MS + HUB_LOST_MS, Event::HubSilent { data_centre });
            }
        }
        let faults_end = FAULT_MS + FAULT_LASTS_MS;
        for one in 0..boxes {
            for other in self.neighbours(one) {
                self.after(faults_end + 300, Event::SendInitialUpdates { one, other });
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive {
                fingerprint,
                tries_left,
            } => self.arrive(fingerprint, tries_left),
            Event::Consider { request } => self.consider(request),
            Event::Permitted {
                request,
                permit_request,
                permitted,
                after,
            } => self.permitted(request, permit_request, permitted, after),
            Event::Wait { request, until } => self.wait(request, until),
            Event::TrialRequested {
                hub,
                incarnation,
                request,
                permit_request,
            } => self.request_trial(hub, incarnation, request, permit_request),
            Event::TrialRecorded {
                hub,
                incarnation,
                request,
                permit_request,
                step,
            } => self.record_trial(hub, incarnation, request, permit_request, step),
            Event::Work {
                server,
                instance,
                request,
            } => self.work(server, instance, request),
            Event::Interrupted {
                request,
                server,
                instance,
            } => self.interrupted(request, server, instance),
            Event::Answered {
                request,
                server,
                instance,
            } => {
                self.answered(request, server, instance);
            }
            Event::Hedge { request } => self.hedge(request),
            Event::ServerUp { server } => self.servers[server].start(),
            Event::ServerEnds { server } => self.end_server(server),
            Event::Message {
                to,
                incarnation,
                from,
                message,
            } => self.receive_message(to, incarnation, from, message),
            Event::Record {
                to,
                incarnation,
                fingerprint,
                era,
                record,
            } => {
                self.record(to, incarnation, fingerprint, era, record);
            }
            Event::CopyStore => {
                let records = self.store.records.clone();
                self.store.copy = Some((self.store.revision, records));
            }
            Event::RestoreStore => self.restore_store(),
            Event::Restored {
                to,
                incarnation,
                era,
                records,
            } => self.receive_restored(to, incarnation, era, records),
            Event::BoxDown {
                box_index,
                restarts,
            } => self.box_down(box_index, restarts),
            Event::BoxUp { box_index } => self.box_up(box_index),
            Event::NewHub { data_centre } => self.new_hub(data_centre),
            Event::SendInitialUpdates { one, other } => {
                self.send_initial_updates(one, other)
            }
            Event::Evict { box_index } => self.evict(box_index),
            Event::HubSilent { data_centre } => self.replace_suspended_hub(data_centre),
            Event::PublishAnswer {
                box_index,
                incarnation,
                fingerprint,
            } => self.publish_answer(box_index, incarnation, fingerprint),
            Event::QuarantineRecorded {
                hub,
                incarnation,
                fingerprint,
                outcome,
            } => {
                if self.boxes[hub].incarnation == incarnation {
                    let now = self.instant();
                    self.boxes[hub].registry.quarantine_recorded(
                        fingerprint,
                        outcome,
                        now,
                    );
                }
            }
        }
    }

    // Callers and boxes.

    fn arrive(&mut self, fingerprint: RequestFingerprint, tries_left: u32) {
        let accepting: Vec<usize> = (0..self.boxes.len())
            .filter(|box_index| self.accepts_callers(*box_index))
            .collect();
        let is_harmless = !self.fatal_indexes.contains_key(&fingerprint);
        if is_harmless && tries_left == 4 {
            self.outcome.well += 1;
        }
        if accepting.is_empty() {
            return;
        }
        let at = accepting[self.rng.random_range(0..accepting.len())];
        let number = self.next_request;
        self.next_request += 1;
        let request = Request {
            fingerprint,
            at,
            incarnation: self.boxes[at].incarnation,
            deadline: self.now + CALLER_TIMEOUT_MS,
            in_flight: Vec::new(),
            attempts: 0,
            permit: false,
            permit_request: 0,
            tries_left,
            is_done: false,
        };
        self.requests.insert(number, request);
        self.after(0, Event::Consider { request: number });
    }

    fn accepts_callers(&self, box_index: usize) -> bool {
        let simulated = &self.boxes[box_index];
        simulated.alive && self.now >= simulated.ready_at && !self.is_suspended(box_index)
    }

    fn is_suspended(&self, box_index: usize) -> bool {
        self.is_fault_active() && self.now < self.boxes[box_index].suspended_until
    }

    /// Returns the request if it is not done and its box has not restarted since.
    fn live(&mut self, number: u64) -> Option<Request> {
        let request = self.requests.get(&number)?.clone();
        let same = self.boxes[request.at].incarnation == request.incarnation;
        (same && !request.is_done).then_some(request)
    }

    fn consider(&mut self, number: u64) {
        let Some(request) = self.live(number) else {
            return;
        };
        if self.is_suspended(request.at) {
            return self.after(50, Event::Consider { request: number });
        }
        let now = self.instant();
        let suspects = &self.boxes[request.at].suspects;
        if request.permit || !suspects.is_quarantined(request.fingerprint, now) {
            return self.send(number);
        }
        if request.attempts > 0 {
            return self.fail(number, false);
        }
        if self.now >= request.deadline {
            return self.fail(number, false);
        }
        if !self.has_free_slot() {
            // A permit could not be used.
            return self.after(25, Event::Consider { request: number });
        }
        let permit_request = request.permit_request + 1;
        self.requests
            .get_mut(&number)
            .expect("the request exists")
            .permit_request = permit_request;
        let incarnation = request.incarnation;
        self.request_trial(request.at, incarnation, number, permit_request);
    }

    /// Asks the hub for a permit, because the store is unavailable to the box.
    fn ask_hub(&mut self, number: u64, permit_request: u32) {
        let Some(request) = self.live(number) else {
            return;
        };
        let hub = self.hub_of(request.at);
        let incarnation = self.boxes[hub].incarnation;
        // Without a reply the request asks again.
        self.after(
            HUB_REPLY_TIMEOUT_MS,
            Event::Permitted {
                request: number,
                permit_request,
                permitted: false,
                after: 200,
            },
        );
        if let Some(link_delay) = self.link_delay(request.at, hub) {
            self.after(
                link_delay,
                Event::TrialRequested {
                    hub,
                    incarnation,
                    request: number,
                    permit_request,
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
        let has_room =
            |server: &SimulatedServer| server.up && server.running.len() < SLOTS;
        self.servers.iter().any(has_room)
    }

    fn permitted(
        &mut self,
        number: u64,
        permit_request: u32,
        permitted: bool,
        after: Ms,
    ) {
        let Some(request) = self.live(number) else {
            return;
        };
        if request.permit_request != permit_request {
            return;
        }
        let entry = self.requests.get_mut(&number).expect("the request exists");
        entry.permit_request += 1;
        entry.permit = permitted;
        if permitted {
            return self.consider(number);
        }
        if self.now + after >= request.deadline {
            return self.refuse(number, after);
        }
        self.wait(number, self.now + after);
    }

    /// Waits until the request is cleared or the time has passed.
    fn wait(&mut self, number: u64, until: Ms) {
        let Some(request) = self.live(number) else {
            return;
        };
        let now = self.instant();
        let suspects = &self.boxes[request.at].suspects;
        if self.now >= until || !suspects.is_quarantined(request.fingerprint, now) {
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

    fn request_trial(
        &mut self,
        hub: usize,
        incarnation: u32,
        number: u64,
        permit_request: u32,
    ) {
        if self.boxes[hub].incarnation != incarnation || !self.boxes[hub].alive {
            return;
        }
        if self.is_suspended(hub) {
            return self.after(
                50,
                Event::TrialRequested {
                    hub,
                    incarnation,
                    request: number,
                    permit_request,
                },
            );
        }
        let Some(request) = self.live(number) else {
            return;
        };
        let now = self.instant();
        let simulated = &mut self.boxes[hub];
        if !simulated.suspects.is_quarantined(request.fingerprint, now) {
            return self.send_decision(hub, number, permit_request, TrialDecision::Lend);
        }
        match simulated.registry.request_trial(
            request.fingerprint,
            &simulated.suspects,
            now,
        ) {
            TrialDecision::Count(count) => {
                let (outcome, duration) = self.write(hub, request.fingerprint, count);
                let step = TrialWriteResult { outcome };
                self.after(
                    duration,
                    Event::TrialRecorded {
                        hub,
                        incarnation,
                        request: number,
                        permit_request,
                        step,
                    },
                );
            }
            step => self.send_decision(hub, number, permit_request, step),
        }
    }

    fn record_trial(
        &mut self,
        hub: usize,
        incarnation: u32,
        number: u64,
        permit_request: u32,
        step: TrialWriteResult,
    ) {
        if self.boxes[hub].incarnation != incarnation || !self.boxes[hub].alive {
            return;
        }
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let (fingerprint, now) = (request.fingerprint, self.instant());
        let is_hub = self.hub_of(hub) == hub;
        let step = self.boxes[hub].registry.trial_recorded(
            fingerprint,
            step.outcome,
            is_hub,
            now,
        );
        if step == TrialDecision::AskHub {
            return self.ask_hub(number, permit_request);
        }
        self.send_decision(hub, number, permit_request, step);
    }

    fn send_decision(
        &mut self,
        hub: usize,
        number: u64,
        permit_request: u32,
        step: TrialDecision,
    ) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let Some(link_delay) = self.link_delay(hub, request.at) else {
            return;
        };
        let (permitted, after) = match step {
            TrialDecision::Lend => (true, 0),
            TrialDecision::Later(after) => (false, after.as_millis() as Ms),
            TrialDecision::Count(_) | TrialDecision::AskHub => {
                unreachable!("the trial has been recorded")
            }
        };
        self.after(
            link_delay,
            Event::Permitted {
                request: number,
                permit_request,
                permitted,
                after,
            },
        );
    }

    fn send(&mut self, number: u64) {
        let Some(request) = self.live(number) else {
            return;
        };
        if self.now >= request.deadline {
            return self.fail(number, false);
        }
        let tried: HashSet<usize> = request
            .in_flight
            .iter()
            .map(|(server, _)| *server)
            .collect();
        let up: Vec<usize> = (0..self.servers.len())
            .filter(|n| self.servers[*n].up && !tried.contains(n))
            .collect();
        if up.is_empty() {
            return self.fail(number, false);
        }
        let one = up[self.rng.random_range(0..up.len())];
        let other = up[self.rng.random_range(0..up.len())];
        let load = |n: usize| self.servers[n].running.len() + self.servers[n].queue.len();
        // A permitted request is sent to a server with a free slot.
        let server = match request.permit {
            true => self.free_server(&up).unwrap_or(one),
            false if load(one) <= load(other) => one,
            false => other,
        };
        let is_full = load(server) >= SLOTS + QUEUE;
        if let Some(fatal_index) = self.fatal_indexes.get(&request.fingerprint).copied() {
            let in_touch = self.in_touch(request.at);
            self.fatal_sent[fatal_index].push((self.now, request.at, in_touch));
        }
        let instance = self.servers[server].instance;
        let request = self.requests.get_mut(&number).expect("the request exists");
        request.attempts += 1;
        request.permit = false;
        request.in_flight.push((server, instance));
        if request.attempts == 1 {
            self.after(HEDGE_MS, Event::Hedge { request: number });
        }
        if is_full {
            // The server sheds the request at once and does not run it.
            self.requests
                .get_mut(&number)
                .expect("the request exists")
                .in_flight
                .pop();
            return self.fail(number, true);
        }
        let link_delay = 1 + self.rng.random_range(0..3);
        self.after(
            link_delay,
            Event::Work {
                server,
                instance,
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
        let is_quarantined = suspects.is_quarantined(request.fingerprint, now);
        let can_hedge = request.in_flight.len() == 1
            && request.attempts < ATTEMPTS
            && !is_quarantined;
        if can_hedge && !self.is_suspended(request.at) {
            self.send(number);
        }
    }

    fn work(&mut self, server: usize, instance: u64, number: u64) {
        if self.servers[server].instance != instance || !self.servers[server].up {
            return self.after(
                1,
                Event::Interrupted {
                    request: number,
                    server,
                    instance,
                },
            );
        }
        if self.servers[server].running.len() >= SLOTS {
            return self.servers[server].queue.push(number);
        }
        self.begin(server, number);
    }

    fn begin(&mut self, server: usize, number: u64) {
        let instance = self.servers[server].instance;
        self.servers[server].running.push(number);
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        if let Some(fatal_index) = self.fatal_indexes.get(&request.fingerprint).copied() {
            let ends_at = self.now + self.rng.random_range(30..110);
            self.fatal_ends[fatal_index].push(ends_at);
            let wait = ends_at - self.now;
            return self.after(wait, Event::ServerEnds { server });
        }
        let duration = self.rng.random_range(100..600);
        self.after(
            duration,
            Event::Answered {
                request: number,
                server,
                instance,
            },
        );
    }

    fn end_server(&mut self, server: usize) {
        if !self.servers[server].up {
            return;
        }
        let instance = self.servers[server].instance;
        let ended = &mut self.servers[server];
        ended.up = false;
        let interrupted_requests: Vec<u64> = ended
            .running
            .drain(..)
            .chain(ended.queue.drain(..))
            .collect();
        for number in interrupted_requests {
            let link_delay = 1 + self.rng.random_range(0..3);
            self.after(
                link_delay,
                Event::Interrupted {
                    request: number,
                    server,
                    instance,
                },
            );
        }
        self.after(SERVER_BACK_MS, Event::ServerUp { server });
    }

    fn interrupted(&mut self, number: u64, server: usize, instance: u64) {
        let Some(request) = self.live(number) else {
            return;
        };
        if self.is_suspended(request.at) {
            return self.after(
                50,
                Event::Interrupted {
                    request: number,
                    server,
                    instance,
                },
            );
        }
        let is_other = |in_flight: &(usize, u64)| *in_flight != (server, instance);
        self.requests
            .get_mut(&number)
            .expect("the request exists")
            .in_flight
            .retain(is_other);
        // One round trip shows that the server no longer accepts connections.
        let updates = SuspectUpdate {
            request: request.fingerprint,
            seen: SuspectEvent::ServerEnded(instance),
            at: self.instant(),
        };
        self.own_updates(request.at, updates);
        let request = self.requests.get(&number).expect("the request exists");
        if !request.in_flight.is_empty() {
            return;
        }
        if request.attempts < ATTEMPTS {
            return self.after(2, Event::Consider { request: number });
        }
        self.fail(number, false);
    }

    fn answered(&mut self, number: u64, server: usize, instance: u64) {
        if self.servers[server].instance != instance || !self.servers[server].up {
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
        self.requests
            .get_mut(&number)
            .expect("the request exists")
            .is_done = true;
        let now = self.instant();
        let suspects = &mut self.boxes[request.at].suspects;
        if suspects.record_complete_answer(request.fingerprint, now) {
            let updates = SuspectUpdate {
                request: request.fingerprint,
                seen: SuspectEvent::AnsweredWhole,
                at: self.instant(),
            };
            self.own_updates(request.at, updates);
        }
        self.outcome.answered += 1;
    }

    /// Ends a request without a response; the caller repeats it later if it has tries
    /// left.
    fn fail(&mut self, number: u64, _shed: bool) {
        let Some(request) = self.live(number) else {
            return;
        };
        if !request.in_flight.is_empty() {
            return;
        }
        self.requests
            .get_mut(&number)
            .expect("the request exists")
            .is_done = true;
        if request.tries_left > 0 {
            let wait = self.rng.random_range(200..1_500);
            let (fingerprint, tries_left) = (request.fingerprint, request.tries_left - 1);
            self.after(
                wait,
                Event::Arrive {
                    fingerprint,
                    tries_left,
                },
            );
        }
    }

    fn refuse(&mut self, number: u64, after: Ms) {
        let Some(request) = self.live(number) else {
            return;
        };
        if !self.fatal_indexes.contains_key(&request.fingerprint) {
            let refused = &mut self.outcome.refused;
            match after {
                10_000.. => refused.no_try += 1,
                5_000.. => refused.no_store += 1,
                _ => refused.waited += 1,
            }
        }
        self.fail(number, false);
    }

    // Updates between boxes.

    fn own_updates(&mut self, box_index: usize, updates: SuspectUpdate) {
        let now = self.instant();
        if !self.boxes[box_index].suspects.apply_update(&updates, now) {
            return;
        }
        self.forward_update(box_index, None, &updates);
        self.open_quarantine(box_index, updates.request);
        self.publish_answer_soon(box_index, updates.request);
    }

    fn receive_message(
        &mut self,
        to: usize,
        incarnation: u32,
        from: usize,
        message: SuspectMessage,
    ) {
        if self.boxes[to].incarnation != incarnation || !self.boxes[to].alive {
            return;
        }
        if self.is_suspended(to) {
            return self.after(
                50,
                Event::Message {
                    to,
                    incarnation,
                    from,
                    message,
                },
            );
        }
        let now = self.instant();
        let updates = message.to_update(now);
        if !self.boxes[to].suspects.apply_update(&updates, now) {
            return;
        }
        self.forward_update(to, Some(from), &updates);
        if self.hub_of(from) == to {
            self.open_quarantine(to, updates.request);
        }
        self.publish_answer_soon(to, updates.request);
    }

    fn publish_answer_soon(&mut self, box_index: usize, fingerprint: RequestFingerprint) {
        let suspects = &self.boxes[box_index].suspects;
        if suspects
            .answered_before(fingerprint, self.instant())
            .is_some()
        {
            let incarnation = self.boxes[box_index].incarnation;
            let wait = self.rng.random_range(0..200);
            self.after(
                wait,
                Event::PublishAnswer {
                    box_index,
                    incarnation,
                    fingerprint,
                },
            );
        }
    }

    fn publish_answer(
        &mut self,
        box_index: usize,
        incarnation: u32,
        fingerprint: RequestFingerprint,
    ) {
        if self.boxes[box_index].incarnation != incarnation
            || self.is_suspended(box_index)
        {
            return;
        }
        let suspects = &self.boxes[box_index].suspects;
        if let Some(at) = suspects.answered_before(fingerprint, self.instant()) {
            let seen = SuspectEvent::AnsweredWhole;
            self.own_updates(
                box_index,
                SuspectUpdate {
                    request: fingerprint,
                    seen,
                    at,
                },
            );
        }
    }

    fn forward_update(
        &mut self,
        box_index: usize,
        from: Option<usize>,
        updates: &SuspectUpdate,
    ) {
        let is_own = from.is_none_or(|from| self.hub_of(from) == box_index);
        for other in self.neighbours(box_index) {
            let is_member = self.hub_of(other) == box_index;
            if Some(other) != from && (is_own || is_member) {
                self.send_message(box_index, other, updates);
            }
        }
    }

    fn send_message(&mut self, from: usize, to: usize, updates: &SuspectUpdate) {
        self.outcome.notes += 1;
        let message = updates.to_message(self.instant());
        let Some(link_delay) = self.link_delay(from, to) else {
            return;
        };
        // The message waits for the next frame.
        let frame_delay = match from % DATA_CENTRES == to % DATA_CENTRES {
            true => self.rng.random_range(5..50),
            false => self.rng.random_range(10..100),
        };
        let incarnation = self.boxes[to].incarnation;
        self.after(
            link_delay + frame_delay,
            Event::Message {
                to,
                incarnation,
                from,
                message,
            },
        );
    }

    fn send_initial_updates(&mut self, one: usize, other: usize) {
        let now = self.instant();
        if !self.boxes[one].alive {
            return;
        }
        for updates in self.boxes[one].suspects.initial_updates(now) {
            self.send_message(one, other, &updates);
        }
    }

    fn record(
        &mut self,
        to: usize,
        incarnation: u32,
        fingerprint: RequestFingerprint,
        era: u64,
        record: Option<Record>,
    ) {
        if self.boxes[to].incarnation != incarnation || !self.boxes[to].alive {
            return;
        }
        if era != self.boxes[to].era {
            // The record is of an older era, or of one whose snapshot the box has not
            // read yet. That snapshot contains the record as well.
            return;
        }
        if self.is_suspended(to) {
            return self.after(
                50,
                Event::Record {
                    to,
                    incarnation,
                    fingerprint,
                    era,
                    record,
                },
            );
        }
        self.apply_record(to, fingerprint, record);
    }

    fn apply_record(
        &mut self,
        to: usize,
        fingerprint: RequestFingerprint,
        record: Option<Record>,
    ) {
        let heard = self.instant();
        let simulated = &mut self.boxes[to];
        match record {
            Some(record) => {
                let known = StoredQuarantine {
                    position: StorePosition::new(self.store.era, record.revision),
                    tries: record.tries,
                    counted_by: record.counted_by,
                    learned_at: heard,
                };
                simulated.suspects.apply_quarantine(fingerprint, known);
            }
            None => {
                simulated.suspects.remove_quarantine(fingerprint);
                simulated.registry.forget(fingerprint);
            }
        }
    }

    // The store.

    fn open_quarantine(&mut self, box_index: usize, fingerprint: RequestFingerprint) {
        let now = self.instant();
        let is_member = self.hub_of(box_index) != box_index;
        let simulated = &mut self.boxes[box_index];
        if is_member || !simulated.suspects.is_quarantined(fingerprint, now) {
            return;
        }
        let known = simulated.suspects.quarantine(fingerprint);
        let incarnation = simulated.incarnation;
        let Some(count) =
            simulated
                .registry
                .begin_quarantine(fingerprint, known.as_ref(), now)
        else {
            return;
        };
        let (outcome, duration) = self.write(box_index, fingerprint, count);
        self.after(
            duration,
            Event::QuarantineRecorded {
                hub: box_index,
                incarnation,
                fingerprint,
                outcome,
            },
        );
    }

    fn write(
        &mut self,
        hub: usize,
        fingerprint: RequestFingerprint,
        count: wingspur_coordination::TrialRecord,
    ) -> (RecordOutcome, Ms) {
        self.outcome.writes += 1;
        if self.has_active_fault(Fault::StoreAway) {
            return (RecordOutcome::Unknown, 300);
        }
        if count.expected_position.era() != self.store.era {
            // The reply to the previous call names the new era.
            self.receive_restored_now(hub);
            return (RecordOutcome::Overtaken, 5);
        }
        let stored = self.store.records.get(&fingerprint).copied();
        let expected = count.expected_position.wire_revision();
        if stored.map_or(0, |record| record.revision) != expected {
            self.apply_record(hub, fingerprint, stored);
            return (RecordOutcome::Overtaken, 5);
        }
        self.store.revision += 1;
        let record = Record {
            revision: self.store.revision,
            tries: count.tries,
            counted_by: count.counted_by,
        };
        self.store.records.insert(fingerprint, record);
        self.send_record_to_all(fingerprint, Some(record));
        if self.has_active_fault(Fault::StoreLosesAnswers) && self.rng.random_bool(0.5) {
            // The box reads the key and finds its own write.
            self.apply_record(hub, fingerprint, Some(record));
            return (RecordOutcome::Stands, 400);
        }
        self.apply_record(hub, fingerprint, Some(record));
        (RecordOutcome::Stands, 5)
    }

    fn send_record_to_all(
        &mut self,
        fingerprint: RequestFingerprint,
        record: Option<Record>,
    ) {
        for to in 0..self.boxes.len() {
            if !self.boxes[to].alive {
                continue;
            }
            let hub = self.hub_of(to);
            let mut delay = self.rng.random_range(5..80);
            if hub != to {
                delay += match self.link_delay(hub, to) {
                    Some(link_delay) => link_delay + self.rng.random_range(1..60),
                    // The box reads the store itself once its hub has been silent for too
                    // long.
                    None => 1_800,
                };
            }
            let incarnation = self.boxes[to].incarnation;
            let era = self.store.era;
            self.after(
                delay,
                Event::Record {
                    to,
                    incarnation,
                    fingerprint,
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
            // A hub's watch ends within 0.65 s, and the hub reads a snapshot then.
            let mut delay = self.rng.random_range(5..700);
            if hub != to {
                delay += match self.link_delay(hub, to) {
                    Some(link_delay) => link_delay + self.rng.random_range(1..60),
                    None => 1_800,
                };
            }
            let (incarnation, era) = (self.boxes[to].incarnation, self.store.era);
            let records = records.clone();
            self.after(
                delay,
                Event::Restored {
                    to,
                    incarnation,
                    era,
                    records,
                },
            );
        }
    }

    /// Has a box read the store's current records.
    fn receive_restored_now(&mut self, to: usize) {
        let (incarnation, era) = (self.boxes[to].incarnation, self.store.era);
        let records = self.store.records.clone().into_iter().collect();
        self.receive_restored(to, incarnation, era, records);
    }

    fn receive_restored(
        &mut self,
        to: usize,
        incarnation: u32,
        era: u64,
        records: Vec<(RequestFingerprint, Record)>,
    ) {
        let heard = self.instant();
        let simulated = &mut self.boxes[to];
        if simulated.incarnation != incarnation
            || !simulated.alive
            || era <= simulated.era
        {
            return;
        }
        if self.is_suspended(to) {
            return self.after(
                50,
                Event::Restored {
                    to,
                    incarnation,
                    era,
                    records,
                },
            );
        }
        let simulated = &mut self.boxes[to];
        simulated.era = era;
        simulated.registry.note_era(era);
        let listed = records.iter().map(|(fingerprint, record)| {
            let known = StoredQuarantine {
                position: StorePosition::new(era, record.revision),
                tries: record.tries,
                counted_by: record.counted_by,
                learned_at: heard,
            };
            (*fingerprint, known)
        });
        let listed: Vec<_> = listed.collect();
        let lost = simulated.suspects.reconcile_restored(era, &listed);
        if self.hub_of(to) != to {
            return;
        }
        for (fingerprint, known) in lost {
            let count = wingspur_coordination::TrialRecord {
                tries: known.tries,
                counted_by: known.counted_by,
                expected_position: known.position,
            };
            self.write(to, fingerprint, count);
        }
    }

    fn evict(&mut self, box_index: usize) {
        self.after(1_000, Event::Evict { box_index });
        if !self.boxes[box_index].alive || self.is_suspended(box_index) {
            return;
        }
        let now = self.instant();
        let simulated = &mut self.boxes[box_index];
        simulated.suspects.evict_expired(now);
        simulated.registry.evict_idle(now);
        let len = simulated.suspects.len();
        self.outcome.most_suspects = self.outcome.most_suspects.max(len);
        let cleared = self.boxes[box_index].suspects.cleared_quarantines();
        if self.hub_of(box_index) != box_index || self.has_active_fault(Fault::StoreAway)
        {
            return;
        }
        for (fingerprint, known) in cleared {
            self.outcome.writes += 1;
            let stored = self.store.records.get(&fingerprint).copied();
            let expected = known.position.wire_revision();
            if known.position.era() != self.store.era {
                continue;
            }
            if stored.map(|record| record.revision) == Some(expected) {
                self.store.records.remove(&fingerprint);
                self.send_record_to_all(fingerprint, None);
                self.apply_record(box_index, fingerprint, None);
            } else {
                self.apply_record(box_index, fingerprint, stored);
            }
        }
    }

    // The fleet.

    fn box_down(&mut self, box_index: usize, restarts: bool) {
        let simulated = &mut self.boxes[box_index];
        simulated.alive = false;
        simulated.incarnation += 1;
        simulated.last_disturbed = self.now;
        let data_centre = box_index % DATA_CENTRES;
        if self.hubs[data_centre] == Some(box_index) {
            self.hubs[data_centre] = None;
            self.after(HUB_LOST_MS, Event::NewHub { data_centre });
        }
        if restarts {
            self.after(BOX_BACK_MS, Event::BoxUp { box_index });
        }
    }

    fn box_up(&mut self, box_index: usize) {
        let incarnation = self.boxes[box_index].incarnation;
        let mut restarted = SimulatedBox::new(box_index, incarnation);
        restarted.ready_at = self.now + READY_AFTER_MS;
        restarted.last_disturbed = self.now;
        restarted.era = self.store.era;
        restarted.registry.note_era(self.store.era);
        self.boxes[box_index] = restarted;
        // Before it is ready, the box gets the store's records from its hub or the store.
        let records: Vec<_> = self.store.records.clone().into_iter().collect();
        for (fingerprint, record) in records {
            self.apply_record(box_index, fingerprint, Some(record));
        }
        let data_centre = box_index % DATA_CENTRES;
        if self.hubs[data_centre].is_none() {
            self.after(100, Event::NewHub { data_centre });
        }
        for other in self.neighbours(box_index) {
            self.after(
                300,
                Event::SendInitialUpdates {
                    one: other,
                    other: box_index,
                },
            );
        }
    }

    fn new_hub(&mut self, data_centre: usize) {
        if self.hubs[data_centre].is_some() {
            return;
        }
        let local_boxes = (data_centre..self.boxes.len()).step_by(DATA_CENTRES);
        let mut alive = local_boxes.filter(|box_index| {
            let is_cut = self.has_active_fault(Fault::BoxesCutOff) && box_index % 4 == 3;
            self.boxes[*box_index].alive && !is_cut
        });
        let Some(hub) = alive.find(|box_index| !self.is_suspended(*box_index)) else {
            return;
        };
        self.hubs[data_centre] = Some(hub);
        for other in self.neighbours(hub) {
            self.after(100, Event::SendInitialUpdates { one: hub, other });
            self.after(
                100,
                Event::SendInitialUpdates {
                    one: other,
                    other: hub,
                },
            );
        }
    }

    fn replace_suspended_hub(&mut self, data_centre: usize) {
        let is_silent = self.hubs[data_centre].is_some_and(|hub| self.is_suspended(hub));
        if is_silent {
            self.hubs[data_centre] = None;
            self.new_hub(data_centre);
        }
    }

    /// Returns the hub that a box asks, or the box itself if it has no hub or cannot
    /// reach it.
    fn hub_of(&self, box_index: usize) -> usize {
        let is_noticed = self.now > FAULT_MS + HUB_LOST_MS;
        let is_cut = |box_index: usize| box_index % 4 == 3;
        if self.has_active_fault(Fault::BoxesCutOff) && is_noticed && is_cut(box_index) {
            return box_index;
        }
        self.hubs[box_index % DATA_CENTRES].unwrap_or(box_index)
    }

    /// Returns the boxes that are linked with a box.
    fn neighbours(&self, box_index: usize) -> Vec<usize> {
        let hub = self.hub_of(box_index);
        if hub != box_index {
            return vec![hub];
        }
        let members = (box_index % DATA_CENTRES..self.boxes.len()).step_by(DATA_CENTRES);
        let members = members.filter(|other| *other != box_index);
        let hubs = self
            .hubs
            .iter()
            .flatten()
            .filter(|other| **other != box_index);
        members.chain(hubs.copied()).collect()
    }

    /// Returns the delay of a message between two boxes; `None` if it does not arrive.
    fn link_delay(&mut self, from: usize, to: usize) -> Option<Ms> {
        if from == to {
            return Some(0);
        }
        let is_isolated = |box_index: usize| box_index % DATA_CENTRES == 1;
        if self.has_active_fault(Fault::DataCentreAlone)
            && is_isolated(from) != is_isolated(to)
        {
            return None;
        }
        let is_cut = |box_index: usize| box_index % 4 == 3;
        if self.has_active_fault(Fault::BoxesCutOff) && (is_cut(from) || is_cut(to)) {
            return None;
        }
        let extra_delay = match self.has_active_fault(Fault::LateLinks) {
            true => 2_000,
            false => 0,
        };
        Some(extra_delay + 1 + self.rng.random_range(0..3))
    }

    /// Returns whether no fault has affected a box or the store for at least `UPDATE_MS`.
    fn in_touch(&self, box_index: usize) -> bool {
        let since_box = self.now - self.boxes[box_index].last_disturbed;
        let is_undisturbed = |fault: Fault| {
            let faults_end = FAULT_MS + FAULT_LASTS_MS + UPDATE_MS;
            !self.has_fault(fault) || self.now < FAULT_MS || self.now > faults_end
        };
        let is_cut = box_index % 4 == 3 && !is_undisturbed(Fault::BoxesCutOff);
        let is_suspended = box_index % 4 == 1 && !is_undisturbed(Fault::Suspended);
        let is_late = !is_undisturbed(Fault::LateLinks);
        let store_disturbed = !is_undisturbed(Fault::StoreAway)
            || !is_undisturbed(Fault::StoreLosesAnswers);
        since_box > UPDATE_MS && !is_cut && !is_suspended && !is_late && !store_disturbed
    }
}

impl SimulatedBox {
    fn new(box_index: usize, incarnation: u32) -> Self {
        let name = box_index as u64 + (u64::from(incarnation) << 32);
        Self {
            incarnation,
            alive: true,
            ready_at: 0,
            suspended_until: 0,
            last_disturbed: 0,
            era: 0,
            suspects: SuspectRequests::default(),
            registry: QuarantineRegistry::new(name),
        }
    }
}

impl SimulatedServer {
    fn new(number: u64) -> Self {
        Self {
            instance: (number + 1) << 32,
            up: true,
            running: Vec::new(),
            queue: Vec::new(),
        }
    }

    fn start(&mut self) {
        self.instance += 1;
        self.up = true;
    }
}

fn fingerprint_of(name: &str) -> RequestFingerprint {
    RequestFingerprint::of(&RequestParts {
        method: "GET",
        host: "site.example",
        target: name,
        caller: b"",
        body: b"",
        body_bytes: Some(0),
    })
}
