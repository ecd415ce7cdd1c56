//! A response that is spoiled, in its head or around its body, is never passed on.

mod edge;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use edge::{Caller, DirectAndRelayed};
use wingspur_tests::{Answer, Head, call, listen};

/// A response as its server sends it. `{own}` stands for the lines with the request's id
/// and the server's stamp.
struct Response {
    head: &'static str,
    after_head: &'static str,
    end: End,
}

/// What the server does after its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// It waits for the next request.
    StaysOpen,
    /// It closes the connection.
    Closes,
}

/// How the bytes of a response are cut into segments.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Segments {
    One,
    /// What follows the head comes later.
    Two,
}

/// Returns a response on a connection that stays open.
const fn open(head: &'static str, after_head: &'static str) -> Response {
    Response {
        head,
        after_head,
        end: End::StaysOpen,
    }
}

/// Returns a response that ends with its connection.
const fn closing(head: &'static str, after_head: &'static str) -> Response {
    Response {
        head,
        after_head,
        end: End::Closes,
    }
}

/// What servers send in this test, whole or spoiled.
const BODY: &str = "the answer of this server!!";
const CHUNKED: &str = "1b\r\nthe answer of this server!!\r\n0\r\n\r\n";

/// Heads that no HTTP/1.1 response has.
const UNREADABLE_HEADS: &[Response] = &[
    open("HTTP/1.1 000 OK\r\n{own}content-length: 27\r\n\r\n", BODY),
    open("HTTP/1.1 099 OK\r\n{own}content-length: 27\r\n\r\n", BODY),
    open("HTTP/1.1 20 OK\r\n{own}content-length: 27\r\n\r\n", BODY),
    open("HTTP/1.1 2x0 OK\r\n{own}content-length: 27\r\n\r\n", BODY),
    open("HTTP/1.1 2000 OK\r\n{own}content-length: 27\r\n\r\n", BODY),
    open("HTTP/9.9 200 OK\r\n{own}content-length: 27\r\n\r\n", BODY),
    open("HTTQ/1.1 200 OK\r\n{own}content-length: 27\r\n\r\n", BODY),
    open(
        "HTTP/1.1 200 O\u{1}K\r\n{own}content-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}x a: b\r\ncontent-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}x-a : b\r\ncontent-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}x\t-a: b\r\ncontent-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}x\u{1}a: b\r\ncontent-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}x\u{7f}a: b\r\ncontent-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}x-a: b\u{0}\r\ncontent-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}x-a: b\u{1f}\r\ncontent-length: 27\r\n\r\n",
        BODY,
    ),
    closing("HTTP/1.1 200 OK\r\n{own}content length: 27\r\n\r\n", BODY),
    closing("HTTP/1.1 200 OK\r\n{own}content-length : 27\r\n\r\n", BODY),
    closing(
        "HTTP/1.1 200 OK\r\n{own}content-l\u{1}ngth: 27\r\n\r\n",
        BODY,
    ),
    closing(
        "HTTP/1.1 200 OK\r\n{own}content\u{0}length: 27\r\n\r\n",
        BODY,
    ),
    closing(
        "HTTP/1.1 200 OK\r\n{own}transfer encoding: chunked\r\n\r\n",
        CHUNKED,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}no field\r\ncontent-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}: nameless\r\ncontent-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}x-a: b\r\n folded\r\ncontent-length: 27\r\n\r\n",
        BODY,
    ),
    closing("HTTP/1.1 200 OK\r\n{own}content-length 27\r\n\r\n", BODY),
];

/// A length or an encoding of the body that is invalid or contradicts another one.
const UNREADABLE_LENGTHS: &[Response] = &[
    open("HTTP/1.1 200 OK\r\n{own}content-length: \r\n\r\n", BODY),
    open("HTTP/1.1 200 OK\r\n{own}content-length: 2x\r\n\r\n", BODY),
    open("HTTP/1.1 200 OK\r\n{own}content-length: 2 7\r\n\r\n", BODY),
    open("HTTP/1.1 200 OK\r\n{own}content-length: -27\r\n\r\n", BODY),
    open("HTTP/1.1 200 OK\r\n{own}content-length: 0x1b\r\n\r\n", BODY),
    open("HTTP/1.1 200 OK\r\n{own}content-length: 27.0\r\n\r\n", BODY),
    open(
        "HTTP/1.1 200 OK\r\n{own}content-length: 27, 7\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}content-length: 36893488147419103259\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}content-length: 27\r\ncontent-length: 7\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}transfer-encoding: gzip\r\n\r\n",
        CHUNKED,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunkee\r\n\r\n",
        CHUNKED,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}transfer-encoding: \r\n\r\n",
        CHUNKED,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunked\r\ncontent-length: 27\r\n\r\n",
        CHUNKED,
    ),
];

