//! Runs one play: starts all parts, lets the events happen, and collects what was seen.

use std::path::{Path as FilePath, PathBuf};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use serde_json::{Value, json};
use wingspur_tests::{PlatformStore, StoreFault};

use crate::boxes::{BoxSpec, SoakBox, fetch_json};
use crate::promises::RETRY_BUDGET;
use crate::site::caller::{Balancer, Call, Callers, HOST};
use crate::site::path::{Path, PathFault};
use crate::site::server::{Arrival, Arrivals, Server, Trouble};
use crate::site::shape::Shape;
use crate::site::trouble::{Event, EventKind};

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
    random: StdRng,
    store: PlatformStore,
    version: u64,
    boxes: Vec<PlayedBox>,
    balancer: Balancer,
    servers: Vec<PlayedServer>,
    arrivals: Arrivals,
    follow_ups: Vec<(Instant, FollowUp)>,
}

struct PlayedBox {
    process: SoakBox,
    failed_polls: u32,
    is_sliced: bool,
}

struct PlayedServer {
    server: Server,
    path: Path,
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
    let callers = Callers::start(setup.callers, seed, setup.shape, &play.balancer);
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
    let calls = callers.close();
    // Bytes that were held back may still reach a server and run.
    std::thread::sleep(LATE_RUN_TIME);
    play.close(calls)
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
                budget: RETRY_BUDGET,
            };
            SoakBox::new(&spec, &setup.program, store.address, folder)
        });
        let boxes: Vec<_> = boxes
            .map(|process| PlayedBox {
                process,
                failed_polls: MAX_FAILED_POLLS,
                is_sliced: false,
            })
            .collect();
        let mut play = Self {
            setup,
            random: StdRng::seed_from_u64(!seed),
            store,
            version: 0,
            boxes,
            balancer: Arc::new(RwLock::new(Vec::new())),
            servers: Vec::new(),
            arrivals: Arc::new(Mutex::new(Vec::new())),
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
        while Instant::now() < until
            && self.balancer.read().expect("no holder panics").len() < all
        {
            self.tick();
            std::thread::sleep(TICK);
        }
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
                for n in self.draw_servers(share) {
                    self.servers[n].server.set_trouble(trouble, requests);
                    self.plan(lasts, FollowUp::EndTrouble(n));
                }
            }
            EventKind::Paths(share, fault, connections) => {
                for n in self.draw_servers(share) {
                    self.servers[n].path.set_fault(fault, connections);
                    self.plan(lasts, FollowUp::EndPathFault(n));
                }
            }
            EventKind::TakeOver(share) => {
                for n in self.draw_servers(share) {
                    self.servers[n].path.set_fault(PathFault::Down, 1.0);
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
            EventKind::ForgetHistory => self.store.compact_history(),
            EventKind::Configure(count) => {
                for step in 0..count {
                    self.plan(STORM_GAP * step, FollowUp::Configure);
                }
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
        let mut balancer = self.balancer.write().expect("no holder panics");
        let is_listed = balancer.iter().any(|(listed, _)| *listed == n);
        if is_ready && !is_listed {
            balancer.push((n, played.process.caller_address));
        } else if played.failed_polls >= MAX_FAILED_POLLS {
            balancer.retain(|(listed, _)| *listed != n);
        }
    }

    fn follow_up(&mut self, follow_up: FollowUp) {
        match follow_up {
            FollowUp::Stop(n) => self.boxes[n].process.stop(),
            FollowUp::Resume(n) => self.boxes[n].process.set_suspended(false),
            FollowUp::EndSlices(n) => {
                self.boxes[n].is_sliced = false;
                self.boxes[n].process.set_suspended(false);
            }
            FollowUp::RegainPath(n) => self.boxes[n].process.set_server_path("none"),
            FollowUp::EndTrouble(n) => {
                self.servers[n].server.set_trouble(Trouble::None, 0.0);
            }
            FollowUp::EndPathFault(n) => {
                self.servers[n].path.set_fault(PathFault::None, 0.0);
            }
            FollowUp::TakeOver(n) => self.take_over(n),
            FollowUp::Drain(n) => self.replace(n),
            FollowUp::EndServer(n) => {
                let played = &self.servers[n];
                self.store.remove(&server_key(&played.server));
                played.server.end();
            }
            FollowUp::Configure => self.configure(),
            FollowUp::EndStoreFault => self.store.set_fault(StoreFault::None),
        }
    }

    fn add_server(&mut self, service: usize) {
        let server = self.start_server(service);
        let data_centre = data_centre(&self.setup.shape, self.servers.len());
        let path = Path::start(server.address);
        self.servers.push(PlayedServer {
            server,
            path,
            data_centre,
            is_withdrawn: false,
        });
        self.announce(self.servers.len() - 1, "ready");
    }

    fn start_server(&mut self, service: usize) -> Server {
        let Shape { slots, queue, .. } = self.setup.shape;
        let instance = format!("i-{:x}", self.random.random::<u32>());
        Server::start(instance, service, slots, queue, self.arrivals.clone())
    }

    fn announce(&self, n: usize, state: &str) {
        let PlayedServer {
            server,
            path,
            data_centre,
            ..
        } = &self.servers[n];
        let entry = json!({
            "service": self.setup.shape.classes[server.service].service,
            "address": path.address, "data_centre": data_centre,
            "slots": self.setup.shape.slots, "state": state, "cold_ms": 0,
        });
        self.store.put(&server_key(server), &entry);
    }

    /// Starts a server of another service at the address of one that has crashed, whose
    /// entry goes only now.
    fn take_over(&mut self, n: usize) {
        let service = (self.servers[n].server.service + 1) % 3;
        let next = self.start_server(service);
        let played = &mut self.servers[n];
        played.path.set_target(next.address);
        played.path.set_fault(PathFault::None, 0.0);
        let old = std::mem::replace(&mut played.server, next);
        self.store.remove(&server_key(&old));
        old.end();
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

    fn close(self, calls: Vec<Call>) -> Seen {
        for played in self.boxes {
            played.process.kill();
        }
        self.servers.iter().for_each(|played| played.server.end());
        // Copied, since a server may still be handling a request.
        let arrivals = self.arrivals.lock().expect("no holder panics").clone();
        Seen { calls, arrivals }
    }
}

fn data_centre(shape: &Shape, number: usize) -> String {
    format!("dc-{}", number % shape.data_centres)
}

fn server_key(server: &Server) -> String {
    format!("servers/{}", server.instance)
}

/// Returns a configuration; timeouts change with each version, by up to a tenth.
fn configuration(shape: &Shape, version: u64) -> Value {
    let routes = shape.classes.map(|class| {
        let timeout_ms = class.timeout.as_millis() as u64;
        let mut route = json!({
            "name": class.service, "host": HOST,
            "path_prefix": format!("/{}/", class.service), "class": class.route_class,
            "timeout_ms": timeout_ms + timeout_ms * (version % 4) / 30,
            "target_latency_ms": class.work.as_millis() as u64 * 3, "priority": 1,
            "max_attempts": 3,
        });
        if class.route_class == "download" {
            let targets = shape.classes.iter().zip([1, 1, 6]);
            let targets = targets.map(
                |(class, weight)| json!({"service": class.service, "weight": weight}),
            );
            route["targets"] = targets.collect();
        } else {
            route["service"] = json!(class.service);
        }
        route
    });
    let services = shape
        .classes
        .map(|class| json!({"name": class.service, "server_connections": 330}));
    json!({
        "version": version, "host_routes": routes, "services": services,
        "limits": {
            "max_head_bytes": 16384, "max_body_bytes": 1048576,
            "head_timeout_ms": 3000, "idle_timeout_ms": 4000,
        },
    })
}

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
