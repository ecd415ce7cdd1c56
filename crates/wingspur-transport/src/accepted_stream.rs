//! The byte stream of an accepted connection: which protocol it speaks, and since when a
//! request head is arriving on it.

use std::fmt::{self, Debug, Formatter};
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, FutureExt};
use hyper::rt::{Sleep, Timer};

/// A stream whose first bytes can be read to find out the protocol, and are then read
/// again by the HTTP server.
#[derive(Debug)]
pub struct AcceptedStream<S> {
    stream: S,
    /// Bytes that were read to find out the protocol.
    start: Vec<u8>,
    /// How many of them the HTTP server has read.
    replayed: usize,
    arrival: Arc<HeadArrival>,
    /// The frames of a connection that speaks HTTP/2.
    frames: Option<FrameTracker>,
}

/// The protocol that the first bytes of a connection show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpVersion {
    /// HTTP/1.1, or a connection that ended before it showed anything else.
    Http1,
    /// HTTP/2 by prior knowledge.
    Http2,
}

/// How long a request head may take from its first byte on. The value is read for each
/// head, so that it follows the settings.
#[derive(Clone)]
pub struct HeadTimeout(Arc<dyn Fn() -> Duration + Send + Sync>);

/// Since when a request head is arriving on a connection.
#[derive(Debug)]
pub struct HeadArrival(Mutex<ArrivalState>);

#[derive(Debug)]
struct ArrivalState {
    /// Whether the next byte that arrives belongs to a request head.
    is_awaited: bool,
    /// When the first byte of the head arrived; `None` before it.
    began_at: Option<Instant>,
}

impl<S: AsyncRead + Unpin> AcceptedStream<S> {
    /// Wraps a stream from which nothing was read yet.
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            start: Vec::new(),
            replayed: 0,
            arrival: Arc::default(),
            frames: None,
        }
    }

    /// Returns the arrival of request heads on this stream.
    pub fn arrival(&self) -> &Arc<HeadArrival> {
        &self.arrival
    }

    /// Reads until the bytes are either the whole HTTP/2 preface or something else. A
    /// client may send them one by one.
    ///
    /// Fails with `TimedOut` if a preface is begun and not completed within
    /// `head_timeout`.
    pub async fn detect_version(
        &mut self,
        head_timeout: &HeadTimeout,
    ) -> Result<HttpVersion> {
        while self.start.len() < HTTP2_PREFACE.len() {
            let Some(received) = self.read_start(head_timeout).await? else {
                return Ok(HttpVersion::Http1);
            };
            self.start.extend(received);
            if !HTTP2_PREFACE.starts_with(&self.start) {
                return Ok(HttpVersion::Http1);
            }
        }
        self.frames = Some(FrameTracker::default());
        Ok(HttpVersion::Http2)
    }

    /// Reads some of the bytes that may belong to the preface; `None` at the end of the
    /// stream.
    async fn read_start(
        &mut self,
        head_timeout: &HeadTimeout,
    ) -> Result<Option<Vec<u8>>> {
        let deadline = HeadDeadline::new(self.arrival.clone(), head_timeout.clone());
        let mut received = vec![0; HTTP2_PREFACE.len() - self.start.len()];
        let reading = self.stream.read(&mut received);
        let expired = async {
            deadline.await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let length = reading.or(expired).await?;
        if length == 0 {
            return Ok(None);
        }
        self.arrival.note_bytes();
        received.truncate(length);
        Ok(Some(received))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for AcceptedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        let this = &mut *self;
        let remaining = &this.start[this.replayed..];
        if !remaining.is_empty() {
            let length = remaining.len().min(buffer.len());
            buffer[..length].copy_from_slice(&remaining[..length]);
            this.replayed += length;
            return Poll::Ready(Ok(length));
        }
        let length = ready!(Pin::new(&mut this.stream).poll_read(context, buffer))?;
        match &mut this.frames {
            Some(frames) => {
                let has_ended = frames.receive(&buffer[..length]);
                this.arrival
                    .note_frames(has_ended, frames.is_head_arriving());
            }
            None if length > 0 => this.arrival.note_bytes(),
            None => {}
        }
        Poll::Ready(Ok(length))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for AcceptedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

impl HeadTimeout {
    /// Creates a timeout that calls `current` for each head.
    pub fn new(current: impl Fn() -> Duration + Send + Sync + 'static) -> Self {
        Self(Arc::new(current))
    }

    /// Creates a timeout that does not change.
    pub fn fixed(timeout: Duration) -> Self {
        Self::new(move || timeout)
    }

    /// Returns the timeout of a head that arrives now.
    pub fn get(&self) -> Duration {
        (self.0)()
    }
}

impl Debug for HeadTimeout {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("HeadTimeout")
    }
}

impl HeadArrival {
    /// Returns when the head that is arriving began; `None` if none is.
    pub fn began_at(&self) -> Option<Instant> {
        self.lock().began_at
    }

    fn note_bytes(&self) {
        let mut state = self.lock();
        if state.is_awaited && state.began_at.is_none() {
            state.began_at = Some(wingspur_clock::now());
        }
    }

    /// Records whether a head has ended on an HTTP/2 connection, and whether one is
    /// arriving now.
    fn note_frames(&self, has_ended: bool, is_head_arriving: bool) {
        let mut state = self.lock();
        let began_before = state.began_at.filter(|_| !has_ended);
        state.began_at =
            is_head_arriving.then(|| began_before.unwrap_or_else(wingspur_clock::now));
    }

    fn await_head(&self) {
        self.lock().is_awaited = true;
    }

    fn end_head(&self) {
        *self.lock() = ArrivalState {
            is_awaited: false,
            began_at: None,
        };
    }

    fn lock(&self) -> MutexGuard<'_, ArrivalState> {
        self.0.lock().expect("no holder panics")
    }
}

