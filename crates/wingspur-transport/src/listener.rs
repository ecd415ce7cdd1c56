//! An HTTP listener with a stop that cuts nothing.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use futures_rustls::server::TlsStream;
use hyper::body::{Body, Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolExecutor, SmolTimer};

use crate::{PeerCertificate, Spawner, StopSignal, StopTrigger, TlsIdentity, stop_pair};

/// Accepts connections and serves HTTP/1.1 and HTTP/2 on them.
#[derive(Debug)]
pub struct HttpListener {
    address: SocketAddr,
    stop: StopTrigger,
    /// None once it has stopped accepting.
    accepting: Option<smol::Task<()>>,
    counts: Arc<ListenerCounts>,
}

/// What a listener holds open.
#[derive(Debug, Default)]
pub struct ListenerCounts {
    /// Connections open now.
    pub connections: AtomicUsize,
    /// Requests being answered now.
    pub requests: AtomicUsize,
    /// Connections that ended while a request on them was being answered.
    pub broken: AtomicUsize,
    /// Connections that the stop closed while no request was on them.
    pub closed_idle: AtomicUsize,
}

/// How a listener treats its connections.
#[derive(Debug, Clone)]
pub struct ListenerOptions {
    /// How long a request's head may take to arrive.
    pub head_timeout: Duration,
    /// The largest head, in bytes.
    pub max_head_bytes: usize,
    /// Who the box is, where callers must prove who they are as well.
    pub identity: Option<Arc<TlsIdentity>>,
}

impl Default for ListenerOptions {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(30),
            max_head_bytes: 64 << 10,
            identity: None,
        }
    }
}

impl HttpListener {
    /// Starts to serve on a bound socket.
    pub fn start<H, F, B>(
        listener: TcpListener,
        spawner: &Spawner,
        options: ListenerOptions,
        handler: H,
    ) -> std::io::Result<Self>
    where
        H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let address = listener.local_addr()?;
        let (stop, signal) = stop_pair();
        let counts = Arc::new(ListenerCounts::default());
        let server = Server {
            spawner: spawner.clone(),
            options,
            handler,
            signal,
            counts: counts.clone(),
        };
        let accepting = spawner.spawn(server.accept(listener));
        Ok(Self {
            address,
            stop,
            accepting: Some(accepting),
            counts,
        })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, lets requests in flight finish, and returns how many were
    /// still unfinished after `limit`.
    pub async fn close(mut self, limit: Duration) -> usize {
        self.stop_accepting().await;
        self.drain(wingspur_clock::now() + limit).await;
        self.counts.requests.load(Ordering::Acquire)
    }

    /// Takes no more connections, closes those without a request, and lets the others end
    /// with the answer that is due on them.
    pub async fn stop_accepting(&mut self) {
        self.stop.close();
        if let Some(accepting) = self.accepting.take() {
            accepting.await;
        }
    }

    /// Waits until all connections have ended; false where some are left at `end`.
    pub async fn drain(&self, end: Instant) -> bool {
        while self.counts.connections.load(Ordering::Acquire) > 0 {
            if wingspur_clock::now() >= end {
                return false;
            }
            wingspur_clock::sleep(DRAIN_POLL).await;
        }
        true
    }

    /// What the listener holds open.
    pub fn counts(&self) -> &ListenerCounts {
        &self.counts
    }
}

/// What each accepted connection needs.
#[derive(Clone)]
struct Server<H> {
    spawner: Spawner,
    options: ListenerOptions,
    handler: H,
    signal: StopSignal,
    counts: Arc<ListenerCounts>,
}

