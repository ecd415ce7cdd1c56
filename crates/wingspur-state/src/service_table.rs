//! One box's view of a service: its servers, its attempts in flight and the evidence from
//! them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::correlated_suspicion::{
    CorrelatedSuspicion, RAISED_SCORE_RATIO, servers_by_data_centre,
};
use crate::evidence::{
    Evidence, EvidenceEntry, EvidenceReport, MIN_BUSY_SHARE, Score, ejection_threshold,
    healthy_evidence,
};
use crate::history::{CurrentConditions, LatencyHistory, ServiceHistory};
use crate::outlier_detector::{OutlierStatus, Verdict};
use crate::{
    AttemptId, Candidate, EjectionState, RetryBudget, RouteClass, ServerIndex, Service,
    pick,
};

/// What a box knows about a service and its backend servers.
#[derive(Debug)]
pub struct ServiceTable {
    service: Arc<Service>,
    tag: u64,
    servers: Vec<ServerEntry>,
    /// In order, so that a replay sums the evidence in the same order each time.
    attempts: BTreeMap<AttemptId, Attempt>,
    next_attempt: AttemptId,
    history: ServiceHistory,
    /// The servers of each data centre.
    groups: Vec<Vec<ServerIndex>>,
    budget: RetryBudget,
    /// Evidence sum from which a server is suspected.
    threshold: f64,
    last_report: Option<Instant>,
    last_tick: Option<Instant>,
    verdict_expires: Option<Instant>,
    /// Until when there may be something to evaluate or to report.
    active_until: Option<Instant>,
}

#[derive(Debug, Clone)]
struct ServerEntry {
    same_data_centre: bool,
    connection_share: u32,
    outstanding: u32,
    load_hint: f64,
    listed_draining: bool,
    draining: bool,
    verdict: OutlierStatus,
    history: LatencyHistory,
    /// This box's own evidence sums: reported to the outlier detector, and used alone
    /// while there is no valid verdict.
    score: Score,
    /// Service conditions that the sums were computed against.
    conditions: CurrentConditions,
    /// Since when the sums have been over the threshold.
    over_threshold_since: Option<Instant>,
    /// Whether this box suspects the server by its own evidence.
    locally_suspected: bool,
    /// The largest sum when it was last reported.
    reported_sum: f64,
    /// Attempts that were first counted as evidence since the last report.
    observations: u32,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    server: ServerIndex,
    /// When the attempt was sent, or when bytes of its response last arrived.
    since: Instant,
    /// The evidence that has already been counted for the time without progress.
    counted: Evidence,
    /// Whether the attempt has been counted as an observation.
    observed: bool,
    /// Whether the response head has arrived; from then on only a stalled or failed body
    /// is evidence.
    streaming: bool,
}

/// How an attempt ended, as evidence about the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A good response.
    Answered,
    /// An error response, or a connection that failed.
    Failed,
    /// Given up by this box or the caller, or refused by a server that sheds load; not
    /// evidence.
    Abandoned,
}

impl ServiceTable {
    /// Creates a table without observations for a box in the data centre `home`, one of
    /// `boxes` that share the servers.
    pub fn new(service: Arc<Service>, tag: u64, home: &str, boxes: u32) -> Self {
        let entry = |server: &crate::BackendServer| ServerEntry {
            same_data_centre: server.data_centre == home,
            connection_share: (server.connections / boxes.max(1)).max(1),
            outstanding: 0,
            load_hint: 0.0,
            listed_draining: false,
            draining: false,
            verdict: OutlierStatus::Active,
            history: LatencyHistory::default(),
            score: Score::default(),
            conditions: CurrentConditions::default(),
            over_threshold_since: None,
            locally_suspected: false,
            reported_sum: 0.0,
            observations: 0,
        };
        let groups = servers_by_data_centre(&service);
        let allowed_false_ejections = service.detection.false_ejections_per_server_day;
        Self {
            tag,
            servers: service.servers.iter().map(entry).collect(),
            attempts: BTreeMap::new(),
            next_attempt: 1,
            history: ServiceHistory::new(service.servers.len(), groups.clone()),
            groups,
            budget: RetryBudget::new(service.retry.budget_percent),
            // The allowed number of false ejections is for the fleet; each box gets its
            // share.
            threshold: ejection_threshold(
                allowed_false_ejections / f64::from(boxes.max(1)),
                1,
                MIN_BUSY_SHARE,
            ),
            last_report: None,
            last_tick: None,
            verdict_expires: None,
            active_until: None,
            service,
        }
    }

