//! Tracks how current this box's view of the catalog is, which box reads the store, and
//! whether the store was away.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use wingspur_protocol::CatalogFreshness;
use wingspur_state::{BoxId, STORE_RECOVERY_GRACE, StoreEra, StorePosition};

use crate::{LinkId, hash_of};

/// State of the knowledge about the freshness of the catalog.
#[derive(Debug)]
pub struct CatalogFreshnessTracker {
    own: BoxId,
    /// Position up to which the changes of the store are known.
    position: StorePosition,
    /// Newest era that the store or a peer has reported; 0 if none.
    era: StoreEra,
    /// When the store last answered this box; `None` while this box does not read it.
    own_read_at: Option<Instant>,
    /// Whether this box tries to read and gets no answer.
    own_read_failing: bool,
    /// Reader that each link reports, and when the store last answered that reader.
    links: BTreeMap<LinkId, (BoxId, Instant)>,
    /// Links whose other side tries to read and gets no answer.
    failing_links: BTreeSet<LinkId>,
    /// When the store answered the newest read that is known, by any box; `None` if
    /// there was none.
    newest_read_at: Option<Instant>,
    /// Whether a read of the store has failed, here or on a linked box, since the newest
    /// one that was answered.
    has_failed_since: bool,
    /// When the store answered again after its last outage; `None` if none is known.
    store_returned_at: Option<Instant>,
    /// Since when no box is known to read.
    no_reader_since: Instant,
    /// Delay of this box within its rank, by a hash of its name: most boxes are not
    /// announced and therefore have the same rank.
    own_stagger: Duration,
}

/// Relation of a reported era to the newest known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraChange {
    /// It is the newest known era.
    Same,
    /// It is the first era that this box learns of.
    First,
    /// It is newer: the store has been restored from an older copy.
    Restored {
        /// The newest era known before.
        before: StoreEra,
    },
    /// It is older than the newest known era.
    Older,
}

impl CatalogFreshnessTracker {
    /// Creates a tracker that knows nothing yet.
    pub fn new(own: BoxId, now: Instant) -> Self {
        let fraction = hash_of(&own) as f64 / u64::MAX as f64;
        Self {
            own_stagger: SAME_RANK_STAGGER.mul_f64(fraction),
            own,
            position: StorePosition::default(),
            era: 0,
            own_read_at: None,
            own_read_failing: false,
            links: BTreeMap::new(),
            failing_links: BTreeSet::new(),
            newest_read_at: None,
            has_failed_since: false,
            store_returned_at: None,
            no_reader_since: now,
        }
    }

    /// Returns the position up to which this box knows the changes of the store.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Returns the newest known era; this box may not have a snapshot of it yet.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Records an era that the store or a peer has reported.
    pub fn note_era(&mut self, era: StoreEra) -> EraChange {
        if era < self.era {
            return EraChange::Older;
        }
        if era == self.era {
            return EraChange::Same;
        }
        let before = std::mem::replace(&mut self.era, era);
        if before == 0 && self.position.is_start() {
            return EraChange::First;
        }
        EraChange::Restored { before }
    }

    /// Whether the store has been restored since the state that this box knows was read.
    pub fn is_of_older_era(&self) -> bool {
        self.position.era() < self.era
    }

    /// Records that all changes up to a position are known.
    pub fn advance_to(&mut self, position: StorePosition) {
        self.position = self.position.max(position);
        self.era = self.era.max(position.era());
    }

    /// Records that the store has answered this box.
    pub fn record_store_reply(&mut self, now: Instant) {
        self.own_read_at = Some(now);
        self.own_read_failing = false;
        self.record_read(now);
    }

    /// Records that the store has not answered this box.
    pub fn record_store_failure(&mut self) {
        self.own_read_failing = true;
        self.has_failed_since = true;
    }

    /// Records a read of the store by any box, which the store answered at `at`.
    ///
    /// Called before anything that the read returned is applied: it decides whether an
    /// entry that is absent there may have expired in an outage.
    pub fn record_read(&mut self, at: Instant) {
        if self.newest_read_at.is_some_and(|newest| at <= newest) {
            return;
        }
        if self.is_store_away(at) {
            self.store_returned_at = Some(at);
        }
        self.newest_read_at = Some(at);
        self.has_failed_since = false;
    }

    /// Returns whether the store is away: boxes ask it in vain, and none has had an
    /// answer for at least [`MIN_OUTAGE`].
    ///
    /// A single failed call shows no outage. Its connection may have been cut, or only
    /// this box may have lost its path to the store.
    pub fn is_store_away(&self, now: Instant) -> bool {
        let newest = self.newest_read_at;
        self.has_failed_since
            && newest.is_some_and(|at| now.saturating_duration_since(at) >= MIN_OUTAGE)
    }

    /// Returns for how long an entry that is absent from the store may still be one that
    /// expired in an outage. Returns `None` if this box cannot tell: it has just started or
    /// was suspended, so that it knows neither of reads nor of failed ones.
    pub fn removal_grace(&self, now: Instant) -> Option<Duration> {
        let read_age = now.saturating_duration_since(self.newest_read_at?);
        if read_age >= MIN_OUTAGE {
            return self.has_failed_since.then_some(STORE_RECOVERY_GRACE);
        }
        let ends_at = self.store_returned_at.map(|at| at + STORE_RECOVERY_GRACE);
        let left = ends_at.map(|at| at.saturating_duration_since(now));
        Some(left.unwrap_or_default())
    }

