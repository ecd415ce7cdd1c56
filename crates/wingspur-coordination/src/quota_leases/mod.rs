//! Leases of fleet-wide quotas between boxes, on the allocator's and the client's side.

mod messages;
mod pools;
mod searches;
mod topology;
mod waiting_queue;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use wingspur_protocol::{LeasedResource, QuotaLeaseReply, QuotaLeaseRequest};
use wingspur_state::{
    AcquireOutcome, LeaseClient, LeaseDemand, PrefetchGrant, QueueReport,
};

use self::pools::{Demand, SharePools, allows_prefetch, is_account, millis};
use self::searches::{Search, Searches};
use self::waiting_queue::{QueueOrder, WaitingQueues, is_soon};
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

/// What a box knows of the queue for the quota of an account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueView {
    /// The requests that wait at this box and, if it is a hub, at its members.
    pub length: u32,
    /// The units that fall due within the longest wait; `None` if that is not known.
    pub due: Option<u32>,
    /// The age of the hub's report; `None` for a hub, or if there is no recent report.
    pub report_age: Option<Duration>,
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
        let outcome = lease_client.try_acquire(now);
        let may_wait = match outcome {
            AcquireOutcome::Acquired => false,
            AcquireOutcome::Refused(more_in) => is_soon(more_in),
            AcquireOutcome::Pending | AcquireOutcome::Unknown => true,
        };
        if !may_wait {
            return (Ok(outcome), self.ask_hub(resource, hub, now));
        }
        // One request may always wait for the reply to a lease request, so that the box
        // learns of new units.
        let is_first = self.waiting.own_ahead(resource, reserve) == 0;
        let is_probe = is_first && lease_client.may_ask(now);
        let report = lease_client.report(now).filter(|_| !is_probe);
        let outcome = match report {
            Some((report, _)) => self.enqueue_within(resource, reserve, &report, now),
            None => Err(self.waiting.enqueue(resource, reserve, now)),
        };
        (outcome, self.ask_hub(resource, hub, now))
    }

    /// Lets a request wait if there is a place for its urgency in the queue that is
    /// reported. A less urgent one may be refused in its place.
    fn enqueue_within(
        &mut self,
        resource: LeasedResource,
        reserve: ReserveShare,
        report: &QueueReport,
        now: Instant,
    ) -> Result<AcquireOutcome, PendingGrant> {
        let refusal = AcquireOutcome::Refused(report.free_in());
        let places = report.places(reserve) as usize;
        if self.waiting.own_ahead(resource, reserve) >= places {
            return Ok(refusal);
        }
        if self.waiting.len(resource) >= report.due as usize {
            self.waiting.displace(resource, reserve, refusal);
        }
        Err(self.waiting.enqueue(resource, reserve, now))
    }

    /// Returns the queue for an account's quota at this box, without the requests that
    /// wait here or, where `asking` is given, at that member. `None` if the number of
    /// requests that may wait is not limited: other hubs may have units.
    fn queue_without(
        &mut self,
        resource: LeasedResource,
        (asking, reserve): (Option<LinkId>, ReserveShare),
        topology: &QuotaTopology,
        quota: Option<&Quota>,
        now: Instant,
    ) -> Option<QueueReport> {
        if !is_account(resource) {
            return None;
        }
        let is_from_hub = asking.is_some_and(|link| topology.is_allocator(link));
        let has_others = topology.own_hub.is_none() && !topology.allocators.is_empty();
        let elsewhere = match is_from_hub || !has_others {
            true => 0,
            false => self.searches.places_elsewhere(resource, now)?,
        };
        let count = |reserve| {
            let own = self.waiting.own_ahead(resource, reserve) as u32;
            let members = self.waiting.members_ahead(resource, asking, reserve, now);
            members + asking.map_or(0, |_| own)
        };
        let (ahead, waiting) = (count(reserve), count(ReserveShare::INFINITY));
        let counts = (waiting, elsewhere);
        let (due, free_in) = self.pools.units_due(resource, counts, topology, quota)?;
        Some(QueueReport {
            reserve,
            ahead,
            waiting,
            due,
            free_in_ms: millis(free_in),
        })
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
        let order = QueueOrder {
            reserve,
            since: now,
        };
        let demand = Demand {
            resource,
            wanted: 1,
            reserve,
            parts: vec![(1, self.waiting.count_before(resource, None, &order, now))],
            ahead,
        };
        let outcome = self.pools.take(&demand, quota.as_ref(), topology, now);
        if outcome == AcquireOutcome::Acquired {
            return (Ok(outcome), QuotaMessages::new());
        }
        let may_search =
            !allocators.is_empty() && !self.searches.was_missed_recently(resource, now);
        // One search for this box's own requests is always allowed, so that the box learns
        // of new units.
        let is_probe = may_search && !self.searches.has_own(resource);
        let report =
            self.queue_without(resource, (None, reserve), topology, quota.as_ref(), now);
        let report = report.filter(|_| !is_probe);
        if !may_search {
            let outcome = match self.searches.with_recent_miss(resource, outcome) {
                AcquireOutcome::Refused(more_in) if !is_soon(more_in) => Ok(outcome),
                _ => match report {
                    Some(report) => self.enqueue_within(resource, reserve, &report, now),
                    None => Err(self.waiting.enqueue(resource, reserve, now)),
                },
            };
            return (outcome, QuotaMessages::new());
        }
        let pending = match report {
            Some(report) => self.enqueue_within(resource, reserve, &report, now),
            None => Err(self.waiting.enqueue(resource, reserve, now)),
        };
        let pending = match pending {
            Ok(outcome) => return (Ok(outcome), QuotaMessages::new()),
            Err(pending) => pending,
        };
        let search = Search::new(resource, None, (0, 1), reserve, now);
        (Err(pending), self.searches.begin(search, allocators, now))
    }

    /// Returns what this box knows of the queue for the quota of an account, for the log.
    pub fn queue_view(
        &mut self,
        resource: LeasedResource,
        topology: &QuotaTopology,
        find: FindQuota<'_>,
        now: Instant,
    ) -> QueueView {
        let length = self.waiting.len(resource) as u32;
        if topology.own_hub.is_some() {
            let lease_client = self.lease_clients.get(&resource);
            let report = lease_client.and_then(|client| client.report(now));
            return QueueView {
                length,
                due: report.map(|(report, _)| report.due),
                report_age: report.map(|(_, age)| age),
            };
        }
        let quota = find(resource);
        let everyone = (None, ReserveShare::INFINITY);
        let report =
            self.queue_without(resource, everyone, topology, quota.as_ref(), now);
        QueueView {
            length: length + report.map_or(0, |report| report.waiting),
            due: report.map(|report| report.due),
            report_age: None,
        }
    }

    /// Asks the hub for what this box lacks.
    fn ask_hub(
        &mut self,
        resource: LeasedResource,
        hub: LinkId,
        now: Instant,
    ) -> QuotaMessages {
        let mut reserves = self.waiting.reserves(resource);
        let reserve = reserves.first().copied();
        if is_account(resource) {
            // Less urgent requests are asked for once the more urgent ones have units, so
            // that the hub can compare all requests of one lease request with others.
            reserves.retain(|other| Some(*other) == reserve);
        }
        let count = reserves.len() as u32;
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
            // Units that requests wait for are not prefetched.
            let has_waiting = self.waiting.has_any(request.resource, now);
            let wanted = if has_waiting { 0.0 } else { request.wanted };
            let request = QuotaLeaseRequest { wanted, ..*request };
            let reply = self
                .pools
                .grant_prefetch(link, &request, topology, quota, now);
            return vec![QuotaMessage::reply(link, reply, false)];
        }
        let (resource, reserve) = (request.resource, request.reserve);
        let is_from_allocator = topology.allocators.contains(&link);
        let parts = match is_from_allocator || !is_account(resource) {
            true => {
                let since = now;
                let order = QueueOrder { reserve, since };
                let before = self.waiting.count_before(resource, None, &order, now);
                vec![(request.on_demand_count, before)]
            }
            false => {
                let demand = (request.on_demand_count, reserve);
                self.waiting.record_demand(resource, link, demand, now);
                self.waiting.demand_of_member(resource, link, now)
            }
        };
        let reply = self
            .pools
            .grant_on_demand(request, parts, topology, quota, now);
        let missing = request.on_demand_count - reply.on_demand_granted;
        let allocators = quota.map(|quota| topology.allocators_of(quota));
        let allocators = allocators.unwrap_or_default();
        let is_searching = self.searches.is_searching(resource)
            && self.searches.places_elsewhere(resource, now) == Some(0);
        let can_search = !allocators.is_empty()
            && !self.searches.was_missed_recently(resource, now)
            && !is_searching;
        // An allocator asks the other hubs itself, so its request is not passed on.
        if missing == 0 || is_from_allocator || !can_search {
            let reply =
                self.with_queue(reply, (link, missing, reserve), topology, quota, now);
            return vec![QuotaMessage::reply(link, reply, true)];
        }
        let requester = Some((link, request.request_id));
        let counts = (reply.on_demand_granted, missing);
        let search =
            Search::new(request.resource, requester, counts, request.reserve, now);
        self.searches.begin(search, allocators, now)
    }

    /// Adds the queue to a reply to a member or another hub, and records how many requests
    /// wait there.
    fn with_queue(
        &mut self,
        reply: QuotaLeaseReply,
        (link, missing, reserve): (LinkId, u32, ReserveShare),
        topology: &QuotaTopology,
        quota: Option<&Quota>,
        now: Instant,
    ) -> QuotaLeaseReply {
        let resource = reply.resource;
        if !is_account(resource) {
            return reply;
        }
        let queue =
            self.queue_without(resource, (Some(link), reserve), topology, quota, now);
        if !topology.is_allocator(link) {
            let waiting =
                queue.map_or(missing, |queue| missing.min(queue.places(reserve)));
            let counts = (reply.on_demand_granted, waiting);
            self.waiting.record_reply(resource, link, counts);
        }
        let is_limited = missing > 0 || topology.is_allocator(link);
        let queue = queue.filter(|_| is_limited);
        // The queue tells how many requests may wait, and the time is that of the first of
        // them.
        let next_ms = self.pools.more_in(resource, topology, quota).map(millis);
        let retry_after_ms = match (reply.retry_after_ms, next_ms) {
            (Some(more_in_ms), Some(next_ms)) if queue.is_some() => {
                Some(more_in_ms.min(next_ms))
            }
            (more_in_ms, _) => more_in_ms,
        };
        QuotaLeaseReply {
            queue,
            retry_after_ms,
            ..reply
        }
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
        let is_on_demand = lease_client.awaits_on_demand(request_id);
        let granted = lease_client.apply_on_demand_grant(
            request_id,
            on_demand,
            reply.more_in(),
            now,
        );
        let refusal = lease_client.refusal(now);
        let report = reply.queue.filter(|_| is_account(resource));
        if is_on_demand {
            lease_client.record_report(report, now);
        }
        let (granted, expires) = granted.unwrap_or((0, now));
        let unused = granted - self.waiting.notify(resource, granted, refusal, now);
        if let Some(report) = report.filter(|_| is_on_demand) {
            self.waiting.trim(resource, &report);
        }
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
        let (messages, ended) = self.searches.resume(search, topology, now);
        match ended {
            Some(search) => self.end_search(search, topology, find, now),
            None => messages,
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
        // A hub without a share of an account's quota has one soon, after a start or a
        // loss, so what the other hubs tell is not all.
        if has_share || is_account(resource) {
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
            if search.missing > 0 {
                self.trim_own(resource, topology, quota.as_ref(), now);
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
            queue: None,
        };
        let asking = (link, search.missing, search.reserve);
        let reply = self.with_queue(reply, asking, topology, quota.as_ref(), now);
        vec![QuotaMessage::reply(link, reply, true)]
    }

    /// Refuses the requests of this box that wait beyond the places of the queue.
    fn trim_own(
        &mut self,
        resource: LeasedResource,
        topology: &QuotaTopology,
        quota: Option<&Quota>,
        now: Instant,
    ) {
        let Some(first) = self.waiting.first_order(resource) else {
            return;
        };
        let asking = (None, first.reserve);
        let report = self.queue_without(resource, asking, topology, quota, now);
        if let Some(report) = report {
            self.waiting.trim(resource, &report);
        }
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
            let Some(order) = self.waiting.first_order(resource) else {
                return;
            };
            let demand = Demand {
                resource,
                wanted: 1,
                reserve,
                parts: vec![(1, self.waiting.count_before(resource, None, &order, now))],
                ahead: 0,
            };
            match self.pools.take(&demand, quota.as_ref(), topology, now) {
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
        self.waiting.evict_closed(now);
    }
}
