//! Connections to a backend server, none ever used out of step.
//!
//! HTTP/1.1 by hand over a published parser: what a faulty server sends (a second answer,
//! half of one, an answer before the request is in) must be told apart byte by byte, and an
//! answer that belongs to another request can be skipped for the one that follows it.

use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::task::Poll;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use http_body_util::BodyExt;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode};
use smol::net::TcpStream;
use socket2::SockRef;
use wingspur_state::MAX_RESEND_TRANSIT;

use crate::SendBody;
use crate::response_head::{
    Framing, ParsedHead, framing_of, parse_head, rest_of, unreadable,
};

/// The connections of this box to one backend server.
#[derive(Debug)]
pub struct BackendConnections {
    address: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
    opened: AtomicUsize,
    /// How long the last connection took to come up, in microseconds; 0 before any has.
    took_us: AtomicU64,
}

/// A connection in use for one request.
///
/// It goes back by `BackendConnections::release`, after its answer was read whole; when it is dropped
/// instead, it closes.
#[derive(Debug)]
pub struct BackendConnection {
    stream: TcpStream,
    buffer: BytesMut,
    /// How the body of the answer that is being read ends.
    framing: Framing,
    /// Whether another request may follow.
    reusable: bool,
    /// For how long it may rest before the server closes it.
    rest_for: Duration,
}

/// Which connection a request may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReusePolicy {
    /// Any that has not rested too long.
    Any,
    /// One that has rested no longer than this.
    IdleAtMost(Duration),
}

/// The head of an answer.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// The status.
    pub status: StatusCode,
    /// All headers, as the server sent them.
    pub headers: HeaderMap,
    /// The body's length in bytes, where the head tells it.
    pub body_bytes: Option<u64>,
}

/// Why there is no connection: nothing was sent.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// Nobody answered.
    #[error("no connection within {0:?}")]
    Silent(Duration),
    /// The address refused, or cannot be reached.
    #[error("no connection: {0}")]
    Refused(io::Error),
}

impl ConnectError {
    /// Whether the machine answered that nobody listens at the port.
    pub fn is_connection_refused(&self) -> bool {
        match self {
            Self::Silent(_) => false,
            Self::Refused(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        }
    }
}

impl ResponseError {
    /// Whether the connection ended, as it does when the server's process does.
    pub fn is_connection_lost(&self) -> bool {
        matches!(self, Self::Broken(_))
    }
}

/// Why an answer is missing or of no use: the request may have run.
#[derive(Debug, thiserror::Error)]
pub enum ResponseError {
    /// The connection failed or ended before the whole answer was in.
    #[error("the answer broke off: {0}")]
    Broken(io::Error),
    /// The bytes are no answer in HTTP/1.1.
    #[error("the bytes are no answer: {0}")]
    Unreadable(String),
    /// The caller's body broke off or was too long.
    #[error("the request's body broke off")]
    RequestBody,
}

#[derive(Debug)]
struct IdleConnection {
    connection: BackendConnection,
    since: Instant,
}

impl BackendConnections {
    /// Starts with no connections.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
            opened: AtomicUsize::new(0),
            took_us: AtomicU64::new(0),
        }
    }

    /// Takes a kept connection, or opens one within `timeout`, or within less where the last
    /// one came up fast.
    pub async fn connect(
        &self,
        reuse: ReusePolicy,
        timeout: Duration,
    ) -> Result<BackendConnection, ConnectError> {
        let now = wingspur_clock::now();
        while let Some(mut connection) = self.take_idle(reuse, now) {
            if connection.is_quiet().await {
                return Ok(connection);
            }
        }
        self.open(timeout.min(self.patience())).await
    }

    /// Whether anybody listens at the server's address now; a connection that comes up is
    /// kept for the next request.
    pub async fn check(&self, timeout: Duration) -> Result<(), ConnectError> {
        let connection = self.open(timeout).await?;
        self.release(connection);
        Ok(())
    }

    async fn open(&self, timeout: Duration) -> Result<BackendConnection, ConnectError> {
        let began = wingspur_clock::now();
        let connecting = async { Some(TcpStream::connect(self.address).await) };
        let expired = async {
            wingspur_clock::sleep(timeout).await;
            None
        };
        let stream = match connecting.or(expired).await {
            Some(stream) => stream.map_err(ConnectError::Refused)?,
            None => return Err(ConnectError::Silent(timeout)),
        };
        stream.set_nodelay(true).map_err(ConnectError::Refused)?;
        let socket = SockRef::from(&stream);
        let limited = socket.set_tcp_user_timeout(Some(unacknowledged_for()));
        limited.map_err(ConnectError::Refused)?;
        let took_us = wingspur_clock::since(began).as_micros().max(1) as u64;
        self.took_us.store(took_us, Ordering::Relaxed);
        self.opened.fetch_add(1, Ordering::Relaxed);
        Ok(BackendConnection::new(stream))
    }

    /// Takes back a connection whose answer was read whole, if another may follow.
    pub fn release(&self, mut connection: BackendConnection) {
        if !connection.may_follow() {
            return;
        }
        // An idle connection holds no buffer.
        connection.buffer = BytesMut::new();
        let since = wingspur_clock::now();
        let idle = IdleConnection { connection, since };
        self.idle.lock().expect("no holder panics").push(idle);
    }

    /// Closes connections that have rested too long; false when none is left.
    pub fn close_idle(&self, now: Instant) -> bool {
        let mut idle = self.idle.lock().expect("no holder panics");
        idle.retain(|idle| !idle.has_rested(idle.connection.rest_for, now));
        !idle.is_empty()
    }

    /// Connections opened since the start.
    pub fn opened(&self) -> usize {
        self.opened.load(Ordering::Relaxed)
    }

    /// How long a connection may take, by how long the last one took.
    fn patience(&self) -> Duration {
        match self.took_us.load(Ordering::Relaxed) {
            0 => Duration::MAX,
            took => (Duration::from_micros(took) * PATIENCE_FACTOR).max(LEAST_PATIENCE),
        }
    }

    /// The newest kept connection that may still be used.
    fn take_idle(&self, reuse: ReusePolicy, now: Instant) -> Option<BackendConnection> {
        let mut idle = self.idle.lock().expect("no holder panics");
        let newest = idle.last()?;
        let limit = match reuse {
            ReusePolicy::Any => newest.connection.rest_for,
            ReusePolicy::IdleAtMost(limit) => limit.min(newest.connection.rest_for),
        };
        if newest.has_rested(limit, now) {
            return None;
        }
        idle.pop().map(|idle| idle.connection)
    }
}

