//! One request and its whole reply, over connections kept for the next one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use futures_rustls::rustls::pki_types::ServerName;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Bytes};
use hyper::client::conn::http1::SendRequest;
use hyper::header::{ETAG, HOST, HeaderValue, IF_NONE_MATCH};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::{FaultInjector, InjectedFault, Spawner, TlsIdentity};

/// Exchanges small messages with the store, the box list and peers.
#[derive(Debug)]
pub struct HttpClient {
    connector: Connector,
    faults: FaultInjector,
    idle: Mutex<HashMap<SocketAddr, Vec<SendRequest<Full<Bytes>>>>>,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    calls: AtomicU64,
}

/// Opens connections, by mutual TLS where the box has an identity.
#[derive(Debug, Clone)]
pub struct Connector {
    spawner: Spawner,
    identity: Option<Arc<TlsIdentity>>,
}

/// A whole reply.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// What was exchanged; bytes are those of bodies, without heads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HttpClientTotals {
    /// Calls begun.
    pub calls: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Bytes received.
    pub received_bytes: u64,
}

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum HttpClientError {
    /// No reply within the time given: the request may have taken effect.
    #[error("no reply in time")]
    Timeout,
    /// The connection could not be opened: nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection failed: the request may have taken effect.
    #[error("the exchange failed: {0}")]
    Http(#[from] hyper::Error),
    /// The reply is longer than allowed, or broke off.
    #[error("the reply broke off or is over the limit")]
    Reply,
    /// The receiver answered with an error status.
    #[error("status {0}")]
    Status(StatusCode),
}

impl HttpClient {
    /// Starts with no connections.
    pub fn new(spawner: Spawner, faults: FaultInjector) -> Self {
        Self {
            connector: Connector::new(spawner, None),
            faults,
            idle: Mutex::default(),
            sent_bytes: AtomicU64::new(0),
            received_bytes: AtomicU64::new(0),
            calls: AtomicU64::new(0),
        }
    }

    /// Exchanges by mutual TLS from now on, and with nobody else.
    pub fn with_identity(mut self, identity: Option<Arc<TlsIdentity>>) -> Self {
        self.connector.identity = identity;
        self
    }

    /// Posts a body and returns the reply's, within `timeout`.
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

    /// Gets a document, within `timeout`.
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

    /// Gets a document that has changed since the one with the validator `known`; none
    /// when it has not. With the document comes its own validator, if it has one.
    pub async fn get_if_modified(
        &self,
        to: SocketAddr,
        path: &str,
        known: Option<&str>,
        timeout: Duration,
    ) -> Result<Option<(Bytes, Option<String>)>, HttpClientError> {
        let mut request = Request::get(path).header("host", to.to_string());
        if let Some(known) = known {
            request = request.header(IF_NONE_MATCH, known);
        }
        let request = request.body(Full::new(Bytes::new()));
        let request = request.expect("validators come from headers");
        let (parts, body) = self.call_for_head(to, request, timeout).await?;
        if parts.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        if !parts.status.is_success() {
            return Err(HttpClientError::Status(parts.status));
        }
        let validator = parts
            .headers
            .get(ETAG)
            .and_then(|value| value.to_str().ok());
        Ok(Some((body, validator.map(str::to_owned))))
    }

    /// Sends a request and returns the reply, whatever its status.
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
            .insert(HOST, host.expect("addresses are visible characters"));
        let (parts, body) = self.call_for_head(to, request, timeout).await?;
        Ok(HttpResponse {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    /// Opens a stream of replies, such as a watch; its connection is not reused.
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
        opening.or(expire(timeout)).await
    }

    /// What was exchanged since the start.
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
        let (parts, body) = self.call_for_head(to, request, timeout).await?;
        if !parts.status.is_success() {
            return Err(HttpClientError::Status(parts.status));
        }
        Ok(body)
    }

    async fn call_for_head(
        &self,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<(Parts, Bytes), HttpClientError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.call_in_time(to, request).or(expire(timeout)).await
    }

    async fn call_in_time(
        &self,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Parts, Bytes), HttpClientError> {
        let fault = self.apply_request_fault(to).await;
        let sent = request.body().size_hint_bytes();
        let mut sender = match self.take_idle(to) {
            Some(sender) => sender,
            None => self.connector.connect(to).await?,
        };
        self.sent_bytes.fetch_add(sent, Ordering::Relaxed);
        let response = sender.send_request(request).await?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MOST_REPLY_BYTES);
        let body = body
            .collect()
            .await
            .map_err(|_| HttpClientError::Reply)?
            .to_bytes();
        self.received_bytes
            .fetch_add(body.len() as u64, Ordering::Relaxed);
        if fault == InjectedFault::DropReply {
            futures_lite::future::pending::<()>().await;
        }
        self.keep_idle(to, sender);
        Ok((parts, body))
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

    fn take_idle(&self, to: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().expect("no holder panics");
        let senders = idle.get_mut(&to)?;
        while let Some(sender) = senders.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    fn keep_idle(&self, to: SocketAddr, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.lock().expect("no holder panics");
        let senders = idle.entry(to).or_default();
        if senders.len() < MOST_IDLE {
            senders.push(sender);
        }
    }
}

impl Connector {
    /// Opens connections; by mutual TLS, and with nobody else, where there is an identity.
    pub fn new(spawner: Spawner, identity: Option<Arc<TlsIdentity>>) -> Self {
        Self { spawner, identity }
    }

    /// Opens a connection for requests with one kind of body.
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
        give_up_soon(&stream)?;
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
        let io = FuturesIo::new(stream);
        let mut builder = hyper::client::conn::http1::Builder::new();
        builder.max_buf_size(MOST_BUFFER_BYTES);
        let (sender, connection) = builder.handshake(io).await?;
        self.spawner.detach(async move {
            // A failed connection shows as an error of its request.
            let _ = connection.await;
        });
        Ok(sender)
    }
}

/// Lets a connection fail when the other side is cut off: without this, one that only
/// waits to read would wait for ever.
fn give_up_soon(stream: &TcpStream) -> std::io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_EVERY)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    #[cfg(target_os = "linux")]
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
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

async fn expire<T>(timeout: Duration) -> Result<T, HttpClientError> {
    wingspur_clock::sleep(timeout).await;
    Err(HttpClientError::Timeout)
}

/// What a connection buffers each way; a buffer that has grown stays as it is.
const MOST_BUFFER_BYTES: usize = 64 << 10;
/// Replies are at most a few values of a megabyte, in base64.
const MOST_REPLY_BYTES: usize = 64 << 20;
/// A silent connection is probed so often, and given up after so many probes in vain.
const PROBE_EVERY: Duration = Duration::from_secs(1);
const PROBES: u32 = 2;
/// Bytes may stay unacknowledged for so long.
const UNACKNOWLEDGED: Duration = Duration::from_secs(2);
/// Connections kept to one receiver.
const MOST_IDLE: usize = 4;
