//! Leases of fleet-wide quotas between boxes, on the allocator's and the client's side.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use wingspur_protocol::{
    LeaseMessages, LeasedResource, QuotaLeaseReply, QuotaLeaseRequest,
};
use wingspur_state::{
    AcquireOutcome, DataCentreId, LeaseClient, LeaseDemand, PrefetchGrant,
    PrefetchRequest, QuotaPool, QuotaTerms, ShareHistory,
};

use crate::LinkId;

/// The quota that this box has leased to other boxes and from its hub.
///
/// All quotas work alike: each has a key, a rate and a burst, and each box has a share of
/// it that it delegates to its hub. Quotas differ in their terms and in which hubs
/// allocate them.
#[derive(Debug)]
pub struct QuotaLeaseManager {
    /// History of this box's share of quotas that each hub allocates for its members.
    share_history: ShareHistory,
    /// History of its share of quotas that the hub of one data centre allocates for all
    /// boxes.
    data_centre_histories: BTreeMap<DataCentreId, ShareHistory>,
    pools: HashMap<LeasedResource, QuotaPool>,
    lease_clients: HashMap<LeasedResource, LeaseClient>,
    /// Requests that wait for quota. When units are granted, the queue is sorted by
    /// `reserve`, the most urgent first, and by arrival where that is equal.
    waiting: HashMap<LeasedResource, VecDeque<Waiting>>,
    /// Searches for quota at other hubs, by the id of the last lease request.
    searches: HashMap<u32, Search>,
    /// Resources for which a recent search ended before it had all units.
    recent_misses: HashMap<LeasedResource, SearchMiss>,
    last_request_id: u32,
}

/// A request that waits for one unit of quota.
#[derive(Debug)]
struct Waiting {
    sender: async_channel::Sender<AcquireOutcome>,
    reserve: ReserveShare,
    since: Instant,
}

impl Waiting {
    /// Returns whether the request may keep waiting for a unit that is expected after
    /// `more_in`.
    fn may_wait_for(&self, more_in: Duration, is_first: bool, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.since);
        let max_wait = if is_first {
            MAX_WAIT_OF_FIRST
        } else {
            MAX_WAIT
        };
        is_soon(more_in) && waited < max_wait
    }
}

/// Receives the outcome for a request that waits for quota.
pub type PendingGrant = async_channel::Receiver<AcquireOutcome>;

/// Share of a pool's capacity beyond one unit that a request must leave untouched, for
/// requests of higher priority. The lower this share, the more urgent the request.
pub type ReserveShare = f32;

/// A search for quota at other hubs, which are asked one after the other.
#[derive(Debug)]
struct Search {
    resource: LeasedResource,
    /// The member that asked, with the id of its lease request; `None` for this box's own
    /// requests.
    requester: Option<(LinkId, u32)>,
    granted: u32,
    missing: u32,
    reserve: ReserveShare,
    hubs: Vec<LinkId>,
    /// When the hubs that were asked expect to have more.
    next_available: NextAvailable,
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
    /// When they expect to have more, counted from when they were asked.
    next_available: NextAvailable,
}

/// When more of a quota is expected, by the replies of several boxes about their shares.
#[derive(Debug, Clone, Copy, Default)]
struct NextAvailable {
    soonest: Option<Duration>,
    /// Whether a reply named no time, for example because the share of the box that sent
    /// it has changed recently. A box that did not reply at all does not set this.
    is_unknown: bool,
}

impl NextAvailable {
    fn add_reply(&mut self, more_in: Option<Duration>) {
        let Some(more_in) = more_in else {
            self.is_unknown = true;
            return;
        };
        self.soonest = Some(self.soonest.map_or(more_in, |known| known.min(more_in)));
    }

    fn if_all_known(self) -> Option<Duration> {
        self.soonest.filter(|_| !self.is_unknown)
    }
}

/// Messages for the caller to send once it has released the lock on the state.
pub type QuotaMessages = Vec<QuotaMessage>;

/// A lease request to another box, or a reply.
#[derive(Debug)]
pub struct QuotaMessage {
    /// The link on which it is sent.
    pub link: LinkId,
    /// The lease requests and replies in it.
    pub messages: LeaseMessages,
    /// Whether a caller's request waits for it. A message that is not urgent is sent with
    /// the next frame.
    pub urgent: bool,
}

