//! Answers of wingspur's own.

use http_body_util::Full;
use hyper::Response;
use hyper::body::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use wingspur_protocol::{RefusalBody, ResultCode};

use crate::relay::AnswerBody;

/// The header with the number of a result code.
pub const RESULT_HEADER: &str = "wingspur-result";

/// The whole answer for a result code.
pub fn refusal(code: ResultCode) -> Response<AnswerBody> {
    let body =
        serde_json::to_vec(&RefusalBody::from(code)).expect("a refusal serialises");
    let mut response = Response::new(AnswerBody::own(Full::new(Bytes::from(body))));
    let status = hyper::StatusCode::from_u16(code.status());
    *response.status_mut() = status.expect("the statuses are constants");
    let headers = response.headers_mut();
    headers.insert(RESULT_HEADER, HeaderValue::from(code.number()));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(seconds) = code.retry_after_s() {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}
