//! The adapter slots of an engine, as its owner knows them.

use std::collections::BTreeMap;
use std::time::Duration;

use ploverwick_names::{Incarnation, Moment, Variant};

use super::{Outcome, Report};

/// A slot that a report shows in use.
#[derive(Debug, Clone)]
pub struct Found {
    /// What it holds.
    pub variant: Variant,
    /// Whether requests can run on it.
    pub ready: bool,
    /// The number of requests running on it.
    pub running: u32,
}

/// What is known of a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// A load was ordered.
    Loading,
    /// Requests can run.
    Loaded,
    /// An unload is being announced in the log.
    Announced,
    /// An unload was ordered.
    Unloading,
    /// A load is under way of which no answer will come: it was lost, or another owner's.
    LoadLost,
    /// The answer to an unload is missing; it may still strike.
    UnloadLost,
}

impl State {
    /// Says whether an unload is announced, under way, or of unknown outcome.
    fn may_strike(self) -> bool {
        matches!(self, Self::Announced | Self::Unloading | Self::UnloadLost)
    }
}

/// How late news may be.
#[derive(Debug, Clone, Copy)]
pub(super) struct Lags {
    /// How old a report may be when it comes.
    pub(super) report: Duration,
    /// How long an order may still arrive.
    pub(super) order: Duration,
}

#[derive(Debug, Clone)]
struct Slot {
    state: State,
    /// When the state or the use changed last.
    touched: Moment,
    /// Whether an earlier owner's requests may be running on it.
    inherited: bool,
    /// Whether it takes no new requests, so that it becomes idle.
    retiring: bool,
}

impl Slot {
    fn new(state: State, now: Moment) -> Self {
        Self {
            state,
            touched: now,
            inherited: false,
            retiring: false,
        }
    }
}

