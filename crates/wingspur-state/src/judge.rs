//! The judge of a service: adds up the boxes' evidence and rules under the floor.
//!
//! One box holds this soft role for a service. Its verdict to *avoid* a server takes
//! no capacity away and needs nobody's leave. To *eject* one it must first write the
//! ejection into the service's record in the store, so that whatever other judges
//! there are, the union of all ejections is that one record, and under the floor.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::evidence::{EvidenceReport, threshold, well_evidence};
use crate::{BoxId, DataCentreId, ServerIndex, Service};

/// Judges the servers of one service.
#[derive(Debug)]
pub struct Judge {
    tag: u64,
    threshold: f64,
    floor_slots: u32,
    servers: Vec<Judged>,
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
pub enum VerdictStanding {
    /// It takes work.
    In,
    /// It returns by this share of its usual work, retry-safe work only.
    Trial(f32),
    /// It takes work only when no other has room.
    Avoided,
    /// It takes none.
    Out,
}

/// The judge's word to the boxes of one data centre.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Stands for the service and its exact list of servers.
    pub service_tag: u64,
    /// All servers that are not simply in.
    pub standings: Vec<(u16, VerdictStanding)>,
}

/// Something the judge did, for logs and counters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JudgeEvent {
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
    total: Score,
    by_data_centre: HashMap<DataCentreId, Score>,
    by_box: HashMap<BoxId, Contribution>,
    state: State,
    /// How often it was ejected lately; each time doubles the hold.
    relapses: u32,
    ended: Option<Instant>,
}

/// A cumulative sum of evidence.
#[derive(Debug, Clone, Copy, Default)]
struct Score {
    sum: f64,
    /// Evidence of the present step, capped when the step ends.
    step: f64,
    /// Observations a second, smoothed.
    rate: f64,
    step_observations: f64,
}

/// What one box has contributed of late.
#[derive(Debug, Clone, Copy)]
struct Contribution {
    excess: f64,
    at: Instant,
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

impl Judge {
    /// A judge without evidence; `record` is what the store holds.
    pub fn new(
        service: &Service,
        tag: u64,
        record: Option<EjectionRecord>,
        now: Instant,
    ) -> Self {
        let mut judge = Self {
            tag,
            threshold: threshold(service.detection.false_ejections_per_server_day),
            floor_slots: service.floor_slots(),
            servers: service.servers.iter().map(Judged::new).collect(),
            observers: HashMap::new(),
            record: None,
            stepped: None,
        };
        judge.adopt(record.unwrap_or_default(), now);
        judge
    }

    /// The tag of the service that is judged.
    pub fn tag(&self) -> u64 {
        self.tag
    }

    /// Adds a box's evidence.
    ///
    /// No box moves a server's score by more than a share of the threshold, so none
    /// can bring about an ejection alone where three or more observe.
    pub fn hear(
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
        let span_s = f64::from(report.span_ms.max(1)) / 1000.0;
        let most = self.most_from_one_box();
        for entry in &report.entries {
            let Some(server) = self.servers.get_mut(usize::from(entry.server)) else {
                continue;
            };
            let most_observations = MOST_OBSERVATIONS_PER_S * span_s.max(1.0);
            let observations = f64::from(entry.observations).min(most_observations);
            let offered = f64::from(entry.excess);
            let offered = if offered.is_finite() {
                offered.max(0.0)
            } else {
                0.0
            };
            let excess = server.allow(from, offered, most, now);
            server.total.add(excess, observations);
            let local = server
                .by_data_centre
                .entry(data_centre.clone())
                .or_default();
            local.add(excess, observations);
        }
    }

    /// Notes that a server leaves, or stays after all.
    pub fn set_leaving(&mut self, server: ServerIndex, leaving: bool) {
        self.servers[server].leaving = leaving;
    }

    /// Takes one step; call it each `TICK`, or less often without harm.
    pub fn step(&mut self, now: Instant) -> Vec<JudgeEvent> {
        let last = *self.stepped.get_or_insert(now);
        let passed_s = now.saturating_duration_since(last).as_secs_f64();
        if passed_s < STEP_S {
            return Vec::new();
        }
        self.stepped = Some(now);
        self.observers
            .retain(|_, heard| now.saturating_duration_since(*heard) < OBSERVER_TTL);
        for server in &mut self.servers {
            server.settle(passed_s, self.threshold, now);
        }
        let mut events = Vec::new();
        self.suspect(&mut events, now);
        self.advance(&mut events, now);
        events
    }

