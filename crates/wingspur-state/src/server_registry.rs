//! The backend servers that are announced now, and those that may only seem gone.
//!
//! An entry of a server that cannot reach the store lapses, and while the store is away
//! entries lapse that nobody could renew. So an entry that vanishes around an outage is kept
//! until the store has been back for `RETURN_GRACE`: a living server has written anew by
//! then. A restored store brings back entries of servers that were gone; those are used only
//! once they must have been written since.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use crate::{ServerId, ServerRecord, StoreEra};

/// The announced backend servers of all services.
#[derive(Debug, Default)]
pub struct ServerRegistry {
    entries: BTreeMap<ServerId, Entry>,
    store: StoreStanding,
    era: StoreEra,
    gone: GoneRuns,
    /// Entries that a restored store has brought back of runs that were gone.
    returned: BTreeMap<ServerId, ReturnedEntry>,
}

/// What became of a server, for the tables that follow the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistryChange {
    /// It is new, or its record has changed.
    Updated(ServerRecord),
    /// It has started again under its id: nothing of the run before holds any more.
    Restarted {
        /// The run that is over.
        before: ServerRecord,
        /// The run that has begun.
        record: ServerRecord,
    },
    /// It is gone.
    Removed(ServerRecord),
}

#[derive(Debug)]
struct Entry {
    record: ServerRecord,
    /// Its entry in the store has vanished in or around an outage.
    missing: bool,
    /// A change told that it was written in the store's present era.
    is_written: bool,
}

/// An entry whose server was gone before the store was restored.
#[derive(Debug)]
struct ReturnedEntry {
    record: ServerRecord,
    /// The era whose listing brought it back.
    era: StoreEra,
    /// The store drops the entry before then unless a server has written it.
    trusted_at: Instant,
}

/// The runs of servers whose entries have gone.
#[derive(Debug, Default)]
struct GoneRuns {
    /// When the run began, and the era in which its entry went.
    runs: HashMap<ServerId, (u64, StoreEra)>,
    /// Oldest first.
    order: VecDeque<ServerId>,
}

/// Whether the store's silence about a server means anything.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum StoreStanding {
    #[default]
    Sound,
    Away,
    DoubtfulUntil(Instant),
}

impl ServerRegistry {
    /// Notes that the store does not answer.
    pub fn store_lost(&mut self) {
        self.store = StoreStanding::Away;
    }

    /// Notes that the store answers again; changes nothing while it was not lost.
    pub fn store_recovered(&mut self, now: Instant) {
        if self.store == StoreStanding::Away {
            self.store = StoreStanding::DoubtfulUntil(now + STORE_RECOVERY_GRACE);
        }
    }

    /// Notes that the store has come back from an older copy: servers write again what it
    /// lacks.
    pub fn store_restored(&mut self, era: StoreEra, now: Instant) {
        self.era = era;
        self.store = StoreStanding::DoubtfulUntil(now + STORE_RECOVERY_GRACE);
        for entry in self.entries.values_mut() {
            entry.is_written = false;
        }
    }

    /// Notes that another box read the store, and for how long what it found may be
    /// doubted.
    pub fn store_read_by_peer(&mut self, doubtful: Duration, now: Instant) {
        let until = now + doubtful;
        match self.store {
            StoreStanding::DoubtfulUntil(held) if held >= until => {}
            // A doubt that is over for the other box ends here with what is known as of then.
            StoreStanding::DoubtfulUntil(_) if doubtful.is_zero() => {}
            _ if doubtful.is_zero() && self.missing().next().is_none() => {
                self.store = StoreStanding::Sound;
            }
            _ => self.store = StoreStanding::DoubtfulUntil(until),
        }
    }

    /// For how long a vanished entry may still mean nothing.
    pub fn removal_grace_left(&self, now: Instant) -> Duration {
        match self.store {
            StoreStanding::Sound => Duration::ZERO,
            StoreStanding::Away => STORE_RECOVERY_GRACE,
            StoreStanding::DoubtfulUntil(until) => until.saturating_duration_since(now),
        }
    }

