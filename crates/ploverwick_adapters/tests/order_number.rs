//! An order that got no answer may be carried out seconds later, at the number of accepted orders that
//! it names. Whatever its sender took for granted when it named that number, the endpoint has a
//! place for it.
//!
//! What was seen: an endpoint with sixteen places was ordered to load a seventeenth adapter and
//! crashed, on days on which most orders got no answer and were carried out seconds later.
//! How it came about: an unload waited for the runs on its adapter, and meanwhile the endpoint refused
//! every other order. A load at number 30 got no answer, its repeat was refused, and the shelf went on
//! to 31 with a look, which was late. The report said 30 with fourteen held. After a restart a load was
//! accepted at 30, and the next one, at 31, got no answer. The look of the earlier life was carried
//! out at 31: it loaded what it looked for, the sixteenth. The repeat at 31 was refused, and the look
//! at 32 loaded the seventeenth.
//! What caused it: the refusal of a repeat was taken for proof that the first one had been accepted,
//! and what had been taken for granted was looked at, though a look loads what is not there and no
//! place was kept for that. The restart took no part: `wrong_guess_fits` breaks without one.
//! What proved it: the trace of all orders at that endpoint, played by `restart_fits`.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_adapters::{Answer, Copy, Key, Op, Order, Report, Shelf, Step};
use ploverwick_names::Moment;
use proptest::prelude::*;

const CAPACITY: usize = 4;
const MODEL: &str = "base";
/// How old an endpoint's report is.
const REPORT_LAG: Duration = Duration::from_millis(200);
/// How long a load takes.
const LOAD: Duration = Duration::from_millis(250);

fn copy(number: u8) -> Copy {
    Copy {
        key: Key {
            model: Arc::from(MODEL),
            adapter: Arc::from(format!("a{number}")),
        },
        version: 1,
    }
}

fn ordered(order: &Order) -> Option<Copy> {
    let (adapter, version) = order.adapter.clone()?;
    Some(Copy::of(&order.model, adapter, version))
}

/// An endpoint as the platform's page describes it. While an unload waits for its runs it takes no
/// other order.
#[derive(Debug, Default)]
struct Endpoint {
    orders: u64,
    token: u64,
    held: Vec<Copy>,
    coming: Vec<(Copy, Moment)>,
    leaving: Option<Copy>,
    in_use: Vec<Copy>,
    late: Vec<(Order, u64, Moment)>,
    reports: Vec<(Moment, Report)>,
    most: usize,
}

impl Endpoint {
    fn step(&mut self, now: Moment) {
        let arrived = self.coming.extract_if(.., |(_, at)| *at <= now);
        let arrived: Vec<Copy> = arrived.map(|(copy, _)| copy).collect();
        self.held.extend(arrived);
        if let Some(copy) = self.leaving.take_if(|copy| !self.in_use.contains(copy)) {
            self.held.retain(|other| *other != copy);
        }
        let late: Vec<_> = self.late.extract_if(.., |(.., at)| *at <= now).collect();
        for (order, token, _) in late {
            self.obey(&order, token, now);
        }
        self.reports.push((now, self.snapshot()));
    }

    /// Takes in that requests begin to use an adapter, or end.
    fn used(&mut self, uses: Option<(u8, bool)>) {
        if let Some((number, begins)) = uses {
            self.in_use.retain(|other| *other != copy(number));
            if begins {
                self.in_use.push(copy(number));
            }
        }
    }

    fn obey(&mut self, order: &Order, token: u64, now: Moment) -> Answer {
        if token < self.token {
            return Answer::Fenced;
        }
        self.token = token;
        if order.after != Some(self.orders) {
            return Answer::Conflict;
        }
        let Some(copy) = ordered(order) else {
            return Answer::Done;
        };
        let is_held = self.held.contains(&copy);
        let is_coming = self.coming.iter().any(|(other, _)| *other == copy);
        match order.op {
            Op::Load if is_held => Answer::Done,
            Op::Load if is_coming => Answer::Accepted,
            Op::Unload if self.leaving.as_ref() == Some(&copy) => Answer::Accepted,
            Op::Unload if !is_held => Answer::Done,
            _ if self.leaving.is_some() => Answer::Conflict,
            Op::Load => self.load(copy, now),
            Op::Unload => self.unload(copy),
        }
    }

    fn load(&mut self, copy: Copy, now: Moment) -> Answer {
        self.orders += 1;
        self.coming.push((copy, now + LOAD));
        self.most = self.most.max(self.held.len() + self.coming.len());
        Answer::Accepted
    }

