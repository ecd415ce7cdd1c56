//! Picks backend servers of one service by the outcomes that all boxes have seen.
//!
//! Each candidate has a cost in milliseconds: its expected response time with the wait
//! for a slot, and the cost of a failure times its probability. One of the cheapest gets
//! the request. No server is ejected: one that fails is expensive, and becomes cheaper as
//! its failures age or the others fill up, so that no decision can remove the last
//! capacity.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::RngExt;
use rand::seq::SliceRandom;

use crate::choice_set::{
    MAX_EXTRA_COST_RATIO, MAX_EXTRA_COST_RATIO_WITH_SPARE_SLOTS, draw_from_cheapest,
};
use crate::coverage::{TRUSTED_FAILURE_PROBABILITY, can_meet_floor};
use crate::health::{
    BaselineFailureRate, Health, HealthSnapshot, UnknownServerFailureRate,
};
use crate::recent_ratio::RecentRatio;
use crate::retry_after::MAX_RETRY_AFTER;
use crate::tracked_server::{
    Attempt, Distance, ExpectedLatency, HealthOutcome, Server, outcome_count,
    path_outcome,
};
use crate::{
    AnnouncedState, AttemptId, Availability, CoverageRole, DataCentreId, IdleProbe,
    KeyedTally, Occupancy, Regions, ServerKey, ServerRecord, ServerTally, ServiceLoad,
    SourceId, quota_request_probability,
};

mod estimate;
mod idle_pick;

use estimate::Estimate;

/// The backend servers of a service, with the state by which one box picks among them.
#[derive(Debug)]
pub struct Balancer {
    local_data_centre: DataCentreId,
    regions: Arc<Regions>,
    servers: BTreeMap<ServerKey, Server>,
    /// The evacuated data centres, whose servers get no more requests.
    evacuated: Arc<BTreeSet<DataCentreId>>,
    /// The limit of a cold server in requests a second; `None` for no limit.
    warmup_rate_limit_per_s: Option<f64>,
    attempts: HashMap<AttemptId, Attempt>,
    next_attempt: AttemptId,
    /// The failure ratio of healthy servers.
    baseline_failures: BaselineFailureRate,
    /// The failure ratio of servers without a recent successful response.
    unknown_failures: UnknownServerFailureRate,
    /// The maximum number of requests that this box may have in flight at one server.
    max_in_flight: u32,
    /// What decides which probes of idle servers this box owns.
    coverage_role: CoverageRole,
    /// The fraction of the latest attempts of all boxes that a server answered.
    answers: RecentRatio,
    /// Whether a server has become much more likely to be faulty since the last
    /// `take_new_suspicion`.
    has_new_suspicion: bool,
    /// Failed connections that are not known to be the servers' fault.
    unconfirmed: Vec<(ServerKey, Instant)>,
    /// When a good response at another box was last reported.
    last_served_elsewhere_at: Option<Instant>,
}

/// What the pick needs to know of a request.
#[derive(Debug, Clone, Copy)]
pub struct PickRequest<'a> {
    /// Whether it may be sent again if the server fails.
    pub retry_safe: bool,
    /// The typical service time of the request's route.
    pub typical_latency: Duration,
    /// The cost of sending it to another data centre.
    pub cross_data_centre_cost: Duration,
    /// Servers that it was already sent to.
    pub tried: &'a [ServerKey],
    /// The present load and failure ratio of the service.
    pub service_load: ServiceLoad,
}

/// A picked server, with the figures behind the pick.
#[derive(Debug, Clone)]
pub struct Pick {
    /// The server.
    pub server: Arc<ServerRecord>,
    /// The expected response time, in milliseconds.
    pub expected_ms: f64,
    /// The expected response time of a server of typical speed with the same load, in
    /// milliseconds.
    pub baseline_ms: f64,
    /// The expected response time of this server if it is healthy, in milliseconds.
    pub healthy_ms: f64,
    /// The part of `expected_ms` that is the wait for a slot, in milliseconds.
    pub wait_ms: f64,
    /// The probability that the request fails there.
    pub failure_probability: f64,
    /// The probability that the server refuses the request.
    pub refusal_probability: f64,
    /// The time since any box last sent it a request, as far as this box knows.
    pub unused_for: Duration,
    /// Requests that all boxes have in flight there.
    pub in_flight: u32,
    /// The number of servers that it was picked from.
    pub candidates: usize,
    /// The number of cheapest servers that it was drawn from; 0 if it was not drawn.
    pub choice_set_size: usize,
    /// The idle probe that the request is sent as, which keeps enough servers in use;
    /// `None` for other requests.
    pub probe: Option<IdleProbe>,
    /// The time since another box last reported on it; `None` if none ever did.
    pub last_report_age: Option<Duration>,
}

