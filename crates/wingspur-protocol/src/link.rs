//! The frames that two boxes send each other over a long-lived link.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use wingspur_state::{
    BoxId, BoxKey, BoxPosition, BundleVersion, DataCentreId, HealthSnapshot, KeyedTally,
    QueueReport, QuotaKey, RequestFingerprint, ServerId, ServerKey, ServerRecord,
    ServiceTally, SourceId, StoreEra, StorePosition, SuspectMessage,
};

use crate::{BoxRecord, CatalogChanges, CatalogSnapshot, compact_servers};

/// The version of the frames; a box refuses a link of any other version.
pub const LINK_PROTOCOL_VERSION: u16 = 12;

/// The first frame that each side sends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// The protocol's version.
    pub protocol: u16,
    /// The sender's fleet; links between fleets are refused.
    pub fleet: String,
    /// The sender's announcement.
    pub from: BoxRecord,
    /// The role that the sender has on this link.
    pub role: LinkRole,
    /// The position in the store's history up to which the sender knows the catalog.
    pub position: StorePosition,
    /// The version of the sender's active bundle; 0 for none.
    pub bundle_version: BundleVersion,
}

/// Why a box refuses the other side's hello.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HelloError {
    /// The other side speaks another version of the protocol.
    #[error("the other box speaks link protocol {theirs}, this one {own}")]
    OtherProtocol {
        /// The other side's version.
        theirs: u16,
        /// This box's version.
        own: u16,
    },
    /// The other side belongs to another fleet.
    #[error("the other box belongs to fleet \"{theirs}\", this one to \"{own}\"")]
    OtherFleet {
        /// The other side's fleet.
        theirs: String,
        /// This box's fleet.
        own: String,
    },
}

impl Hello {
    /// Checks that the sender speaks this protocol and belongs to `fleet`.
    pub fn check(&self, fleet: &str) -> Result<(), HelloError> {
        if self.protocol != LINK_PROTOCOL_VERSION {
            return Err(HelloError::OtherProtocol {
                theirs: self.protocol,
                own: LINK_PROTOCOL_VERSION,
            });
        }
        if self.fleet != fleet {
            return Err(HelloError::OtherFleet {
                theirs: self.fleet.clone(),
                own: fleet.to_owned(),
            });
        }
        Ok(())
    }
}

/// The role of a link's opener towards the other side.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkRole {
    /// A member, for which the other side is the hub of its data centre.
    Member,
    /// A hub, as the other side is.
    Hub,
}

/// A frame after the first one.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The send time of this frame and of the newest frame that its sender has received.
    pub timestamps: LinkTimestamps,
    /// The version of the sender's active bundle; 0 for none. A snapshot sent to it
    /// leaves out a bundle that it already has.
    pub bundle_version: BundleVersion,
    /// Changed tallies of the sender and, from a hub, of its members.
    pub tally_updates: Vec<TallyUpdate>,
    /// Updates of the catalog, oldest first.
    pub catalog: Vec<CatalogUpdate>,
    /// How fresh the sender's view of the catalog is.
    pub catalog_freshness: CatalogFreshness,
    /// The sender's view of the fleet.
    pub fleet: FleetStatus,
    /// From one hub to another, the boxes that the sender counts.
    pub membership: MembershipUpdate,
    /// Whether the sender lacks changes and wants a snapshot.
    pub wants_snapshot: bool,
    /// Whether the sender is stopping; it should no longer be used as a hub.
    pub leaving: bool,
    /// The sender's health estimates of backend servers; sent once, when a link is new.
    pub health: Vec<(ServerKey, HealthSnapshot)>,
    /// Usage of the retry budgets at the sender and, from a hub, at its members.
    #[serde(default)]
    pub resend_budgets: Vec<ResendBudgetUsage>,
    /// Requests for quota leases and replies to them.
    #[serde(default)]
    pub lease_messages: LeaseMessages,
    /// Observations of suspected requests, during which servers ended.
    #[serde(default)]
    pub suspects: Vec<SuspectMessage>,
    /// Rate limits of servers that have changed.
    #[serde(default)]
    pub limits: Vec<ServerLimitUpdate>,
    /// Servers that have announced that they are draining.
    #[serde(default)]
    pub draining_servers: Vec<ServerDrainingUpdate>,
    /// From one hub to another, the shares that the sender delegates to it.
    #[serde(default)]
    pub delegated_shares: Vec<DelegatedShare>,
    /// Which parts of the frame are filled in.
    #[serde(default)]
    pub content: FrameContent,
}

/// Which parts of a frame are filled in. A frame with a single part is sent in addition
/// to the regular frames, and the other side does not reply to it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum FrameContent {
    /// All parts of the frame.
    #[default]
    All,
    /// Only the requests for quota leases and the replies to them.
    #[serde(rename = "Lending")]
    LeaseMessages,
    /// Only a snapshot of the catalog.
    #[serde(rename = "Listing")]
    Snapshot,
}

