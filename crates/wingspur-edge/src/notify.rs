//! Wakes a task that waits for an event, with a timeout.

use std::time::Duration;

use futures_lite::FutureExt;

/// A notification that one task waits for. Several before it waits again count as one.
#[derive(Debug, Clone)]
pub struct Notify {
    sender: async_channel::Sender<()>,
    receiver: async_channel::Receiver<()>,
}

impl Notify {
    /// Creates a `Notify` without a pending notification.
    pub fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }

    /// Wakes the waiting task, or makes its next wait end at once.
    pub fn notify(&self) {
        // A full channel holds a notification that the task has not seen yet.
        let _ = self.sender.try_send(());
    }

    /// Waits for a notification for at most `timeout`; returns whether there was one.
    pub async fn wait(&self, timeout: Duration) -> bool {
        let notified = async { self.receiver.recv().await.is_ok() };
        let expired = async {
            wingspur_clock::sleep(timeout).await;
            false
        };
        notified.or(expired).await
    }
}

impl Default for Notify {
    fn default() -> Self {
        Self::new()
    }
}
