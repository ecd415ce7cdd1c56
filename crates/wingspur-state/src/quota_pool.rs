//! Token buckets for the boxes' shares of fleet-wide quotas, from which quota is leased
//! to other boxes.
//!
//! A quota grants a rate and a burst over all boxes. No box holds all of it: each box has
//! a share, and a hub also has the shares of the boxes that delegate theirs to it. The
//! pool of a share refills at that share of the rate, holds at most that share of the
//! burst, and grants leases from what it holds. `docs/design/allowances.md` proves that
//! no span of time holds more than the rate earns plus the burst, whatever happens to
//! boxes and links.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{ClientAccount, ShareHistory, ShareTimestamp};

/// Identifies a quota between boxes: the hash of the name of its account or server.
pub type QuotaKey = u64;
/// Identifies the box that holds a lease, at the allocator.
pub type LeaseHolderId = u64;

/// What a quota grants over all boxes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaTerms {
    /// Tokens per second.
    pub per_s: f64,
    /// Tokens granted at once on top of the rate.
    pub burst: f64,
    /// Whether boxes may hold prefetched tokens of it.
    pub allows_prefetch: bool,
}

/// How far the requests of an account may exceed its limit over a window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaTolerance {
    /// The length of the window, in seconds.
    pub window_s: f64,
    /// The fraction of the limit that is allowed on top of it.
    pub overrun: f64,
    /// Requests allowed on top in any window, whatever the limit.
    pub slack: f64,
}

/// A box's token bucket for its share of one quota.
#[derive(Debug, Clone, Default)]
pub struct QuotaPool {
    level: f64,
    /// The point of the share history up to which it has been refilled; `None` before its
    /// first use.
    refilled_at: Option<ShareTimestamp>,
    /// Prefetch leases that have not expired: other boxes hold their tokens, or may.
    leases: HashMap<LeaseHolderId, PrefetchLease>,
}

/// Prefetched tokens of one box that may not have been spent yet.
#[derive(Debug, Clone, Copy)]
struct PrefetchLease {
    amount: f64,
    expires_at: Instant,
}

/// A box's request for prefetched tokens.
#[derive(Debug, Clone, Copy)]
pub struct PrefetchRequest {
    /// The box that asks.
    pub holder: LeaseHolderId,
    /// The prefetched tokens that it held when it asked.
    pub held: f64,
    /// The tokens that it wants in addition.
    pub wanted: f64,
}

/// The response to a prefetch request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PrefetchGrant {
    /// The tokens granted.
    pub amount: f64,
    /// Whether the tokens that the box held when it asked are valid for another lease
    /// lifetime.
    pub renewed: bool,
}

/// The prefetched tokens that a box holds.
#[derive(Debug, Clone, Copy, Default)]
pub struct PrefetchedQuota {
    amount: f64,
    expires_at: Option<Instant>,
}

impl QuotaTerms {
    /// Returns the terms of an account's limit.
    ///
    /// `GRANTED_OF_OVERRUN` of the overrun and `GRANTED_OF_SLACK` of the slack are added
    /// to the burst, so that boxes can hold prefetched tokens. The remainder covers
    /// on-demand leases and requests in flight, as calculated in
    /// `docs/design/allowances.md`.
    pub fn of_account(account: &ClientAccount, quota: &QuotaTolerance) -> Self {
        let limit = account.requests_per_s * quota.window_s + account.burst;
        let tolerance =
            quota.overrun * limit * GRANTED_OF_OVERRUN + quota.slack * GRANTED_OF_SLACK;
        Self {
            per_s: account.requests_per_s,
            burst: account.burst + tolerance,
            allows_prefetch: true,
        }
    }

    /// Returns the terms of a server's limit, in requests per second.
    ///
    /// The rate is at least `MIN_SERVER_RATE_PER_S`, one request in 1.25 s, even for a
    /// server that accepts nothing: a server that receives no requests cannot report that
    /// its limit has ended. Together with the response and the update to the other boxes,
    /// all boxes know of the end within two seconds. With this burst, requests at random
    /// times can use nine tenths of the limit.
    pub fn of_server(limit_per_s: f64) -> Self {
        Self {
            per_s: limit_per_s.max(MIN_SERVER_RATE_PER_S),
            burst: SERVER_BURST_REQUESTS + limit_per_s * SERVER_BURST_S,
            allows_prefetch: false,
        }
    }
}

