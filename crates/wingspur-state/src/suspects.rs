//! Requests under which servers have ended, as far as one box has heard.
//!
//! A request that ends each server which begins to run it comes again, at any box. So boxes
//! tell each other which request was out at a server that ended. Most of those only ran
//! beside another one: nothing is held against a request before servers have ended under it
//! twice, and one whole answer anywhere clears it.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{RequestFingerprint, ServerKey, SourceId, StoreEra, StorePosition};

/// The requests under which servers have ended.
#[derive(Debug, Default)]
pub struct SuspectRequests {
    suspects: HashMap<RequestFingerprint, Suspect>,
    /// Attempts that broke off at servers which may have ended, oldest first.
    broken: VecDeque<BrokenAttempt>,
    /// When this box last answered a request whole, of the last few seconds.
    answered: RecentAnswers,
}

/// The requests that a box has answered whole a moment ago.
#[derive(Debug, Default)]
struct RecentAnswers {
    last: HashMap<RequestFingerprint, Instant>,
    /// In the order of time; those that were answered again since stand more than once.
    order: VecDeque<(RequestFingerprint, Instant)>,
}

/// Something that one box has seen, and others should hear.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectUpdate {
    /// The request.
    pub request: RequestFingerprint,
    /// What was seen.
    pub seen: SuspectEvent,
    /// When.
    pub at: Instant,
}

/// What was seen of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectEvent {
    /// A server has ended while the request was out there.
    ServerEnded(ServerKey),
    /// It was answered whole, so it does not end each server that runs it.
    AnsweredWhole,
}

/// The same as boxes tell it each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectMessage {
    /// The request.
    pub request: RequestFingerprint,
    /// What was seen.
    pub seen: SuspectEvent,
    /// How long ago, in milliseconds, when this was told.
    pub age_ms: u32,
}

