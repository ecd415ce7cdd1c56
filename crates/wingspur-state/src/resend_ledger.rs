//! What one box has sent again, and what its callers' requests allow it to.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The requests and resends of one box, as far as any window counts them now.
///
/// A window that begins at t is W long; the fleet's resends in it are bounded by the requests
/// of that window, or of the one before it, whichever are more. Both added up and halved are
/// never more than that, and of them, unlike of the larger, the boxes' parts add up to the
/// fleet's: where callers move from one box to another, the larger one of each box would
/// count them twice. So a box goes by half of its own requests from t - W to t + W.
#[derive(Debug, Default)]
pub struct ResendLedger {
    requests: Buckets,
    /// Resends of requests that have ended, by the end: they arrive no later, or a moment.
    ended: Buckets,
    /// Those of them that nobody answered, by the end: they may still be on their way.
    unanswered: Buckets,
    /// Resends of requests that have not ended: they may arrive at any time.
    out: u32,
}

/// The window that has least room for one more resend.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TightestWindow {
    /// Resends that arrived in it, or may have.
    pub spent: u32,
    /// What the requests allow there.
    pub credit: f64,
}

/// Counts by the time of the first in each.
#[derive(Debug, Default)]
struct Buckets(VecDeque<(Instant, u32)>);

impl ResendLedger {
    /// Counts a caller's request.
    pub fn count_request(&mut self, now: Instant) {
        self.requests.add(1, now);
    }

    /// Counts a resend that is about to be sent.
    pub fn send(&mut self) {
        self.out += 1;
    }

    /// Counts a resend that another box makes instead, within `LENT_FOR`. Whether a server
    /// answers it is not told here, so it may arrive as late as one that nobody answers.
    pub fn lend(&mut self, now: Instant) {
        self.unanswered.add(1, now + RESEND_LEASE_TTL);
    }

    /// Takes back resends that reached no server.
    pub fn take_back(&mut self, resends: u32) {
        self.out = self.out.saturating_sub(resends);
    }

    /// Notes that the request of some resends has ended, with so many of its attempts, the
    /// first included, unanswered.
    pub fn end(&mut self, resends: u32, unanswered: u32, now: Instant) {
        let late = resends.min(unanswered);
        self.out = self.out.saturating_sub(resends);
        self.ended.add(resends - late, now);
        self.unanswered.add(late, now);
    }

    /// Forgets what no window counts any more.
    pub fn forget(&mut self, window: Duration, now: Instant) {
        self.requests.forget(2 * window + BUCKET, now);
        self.ended.forget(window + BUCKET + LATE_ARRIVAL, now);
        self.unanswered
            .forget(window + BUCKET + MAX_RESEND_TRANSIT, now);
    }

    /// Of all windows that a resend sent now may fall into, the one with the least room.
    ///
    /// Both counts fall as a window begins later. So it is enough to look at the last
    /// beginning at which each bucket of resends still counts, and at the last one at which
    /// the resends that are out may.
    pub fn tightest(&self, window: Duration, ratio: f64, now: Instant) -> TightestWindow {
        let on_way = MAX_RESEND_TRANSIT.min(window / 2);
        let mut spent = self.out;
        let mut tightest = TightestWindow {
            spent,
            credit: ratio * self.half_of_requests(now + on_way, window),
        };
        for (begins, resends) in self.last_beginnings() {
            if now.saturating_duration_since(begins) > window {
                break;
            }
            spent += resends;
            let credit = ratio * self.half_of_requests(begins, window);
            let other = TightestWindow { spent, credit };
            if other.room() < tightest.room() {
                tightest = other;
            }
        }
        tightest
    }

    /// The last beginnings of windows that resends of ended requests may fall into, the
    /// latest first.
    fn last_beginnings(&self) -> Vec<(Instant, u32)> {
        let last = |late: Duration| {
            move |(at, resends): &(Instant, u32)| (*at + BUCKET + late, *resends)
        };
        let ended = self.ended.0.iter().map(last(LATE_ARRIVAL));
        let unanswered = self.unanswered.0.iter().map(last(MAX_RESEND_TRANSIT));
        let mut beginnings: Vec<_> = ended.chain(unanswered).collect();
        beginnings.sort_by_key(|(begins, _)| std::cmp::Reverse(*begins));
        beginnings
    }

    /// Half of the requests that surely were sent within a window of a moment, before or
    /// after it; those to come are not counted.
    fn half_of_requests(&self, moment: Instant, window: Duration) -> f64 {
        let from = moment.checked_sub(window.saturating_sub(REQUEST_LAG));
        let of = |from: Instant| self.requests.since(from);
        let requests = from.map_or(self.requests.all(), of);
        f64::from(requests) / 2.0
    }
}

impl TightestWindow {
    fn room(&self) -> f64 {
        self.credit - f64::from(self.spent)
    }
}

impl Buckets {
    fn add(&mut self, count: u32, now: Instant) {
        if count == 0 {
            return;
        }
        match self.0.back_mut() {
            Some((at, sum)) if now.saturating_duration_since(*at) < BUCKET => {
                *sum += count;
            }
            _ => self.0.push_back((now, count)),
        }
    }

    /// What came at a moment or later, without a bucket that only may have.
    fn since(&self, from: Instant) -> u32 {
        let newest_first = self.0.iter().rev();
        let recent = newest_first.take_while(|(at, _)| *at >= from);
        recent.map(|(_, count)| count).sum()
    }

    fn all(&self) -> u32 {
        self.0.iter().map(|(_, count)| count).sum()
    }

    fn forget(&mut self, span: Duration, now: Instant) {
        let past = |(at, _): &(Instant, u32)| now.saturating_duration_since(*at) > span;
        while self.0.front().is_some_and(past) {
            self.0.pop_front();
        }
    }
}

/// A resend reaches its server within this, or never: connections to servers give up what has
/// not been acknowledged for so long, also after they were closed. A link that stands still
/// for longer gives up what waits for it, and a packet that is lost again and again has been
/// sent four times.
pub const MAX_RESEND_TRANSIT: Duration = Duration::from_secs(3);
/// Who borrows a resend sends it within this, or not at all.
pub const RESEND_LEASE_TTL: Duration = Duration::from_millis(100);
/// A caller has sent its request at most so long before it is counted here: its body is read
/// first, and a lost packet is sent again after 0.2 s.
const REQUEST_LAG: Duration = Duration::from_millis(500);
/// An attempt that was answered had arrived by then; the clock of its answer may be off by a
/// moment in the counts.
const LATE_ARRIVAL: Duration = Duration::from_millis(250);
/// Counts within this are one entry: 40 for a window of ten seconds.
const BUCKET: Duration = Duration::from_millis(250);
