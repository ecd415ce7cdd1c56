//! Which boxes the fleet has, each counted once.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use wingspur_protocol::MembershipUpdate;
use wingspur_state::BoxKey;

use crate::LinkId;

/// The boxes that this one is linked with or is told of by other hubs.
///
/// While a hub takes another's place, both count the members that move. By numbers
/// alone the fleet is taken for larger than it is, and a part of what it shares by its number
/// is used by nobody. A box that starts again keeps its key: its new run uses its part only
/// once its former one cannot any more.
#[derive(Debug)]
pub struct BoxRegistry {
    links: BTreeMap<LinkId, LinkCensus>,
    /// Over how many links each box is counted now.
    present: HashMap<BoxKey, u32>,
    /// When those were last counted that no link counts any more.
    left: HashMap<BoxKey, Instant>,
    /// This box and its members.
    here: BTreeSet<BoxKey>,
}

#[derive(Debug, Default)]
struct LinkCensus {
    /// The member at the other side; none for a hub.
    member: Option<BoxKey>,
    /// Whom it counts.
    counts: BTreeSet<BoxKey>,
    /// Whom the other side has been told of; none before it was.
    told: Option<BTreeSet<BoxKey>>,
}

impl BoxRegistry {
    /// Counts this box only.
    pub fn new(own: BoxKey) -> Self {
        Self {
            links: BTreeMap::new(),
            present: HashMap::from([(own, 1)]),
            left: HashMap::new(),
            here: BTreeSet::from([own]),
        }
    }

    /// Takes up a link with a member.
    pub fn add_member(&mut self, link: LinkId, member: BoxKey) {
        let census = LinkCensus {
            member: Some(member),
            ..LinkCensus::default()
        };
        self.links.insert(link, census);
        self.here.insert(member);
        self.add(link, member);
    }

    /// Takes up a link with another hub, which will tell whom it counts.
    pub fn add_hub(&mut self, link: LinkId) {
        self.links.insert(link, LinkCensus::default());
    }

    /// Gives up a link.
    pub fn drop_link(&mut self, link: LinkId, now: Instant) {
        let Some(census) = self.links.remove(&link) else {
            return;
        };
        for counted in census.counts {
            self.release(counted, now);
        }
        let mut others = self.links.values();
        if let Some(member) = census.member
            && !others.any(|other| other.member == Some(member))
        {
            self.here.remove(&member);
        }
    }

    /// Takes in whom another hub counts.
    pub fn receive(&mut self, link: LinkId, note: &MembershipUpdate, now: Instant) {
        let Some(census) = self.links.get(&link) else {
            return;
        };
        let mut gone = note.left.clone();
        if note.is_full {
            gone.extend(census.counts.iter().copied());
        }
        for key in &note.joined {
            self.add(link, *key);
        }
        for key in gone {
            let stays = note.is_full && note.joined.contains(&key);
            let census = self.links.get_mut(&link);
            if !stays && census.is_some_and(|census| census.counts.remove(&key)) {
                self.release(key, now);
            }
        }
    }

    /// What another hub has not been told yet of this box and its members.
    pub fn updates_for(&mut self, link: LinkId) -> MembershipUpdate {
        let Some(census) = self.links.get_mut(&link) else {
            return MembershipUpdate::default();
        };
        if census.told.as_ref() == Some(&self.here) {
            return MembershipUpdate::default();
        }
        let whole = census.told.is_none();
        let told = census.told.take().unwrap_or_default();
        let note = MembershipUpdate {
            is_full: whole,
            joined: self.here.difference(&told).copied().collect(),
            left: told.difference(&self.here).copied().collect(),
        };
        census.told = Some(self.here.clone());
        note
    }

    /// How many boxes there are: all that are counted now, or were a moment ago.
    ///
    /// Members that are between two hubs are counted by neither, but still spend.
    pub fn count(&mut self, now: Instant) -> usize {
        self.left
            .retain(|_, at| now.saturating_duration_since(*at) < HUB_CHANGE);
        self.present.len() + self.left.len()
    }

    fn add(&mut self, link: LinkId, key: BoxKey) {
        let Some(census) = self.links.get_mut(&link) else {
            return;
        };
        if census.counts.insert(key) {
            *self.present.entry(key).or_default() += 1;
            self.left.remove(&key);
        }
    }

    fn release(&mut self, key: BoxKey, now: Instant) {
        let Some(links) = self.present.get_mut(&key) else {
            return;
        };
        *links -= 1;
        if *links == 0 {
            self.present.remove(&key);
            self.left.insert(key, now);
        }
    }
}

/// A box that has no hub for longer is out of touch, and spends no slack.
const HUB_CHANGE: Duration = Duration::from_secs(4);
