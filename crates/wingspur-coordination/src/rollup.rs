//! Aggregates the tallies of boxes, and composes the tally updates for each link.
//!
//! Every box has a rollup. Its own tallies and, on a hub, those of its members add up to
//! its total. A link is sent the total without what it reported itself. Tally updates of
//! other hubs are forwarded to members unchanged.

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
    /// Current tallies of servers, each with the increase since the previous update.
    pub servers: Vec<(KeyedTally, ServerTally)>,
    /// Increases of the tallies of services, by service key.
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
    reported: Tallies,
    /// Changes of this box's total.
    unsent: Unsent,
    /// Changes of other hubs' tallies.
    unsent_foreign: BTreeMap<SourceId, Unsent>,
    /// Other hubs that the member should forget, because their requests have ended or
    /// other boxes report them.
    lost_sources: Vec<SourceId>,
}

/// What has changed since a link was last sent an update; everything for a new link.
#[derive(Debug, Default)]
struct Unsent {
    is_full: bool,
    /// Servers that have failed, refused or not responded: each request that goes there
    /// before the update arrives may be lost.
    failing: KeySet,
    /// Servers where only successful responses and requests in flight have changed.
    servers: KeySet,
    /// Position in `servers` at which the next update begins, so that each server gets
    /// its turn.
    next: usize,
    services: BTreeSet<u64>,
}

/// The changes of one source that go into one update.
#[derive(Debug, Default)]
struct Selection {
    is_full: bool,
    servers: Vec<ServerKey>,
    services: BTreeSet<u64>,
}

/// A server whose tally has changed.
#[derive(Debug, Clone, Copy)]
struct Changed {
    /// Its position in the index.
    position: usize,
    /// Whether it has failed, refused or not responded.
    is_failing: bool,
}

