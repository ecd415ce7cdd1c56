//! Backend servers that work on each request for as long as its headers say, and record
//! all arrivals.

use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::RngExt;
use wingspur_tests::{Head, read_body, read_request_head};

use crate::planned::record::{Arrival, InstanceId, ServiceIndex, Work};

/// One instance of a backend server.
pub struct Server {
    /// Id of the instance; each start of a server gets a new one.
    pub instance: InstanceId,
    /// Service of the server.
    pub service: ServiceIndex,
    /// Data centre of the server.
    pub data_centre: String,
    /// Address on which the server listens.
    pub address: SocketAddr,
    ended: Arc<AtomicBool>,
}

/// Arrivals at all servers, shared by their threads.
pub type ArrivalLog = Arc<Mutex<Vec<Arrival>>>;

/// State that the connections of a server share.
struct ServerState {
    instance: InstanceId,
    service: ServiceIndex,
    sheds: bool,
    ended: Arc<AtomicBool>,
    arrivals: ArrivalLog,
}

impl Server {
    /// Starts an instance. With `sheds`, it refuses half of its requests before they run.
    pub fn start(
        instance: InstanceId,
        service: ServiceIndex,
        data_centre: String,
        sheds: bool,
        arrivals: ArrivalLog,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
        let address = listener.local_addr().expect("the listener is bound");
        let ended = Arc::new(AtomicBool::new(false));
        let state = Arc::new(ServerState {
            instance: instance.clone(),
            service,
            sheds,
            ended: ended.clone(),
            arrivals,
        });
        spawn(move || accept(&listener, &state));
        Self {
            instance,
            service,
            data_centre,
            address,
            ended,
        }
    }

    /// Makes the server accept no further connection, and close each connection once it
    /// is idle.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Release);
        // Wakes the accepting thread, whether or not this connection succeeds.
        let _ = TcpStream::connect(self.address);
    }
}

fn accept(listener: &TcpListener, state: &Arc<ServerState>) {
    for stream in listener.incoming().flatten() {
        if state.ended.load(Ordering::Acquire) {
            return;
        }
        let state = state.clone();
        spawn(move || serve(&state, stream));
    }
}

fn serve(state: &ServerState, stream: TcpStream) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    // Without this the pieces of a long response would be delayed by Nagle's algorithm.
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while wait_for_request(state, &mut reader) {
        let Some(request) = read_request_head(&mut reader) else {
            return;
        };
        if !state.handle(request, &mut reader, &mut writer) {
            return;
        }
    }
}

