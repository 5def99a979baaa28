//! The crashes counted against one request, in the form that instances exchange.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Crash, Fingerprint};

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

    /// Returns the entry that results from resetting its crashes now.
    #[must_use]
    pub fn after_reset(&self) -> Self {
        Self {
            resets: self.resets + 1,
            ..Self::new(self.fingerprint)
        }
    }

    /// Returns how long the entry is valid after its last change.
    pub(crate) fn ttl(&self) -> Duration {
        if self.is_at_threshold() {
            REFUSAL_TTL
        } else {
            SUSPICION_TTL
        }
    }

    /// Merges another entry of the same request; returns whether this one has changed.
    pub(crate) fn merge(&mut self, other: &Self) -> bool {
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

    /// Returns a hash of the entry without its age.
    pub(crate) fn digest(&self) -> u64 {
        let crashes: Vec<String> = self.crashes.iter().map(ToString::to_string).collect();
        let crashes = crashes.join(" ");
        let text = format!("{} {} {crashes}", self.fingerprint, self.resets);
        xxh3_64(text.as_bytes())
    }
}
