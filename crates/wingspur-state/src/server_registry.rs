//! The backend servers that are announced now, and those whose entries have vanished
//! although the servers may still run.
//!
//! The entry of a server that cannot reach the store expires, and while the store is
//! unavailable entries expire that nobody could renew. So an entry that vanishes around
//! an outage is kept until the store has been available again for `STORE_RECOVERY_GRACE`:
//! a running server has written its entry again by then. A restored store brings back
//! entries of servers that were removed before; these are used only once they must have
//! been written after the restore.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use crate::{ServerId, ServerRecord, StoreEra};

/// The announced backend servers of all services.
#[derive(Debug, Default)]
pub struct ServerRegistry {
    entries: BTreeMap<ServerId, Entry>,
    store: StoreStatus,
    era: StoreEra,
    removed: RemovedInstances,
    /// Entries that a restored store has brought back of instances that were removed
    /// before.
    suppressed: BTreeMap<ServerId, SuppressedEntry>,
}

/// A change of the registry, for the tables that follow it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistryChange {
    /// The server is new, or its record has changed.
    Updated(ServerRecord),
    /// The server has started again under its id: nothing known of the previous instance
    /// is valid any more.
    Restarted {
        /// The record of the previous instance.
        before: ServerRecord,
        /// The record of the new instance.
        record: ServerRecord,
    },
    /// The server was removed.
    Removed(ServerRecord),
}

#[derive(Debug)]
struct Entry {
    record: ServerRecord,
    /// The server's entry in the store has vanished during or around an outage.
    missing: bool,
    /// A change has shown that the entry was written in the store's current era.
    is_written: bool,
}

/// An entry whose server was removed before the store was restored.
#[derive(Debug)]
struct SuppressedEntry {
    record: ServerRecord,
    /// The era whose snapshot brought the entry back.
    era: StoreEra,
    /// The store drops the entry before this instant unless a server has written it
    /// again.
    trusted_at: Instant,
}

/// The instances of servers whose entries were removed.
#[derive(Debug, Default)]
struct RemovedInstances {
    /// The start time of each instance, in milliseconds, and the era in which its entry
    /// was removed.
    instances: HashMap<ServerId, (u64, StoreEra)>,
    /// Oldest first.
    order: VecDeque<ServerId>,
}

/// Whether an entry that is absent from the store means that its server is gone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum StoreStatus {
    /// An absent entry means that the server is gone.
    #[default]
    Reliable,
    /// The store is unavailable, so an absent entry means nothing.
    Unavailable,
    /// The store has recovered or was restored: until this instant an absent entry means
    /// nothing.
    UnreliableUntil(Instant),
}

impl ServerRegistry {
    /// Records that the store is unavailable.
    pub fn store_lost(&mut self) {
        self.store = StoreStatus::Unavailable;
    }

    /// Records that the store was restored from an older copy. Servers write the entries
    /// that it lacks again within `STORE_RECOVERY_GRACE`.
    pub fn store_restored(&mut self, era: StoreEra, now: Instant) {
        self.era = era;
        self.store = StoreStatus::UnreliableUntil(now + STORE_RECOVERY_GRACE);
        for entry in self.entries.values_mut() {
            entry.is_written = false;
        }
    }

    /// Records that this box or another one read the store, and for how long an entry
    /// absent there may still mean nothing.
    pub fn store_read(&mut self, unreliable: Duration, now: Instant) {
        let until = now + unreliable;
        match self.store {
            StoreStatus::UnreliableUntil(known) if known >= until => {}
            // The grace of the box that read is over; here `finish_grace` ends it once
            // the changes up to that instant are known.
            StoreStatus::UnreliableUntil(_) if unreliable.is_zero() => {}
            _ if unreliable.is_zero() && self.missing().next().is_none() => {
                self.store = StoreStatus::Reliable;
            }
            _ => self.store = StoreStatus::UnreliableUntil(until),
        }
    }

    /// Returns for how long a vanished entry may still mean nothing; zero if it means
    /// that the server is gone.
    pub fn removal_grace_left(&self, now: Instant) -> Duration {
        match self.store {
            StoreStatus::Reliable => Duration::ZERO,
            StoreStatus::Unavailable => STORE_RECOVERY_GRACE,
            StoreStatus::UnreliableUntil(until) => until.saturating_duration_since(now),
        }
    }

    /// Applies an entry of the store; returns `None` if the tables need no change.
    ///
    /// A shorter remaining cold start is no change, since the first entry already gave
    /// its end. An entry of an earlier instance than the known one is ignored as
    /// outdated.
    pub fn put(&mut self, record: ServerRecord) -> Option<RegistryChange> {
        self.put_entry(record, true)
    }

