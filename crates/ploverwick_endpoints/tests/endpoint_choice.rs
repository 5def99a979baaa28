//! Tests endpoint selection by load, failure domain and health.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::{Entry, Fleet, Load, Outcome, Query, State};
use ploverwick_names::Moment;

fn entry(id: &str, domain: &str) -> Entry {
    Entry {
        id: Arc::from(id),
        service: Arc::from("app"),
        address: "127.0.0.1:80".parse().expect("an address"),
        domain: Arc::from(domain),
        software: Arc::from("v1"),
        slots: 4,
        state: State::Ready,
        held: Vec::new(),
        born: 0,
        beat: 0,
    }
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    fleet.put(entry("a", "d1"));
    fleet.put(entry("b", "d2"));
    fleet.put(entry("c", "d3"));
    fleet
}

const QUERY: Query<'static> = Query {
    service: "app",
    domain: "d1",
    key: "k",
    id: "r1",
    peers: 0,
    bytes: 500,
    prompt: 0,
    pacing: None,
    build: None,
    avoided_builds: &[],
    max_fill: 2.5,
    except: &[],
};

fn first(fleet: &Fleet, now: Moment) -> Option<Arc<str>> {
    fleet.rank(&QUERY, now).into_iter().next().map(|(_, id)| id)
}

#[googletest::test]
fn own_domain_is_preferred() {
    expect_that!(first(&fleet(), Moment(0)).as_deref(), some(eq("a")));
}

#[googletest::test]
fn full_endpoint_is_avoided() {
    let mut fleet = fleet();
    for _ in 0..4 {
        fleet.record_sent("a", 0);
    }
    expect_that!(first(&fleet, Moment(0)).as_deref(), some(not(eq("a"))));
}

#[googletest::test]
fn peer_loads_count_until_expired() {
    let mut fleet = fleet();
    let load = Load {
        requests: 6,
        unread_tokens: 0,
        held_tokens: 0,
    };
    let loads = HashMap::from([(Arc::from("a"), load)]);
    fleet.record_peer_loads(Arc::from("peer"), loads, Moment(0));
    expect_that!(first(&fleet, Moment(10)).as_deref(), some(not(eq("a"))));
    // An expired load is ignored.
    expect_that!(first(&fleet, Moment(9_000)).as_deref(), some(eq("a")));
}

#[googletest::test]
fn draining_endpoint_is_not_ranked() {
    let mut fleet = fleet();
    let mut leaving = entry("a", "d1");
    leaving.state = State::Draining;
    fleet.put(leaving);
    let ids: Vec<_> = fleet
        .rank(&QUERY, Moment(0))
        .into_iter()
        .map(|r| r.1)
        .collect();
    expect_that!(ids, not(contains(eq(&Arc::from("a")))));
}

#[googletest::test]
fn failures_eject_until_trial_succeeds() {
    let mut fleet = fleet();
    for _ in 0..3 {
        fleet.record_sent("a", 0);
        fleet.record_ended("a", Outcome::Broken, Moment(0));
    }
    expect_that!(first(&fleet, Moment(1)).as_deref(), some(not(eq("a"))));
    // After the ejection there is one trial request at a time, and its success readmits the endpoint.
    expect_that!(first(&fleet, Moment(2_000)).as_deref(), some(eq("a")));
    fleet.record_sent("a", 0);
    expect_that!(first(&fleet, Moment(2_000)).as_deref(), some(not(eq("a"))));
    fleet.record_ended("a", Outcome::Success, Moment(2_001));
    expect_that!(first(&fleet, Moment(2_002)).as_deref(), some(eq("a")));
}

/// Guards against endpoints that stay ejected for good because the trial request was refused or answered with an error.
#[googletest::test]
fn failed_trial_is_repeated() {
    for outcome in [Outcome::Refused, Outcome::Error] {
        let mut fleet = fleet();
        for _ in 0..3 {
            fleet.record_sent("a", 0);
            fleet.record_ended("a", Outcome::Broken, Moment(0));
        }
        fleet.record_sent("a", 0);
        fleet.record_ended("a", outcome, Moment(2_000));
        expect_that!(
            first(&fleet, Moment(10_000)).as_deref(),
            some(eq("a")),
            "{outcome:?}"
        );
    }
}

