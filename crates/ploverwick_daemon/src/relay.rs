//! Relays a request to the owner of an endpoint, and the response back to the caller.
//!
//! A request that certainly did not run is retried on the next endpoint. One that may have run is
//! retried only if it is idempotent and the retry budget permits: on any endpoint while the caller
//! has received no part of the response, and otherwise only by resuming the same run.

pub(crate) mod frames;

use std::sync::Arc;
use std::time::Duration;

use ploverwick_codes::attempt::{Attempt, Refusal, Sent, Verdict};
use ploverwick_codes::{Class, Code};
use ploverwick_table::policy::DEFAULT_WEIGHT;
use ploverwick_timeline::{Event, Kind};
use ploverwick_wire::{End, Head as WireHead, Order, PROTOCOL, frame};

use crate::chain::{Exchange, refuse, remaining};
use crate::lock::lock;
use crate::node::Node;
use crate::response::{Head, Part, Sink};
use crate::route::{Target, target, targets};
use frames::Frames;

/// The retry hint when no endpoint can accept a request.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The delay before an interrupted run is resumed, so that a new owner can take over.
const RESUME_DELAY: Duration = Duration::from_millis(200);
/// The maximum number of attempts to resume an interrupted run.
const MAX_RESUMES: u32 = 8;

/// The part of the response that the caller has received.
#[derive(Debug, Default)]
struct Progress {
    head: bool,
    data: bool,
    last_event: u64,
}

/// What follows from an attempt.
enum AttemptOutcome {
    /// The request has ended.
    Final(Verdict),
    /// The request did not run, or may be rerun from the start.
    RetryElsewhere(Verdict),
    /// The caller has received a part of the response; the rest must come from the same run.
    Resume(Verdict),
}

/// Relays a request until it ends. The sink receives the whole response, including its end.
pub(crate) async fn relay(node: Arc<Node>, exchange: Exchange, sink: Sink) -> Verdict {
    let verdict = run(&node, &exchange, &sink).await;
    let event = Event::new(Kind::Request, format!("ends with {}", verdict.code()));
    node.record(
        event
            .request(&exchange.request)
            .adapter(&exchange.model.adapter),
    );
    log(&exchange, &verdict);
    // The receiver may have disconnected.
    let _ = sink.send(Part::End(verdict.clone())).await;
    verdict
}

fn log(exchange: &Exchange, verdict: &Verdict) {
    let code = verdict.code();
    let request = exchange.request.as_str();
    let model = exchange.model.to_string();
    metrics::counter!("ploverwick_requests", "code" => code.name()).increment(1);
    match code.class() {
        Class::Ran => spdlog::debug!("request done", kv: { request, model }),
        Class::NotRun => spdlog::info!(
            "request not run: {}", verdict.message(),
            kv: { request, model, code = code.number() }
        ),
        Class::MayHaveRun => spdlog::warn!(
            "request may have run: {}", verdict.message(),
            kv: { request, model, code = code.number() }
        ),
    }
}

async fn run(node: &Arc<Node>, exchange: &Exchange, sink: &Sink) -> Verdict {
    let requests = &node.settings.requests;
    lock(&node.retry_budget).deposit(requests.retries_per_100);
    let Some(variant) = exchange.variant() else {
        return refuse(Code::VersionMissing, "no version is resolved");
    };
    let count = requests.attempts as usize;
    let mut progress = Progress {
        last_event: exchange.resume_after,
        ..Progress::default()
    };
    let mut last = refuse(
        Code::NoEndpoint,
        "no endpoint with a known owner serves the model",
    )
    .retry_after(NO_ENDPOINT_RETRY_AFTER);
    // The verdict for the caller. The refusal of a retry does not override an earlier attempt that
    // may have run.
    let mut combined = last.clone();
    let targets = targets(node, &exchange.model, &variant, count);
    // After an interruption the first endpoint is tried again, because it may be the only one.
    for (index, target) in targets.iter().chain(targets.first()).enumerate() {
        let is_second_try = index == targets.len();
        if is_second_try && last.code().class() == Class::NotRun {
            break;
        }
        match attempt(node, exchange, target, &mut progress, sink).await {
            AttemptOutcome::Final(verdict) => return verdict.after(combined),
            AttemptOutcome::RetryElsewhere(verdict) => {
                record_attempt(node, exchange, target, &verdict);
                combined = verdict.clone().after(combined);
                last = verdict;
            }
            AttemptOutcome::Resume(verdict) => {
                return resume(node, exchange, target, verdict, &mut progress, sink).await;
            }
        }
        if !may_retry(node, exchange, &last) {
            break;
        }
    }
    combined
}

