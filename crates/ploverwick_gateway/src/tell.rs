//! What this instance tells others.
//!
//! Instances of a failure domain tell each other directly. Between domains only placers hear what
//! concerns endpoints and pass it on, so that neither messages nor bytes between domains grow with
//! the product of instances.

mod batches;
pub(crate) mod quarantine;
mod rounds;

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_adapters::{Copy, Event, Need};
use ploverwick_endpoints::{Entry, LimitUpdate, State as EndpointState};
use ploverwick_names::Moment;
use ploverwick_topics::Position;

use crate::messages::{Change, ChangeKind, Message};
use crate::outbox;
use crate::shared::Shared;
use crate::state::State;
use crate::topics::{RelayedRecord, Topic};

pub(crate) use rounds::run;

/// How long changes at endpoints are gathered; a request that waits for a load elsewhere waits that
/// much longer, of some 260 ms.
const GATHER: Duration = Duration::from_millis(25);

/// The peers that an instance which has started asks for limits of endpoints.
const ASKED: usize = 4;

/// Asks the instance at `ip` for an adapter.
pub(crate) fn need(shared: &Shared, ip: IpAddr, copy: &Copy, need: Need) {
    let message = Message::Need {
        copy: copy.clone(),
        need,
    };
    shared.peer_socket.send(&message, &[ip]);
}

/// Tells what changed at an endpoint of this failure domain, together with what waits.
pub(crate) fn changed(shared: &Shared, endpoint: &Arc<str>, event: &Event) {
    let (copy, kind) = match event {
        Event::Loading(copy) => (copy, ChangeKind::Loading),
        Event::Loaded(copy) => (copy, ChangeKind::Loaded),
        Event::Unloaded(copy) => (copy, ChangeKind::Unloaded),
        Event::Reported(copies) => return learned(shared, endpoint, copies),
        Event::BaseLoaded(_) => return,
    };
    let change = Change {
        endpoint: Arc::clone(endpoint),
        copy: copy.clone(),
        kind,
    };
    if shared.outbox.add(change) {
        let to = near(shared, &shared.state());
        send_changes(shared, shared.outbox.take_local(), &to);
    }
}

/// Tells all that an endpoint holds, after what changed there before.
fn learned(shared: &Shared, endpoint: &Arc<str>, copies: &[Copy]) {
    flush(shared);
    let now = shared.now();
    let state = shared.state();
    let mut to = near(shared, &state);
    to.extend(hubs(shared, &state, now));
    drop(state);
    shared
        .peer_socket
        .send(&Message::endpoint_report(endpoint, copies), &to);
}

/// Tells what waits, a moment after something was added.
pub(crate) async fn changes(shared: Arc<Shared>) {
    loop {
        shared.outbox.added().await;
        tokio::time::sleep(GATHER).await;
        flush(&shared);
    }
}

fn flush(shared: &Shared) {
    let waiting = shared.outbox.take();
    if waiting.remote.is_empty() && waiting.relayed.is_empty() {
        return;
    }
    let now = shared.now();
    let state = shared.state();
    let near = near(shared, &state);
    let hubs = hubs(shared, &state, now);
    drop(state);
    send_changes(shared, waiting.local, &near);
    send_changes(shared, waiting.remote, &hubs);
    send_changes(shared, waiting.relayed, &near);
}

fn send_changes(shared: &Shared, changes: Vec<Change>, to: &[IpAddr]) {
    for list in outbox::batches(changes) {
        shared.peer_socket.send(&Message::Changes(list), to);
    }
}

/// Tells the peers of this failure domain that one of them may place its adapters.
pub(crate) fn vacate(shared: &Shared) {
    let to = near(shared, &shared.state());
    shared.peer_socket.send(&Message::LeaseReleased, &to);
}

/// Tells the peers of this failure domain, each of which may place adapters next, that a base model
/// is being loaded.
pub(crate) fn base_load(shared: &Shared) {
    let to = near(shared, &shared.state());
    shared.peer_socket.send(&Message::BaseLoad, &to);
}

/// Tells all instances a limit of an endpoint that an answer said here.
pub(crate) fn limit(shared: &Shared, told: LimitUpdate) {
    let now = shared.now();
    let state = shared.state();
    let mut to = near(shared, &state);
    to.extend(hubs(shared, &state, now));
    drop(state);
    shared
        .peer_socket
        .send(&Message::EndpointLimits(vec![told]), &to);
}

