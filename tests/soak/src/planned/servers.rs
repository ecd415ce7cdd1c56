//! Backend servers that work as long as each request asks, and note all that arrives.

use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::RngExt;
use wingspur_tests::{Head, read_body, read_request_head};

use crate::planned::record::{Arrival, RunId, ServiceIndex, Work};

/// One run of a backend server.
pub struct Server {
    /// Its id, a new one for each run.
    pub run: RunId,
    /// Its service.
    pub service: ServiceIndex,
    /// Where it stands.
    pub data_centre: String,
    /// Where it listens.
    pub address: SocketAddr,
    ended: Arc<AtomicBool>,
}

/// What arrives at all servers.
pub type Ledger = Arc<Mutex<Vec<Arrival>>>;

/// What a server's connections share.
struct Inner {
    run: RunId,
    service: ServiceIndex,
    sheds: bool,
    ended: Arc<AtomicBool>,
    ledger: Ledger,
}

impl Server {
    /// Starts a run; one that sheds refuses half of its work before it runs.
    pub fn start(
        run: RunId,
        service: ServiceIndex,
        data_centre: String,
        sheds: bool,
        ledger: Ledger,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
        let address = listener.local_addr().expect("it is bound");
        let ended = Arc::new(AtomicBool::new(false));
        let inner = Arc::new(Inner {
            run: run.clone(),
            service,
            sheds,
            ended: ended.clone(),
            ledger,
        });
        spawn(move || accept(&listener, &inner));
        Self {
            run,
            service,
            data_centre,
            address,
            ended,
        }
    }

    /// Takes no further connection, and closes each once it rests.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Release);
        // Wakes the thread that accepts; it does not matter whether this one succeeds.
        let _ = TcpStream::connect(self.address);
    }
}

fn accept(listener: &TcpListener, inner: &Arc<Inner>) {
    for stream in listener.incoming().flatten() {
        if inner.ended.load(Ordering::Acquire) {
            return;
        }
        let inner = inner.clone();
        spawn(move || serve(&inner, stream));
    }
}

fn serve(inner: &Inner, stream: TcpStream) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    // Without this the pieces of a long answer would wait for one another.
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while wait_for_request(inner, &mut reader) {
        let Some(request) = read_request_head(&mut reader) else {
            return;
        };
        if !inner.answer(request, &mut reader, &mut writer) {
            return;
        }
    }
}

