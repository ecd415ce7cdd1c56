//! Warm connections to backend servers, none ever used out of step.

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
/// It goes back to the pool only by `finish`, after the answer was read whole; when
/// it is dropped instead, the connection closes.
#[derive(Debug)]
pub struct PooledConnection {
    sender: SendRequest<SendBody>,
}

/// Why a request got no answer.
#[derive(Debug, thiserror::Error)]
pub enum SendFailure {
    /// Nothing of the request was sent; it comes back for another try.
    #[error("the request was not sent: {reason}")]
    NotSent {
        /// The request, whole.
        request: Box<Request<SendBody>>,
        /// Why.
        reason: String,
    },
    /// Some of it may have been sent.
    #[error("the request may have run: {0}")]
    MaybeSent(hyper::Error),
}

impl BackendPool {
    /// Starts with no connections.
    pub fn new(address: SocketAddr, spawner: Spawner) -> Self {
        Self {
            address,
            spawner,
            idle: Mutex::default(),
            opened: AtomicUsize::new(0),
        }
    }

    /// Sends a request on a warm connection, or a new one.
    pub async fn send(
        &self,
        request: Request<SendBody>,
    ) -> Result<(Response<Incoming>, PooledConnection), SendFailure> {
        let mut request = request;
        // A kept connection may have been closed by the server meanwhile; hyper then
        // gives the request back unsent, and the next connection takes it.
        while let Some(sender) = self.take_idle() {
            match send_on(sender, request).await {
                Err(SendFailure::NotSent {
                    request: unsent, ..
                }) => request = *unsent,
                ended => return ended,
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

    /// Takes back a connection whose answer was read whole.
    pub fn release(&self, lease: PooledConnection) {
        let idle = IdleConnection {
            sender: lease.sender,
            since: wingspur_clock::now(),
        };
        self.idle.lock().expect("no holder panics").push(idle);
    }

    /// Opens connections until `count` are idle, and closes those idle for long.
    pub async fn keep_warm(&self, count: usize, now: Instant) {
        let missing = {
            let mut idle = self.idle.lock().expect("no holder panics");
            let fresh = |connection: &IdleConnection| {
                now.saturating_duration_since(connection.since) < MOST_IDLE
                    && !connection.sender.is_closed()
            };
            idle.retain(fresh);
            count.saturating_sub(idle.len())
        };
        for _ in 0..missing {
            let Ok(sender) = self.connect().await else {
                return;
            };
            self.release(PooledConnection { sender });
        }
    }

    /// Connections opened since the start.
    pub fn opened(&self) -> usize {
        self.opened.load(Ordering::Relaxed)
    }

    fn take_idle(&self) -> Option<SendRequest<SendBody>> {
        let mut idle = self.idle.lock().expect("no holder panics");
        while let Some(connection) = idle.pop() {
            if connection.sender.is_ready() {
                return Some(connection.sender);
            }
        }
        None
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
        let handshake = hyper::client::conn::http1::handshake(FuturesIo::new(stream));
        let (sender, connection) = handshake.await.map_err(|error| error.to_string())?;
        self.opened.fetch_add(1, Ordering::Relaxed);
        self.spawner.detach(async move {
            // A failed connection shows as an error of its request.
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

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const MOST_IDLE: Duration = Duration::from_secs(60);
