//! Digests of idempotency keys.

use std::fmt;

use ploverwick_names::Caller;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

const DIGEST_BYTES: usize = 16;

/// The digest of a caller and its idempotency key.
///
/// It covers the caller, so that no caller can reach another's request by guessing its key. The
/// key itself is not stored.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Key([u8; DIGEST_BYTES]);

/// The error for bytes or text that are not a key digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyError;

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "a key's digest has {DIGEST_BYTES} bytes, or twice as many hexadecimal digits"
        )
    }
}

impl Key {
    /// Computes the digest of a caller and its key.
    pub fn digest(caller: &Caller, key: &str) -> Self {
        // Names contain no zero byte, so distinct pairs hash distinct input.
        let mut hasher = Sha256::new();
        hasher.update(caller.as_str());
        hasher.update([0]);
        hasher.update(key);
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&hasher.finalize()[..DIGEST_BYTES]);
        Self(bytes)
    }

    /// Converts bytes of a message to a digest.
    ///
    /// # Errors
    /// Fails unless there are exactly 16 bytes.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, KeyError> {
        <[u8; DIGEST_BYTES]>::try_from(bytes)
            .map(Self)
            .map_err(|_| KeyError)
    }

    /// Returns the bytes of the digest.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns the partition of the key.
    pub fn partition(&self, partitions: u32) -> u32 {
        let head = u32::from_be_bytes([self.0[0], self.0[1], self.0[2], self.0[3]]);
        head % partitions.max(1)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl From<Key> for String {
    fn from(key: Key) -> Self {
        key.to_string()
    }
}

impl TryFrom<String> for Key {
    type Error = KeyError;

    fn try_from(text: String) -> Result<Self, KeyError> {
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(KeyError);
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| KeyError)?;
        }
        Ok(Self(bytes))
    }
}
