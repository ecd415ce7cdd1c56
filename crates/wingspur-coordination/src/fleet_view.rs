//! How many boxes there are, and whether all of them count this one.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wingspur_protocol::{CensusNote, FleetNote, LeftPart};
use wingspur_state::{BoxKey, DataCentreId, FleetMembership, MembershipState};

use crate::fleet_count::LONGEST_HOLD;
use crate::{
    DELEGATED_FOR, Delegation, FleetCensus, FleetContact, FleetCount, LinkId, join_after,
};

/// What a box knows of the fleet by its links and the announcements.
#[derive(Debug)]
pub struct FleetView {
    links: BTreeMap<LinkId, HeardLink>,
    count: FleetCount,
    census: FleetCensus,
    contact: FleetContact,
    delegation: Delegation,
    /// This box's data centre.
    home: DataCentreId,
    /// Whom its part of what the servers of each data centre take is left to.
    places: BTreeMap<DataCentreId, Delegation>,
    /// The same for a data centre of which nothing was said yet.
    fresh: Delegation,
}

/// What the other side of a link is to this box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkWith {
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
pub struct Announced {
    /// Announced boxes, this one included.
    pub boxes: usize,
    /// The greatest size of the fleet that an announced box tells of; 0 for unknown.
    pub told_boxes: usize,
    /// The other data centres.
    pub data_centres: Vec<DataCentreId>,
    /// Whether this box is the hub of its data centre.
    pub is_hub: bool,
    /// Whether it is so in place of another that it cannot reach.
    pub stands_in: bool,
    /// How old the view of the announcements is; none if nothing is known.
    pub age: Option<Duration>,
}

/// What a box tells of the fleet, by what the other side is to it.
#[derive(Debug, Clone, Copy)]
pub struct ToldOfFleet {
    to_member: FleetNote,
    to_hub: FleetNote,
}

#[derive(Debug)]
struct HeardLink {
    data_centre: DataCentreId,
    with: LinkWith,
    told: FleetNote,
    heard: Instant,
    /// When it surely ran, and heard this box.
    vouched: Option<Instant>,
    /// When a member last left its part to this box.
    delegated: Option<Instant>,
    /// The parts that another hub has left to this one, and when it last did.
    left: BTreeMap<DataCentreId, (f64, Instant)>,
}

impl ToldOfFleet {
    /// What one link is told.
    pub fn on(&self, with: LinkWith) -> FleetNote {
        match with {
            LinkWith::Member => self.to_member,
            LinkWith::Hub => self.to_hub,
            LinkWith::OwnHub => FleetNote::default(),
        }
    }
}

impl FleetView {
    /// A box that knows of no other, by its own key.
    pub fn new(own: BoxKey, now: Instant) -> Self {
        Self {
            delegation: Delegation::new(now),
            home: DataCentreId::default(),
            places: BTreeMap::new(),
            fresh: Delegation::new(now),
            links: BTreeMap::new(),
            count: FleetCount::default(),
            census: FleetCensus::new(own),
            contact: FleetContact::default(),
        }
    }

    /// The same for a box that starts with the whole fleet, for the first time.
    pub fn at_first_start(own: BoxKey, now: Instant) -> Self {
        Self {
            contact: FleetContact::at_first_start(now),
            delegation: Delegation::at_first_start(now),
            fresh: Delegation::at_first_start(now),
            ..Self::new(own, now)
        }
    }

    /// The same for a box of a data centre.
    pub fn in_data_centre(self, home: DataCentreId) -> Self {
        Self { home, ..self }
    }

