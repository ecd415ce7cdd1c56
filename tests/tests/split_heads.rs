//! Request heads that arrive in pieces, slowly, or never whole.

mod edge;

use std::convert::Infallible;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use edge::{Deployment, Route, configuration};
use futures_lite::StreamExt;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Bytes, Frame, Incoming};
use hyper::{Request, Response};
use smol_hyper::rt::{FuturesIo, SmolExecutor};
use wingspur_tests::{BackendServer, Reply};
use wingspur_transport::{HeadTimeout, HttpListener, ListenerOptions, Workers};

const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// A SETTINGS frame without settings.
const SETTINGS: &[u8] = &[0, 0, 0, 4, 0, 0, 0, 0, 0];
const SHORT: Duration = Duration::from_millis(100);
/// Enough for a client that writes the preface and its first frame one after the other.
const SPACIOUS: Duration = Duration::from_secs(2);
/// Longer than a test may take.
const LONG: Duration = Duration::from_secs(3600);
/// Time between two pieces, so that they arrive one by one.
const PAUSE: Duration = Duration::from_millis(10);

/// A listener whose responses repeat the method and the body of the request.
struct Echo {
    listener: HttpListener,
    workers: Workers,
}

impl Echo {
    fn start(head_timeout: Duration) -> Self {
        let workers = Workers::start(1);
        let port = smol::block_on(smol::net::TcpListener::bind("127.0.0.1:0"));
        let options = ListenerOptions {
            head_timeout: HeadTimeout::fixed(head_timeout),
            idle_timeout: LONG,
            ..ListenerOptions::default()
        };
        let handler = |request: Request<Incoming>, _: SocketAddr| async {
            let (parts, body) = request.into_parts();
            let body = body.collect().await.map(|body| body.to_bytes());
            let mut echo = parts.method.as_str().as_bytes().to_vec();
            echo.extend(body.unwrap_or_default());
            Response::new(Full::new(Bytes::from(echo)))
        };
        let port = port.expect("a port is free");
        let listener = HttpListener::start(port, &workers.spawner(), options, handler);
        Self {
            listener: listener.expect("the port is bound"),
            workers,
        }
    }

    fn connect(&self) -> TcpStream {
        connect(self.listener.address())
    }

    fn late_heads(&self) -> usize {
        self.listener.counts().late_heads.load(Ordering::Acquire)
    }

