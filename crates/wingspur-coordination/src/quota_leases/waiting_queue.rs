//! Queues of the requests that wait for quota, with the order in which they are granted.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use wingspur_protocol::LeasedResource;
use wingspur_state::{AcquireOutcome, QueueReport};

use crate::LinkId;

/// The requests that wait for quota, by quota. When units are granted, a queue is sorted
/// by `reserve`, the most urgent first, and by arrival where that is equal.
#[derive(Debug, Default)]
pub struct WaitingQueues {
    queues: HashMap<LeasedResource, VecDeque<Waiting>>,
    /// The requests that wait at members, by quota and the link to the member.
    at_members: HashMap<LeasedResource, HashMap<LinkId, WaitingAtMember>>,
}

/// The requests that wait at a member, by its lease requests.
#[derive(Debug, Clone)]
struct WaitingAtMember {
    /// The number of requests for which the member first asked at a time, the earliest
    /// first.
    arrivals: VecDeque<(Instant, u32)>,
    /// The lowest reserve of these requests.
    reserve: ReserveShare,
    /// When the member last asked.
    at: Instant,
}

/// The place of a request in the order in which units are granted: by urgency, and by
/// arrival where that is equal.
#[derive(Debug, Clone, Copy)]
pub struct QueueOrder {
    pub reserve: ReserveShare,
    pub since: Instant,
}

impl QueueOrder {
    /// Returns whether a unit is granted here before one is granted to `other`.
    fn is_before(&self, other: &Self) -> bool {
        self.reserve < other.reserve
            || (self.reserve == other.reserve && self.since < other.since)
    }
}

#[derive(Debug)]
struct Waiting {
    sender: async_channel::Sender<AcquireOutcome>,
    reserve: ReserveShare,
    since: Instant,
}

impl Waiting {
    fn order(&self) -> QueueOrder {
        QueueOrder {
            reserve: self.reserve,
            since: self.since,
        }
    }

    /// Returns whether the request has not been given up.
    fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Returns whether the request may keep waiting for a unit that is expected after
    /// `more_in`.
    fn may_wait_for(&self, more_in: Duration, is_first: bool, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.since);
        let max_wait = if is_first {
            MAX_WAIT_OF_FIRST
        } else {
            MAX_WAIT
        };
        is_soon(more_in) && (waited < max_wait || waited + more_in < MAX_WAIT_OF_FIRST)
    }
}

/// Receives the outcome for a request that waits for quota.
pub type PendingGrant = async_channel::Receiver<AcquireOutcome>;

/// The urgency of a request: the lower, the more urgent. For the quota of a server, it is
/// the share of the pool's capacity beyond one unit that the request must leave untouched,
/// for more urgent ones. For the quota of an account, it only orders the waiting requests.
pub type ReserveShare = f32;

