//! Decides which requests are sent again while a service's retry budget is short.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::recent_ratio::RecentRatio;
use crate::{Priority, RetryBudgetSettings, ServiceTime, StopReason};

/// The recent requests of a service at one box, and the resends that they needed, by
/// priority.
#[derive(Debug)]
pub struct ResendDemand {
    by_priority: BTreeMap<Priority, PriorityDemand>,
    /// The sum of the gains of all resends that were needed.
    gain_sum: f64,
    /// The fraction of this box's latest attempts that a server answered.
    answers: RecentRatio,
    /// When the counts were last decayed.
    decayed_at: Option<Instant>,
}

/// Counts of one priority, which decay with the time constant `DEMAND_MEMORY`.
#[derive(Debug, Clone, Copy, Default)]
struct PriorityDemand {
    requests: f64,
    /// Resends that were needed, whether they were made or not.
    needed: f64,
    /// Those of them that were unlikely to succeed.
    unlikely: f64,
    /// Attempts that failed and after which no resend was possible.
    not_resendable: f64,
}

impl Default for ResendDemand {
    fn default() -> Self {
        Self {
            by_priority: BTreeMap::new(),
            gain_sum: 0.0,
            answers: RecentRatio::new(ATTEMPT_MEMORY),
            decayed_at: None,
        }
    }
}

/// What the gain of a resend depends on.
#[derive(Debug, Clone, Copy)]
pub struct ResendGainInputs {
    /// The probability that the picked server fails the request.
    pub failure_probability: f64,
    /// The probability that it refuses the request.
    pub refusal_probability: f64,
    /// When its response is expected, from now on.
    pub expected: Duration,
    /// The distribution of the route's successful response times around that.
    pub service_time: ServiceTime,
    /// The time left until the latency target is missed.
    pub time_to_latency_target: Duration,
    /// The time left until the deadline.
    pub time_to_deadline: Duration,
}

/// What the decision on a resend depends on, besides the demand.
#[derive(Debug, Clone, Copy)]
pub struct ResendPlanInputs {
    /// The request's priority; 0 is the most urgent.
    pub priority: Priority,
    /// The expected gain of the resend.
    pub gain: f64,
    /// The number of attempts that the request's route allows.
    pub max_attempts: u8,
    /// Requests of callers per second, over all boxes.
    pub requests_per_s: f64,
    /// The fraction of the retry budget that is used, over as many boxes as are known.
    pub budget_used_ratio: f64,
    /// The fraction of the latest attempts of all boxes that a server answered.
    pub answered_ratio: f64,
    /// The boxes that the budget is divided among.
    pub boxes: usize,
    /// The limits on the service's resends. The slack is 0 while it may not be used.
    pub settings: RetryBudgetSettings,
}

/// Whether a resend is worth its share of the budget, with the figures behind it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResendPlanDecision {
    /// Why the request is not sent again; `None` if it is, as far as the budget allows.
    pub stop: Option<StopReason>,
    /// Resends over all boxes that requests of a higher rank are expected to need within
    /// one window.
    pub needed_above: f64,
    /// Resends over all boxes that are expected to be allowed within one window.
    pub available: f64,
}

impl ResendDemand {
    /// Counts a request of a caller.
    pub fn count_request(&mut self, priority: Priority, now: Instant) {
        self.decay(now);
        self.by_priority.entry(priority).or_default().requests += 1.0;
    }

    /// Counts the end of an attempt, and whether a server answered it.
    pub fn count_attempt(&mut self, is_answered: bool, now: Instant) {
        self.answers.add(u32::from(is_answered), 1, now);
    }

    /// Counts an attempt that failed and after which the request may not be sent again,
    /// for example because it may have run. Resends are not reserved for such requests.
    pub fn count_not_resendable(&mut self, priority: Priority, now: Instant) {
        self.decay(now);
        self.by_priority.entry(priority).or_default().not_resendable += 1.0;
    }

    /// Counts a resend that a request needs, whether it is made or not.
    pub fn count_needed(&mut self, priority: Priority, gain: f64, now: Instant) {
        self.decay(now);
        let is_unlikely = self.is_unlikely(gain);
        let demand = self.by_priority.entry(priority).or_default();
        demand.needed += 1.0;
        demand.unlikely += f64::from(u8::from(is_unlikely));
        self.gain_sum += gain;
    }

