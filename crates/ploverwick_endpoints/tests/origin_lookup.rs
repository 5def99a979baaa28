//! Tests at which build a stream is continued after other instances were asked for its origin.

use std::net::{IpAddr, Ipv4Addr};

use googletest::prelude::*;
use ploverwick_endpoints::lookup::{Lookup, Reply, Step, Verdict};
use ploverwick_endpoints::{Build, Serving};
use ploverwick_names::Moment;

const START: Moment = Moment(1_000);
const REPEAT: Moment = Moment(1_040);
const DEADLINE: Moment = Moment(1_120);

fn build(version: &str) -> Build {
    Build::of(version)
}

fn only(version: &str) -> Serving {
    Serving::Only(build(version))
}

fn unconfirmed(version: &str) -> Serving {
    Serving::Unconfirmed(build(version))
}

fn outdated(version: &str) -> Serving {
    Serving::Outdated(build(version))
}

fn began(version: &str) -> Reply {
    Reply::Began(build(version))
}

fn instance(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

fn inferred(version: Option<&str>) -> Step {
    Step::Decided(version.map_or(Verdict::Unknown, |version| {
        Verdict::Inferred(build(version))
    }))
}

fn known(version: Option<&str>) -> Step {
    Step::Decided(version.map_or(Verdict::Unknown, |version| Verdict::Began(build(version))))
}

/// Returns a lookup that asked two instances and has these replies, with the number of the instance.
fn lookup(own: Serving, replies: &[(u8, Reply)]) -> Lookup {
    let mut lookup = Lookup::new(own, 2, START);
    for (number, reply) in replies {
        lookup.record_reply(instance(*number), *reply);
    }
    lookup
}

#[gtest]
fn known_origin_decides_at_once() {
    let several = Reply::Unknown(Serving::Several);
    let cases: [(&[_], _); 6] = [
        (&[(1, began("a"))], Some("a")),
        (&[(1, several), (2, began("a"))], Some("a")),
        (&[(1, several), (1, began("a"))], Some("a")),
        (&[(1, began("a")), (2, began("a"))], Some("a")),
        (&[(1, began("a")), (2, began("b"))], None),
        (&[(1, began("a")), (2, began("b")), (2, began("a"))], None),
    ];
    for (replies, expected) in cases {
        for own in [Serving::Nothing, only("b"), Serving::Several] {
            let step = lookup(own, replies).next_step(START);
            expect_that!(step, eq(known(expected)), "{own:?} {replies:?}");
        }
    }
}

/// Guards against continuing a stream at the build that happens to serve now.
#[gtest]
fn unknown_origin_is_inferred_from_one_build_alone() {
    let nothing = Serving::Nothing;
    let cases = [
        // One build over the whole retention, as this instance or another one knows.
        (only("a"), only("a"), only("a"), Some("a")),
        (only("a"), nothing, nothing, Some("a")),
        (only("a"), unconfirmed("a"), unconfirmed("a"), Some("a")),
        (nothing, only("a"), nothing, Some("a")),
        (unconfirmed("a"), unconfirmed("a"), only("a"), Some("a")),
        (unconfirmed("a"), only("a"), unconfirmed("a"), Some("a")),
        // All have started lately, and nothing proves that no other build served.
        (unconfirmed("a"), unconfirmed("a"), unconfirmed("a"), None),
        (unconfirmed("a"), outdated("a"), nothing, None),
        (outdated("a"), unconfirmed("a"), nothing, None),
        (outdated("a"), only("a"), outdated("a"), Some("a")),
        // Nobody has a list that is up to date.
        (nothing, nothing, nothing, None),
        (outdated("a"), outdated("a"), outdated("a"), None),
        (nothing, outdated("a"), nothing, None),
        // Several builds.
        (Serving::Several, only("a"), only("a"), None),
        (only("a"), only("a"), Serving::Several, None),
        (only("a"), Serving::Several, only("a"), None),
        (only("a"), only("b"), only("a"), None),
        (only("a"), only("a"), unconfirmed("b"), None),
        (unconfirmed("b"), only("a"), only("a"), None),
        (unconfirmed("a"), unconfirmed("b"), only("a"), None),
    ];
    for (own, first, second, expected) in cases {
        let replies = [(1, Reply::Unknown(first)), (2, Reply::Unknown(second))];
        let step = lookup(own, &replies).next_step(START);
        expect_that!(step, eq(inferred(expected)), "{own:?} {replies:?}");
    }
}

/// Guards against a list that is out of date and takes the silence of the others for agreement.
#[gtest]
fn silence_confirms_nothing() {
    let reply = |serving| Some(Reply::Unknown(serving));
    let cases = [
        // All are silent.
        (only("a"), None, Some("a")),
        (unconfirmed("a"), None, None),
        (outdated("a"), None, None),
        (Serving::Nothing, None, None),
        (Serving::Several, None, None),
        // One is silent.
        (only("a"), reply(Serving::Nothing), Some("a")),
        (outdated("a"), reply(Serving::Nothing), None),
        (outdated("a"), reply(only("a")), Some("a")),
        (outdated("a"), reply(outdated("a")), None),
        (outdated("a"), reply(unconfirmed("b")), None),
        (only("a"), reply(only("b")), None),
        (only("a"), reply(Serving::Several), None),
    ];
    for (own, reply, expected) in cases {
        let replies: Vec<_> = reply.into_iter().map(|reply| (1, reply)).collect();
        let mut lookup = lookup(own, &replies);
        let name = format!("{own:?} {replies:?}");
        expect_that!(lookup.next_step(START), eq(Step::Wait(REPEAT)), "{name}");
        let step = lookup.next_step(DEADLINE);
        expect_that!(step, eq(inferred(expected)), "{name}");
    }
}

#[gtest]
fn nobody_is_awaited_without_other_instances() {
    let cases = [
        (only("a"), Some("a")),
        (unconfirmed("a"), None),
        (outdated("a"), None),
        (Serving::Several, None),
        (Serving::Nothing, None),
    ];
    for (own, expected) in cases {
        let step = Lookup::new(own, 0, START).next_step(START);
        expect_that!(step, eq(inferred(expected)), "{own:?}");
    }
}

#[gtest]
fn question_is_repeated_once() {
    let mut lookup = lookup(only("a"), &[(1, Reply::Unknown(only("a")))]);
    let steps = [
        (Moment(1_039), Step::Wait(REPEAT)),
        (REPEAT, Step::AskAgain),
        (REPEAT, Step::Wait(DEADLINE)),
        (Moment(1_119), Step::Wait(DEADLINE)),
    ];
    for (now, expected) in steps {
        expect_that!(lookup.next_step(now), eq(expected));
    }
    // The answer to the repeated question is no reply of another instance.
    lookup.record_reply(instance(1), Reply::Unknown(only("a")));
    expect_that!(lookup.next_step(REPEAT), eq(Step::Wait(DEADLINE)));
    lookup.record_reply(instance(2), Reply::Unknown(only("a")));
    expect_that!(lookup.next_step(REPEAT), eq(inferred(Some("a"))));
}
