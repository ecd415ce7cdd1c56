//! Store entries written by other programs: an unreadable entry is not used, and does not
//! prevent the other entries from being read.

mod edge;

use std::time::{Duration, Instant};

use edge::{Deployment, Route, configuration, server_entry, with_accounts};
use proptest::prelude::*;
use serde_json::{Value, json};
use wingspur_platform::{catalog, read_box, read_bundle, read_server};
use wingspur_protocol::CatalogChange;
use wingspur_state::{RegistryChange, ServerRegistry, StorePosition};
use wingspur_tests::{BackendServer, PlatformStore, Reply};
use wingspur_transport::{FaultInjector, HttpClient, Workers};

fn entry() -> Value {
    let mut entry = server_entry("10.0.0.1:80".parse().unwrap(), "ready");
    entry["born"] = json!(1_700_000_000_000u64);
    entry
}

fn announcement() -> Value {
    json!({
        "id": "box-1",
        "data_centre": "dc-1",
        "peer_address": "10.0.0.2:7000",
        "incarnation": 3,
        "capacity": 20,
        "fleet_boxes": 40,
    })
}

fn bundle() -> Value {
    let plain = configuration(3, &[Route::new("read"), Route::new("once_only")]);
    let mut bundle = with_accounts(plain, &[("school", &["key-a"])]);
    bundle["client_accounts"][0]["requests_per_s"] = json!(10.0);
    bundle["client_accounts"][0]["burst"] = json!(5);
    bundle["client_accounts"][0]["priority"] = json!(1);
    bundle
}

fn bytes(value: &Value) -> Vec<u8> {
    serde_json::to_vec(value).unwrap()
}

#[test]
fn a_server_entry_that_is_not_whole_and_sound_is_refused() {
    assert!(read_server("i-1", &bytes(&entry())).is_ok());
    let spoiled: [(&str, Value); 15] = [
        ("service", Value::Null),
        ("service", json!(7)),
        ("address", json!("here")),
        ("address", json!("0.0.0.0:80")),
        ("address", json!("10.0.0.1:0")),
        ("data_centre", json!(["dc-1"])),
        ("slots", json!(0)),
        ("slots", json!(4_294_967_295u64)),
        ("slots", json!("3")),
        ("slots", json!(-1)),
        ("state", json!("resting")),
        ("state", json!("")),
        ("cold_ms", json!(31_536_000_000u64)),
        ("born", json!(1.5)),
        ("born", json!("yesterday")),
    ];
    for (field, value) in spoiled {
        let mut entry = entry();
        entry[field] = value.clone();
        let read = read_server("i-1", &bytes(&entry));
        assert!(read.is_err(), "{field}: {value}");
    }
    for field in ["service", "address", "data_centre", "slots", "state"] {
        let mut entry = entry();
        entry.as_object_mut().unwrap().remove(field);
        assert!(read_server("i-1", &bytes(&entry)).is_err(), "no {field}");
    }
    for raw in [
        &b"\xff\xfe"[..],
        b"",
        b"[]",
        b"null",
        b"{}",
        b"{\"service\":",
    ] {
        assert!(read_server("i-1", raw).is_err());
    }
}

#[test]
fn a_box_that_is_announced_under_another_id_links_nowhere() {
    assert!(read_box("box-1", &bytes(&announcement())).is_ok());
    assert!(read_box("box-2", &bytes(&announcement())).is_err());
    let spoiled = [
        ("peer_address", json!("0.0.0.0:7000")),
        ("peer_address", json!("10.0.0.2:0")),
        ("fleet_boxes", json!(4_000_000_000u32)),
        ("incarnation", json!("first")),
    ];
    for (field, value) in spoiled {
        let mut record = announcement();
        record[field] = value;
        assert!(read_box("box-1", &bytes(&record)).is_err(), "{field}");
    }
}

#[test]
fn each_wrong_account_is_refused_with_the_field_and_the_fix() {
    assert!(read_bundle(&bytes(&bundle())).is_ok());
    let two = json!([
        {"name": "a", "keys": ["same"]},
        {"name": "b", "keys": ["same"]},
    ]);
    let twice = json!([{"name": "a", "keys": []}, {"name": "a", "keys": []}]);
    let cases = [
        (two, "give each key to one account"),
        (twice, "rename one of them"),
        (json!([{"name": "", "keys": []}]), "visible ASCII"),
        (json!([{"name": "a b", "keys": []}]), "visible ASCII"),
        (json!([{"name": "a\r\nx: y", "keys": []}]), "visible ASCII"),
        (
            json!([{"name": "a", "keys": [], "requests_per_s": -1.0}]),
            "use 0, for no limit",
        ),
        (json!([{"name": "a"}]), "keys"),
    ];
    for (accounts, fix) in cases {
        let mut wrong = bundle();
        wrong["client_accounts"] = accounts.clone();
        let error = read_bundle(&bytes(&wrong)).unwrap_err().to_string();
        assert!(error.contains(fix), "{accounts}: {error}");
        assert!(!error.contains("same`"), "the error shows a key: {error}");
    }
}

