//! Requests that were in flight at servers that ended, as far as one box knows.
//!
//! A request that ends every server which starts to run it is sent again by its caller,
//! to any box. So boxes send each other which requests were in flight at a server that
//! ended. Most of these only ran beside the one that ended it: a request is quarantined
//! only after two servers have ended under it, and one complete answer at any box clears
//! it.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{RequestFingerprint, ServerKey, SourceId, StoreEra, StorePosition};

/// The requests that were in flight at servers that ended.
#[derive(Debug, Default)]
pub struct SuspectRequests {
    suspects: HashMap<RequestFingerprint, Suspect>,
    /// Attempts that were interrupted at servers which may have ended, oldest first.
    broken: VecDeque<BrokenAttempt>,
    /// When this box last answered each request completely, for the last few seconds.
    answered: RecentAnswers,
}

/// The requests that a box has answered completely in the last few seconds.
#[derive(Debug, Default)]
struct RecentAnswers {
    last: HashMap<RequestFingerprint, Instant>,
    /// Oldest first. A request that was answered several times has several entries.
    order: VecDeque<(RequestFingerprint, Instant)>,
}

/// An event observed by one box, to be sent to the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectUpdate {
    /// The request.
    pub request: RequestFingerprint,
    /// What was observed.
    pub seen: SuspectEvent,
    /// When it was observed.
    pub at: Instant,
}

/// What was observed of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectEvent {
    /// A server ended while the request was in flight there.
    ServerEnded(ServerKey),
    /// It was answered completely, so it does not end every server that runs it.
    AnsweredWhole,
}

/// A `SuspectUpdate` as sent between boxes, with its age in place of an instant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectMessage {
    /// The request.
    pub request: RequestFingerprint,
    /// What was observed.
    pub seen: SuspectEvent,
    /// How long before this message was sent it was observed, in milliseconds.
    pub age_ms: u32,
}

/// The store's entry of a quarantined request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredQuarantine {
    /// The position in the store's history at which the entry was written.
    pub position: StorePosition,
    /// Number of trials of the request that have been permitted since it was quarantined.
    pub tries: u32,
    /// The source that counted the latest of these trials.
    pub counted_by: SourceId,
    /// When this box learned of the entry.
    pub learned_at: Instant,
}

#[derive(Debug, Default)]
struct Suspect {
    endings: Vec<Ending>,
    answered: Option<Instant>,
    quarantine: Option<StoredQuarantine>,
}

#[derive(Debug, Clone, Copy)]
struct Ending {
    server: ServerKey,
    at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct BrokenAttempt {
    request: RequestFingerprint,
    server: ServerKey,
    at: Instant,
}

impl SuspectRequests {
    /// Records that an attempt was interrupted at a server that may have ended.
    ///
    /// At most `MAX_BROKEN_ATTEMPTS` are kept; a further one replaces the oldest.
    pub fn record_broken_attempt(
        &mut self,
        request: RequestFingerprint,
        server: ServerKey,
        at: Instant,
    ) {
        if self.broken.len() >= MAX_BROKEN_ATTEMPTS {
            self.broken.pop_front();
        }
        self.broken.push_back(BrokenAttempt {
            request,
            server,
            at,
        });
    }

    /// Removes the interrupted attempts at a server that is now known to have ended, and
    /// returns them as updates.
    ///
    /// Attempts older than `BROKEN_ATTEMPT_TTL` are dropped, whatever their server.
    pub fn take_broken_attempts(
        &mut self,
        server: ServerKey,
        now: Instant,
    ) -> Vec<SuspectUpdate> {
        let (ended, others): (Vec<_>, Vec<_>) = self
            .broken
            .drain(..)
            .filter(|broken| age(broken.at, now) <= BROKEN_ATTEMPT_TTL)
            .partition(|broken| broken.server == server);
        self.broken = others.into();
        let updates = ended.into_iter().map(|broken| SuspectUpdate {
            request: broken.request,
            seen: SuspectEvent::ServerEnded(server),
            at: broken.at,
        });
        updates.collect()
    }

    /// Records that this box has answered a request completely. This alone does not clear
    /// the request; `apply_update` with `SuspectEvent::AnsweredWhole` does.
    ///
    /// Returns whether other boxes should be notified, because the request is suspected.
    pub fn record_complete_answer(
        &mut self,
        request: RequestFingerprint,
        now: Instant,
    ) -> bool {
        self.answered.record(request, now);
        self.is_suspect(request)
    }

