//! Backend servers with slots, a queue and troubles, which report what runs and when.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{BufRead, BufReader, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wingspur_tests::{Head, read_body, read_request_head};

use crate::planned::{pattern, spawn};
use crate::site::moment::now;
use crate::site::part::{Reports, read_command};
use crate::site::path::{Path, reset};
use crate::site::response_writer::ResponseWriter;
use crate::site::server_messages::{
    RefusalCause, ServerCommand, ServerReport, ServerSpec, Trouble,
};

/// One instance of a backend server.
struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    instance: String,
    /// The id of a second entry whose requests it takes too.
    other_instance: Option<String>,
    slots: usize,
    queue: usize,
    refused_share: f64,
    shed_probability: f64,
    starts_refused: bool,
    early: Duration,
    copying_seed: Option<u64>,
    load: Mutex<Load>,
    slot_freed: Condvar,
    trouble: Mutex<(Trouble, f64)>,
    ended: AtomicBool,
    arrived: AtomicUsize,
    reports: Reports,
}

#[derive(Debug, Default, Clone, Copy)]
struct Load {
    running: usize,
    waiting: usize,
}

/// How a request got past the queue.
enum Admission {
    Runs,
    /// It is refused on arrival, or after it has waited.
    Refused(RefusalCause),
    CallerLeft,
}

struct Request {
    id: String,
    /// The number of the caller's sending of it.
    sending: u32,
    work: Duration,
    response_bytes: usize,
    deadline: Instant,
    /// Its number in the reports.
    number: usize,
}

/// Plays a server and the path to it, as commanded, until the commands end.
pub fn play_server() {
    let input = std::io::stdin();
    let Some(spec) = read_command(&input) else {
        return;
    };
    let server = Server::start(spec);
    let path = Path::start(server.address);
    let started = ServerReport::Started(server.address, path.address);
    server.shared.reports.send(&started);
    while let Some(command) = read_command(&input) {
        match command {
            ServerCommand::Trouble(trouble, share) => server.set_trouble(trouble, share),
            ServerCommand::Path(fault, share) => path.set_fault(fault, share),
            ServerCommand::Target(address) => path.set_target(address),
            ServerCommand::End => server.end(),
        }
    }
}

impl Server {
    /// Starts an instance.
    fn start(spec: ServerSpec) -> Self {
        let ServerSpec {
            instance,
            other_instance,
            takes_other,
            slots,
            queue,
            refused_share,
            shed_probability,
            starts_refused,
            early,
            copying_seed,
        } = spec;
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
        let address = listener.local_addr().expect("the listener is bound");
        let shared = Arc::new(Shared {
            instance,
            other_instance: other_instance.filter(|_| takes_other),
            slots,
            queue,
            refused_share,
            shed_probability,
            starts_refused,
            early,
            copying_seed,
            load: Mutex::default(),
            slot_freed: Condvar::new(),
            trouble: Mutex::new((Trouble::None, 0.0)),
            ended: AtomicBool::new(false),
            arrived: AtomicUsize::new(0),
            reports: Reports::default(),
        });
        let accepting = shared.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.ended.load(Ordering::Acquire) {
                    return;
                }
                let server = accepting.clone();
                spawn(move || server.serve(stream));
            }
        });
        Self { address, shared }
    }

    /// Begins a trouble of a share of the requests.
    fn set_trouble(&self, trouble: Trouble, share: f64) {
        *self.shared.trouble.lock().expect("no holder panics") = (trouble, share);
    }

    /// Closes each connection once it is idle, and accepts no more.
    fn end(&self) {
        self.shared.ended.store(true, Ordering::Release);
        let _ = TcpStream::connect(self.address);
    }
}

impl Shared {
    fn serve(self: &Arc<Self>, stream: TcpStream) {
        let Ok(writer) = stream.try_clone() else {
            return;
        };
        let writer = ResponseWriter::new(writer);
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while self.wait_for_request(&mut reader) {
            let Some(head) = read_request_head(&mut reader) else {
                return;
            };
            if !self.handle(&head, &mut reader, &writer) {
                return;
            }
        }
    }

    /// Waits for the next request; returns false once the connection ends or was idle for
    /// too long.
    fn wait_for_request(&self, reader: &mut BufReader<TcpStream>) -> bool {
        let idle_until = Instant::now() + IDLE_TIMEOUT;
        let _ = reader.get_ref().set_read_timeout(Some(CHECK_INTERVAL));
        while Instant::now() < idle_until && !self.ended.load(Ordering::Acquire) {
            match reader.fill_buf() {
                Ok([]) => return false,
                Ok(_) => {
                    let timeout = Some(REQUEST_TIMEOUT);
                    return reader.get_ref().set_read_timeout(timeout).is_ok();
                }
                // A pause of the process interrupts a read with a timeout.
                Err(error)
                    if matches!(
                        error.kind(),
                        ErrorKind::WouldBlock | ErrorKind::Interrupted
                    ) => {}
                Err(_) => return false,
            }
        }
        false
    }

