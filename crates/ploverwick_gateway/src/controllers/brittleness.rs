//! Follows which services are brittle: their endpoints crash if they have to turn many requests away.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_endpoints::brittleness::Statement;
use ploverwick_endpoints::{BrittleService, Brittleness, Entry, Evidence};
use ploverwick_names::Moment;
use ploverwick_platform::answer::Head;
use tokio::time::Instant;

use crate::broadcast;
use crate::messages::EndpointPause;
use crate::metrics;
use crate::shared::Shared;
use crate::state::InstanceListState;

/// How long an instance that has just started waits for its peers to say which services are brittle.
const LEARNING_TIMEOUT: Duration = Duration::from_millis(500);
/// How often it sends the request to them.
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);

/// Handles what the head of an answer says of its endpoint; the request was sent at `sent_at`.
pub(crate) fn handle_answer(shared: &Shared, entry: &Entry, head: &Head, sent_at: Moment) {
    let is_authentic = head.is_authentic();
    let statement = match head.max_refusals {
        Some(max_refusals) => Statement::Brittle { max_refusals },
        None if is_authentic => Statement::Sound,
        None => return,
    };
    let service = &entry.service;
    let now = shared.now();
    let mut state = shared.state();
    if !state
        .brittleness
        .record_answer(service, statement, sent_at, now)
    {
        return;
    }
    state.handle_brittle(service, &shared.settings, now);
    let messages = state.brittleness.messages(Duration::ZERO, now);
    drop(state);
    log_brittle(
        service,
        head.max_refusals,
        &format_args!("answer endpoint={}", entry.id),
    );
    broadcast::send_brittle_services(shared, messages);
}

/// Handles a message from another instance about brittle services.
pub(crate) fn handle_services(shared: &Shared, services: &[BrittleService], from: IpAddr) {
    let now = shared.now();
    let mut state = shared.state();
    for service in services {
        if state.brittleness.apply(service, now) {
            state.handle_brittle(&service.service, &shared.settings, now);
            let by = format_args!("instance from={from}");
            log_brittle(&service.service, Some(service.max_refusals), &by);
        }
    }
    drop(state);
    shared.brittleness_known.send_replace(true);
    shared.slots_changed.notify_waiters();
}

fn log_brittle(service: &str, max_refusals: Option<u32>, by: &dyn std::fmt::Display) {
    let max_refusals = max_refusals.unwrap_or_default();
    spdlog::info!(
        "service_brittle service={} max_refusals={} by={}",
        service,
        max_refusals,
        by
    );
}

/// Asks the peers of an instance that has just started which services are brittle, until one replies.
pub(crate) async fn learn(shared: Arc<Shared>) {
    let deadline = Instant::now() + LEARNING_TIMEOUT;
    while !*shared.brittleness_known.borrow() && Instant::now() < deadline {
        let has_peers = broadcast::request_brittle_services(&shared);
        let is_listed = shared.state().instance_list != InstanceListState::Unread;
        if is_listed && !has_peers {
            break;
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    shared.brittleness_known.send_replace(true);
}

/// Waits until this instance knows which services are brittle.
pub(crate) async fn wait_until_known(shared: &Shared) {
    if *shared.brittleness_known.borrow() {
        return;
    }
    let mut known = shared.brittleness_known.subscribe();
    // The sender lives as long as the process.
    drop(known.wait_for(|is_known| *is_known).await);
}

/// Handles an answer in which a brittle endpoint turned the request `id` away, and records why it was sent there.
pub(crate) fn handle_refusal(
    shared: &Shared,
    endpoint: &Arc<str>,
    id: &str,
    evidence: &Evidence,
    max_refusals: u32,
) {
    let now = shared.now();
    let mut state = shared.state();
    state.refusals.record(endpoint, now);
    let recent = state.refusals.count(endpoint, now);
    drop(state);
    let cause = evidence.cause().name();
    metrics::endpoint_refusal(cause);
    if shared.log_limiter.allow(now) {
        spdlog::info!(
            "endpoint_refusal id={} endpoint={} cause={} slots={} own={} known={} age_ms={} since_pause_ms={} earlier_sends={} recent={}",
            id,
            endpoint,
            cause,
            evidence.slots,
            evidence.own,
            evidence.known,
            format_ms(evidence.age),
            format_ms(evidence.since_pause),
            evidence.earlier_sends,
            recent
        );
    }
    let pause = Brittleness::pause(max_refusals);
    record_pause(shared, endpoint, pause, &format_args!("answer id={id}"));
    let pause = EndpointPause::new(Arc::clone(endpoint), pause);
    broadcast::send_pauses(shared, vec![pause]);
}

fn format_ms(duration: Option<Duration>) -> String {
    duration.map_or_else(
        || "-".to_owned(),
        |duration| duration.as_millis().to_string(),
    )
}

/// Handles a message from another instance about endpoints that turned requests away.
pub(crate) fn handle_pauses(shared: &Shared, pauses: &[EndpointPause], from: IpAddr) {
    for pause in pauses {
        let source = format_args!("instance from={from}");
        let now = shared.now();
        shared.state().refusals.record(&pause.endpoint, now);
        record_pause(shared, &pause.endpoint, pause.duration(), &source);
    }
}

fn record_pause(
    shared: &Shared,
    endpoint: &Arc<str>,
    pause: Duration,
    source: &dyn std::fmt::Display,
) {
    let now = shared.now();
    let mut state = shared.state();
    // The endpoint may have been removed from the list before its answer arrived.
    let is_new = state.fleet.entry(endpoint).is_some() && state.pauses.record(endpoint, pause, now);
    drop(state);
    if is_new {
        metrics::endpoint_paused();
        if shared.log_limiter.allow(now) {
            spdlog::info!(
                "endpoint_paused endpoint={} ms={} by={}",
                endpoint,
                pause.as_millis(),
                source
            );
        }
    }
}
