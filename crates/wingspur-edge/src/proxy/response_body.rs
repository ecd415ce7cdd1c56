//! The body of a response to a caller: buffered, or streamed from the server.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;

use futures_lite::Stream;
use http_body_util::Full;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use wingspur_clock::Timer;
use wingspur_transport::{
    BackendConnection, BodyError, ConnectionCloser, ResponseError, SendWindow,
    poll_buffered,
};

use crate::edge_state::EdgeState;
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
    /// The body that is being received; `None` after its deadline.
    chunks: Option<ChunkStream>,
    /// The length in bytes; `None` where the response's head does not state it.
    length: Option<u64>,
    deadline: Timer,
    context: StreamContext,
    /// Closes the server's connection at the deadline, also while the caller reads
    /// nothing and the body is not polled. Cancelled when it is dropped.
    _closing: smol::Task<()>,
}

type ChunkStream = Pin<Box<dyn Stream<Item = Result<Bytes, BodyError>> + Send>>;

/// The beginning of a body and where the rest of it comes from.
pub struct BodySource {
    /// The body as received so far.
    pub first: Bytes,
    /// The connection that the rest is read from.
    pub connection: Box<BackendConnection>,
    /// Ends the attempt when the body ends.
    pub guard: StreamGuard,
}

/// The request whose response is streamed.
pub struct StreamContext {
    /// The state that all tasks of the box share.
    pub shared: Arc<EdgeState>,
    /// The name of the service.
    pub service: String,
    /// When the body must be complete.
    pub deadline: Instant,
    /// Keeps the request registered as in flight until the body has ended.
    pub in_flight: Arc<InFlightGuard>,
}

/// Ends the attempt whose response is streamed: with its connection after the whole body
/// was read, else with the error. Dropping it abandons the attempt.
pub type StreamGuard = Box<dyn FnOnce(Result<BackendConnection, &ResponseError>) + Send>;

impl StreamBody {
    /// Creates a body of the beginning received so far, followed by what the connection
    /// delivers until the deadline. Ends the attempt through its guard when the body ends.
    pub fn new(source: BodySource, length: Option<u64>, context: StreamContext) -> Self {
        context.in_flight.record_responding();
        let (closer, deadline) = (source.connection.closer(), context.deadline);
        let chunks = receive_chunks(source, closer.clone());
        let closing = context.shared.spawner.spawn(async move {
            wingspur_clock::sleep_until(deadline).await;
            closer.close();
        });
        Self {
            chunks: Some(chunks),
            length,
            deadline: Timer::at(deadline),
            context,
            _closing: closing,
        }
    }

    fn poll_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        let Some(chunks) = &mut self.chunks else {
            return Poll::Ready(None);
        };
        // Checked first, since the connection may always have bytes.
        if Pin::new(&mut self.deadline).poll(context).is_ready() {
            self.chunks = None;
            self.record_late();
            return Poll::Ready(Some(Err(BodyError::Late)));
        }
        chunks.as_mut().poll_next(context)
    }

    fn record_late(&self) {
        let StreamContext {
            shared,
            service,
            in_flight,
            ..
        } = &self.context;
        shared.metrics.cuts.with_label_values(&[service]).inc();
        tracing::info!(
            id = in_flight.id(),
            server = in_flight.server(),
            service,
            "request: its response was not complete at the deadline."
        );
    }
}

/// Returns the beginning of a body and then the rest of it, as it is received, no faster
/// than it is sent. Disarms the closer of the connection before the connection can be
/// reused.
fn receive_chunks(source: BodySource, closer: ConnectionCloser) -> ChunkStream {
    let BodySource {
        first,
        connection,
        guard,
    } = source;
    let end = move |connection: Box<BackendConnection>, guard: StreamGuard| {
        closer.disarm();
        guard(Ok(*connection));
    };
    let window = SendWindow::default();
    let state = (Some(first), Some((connection, guard, end)));
    let chunks = futures_lite::stream::unfold(state, move |(first, source)| {
        let window = window.clone();
        async move {
            if let Some(first) = first {
                return Some((Ok(window.track(first)), (None, source)));
            }
            let (mut connection, guard, end) = source?;
            window.ready().await;
            match connection.next_chunk().await {
                // The HTTP server stops polling after the last byte of a body of known
                // length, so the attempt ends here.
                Ok(Some(chunk)) if connection.is_read() => {
                    end(connection, guard);
                    Some((Ok(window.track(chunk)), (None, None)))
                }
                Ok(Some(chunk)) => {
                    let chunk = window.track(chunk);
                    Some((Ok(chunk), (None, Some((connection, guard, end)))))
                }
                Ok(None) => {
                    end(connection, guard);
                    None
                }
                Err(error) => {
                    guard(Err(&error));
                    Some((Err(error.into()), (None, None)))
                }
            }
        }
    });
    Box::pin(chunks)
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
                let polled = body.poll_chunk(context);
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
