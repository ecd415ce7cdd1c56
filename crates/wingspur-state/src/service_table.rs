//! One box's table of a service: its servers, its attempts and what they show.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::correlated_suspicion::{UNEASY_SHARE, Unease, groups_of};
use crate::evidence::{
    Evidence, EvidenceEntry, EvidenceReport, LEAST_BUSY_SHARE, Score, ejection_threshold,
    healthy_evidence,
};
use crate::history::{LatencyHistory, Present, ServiceHistory};
use crate::outlier_detector::{OutlierStatus, Verdict};
use crate::{
    AttemptId, Candidate, EjectionState, RetryBudget, RouteClass, ServerIndex, Service,
    pick,
};

/// What a box knows of a service and its backend servers.
#[derive(Debug)]
pub struct ServiceTable {
    service: Arc<Service>,
    tag: u64,
    servers: Vec<ServerEntry>,
    /// In order, so that a replay adds up alike each time.
    attempts: BTreeMap<AttemptId, Attempt>,
    next_attempt: AttemptId,
    history: ServiceHistory,
    /// The servers of each data centre.
    groups: Vec<Vec<ServerIndex>>,
    budget: RetryBudget,
    threshold: f64,
    reported: Option<Instant>,
    ticked: Option<Instant>,
    verdict_expires: Option<Instant>,
    /// Until when there is something to weigh or to report.
    busy_until: Option<Instant>,
}

#[derive(Debug, Clone)]
struct ServerEntry {
    same_data_centre: bool,
    connection_share: u32,
    outstanding: u32,
    load_hint: f64,
    listed_leaving: bool,
    draining: bool,
    verdict: OutlierStatus,
    history: LatencyHistory,
    /// This box's own sums: reported, and used alone when no verdict is to be had.
    score: Score,
    /// What the sums were measured against.
    present: Present,
    /// Since when they are over the threshold.
    over_since: Option<Instant>,
    /// Whether this box avoids the server on its own account.
    avoided: bool,
    /// The largest of them when it was last reported.
    reported_sum: f64,
    observations: u32,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    server: ServerIndex,
    /// The start, or the last progress of a long answer.
    since: Instant,
    /// The survival evidence that has been counted already.
    counted: Evidence,
    observed: bool,
    /// Whether the head came: what follows is judged by progress alone.
    streaming: bool,
}

/// How an attempt ended, as far as it tells of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A good answer.
    Answered,
    /// An answer that is an error, or a connection that failed.
    Failed,
    /// Given up by us or the caller, or refused by a server that sheds load.
    Abandoned,
}

impl ServiceTable {
    /// A fresh table for a box in `home`, one of `boxes` that share the servers.
    pub fn new(service: Arc<Service>, tag: u64, home: &str, boxes: u32) -> Self {
        let entry = |server: &crate::BackendServer| ServerEntry {
            same_data_centre: server.data_centre == home,
            connection_share: (server.connections / boxes.max(1)).max(1),
            outstanding: 0,
            load_hint: 0.0,
            listed_leaving: false,
            draining: false,
            verdict: OutlierStatus::Active,
            history: LatencyHistory::default(),
            score: Score::default(),
            present: Present::default(),
            over_since: None,
            avoided: false,
            reported_sum: 0.0,
            observations: 0,
        };
        let groups = groups_of(&service);
        let knob = service.detection.false_ejections_per_server_day;
        Self {
            tag,
            servers: service.servers.iter().map(entry).collect(),
            attempts: BTreeMap::new(),
            next_attempt: 1,
            history: ServiceHistory::new(service.servers.len(), groups.clone()),
            groups,
            budget: RetryBudget::new(service.retry.budget_percent),
            // The allowance is the fleet's: each box has its share of it.
            threshold: ejection_threshold(
                knob / f64::from(boxes.max(1)),
                1,
                LEAST_BUSY_SHARE,
            ),
            reported: None,
            ticked: None,
            verdict_expires: None,
            busy_until: None,
            service,
        }
    }

    /// Takes over what a table of an older bundle learned of the same servers.
    pub fn inherit_state(&mut self, older: &Self) {
        for (index, server) in self.service.servers.iter().enumerate() {
            let same = |old: &crate::BackendServer| old.address == server.address;
            let Some(old) = older.service.servers.iter().position(same) else {
                continue;
            };
            let kept = &older.servers[old];
            let entry = &mut self.servers[index];
            entry.history = kept.history;
            entry.verdict = kept.verdict;
            entry.score = kept.score;
            entry.listed_leaving = kept.listed_leaving;
            entry.draining = kept.draining && self.tag == older.tag;
        }
        self.history.inherit(&older.history);
        self.verdict_expires = older.verdict_expires;
    }

    /// The service as the bundle declares it.
    pub fn service(&self) -> &Arc<Service> {
        &self.service
    }

    /// Stands for the service and its exact list of servers in evidence.
    pub fn tag(&self) -> u64 {
        self.tag
    }

    /// The retry budget.
    pub fn budget(&mut self) -> &mut RetryBudget {
        &mut self.budget
    }

