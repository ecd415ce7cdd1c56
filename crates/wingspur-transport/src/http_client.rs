//! An HTTP/1.1 client that reads each response completely and reuses its connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use futures_rustls::rustls::pki_types::ServerName;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::header::{ETAG, HOST, HeaderValue, IF_NONE_MATCH};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::buffer_budget::{BufferBudget, LeasedBuffer};
use crate::checked_stream::{CheckedStream, HeadRequestFlag};
use crate::fair_stream::FairStream;
use crate::{FaultInjector, InjectedFault, Spawner, TlsIdentity};

/// HTTP client for small messages to the store, the box list and peers. It keeps idle
/// connections for each address.
#[derive(Debug)]
pub struct HttpClient {
    connector: Connector,
    faults: FaultInjector,
    /// What is received of responses counts here.
    buffers: Arc<BufferBudget>,
    idle: Mutex<HashMap<SocketAddr, Vec<SendRequest<Full<Bytes>>>>>,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    calls: AtomicU64,
}

/// Opens connections, with mutual TLS if the box has an identity.
#[derive(Debug, Clone)]
pub struct Connector {
    spawner: Spawner,
    identity: Option<Arc<TlsIdentity>>,
}

/// A response that was read completely.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Counters of an `HttpClient` since its start. Bytes are those of bodies, without heads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HttpClientTotals {
    /// Calls started.
    pub calls: u64,
    /// Bytes of request bodies sent, without those of streams.
    pub sent_bytes: u64,
    /// Bytes of response bodies received, without those of streams.
    pub received_bytes: u64,
}

/// Why an HTTP call failed.
#[derive(Debug, thiserror::Error)]
pub enum HttpClientError {
    /// No complete response within the timeout; the request may have taken effect.
    #[error("no response within the timeout")]
    Timeout,
    /// The connection could not be opened, so nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection failed; the request may have taken effect.
    #[error("the HTTP connection failed: {0}")]
    Http(#[from] hyper::Error),
    /// The response is longer than allowed, or the connection ended before its end; the
    /// request may have taken effect. Also a request path that is not a valid URI
    /// (nothing was sent then), and a watch that the store ended.
    #[error("the response was interrupted or is over the limit")]
    Reply,
    /// The response has a status that is not a success.
    #[error("status {0}")]
    Status(StatusCode),
}

impl HttpClient {
    /// Creates a client without connections or TLS. Tasks of its connections run on
    /// `spawner`.
    pub fn new(spawner: Spawner, faults: FaultInjector) -> Self {
        Self {
            connector: Connector::new(spawner, None),
            faults,
            buffers: BufferBudget::new(MAX_RESPONSE_BYTES),
            idle: Mutex::default(),
            sent_bytes: AtomicU64::new(0),
            received_bytes: AtomicU64::new(0),
            calls: AtomicU64::new(0),
        }
    }

    /// Sets the TLS identity. With one, all connections use mutual TLS and only receivers
    /// with a trusted certificate are accepted; with `None`, connections are plain.
    pub fn with_identity(mut self, identity: Option<Arc<TlsIdentity>>) -> Self {
        self.connector.identity = identity;
        self
    }

    /// Sets the budget for the bodies of responses. A response that it has no room for
    /// fails.
    pub fn with_buffers(mut self, buffers: Arc<BufferBudget>) -> Self {
        self.buffers = buffers;
        self
    }

