//! A box's client side of quota leases for one quota: on-demand tokens and prefetched
//! ones.

use std::time::{Duration, Instant};

use crate::{
    PREFETCH_LEASE_TTL, PrefetchGrant, PrefetchedQuota, QueueReport, ReceivedReport,
};

/// Requests tokens of one quota from the box's hub, and holds what the hub leases.
#[derive(Debug, Clone, Default)]
pub struct LeaseClient {
    prefetched: PrefetchedQuota,
    demand: Demand,
    pending_prefetch: Option<PendingRequest>,
    pending_on_demand: Option<PendingRequest>,
    refused: Option<Refused>,
    /// What the hub's last reply said of the queue, if it said anything.
    report: Option<ReceivedReport>,
    /// On-demand tokens whose requests have given up, and until when they may be spent.
    unused: Option<(u32, Instant)>,
    /// When a token was last wanted.
    last_wanted_at: Option<Instant>,
}

/// The result of trying to acquire one token.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AcquireOutcome {
    /// A token was available and is spent.
    Acquired,
    /// No box has a token left. There should be one after this time.
    Refused(Duration),
    /// It is not known whether there is one.
    Unknown,
    /// The hub has to be asked, and its response waited for.
    Pending,
}

/// A request for the hub.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LeaseDemand {
    /// So many tokens for requests that are waiting now.
    OnDemand(u32),
    /// Prefetched tokens.
    Prefetch {
        /// The prefetched tokens that the box holds.
        held: f64,
        /// The tokens that it wants in addition.
        wanted: f64,
    },
}

#[derive(Debug, Clone, Copy)]
struct PendingRequest {
    number: u32,
    tokens: u32,
    sent_at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Refused {
    until: Instant,
    /// When there should be more; `None` if the hub does not know.
    more_at: Option<Instant>,
}

/// How often a token was wanted over the last few seconds.
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    count: f64,
    last_at: Option<Instant>,
}

impl LeaseClient {
    /// Tries to acquire one token for a request.
    pub fn try_acquire(&mut self, now: Instant) -> AcquireOutcome {
        self.demand.count(now);
        self.last_wanted_at = Some(now);
        if self.take_unused(now) || self.prefetched.take(now) {
            return AcquireOutcome::Acquired;
        }
        self.refusal(now).unwrap_or(AcquireOutcome::Pending)
    }

    /// Keeps `count` on-demand tokens, whose requests have given up meanwhile, for
    /// requests that arrive until `ends`. Replaces any kept before.
    pub fn retain_unused(&mut self, count: u32, ends: Instant) {
        self.unused = (count > 0).then_some((count, ends));
    }

    fn take_unused(&mut self, now: Instant) -> bool {
        let Some((count, ends)) = self.unused.filter(|(_, ends)| *ends >= now) else {
            return false;
        };
        self.retain_unused(count - 1, ends);
        true
    }

    /// Returns what a waiting request is to be told if the hub has recently refused,
    /// `None` otherwise.
    pub fn refusal(&self, now: Instant) -> Option<AcquireOutcome> {
        let refused = self.refused.filter(|refused| refused.until > now)?;
        let more_in = refused.more_at.map(|at| at.saturating_duration_since(now));
        Some(more_in.map_or(AcquireOutcome::Unknown, AcquireOutcome::Refused))
    }

    /// Records what the hub's reply to an on-demand request says of the queue; `None` if
    /// it does not limit how many requests may wait.
    pub fn record_report(&mut self, report: Option<QueueReport>, now: Instant) {
        self.report = report.map(|report| ReceivedReport::new(report, now));
    }

    /// Returns what the hub last said of the queue, and how long ago, if that still
    /// applies.
    pub fn report(&self, now: Instant) -> Option<(QueueReport, Duration)> {
        self.report.as_ref()?.current(now)
    }

    /// Returns whether the hub may be asked for units now: it has not just refused some,
    /// and no reply is outstanding.
    pub fn may_ask(&self, now: Instant) -> bool {
        let is_pending = self
            .pending_on_demand
            .is_some_and(|pending| pending.sent_at + ON_DEMAND_RESPONSE_TIMEOUT > now);
        self.refusal(now).is_none() && !is_pending
    }

    /// Returns the request to send to the hub now, and remembers it under `number`.
    /// `waiting` is the number of requests that wait for a token. `None` if no request is
    /// needed, or if the response to an earlier one is outstanding.
    pub fn next_request(
        &mut self,
        number: u32,
        waiting: u32,
        may_prefetch: bool,
        now: Instant,
    ) -> Option<LeaseDemand> {
        let pending = PendingRequest {
            number,
            tokens: waiting,
            sent_at: now,
        };
        let is_pending = |pending: Option<PendingRequest>, timeout| {
            pending.is_some_and(|pending| pending.sent_at + timeout > now)
        };
        let is_refused = self.refusal(now).is_some();
        if waiting > 0
            && !is_refused
            && !is_pending(self.pending_on_demand, ON_DEMAND_RESPONSE_TIMEOUT)
        {
            self.pending_on_demand = Some(pending);
            return Some(LeaseDemand::OnDemand(waiting));
        }
        let (held, valid_for) = self.prefetched.remaining(now);
        let target = self.demand.per_s(now) * PREFETCH_TARGET_S;
        let is_in_use = may_prefetch
            && self
                .last_wanted_at
                .is_some_and(|at| at + PREFETCH_IDLE_TIMEOUT > now);
        let is_worthwhile = target >= MIN_PREFETCH_TARGET;
        let needs_tokens =
            held + MIN_TOP_UP < target || valid_for < PREFETCH_RENEWAL_MARGIN;
        if !is_in_use
            || !is_worthwhile
            || !needs_tokens
            || is_pending(self.pending_prefetch, PREFETCH_RESPONSE_TIMEOUT)
        {
            return None;
        }
        self.pending_prefetch = Some(pending);
        Some(LeaseDemand::Prefetch {
            held,
            wanted: (target - held).max(0.0),
        })
    }