/// This box's role and links in the allocation of quotas.
#[derive(Debug, Default)]
pub struct QuotaTopology {
    /// The hub that it is a member of; `None` if it is a hub itself.
    pub own_hub: Option<LinkId>,
    /// The links that it asks when its own share is used up: the hubs of other data
    /// centres, or its own hub if it has one. A box with a hub asks it this way only for
    /// other boxes that use this box as a hub.
    pub allocators: Vec<LinkId>,
    /// Its share of all quotas, including the shares delegated to it.
    pub share: f64,
    /// Its shares of the quotas that the hub of one data centre allocates for all boxes;
    /// empty if it is a member of a hub.
    pub data_centres: Vec<DataCentreQuota>,
}

/// A box's share of the quotas that the hub of one data centre allocates for all boxes.
#[derive(Debug, Clone, PartialEq)]
pub struct DataCentreQuota {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// This box's share, including the shares delegated to it.
    pub share: f64,
    /// The link to the hub that allocates them; `None` if this box does or that hub is
    /// not connected.
    pub allocator: Option<LinkId>,
}

/// The hubs that allocate a quota.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuotaAllocator {
    /// Each hub allocates the shares of its members.
    EachHub,
    /// The hub of one data centre allocates the shares of all boxes.
    DataCentreHub(DataCentreId),
}

/// The current terms of a quota and its allocator.
#[derive(Debug, Clone, PartialEq)]
pub struct Quota {
    /// The rate and burst over all boxes.
    pub terms: QuotaTerms,
    /// The hubs that allocate it.
    pub allocator: QuotaAllocator,
}

/// Looks up the quota of a resource; returns `None` if the resource or its limit does not
/// exist.
pub type FindQuota<'a> = &'a dyn Fn(LeasedResource) -> Option<Quota>;

