//! Selects the endpoint for a request.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_adapters::{Copy, Key, LoadWait, Need, Since, StalenessPolicy};
use ploverwick_codes::Code;
use ploverwick_endpoints::{Build, Cost, Entry, Load, Pacing, Query};
use ploverwick_names::Moment;
use tokio::time::Instant;

use super::admitted_request::AdmittedRequest;
use super::reply::Reply;
use super::slot_wait::{self, SlotWait};
use super::{copy_demand, missing_adapter};
use crate::controllers::{brittleness, load_requests};
use crate::metrics;
use crate::shared::Shared;
use crate::state::State;

/// The `Retry-After` if no endpoint is available.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(400);
/// The `Retry-After` if all endpoints are full.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(250);
/// The `Retry-After` if the adapter was not loaded in time.
const NOT_LOADED_RETRY_AFTER: Duration = Duration::from_millis(200);
/// The ratio of requests to slots of an endpoint at which further requests are refused, since they would wait
/// longer than their latency objective.
const MAX_FILL: f64 = 2.5;
/// The number of endpoints whose slots are borrowed for a request.
const MAX_LACKING: usize = 3;
/// How often the load of an adapter is requested again while a request waits for it, as messages may be lost.
const LOAD_REQUEST_INTERVAL: Duration = Duration::from_millis(70);
/// The maximum `Retry-After` if no endpoint accepts requests from this instance. Other instances may still be able
/// to send.
const MAX_LIMITED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The endpoint selected for a request.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub(crate) entry: Entry,
    /// The adapter and the version of it that the endpoint holds.
    pub(crate) copy: Option<Copy>,
    pub(crate) cost: Cost,
    /// When a request for an adapter is cancelled if it has not started, since its version may be replaced.
    pub(crate) start_deadline: Option<Instant>,
    /// When the version was replaced by a newer one; `None` if it was the newest at the time of selection.
    pub(crate) replaced_since: Option<Since>,
    /// The known load of the endpoint at the time of selection.
    pub(crate) load: Load,
    /// The expected time until the answer starts.
    pub(crate) expected_wait: Duration,
}

/// Selects an endpoint. Waits if the adapter has to be loaded first.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    request: &AdmittedRequest,
    except: &[Arc<str>],
) -> Result<Target, Reply> {
    let started = Instant::now();
    let timeout = request
        .first_event_deadline
        .saturating_duration_since(started);
    let wait = AdapterWait::Request(LoadWait::new(timeout));
    select_or_wait(shared, request, except, wait).await
}

/// Selects an endpoint. If the adapter has to be loaded first, waits until `deadline`. Endpoints that were tried are
/// not used again.
pub(super) async fn run_until(
    shared: &Arc<Shared>,
    request: &AdmittedRequest,
    except: &[Arc<str>],
    deadline: Instant,
) -> Result<Target, Reply> {
    select_or_wait(shared, request, except, AdapterWait::Until(deadline)).await
}

/// How long a selection waits for an adapter that has to be loaded.
#[derive(Debug, Clone, Copy)]
enum AdapterWait {
    /// As long as a new request may.
    Request(LoadWait),
    /// Until a deadline.
    Until(Instant),
}

impl AdapterWait {
    fn is_over(self, waited: Duration, is_coming: bool) -> bool {
        match self {
            Self::Request(wait) => wait.is_over(waited, is_coming),
            Self::Until(deadline) => Instant::now() >= deadline,
        }
    }

    fn is_futile(self, waited: Duration, expected: Duration) -> bool {
        match self {
            Self::Request(wait) => wait.is_futile(waited, expected),
            Self::Until(_) => false,
        }
    }

    /// Returns whether no selection is wanted any more.
    fn has_ended(self) -> bool {
        match self {
            Self::Request(_) => false,
            Self::Until(deadline) => Instant::now() >= deadline,
        }
    }

    /// Returns when to look again at the latest, after `next_request`.
    fn recheck_at(self, next_request: Instant) -> Instant {
        match self {
            Self::Request(_) => next_request,
            Self::Until(deadline) => next_request.min(deadline),
        }
    }

    fn may_reuse_tried(self, requests: u32, is_coming: bool) -> bool {
        match self {
            Self::Request(wait) => wait.may_reuse_tried(requests, is_coming),
            Self::Until(_) => false,
        }
    }
}

