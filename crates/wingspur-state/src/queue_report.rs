//! What the allocator of a quota reports about the requests that wait for it.

use std::cmp::Ordering;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// The queue for a quota as its allocator sees it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct QueueReport {
    /// The urgency that `ahead` applies to; 0 is the most urgent.
    pub reserve: f32,
    /// Requests of this urgency, or more urgent ones, that wait at the allocator and at
    /// other boxes than the one that receives the report.
    pub ahead: u32,
    /// All requests that wait there.
    pub waiting: u32,
    /// Units that fall due within the longest wait of a request.
    pub due: u32,
    /// The time until one more request may wait, in milliseconds; it applies while the
    /// queue is full.
    pub free_in_ms: u32,
}

/// The last report of a box's hub.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedReport {
    report: QueueReport,
    at: Instant,
}

impl QueueReport {
    /// Returns how many requests that are at least as urgent as `reserve` may wait at the
    /// box that receives the report. Those that are more urgent than the report's are not
    /// limited by the requests of others, as it does not say how many go first.
    pub fn places(&self, reserve: f32) -> u32 {
        let ahead = match reserve.total_cmp(&self.reserve) {
            Ordering::Less => 0,
            Ordering::Equal => self.ahead,
            Ordering::Greater => self.waiting,
        };
        self.due.saturating_sub(ahead)
    }

    /// Returns the time until one more request may wait.
    pub fn free_in(&self) -> Duration {
        Duration::from_millis(self.free_in_ms.into())
    }
}

impl ReceivedReport {
    /// Creates the record of a report that was received at `now`.
    pub fn new(report: QueueReport, now: Instant) -> Self {
        Self { report, at: now }
    }

    /// Returns the report with the time that is left until a place is free, and its age;
    /// `None` once it is older than `REPORT_TTL`.
    pub fn current(&self, now: Instant) -> Option<(QueueReport, Duration)> {
        let age = now.saturating_duration_since(self.at);
        let free_in = self.report.free_in().saturating_sub(age);
        let free_in_ms = free_in.as_millis() as u32;
        let report = QueueReport {
            free_in_ms,
            ..self.report
        };
        (age < REPORT_TTL).then_some((report, age))
    }
}

/// Time for which a box refuses requests by its hub's last report. The report covers the
/// units that fall due in the longest wait, 250 ms, so it says nothing about later ones.
const REPORT_TTL: Duration = Duration::from_millis(250);
