//! The budget of repeats over a sliding window.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::{Budget, InstanceCount, RetryPolicy};
use ploverwick_names::Moment;

const RATE: RetryPolicy = RetryPolicy {
    ratio: 0.2,
    allowance: 60.0,
    window: Duration::from_secs(10),
};

/// More than a window after the number of instances became known.
const LATER: Moment = Moment(20_000);

/// Returns what an instance knows that has known for long that there are so many.
fn shared_by(instances: usize) -> InstanceCount {
    let mut instance_count = InstanceCount::default();
    instance_count.record(instances, RATE, Moment(0));
    instance_count
}

#[googletest::test]
fn allowance_is_shared() {
    let instance_count = shared_by(6);
    let mut budget = Budget::default();
    let granted = (0..100)
        .filter(|_| {
            budget
                .try_retry(RATE, &instance_count, LATER)
                .allows_retry()
        })
        .count();
    expect_that!(granted, le(10));
    expect_that!(granted, gt(5));
}

#[googletest::test]
fn requests_earn_repeats() {
    let instance_count = shared_by(6);
    let mut budget = Budget::default();
    for _ in 0..500 {
        budget.record_request(LATER);
    }
    let granted = (0..500)
        .filter(|_| {
            budget
                .try_retry(RATE, &instance_count, LATER + Duration::from_millis(100))
                .allows_retry()
        })
        .count();
    expect_that!(granted, le(110));
    expect_that!(granted, ge(80));
}

/// In no window are there more repeats than the bound, however they come.
#[googletest::test]
fn every_window_holds() {
    let mut budget = Budget::default();
    let instance_count = shared_by(1);
    let mut granted: Vec<u64> = Vec::new();
    for at in (0..60_000).step_by(50) {
        let busy = (at / 7_000) % 2 == 0;
        if busy {
            budget.record_request(Moment(at));
        }
        if budget
            .try_retry(RATE, &instance_count, Moment(at))
            .allows_retry()
        {
            granted.push(at);
        }
    }
    for start in (0..60_000_u64).step_by(100) {
        let window = start..start + 10_000;
        let count = granted.iter().filter(|at| window.contains(at)).count();
        // At most 200 requests lie in a window: 0.2 x 200 + 60.
        expect_that!(count, le(100));
    }
}
