//! Carries out what the machine of an endpoint decided.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::{Request, Variant};
use ploverwick_owner::endpoint::{Action, Outcome};
use ploverwick_owner::record::Record;
use ploverwick_ports::engine::{Engine, Order as EngineOrder};
use ploverwick_timeline::{Event, Kind};

use super::super::{orders, send};
use super::{Pending, Task};
use crate::commands::{Command, ending};
use crate::lock::lock;
use crate::node::Node;
use crate::ownership;

impl Task {
    pub(super) fn act_all(&mut self, actions: impl IntoIterator<Item = Action>) {
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
            Action::LogOutcome(variant) => self.settle(variant),
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
            let appended = ownership::append(&node, vec![record.clone()]).await;
            if appended.is_err_and(|fault| fault.had_no_effect()) {
                // The stream will not show it, so the machine has to be told.
                let endpoint = record.endpoint().clone();
                let command = Command::Announced(variant, false);
                node.owners.tell(&endpoint, command).await;
            }
        });
    }

    pub(super) fn settle(&mut self, variant: Variant) {
        let record = Record::Outcome {
            endpoint: self.entry.name.clone(),
            life: self.node.life.clone(),
            variant,
        };
        self.spawn_quiet(|node| async move {
            // Without this record a successor waits until this life has quit or ended.
            let _ = ownership::append(&node, vec![record]).await;
        });
    }

    /// Says that the endpoint may be released, once no unload can strike any more.
    pub(super) fn answer_closing(&mut self) {
        if !self.closing.is_empty() && !self.machine.has_pending_unloads() {
            for closed in self.closing.drain(..) {
                let _ = closed.send(());
            }
        }
    }

    /// Tells successors, once nothing of this life runs on the endpoint or is on its way to it.
    pub(super) fn quit(&mut self) {
        let owner = lock(&self.node.holds).owner(&self.entry.name).cloned();
        let released = owner.is_none_or(|owner| owner != self.node.life);
        if !self.tenure.try_settle(self.machine.is_idle(), released) {
            return;
        }
        let record = Record::Quit {
            endpoint: self.entry.name.clone(),
            life: self.node.life.clone(),
        };
        self.spawn_quiet(|node| async move { ownership::append_surely(&node, record).await });
    }

    pub(super) fn note_load(&self, what: &str, variant: &Variant) {
        let event = Event::new(Kind::Load, format!("{what} ({variant})"));
        let event = event.adapter(&variant.adapter).endpoint(&self.entry.name);
        self.node.record(event);
    }

    /// Runs `work` beside the task and takes its result as a command.
    pub(super) fn spawn<F, W>(&self, work: W)
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
