//! Tracks which versions of one adapter were replaced, and the earliest time at which that may have
//! happened.

use ploverwick_names::Moment;

/// The number of declarations of one adapter that are kept individually. Within a bound of 5 s an
/// adapter is declared once or twice. Versions replaced by older declarations count as replaced
/// long ago, which is the safe assumption.
const MAX_RECENT: usize = 4;

/// The earliest time at which a version may have been declared, as far as an instance can prove.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Since {
    /// Nothing proves that it was not declared long ago.
    LongAgo,
    /// It was not declared before this moment.
    NotBefore(Moment),
}

/// The declared versions of one adapter.
///
/// A version counts as replaced from the first newer declaration, so that a third version does not
/// make the first one usable again.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct VersionHistory {
    /// Versions below this one were replaced long ago.
    floor: u64,
    /// Recently declared versions in ascending order.
    recent: Vec<(u64, Moment)>,
}

impl VersionHistory {
    /// Records the declaration of a version. Returns whether it is newer than all known ones.
    pub fn declare(&mut self, version: u64, since: Since) -> bool {
        if version <= self.newest() {
            return false;
        }
        let before = self.recent.last();
        let before = before.map_or(Since::LongAgo, |(_, at)| Since::NotBefore(*at));
        // A version is never declared before a lower one.
        match since.max(before) {
            Since::LongAgo => self.floor = version,
            Since::NotBefore(at) => self.recent.push((version, at)),
        }
        if self.recent.len() > MAX_RECENT {
            (self.floor, _) = self.recent.remove(0);
        }
        true
    }

    /// Returns the newest version; an adapter without declarations is at version 1.
    pub fn newest(&self) -> u64 {
        let last = self.recent.last();
        last.map_or(self.floor.max(1), |(version, _)| *version)
    }

    /// Returns the earliest time at which a version may have been replaced; `None` if it is the
    /// newest.
    pub fn replaced_since(&self, version: u64) -> Option<Since> {
        if version < self.floor {
            return Some(Since::LongAgo);
        }
        let newer = self.recent.iter().find(|(newer, _)| *newer > version);
        newer.map(|(_, at)| Since::NotBefore(*at))
    }
}
