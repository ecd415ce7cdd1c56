//! A pool of connections to a backend server, each reused only after its last response
//! was read completely.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::checked_stream::{CheckedStream, HeadRequestFlag};
use crate::connection_history::{ConnectionHistory, next_connection_number};
use crate::fair_stream::FairStream;
use crate::{ConnectionUse, ResponseArrival, SendBody, Spawner};

/// The connections of this box to one backend server.
#[derive(Debug)]
pub struct BackendPool {
    address: SocketAddr,
    spawner: Spawner,
    idle: Mutex<Vec<IdleConnection>>,
    opened: AtomicUsize,
    /// How long the fastest connection took to be established, in microseconds.
    fastest_connect_us: AtomicU64,
    /// Whether the latest response named its request.
    names_requests: AtomicBool,
}

/// Which idle connections a request may use, besides that it has not failed on them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolReuse {
    /// Any.
    Any,
    /// Only one on which nothing was sent, so that no response on it can belong to an
    /// earlier request.
    Unused,
}

#[derive(Debug)]
struct IdleConnection {
    connection: PooledConnection,
    since: Instant,
}

/// A connection in use for one request.
///
/// It returns to the pool only by `BackendPool::release`, after the response was read
/// completely. When it is dropped instead, the connection closes.
#[derive(Debug)]
pub struct PooledConnection {
    sender: SendRequest<SendBody>,
    stream: TcpStream,
    is_head_request: HeadRequestFlag,
    history: ConnectionHistory,
    /// What the connection carried before the current request.
    used: ConnectionUse,
    /// The shortest time to connect to this server so far.
    connect_time: Duration,
    /// When the current request was handed to the connection.
    sent_at: Instant,
    /// Whether another request may be sent after the current one.
    reusable: bool,
}

impl PooledConnection {
    /// Whether a request may be sent on the connection now.
    fn is_allowed(&self, reuse: PoolReuse) -> bool {
        let is_reuse_allowed = reuse == PoolReuse::Any || self.history.is_unused();
        self.sender.is_ready() && is_reuse_allowed
    }

    /// Returns when the sending of the current request began.
    pub fn sent_at(&self) -> Instant {
        self.sent_at
    }

    /// Returns what the connection carried before the current request.
    pub fn used(&self) -> ConnectionUse {
        self.used
    }

    /// Has the connection closed after the current response.
    pub fn close_after_response(&mut self) {
        self.reusable = false;
    }

    /// Returns when the data that was received last arrived.
    pub fn latest_arrival(&self) -> ResponseArrival {
        ResponseArrival::latest(&self.stream, self.connect_time)
    }
}

/// Why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum SendFailure {
    /// Nothing of the request was sent. The error contains the request so that it can be
    /// sent again.
    #[error("the request was not sent: {reason}")]
    NotSent {
        /// The complete request.
        request: Box<Request<SendBody>>,
        /// The error of the connection.
        reason: String,
    },
    /// Some of the request may have been sent, so it may have run.
    #[error("the request may have run: {0}")]
    MaybeSent(hyper::Error),
}

impl BackendPool {
    /// Creates a pool without connections. Tasks of its connections run on `spawner`.
    pub fn new(address: SocketAddr, spawner: Spawner) -> Self {
        Self {
            address,
            spawner,
            idle: Mutex::default(),
            opened: AtomicUsize::new(0),
            fastest_connect_us: AtomicU64::new(u64::MAX),
            names_requests: AtomicBool::new(false),
        }
    }

    /// Sends a request, which may have an id, on an idle connection or a new one, and
    /// returns the response with its body unread.
    ///
    /// Idle connections on which the request got an error response are closed: copies of
    /// the response may still arrive there.
    pub async fn send(
        &self,
        request: Request<SendBody>,
        id: Option<&HeaderValue>,
        reuse: PoolReuse,
    ) -> Result<(Response<Incoming>, PooledConnection), SendFailure> {
        let mut request = request;
        // The server may have closed an idle connection in the meantime. hyper then
        // returns the request unsent, and it is sent on the next connection.
        while let Some(connection) = self.take_idle(id, reuse) {
            match send_on(connection, request, id).await {
                Err(SendFailure::NotSent {
                    request: unsent, ..
                }) => request = *unsent,
                result => return result,
            }
        }
        match self.connect().await {
            Ok(connection) => send_on(connection, request, id).await,
            Err(reason) => {
                let request = Box::new(request);
                Err(SendFailure::NotSent { request, reason })
            }
        }
    }

    /// Whether the server's latest response named its request; false before the first.
    pub fn names_requests(&self) -> bool {
        self.names_requests.load(Ordering::Relaxed)
    }

