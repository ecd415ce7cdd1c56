//! Runs one play: starts all parts, lets the events happen, and collects what was seen.

use std::path::{Path as FilePath, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use serde_json::json;
use wingspur_tests::{PlatformStore, StoreFault};

use crate::boxes::{BoxSpec, SoakBox, fetch_json};
use crate::budget::Budget;
use crate::promises::RETRY_BUDGET;
use crate::site::caller::{Balancer, Call, CallerSpec};
use crate::site::configuration::configuration;
use crate::site::part::{Part, PartProcess};
use crate::site::path::PathFault;
use crate::site::server_messages::{
    Arrival, Arrivals, ServerCommand, ServerSpec, Trouble,
};
use crate::site::server_process::ServerProcess;
use crate::site::shape::Shape;
use crate::site::trouble::{Event, EventKind, Whom};

/// Parameters of a play.
pub struct Setup {
    /// The program that each box runs.
    pub program: PathBuf,
    /// The size of the deployment.
    pub shape: Shape,
    /// Number of caller threads.
    pub callers: usize,
    /// For how long events begin.
    pub span: Duration,
    /// Whether servers name the request in each response, surplus ones too.
    pub always_named: bool,
    /// Whether servers refuse many requests at any time, and each of these may be sent
    /// again.
    pub refuses: bool,
    /// Probability that a request which waits at a server is refused when the server next
    /// looks at its queue.
    pub shed_probability: f64,
    /// Whether servers may start at any time what they refuse after it has waited.
    pub starts_refused: bool,
    /// How long before the time that a request states its deadline passes at a server.
    pub early: Duration,
    /// How often processes stand still.
    pub pauses_per_second: f64,
    /// How long a server may take to refuse on arrival; `None` for the boxes' default.
    pub max_prompt_delay_ms: Option<u64>,
    /// Whether boxes run a fifth of the time.
    pub slices_boxes: bool,
    /// Whether servers write copies of their refusals later.
    pub copies_refusals: bool,
    /// Whether callers repeat requests that were refused, with the same id.
    pub repeats_ids: bool,
    /// Whether some servers have a second entry with another id and the same address.
    pub shares_addresses: bool,
}

/// What callers and servers saw.
pub struct Seen {
    /// The once-only requests.
    pub calls: Vec<Call>,
    /// All arrivals at servers.
    pub arrivals: Vec<Arrival>,
}

struct Play<'a> {
    setup: &'a Setup,
    seed: u64,
    random: StdRng,
    store: PlatformStore,
    version: u64,
    boxes: Vec<PlayedBox>,
    balancer: Balancer,
    servers: Vec<PlayedServer>,
    /// Servers whose address another one has taken over.
    replaced: Vec<ServerProcess>,
    arrivals: Arrivals,
    callers: Option<PartProcess>,
    calls: Arc<Mutex<Vec<Call>>>,
    follow_ups: Vec<(Instant, FollowUp)>,
}

struct PlayedBox {
    process: SoakBox,
    failed_polls: u32,
    is_sliced: bool,
}

struct PlayedServer {
    server: ServerProcess,
    /// The server that had the address before; `None` if it is the first one there.
    path_owner: Option<ServerProcess>,
    data_centre: String,
    is_withdrawn: bool,
}

/// A later step of an event.
enum FollowUp {
    Stop(usize),
    Resume(usize),
    EndSlices(usize),
    RegainPath(usize),
    EndTrouble(usize),
    EndPathFault(usize),
    TakeOver(usize),
    Drain(usize),
    EndServer(usize),
    Configure,
    EndStoreFault,
}

/// Plays events. The files of the boxes go into `folder`.
pub fn play(setup: &Setup, events: &[Event], seed: u64, folder: &FilePath) -> Seen {
    let mut play = Play::start(setup, seed, folder);
    play.wait_ready();
    play.start_callers(seed);
    let began = Instant::now();
    let mut events = events.iter().peekable();
    while Instant::now() < began + setup.span || !play.follow_ups.is_empty() {
        let now = Instant::now();
        while let Some(event) = events.next_if(|event| began + event.at <= now) {
            play.begin(event);
        }
        play.tick();
        std::thread::sleep(TICK);
    }
    play.close()
}

