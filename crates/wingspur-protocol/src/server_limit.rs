//! Rate limits that backend servers announce in their responses.

/// Parses the requests per second that a server accepts from all boxes together, from the
/// values of its limit header. Returns `None` without a value, which means no limit.
///
/// A server announces a limit while it is overloaded, so of several valid values the
/// lowest counts. Fails if there are values and none of them is a plain decimal number:
/// such a header states neither that there is a limit nor that there is none.
pub fn parse_server_limit<'a>(
    values: impl IntoIterator<Item = &'a [u8]>,
) -> Result<Option<f64>, InvalidServerLimit> {
    let mut values = values.into_iter().peekable();
    if values.peek().is_none() {
        return Ok(None);
    }
    let valid = values.filter_map(parse_decimal);
    let lowest = valid.min_by(f64::total_cmp).ok_or(InvalidServerLimit)?;
    Ok(Some(lowest))
}

/// No value of the limit header is a plain decimal number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the server limit is not a plain decimal number")]
pub struct InvalidServerLimit;

/// Parses a plain decimal number, such as `0`, `1.6` or `20`: digits with at most one
/// point. Returns `None` for any other text.
fn parse_decimal(value: &[u8]) -> Option<f64> {
    let text = str::from_utf8(value.trim_ascii()).ok()?;
    let is_plain = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    // Longer numbers are beyond any rate and would lose precision as `f64`.
    let is_short = text.len() <= MAX_NUMBER_BYTES;
    if !is_plain || !is_short {
        return None;
    }
    text.parse().ok()
}

/// Enough for a rate of 10^15 per second with as many decimal places.
const MAX_NUMBER_BYTES: usize = 32;
