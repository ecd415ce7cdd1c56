//! A copy of a response that arrives before the response to another request changes
//! nothing: its hints were applied when the original came.

mod edge;

use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use edge::{Deployment, Route, wait_until};
use wingspur_tests::{call, listen};

const READ: &str = "read";
const MARK: &str = "x-wingspur-not-executed: 1\r\n";

/// Starts a server that answers the first request with this status line and these
/// headers, and every other one with 200. On the connection of the first response, a copy
/// of it precedes one later response: the `copied_at`-th after it.
///
/// Returns the server's address and how many copies it has sent.
fn start_server(first: &str, copied_at: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    let first = first.to_owned();
    let copies = Arc::<AtomicUsize>::default();
    let sent_copies = copies.clone();
    // The number of responses after the first one, and its bytes, on its connection.
    let original: Mutex<Option<(SocketAddr, usize, String)>> = Mutex::default();
    let address = listen(move |head, stream| {
        let id = &head.headers["x-wingspur-request-id"];
        let peer = stream.peer_addr().expect("it is connected");
        let named = format!("x-wingspur-request-id: {id}\r\n");
        let mut original = original.lock().expect("no holder panics");
        let Some((connection, later, copy)) = original.as_mut() else {
            let bytes = format!("HTTP/1.1 {first}{named}content-length: 0\r\n\r\n");
            *original = Some((peer, 0, bytes.clone()));
            return stream.write_all(bytes.as_bytes()).is_ok();
        };
        // No other connection is kept, so that the box uses the first one again.
        let is_original = *connection == peer;
        let kept = if is_original { "keep-alive" } else { "close" };
        let own = format!(
            "HTTP/1.1 200 OK\r\n{named}x-wingspur-server-stamp: stamp\r\n\
             connection: {kept}\r\ncontent-length: 3\r\n\r\nran"
        );
        *later += usize::from(is_original);
        let bytes = match is_original && *later == copied_at {
            true => {
                sent_copies.fetch_add(1, Ordering::SeqCst);
                copy.clone() + &own
            }
            false => own,
        };
        drop(original);
        stream.write_all(bytes.as_bytes()).is_ok()
    });
    (address, copies)
}

fn start(address: SocketAddr) -> Deployment {
    let entry = ("i-0".to_owned(), address);
    Deployment::start_with_entries(&[entry], &[Route::new(READ)])
}

/// Sends requests, each with an id of its own, until one is served.
fn send_until_served(deployment: &Deployment, span: &str) {
    let mut sent = 0;
    wait_until("a request is served", || {
        sent += 1;
        let id = format!("{span}-{sent}");
        deployment.call(READ, &id).status == 200
    });
}

/// Returns what the box has counted of the refusals and hints of its servers.
fn counts(deployment: &Deployment) -> HashMap<&'static str, u64> {
    let names = [
        "wingspur_server_words_total{word=\"rest\"}",
        "wingspur_server_words_total{word=\"replaced\"}",
        "wingspur_server_words_total{word=\"leaving\"}",
        "wingspur_refusal_evidence_total{evidence=\"not_run\"}",
        "wingspur_refusal_evidence_total{evidence=\"unnamed\"}",
        "wingspur_attempts_total{end=\"refused\",service=\"svc\"}",
        "wingspur_attempts_total{end=\"failed\",service=\"svc\"}",
        "wingspur_server_limits_total{event=\"named\"}",
        "wingspur_server_limits_total{event=\"ended\"}",
    ];
    let counts = names.map(|name| (name, deployment.counter(name)));
    counts.into_iter().collect()
}

/// Sends the first request, and others until a copy of its response has arrived. Returns
/// what was counted before the copy and after it.
fn counts_around_copy(
    deployment: &Deployment,
    copies: &AtomicUsize,
    copied_at: usize,
) -> [HashMap<&'static str, u64>; 2] {
    assert_eq!(deployment.call(READ, "first").status, 503);
    for n in 1..copied_at {
        send_until_served(deployment, &format!("before-{n}"));
    }
    let before = counts(deployment);
    let mut sent = 0;
    wait_until("the copy is sent", || {
        sent += 1;
        deployment.call(READ, &format!("next-{sent}"));
        copies.load(Ordering::SeqCst) == 1
    });
    let after = counts(deployment);
    [before, after]
}

#[test]
fn copy_of_a_refusal_begins_no_second_backoff() {
    let refusal = "503 Service Unavailable\r\nretry-after: 0.25\r\n".to_owned() + MARK;
    let (address, copies) = start_server(&refusal, 1);
    let deployment = start(address);
    let [before, after] = counts_around_copy(&deployment, &copies, 1);
    assert_eq!(before["wingspur_server_words_total{word=\"rest\"}"], 1);
    assert_eq!(after, before);
    assert_eq!(deployment.call(READ, "next").status, 200);
    assert_eq!(deployment.counter("wingspur_skipped_responses_total"), 1);
    deployment.close();
}

#[test]
fn copy_of_a_refusal_sets_no_limit_that_was_lifted() {
    let refusal = "503 Service Unavailable\r\nserver-limit: 50\r\n".to_owned() + MARK;
    let (address, copies) = start_server(&refusal, 2);
    let deployment = start(address);
    let [before, after] = counts_around_copy(&deployment, &copies, 2);
    assert_eq!(before["wingspur_server_limits_total{event=\"named\"}"], 1);
    assert_eq!(before["wingspur_server_limits_total{event=\"ended\"}"], 1);
    assert_eq!(after, before);
    assert_eq!(deployment.counter("wingspur_skipped_responses_total"), 1);
    deployment.close();
}

