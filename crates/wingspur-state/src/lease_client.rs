//! What a box borrows of one allowance: what is urgent at once, and a small stock.

use std::time::{Duration, Instant};

use crate::{PREFETCH_LEASE_TTL, PrefetchGrant, PrefetchedQuota};

/// A box's dealings with its hub about one allowance.
#[derive(Debug, Clone, Default)]
pub struct LeaseClient {
    stock: PrefetchedQuota,
    demand: Demand,
    asked_stock: Option<Asked>,
    asked_urgent: Option<Asked>,
    refused: Option<Refused>,
    /// What was lent for requests that had given up, and until when it may be spent.
    spare: Option<(u32, Instant)>,
    /// When it was last wanted.
    wanted: Option<Instant>,
}

/// What came of wanting one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AcquireOutcome {
    /// There was one.
    Acquired,
    /// There is none, over all boxes; there should be after a time.
    Refused(Duration),
    /// Nobody can tell.
    Unknown,
    /// The answer of another box is to be waited for.
    Pending,
}

/// A question for the hub.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LeaseDemand {
    /// For so many that are spent at once.
    OnDemand(u32),
    /// For the stock: what is held, and what is wanted on top.
    Prefetch {
        /// What is held.
        held: f64,
        /// What is wanted on top.
        wanted: f64,
    },
}

#[derive(Debug, Clone, Copy)]
struct Asked {
    number: u32,
    urgent: u32,
    at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Refused {
    until: Instant,
    /// When there should be more; none where the hub cannot tell.
    more_at: Option<Instant>,
}

/// How often one is wanted, over the last seconds.
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    count: f64,
    at: Option<Instant>,
}

impl LeaseClient {
    /// Wants one.
    pub fn try_acquire(&mut self, now: Instant) -> AcquireOutcome {
        self.demand.count(now);
        self.wanted = Some(now);
        if self.take_spare(now) || self.stock.take(now) {
            return AcquireOutcome::Acquired;
        }
        self.refusal(now).unwrap_or(AcquireOutcome::Pending)
    }

    /// Keeps what was lent for requests that have given up meanwhile, for those that come
    /// while it may still be spent.
    pub fn retain_unused(&mut self, count: u32, ends: Instant) {
        self.spare = (count > 0).then_some((count, ends));
    }

    fn take_spare(&mut self, now: Instant) -> bool {
        let Some((count, ends)) = self.spare.filter(|(_, ends)| *ends >= now) else {
            return false;
        };
        self.retain_unused(count - 1, ends);
        true
    }

    /// What who waits is told, if that is known by now.
    pub fn refusal(&self, now: Instant) -> Option<AcquireOutcome> {
        let refused = self.refused.filter(|refused| refused.until > now)?;
        let more_in = refused.more_at.map(|at| at.saturating_duration_since(now));
        Some(more_in.map_or(AcquireOutcome::Unknown, AcquireOutcome::Refused))
    }

    /// What to ask the hub now, by a number of its own, while so many requests wait; none
    /// where the stock does, or an answer is to come.
    pub fn next_request(
        &mut self,
        number: u32,
        waiting: u32,
        may_be_stocked: bool,
        now: Instant,
    ) -> Option<LeaseDemand> {
        let asked = Asked {
            number,
            urgent: waiting,
            at: now,
        };
        let is_out = |asked: Option<Asked>, patience| {
            asked.is_some_and(|asked| asked.at + patience > now)
        };
        let is_refused = self.refusal(now).is_some();
        if waiting > 0 && !is_refused && !is_out(self.asked_urgent, URGENT_ANSWER_LOST) {
            self.asked_urgent = Some(asked);
            return Some(LeaseDemand::OnDemand(waiting));
        }
        let (held, lasts) = self.stock.remaining(now);
        let target = self.demand.per_s(now) * STOCKED_S;
        let is_used =
            may_be_stocked && self.wanted.is_some_and(|at| at + STOCK_KEPT_FOR > now);
        let is_worth_it = target >= LEAST_STOCK;
        let is_short = held + LEAST_WANTED < target || lasts < RENEWED_BEFORE;
        if !is_used
            || !is_worth_it
            || !is_short
            || is_out(self.asked_stock, STOCK_ANSWER_LOST)
        {
            return None;
        }
        self.asked_stock = Some(asked);
        Some(LeaseDemand::Prefetch {
            held,
            wanted: (target - held).max(0.0),
        })
    }

