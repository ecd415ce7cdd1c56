//! Once-only claims: asking the shard's owner, and being it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use wingspur_coordination::{
    ClaimTicket, ClaimVerdict, LogCommand, SegmentWrite, ShardLog, ShardLogSettings,
};
use wingspur_protocol::{
    ClaimReply, ClaimRequest, LogSegment, OperationId, OperationOutcome, OutcomeNote,
    PeerMessage, PeerReply, ResultCode,
};
use wingspur_transport::{StopSignal, StoreError, WriteOutcome};

use crate::Settings;
use crate::locks::{Rank, Ranked};
use crate::shared::{Shared, unix_time};

/// The once-only shards of a fleet, each with a log that is open where it is owned.
#[derive(Debug)]
pub struct Shards {
    seats: Vec<ShardSeat>,
}

#[derive(Debug)]
struct ShardSeat {
    state: Ranked<SeatState>,
    wake: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

#[derive(Debug)]
struct SeatState {
    log: ShardLog,
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
            let state = SeatState {
                log: ShardLog::new(writer, log_settings),
                waiting: HashMap::new(),
                next_ticket: 1,
            };
            let state = Ranked::new(Rank::Shards, state);
            ShardSeat {
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

    /// Shards that this box owns as of its last writes, and operations remembered.
    pub fn owned(&self) -> (usize, usize) {
        let mut totals = (0, 0);
        for seat in &self.seats {
            let state = seat.state.lock();
            totals.0 += usize::from(state.log.is_open());
            totals.1 += state.log.len();
        }
        totals
    }

    /// Answers a claim, here or from a peer, as the shard's owner.
    pub async fn claim(&self, request: ClaimRequest) -> ClaimReply {
        let seat = &self.seats[request.operation.shard(self.count()) as usize];
        let (sender, receiver) = async_channel::bounded(1);
        let now = Instant::now();
        {
            let mut state = seat.state.lock();
            let ticket = state.next_ticket;
            state.next_ticket += 1;
            let expires = now + CLAIM_PATIENCE;
            if let Some(reply) = state.log.claim(request, ticket, expires, now) {
                return reply;
            }
            state.waiting.insert(ticket, sender);
        }
        seat.wake();
        receiver.recv().await.unwrap_or(ClaimReply::Unavailable)
    }

    /// Takes in how an operation ended; false when this box does not own the shard.
    pub fn outcome(&self, note: &OutcomeNote) -> bool {
        let seat = &self.seats[note.operation.shard(self.count()) as usize];
        {
            let mut state = seat.state.lock();
            if !state.log.is_open() {
                return false;
            }
            state.log.outcome(note);
        }
        seat.wake();
        true
    }
}

impl ShardSeat {
    fn wake(&self) {
        // A wake that is pending already will do.
        let _ = self.wake.0.try_send(());
    }

