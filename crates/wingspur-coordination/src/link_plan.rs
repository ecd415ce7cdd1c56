//! Whom a box should keep links with: the hub of its data centre, or other hubs.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use wingspur_protocol::{BoxRecord, LinkRole};
use wingspur_state::{BoxId, DataCentreId, FleetSize};

use crate::hash_of;

/// Chooses a box's links from the announced boxes, past those that cannot be reached.
#[derive(Debug)]
pub struct LinkPlanner {
    own: BoxRecord,
    boxes: BTreeMap<BoxId, BoxRecord>,
    /// Boxes that are announced no more but linked with this one, until when they count on.
    lapsed: BTreeMap<BoxId, (BoxRecord, Instant)>,
    /// The boxes that this one is linked with.
    linked: HashSet<BoxId>,
    /// Boxes that could not be reached, until when they are passed over, and how often
    /// in a row.
    avoided: HashMap<BoxId, (Instant, u32)>,
    /// Boxes that have announced their stop, by incarnation: a listing from a box that has
    /// not received it yet does not bring one back.
    stopping: HashMap<BoxId, u64>,
}

/// A link that should stand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedLink {
    /// With whom.
    pub to: BoxRecord,
    /// What this box is on it.
    pub role: LinkRole,
}

impl LinkPlanner {
    /// Knows this box only.
    pub fn new(own: BoxRecord) -> Self {
        Self {
            own,
            boxes: BTreeMap::new(),
            lapsed: BTreeMap::new(),
            linked: HashSet::new(),
            avoided: HashMap::new(),
            stopping: HashMap::new(),
        }
    }

    /// Takes in an announced box.
    pub fn upsert(&mut self, record: BoxRecord) {
        let stops = self.stopping.get(&record.id) == Some(&record.incarnation);
        if record.id == self.own.id || stops {
            return;
        }
        self.lapsed.remove(&record.id);
        let before = self.boxes.insert(record.id.clone(), record.clone());
        if before.is_some_and(|before| before.incarnation != record.incarnation) {
            self.avoided.remove(&record.id);
        }
    }

    /// Takes in that a box is not announced any more.
    ///
    /// One that is linked with this box counts on for a while: it is there, and has lost the
    /// store only. The strongest boxes of a data centre stay its hubs where they are
    /// cut off from the store; a weak box in their place could answer few questions in time.
    pub fn remove(&mut self, id: &BoxId, now: Instant) {
        let Some(record) = self.boxes.remove(id) else {
            return;
        };
        if self.linked.contains(id) {
            let until = now + LAPSED_KEPT_FOR;
            self.lapsed.insert(id.clone(), (record, until));
        }
    }

    /// Notes that a link with a box stands.
    pub fn note_linked(&mut self, id: &BoxId) {
        self.linked.insert(id.clone());
    }

    /// Notes that no link with a box stands any more.
    pub fn note_unlinked(&mut self, id: &BoxId) {
        self.linked.remove(id);
        self.lapsed.remove(id);
    }

    /// Takes in that a box said that it stops; its next run is another matter.
    pub fn note_stopping(&mut self, record: &BoxRecord) {
        let known = self.boxes.get(&record.id);
        if known.is_some_and(|known| known.incarnation == record.incarnation) {
            self.boxes.remove(&record.id);
        }
        self.lapsed.remove(&record.id);
        self.stopping.insert(record.id.clone(), record.incarnation);
    }

    /// Takes in a whole listing.
    pub fn replace(&mut self, listing: Vec<BoxRecord>, now: Instant) {
        let listed: HashSet<&BoxId> = listing.iter().map(|r| &r.id).collect();
        let known: Vec<BoxId> = self.boxes.keys().cloned().collect();
        for gone in known.iter().filter(|id| !listed.contains(id)) {
            self.remove(gone, now);
        }
        self.stopping.retain(|id, _| listed.contains(id));
        listing.into_iter().for_each(|record| self.upsert(record));
    }

    /// The announced boxes, without this one.
    pub fn boxes(&self) -> impl Iterator<Item = &BoxRecord> {
        self.boxes.values()
    }

    /// The number of boxes, this one included.
    pub fn size(&self) -> usize {
        self.boxes.len() + 1
    }

    /// The greatest size of the fleet that an announced box tells of; 0 for unknown.
    pub fn reported_fleet_size(&self) -> usize {
        let told = self.boxes.values().map(|record| record.fleet_boxes);
        told.max().unwrap_or(0) as usize
    }

