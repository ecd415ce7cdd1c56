//! Callers that keep connections, send bodies slowly and leave early, and record what they
//! were told.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use wingspur_tests::read_keep_alive_response;

use crate::planned::{pattern, spawn};
use crate::site::path::reset;
use crate::site::shape::{Class, Shape};

/// The boxes that the balancer sends callers to: their numbers and addresses.
pub type Balancer = Arc<RwLock<Vec<(usize, SocketAddr)>>>;

/// A once-only request and what its caller was told.
#[derive(Debug, Clone)]
pub struct Call {
    /// The request's id.
    pub id: String,
    /// Number of the box.
    pub box_index: usize,
    /// When sending began.
    pub began: Instant,
    /// When the response had arrived, the connection ended, or the caller left.
    pub ended: Instant,
    /// The status; `None` without a complete response.
    pub status: Option<u16>,
    /// The number of the box's own result, if the response is the box's own.
    pub result: Option<String>,
}

/// The running callers.
pub struct Callers {
    stop: Arc<AtomicBool>,
    calls: Arc<Mutex<Vec<Call>>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

struct Caller {
    number: usize,
    sent: usize,
    random: StdRng,
    shape: Shape,
    balancer: Balancer,
    kept: Option<(usize, BufReader<TcpStream>)>,
}

impl Callers {
    /// Starts `count` threads.
    pub fn start(count: usize, seed: u64, shape: Shape, balancer: &Balancer) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let calls = Arc::new(Mutex::new(Vec::new()));
        let threads = (0..count).map(|number| {
            let mut caller = Caller {
                number,
                sent: 0,
                random: StdRng::seed_from_u64(seed ^ ((number as u64 + 1) << 32)),
                shape,
                balancer: balancer.clone(),
                kept: None,
            };
            let (stop, calls) = (stop.clone(), calls.clone());
            spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    if let Some(call) = caller.call() {
                        calls.lock().expect("no holder panics").push(call);
                    }
                    let pause_ms = caller.random.random_range(0..MAX_PAUSE_MS);
                    std::thread::sleep(Duration::from_millis(pause_ms));
                }
            })
        });
        Self {
            threads: threads.collect(),
            stop,
            calls,
        }
    }

    /// Stops the callers and returns all once-only requests.
    pub fn close(self) -> Vec<Call> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("callers do not panic");
        }
        std::mem::take(&mut self.calls.lock().expect("no holder panics"))
    }
}

impl Caller {
    /// Sends one request; returns it if it is once-only and was sent to a box.
    fn call(&mut self) -> Option<Call> {
        let class = self.draw_class();
        let (box_index, mut reader) = self.connection()?;
        self.sent += 1;
        let play = std::process::id();
        let id = format!("{play}-c{}-{}", self.number, self.sent);
        let leaves_after = self.random.random_bool(LEAVE_SHARE).then(|| {
            let work_ms = class.work.as_millis() as u64;
            Duration::from_millis(self.random.random_range(1..2 * work_ms))
        });
        let limit = class.deadline + PATIENCE;
        let timeout = leaves_after.unwrap_or(limit);
        reader.get_ref().set_read_timeout(Some(timeout)).ok()?;
        let began = Instant::now();
        let written = self.write(&class, &id, reader.get_ref()).is_ok();
        let response = read_keep_alive_response(&mut reader);
        let ended = Instant::now();
        let header = |name: &str| {
            let response = response.as_ref()?;
            response.headers.get(name).cloned()
        };
        let closes = header("connection").is_some_and(|value| value == "close");
        let call = Call {
            id,
            box_index,
            began,
            ended,
            status: response.as_ref().map(|response| response.status),
            result: header("wingspur-result"),
        };
        let has_response = response.is_some();
        if written && has_response && !closes && self.random.random_bool(KEEP_SHARE) {
            self.kept = Some((box_index, reader));
        } else if !has_response && self.random.random_bool(ABRUPT_SHARE) {
            reset(reader.get_ref());
        }
        class.is_once_only().then_some(call)
    }

    fn draw_class(&mut self) -> Class {
        let classes = self.shape.classes;
        let drawn = classes.choose_weighted(&mut self.random, |class| class.weight);
        *drawn.expect("the weights are positive")
    }

    /// Returns the kept connection, or a new one to a box of the balancer.
    fn connection(&mut self) -> Option<(usize, BufReader<TcpStream>)> {
        if let Some(kept) = self.kept.take() {
            return Some(kept);
        }
        let boxes = self.balancer.read().expect("no holder panics");
        let (index, address) = *boxes.choose(&mut self.random)?;
        drop(boxes);
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
        stream.set_nodelay(true).ok()?;
        Some((index, BufReader::new(stream)))
    }

    fn write(
        &mut self,
        class: &Class,
        id: &str,
        mut stream: &TcpStream,
    ) -> std::io::Result<()> {
        let random = &mut self.random;
        let typical_ms = class.work.as_millis() as f64;
        let work_ms = (typical_ms * random.random_range(0.2..1.8)) as u64;
        let response_bytes = random.random_range(20..class.max_response_bytes);
        let body_bytes = match class.max_body_bytes {
            0 => 0,
            most => random.random_range(1..most),
        };
        let method = if body_bytes > 0 { "POST" } else { "GET" };
        let deadline_ms = class.deadline.as_millis();
        let mut head = format!(
            "{method} /{}/{id} HTTP/1.1\r\nhost: {HOST}\r\n\
             x-wingspur-request-id: {id}\r\n\
             x-wingspur-request-deadline-ms: {deadline_ms}\r\n\
             x-soak-work-ms: {work_ms}\r\nx-soak-answer-bytes: {response_bytes}\r\n",
            class.service
        );
        let body = pattern(id, body_bytes);
        if body_bytes == 0 || random.random_bool(0.6) {
            head.push_str(&format!("content-length: {body_bytes}\r\n\r\n"));
            return stream.write_all(&[head.as_bytes(), &body].concat());
        }
        head.push_str("transfer-encoding: chunked\r\n\r\n");
        stream.write_all(head.as_bytes())?;
        for chunk in body.chunks(body.len().div_ceil(3)) {
            let size = format!("{:x}\r\n", chunk.len());
            stream.write_all(&[size.as_bytes(), chunk, b"\r\n"].concat())?;
            std::thread::sleep(Duration::from_millis(random.random_range(0..60)));
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

/// Host of all routes.
pub const HOST: &str = "site.example";
const MAX_PAUSE_MS: u64 = 120;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a caller waits beyond the deadline that it states.
const PATIENCE: Duration = Duration::from_secs(2);
/// Share of the requests whose caller leaves before the response.
const LEAVE_SHARE: f64 = 0.06;
/// Share of the callers without a response that reset their connection.
const ABRUPT_SHARE: f64 = 0.3;
const KEEP_SHARE: f64 = 0.7;
