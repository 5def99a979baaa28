//! The requests that endpoints crashed under, and those that are refused for it.

use std::collections::HashMap;
use std::time::Duration;

use ploverwick_names::Moment;

use crate::{Crash, Entry, Fingerprint, THRESHOLD};

/// The most requests that are remembered: some 100 bytes each, 0.4 MB. Thirty endpoints that crash at once with
/// sixty requests each add 1,800.
const MOST: usize = 4_096;
/// The parts in which instances compare what they hold, so that a lost message costs the repeat of a part.
pub const PARTS: usize = 16;

/// What follows for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Nothing is counted against it.
    Clear,
    /// So many endpoints crashed under it.
    Suspected(usize),
    /// It is refused.
    Refused,
}

impl Status {
    /// Returns whether the system may send it to a second endpoint of its own accord. If one more crash
    /// would refuse it, the caller has to ask again: others would lose their answers for a repeat that nobody asked for.
    pub fn may_repeat(self) -> bool {
        match self {
            Self::Clear => true,
            Self::Suspected(crashes) => crashes + 1 < THRESHOLD,
            Self::Refused => false,
        }
    }
}

/// What a piece of news changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    Unchanged,
    /// Something, but not whether the request is refused.
    Updated,
    /// The request is refused from now on.
    Refused,
    /// The request is no longer refused.
    Released,
}

#[derive(Debug)]
struct Kept {
    entry: Entry,
    /// How long ago it last changed when it came here, perhaps before this process started.
    age: Duration,
    /// When it came.
    at: Moment,
    /// Whether this instance has seen one of the crashes itself.
    is_seen_here: bool,
}

impl Kept {
    fn age(&self, now: Moment) -> Duration {
        self.age + now.since(self.at)
    }

    fn has_lapsed(&self, now: Moment) -> bool {
        self.age(now) >= self.entry.lapse()
    }

    /// Returns what is dropped last where there is too much: the same at all instances.
    fn rank(&self) -> (usize, u32, Fingerprint) {
        let entry = &self.entry;
        (entry.crashes.len(), entry.resets, entry.fingerprint)
    }
}

/// The requests that endpoints crashed under.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: HashMap<Fingerprint, Kept>,
    /// The sums of the entries' digests, kept up to date: they are compared many times for each change.
    digests: [u64; PARTS],
}

impl Quarantine {
    /// Returns whether nothing is counted against any request.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Counts the requests that are refused.
    pub fn refused(&self) -> usize {
        let entries = self.entries.values();
        entries.filter(|kept| kept.entry.is_at_threshold()).count()
    }

    /// Returns what follows for a request.
    pub fn status(&self, fingerprint: &Fingerprint, now: Moment) -> Status {
        let kept = self.entries.get(fingerprint);
        let kept = kept.filter(|kept| !kept.has_lapsed(now));
        match kept.map_or(0, |kept| kept.entry.crashes.len()) {
            0 => Status::Clear,
            crashes if crashes < THRESHOLD => Status::Suspected(crashes),
            _ => Status::Refused,
        }
    }

