//! Sends a request until it is answered, as often as is safe and allowed.

use std::sync::Arc;
use std::time::Duration;

use http::{Response, StatusCode};
use ploverwick_adapters::Since;
use ploverwick_codes::Code;
use ploverwick_endpoints::{Outcome, State as EndpointState, answer_timeout};
use ploverwick_names::Moment;
use tokio::time::Instant;

use super::place::{self, Target};
use super::quarantine;
use super::relay;
use super::reply::{Body, Reply};
use super::send::{self, Answered, Sent};
use super::task::Task;
use crate::metrics;
use crate::shared::Shared;

/// Endpoints that may refuse or be out of reach before a request is given up.
const MOST_REFUSALS: u32 = 4;
/// The pause after a refusal for want of room, for each one so far.
const PAUSE: Duration = Duration::from_millis(12);
/// When to come back after refusals.
const REFUSED: Duration = Duration::from_millis(200);
/// What became of a request so far.
#[derive(Debug, Default)]
struct History {
    /// Sends that reached an endpoint.
    sent: u32,
    /// Sends that may have run.
    runs: u32,
    /// Sends that certainly have not run, or never left.
    refusals: u32,
    /// Endpoints that are not tried again.
    except: Vec<Arc<str>>,
    /// A failure that an endpoint answered, to pass on if there is nothing better.
    answer: Option<Response<Body>>,
    /// Where the time went so far.
    spent: Spent,
    /// What the last send went out with.
    aim: Option<Aim>,
}

/// The version that a send names, and what bounds it; for the log.
#[derive(Debug, Clone, Copy)]
struct Aim {
    version: Option<u64>,
    /// Since when there had been a newer version, as far as this instance knew.
    replaced: Option<Since>,
    /// When it went out, counted from the start of the process.
    at: Moment,
    /// How long its answer was awaited at most.
    limit: Duration,
    /// How long its answer was expected to take to begin.
    expected: Duration,
}

impl std::fmt::Display for Aim {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let version = self.version.unwrap_or_default();
        let limit = self.limit.as_millis();
        let expected = self.expected.as_millis();
        let at = self.at.0;
        let replaced = match self.replaced {
            None => "-".to_owned(),
            Some(Since::LongAgo) => "long_ago".to_owned(),
            Some(Since::NotBefore(since)) => self.at.since(since).as_millis().to_string(),
        };
        write!(
            f,
            "version={version} replaced_ms={replaced} sent_at={at} limit_ms={limit} expected_ms={expected}"
        )
    }
}

/// The time that a request took up to now, by cause.
#[derive(Debug, Default, Clone, Copy)]
struct Spent {
    /// Waiting for an endpoint that holds the adapter.
    placing: Duration,
    /// In sends that brought no answer, and pauses after them.
    in_vain: Duration,
    /// In the last send, until its answer began.
    answering: Duration,
}

/// Serves an admitted request.
pub(crate) async fn run(shared: &Arc<Shared>, task: Task) -> Response<Body> {
    let task = Arc::new(task);
    let mut history = History::default();
    loop {
        if history.runs > 0 && !quarantine::may_repeat(shared, &task) {
            let reply = Reply::new(Code::Interrupted, "Endpoints crashed under the request.");
            return give_up(shared, &task, history, reply);
        }
        let begun = Instant::now();
        let placed = place::run(shared, &task, &history.except).await;
        history.spent.placing += begun.elapsed();
        let target = match placed {
            Ok(target) => target,
            Err(reply) => return give_up(shared, &task, history, reply),
        };
        if history.sent > 0 && !shared.may_retry(&task.call.id, &task.service) {
            let reply = Reply::new(Code::EndpointRefused, "No repeat is left in the budget.");
            return give_up(shared, &task, history, reply.retry_after(REFUSED));
        }
        // The third crash may have come while the request waited for its adapter.
        if let Some(refusal) = quarantine::refusal(shared, &task) {
            return give_up(shared, &task, history, refusal);
        }
        let limit = limit(&task, &target, &history);
        let begun = Instant::now();
        history.aim = Some(Aim {
            version: target.copy.as_ref().map(|copy| copy.version),
            replaced: target.replaced,
            at: shared.now(),
            limit: limit.saturating_duration_since(begun),
            expected: target.expected,
        });
        let sent = send::run(shared, &task, &target, limit, None).await;
        history.spent.answering = begun.elapsed();
        match settle(shared, &task, &target, &mut history, sent).await {
            Next::Answer(response) => return response,
            Next::Again(pause) => {
                tokio::time::sleep(pause).await;
                history.spent.in_vain += begun.elapsed();
            }
            Next::GiveUp(reply) => return give_up(shared, &task, history, reply),
        }
    }
}

enum Next {
    Answer(Response<Body>),
    Again(Duration),
    GiveUp(Reply),
}

/// Decides what follows from how a send ended.
async fn settle(
    shared: &Arc<Shared>,
    task: &Arc<Task>,
    target: &Target,
    history: &mut History,
    sent: Sent,
) -> Next {
    metrics::send(sent.name());
    match sent {
        Sent::Revoked(reply) => Next::GiveUp(reply),
        Sent::Unsent(cause) => {
            history.refusals += 1;
            history.except.push(Arc::clone(&target.entry.id));
            refused(history, &cause, Duration::ZERO)
        }
        Sent::NotRun { misdirected } => {
            history.sent += 1;
            if misdirected {
                // What was believed is mended by it, so that it does not count as a refusal: after
                // a crash all holders of an adapter may be stale.
                mislaid(shared, target, history);
                return Next::Again(Duration::ZERO);
            }
            history.refusals += 1;
            refused(history, "no room", PAUSE * history.refusals)
        }
        Sent::Lost(cause) => lost(task, target, history, &cause),
        Sent::Silent => {
            if task.left().is_zero() {
                return Next::GiveUp(Reply::new(Code::DeadlineWhileRunning, ""));
            }
            lost(task, target, history, "no answer in time")
        }
        Sent::Answered(answered) => answer(shared, task, target, history, *answered).await,
    }
}

