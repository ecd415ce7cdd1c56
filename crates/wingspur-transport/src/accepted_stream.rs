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
        Ok(HttpVersion::Http2)
    }

    /// Reads some of the bytes that may belong to the preface; `None` at the end of the
    /// stream.
    async fn read_start(
        &mut self,
        head_timeout: &HeadTimeout,
    ) -> Result<Option<Vec<u8>>> {
        let began_at = self.arrival.began_at();
        let mut received = vec![0; HTTP2_PREFACE.len() - self.start.len()];
        let reading = self.stream.read(&mut received);
        let expired = async {
            match began_at {
                Some(at) => wingspur_clock::sleep_until(at + head_timeout.get()).await,
                None => futures_lite::future::pending().await,
            }
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
        if length > 0 {
            this.arrival.note_bytes();
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
        Box::pin(HeadSleep {
            arrival: self.arrival.clone(),
            head_timeout: self.head_timeout.clone(),
            timer: Mutex::new(wingspur_clock::Timer::at(idle_until)),
            has_begun: false,
        })
    }
}

/// Ends when the idle time is over, or when the head that is arriving takes too long.
struct HeadSleep {
    arrival: Arc<HeadArrival>,
    head_timeout: HeadTimeout,
    /// Ends with the idle time, or with the head's time once a head has begun. The mutex
    /// only makes it `Sync`, which a sleep has to be.
    timer: Mutex<wingspur_clock::Timer>,
    has_begun: bool,
}

impl Sleep for HeadSleep {}

impl Future for HeadSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let this = &mut *self;
        let timer = this.timer.get_mut().expect("no holder panics");
        if !this.has_begun
            && let Some(began_at) = this.arrival.began_at()
        {
            this.has_begun = true;
            *timer = wingspur_clock::Timer::at(began_at + this.head_timeout.get());
        }
        Pin::new(timer).poll(context)
    }
}

impl Drop for HeadSleep {
    fn drop(&mut self) {
        self.arrival.end_head();
    }
}

/// What an HTTP/2 client sends first (RFC 9113, section 3.4).
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
