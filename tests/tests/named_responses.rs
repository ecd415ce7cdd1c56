//! A response that a box makes itself names the request, like those of servers.

mod edge;

use std::collections::HashSet;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Mutex;

use edge::{Deployment, Route};
use wingspur_tests::{BackendServer, Reply, call, listen};

const ID: &str = "x-wingspur-request-id";

#[test]
fn own_responses_name_the_request() {
    let replies = [Reply::Refused, Reply::Close];
    for (n, reply) in replies.into_iter().enumerate() {
        let server = BackendServer::start(move |_| reply);
        let deployment = Deployment::start(&[server], &[Route::new("once_only")]);
        let id = format!("id-{n}");
        let answer = deployment.call("once_only", &id);
        assert!(matches!(answer.status, 502 | 503), "{answer:?}");
        assert_eq!(answer.headers.get(ID), Some(&id));
        let to = deployment.caller().address();
        let no_route = [("host", "elsewhere.example"), (ID, id.as_str())];
        let answer = call(to, "GET", "/", &no_route, b"");
        assert_eq!(answer.headers.get(ID), Some(&id), "{answer:?}");
        deployment.close();
    }
}

#[test]
fn a_request_without_an_id_gets_a_response_without_one() {
    let server = BackendServer::start(|_| Reply::Close);
    let deployment = Deployment::start(&[server], &[Route::new("once_only")]);
    let to = deployment.caller().address();
    let answer = call(to, "POST", "/once_only/a", &[("host", "site.example")], b"");
    assert_eq!(answer.status, 502);
    assert!(!answer.headers.contains_key(ID), "{answer:?}");
    deployment.close();
}

/// Starts a server that answers each request with 200. From the second request of a
/// connection on, a response that names no request precedes its own.
fn start_server_with_unnamed_responses(status: &'static str) -> SocketAddr {
    let used = Mutex::new(HashSet::new());
    listen(move |head, stream| {
        let response = |status: &str, name: &str| {
            format!(
                "HTTP/1.1 {status}\r\n{name}x-wingspur-server-stamp: stamp\r\n\
                 content-length: 3\r\n\r\nown"
            )
        };
        let own = response("200 OK", &format!("{ID}: {}\r\n", head.headers[ID]));
        let peer = stream.peer_addr().ok();
        let bytes = match used.lock().unwrap().insert(peer) {
            true => own,
            false => response(status, "") + &own,
        };
        stream.write_all(bytes.as_bytes()).is_ok()
    })
}

#[test]
fn unnamed_response_after_others_is_not_passed_on() {
    for status in ["500 Internal Server Error", "404 Not Found", "200 OK"] {
        let address = start_server_with_unnamed_responses(status);
        let entries = [("i-0".to_owned(), address)];
        let deployment =
            Deployment::start_with_entries(&entries, &[Route::new("once_only")]);
        assert_eq!(deployment.call("once_only", "first").status, 200);
        assert_eq!(
            deployment.call("once_only", "second").status,
            502,
            "{status}"
        );
        deployment.close();
    }
}
