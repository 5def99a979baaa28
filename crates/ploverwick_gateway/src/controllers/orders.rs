//! Gives orders to the endpoints of this failure domain while the right to do so lasts.
//!
//! One task for each endpoint: it gives one order at a time and waits for the answer.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use ploverwick_adapters::{Answer, Event, LoadLimit, Order, Report, Step};
use ploverwick_endpoints::{Entry, State as EndpointState};
use ploverwick_names::Moment;
use ploverwick_platform::{answer, order, roster};

use super::draining;
use crate::metrics;
use crate::pool::{Connection, connect};
use crate::shared::Shared;
use crate::state::State;
use crate::tell;

/// The time for an answer to an order; endpoints of the same domain take about 3 ms. An order that
/// got no answer is repeated, which is safe, so that the time may be short.
const ANSWER: Duration = Duration::from_millis(25);
/// Orders in a row without an answer after which the time doubles: the endpoint is slow.
const DOUBLING: u32 = 4;
/// How often the time doubles at most.
const MOST_DOUBLINGS: u32 = 4;
/// The time for a report.
const REPORT: Duration = Duration::from_millis(450);
/// The pause of a task that may give no order.
const PAUSE: Duration = Duration::from_millis(120);

/// Keeps a task for each endpoint of this failure domain that takes orders.
pub(crate) async fn keep(shared: Arc<Shared>) {
    let tended: Arc<Mutex<HashSet<Arc<str>>>> = Arc::default();
    loop {
        let woken = shared.orders_changed.notified();
        for endpoint in untended(&shared, &tended) {
            let shared = Arc::clone(&shared);
            let tended = Arc::clone(&tended);
            tokio::spawn(async move {
                tend(&shared, &endpoint).await;
                tended
                    .lock()
                    .expect("no holder of the lock panics")
                    .remove(&endpoint);
            });
        }
        tokio::select! {
            () = woken => {}
            () = tokio::time::sleep(PAUSE) => {}
        }
    }
}

/// Adds the shelves that are missing and returns the endpoints that no task tends yet.
fn untended(shared: &Shared, tended: &Mutex<HashSet<Arc<str>>>) -> Vec<Arc<str>> {
    let now = shared.now();
    let mut state = shared.state();
    if state.placer_lease.token(now).is_none() {
        return Vec::new();
    }
    let Some(config) = state.config.clone() else {
        return Vec::new();
    };
    let mut new = Vec::new();
    let state = &mut *state;
    for entry in state.fleet.entries() {
        let service = config.service(&entry.service);
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
            continue;
        };
        let is_ready = entry.state == EndpointState::Ready;
        if entry.domain != shared.settings.domain || !is_ready {
            continue;
        }
        state.placer.add(&entry.id, engine.adapter_slots, now);
        // An endpoint without a base model gets the first; which one it should be is decided by
        // the order of the configuration until several are in demand.
        if let Some(slots) = state.placer.slots(&entry.id)
            && slots.is_empty()
            && let Some(model) = engine.models.first()
        {
            slots.request_base(Arc::clone(model));
        }
        let mut tended = tended.lock().expect("no holder of the lock panics");
        if tended.insert(Arc::clone(&entry.id)) {
            new.push(Arc::clone(&entry.id));
        }
    }
    new
}

/// Gives orders to one endpoint until it is gone or the right ends.
async fn tend(shared: &Arc<Shared>, endpoint: &Arc<str>) {
    let mut unanswered = 0;
    loop {
        let woken = shared.orders_changed.notified();
        let Some((step, entry, token)) = decide(shared, endpoint) else {
            return;
        };
        match step {
            // The token is the one under which the order was decided, whatever comes meanwhile.
            Step::Send(order) => {
                let limit = ANSWER * 2_u32.pow((unanswered / DOUBLING).min(MOST_DOUBLINGS));
                match give(shared, &entry, &order, token, limit).await {
                    Some(Answer::Unknown) => unanswered += 1,
                    Some(_) => unanswered = 0,
                    None => {}
                }
            }
            Step::Report => learn(shared, &entry).await,
            Step::Wait(at) => wait(shared, at, woken).await,
            Step::Idle => wait(shared, shared.now() + PAUSE * 8, woken).await,
        }
    }
}

