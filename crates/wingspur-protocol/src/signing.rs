//! Sign-off of bundles by named persons, with Ed25519.

use std::collections::BTreeMap;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use wingspur_state::Bundle;

use crate::{Manifest, SignedBundle};

/// Whose signatures a box accepts: each person's public key in base64.
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
    #[error("the key of `{0}` is not an Ed25519 public key; make one by `keys new`")]
    BadKey(String),
    /// The signature does not fit the manifest.
    #[error("the signature of `{0}` does not fit; sign the bundle again")]
    BadSignature(String),
    /// The manifest cannot be read.
    #[error("the manifest cannot be read: {0}; sign the bundle again")]
    BadManifest(#[from] serde_json::Error),
}

/// Signs a bundle; returns the signed manifest and the parts' bytes.
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

/// Checks a signed manifest against the keyring and reads it.
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