    fn handle(
        self: &Arc<Self>,
        head: &Head,
        reader: &mut BufReader<TcpStream>,
        writer: &Arc<ResponseWriter>,
    ) -> bool {
        let request = self.record_arrival(head, writer);
        writer.begin_request();
        let trouble = self.draw_trouble();
        let expected = head.headers.get("x-wingspur-expected-instance");
        let is_other = expected.is_some_and(|expected| !self.is_own(expected));
        if trouble == Trouble::RefusesEarly && !is_other {
            let refused = self.refuse(&request, RefusalCause::OnArrival, writer);
            std::thread::sleep(EARLY_REFUSAL_PAUSE);
            return refused && read_body(reader, &head.headers).is_some();
        }
        if read_body(reader, &head.headers).is_none() {
            return false;
        }
        if is_other {
            return self.refuse(&request, RefusalCause::OtherServer, writer);
        }
        if trouble == Trouble::Sheds {
            return self.refuse(&request, RefusalCause::OnArrival, writer);
        }
        if trouble.has_surplus() && rand::rng().random_bool(SURPLUS_REFUSAL_SHARE) {
            let refused = self.refuse(&request, RefusalCause::OnArrival, writer);
            return refused && self.write_surplus(&request, trouble, b"", writer);
        }
        if trouble == Trouble::Splits && rand::rng().random_bool(SPLIT_REFUSAL_SHARE) {
            let refusal = self.refusal(&request, RefusalCause::OnArrival, writer);
            let written = writer.write_in_parts(refusal.as_bytes());
            self.plan_copies(&request, &refusal, writer);
            return written;
        }
        match self.wait_for_slot(&request, writer.stream()) {
            Admission::Refused(cause) => {
                let refused = self.refuse(&request, cause, writer);
                let may_start = self.starts_refused || trouble == Trouble::StartsRefused;
                if may_start && cause != RefusalCause::OnArrival {
                    self.start_refused(&request);
                }
                refused
            }
            Admission::CallerLeft => false,
            Admission::Runs => {
                let keeps_open = self.run(&request, trouble, writer);
                self.free_slot();
                keeps_open
            }
        }
    }

    /// Whether requests for this instance are taken.
    fn is_own(&self, instance: &str) -> bool {
        let other = self.other_instance.as_deref();
        instance == self.instance || other == Some(instance)
    }

    fn free_slot(&self) {
        self.load.lock().expect("no holder panics").running -= 1;
        self.slot_freed.notify_one();
    }

    /// Runs a request that was refused after it has waited, if a slot is free at that
    /// moment: it was refused, and a worker has taken it from the queue as well.
    fn start_refused(self: &Arc<Self>, request: &Request) {
        let load = self.load.lock().expect("no holder panics");
        let is_full = |load: &mut Load| load.running >= self.slots;
        let waited = self
            .slot_freed
            .wait_timeout_while(load, RACE_WINDOW, is_full);
        let mut load = waited.expect("no holder panics").0;
        if load.running >= self.slots {
            return;
        }
        load.running += 1;
        self.reports.send(&ServerReport::Ran(request.number, now()));
        let (server, work) = (self.clone(), request.work);
        spawn(move || {
            std::thread::sleep(work);
            server.free_slot();
        });
    }

    fn record_arrival(&self, head: &Head, writer: &ResponseWriter) -> Request {
        let number = |name: &str| {
            let text = head.headers.get(name)?;
            text.parse::<u64>().ok()
        };
        let id = head.headers.get("x-wingspur-request-id");
        let id = id.cloned().unwrap_or_default();
        let deadline_ms = number("x-wingspur-request-deadline-ms").unwrap_or(10_000);
        let time = Duration::from_millis(deadline_ms).saturating_sub(self.early);
        let (at, since_tick) = (Instant::now(), now().as_micros() % CLOCK_TICK_US);
        let tick = at - Duration::from_micros(since_tick as u64);
        let request_number = self.arrived.fetch_add(1, Ordering::Relaxed);
        let sending = number("x-soak-sending").unwrap_or(0) as u32;
        let is_repeated = writer.has_refused(&id);
        let arrived = ServerReport::Arrived {
            number: request_number,
            id: id.clone(),
            sending,
            is_repeated,
            at: now(),
        };
        self.reports.send(&arrived);
        Request {
            id,
            sending,
            work: Duration::from_millis(number("x-soak-work-ms").unwrap_or(0)),
            response_bytes: number("x-soak-answer-bytes").unwrap_or(0) as usize,
            deadline: tick + time,
            number: request_number,
        }
    }

