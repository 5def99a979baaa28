//! How many instances share a fixed allowance.

use ploverwick_names::Moment;

use crate::Rate;

/// The instances that share the allowance of the whole fleet, as far as this one has heard.
#[derive(Debug, Default, Clone)]
pub struct Sharers {
    instances: usize,
}

impl Sharers {
    /// Takes in how many instances there are, this one among them.
    pub fn heard(&mut self, instances: usize, _rate: Rate, _now: Moment) {
        self.instances = instances;
    }

    /// Returns this instance's part of the allowance.
    pub fn share(&self, rate: Rate, _now: Moment) -> f64 {
        rate.allowance / self.instances.max(1) as f64
    }
}
