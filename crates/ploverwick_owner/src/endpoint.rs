//! The request queue, the adapter slots and the dispatch of one endpoint, run by its owner.
//!
//! The owner sends every request itself, so it knows which adapters are in use without asking the
//! engine. Adapters found loaded at a takeover count as in use until a sufficiently recent report
//! shows them idle.

mod queue;
mod slots;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ploverwick_codes::Code;
use ploverwick_names::{Incarnation, Moment, Request, Variant};

pub use queue::Job;
use queue::Queue;
use slots::Slots;
pub use slots::{ReportedSlot, State};

/// Consecutive load failures after which the requests waiting for an adapter are refused.
const MAX_LOAD_ATTEMPTS: u32 = 2;

/// Limits and delays of an endpoint's scheduler.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// The maximum number of queued requests.
    pub queue_capacity: usize,
    /// The maximum age of a report on arrival.
    pub report_lag: Duration,
    /// How long an order may still take effect after its response was lost.
    pub order_lag: Duration,
    /// How long a request waits for a slot before a busy adapter is drained for it.
    pub drain_after: Duration,
    /// The retry hint sent with a refusal.
    pub retry_after: Duration,
    /// The delay before a failed load or a refused unload is retried.
    pub load_backoff: Duration,
}

/// A status report of an engine.
#[derive(Debug, Clone)]
pub struct Report {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// The number of adapter slots.
    pub slots: u32,
    /// The maximum number of requests in a batch.
    pub batch: u32,
    /// The occupied slots.
    pub used: Vec<ReportedSlot>,
}

/// What the owner is permitted to do in a step.
#[derive(Debug, Clone, Default)]
pub struct Rights {
    /// Whether requests and loads may be sent.
    pub send: bool,
    /// Whether adapters may be unloaded.
    pub unload: bool,
    /// Whether an unload must be announced in the log first.
    pub announce: bool,
    /// Adapters that an earlier owner's unload order may still remove.
    pub pending_unloads: BTreeSet<Variant>,
    /// The number of loads that the store's budget allows now.
    pub loads: u32,
}

/// An action for the caller to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the endpoint.
    Send(Request),
    /// Refuse the request, which was never sent, with an optional retry hint.
    Refuse(Request, Code, Option<Duration>),
    /// Order the adapter to be loaded.
    Load(Variant),
    /// Announce in the log that the adapter will be unloaded.
    Announce(Variant),
    /// Order the adapter to be unloaded.
    Unload(Variant),
    /// Record in the log that an announced unload was done or abandoned.
    LogOutcome(Variant),
}

/// The result of an order to the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The engine executed it.
    Done,
    /// The engine did not execute it, and never will.
    Refused,
    /// The response was lost; the order may still take effect.
    Unknown,
}

/// Schedules the requests and adapter slots of one endpoint.
#[derive(Debug)]
pub struct Scheduler {
    config: Config,
    queue: Queue,
    slots: Slots,
    running: BTreeMap<Request, Variant>,
    failures: BTreeMap<Variant, Failure>,
    closed: bool,
    /// No unload is started before this time. Set after the engine refuses one.
    next_unload_at: Moment,
}

#[derive(Debug, Clone, Copy)]
struct Failure {
    count: u32,
    retry_at: Moment,
}

