//! Client threads that send requests under faults and record the result of each.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use wingspur_tests::try_call;

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
    /// Whether a response with status 200 is complete and belongs to this request. Always
    /// true for other statuses, and without a response.
    pub is_own: bool,
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
    let is_own = response.as_ref().is_none_or(|response| {
        let echoed = response.headers.get("x-wingspur-request-id");
        let is_complete = response.whole && response.body == b"own body";
        response.status != 200
            || (is_complete && echoed.is_some_and(|echoed| *echoed == id))
    });
    FinishedCall {
        status: response.map(|response| response.status),
        id,
        box_index,
        once_only,
        sent,
        ended,
        is_own,
    }
}

const CALLER_COUNT: usize = 12;
/// With responses that take some milliseconds, the callers together send about 400
/// requests a second.
const PAUSE_BETWEEN_CALLS: Duration = Duration::from_millis(20);
