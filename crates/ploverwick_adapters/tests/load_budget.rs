//! Placers share the weight store's capacity, which none of them knows.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_adapters::{
    Answer, Budget, Copy, Demand, Event, Need, Op, Order, Placer, Report, Request, Step, Target,
};
use ploverwick_names::Moment;

const MODEL: &str = "base";
/// The duration of a load at full speed.
const FULL_SPEED_MS: f64 = 288.0;
/// How often the demand reaches other failure domains.
const DEMAND_INTERVAL_MS: u64 = 600;
const STEP_MS: u64 = 2;
/// How often missing adapters are requested.
const REQUEST_STEPS: u64 = 75;
const STEP: Duration = Duration::from_millis(STEP_MS);

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

/// The placers of some failure domains, their endpoints, and a weight store that serves `at_once`
/// loads at full speed and slows down in proportion beyond.
struct Simulation {
    at_once: usize,
    now: Moment,
    placers: Vec<(Placer, Vec<Target>)>,
    /// The rest of each load from the store, in milliseconds at full speed.
    loads: HashMap<(Arc<str>, Copy), f64>,
    loaded: usize,
    /// The loads in flight, summed over time steps.
    load_ms: usize,
    sends_demand: bool,
}

impl Simulation {
    fn new(at_once: usize, domains: usize, endpoints: usize) -> Self {
        let placers = (0..domains).map(|domain| placer(domain, endpoints));
        Self {
            at_once,
            now: Moment(0),
            placers: placers.collect(),
            loads: HashMap::new(),
            loaded: 0,
            load_ms: 0,
            sends_demand: true,
        }
    }

    /// Requests adapters in a domain.
    fn request(&mut self, domain: usize, adapters: &[Copy]) {
        let now = self.now;
        let (placer, targets) = &mut self.placers[domain];
        for copy in adapters {
            let _ = placer.place(&Request::new(copy.clone(), Need::Any), targets, &[], now);
        }
    }

    /// Simulates some time during which the adapters of each domain are requested again and again.
    fn run(&mut self, ms: u64, wanted: &[Vec<Copy>]) {
        for step in 0..ms / STEP_MS {
            self.now = self.now + STEP;
            if step.is_multiple_of(REQUEST_STEPS) {
                for (domain, adapters) in wanted.iter().enumerate() {
                    self.request(domain, adapters);
                }
            }
            if self.sends_demand && self.now.0.is_multiple_of(DEMAND_INTERVAL_MS) {
                self.send_demand();
            }
            self.load_ms += self.loads.len();
            let slower = (self.loads.len() as f64 / self.at_once as f64).max(1.0);
            for rest in self.loads.values_mut() {
                *rest -= STEP_MS as f64 / slower;
            }
            for domain in 0..self.placers.len() {
                self.send_orders(domain);
            }
        }
    }

    fn send_demand(&mut self) {
        let now = self.now;
        let demands = self.placers.iter().map(|(placer, _)| placer.demand(now));
        let demands: Vec<Demand> = demands.collect();
        for (domain, (placer, _)) in self.placers.iter_mut().enumerate() {
            for (other, demand) in demands.iter().enumerate().filter(|(n, _)| *n != domain) {
                placer.record_demand(&Arc::from(format!("d{other}")), *demand, now);
            }
        }
    }

    fn send_orders(&mut self, domain: usize) {
        let now = self.now;
        let (placer, targets) = &mut self.placers[domain];
        for target in targets {
            loop {
                let permit = placer.permit(&target.endpoint, now);
                let slots = placer.slots(&target.endpoint).expect("it was added");
                let Step::Send(order) = slots.next_step(now, permit) else {
                    break;
                };
                let answer = answer(&mut self.loads, &target.endpoint, &order);
                let event = placer.handle_answer(&target.endpoint, &order, answer, now);
                self.loaded += usize::from(matches!(event, Some(Event::Loaded(_))));
            }
        }
    }

    fn windows(&self) -> usize {
        let windows = self
            .placers
            .iter()
            .map(|(placer, _)| placer.demand(self.now).window);
        windows.map(usize::from).sum()
    }
}