    fn draw_trouble(&self) -> Trouble {
        let (trouble, share) = *self.trouble.lock().expect("no holder panics");
        let mut random = rand::rng();
        if random.random_bool(share) {
            return trouble;
        }
        match random.random_bool(self.refused_share) {
            true => Trouble::Sheds,
            false => Trouble::None,
        }
    }

    /// Waits until a slot is free, the deadline has passed or the caller has left.
    fn wait_for_slot(&self, request: &Request, stream: &TcpStream) -> Admission {
        let mut load = self.load.lock().expect("no holder panics");
        if load.running >= self.slots && load.waiting >= self.queue {
            return Admission::Refused(RefusalCause::OnArrival);
        }
        load.waiting += 1;
        let admission = loop {
            let remaining = request.deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                break Admission::Refused(RefusalCause::AtDeadline);
            }
            if load.running < self.slots {
                load.running += 1;
                break Admission::Runs;
            }
            let time = CHECK_INTERVAL.min(remaining);
            let waited = self.slot_freed.wait_timeout(load, time);
            load = waited.expect("no holder panics").0;
            if is_closed(stream) {
                break Admission::CallerLeft;
            }
            if rand::rng().random_bool(self.shed_probability) {
                break Admission::Refused(RefusalCause::InQueue);
            }
        };
        load.waiting -= 1;
        admission
    }

    /// Runs a request; returns whether the connection can be kept.
    fn run(&self, request: &Request, trouble: Trouble, writer: &ResponseWriter) -> bool {
        self.reports.send(&ServerReport::Ran(request.number, now()));
        if trouble == Trouble::Hangs {
            work_for(HANG_TIME, writer.stream());
            return false;
        }
        let factor = if trouble == Trouble::Slow { 6 } else { 1 };
        let remaining = request.deadline.saturating_duration_since(Instant::now());
        let is_late = request.work * factor > remaining;
        if !work_for((request.work * factor).min(remaining), writer.stream()) {
            return false;
        }
        if is_late {
            let late = self.response(request, "504 Gateway Timeout", b"late");
            self.report_answered(request, 504, None);
            return writer.write(&late);
        }
        let body = pattern(&request.id, request.response_bytes);
        let response = self.response(request, "200 OK", &body);
        match trouble {
            Trouble::Errors => self.report_answered(request, 500, None),
            Trouble::Resets => {}
            _ => self.report_answered(request, 200, None),
        }
        match trouble {
            Trouble::Errors => {
                let error = self.response(request, "500 Internal Server Error", b"error");
                writer.write(&error)
            }
            Trouble::Resets => {
                reset(writer.stream());
                false
            }
            Trouble::CutsBody => {
                writer.write_last(&response[..response.len() - 1]);
                false
            }
            Trouble::SurplusAfter | Trouble::SurplusUnnamed => {
                let written = writer.write(&response);
                written && self.write_surplus(request, trouble, &response, writer)
            }
            Trouble::Unframed => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nx-wingspur-request-id: {}\r\n\
                     x-wingspur-server-stamp: {}\r\n\r\n",
                    request.id, self.instance
                );
                writer.write_last(&[head.as_bytes(), &body].concat());
                false
            }
            Trouble::Splits => writer.write_in_parts(&response),
            _ => writer.write(&response),
        }
    }

    /// Refuses a request before it runs; returns whether the connection can be kept.
    fn refuse(
        &self,
        request: &Request,
        cause: RefusalCause,
        writer: &Arc<ResponseWriter>,
    ) -> bool {
        let refusal = self.refusal(request, cause, writer);
        let written = writer.write(refusal.as_bytes());
        self.plan_copies(request, &refusal, writer);
        written
    }

    /// Plans the copies of a refusal, if this server copies them.
    fn plan_copies(
        &self,
        request: &Request,
        refusal: &str,
        writer: &Arc<ResponseWriter>,
    ) {
        let Some(seed) = self.copying_seed else {
            return;
        };
        // The start of an id differs between plays of a seed.
        let id = request.id.split_once('-').map_or("", |(_, id)| id);
        let mut hasher = DefaultHasher::new();
        (seed, &self.instance, id, request.sending).hash(&mut hasher);
        let mut random = StdRng::seed_from_u64(hasher.finish());
        writer.plan_copies(refusal.as_bytes(), &mut random);
    }

    /// Reports that a request is refused before it runs, and returns the response.
    fn refusal(
        &self,
        request: &Request,
        cause: RefusalCause,
        writer: &ResponseWriter,
    ) -> String {
        writer.record_refused(&request.id);
        let (status, reason) = match cause {
            RefusalCause::OtherServer => (421, "Misdirected Request"),
            _ => (503, "Service Unavailable"),
        };
        self.report_answered(request, status, Some(cause));
        format!(
            "HTTP/1.1 {status} {reason}\r\nx-wingspur-request-id: {}\r\n\
             x-wingspur-not-executed: 1\r\n{}content-length: 0\r\n\r\n",
            request.id,
            self.load_header(),
        )
    }

    /// Writes a second response; returns whether the connection can be kept.
    fn write_surplus(
        &self,
        request: &Request,
        trouble: Trouble,
        response: &[u8],
        writer: &ResponseWriter,
    ) -> bool {
        let mut random = rand::rng();
        if random.random_bool(0.5) {
            std::thread::sleep(SURPLUS_DELAY);
        }
        if trouble == Trouble::SurplusAfter && random.random_bool(0.3) {
            return writer.write(response);
        }
        let named = match (trouble, random.random_bool(0.5)) {
            (Trouble::SurplusUnnamed, _) => String::new(),
            (_, true) => format!("x-wingspur-request-id: {}\r\n", request.id),
            (_, false) => "x-wingspur-request-id: another\r\n".to_owned(),
        };
        let mark = match random.random_bool(0.7) {
            true => "x-wingspur-not-executed: 1\r\n",
            false => "",
        };
        let text = format!(
            "HTTP/1.1 503 Service Unavailable\r\n{named}{mark}content-length: 0\r\n\r\n"
        );
        writer.write(text.as_bytes())
    }

    fn report_answered(
        &self,
        request: &Request,
        status: u16,
        refused: Option<RefusalCause>,
    ) {
        let report = ServerReport::Answered(request.number, status, refused, now());
        self.reports.send(&report);
    }

    fn response(&self, request: &Request, status: &str, body: &[u8]) -> Vec<u8> {
        let head = format!(
            "HTTP/1.1 {status}\r\nx-wingspur-request-id: {}\r\n\
             x-wingspur-server-stamp: {}\r\n{}keep-alive: timeout={}\r\n\
             content-length: {}\r\n\r\n",
            request.id,
            self.instance,
            self.load_header(),
            IDLE_TIMEOUT.as_secs(),
            body.len()
        );
        [head.as_bytes(), body].concat()
    }

    fn load_header(&self) -> String {
        let Load { running, waiting } = *self.load.lock().expect("no holder panics");
        let slots = self.slots;
        format!("x-wingspur-server-load: {running},{waiting},{slots}\r\n")
    }
}

