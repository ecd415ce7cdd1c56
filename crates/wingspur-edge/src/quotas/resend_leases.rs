//! Resends that a box makes on the retry budget of another box, and which box it asks.
//!
//! Each box may make the resends that its own requests and its share of the slack allow.
//! A box without budget left asks its hub, which asks the box with the most budget left.
//! The lender counts the resend as its own, so leasing allows no more resends in total
//! than there would be without it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use wingspur_coordination::LinkId;
use wingspur_protocol::{LeasedResource, ResendBudgetUsage};
use wingspur_state::{ResendKind, ServerKey};

/// Retry budget usage reported by other boxes, and the lease requests in progress.
#[derive(Debug, Default)]
pub struct ResendLeases {
    usage_by_link: HashMap<LinkId, HashMap<ServerKey, ResendBudgetUsage>>,
    /// When each link's usage was last reported.
    reported_at: HashMap<LinkId, Instant>,
    /// This box's own lease requests by number, each with the channel of the task that
    /// waits for the reply: whether the resend was granted.
    pub pending: HashMap<u32, async_channel::Sender<bool>>,
    /// Lease requests of other boxes that this box has forwarded, by their number here.
    pub forwarded: HashMap<u32, ForwardedRequest>,
    next_number: u32,
    /// The usage last reported to other boxes, and when it was computed.
    pub last_report: Option<(Instant, ResendBudgetReports)>,
}

/// A lease request that was forwarded to a box with budget left.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// Link to the box that made the request.
    pub from: LinkId,
    /// Number that the requesting box gave it.
    pub number: u32,
    /// When it was forwarded.
    pub at: Instant,
}

/// Usage of the retry budgets as reported to other boxes, an entry per service.
#[derive(Debug, Clone, Default)]
pub struct ResendBudgetReports {
    /// Usage at this box.
    pub own: Vec<ResendBudgetUsage>,
    /// Usage summed over this box and its members.
    pub aggregate: Vec<ResendBudgetUsage>,
}

/// The usage of a service's retry budget over several boxes.
#[derive(Debug, Clone, Copy)]
pub struct SharedBudgetUsage {
    /// The usage.
    pub usage: ResendBudgetUsage,
    /// How long ago it was reported.
    pub age: Duration,
}

/// Linked boxes that a box may ask for a resend lease.
#[derive(Debug, Default)]
pub struct LeaseSources {
    /// The hub that this box is a member of; `None` if this box acts as a hub.
    pub own_hub: Option<LinkId>,
    /// The boxes that are members of this one.
    pub members: Vec<LinkId>,
    /// The hubs of other data centres.
    pub other_hubs: Vec<LinkId>,
}

impl ResendLeases {
    /// Stores the retry budget usage reported on a link. An empty report changes nothing.
    pub fn record_report(
        &mut self,
        link: LinkId,
        report: &[ResendBudgetUsage],
        now: Instant,
    ) {
        if !report.is_empty() {
            self.reported_at.insert(link, now);
            let usages = report.iter().map(|usage| (usage.service, *usage));
            self.usage_by_link.insert(link, usages.collect());
        }
    }

    /// Removes the reports of a link that has ended.
    pub fn forget(&mut self, link: LinkId) {
        self.usage_by_link.remove(&link);
        self.reported_at.remove(&link);
    }

    /// Returns the fraction of a service's retry budget that is spent over the boxes of a
    /// hub, according to the hub's last report. `None` if it has reported none for the
    /// service.
    pub fn used_ratio(&self, hub: LinkId, service: ServerKey) -> Option<f64> {
        let usage = self.usage_by_link.get(&hub)?.get(&service)?;
        Some(f64::from(usage.spent) / f64::from(usage.limit).max(1.0))
    }

