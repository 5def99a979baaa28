//! Token buckets, and this instance's shares of the table's limits.
//!
//! Limits of the whole fleet are split evenly over the instances that can take work. That needs no
//! message; the price is that an instance with more than its share of the traffic refuses while
//! another has room. `docs/LIMITS.md` states the bounds.

use std::collections::HashMap;
use std::time::Duration;

use ploverwick_names::Moment;
use ploverwick_table::{Column, Subject};

const MILLIS_PER_SECOND: f64 = 1000.0;

/// A token bucket on the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    level: f64,
    at: Moment,
}

impl Bucket {
    /// Makes a bucket that holds `level` tokens.
    pub fn new(level: f64, now: Moment) -> Self {
        Self { level, at: now }
    }

    /// Fills the bucket up to `now` at `rate` tokens a second, to at most `burst`.
    pub fn refill(&mut self, rate: f64, burst: f64, now: Moment) {
        let seconds = now.since(self.at).as_secs_f64();
        self.level = (self.level + seconds * rate).min(burst);
        self.at = self.at.max(now);
    }

    /// Returns how many whole tokens there are.
    pub fn whole(&self) -> u32 {
        self.level as u32
    }

    /// Takes a token that the caller has seen to be there.
    pub fn draw(&mut self) {
        self.level -= 1.0;
    }

    /// Takes a token, or says how long until there is one at `rate`.
    ///
    /// # Errors
    /// Returns the time until the next token.
    pub fn take(&mut self, rate: f64) -> Result<(), Duration> {
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let millis = (1.0 - self.level) / rate.max(f64::MIN_POSITIVE) * MILLIS_PER_SECOND;
        Err(Duration::from_millis(millis.clamp(1.0, 60_000.0) as u64))
    }
}

/// What is known of the time before a process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Past {
    /// The whole system starts for the first time, so that nothing was spent.
    #[default]
    None,
    /// An earlier life may have spent all that its buckets held when it ended.
    Unproven,
}

/// The instances that share the table's limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sharers {
    /// The list of instances was not read yet.
    Unknown,
    /// Each has an even part.
    Known {
        /// How many there are, this one among them.
        count: usize,
        /// Since when they leave this one its share.
        since: Moment,
    },
}

/// When to come back to an instance that does not know yet who shares the limits; it reads the list
/// of instances within some 100 ms of its start, or 1.6 s if it was not on it.
const UNKNOWN: Duration = Duration::from_millis(300);
/// What a bucket that nothing was drawn from holds at a first start, in tokens: the one request an
/// instance that may pass beyond a limit.
const FIRST: f64 = 1.0;

/// A bucket and when it is full at the latest if nothing more is drawn.
#[derive(Debug, Clone, Copy)]
struct Share {
    bucket: Bucket,
    full: Moment,
}

/// This instance's shares of the table's limits.
#[derive(Debug, Default)]
pub struct Rates {
    shares: HashMap<(Subject, Column), Share>,
    past: Past,
}

impl Rates {
    /// Starts with a process.
    pub fn new(past: Past) -> Self {
        Self {
            shares: HashMap::new(),
            past,
        }
    }

    /// Takes a token of a cell's limit of `limit` requests a second over the whole fleet.
    ///
    /// # Errors
    /// Returns how long until there is a token, or until the number of instances may be known.
    pub fn share(
        &mut self,
        subject: &Subject,
        column: &Column,
        limit: f64,
        sharers: Sharers,
        now: Moment,
    ) -> Result<(), Duration> {
        let (rate, since) = match sharers {
            Sharers::Unknown => return Err(UNKNOWN),
            Sharers::Known { count, since } => (limit / count.max(1) as f64, since),
        };
        self.take_since(since, (subject, column), rate, now)
    }

    /// Takes a token of the cell's limit, of which this instance has `rate` a second.
    ///
    /// # Errors
    /// Returns how long until there is a token.
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
        let level = self.first_level(rate);
        let key = (subject.clone(), column.clone());
        // A bucket fills since the others leave this instance its share, whenever it is first used: no
        // series of starts admits more than one long life, and who has lived the filling time loses
        // nothing.
        let share = self.shares.entry(key).or_insert_with(|| Share {
            bucket: Bucket::new(level, since),
            full: since,
        });
        share.bucket.refill(rate, burst, now);
        share.full = now + filling(rate);
        share.bucket.take(rate)
    }

    /// Forgets the buckets that are full again, after the table changed. The others stay: a new
    /// table gives nobody back what was spent.
    pub fn forget_full(&mut self, now: Moment) {
        self.shares.retain(|_, share| share.full > now);
    }

    /// Returns how many buckets are kept.
    pub fn len(&self) -> usize {
        self.shares.len()
    }

    /// Returns whether no bucket is kept.
    pub fn is_empty(&self) -> bool {
        self.shares.is_empty()
    }

    fn first_level(&self, rate: f64) -> f64 {
        match self.past {
            Past::None if rate > 0.0 => FIRST,
            Past::None | Past::Unproven => 0.0,
        }
    }
}

/// Returns how long an empty bucket takes to be full; a limit of nothing counts as a day.
fn filling(rate: f64) -> Duration {
    const DAY_S: f64 = 86_400.0;
    Duration::from_secs_f64((1.0 / rate.max(f64::MIN_POSITIVE)).clamp(1.0, DAY_S))
}