/// Requests for leases of the fleet's quotas, and replies to them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseMessages {
    /// The requests of the sender.
    pub requests: Vec<QuotaLeaseRequest>,
    /// The sender's replies to requests of the other side.
    pub replies: Vec<QuotaLeaseReply>,
}

/// A request of a box for a lease of a quota.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct QuotaLeaseRequest {
    /// The number of the request among the sender's requests.
    pub request_id: u32,
    /// The quota to lease.
    pub resource: LeasedResource,
    /// The prefetched amount that the sender still holds.
    pub held: f64,
    /// The number of units that are used at once or not at all.
    pub on_demand_count: u32,
    /// The urgency of the on-demand lease; 0 is the most urgent. For the quota of a server
    /// it is the fraction of the allocator's room beyond one unit that is left to more
    /// urgent requests. Leases from the quota of an account only leave the units for which
    /// more urgent requests wait.
    #[serde(default)]
    pub reserve: f32,
    /// The additional amount that the sender would like to prefetch.
    pub wanted: f64,
}

/// The quotas that boxes lease to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeasedResource {
    /// Requests of a client account.
    Account(QuotaKey),
    /// Requests to a server that has announced a limit.
    Server(ServerKey),
    /// Resends to a service, by the key of the service's name.
    Resend(ServerKey),
    /// Hedges of a service: second attempts beside one without a response yet. They leave
    /// a part of the retry budget to resends that are more certain to be needed.
    Hedge(ServerKey),
    /// A permit to send a request in quarantine to one server.
    Permit(RequestFingerprint),
}

/// The usage of a service's retry budget at a box, or over a hub and its members.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ResendBudgetUsage {
    /// The service, by the key of the service's name.
    pub service: ServerKey,
    /// The resends within the time window that has the least budget left.
    pub spent: f32,
    /// The resends that are allowed within that window.
    pub limit: f32,
}

/// The rate limit of a server over all boxes, from its newest response.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ServerLimitUpdate {
    /// The server.
    pub server: ServerKey,
    /// The limit in requests per second; `None` for no limit.
    pub per_s: Option<f64>,
    /// The time since that response arrived, in milliseconds.
    pub age_ms: u32,
}

/// A notice that a server is draining.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerDrainingUpdate {
    /// The server.
    pub server: ServerKey,
    /// The time since a box first learned of it, in milliseconds.
    pub age_ms: u32,
}

/// A hub delegates to another hub its share, with its members' shares, of the server
/// limits in one data centre.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DelegatedShare {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// The delegated fraction of the fleet-wide limits.
    pub share: f64,
}

/// The reply to a request for a quota lease.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct QuotaLeaseReply {
    /// The number of the request that this replies to.
    pub request_id: u32,
    /// The quota that the reply is about.
    pub resource: LeasedResource,
    /// The number of units granted of the on-demand ones.
    pub on_demand_granted: u32,
    /// The amount granted for prefetching.
    pub prefetch_granted: f64,
    /// Whether the lease of the prefetched amount that the box held was renewed.
    pub renewed: bool,
    /// The time until more should be available, in milliseconds. `None` where the
    /// allocator cannot tell, because it does not know the quota or has no share of it.
    pub retry_after_ms: Option<u32>,
    /// The queue for the quota without the receiver's own requests, of which as many may
    /// wait as it has places. `None` if the allocator sets no limit.
    #[serde(default)]
    pub queue: Option<QueueReport>,
}

impl QuotaLeaseReply {
    /// Returns the time until more should be available, if the allocator knows it.
    pub fn more_in(&self) -> Option<Duration> {
        let more_in_ms = self.retry_after_ms?;
        Some(Duration::from_millis(more_in_ms.into()))
    }

    /// Creates a reply that grants nothing.
    pub fn denied(request: &QuotaLeaseRequest) -> Self {
        Self {
            request_id: request.request_id,
            resource: request.resource,
            on_demand_granted: 0,
            prefetch_granted: 0.0,
            renewed: false,
            retry_after_ms: None,
            queue: None,
        }
    }
}

/// The state of the fleet as one box reports it to another.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// From a hub to a member, the number of boxes in the fleet; otherwise 0.
    pub boxes: u32,
    /// From one hub to another, the number of boxes that the sender counts in all data
    /// centres; otherwise 0.
    pub counted: u32,
    /// The time since the sender, if it is a hub, was last in contact with the hubs of
    /// all data centres, in milliseconds. `None` if it never was, or is not a hub.
    pub hub_contact_age_ms: Option<u32>,
    /// From a member, whether it delegates its share of the fleet's quotas to the hub.
    #[serde(default)]
    pub delegates_shares: bool,
    /// From a member, whether other boxes have delegated shares to it that it may still
    /// use.
    #[serde(default)]
    pub holds_delegations: bool,
    /// From a hub to a member, whether the hub knows that no other box of the data centre
    /// holds a delegation.
    #[serde(default)]
    pub is_sole_delegate: bool,
    /// From a hub to a member, the member's position among the boxes of the data centre;
    /// `None` while the hub may not know all of them.
    #[serde(default)]
    pub position: Option<BoxPosition>,
}

