//! The queue, the adapter slots and the dispatch of one endpoint, at its owner.
//!
//! The owner sees every request that it sends, so it knows which adapters are in use without
//! asking. Adapters found at a take-over count as in use until a report that is late enough shows
//! them idle.

mod queue;
mod slots;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ploverwick_codes::Code;
use ploverwick_names::{Incarnation, Moment, Request, Variant};

pub use queue::Job;
use queue::Queue;
use slots::Slots;
pub use slots::{Found, State};

/// How many times in a row a load may fail before the requests waiting for it are refused.
const LOAD_TRIES: u32 = 2;

/// The spans and bounds of an endpoint's decisions.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// The most requests waiting.
    pub queue: usize,
    /// How old a report may be when it comes.
    pub report_lag: Duration,
    /// How long an order may still arrive after its answer was lost.
    pub order_lag: Duration,
    /// How long a request may wait for a slot before a busy adapter is made to yield.
    pub patience: Duration,
    /// The hint given with a refusal.
    pub retry_after: Duration,
    /// How long a failed load is not tried again.
    pub load_pause: Duration,
}

/// What an engine's report says.
#[derive(Debug, Clone)]
pub struct Report {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// The number of adapter slots.
    pub slots: u32,
    /// The most requests computed in one step.
    pub batch: u32,
    /// The slots in use.
    pub used: Vec<Found>,
}

/// What the owner may do in this step.
#[derive(Debug, Clone, Default)]
pub struct Rights {
    /// Whether requests and loads may be sent.
    pub send: bool,
    /// Whether adapters may be unloaded.
    pub unload: bool,
    /// Whether an unload has to be announced in the log first.
    pub announce: bool,
    /// Adapters on which an earlier owner's unload may still strike.
    pub doubtful: BTreeSet<Variant>,
    /// How many loads the store's budget allows now.
    pub loads: u32,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the endpoint.
    Send(Request),
    /// Refuse the request, which was never sent.
    Refuse(Request, Code, Option<Duration>),
    /// Order the adapter to be loaded.
    Load(Variant),
    /// Announce in the log that the adapter will be unloaded.
    Announce(Variant),
    /// Order the adapter to be unloaded.
    Unload(Variant),
    /// Write to the log that an announced unload was done or given up.
    Settle(Variant),
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The engine followed it.
    Done,
    /// The engine did not follow it, and will not.
    Refused,
    /// The answer is missing; the order may still arrive.
    Unknown,
}

/// The decisions of one endpoint's owner.
#[derive(Debug)]
pub struct Machine {
    config: Config,
    queue: Queue,
    slots: Slots,
    running: BTreeMap<Request, Variant>,
    failures: BTreeMap<Variant, Failure>,
    closed: bool,
    /// An unload that was refused is not tried again before this.
    unloads_from: Moment,
}

#[derive(Debug, Clone, Copy)]
struct Failure {
    times: u32,
    until: Moment,
}

