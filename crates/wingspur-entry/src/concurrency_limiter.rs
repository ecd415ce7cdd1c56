//! Limits the concurrent requests of one route class of a service.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_lite::FutureExt;
use smol::lock::{Semaphore, SemaphoreGuardArc};
use wingspur_protocol::ResultCode;
use wingspur_state::Limits;

/// Limits how many requests run at once, and how many wait for a permit.
#[derive(Debug)]
pub struct ConcurrencyLimiter {
    permits: Arc<Semaphore>,
    waiting: AtomicUsize,
    max_waiting: usize,
}

/// The permit to run one request; dropping it releases it.
pub type ConcurrencyPermit = SemaphoreGuardArc;

impl ConcurrencyLimiter {
    /// Creates a limiter without any requests.
    pub fn new(limits: &Limits) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(limits.concurrency)),
            waiting: AtomicUsize::new(0),
            max_waiting: limits.queue,
        }
    }

    /// Acquires a permit and waits for it at most `timeout`, after which it fails with
    /// `DeadlineBeforeSend`. Fails at once with `ServiceQueueFull` if too many requests
    /// wait already.
    pub async fn acquire(
        &self,
        timeout: Duration,
    ) -> Result<ConcurrencyPermit, ResultCode> {
        if let Some(permit) = self.permits.try_acquire_arc() {
            return Ok(permit);
        }
        if self.waiting.fetch_add(1, Ordering::AcqRel) >= self.max_waiting {
            self.waiting.fetch_sub(1, Ordering::AcqRel);
            return Err(ResultCode::ServiceQueueFull);
        }
        let _waiting = WaitingGuard(&self.waiting);
        let acquired = async { Ok(self.permits.acquire_arc().await) };
        let expired = async {
            wingspur_clock::sleep(timeout).await;
            Err(ResultCode::DeadlineBeforeSend)
        };
        acquired.or(expired).await
    }
}

struct WaitingGuard<'a>(&'a AtomicUsize);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
