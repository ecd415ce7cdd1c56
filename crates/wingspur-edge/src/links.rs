//! The links of this box: whom it hears, what it tells whom.

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
    BoxId, BundleVersion, FleetMembership, FleetSize, ServerKey, ServerLimitChange,
    SourceId, StorePosition, SuspectUpdate,
};
use wingspur_transport::LinkSender;

use crate::active_link::{ActiveLink, InitialState};
use crate::resend_leases::{LeaseSources, ResendBudgetReports};

/// The links of this box, with what is still to be told on each.
#[derive(Debug)]
pub struct Links {
    own: BoxRecord,
    rollup: Rollup,
    updates: TallyUpdateReader,
    planner: LinkPlanner,
    feed: CatalogFreshnessTracker,
    recent: RecentChanges,
    active: BTreeMap<LinkId, ActiveLink>,
    fleet: FleetView,
    /// What announcements told of the fleet, and when that was read.
    announced: Option<(Instant, Arc<AnnouncementView>)>,
    next_id: LinkId,
    /// The listing that was put together last, and when.
    listing: Option<(Instant, Arc<CatalogSnapshotUpdate>)>,
    /// Spaces what is told.
    pacer: UpdatePacer,
    /// Whether this box is stopping.
    leaving: bool,
    /// Whether there is news that should not wait for the next tick.
    urgent: bool,
}

/// What a tick has to say on one link.
#[derive(Debug)]
pub struct OutgoingFrame {
    /// The link.
    pub link: LinkId,
    /// Where it goes.
    pub sender: LinkSender,
    /// The listing that goes before the frame, if one is owed.
    pub listing: Option<PendingSnapshot>,
    /// What it says.
    pub frame: Frame,
}

impl Links {
    /// No links yet.
    pub fn new(own: BoxRecord, link_mbps: f64, first_start: bool, now: Instant) -> Self {
        let fleet = match first_start {
            true => FleetView::at_first_start,
            false => FleetView::new,
        };
        Self {
            rollup: Rollup::new(own.incarnation),
            updates: TallyUpdateReader::default(),
            planner: LinkPlanner::new(own.clone()),
            feed: CatalogFreshnessTracker::new(own.id.clone(), now),
            recent: RecentChanges::default(),
            active: BTreeMap::new(),
            fleet: fleet(hash_of(&own.id), now).in_data_centre(own.data_centre.clone()),
            announced: None,
            next_id: OWN_LINK + 1,
            listing: None,
            pacer: UpdatePacer::with_link(own.capacity, link_mbps, now),
            leaving: false,
            urgent: false,
            own,
        }
    }

    /// Whether this box knows no other, linked or announced.
    pub fn is_alone(&self) -> bool {
        self.is_unlinked() && self.planner.size() == 1
    }

    /// Whether this box has just started and knows nothing of the catalog.
    pub fn is_starting(&self) -> bool {
        self.position().is_start()
    }

    /// Whether no link stands.
    pub fn is_unlinked(&self) -> bool {
        self.active.is_empty()
    }

    /// This box as it announces itself.
    pub fn own(&self) -> &BoxRecord {
        &self.own
    }

    /// Whom the box should keep links with.
    pub fn planner(&mut self) -> &mut LinkPlanner {
        &mut self.planner
    }

    /// How the box stands with the store.
    pub fn watch_state(&mut self) -> &mut CatalogFreshnessTracker {
        &mut self.feed
    }

    /// Whether this box is the hub of its data centre, as far as it knows.
    pub fn is_hub(&self, now: Instant) -> bool {
        let plan = self.planner.plan(now);
        !plan.iter().any(|link| link.role == LinkRole::Member)
    }

