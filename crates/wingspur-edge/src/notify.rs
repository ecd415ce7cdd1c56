//! Wakes a task that waits for something to happen, or for a time.

use std::time::Duration;

use futures_lite::FutureExt;

/// A bell that one task waits for; ringing it twice before it is heard counts once.
#[derive(Debug, Clone)]
pub struct Notify {
    ring: async_channel::Sender<()>,
    heard: async_channel::Receiver<()>,
}

impl Notify {
    /// A bell that has not been rung.
    pub fn new() -> Self {
        let (ring, heard) = async_channel::bounded(1);
        Self { ring, heard }
    }

    /// Rings.
    pub fn notify(&self) {
        // A bell that has been rung already needs no second ring.
        let _ = self.ring.try_send(());
    }

    /// Waits until the bell is rung, at most `patience`; whether it was.
    pub async fn wait(&self, patience: Duration) -> bool {
        let rung = async { self.heard.recv().await.is_ok() };
        let expired = async {
            wingspur_clock::sleep(patience).await;
            false
        };
        rung.or(expired).await
    }
}

impl Default for Notify {
    fn default() -> Self {
        Self::new()
    }
}
