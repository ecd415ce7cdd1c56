//! The links of this box to other boxes, and what is queued to be sent on each of them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use wingspur_coordination::{
    AnnouncementView, CatalogFreshnessTracker, CatalogQueue, DataCentreQuota, FleetView,
    LinkClock, LinkId, LinkKind, LinkPeer, LinkPlanner, OWN_LINK, PeerRole,
    PendingSnapshot, PlannedLink, QuotaMessage, QuotaTopology, RecentChanges, Rollup,
    SourceUpdate, TallyUpdateReader, UpdatePacer, hash_of,
};
use wingspur_protocol::{
    BoxRecord, CatalogChanges, CatalogSnapshotUpdate, CatalogUpdate, Frame, FrameContent,
    LeaseMessages, LinkRole, ServerDrainingUpdate, ServerLimitUpdate, TallyUpdate,
};
use wingspur_state::{
    BoxId, BundleVersion, CoverageRole, FleetMembership, FleetSize, ServerKey,
    ServerLimitChange, SourceId, StorePosition, SuspectUpdate,
};
use wingspur_transport::LinkSender;

use crate::peers::active_link::{ActiveLink, InitialState};
use crate::quotas::resend_leases::{LeaseSources, ResendBudgetReports};

/// The links of this box, with what is still to be sent on each.
#[derive(Debug)]
pub struct Links {
    own: BoxRecord,
    rollup: Rollup,
    tally_reader: TallyUpdateReader,
    planner: LinkPlanner,
    freshness: CatalogFreshnessTracker,
    recent_changes: RecentChanges,
    active: BTreeMap<LinkId, ActiveLink>,
    fleet: FleetView,
    /// The view of the announcements that was computed last, and when.
    announced: Option<(Instant, Arc<AnnouncementView>)>,
    next_id: LinkId,
    /// The catalog snapshot that was built last, and when.
    snapshot_cache: Option<(Instant, Arc<CatalogSnapshotUpdate>)>,
    /// Limits the rate of updates and catalog snapshots to what the box's network link
    /// can carry.
    pacer: UpdatePacer,
    /// Whether this box is stopping.
    stopping: bool,
    /// Whether there are updates that should not wait for the usual gap between frames.
    urgent: bool,
}

/// A frame that is to be sent on one link now.
#[derive(Debug)]
pub struct OutgoingFrame {
    /// The link.
    pub link: LinkId,
    /// The sending side of the link.
    pub sender: LinkSender,
    /// The catalog snapshot to send before the frame; `None` if the other side needs
    /// none.
    pub snapshot: Option<PendingSnapshot>,
    /// The frame.
    pub frame: Frame,
}

impl Links {
    /// Starts without links. `link_mbps` is the bandwidth of the box's network link;
    /// `first_start` says that the whole fleet starts for the first time.
    pub fn new(own: BoxRecord, link_mbps: f64, first_start: bool, now: Instant) -> Self {
        let fleet = match first_start {
            true => FleetView::at_first_start,
            false => FleetView::new,
        };
        Self {
            rollup: Rollup::new(own.incarnation),
            tally_reader: TallyUpdateReader::default(),
            planner: LinkPlanner::new(own.clone()),
            freshness: CatalogFreshnessTracker::new(own.id.clone(), now),
            recent_changes: RecentChanges::default(),
            active: BTreeMap::new(),
            fleet: fleet(hash_of(&own.id), now).in_data_centre(own.data_centre.clone()),
            announced: None,
            next_id: OWN_LINK + 1,
            snapshot_cache: None,
            pacer: UpdatePacer::with_link(own.capacity, link_mbps, now),
            stopping: false,
            urgent: false,
            own,
        }
    }

    /// Whether this box knows no other box: none is linked and none is announced.
    pub fn is_alone(&self) -> bool {
        self.is_unlinked() && self.planner.size() == 1
    }

    /// Whether this box knows nothing of the history of the store's current era yet, as
    /// after its start.
    pub fn is_starting(&self) -> bool {
        self.position().is_start()
    }

    /// Whether this box has no link.
    pub fn is_unlinked(&self) -> bool {
        self.active.is_empty()
    }

    /// The record by which this box announces itself.
    pub fn own(&self) -> &BoxRecord {
        &self.own
    }

    /// The planner, which decides to which boxes this one should have links.
    pub fn planner(&mut self) -> &mut LinkPlanner {
        &mut self.planner
    }

