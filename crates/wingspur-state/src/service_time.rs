//! How long good answers take, and what the silence of an attempt says.

/// The spread of good answers of a route around the time expected of each.
///
/// Times are told as ratios: how many times the expected time an answer took. Their
/// logarithms are taken to follow the logistic distribution: its tail is heavy enough for
/// the few requests that take five times as long as the rest.
///
/// A server that hangs is found before its requests are lost, whatever the
/// route's time-out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceTime {
    /// The mean of the ratios' logarithms.
    centre: f64,
    /// The mean distance of the logarithms from it.
    deviation: f64,
    /// How many answers were taken in; the first ones weigh more.
    answers: u32,
}

impl ServiceTime {
    /// Before any answer.
    pub fn new() -> Self {
        Self {
            centre: 0.0,
            deviation: FIRST_DEVIATION,
            answers: 0,
        }
    }

    /// Takes in a good answer that took `ratio` times what was expected.
    pub fn record(&mut self, ratio: f64) {
        let ln = ratio.clamp(1.0 / MOST_RATIO, MOST_RATIO).ln();
        let distance = (ln - self.centre).abs().min(MOST_DISTANCE * self.deviation);
        self.answers = self.answers.saturating_add(1);
        let weight = (1.0 / (FIRST_WORTH + f64::from(self.answers))).max(LEARNING_WEIGHT);
        self.centre += weight * distance.copysign(ln - self.centre);
        self.deviation += weight * (distance - self.deviation);
    }

    /// How many good answers it rests on.
    pub fn answers(&self) -> u32 {
        self.answers
    }

    /// The share of good answers that take more than `ratio` times what was expected.
    pub fn survival(&self, ratio: f64) -> f64 {
        let over = (ratio.max(f64::MIN_POSITIVE).ln() - self.centre) / self.scale();
        1.0 / (1.0 + over.exp())
    }

    /// The ratio that is passed by a share of good answers.
    pub fn ratio_at_survival(&self, share: f64) -> f64 {
        let over = (1.0 / share - 1.0).ln();
        (self.centre + over * self.scale()).exp()
    }

    /// How many quarters of a failure an attempt tells of that has been silent for
    /// `ratio` times what was expected.
    pub fn silence_quarters(&self, ratio: f64) -> u32 {
        let still_good = self.survival(ratio);
        let reached = SILENCE_SURVIVALS
            .iter()
            .filter(|share| still_good <= **share);
        reached.count() as u32
    }

    /// The ratio at which the silence of an attempt tells of so many quarters; none past
    /// the last.
    pub fn ratio_at_quarters(&self, quarters: u32) -> Option<f64> {
        let index = usize::try_from(quarters).ok()?.checked_sub(1)?;
        let share = SILENCE_SURVIVALS.get(index)?;
        Some(self.ratio_at_survival(*share))
    }

    /// The scale of the logistic distribution, whose mean distance is 2 ln 2 of it.
    fn scale(&self) -> f64 {
        self.deviation.max(LEAST_DEVIATION) / (2.0 * std::f64::consts::LN_2)
    }
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self::new()
    }
}

/// A quarter, a half, three quarters and the whole of the evidence of a failure: shares
/// at which a server that stalls six in ten and one that fails 1.5 in 100 differ by so
/// much of the log-likelihood of a failure (6/10 to 1.5/100).
const SILENCE_SURVIVALS: [f64; 4] = [0.284, 0.101, 0.039, 0.0152];
/// Work that varies by half, until answers tell better.
const FIRST_DEVIATION: f64 = 0.4;
/// Work times and queues never vary less than this: a tenth of the answers would take 1.3
/// times the usual.
const LEAST_DEVIATION: f64 = 0.18;
/// What is assumed at first is worth so many answers.
const FIRST_WORTH: f64 = 3.0;
/// A box sees about one request of a route a second: twenty of them make the figure.
const LEARNING_WEIGHT: f64 = 0.05;
/// One straggler counts for no more than so many usual distances.
const MOST_DISTANCE: f64 = 4.0;
/// A ratio beyond this says no more.
const MOST_RATIO: f64 = 20.0;
