//! Takes in what other instances tell.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::broadcast;
use crate::controllers::{demand, draining, freshness, limits, quarantine, quotas, roster};
use crate::mail::{self, Change, Digest, Fate, Load, Message, Used};
use crate::shared::Shared;
use crate::state::Peer;
use crate::topics::Topic;

/// Takes in messages for as long as the process runs.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        if let Some((message, from)) = shared.mail.receive(&mut buffer).await {
            pass_on(&shared, &message, from);
            take(&shared, message, from);
        }
    }
}

/// Passes on what is told of endpoints elsewhere, if this instance places adapters.
fn pass_on(shared: &Shared, message: &Message, from: IpAddr) {
    if !message.is_passed_on() {
        return;
    }
    let now = shared.now();
    let state = shared.state();
    let sender = state.peers.values().find(|peer| peer.ip == from);
    let is_far = sender.is_some_and(|peer| peer.domain != shared.settings.domain);
    let places = state.tenure.token(now).is_some();
    drop(state);
    if !is_far || !places {
        return;
    }
    match message {
        Message::Changes(changes) => shared.outbox.pass_on(changes),
        _ => broadcast::forward(shared, message),
    }
}

fn take(shared: &Arc<Shared>, message: Message, from: IpAddr) {
    let now = shared.now();
    match message {
        Message::Status {
            instance,
            domain,
            capacity,
            places,
            waiting,
            stands,
            loads,
        } => {
            let peer = Peer {
                ip: from,
                domain,
                capacity,
                heard: Some(now),
                places,
                waiting,
                stands,
            };
            status(shared, instance, peer, loads);
        }
        Message::Totals(loads) => totals(shared, loads),
        Message::Used(list) => used(shared, &list, from),
        Message::Need { copy, need } => demand::handle_request(shared, &copy, need),
        Message::Holds { endpoint, holdings } => {
            let copies = mail::copies(holdings);
            shared
                .state()
                .directory
                .apply_report(&endpoint, copies, now);
            shared.placed.notify_waiters();
        }
        Message::Digests(digests) => compare(shared, &digests, from),
        Message::AskHolds(endpoints) => broadcast::send_holdings(shared, from, &endpoints),
        Message::Changes(changes) => changed(shared, changes),
        Message::List {
            changed,
            gone,
            digest,
        } => roster::handle_list_changes(shared, changed, &gone, digest),
        Message::Records(batch) => shared.inboxes.of(batch.topic).push(batch),
        Message::End { topic, end } => shared.inboxes.of(topic).hear_end(end),
        Message::AskProof { question } => freshness::handle_question(shared, from, question),
        Message::Proof {
            question,
            end,
            age_ms,
        } => freshness::handle_proof(shared, question, end, Duration::from_millis(age_ms)),
        Message::QuotaLease { question, lease } => {
            quotas::handle_lease(shared, from, question, &lease);
        }
        Message::QuotaGrants { question, grants } => {
            quotas::handle_grants(shared, from, question, &grants);
        }
        Message::BaseLoad => shared.state().base_loads.record_load(now),
        Message::Vacant => shared.vacant.notify_one(),
        Message::Quarantined(entries) => quarantine::apply_entries(shared, &entries, &from),
        Message::AskEndpointLimits => {
            broadcast::send_all_limits(shared, from);
            broadcast::send_all_draining(shared, from);
        }
        Message::EndpointLimits(list) => limits::handle_updates(shared, &list, from),
        Message::Draining(endpoints) => draining::handle_message(shared, &endpoints, from),
        Message::QuarantineDigests { digests, asks } => {
            broadcast::quarantine::handle_digests(shared, from, &digests, asks);
        }
    }
}

/// Takes in that a peer runs, how far it has read, and what it has under way.
fn status(shared: &Shared, instance: Arc<str>, peer: Peer, loads: Vec<Load>) {
    for topic in Topic::ALL {
        shared.inboxes.of(topic).hear_end(peer.stands.of(topic).end);
    }
    let now = shared.now();
    let mut state = shared.state();
    state.peers.insert(Arc::clone(&instance), peer);
    shared.count_instances(&mut state);
    let loads = loads.into_iter().map(|load| {
        let counts = load.counts();
        (load.endpoint, counts)
    });
    state.fleet.record_report(instance, loads.collect(), now);
}

/// Takes in the requests of all instances at endpoints.
fn totals(shared: &Shared, loads: Vec<Load>) {
    let now = shared.now();
    let mut state = shared.state();
    for load in loads {
        let counts = load.counts();
        state.fleet.record_total(load.endpoint, counts, now);
    }
}

/// Takes in which adapters a peer's requests use.
fn used(shared: &Shared, list: &[Used], from: IpAddr) {
    let now = shared.now();
    let mut state = shared.state();
    for used in list {
        if let Some(slots) = state.placer.slots(&used.endpoint) {
            slots.record_use(&used.copy, from, used.in_use, now);
        }
    }
}

/// Takes in what happened to adapters at endpoints.
fn changed(shared: &Shared, changes: Vec<Change>) {
    let now = shared.now();
    let mut state = shared.state();
    for change in changes {
        let Change {
            endpoint,
            copy,
            fate,
        } = change;
        match fate {
            Fate::Coming => state.directory.mark_loading(&endpoint, copy, now),
            Fate::Loaded => state.directory.mark_loaded(&endpoint, copy, now),
            Fate::Unloaded => state.directory.mark_unloaded(&endpoint, &copy),
        }
    }
    drop(state);
    shared.placed.notify_waiters();
}

/// Asks for what this instance holds another view of; a message may have been lost.
fn compare(shared: &Shared, digests: &[Digest], from: IpAddr) {
    let now = shared.now();
    let mut state = shared.state();
    let mut differ = Vec::new();
    for told in digests {
        if state.fleet.entry(&told.endpoint).is_none() {
            continue;
        }
        if state.directory.digest(&told.endpoint) == Some(told.digest) {
            state.directory.confirm_report(&told.endpoint, now);
        } else {
            differ.push(Arc::clone(&told.endpoint));
        }
    }
    drop(state);
    if !differ.is_empty() {
        broadcast::request_holdings(shared, from, differ);
    }
}