impl Default for QuotaTolerance {
    fn default() -> Self {
        Self {
            window_s: 5.0,
            overrun: 0.1,
            slack: 20.0,
        }
    }
}

impl QuotaPool {
    /// Takes tokens for requests that are waiting at another box or at this one, and
    /// returns how many: at most `wanted`. They are spent within `ON_DEMAND_LEASE_TTL` or
    /// never, so they take up no capacity afterwards. The fraction `reserve` of the
    /// capacity beyond one token is kept back for more urgent requests.
    pub fn lease_on_demand(
        &mut self,
        wanted: u32,
        reserve: f64,
        terms: &QuotaTerms,
        history: &ShareHistory,
        now: Instant,
    ) -> u32 {
        self.refill(terms, history, now);
        let reserved = (self.capacity(terms, history) - 1.0).max(0.0) * reserve;
        let granted = wanted.min((self.level - reserved + ROUNDING_TOLERANCE) as u32);
        self.level -= f64::from(granted);
        granted
    }

    /// Returns leased tokens that were not needed. The next refill limits the level to
    /// the capacity.
    pub fn return_unused(&mut self, count: u32) {
        self.level += f64::from(count);
    }

    /// Grants a lease on prefetched tokens to a box.
    ///
    /// Prefetch leases leave part of the capacity to the refill. They are granted only
    /// from the share that this box has had for at least `PREFETCH_LEASE_TTL`: all leases
    /// that other boxes granted from it have expired by then.
    pub fn lease_prefetch(
        &mut self,
        request: &PrefetchRequest,
        terms: &QuotaTerms,
        history: &ShareHistory,
        now: Instant,
    ) -> PrefetchGrant {
        if let Some(lease) = self.leases.get_mut(&request.holder) {
            // The box has spent the remainder, so nobody holds it any more.
            lease.amount = lease.amount.min(request.held);
        }
        self.refill(terms, history, now);
        let available =
            (terms.burst * history.prefetch_share(terms) - self.leased()).max(0.0);
        let amount = request
            .wanted
            .min(self.level * MAX_PREFETCH_OF_LEVEL)
            .min(available);
        self.level -= amount;
        // Tokens of an expired lease are not counted here. Nothing is renewed while more
        // is leased out than the share has room for, since another box then has part of
        // that share.
        let held = self
            .leases
            .get(&request.holder)
            .map_or(0.0, |lease| lease.amount);
        let renewed =
            held > 0.0 && self.leased() <= terms.burst * history.prefetch_share(terms);
        if renewed || amount > 0.0 {
            let lease = PrefetchLease {
                amount: held + amount,
                expires_at: now + PREFETCH_LEASE_TTL,
            };
            self.leases.insert(request.holder, lease);
        }
        PrefetchGrant { amount, renewed }
    }

    /// Returns the time until the pool has a whole token at the current share, at most
    /// `MAX_WAIT_S`.
    pub fn time_to_next_token(
        &self,
        terms: &QuotaTerms,
        history: &ShareHistory,
    ) -> Duration {
        let per_s = terms.per_s * history.share();
        let missing = (1.0 - self.level).max(0.0);
        let wait_s = missing / per_s.max(MIN_REFILL_PER_S);
        Duration::from_secs_f64(wait_s.min(MAX_WAIT_S))
    }

    /// Refills the pool and returns how many whole tokens it holds.
    pub fn whole_tokens(
        &mut self,
        terms: &QuotaTerms,
        history: &ShareHistory,
        now: Instant,
    ) -> u32 {
        self.refill(terms, history, now);
        (self.level + ROUNDING_TOLERANCE) as u32
    }

    /// Returns how many whole tokens the pool will have within `span` at the current
    /// share, if none are taken meanwhile.
    pub fn tokens_due(
        &self,
        span: Duration,
        terms: &QuotaTerms,
        history: &ShareHistory,
    ) -> u32 {
        let earned = terms.per_s * history.share() * span.as_secs_f64();
        (self.level + earned + ROUNDING_TOLERANCE).max(0.0) as u32
    }