    /// How a fleet of `boxes` is divided, as far as its counts are concerned.
    pub fn division(&self, boxes: usize) -> FleetSize {
        FleetSize {
            boxes,
            data_centres: self.other_data_centres().len() + 1,
        }
    }

    /// Passes over a box that is about to come up, as when all start together.
    pub fn back_off_briefly(&mut self, id: &BoxId, now: Instant) {
        self.avoided.insert(id.clone(), (now + BRIEF_AVOIDANCE, 0));
    }

    /// Passes a box over for a while, longer each time in a row.
    pub fn back_off(&mut self, id: &BoxId, now: Instant) {
        let (_, before) = self.avoided.get(id).copied().unwrap_or((now, 0));
        let times = before + 1;
        let hold = FIRST_AVOIDANCE * 2u32.pow((times - 1).min(MOST_DOUBLINGS));
        self.avoided.insert(id.clone(), (now + hold, times));
    }

    /// Notes that a box was reached.
    pub fn note_reached(&mut self, id: &BoxId) {
        self.avoided.remove(id);
    }

    /// The links that should stand now.
    pub fn plan(&self, now: Instant) -> Vec<PlannedLink> {
        if let Some(hub) = self.hub_of(&self.own.data_centre, now) {
            return vec![PlannedLink {
                to: hub.clone(),
                role: LinkRole::Member,
            }];
        }
        // One side of each pair of hubs opens the link; a stand-in, whom the others may
        // not take for a hub, opens all of its own.
        let stands_in = !self.is_first_by_rank();
        let mut links = Vec::new();
        for data_centre in self.other_data_centres() {
            let opens = stands_in || self.own.data_centre < data_centre;
            if let Some(hub) = self.hub_of(&data_centre, now).filter(|_| opens) {
                links.push(PlannedLink {
                    to: hub.clone(),
                    role: LinkRole::Hub,
                });
            }
        }
        links
    }

    /// Announced boxes of this box's data centre that go before it as the hub.
    pub fn rank(&self) -> usize {
        let own = rank_of(&self.own);
        let inside = self.inside(&self.own.data_centre);
        inside.filter(|record| rank_of(record) < own).count()
    }

    /// The best box of a data centre; none where that is this box.
    fn hub_of(&self, data_centre: &DataCentreId, now: Instant) -> Option<&BoxRecord> {
        let lapsed = self.lapsed.values().filter(|(_, until)| *until > now);
        let lapsed = lapsed.map(|(record, _)| record);
        let lapsed = lapsed.filter(|record| record.data_centre == *data_centre);
        let known = self.inside(data_centre).chain(lapsed);
        let reachable = known.filter(|record| {
            let avoided = self.avoided.get(&record.id);
            avoided.is_none_or(|(until, _)| *until <= now)
        });
        let best = reachable.min_by_key(|record| rank_of(record))?;
        let own_is_better =
            *data_centre == self.own.data_centre && rank_of(&self.own) < rank_of(best);
        (!own_is_better).then_some(best)
    }

    fn is_first_by_rank(&self) -> bool {
        self.rank() == 0
    }

    fn inside(&self, data_centre: &DataCentreId) -> impl Iterator<Item = &BoxRecord> {
        self.boxes
            .values()
            .filter(move |record| record.data_centre == *data_centre)
    }

    /// The other data centres that have announced boxes.
    pub fn other_data_centres(&self) -> Vec<DataCentreId> {
        let lapsed = self.lapsed.values().map(|(record, _)| record);
        let mut names: Vec<DataCentreId> = self
            .boxes
            .values()
            .chain(lapsed)
            .map(|record| record.data_centre.clone())
            .filter(|name| *name != self.own.data_centre)
            .collect();
        names.sort();
        names.dedup();
        names
    }
}

/// The strongest goes first, and among equals, by rendezvous, the one with the smallest hash
/// of data centre and box.
fn rank_of(record: &BoxRecord) -> (Reverse<u32>, u64, &BoxId) {
    let name = format!("{}/{}", record.data_centre, record.id);
    (Reverse(record.capacity), hash_of(&name), &record.id)
}

/// A box that is cut off from the store mostly has it again within some seconds. Boxes that
/// start meanwhile know the announced ones only, which lend them what their hub has; after
/// this all go by the announcements again.
const LAPSED_KEPT_FOR: Duration = Duration::from_secs(20);
/// Boxes that start together come up within half a second.
const BRIEF_AVOIDANCE: Duration = Duration::from_millis(60);
/// A box that could not be reached is tried again after this.
const FIRST_AVOIDANCE: Duration = Duration::from_secs(2);
/// At most sixteen times as long.
const MOST_DOUBLINGS: u32 = 4;
