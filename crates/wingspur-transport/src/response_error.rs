//! Why a response is missing or unusable.

use std::io;

/// Why a response is missing or unusable. But for [`ResponseError::NotSent`], the request
/// may have run.
#[derive(Debug, thiserror::Error)]
pub enum ResponseError {
    /// The connection failed before any byte of the request was written to it.
    #[error("the request was not sent: {0}")]
    NotSent(io::Error),
    /// The connection failed or ended before the response was complete.
    #[error("the answer broke off: {0}")]
    Broken(io::Error),
    /// The received bytes are not a usable HTTP/1.1 response; contains the reason.
    #[error("unusable response: {0}")]
    Unreadable(String),
    /// The request body from the caller ended early or was too long.
    #[error("the request body was interrupted or too long")]
    RequestBody,
}

impl ResponseError {
    /// Returns whether the connection failed or ended, which also happens when the
    /// server's process ends.
    pub fn is_connection_lost(&self) -> bool {
        matches!(self, Self::Broken(_))
    }
}
