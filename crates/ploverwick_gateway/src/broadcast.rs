//! Messages that this instance sends to other instances.
//!
//! Instances of a failure domain send messages to each other directly. What concerns endpoints crosses to
//! another failure domain only through its placer, which relays it there. The number of messages and bytes
//! between two domains therefore does not grow with the product of their instance counts.

mod batches;
mod capacities;
mod periodic;
pub(crate) mod quarantine;

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_adapters::{Copy, Event, Request};
use ploverwick_endpoints::slots::Outgoing;
use ploverwick_endpoints::{BrittleService, Build, Entry, LimitUpdate, State as EndpointState};
use ploverwick_names::Moment;
use ploverwick_topics::Position;

use crate::messages::{Change, ChangeKind, EndpointPause, Message, SlotNotice};
use crate::outbox;
use crate::shared::Shared;
use crate::state::State;
use crate::topics::{RelayedRecord, Topic};

pub(crate) use periodic::{run, status_interval};

/// How long changes at endpoints are collected into one message. It adds to the latency of a request that
/// waits for a load in another failure domain, which is about 260 ms.
const BATCH_DELAY: Duration = Duration::from_millis(25);

/// The maximum number of peers of its failure domain that an instance asks for the limits of endpoints after
/// it starts.
const MAX_PEERS_ASKED: usize = 4;

/// Asks the instance at `ip` to have an adapter loaded, at an endpoint of the build if one is given.
pub(crate) fn send_load_request(
    shared: &Shared,
    ip: IpAddr,
    request: Request,
    build: Option<Build>,
) {
    let message = match build {
        None => Message::LoadRequest(request),
        Some(build) => Message::BuildLoadRequest { request, build },
    };
    shared.peer_socket.send(&message, &[ip]);
}

/// Tells the instance at `ip`, which asked for a load, that an endpoint holds the adapter already: the message on
/// its completion may have been lost.
pub(crate) fn send_holder(shared: &Shared, ip: IpAddr, endpoint: Arc<str>, copy: &Copy) {
    let change = Change {
        endpoint,
        copy: copy.clone(),
        kind: ChangeKind::Loaded,
    };
    shared
        .peer_socket
        .send(&Message::Changes(vec![change]), &[ip]);
}

/// Queues a change at an endpoint of this failure domain, and sends the pending changes to the domain's
/// instances at once if they are urgent or fill a message.
pub(crate) fn send_event(shared: &Shared, endpoint: &Arc<str>, event: &Event) {
    let (copy, kind) = match event {
        Event::Loading(copy) => (copy, ChangeKind::Loading),
        Event::Loaded(copy) => (copy, ChangeKind::Loaded),
        Event::Unloaded(copy) => (copy, ChangeKind::Unloaded),
        Event::Reported(copies) => return send_report(shared, endpoint, copies),
        Event::BaseLoaded(_) => return,
    };
    let change = Change {
        endpoint: Arc::clone(endpoint),
        copy: copy.clone(),
        kind,
    };
    if shared.outbox.add(change) {
        let to = domain_peers(shared, &shared.state());
        send_changes(shared, shared.outbox.take_local(), &to);
    }
}

/// Sends a report of all adapters that an endpoint holds, after the pending changes that precede it.
fn send_report(shared: &Shared, endpoint: &Arc<str>, copies: &[Copy]) {
    flush(shared);
    let now = shared.now();
    let state = shared.state();
    let mut to = domain_peers(shared, &state);
    to.extend(remote_relays(shared, &state, now));
    drop(state);
    shared
        .peer_socket
        .send(&Message::endpoint_report(endpoint, copies), &to);
}

/// Sends pending changes in batches, for as long as the process runs.
pub(crate) async fn run_outbox(shared: Arc<Shared>) {
    loop {
        shared.outbox.added().await;
        tokio::time::sleep(BATCH_DELAY).await;
        flush(&shared);
    }
}

fn flush(shared: &Shared) {
    let pending = shared.outbox.take();
    if pending.remote.is_empty() && pending.relayed.is_empty() {
        return;
    }
    let now = shared.now();
    let state = shared.state();
    let local = domain_peers(shared, &state);
    let relays = remote_relays(shared, &state, now);
    drop(state);
    send_changes(shared, pending.local, &local);
    send_changes(shared, pending.remote, &relays);
    send_changes(shared, pending.relayed, &local);
}

