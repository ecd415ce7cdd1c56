//! Leases of fleet-wide quotas between boxes, on the allocator's and the client's side.

mod messages;
mod pools;
mod searches;
mod topology;
mod waiting_queue;

use std::collections::HashMap;
use std::time::Instant;

use wingspur_protocol::{LeasedResource, QuotaLeaseReply, QuotaLeaseRequest};
use wingspur_state::{AcquireOutcome, LeaseClient, LeaseDemand, PrefetchGrant};

use self::pools::{SharePools, allows_prefetch, millis};
use self::searches::{Search, Searches};
use self::waiting_queue::{WaitingQueues, is_soon};
use crate::LinkId;

pub use self::messages::{QuotaMessage, QuotaMessages};
pub use self::topology::{
    DataCentreQuota, FindQuota, Quota, QuotaAllocator, QuotaTopology,
};
pub use self::waiting_queue::{PendingGrant, ReserveShare};

/// The quota that this box has leased to other boxes and from its hub.
///
/// All quotas work alike: each has a key, a rate and a burst, and each box has a share of
/// it that it delegates to its hub. Quotas differ in their terms and in which hubs
/// allocate them.
#[derive(Debug)]
pub struct QuotaLeaseManager {
    pools: SharePools,
    lease_clients: HashMap<LeasedResource, LeaseClient>,
    waiting: WaitingQueues,
    searches: Searches,
}

