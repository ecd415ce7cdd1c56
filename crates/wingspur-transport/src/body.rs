//! The request body towards a backend server.

use std::pin::Pin;
use std::task::{Context, Poll};

use http_body_util::Full;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};

/// A request body: kept whole for repeats, or streamed through.
#[derive(Debug)]
pub enum SendBody {
    /// Held in memory; none once it was sent.
    Buffered(Option<Bytes>),
    /// Streamed from the caller, up to a limit in bytes.
    Stream(Incoming, u64),
}

impl SendBody {
    /// A body held in memory.
    pub fn buffered(bytes: Bytes) -> Self {
        Self::Buffered(Some(bytes))
    }

    /// A second copy of a body that is held in memory; none of a streamed one.
    pub fn try_clone(&self) -> Option<Self> {
        match self {
            Self::Buffered(bytes) => Some(Self::Buffered(Option::<Bytes>::clone(bytes))),
            Self::Stream(..) => None,
        }
    }

    /// The bytes of a body that is held in memory; none of a streamed one.
    pub fn buffered_bytes(&self) -> Option<&[u8]> {
        match self {
            Self::Buffered(bytes) => Some(bytes.as_deref().unwrap_or_default()),
            Self::Stream(..) => None,
        }
    }

    /// No body.
    pub fn empty() -> Self {
        Self::Buffered(None)
    }
}

/// Why a body broke off.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The connection it came from failed.
    #[error("the body broke off: {0}")]
    Broken(#[from] hyper::Error),
    /// It is longer than allowed.
    #[error("the body is over the limit; send less or raise `max_body_bytes`")]
    TooLong,
    /// No byte came for too long.
    #[error("the body stood still past the deadline")]
    Stalled,
}

/// Polls a body that is held whole as one that could break off.
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
            Self::Stream(incoming, left) => {
                let frame = match Pin::new(incoming).poll_frame(context) {
                    Poll::Ready(Some(Ok(frame))) => frame,
                    Poll::Ready(Some(Err(error))) => {
                        return Poll::Ready(Some(Err(error.into())));
                    }
                    Poll::Ready(None) => return Poll::Ready(None),
                    Poll::Pending => return Poll::Pending,
                };
                let length = frame.data_ref().map_or(0, Bytes::len) as u64;
                if length > *left {
                    return Poll::Ready(Some(Err(BodyError::TooLong)));
                }
                *left -= length;
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
