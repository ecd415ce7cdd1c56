//! A signed bundle as a file.

use serde::{Deserialize, Serialize};
use wingspur_protocol::SignedBundle;
use wingspur_state::Service;

/// A signed bundle as a file: what was signed, and the services.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignedFile {
    /// The signed manifest.
    pub signed: SignedBundle,
    /// The fleet, for the store's keys.
    pub fleet: String,
    /// The services, whose bytes the manifest names by digest.
    pub services: Vec<Service>,
}