    /// Picks a server for a request, none of those in `tried` if another will do.
    pub fn pick(
        &self,
        class: RouteClass,
        tried: &[ServerIndex],
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<ServerIndex> {
        let all: Vec<Candidate> = (0..self.servers.len())
            .map(|server| self.candidate(server, class.is_retry_safe(), now))
            .collect();
        let fresh = all
            .iter()
            .filter(|candidate| !tried.contains(&candidate.server));
        let fresh: Vec<Candidate> = fresh.copied().collect();
        let safe = class.is_retry_safe();
        pick(&fresh, safe, random).or_else(|| pick(&all, safe, random))
    }

    /// Counts an attempt at a server as begun.
    pub fn begin(&mut self, server: ServerIndex, now: Instant) -> AttemptId {
        self.busy_until = Some(now + BUSY_AFTER_WORK);
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

    /// Weighs the arrival of an answer's head; its body is judged by its progress.
    pub fn record_response_head(
        &mut self,
        id: AttemptId,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        let Some(mut attempt) = self.attempts.remove(&id) else {
            return;
        };
        self.weigh_end(&attempt, outcome, now);
        attempt.streaming = true;
        attempt.since = now;
        attempt.counted = Evidence::default();
        attempt.observed = true;
        self.attempts.insert(id, attempt);
    }

    /// Notes that bytes of an answer came.
    pub fn record_response_progress(&mut self, id: AttemptId, now: Instant) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.since = now;
            attempt.counted = Evidence::default();
        }
    }

