//! The requests that endpoints crashed under, and the resulting refusals.

use std::collections::HashMap;
use std::time::Duration;

use ploverwick_names::Moment;

use crate::{CRASH_THRESHOLD, Crash, Entry, Fingerprint};

/// The maximum number of tracked requests, of about 100 bytes each or 0.4 MB in total. Thirty endpoints that crash
/// at once with sixty requests each add 1,800.
const MAX_ENTRIES: usize = 4_096;
/// The number of buckets in which instances compare their entries, so that after a lost message only one bucket
/// has to be sent again.
pub const DIGEST_BUCKETS: usize = 16;

/// The status of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// No crashes are counted against it.
    Clear,
    /// This many endpoints crashed under it, fewer than the threshold.
    Suspected(usize),
    /// It is refused.
    Refused,
}

impl Status {
    /// Returns whether the request may be retried at another endpoint automatically. If one more crash would cause it
    /// to be refused, the caller has to send it again: an automatic retry that crashes the endpoint costs other
    /// callers their answers.
    pub fn may_retry(self) -> bool {
        match self {
            Self::Clear => true,
            Self::Suspected(crashes) => crashes + 1 < CRASH_THRESHOLD,
            Self::Refused => false,
        }
    }
}

/// The effect of an update on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing changed.
    Unchanged,
    /// The entry changed, but not whether the request is refused.
    Updated,
    /// The request is refused from now on.
    Refused,
    /// The request is no longer refused.
    Released,
}

#[derive(Debug)]
struct TrackedEntry {
    entry: Entry,
    /// The age of its last change at `merged_at`. The change may predate the start of this process.
    age: Duration,
    /// When the entry was last merged with a change.
    merged_at: Moment,
    /// Whether this instance has observed one of the crashes itself.
    is_observed_locally: bool,
}

impl TrackedEntry {
    fn age(&self, now: Moment) -> Duration {
        self.age + now.since(self.merged_at)
    }

    fn is_expired(&self, now: Moment) -> bool {
        self.age(now) >= self.entry.ttl()
    }

    /// Returns the key by which entries are evicted, lowest first. It is the same at all instances.
    fn eviction_rank(&self) -> (usize, u32, Fingerprint) {
        let entry = &self.entry;
        (entry.crashes.len(), entry.resets, entry.fingerprint)
    }
}

/// The requests that endpoints crashed under.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: HashMap<Fingerprint, TrackedEntry>,
    /// The XOR of the entries' digests, by bucket. They are maintained incrementally because they are compared many
    /// times for each change.
    digests: [u64; DIGEST_BUCKETS],
}

impl Quarantine {
    /// Returns whether no request is tracked.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of refused requests.
    pub fn refused(&self) -> usize {
        let entries = self.entries.values();
        entries
            .filter(|tracked| tracked.entry.is_at_threshold())
            .count()
    }

    /// Returns the status of a request.
    pub fn status(&self, fingerprint: &Fingerprint, now: Moment) -> Status {
        let tracked = self.entries.get(fingerprint);
        let tracked = tracked.filter(|tracked| !tracked.is_expired(now));
        match tracked.map_or(0, |tracked| tracked.entry.crashes.len()) {
            0 => Status::Clear,
            crashes if crashes < CRASH_THRESHOLD => Status::Suspected(crashes),
            _ => Status::Refused,
        }
    }

