//! Who may send a request that is in quarantine, and when.
//!
//! A box lets one through only after it has counted that in the store, under the condition
//! that nobody else has counted meanwhile. So all boxes together let through no more than
//! `MOST_TRIES`, whatever became of the ones before and of the news between them: the store
//! takes only one write for each revision of a key. A box that cannot have the store asks its
//! hub, and only a hub lets something through on its own account while nobody has the store.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use wingspur_state::{
    RequestFingerprint, SUSPECT_RETENTION, SourceId, StoreEra, StorePosition,
    StoredQuarantine, SuspectRequests,
};

/// What a box has let through of requests in quarantine.
#[derive(Debug)]
pub struct QuarantineRegistry {
    /// Under which name this box counts.
    own: SourceId,
    /// The store's era.
    era: StoreEra,
    cases: HashMap<RequestFingerprint, Case>,
}

/// What is to be done about a request in quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialDecision {
    /// It may be sent to one server.
    Lend,
    /// That has to be counted in the store first.
    Count(TrialRecord),
    /// The store cannot be had: the hub is to be asked.
    AskHub,
    /// It may not, and may ask again after this.
    Later(Duration),
}

/// What is written to the store, and on top of what.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrialRecord {
    /// How often the request has been let through then.
    pub tries: u32,
    /// Who counts.
    pub counted_by: SourceId,
    /// What it is written on top of.
    pub expected_position: StorePosition,
}

/// What came of the write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordOutcome {
    /// It stands.
    Stands,
    /// Something else stands there: what is known was old.
    Overtaken,
    /// Nobody can tell: the store is away, for this box at least.
    Unknown,
}

#[derive(Debug)]
struct Case {
    /// Let through while the store could not be had.
    uncounted: u32,
    /// Since when this box knows that another may rather have ended the servers.
    keeps_away: Option<Instant>,
    /// What was written last; the store may hold it though its answer was lost.
    last_count: Option<TrialRecord>,
    is_counting: bool,
    touched: Instant,
}

impl QuarantineRegistry {
    /// The desk of a box that counts under a name of its own.
    pub fn new(own: SourceId) -> Self {
        Self {
            own,
            era: 0,
            cases: HashMap::new(),
        }
    }

    /// Notes the store's era: what was known of the one before is no condition to write on.
    pub fn note_era(&mut self, era: StoreEra) {
        self.era = era;
    }

    /// Decides on a request that is in quarantine.
    ///
    /// One that only ran beside another keeps away from it: out at one server, the other would
    /// end that under it again. Both are often let through at the same moment, when a server
    /// comes back; so one waits for as long as news of the other takes.
    pub fn request_trial(
        &mut self,
        request: RequestFingerprint,
        suspects: &SuspectRequests,
        now: Instant,
    ) -> TrialDecision {
        let known = suspects.quarantine(request);
        let likelier = suspects.likelier_culprits(request);
        let has_likelier = !likelier.is_empty();
        let out_for = self.out_for(request, &likelier, suspects, now);
        let (own, era) = (self.own, self.era);
        let case = self.case(request, now);
        if case.is_counting {
            return TrialDecision::Later(COUNTING_TAKES);
        }
        if known.is_some_and(|known| known.position.era() != era) {
            // What the restored store holds of it has yet to be read.
            return TrialDecision::Later(LOOK_AGAIN);
        }
        case.note_counted(known.as_ref(), own);
        let tries = known.map_or(0, |known| known.tries) + case.uncounted;
        if !out_for.is_zero() {
            // Also the last one may yet clear it.
            return TrialDecision::Later(out_for.min(LOOK_AGAIN));
        }
        if tries >= MAX_TRIALS {
            return TrialDecision::Later(ends_in(known.as_ref(), now));
        }
        if has_likelier && !case.has_kept_away(now) {
            return TrialDecision::Later(NEWS_TAKES);
        }
        case.keeps_away = None;
        let on = known.map_or(StorePosition::start_of(era), |known| known.position);
        TrialDecision::Count(case.count(tries + 1, own, on))
    }

    /// Whether the quarantine of a request has to be written to the store, so that boxes that
    /// start know of it; it is counted as being written from now on.
    pub fn begin_quarantine(
        &mut self,
        request: RequestFingerprint,
        known: Option<&StoredQuarantine>,
        now: Instant,
    ) -> Option<TrialRecord> {
        let (own, on) = (self.own, StorePosition::start_of(self.era));
        let case = self.case(request, now);
        if known.is_some() || case.is_counting {
            return None;
        }
        Some(case.count(case.uncounted, own, on))
    }

    /// Takes in what came of the write that opens a quarantine.
    pub fn quarantine_recorded(
        &mut self,
        request: RequestFingerprint,
        outcome: RecordOutcome,
        now: Instant,
    ) {
        let case = self.case(request, now);
        case.is_counting = false;
        if outcome == RecordOutcome::Stands {
            case.uncounted = 0;
        }
    }