impl WaitingQueues {
    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }

    /// Returns the quotas that requests wait for.
    pub fn resources(&self) -> Vec<LeasedResource> {
        self.queues.keys().copied().collect()
    }

    /// Returns the number of requests that wait for a quota.
    pub fn len(&self, resource: LeasedResource) -> usize {
        self.queues.get(&resource).map_or(0, VecDeque::len)
    }

    /// Records the requests for which a member asks.
    pub fn record_demand(
        &mut self,
        resource: LeasedResource,
        link: LinkId,
        (count, reserve): (u32, ReserveShare),
        now: Instant,
    ) {
        let members = self.at_members.entry(resource).or_default();
        let known = members
            .remove(&link)
            .filter(|waiting| waiting.is_current(now) && waiting.reserve == reserve);
        let mut waiting = known.unwrap_or(WaitingAtMember {
            arrivals: VecDeque::new(),
            reserve,
            at: now,
        });
        waiting.at = now;
        let known_count = waiting.count();
        waiting.drop_first(known_count.saturating_sub(count));
        if count > known_count {
            waiting.arrivals.push_back((now, count - known_count));
        }
        members.insert(link, waiting);
    }

    /// Records the reply to a member: it grants units to the first of the requests, and
    /// lets `kept` of the others wait.
    pub fn record_reply(
        &mut self,
        resource: LeasedResource,
        link: LinkId,
        (granted, kept): (u32, u32),
    ) {
        let members = self.at_members.get_mut(&resource);
        let waiting = members.and_then(|members| members.get_mut(&link));
        if let Some(waiting) = waiting {
            waiting.drop_first(granted);
            waiting.keep_first(kept);
        }
    }

    /// Returns the requests that wait at a member, in order: how many there are, and how
    /// many elsewhere get units before them.
    pub fn demand_of_member(
        &self,
        resource: LeasedResource,
        link: LinkId,
        now: Instant,
    ) -> Vec<(u32, u32)> {
        let members = self.at_members.get(&resource);
        let Some(waiting) = members.and_then(|members| members.get(&link)) else {
            return Vec::new();
        };
        let parts = waiting.arrivals.iter().map(|(since, count)| {
            let order = QueueOrder {
                reserve: waiting.reserve,
                since: *since,
            };
            let before = self.count_before(resource, Some(link), &order, now);
            (*count, before)
        });
        parts.collect()
    }

    /// Returns the place of the first request that waits here.
    pub fn first_order(&self, resource: LeasedResource) -> Option<QueueOrder> {
        let waiting = self.queues.get(&resource)?.iter();
        let orders = waiting.filter(|waiting| waiting.is_open());
        let orders = orders.map(|waiting| waiting.order());
        orders.reduce(|first, order| match order.is_before(&first) {
            true => order,
            false => first,
        })
    }

    /// Returns the number of requests that wait here and are at least as urgent as
    /// `reserve`.
    pub fn own_ahead(&self, resource: LeasedResource, reserve: ReserveShare) -> usize {
        let own = self.queues.get(&resource).into_iter().flatten();
        let ahead = |waiting: &&Waiting| waiting.reserve <= reserve && waiting.is_open();
        own.filter(ahead).count()
    }

    /// Returns the number of requests that wait at members other than the one at `link`
    /// and are at least as urgent as `reserve`.
    pub fn members_ahead(
        &self,
        resource: LeasedResource,
        link: Option<LinkId>,
        reserve: ReserveShare,
        now: Instant,
    ) -> u32 {
        let members = self.other_members(resource, link, now);
        let ahead = members.filter(|waiting| waiting.reserve <= reserve);
        ahead.map(WaitingAtMember::count).sum()
    }

    /// Returns the number of requests that get units before a request in the place `order`
    /// at the member at `link`, or here if that is `None`.
    pub fn count_before(
        &self,
        resource: LeasedResource,
        link: Option<LinkId>,
        order: &QueueOrder,
        now: Instant,
    ) -> u32 {
        let own = self.queues.get(&resource).into_iter().flatten();
        let own = own
            .filter(|waiting| waiting.is_open() && waiting.order().is_before(order))
            .count() as u32;
        let members = self.other_members(resource, link, now);
        own + members
            .map(|waiting| waiting.count_before(order))
            .sum::<u32>()
    }

    /// Returns whether requests wait here or at members.
    pub fn has_any(&self, resource: LeasedResource, now: Instant) -> bool {
        let at_members = self.members_ahead(resource, None, ReserveShare::INFINITY, now);
        self.len(resource) > 0 || at_members > 0
    }

    fn other_members(
        &self,
        resource: LeasedResource,
        link: Option<LinkId>,
        now: Instant,
    ) -> impl Iterator<Item = &WaitingAtMember> {
        let members = self.at_members.get(&resource).into_iter().flatten();
        members
            .filter(move |(member, waiting)| {
                Some(**member) != link && waiting.is_current(now)
            })
            .map(|(_, waiting)| waiting)
    }

    /// Refuses the request that came last of the least urgent ones, if these are less
    /// urgent than `reserve`. Returns whether there was one.
    pub fn displace(
        &mut self,
        resource: LeasedResource,
        reserve: ReserveShare,
        outcome: AcquireOutcome,
    ) -> bool {
        let Some(waiting) = self.queues.get_mut(&resource) else {
            return false;
        };
        waiting.retain(Waiting::is_open);
        let by_reserve = |(_, one): &(usize, &Waiting),
                          (_, other): &(usize, &Waiting)| {
            one.reserve.total_cmp(&other.reserve)
        };
        // `max_by` returns the last of several equal elements.
        let last = waiting.iter().enumerate().max_by(by_reserve);
        let last = last.filter(|(_, waiting)| waiting.reserve > reserve);
        let Some(last) = last.map(|(index, _)| index) else {
            return false;
        };
        if let Some(displaced) = waiting.remove(last) {
            let _ = displaced.sender.try_send(outcome);
        }
        true
    }

    /// Refuses the waiting requests beyond the places of a queue, the least urgent and the
    /// last ones first.
    pub fn trim(&mut self, resource: LeasedResource, report: &QueueReport) {
        let Some(waiting) = self.queues.get_mut(&resource) else {
            return;
        };
        sort_by_urgency(waiting);
        let refusal = AcquireOutcome::Refused(report.free_in());
        let mut before = 0;
        waiting.retain(|waiting| {
            let has_place = before < report.places(waiting.reserve);
            before += 1;
            if !has_place {
                let _ = waiting.sender.try_send(refusal);
            }
            has_place
        });
        if waiting.is_empty() {
            self.queues.remove(&resource);
        }
    }

    /// Returns the reserves of the requests that wait for a quota, the most urgent first.
    pub fn reserves(&self, resource: LeasedResource) -> Vec<ReserveShare> {
        let waiting = self.queues.get(&resource).into_iter().flatten();
        let mut reserves: Vec<_> = waiting.map(|waiting| waiting.reserve).collect();
        reserves.sort_by(f32::total_cmp);
        reserves
    }

    /// Adds a request to the end of the queue of a quota.
    pub fn enqueue(
        &mut self,
        resource: LeasedResource,
        reserve: ReserveShare,
        now: Instant,
    ) -> PendingGrant {
        let (sender, receiver) = async_channel::bounded(1);
        let waiting = self.queues.entry(resource).or_default();
        waiting.retain(Waiting::is_open);
        waiting.push_back(Waiting {
            sender,
            reserve,
            since: now,
        });
        receiver
    }

    /// Grants `granted` units to the most urgent waiting requests. If a refusal is given,
    /// it goes to those of the others that may not wait as long as it says. Returns the
    /// number of requests granted.
    pub fn notify(
        &mut self,
        resource: LeasedResource,
        granted: u32,
        refusal: Option<AcquireOutcome>,
        now: Instant,
    ) -> u32 {
        let Some(waiting) = self.queues.get_mut(&resource) else {
            return 0;
        };
        sort_by_urgency(waiting);
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
            self.queues.remove(&resource);
        }
        granted as u32
    }

    /// Evicts the requests that were given up, and outdated counts of members.
    pub fn evict_closed(&mut self, now: Instant) {
        self.queues.retain(|_, waiting| {
            waiting.retain(Waiting::is_open);
            !waiting.is_empty()
        });
        self.at_members.retain(|_, members| {
            members.retain(|_, waiting| waiting.is_current(now));
            !members.is_empty()
        });
    }
}

