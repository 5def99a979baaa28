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
