//! Limits how many updates a box sends to what its link and processor can carry beside
//! requests.

use std::time::{Duration, Instant};

use wingspur_protocol::{CatalogSnapshotUpdate, TallyUpdate};

/// Spaces frames with updates by their size.
///
/// Limits the outgoing updates of a hub to a share of its link, so that its responses to
/// members still fit.
#[derive(Debug, Clone)]
pub struct UpdatePacer {
    bytes_per_s: f64,
    snapshot_bytes_per_s: f64,
    next_update_at: Instant,
    /// When the next snapshot may be sent.
    next_snapshot_at: Instant,
}

impl UpdatePacer {
    /// Creates the pacer of a box. `capacity` is its capacity as a multiple of the
    /// smallest supported box, and its link is assumed to grow with it.
    pub fn new(capacity: u32, now: Instant) -> Self {
        Self::with_link(capacity, MIN_LINK_MBPS * f64::from(capacity.max(1)), now)
    }

    /// Creates the pacer of a box with a link of `link_mbps` megabits per second.
    /// Snapshots are limited by the link only, since they cost little processor time.
    pub fn with_link(capacity: u32, link_mbps: f64, now: Instant) -> Self {
        Self {
            bytes_per_s: f64::from(capacity.max(1)) * UPDATE_BYTES_PER_S_PER_CAPACITY,
            snapshot_bytes_per_s: link_mbps.max(1.0)
                * BYTES_PER_S_PER_MBPS
                * SNAPSHOT_LINK_SHARE,
            next_update_at: now,
            next_snapshot_at: now,
        }
    }

    /// Returns the time until the next frame with tally updates may be sent.
    pub fn update_delay(&self, now: Instant) -> Duration {
        self.next_update_at
            .saturating_duration_since(now + MAX_AHEAD)
    }

    /// Returns the time until the next snapshot may be sent. Snapshots are sent one after
    /// the other, so that the first boxes that need one receive it early and frames do
    /// not wait behind many of them.
    pub fn snapshot_delay(&self, now: Instant) -> Duration {
        self.next_snapshot_at.saturating_duration_since(now)
    }

    /// Counts a snapshot that is sent now.
    pub fn record_snapshot(&mut self, listing: &CatalogSnapshotUpdate, now: Instant) {
        let servers = listing.snapshot.servers.len() + listing.missing.len();
        let routes = listing.snapshot.bundle.as_ref();
        let routes = routes.map_or(0, |bundle| bundle.host_routes.len());
        let bytes = servers * SERVER_ENTRY_BYTES + routes * ROUTE_BYTES;
        let duration = Duration::from_secs_f64(bytes as f64 / self.snapshot_bytes_per_s);
        self.next_snapshot_at = self.next_snapshot_at.max(now) + duration;
    }

    /// Returns the number of servers whose tallies a frame may contain if `frames_per_s`
    /// frames are sent per second.
    pub fn max_servers_per_frame(&self, frames_per_s: f64) -> usize {
        let bytes = self.bytes_per_s / frames_per_s.max(1.0);
        (bytes as usize / SERVER_TALLY_BYTES).max(MIN_SERVERS_PER_FRAME)
    }

    /// Counts the tally updates of a frame that is sent now.
    pub fn record_update(&mut self, updates: &[TallyUpdate], now: Instant) {
        let sizes = updates.iter().map(|update| {
            let servers = update.servers.len() * SERVER_TALLY_BYTES;
            servers + update.services.len() * SERVICE_TALLY_BYTES
        });
        let bytes: usize = sizes.sum();
        let duration = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        self.next_update_at = self.next_update_at.max(now) + duration;
    }
}

/// How far updates may be sent ahead of the rate, so that one tick can send to all
/// members of a hub whose link can carry it. On the smallest link this is one large
/// frame.
const MAX_AHEAD: Duration = Duration::from_millis(20);
/// Four tenths of a link of 10 Mbit/s.
const UPDATE_BYTES_PER_S_PER_CAPACITY: f64 = 500_000.0;
const MIN_LINK_MBPS: f64 = 10.0;
const BYTES_PER_S_PER_MBPS: f64 = 125_000.0;
/// Share of a link that snapshots may use while many have to be sent.
const SNAPSHOT_LINK_SHARE: f64 = 0.7;
/// With fewer servers, most of a frame would be its header.
const MIN_SERVERS_PER_FRAME: usize = 32;
/// A key, and six counters of one or a few bytes each.
const SERVER_TALLY_BYTES: usize = 26;
const SERVICE_TALLY_BYTES: usize = 18;
/// Entry of a server in a snapshot.
const SERVER_ENTRY_BYTES: usize = 40;
/// Route of a bundle.
const ROUTE_BYTES: usize = 90;
