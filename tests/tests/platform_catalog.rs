//! The catalog over the platform's store, against a fake store with faults.

mod edge;

use std::time::Duration;

use edge::{Route, configuration, server_entry};
use wingspur_platform::catalog;
use wingspur_protocol::{BoxRecord, CatalogChange};
use wingspur_state::StorePosition;
use wingspur_tests::{PlatformStore, StoreFault};
use wingspur_transport::{
    Catalog, CatalogError, CatalogFuture, FaultInjector, HttpClient, Workers,
};

const WAIT: Duration = Duration::from_millis(50);

/// Runs a test with a catalog over a store, whose calls time out after `timeout`.
fn with_catalog(store: &PlatformStore, timeout: Duration, test: impl FnOnce(Catalog)) {
    let workers = Workers::start(1);
    let http_client = HttpClient::new(workers.spawner(), FaultInjector::default());
    let lease = Duration::from_secs(10);
    test(catalog(store.address, http_client.into(), timeout, lease));
    workers.close();
}

/// Runs a test with a catalog whose calls do not time out within the test.
fn with_patient_catalog(store: &PlatformStore, test: impl FnOnce(Catalog)) {
    with_catalog(store, Duration::from_secs(20), test);
}

/// Waits for a call and returns its outcome.
fn outcome_of<T>(call: CatalogFuture<T>) -> Result<T, CatalogError> {
    smol::block_on(call).outcome
}

fn at(revision: u64) -> StorePosition {
    StorePosition::new(1, revision)
}

fn own_record() -> BoxRecord {
    BoxRecord {
        id: "box-1".into(),
        data_centre: "dc-1".into(),
        peer_address: "127.0.0.1:9".parse().unwrap(),
        incarnation: 3,
        capacity: 1,
        fleet_boxes: 0,
    }
}

fn put_server(store: &PlatformStore, id: &str) {
    let entry = server_entry("127.0.0.1:1".parse().unwrap(), "ready");
    store.put(&format!("servers/{id}"), &entry);
}

#[test]
fn a_listing_goes_over_all_pages() {
    let store = PlatformStore::start(3);
    store.put("op/config", &configuration(1, &[Route::new("read")]));
    for n in 0..10 {
        put_server(&store, &format!("i-{n}"));
    }
    with_patient_catalog(&store, |catalog| {
        let snapshot = outcome_of((catalog.list)(true)).unwrap();
        assert_eq!(snapshot.servers.len(), 10);
        assert_eq!(snapshot.bundle.unwrap().version, 1);
        assert_eq!(snapshot.position, at(11));
        assert_eq!(store.calls("/-/kv-range"), 4);
    });
}

#[test]
fn a_watch_tells_what_came_what_went_and_from_where_to_go_on() {
    let store = PlatformStore::start(500);
    put_server(&store, "i-1");
    put_server(&store, "i-2");
    store.remove("servers/i-1");
    store.put_bytes("someone/elses", b"\xff");
    with_patient_catalog(&store, |catalog| {
        let changes = outcome_of((catalog.watch)(at(1), WAIT)).unwrap();
        assert_eq!((changes.after, changes.position), (at(1), at(4)));
        assert!(
            matches!(&changes.changes[0], CatalogChange::Server(r) if &*r.id == "i-2")
        );
        assert_eq!(changes.changes[1], CatalogChange::ServerGone("i-1".into()));
        assert_eq!(changes.changes.len(), 2);
        let unchanged = outcome_of((catalog.watch)(at(4), WAIT)).unwrap();
        assert_eq!((unchanged.position, unchanged.changes.len()), (at(4), 0));
    });
}