    fn unload(&mut self, copy: Copy) -> Answer {
        self.orders += 1;
        if self.in_use.contains(&copy) {
            self.leaving = Some(copy);
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
            coming: self.coming.iter().map(|(copy, _)| copy.clone()).collect(),
        }
    }
}

/// What becomes of one message.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Arrives,
    AnswerLost,
    Lost,
    Late(u64),
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        5 => Just(Fate::Arrives),
        1 => Just(Fate::AnswerLost),
        1 => Just(Fate::Lost),
        5 => (100_u64..3_000).prop_map(Fate::Late),
    ]
}

fn send(endpoint: &mut Endpoint, order: &Order, token: u64, fate: Fate, now: Moment) -> Answer {
    match fate {
        Fate::Arrives => endpoint.obey(order, token, now),
        Fate::AnswerLost => {
            endpoint.obey(order, token, now);
            Answer::Unknown
        }
        Fate::Lost => Answer::Unknown,
        Fate::Late(ms) => {
            let at = now + Duration::from_millis(ms);
            endpoint.late.push((order.clone(), token, at));
            Answer::Unknown
        }
    }
}

/// One life of a placer, as far as this endpoint concerns it.
#[derive(Debug)]
struct Life {
    shelf: Shelf,
    token: u64,
}

impl Life {
    fn new(token: u64, now: Moment) -> Self {
        Self {
            shelf: Shelf::new(CAPACITY, now),
            token,
        }
    }

    /// Does the next step; returns whether the endpoint has seen a higher token.
    fn act(&mut self, endpoint: &mut Endpoint, fate: Fate, now: Moment) -> bool {
        match self.shelf.next(now, true) {
            Step::Send(order) => {
                let answer = send(endpoint, &order, self.token, fate, now);
                self.shelf.answered(&order, answer, now);
                answer == Answer::Fenced
            }
            Step::Report => {
                self.shelf.report(&endpoint.report(now), now);
                false
            }
            Step::Wait(_) | Step::Idle => false,
        }
    }
}

/// What happens to the placer before a step.
#[derive(Debug, Clone, Copy)]
enum Turn {
    GoesOn,
    /// It starts again and has its token still.
    Restarts,
    /// Another one takes over with a higher token; the one before goes on until it is refused.
    HandsOver,
}

fn turn() -> impl Strategy<Value = Turn> {
    prop_oneof![
        60 => Just(Turn::GoesOn),
        1 => Just(Turn::Restarts),
        1 => Just(Turn::HandsOver),
    ]
}

#[derive(Debug, Clone)]
struct Tick {
    pause: u64,
    wish: u8,
    fate: Fate,
    turn: Turn,
    /// Whether requests begin to use an adapter, or end.
    uses: Option<(u8, bool)>,
}

