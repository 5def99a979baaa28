//! The choice of an endpoint by what a prompt does to the streams that run there.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::{Entry, Fleet, Load, Pacing, Query, State};
use ploverwick_names::Moment;

const NOW: Moment = Moment(1_000);
const PROMPT: u32 = 800;
const PACING: Pacing = Pacing {
    max_pause: Duration::from_millis(300),
    event_tokens: 7,
    answer_tokens: 300,
};
const QUERY: Query<'static> = Query {
    service: "lm",
    domain: "d1",
    key: "a1",
    id: "r1",
    peers: 0,
    bytes: 4_000,
    prompt: PROMPT,
    pacing: Some(PACING),
    build: None,
    avoided_builds: &[],
    max_fill: 2.5,
    except: &[],
};

fn id(number: usize) -> Arc<str> {
    Arc::from(format!("i-{number}"))
}

fn fleet(endpoints: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..endpoints {
        fleet.put(Entry {
            id: id(number),
            service: Arc::from("lm"),
            address: "127.0.0.1:80".parse().expect("invalid address"),
            domain: Arc::from("d1"),
            software: Arc::from("v1"),
            slots: 32,
            state: State::Ready,
            held: Vec::new(),
            born: 0,
            beat: 0,
        });
    }
    fleet
}

/// Shows the fleet that an endpoint reads a token in `read_us` microseconds, long after what it learned before.
fn learn(fleet: &mut Fleet, endpoint: &str, read_us: u32, now: Moment) {
    fleet.tick_capacities(now);
    let taken = Duration::from_micros(u64::from(read_us) * 4_000);
    for _ in 0..60 {
        fleet.record_reading(endpoint, 4_000, 0, taken);
    }
}

/// Sends prompts one after the other, each to the best endpoint, and returns how many each got.
fn send(fleet: &mut Fleet, count: usize) -> HashMap<Arc<str>, usize> {
    let mut sent: HashMap<Arc<str>, usize> = HashMap::new();
    for number in 0..count {
        let id = format!("r{number}");
        let query = Query { id: &id, ..QUERY };
        let chosen = fleet.rank(&query, NOW).swap_remove(0).1;
        fleet.record_sent(&chosen, PROMPT);
        *sent.entry(chosen).or_default() += 1;
    }
    sent
}

/// Half of the prompts went to the slow endpoint, where they paused all streams for too long.
#[googletest::test]
fn prompts_follow_reading_speed() {
    let mut fleet = fleet(2);
    learn(&mut fleet, "i-0", 50, Moment(0));
    learn(&mut fleet, "i-1", 20, Moment(0));
    let sent = send(&mut fleet, 14);
    expect_that!(sent[&id(1)], ge(9));
    expect_that!(sent.get(&id(0)), some(ge(&1)));
}

/// Guards against sending a prompt to the emptier endpoint although it reads for too long.
#[googletest::test]
fn slow_spell_is_avoided_until_it_ends() {
    let mut fleet = fleet(2);
    learn(&mut fleet, "i-0", 50, Moment(0));
    learn(&mut fleet, "i-1", 20, Moment(0));
    for _ in 0..3 {
        fleet.record_sent("i-1", 0);
    }
    let first = |fleet: &Fleet| fleet.rank(&QUERY, NOW).swap_remove(0).1;
    expect_that!(&*first(&fleet), eq("i-1"));
    learn(&mut fleet, "i-1", 125, Moment(60_000));
    expect_that!(&*first(&fleet), eq("i-0"));
    learn(&mut fleet, "i-1", 20, Moment(120_000));
    expect_that!(&*first(&fleet), eq("i-1"));
}

/// All instances know the same loads, which are too old to show what the others send. Where each chose
/// the least loaded endpoint, its streams paused for seconds.
#[googletest::test]
fn stale_loads_spread_within_longest_pause() {
    const INSTANCES: usize = 73;
    let mut fleet = fleet(60);
    let loads = (0..60).map(|number| {
        let requests = 4 + number % 5;
        let load = Load {
            requests,
            unread_tokens: 100 * (number % 4),
            ..Load::default()
        };
        (id(number as usize), load)
    });
    fleet.record_peer_loads(Arc::from("peers"), loads.collect(), NOW);
    let mut sent: HashMap<Arc<str>, u32> = HashMap::new();
    for number in 0..INSTANCES {
        let id = format!("r{number}");
        let query = Query {
            id: &id,
            peers: INSTANCES - 1,
            ..QUERY
        };
        let chosen = fleet.rank(&query, NOW).swap_remove(0).1;
        *sent.entry(chosen).or_default() += PROMPT;
    }
    for (endpoint, tokens) in sent {
        let capacity = fleet.capacity(&endpoint).expect("it is listed");
        let load = fleet.load(&endpoint, NOW);
        expect_that!(PACING.pause_ratio(capacity, load, tokens), le(1.0));
    }
}

/// An endpoint whose speed is not known yet gets its part of the prompts.
#[googletest::test]
fn unknown_speed_is_typical() {
    let sent = send(&mut fleet(4), 40);
    expect_that!(sent.values().min(), some(ge(&6)));
    expect_that!(sent.values().max(), some(le(&14)));
}

/// Guards against a choice by the request's own wait, and against an effect on routes that declare no longest pause.
#[googletest::test]
fn running_streams_are_spared() {
    let mut fleet = fleet(2);
    for _ in 0..20 {
        fleet.record_sent("i-0", 0);
    }
    fleet.record_sent("i-1", 1_500);
    let count_first = |pacing| {
        let ids = (0..20).map(|number| format!("r{number}"));
        let chosen = ids.map(|id| {
            let query = Query {
                id: &id,
                prompt: 3_000,
                pacing,
                ..QUERY
            };
            fleet.rank(&query, NOW).swap_remove(0).1
        });
        chosen.filter(|chosen| **chosen == *"i-0").count()
    };
    expect_that!(count_first(Some(PACING)), eq(0));
    expect_that!(count_first(None), eq(20));
}
