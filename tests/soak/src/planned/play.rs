//! One play of planned work: starts all parts, does the work in time, gathers the record.

use std::collections::{HashMap, VecDeque};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use serde_json::json;
use wingspur_tests::PlatformStore;

use crate::boxes::{BoxSpec, SoakBox};
use crate::budget::Budget;
use crate::planned::callers::{BoxView, Callers, Views};
use crate::planned::operator::{Change, Operator, SERVICES};
use crate::planned::record::{BoxIndex, Life, Reading, Record, RunId, ServiceIndex};
use crate::planned::schedule::{PlannedWork, Schedule};
use crate::planned::servers::{Ledger, Server, spawn};
use crate::planned::watching::watch_box;

/// What is played.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The program that each box runs.
    pub program: PathBuf,
    /// How many boxes there are at first.
    pub boxes: usize,
    /// How many backend servers there are at first.
    pub servers: usize,
    /// Over how many data centres both are spread.
    pub data_centres: usize,
    /// For how long work begins.
    pub span: Duration,
}

/// A play under way.
struct Play<'a> {
    setup: &'a Setup,
    schedule: &'a Schedule,
    folder: &'a Path,
    random: StdRng,
    store: PlatformStore,
    operator: Operator,
    boxes: Vec<PlayedBox>,
    views: Views,
    stop_watching: Arc<AtomicBool>,
    readings: Arc<Mutex<Vec<Reading>>>,
    watchers: Vec<JoinHandle<()>>,
    servers: Vec<Server>,
    ledger: Ledger,
    left: HashMap<RunId, Instant>,
    series: Vec<Series>,
    later: Vec<(Instant, Later)>,
    work: Vec<(Instant, String)>,
}

/// A box of the play.
struct PlayedBox {
    process: SoakBox,
    view: Arc<BoxView>,
    lives: Vec<Life>,
    /// Whether it is not started again.
    for_good: bool,
}

/// A series under way.
struct Series {
    boxes: VecDeque<BoxIndex>,
    gap: Duration,
    due: Instant,
}

/// What follows from work that was begun.
enum Later {
    Start(BoxIndex),
    Configure(Change),
    Replace(usize),
    Leave(usize),
    End(usize),
}

/// Plays a schedule, with the boxes' files in `folder`.
pub fn play(setup: &Setup, schedule: &Schedule, seed: u64, folder: &Path) -> Record {
    let mut play = Play::start(setup, schedule, seed, folder);
    play.wait_until_all_take_callers();
    let count = CALLERS_LEAST + CALLERS_A_BOX * setup.boxes;
    let callers = Callers::start(count, seed, &play.views);
    let began = Instant::now();
    play.follow(began);
    // What was spent before the last stop must not be spent again after it.
    std::thread::sleep(BUDGET.window + TAIL);
    play.note_ends();
    let calls = callers.close();
    play.close(began, calls)
}

impl<'a> Play<'a> {
    fn start(
        setup: &'a Setup,
        schedule: &'a Schedule,
        seed: u64,
        folder: &'a Path,
    ) -> Self {
        let store = PlatformStore::start(500);
        let mut play = Self {
            setup,
            schedule,
            folder,
            random: StdRng::seed_from_u64(!seed),
            operator: Operator::start(&store),
            store,
            boxes: Vec::new(),
            views: Arc::new(RwLock::new(Vec::new())),
            stop_watching: Arc::new(AtomicBool::new(false)),
            readings: Arc::new(Mutex::new(Vec::new())),
            watchers: Vec::new(),
            servers: Vec::new(),
            ledger: Arc::new(Mutex::new(Vec::new())),
            left: HashMap::new(),
            series: Vec::new(),
            later: Vec::new(),
            work: Vec::new(),
        };
        for number in 0..setup.servers {
            play.add_server(number % SERVICES.len());
        }
        for _ in 0..setup.boxes {
            play.add_box();
        }
        play
    }

    fn wait_until_all_take_callers(&self) {
        let until = Instant::now() + MOST_WAIT;
        while Instant::now() < until && self.boxes.iter().any(|b| !b.takes_callers()) {
            std::thread::sleep(TICK);
        }
    }

