//! Boxes that read the platform's store: their readiness, and how they follow its
//! changes.

mod edge;

use std::time::Duration;

use edge::{Deployment, Route, configuration, server_entry, start_box, wait_until};
use wingspur_edge::EdgeBox;
use wingspur_tests::{BackendServer, PlatformStore, Reply, StoreFault};
use wingspur_transport::Workers;

const ROUTES: fn() -> [Route; 2] = || [Route::new("read"), Route::new("once_only")];

/// Some boxes that read one store with one server.
struct Boxes {
    store: PlatformStore,
    server: BackendServer,
    boxes: Vec<EdgeBox>,
    workers: Workers,
}

impl Boxes {
    fn start(count: usize) -> Self {
        let store = PlatformStore::start(500);
        let server = BackendServer::start(|_| Reply::Complete);
        store.put("op/config", &configuration(1, &ROUTES()));
        let entry = server_entry(server.address, "ready");
        store.put("servers/i-0", &entry);
        let workers = Workers::start(2);
        let boxes: Vec<EdgeBox> = (0..count)
            .map(|n| start_box(&format!("box-{n}"), &store, &workers))
            .collect();
        wait_until("all boxes are ready", || {
            boxes.iter().all(EdgeBox::is_ready)
        });
        Self {
            store,
            server,
            boxes,
            workers,
        }
    }

    fn all_have(&self, version: u64) -> bool {
        self.boxes
            .iter()
            .all(|running| running.bundle_version() >= version)
    }

    fn close(self) {
        for running in self.boxes {
            smol::block_on(running.close());
        }
        self.workers.close();
    }
}

#[test]
fn a_box_without_a_configuration_is_not_ready_and_promises_nothing_ran() {
    let store = PlatformStore::start(500);
    let workers = Workers::start(1);
    let running = start_box("box-1", &store, &workers);
    assert!(!running.is_ready());
    let headers = [("host", "site.example"), ("x-wingspur-request-id", "id-1")];
    let address = running.caller_address();
    let response = wingspur_tests::call(address, "GET", "/read/a", &headers, b"");
    assert_eq!(response.status, 503);
    assert!(response.headers.contains_key("retry-after"));
    smol::block_on(running.close());
    workers.close();
}

/// After a loss of all boxes each refused the requests that came before its first bundle,
/// and most callers did not send them again.
#[test]
fn requests_wait_for_the_first_bundle_of_a_box_that_starts() {
    let store = PlatformStore::start(500);
    let server = BackendServer::start(|_| Reply::Complete);
    let workers = Workers::start(2);
    let running = start_box("box-1", &store, &workers);
    let address = running.caller_address();
    let headers = [("host", "site.example"), ("x-wingspur-request-id", "id-1")];
    let response = std::thread::scope(|scope| {
        let caller = scope
            .spawn(|| wingspur_tests::call(address, "GET", "/read/a", &headers, b""));
        std::thread::sleep(Duration::from_millis(200));
        store.put("servers/i-0", &server_entry(server.address, "ready"));
        store.put("op/config", &configuration(1, &ROUTES()));
        caller.join().expect("the caller does not panic")
    });
    assert_eq!(response.status, 200);
    smol::block_on(running.close());
    workers.close();
}

#[test]
fn versions_never_go_back() {
    let boxes = Boxes::start(1);
    boxes.store.put("op/config", &configuration(9, &ROUTES()));
    wait_until("version 9", || boxes.all_have(9));
    boxes
        .store
        .put("op/config", &configuration(8, &[Route::new("read")]));
    boxes.store.put("op/config", &configuration(10, &ROUTES()));
    wait_until("version 10", || boxes.all_have(10));
    assert_eq!(boxes.boxes[0].bundle_version(), 10);
    boxes.close();
}

#[test]
fn a_configuration_that_cannot_be_read_leaves_the_last_good_one() {
    let boxes = Boxes::start(1);
    boxes
        .store
        .put_bytes("op/config", b"{\"version\": 5, \"host");
    boxes.store.put("op/config", &configuration(6, &ROUTES()));
    wait_until("version 6", || boxes.all_have(6));
    let headers = [("host", "site.example"), ("x-wingspur-request-id", "id-1")];
    let address = boxes.boxes[0].caller_address();
    let response = wingspur_tests::call(address, "GET", "/read/a", &headers, b"");
    assert_eq!(response.status, 200);
    boxes.close();
}

