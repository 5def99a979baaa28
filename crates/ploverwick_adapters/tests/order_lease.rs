//! The order lease: expiry, fencing tokens, and delays between holders.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_adapters::{Grant, Lease, LeasePolicy};
use ploverwick_names::Moment;

const POLICY: LeasePolicy = LeasePolicy {
    duration: Duration::from_millis(2_500),
    reacquire_delay: Duration::from_secs(3),
    fenced: true,
    extension: Duration::ZERO,
    min_stable: Duration::from_secs(1),
};

#[googletest::test]
fn lease_starts_at_request() {
    let mut lease = Lease::new(POLICY, false, Moment(0));
    lease.handle_grant(Grant::Held(4), Moment(1_000), Moment(2_000));
    expect_that!(lease.token(Moment(3_499)), some(eq(4)));
    expect_that!(lease.token(Moment(3_500)), none());
}

#[googletest::test]
fn expired_after_process_pause() {
    let mut lease = Lease::new(POLICY, false, Moment(0));
    lease.handle_grant(Grant::Held(4), Moment(0), Moment(3));
    // The process was paused; only the clock shows that time has passed.
    expect_that!(lease.token(Moment(60_000)), none());
}

#[googletest::test]
fn reacquiring_waits_for_delay() {
    let mut lease = Lease::new(POLICY, false, Moment(0));
    lease.handle_grant(Grant::Held(4), Moment(0), Moment(3));
    lease.handle_grant(Grant::Elsewhere, Moment(700), Moment(703));
    lease.handle_grant(Grant::Held(6), Moment(1_400), Moment(1_403));
    lease.handle_grant(Grant::Held(6), Moment(2_100), Moment(2_103));
    expect_that!(lease.token(Moment(2_200)), none());
    lease.handle_grant(Grant::Held(6), Moment(2_800), Moment(2_803));
    lease.handle_grant(Grant::Held(6), Moment(3_500), Moment(3_503));
    expect_that!(lease.token(Moment(3_703)), some(eq(6)));
}

#[googletest::test]
fn fenced_token_rejected() {
    let mut lease = Lease::new(POLICY, false, Moment(0));
    lease.handle_grant(Grant::Held(4), Moment(0), Moment(3));
    lease.handle_fenced(4, Moment(10));
    lease.handle_grant(Grant::Held(4), Moment(700), Moment(703));
    expect_that!(lease.token(Moment(704)), none());
    expect_that!(lease.is_held(Moment(704)), eq(false));
}

#[googletest::test]
fn successor_waits_without_fencing() {
    let policy = LeasePolicy {
        fenced: false,
        ..POLICY
    };
    let mut lease = Lease::new(policy, false, Moment(0));
    lease.handle_grant(Grant::Held(4), Moment(0), Moment(3));
    expect_that!(lease.token(Moment(2_000)), none());
    for at in (700..3_500).step_by(700) {
        lease.handle_grant(Grant::Held(4), Moment(at), Moment(at + 3));
    }
    expect_that!(lease.token(Moment(3_003)), some(eq(4)));
}

#[googletest::test]
fn restart_waits_for_delay() {
    let mut lease = Lease::new(POLICY, true, Moment(0));
    lease.handle_grant(Grant::Held(9), Moment(0), Moment(3));
    expect_that!(lease.token(Moment(100)), none());
}

/// Found by scale-1: after all instances were killed, a token had advanced, and no adapters were
/// placed in two of three failure domains for three seconds.
#[googletest::test]
fn stable_restart_skips_delay() {
    let policy = LeasePolicy {
        min_stable: POLICY.reacquire_delay,
        ..POLICY
    };
    let mut lease = Lease::new(policy, true, Moment(0));
    lease.handle_grant(Grant::Held(9), Moment(0), Moment(3));
    expect_that!(lease.token(Moment(100)), some(eq(9)));
}

