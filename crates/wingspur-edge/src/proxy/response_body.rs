//! The body of a response to a caller: buffered, or streamed from the server.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures_lite::Stream;
use http_body_util::Full;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use wingspur_transport::{BackendConnection, BodyError, ResponseError, poll_buffered};

use crate::proxy::in_flight_requests::InFlightGuard;

/// The body of a response to a caller.
pub enum ResponseBody {
    /// The complete body.
    Buffered(Full<Bytes>),
    /// A body that is still being received from the server.
    Stream(StreamBody),
}

/// A long body that is passed on while it is received; an error ends the caller's
/// connection, so that the caller sees that the body is incomplete.
pub struct StreamBody {
    chunks: Pin<Box<dyn Stream<Item = Result<Bytes, BodyError>> + Send>>,
    /// The length in bytes; `None` where the response's head does not state it.
    length: Option<u64>,
    /// Keeps the request registered as in flight until the body has ended.
    _in_flight: Arc<InFlightGuard>,
}

/// Ends the attempt whose response is streamed: with its connection after the whole body
/// was read, else with the error. Dropping it abandons the attempt.
pub type StreamGuard = Box<dyn FnOnce(Result<BackendConnection, &ResponseError>) + Send>;

impl StreamBody {
    /// Creates a body of the chunks received so far, followed by those that the
    /// connection delivers. Ends the attempt through its guard when the body ends.
    pub fn new(
        first: Vec<Bytes>,
        connection: BackendConnection,
        guard: StreamGuard,
        length: Option<u64>,
        in_flight: Arc<InFlightGuard>,
    ) -> Self {
        in_flight.record_responding();
        let state = (first.into_iter(), Some((connection, guard)));
        let chunks =
            futures_lite::stream::unfold(state, |(mut first, source)| async move {
                if let Some(chunk) = first.next() {
                    return Some((Ok(chunk), (first, source)));
                }
                let (mut connection, guard) = source?;
                match connection.next_chunk().await {
                    // The HTTP server stops polling after the last byte of a body of
                    // known length, so the attempt ends here.
                    Ok(Some(chunk)) if connection.is_read() => {
                        guard(Ok(connection));
                        Some((Ok(chunk), (first, None)))
                    }
                    Ok(Some(chunk)) => {
                        Some((Ok(chunk), (first, Some((connection, guard)))))
                    }
                    Ok(None) => {
                        guard(Ok(connection));
                        None
                    }
                    Err(error) => {
                        guard(Err(&error));
                        Some((Err(error.into()), (first, None)))
                    }
                }
            });
        Self {
            chunks: Box::pin(chunks),
            length,
            _in_flight: in_flight,
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
                let polled = body.chunks.as_mut().poll_next(context);
                polled.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
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
