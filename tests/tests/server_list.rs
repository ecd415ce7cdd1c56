//! Which servers are in use when entries vanish: at once, around an outage of the store,
//! and after it was restored from an older copy.

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
    let mut registry = ServerRegistry::default();
    for id in ids {
        registry.put(record(id));
    }
    registry
}

fn removed(id: &str) -> RegistryChange {
    RegistryChange::Removed(record(id))
}

#[test]
fn an_entry_that_vanishes_from_a_sound_store_is_gone_at_once() {
    let now = Instant::now();
    let mut registry = with(&["a", "b"]);
    assert_eq!(registry.remove("a", now), Some(removed("a")));
    assert_eq!(registry.len(), 1);
}

#[test]
fn an_entry_that_lapsed_in_an_outage_has_two_seconds_to_come_back() {
    let now = Instant::now();
    let mut registry = with(&["back", "lost"]);
    registry.store_lost();
    registry.store_read(STORE_RECOVERY_GRACE, now);
    assert_eq!(registry.replace(Vec::new(), now), []);
    let almost = now + STORE_RECOVERY_GRACE - Duration::from_millis(1);
    assert_eq!(registry.finish_grace(almost), []);
    assert_eq!(
        registry.put(record("back")),
        None,
        "the server was never removed"
    );
    assert_eq!(
        registry.finish_grace(now + STORE_RECOVERY_GRACE),
        [removed("lost")]
    );
    assert_eq!(registry.len(), 1);
}

#[test]
fn a_server_that_said_it_leaves_is_gone_also_in_an_outage() {
    let now = Instant::now();
    let mut registry = with(&["a"]);
    let leaving = ServerRecord {
        leaving: true,
        ..record("a")
    };
    let change = registry.put(leaving.clone());
    assert_eq!(change, Some(RegistryChange::Updated(leaving.clone())));
    registry.store_lost();
    assert_eq!(
        registry.remove("a", now),
        Some(RegistryChange::Removed(leaving))
    );
}

#[test]
fn a_second_outage_before_the_grace_is_over_starts_it_anew() {
    let now = Instant::now();
    let mut registry = with(&["a"]);
    registry.store_lost();
    registry.store_read(STORE_RECOVERY_GRACE, now);
    registry.remove("a", now);
    registry.store_lost();
    assert_eq!(registry.finish_grace(now + STORE_RECOVERY_GRACE), []);
    let recovered = now + Duration::from_secs(5);
    registry.store_read(STORE_RECOVERY_GRACE, recovered);
    assert_eq!(
        registry.finish_grace(recovered + Duration::from_secs(1)),
        []
    );
    assert_eq!(
        registry.finish_grace(recovered + STORE_RECOVERY_GRACE),
        [removed("a")]
    );
}

#[test]
fn doubt_that_another_box_tells_of_holds_here_too() {
    let now = Instant::now();
    let mut registry = with(&["a"]);
    registry.store_read(Duration::from_millis(800), now);
    assert_eq!(registry.remove("a", now), None);
    assert_eq!(registry.finish_grace(now + Duration::from_millis(700)), []);
    assert_eq!(
        registry.finish_grace(now + Duration::from_millis(800)),
        [removed("a")]
    );
}

#[test]
fn what_is_left_of_a_cold_start_is_no_change() {
    let mut registry = with(&[]);
    let cold = |cold_ms| ServerRecord {
        cold_ms,
        ..record("a")
    };
    assert!(registry.put(cold(3_000)).is_some());
    assert!(registry.is_current(&cold(1_500)));
    assert_eq!(registry.put(cold(1_500)), None);
    let leaving = ServerRecord {
        leaving: true,
        ..cold(0)
    };
    assert!(!registry.is_current(&leaving));
    assert!(registry.put(leaving).is_some());
}

#[test]
fn server_that_turns_cold_again_is_a_change() {
    let mut registry = with(&[]);
    let cold = |cold_ms| ServerRecord {
        cold_ms,
        ..record("a")
    };
    let put = |cold_ms| Some(RegistryChange::Updated(cold(cold_ms)));
    assert_eq!(registry.put(cold(3_000)), put(3_000));
    assert_eq!(registry.put(cold(1_500)), None);
    assert!(
        !registry.is_current(&cold(3_000)),
        "a server that turns cold again before it is warm"
    );
    assert_eq!(registry.put(cold(3_000)), put(3_000));
    assert_eq!(registry.put(cold(0)), put(0), "no longer cold");
    assert_eq!(registry.put(cold(0)), None);
    assert_eq!(
        registry.put(cold(3_000)),
        put(3_000),
        "cold again after it was warm"
    );
    let listed = vec![cold(3_000)];
    assert_eq!(registry.replace(listed, Instant::now()), []);
}

/// A registry whose server was removed before the store was restored, and is listed
/// again.
fn restored_with_removed(id: &str, now: Instant) -> ServerRegistry {
    let mut registry = with(&[id]);
    assert_eq!(registry.remove(id, now), Some(removed(id)));
    registry.store_restored(2, now);
    assert_eq!(registry.replace(vec![record(id)], now), []);
    registry
}

#[test]
fn entry_of_a_gone_server_that_a_restore_brings_back_is_not_used() {
    let now = Instant::now();
    let mut registry = restored_with_removed("a", now);
    assert!(registry.is_empty());
    let almost = now + ENTRY_TTL - Duration::from_millis(1);
    assert_eq!(registry.finish_grace(almost), []);
    // Another snapshot of the same era does not restart the time.
    assert_eq!(registry.replace(vec![record("a")], almost), []);
    assert_eq!(registry.remove("a", almost), None, "the entry has expired");
    assert_eq!(registry.finish_grace(now + ENTRY_TTL), []);
}

#[test]
fn server_that_a_restore_brings_back_is_used_once_it_must_have_been_written() {
    let now = Instant::now();
    let mut registry = restored_with_removed("a", now);
    let put = RegistryChange::Updated(record("a"));
    assert_eq!(
        registry.finish_grace(now + ENTRY_TTL),
        std::slice::from_ref(&put)
    );
    let mut registry = restored_with_removed("a", now);
    assert_eq!(
        registry.put(record("a")),
        Some(put),
        "the entry was written after the restore"
    );
}

#[test]
fn server_announced_in_the_seconds_that_a_restore_loses_stays_in_use() {
    let now = Instant::now();
    let mut registry = with(&["kept", "lost"]);
    registry.store_restored(2, now);
    assert_eq!(registry.replace(vec![record("kept")], now), []);
    assert_eq!(registry.len(), 2);
    assert_eq!(
        registry.put(record("lost")),
        None,
        "the server was never removed"
    );
    assert_eq!(registry.finish_grace(now + STORE_RECOVERY_GRACE), []);
    assert_eq!(registry.len(), 2);
}

#[test]
fn box_that_starts_after_a_restore_is_told_of_missing_and_of_gone_servers() {
    let now = Instant::now();
    let mut starting = ServerRegistry::default();
    starting.store_read(STORE_RECOVERY_GRACE, now);
    let snapshot = vec![record("kept"), record("gone")];
    let changes = starting.replace_restored(snapshot, &["gone".into()], now);
    assert_eq!(changes, [RegistryChange::Updated(record("kept"))]);
    let missing = starting.put_missing(record("missing"), now);
    assert_eq!(missing, Some(RegistryChange::Updated(record("missing"))));
    assert_eq!(
        starting.finish_grace(now + STORE_RECOVERY_GRACE),
        [removed("missing")]
    );
}
