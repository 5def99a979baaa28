//! A machine may be suspended for seconds that the steady clock does not count. Others go on meanwhile, so
//! that what this process believes of the age of things must count them.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use ploverwick_gateway::clock::Clock;
use ploverwick_names::Moment;

/// The milliseconds for which the machine was suspended.
static SUSPENDED: AtomicU64 = AtomicU64::new(0);

fn counting() -> Duration {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    let start = START.get_or_init(Instant::now);
    start.elapsed() + Duration::from_millis(SUSPENDED.load(Ordering::Relaxed))
}

#[gtest]
fn suspension_counts() {
    let clock = Clock::with_boot_clock(counting);
    let copy = clock.clone();
    let before = clock.now();
    SUSPENDED.fetch_add(5_000, Ordering::Relaxed);
    let after = clock.now();
    // Milliseconds are cut off.
    expect_that!(after.since(before), ge(Duration::from_millis(4_998)));
    // What is to be done at a moment that passed meanwhile is due.
    let due = clock.instant(before + Duration::from_secs(4));
    expect_that!(due, le(tokio::time::Instant::now()));
    // What is still to come is waited for as long as it takes from now on.
    let later = clock.instant(after + Duration::from_mins(1));
    let left = later.saturating_duration_since(tokio::time::Instant::now());
    expect_that!(
        left,
        all![gt(Duration::from_secs(30)), le(Duration::from_mins(1))]
    );
    expect_that!(copy.now(), ge(after));
    SUSPENDED.fetch_add(30_000, Ordering::Relaxed);
    expect_that!(copy.now().since(after), ge(Duration::from_millis(29_998)));
    expect_that!(clock.now(), ge(Moment(34_998)));
}

/// The system's own clocks agree while the machine runs.
#[gtest]
fn running_is_none() {
    let clock = Clock::start();
    let due = clock.instant(Moment(0));
    clock.now();
    expect_that!(clock.instant(Moment(0)), eq(due));
}
