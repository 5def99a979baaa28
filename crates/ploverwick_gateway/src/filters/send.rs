//! Sends a request to an endpoint and reads the head of its answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use ploverwick_endpoints::execution::{Execution, Sighting, Status};
use ploverwick_endpoints::{Echo, Entry, Evidence, Outcome};
use ploverwick_names::Moment;
use ploverwick_platform::answer::{self, Head};
use ploverwick_platform::request::{self, Addition};
use ploverwick_quarantine::prompt::Knowledge;
use tokio::time::Instant;

use super::admitted_request::AdmittedRequest;
use super::answer_wait::AnswerWait;
use super::authenticate::{self, Caller};
use super::in_flight::InFlight;
use super::quarantine;
use super::reply::Reply;
use super::reuse;
use super::select::{self, Target};
use super::send_evidence::{SeenAnswer, SeenSend};
use crate::controllers::{brittleness, crashes, draining, limits, pauses, reachability};
use crate::metrics;
use crate::pool::{Connection, Pool};
use crate::shared::Shared;

/// The remaining time below which a request is not sent, as the endpoint's work would be wasted.
const MIN_REMAINING: Duration = Duration::from_millis(20);
/// How long a connection that the deadline cuts short must have been awaited to count against the endpoint.
const SLOW_CONNECT: Duration = Duration::from_millis(100);

/// The outcome of sending a request.
#[derive(Debug)]
pub(crate) enum SendOutcome {
    /// The endpoint answered.
    Answered(Box<Answered>),
    /// The endpoint stated that it has not run the request.
    NotRun {
        /// Whether the endpoint does not hold what the request names, or is a different endpoint than addressed.
        misdirected: bool,
    },
    /// The request was not sent because its key is no longer valid.
    Revoked(Reply),
    /// Nothing was sent.
    Unsent(String),
    /// The connection failed or the answer was invalid. The request may have run.
    Lost(String),
    /// The answer did not start in time. The request may have run.
    TimedOut,
    /// Endpoints crashed on the request, or on a part of its prompt, while it was awaited elsewhere. It may have run.
    Withdrawn,
}

impl SendOutcome {
    /// Returns the outcome's name, as used in metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun { misdirected: true } => "misdirected",
            Self::NotRun { misdirected: false } => "refused",
            Self::Revoked(_) => "revoked",
            Self::Unsent(_) => "unsent",
            Self::Lost(_) => "lost",
            Self::TimedOut => "silent",
            Self::Withdrawn => "withdrawn",
        }
    }
}

/// An answer whose head has been read.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) parts: Parts,
    pub(crate) head: Head,
    /// The endpoint, as listed when the request was sent.
    pub(crate) entry: Entry,
    pub(crate) body: Incoming,
    pub(crate) in_flight: InFlight,
    pub(crate) connection: Connection,
    /// What was known of the parts of the prompt when the answer began.
    pub(crate) known: Knowledge,
}

/// Sends a request to its target.
///
/// `wait` bounds the wait for the head of the answer. `after_event` is the event after which a stream resumes.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    request: &AdmittedRequest,
    target: &Target,
    wait: &mut AnswerWait<'_>,
    after_event: Option<u64>,
) -> SendOutcome {
    request.lock_evidence().begin();
    let mut answer = None;
    let outcome = send(shared, request, target, wait, after_event, &mut answer).await;
    request.lock_evidence().end(SeenSend {
        endpoint: Arc::clone(&target.entry.id),
        sighting: match (&outcome, &answer) {
            (SendOutcome::Unsent(_) | SendOutcome::Revoked(_), _) => Sighting::Unwritten,
            (_, Some(seen)) => Sighting::Answered(seen.answer),
            (_, None) => Sighting::Unanswered,
        },
        answer,
        outcome: outcome.name(),
    });
    outcome
}

