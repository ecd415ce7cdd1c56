//! Typed messages between boxes, store records and result codes.

mod answer;
mod box_list;
mod catalog;
mod codes;
mod compact_servers;
mod headers;
mod link;
mod load_report;
mod operation;
mod peer;
mod server_hints;
mod server_limit;
mod signing;
mod store;

pub use answer::{RefusalBody, RunState};
pub use box_list::{BoxList, BoxState, ListedBox, ListedServer};
pub use catalog::{
    BoxRecord, CatalogChange, CatalogChanges, CatalogListing, QuarantineRecord,
};
pub use codes::ResultCode;
pub use headers::{HeaderNames, LoadForm};
pub use link::{
    CatalogUpdate, CensusNote, Digest, EncodedFrame, FeedState, FleetNote, Frame,
    FrameContent, FrameError, Hello, LINK_PROTOCOL_VERSION, LeavingNote, LeftPart,
    Lendable, Lending, LimitNote, LinkRole, ListingUpdate, LoanAnswer, LoanRequest,
    ResendRoom, Stamps, encode_frame, take_frame,
};
pub use load_report::parse_load_hint;
pub use operation::{LogEntry, LogSegment, OperationId, OperationOutcome};
pub use peer::{
    BoxStatus, BundleOffer, ClaimReply, ClaimRequest, Heartbeat, OutcomeNote,
    PEER_PROTOCOL_VERSION, PeerEnvelope, PeerError, PeerMessage, PeerReply, Suspicion,
    decode_peer, encode_peer,
};
pub use server_hints::{
    ServerHints, UnreadableBackoff, UnreadableLeaving, parse_backoff, parse_leaving,
};
pub use server_limit::{UnreadableLimit, parse_server_limit};
pub use signing::{Keyring, SigningError, sign_bundle, verify_bundle};
pub use store::{
    BundlePointer, Manifest, PartReference, SignedBundle, StoreKeys, digest_of,
};
