//! Long-lived links between two boxes, which carry frames in both directions in the
//! bodies of one HTTP request and its response.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use futures_lite::{FutureExt, Stream};
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Frame as BodyFrame, Incoming};
use hyper::{Request, Response};
use serde::de::DeserializeOwned;
use wingspur_protocol::{EncodedFrame, FrameError, HelloError, decode_next_frame};

use crate::body::BodyError;
use crate::http_client::{Connector, HttpClientError};

/// Sends frames on a link. Cheap to clone. Its direction of the link ends when all clones
/// are dropped.
#[derive(Debug, Clone)]
pub struct LinkSender {
    frames: async_channel::Sender<Bytes>,
    is_aborted: Arc<AtomicBool>,
}

/// Receives frames from a link.
#[derive(Debug)]
pub struct LinkReceiver {
    body: Incoming,
    buffer: Vec<u8>,
}

/// The HTTP body that carries the frames of one direction, split into chunks.
///
/// The chunks limit memory use: a connection keeps a buffer as large as the largest chunk
/// that it was ever given, and a hub has a connection for each member.
#[derive(Debug)]
pub struct LinkBody {
    frames: Pin<Box<async_channel::Receiver<Bytes>>>,
    /// The part of the current frame that was not yet given to the connection.
    unsent: Bytes,
    /// Whether the sender has given the link up, so that the body must not end normally.
    is_aborted: Arc<AtomicBool>,
}

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The link could not be opened.
    #[error(transparent)]
    Open(#[from] HttpClientError),
    /// The other side ended the link normally.
    #[error("the other side closed the link")]
    Ended,
    /// The connection failed or was closed.
    #[error("the connection to the other side was lost")]
    Gone,
    /// No data was received for this time, or the link could not be opened within it.
    #[error("nothing was received for {0:?}")]
    Silent(Duration),
    /// The other side does not read, so the send queue is full.
    #[error("the other side does not read; the send queue is full")]
    SendQueueFull,
    /// The other side's hello is refused.
    #[error(transparent)]
    Refused(#[from] HelloError),
    /// A frame cannot be decoded.
    #[error(transparent)]
    Frame(#[from] FrameError),
}

/// Timeouts for opening a link.
#[derive(Debug, Clone, Copy)]
pub struct LinkTimeouts {
    /// Timeout for establishing the connection. A machine without power does not even
    /// refuse it.
    pub connect: Duration,
    /// Timeout until the response has arrived, including the time to connect.
    pub reply: Duration,
}

/// Opens a link by a POST request to `path` at the box with address `to`.
///
/// Fails with `LinkError::Silent` on a timeout and with `LinkError::Open` on other
/// errors.
pub async fn open_link(
    connector: &Connector,
    to: SocketAddr,
    path: &str,
    timeouts: LinkTimeouts,
) -> Result<(LinkSender, LinkReceiver), LinkError> {
    let (sender, body) = link_body();
    let opening = async {
        let connecting = async { Ok(connector.connect::<LinkBody>(to).await?) };
        let connect_expired = async {
            wingspur_clock::sleep(timeouts.connect).await;
            Err(LinkError::Silent(timeouts.connect))
        };
        let mut connection = connecting.or(connect_expired).await?;
        let request = Request::post(path).header("host", to.to_string());
        let request = request.body(body).expect("the path is a constant");
        let response = connection.send_request(request).await;
        let response = response.map_err(HttpClientError::from)?;
        if !response.status().is_success() {
            return Err(LinkError::from(HttpClientError::Status(response.status())));
        }
        Ok(LinkReceiver::new(response.into_body()))
    };
    let expired = async {
        wingspur_clock::sleep(timeouts.reply).await;
        Err(LinkError::Silent(timeouts.reply))
    };
    Ok((sender, opening.or(expired).await?))
}

/// Accepts a link that another box opened with `request`. Returns the two ends for its
/// frames and the response, which must be returned to that box.
pub fn accept_link(
    request: Request<Incoming>,
) -> (LinkSender, LinkReceiver, Response<LinkBody>) {
    let (sender, body) = link_body();
    let receiver = LinkReceiver::new(request.into_body());
    (sender, receiver, Response::new(body))
}

/// Returns a body without frames, for responses that refuse a link.
pub fn empty_link_body() -> LinkBody {
    link_body().1
}

impl LinkSender {
    /// Encodes a frame, queues it for sending and returns its encoded size in bytes.
    ///
    /// Fails with `LinkError::SendQueueFull` when the other side has stopped reading, and
    /// with `LinkError::Gone` when the link has ended.
    pub fn send<T: serde::Serialize>(&self, frame: &T) -> Result<usize, LinkError> {
        self.send_encoded(&EncodedFrame::new(frame))
    }

    /// Queues an encoded frame, which may be sent on many links, and returns its size in
    /// bytes. Fails like `send`.
    pub fn send_encoded(&self, frame: &EncodedFrame) -> Result<usize, LinkError> {
        let bytes = frame.bytes().clone();
        let length = bytes.len();
        match self.frames.try_send(bytes) {
            Ok(()) => Ok(length),
            Err(async_channel::TrySendError::Full(_)) => Err(LinkError::SendQueueFull),
            Err(async_channel::TrySendError::Closed(_)) => Err(LinkError::Gone),
        }
    }

    /// Ends this direction of the link, for all clones of the sender. Queued frames are
    /// still sent.
    pub fn close(self) {
        self.frames.close();
    }

    /// Breaks this direction of the link off, for all clones of the sender. The other side
    /// never sees that it ended normally, and queued frames are not sent.
    pub fn abort(self) {
        self.is_aborted.store(true, Ordering::SeqCst);
        self.frames.close();
    }
}

impl LinkReceiver {
    fn new(body: Incoming) -> Self {
        Self {
            body,
            buffer: Vec::new(),
        }
    }

    /// Waits for the next frame. Fails with `LinkError::Silent` when no data is received
    /// for `timeout`, and with another error when the link has ended or the frame is
    /// invalid.
    pub async fn next<T: DeserializeOwned>(
        &mut self,
        timeout: Duration,
    ) -> Result<T, LinkError> {
        loop {
            if let Some(frame) = decode_next_frame(&mut self.buffer)? {
                self.buffer.shrink_to(MAX_CHUNK_BYTES);
                return Ok(frame);
            }
            let arriving = async { Some(self.body.frame().await) };
            let expired = async {
                wingspur_clock::sleep(timeout).await;
                None
            };
            let frame = arriving.or(expired).await;
            match frame.ok_or(LinkError::Silent(timeout))? {
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    self.buffer.extend_from_slice(&data);
                }
                Some(Err(_)) => return Err(LinkError::Gone),
                None => return Err(LinkError::Ended),
            }
        }
    }
}

impl Body for LinkBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<BodyFrame<Bytes>, Self::Error>>> {
        if self.unsent.is_empty() {
            let polled = self.frames.as_mut().poll_next(context);
            if self.is_aborted.load(Ordering::SeqCst) {
                return Poll::Ready(Some(Err(BodyError::Aborted)));
            }
            match polled {
                Poll::Ready(Some(frame)) => self.unsent = frame,
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Pending => return Poll::Pending,
            }
        }
        let length = self.unsent.len().min(MAX_CHUNK_BYTES);
        let chunk = self.unsent.split_to(length);
        Poll::Ready(Some(Ok(BodyFrame::data(chunk))))
    }
}

fn link_body() -> (LinkSender, LinkBody) {
    let (sender, receiver) = async_channel::bounded(MAX_QUEUED_FRAMES);
    let is_aborted = Arc::new(AtomicBool::new(false));
    let body = LinkBody {
        frames: Box::pin(receiver),
        unsent: Bytes::new(),
        is_aborted: is_aborted.clone(),
    };
    let sender = LinkSender {
        frames: sender,
        is_aborted,
    };
    (sender, body)
}

/// The largest chunk that a connection is given at once.
const MAX_CHUNK_BYTES: usize = 16 << 10;
/// The number of queued frames at which the other side counts as not reading: about 3 s
/// at 20 frames a second.
const MAX_QUEUED_FRAMES: usize = 64;
