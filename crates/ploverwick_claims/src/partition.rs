//! Folds one partition's stream into who holds which key.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use ploverwick_names::{Life, Offset, Request};
use serde::{Deserialize, Serialize};

use crate::Key;

/// How far apart the clocks of callers, instances and the log may be.
pub const CLOCK_SKEW: Duration = Duration::from_mins(1);

/// A record of a partition's stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    pub key: Key,
    /// The request that claims it.
    pub request: Request,
    /// The entry that would run the request.
    pub life: Life,
    /// Whether this gives the key back, because the request did not run and never will.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub forfeit: bool,
}

/// Who holds a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The request.
    pub request: Request,
    /// The entry that runs it.
    pub life: Life,
}

/// A held key and when it was claimed.
#[derive(Debug)]
struct Held {
    holder: Holder,
    at_ms: u64,
}

/// One partition's keys within the window.
#[derive(Debug, Default)]
pub struct Partition {
    holders: HashMap<Key, Held>,
    ages: VecDeque<(u64, Key)>,
    next: Offset,
    lost_until_ms: Option<u64>,
}

impl Partition {
    /// Starts before the first record.
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

    /// Says whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Takes the next record into account; `at_ms` is when the log took it. The first claim of a
    /// key holds it. A forfeit counts only if it comes from the holder.
    pub fn apply(&mut self, offset: Offset, at_ms: u64, record: &Record) {
        if offset < self.next {
            return;
        }
        if offset > self.next {
            // Claims up to the age of this record may be missing.
            self.lost_until_ms = self.lost_until_ms.max(Some(at_ms));
        }
        self.next = Offset(offset.0 + 1);
        let holder = self.holders.get(&record.key);
        if record.forfeit {
            let same = holder.is_some_and(|held| held.holder.request == record.request);
            if same {
                self.holders.remove(&record.key);
            }
            return;
        }
        if holder.is_none() {
            let holder = Holder {
                request: record.request.clone(),
                life: record.life.clone(),
            };
            self.holders.insert(record.key, Held { holder, at_ms });
            self.ages.push_back((at_ms, record.key));
        }
    }

    /// Returns who holds a key.
    pub fn holder(&self, key: &Key) -> Option<&Holder> {
        self.holders.get(key).map(|held| &held.holder)
    }

    /// Says whether every claim of a key made at `made_ms` must have been read, if it is there.
    pub fn covers(&self, made_ms: u64) -> bool {
        let skew = millis(CLOCK_SKEW);
        self.lost_until_ms
            .is_none_or(|lost| made_ms > lost.saturating_add(skew))
    }

    /// Forgets keys that were claimed longer ago than window and clock skew.
    pub fn expire(&mut self, now_ms: u64, window: Duration) {
        let keep = millis(window) + 2 * millis(CLOCK_SKEW);
        while let Some((at_ms, key)) = self.ages.front().copied() {
            if at_ms + keep > now_ms {
                return;
            }
            self.ages.pop_front();
            // A key that was forfeited and claimed again stands in the queue twice.
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

/// Says whether a key made at `made_ms` is inside the window at `now_ms`.
pub fn in_window(made_ms: u64, now_ms: u64, window: Duration) -> bool {
    let young = now_ms <= made_ms.saturating_add(millis(window));
    let not_ahead = made_ms <= now_ms.saturating_add(millis(CLOCK_SKEW));
    young && not_ahead
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