fn send_changes(shared: &Shared, changes: Vec<Change>, to: &[IpAddr]) {
    for list in outbox::batches(changes) {
        shared.peer_socket.send(&Message::Changes(list), to);
    }
}

/// Notifies the peers of this failure domain that this instance has left the placer group, so that one of
/// them may become the placer.
pub(crate) fn send_lease_released(shared: &Shared) {
    let to = domain_peers(shared, &shared.state());
    shared.peer_socket.send(&Message::LeaseReleased, &to);
}

/// Notifies the peers of this failure domain that a base model is being loaded, because each of them may
/// become the placer and must count the load.
pub(crate) fn send_base_load(shared: &Shared) {
    let to = domain_peers(shared, &shared.state());
    shared.peer_socket.send(&Message::BaseLoad, &to);
}

/// Sends all instances the limit of an endpoint that an answer to this instance changed.
pub(crate) fn send_limit(shared: &Shared, update: LimitUpdate) {
    let now = shared.now();
    let state = shared.state();
    let mut to = domain_peers(shared, &state);
    to.extend(remote_relays(shared, &state, now));
    drop(state);
    shared
        .peer_socket
        .send(&Message::EndpointLimits(vec![update]), &to);
}

/// Notifies all instances of endpoints whose answers to this instance reported that they are leaving.
pub(crate) fn send_draining(shared: &Shared, endpoints: Vec<Arc<str>>) {
    let now = shared.now();
    let state = shared.state();
    let mut to = domain_peers(shared, &state);
    to.extend(remote_relays(shared, &state, now));
    drop(state);
    shared.peer_socket.send(&Message::Draining(endpoints), &to);
}

/// Notifies all instances of endpoints that get no requests for a while.
pub(crate) fn send_pauses(shared: &Shared, pauses: Vec<EndpointPause>) {
    let now = shared.now();
    let state = shared.state();
    let mut to = domain_peers(shared, &state);
    to.extend(remote_relays(shared, &state, now));
    drop(state);
    let message = Message::EndpointPauses(pauses);
    shared.peer_socket.send(&message, &to);
}

/// Notifies all instances of brittle services.
pub(crate) fn send_brittle_services(shared: &Shared, services: Vec<BrittleService>) {
    let now = shared.now();
    let state = shared.state();
    let mut to = domain_peers(shared, &state);
    to.extend(remote_relays(shared, &state, now));
    drop(state);
    let message = Message::BrittleServices(services);
    shared.peer_socket.send(&message, &to);
}

/// Asks some peers which services are brittle. Returns whether there is one to ask.
pub(crate) fn request_brittle_services(shared: &Shared) -> bool {
    let to = some_peers(shared);
    shared
        .peer_socket
        .send(&Message::BrittleServicesRequest, &to);
    !to.is_empty()
}

/// Sends the instance at `ip` the services that this instance knows to be brittle, unless it does not know itself.
pub(crate) fn reply_brittle_services(shared: &Shared, ip: IpAddr) {
    if !*shared.brittleness_known.borrow() {
        return;
    }
    let now = shared.now();
    let services = shared.state().brittleness.messages(Duration::MAX, now);
    let message = Message::BrittleServices(services);
    shared.peer_socket.send(&message, &[ip]);
}

/// Sends notices on loans of slots.
pub(crate) fn send_slot_notices(shared: &Shared, outgoing: Vec<Outgoing>) {
    let mut by_receiver: HashMap<IpAddr, Vec<SlotNotice>> = HashMap::new();
    for Outgoing {
        to,
        notice,
        endpoint,
        id,
    } in outgoing
    {
        let notice = SlotNotice {
            notice,
            endpoint,
            id,
        };
        by_receiver.entry(to).or_default().push(notice);
    }
    for (to, notices) in by_receiver {
        for part in notices.chunks(periodic::MAX_ITEMS_PER_MESSAGE / 2) {
            let message = Message::SlotNotices(part.to_vec());
            shared.peer_socket.send(&message, &[to]);
        }
    }
}

/// Sends the instance at `ip` all endpoints that this instance knows to be draining.
pub(crate) fn send_all_draining(shared: &Shared, ip: IpAddr) {
    let state = shared.state();
    let entries = state.fleet.entries();
    let draining = entries.filter(|entry| entry.state == EndpointState::Draining);
    let draining: Vec<Arc<str>> = draining.map(|entry| Arc::clone(&entry.id)).collect();
    drop(state);
    for part in draining.chunks(periodic::MAX_ITEMS_PER_MESSAGE) {
        shared
            .peer_socket
            .send(&Message::Draining(part.to_vec()), &[ip]);
    }
}