    /// The tracker of how fresh this box's view of the store is, which also decides
    /// whether this box should read the store itself.
    pub fn watch_state(&mut self) -> &mut CatalogFreshnessTracker {
        &mut self.freshness
    }

    /// Whether this box is the hub of its data centre, as far as it knows: it plans no
    /// link as a member.
    pub fn is_hub(&self, now: Instant) -> bool {
        let plan = self.planner.plan(now);
        !plan.iter().any(|link| link.role == LinkRole::Member)
    }

    /// Adds a link and returns its id. `opened_as` is this box's role if this box opened
    /// the link, `peer_role` the other side's role if the other side opened it.
    pub fn add(
        &mut self,
        peer: BoxRecord,
        opened_as: Option<LinkRole>,
        peer_role: Option<LinkRole>,
        sender: LinkSender,
        now: Instant,
    ) -> LinkId {
        let id = self.next_id;
        self.next_id += 1;
        let kind = match peer_role {
            Some(LinkRole::Member) => LinkKind::Member,
            Some(LinkRole::Hub) | None => LinkKind::Hub,
        };
        self.rollup.add_link(id, kind);
        if kind == LinkKind::Hub {
            // A member is possibly not announced, so the planner must not take it for a
            // hub.
            self.planner.upsert(peer.clone());
        }
        self.planner.note_reached(&peer.id);
        self.planner.note_linked(&peer.id);
        let link = ActiveLink {
            peer,
            kind,
            opened_as,
            sender,
            clock: LinkClock::new(now),
            catalog: CatalogQueue::new(),
            wants_snapshot: false,
            bundle_version: 0,
            suspects: Vec::new(),
            limits: BTreeMap::new(),
            draining_servers: BTreeMap::new(),
            initial_state: None,
            has_catalog: true,
            lease_messages: LeaseMessages::default(),
            leaving_sent: false,
            sent_era: 0,
            last_sent_at: now,
            updates_sent_at: now,
        };
        let link_peer = LinkPeer {
            data_centre: link.peer.data_centre.clone(),
            key: hash_of(&link.peer.id),
        };
        self.fleet
            .add_link(id, link_peer, link.peer_relation(), now);
        self.active.insert(id, link);
        id
    }

    /// Closes and removes a link, which the other side may learn; returns the sources whose
    /// tallies no link provides any more.
    pub fn remove(&mut self, id: LinkId) -> Vec<SourceId> {
        self.remove_link(id, false)
    }

    /// Removes a link whose connection has failed. The other side never learns that it was
    /// closed, so this box goes on using a member's share until the delegation expires.
    pub fn remove_broken(&mut self, id: LinkId) -> Vec<SourceId> {
        self.remove_link(id, true)
    }

    fn remove_link(&mut self, id: LinkId, is_broken: bool) -> Vec<SourceId> {
        let Some(link) = self.active.remove(&id) else {
            return Vec::new();
        };
        let peer = &link.peer.id;
        if !self.active.values().any(|other| other.peer.id == *peer) {
            self.planner.note_unlinked(peer);
        }
        self.freshness.forget(id);
        let now = wingspur_clock::now();
        if is_broken {
            link.sender.abort();
            self.fleet.lose_link(id, now);
        } else {
            link.sender.close();
            self.fleet.drop_link(id, now);
        }
        self.rollup.drop_link(id);
        self.remove_lost_sources()
    }

    /// Forgets the sources whose tallies no link provides any more, and returns them.
    pub fn remove_lost_sources(&mut self) -> Vec<SourceId> {
        let lost = self.rollup.take_lost_sources();
        for source in &lost {
            self.tally_reader.forget(*source);
        }
        lost
    }

    /// Returns the planned links that are not open yet and, once all planned links are
    /// open, the links opened by this box that are no longer planned.
    pub fn diff_plan(&self, now: Instant) -> (Vec<PlannedLink>, Vec<LinkId>) {
        let plan = self.planner.plan(now);
        let is_open = |planned: &PlannedLink| {
            self.active.values().any(|link| link.matches_plan(planned))
        };
        let missing: Vec<PlannedLink> = plan
            .iter()
            .filter(|planned| !is_open(planned))
            .cloned()
            .collect();
        if !missing.is_empty() {
            return (missing, Vec::new());
        }
        let unplanned = self.active.iter().filter(|(_, link)| {
            let planned = plan.iter().any(|planned| link.matches_plan(planned));
            link.opened_as.is_some() && !planned
        });
        (missing, unplanned.map(|(id, _)| *id).collect())
    }

