//! Keeps which build began each stream, so that a client that takes the stream up again is served by the same build.
//!
//! Each instance keeps the origins of its own streams. While several builds may serve, it also sends them to a few other
//! instances, which keep them in case it ends or cannot be reached. Any instance finds these by the attempt alone.

use std::collections::{HashMap, HashSet};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_endpoints::build_history::RETENTION;
use ploverwick_endpoints::lookup::{Lookup, Reply, Step, Verdict};
use ploverwick_endpoints::origins::{self, Attempt, Candidate};
use ploverwick_endpoints::{Build, Entry, Serving};
use ploverwick_names::Moment;
use ploverwick_routes::Route;

use crate::messages::{Message, OriginRecord};
use crate::shared::Shared;
use crate::state::{InstanceListState, State};

/// The maximum number of origins in one message.
const MAX_RECORDS_PER_MESSAGE: usize = 48;
/// The number of other instances up to which a lookup asks all of them, and not only those that keep the origin. An
/// instance that does not know of a second build sends no origins.
const MAX_ALL_ASKED: usize = 8;

/// How often this instance checks whether it still knows all builds.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The route of a stream, and the service that its request was assigned to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scope<'a> {
    pub(crate) route: &'a Route,
    pub(crate) service: &'a str,
}

impl Scope<'_> {
    /// Returns what this instance knows of the builds of all services that share the route.
    fn serving(self, state: &State, now: Moment) -> Serving {
        let services = self.route.services();
        let serving = services.map(|service| state.serving(service, now));
        serving.fold(Serving::Nothing, Serving::across)
    }

    /// Returns the same for the list as it is, even if it is out of date.
    fn listed(self, state: &State, now: Moment) -> Serving {
        let services = self.route.services();
        let serving = services.map(|service| state.listed_serving(service, now));
        serving.fold(Serving::Nothing, Serving::across)
    }
}

/// Records the build that began a stream, which a client may take up again for `lifetime`.
///
/// The origin is sent at once: the client comes to another instance as soon as this one ends.
pub(crate) fn record(
    shared: &Shared,
    scope: Scope<'_>,
    attempt: Attempt,
    entry: &Entry,
    lifetime: Duration,
) {
    let now = shared.now();
    let expires = now + lifetime.min(RETENTION);
    let build = entry.build();
    let mut state = shared.state();
    state.own_origins.insert(attempt, build, expires, now);
    if !scope.serving(&state, now).is_mixed() {
        return;
    }
    let to = holders(shared, &state, attempt);
    drop(state);
    let record = OriginRecord::new(attempt, build, expires, now);
    shared
        .peer_socket
        .send(&Message::Origins(vec![record]), &to);
}

/// Sends the origins of running streams whenever others can no longer infer them, for as long as the process runs: a service has
/// a second build, or this instance does not know all builds, as the others may not either.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut knew_builds = false;
    loop {
        let added = tokio::time::timeout(CHECK_INTERVAL, shared.build_added.notified()).await;
        let now = shared.now();
        let knows_builds = shared.state().knows_builds(now);
        if added.is_ok() || (knew_builds && !knows_builds) {
            send_own(&shared);
        }
        knew_builds = knows_builds;
    }
}

/// Sends the origins of all own streams that may still be taken up again.
fn send_own(shared: &Shared) {
    let now = shared.now();
    let state = shared.state();
    let mut by_holder: HashMap<IpAddr, Vec<OriginRecord>> = HashMap::new();
    for (attempt, build, expires) in state.own_origins.live(now) {
        let record = OriginRecord::new(attempt, build, expires, now);
        for ip in holders(shared, &state, attempt) {
            by_holder.entry(ip).or_default().push(record);
        }
    }
    drop(state);
    for (ip, records) in by_holder {
        for part in records.chunks(MAX_RECORDS_PER_MESSAGE) {
            let message = Message::Origins(part.to_vec());
            shared.peer_socket.send(&message, &[ip]);
        }
    }
}

/// Keeps origins that another instance recorded.
pub(crate) fn handle_records(shared: &Shared, records: &[OriginRecord]) {
    let now = shared.now();
    let mut state = shared.state();
    for record in records {
        let remaining = Duration::from_millis(record.remaining_ms.into()).min(RETENTION);
        state
            .kept_origins
            .insert(record.attempt, record.build, now + remaining, now);
    }
}

/// Answers another instance that looks up an origin.
pub(crate) fn handle_query(
    shared: &Shared,
    from: IpAddr,
    id: u64,
    service: &str,
    attempt: Option<Attempt>,
) {
    let now = shared.now();
    let state = shared.state();
    let reply = match attempt.and_then(|attempt| known_origin(&state, attempt, now)) {
        Some(build) => Reply::Began(build),
        None => Reply::Unknown(route_serving(&state, service, now)),
    };
    drop(state);
    let message = Message::OriginReply { id, reply };
    shared.peer_socket.send(&message, &[from]);
}

