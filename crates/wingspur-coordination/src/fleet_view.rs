//! How many boxes there are, and whether all of them count this one.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wingspur_protocol::{DelegatedShare, FleetStatus, MembershipUpdate};
use wingspur_state::{BoxKey, DataCentreId, FleetMembership, MembershipState};

use crate::fleet_size::LONGEST_HOLD;
use crate::{
    BoxRegistry, DELEGATION_TTL, FleetConnectivity, FleetSizeTracker, LinkId,
    ShareDelegation, required_contact_time,
};

/// What a box knows of the fleet by its links and the announcements.
#[derive(Debug)]
pub struct FleetView {
    links: BTreeMap<LinkId, HeardLink>,
    count: FleetSizeTracker,
    census: BoxRegistry,
    contact: FleetConnectivity,
    delegation: ShareDelegation,
    /// This box's data centre.
    home: DataCentreId,
    /// Whom its part of what the servers of each data centre take is left to.
    places: BTreeMap<DataCentreId, ShareDelegation>,
    /// The same for a data centre of which nothing was said yet.
    fresh: ShareDelegation,
}

/// What the other side of a link is to this box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerRole {
    /// A box that reports to this one.
    Member,
    /// The hub that this one reports to.
    OwnHub,
    /// Another hub.
    Hub,
}

/// The box at the other side of a link.
#[derive(Debug, Clone)]
pub struct LinkPeer {
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// Its key.
    pub key: BoxKey,
}

/// What is announced, and what this box is by it.
#[derive(Debug, Clone)]
pub struct AnnouncementView {
    /// Announced boxes, this one included.
    pub announced_boxes: usize,
    /// The greatest size of the fleet that an announced box tells of; 0 for unknown.
    pub reported_fleet_size: usize,
    /// The other data centres.
    pub data_centres: Vec<DataCentreId>,
    /// Whether this box is the hub of its data centre.
    pub is_hub: bool,
    /// Whether it is so in place of another that it cannot reach.
    pub is_acting_hub: bool,
    /// How old the view of the announcements is; none if nothing is known.
    pub age: Option<Duration>,
}

/// What a box tells of the fleet, by what the other side is to it.
#[derive(Debug, Clone, Copy)]
pub struct OutgoingFleetNotes {
    to_member: FleetStatus,
    to_hub: FleetStatus,
}

#[derive(Debug)]
struct HeardLink {
    data_centre: DataCentreId,
    with: PeerRole,
    told: FleetStatus,
    heard: Instant,
    /// When it surely ran, and heard this box.
    vouched: Option<Instant>,
    /// When a member last left its part to this box.
    delegated: Option<Instant>,
    /// The parts that another hub has left to this one, and when it last did.
    left: BTreeMap<DataCentreId, (f64, Instant)>,
}

impl OutgoingFleetNotes {
    /// What one link is told.
    pub fn note_for(&self, with: PeerRole) -> FleetStatus {
        match with {
            PeerRole::Member => self.to_member,
            PeerRole::Hub => self.to_hub,
            PeerRole::OwnHub => FleetStatus::default(),
        }
    }
}

impl FleetView {
    /// A box that knows of no other, by its own key.
    pub fn new(own: BoxKey, now: Instant) -> Self {
        Self {
            delegation: ShareDelegation::new(now),
            home: DataCentreId::default(),
            places: BTreeMap::new(),
            fresh: ShareDelegation::new(now),
            links: BTreeMap::new(),
            count: FleetSizeTracker::default(),
            census: BoxRegistry::new(own),
            contact: FleetConnectivity::default(),
        }
    }

    /// The same for a box that starts with the whole fleet, for the first time.
    pub fn at_first_start(own: BoxKey, now: Instant) -> Self {
        Self {
            contact: FleetConnectivity::at_first_start(now),
            delegation: ShareDelegation::at_first_start(now),
            fresh: ShareDelegation::at_first_start(now),
            ..Self::new(own, now)
        }
    }

    /// The same for a box of a data centre.
    pub fn in_data_centre(self, home: DataCentreId) -> Self {
        Self { home, ..self }
    }