    /// Takes up a link with a box of a data centre.
    pub fn add_link(&mut self, id: LinkId, peer: LinkPeer, with: LinkWith, now: Instant) {
        match with {
            LinkWith::Member => self.census.add_member(id, peer.key),
            LinkWith::Hub | LinkWith::OwnHub => self.census.add_hub(id),
        }
        let link = HeardLink {
            data_centre: peer.data_centre,
            with,
            told: FleetNote::default(),
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
    pub fn release_part(&mut self, id: LinkId, now: Instant) {
        self.delegation.release(id, now);
        for delegation in self.places.values_mut() {
            delegation.release(id, now);
        }
    }

    /// Takes in whom another hub counts.
    pub fn receive_census(
        &mut self,
        id: LinkId,
        note: &CensusNote,
        known: &Announced,
        now: Instant,
    ) {
        if *note != CensusNote::default() {
            self.census.receive(id, note, now);
            self.boxes(known, now);
        }
    }

    /// What another hub has not been told yet of whom this one counts.
    pub fn census_for(&mut self, id: LinkId) -> CensusNote {
        match self.links.get(&id).map(|link| link.with) {
            Some(LinkWith::Hub) => self.census.updates_for(id),
            Some(LinkWith::Member | LinkWith::OwnHub) | None => CensusNote::default(),
        }
    }

    /// Takes in what the other side of a link tells, which was true at a moment or later;
    /// none where it is not known at which.
    pub fn receive(
        &mut self,
        id: LinkId,
        told: FleetNote,
        known: &Announced,
        vouched: Option<Instant>,
        now: Instant,
    ) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let counts = |note: &FleetNote| (note.boxes, note.counted);
        // A hub of a hundred members hears thousands of frames a second.
        let changed = counts(&link.told) != counts(&told);
        link.told = told;
        link.heard = vouched.unwrap_or(link.heard);
        link.vouched = vouched.or(link.vouched);
        if told.delegates && link.with == LinkWith::Member {
            link.delegated = vouched.or(link.delegated);
        }
        if link.with == LinkWith::OwnHub
            && let Some(vouched) = vouched
            && let Some(touch_ms) = told.touch_ms
            && let Some(at) = vouched.checked_sub(Duration::from_millis(touch_ms.into()))
        {
            self.contact.note(at);
        }
        if changed {
            self.boxes(known, now);
        }
    }

    /// What the other sides of links should be told now.
    pub fn tell(&mut self, known: &Announced, now: Instant) -> ToldOfFleet {
        self.note_contact(known, now);
        let age = self.contact.age(now).filter(|_| known.is_hub);
        let touch_ms = age.map(|age| age.as_millis().min(u128::from(u32::MAX)) as u32);
        ToldOfFleet {
            to_member: FleetNote {
                boxes: self.boxes(known, now) as u32,
                touch_ms,
                ..FleetNote::default()
            },
            to_hub: FleetNote {
                boxes: 0,
                counted: self.census.count(now) as u32,
                touch_ms,
                delegates: false,
            },
        }
    }

    /// The boxes of the fleet, as far as this one knows.
    pub fn boxes(&mut self, known: &Announced, now: Instant) -> usize {
        let linked = self.census.count(now);
        let own_hub = self.with(LinkWith::OwnHub);
        let told_here = own_hub.map(|link| link.told.boxes).max();
        // Another hub may count a hub of this data centre that this one does not hear.
        let told_there = self.with(LinkWith::Hub).map(|link| link.told.counted).max();
        let told = told_here.max(told_there).unwrap_or(0);
        let counted = known.boxes.max(linked).max(told as usize);
        self.count.follow(counted, now)
    }

    /// How this box stands with the fleet, as far as what is shared over a window goes.
    pub fn standing(
        &mut self,
        window: Duration,
        known: &Announced,
        now: Instant,
    ) -> FleetMembership {
        self.note_contact(known, now);
        let span = join_after(window);
        // Counts that are not held for the span would divide the slack by too few.
        let contact = match span <= LONGEST_HOLD {
            true => self.contact.standing(window, now),
            false => MembershipState::Disconnected,
        };
        FleetMembership {
            // Each tick counts: a request need not.
            boxes: self.count.most(span, now).max(known.boxes),
            state: contact,
        }
    }

    /// What a frame that is sent now on a link tells of the fleet.
    pub fn tell_on(&mut self, id: LinkId, told: &ToldOfFleet, now: Instant) -> FleetNote {
        let with = self.links.get(&id).map_or(LinkWith::Hub, |link| link.with);
        let mut note = told.on(with);
        note.delegates = with == LinkWith::OwnHub && self.delegation.leave_to(id, now);
        note
    }

    /// This box's part of what the fleet has but once: its own, and those of the members that
    /// leave theirs to it, of all boxes. The parts of all boxes never add up to more than the
    /// whole, as long as none of them counts fewer boxes than have a part.
    pub fn part(&mut self, known: &Announced, now: Instant) -> f64 {
        self.note_contact(known, now);
        self.boxes(known, now);
        if !self.may_use_part(known, now) {
            return 0.0;
        }
        let is_left = |link: &&HeardLink| {
            let left = link.delegated;
            left.is_some_and(|at| now.saturating_duration_since(at) < DELEGATED_FOR)
        };
        let left = self.with(LinkWith::Member).filter(is_left).count();
        let parts = left + usize::from(self.delegation.is_free(now));
        let counted = self.count.most(LONGEST_HOLD, now);
        let boxes = counted.max(known.boxes).max(known.told_boxes).max(parts);
        parts as f64 / boxes as f64
    }

    /// This box's part of what the servers of a data centre take: its own, unless it leaves
    /// that to another hub, and those that other hubs leave to it.
    ///
    /// Each box's part is used by one hub, but for `DELEGATED_FOR` after a member has gone
    /// from one hub to another: the former one may have left it to the holder just before.
    pub fn part_for(
        &mut self,
        data_centre: &DataCentreId,
        known: &Announced,
        now: Instant,
    ) -> f64 {
        let is_free = self.place(data_centre).is_free(now);
        let own = if is_free { self.part(known, now) } else { 0.0 };
        let hubs = self.with(LinkWith::Hub);
        let left = hubs.filter_map(|link| link.left.get(data_centre));
        let left =
            left.filter(|(_, at)| now.saturating_duration_since(*at) < DELEGATED_FOR);
        let left: f64 = left.map(|(part, _)| part).sum();
        (own + left).min(1.0)
    }

    /// The hub that holds what the servers of a data centre take; none where this box does.
    ///
    /// The hub there, since most that is sent to them comes from there; where it is not heard,
    /// that of the first data centre that is.
    pub fn holder_for(&self, data_centre: &DataCentreId, now: Instant) -> Option<LinkId> {
        let hubs = self.links.iter().filter(|(_, link)| {
            let age = now.saturating_duration_since(link.heard);
            link.with == LinkWith::Hub && age < HUB_HEARD_WITHIN
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
    pub fn leave_parts(
        &mut self,
        id: LinkId,
        known: &Announced,
        now: Instant,
    ) -> Vec<LeftPart> {
        let is_hub = self
            .links
            .get(&id)
            .is_some_and(|link| link.with == LinkWith::Hub);
        if !is_hub || !known.is_hub {
            return Vec::new();
        }
        let part = self.part(known, now);
        let mut left = Vec::new();
        for name in known.data_centres.iter().filter(|_| part > 0.0) {
            let is_holder = self.holder_for(name, now) == Some(id);
            if is_holder && self.place(name).leave_to(id, now) {
                left.push(LeftPart {
                    data_centre: name.clone(),
                    part,
                });
            }
        }
        left
    }

    /// Takes in the parts that another hub leaves to this one, as of a moment or later.
    pub fn receive_left(
        &mut self,
        id: LinkId,
        left: &[LeftPart],
        vouched: Option<Instant>,
    ) {
        let (Some(link), Some(vouched)) = (self.links.get_mut(&id), vouched) else {
            return;
        };
        for LeftPart { data_centre, part } in left {
            link.left.insert(data_centre.clone(), (*part, vouched));
        }
    }

    fn place(&mut self, data_centre: &DataCentreId) -> &mut Delegation {
        if !self.places.contains_key(data_centre) {
            self.places.insert(data_centre.clone(), self.fresh);
        }
        self.places.get_mut(data_centre).expect("it is there")
    }

    /// How old at most the newest is that this box has heard of any other; none if it never
    /// heard one.
    pub fn heard_age(&self, now: Instant) -> Option<Duration> {
        let vouched = self.links.values().filter_map(|link| link.vouched);
        let newest = vouched.max()?;
        Some(now.saturating_duration_since(newest))
    }

    /// Whether this box knows how many boxes there are at least: by what announcements tell,
    /// or by its hub's links, once these have stood for long enough. One that is cut off from
    /// the store and from a data centre stops before the others cease to count it.
    fn may_use_part(&self, known: &Announced, now: Instant) -> bool {
        let in_touch = self.contact.age(now).is_some_and(|age| age <= CUT_OFF);
        let is_told = known.told_boxes > 1 || self.contact.is_settled(now);
        let store_age = known.age.unwrap_or(Duration::MAX);
        is_told && (in_touch || store_age <= USED_WITHOUT_STORE)
    }

    /// Notes, on a hub, when it was in touch with the hubs of all data centres.
    fn note_contact(&mut self, known: &Announced, now: Instant) {
        let fresh = known.age.is_some_and(|age| age <= MOST_FEED_AGE);
        if !known.is_hub || !fresh {
            return;
        }
        if known.stands_in && known.data_centres.is_empty() {
            // The hub that it stands in for may run, with members that nobody here hears of.
            return;
        }
        let heard = |data_centre: &DataCentreId| {
            let hubs = self.with(LinkWith::Hub);
            let there = hubs.filter(|link| link.data_centre == *data_centre);
            there.map(|link| link.heard).max()
        };
        let heard: Option<Vec<Instant>> = known.data_centres.iter().map(heard).collect();
        if let Some(heard) = heard {
            self.contact.note(heard.into_iter().min().unwrap_or(now));
        }
    }

    fn with(&self, with: LinkWith) -> impl Iterator<Item = &HeardLink> {
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
