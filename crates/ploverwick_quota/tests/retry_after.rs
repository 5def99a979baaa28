//! A refused request succeeds when it is retried after the delay that the pool returned.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_names::Moment;
use ploverwick_quota::{Grant, GrantRequest, Lease, Pool};
use ploverwick_routes::{Quota, Unit};

const WINDOW: Duration = Duration::from_secs(8);
const QUOTA: Quota = Quota {
    rate: 1_000.0,
    burst: 1_000.0,
    unit: Unit::Requests,
};

/// Returns a pool that has held a lease of the whole quota for `leased`, and the time now.
fn leased_pool(leased: Duration) -> (Pool, Moment) {
    let mut pool = Pool::new(WINDOW);
    let lease = Lease {
        instance_count: 1,
        lease_ms: 3_600_000,
        grant_requests: Vec::new(),
    };
    pool.apply_lease(IpAddr::V4(Ipv4Addr::LOCALHOST), &lease, Moment(0));
    (pool, Moment(0) + leased)
}

fn request(pool: &mut Pool, cost: u32, now: Moment) -> Grant {
    request_all(pool, &[cost], now)
}

fn request_all(pool: &mut Pool, costs: &[u32], now: Moment) -> Grant {
    let request = GrantRequest {
        organisation: Arc::from("one"),
        costs: costs.to_vec(),
        prefetch: 0,
    };
    pool.grant(&request, &QUOTA, now)
}

/// Returns a pool that has held a lease for 800 ms and has granted what its window allows, and the time now.
fn used_up_new_pool() -> (Pool, Moment) {
    let (mut pool, now) = leased_pool(Duration::from_millis(800));
    // 800 ms at the sustained rate of 1,125 units a second times the grantable 0.96, less 4 units.
    expect_that!(request(&mut pool, 860, now).units, eq(860));
    (pool, now)
}

/// Expects requests of `costs` to be refused, and returns the delay.
fn expect_refusal(pool: &mut Pool, costs: &[u32], now: Moment) -> Duration {
    let grant = request_all(pool, costs, now);
    expect_that!(grant.units, eq(0), "{costs:?}");
    Duration::from_millis(grant.wait_ms.into())
}

/// Expects a request that was refused at `at` with the delay `wait` to fit then, and not over a slot earlier than that if
/// the window of a new pool must grow by `units` for it.
fn expect_fits_after(pool: &mut Pool, cost: u32, at: Moment, wait: Duration, units: u32) {
    let growth = Duration::from_secs_f64(f64::from(units) / 1_080.0);
    expect_that!(
        wait,
        le(growth + Duration::from_millis(100)),
        "{cost} units"
    );
    let retry = request(pool, cost, at + wait);
    expect_that!(retry.units, eq(cost), "after {wait:?}");
}

/// Sends requests until one is refused, and checks that its retry succeeds. Returns the delay before the retry.
fn expect_retry_succeeds(pool: &mut Pool, cost: u32, now: Moment, max_attempts: u32) -> Duration {
    for _ in 0..max_attempts {
        let grant = request(pool, cost, now);
        if grant.units == 0 {
            let wait = Duration::from_millis(grant.wait_ms.into());
            let again = request(pool, cost, now + wait);
            expect_that!(again.units, eq(cost), "after {wait:?}");
            return wait;
        }
    }
    panic!("nothing was refused");
}

/// A request refused only by the pacing limit may be retried within about a second.
#[gtest]
fn rate_limit_delay_is_short() {
    let (mut pool, now) = leased_pool(WINDOW * 2);
    let wait = expect_retry_succeeds(&mut pool, 1_000, now, 3);
    expect_that!(wait, le(Duration::from_millis(1_100)));
}

/// A request larger than the maximum lead may be retried once 0.93 of the sustained rate of 1,125 units a second has
/// made up for one as large, in steps of 100 ms.
#[gtest]
fn lead_limit_delay_matches_rate() {
    let (mut pool, now) = leased_pool(WINDOW * 2);
    let wait = expect_retry_succeeds(&mut pool, 2_000, now, 3);
    expect_that!(wait, le(Duration::from_millis(1_912 + 100)));
}

