//! What two boxes tell each other on a long exchange, frame by frame.

use std::sync::Arc;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use wingspur_state::{
    BoxId, BoxKey, BundleVersion, DataCentreId, HealthSnapshot, KeyedTally, QuotaKey,
    RequestFingerprint, ServerId, ServerKey, ServerRecord, ServiceTally, SourceId,
    StoreEra, StorePosition, SuspectMessage,
};

use crate::{BoxRecord, CatalogChanges, CatalogSnapshot, compact_servers};

/// The version of the frames; boxes refuse any other.
pub const LINK_PROTOCOL_VERSION: u16 = 11;

/// The first frame of either side.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// The protocol's version.
    pub protocol: u16,
    /// The fleet, so that fleets do not mix.
    pub fleet: String,
    /// Who speaks.
    pub from: BoxRecord,
    /// What the speaker wants of the other.
    pub role: LinkRole,
    /// Up to where the speaker knows the store's history.
    pub position: StorePosition,
    /// The version of the bundle that is in force at the speaker; 0 for none.
    pub bundle_version: BundleVersion,
}

/// What the opener of a link is to the other side.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkRole {
    /// A box that reports to the other as the hub of its data centre.
    Member,
    /// A hub like the other.
    Hub,
}

/// Any later frame.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// When it was sent, and what its sender had by then.
    pub timestamps: LinkTimestamps,
    /// The version of the bundle that is in force at the sender; 0 for none. A listing for
    /// it leaves out a bundle that it has.
    pub bundle_version: BundleVersion,
    /// What the sender, and at a hub its members, have seen; changes only.
    pub tally_updates: Vec<TallyUpdate>,
    /// What is news of the catalog, oldest first.
    pub catalog: Vec<CatalogUpdate>,
    /// How the sender stands with the store.
    pub catalog_freshness: CatalogFreshness,
    /// What the sender knows of the fleet.
    pub fleet: FleetStatus,
    /// Whom the sender counts, from one hub to another.
    pub membership: MembershipUpdate,
    /// Whether the sender lacks changes and wants a listing.
    pub wants_snapshot: bool,
    /// Whether the sender is stopping: it should not be taken for a hub any more.
    pub leaving: bool,
    /// What the sender makes of backend servers; told once, when a link is new.
    pub health: Vec<(ServerKey, HealthSnapshot)>,
    /// How the retry budgets stand at the sender, and at a hub over its members as well.
    #[serde(default)]
    pub resend_budgets: Vec<ResendBudgetUsage>,
    /// What is lent and asked for.
    #[serde(default)]
    pub lease_messages: LeaseMessages,
    /// What was seen of requests under which servers ended.
    #[serde(default)]
    pub suspects: Vec<SuspectMessage>,
    /// Limits of servers that have changed.
    #[serde(default)]
    pub limits: Vec<ServerLimitUpdate>,
    /// Servers that have said that they leave.
    #[serde(default)]
    pub draining_servers: Vec<ServerDrainingUpdate>,
    /// From one hub to another, the parts that are left to it.
    #[serde(default)]
    pub delegated_shares: Vec<DelegatedShare>,
    /// What stands here.
    #[serde(default)]
    pub content: FrameContent,
}

/// What a frame holds. Frames with one part only go out beside the others, and the other
/// side does not answer them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum FrameContent {
    /// All parts.
    #[default]
    All,
    /// What is lent and asked for.
    #[serde(rename = "Lending")]
    LeaseMessages,
    /// A listing of the catalog.
    #[serde(rename = "Listing")]
    Snapshot,
}

/// What boxes lend each other of the fleet's allowances.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseMessages {
    /// What the sender asks for.
    pub requests: Vec<QuotaLeaseRequest>,
    /// What it answers.
    pub replies: Vec<QuotaLeaseReply>,
}

/// A box asks for a part of an allowance.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct QuotaLeaseRequest {
    /// Numbers the sender's requests.
    pub request_id: u32,
    /// Of what.
    pub resource: LeasedResource,
    /// What it holds in stock.
    pub held: f64,
    /// What is spent at once, or never.
    pub on_demand_count: u32,
    /// The share of the lender's room that is left to more urgent requests.
    #[serde(default)]
    pub reserve: f32,
    /// What it would like in stock on top.
    pub wanted: f64,
}

