//! Tests how long the origins of streams are kept, and which instances hold them.

use std::collections::{BTreeSet, HashMap};

use googletest::prelude::*;
use ploverwick_endpoints::origins::{Candidate, MAX_HOLDERS, MAX_ORIGINS, holders};
use ploverwick_endpoints::{Attempt, Build, Origins};
use ploverwick_names::Moment;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use rand::seq::SliceRandom as _;

const NOW: Moment = Moment(100);

fn build(version: &str) -> Build {
    Build::of(version)
}

fn attempt(number: usize) -> Attempt {
    Attempt::of(&number.to_string())
}

#[gtest]
fn attempts_are_hashed_alike_on_all_instances() {
    let bytes = postcard::to_stdvec(&Attempt::of("")).expect("it is an integer");
    let hash: u64 = postcard::from_bytes(&bytes).expect("it is an integer");
    // XXH3 of nothing, as its specification gives it.
    expect_that!(hash, eq(0x2d06_8005_38d3_94c2));
}

#[gtest]
fn known_origin_expires_later() {
    let mut origins = Origins::default();
    origins.insert(attempt(1), build("a"), Moment(200), NOW);
    origins.insert(attempt(1), build("a"), Moment(300), NOW);
    origins.insert(attempt(1), build("a"), Moment(250), NOW);
    expect_that!(origins.get(attempt(1), Moment(299)), some(eq(build("a"))));
    expect_that!(origins.get(attempt(1), Moment(300)), none());
    expect_that!(origins.live(NOW).count(), eq(1));
    origins.remove_expired(Moment(300));
    expect_that!(origins.is_empty(), eq(true));
}

#[gtest]
fn first_live_origin_is_kept() {
    let mut origins = Origins::default();
    origins.insert(attempt(1), build("a"), Moment(200), NOW);
    origins.insert(attempt(1), build("b"), Moment(900), NOW);
    expect_that!(origins.get(attempt(2), NOW), none());
    expect_that!(origins.get(attempt(1), Moment(199)), some(eq(build("a"))));
    expect_that!(origins.get(attempt(1), Moment(200)), none());
    origins.insert(attempt(1), build("b"), Moment(900), Moment(200));
    origins.remove_expired(Moment(200));
    expect_that!(origins.get(attempt(1), Moment(200)), some(eq(build("b"))));
    origins.insert(attempt(3), build("a"), NOW, NOW);
    expect_that!(origins.len(), eq(1));
}

#[gtest]
fn expired_origins_are_removed() {
    let mut origins = Origins::default();
    for (number, expires) in [(1, 300), (2, 200), (3, 400)] {
        origins.insert(attempt(number), build("a"), Moment(expires), NOW);
    }
    let live: Vec<_> = origins.live(Moment(200)).collect();
    let expected = [(1, 300), (3, 400)]
        .map(|(number, expires)| (attempt(number), build("a"), Moment(expires)));
    expect_that!(live, eq(&expected));
    expect_that!(origins.len(), eq(3));
    for (now, left) in [(199, 3), (200, 2), (399, 1), (400, 0)] {
        origins.remove_expired(Moment(now));
        expect_that!(origins.len(), eq(left));
    }
    expect_that!(origins.is_empty(), eq(true));
}

/// Guards against memory that grows with the streams, and against losing those that last longest.
#[gtest]
fn origin_that_expires_first_goes_first() {
    let mut origins = Origins::default();
    for number in 0..MAX_ORIGINS {
        let expires = Moment(20_000 - number as u64);
        origins.insert(attempt(number), build("a"), expires, NOW);
    }
    let first = attempt(MAX_ORIGINS - 1);
    origins.insert(attempt(MAX_ORIGINS), build("a"), Moment(30_000), NOW);
    origins.insert(attempt(MAX_ORIGINS + 1), build("a"), Moment(101), NOW);
    expect_that!(origins.len(), eq(MAX_ORIGINS));
    expect_that!(origins.get(first, NOW), none());
    expect_that!(origins.get(attempt(MAX_ORIGINS + 1), NOW), none());
    for kept in [0, MAX_ORIGINS - 2, MAX_ORIGINS] {
        expect_that!(origins.get(attempt(kept), NOW), some(eq(build("a"))));
    }
}

