//! Admission by urgency: whether a request goes to a service that is over its capacity.

use std::time::{Duration, Instant};

use wingspur_protocol::ResultCode;
use wingspur_state::{
    LevelNeeds, MembershipState, ReportState, UrgencyCounts, UrgencyDecision,
    UrgencyInputs, decide_by_urgency, urgency_level,
};

use super::RequestForwarder;
use crate::log_values::{id_text, round_for_log};

impl RequestForwarder {
    /// Counts the request in its service's load, and records what it needs.
    pub(super) fn count_request(&self) {
        let now = wingspur_clock::now();
        let level = urgency_level(self.priority());
        if !self.shared.settings().admission_by_urgency {
            return self.service.budget.lock().count_request(now);
        }
        let by_urgency = UrgencyCounts::one_of(level);
        let mut budget = self.service.budget.lock();
        budget.count_request_of(by_urgency, now);
        drop(budget);
        let needs = self.needs();
        let mut urgency = self.service.urgency.lock();
        urgency.record_needs(level, needs, now);
    }

    /// Refuses the request if its service is over its capacity and more urgent requests
    /// would miss their targets. Nothing has been sent to a server yet.
    ///
    /// Has no effect while the settings do not enable it, or all requests of the service
    /// have the same urgency. A box that
    /// does not reach the service leaves the request to its relay, because its own
    /// failed connections say nothing about the servers.
    pub(super) fn admit_by_urgency(&mut self) -> Result<(), ResultCode> {
        let now = wingspur_clock::now();
        let is_enabled = self.shared.settings().admission_by_urgency;
        if !is_enabled
            || self.needs_relay()
            || !self.service.budget.lock().has_mixed_urgency(now)
        {
            return Ok(());
        }
        let inputs = self.urgency_inputs(now);
        let decision = decide_by_urgency(&inputs);
        let metrics = &self.shared.metrics;
        metrics.count_urgency_decision(&self.service.name, self.priority(), &decision);
        self.log_urgency_decision(&inputs, &decision);
        if decision.admitted {
            return Ok(());
        }
        self.refused_by_urgency = Some(decision);
        Err(ResultCode::LessUrgent)
    }

    fn needs(&self) -> LevelNeeds {
        let stats = &self.route.stats;
        let target = Duration::from_millis(self.route.route.target_latency_ms);
        let service_time = stats.service_time();
        LevelNeeds::of_route(target, stats.typical_latency(), &service_time)
    }

    fn urgency_inputs(&self, now: Instant) -> UrgencyInputs {
        let membership = self.shared.fleet_membership();
        let is_cut_off = membership.state == MembershipState::Disconnected;
        let needs = self.needs();
        let budget = self.service.budget.lock();
        let boxes = budget.boxes();
        let reports = ReportState::new(boxes, is_cut_off, budget.report_age(now));
        let per_s = match reports {
            ReportState::CutOff => budget.own_load_by_urgency(now),
            ReportState::Current(_) | ReportState::Outdated(_) => {
                budget.load_by_urgency(now)
            }
        };
        drop(budget);
        let urgency = self.service.urgency.lock();
        let loads = urgency.with_needs(&per_s);
        let own_wait = urgency.own_wait(now);
        drop(urgency);
        let balancer = self.service.balancer.lock();
        let occupancy = balancer.occupancy(needs.typical, now);
        drop(balancer);
        let target_at = self.outgoing.arrived + needs.target;
        UrgencyInputs {
            level: urgency_level(self.priority()),
            needs,
            to_target: target_at.saturating_duration_since(now),
            to_deadline: self.remaining(),
            loads,
            occupancy,
            own_wait,
            reports,
            boxes,
            draw: rand::random(),
        }
    }

    fn log_urgency_decision(&self, inputs: &UrgencyInputs, decision: &UrgencyDecision) {
        let outcome = match decision.admitted {
            true => "admitted",
            false => "refused",
        };
        let [account, route] = self.priority().to_be_bytes();
        tracing::info!(
            id = id_text(self.outgoing.id.as_ref()),
            service = self.service.name,
            account_priority = account,
            route_priority = route,
            reason = decision.reason.as_str(),
            admitted_share = round_for_log(decision.admitted_share),
            asked_per_s = round_for_log(decision.asked_per_s),
            urgent_per_s = round_for_log(decision.urgent_per_s),
            capacity_per_s = round_for_log(inputs.occupancy.capacity_per_s),
            in_flight = inputs.occupancy.in_flight,
            slots = round_for_log(inputs.occupancy.slots),
            max_in_flight = round_for_log(decision.max_in_flight),
            reserve = round_for_log(decision.reserve),
            own_wait_ms = inputs.own_wait.map(|wait| wait.as_millis() as u64),
            reports = inputs.reports.as_str(),
            heard_ms = inputs.reports.age().map(|age| age.as_millis() as u64),
            boxes = inputs.boxes,
            room_in_ms = decision.room_in.as_millis() as u64,
            can_return = decision.can_return,
            to_target_ms = inputs.to_target.as_millis() as u64,
            left_ms = inputs.to_deadline.as_millis() as u64,
            "urgency: {outcome}."
        );
    }
}
