//! Queues of the requests that wait for quota, with the order in which they are granted.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use wingspur_protocol::LeasedResource;
use wingspur_state::AcquireOutcome;

/// The requests that wait for quota, by quota. When units are granted, a queue is sorted
/// by `reserve`, the most urgent first, and by arrival where that is equal.
#[derive(Debug, Default)]
pub struct WaitingQueues {
    queues: HashMap<LeasedResource, VecDeque<Waiting>>,
}

#[derive(Debug)]
struct Waiting {
    sender: async_channel::Sender<AcquireOutcome>,
    reserve: ReserveShare,
    since: Instant,
}

impl Waiting {
    /// Returns whether the request may keep waiting for a unit that is expected after
    /// `more_in`.
    fn may_wait_for(&self, more_in: Duration, is_first: bool, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.since);
        let max_wait = if is_first {
            MAX_WAIT_OF_FIRST
        } else {
            MAX_WAIT
        };
        is_soon(more_in) && waited < max_wait
    }
}

/// Receives the outcome for a request that waits for quota.
pub type PendingGrant = async_channel::Receiver<AcquireOutcome>;

/// Share of a pool's capacity beyond one unit that a request must leave untouched, for
/// requests of higher priority. The lower this share, the more urgent the request.
pub type ReserveShare = f32;

impl WaitingQueues {
    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }

    /// Returns the quotas that requests wait for.
    pub fn resources(&self) -> Vec<LeasedResource> {
        self.queues.keys().copied().collect()
    }

    /// Returns the number of requests that wait for a quota.
    pub fn len(&self, resource: LeasedResource) -> usize {
        self.queues.get(&resource).map_or(0, VecDeque::len)
    }

    /// Returns the reserves of the requests that wait for a quota, the most urgent first.
    pub fn reserves(&self, resource: LeasedResource) -> Vec<ReserveShare> {
        let waiting = self.queues.get(&resource).into_iter().flatten();
        let mut reserves: Vec<_> = waiting.map(|waiting| waiting.reserve).collect();
        reserves.sort_by(f32::total_cmp);
        reserves
    }

    /// Adds a request to the end of the queue of a quota.
    pub fn enqueue(
        &mut self,
        resource: LeasedResource,
        reserve: ReserveShare,
        now: Instant,
    ) -> PendingGrant {
        let (sender, receiver) = async_channel::bounded(1);
        let waiting = self.queues.entry(resource).or_default();
        waiting.retain(|waiting| !waiting.sender.is_closed());
        waiting.push_back(Waiting {
            sender,
            reserve,
            since: now,
        });
        receiver
    }

    /// Grants `granted` units to the most urgent waiting requests. If a refusal is given,
    /// it goes to those of the others that may not wait as long as it says. Returns the
    /// number of requests granted.
    pub fn notify(
        &mut self,
        resource: LeasedResource,
        granted: u32,
        refusal: Option<AcquireOutcome>,
        now: Instant,
    ) -> u32 {
        let Some(waiting) = self.queues.get_mut(&resource) else {
            return 0;
        };
        waiting.retain(|waiting| !waiting.sender.is_closed());
        let by_reserve =
            |one: &Waiting, other: &Waiting| one.reserve.total_cmp(&other.reserve);
        waiting.make_contiguous().sort_by(by_reserve);
        let granted = (granted as usize).min(waiting.len());
        for waiting in waiting.drain(..granted) {
            // The send fails if the request has just given up; its unit is lost.
            let _ = waiting.sender.try_send(AcquireOutcome::Acquired);
        }
        if let Some(outcome @ AcquireOutcome::Refused(more_in)) = refusal {
            let mut is_first = true;
            waiting.retain(|waiting| {
                let keeps_waiting = waiting.may_wait_for(more_in, is_first, now);
                is_first = false;
                if !keeps_waiting {
                    let _ = waiting.sender.try_send(outcome);
                }
                keeps_waiting
            });
        }
        if waiting.is_empty() {
            self.queues.remove(&resource);
        }
        granted as u32
    }

    /// Evicts the requests that were given up.
    pub fn evict_closed(&mut self) {
        self.queues.retain(|_, waiting| {
            waiting.retain(|waiting| !waiting.sender.is_closed());
            !waiting.is_empty()
        });
    }
}

/// Returns whether a unit that is expected after `more_in` is worth waiting for, instead
/// of refusing the request. Shares refill continuously, and hubs may divide them unevenly
/// for about `MAX_WAIT`.
pub fn is_soon(more_in: Duration) -> bool {
    more_in <= MAX_WAIT
}

/// Time for which a request may wait for a unit that is expected. It applies when a
/// refusal is known; the first waiting request has `MAX_WAIT_OF_FIRST`. It is a small
/// part of the time in which a response is wanted, and a caller over its limit is refused
/// within it.
const MAX_WAIT: Duration = Duration::from_millis(250);
/// Time for which the first waiting request, the most urgent one, may wait when a refusal
/// is known, because it gets the next unit.
const MAX_WAIT_OF_FIRST: Duration = Duration::from_millis(600);
