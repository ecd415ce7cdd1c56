//! Outlier detection for a service: sums the boxes' evidence on each server, and ejects
//! servers as long as enough capacity (the floor) stays available.
//!
//! Normally one box has this role for a service, but several may have it at a time. A
//! verdict that a server is *suspected* takes no capacity away and needs no agreement. An
//! *ejection* must first be written to the service's record in the store. All detectors
//! of the service share that record, so together they also keep to the floor.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::correlated_suspicion::{
    CorrelatedSuspicion, RAISED_SCORE_RATIO, servers_by_data_centre,
};
use crate::evidence::{Evidence, EvidenceReport, MIN_BUSY_SHARE, ejection_threshold};
use crate::{BoxId, DataCentreId, ServerIndex, Service};

/// Outlier detector for the servers of one service.
#[derive(Debug)]
pub struct OutlierDetector {
    tag: u64,
    false_ejections_per_server_day: f64,
    /// Evidence at which a server is suspected, for the number of boxes that currently
    /// report and the current `noise_share`.
    threshold: f64,
    /// Smoothed share of boxes that have evidence against a healthy server.
    noise_share: f64,
    /// Slots that must stay available.
    floor_slots: u32,
    servers: Vec<MonitoredServer>,
    /// The servers of each data centre.
    servers_by_data_centre: Vec<Vec<ServerIndex>>,
    /// When each box last reported.
    reporting_boxes: HashMap<BoxId, Instant>,
    /// The store's record that this detector last read or wrote.
    record: Option<EjectionRecord>,
    last_tick: Option<Instant>,
}

/// The agreed ejections of a service, as kept in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EjectionRecord {
    /// Names of the ejected servers, including those on probation after an ejection.
    pub ejected: Vec<String>,
    /// Names of servers that have just returned; some boxes may still treat them as
    /// ejected.
    pub returned: Vec<String>,
}

/// How boxes are to use a server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum OutlierStatus {
    /// The server takes requests.
    #[serde(rename = "In")]
    Active,
    /// The server takes requests. Boxes in other data centres also send it retry-safe
    /// requests, as if it were local, so that more boxes gather evidence.
    Watched,
    /// The server is returning: it takes this share of its usual requests, retry-safe
    /// ones only.
    #[serde(rename = "Trial")]
    Probation(f32),
    /// The server takes requests only when no other has room.
    #[serde(rename = "Avoided")]
    Suspected,
    /// The server takes no requests.
    #[serde(rename = "Out")]
    Excluded,
}

/// The outlier detector's decisions for the boxes of one data centre.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Identifies the service and its exact list of servers.
    pub service_tag: u64,
    /// Position and status of each server that is not `Active`.
    pub standings: Vec<(u16, OutlierStatus)>,
}

/// A change of a server's state, for logs and counters. Some changes have none, such as
/// those made when a record is applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OutlierEvent {
    /// A server has become suspected, or has failed on probation.
    Suspected(ServerIndex),
    /// A server has gone on probation.
    OnTrial(ServerIndex),
    /// A server takes requests normally again.
    Returned(ServerIndex),
}

#[derive(Debug, Clone)]
struct MonitoredServer {
    name: String,
    slots: u32,
    draining: bool,
    /// The last report of each box on the server.
    by_box: BTreeMap<BoxId, BoxEvidence>,
    /// Evidence of all boxes, each counted up to a limit, summed for each alternative
    /// (see [`Evidence`]); the largest of these sums.
    evidence: f64,
    /// `evidence`, limited in how much it rises in one evaluation, and set to 0 when a
    /// hold ends.
    ramped_evidence: f64,
    by_data_centre: BTreeMap<DataCentreId, DataCentreEvidence>,
    /// Since when `ramped_evidence` has been over the threshold.
    over_threshold_since: Option<Instant>,
    state: State,
    /// Number of recent holds (suspicions or ejections); each doubles the next one, up to
    /// `MAX_HOLD_DOUBLINGS` times.
    recent_holds: u32,
    /// When `recent_holds` last changed.
    holds_changed_at: Option<Instant>,
}

