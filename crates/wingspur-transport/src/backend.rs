//! Connections to a backend server, each reused only while requests and responses are in
//! step.
//!
//! HTTP/1.1 is implemented here on top of the `httparse` crate. What a faulty server
//! sends (a second response, an incomplete one, a response before the whole request was
//! sent) must be told apart byte by byte, and a response that belongs to another request
//! can be skipped to read the one that follows it.

use std::future::{Future, poll_fn};
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Poll, ready};
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use futures_lite::{AsyncReadExt, AsyncWrite, AsyncWriteExt, FutureExt};
use http_body_util::BodyExt;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, StatusCode};
use smol::net::TcpStream;
use socket2::SockRef;
use wingspur_state::MAX_RESEND_TRANSIT;

use crate::buffer_budget::{BufferBudget, BufferLease, LeasedBuffer, UNLEASED_BYTES};
use crate::connection_history::{ConnectionHistory, next_connection_number};
use crate::fair_stream::FairStream;
use crate::path_fault::InjectedPathFault;
use crate::response_head::{
    Framing, ParsedHead, check_field, check_following, keep_alive_timeout,
    parse_chunk_header, parse_head, undelimited, unreadable,
};
use crate::{ConnectionUse, ResponseArrival, ResponseError, SendBody};

/// The idle connections of this box to one backend server.
#[derive(Debug)]
pub struct BackendConnections {
    address: SocketAddr,
    path_fault: InjectedPathFault,
    buffers: Arc<BufferBudget>,
    idle: Mutex<Vec<IdleConnection>>,
    opened: AtomicUsize,
    /// How long the last connection took to be established, in microseconds; 0 before the
    /// first one.
    last_connect_us: AtomicU64,
    /// How long the fastest connection took to be established, in microseconds.
    fastest_connect_us: AtomicU64,
}

/// A connection in use for one request.
///
/// It is reused only if it is given to `BackendConnections::release` after its response
/// was read completely. When it is dropped instead, it closes.
#[derive(Debug)]
pub struct BackendConnection {
    stream: FairStream<TcpStream>,
    address: SocketAddr,
    /// Its number among the connections of this process, from 1.
    number: u64,
    history: ConnectionHistory,
    /// The id of the current request, if it has one.
    request_id: Option<HeaderValue>,
    /// How many idle connections were closed when this one was taken.
    avoided: usize,
    /// The shortest time to connect to this server so far.
    connect_time: Duration,
    /// When the last part of the current request was sent; `None` while it is being sent.
    request_sent_at: Option<Instant>,
    path_fault: InjectedPathFault,
    /// What is buffered of responses counts here.
    buffers: Arc<BufferBudget>,
    buffer: BytesMut,
    /// How much of the body of the current response has not been read.
    framing: Framing,
    /// Whether no request was sent on it yet.
    is_new: bool,
    /// Whether another request may be sent after the current one.
    reusable: bool,
    /// How long it may be idle and still be reused; after that the server may close it.
    idle_timeout: Duration,
    /// Whether it failed while a request was being sent on it. The kernel reports a reset
    /// once, and reads after that return the end of the stream.
    has_failed: bool,
    /// Whether a closer has closed it.
    was_closed: Arc<AtomicBool>,
}

/// Closes a connection while it is read elsewhere, unless a clone was disarmed.
#[derive(Debug, Clone)]
pub struct ConnectionCloser {
    /// The connection; `None` once it was closed or the closer was disarmed.
    stream: Arc<Mutex<Option<TcpStream>>>,
    was_closed: Arc<AtomicBool>,
}