impl IdleConnection {
    fn has_rested(&self, limit: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.since) >= limit
    }
}

impl BackendConnection {
    fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            framing: Framing::Done,
            reusable: true,
            rest_for: REST_BY_DEFAULT,
        }
    }

    /// Sends a request and reads the head of what comes back.
    ///
    /// An answer that comes before the request is in ends the sending, and the connection
    /// with its answer: the server may still read on, and must not take what follows for
    /// the rest of the body.
    pub async fn send_request(
        &mut self,
        head: Vec<u8>,
        body: SendBody,
        method: &Method,
    ) -> Result<ResponseHead, ResponseError> {
        let writer = self.stream.clone();
        let mut sending = pin!(send(writer, head, body));
        let (sent, answer) = {
            let mut reading = pin!(self.read_head(method));
            let mut sent = None;
            poll_fn(|context| {
                if sent.is_none()
                    && let Poll::Ready(ended) = sending.as_mut().poll(context)
                {
                    if let Err(error @ ResponseError::RequestBody) = ended {
                        return Poll::Ready((Some(Ok(())), Err(error)));
                    }
                    // A server that refuses early may close its side: its answer, not the
                    // failed sending, tells what happened.
                    sent = Some(ended);
                }
                reading
                    .as_mut()
                    .poll(context)
                    .map(|answer| (sent.take(), answer))
            })
            .await
        };
        self.reusable &= matches!(sent, Some(Ok(())));
        answer
    }

    /// Reads the head of the next answer, past interim ones.
    pub async fn read_head(
        &mut self,
        method: &Method,
    ) -> Result<ResponseHead, ResponseError> {
        loop {
            if let Some((head, length)) = parse_head(&self.buffer)? {
                self.buffer.advance(length);
                if head.status.is_informational() {
                    continue;
                }
                return self.take_head(head, method);
            }
            if self.buffer.len() > MOST_HEAD_BYTES {
                return Err(unreadable("its head is too long"));
            }
            if self.fill().await? == 0 {
                return Err(ended_early());
            }
        }
    }

    /// The next piece of the answer's body; none at its end.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, ResponseError> {
        loop {
            match self.framing {
                Framing::Done => return Ok(None),
                Framing::Length(0) => self.framing = Framing::Done,
                Framing::Length(left) => {
                    let piece = self.take_piece(left).await?;
                    self.framing = Framing::Length(left - piece.len() as u64);
                    return Ok(Some(piece));
                }
                Framing::UntilClose => {
                    if self.buffer.is_empty() && self.fill().await? == 0 {
                        self.framing = Framing::Done;
                        return Ok(None);
                    }
                    return Ok(Some(self.buffer.split().freeze()));
                }
                Framing::Chunked(None) => self.begin_chunk().await?,
                Framing::Chunked(Some(0)) => {
                    self.expect_line_end().await?;
                    self.framing = Framing::Chunked(None);
                }
                Framing::Chunked(Some(left)) => {
                    let piece = self.take_piece(left).await?;
                    self.framing = Framing::Chunked(Some(left - piece.len() as u64));
                    return Ok(Some(piece));
                }
            }
        }
    }

    /// Reads the body to its end; none if it is longer than `limit`, with what came so far
    /// kept for `next_piece`.
    pub async fn read_whole(
        &mut self,
        limit: usize,
    ) -> Result<Result<Bytes, Vec<Bytes>>, ResponseError> {
        let mut pieces = Vec::new();
        let mut length = 0;
        while let Some(piece) = self.next_chunk().await? {
            length += piece.len();
            pieces.push(piece);
            if length > limit {
                return Ok(Err(pieces));
            }
        }
        Ok(Ok(join(pieces, length)))
    }

    /// Whether all of the answer has been read.
    pub fn is_read(&self) -> bool {
        matches!(self.framing, Framing::Done | Framing::Length(0))
    }

    /// Closes the connection after this answer, whatever the server says.
    pub fn disable_reuse(&mut self) {
        self.reusable = false;
    }

    /// Whether another request may be sent: all was read, and nothing beyond.
    fn may_follow(&self) -> bool {
        self.reusable && self.is_read() && self.buffer.is_empty()
    }

    /// Whether the server has sent nothing and not closed while the connection rested.
    async fn is_quiet(&mut self) -> bool {
        let mut byte = [0];
        let peeked = futures_lite::future::poll_once(self.stream.peek(&mut byte)).await;
        peeked.is_none()
    }

    fn take_head(
        &mut self,
        head: ParsedHead,
        method: &Method,
    ) -> Result<ResponseHead, ResponseError> {
        let ParsedHead {
            status,
            headers,
            keeps,
        } = head;
        let bodiless = *method == Method::HEAD
            || status == StatusCode::NO_CONTENT
            || status == StatusCode::NOT_MODIFIED;
        self.framing = if bodiless {
            Framing::Done
        } else {
            framing_of(&headers)?
        };
        self.reusable &= keeps && self.framing != Framing::UntilClose;
        if let Some(rest) = rest_of(&headers) {
            self.rest_for = rest;
        }
        let body_bytes = match self.framing {
            Framing::Length(length) => Some(length),
            Framing::Done => Some(0),
            Framing::Chunked(_) | Framing::UntilClose => None,
        };
        Ok(ResponseHead {
            status,
            headers,
            body_bytes,
        })
    }

    async fn take_piece(&mut self, most: u64) -> Result<Bytes, ResponseError> {
        if self.buffer.is_empty() && self.fill().await? == 0 {
            return Err(ended_early());
        }
        let length = most.min(self.buffer.len() as u64) as usize;
        Ok(self.buffer.split_to(length).freeze())
    }

    async fn begin_chunk(&mut self) -> Result<(), ResponseError> {
        loop {
            match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete((head, 0))) => {
                    self.buffer.advance(head);
                    self.skip_trailers().await?;
                    self.framing = Framing::Done;
                    return Ok(());
                }
                Ok(httparse::Status::Complete((head, size))) => {
                    self.buffer.advance(head);
                    self.framing = Framing::Chunked(Some(size));
                    return Ok(());
                }
                Ok(httparse::Status::Partial) => {}
                Err(_) => return Err(unreadable("a chunk without a size")),
            }
            if self.buffer.len() > MOST_LINE_BYTES {
                return Err(unreadable("a chunk's head is too long"));
            }
            if self.fill().await? == 0 {
                return Err(ended_early());
            }
        }
    }

    async fn skip_trailers(&mut self) -> Result<(), ResponseError> {
        loop {
            let end = self.buffer.windows(2).position(|pair| pair == b"\r\n");
            match end {
                Some(0) => {
                    self.buffer.advance(2);
                    return Ok(());
                }
                Some(end) => self.buffer.advance(end + 2),
                None if self.buffer.len() > MOST_LINE_BYTES => {
                    return Err(unreadable("a trailer is too long"));
                }
                None if self.fill().await? == 0 => return Err(ended_early()),
                None => {}
            }
        }
    }

    async fn expect_line_end(&mut self) -> Result<(), ResponseError> {
        while self.buffer.len() < 2 {
            if self.fill().await? == 0 {
                return Err(ended_early());
            }
        }
        if &self.buffer[..2] != b"\r\n" {
            return Err(unreadable("a chunk does not end where it should"));
        }
        self.buffer.advance(2);
        Ok(())
    }

    /// Reads more into the buffer; 0 when the server has closed.
    async fn fill(&mut self) -> Result<usize, ResponseError> {
        let held = self.buffer.len();
        self.buffer.resize(held + READ_BYTES, 0);
        let read = self.stream.read(&mut self.buffer[held..]).await;
        self.buffer.truncate(held + *read.as_ref().unwrap_or(&0));
        read.map_err(ResponseError::Broken)
    }
}

