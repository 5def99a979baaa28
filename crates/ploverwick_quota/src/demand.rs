//! Estimate of an organisation's demand at one instance.

use std::time::Duration;

use ploverwick_names::Moment;

/// The time constant of the exponential decay: short enough to follow a burst, long enough that a few requests a
/// second do not look like one.
const DECAY_TIME: Duration = Duration::from_secs(1);
/// The weight of the latest request in the moving average of the cost.
const LATEST_WEIGHT: f64 = 0.1;

/// An exponentially decaying request rate and the average cost of a request.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Demand {
    rate: f64,
    mean_cost: f64,
    at: Moment,
}

impl Demand {
    /// Records a request.
    pub(crate) fn add(&mut self, cost: f64, now: Moment) {
        self.rate = self.rate(now) + cost / DECAY_TIME.as_secs_f64();
        self.at = now;
        self.mean_cost = if self.mean_cost > 0.0 {
            self.mean_cost + (cost - self.mean_cost) * LATEST_WEIGHT
        } else {
            cost
        };
    }

    /// Returns the demand in units per second.
    pub(crate) fn rate(&self, now: Moment) -> f64 {
        let elapsed = now.since(self.at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        self.rate * (-elapsed).exp()
    }

    /// Returns the average cost of a request.
    pub(crate) fn mean_cost(&self) -> f64 {
        self.mean_cost
    }
}