    /// Refills the pool and returns whether it is at capacity with no lease outstanding.
    /// A new pool would then make the same decisions.
    pub fn is_full(
        &mut self,
        terms: &QuotaTerms,
        history: &ShareHistory,
        now: Instant,
    ) -> bool {
        self.refill(terms, history, now);
        self.leases.is_empty() && self.level >= self.capacity(terms, history)
    }

    /// Drops expired leases and adds what the share has earned since the last refill, up
    /// to the capacity. Outstanding leases take up capacity, since their tokens may not
    /// have been spent yet.
    fn refill(&mut self, terms: &QuotaTerms, history: &ShareHistory, now: Instant) {
        self.leases.retain(|_, lease| lease.expires_at > now);
        let held = self
            .refilled_at
            .map(|refilled_at| (self.level, refilled_at));
        self.level = history
            .refilled_level(held, terms)
            .min(self.capacity(terms, history));
        self.refilled_at = Some(history.timestamp());
    }

    /// Returns how many tokens the pool may hold besides its leases. Where the share has
    /// shrunk, earlier leases may exceed the capacity for prefetching.
    fn capacity(&self, terms: &QuotaTerms, history: &ShareHistory) -> f64 {
        let prefetch_capacity = terms.burst * history.prefetch_share(terms);
        let on_demand_capacity =
            terms.burst * history.burst_share(terms) - prefetch_capacity;
        on_demand_capacity + (prefetch_capacity - self.leased()).max(0.0)
    }

    /// Returns the tokens of all prefetch leases that have not expired.
    fn leased(&self) -> f64 {
        self.leases.values().map(|lease| lease.amount).sum()
    }
}

impl PrefetchedQuota {
    /// Returns the tokens left and the time until they expire, both zero once they have
    /// expired.
    pub fn remaining(&self, now: Instant) -> (f64, Duration) {
        match self.expires_at {
            Some(expires_at) if expires_at > now => (self.amount, expires_at - now),
            _ => (0.0, Duration::ZERO),
        }
    }

    /// Spends one token and returns whether there was one.
    pub fn take(&mut self, now: Instant) -> bool {
        let (left, _) = self.remaining(now);
        if left < 1.0 {
            return false;
        }
        self.amount -= 1.0;
        true
    }

    /// Adds granted tokens to what is left of earlier leases. If the allocator renewed
    /// these, all tokens expire at `ends`.
    ///
    /// An allocator that did not, such as a hub that has just taken over, does not count
    /// the earlier tokens: then all of them expire no later than the earlier ones.
    pub fn add(&mut self, amount: f64, renewed: bool, ends: Instant, now: Instant) {
        let (left, _) = self.remaining(now);
        let earlier = self.expires_at.filter(|_| left > 0.0 && !renewed);
        self.amount = left + amount;
        self.expires_at = Some(earlier.map_or(ends, |earlier| earlier.min(ends)));
    }
}

/// Lifetime of a prefetch lease, from the time of the request. It is long enough that a
/// box whose hub is lost can serve requests until it has another hub, about a second, and
/// short enough that tokens leased to a lost box soon become available again.
pub const PREFETCH_LEASE_TTL: Duration = Duration::from_secs(3);
/// The fractions of the overrun and of the slack that are added to the burst. With a
/// limit over five seconds and an overrun of a tenth, 0.45 s of the rate and two requests
/// of the tolerance remain: an on-demand lease is spent up to 0.2 s after its tokens were
/// earned, and its request arrives at its server up to 0.25 s later.
const GRANTED_OF_OVERRUN: f64 = 0.1;
const GRANTED_OF_SLACK: f64 = 0.9;
/// A prefetch lease takes at most this fraction of the pool's level.
const MAX_PREFETCH_OF_LEVEL: f64 = 0.25;
/// Tolerance in tokens: the sum of fractional parts may fall slightly short in floating
/// point.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// In four seconds this makes 3.2 requests, with the fixed part of the burst 4.7: fewer
/// than the five that are tolerated on top of any limit.
const MIN_SERVER_RATE_PER_S: f64 = 0.8;
/// Burst of a server's limit: a fixed number of requests, and seconds of the limit.
const SERVER_BURST_REQUESTS: f64 = 1.5;
const SERVER_BURST_S: f64 = 0.4;
const MIN_REFILL_PER_S: f64 = 0.01;
const MAX_WAIT_S: f64 = 10.0;
