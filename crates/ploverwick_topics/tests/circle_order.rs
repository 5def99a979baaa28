//! The first two instances by name read; those that fail are replaced, and in an outage of all not by
//! everybody.

use googletest::prelude::*;
use ploverwick_topics::{Circle, Peer, Place, Reading, circle};

fn at(own: &str, peers: &[(&str, Reading)]) -> Circle {
    let peers = peers.iter().map(|(name, reading)| Peer {
        place: place(120, name),
        reading: *reading,
    });
    circle(place(120, own), peers)
}

fn place(capacity: u32, name: &str) -> Place<'_> {
    Place { capacity, name }
}

/// Reading and telling for forty others takes more of a processor than most instances have.
#[gtest]
fn large_ones_first() {
    let peers = [("a", 120), ("y", 500), ("z", 500)];
    let peers = peers.map(|(name, capacity)| Peer {
        place: place(capacity, name),
        reading: Rests,
    });
    expect_that!(
        circle(place(120, "0"), peers.into_iter()),
        eq(Circle::Untold)
    );
    expect_that!(
        circle(place(500, "x"), peers.into_iter()),
        eq(Circle::Reads)
    );
    expect_that!(
        circle(place(500, "zz"), peers.into_iter()),
        eq(Circle::Untold)
    );
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
