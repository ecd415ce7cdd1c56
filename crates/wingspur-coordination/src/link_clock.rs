//! Bounds the age of what the other side of a link reports, using only this box's own
//! clock.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use wingspur_protocol::LinkTimestamps;

/// Clock of one link: when frames were sent, and which of them the other side has
/// received.
///
/// Every frame carries its send time and the newest send time that its sender has
/// received from the other side. The content of a frame was composed after its sender
/// received that time, so it is no older than the moment at which this box sent it, no
/// matter how long the frame was in transit or waited in a connection. The clocks of the
/// two boxes need not agree.
#[derive(Debug)]
pub struct LinkClock {
    started: Instant,
    /// Newest send time received from the other side, in milliseconds of its clock.
    peer_sent_ms: Option<u32>,
    /// When this box sent the newest frame that the other side has acknowledged.
    answered: Option<Instant>,
    /// Send times, in milliseconds since `started`, of the frames that the other side has
    /// not acknowledged, oldest first.
    unanswered: VecDeque<u32>,
}

impl LinkClock {
    /// Creates the clock of a link that is opened now.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            peer_sent_ms: None,
            answered: None,
            unanswered: VecDeque::new(),
        }
    }

    /// Returns the timestamps of a frame that is sent now, and counts the frame as
    /// unanswered.
    pub fn send(&mut self, now: Instant) -> LinkTimestamps {
        let sent_ms = now.saturating_duration_since(self.started).as_millis() as u32;
        self.unanswered.push_back(sent_ms);
        LinkTimestamps {
            sent_ms,
            heard_ms: self.peer_sent_ms,
        }
    }

    /// Applies the timestamps of a received frame.
    pub fn receive(&mut self, timestamps: &LinkTimestamps) {
        self.peer_sent_ms = Some(timestamps.sent_ms);
        let Some(answered_ms) = timestamps.heard_ms else {
            return;
        };
        let answered = self.started + Duration::from_millis(u64::from(answered_ms));
        self.answered = self.answered.max(Some(answered));
        while self
            .unanswered
            .front()
            .is_some_and(|sent| *sent <= answered_ms)
        {
            self.unanswered.pop_front();
        }
    }

    /// Returns a moment at or after which the latest report of the other side was true;
    /// `None` before it has acknowledged a frame.
    pub fn peer_state_as_of(&self) -> Option<Instant> {
        self.answered
    }

    /// Returns the number of frames that the other side has not acknowledged.
    pub fn unanswered(&self) -> usize {
        self.unanswered.len()
    }

    /// Returns how long the oldest unacknowledged frame has waited; zero if there is
    /// none.
    pub fn oldest_unanswered_age(&self, now: Instant) -> Duration {
        let oldest = self.unanswered.front().map_or(now, |sent_ms| {
            self.started + Duration::from_millis(u64::from(*sent_ms))
        });
        now.saturating_duration_since(oldest)
    }
}