async fn send(
    mut stream: TcpStream,
    head: Vec<u8>,
    body: SendBody,
) -> Result<(), ResponseError> {
    let broken = ResponseError::Broken;
    match body {
        SendBody::Buffered(None) => stream.write_all(&head).await.map_err(broken),
        SendBody::Buffered(Some(bytes)) => {
            let mut all = head;
            all.extend_from_slice(&bytes);
            stream.write_all(&all).await.map_err(broken)
        }
        streamed @ SendBody::Stream(..) => {
            let chunked = hyper::body::Body::size_hint(&streamed).exact().is_none();
            stream.write_all(&head).await.map_err(broken)?;
            send_stream(stream, streamed, chunked).await
        }
    }
}

async fn send_stream(
    mut stream: TcpStream,
    mut body: SendBody,
    chunked: bool,
) -> Result<(), ResponseError> {
    let broken = ResponseError::Broken;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ResponseError::RequestBody)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if data.is_empty() {
            continue;
        }
        if chunked {
            let size = format!("{:x}\r\n", data.len());
            stream.write_all(size.as_bytes()).await.map_err(broken)?;
        }
        stream.write_all(&data).await.map_err(broken)?;
        if chunked {
            stream.write_all(b"\r\n").await.map_err(broken)?;
        }
    }
    if chunked {
        stream.write_all(b"0\r\n\r\n").await.map_err(broken)?;
    }
    Ok(())
}

