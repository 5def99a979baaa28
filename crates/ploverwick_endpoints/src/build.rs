//! Software versions of the endpoints of a service.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// One software version of the endpoints of a service.
///
/// What two builds of a service write does not fit together, so a stream continues only at the build that began it.
/// Instances exchange builds, so the algorithm is part of the protocol between them: the 64-bit XXH3 hash of the
/// version, seeded with that of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Build(u64);

impl Build {
    /// Returns the build of a service with this version.
    pub fn of(service: &str, version: &str) -> Self {
        Self(xxh3_64_with_seed(
            version.as_bytes(),
            xxh3_64(service.as_bytes()),
        ))
    }
}

impl fmt::Display for Build {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
