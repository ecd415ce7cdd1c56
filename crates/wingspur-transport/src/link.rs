//! A long exchange between two boxes: frames both ways over one request and its answer.

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_lite::{FutureExt, Stream};
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Frame as BodyFrame, Incoming};
use hyper::{Request, Response};
use serde::de::DeserializeOwned;
use wingspur_protocol::{EncodedFrame, FrameError, decode_next_frame};

use crate::http_client::{Connector, HttpClientError};

/// Sends frames; cheap to copy. The exchange ends when all copies are gone.
#[derive(Debug, Clone)]
pub struct LinkSender {
    frames: async_channel::Sender<Bytes>,
}

/// Receives frames.
#[derive(Debug)]
pub struct LinkReceiver {
    body: Incoming,
    buffer: Vec<u8>,
}

/// The body that carries frames one way, in pieces.
///
/// A connection keeps a buffer as large as the largest piece it was ever given, and a hub has
/// a connection for each member.
#[derive(Debug)]
pub struct LinkBody {
    frames: Pin<Box<async_channel::Receiver<Bytes>>>,
    /// What is left of a frame of which the beginning was given to the connection.
    rest: Bytes,
}

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// It could not be opened.
    #[error(transparent)]
    Open(#[from] HttpClientError),
    /// The other side has ended it in order, after giving up the link.
    #[error("the other side has ended it")]
    Ended,
    /// The connection failed.
    #[error("the other side is gone")]
    Gone,
    /// Nothing was heard for too long.
    #[error("nothing was heard for {0:?}")]
    Silent(Duration),
    /// The other side does not read what it is sent.
    #[error("the other side does not read")]
    SendQueueFull,
    /// A frame cannot be read.
    #[error(transparent)]
    Frame(#[from] FrameError),
}

/// How long a link may take to open.
#[derive(Debug, Clone, Copy)]
pub struct LinkTimeouts {
    /// Until the connection is up: a machine without power says nothing at all.
    pub connect: Duration,
    /// Until the other side has answered.
    pub reply: Duration,
}

/// Opens a link by a request to a path of the other box.
pub async fn open_link(
    connector: &Connector,
    to: SocketAddr,
    path: &str,
    patience: LinkTimeouts,
) -> Result<(LinkSender, LinkReceiver), LinkError> {
    let (sender, body) = link_body();
    let opening = async {
        let connecting = async { Ok(connector.connect::<LinkBody>(to).await?) };
        let hanging = async {
            wingspur_clock::sleep(patience.connect).await;
            Err(LinkError::Silent(patience.connect))
        };
        let mut connection = connecting.or(hanging).await?;
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
        wingspur_clock::sleep(patience.reply).await;
        Err(LinkError::Silent(patience.reply))
    };
    Ok((sender, opening.or(expired).await?))
}

/// Takes up a link that another box opened: the frames from it, and the answer for it.
pub fn accept_link(
    request: Request<Incoming>,
) -> (LinkSender, LinkReceiver, Response<LinkBody>) {
    let (sender, body) = link_body();
    let receiver = LinkReceiver::new(request.into_body());
    (sender, receiver, Response::new(body))
}

/// A body of no frames at all, for refusals.
pub fn empty_link_body() -> LinkBody {
    link_body().1
}

impl LinkSender {
    /// Sends a frame, unless the other side has stopped reading.
    pub fn send<T: serde::Serialize>(&self, frame: &T) -> Result<usize, LinkError> {
        self.send_encoded(&EncodedFrame::new(frame))
    }

    /// The same for a frame that goes to many.
    pub fn send_encoded(&self, frame: &EncodedFrame) -> Result<usize, LinkError> {
        let bytes = frame.bytes().clone();
        let length = bytes.len();
        match self.frames.try_send(bytes) {
            Ok(()) => Ok(length),
            Err(async_channel::TrySendError::Full(_)) => Err(LinkError::SendQueueFull),
            Err(async_channel::TrySendError::Closed(_)) => Err(LinkError::Gone),
        }
    }

    /// Ends this side of the exchange.
    pub fn close(self) {
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

    /// Waits for the next frame, at most `patience`.
    pub async fn next<T: DeserializeOwned>(
        &mut self,
        patience: Duration,
    ) -> Result<T, LinkError> {
        loop {
            if let Some(frame) = decode_next_frame(&mut self.buffer)? {
                self.buffer.shrink_to(MOST_PIECE_BYTES);
                return Ok(frame);
            }
            let arriving = async { Some(self.body.frame().await) };
            let expired = async {
                wingspur_clock::sleep(patience).await;
                None
            };
            let frame = arriving.or(expired).await;
            match frame.ok_or(LinkError::Silent(patience))? {
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
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<BodyFrame<Bytes>, Self::Error>>> {
        if self.rest.is_empty() {
            match self.frames.as_mut().poll_next(context) {
                Poll::Ready(Some(frame)) => self.rest = frame,
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Pending => return Poll::Pending,
            }
        }
        let length = self.rest.len().min(MOST_PIECE_BYTES);
        let piece = self.rest.split_to(length);
        Poll::Ready(Some(Ok(BodyFrame::data(piece))))
    }
}

fn link_body() -> (LinkSender, LinkBody) {
    let (sender, receiver) = async_channel::bounded(MOST_WAITING_FRAMES);
    let body = LinkBody {
        frames: Box::pin(receiver),
        rest: Bytes::new(),
    };
    (LinkSender { frames: sender }, body)
}

/// The most that a connection is given at once.
const MOST_PIECE_BYTES: usize = 16 << 10;
/// A side that leaves so many frames unread is stuck: at twenty a second, three seconds.
const MOST_WAITING_FRAMES: usize = 64;
