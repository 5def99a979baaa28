//! Software versions of endpoints.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A software version of endpoints.
///
/// What two builds write does not fit together, so a stream continues only at the build that began it. Services that share a
/// route run the same build if their versions are equal. Instances exchange builds, so the algorithm is part of the
/// protocol between them: the 64-bit XXH3 hash of the version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Build(u64);

impl Build {
    /// Returns the build of this version.
    pub fn of(version: &str) -> Self {
        Self(xxh3_64(version.as_bytes()))
    }
}

/// Reads the form that [`Display`](fmt::Display) writes.
impl FromStr for Build {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

impl fmt::Display for Build {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
