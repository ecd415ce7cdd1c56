//! A box that says it is ready knows the servers of all services.

mod edge;

use edge::{Caller, Route, any_address, configuration, server_entry};
use serde_json::json;
use wingspur_tests::{BackendServer, PlatformStore, Reply};
use wingspur_transport::Workers;

/// Guards against requests that come while the servers of their service are still being
/// added, and are told that there is none.
#[test]
fn box_is_ready_only_once_each_service_has_its_servers() {
    let server = BackendServer::start(|_| Reply::Complete);
    let store = PlatformStore::start(500);
    let mut configured = configuration(1, &[Route::new("read")]);
    let other = json!({"name": "other", "server_connections": 100});
    configured["services"].as_array_mut().unwrap().push(other);
    store.put("op/config", &configured);
    for n in 0..OTHER_SERVERS {
        let mut entry = server_entry(any_address(), "ready");
        entry["service"] = json!("other");
        store.put(&format!("servers/a-{n}"), &entry);
    }
    store.put("servers/z", &server_entry(server.address, "ready"));
    let workers = Workers::start(2);
    for n in 0..BOXES {
        let running = edge::start_box(&format!("box-{n}"), &store, &workers);
        while !running.is_ready() {
            std::thread::yield_now();
        }
        let answer = Caller::of(&running).call("read", "first");
        assert_eq!(answer.status, 200, "box {n}: {answer:?}");
        smol::block_on(running.close());
    }
    workers.close();
}

/// Enough that adding them takes longer than a request.
const OTHER_SERVERS: usize = 1_500;
const BOXES: usize = 4;
