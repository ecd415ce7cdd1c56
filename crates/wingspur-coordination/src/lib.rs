//! What the boxes of a fleet do together, as state machines without I/O.

mod membership;
mod placement;
mod shard_log;

pub use membership::{HeardRefusal, Membership, MembershipSettings, PeerView};
pub use placement::{Roster, hash_of};
pub use shard_log::{
    ClaimTicket, ClaimVerdict, LogCommand, SegmentWrite, ShardLog, ShardLogSettings,
};
