//! The program with nobody who reads its log.

use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::json;
use wingspur_tests::{BackendServer, PlatformStore, Reply, call};

/// A running box, ended by its id whatever the test does.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < Duration::from_secs(60), "never: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_log_that_nobody_reads_holds_up_no_request() {
    let store = PlatformStore::start(500);
    let server = BackendServer::start(|_| Reply::Whole);
    store.put(
        "op/config",
        &json!({
            "version": 1,
            "host_routes": [{
                "name": "r", "host": "site.example", "path_prefix": "/",
                "class": "read", "timeout_ms": 10_000, "target_latency_ms": 1000,
                "priority": 1, "max_attempts": 2, "service": "svc",
            }],
            "services": [{"name": "svc", "server_connections": 100}],
            "limits": {
                "max_head_bytes": 16384, "max_body_bytes": 1048576,
                "head_timeout_ms": 3000, "idle_timeout_ms": 15000,
            },
        }),
    );
    store.put(
        "servers/i-1",
        &json!({
            "service": "svc", "address": server.address, "data_centre": "dc-1",
            "slots": 64, "state": "ready", "cold_ms": 0,
        }),
    );
    let (callers, operators) = (free_address(), free_address());
    let settings = json!({
        "box_id": "box-1", "data_centre": "dc-1", "fleet": "test",
        "caller_address": callers, "peer_address": free_address(),
        "operator_address": operators,
        "catalog": {"form": "kv", "store_address": store.address},
        "log": {"format": "json", "filter": "info"},
    });
    let path = std::env::temp_dir().join(format!("wingspur-{}.json", std::process::id()));
    std::fs::write(&path, settings.to_string()).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_wingspur"))
        .arg("run")
        .arg(&path)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let _running = Running(child);
    let get = |path: &str| call(operators, "GET", path, &[("host", "box")], b"");
    let up = || std::net::TcpStream::connect(operators).is_ok();
    wait_until("the box is up", || up() && get("/ready").status == 200);
    // A pipe holds 64 KiB and the queue 4096 lines: two lines a request fill both.
    let dropped = || {
        let metrics = String::from_utf8(get("/metrics").body).unwrap();
        !metrics.contains("wingspur_dropped_log_lines 0")
    };
    let mut sent = 0;
    wait_until("lines are dropped", || {
        for _ in 0..500 {
            let id = format!("id-{sent}");
            let headers = [("host", "site.example"), ("x-wingspur-request-id", &id)];
            let answer = call(callers, "GET", "/a", &headers, b"");
            assert_eq!(answer.status, 200, "request {sent}");
            sent += 1;
        }
        dropped()
    });
    std::fs::remove_file(&path).unwrap();
}