    /// Begins work in time, and what follows from it, until all is done.
    fn follow(&mut self, began: Instant) {
        let schedule = self.schedule;
        let mut tasks = schedule.tasks.iter().peekable();
        let (end, limit) = (began + self.setup.span, began + self.setup.span + MOST_WAIT);
        loop {
            let now = Instant::now();
            while let Some(task) = tasks.next_if(|task| began + task.at <= now) {
                self.note(format!("{:?}", task.work));
                self.begin(&task.work, now);
            }
            self.go_on(now);
            let done = tasks.peek().is_none() && self.is_done();
            if now >= limit || (now >= end && done) {
                return;
            }
            std::thread::sleep(TICK);
        }
    }

    fn begin(&mut self, work: &PlannedWork, now: Instant) {
        match work {
            PlannedWork::Series { boxes, gap } => self.series.push(Series {
                boxes: boxes.iter().copied().collect(),
                gap: *gap,
                due: now,
            }),
            PlannedWork::Reload { changed } => self.reload(*changed),
            PlannedWork::Storm => {
                for step in 0..STORM_STEPS {
                    let change = match step % 3 {
                        0 => Change::Timeout,
                        1 => Change::Route,
                        _ => Change::Weights,
                    };
                    self.plan(STORM_GAP * step, Later::Configure(change));
                }
            }
            PlannedWork::Change(change) => self.plan(NOW, Later::Configure(*change)),
            PlannedWork::AddServers(service, count) => {
                (0..*count).for_each(|_| self.add_server(*service));
            }
            PlannedWork::Release(service, count) => self.release(*service, *count),
            PlannedWork::Empty(service) => {
                if let Some(server) = self.spare_server(*service) {
                    self.plan(NOW, Later::Leave(server));
                }
            }
            PlannedWork::Vanish(service) => {
                if let Some(server) = self.spare_server(*service) {
                    self.vanish(server);
                }
            }
            PlannedWork::AddBox => self.add_box(),
            PlannedWork::RemoveBox(index) => {
                self.boxes[*index].for_good = true;
                self.stop(*index);
            }
        }
    }

    /// Does what has become due since the last tick.
    fn go_on(&mut self, now: Instant) {
        self.note_ends();
        let later = std::mem::take(&mut self.later);
        let (due, rest): (Vec<_>, Vec<_>) =
            later.into_iter().partition(|(at, _)| *at <= now);
        self.later = rest;
        due.into_iter().for_each(|(_, later)| self.take_up(later));
        for number in 0..self.series.len() {
            self.go_on_with_series(number, now);
        }
    }

    fn take_up(&mut self, later: Later) {
        match later {
            Later::Start(index) => self.start_box(index),
            Later::Configure(change) => {
                self.operator.change(change, &self.store);
                let number = self.operator.versions.last().map_or(0, |v| v.number);
                self.note(format!("configuration {number}: {change:?}"));
            }
            Later::Replace(old) => {
                self.add_server(self.servers[old].service);
                self.plan(OLD_LEAVES_AFTER, Later::Leave(old));
            }
            Later::Leave(server) => self.leave(server),
            Later::End(server) => {
                let run = self.servers[server].run.clone();
                self.store.remove(&server_key(&run));
                self.servers[server].end();
                self.note(format!("server {run} ends"));
            }
        }
    }

    /// Stops the next box of a series, while it answers requests if that comes soon.
    fn go_on_with_series(&mut self, number: usize, now: Instant) {
        let series = &self.series[number];
        let Some(index) = series.boxes.front().copied().filter(|_| series.due <= now)
        else {
            return;
        };
        let waited = now.saturating_duration_since(series.due);
        let next = &self.boxes[index];
        let busy = next.view.in_flight.load(Ordering::Relaxed) > 0;
        let away = self.boxes.iter().filter(|b| !b.takes_callers()).count();
        let held_up = !next.takes_callers() || away >= self.boxes.len() / 2;
        if next.for_good || waited > SERIES_PATIENCE {
            self.series[number].boxes.pop_front();
            return;
        }
        if held_up || (!busy && waited < BUSY_PATIENCE) {
            return;
        }
        self.stop(index);
        let series = &mut self.series[number];
        series.boxes.pop_front();
        series.due = now + series.gap;
    }

    fn stop(&mut self, index: BoxIndex) {
        let stopped = &mut self.boxes[index];
        let Some(life) = stopped.lives.last_mut().filter(|life| life.told.is_none())
        else {
            return;
        };
        life.told = Some(Instant::now());
        stopped.process.stop();
        let in_flight = stopped.view.in_flight.load(Ordering::Relaxed);
        self.note(format!(
            "box-{index} is told to stop, {in_flight} in flight"
        ));
    }

