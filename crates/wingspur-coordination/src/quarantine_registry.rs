//! Decides which box may send a quarantined request, and when.
//!
//! A box permits a trial only after it has recorded it in the store, on condition that no
//! other box has recorded one meanwhile. The store accepts only one write for each
//! revision of a key, so all boxes together permit at most `MAX_TRIALS`, whatever the
//! outcome of earlier trials and of the updates between boxes. A box that cannot reach
//! the store asks its hub; only a hub permits trials without recording them while the
//! store is unavailable.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use wingspur_state::{
    RequestFingerprint, SUSPECT_RETENTION, SourceId, StoreEra, StorePosition,
    StoredQuarantine, SuspectRequests,
};

/// The trials of quarantined requests that a box has permitted or is recording.
#[derive(Debug)]
pub struct QuarantineRegistry {
    /// The identity under which this box records trials.
    own: SourceId,
    /// The current era of the store.
    era: StoreEra,
    requests: HashMap<RequestFingerprint, RegisteredRequest>,
}

/// The next step for a quarantined request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialDecision {
    /// The request may be sent to one server.
    Lend,
    /// The trial has to be recorded in the store first.
    Count(TrialRecord),
    /// The store is unavailable to this box: the hub has to be asked.
    AskHub,
    /// The request may not be sent; the caller may ask again after this time.
    Later(Duration),
}

/// A write to the store, with the position that it is conditional on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrialRecord {
    /// Number of trials of the request, including the one that is recorded.
    pub tries: u32,
    /// The box that records it.
    pub counted_by: SourceId,
    /// The position that the request's key must still have in the store.
    pub expected_position: StorePosition,
}

/// The result of the write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The store holds the write.
    Stands,
    /// The store holds something else: what this box knew was stale.
    Overtaken,
    /// The result is unknown: the store is unavailable, at least to this box.
    Unknown,
}

#[derive(Debug)]
struct RegisteredRequest {
    /// Number of trials permitted without a record while the store was unavailable.
    unrecorded_trials: u32,
    /// Since when the request waits because another is more likely to have ended the
    /// servers.
    waiting_since: Option<Instant>,
    /// The last write; the store may hold it even if its reply was lost.
    last_write: Option<TrialRecord>,
    is_writing: bool,
    last_asked: Instant,
}

impl QuarantineRegistry {
    /// Creates the registry of a box; `own` is the identity under which it records
    /// trials.
    pub fn new(own: SourceId) -> Self {
        Self {
            own,
            era: 0,
            requests: HashMap::new(),
        }
    }

    /// Sets the store's era. Positions of an earlier era cannot be a condition of a
    /// write.
    pub fn note_era(&mut self, era: StoreEra) {
        self.era = era;
    }

    /// Decides on a request that is in quarantine.
    ///
    /// A request that only ran beside a more likely culprit is not sent while that one
    /// may be running, since it could end the server under it again. Both are often
    /// permitted at the same moment, when a server returns; the less likely one therefore
    /// waits for as long as updates about the other take to arrive.
    pub fn request_trial(
        &mut self,
        request: RequestFingerprint,
        suspects: &SuspectRequests,
        now: Instant,
    ) -> TrialDecision {
        let stored = suspects.quarantine(request);
        let likelier = suspects.likelier_culprits(request);
        let has_likelier = !likelier.is_empty();
        let in_flight_for = self.in_flight_for(request, &likelier, suspects, now);
        let (own, era) = (self.own, self.era);
        let registered = self.registered(request, now);
        if registered.is_writing {
            return TrialDecision::Later(WRITE_RETRY_DELAY);
        }
        if stored.is_some_and(|stored| stored.position.era() != era) {
            // The restored store's record of it has not been read yet.
            return TrialDecision::Later(OUTCOME_RECHECK_DELAY);
        }
        registered.reconcile_last_write(stored.as_ref(), own);
        let trials =
            stored.map_or(0, |stored| stored.tries) + registered.unrecorded_trials;
        if !in_flight_for.is_zero() {
            // A trial in flight, even the last one, may still clear the request.
            return TrialDecision::Later(in_flight_for.min(OUTCOME_RECHECK_DELAY));
        }
        if trials >= MAX_TRIALS {
            return TrialDecision::Later(quarantine_expires_in(stored.as_ref(), now));
        }
        if has_likelier && !registered.has_waited_for_updates(now) {
            return TrialDecision::Later(UPDATE_DELAY);
        }
        registered.waiting_since = None;
        let expected_position =
            stored.map_or(StorePosition::start_of(era), |stored| stored.position);
        TrialDecision::Count(registered.count(trials + 1, own, expected_position))
    }

    /// Returns the record to write to the store when a request enters quarantine, so that
    /// boxes that start later know of it; `None` if it is there already or a write is in
    /// progress. The write counts as in progress until `quarantine_recorded` is called.
    pub fn begin_quarantine(
        &mut self,
        request: RequestFingerprint,
        known: Option<&StoredQuarantine>,
        now: Instant,
    ) -> Option<TrialRecord> {
        let (own, expected_position) = (self.own, StorePosition::start_of(self.era));
        let registered = self.registered(request, now);
        if known.is_some() || registered.is_writing {
            return None;
        }
        Some(registered.count(registered.unrecorded_trials, own, expected_position))
    }

