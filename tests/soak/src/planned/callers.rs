//! Client threads that keep their connections until the box closes them, and record the
//! outcome of each request.

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use wingspur_tests::{Answer, read_keep_alive_response};

use crate::planned::operator::{HOST, IDLE_TIMEOUT, ROUTES, RouteKind};
use crate::planned::record::{BoxIndex, Call, Outcome};
use crate::planned::servers::{pattern, spawn};

/// A box as the platform's balancer sees it.
pub struct BoxView {
    /// Number of the box.
    pub index: BoxIndex,
    /// Address for client requests.
    pub caller_address: SocketAddr,
    /// Whether the balancer sends new connections to the box.
    pub in_rotation: AtomicBool,
    /// Number of requests that wait for a response.
    pub in_flight: AtomicUsize,
}

/// Boxes among which callers choose; boxes are added during a play.
pub type Views = Arc<RwLock<Vec<Arc<BoxView>>>>;

/// The running client threads.
pub struct Callers {
    stop: Arc<AtomicBool>,
    calls: Arc<Mutex<Vec<Call>>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Callers {
    /// Starts `count` client threads. The seed decides their requests.
    pub fn start(count: usize, seed: u64, views: &Views) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let calls = Arc::new(Mutex::new(Vec::new()));
        let threads = (0..count).map(|number| {
            let mut caller = Caller {
                number,
                sent_requests: 0,
                random: StdRng::seed_from_u64(seed ^ ((number as u64 + 1) << 32)),
                views: views.clone(),
                kept: None,
            };
            let (stop, calls) = (stop.clone(), calls.clone());
            spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let finished = caller.call_and_pause();
                    calls.lock().expect("no holder panics").extend(finished);
                }
            })
        });
        Self {
            threads: threads.collect(),
            stop,
            calls,
        }
    }

    /// Stops the client threads and returns all requests.
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
    sent_requests: usize,
    random: StdRng,
    views: Views,
    kept: Option<Connection>,
}

/// A connection to a box.
struct Connection {
    reader: BufReader<CountingStream>,
    view: Arc<BoxView>,
    requests_sent: usize,
    idle_since: Instant,
}

/// A stream that counts the bytes read from it.
struct CountingStream {
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
    response_bytes: usize,
    pieces: usize,
}

impl Caller {
    /// Sends one request and pauses. Returns `None` after a short pause if no box could
    /// be reached.
    fn call_and_pause(&mut self) -> Option<Call> {
        let Some(mut connection) = self.connection() else {
            std::thread::sleep(UNREACHABLE_PAUSE);
            return None;
        };
        let draft = self.draft();
        let (call, can_be_kept) = connection.call(&draft, &mut self.random);
        self.kept = can_be_kept.then_some(connection);
        std::thread::sleep(self.draw_pause());
        Some(call)
    }

    /// Returns the kept connection or opens a new one; `None` if no box can be reached.
    fn connection(&mut self) -> Option<Connection> {
        let opens_new = self.random.random_bool(NEW_CONNECTION_SHARE);
        // Some requests go out without a check of the connection first, so that they
        // cross the close by the box.
        let checks_first = self.random.random_bool(CHECK_FIRST_SHARE);
        let kept = self.kept.take().filter(|_| !opens_new);
        let kept = kept.filter(|kept| !checks_first || kept.is_open());
        kept.or_else(|| Connection::open(self.choose()?))
    }

    /// Chooses a box to which the balancer sends new connections, or any box if there is
    /// none.
    fn choose(&mut self) -> Option<Arc<BoxView>> {
        let views = self.views.read().expect("no holder panics");
        let is_in_rotation =
            |view: &&Arc<BoxView>| view.in_rotation.load(Ordering::Relaxed);
        let in_rotation_views: Vec<_> = views.iter().filter(is_in_rotation).collect();
        let chosen = in_rotation_views.choose(&mut self.random).copied();
        chosen.or_else(|| views.choose(&mut self.random)).cloned()
    }

    fn draft(&mut self) -> Draft {
        self.sent_requests += 1;
        let random = &mut self.random;
        let route = draw_route(random);
        let kind = ROUTES[route].kind;
        let slow = random.random_bool(SLOW_SHARE);
        let with_body = kind != RouteKind::Download && random.random_bool(BODY_SHARE);
        let long_body = random.random_bool(LONG_BODY_SHARE);
        let (response_bytes, pieces) = match kind {
            RouteKind::Download => (random.random_range(1_100_000..2_000_000), 40),
            RouteKind::Read | RouteKind::OnceOnly => (random.random_range(20..20_000), 1),
        };
        Draft {
            id: format!("c{}-{}", self.number, self.sent_requests),
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
            response_bytes,
            pieces,
        }
    }

