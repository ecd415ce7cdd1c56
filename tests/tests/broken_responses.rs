//! A response that is spoiled, in its head or around its body, is never passed on.

mod edge;
mod raw_responses;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use edge::{Caller, DirectAndRelayed};
use hyper::Method;
use raw_responses::*;
use wingspur_tests::{Answer, Head, call, listen};
use wingspur_transport::{BackendConnections, BufferBudget, ReusePolicy, SendBody};

/// How the bytes of a response are cut into segments.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Segments {
    One,
    /// What follows the head comes later.
    Two,
}

/// Starts a server that sends the response which is in the request.
fn start_server() -> SocketAddr {
    listen(|request, stream| {
        let is_sent = send_response(&request, stream);
        is_sent.is_ok() && request.headers["x-end"] == "StaysOpen"
    })
}

fn send_response(request: &Head, stream: &mut TcpStream) -> std::io::Result<()> {
    let own = format!(
        "x-wingspur-request-id: {}\r\nx-wingspur-server-stamp: stamp\r\n",
        request.headers["x-wingspur-request-id"]
    );
    let part = |name: &str| {
        let text = hex::decode(&request.headers[name]).expect("it is in hexadecimal");
        String::from_utf8(text)
            .expect("it is text")
            .replace("{own}", &own)
    };
    let (head, rest) = (part("x-head"), part("x-after-head"));
    RESPONSES.fetch_add(1, Ordering::AcqRel);
    stream.set_nodelay(true)?;
    if request.headers["x-segments"] == "One" {
        return stream.write_all(format!("{head}{rest}").as_bytes());
    }
    stream.write_all(head.as_bytes())?;
    std::thread::sleep(PAUSE);
    stream.write_all(rest.as_bytes())
}

/// Sends a request to which the server sends this response.
fn send(caller: Caller, id: &str, response: &Response, segments: Segments) -> Answer {
    let headers = [
        ("host", "site.example"),
        ("x-wingspur-request-id", id),
        ("x-head", &hex::encode(response.head)),
        ("x-after-head", &hex::encode(response.after_head)),
        ("x-end", &format!("{:?}", response.end)),
        ("x-segments", &format!("{segments:?}")),
    ];
    let path = format!("/once_only/{id}");
    call(caller.address(), "POST", &path, &headers, b"the body")
}

fn start() -> DirectAndRelayed {
    let servers = [start_server(), start_server()];
    DirectAndRelayed::start(&servers, |caller| {
        send(caller, "first", &WHOLE[0], Segments::One).status == 200
    })
}

/// Sends each response of a table to each box, on a new connection and on one that has
/// carried a response before, and collects what is wrong with what the caller gets.
fn play(
    responses: &[Response],
    ways: &[Segments],
    check: impl Fn(&Answer) -> Result<(), String>,
) {
    let boxes = start();
    let mut wrong = Vec::new();
    let mut sent = 0;
    let mut play_one = |response: &Response, segments, is_reused: bool, caller| {
        sent += 1;
        let id = format!("id-{sent}");
        if is_reused {
            send(caller, &format!("{id}-before"), &WHOLE[0], Segments::One);
        }
        let answer = send(caller, &id, response, segments);
        if let Err(error) = check(&answer) {
            let Response {
                head, after_head, ..
            } = response;
            wrong.push(format!(
                "{head:?} {after_head:?}, {segments:?}, reused: {is_reused}: {error}"
            ));
        }
    };
    for response in responses {
        for segments in ways {
            for is_reused in [false, true] {
                for caller in boxes.callers() {
                    play_one(response, *segments, is_reused, caller);
                }
            }
        }
    }
    boxes.close();
    assert!(RESPONSES.load(Ordering::Acquire) >= sent);
    let count = wrong.len();
    assert!(wrong.is_empty(), "{count} of {sent}:\n{}", wrong.join("\n"));
}

/// Checks that no response of a table is passed on, in one segment or in two.
fn assert_refused(responses: &[Response]) {
    play(responses, &[Segments::One, Segments::Two], check_refused);
}

/// Checks that a caller has got an error of the box instead of the server's response.
fn check_refused(answer: &Answer) -> Result<(), String> {
    let has_stamp = answer.headers.contains_key("x-wingspur-server-stamp");
    match answer.status {
        502 if answer.whole && !has_stamp => Ok(()),
        status => Err(format!(
            "{status} {:?}",
            String::from_utf8_lossy(&answer.body)
        )),
    }
}