/// Sends a request. `seen` is set to what was seen of its answer, if there is one.
async fn send(
    shared: &Arc<Shared>,
    request: &AdmittedRequest,
    target: &Target,
    wait: &mut AnswerWait<'_>,
    after_event: Option<u64>,
    seen: &mut Option<SeenAnswer>,
) -> SendOutcome {
    if request.remaining() < MIN_REMAINING {
        return SendOutcome::Unsent("no time is left".to_owned());
    }
    let caller = match authenticate::revalidate(shared, request) {
        Ok(caller) => caller,
        Err(reply) => return SendOutcome::Revoked(reply),
    };
    let endpoint = &target.entry.id;
    let sent = shared.now();
    if shared.state().send_wait(endpoint, sent).is_some() {
        return SendOutcome::Unsent("it takes no request from here now".to_owned());
    }
    let prompt = request.info.prompt_tokens;
    let answer = request.info.expected_answer_tokens;
    let evidence = evidence(shared, request, &target.entry, sent);
    let in_flight = InFlight::start(shared, endpoint, target.copy.clone(), prompt, answer);
    let Some(mut in_flight) = in_flight else {
        return SendOutcome::Unsent("this instance has no slot of it".to_owned());
    };
    request.sends.fetch_add(1, Ordering::Relaxed);
    if let Some(charge) = &request.charge {
        charge.record_sent();
    }
    let known = quarantine::known(shared, request);
    let begun = Instant::now();
    let message = build_message(request, target, &caller, after_event);
    let (connection, result) = match exchange(shared, request, target, wait, message).await {
        Exchange::Unsent(cause, outcome) => {
            record_not_run(request);
            in_flight.set_outcome(outcome);
            return SendOutcome::Unsent(cause);
        }
        Exchange::TimedOut => {
            let is_late = wait.is_late() || is_past_start_deadline(shared, target);
            in_flight.set_outcome(if is_late {
                Outcome::Abandoned
            } else {
                Outcome::Broken
            });
            return SendOutcome::TimedOut;
        }
        Exchange::Withdrawn => {
            in_flight.set_outcome(Outcome::Abandoned);
            return SendOutcome::Withdrawn;
        }
        Exchange::Done(connection, result) => (*connection, result),
    };
    match result {
        Ok(response) => {
            let sent = Sent {
                in_flight,
                at: sent,
                begun,
                evidence,
            };
            handle_response(shared, request, target, sent, (connection, response), seen)
        }
        Err(error) => {
            reachability::handle_break(shared, &target.entry, &connection);
            in_flight.set_outcome(Outcome::Broken);
            crashes::handle_broken_connection(shared, endpoint, request.suspect(&known));
            SendOutcome::Lost(error.to_string())
        }
    }
}

/// A request that was sent.
struct Sent {
    in_flight: InFlight,
    at: Moment,
    begun: Instant,
    /// What this instance knew of the endpoint.
    evidence: Evidence,
}

/// Handles the head of an answer.
fn handle_response(
    shared: &Arc<Shared>,
    request: &AdmittedRequest,
    target: &Target,
    sent: Sent,
    (mut connection, response): (Connection, Response<Incoming>),
    seen: &mut Option<SeenAnswer>,
) -> SendOutcome {
    let Sent { mut in_flight, .. } = sent;
    let endpoint = &target.entry.id;
    let (parts, body) = response.into_parts();
    reachability::handle_answer(shared, &target.entry, &mut connection);
    let head = answer::read(parts.status, &parts.headers, &request.info.id);
    metrics::answer(head.echo, connection.exchanges);
    let is_resent = request.is_resent_on(connection.id);
    let seen = seen.insert(SeenAnswer::new(&connection, parts.status, &head, is_resent));
    let execution = Execution::of(Sighting::Answered(seen.answer));
    let is_named = !request.info.id.is_empty();
    if !connection.exchanges.owns(head.echo, is_named) {
        // The start of this request's answer is unknown.
        in_flight.set_outcome(Outcome::Error);
        if head.echo == Echo::Absent {
            shared.pool.mark_unnamed(endpoint);
            shared.relayed_pool.mark_unnamed(endpoint);
        }
        log_foreign_answer(
            shared,
            request,
            endpoint,
            &connection,
            parts.status,
            head.echo,
        );
        return SendOutcome::Lost("the answer may be another request's".to_owned());
    }
    connection.exchanges.record_answer(head.echo);
    if parts.status.is_success() && head.states_not_run {
        in_flight.set_outcome(Outcome::Error);
        return SendOutcome::Lost("a success states that the request was not run".to_owned());
    }
    if parts.status.is_success() {
        // Measure from the send, not from the client's request, which may have waited for an adapter load.
        in_flight.record_latency(sent.begun.elapsed());
    }
    handle_reports(
        shared,
        request,
        &target.entry,
        &connection,
        (parts.status, &head),
        sent.at,
    );
    if execution == Execution::NotRun
        && head.status == Status::Refusal
        && let Some(max_refusals) = head.max_refusals
    {
        let id = &request.info.id;
        brittleness::handle_refusal(shared, endpoint, id, &sent.evidence, max_refusals);
    }
    if execution == Execution::NotRun {
        let misdirected = handle_not_run(shared, request, target, &head);
        in_flight.set_not_run(misdirected);
        reuse::drain(shared, endpoint, connection, head, body);
        return SendOutcome::NotRun { misdirected };
    }
    SendOutcome::Answered(Box::new(Answered {
        parts,
        head,
        entry: target.entry.clone(),
        body,
        in_flight,
        connection,
        known: quarantine::known(shared, request),
    }))
}

