//! A client's byte stream that fails where a response is damaged.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use futures_lite::{AsyncRead, AsyncWrite};
use hyper::Method;

use crate::ResponseError;
use crate::response_head::{
    Framing, check_field, check_following, parse_chunk_header, parse_head, undelimited,
    unreadable,
};

/// A stream for an HTTP/1.1 client that is more lenient than `BackendConnection`. A read
/// fails if its bytes show that a response is damaged.
#[derive(Debug)]
pub struct CheckedStream<S> {
    stream: S,
    checker: ResponseChecker,
}

/// Follows the responses on a connection byte by byte.
#[derive(Debug)]
struct ResponseChecker {
    position: Position,
    /// The beginning of a head, a chunk header or a trailer line whose end has not
    /// arrived.
    partial: Vec<u8>,
    is_head_request: HeadRequestFlag,
}

/// Whether the current request of a connection has the method `HEAD`, so that its response
/// has no body.
#[derive(Debug, Clone, Default)]
pub struct HeadRequestFlag(Arc<AtomicBool>);

/// Which part of a response comes next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    Head,
    /// This many bytes of the body.
    Body(u64),
    /// The body, until the connection ends.
    UntilClose,
    ChunkHeader,
    /// This many bytes of a chunk and of the line break after it.
    Chunk(u64),
    Trailers,
}

impl HeadRequestFlag {
    /// Sets the method of the next request.
    pub fn set_method(&self, method: &Method) {
        self.0.store(*method == Method::HEAD, Ordering::Release);
    }

    fn method(&self) -> Method {
        match self.0.load(Ordering::Acquire) {
            true => Method::HEAD,
            false => Method::GET,
        }
    }
}

impl<S> CheckedStream<S> {
    /// Wraps the stream of a new connection.
    pub fn new(stream: S, is_head_request: HeadRequestFlag) -> Self {
        Self {
            stream,
            checker: ResponseChecker {
                position: Position::Head,
                partial: Vec::new(),
                is_head_request,
            },
        }
    }
}

impl ResponseChecker {
    /// Checks the bytes that have arrived.
    fn check(&mut self, mut bytes: &[u8]) -> Result<(), ResponseError> {
        while !bytes.is_empty() {
            bytes = match self.position {
                Position::UntilClose => return Ok(()),
                Position::Body(length) => {
                    let (rest, unread) = skip(bytes, length);
                    self.position = Position::Body(unread);
                    if unread == 0 {
                        self.end_response(rest)?;
                    }
                    rest
                }
                Position::Chunk(length) => {
                    let (rest, unread) = skip(bytes, length);
                    self.position = match unread {
                        0 => Position::ChunkHeader,
                        _ => Position::Chunk(unread),
                    };
                    rest
                }
                Position::Head | Position::ChunkHeader | Position::Trailers => {
                    self.check_line(bytes)?
                }
            }
        }
        Ok(())
    }

    /// Checks a head, a chunk header or a trailer line, of which a part may have arrived
    /// before. Returns the bytes after it; none while it is incomplete.
    fn check_line<'a>(&mut self, bytes: &'a [u8]) -> Result<&'a [u8], ResponseError> {
        if self.partial.is_empty() {
            if let Some(length) = self.check_joined(bytes)? {
                return Ok(&bytes[length..]);
            }
            self.partial = bytes.to_vec();
            return Ok(&[]);
        }
        let mut joined = std::mem::take(&mut self.partial);
        let known = joined.len();
        joined.extend_from_slice(bytes);
        if let Some(length) = self.check_joined(&joined)? {
            return Ok(&bytes[length - known..]);
        }
        if joined.len() > MAX_PARTIAL_BYTES {
            return Err(unreadable("its head or a line is too long"));
        }
        self.partial = joined;
        Ok(&[])
    }

    /// Checks the head, chunk header or trailer line at the start of `bytes` and returns
    /// its length, or `None` while it is incomplete.
    fn check_joined(&mut self, bytes: &[u8]) -> Result<Option<usize>, ResponseError> {
        match self.position {
            Position::Head => self.check_head(bytes),
            Position::ChunkHeader => {
                let Some((length, size)) = parse_chunk_header(bytes)? else {
                    return Ok(None);
                };
                self.position = match size {
                    0 => Position::Trailers,
                    _ => Position::Chunk(size.saturating_add(LINE_BREAK.len() as u64)),
                };
                Ok(Some(length))
            }
            _ => self.check_trailer(bytes),
        }
    }

    fn check_head(&mut self, bytes: &[u8]) -> Result<Option<usize>, ResponseError> {
        let Some((head, length)) = parse_head(bytes)? else {
            return Ok(None);
        };
        if head.status.is_informational() {
            return Ok(Some(length));
        }
        let method = self.is_head_request.method();
        self.position = match head.framing(&method)? {
            Framing::Done | Framing::Length(0) => {
                if method != Method::HEAD {
                    check_following(&bytes[length..])?;
                }
                Position::Head
            }
            Framing::Length(length) => Position::Body(length),
            Framing::Chunked(_) => Position::ChunkHeader,
            Framing::UntilClose => Position::UntilClose,
            Framing::Undelimited => return Err(undelimited()),
        };
        Ok(Some(length))
    }

    fn check_trailer(&mut self, bytes: &[u8]) -> Result<Option<usize>, ResponseError> {
        let end = bytes.windows(2).position(|pair| pair == LINE_BREAK);
        let Some(end) = end else { return Ok(None) };
        let length = end + LINE_BREAK.len();
        match end {
            0 => self.end_response(&bytes[length..])?,
            _ => check_field(&bytes[..end])?,
        }
        Ok(Some(length))
    }

    /// Goes on to the next response, and checks what follows the one before.
    fn end_response(&mut self, following: &[u8]) -> Result<(), ResponseError> {
        self.position = Position::Head;
        check_following(following)
    }
}

/// Skips up to `length` bytes; returns the remaining ones and how many are yet to come.
fn skip(bytes: &[u8], length: u64) -> (&[u8], u64) {
    let skipped = length.min(bytes.len() as u64);
    (&bytes[skipped as usize..], length - skipped)
}

impl<S: AsyncRead + Unpin> AsyncRead for CheckedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let checked = self.checker.check(&buffer[..read]);
        let checked = checked.map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e));
        Poll::Ready(checked.map(|()| read))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CheckedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

const LINE_BREAK: &[u8] = b"\r\n";
/// The longest head, chunk header or trailer line.
const MAX_PARTIAL_BYTES: usize = 64 << 10;
