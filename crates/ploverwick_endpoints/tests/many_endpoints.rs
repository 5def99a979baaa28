//! Three thousand endpoints before a hundred peers that report: a choice among the holders of an adapter is
//! the one that ranks all, and sums of reports are those of the reports that count.

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
/// Longer than a report counts.
const LAPSED: Duration = Duration::from_millis(2_600);

fn id(number: usize) -> Arc<str> {
    Arc::from(format!("i-{number}"))
}

fn entry(number: usize) -> Entry {
    Entry {
        id: id(number),
        service: Arc::from("lm"),
        address: "127.0.0.1:80".parse().expect("an address"),
        domain: Arc::from(format!("d{}", number % 3)),
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
        except,
    }
}

fn loads(random: &mut StdRng) -> HashMap<Arc<str>, Load> {
    let loads = (0..40).map(|_| {
        let load = Load {
            requests: random.random_range(1..4),
            reading: random.random_range(0..3_000),
        };
        (id(random.random_range(0..ENDPOINTS)), load)
    });
    loads.collect()
}

/// Makes the fleet, some of its endpoints failing.
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
        fleet.record_report(Arc::from(format!("p{peer}")), loads(random), now);
    }
    fleet
}

#[googletest::test]
fn best_is_first() {
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

/// Those that are left out come only if there are no others at all.
#[googletest::test]
fn failing_come_last() {
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
fn sums_are_of_reports() {
    let mut random = StdRng::seed_from_u64(2);
    let mut now = Moment(5_000);
    let mut fleet = fleet(&mut random, now);
    for round in 0..300 {
        now = now + Duration::from_millis(random.random_range(1..60));
        if round % 100 == 99 {
            now = now + LAPSED;
        }
        let peer = format!("p{}", random.random_range(0..PEERS));
        fleet.record_report(Arc::from(peer), loads(&mut random), now);
    }
    // What came before the last lapse counts no more.
    now = now + LAPSED;
    let last = loads(&mut random);
    fleet.record_report(Arc::from("p0"), last.clone(), now);
    for number in 0..ENDPOINTS {
        let expected = last.get(&id(number)).copied().unwrap_or_default();
        expect_that!(fleet.reported_load(&id(number), now), eq(expected));
    }
    let later = now + LAPSED;
    let busy = (0..ENDPOINTS).filter(|n| fleet.reported_load(&id(*n), later) != Load::default());
    expect_that!(busy.count(), eq(0));
}

/// The digest is that of the list as it stands, whatever came and went before.
#[googletest::test]
fn digest_is_of_list() {
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
        // One that leaves stays so until it is taken off the list.
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
