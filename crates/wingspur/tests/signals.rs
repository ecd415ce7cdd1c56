//! The program and the signals that stop it.

mod program;

use std::process::Stdio;
use std::time::Duration;

use program::{Program, wait_until};
use rustix::process::Signal;
use serde_json::json;
use wingspur_tests::{Answer, Reply, call};

/// Two rollouts at once may both tell a box to stop. The second signal ended it on the spot,
/// as a person at a terminal wants it: what was out was cut, and no line said so.
#[test]
fn a_second_order_to_stop_cuts_nothing() {
    let (answer, code) = stop_twice(Signal::TERM);
    assert_eq!(answer.status, 504);
    assert_eq!(code, Some(0));
}

/// A settings file may change while a box stops.
#[test]
fn a_reload_within_a_stop_cuts_nothing() {
    let (answer, code) = stop_twice(Signal::HUP);
    assert_eq!(answer.status, 504);
    assert_eq!(code, Some(0));
}

/// A box that stands still within its stop answers what it can before it would be killed.
#[test]
fn a_pause_within_a_stop_cuts_nothing() {
    let (answer, code) = stop_twice(Signal::STOP);
    assert_eq!(answer.status, 504);
    assert_eq!(code, Some(0));
}

#[test]
fn a_person_may_end_a_stop_at_once() {
    let (answer, code) = stop_twice(Signal::INT);
    assert_eq!(answer.status, 0);
    assert_eq!(code, Some(1));
}

/// Tells a box to stop, and again by another signal, while a request is out at a silent
/// server; what the caller was told, and the exit code.
fn stop_twice(second: Signal) -> (Answer, Option<i32>) {
    let drain = json!({"balancer_lag_ms": 1000, "kill_after_s": 4.0});
    let mut running = Program::start(Reply::Silent, &drain, Stdio::null());
    let callers = running.callers;
    let calling = std::thread::spawn(move || {
        let headers = [("host", "site.example"), ("x-wingspur-request-id", "id-1")];
        call(callers, "GET", "/a", &headers, b"")
    });
    wait_until("the server has it", || {
        !running.server.executed_ids().is_empty()
    });
    running.signal(Signal::TERM);
    wait_until("it is stopping", || running.get("/ready").status == 503);
    running.signal(second);
    if second == Signal::STOP {
        std::thread::sleep(PAUSE);
        running.signal(Signal::CONT);
    }
    let code = running.wait();
    (calling.join().expect("the caller ends"), code)
}

const PAUSE: Duration = Duration::from_millis(800);
