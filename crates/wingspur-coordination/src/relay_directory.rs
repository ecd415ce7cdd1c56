//! Selects the boxes through which a box forwards requests to a service that it cannot
//! reach itself.
//!
//! No box knows in advance who reaches what. A box that has lost its path asks a few
//! random boxes about all services that it does not reach, and keeps the ones that reach
//! them as its relays.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::RngExt;
use rand::seq::SliceRandom;
use wingspur_protocol::BoxRecord;
use wingspur_state::{BoxId, DataCentreId, Regions, ServerKey};

/// The boxes that are known to reach services which this box does not.
#[derive(Debug)]
pub struct RelayDirectory {
    data_centre: DataCentreId,
    regions: Regions,
    relays: BTreeMap<BoxId, Relay>,
    /// Boxes that reach none of the services, have declined a request or did not answer,
    /// with the time of it.
    declined: BTreeMap<BoxId, Instant>,
    /// Boxes that others have named, with the time of it.
    named: BTreeMap<BoxId, (BoxRecord, Instant)>,
    next_query_at: Option<Instant>,
    /// Whether `next_query_at` is that far away because no other box was served either.
    seems_down: bool,
    /// The number of queries in a row before which a service had no relay.
    failures: u32,
    /// The requests that each relay has from this box now.
    outstanding: BTreeMap<BoxId, u32>,
}

#[derive(Debug)]
struct Relay {
    record: BoxRecord,
    load: f32,
    /// The services that it reaches, with the time of its last reply.
    reachable: BTreeMap<ServerKey, Instant>,
}

impl RelayDirectory {
    /// Creates a directory without relays; `data_centre` is the one of this box, and
    /// `regions` are those of all data centres.
    pub fn new(data_centre: DataCentreId, regions: Regions) -> Self {
        Self {
            data_centre,
            regions,
            relays: BTreeMap::new(),
            declined: BTreeMap::new(),
            named: BTreeMap::new(),
            next_query_at: None,
            seems_down: false,
            failures: 0,
            outstanding: BTreeMap::new(),
        }
    }

    /// Returns whether boxes should be asked now which services they reach. `served_ago` is
    /// the time since other boxes were last served, as for `boxes_to_ask`.
    pub fn is_query_due(&self, served_ago: Option<Duration>, now: Instant) -> bool {
        let is_up_again = self.seems_down && is_served(served_ago);
        is_up_again || self.next_query_at.is_none_or(|at| now >= at)
    }

    /// Returns whether replies that may name the first relay are expected soon.
    pub fn is_searching(&self, now: Instant) -> bool {
        let soon = now + FIRST_QUERY_INTERVAL * 4;
        self.next_query_at.is_none_or(|at| at <= soon)
    }

    /// Makes a query due at once, as when a further service has become unreachable.
    pub fn hasten_query(&mut self) {
        self.next_query_at = None;
        self.failures = 0;
    }

