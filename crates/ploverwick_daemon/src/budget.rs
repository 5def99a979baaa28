//! Budgets for loads from the weight store and for retries.
//!
//! Fleet-wide budgets are split evenly over the instances that accept work. This needs no messages
//! between instances; in return, an instance with more than its share of the traffic refuses
//! requests while another one has spare capacity. `docs/LIMITS.md` states the bounds.

use ploverwick_limits::Bucket;
use ploverwick_names::Moment;

/// This instance's share of the weight store's limits.
#[derive(Debug)]
pub(crate) struct LoadBudget {
    bucket: Bucket,
    running: u32,
}

/// The weight store's limits for the whole fleet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadLimits {
    /// The maximum number of loads started per second.
    pub(crate) per_s: f64,
    /// The maximum number of concurrent loads.
    pub(crate) at_once: u32,
    /// The number of instances that share the limits.
    pub(crate) instances: usize,
}

impl LoadBudget {
    /// Creates a budget that permits one load.
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            bucket: Bucket::new(1.0, now),
            running: 0,
        }
    }

    /// Returns the number of loads that may start now.
    pub(crate) fn available(&mut self, limits: LoadLimits, now: Moment) -> u32 {
        let instances = limits.instances.max(1) as f64;
        let rate = limits.per_s / instances;
        self.bucket.refill(rate, rate.max(1.0), now);
        let at_once = (f64::from(limits.at_once) / instances).ceil() as u32;
        let room = at_once.saturating_sub(self.running);
        room.min(self.bucket.whole_tokens())
    }

    /// Records the start of a load.
    pub(crate) fn start(&mut self) {
        self.bucket.take_unchecked();
        self.running += 1;
    }

    /// Records the end of a load.
    pub(crate) fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }
}

/// Limits retries to a ratio of first attempts, so that failures do not multiply the traffic.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    level: f64,
}

impl RetryBudget {
    /// The maximum number of accumulated retries.
    const BURST: f64 = 20.0;

    /// Creates a full budget.
    pub(crate) fn new() -> Self {
        Self { level: Self::BURST }
    }

    /// Adds to the budget for a first attempt.
    pub(crate) fn deposit(&mut self, per_100: u32) {
        self.level = (self.level + f64::from(per_100) / 100.0).min(Self::BURST);
    }

    /// Takes a retry from the budget; returns whether one was available.
    pub(crate) fn take(&mut self) -> bool {
        let available = self.level >= 1.0;
        if available {
            self.level -= 1.0;
        }
        available
    }
}
