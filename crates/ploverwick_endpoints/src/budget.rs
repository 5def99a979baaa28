//! A budget for sends beyond the first of each request.
//!
//! The bound holds over the sum of all instances. Each one keeps below its own requests' share and
//! an even part of the fixed allowance, so that no message is needed to keep the sum.

use std::collections::VecDeque;
use std::time::Duration;

use ploverwick_names::Moment;

use crate::Sharers;

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

/// What a decision on a repeat rests on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Account {
    /// The requests that count.
    pub requests: u32,
    /// The repeats that count, without the one that is asked for.
    pub repeats: u32,
    /// How many repeats there may be.
    pub most: f64,
}

impl Account {
    /// Returns whether there is a repeat left.
    pub fn has_room(&self) -> bool {
        f64::from(self.repeats) + 1.0 <= self.most
    }
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

    /// Takes a repeat out of the budget if there is one left, and returns what that rests on.
    ///
    /// `sharers` are those that share the allowance.
    pub fn repeat(&mut self, rate: Rate, sharers: &Sharers, now: Moment) -> Account {
        self.bucket(now);
        // One bucket more than the window is kept, so that a repeat counts a little too long.
        let oldest = now - rate.window - BUCKET;
        while self.buckets.front().is_some_and(|b| b.start < oldest) {
            self.buckets.pop_front();
        }
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let repeats: u32 = self.buckets.iter().map(|b| b.repeats).sum();
        let account = Account {
            requests,
            repeats,
            most: SAFETY * (rate.ratio * f64::from(requests) + sharers.share(rate, now)),
        };
        if account.has_room() {
            self.bucket(now).repeats += 1;
        }
        account
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
