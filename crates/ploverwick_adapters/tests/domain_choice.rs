//! The choice of the failure domain that loads an adapter.

use std::collections::HashMap;

use googletest::prelude::*;
use ploverwick_adapters::{Domain, choose_domain};

const NAMES: [&str; 3] = ["d1", "d2", "d3"];

fn domains(endpoints: [usize; 3], waiting: [u32; 3]) -> Vec<Domain<'static>> {
    let all = NAMES.into_iter().zip(endpoints).zip(waiting);
    all.map(|((name, endpoints), waiting)| Domain {
        name,
        endpoints,
        capacity: endpoints as f64,
        waiting,
    })
    .collect()
}

fn counts(domains: &[Domain<'static>]) -> HashMap<&'static str, usize> {
    let mut counts = HashMap::new();
    for number in 0..3_000 {
        let chosen = choose_domain(&format!("base/a{number}"), domains, &[]);
        *counts
            .entry(chosen.expect("some domain can").name)
            .or_default() += 1;
    }
    counts
}

#[googletest::test]
fn shares_follow_endpoints() {
    let counts = counts(&domains([4, 4, 2], [0, 0, 0]));
    expect_that!(counts["d1"], all![ge(1_080), le(1_320)]);
    expect_that!(counts["d3"], all![ge(500), le(700)]);
}

/// Guards against a choice by the number of endpoints, which gave a domain of slow ones as many adapters as one of
/// fast ones.
#[googletest::test]
fn shares_follow_capacity() {
    let mut domains = domains([4, 4, 4], [0, 0, 0]);
    domains[2].capacity = 8.0;
    let counts = counts(&domains);
    expect_that!(counts["d1"], all![ge(650), le(850)]);
    expect_that!(counts["d3"], all![ge(1_380), le(1_620)]);
}

/// A domain without endpoints was still chosen, and its requests waited in vain.
#[googletest::test]
fn empty_domain_gets_none() {
    let counts = counts(&domains([4, 0, 4], [0, 0, 0]));
    expect_that!(counts.get("d2"), none());
    expect_that!(
        choose_domain("base/a1", &domains([0, 0, 0], [0, 0, 0]), &["d1"]),
        none()
    );
}

/// When half of a domain's endpoints crash, its pending adapters go to other domains, and no
/// adapter is requested in two domains at once.
#[googletest::test]
fn overloaded_domain_passed_over() {
    let counts = counts(&domains([2, 4, 4], [6, 1, 1]));
    expect_that!(counts.get("d1"), none());
}

#[googletest::test]
fn cached_domain_preferred() {
    let moderate = domains([4, 4, 4], [8, 0, 0]);
    expect_that!(
        choose_domain("base/a1", &moderate, &["d1"]).map(|d| d.name),
        some(eq("d1"))
    );
    let overloaded = domains([4, 4, 4], [16, 0, 0]);
    expect_that!(
        choose_domain("base/a1", &overloaded, &["d1"]).map(|d| d.name),
        some(not(eq("d1")))
    );
}