/// Decides the next step; `None` if the endpoint is gone or the right ended.
fn decide(shared: &Shared, endpoint: &Arc<str>) -> Option<(Step, Entry, u64)> {
    let now = shared.now();
    let mut state = shared.state();
    let token = state.placer_lease.token(now)?;
    let entry = state.fleet.entry(endpoint).cloned()?;
    if let Some(wait) = state.pauses.wait(endpoint, now) {
        return Some((Step::Wait(now + wait), entry, token));
    }
    let may_load = state.placer.may_load();
    let ceiling = ceiling(shared, &state, &entry);
    let slots = state.placer.slots(endpoint)?;
    let step = slots.next_step(now, may_load);
    if let Step::Send(order) = &step
        && slots.starts_base_load(order)
    {
        if let Some(at) = state.base_load_limiter.next_at(&ceiling, now) {
            return Some((Step::Wait(at), entry, token));
        }
        state.base_load_limiter.record_load(now);
        drop(state);
        tell::base_load(shared);
    }
    Some((step, entry, token))
}

/// Returns the bound on loads of base models at an endpoint's service.
fn ceiling(shared: &Shared, state: &State, entry: &Entry) -> LoadLimit {
    let config = state.config.as_ref();
    let service = config.and_then(|config| config.service(&entry.service));
    let engine = service.and_then(|service| service.engine.as_ref());
    LoadLimit {
        rate: engine.map_or(0.0, |engine| engine.loads_per_s),
        overshoot: shared.settings.load_overshoot,
        window: shared.settings.load_window,
        domains: shared.settings.domains.len(),
    }
}

async fn wait(shared: &Shared, until: Moment, woken: tokio::sync::futures::Notified<'_>) {
    tokio::select! {
        () = tokio::time::sleep_until(shared.clock.instant(until)) => {}
        () = woken => {}
    }
}

/// Sends an order and takes in its answer; `None` if the right ended before it was sent.
async fn give(
    shared: &Arc<Shared>,
    entry: &Entry,
    order: &Order,
    token: u64,
    limit: Duration,
) -> Option<Answer> {
    let request = order::encode(order, &entry.id, &shared.settings.instance, token);
    let connection = match shared.pool.take(&entry.id, false) {
        Some(connection) => Ok(connection),
        None => connect(entry.address).await,
    };
    // Connecting takes time in which the right may have ended.
    let is_held = shared.state().placer_lease.token(shared.now()) == Some(token);
    let answer = match connection {
        Ok(_) if !is_held => return None,
        Ok(connection) => match exchange(shared, entry, connection, request, limit).await {
            Some(response) => order::decode_answer(response.status()),
            None => Answer::Unknown,
        },
        Err(cause) => {
            spdlog::debug!("order_unsent endpoint={} cause=\"{}\"", entry.id, cause);
            Answer::Gone
        }
    };
    metrics::order(name(answer));
    let event = answered(shared, &entry.id, order, token, answer);
    if !matches!(answer, Answer::Accepted | Answer::Done) {
        spdlog::info!(
            "order_failed endpoint={} order={:?} token={} answer={:?} assumed={}",
            entry.id,
            order,
            token,
            answer,
            event.is_some()
        );
    }
    if let Some(event) = event {
        apply(shared, &entry.id, &event);
    }
    if answer == Answer::Gone {
        tokio::time::sleep(PAUSE).await;
    }
    Some(answer)
}

fn name(answer: Answer) -> &'static str {
    match answer {
        Answer::Accepted => "accepted",
        Answer::Done => "done",
        Answer::Conflict => "conflict",
        Answer::Fenced => "fenced",
        Answer::Gone => "gone",
        Answer::Invalid => "invalid",
        Answer::Unknown => "unknown",
    }
}

fn answered(
    shared: &Shared,
    endpoint: &Arc<str>,
    order: &Order,
    token: u64,
    answer: Answer,
) -> Option<Event> {
    let now = shared.now();
    let mut state = shared.state();
    if answer == Answer::Fenced {
        spdlog::warn!("order_fenced endpoint={} token={}", endpoint, token);
        state.placer_lease.handle_fenced(token, now);
    }
    state.placer.handle_answer(endpoint, order, answer, now)
}

