//! The writing side of a connection of a server, which may repeat refusals later.

use std::collections::HashSet;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

use crate::planned::spawn;

/// Writes responses one after the other, and copies of refusals between them.
pub struct ResponseWriter {
    stream: TcpStream,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Copies that wait for the next request.
    copies: Vec<RefusalCopy>,
    /// Ids of the requests that were refused on this connection.
    refused: HashSet<String>,
    has_ended: bool,
}

struct RefusalCopy {
    time: CopyTime,
    bytes: Vec<u8>,
}

/// When a copy is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopyTime {
    /// After a delay, whatever the connection carries then.
    After(Duration),
    /// As soon as the next request has arrived.
    AtNextRequest,
    /// Ahead of the response to the next request.
    AheadOfResponse,
}

impl ResponseWriter {
    /// Creates the writer of a connection.
    pub fn new(stream: TcpStream) -> Arc<Self> {
        Arc::new(Self {
            stream,
            state: Mutex::default(),
        })
    }

    /// The connection.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Whether a request with this id was refused on this connection.
    pub fn has_refused(&self, id: &str) -> bool {
        self.state().refused.contains(id)
    }

    /// Writes the copies that are to come as soon as the next request has arrived.
    pub fn begin_request(&self) {
        self.write_copies(&mut self.state(), CopyTime::AtNextRequest);
    }

    /// Writes a response; returns whether the connection can be kept.
    pub fn write(&self, response: &[u8]) -> bool {
        let mut state = self.state();
        self.write_copies(&mut state, CopyTime::AheadOfResponse);
        self.write_all(response)
    }

    /// Writes a response that ends with the connection, or breaks off.
    pub fn write_last(&self, response: &[u8]) {
        let mut state = self.state();
        self.write_copies(&mut state, CopyTime::AheadOfResponse);
        state.has_ended = true;
        self.write_all(response);
    }

    /// Writes a response in two parts with a pause between them, or only the first of
    /// them. Returns whether the connection can be kept.
    pub fn write_in_parts(&self, response: &[u8]) -> bool {
        let mut random = rand::rng();
        let (first, rest) = response.split_at(random.random_range(1..response.len()));
        let mut state = self.state();
        self.write_copies(&mut state, CopyTime::AheadOfResponse);
        if !self.write_all(first) || random.random_bool(CUT_SHARE) {
            state.has_ended = true;
            return false;
        }
        std::thread::sleep(PART_PAUSE.mul_f64(random.random()));
        self.write_all(rest)
    }

    /// Records that a request was refused.
    pub fn record_refused(&self, id: &str) {
        self.state().refused.insert(id.to_owned());
    }

    /// Plans one or two copies of a refusal that was written.
    pub fn plan_copies(self: &Arc<Self>, refusal: &[u8], random: &mut StdRng) {
        for _ in 0..random.random_range(1..=2) {
            let time = CopyTime::draw(random);
            let bytes = refusal.to_vec();
            if let CopyTime::After(delay) = time {
                self.write_after(delay, bytes);
            } else {
                self.state().copies.push(RefusalCopy { time, bytes });
            }
        }
    }

    /// Writes a copy after a delay, if the connection has not ended by then.
    fn write_after(self: &Arc<Self>, delay: Duration, bytes: Vec<u8>) {
        let writer = Arc::downgrade(self);
        spawn(move || {
            std::thread::sleep(delay);
            if let Some(writer) = writer.upgrade() {
                let state = writer.state();
                if !state.has_ended {
                    writer.write_all(&bytes);
                }
            }
        });
    }

    fn write_copies(&self, state: &mut State, time: CopyTime) {
        let copies = std::mem::take(&mut state.copies);
        let (due, later): (Vec<_>, Vec<_>) =
            copies.into_iter().partition(|copy| copy.time == time);
        state.copies = later;
        due.iter().for_each(|copy| {
            self.write_all(&copy.bytes);
        });
    }

    fn write_all(&self, bytes: &[u8]) -> bool {
        (&self.stream).write_all(bytes).is_ok()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

impl CopyTime {
    fn draw(random: &mut StdRng) -> Self {
        match random.random_range(0..4) {
            0 | 1 => Self::After(MAX_COPY_DELAY.mul_f64(random.random())),
            2 => Self::AtNextRequest,
            _ => Self::AheadOfResponse,
        }
    }
}

const MAX_COPY_DELAY: Duration = Duration::from_secs(1);
/// Share of the responses in two parts of which only the first part is written.
const CUT_SHARE: f64 = 0.2;
/// The longest pause between two parts of a response.
const PART_PAUSE: Duration = Duration::from_millis(600);
