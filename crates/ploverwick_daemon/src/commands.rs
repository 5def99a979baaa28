//! Commands to the endpoint tasks, and the channels that carry them.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use ploverwick_codes::Code;
use ploverwick_names::{Endpoint, Incarnation, Request, Token, Variant};
use ploverwick_owner::endpoint::{Outcome, Report};
use ploverwick_wire::{End, Frame, Order, frame};
use tokio::sync::{mpsc, oneshot};

use crate::lock::lock;

/// The maximum number of commands queued for a task.
const COMMAND_CHANNEL_CAPACITY: usize = 1024;
/// The maximum number of frames queued for a slow reader.
const FRAME_CHANNEL_CAPACITY: usize = 64;

/// A command to an endpoint task.
#[derive(Debug)]
pub(crate) enum Command {
    /// Run a request.
    Submit(Box<Order>, mpsc::Sender<Frame>),
    /// A sent attempt has ended and is no longer running on the engine.
    Finished(Request),
    /// A sent attempt has ended here but may still be running on the engine.
    Unsettled(Request),
    /// The time to resume an unsettled attempt has expired.
    Settle(Request),
    /// The engine's report, or `None` if it could not be read, and whether the engine is leaving.
    Reported(Option<Report>, bool),
    /// The engine accepted the token in the given incarnation; `None` if the call failed.
    Fenced(Option<(Token, Incarnation)>),
    /// A load order has completed.
    Loaded(Variant, Outcome),
    /// An unload order has completed.
    Unloaded(Variant, Outcome),
    /// Whether an announced unload is in the log before any claim of another owner, and may
    /// therefore be executed.
    Announced(Variant, bool),
    /// This daemon now owns the endpoint.
    Gained,
    /// Another daemon now owns the endpoint.
    Lost,
    /// Stop accepting requests, and signal when the endpoint may be released.
    Close(oneshot::Sender<()>),
}

/// The tasks of the endpoints that this daemon owns or has owned.
#[derive(Debug, Default)]
pub(crate) struct EndpointTasks {
    tasks: Mutex<HashMap<Endpoint, mpsc::Sender<Command>>>,
}

impl EndpointTasks {
    /// Submits a request to an endpoint's task and returns the frames of the response.
    pub(crate) async fn submit(&self, order: Order) -> mpsc::Receiver<Frame> {
        let (sender, frames) = mpsc::channel(FRAME_CHANNEL_CAPACITY);
        let task = self.task(&order.endpoint);
        let refused = match task {
            Some(task) => {
                let command = Command::Submit(Box::new(order), sender.clone());
                task.send(command).await.is_err()
            }
            None => true,
        };
        if refused {
            // The channel is new, so it cannot be full.
            let _ = sender.try_send(end_frame(
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

    /// Sends a command to an endpoint's task; returns whether the task is running.
    pub(crate) async fn send(&self, endpoint: &Endpoint, command: Command) -> bool {
        match self.task(endpoint.as_str()) {
            Some(task) => task.send(command).await.is_ok(),
            None => false,
        }
    }

    /// Creates the command channel of an endpoint, or returns `None` if its task is running. The
    /// caller must start the task.
    pub(crate) fn open(
        &self,
        endpoint: &Endpoint,
    ) -> Option<(mpsc::WeakSender<Command>, mpsc::Receiver<Command>)> {
        let mut tasks = lock(&self.tasks);
        let runs = tasks.get(endpoint).is_some_and(|task| !task.is_closed());
        if runs {
            return None;
        }
        let (sender, commands) = mpsc::channel(COMMAND_CHANNEL_CAPACITY);
        let weak = sender.downgrade();
        tasks.insert(endpoint.clone(), sender);
        Some((weak, commands))
    }

    /// Closes the channels of the endpoints for which `keep` is false. Their tasks end once their
    /// requests have finished.
    pub(crate) fn retain(&self, keep: impl Fn(&Endpoint) -> bool) {
        lock(&self.tasks).retain(|endpoint, _| keep(endpoint));
    }
}

/// Creates the last frame of a response.
pub(crate) fn end_frame(code: Code, message: &str, hint: Option<Duration>) -> Frame {
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
