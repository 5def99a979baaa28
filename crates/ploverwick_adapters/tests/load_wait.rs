//! A request waits for its adapter only as long as that can serve it.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_adapters::LoadWait;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Requests gave up after 0.4 of their time, some of them a millisecond before the load was done.
#[googletest::test]
fn waits_on_for_coming_load() {
    let wait = LoadWait::new(ms(2_400));
    expect_that!(wait.is_over(ms(980), false), eq(true));
    expect_that!(wait.is_over(ms(980), true), eq(false));
    expect_that!(wait.is_over(ms(1_900), true), eq(true));
}

/// Requests were held for 0.4 of their time although the backlog of loads was longer.
#[googletest::test]
fn late_load_refused_at_once() {
    let wait = LoadWait::new(ms(1_000));
    expect_that!(wait.is_futile(ms(0), ms(300)), eq(false));
    expect_that!(wait.is_futile(ms(0), ms(900)), eq(true));
    expect_that!(wait.is_futile(ms(600), ms(300)), eq(true));
}

/// Repeats of lost runs asked for a copy until their time was over.
#[googletest::test]
fn tried_endpoint_used_again() {
    let wait = LoadWait::new(ms(1_000));
    expect_that!(wait.may_reuse_tried(0, false), eq(false));
    expect_that!(wait.may_reuse_tried(2, false), eq(true));
    expect_that!(wait.may_reuse_tried(2, true), eq(false));
}
