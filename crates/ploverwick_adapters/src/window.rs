//! Limits the number of concurrent adapter loads in one failure domain.
//!
//! The weight store serves a certain number of loads at full speed, over all failure domains, and
//! slows all of them down in proportion beyond it. That number is not known in advance, so it is
//! estimated from load times as TCP Vegas estimates a path's capacity from its delay (Brakmo and
//! Peterson, 1995): the window grows while loads take their usual time and others wait, and shrinks
//! when they take longer.

use std::time::Duration;

use ploverwick_names::Moment;

/// The initial window; it soon grows if loads take their usual time. Each failure domain has its
/// own window, and a load beyond the store's capacity occupies a slot for longer without completing
/// any load sooner.
const INITIAL_SIZE: f64 = 3.0;
/// The minimum window: one load can run while the result of the last one is being polled.
const MIN_SIZE: f64 = 2.0;
/// The maximum window, for a store that never slows down.
const MAX_SIZE: f64 = 96.0;
/// The minimum duration of a load from the store. Faster loads came from the endpoint's own memory
/// and say nothing about the store.
const MIN_STORE_LOAD: Duration = Duration::from_millis(150);
/// The ratio of a load's duration to the shortest one above which the store counts as overloaded.
/// Polls for completion are 18 ms apart, some 7 % of a load's duration.
const OVERLOAD_RATIO: f64 = 1.35;
/// The factor applied to the window when the store is overloaded.
const SHRINK_FACTOR: f64 = 0.85;
/// The increment for each load of usual duration while the window is full: the window doubles in
/// about three load durations.
const GROWTH_STEP: f64 = 0.35;

/// A limit on concurrent loads that adapts to their duration.
#[derive(Debug, Clone)]
pub struct Window {
    size: f64,
    shortest: Option<Duration>,
    /// When the window last shrank; loads started before that were slowed by the larger window.
    last_shrink: Moment,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            size: INITIAL_SIZE,
            shortest: None,
            last_shrink: Moment::default(),
        }
    }
}

impl Window {
    /// Returns the number of loads that may run at once.
    pub fn size(&self) -> usize {
        self.size as usize
    }

    /// Records that a load started at `started` is complete; `in_flight` is the number of running
    /// loads including this one.
    pub fn record_load(&mut self, started: Moment, now: Moment, in_flight: usize) {
        let taken = now.since(started);
        if taken < MIN_STORE_LOAD {
            return;
        }
        let shortest = self.shortest.map_or(taken, |shortest| shortest.min(taken));
        self.shortest = Some(shortest);
        if taken > shortest.mul_f64(OVERLOAD_RATIO) {
            self.shrink(started, now);
        } else if in_flight >= self.size() {
            self.size = (self.size + GROWTH_STEP).min(MAX_SIZE);
        }
    }

    /// Shrinks the window, but only once for all loads that ran concurrently.
    fn shrink(&mut self, started: Moment, now: Moment) {
        if started < self.last_shrink {
            return;
        }
        self.size = (self.size * SHRINK_FACTOR).max(MIN_SIZE);
        self.last_shrink = now;
    }
}
