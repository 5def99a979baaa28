//! The task of one endpoint: feeds events to its scheduler and performs the resulting actions.

mod actions;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_codes::Code;
use ploverwick_names::{Model, Moment, Request, Variant};
use ploverwick_owner::endpoint::{Config, Job, Outcome, Report, Rights, Scheduler};
use ploverwick_owner::tenure::{Role, Tenure};
use ploverwick_ports::engine::Engine;
use ploverwick_ports::roster::{EndpointEntry, Fencing, State};
use ploverwick_table::policy::DEFAULT_WEIGHT;
use ploverwick_timeline::{Event, Kind};
use ploverwick_wire::{Frame, Order, supports_protocol};
use tokio::sync::{mpsc, oneshot};
use tokio::time::MissedTickBehavior;

use super::{orders, send};
use crate::commands::{Command, end_frame};
use crate::lock::lock;
use crate::node::Node;
use crate::status::OwnedEndpoint;

/// How often deadlines, budgets and permits are checked in the absence of commands.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// How long reports may fail before the endpoint is considered down.
const DOWN_AFTER: Duration = Duration::from_secs(2);
/// How long a request waits for a slot before a busy adapter is drained for it.
const DRAIN_AFTER: Duration = Duration::from_secs(2);
const RETRY_AFTER: Duration = Duration::from_millis(500);
const LOAD_BACKOFF: Duration = Duration::from_secs(1);

/// How long an interrupted attempt can be resumed before it is cancelled.
const RESUME_GRACE: Duration = Duration::from_secs(1);

/// An attempt known to the scheduler. A request that is resumed has several.
struct Pending {
    order: Order,
    frames: mpsc::Sender<Frame>,
    arrived: Moment,
}

/// Whether calls to the engine are in flight. There is at most one of each kind.
#[derive(Debug, Default)]
struct CallsInFlight {
    fence: bool,
    report: bool,
}

struct Task {
    node: Arc<Node>,
    entry: EndpointEntry,
    engine: Engine,
    scheduler: Scheduler,
    pending: HashMap<Request, Pending>,
    own_commands: mpsc::WeakSender<Command>,
    tenure: Tenure,
    calls_in_flight: CallsInFlight,
    reported_at: Option<Moment>,
    next_report: Moment,
    leaving: bool,
    close_waiters: Vec<oneshot::Sender<()>>,
    attempts: u64,
}

/// Runs the task until its command channel is closed.
pub(super) async fn run(
    node: Arc<Node>,
    entry: EndpointEntry,
    own_commands: mpsc::WeakSender<Command>,
    mut commands: mpsc::Receiver<Command>,
) {
    let mut task = Task::new(node, entry, own_commands);
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(command) => task.handle(command),
                None => return,
            },
            _ = ticks.tick() => task.tick(),
        }
        // Commands that are already queued are handled before the next scheduling step.
        while let Ok(command) = commands.try_recv() {
            task.handle(command);
        }
        task.step();
    }
}

impl Task {
    fn new(node: Arc<Node>, entry: EndpointEntry, own_commands: mpsc::WeakSender<Command>) -> Self {
        let settings = &node.settings;
        let config = Config {
            queue_capacity: settings.limits.queue_per_endpoint,
            report_lag: settings.ownership.report_lag(),
            order_lag: settings.ownership.order_lag(),
            drain_after: DRAIN_AFTER,
            retry_after: RETRY_AFTER,
            load_backoff: LOAD_BACKOFF,
        };
        let timeout = settings.platform.timeout();
        let engine = Engine::new(node.client.clone(), entry.address, timeout);
        let now = node.now();
        let checks_tokens = entry.fencing == Fencing::Checked;
        Self {
            node,
            entry,
            engine,
            scheduler: Scheduler::new(config),
            pending: HashMap::new(),
            own_commands,
            tenure: Tenure::new(checks_tokens),
            calls_in_flight: CallsInFlight::default(),
            reported_at: None,
            next_report: now,
            leaving: false,
            close_waiters: Vec::new(),
            attempts: 0,
        }
    }