/// Works for a time; returns false if the caller left meanwhile.
fn work_for(time: Duration, stream: &TcpStream) -> bool {
    let until = Instant::now() + time;
    loop {
        let remaining = until.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return true;
        }
        std::thread::sleep(remaining.min(CHECK_INTERVAL));
        if is_closed(stream) {
            return false;
        }
    }
}

/// Whether the other side has closed the connection or reset it.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let flags = rustix::net::RecvFlags::PEEK | rustix::net::RecvFlags::DONTWAIT;
    match rustix::net::recv(stream, &mut byte[..], flags) {
        Ok((_, length)) => length == 0,
        Err(error) => error != rustix::io::Errno::AGAIN,
    }
}

/// The clock by which a server counts deadlines advances in ticks of this length.
const CLOCK_TICK_US: u128 = 10_000;
/// How soon a server notices that a caller has left or that it has to end.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// How long a connection may be idle; boxes are told so.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const HANG_TIME: Duration = Duration::from_secs(8);
const EARLY_REFUSAL_PAUSE: Duration = Duration::from_millis(30);
/// Share of the requests with a surplus response that are refused first.
const SURPLUS_REFUSAL_SHARE: f64 = 0.5;
const SURPLUS_DELAY: Duration = Duration::from_millis(60);
/// Share of the requests with a response in two parts that are refused.
const SPLIT_REFUSAL_SHARE: f64 = 0.5;
/// How long a refused request stays in the queue, where a worker may still find it.
const RACE_WINDOW: Duration = Duration::from_millis(3);
