//! The engine's prefix cache, and its events, which come late and with gaps.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// How many prefixes the cache holds.
const PREFIXES: usize = 64;
/// How many events are kept.
const EVENTS: usize = 1024;
/// One event in this many is never shown.
const GAP_EVERY: u64 = 7;

/// What happened to a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// It was stored.
    Stored,
    /// It made room for another.
    Evicted,
}

/// An event of the cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts events; a missing number is a gap.
    pub number: u64,
    /// The prefix's hash.
    pub prefix: u64,
    /// What happened.
    pub change: Change,
}

/// The cache of prompts' prefixes.
#[derive(Debug, Default)]
pub(super) struct Cache {
    held: VecDeque<u64>,
    events: VecDeque<(Instant, CacheEvent)>,
    count: u64,
}

impl Cache {
    /// Notes that a run used a prompt.
    pub(super) fn used(&mut self, prompt: &str) {
        let mut hasher = DefaultHasher::new();
        prompt.hash(&mut hasher);
        let prefix = hasher.finish();
        if self.held.contains(&prefix) {
            return;
        }
        if self.held.len() == PREFIXES
            && let Some(oldest) = self.held.pop_front()
        {
            self.note(oldest, Change::Evicted);
        }
        self.held.push_back(prefix);
        self.note(prefix, Change::Stored);
    }

    fn note(&mut self, prefix: u64, change: Change) {
        self.count += 1;
        if self.count.is_multiple_of(GAP_EVERY) {
            return;
        }
        if self.events.len() == EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent {
            number: self.count,
            prefix,
            change,
        };
        self.events.push_back((Instant::now(), event));
    }

    /// Lists the events after a number that are at least as old as the lag.
    pub(super) fn events(&self, after: u64, lag: Duration) -> Vec<CacheEvent> {
        let now = Instant::now();
        let late = self
            .events
            .iter()
            .filter(|(at, event)| event.number > after && now.duration_since(*at) >= lag);
        late.map(|(_, event)| event.clone()).collect()
    }

    /// Forgets everything, as a restart does.
    pub(super) fn clear(&mut self) {
        self.held.clear();
    }
}
