//! Lets the HTTP server write the parts of a response as they are.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};
use hyper::rt::{Read, ReadBufCursor, Write};
use smol_hyper::rt::FuturesIo;

/// A stream that takes several parts in one write.
///
/// For other streams hyper copies a response into a buffer that a connection keeps at its
/// largest size until it closes.
pub struct VectoredIo<S>(FuturesIo<S>);

impl<S> VectoredIo<S> {
    /// Wraps a stream whose vectored writes write more than one part.
    pub fn new(stream: S) -> Self {
        Self(FuturesIo::new(stream))
    }
}

impl<S: AsyncRead + Unpin> Read for VectoredIo<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.0).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> Write for VectoredIo<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.0).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(context, parts)
    }
}
