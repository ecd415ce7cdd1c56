//! Coordination between the boxes of a fleet, as state machines without I/O.

mod announcement;
mod box_registry;
mod catalog_freshness;
mod catalog_queue;
mod delegation;
mod fleet_connectivity;
mod fleet_size;
mod fleet_view;
mod key_set;
mod link_clock;
mod link_plan;
mod membership;
mod quarantine_registry;
mod quota_leases;
mod recent_changes;
mod relay_directory;
mod rendezvous;
mod rollup;
mod shard_log;
mod snapshot_frames;
mod update_pacer;

pub use announcement::{
    AnnouncementInputs, AnnouncementStep, announcement_step, lists_catalog_at_start,
    waits_for_hub_snapshot,
};
pub use box_registry::BoxRegistry;
pub use catalog_freshness::{CatalogFreshnessTracker, EraChange, MIN_OUTAGE};
pub use catalog_queue::CatalogQueue;
pub use delegation::{DELEGATION_TTL, ShareDelegation};
pub use fleet_connectivity::{FleetConnectivity, required_contact_time};
pub use fleet_size::FleetSizeTracker;
pub use fleet_view::{
    AnnouncementView, FleetView, LinkPeer, OutgoingFleetNotes, PeerRole,
};
pub use link_clock::LinkClock;
pub use link_plan::{LinkPlanner, PlannedLink};
pub use membership::{Membership, MembershipSettings, MessageRejection, PeerView};
pub use quarantine_registry::{
    MAX_TRIALS, QuarantineRegistry, RecordOutcome, TRIAL_TIMEOUT, TrialDecision,
    TrialRecord,
};
pub use quota_leases::{
    DataCentreQuota, FindQuota, PendingGrant, QueueView, Quota, QuotaAllocator,
    QuotaLeaseManager, QuotaMessage, QuotaMessages, QuotaTopology, ReserveShare,
};
pub use recent_changes::RecentChanges;
pub use relay_directory::{RelayDirectory, relay_capacity};
pub use rendezvous::{RendezvousSet, hash_of};
pub use rollup::{LinkId, LinkKind, OWN_LINK, Rollup, SourceUpdate, TallyUpdateReader};
pub use shard_log::{
    ClaimResult, ClaimTicket, LogCommand, SegmentWrite, ShardLog, ShardLogSettings,
};
pub use snapshot_frames::{PendingSnapshot, SnapshotFrameCache};
pub use update_pacer::UpdatePacer;
