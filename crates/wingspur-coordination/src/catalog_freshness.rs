//! How fresh this box's view of the catalog is, and who keeps it so.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use wingspur_protocol::CatalogFreshness;
use wingspur_state::{BoxId, StoreEra, StorePosition};

use crate::{LinkId, hash_of};

/// What is known of the catalog's freshness.
#[derive(Debug)]
pub struct CatalogFreshnessTracker {
    own: BoxId,
    /// Up to where the store's history is known.
    position: StorePosition,
    /// The newest era that the store, or a peer, has named; 0 for none.
    era: StoreEra,
    /// When this box itself last had an answer of the store; none when it does not read.
    own_fresh: Option<Instant>,
    /// Whether this box tries to read, and has no answer.
    own_tries: bool,
    /// What each link says: who reads, and when it last had an answer.
    links: BTreeMap<LinkId, (BoxId, Instant)>,
    /// Links whose other side tries to read, and has no answer.
    trying: BTreeSet<LinkId>,
    /// Since when nobody is known to read.
    unfed_since: Instant,
    /// How much later this box steps in than others of its rank: most are not announced,
    /// and so of the same.
    own_stagger: Duration,
}

/// How an era that was named stands to the newest that was known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraChange {
    /// It is the same.
    Same,
    /// It is the first that this box sees.
    First,
    /// The store has come back from an older copy since.
    Restored {
        /// The era that was known before.
        before: StoreEra,
    },
    /// It was over already.
    Older,
}

impl CatalogFreshnessTracker {
    /// Nothing known yet.
    pub fn new(own: BoxId, now: Instant) -> Self {
        let place = hash_of(&own) as f64 / u64::MAX as f64;
        Self {
            own_stagger: SAME_RANK_STAGGER.mul_f64(place),
            own,
            position: StorePosition::default(),
            era: 0,
            own_fresh: None,
            own_tries: false,
            links: BTreeMap::new(),
            trying: BTreeSet::new(),
            unfed_since: now,
        }
    }

    /// Up to where this box knows the store's history.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// The newest era that is known of; this box may have no listing of it yet.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Notes an era that the store or a peer has named.
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

    /// Whether the store has been restored since what this box knows was read.
    pub fn is_of_older_era(&self) -> bool {
        self.position.era() < self.era
    }

    /// Notes that all changes up to a position are known.
    pub fn advance_to(&mut self, position: StorePosition) {
        self.position = self.position.max(position);
        self.era = self.era.max(position.era());
    }

    /// Notes an answer of the store to this box.
    pub fn note_answer(&mut self, now: Instant) {
        self.own_fresh = Some(now);
        self.own_tries = false;
    }

    /// Notes that the store did not answer this box.
    pub fn note_no_answer(&mut self) {
        self.own_tries = true;
    }

    /// Whether this box may leave it to another, which tries in vain, to try again soon; a
    /// hub never may.
    pub fn may_defer_read(&self, is_hub: bool) -> bool {
        !is_hub && !self.trying.is_empty()
    }

    /// Notes that this box does not read any more.
    pub fn stop_reading(&mut self) {
        self.own_fresh = None;
        self.own_tries = false;
    }

    /// Notes what the other side of a link says.
    pub fn receive(&mut self, link: LinkId, state: &CatalogFreshness, now: Instant) {
        match state.is_read_failing {
            true => self.trying.insert(link),
            false => self.trying.remove(&link),
        };
        let Some(reader) = &state.reader else {
            self.links.remove(&link);
            return;
        };
        if *reader == self.own {
            // Our own reading comes back to us.
            self.links.remove(&link);
            return;
        }
        if !self.covers(state.position) {
            // How fresh that is says nothing of what is known here.
            return;
        }
        let age = Duration::from_millis(u64::from(state.age_ms));
        let fresh = now.checked_sub(age).unwrap_or(now);
        self.links.insert(link, (reader.clone(), fresh));
    }

    /// Whether all is known here that stands up to a position of the newest era.
    fn covers(&self, position: StorePosition) -> bool {
        position.era() == self.era && position <= self.position
    }

    /// Forgets a link.
    pub fn forget(&mut self, link: LinkId) {
        self.links.remove(&link);
        self.trying.remove(&link);
    }

    /// What this box says of itself.
    pub fn state(&self, now: Instant) -> CatalogFreshness {
        let own = self.own_fresh.map(|at| (&self.own, at));
        let theirs = self.links.values().map(|(reader, at)| (reader, *at));
        let best = own.into_iter().chain(theirs).max_by_key(|(_, at)| *at);
        let Some((reader, at)) = best else {
            return CatalogFreshness {
                is_read_failing: self.own_tries,
                position: self.position,
                era: self.era,
                ..CatalogFreshness::default()
            };
        };
        let age = now.saturating_duration_since(at).as_millis();
        CatalogFreshness {
            reader: Some(reader.clone()),
            age_ms: age.min(u128::from(u32::MAX)) as u32,
            is_read_failing: self.own_tries,
            position: self.position,
            era: self.era,
        }
    }

    /// How old the newest news is, whoever read it.
    pub fn staleness(&self, now: Instant) -> Duration {
        let theirs = self.links.values().map(|(_, at)| *at);
        let known = theirs.chain(self.own_fresh).chain([self.unfed_since]);
        let newest = known.max().unwrap_or(self.unfed_since);
        now.saturating_duration_since(newest)
    }

    /// How old the newest reading of the store is that has reached this box; none before
    /// any has.
    pub fn confirmed_age(&self, now: Instant) -> Option<Duration> {
        let theirs = self.links.values().map(|(_, at)| *at);
        let newest = theirs.chain(self.own_fresh).max()?;
        Some(now.saturating_duration_since(newest))
    }

    /// Whether the news is later than usual.
    pub fn is_lagging(&self, now: Instant) -> bool {
        self.staleness(now) > LATE_NEWS
    }

    /// Whether this box should read the store itself: the hub always does, another box when
    /// nobody's reading has reached it for a while, each a little later than the one before
    /// it in rank.
    pub fn should_watch_store(
        &mut self,
        is_hub: bool,
        rank: usize,
        now: Instant,
    ) -> bool {
        let freshest = self.links.values().map(|(_, at)| *at).max();
        if let Some(at) = freshest {
            self.unfed_since = self.unfed_since.max(at);
        }
        let stagger = RANK_STAGGER * (rank.min(MOST_STAGGERED) as u32) + self.own_stagger;
        is_hub || now.saturating_duration_since(self.unfed_since) >= STALE + stagger
    }
}

/// A feed that is older has broken off. A reader's watch ends each 0.65 s, and a frame each
/// way may wait for a heartbeat of 0.2 s: 1.1 s at the most while all is well.
///
/// No box acts for longer on news whose age it cannot vouch for than this, the stagger
/// (0.33 s) and one call of the store: the age is reckoned from the sending of this
/// box's own frame that the other side had, so no delay on the way is left out.
const STALE: Duration = Duration::from_millis(1300);
/// Later than news is while all is well, and half of the 2.4 s or so within which changes
/// must be in force: where this is usual, hubs are overloaded.
const LATE_NEWS: Duration = Duration::from_millis(1200);
/// Boxes step in one after the other, so that one call, not forty, finds out: those that may
/// be the hub first, and the others drawn out by their names. What one reads it tells its
/// hub, and that the others, in some 50 ms.
const RANK_STAGGER: Duration = Duration::from_millis(20);
const MOST_STAGGERED: usize = 4;
const SAME_RANK_STAGGER: Duration = Duration::from_millis(250);
