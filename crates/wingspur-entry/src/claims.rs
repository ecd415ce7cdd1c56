//! Claims of once-only operations: requests them from the owner of the shard, and reports
//! to it how the operation ended.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_lite::FutureExt;
use wingspur_protocol::{
    ClaimReply, ClaimRequest, OperationId, OperationOutcome, OutcomeReport, PeerMessage,
    PeerReply, ResultCode,
};

use crate::entry_state::EntryState;
use crate::shards::CLAIM_TIMEOUT;

/// Requests a claim to run an operation from the owner of its shard, and returns the
/// claim's nonce. Fails with the result code for the caller if the claim is not granted.
pub async fn claim(
    shared: &Arc<EntryState>,
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
    let reply = request_claim(shared, request);
    let expired = async {
        wingspur_clock::sleep(CLAIM_TIMEOUT.min(remaining)).await;
        ClaimReply::Unavailable
    };
    match reply.or(expired).await {
        ClaimReply::Granted => Ok(nonce),
        ClaimReply::InProgress => Err(ResultCode::InProgress),
        ClaimReply::AlreadyRun => Err(ResultCode::AlreadyRun),
        ClaimReply::OutcomeUnknown => Err(ResultCode::OutcomeUnknown),
        ClaimReply::TooOld => Err(ResultCode::KeyTooOld),
        ClaimReply::Unavailable => {
            // The owner may have recorded the claim nevertheless. The request is never
            // sent, so the owner is informed that the operation did not run.
            let outcome = OperationOutcome::NotRun;
            let report = OutcomeReport {
                operation,
                nonce,
                outcome,
            };
            shared
                .spawner
                .detach(deliver_outcome(shared.clone(), report));
            Err(ResultCode::ClaimUnavailable)
        }
    }
}

async fn request_claim(shared: &Arc<EntryState>, request: ClaimRequest) -> ClaimReply {
    let shard = request.operation.shard(shared.shards.count());
    let owner = owner(shared, shard);
    let Some(peer) = shared.peer(&owner) else {
        return shared.shards.claim(request).await;
    };
    match shared
        .request_peer(&peer, PeerMessage::Claim(request), CLAIM_TIMEOUT)
        .await
    {
        Some(PeerReply::Claim(reply)) => reply,
        _ => ClaimReply::Unavailable,
    }
}

/// Reports the outcome of an operation to the shard's owner, with retries, and counts it
/// as undelivered meanwhile.
async fn deliver_outcome(shared: Arc<EntryState>, report: OutcomeReport) {
    shared.undelivered_outcomes.fetch_add(1, Ordering::AcqRel);
    deliver_with_retries(&shared, &report).await;
    shared.undelivered_outcomes.fetch_sub(1, Ordering::AcqRel);
}

/// Waits until the outcomes of all operations are delivered and written, but no longer
/// than `timeout`.
pub async fn flush_outcomes(shared: &EntryState, timeout: Duration) {
    let end = wingspur_clock::now() + timeout;
    let is_pending = || {
        shared.undelivered_outcomes.load(Ordering::Acquire) > 0
            || shared.shards.has_pending()
    };
    while is_pending() && wingspur_clock::now() < end {
        wingspur_clock::sleep(OUTCOME_POLL_INTERVAL).await;
    }
}

async fn deliver_with_retries(shared: &Arc<EntryState>, report: &OutcomeReport) {
    for pause in OUTCOME_RETRY_PAUSES {
        let owner = owner(shared, report.operation.shard(shared.shards.count()));
        let accepted = match shared.peer(&owner) {
            None => shared.shards.record_outcome(report),
            Some(peer) => {
                let message = PeerMessage::Outcome(report.clone());
                let reply = shared.request_peer(&peer, message, OUTCOME_TIMEOUT).await;
                matches!(reply, Some(PeerReply::Done))
            }
        };
        if accepted {
            return;
        }
        wingspur_clock::sleep(pause).await;
    }
    let outcome = match report.outcome {
        OperationOutcome::Ran => "ran",
        OperationOutcome::NotRun => "not_run",
        OperationOutcome::Unknown => "unknown",
    };
    shared
        .metrics
        .unrecorded_outcomes
        .with_label_values(&[outcome])
        .inc();
    tracing::debug!("claims: no owner has accepted the outcome `{outcome}`.");
}

fn owner(shared: &EntryState, shard: u32) -> wingspur_state::BoxId {
    let live = shared.live_boxes();
    let owner = live.owner(&format!("once/{shard}"));
    owner.unwrap_or(&shared.settings.box_id).clone()
}

/// A granted claim; when dropped without an outcome, it records the outcome as unknown.
#[derive(Debug)]
pub struct ClaimGuard {
    shared: Arc<EntryState>,
    operation: OperationId,
    nonce: u64,
    is_recorded: bool,
}

impl ClaimGuard {
    /// Creates the guard of a granted claim.
    pub fn new(shared: Arc<EntryState>, operation: OperationId, nonce: u64) -> Self {
        Self {
            shared,
            operation,
            nonce,
            is_recorded: false,
        }
    }

    /// Records how the operation ended; only the first call has an effect.
    pub fn record_outcome(&mut self, outcome: OperationOutcome) {
        if std::mem::replace(&mut self.is_recorded, true) {
            return;
        }
        let report = OutcomeReport {
            operation: self.operation,
            nonce: self.nonce,
            outcome,
        };
        let delivery = deliver_outcome(self.shared.clone(), report);
        self.shared.spawner.detach(delivery);
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        self.record_outcome(OperationOutcome::Unknown);
    }
}

const OUTCOME_POLL_INTERVAL: Duration = Duration::from_millis(5);
const OUTCOME_TIMEOUT: Duration = Duration::from_millis(500);
const OUTCOME_RETRY_PAUSES: [Duration; 4] = [
    Duration::from_millis(200),
    Duration::from_millis(800),
    Duration::from_secs(2),
    Duration::from_secs(5),
];