impl Setup {
    fn budget(&self) -> Budget {
        match self.refuses {
            true => Budget {
                ratio: 1.0,
                slack: 400.0,
                ..RETRY_BUDGET
            },
            false => RETRY_BUDGET,
        }
    }
}

impl<'a> Play<'a> {
    fn start(setup: &'a Setup, seed: u64, folder: &FilePath) -> Self {
        let shape = &setup.shape;
        let store = PlatformStore::start(500);
        let boxes = (0..shape.boxes).map(|n| {
            let spec = BoxSpec {
                id: format!("box-{n}"),
                data_centre: data_centre(shape, n),
                cpu_share: 0.2,
                kill_after_s: Some(KILL_AFTER.as_secs_f64()),
                budget: setup.budget(),
                max_prompt_delay_ms: setup.max_prompt_delay_ms,
            };
            SoakBox::new(&spec, &setup.program, store.address, folder)
        });
        let boxes: Vec<_> = boxes
            .map(|process| PlayedBox {
                process,
                failed_polls: MAX_FAILED_POLLS,
                is_sliced: setup.slices_boxes,
            })
            .collect();
        let mut play = Self {
            setup,
            seed,
            random: StdRng::seed_from_u64(!seed),
            store,
            version: 0,
            boxes,
            balancer: Vec::new(),
            servers: Vec::new(),
            replaced: Vec::new(),
            arrivals: Arc::new(Mutex::new(Vec::new())),
            callers: None,
            calls: Arc::default(),
            follow_ups: Vec::new(),
        };
        play.configure();
        for (service, count) in shape.servers.into_iter().enumerate() {
            (0..count).for_each(|_| play.add_server(service));
        }
        play.boxes.iter_mut().for_each(|b| b.process.start());
        play
    }

    fn wait_ready(&mut self) {
        let until = Instant::now() + START_TIME;
        let all = self.boxes.len();
        while Instant::now() < until && self.balancer.len() < all {
            self.tick();
            std::thread::sleep(TICK);
        }
        assert!(!self.balancer.is_empty(), "no box is ready, see their logs");
    }

    fn start_callers(&mut self, seed: u64) {
        let calls = self.calls.clone();
        let receive = move |call| calls.lock().expect("no holder panics").push(call);
        let mut callers = PartProcess::start(Part::Callers, receive);
        callers.send(&CallerSpec {
            count: self.setup.callers,
            seed,
            shape: self.setup.shape.name.to_owned(),
            play: std::process::id(),
            repeats_ids: self.setup.repeats_ids,
            balancer: self.balancer.clone(),
        });
        self.callers = Some(callers);
    }

    fn begin(&mut self, event: &Event) {
        let lasts = event.lasts;
        match event.kind {
            EventKind::Kill(share) => {
                for n in self.draw_boxes(share) {
                    self.boxes[n].process.signal(Signal::KILL);
                }
            }
            EventKind::Stops { share, gap } => {
                for (step, n) in self.draw_boxes(share).into_iter().enumerate() {
                    self.plan(gap * step as u32, FollowUp::Stop(n));
                }
            }
            EventKind::Suspend(share) => {
                for n in self.draw_boxes(share) {
                    self.boxes[n].process.set_suspended(true);
                    self.plan(lasts, FollowUp::Resume(n));
                }
            }
            EventKind::Slices(share) => {
                for n in self.draw_boxes(share) {
                    self.boxes[n].is_sliced = true;
                    self.plan(lasts, FollowUp::EndSlices(n));
                }
            }
            EventKind::Reload(share) => {
                for n in self.draw_boxes(share) {
                    self.boxes[n].process.signal(Signal::HUP);
                }
            }
            EventKind::LosePath(share, way) => {
                for n in self.draw_boxes(share) {
                    self.boxes[n].process.set_server_path(way);
                    self.plan(lasts, FollowUp::RegainPath(n));
                }
            }
            EventKind::Servers(share, trouble, requests) => {
                let trouble = match trouble {
                    Trouble::SurplusUnnamed if self.setup.always_named => {
                        Trouble::SurplusAfter
                    }
                    trouble => trouble,
                };
                for n in self.draw_servers(share) {
                    let command = ServerCommand::Trouble(trouble, requests);
                    self.servers[n].server.send(command);
                    self.plan(lasts, FollowUp::EndTrouble(n));
                }
            }
            EventKind::Paths(share, fault, connections) => {
                for n in self.draw_servers(share) {
                    self.servers[n].set_path(fault, connections);
                    self.plan(lasts, FollowUp::EndPathFault(n));
                }
            }
            EventKind::TakeOver(share) => {
                for n in self.draw_servers(share) {
                    self.servers[n].set_path(PathFault::Down, 1.0);
                    self.plan(REUSE_AFTER, FollowUp::TakeOver(n));
                }
            }
            EventKind::Release(share) => {
                for (step, n) in self.draw_servers(share).into_iter().enumerate() {
                    self.plan(RELEASE_GAP * step as u32, FollowUp::Drain(n));
                }
            }
            EventKind::Store(fault) => {
                self.store.set_fault(fault);
                self.plan(lasts, FollowUp::EndStoreFault);
            }
            EventKind::Pause(whom) => self.pause(whom, lasts),
            EventKind::ForgetHistory => self.store.compact_history(),
            EventKind::Configure(count) => {
                for step in 0..count {
                    self.plan(STORM_GAP * step, FollowUp::Configure);
                }
            }
        }
    }

