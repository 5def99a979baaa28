//! An adapter gets another copy when its requests keep pausing the streams at the endpoints that
//! hold it, and a copy elsewhere would help.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_adapters::{Copy, Key, Need, Placer, Report, Request, Target};
use ploverwick_names::Moment;

const MODEL: &str = "base";
const ENDPOINTS: usize = 8;
/// The time between requests of a popular adapter, and of a rare one.
const POPULAR_INTERVAL_MS: u64 = 50;
const RARE_INTERVAL_MS: u64 = 990;
const LOADED: Duration = Duration::from_millis(200);
const IDLE: Duration = Duration::from_millis(50);

fn copy(name: &str) -> Copy {
    let key = Key {
        model: Arc::from(MODEL),
        adapter: Arc::from(name),
    };
    Copy { key, version: 1 }
}

fn id(number: usize) -> Arc<str> {
    Arc::from(format!("i-{number}"))
}

/// Creates a placer of which the first `holders` endpoints hold the adapter.
fn placer(holders: usize) -> Placer {
    let mut placer = Placer::default();
    for number in 0..ENDPOINTS {
        placer.add(&id(number), 4, Moment(0));
        let report = Report {
            models: vec![Arc::from(MODEL)],
            held: (number < holders)
                .then(|| copy("popular"))
                .into_iter()
                .collect(),
            ..Report::default()
        };
        let slots = placer.slots(&id(number)).expect("it was added");
        slots.handle_report(&report, Moment(0));
    }
    placer
}

fn targets(pauses: impl Fn(usize) -> Duration) -> Vec<Target> {
    let all = 0..ENDPOINTS;
    all.map(|number| Target {
        endpoint: id(number),
        pause: pauses(number),
        share: 1.0,
    })
    .collect()
}

/// Requests relief for a second and returns where copies were placed.
fn request_relief(placer: &mut Placer, targets: &[Target], interval_ms: u64) -> Vec<Arc<str>> {
    let times = (1_000..2_000).step_by(usize::try_from(interval_ms).expect("a short interval"));
    let copies = times.filter_map(|at| {
        let request = Request::new(copy("popular"), Need::Relief);
        placer.place(&request, targets, &[], Moment(at)).ok()
    });
    copies.collect()
}

/// A fifth of all requests named one adapter, and its few endpoints paused their streams while
/// others were idle.
#[googletest::test]
fn popular_adapter_relieved() {
    let targets = targets(|number| if number == 0 { LOADED } else { IDLE });
    let placed = request_relief(&mut placer(1), &targets, POPULAR_INTERVAL_MS);
    expect_that!(placed, len(eq(1)));
    expect_that!(placed, not(contains(eq(&id(0)))));
}

/// Guards against a copy for each adapter that happens to share an endpoint with a popular one.
#[googletest::test]
fn rare_adapter_keeps_its_copies() {
    let targets = targets(|number| if number == 0 { LOADED } else { IDLE });
    expect_that!(
        request_relief(&mut placer(1), &targets, RARE_INTERVAL_MS),
        is_empty()
    );
}

#[googletest::test]
fn equally_loaded_endpoints_give_no_relief() {
    let targets = targets(|_| LOADED);
    expect_that!(
        request_relief(&mut placer(1), &targets, POPULAR_INTERVAL_MS),
        is_empty()
    );
}

/// Guards against copies that take slots for which adapters without any copy wait.
#[googletest::test]
fn waiting_adapters_come_first() {
    let targets = targets(|number| if number == 0 { LOADED } else { IDLE });
    let mut placer = placer(1);
    for number in 1..ENDPOINTS {
        let slots = placer.slots(&id(number)).expect("it was added");
        slots.request_load(copy("other"), Moment(900));
    }
    expect_that!(
        request_relief(&mut placer, &targets, POPULAR_INTERVAL_MS),
        is_empty()
    );
}

/// When the endpoint that held a popular adapter is lost, the remaining ones are relieved without
/// waiting for it.
#[googletest::test]
fn lost_holder_is_replaced() {
    let mut placer = placer(2);
    placer.remove(&id(0));
    let mut targets = targets(|number| if number == 1 { LOADED } else { IDLE });
    targets.remove(0);
    let placed = request_relief(&mut placer, &targets, POPULAR_INTERVAL_MS);
    expect_that!(placed, len(eq(1)));
}
