//! Polls a box for its readiness and the version of its active bundle.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::boxes::fetch_json;
use crate::planned::callers::BoxView;
use crate::planned::record::Reading;

/// Polls a box until `stop` is set. Like the platform's balancer, it takes the box out of
/// rotation after two polls in a row that found it not ready, and back into rotation
/// after one that found it ready.
pub fn watch_box(
    view: &BoxView,
    operator_address: SocketAddr,
    readings: &Mutex<Vec<Reading>>,
    stop: &AtomicBool,
) {
    let mut failed_polls = 0;
    while !stop.load(Ordering::Relaxed) {
        let requested_at = Instant::now();
        let status = fetch_json(operator_address, "/status");
        let ready = status
            .as_ref()
            .is_some_and(|status| status["ready"] == true);
        failed_polls = if ready { 0 } else { failed_polls + 1 };
        if ready || failed_polls >= MAX_FAILED_POLLS {
            view.in_rotation.store(ready, Ordering::Relaxed);
        }
        let version = status.and_then(|status| status["bundle_version"].as_u64());
        if let Some(version) = version.filter(|version| *version > 0) {
            readings.lock().expect("no holder panics").push(Reading {
                box_index: view.index,
                requested_at,
                received_at: Instant::now(),
                version,
            });
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Short against the 500 ms for which a stopping box still accepts connections.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const MAX_FAILED_POLLS: u32 = 2;
