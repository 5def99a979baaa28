//! Tests that restarts do not let instances exceed a shared limit.
//!
//! Used tokens are only kept in memory, so a new process that started with a full bucket could admit
//! another second's worth of its share. With full initial buckets, a limit of 600 requests in ten seconds
//! admits 825 if each of six instances restarts every three seconds, and 1,140 if all restart each second.

use googletest::prelude::*;
use ploverwick_limits::{PriorUse, RateLimiter, Sharers};
use ploverwick_names::Moment;
use ploverwick_table::{Column, Subject};

/// The limit in requests per second over all instances.
const LIMIT: f64 = 60.0;
const INSTANCES: usize = 6;
/// The interval between two requests to an instance: ten times the rate of its share.
const REQUEST_INTERVAL_MS: usize = 10;
/// The simulated time.
const DURATION_MS: usize = 12_000;

fn column() -> Column {
    "limit".parse().expect("a column's header")
}

fn take(rates: &mut RateLimiter, limit: f64, elapsed: usize) -> bool {
    let now = Moment(elapsed as u64);
    let sharers = Sharers::Known {
        count: INSTANCES,
        since: Moment(0),
    };
    let result = rates.take_shared(&Subject::All, &column(), limit, sharers, now);
    result.is_ok()
}

/// Simulates constant load on all instances and returns when requests were admitted. `restarts` decides
/// whether an instance restarts at a given time.
fn run(restarts: impl Fn(usize, usize) -> bool) -> Vec<usize> {
    run_with_pauses(restarts, |_| false)
}

/// Simulates load that stops whenever `pauses` returns `true`.
fn run_with_pauses(
    restarts: impl Fn(usize, usize) -> bool,
    pauses: impl Fn(usize) -> bool,
) -> Vec<usize> {
    let mut processes: Vec<(usize, RateLimiter)> = Vec::new();
    processes.resize_with(INSTANCES, || (0, RateLimiter::new(PriorUse::None)));
    let mut admitted = Vec::new();
    for at in (0..DURATION_MS).step_by(REQUEST_INTERVAL_MS) {
        for (number, process) in processes.iter_mut().enumerate() {
            if restarts(number, at) {
                *process = (at, RateLimiter::new(PriorUse::Unknown));
            }
            if !pauses(at) && take(&mut process.1, LIMIT, at - process.0) {
                admitted.push(at);
            }
        }
    }
    admitted
}

/// Returns the largest number of requests that were admitted beyond the limit in any window.
fn max_excess(admitted: &[usize], window: usize) -> f64 {
    let starts = (0..DURATION_MS - window).step_by(100);
    let counts = starts.map(|start| {
        let within = admitted
            .iter()
            .filter(|at| (start..start + window).contains(*at));
        within.count() as f64 - LIMIT * window as f64 / 1_000.0
    });
    counts.fold(f64::MIN, f64::max)
}

#[googletest::test]
fn rolling_restarts_stay_within_limit() {
    let admitted = run(|number, at| at > 0 && at % 3_000 == number * 500);
    for window in [1_000, 5_000, 10_000] {
        expect_that!(max_excess(&admitted, window), le(INSTANCES as f64));
    }
}

#[googletest::test]
fn simultaneous_restarts_stay_within_limit() {
    let admitted = run(|_, at| at > 0 && at % 1_000 == 0);
    for window in [1_000, 5_000, 10_000] {
        expect_that!(max_excess(&admitted, window), le(INSTANCES as f64));
    }
}

/// Returns the next number of a deterministic pseudo-random sequence.
fn next_random(seed: &mut u64) -> u64 {
    *seed = seed
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1_442_695_040_888_963_407);
    *seed >> 33
}

/// Tests random restarts and pauses of the load, during which buckets fill. A window may exceed the limit by
/// the burst of one second and one request per instance.
#[googletest::test]
fn random_restarts_stay_within_limit() {
    for first in 0..200_u64 {
        let mut seed = first;
        let rarity = 1 + next_random(&mut seed) % 400;
        let restarts: Vec<bool> = (0..INSTANCES * DURATION_MS / REQUEST_INTERVAL_MS)
            .map(|_| next_random(&mut seed).is_multiple_of(rarity))
            .collect();
        let pauses: Vec<bool> = (0..=DURATION_MS / 500)
            .map(|_| next_random(&mut seed).is_multiple_of(2))
            .collect();
        let admitted = run_with_pauses(
            |number, at| restarts[at / REQUEST_INTERVAL_MS * INSTANCES + number],
            |at| pauses[at / 500],
        );
        for window in [1_000, 5_000, 10_000] {
            expect_that!(max_excess(&admitted, window), le(LIMIT + INSTANCES as f64));
        }
    }
}

/// Guards against a lower rate after a restart. Only the accumulated burst is lost.
#[googletest::test]
fn restart_does_not_reduce_rate() {
    let admitted = run(|_, at| at == 3_000);
    let after = admitted.iter().filter(|at| (3_000..8_000).contains(*at));
    expect_that!(after.count(), ge(290));
}

/// Guards against a bucket that only starts to fill at its first use.
#[googletest::test]
fn late_first_use_has_full_burst() {
    let mut rates = RateLimiter::new(PriorUse::Unknown);
    let burst = (0..100).filter(|_| take(&mut rates, LIMIT, 1_000)).count();
    expect_that!(burst, eq(10));
}

/// Tests a share below one request per second: the first token takes as long as any other.
#[googletest::test]
fn small_share_waits_for_first_token() {
    let mut rates = RateLimiter::new(PriorUse::Unknown);
    // A share of 0.1 requests per second.
    let limit = 0.1 * INSTANCES as f64;
    expect_that!(take(&mut rates, limit, 9_900), is_false());
    expect_that!(take(&mut rates, limit, 10_010), is_true());
    // On the first start of the system no tokens can have been used.
    let mut rates = RateLimiter::new(PriorUse::None);
    expect_that!(take(&mut rates, limit, 10), is_true());
    expect_that!(take(&mut rates, limit, 20), is_false());
}

/// Guards against a new instance that uses a share for the time in which others did not account for it.
#[googletest::test]
fn new_instance_starts_with_empty_bucket() {
    let mut rates = RateLimiter::new(PriorUse::Unknown);
    let sharers = Sharers::Known {
        count: INSTANCES,
        since: Moment(8_000),
    };
    let mut take = |at| {
        rates
            .take_shared(&Subject::All, &column(), LIMIT, sharers, Moment(at))
            .is_ok()
    };
    expect_that!(take(8_050), is_false());
    expect_that!(take(8_110), is_true());
    expect_that!(take(8_150), is_false());
}

#[googletest::test]
fn unknown_sharers_are_refused() {
    let mut rates = RateLimiter::new(PriorUse::None);
    let now = Moment(60_000);
    let result = rates.take_shared(&Subject::All, &column(), LIMIT, Sharers::Unknown, now);
    expect_that!(result, err(anything()));
}

#[googletest::test]
fn table_change_does_not_restore_tokens() {
    let mut rates = RateLimiter::new(PriorUse::Unknown);
    while take(&mut rates, LIMIT, 20_000) {}
    rates.remove_full(Moment(20_000));
    expect_that!(take(&mut rates, LIMIT, 20_000), is_false());
    // The bucket is full again after one second and can be removed.
    rates.remove_full(Moment(21_000));
    expect_that!(rates.is_empty(), is_true());
}