/// One box's evidence on a server.
#[derive(Debug, Clone)]
struct BoxEvidence {
    data_centre: DataCentreId,
    sums: Evidence,
    observations_per_s: f64,
    at: Instant,
}

/// Evidence of the boxes of one data centre on a server.
#[derive(Debug, Clone, Copy, Default)]
struct DataCentreEvidence {
    sum: f64,
    observations_per_s: f64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Active,
    /// Suspected until the ejection is written to the record, the evidence is gone, or
    /// the hold is over.
    Suspected {
        until: Instant,
    },
    /// Ejected by the record.
    Ejected {
        until: Instant,
    },
    /// Returning in stages; `in_record` while the record still lists it as ejected.
    Probation {
        stage: usize,
        since: Instant,
        in_record: bool,
    },
    /// Taking requests again, but still counted as missing from the floor.
    Returned {
        until: Instant,
    },
}

impl OutlierDetector {
    /// Creates a detector without evidence; `record` is the one that the store holds.
    pub fn new(
        service: &Service,
        tag: u64,
        record: Option<EjectionRecord>,
        now: Instant,
    ) -> Self {
        let allowed_false_ejections = service.detection.false_ejections_per_server_day;
        let mut detector = Self {
            tag,
            false_ejections_per_server_day: allowed_false_ejections,
            threshold: ejection_threshold(allowed_false_ejections, 1, MIN_BUSY_SHARE),
            noise_share: MIN_BUSY_SHARE,
            floor_slots: service.floor_slots(),
            servers: service.servers.iter().map(MonitoredServer::new).collect(),
            servers_by_data_centre: servers_by_data_centre(service),
            reporting_boxes: HashMap::new(),
            record: None,
            last_tick: None,
        };
        detector.apply_record(record.unwrap_or_default(), now);
        detector
    }

    /// Returns the tag that identifies the service and its list of servers.
    pub fn tag(&self) -> u64 {
        self.tag
    }

    /// Replaces the evidence of a box on the servers that its report names.
    ///
    /// A report with another tag is ignored. The evidence of one box counts only up to a
    /// limit (see `max_share_per_box`), so that where three or more boxes report, none
    /// can cause an ejection alone.
    pub fn record_report(
        &mut self,
        from: &BoxId,
        data_centre: &DataCentreId,
        report: &EvidenceReport,
        now: Instant,
    ) {
        if report.service_tag != self.tag {
            return;
        }
        self.reporting_boxes.insert(from.clone(), now);
        let span_s = (f64::from(report.span_ms) / 1000.0).max(MIN_SPAN_S);
        for entry in &report.entries {
            let Some(server) = self.servers.get_mut(usize::from(entry.server)) else {
                continue;
            };
            let box_evidence = BoxEvidence {
                data_centre: data_centre.clone(),
                sums: entry
                    .hundredths
                    .map(|hundredths| f64::from(hundredths) / 100.0),
                observations_per_s: f64::from(entry.observations) / span_s,
                at: now,
            };
            server.by_box.insert(from.clone(), box_evidence);
        }
    }

    /// Sets whether a server is draining.
    pub fn set_draining(&mut self, server: ServerIndex, draining: bool) {
        self.servers[server].draining = draining;
    }

    /// Evaluates the evidence and returns the state changes.
    ///
    /// Meant to be called every `EVIDENCE_TICK`. Calls within `MIN_TICK_INTERVAL` of the
    /// last evaluation do nothing.
    pub fn tick(&mut self, now: Instant) -> Vec<OutlierEvent> {
        let last = self.last_tick.unwrap_or(now);
        if self.last_tick.is_some()
            && now.saturating_duration_since(last) < MIN_TICK_INTERVAL
        {
            return Vec::new();
        }
        self.last_tick = Some(now);
        self.reporting_boxes
            .retain(|_, received| now.saturating_duration_since(*received) < REPORT_TTL);
        self.update_noise_share();
        let boxes = self.reporting_boxes.len().max(1);
        self.threshold = ejection_threshold(
            self.false_ejections_per_server_day,
            boxes,
            self.noise_share,
        );
        let max_per_box = self.threshold * self.max_share_per_box();
        for server in &mut self.servers {
            server.sum_evidence(max_per_box, self.threshold / TICKS_TO_CROSS, now);
        }
        let mut events = Vec::new();
        self.update_suspicions(&mut events, now);
        self.advance_states(&mut events, now);
        self.release_for_floor(now);
        events
    }