    /// Adds the tallies of this box's own requests.
    pub fn receive_own(&mut self, update: &TallyUpdate) {
        self.rollup.receive(OWN_LINK, update);
    }

    /// Adds tally updates received on a link; returns the updates for this box's own
    /// tables.
    pub fn receive(&mut self, id: LinkId, updates: &[TallyUpdate]) -> Vec<SourceUpdate> {
        for update in updates {
            self.rollup.receive(id, update);
        }
        let own = self.rollup.compose(OWN_LINK);
        own.iter()
            .map(|update| self.tally_reader.read(update))
            .collect()
    }

    /// Returns updates for this box's own tables that arise without a received tally
    /// update, for example when a member's link ends.
    pub fn own_updates(&mut self) -> Vec<SourceUpdate> {
        self.receive(OWN_LINK, &[])
    }

    /// Returns the catalog snapshot that was built last, `None` if it is out of date. It
    /// is cached since many boxes that link at the same time need the same snapshot.
    pub fn cached_snapshot(
        &self,
        version: BundleVersion,
        now: Instant,
    ) -> Option<CatalogUpdate> {
        let (built_at, snapshot) = self.snapshot_cache.as_ref()?;
        let catalog = &snapshot.snapshot;
        let cached_version = catalog.bundle.as_ref().map_or(0, |bundle| bundle.version);
        let is_current = catalog.position == self.position()
            && cached_version == version
            && now.saturating_duration_since(*built_at) < SNAPSHOT_MAX_AGE;
        is_current.then(|| CatalogUpdate::Snapshot(snapshot.clone()))
    }

    /// Caches a catalog snapshot that was just built.
    pub fn cache_snapshot(&mut self, snapshot: Arc<CatalogSnapshotUpdate>, now: Instant) {
        self.snapshot_cache = Some((now, snapshot));
    }

    /// Drops the cached catalog snapshot once it has reached its maximum age.
    pub fn expire_snapshot(&mut self, now: Instant) {
        self.snapshot_cache.take_if(|(built_at, _)| {
            now.saturating_duration_since(*built_at) >= SNAPSHOT_MAX_AGE
        });
    }

    /// Queues a catalog update for all links except `from`, on which it was received.
    /// `urgent` says that it changes something and does not only advance the revision.
    pub fn broadcast(
        &mut self,
        update: &CatalogUpdate,
        urgent: bool,
        from: Option<LinkId>,
    ) {
        self.recent_changes.record(update);
        for (id, link) in &mut self.active {
            if Some(*id) != from {
                link.catalog.push(update, urgent);
            }
        }
    }

    /// Queues a catalog update for one link.
    pub fn send_update(&mut self, id: LinkId, update: CatalogUpdate) {
        if let Some(link) = self.active.get_mut(&id) {
            link.catalog.push(&update, true);
        }
    }

    /// Returns the catalog changes after a position; `None` if some of them are not kept
    /// here.
    pub fn changes_since(&self, position: StorePosition) -> Option<CatalogChanges> {
        self.recent_changes.since(position)
    }

    /// Queues the state to be sent once to the other side of a new link. With
    /// `peer_is_new`, the health of the servers waits while the pacer delays the catalog
    /// snapshot for that box.
    pub fn queue_initial_state(&mut self, id: LinkId, mut initial_state: InitialState) {
        if let Some(link) = self.active.get_mut(&id) {
            link.suspects.append(&mut initial_state.suspects);
            let limits = initial_state.limits.drain(..);
            link.limits
                .extend(limits.map(|limit| (limit.server, limit)));
            link.draining_servers
                .extend(initial_state.draining_servers.drain(..));
            link.has_catalog = !initial_state.peer_is_new;
            link.initial_state = Some(initial_state);
        }
    }

    /// Queues an observation about a request that was in flight at a server that ended,
    /// for all links whose peer does not receive it another way. It is dropped on links
    /// with `MAX_QUEUED_SUSPECT_UPDATES` queued. Returns whether it came from this box or
    /// one of its members.
    pub fn broadcast_suspect(
        &mut self,
        update: &SuspectUpdate,
        from: Option<LinkId>,
    ) -> bool {
        for link in self.recipients(from) {
            if link.suspects.len() < MAX_QUEUED_SUSPECT_UPDATES {
                link.suspects.push(*update);
            }
        }
        self.is_own_update(from)
    }