    fn answer(&self, verdicts: Vec<ClaimVerdict>) {
        let mut state = self.state.lock();
        for verdict in verdicts {
            if let Some(sender) = state.waiting.remove(&verdict.ticket) {
                // An asker that went away is told nothing.
                let _ = sender.try_send(verdict.reply);
            }
        }
    }
}

/// Asks the owner for leave to run an operation; gives the claim's nonce.
pub async fn claim(
    shared: &Arc<Shared>,
    operation: OperationId,
    remaining: Duration,
) -> Result<u64, ResultCode> {
    let nonce = rand::random();
    let deadline_ms = remaining.as_millis().min(u128::from(u32::MAX)) as u32;
    let request = ClaimRequest {
        operation,
        nonce,
        deadline_ms,
    };
    let asking = ask_owner(shared, request);
    let expired = async {
        smol::Timer::after(CLAIM_PATIENCE.min(remaining)).await;
        ClaimReply::Unavailable
    };
    match asking.or(expired).await {
        ClaimReply::Granted => Ok(nonce),
        ClaimReply::InProgress => Err(ResultCode::InProgress),
        ClaimReply::AlreadyRun => Err(ResultCode::AlreadyRun),
        ClaimReply::OutcomeUnknown => Err(ResultCode::OutcomeUnknown),
        ClaimReply::TooOld => Err(ResultCode::KeyTooOld),
        ClaimReply::Unavailable => {
            // The claim may be recorded even so; it will never be sent.
            let outcome = OperationOutcome::NotRun;
            let note = OutcomeNote {
                operation,
                nonce,
                outcome,
            };
            shared.spawner.detach(tell_outcome(shared.clone(), note));
            Err(ResultCode::ClaimUnavailable)
        }
    }
}

async fn ask_owner(shared: &Arc<Shared>, request: ClaimRequest) -> ClaimReply {
    let shard = request.operation.shard(shared.shards.count());
    let owner = owner(shared, shard);
    let Some(peer) = shared.peer(&owner) else {
        return shared.shards.claim(request).await;
    };
    match shared
        .ask(&peer, PeerMessage::Claim(request), CLAIM_PATIENCE)
        .await
    {
        Some(PeerReply::Claim(reply)) => reply,
        _ => ClaimReply::Unavailable,
    }
}

/// Tells the owner how an operation ended, a few times if need be.
async fn tell_outcome(shared: Arc<Shared>, note: OutcomeNote) {
    for pause in OUTCOME_PAUSES {
        let owner = owner(&shared, note.operation.shard(shared.shards.count()));
        let taken = match shared.peer(&owner) {
            None => shared.shards.outcome(&note),
            Some(peer) => {
                let message = PeerMessage::Outcome(note.clone());
                let reply = shared.ask(&peer, message, PEER_PATIENCE).await;
                matches!(reply, Some(PeerReply::Done))
            }
        };
        if taken {
            return;
        }
        smol::Timer::after(pause).await;
    }
    let outcome = match note.outcome {
        OperationOutcome::Ran => "ran",
        OperationOutcome::NotRun => "not_run",
        OperationOutcome::Unknown => "unknown",
    };
    shared
        .metrics
        .unrecorded_outcomes
        .with_label_values(&[outcome])
        .inc();
    tracing::debug!("claims: an outcome stays unrecorded: {outcome}.");
}

fn owner(shared: &Shared, shard: u32) -> wingspur_state::BoxId {
    let live = shared.live();
    let owner = live.holder(&format!("once/{shard}"));
    owner.unwrap_or(&shared.settings.box_id).clone()
}

/// A granted claim; dropping it without an end records it as unknown.
#[derive(Debug)]
pub struct ClaimGuard {
    shared: Arc<Shared>,
    operation: OperationId,
    nonce: u64,
    told: bool,
}

impl ClaimGuard {
    /// Guards a granted claim.
    pub fn new(shared: Arc<Shared>, operation: OperationId, nonce: u64) -> Self {
        Self {
            shared,
            operation,
            nonce,
            told: false,
        }
    }

