//! Limits the rate at which loads of base models start.
//!
//! The weight store's limit applies to all failure domains together. Each domain keeps to an equal
//! share, so that domains need not coordinate; within a domain the lease holders inform each other.

use std::collections::VecDeque;
use std::time::Duration;

use ploverwick_names::Moment;

/// The number of loads that the platform allows in any window on top of the rate.
const EXTRA_LOADS: f64 = 3.0;

/// The platform's limit on loads of base models.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadLimit {
    /// The number of loads per second that the weight store allows.
    pub rate: f64,
    /// The factor by which the rate may be exceeded.
    pub overshoot: f64,
    /// The length of the window.
    pub window: Duration,
    /// The number of failure domains that share the limit.
    pub domains: usize,
}

impl LoadLimit {
    /// Returns the number of loads that one failure domain may start in a window. It is at least
    /// one: otherwise a low rate would leave an empty endpoint empty forever.
    pub fn share(&self) -> usize {
        let all = self.rate * self.window.as_secs_f64() * self.overshoot + EXTRA_LOADS;
        let share = (all / self.domains.max(1) as f64).floor() as usize;
        share.max(1)
    }
}

/// The recent loads of base models in one failure domain.
#[derive(Debug, Default)]
pub struct LoadLimiter {
    started: VecDeque<Moment>,
    /// When counting started, if unknown loads may have started before.
    counting_since: Option<Moment>,
}

impl LoadLimiter {
    /// Creates a limiter that assumes the share to be used up: an earlier process, or instances
    /// that stopped together with it, may have started that many loads just before, and none of
    /// them can report it.
    pub fn after_unknown_loads(now: Moment) -> Self {
        Self {
            started: VecDeque::new(),
            counting_since: Some(now),
        }
    }

    /// Returns when another load may start; `None` if it may start now.
    pub fn next_at(&mut self, limit: &LoadLimit, now: Moment) -> Option<Moment> {
        if let Some(counting_since) = self.counting_since {
            if now.since(counting_since) <= limit.window {
                return Some(counting_since + limit.window + Duration::from_millis(1));
            }
            self.counting_since = None;
        }
        while let Some(first) = self.started.front()
            && now.since(*first) > limit.window
        {
            self.started.pop_front();
        }
        let over = (self.started.len() + 1).checked_sub(limit.share())?;
        let blocking = over.checked_sub(1)?;
        let ends = self.started.get(blocking).copied()? + limit.window;
        Some(ends + Duration::from_millis(1))
    }

    /// Counts a load started by this instance or another lease holder.
    pub fn record_load(&mut self, now: Moment) {
        self.started.push_back(now);
    }
}