    /// Queues a changed limit of a server for all links whose peer does not receive it
    /// another way. It replaces a change of the same server that is still queued.
    pub fn broadcast_limit(&mut self, limit: &ServerLimitChange, from: Option<LinkId>) {
        for link in self.recipients(from) {
            link.limits.insert(limit.server, *limit);
        }
    }

    /// Queues that a server is draining since `since`, for all links whose peer does not
    /// receive it another way.
    pub fn broadcast_leaving(
        &mut self,
        server: ServerKey,
        since: Instant,
        from: Option<LinkId>,
    ) {
        for link in self.recipients(from) {
            link.draining_servers.insert(server, since);
        }
    }

    /// Whether an update came from this box or one of its members.
    fn is_own_update(&self, from: Option<LinkId>) -> bool {
        let sender = from.and_then(|id| self.active.get(&id));
        sender.is_none_or(|link| link.peer_relation() == PeerRole::Member)
    }

    /// Returns the links whose peers do not receive an update another way. An update from
    /// another hub goes to members only, since that hub sends it to all other hubs
    /// itself.
    fn recipients(
        &mut self,
        from: Option<LinkId>,
    ) -> impl Iterator<Item = &mut ActiveLink> {
        let is_own = self.is_own_update(from);
        let others = self
            .active
            .iter_mut()
            .filter(move |(id, _)| Some(**id) != from);
        others.filter_map(move |(_, link)| {
            let is_recipient = is_own || link.peer_relation() == PeerRole::Member;
            is_recipient.then_some(link)
        })
    }

    /// Notes that this box is stopping.
    pub fn note_own_stop(&mut self) {
        self.stopping = true;
    }

    /// Notes that the other side of a link is stopping.
    ///
    /// Its frames still arrive after the link was removed here. They are ignored then:
    /// they carry nothing new, and must not be taken for a stop of this box.
    pub fn note_peer_stop(&mut self, id: LinkId) {
        if let Some(link) = self.active.get(&id) {
            self.planner.note_stopping(&link.peer);
        }
    }

    /// Notes that there are updates that should not wait for the usual gap between
    /// frames.
    pub fn mark_urgent(&mut self) {
        self.urgent = true;
    }

    /// Asks the other side of a link for a catalog snapshot with the next frame.
    pub fn request_snapshot(&mut self, id: LinkId) {
        if let Some(link) = self.active.get_mut(&id) {
            link.wants_snapshot = true;
        }
    }

    /// Returns the links whose peer has left a frame unacknowledged for too long.
    pub fn unresponsive(&self, now: Instant) -> Vec<LinkId> {
        let is_overdue =
            |link: &ActiveLink| link.clock.oldest_unanswered_age(now) >= ACK_TIMEOUT;
        let overdue = self.active.iter().filter(|(_, link)| is_overdue(link));
        overdue.map(|(id, _)| *id).collect()
    }