    /// Notes which processes have ended; those that were told to are started again.
    fn note_ends(&mut self) {
        for index in 0..self.boxes.len() {
            let ended = &mut self.boxes[index];
            let open = ended.lives.last().is_some_and(|life| life.ended.is_none());
            if !open || ended.process.runs() {
                continue;
            }
            let well = ended.process.ended().is_some_and(|status| status.success());
            if let Some(life) = ended.lives.last_mut() {
                life.ended = Some(Instant::now());
                life.well = well;
            }
            let comes_back = !ended.for_good;
            self.note(format!("box-{index} has ended"));
            if comes_back {
                let pause = self.random.random_range(50..700);
                self.plan(Duration::from_millis(pause), Later::Start(index));
            }
        }
    }

    fn start_box(&mut self, index: BoxIndex) {
        let started = &mut self.boxes[index];
        if started.for_good && !started.lives.is_empty() {
            return;
        }
        started.lives.push(Life {
            started: Instant::now(),
            told: None,
            ended: None,
            well: true,
        });
        started.process.start();
        self.note(format!("box-{index} is started"));
    }

    /// Tells most boxes to read their settings; one that starts could not hear it yet.
    fn reload(&mut self, changed: bool) {
        let filter = ["info", "info,hyper=warn", "info,wingspur_edge=info"];
        let filter = filter[self.random.random_range(0..filter.len())];
        for index in 0..self.boxes.len() {
            let told = &mut self.boxes[index];
            let stops = told.lives.last().is_some_and(|life| life.told.is_some());
            if self.random.random_bool(0.2) || !(told.takes_callers() || stops) {
                continue;
            }
            if changed {
                told.process.set_filter(filter);
            }
            told.process.signal(Signal::HUP);
        }
    }

    fn add_box(&mut self) {
        let index = self.boxes.len();
        let shares = &self.schedule.cpu_shares;
        let spec = BoxSpec {
            id: format!("box-{index}"),
            data_centre: self.data_centre(index),
            // A box that is added later is as strong as the strongest can be.
            cpu_share: shares.get(index).copied().unwrap_or(1.0),
            kill_after_s: Some(GRACE.as_secs_f64()),
            budget: BUDGET,
        };
        let address = self.store.address;
        let process = SoakBox::new(&spec, &self.setup.program, address, self.folder);
        let view = Arc::new(BoxView {
            index,
            callers: process.callers,
            takes_callers: AtomicBool::new(false),
            in_flight: Default::default(),
        });
        let operators = process.operators;
        let (watched, readings) = (view.clone(), self.readings.clone());
        let stop = self.stop_watching.clone();
        let watching = move || watch_box(&watched, operators, &readings, &stop);
        self.watchers.push(spawn(watching));
        self.boxes.push(PlayedBox {
            process,
            view: view.clone(),
            lives: Vec::new(),
            for_good: false,
        });
        self.start_box(index);
        self.views.write().expect("no holder panics").push(view);
    }

    fn add_server(&mut self, service: ServiceIndex) {
        let number = self.servers.len();
        let server = Server::start(
            format!("i-{number}"),
            service,
            self.data_centre(number / SERVICES.len()),
            self.schedule.shedding == Some(service),
            self.ledger.clone(),
        );
        self.servers.push(server);
        self.announce(number, "ready");
    }

    fn announce(&mut self, number: usize, state: &str) {
        let server = &self.servers[number];
        let entry = json!({
            "service": SERVICES[server.service], "address": server.address,
            "data_centre": server.data_centre, "slots": 8, "state": state, "cold_ms": 0,
        });
        self.store.put(&server_key(&server.run), &entry);
        self.note(format!("server i-{number} is {state}"));
    }

    /// Replaces servers, a few at a time: the new one first.
    fn release(&mut self, service: ServiceIndex, count: usize) {
        let mut old: Vec<usize> = self.ready_servers(service);
        old.shuffle(&mut self.random);
        for (place, server) in old.into_iter().take(count).enumerate() {
            let step = (place / RELEASED_TOGETHER) as u32;
            self.plan(RELEASE_GAP * step, Later::Replace(server));
        }
    }

    /// A server says that it leaves, serves on for a while, and ends.
    fn leave(&mut self, number: usize) {
        if self.left.contains_key(&self.servers[number].run) {
            return;
        }
        self.announce(number, "leaving");
        self.note_left(number);
    }

