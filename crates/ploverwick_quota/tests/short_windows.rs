//! A pool with a window of a second or a few.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_names::Moment;
use ploverwick_quota::{Grant, GrantRequest, Lease, Pool};
use ploverwick_routes::{Quota, Unit};

/// Whole and uneven numbers of milliseconds.
const WINDOWS_MS: [u64; 6] = [1_000, 971, 1_500, 5_000, 8_000, 8_090];
/// The maximum length of a slot.
const MAX_SLOT_MS: u64 = 100;

/// Returns a quota of this many units in any window, half of them as a burst.
fn quota(units: f64, window: Duration) -> Quota {
    Quota {
        rate: units / 2.0 / window.as_secs_f64(),
        burst: units / 2.0,
        unit: Unit::Requests,
    }
}

/// Returns a pool that holds the shares of six instances from the start, for long.
fn leased_pool(window: Duration) -> Pool {
    let mut pool = Pool::new(window);
    let lease = Lease {
        instance_count: 6,
        lease_ms: 3_600_000,
        grant_requests: Vec::new(),
    };
    for host in 1..=6 {
        let from = IpAddr::V4(Ipv4Addr::new(127, 0, 0, host));
        pool.apply_lease(from, &lease, Moment(0));
    }
    pool
}

fn request(pool: &mut Pool, cost: u32, quota: &Quota, now: Moment) -> Grant {
    let request = GrantRequest {
        organisation: Arc::from("one"),
        costs: vec![cost],
        prefetch: 0,
    };
    pool.grant(&request, quota, now)
}

/// Guards against a pool that refuses a request within the quota depending on the millisecond at which it arrives.
#[gtest]
fn decision_is_independent_of_arrival_time() {
    for window in WINDOWS_MS.map(Duration::from_millis) {
        let quota = quota(8_000.0, window);
        let refused = (0..MAX_SLOT_MS).filter(|offset| {
            let now = Moment(0) + window * 3 + Duration::from_millis(*offset);
            request(&mut leased_pool(window), 7_000, &quota, now).units == 0
        });
        expect_that!(refused.collect::<Vec<_>>(), is_empty(), "{window:?}");
    }
}

/// Guards against a delay that assumes a growing limit although the shares have been leased for a whole window.
#[gtest]
fn delay_ends_when_units_leave_window() {
    for window in WINDOWS_MS.map(Duration::from_millis) {
        let quota = quota(8_000.0, window);
        for offset in 0..MAX_SLOT_MS {
            let mut pool = leased_pool(window);
            let start = Moment(0) + window * 3 + Duration::from_millis(offset);
            for (cost, elapsed) in [(4_000, Duration::ZERO), (3_500, window / 2)] {
                let grant = request(&mut pool, cost, &quota, start + elapsed);
                expect_that!(grant.units, eq(cost), "{window:?} and {offset} ms");
            }
            let refused_at = start + window * 3 / 4;
            let refused = request(&mut pool, 200, &quota, refused_at);
            expect_that!(refused.units, eq(0), "{window:?} and {offset} ms");
            let retried_at = refused_at + Duration::from_millis(refused.wait_ms.into());
            expect_that!(
                retried_at.since(start),
                all![ge(window), le(window + Duration::from_millis(MAX_SLOT_MS))],
                "{window:?} and {offset} ms"
            );
            let retried = request(&mut pool, 200, &quota, retried_at);
            expect_that!(retried.units, eq(200), "{window:?} and {offset} ms");
        }
    }
}
