//! Who decides about servers in a replay.

/// Who decides in a replay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decider {
    /// All boxes together, through a judge.
    Wingspur,
    /// Each wingspur box by its own evidence alone.
    OwnEvidence,
    /// Each box ejects after some errors in a row.
    ConsecutiveErrors,
    /// Each box ejects outliers of the success rate.
    SuccessRate,
}

impl Decider {
    /// All of them, ours first.
    pub const ALL: [Self; 4] = [
        Self::Wingspur,
        Self::OwnEvidence,
        Self::ConsecutiveErrors,
        Self::SuccessRate,
    ];
}