/// A server that has become suspected, or is not any more.
#[derive(Debug, Clone, PartialEq)]
pub struct SuspicionChange {
    /// The server.
    pub server: Arc<ServerRecord>,
    /// Whether it is suspected now.
    pub is_suspected: bool,
    /// The probability that a request fails there.
    pub failure_probability: f64,
    /// The time since a box last sent it a request, as far as this box knows.
    pub last_request_at: Duration,
}

impl Balancer {
    /// Creates a balancer without servers; `local_data_centre` is the one of this box.
    pub fn new(local_data_centre: DataCentreId) -> Self {
        Self::with_regions(local_data_centre, Arc::default())
    }

    /// Creates a balancer without servers for data centres that are in `regions`.
    pub fn with_regions(local_data_centre: DataCentreId, regions: Arc<Regions>) -> Self {
        Self {
            local_data_centre,
            regions,
            servers: BTreeMap::new(),
            evacuated: Arc::default(),
            warmup_rate_limit_per_s: None,
            attempts: HashMap::new(),
            next_attempt: 1,
            baseline_failures: BaselineFailureRate::new(),
            unknown_failures: UnknownServerFailureRate::default(),
            max_in_flight: u32::MAX,
            coverage_role: CoverageRole::default(),
            answers: RecentRatio::new(ANSWER_MEMORY),
            has_new_suspicion: false,
            unconfirmed: Vec::new(),
            last_served_elsewhere_at: None,
        }
    }

    /// Adds a server, or updates its record.
    pub fn upsert(&mut self, record: ServerRecord, now: Instant) {
        let key = record.key();
        let warmup_until = now + Duration::from_millis(record.cold_ms);
        let record = Arc::new(record);
        let distance = self.distance(&record.data_centre);
        let new_server = || Server {
            record: record.clone(),
            distance,
            warmup_until,
            local_tally: ServerTally::default(),
            changed: false,
            remote: BTreeMap::new(),
            health: Health::new(now),
            path_health: Health::new(now),
            last_request_at: now,
            last_success_at: None,
            last_failure_at: None,
            last_refusal_at: None,
            refusals: RecentRatio::new(REFUSAL_MEMORY),
            last_certain_failure_at: None,
            last_report_at: None,
            announced_state: AnnouncedState::default(),
            is_suspected: false,
        };
        let server = self.servers.entry(key).or_insert_with(new_server);
        if record.leaving {
            server.announced_state.mark_catalog_draining(now);
        }
        server.warmup_until = match record.cold_ms {
            0 => now,
            _ => server.warmup_until.max(warmup_until),
        };
        server.record = record;
        server.distance = distance;
    }

    fn distance(&self, data_centre: &DataCentreId) -> Distance {
        if *data_centre == self.local_data_centre {
            return Distance::SameDataCentre;
        }
        let region = |of: &DataCentreId| self.regions.get(of);
        match (region(&self.local_data_centre), region(data_centre)) {
            (Some(own), Some(other)) if own != other => Distance::OtherRegion,
            _ => Distance::SameRegion,
        }
    }

    /// Removes a server; attempts in flight there end on their own.
    pub fn remove(&mut self, key: ServerKey) {
        self.servers.remove(&key);
    }

    /// Divides the connections that each server accepts equally among the boxes, as a
    /// limit for this box's requests in flight at a server.
    pub fn set_connection_shares(&mut self, connections: u32, boxes: usize) {
        let boxes = boxes.clamp(1, u32::MAX as usize) as u32;
        self.max_in_flight = (connections / boxes).max(MIN_REQUESTS_PER_SERVER);
    }

    /// Sets what decides which probes of idle servers this box owns.
    pub fn set_coverage_role(&mut self, role: CoverageRole) {
        self.coverage_role = role;
    }

