//! Draws from a seed which faults occur and when.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wingspur_tests::{Reply, StoreFault};

/// The faults of one play.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Faults in the order in which they begin.
    pub faults: Vec<Fault>,
}

/// One fault with its start and duration.
#[derive(Debug, Clone)]
pub struct Fault {
    /// Start, counted from when the callers begin.
    pub at: Duration,
    /// Duration of the fault.
    pub lasts: Duration,
    /// Kind of the fault.
    pub kind: FaultKind,
}

/// A failure, or a change of the fleet or of its configuration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FaultKind {
    /// A box gets SIGTERM, and is started again at the end.
    Stop(usize),
    /// A box is killed, and started again at the end.
    Kill(usize),
    /// All boxes are killed at once, and started again at the end.
    KillAll,
    /// A box is suspended.
    Freeze(usize),
    /// A box gets SIGHUP, so that it reads its settings again.
    Reload(usize),
    /// The store fails in this way.
    Store(StoreFault),
    /// The store drops the history of its changes, as after a compaction.
    ForgetHistory,
    /// A new version of the configuration is written.
    Change,
    /// A server handles half of its requests in this way.
    Server(usize, Reply),
    /// A server announces that it is draining, and is replaced by a new instance at the
    /// end.
    Leave(usize),
}

impl Plan {
    /// Draws the faults of a seed, which begin in the first 80 % of `span`.
    pub fn draw(seed: u64, boxes: usize, span: Duration) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let count = (span.as_secs_f64() * FAULTS_PER_SECOND) as usize;
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

    /// Returns this plan without the fault at `index`.
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

/// Number of backend servers; all belong to one service.
pub const SERVERS: usize = 8;
/// Some faults overlap, since they last 1.6 s on average.
const FAULTS_PER_SECOND: f64 = 0.8;