impl QuotaLeaseManager {
    /// Creates the state of a box that starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            share_history: ShareHistory::new(now),
            data_centre_histories: BTreeMap::new(),
            pools: HashMap::new(),
            lease_clients: HashMap::new(),
            waiting: HashMap::new(),
            searches: HashMap::new(),
            recent_misses: HashMap::new(),
            last_request_id: 0,
        }
    }

    /// Records the shares that this box has from `now` on.
    pub fn update_shares(&mut self, topology: &QuotaTopology, now: Instant) {
        self.share_history.record_share(topology.share, now);
        for data_centre in &topology.data_centres {
            let name = &data_centre.data_centre;
            if !self.data_centre_histories.contains_key(name) {
                self.data_centre_histories
                    .insert(name.clone(), ShareHistory::new(now));
            }
            let share_history = self.data_centre_histories.get_mut(name);
            share_history
                .expect("the history was inserted above")
                .record_share(data_centre.share, now);
        }
    }

    /// Returns whether searches are in progress or requests wait.
    pub fn has_pending(&self) -> bool {
        !self.searches.is_empty() || !self.waiting.is_empty()
    }

    /// Acquires one unit of quota. Returns the outcome, or a receiver for it if the
    /// request has to wait, and the messages to send.
    pub fn acquire(
        &mut self,
        resource: LeasedResource,
        reserve: ReserveShare,
        topology: &QuotaTopology,
        find: FindQuota<'_>,
        now: Instant,
    ) -> (Result<AcquireOutcome, PendingGrant>, QuotaMessages) {
        match topology.own_hub {
            Some(hub) => self.acquire_from_hub(resource, reserve, hub, now),
            None => self.acquire_from_pool(resource, reserve, topology, find, now),
        }
    }

    /// Acquires one unit from what the hub has leased to this box, or asks the hub for
    /// more.
    fn acquire_from_hub(
        &mut self,
        resource: LeasedResource,
        reserve: ReserveShare,
        hub: LinkId,
        now: Instant,
    ) -> (Result<AcquireOutcome, PendingGrant>, QuotaMessages) {
        let lease_client = self.lease_clients.entry(resource).or_default();
        let outcome = match lease_client.try_acquire(now) {
            AcquireOutcome::Pending | AcquireOutcome::Unknown => {
                Err(self.enqueue(resource, reserve, now))
            }
            AcquireOutcome::Refused(more_in) if is_soon(more_in) => {
                Err(self.enqueue(resource, reserve, now))
            }
            outcome => Ok(outcome),
        };
        (outcome, self.ask_hub(resource, hub, now))
    }

    /// Acquires one unit from this box's own share, or asks other hubs if that is used
    /// up.
    fn acquire_from_pool(
        &mut self,
        resource: LeasedResource,
        reserve: ReserveShare,
        topology: &QuotaTopology,
        find: FindQuota<'_>,
        now: Instant,
    ) -> (Result<AcquireOutcome, PendingGrant>, QuotaMessages) {
        let quota = find(resource);
        let allocators = quota.as_ref().map(|quota| topology.allocators_of(quota));
        let allocators = allocators.unwrap_or_default();
        let ahead = self.waiting.get(&resource).map_or(0, VecDeque::len);
        let demand = (resource, reserve, ahead);
        let outcome = self.take_from_pool(demand, quota.as_ref(), topology, now);
        if outcome == AcquireOutcome::Acquired {
            return (Ok(outcome), QuotaMessages::new());
        }
        if allocators.is_empty() || self.was_missed_recently(resource, now) {
            let outcome = match self.with_recent_miss(resource, outcome) {
                AcquireOutcome::Refused(more_in) if !is_soon(more_in) => Ok(outcome),
                _ => Err(self.enqueue(resource, reserve, now)),
            };
            return (outcome, QuotaMessages::new());
        }
        let pending = self.enqueue(resource, reserve, now);
        let search = Search::new(resource, None, (0, 1), reserve, now);
        (Err(pending), self.begin_search(search, allocators, now))
    }

    /// Takes one unit of this box's own share for a request with `ahead` others waiting
    /// before it. The outcome is `Unknown` if there is no quota or the box has no share
    /// of it, or if no unit is left but the share has changed recently and the queue is
    /// not too long.
    fn take_from_pool(
        &mut self,
        (resource, reserve, ahead): (LeasedResource, ReserveShare, usize),
        quota: Option<&Quota>,
        topology: &QuotaTopology,
        now: Instant,
    ) -> AcquireOutcome {
        let (share_history, histories) =
            (&self.share_history, &self.data_centre_histories);
        let Some((quota, share_history)) =
            quota_with_history(quota, topology, share_history, histories)
        else {
            return AcquireOutcome::Unknown;
        };
        let pool = self.pools.entry(resource).or_default();
        if pool.lease_on_demand(1, reserve.into(), &quota.terms, share_history, now) == 1
        {
            return AcquireOutcome::Acquired;
        }
        match is_share_settled(quota, share_history)
            || is_queue_too_long(ahead, quota, share_history)
        {
            false => AcquireOutcome::Unknown,
            true => {
                AcquireOutcome::Refused(expected_wait(pool, quota, share_history, ahead))
            }
        }
    }

    /// Asks the hub for what this box lacks.
    fn ask_hub(
        &mut self,
        resource: LeasedResource,
        hub: LinkId,
        now: Instant,
    ) -> QuotaMessages {
        let waiting = self.waiting.get(&resource);
        let count = waiting.map_or(0, |waiting| waiting.len() as u32);
        let reserve = waiting.and_then(|waiting| {
            let reserves = waiting.iter().map(|waiting| waiting.reserve);
            reserves.min_by(f32::total_cmp)
        });
        let mut messages = QuotaMessages::new();
        // On-demand quota first, then prefetched quota.
        for count in [count, 0] {
            let request_id = self.next_request_id();
            let lease_client = self.lease_clients.entry(resource).or_default();
            let Some(demand) = lease_client.next_request(
                request_id,
                count,
                allows_prefetch(resource),
                now,
            ) else {
                continue;
            };
            let request = QuotaLeaseRequest {
                request_id,
                resource,
                held: 0.0,
                on_demand_count: 0,
                reserve: reserve.unwrap_or_default(),
                wanted: 0.0,
            };
            let request = match demand {
                LeaseDemand::OnDemand(on_demand_count) => QuotaLeaseRequest {
                    on_demand_count,
                    ..request
                },
                LeaseDemand::Prefetch { held, wanted } => QuotaLeaseRequest {
                    held,
                    wanted,
                    ..request
                },
            };
            messages.push(QuotaMessage::request(hub, request));
        }
        messages
    }

    /// Handles a lease request of another box. The reply is returned at once, or follows
    /// after other hubs were asked.
    pub fn handle_request(
        &mut self,
        link: LinkId,
        request: &QuotaLeaseRequest,
        topology: &QuotaTopology,
        find: FindQuota<'_>,
        now: Instant,
    ) -> QuotaMessages {
        let quota = find(request.resource);
        let quota = quota.as_ref();
        if request.on_demand_count == 0 {
            let reply = self.grant_prefetch(link, request, topology, quota, now);
            return vec![QuotaMessage::reply(link, reply, false)];
        }
        let reply = self.grant_on_demand(request, topology, quota, now);
        let missing = request.on_demand_count - reply.on_demand_granted;
        let is_from_allocator = topology.allocators.contains(&link);
        let allocators = quota.map(|quota| topology.allocators_of(quota));
        let allocators = allocators.unwrap_or_default();
        let can_search =
            !allocators.is_empty() && !self.was_missed_recently(request.resource, now);
        // An allocator asks the other hubs itself, so its request is not passed on.
        if missing == 0 || is_from_allocator || !can_search {
            return vec![QuotaMessage::reply(link, reply, true)];
        }
        let requester = Some((link, request.request_id));
        let counts = (reply.on_demand_granted, missing);
        let search =
            Search::new(request.resource, requester, counts, request.reserve, now);
        self.begin_search(search, allocators, now)
    }

    /// Leases quota that a box prefetches.
    fn grant_prefetch(
        &mut self,
        link: LinkId,
        request: &QuotaLeaseRequest,
        topology: &QuotaTopology,
        quota: Option<&Quota>,
        now: Instant,
    ) -> QuotaLeaseReply {
        let denied = QuotaLeaseReply::denied(request);
        let quota = quota.filter(|_| allows_prefetch(request.resource));
        let (share_history, histories) =
            (&self.share_history, &self.data_centre_histories);
        let Some((quota, share_history)) =
            quota_with_history(quota, topology, share_history, histories)
        else {
            return denied;
        };
        let prefetch = PrefetchRequest {
            holder: link,
            held: request.held,
            wanted: request.wanted,
        };
        let pool = self.pools.entry(request.resource).or_default();
        let grant = pool.lease_prefetch(&prefetch, &quota.terms, share_history, now);
        QuotaLeaseReply {
            prefetch_granted: grant.amount,
            renewed: grant.renewed,
            ..denied
        }
    }

    /// Leases quota that a box uses at once, as far as this box's own share allows.
    fn grant_on_demand(
        &mut self,
        request: &QuotaLeaseRequest,
        topology: &QuotaTopology,
        quota: Option<&Quota>,
        now: Instant,
    ) -> QuotaLeaseReply {
        let denied = QuotaLeaseReply::denied(request);
        let (share_history, histories) =
            (&self.share_history, &self.data_centre_histories);
        let Some((quota, share_history)) =
            quota_with_history(quota, topology, share_history, histories)
        else {
            return denied;
        };
        let (on_demand, reserve) = (request.on_demand_count, request.reserve.into());
        let pool = self.pools.entry(request.resource).or_default();
        let granted =
            pool.lease_on_demand(on_demand, reserve, &quota.terms, share_history, now);
        let missing = (on_demand - granted) as usize;
        let more_in = match is_queue_too_long(missing, quota, share_history) {
            true => Some(millis(expected_wait(pool, quota, share_history, missing))),
            false if is_share_settled(quota, share_history) => {
                Some(millis(expected_wait(pool, quota, share_history, 0)))
            }
            false => None,
        };
        QuotaLeaseReply {
            on_demand_granted: granted,
            retry_after_ms: more_in,
            ..denied
        }
    }

    /// Returns the time until this box's share has one more unit; `None` if that is not
    /// known.
    fn more_in(
        &mut self,
        resource: LeasedResource,
        topology: &QuotaTopology,
        quota: Option<&Quota>,
    ) -> Option<Duration> {
        let (share_history, histories) =
            (&self.share_history, &self.data_centre_histories);
        let (quota, share_history) =
            quota_with_history(quota, topology, share_history, histories)?;
        if !is_share_settled(quota, share_history) {
            return None;
        }
        let pool = self.pools.entry(resource).or_default();
        Some(pool.time_to_next_token(&quota.terms, share_history))
    }

    /// Handles another box's reply to a lease request.
    pub fn handle_reply(
        &mut self,
        reply: &QuotaLeaseReply,
        topology: &QuotaTopology,
        find: FindQuota<'_>,
        now: Instant,
    ) -> QuotaMessages {
        let resource = reply.resource;
        let more_in = reply
            .retry_after_ms
            .map(|ms| Duration::from_millis(ms.into()));
        if let Some(mut search) = self.searches.remove(&reply.request_id) {
            search.take(reply.on_demand_granted);
            search.next_available.add_reply(more_in);
            if search.missing == 0 {
                return self.end_search(search, topology, find, now);
            }
            return self.continue_or_end_search(search, topology, find, now);
        }
        let Some(lease_client) = self.lease_clients.get_mut(&resource) else {
            return QuotaMessages::new();
        };
        let grant = PrefetchGrant {
            amount: reply.prefetch_granted,
            renewed: reply.renewed,
        };
        lease_client.apply_prefetch_grant(reply.request_id, &grant, now);
        let (request_id, on_demand) = (reply.request_id, reply.on_demand_granted);
        let granted =
            lease_client.apply_on_demand_grant(request_id, on_demand, more_in, now);
        let refusal = lease_client.refusal(now);
        let (granted, expires) = granted.unwrap_or((0, now));
        let unused = granted - self.notify_waiting(resource, granted, refusal, now);
        if unused > 0 {
            let lease_client = self.lease_clients.entry(resource).or_default();
            lease_client.retain_unused(unused, expires);
        }
        match topology.own_hub {
            Some(hub) => self.ask_hub(resource, hub, now),
            None => QuotaMessages::new(),
        }
    }

    /// Grants `granted` units to the most urgent waiting requests. If a refusal is given,
    /// it goes to those of the others that may not wait as long as it says. Returns the
    /// number of requests granted.
    fn notify_waiting(
        &mut self,
        resource: LeasedResource,
        granted: u32,
        refusal: Option<AcquireOutcome>,
        now: Instant,
    ) -> u32 {
        let Some(waiting) = self.waiting.get_mut(&resource) else {
            return 0;
        };
        waiting.retain(|waiting| !waiting.sender.is_closed());
        let by_reserve =
            |one: &Waiting, other: &Waiting| one.reserve.total_cmp(&other.reserve);
        waiting.make_contiguous().sort_by(by_reserve);
        let granted = (granted as usize).min(waiting.len());
        for waiting in waiting.drain(..granted) {
            // The send fails if the request has just given up; its unit is lost.
            let _ = waiting.sender.try_send(AcquireOutcome::Acquired);
        }
        if let Some(outcome @ AcquireOutcome::Refused(more_in)) = refusal {
            let mut is_first = true;
            waiting.retain(|waiting| {
                let keeps_waiting = waiting.may_wait_for(more_in, is_first, now);
                is_first = false;
                if !keeps_waiting {
                    let _ = waiting.sender.try_send(outcome);
                }
                keeps_waiting
            });
        }
        if waiting.is_empty() {
            self.waiting.remove(&resource);
        }
        granted as u32
    }

    /// Shortens the wait of a refusal to the shortest one that the other hubs named in
    /// the last search, if its miss has not been evicted yet. The outcome becomes
    /// `Unknown` if one of their replies named no time.
    fn with_recent_miss(
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
    fn was_missed_recently(&self, resource: LeasedResource, now: Instant) -> bool {
        self.recent_misses
            .get(&resource)
            .is_some_and(|miss| miss.until > now)
    }

    /// Starts a search among some hubs by asking one of them.
    fn begin_search(
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
        self.searches.insert(request_id, search);
        vec![QuotaMessage::request(hub, request)]
    }

    /// Asks the next hub. If no hub or no time is left, records a miss and ends the
    /// search with what was granted so far.
    fn continue_or_end_search(
        &mut self,
        mut search: Search,
        topology: &QuotaTopology,
        find: FindQuota<'_>,
        now: Instant,
    ) -> QuotaMessages {
        search.hubs.retain(|hub| topology.is_allocator(*hub));
        if search.hubs.is_empty() || search.deadline <= now {
            let miss = SearchMiss {
                until: now + SEARCH_MISS_TTL,
                next_available: search.next_available,
            };
            self.recent_misses.insert(search.resource, miss);
            return self.end_search(search, topology, find, now);
        }
        self.ask_next_hub(search, now)
    }

    /// Ends a search, and passes what was granted to the requester.
    fn end_search(
        &mut self,
        search: Search,
        topology: &QuotaTopology,
        find: FindQuota<'_>,
        now: Instant,
    ) -> QuotaMessages {
        let resource = search.resource;
        let quota = find(resource);
        let has_share = quota
            .as_ref()
            .is_some_and(|quota| topology.share_of(quota) > 0.0);
        let mut next_available = search.next_available;
        if has_share {
            next_available.add_reply(self.more_in(resource, topology, quota.as_ref()));
        }
        let more_in = next_available.if_all_known();
        let Some((link, request_id)) = search.requester else {
            let refusal = more_in.filter(|_| search.missing > 0);
            let refusal = refusal.map(AcquireOutcome::Refused);
            let notified = self.notify_waiting(resource, search.granted, refusal, now);
            if search.granted > notified && quota.is_some() {
                let pool = self.pools.entry(resource).or_default();
                pool.return_unused(search.granted - notified);
            }
            return QuotaMessages::new();
        };
        let reply = QuotaLeaseReply {
            request_id,
            resource,
            on_demand_granted: search.granted,
            prefetch_granted: 0.0,
            renewed: false,
            retry_after_ms: more_in.map(millis),
        };
        vec![QuotaMessage::reply(link, reply, true)]
    }

    /// Continues searches whose last lease request got no reply in time, and serves
    /// requests that still wait.
    pub fn poll(
        &mut self,
        topology: &QuotaTopology,
        find: FindQuota<'_>,
        now: Instant,
    ) -> QuotaMessages {
        let is_overdue = |_: &u32, search: &mut Search| search.reply_deadline <= now;
        let overdue: Vec<_> = self.searches.extract_if(is_overdue).collect();
        let mut messages = QuotaMessages::new();
        for (_, search) in overdue {
            messages.extend(self.continue_or_end_search(search, topology, find, now));
        }
        if let Some(hub) = topology.own_hub {
            let leased: Vec<_> = self.lease_clients.keys().copied().collect();
            for resource in leased {
                messages.extend(self.ask_hub(resource, hub, now));
            }
            return messages;
        }
        let waited_for: Vec<_> = self.waiting.keys().copied().collect();
        for resource in waited_for {
            self.serve_waiting(resource, topology, find, now);
            messages.extend(self.search_for_waiting(resource, topology, find, now));
        }
        messages
    }

    /// Serves the requests that wait for this box's own share, as far as it has refilled.
    fn serve_waiting(
        &mut self,
        resource: LeasedResource,
        topology: &QuotaTopology,
        find: FindQuota<'_>,
        now: Instant,
    ) {
        let quota = find(resource);
        let reserves = self.waiting.get(&resource).into_iter().flatten();
        let mut reserves: Vec<_> = reserves.map(|waiting| waiting.reserve).collect();
        reserves.sort_by(f32::total_cmp);
        for reserve in reserves {
            let demand = (resource, reserve, 0);
            match self.take_from_pool(demand, quota.as_ref(), topology, now) {
                AcquireOutcome::Acquired => {
                    self.notify_waiting(resource, 1, None, now);
                }
                outcome => {
                    let outcome = self.with_recent_miss(resource, outcome);
                    self.notify_waiting(resource, 0, Some(outcome), now);
                    return;
                }
            }
        }
    }

    /// Starts another search for the requests that wait for this box's own share, unless
    /// one is in progress or a recent one ended before it had all units.
    fn search_for_waiting(
        &mut self,
        resource: LeasedResource,
        topology: &QuotaTopology,
        find: FindQuota<'_>,
        now: Instant,
    ) -> QuotaMessages {
        let is_own =
            |search: &Search| search.resource == resource && search.requester.is_none();
        let is_searching = self.searches.values().any(is_own);
        let Some(waiting) = self.waiting.get(&resource).filter(|_| !is_searching) else {
            return QuotaMessages::new();
        };
        let missing = waiting.len() as u32;
        let reserves = waiting.iter().map(|waiting| waiting.reserve);
        let reserve = reserves.min_by(f32::total_cmp).unwrap_or_default();
        let allocators = find(resource).map(|quota| topology.allocators_of(&quota));
        let allocators = allocators.unwrap_or_default();
        if allocators.is_empty() || self.was_missed_recently(resource, now) {
            return QuotaMessages::new();
        }
        let search = Search::new(resource, None, (0, missing), reserve, now);
        self.begin_search(search, allocators, now)
    }

    /// Evicts idle lease clients, expired search results, full pools and waiting requests
    /// that were given up.
    pub fn evict_idle(&mut self, find: FindQuota<'_>, now: Instant) {
        self.lease_clients
            .retain(|_, lease_client| !lease_client.is_idle(now));
        self.recent_misses.retain(|_, miss| miss.until > now);
        let (share_history, data_centre_histories) =
            (&self.share_history, &self.data_centre_histories);
        self.pools.retain(|resource, pool| {
            find(*resource).is_some_and(|quota| {
                let share_history =
                    history_of(share_history, data_centre_histories, &quota.allocator);
                !pool.is_full(&quota.terms, share_history, now)
            })
        });
        self.waiting.retain(|_, waiting| {
            waiting.retain(|waiting| !waiting.sender.is_closed());
            !waiting.is_empty()
        });
    }

    fn enqueue(
        &mut self,
        resource: LeasedResource,
        reserve: ReserveShare,
        now: Instant,
    ) -> PendingGrant {
        let (sender, receiver) = async_channel::bounded(1);
        let waiting = self.waiting.entry(resource).or_default();
        waiting.retain(|waiting| !waiting.sender.is_closed());
        waiting.push_back(Waiting {
            sender,
            reserve,
            since: now,
        });
        receiver
    }

    fn next_request_id(&mut self) -> u32 {
        self.last_request_id = self.last_request_id.wrapping_add(1);
        self.last_request_id
    }
}