fn answer(
    loads: &mut HashMap<(Arc<str>, Copy), f64>,
    endpoint: &Arc<str>,
    order: &Order,
) -> Answer {
    if order.op == Op::Unload {
        return Answer::Done;
    }
    let key = (
        Arc::clone(endpoint),
        order.copy().expect("it names an adapter"),
    );
    let rest = *loads.entry(key.clone()).or_insert(FULL_SPEED_MS);
    if rest > 0.0 {
        return Answer::Accepted;
    }
    loads.remove(&key);
    Answer::Done
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

/// At the start of a day, each domain started with 3 loads and took seconds to use the store.
#[googletest::test]
fn cold_start_fills_store() {
    let mut simulation = Simulation::new(48, 4, 15);
    let wanted: Vec<Vec<Copy>> = (0..4).map(|d| adapters(&format!("d{d}"), 150)).collect();
    simulation.run(2_000, &wanted);
    // The store could have loaded 333.
    expect_that!(simulation.loaded, ge(200));
    expect_that!(simulation.windows(), all![ge(36), le(84)]);
}

/// A store that bears few loads at once is not held overloaded by slow start.
#[googletest::test]
fn small_store_not_overloaded_for_long() {
    let mut simulation = Simulation::new(8, 3, 4);
    let wanted: Vec<Vec<Copy>> = (0..3).map(|d| adapters(&format!("d{d}"), 40)).collect();
    simulation.run(1_500, &wanted);
    let before = simulation.load_ms;
    simulation.run(2_000, &wanted);
    expect_that!((simulation.load_ms - before) / 1_000, le(16));
}

/// A quarter of the endpoints, all in one domain, crash; the other domains have nothing to load.
#[googletest::test]
fn domain_borrows_unused_windows() {
    let mut simulation = Simulation::new(48, 4, 15);
    let all: Vec<Vec<Copy>> = (0..4).map(|d| adapters(&format!("d{d}"), 200)).collect();
    simulation.run(3_000, &all);
    let before = simulation.loaded;
    let one = [adapters("lost", 200), Vec::new(), Vec::new(), Vec::new()];
    simulation.run(1_600, &one);
    // The store could have loaded 267; without what the others leave, 168 are loaded.
    expect_that!(simulation.loaded - before, ge(220));
}

/// The windows adapt to a store that turns slow, and to its recovery.
#[googletest::test]
fn slow_store_shrinks_windows() {
    let mut simulation = Simulation::new(48, 4, 15);
    let wanted: Vec<Vec<Copy>> = (0..4).map(|d| adapters(&format!("d{d}"), 400)).collect();
    simulation.run(3_000, &wanted);
    simulation.at_once = 12;
    simulation.run(6_000, &wanted);
    expect_that!(simulation.windows(), le(26));
    simulation.at_once = 48;
    simulation.run(4_000, &wanted);
    expect_that!(simulation.windows(), ge(34));
}

#[googletest::test]
fn lost_placer_lends_nothing() {
    let mut budget = Budget::default();
    let own = Demand {
        window: 10,
        in_flight: 10,
        waiting: 30,
        load_ms: 288,
    };
    let idle = Demand {
        window: 12,
        ..Demand::default()
    };
    budget.record_demand(&Arc::from("d1"), idle, Moment(0));
    expect_that!(budget.limit(own, Moment(700)), eq(22));
    // Its last message is old: it is lost with its loads, or another one has its window.
    expect_that!(budget.limit(own, Moment(1_300)), eq(10));
}

#[googletest::test]
fn greater_demand_borrows_more() {
    let mut budget = Budget::default();
    let idle = Demand {
        window: 40,
        ..Demand::default()
    };
    let busy = Demand {
        window: 10,
        in_flight: 10,
        waiting: 10,
        load_ms: 288,
    };
    budget.record_demand(&Arc::from("d1"), idle, Moment(0));
    budget.record_demand(&Arc::from("d2"), busy, Moment(0));
    let own = Demand {
        waiting: 30,
        ..busy
    };
    expect_that!(budget.limit(own, Moment(0)), eq(40));
    expect_that!(budget.limit(busy, Moment(0)), eq(20));
    expect_that!(budget.limit(idle, Moment(0)), eq(40));
}

#[googletest::test]
fn initial_window_fits_fleet() {
    for (endpoints, window) in [(4, 3), (25, 8), (60, 19)] {
        let (placer, _) = placer(0, endpoints);
        expect_that!(placer.demand(Moment(0)).window, eq(window));
    }
}

#[googletest::test]
fn wait_grows_with_backlog() {
    let mut demand = Demand {
        window: 10,
        in_flight: 10,
        waiting: 0,
        load_ms: 300,
    };
    expect_that!(demand.expected_wait(), some(eq(Duration::from_millis(300))));
    demand.waiting = 40;
    expect_that!(
        demand.expected_wait(),
        some(eq(Duration::from_millis(1_500)))
    );
    expect_that!(Demand::default().expected_wait(), none());
}
