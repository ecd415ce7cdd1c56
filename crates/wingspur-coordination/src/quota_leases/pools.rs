//! The pools of this box's shares of all quotas, from which quota is taken and leased.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use wingspur_protocol::{LeasedResource, QuotaLeaseReply, QuotaLeaseRequest};
use wingspur_state::{
    AcquireOutcome, DataCentreId, PrefetchRequest, QuotaPool, ShareHistory,
};

use super::topology::{FindQuota, Quota, QuotaAllocator, QuotaTopology};
use super::waiting_queue::{MAX_WAIT, ReserveShare};
use crate::LinkId;

/// A demand for units that are used at once.
#[derive(Debug, Clone)]
pub struct Demand {
    pub resource: LeasedResource,
    pub wanted: u32,
    pub reserve: ReserveShare,
    /// The requests for units of an account's quota, in order: how many, and how many
    /// units are left to others that wait and come before them.
    pub parts: Vec<(u32, u32)>,
    /// The requests that wait already.
    pub ahead: usize,
}

/// The history of this box's shares, and a pool for each quota that was recently used.
#[derive(Debug)]
pub struct SharePools {
    /// History of this box's share of quotas that each hub allocates for its members.
    share_history: ShareHistory,
    /// History of its share of quotas that the hub of one data centre allocates for all
    /// boxes.
    data_centre_histories: BTreeMap<DataCentreId, ShareHistory>,
    pools: HashMap<LeasedResource, QuotaPool>,
}

impl Demand {
    /// Leases units of a pool, and returns how many.
    fn lease(
        &self,
        pool: &mut QuotaPool,
        quota: &Quota,
        share_history: &ShareHistory,
        now: Instant,
    ) -> u32 {
        let terms = &quota.terms;
        if !is_account(self.resource) {
            let reserve = self.reserve.into();
            return pool.lease_on_demand(self.wanted, reserve, terms, share_history, now);
        }
        let available = pool.whole_tokens(terms, share_history, now);
        let mut granted = 0;
        for (count, kept_back) in &self.parts {
            let left = available.saturating_sub(granted + kept_back);
            granted += left.min(*count);
        }
        let granted = granted.min(self.wanted);
        pool.lease_on_demand(granted, 0.0, terms, share_history, now)
    }
}

impl SharePools {
    /// Creates the pools of a box that starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            share_history: ShareHistory::new(now),
            data_centre_histories: BTreeMap::new(),
            pools: HashMap::new(),
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

    /// Takes one unit of this box's own share for a request. The outcome is `Unknown` if there is no quota or the box has no share
    /// of it, or if no unit is left but the share has changed recently and the queue is
    /// not too long.
    pub fn take(
        &mut self,
        demand: &Demand,
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
        let pool = self.pools.entry(demand.resource).or_default();
        if demand.lease(pool, quota, share_history, now) == 1 {
            return AcquireOutcome::Acquired;
        }
        let ahead = demand.ahead;
        match is_share_settled(quota, share_history)
            || is_queue_too_long(ahead, quota, share_history)
        {
            false => AcquireOutcome::Unknown,
            true => {
                AcquireOutcome::Refused(expected_wait(pool, quota, share_history, ahead))
            }
        }
    }

