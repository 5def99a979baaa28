//! Positions in the topics of a store that may be restored from an older backup.

use serde::{Deserialize, Serialize};

/// An offset in a topic, qualified by the era of the store that assigned it.
///
/// A store that is restored from a backup assigns offsets again, so an offset alone may identify different
/// records before and after the restore. Positions are ordered by era first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Position {
    /// The number of times the store has been restored; 0 if the store does not report it.
    pub era: u64,
    /// The offset within the era.
    pub offset: u64,
}

impl Position {
    /// Returns the position of another offset in the same era.
    #[must_use]
    pub fn with_offset(self, offset: u64) -> Self {
        Self { offset, ..self }
    }
}

impl From<u64> for Position {
    /// Returns the position of an offset in era 0, before any restore.
    fn from(offset: u64) -> Self {
        Self { era: 0, offset }
    }
}

impl std::fmt::Display for Position {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.era, self.offset)
    }
}
