//! Granted units that have not been used yet.

use std::collections::VecDeque;
use std::time::Duration;

use ploverwick_names::Moment;

/// How long units may be used after their grant. The pool counts them in the window of the grant, so later use
/// would add to a later window.
const UNIT_TTL: Duration = Duration::from_secs(1);

/// Unspent units, oldest grant first.
#[derive(Debug, Default)]
pub(crate) struct UnspentUnits {
    lots: VecDeque<(Moment, f64)>,
    sum: f64,
}

impl UnspentUnits {
    /// Adds units that were granted at `granted`, which may be long ago when they are refunded.
    pub(crate) fn add(&mut self, units: f64, granted: Moment) {
        if units <= 0.0 {
            return;
        }
        let index = self.lots.partition_point(|(at, _)| *at <= granted);
        self.lots.insert(index, (granted, units));
        self.sum += units;
    }

    /// Drops the units granted more than [`UNIT_TTL`] ago.
    pub(crate) fn expire(&mut self, now: Moment) {
        while let Some((_, units)) = self.lots.pop_front_if(|(at, _)| now.since(*at) > UNIT_TTL) {
            self.sum -= units;
        }
        if self.lots.is_empty() {
            self.sum = 0.0;
        }
    }

    /// Returns the number of units.
    pub(crate) fn sum(&self) -> f64 {
        self.sum
    }

    /// Takes units, oldest first. Returns `false` and takes none if there are too few.
    pub(crate) fn take(&mut self, units: f64) -> bool {
        if self.sum < units {
            return false;
        }
        self.sum -= units;
        let mut left = units;
        while let Some((_, lot)) = self.lots.front_mut() {
            if *lot > left {
                *lot -= left;
                break;
            }
            left -= *lot;
            self.lots.pop_front();
        }
        true
    }
}