impl ConnectionCloser {
    /// Closes both directions of the connection. A response that is being read from it
    /// breaks off, also one whose body ends with the connection.
    pub fn close(self) {
        let mut stream = self.stream.lock().expect("no holder panics");
        if let Some(stream) = stream.take() {
            // Before the reader can see the end.
            self.was_closed.store(true, Ordering::Release);
            // Fails if the server has closed the connection already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Makes all clones leave the connection open from now on, so that it can be reused.
    pub fn disarm(self) {
        self.stream.lock().expect("no holder panics").take();
    }
}

/// Which idle connections a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReusePolicy {
    /// Any that was idle for less than the time that its server keeps it open.
    Any,
    /// Only one that was idle for less than this, and for which `Any` holds as well.
    IdleAtMost(Duration),
    /// Only one on which a response was read after this moment, and for which `Any` holds
    /// as well.
    UsedSince(Instant),
    /// None, and the connection closes after the request.
    Never,
}

/// The head of a response.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// The status.
    pub status: StatusCode,
    /// All headers, as the server sent them.
    pub headers: HeaderMap,
    /// The length of the body in bytes, or `None` if the head does not say it.
    pub body_bytes: Option<u64>,
}

/// Why a connection could not be opened. Nothing of the request was sent.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The connection was not established within this time.
    #[error("no connection within {0:?}")]
    Silent(Duration),
    /// The server's address refused the connection or cannot be reached, or the socket
    /// could not be set up.
    #[error("no connection: {0}")]
    Refused(io::Error),
}