    /// Applies the result of the write that opens a quarantine.
    pub fn quarantine_recorded(
        &mut self,
        request: RequestFingerprint,
        outcome: RecordOutcome,
        now: Instant,
    ) {
        let registered = self.registered(request, now);
        registered.is_writing = false;
        if outcome == RecordOutcome::Stands {
            registered.unrecorded_trials = 0;
        }
    }

    /// Applies the result of the write that a request waits for, and decides on the
    /// request. `no_hub_to_ask` is whether no other box can be asked.
    pub fn trial_recorded(
        &mut self,
        request: RequestFingerprint,
        outcome: RecordOutcome,
        no_hub_to_ask: bool,
        now: Instant,
    ) -> TrialDecision {
        let registered = self.registered(request, now);
        registered.is_writing = false;
        match outcome {
            RecordOutcome::Stands => {
                registered.unrecorded_trials = 0;
                TrialDecision::Lend
            }
            RecordOutcome::Overtaken => TrialDecision::Later(WRITE_RETRY_DELAY),
            RecordOutcome::Unknown if !no_hub_to_ask => TrialDecision::AskHub,
            RecordOutcome::Unknown
                if registered.unrecorded_trials < MAX_UNRECORDED_TRIALS =>
            {
                // Without this, a request that only ran beside one that ends servers
                // would be refused until the store recovers.
                registered.unrecorded_trials += 1;
                TrialDecision::Lend
            }
            RecordOutcome::Unknown => TrialDecision::Later(STORE_RETRY_DELAY),
        }
    }

    /// Removes a request that is no longer in quarantine.
    pub fn forget(&mut self, request: RequestFingerprint) {
        self.requests.remove(&request);
    }

    /// Removes requests that nobody has asked for within `SUSPECT_RETENTION`.
    pub fn evict_idle(&mut self, now: Instant) {
        self.requests.retain(|_, registered| {
            now.saturating_duration_since(registered.last_asked) < SUSPECT_RETENTION
                || registered.is_writing
        });
    }

    /// Returns for how long the request itself, or one that is more likely to have ended
    /// the same servers, may still be in flight; zero if none is.
    fn in_flight_for(
        &self,
        request: RequestFingerprint,
        likelier: &[RequestFingerprint],
        suspects: &SuspectRequests,
        now: Instant,
    ) -> Duration {
        let is_writing = |other: &RequestFingerprint| {
            self.requests
                .get(other)
                .is_some_and(|registered| registered.is_writing)
        };
        if likelier.iter().any(is_writing) {
            return WRITE_RETRY_DELAY;
        }
        let others = likelier.iter().filter_map(|other| {
            suspects.permit_in_flight_until(*other, SERVER_END_TIMEOUT)
        });
        let own = suspects.permit_in_flight_until(request, TRIAL_TIMEOUT);
        let until = others.chain(own).max();
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    fn registered(
        &mut self,
        request: RequestFingerprint,
        now: Instant,
    ) -> &mut RegisteredRequest {
        let registered = self.requests.entry(request).or_insert(RegisteredRequest {
            unrecorded_trials: 0,
            waiting_since: None,
            last_write: None,
            is_writing: false,
            last_asked: now,
        });
        registered.last_asked = now;
        registered
    }
}

impl RegisteredRequest {
    /// Starts a write that is conditional on the store's current position.
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
        self.is_writing = true;
        self.last_write = Some(count);
        count
    }

    /// Returns whether the request has waited for as long as updates take to arrive. The
    /// first call starts the wait.
    fn has_waited_for_updates(&mut self, now: Instant) -> bool {
        let since = *self.waiting_since.get_or_insert(now);
        now.saturating_duration_since(since) >= UPDATE_DELAY
    }

    /// Resets the trials without a record if the store holds the last write, whose reply
    /// was lost: that record counts them.
    fn reconcile_last_write(&mut self, known: Option<&StoredQuarantine>, own: SourceId) {
        let (Some(last), Some(known)) = (self.last_write, known) else {
            return;
        };
        if known.counted_by == own && known.tries == last.tries {
            self.unrecorded_trials = 0;
        }
    }
}

/// Returns the time until the quarantine of a request expires in the store.
fn quarantine_expires_in(known: Option<&StoredQuarantine>, now: Instant) -> Duration {
    known.map_or(SUSPECT_RETENTION, |known| {
        (known.learned_at + SUSPECT_RETENTION).saturating_duration_since(now)
    })
}

/// Maximum number of trials of a quarantined request over all boxes. A request that only
/// ran beside another gets a complete response at its first trial; each further trial may
/// cost one more server.
pub const MAX_TRIALS: u32 = 3;
/// Maximum number of trials of one request that a hub permits without a record while the
/// store is unavailable.
const MAX_UNRECORDED_TRIALS: u32 = 2;
/// Time for which a permitted request is assumed to be in flight if its outcome is not
/// received. A trial takes a third of a second if it does not have to queue.
pub const TRIAL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time within which a request that ends servers ends the one that runs it.
const SERVER_END_TIMEOUT: Duration = Duration::from_millis(300);
/// Time within which most boxes know a change in the store.
const UPDATE_DELAY: Duration = Duration::from_millis(150);
/// Delay before asking again while a write is in progress or was overtaken. A write takes
/// a few milliseconds.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(25);
/// Maximum delay before asking again while a trial's outcome is awaited.
const OUTCOME_RECHECK_DELAY: Duration = Duration::from_millis(100);
/// Delay before asking again while the store is unavailable.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(5);