    /// Counts an attempt as ended.
    pub fn finish(&mut self, id: AttemptId, outcome: AttemptOutcome, now: Instant) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        let entry = &mut self.servers[attempt.server];
        entry.outstanding = entry.outstanding.saturating_sub(1);
        if !attempt.streaming {
            self.weigh_end(&attempt, outcome, now);
            return;
        }
        if outcome == AttemptOutcome::Failed {
            self.weigh_end(&attempt, outcome, now);
        }
    }

    /// Takes in a server's load report, 0 (idle) to 1 (full): a hint only.
    pub fn set_load_hint(&mut self, server: ServerIndex, hint: f64) {
        let old = &mut self.servers[server].load_hint;
        *old += LOAD_HINT_WEIGHT * (hint - *old);
    }

    /// Notes what the platform's list says of a server; a leaving one gets nothing new.
    pub fn set_listed_leaving(&mut self, server: ServerIndex, leaving: bool) {
        self.servers[server].listed_leaving = leaving;
    }

    /// Notes that a server said itself that it leaves; it stays out until the bundle
    /// changes its service.
    pub fn set_draining(&mut self, server: ServerIndex) {
        self.servers[server].draining = true;
    }

    /// Whether the server is known to be leaving.
    pub fn is_leaving(&self, server: ServerIndex) -> bool {
        self.servers[server].is_leaving()
    }

    /// Weighs the age of work that has not come back, and reports what was seen.
    ///
    /// Call it each `TICK`. A report comes at once when there is something to tell,
    /// and else each `REPORT_EVERY`, which also keeps verdicts fresh.
    pub fn tick(&mut self, now: Instant) -> Option<EvidenceReport> {
        if self.is_idle(now) {
            // A box works with few of many services at a time.
            return None;
        }
        self.history.refresh(now);
        self.weigh_ages(now);
        let passed = self.ticked.map_or(0.0, |last| seconds(now, last));
        self.ticked = Some(now);
        for (server, entry) in self.servers.iter_mut().enumerate() {
            entry.score.forgive(passed);
            if entry.present.follow(self.history.present(server)) {
                entry.score = Score::default();
            }
        }
        self.settle_own(now);
        let last = *self.reported.get_or_insert(now);
        let since = now.saturating_duration_since(last);
        let telling = self.servers.iter().any(ServerEntry::has_updates);
        if since >= REPORT_EVERY || (telling && since >= REPORT_SOONEST) {
            self.reported = Some(now);
            return Some(self.take_report(since));
        }
        None
    }

    /// Whether there is nothing to weigh or to report.
    pub fn is_idle(&self, now: Instant) -> bool {
        let busy = self.busy_until.is_some_and(|until| now < until);
        !busy && self.attempts.is_empty()
    }

    /// Puts the judge's verdict in force until it expires.
    pub fn apply(&mut self, verdict: &Verdict, now: Instant) {
        if verdict.service_tag != self.tag {
            return;
        }
        let mut standings = vec![OutlierStatus::Active; self.servers.len()];
        for (server, standing) in &verdict.standings {
            if let Some(slot) = standings.get_mut(usize::from(*server)) {
                *slot = *standing;
            }
        }
        for (entry, standing) in self.servers.iter_mut().zip(standings) {
            let was_held = matches!(
                entry.verdict,
                OutlierStatus::Excluded | OutlierStatus::Suspected
            );
            let returns =
                !matches!(standing, OutlierStatus::Excluded | OutlierStatus::Suspected);
            if was_held && returns {
                // What it did before the hold must not speak against it after.
                entry.score = Score::default();
            }
            entry.verdict = standing;
        }
        self.verdict_expires = Some(now + VERDICT_TTL);
    }

    /// How a server stands with this box now.
    pub fn ejection_state(&self, server: ServerIndex, now: Instant) -> EjectionState {
        let entry = &self.servers[server];
        if entry.is_leaving() {
            return EjectionState::Excluded;
        }
        let fresh = self.has_verdict(now);
        let own = if entry.avoided {
            EjectionState::Suspected
        } else {
            EjectionState::Active
        };
        if !fresh {
            // Without a judge nobody may take capacity away: suspects are used last.
            return match entry.verdict {
                OutlierStatus::Active | OutlierStatus::Watched => own,
                _ => EjectionState::Suspected,
            };
        }
        match entry.verdict {
            OutlierStatus::Active | OutlierStatus::Watched => own,
            OutlierStatus::Probation(share) => EjectionState::Probation(f64::from(share)),
            OutlierStatus::Suspected => EjectionState::Suspected,
            OutlierStatus::Excluded => EjectionState::Excluded,
        }
    }

    /// Attempts that are out now.
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

    /// Settles which servers this box avoids on its own account.
    fn settle_own(&mut self, now: Instant) {
        let judged = self.has_verdict(now);
        let uneasy_at = self.threshold * UNEASY_SHARE;
        let scores = self.servers.iter().map(|entry| entry.score.sum());
        let unease = Unease::new(scores, &self.groups, uneasy_at);
        for (server, entry) in self.servers.iter_mut().enumerate() {
            if entry.score.sum() < self.threshold {
                entry.over_since = None;
                entry.avoided = false;
                continue;
            }
            let since = *entry.over_since.get_or_insert(now);
            let over = now.saturating_duration_since(since);
            // A judge that is heard decides for all, and sooner; what only this box
            // sees must last.
            let patience = if judged { OWN_PATIENCE } else { Duration::ZERO };
            entry.avoided |= over >= patience && unease.allows(server, over);
        }
    }

    fn weigh_ages(&mut self, now: Instant) {
        if !self.history.is_settled() {
            return;
        }
        for attempt in self.attempts.values_mut() {
            let entry = &mut self.servers[attempt.server];
            let reference = self.history.reference(attempt.server, &entry.history);
            let age_ms = seconds(now, attempt.since) * 1000.0;
            let evidence = reference.survival(age_ms);
            let step: Evidence =
                std::array::from_fn(|index| evidence[index] - attempt.counted[index]);
            if largest(step) < LEAST_STEP {
                continue;
            }
            entry.add(step, !std::mem::replace(&mut attempt.observed, true));
            attempt.counted = evidence;
        }
    }

    fn weigh_end(&mut self, attempt: &Attempt, outcome: AttemptOutcome, now: Instant) {
        let entry = &mut self.servers[attempt.server];
        let trusted = entry.is_trusted();
        let latency_ms = seconds(now, attempt.since) * 1000.0;
        let settled = self.history.is_settled();
        let reference = self.history.reference(attempt.server, &entry.history);
        let evidence = match outcome {
            AttemptOutcome::Abandoned => return,
            AttemptOutcome::Failed => reference.error(),
            AttemptOutcome::Answered if settled => reference.answer(latency_ms),
            AttemptOutcome::Answered => healthy_evidence(),
        };
        // What its age has told already is not told twice.
        let step: Evidence =
            std::array::from_fn(|index| evidence[index] - attempt.counted[index]);
        entry.add(step, !attempt.observed);
        let failed = outcome == AttemptOutcome::Failed;
        if !failed {
            let own = &mut entry.history;
            self.history
                .learn_answer(attempt.server, own, latency_ms, trusted, now);
        }
        self.history.learn_end(attempt.server, failed, now);
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

    fn is_leaving(&self) -> bool {
        self.listed_leaving || self.draining
    }

    /// Whether the judge should hear of this before the next regular report.
    fn has_updates(&self) -> bool {
        (self.score.sum() - self.reported_sum).abs() >= NEWS
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

/// How often `ServiceTable::tick` wants to be called.
pub const EVIDENCE_TICK: Duration = Duration::from_millis(50);
/// A verdict is in force for so long unless it is renewed.
pub const VERDICT_TTL: Duration = Duration::from_secs(3);
/// A table without work is left alone after this: the present is forgotten by then.
const BUSY_AFTER_WORK: Duration = Duration::from_secs(4);
const REPORT_EVERY: Duration = Duration::from_secs(1);
const REPORT_SOONEST: Duration = Duration::from_millis(50);
/// A change of a sum that is worth a report of its own.
const NEWS: f64 = 1.0;
/// Smaller steps of an attempt's evidence wait for the next tick.
const LEAST_STEP: f64 = 0.25;
/// What only this box sees counts when it has lasted so long.
const OWN_PATIENCE: Duration = Duration::from_secs(1);
const TRUSTED_SCORE: f64 = 3.0;
const LOAD_HINT_WEIGHT: f64 = 0.3;
