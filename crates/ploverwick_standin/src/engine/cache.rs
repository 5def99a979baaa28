//! The engine's prefix cache and its event stream, which lags and has gaps.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// The capacity of the cache, in prefixes.
const MAX_PREFIXES: usize = 64;
/// The number of events that are retained.
const MAX_EVENTS: usize = 1024;
/// Every event whose number is a multiple of this is dropped, which leaves a gap.
const GAP_EVERY: u64 = 7;

/// A change to a cached prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The prefix was added.
    Stored,
    /// The prefix was evicted to make room for another.
    Evicted,
}

/// A cache event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The sequence number; a missing number is a gap.
    pub number: u64,
    /// The hash of the prefix.
    pub prefix: u64,
    /// The change.
    pub change: Change,
}

/// A prefix cache with first-in, first-out eviction. It stores whole prompts by their hash.
#[derive(Debug, Default)]
pub(super) struct Cache {
    prefixes: VecDeque<u64>,
    events: VecDeque<(Instant, CacheEvent)>,
    last_number: u64,
}

impl Cache {
    /// Adds the prompt of a run, unless it is cached.
    pub(super) fn insert(&mut self, prompt: &str) {
        let mut hasher = DefaultHasher::new();
        prompt.hash(&mut hasher);
        let prefix = hasher.finish();
        if self.prefixes.contains(&prefix) {
            return;
        }
        if self.prefixes.len() == MAX_PREFIXES
            && let Some(oldest) = self.prefixes.pop_front()
        {
            self.push_event(oldest, Change::Evicted);
        }
        self.prefixes.push_back(prefix);
        self.push_event(prefix, Change::Stored);
    }

    fn push_event(&mut self, prefix: u64, change: Change) {
        self.last_number += 1;
        if self.last_number.is_multiple_of(GAP_EVERY) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent {
            number: self.last_number,
            prefix,
            change,
        };
        self.events.push_back((Instant::now(), event));
    }

    /// Returns the events numbered above `after` that are at least `lag` old.
    pub(super) fn events(&self, after: u64, lag: Duration) -> Vec<CacheEvent> {
        let now = Instant::now();
        let visible = self
            .events
            .iter()
            .filter(|(at, event)| event.number > after && now.duration_since(*at) >= lag);
        visible.map(|(_, event)| event.clone()).collect()
    }

    /// Removes all prefixes, as a restart does. The events stay.
    pub(super) fn clear(&mut self) {
        self.prefixes.clear();
    }
}
