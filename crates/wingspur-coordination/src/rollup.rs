//! Aggregates the tallies of boxes, and composes the updates of each link.
//!
//! Every box has a rollup. Its own tallies and those of its members, if it is a hub, add up
//! to its total. A link is sent the total without what it reported itself. Digests of other
//! hubs are forwarded to members unchanged.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use wingspur_protocol::TallyUpdate;
use wingspur_state::{KeyedTally, ServerKey, ServerTally, ServiceTally, SourceId};

use crate::key_set::{KeyIndex, KeySet};

/// The tallies that a box knows, and what each link has yet to be sent of them.
#[derive(Debug)]
pub struct Rollup {
    source: SourceId,
    total: Tallies,
    /// The servers of all tallies, for the sets of those that a link has yet to be sent.
    index: KeyIndex,
    links: BTreeMap<LinkId, Link>,
    /// The tallies of other hubs by source, with the link that reported them.
    foreign: HashMap<SourceId, (LinkId, Tallies)>,
    /// Sources that are lost and that this box's own tables should forget.
    lost: Vec<SourceId>,
}

/// Names a link of this box.
pub type LinkId = u64;

/// The link that stands for this box itself.
pub const OWN_LINK: LinkId = 0;

/// What a link is to this box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkKind {
    /// Its tallies add to this box's total, and it is sent all sources.
    Member,
    /// Its tallies are another hub's, and it is sent this box's total only.
    Hub,
}

/// Changes for this box's own tables, from one source.
#[derive(Debug, Clone, PartialEq)]
pub struct SourceUpdate {
    /// Who reported them.
    pub source: SourceId,
    /// Server tallies as they stand, with the counts that are new.
    pub servers: Vec<(KeyedTally, ServerTally)>,
    /// New counts of services.
    pub services: Vec<(u64, ServiceTally)>,
}

#[derive(Debug, Default, Clone)]
struct Tallies {
    servers: HashMap<ServerKey, ServerTally>,
    services: HashMap<u64, ServiceTally>,
}

#[derive(Debug)]
struct Link {
    kind: LinkKind,
    /// What a member has reported.
    told: Tallies,
    /// Changes of this box's total.
    unsent: Unsent,
    /// Changes of other hubs' tallies.
    unsent_foreign: BTreeMap<SourceId, Unsent>,
    /// Other hubs that it should forget: their requests have ended, or others report them.
    gone: Vec<SourceId>,
}

/// What has changed since a link was last sent an update; everything for a new link.
#[derive(Debug, Default)]
struct Unsent {
    whole: bool,
    /// Servers that have failed, refused or kept silent: each request that goes there before
    /// the update arrives may be lost.
    failing: KeySet,
    /// Servers of which only good answers and requests that are out have changed.
    servers: KeySet,
    /// Where the next update begins among those, so that each has its turn.
    next: usize,
    services: BTreeSet<u64>,
}

/// What an update takes of one source.
#[derive(Debug, Default)]
struct Taken {
    whole: bool,
    servers: Vec<ServerKey>,
    services: BTreeSet<u64>,
}

/// A server whose tally has changed.
#[derive(Debug, Clone, Copy)]
struct Changed {
    /// Its position in the index.
    position: usize,
    /// Whether it has failed, refused or kept silent.
    is_failing: bool,
}

impl Rollup {
    /// A rollup that reports as `source`.
    pub fn new(source: SourceId) -> Self {
        let mut rollup = Self {
            source,
            total: Tallies::default(),
            index: KeyIndex::default(),
            links: BTreeMap::new(),
            foreign: HashMap::new(),
            lost: Vec::new(),
        };
        rollup.add_link(OWN_LINK, LinkKind::Member);
        rollup
    }

    /// Adds a link.
    pub fn add_link(&mut self, id: LinkId, kind: LinkKind) {
        let whole = || Unsent {
            whole: true,
            ..Unsent::default()
        };
        let mut unsent_foreign = BTreeMap::new();
        if kind == LinkKind::Member {
            unsent_foreign.extend(self.foreign.keys().map(|source| (*source, whole())));
        }
        let link = Link {
            kind,
            told: Tallies::default(),
            unsent: whole(),
            unsent_foreign,
            gone: Vec::new(),
        };
        self.links.insert(id, link);
    }

