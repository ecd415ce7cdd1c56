//! Decides when a hedge, a second attempt beside one without a response yet, is worth its
//! cost.

use std::time::Duration;

use crate::ServiceTime;

/// What is known when an attempt begins.
#[derive(Debug, Clone, Copy)]
pub struct HedgeInputs {
    /// The probability that its server fails the request.
    pub failure_probability: f64,
    /// When its response is expected if the server is healthy, from the start of the
    /// attempt.
    pub expected: Duration,
    /// The distribution of the route's successful response times around that.
    pub service_time: ServiceTime,
    /// How long after the start of the attempt a response still meets the latency target.
    pub time_to_latency_target: Duration,
    /// The fraction of the retry budget that is used up, 0 to 1.
    pub budget_used_ratio: f64,
}

/// Returns how long an attempt may go without a response before a hedge is sent.
///
/// The hedge is sent when the attempt has more likely failed than is slow, and later as
/// the retry budget is used up. While the budget is ample, it is sent early enough to
/// meet the latency target itself. Fewer reads fail than with a hedge after a fixed
/// multiple of the typical latency.
pub fn hedge_delay(inputs: &HedgeInputs) -> Duration {
    let budget_used = inputs.budget_used_ratio.clamp(0.0, 1.0);
    let threshold = MIN_FAILED_PROBABILITY
        + (MAX_FAILED_PROBABILITY - MIN_FAILED_PROBABILITY) * budget_used;
    let failure_probability = inputs
        .failure_probability
        .clamp(MIN_FAILURE_PROBABILITY, MAX_FAILURE_PROBABILITY);
    let odds = failure_probability / (1.0 - failure_probability);
    // The fraction of successful responses still outstanding at the time when the
    // probability that the attempt has failed reaches the threshold.
    let survival = (odds * (1.0 - threshold) / threshold).min(MAX_OVERTAKEN_RATIO);
    let delay_at_survival = |survival: f64| {
        let ratio = inputs.service_time.ratio_at_survival(survival);
        inputs.expected.mul_f64(ratio)
    };
    let threshold_delay = delay_at_survival(survival);
    if budget_used > AMPLE_BUDGET_USED_RATIO {
        return threshold_delay;
    }
    let hedge_latency = inputs.expected.mul_f64(HEDGE_LATENCY_RATIO);
    let latest_on_target = inputs.time_to_latency_target.saturating_sub(hedge_latency);
    threshold_delay.min(latest_on_target.max(delay_at_survival(MAX_OVERTAKEN_RATIO)))
}

/// The probability that the first attempt has failed at which the hedge is sent: the
/// minimum while the budget is unused, the maximum when all of it is used.
const MIN_FAILED_PROBABILITY: f64 = 0.5;
const MAX_FAILED_PROBABILITY: f64 = 0.95;
/// No server is certain to succeed, or to fail.
const MIN_FAILURE_PROBABILITY: f64 = 0.005;
const MAX_FAILURE_PROBABILITY: f64 = 0.95;
/// However likely the first server fails, at most this fraction of its successful
/// responses takes longer than the delay of the hedge.
const MAX_OVERTAKEN_RATIO: f64 = 0.2;
/// While no more of the budget is used, a hedge is sent early enough for the latency
/// target.
const AMPLE_BUDGET_USED_RATIO: f64 = 0.5;
/// Three of four successful responses take less than this multiple of the expected time.
const HEDGE_LATENCY_RATIO: f64 = 1.25;
