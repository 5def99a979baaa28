//! The places for adapters at one endpoint, and the next order to it.
//!
//! The shelf never lets more adapters be held or on their way than there are places, whatever
//! becomes of an order that got no answer: each order names the number of accepted orders at
//! which it holds, so that of all those unanswered at one number at most one can still strike, and
//! none once a later order was accepted. Until then a place is kept free for it.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;

use crate::{Answer, Copy, Op, Order, Report};

/// The adapters that may be on their way to an endpoint at once, as the platform allows.
const MOST_COMING: usize = 4;
/// How long an endpoint's report may lag behind, with some room.
const REPORT_LAG: Duration = Duration::from_millis(260);
/// How soon after an order the first look is worth it whether the load is complete: an adapter that
/// the endpoint has at hand takes about 25 ms.
const FIRST_LOOK: Duration = Duration::from_millis(24);
/// How soon after the order the looks go on: one from the weight store takes about 250 ms.
const SECOND_LOOK: Duration = Duration::from_millis(236);
/// The pause between looks; a look costs little more than the message.
const LOOK: Duration = Duration::from_millis(18);
/// The pause between looks at the load of a base model, which takes hundreds of milliseconds.
const BASE_LOOK: Duration = Duration::from_millis(80);
/// Refused unloads after which the number of accepted orders is doubted: it is the other reason.
const MOST_REFUSED_UNLOADS: u32 = 3;
/// An adapter used within this time is not unloaded: a request for it may be on its way.
const FRESH: Duration = Duration::from_millis(250);
/// Orders and reports in a row without an answer after which an endpoint counts as silent. Where some
/// answers are lost a few in a row are chance; an endpoint that crashed answers none.
const SILENT: u32 = 4;
/// How long a wish for an adapter counts; whoever still wants it asks again.
const WISH_AGE: Duration = Duration::from_millis(1_500);

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Send this order and pass its answer to [`Shelf::answered`].
    Send(Order),
    /// Ask the endpoint for its report and pass it to [`Shelf::report`].
    Report,
    /// Nothing before this moment.
    Wait(Moment),
    /// Nothing until something changes.
    Idle,
}

/// What changed at the endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// This adapter is on its way to it.
    Coming(Copy),
    /// It holds this adapter from now on.
    Loaded(Copy),
    /// It does not hold this adapter any more.
    Unloaded(Copy),
    /// What it holds was learned anew.
    Learned(Vec<Copy>),
    /// It holds a base model from now on.
    BaseLoaded(Arc<str>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Held,
    Coming { look_at: Moment, ordered: Moment },
    Leaving { look_at: Moment },
}

#[derive(Debug, Clone, Copy)]
struct Place {
    state: State,
    used: Moment,
    in_use: u32,
}

#[derive(Debug, Clone)]
struct Wish {
    copy: Copy,
    at: Moment,
    /// How often it was asked for: the more requests wait for it, the more often.
    asks: u32,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Base {
    Held,
    Coming { look_at: Moment },
    Missing,
}

/// The places for adapters at one endpoint.
#[derive(Debug)]
pub struct Shelf {
    capacity: usize,
    /// The number of accepted orders; `None` until a report tells.
    orders: Option<u64>,
    report_at: Moment,
    models: HashMap<Arc<str>, Base>,
    places: HashMap<Copy, Place>,
    wishes: VecDeque<Wish>,
    /// An order without an answer, or of an earlier placer, may still strike.
    may_strike: bool,
    last_order: Option<Moment>,
    /// An order without an answer. It is sent again as it was: as it names the number of accepted
    /// orders, only one of the two can be carried out.
    unanswered: Option<Order>,
    /// An order was taken for accepted because its repeat was refused. Until a report tells, an
    /// earlier one may have been accepted instead, so that an adapter may be there unknown.
    may_hold_more: bool,
    /// Unloads that were refused since an order was last obeyed.
    refused_unloads: u32,
    /// Orders and reports without an answer since the last one that had one.
    unheard: u32,
    /// When an order or a report had no answer last.
    unheard_at: Option<Moment>,
}

impl Shelf {
    /// Makes a shelf of which nothing is known yet.
    pub fn new(capacity: usize, now: Moment) -> Self {
        Self {
            capacity,
            orders: None,
            report_at: now,
            models: HashMap::new(),
            places: HashMap::new(),
            wishes: VecDeque::new(),
            may_strike: true,
            last_order: None,
            unanswered: None,
            may_hold_more: false,
            refused_unloads: 0,
            unheard: 0,
            unheard_at: None,
        }
    }

