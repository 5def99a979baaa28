//! The evidence that instances collect and exchange against what may crash endpoints.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use ploverwick_names::Moment;

use crate::CRASH_THRESHOLD;

/// The maximum number of tracked subjects, of about 100 bytes each or 0.4 MB in total. Thirty endpoints that crash
/// at once with sixty requests each add 1,800.
const MAX_ENTRIES: usize = 4_096;
/// The number of buckets in which instances compare their entries, so that after a lost message only one bucket
/// has to be sent again.
pub const DIGEST_BUCKETS: usize = 16;

/// The status of a subject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// No crashes are counted against it.
    Clear,
    /// This many crashes are counted against it, fewer than the threshold.
    Suspected(usize),
    /// It is refused.
    Refused,
}

impl Status {
    /// Returns whether a request may be retried at another endpoint automatically. If one more crash would cause it
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

/// The effect of an update on a subject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing changed.
    Unchanged,
    /// The entry changed, but not whether the subject is refused.
    Updated,
    /// The subject is refused from now on.
    Refused,
    /// The subject is no longer refused.
    Released,
}

/// An entry: the evidence against one subject.
///
/// Merging must be commutative, associative and idempotent, so that instances converge whatever the order and the
/// repetition of updates.
pub trait Evidence: Clone + PartialEq {
    /// What the evidence is against.
    type Subject: Copy + Eq + Ord + Hash;

    /// Creates an entry without crashes.
    fn new(subject: Self::Subject) -> Self;

    /// Returns what the evidence is against.
    fn subject(&self) -> Self::Subject;

    /// Returns the time since the last change, when the entry was sent.
    fn age(&self) -> Duration;

    /// Returns the entry with another age.
    #[must_use]
    fn with_age(&self, age: Duration) -> Self;

    /// Returns the number of crashes that count, the threshold at most.
    fn level(&self) -> usize;

    /// Returns the status at an age.
    fn status(&self, age: Duration) -> Status;

    /// Returns how long the entry is kept after its last change.
    fn ttl(&self) -> Duration;

    /// Returns how many times its crashes were reset.
    fn resets(&self) -> u32;

    /// Returns the entry that results from resetting its crashes now.
    #[must_use]
    fn after_reset(&self) -> Self;

    /// Merges another entry of the same subject; returns whether this one has changed.
    fn merge(&mut self, other: &Self) -> bool;

    /// Returns a hash of the entry without its age.
    fn digest(&self) -> u64;

    /// Returns which of `count` buckets a subject belongs to.
    fn bucket(subject: Self::Subject, count: usize) -> usize;
}

#[derive(Debug)]
struct TrackedEntry<E> {
    entry: E,
    /// The age of its last change at `merged_at`. The change may predate the start of this process.
    age: Duration,
    /// When the entry was last merged with a change.
    merged_at: Moment,
    /// Whether this instance has observed one of the crashes itself.
    is_observed_locally: bool,
}

impl<E: Evidence> TrackedEntry<E> {
    fn age(&self, now: Moment) -> Duration {
        self.age + now.since(self.merged_at)
    }

    fn is_expired(&self, now: Moment) -> bool {
        self.age(now) >= self.entry.ttl()
    }

    fn status(&self, now: Moment) -> Status {
        self.entry.status(self.age(now))
    }

    fn current(&self, now: Moment) -> E {
        self.entry.with_age(self.age(now))
    }

    /// Returns the key by which entries are evicted, lowest first. It is the same at all instances.
    fn eviction_rank(&self) -> (usize, u32, E::Subject) {
        let entry = &self.entry;
        (entry.level(), entry.resets(), entry.subject())
    }
}

/// The evidence against all subjects of one kind.
#[derive(Debug)]
pub struct Ledger<E: Evidence> {
    entries: HashMap<E::Subject, TrackedEntry<E>>,
    /// The XOR of the entries' digests, by bucket. They are maintained incrementally because they are compared many
    /// times for each change.
    digests: [u64; DIGEST_BUCKETS],
}

impl<E: Evidence> Default for Ledger<E> {
    fn default() -> Self {
        Self {
            entries: HashMap::new(),
            digests: [0; DIGEST_BUCKETS],
        }
    }
}

impl<E: Evidence> Ledger<E> {
    /// Returns whether nothing is tracked.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of refused subjects.
    pub fn refused(&self, now: Moment) -> usize {
        self.refused_entries(now).count()
    }

    /// Returns the status of a subject.
    pub fn status(&self, subject: &E::Subject, now: Moment) -> Status {
        self.tracked(subject, now)
            .map_or(Status::Clear, |tracked| tracked.status(now))
    }

    /// Adds evidence that this instance has observed itself; returns the entry to broadcast.
    pub(crate) fn record(&mut self, entry: &E, now: Moment) -> (Change, E) {
        let subject = entry.subject();
        let change = self.merge(entry, now);
        if let Some(tracked) = self.entries.get_mut(&subject) {
            tracked.is_observed_locally = true;
        }
        (change, self.entry(&subject, now))
    }

