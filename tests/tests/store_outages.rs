//! Whether a missing entry means that its server is gone, or that the store was away.

mod edge;

use std::time::{Duration, Instant};

use edge::{Deployment, Route, server_entry, wait_until};
use wingspur_coordination::{CatalogFreshnessTracker, MIN_OUTAGE};
use wingspur_protocol::CatalogFreshness;
use wingspur_state::{BoxId, STORE_RECOVERY_GRACE, StorePosition};
use wingspur_tests::{BackendServer, Reply, StoreFault};

const REMOVED: &str = "wingspur_vanished_servers_total{outcome=\"removed\"}";
const KEPT: &str = "wingspur_vanished_servers_total{outcome=\"kept\"}";
const NONE: Option<Duration> = Some(Duration::ZERO);

/// A tracker of a box that has just read the store.
fn read_at(now: Instant) -> CatalogFreshnessTracker {
    let mut tracker = CatalogFreshnessTracker::new(BoxId::from("own"), now);
    tracker.record_read(now);
    tracker
}

/// What another box reports that read the store `age` ago.
fn reader(age: Duration, is_read_failing: bool) -> CatalogFreshness {
    CatalogFreshness {
        reader: Some(BoxId::from("hub")),
        age_ms: age.as_millis() as u32,
        position: StorePosition::default(),
        is_read_failing,
        ..CatalogFreshness::default()
    }
}

#[test]
fn failed_calls_between_two_reads_are_no_outage() {
    let start = Instant::now();
    let mut tracker = read_at(start);
    let mut now = start;
    for _ in 0..20 {
        now += MIN_OUTAGE / 2;
        tracker.record_store_failure();
        assert!(!tracker.is_store_away(now));
        tracker.record_read(now);
        assert_eq!(tracker.removal_grace(now), NONE);
    }
}

#[test]
fn long_time_without_a_read_is_no_outage_if_nobody_asked_in_vain() {
    let start = Instant::now();
    let mut tracker = read_at(start);
    let now = start + 10 * MIN_OUTAGE;
    assert!(!tracker.is_store_away(now));
    tracker.record_read(now);
    assert_eq!(tracker.removal_grace(now), NONE);
}

#[test]
fn box_that_lost_the_store_alone_sees_no_outage() {
    let start = Instant::now();
    let mut tracker = read_at(start);
    for beat in 1..100 {
        let now = start + beat * MIN_OUTAGE / 4;
        tracker.record_store_failure();
        tracker.receive(1, &reader(Duration::from_millis(300), false), now);
        assert!(!tracker.is_store_away(now));
    }
    let now = start + 26 * MIN_OUTAGE;
    tracker.record_read(now);
    assert_eq!(tracker.removal_grace(now), NONE);
}

#[test]
fn grace_begins_with_the_first_read_after_an_outage() {
    let start = Instant::now();
    let mut tracker = read_at(start);
    tracker.record_store_failure();
    let away = start + MIN_OUTAGE;
    assert!(tracker.is_store_away(away));
    assert_eq!(tracker.removal_grace(away), Some(STORE_RECOVERY_GRACE));
    let back = start + 2 * MIN_OUTAGE;
    tracker.record_read(back);
    assert_eq!(tracker.removal_grace(back), Some(STORE_RECOVERY_GRACE));
    // Neither a further read nor a cut watch changes when the grace ends.
    let later = back + STORE_RECOVERY_GRACE / 2;
    tracker.record_read(later);
    tracker.record_store_failure();
    assert_eq!(tracker.removal_grace(later), Some(STORE_RECOVERY_GRACE / 2));
    tracker.record_read(back + STORE_RECOVERY_GRACE);
    assert_eq!(tracker.removal_grace(back + STORE_RECOVERY_GRACE), NONE);
}

#[test]
fn outage_is_known_from_what_other_boxes_report() {
    let start = Instant::now();
    let mut tracker = read_at(start);
    let away = start + MIN_OUTAGE / 2;
    tracker.receive(1, &reader(MIN_OUTAGE / 2, true), away);
    let back = start + 2 * MIN_OUTAGE;
    tracker.receive(1, &reader(Duration::ZERO, false), back);
    assert_eq!(tracker.removal_grace(back), Some(STORE_RECOVERY_GRACE));
}

#[test]
fn box_that_has_just_started_cannot_tell_an_outage() {
    let now = Instant::now();
    let mut tracker = CatalogFreshnessTracker::new(BoxId::from("own"), now);
    tracker.record_store_failure();
    assert_eq!(tracker.removal_grace(now + MIN_OUTAGE), None);
    tracker.record_read(now + MIN_OUTAGE);
    assert_eq!(tracker.removal_grace(now + MIN_OUTAGE), NONE);
}

/// Acting too early: a box that slept through an outage takes the first snapshot after it
/// for the word of a store that was there.
#[test]
fn box_that_was_suspended_cannot_tell_an_outage() {
    let start = Instant::now();
    let tracker = read_at(start);
    assert_eq!(tracker.removal_grace(start + MIN_OUTAGE / 2), NONE);
    assert_eq!(tracker.removal_grace(start + MIN_OUTAGE), None);
}

/// A box with two servers; `i-extra` is a further entry of the first.
fn start() -> (Deployment, [BackendServer; 2]) {
    let servers = [(); 2].map(|()| BackendServer::start(|_| Reply::Complete));
    (Deployment::start(&servers, &[Route::new("read")]), servers)
}

/// Acting too late: the cut of a watch counts as an outage.
#[test]
fn server_that_leaves_beside_a_cut_watch_is_removed_at_once() {
    let (deployment, servers) = start();
    loop {
        deployment.announce("i-extra", servers[0].address, "ready");
        let removed = deployment.counter(REMOVED);
        let kept = deployment.counter(KEPT);
        let began = Instant::now();
        deployment.store.cut_watches_and_remove("servers/i-extra");
        deployment.wait_for_updates();
        if began.elapsed() > MIN_OUTAGE / 2 {
            // On a stalled machine the box may rightly see an outage.
            continue;
        }
        assert_eq!(deployment.counter(REMOVED), removed + 1);
        assert_eq!(deployment.counter(KEPT), kept);
        break;
    }
    deployment.close();
}

/// Acting too early: a server whose entry expired while the store was away is removed.
#[test]
fn server_whose_entry_expired_in_an_outage_is_kept() {
    let (deployment, servers) = start();
    loop {
        deployment.announce("i-extra", servers[0].address, "ready");
        let removed = deployment.counter(REMOVED);
        let kept = deployment.counter(KEPT);
        deployment.store.set_fault(StoreFault::Refuses(503));
        std::thread::sleep(MIN_OUTAGE + Duration::from_millis(100));
        deployment.store.remove("servers/i-extra");
        let back = Instant::now();
        deployment.store.set_fault(StoreFault::None);
        wait_until("the box has read that the entry is gone", || {
            deployment.counter(REMOVED) + deployment.counter(KEPT) > removed + kept
        });
        let entry = server_entry(servers[0].address, "ready");
        deployment.store.put("servers/i-extra", &entry);
        deployment.wait_for_updates();
        assert_eq!(deployment.counter(KEPT), kept + 1);
        if back.elapsed() > STORE_RECOVERY_GRACE / 2 {
            // On a stalled machine the grace may have ended before the entry was back.
            continue;
        }
        assert_eq!(deployment.counter(REMOVED), removed);
        break;
    }
    deployment.close();
}
