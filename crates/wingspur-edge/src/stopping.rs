//! A planned stop as the requests that are out see it.

use std::sync::OnceLock;
use std::time::Instant;

use wingspur_transport::{StopSignal, StopTrigger, stop_pair};

/// Whether the box is stopping, and by when all requests must have their answers.
#[derive(Debug)]
pub struct Stopping {
    answer_by: OnceLock<Instant>,
    trigger: StopTrigger,
    signal: StopSignal,
}

impl Stopping {
    /// A box that nobody has told to stop.
    pub fn new() -> Self {
        let (trigger, signal) = stop_pair();
        Self {
            answer_by: OnceLock::new(),
            trigger,
            signal,
        }
    }

    /// Begins a stop; later ones change nothing.
    pub fn begin(&self, answer_by: Instant) {
        if self.answer_by.set(answer_by).is_err() {
            tracing::info!("stop: it has begun before.");
        }
    }

    /// Whether a stop has begun.
    pub fn has_begun(&self) -> bool {
        self.answer_by.get().is_some()
    }

    /// When a request is given up that would otherwise be given up at `limit`: servers are
    /// told no more time than the box will be there to pass their answers on.
    pub fn limit(&self, limit: Instant) -> Instant {
        let answer_by = self.answer_by.get();
        answer_by.map_or(limit, |answer_by| limit.min(*answer_by))
    }

    /// Makes all requests that are out end now.
    pub fn end_requests(&self) {
        self.trigger.close();
    }

    /// Returns once all requests are to end.
    pub async fn out_of_time(&self) {
        self.signal.wait().await;
    }
}
