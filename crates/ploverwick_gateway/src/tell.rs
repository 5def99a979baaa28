//! What this instance tells others.
//!
//! Instances of a failure domain tell each other directly. Between domains only placers hear what
//! concerns endpoints and pass it on, so that neither messages nor bytes between domains grow with
//! the product of instances.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_adapters::{Copy, Event, Need};
use ploverwick_endpoints::Entry;
use ploverwick_names::Moment;
use ploverwick_topics::parts;

use crate::mail::{Change, Digest, Fate, Load, Message, Used};
use crate::outbox;
use crate::shared::{Shared, State};
use crate::topics::{Batch, Told, Topic};

/// Adapters, loads or digests in one message.
const CHUNK: usize = 48;
/// The bytes of records in one message, which is cut into as many datagrams as it needs. A configuration
/// takes some kilobytes; longer records each instance reads itself.
const LONGEST_BATCH: usize = parts::LONGEST - HEADS;
/// The bytes of a record's numbers and lengths in a message, and its part of the message's own: five
/// numbers of up to ten bytes.
const HEADS: usize = 50;
/// Lines of the list of endpoints in one message.
const ENTRIES: usize = 8;
/// The pause between messages to peers of the same failure domain.
const NEAR: Duration = Duration::from_millis(150);
/// The peers of the same failure domain that hear of this instance's loads in each such pause; in a
/// larger domain they take turns, which bounds an instance's messages at any size.
const NEAR_PEERS: usize = 8;
/// How long changes at endpoints are gathered; a request that waits for a load elsewhere waits that
/// much longer, of some 260 ms.
const GATHER: Duration = Duration::from_millis(25);
/// Each so many of these pauses, a placer tells its own domain the totals of its endpoints.
const TOTALS_EVERY: u32 = 2;
/// Each so many of these pauses, peers of other failure domains get a message: bytes between
/// failure domains are dear.
const FAR_EVERY: u32 = 4;
/// How long an instance that left is still told who runs: a restart takes a few seconds, and one in an
/// outage of the store has nobody else to ask.
const FORMER: Duration = Duration::from_secs(20);
/// Each so many of these pauses, digests of holdings are told.
const DIGESTS_EVERY: u32 = 14;

/// Asks the instance at `ip` for an adapter.
pub(crate) fn need(shared: &Shared, ip: IpAddr, copy: &Copy, need: Need) {
    let message = Message::Need {
        copy: copy.clone(),
        need,
    };
    shared.mail.send(&message, &[ip]);
}

