//! Sends orders to the endpoints of this failure domain while this instance holds the placer lease.
//!
//! One task per endpoint sends one order at a time and waits for the answer.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ploverwick_adapters::{Answer, Capacity, Event, LoadLimit, ModelSize, Order, Report, Step};
use ploverwick_endpoints::{Entry, State as EndpointState};
use ploverwick_names::Moment;
use ploverwick_platform::{endpoint_list, order};
use ploverwick_routes::Engine;
use tokio::time::Instant;

use super::order_connections::OrderConnections;
use super::{calls, reachability};
use crate::broadcast;
use crate::metrics;
use crate::shared::Shared;
use crate::state::State;

/// The initial timeout of an order; endpoints of the same failure domain answer within about 3 ms. An
/// unanswered order can safely be retried, so the timeout may be short.
const ORDER_TIMEOUT: Duration = Duration::from_millis(25);
/// The number of consecutive unanswered orders after which the timeout doubles, because the endpoint is slow.
const UNANSWERED_PER_DOUBLING: u32 = 4;
/// The maximum number of times that the timeout doubles.
const MAX_TIMEOUT_DOUBLINGS: u32 = 4;
/// The timeout of a request for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(450);
/// The interval at which missing tasks are started, and the delay after an order that found no endpoint at
/// the address. An idle task rechecks after eight times this interval.
const RECHECK_INTERVAL: Duration = Duration::from_millis(120);

/// Runs a task for each endpoint of this failure domain that accepts orders.
pub(crate) async fn run(shared: Arc<Shared>) {
    let running: Arc<Mutex<HashSet<Arc<str>>>> = Arc::default();
    loop {
        let notified = shared.orders_changed.notified();
        for endpoint in endpoints_without_task(&shared, &running) {
            let shared = Arc::clone(&shared);
            let running = Arc::clone(&running);
            tokio::spawn(async move {
                run_endpoint(&shared, &endpoint).await;
                running
                    .lock()
                    .expect("no holder of the lock panics")
                    .remove(&endpoint);
            });
        }
        tokio::select! {
            () = notified => {}
            () = tokio::time::sleep(RECHECK_INTERVAL) => {}
        }
    }
}

/// Adds missing slots to the placer and returns the endpoints that have no task yet.
fn endpoints_without_task(shared: &Shared, running: &Mutex<HashSet<Arc<str>>>) -> Vec<Arc<str>> {
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
        state.placer.add(&entry.id, capacity(engine), now);
        // An endpoint without a base model gets the first one in the order of the configuration, until
        // several are in demand.
        if let Some(slots) = state.placer.slots(&entry.id)
            && slots.is_empty()
            && let Some(model) = engine.models.iter().find(|model| engine.fits_base(model))
        {
            slots.request_base(Arc::clone(&model.name));
        }
        let mut running = running.lock().expect("no holder of the lock panics");
        if running.insert(Arc::clone(&entry.id)) {
            new.push(Arc::clone(&entry.id));
        }
    }
    new
}

/// Returns what each endpoint of a service can hold.
fn capacity(engine: &Engine) -> Capacity {
    let sizes = engine.models.iter().map(|model| {
        let size = ModelSize {
            base_kb: model.weights_kb,
            adapter_kb: model.adapter_kb,
        };
        (Arc::clone(&model.name), size)
    });
    Capacity {
        adapters: engine.adapter_slots,
        memory_kb: engine.memory_kb,
        sizes: sizes.collect(),
    }
}

/// Sends orders to one endpoint until the endpoint is removed or the lease ends.
async fn run_endpoint(shared: &Arc<Shared>, endpoint: &Arc<str>) {
    let mut unanswered = 0;
    let mut connections = OrderConnections::default();
    loop {
        let notified = shared.orders_changed.notified();
        let Some((step, entry, token)) = next_step(shared, endpoint) else {
            return;
        };
        match step {
            // This is the token under which the order was decided, even if the lease has changed since.
            Step::Send(order) => {
                let timeout = ORDER_TIMEOUT
                    * 2_u32.pow((unanswered / UNANSWERED_PER_DOUBLING).min(MAX_TIMEOUT_DOUBLINGS));
                let sent_at = Instant::now();
                let answer =
                    send_order(shared, &entry, &mut connections, &order, token, timeout).await;
                match answer {
                    Some(Answer::Unknown) => {
                        unanswered += 1;
                        // A connection that breaks at once would otherwise be tried again at once.
                        tokio::time::sleep_until(sent_at + timeout).await;
                    }
                    Some(_) => unanswered = 0,
                    None => {}
                }
            }
            Step::Report => fetch_report(shared, &entry).await,
            Step::Wait(at) => wait(shared, at, notified).await,
            Step::Idle => wait(shared, shared.now() + RECHECK_INTERVAL * 8, notified).await,
        }
    }
}

/// Returns the next step; `None` if the endpoint was removed or the lease ended.
fn next_step(shared: &Shared, endpoint: &Arc<str>) -> Option<(Step, Entry, u64)> {
    let now = shared.now();
    let mut state = shared.state();
    let token = state.placer_lease.token(now)?;
    let entry = state.fleet.entry(endpoint).cloned()?;
    if let Some(wait) = state.pauses.wait(endpoint, now) {
        return Some((Step::Wait(now + wait), entry, token));
    }
    let permit = state.placer.permit(endpoint, now);
    let load_limit = load_limit(shared, &state, &entry);
    let slots = state.placer.slots(endpoint)?;
    let step = slots.next_step(now, permit);
    if let Step::Send(order) = &step
        && slots.starts_base_load(order)
    {
        if let Some(at) = state.base_load_limiter.next_at(&load_limit, now) {
            return Some((Step::Wait(at), entry, token));
        }
        state.base_load_limiter.record_load(now);
        drop(state);
        broadcast::send_base_load(shared);
    }
    Some((step, entry, token))
}

