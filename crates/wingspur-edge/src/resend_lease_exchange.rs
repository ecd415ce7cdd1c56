//! Asks other boxes for resends, and answers their questions.

use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use wingspur_coordination::{LinkId, QuotaMessage, QuotaMessages};
use wingspur_protocol::{
    LeasedResource, QuotaLeaseReply, QuotaLeaseRequest, ResendBudgetUsage,
};
use wingspur_state::{RESEND_LEASE_TTL, ResendKind, server_key};

use crate::edge_state::EdgeState;
use crate::lease_messages::send_lease_messages;
use crate::resend_leases::{ForwardedRequest, ResendBudgetReports, resend_kind};
use crate::services::ServiceState;

/// Asks other boxes for a resend; whether one has lent it.
///
/// Gain: a box sees few requests of a service, so its part is a resend or two, used up by the
/// first trouble while the parts of the others lie idle.
pub async fn lease_resend(
    shared: &EdgeState,
    service: &ServiceState,
    use_: ResendKind,
) -> bool {
    let Some((number, answered)) = ask_for_resend(shared, service, use_) else {
        return false;
    };
    let lent = async { answered.recv().await.unwrap_or(false) };
    let expired = async {
        wingspur_clock::sleep(RESEND_LEASE_TTL).await;
        false
    };
    let lent = lent.or(expired).await;
    shared.resend_leases.lock().pending.remove(&number);
    lent
}

/// Sends the question to whoever should have room; its number, and where the answer comes.
fn ask_for_resend(
    shared: &EdgeState,
    service: &ServiceState,
    use_: ResendKind,
) -> Option<(u32, async_channel::Receiver<bool>)> {
    let of = lendable(service, use_);
    let lenders = shared.links.lock().lease_sources();
    let mut loans = shared.resend_leases.lock();
    let to = match lenders.own_hub {
        Some(hub) => hub,
        None => loans.choose_lender(&lenders, of, None)?,
    };
    let number = loans.next_request_number();
    let (told, answered) = async_channel::bounded(1);
    loans.pending.insert(number, told);
    drop(loans);
    let request = QuotaLeaseRequest {
        request_id: number,
        resource: of,
        held: 0.0,
        on_demand_count: 1,
        reserve: 0.0,
        wanted: 0.0,
    };
    send_lease_messages(shared, vec![QuotaMessage::request(to, request)]);
    Some((number, answered))
}

/// Answers another box's question for a resend: lends, passes the question on, or declines.
pub fn handle_resend_lease_request(
    shared: &EdgeState,
    link: LinkId,
    request: &QuotaLeaseRequest,
) -> QuotaMessages {
    let now = wingspur_clock::now();
    if lends_itself(shared, request.resource, now) {
        return vec![answering(link, request.request_id, request.resource, true)];
    }
    let lenders = shared.links.lock().lease_sources();
    if lenders.own_hub == Some(link) {
        return vec![answering(link, request.request_id, request.resource, false)];
    }
    let mut loans = shared.resend_leases.lock();
    let Some(to) = loans.choose_lender(&lenders, request.resource, Some(link)) else {
        return vec![answering(link, request.request_id, request.resource, false)];
    };
    let number = loans.next_request_number();
    let passed = ForwardedRequest {
        from: link,
        number: request.request_id,
        at: now,
    };
    loans
        .forwarded
        .retain(|_, passed| passed.at + KEPT_FOR > now);
    loans.forwarded.insert(number, passed);
    let request = QuotaLeaseRequest {
        request_id: number,
        ..*request
    };
    vec![QuotaMessage::request(to, request)]
}

/// Takes in the answer to a question for a resend: this box's own, or one passed on.
pub fn handle_resend_lease_reply(
    shared: &EdgeState,
    answer: &QuotaLeaseReply,
) -> QuotaMessages {
    let lent = answer.on_demand_granted > 0;
    let mut loans = shared.resend_leases.lock();
    if let Some(asked) = loans.pending.remove(&answer.request_id) {
        // One that has given up does not listen any more.
        let _ = asked.try_send(lent);
        return QuotaMessages::new();
    }
    let passed = loans.forwarded.remove(&answer.request_id);
    let message = |passed: ForwardedRequest| {
        answering(passed.from, passed.number, answer.resource, lent)
    };
    passed.map(message).into_iter().collect()
}

/// How the retry budgets stand at this box, and over it and its members.
pub fn resend_budget_reports(shared: &EdgeState, now: Instant) -> ResendBudgetReports {
    if let Some((at, told)) = &shared.resend_leases.lock().last_report
        && now.saturating_duration_since(*at) < TOLD_FOR
    {
        return told.clone();
    }
    let standing = shared.fleet_membership();
    let room = |service: &ServiceState| {
        let mut budget = service.budget.lock();
        let answer = budget.check(ResendKind::AfterFailure, standing, now);
        ResendBudgetUsage {
            service: server_key(&service.name),
            spent: answer.spent as f32,
            limit: answer.limit() as f32,
        }
    };
    let services = shared.services.all();
    let own: Vec<_> = services.iter().map(|service| room(service)).collect();
    let members = shared.links.lock().lease_sources().members;
    let mut loans = shared.resend_leases.lock();
    let sums = loans.aggregate_with(&own, &members);
    let told = ResendBudgetReports {
        own,
        aggregate: sums,
    };
    loans.last_report = Some((now, told.clone()));
    told
}

/// Whether this box's own part has room for the resend of another; counts it.
fn lends_itself(shared: &EdgeState, of: LeasedResource, now: Instant) -> bool {
    let Some((key, use_)) = resend_kind(of) else {
        return false;
    };
    let services = shared.services.all();
    let mut named = services.iter();
    let service = named.find(|service| server_key(&service.name) == key);
    let standing = shared.fleet_membership();
    service.is_some_and(|service| {
        let mut budget = service.budget.lock();
        budget.try_lend(use_, standing, now).allowed
    })
}

fn lendable(service: &ServiceState, use_: ResendKind) -> LeasedResource {
    let key = server_key(&service.name);
    match use_ {
        ResendKind::AfterFailure => LeasedResource::Resend(key),
        ResendKind::Hedge => LeasedResource::Hedge(key),
    }
}

fn answering(link: LinkId, number: u32, of: LeasedResource, lent: bool) -> QuotaMessage {
    let answer = QuotaLeaseReply {
        request_id: number,
        resource: of,
        on_demand_granted: u32::from(lent),
        prefetch_granted: 0.0,
        renewed: false,
        retry_after_ms: None,
    };
    QuotaMessage::reply(link, answer, true)
}

/// How long what is told of the budgets counts as new: each frame asks for it.
const TOLD_FOR: Duration = Duration::from_millis(100);
/// Whoever asked has given up by then.
const KEPT_FOR: Duration = Duration::from_millis(500);
