//! A stream that lets other tasks run now and then although it always has bytes.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};

/// A stream whose reads are pending once after each [`MAX_READS_IN_A_ROW`] that were ready
/// at once.
///
/// A peer that sends faster than its bytes are used would otherwise keep the reading task
/// from ever checking its deadline, and the worker from running other tasks.
#[derive(Debug)]
pub struct FairStream<S> {
    stream: S,
    reads_in_a_row: u32,
}

impl<S> FairStream<S> {
    /// Wraps a stream.
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            reads_in_a_row: 0,
        }
    }

    /// Returns the wrapped stream.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FairStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.reads_in_a_row == MAX_READS_IN_A_ROW {
            self.reads_in_a_row = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.reads_in_a_row += 1;
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if polled.is_pending() {
            self.reads_in_a_row = 0;
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FairStream<S> {
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

/// With blocks of 16 KiB, 1 MiB of data.
const MAX_READS_IN_A_ROW: u32 = 64;