/// All slots of an engine.
#[derive(Debug, Default)]
pub(super) struct Slots {
    used: BTreeMap<Variant, Slot>,
    /// The requests that run on each adapter or are on their way to it. A request counts until it
    /// is over, also if the engine restarts meanwhile: it may arrive in the engine's new life.
    users: BTreeMap<Variant, u32>,
    /// When adapters were unloaded, for as long as a late report may still show them.
    unloaded: BTreeMap<Variant, Moment>,
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
        used.map(|(variant, slot)| (variant, slot.state, self.users(variant)))
    }

    pub(super) fn holds(&self, variant: &Variant) -> bool {
        self.used.contains_key(variant)
    }

    pub(super) fn is_ready(&self, variant: &Variant) -> bool {
        let slot = self.used.get(variant);
        slot.is_some_and(|slot| slot.state == State::Loaded && !slot.retiring)
    }

    pub(super) fn is_announced(&self, variant: &Variant) -> bool {
        let slot = self.used.get(variant);
        slot.is_some_and(|slot| slot.state == State::Announced)
    }

    pub(super) fn has_free(&self) -> bool {
        self.used.len() < self.total as usize
    }

    /// Says whether a slot will become free without another order.
    pub(super) fn is_making_room(&self) -> bool {
        self.used.iter().any(|(variant, slot)| {
            let unloading = matches!(slot.state, State::Announced | State::Unloading);
            unloading || slot.retiring && self.users(variant) > 0
        })
    }

    fn users(&self, variant: &Variant) -> u32 {
        self.users.get(variant).copied().unwrap_or_default()
    }

    /// Says whether an order is under way or its outcome unknown.
    pub(super) fn has_orders(&self) -> bool {
        self.used.values().any(|slot| slot.state != State::Loaded)
    }

    /// Says whether an unload may still strike.
    pub(super) fn has_unloads(&self) -> bool {
        self.used.values().any(|slot| slot.state.may_strike())
    }

    pub(super) fn occupy(&mut self, variant: &Variant, now: Moment) {
        *self.users.entry(variant.clone()).or_default() += 1;
        self.touch(variant, now);
    }

    pub(super) fn release(&mut self, variant: &Variant, now: Moment) {
        if let Some(users) = self.users.get_mut(variant) {
            *users -= 1;
            if *users == 0 {
                self.users.remove(variant);
            }
        }
        self.touch(variant, now);
    }

    fn touch(&mut self, variant: &Variant, now: Moment) {
        if let Some(slot) = self.used.get_mut(variant) {
            slot.touched = now;
        }
    }

    /// Finds the idle slot that was used least recently, sparing those that jobs wait for.
    pub(super) fn idle(&self, wanted: impl Fn(&Variant) -> bool) -> Option<Variant> {
        self.used
            .iter()
            .filter(|(variant, slot)| {
                slot.state == State::Loaded
                    && self.users(variant) == 0
                    && !slot.inherited
                    && (slot.retiring || !wanted(variant))
            })
            .min_by_key(|(_, slot)| (!slot.retiring, slot.touched))
            .map(|(variant, _)| variant.clone())
    }

    /// Makes the loaded slot with the least work take no new requests.
    pub(super) fn retire_one(&mut self, waiting: impl Fn(&Variant) -> usize) {
        let users = &self.users;
        let least = self
            .used
            .iter_mut()
            .filter(|(_, slot)| slot.state == State::Loaded && !slot.inherited)
            .min_by_key(|(variant, _)| {
                users.get(variant).copied().unwrap_or_default() as usize + waiting(variant)
            });
        if let Some((_, slot)) = least {
            slot.retiring = true;
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
            Outcome::Unknown => self.set(variant, State::LoadLost, now),
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
        self.set(variant, State::Loaded, now);
    }

    pub(super) fn unloaded(&mut self, variant: &Variant, outcome: Outcome, now: Moment) {
        match outcome {
            Outcome::Done => {
                self.used.remove(variant);
                self.unloaded.insert(variant.clone(), now);
            }
            Outcome::Refused => self.set(variant, State::Loaded, now),
            Outcome::Unknown => self.set(variant, State::UnloadLost, now),
        }
    }

    fn set(&mut self, variant: &Variant, state: State, now: Moment) {
        if let Some(slot) = self.used.get_mut(variant) {
            slot.state = state;
            slot.touched = now;
            slot.retiring = false;
        }
    }

    pub(super) fn report(&mut self, report: &Report, settled: bool, lags: Lags, now: Moment) {
        self.total = report.slots;
        self.batch = report.batch;
        if report.incarnation != self.incarnation {
            // A restarted engine has nothing loaded, but an unload that is still on its way may
            // strike in its new life.
            self.used.retain(|_, slot| slot.state.may_strike());
            self.unloaded.clear();
            self.incarnation = report.incarnation;
        }
        self.unloaded.retain(|_, at| now < *at + lags.report);
        for found in &report.used {
            self.merge(found, settled, lags, now);
        }
        let users = &self.users;
        self.used.retain(|variant, slot| {
            let shown = report.used.iter().any(|found| found.variant == *variant);
            shown || users.contains_key(variant) || !is_gone(slot, lags, now)
        });
    }

    fn merge(&mut self, found: &Found, settled: bool, lags: Lags, now: Moment) {
        if self.unloaded.contains_key(&found.variant) && !self.holds(&found.variant) {
            return;
        }
        let idle = self.users(&found.variant) == 0;
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
        let current = now >= slot.touched + lags.report;
        if slot.inherited && settled && current && idle && found.running == 0 {
            slot.inherited = false;
        }
        let arrived = slot.state == State::LoadLost && found.ready;
        let spared =
            slot.state == State::UnloadLost && now >= slot.touched + lags.order + lags.report;
        if arrived || spared && found.ready {
            slot.state = State::Loaded;
            slot.touched = now;
        }
    }
}

/// Says whether an idle slot that a report does not show has become free.
fn is_gone(slot: &Slot, lags: Lags, now: Moment) -> bool {
    let lag = match slot.state {
        // The answer to the order will say.
        State::Loading | State::Unloading => return false,
        State::LoadLost | State::UnloadLost => lags.order + lags.report,
        State::Loaded | State::Announced => lags.report,
    };
    now >= slot.touched + lag
}