    /// Takes up a link; `opened_as` where this box opened it.
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
            // Members are not announced, and so are no hub for others.
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
            wants_listing: false,
            bundle_version: 0,
            suspects: Vec::new(),
            limits: BTreeMap::new(),
            leaving_servers: BTreeMap::new(),
            initial_state: None,
            has_catalog: true,
            lending: LeaseMessages::default(),
            leaving_sent: false,
            sent_era: 0,
            last_sent_at: now,
            updates_sent_at: now,
        };
        let at_other_side = LinkPeer {
            data_centre: link.peer.data_centre.clone(),
            key: hash_of(&link.peer.id),
        };
        self.fleet
            .add_link(id, at_other_side, link.peer_relation(), now);
        self.active.insert(id, link);
        id
    }

    /// Gives up a link; returns the sources that are not heard any more.
    pub fn remove(&mut self, id: LinkId) -> Vec<SourceId> {
        let Some(link) = self.active.remove(&id) else {
            return Vec::new();
        };
        let peer = &link.peer.id;
        if !self.active.values().any(|other| other.peer.id == *peer) {
            self.planner.note_unlinked(peer);
        }
        link.sender.close();
        self.feed.forget(id);
        self.fleet.drop_link(id, wingspur_clock::now());
        self.rollup.drop_link(id);
        self.remove_lost_sources()
    }

    /// The sources that are not heard any more, forgotten here.
    pub fn remove_lost_sources(&mut self) -> Vec<SourceId> {
        let lost = self.rollup.take_lost_sources();
        for source in &lost {
            self.updates.forget(*source);
        }
        lost
    }

    /// Planned links that do not stand yet, and links opened here that are not planned any
    /// more, once the planned ones stand.
    pub fn diff_plan(&self, now: Instant) -> (Vec<PlannedLink>, Vec<LinkId>) {
        let plan = self.planner.plan(now);
        let stands = |planned: &PlannedLink| {
            self.active.values().any(|link| link.matches_plan(planned))
        };
        let missing: Vec<PlannedLink> = plan
            .iter()
            .filter(|planned| !stands(planned))
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

    /// Takes in what this box itself has seen.
    pub fn receive_own(&mut self, digest: &TallyUpdate) {
        self.rollup.receive(OWN_LINK, digest);
    }

    /// Takes in digests that came by a link; returns the news for this box's own tables.
    pub fn receive(&mut self, id: LinkId, digests: &[TallyUpdate]) -> Vec<SourceUpdate> {
        for digest in digests {
            self.rollup.receive(id, digest);
        }
        let own = self.rollup.compose(OWN_LINK);
        own.iter().map(|digest| self.updates.read(digest)).collect()
    }

    /// News that came about without a digest, as when a member went.
    pub fn own_updates(&mut self) -> Vec<SourceUpdate> {
        self.receive(OWN_LINK, &[])
    }

    /// The listing that was put together last, if it is still the present one: many boxes
    /// that link at once are owed the same.
    pub fn cached_snapshot(
        &self,
        version: BundleVersion,
        now: Instant,
    ) -> Option<CatalogUpdate> {
        let (at, listing) = self.listing.as_ref()?;
        let listed = &listing.snapshot;
        let listed_version = listed.bundle.as_ref().map_or(0, |bundle| bundle.version);
        let is_present = listed.position == self.position()
            && listed_version == version
            && now.saturating_duration_since(*at) < LISTING_FOR;
        is_present.then(|| CatalogUpdate::Snapshot(listing.clone()))
    }

    /// Keeps a listing that was just put together.
    pub fn cache_snapshot(&mut self, listing: Arc<CatalogSnapshotUpdate>, now: Instant) {
        self.listing = Some((now, listing));
    }

    /// Lets go of a listing that is not the present one any more.
    pub fn expire_snapshot(&mut self, now: Instant) {
        self.listing
            .take_if(|(at, _)| now.saturating_duration_since(*at) >= LISTING_FOR);
    }

    /// Queues news of the catalog for all links but the one that it came by; `urgent` where
    /// it changes anything.
    pub fn broadcast(
        &mut self,
        update: &CatalogUpdate,
        urgent: bool,
        from: Option<LinkId>,
    ) {
        self.recent.put(update);
        for (id, link) in &mut self.active {
            if Some(*id) != from {
                link.catalog.push(update, urgent);
            }
        }
    }

    /// Queues news of the catalog for one link.
    pub fn send_update(&mut self, id: LinkId, update: CatalogUpdate) {
        if let Some(link) = self.active.get_mut(&id) {
            link.catalog.push(&update, true);
        }
    }

    /// The changes of the catalog after a position, where they are all at hand.
    pub fn changes_since(&self, position: StorePosition) -> Option<CatalogChanges> {
        self.recent.since(position)
    }

    /// Queues what the other side of a new link should know.
    pub fn queue_initial_state(&mut self, id: LinkId, mut greeting: InitialState) {
        if let Some(link) = self.active.get_mut(&id) {
            link.suspects.append(&mut greeting.suspects);
            let limits = greeting.limits.drain(..);
            link.limits
                .extend(limits.map(|limit| (limit.server, limit)));
            link.leaving_servers
                .extend(greeting.leaving_servers.drain(..));
            link.has_catalog = !greeting.peer_is_new;
            link.initial_state = Some(greeting);
        }
    }

    /// Queues what was seen of a request under which a server ended, for all links that do
    /// not hear it otherwise; whether it came from this box or a member of its own.
    pub fn broadcast_suspect(
        &mut self,
        updates: &SuspectUpdate,
        from: Option<LinkId>,
    ) -> bool {
        for link in self.recipients(from) {
            if link.suspects.len() < MOST_SUSPECT_UPDATES {
                link.suspects.push(*updates);
            }
        }
        self.is_own_update(from)
    }

    /// Queues a changed limit of a server for all links that do not hear it otherwise; the
    /// newest change of a server replaces those before.
    pub fn broadcast_limit(&mut self, limit: &ServerLimitChange, from: Option<LinkId>) {
        for link in self.recipients(from) {
            link.limits.insert(limit.server, *limit);
        }
    }

    /// Queues that a server leaves for all links that do not hear it otherwise.
    pub fn broadcast_leaving(
        &mut self,
        server: ServerKey,
        since: Instant,
        from: Option<LinkId>,
    ) {
        for link in self.recipients(from) {
            link.leaving_servers.insert(server, since);
        }
    }

    /// Whether news came from this box or a member of its own.
    fn is_own_update(&self, from: Option<LinkId>) -> bool {
        let teller = from.and_then(|id| self.active.get(&id));
        teller.is_none_or(|link| link.peer_relation() == PeerRole::Member)
    }

    /// The links that do not hear news otherwise: what another hub tells, that one tells all
    /// other hubs as well.
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
            let hears = is_own || link.peer_relation() == PeerRole::Member;
            hears.then_some(link)
        })
    }

    /// Notes that this box is stopping.
    pub fn note_own_stop(&mut self) {
        self.leaving = true;
    }

    /// Notes that the other side of a link is stopping.
    ///
    /// Its frames still arrive on a link that has been given up here; they tell nothing more,
    /// and above all nothing of this box.
    pub fn note_peer_stop(&mut self, id: LinkId) {
        if let Some(link) = self.active.get(&id) {
            self.planner.note_stopping(&link.peer);
        }
    }

    /// Notes that there is news which should not wait for the next tick.
    pub fn mark_urgent(&mut self) {
        self.urgent = true;
    }

    /// Asks the other side of a link for a listing.
    pub fn request_snapshot(&mut self, id: LinkId) {
        if let Some(link) = self.active.get_mut(&id) {
            link.wants_listing = true;
        }
    }

    /// Links on which the other side has not answered for too long.
    pub fn unresponsive(&self, now: Instant) -> Vec<LinkId> {
        let waits_long =
            |link: &ActiveLink| link.clock.oldest_unanswered_age(now) >= MOST_WAIT;
        let stuck = self.active.iter().filter(|(_, link)| waits_long(link));
        stuck.map(|(id, _)| *id).collect()
    }

    /// What is to be sent now by a box with a bundle of this version in force: news, and a
    /// sign of life where there was none for long.
    pub fn take_frames(
        &mut self,
        bundle_version: BundleVersion,
        rooms: &ResendBudgetReports,
        now: Instant,
    ) -> Vec<OutgoingFrame> {
        let feed = self.feed.state(now);
        let hurry = std::mem::take(&mut self.urgent);
        let home_gap = self.home_gap();
        let known = self.announced(now);
        let fleet = self.fleet.outgoing_notes(&known, now);
        let frames_per_s = self.active.len() as f64 / home_gap.as_secs_f64();
        let mut frames = Vec::new();
        // Who was told longest ago goes first, where not all can be told at once.
        let mut links: Vec<_> = self.active.iter_mut().collect();
        links.sort_by_key(|(_, link)| link.updates_sent_at);
        for (id, link) in links {
            let age = now.saturating_duration_since(link.last_sent_at);
            let away = link.peer.data_centre != self.own.data_centre;
            let gap = if away { AWAY_GAP } else { home_gap };
            let gap = if hurry { gap / HURRY } else { gap };
            let full = link.is_window_full();
            let listing_is_delayed = link.is_snapshot_delayed(&self.pacer, now);
            let accepts_updates = link.accepts_server_updates(&self.pacer, now);
            let updates_due =
                updates_due_in(*id, link, gap, &self.rollup, &self.pacer, now);
            let due = !full && updates_due.is_some_and(|due| due.is_zero());
            let catalog_due = link.catalog_due_in(&self.pacer, now);
            let catalog_due = catalog_due.is_some_and(|due| due.is_zero());
            let urgent = catalog_due
                || link.wants_listing
                || (link.initial_state.is_some() && accepts_updates)
                || (hurry && !link.suspects.is_empty())
                || (self.leaving && !link.leaving_sent)
                || link.sent_era < feed.era;
            if !due && (!urgent || full) && age < HEARTBEAT {
                continue;
            }
            link.last_sent_at = now;
            link.leaving_sent = self.leaving;
            // A full link still says what it has had: else two full sides wait for each other.
            let mut listing = None;
            let mut frame = Frame {
                timestamps: link.clock.send(now),
                bundle_version,
                fleet: self.fleet.note_for_link(*id, &fleet, now),
                leaving: self.leaving,
                ..Frame::default()
            };
            frame.resend_budgets = match link.peer_relation() {
                PeerRole::OwnHub => rooms.own.clone(),
                PeerRole::Member | PeerRole::Hub => rooms.aggregate.clone(),
            };
            frame.lease_messages = std::mem::take(&mut link.lending);
            frame.delegated_shares = self.fleet.delegate_shares(*id, &known, now);
            if due {
                let most_servers = match self.pacer.update_delay(now).is_zero() {
                    true => self.pacer.max_servers_per_frame(frames_per_s),
                    false => 0,
                };
                frame.tally_updates = self.rollup.compose_within(*id, most_servers);
                self.pacer.record_update(&frame.tally_updates, now);
                link.updates_sent_at = now;
            }
            if !full {
                // What is held back does not count as told.
                frame.catalog_freshness = feed.clone();
                link.sent_era = feed.era;
                if !listing_is_delayed {
                    listing = link.take_snapshot();
                    frame.catalog = link.catalog.take(now);
                }
                if let Some(pending) = &listing {
                    self.pacer.record_snapshot(&pending.listing, now);
                }
                frame.wants_snapshot = std::mem::take(&mut link.wants_listing);
                let greeting = link.initial_state.take_if(|_| accepts_updates);
                frame.health = greeting.unwrap_or_default().health;
                frame.membership = self.fleet.census_for(*id);
                let suspects = link.suspects.drain(..);
                frame.suspects =
                    suspects.map(|updates| updates.to_message(now)).collect();
                let limits = std::mem::take(&mut link.limits).into_values();
                frame.limits = limits.map(|limit| note_of(&limit, now)).collect();
                let leaving = std::mem::take(&mut link.leaving_servers).into_iter();
                let note = |(server, since)| leaving_note(server, since, now);
                frame.draining_servers = leaving.map(note).collect();
            }
            frames.push(OutgoingFrame {
                link: *id,
                sender: link.sender.clone(),
                listing,
                frame,
            });
        }
        frames
    }

    /// When `take_frames` should be called again, if nothing happens before.
    pub fn next_tick(&self, now: Instant) -> Duration {
        let home_gap = self.home_gap();
        let due = |(id, link): (&LinkId, &ActiveLink)| {
            if link.is_window_full() {
                return FULL_CHECK;
            }
            let away = link.peer.data_centre != self.own.data_centre;
            let update_gap = if away { AWAY_GAP } else { home_gap };
            let mut due = (link.last_sent_at + HEARTBEAT).saturating_duration_since(now);
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
        next.unwrap_or(HEARTBEAT).max(LEAST_TICK)
    }

    /// How often news goes to a box of the same data centre: a hub of many tells each of
    /// them less often, so that its link and processor bear them all.
    fn home_gap(&self) -> Duration {
        let links = self.active.len() as u32;
        HOME_GAP.max(Duration::from_secs(1) * links / MOST_FRAMES_PER_S)
    }

    /// The boxes of the fleet, as far as this one knows.
    pub fn fleet_boxes(&mut self, now: Instant) -> usize {
        let known = self.announced(now);
        self.fleet.fleet_size(&known, now)
    }

    /// How this box stands with the fleet, as far as what is shared over a window goes.
    pub fn fleet_membership(
        &mut self,
        window: Duration,
        now: Instant,
    ) -> FleetMembership {
        let known = self.announced(now);
        self.fleet.membership(window, &known, now)
    }

    /// What announcements tell of the fleet, as it was a moment ago.
    fn announced(&mut self, now: Instant) -> Arc<AnnouncementView> {
        if let Some((at, known)) = &self.announced
            && now.saturating_duration_since(*at) < ANNOUNCED_FOR
        {
            return known.clone();
        }
        let known = Arc::new(self.read_announced(now));
        self.announced = Some((now, known.clone()));
        known
    }

    fn read_announced(&self, now: Instant) -> AnnouncementView {
        let told = match self.is_unlinked() {
            true => self.planner.reported_fleet_size(),
            false => 0,
        };
        let is_hub = self.is_hub(now);
        let feed = self.feed.state(now);
        let known = feed.reader.is_some() && !self.is_starting();
        AnnouncementView {
            announced_boxes: self.planner.size().max(told),
            reported_fleet_size: self.planner.reported_fleet_size(),
            data_centres: self.planner.other_data_centres(),
            is_hub,
            is_acting_hub: is_hub && self.planner.rank() > 0,
            age: known.then(|| Duration::from_millis(feed.age_ms.into())),
        }
    }

    /// What this box is among the others, as far as lending goes.
    pub fn quota_standing(&mut self, now: Instant) -> QuotaTopology {
        let own_hub = self.own_hub();
        let lenders = own_hub.map_or_else(|| self.other_hubs(), |hub| vec![hub]);
        let known = self.announced(now);
        let others = known.data_centres.iter();
        let names = others.chain(std::iter::once(&self.own.data_centre));
        let names = names.filter(|_| own_hub.is_none());
        let fleet = &mut self.fleet;
        let places = names.map(|name| DataCentreQuota {
            data_centre: name.clone(),
            share: fleet.share_for(name, &known, now),
            allocator: fleet.allocator_for(name, now),
        });
        let places = places.collect();
        QuotaTopology {
            own_hub,
            allocators: lenders,
            share: self.fleet.share(&known, now),
            data_centres: places,
        }
    }

    /// When what a frame of a link says was true at the latest and at the earliest, where it
    /// says that it was so long ago.
    pub fn observation_window(
        &self,
        id: LinkId,
        age: Duration,
        now: Instant,
    ) -> (Instant, Instant) {
        let vouched = self
            .active
            .get(&id)
            .and_then(|link| link.clock.peer_state_as_of());
        let before = |moment: Instant| moment.checked_sub(age).unwrap_or(moment);
        (before(vouched.unwrap_or(now)), before(now))
    }

    /// Whom this box may ask for a resend.
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

    /// How old at most the newest is that this box has heard of any other; none if it never
    /// heard one.
    pub fn peer_state_age(&self, now: Instant) -> Option<Duration> {
        self.fleet.peer_state_age(now)
    }

    /// The link with the hub that this box reports to.
    pub fn own_hub(&self) -> Option<LinkId> {
        let mut links = self.active.iter();
        let own_hub = links.find(|(_, link)| link.peer_relation() == PeerRole::OwnHub);
        own_hub.map(|(id, _)| *id)
    }

    /// Whether this box reports to a hub that knows the catalog.
    pub fn hub_has_catalog(&self) -> bool {
        let hub = self.own_hub().and_then(|id| self.active.get(&id));
        hub.is_some_and(|hub| hub.has_catalog)
    }

    /// The links with other hubs.
    pub fn other_hubs(&self) -> Vec<LinkId> {
        let hubs = self.active.iter();
        let hubs = hubs.filter(|(_, link)| link.peer_relation() == PeerRole::Hub);
        hubs.map(|(id, _)| *id).collect()
    }

    /// A frame that carries nothing but what is lent and asked for, with where it goes; none
    /// where that waits for the next frame.
    ///
    /// It goes out beside the others and is none of those that the other side must answer:
    /// requests wait for it.
    pub fn lease_frame(&mut self, message: QuotaMessage) -> Option<OutgoingFrame> {
        let link = self.active.get_mut(&message.link)?;
        if !message.urgent {
            link.lending.requests.extend(message.lending.requests);
            link.lending.replies.extend(message.lending.replies);
            return None;
        }
        let frame = Frame {
            lease_messages: message.lending,
            content: FrameContent::LeaseMessages,
            ..Frame::default()
        };
        Some(OutgoingFrame {
            link: message.link,
            sender: link.sender.clone(),
            listing: None,
            frame,
        })
    }

    /// How the fleet is divided, as far as its counts are concerned.
    pub fn division(&mut self, now: Instant) -> FleetSize {
        let boxes = self.fleet_boxes(now);
        self.planner.division(boxes)
    }

    /// Notes what the other side of a link says of itself: how many boxes it counts, which
    /// bundle it has, and how it stands with the store as of the moment that the stamps
    /// vouch for.
    pub fn note_frame(&mut self, id: LinkId, frame: &Frame, now: Instant) {
        let Some(link) = self.active.get_mut(&id) else {
            return;
        };
        link.bundle_version = frame.bundle_version;
        let known = frame.catalog_freshness.position;
        link.has_catalog |= !known.is_start();
        link.catalog.drop_known_listing(known, frame.bundle_version);
        link.clock.receive(&frame.timestamps);
        let vouched = link.clock.peer_state_as_of();
        if let Some(vouched) = vouched {
            self.feed.receive(id, &frame.catalog_freshness, vouched);
        }
        let known = self.announced(now);
        self.fleet
            .receive_census(id, &frame.membership, &known, now);
        self.fleet.receive(id, frame.fleet, &known, vouched, now);
        self.fleet
            .receive_delegated_shares(id, &frame.delegated_shares, vouched);
    }

    /// Takes in that the other side of a link has ended it in order: it uses this box's part
    /// no more.
    pub fn record_orderly_close(&mut self, id: LinkId, now: Instant) {
        self.fleet.release_share(id, now);
    }

    /// Who is linked, for logs.
    pub fn peer(&self, id: LinkId) -> Option<&BoxId> {
        self.active.get(&id).map(|link| &link.peer.id)
    }

    /// The number of links, and of members among them.
    pub fn link_counts(&self) -> (usize, usize) {
        let members = self
            .active
            .values()
            .filter(|link| link.kind == LinkKind::Member);
        (self.active.len(), members.count())
    }

    /// Up to where this box knows the store's history.
    pub fn position(&self) -> StorePosition {
        self.feed.position()
    }
}

