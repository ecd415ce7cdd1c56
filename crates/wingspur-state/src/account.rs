//! Client accounts: who a key belongs to, and how much an account may ask for.

use std::collections::HashMap;
use std::fmt::{self, Debug, Formatter};
use std::sync::Arc;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};

use crate::{QuotaKey, server_key};

/// A client account as the bundle declares it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// The name, unique in the bundle; backend servers are told it.
    pub name: String,
    /// The SHA-256 digests of its keys.
    pub keys_sha256: Vec<KeyDigest>,
    /// The rank of its requests, before that of their routes; 0 goes first.
    #[serde(default)]
    pub priority: u8,
    /// Requests a second that all boxes together let through; 0 for no limit.
    #[serde(default)]
    pub requests_per_s: f64,
    /// Requests that may come on top of that at once.
    #[serde(default)]
    pub burst: f64,
}

/// The SHA-256 digest of a key: what boxes keep and compare, so that no key can be read
/// from a bundle, a log line or a frame, and how long a comparison takes tells nothing of it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest([u8; KEY_DIGEST_BYTES]);

/// Finds the account of a key.
#[derive(Debug, Default)]
pub struct AccountTable {
    by_key: HashMap<KeyDigest, Arc<ClientAccount>>,
    by_allowance: HashMap<QuotaKey, Arc<ClientAccount>>,
}

impl ClientAccount {
    /// Whether there is a limit to what it may ask for.
    pub fn is_limited(&self) -> bool {
        self.requests_per_s > 0.0
    }

    /// The name of its allowance among boxes.
    pub fn allowance(&self) -> QuotaKey {
        server_key(&format!("account/{}", self.name))
    }
}

impl AccountTable {
    /// A table of some accounts.
    pub fn new(accounts: &[Arc<ClientAccount>]) -> Self {
        let rows = accounts.iter().flat_map(|account| {
            let keys = account.keys_sha256.iter();
            keys.map(move |key| (*key, account.clone()))
        });
        let named = accounts.iter();
        let named = named.map(|account| (account.allowance(), account.clone()));
        Self {
            by_key: rows.collect(),
            by_allowance: named.collect(),
        }
    }

    /// The account that a key belongs to.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<ClientAccount>> {
        self.by_key.get(key)
    }

    /// The account that an allowance is of.
    pub fn of_allowance(&self, key: QuotaKey) -> Option<&Arc<ClientAccount>> {
        self.by_allowance.get(&key)
    }
}

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl Debug for KeyDigest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        // Enough to tell two apart.
        write!(f, "KeyDigest({})", &hex::encode(self.0)[..8])
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match serializer.is_human_readable() {
            true => serializer.serialize_str(&hex::encode(self.0)),
            false => serde_bytes::Bytes::new(&self.0).serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            let bytes = serde_bytes::ByteArray::deserialize(deserializer)?;
            return Ok(Self(bytes.into_array()));
        }
        let text = String::deserialize(deserializer)?;
        let mut digest = [0; KEY_DIGEST_BYTES];
        hex::decode_to_slice(&text, &mut digest).map_err(|_| {
            D::Error::custom("a key's SHA-256 digest has 64 hexadecimal digits")
        })?;
        Ok(Self(digest))
    }
}

const KEY_DIGEST_BYTES: usize = 32;
