//! Sends a request and retries it until it is answered, as far as that is safe and allowed.

use std::sync::Arc;
use std::time::Duration;

use http::{Response, StatusCode};
use ploverwick_adapters::Since;
use ploverwick_codes::Code;
use ploverwick_endpoints::{Outcome, answer_timeout, brittle_answer_timeout};
use ploverwick_names::Moment;
use ploverwick_platform::answer::Head;
use ploverwick_platform::request::FirstAttempt;
use tokio::time::Instant;

use super::admitted_request::AdmittedRequest;
use super::answer_wait::AnswerWait;
use super::evidence_log;
use super::forward;
use super::intake;
use super::quarantine;
use super::reply::{Body, Reply};
use super::select::{self, Target};
use super::send::{self, Answered, SendOutcome};
use crate::metrics;
use crate::shared::Shared;

/// The number of refusing or unreachable endpoints after which a request fails.
const MAX_REFUSALS: u32 = 4;
/// The backoff after a refusal for lack of capacity, multiplied by the number of refusals so far.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(12);
/// The `Retry-After` if endpoints refused the request or the retry budget is exhausted.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(200);

/// The previous attempts of a request.
#[derive(Debug, Default)]
struct History {
    /// The number of sends that certainly did not run, including those that were never sent.
    refusals: u32,
    /// The endpoints that are not tried again.
    excluded: Vec<Arc<str>>,
    /// The last error answer of an endpoint, forwarded if no retry succeeds.
    error_response: Option<Response<Body>>,
    timings: Timings,
    last_send: Option<LastSend>,
}

/// The version and time limits of the last send, for the log.
#[derive(Debug, Clone, Copy)]
struct LastSend {
    version: Option<u64>,
    /// When the version was replaced by a newer one, as far as this instance knew.
    replaced_since: Option<Since>,
    /// When the request was sent, relative to the start of the process.
    sent_at: Moment,
    /// The maximum time to wait for the answer.
    timeout: Duration,
    /// The expected time until the answer starts.
    expected_wait: Duration,
}

impl std::fmt::Display for LastSend {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let version = self.version.unwrap_or_default();
        let timeout = self.timeout.as_millis();
        let expected = self.expected_wait.as_millis();
        let sent_at = self.sent_at.0;
        let replaced = match self.replaced_since {
            None => "-".to_owned(),
            Some(Since::LongAgo) => "long_ago".to_owned(),
            Some(Since::NotBefore(since)) => self.sent_at.since(since).as_millis().to_string(),
        };
        write!(
            f,
            "version={version} replaced_ms={replaced} sent_at={sent_at} limit_ms={timeout} expected_ms={expected}"
        )
    }
}

/// The time that a request has taken so far, by cause.
#[derive(Debug, Default, Clone, Copy)]
struct Timings {
    /// The time waiting for an endpoint that holds the adapter.
    placing: Duration,
    /// The time in sends that were retried, including the backoff after them.
    failed_sends: Duration,
    /// The time from the last send to the start of its answer.
    answering: Duration,
}

/// Serves an admitted request, with retries.
pub(crate) async fn run(shared: &Arc<Shared>, request: AdmittedRequest) -> Response<Body> {
    let request = Arc::new(request);
    let mut history = History::default();
    let mut replacement = None;
    loop {
        let may_have_run = !request.lock_evidence().sends().may_promise();
        if may_have_run && !quarantine::may_retry(shared, &request) {
            let reply = Reply::new(Code::Interrupted, "Endpoints crashed under the request.");
            return give_up(shared, &request, history, reply);
        }
        let selected = match replacement.take() {
            Some(target) => Ok(target),
            None => select_target(shared, &request, &mut history).await,
        };
        let target = match selected {
            Ok(target) => target,
            Err(reply) => return give_up(shared, &request, history, reply),
        };
        // The third crash may have been recorded while the request waited for its adapter.
        if let Some(refusal) = quarantine::refusal(shared, &request) {
            return give_up(shared, &request, history, refusal);
        }
        let mut wait = answer_wait(shared, &request, &target, &history);
        let begun = Instant::now();
        history.last_send = Some(LastSend {
            version: target.copy.as_ref().map(|copy| copy.version),
            replaced_since: target.replaced_since,
            sent_at: shared.now(),
            timeout: wait.check_at().saturating_duration_since(begun),
            expected_wait: target.expected_wait,
        });
        let outcome = send::run(shared, &request, &target, &mut wait, None).await;
        replacement = wait.into_replacement();
        history.timings.answering = begun.elapsed();
        match handle_outcome(shared, &request, &target, &mut history, outcome).await {
            NextStep::Respond(response) => return response,
            NextStep::Retry(backoff) => {
                tokio::time::sleep(backoff).await;
                history.timings.failed_sends += begun.elapsed();
            }
            NextStep::GiveUp(reply) => return give_up(shared, &request, history, reply),
        }
    }
}

