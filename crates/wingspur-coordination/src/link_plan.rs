//! Selects the boxes that a box should keep links to: the hub of its data centre, or
//! other hubs.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use wingspur_protocol::{BoxRecord, LinkRole};
use wingspur_state::{BoxId, BoxKey, DataCentreId, FleetSize};

use crate::hash_of;

/// Selects a box's links from the announced boxes, leaving out those that cannot be
/// reached.
#[derive(Debug)]
pub struct LinkPlanner {
    own: BoxRecord,
    boxes: BTreeMap<BoxId, BoxRecord>,
    /// Boxes that are linked to this one but no longer announced, with the time until
    /// which they still count as candidates.
    lapsed: BTreeMap<BoxId, (BoxRecord, Instant)>,
    /// Boxes that this one is linked to.
    linked: HashSet<BoxId>,
    /// Boxes that could not be reached, with the time until which they are left out and
    /// the number of failures in a row.
    backoffs: HashMap<BoxId, (Instant, u32)>,
    /// Instances of boxes that have announced their stop, so that a snapshot from a box
    /// that has not received the stop yet does not add them again.
    stopping: HashMap<BoxId, u64>,
}

/// A link that should exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedLink {
    /// Box at the other side.
    pub to: BoxRecord,
    /// Role of the link.
    pub role: LinkRole,
}

impl LinkPlanner {
    /// Creates a planner that knows only this box.
    pub fn new(own: BoxRecord) -> Self {
        Self {
            own,
            boxes: BTreeMap::new(),
            lapsed: BTreeMap::new(),
            linked: HashSet::new(),
            backoffs: HashMap::new(),
            stopping: HashMap::new(),
        }
    }

    /// Adds or updates an announced box. An instance that has announced its stop is
    /// ignored.
    pub fn upsert(&mut self, record: BoxRecord) {
        let is_stopping = self.stopping.get(&record.id) == Some(&record.incarnation);
        if record.id == self.own.id || is_stopping {
            return;
        }
        self.lapsed.remove(&record.id);
        let before = self.boxes.insert(record.id.clone(), record.clone());
        if before.is_some_and(|before| before.incarnation != record.incarnation) {
            self.backoffs.remove(&record.id);
        }
    }

    /// Removes a box that is no longer announced.
    ///
    /// A box that is linked to this one still counts for a while: it runs, and has only
    /// lost the store. The boxes with the greatest capacity in a data centre thus stay
    /// its hubs while they are cut off from the store; a weak box in their place could
    /// answer few requests in time.
    pub fn remove(&mut self, id: &BoxId, now: Instant) {
        let Some(record) = self.boxes.remove(id) else {
            return;
        };
        if self.linked.contains(id) {
            let until = now + LAPSED_TTL;
            self.lapsed.insert(id.clone(), (record, until));
        }
    }

    /// Records that a link to a box is up.
    pub fn note_linked(&mut self, id: &BoxId) {
        self.linked.insert(id.clone());
    }

    /// Records that no link to a box is up any more.
    pub fn note_unlinked(&mut self, id: &BoxId) {
        self.linked.remove(id);
        self.lapsed.remove(id);
    }

    /// Records that an instance of a box has announced its stop; the next instance of the
    /// box is not affected.
    pub fn note_stopping(&mut self, record: &BoxRecord) {
        let known = self.boxes.get(&record.id);
        if known.is_some_and(|known| known.incarnation == record.incarnation) {
            self.boxes.remove(&record.id);
        }
        self.lapsed.remove(&record.id);
        self.stopping.insert(record.id.clone(), record.incarnation);
    }

    /// Replaces the announced boxes by those of a snapshot.
    pub fn replace(&mut self, snapshot: Vec<BoxRecord>, now: Instant) {
        let snapshot_ids: HashSet<&BoxId> = snapshot.iter().map(|r| &r.id).collect();
        let known: Vec<BoxId> = self.boxes.keys().cloned().collect();
        for removed in known.iter().filter(|id| !snapshot_ids.contains(id)) {
            self.remove(removed, now);
        }
        self.stopping.retain(|id, _| snapshot_ids.contains(id));
        snapshot.into_iter().for_each(|record| self.upsert(record));
    }

    /// Returns the announced boxes, without this one.
    pub fn boxes(&self) -> impl Iterator<Item = &BoxRecord> {
        self.boxes.values()
    }

    /// Returns the number of announced boxes, including this one.
    pub fn size(&self) -> usize {
        self.boxes.len() + 1
    }

    /// Returns the largest fleet size that an announced box reports; 0 if unknown.
    pub fn reported_fleet_size(&self) -> usize {
        let sizes = self.boxes.values().map(|record| record.fleet_boxes);
        sizes.max().unwrap_or(0) as usize
    }