/// How long until a link may be told what was seen of servers and services; none where there
/// is nothing to tell. What fails does not wait for the pacer: it is little, whatever the
/// number of servers.
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

/// A server's limit as it is told now.
fn note_of(limit: &ServerLimitChange, now: Instant) -> ServerLimitUpdate {
    ServerLimitUpdate {
        server: limit.server,
        per_s: limit.per_s,
        age_ms: age_ms(limit.at, now),
    }
}

fn leaving_note(server: ServerKey, since: Instant, now: Instant) -> ServerDrainingUpdate {
    ServerDrainingUpdate {
        server,
        age_ms: age_ms(since, now),
    }
}

fn age_ms(at: Instant, now: Instant) -> u32 {
    let age = now.saturating_duration_since(at);
    age.as_millis().min(u128::from(u32::MAX)) as u32
}

/// How often news may go to a box of the same data centre: a request takes several times as
/// long, so a view that old still tells who is busy.
const HOME_GAP: Duration = Duration::from_millis(50);
/// Frames that a hub sends in a second: with four kilobytes each, a tenth of a link of a
/// hundred megabits.
const MOST_FRAMES_PER_S: u32 = 320;
/// News that should not wait goes out after so small a part of the usual gap.
const HURRY: u32 = 5;
/// How often news may go to another data centre, where each byte is priced.
const AWAY_GAP: Duration = Duration::from_millis(100);
/// What waits for one link at most; what does not fit is known by the store's record, or is
/// one ending of many. 400 requests are out at 40 servers that end at once.
const MOST_SUSPECT_UPDATES: usize = 1024;
/// A listing tells for how long its entries are doubtful, which shrinks as it waits.
const LISTING_FOR: Duration = Duration::from_millis(100);
/// A link without news is heard so often. News of the store is known to be of the last 1.3 s
/// if the reader's last answer is at most 0.7 s old: a way there and one back may each wait
/// for a heartbeat.
const HEARTBEAT: Duration = Duration::from_millis(200);
/// How soon a full link is looked at again.
const FULL_CHECK: Duration = Duration::from_millis(50);
/// A side that has not answered for so long does not read, or is not reached.
const MOST_WAIT: Duration = Duration::from_secs(3);
const LEAST_TICK: Duration = Duration::from_millis(10);
/// Reading the announcements ranks all boxes, and each frame and request asks for them: that
/// would be a good part of a box's processor time. A box that is a tenth of a second late to
/// know of another is within the margin that joining has.
const ANNOUNCED_FOR: Duration = Duration::from_millis(100);
