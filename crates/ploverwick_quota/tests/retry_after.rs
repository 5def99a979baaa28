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
    let request = GrantRequest {
        organisation: Arc::from("one"),
        costs: vec![cost],
        prefetch: 0,
    };
    pool.grant(&request, &QUOTA, now)
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
