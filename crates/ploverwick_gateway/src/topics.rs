//! The topics of the store that few instances read for the others, and what peers tell of them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard};

use bytes::Bytes;
use ploverwick_platform::store::Record;
use ploverwick_topics::{Position, Reading};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};

/// The most bytes of a topic's newest records that are kept for others; a longer topic they read themselves.
const MAX_SNAPSHOT_BYTES: usize = 2 * 1_024 * 1_024;
/// Batches that wait to be taken in. More come only while the process is held up; what is dropped is
/// read from the store.
const MAX_QUEUED_BATCHES: usize = 64;

/// A topic of which peers tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Topic {
    /// What the operator writes.
    Operator,
    /// The list of instances.
    Instances,
    /// The operators' table.
    Table,
    /// The requests that are refused as endpoints crash under them.
    Quarantine,
}

impl Topic {
    /// All of them, each at its index.
    pub(crate) const ALL: [Self; 4] = [
        Self::Operator,
        Self::Instances,
        Self::Table,
        Self::Quarantine,
    ];

    /// Returns its name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Operator => "operator",
            Self::Instances => "instances",
            Self::Table => "table",
            Self::Quarantine => "quarantine",
        }
    }

    fn index(self) -> usize {
        self as usize
    }
}

/// How far an instance has read a topic, and whether it reads it for others.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct ReadState {
    pub(crate) end: Position,
    pub(crate) reading: Reading,
}

/// Where an instance stands in each topic.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct ReadStates([ReadState; Topic::ALL.len()]);

impl ReadStates {
    pub(crate) fn of(&self, topic: Topic) -> ReadState {
        self.0[topic.index()]
    }

    pub(crate) fn set(&mut self, topic: Topic, stand: ReadState) {
        self.0[topic.index()] = stand;
    }
}

/// A record as a peer tells it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct RelayedRecord {
    pub(crate) key: String,
    pub(crate) value: Option<Vec<u8>>,
    pub(crate) offset: u64,
    /// The most milliseconds for which it can have been there when it was told; `None` if that is not
    /// known.
    pub(crate) age_ms: Option<u64>,
}

/// Records that follow one another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Batch {
    pub(crate) topic: Topic,
    /// The position of the first.
    pub(crate) from: Position,
    /// The position after the last.
    pub(crate) next: Position,
    pub(crate) records: Vec<RelayedRecord>,
}

/// The newest record of each key of a topic.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct TopicSnapshot {
    /// The position up to which the topic was read.
    pub(crate) end: Position,
    /// The most milliseconds since when records may have come that are not among these; `None` if that is
    /// not known.
    pub(crate) age_ms: Option<u64>,
    pub(crate) records: Vec<RelayedRecord>,
}

/// The newest record of each key, kept for instances that start.
#[derive(Debug, Default)]
struct Cache {
    records: BTreeMap<String, Record>,
    /// Whether the topic was read as a whole, and is short enough for a message.
    is_complete: bool,
}

/// What peers told of a topic.
#[derive(Debug, Default)]
pub(crate) struct Inbox {
    batches: Mutex<VecDeque<Batch>>,
    cache: Mutex<Cache>,
    /// Says that something came.
    pub(crate) added: Notify,
    /// The furthest position up to which a peer has read.
    pub(crate) end: watch::Sender<Position>,
}

impl Inbox {
    /// Takes in how far a peer has read.
    pub(crate) fn observe_end(&self, end: Position) {
        let is_further = self.end.send_if_modified(|known| {
            let is_further = end > *known;
            *known = end.max(*known);
            is_further
        });
        if is_further {
            self.added.notify_one();
        }
    }

    /// Takes in that the topic ends at `end`, whatever peers told.
    pub(crate) fn truncate_end(&self, end: Position) {
        self.end.send_modify(|told| *told = end.min(*told));
    }

    /// Adds records that a peer told.
    pub(crate) fn push(&self, batch: Batch) {
        let mut batches = self.lock();
        if batches.len() < MAX_QUEUED_BATCHES {
            batches.push_back(batch);
        }
        drop(batches);
        self.added.notify_one();
    }

    /// Takes the oldest records that a peer told.
    pub(crate) fn pop(&self) -> Option<Batch> {
        self.lock().pop_front()
    }

    /// Keeps the newest records for instances that start. `is_whole` says that they are all, so that what
    /// was kept before is gone.
    pub(crate) fn cache(&self, records: &[Record], is_complete: bool) {
        let mut cache = self.cache.lock().expect("no holder of the lock panics");
        if is_complete {
            *cache = Cache {
                records: BTreeMap::new(),
                is_complete,
            };
        }
        for record in records {
            if record.value.is_some() {
                cache.records.insert(record.key.clone(), record.clone());
            } else {
                cache.records.remove(&record.key);
            }
        }
        let bytes: usize = cache.records.values().map(record_bytes).sum();
        if bytes > MAX_SNAPSHOT_BYTES {
            // It is not told again before the topic was read anew.
            *cache = Cache::default();
        }
    }

    /// Returns the newest records and where they end, if they were all read and are short enough.
    pub(crate) fn snapshot(&self, end: Position) -> Option<TopicSnapshot> {
        let cache = self.cache.lock().expect("no holder of the lock panics");
        let records = cache.records.values().map(|record| RelayedRecord {
            key: record.key.clone(),
            value: record.value.as_ref().map(|value| value.to_vec()),
            offset: record.offset,
            age_ms: None,
        });
        cache.is_complete.then(|| TopicSnapshot {
            end,
            age_ms: None,
            records: records.collect(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Batch>> {
        self.batches.lock().expect("no holder of the lock panics")
    }
}

/// The inbox of each topic.
#[derive(Debug, Default)]
pub(crate) struct Inboxes([Inbox; Topic::ALL.len()]);

impl Inboxes {
    pub(crate) fn of(&self, topic: Topic) -> &Inbox {
        &self.0[topic.index()]
    }
}

fn record_bytes(record: &Record) -> usize {
    record.key.len() + record.value.as_ref().map_or(0, Bytes::len)
}
