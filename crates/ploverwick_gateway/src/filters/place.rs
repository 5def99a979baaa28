//! Finds the endpoint for a request.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_adapters::{Copy, Key, Need, Since, StalenessPolicy};
use ploverwick_codes::Code;
use ploverwick_endpoints::{Cost, Entry, Load, Query};
use ploverwick_names::Moment;
use tokio::time::Instant;

use super::reply::Reply;
use super::seek;
use super::task::Task;
use crate::controllers::demand;
use crate::metrics;
use crate::shared::Shared;
use crate::state::State;

/// When to come back if no endpoint is there.
const NO_ENDPOINT: Duration = Duration::from_millis(400);
/// When to come back if all are full.
const FULL: Duration = Duration::from_millis(250);
/// When to come back if the adapter could not be loaded in time.
const NOT_LOADED: Duration = Duration::from_millis(200);
/// Requests at an endpoint, against those that it works on at once, above which others are
/// refused: they would wait longer than their objective.
const MOST_FILL: f64 = 2.5;
/// How many of its objectives long a request may wait for prompts of others at the best holder of its
/// adapter before the adapter is loaded at another endpoint too. Below one it would still be on time,
/// and a copy takes a place from another adapter.
const CROWDED: f64 = 1.5;
/// The fill of its holders above which an adapter is loaded at another endpoint too.
const CROWDED_FILL: f64 = 0.85;
/// How long a wait for an adapter lasts before it is asked for again; a message may be lost.
const ASK_AGAIN: Duration = Duration::from_millis(70);
/// The longest `Retry-After` if no endpoint accepts requests from this instance: other instances may still send.
const LIMITED: Duration = Duration::from_secs(1);
/// The part of the time until the client leaves for which a request waits for its adapter.
const WAIT_SHARE: f64 = 0.4;

/// Where a request goes.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub(crate) entry: Entry,
    /// The adapter in the version that the endpoint holds.
    pub(crate) copy: Option<Copy>,
    pub(crate) cost: Cost,
    /// When a request for an adapter that has not begun is taken back, as its version may be replaced.
    pub(crate) begin_by: Option<Instant>,
    /// Since when there had been a newer version when it was chosen; `None` if it was the newest.
    pub(crate) replaced: Option<Since>,
    /// What was known to be under way there.
    pub(crate) load: Load,
    /// How long the answer was expected to take to begin.
    pub(crate) expected: Duration,
}

/// Finds an endpoint; waits if the adapter has to be loaded first.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    task: &Task,
    except: &[Arc<str>],
) -> Result<Target, Reply> {
    let Some(key) = &task.call.adapter else {
        return direct(shared, task, except);
    };
    let started = Instant::now();
    let patience = task.begin_by.saturating_duration_since(started);
    let until = started + patience.mul_f64(WAIT_SHARE);
    let mut asks = 0;
    loop {
        let placed = shared.placed.notified();
        let (choice, wanted) = look(shared, task, key, except);
        match choice {
            Choice::Go(target) => {
                metrics::adapter_wait(started.elapsed());
                return Ok(*target);
            }
            Choice::Full => return Err(Reply::new(Code::Overloaded, "").retry_after(FULL)),
            Choice::Limited(wait) => return Err(limited(wait)),
            Choice::Wait => {}
        }
        let now = Instant::now();
        if now >= until {
            let detail = format!("adapter {key}, asked {asks} times");
            return Err(Reply::new(Code::LoadFailed, detail).retry_after(NOT_LOADED));
        }
        // Each adapter that is loaded anywhere wakes this; questions keep their own pace.
        let ask_at = started + ASK_AGAIN * asks;
        if now >= ask_at {
            seek::ask(shared, task, &wanted);
            asks += 1;
        }
        tokio::select! {
            () = placed => {}
            () = tokio::time::sleep_until(started + ASK_AGAIN * asks) => {}
        }
    }
}

