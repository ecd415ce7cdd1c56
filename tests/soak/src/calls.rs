//! Client threads that send requests under faults and record the result of each.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use wingspur_tests::{Answer, try_call};

/// A finished request and its result.
#[derive(Debug, Clone)]
pub struct FinishedCall {
    /// The request's id.
    pub id: String,
    /// Number of the box to which the request was sent.
    pub box_index: usize,
    /// Whether the request must run at most once.
    pub once_only: bool,
    /// When sending began.
    pub sent: Instant,
    /// When the response was read, or the connection ended.
    pub ended: Instant,
    /// Status of the response; 0 if the connection ended without a response, `None` if
    /// the box did not accept the connection.
    pub status: Option<u16>,
    /// Whether a response with status 200 belongs to this request and is complete, or
    /// shows that it is not. Always true for other statuses, and without a response.
    pub is_own: bool,
    /// Whether a response with status 200 shows that it is incomplete.
    pub is_cut: bool,
}

impl FinishedCall {
    /// Whether the caller got its complete response.
    pub fn is_served(&self) -> bool {
        self.status == Some(200) && !self.is_cut
    }

    /// Returns how long the call took.
    pub fn took(&self) -> Duration {
        self.ended.duration_since(self.sent)
    }
}

/// The running client threads.
pub struct Callers {
    stop: Arc<AtomicBool>,
    calls: Arc<Mutex<Vec<FinishedCall>>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Callers {
    /// Starts the client threads, which send requests to the boxes in turn, also to boxes
    /// that do not listen.
    pub fn start(boxes: Vec<SocketAddr>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let calls = Arc::new(Mutex::new(Vec::new()));
        let next = Arc::new(AtomicUsize::new(0));
        let threads = (0..CALLER_COUNT).map(|_| {
            let (stop, calls, next) = (stop.clone(), calls.clone(), next.clone());
            let boxes = boxes.clone();
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let call = call_one(&boxes, number);
                    calls.lock().expect("no holder panics").push(call);
                    std::thread::sleep(PAUSE_BETWEEN_CALLS);
                }
            })
        });
        Self {
            threads: threads.collect(),
            stop,
            calls,
        }
    }

    /// Stops the client threads and returns all finished requests.
    pub fn close(self) -> Vec<FinishedCall> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("callers do not panic");
        }
        let calls = self.calls.lock().expect("no holder panics");
        calls.clone()
    }
}

fn call_one(boxes: &[SocketAddr], number: usize) -> FinishedCall {
    let box_index = number % boxes.len();
    let once_only = number.is_multiple_of(3);
    let (method, path) = match once_only {
        true => ("POST", "/once_only/a"),
        false => ("GET", "/read/a"),
    };
    let id = format!("id-{number}");
    let headers = [
        ("host", "site.example"),
        ("x-wingspur-request-id", id.as_str()),
        ("x-wingspur-request-deadline-ms", "4000"),
    ];
    let sent = Instant::now();
    let response = try_call(boxes[box_index], method, path, &headers, b"");
    let ended = Instant::now();
    let succeeded = response.as_ref().filter(|response| response.status == 200);
    let is_cut = succeeded.is_some_and(shows_cut);
    let is_own = succeeded.is_none_or(|response| {
        let echoed = response.headers.get("x-wingspur-request-id");
        let is_complete = response.whole && response.body == b"own body";
        echoed.is_some_and(|echoed| *echoed == id) && (is_complete || is_cut)
    });
    FinishedCall {
        status: response.map(|response| response.status),
        id,
        box_index,
        once_only,
        sent,
        ended,
        is_own,
        is_cut,
    }
}

/// Whether a response shows that it is incomplete: shorter than its length, or without its
/// last chunk.
fn shows_cut(response: &Answer) -> bool {
    let is_chunked = response.headers.contains_key("transfer-encoding");
    !response.whole || (is_chunked && !response.body.ends_with(b"0\r\n\r\n"))
}

const CALLER_COUNT: usize = 12;
/// With responses that take some milliseconds, the callers together send about 400
/// requests a second.
const PAUSE_BETWEEN_CALLS: Duration = Duration::from_millis(20);
