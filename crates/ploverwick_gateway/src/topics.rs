//! The topics of the store that a few instances read for the others, and the records that peers relay.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard};

use bytes::Bytes;
use ploverwick_platform::store::Record;
use ploverwick_topics::{Position, Reading};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};

/// The maximum size of the newest records of a topic that are cached for instances that start. They read a
/// larger topic from the store.
const MAX_SNAPSHOT_BYTES: usize = 2 * 1_024 * 1_024;
/// The maximum number of batches that wait to be processed. More arrive only while the process is stalled;
/// records of dropped batches are read from the store.
const MAX_QUEUED_BATCHES: usize = 64;

/// A topic whose records instances relay to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Topic {
    /// The records that the operator writes.
    Operator,
    /// The list of instances.
    Instances,
    /// The operators' table.
    Table,
    /// The requests that are refused because endpoints crash on them.
    Quarantine,
}

impl Topic {
    /// All topics, each at its index.
    pub(crate) const ALL: [Self; 4] = [
        Self::Operator,
        Self::Instances,
        Self::Table,
        Self::Quarantine,
    ];

    /// Returns the name used in logs and metrics.
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

/// How far an instance has read each topic.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct ReadStates([ReadState; Topic::ALL.len()]);

impl ReadStates {
    pub(crate) fn of(&self, topic: Topic) -> ReadState {
        self.0[topic.index()]
    }

    pub(crate) fn set(&mut self, topic: Topic, read_state: ReadState) {
        self.0[topic.index()] = read_state;
    }
}

/// A record that a peer relays.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct RelayedRecord {
    pub(crate) key: String,
    pub(crate) value: Option<Vec<u8>>,
    pub(crate) offset: u64,
    /// The maximum age of the record in milliseconds when it was relayed; `None` if it is unknown.
    pub(crate) age_ms: Option<u64>,
}

/// Consecutive records of a topic.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Batch {
    pub(crate) topic: Topic,
    /// The position of the first record.
    pub(crate) from: Position,
    /// The position after the last record.
    pub(crate) next: Position,
    pub(crate) records: Vec<RelayedRecord>,
}

/// The newest record of each key of a topic.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct TopicSnapshot {
    /// The position up to which the topic was read.
    pub(crate) end: Position,
    /// The maximum age in milliseconds of records that are not included; `None` if it is unknown.
    pub(crate) age_ms: Option<u64>,
    pub(crate) records: Vec<RelayedRecord>,
}

/// The newest record of each key, cached for instances that start.
#[derive(Debug, Default)]
struct Cache {
    records: BTreeMap<String, Record>,
    /// Whether the topic has been read completely and fits into `MAX_SNAPSHOT_BYTES`.
    is_complete: bool,
}

/// What peers sent about a topic.
#[derive(Debug, Default)]
pub(crate) struct Inbox {
    batches: Mutex<VecDeque<Batch>>,
    cache: Mutex<Cache>,
    /// Signals that a batch or a later end has arrived.
    pub(crate) added: Notify,
    /// The latest position up to which a peer has read.
    pub(crate) end: watch::Sender<Position>,
}

impl Inbox {
    /// Records how far a peer has read.
    pub(crate) fn observe_end(&self, end: Position) {
        let is_later = self.end.send_if_modified(|known| {
            let is_later = end > *known;
            *known = end.max(*known);
            is_later
        });
        if is_later {
            self.added.notify_one();
        }
    }

    /// Lowers the reported end to `end`, the end that the store returned.
    pub(crate) fn truncate_end(&self, end: Position) {
        self.end.send_modify(|known| *known = end.min(*known));
    }

    /// Adds records from a peer.
    pub(crate) fn push(&self, batch: Batch) {
        let mut batches = self.lock();
        if batches.len() < MAX_QUEUED_BATCHES {
            batches.push_back(batch);
        }
        drop(batches);
        self.added.notify_one();
    }

    /// Removes and returns the oldest batch from a peer.
    pub(crate) fn pop(&self) -> Option<Batch> {
        self.lock().pop_front()
    }

    /// Caches the newest records for instances that start. If `is_complete`, they are all records of the
    /// topic and replace the cache.
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
            // There is no snapshot until the topic has been read completely again.
            *cache = Cache::default();
        }
    }

    /// Returns the newest record of each key up to `end`, if the cache is complete.
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
