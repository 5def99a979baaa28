//! Number of instances that share the retry allowance.

use std::collections::VecDeque;
use std::time::Duration;

use ploverwick_names::Moment;

use crate::RetryPolicy;

/// How long other instances may still divide the allowance by one instance fewer after this one sees
/// itself on the list. They read the list at intervals of up to 1.5 s.
const LIST_PROPAGATION_DELAY: Duration = Duration::from_secs(2);

/// The number of instances that share the retry allowance over a sliding window.
///
/// Retries of an instance count for a full window even after it leaves or restarts, so the allowance is
/// divided by the largest number of instances in the last window. A process has no share until it has known
/// the other instances for a full window, plus the time that they need to learn of it: before that, an
/// earlier process may have spent its share, or other instances may not have counted it.
#[derive(Debug, Default, Clone)]
pub struct InstanceCount {
    /// When the number of instances was first recorded.
    known_since: Option<Moment>,
    /// Each number of instances and when it took effect.
    counts: VecDeque<(Moment, usize)>,
}

impl InstanceCount {
    /// Records the number of instances, including this one. The other instances must know of this one.
    pub fn record(&mut self, instances: usize, policy: RetryPolicy, now: Moment) {
        self.known_since.get_or_insert(now);
        if self.counts.back().is_none_or(|(_, n)| *n != instances) {
            self.counts.push_back((now, instances));
        }
        // A number counts until a full window after it was replaced.
        while self.counts.len() > 1 && now.since(self.counts[1].0) > policy.window {
            self.counts.pop_front();
        }
    }

    /// Returns when the number of instances was first recorded; `None` if it is unknown.
    pub fn known_since(&self) -> Option<Moment> {
        self.known_since
    }

    /// Returns this instance's share of the allowance.
    pub fn share(&self, policy: RetryPolicy, now: Moment) -> f64 {
        let known_since = self.known_since.map(|at| at + LIST_PROPAGATION_DELAY);
        let is_proven = known_since.is_some_and(|at| now.since(at) > policy.window);
        match self.max_in_window(policy, now) {
            Some(most) if is_proven => policy.allowance / most.max(1) as f64,
            Some(_) | None => 0.0,
        }
    }

    /// Returns the largest number of instances in the last window; `None` if it is unknown.
    pub fn max_in_window(&self, policy: RetryPolicy, now: Moment) -> Option<usize> {
        let ends = self.counts.iter().skip(1).map(|(next, _)| *next);
        let ends = ends.map(Some).chain([None]);
        let counts = self.counts.iter().zip(ends);
        let counts = counts.filter(|(_, end)| end.is_none_or(|at| now.since(at) <= policy.window));
        counts.map(|((_, instances), _)| *instances).max()
    }
}
