//! Loads are ordered by who waits, and copies yield to adapters that no endpoint holds.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_adapters::{
    Answer, Copy, Declined, Demand, Need, Permit, Placer, Report, Request, Step, Target,
};
use ploverwick_names::Moment;

const MODEL: &str = "base";

fn copy(name: &str) -> Copy {
    Copy::of(&Arc::from(MODEL), Arc::from(name), 1)
}

fn target(endpoint: &Arc<str>) -> Target {
    Target {
        endpoint: Arc::clone(endpoint),
        pause: Duration::ZERO,
        share: 1.0,
    }
}

fn placer(domain: usize, endpoints: usize) -> (Placer, Vec<Target>) {
    let mut placer = Placer::default();
    let names = (0..endpoints).map(|n| Arc::from(format!("d{domain}-{n}").as_str()));
    let names: Vec<Arc<str>> = names.collect();
    for name in &names {
        placer.add(name, 15, Moment(0));
        let report = Report {
            orders: 0,
            models: vec![Arc::from(MODEL)],
            held: Vec::new(),
            loading: Vec::new(),
            busy: false,
        };
        let slots = placer.slots(name).expect("it was added");
        slots.handle_report(&report, Moment(0));
    }
    let targets = names.iter().map(target).collect();
    (placer, targets)
}

fn adapters(prefix: &str, count: usize) -> Vec<Copy> {
    (0..count).map(|n| copy(&format!("{prefix}-{n}"))).collect()
}

/// Copies of busy adapters took the store from adapters that no endpoint held.
#[googletest::test]
fn first_copies_come_first() {
    let (mut placer, targets) = placer(0, 8);
    let now = Moment(10);
    for missing in adapters("missing", 3) {
        assert_that!(
            placer.place(
                &Request::new(missing.clone(), Need::Any),
                &targets,
                &[],
                now
            ),
            ok(anything())
        );
    }
    let popular = copy("popular");
    let further = placer.place(
        &Request::new(popular.clone(), Need::Another),
        &targets,
        &[],
        now,
    );
    expect_that!(further, err(eq(&Declined::NoRoom)));
    // An endpoint that has it cached does not need the store.
    let cached = [Arc::clone(&targets[5].endpoint)];
    let further = placer.place(
        &Request::new(popular.clone(), Need::Another),
        &targets,
        &cached,
        now,
    );
    expect_that!(further, ok(eq(&cached[0])));
    expect_that!(placer.permit(&cached[0], now), ge(Permit::Cached));
    let slots = placer.slots(&cached[0]).expect("it was added");
    let step = slots.next_step(now, Permit::Cached);
    expect_that!(step, matches_pattern!(Step::Send(_)));
}

/// Another domain has adapters without any copy waiting.
#[googletest::test]
fn copies_yield_to_other_domains() {
    let (mut placer, targets) = placer(0, 8);
    let now = Moment(10);
    let other: Arc<str> = Arc::from("d1");
    let behind = Demand {
        window: 3,
        in_flight: 3,
        waiting: 20,
        load_ms: 288,
    };
    placer.record_demand(&other, behind, now);
    let further = placer.place(
        &Request::new(copy("popular"), Need::Another),
        &targets,
        &[],
        now,
    );
    expect_that!(further, err(eq(&Declined::NoRoom)));
    placer.record_demand(
        &other,
        Demand {
            waiting: 0,
            ..behind
        },
        now,
    );
    let further = placer.place(
        &Request::new(copy("popular"), Need::Another),
        &targets,
        &[],
        now,
    );
    expect_that!(further, ok(anything()));
}

