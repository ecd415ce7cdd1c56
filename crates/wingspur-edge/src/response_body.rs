//! The body of an answer to a caller: held whole, or passed on as it comes.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures_lite::Stream;
use http_body_util::Full;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use wingspur_transport::{BackendConnection, BodyError, poll_buffered};

use crate::attempt::AttemptGuard;
use crate::in_flight_requests::InFlightGuard;

/// The body of any answer to a caller.
pub enum ResponseBody {
    /// All of it is here.
    Buffered(Full<Bytes>),
    /// It is still coming from the server.
    Stream(StreamBody),
}

/// A long answer under way; an error breaks the caller's connection visibly.
pub struct StreamBody {
    pieces: Pin<Box<dyn Stream<Item = Result<Bytes, BodyError>> + Send>>,
    /// The length, where the head told it.
    length: Option<u64>,
    /// The request is not over before its answer is.
    _ticket: Arc<InFlightGuard>,
}

impl StreamBody {
    /// Passes on the pieces that have come, and those that will.
    pub fn new(
        first: Vec<Bytes>,
        connection: BackendConnection,
        guard: Box<AttemptGuard>,
        length: Option<u64>,
        ticket: Arc<InFlightGuard>,
    ) -> Self {
        ticket.answering();
        let state = (first.into_iter(), Some((connection, guard)));
        let pieces =
            futures_lite::stream::unfold(state, |(mut first, rest)| async move {
                if let Some(piece) = first.next() {
                    return Some((Ok(piece), (first, rest)));
                }
                let (mut connection, guard) = rest?;
                match connection.next_chunk().await {
                    // The listener does not ask again after the last byte of a known length.
                    Ok(Some(piece)) if connection.is_read() => {
                        guard.complete(connection);
                        Some((Ok(piece), (first, None)))
                    }
                    Ok(Some(piece)) => {
                        Some((Ok(piece), (first, Some((connection, guard)))))
                    }
                    Ok(None) => {
                        guard.complete(connection);
                        None
                    }
                    Err(error) => {
                        guard.fail(&error);
                        Some((Err(BodyError::Stalled), (first, None)))
                    }
                }
            });
        Self {
            pieces: Box::pin(pieces),
            length,
            _ticket: ticket,
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Buffered(body) => poll_buffered(body, context),
            Self::Stream(body) => {
                let polled = body.pieces.as_mut().poll_next(context);
                polled.map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Stream(body) => body
                .length
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}
