//! Tests the number of instances that share the retry allowance.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::{InstanceCount, RetryPolicy};
use ploverwick_names::Moment;

const POLICY: RetryPolicy = RetryPolicy {
    ratio: 0.2,
    allowance: 60.0,
    window: Duration::from_secs(10),
};

fn with_counts(counts: &[(u64, usize)]) -> InstanceCount {
    let mut instance_count = InstanceCount::default();
    for (at, instances) in counts {
        instance_count.record(*instances, POLICY, Moment(*at));
    }
    instance_count
}

#[googletest::test]
fn unknown_count_has_no_share() {
    let instance_count = InstanceCount::default();
    expect_that!(instance_count.share(POLICY, Moment(60_000)), eq(0.0));
    expect_that!(instance_count.max_in_window(POLICY, Moment(60_000)), none());
}

#[googletest::test]
fn new_process_has_no_share() {
    let instance_count = with_counts(&[(1_000, 6)]);
    expect_that!(instance_count.share(POLICY, Moment(12_500)), eq(0.0));
    expect_that!(instance_count.share(POLICY, Moment(13_500)), eq(10.0));
}

/// Guards against ignoring the retries of an instance that has just left.
#[googletest::test]
fn largest_count_in_window_applies() {
    let instance_count = with_counts(&[(0, 6), (20_000, 4), (20_500, 5)]);
    expect_that!(
        instance_count.max_in_window(POLICY, Moment(25_000)),
        some(eq(6))
    );
    expect_that!(
        instance_count.max_in_window(POLICY, Moment(30_000)),
        some(eq(6))
    );
    expect_that!(
        instance_count.max_in_window(POLICY, Moment(30_001)),
        some(eq(5))
    );
}

/// Guards against expiry of the current count, and against earlier counts that never expire.
#[googletest::test]
fn replaced_counts_expire() {
    let mut instance_count = with_counts(&[(0, 9), (1_000, 3)]);
    expect_that!(
        instance_count.max_in_window(POLICY, Moment(90_000)),
        some(eq(3))
    );
    instance_count.record(3, POLICY, Moment(90_000));
    instance_count.record(4, POLICY, Moment(91_000));
    expect_that!(
        instance_count.max_in_window(POLICY, Moment(92_000)),
        some(eq(4))
    );
}
