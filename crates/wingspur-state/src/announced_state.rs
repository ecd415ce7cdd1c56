//! How runs of backend servers stand: what each has said of itself, and what binds by it.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use crate::{ServerKey, ServerLimits};

/// What this box knows of what runs of servers have said.
///
/// What a run says ends by its own end or with the next run, which has another key: neither
/// when its entry vanishes and comes back nor when anything else changes at the box.
#[derive(Debug, Default)]
pub struct AnnouncedStates {
    /// What they take from all boxes together.
    pub limits: ServerLimits,
    hints: HashMap<ServerKey, InstanceHints>,
    announced: HashSet<ServerKey>,
    /// Runs with words that are not announced, those that are so for longest first.
    unannounced: VecDeque<ServerKey>,
}

/// What one run has said that binds until its end, or until a moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct InstanceHints {
    /// Since when it is known to leave, and until when it takes what nothing else can serve.
    leaves: Option<Leaving>,
    /// Until when it wants nothing of this box.
    backoff_until: Option<Instant>,
    /// Whether another run answers at its address.
    is_replaced: bool,
}

/// That a run leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Leaving {
    since: Instant,
    works_until: Instant,
}

/// How a run stands with this box, by all that is known of it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AnnouncedState {
    hints: InstanceHints,
    limit_per_s: Option<f64>,
}

/// Whether a request may go to a run of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Availability {
    /// It may.
    Open,
    /// It may if it has a place within what the server takes, in requests a second.
    RequiresQuota(f64),
    /// It may if nothing else can serve it, and its answer should be there by then.
    LastResort(Instant),
    /// Not before then, by this box.
    BackoffUntil(Instant),
    /// Not at present, whatever the box waits for: it leaves, is replaced, or stands in an
    /// evacuated data centre.
    Unavailable,
}

impl AnnouncedStates {
    /// Takes in that a run has said that it leaves; whether that was not known.
    pub fn record_draining(&mut self, server: ServerKey, since: Instant) -> bool {
        let hints = self.hints_of(server);
        let is_new = hints.leaves.is_none();
        hints.note_leaving(Leaving {
            since,
            works_until: since + WORKS_ON_FOR,
        });
        is_new
    }

    /// Takes in that the catalog says that a run leaves: that closes it at once. The catalog
    /// may have known it for as long as its news takes.
    pub fn record_catalog_draining(&mut self, server: ServerKey, now: Instant) {
        self.hints_of(server).note_leaving(Leaving {
            since: now,
            works_until: now,
        });
    }

    /// Takes in that a run wants nothing of this box until a moment; whether that is later
    /// than what was known. A shorter rest, or none, takes nothing back of a longer one.
    pub fn receive_backoff(&mut self, server: ServerKey, until: Instant) -> bool {
        let hints = self.hints_of(server);
        let is_longer = hints.backoff_until.is_none_or(|known| known < until);
        if is_longer {
            hints.backoff_until = Some(until);
        }
        is_longer
    }

    /// Takes in that another run answers at the address of this one.
    pub fn receive_replaced(&mut self, server: ServerKey) {
        self.hints_of(server).is_replaced = true;
    }

    /// How a run stands.
    pub fn state(&self, server: ServerKey) -> AnnouncedState {
        AnnouncedState {
            hints: self.hints.get(&server).copied().unwrap_or_default(),
            limit_per_s: self.limits.limit(server),
        }
    }

    /// The runs that leave, with since when that is known, for a box that has just linked
    /// with this one.
    pub fn draining(&self) -> Vec<(ServerKey, Instant)> {
        let leaving = self.hints.iter();
        let leaving =
            leaving.filter_map(|(server, hints)| Some((*server, hints.leaves?.since)));
        leaving.collect()
    }

    /// Notes that a run is announced.
    pub fn announce(&mut self, server: ServerKey) {
        let is_new = self.announced.insert(server);
        if is_new && self.says_any(server) {
            self.unannounced.retain(|known| *known != server);
        }
    }

    /// Notes that a run is not announced any more: its entry may come back, and what it said
    /// binds then as before.
    pub fn withdraw(&mut self, server: ServerKey) {
        self.announced.remove(&server);
        if self.says_any(server) {
            self.note_unannounced(server);
        }
    }

    /// Forgets a run: it has ended, and another has begun.
    pub fn forget(&mut self, server: ServerKey) {
        self.hints.remove(&server);
        self.limits.forget(server);
        self.announced.remove(&server);
        self.unannounced.retain(|known| *known != server);
    }

    fn hints_of(&mut self, server: ServerKey) -> &mut InstanceHints {
        let is_new = !self.says_any(server);
        if is_new && !self.announced.contains(&server) {
            // Told by another box, before this one knows the run or after its end.
            self.note_unannounced(server);
        }
        self.hints.entry(server).or_default()
    }

    fn says_any(&self, server: ServerKey) -> bool {
        self.hints.contains_key(&server) || self.limits.limit(server).is_some()
    }

    fn note_unannounced(&mut self, server: ServerKey) {
        self.unannounced.retain(|known| *known != server);
        self.unannounced.push_back(server);
        if self.unannounced.len() > MOST_UNANNOUNCED
            && let Some(first) = self.unannounced.pop_front()
        {
            self.forget(first);
        }
    }
}

impl InstanceHints {
    /// Takes in that the run leaves; what was known sooner, or ends sooner, counts.
    fn note_leaving(&mut self, told: Leaving) {
        let known = self.leaves.unwrap_or(told);
        self.leaves = Some(Leaving {
            since: known.since.min(told.since),
            works_until: known.works_until.min(told.works_until),
        });
    }
}

impl AnnouncedState {
    /// Whether a request of this box may go to the run now.
    pub fn availability(&self, now: Instant) -> Availability {
        let rest = self.hints.backoff_until.filter(|until| now < *until);
        if self.hints.is_replaced {
            return Availability::Unavailable;
        }
        if let Some(leaving) = self.hints.leaves {
            // A run in need as well is spared what little it could still do.
            let is_in_need = rest.is_some() || self.limit_per_s.is_some();
            return match now < leaving.works_until && !is_in_need {
                true => Availability::LastResort(leaving.works_until),
                false => Availability::Unavailable,
            };
        }
        if let Some(until) = rest {
            return Availability::BackoffUntil(until);
        }
        self.limit_per_s
            .map_or(Availability::Open, Availability::RequiresQuota)
    }

    /// Notes that the catalog says that the run leaves: that closes it at once.
    pub fn mark_catalog_draining(&mut self, now: Instant) {
        self.hints.note_leaving(Leaving {
            since: now,
            works_until: now,
        });
    }

    /// The limit that the run has named, in requests a second; none for no limit.
    pub fn limit(&self) -> Option<f64> {
        self.limit_per_s
    }

    /// Takes up a limit; none for no limit.
    pub fn set_limit(&mut self, per_s: Option<f64>) {
        self.limit_per_s = per_s;
    }
}

/// For so long a run that has said that it leaves takes what nothing else can serve; it may
/// not get any new work a few seconds later, and what it was sent has to end before it does.
const WORKS_ON_FOR: Duration = Duration::from_secs(1);
/// Whoever was withdrawn before so many others has ended: a run lives for seconds then.
const MOST_UNANNOUNCED: usize = 8192;
