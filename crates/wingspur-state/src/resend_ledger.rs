//! The resends of one box, and the resends that its callers' requests allow.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The requests and resends of one box, as far as any window still counts them.
///
/// Let a window begin at time t and have the length W. The fleet's resends in it are
/// bounded by the requests of that window or of the window before it, whichever are more.
/// Half of the sum of both is never more than that. Unlike the larger of the two, it also
/// adds up over boxes: where callers move from one box to another, the larger count of
/// each box would count them twice. So each box uses half of its own requests from t - W
/// to t + W.
#[derive(Debug, Default)]
pub struct ResendLedger {
    requests: Buckets,
    /// Resends of requests that have ended, by the time of that end. They arrive at their
    /// servers no later than that, or `LATE_ARRIVAL` after it.
    ended: Buckets,
    /// Resends of ended requests that got no response, by the time of that end. They may
    /// still be on their way to the servers.
    unanswered: Buckets,
    /// Resends of requests that have not ended. They may arrive at any time.
    in_flight: u32,
}

/// The window that has the least budget left for one more resend.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TightestWindow {
    /// Resends that arrived in the window, or may have.
    pub spent: u32,
    /// Resends that the requests allow in it.
    pub credit: f64,
}

/// Counts in buckets, each with the time of its first count.
#[derive(Debug, Default)]
struct Buckets(VecDeque<(Instant, u32)>);

impl ResendLedger {
    /// Counts a caller's request.
    pub fn count_request(&mut self, now: Instant) {
        self.requests.add(1, now);
    }

    /// Counts a resend that is about to be sent.
    pub fn count_resend(&mut self) {
        self.in_flight += 1;
    }

    /// Counts a resend that another box makes instead, within `RESEND_LEASE_TTL`. This
    /// box does not learn whether a server responds to it, so it may arrive as late as
    /// one without a response.
    pub fn count_leased_resend(&mut self, now: Instant) {
        self.unanswered.add(1, now + RESEND_LEASE_TTL);
    }

    /// Refunds resends that reached no server.
    pub fn refund(&mut self, resends: u32) {
        self.in_flight = self.in_flight.saturating_sub(resends);
    }

    /// Records the end of a request that had `resends` resends. `unanswered` is the
    /// number of its attempts without a response, the first attempt included.
    pub fn finish_request(&mut self, resends: u32, unanswered: u32, now: Instant) {
        let late_resends = resends.min(unanswered);
        self.in_flight = self.in_flight.saturating_sub(resends);
        self.ended.add(resends - late_resends, now);
        self.unanswered.add(late_resends, now);
    }

    /// Removes counts that no window includes any more.
    pub fn evict_expired(&mut self, window: Duration, now: Instant) {
        self.requests.evict_expired(2 * window + BUCKET, now);
        self.ended
            .evict_expired(window + BUCKET + LATE_ARRIVAL, now);
        self.unanswered
            .evict_expired(window + BUCKET + MAX_RESEND_TRANSIT, now);
    }

    /// Returns, of all windows that a resend sent now may fall into, the one with the
    /// least budget left.
    ///
    /// Both counts fall as the window begins later. It is therefore enough to examine the
    /// last start at which each bucket of resends still counts, and the last start at
    /// which the resends in flight may still arrive.
    pub fn tightest(&self, window: Duration, ratio: f64, now: Instant) -> TightestWindow {
        let max_transit = MAX_RESEND_TRANSIT.min(window / 2);
        let mut spent = self.in_flight;
        let mut tightest = TightestWindow {
            spent,
            credit: ratio * self.half_of_requests_near(now + max_transit, window),
        };
        for (start, resends) in self.latest_window_starts() {
            if now.saturating_duration_since(start) > window {
                break;
            }
            spent += resends;
            let credit = ratio * self.half_of_requests_near(start, window);
            let candidate = TightestWindow { spent, credit };
            if candidate.budget_left() < tightest.budget_left() {
                tightest = candidate;
            }
        }
        tightest
    }

    /// Returns the last starts of windows that resends of ended requests may fall into,
    /// with the number of resends, the latest first.
    fn latest_window_starts(&self) -> Vec<(Instant, u32)> {
        let last = |late: Duration| {
            move |(at, resends): &(Instant, u32)| (*at + BUCKET + late, *resends)
        };
        let ended = self.ended.0.iter().map(last(LATE_ARRIVAL));
        let unanswered = self.unanswered.0.iter().map(last(MAX_RESEND_TRANSIT));
        let mut starts: Vec<_> = ended.chain(unanswered).collect();
        starts.sort_by_key(|(start, _)| std::cmp::Reverse(*start));
        starts
    }

    /// Returns half of the requests that were certainly sent within one window length
    /// before or after `moment`. Future requests are not counted.
    fn half_of_requests_near(&self, moment: Instant, window: Duration) -> f64 {
        let from = moment.checked_sub(window.saturating_sub(REQUEST_LAG));
        let sum_since = |from: Instant| self.requests.since(from);
        let requests = from.map_or(self.requests.all(), sum_since);
        f64::from(requests) / 2.0
    }
}

impl TightestWindow {
    fn budget_left(&self) -> f64 {
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

    /// Returns the counts of the buckets that started at `from` or later. A bucket that
    /// started earlier is left out even if it reaches past `from`.
    fn since(&self, from: Instant) -> u32 {
        let newest_first = self.0.iter().rev();
        let recent = newest_first.take_while(|(at, _)| *at >= from);
        recent.map(|(_, count)| count).sum()
    }

    fn all(&self) -> u32 {
        self.0.iter().map(|(_, count)| count).sum()
    }

    fn evict_expired(&mut self, span: Duration, now: Instant) {
        let is_expired =
            |(at, _): &(Instant, u32)| now.saturating_duration_since(*at) > span;
        while self.0.front().is_some_and(is_expired) {
            self.0.pop_front();
        }
    }
}

/// A resend reaches its server within this time, or never: connections to servers discard
/// data that has not been acknowledged for so long, even after they were closed. A link
/// that stalls for longer discards the data waiting for it, and a packet that is lost
/// repeatedly has been sent four times by then.
pub const MAX_RESEND_TRANSIT: Duration = Duration::from_secs(3);
/// A box that leases a resend from another box sends it within this time, or not at all.
pub const RESEND_LEASE_TTL: Duration = Duration::from_millis(100);
/// Longest time from a caller's sending of a request to its counting here: the body is
/// read first, and a lost packet is sent again after 0.2 s.
const REQUEST_LAG: Duration = Duration::from_millis(500);
/// An answered attempt has arrived at its server by the end of its request plus this
/// margin, which allows for the inaccuracy of the recorded time.
const LATE_ARRIVAL: Duration = Duration::from_millis(250);
/// Counts within this time share one bucket: 40 buckets for a window of ten seconds.
const BUCKET: Duration = Duration::from_millis(250);
