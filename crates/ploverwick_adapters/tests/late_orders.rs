//! Orders without an answer may be carried out seconds later, at the number of accepted orders that
//! they carry. Whatever the sender assumed when it chose that number, the endpoint must have a free
//! slot for the order.
//!
//! Failure: an endpoint with sixteen slots was ordered to load a seventeenth adapter and crashed,
//! on days on which most orders got no answer and were carried out seconds later.
//!
//! Sequence: while an unload waited for the running requests, the endpoint refused every other
//! order. A load at number 30 got no answer and its retry was refused, so the placer went on to 31
//! with a poll, which was delayed. The report said 30 with fourteen adapters held. After a restart
//! a load was accepted at 30, and the next one, at 31, got no answer. The delayed poll was carried
//! out at 31 and loaded the sixteenth adapter. The retry at 31 was refused, and the poll at 32
//! loaded the seventeenth.
//!
//! Cause: a refused retry was taken as proof that the first attempt had been accepted, and the
//! assumed load was polled although a poll loads an adapter that is missing and no slot was kept
//! free for that. The restart is not needed: `late_polls_after_wrong_assumption_fit` fails without
//! one. `late_polls_after_restart_fit` replays the recorded orders of that endpoint.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_adapters::{Answer, Copy, Key, Op, Order, Permit, Report, Slots, Step};
use ploverwick_names::Moment;
use proptest::prelude::*;

const CAPACITY: usize = 4;
const MODEL: &str = "base";
/// How far an endpoint's report lags behind.
const REPORT_LAG: Duration = Duration::from_millis(200);
/// How long a load takes.
const LOAD_TIME: Duration = Duration::from_millis(250);

fn copy(number: u8) -> Copy {
    Copy {
        key: Key {
            model: Arc::from(MODEL),
            adapter: Arc::from(format!("a{number}")),
        },
        version: 1,
    }
}

fn order_copy(order: &Order) -> Option<Copy> {
    let (adapter, version) = order.adapter.clone()?;
    Some(Copy::of(&order.model, adapter, version))
}

/// An endpoint as the platform's documentation describes it. While an unload waits for running
/// requests it accepts no other order.
#[derive(Debug, Default)]
struct Endpoint {
    orders: u64,
    token: u64,
    held: Vec<Copy>,
    loading: Vec<(Copy, Moment)>,
    unloading: Option<Copy>,
    in_use: Vec<Copy>,
    late: Vec<(Order, u64, Moment)>,
    reports: Vec<(Moment, Report)>,
    max_adapters: usize,
}

impl Endpoint {
    fn step(&mut self, now: Moment) {
        let arrived = self.loading.extract_if(.., |(_, at)| *at <= now);
        let arrived: Vec<Copy> = arrived.map(|(copy, _)| copy).collect();
        self.held.extend(arrived);
        if let Some(copy) = self.unloading.take_if(|copy| !self.in_use.contains(copy)) {
            self.held.retain(|other| *other != copy);
        }
        let late: Vec<_> = self.late.extract_if(.., |(.., at)| *at <= now).collect();
        for (order, token, _) in late {
            self.execute(&order, token, now);
        }
        self.reports.push((now, self.snapshot()));
    }

    /// Applies the start or end of requests that use an adapter.
    fn apply_use(&mut self, use_change: Option<(u8, bool)>) {
        if let Some((number, begins)) = use_change {
            self.in_use.retain(|other| *other != copy(number));
            if begins {
                self.in_use.push(copy(number));
            }
        }
    }