impl Machine {
    /// Starts with nothing known of the endpoint.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            queue: Queue::default(),
            slots: Slots::default(),
            running: BTreeMap::new(),
            failures: BTreeMap::new(),
            closed: false,
            unloads_from: Moment::default(),
        }
    }

    /// Takes a request in; it is refused at the next step if the queue is full or closed.
    pub fn submit(&mut self, job: Job) -> Option<Action> {
        if self.closed {
            return Some(Action::Refuse(job.request, Code::NotOwner, None));
        }
        if self.queue.len() >= self.config.queue {
            let hint = Some(self.config.retry_after);
            return Some(Action::Refuse(job.request, Code::Overloaded, hint));
        }
        self.queue.push(job);
        None
    }

    /// Takes a waiting request out; returns whether it was waiting.
    pub fn withdraw(&mut self, request: &Request) -> bool {
        self.queue.remove(request)
    }

    /// Says that a sent request is over.
    pub fn finished(&mut self, request: &Request, now: Moment) {
        if let Some(variant) = self.running.remove(request) {
            self.slots.release(&variant, now);
        }
    }

    /// Stops taking requests; those that wait are refused at the next step.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Takes requests again.
    pub fn open(&mut self) {
        self.closed = false;
    }

    /// Says whether nothing that was sent is still running or under way.
    pub fn is_quiet(&self) -> bool {
        self.running.is_empty() && !self.slots.has_orders()
    }

    /// Says whether an unload is announced, under way, or of unknown outcome.
    pub fn has_unloads(&self) -> bool {
        self.slots.has_unloads()
    }

    /// Returns the number of requests waiting.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of requests sent and not over.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns what a sent request runs on.
    pub fn variant_of(&self, request: &Request) -> Option<Variant> {
        self.running.get(request).cloned()
    }

    /// Lists the slots in use with their states and running requests.
    pub fn slots(&self) -> impl Iterator<Item = (&Variant, State, u32)> {
        self.slots.list()
    }

    /// Returns the most requests computed in one step, 0 before the first report.
    pub fn batch(&self) -> u32 {
        self.slots.batch()
    }

    /// Takes the engine's report into account. `settled` says whether no earlier owner can still
    /// be using the endpoint.
    pub fn report(&mut self, report: &Report, settled: bool, now: Moment) {
        let lags = slots::Lags {
            report: self.config.report_lag,
            order: self.config.order_lag,
        };
        self.slots.report(report, settled, lags, now);
    }

    /// Says how a load order ended.
    pub fn loaded(&mut self, variant: &Variant, outcome: Outcome, now: Moment) {
        self.slots.loaded(variant, outcome, now);
        if outcome == Outcome::Done {
            self.failures.remove(variant);
            return;
        }
        let failure = self.failures.entry(variant.clone()).or_insert(Failure {
            times: 0,
            until: now,
        });
        failure.times += 1;
        failure.until = now + self.config.load_pause;
    }

    /// Says that an announcement stands in the log, or was overtaken by another's claim.
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
        Some(Action::Settle(variant.clone()))
    }

    /// Says how an unload order ended.
    pub fn unloaded(&mut self, variant: &Variant, outcome: Outcome, now: Moment) {
        self.slots.unloaded(variant, outcome, now);
        if outcome == Outcome::Refused {
            // The engine has seen a newer token, or the right to unload has just passed.
            self.unloads_from = now + self.config.load_pause;
        }
    }

    /// Decides what to do now.
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
        self.load(rights, now, &mut actions);
        actions
    }

    /// Refuses everything that waits.
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

    /// Sends waiting requests whose adapter is loaded, as far as the engine's batch has room.
    fn dispatch(&mut self, rights: &Rights, now: Moment, actions: &mut Vec<Action>) {
        let batch = self.slots.batch() as usize;
        while self.running.len() < batch {
            let slots = &self.slots;
            let ready =
                |variant: &Variant| slots.is_ready(variant) && !rights.doubtful.contains(variant);
            let Some(job) = self.queue.pop(ready) else {
                return;
            };
            self.slots.occupy(&job.variant, now);
            self.running.insert(job.request.clone(), job.variant);
            actions.push(Action::Send(job.request));
        }
    }

    fn refuse_failed(&mut self, now: Moment, actions: &mut Vec<Action>) {
        let failures = &self.failures;
        let failed = |variant: &Variant| {
            let failure = failures.get(variant);
            failure.is_some_and(|failure| failure.times >= LOAD_TRIES && now < failure.until)
        };
        let refused = self.queue.extract(|job| failed(&job.variant));
        let hint = Some(self.config.load_pause);
        for job in refused {
            actions.push(Action::Refuse(job.request, Code::LoadFailed, hint));
        }
        self.failures
            .retain(|_, failure| now < failure.until || failure.times < LOAD_TRIES);
    }

    /// Loads adapters that requests wait for, and makes room for them.
    fn load(&mut self, rights: &Rights, now: Moment, actions: &mut Vec<Action>) {
        let mut budget = rights.loads;
        for (variant, since) in self.queue.wanted() {
            if self.slots.holds(&variant) || rights.doubtful.contains(&variant) {
                continue;
            }
            let paused = self.failures.get(&variant);
            if paused.is_some_and(|failure| now < failure.until) {
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
                self.make_room(rights, since, now, actions);
                return;
            } else {
                self.pass_on(&variant, actions);
            }
        }
    }

    /// Starts to unload the idle adapter that was used least recently.
    fn make_room(
        &mut self,
        rights: &Rights,
        since: Moment,
        now: Moment,
        actions: &mut Vec<Action>,
    ) {
        if self.slots.is_making_room() || now < self.unloads_from {
            return;
        }
        let queue = &self.queue;
        let Some(victim) = self.slots.idle(|variant| queue.wants(variant)) else {
            if now >= since + self.config.patience {
                self.slots.retire_one(|variant| queue.count(variant));
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

    /// Refuses requests for which no slot can be made free, so that they are tried elsewhere.
    fn pass_on(&mut self, variant: &Variant, actions: &mut Vec<Action>) {
        let refused = self.queue.extract(|job| job.variant == *variant);
        let hint = Some(self.config.retry_after);
        let jobs = refused.into_iter();
        actions.extend(jobs.map(|job| Action::Refuse(job.request, Code::Overloaded, hint)));
    }
}