    /// Returns the size of a fleet of `boxes` boxes: the boxes and the known data
    /// centres.
    pub fn fleet_size(&self, boxes: usize) -> FleetSize {
        FleetSize {
            boxes,
            data_centres: self.other_data_centres().len() + 1,
        }
    }

    /// Leaves out for a short time a box that is about to come up, as when all boxes
    /// start together.
    pub fn back_off_briefly(&mut self, id: &BoxId, now: Instant) {
        self.backoffs.insert(id.clone(), (now + BRIEF_BACKOFF, 0));
    }

    /// Leaves out a box for a while, doubling the time with each failure in a row.
    pub fn back_off(&mut self, id: &BoxId, now: Instant) {
        let (_, before) = self.backoffs.get(id).copied().unwrap_or((now, 0));
        let times = before + 1;
        let delay = FIRST_BACKOFF * 2u32.pow((times - 1).min(MAX_DOUBLINGS));
        self.backoffs.insert(id.clone(), (now + delay, times));
    }

    /// Records that a box was reached, which ends its backoff.
    pub fn note_reached(&mut self, id: &BoxId) {
        self.backoffs.remove(id);
    }

    /// Returns the links that should exist now.
    pub fn plan(&self, now: Instant) -> Vec<PlannedLink> {
        if let Some(hub) = self.hub_of(&self.own.data_centre, now) {
            return vec![PlannedLink {
                to: hub.clone(),
                role: LinkRole::Member,
            }];
        }
        // One side of each pair of hubs opens the link. An acting hub, which the others
        // may not consider a hub, opens all of its links itself.
        let is_acting_hub = !self.is_first_by_rank();
        let mut links = Vec::new();
        for data_centre in self.other_data_centres() {
            let opens = is_acting_hub || self.own.data_centre < data_centre;
            if let Some(hub) = self.hub_of(&data_centre, now).filter(|_| opens) {
                links.push(PlannedLink {
                    to: hub.clone(),
                    role: LinkRole::Hub,
                });
            }
        }
        links
    }

    /// Returns how many announced boxes of this data centre rank before this one as the
    /// hub.
    pub fn rank(&self) -> usize {
        let own = rank_of(&self.own);
        let candidates = self.boxes_in(&self.own.data_centre);
        candidates.filter(|record| rank_of(record) < own).count()
    }

    /// Returns the keys of the other announced boxes of this data centre.
    pub fn hub_candidates(&self) -> Vec<BoxKey> {
        let candidates = self.boxes_in(&self.own.data_centre);
        candidates.map(|record| hash_of(&record.id)).collect()
    }

    /// Returns the hub of a data centre; `None` if that is this box or no candidate is
    /// reachable.
    fn hub_of(&self, data_centre: &DataCentreId, now: Instant) -> Option<&BoxRecord> {
        let lapsed = self.lapsed.values().filter(|(_, until)| *until > now);
        let lapsed = lapsed.map(|(record, _)| record);
        let lapsed = lapsed.filter(|record| record.data_centre == *data_centre);
        let known = self.boxes_in(data_centre).chain(lapsed);
        let reachable = known.filter(|record| {
            let backoff = self.backoffs.get(&record.id);
            backoff.is_none_or(|(until, _)| *until <= now)
        });
        let best = reachable.min_by_key(|record| rank_of(record))?;
        let own_is_better =
            *data_centre == self.own.data_centre && rank_of(&self.own) < rank_of(best);
        (!own_is_better).then_some(best)
    }

    fn is_first_by_rank(&self) -> bool {
        self.rank() == 0
    }

    fn boxes_in(&self, data_centre: &DataCentreId) -> impl Iterator<Item = &BoxRecord> {
        self.boxes
            .values()
            .filter(move |record| record.data_centre == *data_centre)
    }

    /// Returns the names of the other data centres that have announced boxes, sorted.
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

/// Returns the sort key for the choice of a hub: the greatest capacity first; boxes of
/// equal capacity are ordered by the hash of data centre and box.
fn rank_of(record: &BoxRecord) -> (Reverse<u32>, u64, &BoxId) {
    let name = format!("{}/{}", record.data_centre, record.id);
    (Reverse(record.capacity), hash_of(&name), &record.id)
}

/// How long a linked box that is no longer announced still counts as a hub candidate. A
/// box that is cut off from the store usually reaches it again within some seconds. Boxes
/// that start in the meantime know only the announced boxes, which lease them quota
/// obtained from their own hub. After this time all boxes use the announcements again.
const LAPSED_TTL: Duration = Duration::from_secs(20);
/// Backoff for a box that is about to come up: boxes that start together come up within
/// half a second of each other.
const BRIEF_BACKOFF: Duration = Duration::from_millis(60);
/// Backoff after the first failure to reach a box.
const FIRST_BACKOFF: Duration = Duration::from_secs(2);
/// The backoff grows to at most sixteen times `FIRST_BACKOFF`.
const MAX_DOUBLINGS: u32 = 4;
