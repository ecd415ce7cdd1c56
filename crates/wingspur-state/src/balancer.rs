//! Picks backend servers of one service by what the whole fleet knows of them.
//!
//! Each candidate has a cost in milliseconds: how long its answer should take, with the
//! wait for a slot, and what its likely failure would cost. The cheapest gets the request.
//! There is no state of being ejected: a server that fails is dear, and becomes cheaper as
//! its failures age or the others fill up, so that no decision can take the last capacity
//! away.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::RngExt;
use rand::seq::SliceRandom;

use crate::choice_set::{MOST_DEARER, MOST_DEARER_WITH_ROOM, place_among};
use crate::health::{Health, HealthSnapshot, UnknownFailures, UsualFailures};
use crate::idle_probe::{
    IdleProbeInputs, IdleServer, TRUSTED_SHARE, holds_strictly, is_in_reach,
    pick_idle_probe,
};
use crate::retry_after::LONGEST_RETURN;
use crate::tracked_server::{
    Attempt, Distance, ExpectedLatency, HealthOutcome, Server, path_outcome,
};
use crate::{
    AnnouncedState, AttemptId, Availability, DataCentreId, KeyedTally, Regions,
    ServerKey, ServerRecord, ServerTally, ServiceLoad, SourceId,
    quota_request_probability,
};

/// The backend servers of a service, as one box picks among them.
#[derive(Debug)]
pub struct Balancer {
    home: DataCentreId,
    regions: Arc<Regions>,
    servers: BTreeMap<ServerKey, Server>,
    /// The data centres whose servers get nothing more.
    evacuated: Arc<BTreeSet<DataCentreId>>,
    /// Requests a second that a cold server bears; none where it is not limited.
    cold_requests_per_s: Option<f64>,
    attempts: HashMap<AttemptId, Attempt>,
    next_attempt: AttemptId,
    /// What fails at well servers.
    usual: UsualFailures,
    /// What fails at servers of which nothing was known.
    unknown: UnknownFailures,
    /// Requests that this box may have out at one server.
    most_in_flight: u32,
    /// Whether a server has turned suspect since this was last asked.
    alarmed: bool,
}

/// What a request wants of a server.
#[derive(Debug, Clone, Copy)]
pub struct PickRequest<'a> {
    /// Whether it may be sent again if the server fails.
    pub retry_safe: bool,
    /// How long an answer usually takes.
    pub typical_latency: Duration,
    /// What it costs to cross to another data centre.
    pub cross_data_centre_cost: Duration,
    /// Servers that it was sent to before.
    pub tried: &'a [ServerKey],
    /// How the service fares.
    pub service_load: ServiceLoad,
}

/// A server that was picked, and why.
#[derive(Debug, Clone)]
pub struct Pick {
    /// The server.
    pub server: Arc<ServerRecord>,
    /// When its answer should be there, in milliseconds.
    pub expected_ms: f64,
    /// The same for a server that takes the usual time.
    pub baseline_ms: f64,
    /// The same for this one while it is well.
    pub healthy_ms: f64,
    /// Of them, the wait for a slot.
    pub wait_ms: f64,
    /// How likely it is to fail.
    pub failure_probability: f64,
    /// Requests that the fleet has out there.
    pub in_flight: u32,
    /// Servers that it was picked from.
    pub candidates: usize,
    /// How many of the cheapest it was drawn among; 0 for one that was not drawn.
    pub choice_set_size: usize,
    /// Whether it is an unused server that is tried, for the sake of the floor.
    pub is_idle_probe: bool,
    /// How long ago another box last told of it; none if none ever did.
    pub last_report_age: Option<Duration>,
}

/// A server that has turned suspect, or is one no more.
#[derive(Debug, Clone, PartialEq)]
pub struct SuspicionChange {
    /// The server.
    pub server: Arc<ServerRecord>,
    /// Whether it is a suspect now.
    pub is_suspected: bool,
    /// The share of its requests that should fail.
    pub failure_probability: f64,
    /// When a box last sent it a request, as far as is known.
    pub last_request_at: Duration,
}

impl Balancer {
    /// No servers yet; `home` is the box's data centre.
    pub fn new(home: DataCentreId) -> Self {
        Self::with_regions(home, Arc::default())
    }