    /// Lets processes stand still. The store and the play itself go on.
    fn pause(&mut self, whom: Whom, time: Duration) {
        let boxes = match whom {
            Whom::All | Whom::Boxes => self.draw_boxes(1.0),
            Whom::Some(share) => self.draw_boxes(share),
            Whom::Servers | Whom::Callers => Vec::new(),
        };
        let servers = match whom {
            Whom::All | Whom::Servers => self.servers.len(),
            Whom::Some(share) => (self.servers.len() as f64 * share).ceil() as usize,
            Whom::Boxes | Whom::Callers => 0,
        };
        let servers = (0..self.servers.len()).sample(&mut self.random, servers);
        let callers = match whom {
            Whom::All | Whom::Callers => self.callers.as_ref(),
            Whom::Boxes | Whom::Servers | Whom::Some(_) => None,
        };
        for signal in [Signal::STOP, Signal::CONT] {
            for n in &boxes {
                let process = &mut self.boxes[*n].process;
                if !process.suspended {
                    process.signal(signal);
                }
            }
            for n in &servers {
                self.servers[*n].signal(signal);
            }
            callers.inspect(|callers| callers.signal(signal));
            if signal == Signal::STOP {
                std::thread::sleep(time);
            }
        }
    }

    /// Does what is due, starts boxes that have ended, and updates the balancer.
    fn tick(&mut self) {
        let now = Instant::now();
        let planned = std::mem::take(&mut self.follow_ups);
        let (due, pending): (Vec<_>, Vec<_>) =
            planned.into_iter().partition(|(at, _)| *at <= now);
        self.follow_ups = pending;
        due.into_iter()
            .for_each(|(_, follow_up)| self.follow_up(follow_up));
        let polled = self.random.random_range(0..self.boxes.len());
        for n in 0..self.boxes.len() {
            let played = &mut self.boxes[n];
            played.process.start();
            if played.is_sliced {
                // Runs a fifth of the time, for a tick each.
                let runs = self.random.random_bool(0.2);
                played.process.set_suspended(!runs);
            }
            // Polling all of them each tick would slow the ticks down.
            if n % POLL_GROUPS == polled % POLL_GROUPS && !played.process.suspended {
                self.poll(n);
            }
        }
    }

    /// Takes a box out of the balancer after two polls in a row that found it not ready.
    fn poll(&mut self, n: usize) {
        let played = &mut self.boxes[n];
        let is_ready = fetch_json(played.process.operator_address, "/ready").is_some();
        played.failed_polls = if is_ready { 0 } else { played.failed_polls + 1 };
        let is_listed = self.balancer.iter().any(|(listed, _)| *listed == n);
        if is_ready && !is_listed {
            self.balancer.push((n, played.process.caller_address));
        } else if is_listed && played.failed_polls >= MAX_FAILED_POLLS {
            self.balancer.retain(|(listed, _)| *listed != n);
        } else {
            return;
        }
        if let Some(callers) = &mut self.callers {
            callers.send(&self.balancer);
        }
    }