    /// Leases quota that a box prefetches.
    pub fn grant_prefetch(
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
    pub fn grant_on_demand(
        &mut self,
        request: &QuotaLeaseRequest,
        parts: Vec<(u32, u32)>,
        topology: &QuotaTopology,
        quota: Option<&Quota>,
        now: Instant,
    ) -> QuotaLeaseReply {
        let denied = QuotaLeaseReply::denied(request);
        let demand = Demand {
            resource: request.resource,
            wanted: request.on_demand_count,
            reserve: request.reserve,
            parts,
            ahead: 0,
        };
        let (share_history, histories) =
            (&self.share_history, &self.data_centre_histories);
        let Some((quota, share_history)) =
            quota_with_history(quota, topology, share_history, histories)
        else {
            return denied;
        };
        let pool = self.pools.entry(request.resource).or_default();
        let granted = demand.lease(pool, quota, share_history, now);
        let missing = (request.on_demand_count - granted) as usize;
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
    pub fn more_in(
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

    /// Returns how many units of an account's quota fall due while a request waits, and
    /// the time until one more request may wait if `waiting` do. `elsewhere` requests may
    /// wait for units of other hubs. `None` if there is no quota.
    ///
    /// As many may wait as units fall due in the longest wait. While the share moves
    /// between boxes, as many may wait as an assumed share refills in `QUEUE_WINDOW`.
    pub fn units_due(
        &mut self,
        resource: LeasedResource,
        (waiting, elsewhere): (u32, u32),
        topology: &QuotaTopology,
        quota: Option<&Quota>,
    ) -> Option<(u32, Duration)> {
        let (share_history, histories) =
            (&self.share_history, &self.data_centre_histories);
        let quota = quota?;
        let with_history =
            quota_with_history(Some(quota), topology, share_history, histories);
        let pool = self.pools.entry(resource).or_default();
        Some(match with_history {
            Some((quota, share_history)) if is_share_settled(quota, share_history) => {
                let due_in = |span| pool.tokens_due(span, &quota.terms, share_history);
                let due = due_in(MAX_WAIT.saturating_sub(REQUEST_INTERVAL));
                let due = due.max(due_in(MAX_WAIT).min(1)) + elsewhere;
                let excess = waiting.saturating_sub(due) as usize;
                (due, expected_wait(pool, quota, share_history, excess))
            }
            _ => (unsettled_places(quota, share_history), QUEUE_WINDOW),
        })
    }

    /// Returns units that were granted and are not needed to the pool.
    pub fn return_unused(&mut self, resource: LeasedResource, count: u32) {
        self.pools.entry(resource).or_default().return_unused(count);
    }

    /// Evicts the pools that are full, and those of quotas that no longer exist.
    pub fn evict_full(&mut self, find: FindQuota<'_>, now: Instant) {
        let (share_history, data_centre_histories) =
            (&self.share_history, &self.data_centre_histories);
        self.pools.retain(|resource, pool| {
            find(*resource).is_some_and(|quota| {
                let share_history =
                    history_of(share_history, data_centre_histories, &quota.allocator);
                !pool.is_full(&quota.terms, share_history, now)
            })
        });
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
    if !is_share_settled(quota, share_history) {
        return waiting >= unsettled_places(quota, share_history) as usize;
    }
    let refill = quota.terms.per_s * share_history.share() * QUEUE_WINDOW.as_secs_f64();
    waiting as f64 >= refill.max(1.0)
}

/// Returns how many requests may wait while the share moves between boxes: as many as at
/// least `ASSUMED_SHARE` refills in `QUEUE_WINDOW`, and twice the standard deviation of as
/// many random arrivals, but no more than the whole quota refills in that time, and at
/// least one. Without the deviation, an account of twelve requests a second was refused
/// below its limit, since only six could wait.
fn unsettled_places(quota: &Quota, share_history: &ShareHistory) -> u32 {
    let whole_refill = quota.terms.per_s * QUEUE_WINDOW.as_secs_f64();
    let refill = whole_refill * share_history.max_recent_share().max(ASSUMED_SHARE);
    let places = (refill + 2.0 * refill.sqrt()).min(whole_refill);
    places.max(1.0).ceil() as u32
}

/// Returns whether boxes may prefetch quota of a resource: only for accounts. Servers
/// take only a few requests a second, so a unit that one box holds unused would be
/// missing at the others.
pub fn allows_prefetch(resource: LeasedResource) -> bool {
    is_account(resource)
}

/// Returns whether the quota is that of an account.
pub fn is_account(resource: LeasedResource) -> bool {
    matches!(resource, LeasedResource::Account(_))
}

/// Returns a span in milliseconds.
pub fn millis(span: Duration) -> u32 {
    span.as_millis().min(u128::from(u32::MAX)) as u32
}

/// Minimum refill rate, in units per second, that is assumed for the expected wait.
const MIN_REFILL_PER_S: f64 = 0.01;
/// Upper bound on the queue's part of the expected wait. It is above `MAX_WAIT`, so it
/// affects only the wait that is reported: no request waits as long.
const MAX_REPORTED_WAIT: Duration = Duration::from_secs(10);
/// A member asks again for the requests that wait there at most this time after a reply,
/// so a unit that falls due later than this before the end of a wait may come too late.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Share that a hub may get in a fleet with few data centres, assumed for a share that
/// has changed recently.
const ASSUMED_SHARE: f64 = 0.5;
/// Time over which the refill is compared with the number of waiting requests. While no
/// refusal is known, a request for an account's quota may wait longer than this, until
/// the caller of `acquire` stops waiting.
const QUEUE_WINDOW: Duration = Duration::from_secs(1);
