//! What is logged of requests whose connections end, and of a stop that waits for
//! requests.

mod edge;
mod kept_log;

use std::io::Write;
use std::net::TcpStream;

use edge::{Deployment, Route, wait_until};
use kept_log::KeptLog;
use serde_json::json;
use wingspur_tests::{BackendServer, Reply};

/// The only test of this file, since a process has only one log subscriber.
#[test]
fn the_log_tells_a_callers_close_from_a_stop_that_waits() {
    let log = KeptLog::start();
    let servers = [BackendServer::start(|_| Reply::Silent)];
    let drain = json!({"balancer_lag_ms": 100, "kill_after_s": 2.5});
    let routes = [Route::new("read")];
    let deployment = Deployment::start_with_drain(&servers, &routes, drain);
    let caller = deployment.caller();

    let mut stream = TcpStream::connect(caller.address()).unwrap();
    stream.write_all(b"GET /read/a HTTP/1.1\r\nhost: site.example\r\nx-wingspur-request-id: left\r\n\r\n")
        .unwrap();
    wait_until("the server has the first request", || {
        !servers[0].executed_ids().is_empty()
    });
    drop(stream);
    wait_until("the end of the first request is logged", || {
        log.of_request("left").len() > 1
    });
    let lines = log.of_request("left");
    let last = lines.last().unwrap();
    assert_eq!(last["message"], "request: its caller has gone.");
    assert_eq!(
        (&last["sent"], &last["server"]),
        (&json!(true), &json!("i-0"))
    );
    let ends = log.with_message("listen: a connection ended under a request.");
    assert_eq!(ends.len(), 1, "{ends:?}");
    assert_eq!(
        (&ends[0]["running"], &ends[0]["stopping"]),
        (&json!(1), &json!(false))
    );

    let calling = std::thread::spawn(move || caller.call("read", "waits"));
    wait_until("the server has the second request", || {
        servers[0].executed_ids().len() == 2
    });
    deployment.close();
    calling.join().expect("the caller ends");
    let steps = log.with_message("stop: what is out.");
    let names: Vec<&str> = steps
        .iter()
        .filter_map(|step| step["step"].as_str())
        .collect();
    assert_eq!(names, ["not ready", "listener closed", "waiting", "end"]);
    for step in &steps[..3] {
        assert_eq!(step["requests"], 1, "{step}");
        let oldest = step["oldest"].as_str().unwrap();
        assert!(oldest.starts_with("waits r-read i-0 Sent "), "{oldest}");
    }
}
