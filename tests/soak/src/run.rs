//! One play: boxes, servers and store are started, faults come and go, promises are checked.

use std::collections::{HashMap, HashSet};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::RngExt;
use rustix::process::Signal;
use serde_json::{Value, json};
use wingspur_tests::{BackendServer, PlatformStore, Reply, StoreFault};

use crate::boxes::{BoxSpec, SoakBox, ask};
use crate::calls::{Called, Callers};
use crate::plan::{Fault, FaultKind, Plan, SERVERS};
use crate::promises::{LEAVING_BOUND, RETRY_BUDGET, Seen, broken_promises};

/// What is played.
pub struct Setup {
    /// The program that each box runs.
    pub program: PathBuf,
    /// How many boxes.
    pub boxes: usize,
    /// For how long faults come.
    pub span: Duration,
}

/// What came of a play.
pub struct Report {
    /// The promises that did not hold.
    pub broken: Vec<String>,
    /// Where the boxes' logs are.
    pub logs: PathBuf,
    requests: usize,
    served: usize,
    faults: usize,
}

/// A play under way.
struct Play {
    store: PlatformStore,
    servers: Vec<BackendServer>,
    /// What half of a server's requests meet.
    replies: Vec<Arc<Mutex<Reply>>>,
    boxes: Vec<SoakBox>,
    hits: Vec<Vec<(Instant, Instant)>>,
    version: u64,
    /// The version and life that each box last told.
    told: Vec<(u64, u64)>,
    reversions: Vec<String>,
    /// When each run of a server said that it leaves.
    left: HashMap<usize, Instant>,
    /// Those that are gone.
    gone: HashSet<usize>,
}

/// Something that is due.
type Due = (Instant, FaultKind);

impl Report {
    /// The play in a line.
    pub fn summary(&self) -> String {
        let verdict = match self.broken.len() {
            0 => "all promises held".to_owned(),
            count => format!("{count} promises broken"),
        };
        let Self {
            requests,
            served,
            faults,
            ..
        } = self;
        format!("{verdict}; {faults} faults, {served} of {requests} requests served")
    }
}

/// Plays a plan.
pub fn play(setup: &Setup, plan: &Plan) -> Report {
    let folder = std::env::temp_dir().join(format!(
        "wingspur-soak-{}-{}",
        std::process::id(),
        rand::random::<u32>()
    ));
    std::fs::create_dir_all(&folder).expect("the folder for logs can be made");
    let mut play = Play::start(setup, &folder);
    play.wait_ready();
    let callers = Callers::start(play.boxes.iter().map(|b| b.callers).collect());
    let began = Instant::now();
    play.follow(plan, began, began + setup.span);
    play.mend();
    play.wait_ready();
    std::thread::sleep(SETTLES);
    let calm_from = Instant::now();
    std::thread::sleep(CALM);
    let called = callers.close();
    let seen = play.close(calm_from);
    Report {
        broken: broken_promises(&called, &seen),
        logs: folder,
        requests: called.len(),
        served: called
            .iter()
            .filter(|one: &&Called| one.status == Some(200))
            .count(),
        faults: plan.faults.len(),
    }
}

impl Play {
    fn start(setup: &Setup, folder: &std::path::Path) -> Self {
        let store = PlatformStore::start(500);
        let replies: Vec<_> = (0..SERVERS)
            .map(|_| Arc::new(Mutex::new(Reply::Complete)))
            .collect();
        let servers: Vec<_> = replies
            .iter()
            .map(|reply| start_server(reply.clone()))
            .collect();
        let mut boxes: Vec<_> = (0..setup.boxes)
            .map(|n| {
                let spec = BoxSpec {
                    id: format!("box-{n}"),
                    data_centre: "dc-1".to_owned(),
                    cpu_share: 1.0,
                    kill_after_s: None,
                    budget: RETRY_BUDGET,
                };
                SoakBox::new(&spec, &setup.program, store.address, folder)
            })
            .collect();
        let mut play = Self {
            hits: vec![Vec::new(); boxes.len()],
            told: vec![(0, 0); boxes.len()],
            version: 0,
            reversions: Vec::new(),
            left: HashMap::new(),
            gone: HashSet::new(),
            store,
            servers,
            replies,
            boxes: Vec::new(),
        };
        play.change();
        (0..SERVERS).for_each(|n| play.announce(n, "ready"));
        boxes.iter_mut().for_each(SoakBox::start);
        play.boxes = boxes;
        play
    }

