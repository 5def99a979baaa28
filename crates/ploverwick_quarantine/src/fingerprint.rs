//! Identity of requests.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The length of a fingerprint: enough to make a second preimage infeasible.
const FINGERPRINT_BYTES: usize = 16;
/// Separates fingerprints from other hashes, and from fingerprints of other versions of this format.
const DOMAIN_SEPARATOR: &[u8] = b"ploverwick request 1";

/// Identifies a request by its contents, independent of the connection, the attempt and the instance.
///
/// It is a cryptographic hash, so that a caller cannot craft a request that causes another caller's to be refused.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Hashes the parts of a request; their order and the boundaries between them are significant.
    ///
    /// The format is part of the protocol between instances: the first 128 bits of SHA-256 over
    /// [`DOMAIN_SEPARATOR`] and the parts, each preceded by its length as a 64-bit little-endian integer.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hash = Sha256::new();
        hash.update(DOMAIN_SEPARATOR);
        for part in parts {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&hash.finalize()[..FINGERPRINT_BYTES]);
        Self(bytes)
    }

    /// Returns the fingerprint as a number.
    pub(crate) fn number(self) -> u128 {
        u128::from_be_bytes(self.0)
    }

    /// Returns which of `count` buckets the fingerprint belongs to.
    pub(crate) fn bucket(self, count: usize) -> usize {
        usize::from(self.0[0]) % count
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The error for a text that is not a fingerprint.
#[derive(Debug, PartialEq, Eq)]
pub struct InvalidFingerprint;

impl fmt::Display for InvalidFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digits = 2 * FINGERPRINT_BYTES;
        write!(f, "a fingerprint is {digits} hexadecimal digits")
    }
}

impl std::error::Error for InvalidFingerprint {}

impl FromStr for Fingerprint {
    type Err = InvalidFingerprint;

    /// Parses the hexadecimal form that [`fmt::Display`] writes.
    ///
    /// # Errors
    /// Fails if the text has any other form.
    fn from_str(text: &str) -> Result<Self, InvalidFingerprint> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != 2 * FINGERPRINT_BYTES || !is_hex {
            return Err(InvalidFingerprint);
        }
        let number = u128::from_str_radix(text, 16).map_err(|_| InvalidFingerprint)?;
        Ok(Self(number.to_be_bytes()))
    }
}