/// Selects an endpoint. If it is brittle and this instance has no slot of it, waits for one.
async fn select_or_wait(
    shared: &Arc<Shared>,
    request: &AdmittedRequest,
    except: &[Arc<str>],
    wait: AdapterWait,
) -> Result<Target, Reply> {
    brittleness::wait_until_known(shared).await;
    let mut slot_wait = None;
    loop {
        let changed = shared.slots_changed.notified();
        let lacking = match select_or_load(shared, request, except, wait).await? {
            Selection::Target(target) => return Ok(*target),
            Selection::NoSlot(lacking) => lacking,
        };
        let slot_wait = slot_wait.get_or_insert_with(|| SlotWait::start(shared, request));
        slot_wait.borrow(&lacking);
        if wait.has_ended() || slot_wait.is_over() {
            return Err(slot_wait::no_slot_reply());
        }
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep_until(slot_wait.recheck_at()) => {}
        }
    }
}

/// The result of a selection that waited for the adapter.
enum Selection {
    Target(Box<Target>),
    /// This instance has no slot of the endpoints that may serve the request, of which these are the best.
    NoSlot(Vec<Arc<str>>),
}

/// Selects an endpoint. Waits if the adapter has to be loaded first.
async fn select_or_load(
    shared: &Arc<Shared>,
    request: &AdmittedRequest,
    except: &[Arc<str>],
    wait: AdapterWait,
) -> Result<Selection, Reply> {
    let Some(key) = &request.info.adapter else {
        return select_without_adapter(shared, request, except).into_selection();
    };
    let started = Instant::now();
    let mut load_requests = 0;
    let mut expected = None;
    loop {
        let changed = shared.placement_changed.notified();
        let (choice, newest) = select_holder(shared, request, key, except);
        let is_coming = missing_adapter::is_coming(shared, request, &newest);
        let may_reuse = !except.is_empty() && wait.may_reuse_tried(load_requests, is_coming);
        let (choice, newest) = match choice {
            Choice::Wait if may_reuse => select_holder(shared, request, key, &[]),
            _ => (choice, newest),
        };
        match choice {
            Choice::Wait => {}
            choice => {
                if matches!(choice, Choice::Selected(_)) {
                    metrics::adapter_wait(started.elapsed());
                }
                return choice.into_selection();
            }
        }
        if !missing_adapter::fits(shared, request, key) {
            let detail = format!("adapter {key} does not fit into the memory of an endpoint");
            return Err(Reply::new(Code::LoadFailed, detail));
        }
        let now = Instant::now();
        if wait.is_over(started.elapsed(), is_coming) {
            let detail = format!("adapter {key}, asked {load_requests} times");
            let retry_after = expected.unwrap_or(NOT_LOADED_RETRY_AFTER);
            return Err(Reply::new(Code::LoadFailed, detail).retry_after(retry_after));
        }
        // Every load of any adapter wakes this task, so load requests are paced separately.
        let request_at = started + LOAD_REQUEST_INTERVAL * load_requests;
        if now >= request_at {
            expected = missing_adapter::request_load(shared, request, &newest);
            load_requests += 1;
        }
        if let Some(expected) = expected
            && wait.is_futile(started.elapsed(), expected)
        {
            let detail = format!("adapter {key}, expected in {} ms", expected.as_millis());
            return Err(Reply::new(Code::LoadFailed, detail).retry_after(expected));
        }
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep_until(wait.recheck_at(started + LOAD_REQUEST_INTERVAL * load_requests)) => {}
        }
    }
}

/// Selects an endpoint that can be used at once. If the adapter has to be loaded first, requests that.
pub(super) fn try_select(
    shared: &Arc<Shared>,
    request: &AdmittedRequest,
    except: &[Arc<str>],
) -> Option<Target> {
    let choice = match &request.info.adapter {
        None => select_without_adapter(shared, request, except),
        Some(key) => match select_holder(shared, request, key, except) {
            (Choice::Wait, newest) => {
                missing_adapter::request_load(shared, request, &newest);
                Choice::Wait
            }
            (choice, _) => choice,
        },
    };
    match choice {
        Choice::Selected(target) => Some(*target),
        _ => None,
    }
}

