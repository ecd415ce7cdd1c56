//! Decodes what a backend server reports about itself in the head of a response.

use std::time::{Duration, SystemTime};

use hyper::StatusCode;
use hyper::header::{DATE, HeaderMap, RETRY_AFTER};
use wingspur_protocol::{
    HeaderNames, ServerHints, parse_backoff, parse_draining, parse_server_limit,
};

use crate::ResponseHead;

impl ResponseHead {
    /// Decodes what the server reports about itself.
    ///
    /// `now` is the time of day of this box. It is used only if `Retry-After` is a date
    /// and the response has no readable `Date` header.
    pub fn hints(&self, names: &HeaderNames, now: SystemTime) -> ServerHints {
        let headers = &self.headers;
        let is_wrong_instance = self.status == StatusCode::MISDIRECTED_REQUEST
            && names.expected_server_id.is_some();
        // With other statuses `Retry-After` has other meanings, such as for redirects.
        let may_ask_for_backoff = self.status == StatusCode::SERVICE_UNAVAILABLE;
        let requested_backoff = match may_ask_for_backoff {
            true => parse_backoff(values(headers, Some(RETRY_AFTER.as_str())), |text| {
                until_date(text, headers, now)
            }),
            false => Ok(None),
        };
        ServerHints {
            draining: parse_draining(values(headers, names.draining)),
            backoff: requested_backoff,
            limit_per_s: parse_server_limit(values(headers, names.server_limit)),
            is_other_instance: is_wrong_instance,
        }
    }
}

/// Returns the time until a date, zero if it has passed, or `None` if `text` is not a
/// date. It is relative to the `Date` header of the response if there is a readable one,
/// as the clock of this box may be off by seconds, else to `now`.
fn until_date(text: &str, headers: &HeaderMap, now: SystemTime) -> Option<Duration> {
    let date = httpdate::parse_http_date(text).ok()?;
    let server_now = headers.get(DATE).and_then(|value| value.to_str().ok());
    let server_now = server_now.and_then(|text| httpdate::parse_http_date(text).ok());
    let from = server_now.unwrap_or(now);
    Some(date.duration_since(from).unwrap_or_default())
}

/// Returns the values of a header; none if `name` is `None`, that is, if servers use no
/// such header.
fn values<'a>(
    headers: &'a HeaderMap,
    name: Option<&'static str>,
) -> impl Iterator<Item = &'a [u8]> {
    let all = name.map(|name| headers.get_all(name));
    let values = all.into_iter().flatten();
    values.map(hyper::header::HeaderValue::as_bytes)
}