impl Default for HeadArrival {
    fn default() -> Self {
        Self(Mutex::new(ArrivalState {
            is_awaited: true,
            began_at: None,
        }))
    }
}

/// The timer of an HTTP/1.1 server connection.
///
/// The server takes a sleep from it whenever it begins to wait for a request head, and
/// drops the sleep once the head is complete. Its own timeout covers the idle time before
/// a head too; this timer ends the wait earlier if a head was begun and takes too long.
#[derive(Debug)]
pub struct HeadTimer {
    /// The arrival of heads on the connection.
    pub arrival: Arc<HeadArrival>,
    /// How long a head may take.
    pub head_timeout: HeadTimeout,
}

impl Timer for HeadTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(self.now() + duration)
    }

    fn now(&self) -> Instant {
        wingspur_clock::now()
    }

    fn sleep_until(&self, idle_until: Instant) -> Pin<Box<dyn Sleep>> {
        self.arrival.await_head();
        let (arrival, head_timeout) = (self.arrival.clone(), self.head_timeout.clone());
        Box::pin(HeadSleep {
            idle: Mutex::new(wingspur_clock::Timer::at(idle_until)),
            deadline: HeadDeadline::new(arrival, head_timeout),
        })
    }
}

/// Ends when the idle time is over, or when the head that is arriving takes too long.
struct HeadSleep {
    /// The mutex only makes the timer `Sync`, which a sleep has to be.
    idle: Mutex<wingspur_clock::Timer>,
    deadline: HeadDeadline,
}

impl Sleep for HeadSleep {}

impl Future for HeadSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let this = &mut *self;
        if this.deadline.arrival.began_at().is_some() {
            return Pin::new(&mut this.deadline).poll(context);
        }
        let idle = this.idle.get_mut().expect("no holder panics");
        Pin::new(idle).poll(context)
    }
}

impl Drop for HeadSleep {
    fn drop(&mut self) {
        self.deadline.arrival.end_head();
    }
}

