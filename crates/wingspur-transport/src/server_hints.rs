//! Decodes what a backend server says of itself in the head of an answer.

use std::time::{Duration, SystemTime};

use hyper::StatusCode;
use hyper::header::{DATE, HeaderMap, RETRY_AFTER};
use wingspur_protocol::{
    HeaderNames, ServerHints, parse_backoff, parse_draining, parse_server_limit,
};

use crate::ResponseHead;

impl ResponseHead {
    /// What the server says of itself; `now` is the time of day, for a server that names a
    /// date and does not tell its own.
    pub fn hints(&self, names: &HeaderNames, now: SystemTime) -> ServerHints {
        let headers = &self.headers;
        let is_other_run = self.status == StatusCode::MISDIRECTED_REQUEST
            && names.expected_server_id.is_some();
        let is_marked = names
            .not_executed
            .is_some_and(|name| headers.contains_key(name));
        // Other statuses use it for other ends, as when a page has moved.
        let asks_for_rest = self.status == StatusCode::SERVICE_UNAVAILABLE;
        let rest = match asks_for_rest {
            true => parse_backoff(values(headers, Some(RETRY_AFTER.as_str())), |text| {
                until_date(text, headers, now)
            }),
            false => Ok(None),
        };
        ServerHints {
            draining: parse_draining(values(headers, names.draining)),
            backoff: rest,
            limit_per_s: parse_server_limit(values(headers, names.server_limit)),
            not_run: is_other_run || is_marked,
            is_other_instance: is_other_run,
        }
    }
}

/// How far off a date is, by the clock of the server that named it if the answer tells that:
/// the box's own may be off by seconds.
fn until_date(text: &str, headers: &HeaderMap, now: SystemTime) -> Option<Duration> {
    let date = httpdate::parse_http_date(text).ok()?;
    let told = headers.get(DATE).and_then(|value| value.to_str().ok());
    let told = told.and_then(|text| httpdate::parse_http_date(text).ok());
    let from = told.unwrap_or(now);
    Some(date.duration_since(from).unwrap_or_default())
}

/// The values of a header, where there is such a header at all.
fn values<'a>(
    headers: &'a HeaderMap,
    name: Option<&'static str>,
) -> impl Iterator<Item = &'a [u8]> {
    let all = name.map(|name| headers.get_all(name));
    let values = all.into_iter().flatten();
    values.map(hyper::header::HeaderValue::as_bytes)
}
