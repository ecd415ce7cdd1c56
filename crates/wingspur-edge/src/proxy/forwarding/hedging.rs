//! Hedges of a request: when a second attempt starts beside a slow one, and where.

use std::time::{Duration, Instant};

use wingspur_state::{BudgetDecision, HedgeInputs, ResendKind, hedge_delay, server_key};

use super::RequestForwarder;
use crate::quotas::resend_lease_exchange::lease_resend;

impl RequestForwarder {
    /// Returns when a hedge is sent if the latest attempt has had no response by then;
    /// `None` if the request may not be hedged.
    pub(super) fn hedge_at(&self) -> Option<Instant> {
        let (began, pick) = self.latest_attempt.as_ref().filter(|_| self.may_hedge())?;
        let budget_used_ratio = self.budget_used_ratio();
        let target = Duration::from_millis(self.route.route.target_latency_ms);
        let on_target_until = self.outgoing.arrived + target;
        let after = hedge_delay(&HedgeInputs {
            failure_probability: pick.failure_probability,
            expected: Duration::from_secs_f64(pick.healthy_ms / 1000.0),
            service_time: self.route.stats.service_time(),
            time_to_latency_target: on_target_until.saturating_duration_since(*began),
            budget_used_ratio,
        });
        Some(*began + after)
    }

    /// Returns the ratio of the retry budget that is used, as reported by this box's hub
    /// for all its boxes. Without a report it is that of this box's own share.
    fn budget_used_ratio(&self) -> f64 {
        let hub = self.shared.links.lock().own_hub();
        let service = server_key(&self.service.name);
        let reported = hub.and_then(|hub| {
            let leases = self.shared.resend_leases.lock();
            leases.used_ratio(hub, service)
        });
        reported.unwrap_or_else(|| {
            let decision = self.check_budget(ResendKind::Hedge);
            f64::from(decision.spent) / decision.limit().max(1.0)
        })
    }

    /// Sends a hedge beside a slow attempt if a server is expected to respond in time. If
    /// this box has no resend left for it, asks other boxes to lease one.
    pub(super) fn hedge(&mut self) {
        let budget = self.reserve_resend(ResendKind::Hedge);
        if budget.allowed {
            return self.hedge_with_decision(&budget);
        }
        let (shared, service) = (self.shared.clone(), self.service.clone());
        self.hedge_lease = Some(Box::pin(async move {
            lease_resend(&shared, &service, ResendKind::Hedge).await
        }));
    }

    pub(super) fn hedge_if_leased(&mut self, leased: bool) {
        self.hedge_lease = None;
        if !self.may_hedge() {
            // The request may not be hedged any more, for example because the attempt has
            // ended meanwhile. A leased resend expires by itself.
            return;
        }
        let mut budget = self.check_budget(ResendKind::Hedge);
        budget.allowed = leased;
        if leased {
            self.resends.record_leased();
        }
        self.hedge_with_decision(&budget);
    }

    fn hedge_with_decision(&mut self, budget: &BudgetDecision) {
        let remaining_ms = self.remaining().as_secs_f64() * 1000.0;
        if budget.allowed
            && self.needs_relay()
            && let Some(relay) = self.pick_relay()
        {
            self.log_decision("hedged", "silent", self.count_tried(), budget);
            self.shared.metrics.hedges.inc();
            return self.start_relayed_attempt(relay);
        }
        let pick = if budget.allowed { self.pick() } else { None };
        let in_time = pick.filter(|pick| pick.expected_ms < remaining_ms);
        let Some(pick) = in_time else {
            let reason = if budget.allowed {
                "no_server_in_time"
            } else {
                "budget_spent"
            };
            self.resends.release_unsent();
            self.shared.metrics.count_unhedged(reason);
            self.log_decision("not hedged", reason, self.count_tried(), budget);
            // Less time is left later, so no further hedge is tried.
            self.hedging_ruled_out = true;
            return;
        };
        self.log_decision("hedged", "silent", self.count_tried(), budget);
        self.shared.metrics.hedges.inc();
        self.start_attempt(pick);
    }

    fn may_hedge(&self) -> bool {
        self.is_retry_safe()
            && !self.hedging_ruled_out
            && self.hedge_lease.is_none()
            && self.running_attempts.len() == 1
            && self.can_resend_body()
            && self.attempts_made() < self.max_attempts()
            && !self.needs_permit()
    }
}
