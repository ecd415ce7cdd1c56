//! Reads the heads of backend servers' answers over a published parser.

use std::time::Duration;

use hyper::StatusCode;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};

use crate::ResponseError;

/// The head of an answer, as it was read.
pub struct ParsedHead {
    /// The status.
    pub status: StatusCode,
    /// All headers.
    pub headers: HeaderMap,
    /// Whether the server keeps the connection.
    pub keeps: bool,
}

/// How a body ends, and how much of it is still to come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes are still to come.
    Length(u64),
    /// Bytes left of the present chunk; none between chunks.
    Chunked(Option<u64>),
    /// At the end of the connection.
    UntilClose,
    /// All of it has been read.
    Done,
}

/// Reads a head at the start of the bytes, with its length; none while it is not all in.
pub fn parse_head(bytes: &[u8]) -> Result<Option<(ParsedHead, usize)>, ResponseError> {
    let mut space = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Response::new(&mut space);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(error) => return Err(unreadable(&error.to_string())),
    };
    let status = StatusCode::from_u16(parsed.code.unwrap_or_default());
    let status = status.map_err(|_| unreadable("a status out of range"))?;
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let name = name.map_err(|_| unreadable("a header's name"))?;
        let value = HeaderValue::from_bytes(header.value);
        let value = value.map_err(|_| unreadable("a header's value"))?;
        headers.append(name, value);
    }
    let keeps = parsed.version == Some(1) && !has_token(&headers, &CONNECTION, "close");
    let head = ParsedHead {
        status,
        headers,
        keeps,
    };
    Ok(Some((head, length)))
}

/// How the body after a head ends.
pub fn framing_of(headers: &HeaderMap) -> Result<Framing, ResponseError> {
    let lengths = headers.get_all(CONTENT_LENGTH);
    let mut lengths = lengths
        .iter()
        .map(|value| value.to_str().ok()?.parse().ok());
    let length: Option<Option<u64>> = lengths.next();
    if headers.contains_key(TRANSFER_ENCODING) {
        if length.is_some() || !has_token(headers, &TRANSFER_ENCODING, "chunked") {
            return Err(unreadable("two readers could frame it differently"));
        }
        return Ok(Framing::Chunked(None));
    }
    match length {
        None => Ok(Framing::UntilClose),
        Some(Some(length)) if lengths.all(|other| other == Some(length)) => {
            Ok(Framing::Length(length))
        }
        Some(_) => Err(unreadable("its length")),
    }
}

/// For how long the server says that it keeps a resting connection, with a margin.
pub fn rest_of(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| {
        let (name, value) = part.trim().split_once('=')?;
        name.eq_ignore_ascii_case("timeout")
            .then(|| value.trim().parse().ok())?
    });
    let whole = Duration::from_secs(seconds?);
    Some(whole.mul_f64(REST_SHARE))
}

fn has_token(headers: &HeaderMap, name: &HeaderName, token: &str) -> bool {
    let values = headers.get_all(name);
    let mut texts = values.iter().filter_map(|value| value.to_str().ok());
    texts.any(|text| {
        text.split(',')
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    })
}

/// An answer that is none in HTTP/1.1.
pub fn unreadable(reason: &str) -> ResponseError {
    ResponseError::Unreadable(reason.to_owned())
}

const MOST_HEADERS: usize = 96;
/// Used up to this share of the time that the server gives: its clock runs ahead of ours by
/// what the answer took to arrive.
const REST_SHARE: f64 = 0.75;