    /// The record that should stand in the store now, if it differs from what does.
    ///
    /// The floor is kept here: servers that are out, on trial or just returned all
    /// count as missing. The sickest suspects go first.
    pub fn proposal(&self) -> Option<EjectionRecord> {
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
    pub fn adopt(&mut self, record: EjectionRecord, now: Instant) {
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
                State::In | State::Returned { .. } => VerdictStanding::In,
                State::Avoided { .. } if server.is_well_from(data_centre) => {
                    VerdictStanding::In
                }
                State::Avoided { .. } => VerdictStanding::Avoided,
                State::Out { .. } => VerdictStanding::Out,
                State::Trial { stage, .. } => VerdictStanding::Trial(TRIAL_SHARES[stage]),
            };
            if standing != VerdictStanding::In {
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

    /// The cumulative sum against a server, for status pages.
    pub fn score(&self, server: ServerIndex) -> f64 {
        self.servers[server].total.sum
    }

    /// Slots that are in by the agreed record.
    pub fn slots_in(&self) -> u32 {
        let kept = self
            .servers
            .iter()
            .filter(|s| !s.is_ejected() && !s.leaving);
        kept.map(|server| server.slots).sum()
    }

    fn most_from_one_box(&self) -> f64 {
        match self.observers.len() {
            0 | 1 => 2.0 * self.threshold,
            2 => self.threshold * 0.7,
            _ => self.threshold * 0.4,
        }
    }

    /// Suspects servers over the threshold, unless most of the service is uneasy: then
    /// it is the service, the network or a change, and no ejection would help.
    fn suspect(&mut self, events: &mut Vec<JudgeEvent>, now: Instant) {
        if self.most_are_uneasy() {
            return;
        }
        for (index, server) in self.servers.iter_mut().enumerate() {
            let over = server.total.sum >= self.threshold;
            match server.state {
                State::In if over => {
                    server.state = State::Avoided {
                        until: server.hold(now),
                    };
                    events.push(JudgeEvent::Suspected(index));
                }
                State::Avoided { .. } if server.total.sum < FORGIVEN => {
                    server.state = State::In;
                    events.push(JudgeEvent::Returned(index));
                }
                _ => {}
            }
        }
    }

    fn most_are_uneasy(&self) -> bool {
        let uneasy_at = self.threshold * UNEASY_SHARE;
        let judged = self
            .servers
            .iter()
            .filter(|s| !s.is_ejected() && !s.leaving);
        let (mut all, mut uneasy) = (0, 0);
        for server in judged {
            all += 1;
            let suspect = matches!(server.state, State::Avoided { .. });
            uneasy += usize::from(suspect || server.total.sum >= uneasy_at);
        }
        all >= LEAST_TO_COMPARE && uneasy * 2 >= all
    }

    fn advance(&mut self, events: &mut Vec<JudgeEvent>, now: Instant) {
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
                    events.push(JudgeEvent::OnTrial(index));
                }
                State::Trial { agreed, .. } if server.total.sum >= relapse_at => {
                    let until = server.hold(now);
                    server.state = match agreed {
                        true => State::Out { until },
                        false => State::Avoided { until },
                    };
                    events.push(JudgeEvent::Suspected(index));
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
                    events.push(JudgeEvent::Returned(index));
                }
                State::Returned { until } if now >= until => server.state = State::In,
                _ => {}
            }
        }
    }

    /// Suspects that are sick from everywhere they are used, the sickest first.
    fn suspects(&self) -> Vec<&Judged> {
        let suspected = |server: &&Judged| {
            let avoided = matches!(server.state, State::Avoided { .. });
            avoided && !server.is_well_from_anywhere()
        };
        let mut suspects: Vec<&Judged> = self.servers.iter().filter(suspected).collect();
        suspects.sort_by(|a, b| b.total.sum.total_cmp(&a.total.sum));
        suspects
    }
}