    /// Applies the hub's response to the prefetch request `number`. The response to any
    /// but the last request is ignored: the allocator has since been sent the amount held
    /// without it.
    pub fn apply_prefetch_grant(
        &mut self,
        number: u32,
        grant: &PrefetchGrant,
        now: Instant,
    ) {
        let pending = self
            .pending_prefetch
            .filter(|pending| pending.number == number);
        let Some(pending) = pending else { return };
        self.pending_prefetch = None;
        if grant.amount > 0.0 || grant.renewed {
            let ends = pending.sent_at + PREFETCH_LEASE_TTL;
            self.prefetched.add(grant.amount, grant.renewed, ends, now);
        }
    }

    /// Returns whether `number` is the on-demand request whose response is outstanding.
    pub fn awaits_on_demand(&self, number: u32) -> bool {
        self.pending_on_demand
            .is_some_and(|pending| pending.number == number)
    }

    /// Applies the hub's response to the on-demand request `number`: the tokens granted,
    /// and in how long there should be more, if known. Returns how many of the waiting
    /// requests may proceed, and until when; `None` if there are none, or if the response
    /// is too late or not to the last request. Late tokens are void, since no box counts
    /// them.
    pub fn apply_on_demand_grant(
        &mut self,
        number: u32,
        granted: u32,
        more_in: Option<Duration>,
        now: Instant,
    ) -> Option<(u32, Instant)> {
        let pending = self
            .pending_on_demand
            .filter(|pending| pending.number == number)?;
        self.pending_on_demand = None;
        if granted < pending.tokens {
            let retry_in = more_in.unwrap_or_default();
            self.refused = Some(Refused {
                until: now + retry_in.clamp(MIN_REFUSAL_TTL, MAX_REFUSAL_TTL),
                more_at: more_in.map(|more_in| now + more_in),
            });
        }
        let ends = pending.sent_at + ON_DEMAND_LEASE_TTL;
        (ends >= now && granted > 0).then_some((granted, ends))
    }

    /// Returns whether no token was wanted for `IDLE_AFTER`, so that nothing is left to
    /// remember.
    pub fn is_idle(&self, now: Instant) -> bool {
        let was_idle = |at: Instant| now.saturating_duration_since(at) >= IDLE_AFTER;
        self.last_wanted_at.is_none_or(was_idle)
    }
}

impl Demand {
    fn count(&mut self, now: Instant) {
        self.count = self.decayed_count(now) + 1.0;
        self.last_at = Some(now);
    }

    fn per_s(&self, now: Instant) -> f64 {
        self.decayed_count(now) / DEMAND_TIME_CONSTANT_S
    }

    /// Returns the count, which decays exponentially with time.
    fn decayed_count(&self, now: Instant) -> f64 {
        let Some(at) = self.last_at else { return 0.0 };
        let elapsed_s = now.saturating_duration_since(at).as_secs_f64();
        self.count * (-elapsed_s / DEMAND_TIME_CONSTANT_S).exp()
    }
}

/// On-demand tokens are spent within this time after they were requested, or never.
pub const ON_DEMAND_LEASE_TTL: Duration = Duration::from_millis(200);
/// Prefetched tokens are to last for so long: after about a second, another hub has taken
/// over from a lost one.
const PREFETCH_TARGET_S: f64 = 1.0;
/// In tokens. Fewer are not prefetched, since no other box can use what one box holds.
const MIN_PREFETCH_TARGET: f64 = 2.0;
/// In tokens. Prefetched quota is not topped up while it is short of the target by less
/// than this.
const MIN_TOP_UP: f64 = 0.5;
/// Time constant of the demand estimate. A box sees some accounts less than once a
/// second.
const DEMAND_TIME_CONSTANT_S: f64 = 2.0;
/// A response takes one or two milliseconds, and longer where other hubs are asked or the
/// hub is busy. A later one is void, and another request is sent.
const ON_DEMAND_RESPONSE_TIMEOUT: Duration = ON_DEMAND_LEASE_TTL;
/// A prefetch request and its response each wait for a frame, a fifth of a second at
/// most.
const PREFETCH_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// A refusal applies to all requests that arrive within this minimum and maximum time. An
/// account far over its limit therefore costs each box a few lease requests per second
/// instead of one for each request.
const MIN_REFUSAL_TTL: Duration = Duration::from_millis(30);
const MAX_REFUSAL_TTL: Duration = Duration::from_millis(100);
/// Prefetching stops when no token was wanted for so long. Each box sees some accounts
/// only occasionally.
const PREFETCH_IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Prefetched tokens are renewed this long before they expire: a response may take half a
/// second.
const PREFETCH_RENEWAL_MARGIN: Duration = Duration::from_millis(1200);
/// Longer than the lifetime of any prefetched tokens.
const IDLE_AFTER: Duration = Duration::from_secs(10);
