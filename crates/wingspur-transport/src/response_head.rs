//! Reads the heads of backend servers' responses by means of the `httparse` crate.

use std::time::Duration;

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use hyper::{Method, StatusCode, Version};

use crate::ResponseError;

/// The head of a response, as parsed.
pub struct ParsedHead {
    /// HTTP/1.0 or HTTP/1.1.
    pub version: Version,
    /// The status, below 600.
    pub status: StatusCode,
    /// All headers.
    pub headers: HeaderMap,
    /// Whether some lines end with CR LF and others with a LF alone. Either is valid;
    /// together they show that the head may have ended elsewhere.
    has_mixed_line_ends: bool,
}

/// How the end of a body is recognized, and how much of it has not been read yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The body has a known length; this many bytes have not been read.
    Length(u64),
    /// The body is chunked. The number is how many bytes of the current chunk have not
    /// been read; `None` where the next chunk's header is to be read.
    Chunked(Option<u64>),
    /// The body ends when the server closes the connection.
    UntilClose,
    /// The head does not say where the body ends, so that it cannot be read.
    Undelimited,
    /// The whole body has been read.
    Done,
}

/// Parses the head at the start of `bytes` and returns it with its length in bytes, or
/// `None` while the head is incomplete.
///
/// Fails with `ResponseError::Unreadable` when the bytes are not an HTTP/1 response head.
pub fn parse_head(bytes: &[u8]) -> Result<Option<(ParsedHead, usize)>, ResponseError> {
    let mut space = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut space);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(error) => return Err(unreadable(&error.to_string())),
    };
    let status = StatusCode::from_u16(parsed.code.unwrap_or_default());
    let status = status.map_err(|_| unreadable("the status code is out of range"))?;
    check_status(status)?;
    let beginning = bytes[..length].trim_ascii_start();
    if contains_status_line(&beginning[1..]) {
        return Err(unreadable("two heads are joined in it"));
    }
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let name = name.map_err(|_| unreadable("a header name is invalid"))?;
        let value = HeaderValue::from_bytes(header.value);
        let value = value.map_err(|_| unreadable("a header value is invalid"))?;
        headers.append(name, value);
    }
    let head = ParsedHead {
        version: match parsed.version {
            Some(0) => Version::HTTP_10,
            _ => Version::HTTP_11,
        },
        status,
        headers,
        has_mixed_line_ends: has_mixed_line_ends(beginning),
    };
    Ok(Some((head, length)))
}

impl ParsedHead {
    /// Whether the server keeps the connection open after this response: it speaks
    /// HTTP/1.1 and sent no `Connection: close`.
    pub fn keeps_open(&self) -> bool {
        self.version == Version::HTTP_11
            && !has_token(&self.headers, &CONNECTION, "close")
    }

    /// Returns how the end of the body after this head is recognized.
    ///
    /// Fails with `ResponseError::Unreadable` when the headers are invalid or contradict
    /// each other, so that two readers could disagree on where the body ends.
    pub fn framing(&self, method: &Method) -> Result<Framing, ResponseError> {
        let framing = declared_framing(self.version, &self.headers)?;
        let is_empty = matches!(framing, None | Some(Framing::Length(0)));
        match self.status {
            _ if *method == Method::HEAD => Ok(Framing::Done),
            StatusCode::NOT_MODIFIED => Ok(Framing::Done),
            StatusCode::NO_CONTENT if is_empty => Ok(Framing::Done),
            StatusCode::NO_CONTENT => Err(unreadable("a 204 with a body")),
            _ => Ok(framing.unwrap_or_else(|| self.framing_without_length())),
        }
    }

    /// Returns how the end of a body without a length is recognized. A server announces
    /// the close that ends it (RFC 9112, section 9.6). Without that, or beside a misspelled
    /// length or encoding, the head was damaged and the body may have had another end.
    fn framing_without_length(&self) -> Framing {
        let is_announced = match self.version {
            Version::HTTP_10 => !has_token(&self.headers, &CONNECTION, "keep-alive"),
            _ => has_token(&self.headers, &CONNECTION, "close"),
        };
        let is_misspelled = |name: &HeaderName| {
            [CONTENT_LENGTH, TRANSFER_ENCODING]
                .iter()
                .any(|framing| is_misspelling(name.as_str(), framing.as_str()))
        };
        let is_damaged =
            self.has_mixed_line_ends || self.headers.keys().any(is_misspelled);
        match is_announced && !is_damaged {
            true => Framing::UntilClose,
            false => Framing::Undelimited,
        }
    }
}

/// Returns what the headers say of the end of the body; `None` if nothing.
fn declared_framing(
    version: Version,
    headers: &HeaderMap,
) -> Result<Option<Framing>, ResponseError> {
    let lengths = headers.get_all(CONTENT_LENGTH);
    let mut lengths = lengths.iter().map(parse_length);
    let length: Option<Option<u64>> = lengths.next();
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    if let Some(coding) = codings.next() {
        // No other coding was asked for, and HTTP/1.0 has none.
        let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked")
            && codings.next().is_none()
            && version == Version::HTTP_11;
        if length.is_some() || !is_chunked {
            return Err(unreadable(
                "`Transfer-Encoding` is not just `chunked`, or beside `Content-Length`",
            ));
        }
        return Ok(Some(Framing::Chunked(None)));
    }
    match length {
        None => Ok(None),
        Some(Some(length)) if lengths.all(|other| other == Some(length)) => {
            Ok(Some(Framing::Length(length)))
        }
        Some(_) => Err(unreadable("its `Content-Length` is invalid")),
    }
}

