//! Records in the platform's key-value service.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use wingspur_state::{
    Bundle, BundleVersion, CallerLimits, ClientAccount, HostRoute, Service,
};

/// The one key whose move is the acceptance of a bundle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundlePointer {
    /// The accepted version.
    pub version: BundleVersion,
    /// The digest of the accepted manifest.
    pub manifest: String,
    /// Who signed it.
    pub signer: String,
}

/// The manifest of a bundle: everything but the services, which are parts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The version, which the signature covers.
    pub version: BundleVersion,
    /// The fleet, so that a bundle of another fleet is not taken.
    pub fleet: String,
    /// The request header that names the caller's account.
    pub account_header: String,
    /// The services, in order.
    pub parts: Vec<PartReference>,
    /// Routes by host and path prefix.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub host_routes: Vec<HostRoute>,
    /// What callers may send.
    #[serde(default)]
    pub caller_limits: CallerLimits,
    /// The client accounts; none where callers need no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub client_accounts: Option<Vec<Arc<ClientAccount>>>,
}

/// A part by name and content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartReference {
    /// The service's name.
    pub service: String,
    /// The SHA-256 of the part's bytes, in hexadecimal.
    pub digest: String,
}

/// A manifest as it was signed, byte for byte.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignedBundle {
    /// The manifest's JSON; the signature covers these bytes.
    pub manifest: String,
    /// The person who signed, by the name in the keyring.
    pub signer: String,
    /// The Ed25519 signature, in base64.
    pub signature: String,
}

impl Manifest {
    /// Splits a bundle into its manifest and its parts' bytes.
    pub fn split(bundle: &Bundle) -> Result<(Self, Vec<Vec<u8>>), serde_json::Error> {
        let mut parts = Vec::with_capacity(bundle.services.len());
        let mut references = Vec::with_capacity(bundle.services.len());
        for service in &bundle.services {
            let bytes = serde_json::to_vec(service)?;
            let digest = sha256_hex(&bytes);
            references.push(PartReference {
                service: service.name.clone(),
                digest,
            });
            parts.push(bytes);
        }
        let manifest = Self {
            version: bundle.version,
            fleet: bundle.fleet.clone(),
            account_header: bundle.account_header.clone(),
            parts: references,
            host_routes: bundle.host_routes.clone(),
            caller_limits: bundle.caller_limits,
            client_accounts: bundle.client_accounts.clone(),
        };
        Ok((manifest, parts))
    }

    /// Puts the bundle together again from its services.
    pub fn join(&self, services: Vec<Service>) -> Bundle {
        Bundle {
            version: self.version,
            fleet: self.fleet.clone(),
            account_header: self.account_header.clone(),
            services,
            host_routes: self.host_routes.clone(),
            caller_limits: self.caller_limits,
            client_accounts: self.client_accounts.clone(),
        }
    }
}

/// The keys under which a fleet's records stand.
#[derive(Debug, Clone)]
pub struct StoreKeys {
    prefix: String,
}

impl StoreKeys {
    /// The keys of one fleet.
    pub fn new(fleet: &str) -> Self {
        Self {
            prefix: format!("wingspur/{fleet}"),
        }
    }

    /// The key of the bundle pointer.
    pub fn pointer(&self) -> String {
        format!("{}/pointer", self.prefix)
    }

    /// The key of a signed manifest.
    pub fn manifest(&self, digest: &str) -> String {
        format!("{}/manifest/{digest}", self.prefix)
    }

    /// The key of one piece of a part; pieces keep each value under the limit.
    pub fn part_piece(&self, digest: &str, piece: usize) -> String {
        format!("{}/part/{digest}/{piece:04}", self.prefix)
    }

    /// The prefix of all pieces of a part.
    pub fn part(&self, digest: &str) -> String {
        format!("{}/part/{digest}/", self.prefix)
    }

    /// The key of a service's agreed ejections.
    pub fn ejections(&self, service: &str) -> String {
        format!("{}/ejections/{service}", self.prefix)
    }

    /// The key that says who owns a once-only shard.
    pub fn log_owner(&self, shard: u32) -> String {
        format!("{}/once-owner/{shard:04}", self.prefix)
    }

    /// The prefix of a once-only shard's log.
    pub fn log(&self, shard: u32) -> String {
        format!("{}/once/{shard:04}/", self.prefix)
    }

    /// The key of one segment of a once-only shard's log.
    pub fn log_segment(&self, shard: u32, segment: u64) -> String {
        format!("{}/once/{shard:04}/{segment:016}", self.prefix)
    }
}

/// The SHA-256 of some bytes, in hexadecimal.
pub fn sha256_hex(bytes: &[u8]) -> String {
    Sha256::digest(bytes)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