/// What the store holds of a request that is in quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredQuarantine {
    /// Where in the store's history this was written.
    pub position: StorePosition,
    /// How often it was let through since it is in quarantine.
    pub tries: u32,
    /// Who has counted that.
    pub counted_by: SourceId,
    /// When this box learned of that.
    pub heard: Instant,
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
    /// Notes that an attempt broke off at a server that may have ended.
    pub fn record_broken_attempt(
        &mut self,
        request: RequestFingerprint,
        server: ServerKey,
        at: Instant,
    ) {
        if self.broken.len() >= MOST_BROKEN {
            self.broken.pop_front();
        }
        self.broken.push_back(BrokenAttempt {
            request,
            server,
            at,
        });
    }

    /// Takes out what broke off a while ago at a server that is now known to have ended.
    pub fn take_broken_attempts(
        &mut self,
        server: ServerKey,
        now: Instant,
    ) -> Vec<SuspectUpdate> {
        let (ended, others): (Vec<_>, Vec<_>) = self
            .broken
            .drain(..)
            .filter(|broken| age(broken.at, now) <= ENDS_WITHIN)
            .partition(|broken| broken.server == server);
        self.broken = others.into();
        let updates = ended.into_iter().map(|broken| SuspectUpdate {
            request: broken.request,
            seen: SuspectEvent::ServerEnded(server),
            at: broken.at,
        });
        updates.collect()
    }

    /// Notes that this box has answered a request whole; whether others should hear, since
    /// servers have ended under it.
    pub fn record_complete_answer(
        &mut self,
        request: RequestFingerprint,
        now: Instant,
    ) -> bool {
        self.answered.note(request, now);
        self.is_suspect(request)
    }

    /// When this box answered a request whole that is in quarantine, so shortly before
    /// servers ended under it that others should hear.
    ///
    /// Pages that many ask for are out at several servers at any time. When servers
    /// end together, all that is out of such a page may be lost, and nothing is left that
    /// could clear it.
    pub fn answered_before(
        &self,
        request: RequestFingerprint,
        now: Instant,
    ) -> Option<Instant> {
        let answered = self.answered.last.get(&request).copied()?;
        let is_quarantined = self.is_quarantined(request, now);
        let suspect = self.suspects.get(&request)?;
        let is_new = suspect.answered.is_none_or(|known| known < answered);
        (is_quarantined && is_new && suspect.would_clear(answered)).then_some(answered)
    }

    /// Takes in what this box or another has seen; whether that is news here.
    pub fn apply_update(&mut self, updates: &SuspectUpdate, now: Instant) -> bool {
        if age(updates.at, now) >= SUSPECT_RETENTION {
            return false;
        }
        match updates.seen {
            SuspectEvent::ServerEnded(server) => {
                self.make_room(updates.request, now);
                let ending = Ending {
                    server,
                    at: updates.at,
                };
                self.suspects
                    .entry(updates.request)
                    .or_default()
                    .add(ending)
            }
            SuspectEvent::AnsweredWhole => {
                let suspect = self.suspects.get_mut(&updates.request);
                suspect.is_some_and(|suspect| suspect.clear(updates.at))
            }
        }
    }

    /// Whether a whole answer to a request would be news.
    pub fn is_suspect(&self, request: RequestFingerprint) -> bool {
        let suspect = self.suspects.get(&request);
        suspect.is_some_and(|suspect| {
            suspect.counted().next().is_some() || suspect.standing().is_some()
        })
    }

    /// Whether a request may be sent with a permit only.
    pub fn is_quarantined(&self, request: RequestFingerprint, now: Instant) -> bool {
        let suspect = self.suspects.get(&request);
        suspect.is_some_and(|suspect| {
            suspect.endings_lately(now) >= QUARANTINE_THRESHOLD
                || suspect.standing().is_some()
        })
    }

    /// How many servers have ended under a request since it was last answered.
    pub fn endings(&self, request: RequestFingerprint, now: Instant) -> usize {
        let suspect = self.suspects.get(&request);
        suspect.map_or(0, |suspect| suspect.endings_lately(now))
    }

    /// What the store holds of a request, as far as it has not been answered since.
    pub fn quarantine(&self, request: RequestFingerprint) -> Option<StoredQuarantine> {
        self.suspects.get(&request)?.standing().copied()
    }

    /// Requests that may rather have ended the servers that this one was out at: one of them is
    /// the same, and there are more of them, or as many and chance decides.
    pub fn likelier_culprits(
        &self,
        request: RequestFingerprint,
    ) -> Vec<RequestFingerprint> {
        let Some(suspect) = self.suspects.get(&request) else {
            return Vec::new();
        };
        let endings = suspect.counted().count();
        let others = self.suspects.iter().filter(|(name, other)| {
            let order = (other.counted().count(), **name);
            order > (endings, request) && suspect.shares_an_ending(other)
        });
        others.map(|(other, _)| *other).collect()
    }

    /// Until when a request that was let through may still be out at a server, at the
    /// latest: it has neither been answered since, nor has a server ended under it.
    pub fn permit_in_flight_until(
        &self,
        request: RequestFingerprint,
        lasts: Duration,
    ) -> Option<Instant> {
        let suspect = self.suspects.get(&request)?;
        let known = suspect.standing().filter(|known| known.tries > 0)?;
        let is_over = suspect.counted().any(|ending| ending.at > known.heard);
        (!is_over).then(|| known.heard + lasts)
    }

    /// Takes in what the store holds of a request; what is older than the known
    /// changes nothing.
    pub fn apply_quarantine(
        &mut self,
        request: RequestFingerprint,
        known: StoredQuarantine,
    ) {
        let suspect = self.suspects.entry(request).or_default();
        suspect.quarantine = Some(match suspect.quarantine {
            Some(before) if before.position >= known.position => before,
            Some(before) => before.followed_by(known),
            None => known,
        });
    }

    /// Takes in what a restored store holds of the requests in quarantine; returns what it has
    /// lost, to be written again.
    ///
    /// Tries that were counted stay counted, and a quarantine that it lacks goes on.
    pub fn reconcile_restored(
        &mut self,
        era: StoreEra,
        listed: &[(RequestFingerprint, StoredQuarantine)],
    ) -> Vec<(RequestFingerprint, StoredQuarantine)> {
        for (request, known) in listed {
            let suspect = self.suspects.entry(*request).or_default();
            // One that was cleared since the copy was made is only known as answered.
            let heard = match (suspect.quarantine, suspect.answered) {
                (None, Some(answered)) => answered,
                _ => known.heard,
            };
            self.apply_quarantine(*request, StoredQuarantine { heard, ..*known });
        }
        let nothing = StorePosition::start_of(era);
        for suspect in self.suspects.values_mut() {
            if let Some(known) = &mut suspect.quarantine {
                known.position = known.position.max(nothing);
            }
        }
        let held = |request: &RequestFingerprint, tries: u32| {
            let mut listed = listed.iter();
            listed.any(|(other, known)| other == request && known.tries >= tries)
        };
        let known = self.suspects.iter();
        let known =
            known.filter_map(|(request, suspect)| Some((*request, *suspect.standing()?)));
        known
            .filter(|(request, known)| !held(request, known.tries))
            .collect()
    }

    /// Takes in that the store holds nothing of a request any more.
    pub fn remove_quarantine(&mut self, request: RequestFingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.quarantine = None;
        }
    }

    /// All that the store holds, as far as this box knows.
    pub fn quarantines(
        &self,
    ) -> impl Iterator<Item = (RequestFingerprint, StoredQuarantine)> {
        let suspects = self.suspects.iter();
        suspects.filter_map(|(request, suspect)| Some((*request, suspect.quarantine?)))
    }

    /// What the store still holds of requests that were answered whole since.
    pub fn cleared_quarantines(&self) -> Vec<(RequestFingerprint, StoredQuarantine)> {
        let held = self.quarantines();
        let outlived = held.filter(|(request, _)| self.quarantine(*request).is_none());
        outlived.collect()
    }

    /// What a box that has just linked with this one should hear: what ended servers last,
    /// most endings first, and no more than a frame should hold.
    pub fn initial_updates(&self, now: Instant) -> Vec<SuspectUpdate> {
        let mut suspects: Vec<_> = self.suspects.iter().collect();
        suspects.sort_by_key(|(_, suspect)| {
            let newest = suspect.endings.iter().map(|ending| ending.at).max();
            std::cmp::Reverse((suspect.endings_lately(now), newest))
        });
        let updates = suspects.into_iter().flat_map(|(request, suspect)| {
            let endings = suspect.counted().map(|ending| SuspectUpdate {
                request: *request,
                seen: SuspectEvent::ServerEnded(ending.server),
                at: ending.at,
            });
            endings.collect::<Vec<_>>()
        });
        updates.take(MOST_GREETING).collect()
    }

    /// Forgets what is too old to count.
    pub fn evict_expired(&mut self, now: Instant) {
        self.answered.tidy(now);
        self.suspects.retain(|_, suspect| {
            suspect
                .endings
                .retain(|ending| age(ending.at, now) < SUSPECT_RETENTION);
            let is_fresh = |at: Instant| age(at, now) < ANSWER_REMEMBERED;
            !suspect.endings.is_empty()
                || suspect.quarantine.is_some()
                || suspect.answered.is_some_and(is_fresh)
        });
    }

    /// How many requests something is known of.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether nothing is known of any.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Forgets the request that fewest servers have ended under, longest ago, where a new
    /// one would be too many.
    fn make_room(&mut self, request: RequestFingerprint, now: Instant) {
        if self.suspects.len() < MOST_SUSPECTS || self.suspects.contains_key(&request) {
            return;
        }
        let least = self.suspects.iter().min_by_key(|(_, suspect)| {
            let newest = suspect.endings.iter().map(|ending| ending.at).max();
            let is_held = suspect.quarantine.is_some();
            (is_held, suspect.endings_lately(now), newest)
        });
        if let Some(least) = least.map(|(request, _)| *request) {
            self.suspects.remove(&least);
        }
    }
}

