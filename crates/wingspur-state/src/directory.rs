//! The backend servers that are announced now, and those that may only seem gone.
//!
//! An entry of a server that cannot reach the store lapses, and while the store is away
//! entries lapse that nobody could renew. So an entry that vanishes around an outage is kept
//! until the store has been back for `RETURN_GRACE`: a living server has written anew by
//! then.

use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

use crate::{ServerId, ServerRecord};

/// The announced backend servers of all services.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<ServerId, Entry>,
    store: StoreStanding,
}

/// What became of a server, for the tables that follow the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DirectoryChange {
    /// It is new, or its record has changed.
    Put(ServerRecord),
    /// It has started again under its id: nothing of the run before holds any more.
    Restarted {
        /// The run that is over.
        before: ServerRecord,
        /// The run that has begun.
        record: ServerRecord,
    },
    /// It is gone.
    Gone(ServerRecord),
}

#[derive(Debug)]
struct Entry {
    record: ServerRecord,
    /// Its entry in the store has vanished in or around an outage.
    missing: bool,
}

/// Whether the store's silence about a server means anything.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum StoreStanding {
    #[default]
    Sound,
    Away,
    DoubtfulUntil(Instant),
}

impl Directory {
    /// Notes that the store does not answer.
    pub fn store_lost(&mut self) {
        self.store = StoreStanding::Away;
    }

    /// Notes that the store answers again; changes nothing while it was not lost.
    pub fn store_returned(&mut self, now: Instant) {
        if self.store == StoreStanding::Away {
            self.store = StoreStanding::DoubtfulUntil(now + RETURN_GRACE);
        }
    }

    /// Notes that the store has come back from an older copy: servers write again what it
    /// lacks.
    pub fn store_restored(&mut self, now: Instant) {
        self.store = StoreStanding::DoubtfulUntil(now + RETURN_GRACE);
    }

    /// Notes that another box read the store, and for how long what it found may be
    /// doubted.
    pub fn read_by_another(&mut self, doubtful: Duration, now: Instant) {
        let until = now + doubtful;
        match self.store {
            StoreStanding::DoubtfulUntil(held) if held >= until => {}
            _ if doubtful.is_zero() && self.missing().next().is_none() => {
                self.store = StoreStanding::Sound;
            }
            _ => self.store = StoreStanding::DoubtfulUntil(until),
        }
    }

    /// For how long a vanished entry may still mean nothing.
    pub fn doubtful_for(&self, now: Instant) -> Duration {
        match self.store {
            StoreStanding::Sound => Duration::ZERO,
            StoreStanding::Away => RETURN_GRACE,
            StoreStanding::DoubtfulUntil(until) => until.saturating_duration_since(now),
        }
    }

    /// Takes in an entry as it stands in the store; what is left of a cold start is no
    /// change, since it was known from the first entry. An entry of an earlier run than the
    /// one that is known is old news.
    pub fn put(&mut self, record: ServerRecord) -> Option<DirectoryChange> {
        let known_born_ms = self.entries.get(&record.id).map(|e| e.record.born_ms);
        if known_born_ms.is_some_and(|known| record.born_ms < known) {
            return None;
        }
        let entry = Entry {
            record: record.clone(),
            missing: false,
        };
        match self.entries.insert(record.id.clone(), entry) {
            Some(entry) if entry.record.born_ms < record.born_ms => {
                Some(DirectoryChange::Restarted {
                    before: entry.record,
                    record,
                })
            }
            Some(entry) if entry.record.stands_as(&record) => None,
            _ => Some(DirectoryChange::Put(record)),
        }
    }

    /// Whether a record would change nothing but what is left of a cold start.
    pub fn stands(&self, record: &ServerRecord) -> bool {
        let entry = self.entries.get(&record.id);
        entry.is_some_and(|entry| {
            let is_old = record.born_ms < entry.record.born_ms;
            is_old || (!entry.missing && entry.record.stands_as(record))
        })
    }

    /// Takes in that an entry has vanished.
    pub fn remove(&mut self, id: &str, now: Instant) -> Option<DirectoryChange> {
        let trusted = self.is_trusted(now);
        let entry = self.entries.get_mut(id)?;
        // A server that said that it leaves has no need to come back.
        if !trusted && !entry.record.leaving {
            entry.missing = true;
            return None;
        }
        self.entries
            .remove(id)
            .map(|entry| DirectoryChange::Gone(entry.record))
    }

    /// Takes in a whole listing: what it lacks has vanished.
    pub fn replace(
        &mut self,
        listing: Vec<ServerRecord>,
        now: Instant,
    ) -> Vec<DirectoryChange> {
        let listed: HashSet<&ServerId> = listing.iter().map(|r| &r.id).collect();
        let unlisted = self.entries.keys().filter(|id| !listed.contains(id));
        let unlisted: Vec<ServerId> = unlisted.cloned().collect();
        let mut changes = Vec::new();
        for id in unlisted {
            changes.extend(self.remove(&id, now));
        }
        for record in listing {
            changes.extend(self.put(record));
        }
        changes
    }

    /// Drops the servers that have not come back in time after an outage.
    pub fn settle(&mut self, now: Instant) -> Vec<DirectoryChange> {
        if !self.is_trusted(now) {
            return Vec::new();
        }
        self.store = StoreStanding::Sound;
        let gone: Vec<ServerId> = self.missing().cloned().collect();
        gone.iter()
            .filter_map(|id| self.entries.remove(id))
            .map(|entry| DirectoryChange::Gone(entry.record))
            .collect()
    }

    /// Servers whose entries have vanished in or around an outage.
    fn missing(&self) -> impl Iterator<Item = &ServerId> {
        let missing = self.entries.iter().filter(|(_, entry)| entry.missing);
        missing.map(|(id, _)| id)
    }

    /// All servers, missing ones included.
    pub fn records(&self) -> impl Iterator<Item = &ServerRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// The number of servers, missing ones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether a vanished entry means that the server is gone.
    fn is_trusted(&self, now: Instant) -> bool {
        match self.store {
            StoreStanding::Sound => true,
            StoreStanding::Away => false,
            StoreStanding::DoubtfulUntil(until) => now >= until,
        }
    }
}

/// How long servers have to write anew after the store's return: the users' figure of
/// about two seconds.
pub const RETURN_GRACE: Duration = Duration::from_secs(2);
