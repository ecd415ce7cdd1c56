//! How soon after a request a server has refused it.

use std::time::{Duration, Instant};

use crate::{ResponseArrival, ServerDeadline};

/// How soon after a request its refusal came.
#[derive(Debug, Clone, Copy)]
pub struct RefusalTiming {
    /// The deadline that the server was given when the request's head was sent.
    pub deadline: ServerDeadline,
    /// When the last part of the request was sent, or a moment before; `None` if the
    /// refusal came before that.
    pub request_sent_at: Option<Instant>,
    /// When the refusal arrived.
    pub arrival: ResponseArrival,
    /// How long a server may take to refuse a request as it arrives.
    pub max_prompt_delay: Duration,
}

impl RefusalTiming {
    /// Returns the time from when the request was sent until the refusal arrived.
    pub fn delay(&self) -> Duration {
        self.deadline.elapsed(self.arrival.at)
    }

    /// Returns the time that was left to the server when the refusal arrived.
    pub fn server_left(&self) -> Duration {
        self.deadline.remaining(self.arrival.at)
    }

    /// Whether the server's deadline may have passed when it refused.
    pub fn may_be_due_to_deadline(&self) -> bool {
        self.deadline.may_have_passed(self.arrival.at)
    }

    /// Whether the request was refused as it arrived, and so before it could wait for a
    /// worker: by its head, or when the whole of it was there.
    pub fn is_prompt(&self) -> bool {
        let max_delay = self.max_prompt_delay + self.arrival.round_trip;
        let is_soon_after =
            |sent| self.arrival.at.saturating_duration_since(sent) <= max_delay;
        is_soon_after(self.deadline.sent_at())
            || self.request_sent_at.is_some_and(is_soon_after)
    }
}
