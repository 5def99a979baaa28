//! Which versions of one adapter were replaced, and since when at the earliest.

use ploverwick_names::Moment;

/// Declarations of one adapter that are remembered one by one. Within a bound of 5 s an adapter is
/// declared once or twice; what falls out counts as replaced long ago, which is on the safe side.
const RECENT: usize = 4;

/// Since when something has been declared, on the safe side: as early as one instance cannot rule out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Since {
    /// Nothing proves that it was not declared long ago.
    LongAgo,
    /// It was not declared before this moment.
    NotBefore(Moment),
}

/// The versions of one adapter.
///
/// A version is judged from the first newer one, so that a third one does not bring a first one back.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Lineage {
    /// Versions below this one were replaced long ago.
    floor: u64,
    /// Versions that were declared since, the lowest one first.
    recent: Vec<(u64, Moment)>,
}

impl Lineage {
    /// Takes in that a version was declared. Returns whether it is newer than those known.
    pub fn declare(&mut self, version: u64, since: Since) -> bool {
        if version <= self.newest() {
            return false;
        }
        let before = self.recent.last();
        let before = before.map_or(Since::LongAgo, |(_, at)| Since::NotBefore(*at));
        // A version is declared after those below it.
        match since.max(before) {
            Since::LongAgo => self.floor = version,
            Since::NotBefore(at) => self.recent.push((version, at)),
        }
        if self.recent.len() > RECENT {
            (self.floor, _) = self.recent.remove(0);
        }
        true
    }

    /// Returns the newest version; an adapter of which nothing was declared is in its first one.
    pub fn newest(&self) -> u64 {
        let last = self.recent.last();
        last.map_or(self.floor.max(1), |(version, _)| *version)
    }

    /// Returns since when there has been a newer version than this one; `None` if there is none.
    pub fn replaced(&self, version: u64) -> Option<Since> {
        if version < self.floor {
            return Some(Since::LongAgo);
        }
        let newer = self.recent.iter().find(|(newer, _)| *newer > version);
        newer.map(|(_, at)| Since::NotBefore(*at))
    }
}