#[googletest::test]
fn unfenced_restart_waits_for_delay() {
    let policy = LeasePolicy {
        min_stable: POLICY.reacquire_delay,
        fenced: false,
        ..POLICY
    };
    let mut lease = Lease::new(policy, true, Moment(0));
    lease.handle_grant(Grant::Held(9), Moment(0), Moment(3));
    expect_that!(lease.token(Moment(100)), none());
}

#[googletest::test]
fn restart_with_same_token_continues() {
    let mut lease = Lease::new(POLICY, true, Moment(0));
    lease.set_previous_token(9);
    lease.handle_grant(Grant::Held(9), Moment(0), Moment(3));
    expect_that!(lease.token(Moment(4)), some(eq(9)));
}

#[googletest::test]
fn restart_with_later_token_waits() {
    let mut lease = Lease::new(POLICY, true, Moment(0));
    lease.set_previous_token(9);
    lease.handle_grant(Grant::Held(11), Moment(0), Moment(3));
    expect_that!(lease.token(Moment(4)), none());
}

#[googletest::test]
fn previous_token_used_once() {
    let mut lease = Lease::new(POLICY, true, Moment(0));
    lease.set_previous_token(9);
    lease.handle_grant(Grant::Held(9), Moment(0), Moment(3));
    lease.release(Moment(100));
    lease.handle_grant(Grant::Held(9), Moment(700), Moment(703));
    expect_that!(lease.token(Moment(704)), none());
}

const EXTENDED: LeasePolicy = LeasePolicy {
    extension: Duration::from_secs(6),
    ..POLICY
};

#[googletest::test]
fn store_outage_extends_lease() {
    let mut lease = Lease::new(EXTENDED, false, Moment(0));
    lease.handle_grant(Grant::Held(4), Moment(0), Moment(3));
    expect_that!(lease.token(Moment(8_000)), some(eq(4)));
    expect_that!(lease.token(Moment(8_500)), none());
    // The same token after the outage: no other instance held the lease.
    lease.handle_grant(Grant::Held(4), Moment(8_000), Moment(8_003));
    expect_that!(lease.token(Moment(8_004)), some(eq(4)));
}

#[googletest::test]
fn refusal_ends_extension() {
    let mut lease = Lease::new(EXTENDED, false, Moment(0));
    lease.handle_grant(Grant::Held(4), Moment(0), Moment(3));
    lease.handle_grant(Grant::Elsewhere, Moment(5_000), Moment(5_003));
    expect_that!(lease.token(Moment(5_004)), none());
    lease.handle_grant(Grant::Held(7), Moment(5_700), Moment(5_703));
    expect_that!(lease.token(Moment(5_704)), none());
}

#[googletest::test]
fn later_token_after_lapse_waits() {
    let mut lease = Lease::new(EXTENDED, false, Moment(0));
    lease.handle_grant(Grant::Held(4), Moment(0), Moment(3));
    // Another instance may have held the lease between its expiry and this answer.
    lease.handle_grant(Grant::Held(6), Moment(5_000), Moment(5_003));
    expect_that!(lease.token(Moment(5_004)), none());
}

#[googletest::test]
fn unfenced_is_not_extended() {
    let policy = LeasePolicy {
        fenced: false,
        ..EXTENDED
    };
    let mut lease = Lease::new(policy, false, Moment(0));
    for at in (0..4_200).step_by(700) {
        lease.handle_grant(Grant::Held(4), Moment(at), Moment(at + 3));
    }
    expect_that!(lease.token(Moment(3_600)), some(eq(4)));
    expect_that!(lease.token(Moment(6_100)), none());
}

#[googletest::test]
fn restart_without_recent_orders_continues() {
    let mut lease = Lease::new(POLICY, true, Moment(0));
    lease.confirm_no_recent_orders();
    lease.handle_grant(Grant::Held(9), Moment(0), Moment(3));
    expect_that!(lease.token(Moment(4)), some(eq(9)));
}