    /// Records that this instance observed an endpoint crash under a request; returns the entry to broadcast.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        crash: Crash,
        now: Moment,
    ) -> (Change, Entry) {
        let mut entry = self.entry(&fingerprint, now);
        entry.crashes = vec![crash];
        entry.age_s = 0;
        let change = self.merge(&entry, now);
        if let Some(tracked) = self.entries.get_mut(&fingerprint) {
            tracked.is_observed_locally = true;
        }
        (change, self.entry(&fingerprint, now))
    }

    /// Resets the crashes of a request that succeeded, since it does not necessarily crash the endpoint that runs it.
    /// Returns the entry to broadcast if crashes were counted against it.
    pub fn reset(&mut self, fingerprint: &Fingerprint, now: Moment) -> Option<(Change, Entry)> {
        if self.status(fingerprint, now) == Status::Clear {
            return None;
        }
        let entry = self.entry(fingerprint, now).after_reset();
        let change = self.merge(&entry, now);
        Some((change, entry))
    }

    /// Merges an entry of another instance, or one that was stored earlier.
    pub fn merge(&mut self, entry: &Entry, now: Moment) -> Change {
        let age = Duration::from_secs(entry.age_s.into());
        if age >= entry.ttl() {
            return Change::Unchanged;
        }
        let before = self.status(&entry.fingerprint, now);
        let new_tracked = || TrackedEntry {
            entry: Entry::new(entry.fingerprint),
            age,
            merged_at: now,
            is_observed_locally: false,
        };
        let tracked = self.remove(&entry.fingerprint);
        let tracked = tracked.filter(|tracked| !tracked.is_expired(now));
        let mut tracked = tracked.unwrap_or_else(new_tracked);
        let has_changed = tracked.entry.merge(entry);
        if has_changed {
            tracked.age = tracked.age(now).min(age);
            tracked.merged_at = now;
        }
        if tracked.entry != Entry::new(entry.fingerprint) {
            self.insert(tracked);
        }
        self.evict_excess();
        match (before, self.status(&entry.fingerprint, now)) {
            (Status::Refused, Status::Refused) => Change::Unchanged,
            (_, Status::Refused) => Change::Refused,
            (Status::Refused, _) => Change::Released,
            _ if has_changed => Change::Updated,
            _ => Change::Unchanged,
        }
    }

    /// Returns whether this instance has observed an endpoint crash under a request.
    pub fn is_observed_locally(&self, fingerprint: &Fingerprint) -> bool {
        let tracked = self.entries.get(fingerprint);
        tracked.is_some_and(|tracked| tracked.is_observed_locally)
    }

    /// Removes expired entries; returns the requests that are no longer refused.
    pub fn remove_expired(&mut self, now: Moment) -> Vec<Fingerprint> {
        let entries = self.entries.values();
        let expired = entries.filter(|tracked| tracked.is_expired(now));
        let expired: Vec<Fingerprint> = expired.map(|tracked| tracked.entry.fingerprint).collect();
        let dropped = expired.iter().filter_map(|expired| self.remove(expired));
        let released = dropped.filter(|tracked| tracked.entry.is_at_threshold());
        released.map(|tracked| tracked.entry.fingerprint).collect()
    }

    /// Returns a digest for each bucket. If the digests of two instances differ, so do their entries in that bucket.
    pub fn digests(&self) -> [u64; DIGEST_BUCKETS] {
        self.digests
    }

    /// Returns the entries of the buckets whose digests differ from those of another instance.
    pub fn differing(&self, other: &[u64; DIGEST_BUCKETS], now: Moment) -> Vec<Entry> {
        if self.digests == *other {
            return Vec::new();
        }
        let entries = self.entries.values();
        let entries = entries.filter(|tracked| {
            let bucket = tracked.entry.fingerprint.bucket(DIGEST_BUCKETS);
            self.digests[bucket] != other[bucket]
        });
        entries
            .map(|tracked| with_current_age(tracked, now))
            .collect()
    }

    /// Returns the entry of a request, which is empty if the request is not tracked.
    pub fn entry(&self, fingerprint: &Fingerprint, now: Moment) -> Entry {
        let tracked = self.entries.get(fingerprint);
        tracked.map_or_else(
            || Entry::new(*fingerprint),
            |tracked| with_current_age(tracked, now),
        )
    }

    /// Removes the entry with the lowest rank if there are too many.
    fn evict_excess(&mut self) {
        if self.entries.len() <= MAX_ENTRIES {
            return;
        }
        let least = self
            .entries
            .values()
            .min_by_key(|tracked| tracked.eviction_rank());
        if let Some(least) = least.map(|tracked| tracked.entry.fingerprint) {
            self.remove(&least);
        }
    }

    fn insert(&mut self, tracked: TrackedEntry) {
        self.digests[tracked.entry.fingerprint.bucket(DIGEST_BUCKETS)] ^= tracked.entry.digest();
        self.entries.insert(tracked.entry.fingerprint, tracked);
    }

    fn remove(&mut self, fingerprint: &Fingerprint) -> Option<TrackedEntry> {
        let tracked = self.entries.remove(fingerprint)?;
        self.digests[fingerprint.bucket(DIGEST_BUCKETS)] ^= tracked.entry.digest();
        Some(tracked)
    }
}

fn with_current_age(tracked: &TrackedEntry, now: Moment) -> Entry {
    let age = tracked.age(now).as_secs();
    Entry {
        age_s: u32::try_from(age).unwrap_or(u32::MAX),
        ..tracked.entry.clone()
    }
}
