//! Opens connections to endpoints, and finds out whether this instance's links to them are down.

use std::collections::BTreeMap;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use ploverwick_endpoints::{Entry, Links, Reachability, Relays, State as EndpointState};
use ploverwick_names::Moment;
use ploverwick_platform::{order, socket};
use tokio::net::TcpStream;

use super::relays;
use crate::metrics;
use crate::pool::{self, ConnectError, Connection, Pool};
use crate::shared::Shared;
use crate::state::State;

/// How long a request may be unanswered before this counts as evidence. Endpoints accept requests within milliseconds,
/// and some endpoint answers one at least every few tens of milliseconds under load.
const SILENCE: Duration = Duration::from_millis(500);
/// How long a direct connection is awaited alone; a reachable endpoint accepts one within milliseconds.
const FALLBACK_DELAY: Duration = Duration::from_millis(100);
/// The timeout for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// The interval between probes while the links are down, which bounds how long a detour outlasts the cut.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// The number of endpoints of a service that are probed at a time. Several, as one may be down itself.
const PROBED_ENDPOINTS: usize = 2;

/// Opens a connection to an endpoint for the request `id`: directly, or through another instance if the link to the
/// endpoint is down.
///
/// # Errors
/// Fails if the endpoint is not reached.
pub(crate) async fn connect(
    shared: &Arc<Shared>,
    entry: &Entry,
    id: &str,
) -> Result<Connection, ConnectError> {
    if needs_check(shared, entry) && !check(shared, entry).await {
        return Err(ConnectError::Closed);
    }
    if !needs_relay(shared, entry) {
        return connect_with_fallback(shared, entry, id).await;
    }
    match relays::connect(shared, entry, id).await {
        Err(ConnectError::NoRelay) => connect_directly(shared, entry).await,
        result => result,
    }
}

/// Opens a direct connection, and a relayed one at the same time if the direct one fails or takes long. Uses the first
/// that is open.
async fn connect_with_fallback(
    shared: &Arc<Shared>,
    entry: &Entry,
    id: &str,
) -> Result<Connection, ConnectError> {
    let mut direct = pin!(connect_directly(shared, entry));
    let early = tokio::time::timeout(FALLBACK_DELAY, &mut direct).await;
    if let Ok(Ok(connection)) = early {
        return Ok(connection);
    }
    let now = shared.now();
    let may_try_relay = shared.state().reachability.may_try_relay(&entry.id, now);
    let mut relayed = pin!(relays::connect(shared, entry, id));
    let relayed = match early {
        Ok(failure) if !may_try_relay => return failure,
        Err(_) if !may_try_relay => return direct.await,
        Ok(failure) => match relayed.await {
            Err(_) => {
                record_down(shared, entry);
                return failure;
            }
            relayed => relayed,
        },
        Err(_) => tokio::select! {
            biased;
            direct = &mut direct => {
                if direct.is_err() {
                    record_down(shared, entry);
                }
                return direct;
            }
            relayed = &mut relayed => match relayed {
                Err(_) => return direct.await,
                relayed => relayed,
            }
        },
    };
    handle_detour(shared, entry);
    relayed
}

/// Checks an endpoint that closed the last new connection, and records a detour if another instance reaches it while this
/// one does not. Returns whether a connection may be opened.
async fn check(shared: &Arc<Shared>, entry: &Entry) -> bool {
    probe(shared, entry).await;
    if !needs_check(shared, entry) {
        return true;
    }
    let now = shared.now();
    if !shared.state().reachability.may_try_relay(&entry.id, now) {
        return false;
    }
    if !is_reached_by_other(shared, entry).await {
        record_down(shared, entry);
        return false;
    }
    // The endpoint may have closed single connections, and accept others in the meantime.
    probe(shared, entry).await;
    if needs_check(shared, entry) {
        handle_detour(shared, entry);
        let now = shared.now();
        update(
            shared,
            &mut shared.state(),
            &entry.service,
            |reachability| reachability.record_failed_check(entry, now),
        );
    }
    true
}

