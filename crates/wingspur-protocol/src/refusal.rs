//! The body of an answer that wingspur makes itself.

use serde::{Deserialize, Serialize};

use crate::ResultCode;

/// Whether the request ran at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionState {
    /// It surely did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran.
    Ran,
}

/// The JSON body of a refusal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// The number, as in the `wingspur-result` header.
    pub code: u16,
    /// The code's short name.
    pub result: String,
    /// Whether the request ran.
    pub ran: ExecutionState,
    /// When to ask again, in seconds; absent where asking again does not help.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<f64>,
}

impl From<ResultCode> for RefusalBody {
    fn from(code: ResultCode) -> Self {
        Self {
            code: code.number(),
            result: code.name().to_owned(),
            ran: code.run_state(),
            retry_after_s: code.retry_after_s().map(f64::from),
        }
    }
}
