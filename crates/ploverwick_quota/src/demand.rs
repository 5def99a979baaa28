//! How much an organisation asks for at one instance.

use std::time::Duration;

use ploverwick_names::Moment;

/// The time over which demand is averaged: short enough to follow a crowd, long enough that a few requests
/// a second are no crowd.
const MEMORY: Duration = Duration::from_secs(1);
/// The weight of the latest request in the mean size.
const LATEST: f64 = 0.1;

/// A rate that forgets.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Demand {
    rate: f64,
    mean: f64,
    at: Moment,
}

impl Demand {
    /// Takes in a request.
    pub(crate) fn add(&mut self, cost: f64, now: Moment) {
        self.rate = self.rate(now) + cost / MEMORY.as_secs_f64();
        self.at = now;
        self.mean = if self.mean > 0.0 {
            self.mean + (cost - self.mean) * LATEST
        } else {
            cost
        };
    }

    /// Returns the units a second.
    pub(crate) fn rate(&self, now: Moment) -> f64 {
        let past = now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64();
        self.rate * (-past).exp()
    }

    /// Returns the mean size of a request.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }
}