enum Choice {
    Go(Box<Target>),
    Full,
    /// No endpoint of the service takes a request from here before then.
    Limited(Duration),
    Wait,
}

fn limited(wait: Duration) -> Reply {
    let detail = "No endpoint takes a request from this instance now.";
    Reply::new(Code::Overloaded, detail).retry_after(wait.min(LIMITED))
}

/// Adds the endpoints to which this instance must not send now to those that are excluded for a request.
fn barred<'a>(state: &State, except: &'a [Arc<str>], now: Moment) -> Cow<'a, [Arc<str>]> {
    let closed = state.closed(now);
    if closed.is_empty() {
        return Cow::Borrowed(except);
    }
    Cow::Owned([except, &closed].concat())
}

/// Returns how long limits and pauses prevent this instance from sending to any ready endpoint of the task's service;
/// `None` if it may send to one now, or if there is no such endpoint.
fn least_wait(state: &State, task: &Task, now: Moment) -> Option<Duration> {
    if state.limits.active_count() == 0 && state.pauses.is_empty() {
        return None;
    }
    let of_service = state
        .fleet
        .entries()
        .filter(|entry| entry.service == task.service && state.fleet.is_ready(&entry.id));
    let mut least = None;
    for entry in of_service {
        let wait = state.send_wait(&entry.id, now)?;
        least = Some(least.map_or(wait, |least: Duration| least.min(wait)));
    }
    least
}

/// Finds an endpoint for a request without an adapter.
fn direct(shared: &Shared, task: &Task, except: &[Arc<str>]) -> Result<Target, Reply> {
    let now = shared.now();
    let state = shared.state();
    let barred = barred(&state, except, now);
    let ranked = state.fleet.rank(&query(shared, &state, task, &barred), now);
    let holds = |id: &str| match &task.call.model {
        None => true,
        Some(model) => {
            let entry = state.fleet.entry(id);
            // A plain service lists no models and takes the request as it is.
            entry.is_some_and(|e| e.held.is_empty() || e.held.iter().any(|h| h.model == *model))
        }
    };
    let best = ranked.into_iter().find(|(_, id)| holds(id));
    let Some((cost, id)) = best else {
        return Err(match least_wait(&state, task, now) {
            Some(wait) => limited(wait),
            None => Reply::new(Code::NoEndpoint, "").retry_after(NO_ENDPOINT),
        });
    };
    if state
        .fleet
        .fill(&id, now)
        .is_some_and(|fill| fill >= MOST_FILL)
    {
        return Err(Reply::new(Code::Overloaded, "").retry_after(FULL));
    }
    let entry = state.fleet.entry(&id).expect("it was ranked").clone();
    let load = state.fleet.load(&id, now);
    let prompt = task.call.prompt_tokens;
    let expected = state
        .fleet
        .expected_wait(&id, prompt, now)
        .unwrap_or_default();
    Ok(Target {
        entry,
        copy: None,
        begin_by: None,
        replaced: None,
        cost,
        load,
        expected,
    })
}

/// Returns how full an endpoint may be for a request: those with a lower weight leave room.
fn most_fill(task: &Task) -> f64 {
    (MOST_FILL * task.terms.weight).clamp(1.0, 2.0 * MOST_FILL)
}

fn query<'a>(
    shared: &'a Shared,
    state: &State,
    task: &'a Task,
    except: &'a [Arc<str>],
) -> Query<'a> {
    let domain = &shared.settings.domain;
    let peers = state.peers.values().filter(|peer| peer.domain == *domain);
    let peers = peers.count();
    Query {
        service: &task.service,
        domain: &shared.settings.domain,
        key: task
            .call
            .adapter
            .as_ref()
            .map_or(&*task.call.id, |k| &k.adapter),
        id: &task.call.id,
        peers,
        bytes: task.bytes(),
        prompt: task.call.prompt_tokens,
        except,
    }
}