/// Handles that an endpoint has not run a request. Returns whether the request was misdirected.
fn handle_not_run(
    shared: &Shared,
    request: &AdmittedRequest,
    target: &Target,
    head: &Head,
) -> bool {
    record_not_run(request);
    let misdirected = head.status == Status::Misdirected;
    if misdirected && let Some(copy) = &target.copy {
        // The directory is wrong: the endpoint does not hold the adapter.
        let endpoint = &target.entry.id;
        shared.state().directory.mark_unloaded(endpoint, copy);
    }
    misdirected
}

/// Returns what this instance knows of an endpoint to which it is about to send a request.
fn evidence(shared: &Shared, request: &AdmittedRequest, entry: &Entry, now: Moment) -> Evidence {
    let state = shared.state();
    Evidence {
        slots: entry.slots,
        own: state.fleet.own_load(&entry.id).requests,
        known: state.fleet.load(&entry.id, now).requests,
        age: state.fleet.peer_load_age(now),
        since_pause: state.pauses.since_end(&entry.id, now),
        earlier_sends: request.sends.load(Ordering::Relaxed),
    }
}

/// Handles what the head of an answer says of its endpoint; the request was sent at `sent`.
fn handle_reports(
    shared: &Shared,
    request: &AdmittedRequest,
    entry: &Entry,
    connection: &Connection,
    (status, head): (StatusCode, &Head),
    sent: Moment,
) {
    let (endpoint, id) = (&entry.id, &request.info.id);
    limits::handle_answer(shared, endpoint, id, head, sent);
    let source = format_args!("answer id={id}");
    draining::handle_answer(shared, endpoint, head.state, &source);
    pauses::handle_answer(shared, endpoint, id, head.retry_after);
    brittleness::handle_answer(shared, entry, head, sent);
    if status == StatusCode::SERVICE_UNAVAILABLE && shared.log_limiter.allow(shared.now()) {
        spdlog::info!(
            "send_refused id={} endpoint={} connection={} exchange={} echo={} sends={} states_not_run={} retry_after={:?}",
            id,
            endpoint,
            connection.id,
            connection.exchanges.begun(),
            head.echo.name(),
            request.sends.load(Ordering::Relaxed),
            head.states_not_run,
            head.retry_after
        );
    }
}

/// Logs an answer that is not taken for the answer to the request.
fn log_foreign_answer(
    shared: &Shared,
    request: &AdmittedRequest,
    endpoint: &str,
    connection: &Connection,
    status: StatusCode,
    echo: Echo,
) {
    if shared.log_limiter.allow(shared.now()) {
        spdlog::info!(
            "answer_foreign id={} endpoint={} connection={} exchange={} echo={} sends={} status={}",
            request.info.id,
            endpoint,
            connection.id,
            connection.exchanges.begun(),
            echo.name(),
            request.sends.load(Ordering::Relaxed),
            status.as_u16()
        );
    }
}

fn record_not_run(request: &AdmittedRequest) {
    if let Some(charge) = &request.charge {
        charge.record_not_run();
    }
}

enum Exchange {
    /// No connection was opened, for this cause and with this outcome for the endpoint.
    Unsent(String, Outcome),
    TimedOut,
    Withdrawn,
    Done(Box<Connection>, Result<Response<Incoming>, hyper::Error>),
}

