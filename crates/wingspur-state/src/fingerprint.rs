//! Identifies a request by its content, across its caller's retries and at all boxes.

use std::fmt::{self, Debug, Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// A digest of the parts of a request that determine what a backend server does for it.
///
/// A request and its retries have the same fingerprint at any box, whatever their ids,
/// their deadlines and the addresses they come from. As a digest it reveals nothing of
/// the path, the caller or the body in logs and frames.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestFingerprint(u128);

/// The error for a text that is not a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a fingerprint; give 32 hexadecimal digits")]
pub struct ParseFingerprintError;

/// The parts of a request that its fingerprint is made of.
#[derive(Debug, Clone, Copy)]
pub struct RequestParts<'a> {
    /// The method.
    pub method: &'a str,
    /// The host in the request.
    pub host: &'a str,
    /// Path and query, as the caller sent them.
    pub target: &'a str,
    /// What identifies the caller to the server: the client account, or else the caller's
    /// headers about itself.
    pub caller: &'a [u8],
    /// The body, where it is held completely; otherwise empty.
    pub body: &'a [u8],
    /// The body's length, if it is known. Of a streamed body nothing else is compared.
    pub body_bytes: Option<u64>,
}

impl RequestFingerprint {
    /// Returns the fingerprint of a request.
    pub fn of(parts: &RequestParts<'_>) -> Self {
        let mut digest = Sha256::new();
        let texts = [parts.method, parts.host, parts.target];
        let fields = texts.map(str::as_bytes).into_iter();
        for field in fields.chain([parts.caller, parts.body]) {
            // Each field is preceded by its length, so that different requests never give
            // the same bytes.
            digest.update((field.len() as u64).to_be_bytes());
            digest.update(field);
        }
        digest.update(parts.body_bytes.unwrap_or(0).to_be_bytes());
        let bytes = digest.finalize();
        let (first, _) = bytes
            .split_first_chunk()
            .expect("a digest of 32 bytes has 16");
        Self(u128::from_be_bytes(*first))
    }
}

impl FromStr for RequestFingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != TEXT_DIGITS || !is_hex {
            return Err(ParseFingerprintError);
        }
        let number = u128::from_str_radix(text, 16);
        number.map(Self).map_err(|_| ParseFingerprintError)
    }
}

impl Display for RequestFingerprint {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl Debug for RequestFingerprint {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(self, f)
    }
}

/// The hexadecimal digits of 128 bits.
const TEXT_DIGITS: usize = 32;
