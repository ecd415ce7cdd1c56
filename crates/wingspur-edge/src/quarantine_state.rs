//! What a box knows of the permits for requests in quarantine.

use std::collections::HashMap;
use std::time::Duration;

use wingspur_coordination::QuarantineRegistry;
use wingspur_protocol::QuotaLeaseReply;
use wingspur_state::{SourceId, StoreEra};

/// This box's part in what is let through of requests in quarantine.
#[derive(Debug)]
pub struct QuarantineState {
    /// Who may send, and when.
    pub permits: QuarantineRegistry,
    /// This box's own questions, with who waits for each answer.
    pub pending: HashMap<u32, async_channel::Sender<QuotaLeaseReply>>,
    /// The number of the last question.
    pub last_number: u32,
}

impl QuarantineState {
    /// A box that starts now, and counts under a name of its own.
    pub fn new(own: SourceId) -> Self {
        Self {
            permits: QuarantineRegistry::new(own),
            pending: HashMap::new(),
            last_number: 0,
        }
    }

    /// Notes the store's era.
    pub fn note_era(&mut self, era: StoreEra) {
        self.permits.note_era(era);
    }
}

/// Whether a request may be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendPermission {
    /// As any other: it is not in quarantine.
    Free,
    /// To one server.
    Once,
    /// No: there may be another permit after this.
    Refused(Duration),
}
