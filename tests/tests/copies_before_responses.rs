//! Copies of an error response that come around the response to the next request.

mod edge;

use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Mutex;

use edge::{Deployment, Route};
use wingspur_tests::listen;

const ONCE_ONLY: &str = "once_only";
const UNAVAILABLE: &str = "503 Service Unavailable\r\nx-wingspur-not-executed: 1";
const TOO_MANY: &str = "429 Too Many Requests";
const FAILURE: &str = "500 Internal Server Error";

/// Where the copies are, relative to the response to the next request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Copies {
    Before(usize),
    /// The server sends the first byte of the copy, and the rest with its response.
    Split,
    After,
    /// The body of the copy is chunked and never ends.
    Endless,
}

fn response(status: &str, id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-wingspur-request-id: {id}\r\n\
         x-wingspur-server-stamp: stamp\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Starts a server that fails the first request of each connection, and runs the next one.
fn start_server(status: &'static str, copies: Copies) -> SocketAddr {
    let failed = Mutex::new(HashMap::<SocketAddr, String>::new());
    listen(move |head, stream| {
        let id = head.headers["x-wingspur-request-id"].clone();
        let Ok(peer) = stream.peer_addr() else {
            return false;
        };
        let mut failed = failed.lock().expect("no holder panics");
        let Some(earlier) = failed.get(&peer).cloned() else {
            failed.insert(peer, id.clone());
            return stream
                .write_all(response(status, &id, "").as_bytes())
                .is_ok();
        };
        let copy = response(status, &earlier, "");
        let own = response("200 OK", &id, "ran");
        let endless = copy.replace("content-length: 0", "transfer-encoding: chunked");
        let parts = match copies {
            Copies::Before(count) => [copy.repeat(count), own],
            Copies::Split => [copy[..1].to_owned(), copy[1..].to_owned() + &own],
            Copies::After => [own, copy],
            Copies::Endless => [endless + "1\r\nx\r\n", String::new()],
        };
        parts
            .iter()
            .all(|part| stream.write_all(part.as_bytes()).is_ok())
    })
}

/// Fails a request and returns the status and the body of the answer to the next one, which
/// runs.
fn next_answer(status: &'static str, copies: Copies) -> (u16, Vec<u8>) {
    let entries = [("i-0".to_owned(), start_server(status, copies))];
    let deployment = Deployment::start_with_entries(&entries, &[Route::new(ONCE_ONLY)]);
    deployment.call(ONCE_ONLY, "first");
    let answer = deployment.call(ONCE_ONLY, "next");
    deployment.close();
    (answer.status, answer.body)
}

#[test]
fn copy_of_an_error_is_no_answer_to_the_next_request() {
    for status in [UNAVAILABLE, TOO_MANY, FAILURE] {
        for copies in [
            Copies::Before(1),
            Copies::Before(2),
            Copies::Split,
            Copies::After,
        ] {
            let answer = next_answer(status, copies);
            assert_eq!(answer, (200, b"ran".to_vec()), "{status} {copies:?}");
        }
    }
}

#[test]
fn copy_without_end_is_no_promise_for_the_next_request() {
    let (status, _) = next_answer(UNAVAILABLE, Copies::Endless);
    assert!(matches!(status, 502 | 504), "{status}");
}
