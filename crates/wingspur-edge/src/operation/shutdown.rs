//! The planned stop of a box: its schedule, and what it means for the requests in flight.

use std::sync::OnceLock;
use std::time::Instant;

use wingspur_protocol::ResultCode;
use wingspur_transport::{StopSignal, StopTrigger, stop_pair};

use crate::operation::settings::Settings;

/// Whether the box is stopping, and by when all requests must have their responses.
#[derive(Debug)]
pub struct Shutdown {
    answer_by: OnceLock<Instant>,
    trigger: StopTrigger,
    signal: StopSignal,
}

impl Shutdown {
    /// Creates the state of a box that is not stopping.
    pub fn new() -> Self {
        let (trigger, signal) = stop_pair();
        Self {
            answer_by: OnceLock::new(),
            trigger,
            signal,
        }
    }

    /// Begins a stop, at which all requests must be answered by `answer_by`. Later calls
    /// change nothing.
    pub fn begin(&self, answer_by: Instant) {
        if self.answer_by.set(answer_by).is_err() {
            tracing::info!("stop: already in progress.");
        }
    }

    /// Whether a stop has begun.
    pub fn has_begun(&self) -> bool {
        self.answer_by.get().is_some()
    }

    /// Returns when a request is given up: at `limit`, or at the stop's `answer_by` if
    /// that is earlier. Servers must not be given more time than the box will be there to
    /// forward their responses.
    pub fn cap_deadline(&self, limit: Instant) -> Instant {
        let answer_by = self.answer_by.get();
        answer_by.map_or(limit, |answer_by| limit.min(*answer_by))
    }

    /// Makes all requests in flight end now with an error response.
    pub fn end_requests(&self) {
        self.trigger.close();
    }

    /// Completes once `end_requests` was called.
    pub async fn drain_expired(&self) {
        self.signal.wait().await;
    }
}

impl Default for Shutdown {
    fn default() -> Self {
        Self::new()
    }
}

/// The deadlines of a planned stop's steps. All are counted from the signal, so that a
/// slow step does not move the end. The end is half a second before the platform kills
/// the process, and closing the remaining ports after it takes 0.2 s.
#[derive(Debug, Clone, Copy)]
pub struct ShutdownSchedule {
    /// Until when connections of callers are accepted.
    pub accept_until: Instant,
    /// When all requests still in flight are answered, with an error if need be.
    pub answer_by: Instant,
    /// When responses that are not completely written are cut.
    pub end: Instant,
}

impl ShutdownSchedule {
    /// Computes the schedule of a stop whose signal came at `signaled_at`.
    pub fn new(settings: &Settings, signaled_at: Instant) -> Self {
        let accept_until = signaled_at + settings.balancer_lag();
        let end = accept_until + settings.drain_limit();
        Self {
            accept_until,
            answer_by: end - settings.final_response_time(),
            end,
        }
    }

    /// Logs the schedule, in milliseconds from now.
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

/// Returns the result code for a request that the end of the box interrupts.
pub fn shutdown_result(may_have_run: bool) -> ResultCode {
    match may_have_run {
        true => ResultCode::DeadlineAfterSend,
        false => ResultCode::DeadlineBeforeSend,
    }
}