async fn learn(shared: &Arc<Shared>, entry: &Entry) {
    let connection = match shared.pool.take(&entry.id, false) {
        Some(connection) => Some(connection),
        None => connect(entry.address).await.ok(),
    };
    let report = match connection {
        Some(connection) => {
            let request = order::report_request(&entry.id);
            let response = exchange(shared, entry, connection, request, REPORT).await;
            response.and_then(|response| stated(entry, response.body()))
        }
        None => None,
    };
    if let Some(event) = reported(shared, &entry.id, report) {
        apply(shared, &entry.id, &event);
    }
}

/// Reads the report of this life of an endpoint; `None` if another one answered, of which the list will
/// tell.
fn stated(entry: &Entry, body: &[u8]) -> Option<Report> {
    let stated = roster::decode_report(body)
        .map_err(|error| {
            spdlog::warn!("report_malformed endpoint={} cause=\"{}\"", entry.id, error);
        })
        .ok()?;
    if stated.born.is_some_and(|born| born != entry.born) {
        spdlog::info!(
            "report_foreign endpoint={} born={:?}",
            entry.id,
            stated.born
        );
        return None;
    }
    Some(stated.report)
}

fn reported(shared: &Shared, endpoint: &Arc<str>, report: Option<Report>) -> Option<Event> {
    let now = shared.now();
    let mut state = shared.state();
    let slots = state.placer.slots(endpoint)?;
    let Some(report) = report else {
        slots.handle_missing_report(now);
        return None;
    };
    spdlog::info!(
        "endpoint_report endpoint={} orders={} held={} coming={}",
        endpoint,
        report.orders,
        report.held.len(),
        report.loading.len()
    );
    Some(slots.handle_report(&report, now))
}

fn apply(shared: &Arc<Shared>, endpoint: &Arc<str>, event: &Event) {
    let now = shared.now();
    let mut state = shared.state();
    match event {
        Event::Loading(copy) => state.directory.mark_loading(endpoint, copy.clone(), now),
        Event::Loaded(copy) => state.directory.mark_loaded(endpoint, copy.clone(), now),
        Event::Unloaded(copy) => state.directory.mark_unloaded(endpoint, copy),
        Event::Reported(copies) => state.directory.apply_report(endpoint, copies.clone(), now),
        Event::BaseLoaded(model) => {
            spdlog::info!("base_loaded endpoint={} model={}", endpoint, model);
        }
    }
    let (coming, window) = state.placer.loads_in_flight();
    drop(state);
    let line = match event {
        Event::Loading(copy) => Some(("adapter_ordered", copy)),
        Event::Loaded(copy) => Some(("adapter_loaded", copy)),
        Event::Unloaded(copy) => Some(("adapter_unloaded", copy)),
        Event::Reported(_) | Event::BaseLoaded(_) => None,
    };
    if let Some((what, copy)) = line {
        spdlog::info!(
            "{} adapter={} version={} endpoint={} coming={} window={}",
            what,
            copy.key,
            copy.version,
            endpoint,
            coming,
            window
        );
    }
    shared.placement_changed.notify_waiters();
    tell::changed(shared, endpoint, event);
}

/// Sends a request and reads the whole answer; `None` if there was none in time.
async fn exchange(
    shared: &Shared,
    entry: &Entry,
    mut connection: Connection,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Option<Response<Bytes>> {
    let exchange = async {
        let response = connection.sender.send_request(request).await?;
        let (head, body) = response.into_parts();
        let body = Incoming::collect(body).await?.to_bytes();
        Ok::<_, hyper::Error>(Response::from_parts(head, body))
    };
    let response = tokio::time::timeout(limit, exchange).await;
    match response {
        Ok(Ok(response)) => {
            shared.pool.keep(&entry.id, connection);
            let reported = answer::state(response.headers());
            draining::answered(shared, &entry.id, reported, &"call");
            Some(response)
        }
        Ok(Err(error)) => {
            spdlog::debug!("call_failed endpoint={} cause=\"{}\"", entry.id, error);
            None
        }
        Err(_) => None,
    }
}
