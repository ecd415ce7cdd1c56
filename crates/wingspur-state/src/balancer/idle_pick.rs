//! Picks the idle server that a request probes.

use std::time::{Duration, Instant};

use rand::Rng;

use super::{Balancer, Pick, PickRequest};
use crate::coverage::{
    CoverageInputs, IdleServer, TRUSTED_FAILURE_PROBABILITY, can_meet_floor,
    enforces_floor_strictly, pick_owned_probe,
};
use crate::tracked_server::{Distance, Server};
use crate::{Availability, ServiceLoad};

impl Balancer {
    /// Picks a server to probe that no box has sent a request for a while.
    pub(super) fn pick_idle(
        &self,
        request: &PickRequest<'_>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<Pick> {
        if !can_meet_floor(self.servers.len(), &request.service_load) {
            return None;
        }
        // The boxes in the same data centre as an idle server can probe it at a lower
        // cost.
        let local_only = request.cross_data_centre_cost >= EXPENSIVE_CROSSING
            && !enforces_floor_strictly(&request.service_load);
        let baseline_failure_ratio = self.baseline_failures.share();
        let to_idle_server = |server: &Server| {
            let key = server.record.key();
            let is_far = server.distance == Distance::OtherRegion;
            let is_local = server.distance == Distance::SameDataCentre;
            let is_too_far = is_far || (local_only && !is_local);
            let failure_probability =
                server.failure_probability(baseline_failure_ratio, now);
            IdleServer {
                key,
                idle_for: now.saturating_duration_since(server.last_request_at),
                failure_probability,
                failed_ago: failed_ago(server, failure_probability, now),
                is_local,
                is_eligible: !is_too_far && !request.tried.contains(&key),
            }
        };
        let servers = self.servers.values().filter(|server| {
            self.may_be_healthy(server, request.retry_safe, &request.service_load, now)
        });
        let servers: Vec<_> = servers.map(to_idle_server).collect();
        let inputs = CoverageInputs {
            retry_safe: request.retry_safe,
            service_load: request.service_load,
            role: self.coverage_role,
        };
        let probe = pick_owned_probe(&servers, &inputs, random)?;
        let server = self.servers.get(&probe.key)?;
        let estimate = self.estimate(server, request, baseline_failure_ratio, now);
        Some(Pick {
            probe: Some(probe),
            ..estimate.pick(server, servers.len(), now)
        })
    }

    /// Returns whether a server counts as one that may be healthy and is sent requests
    /// without quota.
    fn may_be_healthy(
        &self,
        server: &Server,
        retry_safe: bool,
        service_load: &ServiceLoad,
        now: Instant,
    ) -> bool {
        let failed = server
            .last_failure_at
            .is_some_and(|at| now < at + PROBE_DELAY_AFTER_FAILURE);
        let spares_faulty = !retry_safe && !enforces_floor_strictly(service_load);
        let was_faulty = spares_faulty
            && server
                .last_certain_failure_at
                .is_some_and(|at| now < at + PROBE_DELAY_AFTER_FAULT);
        // Servers with limits are not counted, because they are sent what their limits
        // allow. Draining servers and those that back off get no requests at all.
        !failed && !was_faulty && self.availability(server, now) == Availability::Open
    }
}

/// Returns the time since a server's last failure; `None` if it never failed or if it has
/// responded well since and is trusted again.
fn failed_ago(
    server: &Server,
    failure_probability: f64,
    now: Instant,
) -> Option<Duration> {
    let failed_at = server.last_failure_at?;
    let has_served_since = server.last_success_at.is_some_and(|at| at > failed_at);
    let is_restored =
        has_served_since && failure_probability < TRUSTED_FAILURE_PROBABILITY;
    (!is_restored).then(|| now.saturating_duration_since(failed_at))
}

/// How long after a failure a server counts again as one that may be healthy; the
/// requirement says two seconds.
const PROBE_DELAY_AFTER_FAILURE: Duration = Duration::from_millis(1500);
/// For requests that are not retry-safe, and while few requests fail, a server that was
/// almost certainly faulty counts as one that may be healthy only after this time: the
/// floor is judged by servers that have had no trouble for six seconds.
const PROBE_DELAY_AFTER_FAULT: Duration = Duration::from_millis(6000);
/// Requests with at least this cost to another data centre, as downloads have, do not
/// probe servers there, unless the floor is enforced strictly.
const EXPENSIVE_CROSSING: Duration = Duration::from_millis(300);
