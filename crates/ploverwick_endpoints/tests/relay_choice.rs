//! The choice of instances that relay connections.

use std::collections::HashMap;
use std::sync::Arc;

use googletest::prelude::*;
use ploverwick_endpoints::Relays;
use ploverwick_endpoints::relays::{Candidate, Refusal};
use ploverwick_names::Moment;

const START: Moment = Moment(0);

/// Returns `count` candidates of each of three failure domains.
fn candidates(count: usize) -> Vec<(String, String)> {
    let domains = ["d1", "d2", "d3"];
    let all = domains.iter().flat_map(|domain| {
        (0..count).map(move |number| (format!("{domain}-{number}"), (*domain).to_owned()))
    });
    all.collect()
}

fn choose(relays: &Relays, own: &str, among: &[(String, String)], now: Moment) -> Option<String> {
    let among = among.iter().filter(|(name, _)| name != own);
    let among = among.map(|(name, domain)| Candidate { name, domain });
    let chosen = relays.choose(own, "d1", among, now)?;
    Some(chosen.name.to_owned())
}

fn domain_of(name: &str) -> Arc<str> {
    Arc::from(&name[..2])
}

fn refuse(relays: &mut Relays, name: &str, refusal: Refusal, now: Moment) {
    relays.record_refusal(&Arc::from(name), &domain_of(name), refusal, now);
}

/// Guards against crowding a few relays: an instance spreads its connections over those of its failure domain, and
/// several instances start at different ones.
#[gtest]
fn connections_are_spread() {
    let among = candidates(10);
    let mut total: HashMap<String, u32> = HashMap::new();
    for own in ["d1-0", "d1-1", "d1-2", "d1-3"] {
        let mut relays = Relays::default();
        for _ in 0..40 {
            let chosen = choose(&relays, own, &among, START).expect("there are candidates");
            expect_that!(domain_of(&chosen), eq(&domain_of("d1")));
            relays.record_opened(&Arc::from(&*chosen));
            *total.entry(chosen).or_default() += 1;
        }
    }
    expect_that!(total.len(), eq(10));
    expect_that!(total.values().max().copied(), some(le(32)));
}

/// Guards against searching a whole failure domain whose instances are all partitioned: the next attempt of the same
/// request goes to another domain.
#[gtest]
fn partitioned_domain_is_left_at_once() {
    let among = candidates(60);
    let mut relays = Relays::default();
    let first = choose(&relays, "d1-0", &among, START).expect("there are candidates");
    refuse(&mut relays, &first, Refusal::Partitioned, START);
    let second = choose(&relays, "d1-0", &among, START).expect("there are candidates");
    expect_that!(domain_of(&second), not(eq(&domain_of("d1"))));
    relays.record_opened(&Arc::from(&*second));
    let third = choose(&relays, "d1-0", &among, START).expect("there are candidates");
    expect_that!(domain_of(&third), not(eq(&domain_of("d1"))));
    // The own failure domain is tried again later, as bytes between domains are expensive.
    let later = choose(&relays, "d1-0", &among, Moment(2_001)).expect("there are candidates");
    expect_that!(domain_of(&later), eq(&domain_of("d1")));
}

/// Guards against trying an instance of a version that does not relay with every request.
#[gtest]
fn unavailable_relay_rests() {
    let among = candidates(1);
    let among = &among[1..2];
    let mut relays = Relays::default();
    refuse(&mut relays, "d2-0", Refusal::Unavailable, START);
    expect_that!(choose(&relays, "d1-0", among, Moment(3_999)), none());
    expect_that!(
        choose(&relays, "d1-0", among, Moment(4_000)),
        some(anything())
    );
}

#[gtest]
fn busy_relay_rests_shortly() {
    let among = candidates(1);
    let among = &among[1..2];
    let mut relays = Relays::default();
    relays.record_opened(&Arc::from("d2-0"));
    refuse(&mut relays, "d2-0", Refusal::Busy, START);
    expect_that!(choose(&relays, "d1-0", among, Moment(249)), none());
    expect_that!(
        choose(&relays, "d1-0", among, Moment(250)),
        some(anything())
    );
    expect_that!(relays.has_relayed("d2-0"), eq(true));
}

#[gtest]
fn closed_connections_are_not_counted() {
    let mut relays = Relays::default();
    let name = Arc::from("d2-0");
    relays.record_opened(&name);
    relays.record_opened(&name);
    relays.record_closed(&name);
    expect_that!(relays.open_count(), eq(1));
    // An instance that left stays known until its last connection is closed.
    relays.retain(|_| false);
    expect_that!(relays.open_count(), eq(1));
    relays.record_closed(&name);
    relays.retain(|_| false);
    expect_that!(relays.has_relayed("d2-0"), eq(false));
}