    /// Sets the announced state of a server.
    pub fn set_announced_state(&mut self, key: ServerKey, state: AnnouncedState) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.announced_state = state;
        }
    }

    /// Sets a server's limit over all boxes, in requests a second; `None` for no limit.
    pub fn set_limit(&mut self, key: ServerKey, per_s: Option<f64>) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.announced_state.set_limit(per_s);
        }
    }

    /// Sets the evacuated data centres, whose servers get no more requests.
    pub fn set_evacuated(&mut self, evacuated: Arc<BTreeSet<DataCentreId>>) {
        self.evacuated = evacuated;
    }

    /// Sets the limit of a cold server over all boxes, in requests a second; `None` for
    /// no limit.
    pub fn set_warmup_rate_limit(&mut self, per_s: Option<f64>) {
        self.warmup_rate_limit_per_s = per_s;
    }

    /// Returns a server's limit over all boxes, in requests a second: the lower one of
    /// the limit that it announced and of the limit while it is cold. `None` for no
    /// limit.
    pub fn limit(&self, key: ServerKey, now: Instant) -> Option<f64> {
        let server = self.servers.get(&key)?;
        let limits = [server.announced_state.limit(), self.cold_limit(server, now)];
        limits.into_iter().flatten().min_by(f64::total_cmp)
    }

    /// Returns the catalog record of a server.
    pub fn record(&self, key: ServerKey) -> Option<&Arc<ServerRecord>> {
        Some(&self.servers.get(&key)?.record)
    }

    /// Returns whether a request may still be sent to the server that was picked for it:
    /// the server's announcements may arrive while a connection is made.
    pub fn may_send(&self, key: ServerKey, now: Instant) -> bool {
        let server = self.servers.get(&key);
        let availability = server.map(|server| self.availability(server, now));
        availability.is_some_and(|availability| match availability {
            Availability::Open
            | Availability::RequiresQuota(_)
            | Availability::LastResort(_) => true,
            Availability::BackoffUntil(_) | Availability::Unavailable => false,
        })
    }

    /// Picks an idle server to probe, or else one of the cheapest open servers without a
    /// limit; `None` if there is none.
    ///
    /// A resend does not probe: probes fail more often, and resends are limited.
    pub fn pick(
        &self,
        request: &PickRequest<'_>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<Pick> {
        if request.tried.is_empty()
            && let Some(pick) = self.pick_idle(request, now, random)
        {
            return Some(pick);
        }
        self.draw_cheapest(
            request,
            |availability, _| availability == Availability::Open,
            now,
            random,
        )
    }

    /// Picks a draining server as a last resort, for a request that no other server can
    /// serve as soon: one that is expected to respond before its last-resort time is
    /// over.
    pub fn pick_draining(
        &self,
        request: &PickRequest<'_>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<Pick> {
        let responds_in_time = |availability, expected: Duration| match availability {
            Availability::LastResort(until) => now + expected < until,
            _ => false,
        };
        self.draw_cheapest(request, responds_in_time, now, random)
    }

    /// Draws one of the cheapest servers among those that `may_take` accepts, by their
    /// availability and expected response time.
    fn draw_cheapest(
        &self,
        request: &PickRequest<'_>,
        may_take: impl Fn(Availability, Duration) -> bool,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<Pick> {
        let baseline_failure_ratio = self.baseline_failures.share();
        let typical_ms = request.typical_latency.as_secs_f64() * 1000.0;
        let has_spare_slots = !can_meet_floor(self.servers.len(), &request.service_load);
        let mut costs = Vec::with_capacity(self.servers.len());
        for server in self.servers.values() {
            let Some(availability) = self.availability_for(server, request, now) else {
                continue;
            };
            let estimate = self.estimate(server, request, baseline_failure_ratio, now);
            if !may_take(availability, estimate.expected()) {
                continue;
            }
            let noise = 1.0 + COST_NOISE_RATIO * random.random::<f64>();
            let mut cost = estimate.expected_ms * noise
                + self.penalty_ms(server, request, &estimate, now);
            if has_spare_slots
                && server
                    .last_refusal_at
                    .is_some_and(|at| now < at + FULL_QUEUE_DURATION)
            {
                cost += typical_ms;
            }
            costs.push((cost, server, estimate));
        }
        let candidates = costs.len();
        let slots: u32 = costs.iter().map(|(_, server, _)| server.record.slots).sum();
        let mean_slots = f64::from(slots.max(1)) / candidates.max(1) as f64;
        let (set_size, max_extra_ratio) = match has_spare_slots {
            false => (
                (request.service_load.unreported_requests / mean_slots) as usize,
                MAX_EXTRA_COST_RATIO,
            ),
            // With spare slots everywhere, a queue only forms when many boxes pick the
            // same server.
            true => (candidates, MAX_EXTRA_COST_RATIO_WITH_SPARE_SLOTS),
        };
        let set_size = set_size.max(1);
        let index = draw_from_cheapest(
            &mut costs,
            |(cost, ..)| *cost,
            set_size,
            typical_ms * max_extra_ratio,
            random,
        )?;
        let (_, server, estimate) = &costs[index];
        Some(Pick {
            choice_set_size: set_size,
            ..estimate.pick(server, candidates, now)
        })
    }

    /// Samples the servers with limits whose quota this request should ask for before any
    /// other server is picked, each with a probability that depends on its limit.
    ///
    /// If these servers were picked by cost like the others, every request would ask for
    /// the quota of those that all boxes see idle, and the more expensive ones would
    /// never use up their limits. Servers that limit their load often have gray failures
    /// as well: those with a high failure probability are left out, as their cost does
    /// among the others, so that a limit does not make a server a better pick than it is.
    pub fn sample_rate_limited(
        &self,
        request: &PickRequest<'_>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Vec<Pick> {
        let mut sampled = self.rate_limited(request, now);
        if sampled.is_empty() {
            return Vec::new();
        }
        let open = self.servers.values().filter(|server| {
            let availability = self.availability(server, now);
            matches!(
                availability,
                Availability::Open | Availability::RequiresQuota(_)
            )
        });
        let open_count = open.count();
        sampled.retain(|(per_s, pick)| {
            let probability = quota_request_probability(
                *per_s,
                request.service_load.requests_per_s,
                open_count,
            );
            let is_likely_healthy = pick.failure_probability
                < MAX_SAMPLED_FAILURE_PROBABILITY
                && pick.wait_ms < 1.0;
            is_likely_healthy && random.random_bool(probability.clamp(0.0, 1.0))
        });
        sampled.shuffle(random);
        sampled.into_iter().map(|(_, pick)| pick).collect()
    }

    /// Returns the servers with limits that may take this request when no other server
    /// can: the trusted ones in random order, then the others by rising failure
    /// probability.
    ///
    /// Suspected servers are left out while there are others. For requests that are not
    /// retry-safe the bound is lower, because a refusal is better for them than a likely
    /// failure.
    pub fn rate_limited_by_failure_probability(
        &self,
        request: &PickRequest<'_>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Vec<Pick> {
        let limited = self.rate_limited(request, now).into_iter();
        let mut limited: Vec<Pick> = limited.map(|(_, pick)| pick).collect();
        limited.shuffle(random);
        let sort_key =
            |pick: &Pick| match pick.failure_probability < TRUSTED_FAILURE_PROBABILITY {
                true => 0.0,
                false => pick.failure_probability,
            };
        limited.sort_by(|one, other| sort_key(one).total_cmp(&sort_key(other)));
        let max_probability = match request.retry_safe {
            true => SUSPECTED_FAILURE_PROBABILITY,
            false => MAX_SAMPLED_FAILURE_PROBABILITY,
        };
        let is_left_out = |pick: &Pick| pick.failure_probability >= max_probability;
        if !limited.first().is_some_and(is_left_out) {
            limited.retain(|pick| !is_left_out(pick));
        }
        limited
    }

    /// Returns the servers with limits that may take a request, with their limits in
    /// requests a second.
    fn rate_limited(&self, request: &PickRequest<'_>, now: Instant) -> Vec<(f64, Pick)> {
        let baseline_failure_ratio = self.baseline_failures.share();
        let limited = self.servers.values().filter_map(|server| {
            match self.availability_for(server, request, now)? {
                Availability::RequiresQuota(per_s) => Some((per_s, server)),
                _ => None,
            }
        });
        let limited: Vec<_> = limited.collect();
        let candidates = limited.len();
        let picks = limited.into_iter().map(|(per_s, server)| {
            let estimate = self.estimate(server, request, baseline_failure_ratio, now);
            (per_s, estimate.pick(server, candidates, now))
        });
        picks.collect()
    }

    /// Returns whether requests may be sent to a server now.
    fn availability(&self, server: &Server, now: Instant) -> Availability {
        if self.evacuated.contains(&server.record.data_centre) {
            return Availability::Unavailable;
        }
        match (
            server.announced_state.availability(now),
            self.cold_limit(server, now),
        ) {
            (Availability::Open, Some(cold)) => Availability::RequiresQuota(cold),
            (Availability::RequiresQuota(announced), Some(cold)) => {
                Availability::RequiresQuota(announced.min(cold))
            }
            (availability, _) => availability,
        }
    }

    fn cold_limit(&self, server: &Server, now: Instant) -> Option<f64> {
        self.warmup_rate_limit_per_s
            .filter(|_| now < server.warmup_until)
    }

    /// Returns whether a request may be sent to a server; `None` if it was already sent
    /// there, or if this box has its maximum number of requests in flight there.
    fn availability_for(
        &self,
        server: &Server,
        request: &PickRequest<'_>,
        now: Instant,
    ) -> Option<Availability> {
        let is_saturated = server.local_tally.in_flight >= self.max_in_flight;
        let was_tried = request.tried.contains(&server.record.key());
        let is_allowed = !is_saturated && !was_tried;
        is_allowed.then(|| self.availability(server, now))
    }

    /// Returns the shortest wait for a slot at any open server without a limit, or for
    /// the end of a server's backoff; `None` if there is no such server.
    pub fn min_queue_wait(
        &self,
        request: &PickRequest<'_>,
        now: Instant,
    ) -> Option<Duration> {
        let baseline_failure_ratio = self.baseline_failures.share();
        let waits = self.servers.values().filter_map(|server| {
            let wait_ms = self
                .estimate(server, request, baseline_failure_ratio, now)
                .wait_ms;
            match self.availability(server, now) {
                Availability::Open => Some(Duration::from_secs_f64(wait_ms / 1000.0)),
                Availability::BackoffUntil(until) => {
                    Some(until.saturating_duration_since(now))
                }
                Availability::RequiresQuota(_)
                | Availability::LastResort(_)
                | Availability::Unavailable => None,
            }
        });
        waits.min()
    }

    /// Returns the time until the first server that backs off may take the request;
    /// `None` if no server backs off.
    pub fn shortest_backoff(
        &self,
        request: &PickRequest<'_>,
        now: Instant,
    ) -> Option<Duration> {
        let backoffs = self.servers.values().filter_map(|server| {
            match self.availability_for(server, request, now)? {
                Availability::BackoffUntil(until) => {
                    Some(until.saturating_duration_since(now))
                }
                _ => None,
            }
        });
        backoffs.min()
    }

    /// Returns how many requests a second the available servers are expected to serve, by
    /// their slots, speed, failures and limits. `typical` is the typical service time.
    pub fn capacity_per_s(&self, typical: Duration, now: Instant) -> f64 {
        let baseline_failure_ratio = self.baseline_failures.share();
        let typical_s = typical.as_secs_f64().max(MIN_TYPICAL_LATENCY_S);
        let rates = self.servers.values().map(|server| {
            let max_per_s = match self.availability(server, now) {
                Availability::Open => f64::INFINITY,
                Availability::RequiresQuota(per_s) => per_s,
                // Callers that get a `Retry-After` now find the server available on
                // return.
                Availability::BackoffUntil(until) if until <= now + MAX_RETRY_AFTER => {
                    f64::INFINITY
                }
                Availability::BackoffUntil(_)
                | Availability::LastResort(_)
                | Availability::Unavailable => 0.0,
            };
            let health = server.health.at(now);
            let answered = 1.0 - server.failure_probability(baseline_failure_ratio, now);
            let accepted = 1.0 - health.refusal_probability();
            let slots = f64::from(server.record.slots) / health.slowness();
            let per_s = slots * answered * accepted / typical_s;
            per_s.min(max_per_s)
        });
        rates.sum()
    }

    /// Returns the fraction of the latest attempts of all boxes that a server answered;
    /// close to 1 if there were few.
    pub fn answered_ratio(&self, now: Instant) -> f64 {
        self.answers.ratio(1.0, PRESUMED_ANSWERS, now)
    }

    /// Returns how full the available servers are over all boxes. `typical` is the typical
    /// service time.
    ///
    /// Unlike in [`Self::capacity_per_s`], a server that refuses requests counts with all
    /// its slots: it refuses because its queue is full, and serves as many as before. Its
    /// slowness is compared with the mean of all servers, because all seem slow when
    /// their queues have grown since the last reports.
    pub fn occupancy(&self, typical: Duration, now: Instant) -> Occupancy {
        let baseline_failure_ratio = self.baseline_failures.share();
        let typical_s = typical.as_secs_f64().max(MIN_TYPICAL_LATENCY_S);
        let slownesses = self.servers.values().map(|s| s.health.at(now).slowness());
        let mean_slowness = slownesses.sum::<f64>() / self.servers.len().max(1) as f64;
        let mut sum = Occupancy::default();
        for server in self.servers.values() {
            let max_per_s = match self.availability(server, now) {
                Availability::Open => f64::INFINITY,
                Availability::RequiresQuota(per_s) => per_s,
                Availability::BackoffUntil(_)
                | Availability::LastResort(_)
                | Availability::Unavailable => continue,
            };
            let answered = 1.0 - server.failure_probability(baseline_failure_ratio, now);
            let slots = f64::from(server.record.slots) * answered;
            let slowness = (server.health.at(now).slowness() / mean_slowness).max(1.0);
            sum.in_flight += server.in_flight();
            sum.slots += slots;
            sum.capacity_per_s += (slots / (slowness * typical_s)).min(max_per_s);
        }
        sum
    }

    /// Records that an attempt has begun.
    pub fn begin(
        &mut self,
        key: ServerKey,
        expected: ExpectedLatency,
        now: Instant,
    ) -> AttemptId {
        let id = self.next_attempt;
        self.next_attempt += 1;
        if let Some(server) = self.servers.get_mut(&key) {
            server.local_tally.in_flight += 1;
            server.changed = true;
            server.last_request_at = now;
        }
        let attempt = Attempt {
            server: key,
            since: now,
            expected,
            silence_quarters: 0,
            response_started: false,
            is_path_lost: false,
        };
        self.attempts.insert(id, attempt);
        id
    }

    /// Records that an attempt has ended, and how.
    pub fn end(&mut self, id: AttemptId, ended: HealthOutcome, now: Instant) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        let Some(server) = self.servers.get_mut(&attempt.server) else {
            return;
        };
        server.changed = true;
        server.local_tally.in_flight = server.local_tally.in_flight.saturating_sub(1);
        server.remove_silence_evidence(attempt.silence_quarters);
        let tally_change = attempt.outcome(ended, now);
        if ended == HealthOutcome::Unreached {
            self.unconfirmed.push((attempt.server, now));
        }
        server.local_tally = server.local_tally.plus(&tally_change);
        self.answers
            .add(tally_change.good, outcome_count(&tally_change), now);
        self.unknown_failures
            .add(&tally_change, server.unanswered_for(now));
        let baseline_failure_ratio = self.baseline_failures.share();
        self.has_new_suspicion |=
            server.record_outcomes(&tally_change, baseline_failure_ratio, now);
        server.path_health.add(
            &path_outcome(ended, &tally_change),
            baseline_failure_ratio,
            now,
        );
        self.baseline_failures
            .add(&tally_change, 1.0 - server.health.unhealthy_probability());
    }

    /// Records that a new connection to a server was opened. Connections that have just
    /// failed to other servers of its data centre were these servers' fault.
    pub fn record_connected(&mut self, key: ServerKey, now: Instant) {
        let Some(data_centre) = self.data_centre(key) else {
            return;
        };
        let unconfirmed = std::mem::take(&mut self.unconfirmed);
        for (unreached, at) in unconfirmed {
            let is_recent = now.saturating_duration_since(at) < UNCONFIRMED_TTL;
            if unreached == key || !is_recent {
                continue;
            }
            match self.data_centre(unreached) == Some(data_centre.clone()) {
                true => self.confirm_unreached(unreached, now),
                false => self.unconfirmed.push((unreached, at)),
            }
        }
    }

    /// Counts a failed connection as a refusal by the server.
    fn confirm_unreached(&mut self, key: ServerKey, now: Instant) {
        let baseline_failure_ratio = self.baseline_failures.share();
        let Some(server) = self.servers.get_mut(&key) else {
            return;
        };
        let refusal = ServerTally {
            refused: 1,
            ..ServerTally::default()
        };
        server.local_tally = server.local_tally.plus(&refusal);
        server.changed = true;
        server.record_outcomes(&refusal, baseline_failure_ratio, now);
    }

    fn data_centre(&self, key: ServerKey) -> Option<DataCentreId> {
        let server = self.servers.get(&key)?;
        Some(server.record.data_centre.clone())
    }

    /// Discards what this box has observed over a lost path: the servers are not at
    /// fault, and other boxes must not be told so.
    pub fn discard_path_evidence(&mut self, now: Instant) {
        self.unconfirmed.clear();
        for server in self.servers.values_mut() {
            server.path_health = Health::new(now);
            let silence = server.local_tally.silence_quarters;
            server.remove_silence_evidence(silence);
        }
        for attempt in self.attempts.values_mut() {
            attempt.silence_quarters = 0;
            attempt.is_path_lost = true;
        }
    }

    /// Returns up to `count` servers by which to check whether this box reaches the
    /// service, in random order and from as many data centres as possible. Servers in
    /// `avoid` come last.
    pub fn servers_to_check(
        &self,
        count: usize,
        avoid: &[ServerKey],
        random: &mut impl Rng,
    ) -> Vec<Arc<ServerRecord>> {
        let mut servers: Vec<_> = self.servers.values().map(|s| &s.record).collect();
        servers.shuffle(random);
        servers.sort_by_key(|record| avoid.contains(&record.key()));
        let mut seen = BTreeSet::new();
        let (mut first, mut rest) = (Vec::new(), Vec::new());
        for record in servers {
            match seen.insert(&record.data_centre) {
                true => first.push(record.clone()),
                false => rest.push(record.clone()),
            }
        }
        first.append(&mut rest);
        first.truncate(count);
        first
    }

    /// Returns the time since a good response at another box was last reported; `None` if
    /// none ever was.
    pub fn served_elsewhere_ago(&self, now: Instant) -> Option<Duration> {
        let at = self.last_served_elsewhere_at?;
        Some(now.saturating_duration_since(at))
    }

    /// Returns the number of servers.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Applies a tally that a source reports for other boxes; `updates` are the outcomes
    /// in it that were not known before.
    pub fn apply_remote(
        &mut self,
        source: SourceId,
        (key, tally): KeyedTally,
        updates: &ServerTally,
        now: Instant,
    ) {
        let Some(server) = self.servers.get_mut(&key) else {
            return;
        };
        server.last_report_at = Some(now);
        if updates.good > 0 {
            self.last_served_elsewhere_at = Some(now);
        }
        let previous = server.remote.insert(source, tally).unwrap_or_default();
        if tally.in_flight > previous.in_flight
            || updates.good + updates.failed + updates.refused > 0
        {
            server.last_request_at = now;
        }
        self.answers.add(updates.good, outcome_count(updates), now);
        self.unknown_failures
            .add(updates, server.unanswered_for(now));
        self.has_new_suspicion |=
            server.record_outcomes(updates, self.baseline_failures.share(), now);
        self.baseline_failures
            .add(updates, 1.0 - server.health.unhealthy_probability());
    }

    /// Returns whether a server has become much more likely to be faulty since the last
    /// call. The tallies should then be sent at once, before other boxes send that server
    /// more requests.
    pub fn take_new_suspicion(&mut self) -> bool {
        std::mem::take(&mut self.has_new_suspicion)
    }

    /// Returns the health of the servers that are noticeably faulty or slow, for a box
    /// that has just joined.
    pub fn health_snapshots(&self, now: Instant) -> Vec<(ServerKey, HealthSnapshot)> {
        let servers = self.servers.iter();
        servers
            .filter_map(|(key, server)| Some((*key, server.health.snapshot(now)?)))
            .collect()
    }

    /// Merges another box's health snapshot of a server.
    pub fn merge_health_snapshot(
        &mut self,
        key: ServerKey,
        snapshot: &HealthSnapshot,
        now: Instant,
    ) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.health.merge_snapshot(snapshot, now);
        }
    }

    /// Removes the tallies of a source that has stopped reporting.
    pub fn forget_source(&mut self, source: SourceId) {
        for server in self.servers.values_mut() {
            server.remote.remove(&source);
        }
    }

    /// Counts the time that an attempt has been without a response as evidence against
    /// its server; returns whether the evidence has increased.
    pub fn update_silence_evidence(&mut self, id: AttemptId, now: Instant) -> bool {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return false;
        };
        if attempt.is_path_lost {
            return false;
        }
        let quarters = attempt.silence_at(now);
        let added_quarters = quarters.saturating_sub(attempt.silence_quarters);
        if added_quarters == 0 {
            return false;
        }
        attempt.silence_quarters = quarters;
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            server.local_tally.silence_quarters += added_quarters;
            server.changed = true;
        }
        true
    }

    /// Records that the response of an attempt has started, and takes back the evidence
    /// from the wait. How long the remainder takes, and whether the caller waits for it,
    /// is no evidence about the server.
    pub fn record_response_started(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.response_started = true;
        let quarters = std::mem::take(&mut attempt.silence_quarters);
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            server.remove_silence_evidence(quarters);
        }
    }

    /// Returns this box's tallies that have changed since the last call.
    pub fn take_changes(&mut self) -> Vec<KeyedTally> {
        let changed = self.servers.iter_mut().filter(|(_, server)| server.changed);
        changed
            .map(|(key, server)| {
                server.changed = false;
                (*key, server.local_tally)
            })
            .collect()
    }

    /// Returns all of this box's tallies that are not empty.
    pub fn tallies(&self) -> Vec<KeyedTally> {
        let tallies = self
            .servers
            .iter()
            .map(|(key, server)| (*key, server.local_tally));
        tallies
            .filter(|(_, tally)| *tally != ServerTally::default())
            .collect()
    }

    /// Returns the number of attempts in flight.
    pub fn outstanding(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the servers that have become suspected, or are not any more, since the
    /// last call.
    pub fn take_suspicion_changes(&mut self, now: Instant) -> Vec<SuspicionChange> {
        let baseline_failure_ratio = self.baseline_failures.share();
        let mut changes = Vec::new();
        for server in self.servers.values_mut() {
            let probability = server.failure_probability(baseline_failure_ratio, now);
            let suspected = probability >= SUSPECTED_FAILURE_PROBABILITY;
            if suspected == server.is_suspected {
                continue;
            }
            server.is_suspected = suspected;
            changes.push(SuspicionChange {
                server: server.record.clone(),
                is_suspected: suspected,
                failure_probability: probability,
                last_request_at: now.saturating_duration_since(server.last_request_at),
            });
        }
        changes
    }

    /// Returns the ids of the suspected and the unavailable servers, for the box's
    /// status.
    pub fn suspects(&self, now: Instant) -> Vec<String> {
        let baseline_failure_ratio = self.baseline_failures.share();
        let suspected = |server: &&Server| {
            let is_unavailable =
                self.availability(server, now) == Availability::Unavailable;
            server.failure_probability(baseline_failure_ratio, now)
                >= SUSPECTED_FAILURE_PROBABILITY
                || is_unavailable
        };
        let suspects = self.servers.values().filter(suspected);
        suspects.map(|server| server.record.id.clone()).collect()
    }

    fn estimate(
        &self,
        server: &Server,
        request: &PickRequest<'_>,
        baseline_failure_ratio: f64,
        now: Instant,
    ) -> Estimate {
        let in_flight = server.in_flight();
        let slots = f64::from(server.record.slots.max(1));
        let cold_slowness = if now < server.warmup_until {
            COLD_SLOWNESS
        } else {
            1.0
        };
        let slowness = server.health.at(now).slowness().max(cold_slowness);
        let typical_ms = request.typical_latency.as_secs_f64() * 1000.0;
        // The queue ahead of the request, as a multiple of all slots.
        let queue_rounds = (f64::from(in_flight) + 1.0 - slots).max(0.0) / slots;
        let load_slowdown = FULL_LOAD_SLOWDOWN_RATIO * f64::from(in_flight) / slots;
        let baseline_ms = typical_ms * (1.0 + queue_rounds + load_slowdown);
        let own_probability = server.failure_probability(baseline_failure_ratio, now);
        Estimate {
            expected_ms: baseline_ms * slowness,
            baseline_ms,
            healthy_ms: baseline_ms * slowness.clamp(1.0, MAX_HEALTHY_SLOWNESS),
            wait_ms: typical_ms * slowness * queue_rounds,
            failure_probability: self
                .unknown_failures
                .aged(own_probability, server.unanswered_for(now)),
            in_flight,
        }
    }

    fn penalty_ms(
        &self,
        server: &Server,
        request: &PickRequest<'_>,
        estimate: &Estimate,
        now: Instant,
    ) -> f64 {
        let failure_ms = if request.retry_safe {
            RETRY_SAFE_FAILURE_MS
        } else {
            NON_RETRY_SAFE_FAILURE_MS
        };
        // A resend is taken from a budget that is short where many are refused.
        let refusal_ratio = server.health.at(now).refusal_probability();
        let refusal_ms = match request.tried.is_empty() {
            true => refusal_ratio * REFUSAL_MS,
            false => {
                let refusals = server.refusals;
                refusals.ratio(refusal_ratio, PRESUMED_OUTCOMES, now) * RESEND_REFUSAL_MS
            }
        };
        let crossing_ms = request.cross_data_centre_cost.as_secs_f64() * 1000.0;
        let crossing_ms = match server.distance {
            Distance::SameDataCentre => 0.0,
            Distance::SameRegion => crossing_ms,
            Distance::OtherRegion => {
                REGION_ROUND_TRIP_MS + REGION_COST_FACTOR * crossing_ms
            }
        };
        estimate.failure_probability * failure_ms + refusal_ms + crossing_ms
    }
}

