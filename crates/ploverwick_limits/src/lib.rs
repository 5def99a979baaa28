//! Token buckets and per-instance shares of the rate limits in the table, and the bound on memory held for clients.
//!
//! Each fleet-wide limit is split evenly over the instances that accept work. This needs no messages between
//! instances; in return, an instance with more than its share of the traffic refuses requests while
//! another one has spare capacity. `docs/LIMITS.md` states the bounds.

pub mod memory;

use std::collections::HashMap;
use std::time::Duration;

use ploverwick_names::Moment;
use ploverwick_table::{Column, Subject};

const MILLIS_PER_SECOND: f64 = 1000.0;

/// A token bucket that refills by the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    level: f64,
    refilled_at: Moment,
}

impl Bucket {
    /// Creates a bucket with `level` tokens.
    pub fn new(level: f64, now: Moment) -> Self {
        Self {
            level,
            refilled_at: now,
        }
    }

    /// Refills the bucket at `rate` tokens per second up to `now`, to at most `burst` tokens.
    pub fn refill(&mut self, rate: f64, burst: f64, now: Moment) {
        let seconds = now.since(self.refilled_at).as_secs_f64();
        self.level = (self.level + seconds * rate).min(burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Returns the number of whole tokens.
    pub fn whole_tokens(&self) -> u32 {
        self.level as u32
    }

    /// Takes a token. The caller must have checked that one is available.
    pub fn take_unchecked(&mut self) {
        self.level -= 1.0;
    }

    /// Takes a token if one is available.
    ///
    /// # Errors
    /// Returns the time until the next token at `rate`.
    pub fn take(&mut self, rate: f64) -> Result<(), Duration> {
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let millis = (1.0 - self.level) / rate.max(f64::MIN_POSITIVE) * MILLIS_PER_SECOND;
        Err(Duration::from_millis(millis.clamp(1.0, 60_000.0) as u64))
    }
}

/// Whether earlier processes may have used the limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PriorUse {
    /// The whole system starts for the first time, so nothing was used.
    #[default]
    None,
    /// An earlier process may have used all tokens in its buckets before it ended.
    Unknown,
}

/// The instances that share the limits in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sharers {
    /// The list of instances has not been read yet.
    Unknown,
    /// Each instance has an equal share.
    Known {
        /// The number of instances, including this one.
        count: usize,
        /// The time from which the other instances account for this one.
        since: Moment,
    },
}

/// When to retry a request on an instance that does not know the sharers yet. An instance reads the list of
/// instances within about 100 ms of its start, or within 1.6 s if it was not on the list.
const SHARERS_UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// The tokens in a new bucket on the first start of the system. They let each instance exceed a limit by one
/// request.
const FIRST_START_TOKENS: f64 = 1.0;

/// A bucket and the time by which it is full if no more tokens are taken.
#[derive(Debug, Clone, Copy)]
struct Entry {
    bucket: Bucket,
    full_at: Moment,
}

/// The rate limiter for this instance's shares of the limits in the table.
#[derive(Debug, Default)]
pub struct RateLimiter {
    entries: HashMap<(Subject, Column), Entry>,
    prior_use: PriorUse,
}

impl RateLimiter {
    /// Creates a rate limiter without buckets.
    pub fn new(prior_use: PriorUse) -> Self {
        Self {
            entries: HashMap::new(),
            prior_use,
        }
    }

    /// Takes a token from this instance's share of a fleet-wide limit of `limit` requests per second.
    ///
    /// # Errors
    /// Returns the time until the next token, or until the number of instances is expected to be known.
    pub fn take_shared(
        &mut self,
        subject: &Subject,
        column: &Column,
        limit: f64,
        sharers: Sharers,
        now: Moment,
    ) -> Result<(), Duration> {
        let (rate, since) = match sharers {
            Sharers::Unknown => return Err(SHARERS_UNKNOWN_RETRY_AFTER),
            Sharers::Known { count, since } => (limit / count.max(1) as f64, since),
        };
        self.take_since(since, (subject, column), rate, now)
    }

    /// Takes a token from a limit of which this instance has a share of `rate` requests per second.
    ///
    /// # Errors
    /// Returns the time until the next token.
    pub fn take(
        &mut self,
        subject: &Subject,
        column: &Column,
        rate: f64,
        now: Moment,
    ) -> Result<(), Duration> {
        self.take_since(Moment::default(), (subject, column), rate, now)
    }

    fn take_since(
        &mut self,
        since: Moment,
        (subject, column): (&Subject, &Column),
        rate: f64,
        now: Moment,
    ) -> Result<(), Duration> {
        let burst = rate.max(1.0);
        let level = self.initial_level(rate);
        let key = (subject.clone(), column.clone());
        // A new bucket has been filling since the other instances began to account for this one, even if it is
        // first used later. Repeated restarts thus admit no more requests than one long-running process, and a
        // process that has run for the fill time starts with a full bucket.
        let entry = self.entries.entry(key).or_insert_with(|| Entry {
            bucket: Bucket::new(level, since),
            full_at: since,
        });
        entry.bucket.refill(rate, burst, now);
        entry.full_at = now + fill_time(rate);
        entry.bucket.take(rate)
    }

    /// Removes the buckets that are full again; called after the table changed. The others are kept because a
    /// new table must not restore used tokens.
    pub fn remove_full(&mut self, now: Moment) {
        self.entries.retain(|_, entry| entry.full_at > now);
    }

    /// Returns the number of buckets.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no buckets.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn initial_level(&self, rate: f64) -> f64 {
        match self.prior_use {
            PriorUse::None if rate > 0.0 => FIRST_START_TOKENS,
            PriorUse::None | PriorUse::Unknown => 0.0,
        }
    }
}

/// Returns the time to fill an empty bucket, at most one day. For a rate of zero it is one day.
fn fill_time(rate: f64) -> Duration {
    const DAY_S: f64 = 86_400.0;
    Duration::from_secs_f64((1.0 / rate.max(f64::MIN_POSITIVE)).clamp(1.0, DAY_S))
}
