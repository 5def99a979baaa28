//! The task of one endpoint: carries out what its machine decides.

mod acts;

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
use crate::commands::{Command, ending};
use crate::lock::lock;
use crate::node::Node;
use crate::status::OwnedEndpoint;

/// How often deadlines, budgets and permits are looked at without another cause.
const TICK: Duration = Duration::from_millis(20);
/// How long reports may fail before the endpoint counts as down.
const DOWN_AFTER: Duration = Duration::from_secs(2);
/// How long a request may wait before a busy adapter is made to yield its slot.
const PATIENCE: Duration = Duration::from_secs(2);
const RETRY_AFTER: Duration = Duration::from_millis(500);
const LOAD_PAUSE: Duration = Duration::from_secs(1);

/// How long an attempt that broke off waits to be resumed before it is cancelled.
const RESUME_GRACE: Duration = Duration::from_secs(1);

/// An attempt that the machine knows. One request can have several, when it is resumed.
struct Pending {
    order: Order,
    frames: mpsc::Sender<Frame>,
    arrived: Moment,
}

/// Calls to the engine that are under way, of which there is one at a time.
#[derive(Debug, Default)]
struct Calls {
    fence: bool,
    report: bool,
}

struct Task {
    node: Arc<Node>,
    entry: EndpointEntry,
    engine: Engine,
    machine: Scheduler,
    pending: HashMap<Request, Pending>,
    own: mpsc::WeakSender<Command>,
    tenure: Tenure,
    calls: Calls,
    reported_at: Option<Moment>,
    next_report: Moment,
    leaving: bool,
    closing: Vec<oneshot::Sender<()>>,
    attempts: u64,
}

/// Runs the task until its channel is closed.
pub(super) async fn run(
    node: Arc<Node>,
    entry: EndpointEntry,
    own: mpsc::WeakSender<Command>,
    mut commands: mpsc::Receiver<Command>,
) {
    let mut task = Task::new(node, entry, own);
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(command) => task.take(command),
                None => return,
            },
            _ = ticks.tick() => task.tick(),
        }
        // What is already waiting is decided on together.
        while let Ok(command) = commands.try_recv() {
            task.take(command);
        }
        task.step();
    }
}

impl Task {
    fn new(node: Arc<Node>, entry: EndpointEntry, own: mpsc::WeakSender<Command>) -> Self {
        let settings = &node.settings;
        let config = Config {
            queue_capacity: settings.limits.queue_per_endpoint,
            report_lag: settings.ownership.report_lag(),
            order_lag: settings.ownership.order_lag(),
            drain_after: PATIENCE,
            retry_after: RETRY_AFTER,
            load_backoff: LOAD_PAUSE,
        };
        let timeout = settings.platform.timeout();
        let engine = Engine::new(node.client.clone(), entry.address, timeout);
        let now = node.now();
        let checks_tokens = entry.fencing == Fencing::Checked;
        Self {
            node,
            entry,
            engine,
            machine: Scheduler::new(config),
            pending: HashMap::new(),
            own,
            tenure: Tenure::new(checks_tokens),
            calls: Calls::default(),
            reported_at: None,
            next_report: now,
            leaving: false,
            closing: Vec::new(),
            attempts: 0,
        }
    }

    fn take(&mut self, command: Command) {
        let now = self.node.now();
        match command {
            Command::Submit(order, frames) => self.submit(*order, frames, now),
            Command::Finished(request) => {
                self.pending.remove(&request);
                self.machine.finished(&request, now);
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
                self.calls.fence = false;
                if let Some((token, incarnation)) = shown {
                    self.tenure.shown(token, incarnation);
                }
            }
            Command::Loaded(variant, outcome) => {
                lock(&self.node.loads).end();
                self.note_load(&format!("load {outcome:?}"), &variant);
                self.machine.loaded(&variant, outcome, now);
            }
            Command::Unloaded(variant, outcome) => {
                self.note_load(&format!("unload {outcome:?}"), &variant);
                self.machine.unloaded(&variant, outcome, now);
                // An unknown outcome stays announced until this life has quit.
                if self.entry.fencing == Fencing::Ignored && outcome != Outcome::Unknown {
                    self.settle(variant);
                }
            }
            Command::Announced(variant, valid) => {
                let rights = self.rights(now);
                let action = self.machine.announced(&variant, valid, &rights, now);
                self.act_all(action);
            }
            Command::Gained => {
                self.tenure.gained();
                self.machine.open();
            }
            Command::Lost => self.close(),
            Command::Close(closed) => {
                self.close();
                self.closing.push(closed);
            }
        }
    }

    fn close(&mut self) {
        self.tenure.closed();
        self.machine.close();
    }

    fn is_owner(&self) -> bool {
        self.tenure.role() == Role::Owner
    }