    /// Returns whether a report has told what the endpoint holds.
    pub fn is_known(&self) -> bool {
        self.orders.is_some()
    }

    /// Returns whether the endpoint answered nothing lately: what is on its way there may never
    /// arrive, and nothing should be placed there while others answer.
    pub fn is_silent(&self) -> bool {
        self.unheard >= SILENT
    }

    /// Returns whether the endpoint holds an adapter.
    pub fn holds(&self, copy: &Copy) -> bool {
        self.places
            .get(copy)
            .is_some_and(|place| place.state == State::Held)
    }

    /// Returns whether an adapter is on its way, or wished for.
    pub fn expects(&self, copy: &Copy) -> bool {
        let is_coming = self
            .places
            .get(copy)
            .is_some_and(|place| matches!(place.state, State::Coming { .. }));
        is_coming || self.wishes.iter().any(|wish| wish.copy == *copy)
    }

    /// Returns whether the endpoint has any version of an adapter.
    pub fn has_any(&self, key: &crate::Key) -> bool {
        self.places.keys().any(|copy| copy.key == *key)
    }

    /// Returns whether the endpoint holds a base model.
    pub fn has_base(&self, model: &str) -> bool {
        self.models.get(model) == Some(&Base::Held)
    }

    /// Returns whether the endpoint holds no base model and none is on its way.
    pub fn is_empty(&self) -> bool {
        self.is_known() && self.models.values().all(|base| *base == Base::Missing)
    }

    /// Returns whether an order loads a base model that is not on its way yet.
    pub fn begins_base(&self, order: &Order) -> bool {
        let is_coming = matches!(self.models.get(&order.model), Some(Base::Coming { .. }));
        order.adapter.is_none() && order.op == Op::Load && !is_coming
    }

    /// Returns when the load that an order looks at was ordered; `None` if answers were lost since, as
    /// it may then have been complete for longer than it seems.
    pub fn load_began(&self, order: &Order) -> Option<Moment> {
        let (adapter, version) = order.adapter.clone()?;
        match self
            .places
            .get(&Copy::of(&order.model, adapter, version))?
            .state
        {
            State::Coming { ordered, .. } => {
                let is_clean = self.unheard_at.is_none_or(|at| at < ordered);
                is_clean.then_some(ordered)
            }
            State::Held | State::Leaving { .. } => None,
        }
    }

    /// Counts the adapters on their way.
    pub fn coming(&self) -> usize {
        self.places
            .values()
            .filter(|place| matches!(place.state, State::Coming { .. }))
            .count()
    }

    /// Returns whether a wish could be met soon: a place is free or held by an unused adapter.
    pub fn has_room(&self, now: Moment) -> bool {
        self.is_known() && (self.taken() < self.capacity || self.victim(now).is_some())
    }

    /// Counts the wishes and the adapters on their way.
    pub fn backlog(&self) -> usize {
        self.wishes.len() + self.coming()
    }

    /// Lists the adapters that the endpoint holds.
    pub fn held(&self) -> Vec<Copy> {
        let held = self.places.iter().filter(|(_, p)| p.state == State::Held);
        held.map(|(copy, _)| copy.clone()).collect()
    }

    /// Wishes for an adapter; those wished for most often come first.
    pub fn wish(&mut self, copy: Copy, now: Moment) {
        if let Some(place) = self.places.get_mut(&copy) {
            place.used = now;
            return;
        }
        match self.wishes.iter_mut().find(|wish| wish.copy == copy) {
            Some(wish) => {
                wish.at = now;
                wish.asks += 1;
            }
            None => self.wishes.push_back(Wish {
                copy,
                at: now,
                asks: 1,
            }),
        }
    }