    /// Takes in what the hub lends for the stock. An answer to an earlier question than the
    /// last is void: the lender has heard since what is held without it.
    pub fn apply_prefetch_grant(
        &mut self,
        number: u32,
        stocked: &PrefetchGrant,
        now: Instant,
    ) {
        let asked = self.asked_stock.filter(|asked| asked.number == number);
        let Some(asked) = asked else { return };
        self.asked_stock = None;
        if stocked.amount > 0.0 || stocked.renewed {
            let ends = asked.at + PREFETCH_LEASE_TTL;
            self.stock.add(stocked.amount, stocked.renewed, ends, now);
        }
    }

    /// Takes in what the hub lends of what is urgent, and when it should have more; returns
    /// how many of the waiting requests may go, and until when. What is late is void: nobody
    /// counts it.
    pub fn apply_on_demand_grant(
        &mut self,
        number: u32,
        lent: u32,
        more_in: Option<Duration>,
        now: Instant,
    ) -> Option<(u32, Instant)> {
        let asked = self.asked_urgent.filter(|asked| asked.number == number)?;
        self.asked_urgent = None;
        if lent < asked.urgent {
            let pause = more_in.unwrap_or_default();
            self.refused = Some(Refused {
                until: now + pause.clamp(LEAST_REFUSED, MOST_REFUSED),
                more_at: more_in.map(|more_in| now + more_in),
            });
        }
        let ends = asked.at + ON_DEMAND_LEASE_TTL;
        (ends >= now && lent > 0).then_some((lent, ends))
    }

    /// Whether there is nothing to remember.
    pub fn is_idle(&self, now: Instant) -> bool {
        let rested = |at: Instant| now.saturating_duration_since(at) >= FORGOTTEN_AFTER;
        self.wanted.is_none_or(rested)
    }
}

impl Demand {
    fn count(&mut self, now: Instant) {
        self.count = self.left(now) + 1.0;
        self.at = Some(now);
    }

    fn per_s(&self, now: Instant) -> f64 {
        self.left(now) / DEMAND_SPAN_S
    }

    /// The count, faded with time.
    fn left(&self, now: Instant) -> f64 {
        let Some(at) = self.at else { return 0.0 };
        let passed_s = now.saturating_duration_since(at).as_secs_f64();
        self.count * (-passed_s / DEMAND_SPAN_S).exp()
    }
}

/// What is lent for urgent requests is spent within this after it was asked for, or never.
pub const ON_DEMAND_LEASE_TTL: Duration = Duration::from_millis(200);
/// The stock is for so long: a hub that is lost has a successor after about a second.
const STOCKED_S: f64 = 1.0;
/// A smaller stock is not worth it: what one box holds no other can use.
const LEAST_STOCK: f64 = 2.0;
/// Less than this is not asked for.
const LEAST_WANTED: f64 = 0.5;
/// What is wanted is reckoned over about so many seconds: a box sees some accounts less than
/// once a second.
const DEMAND_SPAN_S: f64 = 2.0;
/// An answer takes a millisecond or two, some more where other hubs are asked or the hub is
/// busy; one that comes later is void, and another question is asked.
const URGENT_ANSWER_LOST: Duration = ON_DEMAND_LEASE_TTL;
/// What is asked for the stock waits for a frame each way, a fifth of a second at the most.
const STOCK_ANSWER_LOST: Duration = Duration::from_millis(500);
/// For how long a refusal is taken for the answer to all that come meanwhile: so that an
/// account far over its limit costs each box a few questions a second, not one a request.
const LEAST_REFUSED: Duration = Duration::from_millis(30);
const MOST_REFUSED: Duration = Duration::from_millis(100);
/// A stock that was not wanted for so long ends; each box sees some accounts now and then
/// only.
const STOCK_KEPT_FOR: Duration = Duration::from_secs(6);
/// A stock is renewed before it ends: an answer may take half a second.
const RENEWED_BEFORE: Duration = Duration::from_millis(1200);
/// Longer than any stock lasts.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(10);
