//! One play of planned work: starts all parts, does the work in time, gathers the record.

mod box_work;
mod server_work;

use std::collections::{HashMap, VecDeque};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use wingspur_tests::PlatformStore;

use crate::boxes::SoakBox;
use crate::budget::Budget;
use crate::planned::callers::{BoxView, Callers, Views};
use crate::planned::operator::{Change, Operator, SERVICES};
use crate::planned::record::{BoxIndex, Call, Life, Reading, Record, RunId};
use crate::planned::schedule::{PlannedWork, Schedule};
use crate::planned::servers::{Ledger, Server};

pub use box_work::GRACE;

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
    /// Whether a box that was told to stop is told once more while it stops.
    pub tells_twice: bool,
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
    TellAgain(BoxIndex),
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
            Later::TellAgain(index) => self.tell_again(index),
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
            Later::End(server) => self.end_server(server),
        }
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

    fn close(self, began: Instant, calls: Vec<Call>) -> Record {
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
        // Copied: a server whose box has gone may still be at work.
        let arrivals = self.ledger.lock().expect("no holder panics").clone();
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
    /// Whether it was told to stop and has not ended.
    fn stops(&self) -> bool {
        let last = self.lives.last();
        last.is_some_and(|life| life.told.is_some() && life.ended.is_none())
    }

    fn takes_callers(&self) -> bool {
        self.view.takes_callers.load(Ordering::Relaxed)
    }
}

/// Small enough that a short play presses it.
const BUDGET: Budget = Budget {
    ratio: 0.2,
    window: Duration::from_secs(3),
    slack: 8.0,
};
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
const OLD_LEAVES_AFTER: Duration = Duration::from_millis(300);
