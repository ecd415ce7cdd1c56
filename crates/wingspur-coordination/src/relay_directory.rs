//! Selects the boxes through which a box forwards requests to a service that it cannot
//! reach itself.
//!
//! No box knows in advance who reaches what. A box that has lost its path asks a few
//! random boxes, those of its own data centre first, and keeps the ones that reach the
//! service as its relays.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::RngExt;
use rand::seq::SliceRandom;
use wingspur_protocol::BoxRecord;
use wingspur_state::{BoxId, DataCentreId, ServerKey};

/// The relays of a box, by the service that it cannot reach.
#[derive(Debug)]
pub struct RelayDirectory {
    data_centre: DataCentreId,
    services: BTreeMap<ServerKey, ServiceRelays>,
    /// Boxes that others have named, with the time of it.
    named: BTreeMap<BoxId, (BoxRecord, Instant)>,
    /// The requests that each relay has from this box now.
    outstanding: BTreeMap<BoxId, u32>,
}

/// The relays for one service.
#[derive(Debug, Default)]
struct ServiceRelays {
    relays: BTreeMap<BoxId, Relay>,
    /// Boxes that were asked, or have declined a request, with the time of it.
    declined: BTreeMap<BoxId, Instant>,
    next_query_at: Option<Instant>,
    /// The number of queries in a row after which there was no relay.
    failures: u32,
}

#[derive(Debug)]
struct Relay {
    record: BoxRecord,
    load: f32,
    confirmed_at: Instant,
}

impl RelayDirectory {
    /// Creates a directory without relays; `data_centre` is the one of this box.
    pub fn new(data_centre: DataCentreId) -> Self {
        Self {
            data_centre,
            services: BTreeMap::new(),
            named: BTreeMap::new(),
            outstanding: BTreeMap::new(),
        }
    }

    /// Returns whether boxes should be asked now whether they reach a service.
    pub fn is_query_due(&self, service: ServerKey, now: Instant) -> bool {
        let relays = self.services.get(&service);
        let due = relays.and_then(|relays| relays.next_query_at);
        due.is_none_or(|at| now >= at)
    }

    /// Returns whether replies that may name the first relay are expected soon.
    pub fn is_searching(&self, service: ServerKey, now: Instant) -> bool {
        let Some(relays) = self.services.get(&service) else {
            return true;
        };
        let soon = now + FIRST_QUERY_INTERVAL * 4;
        relays.next_query_at.is_none_or(|at| at <= soon)
    }

