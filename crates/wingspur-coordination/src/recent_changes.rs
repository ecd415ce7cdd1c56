//! Keeps the newest changes of the catalog, for boxes that are a little behind.

use std::collections::VecDeque;

use wingspur_protocol::{CatalogChange, CatalogChanges, CatalogUpdate};
use wingspur_state::StorePosition;

/// The newest changes that this box has passed on, each following the one before.
///
/// Members that link to a hub which has just taken over are often a few changes behind
/// it. Without these changes, each of them would have to be sent a snapshot of every
/// server.
#[derive(Debug, Default)]
pub struct RecentChanges {
    /// Batches of changes, oldest first; none begins later than the one before it ends.
    batches: VecDeque<CatalogChanges>,
    /// Number of single changes in `batches`.
    count: usize,
}

impl RecentChanges {
    /// Records a catalog update that is passed on. A snapshot clears the kept changes.
    pub fn record(&mut self, update: &CatalogUpdate) {
        let CatalogUpdate::Changes { changes, .. } = update else {
            return self.clear();
        };
        let newest = self.batches.back().map(|last| last.position);
        if newest.is_some_and(|newest| changes.after > newest) {
            self.clear();
        }
        if newest.is_some_and(|newest| changes.position <= newest) {
            return;
        }
        self.count += changes.changes.len();
        self.batches.push_back(changes.clone());
        while self.count > MAX_CHANGES || self.batches.len() > MAX_CHANGES {
            let oldest = self.batches.pop_front();
            self.count -= oldest.map_or(0, |oldest| oldest.changes.len());
        }
    }

    /// Returns all changes after a position as one batch; `None` if not all of them are
    /// kept or there are none.
    pub fn since(&self, position: StorePosition) -> Option<CatalogChanges> {
        let newest = self.batches.back()?.position;
        let first = self
            .batches
            .iter()
            .position(|batch| batch.position > position)?;
        let after = self.batches[first].after;
        let changes = self.batches.range(first..);
        let changes = changes.flat_map(|batch| &batch.changes);
        let changes: Vec<CatalogChange> = changes.cloned().collect();
        (after <= position).then_some(CatalogChanges {
            after: position,
            position: newest,
            changes,
        })
    }

    fn clear(&mut self) {
        self.batches.clear();
        self.count = 0;
    }
}

/// Number of entries in a snapshot of the largest supported site: more single changes
/// would cost no less than a snapshot.
const MAX_CHANGES: usize = 1000;