    /// Wishes for a base model.
    pub fn wish_base(&mut self, model: Arc<str>) {
        self.models.entry(model).or_insert(Base::Missing);
    }

    /// Takes in which adapters requests use, as one instance reports it.
    pub fn used(&mut self, copy: &Copy, in_use: u32, now: Moment) {
        if let Some(place) = self.places.get_mut(copy) {
            place.used = now;
            place.in_use = in_use;
        }
    }

    /// Decides what to do next; `may_load` says whether another load may begin.
    pub fn next(&mut self, now: Moment, may_load: bool) -> Step {
        let Some(orders) = self.orders else {
            if now < self.report_at {
                return Step::Wait(self.report_at);
            }
            return Step::Report;
        };
        if let Some(order) = &self.unanswered {
            return Step::Send(order.clone());
        }
        if let Some(step) = self.next_base(orders, now) {
            return step;
        }
        if self.should_verify(now) {
            return Step::Report;
        }
        if let Some(order) = self.next_look(orders, now) {
            return Step::Send(order);
        }
        if may_load && let Some(order) = self.next_load(orders, now) {
            return Step::Send(order);
        }
        match self.next_look_at() {
            Some(at) => Step::Wait(at),
            None if self.wishes.is_empty() => Step::Idle,
            None => Step::Wait(now + LOOK),
        }
    }

    /// Takes in how the endpoint answered an order.
    pub fn answered(&mut self, order: &Order, answer: Answer, now: Moment) -> Option<Event> {
        let is_repeat = self.unanswered.take().is_some();
        self.last_order = Some(now);
        self.hear(!matches!(answer, Answer::Unknown | Answer::Gone), now);
        match answer {
            Answer::Accepted => self.accepted(order, now),
            Answer::Done => self.done(order, now),
            // A refused unload may also mean that the adapter is in use: nothing can be assumed.
            Answer::Conflict if is_repeat && order.op == Op::Unload => {
                self.learn_again(now + REPORT_LAG);
                None
            }
            Answer::Conflict if is_repeat && order.adapter.is_some() && !self.may_hold_more => {
                self.assume(order, now)
            }
            Answer::Conflict => {
                self.conflict(order, now);
                None
            }
            Answer::Invalid => {
                self.invalid(order);
                None
            }
            Answer::Unknown => {
                self.unknown(order, now);
                None
            }
            Answer::Fenced | Answer::Gone => {
                self.learn_again(now + REPORT_LAG);
                None
            }
        }
    }

    /// Takes in the endpoint's own report.
    pub fn report(&mut self, report: &Report, now: Moment) -> Event {
        self.hear(true, now);
        self.orders = Some(report.orders);
        self.may_hold_more = false;
        for base in self.models.values_mut() {
            *base = Base::Missing;
        }
        for model in &report.models {
            self.models.insert(Arc::clone(model), Base::Held);
        }
        let before = std::mem::take(&mut self.places);
        let place = |copy: &Copy, state| {
            let known = before.get(copy);
            let place = Place {
                state,
                used: known.map_or(now, |place| place.used),
                in_use: known.map_or(0, |place| place.in_use),
            };
            (copy.clone(), place)
        };
        let coming = State::Coming {
            look_at: now,
            ordered: now,
        };
        let held = report.held.iter().map(|copy| place(copy, State::Held));
        let all = held.chain(report.coming.iter().map(|copy| place(copy, coming)));
        self.places = all.collect();
        Event::Learned(self.held())
    }

    /// Takes in that no report came.
    pub fn no_report(&mut self, now: Moment) {
        self.hear(false, now);
        self.learn_again(now + REPORT_LAG);
    }

    /// Forgets what is known; an order of somebody else may have changed it.
    pub fn doubt(&mut self, now: Moment) {
        self.learn_again(now);
        self.may_strike = true;
    }

    fn next_base(&self, orders: u64, now: Moment) -> Option<Step> {
        let is_coming = |base: &Base| matches!(base, Base::Coming { .. });
        if let Some((model, Base::Coming { look_at })) =
            self.models.iter().find(|(_, base)| is_coming(base))
        {
            // The endpoint takes no other order meanwhile.
            return Some(if *look_at <= now {
                Step::Send(Order::load_base(model, orders))
            } else {
                Step::Wait(*look_at)
            });
        }
        if self.models.values().any(|base| *base == Base::Held) {
            return None;
        }
        match self.models.keys().next() {
            Some(model) => Some(Step::Send(Order::load_base(model, orders))),
            None => Some(Step::Idle),
        }
    }