    /// Returns the record that should be written to the store, or `None` if it equals the
    /// stored one.
    ///
    /// This is where the floor is kept: servers that are ejected, on probation after an
    /// ejection, or have just returned count as missing. Draining servers are left out.
    /// Suspected servers with the most evidence are ejected first.
    pub fn pending_record(&self) -> Option<EjectionRecord> {
        let mut missing: u32 = self
            .servers
            .iter()
            .filter(|s| s.counts_as_missing())
            .map(|s| s.slots)
            .sum();
        let not_draining = self.servers.iter().filter(|s| !s.draining).map(|s| s.slots);
        let not_draining: u32 = not_draining.sum();
        let mut ejected: Vec<&MonitoredServer> =
            self.servers.iter().filter(|s| s.is_ejected()).collect();
        for suspect in self.suspects() {
            if missing + suspect.slots + self.floor_slots > not_draining {
                continue;
            }
            missing += suspect.slots;
            ejected.push(suspect);
        }
        let returned = self.servers.iter().filter(|s| s.is_returned());
        let record = EjectionRecord {
            ejected: sorted_names(ejected.into_iter()),
            returned: sorted_names(returned),
        };
        (self.record.as_ref() != Some(&record)).then_some(record)
    }

    /// Applies the record that the store holds now, written by this or another detector.
    pub fn apply_record(&mut self, record: EjectionRecord, now: Instant) {
        for server in &mut self.servers {
            let ejected = record.ejected.contains(&server.name);
            let returned = record.returned.contains(&server.name);
            server.state = match server.state {
                _ if ejected && server.is_ejected() => server.state,
                State::Suspected { until } if ejected => State::Ejected { until },
                _ if ejected => State::Ejected {
                    until: server.start_hold(now),
                },
                State::Returned { .. } => server.state,
                _ if returned => State::Returned {
                    until: now + RETURN_SETTLING_TIME,
                },
                State::Ejected { .. }
                | State::Probation {
                    in_record: true, ..
                } => State::Active,
                State::Active | State::Suspected { .. } | State::Probation { .. } => {
                    server.state
                }
            };
        }
        self.record = Some(record);
    }

    /// Returns the verdict for the boxes of a data centre.
    pub fn verdict(&self, data_centre: &DataCentreId) -> Verdict {
        let mut statuses = Vec::new();
        for (index, server) in self.servers.iter().enumerate() {
            let status = match server.state {
                State::Active if self.needs_observers(server) => OutlierStatus::Watched,
                State::Active | State::Returned { .. } => OutlierStatus::Active,
                State::Suspected { .. } if server.is_healthy_from(data_centre) => {
                    OutlierStatus::Active
                }
                State::Suspected { .. } => OutlierStatus::Suspected,
                State::Ejected { .. } => OutlierStatus::Excluded,
                State::Probation { stage, .. } => {
                    OutlierStatus::Probation(PROBATION_SHARES[stage])
                }
            };
            if status != OutlierStatus::Active {
                statuses.push((index as u16, status));
            }
        }
        Verdict {
            service_tag: self.tag,
            standings: statuses,
        }
    }

    /// Whether this detector has a server as ejected, or on probation after an ejection.
    /// The stored record may differ until the pending one is written.
    pub fn is_ejected(&self, server: ServerIndex) -> bool {
        self.servers[server].is_ejected()
    }

    /// Returns the number of slots of servers that are neither ejected (see
    /// [`Self::is_ejected`]) nor draining.
    pub fn available_slots(&self) -> u32 {
        let available = self
            .servers
            .iter()
            .filter(|s| !s.is_ejected() && !s.draining);
        available.map(|server| server.slots).sum()
    }