    fn follow_up(&mut self, follow_up: FollowUp) {
        match follow_up {
            FollowUp::Stop(n) => self.boxes[n].process.stop(),
            FollowUp::Resume(n) => self.boxes[n].process.set_suspended(false),
            FollowUp::EndSlices(n) => {
                self.boxes[n].is_sliced = self.setup.slices_boxes;
                self.boxes[n].process.set_suspended(false);
            }
            FollowUp::RegainPath(n) => self.boxes[n].process.set_server_path("none"),
            FollowUp::EndTrouble(n) => {
                let command = ServerCommand::Trouble(Trouble::None, 0.0);
                self.servers[n].server.send(command);
            }
            FollowUp::EndPathFault(n) => {
                self.servers[n].set_path(PathFault::None, 0.0);
            }
            FollowUp::TakeOver(n) => self.take_over(n),
            FollowUp::Drain(n) => self.replace(n),
            FollowUp::EndServer(n) => {
                let server = &mut self.servers[n].server;
                let keys = server_keys(server);
                keys.iter().for_each(|key| self.store.remove(key));
                server.send(ServerCommand::End);
            }
            FollowUp::Configure => self.configure(),
            FollowUp::EndStoreFault => self.store.set_fault(StoreFault::None),
        }
    }

    fn add_server(&mut self, service: usize) {
        let server = self.start_server(service);
        let data_centre = data_centre(&self.setup.shape, self.servers.len());
        self.servers.push(PlayedServer {
            server,
            path_owner: None,
            data_centre,
            is_withdrawn: false,
        });
        self.announce(self.servers.len() - 1, "ready");
    }

    fn start_server(&mut self, service: usize) -> ServerProcess {
        let Shape { slots, queue, .. } = self.setup.shape;
        let instance = format!("i-{:x}", self.random.random::<u32>());
        let is_shared =
            self.setup.shares_addresses && self.random.random_bool(SHARED_ADDRESS_SHARE);
        let spec = ServerSpec {
            other_instance: is_shared.then(|| format!("{instance}-second")),
            takes_other: is_shared && self.random.random_bool(TAKEN_SECOND_SHARE),
            instance,
            slots,
            queue,
            refused_share: if self.setup.refuses {
                REFUSED_SHARE
            } else {
                0.0
            },
            shed_probability: self.setup.shed_probability,
            starts_refused: self.setup.starts_refused,
            early: self.setup.early,
            copying_seed: self.setup.copies_refusals.then_some(self.seed),
        };
        ServerProcess::start(spec, service, self.arrivals.clone())
    }

    fn announce(&self, n: usize, state: &str) {
        let PlayedServer {
            server,
            data_centre,
            ..
        } = &self.servers[n];
        let entry = json!({
            "service": self.setup.shape.classes[server.service].service,
            "address": server.path_address, "data_centre": data_centre,
            "slots": self.setup.shape.slots, "state": state, "cold_ms": 0,
        });
        let keys = server_keys(server);
        keys.iter().for_each(|key| self.store.put(key, &entry));
    }

    /// Starts a server of another service at the address of one that has crashed, whose
    /// entry goes only now.
    fn take_over(&mut self, n: usize) {
        let service = (self.servers[n].server.service + 1) % 3;
        let mut next = self.start_server(service);
        let played = &mut self.servers[n];
        next.path_address = played.server.path_address;
        let target = next.address;
        let mut old = std::mem::replace(&mut played.server, next);
        old.send(ServerCommand::End);
        let keys = server_keys(&old);
        keys.iter().for_each(|key| self.store.remove(key));
        match &played.path_owner {
            Some(_) => self.replaced.push(old),
            None => played.path_owner = Some(old),
        }
        played.path_owner().send(ServerCommand::Target(target));
        played.set_path(PathFault::None, 0.0);
        self.announce(n, "ready");
    }