enum Choice {
    Selected(Box<Target>),
    Full,
    /// This instance has no slot of the endpoints that may serve the request, of which these are the best.
    NoSlot(Vec<Arc<str>>),
    /// No endpoint of the service accepts a request from this instance for this long.
    Limited(Duration),
    /// No endpoint of the build that began the stream is listed as ready.
    BuildGone,
    /// No endpoint holds the adapter, or none is available.
    Wait,
}

impl Choice {
    fn into_selection(self) -> Result<Selection, Reply> {
        match self {
            Self::Selected(target) => Ok(Selection::Target(target)),
            Self::NoSlot(lacking) => Ok(Selection::NoSlot(lacking)),
            Self::Full => Err(Reply::new(Code::Overloaded, "").retry_after(FULL_RETRY_AFTER)),
            Self::Limited(wait) => Err(limited_reply(wait)),
            Self::BuildGone => Err(build_gone_reply()),
            Self::Wait => {
                Err(Reply::new(Code::NoEndpoint, "").retry_after(NO_ENDPOINT_RETRY_AFTER))
            }
        }
    }
}

fn limited_reply(wait: Duration) -> Reply {
    let detail = "No endpoint takes a request from this instance now.";
    Reply::new(Code::Overloaded, detail).retry_after(wait.min(MAX_LIMITED_RETRY_AFTER))
}

fn build_gone_reply() -> Reply {
    Reply::new(Code::StreamBuildGone, "")
}

/// Returns whether only one build may serve a request, and no endpoint of it is listed as ready. Those that drain
/// never become ready again, so there is nothing to wait for.
fn is_build_gone(state: &State, request: &AdmittedRequest) -> bool {
    let build = request.build.get();
    build.is_some_and(|build| !state.fleet.has_ready(&request.service, *build, &[]))
}

/// Returns the endpoints excluded for a request, including those to which this instance must not send now.
fn excluded_endpoints<'a>(
    state: &State,
    except: &'a [Arc<str>],
    now: Moment,
) -> Cow<'a, [Arc<str>]> {
    let closed = state.closed(now);
    if closed.is_empty() {
        return Cow::Borrowed(except);
    }
    Cow::Owned([except, &closed].concat())
}

/// Returns the builds at which a request had better not begin its stream: an instance that does not know one of them yet could
/// continue the stream at another build.
fn avoided_builds(state: &State, request: &AdmittedRequest, now: Moment) -> Vec<Build> {
    if request.origin_attempt.is_none() || request.build.get().is_some() {
        return Vec::new();
    }
    let service = &request.service;
    let mut avoided = state.builds.unsettled(service, now);
    let listed = state.builds.listed(service);
    avoided.extend(state.build_registry.unregistered(service, listed));
    avoided
}

/// Returns how long limits and pauses prevent this instance from sending to any ready endpoint that may serve the
/// request; `None` if it may send to one now, or if there is no such endpoint.
fn min_send_wait(state: &State, request: &AdmittedRequest, now: Moment) -> Option<Duration> {
    if state.limits.active_count() == 0 && state.pauses.is_empty() {
        return None;
    }
    let ready = state
        .fleet
        .entries()
        .filter(|entry| entry.service == request.service && state.fleet.is_ready(&entry.id));
    let may_serve = ready.filter(|entry| request.accepts_build_at(&entry.id, &state.fleet));
    let mut min_wait = None;
    for entry in may_serve {
        let wait = state.send_wait(&entry.id, now)?;
        min_wait = Some(min_wait.map_or(wait, |min_wait: Duration| min_wait.min(wait)));
    }
    min_wait
}