impl QuotaTopology {
    /// Returns this box's share of a quota.
    fn share_of(&self, quota: &Quota) -> f64 {
        match &quota.allocator {
            QuotaAllocator::EachHub => self.share,
            QuotaAllocator::DataCentreHub(name) => self
                .data_centre(name)
                .map_or(self.share, |data_centre| data_centre.share),
        }
    }

    /// Returns the hubs that this box may ask for more of a quota.
    fn allocators_of(&self, quota: &Quota) -> Vec<LinkId> {
        match &quota.allocator {
            QuotaAllocator::EachHub => self.allocators.clone(),
            QuotaAllocator::DataCentreHub(name) => {
                let data_centre = self.data_centre(name);
                data_centre
                    .and_then(|data_centre| data_centre.allocator)
                    .into_iter()
                    .collect()
            }
        }
    }

    fn data_centre(&self, name: &DataCentreId) -> Option<&DataCentreQuota> {
        self.data_centres
            .iter()
            .find(|data_centre| data_centre.data_centre == *name)
    }

    fn is_allocator(&self, link: LinkId) -> bool {
        let allocators = self
            .data_centres
            .iter()
            .filter_map(|data_centre| data_centre.allocator);
        self.allocators.contains(&link)
            || allocators.into_iter().any(|allocator| allocator == link)
    }
}

