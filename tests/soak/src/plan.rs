//! Which faults come when, from a seed.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wingspur_tests::{Reply, StoreFault};

/// The faults of one play, by time.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The faults.
    pub faults: Vec<Fault>,
}

/// One fault and its end.
#[derive(Debug, Clone)]
pub struct Fault {
    /// When it begins, from the start of the calls.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What it is.
    pub kind: FaultKind,
}

/// What goes wrong, or is changed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FaultKind {
    /// A box is told to stop, and started again.
    Stop(usize),
    /// A box is killed, and started again.
    Kill(usize),
    /// All boxes are killed at once, and started again.
    KillAll,
    /// A box stands still.
    Freeze(usize),
    /// A box is told that its settings may have changed.
    Reload(usize),
    /// The store is out of order.
    Store(StoreFault),
    /// The store forgets its history.
    ForgetHistory,
    /// A new version of the configuration.
    Change,
    /// A server does this to half of its requests.
    Server(usize, Reply),
    /// A server says that it leaves, and comes back as a new run.
    Leave(usize),
}

impl Plan {
    /// Draws the faults of a seed.
    pub fn draw(seed: u64, boxes: usize, span: Duration) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let count = (span.as_secs_f64() * FAULTS_A_SECOND) as usize;
        let mut faults: Vec<Fault> = (0..count)
            .map(|_| Fault {
                at: span.mul_f64(random.random_range(0.05..0.8)),
                lasts: Duration::from_millis(random.random_range(300..3000)),
                kind: draw_kind(&mut random, boxes),
            })
            .collect();
        faults.sort_by_key(|fault| fault.at);
        Self { faults }
    }

    /// The same without one fault.
    pub fn without(&self, index: usize) -> Self {
        let mut faults = self.faults.clone();
        faults.remove(index);
        Self { faults }
    }
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let (at, lasts) = (self.at.as_secs_f64(), self.lasts.as_secs_f64());
        write!(f, "{at:.2} s, for {lasts:.2} s: {:?}", self.kind)
    }
}

fn draw_kind(random: &mut StdRng, boxes: usize) -> FaultKind {
    let a_box = random.random_range(0..boxes);
    let server = random.random_range(0..SERVERS);
    match random.random_range(0..20) {
        0..3 => FaultKind::Stop(a_box),
        3..5 => FaultKind::Kill(a_box),
        5 => FaultKind::KillAll,
        6..8 => FaultKind::Freeze(a_box),
        8 => FaultKind::Reload(a_box),
        9 => FaultKind::Store(StoreFault::Silent),
        10 => FaultKind::Store(StoreFault::Refuses(503)),
        11 => FaultKind::Store(StoreFault::LosesReplies),
        12 => FaultKind::ForgetHistory,
        13..16 => FaultKind::Change,
        16 => FaultKind::Leave(server),
        _ => FaultKind::Server(server, draw_reply(random)),
    }
}

fn draw_reply(random: &mut StdRng) -> Reply {
    const REPLIES: [Reply; 8] = [
        Reply::Error,
        Reply::Refused,
        Reply::Close,
        Reply::Truncated,
        Reply::Garbage,
        Reply::NoStamp,
        Reply::SurplusFirst,
        Reply::SurplusAfter,
    ];
    REPLIES[random.random_range(0..REPLIES.len())]
}

/// Backend servers of the one service.
pub const SERVERS: usize = 8;
/// Some overlap: they last for 1.6 s on average.
const FAULTS_A_SECOND: f64 = 0.8;
