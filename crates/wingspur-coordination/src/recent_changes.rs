//! The newest changes of the catalog, for a box that is a little behind.

use std::collections::VecDeque;

use wingspur_protocol::{CatalogChange, CatalogChanges, CatalogUpdate};
use wingspur_state::StorePosition;

/// The newest changes that this box has told on, each following on the one before.
///
/// Members that link with a hub which has just taken over are often some changes behind it. Told all there is, each of them is owed a listing of every server.
#[derive(Debug, Default)]
pub struct RecentChanges {
    /// Oldest first; none begins later than the one before it ends.
    kept: VecDeque<CatalogChanges>,
    /// Single changes in them.
    count: usize,
}

impl RecentChanges {
    /// Takes in what is told of the catalog.
    pub fn put(&mut self, update: &CatalogUpdate) {
        let CatalogUpdate::Changes { changes, .. } = update else {
            return self.clear();
        };
        let newest = self.kept.back().map(|last| last.position);
        if newest.is_some_and(|newest| changes.after > newest) {
            self.clear();
        }
        if newest.is_some_and(|newest| changes.position <= newest) {
            return;
        }
        self.count += changes.changes.len();
        self.kept.push_back(changes.clone());
        while self.count > MOST_CHANGES || self.kept.len() > MOST_CHANGES {
            let oldest = self.kept.pop_front();
            self.count -= oldest.map_or(0, |oldest| oldest.changes.len());
        }
    }

    /// All changes after a position, in one; none if they are not all kept.
    pub fn since(&self, position: StorePosition) -> Option<CatalogChanges> {
        let newest = self.kept.back()?.position;
        let first = self.kept.iter().position(|kept| kept.position > position)?;
        let after = self.kept[first].after;
        let changes = self.kept.range(first..);
        let changes = changes.flat_map(|kept| &kept.changes);
        let changes: Vec<CatalogChange> = changes.cloned().collect();
        (after <= position).then_some(CatalogChanges {
            after: position,
            position: newest,
            changes,
        })
    }

    fn clear(&mut self) {
        self.kept.clear();
        self.count = 0;
    }
}

/// As many changes as a listing of the largest site of today has entries; told one by one
/// they would cost no less than it.
const MOST_CHANGES: usize = 1000;
