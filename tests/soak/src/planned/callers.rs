//! Callers that keep connections until the box is gone, and note what each request met.

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use wingspur_tests::{Answer, read_keep_alive_response};

use crate::planned::operator::{HOST, IDLE_LIMIT, ROUTES, RouteKind};
use crate::planned::record::{BoxIndex, Call, Outcome};
use crate::planned::servers::{pattern, spawn};

/// A box as the platform's balancer sees it.
pub struct BoxView {
    /// The box.
    pub index: BoxIndex,
    /// Where callers come in.
    pub callers: SocketAddr,
    /// Whether it gets new connections.
    pub takes_callers: AtomicBool,
    /// Requests that wait for an answer.
    pub in_flight: AtomicUsize,
}

/// The boxes among which callers choose.
pub type Views = Arc<RwLock<Vec<Arc<BoxView>>>>;

/// The running callers.
pub struct Callers {
    stop: Arc<AtomicBool>,
    calls: Arc<Mutex<Vec<Call>>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Callers {
    /// Starts callers; what each asks follows from the seed.
    pub fn start(count: usize, seed: u64, views: &Views) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let calls = Arc::new(Mutex::new(Vec::new()));
        let threads = (0..count).map(|number| {
            let mut caller = Caller {
                number,
                asked: 0,
                random: StdRng::seed_from_u64(seed ^ ((number as u64 + 1) << 32)),
                views: views.clone(),
                kept: None,
            };
            let (stop, calls) = (stop.clone(), calls.clone());
            spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let called = caller.call_and_rest();
                    calls.lock().expect("no holder panics").extend(called);
                }
            })
        });
        Self {
            threads: threads.collect(),
            stop,
            calls,
        }
    }

    /// Ends the callers and returns all requests.
    pub fn close(self) -> Vec<Call> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("callers do not panic");
        }
        std::mem::take(&mut self.calls.lock().expect("no holder panics"))
    }
}

/// One caller with at most one connection.
struct Caller {
    number: usize,
    asked: usize,
    random: StdRng,
    views: Views,
    kept: Option<Connection>,
}

/// A connection to a box.
struct Connection {
    reader: BufReader<Counted>,
    view: Arc<BoxView>,
    used: usize,
    backoff_since: Instant,
}

/// A stream that counts what was read.
struct Counted {
    stream: TcpStream,
    bytes: usize,
}

/// A request to be sent.
struct Draft {
    id: String,
    route: usize,
    work_ms: u64,
    body_bytes: usize,
    in_chunks: bool,
    answer_bytes: usize,
    pieces: usize,
}

impl Caller {
    /// Sends one request, if a box can be reached, and rests.
    fn call_and_rest(&mut self) -> Option<Call> {
        let Some(mut connection) = self.connection() else {
            std::thread::sleep(UNREACHED_PAUSE);
            return None;
        };
        let draft = self.draft();
        let (call, stays) = connection.call(&draft, &mut self.random);
        self.kept = stays.then_some(connection);
        std::thread::sleep(self.rest());
        Some(call)
    }

    /// The kept connection if it still stands, or a new one.
    fn connection(&mut self) -> Option<Connection> {
        let fresh = self.random.random_bool(FRESH_SHARE);
        // Some do not look first: their requests cross the box's close.
        let looks = self.random.random_bool(LOOKING_SHARE);
        let kept = self.kept.take().filter(|_| !fresh);
        let kept = kept.filter(|kept| !looks || kept.stands());
        kept.or_else(|| Connection::open(self.choose()?))
    }

    /// A box that takes callers; any where none does.
    fn choose(&mut self) -> Option<Arc<BoxView>> {
        let views = self.views.read().expect("no holder panics");
        let takes = |view: &&Arc<BoxView>| view.takes_callers.load(Ordering::Relaxed);
        let taking: Vec<_> = views.iter().filter(takes).collect();
        let chosen = taking.choose(&mut self.random).copied();
        chosen.or_else(|| views.choose(&mut self.random)).cloned()
    }

    fn draft(&mut self) -> Draft {
        self.asked += 1;
        let random = &mut self.random;
        let route = draw_route(random);
        let kind = ROUTES[route].kind;
        let slow = random.random_bool(SLOW_SHARE);
        let with_body = kind != RouteKind::Download && random.random_bool(BODY_SHARE);
        let long_body = random.random_bool(LONG_BODY_SHARE);
        let (answer_bytes, pieces) = match kind {
            RouteKind::Download => (random.random_range(1_100_000..2_000_000), 40),
            RouteKind::Read | RouteKind::OnceOnly => (random.random_range(20..20_000), 1),
        };
        Draft {
            id: format!("c{}-{}", self.number, self.asked),
            route,
            work_ms: match slow {
                true => 40.0 * 37.5_f64.powf(random.random_range(0.0..1.0)),
                false => random.random_range(5.0..40.0),
            } as u64,
            body_bytes: match (with_body, long_body) {
                (false, _) => 0,
                (true, false) => random.random_range(1..3000),
                (true, true) => random.random_range(50_000..150_000),
            },
            in_chunks: random.random_bool(0.5),
            answer_bytes,
            pieces,
        }
    }

    /// Mostly moments; now and then nearly as long as a connection may rest.
    fn rest(&mut self) -> Duration {
        let longest = match self.random.random_bool(LONG_REST_SHARE) {
            true => IDLE_LIMIT.mul_f64(0.8),
            false => SHORT_REST,
        };
        longest.mul_f64(self.random.random_range(0.0..1.0))
    }
}