/// The adapter that most requests wait for is loaded first, wherever it was placed.
#[googletest::test]
fn most_requested_loaded_first() {
    let (mut placer, targets) = placer(0, 8);
    let now = Moment(10);
    let full = Demand {
        window: 1,
        in_flight: 1,
        waiting: 9,
        load_ms: 288,
    };
    placer.record_demand(&Arc::from("d1"), full, now);
    let missing = adapters("missing", 6);
    let mut placed = Vec::new();
    for copy in &missing {
        placed.push(
            placer
                .place(&Request::new(copy.clone(), Need::Any), &targets, &[], now)
                .expect("there is room"),
        );
    }
    for _ in 0..5 {
        let _ = placer.place(
            &Request::new(missing[5].clone(), Need::Any),
            &targets,
            &[],
            now,
        );
    }
    let permitted = targets
        .iter()
        .filter(|target| placer.permit(&target.endpoint, now) >= Permit::First);
    let permitted: Vec<&Arc<str>> = permitted.map(|target| &target.endpoint).collect();
    expect_that!(permitted, contains(eq(&&placed[5])));
    expect_that!(permitted.len(), le(3));
}

/// A load from an endpoint's cache was noticed only with the first poll of loads from the store.
#[googletest::test]
fn cached_load_noticed() {
    let (mut placer, targets) = placer(0, 1);
    let endpoint = &targets[0].endpoint;
    let previous = [Arc::clone(endpoint)];
    let mut now = Moment(10);
    placer
        .place(
            &Request::new(copy("a"), Need::Any),
            &targets,
            &previous,
            now,
        )
        .expect("there is room");
    let ordered_at = now;
    while now.since(ordered_at) < Duration::from_millis(29) + Duration::from_millis(10) {
        let slots = placer.slots(endpoint).expect("it was added");
        if let Step::Send(order) = slots.next_step(now, Permit::Cached) {
            let is_done = now.since(ordered_at) >= Duration::from_millis(29);
            let answer = if is_done {
                Answer::Done
            } else {
                Answer::Accepted
            };
            slots.handle_answer(&order, answer, now);
        }
        now = now + Duration::from_millis(1);
    }
    let slots = placer.slots(endpoint).expect("it was added");
    expect_that!(slots.holds(&copy("a")), eq(true));
}

/// An endpoint that accepts no connection has crashed; what waited there is placed elsewhere at
/// once, not after several missed answers.
#[googletest::test]
fn crashed_endpoint_avoided_at_once() {
    let (mut placer, targets) = placer(0, 2);
    let now = Moment(10);
    let missing = Request::new(copy("missing"), Need::Any);
    let first = placer
        .place(&missing, &targets, &[], now)
        .expect("there is room");
    let slots = placer.slots(&first).expect("it was added");
    let Step::Send(order) = slots.next_step(now, Permit::First) else {
        panic!("no order");
    };
    placer.handle_answer(&first, &order, Answer::Gone, now);
    let second = placer.place(&missing, &targets, &[], now);
    expect_that!(second, ok(not(eq(&first))));
}

/// Requests of an urgent route weigh more than several that can wait.
#[googletest::test]
fn urgent_request_loaded_first() {
    let (mut placer, targets) = placer(0, 1);
    let now = Moment(10);
    for _ in 0..3 {
        let patient = Request::new(copy("patient"), Need::Any);
        let _ = placer.place(&patient, &targets, &[], now);
    }
    let urgent = Request {
        weight: 8,
        ..Request::new(copy("urgent"), Need::Any)
    };
    let _ = placer.place(&urgent, &targets, &[], now);
    let endpoint = &targets[0].endpoint;
    let slots = placer.slots(endpoint).expect("it was added");
    let Step::Send(order) = slots.next_step(now, Permit::First) else {
        panic!("no order");
    };
    expect_that!(order.copy(), some(eq(&copy("urgent"))));
}

/// A load that no request asks for any more is dropped.
#[googletest::test]
fn abandoned_load_dropped() {
    let (mut placer, targets) = placer(0, 1);
    let missing = Request::new(copy("missing"), Need::Any);
    let _ = placer.place(&missing, &targets, &[], Moment(10));
    let later = Moment(400);
    let endpoint = &targets[0].endpoint;
    let slots = placer.slots(endpoint).expect("it was added");
    expect_that!(
        slots.next_step(later, Permit::All),
        not(matches_pattern!(Step::Send(_)))
    );
    expect_that!(placer.demand(later).waiting, eq(0));
}