#[test]
fn a_forgotten_history_is_told_from_an_outage() {
    let store = PlatformStore::start(500);
    put_server(&store, "i-1");
    put_server(&store, "i-2");
    store.compact_history();
    with_patient_catalog(&store, |catalog| {
        let lost = outcome_of((catalog.watch)(at(1), WAIT)).unwrap_err();
        assert!(matches!(lost, CatalogError::HistoryLost));
        for status in [429, 500, 503] {
            store.set_fault(StoreFault::Refuses(status));
            let refused = outcome_of((catalog.watch)(at(2), WAIT)).unwrap_err();
            assert!(refused.is_unavailable(), "{status}: {refused}");
        }
    });
}

#[test]
fn an_entry_that_cannot_be_read_hides_no_other() {
    let store = PlatformStore::start(500);
    store.put_bytes("servers/i-0", b"no entry");
    store.put_bytes("op/config", b"{\"version\": 1");
    put_server(&store, "i-1");
    with_patient_catalog(&store, |catalog| {
        let snapshot = outcome_of((catalog.list)(true)).unwrap();
        assert_eq!(snapshot.servers.len(), 1);
        assert!(snapshot.bundle.is_none());
    });
}

#[test]
fn a_box_is_announced_under_a_lease_that_can_end() {
    let store = PlatformStore::start(500);
    with_patient_catalog(&store, |catalog| {
        let lease = outcome_of((catalog.announce)(own_record(), None))
            .unwrap()
            .lease;
        let snapshot = outcome_of((catalog.list)(true)).unwrap();
        assert_eq!(snapshot.boxes, [own_record()]);
        assert!(outcome_of((catalog.renew)(lease)).unwrap());
        store.end_lease(lease.id);
        assert!(!outcome_of((catalog.renew)(lease)).unwrap());
        let again = outcome_of((catalog.announce)(own_record(), None)).unwrap();
        assert!(outcome_of((catalog.withdraw)("box-1".into(), again.position)).unwrap());
        assert_eq!(store.keys("wingspur/"), Vec::<String>::new());
    });
}

#[test]
fn a_call_without_a_reply_is_an_outage_and_not_an_answer() {
    let store = PlatformStore::start(500);
    put_server(&store, "i-1");
    store.set_fault(StoreFault::LosesReplies);
    with_patient_catalog(&store, |catalog| {
        assert!(
            outcome_of((catalog.list)(true))
                .unwrap_err()
                .is_unavailable()
        );
        let lost = outcome_of((catalog.announce)(own_record(), None));
        assert!(lost.unwrap_err().is_unavailable());
    });
    store.set_fault(StoreFault::Silent);
    with_catalog(&store, Duration::from_millis(100), |catalog| {
        assert!(
            outcome_of((catalog.list)(true))
                .unwrap_err()
                .is_unavailable()
        );
    });
}

#[test]
fn the_boxes_alone_are_listed_with_their_revision() {
    let store = PlatformStore::start(2);
    put_server(&store, "i-0");
    with_patient_catalog(&store, |catalog| {
        outcome_of((catalog.announce)(own_record(), None)).unwrap();
        let snapshot = outcome_of((catalog.list_boxes)()).unwrap();
        assert_eq!(snapshot.boxes, [own_record()]);
        assert!(snapshot.servers.is_empty() && snapshot.position > at(0));
    });
}

#[test]
fn an_announcement_is_told_anew_under_the_lease_that_stands() {
    let store = PlatformStore::start(2);
    let larger = BoxRecord {
        fleet_boxes: 40,
        ..own_record()
    };
    with_patient_catalog(&store, |catalog| {
        let lease = outcome_of((catalog.announce)(own_record(), None))
            .unwrap()
            .lease;
        let announcing = (catalog.announce)(larger.clone(), Some(lease));
        assert_eq!(outcome_of(announcing).unwrap().lease, lease);
        let snapshot = outcome_of((catalog.list_boxes)()).unwrap();
        assert_eq!(snapshot.boxes, [larger]);
        store.end_lease(lease.id);
        let snapshot = outcome_of((catalog.list_boxes)()).unwrap();
        assert!(snapshot.boxes.is_empty());
    });
}
