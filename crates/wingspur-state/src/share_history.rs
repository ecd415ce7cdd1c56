//! The history of a box's share of all quotas.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::{PREFETCH_LEASE_TTL, QuotaTerms};

/// The history of a box's share of all quotas.
///
/// Quota pools are refilled only when they are used. The refill then follows this box's
/// share at each moment since the previous refill, and not just its current share.
#[derive(Debug, Clone)]
pub struct ShareHistory {
    share: f64,
    recorded_at: Instant,
    /// The integral of the share over time, in seconds of a full share.
    integral_s: f64,
    /// The smallest share that the box has had over the last `PREFETCH_LEASE_TTL`; 0 if
    /// its history is shorter.
    settled_share: f64,
    /// The spans of the recent past, the earliest first.
    spans: VecDeque<Span>,
}

/// The smallest values of a box's share over a span of time, which ends where the next
/// one begins.
#[derive(Debug, Clone, Copy)]
struct Span {
    started_at: Instant,
    /// The smallest share in the span.
    min_share: f64,
    /// The smallest burst share in the span, for quotas that allow prefetching.
    min_burst_share: f64,
    /// The integral of the share at the start of the span.
    integral_s: f64,
}

/// A point in the share history.
#[derive(Debug, Clone, Copy)]
pub struct ShareTimestamp {
    at: Instant,
    integral_s: f64,
}

impl Span {
    /// Returns the smallest burst share in the span.
    fn burst_share(&self, terms: &QuotaTerms) -> f64 {
        match terms.allows_prefetch {
            true => self.min_burst_share,
            false => self.min_share,
        }
    }
}

impl ShareHistory {
    /// Creates the history of a box that has no share yet.
    pub fn new(now: Instant) -> Self {
        Self {
            share: 0.0,
            recorded_at: now,
            integral_s: 0.0,
            settled_share: 0.0,
            spans: VecDeque::new(),
        }
    }

    /// Records this box's share from now on. Between two records the smaller of both
    /// shares counts.
    pub fn record_share(&mut self, share: f64, now: Instant) {
        let lower = self.share.min(share);
        let (recorded_at, integral_s) = (self.recorded_at, self.integral_s);
        let elapsed_s = now.saturating_duration_since(recorded_at).as_secs_f64();
        self.integral_s += elapsed_s * lower;
        self.share = share;
        self.recorded_at = now.max(recorded_at);
        self.settled_share = lower.min(self.min_share_before(recorded_at));
        let min_burst_share = self.settled_burst_share(lower);
        let extends_span = |span: &Span| {
            let is_shorter =
                recorded_at.saturating_duration_since(span.started_at) < MIN_SPAN_LENGTH;
            is_shorter && min_burst_share <= span.min_burst_share * MAX_BURST_SHARE_GROWTH
        };
        match self.spans.back_mut() {
            Some(span) if extends_span(span) => {
                span.min_share = span.min_share.min(lower);
                span.min_burst_share = span.min_burst_share.min(min_burst_share);
            }
            _ => self.spans.push_back(Span {
                started_at: recorded_at,
                min_share: lower,
                min_burst_share,
                integral_s,
            }),
        }
        if self.spans.len() > MAX_SPANS {
            self.spans.pop_front();
        }
    }

    /// Returns the smallest share over the `PREFETCH_LEASE_TTL` before `moment`; 0 for a
    /// box whose history does not reach back so far.
    fn min_share_before(&self, moment: Instant) -> f64 {
        let mut lowest = f64::INFINITY;
        for span in self.spans.iter().rev() {
            lowest = lowest.min(span.min_share);
            if moment.saturating_duration_since(span.started_at) >= PREFETCH_LEASE_TTL {
                return lowest;
            }
        }
        0.0
    }

    /// Returns the current share of this box.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns the fraction of the burst that a pool may hold, including its outstanding
    /// prefetch leases.
    ///
    /// A share that the box has had for less than `PREFETCH_LEASE_TTL` counts without its
    /// prefetch share: the box that had it before may have leased out as much, and these
    /// tokens may not have been spent yet.
    pub fn burst_share(&self, terms: &QuotaTerms) -> f64 {
        match terms.allows_prefetch {
            true => self.settled_burst_share(self.share),
            false => self.share,
        }
    }

    /// Returns the fraction of the burst that may be leased out as prefetched tokens; 0
    /// if the quota does not allow prefetching.
    pub fn prefetch_share(&self, terms: &QuotaTerms) -> f64 {
        match terms.allows_prefetch {
            true => PREFETCH_FRACTION * self.settled_share,
            false => 0.0,
        }
    }