impl Search {
    fn new(
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

    fn take(&mut self, granted: u32) {
        let granted = granted.min(self.missing);
        self.granted += granted;
        self.missing -= granted;
    }
}

impl QuotaMessage {
    /// Creates a message with a lease request.
    pub fn request(link: LinkId, request: QuotaLeaseRequest) -> Self {
        let lease_messages = LeaseMessages {
            requests: vec![request],
            ..LeaseMessages::default()
        };
        Self {
            link,
            messages: lease_messages,
            urgent: request.on_demand_count > 0,
        }
    }

    /// Creates a message with the reply to a lease request.
    pub fn reply(link: LinkId, reply: QuotaLeaseReply, urgent: bool) -> Self {
        let lease_messages = LeaseMessages {
            replies: vec![reply],
            ..LeaseMessages::default()
        };
        Self {
            link,
            messages: lease_messages,
            urgent,
        }
    }
}

/// Returns a quota with the history of this box's share of it; `None` if there is no
/// quota or the box has no share of it.
fn quota_with_history<'a>(
    quota: Option<&'a Quota>,
    topology: &QuotaTopology,
    share_history: &'a ShareHistory,
    data_centre_histories: &'a BTreeMap<DataCentreId, ShareHistory>,
) -> Option<(&'a Quota, &'a ShareHistory)> {
    let quota = quota.filter(|quota| topology.share_of(quota) > 0.0)?;
    Some((
        quota,
        history_of(share_history, data_centre_histories, &quota.allocator),
    ))
}

