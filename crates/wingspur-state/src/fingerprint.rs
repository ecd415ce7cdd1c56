//! Tells one request from another across its caller's tries and over all boxes.

use std::fmt::{self, Debug, Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// What a backend server is given to work on, as a number.
///
/// Two tries of one request have the same fingerprint at any box, whatever their ids, their
/// deadlines and the addresses they come from. It is a digest: logs and frames that hold it
/// tell nothing of the path, the caller or the body.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestFingerprint(u128);

/// The text is no fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a fingerprint; give 32 hexadecimal digits")]
pub struct ParseFingerprintError;

/// What makes a request the one that it is.
#[derive(Debug, Clone, Copy)]
pub struct RequestParts<'a> {
    /// The method.
    pub method: &'a str,
    /// The host that it is for.
    pub host: &'a str,
    /// Path and query, as the caller wrote them.
    pub target: &'a str,
    /// What names its caller to the server: the client account, or else what the caller's
    /// headers say of it.
    pub caller: &'a [u8],
    /// The body, where it is held whole.
    pub body: &'a [u8],
    /// The body's length, as far as it is known: all that tells a streamed one.
    pub body_bytes: Option<u64>,
}

impl RequestFingerprint {
    /// The fingerprint of a request.
    pub fn of(parts: &RequestParts<'_>) -> Self {
        let mut digest = Sha256::new();
        let texts = [parts.method, parts.host, parts.target];
        let fields = texts.map(str::as_bytes).into_iter();
        for field in fields.chain([parts.caller, parts.body]) {
            // With its length before it, so that no two requests spell the same bytes.
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

/// A number of 128 bits.
const TEXT_DIGITS: usize = 32;