/// Parses a `Content-Length`, which consists of digits only.
fn parse_length(value: &HeaderValue) -> Option<u64> {
    let text = value.to_str().ok()?;
    let has_only_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    has_only_digits.then(|| text.parse().ok())?
}

/// Whether a name differs from another one by a byte that is replaced, added or missing,
/// or by two adjacent bytes that are replaced.
fn is_misspelling(name: &str, of: &str) -> bool {
    let (name, of) = (name.as_bytes(), of.as_bytes());
    let same = |(a, b): &(&u8, &u8)| a == b;
    let prefix = name.iter().zip(of).take_while(same).count();
    let (name, of) = (&name[prefix..], &of[prefix..]);
    let suffix = name.iter().rev().zip(of.iter().rev());
    let suffix = suffix.take_while(same).count();
    let differing = (name.len() - suffix, of.len() - suffix);
    matches!(differing, (1, 1) | (2, 2) | (0, 1) | (1, 0))
}

/// Checks that a status is one of HTTP's five classes (RFC 9110, section 15).
fn check_status(status: StatusCode) -> Result<(), ResponseError> {
    match status.as_u16() {
        100..600 => Ok(()),
        _ => Err(unreadable("the status code is out of range")),
    }
}

/// Whether bytes contain a status line. Within a head, it shows that the head was cut off
/// and is followed by another one.
fn contains_status_line(bytes: &[u8]) -> bool {
    let is_status_line = |line: &[u8]| {
        line.starts_with(b"HTTP/1.")
            && line[7].is_ascii_digit()
            && line[8] == b' '
            && line[9..].iter().all(u8::is_ascii_digit)
    };
    bytes.windows(12).any(is_status_line)
}

fn has_mixed_line_ends(head: &[u8]) -> bool {
    let line_feeds = head.iter().filter(|byte| **byte == b'\n').count();
    let pairs = head.windows(2).filter(|pair| pair == b"\r\n").count();
    pairs > 0 && pairs < line_feeds
}

/// Parses the chunk header at the start of `bytes` and returns its length in bytes and the
/// size of the chunk, or `None` while the header is incomplete.
///
/// Fails with `ResponseError::Unreadable` when there is no size or an invalid one.
pub fn parse_chunk_header(bytes: &[u8]) -> Result<Option<(usize, u64)>, ResponseError> {
    // The parser takes an empty line for a chunk of size 0.
    if bytes.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) {
        return Err(unreadable("a chunk has no size"));
    }
    match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Complete(header)) => Ok(Some(header)),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(unreadable("a chunk size is invalid")),
    }
}

/// Checks what follows a response: only another response may. Other bytes belong to its
/// body, so that the head did not tell where the body ends.
pub fn check_following(bytes: &[u8]) -> Result<(), ResponseError> {
    let length = bytes.len().min(STATUS_LINE_START.len());
    match bytes[..length] == STATUS_LINE_START[..length] {
        true => Ok(()),
        false => Err(unreadable("it is followed by bytes that begin no response")),
    }
}

/// Returns the error for a body with [`Framing::Undelimited`].
pub fn undelimited() -> ResponseError {
    unreadable("its head does not say where its body ends")
}

/// Checks that a line, without its end, is a header field.
pub fn check_field(line: &[u8]) -> Result<(), ResponseError> {
    let colon = line.iter().position(|byte| *byte == b':');
    let (name, value) =
        colon.map_or((line, None), |at| (&line[..at], line.get(at + 1..)));
    let is_field = HeaderName::from_bytes(name).is_ok()
        && value.is_some_and(|value| HeaderValue::from_bytes(value).is_ok());
    match is_field {
        true => Ok(()),
        false => Err(unreadable("a trailer is no header field")),
    }
}

/// Returns for how long an idle connection may be reused, from the timeout in the
/// server's `Keep-Alive` header less a safety margin; `None` without a readable timeout.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| {
        let (name, value) = part.trim().split_once('=')?;
        name.eq_ignore_ascii_case("timeout")
            .then(|| value.trim().parse().ok())?
    });
    let timeout = Duration::from_secs(seconds?);
    Some(timeout.mul_f64(IDLE_TIME_FRACTION))
}

fn has_token(headers: &HeaderMap, name: &HeaderName, token: &str) -> bool {
    let values = headers.get_all(name);
    let mut texts = values.iter().filter_map(|value| value.to_str().ok());
    texts.any(|text| {
        text.split(',')
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    })
}

/// Returns the error for a response that is not valid HTTP/1.1.
pub fn unreadable(reason: &str) -> ResponseError {
    ResponseError::Unreadable(reason.to_owned())
}

/// What a status line of HTTP/1 begins with.
const STATUS_LINE_START: &[u8] = b"HTTP/1.";
/// The largest number of headers in a response.
const MAX_HEADERS: usize = 96;
/// A connection is reused for this fraction of the server's timeout only. The server
/// started the timeout when it sent the response, earlier than this box received it.
const IDLE_TIME_FRACTION: f64 = 0.75;