impl Scheduler {
    /// Creates a scheduler with no knowledge of the endpoint's state.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            queue: Queue::default(),
            slots: Slots::default(),
            running: BTreeMap::new(),
            failures: BTreeMap::new(),
            closed: false,
            next_unload_at: Moment::default(),
        }
    }

    /// Queues a request, or returns its refusal if the queue is full or closed.
    pub fn submit(&mut self, job: Job) -> Option<Action> {
        if self.closed {
            return Some(Action::Refuse(job.request, Code::NotOwner, None));
        }
        if self.queue.len() >= self.config.queue_capacity {
            let hint = Some(self.config.retry_after);
            return Some(Action::Refuse(job.request, Code::Overloaded, hint));
        }
        self.queue.push(job);
        None
    }

    /// Removes a waiting request; returns whether it was queued.
    pub fn cancel(&mut self, request: &Request) -> bool {
        self.queue.remove(request)
    }

    /// Handles the end of a request that was sent.
    pub fn finished(&mut self, request: &Request, now: Moment) {
        if let Some(variant) = self.running.remove(request) {
            self.slots.release(&variant, now);
        }
    }

    /// Stops accepting requests; queued ones are refused at the next step.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Accepts requests again.
    pub fn open(&mut self) {
        self.closed = false;
    }

    /// Returns whether no request is running and no order is in flight or of unknown outcome.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && !self.slots.has_orders()
    }

    /// Returns whether an unload is announced, in flight or of unknown outcome.
    pub fn has_pending_unloads(&self) -> bool {
        self.slots.has_pending_unloads()
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the adapter version on which a sent request runs.
    pub fn variant_of(&self, request: &Request) -> Option<Variant> {
        self.running.get(request).cloned()
    }

    /// Lists the occupied slots with their states and the number of running requests.
    pub fn slots(&self) -> impl Iterator<Item = (&Variant, State, u32)> {
        self.slots.list()
    }

    /// Returns the engine's maximum batch size, 0 before the first report.
    pub fn batch(&self) -> u32 {
        self.slots.batch()
    }

    /// Updates the slots from an engine report. `settled` tells whether no earlier owner can still
    /// be using the endpoint.
    pub fn report(&mut self, report: &Report, settled: bool, now: Moment) {
        let lags = slots::Lags {
            report: self.config.report_lag,
            order: self.config.order_lag,
        };
        self.slots.report(report, settled, lags, now);
    }

    /// Handles the result of a load order.
    pub fn loaded(&mut self, variant: &Variant, outcome: Outcome, now: Moment) {
        self.slots.loaded(variant, outcome, now);
        if outcome == Outcome::Done {
            self.failures.remove(variant);
            return;
        }
        let failure = self.failures.entry(variant.clone()).or_insert(Failure {
            count: 0,
            retry_at: now,
        });
        failure.count += 1;
        failure.retry_at = now + self.config.load_backoff;
    }

    /// Handles the outcome of an announcement: `valid` if it is in the log and this owner's claim
    /// was not superseded before it.
    pub fn announced(
        &mut self,
        variant: &Variant,
        valid: bool,
        rights: &Rights,
        now: Moment,
    ) -> Option<Action> {
        if !self.slots.is_announced(variant) {
            return None;
        }
        if valid && rights.unload {
            self.slots.unloading(variant);
            return Some(Action::Unload(variant.clone()));
        }
        self.slots.restore(variant, now);
        Some(Action::LogOutcome(variant.clone()))
    }

    /// Handles the result of an unload order.
    pub fn unloaded(&mut self, variant: &Variant, outcome: Outcome, now: Moment) {
        self.slots.unloaded(variant, outcome, now);
        if outcome == Outcome::Refused {
            // The engine has seen a newer token, or the permission to unload has just expired.
            self.next_unload_at = now + self.config.load_backoff;
        }
    }

    /// Returns the actions to perform now.
    pub fn step(&mut self, rights: &Rights, now: Moment) -> Vec<Action> {
        if self.closed {
            return self.refuse_waiting(Code::NotOwner);
        }
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        if !rights.send {
            return actions;
        }
        self.dispatch(rights, now, &mut actions);
        self.refuse_failed(now, &mut actions);
        self.start_loads(rights, now, &mut actions);
        actions
    }

    /// Refuses all queued requests.
    pub fn refuse_waiting(&mut self, code: Code) -> Vec<Action> {
        let refused = self.queue.drain();
        let actions = refused.map(|job| Action::Refuse(job.request, code, None));
        actions.collect()
    }

    fn expire(&mut self, now: Moment, actions: &mut Vec<Action>) {
        let late = self.queue.extract(|job| job.deadline <= now);
        let code = Code::DeadlineBeforeRun;
        actions.extend(
            late.into_iter()
                .map(|job| Action::Refuse(job.request, code, None)),
        );
    }

    /// Sends queued requests whose adapter is loaded, up to the engine's batch size.
    fn dispatch(&mut self, rights: &Rights, now: Moment, actions: &mut Vec<Action>) {
        let batch = self.slots.batch() as usize;
        while self.running.len() < batch {
            let slots = &self.slots;
            let ready = |variant: &Variant| {
                slots.is_ready(variant) && !rights.pending_unloads.contains(variant)
            };
            let Some(job) = self.queue.pop(ready) else {
                return;
            };
            self.slots.acquire(&job.variant, now);
            self.running.insert(job.request.clone(), job.variant);
            actions.push(Action::Send(job.request));
        }
    }

    fn refuse_failed(&mut self, now: Moment, actions: &mut Vec<Action>) {
        let failures = &self.failures;
        let failed = |variant: &Variant| {
            let failure = failures.get(variant);
            failure
                .is_some_and(|failure| failure.count >= MAX_LOAD_ATTEMPTS && now < failure.retry_at)
        };
        let refused = self.queue.extract(|job| failed(&job.variant));
        let hint = Some(self.config.load_backoff);
        for job in refused {
            actions.push(Action::Refuse(job.request, Code::LoadFailed, hint));
        }
        self.failures
            .retain(|_, failure| now < failure.retry_at || failure.count < MAX_LOAD_ATTEMPTS);
    }

    /// Loads adapters that queued requests need, and frees slots for them.
    fn start_loads(&mut self, rights: &Rights, now: Moment, actions: &mut Vec<Action>) {
        let mut budget = rights.loads;
        for (variant, since) in self.queue.waiting_variants() {
            if self.slots.contains(&variant) || rights.pending_unloads.contains(&variant) {
                continue;
            }
            let paused = self.failures.get(&variant);
            if paused.is_some_and(|failure| now < failure.retry_at) {
                continue;
            }
            if self.slots.has_free() {
                if budget == 0 {
                    return;
                }
                budget -= 1;
                self.slots.loading(&variant, now);
                actions.push(Action::Load(variant));
            } else if rights.unload {
                self.free_slot(rights, since, now, actions);
                return;
            } else {
                self.refuse_variant(&variant, actions);
            }
        }
    }

    /// Starts to unload the least recently used idle adapter, or drains a busy one if the request
    /// that has waited since `since` exceeds the limit.
    fn free_slot(
        &mut self,
        rights: &Rights,
        since: Moment,
        now: Moment,
        actions: &mut Vec<Action>,
    ) {
        if self.slots.is_freeing_slot() || now < self.next_unload_at {
            return;
        }
        let queue = &self.queue;
        let Some(victim) = self
            .slots
            .eviction_candidate(|variant| queue.contains(variant))
        else {
            if now >= since + self.config.drain_after {
                self.slots.drain_least_used(|variant| queue.count(variant));
            }
            return;
        };
        if rights.announce {
            self.slots.announce(&victim);
            actions.push(Action::Announce(victim));
        } else {
            self.slots.unloading(&victim);
            actions.push(Action::Unload(victim));
        }
    }

    /// Refuses requests for an adapter that cannot get a slot here, so that they are retried
    /// elsewhere.
    fn refuse_variant(&mut self, variant: &Variant, actions: &mut Vec<Action>) {
        let refused = self.queue.extract(|job| job.variant == *variant);
        let hint = Some(self.config.retry_after);
        let jobs = refused.into_iter();
        actions.extend(jobs.map(|job| Action::Refuse(job.request, Code::Overloaded, hint)));
    }
}
