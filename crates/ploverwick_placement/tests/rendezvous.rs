//! Choices are evenly distributed, follow weights, and change little when candidates change.

use googletest::prelude::*;
use ploverwick_placement::{Candidate, choose, rank};

const KEYS: usize = 6000;

fn names(count: usize) -> Vec<String> {
    (0..count)
        .map(|index| format!("instance-{index}"))
        .collect()
}

fn candidates(names: &[String]) -> Vec<Candidate<'_>> {
    let made = names.iter().map(|name| Candidate { name, weight: 1.0 });
    made.collect()
}

#[gtest]
fn even_shares() {
    let names = names(6);
    let candidates = candidates(&names);
    let mut counts = [0_usize; 6];
    for key in 0..KEYS {
        counts[choose(&format!("key-{key}"), &candidates).expect("there are candidates")] += 1;
    }
    expect_that!(
        counts.map(|count| count * 6),
        each(all!(gt(KEYS * 9 / 10), lt(KEYS * 11 / 10)))
    );
}

#[gtest]
fn weighted_shares() {
    let pair = [
        Candidate {
            name: "a",
            weight: 3.0,
        },
        Candidate {
            name: "b",
            weight: 1.0,
        },
    ];
    let first = (0..KEYS).filter(|key| choose(&format!("key-{key}"), &pair) == Some(0));
    expect_that!(
        first.count(),
        all!(gt(KEYS * 72 / 100), lt(KEYS * 78 / 100))
    );
}

#[gtest]
fn only_own_share_moves() {
    let names = names(7);
    let all = candidates(&names);
    for key in 0..KEYS {
        let key = format!("key-{key}");
        let before = choose(&key, &all).expect("there are candidates");
        let after = choose(&key, &all[..6]).expect("there are candidates");
        if before != 6 {
            assert_that!(after, eq(before));
        }
    }
}

#[gtest]
fn rank_starts_with_choice() {
    let names = names(9);
    let all = candidates(&names);
    let order = rank("key", &all, 4);
    expect_that!(order.len(), eq(4));
    expect_that!(order.first().copied(), eq(choose("key", &all)));
    expect_that!(rank("key", &all, 0), len(eq(0)));
    expect_that!(choose("key", &[]), none());
}

#[gtest]
fn pinned_hash() {
    // Daemons of different builds must agree: these values are part of the protocol.
    let names = names(4);
    let order: Vec<usize> = rank("fr-grade@v3", &candidates(&names), 4);
    expect_that!(order, eq(&PINNED));
}

const PINNED: [usize; 4] = [3, 1, 0, 2];
