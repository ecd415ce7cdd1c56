//! The request body that is sent to a backend server.

use std::pin::Pin;
use std::task::{Context, Poll};

use http_body_util::Full;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};

use crate::ResponseError;

/// A request body, either held in memory so that it can be resent, or streamed from the
/// caller.
#[derive(Debug)]
pub enum SendBody {
    /// Held in memory. `None` for an empty body, or once the body was sent.
    Buffered(Option<Bytes>),
    /// Streamed from the caller. The number is how many bytes may still follow; a longer
    /// body fails with `BodyError::TooLong`.
    Stream(Incoming, u64),
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
            Self::Stream(..) => None,
        }
    }

    /// Returns the bytes of a body that is held in memory, empty once it was sent, or
    /// `None` for a streamed one.
    pub fn buffered_bytes(&self) -> Option<&[u8]> {
        match self {
            Self::Buffered(bytes) => Some(bytes.as_deref().unwrap_or_default()),
            Self::Stream(..) => None,
        }
    }

    /// Returns how the body is held, as a log value.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Buffered(None) => "none",
            Self::Buffered(Some(_)) => "buffered",
            Self::Stream(..) => "streamed",
        }
    }

    /// Creates an empty body.
    pub fn empty() -> Self {
        Self::Buffered(None)
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
            Self::Stream(incoming, remaining) => {
                let frame = match Pin::new(incoming).poll_frame(context) {
                    Poll::Ready(Some(Ok(frame))) => frame,
                    Poll::Ready(Some(Err(error))) => {
                        return Poll::Ready(Some(Err(error.into())));
                    }
                    Poll::Ready(None) => return Poll::Ready(None),
                    Poll::Pending => return Poll::Pending,
                };
                let length = frame.data_ref().map_or(0, Bytes::len) as u64;
                if length > *remaining {
                    return Poll::Ready(Some(Err(BodyError::TooLong)));
                }
                *remaining -= length;
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_none(),
            Self::Stream(incoming, _) => incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Self::Stream(incoming, _) => incoming.size_hint(),
        }
    }
}