    fn wait_ready(&mut self) {
        let until = Instant::now() + MOST_WAIT;
        while Instant::now() < until {
            let all = self
                .boxes
                .iter()
                .all(|b| ask(b.operators, "/ready").is_some());
            if all {
                return;
            }
            std::thread::sleep(TICK);
        }
    }

    /// Lets faults begin and end until the span is over.
    fn follow(&mut self, plan: &Plan, began: Instant, until: Instant) {
        let mut begins: Vec<&Fault> = plan.faults.iter().rev().collect();
        let mut ends: Vec<Due> = Vec::new();
        while Instant::now() < until || !ends.is_empty() {
            let now = Instant::now();
            while begins.last().is_some_and(|fault| began + fault.at <= now) {
                let fault = begins.pop().expect("it was there");
                self.begin(fault, now);
                ends.push((now + fault.lasts, fault.kind));
            }
            let (due, rest): (Vec<Due>, Vec<Due>) =
                ends.into_iter().partition(|(at, _)| *at <= now);
            ends = rest;
            due.iter().for_each(|(_, kind)| self.end(*kind));
            self.read_versions();
            std::thread::sleep(TICK);
        }
    }

    fn begin(&mut self, fault: &Fault, now: Instant) {
        // What is cut then may be noticed, and the box back, some seconds later.
        let hit = (now, now + fault.lasts + AFTERMATH);
        match fault.kind {
            FaultKind::Stop(n) => self.boxes[n].stop(),
            FaultKind::Kill(n) => {
                self.hits[n].push(hit);
                self.boxes[n].signal(Signal::KILL);
            }
            FaultKind::KillAll => {
                self.hits.iter_mut().for_each(|hits| hits.push(hit));
                self.boxes.iter_mut().for_each(|b| b.signal(Signal::KILL));
            }
            FaultKind::Freeze(n) => {
                self.hits[n].push(hit);
                self.boxes[n].freeze(true);
            }
            FaultKind::Reload(n) => self.boxes[n].signal(Signal::HUP),
            FaultKind::Store(fault) => self.store.set_fault(fault),
            FaultKind::ForgetHistory => self.store.compact_history(),
            FaultKind::Change => self.change(),
            FaultKind::Server(n, reply) => self.set_reply(n, reply),
            FaultKind::Leave(n) => self.announce(n, "leaving"),
        }
    }

    fn end(&mut self, kind: FaultKind) {
        match kind {
            FaultKind::Stop(n) | FaultKind::Kill(n) => self.boxes[n].start(),
            FaultKind::KillAll => self.boxes.iter_mut().for_each(SoakBox::start),
            FaultKind::Freeze(n) => self.boxes[n].freeze(false),
            FaultKind::Store(_) => self.store.set_fault(StoreFault::None),
            FaultKind::Server(n, _) => self.set_reply(n, Reply::Complete),
            FaultKind::Leave(n) => self.renew_server(n),
            FaultKind::Reload(_) | FaultKind::ForgetHistory | FaultKind::Change => {}
        }
    }

    /// Ends whatever is still out of order.
    fn mend(&mut self) {
        self.store.set_fault(StoreFault::None);
        for running in &mut self.boxes {
            running.freeze(false);
        }
        let until = Instant::now() + MOST_WAIT;
        // A box that was told to stop ends first.
        while Instant::now() < until
            && self
                .boxes
                .iter_mut()
                .any(|b| ask(b.operators, "/ready").is_none())
        {
            self.boxes.iter_mut().for_each(SoakBox::start);
            std::thread::sleep(TICK);
        }
    }

    fn change(&mut self) {
        self.version += 1;
        self.store.put("op/config", &configuration(self.version));
    }