/// The boxes that a hub counts, as far as it has not yet reported them to another hub.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipUpdate {
    /// Whether `joined` lists all boxes, not only changes.
    pub is_full: bool,
    /// The boxes that the hub counts: itself and its members.
    pub joined: Vec<BoxKey>,
    /// The boxes that the hub no longer counts.
    pub left: Vec<BoxKey>,
}

/// The timestamps of a frame, by its sender's clock of the link, which starts at 0 with
/// the link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkTimestamps {
    /// The time at which this frame was sent, in milliseconds.
    pub sent_ms: u32,
    /// The send time of the newest frame that the sender has received, in milliseconds by
    /// the other side's clock. `None` before it has received any.
    pub heard_ms: Option<u32>,
}

/// Changed tallies of one source.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TallyUpdate {
    /// The source of the tallies.
    pub source: SourceId,
    /// Whether these are all tallies of the source, not only the changed ones.
    pub is_full: bool,
    /// The tallies of backend servers.
    pub servers: Vec<KeyedTally>,
    /// The tallies of services, by the key of the service's name.
    pub services: Vec<(u64, ServiceTally)>,
}

/// An update of the catalog.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CatalogUpdate {
    /// The full catalog. It is shared, because a hub sends the same snapshot to many
    /// boxes at once.
    #[serde(rename = "Listing")]
    Snapshot(Arc<CatalogSnapshotUpdate>),
    /// The changes since a position.
    Changes {
        /// The changes.
        changes: CatalogChanges,
        /// How long a server removed by these changes may still exist, in milliseconds.
        doubtful_ms: u32,
    },
}

/// The full catalog as one box knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CatalogSnapshotUpdate {
    /// The contents of the store.
    pub snapshot: CatalogSnapshot,
    /// How long a server that the snapshot lacks may still exist, in milliseconds.
    pub doubtful_ms: u32,
    /// The servers that the snapshot lacks and that may still exist.
    #[serde(with = "compact_servers::records")]
    pub missing: Vec<ServerRecord>,
    /// Servers in the snapshot that had been removed before the store was restored, and
    /// that may no longer exist.
    pub returned: Vec<ServerId>,
}

impl CatalogUpdate {
    /// Appends changes that directly follow these. Returns false, and changes nothing,
    /// where they do not follow or either update is a snapshot.
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
    /// The box from whose reads of the store the sender's view comes; `None` when no box
    /// reads the store for it.
    pub reader: Option<BoxId>,
    /// The time since that box last received a response of the store, in milliseconds.
    pub age_ms: u32,
    /// Whether the sender itself tries to read the store and gets no response.
    pub is_read_failing: bool,
    /// The position in the store's history up to which the sender knows the catalog;
    /// `age_ms` is the age of this knowledge.
    pub position: StorePosition,
    /// The newest era of the store that the sender has seen; it may not have read
    /// anything of that era yet.
    pub era: StoreEra,
}

/// The reasons why a frame cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The bytes are not a frame of this protocol.
    #[error("the frame cannot be read: {0}")]
    Unreadable(#[from] rmp_serde::decode::Error),
    /// The frame is longer than the limit.
    #[error("a frame of {0} bytes is longer than the limit")]
    TooLong(usize),
}

/// An encoded frame, which is cheap to clone.
#[derive(Debug, Clone)]
pub struct EncodedFrame(Bytes);

impl EncodedFrame {
    /// Encodes a frame.
    pub fn new<T: Serialize>(frame: &T) -> Self {
        Self(Bytes::from(encode_frame(frame)))
    }

    /// Returns the frame's bytes, preceded by its length.
    pub fn bytes(&self) -> &Bytes {
        &self.0
    }
}

/// Encodes a frame, preceded by its length.
pub fn encode_frame<T: Serialize>(frame: &T) -> Vec<u8> {
    let mut bytes = vec![0; LENGTH_BYTES];
    rmp_serde::encode::write(&mut bytes, frame).expect("frames always serialise");
    let length = (bytes.len() - LENGTH_BYTES) as u32;
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    bytes
}

/// Decodes the first complete frame and removes it from the bytes. Returns `None` while
/// the frame is incomplete.
///
/// Fails if the frame is too long or is not valid.
pub fn decode_next_frame<T: DeserializeOwned>(
    bytes: &mut Vec<u8>,
) -> Result<Option<T>, FrameError> {
    let Some(head) = bytes.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*head) as usize;
    if length > MAX_FRAME_BYTES {
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
/// A snapshot of the largest planned fleet is much smaller.
const MAX_FRAME_BYTES: usize = 64 << 20;
