//! State of a box for the permits to send quarantined requests.

use std::collections::HashMap;
use std::time::Duration;

use wingspur_coordination::QuarantineRegistry;
use wingspur_protocol::QuotaLeaseReply;
use wingspur_state::{SourceId, StoreEra};

/// Trials of quarantined requests and the permit requests of this box.
#[derive(Debug)]
pub struct QuarantineState {
    /// Decides when a quarantined request may be sent.
    pub permits: QuarantineRegistry,
    /// This box's unanswered permit requests by number, each with the channel of the task
    /// that waits for the reply.
    pub pending: HashMap<u32, async_channel::Sender<QuotaLeaseReply>>,
    /// Number of the last permit request.
    pub last_number: u32,
}

impl QuarantineState {
    /// Creates the state of a box that starts now. `own` identifies the box in the trials
    /// that it counts.
    pub fn new(own: SourceId) -> Self {
        Self {
            permits: QuarantineRegistry::new(own),
            pending: HashMap::new(),
            last_number: 0,
        }
    }

    /// Records the store's current era.
    pub fn note_era(&mut self, era: StoreEra) {
        self.permits.note_era(era);
    }
}

/// Whether a request may be sent now, as decided by the quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendPermission {
    /// The request is not quarantined and is sent like any other.
    Free,
    /// The request may be sent once, to one server.
    Once,
    /// The request may not be sent; there may be a permit after this time.
    Refused(Duration),
}