    /// Records whether a response of the server names its request.
    pub fn record_naming(&self, names_request: bool) {
        self.names_requests.store(names_request, Ordering::Relaxed);
    }

    /// Returns a connection to the pool after its response was read completely, or closes
    /// it if it may not be reused.
    pub fn release(&self, connection: PooledConnection) {
        if !connection.reusable || connection.history.is_full() {
            return;
        }
        let since = wingspur_clock::now();
        let idle = IdleConnection { connection, since };
        self.idle.lock().expect("no holder panics").push(idle);
    }

    /// Removes connections that are closed or have been idle for `MAX_IDLE`, then opens
    /// connections until `count` are idle or one cannot be opened.
    pub async fn keep_warm(&self, count: usize, now: Instant) {
        let missing = {
            let mut idle = self.idle.lock().expect("no holder panics");
            let is_reusable = |idle: &IdleConnection| {
                now.saturating_duration_since(idle.since) < MAX_IDLE
                    && !idle.connection.sender.is_closed()
            };
            idle.retain(is_reusable);
            count.saturating_sub(idle.len())
        };
        for _ in 0..missing {
            let Ok(connection) = self.connect().await else {
                return;
            };
            self.release(connection);
        }
    }

    /// Returns how many connections were opened since the pool was created.
    pub fn opened(&self) -> usize {
        self.opened.load(Ordering::Relaxed)
    }

    /// Takes the connection that was used last of those that are ready for a request and
    /// that it may use. One that was released just now may be ready only later, and stays
    /// in the pool.
    fn take_idle(
        &self,
        id: Option<&HeaderValue>,
        reuse: PoolReuse,
    ) -> Option<PooledConnection> {
        let mut idle = self.idle.lock().expect("no holder panics");
        idle.retain(|idle| {
            let connection = &idle.connection;
            !connection.sender.is_closed() && !connection.history.has_failed(id)
        });
        let position = idle
            .iter()
            .rposition(|idle| idle.connection.is_allowed(reuse))?;
        Some(idle.remove(position).connection)
    }

    async fn connect(&self) -> Result<PooledConnection, String> {
        let started = wingspur_clock::now();
        let connecting = async { TcpStream::connect(self.address).await };
        let expired = async {
            wingspur_clock::sleep(CONNECT_TIMEOUT).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let stream = connecting
            .or(expired)
            .await
            .map_err(|error| error.to_string())?;
        stream
            .set_nodelay(true)
            .map_err(|error| error.to_string())?;
        let connected = wingspur_clock::now();
        let took_us = connected.saturating_duration_since(started).as_micros() as u64;
        let fastest_us = self
            .fastest_connect_us
            .fetch_min(took_us, Ordering::Relaxed);
        let is_head_request = HeadRequestFlag::default();
        let checked = FairStream::new(stream.clone());
        let io = FuturesIo::new(CheckedStream::new(checked, is_head_request.clone()));
        let mut builder = hyper::client::conn::http1::Builder::new();
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let handshake = builder.handshake(io);
        let (sender, connection) = handshake.await.map_err(|error| error.to_string())?;
        self.opened.fetch_add(1, Ordering::Relaxed);
        let number = next_connection_number();
        let history = ConnectionHistory::default();
        self.spawner.detach(async move {
            // The request on a failed connection gets the error.
            let _ = connection.await;
        });
        Ok(PooledConnection {
            sender,
            stream,
            is_head_request,
            used: history.usage(self.address, number, None),
            history,
            connect_time: Duration::from_micros(fastest_us.min(took_us)),
            sent_at: connected,
            reusable: true,
        })
    }
}

async fn send_on(
    mut connection: PooledConnection,
    request: Request<SendBody>,
    id: Option<&HeaderValue>,
) -> Result<(Response<Incoming>, PooledConnection), SendFailure> {
    connection.sent_at = wingspur_clock::now();
    let ConnectionUse {
        address, number, ..
    } = connection.used;
    connection.used = connection.history.usage(address, number, id);
    connection.history.record_sent();
    connection.is_head_request.set_method(request.method());
    match connection.sender.try_send_request(request).await {
        Ok(response) => {
            connection.history.record_response(response.status(), id);
            Ok((response, connection))
        }
        Err(mut error) => match error.take_message() {
            Some(request) => {
                let reason = error.into_error().to_string();
                Err(SendFailure::NotSent {
                    request: Box::new(request),
                    reason,
                })
            }
            None => Err(SendFailure::MaybeSent(error.into_error())),
        },
    }
}

/// The largest buffer of a connection in each direction. Buffers that have grown do not
/// shrink.
const MAX_BUFFER_BYTES: usize = 64 << 10;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a connection may be idle before `keep_warm` closes it.
const MAX_IDLE: Duration = Duration::from_secs(60);
