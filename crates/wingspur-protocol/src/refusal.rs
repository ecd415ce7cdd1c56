//! The body of an error response that wingspur itself makes.

use serde::{Deserialize, Serialize};

use crate::{ExecutionState, ResultCode};

/// The JSON body of an error response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// The number of the result code, as in the `wingspur-result` header.
    pub code: u16,
    /// The short name of the result code.
    pub result: String,
    /// Whether the request ran.
    pub ran: ExecutionState,
    /// The time after which to retry, in seconds; absent where a retry does not help.
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
