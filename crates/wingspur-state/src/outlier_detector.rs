//! The judge of a service: adds up the boxes' evidence and rules under the floor.
//!
//! One box holds this soft role for a service. Its verdict to *avoid* a server takes
//! no capacity away and needs nobody's leave. To *eject* one it must first write the
//! ejection into the service's record in the store, so that whatever other judges
//! there are, the union of all ejections is that one record, and under the floor.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::correlated_suspicion::{UNEASY_SHARE, Unease, groups_of};
use crate::evidence::{Evidence, EvidenceReport, LEAST_BUSY_SHARE, ejection_threshold};
use crate::{BoxId, DataCentreId, ServerIndex, Service};

/// Judges the servers of one service.
#[derive(Debug)]
pub struct OutlierDetector {
    tag: u64,
    false_ejections_per_server_day: f64,
    /// For the number of boxes that report at present.
    threshold: f64,
    /// How often a box holds something against a server that is well, smoothed.
    busy_share: f64,
    floor_slots: u32,
    servers: Vec<Judged>,
    /// The servers of each data centre.
    groups: Vec<Vec<ServerIndex>>,
    observers: HashMap<BoxId, Instant>,
    /// The agreed record that this judge last read or wrote.
    record: Option<EjectionRecord>,
    stepped: Option<Instant>,
}

/// The ejections of a service that all boxes agree on, in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EjectionRecord {
    /// Servers that are out, by name; those on trial among them.
    pub ejected: Vec<String>,
    /// Servers let back in just now: some boxes may still hold them for out.
    pub returned: Vec<String>,
}

/// What boxes do about a server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum OutlierStatus {
    /// It takes work.
    #[serde(rename = "In")]
    Active,
    /// It takes work, and boxes elsewhere try it as if it stood nearby.
    Watched,
    /// It returns by this share of its usual work, retry-safe work only.
    #[serde(rename = "Trial")]
    Probation(f32),
    /// It takes work only when no other has room.
    #[serde(rename = "Avoided")]
    Suspected,
    /// It takes none.
    #[serde(rename = "Out")]
    Excluded,
}

/// The judge's word to the boxes of one data centre.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Stands for the service and its exact list of servers.
    pub service_tag: u64,
    /// All servers that are not simply in.
    pub standings: Vec<(u16, OutlierStatus)>,
}

/// Something the judge did, for logs and counters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OutlierEvent {
    /// A server is under suspicion and avoided.
    Suspected(ServerIndex),
    /// A server went on trial.
    OnTrial(ServerIndex),
    /// A server is back in.
    Returned(ServerIndex),
}

#[derive(Debug, Clone)]
struct Judged {
    name: String,
    slots: u32,
    leaving: bool,
    /// What each box makes of it, as last reported.
    by_box: BTreeMap<BoxId, Opinion>,
    /// The evidence of all boxes.
    evidence: f64,
    /// The same, but that it rises by steps.
    total: f64,
    by_data_centre: BTreeMap<DataCentreId, LocalView>,
    /// Since when it is over the threshold.
    over_since: Option<Instant>,
    state: State,
    /// How often it was ejected lately; each time doubles the hold.
    relapses: u32,
    ended: Option<Instant>,
}

/// What one box makes of a server.
#[derive(Debug, Clone)]
struct Opinion {
    data_centre: DataCentreId,
    sums: Evidence,
    observations_per_s: f64,
    at: Instant,
}

/// What the boxes of one data centre make of a server.
#[derive(Debug, Clone, Copy, Default)]
struct LocalView {
    sum: f64,
    observations_per_s: f64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    In,
    /// Suspected; avoided until the record is written, or the hold is over.
    Avoided {
        until: Instant,
    },
    /// Written into the record.
    Out {
        until: Instant,
    },
    /// Returning by stages; `agreed` while the record still names it.
    Trial {
        stage: usize,
        since: Instant,
        agreed: bool,
    },
    /// Back in, still counted as out towards the floor.
    Returned {
        until: Instant,
    },
}