    /// Returns the boxes to ask now which of the unreachable `services` they reach; none
    /// if no query is due. They are the least loaded relays and some of `boxes` and of
    /// those that others have named.
    ///
    /// `served_ago` is the time since other boxes were last served by any of the services,
    /// as far as they have reported it. If that is long ago, the services themselves are
    /// probably down, and boxes are asked less often.
    pub fn boxes_to_ask(
        &mut self,
        services: &[ServerKey],
        boxes: &[BoxRecord],
        served_ago: Option<Duration>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Vec<BoxRecord> {
        if !self.is_query_due(served_ago, now) {
            return Vec::new();
        }
        self.expire(now);
        let has_relays = services.iter().all(|service| self.has_relay(*service, now));
        self.next_query_at = Some(now + self.query_interval(has_relays, served_ago));
        let mut asked = self.least_loaded(RELAYS_KEPT);
        let mut unknown = self.unknown_boxes(boxes);
        unknown.shuffle(random);
        let is_near = |record: &&BoxRecord| record.data_centre == self.data_centre;
        let (near, far): (Vec<_>, Vec<_>) = unknown.into_iter().partition(is_near);
        // Far boxes are asked at the same time, as the whole data centre may have lost
        // its path.
        let (near_count, far_count) = match has_relays {
            false => (NEAR_BOXES_ASKED, FAR_BOXES_ASKED),
            true => (FURTHER_BOXES_ASKED, 0),
        };
        asked.extend(near.into_iter().take(near_count).cloned());
        asked.extend(far.into_iter().take(far_count).cloned());
        asked
    }

    /// Returns the interval until the next query, and counts those without success.
    fn query_interval(
        &mut self,
        has_relays: bool,
        served_ago: Option<Duration>,
    ) -> Duration {
        self.seems_down = !has_relays && !is_served(served_ago);
        if has_relays {
            self.failures = 0;
            return REFRESH_INTERVAL;
        }
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        match self.seems_down {
            true => DOWN_QUERY_INTERVAL,
            false => FIRST_QUERY_INTERVAL * (1 << doublings),
        }
    }

    /// Returns the boxes that are no relays and have not declined lately.
    fn unknown_boxes<'a>(&'a self, boxes: &'a [BoxRecord]) -> Vec<&'a BoxRecord> {
        let named = self.named.values().map(|(record, _)| record);
        let all: BTreeMap<&BoxId, &BoxRecord> = boxes
            .iter()
            .chain(named)
            .map(|record| (&record.id, record))
            .collect();
        let is_unknown =
            |id: &BoxId| !self.relays.contains_key(id) && !self.declined.contains_key(id);
        let unknown = all.into_iter().filter(|(id, _)| is_unknown(id));
        let unknown = unknown.map(|(_, record)| record);
        unknown.filter(|record| self.is_in_region(record)).collect()
    }

    /// Whether a box is in the region of this one. Requests must not leave it, as routes
    /// and accounts may be bound to regions.
    fn is_in_region(&self, record: &BoxRecord) -> bool {
        let region = |data_centre: &DataCentreId| self.regions.get(data_centre);
        let (own, other) = (region(&self.data_centre), region(&record.data_centre));
        own.zip(other).is_none_or(|(own, other)| own == other)
    }

    /// Records the reply of a box: the services that it reaches, and the fraction of its
    /// capacity for relayed requests that is in use.
    pub fn record_reply(
        &mut self,
        record: BoxRecord,
        reachable: &[ServerKey],
        load: f32,
        now: Instant,
    ) {
        if reachable.is_empty() {
            self.relays.remove(&record.id);
            self.declined.insert(record.id, now);
            return;
        }
        self.declined.remove(&record.id);
        let reachable = reachable.iter().map(|service| (*service, now)).collect();
        let relay = Relay {
            record: record.clone(),
            load,
            reachable,
        };
        self.relays.insert(record.id, relay);
    }

    /// Records that a box has declined a request for a service or did not answer.
    pub fn record_declined(&mut self, service: ServerKey, id: &BoxId, now: Instant) {
        self.declined.insert(id.clone(), now);
        let Some(relay) = self.relays.get_mut(id) else {
            return;
        };
        relay.reachable.remove(&service);
        if relay.reachable.is_empty() {
            self.relays.remove(id);
        }
        if !self.has_relay(service, now) {
            self.hasten_query();
        }
    }

    /// Records that a box did not answer a query.
    pub fn record_silent(&mut self, id: &BoxId, now: Instant) {
        self.relays.remove(id);
        self.declined.insert(id.clone(), now);
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

    /// Records the load that a relay has reported.
    pub fn record_load(&mut self, id: &BoxId, load: f32) {
        if let Some(relay) = self.relays.get_mut(id) {
            relay.load = load;
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
        let usable = self.relays.values().filter(|relay| {
            relay.reaches(service, now)
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

    /// Forgets all relays, when this box reaches all services again.
    pub fn clear(&mut self) {
        self.relays.clear();
        self.declined.clear();
        self.named.clear();
        self.hasten_query();
    }

    /// Returns the number of boxes that are known to reach a service.
    pub fn relay_count(&self) -> usize {
        self.relays.len()
    }

    fn has_relay(&self, service: ServerKey, now: Instant) -> bool {
        let mut relays = self.relays.values();
        relays.any(|relay| relay.reaches(service, now))
    }

    fn least_loaded(&self, count: usize) -> Vec<BoxRecord> {
        let mut relays: Vec<&Relay> = self.relays.values().collect();
        relays.sort_by(|one, other| one.load.total_cmp(&other.load));
        let least_loaded = relays.into_iter().take(count);
        least_loaded.map(|relay| relay.record.clone()).collect()
    }

    fn expire(&mut self, now: Instant) {
        for relay in self.relays.values_mut() {
            relay
                .reachable
                .retain(|_, at| !is_older(*at, RELAY_TTL, now));
        }
        self.relays.retain(|_, relay| !relay.reachable.is_empty());
        self.declined
            .retain(|_, at| !is_older(*at, DECLINED_TTL, now));
        self.named
            .retain(|_, (_, at)| !is_older(*at, NAMED_TTL, now));
    }

    fn cost(&self, relay: &Relay) -> f32 {
        let outstanding = self.outstanding.get(&relay.record.id);
        let outstanding = outstanding.copied().unwrap_or(0) as f32;
        relay.load + outstanding / relay_capacity(relay.record.capacity)
    }
}

impl Relay {
    fn reaches(&self, service: ServerKey, now: Instant) -> bool {
        let replied_at = self.reachable.get(&service);
        replied_at.is_some_and(|at| !is_older(*at, RELAY_TTL, now))
    }
}

/// Whether a service is up, by the time since other boxes were last served. A box that has
/// just started has no reports, whatever the service's state.
fn is_served(served_ago: Option<Duration>) -> bool {
    served_ago.is_none_or(|age| age < SERVED_TTL)
}

fn is_older(at: Instant, limit: Duration, now: Instant) -> bool {
    now.saturating_duration_since(at) >= limit
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
const FURTHER_BOXES_ASKED: usize = 1;
/// The number of named boxes that are kept, and for how long.
const MAX_NAMED: usize = 64;
const NAMED_TTL: Duration = Duration::from_secs(10);
/// The interval between the first two queries while there is no relay; it doubles with
/// each query up to `MAX_DOUBLINGS`.
const FIRST_QUERY_INTERVAL: Duration = Duration::from_millis(100);
const MAX_DOUBLINGS: u32 = 2;
/// How long a good response at another box shows that a service is up.
const SERVED_TTL: Duration = Duration::from_secs(3);
/// The longest interval between two queries while no other box is served either.
const DOWN_QUERY_INTERVAL: Duration = Duration::from_secs(2);
/// The interval between two queries while there are relays.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// How long a box counts as a relay without a further reply.
const RELAY_TTL: Duration = Duration::from_millis(2500);
/// How long a box that has declined is not asked again.
const DECLINED_TTL: Duration = Duration::from_secs(1);
