//! The states that instances of backend servers have announced in their responses or
//! catalog entries, and whether requests may be sent to them.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use crate::{ServerKey, ServerLimits};

/// The states that server instances have announced, as known to this box.
///
/// An announcement ends when its time is over or a newer response replaces it, or with
/// the next instance, which has another key. It remains when the catalog entry disappears
/// and returns, and when anything else changes at the box.
#[derive(Debug, Default)]
pub struct AnnouncedStates {
    /// The request limits over all boxes that they have announced.
    pub limits: ServerLimits,
    hints: HashMap<ServerKey, InstanceHints>,
    listed: HashSet<ServerKey>,
    /// Instances with announcements but without a catalog entry, in the order in which
    /// they came to be so.
    unlisted: VecDeque<ServerKey>,
}

/// The announcements of an instance that apply until its end, or until a point in time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct InstanceHints {
    /// Since when it is known to be draining, and until when it may serve as a last
    /// resort.
    draining: Option<Draining>,
    /// Until when this box must not send it requests.
    backoff_until: Option<Instant>,
    /// Whether another instance responds at its address.
    is_replaced: bool,
}

/// Since when an instance is draining, and until when it may serve as a last resort.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Draining {
    since: Instant,
    last_resort_until: Instant,
}

/// The announced state of an instance, by all that this box knows of it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AnnouncedState {
    hints: InstanceHints,
    limit_per_s: Option<f64>,
}

/// Whether a request may be sent to an instance of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Availability {
    /// It may be sent.
    Open,
    /// It may be sent with quota of the server's limit, in requests a second.
    RequiresQuota(f64),
    /// It may be sent if no other server can serve it and the response is expected before
    /// this time.
    LastResort(Instant),
    /// It must not be sent by this box before this time.
    BackoffUntil(Instant),
    /// It must not be sent, and no wait helps: the instance is draining or replaced, or
    /// is in an evacuated data centre.
    Unavailable,
}

impl AnnouncedStates {
    /// Records that an instance has announced in a response that it is draining; returns
    /// whether this is new.
    pub fn record_draining(&mut self, server: ServerKey, since: Instant) -> bool {
        let hints = self.hints_mut(server);
        let is_new = hints.draining.is_none();
        hints.merge_draining(Draining {
            since,
            last_resort_until: since + LAST_RESORT_WINDOW,
        });
        is_new
    }

    /// Records that the catalog lists an instance as draining, which makes it unavailable
    /// at once: the catalog's change may be as old as its delivery takes.
    pub fn record_catalog_draining(&mut self, server: ServerKey, now: Instant) {
        self.hints_mut(server).merge_draining(Draining {
            since: now,
            last_resort_until: now,
        });
    }

    /// Records that this box must not send requests to an instance until a time; returns
    /// whether that is later than what was known. A shorter backoff, or none, does not
    /// shorten a longer one.
    pub fn receive_backoff(&mut self, server: ServerKey, until: Instant) -> bool {
        let hints = self.hints_mut(server);
        let is_longer = hints.backoff_until.is_none_or(|known| known < until);
        if is_longer {
            hints.backoff_until = Some(until);
        }
        is_longer
    }

    /// Records that another instance responds at the address of this one.
    pub fn receive_replaced(&mut self, server: ServerKey) {
        self.hints_mut(server).is_replaced = true;
    }

    /// Returns the announced state of an instance.
    pub fn state(&self, server: ServerKey) -> AnnouncedState {
        AnnouncedState {
            hints: self.hints.get(&server).copied().unwrap_or_default(),
            limit_per_s: self.limits.limit(server),
        }
    }

    /// Returns the draining instances with the time since when this is known, for a box
    /// that has just linked with this one.
    pub fn draining(&self) -> Vec<(ServerKey, Instant)> {
        let draining = self.hints.iter();
        let draining =
            draining.filter_map(|(server, hints)| Some((*server, hints.draining?.since)));
        draining.collect()
    }

