//! Which servers are there: entries that vanish, outages, and lapses that mean nothing.

use std::time::{Duration, Instant};

use wingspur_state::{
    ENTRY_TTL, RegistryChange, STORE_RECOVERY_GRACE, ServerRecord, ServerRegistry,
};

fn record(id: &str) -> ServerRecord {
    ServerRecord {
        id: id.into(),
        born_ms: 0,
        service: "svc".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "dc-1".into(),
        slots: 4,
        leaving: false,
        cold_ms: 0,
    }
}

fn with(ids: &[&str]) -> ServerRegistry {
    let mut directory = ServerRegistry::default();
    for id in ids {
        directory.put(record(id));
    }
    directory
}

fn gone(id: &str) -> RegistryChange {
    RegistryChange::Removed(record(id))
}

#[test]
fn an_entry_that_vanishes_from_a_sound_store_is_gone_at_once() {
    let now = Instant::now();
    let mut directory = with(&["a", "b"]);
    assert_eq!(directory.remove("a", now), Some(gone("a")));
    assert_eq!(directory.len(), 1);
}

#[test]
fn an_entry_that_lapsed_in_an_outage_has_two_seconds_to_come_back() {
    let now = Instant::now();
    let mut directory = with(&["back", "lost"]);
    directory.store_lost();
    directory.store_recovered(now);
    assert_eq!(directory.replace(Vec::new(), now), []);
    let almost = now + STORE_RECOVERY_GRACE - Duration::from_millis(1);
    assert_eq!(directory.settle(almost), []);
    assert_eq!(directory.put(record("back")), None, "it was never gone");
    assert_eq!(directory.settle(now + STORE_RECOVERY_GRACE), [gone("lost")]);
    assert_eq!(directory.len(), 1);
}

#[test]
fn a_server_that_said_it_leaves_is_gone_also_in_an_outage() {
    let now = Instant::now();
    let mut directory = with(&["a"]);
    let leaving = ServerRecord {
        leaving: true,
        ..record("a")
    };
    let told = directory.put(leaving.clone());
    assert_eq!(told, Some(RegistryChange::Updated(leaving.clone())));
    directory.store_lost();
    assert_eq!(
        directory.remove("a", now),
        Some(RegistryChange::Removed(leaving))
    );
}

#[test]
fn a_second_outage_before_the_grace_is_over_starts_it_anew() {
    let now = Instant::now();
    let mut directory = with(&["a"]);
    directory.store_lost();
    directory.store_recovered(now);
    directory.remove("a", now);
    directory.store_lost();
    assert_eq!(directory.settle(now + STORE_RECOVERY_GRACE), []);
    let back = now + Duration::from_secs(5);
    directory.store_recovered(back);
    assert_eq!(directory.settle(back + Duration::from_secs(1)), []);
    assert_eq!(directory.settle(back + STORE_RECOVERY_GRACE), [gone("a")]);
}

#[test]
fn doubt_that_another_box_tells_of_holds_here_too() {
    let now = Instant::now();
    let mut directory = with(&["a"]);
    directory.store_read_by_peer(Duration::from_millis(800), now);
    assert_eq!(directory.remove("a", now), None);
    assert_eq!(directory.settle(now + Duration::from_millis(700)), []);
    assert_eq!(
        directory.settle(now + Duration::from_millis(800)),
        [gone("a")]
    );
}

#[test]
fn what_is_left_of_a_cold_start_is_no_change() {
    let mut directory = with(&[]);
    let cold = |cold_ms| ServerRecord {
        cold_ms,
        ..record("a")
    };
    assert!(directory.put(cold(3_000)).is_some());
    assert!(directory.is_current(&cold(1_500)));
    assert_eq!(directory.put(cold(1_500)), None);
    let leaving = ServerRecord {
        leaving: true,
        ..cold(0)
    };
    assert!(!directory.is_current(&leaving));
    assert!(directory.put(leaving).is_some());
}

#[test]
fn server_that_turns_cold_again_is_a_change() {
    let mut directory = with(&[]);
    let cold = |cold_ms| ServerRecord {
        cold_ms,
        ..record("a")
    };
    let put = |cold_ms| Some(RegistryChange::Updated(cold(cold_ms)));
    assert_eq!(directory.put(cold(3_000)), put(3_000));
    assert_eq!(directory.put(cold(1_500)), None);
    assert!(
        !directory.is_current(&cold(3_000)),
        "in the middle of its start"
    );
    assert_eq!(directory.put(cold(3_000)), put(3_000));
    assert_eq!(directory.put(cold(0)), put(0), "cold no more");
    assert_eq!(directory.put(cold(0)), None);
    assert_eq!(directory.put(cold(3_000)), put(3_000), "once it was warm");
    let listed = vec![cold(3_000)];
    assert_eq!(directory.replace(listed, Instant::now()), []);
}

/// A directory whose server was gone before the store was restored, and is listed again.
fn restored_with_gone(id: &str, now: Instant) -> ServerRegistry {
    let mut directory = with(&[id]);
    assert_eq!(directory.remove(id, now), Some(gone(id)));
    directory.store_restored(2, now);
    assert_eq!(directory.replace(vec![record(id)], now), []);
    directory
}

#[test]
fn entry_of_a_gone_server_that_a_restore_brings_back_is_not_used() {
    let now = Instant::now();
    let mut directory = restored_with_gone("a", now);
    assert!(directory.is_empty());
    let almost = now + ENTRY_TTL - Duration::from_millis(1);
    assert_eq!(directory.settle(almost), []);
    // Another listing of the same era does not make it newer.
    assert_eq!(directory.replace(vec![record("a")], almost), []);
    assert_eq!(directory.remove("a", almost), None, "the entry has lapsed");
    assert_eq!(directory.settle(now + ENTRY_TTL), []);
}

#[test]
fn server_that_a_restore_brings_back_is_used_once_it_must_have_been_written() {
    let now = Instant::now();
    let mut directory = restored_with_gone("a", now);
    let put = RegistryChange::Updated(record("a"));
    assert_eq!(
        directory.settle(now + ENTRY_TTL),
        std::slice::from_ref(&put)
    );
    let mut directory = restored_with_gone("a", now);
    assert_eq!(
        directory.put(record("a")),
        Some(put),
        "it was written since"
    );
}

#[test]
fn server_announced_in_the_seconds_that_a_restore_loses_stays_in_use() {
    let now = Instant::now();
    let mut directory = with(&["kept", "lost"]);
    directory.store_restored(2, now);
    assert_eq!(directory.replace(vec![record("kept")], now), []);
    assert_eq!(directory.len(), 2);
    assert_eq!(directory.put(record("lost")), None, "it was never gone");
    assert_eq!(directory.settle(now + STORE_RECOVERY_GRACE), []);
    assert_eq!(directory.len(), 2);
}

#[test]
fn box_that_starts_after_a_restore_is_told_of_missing_and_of_gone_servers() {
    let now = Instant::now();
    let mut starts = ServerRegistry::default();
    starts.store_read_by_peer(STORE_RECOVERY_GRACE, now);
    let listing = vec![record("kept"), record("gone")];
    let changes = starts.replace_restored(listing, &["gone".into()], now);
    assert_eq!(changes, [RegistryChange::Updated(record("kept"))]);
    let missing = starts.put_missing(record("missing"), now);
    assert_eq!(missing, Some(RegistryChange::Updated(record("missing"))));
    assert_eq!(starts.settle(now + STORE_RECOVERY_GRACE), [gone("missing")]);
}