    /// Removes a link. The counts of a member stay, its requests in flight do not.
    pub fn drop_link(&mut self, id: LinkId) {
        let Some(link) = self.links.remove(&id) else {
            return;
        };
        let mut changed = Vec::new();
        for (key, told) in &link.told.servers {
            let total = self.total.servers.entry(*key).or_default();
            *total = total.without_stale(told);
            changed.push(Changed {
                position: self.index.position(*key),
                is_failing: told.silence_quarters > 0,
            });
        }
        self.mark(None, &changed, &[]);
        let by_link = self.foreign.iter().filter(|(_, (by, _))| *by == id);
        let lost: Vec<SourceId> = by_link.map(|(source, _)| *source).collect();
        lost.into_iter().for_each(|source| self.lose(source));
    }

    /// The sources that were lost since the last call.
    pub fn take_lost_sources(&mut self) -> Vec<SourceId> {
        std::mem::take(&mut self.lost)
    }

    /// Applies a digest that a link sent.
    pub fn receive(&mut self, id: LinkId, digest: &TallyUpdate) {
        match self.links.get(&id).map(|link| link.kind) {
            Some(LinkKind::Member) => self.receive_from_member(id, digest),
            Some(LinkKind::Hub) => self.receive_from_hub(id, digest),
            None => {}
        }
    }

    /// The update of a link; empty when it has been sent everything.
    pub fn compose(&mut self, id: LinkId) -> Vec<TallyUpdate> {
        self.compose_within(id, usize::MAX)
    }

    /// The same with tallies of `most_servers` servers at most. Those that fail are included
    /// whatever their number; what does not fit waits for the next update.
    ///
    /// Changes grow with the servers, and the bandwidth of a link does not: sent all of them,
    /// each link would receive failures as late as everything else.
    pub fn compose_within(
        &mut self,
        id: LinkId,
        most_servers: usize,
    ) -> Vec<TallyUpdate> {
        let Some(link) = self.links.get_mut(&id) else {
            return Vec::new();
        };
        let gone = std::mem::take(&mut link.gone).into_iter();
        let mut digests: Vec<TallyUpdate> = gone.map(nothing_left).collect();
        let mut room = most_servers;
        let index = &mut self.index;
        let taken = link.unsent.take_within(&mut room, &self.total, index);
        if !taken.is_empty() {
            let digest = self.total.without(&link.told, &taken);
            digests.push(TallyUpdate {
                source: self.source,
                ..digest
            });
        }
        for (source, unsent) in &mut link.unsent_foreign {
            let Some((_, tallies)) = self.foreign.get(source) else {
                *unsent = Unsent::default();
                continue;
            };
            let taken = unsent.take_within(&mut room, tallies, index);
            if !taken.is_empty() {
                let digest = tallies.without(&Tallies::default(), &taken);
                digests.push(TallyUpdate {
                    source: *source,
                    ..digest
                });
            }
        }
        digests
    }

    /// Whether a link has yet to be sent anything.
    pub fn has_updates(&self, id: LinkId) -> bool {
        let Some(link) = self.links.get(&id) else {
            return false;
        };
        let foreign = link.unsent_foreign.values();
        let any_foreign = foreign.into_iter().any(|unsent| !unsent.is_empty());
        !link.unsent.is_empty() || !link.gone.is_empty() || any_foreign
    }

    /// Whether a link has yet to be sent servers that have failed, refused or kept silent.
    pub fn has_failures(&self, id: LinkId) -> bool {
        let Some(link) = self.links.get(&id) else {
            return false;
        };
        let mut foreign = link.unsent_foreign.values();
        !link.unsent.failing.is_empty()
            || foreign.any(|unsent| !unsent.failing.is_empty())
    }