    /// Updates the noise level of the service: the median over servers of the share of
    /// boxes that have evidence against one. A single unhealthy server does not change
    /// it, but trouble at most servers does.
    fn update_noise_share(&mut self) {
        let shares = self.servers.iter().filter_map(MonitoredServer::noise_share);
        let mut shares: Vec<f64> = shares.collect();
        if shares.is_empty() {
            return;
        }
        let middle = shares.len() / 2;
        let median = *shares.select_nth_unstable_by(middle, f64::total_cmp).1;
        self.noise_share += NOISE_WEIGHT * (median - self.noise_share);
    }

    /// Whether a server shows some evidence but too few boxes use it to decide on it.
    /// Boxes of other data centres should then send it requests too.
    fn needs_observers(&self, server: &MonitoredServer) -> bool {
        let enough = MIN_OBSERVERS.min(self.reporting_boxes.len());
        server.ramped_evidence >= self.threshold * RAISED_SCORE_RATIO
            && server.observer_count() < enough
    }

    /// Returns the most that one box counts for, as a share of the threshold. A box that
    /// is the only one to report can cause an ejection. One of two boxes cannot, but it
    /// can end a probation with a new hold. One of three or more boxes can do neither.
    fn max_share_per_box(&self) -> f64 {
        match self.reporting_boxes.len() {
            0 | 1 => 2.0,
            2 => 0.7,
            _ => 0.4,
        }
    }

    /// Marks servers over the threshold as suspected, unless many servers show evidence
    /// at once, and clears those whose evidence is gone.
    fn update_suspicions(&mut self, events: &mut Vec<OutlierEvent>, now: Instant) {
        let correlation_threshold = self.threshold * RAISED_SCORE_RATIO;
        let scores = self.servers.iter().map(MonitoredServer::correlation_score);
        let correlated = CorrelatedSuspicion::new(
            scores,
            &self.servers_by_data_centre,
            correlation_threshold,
        );
        for (index, server) in self.servers.iter_mut().enumerate() {
            if server.ramped_evidence < self.threshold {
                server.over_threshold_since = None;
            }
            match server.state {
                State::Active if server.ramped_evidence >= self.threshold => {
                    let since = *server.over_threshold_since.get_or_insert(now);
                    if !correlated.allows(index, now.saturating_duration_since(since)) {
                        continue;
                    }
                    server.state = State::Suspected {
                        until: server.start_hold(now),
                    };
                    events.push(OutlierEvent::Suspected(index));
                }
                State::Suspected { .. } if server.ramped_evidence < CLEARED_EVIDENCE => {
                    server.state = State::Active;
                    events.push(OutlierEvent::Returned(index));
                }
                _ => {}
            }
        }
    }

    /// Moves servers to the next state when their time in a state is over: from a hold to
    /// probation, and from there to normal use or, on new evidence, into another hold.
    fn advance_states(&mut self, events: &mut Vec<OutlierEvent>, now: Instant) {
        let probation_threshold = self.threshold * PROBATION_THRESHOLD_SHARE;
        for (index, server) in self.servers.iter_mut().enumerate() {
            match server.state {
                State::Ejected { until } | State::Suspected { until } if now >= until => {
                    let in_record = server.is_ejected();
                    server.clear_evidence();
                    server.state = State::Probation {
                        stage: 0,
                        since: now,
                        in_record,
                    };
                    events.push(OutlierEvent::OnTrial(index));
                }
                State::Probation { in_record, .. }
                    if server.ramped_evidence >= probation_threshold =>
                {
                    let until = server.start_hold(now);
                    server.state = match in_record {
                        true => State::Ejected { until },
                        false => State::Suspected { until },
                    };
                    events.push(OutlierEvent::Suspected(index));
                }
                State::Probation {
                    stage,
                    since,
                    in_record,
                } if now >= since + PROBATION_STAGE => {
                    let stage = stage + 1;
                    if stage < PROBATION_SHARES.len() {
                        server.state = State::Probation {
                            stage,
                            since: now,
                            in_record,
                        };
                        continue;
                    }
                    server.state = match in_record {
                        true => State::Returned {
                            until: now + RETURN_SETTLING_TIME,
                        },
                        false => State::Active,
                    };
                    events.push(OutlierEvent::Returned(index));
                }
                State::Returned { until } if now >= until => server.state = State::Active,
                _ => {}
            }
        }
    }

