//! The distribution of successful response times, and what it says about an attempt that
//! has no response yet.

/// The distribution of a route's successful response times around the time expected of
/// each.
///
/// Times are ratios to the expected time. Their logarithms are assumed to follow a
/// logistic distribution, whose tail is heavy enough for the few requests that take five
/// times as long as the others.
///
/// It allows a server that hangs to be detected before its requests fail, whatever the
/// route's timeout.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceTime {
    /// The moving mean of the logarithms of the ratios.
    mean_ln: f64,
    /// The moving mean of the logarithms' absolute distance from it.
    mean_deviation: f64,
    /// How many responses were recorded; the first ones have a higher weight.
    response_count: u32,
}

impl ServiceTime {
    /// Creates the distribution that is assumed before any response.
    pub fn new() -> Self {
        Self {
            mean_ln: 0.0,
            mean_deviation: INITIAL_DEVIATION,
            response_count: 0,
        }
    }

    /// Records a successful response that took `ratio` times the expected time.
    pub fn record(&mut self, ratio: f64) {
        let ln = ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO).ln();
        let distance = (ln - self.mean_ln)
            .abs()
            .min(MAX_DISTANCE_RATIO * self.mean_deviation);
        self.response_count = self.response_count.saturating_add(1);
        let weight = (1.0 / (INITIAL_WEIGHT_RESPONSES + f64::from(self.response_count)))
            .max(MIN_LEARNING_WEIGHT);
        self.mean_ln += weight * distance.copysign(ln - self.mean_ln);
        self.mean_deviation += weight * (distance - self.mean_deviation);
    }

    /// Returns how many successful responses were recorded.
    pub fn response_count(&self) -> u32 {
        self.response_count
    }

    /// Returns the fraction of successful responses that take more than `ratio` times the
    /// expected time.
    pub fn survival(&self, ratio: f64) -> f64 {
        let log_odds = (ratio.max(f64::MIN_POSITIVE).ln() - self.mean_ln) / self.scale();
        1.0 / (1.0 + log_odds.exp())
    }

    /// Returns the ratio that the fraction `share` of successful responses exceeds.
    pub fn ratio_at_survival(&self, share: f64) -> f64 {
        let log_odds = (1.0 / share - 1.0).ln();
        (self.mean_ln + log_odds * self.scale()).exp()
    }

    /// Returns the evidence of a failure, in quarters of one, that an attempt gives when
    /// it has had no response for `ratio` times the expected time.
    pub fn silence_quarters(&self, ratio: f64) -> u32 {
        let survival = self.survival(ratio);
        let reached = SILENCE_SURVIVALS.iter().filter(|share| survival <= **share);
        reached.count() as u32
    }

    /// Returns the ratio at which an attempt without a response is evidence of that many
    /// quarters of a failure; `None` for zero and for more than four quarters.
    pub fn ratio_at_quarters(&self, quarters: u32) -> Option<f64> {
        let index = usize::try_from(quarters).ok()?.checked_sub(1)?;
        let share = SILENCE_SURVIVALS.get(index)?;
        Some(self.ratio_at_survival(*share))
    }

    /// Returns the scale of the logistic distribution, whose mean absolute deviation is 2
    /// ln 2 times its scale.
    fn scale(&self) -> f64 {
        self.mean_deviation.max(MIN_DEVIATION) / (2.0 * std::f64::consts::LN_2)
    }
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self::new()
    }
}

/// The fractions of successful responses still outstanding at which the lack of a
/// response is evidence of a quarter, a half, three quarters and a whole failure. There
/// the log-likelihood ratio between a server that stalls 60% of its requests and one that
/// fails 1.5% is that part of the one of a failure (60% to 1.5%).
const SILENCE_SURVIVALS: [f64; 4] = [0.284, 0.101, 0.039, 0.0152];
/// Assumes that service times vary by half until there are responses.
const INITIAL_DEVIATION: f64 = 0.4;
/// Service times and queues vary at least this much: at this value a tenth of the
/// responses take more than 1.3 times the typical time.
const MIN_DEVIATION: f64 = 0.18;
/// How many responses the initial assumption weighs as much as.
const INITIAL_WEIGHT_RESPONSES: f64 = 3.0;
/// A box sees about one request of a route a second, so that the estimate covers about
/// the last twenty responses.
const MIN_LEARNING_WEIGHT: f64 = 0.05;
/// A single outlier counts for at most this multiple of the mean deviation.
const MAX_DISTANCE_RATIO: f64 = 4.0;
/// Ratios above this, or below its inverse, carry no further information.
const MAX_RATIO: f64 = 20.0;