    fn execute(&mut self, order: &Order, token: u64, now: Moment) -> Answer {
        if token < self.token {
            return Answer::Fenced;
        }
        self.token = token;
        if order.after != Some(self.orders) {
            return Answer::Conflict;
        }
        let Some(copy) = order_copy(order) else {
            return Answer::Done;
        };
        let is_held = self.held.contains(&copy);
        let is_loading = self.loading.iter().any(|(other, _)| *other == copy);
        match order.op {
            Op::Load if is_held => Answer::Done,
            Op::Load if is_loading => Answer::Accepted,
            Op::Unload if self.unloading.as_ref() == Some(&copy) => Answer::Accepted,
            Op::Unload if !is_held => Answer::Done,
            _ if self.unloading.is_some() => Answer::Conflict,
            Op::Load => self.load(copy, now),
            Op::Unload => self.unload(copy),
        }
    }

    fn load(&mut self, copy: Copy, now: Moment) -> Answer {
        self.orders += 1;
        self.loading.push((copy, now + LOAD_TIME));
        self.max_adapters = self.max_adapters.max(self.held.len() + self.loading.len());
        Answer::Accepted
    }

    fn unload(&mut self, copy: Copy) -> Answer {
        self.orders += 1;
        if self.in_use.contains(&copy) {
            self.unloading = Some(copy);
            return Answer::Accepted;
        }
        self.held.retain(|other| *other != copy);
        Answer::Done
    }

    fn report(&self, now: Moment) -> Report {
        let mut reports = self.reports.iter().rev();
        let report = reports.find(|(at, _)| now.since(*at) >= REPORT_LAG);
        report.map_or_else(|| self.snapshot(), |(_, report)| report.clone())
    }

    fn snapshot(&self) -> Report {
        Report {
            orders: self.orders,
            busy: false,
            models: vec![Arc::from(MODEL)],
            held: self.held.clone(),
            loading: self.loading.iter().map(|(copy, _)| copy.clone()).collect(),
        }
    }
}

/// What happens to one message.
#[derive(Debug, Clone, Copy)]
enum Delivery {
    Arrives,
    AnswerLost,
    Lost,
    Late(u64),
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        5 => Just(Delivery::Arrives),
        1 => Just(Delivery::AnswerLost),
        1 => Just(Delivery::Lost),
        5 => (100_u64..3_000).prop_map(Delivery::Late),
    ]
}

fn send(
    endpoint: &mut Endpoint,
    order: &Order,
    token: u64,
    delivery: Delivery,
    now: Moment,
) -> Answer {
    match delivery {
        Delivery::Arrives => endpoint.execute(order, token, now),
        Delivery::AnswerLost => {
            endpoint.execute(order, token, now);
            Answer::Unknown
        }
        Delivery::Lost => Answer::Unknown,
        Delivery::Late(ms) => {
            let at = now + Duration::from_millis(ms);
            endpoint.late.push((order.clone(), token, at));
            Answer::Unknown
        }
    }
}

/// The state that one placer process keeps for this endpoint.
#[derive(Debug)]
struct PlacerRun {
    slots: Slots,
    token: u64,
}

impl PlacerRun {
    fn new(token: u64, now: Moment) -> Self {
        Self {
            slots: Slots::new(CAPACITY, now),
            token,
        }
    }

    /// Takes the next step; returns whether the endpoint has seen a higher token.
    fn take_step(&mut self, endpoint: &mut Endpoint, delivery: Delivery, now: Moment) -> bool {
        match self.slots.next_step(now, Permit::All) {
            Step::Send(order) => {
                let answer = send(endpoint, &order, self.token, delivery, now);
                self.slots.handle_answer(&order, answer, now);
                answer == Answer::Fenced
            }
            Step::Report => {
                self.slots.handle_report(&endpoint.report(now), now);
                false
            }
            Step::Wait(_) | Step::Idle => false,
        }
    }
}

/// What happens to the placer before a step.
#[derive(Debug, Clone, Copy)]
enum Succession {
    Continues,
    /// The placer restarts and keeps its token.
    Restarts,
    /// Another placer takes over with a higher token; the previous one continues until it is
    /// refused.
    HandsOver,
}

fn succession() -> impl Strategy<Value = Succession> {
    prop_oneof![
        60 => Just(Succession::Continues),
        1 => Just(Succession::Restarts),
        1 => Just(Succession::HandsOver),
    ]
}