impl Rollup {
    /// Creates a rollup that reports as `source`.
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
        let all_unsent = || Unsent {
            is_full: true,
            ..Unsent::default()
        };
        let mut unsent_foreign = BTreeMap::new();
        if kind == LinkKind::Member {
            unsent_foreign
                .extend(self.foreign.keys().map(|source| (*source, all_unsent())));
        }
        let link = Link {
            kind,
            reported: Tallies::default(),
            unsent: all_unsent(),
            unsent_foreign,
            lost_sources: Vec::new(),
        };
        self.links.insert(id, link);
    }

    /// Removes a link. The counters of a member stay in the total; its requests in flight
    /// do not.
    pub fn drop_link(&mut self, id: LinkId) {
        let Some(link) = self.links.remove(&id) else {
            return;
        };
        let mut changed = Vec::new();
        for (key, reported) in &link.reported.servers {
            let total = self.total.servers.entry(*key).or_default();
            *total = total.without_stale(reported);
            changed.push(Changed {
                position: self.index.position(*key),
                is_failing: reported.silence_quarters > 0,
            });
        }
        self.mark(None, &changed, &[]);
        let by_link = self.foreign.iter().filter(|(_, (link, _))| *link == id);
        let lost: Vec<SourceId> = by_link.map(|(source, _)| *source).collect();
        lost.into_iter().for_each(|source| self.drop_source(source));
    }

    /// Returns the sources that were lost since the last call.
    pub fn take_lost_sources(&mut self) -> Vec<SourceId> {
        std::mem::take(&mut self.lost)
    }

    /// Applies a tally update that was received on a link.
    pub fn receive(&mut self, id: LinkId, update: &TallyUpdate) {
        match self.links.get(&id).map(|link| link.kind) {
            Some(LinkKind::Member) => self.receive_from_member(id, update),
            Some(LinkKind::Hub) => self.receive_from_hub(id, update),
            None => {}
        }
    }

    /// Composes the update for a link; empty when the link has been sent everything.
    pub fn compose(&mut self, id: LinkId) -> Vec<TallyUpdate> {
        self.compose_within(id, usize::MAX)
    }

    /// Composes an update with the tallies of at most `max_servers` servers. Failing
    /// servers are included whatever their number; what does not fit waits for the next
    /// update.
    ///
    /// The volume of changes grows with the number of servers, and the bandwidth of a
    /// link does not: if all changes were sent, each link would receive failures as late
    /// as everything else.
    pub fn compose_within(&mut self, id: LinkId, max_servers: usize) -> Vec<TallyUpdate> {
        let Some(link) = self.links.get_mut(&id) else {
            return Vec::new();
        };
        let lost_sources = std::mem::take(&mut link.lost_sources).into_iter();
        let mut updates: Vec<TallyUpdate> = lost_sources.map(end_of_source).collect();
        let mut servers_left = max_servers;
        let index = &mut self.index;
        let selection = link
            .unsent
            .take_within(&mut servers_left, &self.total, index);
        if !selection.is_empty() {
            let update = self.total.without(&link.reported, &selection);
            updates.push(TallyUpdate {
                source: self.source,
                ..update
            });
        }
        for (source, unsent) in &mut link.unsent_foreign {
            let Some((_, tallies)) = self.foreign.get(source) else {
                *unsent = Unsent::default();
                continue;
            };
            let selection = unsent.take_within(&mut servers_left, tallies, index);
            if !selection.is_empty() {
                let update = tallies.without(&Tallies::default(), &selection);
                updates.push(TallyUpdate {
                    source: *source,
                    ..update
                });
            }
        }
        updates
    }

    /// Whether a link has yet to be sent anything.
    pub fn has_updates(&self, id: LinkId) -> bool {
        let Some(link) = self.links.get(&id) else {
            return false;
        };
        let foreign = link.unsent_foreign.values();
        let any_foreign = foreign.into_iter().any(|unsent| !unsent.is_empty());
        !link.unsent.is_empty() || !link.lost_sources.is_empty() || any_foreign
    }

    /// Whether a link has yet to be sent servers that have failed, refused or not
    /// responded.
    pub fn has_failures(&self, id: LinkId) -> bool {
        let Some(link) = self.links.get(&id) else {
            return false;
        };
        let mut foreign = link.unsent_foreign.values();
        !link.unsent.failing.is_empty()
            || foreign.any(|unsent| !unsent.failing.is_empty())
    }

    fn receive_from_member(&mut self, id: LinkId, update: &TallyUpdate) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let mut servers = Vec::new();
        for (key, tally) in &update.servers {
            let reported = link.reported.servers.entry(*key).or_default();
            if update.is_full {
                // Another hub has already reported what this member counted before it
                // linked here.
                *reported = tally.without_gauges();
            }
            let total = self.total.servers.entry(*key).or_default();
            *total = total.plus(&tally.since(reported)).without_stale(reported);
            servers.push(Changed {
                position: self.index.position(*key),
                is_failing: tally.has_failed_since(reported),
            });
            *reported = *tally;
        }
        let mut services = Vec::new();
        for (key, tally) in &update.services {
            let reported = link.reported.services.entry(*key).or_default();
            if update.is_full {
                *reported = *tally;
            }
            let total = self.total.services.entry(*key).or_default();
            *total = total.plus(&tally.increase_since(reported));
            *reported = *tally;
            services.push(*key);
        }
        self.mark(Some(id), &servers, &services);
    }

    fn receive_from_hub(&mut self, id: LinkId, update: &TallyUpdate) {
        if update.source == self.source {
            return;
        }
        if is_end_of_source(update) {
            let from_here = self.foreign.get(&update.source);
            if from_here.is_some_and(|(link, _)| *link == id) {
                self.drop_source(update.source);
            }
            return;
        }
        let new_entry = || (id, Tallies::default());
        let entry = self.foreign.entry(update.source).or_insert_with(new_entry);
        if update.is_full {
            entry.1 = Tallies::default();
        }
        entry.0 = id;
        let mut changed = Vec::with_capacity(update.servers.len());
        for (key, tally) in &update.servers {
            let before = entry.1.servers.insert(*key, *tally).unwrap_or_default();
            changed.push(Changed {
                position: self.index.position(*key),
                is_failing: !update.is_full && tally.has_failed_since(&before),
            });
        }
        entry.1.services.extend(update.services.iter().copied());
        let members = self.links.iter_mut();
        for (_, link) in members.filter(|(_, link)| link.kind == LinkKind::Member) {
            let unsent = link.unsent_foreign.entry(update.source).or_default();
            unsent.is_full |= update.is_full;
            unsent.mark(&changed);
            unsent
                .services
                .extend(update.services.iter().map(|(key, _)| *key));
        }
    }

    /// Removes a source, and tells the members to forget it.
    fn drop_source(&mut self, source: SourceId) {
        self.foreign.remove(&source);
        self.lost.push(source);
        let others = self.links.iter_mut().filter(|(id, _)| **id != OWN_LINK);
        for (_, link) in others.filter(|(_, link)| link.kind == LinkKind::Member) {
            link.unsent_foreign.remove(&source);
            link.lost_sources.push(source);
        }
        if let Some(own) = self.links.get_mut(&OWN_LINK) {
            own.unsent_foreign.remove(&source);
        }
    }

    /// Marks servers and services of the total as changed for all links except one.
    fn mark(&mut self, except: Option<LinkId>, servers: &[Changed], services: &[u64]) {
        for (id, link) in &mut self.links {
            if Some(*id) != except {
                link.unsent.mark(servers);
                link.unsent.services.extend(services);
            }
        }
    }
}

