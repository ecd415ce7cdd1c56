//! The time of a box, which goes on while its machine is suspended.
//!
//! `Instant::now` reads the steady clock, which stands still while a machine is suspended: a
//! box that wakes would take news, leases and allowances of before for fresh, since its own
//! clock says so. `CLOCK_BOOTTIME` counts that time. All boxes go by this module; the table in
//! `docs/design/clocks.md` says which of them must, and what is left to the steady clock.

use std::fmt::{self, Debug, Formatter};
use std::pin::Pin;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use event_listener::{Event, listener};
use futures_lite::FutureExt;
use rustix::time::{ClockId, clock_gettime};

/// The moment that it is now, suspended time included.
///
/// It compares with other moments of this module only: `Instant::elapsed` reads the steady
/// clock, and is not allowed in the crates that use this one.
pub fn now() -> Instant {
    let origin = origin();
    let passed = boot_time().saturating_sub(origin.boot_time);
    origin.at + passed + stepped()
}

/// How long ago a moment was.
pub fn since(moment: Instant) -> Duration {
    now().saturating_duration_since(moment)
}

/// Waits for a span, suspended time included.
pub async fn sleep(span: Duration) {
    sleep_until(now() + span).await;
}

/// Waits until a moment; returns at once where it has passed while the machine was suspended
/// and `watch` has noticed.
pub async fn sleep_until(moment: Instant) {
    loop {
        listener!(WOKEN => woken);
        let left = moment.saturating_duration_since(now());
        if left.is_zero() {
            return;
        }
        let timer = async {
            smol::Timer::after(left).await;
        };
        timer.or(woken).await;
    }
}

/// Waits until a moment, as something that can be held and set anew.
pub struct Timer(Pin<Box<dyn Future<Output = ()> + Send>>);

impl Timer {
    /// Ends at a moment.
    pub fn at(moment: Instant) -> Self {
        Self(Box::pin(sleep_until(moment)))
    }

    /// Ends after a span.
    pub fn after(span: Duration) -> Self {
        Self::at(now() + span)
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

/// For how long in all the machine was suspended since the process started.
pub fn suspended() -> Duration {
    let origin = origin();
    // A thread that is held up between the two finds less, not more.
    let passed = boot_time().saturating_sub(origin.boot_time) + stepped();
    passed.saturating_sub(origin.steady.elapsed())
}

/// Whether the machine was suspended since it had been for `before` in all.
pub fn was_suspended_since(before: Duration) -> bool {
    suspended().saturating_sub(before) >= LEAST_SUSPENSION
}

/// Wakes whoever sleeps once the machine was suspended; never ends.
///
/// Timers of the kernel stand still with the steady clock: without this, what should have
/// ended while the machine was suspended would end as much later.
pub async fn watch() {
    let mut known = suspended();
    loop {
        smol::Timer::after(LOOK_EVERY).await;
        if !was_suspended_since(known) {
            continue;
        }
        let suspended = suspended();
        let gap = suspended.saturating_sub(known);
        known = suspended;
        let stood_still_ms = gap.as_millis() as u64;
        tracing::warn!(stood_still_ms, "clock: the machine was suspended.");
        WOKEN.notify(usize::MAX);
    }
}

/// For tests: lets so much time pass as if the machine were suspended meanwhile.
pub fn simulate_suspension(span: Duration) {
    STEPPED_NS.fetch_add(span.as_nanos() as u64, Ordering::Relaxed);
    WOKEN.notify(usize::MAX);
}

/// Where both clocks stood when the process first asked.
struct Origin {
    /// What moments are counted from; the steady clock's reading, but for its own sake only.
    at: Instant,
    steady: Instant,
    boot_time: Duration,
}

fn origin() -> &'static Origin {
    static ORIGIN: OnceLock<Origin> = OnceLock::new();
    ORIGIN.get_or_init(|| {
        let steady = Instant::now();
        Origin {
            at: steady,
            steady,
            boot_time: boot_time(),
        }
    })
}

fn boot_time() -> Duration {
    let read = clock_gettime(ClockId::Boottime);
    Duration::new(read.tv_sec as u64, read.tv_nsec as u32)
}

fn stepped() -> Duration {
    Duration::from_nanos(STEPPED_NS.load(Ordering::Relaxed))
}

/// Rung when the machine was suspended.
static WOKEN: Event = Event::new();
static STEPPED_NS: AtomicU64 = AtomicU64::new(0);
/// How soon a suspension is noticed by those that sleep; whoever asks for the time knows at
/// once.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// The two clocks are read one after the other, and a box may be held up in between: one with a
/// tenth of a core for up to 90 ms. Shorter suspensions count as time, but are not told.
const LEAST_SUSPENSION: Duration = Duration::from_millis(150);
