//! When callers that were refused may ask again.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::RngExt;

/// The moments that one box has promised to the callers of a service.
#[derive(Debug, Default)]
pub struct RetryAfterSchedule {
    /// When the next caller of each priority may come.
    next: BTreeMap<Priority, Instant>,
}

/// A caller's rank: its account's, and among equals its route's; 0 goes first.
pub type Priority = u16;

/// What a refusal finds.
#[derive(Debug, Clone, Copy)]
pub struct RetryAfterInputs {
    /// The caller's rank; 0 goes first.
    pub priority: Priority,
    /// The shortest wait for a slot now.
    pub min_queue_wait: Duration,
    /// Callers that the service can take back from this box in a second.
    pub spare_per_s: f64,
}

impl RetryAfterSchedule {
    /// Promises a caller a place in the capacity to come.
    ///
    /// The load pattern that it answers: many callers are refused at once, come back
    /// together and are refused again. Each gets a place of its own behind those that are as
    /// urgent or more, as far apart as the service has room for them; asking again sooner
    /// gains nothing, since a new refusal names a later place.
    pub fn schedule(
        &mut self,
        inputs: &RetryAfterInputs,
        now: Instant,
        random: &mut impl Rng,
    ) -> Duration {
        let step =
            Duration::from_secs_f64(1.0 / inputs.spare_per_s.max(LEAST_SPARE_PER_S));
        let step = step.min(LONGEST_RETURN);
        // Boxes that refuse at the same time do not all name the same moment.
        let phase = step.mul_f64(random.random());
        let earliest = now + inputs.min_queue_wait.max(SOONEST_RETURN) + phase;
        let behind = self.next.range(..=inputs.priority).map(|(_, at)| *at).max();
        let place = behind.map_or(earliest, |behind| behind.max(earliest));
        // A caller whose place is too far off is told the last one, and takes none.
        let limit = now + LONGEST_RETURN;
        if place < limit {
            self.next.insert(inputs.priority, place + step);
        }
        place.min(limit).saturating_duration_since(now)
    }
}

/// The rank of a caller by those of its account and its route.
pub fn priority_of(account: u8, route: u8) -> Priority {
    Priority::from_be_bytes([account, route])
}

/// How many callers a box's part of a service has room for in a second.
///
/// `capacity_per_s` is what the service's servers do in a second, `asked_per_s` what is
/// asked of it, both over all `boxes`.
pub fn spare_capacity_per_s(capacity_per_s: f64, asked_per_s: f64, boxes: usize) -> f64 {
    let spare = (capacity_per_s - asked_per_s).max(capacity_per_s * LEAST_SPARE_SHARE);
    spare / boxes.max(1) as f64
}

/// Sooner than this nothing has changed: a request takes a few tenths of a second.
const SOONEST_RETURN: Duration = Duration::from_millis(100);
/// Callers wait no longer than a third of their time, which is a few seconds.
pub const LONGEST_RETURN: Duration = Duration::from_secs(2);
/// Also a service that is asked for more than it can do ends some work all the time: this
/// part of its capacity goes to those who come back.
const LEAST_SPARE_SHARE: f64 = 0.1;
/// With less room than a caller in two seconds all places are too far off.
const LEAST_SPARE_PER_S: f64 = 0.5;