/// Records the verdict of an attempt that did not end the request. The response contains the verdict
/// of only one attempt.
fn record_attempt(node: &Node, exchange: &Exchange, target: &Target, verdict: &Verdict) {
    let what = format!("try at {} ends with {}", target.owner, verdict.code());
    let event = Event::new(Kind::Attempt, what).request(&exchange.request);
    node.record(event.endpoint(&target.endpoint));
}

/// Returns whether a request may be retried on another endpoint.
fn may_retry(node: &Node, exchange: &Exchange, verdict: &Verdict) -> bool {
    if verdict.code().class() == Class::NotRun {
        return true;
    }
    exchange.idempotent && lock(&node.retry_budget).take()
}

/// Resumes an interrupted run on the same endpoint, through its current owner.
async fn resume(
    node: &Arc<Node>,
    exchange: &Exchange,
    first: &Target,
    interrupted: Verdict,
    progress: &mut Progress,
    sink: &Sink,
) -> Verdict {
    let mut last = interrupted;
    for _ in 0..MAX_RESUMES {
        if remaining(node, exchange.deadline).is_zero() || !lock(&node.retry_budget).take() {
            break;
        }
        tokio::time::sleep(RESUME_DELAY).await;
        let Some(target) = target(node, &first.endpoint) else {
            continue;
        };
        let event = Event::new(
            Kind::Attempt,
            format!("resumes after {}", progress.last_event),
        );
        node.record(event.request(&exchange.request).endpoint(&target.endpoint));
        match attempt(node, exchange, &target, progress, sink).await {
            AttemptOutcome::Final(verdict) => return verdict,
            AttemptOutcome::Resume(verdict) => last = verdict,
            // The owner is unreachable or has just changed.
            AttemptOutcome::RetryElsewhere(verdict) if is_transient(verdict.code()) => {}
            AttemptOutcome::RetryElsewhere(verdict) => {
                let message = format!("cannot resume: {}", verdict.message());
                return Attempt::new().send().fail(Code::Interrupted, message);
            }
        }
    }
    last
}

/// Returns whether a refusal is temporary while the endpoint's ownership changes.
fn is_transient(code: Code) -> bool {
    matches!(
        code,
        Code::NotOwner | Code::PeerUnreachable | Code::NoEndpoint
    )
}

/// Returns whether a request that was refused with this code may be accepted by another endpoint.
fn may_run_elsewhere(code: Code) -> bool {
    matches!(
        code,
        Code::Draining
            | Code::NoEndpoint
            | Code::Overloaded
            | Code::LoadFailed
            | Code::EndpointRefused
            | Code::NotOwner
            | Code::PeerUnreachable
    )
}

async fn attempt(
    node: &Arc<Node>,
    exchange: &Exchange,
    target: &Target,
    progress: &mut Progress,
    sink: &Sink,
) -> AttemptOutcome {
    let time_left = remaining(node, exchange.deadline);
    let unsent = Attempt::new();
    if time_left.is_zero() {
        let verdict = unsent.refuse(Code::DeadlineBeforeRun, "the deadline has passed");
        return AttemptOutcome::Final(final_verdict(progress, verdict));
    }
    let order = order(node, exchange, target, progress.last_event, time_left);
    let opened = tokio::time::timeout(time_left, Frames::open(node, target, order)).await;
    let mut frames = match opened {
        Ok(Ok(frames)) => frames,
        Err(_) => {
            // The owner may have received the order before it stopped responding.
            let message = format!("no word from owner {} before the deadline", target.owner);
            return AttemptOutcome::Final(unsent.send().fail(Code::DeadlineWhileRunning, message));
        }
        Ok(Err(cause)) => {
            let message = format!("owner {} of {}: {cause}", target.owner, target.endpoint);
            return AttemptOutcome::RetryElsewhere(unsent.refuse(Code::PeerUnreachable, message));
        }
    };
    let sent = unsent.send();
    let time_left = remaining(node, exchange.deadline);
    let received = tokio::time::timeout(time_left, receive(exchange, &mut frames, progress, sink));
    match received.await {
        Ok(Received::End(end)) => handle_end(exchange, progress, sent, &end),
        Ok(Received::Broken(cause)) => {
            let message = format!("link to {}: {cause}", target.owner);
            handle_interruption(exchange, progress, sent.fail(Code::PeerLost, message))
        }
        Ok(Received::WrongModel(model)) => {
            let message = format!("{} answered as {model}", target.endpoint);
            handle_interruption(exchange, progress, sent.fail(Code::WrongAdapter, message))
        }
        Ok(Received::Disconnected) => {
            AttemptOutcome::Final(sent.fail(Code::CancelledWhileRunning, "the caller left"))
        }
        Err(_) => {
            let message = "the deadline passed before the end of the answer";
            AttemptOutcome::Final(sent.fail(Code::DeadlineWhileRunning, message))
        }
    }
}