async fn exchange(
    shared: &Arc<Shared>,
    request: &AdmittedRequest,
    target: &Target,
    wait: &mut AnswerWait<'_>,
    mut message: Request<Full<Bytes>>,
) -> Exchange {
    // A pooled connection may have been closed by the endpoint; hyper then returns the request unsent.
    let is_last = !request.route.kind.may_retry();
    let pool = reachability::pool(shared, &target.entry);
    while let Some(mut connection) = take_unused(request, pool, &target.entry.id, is_last) {
        connection.begin(&mut message);
        let send = connection.sender.try_send_request(message);
        let send = reachability::watch(shared, &target.entry, &connection, send);
        match wait_for_answer(shared, request, target, wait, send).await {
            Awaited::Withdrawn => return Exchange::Withdrawn,
            Awaited::Late => {
                if !is_past_start_deadline(shared, target) {
                    // The other pooled connections may be unresponsive for the same reason.
                    pool.remove(&target.entry.id);
                }
                return Exchange::TimedOut;
            }
            Awaited::Answer(Ok(response)) => {
                return Exchange::Done(Box::new(connection), Ok(response));
            }
            Awaited::Answer(Err(mut failed)) => match failed.take_message() {
                Some(unsent) => message = unsent,
                None => return Exchange::Done(Box::new(connection), Err(failed.into_error())),
            },
        }
    }
    let id = &request.info.id;
    let limit = request.remaining().saturating_sub(MIN_REMAINING);
    let opened = reachability::connect(shared, &target.entry, id);
    let mut connection = match tokio::time::timeout(limit, opened).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => return Exchange::Unsent(error.to_string(), Outcome::Broken),
        Err(_) => {
            let is_slow = limit >= SLOW_CONNECT;
            let outcome = if is_slow {
                Outcome::Broken
            } else {
                Outcome::Abandoned
            };
            return Exchange::Unsent("no time is left".to_owned(), outcome);
        }
    };
    request.lock_used_connections().push(connection.id);
    connection.begin(&mut message);
    let send = connection.sender.send_request(message);
    let send = reachability::watch(shared, &target.entry, &connection, send);
    match wait_for_answer(shared, request, target, wait, send).await {
        Awaited::Withdrawn => Exchange::Withdrawn,
        Awaited::Late => Exchange::TimedOut,
        Awaited::Answer(result) => Exchange::Done(Box::new(connection), result),
    }
}

/// Takes a connection on which the request was not sent yet from a pool. A request without an identifier takes none, as its
/// answer could not be distinguished from those to earlier requests.
fn take_unused(
    request: &AdmittedRequest,
    pool: &Pool,
    endpoint: &str,
    is_final: bool,
) -> Option<Connection> {
    if request.info.id.is_empty() {
        return None;
    }
    let mut used = request.lock_used_connections();
    let connection = pool.take(endpoint, is_final, &used)?;
    used.push(connection.id);
    Some(connection)
}

/// Returns whether a request was cancelled because its version was or may have been replaced. This does not
/// affect the health of the endpoint.
fn is_past_start_deadline(shared: &Shared, target: &Target) -> bool {
    let now = Instant::now();
    let copy = target.copy.as_ref();
    let declared = copy.and_then(|copy| select::start_deadline(shared, copy));
    let deadlines = [target.start_deadline, declared];
    deadlines
        .into_iter()
        .flatten()
        .any(|deadline| deadline <= now)
}

/// The end of the wait for an answer.
enum Awaited<T> {
    Answer(T),
    /// It is no longer awaited.
    Late,
    /// The request is refused by now.
    Withdrawn,
}

/// Waits for an answer to start. A version declaration received in the meantime moves the deadline forward, since the
/// version may have been declared before the request was sent. A request that crashes endpoints is withdrawn, since one
/// that is queued has not crashed this endpoint yet.
async fn wait_for_answer<T>(
    shared: &Shared,
    request: &AdmittedRequest,
    target: &Target,
    wait: &mut AnswerWait<'_>,
    answer: impl Future<Output = T>,
) -> Awaited<T> {
    tokio::pin!(answer);
    loop {
        let declared = shared.version_declared.notified();
        let refused = shared.refusal_added.notified();
        let copy = target.copy.as_ref();
        let start_deadline = copy.and_then(|copy| select::start_deadline(shared, copy));
        let check_at = wait.check_at();
        let wake_at = start_deadline.map_or(check_at, |deadline| deadline.min(check_at));
        tokio::select! {
            biased;
            answer = &mut answer => return Awaited::Answer(answer),
            () = tokio::time::sleep_until(wake_at) => {
                let is_replaced = start_deadline.is_some_and(|at| at <= Instant::now());
                if is_replaced || wait.is_over() {
                    return Awaited::Late;
                }
            }
            () = declared => {}
            () = refused => if quarantine::is_refused(shared, request) {
                return Awaited::Withdrawn;
            }
        }
    }
}

fn build_message(
    request: &AdmittedRequest,
    target: &Target,
    caller: &Caller,
    after_event: Option<u64>,
) -> Request<Full<Bytes>> {
    let addition = Addition {
        endpoint: &target.entry.id,
        caller: caller.for_endpoint(),
        remaining: request.remaining(),
        version: target.copy.as_ref().map(|copy| copy.version),
        priority: request
            .info
            .model
            .is_some()
            .then_some(request.terms.priority),
        after_event,
    };
    let mut message = Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.target.clone();
    *message.headers_mut() = request::forward(&request.headers, &addition);
    message
}
