//! The crashes counted against one request, in the form that instances exchange.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ledger::Evidence;
use crate::{Crash, Fingerprint, Status};

/// The number of crashes after which a request is refused. One or two may be coincidence if endpoints crash for
/// other reasons while it runs; a third without a success in between is not (see [`crate::Quarantine`]).
pub const CRASH_THRESHOLD: usize = 3;

/// How long crashes count against a request that is not refused. While another request crashes an endpoint each
/// second, 1 in 40 runs ends in a crash for that reason. At that rate 1 in 64,000 sequences of three runs has three
/// crashes, and an innocent request is refused.
const SUSPICION_TTL: Duration = Duration::from_hours(1);
/// How long a request stays refused after the third crash. The endpoints may have been fixed by then; if not, the
/// request crashes three endpoints a day.
const REFUSAL_TTL: Duration = Duration::from_hours(24);

/// The crashes counted against one request.
///
/// Merging entries is commutative, associative and idempotent. The entry with more resets wins; the crashes of
/// entries with equally many resets are combined.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How many times its crashes were reset.
    pub resets: u32,
    /// The crashes since the last reset, in ascending order; [`CRASH_THRESHOLD`] at most.
    pub crashes: Vec<Crash>,
    /// The time since the last change, in seconds.
    pub age_s: u32,
}

impl Entry {
    /// Creates an entry without crashes.
    pub fn new(fingerprint: Fingerprint) -> Self {
        Self {
            fingerprint,
            resets: 0,
            crashes: Vec::new(),
            age_s: 0,
        }
    }

    /// Returns whether there are enough crashes to refuse the request, regardless of their age.
    pub fn is_at_threshold(&self) -> bool {
        self.crashes.len() >= CRASH_THRESHOLD
    }

    /// Returns whether the request is at the threshold, or would be after one more crash.
    pub fn is_near_threshold(&self) -> bool {
        self.crashes.len() + 1 >= CRASH_THRESHOLD
    }

    /// Returns whether the request is refused, taking the age of the entry into account.
    pub fn is_refused(&self) -> bool {
        let age = Duration::from_secs(self.age_s.into());
        self.is_at_threshold() && age < self.ttl()
    }
}

impl Evidence for Entry {
    type Subject = Fingerprint;

    fn new(subject: Fingerprint) -> Self {
        Self::new(subject)
    }

    fn subject(&self) -> Fingerprint {
        self.fingerprint
    }

    fn age(&self) -> Duration {
        Duration::from_secs(self.age_s.into())
    }

    fn with_age(&self, age: Duration) -> Self {
        Self {
            age_s: u32::try_from(age.as_secs()).unwrap_or(u32::MAX),
            ..self.clone()
        }
    }

    fn level(&self) -> usize {
        self.crashes.len()
    }

    fn status(&self, _age: Duration) -> Status {
        match self.crashes.len() {
            0 => Status::Clear,
            crashes if crashes < CRASH_THRESHOLD => Status::Suspected(crashes),
            _ => Status::Refused,
        }
    }

    fn ttl(&self) -> Duration {
        if self.is_at_threshold() {
            REFUSAL_TTL
        } else {
            SUSPICION_TTL
        }
    }

    fn resets(&self) -> u32 {
        self.resets
    }

    fn after_reset(&self) -> Self {
        Self {
            resets: self.resets + 1,
            ..Self::new(self.fingerprint)
        }
    }

    fn merge(&mut self, other: &Self) -> bool {
        if other.resets < self.resets {
            return false;
        }
        let is_newer = other.resets > self.resets;
        let before = self.crashes.clone();
        if is_newer {
            self.resets = other.resets;
            self.crashes.clear();
        }
        self.crashes.extend_from_slice(&other.crashes);
        self.crashes.sort_unstable();
        self.crashes.dedup();
        // All instances keep the same crashes if there are more than needed.
        self.crashes.truncate(CRASH_THRESHOLD);
        is_newer || self.crashes != before
    }

    fn digest(&self) -> u64 {
        let crashes: Vec<String> = self.crashes.iter().map(ToString::to_string).collect();
        let crashes = crashes.join(" ");
        let text = format!("{} {} {crashes}", self.fingerprint, self.resets);
        xxh3_64(text.as_bytes())
    }

    fn bucket(subject: Fingerprint, count: usize) -> usize {
        subject.bucket(count)
    }
}
