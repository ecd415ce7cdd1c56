//! A planned stop as the requests that are out see it.

use std::sync::OnceLock;
use std::time::Instant;

use wingspur_protocol::ResultCode;
use wingspur_transport::{StopSignal, StopTrigger, stop_pair};

use crate::settings::Settings;

/// Whether the box is stopping, and by when all requests must have their answers.
#[derive(Debug)]
pub struct Shutdown {
    answer_by: OnceLock<Instant>,
    trigger: StopTrigger,
    signal: StopSignal,
}

impl Shutdown {
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
    pub fn cap_deadline(&self, limit: Instant) -> Instant {
        let answer_by = self.answer_by.get();
        answer_by.map_or(limit, |answer_by| limit.min(*answer_by))
    }

    /// Makes all requests that are out end now.
    pub fn end_requests(&self) {
        self.trigger.close();
    }

    /// Returns once all requests are to end.
    pub async fn drain_expired(&self) {
        self.signal.wait().await;
    }
}

impl Default for Shutdown {
    fn default() -> Self {
        Self::new()
    }
}

/// When a planned stop does what. All is counted from the signal, so that no step that takes
/// long moves the end: that is half a second before the platform kills, and the ports that are
/// closed after it take 0.2 s.
#[derive(Debug, Clone, Copy)]
pub struct ShutdownSchedule {
    /// Until then callers are accepted.
    pub accept_until: Instant,
    /// Then all requests that are not over are answered as they stand.
    pub answer_by: Instant,
    /// Then what is still not written is cut.
    pub end: Instant,
}

impl ShutdownSchedule {
    /// The plan of a stop that the box was told of just now.
    pub fn new(settings: &Settings, told: Instant) -> Self {
        let accept_until = told + settings.balancer_lag();
        let end = accept_until + settings.drain_limit();
        Self {
            accept_until,
            answer_by: end - settings.final_response_time(),
            end,
        }
    }

    /// Tells the plan.
    pub fn log(&self) {
        let now = wingspur_clock::now();
        let ms = |at: Instant| at.saturating_duration_since(now).as_millis() as u64;
        tracing::info!(
            accept_ms = ms(self.accept_until),
            answer_by_ms = ms(self.answer_by),
            end_ms = ms(self.end),
            "stop: not ready from now on."
        );
    }
}

/// What a caller is told when the box ends before its request is over.
pub fn shutdown_result(sent: bool) -> ResultCode {
    match sent {
        true => ResultCode::DeadlineAfterSend,
        false => ResultCode::DeadlineBeforeSend,
    }
}