    /// Takes in an entry as it stands in the store; that less is left of a cold start is no
    /// change, since it was known from the first entry. An entry of an earlier run than the
    /// one that is known is old news.
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
        self.returned.remove(&record.id);
        self.gone.forget(&record.id);
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

    /// Whether a record would change nothing but what is left of a cold start.
    pub fn is_current(&self, record: &ServerRecord) -> bool {
        let entry = self.entries.get(&record.id);
        entry.is_some_and(|entry| {
            let is_old = record.born_ms < entry.record.born_ms;
            let is_cold_news = changes_cold_start(&entry.record, record, true);
            is_old
                || (!entry.missing
                    && entry.record.eq_ignoring_cold(record)
                    && !is_cold_news)
        })
    }

    /// Takes in that an entry has vanished.
    pub fn remove(&mut self, id: &str, now: Instant) -> Option<RegistryChange> {
        self.returned.remove(id);
        let trusted = self.is_trusted(now);
        let entry = self.entries.get_mut(id)?;
        // A server that said that it leaves has no need to come back.
        if !trusted && !entry.record.leaving {
            entry.missing = true;
            return None;
        }
        self.drop_entry(id)
    }

    /// Takes in a whole listing: what it lacks has vanished.
    pub fn replace(
        &mut self,
        listing: Vec<ServerRecord>,
        now: Instant,
    ) -> Vec<RegistryChange> {
        self.replace_restored(listing, &[], now)
    }

    /// The same, where another box knows of servers that were gone before the store was
    /// restored.
    pub fn replace_restored(
        &mut self,
        listing: Vec<ServerRecord>,
        gone_before: &[ServerId],
        now: Instant,
    ) -> Vec<RegistryChange> {
        let listed: HashSet<&ServerId> = listing.iter().map(|r| &r.id).collect();
        self.returned.retain(|id, _| listed.contains(id));
        let unlisted = self.entries.keys().filter(|id| !listed.contains(id));
        let unlisted: Vec<ServerId> = unlisted.cloned().collect();
        let mut changes = Vec::new();
        for id in unlisted {
            changes.extend(self.remove(&id, now));
        }
        for record in listing {
            let is_held = self.returned.contains_key(&record.id);
            let was_gone = is_held || gone_before.contains(&record.id);
            match was_gone || self.gone.was_before(&record, self.era) {
                true => changes.extend(self.hold_back(record, now)),
                false => changes.extend(self.put_entry(record, false)),
            }
        }
        changes
    }

    /// Takes in which listed servers were gone before the store was restored, as another box
    /// knows.
    pub fn suppress_stale(
        &mut self,
        gone_before: &[ServerId],
        now: Instant,
    ) -> Vec<RegistryChange> {
        let held = gone_before.iter().filter_map(|id| {
            let entry = self.entries.get(id)?;
            (!entry.is_written && !entry.missing).then(|| entry.record.clone())
        });
        let held: Vec<ServerRecord> = held.collect();
        held.into_iter()
            .filter_map(|record| self.hold_back(record, now))
            .collect()
    }

