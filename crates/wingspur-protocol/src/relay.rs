//! Messages by which a box that cannot reach the servers of a service has requests
//! forwarded by another box.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use wingspur_state::{BoxId, BundleVersion, KeyDigest, ServerKey};

use crate::BoxRecord;

/// The version of the messages in this module. A box does not relay for another version.
pub const RELAY_PROTOCOL_VERSION: u16 = 1;

/// Name of the header that carries a [`RelayedRequest`].
pub const RELAY_HEADER: &str = "wingspur-relay";

/// Name of the header that carries a [`RelayResult`].
pub const RELAY_RESULT_HEADER: &str = "wingspur-relay-result";

/// Path of a [`ReachabilityQuery`] on the peer port.
pub const REACHABILITY_PATH: &str = "/reachability";

/// What the relay must know of a request beside the request itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayedRequest {
    /// The protocol's version.
    pub protocol: u16,
    /// The sender's fleet; a relay only forwards for boxes of its own.
    pub fleet: String,
    /// The box that received the request from the caller.
    pub from: BoxId,
    /// The version of the sender's active bundle. A relay with an older one declines.
    pub bundle_version: BundleVersion,
    /// The name of the service that the sender has chosen for the request.
    pub service: String,
    /// The number of servers to which the request was sent already.
    pub attempts_made: u8,
    /// The digest of the caller's key; `None` if the caller gave none or the bundle has
    /// no accounts.
    pub key: Option<KeyDigest>,
}

/// What became of a relayed request; sent with every response to one.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RelayResult {
    /// Whether the response is meant for the caller. Otherwise the request was sent to no
    /// server and never will be, so that another relay may have it.
    pub is_taken: bool,
    /// The relay's load, see [`ReachabilityReply::load`].
    pub load: f32,
}

/// Asks a box which services it reaches.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReachabilityQuery {
    /// The protocol's version.
    pub protocol: u16,
    /// The sender's fleet.
    pub fleet: String,
    /// The services, by the keys of their names.
    pub services: Vec<ServerKey>,
}

/// The reply to a [`ReachabilityQuery`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReachabilityReply {
    /// Those of the services that the box reaches and relays requests to.
    pub reachable: Vec<ServerKey>,
    /// The fraction of the box's capacity for relayed requests that is in use.
    pub load: f32,
    /// Some other boxes that may be asked, since not every box is announced in the store.
    pub others: Vec<BoxRecord>,
}

/// Why a relay message cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub enum RelayError {
    /// The header value is not base64.
    #[error("the header value is not base64: {0}")]
    Encoding(#[from] base64::DecodeError),
    /// The bytes are not a message of this protocol.
    #[error("the relay message cannot be read: {0}")]
    Unreadable(#[from] rmp_serde::decode::Error),
}

/// Encodes a relay message as a header value.
pub fn encode_relay_header<T: Serialize>(message: &T) -> String {
    STANDARD_NO_PAD.encode(encode_relay_body(message))
}

/// Decodes a relay message from a header value.
pub fn decode_relay_header<T: DeserializeOwned>(value: &[u8]) -> Result<T, RelayError> {
    decode_relay_body(&STANDARD_NO_PAD.decode(value)?)
}

/// Encodes a relay message as a body.
pub fn encode_relay_body<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec(message).expect("relay messages are serializable")
}

/// Decodes a relay message from a body.
pub fn decode_relay_body<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RelayError> {
    Ok(rmp_serde::from_slice(bytes)?)
}