    fn receive_from_member(&mut self, id: LinkId, digest: &TallyUpdate) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let mut servers = Vec::new();
        for (key, tally) in &digest.servers {
            let told = link.told.servers.entry(*key).or_default();
            if digest.is_full {
                // Another hub has reported what a member counted before it linked here.
                *told = tally.without_gauges();
            }
            let total = self.total.servers.entry(*key).or_default();
            *total = total.plus(&tally.since(told)).without_stale(told);
            servers.push(Changed {
                position: self.index.position(*key),
                is_failing: tally.has_failed_since(told),
            });
            *told = *tally;
        }
        let mut services = Vec::new();
        for (key, tally) in &digest.services {
            let told = link.told.services.entry(*key).or_default();
            if digest.is_full {
                *told = *tally;
            }
            let total = self.total.services.entry(*key).or_default();
            *total = total.plus(&tally.increase_since(told));
            *told = *tally;
            services.push(*key);
        }
        self.mark(Some(id), &servers, &services);
    }

    fn receive_from_hub(&mut self, id: LinkId, digest: &TallyUpdate) {
        if digest.source == self.source {
            return;
        }
        if is_nothing_left(digest) {
            let from_here = self.foreign.get(&digest.source);
            if from_here.is_some_and(|(by, _)| *by == id) {
                self.lose(digest.source);
            }
            return;
        }
        let fresh = || (id, Tallies::default());
        let entry = self.foreign.entry(digest.source).or_insert_with(fresh);
        if digest.is_full {
            entry.1 = Tallies::default();
        }
        entry.0 = id;
        let mut changed = Vec::with_capacity(digest.servers.len());
        for (key, tally) in &digest.servers {
            let before = entry.1.servers.insert(*key, *tally).unwrap_or_default();
            changed.push(Changed {
                position: self.index.position(*key),
                is_failing: !digest.is_full && tally.has_failed_since(&before),
            });
        }
        entry.1.services.extend(digest.services.iter().copied());
        let members = self.links.iter_mut();
        for (_, link) in members.filter(|(_, link)| link.kind == LinkKind::Member) {
            let unsent = link.unsent_foreign.entry(digest.source).or_default();
            unsent.whole |= digest.is_full;
            unsent.mark(&changed);
            unsent
                .services
                .extend(digest.services.iter().map(|(key, _)| *key));
        }
    }

    /// Forgets a source, and has the members forget it.
    fn lose(&mut self, source: SourceId) {
        self.foreign.remove(&source);
        self.lost.push(source);
        let others = self.links.iter_mut().filter(|(id, _)| **id != OWN_LINK);
        for (_, link) in others.filter(|(_, link)| link.kind == LinkKind::Member) {
            link.unsent_foreign.remove(&source);
            link.gone.push(source);
        }
        if let Some(own) = self.links.get_mut(&OWN_LINK) {
            own.unsent_foreign.remove(&source);
        }
    }

    /// Marks parts of the total as changed for all links but one.
    fn mark(&mut self, but: Option<LinkId>, servers: &[Changed], services: &[u64]) {
        for (id, link) in &mut self.links {
            if Some(*id) != but {
                link.unsent.mark(servers);
                link.unsent.services.extend(services);
            }
        }
    }
}

impl Tallies {
    /// The tallies of an update, without what its link has reported of them.
    fn without(&self, told: &Self, taken: &Taken) -> TallyUpdate {
        let of_server = |key: &ServerKey| {
            let own = told.servers.get(key).copied().unwrap_or_default();
            let total = self.servers.get(key).copied().unwrap_or_default();
            (*key, total.minus(&own))
        };
        let of_service = |key: &u64| {
            let own = told.services.get(key).copied().unwrap_or_default();
            let total = self.services.get(key).copied().unwrap_or_default();
            (*key, total.since(&own))
        };
        TallyUpdate {
            source: 0,
            is_full: taken.whole,
            servers: taken.servers.iter().map(of_server).collect(),
            services: taken.services.iter().map(of_service).collect(),
        }
    }
}

/// The digest that ends a source: all of its tallies, and there are none.
fn nothing_left(source: SourceId) -> TallyUpdate {
    TallyUpdate {
        source,
        is_full: true,
        ..TallyUpdate::default()
    }
}

