//! What a planned stop does to the requests in flight, and how long it takes.

mod edge;

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

use edge::{Caller, Deployment, Route, configuration, server_entry};
use serde_json::json;
use wingspur_edge::{Settings, parse_settings};
use wingspur_tests::{Answer, BackendServer, PlatformStore, Reply};
use wingspur_transport::{PathFault, Workers};

fn settings(drain: serde_json::Value) -> Settings {
    let mut value = serde_json::to_value(edge::settings("box-1", edge::any_address()));
    value.as_mut().unwrap()["drain"] = drain;
    parse_settings("test", &value.unwrap().to_string()).unwrap()
}

fn lag_and_drain_limit(drain: serde_json::Value) -> (Duration, Duration) {
    let settings = settings(drain);
    (settings.balancer_lag(), settings.drain_limit())
}

/// A box accepts callers for 2.5 s after the signal and ends at 5.5 s. A late request to
/// a server that hung was held for 3 s, while its caller waited up to 4 s: the box closed
/// the connection without any response, for 13 requests in 675 stops of 106 boxes.
#[test]
fn a_request_that_outlasts_the_stop_is_answered_before_the_box_ends() {
    for class in ["read", "once_only"] {
        let (answer, cut) = stop_with_silent_server(class);
        assert_eq!(answer.status, 504, "{class}");
        assert!(answer.whole, "{class}");
        assert_eq!(cut, 0, "{class}");
    }
}

/// Stops a box while its only server does not respond to a request; returns the caller's
/// response, and the number of requests that the box reports as cut.
fn stop_with_silent_server(class: &'static str) -> (Answer, usize) {
    let servers = [BackendServer::start(|_| Reply::Silent)];
    let drain = json!({"balancer_lag_ms": 100, "kill_after_s": 2.0});
    let route = Route::new(class);
    let deployment = Deployment::start_with_drain(&servers, &[route], drain);
    let caller = deployment.caller();
    let calling = std::thread::spawn(move || caller.call(class, "id-1"));
    edge::wait_until("the server has the request", || {
        !servers[0].executed_ids().is_empty()
    });
    let cut = deployment.close();
    (calling.join().expect("the caller ends"), cut)
}

/// Guards against an answer in doubt for a request that is still connecting to a server
/// when the box ends.
#[test]
fn a_request_that_was_never_sent_is_refused_as_not_run_at_the_stop() {
    let store = PlatformStore::start(500);
    store.put("op/config", &configuration(1, &[Route::new("once_only")]));
    let server = BackendServer::start(|_| Reply::Complete);
    store.put("servers/i-0", &server_entry(server.address, "ready"));
    let workers = Workers::start(2);
    let mut settings = edge::settings("box-1", store.address);
    settings.drain.balancer_lag_ms = 0;
    settings.drain.limit_ms = 200;
    settings.fault_injection.server_path = PathFault::Hold;
    let running = edge::start_box_with(settings, &store, &workers);
    edge::wait_until("the box is ready", || running.is_ready());
    let caller = Caller::of(&running);
    let calling = std::thread::spawn(move || caller.call("once_only", "id-1"));
    let requests = running.metrics().requests.clone();
    edge::wait_until("the box has the request", || {
        requests.with_label_values(&["svc", "once_only"]).get() > 0
    });
    smol::block_on(running.close());
    workers.close();
    assert_eq!(calling.join().expect("the caller ends").status, 503);
    assert_eq!(server.heads().len(), 0);
}

#[test]
fn a_stop_ends_half_a_second_before_the_platform_kills() {
    let ms = Duration::from_millis;
    let without_kill = json!({"balancer_lag_ms": 2500});
    assert_eq!(lag_and_drain_limit(without_kill), (ms(2500), ms(60_000)));
    for (kill_after_s, lag_ms, limit_ms) in [
        (6.0, 2500, 3000),
        (30.0, 2500, 27_000),
        (3.5, 1500, 1500),
        (0.2, 0, 0),
    ] {
        let drain = json!({"balancer_lag_ms": 2500, "kill_after_s": kill_after_s});
        assert_eq!(
            lag_and_drain_limit(drain),
            (ms(lag_ms), ms(limit_ms)),
            "{kill_after_s} s"
        );
    }
}

