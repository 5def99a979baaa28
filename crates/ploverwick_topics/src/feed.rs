//! One instance's place in a topic, and what it does next.

use std::time::Duration;

use ploverwick_names::Moment;

use crate::{Circle, Position};

/// How long a process that starts waits before it reads on: until then it has heard its peers, and most
/// of them read for it. Where all instances start at once this saves one call of each.
const SETTLED: Duration = Duration::from_secs(1);
/// How long what others told may stay away before an instance reads it itself: a datagram was lost, or
/// the record is too long for one. Records that come in quick succession are read at once then. Bounds on
/// how late a configuration may be begin at 2 s.
const BEHIND: Duration = Duration::from_millis(300);
/// The longest such wait. Between the two, instances read at moments of their own.
const LONGEST_BEHIND: Duration = Duration::from_millis(800);
/// How often an instance looks that nobody tells anything, though it hears peers: those that should read
/// cannot. Instances that can reach the store while they cannot must not be deaf; other failure domains
/// tell where the topic ends, so that this is the last resort.
const UNTOLD: Duration = Duration::from_millis(2_400);
/// How many times that pause doubles while looks fail: the store may be away for all, and each call is
/// priced, also one that fails.
const MOST_DOUBLINGS: u32 = 2;
/// How many times the pause doubles after which a record that others told of is asked for again.
const MOST_RETRY_DOUBLINGS: u32 = 3;
/// How often an instance that rests looks whether others read for it.
const LOOK: Duration = Duration::from_millis(250);

/// What an instance does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Reads the newest record of each key.
    ReadAll,
    /// Reads on from a position.
    ReadOn {
        /// The position to read from.
        from: Position,
        /// Whether the read waits for a record if there is none.
        waits: bool,
    },
    /// Does nothing until a moment, unless it is told something before.
    Rest {
        /// The moment.
        until: Moment,
    },
}

/// How records that a peer tells fit what is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fit {
    /// They are the next ones.
    Next,
    /// They are known.
    Known,
    /// Others between were missed.
    Gap,
}

/// One instance's place in a topic.
#[derive(Debug)]
pub struct Feed {
    began: Moment,
    /// How long it waits for what others told of, for instances to read at different moments.
    patience: Duration,
    /// The position after the last record that it has.
    next: Option<Position>,
    /// Where the topic ends as others tell, and since when that is further than this instance has read.
    told: Position,
    behind: Option<Moment>,
    /// When it read last, or tried to.
    asked: Moment,
    /// The reads that failed since the last one that did not.
    failed: u32,
}

impl Feed {
    /// Begins to follow a topic. `chance`, from 0 to 1, differs by instance.
    pub fn new(chance: f64, now: Moment) -> Self {
        let spread = LONGEST_BEHIND.saturating_sub(BEHIND);
        Self {
            began: now,
            patience: BEHIND + spread.mul_f64(chance.clamp(0.0, 1.0)),
            next: None,
            told: Position::default(),
            behind: None,
            asked: now,
            failed: 0,
        }
    }

    /// Returns the position after the last record that is known; `None` before the first read.
    pub fn next(&self) -> Option<Position> {
        self.next
    }

    /// Decides what to do.
    pub fn step(&self, circle: Circle, now: Moment) -> Step {
        let Some(from) = self.next else {
            return Step::ReadAll;
        };
        let due = self.behind.map(|since| since + self.patience);
        let due = due.map(|due| due.max(self.retry_at()));
        if due.is_some_and(|due| due <= now) {
            // Offsets of an earlier era are not valid in a later one.
            if self.told.era > from.era {
                return Step::ReadAll;
            }
            return Step::ReadOn { from, waits: false };
        }
        let settled = self.began + SETTLED;
        let wake = |at: Moment| Step::Rest {
            until: due.map_or(at, |due| due.min(at)),
        };
        match circle {
            Circle::Reads if now < settled => wake(settled),
            Circle::Reads => Step::ReadOn { from, waits: true },
            Circle::Told => wake(now + LOOK),
            Circle::Untold if self.look_at() <= now => Step::ReadOn { from, waits: false },
            Circle::Untold => wake(self.look_at().min(now + LOOK)),
        }
    }

    /// Returns when to look that nobody tells anything.
    fn look_at(&self) -> Moment {
        self.asked + UNTOLD * 2_u32.pow(self.failed.min(MOST_DOUBLINGS))
    }

    /// Returns when a read may go out after those that failed.
    fn retry_at(&self) -> Moment {
        if self.failed == 0 {
            return self.began;
        }
        self.asked + BEHIND * 2_u32.pow(self.failed.min(MOST_RETRY_DOUBLINGS))
    }

    /// Takes in that a read failed.
    pub fn fail(&mut self) {
        self.failed += 1;
    }

    /// Takes in that a read goes out.
    pub fn ask(&mut self, now: Moment) {
        self.asked = now;
    }

    /// Takes in that all before `next` is known now.
    pub fn read(&mut self, next: Position) {
        self.next = Some(next);
        self.failed = 0;
        // A peer has reported a later era, so the topic has to be read again.
        if self.told.era > next.era {
            return;
        }
        // Whoever told of more was wrong; what it said is not asked after again.
        self.told = next;
        self.behind = None;
    }

    /// Takes in that the records after the last known one are gone.
    pub fn lose(&mut self) {
        self.next = None;
    }

    /// Takes in that a peer tells the records from `from` to before `next`. Those that fit are known from
    /// now on.
    pub fn hear(&mut self, from: Position, next: Position, now: Moment) -> Fit {
        match self.next {
            Some(known) if next <= known => Fit::Known,
            Some(known) if from <= known && from.era == known.era => {
                self.next = Some(next);
                if self.told <= next {
                    self.behind = None;
                }
                Fit::Next
            }
            Some(_) | None => {
                self.hear_end(next, now);
                Fit::Gap
            }
        }
    }

    /// Takes in how far a peer has read.
    pub fn hear_end(&mut self, end: Position, now: Moment) {
        self.told = self.told.max(end);
        if self.next.is_some_and(|next| self.told > next) {
            self.behind.get_or_insert(now);
        }
    }
}