    fn next_look(&self, orders: u64, now: Moment) -> Option<Order> {
        self.places
            .iter()
            .find_map(|(copy, place)| match place.state {
                State::Coming { look_at, .. } if look_at <= now => Some(Order::load(copy, orders)),
                State::Leaving { look_at } if look_at <= now => Some(Order::unload(copy, orders)),
                _ => None,
            })
    }

    fn next_look_at(&self) -> Option<Moment> {
        let looks = self.places.values().filter_map(|place| match place.state {
            State::Coming { look_at, .. } | State::Leaving { look_at } => Some(look_at),
            State::Held => None,
        });
        looks.min()
    }

    fn next_load(&mut self, orders: u64, now: Moment) -> Option<Order> {
        let places = &self.places;
        self.wishes
            .retain(|wish| now.since(wish.at) < WISH_AGE && !places.contains_key(&wish.copy));
        // Of equal ones the oldest comes first.
        let wish = self.wishes.iter().rev().max_by_key(|wish| wish.asks)?;
        let wish = wish.copy.clone();
        if self.coming() >= MOST_COMING || !self.has_base(&wish.key.model) {
            return None;
        }
        // An older version goes first, so that the two never need a place each.
        let older = self.places.iter().find(|(copy, place)| {
            copy.key == wish.key && copy.version < wish.version && place.state == State::Held
        });
        if let Some((older, _)) = older {
            return Some(Order::unload(older, orders));
        }
        if self.taken() < self.capacity {
            return Some(Order::load(&wish, orders));
        }
        self.victim(now)
            .map(|victim| Order::unload(&victim, orders))
    }

    /// Counts the places that are taken or may be.
    fn taken(&self) -> usize {
        self.places.len() + usize::from(self.may_strike) + usize::from(self.may_hold_more)
    }

    /// Returns whether a report would tell what an assumption left open: reports lag behind, so
    /// that nothing may have changed for a while.
    fn should_verify(&self, now: Moment) -> bool {
        let is_quiet = self.last_order.is_none_or(|at| now.since(at) >= REPORT_LAG);
        self.may_hold_more && is_quiet && self.coming() == 0
    }

    fn victim(&self, now: Moment) -> Option<Copy> {
        let unused = self.places.iter().filter(|(_, place)| {
            place.state == State::Held && place.in_use == 0 && now.since(place.used) >= FRESH
        });
        let oldest = unused.min_by_key(|(copy, place)| (place.used, (*copy).clone()));
        oldest.map(|(copy, _)| copy.clone())
    }

    fn accepted(&mut self, order: &Order, now: Moment) -> Option<Event> {
        let Some((adapter, version)) = order.adapter.clone() else {
            let is_look = matches!(self.models.get(&order.model), Some(Base::Coming { .. }));
            if !is_look {
                self.advance();
            }
            let look_at = now + BASE_LOOK;
            self.models
                .insert(Arc::clone(&order.model), Base::Coming { look_at });
            return None;
        };
        let copy = Copy::of(&order.model, adapter, version);
        match (order.op, self.places.get_mut(&copy)) {
            (Op::Load, Some(place)) => {
                if let State::Coming { look_at, ordered } = &mut place.state {
                    *look_at = (now + LOOK).max(*ordered + SECOND_LOOK);
                }
                None
            }
            (Op::Load, None) => {
                self.advance();
                self.wishes.retain(|wish| wish.copy != copy);
                let place = Place {
                    state: State::Coming {
                        look_at: now + FIRST_LOOK,
                        ordered: now,
                    },
                    used: now,
                    in_use: 0,
                };
                self.places.insert(copy.clone(), place);
                Some(Event::Coming(copy))
            }
            (Op::Unload, Some(place)) => {
                let was_held = place.state == State::Held;
                place.state = State::Leaving {
                    look_at: now + LOOK,
                };
                if was_held {
                    self.advance();
                }
                was_held.then_some(Event::Unloaded(copy))
            }
            (Op::Unload, None) => None,
        }
    }

