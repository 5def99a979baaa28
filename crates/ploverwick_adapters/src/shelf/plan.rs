//! What to do next at an endpoint.

use std::time::Duration;

use ploverwick_names::Moment;

use super::{Base, LOOK, Place, REPORT_LAG, Shelf, State, Step};
use crate::{Copy, Order};

/// The adapters that may be on their way to an endpoint at once, as the platform allows.
const MOST_COMING: usize = 4;
/// An adapter that was just loaded is not unloaded: the request that waited for it is on its way, and
/// the word that it arrived comes up to 150 ms later.
const JUST_LOADED: Duration = Duration::from_millis(350);
/// An adapter used within this time is not unloaded: another request for it may be on its way.
const JUST_USED: Duration = Duration::from_millis(120);
/// How long a wish for an adapter counts; whoever still wants it asks again every 70 ms, so that four
/// lost questions in a row do not end it, and what nobody waits for any more is not loaded.
const WISH_AGE: Duration = Duration::from_millis(350);

impl Shelf {
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
            None if self.wishes.is_empty() => self.verify_at().map_or(Step::Idle, Step::Wait),
            None => Step::Wait(now + LOOK),
        }
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
            .filter(|(copy, _)| !self.is_doubtful(copy))
            .find_map(|(copy, place)| match place.state {
                State::Coming { look_at, .. } if look_at <= now => Some(Order::load(copy, orders)),
                State::Leaving { look_at } if look_at <= now => Some(Order::unload(copy, orders)),
                _ => None,
            })
    }

    fn next_look_at(&self) -> Option<Moment> {
        let places = self.places.iter();
        let places = places.filter(|(copy, _)| !self.is_doubtful(copy));
        let looks = places.filter_map(|(_, place)| match place.state {
            State::Coming { look_at, .. } | State::Leaving { look_at } => Some(look_at),
            State::Held => None,
        });
        looks.min()
    }

    /// Returns whether an adapter must not be looked at: its load was only taken for accepted, and
    /// there is no place for it beside the one that may be there in its stead. A look loads what is
    /// not there, also seconds later, when it strikes at the number that it names.
    fn is_doubtful(&self, copy: &Copy) -> bool {
        self.assumed.as_ref() == Some(copy) && self.taken() > self.capacity
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
            return Some(self.unload(older, orders));
        }
        if self.taken() < self.capacity {
            return Some(Order::load(&wish, orders));
        }
        self.victim(now).map(|victim| self.unload(&victim, orders))
    }

    /// Returns the order that leads to an unload: first a look whether the adapter is there still, if
    /// only a report told so and the answer would hold. A look takes about 3 ms, the report that is
    /// needed after the unload else 260 ms.
    fn unload(&self, copy: &Copy, orders: u64) -> Order {
        let is_doubted = self.places.get(copy).is_some_and(|place| place.may_leave);
        if is_doubted && self.none_leaves {
            Order::load(copy, orders)
        } else {
            Order::unload(copy, orders)
        }
    }

    /// Counts the places that are taken or may be.
    pub(super) fn taken(&self) -> usize {
        self.places.len() + usize::from(self.may_strike) + usize::from(self.assumed.is_some())
    }

    fn should_verify(&self, now: Moment) -> bool {
        self.verify_at().is_some_and(|at| at <= now)
    }

    /// Returns when a report would tell what an assumption left open: reports lag behind, so that
    /// nothing may have changed for a while. `None` if nothing is open, or looks go on.
    fn verify_at(&self) -> Option<Moment> {
        let is_coming = |(copy, place): (&Copy, &Place)| {
            matches!(place.state, State::Coming { .. }) && !self.is_doubtful(copy)
        };
        if self.assumed.is_none() || self.places.iter().any(is_coming) {
            return None;
        }
        Some(self.last_order.map_or(self.report_at, |at| at + REPORT_LAG))
    }

    pub(super) fn victim(&self, now: Moment) -> Option<Copy> {
        let unused = self.places.iter().filter(|(_, place)| {
            place.state == State::Held && place.in_use(now) == 0 && place.is_old(now)
        });
        let oldest = unused.min_by_key(|(copy, place)| (place.used, (*copy).clone()));
        oldest.map(|(copy, _)| copy.clone())
    }
}

impl Place {
    /// Returns whether no request for it is expected to be on its way.
    fn is_old(&self, now: Moment) -> bool {
        let fresh = if self.was_used {
            JUST_USED
        } else {
            JUST_LOADED
        };
        now.since(self.used) >= fresh
    }
}