    fn replace(&mut self, n: usize) {
        if std::mem::replace(&mut self.servers[n].is_withdrawn, true) {
            return;
        }
        self.add_server(self.servers[n].server.service);
        self.announce(n, "leaving");
        self.plan(DRAIN_TIME, FollowUp::EndServer(n));
    }

    fn configure(&mut self) {
        self.version += 1;
        let configuration = configuration(&self.setup.shape, self.version);
        self.store.put("op/config", &configuration);
    }

    fn draw_boxes(&mut self, share: f64) -> Vec<usize> {
        let count = (self.boxes.len() as f64 * share).ceil() as usize;
        (0..self.boxes.len()).sample(&mut self.random, count)
    }

    fn draw_servers(&mut self, share: f64) -> Vec<usize> {
        // Half of the time of the service whose requests must run at most once.
        let service = [0, 1, 1, 2][self.random.random_range(0..4)];
        let servers = self.servers.iter().enumerate();
        let of_service = servers
            .filter(|(_, played)| {
                played.server.service == service && !played.is_withdrawn
            })
            .map(|(n, _)| n);
        let of_service: Vec<usize> = of_service.collect();
        let count = (of_service.len() as f64 * share).ceil() as usize;
        of_service.into_iter().sample(&mut self.random, count)
    }

    fn plan(&mut self, after: Duration, follow_up: FollowUp) {
        self.follow_ups.push((Instant::now() + after, follow_up));
    }

    fn close(self) -> Seen {
        if let Some(callers) = self.callers {
            callers.close();
        }
        // Bytes that were held back may still reach a server and run.
        std::thread::sleep(LATE_RUN_TIME);
        for played in self.boxes {
            played.process.kill();
        }
        for PlayedServer {
            server, path_owner, ..
        } in self.servers
        {
            server.close();
            if let Some(owner) = path_owner {
                owner.close();
            }
        }
        self.replaced.into_iter().for_each(ServerProcess::close);
        let take = |calls: &Mutex<Vec<Call>>| {
            std::mem::take(&mut *calls.lock().expect("no holder panics"))
        };
        let arrivals = self.arrivals.lock().expect("no holder panics").clone();
        Seen {
            calls: take(&self.calls),
            arrivals,
        }
    }
}

impl PlayedServer {
    /// Returns the process that holds the path to the server.
    fn path_owner(&mut self) -> &mut ServerProcess {
        self.path_owner.as_mut().unwrap_or(&mut self.server)
    }

    fn set_path(&mut self, fault: PathFault, share: f64) {
        self.path_owner().send(ServerCommand::Path(fault, share));
    }

    fn signal(&self, signal: Signal) {
        self.server.signal(signal);
        if let Some(owner) = &self.path_owner {
            owner.signal(signal);
        }
    }
}

fn data_centre(shape: &Shape, number: usize) -> String {
    format!("dc-{}", number % shape.data_centres)
}

/// Returns the keys of all entries of a server.
fn server_keys(server: &ServerProcess) -> Vec<String> {
    let instances = [Some(&server.instance), server.other_instance.as_ref()];
    let keys = instances.into_iter().flatten();
    keys.map(|instance| format!("servers/{instance}")).collect()
}

/// Half of the requests that are refused are refused twice.
const REFUSED_SHARE: f64 = 0.5;
/// Share of the servers with a second entry, if some have one.
const SHARED_ADDRESS_SHARE: f64 = 0.5;
/// Share of the second entries whose requests their servers take.
const TAKEN_SECOND_SHARE: f64 = 0.7;
const TICK: Duration = Duration::from_millis(20);
const START_TIME: Duration = Duration::from_secs(20);
const KILL_AFTER: Duration = Duration::from_secs(6);
const LATE_RUN_TIME: Duration = Duration::from_secs(3);
const MAX_FAILED_POLLS: u32 = 2;
/// Each tick polls one box in so many.
const POLL_GROUPS: usize = 6;
const REUSE_AFTER: Duration = Duration::from_secs(2);
const DRAIN_TIME: Duration = Duration::from_millis(2500);
const RELEASE_GAP: Duration = Duration::from_millis(400);
const STORM_GAP: Duration = Duration::from_millis(80);
