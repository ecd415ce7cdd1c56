//! What the boxes of a fleet do together, as state machines without I/O.

mod feed_view;
mod link_plan;
mod membership;
mod placement;
mod rollup;
mod shard_log;

pub use feed_view::FeedView;
pub use link_plan::{LinkPlanner, PlannedLink};
pub use membership::{HeardRefusal, Membership, MembershipSettings, PeerView};
pub use placement::{Roster, hash_of};
pub use rollup::{LinkId, LinkKind, NewsReader, OWN_LINK, Rollup, SourceNews};
pub use shard_log::{
    ClaimTicket, ClaimVerdict, LogCommand, SegmentWrite, ShardLog, ShardLogSettings,
};