/// Returns the limit on base model loads for the service of an endpoint.
fn load_limit(shared: &Shared, state: &State, entry: &Entry) -> LoadLimit {
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

async fn wait(shared: &Shared, until: Moment, notified: tokio::sync::futures::Notified<'_>) {
    tokio::select! {
        () = tokio::time::sleep_until(shared.clock.instant(until)) => {}
        () = notified => {}
    }
}

/// Sends an order and handles its answer; returns `None` if the lease ended before the order was sent.
async fn send_order(
    shared: &Arc<Shared>,
    entry: &Entry,
    connections: &mut OrderConnections,
    order: &Order,
    token: u64,
    timeout: Duration,
) -> Option<Answer> {
    let request = order::encode(order, &entry.id, &shared.settings.instance, token);
    let connection = match connections.take(order) {
        Some(connection) => Ok(connection),
        None => reachability::connect_directly(shared, entry).await,
    };
    // The lease may have ended while connecting.
    let is_held = shared.state().placer_lease.token(shared.now()) == Some(token);
    let answer = match connection {
        Ok(_) if !is_held => return None,
        Ok(mut connection) => {
            let response = calls::exchange(shared, entry, &mut connection, request, timeout).await;
            let answer = response.map_or(Answer::Unknown, |response| {
                order::decode_answer(response.status())
            });
            connections.keep(order, answer, connection);
            answer
        }
        Err(cause) => {
            spdlog::debug!("order_unsent endpoint={} cause=\"{}\"", entry.id, cause);
            Answer::Gone
        }
    };
    metrics::order(answer_label(answer));
    let event = record_answer(shared, &entry.id, order, token, answer);
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
        apply_event(shared, &entry.id, &event);
    }
    if answer == Answer::Gone {
        tokio::time::sleep(RECHECK_INTERVAL).await;
    }
    Some(answer)
}

fn answer_label(answer: Answer) -> &'static str {
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

fn record_answer(
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

async fn fetch_report(shared: &Arc<Shared>, entry: &Entry) {
    let report = match reachability::connect_directly(shared, entry).await {
        Ok(mut connection) => {
            let request = order::report_request(&entry.id);
            let response =
                calls::exchange(shared, entry, &mut connection, request, REPORT_TIMEOUT).await;
            response.and_then(|response| parse_report(entry, response.body()))
        }
        Err(_) => None,
    };
    if let Some(event) = handle_report(shared, &entry.id, report) {
        apply_event(shared, &entry.id, &event);
    }
}

/// Parses the report of an endpoint; returns `None` if another incarnation of it answered, which the list of
/// endpoints will show.
fn parse_report(entry: &Entry, body: &[u8]) -> Option<Report> {
    let received = endpoint_list::decode_report(body)
        .map_err(|error| {
            spdlog::warn!("report_malformed endpoint={} cause=\"{}\"", entry.id, error);
        })
        .ok()?;
    if received.born.is_some_and(|born| born != entry.born) {
        spdlog::info!(
            "report_foreign endpoint={} born={:?}",
            entry.id,
            received.born
        );
        return None;
    }
    Some(received.report)
}

fn handle_report(shared: &Shared, endpoint: &Arc<str>, report: Option<Report>) -> Option<Event> {
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

fn apply_event(shared: &Arc<Shared>, endpoint: &Arc<str>, event: &Event) {
    let now = shared.now();
    let mut state = shared.state();
    let mut is_news = true;
    match event {
        Event::Loading(copy) => is_news = state.directory.mark_loading(endpoint, copy.clone(), now),
        Event::Loaded(copy) => state.directory.mark_loaded(endpoint, copy.clone(), now),
        Event::Unloaded(copy) => {
            let is_replaced = copy.version < state.directory.newest(&copy.key);
            metrics::adapter_unloaded(if is_replaced { "replaced" } else { "room" });
            state.directory.mark_unloaded(endpoint, copy);
        }
        Event::Reported(copies) => state.directory.apply_report(endpoint, copies.clone(), now),
        Event::BaseLoaded(model) => {
            spdlog::info!("base_loaded endpoint={} model={}", endpoint, model);
        }
    }
    let demand = state.placer.demand(now);
    let limit = state.placer.load_limit(now);
    drop(state);
    metrics::adapter_loads(demand, limit);
    let log_event = match event {
        Event::Loading(copy) => Some(("adapter_ordered", copy)),
        Event::Loaded(copy) => Some(("adapter_loaded", copy)),
        Event::Unloaded(copy) => Some(("adapter_unloaded", copy)),
        Event::Reported(_) | Event::BaseLoaded(_) => None,
    };
    if let Some((event_name, copy)) = log_event {
        spdlog::info!(
            "{} adapter={} version={} endpoint={} coming={} window={} limit={} waiting={}",
            event_name,
            copy.key,
            copy.version,
            endpoint,
            demand.in_flight,
            demand.window,
            limit,
            demand.waiting
        );
    }
    shared.placement_changed.notify_waiters();
    if is_news {
        broadcast::send_event(shared, endpoint, event);
    }
}