    /// Turns ejected servers back into suspected ones while the available slots are below
    /// the floor, as when other servers have started draining. Those with the fewest
    /// recent holds come first.
    fn release_for_floor(&mut self, now: Instant) {
        while self.available_slots() < self.floor_slots {
            let ejected = self.servers.iter_mut();
            let ejected = ejected.filter(|s| s.is_ejected() && !s.draining);
            let Some(server) = ejected.min_by_key(|server| server.recent_holds) else {
                return;
            };
            server.state = State::Suspected {
                until: now + FIRST_HOLD,
            };
        }
    }

    /// Returns the suspected servers that no data centre finds healthy, those with the
    /// most evidence first.
    fn suspects(&self) -> Vec<&MonitoredServer> {
        let suspected = |server: &&MonitoredServer| {
            let is_suspected = matches!(server.state, State::Suspected { .. });
            is_suspected && !server.is_healthy_from_anywhere()
        };
        let mut suspects: Vec<&MonitoredServer> =
            self.servers.iter().filter(suspected).collect();
        suspects.sort_by(|a, b| b.evidence.total_cmp(&a.evidence));
        suspects
    }
}

impl MonitoredServer {
    fn new(server: &crate::BackendServer) -> Self {
        Self {
            name: server.name.clone(),
            slots: server.slots,
            draining: false,
            by_box: BTreeMap::new(),
            evidence: 0.0,
            ramped_evidence: 0.0,
            by_data_centre: BTreeMap::new(),
            over_threshold_since: None,
            state: State::Active,
            recent_holds: 0,
            holds_changed_at: None,
        }
    }

    /// Sums the evidence of the boxes on the server, each up to `max_per_box`. The ramped
    /// evidence rises by at most `max_rise`. One recent hold is forgotten every
    /// `HOLD_MEMORY`.
    fn sum_evidence(&mut self, max_per_box: f64, max_rise: f64, now: Instant) {
        self.by_box.retain(|_, box_evidence| {
            now.saturating_duration_since(box_evidence.at) < REPORT_TTL
        });
        let mut sums = Evidence::default();
        self.by_data_centre.clear();
        for box_evidence in self.by_box.values() {
            let local = self
                .by_data_centre
                .entry(box_evidence.data_centre.clone())
                .or_default();
            local.observations_per_s += box_evidence.observations_per_s;
            local.sum += box_evidence.sums.into_iter().fold(0.0, f64::max);
            for (sum, sum_of_box) in sums.iter_mut().zip(box_evidence.sums) {
                *sum += sum_of_box.min(max_per_box);
            }
        }
        self.evidence = sums.into_iter().fold(0.0, f64::max);
        // A single evaluation never raises it from 0 to the threshold, however bad.
        self.ramped_evidence = self.evidence.min(self.ramped_evidence + max_rise);
        let is_hold_forgotten = self
            .holds_changed_at
            .is_some_and(|at| now.saturating_duration_since(at) > HOLD_MEMORY);
        if is_hold_forgotten && self.recent_holds > 0 {
            self.recent_holds -= 1;
            self.holds_changed_at = Some(now);
        }
    }

    /// Returns the share of the boxes reporting on the server that have evidence against
    /// it, or `None` if none reports.
    fn noise_share(&self) -> Option<f64> {
        let has_evidence =
            |box_evidence: &&BoxEvidence| box_evidence.sums.iter().any(|sum| *sum > 0.0);
        let count = self.by_box.values().filter(has_evidence).count();
        let all = self.by_box.len();
        (all > 0).then(|| count as f64 / all as f64)
    }

    /// Returns the number of boxes that use the server or have evidence against it.
    fn observer_count(&self) -> usize {
        let has_observed = |box_evidence: &&BoxEvidence| {
            box_evidence.observations_per_s > 0.0
                || box_evidence.sums != Evidence::default()
        };
        self.by_box.values().filter(has_observed).count()
    }

