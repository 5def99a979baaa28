//! The crashes counted against one part of prompts, in the form that instances exchange.

use std::cmp::Reverse;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{Caller, Part};
use crate::ledger::Evidence;
use crate::{CRASH_THRESHOLD, Crash, Status};

/// The most crashes kept for a part: more than happen before all instances know that it is refused.
const MAX_CRASHES: usize = 16;
/// How long crashes count against a part that is not refused.
const SUSPICION_TTL: Duration = Duration::from_hours(1);
/// How long a part stays refused after its last crash. Then requests that share it are let through again, and the next
/// crash refuses it again: one crash an hour if it is still fatal.
const REFUSAL_TTL: Duration = Duration::from_hours(1);
/// How long a part that was refused needs only one more crash to be refused again.
const RELAPSE_TTL: Duration = Duration::from_hours(24);

/// A crash under a request that shares a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observed {
    /// The crash.
    pub crash: Crash,
    /// The caller of the request.
    pub caller: Caller,
    /// One more than the highest round that was known when the answer began.
    pub round: u8,
}

impl Observed {
    /// Returns the order in which crashes are kept, which is the same at all instances.
    fn rank(&self) -> (Reverse<u8>, Crash, Caller) {
        (Reverse(self.round), self.crash, self.caller)
    }
}

/// The crashes counted against one part.
///
/// The entry with more resets wins; the crashes of entries with equally many resets are combined.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The part.
    pub part: Part,
    /// How many times its crashes were reset.
    pub resets: u32,
    /// The crashes since the last reset, those of the latest rounds first.
    pub crashes: Vec<Observed>,
    /// The time since the last change, in seconds.
    pub age_s: u32,
}

impl Entry {
    /// Returns whether there are enough rounds of crashes to refuse the part, regardless of their age.
    pub fn is_at_threshold(&self) -> bool {
        self.round() >= CRASH_THRESHOLD
    }

    /// Returns whether the part is at the threshold, or would be after one more round.
    pub fn is_near_threshold(&self) -> bool {
        self.round() + 1 >= CRASH_THRESHOLD
    }

    /// Returns whether the part is refused, taking the age of the entry into account.
    pub fn is_refused(&self) -> bool {
        self.status(self.age()) == Status::Refused
    }

    /// Returns the number of rounds of crashes.
    pub fn round(&self) -> usize {
        self.crashes.first().map_or(0, |latest| latest.round.into())
    }

    /// Returns the number of different callers whose requests were running at the crashes.
    pub fn callers(&self) -> usize {
        let mut callers: Vec<Caller> = self
            .crashes
            .iter()
            .map(|observed| observed.caller)
            .collect();
        callers.sort_unstable();
        callers.dedup();
        callers.len()
    }

    /// Returns whether the part is refused to a caller once it is refused at all. The crashes of a single caller are no
    /// evidence against others, so that a caller cannot have the requests of another one refused.
    pub(super) fn concerns(&self, caller: Caller) -> bool {
        let mut crashes = self.crashes.iter();
        self.callers() > 1 || crashes.any(|observed| observed.caller == caller)
    }

    /// Returns whether each of its crashes is also one of another part.
    pub(super) fn is_explained_by(&self, other: &Self) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.all(|own| {
            let mut others = other.crashes.iter();
            others.any(|other| other.crash == own.crash)
        })
    }
}

impl Evidence for Entry {
    type Subject = Part;

    fn new(subject: Part) -> Self {
        Self {
            part: subject,
            resets: 0,
            crashes: Vec::new(),
            age_s: 0,
        }
    }

    fn subject(&self) -> Part {
        self.part
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
        self.round().min(CRASH_THRESHOLD)
    }

    fn status(&self, age: Duration) -> Status {
        match self.level() {
            0 => Status::Clear,
            round if round < CRASH_THRESHOLD => Status::Suspected(round),
            _ if age < REFUSAL_TTL => Status::Refused,
            _ => Status::Suspected(CRASH_THRESHOLD - 1),
        }
    }

    fn ttl(&self) -> Duration {
        if self.is_at_threshold() {
            RELAPSE_TTL
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
            ..Self::new(self.part)
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
        // Keeps the latest round of each crash and caller.
        self.crashes.sort_unstable_by_key(|observed| {
            (observed.crash, observed.caller, Reverse(observed.round))
        });
        self.crashes
            .dedup_by_key(|observed| (observed.crash, observed.caller));
        self.crashes.sort_unstable_by_key(Observed::rank);
        self.crashes.truncate(MAX_CRASHES);
        is_newer || self.crashes != before
    }

    fn digest(&self) -> u64 {
        let crashes = self.crashes.iter().map(|observed| {
            let Observed {
                crash,
                caller,
                round,
            } = observed;
            format!("{crash} {caller:?} {round}")
        });
        let crashes: Vec<String> = crashes.collect();
        let crashes = crashes.join(" ");
        let text = format!("{} {} {crashes}", self.part, self.resets);
        xxh3_64(text.as_bytes())
    }

    fn bucket(subject: Part, count: usize) -> usize {
        subject.bucket(count)
    }
}