    /// Takes in that this instance saw an endpoint crash under a request; returns its entry, to be told.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        crash: Crash,
        now: Moment,
    ) -> (Change, Entry) {
        let mut entry = self.entry(&fingerprint, now);
        entry.crashes = vec![crash];
        entry.age_s = 0;
        let change = self.take(&entry, now);
        if let Some(kept) = self.entries.get_mut(&fingerprint) {
            kept.is_seen_here = true;
        }
        (change, self.entry(&fingerprint, now))
    }

    /// Takes in that a request succeeded, which proves that it need not crash what runs it; returns
    /// its entry, to be told, if something was counted against it.
    pub fn reset(&mut self, fingerprint: &Fingerprint, now: Moment) -> Option<(Change, Entry)> {
        if self.status(fingerprint, now) == Status::Clear {
            return None;
        }
        let entry = self.entry(fingerprint, now).after_reset();
        let change = self.take(&entry, now);
        Some((change, entry))
    }

    /// Takes in an entry of another instance, or of an earlier life.
    pub fn take(&mut self, entry: &Entry, now: Moment) -> Change {
        let age = Duration::from_secs(entry.age_s.into());
        if age >= entry.lapse() {
            return Change::Unchanged;
        }
        let before = self.status(&entry.fingerprint, now);
        let fresh = || Kept {
            entry: Entry::new(entry.fingerprint),
            age,
            at: now,
            is_seen_here: false,
        };
        let kept = self.remove(&entry.fingerprint);
        let kept = kept.filter(|kept| !kept.has_lapsed(now));
        let mut kept = kept.unwrap_or_else(fresh);
        let has_changed = kept.entry.merge(entry);
        if has_changed {
            kept.age = kept.age(now).min(age);
            kept.at = now;
        }
        if kept.entry != Entry::new(entry.fingerprint) {
            self.insert(kept);
        }
        self.bound();
        match (before, self.status(&entry.fingerprint, now)) {
            (Status::Refused, Status::Refused) => Change::Unchanged,
            (_, Status::Refused) => Change::Refused,
            (Status::Refused, _) => Change::Released,
            _ if has_changed => Change::Updated,
            _ => Change::Unchanged,
        }
    }

    /// Returns whether this instance has seen an endpoint crash under a request.
    pub fn is_seen_here(&self, fingerprint: &Fingerprint) -> bool {
        let kept = self.entries.get(fingerprint);
        kept.is_some_and(|kept| kept.is_seen_here)
    }

    /// Drops what has lapsed; returns the requests that are no longer refused.
    pub fn sweep(&mut self, now: Moment) -> Vec<Fingerprint> {
        let entries = self.entries.values();
        let lapsed = entries.filter(|kept| kept.has_lapsed(now));
        let lapsed: Vec<Fingerprint> = lapsed.map(|kept| kept.entry.fingerprint).collect();
        let dropped = lapsed.iter().filter_map(|lapsed| self.remove(lapsed));
        let released = dropped.filter(|kept| kept.entry.is_at_threshold());
        released.map(|kept| kept.entry.fingerprint).collect()
    }

    /// Returns a number for each part of the requests; where those of two instances differ, so do entries.
    pub fn digests(&self) -> [u64; PARTS] {
        self.digests
    }

    /// Lists the entries of the parts in which another instance has other digests.
    pub fn differing(&self, other: &[u64; PARTS], now: Moment) -> Vec<Entry> {
        if self.digests == *other {
            return Vec::new();
        }
        let entries = self.entries.values();
        let entries = entries.filter(|kept| {
            let part = kept.entry.fingerprint.part(PARTS);
            self.digests[part] != other[part]
        });
        entries.map(|kept| aged(kept, now)).collect()
    }

    /// Returns what is counted against a request.
    pub fn entry(&self, fingerprint: &Fingerprint, now: Moment) -> Entry {
        let kept = self.entries.get(fingerprint);
        kept.map_or_else(|| Entry::new(*fingerprint), |kept| aged(kept, now))
    }

    /// Drops those that matter least if there are too many.
    fn bound(&mut self) {
        if self.entries.len() <= MOST {
            return;
        }
        let least = self.entries.values().min_by_key(|kept| kept.rank());
        if let Some(least) = least.map(|kept| kept.entry.fingerprint) {
            self.remove(&least);
        }
    }

    fn insert(&mut self, kept: Kept) {
        self.digests[kept.entry.fingerprint.part(PARTS)] ^= kept.entry.digest();
        self.entries.insert(kept.entry.fingerprint, kept);
    }

    fn remove(&mut self, fingerprint: &Fingerprint) -> Option<Kept> {
        let kept = self.entries.remove(fingerprint)?;
        self.digests[fingerprint.part(PARTS)] ^= kept.entry.digest();
        Some(kept)
    }
}

fn aged(kept: &Kept, now: Moment) -> Entry {
    let age = kept.age(now).as_secs();
    Entry {
        age_s: u32::try_from(age).unwrap_or(u32::MAX),
        ..kept.entry.clone()
    }
}
