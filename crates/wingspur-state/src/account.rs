//! Client accounts: which account a key belongs to, and how many requests it may send.

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
    /// The name, unique in the bundle. It is sent to backend servers.
    pub name: String,
    /// The SHA-256 digests of its keys.
    pub keys_sha256: Vec<KeyDigest>,
    /// The priority of its requests, which is compared before that of their routes; 0
    /// goes first.
    #[serde(default)]
    pub priority: u8,
    /// Requests per second that all boxes together admit; 0 for no limit.
    #[serde(default)]
    pub requests_per_s: f64,
    /// Requests that are admitted at once on top of that rate.
    #[serde(default)]
    pub burst: f64,
}

/// The SHA-256 digest of a key. Boxes store and compare only digests, so that no key can
/// be read from a bundle, a log line or a frame, and the time that a comparison takes
/// reveals nothing about the key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest([u8; KEY_DIGEST_BYTES]);

/// Looks up client accounts by key or by quota.
#[derive(Debug, Default)]
pub struct AccountTable {
    by_key: HashMap<KeyDigest, Arc<ClientAccount>>,
    by_quota: HashMap<QuotaKey, Arc<ClientAccount>>,
}

impl ClientAccount {
    /// Returns whether the account has a rate limit.
    pub fn is_limited(&self) -> bool {
        self.requests_per_s > 0.0
    }

    /// Returns the key of its quota, which identifies it between boxes.
    pub fn quota_key(&self) -> QuotaKey {
        server_key(&format!("account/{}", self.name))
    }
}

impl AccountTable {
    /// Creates a table of the given accounts.
    pub fn new(accounts: &[Arc<ClientAccount>]) -> Self {
        let key_entries = accounts.iter().flat_map(|account| {
            let keys = account.keys_sha256.iter();
            keys.map(move |key| (*key, account.clone()))
        });
        let quota_entries = accounts.iter();
        let quota_entries =
            quota_entries.map(|account| (account.quota_key(), account.clone()));
        Self {
            by_key: key_entries.collect(),
            by_quota: quota_entries.collect(),
        }
    }

    /// Returns the account that a key belongs to, `None` if there is none.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<ClientAccount>> {
        self.by_key.get(key)
    }

    /// Returns the account that a quota belongs to, `None` if there is none.
    pub fn find_by_quota(&self, key: QuotaKey) -> Option<&Arc<ClientAccount>> {
        self.by_quota.get(&key)
    }
}

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl Debug for KeyDigest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        // Eight hexadecimal digits are enough to tell two keys apart.
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
