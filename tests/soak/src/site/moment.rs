//! Times that processes of one machine can compare.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// A time of the machine's monotonic clock.
pub type Moment = Duration;

/// Returns the current time.
pub fn now() -> Moment {
    let now = clock_gettime(ClockId::Monotonic);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}
