//! A response that ends with its connection is complete only if the server has ended the
//! connection, also where the reset is first noticed by the sending of the request.

mod edge;

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use edge::{Caller, DirectAndRelayed};
use futures_lite::future;
use hyper::Method;
use hyper::body::Bytes;
use wingspur_tests::{read_body, read_request_head};
use wingspur_transport::{
    BackendConnections, BufferBudget, ResponseError, ReusePolicy, SendBody,
};

/// How a server ends the connection on which it has sent its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Reset,
    /// The server ends its direction. The rest of the request is answered by a reset.
    CloseThenReset,
}

fn reset(stream: TcpStream) {
    let linger = Some(Duration::ZERO);
    socket2::SockRef::from(&stream).set_linger(linger).unwrap();
    drop(stream);
}

fn end_connection(stream: TcpStream, end: End) {
    if end == End::CloseThenReset {
        stream.shutdown(std::net::Shutdown::Write).unwrap();
    }
    reset(stream);
}

/// Sends a request that is longer than the buffers of its connection, and reads the
/// response that a server sends before it ends the connection.
fn exchange(response: &[u8], end: End) -> Result<Bytes, ResponseError> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let connections = BackendConnections::new(address, BufferBudget::unlimited());
    smol::block_on(async {
        let timeout = Duration::from_secs(5);
        let connected = connections.connect(ReusePolicy::Any, None, timeout).await;
        let mut connection = connected.unwrap();
        let mut stream = listener.accept().unwrap().0;
        let head = format!("POST /a HTTP/1.1\r\ncontent-length: {UPLOAD_BYTES}\r\n\r\n");
        let body = SendBody::buffered(vec![b'u'; UPLOAD_BYTES].into());
        {
            let method = Method::POST;
            let sending = connection.send_request(head.into_bytes(), body, &method, None);
            let mut sending = pin!(sending);
            // Fills the buffers, so that the end of the connection wakes the writer.
            while future::poll_once(&mut sending).await.is_none() {
                if stream.peek(&mut [0]).unwrap() > 0 {
                    break;
                }
            }
            stream.write_all(response).unwrap();
            end_connection(stream, end);
            // The kernel may deliver the end later than the call returns.
            std::thread::sleep(Duration::from_millis(20));
            sending.await?;
        }
        let body = connection.read_whole(1 << 20).await?;
        Ok(body.expect("the body is short"))
    })
}

const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\na part";
const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nwhole!";
const CUT: &str = "HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\nwhole!";

#[test]
fn body_without_length_is_incomplete_after_a_reset() {
    let received = exchange(UNTIL_CLOSE.as_bytes(), End::Reset);
    assert!(
        matches!(received, Err(ResponseError::Broken(_))),
        "{received:?}"
    );
}

#[test]
fn body_without_length_is_complete_if_the_reset_follows_its_end() {
    let received = exchange(UNTIL_CLOSE.as_bytes(), End::CloseThenReset);
    assert_eq!(received.unwrap(), "a part");
}

#[test]
fn body_of_known_length_is_complete_before_a_reset() {
    for end in [End::Reset, End::CloseThenReset] {
        let received = exchange(WHOLE.as_bytes(), end);
        assert_eq!(received.unwrap(), "whole!", "{end:?}");
        let received = exchange(CUT.as_bytes(), end);
        assert!(
            matches!(received, Err(ResponseError::Broken(_))),
            "{received:?}"
        );
    }
}

/// Starts a server that sends a response without a length once it has read the head of a
/// request, and ends the connection as the request says.
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
    let mut reader = BufReader::with_capacity(512, stream.try_clone().unwrap());
    while let Some(head) = read_request_head(&mut reader) {
        let id = &head.headers["x-wingspur-request-id"];
        let own =
            format!("x-wingspur-request-id: {id}\r\nx-wingspur-server-stamp: stamp\r\n");
        let end = match head.headers["x-plan"].as_str() {
            "reset" => End::Reset,
            "close" => End::CloseThenReset,
            _ => {
                let _ = read_body(&mut reader, &head.headers);
                let whole =
                    format!("HTTP/1.1 200 OK\r\n{own}content-length: 2\r\n\r\nok");
                stream.write_all(whole.as_bytes()).unwrap();
                continue;
            }
        };
        let head = format!("HTTP/1.1 200 OK\r\n{own}connection: close\r\n\r\n");
        let response = [head.as_bytes(), &[b'a'; PART_BYTES]].concat();
        // Fails if the box has closed the connection.
        let _ = stream.write_all(&response);
        ENDED.fetch_add(1, Ordering::AcqRel);
        drop(reader);
        if end == End::CloseThenReset {
            let _ = stream.shutdown(std::net::Shutdown::Write);
        }
        return reset(stream);
    }
}

