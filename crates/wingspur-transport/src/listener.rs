//! An HTTP listener that can stop without interrupting requests in progress.

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
use smol_hyper::rt::{SmolExecutor, SmolTimer};
use socket2::{Domain, Socket, Type};

use crate::accepted_stream::{AcceptedStream, HeadDeadline, HeadTimer, HttpVersion};
use crate::vectored_io::VectoredIo;
use crate::{
    HeadTimeout, PeerCertificate, Spawner, StopSignal, StopTrigger, TlsIdentity,
    stop_pair,
};

/// Accepts connections and serves HTTP/1.1 and HTTP/2 on them.
#[derive(Debug)]
pub struct HttpListener {
    address: SocketAddr,
    stop: StopTrigger,
    /// The task that accepts connections; `None` once the listener has stopped accepting.
    accepting: Option<smol::Task<()>>,
    counts: Arc<ListenerCounts>,
}

/// Connections and requests of a listener.
#[derive(Debug, Default)]
pub struct ListenerCounts {
    /// Connections open now.
    pub connections: AtomicUsize,
    /// Requests in progress now.
    pub requests: AtomicUsize,
    /// Connections that ended while a request on them was in progress, since the start.
    pub broken: AtomicUsize,
    /// Connections that the stop closed while no request was in progress on them.
    pub closed_idle: AtomicUsize,
    /// Connections over HTTP/2, since the start.
    pub http2: AtomicUsize,
    /// Connections that ended since a request head took too long, since the start.
    pub late_heads: AtomicUsize,
}

/// Limits and TLS of a listener's connections.
#[derive(Debug, Clone)]
pub struct ListenerOptions {
    /// How long a request head may take to arrive from its first byte on, and a TLS
    /// handshake to complete.
    pub head_timeout: HeadTimeout,
    /// How long a connection that was used may be idle.
    pub idle_timeout: Duration,
    /// The largest request head, in bytes; HTTP/1.1 connections accept at least 8 KiB.
    pub max_head_bytes: usize,
    /// The TLS identity of the box. With one, connections use HTTP/1.1 over mutual TLS
    /// and callers must present a trusted certificate; with `None`, they are plain.
    pub identity: Option<Arc<TlsIdentity>>,
}

impl Default for ListenerOptions {
    fn default() -> Self {
        Self {
            head_timeout: HeadTimeout::fixed(Duration::from_secs(30)),
            idle_timeout: Duration::from_secs(30),
            max_head_bytes: 64 << 10,
            identity: None,
        }
    }
}

impl HttpListener {
    /// Starts to accept connections on a bound socket. `handler` gets each request with
    /// the address of its caller and returns the response.
    ///
    /// Fails when the local address of the socket cannot be read.
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

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, waits at most `timeout` for all connections to end, and returns
    /// how many requests are still in progress then.
    pub async fn close(mut self, timeout: Duration) -> usize {
        self.stop_accepting().await;
        self.drain(wingspur_clock::now() + timeout).await;
        self.counts.requests.load(Ordering::Acquire)
    }

    /// Stops accepting connections and closes those without a request in progress. Each
    /// of the others ends after its outstanding responses. Returns once no new connection
    /// can arrive, without waiting for the open ones.
    pub async fn stop_accepting(&mut self) {
        self.stop.close();
        if let Some(accepting) = self.accepting.take() {
            accepting.await;
        }
    }

    /// Waits until all connections have ended. Returns false when some are still open at
    /// `deadline`.
    pub async fn drain(&self, deadline: Instant) -> bool {
        while self.counts.connections.load(Ordering::Acquire) > 0 {
            if wingspur_clock::now() >= deadline {
                return false;
            }
            wingspur_clock::sleep(DRAIN_POLL_INTERVAL).await;
        }
        true
    }

    /// Returns the counts of connections and requests.
    pub fn counts(&self) -> &ListenerCounts {
        &self.counts
    }
}

/// Binds a socket on which many callers may connect in the same moment: they wait in a
/// queue as long as the system allows until they are accepted.
pub fn bind_listener(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    // A box that starts again binds the port although old connections are still closing.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(MAX_ACCEPT_QUEUE)?;
    TcpListener::try_from(std::net::TcpListener::from(socket))
}

