//! Whether this instance reaches endpoints, from the outcomes of its own connections to them.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;

/// What this instance's connections to endpoints have shown.
#[derive(Debug, Default)]
pub struct Reachability {
    /// The endpoints to which the last new connection failed.
    unreachable: HashSet<Arc<str>>,
    /// When any endpoint last answered.
    last_answer: Option<Moment>,
}

impl Reachability {
    /// Records that a new connection to an endpoint was opened. Returns whether the endpoint was unreachable before.
    pub fn record_opened(&mut self, endpoint: &str) -> bool {
        self.unreachable.remove(endpoint)
    }

    /// Records that a new connection to an endpoint failed. Returns whether the endpoint was reachable before.
    pub fn record_unreachable(&mut self, endpoint: &Arc<str>) -> bool {
        self.unreachable.insert(Arc::clone(endpoint))
    }

    /// Records that an endpoint sent an answer.
    pub fn record_answer(&mut self, now: Moment) {
        self.last_answer = Some(now);
    }

    /// Forgets the endpoints that are not listed.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.unreachable.retain(|endpoint| is_listed(endpoint));
    }

    /// Returns the number of endpoints to which the last new connection failed.
    pub fn unreachable_count(&self) -> usize {
        self.unreachable.len()
    }

    /// Returns the time since any endpoint answered; `None` if none ever has.
    pub fn answer_age(&self, now: Moment) -> Option<Duration> {
        self.last_answer.map(|at| now.since(at))
    }
}
