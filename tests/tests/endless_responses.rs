//! Responses without an end, in the head or in the body, end for the caller at the route's
//! timeout, and the box lets their server go.

mod edge;

use std::alloc::System;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use edge::{Caller, Route, configuration, server_entry, wait_until};
use hyper::{Method, StatusCode};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use wingspur_edge::EdgeBox;
use wingspur_tests::{
    BackendServer, Body, Framing, PlatformStore, Preamble, Reply, ResponseShape,
};
use wingspur_transport::{
    BackendConnection, BackendConnections, BufferBudget, ReusePolicy, SendBody, Workers,
};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Lets one test after the other run, since each measures the memory of the process.
static ALONE: Mutex<()> = Mutex::new(());

/// A box that reaches the server, and one that hands its requests to it.
struct Fleet {
    _store: PlatformStore,
    server: BackendServer,
    reply: Arc<Mutex<Reply>>,
    direct: EdgeBox,
    relayed: EdgeBox,
    workers: Workers,
    _alone: MutexGuard<'static, ()>,
}

/// How a response ended for its caller.
#[derive(Debug)]
struct Ending {
    /// The status; 0 where the connection ended without a response.
    status: u16,
    /// Whether the response or the connection ended while the caller waited.
    has_ended: bool,
    /// Whether the bytes look like a complete response.
    looks_whole: bool,
    /// The greatest growth of the process's memory meanwhile, in bytes.
    grown_bytes: usize,
}

impl Fleet {
    fn start() -> Self {
        let alone = ALONE
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let store = PlatformStore::start(500);
        let routes = [Route {
            class: "once_only",
            timeout_ms: 1000,
        }];
        store.put("op/config", &configuration(1, &routes));
        let reply = Arc::new(Mutex::new(Reply::Complete));
        let served = reply.clone();
        let server = BackendServer::start(move |_| *served.lock().unwrap());
        let entry = server_entry(server.address, "ready");
        store.put("servers/i-0", &entry);
        // One worker: a task that does not let others run holds the whole box up.
        let workers = Workers::start(1);
        let [direct, relayed] = edge::start_direct_and_relayed(&store, &workers);
        let fleet = Self {
            _store: store,
            server,
            reply,
            direct,
            relayed,
            workers,
            _alone: alone,
        };
        fleet.wait_until_served();
        fleet
    }