    fn submit(&mut self, order: Order, frames: mpsc::Sender<Frame>, now: Moment) {
        let refuse = |code, message: &str| {
            // The channel is new and has room.
            let _ = frames.try_send(ending(code, message, Some(RETRY_AFTER)));
        };
        if !supports_protocol(order.protocol) {
            let message = format!("protocol {} is not understood", order.protocol);
            return refuse(Code::NotOwner, &message);
        }
        self.attempts += 1;
        let Some(job) = job(&order, self.attempts, now) else {
            return refuse(Code::ModelMalformed, "the order names no request or model");
        };
        if !order.idempotent && self.knows(&order.request) {
            return refuse(Code::OutcomeUnknown, "the request was started here before");
        }
        if !self.is_owner() {
            return refuse(Code::NotOwner, "this instance does not own the endpoint");
        }
        if let Some(why) = self.unable(now) {
            return refuse(Code::NoEndpoint, why);
        }
        let attempt = job.request.clone();
        let pending = Pending {
            order,
            frames,
            arrived: now,
        };
        self.pending.insert(attempt, pending);
        let refused = self.machine.submit(job);
        self.act_all(refused);
    }

    /// Says whether an attempt of the request is waiting, running or unsettled.
    fn knows(&self, request: &str) -> bool {
        let mut known = self.pending.values();
        known.any(|pending| pending.order.request == request)
    }

    /// Cancels an unsettled attempt, unless another attempt has resumed its run.
    fn settle_attempt(&mut self, attempt: Request) {
        let Some(pending) = self.pending.remove(&attempt) else {
            return;
        };
        let request = pending.order.request;
        if self.knows(&request) {
            return self.take(Command::Finished(attempt));
        }
        self.spawn(|engine, _| async move {
            send::settle(&engine, &request).await;
            Command::Finished(attempt)
        });
    }

    /// Says why the endpoint takes no requests, if it takes none.
    fn unable(&self, now: Moment) -> Option<&'static str> {
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
        self.drop_unwanted();
        if self.unable(now).is_some() {
            let refusals = self.machine.refuse_waiting(Code::NoEndpoint);
            self.act_all(refusals);
        }
        self.ask_report(now);
        self.fence(now);
        self.answer_closing();
        self.quit();
        self.publish();
    }

    /// Takes out waiting requests whose callers have left.
    fn drop_unwanted(&mut self) {
        let machine = &mut self.machine;
        self.pending.retain(|request, pending| {
            let left = pending.frames.is_closed();
            !(left && machine.cancel(request))
        });
    }

    fn ask_report(&mut self, now: Moment) {
        let settled = self.tenure.role() == Role::Settled;
        if self.calls.report || settled || now < self.next_report {
            return;
        }
        self.calls.report = true;
        self.next_report = now + self.node.settings.ownership.report();
        self.spawn(|engine, _| async move { orders::report(&engine).await });
    }

    fn reported(&mut self, report: Option<&Report>, leaving: bool, now: Moment) {
        self.calls.report = false;
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
        self.machine.report(report, settled, now);
    }

    /// Shows a new token to an engine that checks tokens, before anything is sent under it.
    fn fence(&mut self, now: Moment) {
        if self.calls.fence {
            return;
        }
        let permit = lock(&self.node.holds).permit(&self.entry.name, now);
        let Some(token) = self.tenure.token_to_show(permit.as_ref()) else {
            return;
        };
        self.calls.fence = true;
        self.spawn(move |engine, _| async move {
            let shown = engine.fence(token).await;
            // After a failure the next tick tries again.
            Command::Fenced(shown.ok().map(|followed| (token, followed.incarnation)))
        });
    }

    fn rights(&self, now: Moment) -> Rights {
        let permit = lock(&self.node.holds).permit(&self.entry.name, now);
        let loads = orders::loads_available(&self.node, now);
        self.tenure.rights(permit, loads)
    }

    fn step(&mut self) {
        let now = self.node.now();
        let rights = self.rights(now);
        let actions = self.machine.step(&rights, now);
        self.act_all(actions);
    }

    fn publish(&self) {
        let slots = self.machine.slots();
        let status = OwnedEndpoint {
            endpoint: self.entry.name.clone(),
            owned: self.is_owner(),
            settled: self.tenure.role() == Role::Settled,
            token: lock(&self.node.holds)
                .token(&self.entry.name)
                .unwrap_or_default(),
            waiting: self.machine.waiting(),
            running: self.machine.running(),
            batch: self.machine.batch(),
            slots: slots.map(crate::status::Slot::from).collect(),
        };
        lock(&self.node.endpoint_status).insert(self.entry.name.clone(), status);
    }
}

/// Makes the machine's job of an order. Attempts are numbered, so that a resumed request is not
/// mistaken for its earlier attempt.
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
