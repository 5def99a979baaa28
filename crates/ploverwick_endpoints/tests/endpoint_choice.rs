//! The choice of an endpoint by load, domain and health.

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
    except: &[],
};

fn first(fleet: &Fleet, now: Moment) -> Option<Arc<str>> {
    fleet.rank(&QUERY, now).into_iter().next().map(|(_, id)| id)
}

#[googletest::test]
fn own_domain_first() {
    expect_that!(first(&fleet(), Moment(0)).as_deref(), some(eq("a")));
}

#[googletest::test]
fn full_endpoint_yields() {
    let mut fleet = fleet();
    for _ in 0..4 {
        fleet.record_sent("a", 0);
    }
    expect_that!(first(&fleet, Moment(0)).as_deref(), some(not(eq("a"))));
}

#[googletest::test]
fn peers_requests_count() {
    let mut fleet = fleet();
    let load = Load {
        requests: 6,
        reading: 0,
    };
    let loads = HashMap::from([(Arc::from("a"), load)]);
    fleet.record_report(Arc::from("peer"), loads, Moment(0));
    expect_that!(first(&fleet, Moment(10)).as_deref(), some(not(eq("a"))));
    // An old report counts no longer.
    expect_that!(first(&fleet, Moment(9_000)).as_deref(), some(eq("a")));
}

#[googletest::test]
fn draining_gets_none() {
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
fn failures_eject() {
    let mut fleet = fleet();
    for _ in 0..3 {
        fleet.record_sent("a", 0);
        fleet.record_ended("a", Outcome::Broken, Moment(0));
    }
    expect_that!(first(&fleet, Moment(1)).as_deref(), some(not(eq("a"))));
    // One trial at a time after the ejection, and its success readmits.
    expect_that!(first(&fleet, Moment(2_000)).as_deref(), some(eq("a")));
    fleet.record_sent("a", 0);
    expect_that!(first(&fleet, Moment(2_000)).as_deref(), some(not(eq("a"))));
    fleet.record_ended("a", Outcome::Success, Moment(2_001));
    expect_that!(first(&fleet, Moment(2_002)).as_deref(), some(eq("a")));
}

#[googletest::test]
fn all_ejected_still_serve() {
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
fn slow_endpoint_yields() {
    let mut fleet = fleet();
    for (id, ms) in [("a", 400), ("b", 30), ("c", 30)] {
        fleet.record_latency(id, 0, Duration::from_millis(ms));
    }
    expect_that!(first(&fleet, Moment(0)).as_deref(), some(not(eq("a"))));
}

#[googletest::test]
fn long_prompt_is_avoided() {
    let mut fleet = fleet();
    fleet.record_sent("a", 9_000);
    expect_that!(first(&fleet, Moment(0)).as_deref(), some(not(eq("a"))));
    fleet.record_prompt_read("a", 9_000);
    expect_that!(first(&fleet, Moment(0)).as_deref(), some(eq("a")));
}

#[googletest::test]
fn digest_tells_lists_apart() {
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

/// Found by turnovar-ops-grown scale-2: 18 instances that had heard the same sent to the same endpoint
/// until they heard of it, and it refused them.
#[googletest::test]
fn crowd_chooses_apart() {
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

/// Bytes to other failure domains are dear, whatever chance says.
#[googletest::test]
fn crowd_stays_home() {
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

/// A late message of a peer may say "ready" of an endpoint that has begun to leave.
#[googletest::test]
fn leaving_stays_leaving() {
    let mut fleet = fleet();
    let mut leaving = entry("a", "d1");
    leaving.state = State::Draining;
    fleet.put(leaving);
    fleet.put(entry("a", "d1"));
    expect_that!(fleet.is_ready("a"), eq(false));
    expect_that!(first(&fleet, Moment(0)).as_deref(), some(not(eq("a"))));
}
