//! A request whose time ends while its connection opens is refused and not sent.

mod edge;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use edge::{Caller, Route, configuration, server_entry, wait_until};
use wingspur_tests::{BackendServer, PlatformStore, Reply, call};
use wingspur_transport::{Spawner, Workers};

const DEADLINE_MS: u64 = 50;

/// Blocks the worker again and again, each time for longer than a request has.
async fn block_worker(is_over: Arc<AtomicBool>) {
    while !is_over.load(Ordering::Acquire) {
        std::thread::sleep(Duration::from_millis(2 * DEADLINE_MS));
        smol::future::yield_now().await;
    }
}

fn call_while_blocked(spawner: &Spawner, to: SocketAddr, id: &str) -> u16 {
    let is_over = Arc::new(AtomicBool::new(false));
    spawner.detach(block_worker(is_over.clone()));
    let deadline_ms = DEADLINE_MS.to_string();
    let headers = [
        ("host", "site.example"),
        ("x-wingspur-request-id", id),
        ("x-wingspur-request-deadline-ms", deadline_ms.as_str()),
    ];
    let answer = call(to, "POST", "/once_only/a", &headers, b"");
    is_over.store(true, Ordering::Release);
    answer.status
}

#[test]
fn a_request_whose_time_ends_while_its_connection_opens_is_refused() {
    let store = PlatformStore::start(500);
    store.put("op/config", &configuration(1, &[Route::new("once_only")]));
    let server = BackendServer::start(|_| Reply::Complete);
    store.put("servers/i-0", &server_entry(server.address, "ready"));
    let workers = Workers::start(1);
    let running = edge::start_box("box-1", &store, &workers);
    let caller = Caller::of(&running);
    wait_until("the box serves", || {
        caller.call("once_only", "first").status == 200
    });
    for n in 0..10 {
        let id = format!("late-{n}");
        let status = call_while_blocked(&workers.spawner(), caller.address(), &id);
        assert!(matches!(status, 503 | 200), "{id}: {status}");
        let arrived = server.arrivals().iter().any(|(_, arrived)| *arrived == id);
        assert_eq!(arrived, status == 200, "{id}: {status}");
    }
    smol::block_on(running.close());
    workers.close();
}
