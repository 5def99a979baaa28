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

/// This instance's shares of the table's limits.
#[derive(Debug, Default)]
pub struct Rates {
    buckets: HashMap<(Subject, Column), Bucket>,
}

impl Rates {
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
        let burst = rate.max(1.0);
        let key = (subject.clone(), column.clone());
        let bucket = self
            .buckets
            .entry(key)
            .or_insert_with(|| Bucket::new(if rate > 0.0 { burst } else { 0.0 }, now));
        bucket.refill(rate, burst, now);
        bucket.take(rate)
    }

    /// Forgets all buckets, after the table changed.
    pub fn clear(&mut self) {
        self.buckets.clear();
    }
}
