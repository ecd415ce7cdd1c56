//! How much news a box sends: what its link and processor bear beside requests.

use std::time::{Duration, Instant};

use wingspur_protocol::Digest;

/// Spaces frames with news by their size.
///
/// Prevents that a weak box which has become the hub of many fills its own link: its answers
/// to members then come seconds late, and what waits for them is refused.
#[derive(Debug, Clone)]
pub struct NewsPacer {
    bytes_per_s: f64,
    free_at: Instant,
}

impl NewsPacer {
    /// A box of so many shares of the least one that is planned for.
    pub fn new(capacity: u32, now: Instant) -> Self {
        Self {
            bytes_per_s: f64::from(capacity.max(1)) * BYTES_PER_S_OF_LEAST,
            free_at: now,
        }
    }

    /// How long until the next frame with news may go out.
    pub fn free_in(&self, now: Instant) -> Duration {
        self.free_at.saturating_duration_since(now + AHEAD)
    }

    /// Counts the news of a frame that goes out now.
    pub fn count(&mut self, digests: &[Digest], now: Instant) {
        let sizes = digests.iter().map(|digest| {
            let servers = digest.servers.len() * BYTES_OF_SERVER;
            servers + digest.services.len() * BYTES_OF_SERVICE
        });
        let bytes: usize = sizes.sum();
        let takes = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        self.free_at = self.free_at.max(now) + takes;
    }
}

/// So much may be sent ahead, so that one tick tells all members of a hub whose link bears
/// it; on the least link that is one large frame.
const AHEAD: Duration = Duration::from_millis(20);
/// Four tenths of a link of ten megabits a second.
const BYTES_PER_S_OF_LEAST: f64 = 500_000.0;
/// A key, and six counts of a byte or some.
const BYTES_OF_SERVER: usize = 26;
const BYTES_OF_SERVICE: usize = 18;
