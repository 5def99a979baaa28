//! What this instance tells again and again: its load, what its requests use, and, if it places adapters,
//! the sums and digests of its failure domain.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;

use super::{hubs, near};
use crate::controllers::limits;
use crate::messages::{AdapterUse, EndpointDigest, EndpointLoad, Message};
use crate::shared::Shared;
use crate::state::State;

/// Adapters, loads or digests in one message.
pub(super) const CHUNK: usize = 48;
/// The pause between messages to peers of the same failure domain.
const NEAR: Duration = Duration::from_millis(150);
/// The peers of the same failure domain that hear of this instance's loads in each such pause; in a
/// larger domain they take turns, which bounds an instance's messages at any size.
const NEAR_PEERS: usize = 8;
/// Each so many of these pauses, a placer tells its own domain the totals of its endpoints.
const TOTALS_EVERY: u32 = 2;
/// Each so many of these pauses, peers of other failure domains get a message: bytes between
/// failure domains are dear.
const FAR_EVERY: u32 = 4;
/// How long an instance that left is still told who runs: a restart takes a few seconds, and one in an
/// outage of the store has nobody else to ask.
const FORMER: Duration = Duration::from_secs(20);
/// How often an instance that starts asks for the limits of endpoints; a message may be lost.
const LIMIT_QUESTIONS: u32 = 3;
/// Each so many of these pauses, digests of holdings and of crashes and the limits of endpoints are told.
const DIGESTS_EVERY: u32 = 14;

/// Sends this instance's state to its peers, again and again.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut round: u32 = 0;
    let mut questions = 0;
    loop {
        tokio::time::sleep(NEAR).await;
        round = round.wrapping_add(1);
        if questions < LIMIT_QUESTIONS && super::ask_limits(&shared) {
            questions += 1;
        }
        let outgoing = compose(&shared, round);
        for (message, to) in outgoing {
            shared.peer_socket.send(&message, &to);
        }
    }
}

fn compose(shared: &Shared, round: u32) -> Vec<(Message, Vec<IpAddr>)> {
    let now = shared.now();
    let mut state = shared.state();
    // This pause is the step by which a process that was held up is known.
    state.watermark.tick(now);
    limits::assign(shared, &mut state, now);
    let places = state.placer_lease.token(now);
    let is_far_turn = round.is_multiple_of(FAR_EVERY);
    let mut to = listeners(shared, &state, round, now);
    if is_far_turn {
        state
            .former_peers
            .retain(|(_, left)| now.since(*left) < FORMER);
        to.extend(state.former_peers.iter().map(|(ip, _)| *ip));
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
            chunks(
                totals(shared, &state, now),
                &to,
                Message::LoadTotals,
                &mut out,
            );
        }
        if round.is_multiple_of(DIGESTS_EVERY) {
            let mut to = near;
            to.extend(hubs(shared, &state, now));
            chunks(digests(&state), &to, Message::EndpointDigests, &mut out);
        }
    }
    if round.is_multiple_of(DIGESTS_EVERY) {
        let mut to = near(shared, &state);
        to.extend(hubs(shared, &state, now));
        let news = state.limits.recent_updates(NEAR * DIGESTS_EVERY, now);
        chunks(news, &to, Message::EndpointLimits, &mut out);
        let draining = state.departures.recent(NEAR * DIGESTS_EVERY, now);
        chunks(draining, &to, Message::Draining, &mut out);
    }
    if round.is_multiple_of(DIGESTS_EVERY) && !state.quarantine.is_empty() {
        let mut to = listeners(shared, &state, round, now);
        if places.is_some() {
            to.extend(hubs(shared, &state, now));
        }
        let digests = state.quarantine.digests();
        out.push((
            Message::QuarantineDigests {
                digests,
                wants_reply: true,
            },
            to,
        ));
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
    let loads = loads.map(|(endpoint, load)| EndpointLoad::new(endpoint, load));
    Message::Status {
        instance: Arc::clone(&shared.settings.instance),
        domain: Arc::clone(&shared.settings.domain),
        capacity: shared.settings.capacity,
        placer_token: places,
        waiting: u32::try_from(state.placer.waiting()).unwrap_or(u32::MAX),
        read_states: state.read_states,
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
fn totals(shared: &Shared, state: &State, now: Moment) -> Vec<EndpointLoad> {
    let own = state.fleet.entries();
    let own = own.filter(|entry| entry.domain == shared.settings.domain);
    let totals = own.map(|entry| {
        let load = state.fleet.reported_load(&entry.id, now);
        EndpointLoad::new(Arc::clone(&entry.id), load)
    });
    totals.collect()
}

/// Digests what the endpoints hold at which this instance places adapters.
fn digests(state: &State) -> Vec<EndpointDigest> {
    let known = state
        .placer
        .endpoints()
        .filter(|(_, slots)| slots.is_known());
    let digests = known.filter_map(|(endpoint, _)| {
        Some(EndpointDigest {
            endpoint: Arc::clone(endpoint),
            digest: state.directory.digest(endpoint)?,
        })
    });
    digests.collect()
}

/// Reports the use of adapters to those who may unload them.
fn uses(own: IpAddr, state: &mut State, now: Moment, out: &mut Vec<(Message, Vec<IpAddr>)>) {
    let mut by_domain: HashMap<Arc<str>, Vec<AdapterUse>> = HashMap::new();
    let State {
        adapter_uses,
        fleet,
        placer,
        ..
    } = state;
    adapter_uses.retain(|(endpoint, copy), in_use| {
        let Some(entry) = fleet.entry(endpoint) else {
            return *in_use > 0;
        };
        if let Some(slots) = placer.slots(endpoint) {
            slots.record_use(copy, own, *in_use, now);
        }
        let list = by_domain.entry(Arc::clone(&entry.domain)).or_default();
        list.push(AdapterUse {
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
            let message = Message::AdapterUses(std::mem::replace(&mut list, rest));
            out.push((message, vec![ip]));
        }
    }
}
