//! The clock must count time during which the machine is suspended, which the monotonic clock does not. Other instances
//! continue to run meanwhile, so ages computed without that time are too low.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use ploverwick_gateway::clock::Clock;
use ploverwick_names::Moment;

/// How long the simulated machine was suspended, in milliseconds.
static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

/// A clock that includes the time of suspension.
fn boot_time() -> Duration {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    let start = START.get_or_init(Instant::now);
    start.elapsed() + Duration::from_millis(SUSPENDED_MS.load(Ordering::Relaxed))
}

#[gtest]
fn suspension_is_counted() {
    let clock = Clock::with_boot_clock(boot_time);
    let copy = clock.clone();
    let before = clock.now();
    SUSPENDED_MS.fetch_add(5_000, Ordering::Relaxed);
    let after = clock.now();
    // Moments are truncated to milliseconds.
    expect_that!(after.since(before), ge(Duration::from_millis(4_998)));
    // A deadline that passed during the suspension has expired.
    let due = clock.instant(before + Duration::from_secs(4));
    expect_that!(due, le(tokio::time::Instant::now()));
    // A deadline in the future is as far away as it would be without the suspension.
    let later = clock.instant(after + Duration::from_mins(1));
    let remaining = later.saturating_duration_since(tokio::time::Instant::now());
    expect_that!(
        remaining,
        all![gt(Duration::from_secs(30)), le(Duration::from_mins(1))]
    );
    expect_that!(copy.now(), ge(after));
    SUSPENDED_MS.fetch_add(30_000, Ordering::Relaxed);
    expect_that!(copy.now().since(after), ge(Duration::from_millis(29_998)));
    expect_that!(clock.now(), ge(Moment(34_998)));
}

/// Guards against a correction while the machine is not suspended, when the two system clocks agree.
#[gtest]
fn no_suspension_while_running() {
    let clock = Clock::start();
    let due = clock.instant(Moment(0));
    clock.now();
    expect_that!(clock.instant(Moment(0)), eq(due));
}
