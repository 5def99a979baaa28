//! What is held against one request, as instances tell it each other.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Crash, Fingerprint};

/// The crashes after which a request is refused. One and two are chance where endpoints end for other
/// causes while it runs; a third one beside no good end is not (see [`crate::Quarantine`]).
pub const PROOF: usize = 3;

/// How long crashes are held against a request that is not refused. A request whose endpoint ends for
/// another cause in one of 40 runs, the rate while another request ends an endpoint each second, is
/// refused in one of 64,000 rows of three runs of which none ends well.
const SUSPECTED: Duration = Duration::from_hours(1);
/// How long a request stays refused after it was proved. Endpoints may have been mended meanwhile; if not,
/// it ends three more a day.
const REFUSED: Duration = Duration::from_hours(24);

/// What is held against one request.
///
/// Cases of one request merge in any order, any number of times, to the same case: the later clearing
/// counts, and of equal ones all crashes do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Case {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How often it was cleared.
    pub clearings: u32,
    /// The crashes since then that endpoints suffered under it, the least first; [`PROOF`] at most.
    pub crashes: Vec<Crash>,
    /// How many seconds ago it last changed.
    pub age_s: u32,
}

impl Case {
    /// Makes the case of a request against which nothing is held.
    pub fn clear(fingerprint: Fingerprint) -> Self {
        Self {
            fingerprint,
            clearings: 0,
            crashes: Vec::new(),
            age_s: 0,
        }
    }

    /// Returns whether the request is refused.
    pub fn is_proved(&self) -> bool {
        self.crashes.len() >= PROOF
    }

    /// Returns whether the request is refused, or one more crash would prove it.
    pub fn is_weighty(&self) -> bool {
        self.crashes.len() + 1 >= PROOF
    }

    /// Returns whether the request is refused, now that the case is so old.
    pub fn is_refused(&self) -> bool {
        let age = Duration::from_secs(self.age_s.into());
        self.is_proved() && age < self.lapse()
    }

    /// Returns the case after the request was cleared just now.
    #[must_use]
    pub fn cleared(&self) -> Self {
        Self {
            clearings: self.clearings + 1,
            ..Self::clear(self.fingerprint)
        }
    }

    /// Returns how long it counts after its last change.
    pub(crate) fn lapse(&self) -> Duration {
        if self.is_proved() { REFUSED } else { SUSPECTED }
    }

    /// Takes in another case of the same request; returns whether this one has changed.
    pub(crate) fn merge(&mut self, other: &Self) -> bool {
        if other.clearings < self.clearings {
            return false;
        }
        let is_later = other.clearings > self.clearings;
        let before = self.crashes.clone();
        if is_later {
            self.clearings = other.clearings;
            self.crashes.clear();
        }
        self.crashes.extend_from_slice(&other.crashes);
        self.crashes.sort_unstable();
        self.crashes.dedup();
        // Of more than enough crashes all instances keep the same.
        self.crashes.truncate(PROOF);
        is_later || self.crashes != before
    }

    /// Returns a number that differs where the cases do, but for their age.
    pub(crate) fn digest(&self) -> u64 {
        let crashes: Vec<String> = self.crashes.iter().map(ToString::to_string).collect();
        let crashes = crashes.join(" ");
        let text = format!("{} {} {crashes}", self.fingerprint, self.clearings);
        xxh3_64(text.as_bytes())
    }
}