/// Responses that end before their bodies do.
const CUT_BODIES: &[Response] = &[
    closing("HTTP/1.1 200 OK\r\n{own}content-length: 28\r\n\r\n", BODY),
    closing("HTTP/1.1 200 OK\r\n{own}content-length: 27\r\n\r\n", ""),
    closing(CHUNKED_HEAD, ""),
    closing(CHUNKED_HEAD, "1b\r\nthe answer"),
    closing(CHUNKED_HEAD, "1b\r\nthe answer of this server!!"),
    closing(CHUNKED_HEAD, "1b\r\nthe answer of this server!!\r\n"),
    closing(CHUNKED_HEAD, "1b\r\nthe answer of this server!!\r\n0\r\n"),
    closing(
        CHUNKED_HEAD,
        "1c\r\nthe answer of this server!!\r\n0\r\n\r\n",
    ),
    open(
        CHUNKED_HEAD,
        "1a\r\nthe answer of this server!!\r\n0\r\n\r\n",
    ),
    open(
        CHUNKED_HEAD,
        "x\r\nthe answer of this server!!\r\n0\r\n\r\n",
    ),
    open(
        CHUNKED_HEAD,
        "+1b\r\nthe answer of this server!!\r\n0\r\n\r\n",
    ),
    open(
        CHUNKED_HEAD,
        "0x1b\r\nthe answer of this server!!\r\n0\r\n\r\n",
    ),
];

const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunked\r\n\r\n";

/// Complete responses, in every framing that a server may use.
const WHOLE: &[Response] = &[
    open("HTTP/1.1 200 OK\r\n{own}content-length: 27\r\n\r\n", BODY),
    open("HTTP/1.1 200 OK\r\n{own}content-length: 027\r\n\r\n", BODY),
    open(
        "HTTP/1.1 200 OK\r\n{own}content-length: 27\r\ncontent-length: 27\r\n\r\n",
        BODY,
    ),
    open("HTTP/1.1 200\r\n{own}content-length: 27\r\n\r\n", BODY),
    open("HTTP/1.0 200 OK\r\n{own}content-length: 27\r\n\r\n", BODY),
    open("HTTP/1.1 200 OK\r\n{own}Content-Length: 27\r\n\r\n", BODY),
    open(
        "HTTP/1.1 200 OK\r\n{own}via: HTTP/1.1 gateway\r\ncontent-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n\
         HTTP/1.1 200 OK\r\n{own}content-length: 27\r\n\r\n",
        BODY,
    ),
    open(CHUNKED_HEAD, CHUNKED),
    open(
        "HTTP/1.1 200 OK\r\n{own}transfer-encoding: Chunked\r\n\r\n",
        CHUNKED,
    ),
    open(
        CHUNKED_HEAD,
        "1B;a=b\r\nthe answer of this server!!\r\n00\r\n\r\n",
    ),
    open(
        CHUNKED_HEAD,
        "a\r\nthe answer\r\n11\r\n of this server!!\r\n0\r\nx-sum: 1\r\nx-b:\r\n\r\n",
    ),
    closing("HTTP/1.1 200 OK\r\n{own}connection: close\r\n\r\n", BODY),
    closing(
        "HTTP/1.1 200 OK\r\n{own}connection: x-a, Close\r\n\r\n",
        BODY,
    ),
    closing("HTTP/1.0 200 OK\r\n{own}\r\n", BODY),
];

/// Starts a server that sends the response which the request names.
fn start_server() -> SocketAddr {
    listen(|head, stream| {
        let (table, number, segments) = plan(&head);
        let response = &table[number];
        let closes = response.end == End::Closes;
        let is_sent = send_response(response, segments, &head, stream);
        is_sent.is_ok() && !closes
    })
}

