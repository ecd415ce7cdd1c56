//! Which part of all allowances a box has had, and for how long.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::{PREFETCH_LEASE_TTL, QuotaTerms};

/// For how long a box has had which part of all allowances.
///
/// Pools are looked at when they are asked only; each then refills by what this box's
/// part was in the meantime, moment by moment, and not by what it happens to be.
#[derive(Debug, Clone)]
pub struct ShareHistory {
    part: f64,
    seen: Instant,
    /// The sum of part times time, in seconds of the whole.
    whole_s: f64,
    /// The least part that the box has had over the time for which a stock lasts.
    lasting: f64,
    /// The last seconds, the earliest first.
    spans: VecDeque<Span>,
}

/// What a box has had over a span of time, which ends where the next one begins.
#[derive(Debug, Clone, Copy)]
struct Span {
    began: Instant,
    /// The least part in it.
    part: f64,
    /// The least share of the depth in it.
    depth_share: f64,
    /// The part's clock when it began.
    whole_s: f64,
}

/// A moment on the part's clock.
#[derive(Debug, Clone, Copy)]
pub struct ShareTimestamp {
    at: Instant,
    whole_s: f64,
}

impl Span {
    /// The least share of the depth in it.
    fn share(&self, terms: &QuotaTerms) -> f64 {
        match terms.allows_prefetch {
            true => self.depth_share,
            false => self.part,
        }
    }
}

impl ShareHistory {
    /// A box that has no part yet.
    pub fn new(now: Instant) -> Self {
        Self {
            part: 0.0,
            seen: now,
            whole_s: 0.0,
            lasting: 0.0,
            spans: VecDeque::new(),
        }
    }

    /// Notes this box's part from now on. Between two notes it had the smaller of both.
    pub fn record_share(&mut self, part: f64, now: Instant) {
        let low = self.part.min(part);
        let (seen, whole_s) = (self.seen, self.whole_s);
        let passed_s = now.saturating_duration_since(seen).as_secs_f64();
        self.whole_s += passed_s * low;
        self.part = part;
        self.seen = now.max(seen);
        self.lasting = low.min(self.least_part_before(seen));
        let depth_share = self.share_of(low);
        let goes_on = |span: &Span| {
            let is_short = seen.saturating_duration_since(span.began) < SPAN;
            is_short && depth_share <= span.depth_share * GROWN
        };
        match self.spans.back_mut() {
            Some(span) if goes_on(span) => {
                span.part = span.part.min(low);
                span.depth_share = span.depth_share.min(depth_share);
            }
            _ => self.spans.push_back(Span {
                began: seen,
                part: low,
                depth_share,
                whole_s,
            }),
        }
        if self.spans.len() > MOST_SPANS {
            self.spans.pop_front();
        }
    }

    /// The least part over the time for which a stock lasts, up to a moment; none for a box
    /// that has not had any for so long.
    fn least_part_before(&self, moment: Instant) -> f64 {
        let mut least = f64::INFINITY;
        for span in self.spans.iter().rev() {
            least = least.min(span.part);
            if moment.saturating_duration_since(span.began) >= PREFETCH_LEASE_TTL {
                return least;
            }
        }
        0.0
    }

    /// The part that this box has.
    pub fn share(&self) -> f64 {
        self.part
    }

    /// The share of the depth that pools may hold, with what they have lent for stocks.
    ///
    /// Of a part that the box has had for less than a stock lasts, the share for stocks is
    /// left out: the box that had it before may have lent as much, and that may not be spent
    /// yet.
    pub fn burst_share(&self, terms: &QuotaTerms) -> f64 {
        match terms.allows_prefetch {
            true => self.share_of(self.part),
            false => self.part,
        }
    }

    /// The share of the depth that may be lent for stocks.
    pub fn prefetch_share(&self, terms: &QuotaTerms) -> f64 {
        match terms.allows_prefetch {
            true => STOCK_SHARE * self.lasting,
            false => 0.0,
        }
    }

    fn share_of(&self, part: f64) -> f64 {
        (1.0 - STOCK_SHARE) * part + STOCK_SHARE * self.lasting
    }

    /// Whether the part has grown so lately that an empty pool says nothing of the account.
    pub fn has_grown_recently(&self, terms: &QuotaTerms) -> bool {
        terms.allows_prefetch && self.lasting < self.part * SETTLED_SHARE
    }

    /// Whether the part has shrunk so lately that an empty pool says nothing of the account:
    /// what is missing is minted by nobody, or by another box, and may have just come back.
    pub fn has_shrunk_recently(&self, terms: &QuotaTerms) -> bool {
        let least = self.lately().fold(self.part, f64::min);
        terms.allows_prefetch && least < self.max_recent_share() * SETTLED_SHARE
    }

    /// The greatest part that the box has had lately.
    pub fn max_recent_share(&self) -> f64 {
        self.lately().fold(self.part, f64::max)
    }

    /// The parts that the box has had lately.
    fn lately(&self) -> impl Iterator<Item = f64> {
        let spans = self.spans.iter().rev();
        let is_late = |span: &&Span| {
            let age = self.seen.saturating_duration_since(span.began);
            age < COMES_BACK_WITHIN
        };
        spans.take_while(is_late).map(|span| span.part)
    }

    /// This moment.
    pub fn timestamp(&self) -> ShareTimestamp {
        ShareTimestamp {
            at: self.seen,
            whole_s: self.whole_s,
        }
    }

    /// What a pool holds that held so much at a mark, with nothing taken since: what it has
    /// earned, as far as there was room for it at each moment since then.
    ///
    /// A box whose part shrank and grew again has left its tokens to those that had the part
    /// meanwhile. Of what lies before the spans that are remembered nothing is taken to be
    /// left: then and without a mark, a pool holds what it has earned over them.
    pub fn refilled_level(
        &self,
        held: Option<(f64, ShareTimestamp)>,
        terms: &QuotaTerms,
    ) -> f64 {
        let earned_from = |whole_s: f64| (self.whole_s - whole_s) * terms.per_s;
        let mut most = self.burst_share(terms) * terms.burst;
        let mut end = self.whole_s;
        for span in self.spans.iter().rev() {
            most = most.min(span.share(terms) * terms.burst + earned_from(end));
            if let Some((level, mark)) = held.filter(|(_, mark)| mark.at >= span.began) {
                return most.min(level + earned_from(mark.whole_s));
            }
            end = span.whole_s;
        }
        most.min(earned_from(end))
    }
}

/// The share of a part of the depth that stocks may take: what is lent to boxes that have
/// asked once is missing where callers come.
const STOCK_SHARE: f64 = 0.6;
/// A part has grown lately if the box has had less than this share of it for long.
const SETTLED_SHARE: f64 = 0.5;
/// A part that was lost with its box, or with the hub that had it, is in use again within
/// this: 0.8 s until nobody else can use it, a second until a lost hub is given up, and the
/// time of a start or of a link.
const COMES_BACK_WITHIN: Duration = Duration::from_millis(2500);
/// The last time is remembered in spans of at least this: the part of all 40 boxes of a fleet
/// changes some times a second while boxes come and go.
const SPAN: Duration = Duration::from_millis(250);
/// A span ends at once when the share of the depth has grown so: its least share counts up to
/// its end, and what is earned in it is lost to a pool that was empty.
const GROWN: f64 = 1.5;
/// With these, what accounts earn in sixteen seconds: most limits allow no more at once.
const MOST_SPANS: usize = 64;
