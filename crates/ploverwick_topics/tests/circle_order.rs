//! The first two instances by name read; those that fail are replaced, and in an outage of all not by
//! everybody.

use googletest::prelude::*;
use ploverwick_topics::{Circle, Peer, Reading, circle};

fn at(own: &str, peers: &[(&str, Reading)]) -> Circle {
    let peers = peers.iter().map(|(name, reading)| Peer {
        name,
        reading: *reading,
    });
    circle(own, peers)
}

use Reading::{Fails, Reads, Rests};

#[gtest]
fn first_two_read() {
    expect_that!(at("a", &[("b", Rests), ("c", Rests)]), eq(Circle::Reads));
    expect_that!(at("b", &[("a", Reads), ("c", Rests)]), eq(Circle::Reads));
    expect_that!(at("c", &[("a", Reads), ("b", Reads)]), eq(Circle::Told));
    expect_that!(at("c", &[("a", Rests), ("b", Rests)]), eq(Circle::Untold));
    expect_that!(at("a", &[]), eq(Circle::Reads));
}

#[gtest]
fn failing_ones_replaced() {
    expect_that!(at("c", &[("a", Fails), ("b", Reads)]), eq(Circle::Reads));
    expect_that!(
        at("d", &[("a", Fails), ("b", Fails), ("c", Rests)]),
        eq(Circle::Reads)
    );
    expect_that!(
        at(
            "e",
            &[("a", Fails), ("b", Fails), ("c", Reads), ("d", Reads)]
        ),
        eq(Circle::Told)
    );
}

/// A store that is away for all must not be asked by all.
#[gtest]
fn outage_adds_two() {
    let names: Vec<String> = (0..40).map(|n| format!("i{n:02}")).collect();
    let reads = names.iter().filter(|own| {
        let peers = names.iter().filter(|name| name != own);
        let peers = peers.map(|name| (&**name, Fails)).collect::<Vec<_>>();
        at(own, &peers) == Circle::Reads
    });
    expect_that!(reads.count(), eq(4));
}
