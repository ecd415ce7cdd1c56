//! Asks a box again and again whether it takes callers and which version is in force.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::boxes::ask;
use crate::planned::callers::BoxView;
use crate::planned::record::Reading;

/// Watches a box until told to stop; like the platform's balancer, it takes the box out
/// after two questions in a row without a good answer.
pub fn watch_box(
    view: &BoxView,
    operators: SocketAddr,
    readings: &Mutex<Vec<Reading>>,
    stop: &AtomicBool,
) {
    let mut misses = 0;
    while !stop.load(Ordering::Relaxed) {
        let asked = Instant::now();
        let status = ask(operators, "/status");
        let ready = status
            .as_ref()
            .is_some_and(|status| status["ready"] == true);
        misses = if ready { 0 } else { misses + 1 };
        if ready || misses >= MOST_MISSES {
            view.takes_callers.store(ready, Ordering::Relaxed);
        }
        let version = status.and_then(|status| status["bundle_version"].as_u64());
        if let Some(version) = version.filter(|version| *version > 0) {
            readings.lock().expect("no holder panics").push(Reading {
                box_index: view.index,
                asked,
                told: Instant::now(),
                version,
            });
        }
        std::thread::sleep(ASK_EVERY);
    }
}

/// Well within the half second for which a stopping box still takes callers.
const ASK_EVERY: Duration = Duration::from_millis(100);
const MOST_MISSES: u32 = 2;
