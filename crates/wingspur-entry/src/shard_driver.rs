//! Drives the logs of once-only shards: what they want of the store, carried out.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use wingspur_coordination::{ClaimResult, LogCommand, SegmentWrite};
use wingspur_protocol::LogSegment;
use wingspur_transport::{StopSignal, StoreError, WriteOutcome};

use crate::entry_state::{EntryState, unix_time};
use crate::shards::ShardHandle;

/// Drives the log of one shard until the box stops.
pub async fn run_shard_log(shared: Arc<EntryState>, shard: u32, stop: StopSignal) {
    let seat = shared.shards.shard(shard);
    while !stop.is_triggered() {
        let pending = seat.state.lock().log.has_pending();
        let due = async {
            // A write is due when the commit interval is over; else only a wake counts.
            match pending {
                true => wingspur_clock::sleep(BUSY_TICK).await,
                false => futures_lite::future::pending().await,
            };
        };
        seat.wait_for_work().or(due).await;
        while run_one(&shared, seat, shard).await {}
    }
}

/// Carries out one command of the log; false when there is nothing to do.
async fn run_one(shared: &Arc<EntryState>, seat: &ShardHandle, shard: u32) -> bool {
    let unix_ms = unix_time().as_millis() as u64;
    let (command, expired) = {
        let mut state = seat.state.lock();
        let now = wingspur_clock::now();
        let expired = state.log.expire(now);
        let command = state.log.next_command(now, unix_ms);
        (command, expired)
    };
    seat.resolve_claims(expired);
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
    seat.resolve_claims(verdicts);
    true
}

async fn take_ownership(
    shared: &EntryState,
    seat: &ShardHandle,
    shard: u32,
) -> Vec<ClaimResult> {
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
            seat.state.lock().log.ownership_acquired(revision);
            return Vec::new();
        }
        shared.count_store_call("owner_write");
        // Whatever the answer, the next read tells who is owner, and as of when.
        let _ = shared.store.put_if(&key, value.as_bytes(), revision).await;
    }
    tracing::warn!("claims: shard {shard} cannot be owned now.");
    let verdicts = seat.state.lock().log.open_failed();
    wingspur_clock::sleep(OWNERSHIP_PAUSE).await;
    verdicts
}

async fn load(
    shared: &EntryState,
    seat: &ShardHandle,
    shard: u32,
    unix_ms: u64,
) -> Vec<ClaimResult> {
    shared.count_store_call("log_read");
    let prefix = shared.keys.log(shard);
    let pairs = match shared.store.get_prefix(&prefix).await {
        Ok(found) => found.pairs,
        Err(error) => {
            tracing::warn!("claims: the log of shard {shard} cannot be read: {error}.");
            return seat.state.lock().log.open_failed();
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
            return seat.state.lock().log.open_failed();
        };
        segments.push((number, segment));
    }
    seat.state.lock().log.loaded(segments, unix_ms);
    Vec::new()
}

async fn put_segment(
    shared: &EntryState,
    seat: &ShardHandle,
    shard: u32,
    write: SegmentWrite,
) -> Vec<ClaimResult> {
    shared.count_store_call("log_write");
    let owner = shared.keys.log_owner(shard);
    let key = shared.keys.log_segment(shard, write.number);
    let value = rmp_serde::to_vec(&write.segment).expect("a segment serialises");
    let guard = (owner.as_str(), write.owner_revision);
    match shared.store.put_if_guarded(&key, &value, guard).await {
        Ok(WriteOutcome::Written) => seat.state.lock().log.written(wingspur_clock::now()),
        Ok(WriteOutcome::Refused(Some(present))) if present.value == value => {
            // Our own: the reply to an earlier try was lost.
            seat.state.lock().log.written(wingspur_clock::now())
        }
        Ok(WriteOutcome::Refused(_)) => {
            tracing::info!("claims: shard {shard} has another owner now.");
            seat.state.lock().log.ownership_lost()
        }
        Err(StoreError::TooLarge(bytes)) => {
            tracing::error!("claims: a segment of {bytes} bytes; shard {shard} is shut.");
            seat.state.lock().log.ownership_lost()
        }
        Err(error) => {
            tracing::debug!("claims: a write to shard {shard} is in doubt: {error}.");
            seat.state.lock().log.write_timed_out();
            wingspur_clock::sleep(UNANSWERED_PAUSE).await;
            Vec::new()
        }
    }
}

const BUSY_TICK: Duration = Duration::from_millis(2);
const OWNERSHIP_TRIES: usize = 4;
const OWNERSHIP_PAUSE: Duration = Duration::from_millis(500);
const UNANSWERED_PAUSE: Duration = Duration::from_millis(100);
