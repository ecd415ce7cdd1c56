//! The program with nobody who reads its log.

mod program;

use std::process::Stdio;

use program::{Program, wait_until};
use serde_json::json;
use wingspur_tests::{Reply, call};

#[test]
fn a_log_that_nobody_reads_holds_up_no_request() {
    let running = Program::start(Reply::Complete, &json!({}), Stdio::piped());
    // A pipe holds 64 KiB and the queue 4096 lines: two lines a request fill both.
    let dropped = || {
        let metrics = String::from_utf8(running.get("/metrics").body).unwrap();
        !metrics.contains("wingspur_dropped_log_lines 0")
    };
    let mut sent = 0;
    wait_until("lines are dropped", || {
        for _ in 0..500 {
            let id = format!("id-{sent}");
            let headers = [("host", "site.example"), ("x-wingspur-request-id", &id)];
            let answer = call(running.callers, "GET", "/a", &headers, b"");
            assert_eq!(answer.status, 200, "request {sent}");
            sent += 1;
        }
        dropped()
    });
}