fn send_response(
    response: &Response,
    segments: Segments,
    request: &Head,
    stream: &mut TcpStream,
) -> std::io::Result<()> {
    let own = format!(
        "x-wingspur-request-id: {}\r\nx-wingspur-server-stamp: stamp\r\n",
        request.headers["x-wingspur-request-id"]
    );
    let own = |text: &str| text.replace("{own}", &own);
    let (head, rest) = (own(response.head), own(response.after_head));
    RESPONSES.fetch_add(1, Ordering::AcqRel);
    stream.set_nodelay(true)?;
    match segments {
        Segments::One => stream.write_all(format!("{head}{rest}").as_bytes()),
        Segments::Two => {
            stream.write_all(head.as_bytes())?;
            std::thread::sleep(PAUSE);
            stream.write_all(rest.as_bytes())
        }
    }
}

/// Returns the table, the number in it and the segments that a request asks for.
fn plan(request: &Head) -> (&'static [Response], usize, Segments) {
    let plan: Vec<usize> = request.headers["x-plan"]
        .split(' ')
        .map(|part| part.parse().expect("the plan has three numbers"))
        .collect();
    let segments = match plan[2] {
        0 => Segments::One,
        _ => Segments::Two,
    };
    (TABLES[plan[0]], plan[1], segments)
}

fn send(caller: Caller, id: &str, table: usize, n: usize, segments: Segments) -> Answer {
    let plan = format!("{table} {n} {}", u8::from(segments == Segments::Two));
    let headers = [
        ("host", "site.example"),
        ("x-wingspur-request-id", id),
        ("x-plan", plan.as_str()),
    ];
    let path = format!("/once_only/{id}");
    call(caller.address(), "POST", &path, &headers, b"the body")
}

fn start() -> DirectAndRelayed {
    let servers = [start_server(), start_server()];
    DirectAndRelayed::start(&servers, |caller| {
        send(caller, "first", WHOLE_TABLE, 0, Segments::One).status == 200
    })
}

/// Sends each response of a table to each box, on a new connection and on one that has
/// carried a response before, and collects what is wrong with what the caller gets.
fn play(table: usize, check: impl Fn(&Response, &Answer) -> Result<(), String>) {
    let boxes = start();
    let mut wrong = Vec::new();
    let mut sent = 0;
    for (n, response) in TABLES[table].iter().enumerate() {
        for segments in [Segments::One, Segments::Two] {
            for is_reused in [false, true] {
                for (relays, caller) in boxes.callers().into_iter().enumerate() {
                    sent += 1;
                    let id = format!("{table}-{sent}");
                    if is_reused {
                        let before = format!("{id}-before");
                        send(caller, &before, WHOLE_TABLE, 0, Segments::One);
                    }
                    let answer = send(caller, &id, table, n, segments);
                    if let Err(error) = check(response, &answer) {
                        wrong.push(format!(
                            "{:?} {:?}, {segments:?}, reused: {is_reused}, relays: \
                             {relays}: {error}",
                            response.head, response.after_head
                        ));
                    }
                }
            }
        }
    }
    boxes.close();
    assert!(RESPONSES.load(Ordering::Acquire) >= sent);
    assert!(
        wrong.is_empty(),
        "{} of {sent}:\n{}",
        wrong.len(),
        wrong.join("\n")
    );
}

/// Checks that a caller has got an error of the box instead of the server's response.
fn check_refused(_: &Response, answer: &Answer) -> Result<(), String> {
    let has_stamp = answer.headers.contains_key("x-wingspur-server-stamp");
    match answer.status {
        502 if answer.whole && !has_stamp => Ok(()),
        status => Err(format!(
            "{status} {:?}",
            String::from_utf8_lossy(&answer.body)
        )),
    }
}

fn check_delivered(_: &Response, answer: &Answer) -> Result<(), String> {
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
    play(WHOLE_TABLE, check_delivered);
}

#[test]
fn response_with_an_unreadable_head_is_refused() {
    play(1, check_refused);
}

#[test]
fn response_with_an_unreadable_length_is_refused() {
    play(2, check_refused);
}

#[test]
fn response_with_a_cut_body_is_refused() {
    play(3, check_refused);
}

const TABLES: &[&[Response]] = &[WHOLE, UNREADABLE_HEADS, UNREADABLE_LENGTHS, CUT_BODIES];
const WHOLE_TABLE: usize = 0;
/// The number of responses that servers have sent.
static RESPONSES: AtomicUsize = AtomicUsize::new(0);
/// The time between two segments, so that the first is read alone.
const PAUSE: Duration = Duration::from_millis(3);
