//! A clock that includes the time during which the machine is suspended.
//!
//! `Instant::now` reads the monotonic clock, which stops while a machine is suspended.
//! After a resume, a box that relied on it would still treat updates and quota leases
//! from before the suspension as current. `CLOCK_BOOTTIME` includes suspended time. All
//! boxes use this module; the table in `docs/design/clocks.md` lists what must use it,
//! and what uses the monotonic clock.

use std::fmt::{self, Debug, Formatter};
use std::pin::Pin;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use event_listener::{Event, listener};
use futures_lite::FutureExt;
use rustix::time::{ClockId, clock_gettime};

/// Returns the current time, including time during which the machine was suspended.
///
/// It can only be compared with other instants of this module: `Instant::elapsed` reads
/// the monotonic clock, and is not allowed in the crates that use this one.
pub fn now() -> Instant {
    let origin = origin();
    let elapsed = boot_time().saturating_sub(origin.boot_time);
    origin.at + elapsed + simulated_suspension()
}

/// Returns how long ago an instant of this module was; zero if it is in the future.
pub fn since(instant: Instant) -> Duration {
    now().saturating_duration_since(instant)
}

/// Waits for a duration, which includes suspended time.
pub async fn sleep(duration: Duration) {
    sleep_until(now() + duration).await;
}

/// Waits until an instant of this module. If it passes while the machine is suspended,
/// the wait ends as soon as `watch` has noticed the suspension.
pub async fn sleep_until(instant: Instant) {
    loop {
        listener!(RESUMED => resumed);
        let remaining = instant.saturating_duration_since(now());
        if remaining.is_zero() {
            return;
        }
        let timer = async {
            smol::Timer::after(remaining).await;
        };
        timer.or(resumed).await;
    }
}

/// Waits until a deadline, and then for `grace`, counted from when the deadline is
/// noticed. What has arrived while the process stood still can so be read first.
pub async fn sleep_past(deadline: Instant, grace: Duration) {
    sleep_until(deadline).await;
    sleep(grace).await;
}

/// A future that waits until an instant; it can be stored and replaced by a new one.
pub struct Timer(Pin<Box<dyn Future<Output = ()> + Send>>);

impl Timer {
    /// Creates a timer that ends at an instant.
    pub fn at(instant: Instant) -> Self {
        Self(Box::pin(sleep_until(instant)))
    }

    /// Creates a timer that ends after a duration.
    pub fn after(duration: Duration) -> Self {
        Self::at(now() + duration)
    }
}

impl Future for Timer {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        self.0.as_mut().poll(context)
    }
}

impl Debug for Timer {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("Timer")
    }
}

/// Returns how long the machine was suspended in total since the process first used this
/// module.
pub fn suspended() -> Duration {
    let origin = origin();
    // The clocks are read in this order so that a thread that is delayed between the two
    // reads returns too little, never too much.
    let elapsed = boot_time().saturating_sub(origin.boot_time) + simulated_suspension();
    elapsed.saturating_sub(origin.monotonic.elapsed())
}

/// Returns whether the machine was suspended since `suspended` returned `before`.
pub fn was_suspended_since(before: Duration) -> bool {
    suspended().saturating_sub(before) >= MIN_SUSPENSION
}

/// Wakes all sleepers after a suspension of the machine, and logs when the process itself
/// stood still; never returns.
///
/// Timers of the kernel stop with the monotonic clock. Without this task, a wait that
/// should end during a suspension would end late, by the length of the suspension.
pub async fn watch() {
    let mut reported = suspended();
    loop {
        let began = Instant::now();
        smol::Timer::after(SUSPENSION_CHECK_INTERVAL).await;
        log_stall(began.elapsed().saturating_sub(SUSPENSION_CHECK_INTERVAL));
        if !was_suspended_since(reported) {
            continue;
        }
        let suspended = suspended();
        let gap = suspended.saturating_sub(reported);
        reported = suspended;
        let stood_still_ms = gap.as_millis() as u64;
        tracing::warn!(stood_still_ms, "clock: the machine was suspended.");
        RESUMED.notify(usize::MAX);
    }
}

/// Logs that the process got no processor for a while: it was stopped, or the machine was
/// busy. Deadlines, answers and closes of that time are all noticed at once after it.
fn log_stall(late: Duration) {
    if late >= MIN_STALL {
        let stood_still_ms = late.as_millis() as u64;
        tracing::warn!(stood_still_ms, "clock: the process stood still.");
    }
}

/// Advances the clock as if the machine had been suspended for `duration`; for tests.
pub fn simulate_suspension(duration: Duration) {
    SIMULATED_SUSPENSION_NS.fetch_add(duration.as_nanos() as u64, Ordering::Relaxed);
    RESUMED.notify(usize::MAX);
}

/// The readings of both clocks when the process first used this module.
struct Origin {
    /// The instant from which the instants of this module are counted. It is a reading of
    /// the monotonic clock, but must not be compared with later readings of it.
    at: Instant,
    monotonic: Instant,
    boot_time: Duration,
}

fn origin() -> &'static Origin {
    static ORIGIN: OnceLock<Origin> = OnceLock::new();
    ORIGIN.get_or_init(|| {
        let monotonic = Instant::now();
        Origin {
            at: monotonic,
            monotonic,
            boot_time: boot_time(),
        }
    })
}

fn boot_time() -> Duration {
    let read = clock_gettime(ClockId::Boottime);
    Duration::new(read.tv_sec as u64, read.tv_nsec as u32)
}

fn simulated_suspension() -> Duration {
    Duration::from_nanos(SIMULATED_SUSPENSION_NS.load(Ordering::Relaxed))
}

/// Notifies all sleepers after a suspension.
static RESUMED: Event = Event::new();
static SIMULATED_SUSPENSION_NS: AtomicU64 = AtomicU64::new(0);
/// How often `watch` looks for a suspension, and so how late sleepers may notice it.
/// `now` includes a suspension at once.
const SUSPENSION_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest stall that is logged. A box with a tenth of a core is often delayed for 90 ms.
const MIN_STALL: Duration = Duration::from_millis(200);
/// Shortest suspension that is reported. The two clocks are read one after the other, and
/// a box with a tenth of a core may be delayed for up to 90 ms in between. Shorter
/// suspensions are included in the time, but are not reported.
const MIN_SUSPENSION: Duration = Duration::from_millis(150);