    fn put_entry(
        &mut self,
        record: ServerRecord,
        is_written: bool,
    ) -> Option<RegistryChange> {
        let known_born_ms = self.entries.get(&record.id).map(|e| e.record.born_ms);
        if known_born_ms.is_some_and(|known| record.born_ms < known) {
            return None;
        }
        let before = self.entries.get(&record.id);
        let entry = Entry {
            record: record.clone(),
            missing: false,
            is_written: is_written || before.is_some_and(|entry| entry.is_written),
        };
        self.suppressed.remove(&record.id);
        self.removed.forget_instance(&record.id);
        match self.entries.insert(record.id.clone(), entry) {
            Some(entry) if entry.record.born_ms < record.born_ms => {
                Some(RegistryChange::Restarted {
                    before: entry.record,
                    record,
                })
            }
            Some(entry) if entry.record.eq_ignoring_cold(&record) => {
                let is_new = changes_cold_start(&entry.record, &record, is_written);
                is_new.then_some(RegistryChange::Updated(record))
            }
            _ => Some(RegistryChange::Updated(record)),
        }
    }

    /// Returns whether a record would change nothing but the remaining cold start.
    pub fn is_current(&self, record: &ServerRecord) -> bool {
        let entry = self.entries.get(&record.id);
        entry.is_some_and(|entry| {
            let is_old = record.born_ms < entry.record.born_ms;
            let is_cold_change = changes_cold_start(&entry.record, record, true);
            is_old
                || (!entry.missing
                    && entry.record.eq_ignoring_cold(record)
                    && !is_cold_change)
        })
    }

    /// Applies the disappearance of an entry from the store.
    ///
    /// Returns `None` if the server is unknown, or if the entry vanished during or around
    /// an outage; the server is then kept as missing.
    pub fn remove(&mut self, id: &str, now: Instant) -> Option<RegistryChange> {
        self.suppressed.remove(id);
        let trusted = self.is_trusted(now);
        let entry = self.entries.get_mut(id)?;
        // A draining server does not write its entry again, so it needs no grace.
        if !trusted && !entry.record.leaving {
            entry.missing = true;
            return None;
        }
        self.drop_entry(id)
    }

    /// Applies a snapshot; entries that it lacks have vanished.
    pub fn replace(
        &mut self,
        snapshot: Vec<ServerRecord>,
        now: Instant,
    ) -> Vec<RegistryChange> {
        self.replace_restored(snapshot, &[], now)
    }

    /// Applies a snapshot like `replace`; `gone_before` are the servers of which another
    /// box knows that they were removed before the store was restored.
    pub fn replace_restored(
        &mut self,
        snapshot: Vec<ServerRecord>,
        gone_before: &[ServerId],
        now: Instant,
    ) -> Vec<RegistryChange> {
        let listed: HashSet<&ServerId> = snapshot.iter().map(|r| &r.id).collect();
        self.suppressed.retain(|id, _| listed.contains(id));
        let unlisted = self.entries.keys().filter(|id| !listed.contains(id));
        let unlisted: Vec<ServerId> = unlisted.cloned().collect();
        let mut changes = Vec::new();
        for id in unlisted {
            changes.extend(self.remove(&id, now));
        }
        for record in snapshot {
            let is_suppressed = self.suppressed.contains_key(&record.id);
            let was_gone = is_suppressed || gone_before.contains(&record.id);
            match was_gone || self.removed.was_removed_before(&record, self.era) {
                true => changes.extend(self.suppress(record, now)),
                false => changes.extend(self.put_entry(record, false)),
            }
        }
        changes
    }

    /// Suppresses the listed servers of which another box knows that they were removed
    /// before the store was restored, except those written again since.
    pub fn suppress_stale(
        &mut self,
        gone_before: &[ServerId],
        now: Instant,
    ) -> Vec<RegistryChange> {
        let stale = gone_before.iter().filter_map(|id| {
            let entry = self.entries.get(id)?;
            (!entry.is_written && !entry.missing).then(|| entry.record.clone())
        });
        let stale: Vec<ServerRecord> = stale.collect();
        stale
            .into_iter()
            .filter_map(|record| self.suppress(record, now))
            .collect()
    }

    /// Adds a server that the snapshot lacks, but that another box keeps as missing.
    ///
    /// Returns `None`, and adds nothing, if absent entries mean that their servers are
    /// gone, or if the server is known here already, as announced or as removed.
    pub fn put_missing(
        &mut self,
        record: ServerRecord,
        now: Instant,
    ) -> Option<RegistryChange> {
        let is_known = self.entries.contains_key(&record.id);
        if self.is_trusted(now) || is_known || self.removed.covers(&record) {
            return None;
        }
        let entry = Entry {
            record: record.clone(),
            missing: true,
            is_written: false,
        };
        self.entries.insert(record.id.clone(), entry);
        Some(RegistryChange::Updated(record))
    }

    /// Drops the missing servers whose entries were not written again in time after an
    /// outage, and adds the suppressed ones whose entries the store still holds after
    /// `ENTRY_TTL`.
    ///
    /// `as_of` is the instant up to which the store's changes are known.
    pub fn finish_grace(&mut self, as_of: Instant) -> Vec<RegistryChange> {
        let mut changes = self.release_suppressed(as_of);
        if !self.is_trusted(as_of) {
            return changes;
        }
        self.store = StoreStatus::Reliable;
        let missing: Vec<ServerId> =
            self.missing().map(|record| record.id.clone()).collect();
        changes.extend(missing.iter().filter_map(|id| self.drop_entry(id)));
        changes
    }