#[derive(Debug, Clone)]
struct Tick {
    pause: u64,
    wanted_number: u8,
    delivery: Delivery,
    succession: Succession,
    /// An adapter, and whether requests start or stop using it.
    use_change: Option<(u8, bool)>,
}

fn tick() -> impl Strategy<Value = Tick> {
    let use_change = prop::option::weighted(0.1, (0_u8..9, any::<bool>()));
    let all = (5_u64..120, 0_u8..9, delivery(), succession(), use_change);
    all.prop_map(
        |(pause, wanted_number, delivery, succession, use_change)| Tick {
            pause,
            wanted_number,
            delivery,
            succession,
            use_change,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn capacity_holds_for_one_placer(ticks in prop::collection::vec(tick(), 200..400)) {
        let max_adapters = max_adapters(&ticks, |_| Succession::Continues);
        prop_assert!(max_adapters <= CAPACITY, "{} adapters", max_adapters);
    }

    #[test]
    fn capacity_holds_across_restarts(ticks in prop::collection::vec(tick(), 200..400)) {
        let max_adapters = max_adapters(&ticks, |tick| tick.succession);
        prop_assert!(max_adapters <= CAPACITY, "{} adapters", max_adapters);
    }
}

/// Simulates the steps and returns the largest number of adapters at the endpoint.
fn max_adapters(ticks: &[Tick], succession: impl Fn(&Tick) -> Succession) -> usize {
    let mut endpoint = Endpoint::default();
    let mut now = Moment(0);
    let mut run = PlacerRun::new(1, now);
    let mut previous: Option<PlacerRun> = None;
    for tick in ticks {
        now = now + Duration::from_millis(tick.pause);
        endpoint.apply_use(tick.use_change);
        endpoint.step(now);
        match succession(tick) {
            Succession::Continues => {}
            Succession::Restarts => run = PlacerRun::new(run.token, now),
            Succession::HandsOver => {
                let next = PlacerRun::new(run.token + 1, now);
                previous = Some(std::mem::replace(&mut run, next));
            }
        }
        run.slots.request_load(copy(tick.wanted_number), now);
        run.take_step(&mut endpoint, tick.delivery, now);
        if let Some(old) = &mut previous {
            old.slots.request_load(copy(8 - tick.wanted_number), now);
            if old.take_step(&mut endpoint, tick.delivery, now) {
                previous = None;
            }
        }
    }
    endpoint.max_adapters
}

/// A placer process and its endpoint, advanced step by step.
#[derive(Debug)]
struct Scenario {
    run: PlacerRun,
    endpoint: Endpoint,
    now: Moment,
}

impl Scenario {
    /// Starts with adapters that the endpoint holds and that were not requested recently.
    fn with_held(held: impl IntoIterator<Item = u8>) -> Self {
        let mut endpoint = Endpoint {
            held: held.into_iter().map(copy).collect(),
            ..Endpoint::default()
        };
        let now = Moment(1_000);
        endpoint.step(now);
        let mut run = PlacerRun::new(1, now);
        run.slots.handle_report(&endpoint.report(now), now);
        Self {
            run,
            endpoint,
            now: now + Duration::from_secs(1),
        }
    }

    /// Advances until an order is due while an adapter is requested; `None` if none is due for two
    /// seconds.
    fn order(&mut self, wanted: &Copy) -> Option<Order> {
        for _ in 0..400 {
            self.now = self.now + Duration::from_millis(5);
            self.endpoint.step(self.now);
            self.run.slots.request_load(wanted.clone(), self.now);
            match self.run.slots.next_step(self.now, Permit::All) {
                Step::Send(order) => return Some(order),
                Step::Report => {
                    let report = self.endpoint.report(self.now);
                    self.run.slots.handle_report(&report, self.now);
                }
                Step::Wait(_) | Step::Idle => {}
            }
        }
        None
    }

    /// Sends the next order, which arrives and is answered.
    fn send_next(&mut self, wanted: &Copy) -> Option<(Op, Answer)> {
        let order = self.order(wanted)?;
        let answer = self.endpoint.execute(&order, self.run.token, self.now);
        self.run.slots.handle_answer(&order, answer, self.now);
        Some((order.op, answer))
    }

    /// Sends the next order, which is delayed and gets no answer.
    fn send_late(&mut self, wanted: &Copy) -> Option<Order> {
        let order = self.order(wanted)?;
        self.run
            .slots
            .handle_answer(&order, Answer::Unknown, self.now);
        Some(order)
    }
}

/// Replays the orders that crashed an endpoint, with four slots instead of sixteen.
fn late_polls_after_wrong_assumption(restarts: bool) -> usize {
    let mut scenario = Scenario::with_held(1..3);
    while !scenario.run.slots.holds(&copy(0)) {
        scenario.send_next(&copy(0));
    }
    // A newer version is requested, and the unload of the older one waits for running requests.
    let newer = Copy {
        version: 2,
        ..copy(0)
    };
    scenario.endpoint.in_use = vec![copy(0)];
    scenario.now = scenario.now + Duration::from_secs(1);
    let unload = Some((Op::Unload, Answer::Accepted));
    assert_eq!(scenario.send_next(&newer), unload);
    // The load gets no answer, and its retry is refused while the unload waits.
    let load = scenario.send_late(&newer).expect("a load is due");
    assert_eq!(
        scenario.send_next(&newer),
        Some((Op::Load, Answer::Conflict))
    );
    // If the placer continues regardless, its orders are delayed until enough were refused.
    let mut late = vec![load];
    if scenario.run.slots.is_known() {
        late.extend((0..4).filter_map(|_| scenario.send_late(&newer)));
        for _ in 0..8 {
            if scenario.run.slots.is_known() {
                scenario.send_next(&newer);
            }
        }
    }
    scenario.endpoint.in_use.clear();
    for _ in 0..2 {
        scenario.now = scenario.now + Duration::from_secs(1);
        scenario.endpoint.step(scenario.now);
    }
    if restarts {
        scenario.run = PlacerRun::new(1, scenario.now);
    }
    // One load is accepted, the next one gets no answer, and then the delayed orders are carried
    // out.
    assert_eq!(
        scenario.send_next(&copy(6)),
        Some((Op::Load, Answer::Accepted))
    );
    scenario.send_late(&copy(7));
    for order in &late {
        scenario.endpoint.execute(order, 1, scenario.now);
    }
    for _ in 0..8 {
        scenario.send_next(&copy(7));
    }
    scenario.endpoint.max_adapters
}

#[googletest::test]
fn late_polls_after_wrong_assumption_fit() {
    expect_that!(late_polls_after_wrong_assumption(false), le(CAPACITY));
}

#[googletest::test]
fn late_polls_after_restart_fit() {
    expect_that!(late_polls_after_wrong_assumption(true), le(CAPACITY));
}

/// An adapter listed in a report may have been unloading and be gone by now, so that another unload
/// succeeds without raising the number of accepted orders. Found by the generated histories; not
/// seen in any recorded trace.
#[googletest::test]
fn uncounted_unload_fits() {
    let mut scenario = Scenario::with_held(0..4);
    scenario.endpoint.held.retain(|held| *held != copy(0));
    assert_eq!(
        scenario.send_next(&copy(5)),
        Some((Op::Unload, Answer::Done))
    );
    let late = scenario.send_late(&copy(5)).expect("a load is due");
    let other = Order::load(&copy(6), 0);
    assert_eq!(
        scenario.endpoint.execute(&other, 1, scenario.now),
        Answer::Accepted
    );
    scenario.endpoint.execute(&late, 1, scenario.now);
    expect_that!(scenario.endpoint.max_adapters, le(CAPACITY));
}