    /// Takes over what the table of an older bundle learned of the same servers; servers
    /// are the same if their addresses are equal.
    pub fn inherit_state(&mut self, older: &Self) {
        for (index, server) in self.service.servers.iter().enumerate() {
            let same = |old: &crate::BackendServer| old.address == server.address;
            let Some(old_index) = older.service.servers.iter().position(same) else {
                continue;
            };
            let old_entry = &older.servers[old_index];
            let entry = &mut self.servers[index];
            entry.history = old_entry.history;
            entry.verdict = old_entry.verdict;
            entry.score = old_entry.score;
            entry.listed_draining = old_entry.listed_draining;
            entry.draining = old_entry.draining && self.tag == older.tag;
        }
        self.history.inherit(&older.history);
        self.verdict_expires = older.verdict_expires;
    }

    /// Returns the service as the bundle declares it.
    pub fn service(&self) -> &Arc<Service> {
        &self.service
    }

    /// Returns the tag that identifies the service and its exact list of servers in
    /// evidence reports.
    pub fn tag(&self) -> u64 {
        self.tag
    }

    /// Returns the retry budget.
    pub fn budget(&mut self) -> &mut RetryBudget {
        &mut self.budget
    }

    /// Picks a server for a request, one of those in `tried` only if no other can be
    /// used.
    ///
    /// Returns `None` if no server may take the request.
    pub fn pick(
        &self,
        class: RouteClass,
        tried: &[ServerIndex],
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<ServerIndex> {
        let candidates: Vec<Candidate> = (0..self.servers.len())
            .map(|server| self.candidate(server, class.is_retry_safe(), now))
            .collect();
        let untried = candidates
            .iter()
            .filter(|candidate| !tried.contains(&candidate.server));
        let untried: Vec<Candidate> = untried.copied().collect();
        let safe = class.is_retry_safe();
        pick(&untried, safe, random).or_else(|| pick(&candidates, safe, random))
    }

    /// Records that an attempt is sent to a server, and returns its id.
    pub fn begin(&mut self, server: ServerIndex, now: Instant) -> AttemptId {
        self.active_until = Some(now + ACTIVE_AFTER_REQUEST);
        let id = self.next_attempt;
        self.next_attempt += 1;
        self.servers[server].outstanding += 1;
        let attempt = Attempt {
            server,
            since: now,
            counted: Evidence::default(),
            observed: false,
            streaming: false,
        };
        self.attempts.insert(id, attempt);
        id
    }

    /// Records the arrival of the response head as evidence. From then on, the attempt
    /// counts against the server if its body stalls or fails.
    pub fn record_response_head(
        &mut self,
        id: AttemptId,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        let Some(mut attempt) = self.attempts.remove(&id) else {
            return;
        };
        self.add_outcome_evidence(&attempt, outcome, now);
        attempt.streaming = true;
        attempt.since = now;
        attempt.counted = Evidence::default();
        attempt.observed = true;
        self.attempts.insert(id, attempt);
    }

    /// Records that bytes of the response body arrived.
    pub fn record_response_progress(&mut self, id: AttemptId, now: Instant) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.since = now;
            attempt.counted = Evidence::default();
        }
    }

    /// Records the end of an attempt.
    pub fn finish(&mut self, id: AttemptId, outcome: AttemptOutcome, now: Instant) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        let entry = &mut self.servers[attempt.server];
        entry.outstanding = entry.outstanding.saturating_sub(1);
        if !attempt.streaming {
            self.add_outcome_evidence(&attempt, outcome, now);
            return;
        }
        if outcome == AttemptOutcome::Failed {
            self.add_outcome_evidence(&attempt, outcome, now);
        }
    }

    /// Adds a load value that a server reported, from 0 (idle) to 1 (full), to its
    /// smoothed load hint.
    pub fn set_load_hint(&mut self, server: ServerIndex, hint: f64) {
        let smoothed = &mut self.servers[server].load_hint;
        *smoothed += LOAD_HINT_WEIGHT * (hint - *smoothed);
    }

    /// Sets whether the platform's list says that a server is draining; a draining server
    /// gets no new requests.
    pub fn set_listed_draining(&mut self, server: ServerIndex, draining: bool) {
        self.servers[server].listed_draining = draining;
    }

    /// Records that a server has announced itself that it is draining. It gets no new
    /// requests until a bundle changes its service.
    pub fn set_draining(&mut self, server: ServerIndex) {
        self.servers[server].draining = true;
    }

    /// Whether the server is known to be draining.
    pub fn is_draining(&self, server: ServerIndex) -> bool {
        self.servers[server].is_draining()
    }

    /// Adds the evidence from attempts without a response and returns a report if one is
    /// due.
    ///
    /// Must be called every `EVIDENCE_TICK`. A report is due soon when a sum has changed
    /// by `MIN_REPORTED_CHANGE`, and otherwise every `REPORT_INTERVAL`, which also keeps
    /// verdicts from expiring.
    pub fn tick(&mut self, now: Instant) -> Option<EvidenceReport> {
        if self.is_idle(now) {
            // A box uses only a few of many services at a time.
            return None;
        }
        self.history.refresh(now);
        self.add_pending_evidence(now);
        let elapsed_s = self.last_tick.map_or(0.0, |last| seconds(now, last));
        self.last_tick = Some(now);
        for (server, entry) in self.servers.iter_mut().enumerate() {
            entry.score.decay(elapsed_s);
            if entry.conditions.update(self.history.conditions_for(server)) {
                entry.score = Score::default();
            }
        }
        self.update_local_suspicion(now);
        let last = *self.last_report.get_or_insert(now);
        let since = now.saturating_duration_since(last);
        let has_updates = self.servers.iter().any(ServerEntry::has_updates);
        if since >= REPORT_INTERVAL || (has_updates && since >= MIN_REPORT_INTERVAL) {
            self.last_report = Some(now);
            return Some(self.take_report(since));
        }
        None
    }

    /// Whether there is nothing to evaluate or to report.
    pub fn is_idle(&self, now: Instant) -> bool {
        let active = self.active_until.is_some_and(|until| now < until);
        !active && self.attempts.is_empty()
    }

    /// Activates a verdict of the outlier detector until it expires. A verdict with the
    /// tag of another service or server list is ignored.
    pub fn apply(&mut self, verdict: &Verdict, now: Instant) {
        if verdict.service_tag != self.tag {
            return;
        }
        let mut statuses = vec![OutlierStatus::Active; self.servers.len()];
        for (server, status) in &verdict.standings {
            if let Some(entry_status) = statuses.get_mut(usize::from(*server)) {
                *entry_status = *status;
            }
        }
        for (entry, status) in self.servers.iter_mut().zip(statuses) {
            let was_restricted = matches!(
                entry.verdict,
                OutlierStatus::Excluded | OutlierStatus::Suspected
            );
            let is_restored =
                !matches!(status, OutlierStatus::Excluded | OutlierStatus::Suspected);
            if was_restricted && is_restored {
                // Evidence from before the hold must not count after it.
                entry.score = Score::default();
            }
            entry.verdict = status;
        }
        self.verdict_expires = Some(now + VERDICT_TTL);
    }

    /// Returns whether and how this box may use a server now.
    pub fn ejection_state(&self, server: ServerIndex, now: Instant) -> EjectionState {
        let entry = &self.servers[server];
        if entry.is_draining() {
            return EjectionState::Excluded;
        }
        let has_verdict = self.has_verdict(now);
        let local_state = if entry.locally_suspected {
            EjectionState::Suspected
        } else {
            EjectionState::Active
        };
        if !has_verdict {
            // Without a valid verdict no box may take capacity away: servers that the
            // last verdict restricted are used when no other has room.
            return match entry.verdict {
                OutlierStatus::Active | OutlierStatus::Watched => local_state,
                _ => EjectionState::Suspected,
            };
        }
        match entry.verdict {
            OutlierStatus::Active | OutlierStatus::Watched => local_state,
            OutlierStatus::Probation(share) => EjectionState::Probation(f64::from(share)),
            OutlierStatus::Suspected => EjectionState::Suspected,
            OutlierStatus::Excluded => EjectionState::Excluded,
        }
    }

    /// Returns the number of attempts in flight.
    pub fn outstanding(&self) -> usize {
        self.attempts.len()
    }

    fn has_verdict(&self, now: Instant) -> bool {
        self.verdict_expires.is_some_and(|expires| now < expires)
    }

    fn candidate(&self, server: ServerIndex, safe: bool, now: Instant) -> Candidate {
        let entry = &self.servers[server];
        let watched = safe && entry.verdict == OutlierStatus::Watched;
        let full = entry.outstanding >= entry.connection_share;
        Candidate {
            server,
            slots: self.service.servers[server].slots,
            outstanding: entry.outstanding,
            load_hint: entry.load_hint,
            same_data_centre: entry.same_data_centre || watched,
            ejection_state: if full {
                EjectionState::Excluded
            } else {
                self.ejection_state(server, now)
            },
        }
    }

    /// Updates which servers this box suspects by its own evidence.
    fn update_local_suspicion(&mut self, now: Instant) {
        let has_verdict = self.has_verdict(now);
        let correlation_threshold = self.threshold * RAISED_SCORE_RATIO;
        let scores = self.servers.iter().map(|entry| entry.score.sum());
        let correlated =
            CorrelatedSuspicion::new(scores, &self.groups, correlation_threshold);
        for (server, entry) in self.servers.iter_mut().enumerate() {
            if entry.score.sum() < self.threshold {
                entry.over_threshold_since = None;
                entry.locally_suspected = false;
                continue;
            }
            let since = *entry.over_threshold_since.get_or_insert(now);
            let over = now.saturating_duration_since(since);
            // While verdicts arrive, the outlier detector decides for all boxes, and
            // sooner; evidence that only this box has must persist for longer.
            let min_duration = if has_verdict {
                LOCAL_SUSPICION_DELAY
            } else {
                Duration::ZERO
            };
            entry.locally_suspected |=
                over >= min_duration && correlated.allows(server, over);
        }
    }

    fn add_pending_evidence(&mut self, now: Instant) {
        if !self.history.has_enough_responses() {
            return;
        }
        for attempt in self.attempts.values_mut() {
            let entry = &mut self.servers[attempt.server];
            let baseline = self.history.baseline_for(attempt.server, &entry.history);
            let age_ms = seconds(now, attempt.since) * 1000.0;
            let evidence = baseline.pending_evidence(age_ms);
            let step: Evidence =
                std::array::from_fn(|index| evidence[index] - attempt.counted[index]);
            if largest(step) < MIN_EVIDENCE_STEP {
                continue;
            }
            entry.add(step, !std::mem::replace(&mut attempt.observed, true));
            attempt.counted = evidence;
        }
    }

    fn add_outcome_evidence(
        &mut self,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        let entry = &mut self.servers[attempt.server];
        let trusted = entry.is_trusted();
        let latency_ms = seconds(now, attempt.since) * 1000.0;
        let has_enough_responses = self.history.has_enough_responses();
        let baseline = self.history.baseline_for(attempt.server, &entry.history);
        let evidence = match outcome {
            AttemptOutcome::Abandoned => return,
            AttemptOutcome::Failed => baseline.error_evidence(),
            AttemptOutcome::Answered if has_enough_responses => {
                baseline.response_evidence(latency_ms)
            }
            AttemptOutcome::Answered => healthy_evidence(),
        };
        // Evidence that was already counted for the attempt's age must not count twice.
        let step: Evidence =
            std::array::from_fn(|index| evidence[index] - attempt.counted[index]);
        entry.add(step, !attempt.observed);
        let failed = outcome == AttemptOutcome::Failed;
        if !failed {
            let own = &mut entry.history;
            self.history
                .record_response(attempt.server, own, latency_ms, trusted, now);
        }
        self.history.record_outcome(attempt.server, failed, now);
    }

    fn take_report(&mut self, span: Duration) -> EvidenceReport {
        let mut entries = Vec::new();
        for (server, entry) in self.servers.iter_mut().enumerate() {
            let sum = entry.score.sum();
            if entry.observations == 0 && sum == 0.0 && entry.reported_sum == 0.0 {
                continue;
            }
            entry.reported_sum = sum;
            let observations = entry.observations.min(u32::from(u16::MAX));
            entry.observations = 0;
            entries.push(EvidenceEntry {
                server: server as u16,
                observations: observations as u16,
                hundredths: entry.score.hundredths(),
            });
        }
        let span_ms = span.as_millis().min(u128::from(u32::MAX)) as u32;
        EvidenceReport {
            service_tag: self.tag,
            span_ms,
            entries,
        }
    }
}