impl WaitingAtMember {
    fn count(&self) -> u32 {
        self.arrivals.iter().map(|(_, count)| count).sum()
    }

    /// Returns how many of the requests get units before one in the place `order`.
    fn count_before(&self, order: &QueueOrder) -> u32 {
        let is_before = |since: Instant| {
            let reserve = self.reserve;
            QueueOrder { reserve, since }.is_before(order)
        };
        let before = self.arrivals.iter().filter(|(since, _)| is_before(*since));
        before.map(|(_, count)| count).sum()
    }

    fn drop_first(&mut self, mut dropped: u32) {
        while let Some((_, count)) = self.arrivals.front_mut() {
            let taken = dropped.min(*count);
            *count -= taken;
            dropped -= taken;
            if *count > 0 {
                break;
            }
            self.arrivals.pop_front();
        }
    }

    fn keep_first(&mut self, kept: u32) {
        let mut excess = self.count().saturating_sub(kept);
        while let Some((_, count)) = self.arrivals.back_mut() {
            let taken = excess.min(*count);
            *count -= taken;
            excess -= taken;
            if *count > 0 {
                break;
            }
            self.arrivals.pop_back();
        }
    }

    fn is_current(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < MEMBER_COUNT_TTL
    }
}

/// Sorts waiting requests by urgency, and by arrival where that is equal; drops those that
/// were given up.
fn sort_by_urgency(waiting: &mut VecDeque<Waiting>) {
    waiting.retain(Waiting::is_open);
    let by_reserve =
        |one: &Waiting, other: &Waiting| one.reserve.total_cmp(&other.reserve);
    waiting.make_contiguous().sort_by(by_reserve);
}

/// Returns whether a unit that is expected after `more_in` is worth waiting for, instead
/// of refusing the request. Shares refill continuously, and hubs may divide them unevenly
/// for about `MAX_WAIT`.
pub fn is_soon(more_in: Duration) -> bool {
    more_in <= MAX_WAIT
}

/// Time for which a request may wait for a unit that is expected. It applies when a
/// refusal is known; the first waiting request has `MAX_WAIT_OF_FIRST`. It is a small
/// part of the time in which a response is wanted, and a caller over its limit is refused
/// within it.
pub const MAX_WAIT: Duration = Duration::from_millis(250);
/// Time for which the first waiting request, the most urgent one, may wait when a refusal
/// is known, because it gets the next unit.
const MAX_WAIT_OF_FIRST: Duration = Duration::from_millis(600);
/// Time for which the number of requests that wait at a member is counted. A member asks
/// again for those that wait at most 100 ms after a reply.
const MEMBER_COUNT_TTL: Duration = Duration::from_millis(150);