impl ConnectError {
    /// Returns whether the machine answered that no process listens at the port.
    pub fn is_connection_refused(&self) -> bool {
        match self {
            Self::Silent(_) => false,
            Self::Refused(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: BackendConnection,
    since: Instant,
}

impl BackendConnections {
    /// Creates the set without connections. What is buffered of their responses counts
    /// in the budget.
    pub fn new(address: SocketAddr, buffers: Arc<BufferBudget>) -> Self {
        Self::with_path_fault(address, buffers, InjectedPathFault::default())
    }

    /// Creates the set without connections; all of them are subject to the injected
    /// fault.
    pub fn with_path_fault(
        address: SocketAddr,
        buffers: Arc<BufferBudget>,
        path_fault: InjectedPathFault,
    ) -> Self {
        Self {
            address,
            path_fault,
            buffers,
            idle: Mutex::default(),
            opened: AtomicUsize::new(0),
            last_connect_us: AtomicU64::new(0),
            fastest_connect_us: AtomicU64::new(u64::MAX),
        }
    }

    /// Takes an idle connection for a request, which may have an id, or opens a new one.
    /// Opening fails with `ConnectError::Silent` after `timeout`, or earlier if the last
    /// connection was established fast.
    ///
    /// Idle connections on which the request got an error response are closed: copies of
    /// the response may still arrive there. As each of them makes room for a new one, a
    /// caller that repeats an id gets no more connections than any other.
    pub async fn connect(
        &self,
        reuse: ReusePolicy,
        id: Option<&HeaderValue>,
        timeout: Duration,
    ) -> Result<BackendConnection, ConnectError> {
        let now = wingspur_clock::now();
        let avoided = self.close_failed(id);
        while let Some(mut connection) = self.take_idle(reuse, now) {
            if connection.has_no_input().await && !self.path_fault.resets_open() {
                connection.avoided = avoided;
                return Ok(connection);
            }
        }
        let mut connection = self.open(timeout.min(self.connect_timeout())).await?;
        connection.avoided = avoided;
        connection.reusable = reuse != ReusePolicy::Never;
        Ok(connection)
    }

    /// Checks whether the server accepts connections, by opening one within `timeout`.
    /// The connection is kept for the next request.
    pub async fn check(&self, timeout: Duration) -> Result<(), ConnectError> {
        let connection = self.open(timeout).await?;
        self.release(connection);
        Ok(())
    }

    async fn open(&self, timeout: Duration) -> Result<BackendConnection, ConnectError> {
        let started = wingspur_clock::now();
        let connecting = self.path_fault.connect(TcpStream::connect(self.address));
        let connecting = async { Some(connecting.await) };
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
        let limited = socket.set_tcp_user_timeout(Some(tcp_user_timeout()));
        limited.map_err(ConnectError::Refused)?;
        let took_us = wingspur_clock::since(started).as_micros().max(1) as u64;
        self.last_connect_us.store(took_us, Ordering::Relaxed);
        let fastest_us = self
            .fastest_connect_us
            .fetch_min(took_us, Ordering::Relaxed);
        self.opened.fetch_add(1, Ordering::Relaxed);
        Ok(BackendConnection {
            stream: FairStream::new(stream),
            address: self.address,
            number: next_connection_number(),
            history: ConnectionHistory::default(),
            request_id: None,
            avoided: 0,
            connect_time: Duration::from_micros(fastest_us.min(took_us)),
            request_sent_at: None,
            path_fault: self.path_fault.clone(),
            buffers: self.buffers.clone(),
            buffer: BytesMut::new(),
            framing: Framing::Done,
            is_new: true,
            reusable: true,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            has_failed: false,
            was_closed: Arc::default(),
        })
    }

    /// Keeps a connection for the next request if its response was read completely and it
    /// may be reused; otherwise closes it.
    pub fn release(&self, mut connection: BackendConnection) {
        if !connection.is_reusable() || connection.history.is_full() {
            return;
        }
        connection.is_new = false;
        // Releases the memory of the buffers, also of the head that the id is a part of,
        // while the connection is idle.
        connection.buffer = BytesMut::new();
        connection.request_id = None;
        let since = wingspur_clock::now();
        let idle = IdleConnection { connection, since };
        self.idle.lock().expect("no holder panics").push(idle);
    }

    /// Returns whether there is an idle connection that `connect` would take.
    pub fn has_idle(&self, reuse: ReusePolicy, id: Option<&HeaderValue>) -> bool {
        let idle = self.idle.lock().expect("no holder panics");
        let now = wingspur_clock::now();
        let newest = idle.iter().rfind(|idle| !idle.has_failed(id));
        newest.is_some_and(|idle| idle.is_allowed(reuse, now))
    }

    /// Closes connections that were idle for too long. Returns false if none is left.
    pub fn close_idle(&self, now: Instant) -> bool {
        let mut idle = self.idle.lock().expect("no holder panics");
        idle.retain(|idle| !idle.is_idle_for(idle.connection.idle_timeout, now));
        !idle.is_empty()
    }

    /// Returns how many connections were opened since the set was created.
    pub fn opened(&self) -> usize {
        self.opened.load(Ordering::Relaxed)
    }

    /// Returns the upper bound on the time to open a connection, which depends on how
    /// long the last one took.
    fn connect_timeout(&self) -> Duration {
        match self.last_connect_us.load(Ordering::Relaxed) {
            0 => Duration::MAX,
            last_us => (Duration::from_micros(last_us) * CONNECT_TIMEOUT_FACTOR)
                .max(MIN_CONNECT_TIMEOUT),
        }
    }

    /// Closes the idle connections on which a request, which may have an id, got an error
    /// response. Returns how many these were.
    fn close_failed(&self, id: Option<&HeaderValue>) -> usize {
        let mut idle = self.idle.lock().expect("no holder panics");
        let before = idle.len();
        idle.retain(|idle| !idle.has_failed(id));
        before - idle.len()
    }

    /// Takes the most recently used idle connection, or returns `None` if the policy does
    /// not allow it.
    fn take_idle(&self, reuse: ReusePolicy, now: Instant) -> Option<BackendConnection> {
        let mut idle = self.idle.lock().expect("no holder panics");
        let newest = idle.last()?;
        if !newest.is_allowed(reuse, now) {
            return None;
        }
        idle.pop().map(|idle| idle.connection)
    }
}

impl IdleConnection {
    fn is_allowed(&self, reuse: ReusePolicy, now: Instant) -> bool {
        let limit = match reuse {
            ReusePolicy::Never => return false,
            ReusePolicy::UsedSince(at) if self.since < at => return false,
            ReusePolicy::Any | ReusePolicy::UsedSince(_) => self.connection.idle_timeout,
            ReusePolicy::IdleAtMost(limit) => limit.min(self.connection.idle_timeout),
        };
        !self.is_idle_for(limit, now)
    }

    fn has_failed(&self, id: Option<&HeaderValue>) -> bool {
        self.connection.history.has_failed(id)
    }

    fn is_idle_for(&self, limit: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.since) >= limit
    }
}

impl BackendConnection {
    /// Returns what the connection carried before a request that is to be sent on it, and
    /// that may have an id.
    pub fn usage(&self, id: Option<&HeaderValue>) -> ConnectionUse {
        ConnectionUse {
            avoided: self.avoided,
            ..self.history.usage(self.address, self.number, id)
        }
    }

    /// Sends a request, which may have an id, and reads the head of the response.
    ///
    /// A response that arrives before the whole request was sent ends the sending, and
    /// the connection is not reused after it. The server may still be reading the body,
    /// and must not take the next request for the remainder of it.
    pub async fn send_request(
        &mut self,
        head: Vec<u8>,
        body: SendBody,
        method: &Method,
        id: Option<&HeaderValue>,
    ) -> Result<ResponseHead, ResponseError> {
        self.is_new = false;
        self.history.record_sent();
        self.request_id = id.cloned();
        self.request_sent_at = None;
        let writer = self.stream.get_ref().clone();
        let mut sending = pin!(send(writer, head, body));
        let (sent, head_result) = {
            let mut reading = pin!(self.read_head(method));
            let mut sent = None;
            poll_fn(|context| {
                if sent.is_none()
                    && let Poll::Ready(ended) = sending.as_mut().poll(context)
                {
                    if let Err(
                        error @ (ResponseError::NotSent(_) | ResponseError::RequestBody),
                    ) = ended
                    {
                        return Poll::Ready((None, Err(error)));
                    }
                    // A server that refuses a request early may close its side. Its
                    // response shows the cause then, not the send error.
                    sent = Some(ended);
                }
                reading
                    .as_mut()
                    .poll(context)
                    .map(|head_result| (sent.take(), head_result))
            })
            .await
        };
        self.reusable &= matches!(sent, Some(Ok(_)));
        self.has_failed = matches!(&sent, Some(Err(error)) if !is_after_end(error));
        self.request_sent_at = sent.and_then(Result::ok);
        head_result
    }

    /// Returns when the last part of the current request was sent; `None` if its response
    /// arrived before that.
    pub fn request_sent_at(&self) -> Option<Instant> {
        self.request_sent_at
    }

    /// Returns when the data that was received last arrived.
    pub fn latest_arrival(&self) -> ResponseArrival {
        ResponseArrival::latest(self.stream.get_ref(), self.connect_time)
    }

    /// Reads the head of the next response and skips interim (1xx) responses.
    pub async fn read_head(
        &mut self,
        method: &Method,
    ) -> Result<ResponseHead, ResponseError> {
        let mut interim_bytes = 0;
        let mut lease = BufferLease::empty(self.buffers.clone());
        loop {
            if let Some((head, length)) = parse_head(&self.buffer)? {
                self.buffer.advance(length);
                if !head.status.is_informational() {
                    return self.accept_head(head, method);
                }
                interim_bytes += length;
                if interim_bytes > MAX_HEAD_BYTES {
                    return Err(unreadable("there are too many interim responses"));
                }
                continue;
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(unreadable("its head is too long"));
            }
            if self.read_more().await? == 0 {
                return Err(unexpected_end());
            }
            // The first read needs no lease, and the buffer may have grown by doubling.
            let beyond = self.buffer.capacity().saturating_sub(UNLEASED_BYTES);
            if self.buffer.len() > UNLEASED_BYTES && !lease.grow_to(beyond) {
                return Err(unreadable("its head is too long for the memory left"));
            }
        }
    }

    /// Returns the next bytes of the response body, or `None` at its end.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, ResponseError> {
        loop {
            match self.framing {
                Framing::Done => return Ok(None),
                Framing::Length(0) => {
                    check_following(&self.buffer)?;
                    self.framing = Framing::Done;
                }
                Framing::Length(remaining) => {
                    let chunk = self.take_bytes(remaining).await?;
                    let unread = remaining - chunk.len() as u64;
                    self.framing = Framing::Length(unread);
                    if unread == 0 {
                        check_following(&self.buffer)?;
                    }
                    return Ok(Some(chunk));
                }
                Framing::UntilClose => {
                    if self.buffer.is_empty() && self.read_more().await? == 0 {
                        self.framing = Framing::Done;
                        return Ok(None);
                    }
                    return Ok(Some(self.buffer.split().freeze()));
                }
                Framing::Undelimited => return Err(undelimited()),
                Framing::Chunked(None) => self.read_chunk_header().await?,
                Framing::Chunked(Some(0)) => {
                    self.expect_line_end().await?;
                    self.framing = Framing::Chunked(None);
                }
                Framing::Chunked(Some(remaining)) => {
                    let chunk = self.take_bytes(remaining).await?;
                    self.framing = Framing::Chunked(Some(remaining - chunk.len() as u64));
                    return Ok(Some(chunk));
                }
            }
        }
    }

    /// Reads the response body to its end. If it is longer than `limit` bytes, or than the
    /// budget for buffers allows, returns the inner `Err` with what was read so far;
    /// `next_chunk` returns the remainder.
    ///
    /// The bytes are copied into one buffer: a small chunk would hold on to the whole
    /// block that it was read into.
    pub async fn read_whole(
        &mut self,
        limit: usize,
    ) -> Result<Result<Bytes, Bytes>, ResponseError> {
        let mut body = LeasedBuffer::new(self.buffers.clone());
        while let Some(chunk) = self.next_chunk().await? {
            let is_leased = body.extend(&chunk);
            if !is_leased || body.len() > limit {
                return Ok(Err(body.into_bytes()));
            }
        }
        Ok(Ok(body.into_bytes()))
    }

    /// Reads the response body to its end without keeping it. Stops after `limit` bytes,
    /// which leaves the response unread.
    pub async fn skip_body(&mut self, limit: usize) -> Result<(), ResponseError> {
        let mut skipped = 0;
        while skipped <= limit
            && let Some(chunk) = self.next_chunk().await?
        {
            skipped += chunk.len();
        }
        Ok(())
    }

    /// Discards the remainder of the response body, so that the connection can be reused.
    /// Gives up after `timeout` or [`MAX_DISCARDED_BYTES`]; the connection is not reused
    /// then. Does nothing if it would not be reused anyway.
    pub async fn discard_body(&mut self, timeout: Duration) {
        if !self.reusable {
            return;
        }
        let reading = async {
            // A body that cannot be read leaves the connection unread, and so unused.
            let _ = self.skip_body(MAX_DISCARDED_BYTES).await;
        };
        reading.or(wingspur_clock::sleep(timeout)).await;
    }

    /// Returns what closes the connection while it is being read elsewhere.
    pub fn closer(&self) -> ConnectionCloser {
        ConnectionCloser {
            stream: Arc::new(Mutex::new(Some(self.stream.get_ref().clone()))),
            was_closed: self.was_closed.clone(),
        }
    }

    /// Returns whether the connection was opened for this request.
    pub fn is_new(&self) -> bool {
        self.is_new
    }

    /// Returns whether the whole response has been read.
    pub fn is_read(&self) -> bool {
        matches!(self.framing, Framing::Done | Framing::Length(0))
    }

    /// Prevents the reuse of the connection after this response, even if the server
    /// allows it.
    pub fn disable_reuse(&mut self) {
        self.reusable = false;
    }

    /// Returns whether another request may be sent: the response was read completely and
    /// no data was received after it.
    fn is_reusable(&self) -> bool {
        self.reusable && self.is_read() && self.buffer.is_empty()
    }

    /// Returns whether the server has neither sent data nor closed the connection while
    /// it was idle.
    async fn has_no_input(&mut self) -> bool {
        let mut byte = [0];
        let peeked =
            futures_lite::future::poll_once(self.stream.get_ref().peek(&mut byte)).await;
        peeked.is_none()
    }

    fn accept_head(
        &mut self,
        head: ParsedHead,
        method: &Method,
    ) -> Result<ResponseHead, ResponseError> {
        self.framing = head.framing(method)?;
        if self.framing == Framing::Done && *method != Method::HEAD {
            check_following(&self.buffer)?;
        }
        let has_end = !matches!(self.framing, Framing::UntilClose | Framing::Undelimited);
        self.reusable &= head.keeps_open() && has_end;
        let ParsedHead {
            status, headers, ..
        } = head;
        self.history
            .record_response(status, self.request_id.as_ref());
        // A copy of this response could be told from no other.
        let is_unnamed = self.request_id.is_none();
        self.reusable &= !(is_unnamed && self.history.has_failed(None));
        if let Some(timeout) = keep_alive_timeout(&headers) {
            self.idle_timeout = timeout;
        }
        let body_bytes = match self.framing {
            Framing::Length(length) => Some(length),
            Framing::Done => Some(0),
            Framing::Chunked(_) | Framing::UntilClose | Framing::Undelimited => None,
        };
        Ok(ResponseHead {
            status,
            headers,
            body_bytes,
        })
    }

    async fn take_bytes(&mut self, max_bytes: u64) -> Result<Bytes, ResponseError> {
        if self.buffer.is_empty() && self.read_more().await? == 0 {
            return Err(unexpected_end());
        }
        let length = max_bytes.min(self.buffer.len() as u64) as usize;
        Ok(self.buffer.split_to(length).freeze())
    }

    async fn read_chunk_header(&mut self) -> Result<(), ResponseError> {
        loop {
            if let Some((length, size)) = parse_chunk_header(&self.buffer)? {
                self.buffer.advance(length);
                if size > 0 {
                    self.framing = Framing::Chunked(Some(size));
                    return Ok(());
                }
                self.skip_trailers().await?;
                check_following(&self.buffer)?;
                self.framing = Framing::Done;
                return Ok(());
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(unreadable("a chunk header is too long"));
            }
            if self.read_more().await? == 0 {
                return Err(unexpected_end());
            }
        }
    }

    async fn skip_trailers(&mut self) -> Result<(), ResponseError> {
        let mut skipped = 0;
        loop {
            let end = self.buffer.windows(2).position(|pair| pair == b"\r\n");
            match end {
                Some(0) => {
                    self.buffer.advance(2);
                    return Ok(());
                }
                Some(end) => {
                    check_field(&self.buffer[..end])?;
                    self.buffer.advance(end + 2);
                    skipped += end + 2;
                    if skipped > MAX_HEAD_BYTES {
                        return Err(unreadable("its trailers are too long"));
                    }
                }
                None if self.buffer.len() > MAX_LINE_BYTES => {
                    return Err(unreadable("a trailer is too long"));
                }
                None if self.read_more().await? == 0 => return Err(unexpected_end()),
                None => {}
            }
        }
    }

    async fn expect_line_end(&mut self) -> Result<(), ResponseError> {
        while self.buffer.len() < 2 {
            if self.read_more().await? == 0 {
                return Err(unexpected_end());
            }
        }
        if &self.buffer[..2] != b"\r\n" {
            return Err(unreadable("a chunk does not end with a line break"));
        }
        self.buffer.advance(2);
        Ok(())
    }

    /// Reads more data into the buffer and returns the number of bytes, 0 if the server
    /// has closed the connection. Fails if this box has closed it, or if it has failed.
    async fn read_more(&mut self) -> Result<usize, ResponseError> {
        let buffered = self.buffer.len();
        self.buffer.resize(buffered + READ_BYTES, 0);
        let reading = self.stream.read(&mut self.buffer[buffered..]);
        let read = self.path_fault.exchange(reading).await;
        self.buffer
            .truncate(buffered + *read.as_ref().unwrap_or(&0));
        match read {
            Ok(0) if self.was_closed.load(Ordering::Acquire) => Err(
                ResponseError::Broken(io::ErrorKind::ConnectionAborted.into()),
            ),
            Ok(0) if self.has_failed => {
                Err(ResponseError::Broken(io::ErrorKind::ConnectionReset.into()))
            }
            read => read.map_err(ResponseError::Broken),
        }
    }
}

/// Sends a request, and returns when its last part was sent, or a moment before that.
async fn send(
    mut stream: TcpStream,
    head: Vec<u8>,
    body: SendBody,
) -> Result<Instant, ResponseError> {
    match body {
        SendBody::Buffered(None) => write_first(&mut stream, &head).await,
        SendBody::Buffered(Some(bytes)) if bytes.len() <= MAX_JOINED_BYTES => {
            let mut all = head;
            all.extend_from_slice(&bytes);
            write_first(&mut stream, &all).await
        }
        SendBody::Buffered(Some(bytes)) => {
            write_first(&mut stream, &head).await?;
            let written = write_all(&mut stream, &bytes).await;
            written.map_err(ResponseError::Broken)
        }
        streamed @ SendBody::Stream(_) => {
            let chunked = hyper::body::Body::size_hint(&streamed).exact().is_none();
            let head_sent_at = write_first(&mut stream, &head).await?;
            send_stream(stream, streamed, chunked, head_sent_at).await
        }
    }
}

/// Writes the first bytes of a request. Fails with `ResponseError::NotSent` if not even
/// one of them could be written.
async fn write_first(
    stream: &mut TcpStream,
    bytes: &[u8],
) -> Result<Instant, ResponseError> {
    let began = wingspur_clock::now();
    let written = match stream.write(bytes).await {
        Ok(0) => Err(io::ErrorKind::WriteZero.into()),
        written => written,
    };
    let written = written.map_err(ResponseError::NotSent)?;
    if written == bytes.len() {
        return Ok(began);
    }
    let rest = write_all(stream, &bytes[written..]).await;
    rest.map_err(ResponseError::Broken)
}

/// Writes all bytes, and returns when the last write was tried that took some.
async fn write_all(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<Instant> {
    let mut remaining = bytes;
    poll_fn(|context| {
        loop {
            let tried_at = wingspur_clock::now();
            let writing = Pin::new(&mut *stream).poll_write(context, remaining);
            let written = ready!(writing)?;
            remaining = &remaining[written..];
            if remaining.is_empty() {
                return Poll::Ready(Ok(tried_at));
            }
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
        }
    })
    .await
}

/// Sends a body as it arrives. `sent_at` is when the head was sent.
async fn send_stream(
    mut stream: TcpStream,
    mut body: SendBody,
    chunked: bool,
    mut sent_at: Instant,
) -> Result<Instant, ResponseError> {
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
            write_all(&mut stream, size.as_bytes())
                .await
                .map_err(broken)?;
        }
        sent_at = write_all(&mut stream, &data).await.map_err(broken)?;
        if chunked {
            sent_at = write_all(&mut stream, b"\r\n").await.map_err(broken)?;
        }
    }
    if chunked {
        let end = write_all(&mut stream, b"0\r\n\r\n").await;
        sent_at = end.map_err(broken)?;
    }
    Ok(sent_at)
}