/// What the tasks of the listener and of its connections share.
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
                    tracing::warn!("listen: cannot accept a connection: {error}.");
                    wingspur_clock::sleep(ACCEPT_RETRY_DELAY).await;
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
            let Some(accepted) = self.until_stop(self.with_head_timeout(accepting)).await
            else {
                return Ok(());
            };
            let stream = accepted?;
            let certificate = peer_certificate(&stream);
            let stream = AcceptedStream::new(stream);
            return self.serve_http1(stream, from, certificate).await;
        }
        let mut stream = AcceptedStream::new(stream);
        let detecting = stream.detect_version(&self.options.head_timeout);
        let Some(version) = self.until_stop(detecting).await else {
            return Ok(());
        };
        let version = version.inspect_err(|error| {
            if error.kind() == std::io::ErrorKind::TimedOut {
                self.count_late_head(from, "HTTP/2");
            }
        });
        match version? {
            HttpVersion::Http1 => self.serve_http1(stream, from, None).await,
            HttpVersion::Http2 => {
                self.counts.http2.fetch_add(1, Ordering::AcqRel);
                tracing::info!(%from, "listen: a connection speaks HTTP/2.");
                self.serve_http2(stream, from).await
            }
        }
    }

    async fn serve_http1<S>(
        &self,
        stream: AcceptedStream<S>,
        from: SocketAddr,
        certificate: Option<PeerCertificate>,
    ) -> Result<(), Box<dyn std::error::Error + Send + Sync>>
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let mut builder = hyper::server::conn::http1::Builder::new();
        builder.timer(HeadTimer {
            arrival: stream.arrival().clone(),
            head_timeout: self.options.head_timeout.clone(),
        });
        builder.header_read_timeout(self.options.idle_timeout);
        builder.max_buf_size(self.options.max_head_bytes.max(8 << 10));
        let request_counts = RequestCounts::default();
        let service = service_fn(|mut request: Request<Incoming>| {
            if let Some(certificate) = &certificate {
                request.extensions_mut().insert(certificate.clone());
            }
            self.handle_request(request, from, &request_counts)
        });
        let arrival = stream.arrival().clone();
        let io = VectoredIo::new(stream);
        let mut connection = pin!(builder.serve_connection(io, service));
        let result = match self.until_stop(connection.as_mut()).await {
            Some(result) => result,
            None => {
                self.count_closed_idle(&request_counts);
                connection.as_mut().graceful_shutdown();
                connection.as_mut().await
            }
        };
        // The connection still holds the futures of interrupted requests, so they are
        // still counted here.
        self.log_interrupted_requests(from, &request_counts, &result);
        let is_timeout = result.as_ref().is_err_and(hyper::Error::is_timeout);
        if is_timeout && arrival.began_at().is_some() {
            self.count_late_head(from, "HTTP/1.1");
        }
        Ok(result?)
    }

    async fn serve_http2(
        &self,
        stream: AcceptedStream<TcpStream>,
        from: SocketAddr,
    ) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
        let executor = SmolExecutor::new(self.spawner.clone());
        let mut builder = hyper::server::conn::http2::Builder::new(executor);
        builder.timer(SmolTimer::new());
        builder.max_header_list_size(self.options.max_head_bytes as u32);
        let server = self.clone();
        let request_counts = Arc::new(RequestCounts::default());
        let service_counts = request_counts.clone();
        // Each HTTP/2 stream runs as a task of its own, so its future must own its data.
        let service = service_fn(move |request| {
            let (server, request_counts) = (server.clone(), service_counts.clone());
            async move { server.handle_request(request, from, &request_counts).await }
        });
        let head_timeout = self.options.head_timeout.clone();
        let late_head = HeadDeadline::new(stream.arrival().clone(), head_timeout);
        let io = VectoredIo::new(stream);
        let mut connection = pin!(builder.serve_connection(io, service));
        let served = async { Some(connection.as_mut().await) };
        let late = async {
            late_head.await;
            None
        };
        let result = match self.until_stop(served.or(late)).await {
            Some(Some(result)) => result,
            Some(None) => {
                self.count_late_head(from, "HTTP/2");
                if request_counts.started.load(Ordering::Acquire) == 0 {
                    return Ok(());
                }
                // Responses to earlier requests may still be on their way.
                connection.as_mut().graceful_shutdown();
                let expired = async {
                    wingspur_clock::sleep(self.options.idle_timeout).await;
                    Ok(())
                };
                connection.as_mut().or(expired).await
            }
            None => {
                self.count_closed_idle(&request_counts);
                connection.as_mut().graceful_shutdown();
                connection.as_mut().await
            }
        };
        self.log_interrupted_requests(from, &request_counts, &result);
        Ok(result?)
    }

    async fn handle_request(
        &self,
        request: Request<Incoming>,
        from: SocketAddr,
        request_counts: &RequestCounts,
    ) -> Result<Response<B>, Infallible> {
        self.counts.requests.fetch_add(1, Ordering::AcqRel);
        let _running = CountGuard(&self.counts.requests);
        request_counts.started.fetch_add(1, Ordering::AcqRel);
        request_counts.in_flight.fetch_add(1, Ordering::AcqRel);
        let _in_flight = CountGuard(&request_counts.in_flight);
        Ok((self.handler)(request, from).await)
    }

    /// Counts a connection that the stop closes while no request is in progress on it. A
    /// request that the caller has sent but that has not arrived yet is never read.
    fn count_closed_idle(&self, request_counts: &RequestCounts) {
        if request_counts.in_flight.load(Ordering::Acquire) == 0 {
            self.counts.closed_idle.fetch_add(1, Ordering::AcqRel);
        }
    }

    /// Counts and logs a connection that ended before the responses to its requests were
    /// sent.
    fn log_interrupted_requests(
        &self,
        from: SocketAddr,
        request_counts: &RequestCounts,
        result: &Result<(), hyper::Error>,
    ) {
        let running = request_counts.in_flight.load(Ordering::Acquire);
        if running == 0 {
            return;
        }
        self.counts.broken.fetch_add(1, Ordering::AcqRel);
        let error = result.as_ref().err().map(ToString::to_string);
        tracing::info!(
            %from,
            running,
            begun = request_counts.started.load(Ordering::Acquire),
            stopping = self.signal.is_triggered(),
            error = error.unwrap_or_default(),
            "listen: a connection ended under a request."
        );
    }

    /// Counts and logs a connection whose client began a request head, or the preface of
    /// HTTP/2, and did not complete it in time.
    fn count_late_head(&self, from: SocketAddr, protocol: &str) {
        self.counts.late_heads.fetch_add(1, Ordering::AcqRel);
        let head_timeout_ms = self.options.head_timeout.get().as_millis() as u64;
        tracing::info!(%from, protocol, head_timeout_ms, "listen: a head took too long.");
    }

    /// Waits for a TLS handshake, at most `head_timeout`; then fails with `TimedOut`.
    async fn with_head_timeout<T>(
        &self,
        future: impl Future<Output = std::io::Result<T>>,
    ) -> std::io::Result<T> {
        let expired = async {
            wingspur_clock::sleep(self.options.head_timeout.get()).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        future.or(expired).await
    }

    /// Waits for the future. Returns `None` when the listener stops first.
    async fn until_stop<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        let finished = async { Some(future.await) };
        let stopped = async {
            self.signal.wait().await;
            None
        };
        finished.or(stopped).await
    }
}

/// Counts of the requests on one connection.
#[derive(Debug, Default)]
struct RequestCounts {
    /// Requests whose heads were received, since the connection was opened.
    started: AtomicUsize,
    /// Requests in progress now.
    in_flight: AtomicUsize,
}

/// Returns the certificate of the caller, whose private key the handshake has verified,
/// or `None` if it sent none.
fn peer_certificate(stream: &TlsStream<TcpStream>) -> Option<PeerCertificate> {
    let (_, connection) = stream.get_ref();
    let certificate = connection.peer_certificates()?.first()?;
    Some(PeerCertificate::new(certificate.clone().into_owned()))
}

/// Decrements a count when it is dropped.
struct CountGuard<'a>(&'a AtomicUsize);

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Systems lower it to their own limit. The standard library's 128 is too short for the
/// callers of a lost box that come to another one at once.
const MAX_ACCEPT_QUEUE: i32 = 65_535;
/// The delay after a failed accept, before the next one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);