    /// Draws the pause before the next request: mostly short, sometimes nearly as long as
    /// a connection may be idle.
    fn draw_pause(&mut self) -> Duration {
        let longest = match self.random.random_bool(LONG_PAUSE_SHARE) {
            true => IDLE_TIMEOUT.mul_f64(0.8),
            false => MAX_SHORT_PAUSE,
        };
        longest.mul_f64(self.random.random_range(0.0..1.0))
    }
}

impl Connection {
    fn open(view: Arc<BoxView>) -> Option<Self> {
        let stream =
            TcpStream::connect_timeout(&view.caller_address, CONNECT_TIMEOUT).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).ok()?;
        Some(Self {
            reader: BufReader::new(CountingStream { stream, bytes: 0 }),
            view,
            requests_sent: 0,
            idle_since: Instant::now(),
        })
    }

    fn stream(&self) -> &TcpStream {
        &self.reader.get_ref().stream
    }

    /// Returns whether the box has kept the connection open.
    fn is_open(&self) -> bool {
        match self.peek() {
            Ok(length) => length > 0,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }

    /// Returns whether bytes have arrived that belong to no request.
    fn has_surplus(&self) -> bool {
        !self.reader.buffer().is_empty() || self.peek().is_ok_and(|length| length > 0)
    }

    /// Returns how many bytes can be read now, at most one; 0 if the box has closed the
    /// connection. Fails with `WouldBlock` if there are none yet.
    fn peek(&self) -> std::io::Result<usize> {
        let stream = self.stream();
        stream.set_nonblocking(true)?;
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false)?;
        peeked
    }

    /// Sends a request and reads its response. Also returns whether the connection can be
    /// kept.
    fn call(&mut self, draft: &Draft, random: &mut StdRng) -> (Call, bool) {
        self.view.in_flight.fetch_add(1, Ordering::Relaxed);
        let idle_for = self.idle_since.elapsed();
        let surplus = self.has_surplus();
        let read_before = self.reader.get_ref().bytes;
        let began = Instant::now();
        let written = draft.write(self.stream(), random).is_ok();
        let sent = written.then(Instant::now);
        let response = read_keep_alive_response(&mut self.reader);
        let ended = Instant::now();
        self.view.in_flight.fetch_sub(1, Ordering::Relaxed);
        let will_close = response.as_ref().is_none_or(|response| {
            let connection = response.headers.get("connection");
            connection.is_some_and(|value| value.eq_ignore_ascii_case("close"))
        });
        let waited = ended.saturating_duration_since(sent.unwrap_or(began));
        let call = Call {
            id: draft.id.clone(),
            box_index: self.view.index,
            route: draft.route,
            requests_before: self.requests_sent,
            idle_for,
            began,
            sent,
            ended,
            outcome: match response {
                _ if surplus => Outcome::Surplus,
                Some(response) => classify(&response, draft),
                None if waited >= RESPONSE_TIMEOUT => Outcome::Silence,
                None => Outcome::Broken,
            },
            read_bytes: self.reader.get_ref().bytes - read_before,
        };
        self.requests_sent += 1;
        self.idle_since = ended;
        (call, written && !will_close)
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
            self.response_bytes,
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

impl Read for CountingStream {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let length = self.stream.read(buffer)?;
        self.bytes += length;
        Ok(length)
    }
}

/// Classifies a response, and checks that its id, stamp and body belong to the request.
fn classify(response: &Answer, draft: &Draft) -> Outcome {
    let status = response.status;
    if response.headers.contains_key("wingspur-result") {
        return Outcome::Refusal { status };
    }
    let echoed = response.headers.get("x-wingspur-request-id");
    let stamped = response.headers.contains_key("x-wingspur-server-stamp");
    let body = match status {
        200 => pattern(&draft.id, draft.response_bytes),
        500 => b"failed".to_vec(),
        _ => b"late".to_vec(),
    };
    let own = echoed == Some(&draft.id) && stamped && response.body == body;
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

/// Deadline that callers set for each request; longer than the timeout of any route.
pub const DEADLINE: Duration = Duration::from_millis(4000);
/// Two seconds beyond the deadline; a response that has not arrived by then counts as
/// missing.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(6000);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(30);
const MAX_SHORT_PAUSE: Duration = Duration::from_millis(60);
/// Share of the requests for which a new connection is opened although one is kept.
const NEW_CONNECTION_SHARE: f64 = 0.1;
const CHECK_FIRST_SHARE: f64 = 0.5;
const LONG_PAUSE_SHARE: f64 = 0.06;
/// High enough that nearly every stop of a box meets a slow request.
const SLOW_SHARE: f64 = 0.15;
const BODY_SHARE: f64 = 0.4;
/// Share of the bodies that are longer than what a box keeps for a resend.
const LONG_BODY_SHARE: f64 = 0.1;
