//! A refusal says when there is room, and there is.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_names::Moment;
use ploverwick_quota::{Ask, Grant, Lease, Pool};
use ploverwick_routes::{Quota, Unit};

const WINDOW: Duration = Duration::from_secs(8);
const QUOTA: Quota = Quota {
    rate: 1_000.0,
    burst: 1_000.0,
    unit: Unit::Requests,
};

/// A pool to which one instance has leased all for so long.
fn pool(leased: Duration) -> (Pool, Moment) {
    let mut pool = Pool::new(WINDOW);
    let lease = Lease {
        sharers: 1,
        lease_ms: 3_600_000,
        asks: Vec::new(),
    };
    pool.lend(IpAddr::V4(Ipv4Addr::LOCALHOST), &lease, Moment(0));
    (pool, Moment(0) + leased)
}

fn ask(pool: &mut Pool, need: u32, now: Moment) -> Grant {
    let ask = Ask {
        organisation: Arc::from("one"),
        needs: vec![need],
        extra: 0,
    };
    pool.ask(&ask, &QUOTA, now)
}

/// Asks until a request is refused, and again after what the refusal says; returns how long that was.
fn hint(pool: &mut Pool, need: u32, now: Moment, most: u32) -> Duration {
    for _ in 0..most {
        let grant = ask(pool, need, now);
        if grant.units == 0 {
            let wait = Duration::from_millis(grant.wait_ms.into());
            let again = ask(pool, need, now + wait);
            expect_that!(again.units, eq(need), "after {wait:?}");
            return wait;
        }
    }
    panic!("nothing was refused");
}

/// What only the pace refuses comes back within a second or so.
#[gtest]
fn pace_is_short() {
    let (mut pool, now) = pool(WINDOW * 2);
    let wait = hint(&mut pool, 1_000, now, 3);
    expect_that!(wait, le(Duration::from_millis(1_100)));
}

/// A request that is larger than what may be used ahead comes back once the lasting pace, 0.93 of 1,125 units a
/// second, has made up for one as large, in steps of 100 ms.
#[gtest]
fn lead_is_made_up() {
    let (mut pool, now) = pool(WINDOW * 2);
    let wait = hint(&mut pool, 2_000, now, 3);
    expect_that!(wait, le(Duration::from_millis(1_912 + 100)));
}

/// After a start the window fills with each moment.
#[gtest]
fn start_fills_soon() {
    let (mut pool, now) = pool(Duration::from_millis(200));
    let wait = hint(&mut pool, 700, now, 2);
    expect_that!(wait, le(Duration::from_millis(1_500)));
}

/// A window that is full has room when what was used leaves it.
#[gtest]
fn full_window_waits() {
    let (mut pool, mut now) = pool(WINDOW * 2);
    while ask(&mut pool, 2_000, now).units > 0 {
        now = now + Duration::from_secs(1);
    }
    let wait = hint(&mut pool, 2_000, now, 1);
    expect_that!(wait, ge(Duration::from_secs(1)));
    expect_that!(wait, le(WINDOW));
}

/// Nothing is ever granted of a quota of nothing.
#[gtest]
fn nothing_stays_nothing() {
    let (mut pool, now) = pool(WINDOW * 2);
    let one = Ask {
        organisation: Arc::from("none"),
        needs: vec![1],
        extra: 100,
    };
    let grant = pool.ask(&one, &Quota::ZERO, now);
    expect_that!(grant.units, eq(0));
    expect_that!(grant.wait_ms, gt(1_000));
}
