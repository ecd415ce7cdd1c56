//! Records and keys in the key-value store.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use wingspur_state::{
    Bundle, BundleVersion, CallerLimits, ClientAccount, HostRoute, Service,
};

/// The value of the pointer key; a bundle is accepted by writing this key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundlePointer {
    /// The accepted version.
    pub version: BundleVersion,
    /// The SHA-256 digest of the accepted manifest, in hexadecimal.
    pub manifest: String,
    /// The person who signed the manifest, by the name in the keyring.
    pub signer: String,
}

/// The manifest of a bundle: everything except the services, which are stored as parts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The version of the bundle; the signature covers it.
    pub version: BundleVersion,
    /// The fleet of the bundle; boxes do not accept a bundle of another fleet.
    pub fleet: String,
    /// The request header that names the caller's account.
    pub account_header: String,
    /// The parts of the bundle, one for each service, in order.
    pub parts: Vec<PartReference>,
    /// Routes by host and path prefix.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub host_routes: Vec<HostRoute>,
    /// The limits for requests of callers.
    #[serde(default)]
    pub caller_limits: CallerLimits,
    /// The client accounts; `None` where callers need no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub client_accounts: Option<Vec<Arc<ClientAccount>>>,
}

/// A reference to a part, by the service's name and the part's digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartReference {
    /// The service's name.
    pub service: String,
    /// The SHA-256 of the part's bytes, in hexadecimal.
    pub digest: String,
}

/// A manifest with its signature.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignedBundle {
    /// The manifest's JSON. The signature covers exactly these bytes.
    pub manifest: String,
    /// The person who signed, by the name in the keyring.
    pub signer: String,
    /// The Ed25519 signature, in base64.
    pub signature: String,
}

impl Manifest {
    /// Splits a bundle into its manifest and the bytes of its parts.
    ///
    /// Fails if a service cannot be serialised.
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

    /// Reassembles the bundle from the manifest and its services.
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

/// The store keys of a fleet's records.
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

    /// Returns the key of the bundle pointer.
    pub fn pointer(&self) -> String {
        format!("{}/pointer", self.prefix)
    }

    /// Returns the key of a signed manifest.
    pub fn manifest(&self, digest: &str) -> String {
        format!("{}/manifest/{digest}", self.prefix)
    }

    /// Returns the key of one piece of a part. Parts are stored in pieces so that each
    /// value stays below the store's size limit.
    pub fn part_piece(&self, digest: &str, piece: usize) -> String {
        format!("{}/part/{digest}/{piece:04}", self.prefix)
    }

    /// Returns the common key prefix of all pieces of a part.
    pub fn part(&self, digest: &str) -> String {
        format!("{}/part/{digest}/", self.prefix)
    }

    /// Returns the key of a service's agreed ejections.
    pub fn ejections(&self, service: &str) -> String {
        format!("{}/ejections/{service}", self.prefix)
    }

    /// Returns the key that holds the owner of a once-only shard.
    pub fn log_owner(&self, shard: u32) -> String {
        format!("{}/once-owner/{shard:04}", self.prefix)
    }

    /// Returns the common key prefix of all segments of a once-only shard's log.
    pub fn log(&self, shard: u32) -> String {
        format!("{}/once/{shard:04}/", self.prefix)
    }

    /// Returns the key of one segment of a once-only shard's log.
    pub fn log_segment(&self, shard: u32, segment: u64) -> String {
        format!("{}/once/{shard:04}/{segment:016}", self.prefix)
    }
}

/// Returns the SHA-256 of some bytes, in lower-case hexadecimal.
pub fn sha256_hex(bytes: &[u8]) -> String {
    Sha256::digest(bytes)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
