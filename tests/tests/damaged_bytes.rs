//! A response with one damaged byte is refused, or its body is read as it was sent.

use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::time::Duration;

use hyper::Method;
use wingspur_tests::read_request_head;
use wingspur_transport::{BackendConnections, BufferBudget, ReusePolicy, SendBody};

const BODY: &str = "the answer of this server!!";
const UNTIL_CLOSE: &str =
    "HTTP/1.1 200 OK\r\nx-stamp: s\r\nconnection: close\r\n\r\n{body}";
const RESPONSES: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nx-stamp: s\r\ncontent-length: 27\r\n\r\n{body}",
    "HTTP/1.1 200 OK\r\nx-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n\
     1b\r\n{body}\r\n0\r\n\r\n",
    UNTIL_CLOSE,
];
/// What a byte may be damaged to.
const DAMAGED: &[u8] = b"\0\x01\t\n\r +,-0179:;ax\x7f\xe9";

/// Sends a request on a new connection to a server with this response; returns its body
/// if it is read as whole.
fn receive(listener: &TcpListener, response: Vec<u8>) -> Option<Vec<u8>> {
    let address = listener.local_addr().unwrap();
    let connections = BackendConnections::new(address, BufferBudget::unlimited());
    smol::block_on(async {
        let timeout = Duration::from_secs(5);
        let connecting = connections.connect(ReusePolicy::Any, None, timeout);
        let mut connection = connecting.await.unwrap();
        let mut stream = listener.accept().unwrap().0;
        let serving = std::thread::spawn(move || {
            read_request_head(&mut BufReader::new(stream.try_clone().unwrap()));
            // Fails if the client has seen the damage and closed the connection.
            let _ = stream.write_all(&response);
        });
        let head = b"GET /a HTTP/1.1\r\nhost: site.example\r\n\r\n".to_vec();
        let body = SendBody::empty();
        let sending = connection.send_request(head, body, &Method::GET, None);
        let received = match sending.await {
            Ok(_) => connection.read_whole(1 << 20).await.ok(),
            Err(_) => None,
        };
        serving.join().unwrap();
        received.map(|body| body.expect("the body is short").to_vec())
    })
}

/// Returns the response with each damage at one place: a byte that is replaced, added or
/// missing, two that are swapped, or the rest of the line missing.
fn damage(whole: &[u8], at: usize) -> Vec<Vec<u8>> {
    let (before, after) = (&whole[..at], &whole[at + 1..]);
    let replaced = DAMAGED
        .iter()
        .map(|byte| [before, &[*byte], after].concat());
    let added = DAMAGED
        .iter()
        .map(|byte| [before, &[*byte], &whole[at..]].concat());
    let mut damaged: Vec<_> = replaced.chain(added).collect();
    damaged.push([before, after].concat());
    let mut swapped = whole.to_vec();
    if at + 1 < whole.len() {
        swapped.swap(at, at + 1);
    }
    damaged.push(swapped);
    let line_end = whole[at..].windows(2).position(|pair| pair == b"\r\n");
    damaged.extend(line_end.map(|end| [before, &whole[at + end..]].concat()));
    damaged.extend(line_end.map(|end| [before, &whole[at + end + 2..]].concat()));
    damaged
}

#[test]
fn damage_never_changes_a_body_unseen() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut wrong = Vec::new();
    for response in RESPONSES {
        let body_at = response.find("{body}").unwrap();
        let whole = response.replace("{body}", BODY).into_bytes();
        let is_framing = |at: &usize| !(body_at..body_at + BODY.len()).contains(at);
        let places = (0..whole.len()).filter(is_framing);
        let damaged = places.flat_map(|at| damage(&whole, at));
        // After an intact head that announces no length, all bytes are the body.
        let has_damaged_head =
            |damaged: &Vec<u8>| !damaged.starts_with(&whole[..body_at]);
        let ends_with_connection = response == UNTIL_CLOSE;
        let is_seen =
            |damaged: &Vec<u8>| !ends_with_connection || has_damaged_head(damaged);
        for damaged in damaged.filter(is_seen) {
            let received = receive(&listener, damaged.clone());
            let is_whole = received.as_ref().is_none_or(|body| body == BODY.as_bytes());
            if !is_whole {
                let damaged = damaged.escape_ascii().to_string();
                wrong.push(format!("{damaged}: {received:?}"));
            }
        }
    }
    assert!(wrong.is_empty(), "{}:\n{}", wrong.len(), wrong.join("\n"));
}