impl StoredQuarantine {
    /// What is known after a newer record. A restored store may have lost tries that were
    /// counted.
    fn followed_by(self, newer: Self) -> Self {
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
    /// Takes in an ending; whether it is a server that is not counted yet.
    fn add(&mut self, ending: Ending) -> bool {
        let is_known = |known: &Ending| known.server == ending.server;
        if self.endings.iter().any(is_known) || !self.counts(&ending) {
            return false;
        }
        if self.endings.len() >= MOST_ENDINGS {
            self.endings.remove(0);
        }
        self.endings.push(ending);
        true
    }

    /// Takes in a whole answer; whether it clears anything.
    fn clear(&mut self, at: Instant) -> bool {
        if self.answered.is_some_and(|answered| answered >= at) {
            return false;
        }
        let was_suspect = self.counted().next().is_some() || self.standing().is_some();
        self.answered = Some(at);
        let endings = std::mem::take(&mut self.endings);
        let counted = endings.into_iter().filter(|ending| self.counts(ending));
        self.endings = counted.collect();
        was_suspect
    }

    /// The endings that no whole answer has cleared.
    fn counted(&self) -> impl Iterator<Item = &Ending> {
        self.endings.iter().filter(|ending| self.counts(ending))
    }

    fn shares_an_ending(&self, other: &Self) -> bool {
        let is_others = |ending: &Ending| {
            other.counted().any(|others| others.server == ending.server)
        };
        self.counted().any(is_others)
    }

    /// Whether an ending counts: not if the request was answered whole since, or so shortly
    /// before that it does not end each server.
    fn counts(&self, ending: &Ending) -> bool {
        let clears = |answered| ending.at > answered + ANSWER_CLEARS;
        self.answered.is_none_or(clears)
    }

    /// Whether a whole answer at a moment would clear any ending.
    fn would_clear(&self, answered: Instant) -> bool {
        let clears = |ending: &Ending| ending.at <= answered + ANSWER_CLEARS;
        self.counted().any(clears)
    }

    fn endings_lately(&self, now: Instant) -> usize {
        let lately = |ending: &&Ending| age(ending.at, now) < SUSPECT_RETENTION;
        self.counted().filter(lately).count()
    }

    /// What the store holds, unless a whole answer came after this box had learned of it.
    fn standing(&self) -> Option<&StoredQuarantine> {
        let known = self.quarantine.as_ref()?;
        let clears = |answered| answered + RECORD_LATE >= known.heard;
        let is_cleared = self.answered.is_some_and(clears);
        (!is_cleared).then_some(known)
    }
}

impl RecentAnswers {
    fn note(&mut self, request: RequestFingerprint, now: Instant) {
        self.last.insert(request, now);
        self.order.push_back((request, now));
        if self.order.len() > MOST_ANSWERS {
            self.drop_oldest();
        }
    }

