//! Parts of a fleet-wide allowance, refilled where boxes add up and lent where they are needed.
//!
//! An allowance grants so much a second over all boxes, and so much at once on top. Nobody
//! holds the whole: each box has a part of it, and a hub those of the boxes that leave theirs
//! to it. A part refills what its share of the rate earns, holds no more than its share of the
//! depth, and lends of that. Why no span holds more than the rate earns and the depth, with
//! what befalls boxes and links, is proved in `docs/design/allowances.md`.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{ClientAccount, ShareHistory, ShareTimestamp};

/// Names an allowance among boxes: the hash of the account's name.
pub type QuotaKey = u64;
/// Names who borrows, at the lender.
pub type LeaseHolderId = u64;

/// What an allowance grants over all boxes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaTerms {
    /// What it grants in a second.
    pub per_s: f64,
    /// What it grants at once on top.
    pub burst: f64,
    /// Whether boxes may hold some of it in stock.
    pub allows_prefetch: bool,
}

/// How far the requests of an account may pass what its limit says, over a span.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaTolerance {
    /// The span, in seconds.
    pub window_s: f64,
    /// The share of the limit that may come on top.
    pub overrun: f64,
    /// Requests that may come on top whatever the limit.
    pub slack: f64,
}

/// A box's part of one allowance.
#[derive(Debug, Clone, Default)]
pub struct QuotaPool {
    level: f64,
    /// Up to when it has refilled; none before it is first asked.
    refilled: Option<ShareTimestamp>,
    /// What borrowers hold in stock, or may.
    loans: HashMap<LeaseHolderId, Loan>,
}

/// What was lent and may not be spent yet.
#[derive(Debug, Clone, Copy)]
struct Loan {
    amount: f64,
    ends: Instant,
}

/// What a box asks for its stock.
#[derive(Debug, Clone, Copy)]
pub struct PrefetchRequest {
    /// Who asks.
    pub borrower: LeaseHolderId,
    /// What it held when it asked.
    pub held: f64,
    /// What it would like on top.
    pub wanted: f64,
}

/// What a box is lent for its stock.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PrefetchGrant {
    /// How much.
    pub amount: f64,
    /// Whether what it held when it asked lasts anew.
    pub renewed: bool,
}

/// What a box has in stock.
#[derive(Debug, Clone, Copy, Default)]
pub struct PrefetchedQuota {
    amount: f64,
    ends: Option<Instant>,
}

impl QuotaTerms {
    /// What an account's limit grants.
    ///
    /// Most of what may come on top of the limit is granted, so that boxes can hold some of
    /// it in stock; the rest is for urgent loans and requests on their way, as reckoned in the
    /// proof.
    pub fn of_account(account: &ClientAccount, quota: &QuotaTolerance) -> Self {
        let limit = account.requests_per_s * quota.window_s + account.burst;
        let on_top =
            quota.overrun * limit * GRANTED_OF_OVERRUN + quota.slack * GRANTED_OF_SLACK;
        Self {
            per_s: account.requests_per_s,
            burst: account.burst + on_top,
            allows_prefetch: true,
        }
    }

