//! Tracks how far one instance has read a topic and decides what it does next.

use std::time::Duration;

use ploverwick_names::Moment;

use crate::{Position, Role};

/// How long a reader waits after its process starts before the first long poll. By then it has received
/// messages from its peers, and usually finds that others read for it. When all instances start at once, this
/// saves one call per instance.
const STARTUP_WAIT: Duration = Duration::from_secs(1);
/// The minimum delay before an instance reads records that a peer reported but that did not arrive, because
/// a datagram was lost or the record is too long for one. Records in quick succession are then read in one
/// call. The tightest bound on the delay of a configuration is 2 s.
const MIN_CATCH_UP_DELAY: Duration = Duration::from_millis(300);
/// The maximum such delay. Each instance uses its own value between the two, so that reads are spread out.
const MAX_CATCH_UP_DELAY: Duration = Duration::from_millis(800);
/// How often an instance reads the store itself while its peers are alive but none of them reports that it
/// reads. The readers may be cut off from the store while this instance can reach it. This is the last
/// resort, because instances of other failure domains also report where the topic ends.
const FALLBACK_READ_INTERVAL: Duration = Duration::from_millis(2_400);
/// How many times that interval doubles while reads fail: the store may be unavailable to every instance,
/// and each call is charged for, even one that fails.
const MAX_FALLBACK_DOUBLINGS: u32 = 2;
/// How many times the delay doubles before a failed read of a reported record is retried.
const MAX_RETRY_DOUBLINGS: u32 = 3;
/// How often an idle instance rechecks whether others read for it.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// What an instance should do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Read the newest record of each key.
    ReadAll,
    /// Read the records from a position on.
    ReadOn {
        /// The position to read from.
        from: Position,
        /// Whether the read is a long poll that waits for a record if there is none.
        waits: bool,
    },
    /// Do nothing until a moment, unless a message arrives earlier.
    Idle {
        /// The moment.
        until: Moment,
    },
}

/// How records from a peer relate to the records that are known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fit {
    /// They continue the known records.
    Next,
    /// They are all known already.
    Known,
    /// Records in between are missing.
    Gap,
}

/// The position of one instance in a topic, and its pending reads.
#[derive(Debug)]
pub struct Subscription {
    started_at: Moment,
    /// The delay before it reads reported records itself; differs by instance to spread the reads out.
    catch_up_delay: Duration,
    /// The position after the last record that it knows.
    next: Option<Position>,
    /// The end of the topic as peers report it, and since when it has been beyond `next`.
    reported_end: Position,
    behind_since: Option<Moment>,
    /// When it last started a read, whether or not the read succeeded.
    last_read_at: Moment,
    /// The number of reads that failed since the last success.
    failed_reads: u32,
}

impl Subscription {
    /// Starts to follow a topic. `jitter`, from 0 to 1, should differ by instance.
    pub fn new(jitter: f64, now: Moment) -> Self {
        let spread = MAX_CATCH_UP_DELAY.saturating_sub(MIN_CATCH_UP_DELAY);
        Self {
            started_at: now,
            catch_up_delay: MIN_CATCH_UP_DELAY + spread.mul_f64(jitter.clamp(0.0, 1.0)),
            next: None,
            reported_end: Position::default(),
            behind_since: None,
            last_read_at: now,
            failed_reads: 0,
        }
    }

    /// Returns the position after the last record that is known; `None` before the first read.
    pub fn next(&self) -> Option<Position> {
        self.next
    }

    /// Returns what to do next.
    pub fn step(&self, role: Role, now: Moment) -> Step {
        let Some(from) = self.next else {
            return Step::ReadAll;
        };
        let due = self.behind_since.map(|since| since + self.catch_up_delay);
        let due = due.map(|due| due.max(self.retry_at()));
        if due.is_some_and(|due| due <= now) {
            // Offsets of an earlier era are invalid after a restore.
            if self.reported_end.era > from.era {
                return Step::ReadAll;
            }
            return Step::ReadOn { from, waits: false };
        }
        let startup_end = self.started_at + STARTUP_WAIT;
        let wake = |at: Moment| Step::Idle {
            until: due.map_or(at, |due| due.min(at)),
        };
        match role {
            Role::Reader if now < startup_end => wake(startup_end),
            Role::Reader => Step::ReadOn { from, waits: true },
            Role::Follower => wake(now + RECHECK_INTERVAL),
            Role::NoReader if self.fallback_read_at() <= now => Step::ReadOn { from, waits: false },
            Role::NoReader => wake(self.fallback_read_at().min(now + RECHECK_INTERVAL)),
        }
    }

    /// Returns when to read the store because no peer reports that it reads.
    fn fallback_read_at(&self) -> Moment {
        self.last_read_at
            + FALLBACK_READ_INTERVAL * 2_u32.pow(self.failed_reads.min(MAX_FALLBACK_DOUBLINGS))
    }

    /// Returns when the next read may start after failed ones.
    fn retry_at(&self) -> Moment {
        if self.failed_reads == 0 {
            return self.started_at;
        }
        self.last_read_at
            + MIN_CATCH_UP_DELAY * 2_u32.pow(self.failed_reads.min(MAX_RETRY_DOUBLINGS))
    }

    /// Records that a read failed.
    pub fn record_failure(&mut self) {
        self.failed_reads += 1;
    }

    /// Records that a read starts.
    pub fn start_read(&mut self, now: Moment) {
        self.last_read_at = now;
    }

    /// Records that a read succeeded and that all records before `next` are known.
    pub fn finish_read(&mut self, next: Position) {
        self.next = Some(next);
        self.failed_reads = 0;
        // A peer has reported a later era, so the topic has to be read again.
        if self.reported_end.era > next.era {
            return;
        }
        // A peer that reported a later end in this era was wrong, so its report is dropped.
        self.reported_end = next;
        self.behind_since = None;
    }

    /// Records that the store no longer has the records after the last known one, so that the whole topic
    /// must be read again.
    pub fn reset(&mut self) {
        self.next = None;
    }

    /// Records the receipt of the records from `from` up to but excluding `next` from a peer. They become
    /// known if they continue the known records.
    pub fn receive(&mut self, from: Position, next: Position, now: Moment) -> Fit {
        match self.next {
            Some(known) if next <= known => Fit::Known,
            Some(known) if from <= known && from.era == known.era => {
                self.next = Some(next);
                if self.reported_end <= next {
                    self.behind_since = None;
                }
                Fit::Next
            }
            Some(_) | None => {
                self.observe_end(next, now);
                Fit::Gap
            }
        }
    }

    /// Records the position up to which a peer has read.
    pub fn observe_end(&mut self, end: Position, now: Moment) {
        self.reported_end = self.reported_end.max(end);
        if self.next.is_some_and(|next| self.reported_end > next) {
            self.behind_since.get_or_insert(now);
        }
    }
}
