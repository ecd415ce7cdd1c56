//! The request body that is sent to a backend server.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use http_body_util::Full;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};

use crate::ResponseError;

/// A request body, either held in memory so that it can be resent, or streamed from the
/// caller.
#[derive(Debug)]
pub enum SendBody {
    /// Held in memory. `None` for an empty body, or once the body was sent.
    Buffered(Option<Bytes>),
    /// Streamed from the caller.
    Stream(StreamedBody),
}

/// A body that is passed on as the caller sends it.
#[derive(Debug)]
pub struct StreamedBody {
    /// What was received already; `None` once it was sent.
    pub beginning: Option<Bytes>,
    /// The source of what follows.
    pub rest: Incoming,
    /// How many bytes may still follow. A longer body fails with `BodyError::TooLong`.
    pub max_rest_bytes: u64,
}

impl SendBody {
    /// Creates a body that is held in memory.
    pub fn buffered(bytes: Bytes) -> Self {
        Self::Buffered(Some(bytes))
    }

    /// Returns a copy of a body that is held in memory, or `None` for a streamed one.
    pub fn try_clone(&self) -> Option<Self> {
        match self {
            Self::Buffered(bytes) => Some(Self::Buffered(Option::<Bytes>::clone(bytes))),
            Self::Stream(_) => None,
        }
    }

    /// Returns the bytes of a body that is held in memory, empty once it was sent, or
    /// `None` for a streamed one.
    pub fn buffered_bytes(&self) -> Option<&[u8]> {
        match self {
            Self::Buffered(bytes) => Some(bytes.as_deref().unwrap_or_default()),
            Self::Stream(_) => None,
        }
    }

    /// Returns how the body is held, as a log value.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Buffered(None) => "none",
            Self::Buffered(Some(_)) => "buffered",
            Self::Stream(_) => "streamed",
        }
    }

    /// Creates an empty body.
    pub fn empty() -> Self {
        Self::Buffered(None)
    }
}

impl StreamedBody {
    fn poll_data(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(beginning) = self.beginning.take() {
            return Poll::Ready(Some(Ok(Frame::data(beginning))));
        }
        let frame = match ready!(Pin::new(&mut self.rest).poll_frame(context)) {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => return Poll::Ready(Some(Err(error.into()))),
            None => return Poll::Ready(None),
        };
        let length = frame.data_ref().map_or(0, Bytes::len) as u64;
        if length > self.max_rest_bytes {
            return Poll::Ready(Some(Err(BodyError::TooLong)));
        }
        self.max_rest_bytes -= length;
        Poll::Ready(Some(Ok(frame)))
    }

    fn size_hint(&self) -> SizeHint {
        let beginning_bytes = self.beginning.as_ref().map_or(0, Bytes::len) as u64;
        let mut hint = self.rest.size_hint();
        if let Some(upper) = hint.upper() {
            hint.set_upper(upper + beginning_bytes);
        }
        hint.set_lower(hint.lower() + beginning_bytes);
        hint
    }
}

/// Why a body ended before it was complete.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The connection that the body came from failed.
    #[error("the body was interrupted: {0}")]
    Broken(#[from] hyper::Error),
    /// The body is longer than allowed.
    #[error("the body is over the limit; send less or raise `max_body_bytes`")]
    TooLong,
    /// The server's response could not be read to its end.
    #[error(transparent)]
    Response(#[from] ResponseError),
    /// No more data arrived before the deadline.
    #[error("no more body data arrived before the deadline")]
    Stalled,
    /// The body was not complete at its deadline.
    #[error("the body was not complete at its deadline")]
    Late,
    /// The sender of the body has given it up.
    #[error("the sender has given the body up")]
    Aborted,
}

/// Polls a body that is held in memory, with `BodyError` as its error type so that it can
/// be used in place of a streamed one. It never fails.
pub fn poll_buffered(
    body: &mut Full<Bytes>,
    context: &mut Context<'_>,
) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
    let polled = Pin::new(body).poll_frame(context);
    polled.map(|frame| frame.map(|frame| frame.map_err(|never| match never {})))
}

impl Body for SendBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Buffered(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Stream(body) => body.poll_data(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_none(),
            Self::Stream(body) => body.beginning.is_none() && body.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Self::Stream(body) => body.size_hint(),
        }
    }
}