    /// Takes what is queued and due, and returns it as frames to send now. A link without
    /// a frame for `HEARTBEAT_INTERVAL` gets one in any case. A link with a full window
    /// of unacknowledged frames gets only such heartbeats, without the queued updates.
    /// `bundle_version` is the version of this box's active bundle.
    pub fn take_frames(
        &mut self,
        bundle_version: BundleVersion,
        resend_budgets: &ResendBudgetReports,
        now: Instant,
    ) -> Vec<OutgoingFrame> {
        let freshness = self.freshness.state(now);
        let urgent_updates = std::mem::take(&mut self.urgent);
        let local_gap = self.local_gap();
        let announcements = self.announced(now);
        let fleet = self.fleet.outgoing_notes(&announcements, now);
        let frames_per_s = self.active.len() as f64 / local_gap.as_secs_f64();
        let mut frames = Vec::new();
        // The link with the oldest updates goes first, since the pacer may not allow
        // updates on all links at once.
        let mut links: Vec<_> = self.active.iter_mut().collect();
        links.sort_by_key(|(_, link)| link.updates_sent_at);
        for (id, link) in links {
            let age = now.saturating_duration_since(link.last_sent_at);
            let is_remote = link.peer.data_centre != self.own.data_centre;
            let gap = if is_remote { REMOTE_GAP } else { local_gap };
            let gap = if urgent_updates {
                gap / URGENT_GAP_DIVISOR
            } else {
                gap
            };
            let full = link.is_window_full();
            let snapshot_is_delayed = link.is_snapshot_delayed(&self.pacer, now);
            let accepts_updates = link.accepts_server_updates(&self.pacer, now);
            let updates_due =
                updates_due_in(*id, link, gap, &self.rollup, &self.pacer, now);
            let has_due_updates = !full && updates_due.is_some_and(|due| due.is_zero());
            let catalog_due = link.catalog_due_in(&self.pacer, now);
            let catalog_due = catalog_due.is_some_and(|due| due.is_zero());
            let has_other_content = catalog_due
                || link.wants_snapshot
                || (link.initial_state.is_some() && accepts_updates)
                || (urgent_updates && !link.suspects.is_empty())
                || (self.stopping && !link.leaving_sent)
                || link.sent_era < freshness.era;
            if !has_due_updates
                && (!has_other_content || full)
                && age < HEARTBEAT_INTERVAL
            {
                continue;
            }
            link.last_sent_at = now;
            link.leaving_sent = self.stopping;
            // A frame on a full link still acknowledges what was received; otherwise two
            // full sides would wait for each other.
            let mut snapshot = None;
            let mut frame = Frame {
                timestamps: link.clock.send(now),
                bundle_version,
                fleet: self.fleet.note_for_link(*id, &fleet, now),
                leaving: self.stopping,
                ..Frame::default()
            };
            frame.resend_budgets = match link.peer_relation() {
                PeerRole::OwnHub => resend_budgets.own.clone(),
                PeerRole::Member | PeerRole::Hub => resend_budgets.aggregate.clone(),
            };
            frame.lease_messages = std::mem::take(&mut link.lease_messages);
            frame.delegated_shares = self.fleet.delegate_shares(*id, &announcements, now);
            if has_due_updates {
                let max_servers = match self.pacer.update_delay(now).is_zero() {
                    true => self.pacer.max_servers_per_frame(frames_per_s),
                    false => 0,
                };
                frame.tally_updates = self.rollup.compose_within(*id, max_servers);
                self.pacer.record_update(&frame.tally_updates, now);
                link.updates_sent_at = now;
            }
            if !full {
                // What is not sent because the link is full must not count as sent.
                frame.catalog_freshness = freshness.clone();
                link.sent_era = freshness.era;
                if !snapshot_is_delayed {
                    snapshot = link.take_snapshot();
                    frame.catalog = link.catalog.take(now);
                }
                if let Some(pending) = &snapshot {
                    self.pacer.record_snapshot(&pending.snapshot, now);
                }
                frame.wants_snapshot = std::mem::take(&mut link.wants_snapshot);
                let initial_state = link.initial_state.take_if(|_| accepts_updates);
                frame.health = initial_state.unwrap_or_default().health;
                frame.membership = self.fleet.membership_updates_for(*id);
                let suspects = link.suspects.drain(..);
                frame.suspects = suspects.map(|update| update.to_message(now)).collect();
                let limits = std::mem::take(&mut link.limits).into_values();
                frame.limits = limits.map(|limit| limit_update(&limit, now)).collect();
                let draining = std::mem::take(&mut link.draining_servers).into_iter();
                let to_update = |(server, since)| draining_update(server, since, now);
                frame.draining_servers = draining.map(to_update).collect();
            }
            frames.push(OutgoingFrame {
                link: *id,
                sender: link.sender.clone(),
                snapshot,
                frame,
            });
        }
        frames
    }

    /// Returns how long until `take_frames` should be called again if nothing happens
    /// before.
    pub fn next_tick(&self, now: Instant) -> Duration {
        let local_gap = self.local_gap();
        let due = |(id, link): (&LinkId, &ActiveLink)| {
            if link.is_window_full() {
                return FULL_WINDOW_RECHECK;
            }
            let is_remote = link.peer.data_centre != self.own.data_centre;
            let update_gap = if is_remote { REMOTE_GAP } else { local_gap };
            let mut due =
                (link.last_sent_at + HEARTBEAT_INTERVAL).saturating_duration_since(now);
            let pacer = &self.pacer;
            let updates_due =
                updates_due_in(*id, link, update_gap, &self.rollup, pacer, now);
            let catalog_due = link.catalog_due_in(pacer, now);
            for other in [updates_due, catalog_due].into_iter().flatten() {
                due = due.min(other);
            }
            due
        };
        let next = self.active.iter().map(due).min();
        next.unwrap_or(HEARTBEAT_INTERVAL).max(MIN_TICK)
    }