/// Returns the history of this box's share of the quotas that `allocator` allocates.
fn history_of<'a>(
    share_history: &'a ShareHistory,
    data_centre_histories: &'a BTreeMap<DataCentreId, ShareHistory>,
    allocator: &QuotaAllocator,
) -> &'a ShareHistory {
    match allocator {
        QuotaAllocator::EachHub => share_history,
        // Without a history for the data centre, the share of quotas that each hub
        // allocates is used.
        QuotaAllocator::DataCentreHub(name) => {
            data_centre_histories.get(name).unwrap_or(share_history)
        }
    }
}

/// Returns whether an empty pool means that the quota is used up. It does not while
/// shares are moving between boxes, for example after boxes were lost; requests then wait
/// for what the new share brings.
fn is_share_settled(quota: &Quota, share_history: &ShareHistory) -> bool {
    !share_history.has_grown_recently(&quota.terms)
        && !share_history.has_shrunk_recently(&quota.terms)
}

/// Returns the expected time until there is a unit for a request behind `ahead` others.
fn expected_wait(
    pool: &QuotaPool,
    quota: &Quota,
    share_history: &ShareHistory,
    ahead: usize,
) -> Duration {
    let next_in = pool.time_to_next_token(&quota.terms, share_history);
    let refill_per_s = quota.terms.per_s * share_history.share();
    let queue_s = ahead as f64 / refill_per_s.max(MIN_REFILL_PER_S);
    next_in + Duration::from_secs_f64(queue_s).min(MAX_REPORTED_WAIT)
}

