//! Messages between boxes, as MessagePack over HTTP.

use serde::{Deserialize, Serialize};
use wingspur_state::{BoxId, BundleVersion, DataCentreId, EvidenceReport, Verdict};

use crate::{OperationId, OperationOutcome, SignedBundle};

/// The version of the peer messages; a box refuses messages of any other version.
pub const PEER_PROTOCOL_VERSION: u16 = 1;

/// A message with the fields that every message carries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// The protocol's version.
    pub protocol: u16,
    /// The sender's fleet; a message of another fleet is refused.
    pub fleet: String,
    /// The sender.
    pub from: BoxId,
    /// A random number that identifies the sender's current process, new at each start.
    pub incarnation: u64,
    /// A number that grows with each message of this incarnation; a replayed message is
    /// refused.
    pub sequence: u64,
    /// The message.
    pub message: PeerMessage,
}

/// A request from one box to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Shows that the sender is alive, and which heartbeat it last received.
    Heartbeat(Heartbeat),
    /// Announces the version of the sender's active bundle; a box that lacks it may fetch
    /// it.
    Newer(BundleVersion),
    /// Asks for bundle parts that the sender lacks, by their digests.
    FetchParts(Vec<String>),
    /// Asks for the active bundle.
    FetchBundle,
    /// The sender's observations of servers, for the outlier detector of each service.
    Evidence(Vec<EvidenceReport>),
    /// Verdicts of an outlier detector that have changed.
    Verdicts(Vec<Verdict>),
    /// Asks the owner of a once-only shard for permission to run an operation.
    Claim(ClaimRequest),
    /// Reports to the shard's owner how an operation ended.
    Outcome(OutcomeReport),
    /// Asks for the status of the receiving box.
    Status,
}

/// A request for permission to run one operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The operation.
    pub operation: OperationId,
    /// A random number of this claim, which identifies repeats of the same message.
    pub nonce: u64,
    /// How long the operation may remain without an outcome, in milliseconds.
    pub deadline_ms: u32,
}

/// Reports how an operation ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeReport {
    /// The operation.
    pub operation: OperationId,
    /// The nonce of the claim.
    pub nonce: u64,
    /// How it ended.
    pub outcome: OperationOutcome,
}

/// A message that shows that its sender is alive.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The version of the sender's active bundle; 0 for none.
    pub bundle_version: BundleVersion,
    /// The last sequence number that the sender received from the receiver; 0 for none.
    pub heard_sequence: u64,
    /// Whether the sender is stopping.
    pub leaving: bool,
    /// The boxes that are suspected to be down.
    pub suspicions: Vec<Suspicion>,
}

/// A suspicion that a box is down.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// The suspected box.
    pub suspect: BoxId,
    /// The box that monitors the suspect and receives nothing from it.
    pub observer: BoxId,
    /// How much longer the suspicion is valid, in milliseconds.
    pub ttl_ms: u32,
}

/// An accepted bundle, represented by its signed manifest.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BundleOffer {
    /// The signed manifest.
    pub signed: SignedBundle,
}

/// The reply of a box to a [`PeerMessage`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The message was accepted; there is nothing to return.
    Done,
    /// The reply to a heartbeat, which shows that the replying box is alive as well.
    Heartbeat(Heartbeat),
    /// The active bundle; `None` if the box has none.
    Bundle(Option<BundleOffer>),
    /// Bundle parts by digest; parts that the box does not have are left out.
    Parts(Vec<(String, serde_bytes::ByteBuf)>),
    /// The outlier detector's verdicts for the data centre of the sender.
    Verdicts(Vec<Verdict>),
    /// The reply to a claim: whether the operation may run.
    Claim(ClaimReply),
    /// The status of the box.
    Status(BoxStatus),
    /// The message was refused; the text gives the reason, for logs.
    Refused(String),
}

/// The shard owner's reply to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The claim is recorded: only the requesting box may run the operation, once.
    Granted,
    /// The operation is running.
    InProgress,
    /// The operation has run.
    AlreadyRun,
    /// The operation may have run.
    OutcomeUnknown,
    /// The operation's key is older than the retention period.
    TooOld,
    /// The claim is not recorded, and the operation will not run by this claim.
    Unavailable,
}

/// The status that a box reports of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxStatus {
    /// The box.
    pub id: BoxId,
    /// The data centre that the box is in.
    pub data_centre: DataCentreId,
    /// The version of the active bundle; 0 for none.
    pub bundle_version: BundleVersion,
    /// How long this bundle has been active, in milliseconds.
    pub in_force_ms: u64,
    /// Whether the box accepts requests of callers.
    pub ready: bool,
    /// Servers to which the box sends no requests, as `service/server`.
    pub out: Vec<String>,
    /// Services whose servers the box cannot reach.
    #[serde(default)]
    pub unreachable: Vec<String>,
}

/// The reasons why a peer's message is refused.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The bytes are not a message of this protocol.
    #[error("the message cannot be read: {0}")]
    Unreadable(#[from] rmp_serde::decode::Error),
    /// The message has another version of the protocol.
    #[error("protocol version {0}, this box speaks {PEER_PROTOCOL_VERSION}")]
    WrongVersion(u16),
    /// The message is from another fleet.
    #[error("a message of fleet `{0}`")]
    WrongFleet(String),
}

/// Encodes a message or a reply as MessagePack.
pub fn encode_peer<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec(value).expect("peer messages always serialise")
}

/// Decodes an envelope and checks its version and fleet.
pub fn decode_peer(bytes: &[u8], fleet: &str) -> Result<PeerEnvelope, PeerError> {
    let envelope: PeerEnvelope = rmp_serde::from_slice(bytes)?;
    if envelope.protocol != PEER_PROTOCOL_VERSION {
        return Err(PeerError::WrongVersion(envelope.protocol));
    }
    if envelope.fleet != fleet {
        return Err(PeerError::WrongFleet(envelope.fleet));
    }
    Ok(envelope)
}
