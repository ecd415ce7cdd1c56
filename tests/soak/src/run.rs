//! Runs one play: starts boxes, servers and the store, applies the faults of a plan, and
//! checks the promises.

use std::collections::{HashMap, HashSet};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::RngExt;
use rustix::process::Signal;
use serde_json::{Value, json};
use wingspur_tests::{BackendServer, PlatformStore, Reply, StoreFault};

use crate::boxes::{BoxSpec, SoakBox, fetch_json};
use crate::calls::{Callers, FinishedCall};
use crate::plan::{Fault, FaultKind, Plan, SERVERS};
use crate::promises::{DRAINING_BOUND, Observations, RETRY_BUDGET, broken_promises};

/// Parameters of a play.
pub struct Setup {
    /// The program that each box runs.
    pub program: PathBuf,
    /// Number of boxes.
    pub boxes: usize,
    /// Length of the part of the play in which faults begin.
    pub span: Duration,
}

/// Result of a play.
pub struct Report {
    /// One line for each violation of a promise.
    pub broken: Vec<String>,
    /// Folder with the logs of the boxes.
    pub logs: PathBuf,
    requests: usize,
    served: usize,
    cut: usize,
    longest: Duration,
    peak_memory: u64,
    faults: usize,
}

/// State of a running play.
struct Play {
    store: PlatformStore,
    servers: Vec<BackendServer>,
    /// How each server handles half of its requests; shared with the server.
    replies: Vec<Arc<Mutex<Reply>>>,
    boxes: Vec<SoakBox>,
    disturbances: Vec<Vec<(Instant, Instant)>>,
    /// Boxes that had no path to the servers, with the time of it.
    cuts: Vec<(usize, Instant, Instant)>,
    /// Boxes that were stopped, until they have served again for a while.
    stops: Vec<(usize, Instant, Instant)>,
    version: u64,
    /// For each box, the version of the configuration that it last reported and for how
    /// many milliseconds that version had been active.
    last_reported: Vec<(u64, u64)>,
    reversions: Vec<String>,
    /// When each server announced that it is draining, by its number.
    draining_since: HashMap<usize, Instant>,
    /// Numbers of the servers that have been replaced.
    replaced: HashSet<usize>,
}

/// A fault and when it ends.
type ScheduledEnd = (Instant, FaultKind);

impl Report {
    /// Returns a one-line summary of the play.
    pub fn summary(&self) -> String {
        let verdict = match self.broken.len() {
            0 => "all promises held".to_owned(),
            count => format!("{count} promises broken"),
        };
        let Self {
            requests,
            served,
            cut,
            faults,
            ..
        } = self;
        let (longest_ms, memory_mb) = (self.longest.as_millis(), self.peak_memory >> 20);
        format!(
            "{verdict}; {faults} faults, {served} of {requests} requests served, {cut} cut, \
             the longest took {longest_ms} ms, a box used {memory_mb} MB"
        )
    }
}

