//! Locks with a stated order, asserted in debug builds.
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
    /// The bundle in force.
    InForce,
    /// The links to other boxes.
    Links,
    /// What is lent and borrowed.
    Lending,
    /// Who has room for resends.
    ResendLoans,
    /// The requests under which servers have ended.
    Suspects,
    /// What is let through of requests in quarantine.
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
    /// A service's backend servers.
    Balancer,
    /// What a service's refused callers were promised.
    Returns,
    /// What servers have said of themselves.
    Standings,
    /// How a route's answers spread.
    ServiceTime,
    /// The service of each server.
    ServersByKey,
    /// The connections by server.
    Backends,
    /// The data centres that are evacuated.
    Evacuated,
    /// Who lives.
    Membership,
    /// The judges that this box holds.
    Judges,
    /// The table of one service.
    ServiceTable,
    /// The logs of once-only shards.
    Shards,
    /// The buckets of caller accounts.
    Accounts,
    /// The requests that are not over.
    RequestsOut,
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

    /// Takes the lock; panics in debug builds when the order is broken.
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