    /// Returns the boxes to ask now whether they reach a service; none if no query is
    /// due. They are the least loaded relays and some of `boxes` and of those that others
    /// have named. `is_served` says whether other boxes have lately been served by its servers:
    /// if not, the service itself is probably down, and boxes are asked less often.
    pub fn boxes_to_ask(
        &mut self,
        service: ServerKey,
        boxes: &[BoxRecord],
        is_served: bool,
        now: Instant,
        random: &mut impl Rng,
    ) -> Vec<BoxRecord> {
        let own_data_centre = self.data_centre.clone();
        self.named
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < NAMED_TTL);
        let named = self.named.values().map(|(record, _)| record);
        let known_boxes: BTreeMap<&BoxId, &BoxRecord> = boxes
            .iter()
            .chain(named)
            .map(|record| (&record.id, record))
            .collect();
        let relays = self.services.entry(service).or_default();
        if relays.next_query_at.is_some_and(|at| now < at) {
            return Vec::new();
        }
        relays.expire(now);
        let known = relays.relays.len();
        relays.failures = match known {
            0 => relays.failures + 1,
            _ => 0,
        };
        let interval = match (known, is_served) {
            (0, true) => FIRST_QUERY_INTERVAL
                .saturating_mul(1 << (relays.failures - 1).min(MAX_DOUBLINGS))
                .min(MAX_QUERY_INTERVAL),
            (0, false) => MAX_QUERY_INTERVAL,
            (_, _) => REFRESH_INTERVAL,
        };
        relays.next_query_at = Some(now + interval);
        let mut asked = relays.least_loaded(RELAYS_KEPT);
        let mut unknown: Vec<&BoxRecord> = known_boxes
            .into_values()
            .filter(|record| relays.may_ask(&record.id))
            .collect();
        unknown.shuffle(random);
        let is_near = |record: &&BoxRecord| record.data_centre == own_data_centre;
        let (near, far): (Vec<_>, Vec<_>) = unknown.into_iter().partition(is_near);
        // Far boxes are asked at the same time, as the whole data centre may have lost
        // its path.
        let (near_count, far_count) = match known {
            0 => (NEAR_BOXES_ASKED, FAR_BOXES_ASKED),
            _ => (FURTHER_BOXES_ASKED, 0),
        };
        asked.extend(near.into_iter().take(near_count).cloned());
        asked.extend(far.into_iter().take(far_count).cloned());
        asked
    }

    /// Records boxes that another box has named.
    pub fn record_named(&mut self, boxes: Vec<BoxRecord>, now: Instant) {
        for record in boxes {
            if self.named.len() >= MAX_NAMED && !self.named.contains_key(&record.id) {
                return;
            }
            self.named.insert(record.id.clone(), (record, now));
        }
    }

    /// Records that a box reaches a service, with the fraction of its capacity for
    /// relayed requests that is in use.
    pub fn record_reachable(
        &mut self,
        service: ServerKey,
        record: BoxRecord,
        load: f32,
        now: Instant,
    ) {
        let relays = self.services.entry(service).or_default();
        relays.declined.remove(&record.id);
        let relay = Relay {
            record: record.clone(),
            load,
            confirmed_at: now,
        };
        relays.relays.insert(record.id, relay);
    }

    /// Records that a box does not reach a service, has declined a request for it, or did
    /// not answer.
    pub fn record_declined(&mut self, service: ServerKey, id: &BoxId, now: Instant) {
        let relays = self.services.entry(service).or_default();
        relays.declined.insert(id.clone(), now);
        if relays.relays.remove(id).is_some() && relays.relays.is_empty() {
            relays.next_query_at = None;
        }
    }

    /// Records the load that a relay has reported.
    pub fn record_load(&mut self, id: &BoxId, load: f32) {
        for relays in self.services.values_mut() {
            if let Some(relay) = relays.relays.get_mut(id) {
                relay.load = load;
            }
        }
    }

    /// Picks a relay for a request to a service: the less loaded one of two, drawn by
    /// capacity from those in this data centre, or from all others if there are none.
    /// `None` if no box is known to reach the service.
    pub fn pick(
        &self,
        service: ServerKey,
        declined: &[BoxId],
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<BoxRecord> {
        let relays = self.services.get(&service)?;
        let usable = relays.relays.values().filter(|relay| {
            !relay.is_expired(now)
                && relay.load < 1.0
                && !declined.contains(&relay.record.id)
        });
        let is_near = |relay: &&Relay| relay.record.data_centre == self.data_centre;
        let (near, far): (Vec<&Relay>, Vec<&Relay>) = usable.partition(is_near);
        let candidates = if near.is_empty() { far } else { near };
        let first = draw_by_capacity(&candidates, random)?;
        let second = draw_by_capacity(&candidates, random)?;
        let better = match self.cost(first) <= self.cost(second) {
            true => first,
            false => second,
        };
        Some(better.record.clone())
    }

    /// Records that a request was handed to a relay.
    pub fn begin(&mut self, id: &BoxId) {
        *self.outstanding.entry(id.clone()).or_default() += 1;
    }

    /// Records that a request handed to a relay has ended.
    pub fn end(&mut self, id: &BoxId) {
        let Some(count) = self.outstanding.get_mut(id) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.outstanding.remove(id);
        }
    }

    /// Forgets the relays of a service that is reachable again.
    pub fn forget(&mut self, service: ServerKey) {
        self.services.remove(&service);
        if self.services.is_empty() {
            self.named.clear();
        }
    }

    /// Returns whether there are neither relays nor queries for any service.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Returns the number of boxes that are known to reach a service.
    pub fn relay_count(&self, service: ServerKey) -> usize {
        let relays = self.services.get(&service);
        relays.map_or(0, |relays| relays.relays.len())
    }

    fn cost(&self, relay: &Relay) -> f32 {
        let outstanding = self.outstanding.get(&relay.record.id);
        let outstanding = outstanding.copied().unwrap_or(0) as f32;
        relay.load + outstanding / relay_capacity(relay.record.capacity)
    }
}

