//! Leases resends from the retry budgets of other boxes and handles their lease requests.

use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use wingspur_coordination::{LinkId, QuotaMessage, QuotaMessages};
use wingspur_protocol::{
    LeasedResource, QuotaLeaseReply, QuotaLeaseRequest, ResendBudgetUsage,
};
use wingspur_state::{RESEND_LEASE_TTL, ResendKind, server_key};

use crate::edge_state::EdgeState;
use crate::peers::lease_messages::send_lease_messages;
use crate::quotas::resend_leases::{ForwardedRequest, ResendBudgetReports, resend_kind};
use crate::services::ServiceState;

/// Asks other boxes for one unit of retry budget. Returns whether it was granted in time.
///
/// A box handles few requests of a service, so its share is one or two resends. The first
/// failures use these up while the shares of other boxes remain unused.
pub async fn lease_resend(
    shared: &EdgeState,
    service: &ServiceState,
    kind: ResendKind,
) -> bool {
    let Some((number, receiver)) = request_resend_lease(shared, service, kind) else {
        return false;
    };
    let granted = async { receiver.recv().await.unwrap_or(false) };
    let expired = async {
        wingspur_clock::sleep(RESEND_LEASE_TTL).await;
        false
    };
    let granted = granted.or(expired).await;
    shared.resend_leases.lock().pending.remove(&number);
    granted
}

/// Sends a lease request to the own hub, or to the box with the most budget left. Returns
/// the number of the request and the channel for the reply; `None` if there is no box to
/// ask.
fn request_resend_lease(
    shared: &EdgeState,
    service: &ServiceState,
    kind: ResendKind,
) -> Option<(u32, async_channel::Receiver<bool>)> {
    let resource = resend_resource(service, kind);
    let sources = shared.links.lock().lease_sources();
    let mut leases = shared.resend_leases.lock();
    let to = match sources.own_hub {
        Some(hub) => hub,
        None => leases.choose_lender(&sources, resource, None)?,
    };
    let number = leases.next_request_number();
    let (sender, receiver) = async_channel::bounded(1);
    leases.pending.insert(number, sender);
    drop(leases);
    let request = QuotaLeaseRequest {
        request_id: number,
        resource,
        held: 0.0,
        on_demand_count: 1,
        reserve: 0.0,
        wanted: 0.0,
    };
    send_lease_messages(shared, vec![QuotaMessage::request(to, request)]);
    Some((number, receiver))
}

/// Handles another box's lease request for a resend: grants it from this box's own
/// budget, forwards it to a box with budget left, or refuses it. Returns the message to
/// send.
pub fn handle_resend_lease_request(
    shared: &EdgeState,
    link: LinkId,
    request: &QuotaLeaseRequest,
) -> QuotaMessages {
    let now = wingspur_clock::now();
    if try_lend_own(shared, request.resource, now) {
        return vec![lease_reply(
            link,
            request.request_id,
            request.resource,
            true,
        )];
    }
    let sources = shared.links.lock().lease_sources();
    if sources.own_hub == Some(link) {
        return vec![lease_reply(
            link,
            request.request_id,
            request.resource,
            false,
        )];
    }
    let mut leases = shared.resend_leases.lock();
    let Some(to) = leases.choose_lender(&sources, request.resource, Some(link)) else {
        return vec![lease_reply(
            link,
            request.request_id,
            request.resource,
            false,
        )];
    };
    let number = leases.next_request_number();
    let forwarded = ForwardedRequest {
        from: link,
        number: request.request_id,
        at: now,
    };
    leases
        .forwarded
        .retain(|_, forwarded| forwarded.at + FORWARDED_TTL > now);
    leases.forwarded.insert(number, forwarded);
    let request = QuotaLeaseRequest {
        request_id: number,
        ..*request
    };
    vec![QuotaMessage::request(to, request)]
}

/// Handles the reply to a lease request: delivers it to the waiting task of this box, or
/// returns the reply to the box whose request was forwarded.
pub fn handle_resend_lease_reply(
    shared: &EdgeState,
    reply: &QuotaLeaseReply,
) -> QuotaMessages {
    let granted = reply.on_demand_granted > 0;
    let mut leases = shared.resend_leases.lock();
    if let Some(waiter) = leases.pending.remove(&reply.request_id) {
        // Sending fails if the waiting task has timed out, which needs no handling.
        let _ = waiter.try_send(granted);
        return QuotaMessages::new();
    }
    let forwarded = leases.forwarded.remove(&reply.request_id);
    let message = |forwarded: ForwardedRequest| {
        lease_reply(forwarded.from, forwarded.number, reply.resource, granted)
    };
    forwarded.map(message).into_iter().collect()
}

/// Returns the usage of the retry budgets at this box, and summed over it and its
/// members.
pub fn resend_budget_reports(shared: &EdgeState, now: Instant) -> ResendBudgetReports {
    if let Some((at, report)) = &shared.resend_leases.lock().last_report
        && now.saturating_duration_since(*at) < REPORT_CACHE_TTL
    {
        return report.clone();
    }
    let membership = shared.fleet_membership();
    let usage_of = |service: &ServiceState| {
        let mut budget = service.budget.lock();
        let check = budget.check(ResendKind::AfterFailure, membership, now);
        ResendBudgetUsage {
            service: server_key(&service.name),
            spent: check.spent as f32,
            limit: check.limit() as f32,
        }
    };
    let services = shared.services.all();
    let own: Vec<_> = services.iter().map(|service| usage_of(service)).collect();
    let members = shared.links.lock().lease_sources().members;
    let mut leases = shared.resend_leases.lock();
    let aggregate = leases.aggregate_with(&own, &members);
    let report = ResendBudgetReports { own, aggregate };
    leases.last_report = Some((now, report.clone()));
    report
}

/// Lends a resend from this box's own budget and counts it there. Returns whether it did.
fn try_lend_own(shared: &EdgeState, resource: LeasedResource, now: Instant) -> bool {
    let Some((key, kind)) = resend_kind(resource) else {
        return false;
    };
    let services = shared.services.all();
    let mut candidates = services.iter();
    let service = candidates.find(|service| server_key(&service.name) == key);
    let membership = shared.fleet_membership();
    service.is_some_and(|service| {
        let mut budget = service.budget.lock();
        budget.try_lend(kind, membership, now).allowed
    })
}

fn resend_resource(service: &ServiceState, kind: ResendKind) -> LeasedResource {
    let key = server_key(&service.name);
    match kind {
        ResendKind::AfterFailure => LeasedResource::Resend(key),
        ResendKind::Hedge => LeasedResource::Hedge(key),
    }
}

fn lease_reply(
    link: LinkId,
    number: u32,
    resource: LeasedResource,
    granted: bool,
) -> QuotaMessage {
    let reply = QuotaLeaseReply {
        request_id: number,
        resource,
        on_demand_granted: u32::from(granted),
        prefetch_granted: 0.0,
        renewed: false,
        retry_after_ms: None,
        queue: None,
    };
    QuotaMessage::reply(link, reply, true)
}

/// How long computed budget reports are reused, since each frame asks for them.
const REPORT_CACHE_TTL: Duration = Duration::from_millis(100);
/// How long a forwarded lease request is kept; the box that made it has timed out by
/// then.
const FORWARDED_TTL: Duration = Duration::from_millis(500);
