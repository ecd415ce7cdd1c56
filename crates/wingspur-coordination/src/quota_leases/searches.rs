//! Searches for quota at other hubs.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use wingspur_protocol::{LeasedResource, QuotaLeaseReply, QuotaLeaseRequest};
use wingspur_state::AcquireOutcome;

use super::messages::{QuotaMessage, QuotaMessages};
use super::topology::QuotaTopology;
use super::waiting_queue::{MAX_WAIT, ReserveShare};
use crate::LinkId;

/// The searches in progress, and the results of recent ones.
#[derive(Debug, Default)]
pub struct Searches {
    /// Searches for quota at other hubs, by the id of the last lease request.
    in_progress: HashMap<u32, Search>,
    /// Resources for which a recent search ended before it had all units.
    recent_misses: HashMap<LeasedResource, SearchMiss>,
    last_request_id: u32,
}

/// A search for quota at other hubs, which are asked one after the other.
#[derive(Debug)]
pub struct Search {
    pub resource: LeasedResource,
    /// The member that asked, with the id of its lease request; `None` for this box's own
    /// requests.
    pub requester: Option<(LinkId, u32)>,
    pub granted: u32,
    pub missing: u32,
    pub reserve: ReserveShare,
    hubs: Vec<LinkId>,
    /// When the hubs that were asked expect to have more.
    pub next_available: NextAvailable,
    /// Until when a reply to the last lease request is awaited.
    reply_deadline: Instant,
    /// After this no more hubs are asked, because the requester does not wait longer.
    deadline: Instant,
}

/// Records that a search asked the other hubs, or ran out of time, before it had all
/// units that were missing.
#[derive(Debug, Clone, Copy)]
struct SearchMiss {
    /// Until when the other hubs are not asked again.
    until: Instant,
    /// Until when what they replied says how many requests may wait.
    known_until: Instant,
    /// How many searches before this one found in a row that as many requests wait at the
    /// other hubs as units fall due there.
    full_misses: u32,
    /// When they expect to have more, counted from when they were asked.
    next_available: NextAvailable,
}

/// When more of a quota is expected, by the replies of several boxes about their shares.
#[derive(Debug, Clone, Copy, Default)]
pub struct NextAvailable {
    soonest: Option<Duration>,
    /// Whether a reply named no time, for example because the share of the box that sent
    /// it has changed recently. A box that did not reply at all does not set this.
    is_unknown: bool,
    /// How many requests may wait for units of these boxes.
    places: u32,
}

impl NextAvailable {
    /// Adds the time that one reply named.
    pub fn add_reply(&mut self, more_in: Option<Duration>) {
        let Some(more_in) = more_in else {
            self.is_unknown = true;
            return;
        };
        self.soonest = Some(self.soonest.map_or(more_in, |known| known.min(more_in)));
    }

    /// Adds a reply of another hub.
    fn add_hub_reply(&mut self, reply: &QuotaLeaseReply) {
        self.add_reply(reply.more_in());
        let places = reply.queue.map(|queue| queue.places(queue.reserve));
        self.places += places.unwrap_or_default();
    }

    /// Returns the soonest time if all replies named one.
    pub fn if_all_known(self) -> Option<Duration> {
        self.soonest.filter(|_| !self.is_unknown)
    }
}

impl Searches {
    /// Returns whether no search is in progress.
    pub fn is_empty(&self) -> bool {
        self.in_progress.is_empty()
    }

    /// Returns whether a search for this box's own requests is in progress.
    pub fn has_own(&self, resource: LeasedResource) -> bool {
        let is_own =
            |search: &Search| search.resource == resource && search.requester.is_none();
        self.in_progress.values().any(is_own)
    }

