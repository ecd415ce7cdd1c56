//! Queue of the catalog updates for one link, which combines many changes into few
//! frames.

use std::sync::Arc;
use std::time::{Duration, Instant};

use wingspur_protocol::{CatalogSnapshotUpdate, CatalogUpdate};
use wingspur_state::StorePosition;

/// Catalog updates that have not been sent on one link yet.
///
/// When many servers join at once, each of their writes goes to all links of a hub. With
/// one frame for each write, all updates would be seconds late, and boxes would go on
/// sending to a server that they take for idle.
#[derive(Debug)]
pub struct CatalogQueue {
    updates: Vec<CatalogUpdate>,
    /// Whether any of the updates changes the state of the other side.
    urgent: bool,
    /// When updates were last sent on the link; `None` before the first.
    last_sent: Option<Instant>,
}

impl CatalogQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            updates: Vec::new(),
            urgent: false,
            last_sent: None,
        }
    }

    /// Queues an update. One that is not `urgent` only advances the position in the
    /// store, and waits until something else is sent.
    pub fn push(&mut self, update: &CatalogUpdate, urgent: bool) {
        self.urgent |= urgent;
        if matches!(update, CatalogUpdate::Snapshot(_)) {
            // A snapshot contains everything that the updates before it do.
            self.updates.clear();
        }
        if let Some(last) = self.updates.last_mut()
            && last.append(update)
        {
            return;
        }
        self.updates.push(update.clone());
    }

    /// Returns the time until the queue must be sent; `None` if nothing in it is urgent.
    pub fn due_in(&self, now: Instant) -> Option<Duration> {
        let delay = self.last_sent.map_or(Duration::ZERO, |last_sent| {
            (last_sent + MIN_SEND_INTERVAL).saturating_duration_since(now)
        });
        self.urgent.then_some(delay)
    }

    /// Whether a snapshot is queued.
    pub fn has_snapshot(&self) -> bool {
        self.listing().is_some()
    }

    /// Returns the queued snapshot, which is always the first update, since it replaces
    /// all before it.
    fn listing(&self) -> Option<&Arc<CatalogSnapshotUpdate>> {
        match self.updates.first() {
            Some(CatalogUpdate::Snapshot(listing)) => Some(listing),
            _ => None,
        }
    }

    /// Drops a queued snapshot that contains nothing new for the other side, which by now
    /// knows the history of the store up to `position` and a version of the bundle.
    pub fn drop_known_snapshot(&mut self, position: StorePosition, bundle_version: u64) {
        let is_known = |update: &Arc<CatalogSnapshotUpdate>| {
            let bundle = update.snapshot.bundle.as_ref();
            update.snapshot.position <= position
                && bundle.is_none_or(|bundle| bundle.version <= bundle_version)
                && update.returned.is_empty()
        };
        if self.listing().is_some_and(is_known) {
            self.updates.remove(0);
            self.urgent &= !self.updates.is_empty();
        }
    }

    /// Takes the queued snapshot, which is sent before everything else.
    pub fn take_snapshot(&mut self) -> Option<Arc<CatalogSnapshotUpdate>> {
        let listing = self.listing()?.clone();
        self.updates.remove(0);
        Some(listing)
    }

    /// Takes all queued updates, to be sent now.
    pub fn take(&mut self, now: Instant) -> Vec<CatalogUpdate> {
        if !self.updates.is_empty() {
            self.last_sent = Some(now);
        }
        self.urgent = false;
        std::mem::take(&mut self.updates)
    }
}

impl Default for CatalogQueue {
    fn default() -> Self {
        Self::new()
    }
}

/// Minimum time between catalog updates on a link. The first change is sent at once, and
/// those that follow are delayed by a thirtieth of the 2 s within which they must be
/// active.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(60);
