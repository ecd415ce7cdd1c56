//! Limits that backend servers name in their answers.

/// Reads the requests a second that a server takes from all boxes together, as it names them
/// in an answer.
///
/// A server names a limit while it is in need, so of several readable values the least
/// counts. A value that is no plain decimal number says nothing, neither that there is a
/// limit nor that there is none: `Err`.
pub fn parse_server_limit<'a>(
    values: impl IntoIterator<Item = &'a [u8]>,
) -> Result<Option<f64>, InvalidServerLimit> {
    let mut values = values.into_iter().peekable();
    if values.peek().is_none() {
        return Ok(None);
    }
    let readable = values.filter_map(decimal);
    let least = readable.min_by(f64::total_cmp).ok_or(InvalidServerLimit)?;
    Ok(Some(least))
}

/// No value of the header is a plain decimal number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the limit is no plain decimal number")]
pub struct InvalidServerLimit;

/// Digits with at most one point, as `0`, `1.6` or `20`.
fn decimal(value: &[u8]) -> Option<f64> {
    let text = str::from_utf8(value.trim_ascii()).ok()?;
    let is_plain = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    // Longer ones are beyond any rate; as numbers they would lose their meaning.
    let is_short = text.len() <= MOST_DIGITS;
    if !is_plain || !is_short {
        return None;
    }
    text.parse().ok()
}

/// A rate of 10^15 a second with as many places would still be read.
const MOST_DIGITS: usize = 32;
