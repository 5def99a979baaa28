//! Decides on the next step with an endpoint.

use std::time::Duration;

use ploverwick_names::Moment;

use super::pending::PENDING_TTL;
use super::{
    BaseState, MAX_CONCURRENT_LOADS, POLL_INTERVAL, REPORT_LAG, Slot, SlotState, Slots, Step,
};
use crate::{Copy, Order, Permit};

/// How long an adapter that was just loaded is protected from eviction: the request that waited for
/// it is being sent, and the statement of its use arrives up to 150 ms later.
const LOADED_GRACE: Duration = Duration::from_millis(350);
/// How long an adapter is protected from eviction after its last use, as another request for it may
/// be in transit.
const USED_GRACE: Duration = Duration::from_millis(120);

impl Slots {
    /// Decides on the next step; `permit` determines which loads may start.
    pub fn next_step(&mut self, now: Moment, permit: Permit) -> Step {
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
        if let Some(order) = self.next_poll(orders, now) {
            return Step::Send(order);
        }
        if let Some(order) = self.next_load(orders, now, permit) {
            return Step::Send(order);
        }
        match self.next_poll_at() {
            Some(at) => Step::Wait(at),
            None if self.pending.is_empty() => self.verify_at().map_or(Step::Idle, Step::Wait),
            None => Step::Wait(now + POLL_INTERVAL),
        }
    }

    fn next_base(&self, orders: u64, now: Moment) -> Option<Step> {
        let is_loading = |base: &BaseState| matches!(base, BaseState::Loading { .. });
        if let Some((model, BaseState::Loading { poll_at })) =
            self.models.iter().find(|(_, base)| is_loading(base))
        {
            // The endpoint accepts no other order until the base model is loaded.
            return Some(if *poll_at <= now {
                Step::Send(Order::load_base(model, orders))
            } else {
                Step::Wait(*poll_at)
            });
        }
        if self.models.values().any(|base| *base == BaseState::Held) {
            return None;
        }
        let mut models = self.models.keys();
        match models.find(|model| self.capacity.fits(self.capacity.size(model).base_kb)) {
            Some(model) => Some(Step::Send(Order::load_base(model, orders))),
            None => Some(Step::Idle),
        }
    }

    fn next_poll(&self, orders: u64, now: Moment) -> Option<Order> {
        self.by_copy
            .iter()
            .filter(|(copy, _)| !self.must_not_poll(copy))
            .find_map(|(copy, slot)| match slot.state {
                SlotState::Loading { poll_at, .. } if poll_at <= now => {
                    Some(Order::load(copy, orders))
                }
                SlotState::Unloading { poll_at } if poll_at <= now => {
                    Some(Order::unload(copy, orders))
                }
                _ => None,
            })
    }

    fn next_poll_at(&self) -> Option<Moment> {
        let slots = self.by_copy.iter();
        let slots = slots.filter(|(copy, _)| !self.must_not_poll(copy));
        let polls = slots.filter_map(|(_, slot)| match slot.state {
            SlotState::Loading { poll_at, .. } | SlotState::Unloading { poll_at } => Some(poll_at),
            SlotState::Held => None,
        });
        polls.min()
    }

    /// Returns whether an adapter must not be polled: its load was only assumed to be accepted, and
    /// there is no slot for it beside the adapter that may have been loaded instead. A poll loads
    /// an adapter that is missing, even seconds later when a delayed poll is carried out at its
    /// number.
    fn must_not_poll(&self, copy: &Copy) -> bool {
        let is_over =
            self.occupied() > self.capacity.adapters || !self.capacity.fits(self.used_kb());
        self.assumed.as_ref() == Some(copy) && is_over
    }