    /// Returns when this box last answered a quarantined request completely, if the other
    /// boxes should be notified of that answer; otherwise `None`.
    ///
    /// They should be notified if the answer clears an ending, since it came at most
    /// `CLEARING_WINDOW` before it, and is later than the latest answer known here. A
    /// popular page is in flight at several servers at any time. When these end together,
    /// all requests for it may be lost, so no later answer can clear it.
    pub fn answered_before(
        &self,
        request: RequestFingerprint,
        now: Instant,
    ) -> Option<Instant> {
        let answered = self.answered.last.get(&request).copied()?;
        let is_quarantined = self.is_quarantined(request, now);
        let suspect = self.suspects.get(&request)?;
        let is_new = suspect.answered.is_none_or(|latest| latest < answered);
        (is_quarantined && is_new && suspect.would_clear(answered)).then_some(answered)
    }

    /// Applies an update of this or another box, and returns whether it is new here.
    ///
    /// Updates as old as `SUSPECT_RETENTION` are ignored.
    pub fn apply_update(&mut self, update: &SuspectUpdate, now: Instant) -> bool {
        if age(update.at, now) >= SUSPECT_RETENTION {
            return false;
        }
        match update.seen {
            SuspectEvent::ServerEnded(server) => {
                self.evict_if_full(update.request, now);
                let ending = Ending {
                    server,
                    at: update.at,
                };
                self.suspects.entry(update.request).or_default().add(ending)
            }
            SuspectEvent::AnsweredWhole => {
                let suspect = self.suspects.get_mut(&update.request);
                suspect.is_some_and(|suspect| suspect.clear(update.at))
            }
        }
    }

    /// Returns whether a request is suspected, so that a complete answer would clear it.
    pub fn is_suspect(&self, request: RequestFingerprint) -> bool {
        let suspect = self.suspects.get(&request);
        suspect.is_some_and(|suspect| {
            suspect.counted_endings().next().is_some()
                || suspect.active_quarantine().is_some()
        })
    }

    /// Returns whether a request is quarantined and may be sent with a permit only.
    pub fn is_quarantined(&self, request: RequestFingerprint, now: Instant) -> bool {
        let suspect = self.suspects.get(&request);
        suspect.is_some_and(|suspect| {
            suspect.recent_endings(now) >= QUARANTINE_THRESHOLD
                || suspect.active_quarantine().is_some()
        })
    }

    /// Returns how many servers have ended under a request within `SUSPECT_RETENTION`,
    /// except those that a complete answer has cleared.
    pub fn endings(&self, request: RequestFingerprint, now: Instant) -> usize {
        let suspect = self.suspects.get(&request);
        suspect.map_or(0, |suspect| suspect.recent_endings(now))
    }

    /// Returns the store's entry of a request; `None` if this box knows of none, or if a
    /// complete answer has cleared the request.
    pub fn quarantine(&self, request: RequestFingerprint) -> Option<StoredQuarantine> {
        self.suspects.get(&request)?.active_quarantine().copied()
    }

    /// Returns the requests that more probably ended the servers at which this one was in
    /// flight.
    ///
    /// They share at least one ended server with it and have more ended servers in all,
    /// or as many and the greater fingerprint.
    pub fn likelier_culprits(
        &self,
        request: RequestFingerprint,
    ) -> Vec<RequestFingerprint> {
        let Some(suspect) = self.suspects.get(&request) else {
            return Vec::new();
        };
        let endings = suspect.counted_endings().count();
        let others = self.suspects.iter().filter(|(name, other)| {
            let order = (other.counted_endings().count(), **name);
            order > (endings, request) && suspect.shares_ended_server(other)
        });
        others.map(|(other, _)| *other).collect()
    }

    /// Returns the latest time until which a permitted trial of a request may still be in
    /// flight, where a trial takes at most `max_duration`.
    ///
    /// `None` if no trial was counted, or if the request has been answered or a server
    /// has ended under it since.
    pub fn permit_in_flight_until(
        &self,
        request: RequestFingerprint,
        max_duration: Duration,
    ) -> Option<Instant> {
        let suspect = self.suspects.get(&request)?;
        let stored = suspect
            .active_quarantine()
            .filter(|stored| stored.tries > 0)?;
        let is_over = suspect
            .counted_endings()
            .any(|ending| ending.at > stored.learned_at);
        (!is_over).then(|| stored.learned_at + max_duration)
    }

