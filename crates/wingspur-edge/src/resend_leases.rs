//! Resends that boxes make for each other's account: who has room, who is asked, who lends.
//!
//! Each box may make the resends that its own requests and its part of the slack allow; one
//! that has no room asks its hub, which asks the box with the most. Who lends counts the
//! resend as its own, so nothing is allowed that would not be without lending.

use std::collections::HashMap;
use std::time::Instant;

use wingspur_coordination::LinkId;
use wingspur_protocol::{LeasedResource, ResendBudgetUsage};
use wingspur_state::{ResendKind, ServerKey};

/// Who has room for resends, and which loans are under way.
#[derive(Debug, Default)]
pub struct ResendLeases {
    rooms: HashMap<LinkId, HashMap<ServerKey, ResendBudgetUsage>>,
    /// This box's own questions, with who waits for each answer.
    pub pending: HashMap<u32, async_channel::Sender<bool>>,
    /// Questions of other boxes that were passed on.
    pub forwarded: HashMap<u32, ForwardedRequest>,
    next_number: u32,
    /// What was told last, and when it was put together.
    pub last_report: Option<(Instant, ResendBudgetReports)>,
}

/// A question that was passed on to a box with room.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// Who asked.
    pub from: LinkId,
    /// The number of its question.
    pub number: u32,
    /// When it was passed on.
    pub at: Instant,
}

/// How the retry budgets stand, as it is told to other boxes.
#[derive(Debug, Clone, Default)]
pub struct ResendBudgetReports {
    /// At this box.
    pub own: Vec<ResendBudgetUsage>,
    /// Over this box and its members.
    pub aggregate: Vec<ResendBudgetUsage>,
}

/// Whom a box may ask.
#[derive(Debug, Default)]
pub struct LeaseSources {
    /// The hub that this box reports to.
    pub own_hub: Option<LinkId>,
    /// The boxes that report to this one.
    pub members: Vec<LinkId>,
    /// The hubs of other data centres.
    pub other_hubs: Vec<LinkId>,
}

impl ResendLeases {
    /// Takes in how the budgets stand at the other side of a link.
    pub fn record_report(&mut self, link: LinkId, rooms: &[ResendBudgetUsage]) {
        if !rooms.is_empty() {
            let rooms = rooms.iter().map(|room| (room.service, *room));
            self.rooms.insert(link, rooms.collect());
        }
    }

    /// Forgets a link that has ended.
    pub fn forget(&mut self, link: LinkId) {
        self.rooms.remove(&link);
    }

    /// The share of a service's budget that is spent over the boxes of a hub, as it tells.
    pub fn spent_share(&self, hub: LinkId, service: ServerKey) -> Option<f64> {
        let room = self.rooms.get(&hub)?.get(&service)?;
        Some(f64::from(room.spent) / f64::from(room.limit).max(1.0))
    }

    /// How the budgets stand at this box and some others together.
    pub fn aggregate_with(
        &self,
        own: &[ResendBudgetUsage],
        members: &[LinkId],
    ) -> Vec<ResendBudgetUsage> {
        let told = members.iter().filter_map(|link| self.rooms.get(link));
        let told: Vec<_> = told.collect();
        let sum_of = |own: &ResendBudgetUsage| {
            let rooms = told.iter().filter_map(|rooms| rooms.get(&own.service));
            rooms.fold(*own, |sum, room| ResendBudgetUsage {
                service: sum.service,
                spent: sum.spent + room.spent,
                limit: sum.limit + room.limit,
            })
        };
        own.iter().map(sum_of).collect()
    }

    /// Whom to ask for a resend: the member with the most room, or else the hub of another
    /// data centre with it, which asks its own members. None where nobody has room.
    pub fn choose_lender(
        &mut self,
        lenders: &LeaseSources,
        of: LeasedResource,
        asker: Option<LinkId>,
    ) -> Option<LinkId> {
        let (service, use_) = resend_kind(of)?;
        let from_hub = asker.is_some_and(|link| lenders.other_hubs.contains(&link));
        let here = self.with_most_room(&lenders.members, service, use_, asker);
        let chosen = match here {
            None if !from_hub => {
                self.with_most_room(&lenders.other_hubs, service, use_, asker)
            }
            here => here,
        }?;
        // Until it tells anew, it has one less.
        let rooms = self.rooms.get_mut(&chosen)?;
        rooms.get_mut(&service)?.spent += 1.0;
        Some(chosen)
    }

    fn with_most_room(
        &self,
        links: &[LinkId],
        service: ServerKey,
        use_: ResendKind,
        not: Option<LinkId>,
    ) -> Option<LinkId> {
        let room_of = |link: &LinkId| {
            let room = self.rooms.get(link)?.get(&service)?;
            Some(room.limit * use_.budget_share() as f32 - room.spent)
        };
        let others = links.iter().filter(|link| Some(**link) != not);
        let able = others.filter_map(|link| Some((*link, room_of(link)?)));
        let able = able.filter(|(_, room)| *room >= 1.0);
        let most = able.max_by(|(_, a), (_, b)| a.total_cmp(b));
        most.map(|(link, _)| link)
    }

    /// The number of the next question.
    pub fn next_request_number(&mut self) -> u32 {
        self.next_number = self.next_number.wrapping_add(1);
        self.next_number
    }
}

/// The service that a resend is for, and how sure it is; none for what is no resend.
pub fn resend_kind(of: LeasedResource) -> Option<(ServerKey, ResendKind)> {
    match of {
        LeasedResource::Resend(service) => Some((service, ResendKind::AfterFailure)),
        LeasedResource::Hedge(service) => Some((service, ResendKind::Hedge)),
        LeasedResource::Account(_)
        | LeasedResource::Server(_)
        | LeasedResource::Permit(_) => None,
    }
}
