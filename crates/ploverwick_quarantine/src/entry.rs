//! What is counted against one request, as instances tell it each other.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Crash, Fingerprint};

/// The crashes after which a request is refused. One and two are chance where endpoints crash for
/// other causes while it runs; a third one beside no success is not (see [`crate::Quarantine`]).
pub const THRESHOLD: usize = 3;

/// How long crashes are counted against a request that is not refused. A request whose endpoint crashes
/// for another cause in one of 40 runs, the rate while another request crashes an endpoint each second,
/// is refused in one of 64,000 rows of three runs without a success.
const SUSPECTED: Duration = Duration::from_hours(1);
/// How long a request stays refused after the third crash. Endpoints may have been mended meanwhile; if not,
/// it crashes three more a day.
const REFUSED: Duration = Duration::from_hours(24);

/// What is counted against one request.
///
/// Entries of one request merge in any order, any number of times, to the same entry: the one with more
/// resets counts, and of equal ones all crashes do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How often its crashes were reset.
    pub resets: u32,
    /// The crashes under it since the last reset, in ascending order; [`THRESHOLD`] at most.
    pub crashes: Vec<Crash>,
    /// How many seconds ago it last changed.
    pub age_s: u32,
}

impl Entry {
    /// Makes the entry of a request without crashes.
    pub fn new(fingerprint: Fingerprint) -> Self {
        Self {
            fingerprint,
            resets: 0,
            crashes: Vec::new(),
            age_s: 0,
        }
    }

    /// Returns whether the request is refused.
    pub fn is_at_threshold(&self) -> bool {
        self.crashes.len() >= THRESHOLD
    }

    /// Returns whether the request is refused, or one more crash would refuse it.
    pub fn is_near_threshold(&self) -> bool {
        self.crashes.len() + 1 >= THRESHOLD
    }

    /// Returns whether the request is refused, now that the entry is so old.
    pub fn is_refused(&self) -> bool {
        let age = Duration::from_secs(self.age_s.into());
        self.is_at_threshold() && age < self.lapse()
    }

    /// Returns the entry after its crashes were reset just now.
    #[must_use]
    pub fn after_reset(&self) -> Self {
        Self {
            resets: self.resets + 1,
            ..Self::new(self.fingerprint)
        }
    }

    /// Returns how long it counts after its last change.
    pub(crate) fn lapse(&self) -> Duration {
        if self.is_at_threshold() {
            REFUSED
        } else {
            SUSPECTED
        }
    }

    /// Takes in another entry of the same request; returns whether this one has changed.
    pub(crate) fn merge(&mut self, other: &Self) -> bool {
        if other.resets < self.resets {
            return false;
        }
        let is_later = other.resets > self.resets;
        let before = self.crashes.clone();
        if is_later {
            self.resets = other.resets;
            self.crashes.clear();
        }
        self.crashes.extend_from_slice(&other.crashes);
        self.crashes.sort_unstable();
        self.crashes.dedup();
        // Of more than enough crashes all instances keep the same.
        self.crashes.truncate(THRESHOLD);
        is_later || self.crashes != before
    }

    /// Returns a number that differs where the entries do, but for their age.
    pub(crate) fn digest(&self) -> u64 {
        let crashes: Vec<String> = self.crashes.iter().map(ToString::to_string).collect();
        let crashes = crashes.join(" ");
        let text = format!("{} {} {crashes}", self.fingerprint, self.resets);
        xxh3_64(text.as_bytes())
    }
}
