//! Relays a request to the owner of an endpoint, and its answer back.
//!
//! A request that certainly did not run is tried at the next endpoint. One that may have run is
//! tried again only if it is idempotent and the retry budget allows: anywhere while the caller has
//! nothing of the answer, and else only where the same run can be resumed.

pub(crate) mod frames;

use std::sync::Arc;
use std::time::Duration;

use ploverwick_codes::attempt::{Attempt, Refusal, Sent, Verdict};
use ploverwick_codes::{Class, Code};
use ploverwick_table::policy::DEFAULT_WEIGHT;
use ploverwick_timeline::{Event, Kind};
use ploverwick_wire::{End, Head as WireHead, Order, PROTOCOL, frame};

use crate::answer::{Head, Part, Sink};
use crate::chain::{Exchange, refuse, remaining};
use crate::lock::lock;
use crate::node::Node;
use crate::route::{Target, target, targets};
use frames::Frames;

/// The hint when no endpoint can take a request.
const NO_ENDPOINT_HINT: Duration = Duration::from_millis(500);
/// The pause before an interrupted run is resumed, for a new owner to be found.
const RESUME_PAUSE: Duration = Duration::from_millis(200);
/// How often an interrupted run is resumed.
const RESUMES: u32 = 8;

/// What the caller has of the answer.
#[derive(Debug, Default)]
struct Progress {
    head: bool,
    data: bool,
    last_event: u64,
}

/// How an attempt left the request.
enum Step {
    /// The request is over.
    Over(Verdict),
    /// The request did not run, or may be run again from the start.
    Elsewhere(Verdict),
    /// The caller has a part of the answer; the rest has to come from the same run.
    Resume(Verdict),
}

/// Relays a request until it is over. The sink gets the whole answer, its end included.
pub(crate) async fn relay(node: Arc<Node>, exchange: Exchange, sink: Sink) -> Verdict {
    let verdict = run(&node, &exchange, &sink).await;
    let event = Event::new(Kind::Request, format!("ends with {}", verdict.code()));
    node.record(
        event
            .request(&exchange.request)
            .adapter(&exchange.model.adapter),
    );
    log(&exchange, &verdict);
    // Nobody may be there to hear the end.
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
    lock(&node.retries).earn(requests.retries_per_100);
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
    .retry_after(NO_ENDPOINT_HINT);
    // What the caller is told: a later try's refusal takes nothing back of an earlier one.
    let mut told = last.clone();
    let targets = targets(node, &exchange.model, &variant, count);
    // The first endpoint gets a second chance after a break, for it may be the only one.
    for (index, target) in targets.iter().chain(targets.first()).enumerate() {
        let again = index == targets.len();
        if again && last.code().class() == Class::NotRun {
            break;
        }
        match attempt(node, exchange, target, &mut progress, sink).await {
            Step::Over(verdict) => return verdict.after(told),
            Step::Elsewhere(verdict) => {
                note(node, exchange, target, &verdict);
                told = verdict.clone().after(told);
                last = verdict;
            }
            Step::Resume(verdict) => {
                return resume(node, exchange, target, verdict, &mut progress, sink).await;
            }
        }
        if !may_go_on(node, exchange, &last) {
            break;
        }
    }
    told
}

/// Records how a try ended that did not end the request; the answer names one of them only.
fn note(node: &Node, exchange: &Exchange, target: &Target, verdict: &Verdict) {
    let what = format!("try at {} ends with {}", target.owner, verdict.code());
    let event = Event::new(Kind::Attempt, what).request(&exchange.request);
    node.record(event.endpoint(&target.endpoint));
}

/// Says whether a request may be tried at another endpoint.
fn may_go_on(node: &Node, exchange: &Exchange, verdict: &Verdict) -> bool {
    if verdict.code().class() == Class::NotRun {
        return true;
    }
    exchange.idempotent && lock(&node.retries).take()
}

/// Resumes a run whose answer broke off, at the same endpoint under whoever owns it.
async fn resume(
    node: &Arc<Node>,
    exchange: &Exchange,
    first: &Target,
    broken: Verdict,
    progress: &mut Progress,
    sink: &Sink,
) -> Verdict {
    let mut last = broken;
    for _ in 0..RESUMES {
        if remaining(node, exchange.deadline).is_zero() || !lock(&node.retries).take() {
            break;
        }
        tokio::time::sleep(RESUME_PAUSE).await;
        let Some(target) = target(node, &first.endpoint) else {
            continue;
        };
        let event = Event::new(
            Kind::Attempt,
            format!("resumes after {}", progress.last_event),
        );
        node.record(event.request(&exchange.request).endpoint(&target.endpoint));
        match attempt(node, exchange, &target, progress, sink).await {
            Step::Over(verdict) => return verdict,
            Step::Resume(verdict) => last = verdict,
            // The owner could not be reached or has just changed.
            Step::Elsewhere(verdict) if is_passing(verdict.code()) => {}
            Step::Elsewhere(verdict) => {
                let message = format!("cannot resume: {}", verdict.message());
                return Attempt::new().send().fail(Code::Interrupted, message);
            }
        }
    }
    last
}

/// Says whether a refusal passes once ownership has settled.
fn is_passing(code: Code) -> bool {
    matches!(
        code,
        Code::NotOwner | Code::PeerUnreachable | Code::NoEndpoint
    )
}