/// Selects an endpoint for a request without an adapter.
fn select_without_adapter(
    shared: &Shared,
    request: &AdmittedRequest,
    except: &[Arc<str>],
) -> Choice {
    let now = shared.now();
    let state = shared.state();
    let excluded = excluded_endpoints(&state, except, now);
    let avoided = avoided_builds(&state, request, now);
    let max_fill = max_fill(request).min(MAX_FILL);
    let query = query(shared, &state, request, (&avoided, max_fill), &excluded);
    let holds = |id: &str| match &request.info.model {
        None => true,
        Some(model) => {
            let entry = state.fleet.entry(id);
            // The endpoints of a plain service list no models and accept any request.
            entry.is_some_and(|e| e.held.is_empty() || e.held.iter().any(|h| h.model == *model))
        }
    };
    let ranked = state.fleet.rank(&query, now).into_iter();
    let (lacking, ranked): (Vec<_>, Vec<_>) = ranked
        .filter(|(_, id)| holds(id))
        .partition(|(_, id)| state.lacks_slot(id, now));
    let Some((cost, id)) = ranked.into_iter().next() else {
        if !lacking.is_empty() {
            let lacking = lacking.into_iter().map(|(_, id)| id);
            return Choice::NoSlot(lacking.take(MAX_LACKING).collect());
        }
        if is_build_gone(&state, request) {
            return Choice::BuildGone;
        }
        return min_send_wait(&state, request, now).map_or(Choice::Wait, Choice::Limited);
    };
    let fill = state.fleet.fill(&id, now);
    if fill.is_some_and(|fill| fill >= max_fill) {
        return Choice::Full;
    }
    let entry = state.fleet.entry(&id).expect("it was ranked").clone();
    let load = state.fleet.load(&id, now);
    let prompt = request.info.prompt_tokens;
    let expected_wait = state
        .fleet
        .expected_wait(&id, prompt, now)
        .unwrap_or_default();
    Choice::Selected(Box::new(Target {
        entry,
        copy: None,
        start_deadline: None,
        replaced_since: None,
        cost,
        load,
        expected_wait,
    }))
}

/// Returns the fill up to which an endpoint accepts a request. A lower weight leaves capacity for other requests.
fn max_fill(request: &AdmittedRequest) -> f64 {
    (MAX_FILL * request.terms.weight).clamp(1.0, 2.0 * MAX_FILL)
}

/// Returns the query for a request, with the builds that it avoids and the fill up to which endpoints accept it.
fn query<'a>(
    shared: &'a Shared,
    state: &State,
    request: &'a AdmittedRequest,
    (avoided_builds, max_fill): (&'a [Build], f64),
    except: &'a [Arc<str>],
) -> Query<'a> {
    let domain = state.egress_domain(&request.service, &shared.settings, shared.now());
    let peers = state.peers.values().filter(|peer| *peer.domain == *domain);
    let peers = peers.count();
    Query {
        service: &request.service,
        domain,
        key: request
            .info
            .adapter
            .as_ref()
            .map_or(&*request.info.id, |key| &key.adapter),
        id: &request.info.id,
        peers,
        bytes: request.cross_domain_bytes(),
        prompt: request.info.prompt_tokens,
        pacing: pacing(state, request),
        build: request.build.get().copied(),
        avoided_builds,
        max_fill,
        except,
    }
}

/// Returns what the answer needs if it is a stream whose pauses must not be too long.
fn pacing(state: &State, request: &AdmittedRequest) -> Option<Pacing> {
    let max_pause = request.route.max_pause?;
    let service = state.config.as_ref()?.service(&request.service)?;
    Some(Pacing {
        max_pause,
        event_tokens: service.engine.as_ref()?.event_tokens,
        answer_tokens: request.info.answer_tokens,
    })
}