fn record_down(shared: &Shared, entry: &Entry) {
    let now = shared.now();
    shared.state().reachability.record_down(&entry.id, now);
}

/// Handles that another instance reached an endpoint while this one did not.
fn handle_detour(shared: &Shared, entry: &Entry) {
    let mut state = shared.state();
    let is_new = state.reachability.record_detour(&entry.id);
    if !is_new {
        return;
    }
    state.fleet.forget_failures(&entry.id);
    let detoured = state.reachability.detoured_count();
    drop(state);
    // They may be silent without being closed.
    shared.pool.remove(&entry.id);
    shared.probes_needed.notify_one();
    spdlog::info!(
        "endpoint_detoured endpoint={} service={} detoured={}",
        entry.id,
        entry.service,
        detoured
    );
}

/// Opens a direct connection to an endpoint.
///
/// # Errors
/// Fails if the endpoint refuses it or does not answer in time.
pub(crate) async fn connect_directly(
    shared: &Shared,
    entry: &Entry,
) -> Result<Connection, ConnectError> {
    let stream = dial(shared, entry).await?;
    socket::detect_dead_peer(&stream);
    Connection::over(stream, None, || {}).await
}

/// Opens a TCP connection to an endpoint.
///
/// # Errors
/// Fails if the endpoint refuses it or does not answer in time.
pub(crate) async fn dial(shared: &Shared, entry: &Entry) -> Result<TcpStream, ConnectError> {
    let result = pool::dial(shared.settings.ip, entry.address).await;
    match &result {
        Ok(_) => metrics::endpoint_connection("opened"),
        Err(error) => {
            metrics::endpoint_connection(error.name());
            handle_failure(shared, entry, error.name());
        }
    }
    result
}

/// Returns the pool of the connections to use for an endpoint.
pub(crate) fn pool<'a>(shared: &'a Shared, entry: &Entry) -> &'a Pool {
    if needs_relay(shared, entry) {
        &shared.relayed_pool
    } else {
        &shared.pool
    }
}

fn needs_relay(shared: &Shared, entry: &Entry) -> bool {
    shared.state().reachability.needs_relay(entry)
}

fn needs_check(shared: &Shared, entry: &Entry) -> bool {
    shared.state().reachability.needs_check(entry)
}

/// Records that a new connection to an endpoint was not opened, or brought no answer in time.
fn handle_failure(shared: &Shared, entry: &Entry, cause: &str) {
    record_and_log(shared, entry, cause, Reachability::record_failure);
}

/// Records how a new connection to an endpoint failed. Logs the first failure after a success, with the figures that
/// distinguish a fault of this instance's links from one of the endpoint.
fn record_and_log(
    shared: &Shared,
    entry: &Entry,
    cause: &str,
    record: impl FnOnce(&mut Reachability, &Entry, usize, Moment) -> bool,
) {
    let now = shared.now();
    let mut state = shared.state();
    let listed = count_listed(&state, &entry.service);
    let was_reachable = update(shared, &mut state, &entry.service, |reachability| {
        record(reachability, entry, listed, now)
    });
    let unreachable = state.reachability.unreachable_count();
    let answer_age = state.reachability.answer_age(now);
    drop(state);
    if was_reachable {
        spdlog::info!(
            "endpoint_unreachable endpoint={} service={} cause={} unreachable={} listed={} answer_age_ms={:?}",
            entry.id,
            entry.service,
            cause,
            unreachable,
            listed,
            answer_age.map(|age| age.as_millis())
        );
    }
}

/// Handles a connection that broke under a request. If it never brought an answer, it counts as one that failed to open,
/// be it here or at its relay.
pub(crate) fn handle_break(shared: &Shared, entry: &Entry, connection: &Connection) {
    if connection.is_proven {
        return;
    }
    match &connection.relay {
        None => handle_closed(shared, entry),
        Some(relay) => relays::handle_break(shared, entry, relay),
    }
}