impl ServiceRelays {
    fn least_loaded(&self, count: usize) -> Vec<BoxRecord> {
        let mut relays: Vec<&Relay> = self.relays.values().collect();
        relays.sort_by(|one, other| one.load.total_cmp(&other.load));
        let least_loaded = relays.into_iter().take(count);
        least_loaded.map(|relay| relay.record.clone()).collect()
    }

    fn may_ask(&self, id: &BoxId) -> bool {
        !self.relays.contains_key(id) && !self.declined.contains_key(id)
    }

    fn expire(&mut self, now: Instant) {
        self.relays.retain(|_, relay| !relay.is_expired(now));
        self.declined
            .retain(|_, at| now.saturating_duration_since(*at) < DECLINED_TTL);
    }
}

impl Relay {
    fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.confirmed_at) >= RELAY_TTL
    }
}

/// Returns how many relayed requests a box takes at once; `capacity` is that of its
/// announcement.
pub fn relay_capacity(capacity: u32) -> f32 {
    (capacity.max(1) * RELAYED_REQUESTS_PER_CAPACITY) as f32
}

fn draw_by_capacity<'a>(
    relays: &[&'a Relay],
    random: &mut impl Rng,
) -> Option<&'a Relay> {
    let weight = |relay: &Relay| u64::from(relay.record.capacity.max(1));
    let total: u64 = relays.iter().map(|relay| weight(relay)).sum();
    if total == 0 {
        return None;
    }
    let mut draw = random.random_range(0..total);
    for relay in relays {
        if draw < weight(relay) {
            return Some(relay);
        }
        draw -= weight(relay);
    }
    None
}

/// The number of relayed requests that a box takes at once, for each unit of its capacity.
/// At 0.3 s a request this is 100 requests a second on a tenth of a core, half of what it
/// can forward.
const RELAYED_REQUESTS_PER_CAPACITY: u32 = 30;
/// The number of relays that a box keeps for a service, the least loaded ones, so that
/// its requests spread and the loss of one does not matter.
const RELAYS_KEPT: usize = 4;
/// The number of unknown boxes of this data centre that are asked at once while there is
/// no relay.
const NEAR_BOXES_ASKED: usize = 5;
/// The same of other data centres.
const FAR_BOXES_ASKED: usize = 3;
/// The number of unknown boxes that are asked in addition to the relays, to find less
/// loaded ones.
const FURTHER_BOXES_ASKED: usize = 2;
/// The number of named boxes that are kept, and for how long.
const MAX_NAMED: usize = 64;
const NAMED_TTL: Duration = Duration::from_secs(10);
/// The interval between the first two queries while there is no relay; it doubles with
/// each query.
const FIRST_QUERY_INTERVAL: Duration = Duration::from_millis(100);
const MAX_DOUBLINGS: u32 = 4;
/// The longest interval between two queries, as where the service itself is down.
const MAX_QUERY_INTERVAL: Duration = Duration::from_secs(2);
/// The interval between two queries while there are relays.
const REFRESH_INTERVAL: Duration = Duration::from_millis(700);
/// How long a box counts as a relay without a further reply.
const RELAY_TTL: Duration = Duration::from_secs(2);
/// How long a box that has declined is not asked again.
const DECLINED_TTL: Duration = Duration::from_secs(1);