/// Selects an endpoint, and charges the retry budget if the request was sent before.
async fn select_target(
    shared: &Arc<Shared>,
    request: &AdmittedRequest,
    history: &mut History,
) -> Result<Target, Reply> {
    let begun = Instant::now();
    let selection = select::run(shared, request, &history.excluded);
    let has_certainly_not_run = request.lock_evidence().sends().may_promise();
    let selected = if has_certainly_not_run {
        intake::bounded(shared, selection).await
    } else {
        selection.await
    };
    history.timings.placing += begun.elapsed();
    let target = selected?;
    let was_written = request.lock_evidence().sends().written() > 0;
    if was_written && !shared.may_retry(&request.info.id, &request.service) {
        let reply = Reply::new(Code::EndpointRefused, "No repeat is left in the budget.");
        return Err(reply.retry_after(REFUSED_RETRY_AFTER));
    }
    Ok(target)
}

enum NextStep {
    Respond(Response<Body>),
    Retry(Duration),
    GiveUp(Reply),
}

/// Decides the next step from the outcome of a send.
async fn handle_outcome(
    shared: &Arc<Shared>,
    request: &Arc<AdmittedRequest>,
    target: &Target,
    history: &mut History,
    outcome: SendOutcome,
) -> NextStep {
    metrics::send(outcome.name());
    match outcome {
        SendOutcome::Revoked(reply) => NextStep::GiveUp(reply),
        SendOutcome::Unsent(cause) => {
            history.refusals += 1;
            history.excluded.push(Arc::clone(&target.entry.id));
            retry_refused(history, &cause, Duration::ZERO)
        }
        SendOutcome::NotRun { misdirected } => {
            if misdirected {
                // This corrects the directory, so it does not count as a refusal: after a crash,
                // every entry for the adapter may be stale.
                if target.copy.is_none() {
                    history.excluded.push(Arc::clone(&target.entry.id));
                }
                return NextStep::Retry(Duration::ZERO);
            }
            history.refusals += 1;
            retry_refused(history, "no room", REFUSAL_BACKOFF * history.refusals)
        }
        SendOutcome::Lost(cause) => retry_lost(request, target, history, &cause),
        SendOutcome::Withdrawn => {
            let detail = "Endpoints crashed under it elsewhere.";
            NextStep::GiveUp(Reply::new(Code::Interrupted, detail))
        }
        SendOutcome::TimedOut => {
            if request.remaining().is_zero() {
                return NextStep::GiveUp(Reply::new(Code::DeadlineWhileRunning, ""));
            }
            retry_lost(request, target, history, "no answer in time")
        }
        SendOutcome::Answered(answered) => {
            handle_answer(shared, request, target, history, *answered).await
        }
    }
}

async fn handle_answer(
    shared: &Arc<Shared>,
    request: &Arc<AdmittedRequest>,
    target: &Target,
    history: &mut History,
    mut answered: Answered,
) -> NextStep {
    let status = answered.parts.status;
    let head = answered.head.clone();
    if status.is_success() && !answered.head.is_signed {
        answered.in_flight.set_outcome(Outcome::Broken);
        return retry_lost(request, target, history, "an answer without a signature");
    }
    if status.is_success() && request.route.kind.is_stream() {
        log_answered(shared, request, target, history, status, &head);
        let excluded = std::mem::take(&mut history.excluded);
        let response = forward::event_stream(shared, request, answered, excluded);
        return NextStep::Respond(response);
    }
    let response = match forward::whole(shared, request, answered).await {
        Ok(response) => response,
        Err(cause) => return retry_lost(request, target, history, &cause),
    };
    if status.is_success() {
        quarantine::handle_success(shared, request, &target.entry, head.framing);
    }
    let is_failure = status.is_server_error();
    if is_failure && may_retry(request) {
        history.excluded.push(Arc::clone(&target.entry.id));
        history.error_response = Some(response);
        return NextStep::Retry(Duration::ZERO);
    }
    log_answered(shared, request, target, history, status, &head);
    NextStep::Respond(response)
}

fn retry_refused(history: &History, cause: &str, backoff: Duration) -> NextStep {
    if history.refusals < MAX_REFUSALS {
        return NextStep::Retry(backoff);
    }
    let reply = Reply::new(Code::EndpointRefused, cause);
    NextStep::GiveUp(reply.retry_after(REFUSED_RETRY_AFTER))
}

fn retry_lost(
    request: &AdmittedRequest,
    target: &Target,
    history: &mut History,
    cause: &str,
) -> NextStep {
    history.excluded.push(Arc::clone(&target.entry.id));
    if may_retry(request) {
        return NextStep::Retry(Duration::ZERO);
    }
    NextStep::GiveUp(Reply::new(Code::Interrupted, cause))
}

