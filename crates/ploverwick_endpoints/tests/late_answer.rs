//! Tests when an endpoint whose answer is late is given up for another one.

use std::cell::Cell;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::LateAnswer;

const REMAINING: Duration = Duration::from_millis(300);

/// Guards against an endpoint that is given up before another one is certain to answer in time.
#[googletest::test]
fn endpoint_is_kept_until_replacement_is_certain() {
    let decide = |expected: Option<u64>, has_budget| {
        let expected = expected.map(Duration::from_millis);
        LateAnswer::decide(expected, REMAINING, || has_budget)
    };
    expect_that!(decide(Some(200), true), eq(LateAnswer::Replace));
    expect_that!(decide(None, true), eq(LateAnswer::NoOther));
    expect_that!(decide(Some(300), true), eq(LateAnswer::NoTime));
    expect_that!(decide(Some(200), false), eq(LateAnswer::NoBudget));
}

#[googletest::test]
fn budget_is_charged_last() {
    let charged = Cell::new(0);
    let decide = |expected: Option<Duration>| {
        LateAnswer::decide(expected, REMAINING, || {
            charged.set(charged.get() + 1);
            true
        })
    };
    decide(None);
    decide(Some(REMAINING));
    expect_that!(charged.get(), eq(0));
    decide(Some(Duration::ZERO));
    expect_that!(charged.get(), eq(1));
}