    /// Returns the gap between updates to a box of the same data centre. A hub with many
    /// links sends on each of them less often, so that its network link and processor can
    /// cope.
    fn local_gap(&self) -> Duration {
        let links = self.active.len() as u32;
        LOCAL_GAP.max(Duration::from_secs(1) * links / MAX_FRAMES_PER_S)
    }

    /// Records the present number of boxes, and returns the number of boxes in the fleet
    /// as far as this one knows.
    pub fn fleet_boxes(&mut self, now: Instant) -> usize {
        let announcements = self.announced(now);
        self.fleet.fleet_size(&announcements, now)
    }

    /// Returns what decides which probes of idle servers this box owns.
    pub fn coverage_role(&mut self, now: Instant) -> CoverageRole {
        let announcements = self.announced(now);
        self.fleet.coverage_role(&announcements, now)
    }

    /// Returns this box's contact with the fleet and the largest fleet size within
    /// `window`, from which it computes its share of what the fleet may spend over such a
    /// window.
    pub fn fleet_membership(
        &mut self,
        window: Duration,
        now: Instant,
    ) -> FleetMembership {
        let announcements = self.announced(now);
        self.fleet.membership(window, &announcements, now)
    }

    /// Returns the view of the announcements, which was computed at most
    /// `ANNOUNCED_MAX_AGE` ago.
    fn announced(&mut self, now: Instant) -> Arc<AnnouncementView> {
        if let Some((at, announcements)) = &self.announced
            && now.saturating_duration_since(*at) < ANNOUNCED_MAX_AGE
        {
            return announcements.clone();
        }
        let announcements = Arc::new(self.read_announced(now));
        self.announced = Some((now, announcements.clone()));
        announcements
    }

    fn read_announced(&self, now: Instant) -> AnnouncementView {
        let reported = match self.is_unlinked() {
            true => self.planner.reported_fleet_size(),
            false => 0,
        };
        let is_hub = self.is_hub(now);
        let freshness = self.freshness.state(now);
        let is_age_known = freshness.reader.is_some() && !self.is_starting();
        AnnouncementView {
            announced_boxes: self.planner.size().max(reported),
            reported_fleet_size: self.planner.reported_fleet_size(),
            data_centres: self.planner.other_data_centres(),
            hub_candidates: self.planner.hub_candidates(),
            is_hub,
            is_acting_hub: is_hub && self.planner.rank() > 0,
            age: is_age_known.then(|| Duration::from_millis(freshness.age_ms.into())),
        }
    }

    /// Returns this box's role in quota leasing: its hub, the allocators that it asks and
    /// its share. Without a link to a hub of its own, also its share and the allocator
    /// for each data centre.
    pub fn quota_standing(&mut self, now: Instant) -> QuotaTopology {
        let own_hub = self.own_hub();
        let allocators = own_hub.map_or_else(|| self.other_hubs(), |hub| vec![hub]);
        let announcements = self.announced(now);
        let others = announcements.data_centres.iter();
        let names = others.chain(std::iter::once(&self.own.data_centre));
        let names = names.filter(|_| own_hub.is_none());
        let fleet = &mut self.fleet;
        let data_centres = names.map(|name| DataCentreQuota {
            data_centre: name.clone(),
            share: fleet.share_for(name, &announcements, now),
            allocator: fleet.allocator_for(name, now),
        });
        let data_centres = data_centres.collect();
        QuotaTopology {
            own_hub,
            allocators,
            share: self.fleet.share(&announcements, now),
            data_centres,
        }
    }

    /// Returns the earliest and the latest moment at which an observation may have been
    /// made that a frame on a link reports with the age `age`.
    ///
    /// For the latest, the frame is taken to have arrived without delay. For the
    /// earliest, it is taken to have been composed at the moment that
    /// `LinkClock::peer_state_as_of` returns; if that is unknown, both are the same.
    pub fn observation_window(
        &self,
        id: LinkId,
        age: Duration,
        now: Instant,
    ) -> (Instant, Instant) {
        let confirmed_at = self
            .active
            .get(&id)
            .and_then(|link| link.clock.peer_state_as_of());
        let before = |moment: Instant| moment.checked_sub(age).unwrap_or(moment);
        (before(confirmed_at.unwrap_or(now)), before(now))
    }

    /// Returns the links to boxes that may be asked for a lease of their retry budget.
    pub fn lease_sources(&self) -> LeaseSources {
        let members = self.active.iter();
        let members =
            members.filter(|(_, link)| link.peer_relation() == PeerRole::Member);
        LeaseSources {
            own_hub: self.own_hub(),
            members: members.map(|(id, _)| *id).collect(),
            other_hubs: self.other_hubs(),
        }
    }

