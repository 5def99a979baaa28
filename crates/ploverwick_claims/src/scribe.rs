//! Gathers claims into batches and answers them once the log shows how they ended.

use std::collections::BTreeMap;
use std::time::Duration;

use ploverwick_names::{Moment, Offset, Request};

use crate::partition::{Holder, Partition, Record, in_window};

/// The most claims appended as one batch.
const MAX_BATCH: usize = 512;

/// Spans that a scribe keeps to.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// How often a batch is appended.
    pub batch: Duration,
    /// How long a key is remembered.
    pub window: Duration,
    /// How long the log may take to confirm.
    pub timeout: Duration,
}

/// How a claim ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The request holds the key.
    Won,
    /// Another request holds the key.
    Lost(Holder),
    /// The key is outside the window, or records of its time are lost.
    Expired,
    /// The log did not confirm in time. The claim may still take effect.
    Unconfirmed,
}

/// An answer to give.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The request that asked.
    pub request: Request,
    /// How its claim ended.
    pub outcome: Outcome,
}

/// A claim to decide.
#[derive(Debug, Clone)]
pub struct Ask {
    /// What would be appended.
    pub record: Record,
    /// When the key was made, in milliseconds since the Unix epoch.
    pub made_ms: u64,
}

#[derive(Debug)]
struct Waiting {
    record: Record,
    asked: Moment,
}

/// The scribe of one partition.
#[derive(Debug)]
pub struct Scribe {
    config: Config,
    partition: Partition,
    waiting: BTreeMap<Request, Waiting>,
    unsent: Vec<Record>,
    caught_up: bool,
    appending: bool,
    last_batch: Option<Moment>,
}

impl Scribe {
    /// Starts before the first record of the stream.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            partition: Partition::new(),
            waiting: BTreeMap::new(),
            unsent: Vec::new(),
            caught_up: false,
            appending: false,
            last_batch: None,
        }
    }

    /// Returns the partition as far as it was read.
    pub fn partition(&self) -> &Partition {
        &self.partition
    }

    /// Returns the number of claims that wait for the log.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes a claim or a forfeit in. An answer that needs no append is given at once.
    pub fn ask(&mut self, ask: Ask, now_ms: u64, now: Moment) -> Option<Answer> {
        let request = ask.record.request.clone();
        let answer = |outcome| {
            Some(Answer {
                request: request.clone(),
                outcome,
            })
        };
        if ask.record.forfeit {
            self.unsent.push(ask.record);
            return answer(Outcome::Won);
        }
        if !in_window(ask.made_ms, now_ms, self.config.window) {
            return answer(Outcome::Expired);
        }
        if !self.partition.covers(ask.made_ms) {
            return answer(Outcome::Expired);
        }
        if let Some(holder) = self.partition.holder(&ask.record.key) {
            // The fold may lag, but a held key can only have been forfeited since: losing is safe.
            let mine = holder.request == ask.record.request;
            let outcome = if mine {
                Outcome::Won
            } else {
                Outcome::Lost(holder.clone())
            };
            return answer(outcome);
        }
        self.unsent.push(ask.record.clone());
        let waiting = Waiting {
            record: ask.record,
            asked: now,
        };
        self.waiting.insert(request, waiting);
        None
    }

    /// Returns the next batch to append, if one is due.
    pub fn batch(&mut self, now: Moment) -> Option<Vec<Record>> {
        let due = self
            .last_batch
            .is_none_or(|last| now >= last + self.config.batch);
        if self.unsent.is_empty() || self.appending || !due || !self.caught_up {
            return None;
        }
        self.last_batch = Some(now);
        self.appending = true;
        let count = self.unsent.len().min(MAX_BATCH);
        Some(self.unsent.drain(..count).collect())
    }

    /// Says that an append ended. Its effect is learned from the stream alone.
    pub fn appended(&mut self) {
        self.appending = false;
    }

    /// Says that an append certainly had no effect, so that its records are sent again.
    pub fn not_appended(&mut self, records: Vec<Record>) {
        self.appending = false;
        let wanted = records
            .into_iter()
            .filter(|record| record.forfeit || self.waiting.contains_key(&record.request));
        let again: Vec<Record> = wanted.collect();
        self.unsent.splice(0..0, again);
    }

    /// Takes the next record of the stream into account.
    pub fn apply(&mut self, offset: Offset, at_ms: u64, record: &Record) -> Option<Answer> {
        self.partition.apply(offset, at_ms, record);
        if record.forfeit {
            return None;
        }
        let waiting = self.waiting.remove(&record.request)?;
        let holder = self.partition.holder(&waiting.record.key)?;
        let outcome = if holder.request == record.request {
            Outcome::Won
        } else {
            Outcome::Lost(holder.clone())
        };
        Some(Answer {
            request: record.request.clone(),
            outcome,
        })
    }

    /// Says that the stream was read to its end.
    pub fn caught_up(&mut self) {
        self.caught_up = true;
    }

    /// Gives up claims that have waited too long, and forgets old keys.
    pub fn tick(&mut self, now_ms: u64, now: Moment) -> Vec<Answer> {
        self.partition.expire(now_ms, self.config.window);
        let timeout = self.config.timeout;
        let late: Vec<Request> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| now >= waiting.asked + timeout)
            .map(|(request, _)| request.clone())
            .collect();
        let answers = late.into_iter().map(|request| {
            self.waiting.remove(&request);
            self.unsent
                .retain(|record| record.request != request || record.forfeit);
            Answer {
                request,
                outcome: Outcome::Unconfirmed,
            }
        });
        answers.collect()
    }
}
