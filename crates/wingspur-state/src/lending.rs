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

use crate::ClientAccount;

/// Names an allowance among boxes: the hash of the account's name.
pub type AllowanceKey = u64;
/// Names who borrows, at the lender.
pub type BorrowerId = u64;

/// What an allowance grants over all boxes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AllowanceTerms {
    /// What it grants in a second.
    pub per_s: f64,
    /// What it grants at once on top.
    pub depth: f64,
}

/// How far the requests of an account may pass what its limit says, over a span.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaSettings {
    /// The span, in seconds.
    pub window_s: f64,
    /// The share of the limit that may come on top.
    pub overrun: f64,
    /// Requests that may come on top whatever the limit.
    pub slack: f64,
}

/// For how long a box has had which part of all allowances.
///
/// Purpose: pools are looked at when they are asked only; each then refills by what this box's
/// part was in the meantime, moment by moment, and not by what it happens to be.
#[derive(Debug, Clone)]
pub struct PartClock {
    part: f64,
    seen: Instant,
    /// The sum of part times time, in seconds of the whole.
    whole_s: f64,
}

/// A box's part of one allowance.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    level: f64,
    /// Up to where on the part's clock it has refilled.
    refilled_whole_s: f64,
    /// What borrowers hold in stock, or may.
    loans: HashMap<BorrowerId, Loan>,
}

/// What was lent and may not be spent yet.
#[derive(Debug, Clone, Copy)]
struct Loan {
    amount: f64,
    ends: Instant,
}

/// What a box asks for its stock.
#[derive(Debug, Clone, Copy)]
pub struct StockAsk {
    /// Who asks.
    pub borrower: BorrowerId,
    /// What it held when it asked.
    pub held: f64,
    /// What it would like on top.
    pub wanted: f64,
}

/// What a box is lent for its stock.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Stocked {
    /// How much.
    pub amount: f64,
    /// Whether what it held when it asked lasts anew.
    pub renewed: bool,
}

/// What a box has in stock.
#[derive(Debug, Clone, Copy, Default)]
pub struct Stock {
    amount: f64,
    ends: Option<Instant>,
}

impl AllowanceTerms {
    /// What an account's limit grants.
    ///
    /// Most of what may come on top of the limit is granted, so that boxes can hold some of
    /// it in stock; the rest is for what urgent loans on their way and counts of boxes that
    /// are late may add, as reckoned in the proof.
    pub fn of_account(account: &ClientAccount, quota: &QuotaSettings) -> Self {
        let limit = account.requests_per_s * quota.window_s + account.burst;
        let on_top =
            quota.overrun * limit * GRANTED_OF_OVERRUN + quota.slack * GRANTED_OF_SLACK;
        Self {
            per_s: account.requests_per_s,
            depth: account.burst + on_top,
        }
    }

    /// The same with no more than what is left of the burst; where that is a debt, nothing is
    /// granted until it is worked off, but for what may come on top.
    pub fn with_burst_left(self, account: &ClientAccount, left: f64) -> Self {
        let used = (account.burst - left).max(0.0);
        Self {
            depth: (self.depth - used).max(0.0),
            ..self
        }
    }

    /// A part of it.
    fn part(&self, part: f64) -> Self {
        Self {
            per_s: self.per_s * part,
            depth: self.depth * part,
        }
    }
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self {
            window_s: 5.0,
            overrun: 0.1,
            slack: 20.0,
        }
    }
}

impl PartClock {
    /// A box that has no part yet.
    pub fn new(now: Instant) -> Self {
        Self {
            part: 0.0,
            seen: now,
            whole_s: 0.0,
        }
    }

    /// Notes this box's part from now on. Between two notes it had the smaller of both.
    pub fn note(&mut self, part: f64, now: Instant) {
        let passed_s = now.saturating_duration_since(self.seen).as_secs_f64();
        self.whole_s += passed_s * self.part.min(part);
        self.part = part;
        self.seen = now;
    }

    /// The part that this box has.
    pub fn part(&self) -> f64 {
        self.part
    }
}

impl Pool {
    /// Takes one for this box itself; whether there was one.
    pub fn take(
        &mut self,
        terms: &AllowanceTerms,
        clock: &PartClock,
        now: Instant,
    ) -> bool {
        self.refill(terms, clock, now);
        let is_there = self.level >= 1.0;
        self.level -= f64::from(u8::from(is_there));
        is_there
    }