    /// Whether this box may leave retrying to another box whose reads of the store also
    /// fail. A hub never may.
    pub fn may_defer_read(&self, is_hub: bool) -> bool {
        !is_hub && !self.failing_links.is_empty()
    }

    /// Records that this box no longer reads the store.
    pub fn stop_reading(&mut self) {
        self.own_read_at = None;
        self.own_read_failing = false;
    }

    /// Applies the freshness that the other side of a link reports.
    pub fn receive(&mut self, link: LinkId, state: &CatalogFreshness, now: Instant) {
        match state.is_read_failing {
            true => self.failing_links.insert(link),
            false => self.failing_links.remove(&link),
        };
        self.has_failed_since |= state.is_read_failing;
        let Some(reader) = &state.reader else {
            self.links.remove(&link);
            return;
        };
        if *reader == self.own {
            // The peer only repeats what this box itself has read.
            self.links.remove(&link);
            return;
        }
        if !self.covers(state.position) {
            // The reported age is that of a position which this box does not know yet.
            return;
        }
        let age = Duration::from_millis(u64::from(state.age_ms));
        let read_at = now.checked_sub(age).unwrap_or(now);
        self.links.insert(link, (reader.clone(), read_at));
        self.record_read(read_at);
    }

    /// Whether this box knows all changes up to a position of the newest era.
    fn covers(&self, position: StorePosition) -> bool {
        position.era() == self.era && position <= self.position
    }

    /// Removes a link.
    pub fn forget(&mut self, link: LinkId) {
        self.links.remove(&link);
        self.failing_links.remove(&link);
    }

    /// Returns the freshness that this box reports, with the newest reader it knows of.
    pub fn state(&self, now: Instant) -> CatalogFreshness {
        let own = self.own_read_at.map(|at| (&self.own, at));
        let theirs = self.links.values().map(|(reader, at)| (reader, *at));
        let best = own.into_iter().chain(theirs).max_by_key(|(_, at)| *at);
        let Some((reader, at)) = best else {
            return CatalogFreshness {
                is_read_failing: self.own_read_failing,
                position: self.position,
                era: self.era,
                ..CatalogFreshness::default()
            };
        };
        let age = now.saturating_duration_since(at).as_millis();
        CatalogFreshness {
            reader: Some(reader.clone()),
            age_ms: age.min(u128::from(u32::MAX)) as u32,
            is_read_failing: self.own_read_failing,
            position: self.position,
            era: self.era,
        }
    }

    /// Returns the age of the newest known read of the store, by any box, or the time
    /// without a known reader.
    pub fn staleness(&self, now: Instant) -> Duration {
        let theirs = self.links.values().map(|(_, at)| *at);
        let known = theirs.chain(self.own_read_at).chain([self.no_reader_since]);
        let newest = known.max().unwrap_or(self.no_reader_since);
        now.saturating_duration_since(newest)
    }

    /// Returns the age of the newest read of the store that has reached this box; `None`
    /// if there was none.
    pub fn confirmed_age(&self, now: Instant) -> Option<Duration> {
        let theirs = self.links.values().map(|(_, at)| *at);
        let newest = theirs.chain(self.own_read_at).max()?;
        Some(now.saturating_duration_since(newest))
    }

    /// Whether the catalog is staler than in normal operation.
    pub fn is_lagging(&self, now: Instant) -> bool {
        self.staleness(now) > LAG_THRESHOLD
    }

    /// Whether this box should read the store itself. The hub always does; another box
    /// does when no read by any other box has reached it for a while. Boxes begin one
    /// after the other, in the order of their rank.
    pub fn should_watch_store(
        &mut self,
        is_hub: bool,
        rank: usize,
        now: Instant,
    ) -> bool {
        let newest = self.links.values().map(|(_, at)| *at).max();
        if let Some(at) = newest {
            self.no_reader_since = self.no_reader_since.max(at);
        }
        let stagger =
            RANK_STAGGER * (rank.min(MAX_STAGGERED_RANKS) as u32) + self.own_stagger;
        is_hub
            || now.saturating_duration_since(self.no_reader_since)
                >= MAX_READ_AGE + stagger
    }
}

/// Maximum age of the newest read by others; an older one means that updates have
/// stopped. The watch of a reader ends every 0.65 s, and a frame in each direction may
/// wait for a heartbeat of 0.2 s, so the age is at most 1.1 s in normal operation.
///
/// No box uses a catalog of unconfirmed age for longer than this plus the stagger (0.33
/// s) and one call to the store: the age is counted from the moment at which this box
/// sent the frame that the other side acknowledged, so it includes every delay in
/// transit.
const MAX_READ_AGE: Duration = Duration::from_millis(1300);
/// The shortest time without an answer that counts as an outage of the store. The entry
/// of a server survives two missed heartbeats of 1.5 s. Where only its reader loses the
/// store, another box reads it within 1.8 s.
pub const MIN_OUTAGE: Duration = Duration::from_secs(2);
/// Staleness above that of normal operation, and half of the 2.4 s or so within which
/// changes must be active. If it is exceeded regularly, hubs are overloaded.
const LAG_THRESHOLD: Duration = Duration::from_millis(1200);
/// Boxes begin to read one after the other, so that one call instead of forty finds out
/// whether the store answers: first those that may become the hub, then the others,
/// spread by the hashes of their names. What one box reads reaches its hub and from there
/// the others within some 50 ms.
const RANK_STAGGER: Duration = Duration::from_millis(20);
const MAX_STAGGERED_RANKS: usize = 4;
const SAME_RANK_STAGGER: Duration = Duration::from_millis(250);