#[googletest::test]
fn ejected_endpoints_serve_as_last_resort() {
    let mut fleet = fleet();
    for id in ["a", "b", "c"] {
        for _ in 0..3 {
            fleet.record_sent(id, 0);
            fleet.record_ended(id, Outcome::Broken, Moment(0));
        }
    }
    expect_that!(first(&fleet, Moment(1)), some(anything()));
}

#[googletest::test]
fn slow_endpoint_is_avoided() {
    let mut fleet = fleet();
    for (id, ms) in [("a", 400), ("b", 30), ("c", 30)] {
        fleet.record_latency(id, Duration::from_millis(ms));
    }
    expect_that!(first(&fleet, Moment(0)).as_deref(), some(not(eq("a"))));
}

#[googletest::test]
fn endpoint_reading_long_prompt_is_avoided() {
    let mut fleet = fleet();
    fleet.record_sent("a", 9_000);
    expect_that!(first(&fleet, Moment(0)).as_deref(), some(not(eq("a"))));
    fleet.record_prompt_read("a", 9_000);
    expect_that!(first(&fleet, Moment(0)).as_deref(), some(eq("a")));
}

#[googletest::test]
fn digest_depends_on_entries_not_order() {
    let fleet = fleet();
    let mut same = Fleet::default();
    for (id, domain) in [("c", "d3"), ("a", "d1"), ("b", "d2")] {
        same.put(entry(id, domain));
    }
    expect_that!(same.digest(), eq(fleet.digest()));
    let mut leaving = entry("a", "d1");
    leaving.state = State::Draining;
    same.put(leaving);
    expect_that!(same.digest(), not(eq(fleet.digest())));
}

/// Guards against a thundering herd: 18 instances that knew the same loads selected the same endpoint until
/// its load was updated, and it refused their requests.
#[googletest::test]
fn jitter_spreads_concurrent_requests() {
    let mut fleet = Fleet::default();
    for id in ["a", "b", "c", "d"] {
        fleet.put(entry(id, "d1"));
    }
    let choose = |number: usize| {
        let id = format!("request-{number}");
        let query = Query {
            id: &id,
            peers: 18,
            ..QUERY
        };
        fleet.rank(&query, Moment(0)).swap_remove(0).1
    };
    let mut chosen: HashMap<Arc<str>, usize> = HashMap::new();
    for number in 0..400 {
        *chosen.entry(choose(number)).or_default() += 1;
    }
    expect_that!(chosen.len(), eq(4));
    expect_that!(chosen.values().max(), some(le(&160)));
}

/// Guards against jitter that outweighs the cost of sending bytes to another failure domain.
#[googletest::test]
fn jitter_does_not_cause_remote_sends() {
    let fleet = fleet();
    let query = |number: usize| format!("request-{number}");
    let chosen = (0..400).map(query).map(|id| {
        let query = Query {
            id: &id,
            peers: 18,
            bytes: 3_000,
            ..QUERY
        };
        fleet.rank(&query, Moment(0)).swap_remove(0).1
    });
    let away = chosen.filter(|id| **id != *"a").count();
    expect_that!(away, eq(0));
}

/// Guards against a delayed message from a peer that makes a draining endpoint ready again.
#[googletest::test]
fn draining_endpoint_stays_draining() {
    let mut fleet = fleet();
    let mut leaving = entry("a", "d1");
    leaving.state = State::Draining;
    fleet.put(leaving);
    fleet.put(entry("a", "d1"));
    expect_that!(fleet.is_ready("a"), eq(false));
    expect_that!(first(&fleet, Moment(0)).as_deref(), some(not(eq("a"))));
}
