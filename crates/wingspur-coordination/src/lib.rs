//! What the boxes of a fleet do together, as state machines without I/O.

mod announcement;
mod catalog_queue;
mod delegation;
mod feed_view;
mod fleet_census;
mod fleet_contact;
mod fleet_count;
mod fleet_view;
mod key_set;
mod lending_desk;
mod link_clock;
mod link_plan;
mod listing_frames;
mod membership;
mod placement;
mod quarantine_desk;
mod recent_changes;
mod rollup;
mod shard_log;
mod update_pacer;

pub use announcement::{
    AnnouncementInputs, AnnouncementStep, announcement_step, lists_at_start,
    waits_for_hub_listing,
};
pub use catalog_queue::CatalogQueue;
pub use delegation::{DELEGATED_FOR, Delegation};
pub use feed_view::{EraChange, FeedView};
pub use fleet_census::FleetCensus;
pub use fleet_contact::{FleetContact, join_after};
pub use fleet_count::FleetCount;
pub use fleet_view::{Announced, FleetView, LinkPeer, LinkWith, ToldOfFleet};
pub use lending_desk::{
    Allowance, FindAllowance, HeldBy, LendingDesk, LendingMessage, LendingMessages,
    PlaceStanding, Reserve, Standing, Told,
};
pub use link_clock::LinkClock;
pub use link_plan::{LinkPlanner, PlannedLink};
pub use listing_frames::{ListingFrames, PendingListing};
pub use membership::{HeardRefusal, Membership, MembershipSettings, PeerView};
pub use placement::{Roster, hash_of};
pub use quarantine_desk::{
    CountOutcome, DeskStep, MOST_TRIES, QuarantineCount, QuarantineDesk, TRY_LASTS,
};
pub use recent_changes::RecentChanges;
pub use rollup::{LinkId, LinkKind, OWN_LINK, Rollup, SourceUpdate, UpdateReader};
pub use shard_log::{
    ClaimTicket, ClaimVerdict, LogCommand, SegmentWrite, ShardLog, ShardLogSettings,
};
pub use update_pacer::UpdatePacer;