    /// Takes in what came of the write that a request waits for; `nobody_else` where no other
    /// box can be asked.
    pub fn trial_recorded(
        &mut self,
        request: RequestFingerprint,
        outcome: RecordOutcome,
        nobody_else: bool,
        now: Instant,
    ) -> TrialDecision {
        let case = self.case(request, now);
        case.is_counting = false;
        match outcome {
            RecordOutcome::Stands => {
                case.uncounted = 0;
                TrialDecision::Lend
            }
            RecordOutcome::Overtaken => TrialDecision::Later(COUNTING_TAKES),
            RecordOutcome::Unknown if !nobody_else => TrialDecision::AskHub,
            RecordOutcome::Unknown if case.uncounted < MOST_UNCOUNTED => {
                // Without it, a request that only ran beside the one that ends servers would
                // be refused until the store is back.
                case.uncounted += 1;
                TrialDecision::Lend
            }
            RecordOutcome::Unknown => TrialDecision::Later(STORE_AWAY),
        }
    }

    /// Forgets a request that is in quarantine no more.
    pub fn forget(&mut self, request: RequestFingerprint) {
        self.cases.remove(&request);
    }

    /// Forgets what nobody has asked for in a long time.
    pub fn evict_idle(&mut self, now: Instant) {
        self.cases.retain(|_, case| {
            now.saturating_duration_since(case.touched) < SUSPECT_RETENTION
                || case.is_counting
        });
    }

    /// For how long the request itself, or one that has likelier ended the servers that it
    /// was out at, may still be out at one.
    fn out_for(
        &self,
        request: RequestFingerprint,
        likelier: &[RequestFingerprint],
        suspects: &SuspectRequests,
        now: Instant,
    ) -> Duration {
        let is_counting = |other: &RequestFingerprint| {
            self.cases.get(other).is_some_and(|case| case.is_counting)
        };
        if likelier.iter().any(is_counting) {
            return COUNTING_TAKES;
        }
        let others = likelier
            .iter()
            .filter_map(|other| suspects.permit_in_flight_until(*other, ENDS_SERVERS_IN));
        let own = suspects.permit_in_flight_until(request, TRIAL_TIMEOUT);
        let until = others.chain(own).max();
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    fn case(&mut self, request: RequestFingerprint, now: Instant) -> &mut Case {
        let case = self.cases.entry(request).or_insert(Case {
            uncounted: 0,
            keeps_away: None,
            last_count: None,
            is_counting: false,
            touched: now,
        });
        case.touched = now;
        case
    }
}

impl Case {
    /// Begins to count on top of what the store holds.
    fn count(
        &mut self,
        tries: u32,
        counted_by: SourceId,
        position: StorePosition,
    ) -> TrialRecord {
        let count = TrialRecord {
            tries,
            counted_by,
            expected_position: position,
        };
        self.is_counting = true;
        self.last_count = Some(count);
        count
    }

    /// Whether it has kept away from another for as long as news takes.
    fn has_kept_away(&mut self, now: Instant) -> bool {
        let since = *self.keeps_away.get_or_insert(now);
        now.saturating_duration_since(since) >= NEWS_TAKES
    }

    /// Takes in that a write whose answer was lost stands in the store after all: what was
    /// let through on it is counted there.
    fn note_counted(&mut self, known: Option<&StoredQuarantine>, own: SourceId) {
        let (Some(last), Some(known)) = (self.last_count, known) else {
            return;
        };
        if known.counted_by == own && known.tries == last.tries {
            self.uncounted = 0;
        }
    }
}

/// When the store forgets a request in quarantine.
fn ends_in(known: Option<&StoredQuarantine>, now: Instant) -> Duration {
    known.map_or(SUSPECT_RETENTION, |known| {
        (known.heard + SUSPECT_RETENTION).saturating_duration_since(now)
    })
}

/// How often a request in quarantine is let through over all boxes. A request that ran beside
/// another is answered whole at the first; each that meets a server's end beyond that is one
/// server more that the request may have ended.
pub const MAX_TRIALS: u32 = 3;
/// What a hub lets through of one request on its own account while the store is away.
const MOST_UNCOUNTED: u32 = 2;
/// So long a request that was let through is taken to be out, if nothing is heard of it: it
/// takes a third of a second where nothing waits.
pub const TRIAL_TIMEOUT: Duration = Duration::from_millis(1500);
/// A server that runs a request which ends it does so within this.
const ENDS_SERVERS_IN: Duration = Duration::from_millis(300);
/// What the store holds is known to most boxes within this.
const NEWS_TAKES: Duration = Duration::from_millis(150);
/// A write takes some milliseconds.
const COUNTING_TAKES: Duration = Duration::from_millis(25);
/// How soon one that waits for an outcome asks again.
const LOOK_AGAIN: Duration = Duration::from_millis(100);
/// When to ask again while the store is away.
const STORE_AWAY: Duration = Duration::from_secs(5);
