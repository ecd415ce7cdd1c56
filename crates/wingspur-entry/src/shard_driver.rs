//! Drives the logs of once-only shards: carries out their commands on the store.

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
    let handle = shared.shards.shard(shard);
    while !stop.is_triggered() {
        let pending = handle.state.lock().log.has_pending();
        let due = async {
            // With records to write, polls for the end of the commit interval; otherwise
            // waits for a wake-up only.
            match pending {
                true => wingspur_clock::sleep(PENDING_POLL_INTERVAL).await,
                false => futures_lite::future::pending().await,
            };
        };
        handle.wait_for_work().or(due).await;
        while run_next_command(&shared, handle, shard).await {}
    }
}

/// Carries out one command of the log; returns `false` when there is none.
async fn run_next_command(
    shared: &Arc<EntryState>,
    handle: &ShardHandle,
    shard: u32,
) -> bool {
    let unix_ms = unix_time().as_millis() as u64;
    let (command, expired) = {
        let mut state = handle.state.lock();
        let now = wingspur_clock::now();
        let expired = state.log.expire(now);
        let command = state.log.next_command(now, unix_ms);
        (command, expired)
    };
    handle.resolve_claims(expired);
    let Some(command) = command else { return false };
    let results = match command {
        LogCommand::TakeOwnership => take_ownership(shared, handle, shard).await,
        LogCommand::Load => load(shared, handle, shard, unix_ms).await,
        LogCommand::Write(write) => put_segment(shared, handle, shard, write).await,
        LogCommand::Delete(from, to) => {
            shared.count_store_call("log_delete");
            let keys = &shared.keys;
            let (from, to) = (keys.log_segment(shard, from), keys.log_segment(shard, to));
            if let Err(error) = shared.store.delete_range(&from, &to).await {
                tracing::warn!("claims: old segments were not deleted: {error}.");
            }
            Vec::new()
        }
    };
    handle.resolve_claims(results);
    true
}

async fn take_ownership(
    shared: &EntryState,
    handle: &ShardHandle,
    shard: u32,
) -> Vec<ClaimResult> {
    let key = shared.keys.log_owner(shard);
    // A new random value for each call tells its writes apart from a delayed write of an
    // earlier call.
    let value = format!("{}/{:016x}", shared.settings.box_id, rand::random::<u64>());
    for _ in 0..OWNERSHIP_TRIES {
        shared.count_store_call("owner_read");
        let Ok(current) = shared.store.get(&key).await else {
            break;
        };
        let revision = current.as_ref().map_or(0, |pair| pair.mod_revision);
        if current.is_some_and(|pair| pair.value == value.as_bytes()) {
            tracing::info!("claims: this box owns shard {shard}.");
            handle.state.lock().log.ownership_acquired(revision);
            return Vec::new();
        }
        shared.count_store_call("owner_write");
        // Whatever the reply, the next read returns the owner and the revision.
        let _ = shared.store.put_if(&key, value.as_bytes(), revision).await;
    }
    tracing::warn!("claims: ownership of shard {shard} was not acquired.");
    let results = handle.state.lock().log.open_failed();
    wingspur_clock::sleep(OWNERSHIP_RETRY_PAUSE).await;
    results
}

async fn load(
    shared: &EntryState,
    handle: &ShardHandle,
    shard: u32,
    unix_ms: u64,
) -> Vec<ClaimResult> {
    shared.count_store_call("log_read");
    let prefix = shared.keys.log(shard);
    let pairs = match shared.store.get_prefix(&prefix).await {
        Ok(found) => found.pairs,
        Err(error) => {
            tracing::warn!("claims: the log of shard {shard} cannot be read: {error}.");
            return handle.state.lock().log.open_failed();
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
                "claims: `{}` is unreadable; shard {shard} stays closed.",
                pair.key
            );
            return handle.state.lock().log.open_failed();
        };
        segments.push((number, segment));
    }
    handle.state.lock().log.loaded(segments, unix_ms);
    Vec::new()
}

async fn put_segment(
    shared: &EntryState,
    handle: &ShardHandle,
    shard: u32,
    write: SegmentWrite,
) -> Vec<ClaimResult> {
    shared.count_store_call("log_write");
    let owner = shared.keys.log_owner(shard);
    let key = shared.keys.log_segment(shard, write.number);
    let value = rmp_serde::to_vec(&write.segment).expect("a segment serialises");
    let guard = (owner.as_str(), write.owner_revision);
    match shared.store.put_if_guarded(&key, &value, guard).await {
        Ok(WriteOutcome::Written) => {
            handle.state.lock().log.written(wingspur_clock::now())
        }
        Ok(WriteOutcome::Refused(Some(current))) if current.value == value => {
            // The stored segment is this one: the reply to an earlier write was lost.
            handle.state.lock().log.written(wingspur_clock::now())
        }
        Ok(WriteOutcome::Refused(_)) => {
            tracing::info!("claims: shard {shard} has another owner now.");
            handle.state.lock().log.ownership_lost()
        }
        Err(StoreError::TooLarge(bytes)) => {
            tracing::error!(
                "claims: a segment of {bytes} bytes is too large; shard {shard} closes."
            );
            handle.state.lock().log.ownership_lost()
        }
        Err(error) => {
            tracing::debug!(
                "claims: a write to shard {shard} has an unknown result: {error}."
            );
            handle.state.lock().log.write_timed_out();
            wingspur_clock::sleep(WRITE_RETRY_PAUSE).await;
            Vec::new()
        }
    }
}

const PENDING_POLL_INTERVAL: Duration = Duration::from_millis(2);
const OWNERSHIP_TRIES: usize = 4;
const OWNERSHIP_RETRY_PAUSE: Duration = Duration::from_millis(500);
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(100);
