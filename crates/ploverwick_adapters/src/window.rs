//! Limits the number of concurrent adapter loads in one failure domain.
//!
//! The weight store serves a certain number of loads at full speed, over all failure domains, and
//! slows all of them down in proportion beyond it. That number is not known in advance, so it is
//! estimated from load times as TCP Vegas estimates a path's capacity from its delay (Brakmo and
//! Peterson, 1995): the window grows while loads take their usual time and others wait, and shrinks
//! when they take longer. It starts with a slow start, which doubles the window in the time of a
//! load until the first load is slow.

use std::time::Duration;

use ploverwick_names::Moment;

/// The initial window. It is small because each failure domain has its own, and a load beyond the
/// store's capacity occupies a slot for longer without completing any load sooner.
const INITIAL_SIZE: f64 = 3.0;
/// The initial window for each endpoint of a failure domain, if that is more: a weight store that
/// could not serve a third of its endpoints at once would hardly start them.
const INITIAL_SIZE_PER_ENDPOINT: f64 = 0.33;
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
/// The highest factor applied to the window when the store is overloaded.
const MAX_SHRINK_FACTOR: f64 = 0.85;
/// The lowest factor: slow start at most doubles the window in the time of a load.
const MIN_SHRINK_FACTOR: f64 = 0.5;
/// The increment for each load of usual duration during slow start.
const SLOW_START_STEP: f64 = 1.0;
/// The increment for each load of usual duration after slow start while the window is full: the
/// window doubles in about three load durations.
const GROWTH_STEP: f64 = 0.35;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    SlowStart,
    Avoidance,
}

/// A limit on concurrent loads that adapts to their duration.
#[derive(Debug, Clone)]
pub struct Window {
    size: f64,
    phase: Phase,
    shortest: Option<Duration>,
    /// When the window last shrank; loads started before that were slowed by the larger window.
    last_shrink: Moment,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            size: INITIAL_SIZE,
            phase: Phase::SlowStart,
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

    /// Raises the initial window for a number of endpoints, before the first load from the store.
    pub fn start_for(&mut self, endpoints: usize) {
        if self.shortest.is_none() {
            let size = endpoints as f64 * INITIAL_SIZE_PER_ENDPOINT;
            self.size = self.size.max(size.min(MAX_SIZE));
        }
    }

    /// Starts anew with a slow start, at `size` if it is known.
    pub fn restart(&mut self, size: Option<f64>) {
        self.size = size.unwrap_or(INITIAL_SIZE).clamp(MIN_SIZE, MAX_SIZE);
        self.phase = Phase::SlowStart;
    }

    /// Returns how long a load takes while the store is not overloaded; `None` before the first
    /// load from the store.
    pub fn load_time(&self) -> Option<Duration> {
        self.shortest
    }

    /// Records that a load started at `started` is complete; `in_flight` is the number of running
    /// loads including this one, and `limit` the number that were permitted.
    pub fn record_load(&mut self, started: Moment, now: Moment, in_flight: usize, limit: usize) {
        let taken = now.since(started);
        if taken < MIN_STORE_LOAD {
            return;
        }
        let shortest = self.shortest.map_or(taken, |shortest| shortest.min(taken));
        self.shortest = Some(shortest);
        if taken > shortest.mul_f64(OVERLOAD_RATIO) {
            self.shrink(started, now, shortest.div_duration_f64(taken));
        } else if self.is_limiting(in_flight, limit) {
            self.size = (self.size + self.growth_step()).min(MAX_SIZE);
        }
    }

    /// Returns whether more loads would run if the limit were higher. Loads that started together
    /// complete together, so during slow start half of the limit is enough, as with the congestion
    /// window validation of TCP (RFC 7661).
    fn is_limiting(&self, in_flight: usize, limit: usize) -> bool {
        match self.phase {
            Phase::SlowStart => in_flight * 2 >= limit,
            Phase::Avoidance => in_flight >= limit,
        }
    }

    fn growth_step(&self) -> f64 {
        match self.phase {
            Phase::SlowStart => SLOW_START_STEP,
            Phase::Avoidance => GROWTH_STEP,
        }
    }

    /// Shrinks the window, but only once for all loads that ran concurrently. `speed` is the
    /// store's speed relative to its usual one: as the store slows down in proportion to the
    /// excess, this removes just the excess.
    fn shrink(&mut self, started: Moment, now: Moment, speed: f64) {
        if started < self.last_shrink {
            return;
        }
        let factor = speed.clamp(MIN_SHRINK_FACTOR, MAX_SHRINK_FACTOR);
        self.phase = Phase::Avoidance;
        self.size = (self.size * factor).max(MIN_SIZE);
        self.last_shrink = now;
    }
}