    fn next_load(&mut self, orders: u64, now: Moment, permit: Permit) -> Option<Order> {
        let base_kb = self.base_kb();
        let (slots, capacity) = (&self.by_copy, &self.capacity);
        self.pending.retain(|load| {
            let copy = &load.wanted.copy;
            now.since(load.at) < PENDING_TTL
                && !slots.contains_key(copy)
                && capacity.fits(base_kb + capacity.size(&copy.key.model).adapter_kb)
        });
        let permitted = self.pending.iter().rev();
        let permitted = permitted.filter(|load| load.wanted.permit() <= permit);
        // Among equals the oldest comes first: `max_by_key` returns the last maximum.
        let next =
            permitted.max_by_key(|load| (std::cmp::Reverse(load.wanted.permit()), load.weight))?;
        let wanted = next.wanted.copy.clone();
        if self.loading() >= MAX_CONCURRENT_LOADS || !self.has_base(&wanted.key.model) {
            return None;
        }
        // Unloads an older version first, so that the two versions never need a slot each.
        let older = self.by_copy.iter().find(|(copy, slot)| {
            copy.key == wanted.key && copy.version < wanted.version && slot.state == SlotState::Held
        });
        if let Some((older, _)) = older {
            return Some(self.unload(older, orders));
        }
        if self.fits(self.capacity.size(&wanted.key.model).adapter_kb) {
            return Some(Order::load(&wanted, orders));
        }
        self.victim(now).map(|victim| self.unload(&victim, orders))
    }

    /// Returns the order with which an unload begins. If the adapter is known only from a report
    /// and the result of a check would stay valid, its presence is checked first: this takes about
    /// 3 ms, while the report that is otherwise needed after the unload takes 260 ms.
    fn unload(&self, copy: &Copy, orders: u64) -> Order {
        let is_uncertain = self
            .by_copy
            .get(copy)
            .is_some_and(|slot| slot.may_be_unloading);
        if is_uncertain && self.no_unload_pending {
            Order::load(copy, orders)
        } else {
            Order::unload(copy, orders)
        }
    }

    /// Returns the number of slots that are or may be occupied.
    pub(super) fn occupied(&self) -> usize {
        self.by_copy.len() + usize::from(self.may_still_apply) + usize::from(self.assumed.is_some())
    }

    /// Returns whether an adapter of this size may be loaded beside what is or may be held.
    pub(super) fn fits(&self, adapter_kb: u64) -> bool {
        self.occupied() < self.capacity.adapters && self.capacity.fits(self.used_kb() + adapter_kb)
    }

    /// Returns the memory in kilobytes that the base models occupy.
    fn base_kb(&self) -> u64 {
        let present = self
            .models
            .iter()
            .filter(|(_, state)| **state != BaseState::Missing);
        present
            .map(|(model, _)| self.capacity.size(model).base_kb)
            .sum()
    }

    /// Returns the memory in kilobytes that is or may be occupied. An adapter of which only the slot is known counts as the
    /// largest one.
    fn used_kb(&self) -> u64 {
        let copies = self.by_copy.keys();
        let known: u64 = copies
            .map(|copy| self.capacity.size(&copy.key.model).adapter_kb)
            .sum();
        let unknown = (self.occupied() - self.by_copy.len()) as u64;
        self.base_kb() + known + unknown * self.capacity.max_adapter_kb()
    }

    fn should_verify(&self, now: Moment) -> bool {
        self.verify_at().is_some_and(|at| at <= now)
    }

    /// Returns when to request a report that confirms or refutes an assumption. As reports lag
    /// behind, this is a while after the last order. `None` if there is no assumption, or polls are
    /// still due.
    fn verify_at(&self) -> Option<Moment> {
        let is_loading = |(copy, slot): (&Copy, &Slot)| {
            matches!(slot.state, SlotState::Loading { .. }) && !self.must_not_poll(copy)
        };
        if self.assumed.is_none() || self.by_copy.iter().any(is_loading) {
            return None;
        }
        Some(self.last_order.map_or(self.report_at, |at| at + REPORT_LAG))
    }

    pub(super) fn victim(&self, now: Moment) -> Option<Copy> {
        let unused = self.by_copy.iter().filter(|(_, slot)| {
            slot.state == SlotState::Held && slot.in_use(now) == 0 && slot.is_past_grace(now)
        });
        let oldest = unused.min_by_key(|(copy, slot)| (slot.last_used, (*copy).clone()));
        oldest.map(|(copy, _)| copy.clone())
    }
}

impl Slot {
    /// Returns whether the grace period after the load or last use has passed, so that no request
    /// for the adapter is expected to be in transit.
    fn is_past_grace(&self, now: Moment) -> bool {
        let fresh = if self.was_used {
            USED_GRACE
        } else {
            LOADED_GRACE
        };
        now.since(self.last_used) >= fresh
    }
}
