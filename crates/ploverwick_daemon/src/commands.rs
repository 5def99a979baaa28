//! What the tasks of endpoints are told, and the channels to them.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use ploverwick_codes::Code;
use ploverwick_names::{Endpoint, Incarnation, Request, Token, Variant};
use ploverwick_owner::endpoint::{Outcome, Report};
use ploverwick_wire::{End, Frame, Order, frame};
use tokio::sync::{mpsc, oneshot};

use crate::lock::lock;

/// How many commands may wait for a task.
const COMMANDS: usize = 1024;
/// How many frames may wait for a slow reader.
const FRAMES: usize = 64;

/// What an endpoint's task is told.
#[derive(Debug)]
pub(crate) enum Command {
    /// Run a request.
    Submit(Box<Order>, mpsc::Sender<Frame>),
    /// A sent attempt is over, and nothing of it runs.
    Finished(Request),
    /// A sent attempt is over here, and may still be running at the engine.
    Unsettled(Request),
    /// An unsettled attempt was not resumed in time.
    Settle(Request),
    /// The engine reported, or could not be asked.
    Reported(Option<Report>, bool),
    /// The engine, in its given life, has seen the token, or could not be asked.
    Fenced(Option<(Token, Incarnation)>),
    /// A load order ended.
    Loaded(Variant, Outcome),
    /// An unload order ended.
    Unloaded(Variant, Outcome),
    /// An announcement stands in the log; it is valid unless another's claim came first.
    Announced(Variant, bool),
    /// This daemon owns the endpoint now.
    Gained,
    /// Another daemon owns the endpoint now.
    Lost,
    /// Stop taking requests, and say when the endpoint may be released.
    Close(oneshot::Sender<()>),
}

/// The tasks of the endpoints that this daemon owns or owned.
#[derive(Debug, Default)]
pub(crate) struct Owners {
    tasks: Mutex<HashMap<Endpoint, mpsc::Sender<Command>>>,
}

impl Owners {
    /// Hands a request to an endpoint's task and returns the frames of its answer.
    pub(crate) async fn submit(&self, order: Order) -> mpsc::Receiver<Frame> {
        let (sender, frames) = mpsc::channel(FRAMES);
        let task = self.task(&order.endpoint);
        let refused = match task {
            Some(task) => {
                let command = Command::Submit(Box::new(order), sender.clone());
                task.send(command).await.is_err()
            }
            None => true,
        };
        if refused {
            // The channel is new and has room.
            let _ = sender.try_send(ending(
                Code::NotOwner,
                "the endpoint has no owner here",
                None,
            ));
        }
        frames
    }

    fn task(&self, endpoint: &str) -> Option<mpsc::Sender<Command>> {
        lock(&self.tasks).get(endpoint).cloned()
    }

    /// Tells an endpoint's task something; returns whether there is one.
    pub(crate) async fn tell(&self, endpoint: &Endpoint, command: Command) -> bool {
        match self.task(endpoint.as_str()) {
            Some(task) => task.send(command).await.is_ok(),
            None => false,
        }
    }

    /// Makes an endpoint's channel of commands, unless its task runs; the caller starts the task.
    pub(crate) fn open(
        &self,
        endpoint: &Endpoint,
    ) -> Option<(mpsc::WeakSender<Command>, mpsc::Receiver<Command>)> {
        let mut tasks = lock(&self.tasks);
        let runs = tasks.get(endpoint).is_some_and(|task| !task.is_closed());
        if runs {
            return None;
        }
        let (sender, commands) = mpsc::channel(COMMANDS);
        let weak = sender.downgrade();
        tasks.insert(endpoint.clone(), sender);
        Some((weak, commands))
    }

    /// Ends the tasks of endpoints that are not kept, once their requests are over.
    pub(crate) fn retain(&self, keep: impl Fn(&Endpoint) -> bool) {
        lock(&self.tasks).retain(|endpoint, _| keep(endpoint));
    }
}

/// Makes the frame that ends an answer.
pub(crate) fn ending(code: Code, message: &str, hint: Option<Duration>) -> Frame {
    let hint = hint.map_or(0, |hint| {
        u64::try_from(hint.as_millis()).unwrap_or(u64::MAX)
    });
    Frame {
        part: Some(frame::Part::End(End {
            code: u32::from(code.number()),
            message: message.to_owned(),
            retry_after_ms: hint,
            stamp: 0,
        })),
    }
}
