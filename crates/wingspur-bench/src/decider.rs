//! The outlier detectors that a replay can run with.

/// The outlier detector that decides in a replay which servers are held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decider {
    /// The outlier detector of the service, from the evidence of all boxes.
    Wingspur,
    /// Each wingspur box, from its own evidence alone.
    OwnEvidence,
    /// A baseline: each box ejects a server after a number of consecutive errors.
    ConsecutiveErrors,
    /// A baseline: each box ejects servers whose success rate is far below the mean.
    SuccessRate,
}

impl Decider {
    /// All detectors; `Wingspur` is the first.
    pub const ALL: [Self; 4] = [
        Self::Wingspur,
        Self::OwnEvidence,
        Self::ConsecutiveErrors,
        Self::SuccessRate,
    ];
}
