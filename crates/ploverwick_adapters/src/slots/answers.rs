//! Updates the slots from an endpoint's answers and reports, and from missing ones.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;

use super::{
    BaseState, CACHED_LOAD_TIMEOUT, Event, MAX_MISSED_ANSWERS, POLL_INTERVAL, REPORT_LAG, Slot,
    SlotState, Slots,
};
use crate::{Answer, Copy, Op, Order, Report};

/// The delay from a load order to its first poll. An adapter cached at the endpoint loads in 25 to
/// 30 ms.
const FIRST_POLL_DELAY: Duration = Duration::from_millis(24);
/// How often a load is polled while it may come from the endpoint's cache.
const CACHED_POLL_INTERVAL: Duration = Duration::from_millis(8);
/// The delay from a load order to the first poll of a load from the weight store, which takes 250
/// to 300 ms.
const STORE_POLL_DELAY: Duration = Duration::from_millis(236);
/// How often the load of a base model, which takes hundreds of milliseconds, is polled.
const BASE_POLL_INTERVAL: Duration = Duration::from_millis(80);
/// The number of consecutive refused unloads that are attributed to adapters in use. The next one is
/// attributed to a wrong number of accepted orders, so a report is requested.
const MAX_REFUSED_UNLOADS: u32 = 3;

impl Slots {
    /// Applies the endpoint's answer to an order.
    pub fn handle_answer(&mut self, order: &Order, answer: Answer, now: Moment) -> Option<Event> {
        let is_retry = self.unanswered.take().is_some();
        self.last_order = Some(now);
        self.record_contact(!matches!(answer, Answer::Unknown | Answer::Gone), now);
        if answer == Answer::Gone {
            self.record_gone();
        }
        if self.is_presence_check(order) {
            return self.on_presence_answer(order, answer, now);
        }
        match answer {
            Answer::Accepted => {
                self.no_unload_pending |= self.is_first_load(order);
                self.on_accepted(order, now)
            }
            Answer::Done => self.on_done(order, now),
            // The unload may have been refused because the adapter is in use, so nothing can be
            // assumed about the first attempt.
            Answer::Conflict if is_retry && order.op == Op::Unload => {
                self.require_report(now + REPORT_LAG);
                None
            }
            Answer::Conflict
                if is_retry && order.adapter.is_some() && self.can_assume_accepted() =>
            {
                self.assume_accepted(order, now)
            }
            Answer::Conflict => {
                self.on_conflict(order, now);
                None
            }
            Answer::Invalid => {
                self.on_invalid(order);
                None
            }
            Answer::Unknown => {
                self.on_unknown(order, now);
                None
            }
            Answer::Fenced | Answer::Gone => {
                self.require_report(now + REPORT_LAG);
                None
            }
        }
    }

    /// Applies a report from the endpoint.
    pub fn handle_report(&mut self, report: &Report, now: Moment) -> Event {
        self.record_contact(true, now);
        self.orders = Some(report.orders);
        self.assumed = None;
        self.no_unload_pending = false;
        for base in self.models.values_mut() {
            *base = BaseState::Missing;
        }
        for model in &report.models {
            self.models.insert(Arc::clone(model), BaseState::Held);
        }
        let mut previous = std::mem::take(&mut self.by_copy);
        let mut slot = |copy: &Copy, state| {
            let known = previous.remove(copy);
            let slot = known.map_or_else(|| Slot::new(state, now), |slot| Slot { state, ..slot });
            let may_be_unloading = true;
            (
                copy.clone(),
                Slot {
                    may_be_unloading,
                    ..slot
                },
            )
        };
        let loading = SlotState::Loading {
            poll_at: now,
            ordered_at: now,
            is_cached: false,
        };
        for copy in &report.held {
            let (copy, slot) = slot(copy, SlotState::Held);
            self.by_copy.insert(copy, slot);
        }
        for copy in &report.loading {
            let (copy, slot) = slot(copy, loading);
            self.by_copy.insert(copy, slot);
        }
        Event::Reported(self.held())
    }

    /// Records that a requested report did not arrive.
    pub fn handle_missing_report(&mut self, now: Moment) {
        self.record_contact(false, now);
        self.require_report(now + REPORT_LAG);
    }