/// Waits for the next request. Returns false if the server ends or the connection closes
/// before one begins.
fn wait_for_request(state: &ServerState, reader: &mut BufReader<TcpStream>) -> bool {
    let set_read_timeout_to = |reader: &BufReader<TcpStream>, timeout| {
        reader.get_ref().set_read_timeout(Some(timeout)).is_ok()
    };
    while set_read_timeout_to(reader, END_CHECK_INTERVAL) {
        match reader.fill_buf() {
            Ok([]) => return false,
            Ok(_) => return set_read_timeout_to(reader, REQUEST_TIMEOUT),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
        if state.ended.load(Ordering::Acquire) {
            return false;
        }
    }
    false
}

impl ServerState {
    /// Handles a request and responds to it. Returns whether the connection can be kept.
    fn handle(
        &self,
        request: Head,
        reader: &mut impl BufRead,
        writer: &mut TcpStream,
    ) -> bool {
        let options = RequestOptions::read(&request);
        let work = self.choose_work(&request, &options);
        let index = self.record_arrival(&options, work);
        let is_long = options.body_bytes >= LONG_BODY_BYTES;
        let responds_first =
            is_long && rand::rng().random_range(0.0..1.0) < EARLY_RESPONSE_SHARE;
        if !responds_first && !self.receive_body(index, &request, &options, reader) {
            return false;
        }
        if work.runs() {
            std::thread::sleep(options.work.min(options.deadline));
        }
        let written = self.respond(work, &options, writer).is_ok();
        self.arrivals.lock().expect("no holder panics")[index].ended =
            Some(Instant::now());
        // A server that responded first still reads the body, so that the connection can
        // be kept.
        written
            && (!responds_first || self.receive_body(index, &request, &options, reader))
    }

    /// Reads the body and records whether it is the one that was sent. Returns whether it
    /// could be read completely.
    fn receive_body(
        &self,
        index: usize,
        request: &Head,
        options: &RequestOptions,
        reader: &mut impl BufRead,
    ) -> bool {
        let Some(body) = read_body(reader, &request.headers) else {
            return false;
        };
        let mut arrivals = self.arrivals.lock().expect("no holder panics");
        arrivals[index].body_as_sent = body == pattern(&options.id, options.body_bytes);
        true
    }

    fn choose_work(&self, request: &Head, options: &RequestOptions) -> Work {
        let expected = request.headers.get("x-wingspur-expected-instance");
        let drawn = rand::rng().random_range(0.0..1.0);
        if expected.is_some_and(|expected| *expected != self.instance) {
            return Work::Misdirected;
        }
        if self.sheds && rand::rng().random_range(0.0..1.0) < SHED_SHARE {
            return Work::Shed;
        }
        match drawn < FAILURE_SHARE {
            true => Work::Fails,
            false if options.work > options.deadline => Work::Late,
            false => Work::Succeeds,
        }
    }

    fn record_arrival(&self, options: &RequestOptions, work: Work) -> usize {
        let mut arrivals = self.arrivals.lock().expect("no holder panics");
        arrivals.push(Arrival {
            id: options.id.clone(),
            instance: self.instance.clone(),
            service: self.service,
            at: Instant::now(),
            work,
            ended: None,
            body_as_sent: true,
        });
        arrivals.len() - 1
    }

    fn respond(
        &self,
        work: Work,
        options: &RequestOptions,
        writer: &mut TcpStream,
    ) -> std::io::Result<()> {
        let stamp = format!("x-wingspur-server-stamp: {}\r\n", self.instance);
        let not_executed = "x-wingspur-not-executed: 1\r\n";
        let body = pattern(&options.id, options.response_bytes);
        let (status, header, body) = match work {
            Work::Misdirected => ("421 Misdirected Request", not_executed, &[][..]),
            Work::Shed => ("503 Service Unavailable", not_executed, &[][..]),
            Work::Fails => ("500 Internal Server Error", stamp.as_str(), &b"failed"[..]),
            Work::Late => ("504 Gateway Timeout", stamp.as_str(), &b"late"[..]),
            Work::Succeeds => ("200 OK", stamp.as_str(), &body[..]),
        };
        let head = format!(
            "HTTP/1.1 {status}\r\nx-wingspur-request-id: {}\r\n{header}\
             content-length: {}\r\n\r\n",
            options.id,
            body.len()
        );
        writer.write_all(head.as_bytes())?;
        for piece in body.chunks((body.len() / options.pieces).max(1)) {
            writer.write_all(piece)?;
            if options.pieces > 1 {
                std::thread::sleep(PIECE_PAUSE);
            }
        }
        Ok(())
    }
}

/// What the headers of a request ask of its server.
struct RequestOptions {
    id: String,
    work: Duration,
    deadline: Duration,
    body_bytes: usize,
    response_bytes: usize,
    pieces: usize,
}

impl RequestOptions {
    fn read(request: &Head) -> Self {
        let number = |name: &str| {
            let text = request.headers.get(name)?;
            text.parse::<u64>().ok()
        };
        let id = request.headers.get("x-wingspur-request-id");
        let ms = |name: &str| number(name).map(Duration::from_millis);
        Self {
            id: id.cloned().unwrap_or_default(),
            work: ms("x-soak-work-ms").unwrap_or_default(),
            deadline: ms("x-wingspur-request-deadline-ms").unwrap_or(Duration::MAX),
            body_bytes: number("x-soak-body-bytes").unwrap_or(0) as usize,
            response_bytes: number("x-soak-answer-bytes").unwrap_or(0) as usize,
            pieces: number("x-soak-pieces").unwrap_or(1).max(1) as usize,
        }
    }
}

/// Returns the bytes of a body, which are derived from the request id.
pub fn pattern(id: &str, length: usize) -> Vec<u8> {
    id.bytes().cycle().take(length).collect()
}

/// Starts a thread with a small stack, since a play has thousands of connections.
pub fn spawn(body: impl FnOnce() + Send + 'static) -> std::thread::JoinHandle<()> {
    let builder = std::thread::Builder::new().stack_size(STACK_BYTES);
    builder.spawn(body).expect("a thread can be started")
}

/// Share of the requests that fail on healthy servers.
const FAILURE_SHARE: f64 = 0.04;
/// High enough that resends use the retry budget up.
const SHED_SHARE: f64 = 0.5;
/// Bodies from this length do not fit into the socket buffers at once.
const LONG_BODY_BYTES: usize = 50_000;
/// Share of the requests with a long body that get their response before the body is
/// read.
const EARLY_RESPONSE_SHARE: f64 = 0.3;
/// Interval at which an idle connection checks whether its server has ended.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Read timeout within a request that has begun.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// At this pause the 40 pieces of a long response take less than half a second.
const PIECE_PAUSE: Duration = Duration::from_millis(12);
const STACK_BYTES: usize = 256 << 10;