    /// Takes up a link with a box of a data centre.
    pub fn add_link(&mut self, id: LinkId, peer: LinkPeer, with: PeerRole, now: Instant) {
        match with {
            PeerRole::Member => self.census.add_member(id, peer.key),
            PeerRole::Hub | PeerRole::OwnHub => self.census.add_hub(id),
        }
        let link = HeardLink {
            data_centre: peer.data_centre,
            with,
            told: FleetStatus::default(),
            heard: now,
            vouched: None,
            delegated: None,
            left: BTreeMap::new(),
        };
        self.links.insert(id, link);
    }

    /// Gives up a link.
    pub fn drop_link(&mut self, id: LinkId, now: Instant) {
        self.links.remove(&id);
        self.census.drop_link(id, now);
    }

    /// Takes in that the hub at a link, which may have been given up here, does not use this
    /// box's part any more.
    pub fn release_share(&mut self, id: LinkId, now: Instant) {
        self.delegation.release(id, now);
        for delegation in self.places.values_mut() {
            delegation.release(id, now);
        }
    }

    /// Takes in whom another hub counts.
    pub fn receive_census(
        &mut self,
        id: LinkId,
        note: &MembershipUpdate,
        known: &AnnouncementView,
        now: Instant,
    ) {
        if *note != MembershipUpdate::default() {
            self.census.receive(id, note, now);
            self.fleet_size(known, now);
        }
    }

    /// What another hub has not been told yet of whom this one counts.
    pub fn census_for(&mut self, id: LinkId) -> MembershipUpdate {
        match self.links.get(&id).map(|link| link.with) {
            Some(PeerRole::Hub) => self.census.updates_for(id),
            Some(PeerRole::Member | PeerRole::OwnHub) | None => {
                MembershipUpdate::default()
            }
        }
    }

