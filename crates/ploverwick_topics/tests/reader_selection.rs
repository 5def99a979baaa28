//! Selects the readers of a failure domain: the two highest-ranked instances read and failing ones are
//! replaced, but an outage of the store does not make every instance a reader.

use googletest::prelude::*;
use ploverwick_topics::{Candidate, Peer, Reading, Role, role};

fn role_of(own: &str, peers: &[(&str, Reading)]) -> Role {
    let peers = peers.iter().map(|(name, reading)| Peer {
        candidate: candidate(120, name),
        reading: *reading,
    });
    role(candidate(120, own), peers)
}

fn candidate(capacity: u32, name: &str) -> Candidate<'_> {
    Candidate { capacity, name }
}

/// Reading and relaying for forty instances needs more CPU capacity than most instances have.
#[gtest]
fn larger_capacity_ranks_first() {
    let peers = [("a", 120), ("y", 500), ("z", 500)];
    let peers = peers.map(|(name, capacity)| Peer {
        candidate: candidate(capacity, name),
        reading: Rests,
    });
    expect_that!(
        role(candidate(120, "0"), peers.into_iter()),
        eq(Role::NoReader)
    );
    expect_that!(
        role(candidate(500, "x"), peers.into_iter()),
        eq(Role::Reader)
    );
    expect_that!(
        role(candidate(500, "zz"), peers.into_iter()),
        eq(Role::NoReader)
    );
}

use Reading::{Fails, Reads, Rests};

#[gtest]
fn first_two_read() {
    expect_that!(
        role_of("a", &[("b", Rests), ("c", Rests)]),
        eq(Role::Reader)
    );
    expect_that!(
        role_of("b", &[("a", Reads), ("c", Rests)]),
        eq(Role::Reader)
    );
    expect_that!(
        role_of("c", &[("a", Reads), ("b", Reads)]),
        eq(Role::Follower)
    );
    expect_that!(
        role_of("c", &[("a", Rests), ("b", Rests)]),
        eq(Role::NoReader)
    );
    expect_that!(role_of("a", &[]), eq(Role::Reader));
}

#[gtest]
fn failing_readers_are_replaced() {
    expect_that!(
        role_of("c", &[("a", Fails), ("b", Reads)]),
        eq(Role::Reader)
    );
    expect_that!(
        role_of("d", &[("a", Fails), ("b", Fails), ("c", Rests)]),
        eq(Role::Reader)
    );
    expect_that!(
        role_of(
            "e",
            &[("a", Fails), ("b", Fails), ("c", Reads), ("d", Reads)]
        ),
        eq(Role::Follower)
    );
}

/// An outage of the store must not make every instance call it.
#[gtest]
fn outage_adds_two_readers() {
    let names: Vec<String> = (0..40).map(|n| format!("i{n:02}")).collect();
    let reads = names.iter().filter(|own| {
        let peers = names.iter().filter(|name| name != own);
        let peers = peers.map(|name| (&**name, Fails)).collect::<Vec<_>>();
        role_of(own, &peers) == Role::Reader
    });
    expect_that!(reads.count(), eq(4));
}