/// Handles a new direct connection that was closed before the endpoint sent anything.
pub(crate) fn handle_closed(shared: &Shared, entry: &Entry) {
    record_and_log(shared, entry, "closed", Reachability::record_closed);
}

/// Records that an endpoint sent an answer.
pub(crate) fn handle_answer(shared: &Shared, entry: &Entry, connection: &mut Connection) {
    let is_first = !std::mem::replace(&mut connection.is_proven, true);
    if connection.relay.is_some() {
        return;
    }
    let now = shared.now();
    let mut state = shared.state();
    if !is_first {
        state.reachability.record_answer(entry, now);
        return;
    }
    let needed_relay = state.reachability.needs_relay(entry);
    let was_unreachable = update(shared, &mut state, &entry.service, |reachability| {
        reachability.record_first_answer(entry, now)
    });
    drop(state);
    if needed_relay {
        shared.relayed_pool.remove(&entry.id);
    }
    if was_unreachable {
        spdlog::info!("endpoint_reachable endpoint={}", entry.id);
    }
}

/// Waits for the answer to a request that has just been sent, and records if it is late.
pub(crate) async fn watch<T>(
    shared: &Shared,
    entry: &Entry,
    connection: &Connection,
    answer: impl Future<Output = T>,
) -> T {
    let is_direct = connection.relay.is_none();
    let sent_at = shared.now();
    let mut answer = pin!(answer);
    if is_direct && let Ok(answer) = tokio::time::timeout(SILENCE, &mut answer).await {
        return answer;
    }
    if is_direct {
        handle_silence(shared, entry, sent_at);
    }
    answer.await
}

fn handle_silence(shared: &Shared, entry: &Entry, sent_at: Moment) {
    let now = shared.now();
    let mut state = shared.state();
    let listed = count_listed(&state, &entry.service);
    update(shared, &mut state, &entry.service, |reachability| {
        reachability.record_silence(entry, sent_at, listed, now);
    });
}

fn count_listed(state: &State, service: &str) -> usize {
    let entries = state.fleet.entries();
    entries.filter(|entry| *entry.service == *service).count()
}

/// Applies evidence on a service, and handles a change of what this instance believes of the links to its endpoints.
fn update<T>(
    shared: &Shared,
    state: &mut State,
    service: &str,
    apply: impl FnOnce(&mut Reachability) -> T,
) -> T {
    let before = state.reachability.links(service);
    let result = apply(&mut state.reachability);
    let after = state.reachability.links(service);
    if before == after {
        return result;
    }
    spdlog::info!(
        "endpoint_links service={} links={} before={} unreachable={} detoured={}",
        service,
        after.name(),
        before.name(),
        state.reachability.unreachable_count(),
        state.reachability.detoured_count()
    );
    match after {
        Links::Suspected => shared.probes_needed.notify_one(),
        Links::Down => {
            let of_service = state.fleet.entries();
            let of_service = of_service.filter(|entry| *entry.service == *service);
            let endpoints: Vec<_> = of_service.map(|entry| Arc::clone(&entry.id)).collect();
            for endpoint in endpoints {
                state.fleet.forget_failures(&endpoint);
                // They may be silent without being closed.
                shared.pool.remove(&endpoint);
            }
        }
        Links::Up => {}
    }
    result
}

/// Probes endpoints while links to them are suspected to be down, or are.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut round = 0;
    loop {
        shared.probes_needed.notified().await;
        loop {
            let targets = probe_targets(&shared, round);
            if targets.is_empty() {
                break;
            }
            probe_round(&shared, &targets).await;
            round += 1;
            // As long as probes succeed, the others follow at once.
            if targets.iter().any(|entry| needs_relay(&shared, entry)) {
                tokio::time::sleep(PROBE_INTERVAL).await;
            }
        }
    }
}