    /// Takes in what the other side of a link tells, which was true at a moment or later;
    /// none where it is not known at which.
    pub fn receive(
        &mut self,
        id: LinkId,
        told: FleetStatus,
        known: &AnnouncementView,
        vouched: Option<Instant>,
        now: Instant,
    ) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let counts = |note: &FleetStatus| (note.boxes, note.counted);
        // A hub of a hundred members hears thousands of frames a second.
        let changed = counts(&link.told) != counts(&told);
        link.told = told;
        link.heard = vouched.unwrap_or(link.heard);
        link.vouched = vouched.or(link.vouched);
        if told.delegates_shares && link.with == PeerRole::Member {
            link.delegated = vouched.or(link.delegated);
        }
        if link.with == PeerRole::OwnHub
            && let Some(vouched) = vouched
            && let Some(touch_ms) = told.hub_contact_age_ms
            && let Some(at) = vouched.checked_sub(Duration::from_millis(touch_ms.into()))
        {
            self.contact.note(at);
        }
        if changed {
            self.fleet_size(known, now);
        }
    }

    /// What the other sides of links should be told now.
    pub fn outgoing_notes(
        &mut self,
        known: &AnnouncementView,
        now: Instant,
    ) -> OutgoingFleetNotes {
        self.note_contact(known, now);
        let age = self.contact.age(now).filter(|_| known.is_hub);
        let touch_ms = age.map(|age| age.as_millis().min(u128::from(u32::MAX)) as u32);
        OutgoingFleetNotes {
            to_member: FleetStatus {
                boxes: self.fleet_size(known, now) as u32,
                hub_contact_age_ms: touch_ms,
                ..FleetStatus::default()
            },
            to_hub: FleetStatus {
                boxes: 0,
                counted: self.census.count(now) as u32,
                hub_contact_age_ms: touch_ms,
                delegates_shares: false,
            },
        }
    }

    /// The boxes of the fleet, as far as this one knows.
    pub fn fleet_size(&mut self, known: &AnnouncementView, now: Instant) -> usize {
        let linked = self.census.count(now);
        let own_hub = self.with(PeerRole::OwnHub);
        let told_here = own_hub.map(|link| link.told.boxes).max();
        // Another hub may count a hub of this data centre that this one does not hear.
        let told_there = self.with(PeerRole::Hub).map(|link| link.told.counted).max();
        let told = told_here.max(told_there).unwrap_or(0);
        let counted = known.announced_boxes.max(linked).max(told as usize);
        self.count.record(counted, now)
    }

    /// How this box stands with the fleet, as far as what is shared over a window goes.
    pub fn membership(
        &mut self,
        window: Duration,
        known: &AnnouncementView,
        now: Instant,
    ) -> FleetMembership {
        self.note_contact(known, now);
        let span = required_contact_time(window);
        // Counts that are not held for the span would divide the slack by too few.
        let contact = match span <= LONGEST_HOLD {
            true => self.contact.membership_state(window, now),
            false => MembershipState::Disconnected,
        };
        FleetMembership {
            // Each tick counts: a request need not.
            boxes: self.count.max_within(span, now).max(known.announced_boxes),
            state: contact,
        }
    }

    /// What a frame that is sent now on a link tells of the fleet.
    pub fn note_for_link(
        &mut self,
        id: LinkId,
        told: &OutgoingFleetNotes,
        now: Instant,
    ) -> FleetStatus {
        let with = self.links.get(&id).map_or(PeerRole::Hub, |link| link.with);
        let mut note = told.note_for(with);
        note.delegates_shares =
            with == PeerRole::OwnHub && self.delegation.delegate_to(id, now);
        note
    }

    /// This box's part of what the fleet has but once: its own, and those of the members that
    /// leave theirs to it, of all boxes. The parts of all boxes never add up to more than the
    /// whole, as long as none of them counts fewer boxes than have a part.
    pub fn share(&mut self, known: &AnnouncementView, now: Instant) -> f64 {
        self.note_contact(known, now);
        self.fleet_size(known, now);
        if !self.may_use_part(known, now) {
            return 0.0;
        }
        let is_left = |link: &&HeardLink| {
            let left = link.delegated;
            left.is_some_and(|at| now.saturating_duration_since(at) < DELEGATION_TTL)
        };
        let left = self.with(PeerRole::Member).filter(is_left).count();
        let parts = left + usize::from(self.delegation.is_free(now));
        let counted = self.count.max_within(LONGEST_HOLD, now);
        let boxes = counted
            .max(known.announced_boxes)
            .max(known.reported_fleet_size)
            .max(parts);
        parts as f64 / boxes as f64
    }

    /// This box's part of what the servers of a data centre take: its own, unless it leaves
    /// that to another hub, and those that other hubs leave to it.
    ///
    /// Each box's part is used by one hub, but for `DELEGATED_FOR` after a member has gone
    /// from one hub to another: the former one may have left it to the holder just before.
    pub fn share_for(
        &mut self,
        data_centre: &DataCentreId,
        known: &AnnouncementView,
        now: Instant,
    ) -> f64 {
        let is_free = self.place(data_centre).is_free(now);
        let own = if is_free { self.share(known, now) } else { 0.0 };
        let hubs = self.with(PeerRole::Hub);
        let left = hubs.filter_map(|link| link.left.get(data_centre));
        let left =
            left.filter(|(_, at)| now.saturating_duration_since(*at) < DELEGATION_TTL);
        let left: f64 = left.map(|(part, _)| part).sum();
        (own + left).min(1.0)
    }

    /// The hub that holds what the servers of a data centre take; none where this box does.
    ///
    /// The hub there, since most that is sent to them comes from there; where it is not heard,
    /// that of the first data centre that is.
    pub fn allocator_for(
        &self,
        data_centre: &DataCentreId,
        now: Instant,
    ) -> Option<LinkId> {
        let hubs = self.links.iter().filter(|(_, link)| {
            let age = now.saturating_duration_since(link.heard);
            link.with == PeerRole::Hub && age < HUB_HEARD_WITHIN
        });
        let hubs: Vec<_> = hubs.collect();
        if *data_centre == self.home {
            return None;
        }
        let there = hubs
            .iter()
            .find(|(_, link)| link.data_centre == *data_centre);
        let first = hubs.iter().min_by_key(|(_, link)| &link.data_centre);
        let first = first.filter(|(_, link)| link.data_centre < self.home);
        there.or(first).map(|(id, _)| **id)
    }

    /// The parts that this box, a hub, leaves to the hub at a link.
    pub fn delegate_shares(
        &mut self,
        id: LinkId,
        known: &AnnouncementView,
        now: Instant,
    ) -> Vec<DelegatedShare> {
        let is_hub = self
            .links
            .get(&id)
            .is_some_and(|link| link.with == PeerRole::Hub);
        if !is_hub || !known.is_hub {
            return Vec::new();
        }
        let part = self.share(known, now);
        let mut left = Vec::new();
        for name in known.data_centres.iter().filter(|_| part > 0.0) {
            let is_holder = self.allocator_for(name, now) == Some(id);
            if is_holder && self.place(name).delegate_to(id, now) {
                left.push(DelegatedShare {
                    data_centre: name.clone(),
                    share: part,
                });
            }
        }
        left
    }

    /// Takes in the parts that another hub leaves to this one, as of a moment or later.
    pub fn receive_delegated_shares(
        &mut self,
        id: LinkId,
        left: &[DelegatedShare],
        vouched: Option<Instant>,
    ) {
        let (Some(link), Some(vouched)) = (self.links.get_mut(&id), vouched) else {
            return;
        };
        for DelegatedShare {
            data_centre,
            share: part,
        } in left
        {
            link.left.insert(data_centre.clone(), (*part, vouched));
        }
    }

    fn place(&mut self, data_centre: &DataCentreId) -> &mut ShareDelegation {
        if !self.places.contains_key(data_centre) {
            self.places.insert(data_centre.clone(), self.fresh);
        }
        self.places.get_mut(data_centre).expect("it is there")
    }

    /// How old at most the newest is that this box has heard of any other; none if it never
    /// heard one.
    pub fn peer_state_age(&self, now: Instant) -> Option<Duration> {
        let vouched = self.links.values().filter_map(|link| link.vouched);
        let newest = vouched.max()?;
        Some(now.saturating_duration_since(newest))
    }

    /// Whether this box knows how many boxes there are at least: by what announcements tell,
    /// or by its hub's links, once these have stood for long enough. One that is cut off from
    /// the store and from a data centre stops before the others cease to count it.
    fn may_use_part(&self, known: &AnnouncementView, now: Instant) -> bool {
        let in_touch = self.contact.age(now).is_some_and(|age| age <= CUT_OFF);
        let is_told = known.reported_fleet_size > 1 || self.contact.is_settled(now);
        let store_age = known.age.unwrap_or(Duration::MAX);
        is_told && (in_touch || store_age <= USED_WITHOUT_STORE)
    }

    /// Notes, on a hub, when it was in touch with the hubs of all data centres.
    fn note_contact(&mut self, known: &AnnouncementView, now: Instant) {
        let fresh = known.age.is_some_and(|age| age <= MOST_FEED_AGE);
        if !known.is_hub || !fresh {
            return;
        }
        if known.is_acting_hub && known.data_centres.is_empty() {
            // The hub that it stands in for may run, with members that nobody here hears of.
            return;
        }
        let heard = |data_centre: &DataCentreId| {
            let hubs = self.with(PeerRole::Hub);
            let there = hubs.filter(|link| link.data_centre == *data_centre);
            there.map(|link| link.heard).max()
        };
        let heard: Option<Vec<Instant>> = known.data_centres.iter().map(heard).collect();
        if let Some(heard) = heard {
            self.contact.note(heard.into_iter().min().unwrap_or(now));
        }
    }

    fn with(&self, with: PeerRole) -> impl Iterator<Item = &HeardLink> {
        self.links.values().filter(move |link| link.with == with)
    }
}

/// A hub that was not heard for so long is lost, or about to be: links end after as long.
const HUB_HEARD_WITHIN: Duration = Duration::from_secs(1);
/// A box that was in touch so long ago is taken for cut off.
const CUT_OFF: Duration = Duration::from_secs(2);
/// A box that has neither news of the store nor a way to all data centres gives up its part
/// after this; the others count it for a quarter of a minute longer.
const USED_WITHOUT_STORE: Duration = Duration::from_secs(45);
const _: () = assert!(USED_WITHOUT_STORE.as_secs() + 15 <= LONGEST_HOLD.as_secs());
/// How old a hub's view of the announcements may be while it counts as in touch.
///
/// Of a fleet that is cut in two, one part may keep the store, and lose sight of the other
/// when its leases end, 7 s after the cut at the earliest (10 s after a renewal each 3 s).
/// Boxes that start there then may spend slack 16 s later, 23 s after the cut. The other part
/// stops 7 s after it and the 2 s that a contact holds, so its last resends arrive 12 s after
/// the cut: a window and a second before.
const MOST_FEED_AGE: Duration = Duration::from_secs(7);
