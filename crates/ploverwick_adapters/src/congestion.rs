//! Decides when the endpoints of an adapter are congested for long enough to justify another copy of it.
//!
//! A moment of load at an endpoint passes before a copy elsewhere is loaded. Only an adapter whose requests keep
//! finding its endpoints loaded gains by another one.

use std::collections::HashMap;
use std::time::Duration;

use ploverwick_names::Moment;

use crate::Copy;

/// The number of requests, beyond one in each [`FORGET_INTERVAL`], that justify a copy.
const MIN_REQUESTS: f64 = 2.0;
/// The interval in which one request is forgotten. Adapters with fewer requests seldom meet each other.
const FORGET_INTERVAL: Duration = Duration::from_secs(1);
/// The number of adapters above which forgotten ones are removed.
const MAX_IDLE_ADAPTERS: usize = 256;

#[derive(Debug, Clone, Copy)]
struct Demand {
    requests: f64,
    at: Moment,
}

impl Demand {
    /// Returns the number of requests that are not forgotten.
    fn remaining(&self, now: Moment) -> f64 {
        let forgotten = now.since(self.at).div_duration_f64(FORGET_INTERVAL);
        (self.requests - forgotten).max(0.0)
    }
}

/// The requests that recently found the endpoints of their adapter congested.
#[derive(Debug, Default)]
pub(crate) struct Congestion {
    by_copy: HashMap<Copy, Demand>,
}

impl Congestion {
    /// Records such a request. Returns whether the adapter should get another copy, after which as many requests
    /// are needed for the next one.
    pub(crate) fn record(&mut self, copy: &Copy, now: Moment) -> bool {
        if self.by_copy.len() > MAX_IDLE_ADAPTERS {
            self.by_copy.retain(|_, demand| demand.remaining(now) > 0.0);
        }
        let demand = self.by_copy.entry(copy.clone()).or_insert(Demand {
            requests: 0.0,
            at: now,
        });
        let requests = demand.remaining(now) + 1.0;
        let is_justified = requests >= MIN_REQUESTS;
        *demand = Demand {
            requests: if is_justified { 0.0 } else { requests },
            at: now,
        };
        is_justified
    }
}