    /// Records that an instance has a catalog entry.
    pub fn announce(&mut self, server: ServerKey) {
        let is_new = self.listed.insert(server);
        if is_new && self.has_announcements(server) {
            self.unlisted.retain(|known| *known != server);
        }
    }

    /// Records that an instance has no catalog entry any more. The entry may return, and
    /// the announcements of the instance apply then as before.
    pub fn withdraw(&mut self, server: ServerKey) {
        self.listed.remove(&server);
        if self.has_announcements(server) {
            self.mark_unlisted(server);
        }
    }

    /// Removes an instance that has ended and was followed by another.
    pub fn forget(&mut self, server: ServerKey) {
        self.hints.remove(&server);
        self.limits.forget(server);
        self.listed.remove(&server);
        self.unlisted.retain(|known| *known != server);
    }

    fn hints_mut(&mut self, server: ServerKey) -> &mut InstanceHints {
        let is_new = !self.has_announcements(server);
        if is_new && !self.listed.contains(&server) {
            // Reported by another box before this one knows the instance, or after its
            // end.
            self.mark_unlisted(server);
        }
        self.hints.entry(server).or_default()
    }

    fn has_announcements(&self, server: ServerKey) -> bool {
        self.hints.contains_key(&server) || self.limits.limit(server).is_some()
    }

    fn mark_unlisted(&mut self, server: ServerKey) {
        self.unlisted.retain(|known| *known != server);
        self.unlisted.push_back(server);
        if self.unlisted.len() > MAX_UNLISTED
            && let Some(first) = self.unlisted.pop_front()
        {
            self.forget(first);
        }
    }
}

impl InstanceHints {
    /// Records that the instance is draining; of this and what was known, the earlier
    /// times count.
    fn merge_draining(&mut self, reported: Draining) {
        let known = self.draining.unwrap_or(reported);
        self.draining = Some(Draining {
            since: known.since.min(reported.since),
            last_resort_until: known.last_resort_until.min(reported.last_resort_until),
        });
    }
}

impl AnnouncedState {
    /// Returns whether a request of this box may be sent to the instance now.
    pub fn availability(&self, now: Instant) -> Availability {
        let backoff_until = self.hints.backoff_until.filter(|until| now < *until);
        if self.hints.is_replaced {
            return Availability::Unavailable;
        }
        if let Some(draining) = self.hints.draining {
            // A draining instance that also limits its load or backs off gets no
            // last-resort requests.
            let asks_for_less_load =
                backoff_until.is_some() || self.limit_per_s.is_some();
            return match now < draining.last_resort_until && !asks_for_less_load {
                true => Availability::LastResort(draining.last_resort_until),
                false => Availability::Unavailable,
            };
        }
        if let Some(until) = backoff_until {
            return Availability::BackoffUntil(until);
        }
        self.limit_per_s
            .map_or(Availability::Open, Availability::RequiresQuota)
    }

    /// Records that the catalog lists the instance as draining, which makes it
    /// unavailable at once.
    pub fn mark_catalog_draining(&mut self, now: Instant) {
        self.hints.merge_draining(Draining {
            since: now,
            last_resort_until: now,
        });
    }

    /// Returns the limit that the instance has announced, in requests a second; `None`
    /// for no limit.
    pub fn limit(&self) -> Option<f64> {
        self.limit_per_s
    }

    /// Sets the limit in requests a second; `None` for no limit.
    pub fn set_limit(&mut self, per_s: Option<f64>) {
        self.limit_per_s = per_s;
    }
}

/// How long an instance that announced draining may still get requests as a last resort.
/// It must get no new requests a few seconds after its announcement, and the ones that it
/// was sent must end before it does.
const LAST_RESORT_WINDOW: Duration = Duration::from_secs(1);
/// The maximum number of instances without a catalog entry whose announcements are kept.
/// An instance that is followed by so many others has ended: at such a rate instances
/// live for seconds.
const MAX_UNLISTED: usize = 8192;
