//! Batches the claims of a partition and answers them once the log shows their outcome.

use std::collections::BTreeMap;
use std::time::Duration;

use ploverwick_names::{Moment, Offset, Request};

use crate::partition::{Holder, Partition, Record, in_window};

/// The maximum number of records in one batch.
const MAX_BATCH_RECORDS: usize = 512;

/// Intervals and timeouts of a scribe.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// The minimum interval between batches.
    pub batch_interval: Duration,
    /// How long a key is remembered.
    pub window: Duration,
    /// How long the log may take to confirm a claim.
    pub timeout: Duration,
}

/// The outcome of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The request holds the key.
    Won,
    /// Another request holds the key.
    Lost(Holder),
    /// The key is outside the window, or records from the time of the key are lost.
    Expired,
    /// The log did not confirm in time. The claim may still take effect.
    Unconfirmed,
}

/// The answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The request that submitted the claim.
    pub request: Request,
    /// The outcome of its claim.
    pub outcome: Outcome,
}

/// A claim or forfeit to append.
#[derive(Debug, Clone)]
pub struct ClaimRequest {
    /// The record to append.
    pub record: Record,
    /// When the key was created, in milliseconds since the Unix epoch.
    pub made_ms: u64,
}

#[derive(Debug)]
struct PendingClaim {
    record: Record,
    submitted_at: Moment,
}

/// Batches and answers the claims of one partition. It does no I/O itself: the caller appends its
/// batches and passes it the records of the stream.
#[derive(Debug)]
pub struct Scribe {
    config: Config,
    partition: Partition,
    pending: BTreeMap<Request, PendingClaim>,
    unsent: Vec<Record>,
    caught_up: bool,
    appending: bool,
    last_batch: Option<Moment>,
}

impl Scribe {
    /// Creates a scribe that has read no records of the stream.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            partition: Partition::new(),
            pending: BTreeMap::new(),
            unsent: Vec::new(),
            caught_up: false,
            appending: false,
            last_batch: None,
        }
    }

    /// Returns the partition's state as far as the stream was read.
    pub fn partition(&self) -> &Partition {
        &self.partition
    }

    /// Returns the number of claims that await confirmation by the log.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Accepts a claim or a forfeit. A forfeit is queued and answered with [`Outcome::Won`]. A
    /// claim is answered if its outcome is already known, and queued otherwise.
    pub fn submit(&mut self, claim: ClaimRequest, now_ms: u64, now: Moment) -> Option<Answer> {
        let request = claim.record.request.clone();
        let answer = |outcome| {
            Some(Answer {
                request: request.clone(),
                outcome,
            })
        };
        if claim.record.forfeit {
            self.unsent.push(claim.record);
            return answer(Outcome::Won);
        }
        if !in_window(claim.made_ms, now_ms, self.config.window) {
            return answer(Outcome::Expired);
        }
        if !self.partition.covers(claim.made_ms) {
            return answer(Outcome::Expired);
        }
        if let Some(holder) = self.partition.holder(&claim.record.key) {
            // The partition's state may lag behind the log, but a held key can only have been
            // forfeited since, so it is safe to report the claim as lost.
            let is_holder = holder.request == claim.record.request;
            let outcome = if is_holder {
                Outcome::Won
            } else {
                Outcome::Lost(holder.clone())
            };
            return answer(outcome);
        }
        self.unsent.push(claim.record.clone());
        let pending = PendingClaim {
            record: claim.record,
            submitted_at: now,
        };
        self.pending.insert(request, pending);
        None
    }

    /// Returns the next batch to append, if one is due.
    pub fn batch(&mut self, now: Moment) -> Option<Vec<Record>> {
        let due = self
            .last_batch
            .is_none_or(|last| now >= last + self.config.batch_interval);
        if self.unsent.is_empty() || self.appending || !due || !self.caught_up {
            return None;
        }
        self.last_batch = Some(now);
        self.appending = true;
        let count = self.unsent.len().min(MAX_BATCH_RECORDS);
        Some(self.unsent.drain(..count).collect())
    }

    /// Records the end of an append that may have taken effect. Only the stream shows whether it
    /// has.
    pub fn appended(&mut self) {
        self.appending = false;
    }

    /// Requeues the records of an append that certainly had no effect, except claims that are no
    /// longer pending.
    pub fn not_appended(&mut self, records: Vec<Record>) {
        self.appending = false;
        let still_needed = records
            .into_iter()
            .filter(|record| record.forfeit || self.pending.contains_key(&record.request));
        let retried: Vec<Record> = still_needed.collect();
        self.unsent.splice(0..0, retried);
    }

    /// Applies the next record of the stream. Returns the answer to the pending claim that the
    /// record decides, if any.
    pub fn apply(&mut self, offset: Offset, at_ms: u64, record: &Record) -> Option<Answer> {
        self.partition.apply(offset, at_ms, record);
        if record.forfeit {
            return None;
        }
        let pending = self.pending.remove(&record.request)?;
        let holder = self.partition.holder(&pending.record.key)?;
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

    /// Records that the stream was read to its end. Batches are appended only after that.
    pub fn caught_up(&mut self) {
        self.caught_up = true;
    }

    /// Answers claims that have timed out, and removes expired keys.
    pub fn tick(&mut self, now_ms: u64, now: Moment) -> Vec<Answer> {
        self.partition.expire(now_ms, self.config.window);
        let timeout = self.config.timeout;
        let timed_out: Vec<Request> = self
            .pending
            .iter()
            .filter(|(_, pending)| now >= pending.submitted_at + timeout)
            .map(|(request, _)| request.clone())
            .collect();
        let answers = timed_out.into_iter().map(|request| {
            self.pending.remove(&request);
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
