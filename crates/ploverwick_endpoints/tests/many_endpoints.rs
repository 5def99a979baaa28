//! Tests with 3,000 endpoints and 100 peers: selection among the endpoints that hold an adapter agrees
//! with the full ranking, and summed loads match the loads of peers that have not expired.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::{Entry, Fleet, Load, Outcome, Query, State};
use ploverwick_names::Moment;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ENDPOINTS: usize = 3_000;
const PEERS: usize = 100;
/// Longer than the maximum age of a peer's load.
const EXPIRY: Duration = Duration::from_millis(2_600);

fn id(number: usize) -> Arc<str> {
    Arc::from(format!("i-{number}"))
}

fn entry(number: usize) -> Entry {
    Entry {
        id: id(number),
        service: Arc::from("lm"),
        address: "127.0.0.1:80".parse().expect("an address"),
        domain: Arc::from(format!("d{}", number % 3)),
        software: Arc::from("v1"),
        slots: 12,
        state: if number.is_multiple_of(50) {
            State::Draining
        } else {
            State::Ready
        },
        held: Vec::new(),
        born: 0,
        beat: 0,
    }
}

fn query<'a>(request: &'a str, except: &'a [Arc<str>]) -> Query<'a> {
    Query {
        service: "lm",
        domain: "d1",
        key: "a1",
        id: request,
        peers: PEERS,
        bytes: 900,
        prompt: 700,
        pacing: None,
        build: None,
        avoided_builds: &[],
        max_fill: 2.5,
        except,
    }
}

fn loads(random: &mut StdRng) -> HashMap<Arc<str>, Load> {
    let loads = (0..40).map(|_| {
        let load = Load {
            requests: random.random_range(1..4),
            unread_tokens: random.random_range(0..3_000),
            held_tokens: 0,
        };
        (id(random.random_range(0..ENDPOINTS)), load)
    });
    loads.collect()
}

/// Returns a fleet in which some endpoints are ejected.
fn fleet(random: &mut StdRng, now: Moment) -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..ENDPOINTS {
        fleet.put(entry(number));
    }
    for number in (0..ENDPOINTS).step_by(7) {
        for _ in 0..12 {
            fleet.record_sent(&id(number), 0);
            fleet.record_ended(&id(number), Outcome::Broken, now);
        }
    }
    for peer in 0..PEERS {
        fleet.record_peer_loads(Arc::from(format!("p{peer}")), loads(random), now);
    }
    fleet
}

#[googletest::test]
fn best_is_first_ranked_holder() {
    let mut random = StdRng::seed_from_u64(1);
    let now = Moment(5_000);
    let fleet = fleet(&mut random, now);
    for number in 0..40 {
        let request = format!("r{number}");
        let holders: Vec<Arc<str>> = (0..4)
            .map(|_| id(random.random_range(0..ENDPOINTS)))
            .collect();
        let except = [Arc::clone(&holders[0])];
        let query = query(&request, &except);
        let mut ranked = fleet.rank(&query, now).into_iter();
        let first = ranked.find(|(_, id)| holders.contains(id));
        let best = fleet.best(&query, holders.iter(), now);
        expect_that!(best, eq(&first));
    }
}

/// Guards against selecting an ejected holder while any other endpoint of the service is healthy.
#[googletest::test]
fn ejected_holder_is_last_resort() {
    let now = Moment(5_000);
    let mut fleet = Fleet::default();
    fleet.put(entry(1));
    fleet.put(entry(2));
    let fail = |fleet: &mut Fleet, number| {
        for _ in 0..12 {
            fleet.record_sent(&id(number), 0);
            fleet.record_ended(&id(number), Outcome::Broken, now);
        }
    };
    fail(&mut fleet, 1);
    let holders = [id(1)];
    let query = query("r1", &[]);
    expect_that!(fleet.best(&query, holders.iter(), now), none());
    fail(&mut fleet, 2);
    expect_that!(fleet.best(&query, holders.iter(), now), some(anything()));
}

#[googletest::test]
fn load_is_sum_of_current_peer_loads() {
    let mut random = StdRng::seed_from_u64(2);
    let mut now = Moment(5_000);
    let mut fleet = fleet(&mut random, now);
    for round in 0..300 {
        now = now + Duration::from_millis(random.random_range(1..60));
        if round % 100 == 99 {
            now = now + EXPIRY;
        }
        let peer = format!("p{}", random.random_range(0..PEERS));
        fleet.record_peer_loads(Arc::from(peer), loads(&mut random), now);
    }
    // Loads from before the last expiry no longer count.
    now = now + EXPIRY;
    let last = loads(&mut random);
    fleet.record_peer_loads(Arc::from("p0"), last.clone(), now);
    for number in 0..ENDPOINTS {
        let expected = last.get(&id(number)).copied().unwrap_or_default();
        expect_that!(fleet.direct_load(&id(number), now), eq(expected));
    }
    let later = now + EXPIRY;
    let busy = (0..ENDPOINTS).filter(|n| fleet.direct_load(&id(*n), later) != Load::default());
    expect_that!(busy.count(), eq(0));
}

/// Guards against a digest that depends on earlier changes to the list rather than only on its entries.
#[googletest::test]
fn digest_is_independent_of_history() {
    let mut random = StdRng::seed_from_u64(3);
    let mut fleet = Fleet::default();
    let mut listed: HashMap<usize, Entry> = HashMap::new();
    for _ in 0..2_000 {
        let number = random.random_range(0..60);
        if random.random::<f64>() < 0.3 {
            fleet.remove(&id(number));
            listed.remove(&number);
            continue;
        }
        let mut entry = entry(number);
        entry.slots = random.random_range(1..20);
        // A draining endpoint stays draining until it is removed from the list.
        let is_leaving = listed.get(&number).map(|before| before.state);
        if is_leaving == Some(State::Draining) || random.random::<f64>() < 0.1 {
            entry.state = State::Draining;
        }
        fleet.put(entry.clone());
        listed.insert(number, entry);
    }
    let mut fresh = Fleet::default();
    for entry in listed.into_values() {
        fresh.put(entry);
    }
    expect_that!(fleet.digest(), eq(fresh.digest()));
    expect_that!(fleet.digest(), not(eq(Fleet::default().digest())));
}
