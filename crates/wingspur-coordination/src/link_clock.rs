//! How old at most what the other side of a link says is, by this box's own clock.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use wingspur_protocol::LinkTimestamps;

/// The clock of one link: what was sent on it when, and what the other side had of that.
///
/// Every frame carries the time of its sending and the newest such time that its sender had
/// from the other side. What a frame says was put together after its sender had that, so it
/// is no older than the moment at which this box sent it, however long the frame itself was
/// on its way or waited in a connection. No two clocks need to agree.
#[derive(Debug)]
pub struct LinkClock {
    began: Instant,
    /// The newest time of sending that came from the other side.
    heard_ms: Option<u32>,
    /// When this box sent the newest frame that the other side had.
    answered: Option<Instant>,
    /// The frames that the other side has not said to have, oldest first.
    unanswered: VecDeque<u32>,
}

impl LinkClock {
    /// The clock of a link that is taken up now.
    pub fn new(now: Instant) -> Self {
        Self {
            began: now,
            heard_ms: None,
            answered: None,
            unanswered: VecDeque::new(),
        }
    }

    /// The stamps of a frame that is sent now.
    pub fn send(&mut self, now: Instant) -> LinkTimestamps {
        let sent_ms = now.saturating_duration_since(self.began).as_millis() as u32;
        self.unanswered.push_back(sent_ms);
        LinkTimestamps {
            sent_ms,
            heard_ms: self.heard_ms,
        }
    }

    /// Takes in the stamps of a frame that came.
    pub fn receive(&mut self, stamps: &LinkTimestamps) {
        self.heard_ms = Some(stamps.sent_ms);
        let Some(answered_ms) = stamps.heard_ms else {
            return;
        };
        let answered = self.began + Duration::from_millis(u64::from(answered_ms));
        self.answered = self.answered.max(Some(answered));
        while self
            .unanswered
            .front()
            .is_some_and(|sent| *sent <= answered_ms)
        {
            self.unanswered.pop_front();
        }
    }

    /// What the other side said last was true at this moment or later; none before it has
    /// answered anything.
    pub fn peer_state_as_of(&self) -> Option<Instant> {
        self.answered
    }

    /// Frames that the other side has not said to have.
    pub fn unanswered(&self) -> usize {
        self.unanswered.len()
    }

    /// For how long the oldest of them has waited.
    pub fn oldest_unanswered_age(&self, now: Instant) -> Duration {
        let oldest = self.unanswered.front().map_or(now, |sent_ms| {
            self.began + Duration::from_millis(u64::from(*sent_ms))
        });
        now.saturating_duration_since(oldest)
    }
}