    /// Records how the operation ended.
    pub fn close(&mut self, outcome: OperationOutcome) {
        if std::mem::replace(&mut self.told, true) {
            return;
        }
        let note = OutcomeNote {
            operation: self.operation,
            nonce: self.nonce,
            outcome,
        };
        let telling = tell_outcome(self.shared.clone(), note);
        self.shared.spawner.detach(telling);
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        self.close(OperationOutcome::Unknown);
    }
}

/// Drives the log of one shard until the box stops.
pub async fn drive_shard(shared: Arc<Shared>, shard: u32, stop: StopSignal) {
    let seat = &shared.shards.seats[shard as usize];
    while !stop.is_given() {
        let woken = async {
            // The channel stays open as long as the shards do.
            let _ = seat.wake.1.recv().await;
        };
        let pending = seat.state.lock().log.has_pending();
        let due = async {
            // A write is due when the commit interval is over; else only a wake counts.
            match pending {
                true => smol::Timer::after(BUSY_TICK).await,
                false => futures_lite::future::pending().await,
            };
        };
        woken.or(due).await;
        while run_one(&shared, seat, shard).await {}
    }
}

/// Carries out one command of the log; false when there is nothing to do.
async fn run_one(shared: &Arc<Shared>, seat: &ShardSeat, shard: u32) -> bool {
    let unix_ms = unix_time().as_millis() as u64;
    let (command, expired) = {
        let mut state = seat.state.lock();
        let now = Instant::now();
        let expired = state.log.expire(now);
        let command = state.log.next_command(now, unix_ms);
        (command, expired)
    };
    seat.answer(expired);
    let Some(command) = command else { return false };
    let verdicts = match command {
        LogCommand::TakeOwnership => take_ownership(shared, seat, shard).await,
        LogCommand::Load => load(shared, seat, shard, unix_ms).await,
        LogCommand::Write(write) => put_segment(shared, seat, shard, write).await,
        LogCommand::Delete(from, to) => {
            shared.count_store_call("log_delete");
            let keys = &shared.keys;
            let (from, to) = (keys.log_segment(shard, from), keys.log_segment(shard, to));
            if let Err(error) = shared.store.delete_range(&from, &to).await {
                tracing::warn!("claims: old segments stay: {error}.");
            }
            Vec::new()
        }
    };
    seat.answer(verdicts);
    true
}

async fn take_ownership(
    shared: &Shared,
    seat: &ShardSeat,
    shard: u32,
) -> Vec<ClaimVerdict> {
    let key = shared.keys.log_owner(shard);
    // A fresh value for each try, so that one's own late write is told apart.
    let value = format!("{}/{:016x}", shared.settings.box_id, rand::random::<u64>());
    for _ in 0..OWNERSHIP_TRIES {
        shared.count_store_call("owner_read");
        let Ok(present) = shared.store.get(&key).await else {
            break;
        };
        let revision = present.as_ref().map_or(0, |pair| pair.mod_revision);
        if present.is_some_and(|pair| pair.value == value.as_bytes()) {
            tracing::info!("claims: owner of shard {shard}.");
            seat.state.lock().log.took(revision);
            return Vec::new();
        }
        shared.count_store_call("owner_write");
        // Whatever the answer, the next read tells who is owner, and as of when.
        let _ = shared.store.put_if(&key, value.as_bytes(), revision).await;
    }
    tracing::warn!("claims: shard {shard} cannot be owned now.");
    let verdicts = seat.state.lock().log.failed();
    smol::Timer::after(OWNERSHIP_PAUSE).await;
    verdicts
}

async fn load(
    shared: &Shared,
    seat: &ShardSeat,
    shard: u32,
    unix_ms: u64,
) -> Vec<ClaimVerdict> {
    shared.count_store_call("log_read");
    let prefix = shared.keys.log(shard);
    let pairs = match shared.store.get_prefix(&prefix).await {
        Ok(found) => found.pairs,
        Err(error) => {
            tracing::warn!("claims: the log of shard {shard} cannot be read: {error}.");
            return seat.state.lock().log.failed();
        }
    };
    let mut segments = Vec::with_capacity(pairs.len());
    for pair in pairs {
        let number = pair
            .key
            .strip_prefix(&prefix)
            .and_then(|text| text.parse().ok());
        let segment = rmp_serde::from_slice::<LogSegment>(&pair.value).ok();
        let (Some(number), Some(segment)) = (number, segment) else {
            tracing::error!(
                "claims: `{}` is unreadable; shard {shard} stays shut.",
                pair.key
            );
            return seat.state.lock().log.failed();
        };
        segments.push((number, segment));
    }
    seat.state.lock().log.loaded(segments, unix_ms);
    Vec::new()
}

async fn put_segment(
    shared: &Shared,
    seat: &ShardSeat,
    shard: u32,
    write: SegmentWrite,
) -> Vec<ClaimVerdict> {
    shared.count_store_call("log_write");
    let owner = shared.keys.log_owner(shard);
    let key = shared.keys.log_segment(shard, write.number);
    let value = rmp_serde::to_vec(&write.segment).expect("a segment serialises");
    let guard = (owner.as_str(), write.owner_revision);
    match shared.store.put_if_guarded(&key, &value, guard).await {
        Ok(WriteOutcome::Written) => seat.state.lock().log.written(Instant::now()),
        Ok(WriteOutcome::Refused(Some(present))) if present.value == value => {
            // Our own: the reply to an earlier try was lost.
            seat.state.lock().log.written(Instant::now())
        }
        Ok(WriteOutcome::Refused(_)) => {
            tracing::info!("claims: shard {shard} has another owner now.");
            seat.state.lock().log.deposed()
        }
        Err(StoreError::TooLarge(bytes)) => {
            tracing::error!("claims: a segment of {bytes} bytes; shard {shard} is shut.");
            seat.state.lock().log.deposed()
        }
        Err(error) => {
            tracing::debug!("claims: a write to shard {shard} is in doubt: {error}.");
            seat.state.lock().log.unanswered();
            smol::Timer::after(UNANSWERED_PAUSE).await;
            Vec::new()
        }
    }
}

/// A claim that is not recorded by then is refused.
const CLAIM_PATIENCE: Duration = Duration::from_millis(1500);
const PEER_PATIENCE: Duration = Duration::from_millis(500);
const OUTCOME_PAUSES: [Duration; 4] = [
    Duration::from_millis(200),
    Duration::from_millis(800),
    Duration::from_secs(2),
    Duration::from_secs(5),
];
const BUSY_TICK: Duration = Duration::from_millis(2);
const OWNERSHIP_TRIES: usize = 4;
const OWNERSHIP_PAUSE: Duration = Duration::from_millis(500);
const UNANSWERED_PAUSE: Duration = Duration::from_millis(100);