/// Whether a request begins before the server ends.
fn wait_for_request(inner: &Inner, reader: &mut BufReader<TcpStream>) -> bool {
    let set = |reader: &BufReader<TcpStream>, limit| {
        reader.get_ref().set_read_timeout(Some(limit)).is_ok()
    };
    while set(reader, REST_CHECK) {
        match reader.fill_buf() {
            Ok([]) => return false,
            Ok(_) => return set(reader, REQUEST_LIMIT),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
        if inner.ended.load(Ordering::Acquire) {
            return false;
        }
    }
    false
}

impl Inner {
    /// Does what a request asks; whether the connection stays.
    fn answer(
        &self,
        request: Head,
        reader: &mut impl BufRead,
        writer: &mut TcpStream,
    ) -> bool {
        let asked = Asked::read(&request);
        let work = self.choose(&request, &asked);
        let index = self.note(&asked, work);
        let is_long = asked.body_bytes >= LONG_BODY_BYTES;
        let answers_first = is_long && rand::rng().random_range(0.0..1.0) < EARLY_SHARE;
        if !answers_first && !self.receive(index, &request, &asked, reader) {
            return false;
        }
        if work.runs() {
            std::thread::sleep(asked.work.min(asked.deadline));
        }
        let written = self.write(work, &asked, writer).is_ok();
        self.ledger.lock().expect("no holder panics")[index].ended = Some(Instant::now());
        // Who answers first still reads the body, so that the connection can stay.
        written && (!answers_first || self.receive(index, &request, &asked, reader))
    }

    /// Reads the body, and notes whether it is the one that was sent.
    fn receive(
        &self,
        index: usize,
        request: &Head,
        asked: &Asked,
        reader: &mut impl BufRead,
    ) -> bool {
        let Some(body) = read_body(reader, &request.headers) else {
            return false;
        };
        let mut ledger = self.ledger.lock().expect("no holder panics");
        ledger[index].body_as_sent = body == pattern(&asked.id, asked.body_bytes);
        true
    }

    fn choose(&self, request: &Head, asked: &Asked) -> Work {
        let expected = request.headers.get("x-wingspur-expected-instance");
        let drawn = rand::rng().random_range(0.0..1.0);
        if expected.is_some_and(|expected| *expected != self.run) {
            return Work::Misdirected;
        }
        if self.sheds && rand::rng().random_range(0.0..1.0) < SHED_SHARE {
            return Work::Shed;
        }
        match drawn < FAILURE_SHARE {
            true => Work::Fails,
            false if asked.work > asked.deadline => Work::Late,
            false => Work::Succeeds,
        }
    }

    fn note(&self, asked: &Asked, work: Work) -> usize {
        let mut ledger = self.ledger.lock().expect("no holder panics");
        ledger.push(Arrival {
            id: asked.id.clone(),
            run: self.run.clone(),
            service: self.service,
            at: Instant::now(),
            work,
            ended: None,
            body_as_sent: true,
        });
        ledger.len() - 1
    }

    fn write(
        &self,
        work: Work,
        asked: &Asked,
        writer: &mut TcpStream,
    ) -> std::io::Result<()> {
        let stamp = format!("x-wingspur-server-stamp: {}\r\n", self.run);
        let mark = "x-wingspur-not-executed: 1\r\n";
        let body = pattern(&asked.id, asked.answer_bytes);
        let (status, header, body) = match work {
            Work::Misdirected => ("421 Misdirected Request", mark, &[][..]),
            Work::Shed => ("503 Service Unavailable", mark, &[][..]),
            Work::Fails => ("500 Internal Server Error", stamp.as_str(), &b"failed"[..]),
            Work::Late => ("504 Gateway Timeout", stamp.as_str(), &b"late"[..]),
            Work::Succeeds => ("200 OK", stamp.as_str(), &body[..]),
        };
        let head = format!(
            "HTTP/1.1 {status}\r\nx-wingspur-request-id: {}\r\n{header}\
             content-length: {}\r\n\r\n",
            asked.id,
            body.len()
        );
        writer.write_all(head.as_bytes())?;
        for piece in body.chunks((body.len() / asked.pieces).max(1)) {
            writer.write_all(piece)?;
            if asked.pieces > 1 {
                std::thread::sleep(PIECE_PAUSE);
            }
        }
        Ok(())
    }
}

/// What a request asks of its server.
struct Asked {
    id: String,
    work: Duration,
    deadline: Duration,
    body_bytes: usize,
    answer_bytes: usize,
    pieces: usize,
}

impl Asked {
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
            answer_bytes: number("x-soak-answer-bytes").unwrap_or(0) as usize,
            pieces: number("x-soak-pieces").unwrap_or(1).max(1) as usize,
        }
    }
}

/// The bytes of a body, which follow from the request's id.
pub fn pattern(id: &str, length: usize) -> Vec<u8> {
    id.bytes().cycle().take(length).collect()
}

/// Starts a thread with a small stack: a play has thousands of connections.
pub fn spawn(run: impl FnOnce() + Send + 'static) -> std::thread::JoinHandle<()> {
    let builder = std::thread::Builder::new().stack_size(STACK_BYTES);
    builder.spawn(run).expect("the machine has threads left")
}

/// Well servers fail a few in a hundred.
const FAILURE_SHARE: f64 = 0.04;
/// Enough that resends press the budget to its limit.
const SHED_SHARE: f64 = 0.5;
/// Bodies that do not fit into what sockets hold at once.
const LONG_BODY_BYTES: usize = 50_000;
/// Of the requests with a long body, those that are answered before it is read.
const EARLY_SHARE: f64 = 0.3;
/// How often a resting connection looks whether its server has ended.
const REST_CHECK: Duration = Duration::from_millis(500);
/// A request that has begun is here within this, or never.
const REQUEST_LIMIT: Duration = Duration::from_secs(10);
/// Forty pieces of a long answer take less than half a second.
const PIECE_PAUSE: Duration = Duration::from_millis(12);
const STACK_BYTES: usize = 256 << 10;