    /// Takes in a server that a listing lacks, and that another box takes for missing only.
    pub fn put_missing(
        &mut self,
        record: ServerRecord,
        now: Instant,
    ) -> Option<RegistryChange> {
        let is_known = self.entries.contains_key(&record.id);
        if self.is_trusted(now) || is_known || self.gone.holds(&record) {
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

    /// Drops the servers that have not come back in time after an outage, and takes up those
    /// whose entries a restored store has brought back, if they are still there; `as_of` is
    /// the moment up to which the store's changes are known.
    pub fn settle(&mut self, as_of: Instant) -> Vec<RegistryChange> {
        let mut changes = self.take_returned(as_of);
        if !self.is_trusted(as_of) {
            return changes;
        }
        self.store = StoreStanding::Sound;
        let gone: Vec<ServerId> =
            self.missing().map(|record| record.id.clone()).collect();
        changes.extend(gone.iter().filter_map(|id| self.drop_entry(id)));
        changes
    }

    /// Holds a listed entry back that nobody may have written since the restore.
    fn hold_back(
        &mut self,
        record: ServerRecord,
        now: Instant,
    ) -> Option<RegistryChange> {
        let id = record.id.clone();
        let returned = ReturnedEntry {
            record,
            era: self.era,
            trusted_at: now + ENTRY_TTL,
        };
        let held = self.returned.get(&id);
        if held.is_none_or(|held| held.era < self.era) {
            self.returned.insert(id.clone(), returned);
        }
        self.drop_entry(&id)
    }

    fn take_returned(&mut self, as_of: Instant) -> Vec<RegistryChange> {
        let returned = std::mem::take(&mut self.returned);
        let (trusted, held): (BTreeMap<_, _>, _) = returned
            .into_iter()
            .partition(|(_, returned)| returned.trusted_at <= as_of);
        self.returned = held;
        let records = trusted.into_values().map(|returned| returned.record);
        records
            .filter_map(|record| self.put_entry(record, true))
            .collect()
    }

    fn drop_entry(&mut self, id: &str) -> Option<RegistryChange> {
        let entry = self.entries.remove(id)?;
        self.gone.put(&entry.record, self.era);
        Some(RegistryChange::Removed(entry.record))
    }

    /// Servers whose entries have vanished in or around an outage.
    pub fn missing(&self) -> impl Iterator<Item = &ServerRecord> {
        let missing = self.entries.values().filter(|entry| entry.missing);
        missing.map(|entry| &entry.record)
    }

    /// All entries that the store holds, those that are held back included.
    pub fn listed(&self) -> impl Iterator<Item = &ServerRecord> {
        let listed = self.entries.values().filter(|entry| !entry.missing);
        listed.map(|entry| &entry.record).chain(self.suppressed())
    }

    /// The number of servers, missing ones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Listed entries that are held back, since their servers were gone before the store was
    /// restored.
    pub fn suppressed(&self) -> impl Iterator<Item = &ServerRecord> {
        self.returned.values().map(|returned| &returned.record)
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

impl GoneRuns {
    fn put(&mut self, record: &ServerRecord, era: StoreEra) {
        let id = record.id.clone();
        if self
            .runs
            .insert(id.clone(), (record.born_ms, era))
            .is_none()
        {
            self.order.push_back(id);
        }
        while self.order.len() > MOST_GONE {
            if let Some(oldest) = self.order.pop_front() {
                self.runs.remove(&oldest);
            }
        }
    }

    fn forget(&mut self, id: &str) {
        if self.runs.remove(id).is_some() {
            self.order.retain(|known| known != id);
        }
    }

    fn holds(&self, record: &ServerRecord) -> bool {
        let gone = self.runs.get(&record.id);
        gone.is_some_and(|(born_ms, _)| *born_ms >= record.born_ms)
    }

    /// Whether a run was gone in an era before this one.
    fn was_before(&self, record: &ServerRecord, era: StoreEra) -> bool {
        let gone = self.runs.get(&record.id);
        gone.is_some_and(|(born_ms, went_in)| {
            *born_ms == record.born_ms && *went_in < era
        })
    }
}

/// Whether a record tells that a server has turned cold again, or is cold no more. A listing
/// may repeat what was told before; an entry that is written tells only what has changed.
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

/// How long servers have to write anew after the store's return. They write once a heartbeat
/// of 1.5 s.
pub const STORE_RECOVERY_GRACE: Duration = Duration::from_secs(2);
/// The store drops an entry that is not written for three heartbeats.
pub const ENTRY_TTL: Duration = Duration::from_secs(5);
/// A store comes back from a copy that is seconds old; in that time fewer servers end.
const MOST_GONE: usize = 4096;
