//! The topics of the store that few instances read for the others, and what peers tell of them.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard};

use ploverwick_topics::Reading;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};

/// Batches that wait to be taken in. More come only while the process is held up; what is dropped is
/// read from the store.
const MOST: usize = 64;

/// A topic of which peers tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Topic {
    /// What the operator writes.
    Operator,
    /// The list of instances.
    Instances,
    /// The operators' table.
    Table,
}

impl Topic {
    /// All of them, each at its index.
    pub(crate) const ALL: [Self; 3] = [Self::Operator, Self::Instances, Self::Table];

    fn index(self) -> usize {
        self as usize
    }
}

/// How far an instance has read a topic, and whether it reads it for others.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct Stand {
    pub(crate) end: u64,
    pub(crate) reading: Reading,
}

/// Where an instance stands in each topic.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct Stands([Stand; Topic::ALL.len()]);

impl Stands {
    pub(crate) fn of(&self, topic: Topic) -> Stand {
        self.0[topic.index()]
    }

    pub(crate) fn set(&mut self, topic: Topic, stand: Stand) {
        self.0[topic.index()] = stand;
    }
}

/// A record as a peer tells it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Told {
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
    /// The offset of the first.
    pub(crate) from: u64,
    /// The offset after the last.
    pub(crate) next: u64,
    pub(crate) records: Vec<Told>,
}

/// What peers told of a topic.
#[derive(Debug)]
pub(crate) struct Inbox {
    batches: Mutex<VecDeque<Batch>>,
    /// Says that something came.
    pub(crate) added: Notify,
    /// The furthest offset up to which a peer has read.
    pub(crate) end: watch::Sender<u64>,
}

impl Default for Inbox {
    fn default() -> Self {
        Self {
            batches: Mutex::default(),
            added: Notify::new(),
            end: watch::Sender::new(0),
        }
    }
}

impl Inbox {
    /// Takes in how far a peer has read.
    pub(crate) fn hear_end(&self, end: u64) {
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
    pub(crate) fn correct(&self, end: u64) {
        self.end.send_modify(|told| *told = end.min(*told));
    }

    /// Adds records that a peer told.
    pub(crate) fn push(&self, batch: Batch) {
        let mut batches = self.lock();
        if batches.len() < MOST {
            batches.push_back(batch);
        }
        drop(batches);
        self.added.notify_one();
    }

    /// Takes the oldest records that a peer told.
    pub(crate) fn pop(&self) -> Option<Batch> {
        self.lock().pop_front()
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