/// Selects an endpoint that holds the adapter, from the current state. If only an older version is held or the
/// endpoint is busy, requests a load of the newest version as well.
fn select_holder(
    shared: &Arc<Shared>,
    request: &AdmittedRequest,
    key: &Key,
    except: &[Arc<str>],
) -> (Choice, Copy) {
    let now = shared.now();
    let state = shared.state();
    let version = state.directory.newest(key);
    let newest = Copy {
        key: key.clone(),
        version,
    };
    let excluded = excluded_endpoints(&state, except, now);
    let avoided = avoided_builds(&state, request, now);
    let max_fill = max_fill(request);
    let query = query(shared, &state, request, (&avoided, max_fill), &excluded);
    let mut held = newest.clone();
    let mut best = cheapest_holder(&state, &query, &held, now);
    if best.is_none()
        && let Some(lacking) = holder_without_slot(&state, &query, &held, now)
    {
        return (Choice::NoSlot(vec![lacking]), newest);
    }
    if best.is_none()
        && let Some(older) = usable_older_version(shared, &state, &newest, now)
    {
        held.version = older;
        best = cheapest_holder(&state, &query, &held, now);
        best.take_if(|(_, id)| !starts_in_time(shared, &state, request, &held, id, now));
    }
    let Some((cost, id)) = best else {
        if is_build_gone(&state, request) {
            return (Choice::BuildGone, newest);
        }
        let choice = min_send_wait(&state, request, now).map_or(Choice::Wait, Choice::Limited);
        return (choice, newest);
    };
    let entry = state.fleet.entry(&id).expect("it was ranked").clone();
    let fill = state.fleet.fill(&id, now).unwrap_or(0.0);
    let load = state.fleet.load(&id, now);
    let prompt = request.info.prompt_tokens;
    let expected_wait = state
        .fleet
        .expected_wait(&id, prompt, now)
        .unwrap_or_default();
    let need = if held.version == newest.version {
        copy_demand::another_copy(shared, &state, request, query.pacing, &id, now)
    } else {
        Some(Need::Any)
    };
    let replaced_since = state.directory.replaced_since(&held);
    let start_deadline = staleness_policy(shared).start_deadline(replaced_since, now);
    drop(state);
    if let Some(need) = need {
        let load = missing_adapter::load_request(request, &newest, need);
        let domain = &shared.settings.domain;
        load_requests::request_load(shared, domain, load, request.build.get().copied());
    }
    if fill >= max_fill {
        return (Choice::Full, newest);
    }
    let target = Target {
        entry,
        copy: Some(held),
        start_deadline: Some(shared.clock.instant(start_deadline)),
        replaced_since,
        cost,
        load,
        expected_wait,
    };
    (Choice::Selected(Box::new(target)), newest)
}

/// Returns the endpoint with the lowest cost among those that hold a copy and of which this instance lacks a slot.
fn holder_without_slot(
    state: &State,
    query: &Query<'_>,
    copy: &Copy,
    now: Moment,
) -> Option<Arc<str>> {
    let holders = state.directory.holders(&copy.key, copy.version);
    let lacking = holders.iter().filter(|id| state.lacks_slot(id, now));
    let best = state.fleet.best(query, lacking, now);
    best.map(|(_, id)| id)
}

/// Returns the endpoint with the lowest cost among those that hold a copy and to which this instance may send.
fn cheapest_holder(
    state: &State,
    query: &Query<'_>,
    copy: &Copy,
    now: Moment,
) -> Option<(Cost, Arc<str>)> {
    let holders = state.directory.holders(&copy.key, copy.version);
    let usable = holders.iter().filter(|id| !state.lacks_slot(id, now));
    state.fleet.best(query, usable, now)
}

/// Returns an older version that may still be used while the newest is being loaded. Only the newest older
/// version that is held need be checked, since those below it were replaced no later.
fn usable_older_version(shared: &Shared, state: &State, newest: &Copy, now: Moment) -> Option<u64> {
    let version = state
        .directory
        .newest_held_below(&newest.key, newest.version)?;
    let key = newest.key.clone();
    let since = state.directory.replaced_since(&Copy { key, version })?;
    let is_usable = staleness_policy(shared).may_choose(since, now);
    is_usable.then_some(version)
}

/// Returns whether a request is expected to start within the staleness bound at an endpoint that holds an older
/// version.
fn starts_in_time(
    shared: &Shared,
    state: &State,
    request: &AdmittedRequest,
    older: &Copy,
    endpoint: &str,
    now: Moment,
) -> bool {
    let prompt = request.info.prompt_tokens;
    let expected_wait = state
        .fleet
        .expected_wait(endpoint, prompt, now)
        .unwrap_or_default();
    let since = state.directory.replaced_since(older);
    since.is_none_or(|since| staleness_policy(shared).can_start_in_time(since, expected_wait, now))
}

/// Returns the deadline by which a request that has been sent must have started; `None` if no newer version is
/// known.
pub(super) fn start_deadline(shared: &Shared, copy: &Copy) -> Option<Instant> {
    let now = shared.now();
    let since = shared.state().directory.replaced_since(copy)?;
    let moment = staleness_policy(shared).start_deadline(Some(since), now);
    Some(shared.clock.instant(moment))
}

fn staleness_policy(shared: &Shared) -> StalenessPolicy {
    StalenessPolicy {
        bound: shared.settings.version,
    }
}
