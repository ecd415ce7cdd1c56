//! Messages between boxes, as MessagePack over HTTP.

use serde::{Deserialize, Serialize};
use wingspur_state::{BoxId, BundleVersion, DataCentreId, EvidenceReport, Verdict};

use crate::{OperationId, OperationOutcome, SignedBundle};

/// The version of the messages; boxes refuse any other.
pub const PEER_PROTOCOL_VERSION: u16 = 1;

/// A message with what every message carries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// The protocol's version.
    pub protocol: u16,
    /// The fleet, so that fleets do not mix.
    pub fleet: String,
    /// The sender.
    pub from: BoxId,
    /// Drawn anew at each start of the sender.
    pub incarnation: u64,
    /// Grows with each message of this incarnation; a replayed one is refused.
    pub sequence: u64,
    /// The message itself.
    pub message: PeerMessage,
}

/// What a box tells another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender lives, and what it last heard.
    Heartbeat(Heartbeat),
    /// The sender has this version in force: whoever lacks it may fetch it.
    Newer(BundleVersion),
    /// Asks for parts that the sender lacks.
    FetchParts(Vec<String>),
    /// Asks for the bundle in force.
    FetchBundle,
    /// What the sender saw, for the judge of each service.
    Evidence(Vec<EvidenceReport>),
    /// A judge's changed verdicts.
    Verdicts(Vec<Verdict>),
    /// Asks the owner of a once-only shard for leave to run operations.
    Claim(ClaimRequest),
    /// Tells the owner how an operation ended.
    Outcome(OutcomeReport),
    /// Asks for the box's state.
    Status,
}

/// Asks for leave to run one operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The operation.
    pub operation: OperationId,
    /// Drawn for this claim, so that a repeat of the message is told apart.
    pub nonce: u64,
    /// For how long the operation may stay without an outcome, in milliseconds.
    pub deadline_ms: u32,
}

/// How an operation ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeReport {
    /// The operation.
    pub operation: OperationId,
    /// The nonce of the claim.
    pub nonce: u64,
    /// How it ended.
    pub outcome: OperationOutcome,
}

/// A sign of life.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The bundle in force at the sender; 0 for none.
    pub bundle_version: BundleVersion,
    /// The sequence that the sender last heard from the receiver; 0 for none.
    pub heard_sequence: u64,
    /// Whether the sender is stopping.
    pub leaving: bool,
    /// Who is suspected to be down.
    pub suspicions: Vec<Suspicion>,
}

/// A suspicion that a box is down.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// The suspected box.
    pub suspect: BoxId,
    /// Who watches it and hears nothing.
    pub observer: BoxId,
    /// For how long the suspicion still holds, in milliseconds.
    pub ttl_ms: u32,
}

/// An accepted bundle, by its signed manifest.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BundleOffer {
    /// The signed manifest.
    pub signed: SignedBundle,
}

/// What a box answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Taken.
    Done,
    /// The answer to a heartbeat, itself a sign of life.
    Heartbeat(Heartbeat),
    /// The bundle in force, if any.
    Bundle(Option<BundleOffer>),
    /// Parts by digest; those not held are left out.
    Parts(Vec<(String, serde_bytes::ByteBuf)>),
    /// The judge's verdicts for the sender's data centre.
    Verdicts(Vec<Verdict>),
    /// Whether an operation may run.
    Claim(ClaimReply),
    /// The box's state.
    Status(BoxStatus),
    /// Not taken; the text is for logs.
    Refused(String),
}

/// The owner's answer to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// It is recorded: the asker, and nobody else, may run it once.
    Granted,
    /// It is running.
    InProgress,
    /// It ran.
    AlreadyRun,
    /// It may have run.
    OutcomeUnknown,
    /// The key is older than what is kept.
    TooOld,
    /// It is not recorded and will not run by this claim.
    Unavailable,
}

/// What a box says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxStatus {
    /// The box.
    pub id: BoxId,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// The bundle in force; 0 for none.
    pub bundle_version: BundleVersion,
    /// For how long it has been in force.
    pub in_force_ms: u64,
    /// Whether it takes callers.
    pub ready: bool,
    /// Servers that it gives no work, as `service/server`.
    pub out: Vec<String>,
}

/// Why a peer's message was refused.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The bytes are no message of this protocol.
    #[error("the message cannot be read: {0}")]
    Unreadable(#[from] rmp_serde::decode::Error),
    /// Another version of the protocol.
    #[error("protocol version {0}, this box speaks {PEER_PROTOCOL_VERSION}")]
    WrongVersion(u16),
    /// Another fleet.
    #[error("a message of fleet `{0}`")]
    WrongFleet(String),
}

/// Writes a message or reply.
pub fn encode_peer<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec(value).expect("peer messages always serialise")
}

/// Reads an envelope and checks its version and fleet.
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
