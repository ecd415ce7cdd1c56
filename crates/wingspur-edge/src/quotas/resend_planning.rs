//! Decides by the plan of a service's resends whether a request is sent again.

use std::time::{Duration, Instant};

use wingspur_state::{
    BudgetDecision, MembershipState, Pick, Priority, ResendGainInputs, ResendKind,
    ResendPlanDecision, ResendPlanInputs, RetryBudgetSettings, ServiceTime, resend_gain,
};

use crate::edge_state::EdgeState;
use crate::services::ServiceState;

/// A request that failed and may be sent again.
#[derive(Debug)]
pub struct ResendCandidate<'a> {
    /// The server that would get it.
    pub pick: &'a Pick,
    /// Its priority; 0 is the most urgent.
    pub priority: Priority,
    /// The number of attempts that its route allows.
    pub max_attempts: u8,
    /// The distribution of its route's successful response times.
    pub service_time: ServiceTime,
    /// The time left until its latency target is missed.
    pub time_to_latency_target: Duration,
    /// The time left until its deadline.
    pub time_to_deadline: Duration,
}

/// The decision on a resend, with the figures behind it.
#[derive(Debug, Clone, Copy)]
pub struct PlannedResend {
    /// The expected gain of the resend.
    pub gain: f64,
    /// The fraction of the latest attempts of all boxes that a server answered.
    pub answered_ratio: f64,
    /// The fraction of the retry budget that is used, over the boxes of a data centre.
    pub budget_used_ratio: f64,
    /// The age of the report that tells it; `None` if it is that of this box's own share.
    pub report_age: Option<Duration>,
    /// The decision.
    pub decision: ResendPlanDecision,
}

/// Counts that a request needs a resend, and decides whether it is worth its share of the
/// retry budget. Spends nothing.
pub fn plan_resend(
    shared: &EdgeState,
    service: &ServiceState,
    candidate: &ResendCandidate<'_>,
    now: Instant,
) -> PlannedResend {
    let pick = candidate.pick;
    let gain = resend_gain(&ResendGainInputs {
        failure_probability: pick.failure_probability,
        refusal_probability: pick.refusal_probability,
        expected: Duration::from_secs_f64(pick.expected_ms / 1000.0),
        service_time: candidate.service_time,
        time_to_latency_target: candidate.time_to_latency_target,
        time_to_deadline: candidate.time_to_deadline,
    });
    let membership = shared.fleet_membership();
    let mut budget = service.budget.lock();
    let own_share = budget.check(ResendKind::AfterFailure, membership, now);
    let requests_per_s = budget.service_load(now).requests_per_s;
    let settings = budget.settings();
    drop(budget);
    let (budget_used_ratio, report_age) =
        budget_used_ratio(shared, service, &own_share, now);
    let answered_ratio = service.balancer.lock().answered_ratio(now);
    let boxes = match membership.state {
        // The rate that such a box knows is its own.
        MembershipState::Disconnected => 1,
        MembershipState::Joining | MembershipState::Joined => membership.boxes,
    };
    let mut demand = service.resend_demand.lock();
    demand.count_needed(candidate.priority, gain, now);
    let inputs = ResendPlanInputs {
        priority: candidate.priority,
        gain,
        max_attempts: candidate.max_attempts,
        requests_per_s,
        budget_used_ratio,
        answered_ratio,
        boxes,
        settings: RetryBudgetSettings {
            slack: own_share.slack * membership.boxes as f64,
            ..settings
        },
    };
    let decision = demand.decide(&inputs, now);
    PlannedResend {
        gain,
        answered_ratio,
        budget_used_ratio,
        report_age,
        decision,
    }
}

/// Returns the fraction of the retry budget that is used and the age of the report that
/// tells it. All of it is used where less than one resend is left. Without a recent
/// report it is the fraction of this box's own share.
fn budget_used_ratio(
    shared: &EdgeState,
    service: &ServiceState,
    own_share: &BudgetDecision,
    now: Instant,
) -> (f64, Option<Duration>) {
    let own_hub = shared.links.lock().own_hub();
    let leases = shared.resend_leases.lock();
    let reported = leases.shared_usage(own_hub, service.key(), now);
    drop(leases);
    let (spent, limit) = reported.map_or(
        (f64::from(own_share.spent), own_share.limit()),
        |reported| (reported.usage.spent.into(), reported.usage.limit.into()),
    );
    let used = match limit - spent < 1.0 {
        true => 1.0,
        false => spent / limit,
    };
    (used, reported.map(|reported| reported.age))
}