    fn handle(&mut self, command: Command) {
        let now = self.node.now();
        match command {
            Command::Submit(order, frames) => self.submit(*order, frames, now),
            Command::Finished(request) => {
                self.pending.remove(&request);
                self.scheduler.finished(&request, now);
            }
            Command::Unsettled(attempt) => {
                self.spawn(|_, _| async move {
                    tokio::time::sleep(RESUME_GRACE).await;
                    Command::Settle(attempt)
                });
            }
            Command::Settle(attempt) => self.settle_attempt(attempt),
            Command::Reported(report, leaving) => self.reported(report.as_ref(), leaving, now),
            Command::Fenced(shown) => {
                self.calls_in_flight.fence = false;
                if let Some((token, incarnation)) = shown {
                    self.tenure.shown(token, incarnation);
                }
            }
            Command::Loaded(variant, outcome) => {
                lock(&self.node.load_budget).end();
                self.record_load_event(&format!("load {outcome:?}"), &variant);
                self.scheduler.loaded(&variant, outcome, now);
            }
            Command::Unloaded(variant, outcome) => {
                self.record_load_event(&format!("unload {outcome:?}"), &variant);
                self.scheduler.unloaded(&variant, outcome, now);
                // After an unknown outcome the announcement stands until this process has quit the
                // endpoint.
                if self.entry.fencing == Fencing::Ignored && outcome != Outcome::Unknown {
                    self.log_outcome(variant);
                }
            }
            Command::Announced(variant, valid) => {
                let rights = self.rights(now);
                let action = self.scheduler.announced(&variant, valid, &rights, now);
                self.perform_all(action);
            }
            Command::Gained => {
                self.tenure.gained();
                self.scheduler.open();
            }
            Command::Lost => self.close(),
            Command::Close(closed) => {
                self.close();
                self.close_waiters.push(closed);
            }
        }
    }

    fn close(&mut self) {
        self.tenure.closed();
        self.scheduler.close();
    }

    fn is_owner(&self) -> bool {
        self.tenure.role() == Role::Owner
    }

    fn submit(&mut self, order: Order, frames: mpsc::Sender<Frame>, now: Moment) {
        let refuse = |code, message: &str| {
            // The channel is new, so it cannot be full.
            let _ = frames.try_send(end_frame(code, message, Some(RETRY_AFTER)));
        };
        if !supports_protocol(order.protocol) {
            let message = format!("protocol {} is not understood", order.protocol);
            return refuse(Code::NotOwner, &message);
        }
        self.attempts += 1;
        let Some(job) = job(&order, self.attempts, now) else {
            return refuse(Code::ModelMalformed, "the order names no request or model");
        };
        if !order.idempotent && self.has_attempt(&order.request) {
            return refuse(Code::OutcomeUnknown, "the request was started here before");
        }
        if !self.is_owner() {
            return refuse(Code::NotOwner, "this instance does not own the endpoint");
        }
        if let Some(why) = self.unavailable_reason(now) {
            return refuse(Code::NoEndpoint, why);
        }
        let attempt = job.request.clone();
        let pending = Pending {
            order,
            frames,
            arrived: now,
        };
        self.pending.insert(attempt, pending);
        let refused = self.scheduler.submit(job);
        self.perform_all(refused);
    }

    /// Returns whether an attempt of the request is waiting, running or unsettled.
    fn has_attempt(&self, request: &str) -> bool {
        let mut known = self.pending.values();
        known.any(|pending| pending.order.request == request)
    }

    /// Cancels an unsettled attempt unless another attempt has resumed its run.
    fn settle_attempt(&mut self, attempt: Request) {
        let Some(pending) = self.pending.remove(&attempt) else {
            return;
        };
        let request = pending.order.request;
        if self.has_attempt(&request) {
            return self.handle(Command::Finished(attempt));
        }
        self.spawn(|engine, _| async move {
            send::cancel_until_confirmed(&engine, &request).await;
            Command::Finished(attempt)
        });
    }

