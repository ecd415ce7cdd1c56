//! The places of one concern: a service and a class of its work.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_lite::FutureExt;
use smol::lock::{Semaphore, SemaphoreGuardArc};
use wingspur_protocol::ResultCode;
use wingspur_state::Limits;

/// Lets so many requests through at once, and so many wait.
#[derive(Debug)]
pub struct ConcurrencyLimiter {
    places: Arc<Semaphore>,
    waiting: AtomicUsize,
    queue: usize,
}

/// A place in a concern; dropping it gives the place back.
pub type ConcurrencyPermit = SemaphoreGuardArc;

impl ConcurrencyLimiter {
    /// An idle concern.
    pub fn new(limits: &Limits) -> Self {
        Self {
            places: Arc::new(Semaphore::new(limits.concurrency)),
            waiting: AtomicUsize::new(0),
            queue: limits.queue,
        }
    }

    /// Takes a place, waiting at most `patience`; a full queue refuses at once.
    pub async fn acquire(
        &self,
        patience: Duration,
    ) -> Result<ConcurrencyPermit, ResultCode> {
        if let Some(place) = self.places.try_acquire_arc() {
            return Ok(place);
        }
        if self.waiting.fetch_add(1, Ordering::AcqRel) >= self.queue {
            self.waiting.fetch_sub(1, Ordering::AcqRel);
            return Err(ResultCode::ServiceQueueFull);
        }
        let _waiting = Waiting(&self.waiting);
        let acquired = async { Ok(self.places.acquire_arc().await) };
        let expired = async {
            wingspur_clock::sleep(patience).await;
            Err(ResultCode::DeadlineBeforeSend)
        };
        acquired.or(expired).await
    }
}

struct Waiting<'a>(&'a AtomicUsize);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