/// Ends when the head that is arriving takes too long. It notices that a head begins when
/// it is polled, so it is polled in one task with the stream, after it.
pub struct HeadDeadline {
    arrival: Arc<HeadArrival>,
    head_timeout: HeadTimeout,
    /// When the head began, and the end of its time. The mutex only makes the timer
    /// `Sync`.
    timer: Option<(Instant, Mutex<wingspur_clock::Timer>)>,
}

impl HeadDeadline {
    /// Creates a deadline for the heads of a stream.
    pub fn new(arrival: Arc<HeadArrival>, head_timeout: HeadTimeout) -> Self {
        Self {
            arrival,
            head_timeout,
            timer: None,
        }
    }
}

impl Future for HeadDeadline {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let this = &mut *self;
        let Some(began_at) = this.arrival.began_at() else {
            this.timer = None;
            return Poll::Pending;
        };
        this.timer.take_if(|(known, _)| *known != began_at);
        let (_, timer) = this.timer.get_or_insert_with(|| {
            let ends_at = began_at + this.head_timeout.get();
            (began_at, Mutex::new(wingspur_clock::Timer::at(ends_at)))
        });
        Pin::new(timer.get_mut().expect("no holder panics")).poll(context)
    }
}

/// Follows the frames that an HTTP/2 client sends after the preface.
#[derive(Debug, Default)]
struct FrameTracker {
    /// The header of the current frame, as far as it has arrived.
    header: Vec<u8>,
    /// Bytes of the current frame's payload that have not arrived.
    payload_left: usize,
    /// Whether the SETTINGS frame, which completes the preface, has arrived.
    has_settings: bool,
    /// Whether further frames of a header block must follow.
    is_block_open: bool,
}

impl FrameTracker {
    /// Follows the next bytes. Returns whether a header block or a frame outside of one
    /// has ended in them.
    fn receive(&mut self, mut bytes: &[u8]) -> bool {
        let mut has_ended = false;
        while !bytes.is_empty() {
            if self.header.len() < FRAME_HEADER_BYTES {
                let missing = FRAME_HEADER_BYTES - self.header.len();
                let (header, rest) = bytes.split_at(missing.min(bytes.len()));
                self.header.extend(header);
                bytes = rest;
                if self.header.len() == FRAME_HEADER_BYTES {
                    let length = self.header[..3].iter();
                    self.payload_left =
                        length.fold(0, |length, byte| length << 8 | usize::from(*byte));
                }
            }
            let payload = self.payload_left.min(bytes.len());
            self.payload_left -= payload;
            bytes = &bytes[payload..];
            if self.header.len() == FRAME_HEADER_BYTES && self.payload_left == 0 {
                self.end_frame();
                has_ended |= !self.is_block_open;
            }
        }
        has_ended
    }

    fn end_frame(&mut self) {
        let (kind, flags) = (self.header[3], self.header[4]);
        if matches!(kind, HEADERS_FRAME | CONTINUATION_FRAME) {
            self.is_block_open = flags & END_HEADERS == 0;
        }
        self.has_settings = true;
        self.header.clear();
    }

    /// Returns whether the preface, a header block or any frame but one with data has
    /// arrived in part only.
    fn is_head_arriving(&self) -> bool {
        let is_data = self.header.get(3) == Some(&DATA_FRAME);
        let is_in_frame = !self.header.is_empty() && !is_data;
        !self.has_settings || self.is_block_open || is_in_frame
    }
}

/// What an HTTP/2 client sends first (RFC 9113, section 3.4).
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// The bytes of a frame's header: three of the payload's length, one each of the type and
/// the flags, and four of the stream (RFC 9113, section 4.1).
const FRAME_HEADER_BYTES: usize = 9;
const DATA_FRAME: u8 = 0;
const HEADERS_FRAME: u8 = 1;
const CONTINUATION_FRAME: u8 = 9;
/// The flag of a frame that ends a header block.
const END_HEADERS: u8 = 4;