    /// Returns the latest known usage of a service's retry budget over the boxes of this
    /// box's data centre: that reported by its hub, or as a hub the sum of its own and
    /// its members' usage. `None` without one, or if it is older than `MAX_USAGE_AGE`.
    pub fn shared_usage(
        &self,
        own_hub: Option<LinkId>,
        service: ServerKey,
        now: Instant,
    ) -> Option<SharedBudgetUsage> {
        let (at, usage) = match own_hub {
            Some(hub) => {
                let usage = self.usage_by_link.get(&hub)?.get(&service)?;
                (*self.reported_at.get(&hub)?, *usage)
            }
            None => {
                let (at, reports) = self.last_report.as_ref()?;
                let mut usages = reports.aggregate.iter();
                (*at, *usages.find(|usage| usage.service == service)?)
            }
        };
        let age = now.saturating_duration_since(at);
        (age <= MAX_USAGE_AGE).then_some(SharedBudgetUsage { usage, age })
    }

    /// Adds the usage last reported by the given members to this box's own.
    pub fn aggregate_with(
        &self,
        own: &[ResendBudgetUsage],
        members: &[LinkId],
    ) -> Vec<ResendBudgetUsage> {
        let reports = members
            .iter()
            .filter_map(|link| self.usage_by_link.get(link));
        let reports: Vec<_> = reports.collect();
        let sum_of = |own: &ResendBudgetUsage| {
            let usages = reports.iter().filter_map(|report| report.get(&own.service));
            usages.fold(*own, |sum, usage| ResendBudgetUsage {
                service: sum.service,
                spent: sum.spent + usage.spent,
                limit: sum.limit + usage.limit,
            })
        };
        own.iter().map(sum_of).collect()
    }

    /// Chooses the box to ask for a resend: the member with the most budget left, or else
    /// such a hub of another data centre, which asks its own members. A request that came
    /// from another data centre's hub goes to members only. Never returns `requester`;
    /// `None` if no box has budget left or `resource` is no resend.
    pub fn choose_lender(
        &mut self,
        sources: &LeaseSources,
        resource: LeasedResource,
        requester: Option<LinkId>,
    ) -> Option<LinkId> {
        let (service, kind) = resend_kind(resource)?;
        let from_hub = requester.is_some_and(|link| sources.other_hubs.contains(&link));
        let member =
            self.with_most_budget_left(&sources.members, service, kind, requester);
        let chosen = match member {
            None if !from_hub => {
                self.with_most_budget_left(&sources.other_hubs, service, kind, requester)
            }
            member => member,
        }?;
        // Counts the resend as spent there until the box sends its next report.
        let report = self.usage_by_link.get_mut(&chosen)?;
        report.get_mut(&service)?.spent += 1.0;
        Some(chosen)
    }

    fn with_most_budget_left(
        &self,
        links: &[LinkId],
        service: ServerKey,
        kind: ResendKind,
        excluded: Option<LinkId>,
    ) -> Option<LinkId> {
        let budget_left = |link: &LinkId| {
            let usage = self.usage_by_link.get(link)?.get(&service)?;
            Some(usage.limit * kind.budget_share() as f32 - usage.spent)
        };
        let others = links.iter().filter(|link| Some(**link) != excluded);
        let candidates = others.filter_map(|link| Some((*link, budget_left(link)?)));
        let candidates = candidates.filter(|(_, left)| *left >= 1.0);
        let most = candidates.max_by(|(_, a), (_, b)| a.total_cmp(b));
        most.map(|(link, _)| link)
    }

    /// Allocates the number of the next lease request.
    pub fn next_request_number(&mut self) -> u32 {
        self.next_number = self.next_number.wrapping_add(1);
        self.next_number
    }
}

/// Returns the service and the kind (retry or hedge) of a resend; `None` for other
/// resources.
pub fn resend_kind(resource: LeasedResource) -> Option<(ServerKey, ResendKind)> {
    match resource {
        LeasedResource::Resend(service) => Some((service, ResendKind::AfterFailure)),
        LeasedResource::Hedge(service) => Some((service, ResendKind::Hedge)),
        LeasedResource::Account(_)
        | LeasedResource::Server(_)
        | LeasedResource::Permit(_) => None,
    }
}

/// A box that has received no report for this long goes by its own share of the budget.
const MAX_USAGE_AGE: Duration = Duration::from_secs(1);