    fn on_accepted(&mut self, order: &Order, now: Moment) -> Option<Event> {
        let Some((adapter, version)) = order.adapter.clone() else {
            let is_poll = matches!(
                self.models.get(&order.model),
                Some(BaseState::Loading { .. })
            );
            if !is_poll {
                self.advance();
            }
            let poll_at = now + BASE_POLL_INTERVAL;
            self.models
                .insert(Arc::clone(&order.model), BaseState::Loading { poll_at });
            return None;
        };
        let copy = Copy::of(&order.model, adapter, version);
        match (order.op, self.by_copy.get_mut(&copy)) {
            (Op::Load, Some(slot)) => {
                if let SlotState::Loading {
                    poll_at,
                    ordered_at,
                    ..
                } = &mut slot.state
                {
                    *poll_at = if now.since(*ordered_at) < CACHED_LOAD_TIMEOUT {
                        now + CACHED_POLL_INTERVAL
                    } else {
                        (now + POLL_INTERVAL).max(*ordered_at + STORE_POLL_DELAY)
                    };
                }
                None
            }
            (Op::Load, None) => {
                self.advance();
                let wanted = self.take_pending(&copy);
                let loading = SlotState::Loading {
                    poll_at: now + FIRST_POLL_DELAY,
                    ordered_at: now,
                    is_cached: wanted.is_some_and(|wanted| wanted.is_cached),
                };
                self.by_copy.insert(copy.clone(), Slot::new(loading, now));
                Some(Event::Loading(copy))
            }
            (Op::Unload, Some(slot)) => {
                let was_held = slot.state == SlotState::Held;
                let may_be_unloading = slot.may_be_unloading;
                slot.state = SlotState::Unloading {
                    poll_at: now + POLL_INTERVAL,
                };
                if was_held {
                    self.on_unloaded(may_be_unloading, now);
                }
                was_held.then_some(Event::Unloaded(copy))
            }
            (Op::Unload, None) => None,
        }
    }

    fn on_done(&mut self, order: &Order, now: Moment) -> Option<Event> {
        let Some((adapter, version)) = order.adapter.clone() else {
            self.models
                .insert(Arc::clone(&order.model), BaseState::Held);
            return Some(Event::BaseLoaded(Arc::clone(&order.model)));
        };
        let copy = Copy::of(&order.model, adapter, version);
        match order.op {
            Op::Load => {
                self.take_pending(&copy);
                self.by_copy
                    .insert(copy.clone(), Slot::new(SlotState::Held, now));
                Some(Event::Loaded(copy))
            }
            Op::Unload => {
                let slot = self.by_copy.remove(&copy)?;
                let was_held = slot.state == SlotState::Held;
                if was_held {
                    // An unload that had to wait was counted when it was accepted.
                    self.on_unloaded(slot.may_be_unloading, now);
                }
                was_held.then_some(Event::Unloaded(copy))
            }
        }
    }

    /// Updates the number of accepted orders after a successful unload. If the adapter may already
    /// have been unloading, only the next report shows whether the endpoint counted this unload:
    /// with a number that is one too high, an order could be carried out without a free slot.
    fn on_unloaded(&mut self, may_be_unloading: bool, now: Moment) {
        self.refused_unloads = 0;
        if may_be_unloading {
            self.require_report(now + REPORT_LAG);
        } else {
            self.advance();
        }
    }

    /// Returns whether an order loads an adapter that has no slot here.
    fn is_first_load(&self, order: &Order) -> bool {
        let copy = order.copy();
        order.op == Op::Load && copy.is_some_and(|copy| !self.by_copy.contains_key(&copy))
    }

    /// Returns whether an order checks that an adapter is still held.
    fn is_presence_check(&self, order: &Order) -> bool {
        let slot = order.copy().and_then(|copy| self.by_copy.get(&copy));
        let is_uncertain = |slot: &Slot| slot.state == SlotState::Held && slot.may_be_unloading;
        order.op == Op::Load && slot.is_some_and(is_uncertain)
    }

    /// Applies the answer to a presence check. No unload is pending then, so an adapter that is
    /// still held stays.
    fn on_presence_answer(&mut self, order: &Order, answer: Answer, now: Moment) -> Option<Event> {
        let copy = order.copy()?;
        match answer {
            Answer::Done => {
                self.by_copy.get_mut(&copy)?.may_be_unloading = false;
                None
            }
            // The check needs no additional slot however late it is carried out; it is sent again.
            Answer::Unknown => None,
            // The adapter was gone and is being loaded again.
            Answer::Accepted => {
                self.by_copy.remove(&copy);
                self.on_accepted(order, now)
            }
            Answer::Conflict | Answer::Fenced | Answer::Gone | Answer::Invalid => {
                self.require_report(now + REPORT_LAG);
                None
            }
        }
    }

