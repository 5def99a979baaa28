//! Tests endpoint selection for a request that only one build may serve.

use std::sync::Arc;

use googletest::prelude::*;
use ploverwick_endpoints::service_rate;
use ploverwick_endpoints::{Build, Entry, Fleet, Outcome, Query, State};
use ploverwick_names::Moment;

const NOW: Moment = Moment(10);
const DOMAIN: &str = "d1";

fn entry(id: &str, service: &str, software: &str) -> Entry {
    Entry {
        id: Arc::from(id),
        service: Arc::from(service),
        address: "127.0.0.1:80".parse().expect("an address"),
        domain: Arc::from(DOMAIN),
        software: Arc::from(software),
        slots: 4,
        state: State::Ready,
        held: Vec::new(),
        born: 0,
        beat: 0,
    }
}

/// Two endpoints of each build of a service, and one of another service with the same version.
fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    for (id, service, software) in [
        ("old-0", "app", "v1"),
        ("old-1", "app", "v1"),
        ("new-0", "app", "v2"),
        ("new-1", "app", "v2"),
        ("other", "search", "v1"),
    ] {
        fleet.put(entry(id, service, software));
    }
    fleet
}

fn old() -> Build {
    Build::of("v1")
}

fn new() -> Build {
    Build::of("v2")
}

fn query(build: Option<Build>) -> Query<'static> {
    Query {
        service: "app",
        domain: DOMAIN,
        key: "k",
        id: "r1",
        peers: 0,
        bytes: 500,
        prompt: 0,
        pacing: None,
        build,
        avoided_builds: &[],
        max_fill: 2.5,
        except: &[],
    }
}

fn ranked(fleet: &Fleet, build: Option<Build>) -> Vec<Arc<str>> {
    let ranked = fleet.rank(&query(build), NOW);
    let mut ids: Vec<Arc<str>> = ranked.into_iter().map(|(_, id)| id).collect();
    ids.sort();
    ids
}

fn best(fleet: &Fleet, build: Option<Build>, among: &[&str]) -> Option<Arc<str>> {
    let among: Vec<Arc<str>> = among.iter().copied().map(Arc::from).collect();
    let best = fleet.best(&query(build), among.iter(), NOW);
    best.map(|(_, id)| id)
}

fn ids(list: &[&str]) -> Vec<Arc<str>> {
    list.iter().copied().map(Arc::from).collect()
}

fn eject(fleet: &mut Fleet, id: &str) {
    for _ in 0..3 {
        fleet.record_sent(id, 0);
        fleet.record_ended(id, Outcome::Broken, Moment(0));
    }
    assert!(fleet.is_ejected(id, NOW));
}

fn fill(fleet: &mut Fleet, id: &str) {
    for _ in 0..12 {
        fleet.record_sent(id, 0);
    }
}

fn drain(fleet: &mut Fleet, id: &str) {
    assert!(fleet.drain(id));
}

#[googletest::test]
fn only_the_build_is_chosen() {
    let fleet = fleet();
    expect_that!(ranked(&fleet, Some(old())), eq(&ids(&["old-0", "old-1"])));
    expect_that!(ranked(&fleet, Some(new())), eq(&ids(&["new-0", "new-1"])));
    let among = ["new-0", "new-1", "old-1"];
    let chosen = best(&fleet, Some(old()), &among);
    expect_that!(chosen.as_deref(), some(eq("old-1")));
    expect_that!(best(&fleet, Some(old()), &["new-0", "new-1"]), none());
}

#[googletest::test]
fn any_build_serves_request_without_one() {
    let all = ids(&["new-0", "new-1", "old-0", "old-1"]);
    expect_that!(ranked(&fleet(), None), eq(&all));
    expect_that!(best(&fleet(), None, &["new-1"]), some(anything()));
}

#[googletest::test]
fn full_endpoint_of_the_build_precedes_idle_others() {
    let mut fleet = fleet();
    for id in ["old-0", "old-1"] {
        fill(&mut fleet, id);
    }
    expect_that!(ranked(&fleet, Some(old())), eq(&ids(&["old-0", "old-1"])));
    let chosen = best(&fleet, Some(old()), &["old-0", "new-0"]);
    expect_that!(chosen.as_deref(), some(eq("old-0")));
}

/// Guards against a stream that finds no endpoint because those of another build are healthy.
#[googletest::test]
fn ejected_endpoints_of_the_build_are_last_resort() {
    let mut fleet = fleet();
    eject(&mut fleet, "old-0");
    expect_that!(ranked(&fleet, Some(old())), eq(&ids(&["old-1"])));
    expect_that!(best(&fleet, Some(old()), &["old-0"]), none());
    eject(&mut fleet, "old-1");
    expect_that!(ranked(&fleet, Some(old())), eq(&ids(&["old-0", "old-1"])));
    let chosen = best(&fleet, Some(old()), &["old-0", "new-0"]);
    expect_that!(chosen.as_deref(), some(eq("old-0")));
    // Without a build, the healthy ones are preferred as ever.
    expect_that!(ranked(&fleet, None), eq(&ids(&["new-0", "new-1"])));
}