    fn callers(&self) -> [(&'static str, Caller); 2] {
        let direct = Caller::of(&self.direct);
        [("direct", direct), ("relayed", Caller::of(&self.relayed))]
    }

    fn wait_until_served(&self) {
        for (path, caller) in self.callers() {
            wait_until("the box serves", || {
                caller.call("once_only", &format!("first-{path}")).status == 200
            });
        }
    }

    /// Sends a request over each path while the server responds in this shape, and checks
    /// that the response ends, that it does not look complete, that the server is let go,
    /// and that memory stays flat.
    fn assert_ends(&self, shape: ResponseShape) {
        for (path, caller) in self.callers() {
            self.wait_until_served();
            *self.reply.lock().unwrap() = Reply::Shaped(shape);
            let ending = call_and_discard(caller.address());
            *self.reply.lock().unwrap() = Reply::Complete;
            let text = format!("{path}, {shape:?}: {ending:?}");
            assert!(ending.has_ended, "{text}");
            assert!(!ending.looks_whole, "{text}");
            assert!(ending.status != 503, "{text}");
            assert!(ending.grown_bytes < MAX_GROWN_BYTES, "{text}");
            wait_until("the server is let go", || self.server.responding() == 0);
        }
    }

    fn close(self) {
        smol::block_on(self.relayed.close());
        smol::block_on(self.direct.close());
        self.workers.close();
    }
}

fn held_bytes() -> usize {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated - stats.bytes_deallocated
}

/// Sends a request and discards the response until it ends, or for [`MAX_CALL`].
fn call_and_discard(to: SocketAddr) -> Ending {
    let before = held_bytes();
    let mut stream = TcpStream::connect(to).unwrap();
    let request = "POST /once_only/a HTTP/1.1\r\nhost: site.example\r\n\
                   x-wingspur-request-id: endless\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(request.as_bytes()).unwrap();
    let pause = Duration::from_millis(20);
    stream.set_read_timeout(Some(pause)).unwrap();
    let until = Instant::now() + MAX_CALL;
    let mut start = Vec::new();
    let mut end = Vec::new();
    let mut block = vec![0; 64 << 10];
    let mut length = 0;
    let mut ending = Ending {
        status: 0,
        has_ended: false,
        looks_whole: false,
        grown_bytes: 0,
    };
    while !ending.has_ended && Instant::now() < until {
        match stream.read(&mut block) {
            Ok(0) => ending.has_ended = true,
            Ok(read) => {
                length += read;
                if start.len() < 4096 {
                    start.extend_from_slice(&block[..read]);
                }
                end = block[read.saturating_sub(5)..read].to_vec();
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => ending.has_ended = true,
        }
        let grown = held_bytes().saturating_sub(before);
        ending.grown_bytes = ending.grown_bytes.max(grown);
        let head = String::from_utf8_lossy(&start).to_ascii_lowercase();
        let status = head.split(' ').nth(1);
        ending.status = status.map_or(0, |status| status.parse().unwrap());
        // The connection stays open after a response of the box itself.
        ending.has_ended |= head.contains("wingspur-result:");
        if ending.has_ended && ending.status == 200 {
            let is_chunked = head.contains("transfer-encoding: chunked");
            let is_long = head.contains("content-length: 1125899906842624");
            ending.looks_whole = match (is_chunked, is_long) {
                (true, _) => end == b"0\r\n\r\n",
                (_, true) => length > 1 << 50,
                _ => true,
            };
        }
    }
    ending
}

fn success(framing: Framing, body: Body) -> ResponseShape {
    ResponseShape {
        framing,
        body,
        ..ResponseShape::new(200, false)
    }
}

const FRAMINGS: [Framing; 4] = [
    Framing::Length,
    Framing::Chunked,
    Framing::TinyChunks,
    Framing::UntilClose,
];
/// More than a box buffers of a response.
const LONG_BYTES: usize = 2 << 20;
/// A box buffers 1 MiB of a response, in a buffer that grows by doubling; over a relay two
/// boxes do, and so do the sockets' owners here.
const MAX_GROWN_BYTES: usize = 16 << 20;
const MAX_CALL: Duration = Duration::from_secs(30);

#[test]
fn body_without_end_is_ended_at_the_timeout() {
    let fleet = Fleet::start();
    for framing in FRAMINGS {
        fleet.assert_ends(success(framing, Body::Endless));
    }
    fleet.close();
}

#[test]
fn long_body_that_falls_silent_is_ended_at_the_timeout() {
    let fleet = Fleet::start();
    for framing in [Framing::Length, Framing::Chunked, Framing::UntilClose] {
        fleet.assert_ends(success(framing, Body::SilentAfter(LONG_BYTES)));
    }
    fleet.close();
}

#[test]
fn chunk_extension_or_trailers_without_end_are_ended() {
    let fleet = Fleet::start();
    for length in [100, LONG_BYTES] {
        let extension = Body::EndlessExtension(length);
        fleet.assert_ends(success(Framing::Chunked, extension));
        let trailers = Body::EndlessTrailers(length);
        fleet.assert_ends(success(Framing::Chunked, trailers));
    }
    fleet.close();
}

#[test]
fn head_without_end_is_ended() {
    let fleet = Fleet::start();
    let preambles = [
        Preamble::EndlessHeaderLines,
        Preamble::EndlessHeaderValue,
        Preamble::EndlessEmptyLines,
        Preamble::EndlessInterim,
        Preamble::EndlessSurplus,
        Preamble::EndlessGarbage,
    ];
    for preamble in preambles {
        fleet.assert_ends(ResponseShape {
            preamble,
            ..ResponseShape::new(200, false)
        });
    }
    fleet.close();
}

#[test]
fn refusal_without_end_lets_its_server_go() {
    let fleet = Fleet::start();
    for framing in FRAMINGS {
        fleet.assert_ends(ResponseShape {
            framing,
            body: Body::Endless,
            ..ResponseShape::new(503, false)
        });
    }
    fleet.close();
}

#[test]
fn caller_that_does_not_read_does_not_hold_the_server() {
    let fleet = Fleet::start();
    *fleet.reply.lock().unwrap() = Reply::Shaped(success(Framing::Length, Body::Endless));
    let mut stream = TcpStream::connect(Caller::of(&fleet.direct).address()).unwrap();
    let request = "POST /once_only/a HTTP/1.1\r\nhost: site.example\r\n\
                   x-wingspur-request-id: endless\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(request.as_bytes()).unwrap();
    wait_until("the server responds", || fleet.server.responding() > 0);
    wait_until("the server is let go", || fleet.server.responding() == 0);
    drop(stream);
    fleet.close();
}

/// Guards against a finished response whose connection is closed at the deadline that the
/// response had, under the next request on it.
#[test]
fn disarmed_closer_leaves_the_connection_open() {
    let server = BackendServer::start(|_| Reply::Complete);
    let calling = async {
        let mut connection = connect(&server).await;
        let closer = connection.closer();
        closer.clone().disarm();
        closer.close();
        let status = send(&mut connection).await;
        connection.closer().close();
        let ended = connection.read_head(&Method::GET).await;
        (status, ended.is_err())
    };
    let (status, has_ended) = smol::block_on(calling);
    assert_eq!(status, StatusCode::OK);
    assert!(has_ended, "a closer that is armed closes the connection");
}

/// Guards against a body without a length that looks whole because its connection was
/// closed at the deadline while it was read.
#[test]
fn body_that_ends_by_the_closer_is_incomplete() {
    let shape = success(Framing::UntilClose, Body::Endless);
    let server = BackendServer::start(move |_| Reply::Shaped(shape));
    let calling = async {
        let mut connection = connect(&server).await;
        assert_eq!(send(&mut connection).await, StatusCode::OK);
        connection.closer().close();
        loop {
            match connection.next_chunk().await {
                Ok(Some(_)) => {}
                end => return end,
            }
        }
    };
    let end = smol::block_on(calling);
    assert!(end.is_err(), "the body looks complete: {end:?}");
}

async fn connect(server: &BackendServer) -> BackendConnection {
    let connections = BackendConnections::new(server.address, BufferBudget::unlimited());
    let connecting = connections.connect(ReusePolicy::Any, None, Duration::from_secs(10));
    connecting.await.unwrap()
}

/// Sends a request and returns the status of its response.
async fn send(connection: &mut BackendConnection) -> StatusCode {
    let head = b"GET / HTTP/1.1\r\nhost: site.example\r\n\r\n".to_vec();
    let sending = connection.send_request(head, SendBody::empty(), &Method::GET, None);
    sending.await.unwrap().status
}
