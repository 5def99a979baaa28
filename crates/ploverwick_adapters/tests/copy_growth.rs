//! The number of copies doubles when the holders of an adapter are overloaded; an adapter that is
//! not held anywhere is loaded once.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_adapters::{Copy, Demand, Key, Need, Placer, Report, Request, Target};
use ploverwick_names::Moment;

const MODEL: &str = "base";
const NOW: Moment = Moment(1_000);

fn hot() -> Copy {
    Copy {
        key: Key {
            model: Arc::from(MODEL),
            adapter: Arc::from("hot"),
        },
        version: 1,
    }
}

/// Creates a placer and its targets, of which the first `holders` hold the adapter.
fn placer(count: usize, holders: usize) -> (Placer, Vec<Target>) {
    let mut placer = Placer::default();
    // The weight store bears more loads than one placer starts with.
    let idle = Demand {
        window: 40,
        ..Demand::default()
    };
    placer.record_demand(&Arc::from("other"), idle, NOW);
    let mut targets = Vec::new();
    for n in 0..count {
        let endpoint: Arc<str> = Arc::from(format!("i-{n}").as_str());
        placer.add(&endpoint, 9, Moment(0));
        let held = if n < holders { vec![hot()] } else { Vec::new() };
        let report = Report {
            orders: 0,
            models: vec![Arc::from(MODEL)],
            held,
            loading: Vec::new(),
            busy: false,
        };
        let slots = placer.slots(&endpoint).expect("it was added");
        slots.handle_report(&report, Moment(0));
        targets.push(Target {
            endpoint,
            pause: Duration::from_millis(300),
            share: 1.0,
        });
    }
    (placer, targets)
}

/// Requests the adapter as often as many concurrent requests do, and returns where it was placed.
fn request_load(placer: &mut Placer, targets: &[Target], need: Need) -> HashSet<Arc<str>> {
    let chosen = (0..50).filter_map(|_| {
        placer
            .place(&Request::new(hot(), need), targets, &[], NOW)
            .ok()
    });
    chosen.collect()
}

/// Guards against adding one copy at a time, which took seconds to serve an adapter that a fifth of
/// all requests named. The scenario `scale-2` showed this failure.
#[googletest::test]
fn busy_adapter_doubles_copies() {
    for (holders, more) in [(1, 1), (3, 3), (8, 8)] {
        let (mut placer, targets) = placer(20, holders);
        expect_that!(
            request_load(&mut placer, &targets, Need::Another).len(),
            eq(more)
        );
    }
}

#[googletest::test]
fn cold_adapter_loaded_once() {
    let (mut placer, targets) = placer(20, 0);
    expect_that!(request_load(&mut placer, &targets, Need::Any).len(), eq(1));
}
