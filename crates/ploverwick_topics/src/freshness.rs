//! What proves that all records of a topic up to a moment are known.
//!
//! Whoever must not act on what was taken back long ago needs more than the newest record that it heard of:
//! it needs to know that there was no newer one. A read of the store that found the topic's end proves that
//! as of the moment at which it was asked for, and a peer's word proves it as of the peer's proof. The word
//! answers a question, and its age counts from when the question was asked, so that neither a slow network
//! nor a peer that stood still makes a proof younger than it is.

use std::collections::VecDeque;
use std::time::Duration;

use ploverwick_names::Moment;

use crate::Position;

/// The part of the bound after which the first instance of a failure domain reads the store. Each read is
/// a priced call: at a bound of 5 s one a second in each failure domain.
const FIRST_READS: f64 = 0.2;
/// How much longer the second and third ones wait for the first one's word.
const NEXT_READS: f64 = 0.16;
/// How much longer each further one waits, so that not all read at once where nobody answers.
const SPREAD: f64 = 0.004;
/// The most instances that are spread.
const MOST_SPREAD: usize = 25;
/// The part of the bound between questions to peers.
const ASKS: f64 = 0.12;
/// The same before anything is proven: requests wait for it.
const FIRST_ASKS: f64 = 0.02;
/// The part of the bound after which peers of all failure domains are asked.
const ASKS_ALL: f64 = 0.4;
/// The part of the bound after a read that failed until the next one; it doubles with each.
const AGAIN: f64 = 0.06;
/// How often that doubles: up to about half of the bound for those that read first, and twice the bound
/// for the others. Where the whole store is away each call is in vain, and priced.
const MOST_DOUBLINGS: [u32; 2] = [3, 5];
/// The instances of a failure domain that read first.
const READERS: usize = 2;
/// Statements that wait until their records are known.
const MOST_STATEMENTS: usize = 8;

/// What is done next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// Nothing until a moment.
    Nothing {
        /// The moment.
        until: Moment,
    },
    /// Ask a reading peer of this failure domain.
    AskNear,
    /// Ask reading peers of all failure domains.
    AskAll,
    /// Read the store.
    Read,
}

/// Where a topic ended at some moment or later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Statement {
    /// The position after the last record: all that was acknowledged before the moment lies before it.
    pub end: Position,
    /// The moment in milliseconds since the process started, negative for an earlier one: a peer may have
    /// known the end before this process began.
    at_ms: i64,
}

impl Statement {
    /// States where the topic ended at `at` or later.
    pub fn new(end: Position, at: Moment) -> Self {
        Self::aged(end, at, Duration::ZERO)
    }

    /// States where the topic ended at `age` before `at`, or later.
    pub fn aged(end: Position, at: Moment, age: Duration) -> Self {
        let age_ms = i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
        Self {
            end,
            at_ms: signed(at).saturating_sub(age_ms),
        }
    }

    /// Returns the time since its moment.
    pub fn age(&self, now: Moment) -> Duration {
        let ms = signed(now).saturating_sub(self.at_ms);
        Duration::from_millis(u64::try_from(ms).unwrap_or(0))
    }

    /// Returns the moment at which it will have an age, or the start of the process if that was before.
    fn aged_at(&self, age: Duration) -> Moment {
        let age_ms = i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
        let ms = self.at_ms.saturating_add(age_ms);
        Moment(u64::try_from(ms).unwrap_or(0))
    }
}

fn signed(moment: Moment) -> i64 {
    i64::try_from(moment.0).unwrap_or(i64::MAX)
}

/// What one instance can prove of the age of what it knows of a topic.
#[derive(Debug, Default)]
pub struct Freshness {
    /// The position after the last record that is known.
    next: Position,
    /// The newest statement whose records are all known.
    proven: Option<Statement>,
    /// Newer ones whose records are not all known, the oldest first.
    pending: VecDeque<Statement>,
    asked: Option<Moment>,
    read: Option<Moment>,
    /// Reads that failed since the last one that did not.
    failed: u32,
}

impl Freshness {
    /// Takes in where the topic ended.
    pub fn stated(&mut self, statement: Statement) {
        if self
            .proven
            .is_some_and(|known| known.at_ms >= statement.at_ms)
        {
            return;
        }
        if statement.end <= self.next {
            return self.prove(statement);
        }
        let at = self
            .pending
            .partition_point(|other| other.at_ms < statement.at_ms);
        self.pending.insert(at, statement);
        if self.pending.len() > MOST_STATEMENTS {
            self.pending.pop_front();
        }
    }

    /// Takes in that all records before `next` are known.
    pub fn known(&mut self, next: Position) {
        self.next = next;
        let newest = self.pending.iter().rev().find(|one| one.end <= next);
        if let Some(newest) = newest.copied() {
            self.prove(newest);
        }
    }

    fn prove(&mut self, statement: Statement) {
        self.proven = Some(statement);
        self.pending.retain(|other| other.at_ms > statement.at_ms);
    }

    /// Returns the newest statement whose records are all known.
    pub fn proven(&self) -> Option<Statement> {
        self.proven
    }

    /// Returns how old what is known can be; `None` if nothing is proven.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.proven.map(|proven| proven.age(now))
    }

    /// Decides what to do so that the age stays below `bound`. `rank` is how many instances of this failure
    /// domain come before this one.
    pub fn need(&self, rank: usize, bound: Duration, now: Moment) -> Need {
        let read_at = self.read_at(rank, bound);
        if read_at <= now {
            return Need::Read;
        }
        let ask_at = self.ask_at(rank, bound);
        if ask_at > now {
            return Need::Nothing {
                until: read_at.min(ask_at),
            };
        }
        let is_old = self
            .age(now)
            .is_some_and(|age| age >= bound.mul_f64(ASKS_ALL));
        if is_old { Need::AskAll } else { Need::AskNear }
    }

    fn read_at(&self, rank: usize, bound: Duration) -> Moment {
        let later = rank.min(READERS) as f64 * NEXT_READS;
        let spread = rank.saturating_sub(READERS).min(MOST_SPREAD) as f64 * SPREAD;
        let due = match self.proven {
            Some(proven) => proven.aged_at(bound.mul_f64(FIRST_READS + later + spread)),
            None => Moment(0) + bound.mul_f64(later + spread),
        };
        let is_reader = rank < READERS;
        let doublings = self.failed.min(MOST_DOUBLINGS[usize::from(!is_reader)]);
        let again = bound.mul_f64(AGAIN) * 2_u32.pow(doublings);
        self.read.map_or(due, |read| due.max(read + again))
    }

    fn ask_at(&self, rank: usize, bound: Duration) -> Moment {
        let pause = match self.proven {
            Some(_) => bound.mul_f64(ASKS),
            None => bound.mul_f64(FIRST_ASKS),
        };
        // The first one asks only once its own reads fail.
        let due = match self.proven {
            Some(proven) if rank == 0 => proven.aged_at(bound.mul_f64(FIRST_READS + NEXT_READS)),
            Some(proven) => proven.aged_at(pause),
            None => Moment(0),
        };
        self.asked.map_or(due, |asked| due.max(asked + pause))
    }

    /// Takes in that peers are asked.
    pub fn asks(&mut self, now: Moment) {
        self.asked = Some(now);
    }

    /// Takes in that the store is read.
    pub fn reads(&mut self, now: Moment) {
        self.read = Some(now);
        self.failed += 1;
    }

    /// Takes in that a read of the store was answered.
    pub fn answered(&mut self) {
        self.failed = 0;
    }
}