    /// Decides whether a request should be sent again.
    ///
    /// Resends rank by priority, and those that are unlikely to succeed after all others.
    /// One of them is made if, over one window, more resends are available than those of
    /// a higher rank are expected to need. The resends that one rank needs are made in
    /// the order of the requests: if they were spread over the window, some would be left
    /// when the servers recover.
    ///
    /// What is needed follows from the requests of each priority, which are known before
    /// any of them fail, and from the fraction of attempts that servers answer, by what
    /// all boxes have reported and by this box's own latest ones, which show a change
    /// sooner. Counts of this box's failed requests of each priority would show a need
    /// only seconds after less urgent requests have used up the budget.
    pub fn decide(&self, inputs: &ResendPlanInputs, now: Instant) -> ResendPlanDecision {
        let is_unlikely = self.is_unlikely(inputs.gain);
        let answered = self.expected_answered_ratio(inputs.answered_ratio, now);
        let per_request = resends_per_request(answered, inputs.max_attempts);
        let window_s = inputs.settings.window_s;
        let requests = inputs.requests_per_s * window_s;
        let ratio_above = self.ratio_above(inputs.priority, is_unlikely);
        let needed_above = ratio_above * per_request * requests;
        // Half of the credit is earned by the requests before a resend, the other half by
        // those after it.
        let half_of_credit = inputs.settings.ratio * requests / 2.0;
        let unused = 1.0 - inputs.budget_used_ratio.clamp(0.0, 1.0);
        let present = half_of_credit + inputs.settings.slack;
        let unusable =
            (UNUSABLE_PER_BOX * inputs.boxes as f64).min(MAX_UNUSABLE_RATIO * present);
        let left = unused * present - unusable;
        let available = left.max(0.0) + half_of_credit;
        let needed_soon = needed_above * RESERVE_TIME.as_secs_f64() / window_s;
        let is_covered =
            ratio_above == 0.0 || (needed_above <= available && needed_soon <= left);
        let stop = match is_unlikely {
            true => StopReason::Unlikely,
            false => StopReason::Reserved,
        };
        ResendPlanDecision {
            stop: (!is_covered).then_some(stop),
            needed_above,
            available,
        }
    }

    /// Returns the fraction of the requests whose resends rank above one of the given
    /// priority.
    fn ratio_above(&self, priority: Priority, is_unlikely: bool) -> f64 {
        let total: f64 = self.by_priority.values().map(|d| d.requests).sum();
        let above = self.by_priority.iter().map(|(other, demand)| {
            let (likely, unlikely) = demand.resendable_ratios();
            let likely_part = match is_unlikely || *other < priority {
                true => likely,
                false => 0.0,
            };
            let unlikely_part = match is_unlikely && *other < priority {
                true => unlikely,
                false => 0.0,
            };
            demand.requests * (likely_part + unlikely_part)
        });
        above.sum::<f64>() / total.max(1.0)
    }

    /// Returns the fraction of attempts that servers are expected to answer: that of all
    /// boxes, unless significantly more of this box's latest attempts have failed. That is
    /// so when servers have just begun to refuse and no report tells it yet.
    fn expected_answered_ratio(&self, reported: f64, now: Instant) -> f64 {
        let (answered, attempts) = self.answers.counts(now);
        let expected_failed = attempts * (1.0 - reported);
        let deviation = (expected_failed * reported).sqrt().max(MIN_DEVIATION);
        let surplus = attempts - answered - expected_failed;
        match surplus > SIGNIFICANT_DEVIATIONS * deviation {
            true => self.answers.ratio(reported, REPORTED_WEIGHT, now),
            false => reported,
        }
    }

    /// Whether a resend is much less likely to succeed than the recent ones on average.
    fn is_unlikely(&self, gain: f64) -> bool {
        let needed: f64 = self.by_priority.values().map(|d| d.needed).sum();
        gain * needed < self.gain_sum * UNLIKELY_GAIN_RATIO
    }