/// Says whether a request that was refused with this code may fit elsewhere.
fn fits_elsewhere(code: Code) -> bool {
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
) -> Step {
    let left = remaining(node, exchange.deadline);
    let unsent = Attempt::new();
    if left.is_zero() {
        let verdict = unsent.refuse(Code::DeadlineBeforeRun, "the deadline has passed");
        return Step::Over(over(progress, verdict));
    }
    let order = order(node, exchange, target, progress.last_event, left);
    let opened = tokio::time::timeout(left, Frames::open(node, target, order)).await;
    let mut frames = match opened {
        Ok(Ok(frames)) => frames,
        Err(_) => {
            // The owner may have taken the order before it fell silent.
            let message = format!("no word from owner {} before the deadline", target.owner);
            return Step::Over(unsent.send().fail(Code::DeadlineWhileRunning, message));
        }
        Ok(Err(cause)) => {
            let message = format!("owner {} of {}: {cause}", target.owner, target.endpoint);
            return Step::Elsewhere(unsent.refuse(Code::PeerUnreachable, message));
        }
    };
    let sent = unsent.send();
    let left = remaining(node, exchange.deadline);
    let received = tokio::time::timeout(left, receive(exchange, &mut frames, progress, sink));
    match received.await {
        Ok(Received::End(end)) => decide(exchange, progress, sent, &end),
        Ok(Received::Broken(cause)) => {
            let message = format!("link to {}: {cause}", target.owner);
            after_break(exchange, progress, sent.fail(Code::PeerLost, message))
        }
        Ok(Received::WrongModel(model)) => {
            let message = format!("{} answered as {model}", target.endpoint);
            after_break(exchange, progress, sent.fail(Code::WrongAdapter, message))
        }
        Ok(Received::Unwanted) => {
            Step::Over(sent.fail(Code::CancelledWhileRunning, "the caller left"))
        }
        Err(_) => {
            let message = "the deadline passed before the end of the answer";
            Step::Over(sent.fail(Code::DeadlineWhileRunning, message))
        }
    }
}

fn order(
    node: &Node,
    exchange: &Exchange,
    target: &Target,
    resume_after: u64,
    left: Duration,
) -> Order {
    Order {
        request: exchange.request.to_string(),
        endpoint: target.endpoint.to_string(),
        model: exchange.model.to_string(),
        path: exchange.path.clone(),
        body: exchange.body.clone(),
        priority: u32::from(exchange.priority.unwrap_or_default()),
        deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        idempotent: exchange.idempotent,
        resume_after,
        stream: exchange.stream,
        stamp: node.recorder.clock().tick().0,
        protocol: PROTOCOL,
        weight: exchange
            .terms
            .as_ref()
            .map_or(DEFAULT_WEIGHT, |terms| terms.weight),
    }
}

/// How the receiving of frames ended.
enum Received {
    End(End),
    Broken(String),
    WrongModel(String),
    Unwanted,
}

/// Passes frames on until the answer ends.
async fn receive(
    exchange: &Exchange,
    frames: &mut Frames,
    progress: &mut Progress,
    sink: &Sink,
) -> Received {
    loop {
        let next = tokio::select! {
            next = frames.next() => next,
            () = sink.unwanted() => return Received::Unwanted,
        };
        let part = match next {
            Ok(part) => part,
            Err(cause) => return Received::Broken(cause),
        };
        let sent = match part {
            frame::Part::Head(head) if head.model != exchange.model.to_string() => {
                return Received::WrongModel(head.model);
            }
            frame::Part::Head(head) => pass_head(head, progress, sink).await,
            frame::Part::Chunk(chunk) => {
                progress.data = true;
                progress.last_event = progress.last_event.max(chunk.last_event);
                sink.send(Part::Data(chunk.data, chunk.last_event)).await
            }
            frame::Part::End(end) => return Received::End(end),
        };
        if sent.is_err() {
            return Received::Unwanted;
        }
    }
}

/// Passes the head on, once: a resumed run sends it again.
async fn pass_head(
    head: WireHead,
    progress: &mut Progress,
    sink: &Sink,
) -> Result<(), crate::answer::Unwanted> {
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

/// Decides what follows from the owner's own word.
fn decide(exchange: &Exchange, progress: &Progress, sent: Attempt<Sent>, end: &End) -> Step {
    let number = u16::try_from(end.code).unwrap_or_default();
    let Some(code) = Code::from_number(number) else {
        let message = format!("the owner ended with unknown code {number}");
        return after_break(exchange, progress, sent.fail(Code::PeerLost, message));
    };
    if code == Code::Done {
        return Step::Over(sent.finish());
    }
    let hint = (end.retry_after_ms > 0).then(|| Duration::from_millis(end.retry_after_ms));
    match Refusal::decode(code, end.message.clone(), hint) {
        Some(refusal) if fits_elsewhere(code) => Step::Elsewhere(sent.refused(refusal)),
        Some(refusal) => Step::Over(over(progress, sent.refused(refusal))),
        None if code == Code::EndpointFailed => Step::Over(sent.fail(code, end.message.clone())),
        None => after_break(exchange, progress, sent.fail(code, end.message.clone())),
    }
}

/// Decides what follows when a request may have run and its answer is not whole.
fn after_break(exchange: &Exchange, progress: &Progress, verdict: Verdict) -> Step {
    if !exchange.idempotent {
        return Step::Over(verdict);
    }
    if !progress.data && exchange.resume_after == 0 {
        return Step::Elsewhere(verdict);
    }
    // Another run may word its answer differently; only this run's rest fits what the caller has.
    if exchange.stream && progress.last_event > 0 {
        return Step::Resume(verdict);
    }
    Step::Over(verdict)
}

/// Keeps "not run" from being said of a request of which the caller already has a part.
fn over(progress: &Progress, verdict: Verdict) -> Verdict {
    if progress.data && verdict.code().class() == Class::NotRun {
        let message = verdict.message().to_owned();
        return Attempt::new().send().fail(Code::Interrupted, message);
    }
    verdict
}
