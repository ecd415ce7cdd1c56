//! Runs one play of planned work: starts all parts, does the work at its time, and
//! collects the record.

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
use crate::planned::record::{BoxIndex, BoxInstance, Call, InstanceId, Reading, Record};
use crate::planned::schedule::{PlannedWork, Schedule};
use crate::planned::servers::{ArrivalLog, Server};

pub use box_work::KILL_AFTER;

/// Parameters of a play.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The program that each box runs.
    pub program: PathBuf,
    /// Number of boxes at the start.
    pub boxes: usize,
    /// Number of backend servers at the start.
    pub servers: usize,
    /// Number of data centres over which boxes and servers are spread.
    pub data_centres: usize,
    /// Length of the part of the play in which work begins.
    pub span: Duration,
    /// Whether a stopping box gets SIGTERM once more.
    pub tells_twice: bool,
}

/// State of a running play.
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
    arrivals: ArrivalLog,
    withdrawn_at: HashMap<InstanceId, Instant>,
    series: Vec<Series>,
    follow_ups: Vec<(Instant, FollowUp)>,
    work: Vec<(Instant, String)>,
}

/// A box of the play.
struct PlayedBox {
    process: SoakBox,
    view: Arc<BoxView>,
    instances: Vec<BoxInstance>,
    /// Whether the box is removed and not started again once it has ended.
    is_removed: bool,
}

/// A running series of stops.
struct Series {
    boxes: VecDeque<BoxIndex>,
    gap: Duration,
    due: Instant,
}

/// A later step of work that has begun.
enum FollowUp {
    Start(BoxIndex),
    StopAgain(BoxIndex),
    Configure(Change),
    Replace(usize),
    Leave(usize),
    End(usize),
}