    /// Lends to a box what it spends at once, or never: that takes no more room.
    pub fn lend_at_once(
        &mut self,
        urgent: u32,
        terms: &AllowanceTerms,
        clock: &PartClock,
        now: Instant,
    ) -> u32 {
        self.refill(terms, clock, now);
        let lent = urgent.min(self.level as u32);
        self.level -= f64::from(lent);
        lent
    }

    /// Lends to a box for its stock.
    ///
    /// Stocks leave a part of the room to what is refilled: with all of it lent to boxes that
    /// had asked once, accounts far beneath their limits were refused 58 of 100 requests
    /// (113 boxes, one play).
    pub fn stock(
        &mut self,
        ask: &StockAsk,
        terms: &AllowanceTerms,
        clock: &PartClock,
        now: Instant,
    ) -> Stocked {
        if let Some(loan) = self.loans.get_mut(&ask.borrower) {
            // It has spent the rest: that is no longer held by anybody.
            loan.amount = loan.amount.min(ask.held);
        }
        self.refill(terms, clock, now);
        let depth = terms.part(clock.part()).depth;
        let room = (depth * MOST_STOCKED_SHARE - self.lent()).max(0.0);
        let amount = ask.wanted.min(self.level * MOST_AT_ONCE_SHARE).min(room);
        self.level -= amount;
        // What it held of a loan that has ended is not counted here any more.
        let held = self
            .loans
            .get(&ask.borrower)
            .map_or(0.0, |loan| loan.amount);
        if held + amount > 0.0 {
            let loan = Loan {
                amount: held + amount,
                ends: now + LOAN_LASTS,
            };
            self.loans.insert(ask.borrower, loan);
        }
        Stocked {
            amount,
            renewed: held > 0.0,
        }
    }

    /// How long until there is one more.
    pub fn next_in(&self, terms: &AllowanceTerms, clock: &PartClock) -> Duration {
        let per_s = terms.per_s * clock.part();
        let missing = (1.0 - self.level).max(0.0);
        let wait_s = missing / per_s.max(LEAST_PER_S);
        Duration::from_secs_f64(wait_s.min(LONGEST_WAIT_S))
    }

    /// Whether it holds all that it may, so that a pool made anew would decide alike.
    pub fn is_full(
        &mut self,
        terms: &AllowanceTerms,
        clock: &PartClock,
        now: Instant,
    ) -> bool {
        self.refill(terms, clock, now);
        self.loans.is_empty() && self.level >= terms.part(clock.part()).depth
    }

    /// Refills what the part has earned, as far as there is room for it: what is lent and may
    /// not be spent yet takes room.
    fn refill(&mut self, terms: &AllowanceTerms, clock: &PartClock, now: Instant) {
        self.loans.retain(|_, loan| loan.ends > now);
        let earned = terms.per_s * (clock.whole_s - self.refilled_whole_s);
        self.refilled_whole_s = clock.whole_s;
        let room = (terms.part(clock.part()).depth - self.lent()).max(0.0);
        self.level = (self.level + earned).min(room);
    }

    /// What borrowers hold in stock, or may.
    fn lent(&self) -> f64 {
        self.loans.values().map(|loan| loan.amount).sum()
    }
}

impl Stock {
    /// What is left, and for how long.
    pub fn left(&self, now: Instant) -> (f64, Duration) {
        match self.ends {
            Some(ends) if ends > now => (self.amount, ends - now),
            _ => (0.0, Duration::ZERO),
        }
    }

    /// Spends one; whether there was one.
    pub fn take(&mut self, now: Instant) -> bool {
        let (left, _) = self.left(now);
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
        let (left, _) = self.left(now);
        let former = self.ends.filter(|_| left > 0.0 && !renewed);
        self.amount = left + amount;
        self.ends = Some(former.map_or(ends, |former| former.min(ends)));
    }
}

/// How long a stock lasts, from when it was asked for. Long enough that a box whose hub is
/// lost serves on until it has another, about a second; short enough that what was lent to a
/// box which is lost comes back soon.
pub const LOAN_LASTS: Duration = Duration::from_secs(3);
/// Of what may come on top of a limit, so much is granted. With a limit over five seconds
/// and a tenth on top, what is left is 0.4 s of the rate and two requests.
const GRANTED_OF_OVERRUN: f64 = 0.3;
const GRANTED_OF_SLACK: f64 = 0.9;
/// The share of the room that stocks may take.
const MOST_STOCKED_SHARE: f64 = 0.6;
/// No stock takes more than this share of what is there at once.
const MOST_AT_ONCE_SHARE: f64 = 0.25;
const LEAST_PER_S: f64 = 0.01;
const LONGEST_WAIT_S: f64 = 10.0;