#[test]
fn copy_of_a_refusal_counts_once_for_health() {
    let refusal = "503 Service Unavailable\r\n".to_owned() + MARK;
    let (address, copies) = start_server(&refusal, 1);
    let deployment = start(address);
    let [before, after] = counts_around_copy(&deployment, &copies, 1);
    let refused = "wingspur_attempts_total{end=\"refused\",service=\"svc\"}";
    assert_eq!(before[refused], 1);
    assert_eq!(after, before);
    deployment.close();
}

#[test]
fn copy_of_an_error_or_a_success_counts_nothing() {
    let responses = [
        "500 Internal Server Error\r\nserver-limit: 50\r\n",
        "429 Too Many Requests\r\nserver-limit: 50\r\n",
        "200 OK\r\nx-wingspur-server-stamp: stamp\r\nserver-limit: 50\r\n",
    ];
    for response in responses {
        let (address, copies) = start_server(response, 2);
        let deployment = start(address);
        deployment.call(READ, "first");
        let mut sent = 0;
        let named = "wingspur_server_limits_total{event=\"named\"}";
        let failed = "wingspur_attempts_total{end=\"failed\",service=\"svc\"}";
        let before = [named, failed].map(|name| deployment.counter(name));
        wait_until("the copy is sent", || {
            sent += 1;
            deployment.call(READ, &format!("next-{sent}"));
            copies.load(Ordering::SeqCst) == 1
        });
        let after = [named, failed].map(|name| deployment.counter(name));
        assert_eq!(after, before, "{response}");
        deployment.close();
    }
}

/// Connections belong to an address, and hints to an instance.
#[test]
fn copy_of_a_misdirected_response_leaves_the_next_instance_in_use() {
    let (address, copies) = start_server("421 Misdirected Request\r\n", 1);
    let deployment = start(address);
    assert_eq!(deployment.call(READ, "first").status, 503);
    assert_in_use_after_copy(&deployment, address, &copies);
    let replaced = "wingspur_server_words_total{word=\"replaced\"}";
    assert_eq!(deployment.counter(replaced), 1);
    deployment.close();
}

#[test]
fn copy_of_a_draining_response_leaves_the_next_instance_in_use() {
    let first = "200 OK\r\nx-wingspur-server-stamp: stamp\r\nserver-leaving: 1\r\n";
    let (address, copies) = start_server(first, 1);
    let deployment = start(address);
    assert_eq!(deployment.call(READ, "first").status, 200);
    assert_in_use_after_copy(&deployment, address, &copies);
    let draining = "wingspur_server_words_total{word=\"leaving\"}";
    assert_eq!(deployment.counter(draining), 1);
    deployment.close();
}

/// Announces the next instance at an address, before the former entry lapses. It must
/// serve all requests: one whose response a copy precedes, and the next one.
fn assert_in_use_after_copy(
    deployment: &Deployment,
    address: SocketAddr,
    copies: &AtomicUsize,
) {
    deployment.announce("i-1", address, "ready");
    let mut sent = 0;
    wait_until("the copy is sent", || {
        sent += 1;
        let answer = deployment.call(READ, &format!("next-{sent}"));
        assert_eq!(answer.status, 200, "{sent} {:?}", answer.headers);
        copies.load(Ordering::SeqCst) == 1
    });
    let answer = deployment.call(READ, "after the copy");
    assert_eq!(answer.status, 200, "{:?}", answer.headers);
}

/// A server that names no requests still drains.
#[test]
fn hints_of_a_response_without_an_id_are_applied() {
    let address = listen(|_, stream| {
        let bytes = b"HTTP/1.1 200 OK\r\nx-wingspur-server-stamp: stamp\r\n\
              server-leaving: 1\r\ncontent-length: 3\r\n\r\nran";
        stream.write_all(bytes).is_ok()
    });
    let deployment = start(address);
    assert_eq!(deployment.call(READ, "first").status, 200);
    let draining = "wingspur_server_words_total{word=\"leaving\"}";
    assert_eq!(deployment.counter(draining), 1);
    deployment.close();
}

#[test]
fn backoff_in_a_refusal_without_an_id_counts_on_a_new_connection() {
    let address = listen(|_, stream| {
        let bytes = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 3600\r\n\
              content-length: 0\r\n\r\n";
        stream.write_all(bytes).is_ok()
    });
    let deployment = start(address);
    deployment.call(READ, "first");
    let backoff = "wingspur_server_words_total{word=\"rest\"}";
    assert_eq!(deployment.counter(backoff), 1);
    deployment.close();
}

/// No response to a request without an id names it.
#[test]
fn backoff_in_a_refusal_of_a_request_without_an_id_counts_on_any_connection() {
    let served = AtomicUsize::new(0);
    let address = listen(move |_, stream| {
        let head = match served.fetch_add(1, Ordering::SeqCst) {
            0 => "200 OK\r\nx-wingspur-server-stamp: stamp",
            _ => "503 Service Unavailable\r\nretry-after: 3600",
        };
        let bytes = format!("HTTP/1.1 {head}\r\ncontent-length: 0\r\n\r\n");
        stream.write_all(bytes.as_bytes()).is_ok()
    });
    let deployment = start(address);
    for _ in 0..2 {
        let headers = [("host", "site.example")];
        let to = deployment.caller().address();
        call(to, "GET", &format!("/{READ}/a"), &headers, b"");
    }
    let backoff = "wingspur_server_words_total{word=\"rest\"}";
    assert_eq!(deployment.counter(backoff), 1);
    deployment.close();
}