    /// Returns why the endpoint accepts no requests, or `None` if it accepts them.
    fn unavailable_reason(&self, now: Moment) -> Option<&'static str> {
        if self.leaving || self.listed_leaving() {
            return Some("the endpoint is leaving");
        }
        let down = self
            .reported_at
            .is_some_and(|at| now.since(at) > DOWN_AFTER);
        down.then_some("the endpoint does not report")
    }

    fn listed_leaving(&self) -> bool {
        let listing = self.node.listing.borrow();
        let entry = listing.endpoint(&self.entry.name);
        entry.is_none_or(|entry| entry.state == State::Leaving)
    }

    fn tick(&mut self) {
        let now = self.node.now();
        self.remove_disconnected();
        if self.unavailable_reason(now).is_some() {
            let refusals = self.scheduler.refuse_waiting(Code::NoEndpoint);
            self.perform_all(refusals);
        }
        self.request_report(now);
        self.fence(now);
        self.notify_closed();
        self.log_quit();
        self.publish();
    }

    /// Removes queued requests whose callers have disconnected.
    fn remove_disconnected(&mut self) {
        let scheduler = &mut self.scheduler;
        self.pending.retain(|request, pending| {
            let disconnected = pending.frames.is_closed();
            !(disconnected && scheduler.cancel(request))
        });
    }

    fn request_report(&mut self, now: Moment) {
        let settled = self.tenure.role() == Role::Settled;
        if self.calls_in_flight.report || settled || now < self.next_report {
            return;
        }
        self.calls_in_flight.report = true;
        self.next_report = now + self.node.settings.ownership.report();
        self.spawn(|engine, _| async move { orders::report(&engine).await });
    }

    fn reported(&mut self, report: Option<&Report>, leaving: bool, now: Moment) {
        self.calls_in_flight.report = false;
        let Some(report) = report else {
            self.reported_at = self.reported_at.or(Some(now));
            return;
        };
        self.reported_at = Some(now);
        if leaving && !self.leaving {
            let event = Event::new(Kind::Member, "the endpoint says it is leaving");
            self.node.record(event.endpoint(&self.entry.name));
        }
        self.leaving = leaving;
        self.tenure.set_engine_incarnation(report.incarnation);
        let settled = self.rights(now).unload;
        self.scheduler.report(report, settled, now);
    }

    /// Shows a new token to an engine that checks tokens. Nothing is sent before the engine has
    /// accepted a token.
    fn fence(&mut self, now: Moment) {
        if self.calls_in_flight.fence {
            return;
        }
        let permit = lock(&self.node.ownership).permit(&self.entry.name, now);
        let Some(token) = self.tenure.token_to_show(permit.as_ref()) else {
            return;
        };
        self.calls_in_flight.fence = true;
        self.spawn(move |engine, _| async move {
            let shown = engine.fence(token).await;
            // A failed call is retried at the next tick.
            Command::Fenced(shown.ok().map(|followed| (token, followed.incarnation)))
        });
    }

    fn rights(&self, now: Moment) -> Rights {
        let permit = lock(&self.node.ownership).permit(&self.entry.name, now);
        let loads = orders::loads_available(&self.node, now);
        self.tenure.rights(permit, loads)
    }

    fn step(&mut self) {
        let now = self.node.now();
        let rights = self.rights(now);
        let actions = self.scheduler.step(&rights, now);
        self.perform_all(actions);
    }

    fn publish(&self) {
        let slots = self.scheduler.slots();
        let status = OwnedEndpoint {
            endpoint: self.entry.name.clone(),
            owned: self.is_owner(),
            settled: self.tenure.role() == Role::Settled,
            token: lock(&self.node.ownership)
                .token(&self.entry.name)
                .unwrap_or_default(),
            waiting: self.scheduler.waiting(),
            running: self.scheduler.running(),
            batch: self.scheduler.batch(),
            slots: slots.map(crate::status::Slot::from).collect(),
        };
        lock(&self.node.endpoint_status).insert(self.entry.name.clone(), status);
    }
}

/// Creates the scheduler's job for an order. The attempt number distinguishes a resumed request from
/// its earlier attempt.
fn job(order: &Order, attempt: u64, now: Moment) -> Option<Job> {
    let model: Model = order.model.parse().ok()?;
    Some(Job {
        request: Request::new(&format!("{}.{attempt}", order.request)).ok()?,
        variant: Variant {
            adapter: model.adapter,
            version: model.version?,
        },
        priority: u8::try_from(order.priority).unwrap_or_default(),
        weight: if order.weight > 0.0 {
            order.weight
        } else {
            DEFAULT_WEIGHT
        },
        deadline: now + Duration::from_millis(order.deadline_ms),
        arrived: now,
    })
}
