//! Performs the actions of an endpoint's scheduler.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::{Request, Variant};
use ploverwick_owner::endpoint::{Action, Outcome};
use ploverwick_owner::record::Record;
use ploverwick_ports::engine::{Engine, Order as EngineOrder};
use ploverwick_timeline::{Event, Kind};

use super::super::{orders, send};
use super::{Pending, Task};
use crate::commands::{Command, end_frame};
use crate::lock::lock;
use crate::node::Node;
use crate::ownership;

impl Task {
    pub(super) fn perform_all(&mut self, actions: impl IntoIterator<Item = Action>) {
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send(request) => self.send(&request),
            Action::Refuse(request, code, hint) => {
                if let Some(pending) = self.pending.remove(&request) {
                    let message = format!("{} at {}", code.summary(), self.entry.name);
                    let _ = pending.frames.try_send(end_frame(code, &message, hint));
                }
            }
            Action::Load(variant) => self.load(variant),
            Action::Announce(variant) => self.announce(variant),
            Action::Unload(variant) => self.unload(variant),
            Action::LogOutcome(variant) => self.log_outcome(variant),
        }
    }

    fn send(&mut self, request: &Request) {
        let Some(pending) = self.pending.get(request) else {
            return;
        };
        let waited = self.node.now().since(pending.arrived);
        metrics::histogram!("ploverwick_queue_seconds").record(waited.as_secs_f64());
        let token = lock(&self.node.ownership).token(&self.entry.name);
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
                send::EngineState::Finished => Command::Finished(request),
                send::EngineState::Unsettled => Command::Unsettled(request),
            }
        });
    }

    fn deadline_of(&self, pending: &Pending) -> Duration {
        let deadline = pending.arrived + Duration::from_millis(pending.order.deadline_ms);
        deadline.since(self.node.now())
    }

    fn load(&mut self, variant: Variant) {
        lock(&self.node.load_budget).start();
        self.record_load_event("load ordered", &variant);
        let Some(order) = self.order(&variant) else {
            return self.handle(Command::Loaded(variant, Outcome::Refused));
        };
        self.spawn(|engine, _| async move {
            let outcome = orders::load(&engine, &order).await;
            Command::Loaded(variant, outcome)
        });
    }

    fn unload(&mut self, variant: Variant) {
        let Some(order) = self.order(&variant) else {
            return self.handle(Command::Unloaded(variant, Outcome::Refused));
        };
        self.record_load_event("unload ordered", &variant);
        let endpoint = self.entry.name.clone();
        self.spawn(|engine, node| async move {
            // The permit is checked again right before the order is sent, because this task may have
            // been paused in the meantime.
            let permit = lock(&node.ownership).permit(&endpoint, node.now());
            if !permit.is_some_and(|permit| permit.settled) {
                return Command::Unloaded(variant, Outcome::Refused);
            }
            let outcome = orders::unload(&engine, &order).await;
            Command::Unloaded(variant, outcome)
        });
    }

    fn order(&self, variant: &Variant) -> Option<EngineOrder> {
        let token = lock(&self.node.ownership).token(&self.entry.name)?;
        Some(EngineOrder {
            variant: Some(variant.clone()),
            token,
        })
    }

    fn announce(&mut self, variant: Variant) {
        let endpoint = self.entry.name.clone();
        let life = self.node.life.clone();
        let token = lock(&self.node.ownership)
            .token(&endpoint)
            .unwrap_or_default();
        let record = Record::Intent {
            endpoint,
            life,
            token,
            variant: variant.clone(),
        };
        self.spawn_detached(|node| async move {
            let appended = ownership::append(&node, vec![record.clone()]).await;
            if appended.is_err_and(|error| error.had_no_effect()) {
                // The record will never appear in the stream, so the scheduler is notified here.
                let endpoint = record.endpoint().clone();
                let command = Command::Announced(variant, false);
                node.endpoint_tasks.send(&endpoint, command).await;
            }
        });
    }

    pub(super) fn log_outcome(&mut self, variant: Variant) {
        let record = Record::Outcome {
            endpoint: self.entry.name.clone(),
            life: self.node.life.clone(),
            variant,
        };
        self.spawn_detached(|node| async move {
            // Errors are ignored: without this record a successor waits until this process has quit
            // the endpoint or ended.
            let _ = ownership::append(&node, vec![record]).await;
        });
    }

    /// Signals that the endpoint may be released, once no unload can take effect any more.
    pub(super) fn notify_closed(&mut self) {
        if !self.close_waiters.is_empty() && !self.scheduler.has_pending_unloads() {
            for closed in self.close_waiters.drain(..) {
                let _ = closed.send(());
            }
        }
    }

    /// Appends [`Record::Quit`] for successors, once no request or order of this process is running on
    /// the endpoint or in flight.
    pub(super) fn log_quit(&mut self) {
        let owner = lock(&self.node.ownership).owner(&self.entry.name).cloned();
        let released = owner.is_none_or(|owner| owner != self.node.life);
        if !self.tenure.try_settle(self.scheduler.is_idle(), released) {
            return;
        }
        let record = Record::Quit {
            endpoint: self.entry.name.clone(),
            life: self.node.life.clone(),
        };
        self.spawn_detached(
            |node| async move { ownership::append_with_retry(&node, record).await },
        );
    }

    pub(super) fn record_load_event(&self, what: &str, variant: &Variant) {
        let event = Event::new(Kind::Load, format!("{what} ({variant})"));
        let event = event.adapter(&variant.adapter).endpoint(&self.entry.name);
        self.node.record(event);
    }

    /// Runs `work` concurrently and sends its result to this task as a command.
    pub(super) fn spawn<F, W>(&self, work: W)
    where
        W: FnOnce(Engine, Arc<Node>) -> F,
        F: Future<Output = Command> + Send + 'static,
    {
        // If all senders are gone, this task is ending and must start no more work.
        let Some(own_commands) = self.own_commands.upgrade() else {
            return;
        };
        let work = work(self.engine.clone(), Arc::clone(&self.node));
        tokio::spawn(async move {
            let command = work.await;
            let _ = own_commands.send(command).await;
        });
    }

    fn spawn_detached<F, W>(&self, work: W)
    where
        W: FnOnce(Arc<Node>) -> F,
        F: Future<Output = ()> + Send + 'static,
    {
        tokio::spawn(work(Arc::clone(&self.node)));
    }
}