/// Returns whether a unit that is expected after `more_in` is worth waiting for, instead
/// of refusing the request. Shares refill continuously, and hubs may divide them unevenly
/// for about `MAX_WAIT`.
fn is_soon(more_in: Duration) -> bool {
    more_in <= MAX_WAIT
}

/// Returns whether at least as many requests wait as the share refills in `QUEUE_WINDOW`,
/// and at least one. The last ones are then refused at once, however much of the quota
/// was used before.
///
/// A share that has changed recently, for example after boxes were lost, says little
/// about how fast it will refill. At least `ASSUMED_SHARE` is assumed then, so that the
/// requests of an account below its limit may all wait.
fn is_queue_too_long(
    waiting: usize,
    quota: &Quota,
    share_history: &ShareHistory,
) -> bool {
    let assumed_share = match is_share_settled(quota, share_history) {
        true => share_history.share(),
        false => share_history.max_recent_share().max(ASSUMED_SHARE),
    };
    let refill = quota.terms.per_s * assumed_share * QUEUE_WINDOW.as_secs_f64();
    waiting as f64 >= refill.max(1.0)
}

/// Returns whether boxes may prefetch quota of a resource: only for accounts. Servers
/// take only a few requests a second, so a unit that one box holds unused would be
/// missing at the others.
fn allows_prefetch(resource: LeasedResource) -> bool {
    matches!(resource, LeasedResource::Account(_))
}

