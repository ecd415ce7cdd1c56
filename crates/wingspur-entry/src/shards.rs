//! The once-only shards of a box: their logs, and the claims that wait for a reply.

use std::collections::HashMap;
use std::time::Duration;

use wingspur_coordination::{ClaimResult, ClaimTicket, ShardLog, ShardLogSettings};
use wingspur_protocol::{ClaimReply, ClaimRequest, OutcomeReport};

use wingspur_edge::Settings;
use wingspur_edge::{LockRank, RankedMutex};

/// The once-only shards of a fleet; the log of a shard is open only on the box that owns
/// it.
#[derive(Debug)]
pub struct Shards {
    handles: Vec<ShardHandle>,
}

/// A shard's state, with the signal that wakes its driver.
#[derive(Debug)]
pub struct ShardHandle {
    /// The log and the waiting claims.
    pub state: RankedMutex<ShardState>,
    wake: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

/// A shard's log, with the claims that wait for a reply.
#[derive(Debug)]
pub struct ShardState {
    /// The log.
    pub log: ShardLog,
    waiting: HashMap<ClaimTicket, async_channel::Sender<ClaimReply>>,
    next_ticket: ClaimTicket,
}

impl Shards {
    /// Creates all shards, with closed logs.
    pub fn new(settings: &Settings, incarnation: u64) -> Self {
        let once_only = settings.once_only;
        let log_settings = ShardLogSettings {
            commit_every: Duration::from_millis(once_only.commit_every_ms),
            retention: Duration::from_secs(once_only.retention_s),
            ..ShardLogSettings::default()
        };
        let handle = |_| {
            let writer = (settings.box_id.clone(), incarnation);
            let state = ShardState {
                log: ShardLog::new(writer, log_settings),
                waiting: HashMap::new(),
                next_ticket: 1,
            };
            let state = RankedMutex::new(LockRank::Shards, state);
            ShardHandle {
                state,
                wake: async_channel::bounded(1),
            }
        };
        Self {
            handles: (0..once_only.shards).map(handle).collect(),
        }
    }

    /// Returns the number of shards.
    pub fn count(&self) -> u32 {
        self.handles.len() as u32
    }

    /// Returns one shard; panics if `shard` is not below `count()`.
    pub fn shard(&self, shard: u32) -> &ShardHandle {
        &self.handles[shard as usize]
    }

    /// Returns how many shards this box owns as of its last writes, and how many
    /// operations the logs hold.
    pub fn owned_totals(&self) -> (usize, usize) {
        let mut totals = (0, 0);
        for handle in &self.handles {
            let state = handle.state.lock();
            totals.0 += usize::from(state.log.is_open());
            totals.1 += state.log.len();
        }
        totals
    }

    /// Returns whether any shard still has something to write.
    pub fn has_pending(&self) -> bool {
        self.handles
            .iter()
            .any(|handle| handle.state.lock().log.has_pending())
    }

    /// Decides on a claim of this box or of a peer, as the shard's owner. Waits until the
    /// claim is recorded in the log or refused.
    pub async fn claim(&self, request: ClaimRequest) -> ClaimReply {
        let handle = self.shard(request.operation.shard(self.count()));
        let (sender, receiver) = async_channel::bounded(1);
        let now = wingspur_clock::now();
        {
            let mut state = handle.state.lock();
            let ticket = state.next_ticket;
            state.next_ticket += 1;
            let expires = now + CLAIM_TIMEOUT;
            if let Some(reply) = state.log.claim(request, ticket, expires, now) {
                return reply;
            }
            state.waiting.insert(ticket, sender);
        }
        handle.wake();
        receiver.recv().await.unwrap_or(ClaimReply::Unavailable)
    }

    /// Records how an operation ended; returns `false` when this box does not own the
    /// shard.
    pub fn record_outcome(&self, report: &OutcomeReport) -> bool {
        let handle = self.shard(report.operation.shard(self.count()));
        {
            let mut state = handle.state.lock();
            if !state.log.is_open() {
                return false;
            }
            state.log.record_outcome(report);
        }
        handle.wake();
        true
    }
}

impl ShardHandle {
    /// Waits until the log may have a command to carry out.
    pub async fn wait_for_work(&self) {
        // The channel stays open as long as the shards do.
        let _ = self.wake.1.recv().await;
    }

    fn wake(&self) {
        // A full channel already holds a wake-up, so the error is ignored.
        let _ = self.wake.0.try_send(());
    }

    /// Sends results of the log to the claims that wait for them.
    pub fn resolve_claims(&self, results: Vec<ClaimResult>) {
        let mut state = self.state.lock();
        for result in results {
            if let Some(sender) = state.waiting.remove(&result.ticket) {
                // Fails only if the claim is no longer waited for.
                let _ = sender.try_send(result.reply);
            }
        }
    }
}

/// A claim that is not recorded within this time is refused.
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(1500);
