//! The error of a request that got no successful response of a server.

use std::time::Duration;

use hyper::body::Bytes;
use wingspur_protocol::ResultCode;
use wingspur_transport::ResponseHead;

/// Why a request got no successful response of a server.
#[derive(Debug)]
pub struct RequestError {
    /// The result code for the caller.
    pub code: ResultCode,
    /// Time after which the caller may send the request again; `None` stands for the
    /// code's usual time.
    pub retry_after: Option<Duration>,
    /// The server's error response, if it is passed on instead of one of the box.
    pub upstream_response: Option<BufferedResponse>,
    /// Whether this box has sent the request to no server, so that another box might.
    pub is_unsent: bool,
}

impl RequestError {
    /// Creates an error without a server's response, and with the code's usual time to
    /// retry.
    pub fn from_code(code: ResultCode) -> Self {
        Self {
            code,
            retry_after: None,
            upstream_response: None,
            is_unsent: true,
        }
    }
}

/// A response that has been received completely.
#[derive(Debug, Clone)]
pub struct BufferedResponse {
    /// The status and headers.
    pub head: ResponseHead,
    /// The body.
    pub body: Bytes,
}
