//! A box whose machine was suspended for some seconds: its steady clock knows nothing of it.
//!
//! By that clock, its news of the store was as fresh as before, callers whose time was over
//! were still waiting, and connections that servers had long closed had rested for a moment.

mod edge;

use std::net::TcpListener;
use std::sync::{Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use edge::{Deployment, Route, configuration, wait_until, with_accounts};
use wingspur_tests::{Answer, BackendServer, Reply, StoreFault, call};
use wingspur_transport::{BackendConnections, ReusePolicy};

/// The clock is the process's: tests that step it take turns.
static TURN: Mutex<()> = Mutex::new(());

fn turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(|broken| broken.into_inner())
}

fn ask(deployment: &Deployment, key: &str) -> Answer {
    let authorization = format!("Bearer {key}");
    let headers = [
        ("host", "site.example"),
        ("x-wingspur-request-id", "id-1"),
        ("x-wingspur-request-deadline-ms", "60000"),
        ("authorization", &authorization),
    ];
    call(
        deployment.caller().address(),
        "GET",
        "/read/a",
        &headers,
        b"",
    )
}

#[test]
fn time_goes_on_and_sleepers_wake() {
    let _turn = turn();
    let before = wingspur_clock::now();
    let suspended = wingspur_clock::suspended();
    let sleeper = thread::spawn(|| {
        smol::block_on(wingspur_clock::sleep(Duration::from_secs(3600)));
    });
    // However late the sleeper lies down, it wakes at the first step after that.
    while !sleeper.is_finished() {
        wingspur_clock::simulate_suspension(Duration::from_secs(7200));
        thread::sleep(Duration::from_millis(5));
    }
    assert!(wingspur_clock::since(before) >= Duration::from_secs(7200));
    assert!(wingspur_clock::was_suspended_since(suspended));
}

#[test]
fn a_request_whose_time_is_over_is_answered_at_once() {
    let _turn = turn();
    let server = BackendServer::start(|_| Reply::Silent);
    let route = Route {
        class: "read",
        timeout_ms: 60_000,
    };
    let servers = [server];
    let deployment = Deployment::start(&servers, &[route]);
    let answer = thread::scope(|scope| {
        let asking = scope.spawn(|| ask(&deployment, ""));
        wait_until("it is out", || !servers[0].heads().is_empty());
        wingspur_clock::simulate_suspension(Duration::from_secs(90));
        asking.join().expect("it does not panic")
    });
    assert_eq!(answer.status, 504);
}

#[test]
fn a_box_that_was_suspended_says_nothing_final_by_its_old_news() {
    let _turn = turn();
    let servers = [BackendServer::start(|_| Reply::Whole)];
    let bundle = configuration(1, &[Route::new("read")]);
    let bundle = with_accounts(bundle, &[("school", &["key-a"])]);
    let deployment = Deployment::start_configured(&servers, &bundle);
    wait_until("its news is fresh", || {
        ask(&deployment, "key-z").status == 401
    });
    // A watch that is under way ends as usual; the next one hangs, and the box's news is of
    // a moment ago by its steady clock.
    deployment.store.set_fault(StoreFault::Silent);
    thread::sleep(Duration::from_secs(1));
    wingspur_clock::simulate_suspension(Duration::from_secs(10));
    let answer = ask(&deployment, "key-z");
    assert_eq!(answer.status, 503, "a key that came meanwhile may be its");
    assert_eq!(ask(&deployment, "key-a").status, 200);
}

#[test]
fn a_connection_that_rested_while_suspended_is_not_used() {
    let _turn = turn();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let backend = BackendConnections::new(address);
    let timeout = Duration::from_secs(10);
    smol::block_on(async {
        let first = backend.connect(ReusePolicy::Any, timeout).await;
        backend.release(first.expect("it listens"));
        let again = backend.connect(ReusePolicy::Any, timeout).await;
        backend.release(again.expect("it listens"));
        assert_eq!(backend.opened(), 1, "it is used again");
        wingspur_clock::simulate_suspension(Duration::from_secs(30));
        let fresh = backend.connect(ReusePolicy::Any, timeout).await;
        assert!(fresh.is_ok());
        assert_eq!(backend.opened(), 2);
    });
}
