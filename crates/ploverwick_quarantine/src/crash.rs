//! Identifiers of endpoint crashes.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies the crash of one incarnation of an endpoint, with the same value at all instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Crash(u64);

impl Crash {
    /// Derives the identifier of a crash from `endpoint_id`, which is unique to one incarnation of the endpoint.
    ///
    /// The hash, 64-bit XXH3, is part of the protocol between instances. It need not be cryptographic, because
    /// callers cannot choose endpoint identifiers.
    pub fn of(endpoint_id: &str) -> Self {
        Self(xxh3_64(endpoint_id.as_bytes()))
    }
}

impl fmt::Display for Crash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