type Instances = Vec<(String, &'static str)>;

/// Returns instances of several failure domains, with the number of each.
fn instances(counts: &[(&'static str, usize)]) -> Instances {
    let of_domain = |&(domain, count): &(&'static str, usize)| {
        (0..count).map(move |number| (format!("{domain}-{number}"), domain))
    };
    counts.iter().flat_map(of_domain).collect()
}

fn holders_of(attempt: Attempt, instances: &Instances) -> Vec<&str> {
    let candidates = instances.iter();
    let candidates = candidates.map(|(name, domain)| Candidate { name, domain });
    holders(attempt, candidates)
}

#[gtest]
fn holders_are_spread_over_domains() {
    let cases: [(&[_], &[usize]); 7] = [
        (&[], &[]),
        (&[("d1", 2)], &[2]),
        (&[("d1", 9)], &[4]),
        (&[("d1", 9), ("d2", 9)], &[2, 2]),
        (&[("d1", 20), ("d2", 1)], &[1, 3]),
        (&[("d1", 20), ("d2", 20), ("d3", 2)], &[1, 1, 2]),
        (
            &[("d1", 20), ("d2", 1), ("d3", 1), ("d4", 1), ("d5", 1)],
            &[1, 1, 1, 1],
        ),
    ];
    for (counts, expected) in cases {
        let instances = instances(counts);
        for number in 0..50 {
            let mut by_domain: HashMap<&str, usize> = HashMap::new();
            for name in holders_of(attempt(number), &instances) {
                *by_domain.entry(&name[..2]).or_default() += 1;
            }
            let mut spread: Vec<_> = by_domain.into_values().collect();
            spread.sort_unstable();
            expect_that!(spread, eq(expected), "{counts:?}");
        }
    }
}

/// Guards against instances that look for an origin where no other one sends it.
#[gtest]
fn instances_agree_on_holders() {
    let mut random = StdRng::seed_from_u64(1);
    let mut instances = instances(&[("d1", 9), ("d2", 5), ("d3", 2)]);
    for number in 0..100 {
        let expected: Vec<_> = holders_of(attempt(number), &instances)
            .into_iter()
            .map(str::to_owned)
            .collect();
        instances.shuffle(&mut random);
        expect_that!(holders_of(attempt(number), &instances), eq(&expected));
        let twice = [&*instances, &*instances].concat();
        expect_that!(holders_of(attempt(number), &twice), eq(&expected));
    }
}

#[gtest]
fn attempts_are_spread_over_instances() {
    let instances = instances(&[("d1", 5), ("d2", 5)]);
    let mut held: HashMap<&str, usize> = HashMap::new();
    for name in (0..1_000).flat_map(|number| holders_of(attempt(number), &instances)) {
        *held.entry(name).or_default() += 1;
    }
    // An equal share is 400.
    expect_that!(held.len(), eq(10));
    for (name, count) in held {
        expect_that!(count, all!(ge(320), le(480)), "{name}");
    }
}

/// Guards against losing the origins of many streams with one instance.
#[gtest]
fn other_holders_stay_when_one_leaves() {
    for counts in [
        &[("d1", 6), ("d2", 3), ("d3", 1)][..],
        &[("d1", 2), ("d2", 2), ("d3", 2), ("d4", 2), ("d5", 2)],
    ] {
        let all = instances(counts);
        for (number, leaving) in (0..20).flat_map(|number| (0..all.len()).map(move |i| (number, i)))
        {
            let before: BTreeSet<_> = holders_of(attempt(number), &all).into_iter().collect();
            let mut rest = all.clone();
            let (gone, _) = rest.remove(leaving);
            let after: BTreeSet<_> = holders_of(attempt(number), &rest).into_iter().collect();
            expect_that!(after.len(), eq(MAX_HOLDERS));
            let lost: Vec<_> = before.difference(&after).copied().collect();
            let expected = before.get(&*gone).copied();
            expect_that!(lost, eq(&expected.into_iter().collect::<Vec<_>>()));
        }
    }
}