fn check_delivered(answer: &Answer) -> Result<(), String> {
    let has_stamp = answer.headers.contains_key("x-wingspur-server-stamp");
    match answer.status {
        200 if answer.whole && has_stamp && answer.body == BODY.as_bytes() => Ok(()),
        status => Err(format!(
            "{status} {:?}",
            String::from_utf8_lossy(&answer.body)
        )),
    }
}

#[test]
fn whole_response_is_delivered_in_every_framing() {
    play(WHOLE, &[Segments::One, Segments::Two], check_delivered);
}

#[test]
fn response_with_an_unreadable_head_is_refused() {
    assert_refused(UNREADABLE_HEADS);
}

#[test]
fn response_with_an_unreadable_length_is_refused() {
    assert_refused(UNREADABLE_LENGTHS);
}

#[test]
fn response_with_a_cut_body_is_refused() {
    assert_refused(CUT_BODIES);
}

#[test]
fn signed_length_is_refused() {
    assert_refused(SIGNED_LENGTHS);
}

#[test]
fn coding_other_than_chunked_is_refused() {
    assert_refused(CODINGS);
}

#[test]
fn status_that_http_does_not_have_is_refused() {
    assert_refused(STATUSES);
}

#[test]
fn chunk_without_a_size_does_not_end_a_body() {
    assert_refused(SIZELESS_CHUNKS);
}

#[test]
fn trailer_that_is_no_field_is_refused() {
    assert_refused(TRAILERS);
}

#[test]
fn length_that_is_less_than_what_was_sent_is_refused() {
    assert_refused(TOO_LONG);
    play(TOO_LONG_FROM_THE_START, &[Segments::One], check_refused);
}

#[test]
fn response_before_another_one_is_delivered() {
    play(FOLLOWED, &[Segments::One, Segments::Two], check_delivered);
}

#[test]
fn body_of_a_response_that_can_have_none_is_refused() {
    assert_refused(BODILESS);
}

#[test]
fn body_that_ends_with_the_connection_unannounced_is_refused() {
    assert_refused(UNANNOUNCED_ENDS);
}

#[test]
fn body_without_length_is_refused_if_a_length_is_misspelled() {
    assert_refused(MISSPELLED);
}

#[test]
fn body_without_length_is_refused_if_line_ends_are_mixed() {
    assert_refused(MIXED_LINE_ENDS);
}

#[test]
fn joined_heads_are_refused() {
    assert_refused(JOINED_HEADS);
}

/// Returns whether the head of a response to a `HEAD` is read, which has no body.
fn reads_head(response: &'static Response) -> bool {
    let address = listen(|_, stream| {
        let head = response.head.replace("{own}", "x-own: 1\r\n");
        stream.write_all(head.as_bytes()).is_ok() && response.end == End::StaysOpen
    });
    let connections = BackendConnections::new(address, BufferBudget::unlimited());
    smol::block_on(async {
        let timeout = Duration::from_secs(5);
        let connected = connections.connect(ReusePolicy::Any, None, timeout).await;
        let mut connection = connected.unwrap();
        let request = b"HEAD /a HTTP/1.1\r\nhost: site.example\r\n\r\n".to_vec();
        let body = SendBody::empty();
        let sending = connection.send_request(request, body, &Method::HEAD, None);
        let is_sound = sending.await.is_ok();
        is_sound && connection.read_whole(0).await.unwrap().unwrap().is_empty()
    })
}

#[test]
fn response_to_head_has_no_body_and_a_sound_head() {
    for response in WHOLE {
        assert!(reads_head(response), "{:?}", response.head);
    }
    let spoiled = [
        UNREADABLE_HEADS,
        UNREADABLE_LENGTHS,
        SIGNED_LENGTHS,
        CODINGS,
        STATUSES,
        JOINED_HEADS,
    ];
    for response in spoiled.into_iter().flatten() {
        assert!(!reads_head(response), "{:?}", response.head);
    }
}

/// The number of responses that servers have sent.
static RESPONSES: AtomicUsize = AtomicUsize::new(0);
/// The time between two segments, so that the first is read alone.
const PAUSE: Duration = Duration::from_millis(3);
