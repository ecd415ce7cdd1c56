//! Limits how much of a streamed body is read before what came earlier has been sent.

use std::future::poll_fn;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};

use bytes::Bytes;

/// Counts the bytes of one streamed body that were received and have not been sent yet, so
/// that a slow receiver slows the sender down instead of filling memory.
#[derive(Debug, Clone, Default)]
pub struct SendWindow(Arc<Mutex<WindowState>>);

#[derive(Debug, Default)]
struct WindowState {
    unsent_bytes: usize,
    /// Who waits until more may be received.
    waiting: Option<Waker>,
}

impl SendWindow {
    /// Waits until more of the body may be received.
    pub async fn ready(&self) {
        poll_fn(|context| self.poll_ready(context)).await;
    }

    /// Does the same in a poll function.
    pub fn poll_ready(&self, context: &Context<'_>) -> Poll<()> {
        let mut state = self.0.lock().expect("no holder panics");
        if state.unsent_bytes < MAX_UNSENT_BYTES {
            return Poll::Ready(());
        }
        state.waiting = Some(context.waker().clone());
        Poll::Pending
    }

    /// Counts the bytes until they, and all their clones and parts, are dropped.
    pub fn track(&self, bytes: Bytes) -> Bytes {
        let mut state = self.0.lock().expect("no holder panics");
        state.unsent_bytes += bytes.len();
        drop(state);
        let window = self.clone();
        Bytes::from_owner(UnsentBytes { bytes, window })
    }
}

struct UnsentBytes {
    bytes: Bytes,
    window: SendWindow,
}

impl AsRef<[u8]> for UnsentBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for UnsentBytes {
    fn drop(&mut self) {
        let mut state = self.window.0.lock().expect("no holder panics");
        state.unsent_bytes -= self.bytes.len();
        let waiting = match state.unsent_bytes < MAX_UNSENT_BYTES {
            true => state.waiting.take(),
            false => None,
        };
        drop(state);
        if let Some(waiting) = waiting {
            waiting.wake();
        }
    }
}

/// Twice what is received at once, so that one part is received while another is sent.
const MAX_UNSENT_BYTES: usize = 32 << 10;
