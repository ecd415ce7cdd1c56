//! Error responses of wingspur itself.

use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use hyper::{Response, StatusCode};
use wingspur_protocol::{HeaderNames, RESULT_HEADER, RefusalBody, ResultCode};

/// Returns the complete response for a result code; `retry_after` overrides the code's
/// own time to retry.
pub fn error_response(
    code: ResultCode,
    retry_after: Option<Duration>,
) -> Response<Full<Bytes>> {
    let mut body = RefusalBody::from(code);
    if let Some(after) = retry_after {
        body.retry_after_s = Some(after.as_secs_f64());
    }
    let seconds = body.retry_after_s;
    let bytes = serde_json::to_vec(&body).expect("a refusal body is serializable");
    let mut response = Response::new(Full::new(Bytes::from(bytes)));
    let status = StatusCode::from_u16(code.status());
    *response.status_mut() = status.expect("the status of a result code is valid");
    let headers = response.headers_mut();
    headers.insert(RESULT_HEADER, HeaderValue::from(code.number()));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if code == ResultCode::UnknownKey {
        headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    if let Some(seconds) = seconds {
        let value = HeaderValue::from_str(&format!("{seconds}"));
        headers.insert(
            RETRY_AFTER,
            value.expect("a number is a valid header value"),
        );
    }
    response
}

/// Adds the id of the request that a response belongs to, if the request has one.
pub fn name_request<B>(
    response: &mut Response<B>,
    names: &HeaderNames,
    id: Option<HeaderValue>,
) {
    if let Some(id) = id {
        response.headers_mut().insert(names.request_id, id);
    }
}
