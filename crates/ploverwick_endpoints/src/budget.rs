//! A budget for sends beyond the first of each request.
//!
//! The bound holds over the sum of all instances. Each one keeps below its own requests' share and
//! an even part of the fixed allowance, so that no message is needed to keep the sum.

use std::collections::VecDeque;
use std::time::Duration;

use ploverwick_names::Moment;

/// How finely requests are counted in time.
const BUCKET: Duration = Duration::from_millis(500);

/// The part of the bound that is used; the rest covers requests that count later elsewhere.
const SAFETY: f64 = 0.85;

/// The bound on repeats.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rate {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats in a window whatever the number of requests, over all instances.
    pub allowance: f64,
    /// The length of the window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    start: Moment,
    requests: u32,
    repeats: u32,
}

/// The requests and repeats of one service in the recent past.
#[derive(Debug, Default, Clone)]
pub struct Budget {
    buckets: VecDeque<Bucket>,
}

impl Budget {
    /// Counts a request.
    pub fn request(&mut self, now: Moment) {
        self.bucket(now).requests += 1;
    }

    /// Takes a repeat out of the budget; `false` if there is none left.
    ///
    /// `instances` is the number of instances that share the allowance.
    pub fn repeat(&mut self, rate: Rate, instances: usize, now: Moment) -> bool {
        self.bucket(now);
        // One bucket more than the window is kept, so that a repeat counts a little too long.
        let oldest = now - rate.window - BUCKET;
        while self.buckets.front().is_some_and(|b| b.start < oldest) {
            self.buckets.pop_front();
        }
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let repeats: u32 = self.buckets.iter().map(|b| b.repeats).sum();
        let share = rate.allowance / instances.max(1) as f64;
        let most = SAFETY * (rate.ratio * f64::from(requests) + share);
        if f64::from(repeats) + 1.0 > most {
            return false;
        }
        self.bucket(now).repeats += 1;
        true
    }

    fn bucket(&mut self, now: Moment) -> &mut Bucket {
        let is_current = self
            .buckets
            .back()
            .is_some_and(|b| now.since(b.start) < BUCKET);
        if !is_current {
            self.buckets.push_back(Bucket {
                start: now,
                requests: 0,
                repeats: 0,
            });
        }
        self.buckets.back_mut().expect("a bucket was just pushed")
    }
}
