//! Takes in what other instances tell.

use std::net::IpAddr;
use std::sync::Arc;

use crate::controllers::{demand, quarantine, roster};
use crate::mail::{self, Change, Digest, Fate, Message};
use crate::shared::Shared;
use crate::state::Peer;
use crate::tell;
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
        _ => tell::pass_on(shared, message),
    }
}

fn take(shared: &Arc<Shared>, message: Message, from: IpAddr) {
    let now = shared.now();
    let mut state = shared.state();
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
            for topic in Topic::ALL {
                shared.inboxes.of(topic).hear_end(stands.of(topic).end);
            }
            let peer = Peer {
                ip: from,
                domain,
                capacity,
                heard: Some(now),
                places,
                waiting,
                stands,
            };
            state.peers.insert(Arc::clone(&instance), peer);
            shared.count_instances(&mut state);
            let loads = loads.into_iter().map(|load| {
                let counts = load.counts();
                (load.endpoint, counts)
            });
            state.fleet.report(instance, loads.collect(), now);
        }
        Message::Totals(loads) => {
            for load in loads {
                let counts = load.counts();
                state.fleet.total(load.endpoint, counts, now);
            }
        }
        Message::Used(list) => {
            for used in list {
                if let Some(shelf) = state.placer.shelf(&used.endpoint) {
                    shelf.used(&used.copy, from, used.in_use, now);
                }
            }
        }
        Message::Need { copy, need } => {
            drop(state);
            demand::take(shared, &copy, need);
        }
        Message::Holds { endpoint, holdings } => {
            let copies = mail::copies(holdings);
            state.directory.reported(&endpoint, copies, now);
            drop(state);
            shared.placed.notify_waiters();
        }
        Message::Digests(digests) => {
            drop(state);
            compare(shared, &digests, from);
        }
        Message::AskHolds(endpoints) => {
            drop(state);
            tell::holds(shared, from, &endpoints);
        }
        Message::Changes(changes) => {
            for change in changes {
                let Change {
                    endpoint,
                    copy,
                    fate,
                } = change;
                match fate {
                    Fate::Coming => state.directory.expect(&endpoint, copy, now),
                    Fate::Loaded => state.directory.loaded(&endpoint, copy, now),
                    Fate::Unloaded => state.directory.unloaded(&endpoint, &copy),
                }
            }
            drop(state);
            shared.placed.notify_waiters();
        }
        Message::List {
            changed,
            gone,
            digest,
        } => {
            drop(state);
            roster::told(shared, changed, &gone, digest);
        }
        Message::Records(batch) => shared.inboxes.of(batch.topic).push(batch),
        Message::End { topic, end } => shared.inboxes.of(topic).hear_end(end),
        Message::BaseLoad => state.base_loads.begin(now),
        Message::Vacant => shared.vacant.notify_one(),
        Message::Quarantined(entries) => {
            drop(state);
            quarantine::hear(shared, &entries, &from);
        }
        Message::QuarantineDigests { digests, asks } => {
            drop(state);
            tell::quarantine::compare(shared, from, &digests, asks);
        }
    }
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
            state.directory.confirmed(&told.endpoint, now);
        } else {
            differ.push(Arc::clone(&told.endpoint));
        }
    }
    drop(state);
    if !differ.is_empty() {
        tell::ask_holds(shared, from, differ);
    }
}
