//! Proves that all records of a topic up to a moment are known.
//!
//! An instance that must stop honouring revoked data within a bound needs more than the newest record that
//! it received: it must know that there was no newer one. A read of the store that finds the end of the topic
//! proves this as of the moment at which the read started. A peer can pass its own proof on with the proof's
//! age. The age counts from when the request to the peer was sent, so that neither a slow network nor a
//! peer that was suspended makes a proof look younger than it is.

use std::collections::VecDeque;
use std::time::Duration;

use ploverwick_names::Moment;

use crate::Position;

/// The age of the proof, as a share of the bound, at which the first instance of a failure domain reads the
/// store. Each read is charged for: a bound of 5 s costs one call a second per failure domain.
const FIRST_READ_SHARE: f64 = 0.2;
/// The additional share of the bound per rank for which the second and third instances wait for a proof from
/// the first.
const NEXT_READER_DELAY_SHARE: f64 = 0.16;
/// The additional share for each further instance, so that they do not all read at once if no peer answers.
const SPREAD_SHARE: f64 = 0.004;
/// The maximum number of instances whose reads are spread out in this way.
const MAX_SPREAD_RANKS: usize = 25;
/// The interval between requests to peers, as a share of the bound.
const ASK_INTERVAL_SHARE: f64 = 0.12;
/// The same interval before the first proof, for which requests wait.
const FIRST_ASK_INTERVAL_SHARE: f64 = 0.02;
/// The age of the proof, as a share of the bound, at which peers of all failure domains are asked.
const ASK_ALL_AGE_SHARE: f64 = 0.4;
/// The delay before an unanswered read is retried, as a share of the bound; it doubles with each retry.
const RETRY_SHARE: f64 = 0.06;
/// How many times that delay doubles: up to about half of the bound for the readers, and twice the bound for
/// the other instances. While the whole store is unavailable, each call is charged for and achieves nothing.
const MAX_RETRY_DOUBLINGS: [u32; 2] = [3, 5];
/// The number of highest-ranked instances per failure domain that are the first to read the store.
const READERS_PER_DOMAIN: usize = 2;
/// The maximum number of proofs that are kept until their records are known.
const MAX_PENDING_PROOFS: usize = 8;

/// What an instance should do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Do nothing until a moment.
    Idle {
        /// The moment.
        until: Moment,
    },
    /// Ask a reader of this failure domain.
    AskDomain,
    /// Ask readers of all failure domains.
    AskAllDomains,
    /// Read the store.
    ReadStore,
}

/// Proves where a topic ended at a moment or later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proof {
    /// The position after the last record. Every record acknowledged before the moment lies before it.
    pub end: Position,
    /// The moment in milliseconds since the process started. It is negative for a proof that a peer obtained
    /// before this process started.
    at_ms: i64,
}

impl Proof {
    /// Creates a proof that the topic ended at `end` at the moment `at` or later.
    pub fn new(end: Position, at: Moment) -> Self {
        Self::with_age(end, at, Duration::ZERO)
    }

    /// Creates a proof that already had the given age at the moment `at`.
    pub fn with_age(end: Position, at: Moment, age: Duration) -> Self {
        let age_ms = i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
        Self {
            end,
            at_ms: signed_ms(at).saturating_sub(age_ms),
        }
    }

    /// Returns the time since the moment of the proof.
    pub fn age(&self, now: Moment) -> Duration {
        let ms = signed_ms(now).saturating_sub(self.at_ms);
        Duration::from_millis(u64::try_from(ms).unwrap_or(0))
    }

    /// Returns when the proof reaches `age`, or the start of the process if that is later.
    fn reaches_age_at(&self, age: Duration) -> Moment {
        let age_ms = i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
        let ms = self.at_ms.saturating_add(age_ms);
        Moment(u64::try_from(ms).unwrap_or(0))
    }
}

fn signed_ms(moment: Moment) -> i64 {
    i64::try_from(moment.0).unwrap_or(i64::MAX)
}

/// Tracks how recent the records that one instance knows of a topic are proven to be.
#[derive(Debug, Default)]
pub struct Freshness {
    /// The position after the last record that is known.
    next: Position,
    /// The newest proof whose records are all known.
    proven: Option<Proof>,
    /// Newer proofs whose records are not all known yet, oldest first.
    pending: VecDeque<Proof>,
    last_ask_at: Option<Moment>,
    last_read_at: Option<Moment>,
    /// The number of reads that started since the last answer.
    unanswered_reads: u32,
}

