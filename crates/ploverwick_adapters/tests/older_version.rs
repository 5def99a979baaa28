//! A request never begins on an older version later than the bound allows.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_adapters::{Since, Supersession};
use ploverwick_names::Moment;

const RULE: Supersession = Supersession {
    bound: Duration::from_secs(5),
};
/// How late an instance may hear of a declaration.
const HEARD: Duration = Duration::from_millis(300);

/// Found by a day on which a request waited 2.4 s at an endpoint that read other prompts: it was sent to
/// the older version in time and began on it 0.9 s after the bound.
#[googletest::test]
fn long_read_taken_back() {
    let declared = Moment(10_000);
    let heard = declared + HEARD;
    let since = Since::NotBefore(heard);
    for after in (0..8_000).step_by(50) {
        let now = heard + Duration::from_millis(after);
        if RULE.may_choose(since, now) {
            let latest = RULE.begin_by(Some(since), now);
            expect_that!(latest.since(declared), lt(RULE.bound));
            expect_that!(latest, gt(now));
        }
    }
}

/// A version that is the newest when a request is sent may be replaced the moment after.
#[googletest::test]
fn newest_may_be_replaced() {
    let sent = Moment(10_000);
    expect_that!(RULE.begin_by(None, sent).since(sent), lt(RULE.bound));
}

/// Found by a day on which instances lost power: a request was sent to the older version in time, waited
/// 2.1 s at its endpoint, and began 64 ms after the bound with nobody left to take it back.
#[googletest::test]
fn long_wait_not_begun() {
    let since = Since::NotBefore(Moment(10_000));
    let now = Moment(13_000);
    expect_that!(RULE.may_choose(since, now), eq(true));
    for expected in (0..2_000).step_by(10).map(Duration::from_millis) {
        let slow = now + expected * 3;
        if RULE.leaves_time(since, expected, now) {
            expect_that!(slow.since(Moment(10_000)), lt(RULE.bound));
        } else {
            expect_that!(slow, ge(RULE.begin_by(Some(since), now)));
        }
    }
    expect_that!(
        RULE.leaves_time(since, Duration::from_millis(700), now),
        eq(false)
    );
    expect_that!(
        RULE.leaves_time(since, Duration::from_millis(100), now),
        eq(true)
    );
    expect_that!(
        RULE.leaves_time(Since::LongAgo, Duration::ZERO, now),
        eq(false)
    );
}

#[googletest::test]
fn short_bound_chooses_newest() {
    let rule = Supersession {
        bound: Duration::from_millis(900),
    };
    expect_that!(
        rule.may_choose(Since::NotBefore(Moment(5)), Moment(5)),
        eq(false)
    );
}
