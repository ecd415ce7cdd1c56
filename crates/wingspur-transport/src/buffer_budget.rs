//! Bounds the memory of what a box buffers, over all its connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use bytes::Bytes;

/// How many bytes a box may buffer. Each buffer has its first [`UNLEASED_BYTES`] free, and
/// leases what it needs beyond them.
#[derive(Debug)]
pub struct BufferBudget {
    limit_bytes: AtomicUsize,
    leased_bytes: AtomicUsize,
    /// Leases that were not granted, since the start.
    denied: AtomicU64,
    /// Whether a lease was denied since half of the budget was last free.
    is_short: AtomicBool,
}

/// Bytes of a budget that are leased until this is dropped.
#[derive(Debug)]
pub struct BufferLease {
    budget: Arc<BufferBudget>,
    bytes: usize,
}

/// A buffer that grows within a budget.
#[derive(Debug)]
pub struct LeasedBuffer {
    bytes: Vec<u8>,
    lease: BufferLease,
}

impl BufferBudget {
    /// Creates a budget of which nothing is leased.
    pub fn new(limit_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            limit_bytes: AtomicUsize::new(limit_bytes),
            leased_bytes: AtomicUsize::new(0),
            denied: AtomicU64::new(0),
            is_short: AtomicBool::new(false),
        })
    }

    /// Creates a budget without a limit.
    pub fn unlimited() -> Arc<Self> {
        Self::new(usize::MAX)
    }

    /// Changes the limit. Leases beyond a lower one stay until they are dropped.
    pub fn set_limit(&self, limit_bytes: usize) {
        self.limit_bytes.store(limit_bytes, Ordering::Relaxed);
    }

    /// Returns how many bytes are leased.
    pub fn leased_bytes(&self) -> usize {
        self.leased_bytes.load(Ordering::Relaxed)
    }

    /// Returns how many leases were denied since the start.
    pub fn denied(&self) -> u64 {
        self.denied.load(Ordering::Relaxed)
    }

    fn reserve(&self, bytes: usize) -> bool {
        let limit_bytes = self.limit_bytes.load(Ordering::Relaxed);
        let add = |leased: usize| {
            let total = leased.checked_add(bytes);
            total.filter(|total| *total <= limit_bytes)
        };
        let (order, fetch_order) = (Ordering::AcqRel, Ordering::Acquire);
        if self
            .leased_bytes
            .fetch_update(order, fetch_order, add)
            .is_ok()
        {
            return true;
        }
        self.denied.fetch_add(1, Ordering::Relaxed);
        if !self.is_short.swap(true, Ordering::AcqRel) {
            tracing::warn!(
                leased_bytes = self.leased_bytes(),
                limit_bytes,
                "memory: the limit for buffers is reached."
            );
        }
        false
    }

    fn release(&self, bytes: usize) {
        let leased_bytes = self.leased_bytes.fetch_sub(bytes, Ordering::AcqRel) - bytes;
        let half_bytes = self.limit_bytes.load(Ordering::Relaxed) / 2;
        if leased_bytes <= half_bytes
            && self.is_short.load(Ordering::Relaxed)
            && self.is_short.swap(false, Ordering::AcqRel)
        {
            let denied = self.denied();
            tracing::info!(
                leased_bytes,
                denied,
                "memory: half of the buffers is free again."
            );
        }
    }
}

impl BufferLease {
    /// Creates a lease of nothing.
    pub fn empty(budget: Arc<BufferBudget>) -> Self {
        Self { budget, bytes: 0 }
    }

    /// Grows the lease to this many bytes; returns false and changes nothing if fewer are
    /// left. A lease that is larger stays so.
    #[must_use]
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(self.bytes);
        let grows = missing == 0 || self.budget.reserve(missing);
        if grows {
            self.bytes += missing;
        }
        grows
    }

    /// Keeps the lease until the bytes and all their clones and parts are dropped.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        match self.bytes {
            0 => bytes,
            _ => Bytes::from_owner(HeldBytes {
                bytes,
                _lease: self,
            }),
        }
    }
}

impl Drop for BufferLease {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.budget.release(self.bytes);
        }
    }
}

struct HeldBytes {
    bytes: Bytes,
    _lease: BufferLease,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl LeasedBuffer {
    /// Creates an empty buffer.
    pub fn new(budget: Arc<BufferBudget>) -> Self {
        Self {
            bytes: Vec::new(),
            lease: BufferLease::empty(budget),
        }
    }

    /// Appends bytes. Returns false if the budget has too little left for them; they are
    /// appended all the same, and no others should be.
    #[must_use]
    pub fn extend(&mut self, bytes: &[u8]) -> bool {
        let needed = self.bytes.len() + bytes.len();
        let mut is_leased = true;
        if needed > self.bytes.capacity() {
            // Doubles at first, so that each byte is copied a few times at most.
            let capacity = needed.next_power_of_two().min(needed + MAX_GROWTH_BYTES);
            is_leased = self.lease.grow_to(capacity.saturating_sub(UNLEASED_BYTES));
            let capacity = if is_leased { capacity } else { needed };
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        is_leased
    }

    /// Returns the number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the bytes; they keep the lease until they are dropped.
    pub fn into_bytes(self) -> Bytes {
        self.lease.hold(Bytes::from(self.bytes))
    }
}

/// What each buffer has free: as much as a connection reads at once.
pub const UNLEASED_BYTES: usize = 16 << 10;
/// Limits how much more than its bytes a long buffer leases.
const MAX_GROWTH_BYTES: usize = 128 << 10;
