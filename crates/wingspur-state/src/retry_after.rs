//! Schedules the `Retry-After` times that refused callers are given.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::RngExt;

/// Retry times that one box has given to refused callers of a service.
#[derive(Debug, Default)]
pub struct RetryAfterSchedule {
    /// The next free retry time of each priority.
    next: BTreeMap<Priority, Instant>,
}

/// A caller's priority: that of its account in the high byte, that of its route in the
/// low byte. 0 is the most urgent.
pub type Priority = u16;

/// What the retry time of a refused caller depends on.
#[derive(Debug, Clone, Copy)]
pub struct RetryAfterInputs {
    /// The caller's priority; 0 is the most urgent.
    pub priority: Priority,
    /// The shortest wait for a slot now.
    pub min_queue_wait: Duration,
    /// Refused callers of this box that the service can readmit per second.
    pub spare_per_s: f64,
}

impl RetryAfterSchedule {
    /// Reserves a retry time for a refused caller and returns the wait until then, at
    /// most `MAX_RETRY_AFTER`.
    ///
    /// Staggering keeps callers that were refused at once from coming back together and
    /// being refused again. Each caller gets a time of its own after those of callers
    /// with the same or a more urgent priority, spaced by the spare capacity. Asking
    /// again sooner gains nothing, since the next refusal gives a later time.
    pub fn schedule(
        &mut self,
        inputs: &RetryAfterInputs,
        now: Instant,
        random: &mut impl Rng,
    ) -> Duration {
        let interval =
            Duration::from_secs_f64(1.0 / inputs.spare_per_s.max(MIN_SPARE_PER_S));
        let interval = interval.min(MAX_RETRY_AFTER);
        // A random offset keeps boxes that refuse at the same time from giving equal
        // times.
        let phase = interval.mul_f64(random.random());
        let earliest = now + inputs.min_queue_wait.max(MIN_RETRY_AFTER) + phase;
        let reserved = self.next.range(..=inputs.priority).map(|(_, at)| *at).max();
        let retry_at = reserved.map_or(earliest, |reserved| reserved.max(earliest));
        // A caller whose time would be past the limit gets the limit and reserves
        // nothing.
        let limit = now + MAX_RETRY_AFTER;
        if retry_at < limit {
            self.next.insert(inputs.priority, retry_at + interval);
        }
        retry_at.min(limit).saturating_duration_since(now)
    }
}

/// Combines the priorities of an account and a route; the account's takes precedence.
pub fn priority_of(account: u8, route: u8) -> Priority {
    Priority::from_be_bytes([account, route])
}

/// Returns one box's share of the requests that a service can readmit per second.
///
/// `capacity_per_s` is the number of requests that the service's servers complete per
/// second, `asked_per_s` the request rate, both over all `boxes`.
pub fn spare_capacity_per_s(capacity_per_s: f64, asked_per_s: f64, boxes: usize) -> f64 {
    let spare = (capacity_per_s - asked_per_s).max(capacity_per_s * MIN_SPARE_SHARE);
    spare / boxes.max(1) as f64
}

/// An earlier retry would find the servers as busy as before: a request takes a few
/// tenths of a second.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// The longest wait that a caller is given: a third of its time limit of a few seconds.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Share of the capacity that is readmitted at least: an overloaded service also
/// completes requests all the time.
const MIN_SPARE_SHARE: f64 = 0.1;
/// One caller in 2 s: at a lower rate the interval between two callers would be longer
/// than `MAX_RETRY_AFTER`.
const MIN_SPARE_PER_S: f64 = 0.5;
