//! What a backend server announces about itself in the head of a response.

use std::time::Duration;

use crate::InvalidServerLimit;

/// The state that a server announces about itself in the head of one response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerHints {
    /// Whether the server is draining: it is about to end and wants no new requests.
    pub draining: Result<bool, InvalidDraining>,
    /// How long the server wants no requests from the box to which it responded; `None`
    /// where it asks for no backoff.
    pub backoff: Result<Option<Duration>, InvalidBackoff>,
    /// The requests per second that the server accepts from all boxes together; `None`
    /// for no limit.
    pub limit_per_s: Result<Option<f64>, InvalidServerLimit>,
    /// Whether the response comes from another instance of the server than the one
    /// addressed; the other fields then do not describe the addressed instance.
    pub is_other_instance: bool,
}

/// Parses whether a server announces that it is draining: `1` or `true`, `0` or `false`.
///
/// No values mean that it is not draining. Draining is never undone, so of several valid
/// values a single `1` or `true` decides. Fails if there are values and none of them is
/// valid.
pub fn parse_draining<'a>(
    values: impl IntoIterator<Item = &'a [u8]>,
) -> Result<bool, InvalidDraining> {
    let mut values = values.into_iter().peekable();
    if values.peek().is_none() {
        return Ok(false);
    }
    let mut valid = values.filter_map(parse_flag).peekable();
    valid.peek().ok_or(InvalidDraining)?;
    Ok(valid.any(|is_draining| is_draining))
}

/// Parses how long a server wants no requests, from the values of `Retry-After`. Returns
/// `None` without a value, or where the backoff is zero.
///
/// Seconds may have fractions; `until` returns how far off a date is. Of several
/// valid values the longest counts, and values above one day count as one day. Fails if
/// there are values and none of them is valid.
pub fn parse_backoff<'a>(
    values: impl IntoIterator<Item = &'a [u8]>,
    until: impl Fn(&str) -> Option<Duration>,
) -> Result<Option<Duration>, InvalidBackoff> {
    let mut values = values.into_iter().peekable();
    if values.peek().is_none() {
        return Ok(None);
    }
    let valid = values.filter_map(|value| {
        let text = str::from_utf8(value.trim_ascii()).ok()?;
        parse_seconds(text).or_else(|| until(text))
    });
    let longest = valid.max().ok_or(InvalidBackoff)?;
    Ok(Some(longest.min(MAX_BACKOFF)).filter(|backoff| !backoff.is_zero()))
}

/// No value of the draining header is valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the draining header is neither `0` nor `1`")]
pub struct InvalidDraining;

/// No value of `Retry-After` is a number of seconds or a date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("`Retry-After` is neither a number of seconds nor a date")]
pub struct InvalidBackoff;

fn parse_flag(value: &[u8]) -> Option<bool> {
    match value.trim_ascii() {
        b"1" => Some(true),
        b"0" => Some(false),
        text if text.eq_ignore_ascii_case(b"true") => Some(true),
        text if text.eq_ignore_ascii_case(b"false") => Some(false),
        _ => None,
    }
}

/// Parses a decimal number of seconds, such as `0`, `1.6` or `20`: digits with at most
/// one point. Returns `None` for any other text.
fn parse_seconds(text: &str) -> Option<Duration> {
    let is_plain = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    if !is_plain {
        return None;
    }
    let seconds: f64 = text.parse().ok()?;
    Some(Duration::from_secs_f64(
        seconds.min(MAX_BACKOFF.as_secs_f64()),
    ))
}

/// A server does not need a longer backoff, and it can ask for another one.
const MAX_BACKOFF: Duration = Duration::from_secs(86_400);
