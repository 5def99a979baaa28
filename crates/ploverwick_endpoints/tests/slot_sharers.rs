//! Which instances share what an endpoint accepts.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::sharers::{LeaseHolder, Peer, select};

const INTERVAL: Duration = Duration::from_millis(150);

fn peer(name: &str, silence_ms: u64) -> Peer<'_> {
    Peer {
        name,
        silence: Duration::from_millis(silence_ms),
    }
}

fn sharing<'a>(listed: &[Peer<'a>], holder: LeaseHolder) -> Vec<&'a str> {
    select(Some("own"), listed, INTERVAL, holder)
}

#[gtest]
fn silent_instances_have_no_share() {
    let listed = [peer("a", 100), peer("b", 8_000), peer("c", 8_001)];
    let sharing = sharing(&listed, LeaseHolder::Reachable);
    expect_that!(sharing, elements_are![eq(&"a"), eq(&"b"), eq(&"own")]);
}

/// Guards against two sides of a partition that take over each other's shares, however many instances either has.
#[gtest]
fn one_side_of_a_partition_has_the_shares() {
    for count in 1..6 {
        let names = ["a", "b", "c", "d", "e", "f"];
        let (left, right) = names.split_at(count);
        let side =
            |own: &'static str, reached: &[&'static str], silent: &[&'static str], holder| {
                let others = reached.iter().filter(|name| **name != own);
                let reached = others.map(|name| peer(name, 100));
                let silent = silent.iter().map(|name| peer(name, 9_000));
                let listed: Vec<Peer<'_>> = reached.chain(silent).collect();
                select(Some(own), &listed, INTERVAL, holder)
            };
        for own in left {
            let mut got = side(own, left, right, LeaseHolder::Reachable);
            got.sort_unstable();
            expect_that!(got, eq(left));
        }
        for own in right {
            let mut got = side(own, right, left, LeaseHolder::Unreachable);
            got.sort_unstable();
            expect_that!(got, eq(left));
        }
    }
}

/// Guards against an instance that takes over shares while it does not know which side of a partition has them.
#[gtest]
fn unknown_holder_changes_nothing() {
    let listed = [peer("a", 100), peer("b", 60_000), peer("c", 60_000)];
    expect_that!(sharing(&listed, LeaseHolder::Unknown), len(eq(4)));
}

/// Guards against an instance that stops although it reaches all others, of which none holds the lease.
#[gtest]
fn missing_holder_is_not_a_partition() {
    let listed = [peer("a", 100), peer("b", 7_000)];
    expect_that!(sharing(&listed, LeaseHolder::Unreachable), len(eq(3)));
}

/// Guards against shares that move back and forth because instances of a large failure domain send to each other rarely.
#[gtest]
fn rare_messages_are_no_silence() {
    let listed = [peer("a", 8_001), peer("b", 12_000)];
    let interval = Duration::from_secs(3);
    let sharing = select(Some("own"), &listed, interval, LeaseHolder::Reachable);
    expect_that!(sharing, len(eq(3)));
}