    /// Takes the searches whose last lease request got no reply in time.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<Search> {
        let is_overdue = |_: &u32, search: &mut Search| search.reply_deadline <= now;
        let overdue = self.in_progress.extract_if(is_overdue);
        overdue.map(|(_, search)| search).collect()
    }

    /// Takes the search that a reply belongs to, with what the reply grants added.
    pub fn take_replied(&mut self, reply: &QuotaLeaseReply) -> Option<Search> {
        let mut search = self.in_progress.remove(&reply.request_id)?;
        search.take(reply.on_demand_granted);
        search.next_available.add_hub_reply(reply);
        Some(search)
    }

    /// Starts a search among some hubs by asking one of them.
    pub fn begin(
        &mut self,
        mut search: Search,
        mut allocators: Vec<LinkId>,
        now: Instant,
    ) -> QuotaMessages {
        // Spreads searches over the hubs. Hubs are taken from the end of the list, so the
        // one at `first` is asked last.
        let first = self.last_request_id as usize % allocators.len().max(1);
        allocators.rotate_left(first);
        search.hubs = allocators;
        self.ask_next_hub(search, now)
    }

    /// Asks the next hub for what is still missing.
    fn ask_next_hub(&mut self, mut search: Search, now: Instant) -> QuotaMessages {
        let Some(hub) = search.hubs.pop() else {
            return QuotaMessages::new();
        };
        let request_id = self.next_request_id();
        search.reply_deadline = now + HUB_REPLY_TIMEOUT;
        let request = QuotaLeaseRequest {
            request_id,
            resource: search.resource,
            held: 0.0,
            on_demand_count: search.missing,
            reserve: search.reserve,
            wanted: 0.0,
        };
        self.in_progress.insert(request_id, search);
        vec![QuotaMessage::request(hub, request)]
    }

    /// Asks the next hub for what is still missing. If no hub or no time is left, records
    /// a miss and returns the search, which has ended.
    pub fn resume(
        &mut self,
        mut search: Search,
        topology: &QuotaTopology,
        now: Instant,
    ) -> (QuotaMessages, Option<Search>) {
        search.hubs.retain(|hub| topology.is_allocator(*hub));
        if search.hubs.is_empty() || search.deadline <= now {
            let earlier = self.recent_misses.get(&search.resource);
            let earlier = earlier.filter(|miss| miss.known_until > now);
            let is_full = search.next_available.places == 0
                && search.next_available.if_all_known().is_some();
            let full_misses = match (is_full, earlier) {
                (true, Some(miss)) => miss.full_misses + 1,
                (true, None) => 1,
                (false, _) => 0,
            };
            let ttl = SEARCH_MISS_TTL * 2u32.pow(full_misses.clamp(1, 4) - 1);
            let until = now + ttl.min(MAX_SEARCH_MISS_TTL);
            let miss = SearchMiss {
                until,
                known_until: until + MAX_WAIT,
                full_misses,
                next_available: search.next_available,
            };
            self.recent_misses.insert(search.resource, miss);
            return (QuotaMessages::new(), Some(search));
        }
        (self.ask_next_hub(search, now), None)
    }

    /// Shortens the wait of a refusal to the shortest one that the other hubs named in
    /// the last search, if its miss has not been evicted yet. The outcome becomes
    /// `Unknown` if one of their replies named no time.
    pub fn with_recent_miss(
        &self,
        resource: LeasedResource,
        outcome: AcquireOutcome,
    ) -> AcquireOutcome {
        let (AcquireOutcome::Refused(more_in), Some(miss)) =
            (outcome, self.recent_misses.get(&resource))
        else {
            return outcome;
        };
        let mut next_available = miss.next_available;
        next_available.add_reply(Some(more_in));
        next_available
            .if_all_known()
            .map_or(AcquireOutcome::Unknown, AcquireOutcome::Refused)
    }

    /// Returns whether a recent search ended before it had all units.
    pub fn was_missed_recently(&self, resource: LeasedResource, now: Instant) -> bool {
        self.recent_misses
            .get(&resource)
            .is_some_and(|miss| miss.until > now)
    }

    /// Returns how many requests may wait for units of other hubs, by the last search if
    /// it was recent.
    pub fn places_elsewhere(
        &self,
        resource: LeasedResource,
        now: Instant,
    ) -> Option<u32> {
        let miss = self.recent_misses.get(&resource)?;
        (miss.known_until > now).then_some(miss.next_available.places)
    }

    /// Returns whether a search is in progress.
    pub fn is_searching(&self, resource: LeasedResource) -> bool {
        let mut searches = self.in_progress.values();
        searches.any(|search| search.resource == resource)
    }

    /// Evicts expired results of searches.
    pub fn evict_expired(&mut self, now: Instant) {
        self.recent_misses.retain(|_, miss| miss.known_until > now);
    }

    /// Returns the id of the next lease request of this box.
    pub fn next_request_id(&mut self) -> u32 {
        self.last_request_id = self.last_request_id.wrapping_add(1);
        self.last_request_id
    }
}

impl Search {
    /// Creates a search that has asked no hub yet.
    pub fn new(
        resource: LeasedResource,
        requester: Option<(LinkId, u32)>,
        (granted, missing): (u32, u32),
        reserve: ReserveShare,
        now: Instant,
    ) -> Self {
        Self {
            resource,
            requester,
            granted,
            missing,
            reserve,
            hubs: Vec::new(),
            next_available: NextAvailable::default(),
            reply_deadline: now,
            deadline: now + SEARCH_TIMEOUT,
        }
    }

    /// Adds units that a hub granted.
    fn take(&mut self, granted: u32) {
        let granted = granted.min(self.missing);
        self.granted += granted;
        self.missing -= granted;
    }
}

/// Time for which a hub's reply is awaited. A hub in another data centre replies within a
/// few milliseconds, or a few tens if it is busy. What a later reply grants is lost to
/// the quota.
const HUB_REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Time after which a search asks no more hubs; a reply to the last lease request may
/// still be awaited for `HUB_REPLY_TIMEOUT`. What it finds is void if it arrives later
/// than `ON_DEMAND_LEASE_TTL` after it was requested.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(120);
/// Time for which the other hubs are not asked again after a search ended before it had
/// all units.
const SEARCH_MISS_TTL: Duration = Duration::from_millis(100);
/// The longest such time. It doubles with each search that finds as many requests waiting
/// at the other hubs as units fall due there, since each search holds a request for up to
/// 60 ms.
const MAX_SEARCH_MISS_TTL: Duration = Duration::from_millis(500);
