//! A budget for sends beyond the first of each request.
//!
//! The bound holds over the sum of all instances whatever processes start and end meanwhile, and no
//! message is needed to keep the sum. Two parts of it rest on no memory of an earlier process:
//!
//! - A request earns a part of a repeat, which lapses soon. What is spent in a window was earned in it
//!   or just before, by whichever process.
//! - Of the fixed allowance each instance has an even part, once its process has run for a window: what
//!   an earlier process spent of it has left the window by then.
//!
//! A window can still hold more than it earned if most requests came just before it: a crowd that lasts
//! less than a second and is gone, whose repeats come a second later.

use std::collections::VecDeque;
use std::time::Duration;

use ploverwick_names::Moment;

use crate::Census;

/// How finely time is counted.
const BUCKET: Duration = Duration::from_millis(250);

/// How long a request earns for repeats. It lets as much be spent in a window of ten seconds as 11.5
/// seconds of requests earn; [`SAFETY`] makes up for that.
const EARNING: Duration = Duration::from_millis(1_500);

/// The part of the bound that is used: 0.85 of 11.5 seconds of requests are below ten. The rest covers
/// repeats that arrive later than they were sent.
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

/// What a decision on a repeat rests on, in repeats.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Account {
    /// What requests have earned lately and is not spent.
    pub earned: f64,
    /// What was taken out of the allowance in the window.
    pub spent: f64,
    /// This instance's part of the allowance.
    pub share: f64,
}

impl Account {
    /// Returns whether there is a repeat left: what is not earned comes out of the allowance.
    pub fn has_room(&self) -> bool {
        let missing = self.missing();
        missing <= 0.0 || self.spent + missing <= self.share
    }

    /// Returns the part of a repeat that is not earned.
    fn missing(&self) -> f64 {
        (1.0 - self.earned).max(0.0)
    }
}

/// An amount that was counted from a moment on.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    start: Moment,
    amount: f64,
}

/// The requests and repeats of one service in the recent past.
#[derive(Debug, Default, Clone)]
pub struct Budget {
    /// Requests that may still earn.
    requests: VecDeque<Bucket>,
    /// Repeats that were taken out of the allowance.
    spent: VecDeque<Bucket>,
}

impl Budget {
    /// Counts a request.
    pub fn request(&mut self, now: Moment) {
        self.lapse(now);
        add(&mut self.requests, 1.0, now);
    }

    /// Takes a repeat out of the budget if there is one left, and returns what that rests on.
    ///
    /// `census` counts those that share the allowance.
    pub fn repeat(&mut self, rate: Rate, census: &Census, now: Moment) -> Account {
        self.lapse(now);
        // A repeat at the end of its bucket counts for the whole window.
        drop_until(&mut self.spent, now - rate.window - BUCKET);
        let account = Account {
            earned: SAFETY * rate.ratio * sum(&self.requests),
            spent: sum(&self.spent),
            share: SAFETY * census.share(rate, now),
        };
        if account.has_room() {
            let missing = account.missing();
            if missing < 1.0 {
                self.use_up((1.0 - missing) / (SAFETY * rate.ratio));
            }
            if missing > 0.0 {
                add(&mut self.spent, missing, now);
            }
        }
        account
    }

    fn lapse(&mut self, now: Moment) {
        drop_until(&mut self.requests, now - EARNING);
    }

    /// Uses requests up, the oldest first.
    fn use_up(&mut self, mut requests: f64) {
        for bucket in &mut self.requests {
            let used = bucket.amount.min(requests);
            bucket.amount -= used;
            requests -= used;
        }
    }
}

fn sum(buckets: &VecDeque<Bucket>) -> f64 {
    buckets.iter().map(|bucket| bucket.amount).sum()
}

/// Drops the buckets that start before a moment.
fn drop_until(buckets: &mut VecDeque<Bucket>, moment: Moment) {
    while buckets.front().is_some_and(|b| b.start < moment) {
        buckets.pop_front();
    }
}

fn add(buckets: &mut VecDeque<Bucket>, amount: f64, now: Moment) {
    match buckets.back_mut() {
        Some(last) if now.since(last.start) < BUCKET => last.amount += amount,
        Some(_) | None => buckets.push_back(Bucket { start: now, amount }),
    }
}
