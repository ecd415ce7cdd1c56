//! The deadline that a server is given with a request.

use std::time::{Duration, Instant};

/// The deadline that a server is given with a request.
///
/// The server counts its time from when the request arrives, so its own deadline passes
/// no earlier than this one, which counts from when the request was sent.
#[derive(Debug, Clone, Copy)]
pub struct ServerDeadline {
    sent: Instant,
    timeout: Duration,
}

impl ServerDeadline {
    /// Gives a server the whole milliseconds of what remains when the request is sent.
    pub fn new(sent: Instant, remaining: Duration) -> Self {
        let timeout = Duration::from_millis(remaining.as_millis() as u64);
        Self { sent, timeout }
    }

    /// Returns when the request was sent.
    pub fn sent_at(self) -> Instant {
        self.sent
    }

    /// Returns the time that the server is given, in milliseconds.
    pub fn timeout_ms(self) -> u64 {
        self.timeout.as_millis() as u64
    }

    /// Returns the time from when the request was sent until a moment.
    pub fn elapsed(self, until: Instant) -> Duration {
        until.saturating_duration_since(self.sent)
    }

    /// Returns the time that is left to the server.
    pub fn remaining(self, now: Instant) -> Duration {
        self.timeout.saturating_sub(self.elapsed(now))
    }

    /// Whether the server's own deadline may have passed before it sent what was received
    /// at this moment.
    pub fn may_have_passed(self, received: Instant) -> bool {
        self.remaining(received) < MAX_CLOCK_TICK
    }
}

/// Servers may read a clock that advances in ticks, and so see their deadline pass early by
/// a tick.
const MAX_CLOCK_TICK: Duration = Duration::from_millis(10);