impl Tallies {
    /// The tallies of an update, without what its link has reported of them.
    fn without(&self, reported: &Self, selection: &Selection) -> TallyUpdate {
        let of_server = |key: &ServerKey| {
            let own = reported.servers.get(key).copied().unwrap_or_default();
            let total = self.servers.get(key).copied().unwrap_or_default();
            (*key, total.minus(&own))
        };
        let of_service = |key: &u64| {
            let own = reported.services.get(key).copied().unwrap_or_default();
            let total = self.services.get(key).copied().unwrap_or_default();
            (*key, total.since(&own))
        };
        TallyUpdate {
            source: 0,
            is_full: selection.is_full,
            servers: selection.servers.iter().map(of_server).collect(),
            services: selection.services.iter().map(of_service).collect(),
        }
    }
}

/// Returns the tally update that ends a source: a full update without any tallies.
fn end_of_source(source: SourceId) -> TallyUpdate {
    TallyUpdate {
        source,
        is_full: true,
        ..TallyUpdate::default()
    }
}

fn is_end_of_source(update: &TallyUpdate) -> bool {
    update.is_full && update.servers.is_empty() && update.services.is_empty()
}

impl Unsent {
    fn is_empty(&self) -> bool {
        let has_servers = !self.servers.is_empty() || !self.failing.is_empty();
        !self.is_full && !has_servers && self.services.is_empty()
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

    /// Takes the changes that fit into an update, and subtracts their servers from
    /// `servers_left`.
    fn take_within(
        &mut self,
        servers_left: &mut usize,
        tallies: &Tallies,
        index: &mut KeyIndex,
    ) -> Selection {
        if self.is_full && *servers_left == 0 {
            // A full update without tallies would end its source.
            return Selection::default();
        }
        if self.is_full {
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
        *servers_left = servers_left.saturating_sub(positions.len());
        let others = self.servers.take_from(&mut self.next, *servers_left);
        *servers_left -= others.len();
        positions.extend(others);
        let key_at = |position: &usize| index.key(*position);
        Selection {
            is_full: std::mem::take(&mut self.is_full),
            servers: positions.iter().map(key_at).collect(),
            services: std::mem::take(&mut self.services),
        }
    }
}

impl Selection {
    fn is_empty(&self) -> bool {
        !self.is_full && self.servers.is_empty() && self.services.is_empty()
    }
}

/// Turns tally updates into source updates: current tallies with the increase since the
/// previous update of the same source.
#[derive(Debug, Default)]
pub struct TallyUpdateReader {
    known: HashMap<SourceId, KnownSource>,
}

/// What a reader knows of a source.
#[derive(Debug, Default)]
struct KnownSource {
    tallies: Tallies,
    /// Whether the source has sent a full update, so that a tally not known yet began at
    /// zero.
    sent_full: bool,
}

impl TallyUpdateReader {
    /// Reads a tally update. The first one of a source is only the baseline of later
    /// ones.
    ///
    /// The same holds for the first tally of a server or a service while the source has
    /// never sent a full update: the source was forgotten here, and its counters continue
    /// from where they were. Otherwise its lifetime counts would be taken for an
    /// increase, and the requests of a service earn retry budget.
    pub fn read(&mut self, update: &TallyUpdate) -> SourceUpdate {
        let known = self.known.entry(update.source).or_default();
        let starts_at_zero = known.sent_full;
        known.sent_full |= update.is_full;
        let mut servers = Vec::with_capacity(update.servers.len());
        for (key, tally) in &update.servers {
            let before = known.tallies.servers.insert(*key, *tally);
            let increase = match before {
                Some(before) => tally.increase_since(&before),
                None if starts_at_zero => tally.increase_since(&ServerTally::default()),
                None => ServerTally::default(),
            };
            servers.push(((*key, *tally), increase));
        }
        let mut services = Vec::with_capacity(update.services.len());
        for (key, tally) in &update.services {
            let before = known.tallies.services.get(key).copied();
            let mark = before.map_or(*tally, |before| tally.mark_after(&before));
            known.tallies.services.insert(*key, mark);
            let increase = match before {
                Some(before) => tally.increase_since(&before),
                None if starts_at_zero => *tally,
                None => ServiceTally::default(),
            };
            services.push((*key, increase));
        }
        SourceUpdate {
            source: update.source,
            servers,
            services,
        }
    }

    /// Forgets a source that is lost.
    pub fn forget(&mut self, source: SourceId) {
        self.known.remove(&source);
    }
}
