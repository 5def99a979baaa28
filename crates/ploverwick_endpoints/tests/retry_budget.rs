//! Tests the retry budget over a sliding window.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::{Budget, InstanceCount, RetryPolicy};
use ploverwick_names::Moment;

const POLICY: RetryPolicy = RetryPolicy {
    ratio: 0.2,
    allowance: 60.0,
    window: Duration::from_secs(10),
};

/// More than a window after the number of instances was first recorded.
const AFTER_WINDOW: Moment = Moment(20_000);

/// Returns an instance count that has been known for a long time.
fn known_instances(instances: usize) -> InstanceCount {
    let mut instance_count = InstanceCount::default();
    instance_count.record(instances, POLICY, Moment(0));
    instance_count
}

#[googletest::test]
fn allowance_is_divided_between_instances() {
    let instance_count = known_instances(6);
    let mut budget = Budget::default();
    let granted = (0..100)
        .filter(|_| {
            budget
                .try_retry(POLICY, &instance_count, AFTER_WINDOW)
                .allows_retry()
        })
        .count();
    expect_that!(granted, le(10));
    expect_that!(granted, gt(5));
}

#[googletest::test]
fn requests_earn_retries() {
    let instance_count = known_instances(6);
    let mut budget = Budget::default();
    for _ in 0..500 {
        budget.record_request(POLICY, AFTER_WINDOW);
    }
    let granted = (0..500)
        .filter(|_| {
            budget
                .try_retry(
                    POLICY,
                    &instance_count,
                    AFTER_WINDOW + Duration::from_millis(100),
                )
                .allows_retry()
        })
        .count();
    expect_that!(granted, le(110));
    expect_that!(granted, ge(80));
}

/// Guards against more retries than the bound in any window while the load starts and stops.
#[googletest::test]
fn every_window_is_within_bound() {
    let mut budget = Budget::default();
    let instance_count = known_instances(1);
    let mut granted: Vec<u64> = Vec::new();
    for at in (0..60_000).step_by(50) {
        let busy = (at / 7_000) % 2 == 0;
        if busy {
            budget.record_request(POLICY, Moment(at));
        }
        if budget
            .try_retry(POLICY, &instance_count, Moment(at))
            .allows_retry()
        {
            granted.push(at);
        }
    }
    for start in (0..60_000_u64).step_by(100) {
        let window = start..start + 10_000;
        let count = granted.iter().filter(|at| window.contains(at)).count();
        // A window contains at most 200 requests: 0.2 x 200 + 60.
        expect_that!(count, le(100));
    }
}

/// Guards against more retries than the bound in a window that is shorter than the usual one: a request could fund
/// retries for longer than the window.
#[googletest::test]
fn short_windows_are_within_bound() {
    const START: u64 = 5_000;
    for window_s in [1, 2, 5, 8, 10, 20] {
        let policy = RetryPolicy {
            ratio: 0.2,
            allowance: 0.0,
            window: Duration::from_secs(window_s),
        };
        let mut budget = Budget::default();
        let mut granted = 0;
        for at in 0..START + window_s * 1_000 {
            budget.record_request(policy, Moment(at));
            let has_retry = at >= START
                && budget
                    .try_retry(policy, &InstanceCount::default(), Moment(at))
                    .allows_retry();
            granted += u64::from(has_retry);
        }
        expect_that!(granted, le(200 * window_s), "{window_s} s");
        expect_that!(granted, ge(160 * window_s), "{window_s} s");
    }
}
