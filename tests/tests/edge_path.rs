//! The request path of one box: the responses that callers get, and what servers run.

mod edge;

use std::net::{TcpListener, TcpStream};

use edge::{Deployment, Route};
use wingspur_tests::{BackendServer, Reply};

/// The reply to the first attempt, that to the second one, and the expected outcome.
struct Case {
    name: &'static str,
    first: Reply,
    second: Reply,
    /// Expected status, beginning of the body and number of runs, for a read and for a
    /// once-only request.
    read: (u16, &'static str, usize),
    once_only: (u16, &'static str, usize),
}

const CASES: &[Case] = &[
    Case {
        name: "a complete response",
        first: Reply::Complete,
        second: Reply::Complete,
        read: (200, "own body", 1),
        once_only: (200, "own body", 1),
    },
    Case {
        name: "a server error",
        first: Reply::Error,
        second: Reply::Complete,
        read: (200, "own body", 2),
        once_only: (500, "failed", 1),
    },
    Case {
        name: "refused before it ran",
        first: Reply::Refused,
        second: Reply::Complete,
        read: (200, "own body", 1),
        once_only: (200, "own body", 1),
    },
    Case {
        name: "refused without the not-run mark",
        first: Reply::Unmarked,
        second: Reply::Complete,
        read: (200, "own body", 2),
        once_only: (502, "{", 1),
    },
    Case {
        name: "another instance has the address",
        first: Reply::Misdirected,
        second: Reply::Complete,
        read: (200, "own body", 1),
        once_only: (200, "own body", 1),
    },
    Case {
        name: "no response",
        first: Reply::Close,
        second: Reply::Complete,
        read: (200, "own body", 2),
        once_only: (502, "{", 1),
    },
    Case {
        name: "an interrupted response",
        first: Reply::Truncated,
        second: Reply::Complete,
        read: (200, "own body", 2),
        once_only: (502, "{", 1),
    },
    Case {
        name: "bytes that are no HTTP response",
        first: Reply::Garbage,
        second: Reply::Complete,
        read: (200, "own body", 2),
        once_only: (502, "{", 1),
    },
    Case {
        name: "a success without the server's stamp",
        first: Reply::NoStamp,
        second: Reply::Complete,
        read: (200, "own body", 2),
        once_only: (502, "{", 1),
    },
    Case {
        name: "a response to another request before its own",
        first: Reply::SurplusFirst,
        second: Reply::Complete,
        read: (200, "own body", 1),
        once_only: (200, "own body", 1),
    },
    Case {
        name: "refused by all",
        first: Reply::Refused,
        second: Reply::Refused,
        read: (503, "{", 0),
        once_only: (503, "{", 0),
    },
];

#[test]
fn each_fault_of_a_server_has_its_one_outcome() {
    for case in CASES {
        for (class, expected) in [("read", case.read), ("once_only", case.once_only)] {
            let (first, second) = (case.first, case.second);
            let requests = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
            // The first attempt meets the fault, whichever server is picked.
            let server = || {
                let requests = requests.clone();
                BackendServer::start(move |_| {
                    match requests.fetch_add(1, std::sync::atomic::Ordering::SeqCst) {
                        0 => first,
                        _ => second,
                    }
                })
            };
            let servers = [server(), server()];
            let deployment = Deployment::start(&servers, &[Route::new(class)]);
            let response = deployment.call(class, "id-1");
            let ran: usize = servers
                .iter()
                .map(|server| server.executed_ids().len())
                .sum();
            let body = String::from_utf8_lossy(&response.body).into_owned();
            let got = (response.status, ran);
            assert_eq!(
                got,
                (expected.0, expected.2),
                "{} ({class}): {body}",
                case.name
            );
            assert!(
                body.starts_with(expected.1),
                "{} ({class}): {body}",
                case.name
            );
            deployment.close();
        }
    }
}

#[test]
fn a_promise_that_nothing_ran_says_when_to_come_back() {
    let servers = [BackendServer::start(|_| Reply::Refused)];
    let deployment = Deployment::start(&servers, &[Route::new("once_only")]);
    let response = deployment.call("once_only", "id-1");
    assert_eq!(response.status, 503);
    let after: f64 = response.headers["retry-after"].parse().unwrap();
    assert!((0.1..=1.0).contains(&after), "{after}");
    assert_eq!(servers[0].executed_ids(), Vec::<String>::new());
    deployment.close();
}

#[test]
fn a_surplus_answer_never_reaches_the_next_caller() {
    let servers = [BackendServer::start(|n| match n {
        0 => Reply::SurplusAfter,
        _ => Reply::Complete,
    })];
    let deployment = Deployment::start(&servers, &[Route::new("read")]);
    for id in ["id-1", "id-2", "id-3"] {
        let response = deployment.call("read", id);
        assert_eq!(
            (response.status, response.body.as_slice()),
            (200, &b"own body"[..])
        );
        assert_eq!(response.headers["x-wingspur-request-id"], id);
    }
    deployment.close();
}

#[test]
fn servers_get_the_request_as_it_was_and_what_is_left_of_its_time() {
    let servers = [BackendServer::start(|_| Reply::Complete)];
    let deployment = Deployment::start(&servers, &[Route::new("once_only")]);
    deployment.call("once_only", "id-1");
    let head = servers[0].heads().remove(0);
    assert_eq!(
        (head.method.as_str(), head.path.as_str()),
        ("POST", "/once_only/a")
    );
    assert_eq!(head.query["q"], "1");
    assert_eq!(head.body, b"the body");
    assert_eq!(head.headers["x-wingspur-request-id"], "id-1");
    assert_eq!(head.headers["x-wingspur-expected-instance"], "i-0");
    assert_eq!(head.headers["x-kept"], "yes");
    assert!(
        !head.headers.contains_key("x-dropped"),
        "named by `connection`"
    );
    let left: u64 = head.headers["x-wingspur-request-deadline-ms"]
        .parse()
        .unwrap();
    assert!(left <= 4000, "the caller waits for 4000 ms: {left}");
    deployment.close();
}

#[test]
fn a_route_that_is_not_there_is_refused_by_404_and_reaches_nobody() {
    let servers = [BackendServer::start(|_| Reply::Complete)];
    let deployment = Deployment::start(&servers, &[Route::new("read")]);
    assert_eq!(deployment.call("nowhere", "id-1").status, 404);
    assert_eq!(servers[0].heads().len(), 0);
    deployment.close();
}

#[test]
fn a_server_that_cannot_be_reached_costs_a_once_only_request_nothing() {
    // The local port of an open connection: nobody listens there, and no other test's
    // server can bind it as long as the connection is open.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let connection = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let closed = connection.local_addr().unwrap();
    let servers = [BackendServer::start(|_| Reply::Complete)];
    let deployment = Deployment::start(&servers, &[Route::new("once_only")]);
    deployment.announce("i-dead", closed, "ready");
    for n in 0..20 {
        let response = deployment.call("once_only", &format!("id-{n}"));
        assert_eq!(response.status, 200);
    }
    let ran = servers[0].executed_ids();
    assert_eq!(ran.len(), 20);
    deployment.close();
}

#[test]
fn work_beyond_its_time_is_given_up_by_504_and_never_sent_again() {
    let servers = [
        BackendServer::start(|_| Reply::Silent),
        BackendServer::start(|_| Reply::Silent),
    ];
    let route = Route {
        timeout_ms: 300,
        ..Route::new("once_only")
    };
    let deployment = Deployment::start(&servers, &[route]);
    assert_eq!(deployment.call("once_only", "id-1").status, 504);
    let ran: usize = servers
        .iter()
        .map(|server| server.executed_ids().len())
        .sum();
    assert_eq!(ran, 1);
    deployment.close();
}

#[test]
fn a_planned_stop_ends_the_request_in_flight_and_then_the_connection() {
    let servers = [BackendServer::start(|_| {
        std::thread::sleep(std::time::Duration::from_millis(400));
        Reply::Complete
    })];
    let deployment = Deployment::start(&servers, &[Route::new("read")]);
    let caller = deployment.caller();
    let calling = std::thread::spawn(move || caller.call("read", "id-1"));
    while servers[0].heads().is_empty() {
        std::thread::yield_now();
    }
    assert_eq!(deployment.close(), 0, "no request is cut off");
    assert_eq!(calling.join().unwrap().status, 200);
}

#[test]
fn a_read_that_was_too_slow_to_be_hedged_is_still_sent_again_when_it_fails() {
    let requests = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let server = || {
        let requests = requests.clone();
        BackendServer::start(move |_| {
            match requests.fetch_add(1, std::sync::atomic::Ordering::SeqCst) {
                0 => {
                    // More than three times the usual latency, after which a hedge is
                    // considered.
                    std::thread::sleep(std::time::Duration::from_millis(1500));
                    Reply::Error
                }
                _ => Reply::Complete,
            }
        })
    };
    let servers = [server(), server()];
    // Hedges may use seven tenths of the budget, resends after a failure all of it.
    let deployment = Deployment::start_with_resends(&servers, &[Route::new("read")], 1.3);
    let response = deployment.call("read", "id-1");
    assert_eq!(
        (response.status, response.body.as_slice()),
        (200, &b"own body"[..])
    );
    deployment.close();
}