    fn decay(&mut self, now: Instant) {
        let since = self
            .decayed_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        if self.decayed_at.is_some() && since < DECAY_INTERVAL {
            return;
        }
        self.decayed_at = Some(now);
        let factor = (-since.div_duration_f64(DEMAND_MEMORY)).exp();
        self.gain_sum *= factor;
        self.by_priority.retain(|_, demand| {
            demand.requests *= factor;
            demand.needed *= factor;
            demand.unlikely *= factor;
            demand.not_resendable *= factor;
            demand.requests + demand.needed >= MIN_COUNT
        });
    }
}

impl PriorityDemand {
    /// Returns the fractions of the failed attempts after which a resend is likely, and
    /// unlikely, to succeed; close to 1 and 0 while few have failed.
    fn resendable_ratios(&self) -> (f64, f64) {
        let failed = self.needed + self.not_resendable + PRESUMED_LIKELY;
        let likely = self.needed - self.unlikely + PRESUMED_LIKELY;
        (likely / failed, self.unlikely / failed)
    }
}

/// Returns the expected gain of a resend at the picked server: 1 if it certainly meets the
/// latency target. A response after the target and before the deadline counts half.
pub fn resend_gain(inputs: &ResendGainInputs) -> f64 {
    let fails = inputs.failure_probability.clamp(0.0, 1.0);
    let refuses = inputs.refusal_probability.clamp(0.0, 1.0);
    let answered = (1.0 - fails) * (1.0 - refuses);
    let expected_s = inputs.expected.as_secs_f64().max(f64::MIN_POSITIVE);
    let responds_within = |time: Duration| {
        let ratio = time.as_secs_f64() / expected_s;
        1.0 - inputs.service_time.survival(ratio)
    };
    let on_target = inputs.time_to_latency_target.min(inputs.time_to_deadline);
    let in_time =
        (responds_within(on_target) + responds_within(inputs.time_to_deadline)) / 2.0;
    answered * in_time
}

/// Returns the mean number of resends of a request that is sent until a server answers,
/// `max_attempts` times at most.
fn resends_per_request(answered: f64, max_attempts: u8) -> f64 {
    let resends = 1..i32::from(max_attempts.max(1));
    resends.map(|resend| (1.0 - answered).powi(resend)).sum()
}

/// Time constant of the counts: a retry budget's usual window, so that the mix of
/// priorities is known where a box gets few requests.
const DEMAND_MEMORY: Duration = Duration::from_secs(10);
/// Time constant of the counts of attempts: short, so that a need shows before much of
/// the budget is spent.
const ATTEMPT_MEMORY: Duration = Duration::from_millis(300);
/// Own attempts count if more failed than expected by over this many deviations. Without
/// the condition, chance alone held back ordinary requests where 17 % of attempts failed.
/// With two deviations, and reports counted over 300 ms, the start of shedding showed too
/// late: urgent requests got 0.938 instead of 0.965 of what a perfect allocation serves.
const SIGNIFICANT_DEVIATIONS: f64 = 1.5;
/// The least deviation of the number of failed attempts: a single one is no evidence.
const MIN_DEVIATION: f64 = 0.5;
/// The number of own attempts that weigh as much as the reports of all boxes.
const REPORTED_WEIGHT: f64 = 3.0;
/// When a box can make no more resends, less than a whole one is left of its share. With
/// half of one, more urgent requests found no box to lease from.
const UNUSABLE_PER_BOX: f64 = 1.0;
/// At most this fraction of the budget counts as unusable, so that boxes with small
/// shares also send less urgent requests again.
const MAX_UNUSABLE_RATIO: f64 = 0.1;
/// Resends of a higher rank that are needed within this time are left over even if later
/// requests will earn as many: needs come unevenly, and the usage is known 0.1 to 0.3 s
/// late.
const RESERVE_TIME: Duration = Duration::from_secs(1);
/// Counts are decayed no more often than this.
const DECAY_INTERVAL: Duration = Duration::from_millis(100);
/// A priority with a lower count is forgotten.
const MIN_COUNT: f64 = 0.01;
/// A resend with less than this fraction of the mean gain is unlikely to succeed. One
/// that only misses the latency target has half of it, and is not.
const UNLIKELY_GAIN_RATIO: f64 = 0.4;
/// Resends that are presumed to have been likely to succeed before any were needed.
const PRESUMED_LIKELY: f64 = 1.0;
