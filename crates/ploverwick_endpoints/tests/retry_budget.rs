//! The budget of repeats over a sliding window.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::{Budget, Rate};
use ploverwick_names::Moment;

const RATE: Rate = Rate {
    ratio: 0.2,
    allowance: 60.0,
    window: Duration::from_secs(10),
};

#[googletest::test]
fn allowance_is_shared() {
    let mut budget = Budget::default();
    let granted = (0..100)
        .filter(|_| budget.repeat(RATE, 6, Moment(0)).has_room())
        .count();
    expect_that!(granted, le(10));
    expect_that!(granted, gt(5));
}

#[googletest::test]
fn requests_earn_repeats() {
    let mut budget = Budget::default();
    for _ in 0..500 {
        budget.request(Moment(100));
    }
    let granted = (0..500)
        .filter(|_| budget.repeat(RATE, 6, Moment(200)).has_room())
        .count();
    expect_that!(granted, le(110));
    expect_that!(granted, ge(80));
}

/// In no window are there more repeats than the bound, however they come.
#[googletest::test]
fn every_window_holds() {
    let mut budget = Budget::default();
    let mut granted: Vec<u64> = Vec::new();
    for at in (0..60_000).step_by(50) {
        let busy = (at / 7_000) % 2 == 0;
        if busy {
            budget.request(Moment(at));
        }
        if budget.repeat(RATE, 1, Moment(at)).has_room() {
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
