//! Parsing of the records that the operator and servers write into the store, and the
//! refusal of invalid ones as a whole.

mod edge;

use edge::{Route, configuration, server_entry};
use serde_json::{Value, json};
use wingspur_platform::{read_bundle, read_server};
use wingspur_state::RouteClass;

fn bundle(change: impl FnOnce(&mut Value)) -> Result<wingspur_state::Bundle, String> {
    let mut value = configuration(7, &[Route::new("read"), Route::new("once_only")]);
    change(&mut value);
    let bytes = serde_json::to_vec(&value).unwrap();
    read_bundle(&bytes).map_err(|error| error.to_string())
}

#[test]
fn a_configuration_becomes_a_bundle() {
    let bundle = bundle(|_| {}).unwrap();
    assert_eq!(bundle.version, 7);
    let route = &bundle.host_routes[1];
    assert_eq!(route.class, RouteClass::OnceOnly);
    assert_eq!((route.timeout_ms, route.max_attempts), (10_000, 2));
    assert_eq!(route.targets[0].service, "svc");
    assert_eq!(bundle.caller_limits.max_head_bytes, 16384);
}

#[test]
fn uploads_run_at_most_once() {
    let bundle = bundle(|value| value["host_routes"][0]["class"] = json!("upload"));
    assert_eq!(bundle.unwrap().host_routes[0].class, RouteClass::OnceOnly);
}

#[test]
fn cold_rate_of_a_service_is_read_and_checked() {
    let rate = |value: Value| {
        let bundle = bundle(|b| b["services"][0]["cold_requests_per_s"] = value)?;
        Ok::<_, String>(bundle.services[0].cold_requests_per_s)
    };
    assert_eq!(rate(json!(5.5)), Ok(Some(5.5)));
    assert_eq!(rate(Value::Null), Ok(None));
    for invalid in [json!(0), json!(-1.0)] {
        let error = rate(invalid).unwrap_err();
        assert!(error.contains("cold_requests_per_s"), "{error}");
    }
}

#[test]
fn weights_become_targets() {
    let bundle = bundle(|value| {
        let route = value["host_routes"][0].as_object_mut().unwrap();
        route.remove("service");
        let targets = json!([
            {"service": "svc", "weight": 90},
            {"service": "svc", "weight": 10},
        ]);
        route.insert("targets".into(), targets);
    });
    let weights: Vec<u32> = bundle.unwrap().host_routes[0]
        .targets
        .iter()
        .map(|target| target.weight)
        .collect();
    assert_eq!(weights, [90, 10]);
}

#[test]
fn each_wrong_configuration_is_refused_whole_with_the_field_and_the_fix() {
    type Change = fn(&mut Value);
    let cases: [(Change, &str); 5] = [
        (|v| v["host_routes"][0]["host"] = json!(""), "host"),
        (
            |v| v["host_routes"][0]["path_prefix"] = json!("/a"),
            "path_prefix",
        ),
        (
            |v| v["host_routes"][0]["service"] = json!("nobody"),
            "service",
        ),
        (|v| v["host_routes"][0]["service"] = Value::Null, "targets"),
        (|v| v["host_routes"][0]["class"] = json!("some"), "class"),
    ];
    for (change, field) in cases {
        let error = bundle(change).unwrap_err();
        let names_field = error.contains(field) || error.contains("unknown variant");
        assert!(names_field, "{field}: {error}");
    }
    let bytes = serde_json::to_vec(&configuration(7, &[])).unwrap();
    assert!(read_bundle(&bytes[..bytes.len() / 2]).is_err());
}

#[test]
fn a_server_is_named_by_its_key_and_leaves_by_its_state() {
    let address = "10.0.0.1:80".parse().unwrap();
    let read = |state: &str| {
        let bytes = serde_json::to_vec(&server_entry(address, state)).unwrap();
        read_server("i-1", &bytes).unwrap()
    };
    assert_eq!(&*read("ready").id, "i-1");
    assert!(!read("ready").leaving);
    assert!(read("leaving").leaving);
    assert!(read_server("i-1", b"{}").is_err());
}