fn tick() -> impl Strategy<Value = Tick> {
    let uses = prop::option::weighted(0.1, (0_u8..9, any::<bool>()));
    let all = (5_u64..120, 0_u8..9, fate(), turn(), uses);
    all.prop_map(|(pause, wish, fate, turn, uses)| Tick {
        pause,
        wish,
        fate,
        turn,
        uses,
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn one_life_fits(ticks in prop::collection::vec(tick(), 200..400)) {
        let most = most(&ticks, |_| Turn::GoesOn);
        prop_assert!(most <= CAPACITY, "{} adapters", most);
    }

    #[test]
    fn late_orders_fit(ticks in prop::collection::vec(tick(), 200..400)) {
        let most = most(&ticks, |tick| tick.turn);
        prop_assert!(most <= CAPACITY, "{} adapters", most);
    }
}

/// Plays some steps and returns the most adapters that the endpoint ever had.
fn most(ticks: &[Tick], turn: impl Fn(&Tick) -> Turn) -> usize {
    let mut endpoint = Endpoint::default();
    let mut now = Moment(0);
    let mut life = Life::new(1, now);
    let mut before: Option<Life> = None;
    for tick in ticks {
        now = now + Duration::from_millis(tick.pause);
        endpoint.used(tick.uses);
        endpoint.step(now);
        match turn(tick) {
            Turn::GoesOn => {}
            Turn::Restarts => life = Life::new(life.token, now),
            Turn::HandsOver => {
                let next = Life::new(life.token + 1, now);
                before = Some(std::mem::replace(&mut life, next));
            }
        }
        life.shelf.wish(copy(tick.wish), now);
        life.act(&mut endpoint, tick.fate, now);
        if let Some(old) = &mut before {
            old.shelf.wish(copy(8 - tick.wish), now);
            if old.act(&mut endpoint, tick.fate, now) {
                before = None;
            }
        }
    }
    endpoint.most
}

/// A life and its endpoint, step by step.
#[derive(Debug)]
struct Play {
    life: Life,
    endpoint: Endpoint,
    now: Moment,
}

impl Play {
    /// Starts with adapters that the endpoint holds and that nobody has asked for lately.
    fn holding(held: impl IntoIterator<Item = u8>) -> Self {
        let mut endpoint = Endpoint {
            held: held.into_iter().map(copy).collect(),
            ..Endpoint::default()
        };
        let now = Moment(1_000);
        endpoint.step(now);
        let mut life = Life::new(1, now);
        life.shelf.report(&endpoint.report(now), now);
        Self {
            life,
            endpoint,
            now: now + Duration::from_secs(1),
        }
    }

    /// Goes on until an order is due while an adapter is wanted; `None` if none is for two seconds.
    fn order(&mut self, wanted: &Copy) -> Option<Order> {
        for _ in 0..400 {
            self.now = self.now + Duration::from_millis(5);
            self.endpoint.step(self.now);
            self.life.shelf.wish(wanted.clone(), self.now);
            match self.life.shelf.next(self.now, true) {
                Step::Send(order) => return Some(order),
                Step::Report => {
                    let report = self.endpoint.report(self.now);
                    self.life.shelf.report(&report, self.now);
                }
                Step::Wait(_) | Step::Idle => {}
            }
        }
        None
    }

    /// The next order arrives and is answered.
    fn arrives(&mut self, wanted: &Copy) -> Option<(Op, Answer)> {
        let order = self.order(wanted)?;
        let answer = self.endpoint.obey(&order, self.life.token, self.now);
        self.life.shelf.answered(&order, answer, self.now);
        Some((order.op, answer))
    }

    /// The next order is on its way for long.
    fn is_late(&mut self, wanted: &Copy) -> Option<Order> {
        let order = self.order(wanted)?;
        self.life.shelf.answered(&order, Answer::Unknown, self.now);
        Some(order)
    }
}

/// The trace that broke an endpoint, with four places for its sixteen.
fn wrong_guess(restarts: bool) -> usize {
    let mut play = Play::holding(1..3);
    while !play.life.shelf.holds(&copy(0)) {
        play.arrives(&copy(0));
    }
    // A newer version is wanted, and the unload of the older one waits for its runs.
    let newer = Copy {
        version: 2,
        ..copy(0)
    };
    play.endpoint.in_use = vec![copy(0)];
    play.now = play.now + Duration::from_secs(1);
    let unload = Some((Op::Unload, Answer::Accepted));
    assert_eq!(play.arrives(&newer), unload);
    // The load gets no answer, and its repeat is refused while the unload waits.
    let load = play.is_late(&newer).expect("a load is due");
    assert_eq!(play.arrives(&newer), Some((Op::Load, Answer::Conflict)));
    // If the shelf goes on all the same, what it sends is late, until enough was refused.
    let mut late = vec![load];
    if play.life.shelf.is_known() {
        late.extend((0..4).filter_map(|_| play.is_late(&newer)));
        for _ in 0..8 {
            if play.life.shelf.is_known() {
                play.arrives(&newer);
            }
        }
    }
    play.endpoint.in_use.clear();
    for _ in 0..2 {
        play.now = play.now + Duration::from_secs(1);
        play.endpoint.step(play.now);
    }
    if restarts {
        play.life = Life::new(1, play.now);
    }
    // One load is accepted, the next one gets no answer, and then the late ones are carried out.
    assert_eq!(play.arrives(&copy(6)), Some((Op::Load, Answer::Accepted)));
    play.is_late(&copy(7));
    for order in &late {
        play.endpoint.obey(order, 1, play.now);
    }
    for _ in 0..8 {
        play.arrives(&copy(7));
    }
    play.endpoint.most
}

#[googletest::test]
fn wrong_guess_fits() {
    expect_that!(wrong_guess(false), le(CAPACITY));
}

#[googletest::test]
fn restart_fits() {
    expect_that!(wrong_guess(true), le(CAPACITY));
}

/// An adapter that a report lists may have been leaving, and be gone: the unload that is then ordered
/// is obeyed without being counted. Found by the generated lives; no trace has shown it.
#[googletest::test]
fn uncounted_unload_fits() {
    let mut play = Play::holding(0..4);
    play.endpoint.held.retain(|held| *held != copy(0));
    assert_eq!(play.arrives(&copy(5)), Some((Op::Unload, Answer::Done)));
    let late = play.is_late(&copy(5)).expect("a load is due");
    let other = Order::load(&copy(6), 0);
    assert_eq!(play.endpoint.obey(&other, 1, play.now), Answer::Accepted);
    play.endpoint.obey(&late, 1, play.now);
    expect_that!(play.endpoint.most, le(CAPACITY));
}