impl ServerEntry {
    fn add(&mut self, evidence: Evidence, first: bool) {
        self.observations += u32::from(first);
        self.score.add(evidence);
    }

    fn is_draining(&self) -> bool {
        self.listed_draining || self.draining
    }

    /// Whether the sum has changed so much that it is reported before the next regular
    /// report.
    fn has_updates(&self) -> bool {
        (self.score.sum() - self.reported_sum).abs() >= MIN_REPORTED_CHANGE
    }

    fn is_trusted(&self) -> bool {
        self.score.sum() < TRUSTED_SCORE && self.verdict == OutlierStatus::Active
    }
}

fn largest(evidence: Evidence) -> f64 {
    evidence.into_iter().fold(0.0, f64::max)
}

fn seconds(now: Instant, since: Instant) -> f64 {
    now.saturating_duration_since(since).as_secs_f64()
}

/// Interval at which `ServiceTable::tick` is to be called.
pub const EVIDENCE_TICK: Duration = Duration::from_millis(50);
/// Time after which a verdict expires unless it is renewed.
pub const VERDICT_TTL: Duration = Duration::from_secs(3);
/// Time after the last request from which a table without attempts is idle; the current
/// service conditions have expired by then.
const ACTIVE_AFTER_REQUEST: Duration = Duration::from_secs(4);
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Change of a sum that is reported before the next regular report.
const MIN_REPORTED_CHANGE: f64 = 1.0;
/// Smallest increase of an attempt's evidence that is added; smaller ones wait for a
/// later tick.
const MIN_EVIDENCE_STEP: f64 = 0.25;
/// How long a server must be over the threshold by this box's evidence alone to be
/// suspected while verdicts arrive.
const LOCAL_SUSPICION_DELAY: Duration = Duration::from_secs(1);
/// Evidence sum below which a server's responses are added to the histories.
const TRUSTED_SCORE: f64 = 3.0;
const LOAD_HINT_WEIGHT: f64 = 0.3;