/// Looks at what is known now, and asks for copies that are worth it whatever the choice.
fn look(shared: &Arc<Shared>, task: &Task, key: &Key, except: &[Arc<str>]) -> (Choice, Copy) {
    let now = shared.now();
    let state = shared.state();
    let version = state.directory.newest(key);
    let wanted = Copy {
        key: key.clone(),
        version,
    };
    let barred = barred(&state, except, now);
    let query = query(shared, &state, task, &barred);
    let mut held = wanted.clone();
    let mut best = best(&state, &query, &held, now);
    if best.is_none()
        && let Some(older) = usable_older(shared, &state, &wanted, now)
    {
        held.version = older;
        best = self::best(&state, &query, &held, now);
        best.take_if(|(_, id)| !begins_in_time(shared, &state, task, &held, id, now));
    }
    let Some((cost, id)) = best else {
        let choice = least_wait(&state, task, now).map_or(Choice::Wait, Choice::Limited);
        return (choice, wanted);
    };
    let entry = state.fleet.entry(&id).expect("it was ranked").clone();
    let fill = state.fleet.fill(&id, now).unwrap_or(0.0);
    let load = state.fleet.load(&id, now);
    let others = state.fleet.expected_wait(&id, 0, now).unwrap_or_default();
    let prompt = task.call.prompt_tokens;
    let expected = state
        .fleet
        .expected_wait(&id, prompt, now)
        .unwrap_or_default();
    let is_crowded = fill > CROWDED_FILL || others > task.route.objective.mul_f64(CROWDED);
    let is_older = held.version != wanted.version;
    let replaced = state.directory.replaced_since(&held);
    let begin_by = supersession(shared).start_deadline(replaced, now);
    drop(state);
    if is_older || is_crowded {
        let need = if is_older { Need::Any } else { Need::Another };
        demand::request_adapter(shared, &shared.settings.domain, &wanted, need);
    }
    if fill >= most_fill(task) {
        return (Choice::Full, wanted);
    }
    let target = Target {
        entry,
        copy: Some(held),
        begin_by: Some(shared.clock.instant(begin_by)),
        replaced,
        cost,
        load,
        expected,
    };
    (Choice::Go(Box::new(target)), wanted)
}

/// Returns the cheapest endpoint that holds an adapter.
fn best(state: &State, query: &Query<'_>, copy: &Copy, now: Moment) -> Option<(Cost, Arc<str>)> {
    let holders = state.directory.holders(&copy.key, copy.version);
    state.fleet.best(query, holders.iter(), now)
}

/// Returns an older version that may still be used while the newest is being loaded. Those below it
/// were replaced no later.
fn usable_older(shared: &Shared, state: &State, newest: &Copy, now: Moment) -> Option<u64> {
    let version = state
        .directory
        .newest_held_below(&newest.key, newest.version)?;
    let key = newest.key.clone();
    let since = state.directory.replaced_since(&Copy { key, version })?;
    let is_usable = supersession(shared).may_choose(since, now);
    is_usable.then_some(version)
}

/// Returns whether a request is expected to begin at a holder of an older version within the bound.
fn begins_in_time(
    shared: &Shared,
    state: &State,
    task: &Task,
    older: &Copy,
    endpoint: &str,
    now: Moment,
) -> bool {
    let prompt = task.call.prompt_tokens;
    let expected = state
        .fleet
        .expected_wait(endpoint, prompt, now)
        .unwrap_or_default();
    let since = state.directory.replaced_since(older);
    since.is_none_or(|since| supersession(shared).can_start_in_time(since, expected, now))
}

/// Returns until when a request that has been sent may begin; `None` if no newer version is known.
pub(super) fn begin_by(shared: &Shared, copy: &Copy) -> Option<Instant> {
    let now = shared.now();
    let since = shared.state().directory.replaced_since(copy)?;
    let moment = supersession(shared).start_deadline(Some(since), now);
    Some(shared.clock.instant(moment))
}

fn supersession(shared: &Shared) -> StalenessPolicy {
    StalenessPolicy {
        bound: shared.settings.version,
    }
}