    /// The same where data centres stand in different regions.
    pub fn with_regions(home: DataCentreId, regions: Arc<Regions>) -> Self {
        Self {
            home,
            regions,
            servers: BTreeMap::new(),
            evacuated: Arc::default(),
            cold_requests_per_s: None,
            attempts: HashMap::new(),
            next_attempt: 1,
            usual: UsualFailures::new(),
            unknown: UnknownFailures::default(),
            most_in_flight: u32::MAX,
            alarmed: false,
        }
    }

    /// Takes in a server, or its changed record.
    pub fn upsert(&mut self, record: ServerRecord, now: Instant) {
        let key = record.key();
        let cold_until = now + Duration::from_millis(record.cold_ms);
        let record = Arc::new(record);
        let distance = self.distance(&record.data_centre);
        let fresh = || Server {
            record: record.clone(),
            distance,
            cold_until,
            own: ServerTally::default(),
            changed: false,
            remote: BTreeMap::new(),
            health: Health::new(now),
            path: Health::new(now),
            sent: now,
            answered: None,
            failed: None,
            refused: None,
            surely_sick: None,
            heard: None,
            standing: AnnouncedState::default(),
            suspect: false,
        };
        let server = self.servers.entry(key).or_insert_with(fresh);
        if record.leaving {
            server.standing.mark_catalog_draining(now);
        }
        server.cold_until = match record.cold_ms {
            0 => now,
            _ => server.cold_until.max(cold_until),
        };
        server.record = record;
        server.distance = distance;
    }

    fn distance(&self, data_centre: &DataCentreId) -> Distance {
        if *data_centre == self.home {
            return Distance::SameDataCentre;
        }
        let region = |of: &DataCentreId| self.regions.get(of);
        match (region(&self.home), region(data_centre)) {
            (Some(own), Some(other)) if own != other => Distance::OtherRegion,
            _ => Distance::SameRegion,
        }
    }

    /// Forgets a server; attempts that are out there end on their own.
    pub fn remove(&mut self, key: ServerKey) {
        self.servers.remove(&key);
    }

    /// Divides the connections that each server accepts among the boxes.
    pub fn set_connection_shares(&mut self, connections: u32, boxes: usize) {
        let boxes = boxes.clamp(1, u32::MAX as usize) as u32;
        self.most_in_flight = (connections / boxes).max(LEAST_CONNECTIONS);
    }

