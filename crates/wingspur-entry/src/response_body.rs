//! Response bodies sent to callers: either complete or visibly cut off.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use http_body_util::Full;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use prometheus::IntCounter;
use wingspur_clock::Timer;
use wingspur_state::{AttemptId, AttemptOutcome, ServerIndex};
use wingspur_transport::{BodyError, PooledConnection, SendWindow, poll_buffered};

use crate::active_bundle::ServiceHandle;
use crate::concurrency_limiter::ConcurrencyPermit;

/// The body of any response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// A body that this box itself has created.
    Local(Full<Bytes>),
    /// The body of a backend server's response, streamed as it arrives.
    Upstream(Box<UpstreamBody>),
}

impl ResponseBody {
    /// Creates a response body from the box's own content.
    pub fn own(body: Full<Bytes>) -> Self {
        Self::Local(body)
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
            Self::Local(body) => poll_buffered(body, context),
            Self::Upstream(body) => body.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Local(body) => body.is_end_stream(),
            Self::Upstream(body) => body.incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Local(body) => body.size_hint(),
            Self::Upstream(body) => body.incoming.size_hint(),
        }
    }
}

/// An attempt in flight; dropping it finishes it as abandoned.
#[derive(Debug)]
pub struct AttemptGuard {
    handle: Arc<ServiceHandle>,
    /// The server that the request is sent to.
    pub server: ServerIndex,
    id: Option<AttemptId>,
}

impl AttemptGuard {
    /// Begins an attempt at a server.
    pub fn begin(handle: Arc<ServiceHandle>, server: ServerIndex) -> Self {
        let id = handle.table.lock().begin(server, wingspur_clock::now());
        Self {
            handle,
            server,
            id: Some(id),
        }
    }

    /// Records that the response head was received.
    pub fn record_head(&self, outcome: AttemptOutcome) {
        if let Some(id) = self.id {
            self.handle.table.lock().record_response_head(
                id,
                outcome,
                wingspur_clock::now(),
            );
        }
    }

    /// Finishes the attempt; only the first call has an effect.
    pub fn finish(&mut self, outcome: AttemptOutcome) {
        if let Some(id) = self.id.take() {
            self.handle
                .table
                .lock()
                .finish(id, outcome, wingspur_clock::now());
        }
    }

    /// Returns the connection of a complete response to the pool.
    fn release_connection(&self, connection: PooledConnection) {
        self.handle.pools[self.server].release(connection);
    }

    fn record_progress(&self) {
        if let Some(id) = self.id {
            self.handle
                .table
                .lock()
                .record_response_progress(id, wingspur_clock::now());
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.finish(AttemptOutcome::Abandoned);
    }
}

/// The body of a backend server's response, with the attempt, connection and permit that
/// are held until its end.
#[derive(Debug)]
pub struct UpstreamBody {
    incoming: Incoming,
    window: SendWindow,
    attempt: AttemptGuard,
    connection: Option<PooledConnection>,
    timer: Timer,
    /// For downloads: the longest time without data; each frame restarts the timer.
    idle_limit: Option<Duration>,
    cuts: IntCounter,
    /// Held until the response is complete.
    _permit: ConcurrencyPermit,
}

/// When a response that is not complete is cut off.
#[derive(Debug, Clone, Copy)]
pub enum BodyTimeout {
    /// At this instant.
    At(Instant),
    /// After this long without data.
    Idle(Duration),
}

impl UpstreamBody {
    /// Creates the body of a response whose head was received.
    pub fn new(
        incoming: Incoming,
        attempt: AttemptGuard,
        connection: PooledConnection,
        timeout: BodyTimeout,
        cuts: IntCounter,
        permit: ConcurrencyPermit,
    ) -> Self {
        let (timer, idle_limit) = match timeout {
            BodyTimeout::At(instant) => (Timer::at(instant), None),
            BodyTimeout::Idle(limit) => (Timer::after(limit), Some(limit)),
        };
        let connection = Some(connection);
        Self {
            incoming,
            window: SendWindow::default(),
            attempt,
            connection,
            timer,
            idle_limit,
            cuts,
            _permit: permit,
        }
    }

    fn poll(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = match self.window.poll_ready(context) {
            Poll::Ready(()) => Pin::new(&mut self.incoming).poll_frame(context),
            Poll::Pending => Poll::Pending,
        };
        match polled {
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(limit) = self.idle_limit {
                    self.timer = Timer::after(limit);
                    self.attempt.record_progress();
                }
                let window = &self.window;
                let frame = frame.map_data(|data| window.track(data));
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.attempt.finish(AttemptOutcome::Failed);
                self.cut(BodyError::from(error))
            }
            Poll::Ready(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Pending => match Pin::new(&mut self.timer).poll(context) {
                Poll::Ready(_) => {
                    self.attempt.finish(AttemptOutcome::Abandoned);
                    self.cut(BodyError::Stalled)
                }
                Poll::Pending => Poll::Pending,
            },
        }
    }

    /// Cuts the response off: closes the server's connection, and returns an error that
    /// also closes the caller's.
    fn cut(&mut self, error: BodyError) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.connection = None;
        self.cuts.inc();
        Poll::Ready(Some(Err(error)))
    }

    /// Finishes a complete response; its connection may serve another request.
    fn finish(&mut self) {
        self.attempt.finish(AttemptOutcome::Answered);
        if let Some(connection) = self.connection.take() {
            self.attempt.release_connection(connection);
        }
    }
}

impl Drop for UpstreamBody {
    fn drop(&mut self) {
        // A body of known length is not polled again after its last byte, so it is
        // finished here.
        if self.connection.is_some() && self.incoming.is_end_stream() {
            self.finish();
        }
    }
}
