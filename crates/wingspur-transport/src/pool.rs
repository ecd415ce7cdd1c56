//! A pool of connections to a backend server, each reused only after its last response
//! was read completely.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::fair_stream::FairStream;
use crate::{SendBody, Spawner};

/// The connections of this box to one backend server.
#[derive(Debug)]
pub struct BackendPool {
    address: SocketAddr,
    spawner: Spawner,
    idle: Mutex<Vec<IdleConnection>>,
    opened: AtomicUsize,
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<SendBody>,
    since: Instant,
}

/// A connection in use for one request.
///
/// It returns to the pool only by `BackendPool::release`, after the response was read
/// completely. When it is dropped instead, the connection closes.
#[derive(Debug)]
pub struct PooledConnection {
    sender: SendRequest<SendBody>,
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
        }
    }

    /// Sends a request on an idle connection or a new one, and returns the response with
    /// its body unread.
    pub async fn send(
        &self,
        request: Request<SendBody>,
    ) -> Result<(Response<Incoming>, PooledConnection), SendFailure> {
        let mut request = request;
        // The server may have closed an idle connection in the meantime. hyper then
        // returns the request unsent, and it is sent on the next connection.
        while let Some(sender) = self.take_idle() {
            match send_on(sender, request).await {
                Err(SendFailure::NotSent {
                    request: unsent, ..
                }) => request = *unsent,
                result => return result,
            }
        }
        match self.connect().await {
            Ok(sender) => send_on(sender, request).await,
            Err(reason) => {
                let request = Box::new(request);
                Err(SendFailure::NotSent { request, reason })
            }
        }
    }

    /// Returns a connection to the pool after its response was read completely.
    pub fn release(&self, connection: PooledConnection) {
        let idle = IdleConnection {
            sender: connection.sender,
            since: wingspur_clock::now(),
        };
        self.idle.lock().expect("no holder panics").push(idle);
    }

    /// Removes connections that are closed or have been idle for `MAX_IDLE`, then opens
    /// connections until `count` are idle or one cannot be opened.
    pub async fn keep_warm(&self, count: usize, now: Instant) {
        let missing = {
            let mut idle = self.idle.lock().expect("no holder panics");
            let is_reusable = |connection: &IdleConnection| {
                now.saturating_duration_since(connection.since) < MAX_IDLE
                    && !connection.sender.is_closed()
            };
            idle.retain(is_reusable);
            count.saturating_sub(idle.len())
        };
        for _ in 0..missing {
            let Ok(sender) = self.connect().await else {
                return;
            };
            self.release(PooledConnection { sender });
        }
    }

    /// Returns how many connections were opened since the pool was created.
    pub fn opened(&self) -> usize {
        self.opened.load(Ordering::Relaxed)
    }

    /// Takes the connection that was used last of those that are ready for a request. One
    /// that was released just now may be ready only later, and stays in the pool.
    fn take_idle(&self) -> Option<SendRequest<SendBody>> {
        let mut idle = self.idle.lock().expect("no holder panics");
        idle.retain(|connection| !connection.sender.is_closed());
        let position = idle
            .iter()
            .rposition(|connection| connection.sender.is_ready())?;
        Some(idle.remove(position).sender)
    }

    async fn connect(&self) -> Result<SendRequest<SendBody>, String> {
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
        let io = FuturesIo::new(FairStream::new(stream));
        let mut builder = hyper::client::conn::http1::Builder::new();
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let handshake = builder.handshake(io);
        let (sender, connection) = handshake.await.map_err(|error| error.to_string())?;
        self.opened.fetch_add(1, Ordering::Relaxed);
        self.spawner.detach(async move {
            // The request on a failed connection gets the error.
            let _ = connection.await;
        });
        Ok(sender)
    }
}

async fn send_on(
    mut sender: SendRequest<SendBody>,
    request: Request<SendBody>,
) -> Result<(Response<Incoming>, PooledConnection), SendFailure> {
    match sender.try_send_request(request).await {
        Ok(response) => Ok((response, PooledConnection { sender })),
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