/// Plays a schedule and returns the record. The files of the boxes go into `folder`.
pub fn play(setup: &Setup, schedule: &Schedule, seed: u64, folder: &Path) -> Record {
    let mut play = Play::start(setup, schedule, seed, folder);
    play.wait_until_all_in_rotation();
    let count = MIN_CALLERS + CALLERS_PER_BOX * setup.boxes;
    let callers = Callers::start(count, seed, &play.views);
    let began = Instant::now();
    play.run_schedule(began);
    // The callers go on for a whole window, so that the checks see whether a box spends
    // again after its start what was spent before the last stop.
    std::thread::sleep(BUDGET.window + TAIL);
    play.record_ended_processes();
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
            arrivals: Arc::new(Mutex::new(Vec::new())),
            withdrawn_at: HashMap::new(),
            series: Vec::new(),
            follow_ups: Vec::new(),
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

    fn wait_until_all_in_rotation(&self) {
        let until = Instant::now() + MAX_WAIT;
        while Instant::now() < until && self.boxes.iter().any(|b| !b.in_rotation()) {
            std::thread::sleep(TICK);
        }
    }

    /// Begins the tasks of the schedule at their time and does their later steps until
    /// all is done.
    fn run_schedule(&mut self, began: Instant) {
        let schedule = self.schedule;
        let mut tasks = schedule.tasks.iter().peekable();
        let (end, limit) = (began + self.setup.span, began + self.setup.span + MAX_WAIT);
        loop {
            let now = Instant::now();
            while let Some(task) = tasks.next_if(|task| began + task.at <= now) {
                self.log_work(format!("{:?}", task.work));
                self.begin(&task.work, now);
            }
            self.continue_work(now);
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
                    self.plan(STORM_GAP * step, FollowUp::Configure(change));
                }
            }
            PlannedWork::Change(change) => self.plan(NOW, FollowUp::Configure(*change)),
            PlannedWork::AddServers(service, count) => {
                (0..*count).for_each(|_| self.add_server(*service));
            }
            PlannedWork::Release(service, count) => self.release(*service, *count),
            PlannedWork::Empty(service) => {
                if let Some(server) = self.spare_server(*service) {
                    self.plan(NOW, FollowUp::Leave(server));
                }
            }
            PlannedWork::Vanish(service) => {
                if let Some(server) = self.spare_server(*service) {
                    self.remove_entry(server);
                }
            }
            PlannedWork::AddBox => self.add_box(),
            PlannedWork::RemoveBox(index) => {
                self.boxes[*index].is_removed = true;
                self.stop(*index);
            }
        }
    }

    /// Does the steps that have become due since the last tick.
    fn continue_work(&mut self, now: Instant) {
        self.record_ended_processes();
        let planned = std::mem::take(&mut self.follow_ups);
        let (due, pending): (Vec<_>, Vec<_>) =
            planned.into_iter().partition(|(at, _)| *at <= now);
        self.follow_ups = pending;
        due.into_iter()
            .for_each(|(_, follow_up)| self.run_follow_up(follow_up));
        for number in 0..self.series.len() {
            self.continue_series(number, now);
        }
    }

    fn run_follow_up(&mut self, follow_up: FollowUp) {
        match follow_up {
            FollowUp::Start(index) => self.start_box(index),
            FollowUp::StopAgain(index) => self.stop_again(index),
            FollowUp::Configure(change) => {
                self.operator.change(change, &self.store);
                let number = self.operator.versions.last().map_or(0, |v| v.number);
                self.log_work(format!("configuration {number}: {change:?}"));
            }
            FollowUp::Replace(old) => {
                self.add_server(self.servers[old].service);
                self.plan(DRAIN_OLD_AFTER, FollowUp::Leave(old));
            }
            FollowUp::Leave(server) => self.drain_server(server),
            FollowUp::End(server) => self.end_server(server),
        }
    }

    fn data_centre(&self, number: usize) -> String {
        format!("dc-{}", number % self.setup.data_centres)
    }

    fn plan(&mut self, after: Duration, follow_up: FollowUp) {
        self.follow_ups.push((Instant::now() + after, follow_up));
    }

    fn log_work(&mut self, text: String) {
        self.work.push((Instant::now(), text));
    }

    /// Returns whether all boxes are running again, or have ended if they are removed,
    /// and only ends of servers are left to do.
    fn is_done(&self) -> bool {
        let series_done = self.series.iter().all(|series| series.boxes.is_empty());
        let is_end =
            |(_, follow_up): &(Instant, FollowUp)| matches!(follow_up, FollowUp::End(_));
        let is_back = |played: &PlayedBox| {
            let last = played.instances.last();
            match played.is_removed {
                true => last.is_some_and(|instance| instance.ended.is_some()),
                false => last.is_some_and(|instance| instance.stop_sent.is_none()),
            }
        };
        series_done
            && self.follow_ups.iter().all(is_end)
            && self.boxes.iter().all(is_back)
    }

    fn close(self, began: Instant, calls: Vec<Call>) -> Record {
        self.stop_watching.store(true, Ordering::Relaxed);
        for watcher in self.watchers {
            watcher.join().expect("watchers do not panic");
        }
        let mut instances = Vec::new();
        for played in self.boxes {
            played.process.kill();
            instances.push(played.instances);
        }
        self.servers.iter().for_each(Server::end);
        // Copied, since a server whose box has ended may still be handling a request.
        let arrivals = self.arrivals.lock().expect("no holder panics").clone();
        let readings =
            std::mem::take(&mut *self.readings.lock().expect("no holder panics"));
        Record {
            began,
            calls,
            arrivals,
            instances,
            readings,
            versions: self.operator.versions,
            withdrawn_at: self.withdrawn_at,
            budget: BUDGET,
            work: self.work,
        }
    }
}

impl PlayedBox {
    /// Returns whether SIGTERM was sent and the process has not ended.
    fn is_stopping(&self) -> bool {
        let last = self.instances.last();
        last.is_some_and(|instance| {
            instance.stop_sent.is_some() && instance.ended.is_none()
        })
    }

    fn in_rotation(&self) -> bool {
        self.view.in_rotation.load(Ordering::Relaxed)
    }
}

/// Small enough that a short play comes near the limit.
const BUDGET: Budget = Budget {
    ratio: 0.2,
    window: Duration::from_secs(3),
    slack: 8.0,
};
const MIN_CALLERS: usize = 16;
/// In a small play this gives a box some 20 requests a second.
const CALLERS_PER_BOX: usize = 3;
const NOW: Duration = Duration::ZERO;
const TICK: Duration = Duration::from_millis(10);
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Time to wait after the budget window that begins with the last work.
const TAIL: Duration = Duration::from_millis(500);
const STORM_GAP: Duration = Duration::from_millis(80);
/// At `STORM_GAP` a storm lasts two seconds.
const STORM_STEPS: u32 = 25;
const DRAIN_OLD_AFTER: Duration = Duration::from_millis(300);
