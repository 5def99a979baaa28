//! Hands a request to an endpoint and reads the head of its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use ploverwick_endpoints::Outcome;
use ploverwick_platform::answer::{self, Head, Statement};
use ploverwick_platform::request::{self, Addition};
use tokio::time::Instant;

use super::flight::Flight;
use super::identify::{self, Caller};
use super::place::{self, Target};
use super::reply::Reply;
use super::reuse;
use super::task::Task;
use crate::controllers::{crashes, draining, limits, pauses};
use crate::pool::{Connection, connect};
use crate::shared::Shared;

/// Less time than this is not worth an endpoint's work.
const LEAST_LEFT: Duration = Duration::from_millis(20);

/// How handing a request over ended.
#[derive(Debug)]
pub(crate) enum Sent {
    /// The endpoint answers.
    Answered(Box<Answered>),
    /// The endpoint states that it has not run the request.
    NotRun {
        /// It does not hold what the request names, or is another endpoint.
        misdirected: bool,
    },
    /// Its key is not valid any more, so that it was not sent.
    Revoked(Reply),
    /// No byte of it went anywhere.
    Unsent(String),
    /// It may have run.
    Lost(String),
    /// There was no answer in time; it may have run.
    Silent,
}

impl Sent {
    /// Returns the ending's name, for counters.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun { misdirected: true } => "misdirected",
            Self::NotRun { misdirected: false } => "refused",
            Self::Revoked(_) => "revoked",
            Self::Unsent(_) => "unsent",
            Self::Lost(_) => "lost",
            Self::Silent => "silent",
        }
    }
}

/// An answer whose head was read.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) parts: Parts,
    pub(crate) head: Head,
    pub(crate) body: Incoming,
    pub(crate) flight: Flight,
    pub(crate) connection: Connection,
}

/// Sends a request to its target.
///
/// `limit` bounds the wait for the head; `after_event` is the event after which a stream goes on.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    task: &Task,
    target: &Target,
    limit: Instant,
    after_event: Option<u64>,
) -> Sent {
    if task.left() < LEAST_LEFT {
        return Sent::Unsent("no time is left".to_owned());
    }
    let caller = match identify::again(shared, task) {
        Ok(caller) => caller,
        Err(reply) => return Sent::Revoked(reply),
    };
    let endpoint = &target.entry.id;
    let sent = shared.now();
    if shared.state().send_wait(endpoint, sent).is_some() {
        return Sent::Unsent("it takes no request from here now".to_owned());
    }
    let prompt = task.call.prompt_tokens;
    if let Some(charge) = &task.charge {
        charge.sent();
    }
    let mut flight = Flight::begin(shared, endpoint, target.copy.clone(), prompt);
    let begun = Instant::now();
    let message = write(task, target, &caller, after_event);
    let (connection, result) = match exchange(shared, task, target, limit, message).await {
        Exchange::Unsent(cause) => {
            not_run(task);
            flight.end(Outcome::Broken);
            return Sent::Unsent(cause);
        }
        Exchange::Silent => {
            flight.end(if is_taken_back(shared, target) {
                Outcome::Abandoned
            } else {
                Outcome::Broken
            });
            return Sent::Silent;
        }
        Exchange::Done(connection, result) => (connection, result),
    };
    let (parts, body) = match result {
        Ok(response) => response.into_parts(),
        Err(error) => {
            flight.end(Outcome::Broken);
            crashes::handle_broken_connection(shared, endpoint, task.suspect());
            return Sent::Lost(error.to_string());
        }
    };
    let head = answer::read(parts.status, &parts.headers, &task.call.id);
    if parts.status.is_success() {
        // Counted from the send and not from the client's request, which may have waited for a load.
        flight.latency(begun.elapsed());
    }
    if head.is_for_other_attempt {
        // An answer to an earlier request: where this one's begins cannot be told any more.
        flight.end(Outcome::Error);
        return Sent::Lost("the answer is another request's".to_owned());
    }
    limits::handle_answer(shared, endpoint, &task.call.id, &head, sent);
    let source = format_args!("answer id={}", task.call.id);
    draining::handle_answer(shared, endpoint, head.state, &source);
    pauses::handle_answer(shared, endpoint, &task.call.id, head.retry_after);
    if parts.status == StatusCode::SERVICE_UNAVAILABLE && shared.lines.allow(shared.now()) {
        spdlog::info!(
            "send_refused id={} endpoint={} statement={:?} retry_after={:?}",
            task.call.id,
            endpoint,
            head.statement,
            head.retry_after
        );
    }
    if head.statement != Statement::Nothing {
        not_run(task);
        let misdirected = head.statement == Statement::Misdirected;
        flight.end(if misdirected {
            Outcome::Abandoned
        } else {
            Outcome::Refused
        });
        reuse::drain(shared, endpoint, connection, head, body);
        return Sent::NotRun { misdirected };
    }
    Sent::Answered(Box::new(Answered {
        parts,
        head,
        body,
        flight,
        connection,
    }))
}