#[test]
fn every_tenth_of_three_hundred_entries_is_spoiled_and_the_others_hold() {
    let store = PlatformStore::start(100);
    for n in 0..300 {
        let key = format!("servers/i-{n:03}");
        match n % 10 {
            0 => store.put_bytes(&key, b"\xff\x00 no entry"),
            _ => store.put(&key, &entry()),
        };
    }
    let workers = Workers::start(1);
    let exchange = HttpClient::new(workers.spawner(), FaultInjector::default());
    let wait = Duration::from_secs(20);
    let catalog = catalog(store.address, exchange.into(), wait, wait);
    let snapshot = smol::block_on((catalog.list)(true)).outcome.unwrap();
    assert_eq!(snapshot.servers.len(), 270);
    workers.close();
}

#[test]
fn an_entry_that_becomes_unreadable_names_no_server_any_more() {
    let servers = [
        BackendServer::start(|_| Reply::Complete),
        BackendServer::start(|_| Reply::Complete),
    ];
    let deployment = Deployment::start(&servers, &[Route::new("read")]);
    deployment.store.put_bytes("servers/i-0", b"\xff");
    deployment.wait_for_updates();
    let before = servers[0].heads().len();
    for n in 0..20 {
        assert_eq!(deployment.call("read", &format!("id-{n}")).status, 200);
    }
    assert_eq!(servers[0].heads().len(), before);
    deployment.announce("i-0", servers[0].address, "ready");
    edge::wait_until("the server's own entry is used again", || {
        assert_eq!(deployment.call("read", "again").status, 200);
        servers[0].heads().len() > before
    });
    deployment.close();
}

#[test]
fn a_server_that_starts_again_under_its_id_is_another_run() {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    let instance = |born: u64| {
        let mut entry = entry();
        entry["born"] = json!(born);
        read_server("i-1", &bytes(&entry)).unwrap()
    };
    let (first, second) = (instance(1_000), instance(2_000));
    assert_ne!(first.key(), second.key());
    assert_eq!(first.key(), instance(1_000).key());
    registry.put(first.clone());
    let restarted = RegistryChange::Restarted {
        before: first.clone(),
        record: second.clone(),
    };
    assert!(!registry.is_current(&second));
    assert_eq!(registry.put(second.clone()), Some(restarted));
    assert!(
        registry.is_current(&first),
        "an earlier instance changes nothing"
    );
    assert_eq!(registry.put(first), None);
    assert_eq!(registry.put(second.clone()), None);
    assert_eq!(registry.listed().collect::<Vec<_>>(), [&second]);
    let listed = registry.replace(vec![instance(1_500)], now);
    assert_eq!(listed, []);
    assert_eq!(registry.listed().collect::<Vec<_>>(), [&second]);
}

/// A value to put in place of a field, or `None` to leave the field out.
fn spoil() -> impl Strategy<Value = Option<Value>> {
    let value = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,12}".prop_map(Value::from),
        Just(json!([])),
        Just(json!({"a": 1})),
    ];
    proptest::option::of(value)
}

/// Replaces or removes one field of an entry, and returns the encoded entry.
fn spoiled(mut entry: Value, field: usize, with: Option<Value>) -> Vec<u8> {
    let map = entry.as_object_mut().unwrap();
    let name = map.keys().nth(field % map.len()).unwrap().clone();
    match with {
        Some(value) => map.insert(name, value),
        None => map.remove(&name),
    };
    bytes(&entry)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(20_000))]

    #[test]
    fn whatever_stands_in_an_entry_is_read_soundly_or_refused(
        field in 0usize..16,
        with in spoil(),
        cut in 0usize..400,
        flipped in any::<u8>(),
    ) {
        for value in [entry(), announcement(), bundle()] {
            let complete = spoiled(value, field, with.clone());
            let mut altered = complete.clone();
            let at = cut % altered.len();
            altered[at] ^= flipped;
            for raw in [&complete[..], &complete[..at], &altered] {
                if let Ok(server) = read_server("i-1", raw) {
                    prop_assert!((1..=100_000).contains(&server.slots));
                    prop_assert!(server.cold_ms <= 3_600_000);
                    prop_assert!(server.address.port() != 0);
                }
                if let Ok(record) = read_box("box-1", raw) {
                    prop_assert_eq!(&*record.id, "box-1");
                }
                let _ = read_bundle(raw);
            }
        }
    }
}

#[test]
fn a_watch_tells_of_a_spoiled_entry_as_of_one_that_is_gone() {
    let store = PlatformStore::start(100);
    store.put("servers/i-1", &entry());
    store.put_bytes("servers/i-1", b"{\"service\":");
    store.put_bytes("wingspur/boxes/box-9", b"{\"id\":\"box-1\"}");
    let workers = Workers::start(1);
    let exchange = HttpClient::new(workers.spawner(), FaultInjector::default());
    let wait = Duration::from_secs(20);
    let catalog = catalog(store.address, exchange.into(), wait, wait);
    let watched = (catalog.watch)(StorePosition::new(1, 1), Duration::from_millis(50));
    let changes = smol::block_on(watched).outcome.unwrap().changes;
    let gone = [
        CatalogChange::ServerGone("i-1".into()),
        CatalogChange::BoxGone("box-9".into()),
    ];
    assert_eq!(changes, gone);
    workers.close();
}