/// What boxes lend each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeasedResource {
    /// Requests of a client account.
    Account(QuotaKey),
    /// Requests to a server that has named a limit.
    Server(ServerKey),
    /// A resend to a service, by the key of its name.
    Resend(ServerKey),
    /// A second attempt beside a silent one, which leaves a part to surer resends.
    Hedge(ServerKey),
    /// That a request in quarantine may be sent to one server.
    Permit(RequestFingerprint),
}

/// How a service's retry budget stands at a box, or over the boxes of a hub.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ResendBudgetUsage {
    /// The service, by the key of its name.
    pub service: ServerKey,
    /// Resends in the window that has least room.
    pub spent: f32,
    /// Those that are allowed there.
    pub limit: f32,
}

/// What a server takes from all boxes together, as its newest answer said.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ServerLimitUpdate {
    /// The server.
    pub server: ServerKey,
    /// Requests a second; none for no limit.
    pub per_s: Option<f64>,
    /// How long ago the answer came, in milliseconds.
    pub age_ms: u32,
}

/// That a server has said that it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerDrainingUpdate {
    /// The server.
    pub server: ServerKey,
    /// How long ago a box first heard so, in milliseconds.
    pub age_ms: u32,
}

/// A hub leaves to another its part, with those of its members, of what the servers of one
/// data centre take.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DelegatedShare {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// The part of the whole.
    pub share: f64,
}

/// What came of a request for a part of an allowance.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct QuotaLeaseReply {
    /// The request's number.
    pub request_id: u32,
    /// Of what.
    pub resource: LeasedResource,
    /// What is lent of what is urgent.
    pub on_demand_granted: u32,
    /// What is lent for the stock.
    pub prefetch_granted: f64,
    /// Whether what was held in stock lasts anew.
    pub renewed: bool,
    /// When there should be more, in milliseconds; none where the lender cannot tell, since
    /// it knows no such allowance or has no part of any.
    pub retry_after_ms: Option<u32>,
}

impl QuotaLeaseReply {
    /// That nothing is lent.
    pub fn denied(request: &QuotaLeaseRequest) -> Self {
        Self {
            request_id: request.request_id,
            resource: request.resource,
            on_demand_granted: 0,
            prefetch_granted: 0.0,
            renewed: false,
            retry_after_ms: None,
        }
    }
}

/// What a box tells another of the fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// From a hub to a member the boxes of the fleet; else 0.
    pub boxes: u32,
    /// From a hub to another, the boxes that it counts in all data centres; else 0.
    pub counted: u32,
    /// How long ago the sender, a hub, last was in touch with the hubs of all data centres,
    /// in milliseconds; none if it never was, or is no hub.
    pub hub_contact_age_ms: Option<u32>,
    /// From a member, whether it leaves its part of the fleet's allowances to the hub.
    #[serde(default)]
    pub delegates_shares: bool,
}

/// Whom a hub counts, as far as another hub has not been told yet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipUpdate {
    /// Whether those that have joined are all.
    pub is_full: bool,
    /// Boxes that it counts: itself, and its members.
    pub joined: Vec<BoxKey>,
    /// Boxes that it does not count any more.
    pub left: Vec<BoxKey>,
}

/// When a frame was sent, by its sender's clock on the link, which begins with it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkTimestamps {
    /// When this frame was sent, in milliseconds.
    pub sent_ms: u32,
    /// When the newest frame was sent that the sender has of the other side, by the other
    /// side's clock; none before it has any.
    pub heard_ms: Option<u32>,
}

/// Tallies that have changed, as told by one source.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TallyUpdate {
    /// Who told them.
    pub source: SourceId,
    /// Whether these are all tallies of the source, not changes only.
    pub is_full: bool,
    /// Of backend servers.
    pub servers: Vec<KeyedTally>,
    /// Of services, by the key of the name.
    pub services: Vec<(u64, ServiceTally)>,
}