    /// Takes in how a server stands by what it has said.
    pub fn set_announced_state(&mut self, key: ServerKey, standing: AnnouncedState) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.standing = standing;
        }
    }

    /// Takes in what a server takes from all boxes together; none for no limit.
    pub fn set_limit(&mut self, key: ServerKey, per_s: Option<f64>) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.standing.set_limit(per_s);
        }
    }

    /// Takes in which data centres are evacuated: their servers get nothing more.
    pub fn set_evacuated(&mut self, evacuated: Arc<BTreeSet<DataCentreId>>) {
        self.evacuated = evacuated;
    }

    /// Takes in how many requests a second a cold server bears; none for no limit.
    pub fn set_warmup_rate_limit(&mut self, per_s: Option<f64>) {
        self.cold_requests_per_s = per_s;
    }

    /// What a server takes from all boxes together, in requests a second, by what it has
    /// named and while it is cold; none for no limit.
    pub fn limit(&self, key: ServerKey, now: Instant) -> Option<f64> {
        let server = self.servers.get(&key)?;
        let limits = [server.standing.limit(), self.cold_limit(server, now)];
        limits.into_iter().flatten().min_by(f64::total_cmp)
    }

    /// A server as it announces itself.
    pub fn record(&self, key: ServerKey) -> Option<&Arc<ServerRecord>> {
        Some(&self.servers.get(&key)?.record)
    }

    /// Whether a request that was to go to a server may still be sent there: what the server
    /// says may come while a connection is made.
    pub fn may_send(&self, key: ServerKey, now: Instant) -> bool {
        let server = self.servers.get(&key);
        let access = server.map(|server| self.access_now(server, now));
        access.is_some_and(|access| match access {
            Availability::Open
            | Availability::RequiresQuota(_)
            | Availability::LastResort(_) => true,
            Availability::BackoffUntil(_) | Availability::Unavailable => false,
        })
    }

    /// Picks the server with the least cost among those that any request may go to; none
    /// when there is none.
    pub fn pick(
        &self,
        want: &PickRequest<'_>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<Pick> {
        if let Some(pick) = self.pick_unused(want, now, random) {
            return Some(pick);
        }
        self.cheapest(want, |access, _| access == Availability::Open, now, random)
    }

    /// Picks a server that leaves, for a request that nothing else can serve as soon: one
    /// whose answer should be there before its time is over.
    pub fn pick_draining(
        &self,
        want: &PickRequest<'_>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<Pick> {
        let is_in_time = |access, expected: Duration| match access {
            Availability::LastResort(until) => now + expected < until,
            _ => false,
        };
        self.cheapest(want, is_in_time, now, random)
    }

    /// The server with the least cost among those that may take the request, by whether a
    /// request may go there and when its answer should be there.
    fn cheapest(
        &self,
        want: &PickRequest<'_>,
        may_take: impl Fn(Availability, Duration) -> bool,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<Pick> {
        let usual = self.usual.share();
        let typical_ms = want.typical_latency.as_secs_f64() * 1000.0;
        let has_room = !is_in_reach(self.servers.len(), &want.service_load);
        let mut costs = Vec::with_capacity(self.servers.len());
        for server in self.servers.values() {
            let Some(access) = self.access(server, want, now) else {
                continue;
            };
            let weight = self.weigh(server, want, usual, now);
            if !may_take(access, weight.expected()) {
                continue;
            }
            let noise = 1.0 + NOISE * random.random::<f64>();
            let mut cost =
                weight.expected_ms * noise + self.penalty_ms(server, want, &weight, now);
            if has_room && server.refused.is_some_and(|at| now < at + CROWDED_FOR) {
                cost += typical_ms;
            }
            costs.push((cost, server, weight));
        }
        let candidates = costs.len();
        let slots: u32 = costs.iter().map(|(_, server, _)| server.record.slots).sum();
        let mean_slots = f64::from(slots.max(1)) / candidates.max(1) as f64;
        let (drawn_among, dearer) = match has_room {
            false => (
                (want.service_load.unreported_requests / mean_slots) as usize,
                MOST_DEARER,
            ),
            // With slots to spare everywhere, a queue is many boxes at the same server.
            true => (candidates, MOST_DEARER_WITH_ROOM),
        };
        let drawn_among = drawn_among.max(1);
        let place = place_among(
            &mut costs,
            |(cost, ..)| *cost,
            drawn_among,
            typical_ms * dearer,
            random,
        )?;
        let (_, server, weight) = &costs[place];
        Some(Pick {
            choice_set_size: drawn_among,
            ..weight.pick(server, candidates, now)
        })
    }

    /// The servers with limits that this request is to ask for a place at, by chance, before
    /// any other: each is asked for as often as its limit is worth.
    ///
    /// Picked by their costs like the others, those that all boxes find idle would be asked
    /// for by every request, and those that are dearer never use what they take. Servers in need
    /// are often gray as well: doubted ones are left out, as the others' costs leave them out,
    /// so that a limit makes no server a better pick than it is.
    pub fn sample_rate_limited(
        &self,
        want: &PickRequest<'_>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Vec<Pick> {
        let mut due = self.limited(want, now);
        if due.is_empty() {
            return Vec::new();
        }
        let open = self.servers.values().filter(|server| {
            let access = self.access_now(server, now);
            matches!(access, Availability::Open | Availability::RequiresQuota(_))
        });
        let open = open.count();
        due.retain(|(per_s, pick)| {
            let share =
                quota_request_probability(*per_s, want.service_load.requests_per_s, open);
            let is_well = pick.failure_probability < MOST_DUE_DOUBT && pick.wait_ms < 1.0;
            is_well && random.random_bool(share.clamp(0.0, 1.0))
        });
        due.shuffle(random);
        due.into_iter().map(|(_, pick)| pick).collect()
    }

    /// The servers with limits that may take this request where no other server can: the
    /// trusted ones in any order, then the doubted ones, the least doubted first. Suspected ones
    /// are left out while there are others, and for requests that cannot be sent again all that
    /// are doubted much: to those a refusal is worth more than a likely failure.
    pub fn rate_limited_by_failure_probability(
        &self,
        want: &PickRequest<'_>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Vec<Pick> {
        let limited = self.limited(want, now).into_iter();
        let mut limited: Vec<Pick> = limited.map(|(_, pick)| pick).collect();
        limited.shuffle(random);
        let doubt = |pick: &Pick| match pick.failure_probability < TRUSTED_SHARE {
            true => 0.0,
            false => pick.failure_probability,
        };
        limited.sort_by(|one, other| doubt(one).total_cmp(&doubt(other)));
        let most = match want.retry_safe {
            true => SUSPECT_SHARE,
            false => MOST_DUE_DOUBT,
        };
        let is_left_out = |pick: &Pick| pick.failure_probability >= most;
        if !limited.first().is_some_and(is_left_out) {
            limited.retain(|pick| !is_left_out(pick));
        }
        limited
    }

    /// The servers with limits that may take a request, with their limits.
    fn limited(&self, want: &PickRequest<'_>, now: Instant) -> Vec<(f64, Pick)> {
        let usual = self.usual.share();
        let limited = self.servers.values().filter_map(|server| {
            match self.access(server, want, now)? {
                Availability::RequiresQuota(per_s) => Some((per_s, server)),
                _ => None,
            }
        });
        let limited: Vec<_> = limited.collect();
        let candidates = limited.len();
        let weighed = limited.into_iter().map(|(per_s, server)| {
            let weight = self.weigh(server, want, usual, now);
            (per_s, weight.pick(server, candidates, now))
        });
        weighed.collect()
    }

    /// Whether any request may go to a server now.
    fn access_now(&self, server: &Server, now: Instant) -> Availability {
        if self.evacuated.contains(&server.record.data_centre) {
            return Availability::Unavailable;
        }
        match (
            server.standing.availability(now),
            self.cold_limit(server, now),
        ) {
            (Availability::Open, Some(cold)) => Availability::RequiresQuota(cold),
            (Availability::RequiresQuota(named), Some(cold)) => {
                Availability::RequiresQuota(named.min(cold))
            }
            (access, _) => access,
        }
    }

    fn cold_limit(&self, server: &Server, now: Instant) -> Option<f64> {
        self.cold_requests_per_s.filter(|_| now < server.cold_until)
    }

    /// Whether a request may go to a server; none where it was sent there before, or where
    /// this box has as many out there as it may.
    fn access(
        &self,
        server: &Server,
        want: &PickRequest<'_>,
        now: Instant,
    ) -> Option<Availability> {
        let saturated = server.own.in_flight >= self.most_in_flight;
        let was_tried = want.tried.contains(&server.record.key());
        let may = !saturated && !was_tried;
        may.then(|| self.access_now(server, now))
    }

    /// The shortest wait for a slot at any open server without a limit, or for the end of a
    /// server's rest; none when there is no such server.
    pub fn min_queue_wait(
        &self,
        want: &PickRequest<'_>,
        now: Instant,
    ) -> Option<Duration> {
        let usual = self.usual.share();
        let waits = self.servers.values().filter_map(|server| {
            let wait_ms = self.weigh(server, want, usual, now).wait_ms;
            match self.access_now(server, now) {
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

    /// When the first server that rests may take the request again; none where none rests.
    pub fn shortest_backoff(
        &self,
        want: &PickRequest<'_>,
        now: Instant,
    ) -> Option<Duration> {
        let resting = self.servers.values().filter_map(|server| {
            match self.access(server, want, now)? {
                Availability::BackoffUntil(until) => {
                    Some(until.saturating_duration_since(now))
                }
                _ => None,
            }
        });
        resting.min()
    }

    /// Requests that the open servers can answer in a second, as likely as they are well, and
    /// as far as their limits allow.
    pub fn capacity_per_s(&self, typical: Duration, now: Instant) -> f64 {
        let usual = self.usual.share();
        let typical_s = typical.as_secs_f64().max(LEAST_TYPICAL_S);
        let rates = self.servers.values().map(|server| {
            let most_per_s = match self.access_now(server, now) {
                Availability::Open => f64::INFINITY,
                Availability::RequiresQuota(per_s) => per_s,
                // Who is told now when to come back finds it there.
                Availability::BackoffUntil(until) if until <= now + LONGEST_RETURN => {
                    f64::INFINITY
                }
                Availability::BackoffUntil(_)
                | Availability::LastResort(_)
                | Availability::Unavailable => 0.0,
            };
            let health = server.health.at(now);
            let answered = 1.0 - server.failure_share(usual, now);
            let accepted = 1.0 - health.refusal_share();
            let slots = f64::from(server.record.slots) / health.slowness();
            let per_s = slots * answered * accepted / typical_s;
            per_s.min(most_per_s)
        });
        rates.sum()
    }

    /// Counts an attempt as begun.
    pub fn begin(
        &mut self,
        key: ServerKey,
        expected: ExpectedLatency,
        now: Instant,
    ) -> AttemptId {
        let id = self.next_attempt;
        self.next_attempt += 1;
        if let Some(server) = self.servers.get_mut(&key) {
            server.own.in_flight += 1;
            server.changed = true;
            server.sent = now;
        }
        let attempt = Attempt {
            server: key,
            since: now,
            expected,
            silence_quarters: 0,
            answering: false,
        };
        self.attempts.insert(id, attempt);
        id
    }

    /// Counts an attempt as ended.
    pub fn end(&mut self, id: AttemptId, ended: HealthOutcome, now: Instant) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        let Some(server) = self.servers.get_mut(&attempt.server) else {
            return;
        };
        server.changed = true;
        server.own.in_flight = server.own.in_flight.saturating_sub(1);
        server.take_back_silence(attempt.silence_quarters);
        let seen = attempt.outcome(ended, now);
        server.own = server.own.plus(&seen);
        self.unknown.add(&seen, server.unanswered_for(now));
        let usual = self.usual.share();
        self.alarmed |= server.observe(&seen, usual, now);
        server.path.add(&path_outcome(ended, &seen), usual, now);
        self.usual.add(&seen, 1.0 - server.health.sickness());
    }

    /// Takes in what other boxes have seen, as told by a source; `updates` are the outcomes
    /// that were not known before.
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
        server.heard = Some(now);
        let before = server.remote.insert(source, tally).unwrap_or_default();
        if tally.in_flight > before.in_flight
            || updates.good + updates.failed + updates.refused > 0
        {
            server.sent = now;
        }
        self.unknown.add(updates, server.unanswered_for(now));
        self.alarmed |= server.observe(updates, self.usual.share(), now);
        self.usual.add(updates, 1.0 - server.health.sickness());
    }

    /// Whether a server has turned suspect since this was last asked: other boxes should
    /// know at once, before they send it more.
    pub fn take_new_suspicion(&mut self) -> bool {
        std::mem::take(&mut self.alarmed)
    }

    /// What a box that has just come should know of the servers.
    pub fn health_snapshots(&self, now: Instant) -> Vec<(ServerKey, HealthSnapshot)> {
        let noted = self.servers.iter();
        noted
            .filter_map(|(key, server)| Some((*key, server.health.snapshot(now)?)))
            .collect()
    }

    /// Takes over what another box knows of a server.
    pub fn merge_health_snapshot(
        &mut self,
        key: ServerKey,
        note: &HealthSnapshot,
        now: Instant,
    ) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.health.merge_snapshot(note, now);
        }
    }

    /// Forgets what a source has out: it is not heard any more.
    pub fn forget_source(&mut self, source: SourceId) {
        for server in self.servers.values_mut() {
            server.remote.remove(&source);
        }
    }

    /// Counts the silence of an attempt as it stands now; whether it tells more than before.
    pub fn update_silence_evidence(&mut self, id: AttemptId, now: Instant) -> bool {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return false;
        };
        let quarters = attempt.silence_at(now);
        let more = quarters.saturating_sub(attempt.silence_quarters);
        if more == 0 {
            return false;
        }
        attempt.silence_quarters = quarters;
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            server.own.silence_quarters += more;
            server.changed = true;
        }
        true
    }

    /// Notes that the answer of an attempt has begun: how long the rest takes, and whether
    /// its caller waits for it, tells nothing of the server.
    pub fn record_response_started(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.answering = true;
        let silence = std::mem::take(&mut attempt.silence_quarters);
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            server.take_back_silence(silence);
        }
    }

    /// This box's tallies that have changed since they were last taken.
    pub fn take_changes(&mut self) -> Vec<KeyedTally> {
        let changed = self.servers.iter_mut().filter(|(_, server)| server.changed);
        changed
            .map(|(key, server)| {
                server.changed = false;
                (*key, server.own)
            })
            .collect()
    }

    /// All of this box's tallies that say anything.
    pub fn tallies(&self) -> Vec<KeyedTally> {
        let told = self.servers.iter().map(|(key, server)| (*key, server.own));
        told.filter(|(_, tally)| *tally != ServerTally::default())
            .collect()
    }

    /// Attempts that are out now.
    pub fn outstanding(&self) -> usize {
        self.attempts.len()
    }

    /// Servers that have turned suspect, or are suspects no more, since this was last asked.
    pub fn take_suspicion_changes(&mut self, now: Instant) -> Vec<SuspicionChange> {
        let usual = self.usual.share();
        let mut turned = Vec::new();
        for server in self.servers.values_mut() {
            let failure_share = server.failure_share(usual, now);
            let suspect = failure_share >= SUSPECT_SHARE;
            if suspect == server.suspect {
                continue;
            }
            server.suspect = suspect;
            turned.push(SuspicionChange {
                server: server.record.clone(),
                is_suspected: suspect,
                failure_probability: failure_share,
                last_request_at: now.saturating_duration_since(server.sent),
            });
        }
        turned
    }

    /// Servers that are likelier than not to fail, by id, for the box's status.
    pub fn suspects(&self, now: Instant) -> Vec<String> {
        let usual = self.usual.share();
        let suspected = |server: &&Server| {
            let is_closed = self.access_now(server, now) == Availability::Unavailable;
            server.failure_share(usual, now) >= SUSPECT_SHARE || is_closed
        };
        let suspects = self.servers.values().filter(suspected);
        suspects.map(|server| server.record.id.clone()).collect()
    }

    /// Tries a server that no box has used for a while.
    fn pick_unused(
        &self,
        want: &PickRequest<'_>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<Pick> {
        if !is_in_reach(self.servers.len(), &want.service_load) {
            return None;
        }
        let spares_sick = !want.retry_safe && !holds_strictly(&want.service_load);
        let may_be_well = |server: &&Server| {
            let failed = server
                .failed
                .is_some_and(|at| now < at + FLOOR_AFTER_FAILURE);
            let was_sick = spares_sick
                && server
                    .surely_sick
                    .is_some_and(|at| now < at + FLOOR_AFTER_SICKNESS);
            // What has named a limit does not count as in use or not: it is sent what that
            // allows, and what leaves or rests nothing.
            !failed && !was_sick && self.access_now(server, now) == Availability::Open
        };
        // The boxes of its own data centre can try a server for less.
        let at_home = want.cross_data_centre_cost >= DEAR_CROSSING
            && !holds_strictly(&want.service_load);
        let usual = self.usual.share();
        let unused = |server: &Server| {
            let key = server.record.key();
            let is_far = server.distance == Distance::OtherRegion;
            let away = is_far || (at_home && server.distance != Distance::SameDataCentre);
            IdleServer {
                key,
                idle_for: now.saturating_duration_since(server.sent),
                failure_probability: server.failure_share(usual, now),
                is_eligible: !away && !want.tried.contains(&key),
            }
        };
        let servers = self.servers.values().filter(may_be_well);
        let servers: Vec<_> = servers.map(unused).collect();
        let inputs = IdleProbeInputs {
            retry_safe: want.retry_safe,
            service_load: want.service_load,
        };
        let key = pick_idle_probe(&servers, &inputs, random)?;
        let server = self.servers.get(&key)?;
        let weight = self.weigh(server, want, usual, now);
        Some(Pick {
            is_idle_probe: true,
            ..weight.pick(server, servers.len(), now)
        })
    }

    fn weigh(
        &self,
        server: &Server,
        want: &PickRequest<'_>,
        usual: f64,
        now: Instant,
    ) -> Weight {
        let in_flight = server.in_flight();
        let slots = f64::from(server.record.slots.max(1));
        let cold = if now < server.cold_until {
            COLD_FACTOR
        } else {
            1.0
        };
        let slowness = server.health.at(now).slowness().max(cold);
        let typical_ms = want.typical_latency.as_secs_f64() * 1000.0;
        // The queue before the request, in rounds of all slots.
        let ahead = (f64::from(in_flight) + 1.0 - slots).max(0.0) / slots;
        let crowding = CROWDING * f64::from(in_flight) / slots;
        let usual_ms = typical_ms * (1.0 + ahead + crowding);
        let known = server.failure_share(usual, now);
        Weight {
            expected_ms: usual_ms * slowness,
            usual_ms,
            well_ms: usual_ms * slowness.clamp(1.0, MOST_WELL_SLOWNESS),
            wait_ms: typical_ms * slowness * ahead,
            failure_share: self.unknown.aged(known, server.unanswered_for(now)),
            in_flight,
        }
    }

    fn penalty_ms(
        &self,
        server: &Server,
        want: &PickRequest<'_>,
        weight: &Weight,
        now: Instant,
    ) -> f64 {
        let failure_ms = if want.retry_safe {
            REPEATABLE_FAILURE_MS
        } else {
            LOST_FAILURE_MS
        };
        let refusals = server.health.at(now).refusal_share();
        let crossing_ms = want.cross_data_centre_cost.as_secs_f64() * 1000.0;
        let crossing_ms = match server.distance {
            Distance::SameDataCentre => 0.0,
            Distance::SameRegion => crossing_ms,
            Distance::OtherRegion => REGION_WAY_MS + REGION_CROSSINGS * crossing_ms,
        };
        weight.failure_share * failure_ms + refusals * REFUSAL_MS + crossing_ms
    }
}

