//! The owner's view of an engine's adapter slots.

use std::collections::BTreeMap;
use std::time::Duration;

use ploverwick_names::{Incarnation, Moment, Variant};

use super::{Outcome, Report};

/// An occupied slot in an engine report.
#[derive(Debug, Clone)]
pub struct ReportedSlot {
    /// The adapter version in the slot.
    pub variant: Variant,
    /// Whether the adapter is loaded and can serve requests.
    pub ready: bool,
    /// The number of requests running on it.
    pub running: u32,
}

/// The state of a slot, as the owner knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// A load order is in flight.
    Loading,
    /// The adapter can serve requests.
    Loaded,
    /// An unload is being announced in the log.
    Announced,
    /// An unload order is in flight.
    Unloading,
    /// A load is in progress whose response was lost or goes to another owner.
    LoadLost,
    /// The response to an unload order was lost; the order may still take effect.
    UnloadLost,
}

impl State {
    /// Returns whether an unload is announced, in flight or of unknown outcome.
    fn has_pending_unload(self) -> bool {
        matches!(self, Self::Announced | Self::Unloading | Self::UnloadLost)
    }
}

/// Upper bounds on message delays.
#[derive(Debug, Clone, Copy)]
pub(super) struct Lags {
    /// The maximum age of a report on arrival.
    pub(super) report: Duration,
    /// How long an order may still take effect.
    pub(super) order: Duration,
}

#[derive(Debug, Clone)]
struct Slot {
    state: State,
    /// When the state or the set of running requests last changed.
    changed_at: Moment,
    /// Whether requests of an earlier owner may be running on it.
    inherited: bool,
    /// Whether it accepts no new requests, so that it becomes idle and can be unloaded.
    draining: bool,
}

impl Slot {
    fn new(state: State, now: Moment) -> Self {
        Self {
            state,
            changed_at: now,
            inherited: false,
            draining: false,
        }
    }
}

/// The slots of an engine.
#[derive(Debug, Default)]
pub(super) struct Slots {
    used: BTreeMap<Variant, Slot>,
    /// The number of requests running on each adapter or on their way to it. A request counts
    /// until it ends, even across an engine restart, because it may arrive after the restart.
    in_flight: BTreeMap<Variant, u32>,
    /// When adapters were unloaded, kept for as long as a delayed report may still list them.
    recently_unloaded: BTreeMap<Variant, Moment>,
    total: u32,
    batch: u32,
    incarnation: Incarnation,
}

impl Slots {
    pub(super) fn batch(&self) -> u32 {
        self.batch
    }

    pub(super) fn list(&self) -> impl Iterator<Item = (&Variant, State, u32)> {
        let used = self.used.iter();
        used.map(|(variant, slot)| (variant, slot.state, self.in_flight(variant)))
    }

    pub(super) fn contains(&self, variant: &Variant) -> bool {
        self.used.contains_key(variant)
    }

    pub(super) fn is_ready(&self, variant: &Variant) -> bool {
        let slot = self.used.get(variant);
        slot.is_some_and(|slot| slot.state == State::Loaded && !slot.draining)
    }

    pub(super) fn is_announced(&self, variant: &Variant) -> bool {
        let slot = self.used.get(variant);
        slot.is_some_and(|slot| slot.state == State::Announced)
    }

    pub(super) fn has_free(&self) -> bool {
        self.used.len() < self.total as usize
    }

    /// Returns whether a slot will become free without another order.
    pub(super) fn is_freeing_slot(&self) -> bool {
        self.used.iter().any(|(variant, slot)| {
            let unloading = matches!(slot.state, State::Announced | State::Unloading);
            unloading || slot.draining && self.in_flight(variant) > 0
        })
    }

    fn in_flight(&self, variant: &Variant) -> u32 {
        self.in_flight.get(variant).copied().unwrap_or_default()
    }

    /// Returns whether an order is in flight or of unknown outcome.
    pub(super) fn has_orders(&self) -> bool {
        self.used.values().any(|slot| slot.state != State::Loaded)
    }

    /// Returns whether an unload may still take effect.
    pub(super) fn has_pending_unloads(&self) -> bool {
        self.used
            .values()
            .any(|slot| slot.state.has_pending_unload())
    }

    pub(super) fn acquire(&mut self, variant: &Variant, now: Moment) {
        *self.in_flight.entry(variant.clone()).or_default() += 1;
        self.touch(variant, now);
    }

    pub(super) fn release(&mut self, variant: &Variant, now: Moment) {
        if let Some(in_flight) = self.in_flight.get_mut(variant) {
            *in_flight -= 1;
            if *in_flight == 0 {
                self.in_flight.remove(variant);
            }
        }
        self.touch(variant, now);
    }

    fn touch(&mut self, variant: &Variant, now: Moment) {
        if let Some(slot) = self.used.get_mut(variant) {
            slot.changed_at = now;
        }
    }

