//! How many loads of base models may begin in a window of time.
//!
//! The weight store's bound holds over all failure domains. Each keeps to an even part of it, so
//! that no message between them is needed; within a domain the holders of the right tell each other.

use std::collections::VecDeque;
use std::time::Duration;

use ploverwick_names::Moment;

/// Loads that the platform allows in any window beyond the rate.
const SLACK: f64 = 3.0;

/// The platform's bound on loads of base models.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ceiling {
    /// Loads a second that the weight store allows.
    pub rate: f64,
    /// How far the rate may be exceeded, as a factor.
    pub overshoot: f64,
    /// The length of the window.
    pub window: Duration,
    /// The failure domains that share it.
    pub domains: usize,
}

impl Ceiling {
    /// Returns the loads that one failure domain may begin in a window. It is one at least: else a
    /// low rate would leave an empty endpoint empty for ever.
    pub fn share(&self) -> usize {
        let all = self.rate * self.window.as_secs_f64() * self.overshoot + SLACK;
        let share = (all / self.domains.max(1) as f64).floor() as usize;
        share.max(1)
    }
}

/// The loads of base models that began lately in one failure domain.
#[derive(Debug, Default)]
pub struct Pace {
    begun: VecDeque<Moment>,
    /// When this count began, if others may have begun loads before.
    from: Option<Moment>,
}

impl Pace {
    /// Starts a count that others may have spent: an earlier life of the process, or those that ended
    /// with it, may have begun the whole share just before, and none of them can tell.
    pub fn after_others(now: Moment) -> Self {
        Self {
            begun: VecDeque::new(),
            from: Some(now),
        }
    }

    /// Returns when another load may begin; `None` if it may now.
    pub fn next_at(&mut self, ceiling: &Ceiling, now: Moment) -> Option<Moment> {
        if let Some(from) = self.from {
            if now.since(from) <= ceiling.window {
                return Some(from + ceiling.window + Duration::from_millis(1));
            }
            self.from = None;
        }
        while let Some(first) = self.begun.front()
            && now.since(*first) > ceiling.window
        {
            self.begun.pop_front();
        }
        let over = (self.begun.len() + 1).checked_sub(ceiling.share())?;
        let last_in_way = over.checked_sub(1)?;
        let ends = self.begun.get(last_in_way).copied()? + ceiling.window;
        Some(ends + Duration::from_millis(1))
    }

    /// Counts a load that begins, here or by another holder of the right.
    pub fn begin(&mut self, now: Moment) {
        self.begun.push_back(now);
    }
}
