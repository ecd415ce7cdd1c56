//! Which planned work comes when, from a seed.

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
    /// The work, by time.
    pub tasks: Vec<Task>,
    /// The service whose servers refuse half of their work, if there is one.
    pub shedding: Option<ServiceIndex>,
    /// The share of a core of each box.
    pub cpu_shares: Vec<f64>,
}

/// Some work and its moment.
#[derive(Debug, Clone)]
pub struct Task {
    /// When it begins, from the start of the calls.
    pub at: Duration,
    /// What is done.
    pub work: PlannedWork,
}

/// What is done.
#[derive(Debug, Clone)]
pub enum PlannedWork {
    /// Boxes are stopped one after the other, and each is started again.
    Series {
        /// The boxes, in this order.
        boxes: Vec<BoxIndex>,
        /// The least time from one to the next.
        gap: Duration,
    },
    /// Most boxes are told that their settings may have changed.
    Reload {
        /// Whether they have.
        changed: bool,
    },
    /// Many configurations, one soon after the other.
    Storm,
    /// One configuration.
    Change(Change),
    /// New servers.
    AddServers(ServiceIndex, usize),
    /// Servers are replaced by new ones, a few at a time.
    Release(ServiceIndex, usize),
    /// A server leaves and ends; not the last two.
    Empty(ServiceIndex),
    /// A server's entry is removed without a word, and it ends later; not the last two.
    Vanish(ServiceIndex),
    /// A box more.
    AddBox,
    /// A box is stopped for good.
    RemoveBox(BoxIndex),
}

impl Schedule {
    /// Draws the work of a seed.
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
        let sheds = random.random_bool(SHEDDING_SEEDS);
        Self {
            tasks,
            shedding: sheds.then(|| random.random_range(0..SERVICES.len())),
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

/// A schedule under way.
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

    /// A series over half of the boxes, and one over all that begins before it is over.
    fn add_series(&mut self, boxes: usize) {
        let mut order: Vec<BoxIndex> = (0..boxes).collect();
        order.shuffle(&mut self.random);
        let half = order[..boxes.div_ceil(2)].to_vec();
        order.shuffle(&mut self.random);
        for (within, boxes, most) in [(0.05..0.15, half, 0.4), (0.2..0.35, order, 0.5)] {
            let longest = self.span.mul_f64(most / boxes.len() as f64);
            let drawn = Duration::from_millis(self.random.random_range(40..700));
            let gap = drawn.min(longest);
            self.add(within, PlannedWork::Series { boxes, gap });
        }
    }

    fn add_configurations(&mut self) {
        for _ in 0..self.random.random_range(1..3) {
            self.add(0.1..0.7, PlannedWork::Storm);
        }
        for _ in 0..self.random.random_range(3..8) {
            let changes = [Change::Timeout, Change::Route, Change::Weights];
            let change = *changes.choose(&mut self.random).expect("it is not empty");
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

/// Seeds in which a service refuses half of its work.
const SHEDDING_SEEDS: f64 = 0.6;
