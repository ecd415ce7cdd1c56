//! The callers: a few threads that send requests and note what came of each.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use wingspur_tests::try_call;

/// A request and its outcome.
#[derive(Debug, Clone)]
pub struct Called {
    /// The request's id.
    pub id: String,
    /// The box that was asked.
    pub box_index: usize,
    /// Whether it may run once only.
    pub once_only: bool,
    /// When it was sent.
    pub sent: Instant,
    /// When its end came.
    pub ended: Instant,
    /// The status; 0 for a connection that ended without an answer, none where nobody
    /// listened.
    pub status: Option<u16>,
    /// Whether the answer is the request's own and whole; a refusal always is.
    pub own: bool,
}

/// The running callers.
pub struct Callers {
    stop: Arc<AtomicBool>,
    called: Arc<Mutex<Vec<Called>>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Callers {
    /// Starts callers of some boxes; a box that does not listen is asked again.
    pub fn start(boxes: Vec<SocketAddr>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let called = Arc::new(Mutex::new(Vec::new()));
        let next = Arc::new(AtomicUsize::new(0));
        let threads = (0..CALLERS).map(|_| {
            let (stop, called, next) = (stop.clone(), called.clone(), next.clone());
            let boxes = boxes.clone();
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let one = call_one(&boxes, number);
                    called.lock().expect("no holder panics").push(one);
                    std::thread::sleep(PAUSE);
                }
            })
        });
        Self {
            threads: threads.collect(),
            stop,
            called,
        }
    }

    /// Ends the callers and returns all requests.
    pub fn close(self) -> Vec<Called> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("callers do not panic");
        }
        let called = self.called.lock().expect("no holder panics");
        called.clone()
    }
}

fn call_one(boxes: &[SocketAddr], number: usize) -> Called {
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
    let answer = try_call(boxes[box_index], method, path, &headers, b"");
    let ended = Instant::now();
    let own = answer.as_ref().is_none_or(|answer| {
        let echoed = answer.headers.get("x-wingspur-request-id");
        let whole = answer.whole && answer.body == b"own body";
        answer.status != 200 || (whole && echoed.is_some_and(|echoed| *echoed == id))
    });
    Called {
        status: answer.map(|answer| answer.status),
        id,
        box_index,
        once_only,
        sent,
        ended,
        own,
    }
}

const CALLERS: usize = 12;
/// With answers of some milliseconds, about four hundred requests a second.
const PAUSE: Duration = Duration::from_millis(20);