/// What a request may expect of a server.
#[derive(Debug, Clone, Copy)]
struct Weight {
    expected_ms: f64,
    usual_ms: f64,
    well_ms: f64,
    wait_ms: f64,
    failure_share: f64,
    in_flight: u32,
}

impl Weight {
    fn expected(&self) -> Duration {
        Duration::from_secs_f64(self.expected_ms / 1000.0)
    }

    fn pick(&self, server: &Server, candidates: usize, now: Instant) -> Pick {
        Pick {
            server: server.record.clone(),
            expected_ms: self.expected_ms,
            baseline_ms: self.usual_ms,
            healthy_ms: self.well_ms,
            wait_ms: self.wait_ms,
            failure_probability: self.failure_share,
            in_flight: self.in_flight,
            candidates,
            choice_set_size: 0,
            is_idle_probe: false,
            last_report_age: server.heard.map(|at| now.saturating_duration_since(at)),
        }
    }
}

/// The way to another region and back.
const REGION_WAY_MS: f64 = 60.0;
/// Bytes between regions share one line, and cost about twice as much as those between data
/// centres of a region.
const REGION_CROSSINGS: f64 = 2.0;
/// No work takes less than a millisecond.
const LEAST_TYPICAL_S: f64 = 0.001;
/// Costs are blurred by up to this share, so that boxes with the same view spread.
const NOISE: f64 = 0.2;
/// Servers slow down as they fill: this share of the work's time for full slots.
const CROWDING: f64 = 0.3;
/// A server that takes longer than so many times the usual is not well: its silence counts
/// from there.
const MOST_WELL_SLOWNESS: f64 = 2.0;
/// A server that has just started takes about twice as long.
const COLD_FACTOR: f64 = 2.0;
/// What a failure costs a request that can be sent again: another attempt.
const REPEATABLE_FAILURE_MS: f64 = 1500.0;
/// What a failure costs a request that cannot: it weighs as much as several late answers.
const LOST_FAILURE_MS: f64 = 5000.0;
/// A server that refused has a queue of several service times.
const CROWDED_FOR: Duration = Duration::from_secs(1);
/// What a refusal costs: a round trip and a resend from the budget.
const REFUSAL_MS: f64 = 300.0;
/// A server that failed counts as one that may be well after this; the users say two
/// seconds.
const FLOOR_AFTER_FAILURE: Duration = Duration::from_millis(1500);
/// For requests that cannot be sent again, in calm times, a server that was surely sick counts
/// as one that may be well only after this: the floor is judged by servers that have had no
/// trouble for six seconds.
const FLOOR_AFTER_SICKNESS: Duration = Duration::from_millis(6000);
/// An answer that costs this much to fetch from another data centre, as a download does, is
/// not spent on trying a server there.
const DEAR_CROSSING: Duration = Duration::from_millis(300);
/// A box may always have so many requests out at a server.
const LEAST_CONNECTIONS: u32 = 4;
/// A server with a limit that is doubted more is left to those without: less leaves much of
/// the limits unused, more sends gray servers what fails.
const MOST_DUE_DOUBT: f64 = 0.2;
/// From here on a server is named as suspect in the status.
pub const SUSPECT_SHARE: f64 = 0.35;
