//! What an endpoint's answers and reports, and their absence, say of its places.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;

use super::{Base, Event, LOOK, Place, REPORT_LAG, Shelf, State};
use crate::{Answer, Copy, Op, Order, Report};

/// How soon after an order the first look is worth it whether the load is complete: an adapter that
/// the endpoint has at hand takes about 25 ms.
const FIRST_LOOK: Duration = Duration::from_millis(24);
/// How soon after the order the looks go on: one from the weight store takes about 250 ms.
const SECOND_LOOK: Duration = Duration::from_millis(236);
/// The pause between looks at the load of a base model, which takes hundreds of milliseconds.
const BASE_LOOK: Duration = Duration::from_millis(80);
/// Refused unloads after which the number of accepted orders is doubted: it is the other reason.
const MOST_REFUSED_UNLOADS: u32 = 3;

impl Shelf {
    /// Takes in how the endpoint answered an order.
    pub fn answered(&mut self, order: &Order, answer: Answer, now: Moment) -> Option<Event> {
        let is_repeat = self.unanswered.take().is_some();
        self.last_order = Some(now);
        self.hear(!matches!(answer, Answer::Unknown | Answer::Gone), now);
        if self.is_doubted(order) {
            return self.asked(order, answer, now);
        }
        match answer {
            Answer::Accepted => {
                self.none_leaves |= self.is_first_load(order);
                self.accepted(order, now)
            }
            Answer::Done => self.done(order, now),
            // A refused unload may also mean that the adapter is in use: nothing can be assumed.
            Answer::Conflict if is_repeat && order.op == Op::Unload => {
                self.learn_again(now + REPORT_LAG);
                None
            }
            Answer::Conflict if is_repeat && order.adapter.is_some() && self.may_assume() => {
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
        self.assumed = None;
        self.none_leaves = false;
        for base in self.models.values_mut() {
            *base = Base::Missing;
        }
        for model in &report.models {
            self.models.insert(Arc::clone(model), Base::Held);
        }
        let mut before = std::mem::take(&mut self.places);
        let mut place = |copy: &Copy, state| {
            let known = before.remove(copy);
            let place =
                known.map_or_else(|| Place::new(state, now), |place| Place { state, ..place });
            let may_leave = true;
            (copy.clone(), Place { may_leave, ..place })
        };
        let coming = State::Coming {
            look_at: now,
            ordered: now,
        };
        for copy in &report.held {
            let (copy, place) = place(copy, State::Held);
            self.places.insert(copy, place);
        }
        for copy in &report.coming {
            let (copy, place) = place(copy, coming);
            self.places.insert(copy, place);
        }
        Event::Learned(self.held())
    }

    /// Takes in that no report came.
    pub fn no_report(&mut self, now: Moment) {
        self.hear(false, now);
        self.learn_again(now + REPORT_LAG);
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
                let coming = State::Coming {
                    look_at: now + FIRST_LOOK,
                    ordered: now,
                };
                self.places.insert(copy.clone(), Place::new(coming, now));
                Some(Event::Coming(copy))
            }
            (Op::Unload, Some(place)) => {
                let was_held = place.state == State::Held;
                let may_leave = place.may_leave;
                place.state = State::Leaving {
                    look_at: now + LOOK,
                };
                if was_held {
                    self.unloaded(may_leave, now);
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
                self.places
                    .insert(copy.clone(), Place::new(State::Held, now));
                Some(Event::Loaded(copy))
            }
            Op::Unload => {
                let place = self.places.remove(&copy)?;
                let was_held = place.state == State::Held;
                if was_held {
                    // A waiting unload advanced the count when it was accepted.
                    self.unloaded(place.may_leave, now);
                }
                was_held.then_some(Event::Unloaded(copy))
            }
        }
    }

    /// An unload was obeyed. Whether it was counted is for the next report to say, where the adapter may
    /// have been leaving before: at a number that is one too high an order would find no place.
    fn unloaded(&mut self, may_leave: bool, now: Moment) {
        self.refused_unloads = 0;
        if may_leave {
            self.learn_again(now + REPORT_LAG);
        } else {
            self.advance();
        }
    }

    /// Returns whether an order loads an adapter of which nothing is known there.
    fn is_first_load(&self, order: &Order) -> bool {
        let copy = order.copy();
        order.op == Op::Load && copy.is_some_and(|copy| !self.places.contains_key(&copy))
    }

    /// Returns whether an order asks whether an adapter is there still.
    fn is_doubted(&self, order: &Order) -> bool {
        let place = order.copy().and_then(|copy| self.places.get(&copy));
        let is_doubted = |place: &Place| place.state == State::Held && place.may_leave;
        order.op == Op::Load && place.is_some_and(is_doubted)
    }

    /// Takes in whether an adapter is there still. None is leaving, so that it stays.
    fn asked(&mut self, order: &Order, answer: Answer, now: Moment) -> Option<Event> {
        let copy = order.copy()?;
        match answer {
            Answer::Done => {
                self.places.get_mut(&copy)?.may_leave = false;
                None
            }
            // It takes no place however late it is carried out, and is asked again.
            Answer::Unknown => None,
            // It had left, and is on its way again.
            Answer::Accepted => {
                self.places.remove(&copy);
                self.accepted(order, now)
            }
            Answer::Conflict | Answer::Fenced | Answer::Gone | Answer::Invalid => {
                self.learn_again(now + REPORT_LAG);
                None
            }
        }
    }

    /// Returns whether a refused repeat says that the first one was accepted. While an unload waits for
    /// its runs an endpoint refuses every other order, whatever the number.
    fn may_assume(&self) -> bool {
        let is_leaving = |place: &Place| matches!(place.state, State::Leaving { .. });
        self.assumed.is_none() && !self.places.values().any(is_leaving)
    }

    /// The repeat of an unanswered load was refused: most likely the number of accepted orders is
    /// another, since the first one was accepted. A report tells whether that is so.
    fn assume(&mut self, order: &Order, now: Moment) -> Option<Event> {
        let (adapter, version) = order.adapter.clone()?;
        self.assumed = Some(Copy::of(&order.model, adapter, version));
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