    /// What a server's limit grants, in requests a second.
    ///
    /// A server that takes nothing is still sent a few requests, since one that nobody sends
    /// to cannot say that its need is over: `TRICKLE_PER_S`, one in 1.25 s, which with the answer and the
    /// news of it leaves all boxes to know within two seconds. The depth lets what is asked
    /// for at random use nine tenths of the limit.
    pub fn of_server(limit_per_s: f64) -> Self {
        Self {
            per_s: limit_per_s.max(TRICKLE_PER_S),
            burst: SERVER_DEPTH + limit_per_s * SERVER_DEPTH_S,
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
    /// Lends to a box, or takes for this one, what is spent at once, or never: that takes no
    /// more room. The share `reserve` of the room beyond one is left to the more urgent.
    pub fn lease_on_demand(
        &mut self,
        urgent: u32,
        reserve: f64,
        terms: &QuotaTerms,
        clock: &ShareHistory,
        now: Instant,
    ) -> u32 {
        self.refill(terms, clock, now);
        let left = (self.room(terms, clock) - 1.0).max(0.0) * reserve;
        let lent = urgent.min((self.level - left + ROUNDING) as u32);
        self.level -= f64::from(lent);
        lent
    }

    /// Takes back what was lent and not needed; it holds no more by it than it may.
    pub fn return_unused(&mut self, count: u32) {
        self.level += f64::from(count);
    }

    /// Lends to a box for its stock.
    ///
    /// Stocks leave a part of the room to what is refilled, and are lent only of a part that
    /// the box has had for as long as stocks last: what other boxes have lent of it has ended.
    pub fn lease_prefetch(
        &mut self,
        ask: &PrefetchRequest,
        terms: &QuotaTerms,
        clock: &ShareHistory,
        now: Instant,
    ) -> PrefetchGrant {
        if let Some(loan) = self.loans.get_mut(&ask.borrower) {
            // It has spent the rest: that is no longer held by anybody.
            loan.amount = loan.amount.min(ask.held);
        }
        self.refill(terms, clock, now);
        let room = (terms.burst * clock.prefetch_share(terms) - self.lent()).max(0.0);
        let amount = ask.wanted.min(self.level * MOST_AT_ONCE_SHARE).min(room);
        self.level -= amount;
        // What it held of a loan that has ended is not counted here any more. Nothing lasts
        // anew while more is lent than the part has room for: another box has a part of that.
        let held = self
            .loans
            .get(&ask.borrower)
            .map_or(0.0, |loan| loan.amount);
        let renewed =
            held > 0.0 && self.lent() <= terms.burst * clock.prefetch_share(terms);
        if renewed || amount > 0.0 {
            let loan = Loan {
                amount: held + amount,
                ends: now + PREFETCH_LEASE_TTL,
            };
            self.loans.insert(ask.borrower, loan);
        }
        PrefetchGrant { amount, renewed }
    }

    /// How long until there is one more.
    pub fn time_to_next_token(
        &self,
        terms: &QuotaTerms,
        clock: &ShareHistory,
    ) -> Duration {
        let per_s = terms.per_s * clock.share();
        let missing = (1.0 - self.level).max(0.0);
        let wait_s = missing / per_s.max(LEAST_PER_S);
        Duration::from_secs_f64(wait_s.min(LONGEST_WAIT_S))
    }

    /// Whether it holds all that it may, so that a pool made anew would decide alike.
    pub fn is_full(
        &mut self,
        terms: &QuotaTerms,
        clock: &ShareHistory,
        now: Instant,
    ) -> bool {
        self.refill(terms, clock, now);
        self.loans.is_empty() && self.level >= self.room(terms, clock)
    }

    /// Refills what the part has earned, as far as there is room for it: what is lent and may
    /// not be spent yet takes room.
    fn refill(&mut self, terms: &QuotaTerms, clock: &ShareHistory, now: Instant) {
        self.loans.retain(|_, loan| loan.ends > now);
        let held = self.refilled.map(|mark| (self.level, mark));
        self.level = clock
            .refilled_level(held, terms)
            .min(self.room(terms, clock));
        self.refilled = Some(clock.timestamp());
    }

    /// How much it may hold: where the part has shrunk, stocks that were lent before may take
    /// more than their share.
    fn room(&self, terms: &QuotaTerms, clock: &ShareHistory) -> f64 {
        let stocks = terms.burst * clock.prefetch_share(terms);
        let rest = terms.burst * clock.burst_share(terms) - stocks;
        rest + (stocks - self.lent()).max(0.0)
    }

    /// What borrowers hold in stock, or may.
    fn lent(&self) -> f64 {
        self.loans.values().map(|loan| loan.amount).sum()
    }
}

impl PrefetchedQuota {
    /// What is left, and for how long.
    pub fn remaining(&self, now: Instant) -> (f64, Duration) {
        match self.ends {
            Some(ends) if ends > now => (self.amount, ends - now),
            _ => (0.0, Duration::ZERO),
        }
    }

    /// Spends one; whether there was one.
    pub fn take(&mut self, now: Instant) -> bool {
        let (left, _) = self.remaining(now);
        if left < 1.0 {
            return false;
        }
        self.amount -= 1.0;
        true
    }

    /// Adds a loan to what is left of the ones before, if the lender counts that with it.
    ///
    /// One that does not, as a hub that has just taken over, leaves it to its former end.
    pub fn add(&mut self, amount: f64, renewed: bool, ends: Instant, now: Instant) {
        let (left, _) = self.remaining(now);
        let former = self.ends.filter(|_| left > 0.0 && !renewed);
        self.amount = left + amount;
        self.ends = Some(former.map_or(ends, |former| former.min(ends)));
    }
}

/// How long a stock lasts, from when it was asked for. Long enough that a box whose hub is
/// lost serves on until it has another, about a second; short enough that what was lent to a
/// box which is lost comes back soon.
pub const PREFETCH_LEASE_TTL: Duration = Duration::from_secs(3);
/// Of what may come on top of a limit, so much is granted. With a limit over five seconds
/// and a tenth on top, what is left is 0.45 s of the rate and two requests: an urgent loan is
/// spent 0.2 s after it was minted, and its request at its server 0.25 s later.
const GRANTED_OF_OVERRUN: f64 = 0.1;
const GRANTED_OF_SLACK: f64 = 0.9;
/// No stock takes more than this share of what is there at once.
const MOST_AT_ONCE_SHARE: f64 = 0.25;
/// Parts of a whole add up to a little less in floating point.
const ROUNDING: f64 = 1e-9;
/// In four seconds that is 3.2 requests; with the depth 4.7, beneath the five that come on top
/// of any limit.
const TRICKLE_PER_S: f64 = 0.8;
/// What servers may be sent at once on top of their limits: requests, and seconds of the limit.
const SERVER_DEPTH: f64 = 1.5;
const SERVER_DEPTH_S: f64 = 0.4;
const LEAST_PER_S: f64 = 0.01;
const LONGEST_WAIT_S: f64 = 10.0;
