//! The line with the outcome of a refused request names all its attempts.

mod edge;
mod kept_log;

use std::io::Write;
use std::time::Duration;

use edge::{Deployment, Route};
use kept_log::KeptLog;
use serde_json::Value;
use wingspur_bench::{Fleet, small_zagreb};
use wingspur_tests::{BackendServer, Reply, call, listen};
use wingspur_transport::Workers;

/// The only test of this file, because a process has one log subscriber.
#[test]
fn a_promise_is_logged_with_all_attempts_that_it_rests_on() {
    let log = KeptLog::start();
    let servers = [0, 1].map(|_| BackendServer::start(|_| Reply::Refused));
    let deployment = Deployment::start(&servers, &[Route::new("once_only")]);
    assert_eq!(deployment.call("once_only", "both-refuse").status, 503);
    let lines = log.of_request("both-refuse");
    let attempts = attempts_of(&lines, "request: refused.");
    for server in ["i-0", "i-1"] {
        let of_server = attempts.iter().find(|text| text.starts_with(server));
        assert_names_all(of_server.expect("each server has an attempt"));
    }
    deployment.close();

    let server = listen(|_, out| {
        out.write_all(b"HTTP/1.1 503 Status\r\ncontent-length: 2\r\n\r\nno")
            .is_ok()
    });
    let own_sources = Workers::start(2);
    smol::block_on(async {
        let spawner = own_sources.spawner();
        let mut fleet = Fleet::start(small_zagreb(1), &spawner).await.unwrap();
        let publishing = fleet.publish_next(|bundle| {
            let pages = &mut bundle.services[0];
            pages.servers.truncate(1);
            pages.servers[0].address = server;
        });
        let version = publishing.await.unwrap();
        assert!(fleet.wait_in_force(version, Duration::from_secs(20)).await);
        let address = fleet.caller_addresses()[0];
        let headers = [("host", "x"), ("x-request-id", "own-sources")];
        let answer = call(address, "GET", "/exam/p", &headers, b"");
        assert_eq!(answer.status, 503);
        fleet.close().await;
    });
    own_sources.close();
    let lines = log.of_request("own-sources");
    let attempts = attempts_of(&lines, "proxy: refused.");
    assert_names_all(&attempts[0]);
}

/// Returns what the only line with this message says of each attempt.
fn attempts_of(lines: &[Value], message: &str) -> Vec<String> {
    let mut lines = lines.iter().filter(|line| line["message"] == message);
    let line = lines.next().expect("the outcome is logged");
    assert!(lines.next().is_none(), "there is one outcome");
    let text = line["attempts"].as_str().unwrap();
    text.split("; ").map(str::to_owned).collect()
}

fn assert_names_all(attempt: &str) {
    for field in [
        " sent_ms=",
        " timeout_ms=",
        " connection=127.0.0.1:",
        " earlier_requests=0 ",
        " earlier_errors=0 ",
        " is_repeated=false ",
        " received_ms=",
        " read_ms=",
        " held_ms=",
        " round_trip_us=",
        " status=503",
        " evidence=not_run",
        " end=RefusedBeforeRunning",
    ] {
        assert!(attempt.contains(field), "{field} is missing: {attempt}");
    }
}
