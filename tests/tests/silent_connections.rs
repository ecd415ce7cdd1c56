//! Connections that go silent without a reset, and the reuse of those that do not.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Barrier};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::{Method, Request};
use wingspur_transport::{
    BackendPool, FaultInjector, HttpClient, HttpClientError, PoolReuse, SendBody, Workers,
};

const CONNECTIONS: usize = 3;
/// Enough calls that some begin before the connection's task is ready for the next one.
const SUCCESSIVE_CALLS: usize = 2_000;
const SHORT: Duration = Duration::from_millis(100);
const LONG: Duration = Duration::from_secs(30);

/// A server that answers one request on each of its first connections, once all of them
/// are open, and is silent there from then on. Later connections work.
struct Server {
    address: SocketAddr,
    accepted: Arc<AtomicUsize>,
}

impl Server {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let accepted = Arc::new(AtomicUsize::new(0));
        let count = accepted.clone();
        let all_open = Arc::new(Barrier::new(CONNECTIONS));
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let number = count.fetch_add(1, Ordering::SeqCst);
                let all_open = (number < CONNECTIONS).then(|| all_open.clone());
                let stream = stream.expect("the listener works");
                std::thread::spawn(move || serve(stream, all_open));
            }
        });
        Self { address, accepted }
    }
}

/// Answers requests, with `all_open` only the first one.
fn serve(mut stream: TcpStream, all_open: Option<Arc<Barrier>>) {
    let mut request = [0; 1024];
    let mut answered = 0;
    while stream.read(&mut request).is_ok_and(|length| length > 0) {
        if let Some(all_open) = &all_open {
            if answered > 0 {
                continue;
            }
            all_open.wait();
        }
        answered += 1;
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        stream.write_all(response).expect("the client is there");
    }
}

#[test]
fn retry_of_a_call_does_not_use_another_silent_connection() {
    let server = Server::start();
    let workers = Workers::start(1);
    let client = HttpClient::new(workers.spawner(), FaultInjector::default());
    let call = |timeout| {
        let to = server.address;
        client.request(to, Method::GET, "/a", Vec::new(), timeout)
    };
    smol::block_on(async {
        let opened = futures_lite::future::zip(
            call(LONG),
            futures_lite::future::zip(call(LONG), call(LONG)),
        );
        let (first, (second, third)) = opened.await;
        assert!(first.is_ok() && second.is_ok() && third.is_ok());
        let silent = call(SHORT).await;
        assert!(matches!(silent, Err(HttpClientError::Timeout)));
        let retried = call(LONG).await;
        assert!(retried.is_ok(), "{retried:?}");
    });
    assert_eq!(server.accepted.load(Ordering::SeqCst), CONNECTIONS + 1);
    workers.close();
}

#[test]
fn connection_is_reused_while_calls_succeed() {
    let server = Server::start();
    let workers = Workers::start(1);
    let client = HttpClient::new(workers.spawner(), FaultInjector::default());
    server.accepted.store(CONNECTIONS, Ordering::SeqCst);
    for _ in 0..SUCCESSIVE_CALLS {
        let path = "/a";
        let called = client.request(server.address, Method::GET, path, Vec::new(), LONG);
        assert!(smol::block_on(called).is_ok());
    }
    let accepted = server.accepted.load(Ordering::SeqCst);
    assert_eq!(accepted, CONNECTIONS + 1, "one connection");
    workers.close();
}

#[test]
fn pool_keeps_a_connection_that_is_not_ready_yet() {
    let server = Server::start();
    let workers = Workers::start(1);
    let pool = BackendPool::new(server.address, workers.spawner());
    server.accepted.store(CONNECTIONS, Ordering::SeqCst);
    for _ in 0..SUCCESSIVE_CALLS {
        let request = Request::get("/a").header("host", "server");
        let request = request.body(SendBody::empty()).expect("it is valid");
        smol::block_on(async {
            let (response, connection) = pool
                .send(request, None, PoolReuse::Any)
                .await
                .expect("it is sent");
            response.into_body().collect().await.expect("it is whole");
            pool.release(connection);
        });
    }
    // The second one is used while the task of the first is not ready.
    assert!(pool.opened() <= 2, "{} connections", pool.opened());
    workers.close();
}