    /// Suppresses a listed entry that may not have been written since the restore.
    fn suppress(&mut self, record: ServerRecord, now: Instant) -> Option<RegistryChange> {
        let id = record.id.clone();
        let suppressed = SuppressedEntry {
            record,
            era: self.era,
            trusted_at: now + ENTRY_TTL,
        };
        let known = self.suppressed.get(&id);
        if known.is_none_or(|known| known.era < self.era) {
            self.suppressed.insert(id.clone(), suppressed);
        }
        self.drop_entry(&id)
    }

    fn release_suppressed(&mut self, as_of: Instant) -> Vec<RegistryChange> {
        let suppressed = std::mem::take(&mut self.suppressed);
        let (trusted, remaining): (BTreeMap<_, _>, _) = suppressed
            .into_iter()
            .partition(|(_, suppressed)| suppressed.trusted_at <= as_of);
        self.suppressed = remaining;
        let records = trusted.into_values().map(|suppressed| suppressed.record);
        records
            .filter_map(|record| self.put_entry(record, true))
            .collect()
    }

    fn drop_entry(&mut self, id: &str) -> Option<RegistryChange> {
        let entry = self.entries.remove(id)?;
        self.removed.remember(&entry.record, self.era);
        Some(RegistryChange::Removed(entry.record))
    }

    /// Iterates over the servers whose entries have vanished during or around an outage.
    pub fn missing(&self) -> impl Iterator<Item = &ServerRecord> {
        let missing = self.entries.values().filter(|entry| entry.missing);
        missing.map(|entry| &entry.record)
    }

    /// Returns whether a server is kept although its entry has vanished.
    pub fn is_missing(&self, id: &str) -> bool {
        self.entries.get(id).is_some_and(|entry| entry.missing)
    }

    /// Iterates over all entries that the store holds, suppressed ones included.
    pub fn listed(&self) -> impl Iterator<Item = &ServerRecord> {
        let listed = self.entries.values().filter(|entry| !entry.missing);
        listed.map(|entry| &entry.record).chain(self.suppressed())
    }

    /// Returns the number of servers, missing ones included and suppressed ones not.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no server is known, apart from suppressed ones.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Iterates over the listed entries that are not used, since their servers were
    /// removed before the store was restored.
    pub fn suppressed(&self) -> impl Iterator<Item = &ServerRecord> {
        self.suppressed
            .values()
            .map(|suppressed| &suppressed.record)
    }

    /// Returns whether a vanished entry means that the server is gone.
    fn is_trusted(&self, now: Instant) -> bool {
        match self.store {
            StoreStatus::Reliable => true,
            StoreStatus::Unavailable => false,
            StoreStatus::UnreliableUntil(until) => now >= until,
        }
    }
}

impl RemovedInstances {
    fn remember(&mut self, record: &ServerRecord, era: StoreEra) {
        let id = record.id.clone();
        if self
            .instances
            .insert(id.clone(), (record.born_ms, era))
            .is_none()
        {
            self.order.push_back(id);
        }
        while self.order.len() > MAX_REMOVED_INSTANCES {
            if let Some(oldest) = self.order.pop_front() {
                self.instances.remove(&oldest);
            }
        }
    }

    fn forget_instance(&mut self, id: &str) {
        if self.instances.remove(id).is_some() {
            self.order.retain(|known| known != id);
        }
    }

    /// Returns whether the record's instance, or a later one of the same id, was removed.
    fn covers(&self, record: &ServerRecord) -> bool {
        let removed = self.instances.get(&record.id);
        removed.is_some_and(|(born_ms, _)| *born_ms >= record.born_ms)
    }

    /// Returns whether this instance was removed in an era before the given one.
    fn was_removed_before(&self, record: &ServerRecord, era: StoreEra) -> bool {
        let removed = self.instances.get(&record.id);
        removed.is_some_and(|(born_ms, removed_in)| {
            *born_ms == record.born_ms && *removed_in < era
        })
    }
}

/// Returns whether a record shows that a server has turned cold again, or is no longer
/// cold.
///
/// A snapshot may repeat a known record, so there an equal remaining time is no change. A
/// written entry with an equal remaining time is a new cold start.
fn changes_cold_start(
    known: &ServerRecord,
    record: &ServerRecord,
    is_written: bool,
) -> bool {
    match record.cold_ms {
        0 => known.cold_ms > 0,
        left => left > known.cold_ms || (is_written && left == known.cold_ms),
    }
}

/// How long servers have to write their entries again after the store has recovered. They
/// write once per heartbeat of 1.5 s.
pub const STORE_RECOVERY_GRACE: Duration = Duration::from_secs(2);
/// Upper bound on the lifetime of an entry that is not written again: the store drops it
/// after three heartbeats.
pub const ENTRY_TTL: Duration = Duration::from_secs(5);
/// Removed instances that are remembered. A store is restored from a copy that is seconds
/// old, and fewer servers end in that time.
const MAX_REMOVED_INSTANCES: usize = 4096;
