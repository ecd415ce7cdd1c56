//! Callers that keep connections, send bodies slowly and leave early, and report what they
//! were told.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, RwLock};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, IteratorRandom};
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
    /// Whether requests that were refused are repeated with the same id.
    pub repeats_ids: bool,
    /// The boxes.
    pub balancer: Balancer,
}

/// A once-only request and what its caller was told.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Call {
    /// The request's id.
    pub id: String,
    /// The number of this sending of it, from 1.
    pub sending: u32,
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
    kept: Option<Connection>,
    repeats_ids: bool,
}

/// A connection to a box.
struct Connection {
    box_index: usize,
    /// Whether it was used before.
    is_kept: bool,
    reader: BufReader<TcpStream>,
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
            repeats_ids: spec.repeats_ids,
        };
        let (stop, reports) = (stop.clone(), reports.clone());
        spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                caller.call().iter().for_each(|call| reports.send(call));
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
    /// Sends one request, and may repeat it if it was refused. Returns each sending to a
    /// box if the request is once-only.
    fn call(&mut self) -> Vec<Call> {
        let class = self.draw_class();
        if !class.keeps_connections {
            self.kept = None;
        }
        let mut connection = self.connection();
        let mut calls = Vec::new();
        let mut body = None;
        let id = format!("{}-c{}-{}", self.play, self.number, self.sent + 1);
        self.sent += usize::from(connection.is_some());
        while let Some(used) = connection.take() {
            let sending = calls.len() as u32 + 1;
            let Some(call) = self.send(&class, &id, sending, body, used) else {
                break;
            };
            body = Some(call.body);
            if self.repeats(&call) {
                connection = self.connection_after(call.box_index);
            }
            calls.push(call);
        }
        calls.retain(|_| class.is_once_only());
        calls
    }

    /// Whether a request is sent again with the same id, so that each sending but the last
    /// was refused before the next one began.
    fn repeats(&mut self, call: &Call) -> bool {
        self.repeats_ids
            && call.sending < MAX_SENDINGS
            && call.status.is_some_and(promises_not_run)
            && self.random.random_bool(REPEATED_SHARE)
    }

    /// Returns a connection for the repetition of a request, soon or later, to the same box
    /// or another one.
    fn connection_after(&mut self, box_index: usize) -> Option<Connection> {
        let is_soon = self.random.random_bool(0.5);
        let max_pause_ms = if is_soon { 10 } else { MAX_REPETITION_PAUSE_MS };
        let pause_ms = self.random.random_range(0..max_pause_ms);
        std::thread::sleep(Duration::from_millis(pause_ms));
        let is_same_box = self.random.random_bool(SAME_BOX_SHARE);
        if is_same_box && self.kept.is_some() {
            return self.kept.take();
        }
        self.kept = None;
        let boxes = self.balancer.read().expect("no holder panics");
        let suited = boxes
            .iter()
            .filter(|(index, _)| (*index == box_index) == is_same_box);
        let chosen = suited.choose(&mut self.random).copied();
        drop(boxes);
        connect(chosen?)
    }

    /// Sends a request, with a body like this or a new one; returns what its caller was
    /// told.
    fn send(
        &mut self,
        class: &Class,
        id: &str,
        sending: u32,
        body: Option<(usize, bool)>,
        connection: Connection,
    ) -> Option<Call> {
        let Connection {
            box_index,
            is_kept,
            mut reader,
        } = connection;
        let leaves_after = self.random.random_bool(LEAVE_SHARE).then(|| {
            let work_ms = class.work.as_millis() as u64;
            Duration::from_millis(self.random.random_range(1..2 * work_ms))
        });
        let limit = class.deadline + PATIENCE;
        let timeout = leaves_after.unwrap_or(limit);
        reader.get_ref().set_read_timeout(Some(timeout)).ok()?;
        let body = body.unwrap_or_else(|| self.draw_body(class));
        let began = now();
        let written = self
            .write(class, id, sending, body, reader.get_ref())
            .is_ok();
        let response = read_keep_alive_response(&mut reader);
        let ended = now();
        let header = |name: &str| {
            let response = response.as_ref()?;
            response.headers.get(name).cloned()
        };
        let closes = header("connection").is_some_and(|value| value == "close");
        let call = Call {
            id: id.to_owned(),
            sending,
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
            self.kept = Some(Connection {
                box_index,
                is_kept: true,
                reader,
            });
        } else if !has_response && self.random.random_bool(ABRUPT_SHARE) {
            reset(reader.get_ref());
        }
        Some(call)
    }

    fn draw_class(&mut self) -> Class {
        let classes = self.shape.classes;
        let drawn = classes.choose_weighted(&mut self.random, |class| class.weight);
        *drawn.expect("the weights are positive")
    }

    /// Returns the kept connection, or a new one to a box of the balancer.
    fn connection(&mut self) -> Option<Connection> {
        if let Some(kept) = self.kept.take() {
            return Some(kept);
        }
        let boxes = self.balancer.read().expect("no holder panics");
        let chosen = *boxes.choose(&mut self.random)?;
        drop(boxes);
        connect(chosen)
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
        sending: u32,
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
             x-wingspur-request-id: {id}\r\nx-soak-sending: {sending}\r\n\
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

/// Opens a connection to a box of the balancer.
fn connect((box_index, address): (usize, SocketAddr)) -> Option<Connection> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(Connection {
        box_index,
        is_kept: false,
        reader: BufReader::new(stream),
    })
}

/// Whether callers take a status to mean that a request has not run and never will.
pub fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
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
/// Share of the refused requests that are sent again, if some are.
const REPEATED_SHARE: f64 = 0.7;
const MAX_SENDINGS: u32 = 3;
/// Share of the repetitions that go to the same box.
const SAME_BOX_SHARE: f64 = 0.7;
const MAX_REPETITION_PAUSE_MS: u64 = 800;
const CHUNKED_SHARE: f64 = 0.4;
/// Share of the bodies that are sent in three parts with pauses.
const SLOW_SHARE: f64 = 0.3;