    fn tidy(&mut self, now: Instant) {
        let is_old = |(_, at): &(RequestFingerprint, Instant)| {
            age(*at, now) > ANSWER_CLEARS + NEWS_LATE
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
    /// As it is told to another box now.
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
    /// As it is heard now. What it took on its way is taken for none: the box that tells and
    /// this one need not agree on a clock.
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

/// From so many servers that ended under it on, a request needs a permit. One is what each
/// request meets that runs beside another; a third is allowed before permits are counted, and
/// with the second known everywhere it is the first of them.
pub const QUARANTINE_THRESHOLD: usize = 2;
/// For how long an ending counts, and a request stays in quarantine: a caller that comes
/// again after a longer pause begins anew.
pub const SUSPECT_RETENTION: Duration = Duration::from_secs(600);
/// An ending so shortly after a whole answer tells nothing: a page that many ask for is
/// answered several times a second. Longer, a request that ends servers since they were
/// replaced by others would be found later.
const ANSWER_CLEARS: Duration = Duration::from_secs(2);
/// What the store holds of a request may have been written before a whole answer was heard
/// of, and be heard itself so much later. Only a request that has been answered whole gains.
const RECORD_LATE: Duration = Duration::from_secs(10);
/// News of an ending takes less.
const NEWS_LATE: Duration = Duration::from_secs(3);
/// Whole answers that a box remembers: 800 a second for five seconds, 200 kilobytes. A box of
/// the largest fleet that is planned has 90 a second.
const MOST_ANSWERS: usize = 4096;
/// A whole answer is remembered for longer than news of earlier endings is on its way.
const ANSWER_REMEMBERED: Duration = Duration::from_secs(30);
/// A server that ends while its connections break off has gone from the store within this:
/// three of its heartbeats are some five seconds.
const ENDS_WITHIN: Duration = Duration::from_secs(10);
/// More endings tell nothing more.
const MOST_ENDINGS: usize = 8;
/// Requests that are remembered: 40 servers that end at once leave some 400, a quarter of a
/// megabyte is 2,048.
const MOST_SUSPECTS: usize = 2048;
/// Broken attempts that are remembered: with a rack of 40 servers a box of a small fleet has
/// some hundred.
const MOST_BROKEN: usize = 256;
/// What a new link is told at most: 64 endings are three kilobytes, and 270 members of a hub
/// that has just taken over are told that at once.
const MOST_GREETING: usize = 64;
