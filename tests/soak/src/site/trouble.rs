//! Draws from a seed the troubles and the planned work of a play, many of them at a time.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use wingspur_tests::StoreFault;

use crate::site::path::PathFault;
use crate::site::server_messages::Trouble;

/// An event of a play.
#[derive(Debug, Clone, Copy)]
pub struct Event {
    /// When it begins, counted from when the callers begin.
    pub at: Duration,
    /// How long it lasts, for those that end.
    pub lasts: Duration,
    /// What happens.
    pub kind: EventKind,
}

/// What happens. Shares are of the boxes, or of the servers of a service.
#[derive(Debug, Clone, Copy)]
pub enum EventKind {
    /// Boxes are killed at once.
    Kill(f64),
    /// Boxes are stopped and started again, one after the other.
    Stops {
        /// How many.
        share: f64,
        /// The pause between two.
        gap: Duration,
    },
    /// Boxes are suspended.
    Suspend(f64),
    /// Boxes get the processor in slices.
    Slices(f64),
    /// Boxes get SIGHUP.
    Reload(f64),
    /// Boxes lose the path to all servers in this way, a setting of theirs.
    LosePath(f64, &'static str),
    /// Servers do this to some of their requests.
    Servers(f64, Trouble, f64),
    /// The paths to servers do this to some of their connections.
    Paths(f64, PathFault, f64),
    /// Servers crash, and others of the next service take over their addresses.
    TakeOver(f64),
    /// Servers are replaced: the new one first, then the old one drains and ends.
    Release(f64),
    /// The store fails.
    Store(StoreFault),
    /// The store drops its history.
    ForgetHistory,
    /// Configurations are written, this many.
    Configure(u32),
    /// These processes stand still.
    Pause(Whom),
}

/// Which processes stand still.
#[derive(Debug, Clone, Copy)]
pub enum Whom {
    /// Boxes, servers and callers.
    All,
    /// All boxes.
    Boxes,
    /// All servers and the paths to them.
    Servers,
    /// All callers.
    Callers,
    /// This share of the boxes and servers.
    Some(f64),
}

/// Draws the events of a seed in the order in which they begin.
pub fn draw_events(seed: u64, span: Duration, pauses_per_second: f64) -> Vec<Event> {
    let mut random = StdRng::seed_from_u64(seed);
    let count = (span.as_secs_f64() * EVENTS_PER_SECOND) as usize;
    let mut events: Vec<Event> = (0..count)
        .map(|_| Event {
            at: span.mul_f64(random.random_range(0.02..0.9)),
            lasts: Duration::from_millis(random.random_range(300..6000)),
            kind: draw_kind(&mut random),
        })
        .collect();
    let pauses = (span.as_secs_f64() * pauses_per_second) as usize;
    events.extend(draw_pauses(&mut random, span, pauses));
    events.sort_by_key(|event| event.at);
    events
}

fn draw_pauses(random: &mut StdRng, span: Duration, count: usize) -> Vec<Event> {
    let pauses = (0..count).map(|_| Event {
        at: span.mul_f64(random.random_range(0.02..0.95)),
        lasts: Duration::from_millis(random.random_range(200..900)),
        kind: EventKind::Pause(match random.random_range(0..10) {
            0..5 => Whom::All,
            5 => Whom::Boxes,
            6 => Whom::Servers,
            7 => Whom::Callers,
            _ => Whom::Some(random.random_range(0.05..0.4)),
        }),
    });
    pauses.collect()
}

fn draw_kind(random: &mut StdRng) -> EventKind {
    let few = random.random_range(0.03..0.2);
    let many = random.random_range(0.2..0.6);
    match random.random_range(0..30) {
        0 | 1 => EventKind::Kill(few),
        2 => EventKind::Kill(many),
        3..6 => EventKind::Stops {
            share: many,
            gap: Duration::from_millis(random.random_range(50..1300)),
        },
        6 => EventKind::Suspend(few),
        7 | 8 => EventKind::Slices(many),
        9 => EventKind::Reload(many),
        10..13 => {
            const WAYS: [&str; 3] = ["refuse", "refuse_new", "hold"];
            let way = WAYS.choose(random).copied();
            EventKind::LosePath(few, way.expect("there are ways"))
        }
        13..18 => {
            let trouble = TROUBLES.choose(random).copied();
            let requests = random.random_range(0.03..0.7);
            EventKind::Servers(many, trouble.expect("there are troubles"), requests)
        }
        18..23 => {
            let fault = PATH_FAULTS.choose(random).copied();
            let connections = random.random_range(0.1..1.0);
            EventKind::Paths(many, fault.expect("there are faults"), connections)
        }
        23 => EventKind::TakeOver(few),
        24 | 25 => EventKind::Release(many),
        26 => {
            const FAULTS: [StoreFault; 3] = [
                StoreFault::Silent,
                StoreFault::Refuses(503),
                StoreFault::LosesReplies,
            ];
            EventKind::Store(FAULTS[random.random_range(0..FAULTS.len())])
        }
        27 => EventKind::ForgetHistory,
        28 => EventKind::Configure(1),
        _ => EventKind::Configure(15),
    }
}

impl Display for Event {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let (at, lasts) = (self.at.as_secs_f64(), self.lasts.as_secs_f64());
        write!(f, "{at:.2} s, for {lasts:.2} s: {:?}", self.kind)
    }
}

const TROUBLES: [Trouble; 12] = [
    Trouble::Errors,
    Trouble::Sheds,
    Trouble::Hangs,
    Trouble::Resets,
    Trouble::Slow,
    Trouble::CutsBody,
    Trouble::SurplusAfter,
    Trouble::SurplusUnnamed,
    Trouble::RefusesEarly,
    Trouble::Unframed,
    Trouble::StartsRefused,
    Trouble::Splits,
];
const PATH_FAULTS: [PathFault; 7] = [
    PathFault::HoldRequests,
    PathFault::HoldResponses,
    PathFault::Hold,
    PathFault::Lossy,
    PathFault::ResetAfterRequest,
    PathFault::ResetOpening,
    PathFault::Down,
];
/// Events last three seconds on average, so that some five overlap.
const EVENTS_PER_SECOND: f64 = 1.6;
