//! Tests which builds of a service are known to serve, or to have served lately.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::build_history::{RETENTION, SETTLE_TIME};
use ploverwick_endpoints::{Build, BuildHistory, Serving};
use ploverwick_names::Moment;

const START: Moment = Moment(1_000);
const MILLISECOND: Duration = Duration::from_millis(1);

fn build(version: &str) -> Build {
    Build::of(version)
}

/// A change of the endpoint list.
#[derive(Debug)]
enum Change {
    Add(&'static str),
    Remove(&'static str, Moment),
}
use Change::{Add, Remove};

fn history(is_first_start: bool, changes: &[Change]) -> BuildHistory {
    let mut history = BuildHistory::new(is_first_start, START);
    for change in changes {
        match change {
            Add(version) => history.add(&Arc::from("chat"), build(version), None),
            Remove(version, now) => history.remove("chat", build(version), *now),
        }
    }
    history
}

#[gtest]
fn builds_are_remembered_for_the_retention() {
    let left = START + RETENTION;
    let last = left + RETENTION - MILLISECOND;
    let (a, b) = (build("a"), build("b"));
    let a_left = || vec![Add("a"), Remove("a", left)];
    let b_follows = || vec![Add("a"), Remove("a", left), Add("b")];
    let one_of_two_left = vec![Add("a"), Add("b"), Add("a"), Remove("a", left)];
    let returned = vec![Add("a"), Remove("a", left), Add("a")];
    let removed_twice = vec![Add("a"), Add("b"), Remove("a", left), Remove("a", last)];
    let cases = [
        (vec![], left, Serving::Nothing),
        (vec![Add("a")], left, Serving::Only(a)),
        (vec![Add("a"), Add("b")], left, Serving::Several),
        (a_left(), last, Serving::Only(a)),
        (a_left(), left + RETENTION, Serving::Nothing),
        (b_follows(), last, Serving::Several),
        (b_follows(), left + RETENTION, Serving::Only(b)),
        (one_of_two_left, left + RETENTION, Serving::Several),
        (returned, left + RETENTION, Serving::Only(a)),
        (removed_twice, left + RETENTION, Serving::Only(b)),
        (vec![Add("a"), Remove("b", left)], left, Serving::Only(a)),
    ];
    for (changes, now, expected) in cases {
        let history = history(false, &changes);
        expect_that!(
            history.serving("chat", None, now),
            eq(expected),
            "{changes:?}"
        );
        let is_mixed = expected == Serving::Several;
        expect_that!(
            history.serving("chat", None, now).is_mixed(),
            eq(is_mixed),
            "{changes:?}"
        );
        expect_that!(history.serving("other", None, now), eq(Serving::Nothing));
    }
}

/// Guards against taking the only build of a short list for the build of a stream that began before the start.
#[gtest]
fn restarted_instance_is_not_sure() {
    let (a, last) = (build("a"), START + RETENTION - MILLISECOND);
    let cases = [
        (false, START, Serving::Unconfirmed(a)),
        (false, last, Serving::Unconfirmed(a)),
        (false, START + RETENTION, Serving::Only(a)),
        (true, START, Serving::Only(a)),
    ];
    for (is_first_start, now, expected) in cases {
        let history = history(is_first_start, &[Add("a")]);
        expect_that!(history.serving("chat", None, now), eq(expected));
        let is_mixed = expected == Serving::Unconfirmed(a);
        expect_that!(history.serving("chat", None, now).is_mixed(), eq(is_mixed));
    }
    let history = history(false, &[Add("a"), Add("b")]);
    expect_that!(history.serving("chat", None, START), eq(Serving::Several));
}

/// Guards against a build that came and left while the list could not be read.
#[gtest]
fn gap_in_the_list_is_not_ruled_out() {
    let mut history = history(true, &[Add("a")]);
    let a = build("a");
    expect_that!(
        history.serving("chat", None, START).outdated(),
        eq(Serving::Outdated(a))
    );
    history.record_gap(START + MILLISECOND);
    let last = START + RETENTION;
    expect_that!(
        history.serving("chat", None, last),
        eq(Serving::Unconfirmed(a))
    );
    expect_that!(
        history.serving("chat", None, last + MILLISECOND),
        eq(Serving::Only(a))
    );
}

/// Guards against a build that left just before the start and is not known.
#[gtest]
fn earlier_build_is_remembered() {
    let mut history = history(false, &[Add("a")]);
    history.record_earlier(&Arc::from("chat"), build("a"), START);
    expect_that!(
        history.serving("chat", None, START),
        eq(Serving::Unconfirmed(build("a")))
    );
    history.record_earlier(&Arc::from("chat"), build("b"), START);
    expect_that!(history.serving("chat", None, START), eq(Serving::Several));
    expect_that!(
        history.serving("chat", None, START + RETENTION),
        eq(Serving::Only(build("a")))
    );
}

/// Guards against streams that begin at a build which other instances do not know yet.
#[gtest]
fn build_settles() {
    let service = &Arc::from("chat");
    let (a, b) = (build("a"), build("b"));
    let mut history = BuildHistory::new(false, START);
    history.add(service, a, None);
    expect_that!(history.unsettled("chat", START), is_empty());
    let listed = START + MILLISECOND;
    history.add(service, b, Some(listed));
    // A further endpoint changes nothing.
    let settled = listed + SETTLE_TIME;
    history.add(service, b, Some(settled - MILLISECOND));
    for now in [listed, settled - MILLISECOND] {
        expect_that!(history.unsettled("chat", now), elements_are![eq(&b)]);
        expect_that!(history.unsettled("other", now), is_empty());
    }
    expect_that!(history.unsettled("chat", settled), is_empty());
    // An endpoint that starts again leaves the list and is back at once.
    for _ in 0..2 {
        history.remove("chat", b, settled);
    }
    history.add(service, b, Some(settled));
    expect_that!(history.unsettled("chat", settled), is_empty());
    // The others may have missed a build that was gone for a while.
    history.remove("chat", b, settled);
    let returned = settled + MILLISECOND;
    history.add(service, b, Some(returned));
    expect_that!(history.unsettled("chat", returned), elements_are![eq(&b)]);
}

/// Guards against memory that grows with each service that ever was.
#[gtest]
fn services_without_endpoints_are_forgotten() {
    let mut history = BuildHistory::new(false, START);
    let kept = Arc::from("kept");
    history.add(&kept, Build::of("a"), None);
    let mut now = START;
    for number in 0..100 {
        now = now + RETENTION / 10;
        let service: Arc<str> = Arc::from(format!("service-{number}"));
        let build = Build::of("a");
        history.add(&service, build, Some(now));
        history.remove(&service, build, now);
        expect_that!(history.service_count(), le(11));
    }
    expect_that!(
        history.serving("kept", None, now),
        matches_pattern!(Serving::Only(_))
    );
}
