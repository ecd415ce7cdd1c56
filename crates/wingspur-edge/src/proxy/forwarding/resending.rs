//! Resends of a request after an attempt has ended: whether there is one, and who pays.

use std::time::Duration;

use wingspur_protocol::ResultCode;
use wingspur_state::{
    AttemptEnd, BudgetDecision, ResendKind, RetryDecision, RetryReason, StopReason,
    decide_retry,
};

use super::RequestForwarder;
use crate::log_values::{id_text, round_for_log};
use crate::quotas::resend_lease_exchange::lease_resend;
use crate::quotas::resend_planning::{PlannedResend, ResendCandidate, plan_resend};

impl RequestForwarder {
    /// Checks this box's own share of the retry budget without spending any of it.
    pub(super) fn check_budget(&self, kind: ResendKind) -> BudgetDecision {
        let membership = self.shared.fleet_membership();
        let mut budget = self.service.budget.lock();
        budget.check(kind, membership, wingspur_clock::now())
    }

    /// Sends the request again if the retry rules and the budget allow it, and counts the
    /// decision. Otherwise returns the result code for the caller.
    ///
    /// A request that no server has got yet is sent as a first attempt instead, without
    /// these checks, until [`MAX_UNSENT_ATTEMPTS`] attempts could not be sent.
    pub(super) async fn resend(
        &mut self,
        end: AttemptEnd,
        code: ResultCode,
    ) -> Result<(), ResultCode> {
        if end == AttemptEnd::NotSent {
            let unsent = self.attempts().counts().unsent;
            let may_resend = unsent < MAX_UNSENT_ATTEMPTS && self.can_resend_body();
            if !may_resend {
                return Err(code);
            }
            if self.resends.sent == 0 && code != ResultCode::UnknownKey {
                // No server has got the request yet, so the next attempt is no resend.
                return self.send_first().await;
            }
        }
        if self.needs_permit() {
            let budget = self.check_budget(ResendKind::AfterFailure);
            return self.stop_retrying(StopReason::Quarantined, &budget, None, code);
        }
        match self.retry_decision(end, true) {
            RetryDecision::Retry(reason) => {
                self.resend_in_budget(reason, end, code).await
            }
            RetryDecision::Stop(reason) => {
                if matches!(
                    reason,
                    StopReason::MayHaveRun
                        | StopReason::BodyNotBuffered
                        | StopReason::TimeSpent
                ) {
                    let mut demand = self.service.resend_demand.lock();
                    demand.count_not_resendable(self.priority(), wingspur_clock::now());
                }
                let budget = self.check_budget(ResendKind::AfterFailure);
                self.stop_retrying(reason, &budget, None, code)
            }
        }
    }

    /// Decides by the plan of the service's resends whether this request gets one. `None`
    /// if no server can be picked for it, or if a relay would send it.
    fn plan_resend(&mut self) -> Option<PlannedResend> {
        if self.needs_relay() {
            return None;
        }
        self.update_avoided();
        let pick = self.pick()?;
        let (route, now) = (&self.route.route, wingspur_clock::now());
        let target = Duration::from_millis(route.target_latency_ms);
        let on_target_until = self.outgoing.arrived + target;
        let candidate = ResendCandidate {
            pick: &pick,
            priority: self.priority(),
            max_attempts: route.max_attempts,
            service_time: self.route.stats.service_time(),
            time_to_latency_target: on_target_until.saturating_duration_since(now),
            time_to_deadline: self.remaining(),
        };
        Some(plan_resend(&self.shared, &self.service, &candidate, now))
    }

    /// Counts the end of an attempt, for the plan of the service's resends.
    pub(super) fn count_attempt(&self, is_answered: bool) {
        let mut demand = self.service.resend_demand.lock();
        demand.count_attempt(is_answered, wingspur_clock::now());
    }