impl Connection {
    fn open(view: Arc<BoxView>) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&view.callers, CONNECT_LIMIT).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(ANSWER_LIMIT)).ok()?;
        Some(Self {
            reader: BufReader::new(Counted { stream, bytes: 0 }),
            view,
            used: 0,
            backoff_since: Instant::now(),
        })
    }

    fn stream(&self) -> &TcpStream {
        &self.reader.get_ref().stream
    }

    /// Whether the box has not closed it.
    fn stands(&self) -> bool {
        match self.peek() {
            Ok(length) => length > 0,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }

    /// Whether bytes have come that belong to no request.
    fn has_surplus(&self) -> bool {
        !self.reader.buffer().is_empty() || self.peek().is_ok_and(|length| length > 0)
    }

    /// How many bytes could be read now, at most one.
    fn peek(&self) -> std::io::Result<usize> {
        let stream = self.stream();
        stream.set_nonblocking(true)?;
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false)?;
        peeked
    }

    /// Sends a request and reads its answer; whether the connection stays.
    fn call(&mut self, draft: &Draft, random: &mut StdRng) -> (Call, bool) {
        self.view.in_flight.fetch_add(1, Ordering::Relaxed);
        let rested = self.backoff_since.elapsed();
        let surplus = self.has_surplus();
        let read_before = self.reader.get_ref().bytes;
        let began = Instant::now();
        let written = draft.write(self.stream(), random).is_ok();
        let sent = written.then(Instant::now);
        let answer = read_keep_alive_response(&mut self.reader);
        let ended = Instant::now();
        self.view.in_flight.fetch_sub(1, Ordering::Relaxed);
        let closes = answer.as_ref().is_none_or(|answer| {
            let connection = answer.headers.get("connection");
            connection.is_some_and(|value| value.eq_ignore_ascii_case("close"))
        });
        let waited = ended.saturating_duration_since(sent.unwrap_or(began));
        let call = Call {
            id: draft.id.clone(),
            box_index: self.view.index,
            route: draft.route,
            before: self.used,
            rested,
            began,
            sent,
            ended,
            outcome: match answer {
                _ if surplus => Outcome::Surplus,
                Some(answer) => judge(&answer, draft),
                None if waited >= ANSWER_LIMIT => Outcome::Silence,
                None => Outcome::Broken,
            },
            read_bytes: self.reader.get_ref().bytes - read_before,
        };
        self.used += 1;
        self.backoff_since = ended;
        (call, written && !closes)
    }
}

impl Draft {
    fn write(&self, mut stream: &TcpStream, random: &mut StdRng) -> std::io::Result<()> {
        let route = &ROUTES[self.route];
        let method = if self.body_bytes > 0 { "POST" } else { "GET" };
        let mut head = format!(
            "{method} /{}/{} HTTP/1.1\r\nhost: {HOST}\r\n\
             x-wingspur-request-id: {}\r\nx-wingspur-request-deadline-ms: {}\r\n\
             x-soak-work-ms: {}\r\nx-soak-body-bytes: {}\r\n\
             x-soak-answer-bytes: {}\r\nx-soak-pieces: {}\r\n",
            route.name,
            self.id,
            self.id,
            DEADLINE.as_millis(),
            self.work_ms,
            self.body_bytes,
            self.answer_bytes,
            self.pieces,
        );
        let body = pattern(&self.id, self.body_bytes);
        if self.body_bytes == 0 {
            head.push_str("\r\n");
            return stream.write_all(head.as_bytes());
        }
        if !self.in_chunks {
            head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
            return stream.write_all(&[head.as_bytes(), &body].concat());
        }
        head.push_str("transfer-encoding: chunked\r\n\r\n");
        stream.write_all(head.as_bytes())?;
        for chunk in body.chunks(body.len().div_ceil(3)) {
            let size = format!("{:x}\r\n", chunk.len());
            stream.write_all(&[size.as_bytes(), chunk, b"\r\n"].concat())?;
            std::thread::sleep(Duration::from_millis(random.random_range(0..30)));
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

impl Read for Counted {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let length = self.stream.read(buffer)?;
        self.bytes += length;
        Ok(length)
    }
}

/// Whether an answer is the request's own in all parts.
fn judge(answer: &Answer, draft: &Draft) -> Outcome {
    let status = answer.status;
    if answer.headers.contains_key("wingspur-result") {
        return Outcome::Refusal { status };
    }
    let echoed = answer.headers.get("x-wingspur-request-id");
    let stamped = answer.headers.contains_key("x-wingspur-server-stamp");
    let body = match status {
        200 => pattern(&draft.id, draft.answer_bytes),
        500 => b"failed".to_vec(),
        _ => b"late".to_vec(),
    };
    let own = echoed == Some(&draft.id) && stamped && answer.body == body;
    Outcome::Answer { status, own }
}

fn draw_route(random: &mut StdRng) -> usize {
    let mut drawn = random.random_range(0..ROUTES.iter().map(|route| route.share).sum());
    for (index, route) in ROUTES.iter().enumerate() {
        if drawn < route.share {
            return index;
        }
        drawn -= route.share;
    }
    0
}

/// What a caller allows; longer than any route.
pub const DEADLINE: Duration = Duration::from_millis(4000);
/// Two routes' time beyond the deadline: an answer that comes later never comes.
const ANSWER_LIMIT: Duration = Duration::from_millis(6000);
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
const UNREACHED_PAUSE: Duration = Duration::from_millis(30);
const SHORT_REST: Duration = Duration::from_millis(60);
/// Requests for which a new connection is opened though one is kept.
const FRESH_SHARE: f64 = 0.1;
const LOOKING_SHARE: f64 = 0.5;
const LONG_REST_SHARE: f64 = 0.06;
/// Enough that nearly every stop meets one of them.
const SLOW_SHARE: f64 = 0.15;
const BODY_SHARE: f64 = 0.4;
/// Longer than what a box keeps to send again.
const LONG_BODY_SHARE: f64 = 0.1;