    fn done(&mut self, order: &Order, now: Moment) -> Option<Event> {
        let Some((adapter, version)) = order.adapter.clone() else {
            self.models.insert(Arc::clone(&order.model), Base::Held);
            return Some(Event::BaseLoaded(Arc::clone(&order.model)));
        };
        let copy = Copy::of(&order.model, adapter, version);
        match order.op {
            Op::Load => {
                self.wishes.retain(|wish| wish.copy != copy);
                let place = Place {
                    state: State::Held,
                    used: now,
                    in_use: 0,
                };
                self.places.insert(copy.clone(), place);
                Some(Event::Loaded(copy))
            }
            Op::Unload => {
                let place = self.places.remove(&copy)?;
                let was_held = place.state == State::Held;
                if was_held {
                    // A waiting unload advanced the count when it was accepted.
                    self.advance();
                }
                was_held.then_some(Event::Unloaded(copy))
            }
        }
    }

    /// The repeat of an unanswered order was refused: the number of accepted orders is another, so
    /// the first one was accepted. The next order tells whether that is so.
    fn assume(&mut self, order: &Order, now: Moment) -> Option<Event> {
        self.may_hold_more = true;
        self.accepted(order, now)
    }

    /// An order got no answer. A look is made again; anything else is repeated as it was.
    fn unknown(&mut self, order: &Order, now: Moment) {
        let look_at = now + LOOK;
        let Some((adapter, version)) = order.adapter.clone() else {
            self.may_strike = true;
            self.learn_again(now + REPORT_LAG);
            return;
        };
        let copy = Copy::of(&order.model, adapter, version);
        match (
            order.op,
            self.places.get_mut(&copy).map(|place| &mut place.state),
        ) {
            (Op::Load, Some(State::Coming { look_at: at, .. }))
            | (Op::Unload, Some(State::Leaving { look_at: at })) => *at = look_at,
            _ => {
                self.may_strike = true;
                self.unanswered = Some(order.clone());
            }
        }
    }

    fn conflict(&mut self, order: &Order, now: Moment) {
        if order.adapter.is_none()
            && let Some(Base::Coming { look_at }) = self.models.get_mut(&order.model)
        {
            *look_at = now + BASE_LOOK;
            return;
        }
        // An adapter that requests use is not unloaded; the next victim is another one.
        if order.op == Op::Unload
            && self.refused_unloads < MOST_REFUSED_UNLOADS
            && let Some(place) = self.victim_of(order)
        {
            place.used = now;
            self.refused_unloads += 1;
            return;
        }
        self.refused_unloads = 0;
        // Whatever changed the number may have happened just now.
        self.learn_again(now + REPORT_LAG);
    }

    fn victim_of(&mut self, order: &Order) -> Option<&mut Place> {
        let (adapter, version) = order.adapter.clone()?;
        let copy = Copy::of(&order.model, adapter, version);
        self.places.get_mut(&copy)
    }

    fn invalid(&mut self, order: &Order) {
        let Some((adapter, version)) = order.adapter.clone() else {
            self.models.remove(&order.model);
            return;
        };
        let copy = Copy::of(&order.model, adapter, version);
        self.wishes.retain(|wish| wish.copy != copy);
        self.places.remove(&copy);
    }

    /// An order was accepted: the count rises, and what waited for the old count is void.
    fn advance(&mut self) {
        self.refused_unloads = 0;
        self.orders = self.orders.map(|orders| orders + 1);
        self.may_strike = false;
    }

    /// Counts answers that did not come. Whoever waits for an adapter that was wished for here asks
    /// again, and is served elsewhere.
    fn hear(&mut self, is_answer: bool, now: Moment) {
        if !is_answer {
            self.unheard_at = Some(now);
        }
        self.unheard = if is_answer { 0 } else { self.unheard + 1 };
        if self.is_silent() {
            self.wishes.clear();
        }
    }

    fn learn_again(&mut self, at: Moment) {
        self.unanswered = None;
        self.orders = None;
        self.report_at = at;
    }
}
