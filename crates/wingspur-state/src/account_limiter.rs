//! Limits: how much one caller account may take.

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
    refilled: Instant,
}

impl AccountLimiter {
    /// Takes one request from the account's bucket; false when it is empty.
    pub fn take(&mut self, account: u64, requests_per_s: f64, now: Instant) -> bool {
        let most = requests_per_s * BURST_S;
        if self.buckets.len() >= MOST_ACCOUNTS && !self.buckets.contains_key(&account) {
            self.forget_idle(now);
        }
        let full = AccountBucket {
            tokens: most,
            refilled: now,
        };
        let bucket = self.buckets.entry(account).or_insert(full);
        let passed = now.saturating_duration_since(bucket.refilled).as_secs_f64();
        bucket.tokens = (bucket.tokens + passed * requests_per_s).min(most);
        bucket.refilled = now;
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    /// Accounts held at present.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether no account is held.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Drops buckets that have refilled, and all if none had: a full bucket and a
    /// missing one decide alike.
    fn forget_idle(&mut self, now: Instant) {
        let idle = Duration::from_secs_f64(BURST_S);
        self.buckets
            .retain(|_, bucket| now.saturating_duration_since(bucket.refilled) < idle);
        if self.buckets.len() >= MOST_ACCOUNTS {
            self.buckets.clear();
        }
    }
}

/// A bucket holds this many seconds of the account's rate.
const BURST_S: f64 = 2.0;
/// Buckets kept at most; 32 bytes each with the map's overhead.
const MOST_ACCOUNTS: usize = 65_536;