fn millis(span: Duration) -> u32 {
    span.as_millis().min(u128::from(u32::MAX)) as u32
}

/// Time for which a hub's reply is awaited. A hub in another data centre replies within a
/// few milliseconds, or a few tens if it is busy. What a later reply grants is lost to
/// the quota.
const HUB_REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which a request may wait for a unit that is expected. It applies when a
/// refusal is known; the first waiting request has `MAX_WAIT_OF_FIRST`. It is a small
/// part of the time in which a response is wanted, and a caller over its limit is refused
/// within it.
const MAX_WAIT: Duration = Duration::from_millis(250);
/// Time for which the first waiting request, the most urgent one, may wait when a refusal
/// is known, because it gets the next unit.
const MAX_WAIT_OF_FIRST: Duration = Duration::from_millis(600);
/// Minimum refill rate, in units per second, that is assumed for the expected wait.
const MIN_REFILL_PER_S: f64 = 0.01;
/// Upper bound on the queue's part of the expected wait. It is above `MAX_WAIT`, so it
/// affects only the wait that is reported: no request waits as long.
const MAX_REPORTED_WAIT: Duration = Duration::from_secs(10);
/// Share that a hub may get in a fleet with few data centres, assumed for a share that
/// has changed recently.
const ASSUMED_SHARE: f64 = 0.5;
/// Time over which the refill is compared with the number of waiting requests. While no
/// refusal is known, a request for an account's quota may wait longer than this, until
/// the caller of `acquire` stops waiting.
const QUEUE_WINDOW: Duration = Duration::from_secs(1);
/// Time after which a search asks no more hubs; a reply to the last lease request may
/// still be awaited for `HUB_REPLY_TIMEOUT`. What it finds is void if it arrives later
/// than `ON_DEMAND_LEASE_TTL` after it was requested.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(120);
/// Time for which the other hubs are not asked again after a search ended before it had
/// all units.
const SEARCH_MISS_TTL: Duration = Duration::from_millis(100);
