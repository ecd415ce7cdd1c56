//! Draws from a seed which faults occur and when.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wingspur_tests::{
    Body, EchoedId, Framing, Preamble, Reply, ResponseShape, StoreFault,
};

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
    /// Some boxes lose the path to all servers in this way.
    CutOff(BoxRange, PathCut),
}

/// A number of boxes from a first one on, counted round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BoxRange {
    first: usize,
    count: usize,
}

/// How connections to servers behave at a box without a path to them; the setting
/// `fault_injection.server_path`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathCut {
    /// Open connections are reset, and new ones refused.
    Refuse,
    /// New connections are refused; open ones live on.
    RefuseNew,
    /// New connections are not established, and open ones are silent.
    Hold,
}

impl BoxRange {
    /// Returns the numbers of the boxes in a fleet of `boxes`.
    pub fn numbers(self, boxes: usize) -> impl Iterator<Item = usize> {
        (0..self.count).map(move |n| (self.first + n) % boxes)
    }
}

impl PathCut {
    /// Returns the value of the setting.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Refuse => "refuse",
            Self::RefuseNew => "refuse_new",
            Self::Hold => "hold",
        }
    }
}

impl Plan {
    /// Draws the faults of a seed, which begin in the first 80 % of `span`.
    pub fn draw(seed: u64, boxes: usize, span: Duration) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let count = (span.as_secs_f64() * FAULTS_PER_SECOND) as usize;
        let mut faults: Vec<Fault> = (0..count)
            .map(|_| draw_fault(&mut random, boxes, span))
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

fn draw_fault(random: &mut StdRng, boxes: usize, span: Duration) -> Fault {
    let at = span.mul_f64(random.random_range(0.05..0.8));
    let short = Duration::from_millis(random.random_range(300..3000));
    let kind = draw_kind(random, boxes);
    let lasts = match kind {
        // Long enough for the requirement, which holds from three seconds on.
        FaultKind::CutOff(..) => LONGEST_CUT_NOTICE + short,
        _ => short,
    };
    Fault { at, lasts, kind }
}

fn draw_kind(random: &mut StdRng, boxes: usize) -> FaultKind {
    let a_box = random.random_range(0..boxes);
    let server = random.random_range(0..SERVERS);
    match random.random_range(0..26) {
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
        20..23 => draw_cut_off(random, boxes),
        _ => FaultKind::Server(server, draw_reply(random)),
    }
}

fn draw_cut_off(random: &mut StdRng, boxes: usize) -> FaultKind {
    const CUTS: [PathCut; 3] = [PathCut::Refuse, PathCut::RefuseNew, PathCut::Hold];
    let cut_off = BoxRange {
        first: random.random_range(0..boxes),
        count: random.random_range(1..boxes.max(2)),
    };
    FaultKind::CutOff(cut_off, CUTS[random.random_range(0..CUTS.len())])
}

fn draw_reply(random: &mut StdRng) -> Reply {
    if random.random_bool(0.5) {
        return Reply::Shaped(draw_shape(random));
    }
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

/// Draws a response that has no end, is longer than a box buffers, or follows a refusal
/// that proves nothing.
fn draw_shape(random: &mut StdRng) -> ResponseShape {
    const FRAMINGS: [Framing; 4] = [
        Framing::Length,
        Framing::Chunked,
        Framing::TinyChunks,
        Framing::UntilClose,
    ];
    const PREAMBLES: [Preamble; 8] = [
        Preamble::SurplusRefusal(EchoedId::Other),
        Preamble::SurplusRefusal(EchoedId::Missing),
        Preamble::EndlessHeaderLines,
        Preamble::EndlessHeaderValue,
        Preamble::EndlessEmptyLines,
        Preamble::EndlessInterim,
        Preamble::EndlessSurplus,
        Preamble::EndlessGarbage,
    ];
    const BODIES: [Body; 4] = [
        Body::Endless,
        Body::CutAfter(LONG_BYTES),
        Body::SilentAfter(LONG_BYTES),
        Body::EndlessTrailers(100),
    ];
    let status = if random.random_bool(0.5) { 200 } else { 503 };
    let is_marked = status == 503 && random.random_bool(0.3);
    let shape = ResponseShape {
        pause: ENDLESS_PAUSE,
        ..ResponseShape::new(status, is_marked)
    };
    if random.random_bool(0.4) {
        return ResponseShape {
            preamble: PREAMBLES[random.random_range(0..PREAMBLES.len())],
            pause: ENDLESS_PAUSE,
            ..ResponseShape::new(200, false)
        };
    }
    let body = BODIES[random.random_range(0..BODIES.len())];
    let framing = match body {
        Body::EndlessTrailers(_) => Framing::Chunked,
        // In chunks of one byte, this many would take seconds.
        Body::CutAfter(_) | Body::SilentAfter(_) => Framing::Length,
        _ => FRAMINGS[random.random_range(0..FRAMINGS.len())],
    };
    ResponseShape {
        framing,
        body,
        ..shape
    }
}

/// More than a box buffers of a response.
const LONG_BYTES: usize = 2 << 20;
/// Limits a response without end to 16 MB a second, since many are sent at once.
const ENDLESS_PAUSE: Duration = Duration::from_millis(1);
/// Number of backend servers; all belong to one service.
pub const SERVERS: usize = 8;
const LONGEST_CUT_NOTICE: Duration = Duration::from_secs(3);
/// Some faults overlap, since they last 1.6 s on average.
const FAULTS_PER_SECOND: f64 = 0.8;
