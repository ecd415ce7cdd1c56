//! The once-only shards of a box: their logs, and the claims that wait.

use std::collections::HashMap;
use std::time::Duration;

use wingspur_coordination::{ClaimResult, ClaimTicket, ShardLog, ShardLogSettings};
use wingspur_protocol::{ClaimReply, ClaimRequest, OutcomeReport};

use wingspur_edge::Settings;
use wingspur_edge::{LockRank, RankedMutex};

/// The once-only shards of a fleet, each with a log that is open where it is owned.
#[derive(Debug)]
pub struct Shards {
    seats: Vec<ShardHandle>,
}

/// One shard's log, and who waits for it.
#[derive(Debug)]
pub struct ShardHandle {
    /// The log.
    pub state: RankedMutex<ShardState>,
    wake: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

/// A shard's log with the claims that wait for an answer.
#[derive(Debug)]
pub struct ShardState {
    /// The log.
    pub log: ShardLog,
    waiting: HashMap<ClaimTicket, async_channel::Sender<ClaimReply>>,
    next_ticket: ClaimTicket,
}

impl Shards {
    /// All shards, closed.
    pub fn new(settings: &Settings, incarnation: u64) -> Self {
        let once_only = settings.once_only;
        let log_settings = ShardLogSettings {
            commit_every: Duration::from_millis(once_only.commit_every_ms),
            retention: Duration::from_secs(once_only.retention_s),
            ..ShardLogSettings::default()
        };
        let seat = |_| {
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
            seats: (0..once_only.shards).map(seat).collect(),
        }
    }

    /// The number of shards.
    pub fn count(&self) -> u32 {
        self.seats.len() as u32
    }

    /// One shard.
    pub fn shard(&self, shard: u32) -> &ShardHandle {
        &self.seats[shard as usize]
    }

    /// Shards that this box owns as of its last writes, and operations remembered.
    pub fn owned_totals(&self) -> (usize, usize) {
        let mut totals = (0, 0);
        for seat in &self.seats {
            let state = seat.state.lock();
            totals.0 += usize::from(state.log.is_open());
            totals.1 += state.log.len();
        }
        totals
    }

    /// Whether any shard has something to write still.
    pub fn has_pending(&self) -> bool {
        self.seats
            .iter()
            .any(|seat| seat.state.lock().log.has_pending())
    }

    /// Answers a claim, here or from a peer, as the shard's owner.
    pub async fn claim(&self, request: ClaimRequest) -> ClaimReply {
        let seat = self.shard(request.operation.shard(self.count()));
        let (sender, receiver) = async_channel::bounded(1);
        let now = wingspur_clock::now();
        {
            let mut state = seat.state.lock();
            let ticket = state.next_ticket;
            state.next_ticket += 1;
            let expires = now + CLAIM_TIMEOUT;
            if let Some(reply) = state.log.claim(request, ticket, expires, now) {
                return reply;
            }
            state.waiting.insert(ticket, sender);
        }
        seat.wake();
        receiver.recv().await.unwrap_or(ClaimReply::Unavailable)
    }

    /// Takes in how an operation ended; false when this box does not own the shard.
    pub fn record_outcome(&self, note: &OutcomeReport) -> bool {
        let seat = self.shard(note.operation.shard(self.count()));
        {
            let mut state = seat.state.lock();
            if !state.log.is_open() {
                return false;
            }
            state.log.record_outcome(note);
        }
        seat.wake();
        true
    }
}

impl ShardHandle {
    /// Waits until there is something to do.
    pub async fn wait_for_work(&self) {
        // The channel stays open as long as the shards do.
        let _ = self.wake.1.recv().await;
    }

    fn wake(&self) {
        // A wake that is pending already will do.
        let _ = self.wake.0.try_send(());
    }

    /// Hands verdicts to those who wait for them.
    pub fn resolve_claims(&self, verdicts: Vec<ClaimResult>) {
        let mut state = self.state.lock();
        for verdict in verdicts {
            if let Some(sender) = state.waiting.remove(&verdict.ticket) {
                // An asker that went away is told nothing.
                let _ = sender.try_send(verdict.reply);
            }
        }
    }
}

/// A claim that is not recorded by then is refused.
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(1500);
