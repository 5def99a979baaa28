//! An endpoint that does not answer gets no adapters and does not block loads elsewhere.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_adapters::{Answer, Copy, Key, Need, Permit, Placer, Report, Request, Step, Target};
use ploverwick_names::Moment;

const MODEL: &str = "base";
/// The number of loads that an endpoint may run at once.
const LOADS_PER_ENDPOINT: usize = 4;

fn copy(number: usize) -> Copy {
    Copy {
        key: Key {
            model: Arc::from(MODEL),
            adapter: Arc::from(format!("a{number}")),
        },
        version: 1,
    }
}

fn targets(names: &[Arc<str>]) -> Vec<Target> {
    let target = |name: &Arc<str>| Target {
        endpoint: Arc::clone(name),
        pause: Duration::ZERO,
        share: 1.0,
    };
    names.iter().map(target).collect()
}

/// Creates a placer with endpoints that hold only the base model.
fn placer(names: &[Arc<str>]) -> Placer {
    let mut placer = Placer::default();
    for name in names {
        placer.add(name, 16, Moment(0));
        let slots = placer.slots(name).expect("it was added");
        let report = Report {
            orders: 0,
            models: vec![Arc::from(MODEL)],
            held: Vec::new(),
            loading: Vec::new(),
            busy: false,
        };
        slots.handle_report(&report, Moment(0));
    }
    placer
}

/// Sends the next orders to an endpoint, each with the same answer.
fn orders(placer: &mut Placer, name: &str, answer: Answer, times: usize) {
    for _ in 0..times {
        let permit = placer.permit(name, Moment(1_000));
        let slots = placer.slots(name).expect("it was added");
        match slots.next_step(Moment(1_000), permit) {
            Step::Send(order) => {
                placer.handle_answer(name, &order, answer, Moment(1_000));
            }
            Step::Report => slots.handle_missing_report(Moment(1_000)),
            Step::Wait(_) | Step::Idle => return,
        }
    }
}

fn names(count: usize) -> Vec<Arc<str>> {
    (0..count)
        .map(|n| Arc::from(format!("i-{n}").as_str()))
        .collect()
}

/// Found by scale-1: adapters pending at an endpoint that had crashed were requested there
/// repeatedly, until the list dropped the endpoint three seconds later.
#[googletest::test]
fn pending_load_moves_to_responsive_endpoint() {
    let names = names(2);
    let mut placer = placer(&names);
    let at = Moment(1_000);
    let first = placer.place(&Request::new(copy(1), Need::Any), &targets(&names), &[], at);
    let first = first.expect("there are endpoints");
    orders(&mut placer, &first, Answer::Unknown, 4);
    let second = placer.place(&Request::new(copy(1), Need::Any), &targets(&names), &[], at);
    expect_that!(second, ok(not(eq(&first))));
}

#[googletest::test]
fn unresponsive_endpoint_frees_load_window() {
    let names = names(4);
    let mut placer = placer(&names);
    let at = Moment(1_000);
    for (n, name) in names.iter().take(3).enumerate() {
        for load in 0..LOADS_PER_ENDPOINT {
            let slots = placer.slots(name).expect("it was added");
            slots.request_load(copy(n * LOADS_PER_ENDPOINT + load), at);
        }
        orders(&mut placer, name, Answer::Accepted, LOADS_PER_ENDPOINT);
    }
    let waiting = placer.slots(&names[3]).expect("it was added");
    waiting.request_load(copy(99), at);
    assert_that!(placer.permit(&names[3], at), eq(Permit::Cached));
    let crashed = placer.slots(&names[0]).expect("it was added");
    for _ in 0..LOADS_PER_ENDPOINT {
        crashed.handle_missing_report(at);
    }
    let later = at + Duration::from_millis(10);
    expect_that!(placer.permit(&names[3], later), eq(Permit::First));
}

#[googletest::test]
fn places_when_all_unresponsive() {
    let names = names(2);
    let mut placer = placer(&names);
    for name in &names {
        let slots = placer.slots(name).expect("it was added");
        slots.request_load(copy(9), Moment(1_000));
        orders(&mut placer, name, Answer::Unknown, 4);
    }
    // This instance's own connection may be at fault.
    let chosen = placer.place(
        &Request::new(copy(1), Need::Any),
        &targets(&names),
        &[],
        Moment(1_000),
    );
    expect_that!(chosen, ok(anything()));
}

#[googletest::test]
fn answer_restores_endpoint() {
    let names = names(1);
    let mut placer = placer(&names);
    let slots = placer.slots(&names[0]).expect("it was added");
    slots.request_load(copy(1), Moment(1_000));
    orders(&mut placer, &names[0], Answer::Unknown, 4);
    assert_that!(
        placer
            .slots(&names[0])
            .expect("it was added")
            .is_unresponsive(),
        eq(true)
    );
    orders(&mut placer, &names[0], Answer::Accepted, 1);
    expect_that!(
        placer
            .slots(&names[0])
            .expect("it was added")
            .is_unresponsive(),
        eq(false)
    );
}
