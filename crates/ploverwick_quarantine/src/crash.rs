//! The unplanned end of an endpoint.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The unplanned end of one life of an endpoint, under the same name at all instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Crash(u64);

impl Crash {
    /// Names the end of a life by the life's identifier.
    ///
    /// Part of the instances' protocol: XXH3 with 64 bits. No caller chooses an identifier.
    pub fn of(life: &str) -> Self {
        Self(xxh3_64(life.as_bytes()))
    }
}

impl fmt::Display for Crash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
