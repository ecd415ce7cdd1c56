//! Why a request got no answer of a server.

use std::time::Duration;

use hyper::body::Bytes;
use wingspur_protocol::ResultCode;
use wingspur_transport::ResponseHead;

/// Why a request got no answer.
#[derive(Debug)]
pub struct RequestError {
    /// What the caller is told.
    pub code: ResultCode,
    /// When it may ask again.
    pub retry_after: Option<Duration>,
    /// The server's own failure, if it is to be passed on instead.
    pub upstream_response: Option<BufferedResponse>,
}

impl RequestError {
    /// A refusal of the box's own, to come back after the code's usual time.
    pub fn from_code(code: ResultCode) -> Self {
        Self {
            code,
            retry_after: None,
            upstream_response: None,
        }
    }
}

/// An answer that is here whole.
#[derive(Debug, Clone)]
pub struct BufferedResponse {
    /// The status and headers.
    pub head: ResponseHead,
    /// The body.
    pub body: Bytes,
}
