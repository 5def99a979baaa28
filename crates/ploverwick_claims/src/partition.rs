//! The state of one partition: which request holds each key, folded from the partition's stream.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use ploverwick_names::{Life, Offset, Request};
use serde::{Deserialize, Serialize};

use crate::Key;

/// The maximum clock skew between callers, instances and the log.
pub const CLOCK_SKEW: Duration = Duration::from_mins(1);

/// A record of a partition's stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    pub key: Key,
    /// The request that claims it.
    pub request: Request,
    /// The process that accepted the request and would run it.
    pub life: Life,
    /// Whether this record releases the key because the request did not run and never will.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub forfeit: bool,
}

/// The holder of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The request.
    pub request: Request,
    /// The process that accepted the request and runs it.
    pub life: Life,
}

/// A claimed key's holder and the time of its claim.
#[derive(Debug)]
struct ClaimedKey {
    holder: Holder,
    at_ms: u64,
}

/// The keys of one partition that were claimed within the window.
#[derive(Debug, Default)]
pub struct Partition {
    holders: HashMap<Key, ClaimedKey>,
    by_age: VecDeque<(u64, Key)>,
    next: Offset,
    lost_until_ms: Option<u64>,
}

impl Partition {
    /// Creates a partition that has read no records.
    pub fn new() -> Self {
        Self {
            next: Offset(1),
            ..Self::default()
        }
    }

    /// Returns the offset to read next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the number of keys held.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Applies the next record; `at_ms` is the time at which the log accepted it. The first claim
    /// of a key holds it. A forfeit only counts if it comes from the holder.
    pub fn apply(&mut self, offset: Offset, at_ms: u64, record: &Record) {
        if offset < self.next {
            return;
        }
        if offset > self.next {
            // The skipped offsets may hold claims as recent as this record.
            self.lost_until_ms = self.lost_until_ms.max(Some(at_ms));
        }
        self.next = Offset(offset.0 + 1);
        let holder = self.holders.get(&record.key);
        if record.forfeit {
            let from_holder = holder.is_some_and(|held| held.holder.request == record.request);
            if from_holder {
                self.holders.remove(&record.key);
            }
            return;
        }
        if holder.is_none() {
            let holder = Holder {
                request: record.request.clone(),
                life: record.life.clone(),
            };
            self.holders
                .insert(record.key, ClaimedKey { holder, at_ms });
            self.by_age.push_back((at_ms, record.key));
        }
    }

    /// Returns the holder of a key.
    pub fn holder(&self, key: &Key) -> Option<&Holder> {
        self.holders.get(key).map(|held| &held.holder)
    }

    /// Returns whether no claim of a key created at `made_ms` can be among the lost records.
    pub fn covers(&self, made_ms: u64) -> bool {
        let skew = millis(CLOCK_SKEW);
        self.lost_until_ms
            .is_none_or(|lost| made_ms > lost.saturating_add(skew))
    }

    /// Removes keys whose claims are older than the window plus twice the clock skew.
    pub fn expire(&mut self, now_ms: u64, window: Duration) {
        let keep = millis(window) + 2 * millis(CLOCK_SKEW);
        while let Some((at_ms, key)) = self.by_age.front().copied() {
            if at_ms + keep > now_ms {
                return;
            }
            self.by_age.pop_front();
            // A key that was forfeited and claimed again is in the queue twice.
            if self
                .holders
                .get(&key)
                .is_some_and(|held| held.at_ms == at_ms)
            {
                self.holders.remove(&key);
            }
        }
    }
}

/// Returns whether a key created at `made_ms` is within the window at `now_ms`.
pub fn in_window(made_ms: u64, now_ms: u64, window: Duration) -> bool {
    let not_expired = now_ms <= made_ms.saturating_add(millis(window));
    let not_ahead = made_ms <= now_ms.saturating_add(millis(CLOCK_SKEW));
    not_expired && not_ahead
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