#[test]
fn boxes_follow_changes_over_their_hub() {
    let boxes = Boxes::start(5);
    let mut version = 1;
    let mut costs_one_watch = || {
        version += 1;
        let before = boxes.store.calls("/-/kv-watch");
        boxes
            .store
            .put("op/config", &configuration(version, &ROUTES()));
        wait_until("all boxes have the version", || boxes.all_have(version));
        boxes.store.calls("/-/kv-watch") - before <= 2
    };
    // At first each box watches the store itself; once linked, one watches for all.
    wait_until("one box watches for all", || {
        (0..3).all(|_| costs_one_watch())
    });
    boxes.close();
}

#[test]
fn a_lost_history_costs_no_change() {
    let boxes = Boxes::start(3);
    boxes.store.set_fault(StoreFault::Refuses(503));
    boxes.store.put("op/config", &configuration(4, &ROUTES()));
    boxes.store.remove("servers/i-0");
    let entry = server_entry(boxes.server.address, "ready");
    boxes.store.put("servers/i-new", &entry);
    boxes.store.compact_history();
    boxes.store.set_fault(StoreFault::None);
    wait_until("version 4", || boxes.all_have(4));
    let headers = [("host", "site.example"), ("x-wingspur-request-id", "id-1")];
    let served = || {
        let address = boxes.boxes[0].caller_address();
        wingspur_tests::call(address, "GET", "/read/a", &headers, b"");
        let heads = boxes.server.heads();
        heads.iter().any(|head| {
            head.headers
                .get("x-wingspur-expected-instance")
                .map(String::as_str)
                == Some("i-new")
        })
    };
    wait_until("the new server gets work", served);
    boxes.close();
}

#[test]
fn a_box_goes_on_serving_while_the_store_is_away() {
    let boxes = Boxes::start(2);
    boxes.store.set_fault(StoreFault::Silent);
    let headers = [("host", "site.example"), ("x-wingspur-request-id", "id-1")];
    for running in &boxes.boxes {
        for _ in 0..5 {
            let address = running.caller_address();
            let response = wingspur_tests::call(address, "GET", "/read/a", &headers, b"");
            assert_eq!(response.status, 200);
        }
    }
    boxes.store.set_fault(StoreFault::None);
    boxes.close();
}

#[test]
fn a_leaving_server_gets_no_new_work() {
    let servers = [
        BackendServer::start(|_| Reply::Complete),
        BackendServer::start(|_| Reply::Complete),
    ];
    let deployment = Deployment::start(&servers, &ROUTES());
    deployment.announce("i-0", servers[0].address, "leaving");
    let before = servers[0].heads().len();
    for n in 0..20 {
        assert_eq!(deployment.call("read", &format!("id-{n}")).status, 200);
    }
    assert_eq!(servers[0].heads().len(), before);
    deployment.close();
}

#[test]
fn the_operator_port_tells_readiness_status_and_metrics() {
    let boxes = Boxes::start(1);
    let get = |path: &str| {
        let address = boxes.boxes[0].operator_address();
        wingspur_tests::call(address, "GET", path, &[("host", "box")], b"")
    };
    assert_eq!(get("/ready").status, 200);
    let status: serde_json::Value = serde_json::from_slice(&get("/status").body).unwrap();
    assert_eq!(status["bundle_version"], 1);
    let headers = [("host", "site.example"), ("x-wingspur-request-id", "id-1")];
    let address = boxes.boxes[0].caller_address();
    wingspur_tests::call(address, "GET", "/read/a", &headers, b"");
    let metrics = String::from_utf8(get("/metrics").body).unwrap();
    for expected in [
        "wingspur_answers_total{service=\"svc\",status=\"2xx\"} 1",
        "wingspur_attempts_total{end=\"good\",service=\"svc\"} 1",
        "wingspur_request_seconds_count{service=\"svc\"} 1",
        "wingspur_not_retried_total{reason=\"budget_spent\"} 0",
        "wingspur_dropped_log_lines 0",
    ] {
        assert!(metrics.contains(expected), "{expected} in\n{metrics}");
    }
    boxes.close();
}
