//! Ed25519 signatures of bundles by named persons.

use std::collections::BTreeMap;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use wingspur_state::Bundle;

use crate::{Manifest, SignedBundle};

/// The persons whose signatures a box accepts, each with a public key in base64.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Keyring {
    /// Public keys by the person's name.
    pub keys: BTreeMap<String, String>,
}

/// Why a signed bundle was refused.
#[derive(Debug, thiserror::Error)]
pub enum SigningError {
    /// The signer is not in the keyring.
    #[error("`{0}` is not in the keyring; add the person's public key to `keyring`")]
    UnknownSigner(String),
    /// The key in the keyring is not an Ed25519 public key.
    #[error("the key of `{0}` is not an Ed25519 public key; create one with `keys new`")]
    BadKey(String),
    /// The signature does not match the manifest.
    #[error("the signature of `{0}` does not match the manifest; sign the bundle again")]
    BadSignature(String),
    /// The manifest is not valid JSON of a manifest.
    #[error("the manifest cannot be read: {0}; sign the bundle again")]
    BadManifest(#[from] serde_json::Error),
}

/// Signs a bundle and returns the signed manifest and the bytes of its parts.
///
/// Fails if the bundle cannot be serialised.
pub fn sign_bundle(
    bundle: &Bundle,
    signer: &str,
    key: &SigningKey,
) -> Result<(SignedBundle, Vec<Vec<u8>>), SigningError> {
    let (manifest, parts) = Manifest::split(bundle)?;
    let manifest = serde_json::to_string(&manifest)?;
    let signature = STANDARD.encode(key.sign(manifest.as_bytes()).to_bytes());
    let signed = SignedBundle {
        manifest,
        signer: signer.to_owned(),
        signature,
    };
    Ok((signed, parts))
}

/// Verifies a signed manifest against the keyring and parses it.
///
/// Fails if the signer is unknown, the key or the signature is invalid, or the manifest
/// cannot be parsed.
pub fn verify_bundle(
    signed: &SignedBundle,
    keyring: &Keyring,
) -> Result<Manifest, SigningError> {
    let signer = &signed.signer;
    let text = keyring
        .keys
        .get(signer)
        .ok_or_else(|| SigningError::UnknownSigner(signer.clone()))?;
    let key = parse_key(text).ok_or_else(|| SigningError::BadKey(signer.clone()))?;
    let signature = STANDARD.decode(&signed.signature).ok();
    let signature = signature.and_then(|bytes| Signature::from_slice(&bytes).ok());
    let signature =
        signature.ok_or_else(|| SigningError::BadSignature(signer.clone()))?;
    key.verify_strict(signed.manifest.as_bytes(), &signature)
        .map_err(|_| SigningError::BadSignature(signer.clone()))?;
    Ok(serde_json::from_str(&signed.manifest)?)
}

fn parse_key(text: &str) -> Option<VerifyingKey> {
    let bytes: [u8; 32] = STANDARD.decode(text).ok()?.try_into().ok()?;
    VerifyingKey::from_bytes(&bytes).ok()
}
