//! Refused units that are expected to be requested again.

use std::collections::BTreeMap;

use ploverwick_names::Moment;

/// The units of refused requests, by the time until which they are expected to be requested again.
///
/// A request that is retried is counted as granted or as refused again, and one that is not has been given up.
#[derive(Debug, Default)]
pub(crate) struct RefusedUnits {
    units: BTreeMap<Moment, f64>,
}

impl RefusedUnits {
    /// Adds units that are expected to be requested again before `until`.
    pub(crate) fn add(&mut self, units: f64, until: Moment) {
        if units > 0.0 {
            *self.units.entry(until).or_default() += units;
        }
    }

    /// Returns the units that are still expected, and drops the rest.
    pub(crate) fn sum(&mut self, now: Moment) -> f64 {
        while let Some(first) = self.units.first_entry()
            && *first.key() <= now
        {
            first.remove();
        }
        self.units.values().sum()
    }
}