impl Freshness {
    /// Adds a proof from a read or from a peer.
    pub fn add_proof(&mut self, proof: Proof) {
        if self.proven.is_some_and(|known| known.at_ms >= proof.at_ms) {
            return;
        }
        if proof.end <= self.next {
            return self.accept(proof);
        }
        let at = self
            .pending
            .partition_point(|other| other.at_ms < proof.at_ms);
        self.pending.insert(at, proof);
        if self.pending.len() > MAX_PENDING_PROOFS {
            self.pending.pop_front();
        }
    }

    /// Records that all records before `next` are known.
    pub fn advance(&mut self, next: Position) {
        self.next = next;
        let newest = self.pending.iter().rev().find(|one| one.end <= next);
        if let Some(newest) = newest.copied() {
            self.accept(newest);
        }
    }

    fn accept(&mut self, proof: Proof) {
        self.proven = Some(proof);
        self.pending.retain(|other| other.at_ms > proof.at_ms);
    }

    /// Returns the newest proof whose records are all known.
    pub fn proof(&self) -> Option<Proof> {
        self.proven
    }

    /// Returns the maximum age of the known state, or `None` if there is no proof.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.proven.map(|proven| proven.age(now))
    }

    /// Returns what to do next to keep the age below `bound`. `rank` is the number of instances of this
    /// failure domain that rank before this one.
    pub fn next_action(&self, rank: usize, bound: Duration, now: Moment) -> Action {
        let read_at = self.read_at(rank, bound);
        if read_at <= now {
            return Action::ReadStore;
        }
        let ask_at = self.ask_at(rank, bound);
        if ask_at > now {
            return Action::Idle {
                until: read_at.min(ask_at),
            };
        }
        let is_old = self
            .age(now)
            .is_some_and(|age| age >= bound.mul_f64(ASK_ALL_AGE_SHARE));
        if is_old {
            Action::AskAllDomains
        } else {
            Action::AskDomain
        }
    }

    fn read_at(&self, rank: usize, bound: Duration) -> Moment {
        let later = rank.min(READERS_PER_DOMAIN) as f64 * NEXT_READER_DELAY_SHARE;
        let spread = rank
            .saturating_sub(READERS_PER_DOMAIN)
            .min(MAX_SPREAD_RANKS) as f64
            * SPREAD_SHARE;
        let due = match self.proven {
            Some(proven) => proven.reaches_age_at(bound.mul_f64(FIRST_READ_SHARE + later + spread)),
            None => Moment(0) + bound.mul_f64(later + spread),
        };
        let is_reader = rank < READERS_PER_DOMAIN;
        let doublings = self
            .unanswered_reads
            .min(MAX_RETRY_DOUBLINGS[usize::from(!is_reader)]);
        let retry_delay = bound.mul_f64(RETRY_SHARE) * 2_u32.pow(doublings);
        self.last_read_at
            .map_or(due, |last| due.max(last + retry_delay))
    }

    fn ask_at(&self, rank: usize, bound: Duration) -> Moment {
        let pause = match self.proven {
            Some(_) => bound.mul_f64(ASK_INTERVAL_SHARE),
            None => bound.mul_f64(FIRST_ASK_INTERVAL_SHARE),
        };
        // The highest-ranked instance asks peers only once its own reads fail.
        let due = match self.proven {
            Some(proven) if rank == 0 => {
                proven.reaches_age_at(bound.mul_f64(FIRST_READ_SHARE + NEXT_READER_DELAY_SHARE))
            }
            Some(proven) => proven.reaches_age_at(pause),
            None => Moment(0),
        };
        self.last_ask_at.map_or(due, |last| due.max(last + pause))
    }

    /// Records that peers are being asked.
    pub fn record_ask(&mut self, now: Moment) {
        self.last_ask_at = Some(now);
    }

    /// Records that a read of the store starts.
    pub fn record_read(&mut self, now: Moment) {
        self.last_read_at = Some(now);
        self.unanswered_reads += 1;
    }

    /// Records that the store answered a read.
    pub fn record_answer(&mut self) {
        self.unanswered_reads = 0;
    }
}
