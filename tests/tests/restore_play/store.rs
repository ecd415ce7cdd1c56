//! The simulated store with its copies.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use wingspur_protocol::{CatalogChange, CatalogChanges, CatalogSnapshot};
use wingspur_state::{Bundle, CallerLimits, ServerId, ServerRecord, StorePosition};

use super::Ms;

/// Content of the store, with the changes that led to it.
#[derive(Clone, Default)]
pub struct Content {
    pub revision: u64,
    pub version: u64,
    pub servers: BTreeMap<ServerId, ServerRecord>,
    changes: Vec<(u64, CatalogChange)>,
}

#[derive(Default)]
pub struct Store {
    pub era: u64,
    pub now: Content,
    /// Copies of earlier content, each with its time and era, oldest first.
    copies: VecDeque<(Ms, u64, Content)>,
}

impl Store {
    pub fn new() -> Self {
        Self {
            era: 1,
            ..Self::default()
        }
    }

    pub fn position(&self) -> StorePosition {
        StorePosition::new(self.era, self.now.revision)
    }

    pub fn write_version(&mut self, version: u64) {
        self.now.version = version;
        self.log(CatalogChange::Bundle(bundle(version)));
    }

    pub fn write_server(&mut self, record: ServerRecord) {
        self.now.servers.insert(record.id.clone(), record.clone());
        self.log(CatalogChange::Server(record));
    }

    pub fn remove_server(&mut self, id: &str) {
        if self.now.servers.remove(id).is_some() {
            self.log(CatalogChange::ServerGone(id.into()));
        }
    }

    fn log(&mut self, change: CatalogChange) {
        self.now.revision += 1;
        self.now.changes.push((self.now.revision, change));
    }

    /// Keeps a copy of the current content.
    pub fn copy(&mut self, now: Ms) {
        self.copies.push_back((now, self.era, self.now.clone()));
    }

    /// Restores the newest copy made by `copied_ms`, or empty content if there is none,
    /// in a new era.
    pub fn restore(&mut self, copied_ms: Ms) {
        let copies = self.copies.iter().rev();
        let copy = copies.clone().find(|(at, _, _)| *at <= copied_ms);
        self.now = copy
            .map(|(_, _, content)| content.clone())
            .unwrap_or_default();
        self.era += 1;
    }

    /// Returns the store as a lagging replica serves it: the newest copy made by
    /// `as_of_ms`, or the current content if there is none.
    pub fn lagging(&self, as_of_ms: Ms) -> Self {
        let mut copies = self.copies.iter().rev();
        let copy = copies.find(|(at, _, _)| *at <= as_of_ms);
        let (era, now) = copy
            .map_or((self.era, self.now.clone()), |(_, era, content)| {
                (*era, content.clone())
            });
        Self {
            era,
            now,
            copies: VecDeque::new(),
        }
    }

    /// Returns one of the two pages of a snapshot. The first holds the bundle and one
    /// half of the servers, the second the other half.
    pub fn page(&self, first: bool) -> CatalogSnapshot {
        let is_on_page = |id: &ServerId| {
            let last = id.bytes().last().unwrap_or_default();
            last.is_multiple_of(2) == first
        };
        let servers = self.now.servers.iter();
        let servers = servers.filter(|(id, _)| is_on_page(id));
        let has_bundle = first && self.now.version > 0;
        CatalogSnapshot {
            position: self.position(),
            bundle: has_bundle.then(|| bundle(self.now.version)),
            servers: servers.map(|(_, record)| record.clone()).collect(),
            ..CatalogSnapshot::default()
        }
    }

    /// Returns the changes after the revision of a position, whatever its era is; `None`
    /// if the store has not reached that revision.
    pub fn changes(&self, after: StorePosition) -> Option<CatalogChanges> {
        let revision = after.wire_revision();
        if revision > self.now.revision {
            return None;
        }
        let changes = self.now.changes.iter();
        let changes = changes.filter(|(at, _)| *at > revision);
        Some(CatalogChanges {
            after: StorePosition::new(self.era, revision),
            position: self.position(),
            changes: changes.map(|(_, change)| change.clone()).collect(),
        })
    }
}

fn bundle(version: u64) -> Arc<Bundle> {
    Arc::new(Bundle {
        version,
        fleet: "play".into(),
        account_header: "account".into(),
        services: Vec::new(),
        caller_limits: CallerLimits::default(),
        client_accounts: None,
        host_routes: Vec::new(),
    })
}