    /// Resets the crashes of a subject after a success, since it does not necessarily crash the endpoint that runs it.
    /// Returns the entry to broadcast if crashes were counted against it.
    pub fn reset(&mut self, subject: &E::Subject, now: Moment) -> Option<(Change, E)> {
        if self.status(subject, now) == Status::Clear {
            return None;
        }
        let entry = self.entry(subject, now).after_reset();
        let change = self.merge(&entry, now);
        Some((change, entry))
    }

    /// Merges an entry of another instance, or one that was stored earlier.
    pub fn merge(&mut self, entry: &E, now: Moment) -> Change {
        let (subject, age) = (entry.subject(), entry.age());
        if age >= entry.ttl() {
            return Change::Unchanged;
        }
        let before = self.status(&subject, now);
        let new_tracked = || TrackedEntry {
            entry: E::new(subject),
            age,
            merged_at: now,
            is_observed_locally: false,
        };
        let tracked = self.remove(&subject);
        let tracked = tracked.filter(|tracked| !tracked.is_expired(now));
        let mut tracked = tracked.unwrap_or_else(new_tracked);
        let has_changed = tracked.entry.merge(entry);
        if has_changed {
            tracked.age = tracked.age(now).min(age);
            tracked.merged_at = now;
        }
        if tracked.entry != E::new(subject) {
            self.insert(tracked);
        }
        self.evict_excess();
        match (before, self.status(&subject, now)) {
            (before, Status::Refused) if before != Status::Refused => Change::Refused,
            (Status::Refused, after) if after != Status::Refused => Change::Released,
            _ if has_changed => Change::Updated,
            _ => Change::Unchanged,
        }
    }

    /// Returns whether this instance has observed a crash that is counted against a subject.
    pub fn is_observed_locally(&self, subject: &E::Subject) -> bool {
        let tracked = self.entries.get(subject);
        tracked.is_some_and(|tracked| tracked.is_observed_locally)
    }

    /// Removes expired entries; returns the subjects that were refused until then.
    pub fn remove_expired(&mut self, now: Moment) -> Vec<E::Subject> {
        let entries = self.entries.values();
        let expired = entries.filter(|tracked| tracked.is_expired(now));
        let expired: Vec<E::Subject> = expired.map(|tracked| tracked.entry.subject()).collect();
        let dropped = expired.iter().filter_map(|expired| self.remove(expired));
        let released = dropped.filter(|tracked| tracked.entry.level() >= CRASH_THRESHOLD);
        released.map(|tracked| tracked.entry.subject()).collect()
    }

    /// Returns a digest for each bucket. If the digests of two instances differ, so do their entries in that bucket.
    pub fn digests(&self) -> [u64; DIGEST_BUCKETS] {
        self.digests
    }

    /// Returns the entries of the buckets whose digests differ from those of another instance.
    pub fn differing(&self, other: &[u64; DIGEST_BUCKETS], now: Moment) -> Vec<E> {
        if self.digests == *other {
            return Vec::new();
        }
        let entries = self.entries.values();
        let entries = entries.filter(|tracked| {
            let bucket = E::bucket(tracked.entry.subject(), DIGEST_BUCKETS);
            self.digests[bucket] != other[bucket]
        });
        entries.map(|tracked| tracked.current(now)).collect()
    }

    /// Returns the entry of a subject, which is empty if the subject is not tracked.
    pub fn entry(&self, subject: &E::Subject, now: Moment) -> E {
        let tracked = self.entries.get(subject);
        tracked.map_or_else(|| E::new(*subject), |tracked| tracked.current(now))
    }

    /// Returns the evidence against a subject, unless it has expired.
    pub(crate) fn evidence(&self, subject: &E::Subject, now: Moment) -> Option<&E> {
        let tracked = self.tracked(subject, now);
        tracked.map(|tracked| &tracked.entry)
    }

    /// Returns the evidence against all refused subjects.
    pub(crate) fn refused_entries(&self, now: Moment) -> impl Iterator<Item = &E> {
        let entries = self.entries.values();
        let refused = entries.filter(move |tracked| tracked.status(now) == Status::Refused);
        refused.map(|tracked| &tracked.entry)
    }

    fn tracked(&self, subject: &E::Subject, now: Moment) -> Option<&TrackedEntry<E>> {
        let tracked = self.entries.get(subject);
        tracked.filter(|tracked| !tracked.is_expired(now))
    }

    /// Removes the entry with the lowest rank if there are too many.
    fn evict_excess(&mut self) {
        if self.entries.len() <= MAX_ENTRIES {
            return;
        }
        let entries = self.entries.values();
        let least = entries.min_by_key(|tracked| tracked.eviction_rank());
        if let Some(least) = least.map(|tracked| tracked.entry.subject()) {
            self.remove(&least);
        }
    }

    fn insert(&mut self, tracked: TrackedEntry<E>) {
        let subject = tracked.entry.subject();
        self.digests[E::bucket(subject, DIGEST_BUCKETS)] ^= tracked.entry.digest();
        self.entries.insert(subject, tracked);
    }

    fn remove(&mut self, subject: &E::Subject) -> Option<TrackedEntry<E>> {
        let tracked = self.entries.remove(subject)?;
        self.digests[E::bucket(*subject, DIGEST_BUCKETS)] ^= tracked.entry.digest();
        Some(tracked)
    }
}