fn order(
    node: &Node,
    exchange: &Exchange,
    target: &Target,
    resume_after: u64,
    time_left: Duration,
) -> Order {
    Order {
        request: exchange.request.to_string(),
        endpoint: target.endpoint.to_string(),
        model: exchange.model.to_string(),
        path: exchange.path.clone(),
        body: exchange.body.clone(),
        priority: u32::from(exchange.priority.unwrap_or_default()),
        deadline_ms: u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX),
        idempotent: exchange.idempotent,
        resume_after,
        stream: exchange.stream,
        stamp: node.recorder.clock().tick().0,
        protocol: PROTOCOL,
        weight: exchange
            .policy
            .as_ref()
            .map_or(DEFAULT_WEIGHT, |policy| policy.weight),
    }
}

/// How receiving the frames of a response ended.
enum Received {
    End(End),
    Broken(String),
    WrongModel(String),
    Disconnected,
}

/// Forwards frames until the response ends.
async fn receive(
    exchange: &Exchange,
    frames: &mut Frames,
    progress: &mut Progress,
    sink: &Sink,
) -> Received {
    loop {
        let next = tokio::select! {
            next = frames.next() => next,
            () = sink.disconnected() => return Received::Disconnected,
        };
        let part = match next {
            Ok(part) => part,
            Err(cause) => return Received::Broken(cause),
        };
        let sent = match part {
            frame::Part::Head(head) if head.model != exchange.model.to_string() => {
                return Received::WrongModel(head.model);
            }
            frame::Part::Head(head) => forward_head(head, progress, sink).await,
            frame::Part::Chunk(chunk) => {
                progress.data = true;
                progress.last_event = progress.last_event.max(chunk.last_event);
                sink.send(Part::Data(chunk.data, chunk.last_event)).await
            }
            frame::Part::End(end) => return Received::End(end),
        };
        if sent.is_err() {
            return Received::Disconnected;
        }
    }
}

/// Forwards the head unless it was forwarded before: a resumed run sends it again.
async fn forward_head(
    head: WireHead,
    progress: &mut Progress,
    sink: &Sink,
) -> Result<(), crate::response::Disconnected> {
    if std::mem::replace(&mut progress.head, true) {
        return Ok(());
    }
    let head = Head {
        status: u16::try_from(head.status).unwrap_or_default(),
        content_type: head.content_type,
        model: Some(head.model),
    };
    sink.send(Part::Head(head)).await
}

/// Determines what follows from the end frame of the owner.
fn handle_end(
    exchange: &Exchange,
    progress: &Progress,
    sent: Attempt<Sent>,
    end: &End,
) -> AttemptOutcome {
    let number = u16::try_from(end.code).unwrap_or_default();
    let Some(code) = Code::from_number(number) else {
        let message = format!("the owner ended with unknown code {number}");
        return handle_interruption(exchange, progress, sent.fail(Code::PeerLost, message));
    };
    if code == Code::Done {
        return AttemptOutcome::Final(sent.finish());
    }
    let hint = (end.retry_after_ms > 0).then(|| Duration::from_millis(end.retry_after_ms));
    match Refusal::decode(code, end.message.clone(), hint) {
        Some(refusal) if may_run_elsewhere(code) => {
            AttemptOutcome::RetryElsewhere(sent.refused(refusal))
        }
        Some(refusal) => AttemptOutcome::Final(final_verdict(progress, sent.refused(refusal))),
        None if code == Code::EndpointFailed => {
            AttemptOutcome::Final(sent.fail(code, end.message.clone()))
        }
        None => handle_interruption(exchange, progress, sent.fail(code, end.message.clone())),
    }
}

/// Determines what follows when a request may have run and its response is incomplete.
fn handle_interruption(
    exchange: &Exchange,
    progress: &Progress,
    verdict: Verdict,
) -> AttemptOutcome {
    if !exchange.idempotent {
        return AttemptOutcome::Final(verdict);
    }
    if !progress.data && exchange.resume_after == 0 {
        return AttemptOutcome::RetryElsewhere(verdict);
    }
    // Another run may generate different text, so only the rest of this run matches what the caller
    // has received.
    if exchange.stream && progress.last_event > 0 {
        return AttemptOutcome::Resume(verdict);
    }
    AttemptOutcome::Final(verdict)
}

/// Replaces a verdict of class "not run" if the caller has already received a part of the response.
fn final_verdict(progress: &Progress, verdict: Verdict) -> Verdict {
    if progress.data && verdict.code().class() == Class::NotRun {
        let message = verdict.message().to_owned();
        return Attempt::new().send().fail(Code::Interrupted, message);
    }
    verdict
}