    fn settled_burst_share(&self, share: f64) -> f64 {
        (1.0 - PREFETCH_FRACTION) * share + PREFETCH_FRACTION * self.settled_share
    }

    /// Returns whether the share grew so recently that an empty pool does not mean an
    /// exhausted quota. Always false for quotas that do not allow prefetching.
    pub fn has_grown_recently(&self, terms: &QuotaTerms) -> bool {
        terms.allows_prefetch && self.settled_share < self.share * SETTLED_RATIO
    }

    /// Returns whether the share shrank so recently that an empty pool does not mean an
    /// exhausted quota: the missing tokens are earned by no box or by another one, or the
    /// share may have just come back. Always false for quotas that do not allow
    /// prefetching.
    pub fn has_shrunk_recently(&self, terms: &QuotaTerms) -> bool {
        let lowest = self.recent_shares().fold(self.share, f64::min);
        terms.allows_prefetch && lowest < self.max_recent_share() * SETTLED_RATIO
    }

    /// Returns the largest share that the box has had within the last
    /// `SHARE_RECOVERY_TIME`.
    pub fn max_recent_share(&self) -> f64 {
        self.recent_shares().fold(self.share, f64::max)
    }

    /// Returns the smallest share of each span that started within the last
    /// `SHARE_RECOVERY_TIME`, the latest first.
    fn recent_shares(&self) -> impl Iterator<Item = f64> {
        let spans = self.spans.iter().rev();
        let is_recent = |span: &&Span| {
            let age = self.recorded_at.saturating_duration_since(span.started_at);
            age < SHARE_RECOVERY_TIME
        };
        spans.take_while(is_recent).map(|span| span.min_share)
    }

    /// Returns the latest point of the history.
    pub fn timestamp(&self) -> ShareTimestamp {
        ShareTimestamp {
            at: self.recorded_at,
            integral_s: self.integral_s,
        }
    }

    /// Returns the level, in tokens, of a pool that had the level in `held` at the time
    /// beside it and from which nothing has been taken since. What the share has earned
    /// counts as far as there was room for it at each moment.
    ///
    /// A box whose share shrank and grew again has left its tokens to the boxes that had
    /// the share meanwhile. Nothing is assumed to be left from before the recorded spans:
    /// a pool without a level, or with an older one, holds what it has earned over these
    /// spans.
    pub fn refilled_level(
        &self,
        held: Option<(f64, ShareTimestamp)>,
        terms: &QuotaTerms,
    ) -> f64 {
        let earned_since = |integral_s: f64| (self.integral_s - integral_s) * terms.per_s;
        let mut limit = self.burst_share(terms) * terms.burst;
        let mut span_end_s = self.integral_s;
        for span in self.spans.iter().rev() {
            limit = limit
                .min(span.burst_share(terms) * terms.burst + earned_since(span_end_s));
            if let Some((level, refilled_at)) =
                held.filter(|(_, refilled_at)| refilled_at.at >= span.started_at)
            {
                return limit.min(level + earned_since(refilled_at.integral_s));
            }
            span_end_s = span.integral_s;
        }
        limit.min(earned_since(span_end_s))
    }
}

/// The fraction of a share of the burst that may be leased out as prefetched tokens.
/// Tokens leased to boxes that asked once are missing at the boxes where requests arrive.
const PREFETCH_FRACTION: f64 = 0.6;
/// A share has grown recently if the box has had less than this fraction of it for long,
/// and shrunk recently if its smallest recent value is below this fraction of its
/// largest. At a half, a hub that had lost one of two boxes' shares counted as settled and
/// refused requests below the limit.
const SETTLED_RATIO: f64 = 0.75;
/// A share that was lost with its box, or with the hub that had it, is in use again after
/// half of this time: 0.8 s until no other box can use it, a second until a lost hub is
/// given up, and the time of a start or of a link. An account at seven tenths of its limit
/// needs the other half until its pools have recovered.
const SHARE_RECOVERY_TIME: Duration = Duration::from_millis(5000);
/// The length from which on a span is closed at the next record: the share changes
/// several times a second on all 40 boxes of a fleet while boxes come and go.
const MIN_SPAN_LENGTH: Duration = Duration::from_millis(250);
/// A span is closed early when the burst share has grown by more than this factor. Its
/// smallest burst share limits the level up to its end, so what an empty pool earns in it
/// beyond that is lost.
const MAX_BURST_SHARE_GROWTH: f64 = 1.5;
/// These spans hold what accounts earn in sixteen seconds; most limits allow no larger
/// burst.
const MAX_SPANS: usize = 64;