impl Judged {
    fn new(server: &crate::BackendServer) -> Self {
        Self {
            name: server.name.clone(),
            slots: server.slots,
            leaving: false,
            total: Score::default(),
            by_data_centre: HashMap::new(),
            by_box: HashMap::new(),
            state: State::In,
            relapses: 0,
            ended: None,
        }
    }

    /// Takes from a box no more than it may contribute.
    fn allow(&mut self, from: &BoxId, excess: f64, most: f64, now: Instant) -> f64 {
        let fresh = Contribution {
            excess: 0.0,
            at: now,
        };
        let given = self.by_box.entry(from.clone()).or_insert(fresh);
        let passed = now.saturating_duration_since(given.at).as_secs_f64();
        given.excess *= (-passed / CONTRIBUTION_WINDOW_S).exp();
        given.at = now;
        let allowed = excess.min((most - given.excess).max(0.0));
        given.excess += allowed;
        allowed
    }

    fn settle(&mut self, passed_s: f64, threshold: f64, now: Instant) {
        self.total.settle(passed_s, threshold);
        for score in self.by_data_centre.values_mut() {
            score.settle(passed_s, threshold);
        }
        let recent = |given: &mut Contribution| {
            now.saturating_duration_since(given.at) < CONTRIBUTION_TTL
        };
        self.by_box.retain(|_, given| recent(given));
        let forgiven = self
            .ended
            .is_some_and(|at| now.saturating_duration_since(at) > RELAPSE_TTL);
        if forgiven && self.relapses > 0 {
            self.relapses -= 1;
            self.ended = Some(now);
        }
    }

    /// When a hold that begins now ends; each relapse doubles it.
    fn hold(&mut self, now: Instant) -> Instant {
        let hold = FIRST_HOLD * 2u32.pow(self.relapses.min(MOST_DOUBLINGS));
        self.relapses += 1;
        self.ended = Some(now);
        now + hold
    }

    fn forget_evidence(&mut self) {
        self.total = Score::default();
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
        self.by_data_centre
            .get(data_centre)
            .is_some_and(Score::is_well)
    }

    fn is_well_from_anywhere(&self) -> bool {
        self.by_data_centre.values().any(Score::is_well)
    }
}

impl Score {
    fn add(&mut self, excess: f64, observations: f64) {
        self.step += excess;
        self.step_observations += observations;
    }

    /// Ends a step: what well answers would take back, plus what was seen, capped.
    fn settle(&mut self, passed_s: f64, threshold: f64) {
        let weight = (passed_s / RATE_WINDOW_S).min(1.0);
        self.rate += weight * (self.step_observations / passed_s - self.rate);
        let drift = well_evidence() * self.rate.max(LEAST_RATE) * passed_s;
        let step = self.step.min(threshold / STEPS_TO_CROSS);
        self.sum = (self.sum + drift + step).clamp(0.0, 2.0 * threshold);
        self.step = 0.0;
        self.step_observations = 0.0;
    }

    fn is_well(&self) -> bool {
        self.rate >= WELL_RATE && self.sum < WELL_SCORE
    }
}

fn sorted_names<'a>(servers: impl Iterator<Item = &'a Judged>) -> Vec<String> {
    let mut names: Vec<String> = servers.map(|server| server.name.clone()).collect();
    names.sort();
    names
}

/// The judge's step; the threshold counts in these.
const STEP_S: f64 = 0.1;
/// One moment alone, however bad, never crosses the threshold.
const STEPS_TO_CROSS: f64 = 3.0;
/// A suspect without any work is forgiven at this pace, in observations a second.
const LEAST_RATE: f64 = 0.2;
const RATE_WINDOW_S: f64 = 2.0;
const MOST_OBSERVATIONS_PER_S: f64 = 1000.0;
const OBSERVER_TTL: Duration = Duration::from_secs(3);
const CONTRIBUTION_WINDOW_S: f64 = 5.0;
const CONTRIBUTION_TTL: Duration = Duration::from_secs(60);
/// A server is uneasy at this share of the threshold.
const UNEASY_SHARE: f64 = 0.25;
const LEAST_TO_COMPARE: usize = 3;
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
