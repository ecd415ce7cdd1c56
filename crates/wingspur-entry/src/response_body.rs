//! The answer's body on its way to the caller, cut or whole, never in between.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use http_body_util::Full;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use prometheus::IntCounter;
use wingspur_clock::Timer;
use wingspur_state::{AttemptId, AttemptOutcome, ServerIndex};
use wingspur_transport::{BodyError, PooledConnection, poll_buffered};

use crate::active_bundle::ServiceHandle;
use crate::concurrency_limiter::ConcurrencyPermit;

/// The body of any answer to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// Wingspur's own.
    Local(Full<Bytes>),
    /// A backend server's, passed on as it comes.
    Upstream(Box<UpstreamBody>),
}

impl ResponseBody {
    /// A body of wingspur's own.
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

/// An attempt that is out; dropping it counts it as abandoned.
#[derive(Debug)]
pub struct AttemptGuard {
    handle: Arc<ServiceHandle>,
    /// The server it is at.
    pub server: ServerIndex,
    id: Option<AttemptId>,
}

impl AttemptGuard {
    /// Begins an attempt.
    pub fn begin(handle: Arc<ServiceHandle>, server: ServerIndex) -> Self {
        let id = handle.table.lock().begin(server, wingspur_clock::now());
        Self {
            handle,
            server,
            id: Some(id),
        }
    }

    /// Notes that the answer's head came.
    pub fn head(&self, outcome: AttemptOutcome) {
        if let Some(id) = self.id {
            self.handle.table.lock().record_response_head(
                id,
                outcome,
                wingspur_clock::now(),
            );
        }
    }

    /// Ends the attempt.
    pub fn finish(&mut self, outcome: AttemptOutcome) {
        if let Some(id) = self.id.take() {
            self.handle
                .table
                .lock()
                .finish(id, outcome, wingspur_clock::now());
        }
    }

    /// Gives the connection of a whole answer back to the pool.
    fn give_back(&self, lease: PooledConnection) {
        self.handle.pools[self.server].release(lease);
    }

    fn progress(&self) {
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

/// A backend server's body with all that is bound to it.
#[derive(Debug)]
pub struct UpstreamBody {
    incoming: Incoming,
    attempt: AttemptGuard,
    lease: Option<PooledConnection>,
    timer: Timer,
    /// For downloads: the longest standstill; the timer starts anew with each byte.
    standstill: Option<Duration>,
    cuts: IntCounter,
    /// Held until the answer is through.
    _place: ConcurrencyPermit,
}

/// When an answer that is not through is cut.
#[derive(Debug, Clone, Copy)]
pub enum BodyTimeout {
    /// At this instant.
    At(Instant),
    /// When no byte came for so long.
    Idle(Duration),
}

impl UpstreamBody {
    /// Passes on an answer whose head has come.
    pub fn new(
        incoming: Incoming,
        attempt: AttemptGuard,
        lease: PooledConnection,
        rule: BodyTimeout,
        cuts: IntCounter,
        place: ConcurrencyPermit,
    ) -> Self {
        let (timer, standstill) = match rule {
            BodyTimeout::At(instant) => (Timer::at(instant), None),
            BodyTimeout::Idle(limit) => (Timer::after(limit), Some(limit)),
        };
        let lease = Some(lease);
        Self {
            incoming,
            attempt,
            lease,
            timer,
            standstill,
            cuts,
            _place: place,
        }
    }

    fn poll(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match Pin::new(&mut self.incoming).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(limit) = self.standstill {
                    self.timer = Timer::after(limit);
                    self.attempt.progress();
                }
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

    /// The answer breaks off: its connection closes, and so does the caller's.
    fn cut(&mut self, error: BodyError) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.lease = None;
        self.cuts.inc();
        Poll::Ready(Some(Err(error)))
    }

    /// The answer is through: its connection may serve another request.
    fn finish(&mut self) {
        self.attempt.finish(AttemptOutcome::Answered);
        if let Some(lease) = self.lease.take() {
            self.attempt.give_back(lease);
        }
    }
}

impl Drop for UpstreamBody {
    fn drop(&mut self) {
        // A body whose length is known is not polled past its last byte.
        if self.lease.is_some() && self.incoming.is_end_stream() {
            self.finish();
        }
    }
}