impl OutlierDetector {
    /// A judge without evidence; `record` is what the store holds.
    pub fn new(
        service: &Service,
        tag: u64,
        record: Option<EjectionRecord>,
        now: Instant,
    ) -> Self {
        let knob = service.detection.false_ejections_per_server_day;
        let mut judge = Self {
            tag,
            false_ejections_per_server_day: knob,
            threshold: ejection_threshold(knob, 1, LEAST_BUSY_SHARE),
            busy_share: LEAST_BUSY_SHARE,
            floor_slots: service.floor_slots(),
            servers: service.servers.iter().map(Judged::new).collect(),
            groups: groups_of(service),
            observers: HashMap::new(),
            record: None,
            stepped: None,
        };
        judge.apply_record(record.unwrap_or_default(), now);
        judge
    }

    /// The tag of the service that is judged.
    pub fn tag(&self) -> u64 {
        self.tag
    }

    /// Takes in what a box makes of the servers, in place of what it made before.
    ///
    /// No box counts for more than a share of the threshold, so none can bring about an
    /// ejection alone where three or more report.
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
        self.observers.insert(from.clone(), now);
        let span_s = (f64::from(report.span_ms) / 1000.0).max(LEAST_SPAN_S);
        for entry in &report.entries {
            let Some(server) = self.servers.get_mut(usize::from(entry.server)) else {
                continue;
            };
            let opinion = Opinion {
                data_centre: data_centre.clone(),
                sums: entry
                    .hundredths
                    .map(|hundredths| f64::from(hundredths) / 100.0),
                observations_per_s: f64::from(entry.observations) / span_s,
                at: now,
            };
            server.by_box.insert(from.clone(), opinion);
        }
    }

    /// Notes that a server leaves, or stays after all.
    pub fn set_leaving(&mut self, server: ServerIndex, leaving: bool) {
        self.servers[server].leaving = leaving;
    }

    /// Takes one step; call it each `TICK`, or less often without harm.
    pub fn tick(&mut self, now: Instant) -> Vec<OutlierEvent> {
        let last = self.stepped.unwrap_or(now);
        if self.stepped.is_some() && now.saturating_duration_since(last) < STEP {
            return Vec::new();
        }
        self.stepped = Some(now);
        self.observers
            .retain(|_, heard| now.saturating_duration_since(*heard) < OBSERVER_TTL);
        self.learn_busy_share();
        let boxes = self.observers.len().max(1);
        self.threshold = ejection_threshold(
            self.false_ejections_per_server_day,
            boxes,
            self.busy_share,
        );
        let most = self.threshold * self.share_of_one_box();
        for server in &mut self.servers {
            server.settle(most, self.threshold / STEPS_TO_CROSS, now);
        }
        let mut events = Vec::new();
        self.suspect(&mut events, now);
        self.advance(&mut events, now);
        self.release_for_floor(now);
        events
    }

    /// The record that should stand in the store now, if it differs from what does.
    ///
    /// The floor is kept here: servers that are out, on trial or just returned all
    /// count as missing. The sickest suspects go first.
    pub fn pending_record(&self) -> Option<EjectionRecord> {
        let mut missing: u32 = self
            .servers
            .iter()
            .filter(|s| s.counts_as_out())
            .map(|s| s.slots)
            .sum();
        let live = self.servers.iter().filter(|s| !s.leaving).map(|s| s.slots);
        let live: u32 = live.sum();
        let mut ejected: Vec<&Judged> =
            self.servers.iter().filter(|s| s.is_ejected()).collect();
        for suspect in self.suspects() {
            if missing + suspect.slots + self.floor_slots > live {
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

    /// Puts a record in force that the store holds now, ours or another judge's.
    pub fn apply_record(&mut self, record: EjectionRecord, now: Instant) {
        for server in &mut self.servers {
            let ejected = record.ejected.contains(&server.name);
            let returned = record.returned.contains(&server.name);
            server.state = match server.state {
                _ if ejected && server.is_ejected() => server.state,
                State::Avoided { until } if ejected => State::Out { until },
                _ if ejected => State::Out {
                    until: server.hold(now),
                },
                State::Returned { .. } => server.state,
                _ if returned => State::Returned {
                    until: now + RETURN_SPREAD,
                },
                State::Out { .. } | State::Trial { agreed: true, .. } => State::In,
                State::In | State::Avoided { .. } | State::Trial { .. } => server.state,
            };
        }
        self.record = Some(record);
    }

    /// The verdict for boxes in a data centre.
    pub fn verdict(&self, data_centre: &DataCentreId) -> Verdict {
        let mut standings = Vec::new();
        for (index, server) in self.servers.iter().enumerate() {
            let standing = match server.state {
                State::In if self.wants_observers(server) => OutlierStatus::Watched,
                State::In | State::Returned { .. } => OutlierStatus::Active,
                State::Avoided { .. } if server.is_well_from(data_centre) => {
                    OutlierStatus::Active
                }
                State::Avoided { .. } => OutlierStatus::Suspected,
                State::Out { .. } => OutlierStatus::Excluded,
                State::Trial { stage, .. } => {
                    OutlierStatus::Probation(TRIAL_SHARES[stage])
                }
            };
            if standing != OutlierStatus::Active {
                standings.push((index as u16, standing));
            }
        }
        Verdict {
            service_tag: self.tag,
            standings,
        }
    }

    /// Whether a server is out or on trial by the agreed record.
    pub fn is_ejected(&self, server: ServerIndex) -> bool {
        self.servers[server].is_ejected()
    }

    /// Slots that are in by the agreed record.
    pub fn available_slots(&self) -> u32 {
        let kept = self
            .servers
            .iter()
            .filter(|s| !s.is_ejected() && !s.leaving);
        kept.map(|server| server.slots).sum()
    }

    /// Learns how noisy the service is: the median over servers of the share of boxes that
    /// hold something against one. A sick server does not move it, a rough day does.
    fn learn_busy_share(&mut self) {
        let shares = self.servers.iter().filter_map(Judged::busy_share);
        let mut shares: Vec<f64> = shares.collect();
        if shares.is_empty() {
            return;
        }
        let middle = shares.len() / 2;
        let present = *shares.select_nth_unstable_by(middle, f64::total_cmp).1;
        self.busy_share += BUSY_WEIGHT * (present - self.busy_share);
    }

    /// Whether so few boxes work with an uneasy server that they cannot decide: others
    /// shall try it too, wherever it stands.
    fn wants_observers(&self, server: &Judged) -> bool {
        let enough = LEAST_OBSERVERS.min(self.observers.len());
        server.total >= self.threshold * UNEASY_SHARE && server.observers() < enough
    }

    fn share_of_one_box(&self) -> f64 {
        match self.observers.len() {
            0 | 1 => 2.0,
            2 => 0.7,
            _ => 0.4,
        }
    }

    /// Suspects servers over the threshold, unless many are uneasy at once.
    fn suspect(&mut self, events: &mut Vec<OutlierEvent>, now: Instant) {
        let uneasy_at = self.threshold * UNEASY_SHARE;
        let scores = self.servers.iter().map(Judged::unease);
        let unease = Unease::new(scores, &self.groups, uneasy_at);
        for (index, server) in self.servers.iter_mut().enumerate() {
            if server.total < self.threshold {
                server.over_since = None;
            }
            match server.state {
                State::In if server.total >= self.threshold => {
                    let since = *server.over_since.get_or_insert(now);
                    if !unease.allows(index, now.saturating_duration_since(since)) {
                        continue;
                    }
                    server.state = State::Avoided {
                        until: server.hold(now),
                    };
                    events.push(OutlierEvent::Suspected(index));
                }
                State::Avoided { .. } if server.total < FORGIVEN => {
                    server.state = State::In;
                    events.push(OutlierEvent::Returned(index));
                }
                _ => {}
            }
        }
    }

    fn advance(&mut self, events: &mut Vec<OutlierEvent>, now: Instant) {
        let relapse_at = self.threshold * RELAPSE_SHARE;
        for (index, server) in self.servers.iter_mut().enumerate() {
            match server.state {
                State::Out { until } | State::Avoided { until } if now >= until => {
                    let agreed = server.is_ejected();
                    server.forget_evidence();
                    server.state = State::Trial {
                        stage: 0,
                        since: now,
                        agreed,
                    };
                    events.push(OutlierEvent::OnTrial(index));
                }
                State::Trial { agreed, .. } if server.total >= relapse_at => {
                    let until = server.hold(now);
                    server.state = match agreed {
                        true => State::Out { until },
                        false => State::Avoided { until },
                    };
                    events.push(OutlierEvent::Suspected(index));
                }
                State::Trial {
                    stage,
                    since,
                    agreed,
                } if now >= since + TRIAL_STAGE => {
                    let stage = stage + 1;
                    if stage < TRIAL_SHARES.len() {
                        server.state = State::Trial {
                            stage,
                            since: now,
                            agreed,
                        };
                        continue;
                    }
                    server.state = match agreed {
                        true => State::Returned {
                            until: now + RETURN_SPREAD,
                        },
                        false => State::In,
                    };
                    events.push(OutlierEvent::Returned(index));
                }
                State::Returned { until } if now >= until => server.state = State::In,
                _ => {}
            }
        }
    }

    /// Takes servers out of the ejected when others have left meanwhile and the floor
    /// would not hold; they stay avoided, the least often ejected first.
    fn release_for_floor(&mut self, now: Instant) {
        while self.available_slots() < self.floor_slots {
            let ejected = self.servers.iter_mut();
            let ejected = ejected.filter(|s| s.is_ejected() && !s.leaving);
            let Some(server) = ejected.min_by_key(|server| server.relapses) else {
                return;
            };
            server.state = State::Avoided {
                until: now + FIRST_HOLD,
            };
        }
    }

    /// Suspects that are sick from everywhere they are used, the sickest first.
    fn suspects(&self) -> Vec<&Judged> {
        let suspected = |server: &&Judged| {
            let avoided = matches!(server.state, State::Avoided { .. });
            avoided && !server.is_well_from_anywhere()
        };
        let mut suspects: Vec<&Judged> = self.servers.iter().filter(suspected).collect();
        suspects.sort_by(|a, b| b.evidence.total_cmp(&a.evidence));
        suspects
    }
}

impl Judged {
    fn new(server: &crate::BackendServer) -> Self {
        Self {
            name: server.name.clone(),
            slots: server.slots,
            leaving: false,
            by_box: BTreeMap::new(),
            evidence: 0.0,
            total: 0.0,
            by_data_centre: BTreeMap::new(),
            over_since: None,
            state: State::In,
            relapses: 0,
            ended: None,
        }
    }

    /// Adds up what the boxes make of the server, each up to `most`.
    fn settle(&mut self, most: f64, step: f64, now: Instant) {
        self.by_box.retain(|_, opinion| {
            now.saturating_duration_since(opinion.at) < OBSERVER_TTL
        });
        let mut sums = Evidence::default();
        self.by_data_centre.clear();
        for opinion in self.by_box.values() {
            let local = self
                .by_data_centre
                .entry(opinion.data_centre.clone())
                .or_default();
            local.observations_per_s += opinion.observations_per_s;
            local.sum += opinion.sums.into_iter().fold(0.0, f64::max);
            for (sum, own) in sums.iter_mut().zip(opinion.sums) {
                *sum += own.min(most);
            }
        }
        self.evidence = sums.into_iter().fold(0.0, f64::max);
        // One moment alone, however bad, never crosses the threshold.
        self.total = self.evidence.min(self.total + step);
        let forgiven = self
            .ended
            .is_some_and(|at| now.saturating_duration_since(at) > RELAPSE_TTL);
        if forgiven && self.relapses > 0 {
            self.relapses -= 1;
            self.ended = Some(now);
        }
    }

    /// The share of the boxes that report on the server and hold something against it.
    fn busy_share(&self) -> Option<f64> {
        let busy = |opinion: &&Opinion| opinion.sums.iter().any(|sum| *sum > 0.0);
        let count = self.by_box.values().filter(busy).count();
        let all = self.by_box.len();
        (all > 0).then(|| count as f64 / all as f64)
    }

    /// Boxes that have something to say about the server.
    fn observers(&self) -> usize {
        let says = |opinion: &&Opinion| {
            opinion.observations_per_s > 0.0 || opinion.sums != Evidence::default()
        };
        self.by_box.values().filter(says).count()
    }

    /// The evidence that tells whether many are uneasy: one that is held back for good
    /// reason is not.
    fn unease(&self) -> f64 {
        if self.is_ejected() { 0.0 } else { self.total }
    }

    /// When a hold that begins now ends; each relapse doubles it.
    fn hold(&mut self, now: Instant) -> Instant {
        let hold = FIRST_HOLD * 2u32.pow(self.relapses.min(MOST_DOUBLINGS));
        self.relapses += 1;
        self.ended = Some(now);
        now + hold
    }

    fn forget_evidence(&mut self) {
        self.total = 0.0;
        self.by_data_centre.clear();
        self.by_box.clear();
    }

    fn is_ejected(&self) -> bool {
        matches!(
            self.state,
            State::Out { .. } | State::Trial { agreed: true, .. }
        )
    }

    fn is_returned(&self) -> bool {
        matches!(self.state, State::Returned { .. })
    }

    fn counts_as_out(&self) -> bool {
        !self.leaving && (self.is_ejected() || self.is_returned())
    }

    /// Whether boxes of a data centre use the server a good deal and find it well.
    fn is_well_from(&self, data_centre: &DataCentreId) -> bool {
        self.by_data_centre.get(data_centre).is_some_and(is_well)
    }

    fn is_well_from_anywhere(&self) -> bool {
        self.by_data_centre.values().any(is_well)
    }
}

/// Whether a good deal of work shows a server well.
fn is_well(view: &LocalView) -> bool {
    view.observations_per_s >= WELL_RATE && view.sum < WELL_SCORE
}

fn sorted_names<'a>(servers: impl Iterator<Item = &'a Judged>) -> Vec<String> {
    let mut names: Vec<String> = servers.map(|server| server.name.clone()).collect();
    names.sort();
    names
}

/// How often the judge looks; the threshold counts in these.
const STEP: Duration = Duration::from_millis(100);
/// So many boxes can decide about a server.
const LEAST_OBSERVERS: usize = 3;
const STEPS_TO_CROSS: f64 = 3.0;
/// The noise of a service is learned over about ten seconds.
const BUSY_WEIGHT: f64 = 0.01;
const LEAST_SPAN_S: f64 = 0.05;
const OBSERVER_TTL: Duration = Duration::from_secs(3);
/// On trial, this share of the threshold is enough to put it out again.
const RELAPSE_SHARE: f64 = 0.5;
const FORGIVEN: f64 = 1.0;
const WELL_SCORE: f64 = 2.0;
const WELL_RATE: f64 = 2.0;
const FIRST_HOLD: Duration = Duration::from_secs(5);
const MOST_DOUBLINGS: u32 = 6;
const RELAPSE_TTL: Duration = Duration::from_secs(600);
const TRIAL_SHARES: [f32; 3] = [0.02, 0.1, 0.4];
const TRIAL_STAGE: Duration = Duration::from_secs(2);
/// A returned server counts as out until every older verdict has expired.
const RETURN_SPREAD: Duration = Duration::from_secs(4);
