//! A response whose head is cut off is never passed on, wherever the cut is.

mod edge;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use edge::{Caller, DirectAndRelayed};
use wingspur_tests::{Answer, Head, call, read_body, read_request_head};

/// How a server ends a response that it does not complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Closes,
    Resets,
}

/// What comes on the connection before the head that is cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Before {
    /// Nothing: the request is the first one on its connection.
    Nothing,
    /// The whole response to an earlier request.
    Response,
    Interim,
}

const FRAMINGS: [&str; 3] = [
    "content-length: 2\r\n",
    "transfer-encoding: chunked\r\n",
    "connection: close\r\n",
];

fn start() -> DirectAndRelayed {
    let servers = [start_server(), start_server()];
    DirectAndRelayed::start(&servers, |caller| {
        send(caller, "first", "whole").status == 200
    })
}

/// Starts a server that follows the plan in each request.
fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}

fn serve(mut stream: TcpStream) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut is_first = true;
    while let Some(head) = read_request_head(&mut reader) {
        let body = read_body(&mut reader, &head.headers);
        if body.is_none() || !respond(&head, is_first, &mut stream) {
            return;
        }
        is_first = false;
    }
}

/// Responds by the plan `CUT WAY BEFORE FRAMING`, or completely to any other one. Returns
/// whether the connection stays open.
fn respond(head: &Head, is_first: bool, stream: &mut TcpStream) -> bool {
    let id = &head.headers["x-wingspur-request-id"];
    let plan: Vec<&str> = head.headers["x-plan"].split(' ').collect();
    let [cut, way, before, framing] = plan[..] else {
        let whole = format!("{}ok", response_head(id, FRAMINGS[0]));
        return stream.write_all(whole.as_bytes()).is_ok();
    };
    if before == "Interim" {
        let interim = b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
        stream.write_all(interim).unwrap();
    }
    let framing = FRAMINGS[framing.parse::<usize>().unwrap()];
    let response = response_head(id, framing);
    let cut = response.len() * cut.parse::<usize>().unwrap() / CUTS;
    stream.write_all(&response.as_bytes()[..cut]).unwrap();
    CUT_LATER.fetch_add(usize::from(!is_first), Ordering::AcqRel);
    if way == "Resets" {
        // Lets the box read what was sent.
        std::thread::sleep(Duration::from_millis(2));
        let linger = Some(Duration::ZERO);
        socket2::SockRef::from(&*stream).set_linger(linger).unwrap();
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
    false
}

fn response_head(id: &str, framing: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-wingspur-request-id: {id}\r\n\
         x-wingspur-server-stamp: stamp\r\n{framing}\r\n"
    )
}

fn send(caller: Caller, id: &str, plan: &str) -> Answer {
    let headers = [
        ("host", "site.example"),
        ("x-wingspur-request-id", id),
        ("x-plan", plan),
    ];
    let path = format!("/once_only/{id}");
    call(caller.address(), "POST", &path, &headers, b"the body")
}

#[test]
fn a_head_that_is_cut_off_ends_in_502() {
    let fleet = start();
    let mut sent = 0;
    for framing in 0..FRAMINGS.len() {
        for before in [Before::Nothing, Before::Response, Before::Interim] {
            for way in [Way::Closes, Way::Resets] {
                for cut in 0..CUTS {
                    for caller in fleet.callers() {
                        sent += 1;
                        if before == Before::Response {
                            let before = format!("{sent}-before");
                            assert_eq!(send(caller, &before, "whole").status, 200);
                        }
                        let plan = format!("{cut} {way:?} {before:?} {framing}");
                        let answer = send(caller, &sent.to_string(), &plan);
                        assert_eq!(answer.status, 502, "{plan}: {answer:?}");
                    }
                }
            }
        }
    }
    assert!(CUT_LATER.load(Ordering::Acquire) > 0);
    fleet.close();
}

/// Number of heads that were cut off on a connection that had been used before.
static CUT_LATER: AtomicUsize = AtomicUsize::new(0);
/// Places at which a head is cut, from before its first byte on.
const CUTS: usize = 40;