    /// Returns an upper bound of the age of the newest state received on the present
    /// links; `None` if it is known for none of them.
    pub fn peer_state_age(&self, now: Instant) -> Option<Duration> {
        self.fleet.peer_state_age(now)
    }

    /// Returns the link to the hub that this box reports to; `None` if there is none.
    pub fn own_hub(&self) -> Option<LinkId> {
        let mut links = self.active.iter();
        let own_hub = links.find(|(_, link)| link.peer_relation() == PeerRole::OwnHub);
        own_hub.map(|(id, _)| *id)
    }

    /// Whether this box has a link to its hub and that hub knows the servers, as far as
    /// this box can tell.
    pub fn hub_has_catalog(&self) -> bool {
        let hub = self.own_hub().and_then(|id| self.active.get(&id));
        hub.is_some_and(|hub| hub.has_catalog)
    }

    /// Returns the links between this box as a hub and other hubs.
    pub fn other_hubs(&self) -> Vec<LinkId> {
        let hubs = self.active.iter();
        let hubs = hubs.filter(|(_, link)| link.peer_relation() == PeerRole::Hub);
        hubs.map(|(id, _)| *id).collect()
    }

    /// Returns a frame with only the lease messages if they are urgent. Otherwise queues
    /// them for the next regular frame and returns `None`. If the link was removed, drops
    /// them and returns `None`.
    ///
    /// The frame is sent apart from the regular ones, since requests wait for it. It
    /// carries no timestamps, so the other side does not acknowledge it.
    pub fn lease_frame(&mut self, message: QuotaMessage) -> Option<OutgoingFrame> {
        let link = self.active.get_mut(&message.link)?;
        if !message.urgent {
            link.lease_messages
                .requests
                .extend(message.messages.requests);
            link.lease_messages.replies.extend(message.messages.replies);
            return None;
        }
        let frame = Frame {
            lease_messages: message.messages,
            content: FrameContent::LeaseMessages,
            ..Frame::default()
        };
        Some(OutgoingFrame {
            link: message.link,
            sender: link.sender.clone(),
            snapshot: None,
            frame,
        })
    }

    /// Records the present number of boxes, and returns the fleet size by which
    /// connections and budgets are divided among the boxes.
    pub fn fleet_size(&mut self, now: Instant) -> FleetSize {
        let boxes = self.fleet_boxes(now);
        self.planner.fleet_size(boxes)
    }

    /// Records what the other side of a link reports in a frame: its bundle's version,
    /// how fresh its view of the store is, its fleet status, the boxes that it counts and
    /// the shares that it delegates. The frame's timestamps may prove a moment at or
    /// after which this was true; without one, the freshness and the shares are ignored.
    pub fn note_frame(&mut self, id: LinkId, frame: &Frame, now: Instant) {
        let Some(link) = self.active.get_mut(&id) else {
            return;
        };
        link.bundle_version = frame.bundle_version;
        let peer_position = frame.catalog_freshness.position;
        link.has_catalog |= !peer_position.is_start();
        link.catalog
            .drop_known_snapshot(peer_position, frame.bundle_version);
        link.clock.receive(&frame.timestamps);
        let confirmed_at = link.clock.peer_state_as_of();
        if let Some(confirmed_at) = confirmed_at {
            self.freshness
                .receive(id, &frame.catalog_freshness, confirmed_at);
        }
        let announcements = self.announced(now);
        self.fleet
            .receive_membership(id, &frame.membership, &announcements, now);
        self.fleet
            .receive(id, frame.fleet, &announcements, confirmed_at, now);
        self.fleet
            .receive_delegated_shares(id, &frame.delegated_shares, confirmed_at);
    }

    /// Records that the other side closed a link properly: it does not use this box's
    /// share any more.
    pub fn record_orderly_close(&mut self, id: LinkId, now: Instant) {
        self.fleet.release_share(id, now);
    }

    /// Returns the box at the other side of a link; `None` if the link was removed.
    pub fn peer(&self, id: LinkId) -> Option<&BoxId> {
        self.active.get(&id).map(|link| &link.peer.id)
    }

    /// Returns the boxes that this one has links to.
    pub fn linked_boxes(&self) -> Vec<BoxRecord> {
        self.active.values().map(|link| link.peer.clone()).collect()
    }