    /// A server's entry goes without a word.
    fn vanish(&mut self, number: usize) {
        let run = self.servers[number].run.clone();
        self.store.remove(&server_key(&run));
        self.note(format!("server {run} is announced no longer"));
        self.note_left(number);
    }

    fn note_left(&mut self, number: usize) {
        let run = self.servers[number].run.clone();
        self.left.insert(run, Instant::now());
        let more = Duration::from_millis(self.random.random_range(0..3000));
        self.plan(SERVES_ON + more, Later::End(number));
    }

    /// A server that its service can do without.
    fn spare_server(&mut self, service: ServiceIndex) -> Option<usize> {
        let ready = self.ready_servers(service);
        let drawn = self.random.random_range(0..ready.len().max(1));
        (ready.len() > 2).then(|| ready[drawn])
    }

    fn ready_servers(&self, service: ServiceIndex) -> Vec<usize> {
        let numbers = 0..self.servers.len();
        let ready = numbers.filter(|number| {
            let server = &self.servers[*number];
            server.service == service && !self.left.contains_key(&server.run)
        });
        ready.collect()
    }

    fn data_centre(&self, number: usize) -> String {
        format!("dc-{}", number % self.setup.data_centres)
    }

    fn plan(&mut self, after: Duration, later: Later) {
        self.later.push((Instant::now() + after, later));
    }

    fn note(&mut self, text: String) {
        self.work.push((Instant::now(), text));
    }

    /// Whether all boxes are back and nothing is left to do but to end servers.
    fn is_done(&self) -> bool {
        let series_done = self.series.iter().all(|series| series.boxes.is_empty());
        let ends_only = |(_, later): &(Instant, Later)| matches!(later, Later::End(_));
        let back = |played: &PlayedBox| {
            let last = played.lives.last();
            match played.for_good {
                true => last.is_some_and(|life| life.ended.is_some()),
                false => last.is_some_and(|life| life.told.is_none()),
            }
        };
        series_done && self.later.iter().all(ends_only) && self.boxes.iter().all(back)
    }

    fn close(self, began: Instant, calls: Vec<crate::planned::record::Call>) -> Record {
        self.stop_watching.store(true, Ordering::Relaxed);
        for watcher in self.watchers {
            watcher.join().expect("watchers do not panic");
        }
        let mut lives = Vec::new();
        for played in self.boxes {
            played.process.close();
            lives.push(played.lives);
        }
        self.servers.iter().for_each(Server::end);
        let arrivals =
            std::mem::take(&mut *self.ledger.lock().expect("no holder panics"));
        let readings =
            std::mem::take(&mut *self.readings.lock().expect("no holder panics"));
        Record {
            began,
            calls,
            arrivals,
            lives,
            readings,
            versions: self.operator.versions,
            left: self.left,
            budget: BUDGET,
            work: self.work,
        }
    }
}

impl PlayedBox {
    fn takes_callers(&self) -> bool {
        self.view.takes_callers.load(Ordering::Relaxed)
    }
}

fn server_key(run: &RunId) -> String {
    format!("servers/{run}")
}

/// Small enough that a short play presses it.
const BUDGET: Budget = Budget {
    ratio: 0.2,
    window: Duration::from_secs(3),
    slack: 8.0,
};
/// When the platform would kill a box that was told to stop.
pub const GRACE: Duration = Duration::from_secs(8);
const CALLERS_LEAST: usize = 16;
/// With them, a box of a small play gets some twenty requests a second.
const CALLERS_A_BOX: usize = 3;
const NOW: Duration = Duration::ZERO;
const TICK: Duration = Duration::from_millis(10);
const MOST_WAIT: Duration = Duration::from_secs(30);
/// After the window that begins with the last work.
const TAIL: Duration = Duration::from_millis(500);
const STORM_GAP: Duration = Duration::from_millis(80);
/// Two seconds of storm.
const STORM_STEPS: u32 = 25;
/// How long a series waits for its next box to answer a request.
const BUSY_PATIENCE: Duration = Duration::from_millis(300);
/// How long it waits for the box to be back, and for enough others.
const SERIES_PATIENCE: Duration = Duration::from_secs(6);
const RELEASED_TOGETHER: usize = 2;
const RELEASE_GAP: Duration = Duration::from_millis(700);
const OLD_LEAVES_AFTER: Duration = Duration::from_millis(300);
/// A leaving server serves on for the bound and a little longer.
const SERVES_ON: Duration = Duration::from_millis(2500);