/// The round trip to another region.
const REGION_ROUND_TRIP_MS: f64 = 60.0;
/// All bytes between regions share one line and cost about twice as much as those between
/// data centres of a region.
const REGION_COST_FACTOR: f64 = 2.0;
/// The minimum service time: no request takes less than a millisecond.
const MIN_TYPICAL_LATENCY_S: f64 = 0.001;
/// Random noise increases costs by up to this fraction, so that boxes with the same state
/// spread their requests.
const COST_NOISE_RATIO: f64 = 0.2;
/// Servers slow down under load: with full slots by this fraction of the service time.
const FULL_LOAD_SLOWDOWN_RATIO: f64 = 0.3;
/// A server with a higher slowness is not healthy: the wait for its responses counts as
/// evidence from this multiple of the typical time.
const MAX_HEALTHY_SLOWNESS: f64 = 2.0;
/// The slowness of a server that has just started: it takes about twice as long.
const COLD_SLOWNESS: f64 = 2.0;
/// The cost of a failure for a retry-safe request: another attempt.
const RETRY_SAFE_FAILURE_MS: f64 = 1500.0;
/// The cost of a failure for other requests, which is as bad as several late responses.
const NON_RETRY_SAFE_FAILURE_MS: f64 = 5000.0;
/// How long a failed connection may wait for the evidence that it was the server's fault.
const UNCONFIRMED_TTL: Duration = Duration::from_secs(1);
/// A server that refused a request has a queue of several service times and is avoided
/// for this long.
const FULL_QUEUE_DURATION: Duration = Duration::from_secs(1);
/// The cost of a refusal: a round trip and a resend from the retry budget.
const REFUSAL_MS: f64 = 300.0;
/// Time constant of the fraction of answered attempts: short, so that a need for resends
/// shows before much of the budget is spent.
const ANSWER_MEMORY: Duration = Duration::from_millis(150);
/// Attempts that are presumed to have been answered in that fraction.
const PRESUMED_ANSWERS: f64 = 3.0;
/// Time constant of the fraction of refused requests: at ten requests a second to a
/// server its deviation is a tenth.
const REFUSAL_MEMORY: Duration = Duration::from_secs(2);
/// Outcomes as `Health` expects them that are presumed in that fraction.
const PRESUMED_OUTCOMES: f64 = 3.0;
/// The cost of the refusal of a resend: another resend.
const RESEND_REFUSAL_MS: f64 = 1500.0;
/// A box may always have this many requests in flight at a server.
const MIN_REQUESTS_PER_SERVER: u32 = 4;
/// A server with a limit is not sampled from this failure probability on: a lower bound
/// would leave much of the limits unused, a higher one would send requests that fail to
/// servers with gray failures.
const MAX_SAMPLED_FAILURE_PROBABILITY: f64 = 0.2;
/// A server is suspected from this failure probability on, and listed in the box's
/// status.
pub const SUSPECTED_FAILURE_PROBABILITY: f64 = 0.35;
