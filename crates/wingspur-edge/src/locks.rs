//! Mutexes that must be locked in a fixed order, which debug builds assert.
//!
//! A thread may take a lock only while all locks that it holds have a lower rank. No
//! lock is held across an `await`, a system call or a call to a peer.

use std::ops::{Deref, DerefMut};
use std::sync::{Mutex, MutexGuard};

/// The order in which locks are taken, first to last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LockRank {
    /// The settings.
    Settings,
    /// The active bundle.
    InForce,
    /// The links to other boxes.
    Links,
    /// The quota leases.
    Lending,
    /// The leases of retry budget.
    ResendLoans,
    /// The requests during which servers have ended.
    Suspects,
    /// The permits for requests in quarantine.
    Quarantine,
    /// How this box is announced.
    Announcement,
    /// The announced backend servers.
    Directory,
    /// The services by name.
    Services,
    /// The settings of retry budgets.
    BudgetSettings,
    /// A service's retry budget.
    Budget,
    /// The resends that a service's requests need.
    ResendDemand,
    /// A service's backend servers.
    Balancer,
    /// Whether this box reaches a service's backend servers.
    ServerPath,
    /// The boxes that forward requests for this one.
    Relays,
    /// The connections to these boxes.
    RelayConnections,
    /// The retry times that a service's rejected callers were given.
    Returns,
    /// What a service's requests need.
    Urgency,
    /// What servers have announced about themselves.
    Standings,
    /// The distribution of a route's response times.
    ServiceTime,
    /// The service of each server.
    ServersByKey,
    /// The connections by server.
    Backends,
    /// The evacuated data centres.
    Evacuated,
    /// Which probes of idle servers this box owns.
    CoverageRole,
    /// Which boxes are alive.
    Membership,
    /// The outlier detectors that run at this box.
    Judges,
    /// The table of one service.
    ServiceTable,
    /// The logs of once-only shards.
    Shards,
    /// The token buckets of client accounts.
    Accounts,
    /// The requests in flight.
    RequestsOut,
    /// The attempts of one request.
    Attempts,
    /// What is logged of the attempts of one request.
    AttemptTraces,
}

/// A mutex with a rank.
#[derive(Debug)]
pub struct RankedMutex<T> {
    rank: LockRank,
    inner: Mutex<T>,
}

impl<T> RankedMutex<T> {
    /// Wraps a value.
    pub fn new(rank: LockRank, value: T) -> Self {
        Self {
            rank,
            inner: Mutex::new(value),
        }
    }

    /// Takes the lock. In debug builds, panics if the thread holds a lock of the same or
    /// a higher rank.
    pub fn lock(&self) -> RankedMutexGuard<'_, T> {
        held::enter(self.rank);
        let guard = self.inner.lock().expect("no holder panics");
        RankedMutexGuard {
            rank: self.rank,
            guard,
        }
    }
}

/// Holds a ranked lock.
#[derive(Debug)]
pub struct RankedMutexGuard<'a, T> {
    rank: LockRank,
    guard: MutexGuard<'a, T>,
}

impl<T> Deref for RankedMutexGuard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.guard
    }
}

impl<T> DerefMut for RankedMutexGuard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.guard
    }
}

impl<T> Drop for RankedMutexGuard<'_, T> {
    fn drop(&mut self) {
        held::leave(self.rank);
    }
}

#[cfg(debug_assertions)]
mod held {
    use std::cell::RefCell;

    use super::LockRank;

    thread_local! {
        static HELD: RefCell<Vec<LockRank>> = const { RefCell::new(Vec::new()) };
    }

    pub fn enter(rank: LockRank) {
        HELD.with_borrow_mut(|held| {
            if let Some(highest) = held.iter().max() {
                assert!(*highest < rank, "{rank:?} taken while {highest:?} is held");
            }
            held.push(rank);
        });
    }

    pub fn leave(rank: LockRank) {
        HELD.with_borrow_mut(|held| {
            if let Some(index) = held.iter().rposition(|other| *other == rank) {
                held.remove(index);
            }
        });
    }
}

#[cfg(not(debug_assertions))]
mod held {
    use super::LockRank;

    pub fn enter(_: LockRank) {}

    pub fn leave(_: LockRank) {}
}
