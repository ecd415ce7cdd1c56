//! Draws from a seed which planned work is done and when.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};

use crate::planned::operator::{Change, SERVICES};
use crate::planned::record::{BoxIndex, ServiceIndex};

/// The planned work of one play.
#[derive(Debug, Clone)]
pub struct Schedule {
    /// Tasks in the order in which they begin.
    pub tasks: Vec<Task>,
    /// Service whose servers refuse half of their requests; `None` if no service does.
    pub shedding: Option<ServiceIndex>,
    /// Share of a CPU core of each initial box.
    pub cpu_shares: Vec<f64>,
}

/// A piece of work and when it begins.
#[derive(Debug, Clone)]
pub struct Task {
    /// Start, counted from when the callers begin.
    pub at: Duration,
    /// A kind of planned work.
    pub work: PlannedWork,
}

/// A kind of planned work.
#[derive(Debug, Clone)]
pub enum PlannedWork {
    /// Boxes are stopped one after the other, and each is started again.
    Series {
        /// The boxes in the order in which they are stopped.
        boxes: Vec<BoxIndex>,
        /// Shortest time from one stop to the next.
        gap: Duration,
    },
    /// Most boxes get SIGHUP, so that they read their settings again.
    Reload {
        /// Whether the settings files are changed first.
        changed: bool,
    },
    /// Many configurations are written at short intervals.
    Storm,
    /// One configuration is written.
    Change(Change),
    /// This many servers are added to a service.
    AddServers(ServiceIndex, usize),
    /// This many servers of a service are replaced by new ones, a few at a time.
    Release(ServiceIndex, usize),
    /// A server of a service drains and ends, unless only two are left.
    Empty(ServiceIndex),
    /// The catalog entry of a server is removed without draining and the server ends
    /// later, unless only two are left.
    Vanish(ServiceIndex),
    /// A box is added.
    AddBox,
    /// A box is stopped for good.
    RemoveBox(BoxIndex),
}

impl Schedule {
    /// Draws the planned work of a seed.
    pub fn draw(seed: u64, boxes: usize, span: Duration) -> Self {
        let mut drawing = Drawing {
            random: StdRng::seed_from_u64(seed),
            span,
            tasks: Vec::new(),
        };
        drawing.add_series(boxes);
        drawing.add_configurations();
        drawing.add_server_work();
        drawing.add_box_work(boxes);
        let mut tasks = drawing.tasks;
        tasks.sort_by_key(|task| task.at);
        let random = &mut drawing.random;
        let has_shedding = random.random_bool(SHEDDING_SEED_SHARE);
        Self {
            tasks,
            shedding: has_shedding.then(|| random.random_range(0..SERVICES.len())),
            cpu_shares: (0..boxes)
                .map(|_| f64::from(random.random_range(1..10)) / 10.0)
                .collect(),
        }
    }
}

impl Display for Task {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2} s: {:?}", self.at.as_secs_f64(), self.work)
    }
}

/// A schedule while it is being drawn.
struct Drawing {
    random: StdRng,
    span: Duration,
    tasks: Vec<Task>,
}

impl Drawing {
    fn add(&mut self, within: std::ops::Range<f64>, work: PlannedWork) {
        let at = self.span.mul_f64(self.random.random_range(within));
        self.tasks.push(Task { at, work });
    }

    /// Adds a series of stops over half of the boxes, and one over all boxes that begins
    /// before the first one has ended.
    fn add_series(&mut self, boxes: usize) {
        let mut order: Vec<BoxIndex> = (0..boxes).collect();
        order.shuffle(&mut self.random);
        let half = order[..boxes.div_ceil(2)].to_vec();
        order.shuffle(&mut self.random);
        for (within, boxes, max_share) in
            [(0.05..0.15, half, 0.4), (0.2..0.35, order, 0.5)]
        {
            let max_gap = self.span.mul_f64(max_share / boxes.len() as f64);
            let drawn = Duration::from_millis(self.random.random_range(40..700));
            let gap = drawn.min(max_gap);
            self.add(within, PlannedWork::Series { boxes, gap });
        }
    }

    fn add_configurations(&mut self) {
        for _ in 0..self.random.random_range(1..3) {
            self.add(0.1..0.7, PlannedWork::Storm);
        }
        for _ in 0..self.random.random_range(3..8) {
            let changes = [Change::Timeout, Change::Route, Change::Weights];
            let change = *changes
                .choose(&mut self.random)
                .expect("there are changes to choose from");
            self.add(0.05..0.95, PlannedWork::Change(change));
        }
        for _ in 0..self.random.random_range(2..6) {
            let changed = self.random.random_bool(0.6);
            self.add(0.05..0.95, PlannedWork::Reload { changed });
        }
    }

    fn add_server_work(&mut self) {
        for service in 0..SERVICES.len() {
            let count = self.random.random_range(1..4);
            self.add(0.05..0.6, PlannedWork::AddServers(service, count));
            let count = self.random.random_range(2..5);
            self.add(0.05..0.8, PlannedWork::Release(service, count));
            self.add(0.2..0.9, PlannedWork::Empty(service));
            self.add(0.2..0.9, PlannedWork::Vanish(service));
        }
    }

    fn add_box_work(&mut self, boxes: usize) {
        for _ in 0..1 + boxes / 12 {
            self.add(0.1..0.7, PlannedWork::AddBox);
            let index = self.random.random_range(0..boxes);
            self.add(0.4..0.8, PlannedWork::RemoveBox(index));
        }
    }
}

/// Share of the seeds in which a service refuses half of its requests.
const SHEDDING_SEED_SHARE: f64 = 0.6;