/// Plays a plan and checks the promises.
pub fn play(setup: &Setup, plan: &Plan) -> Report {
    let folder = std::env::temp_dir().join(format!(
        "wingspur-soak-{}-{}",
        std::process::id(),
        rand::random::<u32>()
    ));
    std::fs::create_dir_all(&folder).expect("the folder for logs can be made");
    let mut play = Play::start(setup, &folder);
    play.wait_ready();
    let callers = Callers::start(play.boxes.iter().map(|b| b.caller_address).collect());
    let began = Instant::now();
    play.run_plan(plan, began, began + setup.span);
    play.end_all_faults();
    play.wait_ready();
    std::thread::sleep(SETTLE_TIME);
    let calm_from = Instant::now();
    std::thread::sleep(CALM_TIME);
    let calls = callers.close();
    let observed = play.close(calm_from);
    Report {
        broken: broken_promises(&calls, &observed),
        logs: folder,
        requests: calls.len(),
        served: calls.iter().filter(|call| call.is_served()).count(),
        cut: calls.iter().filter(|call| call.is_cut).count(),
        longest: calls
            .iter()
            .map(FinishedCall::took)
            .max()
            .unwrap_or_default(),
        peak_memory: observed.peak_memory.iter().copied().max().unwrap_or(0),
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
                    max_prompt_delay_ms: None,
                };
                SoakBox::new(&spec, &setup.program, store.address, folder)
            })
            .collect();
        let mut play = Self {
            disturbances: vec![Vec::new(); boxes.len()],
            cuts: Vec::new(),
            stops: Vec::new(),
            last_reported: vec![(0, 0); boxes.len()],
            version: 0,
            reversions: Vec::new(),
            draining_since: HashMap::new(),
            replaced: HashSet::new(),
            store,
            servers,
            replies,
            boxes: Vec::new(),
        };
        play.write_next_version();
        (0..SERVERS).for_each(|n| play.announce(n, "ready"));
        boxes.iter_mut().for_each(SoakBox::start);
        play.boxes = boxes;
        play
    }

    fn wait_ready(&mut self) {
        let until = Instant::now() + MAX_WAIT;
        while Instant::now() < until {
            let all = self
                .boxes
                .iter()
                .all(|b| fetch_json(b.operator_address, "/ready").is_some());
            if all {
                return;
            }
            std::thread::sleep(TICK);
        }
    }

    /// Begins and ends the faults of the plan until the span is over and every fault has
    /// ended.
    fn run_plan(&mut self, plan: &Plan, began: Instant, until: Instant) {
        let mut begins: Vec<&Fault> = plan.faults.iter().rev().collect();
        let mut ends: Vec<ScheduledEnd> = Vec::new();
        while Instant::now() < until || !ends.is_empty() {
            let now = Instant::now();
            while begins.last().is_some_and(|fault| began + fault.at <= now) {
                let fault = begins.pop().expect("a due fault is left");
                self.begin(fault, now);
                ends.push((now + fault.lasts, fault.kind));
            }
            ends.retain(|(at, kind)| *at > now || !self.end(*kind, now));
            self.read_versions();
            std::thread::sleep(TICK);
        }
    }

    fn begin(&mut self, fault: &Fault, now: Instant) {
        // Interrupted requests may be noticed, and the box may be back, some seconds
        // after the fault.
        let disturbance = (now, now + fault.lasts + FAULT_EFFECT_TAIL);
        match fault.kind {
            FaultKind::Stop(n) => {
                self.stops.push((n, disturbance.0, disturbance.1));
                self.boxes[n].stop();
            }
            FaultKind::Kill(n) => {
                self.disturbances[n].push(disturbance);
                self.boxes[n].signal(Signal::KILL);
            }
            FaultKind::KillAll => {
                self.disturbances
                    .iter_mut()
                    .for_each(|disturbances| disturbances.push(disturbance));
                self.boxes.iter_mut().for_each(|b| b.signal(Signal::KILL));
            }
            FaultKind::Freeze(n) => {
                self.disturbances[n].push(disturbance);
                self.boxes[n].set_suspended(true);
            }
            FaultKind::Reload(n) => self.boxes[n].signal(Signal::HUP),
            FaultKind::Store(fault) => self.store.set_fault(fault),
            FaultKind::ForgetHistory => self.store.compact_history(),
            FaultKind::Change => self.write_next_version(),
            FaultKind::Server(n, reply) => self.set_reply(n, reply),
            FaultKind::Leave(n) => self.announce(n, "leaving"),
            FaultKind::CutOff(range, cut) => {
                let until = now + fault.lasts;
                for n in range.numbers(self.boxes.len()) {
                    self.cuts.push((n, now, until));
                    self.boxes[n].set_server_path(cut.as_str());
                }
            }
        }
    }

    /// Ends a fault. Returns false if it cannot end yet, because a box still stops.
    fn end(&mut self, kind: FaultKind, now: Instant) -> bool {
        match kind {
            FaultKind::Stop(n) if self.boxes[n].is_stopping() => return false,
            FaultKind::Stop(n) => {
                let mut stops = self.stops.iter_mut().filter(|stop| stop.0 == n);
                if let Some((_, _, to)) = stops.next_back() {
                    *to = (*to).max(now + FAULT_EFFECT_TAIL);
                }
                self.boxes[n].start();
            }
            FaultKind::Kill(n) => self.boxes[n].start(),
            FaultKind::KillAll => self.boxes.iter_mut().for_each(SoakBox::start),
            FaultKind::Freeze(n) => self.boxes[n].set_suspended(false),
            FaultKind::Store(_) => self.store.set_fault(StoreFault::None),
            FaultKind::Server(n, _) => self.set_reply(n, Reply::Complete),
            FaultKind::Leave(n) => self.replace_server(n),
            FaultKind::CutOff(range, _) => {
                for n in range.numbers(self.boxes.len()) {
                    let mut cuts = self.cuts.iter();
                    if !cuts.any(|(cut, _, until)| *cut == n && *until > now) {
                        self.boxes[n].set_server_path("none");
                    }
                }
            }
            FaultKind::Reload(_) | FaultKind::ForgetHistory | FaultKind::Change => {}
        }
        true
    }

    /// Ends all faults and starts all boxes until they are ready.
    fn end_all_faults(&mut self) {
        self.store.set_fault(StoreFault::None);
        for running in &mut self.boxes {
            running.set_suspended(false);
            running.set_server_path("none");
        }
        let until = Instant::now() + MAX_WAIT;
        // A box that is stopping must end before it can be started again.
        while Instant::now() < until
            && self
                .boxes
                .iter_mut()
                .any(|b| fetch_json(b.operator_address, "/ready").is_none())
        {
            self.boxes.iter_mut().for_each(SoakBox::start);
            std::thread::sleep(TICK);
        }
    }

    fn write_next_version(&mut self) {
        self.version += 1;
        self.store.put("op/config", &configuration(self.version));
    }

    fn announce(&mut self, n: usize, state: &str) {
        if state == "leaving" {
            if self.draining_since.contains_key(&n) {
                return;
            }
            self.draining_since.insert(n, Instant::now());
        }
        let entry = json!({
            "service": "svc", "address": self.servers[n].address, "data_centre": "dc-1",
            "slots": 8, "state": state, "cold_ms": 0,
        });
        self.store.put(
            &format!("servers/i-{n}-{}", self.instance_number(n)),
            &entry,
        );
    }

    /// Removes the catalog entry of a draining server and starts a new server in its
    /// place, once for each server.
    fn replace_server(&mut self, n: usize) {
        if !self.replaced.insert(n) {
            return;
        }
        self.store
            .remove(&format!("servers/i-{n}-{}", self.instance_number(n)));
        self.replies.push(Arc::new(Mutex::new(Reply::Complete)));
        self.servers
            .push(start_server(self.replies[self.replies.len() - 1].clone()));
        let new = self.servers.len() - 1;
        self.announce(new, "ready");
    }

    fn instance_number(&self, n: usize) -> usize {
        n / SERVERS
    }

    fn set_reply(&self, n: usize, reply: Reply) {
        *self.replies[n].lock().expect("no holder panics") = reply;
    }

    /// Reads the version of the active bundle from each box and records versions that
    /// went back. While a process runs, its version must only grow.
    fn read_versions(&mut self) {
        for (n, running) in self.boxes.iter_mut().enumerate() {
            if running.suspended {
                continue;
            }
            if !running.is_running() {
                self.last_reported[n] = (0, 0);
                continue;
            }
            let Some(status) = fetch_json(running.operator_address, "/status") else {
                continue;
            };
            let (version, age) = (
                status["bundle_version"].as_u64(),
                status["in_force_ms"].as_u64(),
            );
            let (version, age) = (version.unwrap_or(0), age.unwrap_or(0));
            let (before, _) = self.last_reported[n];
            if version > 0 && version < before {
                self.reversions
                    .push(format!("versions: box {n} went from {before} to {version}"));
            }
            self.last_reported[n] = (version, age);
        }
    }

    fn close(self, calm_from: Instant) -> Observations {
        let mut arrivals = Vec::new();
        let mut late_arrivals = Vec::new();
        let mut run_counts: HashMap<String, usize> = HashMap::new();
        for (n, server) in self.servers.iter().enumerate() {
            let at_server = server.arrivals();
            if let Some(draining_since) = self.draining_since.get(&n) {
                let late = at_server.iter().filter(|(at, _)| {
                    *at > *draining_since + DRAINING_BOUND + PROPAGATION_GRACE
                });
                late_arrivals.extend(late.map(|(_, id)| id.clone()));
            }
            arrivals.extend(at_server);
            for id in server.executed_ids() {
                *run_counts.entry(id).or_default() += 1;
            }
        }
        arrivals.sort();
        let responding = self.servers.iter().map(BackendServer::responding);
        let still_responding = responding.sum();
        let mut peak_memory = Vec::new();
        for mut running in self.boxes {
            peak_memory.push(running.peak_memory());
            running.kill();
        }
        Observations {
            arrivals,
            run_counts,
            late_arrivals,
            disturbances: self.disturbances,
            cuts: self.cuts,
            stops: self.stops,
            reversions: self.reversions,
            still_responding,
            peak_memory,
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
/// A stop and the start after it take one or two seconds.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// For how long after its end a fault may still interrupt requests.
const FAULT_EFFECT_TAIL: Duration = Duration::from_secs(4);
/// Boxes have discarded the server health observed under faults after this time.
const SETTLE_TIME: Duration = Duration::from_secs(6);
const CALM_TIME: Duration = Duration::from_secs(3);
/// A box that was suspended, cut off from the store or restarted meanwhile may learn this
/// much later that a server is draining.
const PROPAGATION_GRACE: Duration = Duration::from_secs(3);
