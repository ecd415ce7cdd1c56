//! Rate limits of caller accounts.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// A token bucket for each caller account, in bounded memory.
#[derive(Debug, Default)]
pub struct AccountLimiter {
    buckets: HashMap<u64, AccountBucket>,
}

#[derive(Debug, Clone, Copy)]
struct AccountBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl AccountLimiter {
    /// Takes one token from the account's bucket; returns false if it has less than one.
    pub fn take(&mut self, account: u64, requests_per_s: f64, now: Instant) -> bool {
        let capacity = requests_per_s * BURST_S;
        if self.buckets.len() >= MAX_ACCOUNTS && !self.buckets.contains_key(&account) {
            self.evict_idle(now);
        }
        let full = AccountBucket {
            tokens: capacity,
            refilled_at: now,
        };
        let bucket = self.buckets.entry(account).or_insert(full);
        let elapsed_s = now
            .saturating_duration_since(bucket.refilled_at)
            .as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed_s * requests_per_s).min(capacity);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    /// Returns the number of accounts that have a bucket.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Returns whether no account has a bucket.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Removes buckets that have been idle long enough to be full again, and all buckets
    /// if none has: a full bucket and a missing one decide the same.
    fn evict_idle(&mut self, now: Instant) {
        let idle = Duration::from_secs_f64(BURST_S);
        self.buckets
            .retain(|_, bucket| now.saturating_duration_since(bucket.refilled_at) < idle);
        if self.buckets.len() >= MAX_ACCOUNTS {
            self.buckets.clear();
        }
    }
}

/// A bucket holds this many seconds of the account's rate.
const BURST_S: f64 = 2.0;
/// Maximum number of buckets; each takes 32 bytes including the map's overhead.
const MAX_ACCOUNTS: usize = 65_536;