async fn answer(
    shared: &Arc<Shared>,
    task: &Arc<Task>,
    target: &Target,
    history: &mut History,
    mut answered: Answered,
) -> Next {
    let status = answered.parts.status;
    let state = answered.head.state;
    if status.is_success() && !answered.head.is_signed {
        answered.flight.end(Outcome::Broken);
        return lost(task, target, history, "an answer without a signature");
    }
    if status.is_success() && task.route.kind.is_stream() {
        log(shared, task, target, history, status, state);
        let response = relay::stream(shared, task, target, answered, history.sent + 1);
        return Next::Answer(response);
    }
    let response = match relay::whole(shared, task, answered).await {
        Ok(response) => response,
        Err(cause) => return lost(task, target, history, &cause),
    };
    if status.is_success() {
        quarantine::ended_well(shared, task);
    }
    let is_failure = status.is_server_error();
    if is_failure && may_run_again(task, history.runs + 1) {
        history.sent += 1;
        history.runs += 1;
        history.except.push(Arc::clone(&target.entry.id));
        history.answer = Some(response);
        return Next::Again(Duration::ZERO);
    }
    log(shared, task, target, history, status, state);
    Next::Answer(response)
}

fn refused(history: &History, cause: &str, pause: Duration) -> Next {
    if history.refusals < MOST_REFUSALS {
        return Next::Again(pause);
    }
    let reply = Reply::new(Code::EndpointRefused, cause);
    Next::GiveUp(reply.retry_after(REFUSED))
}

fn lost(task: &Task, target: &Target, history: &mut History, cause: &str) -> Next {
    history.sent += 1;
    history.runs += 1;
    history.except.push(Arc::clone(&target.entry.id));
    if may_run_again(task, history.runs) {
        return Next::Again(Duration::ZERO);
    }
    Next::GiveUp(Reply::new(Code::Interrupted, cause))
}

fn may_run_again(task: &Task, runs: u32) -> bool {
    task.route.kind.may_repeat() && runs < task.route.max_attempts
}

/// An endpoint does not hold what the directory says, or nothing is known of what it holds.
fn mislaid(shared: &Shared, target: &Target, history: &mut History) {
    match &target.copy {
        Some(copy) => {
            let mut state = shared.state();
            state.directory.mark_unloaded(&target.entry.id, copy);
        }
        None => history.except.push(Arc::clone(&target.entry.id)),
    }
}

/// Returns until when the head of an answer is awaited: to the end, unless another try may follow or
/// the adapter's version may be replaced meanwhile.
fn limit(task: &Task, target: &Target, history: &History) -> Instant {
    let last = target.begin_by.unwrap_or(task.deadline).min(task.deadline);
    if !may_run_again(task, history.runs + 1) {
        return last;
    }
    let patience = answer_timeout(task.route.objective, target.expected);
    (Instant::now() + patience).min(last)
}

fn give_up(shared: &Shared, task: &Task, history: History, reply: Reply) -> Response<Body> {
    // Once a send may have run, only an answer that promises nothing is true.
    let reply = if history.runs == 0 || reply.code.class() != ploverwick_codes::Class::NotRun {
        reply
    } else {
        Reply::new(Code::Interrupted, reply.detail)
    };
    if shared.log_limiter.allow(shared.now()) {
        spdlog::info!(
            "request_failed id={} route={} service={} config={} adapter={} sent={} runs={} refusals={} except={:?} {} code={} detail=\"{}\" left_ms={} placing_ms={} in_vain_ms={} ms={}",
            task.call.id,
            task.route.name,
            task.service,
            task.config,
            adapter(task),
            history.sent,
            history.runs,
            history.refusals,
            history.except,
            aim(&history),
            reply.code,
            reply.detail,
            task.left().as_millis(),
            history.spent.placing.as_millis(),
            history.spent.in_vain.as_millis(),
            task.received.elapsed().as_millis()
        );
    }
    history.answer.unwrap_or_else(|| reply.into_response())
}

fn adapter(task: &Task) -> String {
    let adapter = task.call.adapter.as_ref();
    adapter.map_or_else(|| "-".to_owned(), ToString::to_string)
}

fn aim(history: &History) -> String {
    let aim = history.aim.as_ref();
    aim.map_or_else(|| "version=0".to_owned(), ToString::to_string)
}

fn log(
    shared: &Shared,
    task: &Task,
    target: &Target,
    history: &History,
    status: StatusCode,
    state: EndpointState,
) {
    if shared.log_limiter.allow(shared.now()) {
        spdlog::info!(
            "request_answered id={} route={} config={} adapter={} {} endpoint={} domain={} cost={:.1} prompt={} load={} reading={} limit={:?} state={:?} sent={} status={} placing_ms={} in_vain_ms={} answering_ms={} ms={}",
            task.call.id,
            task.route.name,
            task.config,
            adapter(task),
            aim(history),
            target.entry.id,
            target.entry.domain,
            target.cost.0,
            task.call.prompt_tokens,
            target.load.requests,
            target.load.reading,
            shared.state().limits.get(&target.entry.id),
            state,
            history.sent + 1,
            status.as_u16(),
            history.spent.placing.as_millis(),
            history.spent.in_vain.as_millis(),
            history.spent.answering.as_millis(),
            task.received.elapsed().as_millis()
        );
    }
}
