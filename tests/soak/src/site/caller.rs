//! Callers that keep connections, send bodies slowly and leave early, and report what they
//! were told.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, RwLock};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use wingspur_tests::read_keep_alive_response;

use crate::planned::{pattern, spawn};
use crate::site::moment::{Moment, now};
use crate::site::part::{Reports, read_command};
use crate::site::path::reset;
use crate::site::shape::{Class, Shape};

/// The boxes that the balancer sends callers to: their numbers and addresses.
pub type Balancer = Vec<(usize, SocketAddr)>;

/// What the callers need to start; the first line that their process reads.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallerSpec {
    /// Number of threads.
    pub count: usize,
    /// The seed of the play.
    pub seed: u64,
    /// Name of the deployment's shape.
    pub shape: String,
    /// Differs between plays that run at the same time.
    pub play: u32,
    /// The boxes.
    pub balancer: Balancer,
}

/// A once-only request and what its caller was told.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Call {
    /// The request's id.
    pub id: String,
    /// Number of the box.
    pub box_index: usize,
    /// Length of the body, and whether it was sent in chunks.
    pub body: (usize, bool),
    /// Whether the connection was used before.
    pub is_kept: bool,
    /// When sending began.
    pub began: Moment,
    /// When the response had arrived, the connection ended, or the caller left.
    pub ended: Moment,
    /// The status; `None` without a complete response.
    pub status: Option<u16>,
    /// The number of the box's own result, if the response is the box's own.
    pub result: Option<String>,
    /// The request that the response names.
    pub named: Option<String>,
}

struct Caller {
    play: u32,
    number: usize,
    sent: usize,
    random: StdRng,
    shape: Shape,
    balancer: Arc<RwLock<Balancer>>,
    kept: Option<(usize, BufReader<TcpStream>)>,
}

/// Plays all callers until the commands end; each command is the current balancer.
pub fn play_callers() {
    let input = std::io::stdin();
    let Some(spec) = read_command::<CallerSpec>(&input) else {
        return;
    };
    let shape: Shape = spec.shape.parse().expect("the play knows its shape");
    let balancer = Arc::new(RwLock::new(spec.balancer));
    let stop = Arc::new(AtomicBool::new(false));
    let reports = Arc::new(Reports::default());
    let threads = (0..spec.count).map(|number| {
        let mut caller = Caller {
            play: spec.play,
            number,
            sent: 0,
            random: StdRng::seed_from_u64(spec.seed ^ ((number as u64 + 1) << 32)),
            shape,
            balancer: balancer.clone(),
            kept: None,
        };
        let (stop, reports) = (stop.clone(), reports.clone());
        spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                if let Some(call) = caller.call() {
                    reports.send(&call);
                }
                let pause_ms = caller.random.random_range(0..MAX_PAUSE_MS);
                std::thread::sleep(Duration::from_millis(pause_ms));
            }
        })
    });
    let threads: Vec<_> = threads.collect();
    while let Some(boxes) = read_command::<Balancer>(&input) {
        *balancer.write().expect("no holder panics") = boxes;
    }
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().expect("callers do not panic");
    }
}

impl Caller {
    /// Sends one request; returns it if it is once-only and was sent to a box.
    fn call(&mut self) -> Option<Call> {
        let class = self.draw_class();
        if !class.keeps_connections {
            self.kept = None;
        }
        let is_kept = self.kept.is_some();
        let (box_index, mut reader) = self.connection()?;
        self.sent += 1;
        let id = format!("{}-c{}-{}", self.play, self.number, self.sent);
        let leaves_after = self.random.random_bool(LEAVE_SHARE).then(|| {
            let work_ms = class.work.as_millis() as u64;
            Duration::from_millis(self.random.random_range(1..2 * work_ms))
        });
        let limit = class.deadline + PATIENCE;
        let timeout = leaves_after.unwrap_or(limit);
        reader.get_ref().set_read_timeout(Some(timeout)).ok()?;
        let body = self.draw_body(&class);
        let began = now();
        let written = self.write(&class, &id, body, reader.get_ref()).is_ok();
        let response = read_keep_alive_response(&mut reader);
        let ended = now();
        let header = |name: &str| {
            let response = response.as_ref()?;
            response.headers.get(name).cloned()
        };
        let closes = header("connection").is_some_and(|value| value == "close");
        let call = Call {
            id,
            box_index,
            body,
            is_kept,
            began,
            ended,
            status: response.as_ref().map(|response| response.status),
            result: header("wingspur-result"),
            named: header("x-wingspur-request-id"),
        };
        let has_response = response.is_some();
        if written && has_response && !closes && class.keeps_connections {
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

    /// Draws the length of a body, and whether it is sent in chunks.
    fn draw_body(&mut self, class: &Class) -> (usize, bool) {
        let factor = 2f64.powf(self.random.random_range(-2.0..2.6));
        let length = (class.body_bytes as f64 * factor) as usize;
        let is_chunked = length > 0 && self.random.random_bool(CHUNKED_SHARE);
        (length.min(class.max_body_bytes), is_chunked)
    }

    fn write(
        &mut self,
        class: &Class,
        id: &str,
        (body_bytes, is_chunked): (usize, bool),
        mut stream: &TcpStream,
    ) -> std::io::Result<()> {
        let random = &mut self.random;
        let typical_ms = class.work.as_millis() as f64;
        let work_ms = (typical_ms * random.random_range(0.2..1.8)) as u64;
        let response_bytes = random.random_range(20..class.max_response_bytes);
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
        let is_slow = random.random_bool(SLOW_SHARE);
        if !is_chunked {
            head.push_str(&format!("content-length: {body_bytes}\r\n\r\n"));
        }
        if !is_chunked && !is_slow {
            return stream.write_all(&[head.as_bytes(), &body].concat());
        }
        if is_chunked {
            head.push_str("transfer-encoding: chunked\r\n\r\n");
        }
        stream.write_all(head.as_bytes())?;
        for piece in body.chunks(body.len().div_ceil(3).max(1)) {
            if is_slow {
                std::thread::sleep(Duration::from_millis(random.random_range(0..60)));
            }
            if is_chunked {
                let size = format!("{:x}\r\n", piece.len());
                stream.write_all(&[size.as_bytes(), piece, b"\r\n"].concat())?;
            } else {
                stream.write_all(piece)?;
            }
        }
        match is_chunked {
            true => stream.write_all(b"0\r\n\r\n"),
            false => Ok(()),
        }
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
const CHUNKED_SHARE: f64 = 0.4;
/// Share of the bodies that are sent in three parts with pauses.
const SLOW_SHARE: f64 = 0.3;