    /// Applies the store's entry of a request; an entry that is not newer than the known
    /// one changes nothing.
    pub fn apply_quarantine(
        &mut self,
        request: RequestFingerprint,
        known: StoredQuarantine,
    ) {
        let suspect = self.suspects.entry(request).or_default();
        suspect.quarantine = Some(match suspect.quarantine {
            Some(before) if before.position >= known.position => before,
            Some(before) => before.merge_newer(known),
            None => known,
        });
    }

    /// Merges `listed`, the entries of a restored store of the era `era`, into the known
    /// ones. Returns the known entries that the restored store lacks or holds with fewer
    /// trials, except those of cleared requests; these must be written again.
    ///
    /// Trials that were counted stay counted, and a quarantine that the restored store
    /// lacks continues.
    pub fn reconcile_restored(
        &mut self,
        era: StoreEra,
        listed: &[(RequestFingerprint, StoredQuarantine)],
    ) -> Vec<(RequestFingerprint, StoredQuarantine)> {
        for (request, known) in listed {
            let suspect = self.suspects.entry(*request).or_default();
            // An entry that was removed after the restored copy was made is no longer
            // known here, but the answer that cleared it may be. The entry counts as
            // learned at that answer, so that it stays cleared.
            let effective_learned_at = match (suspect.quarantine, suspect.answered) {
                (None, Some(answered)) => answered,
                _ => known.learned_at,
            };
            self.apply_quarantine(
                *request,
                StoredQuarantine {
                    learned_at: effective_learned_at,
                    ..*known
                },
            );
        }
        let era_start = StorePosition::start_of(era);
        for suspect in self.suspects.values_mut() {
            if let Some(known) = &mut suspect.quarantine {
                known.position = known.position.max(era_start);
            }
        }
        let is_recorded = |request: &RequestFingerprint, tries: u32| {
            let mut listed = listed.iter();
            listed.any(|(other, known)| other == request && known.tries >= tries)
        };
        let known = self.suspects.iter();
        let known = known.filter_map(|(request, suspect)| {
            Some((*request, *suspect.active_quarantine()?))
        });
        known
            .filter(|(request, known)| !is_recorded(request, known.tries))
            .collect()
    }

    /// Applies the removal of the store's entry of a request.
    pub fn remove_quarantine(&mut self, request: RequestFingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.quarantine = None;
        }
    }

    /// Iterates over all entries of the store that this box knows, those of cleared
    /// requests included.
    pub fn quarantines(
        &self,
    ) -> impl Iterator<Item = (RequestFingerprint, StoredQuarantine)> {
        let suspects = self.suspects.iter();
        suspects.filter_map(|(request, suspect)| Some((*request, suspect.quarantine?)))
    }

    /// Returns the entries that the store still holds although their requests have been
    /// answered completely since.
    pub fn cleared_quarantines(&self) -> Vec<(RequestFingerprint, StoredQuarantine)> {
        let stored = self.quarantines();
        let cleared = stored.filter(|(request, _)| self.quarantine(*request).is_none());
        cleared.collect()
    }

    /// Returns the updates to send to a box that has just linked with this one.
    ///
    /// The requests with the most endings come first, and among these the ones with the
    /// latest ending. The number is limited to what one frame should hold.
    pub fn initial_updates(&self, now: Instant) -> Vec<SuspectUpdate> {
        let mut suspects: Vec<_> = self.suspects.iter().collect();
        suspects.sort_by_key(|(_, suspect)| {
            let newest = suspect.endings.iter().map(|ending| ending.at).max();
            std::cmp::Reverse((suspect.recent_endings(now), newest))
        });
        let updates = suspects.into_iter().flat_map(|(request, suspect)| {
            let endings = suspect.counted_endings().map(|ending| SuspectUpdate {
                request: *request,
                seen: SuspectEvent::ServerEnded(ending.server),
                at: ending.at,
            });
            endings.collect::<Vec<_>>()
        });
        updates.take(MAX_INITIAL_UPDATES).collect()
    }

