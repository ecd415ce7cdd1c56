//! Spoiled responses and resets, as the clients over hyper read them: that of own sources,
//! and that of the store and of peers.

mod raw_responses;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body::Bytes;
use hyper::header::HeaderValue;
use hyper::{Method, Request};
use raw_responses::*;
use wingspur_tests::{read_body, read_request_head};
use wingspur_transport::{
    BackendPool, FaultInjector, HttpClient, PoolReuse, SendBody, Workers,
};

/// Sends a request with a body of some length; returns the body of the response.
type Send<'a> = &'a dyn Fn(SocketAddr, usize) -> Result<Bytes, String>;

/// Runs a check over each client.
fn with_clients(check: impl Fn(&str, Send)) {
    let workers = Workers::start(2);
    let send_from_pool = |to, length| {
        let pool = BackendPool::new(to, workers.spawner());
        let expired = async {
            wingspur_clock::sleep(TIMEOUT).await;
            Err("no complete response in time".to_owned())
        };
        smol::block_on(send_from_pool(&pool, length).or(expired))
    };
    check("pool", &send_from_pool);
    let send_to_store = |to, length| {
        let client = HttpClient::new(workers.spawner(), FaultInjector::default());
        let body = vec![b'u'; length];
        let sending = client.request(to, Method::POST, "/a", body, TIMEOUT);
        let response = smol::block_on(sending);
        response
            .map(|response| response.body)
            .map_err(|e| e.to_string())
    };
    check("client", &send_to_store);
    workers.close();
}

async fn send_from_pool(pool: &BackendPool, length: usize) -> Result<Bytes, String> {
    let request = Request::post("/a").header("x-request-id", "id");
    let body = SendBody::buffered(vec![b'u'; length].into());
    let request = request.body(body).unwrap();
    let id = HeaderValue::from_static("id");
    let sent = pool.send(request, Some(&id), PoolReuse::Any).await;
    let (response, _connection) = sent.map_err(|e| e.to_string())?;
    let body = response.into_body().collect().await;
    body.map(|body| body.to_bytes()).map_err(|e| e.to_string())
}

/// Starts a server that handles one connection.
fn start_server(
    serve: impl FnOnce(BufReader<TcpStream>, TcpStream) + std::marker::Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let stream = listener.accept().unwrap().0;
        let reader = BufReader::with_capacity(512, stream.try_clone().unwrap());
        serve(reader, stream);
    });
    address
}

/// Sends a request to a server with this response; returns the body that is received.
fn receive(send: Send, response: &'static Response) -> Result<Bytes, String> {
    let address = start_server(move |mut reader, mut stream| {
        let head = read_request_head(&mut reader).unwrap();
        read_body(&mut reader, &head.headers).unwrap();
        let own = "x-request-id: id\r\n";
        let text = [response.head, response.after_head].concat();
        stream
            .write_all(text.replace("{own}", own).as_bytes())
            .unwrap();
        if response.end == End::StaysOpen {
            // Until the client closes the connection.
            let _ = stream.peek(&mut [0]);
        }
    });
    send(address, 8)
}

fn assert_refused(responses: &[&'static [Response]]) {
    with_clients(|client, send| {
        let responses = responses.iter().flat_map(|table| table.iter());
        let wrong: Vec<_> = responses
            .filter_map(|response| {
                let received = receive(send, response).ok()?;
                Some(format!(
                    "{:?} {:?}: {received:?}",
                    response.head, response.after_head
                ))
            })
            .collect();
        let count = wrong.len();
        assert!(wrong.is_empty(), "{client}: {count}:\n{}", wrong.join("\n"));
    });
}

#[test]
fn whole_response_is_read_by_each_client() {
    with_clients(|client, send| {
        for response in WHOLE.iter().chain(FOLLOWED) {
            let received = receive(send, response);
            assert_eq!(received.unwrap(), BODY, "{client} {}", response.head);
        }
    });
}

#[test]
fn spoiled_head_is_refused_by_each_client() {
    assert_refused(&[
        UNREADABLE_HEADS,
        UNREADABLE_LENGTHS,
        SIGNED_LENGTHS,
        CODINGS,
        STATUSES,
        BODILESS,
        MIXED_LINE_ENDS,
        JOINED_HEADS,
    ]);
}

#[test]
fn body_without_a_sound_end_is_refused_by_each_client() {
    assert_refused(&[
        CUT_BODIES,
        SIZELESS_CHUNKS,
        TRAILERS,
        TOO_LONG,
        TOO_LONG_FROM_THE_START,
        UNANNOUNCED_ENDS,
        MISSPELLED,
    ]);
}

/// Sends the same response on each connection as often as it is asked for, byte by byte,
/// and without its body to a `HEAD`.
fn start_slow_server(response: &'static Response) -> SocketAddr {
    wingspur_tests::listen(|head, stream| {
        let _ = stream.set_nodelay(true);
        let response_head = response.head.replace("{own}", "x-request-id: id\r\n");
        let body = match head.method.as_str() {
            "HEAD" => "",
            _ => response.after_head,
        };
        let bytes = [response_head.as_bytes(), body.as_bytes()].concat();
        bytes.iter().all(|byte| {
            std::thread::yield_now();
            stream.write_all(&[*byte]).is_ok()
        })
    })
}

/// Guards against a check that loses its place between two responses, or takes the length
/// in the response to a `HEAD` for that of a body.
#[test]
fn whole_responses_are_read_byte_by_byte_on_one_connection() {
    let workers = Workers::start(2);
    let is_kept = |response: &&Response| response.end == End::StaysOpen;
    let (mut sent, mut opened) = (0, 0);
    for response in WHOLE.iter().filter(is_kept) {
        let pool = BackendPool::new(start_slow_server(response), workers.spawner());
        for n in 0..6 {
            let (method, body) = match n % 2 {
                0 => (Method::HEAD, ""),
                _ => (Method::GET, BODY),
            };
            let request = Request::builder().method(method).uri("/a");
            let request = request.body(SendBody::empty()).unwrap();
            let received = smol::block_on(async {
                let sent = pool.send(request, None, PoolReuse::Any).await;
                let (received, connection) = sent.unwrap();
                let received = received.into_body().collect().await;
                pool.release(connection);
                // The connection may take the next request a moment later.
                wingspur_clock::sleep(Duration::from_millis(2)).await;
                received.unwrap().to_bytes()
            });
            assert_eq!(received, body, "{}", response.head);
            sent += 1;
        }
        opened += pool.opened();
    }
    assert!(opened < sent, "no connection carried two responses");
    workers.close();
}

/// Guards against the part of a response being taken for the whole where the reset is
/// noticed by the sending of the request.
#[test]
fn body_without_length_is_incomplete_after_a_reset_for_each_client() {
    with_clients(|client, send| {
        for n in 0..RESETS {
            let address = start_server(|mut reader, mut stream| {
                read_request_head(&mut reader).unwrap();
                let head = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\na part";
                stream.write_all(head.as_bytes()).unwrap();
                let linger = Some(Duration::ZERO);
                socket2::SockRef::from(&stream).set_linger(linger).unwrap();
            });
            let received = send(address, UPLOAD_BYTES);
            assert!(received.is_err(), "{client} {n}: {received:?}");
        }
    });
}

/// Only a response that never ends takes so long.
const TIMEOUT: Duration = Duration::from_secs(2);
const RESETS: usize = 100;
/// Longer than what the server reads, so that it is still being sent.
const UPLOAD_BYTES: usize = 99_000;