/// The window limit of a new pool grows with time, so the delay is short.
#[gtest]
fn new_pool_delay_is_short() {
    let (mut pool, now) = leased_pool(Duration::from_millis(200));
    let wait = expect_retry_succeeds(&mut pool, 700, now, 2);
    expect_that!(wait, le(Duration::from_millis(1_500)));
}

/// Guards against delays that count the cost of a request twice: 200 units that fit after 182 ms were told 352 ms.
#[gtest]
fn cost_counts_once() {
    for cost in [200, 800, 1_500] {
        let (mut pool, now) = used_up_new_pool();
        let wait = expect_refusal(&mut pool, &[cost], now);
        expect_fits_after(&mut pool, cost, now, wait, cost);
    }
}

/// Requests that are refused in one grant carry one delay, after which all of them fit.
#[gtest]
fn requests_of_one_grant_fit_together() {
    let (mut pool, now) = used_up_new_pool();
    let wait = expect_refusal(&mut pool, &[300, 200, 100], now);
    expect_fits_after(&mut pool, 600, now, wait, 600);
}

/// Room that becomes available after a refusal is counted once for the requests that are refused later.
#[gtest]
fn later_refusal_fits_after_earlier_one() {
    let (mut pool, first) = used_up_new_pool();
    let first_wait = expect_refusal(&mut pool, &[400], first);
    let second = first + Duration::from_millis(200);
    let second_wait = expect_refusal(&mut pool, &[400], second);
    expect_fits_after(&mut pool, 400, first, first_wait, 400);
    // Of the 800 units 216 have become available by the second refusal.
    expect_fits_after(&mut pool, 400, second, second_wait, 584);
}

/// Room for refused requests is not granted in advance before they may be retried.
#[gtest]
fn refused_request_precedes_grants_in_advance() {
    let (mut pool, now) = used_up_new_pool();
    let wait = expect_refusal(&mut pool, &[400], now);
    let prefetch = GrantRequest {
        organisation: Arc::from("one"),
        costs: Vec::new(),
        prefetch: 1_000,
    };
    for step in 1..=3 {
        let grant = pool.grant(&prefetch, &QUOTA, now + wait * step / 4);
        expect_that!(grant.units, eq(0));
    }
    expect_fits_after(&mut pool, 400, now, wait, 400);
}

/// A full window has room when earlier grants leave it.
#[gtest]
fn full_window_delay() {
    let (mut pool, mut now) = leased_pool(WINDOW * 2);
    while request(&mut pool, 2_000, now).units > 0 {
        now = now + Duration::from_secs(1);
    }
    let wait = expect_retry_succeeds(&mut pool, 2_000, now, 1);
    expect_that!(wait, ge(Duration::from_secs(1)));
    expect_that!(wait, le(WINDOW));
}

/// Requests refused one after the other while the window is full fit one after the other, as earlier grants leave it.
#[gtest]
fn full_window_delays_follow_each_other() {
    let (mut pool, start) = leased_pool(WINDOW * 2);
    for second in 0..8 {
        let grant = request(&mut pool, 1_060, start + Duration::from_secs(second));
        expect_that!(grant.units, eq(1_060));
    }
    let first = start + Duration::from_millis(7_500);
    let first_wait = expect_refusal(&mut pool, &[1_000], first);
    let second = start + Duration::from_millis(7_900);
    let second_wait = expect_refusal(&mut pool, &[1_000], second);
    expect_that!(first_wait, le(Duration::from_millis(500 + 100)));
    expect_that!(
        request(&mut pool, 1_000, first + first_wait).units,
        eq(1_000)
    );
    expect_that!(second_wait, le(Duration::from_millis(1_100 + 100)));
    expect_that!(
        request(&mut pool, 1_000, second + second_wait).units,
        eq(1_000)
    );
}

/// A quota of zero grants nothing.
#[gtest]
fn zero_quota_grants_nothing() {
    let (mut pool, now) = leased_pool(WINDOW * 2);
    let request = GrantRequest {
        organisation: Arc::from("none"),
        costs: vec![1],
        prefetch: 100,
    };
    let grant = pool.grant(&request, &Quota::ZERO, now);
    expect_that!(grant.units, eq(0));
    expect_that!(grant.wait_ms, gt(1_000));
}
