//! How many instances share an allowance, as far as one of them can prove.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::{InstanceCount, RetryPolicy};
use ploverwick_names::Moment;

const RATE: RetryPolicy = RetryPolicy {
    ratio: 0.2,
    allowance: 60.0,
    window: Duration::from_secs(10),
};

fn heard(counts: &[(u64, usize)]) -> InstanceCount {
    let mut instance_count = InstanceCount::default();
    for (at, instances) in counts {
        instance_count.record(*instances, RATE, Moment(*at));
    }
    instance_count
}

#[googletest::test]
fn unknown_has_none() {
    let instance_count = InstanceCount::default();
    expect_that!(instance_count.share(RATE, Moment(60_000)), eq(0.0));
    expect_that!(instance_count.max_in_window(RATE, Moment(60_000)), none());
}

#[googletest::test]
fn new_has_none() {
    let instance_count = heard(&[(1_000, 6)]);
    expect_that!(instance_count.share(RATE, Moment(12_500)), eq(0.0));
    expect_that!(instance_count.share(RATE, Moment(13_500)), eq(10.0));
}

/// What an instance that has just left spent still counts.
#[googletest::test]
fn largest_counts() {
    let instance_count = heard(&[(0, 6), (20_000, 4), (20_500, 5)]);
    expect_that!(
        instance_count.max_in_window(RATE, Moment(25_000)),
        some(eq(6))
    );
    expect_that!(
        instance_count.max_in_window(RATE, Moment(30_000)),
        some(eq(6))
    );
    expect_that!(
        instance_count.max_in_window(RATE, Moment(30_001)),
        some(eq(5))
    );
}

/// A number that lasts is not forgotten, and those before it are not kept.
#[googletest::test]
fn old_numbers_lapse() {
    let mut instance_count = heard(&[(0, 9), (1_000, 3)]);
    expect_that!(
        instance_count.max_in_window(RATE, Moment(90_000)),
        some(eq(3))
    );
    instance_count.record(3, RATE, Moment(90_000));
    instance_count.record(4, RATE, Moment(91_000));
    expect_that!(
        instance_count.max_in_window(RATE, Moment(92_000)),
        some(eq(4))
    );
}