fn not_run(task: &Task) {
    if let Some(charge) = &task.charge {
        charge.not_run();
    }
}

enum Exchange {
    Unsent(String),
    Silent,
    Done(Connection, Result<Response<Incoming>, hyper::Error>),
}

async fn exchange(
    shared: &Shared,
    task: &Task,
    target: &Target,
    limit: Instant,
    mut message: Request<Full<Bytes>>,
) -> Exchange {
    // A kept connection may have closed unnoticed; then the request comes back unsent.
    let is_last = !task.route.kind.may_repeat();
    while let Some(mut connection) = shared.pool.take(&target.entry.id, is_last) {
        let send = connection.sender.try_send_request(message);
        match within(shared, target, limit, send).await {
            None => {
                if !is_taken_back(shared, target) {
                    // What silenced this connection may have silenced the others.
                    shared.pool.remove(&target.entry.id);
                }
                return Exchange::Silent;
            }
            Some(Ok(response)) => return Exchange::Done(connection, Ok(response)),
            Some(Err(mut failed)) => match failed.take_message() {
                Some(unsent) => message = unsent,
                None => return Exchange::Done(connection, Err(failed.into_error())),
            },
        }
    }
    let mut connection = match connect(target.entry.address).await {
        Ok(connection) => connection,
        Err(cause) => return Exchange::Unsent(cause),
    };
    let send = connection.sender.send_request(message);
    match within(shared, target, limit, send).await {
        None => Exchange::Silent,
        Some(result) => Exchange::Done(connection, result),
    }
}

/// Returns whether a request is not awaited any more because its version was replaced, which says nothing
/// of its endpoint.
fn is_taken_back(shared: &Shared, target: &Target) -> bool {
    let now = Instant::now();
    let copy = target.copy.as_ref();
    let declared = copy.and_then(|copy| place::begin_by(shared, copy));
    let limits = [target.begin_by, declared];
    limits.into_iter().flatten().any(|limit| limit <= now)
}

/// Waits for an answer to begin; returns `None` if it does not in time. A declaration that is heard of
/// meanwhile brings the limit forward: it may be older than the send.
async fn within<T>(
    shared: &Shared,
    target: &Target,
    limit: Instant,
    answer: impl Future<Output = T>,
) -> Option<T> {
    let Some(copy) = &target.copy else {
        return tokio::time::timeout_at(limit, answer).await.ok();
    };
    tokio::pin!(answer);
    loop {
        let declared = shared.declared.notified();
        let begin_by = place::begin_by(shared, copy).unwrap_or(limit);
        tokio::select! {
            got = &mut answer => return Some(got),
            () = tokio::time::sleep_until(limit.min(begin_by)) => return None,
            () = declared => {}
        }
    }
}

fn write(
    task: &Task,
    target: &Target,
    caller: &Caller,
    after_event: Option<u64>,
) -> Request<Full<Bytes>> {
    let addition = Addition {
        endpoint: &target.entry.id,
        caller: caller.told(),
        remaining: task.left(),
        version: target.copy.as_ref().map(|copy| copy.version),
        priority: task.call.model.is_some().then_some(task.terms.priority),
        after_event,
    };
    let mut message = Request::new(Full::new(task.body.clone()));
    *message.method_mut() = task.method.clone();
    *message.uri_mut() = task.target.clone();
    *message.headers_mut() = request::forward(&task.headers, &addition);
    message
}
