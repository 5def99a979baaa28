//! The task of one endpoint: carries out what its machine decides.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_codes::Code;
use ploverwick_names::{Model, Moment, Request, Variant};
use ploverwick_owner::endpoint::{Action, Config, Job, Machine, Outcome, Report, Rights};
use ploverwick_owner::record::Record;
use ploverwick_owner::tenure::{Standing, Tenure};
use ploverwick_ports::engine::{Engine, Order as EngineOrder};
use ploverwick_ports::roster::{EndpointEntry, Fencing, State};
use ploverwick_timeline::{Event, Kind};
use ploverwick_wire::{Frame, Order, understands};
use tokio::sync::{mpsc, oneshot};
use tokio::time::MissedTickBehavior;

use super::{Command, ending, orders, send};
use crate::controllers::owners;
use crate::node::{Node, lock};
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
    machine: Machine,
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
            queue: settings.limits.queue_per_endpoint,
            report_lag: settings.ownership.report_lag(),
            order_lag: settings.ownership.order_lag(),
            patience: PATIENCE,
            retry_after: RETRY_AFTER,
            load_pause: LOAD_PAUSE,
        };
        let timeout = settings.platform.timeout();
        let engine = Engine::new(node.client.clone(), entry.address, timeout);
        let now = node.now();
        let checks_tokens = entry.fencing == Fencing::Checked;
        Self {
            node,
            entry,
            engine,
            machine: Machine::new(config),
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
        self.tenure.standing() == Standing::Owner
    }

    fn submit(&mut self, order: Order, frames: mpsc::Sender<Frame>, now: Moment) {
        let refuse = |code, message: &str| {
            // The channel is new and has room.
            let _ = frames.try_send(ending(code, message, Some(RETRY_AFTER)));
        };
        if !understands(order.protocol) {
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
            !(left && machine.withdraw(request))
        });
    }

    fn ask_report(&mut self, now: Moment) {
        let settled = self.tenure.standing() == Standing::Settled;
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
        self.tenure.engine_is(report.incarnation);
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

    fn act_all(&mut self, actions: impl IntoIterator<Item = Action>) {
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send(request) => self.send(&request),
            Action::Refuse(request, code, hint) => {
                if let Some(pending) = self.pending.remove(&request) {
                    let message = format!("{} at {}", code.summary(), self.entry.name);
                    let _ = pending.frames.try_send(ending(code, &message, hint));
                }
            }
            Action::Load(variant) => self.load(variant),
            Action::Announce(variant) => self.announce(variant),
            Action::Unload(variant) => self.unload(variant),
            Action::Settle(variant) => self.settle(variant),
        }
    }

    fn send(&mut self, request: &Request) {
        let Some(pending) = self.pending.get(request) else {
            return;
        };
        let waited = self.node.now().since(pending.arrived);
        metrics::histogram!("ploverwick_queue_seconds").record(waited.as_secs_f64());
        let token = lock(&self.node.holds).token(&self.entry.name);
        let run = send::Run {
            order: pending.order.clone(),
            frames: pending.frames.clone(),
            token: token.unwrap_or_default(),
            deadline: self.deadline_of(pending),
            endpoint: self.entry.name.clone(),
        };
        let request = request.clone();
        self.spawn(|engine, node| async move {
            match send::run(&node, &engine, run).await {
                send::After::Over => Command::Finished(request),
                send::After::Unsettled => Command::Unsettled(request),
            }
        });
    }

    fn deadline_of(&self, pending: &Pending) -> Duration {
        let deadline = pending.arrived + Duration::from_millis(pending.order.deadline_ms);
        deadline.since(self.node.now())
    }

    fn load(&mut self, variant: Variant) {
        lock(&self.node.loads).start();
        self.note_load("load ordered", &variant);
        let Some(order) = self.order(&variant) else {
            return self.take(Command::Loaded(variant, Outcome::Refused));
        };
        self.spawn(|engine, _| async move {
            let outcome = orders::load(&engine, &order).await;
            Command::Loaded(variant, outcome)
        });
    }

    fn unload(&mut self, variant: Variant) {
        let Some(order) = self.order(&variant) else {
            return self.take(Command::Unloaded(variant, Outcome::Refused));
        };
        self.note_load("unload ordered", &variant);
        let endpoint = self.entry.name.clone();
        self.spawn(|engine, node| async move {
            // The last look before the order goes out: the task may have been paused since.
            let permit = lock(&node.holds).permit(&endpoint, node.now());
            if !permit.is_some_and(|permit| permit.settled) {
                return Command::Unloaded(variant, Outcome::Refused);
            }
            let outcome = orders::unload(&engine, &order).await;
            Command::Unloaded(variant, outcome)
        });
    }

    fn order(&self, variant: &Variant) -> Option<EngineOrder> {
        let token = lock(&self.node.holds).token(&self.entry.name)?;
        Some(EngineOrder {
            variant: Some(variant.clone()),
            token,
        })
    }

    fn announce(&mut self, variant: Variant) {
        let endpoint = self.entry.name.clone();
        let life = self.node.life.clone();
        let token = lock(&self.node.holds).token(&endpoint).unwrap_or_default();
        let record = Record::Intent {
            endpoint,
            life,
            token,
            variant: variant.clone(),
        };
        self.spawn_quiet(|node| async move {
            let appended = owners::append(&node, vec![record.clone()]).await;
            if appended.is_err_and(|fault| fault.had_no_effect()) {
                // The stream will not show it, so the machine has to be told.
                let endpoint = record.endpoint().clone();
                let command = Command::Announced(variant, false);
                node.owners.tell(&endpoint, command).await;
            }
        });
    }

    fn settle(&mut self, variant: Variant) {
        let record = Record::Outcome {
            endpoint: self.entry.name.clone(),
            life: self.node.life.clone(),
            variant,
        };
        self.spawn_quiet(|node| async move {
            // Without this record a successor waits until this life has quit or ended.
            let _ = owners::append(&node, vec![record]).await;
        });
    }

    /// Says that the endpoint may be released, once no unload can strike any more.
    fn answer_closing(&mut self) {
        if !self.closing.is_empty() && !self.machine.has_unloads() {
            for closed in self.closing.drain(..) {
                let _ = closed.send(());
            }
        }
    }

    /// Tells successors, once nothing of this life runs on the endpoint or is on its way to it.
    fn quit(&mut self) {
        let owner = lock(&self.node.holds).owner(&self.entry.name).cloned();
        let released = owner.is_none_or(|owner| owner != self.node.life);
        if !self.tenure.quits(self.machine.is_quiet(), released) {
            return;
        }
        let record = Record::Quit {
            endpoint: self.entry.name.clone(),
            life: self.node.life.clone(),
        };
        self.spawn_quiet(|node| async move { owners::append_surely(&node, record).await });
    }

    fn publish(&self) {
        let slots = self.machine.slots();
        let status = OwnedEndpoint {
            endpoint: self.entry.name.clone(),
            owned: self.is_owner(),
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

    fn note_load(&self, what: &str, variant: &Variant) {
        let event = Event::new(Kind::Load, format!("{what} ({variant})"));
        let event = event.adapter(&variant.adapter).endpoint(&self.entry.name);
        self.node.record(event);
    }

    /// Runs `work` beside the task and takes its result as a command.
    fn spawn<F, W>(&self, work: W)
    where
        W: FnOnce(Engine, Arc<Node>) -> F,
        F: Future<Output = Command> + Send + 'static,
    {
        // Without a sender the task is ending, and nothing may be started for it.
        let Some(own) = self.own.upgrade() else {
            return;
        };
        let work = work(self.engine.clone(), Arc::clone(&self.node));
        tokio::spawn(async move {
            let command = work.await;
            let _ = own.send(command).await;
        });
    }

    fn spawn_quiet<F, W>(&self, work: W)
    where
        W: FnOnce(Arc<Node>) -> F,
        F: Future<Output = ()> + Send + 'static,
    {
        tokio::spawn(work(Arc::clone(&self.node)));
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
        deadline: now + Duration::from_millis(order.deadline_ms),
        arrived: now,
    })
}
