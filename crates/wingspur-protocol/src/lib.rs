//! Messages between boxes, records in the store, header names and result codes.

mod box_list;
mod catalog;
mod catalog_change;
mod compact_servers;
mod headers;
mod link;
mod load_report;
mod operation;
mod peer;
mod refusal;
mod relay;
mod result_code;
mod server_hints;
mod server_limit;
mod signing;
mod store;

pub use box_list::{BoxList, BoxState, ListedBox, ListedServer};
pub use catalog::{CatalogChanges, CatalogSnapshot};
pub use catalog_change::{BoxRecord, CatalogChange, QuarantineRecord};
pub use headers::{HeaderNames, LoadFormat};
pub use link::{
    CatalogFreshness, CatalogSnapshotUpdate, CatalogUpdate, DelegatedShare, EncodedFrame,
    FleetStatus, Frame, FrameContent, FrameError, Hello, HelloError,
    LINK_PROTOCOL_VERSION, LeaseMessages, LeasedResource, LinkRole, LinkTimestamps,
    MembershipUpdate, QuotaLeaseReply, QuotaLeaseRequest, ResendBudgetUsage,
    ServerDrainingUpdate, ServerLimitUpdate, TallyUpdate, decode_next_frame,
    encode_frame,
};
pub use load_report::parse_load_hint;
pub use operation::{LogEntry, LogSegment, OperationId, OperationOutcome};
pub use peer::{
    BoxStatus, BundleOffer, ClaimReply, ClaimRequest, Heartbeat, OutcomeReport,
    PEER_PROTOCOL_VERSION, PeerEnvelope, PeerError, PeerMessage, PeerReply, Suspicion,
    decode_peer, encode_peer,
};
pub use refusal::RefusalBody;
pub use relay::{
    REACHABILITY_PATH, RELAY_HEADER, RELAY_PROTOCOL_VERSION, RELAY_RESULT_HEADER,
    ReachabilityQuery, ReachabilityReply, RelayError, RelayResult, RelayedRequest,
    decode_relay_body, decode_relay_header, encode_relay_body, encode_relay_header,
};
pub use result_code::{ExecutionState, RESULT_HEADER, ResultCode};
pub use server_hints::{
    InvalidBackoff, InvalidDraining, ServerHints, parse_backoff, parse_draining,
};
pub use server_limit::{InvalidServerLimit, parse_server_limit};
pub use signing::{Keyring, SigningError, sign_bundle, verify_bundle};
pub use store::{
    BundlePointer, Manifest, PartReference, SignedBundle, StoreKeys, sha256_hex,
};