    /// Sends the request again if the plan and the retry budget allow it. The caller has
    /// checked all other retry rules.
    async fn resend_in_budget(
        &mut self,
        reason: RetryReason,
        end: AttemptEnd,
        code: ResultCode,
    ) -> Result<(), ResultCode> {
        let tried = self.count_tried();
        let plan = self.plan_resend();
        let plan = plan.as_ref();
        if let Some(reason) = plan.and_then(|plan| plan.decision.stop) {
            let budget = self.check_budget(ResendKind::AfterFailure);
            return self.stop_retrying(reason, &budget, plan, code);
        }
        let mut budget = self.reserve_resend(ResendKind::AfterFailure);
        if !budget.allowed {
            let leased =
                lease_resend(&self.shared, &self.service, ResendKind::AfterFailure);
            budget.allowed = leased.await;
            if budget.allowed {
                self.resends.record_leased();
            }
        }
        if !budget.allowed {
            // Without budget this is always `Stop`; it gives the reason to count and log.
            let RetryDecision::Stop(reason) = self.retry_decision(end, false) else {
                return Err(code);
            };
            return self.stop_retrying(reason, &budget, plan, code);
        }
        if let Err(code) = self.send_to_next_server().await {
            self.resends.release_unsent();
            self.log_planned("not sent again", code.name(), tried, &budget, plan);
            return Err(code);
        }
        self.shared.metrics.count_retry(reason);
        self.log_planned("sent again", reason.as_str(), tried, &budget, plan);
        Ok(())
    }

    fn stop_retrying(
        &self,
        reason: StopReason,
        budget: &BudgetDecision,
        plan: Option<&PlannedResend>,
        code: ResultCode,
    ) -> Result<(), ResultCode> {
        self.shared.metrics.count_retry_stop(reason);
        let tried = self.count_tried();
        self.log_planned("not sent again", reason.as_str(), tried, budget, plan);
        Err(code)
    }

    fn retry_decision(&self, end: AttemptEnd, in_budget: bool) -> RetryDecision {
        decide_retry(
            end,
            self.route.route.class,
            self.route.route.max_attempts,
            self.remaining(),
            self.attempts_made(),
            self.can_resend_body(),
            in_budget,
        )
    }

    /// Logs a decision that did not ask the plan of the service's resends.
    pub(super) fn log_decision(
        &self,
        outcome: &str,
        reason: &str,
        tried: usize,
        budget: &BudgetDecision,
    ) {
        self.log_planned(outcome, reason, tried, budget, None);
    }

    fn log_planned(
        &self,
        outcome: &str,
        reason: &str,
        tried: usize,
        budget: &BudgetDecision,
        plan: Option<&PlannedResend>,
    ) {
        let figure = |of: fn(&PlannedResend) -> f64| plan.map(|p| round_for_log(of(p)));
        let report_age = plan.and_then(|plan| plan.report_age);
        tracing::info!(
            id = id_text(self.outgoing.id.as_ref()),
            reason,
            tried,
            spent = budget.spent,
            limit = round_for_log(budget.limit()),
            credit = round_for_log(budget.credit),
            slack = round_for_log(budget.slack),
            boxes = budget.membership.boxes,
            contact = budget.membership.state.as_str(),
            priority = self.priority(),
            gain = figure(|plan| plan.gain),
            answered_share = figure(|plan| plan.answered_ratio),
            needed_above = figure(|plan| plan.decision.needed_above),
            available = figure(|plan| plan.decision.available),
            budget_used = figure(|plan| plan.budget_used_ratio),
            heard_ms = report_age.map(|age| age.as_millis() as u64),
            left_ms = self.remaining().as_millis() as u64,
            "retry: {outcome}."
        );
    }

    /// Reserves one more resend from this box's share of the retry budget, if allowed.
    pub(super) fn reserve_resend(&mut self, kind: ResendKind) -> BudgetDecision {
        let membership = self.shared.fleet_membership();
        self.resends.try_reserve(kind, membership)
    }
}

/// Number of servers that may turn out unreachable for one request. A box that is cut off
/// from half of the servers fails one request in 256.
const MAX_UNSENT_ATTEMPTS: usize = 8;