impl QuotaLeaseManager {
    /// Creates the state of a box that starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            pools: SharePools::new(now),
            lease_clients: HashMap::new(),
            waiting: WaitingQueues::default(),
            searches: Searches::default(),
        }
    }

    /// Records the shares that this box has from `now` on.
    pub fn update_shares(&mut self, topology: &QuotaTopology, now: Instant) {
        self.pools.update_shares(topology, now);
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
                Err(self.waiting.enqueue(resource, reserve, now))
            }
            AcquireOutcome::Refused(more_in) if is_soon(more_in) => {
                Err(self.waiting.enqueue(resource, reserve, now))
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
        let ahead = self.waiting.len(resource);
        let demand = (resource, reserve, ahead);
        let outcome = self.pools.take(demand, quota.as_ref(), topology, now);
        if outcome == AcquireOutcome::Acquired {
            return (Ok(outcome), QuotaMessages::new());
        }
        if allocators.is_empty() || self.searches.was_missed_recently(resource, now) {
            let outcome = match self.searches.with_recent_miss(resource, outcome) {
                AcquireOutcome::Refused(more_in) if !is_soon(more_in) => Ok(outcome),
                _ => Err(self.waiting.enqueue(resource, reserve, now)),
            };
            return (outcome, QuotaMessages::new());
        }
        let pending = self.waiting.enqueue(resource, reserve, now);
        let search = Search::new(resource, None, (0, 1), reserve, now);
        (Err(pending), self.searches.begin(search, allocators, now))
    }

    /// Asks the hub for what this box lacks.
    fn ask_hub(
        &mut self,
        resource: LeasedResource,
        hub: LinkId,
        now: Instant,
    ) -> QuotaMessages {
        let reserves = self.waiting.reserves(resource);
        let (count, reserve) = (reserves.len() as u32, reserves.first().copied());
        let mut messages = QuotaMessages::new();
        // On-demand quota first, then prefetched quota.
        for count in [count, 0] {
            let request_id = self.searches.next_request_id();
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
            let reply = self
                .pools
                .grant_prefetch(link, request, topology, quota, now);
            return vec![QuotaMessage::reply(link, reply, false)];
        }
        let reply = self.pools.grant_on_demand(request, topology, quota, now);
        let missing = request.on_demand_count - reply.on_demand_granted;
        let is_from_allocator = topology.allocators.contains(&link);
        let allocators = quota.map(|quota| topology.allocators_of(quota));
        let allocators = allocators.unwrap_or_default();
        let can_search = !allocators.is_empty()
            && !self.searches.was_missed_recently(request.resource, now);
        // An allocator asks the other hubs itself, so its request is not passed on.
        if missing == 0 || is_from_allocator || !can_search {
            return vec![QuotaMessage::reply(link, reply, true)];
        }
        let requester = Some((link, request.request_id));
        let counts = (reply.on_demand_granted, missing);
        let search =
            Search::new(request.resource, requester, counts, request.reserve, now);
        self.searches.begin(search, allocators, now)
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
        if let Some(search) = self.searches.take_replied(reply) {
            if search.missing == 0 {
                return self.end_search(search, topology, find, now);
            }
            return self.resume_search(search, topology, find, now);
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
        let granted = lease_client.apply_on_demand_grant(
            request_id,
            on_demand,
            reply.more_in(),
            now,
        );
        let refusal = lease_client.refusal(now);
        let (granted, expires) = granted.unwrap_or((0, now));
        let unused = granted - self.waiting.notify(resource, granted, refusal, now);
        if unused > 0 {
            let lease_client = self.lease_clients.entry(resource).or_default();
            lease_client.retain_unused(unused, expires);
        }
        match topology.own_hub {
            Some(hub) => self.ask_hub(resource, hub, now),
            None => QuotaMessages::new(),
        }
    }

    /// Asks the next hub, or ends the search with what was granted so far.
    fn resume_search(
        &mut self,
        search: Search,
        topology: &QuotaTopology,
        find: FindQuota<'_>,
        now: Instant,
    ) -> QuotaMessages {
        match self.searches.resume(search, topology, now) {
            Ok(messages) => messages,
            Err(ended) => self.end_search(ended, topology, find, now),
        }
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
            next_available.add_reply(self.pools.more_in(
                resource,
                topology,
                quota.as_ref(),
            ));
        }
        let more_in = next_available.if_all_known();
        let Some((link, request_id)) = search.requester else {
            let refusal = more_in.filter(|_| search.missing > 0);
            let refusal = refusal.map(AcquireOutcome::Refused);
            let notified = self.waiting.notify(resource, search.granted, refusal, now);
            if search.granted > notified && quota.is_some() {
                self.pools
                    .return_unused(resource, search.granted - notified);
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
        let mut messages = QuotaMessages::new();
        for search in self.searches.take_overdue(now) {
            messages.extend(self.resume_search(search, topology, find, now));
        }
        if let Some(hub) = topology.own_hub {
            let leased: Vec<_> = self.lease_clients.keys().copied().collect();
            for resource in leased {
                messages.extend(self.ask_hub(resource, hub, now));
            }
            return messages;
        }
        for resource in self.waiting.resources() {
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
        for reserve in self.waiting.reserves(resource) {
            let demand = (resource, reserve, 0);
            match self.pools.take(demand, quota.as_ref(), topology, now) {
                AcquireOutcome::Acquired => {
                    self.waiting.notify(resource, 1, None, now);
                }
                outcome => {
                    let outcome = self.searches.with_recent_miss(resource, outcome);
                    self.waiting.notify(resource, 0, Some(outcome), now);
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
        let reserves = self.waiting.reserves(resource);
        let Some(reserve) = reserves.first().copied() else {
            return QuotaMessages::new();
        };
        if self.searches.has_own(resource) {
            return QuotaMessages::new();
        }
        let missing = reserves.len() as u32;
        let allocators = find(resource).map(|quota| topology.allocators_of(&quota));
        let allocators = allocators.unwrap_or_default();
        if allocators.is_empty() || self.searches.was_missed_recently(resource, now) {
            return QuotaMessages::new();
        }
        let search = Search::new(resource, None, (0, missing), reserve, now);
        self.searches.begin(search, allocators, now)
    }

    /// Evicts idle lease clients, expired search results, full pools and waiting requests
    /// that were given up.
    pub fn evict_idle(&mut self, find: FindQuota<'_>, now: Instant) {
        self.lease_clients
            .retain(|_, lease_client| !lease_client.is_idle(now));
        self.searches.evict_expired(now);
        self.pools.evict_full(find, now);
        self.waiting.evict_closed();
    }
}