    fn close(self) {
        smol::block_on(self.listener.close(Duration::ZERO));
        self.workers.close();
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the listener accepts");
    stream.set_nodelay(true).expect("the socket is open");
    let patience = Some(Duration::from_secs(20));
    stream.set_read_timeout(patience).expect("it is not zero");
    stream
}

/// Sends each piece on its own.
fn send(stream: &mut TcpStream, pieces: &[&[u8]]) {
    for piece in pieces {
        stream.write_all(piece).expect("the connection is open");
        std::thread::sleep(PAUSE);
    }
}

/// Reads a response whose body ends with `end`.
fn read_response(stream: &mut TcpStream, end: &str) -> String {
    let mut text = Vec::new();
    let mut chunk = [0; 1024];
    while !text.ends_with(end.as_bytes()) {
        let length = stream.read(&mut chunk).expect("a response arrives");
        assert!(length > 0, "{:?}", String::from_utf8_lossy(&text));
        text.extend(&chunk[..length]);
    }
    String::from_utf8(text).expect("the response is text")
}

/// Reads until the other side ends the connection, and returns what it sent.
fn read_to_end(stream: &mut TcpStream) -> Vec<u8> {
    let mut received = Vec::new();
    if let Err(error) = stream.read_to_end(&mut received) {
        let is_reset = error.kind() == std::io::ErrorKind::ConnectionReset;
        assert!(is_reset, "the connection did not end: {error}");
    }
    received
}

fn post(method: &str) -> Vec<u8> {
    let head = "/a HTTP/1.1\r\nhost: site.example\r\ncontent-length: 5\r\n\r\n";
    format!("{method} {head}sheet").into_bytes()
}

/// Acting too early: the first bytes of a head are taken for the preface of HTTP/2.
#[test]
fn head_that_begins_like_the_http2_preface_is_served_over_http1() {
    let echo = Echo::start(LONG);
    for method in ["POST", "PUT", "PATCH", "PRI", "PRINT", "GET"] {
        let request = post(method);
        for first in 1..=6 {
            let mut stream = echo.connect();
            send(&mut stream, &[&request[..first], &request[first..]]);
            let response = read_response(&mut stream, "sheet");
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
            assert!(response.ends_with(&format!("{method}sheet")), "{response}");
        }
        let mut stream = echo.connect();
        let bytes: Vec<&[u8]> = request.chunks(1).collect();
        send(&mut stream, &bytes);
        read_response(&mut stream, "sheet");
    }
    assert_eq!(echo.listener.counts().http2.load(Ordering::Acquire), 0);
    echo.close();
}

#[test]
fn http2_preface_in_pieces_is_served_over_http2() {
    let echo = Echo::start(LONG);
    for first in [1, 3, 4, 14, 23] {
        let mut stream = echo.connect();
        send(
            &mut stream,
            &[&PREFACE[..first], &PREFACE[first..], SETTINGS],
        );
        let mut frame = [0; 9];
        stream.read_exact(&mut frame).expect("a frame arrives");
        assert_eq!(
            frame[3], 4,
            "the first frame is a SETTINGS frame: {frame:?}"
        );
    }
    assert_eq!(echo.listener.counts().http2.load(Ordering::Acquire), 5);
    echo.close();
}

/// Acting too late: a head or a preface that is begun and never completed holds its
/// connection.
#[test]
fn head_that_is_never_completed_ends_by_the_head_timeout() {
    let echo = Echo::start(SHORT);
    let begun: [&[u8]; 5] = [
        b"P",
        b"PRI * HT",
        &PREFACE[..23],
        b"G",
        b"POST /a HTTP/1.1\r\nhost:",
    ];
    for pieces in begun {
        let mut stream = echo.connect();
        send(&mut stream, &[pieces]);
        assert_eq!(read_to_end(&mut stream), b"");
    }
    // The same on a connection that was used before.
    let mut stream = echo.connect();
    send(&mut stream, &[&post("POST")]);
    read_response(&mut stream, "POSTsheet");
    send(&mut stream, &[b"P"]);
    assert_eq!(read_to_end(&mut stream), b"");
    assert_eq!(echo.late_heads(), 6);
    echo.close();
}

/// Acting too late: frames of HTTP/2 that are begun and never completed hold their
/// connection.
#[test]
fn http2_frame_that_is_never_completed_ends_by_the_head_timeout() {
    let echo = Echo::start(SHORT);
    // The last is a HEADERS frame whose block goes on in a further frame.
    let begun: [&[u8]; 4] = [
        b"",
        &SETTINGS[..3],
        &[SETTINGS, &[0, 0, 5, 1, 4, 0, 0, 0, 1, 0x82]].concat(),
        &[SETTINGS, &[0, 0, 1, 1, 0, 0, 0, 0, 1, 0x82]].concat(),
    ];
    for frames in begun {
        let mut stream = echo.connect();
        send(&mut stream, &[&[PREFACE, frames].concat()]);
        read_to_end(&mut stream);
    }
    assert_eq!(echo.late_heads(), 4);
    echo.close();
}

/// Acting too early: the time of a frame counts while none is arriving, or data is.
#[test]
fn idle_http2_connection_and_slow_data_outlive_the_head_timeout() {
    let echo = Echo::start(SPACIOUS);
    smol::block_on(async {
        let stream = smol::net::TcpStream::connect(echo.listener.address()).await;
        let io = FuturesIo::new(stream.expect("the listener accepts"));
        let executor = SmolExecutor::new(echo.workers.spawner());
        let connected = hyper::client::conn::http2::handshake(executor, io).await;
        let (mut sender, connection) = connected.expect("the listener speaks HTTP/2");
        echo.workers.spawner().detach(async move {
            let _ = connection.await;
        });
        smol::Timer::after(SPACIOUS * 3 / 2).await;
        let pieces = ["she", "et"].map(|piece| Bytes::from_static(piece.as_bytes()));
        let pieces = futures_lite::stream::iter(pieces).then(|piece| async move {
            smol::Timer::after(SPACIOUS * 3 / 2).await;
            Ok::<_, Infallible>(Frame::data(piece))
        });
        let request = Request::post("http://site.example/a");
        let request = request.body(StreamBody::new(Box::pin(pieces)));
        let sent = sender
            .send_request(request.expect("the path is valid"))
            .await;
        let body = sent.expect("it is served").into_body().collect().await;
        assert_eq!(body.expect("it is whole").to_bytes(), "POSTsheet");
    });
    assert_eq!(echo.late_heads(), 0);
    echo.close();
}

/// Acting too early: frames whose ends always arrive with the start of the next one count
/// as a single one that takes too long.
#[test]
fn http2_frames_that_overlap_reads_outlive_the_head_timeout() {
    let echo = Echo::start(SPACIOUS);
    let mut stream = echo.connect();
    // A frame of an unknown type, which servers ignore.
    let frame = [0, 0, 1, 0x20, 0, 0, 0, 0, 0, 7];
    let (start, end) = frame.split_at(5);
    send(&mut stream, &[&[PREFACE, SETTINGS, start].concat()]);
    let until = Instant::now() + SPACIOUS * 3 / 2;
    while Instant::now() < until {
        send(&mut stream, &[&[end, start].concat()]);
    }
    assert_eq!(echo.late_heads(), 0);
    send(&mut stream, &[end]);
    echo.close();
}

/// Acting too late: each further byte gives the head more time.
#[test]
fn head_that_trickles_in_ends_by_the_head_timeout() {
    let echo = Echo::start(SHORT);
    let mut stream = echo.connect();
    let request = post("POST");
    // The last line of the head never comes.
    for byte in &request[..request.len() - 10] {
        if stream.write_all(&[*byte]).is_err() {
            break;
        }
        std::thread::sleep(PAUSE);
    }
    assert_eq!(read_to_end(&mut stream), b"");
    assert_eq!(echo.late_heads(), 1);
    echo.close();
}

/// Acting too early: the time of a head counts while none is arriving.
#[test]
fn idle_connection_and_slow_body_outlive_the_head_timeout() {
    let echo = Echo::start(SHORT);
    let mut stream = echo.connect();
    std::thread::sleep(3 * SHORT);
    for _ in 0..2 {
        let request = post("POST");
        let (head, body) = request.split_at(request.len() - 5);
        send(&mut stream, &[head]);
        for byte in body {
            std::thread::sleep(SHORT);
            send(&mut stream, &[&[*byte]]);
        }
        let response = read_response(&mut stream, "sheet");
        assert!(response.ends_with("POSTsheet"), "{response}");
        std::thread::sleep(3 * SHORT);
    }
    assert_eq!(echo.late_heads(), 0);
    echo.close();
}

#[test]
fn callers_of_a_box_get_the_head_timeout_of_the_configuration() {
    let servers = [BackendServer::start(|_| Reply::Complete)];
    let deployment = Deployment::start(&servers, &[Route::new("read")]);
    let mut shorter = configuration(100, &[Route::new("read")]);
    shorter["limits"]["head_timeout_ms"] = 100.into();
    deployment.roll_out(&shorter);
    for begun in [&b"P"[..], b"GET /read/a HTTP/1.1\r\n"] {
        let mut stream = connect(deployment.caller().address());
        send(&mut stream, &[begun]);
        assert_eq!(read_to_end(&mut stream), b"");
    }
    deployment.close();
}
