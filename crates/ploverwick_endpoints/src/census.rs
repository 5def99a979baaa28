//! How many instances share a fixed allowance.

use std::collections::VecDeque;
use std::time::Duration;

use ploverwick_names::Moment;

use crate::Rate;

/// How long after an instance sees itself on the list others may still divide by one less: they read the
/// list at most every 1.5 s.
const HEARING: Duration = Duration::from_secs(2);

/// The instances that share the allowance of the whole fleet, as far as this one can prove.
///
/// What one of them spent before it left, or before its process started again, counts for a window. So
/// the largest number in the last window counts, and a process that has known the others for less than a
/// window, after they can have heard of it, has no part: an earlier one may have spent it, or others may
/// not have counted this instance.
#[derive(Debug, Default, Clone)]
pub struct Census {
    /// Since when the instances are known.
    known: Option<Moment>,
    /// How many there were, each number from its moment on.
    counts: VecDeque<(Moment, usize)>,
}

impl Census {
    /// Takes in how many instances there are, this one among them, and that they know of this one.
    pub fn heard(&mut self, instances: usize, rate: Rate, now: Moment) {
        self.known.get_or_insert(now);
        if self.counts.back().is_none_or(|(_, n)| *n != instances) {
            self.counts.push_back((now, instances));
        }
        // A number counts until a window after the next one came.
        while self.counts.len() > 1 && now.since(self.counts[1].0) > rate.window {
            self.counts.pop_front();
        }
    }

    /// Returns since when the instances are known; `None` while they are not.
    pub fn since(&self) -> Option<Moment> {
        self.known
    }

    /// Returns this instance's part of the allowance.
    pub fn share(&self, rate: Rate, now: Moment) -> f64 {
        let known = self.known.map(|at| at + HEARING);
        let is_proved = known.is_some_and(|at| now.since(at) > rate.window);
        match self.most(rate, now) {
            Some(most) if is_proved => rate.allowance / most.max(1) as f64,
            Some(_) | None => 0.0,
        }
    }

    /// Returns the largest number of instances in the last window; `None` if none is known.
    pub fn most(&self, rate: Rate, now: Moment) -> Option<usize> {
        let ends = self.counts.iter().skip(1).map(|(next, _)| *next);
        let ends = ends.map(Some).chain([None]);
        let counts = self.counts.iter().zip(ends);
        let counts = counts.filter(|(_, end)| end.is_none_or(|at| now.since(at) <= rate.window));
        counts.map(|((_, instances), _)| *instances).max()
    }
}
