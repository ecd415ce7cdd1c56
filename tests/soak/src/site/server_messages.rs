//! What the process of a server is told and reports, and the record of its requests.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::site::moment::Moment;
use crate::site::path::PathFault;

/// What a server needs to start; the first line that its process reads.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServerSpec {
    /// Id of the instance.
    pub instance: String,
    /// Id in a second entry with the same address.
    pub other_instance: Option<String>,
    /// Whether it takes requests for that id too, or refuses them as an instance that was
    /// started again and whose former entry is left.
    pub takes_other: bool,
    /// Requests that it works on at the same time.
    pub slots: usize,
    /// Requests that wait before it refuses more.
    pub queue: usize,
    /// Share of the requests that it refuses at any time.
    pub refused_share: f64,
    /// Probability that a request which waits is refused when its server next looks at
    /// the queue.
    pub shed_probability: f64,
    /// Whether it may start at any time what it refuses after it has waited.
    pub starts_refused: bool,
    /// How long before the time that a request states its deadline passes here.
    pub early: Duration,
    /// If set, it writes copies of its refusals later, as drawn from this seed.
    pub copying_seed: Option<u64>,
}

/// A command to the process of a server.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub enum ServerCommand {
    /// Do this to a share of the requests.
    Trouble(Trouble, f64),
    /// Let the path do this to a share of the connections.
    Path(PathFault, f64),
    /// Let new connections through the path lead to this address.
    Target(SocketAddr),
    /// Close each connection once it is idle, and accept no more. The path stays.
    End,
}

/// A report of the process of a server. Requests have a number for each server.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ServerReport {
    /// It listens at this address, and its path at the other one.
    Started(SocketAddr, SocketAddr),
    /// The head of a request has arrived.
    Arrived {
        /// The request's number.
        number: usize,
        /// Its id.
        id: String,
        /// The number of the caller's sending of it.
        sending: u32,
        /// Whether its connection has refused a request with this id before.
        is_repeated: bool,
        /// When it arrived.
        at: Moment,
    },
    /// It begins to run.
    Ran(usize, Moment),
    /// It was refused for this cause, or the first byte of its response was written, with
    /// this status.
    Answered(usize, u16, Option<RefusalCause>, Moment),
}

/// When a server has decided to refuse a request with the mark.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RefusalCause {
    /// As soon as it had arrived.
    OnArrival,
    /// While it waited, with time left.
    InQueue,
    /// When its deadline passed while it waited.
    AtDeadline,
    /// As soon as it had arrived, since it names another server.
    OtherServer,
}

/// What a server does to a share of its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Trouble {
    /// Nothing.
    None,
    /// They run and fail with a 500.
    Errors,
    /// They are refused before they run, with the mark.
    Sheds,
    /// They run and get no response.
    Hangs,
    /// They run and the connection is reset without a response.
    Resets,
    /// They run and take longer.
    Slow,
    /// They run and their response breaks off.
    CutsBody,
    /// A second response follows the first one, at once or later, that of a refusal too:
    /// the same again or a refusal, marked or not, for this or for another request.
    SurplusAfter,
    /// The same, and the second response names no request.
    SurplusUnnamed,
    /// Those with a body are refused with the mark before the body has arrived, and the
    /// body is read later.
    RefusesEarly,
    /// They run and their response has no length and ends with the connection.
    Unframed,
    /// Those whose deadline passes in the queue are refused with the mark, and run if a
    /// slot is free at that moment.
    StartsRefused,
    /// Their response, or the refusal of half of them, comes in two parts with a pause
    /// between them. Some servers end in between.
    Splits,
}

/// What has become of a request at a server.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The request's id.
    pub id: String,
    /// The number of the caller's sending of it, from 1.
    pub sending: u32,
    /// Whether its connection has refused a request with this id before.
    pub is_repeated: bool,
    /// The instance.
    pub instance: String,
    /// When its head had arrived.
    pub at: Moment,
    /// When it began to run; `None` if it did not.
    pub ran_at: Option<Moment>,
    /// When it was answered, and the status; `None` if it was not.
    pub answered: Option<(Moment, u16)>,
    /// Why the server refused it with the mark; `None` if it did not.
    pub refused: Option<RefusalCause>,
}

/// Arrivals at all servers.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

impl Trouble {
    /// Whether a second response follows the first one.
    pub fn has_surplus(self) -> bool {
        matches!(self, Self::SurplusAfter | Self::SurplusUnnamed)
    }
}

impl Arrival {
    /// Creates the record of a request whose head has arrived.
    pub fn new(
        id: String,
        sending: u32,
        is_repeated: bool,
        instance: &str,
        at: Moment,
    ) -> Self {
        Self {
            id,
            sending,
            is_repeated,
            instance: instance.to_owned(),
            at,
            ran_at: None,
            answered: None,
            refused: None,
        }
    }

    /// Whether the server refused the request as soon as it had arrived.
    pub fn is_refused_at_once(&self) -> bool {
        matches!(
            self.refused,
            Some(RefusalCause::OnArrival | RefusalCause::OtherServer)
        )
    }

    /// Whether the server refused the request with the mark and did not run it.
    pub fn is_only_refused(&self) -> bool {
        self.refused.is_some() && self.ran_at.is_none()
    }
}