/// Tells what changed at an endpoint of this failure domain, together with what waits.
pub(crate) fn changed(shared: &Shared, endpoint: &Arc<str>, event: &Event) {
    let (copy, fate) = match event {
        Event::Coming(copy) => (copy, Fate::Coming),
        Event::Loaded(copy) => (copy, Fate::Loaded),
        Event::Unloaded(copy) => (copy, Fate::Unloaded),
        Event::Learned(copies) => return learned(shared, endpoint, copies),
        Event::BaseLoaded(_) => return,
    };
    let change = Change {
        endpoint: Arc::clone(endpoint),
        copy: copy.clone(),
        fate,
    };
    if shared.outbox.add(change) {
        let to = near(shared, &shared.state());
        send_changes(shared, shared.outbox.take_near(), &to);
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
    shared.mail.send(&Message::holds(endpoint, copies), &to);
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
    if waiting.far.is_empty() && waiting.passed_on.is_empty() {
        return;
    }
    let now = shared.now();
    let state = shared.state();
    let near = near(shared, &state);
    let hubs = hubs(shared, &state, now);
    drop(state);
    send_changes(shared, waiting.near, &near);
    send_changes(shared, waiting.far, &hubs);
    send_changes(shared, waiting.passed_on, &near);
}

fn send_changes(shared: &Shared, changes: Vec<Change>, to: &[IpAddr]) {
    for list in outbox::cut(changes) {
        shared.mail.send(&Message::Changes(list), to);
    }
}

/// Tells the peers of this failure domain that one of them may place its adapters.
pub(crate) fn vacate(shared: &Shared) {
    let to = near(shared, &shared.state());
    shared.mail.send(&Message::Vacant, &to);
}

/// Tells the peers of this failure domain, each of which may place adapters next, that a base model
/// is being loaded.
pub(crate) fn base_load(shared: &Shared) {
    let to = near(shared, &shared.state());
    shared.mail.send(&Message::BaseLoad, &to);
}

/// Passes on what a placer of another failure domain says.
pub(crate) fn pass_on(shared: &Shared, message: &Message) {
    let to = near(shared, &shared.state());
    shared.mail.send(message, &to);
}

/// Tells the peers of this failure domain what changed in the list of endpoints.
pub(crate) fn list(shared: &Shared, changed: Vec<Entry>, gone: Vec<Arc<str>>, digest: u64) {
    let peers = near(shared, &shared.state());
    for message in list_messages(changed, gone, digest) {
        shared.mail.send(&message, &peers);
    }
}

/// Cuts lines of the list of endpoints into messages; the digest fits once the last one has arrived.
fn list_messages(mut changed: Vec<Entry>, mut gone: Vec<Arc<str>>, digest: u64) -> Vec<Message> {
    let mut out = Vec::new();
    loop {
        let rest = changed.split_off(changed.len().min(ENTRIES));
        out.push(Message::List {
            changed: std::mem::replace(&mut changed, rest),
            gone: std::mem::take(&mut gone),
            digest,
        });
        if changed.is_empty() {
            return out;
        }
    }
}

/// Tells the peers of this failure domain the records of a topic from `from` to before `next`. They read
/// themselves what is too long for a message.
pub(crate) fn records(shared: &Shared, topic: Topic, from: u64, next: u64, records: Vec<Told>) {
    let peers = near(shared, &shared.state());
    for message in batches(topic, from, next, records) {
        shared.mail.send(&message, &peers);
    }
}

/// Cuts records into messages that are short enough.
fn batches(topic: Topic, from: u64, next: u64, records: Vec<Told>) -> Vec<Message> {
    let mut out = Vec::new();
    let mut part = Batch {
        topic,
        from,
        next,
        records: Vec::new(),
    };
    let mut bytes = 0;
    for record in records {
        let length = record_bytes(&record);
        if bytes + length > LONGEST_BATCH && !part.records.is_empty() {
            let rest = Batch {
                topic,
                from: record.offset,
                next,
                records: Vec::new(),
            };
            let mut full = std::mem::replace(&mut part, rest);
            full.next = record.offset;
            out.push(Message::Records(full));
            bytes = 0;
        }
        if length > LONGEST_BATCH {
            out.push(Message::End { topic, end: next });
            return out;
        }
        bytes += length;
        part.records.push(record);
    }
    out.push(Message::Records(part));
    out
}

/// Returns the most bytes that a record takes in a message.
fn record_bytes(record: &Told) -> usize {
    HEADS + record.key.len() + record.value.as_ref().map_or(0, Vec::len)
}

/// Asks the instance at `ip` what endpoints hold.
pub(crate) fn ask_holds(shared: &Shared, ip: IpAddr, endpoints: Vec<Arc<str>>) {
    shared.mail.send(&Message::AskHolds(endpoints), &[ip]);
}

/// Tells the instance at `ip` what endpoints hold, as far as it is known here.
pub(crate) fn holds(shared: &Shared, ip: IpAddr, endpoints: &[Arc<str>]) {
    for endpoint in endpoints {
        let held = shared.state().directory.held(endpoint);
        if let Some(held) = held {
            shared.mail.send(&Message::holds(endpoint, &held), &[ip]);
        }
    }
}

/// Sends this instance's state to its peers, again and again.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut round: u32 = 0;
    loop {
        tokio::time::sleep(NEAR).await;
        round = round.wrapping_add(1);
        let outgoing = compose(&shared, round);
        for (message, to) in outgoing {
            shared.mail.send(&message, &to);
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

fn compose(shared: &Shared, round: u32) -> Vec<(Message, Vec<IpAddr>)> {
    let now = shared.now();
    let mut state = shared.state();
    // This pause is the step by which a process that was held up is known.
    state.horizon.run(now);
    let places = state.tenure.token(now);
    let is_far_turn = round.is_multiple_of(FAR_EVERY);
    let mut to = listeners(shared, &state, round, now);
    if is_far_turn {
        state.former.retain(|(_, left)| now.since(*left) < FORMER);
        to.extend(state.former.iter().map(|(ip, _)| *ip));
    }
    let mut out = vec![(status(shared, &state, places, |_| true), to)];
    if is_far_turn {
        far_statuses(shared, &state, places, now, &mut out);
    }
    if places.is_some() {
        let near = near(shared, &state);
        if round.is_multiple_of(TOTALS_EVERY) {
            let mut to = near.clone();
            if is_far_turn {
                to.extend(hubs(shared, &state, now));
            }
            chunks(totals(shared, &state, now), &to, Message::Totals, &mut out);
        }
        if round.is_multiple_of(DIGESTS_EVERY) {
            let mut to = near;
            to.extend(hubs(shared, &state, now));
            chunks(digests(&state), &to, Message::Digests, &mut out);
        }
    }
    uses(shared.settings.ip.into(), &mut state, now, &mut out);
    out
}

/// Cuts a list into messages.
fn chunks<T>(
    mut list: Vec<T>,
    to: &[IpAddr],
    message: impl Fn(Vec<T>) -> Message,
    out: &mut Vec<(Message, Vec<IpAddr>)>,
) {
    while !list.is_empty() {
        let rest = list.split_off(list.len().min(CHUNK));
        out.push((message(std::mem::replace(&mut list, rest)), to.to_vec()));
    }
}

/// Lists the peers of this failure domain whose turn it is; its placer's is always.
fn listeners(shared: &Shared, state: &State, round: u32, now: Moment) -> Vec<IpAddr> {
    let mut near = near(shared, state);
    if near.len() <= NEAR_PEERS {
        return near;
    }
    near.sort_unstable();
    let first = round as usize * NEAR_PEERS % near.len();
    near.rotate_left(first);
    near.truncate(NEAR_PEERS);
    if let Some(placer) = state.placer_of(&shared.settings.domain, now)
        && !near.contains(&placer)
    {
        near.push(placer);
    }
    near
}

fn status(
    shared: &Shared,
    state: &State,
    places: Option<u64>,
    matters: impl Fn(&str) -> bool,
) -> Message {
    let loads = state.fleet.own_loads().into_iter();
    let loads = loads.filter(|(endpoint, _)| matters(endpoint));
    let loads = loads.map(|(endpoint, load)| Load::new(endpoint, load));
    Message::Status {
        instance: Arc::clone(&shared.settings.instance),
        domain: Arc::clone(&shared.settings.domain),
        capacity: shared.settings.capacity,
        places,
        waiting: u32::try_from(state.placer.waiting()).unwrap_or(u32::MAX),
        stands: state.stands,
        loads: loads.collect(),
    }
}

/// Tells placers elsewhere of the requests at their endpoints; a placer makes itself known to all.
fn far_statuses(
    shared: &Shared,
    state: &State,
    places: Option<u64>,
    now: Moment,
    out: &mut Vec<(Message, Vec<IpAddr>)>,
) {
    let hubs = hubs(shared, state, now);
    let others = shared.settings.domains.iter();
    for domain in others.filter(|domain| **domain != shared.settings.domain) {
        let is_there = |id: &str| {
            let entry = state.fleet.entry(id);
            entry.is_some_and(|entry| entry.domain == *domain)
        };
        let peers = state.peers.values().filter(|peer| peer.domain == *domain);
        let told = peers.filter(|peer| places.is_some() || hubs.contains(&peer.ip));
        let to = told.map(|peer| peer.ip).collect();
        out.push((status(shared, state, places, is_there), to));
    }
}

/// Sums the requests at the endpoints of this failure domain.
fn totals(shared: &Shared, state: &State, now: Moment) -> Vec<Load> {
    let own = state.fleet.entries();
    let own = own.filter(|entry| entry.domain == shared.settings.domain);
    let totals = own.map(|entry| {
        let load = state.fleet.heard_load(&entry.id, now);
        Load::new(Arc::clone(&entry.id), load)
    });
    totals.collect()
}

/// Digests what the endpoints hold at which this instance places adapters.
fn digests(state: &State) -> Vec<Digest> {
    let known = state.placer.shelves().filter(|(_, shelf)| shelf.is_known());
    let digests = known.filter_map(|(endpoint, _)| {
        Some(Digest {
            endpoint: Arc::clone(endpoint),
            digest: state.directory.digest(endpoint)?,
        })
    });
    digests.collect()
}

/// Reports the use of adapters to those who may unload them.
fn uses(own: IpAddr, state: &mut State, now: Moment, out: &mut Vec<(Message, Vec<IpAddr>)>) {
    let mut by_domain: HashMap<Arc<str>, Vec<Used>> = HashMap::new();
    let State {
        uses,
        fleet,
        placer,
        ..
    } = state;
    uses.retain(|(endpoint, copy), in_use| {
        let Some(entry) = fleet.entry(endpoint) else {
            return *in_use > 0;
        };
        if let Some(shelf) = placer.shelf(endpoint) {
            shelf.used(copy, own, *in_use, now);
        }
        let list = by_domain.entry(Arc::clone(&entry.domain)).or_default();
        list.push(Used {
            endpoint: Arc::clone(endpoint),
            copy: copy.clone(),
            in_use: *in_use,
        });
        *in_use > 0
    });
    for (domain, mut list) in by_domain {
        let Some(ip) = state.placer_of(&domain, now) else {
            continue;
        };
        while !list.is_empty() {
            let rest = list.split_off(list.len().min(CHUNK / 2));
            let message = Message::Used(std::mem::replace(&mut list, rest));
            out.push((message, vec![ip]));
        }
    }
}