    /// Drops the endings that are older than `SUSPECT_RETENTION` and the recent answers
    /// that can no longer clear one. Drops each request without an ending, a store entry
    /// or an answer within `ANSWER_RETENTION`.
    pub fn evict_expired(&mut self, now: Instant) {
        self.answered.evict_expired(now);
        self.suspects.retain(|_, suspect| {
            suspect
                .endings
                .retain(|ending| age(ending.at, now) < SUSPECT_RETENTION);
            let is_fresh = |at: Instant| age(at, now) < ANSWER_RETENTION;
            !suspect.endings.is_empty()
                || suspect.quarantine.is_some()
                || suspect.answered.is_some_and(is_fresh)
        });
    }

    /// Returns the number of requests of which an ending, the store's entry or an answer
    /// that cleared one is remembered. Interrupted attempts and the answers of
    /// `record_complete_answer` do not count.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether `len` is 0.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Drops one request if adding `request` would exceed `MAX_SUSPECTS`. Requests
    /// without an entry in the store go first, then those under which the fewest servers
    /// have ended recently, then those whose latest ending is the oldest.
    fn evict_if_full(&mut self, request: RequestFingerprint, now: Instant) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&request) {
            return;
        }
        let least = self.suspects.iter().min_by_key(|(_, suspect)| {
            let newest = suspect.endings.iter().map(|ending| ending.at).max();
            let is_stored = suspect.quarantine.is_some();
            (is_stored, suspect.recent_endings(now), newest)
        });
        if let Some(least) = least.map(|(request, _)| *request) {
            self.suspects.remove(&least);
        }
    }
}

impl StoredQuarantine {
    /// Merges a newer entry of the store. A restored store may have lost trials that were
    /// counted; the greater count is kept.
    fn merge_newer(self, newer: Self) -> Self {
        let is_restored = self.position.era() < newer.position.era();
        match is_restored && newer.tries < self.tries {
            true => Self {
                position: newer.position,
                ..self
            },
            false => newer,
        }
    }
}

impl Suspect {
    /// Adds an ending; returns `false` if its server is counted already or the ending is
    /// cleared by an answer.
    fn add(&mut self, ending: Ending) -> bool {
        let is_known = |other: &Ending| other.server == ending.server;
        if self.endings.iter().any(is_known) || !self.counts(&ending) {
            return false;
        }
        if self.endings.len() >= MAX_ENDINGS {
            self.endings.remove(0);
        }
        self.endings.push(ending);
        true
    }

    /// Records a complete answer; returns whether the request was suspected and the
    /// answer is later than the latest known one.
    fn clear(&mut self, at: Instant) -> bool {
        if self.answered.is_some_and(|answered| answered >= at) {
            return false;
        }
        let was_suspect =
            self.counted_endings().next().is_some() || self.active_quarantine().is_some();
        self.answered = Some(at);
        let endings = std::mem::take(&mut self.endings);
        let counted_endings = endings.into_iter().filter(|ending| self.counts(ending));
        self.endings = counted_endings.collect();
        was_suspect
    }

    /// Iterates over the endings that no complete answer has cleared.
    fn counted_endings(&self) -> impl Iterator<Item = &Ending> {
        self.endings.iter().filter(|ending| self.counts(ending))
    }

    fn shares_ended_server(&self, other: &Self) -> bool {
        let is_shared = |ending: &Ending| {
            other
                .counted_endings()
                .any(|others| others.server == ending.server)
        };
        self.counted_endings().any(is_shared)
    }

    /// Returns whether an ending counts. It does not if the request was answered
    /// completely since, or so shortly before that it evidently does not end every
    /// server.
    fn counts(&self, ending: &Ending) -> bool {
        let outlasts = |answered| ending.at > answered + CLEARING_WINDOW;
        self.answered.is_none_or(outlasts)
    }

    /// Returns whether a complete answer at this instant would clear any ending.
    fn would_clear(&self, answered: Instant) -> bool {
        let clears = |ending: &Ending| ending.at <= answered + CLEARING_WINDOW;
        self.counted_endings().any(clears)
    }

    fn recent_endings(&self, now: Instant) -> usize {
        let is_recent = |ending: &&Ending| age(ending.at, now) < SUSPECT_RETENTION;
        self.counted_endings().filter(is_recent).count()
    }

