//! A request never starts on an older version after the bound.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_adapters::{Since, StalenessPolicy};
use ploverwick_names::Moment;

const POLICY: StalenessPolicy = StalenessPolicy {
    bound: Duration::from_secs(5),
};
/// How late an instance may learn of a declaration.
const DECLARATION_DELAY: Duration = Duration::from_millis(300);

/// A request waited 2.4 s at an endpoint busy with other prompts: it was sent to the older version
/// in time and started on it 0.9 s after the bound.
#[googletest::test]
fn start_deadline_precedes_bound() {
    let declared = Moment(10_000);
    let learned_at = declared + DECLARATION_DELAY;
    let since = Since::NotBefore(learned_at);
    for after in (0..8_000).step_by(50) {
        let now = learned_at + Duration::from_millis(after);
        if POLICY.may_choose(since, now) {
            let latest = POLICY.start_deadline(Some(since), now);
            expect_that!(latest.since(declared), lt(POLICY.bound));
            expect_that!(latest, gt(now));
        }
    }
}

/// The newest version may be replaced immediately after a request is sent to it.
#[googletest::test]
fn newest_version_deadline_precedes_bound() {
    let sent = Moment(10_000);
    expect_that!(
        POLICY.start_deadline(None, sent).since(sent),
        lt(POLICY.bound)
    );
}

/// When instances lost power, a request sent to the older version in time waited 2.1 s at its
/// endpoint and started 64 ms after the bound, with no instance left to cancel it.
#[googletest::test]
fn slow_endpoint_rejected_for_older_version() {
    let since = Since::NotBefore(Moment(10_000));
    let now = Moment(13_000);
    expect_that!(POLICY.may_choose(since, now), eq(true));
    for expected in (0..2_000).step_by(10).map(Duration::from_millis) {
        let slow = now + expected * 3;
        if POLICY.can_start_in_time(since, expected, now) {
            expect_that!(slow.since(Moment(10_000)), lt(POLICY.bound));
        } else {
            expect_that!(slow, ge(POLICY.start_deadline(Some(since), now)));
        }
    }
    expect_that!(
        POLICY.can_start_in_time(since, Duration::from_millis(700), now),
        eq(false)
    );
    expect_that!(
        POLICY.can_start_in_time(since, Duration::from_millis(100), now),
        eq(true)
    );
    expect_that!(
        POLICY.can_start_in_time(Since::LongAgo, Duration::ZERO, now),
        eq(false)
    );
}

#[googletest::test]
fn short_bound_allows_newest_only() {
    let policy = StalenessPolicy {
        bound: Duration::from_millis(900),
    };
    expect_that!(
        policy.may_choose(Since::NotBefore(Moment(5)), Moment(5)),
        eq(false)
    );
}