    /// Returns the boxes that this one has links to and the announced ones.
    pub fn known_boxes(&self) -> Vec<BoxRecord> {
        let mut boxes = self.linked_boxes();
        let announced = self.planner.boxes();
        let unlinked =
            announced.filter(|record| !boxes.iter().any(|b| b.id == record.id));
        let mut unlinked: Vec<BoxRecord> = unlinked.cloned().collect();
        boxes.append(&mut unlinked);
        boxes
    }

    /// Returns the number of links, and how many of them are to members.
    pub fn link_counts(&self) -> (usize, usize) {
        let members = self
            .active
            .values()
            .filter(|link| link.kind == LinkKind::Member);
        (self.active.len(), members.count())
    }

    /// Returns the position in the store's history up to which this box knows it.
    pub fn position(&self) -> StorePosition {
        self.freshness.position()
    }
}

/// Returns how long until updates about servers and services may go out on a link; `None`
/// if there are none or the other side cannot use them yet. Failures do not wait for the
/// pacer, since they are few, whatever the number of servers.
fn updates_due_in(
    id: LinkId,
    link: &ActiveLink,
    gap: Duration,
    rollup: &Rollup,
    pacer: &UpdatePacer,
    now: Instant,
) -> Option<Duration> {
    let has_updates = rollup.has_updates(id) || link.has_own_updates();
    if !has_updates || !link.accepts_server_updates(pacer, now) {
        return None;
    }
    let due = (link.updates_sent_at + gap).saturating_duration_since(now);
    Some(match rollup.has_failures(id) {
        true => due,
        false => due.max(pacer.update_delay(now)),
    })
}

/// Converts a server's limit to the message about it, with its age as of now.
fn limit_update(limit: &ServerLimitChange, now: Instant) -> ServerLimitUpdate {
    ServerLimitUpdate {
        server: limit.server,
        per_s: limit.per_s,
        age_ms: age_ms(limit.at, now),
    }
}

fn draining_update(
    server: ServerKey,
    since: Instant,
    now: Instant,
) -> ServerDrainingUpdate {
    ServerDrainingUpdate {
        server,
        age_ms: age_ms(since, now),
    }
}

fn age_ms(at: Instant, now: Instant) -> u32 {
    let age = now.saturating_duration_since(at);
    age.as_millis().min(u128::from(u32::MAX)) as u32
}

/// Gap between updates to a box of the same data centre. A request takes several times as
/// long, so a view of that age still shows which servers are busy.
const LOCAL_GAP: Duration = Duration::from_millis(50);
/// Frames a second, over all links, above which the gap between updates in a data centre
/// grows: with 4 kB each, a tenth of a 100 Mbit/s network link. Urgent updates, catalog
/// updates, heartbeats and updates to other data centres may exceed it.
const MAX_FRAMES_PER_S: u32 = 320;
/// The usual gap between updates is divided by this when updates are urgent.
const URGENT_GAP_DIVISOR: u32 = 5;
/// Gap between updates to a box of another data centre, where traffic is charged by the
/// byte.
const REMOTE_GAP: Duration = Duration::from_millis(100);
/// Most suspect updates that are queued for one link. An update beyond that is dropped:
/// the store has a record of the request, or the update is one of many endings. When 40
/// servers end at once, 400 requests are in flight at them.
const MAX_QUEUED_SUSPECT_UPDATES: usize = 1024;
/// Maximum age of a cached snapshot. The snapshot says for how long its entries are still
/// in doubt, and that time shrinks while the snapshot waits.
const SNAPSHOT_MAX_AGE: Duration = Duration::from_millis(100);
/// Gap between frames on a link without updates. A view of the store is known to be at
/// most 1.3 s old if the reader's last response from the store is at most 0.7 s old,
/// since each of the two directions may have to wait for a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// How soon a link with a full window is checked again.
const FULL_WINDOW_RECHECK: Duration = Duration::from_millis(50);
/// A peer that has left a frame unacknowledged for this long does not read, or cannot be
/// reached.
const ACK_TIMEOUT: Duration = Duration::from_secs(3);
/// Shortest time that `next_tick` returns.
const MIN_TICK: Duration = Duration::from_millis(10);
/// How long the computed view of the announced boxes is reused. Computing it ranks all
/// boxes, and each frame and request needs it, which would take a good part of a box's
/// processor time. Learning of another box 0.1 s late is within the margin allowed for
/// joining.
const ANNOUNCED_MAX_AGE: Duration = Duration::from_millis(100);