/// Guards against requests to an ejected endpoint because only those of another build are ejected.
#[googletest::test]
fn ejected_others_do_not_readmit() {
    let mut fleet = fleet();
    for id in ["new-0", "new-1", "old-0"] {
        eject(&mut fleet, id);
    }
    expect_that!(ranked(&fleet, Some(old())), eq(&ids(&["old-1"])));
    expect_that!(best(&fleet, Some(old()), &["old-0"]), none());
}

/// Guards against beginning streams at a build that other instances may not know, and against refusing them where no other
/// build can serve or has room.
#[googletest::test]
fn avoided_build_is_used_last() {
    let mut fleet = fleet();
    let avoided_builds = &[new()];
    let query = Query {
        avoided_builds,
        ..query(None)
    };
    let all = ids(&["old-0", "old-1", "new-0", "new-1"]);
    let first = |fleet: &Fleet| fleet.rank(&query, NOW).into_iter().next();
    let best = |fleet: &Fleet| fleet.best(&query, all.iter(), NOW);
    let expect_first = |fleet: &Fleet, build: &str| {
        for choice in [first(fleet), best(fleet)] {
            let id = choice.map(|(_, id)| id);
            expect_that!(id.as_deref(), some(starts_with(build)));
        }
    };
    // One request below the limit of 10 at each.
    for _ in 0..9 {
        fleet.record_sent("old-0", 0);
        fleet.record_sent("old-1", 0);
    }
    expect_first(&fleet, "old-");
    expect_that!(fleet.rank(&query, NOW).len(), eq(4));
    let mut full = self::fleet();
    for id in ["old-0", "old-1"] {
        fill(&mut full, id);
    }
    expect_first(&full, "new-");
    let mut refusing = self::fleet();
    for id in ["old-0", "old-1"] {
        refusing.record_sent(id, 0);
        refusing.record_ended(id, Outcome::Refused, NOW);
    }
    expect_first(&refusing, "new-");
    eject(&mut fleet, "old-0");
    expect_first(&fleet, "old-");
    drain(&mut fleet, "old-1");
    expect_first(&fleet, "new-");
}

#[googletest::test]
fn upgraded_endpoint_changes_build() {
    let mut fleet = fleet();
    fleet.put(entry("old-1", "app", "v2"));
    expect_that!(ranked(&fleet, Some(old())), eq(&ids(&["old-0"])));
    expect_that!(fleet.runs("old-1", new()), eq(true));
    expect_that!(fleet.runs("old-1", old()), eq(false));
    expect_that!(fleet.runs("gone", old()), eq(false));
}

#[googletest::test]
fn build_is_ready_until_its_last_endpoint_leaves() {
    let mut fleet = fleet();
    eject(&mut fleet, "old-0");
    drain(&mut fleet, "old-1");
    expect_that!(fleet.has_ready("app", old(), &[]), eq(true));
    drain(&mut fleet, "old-0");
    expect_that!(fleet.has_ready("app", old(), &[]), eq(false));
    expect_that!(fleet.has_ready("app", new(), &[]), eq(true));
    fleet.remove("new-0");
    fleet.remove("new-1");
    expect_that!(fleet.has_ready("app", new(), &[]), eq(false));
}

#[googletest::test]
fn build_is_ready_by_service() {
    let mut fleet = fleet();
    expect_that!(fleet.has_ready("search", old(), &[]), eq(true));
    expect_that!(fleet.has_ready("search", new(), &[]), eq(false));
    fleet.remove("other");
    expect_that!(fleet.has_ready("search", old(), &[]), eq(false));
    expect_that!(fleet.has_ready("app", old(), &[]), eq(true));
}

#[googletest::test]
fn usable_endpoints_are_counted_by_build() {
    let mut fleet = fleet();
    let count = |fleet: &Fleet, build| fleet.count_usable("app", DOMAIN, build, NOW);
    expect_that!(count(&fleet, Some(old())), eq(2));
    expect_that!(count(&fleet, None), eq(4));
    eject(&mut fleet, "old-0");
    drain(&mut fleet, "new-0");
    expect_that!(count(&fleet, Some(old())), eq(1));
    expect_that!(count(&fleet, Some(new())), eq(1));
    expect_that!(count(&fleet, None), eq(2));
    expect_that!(fleet.count_usable("app", "d2", Some(old()), NOW), eq(0));
}

#[googletest::test]
fn domain_capacity_is_that_of_the_build() {
    let mut fleet = fleet();
    let capacity = |fleet: &Fleet, build| {
        let capacities = service_rate::domain_capacities(fleet, "app", build, NOW);
        capacities.get(DOMAIN).copied()
    };
    expect_that!(capacity(&fleet, None), some(eq(4.0)));
    expect_that!(capacity(&fleet, Some(old())), some(eq(2.0)));
    drain(&mut fleet, "old-0");
    drain(&mut fleet, "old-1");
    expect_that!(capacity(&fleet, Some(old())), none());
}