/// Asks some peers for the limits of endpoints that they know; returns `false` if no peer can be asked yet.
///
/// An instance that has just started knows no limits. Without asking, it would send at an unlimited rate
/// until the next answer or the next periodic update from a peer.
pub(crate) fn request_limits(shared: &Shared) -> bool {
    let to = some_peers(shared);
    // Limits of endpoints that are not on the list yet would be dropped.
    let can_ask = shared.state().has_endpoint_list && !to.is_empty();
    if can_ask {
        shared
            .peer_socket
            .send(&Message::EndpointLimitsRequest, &to);
    }
    can_ask
}

/// Returns some peers to ask after a start, of this failure domain if there are any.
fn some_peers(shared: &Shared) -> Vec<IpAddr> {
    let now = shared.now();
    let state = shared.state();
    let mut peers = domain_peers(shared, &state);
    peers.truncate(MAX_PEERS_ASKED);
    if peers.is_empty() {
        peers = remote_relays(shared, &state, now);
    }
    peers
}

/// Sends the instance at `ip` all limits of endpoints that this instance knows.
pub(crate) fn send_all_limits(shared: &Shared, ip: IpAddr) {
    let now = shared.now();
    let known = shared.state().limits.updates(now);
    for part in known.chunks(periodic::MAX_ITEMS_PER_MESSAGE) {
        let message = Message::EndpointLimits(part.to_vec());
        shared.peer_socket.send(&message, &[ip]);
    }
}

/// Relays a message from the placer of another failure domain to the peers of this one.
pub(crate) fn relay(shared: &Shared, message: &Message) {
    let to = domain_peers(shared, &shared.state());
    shared.peer_socket.send(message, &to);
}

/// Sends the peers of this failure domain the changes to the list of endpoints.
pub(crate) fn send_endpoint_list_update(
    shared: &Shared,
    changed: Vec<Entry>,
    removed: Vec<Arc<str>>,
    digest: u64,
) {
    let peers = domain_peers(shared, &shared.state());
    for message in batches::endpoint_list_messages(changed, removed, digest) {
        shared.peer_socket.send(&message, &peers);
    }
}

/// Sends the peers of this failure domain the records of a topic from `from` up to but excluding `next`.
/// Peers read records that are too long for a message from the store themselves.
pub(crate) fn send_records(
    shared: &Shared,
    topic: Topic,
    from: Position,
    next: Position,
    records: Vec<RelayedRecord>,
) {
    let peers = domain_peers(shared, &shared.state());
    for message in batches::record_messages(topic, from, next, records) {
        shared.peer_socket.send(&message, &peers);
    }
}

/// Requests reports of the adapters that endpoints hold from the instance at `ip`.
pub(crate) fn request_reports(shared: &Shared, ip: IpAddr, endpoints: Vec<Arc<str>>) {
    shared
        .peer_socket
        .send(&Message::EndpointReportRequest(endpoints), &[ip]);
}

/// Sends the instance at `ip` reports of the adapters that endpoints hold, as far as this instance knows them.
pub(crate) fn send_reports(shared: &Shared, ip: IpAddr, endpoints: &[Arc<str>]) {
    for endpoint in endpoints {
        let held = shared.state().directory.held(endpoint);
        if let Some(held) = held {
            shared
                .peer_socket
                .send(&Message::endpoint_report(endpoint, &held), &[ip]);
        }
    }
}

fn domain_peers(shared: &Shared, state: &State) -> Vec<IpAddr> {
    let peers = state.peers.values();
    let local = peers.filter(|peer| peer.domain == shared.settings.domain);
    local.map(|peer| peer.ip).collect()
}

/// Returns the instances that relay messages within other failure domains: the placer, or every instance of
/// a domain without one.
fn remote_relays(shared: &Shared, state: &State, now: Moment) -> Vec<IpAddr> {
    let mut relays = Vec::new();
    let domains = shared.settings.domains.iter();
    for domain in domains.filter(|domain| **domain != shared.settings.domain) {
        match state.placer_of(domain, now) {
            Some(placer) => relays.push(placer),
            None => {
                let peers = state.peers.values().filter(|peer| peer.domain == *domain);
                relays.extend(peers.map(|peer| peer.ip));
            }
        }
    }
    relays
}
