//! Once-only claims: asking the shard's owner, and telling it how it ended.

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

/// Asks the owner for leave to run an operation; gives the claim's nonce.
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
    let asking = ask_owner(shared, request);
    let expired = async {
        wingspur_clock::sleep(CLAIM_TIMEOUT.min(remaining)).await;
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
            let note = OutcomeReport {
                operation,
                nonce,
                outcome,
            };
            shared.spawner.detach(tell_outcome(shared.clone(), note));
            Err(ResultCode::ClaimUnavailable)
        }
    }
}

async fn ask_owner(shared: &Arc<EntryState>, request: ClaimRequest) -> ClaimReply {
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

/// Tells the owner how an operation ended, a few times if need be.
async fn tell_outcome(shared: Arc<EntryState>, note: OutcomeReport) {
    shared.undelivered_outcomes.fetch_add(1, Ordering::AcqRel);
    tell_until_taken(&shared, &note).await;
    shared.undelivered_outcomes.fetch_sub(1, Ordering::AcqRel);
}

/// Waits until the ends of all operations are told and written, at most so long.
pub async fn flush_outcomes(shared: &EntryState, patience: Duration) {
    let end = wingspur_clock::now() + patience;
    let open = || {
        shared.undelivered_outcomes.load(Ordering::Acquire) > 0
            || shared.shards.has_pending()
    };
    while open() && wingspur_clock::now() < end {
        wingspur_clock::sleep(SETTLE_POLL).await;
    }
}

async fn tell_until_taken(shared: &Arc<EntryState>, note: &OutcomeReport) {
    for pause in OUTCOME_PAUSES {
        let owner = owner(shared, note.operation.shard(shared.shards.count()));
        let taken = match shared.peer(&owner) {
            None => shared.shards.record_outcome(note),
            Some(peer) => {
                let message = PeerMessage::Outcome(note.clone());
                let reply = shared.request_peer(&peer, message, PEER_PATIENCE).await;
                matches!(reply, Some(PeerReply::Done))
            }
        };
        if taken {
            return;
        }
        wingspur_clock::sleep(pause).await;
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

fn owner(shared: &EntryState, shard: u32) -> wingspur_state::BoxId {
    let live = shared.live_boxes();
    let owner = live.owner(&format!("once/{shard}"));
    owner.unwrap_or(&shared.settings.box_id).clone()
}

/// A granted claim; dropping it without an end records it as unknown.
#[derive(Debug)]
pub struct ClaimGuard {
    shared: Arc<EntryState>,
    operation: OperationId,
    nonce: u64,
    told: bool,
}

impl ClaimGuard {
    /// Guards a granted claim.
    pub fn new(shared: Arc<EntryState>, operation: OperationId, nonce: u64) -> Self {
        Self {
            shared,
            operation,
            nonce,
            told: false,
        }
    }

    /// Records how the operation ended.
    pub fn record_outcome(&mut self, outcome: OperationOutcome) {
        if std::mem::replace(&mut self.told, true) {
            return;
        }
        let note = OutcomeReport {
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
        self.record_outcome(OperationOutcome::Unknown);
    }
}

const SETTLE_POLL: Duration = Duration::from_millis(5);
const PEER_PATIENCE: Duration = Duration::from_millis(500);
const OUTCOME_PAUSES: [Duration; 4] = [
    Duration::from_millis(200),
    Duration::from_millis(800),
    Duration::from_secs(2),
    Duration::from_secs(5),
];