    fn announce(&mut self, n: usize, state: &str) {
        if state == "leaving" {
            if self.left.contains_key(&n) {
                return;
            }
            self.left.insert(n, Instant::now());
        }
        let entry = json!({
            "service": "svc", "address": self.servers[n].address, "data_centre": "dc-1",
            "slots": 8, "state": state, "cold_ms": 0,
        });
        self.store
            .put(&format!("servers/i-{n}-{}", self.run_of(n)), &entry);
    }

    /// A server that left is gone, and a new one takes its place.
    fn renew_server(&mut self, n: usize) {
        if !self.gone.insert(n) {
            return;
        }
        self.store
            .remove(&format!("servers/i-{n}-{}", self.run_of(n)));
        self.replies.push(Arc::new(Mutex::new(Reply::Complete)));
        self.servers
            .push(start_server(self.replies[self.replies.len() - 1].clone()));
        let new = self.servers.len() - 1;
        self.announce(new, "ready");
    }

    fn run_of(&self, n: usize) -> usize {
        n / SERVERS
    }

    fn set_reply(&self, n: usize, reply: Reply) {
        *self.replies[n].lock().expect("no holder panics") = reply;
    }

    /// Reads which version is in force on each box; within a life it only grows.
    fn read_versions(&mut self) {
        for (n, running) in self.boxes.iter_mut().enumerate() {
            if running.frozen {
                continue;
            }
            if !running.runs() {
                self.told[n] = (0, 0);
                continue;
            }
            let Some(status) = ask(running.operators, "/status") else {
                continue;
            };
            let (version, age) = (
                status["bundle_version"].as_u64(),
                status["in_force_ms"].as_u64(),
            );
            let (version, age) = (version.unwrap_or(0), age.unwrap_or(0));
            let (before, _) = self.told[n];
            if version > 0 && version < before {
                self.reversions
                    .push(format!("versions: box {n} went from {before} to {version}"));
            }
            self.told[n] = (version, age);
        }
    }

    fn close(self, calm_from: Instant) -> Seen {
        let mut arrivals = Vec::new();
        let mut late_at_leaving = Vec::new();
        let mut ran: HashMap<String, usize> = HashMap::new();
        for (n, server) in self.servers.iter().enumerate() {
            let at_server = server.arrivals();
            if let Some(left) = self.left.get(&n) {
                let late = at_server
                    .iter()
                    .filter(|(at, _)| *at > *left + LEAVING_BOUND + MERCY);
                late_at_leaving.extend(late.map(|(_, id)| id.clone()));
            }
            arrivals.extend(at_server);
            for id in server.executed_ids() {
                *ran.entry(id).or_default() += 1;
            }
        }
        arrivals.sort();
        for running in self.boxes {
            running.close();
        }
        Seen {
            arrivals,
            ran,
            late_at_leaving,
            hits: self.hits,
            reversions: self.reversions,
            calm_from,
        }
    }
}

fn start_server(reply: Arc<Mutex<Reply>>) -> BackendServer {
    BackendServer::start(move |_| {
        std::thread::sleep(Duration::from_millis(rand::rng().random_range(2..12)));
        match rand::rng().random_range(0..2) {
            0 => Reply::Complete,
            _ => *reply.lock().expect("no holder panics"),
        }
    })
}

fn configuration(version: u64) -> Value {
    let route = |class: &str| {
        json!({
            "name": class, "host": "site.example", "path_prefix": format!("/{class}/"),
            "class": class, "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 1,
            "max_attempts": 2, "service": "svc",
        })
    };
    json!({
        "version": version,
        "host_routes": [route("read"), route("once_only")],
        "services": [{"name": "svc", "server_connections": 300}],
        "limits": {
            "max_head_bytes": 16384, "max_body_bytes": 1048576,
            "head_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
    })
}

const TICK: Duration = Duration::from_millis(20);
/// A stop, and the start after it, take a second or two.
const MOST_WAIT: Duration = Duration::from_secs(30);
/// How long a hit may show after its end.
const AFTERMATH: Duration = Duration::from_secs(4);
/// Health that was learned under faults is forgotten by then.
const SETTLES: Duration = Duration::from_secs(6);
const CALM: Duration = Duration::from_secs(3);
/// A box that was frozen, cut off or restarted meanwhile hears of it this much later.
const MERCY: Duration = Duration::from_secs(3);
