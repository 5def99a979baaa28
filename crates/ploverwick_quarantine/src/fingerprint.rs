//! What makes two requests the same.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The bytes of a fingerprint: enough that nobody finds a request with the fingerprint of another one.
const LENGTH: usize = 16;
/// Sets fingerprints apart from other hashes, and those of another form from these.
const FORM: &[u8] = b"ploverwick request 1";

/// What a request asks for, whoever's connection, attempt and instance it comes by.
///
/// A caller must not be able to have another one's request refused, so that it is a cryptographic hash.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint([u8; LENGTH]);

impl Fingerprint {
    /// Hashes the parts of a request in this order; where one ends and the next begins matters.
    ///
    /// Part of the instances' protocol: the first 128 bits of SHA-256 over [`FORM`] and the parts, each
    /// after its length as eight bytes, least first.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hash = Sha256::new();
        hash.update(FORM);
        for part in parts {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let mut bytes = [0; LENGTH];
        bytes.copy_from_slice(&hash.finalize()[..LENGTH]);
        Self(bytes)
    }

    /// Returns in which of so many equal parts it falls.
    pub(crate) fn part(self, parts: usize) -> usize {
        usize::from(self.0[0]) % parts
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

/// A text is not a fingerprint.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed;

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digits = 2 * LENGTH;
        write!(f, "a fingerprint is {digits} hexadecimal digits")
    }
}

impl std::error::Error for Malformed {}

impl FromStr for Fingerprint {
    type Err = Malformed;

    /// Reads the hexadecimal digits as which a fingerprint is shown.
    ///
    /// # Errors
    /// Fails if it is anything else.
    fn from_str(text: &str) -> Result<Self, Malformed> {
        let is_plain = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != 2 * LENGTH || !is_plain {
            return Err(Malformed);
        }
        let number = u128::from_str_radix(text, 16).map_err(|_| Malformed)?;
        Ok(Self(number.to_be_bytes()))
    }
}