impl<H, F, B> Server<H>
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    async fn accept(self, listener: TcpListener) {
        loop {
            match self.until_stop(listener.accept()).await {
                None => return,
                Some(Ok((stream, from))) => self.clone().spawn_connection(stream, from),
                Some(Err(error)) => {
                    tracing::warn!("listen: cannot accept: {error}.");
                    wingspur_clock::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn spawn_connection(self, stream: TcpStream, from: SocketAddr) {
        self.counts.connections.fetch_add(1, Ordering::AcqRel);
        let spawner = self.spawner.clone();
        spawner.detach(async move {
            let counts = self.counts.clone();
            let _open = CountGuard(&counts.connections);
            if let Err(error) = self.serve(stream, from).await {
                tracing::debug!(%from, error, "listen: a connection failed.");
            }
        });
    }

    async fn serve(
        &self,
        stream: TcpStream,
        from: SocketAddr,
    ) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
        stream.set_nodelay(true)?;
        if let Some(identity) = &self.options.identity {
            let accepting = identity.acceptor().accept(stream);
            let Some(accepted) = self.until_stop(self.in_time(accepting)).await else {
                return Ok(());
            };
            let stream = accepted?;
            let certificate = peer_certificate(&stream);
            return self
                .serve_http1(FuturesIo::new(stream), from, certificate)
                .await;
        }
        let Some(speaks_http2) = self.until_stop(speaks_http2(&stream)).await else {
            return Ok(());
        };
        let io = FuturesIo::new(stream);
        if speaks_http2? {
            return self.serve_http2(io, from).await;
        }
        self.serve_http1(io, from, None).await
    }

    async fn serve_http1<S>(
        &self,
        io: FuturesIo<S>,
        from: SocketAddr,
        certificate: Option<PeerCertificate>,
    ) -> Result<(), Box<dyn std::error::Error + Send + Sync>>
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let mut builder = hyper::server::conn::http1::Builder::new();
        builder.timer(SmolTimer::new());
        builder.header_read_timeout(self.options.head_timeout);
        builder.max_buf_size(self.options.max_head_bytes.max(8 << 10));
        let carried = Carried::default();
        let service = service_fn(|mut request: Request<Incoming>| {
            if let Some(certificate) = &certificate {
                request.extensions_mut().insert(certificate.clone());
            }
            self.answer(request, from, &carried)
        });
        let mut connection = pin!(builder.serve_connection(io, service));
        let ended = match self.until_stop(connection.as_mut()).await {
            Some(ended) => ended,
            None => {
                self.note_stop(&carried);
                connection.as_mut().graceful_shutdown();
                connection.as_mut().await
            }
        };
        // The connection still holds the request that it ended under.
        self.note_end(from, &carried, &ended);
        Ok(ended?)
    }

    async fn serve_http2(
        &self,
        io: FuturesIo<TcpStream>,
        from: SocketAddr,
    ) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
        let executor = SmolExecutor::new(self.spawner.clone());
        let mut builder = hyper::server::conn::http2::Builder::new(executor);
        builder.timer(SmolTimer::new());
        builder.max_header_list_size(self.options.max_head_bytes as u32);
        let server = self.clone();
        let carried = Arc::new(Carried::default());
        let carried_here = carried.clone();
        // Each stream is a task of its own, so its answer owns all it needs.
        let service = service_fn(move |request| {
            let (server, carried) = (server.clone(), carried_here.clone());
            async move { server.answer(request, from, &carried).await }
        });
        let mut connection = pin!(builder.serve_connection(io, service));
        let ended = match self.until_stop(connection.as_mut()).await {
            Some(ended) => ended,
            None => {
                self.note_stop(&carried);
                connection.as_mut().graceful_shutdown();
                connection.as_mut().await
            }
        };
        self.note_end(from, &carried, &ended);
        Ok(ended?)
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        from: SocketAddr,
        carried: &Carried,
    ) -> Result<Response<B>, Infallible> {
        self.counts.requests.fetch_add(1, Ordering::AcqRel);
        let _running = CountGuard(&self.counts.requests);
        carried.begun.fetch_add(1, Ordering::AcqRel);
        carried.running.fetch_add(1, Ordering::AcqRel);
        let _carried = CountGuard(&carried.running);
        Ok((self.handler)(request, from).await)
    }

    /// Counts a connection that the stop closes while nothing is asked on it: a request
    /// that is on its way then is never read.
    fn note_stop(&self, carried: &Carried) {
        if carried.running.load(Ordering::Acquire) == 0 {
            self.counts.closed_idle.fetch_add(1, Ordering::AcqRel);
        }
    }

    /// Tells of a connection that ended before the answers that were due on it.
    fn note_end(
        &self,
        from: SocketAddr,
        carried: &Carried,
        ended: &Result<(), hyper::Error>,
    ) {
        let running = carried.running.load(Ordering::Acquire);
        if running == 0 {
            return;
        }
        self.counts.broken.fetch_add(1, Ordering::AcqRel);
        let error = ended.as_ref().err().map(ToString::to_string);
        tracing::info!(
            %from,
            running,
            begun = carried.begun.load(Ordering::Acquire),
            stopping = self.signal.is_triggered(),
            error = error.unwrap_or_default(),
            "listen: a connection ended under a request."
        );
    }

    /// A handshake takes no longer than a head may.
    async fn in_time<T>(
        &self,
        future: impl Future<Output = std::io::Result<T>>,
    ) -> std::io::Result<T> {
        let expired = async {
            wingspur_clock::sleep(self.options.head_timeout).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        future.or(expired).await
    }

    /// Waits for the future, or gives none when the listener stops first.
    async fn until_stop<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        let ended = async { Some(future.await) };
        let stopped = async {
            self.signal.wait().await;
            None
        };
        ended.or(stopped).await
    }
}

/// What one connection has carried.
#[derive(Debug, Default)]
struct Carried {
    /// Requests whose heads have come.
    begun: AtomicUsize,
    /// Requests that are being answered.
    running: AtomicUsize,
}

/// The certificate that the other side has proved to hold.
fn peer_certificate(stream: &TlsStream<TcpStream>) -> Option<PeerCertificate> {
    let (_, connection) = stream.get_ref();
    let certificate = connection.peer_certificates()?.first()?;
    Some(PeerCertificate::new(certificate.clone().into_owned()))
}

/// HTTP/2 by prior knowledge begins with a preface that HTTP/1.1 cannot.
async fn speaks_http2(stream: &TcpStream) -> std::io::Result<bool> {
    let mut start = [0; HTTP2_PREFACE.len()];
    let length = stream.peek(&mut start).await?;
    Ok(length > 0 && start[..length] == HTTP2_PREFACE[..length])
}

/// Takes one off a count when it goes out of scope.
struct CountGuard<'a>(&'a AtomicUsize);

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

const HTTP2_PREFACE: &[u8] = b"PRI ";
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
const DRAIN_POLL: Duration = Duration::from_millis(5);
