//! How many updates a box sends: what its link and processor bear beside requests.

use std::time::{Duration, Instant};

use wingspur_protocol::{CatalogSnapshotUpdate, TallyUpdate};

/// Spaces frames with updates by their size.
///
/// Limits the outgoing updates of a hub to a share of its link, so that its responses to
/// members still fit.
#[derive(Debug, Clone)]
pub struct UpdatePacer {
    bytes_per_s: f64,
    list_bytes_per_s: f64,
    free_at: Instant,
    /// When the next listing may go out.
    list_free_at: Instant,
}

impl UpdatePacer {
    /// A box of so many shares of the least one that is planned for.
    pub fn new(capacity: u32, now: Instant) -> Self {
        Self::with_link(capacity, LEAST_LINK_MBPS * f64::from(capacity.max(1)), now)
    }

    /// The same with a link of so many megabits a second: listings cost little but that.
    pub fn with_link(capacity: u32, link_mbps: f64, now: Instant) -> Self {
        Self {
            bytes_per_s: f64::from(capacity.max(1)) * BYTES_PER_S_OF_LEAST,
            list_bytes_per_s: link_mbps.max(1.0) * BYTES_PER_S_OF_MBPS * LIST_SHARE,
            free_at: now,
            list_free_at: now,
        }
    }

    /// How long until the next frame with news may go out.
    pub fn update_delay(&self, now: Instant) -> Duration {
        self.free_at.saturating_duration_since(now + AHEAD)
    }

    /// How long until the next listing may go out: they go one after the other, so that the
    /// first boxes that are owed one have it early and frames do not wait behind many.
    pub fn snapshot_delay(&self, now: Instant) -> Duration {
        self.list_free_at.saturating_duration_since(now)
    }

    /// Counts a listing that goes out now.
    pub fn record_snapshot(&mut self, listing: &CatalogSnapshotUpdate, now: Instant) {
        let servers = listing.snapshot.servers.len() + listing.missing.len();
        let routes = listing.snapshot.bundle.as_ref();
        let routes = routes.map_or(0, |bundle| bundle.host_routes.len());
        let bytes = servers * BYTES_OF_ENTRY + routes * BYTES_OF_ROUTE;
        let takes = Duration::from_secs_f64(bytes as f64 / self.list_bytes_per_s);
        self.list_free_at = self.list_free_at.max(now) + takes;
    }

    /// Servers whose tallies a frame may tell, where so many frames go out in a second.
    pub fn max_servers_per_frame(&self, frames_per_s: f64) -> usize {
        let bytes = self.bytes_per_s / frames_per_s.max(1.0);
        (bytes as usize / BYTES_OF_SERVER).max(LEAST_SERVERS_A_FRAME)
    }

    /// Counts the news of a frame that goes out now.
    pub fn record_update(&mut self, digests: &[TallyUpdate], now: Instant) {
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
const LEAST_LINK_MBPS: f64 = 10.0;
const BYTES_PER_S_OF_MBPS: f64 = 125_000.0;
/// The part of a link that listings may take while many are owed.
const LIST_SHARE: f64 = 0.7;
/// Fewer would spend most of a frame on its head.
const LEAST_SERVERS_A_FRAME: usize = 32;
/// A key, and six counts of a byte or some.
const BYTES_OF_SERVER: usize = 26;
const BYTES_OF_SERVICE: usize = 18;
/// A server's entry in a listing.
const BYTES_OF_ENTRY: usize = 40;
/// A route of a bundle.
const BYTES_OF_ROUTE: usize = 90;
