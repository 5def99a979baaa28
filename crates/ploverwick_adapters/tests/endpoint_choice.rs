//! An adapter is loaded at the endpoint of its domain that can serve it soonest.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_adapters::{Copy, Key, Need, Placer, Report, Request, Target};
use ploverwick_names::Moment;

const MODEL: &str = "base";
const SLOTS: usize = 2;
const NOW: Moment = Moment(10_000);

fn copy(name: &str) -> Copy {
    Copy {
        key: Key {
            model: Arc::from(MODEL),
            adapter: Arc::from(name),
        },
        version: 1,
    }
}

/// Creates a placer with three endpoints; the first has all slots in use if `is_full`.
fn placer(is_full: bool) -> Placer {
    let mut placer = Placer::default();
    for id in ["i-0", "i-1", "i-2"] {
        let endpoint: Arc<str> = Arc::from(id);
        placer.add(&endpoint, SLOTS, Moment(0));
        let count = if is_full && id == "i-0" { SLOTS } else { 0 };
        let held: Vec<Copy> = (0..count).map(|n| copy(&format!("held-{n}"))).collect();
        let report = Report {
            models: vec![Arc::from(MODEL)],
            held: held.clone(),
            ..Report::default()
        };
        let slots = placer.slots(id).expect("it was added");
        slots.handle_report(&report, Moment(0));
        for copy in &held {
            slots.record_use(copy, [10, 0, 0, 1].into(), 1, NOW);
        }
    }
    placer
}

fn targets(waits: [u64; 3]) -> Vec<Target> {
    let all = ["i-0", "i-1", "i-2"].into_iter().zip(waits);
    all.map(|(id, ms)| Target {
        endpoint: Arc::from(id),
        pause: Duration::from_millis(ms),
        share: 1.0,
    })
    .collect()
}

/// Returns how many of a hundred adapters, each placed independently, go to the first endpoint.
fn to_first(is_full: bool, waits: [u64; 3], is_cached: bool) -> usize {
    let previous_holders: Vec<Arc<str>> = is_cached.then(|| Arc::from("i-0")).into_iter().collect();
    let chosen = (0..100).filter_map(|n| {
        let wanted = copy(&format!("a{n}"));
        let mut placer = placer(is_full);
        placer
            .place(
                &Request::new(wanted.clone(), Need::Any),
                &targets(waits),
                &previous_holders,
                NOW,
            )
            .ok()
    });
    chosen.filter(|id| **id == *"i-0").count()
}

#[googletest::test]
fn equal_endpoints_share_loads() {
    expect_that!(to_first(false, [0, 0, 0], false), all![ge(15), le(50)]);
}

/// Guards against a choice blind to speed: the third of the endpoints that read 2.4 times slower held a
/// third of the adapters, and four of ten streams there paused for too long.
#[googletest::test]
fn slow_endpoint_gets_fewer_adapters() {
    let chosen = (0..100).filter_map(|n| {
        let mut targets = targets([0, 0, 0]);
        targets[0].share = 0.125;
        let request = Request::new(copy(&format!("a{n}")), Need::Any);
        placer(false).place(&request, &targets, &[], NOW).ok()
    });
    let to_slow = chosen.filter(|id| **id == *"i-0").count();
    expect_that!(to_slow, all![ge(1), le(12)]);
}

/// A summary request queued behind 13,000 prompt tokens while four of eleven endpoints were idle.
#[googletest::test]
fn endpoint_with_queued_prompts_avoided() {
    expect_that!(to_first(false, [400, 0, 0], false), eq(0));
}

/// Adapters waited 0.8 s for a slot at an endpoint with all slots in use while others had free
/// ones.
#[googletest::test]
fn full_endpoint_avoided() {
    expect_that!(to_first(true, [0, 300, 300], false), eq(0));
}

#[googletest::test]
fn cached_endpoint_preferred() {
    expect_that!(to_first(false, [400, 0, 0], true), eq(100));
    expect_that!(to_first(false, [2_000, 0, 0], true), eq(0));
}