    /// Sends a POST request and returns the body of the response, within `timeout`.
    ///
    /// Fails with `HttpClientError::Status` when the status is not a success.
    pub async fn post(
        &self,
        to: SocketAddr,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Bytes, HttpClientError> {
        let request = Request::post(path).header("host", to.to_string());
        let request = request.body(Full::new(Bytes::from(body)));
        self.call(to, request.expect("the path is a constant"), timeout)
            .await
    }

    /// Sends a GET request and returns the body of the response, within `timeout`.
    ///
    /// Fails with `HttpClientError::Status` when the status is not a success.
    pub async fn get(
        &self,
        to: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<Bytes, HttpClientError> {
        let request = Request::get(path).header("host", to.to_string());
        let request = request.body(Full::new(Bytes::new()));
        self.call(to, request.expect("the path is a constant"), timeout)
            .await
    }

    /// Sends a GET request and returns the document with its `ETag`, if it has one;
    /// `None` when the document still has the `ETag` in `known_etag`.
    ///
    /// Fails with `HttpClientError::Status` when the status is neither a success nor 304.
    pub async fn get_if_modified(
        &self,
        to: SocketAddr,
        path: &str,
        known_etag: Option<&str>,
        timeout: Duration,
    ) -> Result<Option<(Bytes, Option<String>)>, HttpClientError> {
        let mut request = Request::get(path).header("host", to.to_string());
        if let Some(known_etag) = known_etag {
            request = request.header(IF_NONE_MATCH, known_etag);
        }
        let request = request.body(Full::new(Bytes::new()));
        let request = request.expect("ETags come from headers");
        let (parts, body) = self.call_with_timeout(to, request, timeout).await?;
        if parts.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        if !parts.status.is_success() {
            return Err(HttpClientError::Status(parts.status));
        }
        let etag = parts
            .headers
            .get(ETAG)
            .and_then(|value| value.to_str().ok());
        Ok(Some((body, etag.map(str::to_owned))))
    }

    /// Sends a request and returns the response, whatever its status, within `timeout`.
    pub async fn request(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<HttpResponse, HttpClientError> {
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().map_err(|_| HttpClientError::Reply)?;
        let host = HeaderValue::from_str(&to.to_string());
        request
            .headers_mut()
            .insert(HOST, host.expect("an address is a valid header value"));
        let (parts, body) = self.call_with_timeout(to, request, timeout).await?;
        Ok(HttpResponse {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    /// Sends a POST request and returns the response with its body unread, for streams
    /// such as a watch. `timeout` covers the time until the head of the response has
    /// arrived; the connection is not reused.
    ///
    /// Fails with `HttpClientError::Status` when the status is not a success.
    pub async fn open_stream(
        &self,
        to: SocketAddr,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Response<hyper::body::Incoming>, HttpClientError> {
        let opening = async {
            self.apply_request_fault(to).await;
            let mut sender = self.connector.connect(to).await?;
            let request = Request::post(path).header("host", to.to_string());
            let request = request.body(Full::new(Bytes::from(body)));
            self.calls.fetch_add(1, Ordering::Relaxed);
            let response = sender
                .send_request(request.expect("the path is a constant"))
                .await?;
            if !response.status().is_success() {
                return Err(HttpClientError::Status(response.status()));
            }
            Ok(response)
        };
        opening.or(fail_after(timeout)).await
    }

    /// Returns the counters since the client was created.
    pub fn totals(&self) -> HttpClientTotals {
        HttpClientTotals {
            calls: self.calls.load(Ordering::Relaxed),
            sent_bytes: self.sent_bytes.load(Ordering::Relaxed),
            received_bytes: self.received_bytes.load(Ordering::Relaxed),
        }
    }

    async fn call(
        &self,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Bytes, HttpClientError> {
        let (parts, body) = self.call_with_timeout(to, request, timeout).await?;
        if !parts.status.is_success() {
            return Err(HttpClientError::Status(parts.status));
        }
        Ok(body)
    }

    async fn call_with_timeout(
        &self,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<(Parts, Bytes), HttpClientError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let response = self.send_and_read(to, request).or(fail_after(timeout));
        let response = response.await;
        if response.is_err() {
            self.drop_idle(to);
        }
        response
    }

    async fn send_and_read(
        &self,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Parts, Bytes), HttpClientError> {
        let fault = self.apply_request_fault(to).await;
        let sent = request.body().size_hint_bytes();
        let mut sender = match self.take_idle(to).await {
            Some(sender) => sender,
            None => self.connector.connect(to).await?,
        };
        self.sent_bytes.fetch_add(sent, Ordering::Relaxed);
        let response = sender.send_request(request).await?;
        let (parts, body) = response.into_parts();
        let body = self.receive(body).await?;
        self.received_bytes
            .fetch_add(body.len() as u64, Ordering::Relaxed);
        if fault == InjectedFault::DropReply {
            futures_lite::future::pending::<()>().await;
        }
        self.keep_idle(to, sender);
        Ok((parts, body))
    }

    async fn receive(&self, mut body: Incoming) -> Result<Bytes, HttpClientError> {
        let mut received = LeasedBuffer::new(self.buffers.clone());
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| HttpClientError::Reply)?;
            let data = frame.into_data().unwrap_or_default();
            if !received.extend(&data) || received.len() > MAX_RESPONSE_BYTES {
                return Err(HttpClientError::Reply);
            }
        }
        Ok(received.into_bytes())
    }

    async fn apply_request_fault(&self, to: SocketAddr) -> InjectedFault {
        let fault = self.faults.fault_for(to);
        match fault {
            InjectedFault::DropRequest => futures_lite::future::pending::<()>().await,
            InjectedFault::Delay(time) => {
                wingspur_clock::sleep(time).await;
            }
            InjectedFault::None | InjectedFault::DropReply => {}
        }
        fault
    }

    /// Returns an idle connection that is still open.
    ///
    /// The task of a connection becomes ready for the next request shortly after it has
    /// passed on the end of a response, so the connection may have to be waited for.
    async fn take_idle(&self, to: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        while let Some(mut sender) = self.pop_idle(to) {
            if sender.ready().await.is_ok() {
                return Some(sender);
            }
        }
        None
    }

    fn pop_idle(&self, to: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        self.idle
            .lock()
            .expect("no holder panics")
            .get_mut(&to)?
            .pop()
    }

    /// Drops the idle connections to an address. What made a call fail may have made them
    /// silent too, and a retry on each would wait for its timeout.
    fn drop_idle(&self, to: SocketAddr) {
        self.idle.lock().expect("no holder panics").remove(&to);
    }

    fn keep_idle(&self, to: SocketAddr, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.lock().expect("no holder panics");
        let senders = idle.entry(to).or_default();
        if senders.len() < MAX_IDLE_PER_ADDRESS {
            senders.push(sender);
        }
    }
}

impl Connector {
    /// Creates a connector. With an identity, all connections use mutual TLS and only
    /// receivers with a trusted certificate are accepted; without one, they are plain.
    pub fn new(spawner: Spawner, identity: Option<Arc<TlsIdentity>>) -> Self {
        Self { spawner, identity }
    }

    /// Opens a connection for requests with bodies of type `B`. It has no timeout of its
    /// own.
    pub async fn connect<B>(
        &self,
        to: SocketAddr,
    ) -> Result<SendRequest<B>, HttpClientError>
    where
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        detect_unreachable_peer(&stream)?;
        match &self.identity {
            None => self.handshake(stream).await,
            Some(identity) => {
                let name = ServerName::from(to.ip());
                let stream = identity.connector().connect(name, stream).await?;
                self.handshake(stream).await
            }
        }
    }

    async fn handshake<S, B>(&self, stream: S) -> Result<SendRequest<B>, HttpClientError>
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        // No request of this client has the method `HEAD`.
        let is_head_request = HeadRequestFlag::default();
        let stream = CheckedStream::new(FairStream::new(stream), is_head_request);
        let io = FuturesIo::new(stream);
        let mut builder = hyper::client::conn::http1::Builder::new();
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let (sender, connection) = builder.handshake(io).await?;
        self.spawner.detach(async move {
            // The request on a failed connection gets the error.
            let _ = connection.await;
        });
        Ok(sender)
    }
}

/// Makes a connection fail when the other side cannot be reached any more. Without this,
/// a connection that only waits for data would wait forever.
fn detect_unreachable_peer(stream: &TcpStream) -> std::io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    #[cfg(target_os = "linux")]
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    Ok(())
}

trait SizeHintBytes {
    fn size_hint_bytes(&self) -> u64;
}

impl SizeHintBytes for Full<Bytes> {
    fn size_hint_bytes(&self) -> u64 {
        hyper::body::Body::size_hint(self).exact().unwrap_or(0)
    }
}

async fn fail_after<T>(timeout: Duration) -> Result<T, HttpClientError> {
    wingspur_clock::sleep(timeout).await;
    Err(HttpClientError::Timeout)
}

/// The largest buffer of a connection in each direction. Buffers that have grown do not
/// shrink.
const MAX_BUFFER_BYTES: usize = 64 << 10;
/// The largest body of a response. The largest responses are a few values of 1 MiB each,
/// in base64.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// The time without data after which a connection is probed, and between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unanswered probes after which a connection fails. On Linux
/// `TCP_USER_TIMEOUT` decides instead.
const KEEPALIVE_PROBES: u32 = 2;
/// How long sent bytes or probes may stay unacknowledged before the connection fails, on
/// Linux.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest number of idle connections kept to one address.
const MAX_IDLE_PER_ADDRESS: usize = 4;
