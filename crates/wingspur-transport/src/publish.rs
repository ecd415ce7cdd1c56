//! Submits bundles to the store, accepts them and loads them.

use std::collections::HashMap;

use wingspur_protocol::{
    BundlePointer, Manifest, SignedBundle, SigningError, StoreKeys, sha256_hex,
};
use wingspur_state::{Bundle, Service};

use crate::{KeyValue, StoreClient, StoreError, WriteOutcome};

/// Outcome of accepting a submitted bundle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Published {
    /// The bundle is accepted.
    Accepted,
    /// Another bundle of the same or a greater version was accepted before; contains its
    /// pointer.
    Superseded(BundlePointer),
}

/// Why a bundle could not be published or loaded.
#[derive(Debug, thiserror::Error)]
pub enum PublishError {
    /// A store call failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A record in the store is missing or cannot be decoded.
    #[error("the record `{key}` cannot be read: {reason}; submit the bundle first")]
    Unreadable {
        /// The record's key, or the digest of a part.
        key: String,
        /// What is wrong with the record.
        reason: String,
    },
    /// The signed manifest is refused or cannot be decoded.
    #[error(transparent)]
    Signing(#[from] SigningError),
}

/// Writes the parts and the manifest of a signed bundle to the store and returns the
/// digest of the manifest. Boxes do not use the bundle before it is accepted.
pub async fn submit_bundle(
    store: &StoreClient,
    keys: &StoreKeys,
    signed: &SignedBundle,
    parts: &[Vec<u8>],
) -> Result<String, PublishError> {
    for part in parts {
        put_part(store, keys, part).await?;
    }
    let digest = sha256_hex(signed.manifest.as_bytes());
    let record = serde_json::to_vec(signed).expect("a signed bundle serialises");
    store
        .put_if(&keys.manifest(&digest), &record, ABSENT)
        .await?;
    Ok(digest)
}

/// Accepts a submitted bundle by moving the bundle pointer to it.
///
/// When the store's response is lost, the pointer is read again to find out whether the
/// write took effect, so a returned outcome is always correct.
pub async fn accept_bundle(
    store: &StoreClient,
    keys: &StoreKeys,
    signed: &SignedBundle,
) -> Result<Published, PublishError> {
    let manifest: Manifest =
        serde_json::from_str(&signed.manifest).map_err(SigningError::from)?;
    let digest = sha256_hex(signed.manifest.as_bytes());
    let key = keys.manifest(&digest);
    if store.get(&key).await?.is_none() {
        return Err(missing(&key));
    }
    let pointer = BundlePointer {
        version: manifest.version,
        manifest: digest,
        signer: signed.signer.clone(),
    };
    move_pointer(store, keys, &pointer).await
}

/// Reads the bundle pointer and the store revision of its last write; `None` if no bundle
/// was ever accepted.
pub async fn load_pointer(
    store: &StoreClient,
    keys: &StoreKeys,
) -> Result<Option<(BundlePointer, i64)>, PublishError> {
    let key = keys.pointer();
    let Some(pair) = store.get(&key).await? else {
        return Ok(None);
    };
    let pointer = read_json(&pair)?;
    Ok(Some((pointer, pair.mod_revision)))
}

/// Loads the bundle that a pointer refers to: its signed manifest and the bytes of its
/// parts by digest. Parts in `known` (bytes by digest) are not read from the store again.
/// The signature is not verified here.
pub async fn load_bundle(
    store: &StoreClient,
    keys: &StoreKeys,
    pointer: &BundlePointer,
    known: &HashMap<String, Vec<u8>>,
) -> Result<(SignedBundle, HashMap<String, Vec<u8>>), PublishError> {
    let key = keys.manifest(&pointer.manifest);
    let pair = store.get(&key).await?.ok_or_else(|| missing(&key))?;
    let signed: SignedBundle = read_json(&pair)?;
    let manifest: Manifest =
        serde_json::from_str(&signed.manifest).map_err(SigningError::from)?;
    let mut parts = HashMap::with_capacity(manifest.parts.len());
    for part in &manifest.parts {
        let bytes = match known.get(&part.digest) {
            Some(bytes) => bytes.clone(),
            None => get_part(store, keys, &part.digest).await?,
        };
        parts.insert(part.digest.clone(), bytes);
    }
    Ok((signed, parts))
}

/// Builds a bundle from its manifest and the bytes of its parts by digest.
pub fn assemble_bundle(
    manifest: &Manifest,
    parts: &HashMap<String, Vec<u8>>,
) -> Result<Bundle, PublishError> {
    let mut services = Vec::with_capacity(manifest.parts.len());
    for part in &manifest.parts {
        let bytes = parts
            .get(&part.digest)
            .ok_or_else(|| missing(&part.digest))?;
        let service: Service = serde_json::from_slice(bytes)
            .map_err(|error| unreadable(&part.digest, &error))?;
        services.push(service);
    }
    Ok(manifest.join(services))
}

async fn move_pointer(
    store: &StoreClient,
    keys: &StoreKeys,
    pointer: &BundlePointer,
) -> Result<Published, PublishError> {
    let value = serde_json::to_vec(pointer).expect("a pointer serialises");
    let mut unanswered = 0;
    loop {
        let stored = load_pointer(store, keys).await?;
        let revision = match stored {
            Some((stored, _)) if stored == *pointer => return Ok(Published::Accepted),
            Some((stored, _)) if stored.version >= pointer.version => {
                return Ok(Published::Superseded(stored));
            }
            Some((_, revision)) => revision,
            None => ABSENT,
        };
        match store.put_if(&keys.pointer(), &value, revision).await {
            Ok(WriteOutcome::Written) => return Ok(Published::Accepted),
            Ok(WriteOutcome::Refused(_)) => {}
            // The write may have taken effect; the next read shows whether it did.
            Err(error) if unanswered == MAX_UNANSWERED => return Err(error.into()),
            Err(_) => unanswered += 1,
        }
    }
}

async fn put_part(
    store: &StoreClient,
    keys: &StoreKeys,
    part: &[u8],
) -> Result<(), StoreError> {
    let digest = sha256_hex(part);
    for (piece, bytes) in part.chunks(PIECE_BYTES).enumerate() {
        // Keys contain the digest of the part, so a piece that already exists is the
        // same.
        store
            .put_if(&keys.part_piece(&digest, piece), bytes, ABSENT)
            .await?;
    }
    Ok(())
}

async fn get_part(
    store: &StoreClient,
    keys: &StoreKeys,
    digest: &str,
) -> Result<Vec<u8>, PublishError> {
    let key = keys.part(digest);
    let pieces = store.get_prefix(&key).await?.pairs;
    let bytes = pieces
        .into_iter()
        .flat_map(|pair| pair.value)
        .collect::<Vec<u8>>();
    if sha256_hex(&bytes) != digest {
        let reason = "its content does not match its digest".to_owned();
        return Err(PublishError::Unreadable { key, reason });
    }
    Ok(bytes)
}

fn read_json<T: for<'de> serde::Deserialize<'de>>(
    pair: &KeyValue,
) -> Result<T, PublishError> {
    serde_json::from_slice(&pair.value).map_err(|error| unreadable(&pair.key, &error))
}

fn missing(key: &str) -> PublishError {
    let reason = "it is missing".to_owned();
    PublishError::Unreadable {
        key: key.to_owned(),
        reason,
    }
}

fn unreadable(key: &str, error: &serde_json::Error) -> PublishError {
    PublishError::Unreadable {
        key: key.to_owned(),
        reason: error.to_string(),
    }
}

/// The expected revision of a key that does not exist.
const ABSENT: i64 = 0;
/// The size of the pieces that a part is split into, with a margin below the store's
/// limit of 1 MiB for a value.
const PIECE_BYTES: usize = 900 << 10;
/// How many unanswered writes are tolerated while the pointer is moved.
const MAX_UNANSWERED: u32 = 5;