    /// Returns the store's entry, unless a complete answer came after this box learned of
    /// it, or at most `MAX_RECORD_DELAY` before.
    fn active_quarantine(&self) -> Option<&StoredQuarantine> {
        let known = self.quarantine.as_ref()?;
        let clears = |answered| answered + MAX_RECORD_DELAY >= known.learned_at;
        let is_cleared = self.answered.is_some_and(clears);
        (!is_cleared).then_some(known)
    }
}

impl RecentAnswers {
    fn record(&mut self, request: RequestFingerprint, now: Instant) {
        self.last.insert(request, now);
        self.order.push_back((request, now));
        if self.order.len() > MAX_RECENT_ANSWERS {
            self.drop_oldest();
        }
    }

    fn evict_expired(&mut self, now: Instant) {
        let is_old = |(_, at): &(RequestFingerprint, Instant)| {
            age(*at, now) > CLEARING_WINDOW + MAX_UPDATE_DELAY
        };
        while self.order.front().is_some_and(is_old) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((request, at)) = self.order.pop_front() else {
            return;
        };
        if self.last.get(&request) == Some(&at) {
            self.last.remove(&request);
        }
    }
}

impl SuspectUpdate {
    /// Converts the update to a message that is sent to another box now.
    pub fn to_message(&self, now: Instant) -> SuspectMessage {
        let age_ms = age(self.at, now).as_millis().min(u128::from(u32::MAX));
        SuspectMessage {
            request: self.request,
            seen: self.seen,
            age_ms: age_ms as u32,
        }
    }
}

impl SuspectMessage {
    /// Converts a message received now to an update on the local clock.
    ///
    /// The age counts from now, without the time in transit, which is not known since the
    /// clocks of the two boxes need not agree.
    pub fn to_update(&self, now: Instant) -> SuspectUpdate {
        let age = Duration::from_millis(self.age_ms.into());
        SuspectUpdate {
            request: self.request,
            seen: self.seen,
            at: now.checked_sub(age).unwrap_or(now),
        }
    }
}

fn age(at: Instant, now: Instant) -> Duration {
    now.saturating_duration_since(at)
}

/// A request needs a permit once this many servers have ended under it. One ending is not
/// enough: it is counted for every request that was in flight at that server. A third
/// ended server is allowed before permits are counted; if every box knows of the second
/// one, the third is that of the first permit.
pub const QUARANTINE_THRESHOLD: usize = 2;
/// How long an ending counts, and how long the store keeps the entry of a quarantine
/// after it was written. A caller that sends the request again after a longer pause
/// starts from zero.
pub const SUSPECT_RETENTION: Duration = Duration::from_secs(600);
/// A complete answer clears endings up to this long after it, since a popular page is
/// answered several times a second. With a longer time, it would take longer to detect a
/// request that the former servers answered and that ends those that replaced them.
const CLEARING_WINDOW: Duration = Duration::from_secs(2);
/// A store entry of which a box learns up to this long after a complete answer does not
/// count, since it may have been written before the answer was known. Requests without a
/// complete answer are not affected.
const MAX_RECORD_DELAY: Duration = Duration::from_secs(10);
/// An update about an ending reaches a box within this time, faster than a store entry.
const MAX_UPDATE_DELAY: Duration = Duration::from_secs(3);
/// Complete answers that a box remembers: 800 a second for five seconds, 200 kilobytes. A
/// box of the largest planned fleet gives 90 a second.
const MAX_RECENT_ANSWERS: usize = 4096;
/// How long the last complete answer of a suspected request is kept: longer than updates
/// about earlier endings are in transit.
const ANSWER_RETENTION: Duration = Duration::from_secs(30);
/// A server whose connections break off because it ends has disappeared from the store
/// within this time: its entry expires after three heartbeats, some five seconds.
const BROKEN_ATTEMPT_TTL: Duration = Duration::from_secs(10);
/// Endings kept for each request; more of them would change nothing.
const MAX_ENDINGS: usize = 8;
/// Requests that are remembered: 40 servers that end at once leave some 400; 2,048 take a
/// quarter of a megabyte. Entries of the store are added beyond this number.
const MAX_SUSPECTS: usize = 2048;
/// Interrupted attempts that are remembered: when a rack of 40 servers is lost, a box of
/// a small fleet has some hundred.
const MAX_BROKEN_ATTEMPTS: usize = 256;
/// Endings sent on a new link at most: 64 take three kilobytes, and a hub that has just
/// taken over sends them to 270 members at once.
const MAX_INITIAL_UPDATES: usize = 64;