fn is_nothing_left(digest: &TallyUpdate) -> bool {
    digest.is_full && digest.servers.is_empty() && digest.services.is_empty()
}

impl Unsent {
    fn is_empty(&self) -> bool {
        let has_servers = !self.servers.is_empty() || !self.failing.is_empty();
        !self.whole && !has_servers && self.services.is_empty()
    }

    fn mark(&mut self, servers: &[Changed]) {
        for changed in servers {
            if changed.is_failing {
                self.servers.remove(changed.position);
                self.failing.insert(changed.position);
            } else if !self.failing.contains(changed.position) {
                self.servers.insert(changed.position);
            }
        }
    }

    /// Takes what an update has room for, and takes it off the room for servers.
    fn take_within(
        &mut self,
        room: &mut usize,
        tallies: &Tallies,
        index: &mut KeyIndex,
    ) -> Taken {
        if self.whole && *room == 0 {
            // A whole digest without tallies would end its source.
            return Taken::default();
        }
        if self.whole {
            // Everything is sent, whatever has changed.
            for key in tallies.servers.keys() {
                let position = index.position(*key);
                if !self.failing.contains(position) {
                    self.servers.insert(position);
                }
            }
            self.services = tallies.services.keys().copied().collect();
        }
        let mut positions = self.failing.take();
        *room = room.saturating_sub(positions.len());
        let others = self.servers.take_from(&mut self.next, *room);
        *room -= others.len();
        positions.extend(others);
        let key_at = |position: &usize| index.key(*position);
        Taken {
            whole: std::mem::take(&mut self.whole),
            servers: positions.iter().map(key_at).collect(),
            services: std::mem::take(&mut self.services),
        }
    }
}

impl Taken {
    fn is_empty(&self) -> bool {
        !self.whole && self.servers.is_empty() && self.services.is_empty()
    }
}

/// Turns digests into updates: current tallies with the increase since the last ones.
#[derive(Debug, Default)]
pub struct TallyUpdateReader {
    known: HashMap<SourceId, KnownSource>,
}

/// What a reader knows of a source.
#[derive(Debug, Default)]
struct KnownSource {
    tallies: Tallies,
    /// Whether the source has sent a whole digest, so that an unknown tally began at zero.
    told_whole: bool,
}

impl TallyUpdateReader {
    /// Reads a digest; the first of a source is only the baseline of later ones.
    ///
    /// So is the first tally of a server or a service while the source has never sent a whole
    /// digest: it was forgotten, and goes on where it was. Its lifetime counts would be an
    /// increase otherwise, and the requests of a service earn a retry budget.
    pub fn read(&mut self, digest: &TallyUpdate) -> SourceUpdate {
        let known = self.known.entry(digest.source).or_default();
        let begins_at_nothing = known.told_whole;
        known.told_whole |= digest.is_full;
        let mut servers = Vec::with_capacity(digest.servers.len());
        for (key, tally) in &digest.servers {
            let before = known.tallies.servers.insert(*key, *tally);
            let updates = match before {
                Some(before) => tally.increase_since(&before),
                None if begins_at_nothing => {
                    tally.increase_since(&ServerTally::default())
                }
                None => ServerTally::default(),
            };
            servers.push(((*key, *tally), updates));
        }
        let mut services = Vec::with_capacity(digest.services.len());
        for (key, tally) in &digest.services {
            let before = known.tallies.services.get(key).copied();
            let mark = before.map_or(*tally, |before| tally.mark_after(&before));
            known.tallies.services.insert(*key, mark);
            let updates = match before {
                Some(before) => tally.increase_since(&before),
                None if begins_at_nothing => *tally,
                None => ServiceTally::default(),
            };
            services.push((*key, updates));
        }
        SourceUpdate {
            source: digest.source,
            servers,
            services,
        }
    }

    /// Forgets a source that is lost.
    pub fn forget(&mut self, source: SourceId) {
        self.known.remove(&source);
    }
}