/// News of the catalog.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CatalogUpdate {
    /// All there is; shared, since a hub owes the same listing to many boxes at once.
    #[serde(rename = "Listing")]
    Snapshot(Arc<CatalogSnapshotUpdate>),
    /// What has changed.
    Changes {
        /// The changes.
        changes: CatalogChanges,
        /// For how long servers that vanish in it may only seem gone, in milliseconds.
        doubtful_ms: u32,
    },
}

/// All that a box knows of the catalog.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CatalogSnapshotUpdate {
    /// What the store holds.
    pub snapshot: CatalogSnapshot,
    /// For how long servers that it lacks may only seem gone, in milliseconds.
    pub doubtful_ms: u32,
    /// Servers that it lacks and that may only seem gone.
    #[serde(with = "compact_servers::records")]
    pub missing: Vec<ServerRecord>,
    /// Listed servers that were gone before the store was restored, and may be still.
    pub returned: Vec<ServerId>,
}

impl CatalogUpdate {
    /// Adds changes that follow on these; false where they do not.
    pub fn append(&mut self, other: &Self) -> bool {
        let (
            Self::Changes {
                changes,
                doubtful_ms,
            },
            Self::Changes {
                changes: next,
                doubtful_ms: next_doubtful_ms,
            },
        ) = (self, other)
        else {
            return false;
        };
        if next.after != changes.position {
            return false;
        }
        changes.position = next.position;
        changes.changes.extend(next.changes.iter().cloned());
        *doubtful_ms = (*doubtful_ms).max(*next_doubtful_ms);
        true
    }
}

/// How fresh a box's view of the catalog is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogFreshness {
    /// The box that reads the store for it; none when nobody does.
    pub reader: Option<BoxId>,
    /// How long ago that box last had an answer of the store, in milliseconds.
    pub age_ms: u32,
    /// Whether the sender itself tries to read, and has no answer.
    pub is_read_failing: bool,
    /// Up to where the sender knows the store's history; the age is that of this knowledge.
    pub position: StorePosition,
    /// The newest era of the store that the sender has seen; it may know nothing of it yet.
    pub era: StoreEra,
}

/// Why a frame cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The bytes are no frame of this protocol.
    #[error("the frame cannot be read: {0}")]
    Unreadable(#[from] rmp_serde::decode::Error),
    /// It is longer than any frame should be.
    #[error("a frame of {0} bytes is over the limit")]
    TooLong(usize),
}

/// A frame as it is sent; cheap to copy.
#[derive(Debug, Clone)]
pub struct EncodedFrame(Bytes);

impl EncodedFrame {
    /// Encodes a frame.
    pub fn new<T: Serialize>(frame: &T) -> Self {
        Self(Bytes::from(encode_frame(frame)))
    }

    /// The frame with its length before it.
    pub fn bytes(&self) -> &Bytes {
        &self.0
    }
}

/// Writes a frame with its length before it.
pub fn encode_frame<T: Serialize>(frame: &T) -> Vec<u8> {
    let mut bytes = vec![0; LENGTH_BYTES];
    rmp_serde::encode::write(&mut bytes, frame).expect("frames always serialise");
    let length = (bytes.len() - LENGTH_BYTES) as u32;
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    bytes
}

/// Takes the first whole frame off the bytes; none while it is not all in.
pub fn decode_next_frame<T: DeserializeOwned>(
    bytes: &mut Vec<u8>,
) -> Result<Option<T>, FrameError> {
    let Some(head) = bytes.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*head) as usize;
    if length > MOST_FRAME_BYTES {
        return Err(FrameError::TooLong(length));
    }
    let end = LENGTH_BYTES + length;
    if bytes.len() < end {
        return Ok(None);
    }
    let frame = rmp_serde::from_slice(&bytes[LENGTH_BYTES..end])?;
    bytes.drain(..end);
    Ok(Some(frame))
}

const LENGTH_BYTES: usize = 4;
/// A listing of the largest fleet that is planned for stays well below.
const MOST_FRAME_BYTES: usize = 64 << 20;