/// Sends an upload, in chunks or with a length; returns the status and the length of the
/// body of the response, or `None` if it is cut off.
fn upload(
    caller: Caller,
    id: &str,
    plan: &str,
    is_chunked: bool,
) -> Option<(u16, usize)> {
    let mut stream = TcpStream::connect(caller.address()).unwrap();
    let limit = Some(Duration::from_secs(20));
    stream.set_read_timeout(limit).unwrap();
    let framing = match is_chunked {
        true => "transfer-encoding: chunked".to_owned(),
        false => format!("content-length: {}", PIECES * PIECE.len()),
    };
    let head = format!(
        "POST /once_only/a HTTP/1.1\r\nhost: site.example\r\n\
         x-wingspur-request-id: {id}\r\nx-plan: {plan}\r\n{framing}\r\n\r\n"
    );
    let mut sent = stream.write_all(head.as_bytes());
    for _ in 0..PIECES {
        let size = format!("{:x}\r\n", PIECE.len());
        let piece = match is_chunked {
            true => [size.as_bytes(), PIECE, b"\r\n"].concat(),
            false => PIECE.to_vec(),
        };
        sent = sent.and_then(|()| stream.write_all(&piece));
    }
    if is_chunked {
        sent = sent.and_then(|()| stream.write_all(b"0\r\n\r\n"));
    }
    // The box may have refused the request before its end.
    let _ = sent;
    read_response(&mut BufReader::new(stream))
}

fn read_response(reader: &mut BufReader<TcpStream>) -> Option<(u16, usize)> {
    let response = wingspur_tests::read_keep_alive_response(reader)?;
    Some((response.status, response.body.len()))
}

/// Sends uploads, in chunks and with a length, to some boxes; returns how many got which
/// status and length of a body.
fn upload_many(
    plan: &str,
    pick: impl Fn([Caller; 2]) -> Vec<Caller>,
) -> BTreeMap<Option<(u16, usize)>, usize> {
    let servers = [start_server(), start_server()];
    let boxes = DirectAndRelayed::start(&servers, |caller| {
        upload(caller, "first", "whole", false) == Some((200, 2))
    });
    let mut outcomes = BTreeMap::new();
    for n in 0..UPLOADS {
        for caller in pick(boxes.callers()) {
            for is_chunked in [true, false] {
                let id = format!("id-{n}-{is_chunked}");
                let outcome = upload(caller, &id, plan, is_chunked);
                *outcomes.entry(outcome).or_default() += 1;
            }
        }
    }
    boxes.close();
    assert!(ENDED.load(Ordering::Acquire) > 0);
    outcomes
}

/// Guards against the part of a response being passed on as the whole: the reset was
/// reported to the sending of the request only.
#[test]
fn part_of_a_response_is_not_passed_on_as_the_whole() {
    let outcomes = upload_many("reset", |both| both.to_vec());
    let is_refused = |outcome: &Option<_>| matches!(outcome, Some((502, _)));
    assert!(outcomes.keys().all(is_refused), "{outcomes:?}");
}

#[test]
fn response_that_the_server_has_ended_is_delivered_although_a_reset_follows() {
    let outcomes = upload_many("close", |[direct, _]| vec![direct]);
    assert_eq!(outcomes.keys().collect::<Vec<_>>(), [&WHOLE_OUTCOME]);
}

#[test]
fn relayed_response_that_the_server_has_ended_is_delivered_although_a_reset_follows() {
    let outcomes = upload_many("close", |[_, relayed]| vec![relayed]);
    assert_eq!(outcomes.keys().collect::<Vec<_>>(), [&WHOLE_OUTCOME]);
}

/// Longer than the buffers of both sides of a connection.
const UPLOAD_BYTES: usize = 32 << 20;
/// The beginning of the response that a server sends before it resets.
const PART_BYTES: usize = 3000;
/// What a caller gets of a response that is complete.
const WHOLE_OUTCOME: Option<(u16, usize)> = Some((200, PART_BYTES));
const UPLOADS: usize = 100;
const PIECES: usize = 99;
const PIECE: &[u8] = &[b'u'; 1000];
/// The number of connections that servers have ended during an upload.
static ENDED: AtomicUsize = AtomicUsize::new(0);
