//! A box whose machine was suspended for some seconds, which its monotonic clock leaves
//! out: by it the view of the store was still fresh, expired requests still had time, and
//! connections that servers had long closed had been idle for a moment only.

mod edge;

use std::net::TcpListener;
use std::pin::pin;
use std::sync::{Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use edge::{Deployment, Route, configuration, wait_until, with_accounts};
use wingspur_tests::{Answer, BackendServer, Reply, StoreFault, call};
use wingspur_transport::{BackendConnections, BufferBudget, ReusePolicy};

/// Serializes the tests, since they all step the one clock of the process.
static CLOCK: Mutex<()> = Mutex::new(());

fn lock_clock() -> MutexGuard<'static, ()> {
    CLOCK
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn get_with_key(deployment: &Deployment, key: &str) -> Answer {
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
    let _clock = lock_clock();
    let before = wingspur_clock::now();
    let suspended = wingspur_clock::suspended();
    let sleeper = thread::spawn(|| {
        smol::block_on(wingspur_clock::sleep(Duration::from_secs(3600)));
    });
    // However late the sleeper begins to sleep, it wakes at the next step of the clock.
    while !sleeper.is_finished() {
        wingspur_clock::simulate_suspension(Duration::from_secs(7200));
        thread::sleep(Duration::from_millis(5));
    }
    assert!(wingspur_clock::since(before) >= Duration::from_secs(7200));
    assert!(wingspur_clock::was_suspended_since(suspended));
}

#[test]
fn a_deadline_that_passed_in_a_suspension_leaves_the_whole_grace() {
    let _clock = lock_clock();
    let hour = Duration::from_secs(3600);
    smol::block_on(async {
        let deadline = wingspur_clock::now() + hour;
        let mut expired = pin!(wingspur_clock::sleep_past(deadline, hour));
        assert_eq!(smol::future::poll_once(expired.as_mut()).await, None);
        wingspur_clock::simulate_suspension(3 * hour);
        assert_eq!(smol::future::poll_once(expired.as_mut()).await, None);
        wingspur_clock::simulate_suspension(hour);
        expired.await;
    });
}

#[test]
fn a_request_whose_time_is_over_is_answered_at_once() {
    let _clock = lock_clock();
    let server = BackendServer::start(|_| Reply::Silent);
    let route = Route {
        class: "read",
        timeout_ms: 60_000,
    };
    let servers = [server];
    let deployment = Deployment::start(&servers, &[route]);
    let answer = thread::scope(|scope| {
        let caller = scope.spawn(|| get_with_key(&deployment, ""));
        wait_until("the server has the request", || {
            !servers[0].heads().is_empty()
        });
        wingspur_clock::simulate_suspension(Duration::from_secs(90));
        caller.join().expect("the caller does not panic")
    });
    assert_eq!(answer.status, 504);
}

#[test]
fn a_box_that_was_suspended_says_nothing_final_by_its_old_news() {
    let _clock = lock_clock();
    let servers = [BackendServer::start(|_| Reply::Complete)];
    let bundle = configuration(1, &[Route::new("read")]);
    let bundle = with_accounts(bundle, &[("school", &["key-a"])]);
    let deployment = Deployment::start_configured(&servers, &bundle);
    wait_until("the box's view of the store is fresh", || {
        get_with_key(&deployment, "key-z").status == 401
    });
    // A watch in progress ends as usual and the next one hangs. By the monotonic clock,
    // the box's view of the store is then still only a moment old.
    deployment.store.set_fault(StoreFault::Silent);
    thread::sleep(Duration::from_secs(1));
    wingspur_clock::simulate_suspension(Duration::from_secs(10));
    let answer = get_with_key(&deployment, "key-z");
    assert_eq!(answer.status, 503, "the key may have been added meanwhile");
    assert_eq!(get_with_key(&deployment, "key-a").status, 200);
}

#[test]
fn a_connection_that_rested_while_suspended_is_not_used() {
    let _clock = lock_clock();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let backend = BackendConnections::new(address, BufferBudget::unlimited());
    let timeout = Duration::from_secs(10);
    smol::block_on(async {
        let first = backend.connect(ReusePolicy::Any, None, timeout).await;
        backend.release(first.expect("the server accepts"));
        let reused = backend.connect(ReusePolicy::Any, None, timeout).await;
        backend.release(reused.expect("the server accepts"));
        assert_eq!(backend.opened(), 1, "an idle connection is reused");
        wingspur_clock::simulate_suspension(Duration::from_secs(30));
        let fresh = backend.connect(ReusePolicy::Any, None, timeout).await;
        assert!(fresh.is_ok());
        assert_eq!(backend.opened(), 2);
    });
}