/// Returns whether the sending of a request failed only after the server had ended its
/// direction of the connection: the kernel reports a reset as `EPIPE` then.
fn is_after_end(error: &ResponseError) -> bool {
    match error {
        ResponseError::Broken(error) => error.kind() == io::ErrorKind::BrokenPipe,
        _ => false,
    }
}

fn unexpected_end() -> ResponseError {
    ResponseError::Broken(io::ErrorKind::UnexpectedEof.into())
}

/// Returns for how long sent bytes may stay unacknowledged, even after the connection was
/// closed, before the kernel discards them. The retry budget relies on no resend arriving
/// later than `MAX_RESEND_TRANSIT`, so the transit time of the last packet is subtracted.
fn tcp_user_timeout() -> Duration {
    MAX_RESEND_TRANSIT.saturating_sub(MAX_PACKET_TRANSIT)
}

/// The longest time that a single packet is in transit.
const MAX_PACKET_TRANSIT: Duration = Duration::from_millis(250);
/// Opening a connection is given up after this many times the duration of the last one.
/// Its first packet was probably lost then, and would be sent again only after 1 s.
const CONNECT_TIMEOUT_FACTOR: u32 = 8;
/// The lower bound on the timeout for opening a connection. A busy server or box may take
/// this long even if no packet is lost.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// The number of bytes read from a server at once. A larger value needs fewer system
/// calls for a long response.
const READ_BYTES: usize = 16 << 10;
/// A body up to this length is sent in the same packets as its head; a longer one is not
/// copied.
const MAX_JOINED_BYTES: usize = 16 << 10;
/// The longest body that is read only to reuse its connection.
const MAX_DISCARDED_BYTES: usize = 64 << 10;
/// The longest head of a response, and the most bytes of its interim responses and of its
/// trailers.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// The longest chunk header or trailer line.
const MAX_LINE_BYTES: usize = 8 << 10;
/// How long a connection may be idle if its server does not say how long it keeps it.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