#[test]
fn a_box_carries_for_others_by_whichever_of_processor_and_link_is_scarcer() {
    let capacity = |cpu_share: f64, link_mbps: f64| {
        let mut value =
            serde_json::to_value(edge::settings("box-1", edge::any_address()));
        let value = value.as_mut().unwrap();
        value["cpu_share"] = json!(cpu_share);
        value["link_mbps"] = json!(link_mbps);
        let settings = parse_settings("test", &value.to_string()).unwrap();
        settings.capacity()
    };
    assert_eq!(capacity(0.2, 1000.0), 2);
    assert_eq!(capacity(0.5, 10.0), 1);
    assert_eq!(capacity(0.3, 200.0), 3);
    assert_eq!(capacity(0.05, 5.0), 0);
}

/// How much of a request a caller has sent when the box begins to stop, and what status
/// it must get.
struct StopCase {
    name: &'static str,
    reply: Reply,
    /// What the caller sends before the stop, and what it sends during the stop.
    before: &'static str,
    during: &'static str,
    /// The expected status; 0 if the connection closes without a response.
    status: u16,
}

const STOP_CASES: &[StopCase] = &[
    StopCase {
        name: "nothing sent",
        reply: Reply::Complete,
        before: "",
        during: "",
        status: 0,
    },
    StopCase {
        name: "all sent during the stop",
        reply: Reply::Complete,
        before: "",
        during: concat!(
            "GET /read/a HTTP/1.1\r\n",
            "host: site.example\r\nx-wingspur-request-id: id-1\r\n\r\n"
        ),
        status: 200,
    },
    StopCase {
        name: "all sent during the stop, the server silent",
        reply: Reply::Silent,
        before: "",
        during: concat!(
            "GET /read/a HTTP/1.1\r\n",
            "host: site.example\r\nx-wingspur-request-id: id-1\r\n\r\n"
        ),
        status: 504,
    },
    StopCase {
        name: "half a head sent",
        reply: Reply::Complete,
        before: "GET /read/a HTTP/1.1\r\n",
        during: "host: site.example\r\nx-wingspur-request-id: id-1\r\n\r\n",
        status: 200,
    },
    StopCase {
        name: "half a head sent, and no more",
        reply: Reply::Complete,
        before: "GET /read/a HTTP/1.1\r\n",
        during: "",
        status: 0,
    },
    StopCase {
        name: "half a body sent",
        reply: Reply::Complete,
        before: concat!(
            "POST /once_only/a HTTP/1.1\r\n",
            "host: site.example\r\nx-wingspur-request-id: id-1\r\n",
            "content-length: 8\r\n\r\nhalf"
        ),
        during: "more",
        status: 200,
    },
    StopCase {
        name: "half a body sent, and no more",
        reply: Reply::Complete,
        before: concat!(
            "POST /once_only/a HTTP/1.1\r\n",
            "host: site.example\r\nx-wingspur-request-id: id-1\r\n",
            "content-length: 8\r\n\r\nhalf"
        ),
        during: "",
        status: 503,
    },
];

#[test]
fn whatever_a_caller_has_sent_when_the_box_stops_it_is_answered_once_all_was_read() {
    std::thread::scope(|scope| {
        for case in STOP_CASES {
            scope.spawn(|| {
                let (status, cut) = stop_during_request(case);
                assert_eq!(status, case.status, "{}", case.name);
                assert_eq!(cut, 0, "{}", case.name);
            });
        }
    });
}

/// Stops a box in the middle of a caller's request; returns the status that the caller
/// got, 0 for none, and the number of requests that the box reports as cut.
fn stop_during_request(case: &StopCase) -> (u16, usize) {
    let reply = case.reply;
    let servers = [BackendServer::start(move |_| reply)];
    // The box accepts for 1 s, long enough to send the rest of the request.
    let drain = json!({"balancer_lag_ms": 1000, "kill_after_s": 3.0});
    let routes = [Route::new("read"), Route::new("once_only")];
    let deployment = Deployment::start_with_drain(&servers, &routes, drain);
    let mut stream = TcpStream::connect(deployment.caller().address()).unwrap();
    // Longer than the stop: a response that has not arrived by then never does.
    let limit = Some(Duration::from_secs(6));
    stream.set_read_timeout(limit).unwrap();
    stream.write_all(case.before.as_bytes()).unwrap();
    let stopping = std::thread::spawn(move || deployment.close());
    std::thread::sleep(Duration::from_millis(200));
    stream.write_all(case.during.as_bytes()).unwrap();
    let mut line = String::new();
    // A reset connection counts like a closed one: no response.
    let read = BufReader::new(stream).read_line(&mut line).unwrap_or(0);
    let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = if read > 0 { status } else { None };
    (status.unwrap_or(0), stopping.join().expect("the box stops"))
}