    /// Returns the least recently used idle adapter, skipping those that queued jobs need unless
    /// they are draining.
    pub(super) fn eviction_candidate(&self, wanted: impl Fn(&Variant) -> bool) -> Option<Variant> {
        self.used
            .iter()
            .filter(|(variant, slot)| {
                slot.state == State::Loaded
                    && self.in_flight(variant) == 0
                    && !slot.inherited
                    && (slot.draining || !wanted(variant))
            })
            .min_by_key(|(_, slot)| (!slot.draining, slot.changed_at))
            .map(|(variant, _)| variant.clone())
    }

    /// Drains the loaded slot with the fewest running and queued requests.
    pub(super) fn drain_least_used(&mut self, waiting: impl Fn(&Variant) -> usize) {
        let in_flight = &self.in_flight;
        let least = self
            .used
            .iter_mut()
            .filter(|(_, slot)| slot.state == State::Loaded && !slot.inherited)
            .min_by_key(|(variant, _)| {
                in_flight.get(variant).copied().unwrap_or_default() as usize + waiting(variant)
            });
        if let Some((_, slot)) = least {
            slot.draining = true;
        }
    }

    pub(super) fn loading(&mut self, variant: &Variant, now: Moment) {
        self.used
            .insert(variant.clone(), Slot::new(State::Loading, now));
    }

    pub(super) fn loaded(&mut self, variant: &Variant, outcome: Outcome, now: Moment) {
        match outcome {
            Outcome::Done => {
                self.used
                    .insert(variant.clone(), Slot::new(State::Loaded, now));
            }
            Outcome::Refused => {
                self.used.remove(variant);
            }
            Outcome::Unknown => self.set_state(variant, State::LoadLost, now),
        }
    }

    pub(super) fn announce(&mut self, variant: &Variant) {
        if let Some(slot) = self.used.get_mut(variant) {
            slot.state = State::Announced;
        }
    }

    pub(super) fn unloading(&mut self, variant: &Variant) {
        if let Some(slot) = self.used.get_mut(variant) {
            slot.state = State::Unloading;
        }
    }

    pub(super) fn restore(&mut self, variant: &Variant, now: Moment) {
        self.set_state(variant, State::Loaded, now);
    }

    pub(super) fn unloaded(&mut self, variant: &Variant, outcome: Outcome, now: Moment) {
        match outcome {
            Outcome::Done => {
                self.used.remove(variant);
                self.recently_unloaded.insert(variant.clone(), now);
            }
            Outcome::Refused => self.set_state(variant, State::Loaded, now),
            Outcome::Unknown => self.set_state(variant, State::UnloadLost, now),
        }
    }

    fn set_state(&mut self, variant: &Variant, state: State, now: Moment) {
        if let Some(slot) = self.used.get_mut(variant) {
            slot.state = state;
            slot.changed_at = now;
            slot.draining = false;
        }
    }

    pub(super) fn report(&mut self, report: &Report, settled: bool, lags: Lags, now: Moment) {
        self.total = report.slots;
        self.batch = report.batch;
        if report.incarnation != self.incarnation {
            // A restarted engine has no adapters loaded, but an unload order that was sent before
            // the restart may still arrive after it.
            self.used.retain(|_, slot| slot.state.has_pending_unload());
            self.recently_unloaded.clear();
            self.incarnation = report.incarnation;
        }
        self.recently_unloaded
            .retain(|_, at| now < *at + lags.report);
        for found in &report.used {
            self.merge(found, settled, lags, now);
        }
        let in_flight = &self.in_flight;
        self.used.retain(|variant, slot| {
            let shown = report.used.iter().any(|found| found.variant == *variant);
            shown || in_flight.contains_key(variant) || !is_gone(slot, lags, now)
        });
    }

    fn merge(&mut self, found: &ReportedSlot, settled: bool, lags: Lags, now: Moment) {
        if self.recently_unloaded.contains_key(&found.variant) && !self.contains(&found.variant) {
            return;
        }
        let idle = self.in_flight(&found.variant) == 0;
        let Some(slot) = self.used.get_mut(&found.variant) else {
            let state = if found.ready {
                State::Loaded
            } else {
                State::LoadLost
            };
            let mut slot = Slot::new(state, now);
            slot.inherited = true;
            self.used.insert(found.variant.clone(), slot);
            return;
        };
        let current = now >= slot.changed_at + lags.report;
        if slot.inherited && settled && current && idle && found.running == 0 {
            slot.inherited = false;
        }
        let load_finished = slot.state == State::LoadLost && found.ready;
        let unload_lost =
            slot.state == State::UnloadLost && now >= slot.changed_at + lags.order + lags.report;
        if load_finished || unload_lost && found.ready {
            slot.state = State::Loaded;
            slot.changed_at = now;
        }
    }
}

/// Returns whether an idle slot that is missing from a report has become free.
fn is_gone(slot: &Slot, lags: Lags, now: Moment) -> bool {
    let lag = match slot.state {
        // The response to the order decides.
        State::Loading | State::Unloading => return false,
        State::LoadLost | State::UnloadLost => lags.order + lags.report,
        State::Loaded | State::Announced => lags.report,
    };
    now >= slot.changed_at + lag
}
