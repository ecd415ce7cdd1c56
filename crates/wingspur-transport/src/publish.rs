//! Bundles in the store: publishing, accepting and loading them.

use std::collections::HashMap;

use wingspur_protocol::{
    BundlePointer, Manifest, SignedBundle, SigningError, StoreKeys, sha256_hex,
};
use wingspur_state::{Bundle, Service};

use crate::{KeyValue, StoreClient, StoreError, WriteOutcome};

/// How a submitted bundle fared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Published {
    /// It is accepted.
    Accepted,
    /// Another bundle of this or a greater version was accepted before.
    Superseded(BundlePointer),
}

/// Why a bundle could not be published or loaded.
#[derive(Debug, thiserror::Error)]
pub enum PublishError {
    /// The store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A record in the store cannot be read.
    #[error("the record `{key}` cannot be read: {reason}; submit the bundle first")]
    Unreadable {
        /// The record's key.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The signed manifest is refused.
    #[error(transparent)]
    Signing(#[from] SigningError),
}

/// Writes a signed bundle's parts and manifest, which changes nothing on any box, and
/// gives the manifest's digest.
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

/// Moves the pointer to a submitted bundle: this is its acceptance.
///
/// A lost reply is settled by reading the pointer back, so the answer is true
/// whenever there is one.
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

/// Reads the bundle pointer, with the revision of its last move.
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

/// Loads the bundle behind a pointer; parts in `known` are not read again.
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

/// Puts a bundle together from its manifest and its parts' bytes.
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
    let mut lost_replies = 0;
    loop {
        let present = load_pointer(store, keys).await?;
        let revision = match present {
            Some((present, _)) if present == *pointer => return Ok(Published::Accepted),
            Some((present, _)) if present.version >= pointer.version => {
                return Ok(Published::Superseded(present));
            }
            Some((_, revision)) => revision,
            None => ABSENT,
        };
        match store.put_if(&keys.pointer(), &value, revision).await {
            Ok(WriteOutcome::Written) => return Ok(Published::Accepted),
            Ok(WriteOutcome::Refused(_)) => {}
            // The move may have taken effect: the next read tells.
            Err(error) if lost_replies == MOST_LOST_REPLIES => return Err(error.into()),
            Err(_) => lost_replies += 1,
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
        // Content-addressed: a piece that is there already is the same piece.
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
        let reason = "its bytes do not have its digest".to_owned();
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

/// The revision that stands for a key that is not there.
const ABSENT: i64 = 0;
/// Leaves room under the store's limit of a megabyte.
const PIECE_BYTES: usize = 900 << 10;
const MOST_LOST_REPLIES: u32 = 5;