/// Returns whether a request may be sent again after its sends so far.
fn may_retry(request: &AdmittedRequest) -> bool {
    may_run_again(request, request.lock_evidence().sends().runs())
}

/// Returns whether a request that may have run this many times may run once more.
fn may_run_again(request: &AdmittedRequest, runs: u32) -> bool {
    request.route.kind.may_retry() && runs < request.route.max_attempts
}

/// Returns how long the head of an answer is awaited. If the request may be retried, another endpoint is sought once
/// the answer is late.
fn answer_wait<'a>(
    shared: &'a Arc<Shared>,
    request: &'a AdmittedRequest,
    target: &Target,
    history: &History,
) -> AnswerWait<'a> {
    let end = target
        .start_deadline
        .unwrap_or(request.deadline)
        .min(request.deadline);
    let wait = AnswerWait::until(end);
    let runs_after = request.lock_evidence().sends().runs() + 1;
    if !may_run_again(request, runs_after) {
        return wait;
    }
    let now = shared.now();
    let is_brittle = shared.state().brittleness.is_brittle(&request.service, now);
    let objective = request.route.objective;
    let timeout = if is_brittle {
        brittle_answer_timeout(objective)
    } else {
        answer_timeout(objective, target.expected_wait)
    };
    let late = Instant::now() + timeout;
    let mut tried = history.excluded.clone();
    tried.push(Arc::clone(&target.entry.id));
    wait.replaceable_from(late, shared, request, tried)
}

fn give_up(
    shared: &Shared,
    request: &AdmittedRequest,
    history: History,
    reply: Reply,
) -> Response<Body> {
    // Once a send may have run, the reply must not state that the request did not run.
    let sends = request.lock_evidence().sends();
    let reply = if sends.may_promise() || reply.code.class() != ploverwick_codes::Class::NotRun {
        reply
    } else {
        Reply::new(Code::Interrupted, reply.detail)
    };
    if shared.log_limiter.allow(shared.now()) {
        spdlog::info!(
            "request_failed id={} route={} service={} config={} adapter={} sent={} runs={} refusals={} except={:?} {} code={} detail=\"{}\" left_ms={} placing_ms={} in_vain_ms={} ms={}",
            request.info.id,
            request.route.name,
            request.service,
            request.config_version,
            format_adapter(request),
            sends.written(),
            sends.runs(),
            history.refusals,
            history.excluded,
            format_last_send(&history),
            reply.code,
            reply.detail,
            request.remaining().as_millis(),
            history.timings.placing.as_millis(),
            history.timings.failed_sends.as_millis(),
            request.received.elapsed().as_millis()
        );
    }
    let response = history
        .error_response
        .unwrap_or_else(|| reply.into_response());
    evidence_log::log(shared, request, response.status());
    response
}

fn format_adapter(request: &AdmittedRequest) -> String {
    let adapter = request.info.adapter.as_ref();
    adapter.map_or_else(|| "-".to_owned(), ToString::to_string)
}

/// Formats the attempt that began the stream which a request takes up again.
fn format_resumed(request: &AdmittedRequest) -> String {
    match &request.info.first_attempt {
        FirstAttempt::Named(id) => format!("{id:?}"),
        FirstAttempt::Malformed => "malformed".to_owned(),
        FirstAttempt::Unnamed => "-".to_owned(),
    }
}

fn format_last_event(request: &AdmittedRequest) -> String {
    let event = request.info.last_event;
    event.map_or_else(|| "-".to_owned(), |event| event.to_string())
}

fn format_last_send(history: &History) -> String {
    let last_send = history.last_send.as_ref();
    last_send.map_or_else(|| "version=0".to_owned(), ToString::to_string)
}

fn log_answered(
    shared: &Shared,
    request: &AdmittedRequest,
    target: &Target,
    history: &History,
    status: StatusCode,
    head: &Head,
) {
    evidence_log::log(shared, request, status);
    if shared.log_limiter.allow(shared.now()) {
        spdlog::info!(
            "request_answered id={} resumes={} after_event={} route={} config={} adapter={} {} endpoint={} software={} domain={} cost={:.1} prompt={} load={} reading={} limit={:?} state={:?} framing={} sent={} status={} placing_ms={} in_vain_ms={} answering_ms={} ms={}",
            request.info.id,
            format_resumed(request),
            format_last_event(request),
            request.route.name,
            request.config_version,
            format_adapter(request),
            format_last_send(history),
            target.entry.id,
            target.entry.software,
            target.entry.domain,
            target.cost.0,
            request.info.prompt_tokens,
            target.load.requests,
            target.load.unread_tokens,
            shared.state().limits.get(&target.entry.id),
            head.state,
            head.framing.name(),
            request.lock_evidence().sends().written(),
            status.as_u16(),
            history.timings.placing.as_millis(),
            history.timings.failed_sends.as_millis(),
            history.timings.answering.as_millis(),
            request.received.elapsed().as_millis()
        );
    }
}
