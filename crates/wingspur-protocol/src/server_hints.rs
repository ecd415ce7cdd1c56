//! What a backend server says of itself in the head of an answer.

use std::time::Duration;

use crate::InvalidServerLimit;

/// What the head of one answer says of the server that gave it, beside the answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerHints {
    /// Whether the server leaves: it is about to end and wants no new work.
    pub draining: Result<bool, InvalidDraining>,
    /// For how long it wants nothing of the box that it answered; none where it asks for no
    /// rest.
    pub backoff: Result<Option<Duration>, InvalidBackoff>,
    /// The requests a second that it takes from all boxes together; none for no limit.
    pub limit_per_s: Result<Option<f64>, InvalidServerLimit>,
    /// Whether it surely did not run the request.
    pub not_run: bool,
    /// Whether it is another run than the one that was asked: what it says is not of that.
    pub is_other_instance: bool,
}

/// Reads whether a server says that it leaves: `1` or `true`, `0` or `false`.
///
/// A server that leaves does not come back, so of several readable values one that says so
/// counts.
pub fn parse_draining<'a>(
    values: impl IntoIterator<Item = &'a [u8]>,
) -> Result<bool, InvalidDraining> {
    let mut values = values.into_iter().peekable();
    if values.peek().is_none() {
        return Ok(false);
    }
    let mut readable = values.filter_map(flag).peekable();
    readable.peek().ok_or(InvalidDraining)?;
    Ok(readable.any(|says_so| says_so))
}

/// Reads for how long a server wants nothing, by the values of `Retry-After`; none where
/// there is none.
///
/// Seconds may have fractions; `until` tells how far off a date is. Of several readable
/// values the longest counts, and what is longer than a day is taken for a day.
pub fn parse_backoff<'a>(
    values: impl IntoIterator<Item = &'a [u8]>,
    until: impl Fn(&str) -> Option<Duration>,
) -> Result<Option<Duration>, InvalidBackoff> {
    let mut values = values.into_iter().peekable();
    if values.peek().is_none() {
        return Ok(None);
    }
    let readable = values.filter_map(|value| {
        let text = str::from_utf8(value.trim_ascii()).ok()?;
        seconds(text).or_else(|| until(text))
    });
    let longest = readable.max().ok_or(InvalidBackoff)?;
    Ok(Some(longest.min(LONGEST_REST)).filter(|rest| !rest.is_zero()))
}

/// No value says whether the server leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("whether the server leaves is neither `0` nor `1`")]
pub struct InvalidDraining;

/// No value of `Retry-After` is a number of seconds or a date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the rest is neither a number of seconds nor a date")]
pub struct InvalidBackoff;

fn flag(value: &[u8]) -> Option<bool> {
    match value.trim_ascii() {
        b"1" => Some(true),
        b"0" => Some(false),
        word if word.eq_ignore_ascii_case(b"true") => Some(true),
        word if word.eq_ignore_ascii_case(b"false") => Some(false),
        _ => None,
    }
}

/// Digits with at most one point, as `0`, `1.6` or `20`.
fn seconds(text: &str) -> Option<Duration> {
    let is_plain = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    if !is_plain {
        return None;
    }
    let seconds: f64 = text.parse().ok()?;
    Some(Duration::from_secs_f64(
        seconds.min(LONGEST_REST.as_secs_f64()),
    ))
}

/// No need of a server lasts longer; it would ask again.
const LONGEST_REST: Duration = Duration::from_secs(86_400);
