//! Sends a request to an engine and passes its answer on as frames.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ploverwick_codes::attempt::{Attempt, Refusal, Sent, Verdict};
use ploverwick_codes::{Class, Code};
use ploverwick_names::{Endpoint, Token};
use ploverwick_ports::client::{CallError, read_body};
use ploverwick_ports::engine::{self, Engine};
use ploverwick_ports::{header, sse};
use ploverwick_timeline::{Event, Kind};
use ploverwick_wire::{Chunk, Frame, Head, Order, frame};
use tokio::sync::mpsc;

use crate::commands::ending;
use crate::node::Node;

/// The pause before a cancellation that was not confirmed is tried again.
const CANCEL_PAUSE: Duration = Duration::from_millis(500);

/// A request to send.
pub(super) struct Run {
    /// The request.
    pub(super) order: Order,
    /// Where its answer goes.
    pub(super) frames: mpsc::Sender<Frame>,
    /// The owner's token.
    pub(super) token: Token,
    /// The time left until the deadline.
    pub(super) deadline: Duration,
    /// The endpoint.
    pub(super) endpoint: Endpoint,
}

/// How the passing of an answer ended.
enum Passed {
    Whole,
    Broken(String),
    Unwanted,
}

/// Whether the engine is certainly done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum After {
    /// Nothing of it runs.
    Over,
    /// It may still be running, and uses its adapter as long as it does.
    Unsettled,
}

/// Runs a request and passes on every frame of its answer, the last one included.
pub(super) async fn run(node: &Node, engine: &Engine, run: Run) -> After {
    let verdict = match tokio::time::timeout(run.deadline, attempt(node, engine, &run)).await {
        Ok(verdict) => verdict,
        Err(_) => {
            let sent = Attempt::new().send();
            sent.fail(
                Code::DeadlineWhileRunning,
                "the deadline passed at the endpoint",
            )
        }
    };
    let code = verdict.code();
    note(node, &run, &format!("attempt ends with {code}"));
    let end = ending(code, verdict.message(), verdict.hint());
    // The entry may have left.
    let _ = run.frames.send(end).await;
    match code.class() {
        Class::NotRun | Class::Ran => After::Over,
        Class::MayHaveRun => After::Unsettled,
    }
}

/// Cancels a run and returns once the engine has confirmed that nothing of it runs.
pub(super) async fn settle(engine: &Engine, request: &str) {
    while let Err(fault) = engine.cancel(request).await {
        if matches!(fault, CallError::Refused { .. }) {
            return;
        }
        tokio::time::sleep(CANCEL_PAUSE).await;
    }
}

fn note(node: &Node, run: &Run, what: &str) {
    let event = Event::new(Kind::Attempt, what.to_owned()).endpoint(&run.endpoint);
    let event = match run.order.request.clone().try_into() {
        Ok(request) => event.request(&request),
        Err(_) => event,
    };
    node.record(event);
}

async fn attempt(node: &Node, engine: &Engine, run: &Run) -> Verdict {
    let unsent = Attempt::new();
    if run.frames.is_closed() && run.order.idempotent {
        return unsent.refuse(Code::Cancelled, "the caller left");
    }
    note(node, run, &format!("attempt sent, token {}", run.token));
    let order = &run.order;
    let request = engine::Run {
        path: order.path.clone(),
        request: order.request.clone(),
        model: order.model.clone(),
        body: order.body.clone(),
        priority: order.priority,
        resume_after: order.resume_after,
        token: run.token,
        stamp: node.recorder.clock().tick().0,
    };
    let answered = tokio::select! {
        answered = engine.run(&request) => answered,
        () = left(run) => {
            return unsent.send().fail(Code::CancelledWhileRunning, "the caller left");
        }
    };
    let response = match answered {
        Ok(response) => response,
        Err(fault @ CallError::Unreachable { .. }) => {
            return unsent.refuse(Code::EndpointRefused, fault.to_string());
        }
        Err(fault) => return unsent.send().fail(Code::Interrupted, fault.to_string()),
    };
    let sent = unsent.send();
    if !response.status().is_success() {
        return refused(engine, sent, response).await;
    }
    let echoed = text(&response, header::MODEL).to_owned();
    if echoed != order.model {
        let message = format!("asked for {}, answered as {echoed:?}", order.model);
        return sent.fail(Code::WrongAdapter, message);
    }
    match pass(response, echoed, run).await {
        Passed::Whole => sent.finish(),
        Passed::Broken(cause) => sent.fail(Code::Interrupted, cause),
        Passed::Unwanted => sent.fail(Code::CancelledWhileRunning, "the caller left"),
    }
}

/// Returns once the caller of a request that need not run to its end has left.
async fn left(run: &Run) {
    if run.order.idempotent {
        run.frames.closed().await;
    } else {
        std::future::pending::<()>().await;
    }
}

fn text<'a>(response: &'a Response<Incoming>, name: &str) -> &'a str {
    let value = response.headers().get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Tells an engine's refusal, which says that nothing ran, from a failed run.
async fn refused(engine: &Engine, sent: Attempt<Sent>, response: Response<Incoming>) -> Verdict {
    const HINT: Duration = Duration::from_millis(500);
    let not_run = text(&response, header::NOT_RUN) == "true";
    let status = response.status();
    let body = read_body(engine.address(), response.into_body()).await;
    let shown: String = String::from_utf8_lossy(&body.unwrap_or_default())
        .chars()
        .take(200)
        .collect();
    let message = format!("the endpoint answered {status}: {shown}");
    if !not_run {
        return sent.fail(Code::EndpointFailed, message);
    }
    let refusal = Refusal::decode(Code::EndpointRefused, message, Some(HINT));
    sent.refused(refusal.expect("the code is of class not run"))
}

async fn pass(response: Response<Incoming>, model: String, run: &Run) -> Passed {
    let incarnation = text(&response, header::INCARNATION)
        .parse()
        .unwrap_or_default();
    let head = Head {
        status: u32::from(response.status().as_u16()),
        content_type: text(&response, "content-type").to_owned(),
        model,
        incarnation,
    };
    if !push(run, frame::Part::Head(head)).await {
        return Passed::Unwanted;
    }
    let mut body = response.into_body();
    let mut splitter = run.order.stream.then(sse::Splitter::default);
    loop {
        let next = tokio::select! {
            next = body.frame() => next,
            () = left(run) => return Passed::Unwanted,
        };
        let bytes = match next {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(error)) => return Passed::Broken(error.to_string()),
            None => break,
        };
        let part = match &mut splitter {
            Some(splitter) => match splitter.push(&bytes) {
                Ok(Some(events)) => chunk(events.bytes, events.last_id),
                Ok(None) => continue,
                Err(error) => return Passed::Broken(error.to_string()),
            },
            None => chunk(bytes, 0),
        };
        if !push(run, part).await {
            return Passed::Unwanted;
        }
    }
    match splitter {
        Some(splitter) if splitter.pending() > 0 => {
            Passed::Broken("the stream ended inside an event".to_owned())
        }
        _ => Passed::Whole,
    }
}

fn chunk(data: Bytes, last_event: u64) -> frame::Part {
    frame::Part::Chunk(Chunk { data, last_event })
}

/// Passes a part on; returns whether the run goes on. A non-idempotent run goes on without
/// anybody to read it, since it must not be started again.
async fn push(run: &Run, part: frame::Part) -> bool {
    let sent = run.frames.send(Frame { part: Some(part) }).await;
    sent.is_ok() || !run.order.idempotent
}
