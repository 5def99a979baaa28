//! Sends a request to an engine and forwards its response as frames.

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
use ploverwick_ports::truncation::Detector;
use ploverwick_ports::{header, sse};
use ploverwick_timeline::{Event, Kind};
use ploverwick_wire::{Chunk, Frame, Head, Order, frame};
use tokio::sync::mpsc;

use crate::commands::end_frame;
use crate::node::Node;

/// The delay before an unconfirmed cancellation is retried.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A request to send.
pub(super) struct Run {
    pub(super) order: Order,
    /// The channel for the frames of the response.
    pub(super) frames: mpsc::Sender<Frame>,
    /// The owner's token.
    pub(super) token: Token,
    /// The time left until the deadline.
    pub(super) deadline: Duration,
    pub(super) endpoint: Endpoint,
}

/// How forwarding a response ended.
enum Forwarded {
    Complete,
    Interrupted(String),
    Disconnected,
}

/// Whether the engine may still be running a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EngineState {
    /// It is not running.
    Finished,
    /// It may still be running, and uses its adapter until it ends.
    Unsettled,
}

/// Runs a request and forwards all frames of its response, including the last one.
pub(super) async fn run(node: &Node, engine: &Engine, run: Run) -> EngineState {
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
    record_attempt(node, &run, &format!("attempt ends with {code}"));
    let end = end_frame(code, verdict.message(), verdict.hint());
    // The receiver may be gone.
    let _ = run.frames.send(end).await;
    match code.class() {
        Class::NotRun | Class::Ran => EngineState::Finished,
        Class::MayHaveRun => EngineState::Unsettled,
    }
}

/// Cancels a run, retrying until the engine has confirmed that it is not running.
pub(super) async fn cancel_until_confirmed(engine: &Engine, request: &str) {
    while let Err(error) = engine.cancel(request).await {
        if matches!(error, CallError::Refused { .. }) {
            return;
        }
        tokio::time::sleep(CANCEL_RETRY_DELAY).await;
    }
}

fn record_attempt(node: &Node, run: &Run, what: &str) {
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
    record_attempt(node, run, &format!("attempt sent, token {}", run.token));
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
    let result = tokio::select! {
        result = engine.run(&request) => result,
        () = caller_disconnected(run) => {
            return unsent.send().fail(Code::CancelledWhileRunning, "the caller left");
        }
    };
    let response = match result {
        Ok(response) => response,
        Err(error @ CallError::Unreachable { .. }) => {
            return unsent.refuse(Code::EndpointRefused, error.to_string());
        }
        Err(error) => return unsent.send().fail(Code::Interrupted, error.to_string()),
    };
    let sent = unsent.send();
    if !response.status().is_success() {
        return handle_error_status(engine, sent, response).await;
    }
    let echoed = header_text(&response, header::MODEL).to_owned();
    if echoed != order.model {
        let message = format!("asked for {}, answered as {echoed:?}", order.model);
        return sent.fail(Code::WrongAdapter, message);
    }
    match forward(response, echoed, run).await {
        Forwarded::Complete => sent.finish(),
        Forwarded::Interrupted(cause) => sent.fail(Code::Interrupted, cause),
        Forwarded::Disconnected => sent.fail(Code::CancelledWhileRunning, "the caller left"),
    }
}

/// Waits until the caller of an idempotent request has disconnected. Other requests must run to
/// their end, so for them it never returns.
async fn caller_disconnected(run: &Run) {
    if run.order.idempotent {
        run.frames.closed().await;
    } else {
        std::future::pending::<()>().await;
    }
}

fn header_text<'a>(response: &'a Response<Incoming>, name: &str) -> &'a str {
    let value = response.headers().get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Distinguishes a refusal by the engine, which confirms that nothing ran, from a failed run.
async fn handle_error_status(
    engine: &Engine,
    sent: Attempt<Sent>,
    response: Response<Incoming>,
) -> Verdict {
    const RETRY_AFTER: Duration = Duration::from_millis(500);
    let not_run = header_text(&response, header::NOT_RUN) == "true";
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
    let refusal = Refusal::decode(Code::EndpointRefused, message, Some(RETRY_AFTER));
    sent.refused(refusal.expect("the code is of class not run"))
}

async fn forward(response: Response<Incoming>, model: String, run: &Run) -> Forwarded {
    let incarnation = header_text(&response, header::INCARNATION)
        .parse()
        .unwrap_or_default();
    let head = Head {
        status: u32::from(response.status().as_u16()),
        content_type: header_text(&response, "content-type").to_owned(),
        model,
        incarnation,
    };
    if !push(run, frame::Part::Head(head)).await {
        return Forwarded::Disconnected;
    }
    let mut detector = Detector::new(&response, engine::STREAM_ENDS);
    let mut body = response.into_body();
    let mut splitter = run.order.stream.then(sse::Splitter::default);
    loop {
        let next = tokio::select! {
            next = body.frame() => next,
            () = caller_disconnected(run) => return Forwarded::Disconnected,
        };
        let bytes = match next {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(error)) => return Forwarded::Interrupted(error.to_string()),
            None => break,
        };
        detector.push(&bytes);
        let part = match &mut splitter {
            Some(splitter) => match splitter.push(&bytes) {
                Ok(Some(events)) => chunk(events.bytes, events.last_id),
                Ok(None) => continue,
                Err(error) => return Forwarded::Interrupted(error.to_string()),
            },
            None => chunk(bytes, 0),
        };
        if !push(run, part).await {
            return Forwarded::Disconnected;
        }
    }
    match splitter {
        Some(splitter) if splitter.pending() > 0 => {
            Forwarded::Interrupted("the stream ended inside an event".to_owned())
        }
        _ => match detector.finish() {
            Ok(()) => Forwarded::Complete,
            Err(error) => Forwarded::Interrupted(error.to_string()),
        },
    }
}

fn chunk(data: Bytes, last_event: u64) -> frame::Part {
    frame::Part::Chunk(Chunk { data, last_event })
}

/// Forwards a part; returns whether to continue the run. A non-idempotent run continues without a
/// reader, because it must not be started again.
async fn push(run: &Run, part: frame::Part) -> bool {
    let sent = run.frames.send(Frame { part: Some(part) }).await;
    sent.is_ok() || !run.order.idempotent
}