/// Notifies all instances of endpoints whose answers to this instance reported that they are leaving.
pub(crate) fn draining(shared: &Shared, endpoints: Vec<Arc<str>>) {
    let now = shared.now();
    let state = shared.state();
    let mut to = near(shared, &state);
    to.extend(hubs(shared, &state, now));
    drop(state);
    shared.peer_socket.send(&Message::Draining(endpoints), &to);
}

/// Sends the instance at `ip` all endpoints that this instance knows to be draining.
pub(crate) fn all_draining(shared: &Shared, ip: IpAddr) {
    let state = shared.state();
    let entries = state.fleet.entries();
    let draining = entries.filter(|entry| entry.state == EndpointState::Draining);
    let draining: Vec<Arc<str>> = draining.map(|entry| Arc::clone(&entry.id)).collect();
    drop(state);
    for part in draining.chunks(rounds::CHUNK) {
        shared
            .peer_socket
            .send(&Message::Draining(part.to_vec()), &[ip]);
    }
}

/// Asks some peers which limits of endpoints they know; `false` if nobody can be asked yet. Who has just started
/// knows none, and would send what it likes until the next answer, or the next time that others tell.
pub(crate) fn ask_limits(shared: &Shared) -> bool {
    let now = shared.now();
    let state = shared.state();
    let mut to = near(shared, &state);
    to.truncate(ASKED);
    if to.is_empty() {
        to = hubs(shared, &state, now);
    }
    // What is told of an endpoint that is not listed yet would be lost.
    let can_ask = state.has_roster && !to.is_empty();
    drop(state);
    if can_ask {
        shared
            .peer_socket
            .send(&Message::EndpointLimitsRequest, &to);
    }
    can_ask
}

/// Tells the instance at `ip` all limits of endpoints that are known here.
pub(crate) fn limits(shared: &Shared, ip: IpAddr) {
    let now = shared.now();
    let known = shared.state().limits.updates(now);
    for part in known.chunks(rounds::CHUNK) {
        let message = Message::EndpointLimits(part.to_vec());
        shared.peer_socket.send(&message, &[ip]);
    }
}

/// Passes on what a placer of another failure domain says.
pub(crate) fn pass_on(shared: &Shared, message: &Message) {
    let to = near(shared, &shared.state());
    shared.peer_socket.send(message, &to);
}

/// Tells the peers of this failure domain what changed in the list of endpoints.
pub(crate) fn list(shared: &Shared, changed: Vec<Entry>, gone: Vec<Arc<str>>, digest: u64) {
    let peers = near(shared, &shared.state());
    for message in batches::of_list(changed, gone, digest) {
        shared.peer_socket.send(&message, &peers);
    }
}

/// Tells the peers of this failure domain the records of a topic from `from` to before `next`. They read
/// themselves what is too long for a message.
pub(crate) fn records(
    shared: &Shared,
    topic: Topic,
    from: Position,
    next: Position,
    records: Vec<RelayedRecord>,
) {
    let peers = near(shared, &shared.state());
    for message in batches::of_records(topic, from, next, records) {
        shared.peer_socket.send(&message, &peers);
    }
}

/// Asks the instance at `ip` what endpoints hold.
pub(crate) fn ask_holds(shared: &Shared, ip: IpAddr, endpoints: Vec<Arc<str>>) {
    shared
        .peer_socket
        .send(&Message::EndpointReportRequest(endpoints), &[ip]);
}

/// Tells the instance at `ip` what endpoints hold, as far as it is known here.
pub(crate) fn holds(shared: &Shared, ip: IpAddr, endpoints: &[Arc<str>]) {
    for endpoint in endpoints {
        let held = shared.state().directory.held(endpoint);
        if let Some(held) = held {
            shared
                .peer_socket
                .send(&Message::endpoint_report(endpoint, &held), &[ip]);
        }
    }
}

fn near(shared: &Shared, state: &State) -> Vec<IpAddr> {
    let peers = state.peers.values();
    let near = peers.filter(|peer| peer.domain == shared.settings.domain);
    near.map(|peer| peer.ip).collect()
}

/// Lists who passes things on in other failure domains: the placer, or all instances of a domain
/// that has none.
fn hubs(shared: &Shared, state: &State, now: Moment) -> Vec<IpAddr> {
    let mut hubs = Vec::new();
    let domains = shared.settings.domains.iter();
    for domain in domains.filter(|domain| **domain != shared.settings.domain) {
        match state.placer_of(domain, now) {
            Some(placer) => hubs.push(placer),
            None => {
                let peers = state.peers.values().filter(|peer| peer.domain == *domain);
                hubs.extend(peers.map(|peer| peer.ip));
            }
        }
    }
    hubs
}
