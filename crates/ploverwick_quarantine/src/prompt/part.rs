//! Identity of the parts of prompts.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::Fingerprint;

/// The most parts of one prompt that are considered. It bounds what a single request can add to the evidence.
pub const MAX_PARTS: usize = 64;
/// The length of the longest identifier that is kept as a number.
const MAX_DIGITS: usize = 32;

/// Identifies a part of a prompt, with the same value in all prompts that contain it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Part(u128);

impl Part {
    /// Identifies a part by the identifier that requests state: a hexadecimal number. Longer identifiers and those
    /// that are no number are hashed.
    pub fn of(id: &str) -> Self {
        id.parse()
            .unwrap_or_else(|_| Self(Fingerprint::of([id.as_bytes()]).number()))
    }

    /// Returns which of `count` buckets the part belongs to.
    pub(crate) fn bucket(self, count: usize) -> usize {
        usize::from(self.0.to_le_bytes()[0]) % count
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::LowerHex::fmt(&self.0, f)
    }
}

impl fmt::Debug for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The error for a text that is not the identifier of a part.
#[derive(Debug, PartialEq, Eq)]
pub struct InvalidPart;

impl fmt::Display for InvalidPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a part is 1 to {MAX_DIGITS} hexadecimal digits")
    }
}

impl std::error::Error for InvalidPart {}

impl FromStr for Part {
    type Err = InvalidPart;

    /// Parses a hexadecimal number; leading zeros and the case of its digits do not matter.
    ///
    /// # Errors
    /// Fails if the text has any other form.
    fn from_str(text: &str) -> Result<Self, InvalidPart> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_hex || text.is_empty() || text.len() > MAX_DIGITS {
            return Err(InvalidPart);
        }
        let number = u128::from_str_radix(text, 16).map_err(|_| InvalidPart)?;
        Ok(Self(number))
    }
}
