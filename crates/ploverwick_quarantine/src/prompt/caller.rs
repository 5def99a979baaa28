//! Identity of callers.

use serde::{Deserialize, Serialize};

use crate::Fingerprint;

/// Identifies a caller, with the same value at all instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Caller(u64);

impl Caller {
    /// Derives the identifier from what identifies the caller. It is cryptographic, so that a caller cannot pass for
    /// another one by its choice of credentials.
    pub fn of<'a>(identity: impl IntoIterator<Item = &'a [u8]>) -> Self {
        Self(Fingerprint::of(identity).number() as u64)
    }
}
