//! Decides how long a request waits for its adapter.

use std::time::Duration;

/// The fraction of its time for which a request waits for an adapter that is not known to be on its
/// way.
const UNKNOWN_RATIO: f64 = 0.4;
/// The same fraction for an adapter that is on its way; the rest is for the answer to begin.
const COMING_RATIO: f64 = 0.75;
/// The number of load requests without effect after which a request may use endpoints again that it
/// has tried. A copy beside them is loaded only while the weight store has room.
const MAX_FUTILE_REQUESTS: u32 = 2;

/// The wait of one request for its adapter.
#[derive(Debug, Clone, Copy)]
pub struct LoadWait {
    /// The time until the client disconnects, from when the wait began.
    timeout: Duration,
}

impl LoadWait {
    /// Creates the wait of a request whose client disconnects after `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self { timeout }
    }

    /// Returns whether a request that has waited for `waited` should wait no longer. `is_coming`
    /// states whether the adapter was placed at an endpoint.
    pub fn is_over(&self, waited: Duration, is_coming: bool) -> bool {
        let ratio = if is_coming {
            COMING_RATIO
        } else {
            UNKNOWN_RATIO
        };
        waited >= self.timeout.mul_f64(ratio)
    }

    /// Returns whether an adapter that is expected after another `expected` comes too late, so that
    /// the request should not wait at all.
    pub fn is_futile(&self, waited: Duration, expected: Duration) -> bool {
        waited + expected > self.timeout.mul_f64(COMING_RATIO)
    }

    /// Returns whether a request may use endpoints again that it has tried, after `requests` for a
    /// load elsewhere.
    pub fn may_reuse_tried(&self, requests: u32, is_coming: bool) -> bool {
        requests >= MAX_FUTILE_REQUESTS && !is_coming
    }
}
