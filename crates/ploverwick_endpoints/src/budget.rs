//! Retry budget of a service.
//!
//! The budget bounds the retries of all instances together, even if processes start and stop, and needs
//! no messages between instances. It has two parts, neither of which depends on the state of an earlier
//! process:
//!
//! - Each request earns a fraction of a retry, which expires soon. Retries in a window were therefore earned
//!   in that window or just before it, by any process.
//! - Each instance has an equal share of a fixed allowance once its process has run for a full window. What
//!   an earlier process spent is outside the window by then.
//!
//! A window can still contain more retries than it earned if most requests arrived just before it, such as
//! a burst of less than a second whose retries follow a second later.

use std::collections::VecDeque;
use std::time::Duration;

use ploverwick_names::Moment;

use crate::InstanceCount;

/// The fraction of the window for which a request can fund retries. The retries in a window can then use what 1.15
/// windows of requests earned; [`SAFETY_FACTOR`] compensates for the difference.
const EARNING_FRACTION: f64 = 0.15;
/// The maximum time for which a request can fund retries.
const MAX_EARNING_WINDOW: Duration = Duration::from_millis(1_500);
/// The number of buckets in the time for which a request can fund retries.
const EARNING_BUCKETS: u32 = 6;

/// The fraction of the bound that is used: 0.85 of 1.15 windows is less than a window. The remainder
/// covers retries that arrive some time after they were sent.
const SAFETY_FACTOR: f64 = 0.85;

/// The bound on retries over all instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryPolicy {
    /// Retries earned by each request.
    pub ratio: f64,
    /// Retries allowed in a window regardless of the number of requests, over all instances.
    pub allowance: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

impl RetryPolicy {
    /// Returns how long a request can fund retries.
    fn earning_window(&self) -> Duration {
        let earning_window = self.window.mul_f64(EARNING_FRACTION);
        earning_window.min(MAX_EARNING_WINDOW)
    }

    /// Returns the time span that one bucket counts.
    fn bucket_width(&self) -> Duration {
        self.earning_window() / EARNING_BUCKETS
    }
}

/// The state of a budget when a retry was decided on, in retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Balance {
    /// What recent requests earned and has not been spent.
    pub earned: f64,
    /// What was spent from the allowance in the window.
    pub spent: f64,
    /// This instance's share of the allowance.
    pub share: f64,
}

impl Balance {
    /// Returns whether a retry is allowed. The allowance covers the part that is not earned.
    pub fn allows_retry(&self) -> bool {
        let missing = self.missing();
        missing <= 0.0 || self.spent + missing <= self.share
    }

    /// Returns the fraction of a retry that is not earned.
    fn missing(&self) -> f64 {
        (1.0 - self.earned).max(0.0)
    }
}

/// An amount counted over [`RetryPolicy::bucket_width`].
#[derive(Debug, Clone, Copy)]
struct Bucket {
    start: Moment,
    amount: f64,
}

/// The recent requests and retries of one service.
#[derive(Debug, Default, Clone)]
pub struct Budget {
    /// Requests that can still fund retries.
    requests: VecDeque<Bucket>,
    /// Retries that were charged to the allowance.
    spent: VecDeque<Bucket>,
}

impl Budget {
    /// Counts a request.
    pub fn record_request(&mut self, policy: RetryPolicy, now: Moment) {
        self.drop_expired(policy, now);
        add(&mut self.requests, 1.0, policy.bucket_width(), now);
    }

    /// Charges a retry to the budget if one is available, and returns the balance before the charge.
    ///
    /// `instance_count` determines this instance's share of the allowance.
    pub fn try_retry(
        &mut self,
        policy: RetryPolicy,
        instance_count: &InstanceCount,
        now: Moment,
    ) -> Balance {
        self.drop_expired(policy, now);
        // Keep a bucket until its last possible retry has left the window.
        let bucket_width = policy.bucket_width();
        drop_before(&mut self.spent, now - policy.window - bucket_width);
        let balance = Balance {
            earned: SAFETY_FACTOR * policy.ratio * sum(&self.requests),
            spent: sum(&self.spent),
            share: SAFETY_FACTOR * instance_count.share(policy, now),
        };
        if balance.allows_retry() {
            let missing = balance.missing();
            if missing < 1.0 {
                self.consume((1.0 - missing) / (SAFETY_FACTOR * policy.ratio));
            }
            if missing > 0.0 {
                add(&mut self.spent, missing, bucket_width, now);
            }
        }
        balance
    }

    fn drop_expired(&mut self, policy: RetryPolicy, now: Moment) {
        drop_before(&mut self.requests, now - policy.earning_window());
    }

    /// Consumes earned requests, the oldest first.
    fn consume(&mut self, mut requests: f64) {
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

/// Drops the buckets that start before `moment`.
fn drop_before(buckets: &mut VecDeque<Bucket>, moment: Moment) {
    while buckets.front().is_some_and(|b| b.start < moment) {
        buckets.pop_front();
    }
}

fn add(buckets: &mut VecDeque<Bucket>, amount: f64, bucket_width: Duration, now: Moment) {
    match buckets.back_mut() {
        Some(last) if now.since(last.start) < bucket_width => last.amount += amount,
        Some(_) | None => buckets.push_back(Bucket { start: now, amount }),
    }
}
