//! Derives from the reads of a topic how old the records that they returned may be.
//!
//! The age of a record counts from its acknowledgement and not from the read that returned it. The
//! two differ when the process started later, when the topic could not be read for a while (a
//! failure, or a connection that went silent), or when the process itself was paused.

use std::time::Duration;

use ploverwick_names::Moment;

use crate::Since;

/// The duration up to which a read may have found its records already there: connecting takes up to
/// 1 s, and answering a few ms. A read that took longer was waiting when the records arrived.
const IMMEDIATE_READ: Duration = Duration::from_millis(1_200);
/// The time up to which one process has read a topic that it follows.
#[derive(Debug, Default)]
pub struct Watermark {
    /// The watermark: records not read so far were acknowledged after it.
    read_up_to: Option<Moment>,
    /// When the current read was started.
    read_began: Moment,
    /// Whether the previous read succeeded.
    last_read_succeeded: bool,
    /// When the process last ticked.
    last_tick: Moment,
    /// The tick before the last one. Records that had arrived by then would have been processed: a
    /// process that was paused since may tick once before it processes what arrived during the
    /// pause, but not twice.
    previous_tick: Moment,
    /// The earliest time at which the last record of the last read may have been acknowledged.
    last_read: Option<Moment>,
}

impl Watermark {
    /// Records that the process is running. A record's age may be overestimated by up to twice the
    /// interval between ticks.
    pub fn tick(&mut self, now: Moment) {
        self.previous_tick = self.last_tick;
        self.last_tick = now;
    }

    /// Records the start of a read.
    pub fn begin_read(&mut self, now: Moment) {
        self.read_began = now;
    }

    /// Records that a read failed or was abandoned.
    pub fn fail_read(&mut self) {
        self.last_read_succeeded = false;
    }

    /// Records that a read returned the whole topic, and returns the earliest time at which its new
    /// records may have been acknowledged.
    pub fn finish_full_read(&mut self) -> Since {
        self.last_read = self.read_up_to;
        self.advance(self.read_began);
        self.last_read()
    }

    /// Records that a read continued from the last one, and returns the earliest time at which its
    /// records may have been acknowledged.
    pub fn finish_tail_read(&mut self, now: Moment) -> Since {
        let has_waited = self.last_read_succeeded && now.since(self.read_began) > IMMEDIATE_READ;
        if has_waited {
            self.advance(self.previous_tick);
            self.last_read = self.read_up_to;
        } else {
            self.last_read = self.read_up_to;
            self.advance(self.read_began);
        }
        self.last_read()
    }

    /// Returns the earliest time at which the last record of the last read may have been
    /// acknowledged.
    pub fn last_read(&self) -> Since {
        self.last_read.map_or(Since::LongAgo, Since::NotBefore)
    }

    /// Applies a record relayed by another process, and returns the earliest time at which it may
    /// have been acknowledged. `age` is an upper bound on the age of that record and all later ones
    /// when it was relayed.
    ///
    /// The message may have been in transit since this process was last known to run.
    pub fn apply_relayed(&mut self, age: Option<Duration>) -> Since {
        // Records older than this process cannot be told apart from much older ones.
        let known = age.filter(|age| *age < self.previous_tick.since(Moment(0)));
        if let Some(age) = known {
            self.read_up_to = self.read_up_to.max(Some(self.previous_tick - age));
        }
        self.unread()
    }

    /// Returns the earliest time at which a record that has not been read yet may have been
    /// acknowledged.
    pub fn unread(&self) -> Since {
        self.read_up_to.map_or(Since::LongAgo, Since::NotBefore)
    }

    fn advance(&mut self, moment: Moment) {
        self.read_up_to = self.read_up_to.max(Some(moment));
        self.last_read_succeeded = true;
    }
}
