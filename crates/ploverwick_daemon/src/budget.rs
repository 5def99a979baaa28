//! Budgets: loads from the weight store, retries, and the table's limits.
//!
//! Fleet-wide budgets are split evenly over the instances that can take work. That needs no
//! message; the price is that an instance with more than its share of the traffic refuses while
//! another has room. `docs/LIMITS.md` states the bounds.

use std::collections::HashMap;
use std::time::Duration;

use ploverwick_names::Moment;
use ploverwick_table::{Column, Subject};

const MILLIS_PER_SECOND: f64 = 1000.0;

/// A token bucket on the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bucket {
    level: f64,
    at: Moment,
}

impl Bucket {
    /// Makes a bucket that holds `level` tokens.
    pub(crate) fn new(level: f64, now: Moment) -> Self {
        Self { level, at: now }
    }

    /// Fills the bucket up to `now` at `rate` tokens a second, to at most `burst`.
    pub(crate) fn refill(&mut self, rate: f64, burst: f64, now: Moment) {
        let seconds = now.since(self.at).as_secs_f64();
        self.level = (self.level + seconds * rate).min(burst);
        self.at = self.at.max(now);
    }

    /// Takes a token, or says how long until there is one at `rate`.
    pub(crate) fn take(&mut self, rate: f64) -> Result<(), Duration> {
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let millis = (1.0 - self.level) / rate.max(f64::MIN_POSITIVE) * MILLIS_PER_SECOND;
        Err(Duration::from_millis(millis.clamp(1.0, 60_000.0) as u64))
    }
}

/// This instance's share of what the weight store allows.
#[derive(Debug)]
pub(crate) struct Loads {
    bucket: Bucket,
    running: u32,
}

/// What the weight store allows the whole fleet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadLimits {
    /// Loads started a second.
    pub(crate) per_s: f64,
    /// Loads running at once.
    pub(crate) at_once: u32,
    /// The number of instances that share it.
    pub(crate) instances: usize,
}

impl Loads {
    /// Starts with one load allowed.
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            bucket: Bucket::new(1.0, now),
            running: 0,
        }
    }

    /// Returns how many loads may start now.
    pub(crate) fn available(&mut self, limits: LoadLimits, now: Moment) -> u32 {
        let instances = limits.instances.max(1) as f64;
        let rate = limits.per_s / instances;
        self.bucket.refill(rate, rate.max(1.0), now);
        let at_once = (f64::from(limits.at_once) / instances).ceil() as u32;
        let room = at_once.saturating_sub(self.running);
        room.min(self.bucket.level as u32)
    }

    /// Says that a load starts.
    pub(crate) fn start(&mut self) {
        self.bucket.level -= 1.0;
        self.running += 1;
    }

    /// Says that a load is over.
    pub(crate) fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }
}

/// Bounds retries to a share of first attempts, so that failures do not multiply traffic.
#[derive(Debug)]
pub(crate) struct Retries {
    level: f64,
}

impl Retries {
    /// The most retries saved up.
    const BURST: f64 = 20.0;

    /// Starts with a full budget.
    pub(crate) fn new() -> Self {
        Self { level: Self::BURST }
    }

    /// Earns for a first attempt.
    pub(crate) fn earn(&mut self, per_100: u32) {
        self.level = (self.level + f64::from(per_100) / 100.0).min(Self::BURST);
    }

    /// Takes a retry, if there is one.
    pub(crate) fn take(&mut self) -> bool {
        let has = self.level >= 1.0;
        if has {
            self.level -= 1.0;
        }
        has
    }
}

/// This instance's shares of the table's limits.
#[derive(Debug, Default)]
pub(crate) struct Rates {
    buckets: HashMap<(Subject, Column), Bucket>,
}

impl Rates {
    /// Takes a token of the cell's limit, of which this instance has `rate` a second.
    ///
    /// # Errors
    /// Returns how long until there is a token.
    pub(crate) fn take(
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
    pub(crate) fn clear(&mut self) {
        self.buckets.clear();
    }
}