fn join(mut pieces: Vec<Bytes>, length: usize) -> Bytes {
    if pieces.len() == 1 {
        return pieces.remove(0);
    }
    let mut whole = BytesMut::with_capacity(length);
    for piece in pieces {
        whole.extend_from_slice(&piece);
    }
    whole.freeze()
}

fn ended_early() -> ResponseError {
    ResponseError::Broken(io::ErrorKind::UnexpectedEof.into())
}

/// For how long bytes may wait for their acknowledgement, also once the connection is closed:
/// then the kernel gives them up. The retry budget counts on it that nothing arrives later
/// than `RESEND_ON_WAY`; the last packet may take a moment more.
fn unacknowledged_for() -> Duration {
    MAX_RESEND_TRANSIT.saturating_sub(LAST_PACKET)
}

/// No packet is longer on its way.
const LAST_PACKET: Duration = Duration::from_millis(250);
/// A connection that takes so many times as long as the last one is given up: its opening
/// packet was lost, and would only be sent again after a second.
const PATIENCE_FACTOR: u32 = 8;
/// A busy server or box may take this long without any packet lost.
const LEAST_PATIENCE: Duration = Duration::from_millis(100);
/// Read at once from a server; more makes fewer system calls of a long answer.
const READ_BYTES: usize = 16 << 10;
/// The longest head of an answer.
const MOST_HEAD_BYTES: usize = 64 << 10;
const MOST_LINE_BYTES: usize = 8 << 10;
/// How long a connection may rest when its server does not say.
const REST_BY_DEFAULT: Duration = Duration::from_secs(4);