    /// Returns the evidence that counts when checking whether many servers show evidence
    /// at once: 0 for an ejected server.
    fn correlation_score(&self) -> f64 {
        if self.is_ejected() {
            0.0
        } else {
            self.ramped_evidence
        }
    }

    /// Records a hold that begins now and returns its end. Each recent hold doubles the
    /// duration, up to `MAX_HOLD_DOUBLINGS` times.
    fn start_hold(&mut self, now: Instant) -> Instant {
        let hold = FIRST_HOLD * 2u32.pow(self.recent_holds.min(MAX_HOLD_DOUBLINGS));
        self.recent_holds += 1;
        self.holds_changed_at = Some(now);
        now + hold
    }

    fn clear_evidence(&mut self) {
        self.ramped_evidence = 0.0;
        self.by_data_centre.clear();
        self.by_box.clear();
    }

    fn is_ejected(&self) -> bool {
        matches!(
            self.state,
            State::Ejected { .. }
                | State::Probation {
                    in_record: true,
                    ..
                }
        )
    }

    fn is_returned(&self) -> bool {
        matches!(self.state, State::Returned { .. })
    }

    fn counts_as_missing(&self) -> bool {
        !self.draining && (self.is_ejected() || self.is_returned())
    }

    /// Whether boxes of a data centre use the server often enough and find it healthy.
    fn is_healthy_from(&self, data_centre: &DataCentreId) -> bool {
        self.by_data_centre.get(data_centre).is_some_and(is_healthy)
    }

    fn is_healthy_from_anywhere(&self) -> bool {
        self.by_data_centre.values().any(is_healthy)
    }
}

/// Whether enough requests of a data centre show that a server is healthy.
fn is_healthy(evidence: &DataCentreEvidence) -> bool {
    evidence.observations_per_s >= HEALTHY_MIN_REQUESTS_PER_S
        && evidence.sum < HEALTHY_MAX_EVIDENCE
}

fn sorted_names<'a>(servers: impl Iterator<Item = &'a MonitoredServer>) -> Vec<String> {
    let mut names: Vec<String> = servers.map(|server| server.name.clone()).collect();
    names.sort();
    names
}

/// Shortest time between two evaluations.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of boxes using a server that is enough to decide on it.
const MIN_OBSERVERS: usize = 3;
/// Smallest number of evaluations in which the ramped evidence can rise from 0 to the
/// threshold.
const TICKS_TO_CROSS: f64 = 3.0;
/// Weight of an evaluation in the noise level, which follows changes within about 10 s.
const NOISE_WEIGHT: f64 = 0.01;
const MIN_SPAN_S: f64 = 0.05;
const REPORT_TTL: Duration = Duration::from_secs(3);
/// Share of the threshold that ends a server's probation and starts a new hold.
const PROBATION_THRESHOLD_SHARE: f64 = 0.5;
/// Evidence below which a suspected server is cleared before its hold is over.
const CLEARED_EVIDENCE: f64 = 1.0;
/// Evidence of a data centre below which it finds a server healthy, if it sends the
/// server `HEALTHY_MIN_REQUESTS_PER_S` requests a second.
const HEALTHY_MAX_EVIDENCE: f64 = 2.0;
const HEALTHY_MIN_REQUESTS_PER_S: f64 = 2.0;
const FIRST_HOLD: Duration = Duration::from_secs(5);
const MAX_HOLD_DOUBLINGS: u32 = 6;
/// Time after which one recent hold is forgotten.
const HOLD_MEMORY: Duration = Duration::from_secs(600);
/// Fraction of its usual requests that a server takes in each stage of its probation.
const PROBATION_SHARES: [f32; 3] = [0.02, 0.1, 0.4];
const PROBATION_STAGE: Duration = Duration::from_secs(2);
/// How long a returned server counts as missing: until every older verdict has expired.
const RETURN_SETTLING_TIME: Duration = Duration::from_secs(4);