    /// Returns whether a refused retry indicates that the first attempt was accepted. While an
    /// unload waits for its running requests, an endpoint refuses every other order, whatever its
    /// number.
    fn can_assume_accepted(&self) -> bool {
        let is_unloading = |slot: &Slot| matches!(slot.state, SlotState::Unloading { .. });
        self.assumed.is_none() && !self.by_copy.values().any(is_unloading)
    }

    /// Handles the refused retry of an unanswered load: most likely the first attempt was accepted
    /// and raised the number of accepted orders. The next report shows whether it did.
    fn assume_accepted(&mut self, order: &Order, now: Moment) -> Option<Event> {
        let (adapter, version) = order.adapter.clone()?;
        self.assumed = Some(Copy::of(&order.model, adapter, version));
        self.on_accepted(order, now)
    }

    /// Handles an order without an answer: a poll is made again later, any other order is resent
    /// unchanged.
    fn on_unknown(&mut self, order: &Order, now: Moment) {
        let poll_at = now + POLL_INTERVAL;
        let Some((adapter, version)) = order.adapter.clone() else {
            self.may_still_apply = true;
            self.require_report(now + REPORT_LAG);
            return;
        };
        let copy = Copy::of(&order.model, adapter, version);
        match (
            order.op,
            self.by_copy.get_mut(&copy).map(|slot| &mut slot.state),
        ) {
            (Op::Load, Some(SlotState::Loading { poll_at: at, .. }))
            | (Op::Unload, Some(SlotState::Unloading { poll_at: at })) => *at = poll_at,
            _ => {
                self.may_still_apply = true;
                self.unanswered = Some(order.clone());
            }
        }
    }

    fn on_conflict(&mut self, order: &Order, now: Moment) {
        if order.adapter.is_none()
            && let Some(BaseState::Loading { poll_at }) = self.models.get_mut(&order.model)
        {
            *poll_at = now + BASE_POLL_INTERVAL;
            return;
        }
        // The adapter is probably in use: marks it as used so that another one is evicted next.
        if order.op == Op::Unload
            && self.refused_unloads < MAX_REFUSED_UNLOADS
            && let Some(slot) = self.slot_of(order)
        {
            slot.last_used = now;
            self.refused_unloads += 1;
            return;
        }
        self.refused_unloads = 0;
        // The change behind the conflict may be too recent for a report to include it.
        self.require_report(now + REPORT_LAG);
    }

    fn slot_of(&mut self, order: &Order) -> Option<&mut Slot> {
        let (adapter, version) = order.adapter.clone()?;
        let copy = Copy::of(&order.model, adapter, version);
        self.by_copy.get_mut(&copy)
    }

    fn on_invalid(&mut self, order: &Order) {
        let Some((adapter, version)) = order.adapter.clone() else {
            self.models.remove(&order.model);
            return;
        };
        let copy = Copy::of(&order.model, adapter, version);
        self.take_pending(&copy);
        self.by_copy.remove(&copy);
    }

    /// Increments the number of accepted orders, which invalidates all orders for the previous number.
    fn advance(&mut self) {
        self.refused_unloads = 0;
        self.orders = self.orders.map(|orders| orders + 1);
        self.may_still_apply = false;
    }

    /// Counts consecutive missing answers. When the endpoint becomes unresponsive its pending loads
    /// are dropped; requests that still need them ask again and are placed elsewhere.
    fn record_contact(&mut self, is_answer: bool, now: Moment) {
        if !is_answer {
            self.last_missed = Some(now);
        }
        self.missed_answers = if is_answer {
            0
        } else {
            self.missed_answers + 1
        };
        if self.is_unresponsive() {
            self.pending.clear();
        }
    }

    /// Treats an endpoint that accepts no connection as unresponsive at once: nothing can be loaded
    /// there until it has sent a report.
    fn record_gone(&mut self) {
        self.missed_answers = self.missed_answers.max(MAX_MISSED_ANSWERS);
        self.pending.clear();
    }

    pub(super) fn require_report(&mut self, at: Moment) {
        self.unanswered = None;
        self.orders = None;
        self.report_at = at;
    }
}