/// Returns what this instance knows of the builds of a service and of those that share a route with it: a stream of the route
/// may have begun at any of them.
fn route_serving(state: &State, service: &str, now: Moment) -> Serving {
    let routes = state.config.iter().flat_map(|config| config.routes());
    let shared_by = routes.filter(|route| {
        let mut services = route.services();
        route.kind.is_resumable() && services.any(|other| **other == *service)
    });
    let sharers = shared_by.flat_map(|route| route.services());
    let sharers: HashSet<&str> = sharers.map(AsRef::as_ref).chain([service]).collect();
    let serving = sharers.into_iter().map(|name| state.serving(name, now));
    serving.fold(Serving::Nothing, Serving::across)
}

/// Removes the origins of streams that can no longer be taken up.
pub(crate) fn remove_expired(shared: &Shared) {
    let now = shared.now();
    let mut state = shared.state();
    state.own_origins.remove_expired(now);
    state.kept_origins.remove_expired(now);
}

/// Looks up the build that began the stream of an attempt.
///
/// Without an attempt, it can only be inferred. Clients that name none do not know of builds, and are served as long as no
/// instance knows of a second one.
pub(crate) async fn look_up(
    shared: &Shared,
    scope: Scope<'_>,
    attempt: Option<Attempt>,
) -> Verdict {
    if let Some(build) = attempt.and_then(|attempt| find(shared, attempt)) {
        return Verdict::Began(build);
    }
    let (mut decision, to) = start_lookup(shared, scope, attempt);
    let (lookup, mut replies) = shared.origin_lookups.start();
    let query = Message::OriginQuery {
        id: lookup.id,
        service: Arc::from(scope.service),
        attempt,
    };
    shared.peer_socket.send(&query, &to);
    loop {
        match decision.next_step(shared.now()) {
            Step::Decided(verdict) => {
                log_unknown(shared, scope, &decision, verdict);
                return verdict;
            }
            Step::AskAgain => shared.peer_socket.send(&query, &to),
            Step::Wait(until) => {
                let reply = tokio::time::timeout_at(shared.clock.instant(until), replies.recv());
                if let Ok(Some((from, reply))) = reply.await
                    && to.contains(&from)
                {
                    decision.record_reply(from, reply);
                }
            }
        }
    }
}

/// Logs why a lookup found nothing.
fn log_unknown(shared: &Shared, scope: Scope<'_>, decision: &Lookup, verdict: Verdict) {
    if verdict == Verdict::Unknown && shared.log_limiter.allow(shared.now()) {
        spdlog::info!(
            "stream_origin_unknown service={} builds={:?} replies={}/{}",
            scope.service,
            decision.serving(),
            decision.replies(),
            decision.asked()
        );
    }
}

/// Starts a lookup; returns it with the instances to ask.
fn start_lookup(
    shared: &Shared,
    scope: Scope<'_>,
    attempt: Option<Attempt>,
) -> (Lookup, Vec<IpAddr>) {
    let now = shared.now();
    let state = shared.state();
    let own = match attempt {
        // That nobody can be asked yet confirms nothing.
        Some(_) if state.instance_list == InstanceListState::Unread => {
            scope.serving(&state, now).outdated()
        }
        Some(_) => scope.serving(&state, now),
        None => scope.listed(&state, now),
    };
    let mut to = asked(shared, &state, attempt);
    if matches!(own, Serving::Unconfirmed(_)) {
        add_placers(shared, &state, &mut to, now);
    }
    (Lookup::new(own, to.len(), now), to)
}

/// Returns the build that began the stream of an attempt, if this instance knows it.
fn find(shared: &Shared, attempt: Attempt) -> Option<Build> {
    let now = shared.now();
    known_origin(&shared.state(), attempt, now)
}

fn known_origin(state: &State, attempt: Attempt, now: Moment) -> Option<Build> {
    let own = state.own_origins.get(attempt, now);
    own.or_else(|| state.kept_origins.get(attempt, now))
}

/// Returns the other instances that are asked for the origin of an attempt.
fn asked(shared: &Shared, state: &State, attempt: Option<Attempt>) -> Vec<IpAddr> {
    match attempt {
        Some(attempt) if state.peers.len() > MAX_ALL_ASKED => holders(shared, state, attempt),
        _ => {
            let peers = state.peers.values().map(|peer| peer.ip);
            peers.take(MAX_ALL_ASKED).collect()
        }
    }
}

/// Adds the placers, which read the store themselves and so are the first to know that only one build served.
fn add_placers(shared: &Shared, state: &State, to: &mut Vec<IpAddr>, now: Moment) {
    let domains = shared.settings.domains.iter();
    for placer in domains.filter_map(|domain| state.placer_of(domain, now)) {
        if !to.contains(&placer) {
            to.push(placer);
        }
    }
}

/// Returns the other instances that keep the origin of an attempt.
fn holders(shared: &Shared, state: &State, attempt: Attempt) -> Vec<IpAddr> {
    let own = Candidate {
        name: &shared.settings.instance,
        domain: &shared.settings.domain,
    };
    let peers = state.peers.iter().map(|(name, peer)| Candidate {
        name,
        domain: &peer.domain,
    });
    let names = origins::holders(attempt, peers.chain([own]));
    let peers = names.into_iter().filter_map(|name| state.peers.get(name));
    peers.map(|peer| peer.ip).collect()
}
