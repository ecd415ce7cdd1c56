//! News of the catalog on its way to one link: gathered, so that a wave of changes is told
//! in few frames.

use std::sync::Arc;
use std::time::{Duration, Instant};

use wingspur_protocol::{CatalogSnapshotUpdate, CatalogUpdate};
use wingspur_state::StorePosition;

/// What one link has not been told yet of the catalog.
///
/// When many servers join at once, each of their writes goes to all links of a hub.
/// One frame for each would make all news seconds late, and boxes would go on sending to a
/// server that they take for idle.
#[derive(Debug)]
pub struct CatalogQueue {
    updates: Vec<CatalogUpdate>,
    /// Whether some of them change anything at the other side.
    urgent: bool,
    /// When the link was last told any; none before it was.
    told: Option<Instant>,
}

impl CatalogQueue {
    /// Nothing to tell.
    pub fn new() -> Self {
        Self {
            updates: Vec::new(),
            urgent: false,
            told: None,
        }
    }

    /// Queues an update; one that is not `urgent` tells of a revision only, and waits for
    /// another reason to speak.
    pub fn push(&mut self, update: &CatalogUpdate, urgent: bool) {
        self.urgent |= urgent;
        if matches!(update, CatalogUpdate::Snapshot(_)) {
            // It tells all that the ones before it do.
            self.updates.clear();
        }
        if let Some(last) = self.updates.last_mut()
            && last.append(update)
        {
            return;
        }
        self.updates.push(update.clone());
    }

    /// How long until the link must be told; none while there is nothing that it must know.
    pub fn due_in(&self, now: Instant) -> Option<Duration> {
        let gap = self.told.map_or(Duration::ZERO, |told| {
            (told + CATALOG_GAP).saturating_duration_since(now)
        });
        self.urgent.then_some(gap)
    }

    /// Whether a listing is queued.
    pub fn has_listing(&self) -> bool {
        self.listing().is_some()
    }

    /// The queued listing: it is the first update, since it replaces all before it.
    fn listing(&self) -> Option<&Arc<CatalogSnapshotUpdate>> {
        match self.updates.first() {
            Some(CatalogUpdate::Snapshot(listing)) => Some(listing),
            _ => None,
        }
    }

    /// Drops a queued listing that tells the other side nothing: it knows the store's history
    /// up to a position by now, and a version of the bundle.
    pub fn drop_known_listing(&mut self, position: StorePosition, bundle_version: u64) {
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

    /// Takes the listing that is queued, which goes before all else.
    pub fn take_listing(&mut self) -> Option<Arc<CatalogSnapshotUpdate>> {
        let listing = self.listing()?.clone();
        self.updates.remove(0);
        Some(listing)
    }

    /// Takes all that is queued, to be told now.
    pub fn take(&mut self, now: Instant) -> Vec<CatalogUpdate> {
        if !self.updates.is_empty() {
            self.told = Some(now);
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

/// A link is told of the catalog no more often: the first change goes at once, and those
/// that follow are late by a thirtieth of the two seconds within which they must be in
/// force.
const CATALOG_GAP: Duration = Duration::from_millis(60);