/// Probes some endpoints on new connections. If all fail, confirms a suspicion by probing one of them through another
/// instance, and directly once more.
async fn probe_round(shared: &Arc<Shared>, targets: &[Entry]) {
    join_all(targets.iter().map(|entry| probe(shared, entry))).await;
    for entry in targets {
        let service = &entry.service;
        if shared.state().reachability.links(service) != Links::Suspected {
            continue;
        }
        if is_reached_by_other(shared, entry).await {
            probe(shared, entry).await;
            update(shared, &mut shared.state(), service, |reachability| {
                reachability.confirm(service);
            });
        }
    }
}

/// Returns the endpoints to probe: some of each service, in turn, among those behind a relay. While all links are
/// suspected, those that have not failed go first.
fn probe_targets(shared: &Shared, round: usize) -> Vec<Entry> {
    let state = shared.state();
    let mut by_service: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
    for entry in state.fleet.entries() {
        if entry.state == EndpointState::Ready && state.reachability.needs_relay(entry) {
            by_service.entry(&entry.service).or_default().push(entry);
        }
    }
    let mut targets = Vec::new();
    for (service, mut entries) in by_service {
        entries.sort_by(|a, b| a.id.cmp(&b.id));
        let first = round * PROBED_ENDPOINTS % entries.len();
        entries.rotate_left(first);
        if state.reachability.links(service) == Links::Suspected {
            entries.sort_by_key(|entry| state.reachability.is_unreachable(&entry.id));
        }
        targets.extend(entries.into_iter().take(PROBED_ENDPOINTS).cloned());
    }
    targets
}

/// Probes an endpoint on a new direct connection.
async fn probe(shared: &Shared, entry: &Entry) {
    let Ok(mut connection) = connect_directly(shared, entry).await else {
        return;
    };
    match is_answered(&mut connection, entry).await {
        Some(true) => handle_answer(shared, entry, &mut connection),
        Some(false) => handle_break(shared, entry, &connection),
        None => handle_failure(shared, entry, "silent"),
    }
}

/// Probes an endpoint through another instance.
async fn is_reached_by_other(shared: &Arc<Shared>, entry: &Entry) -> bool {
    match relays::connect(shared, entry, "-").await {
        Ok(mut connection) => is_answered(&mut connection, entry).await == Some(true),
        Err(_) => false,
    }
}

/// Sends a request that needs no slot, and returns whether it is answered with any status; `None` if it is not in time.
async fn is_answered(connection: &mut Connection, entry: &Entry) -> Option<bool> {
    let mut request = order::report_request(&entry.id);
    connection.begin(&mut request);
    let answer = connection.sender.send_request(request);
    let answer = tokio::time::timeout(PROBE_TIMEOUT, answer).await.ok()?;
    Some(answer.is_ok())
}

/// Updates the gauges, and forgets endpoints and instances that are no longer listed.
pub(crate) fn update_gauges(shared: &Shared) {
    let now = shared.now();
    let mut state = shared.state();
    let State {
        fleet,
        reachability,
        relays,
        peers,
        ..
    } = &mut *state;
    let is_listed = |endpoint: &str| fleet.entry(endpoint).is_some();
    reachability.retain(is_listed);
    shared.pool.retain_unnamed(is_listed);
    shared.relayed_pool.retain_unnamed(is_listed);
    for relays in relays.values_mut() {
        relays.retain(|name| peers.contains_key(name));
    }
    shared.memory.report();
    metrics::endpoints(
        fleet.entries().count(),
        reachability.unreachable_count(),
        reachability.answer_age(now),
    );
    metrics::relayed(
        reachability.down_count(),
        reachability.detoured_count(),
        relays.values().map(Relays::open_count).sum(),
        shared.relayed_connections.count(),
    );
}
