//! Budgets: loads from the weight store, and retries.
//!
//! Fleet-wide budgets are split evenly over the instances that can take work. That needs no
//! message; the price is that an instance with more than its share of the traffic refuses while
//! another has room. `docs/LIMITS.md` states the bounds.

use ploverwick_limits::Bucket;
use ploverwick_names::Moment;

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
        room.min(self.bucket.whole_tokens())
    }

    /// Says that a load starts.
    pub(crate) fn start(&mut self) {
        self.bucket.take_unchecked();
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
