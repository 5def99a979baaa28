//! Periodic messages: the load of this instance, the adapters that its requests use, and, if it is the
//! placer, the load totals and digests of its failure domain.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_endpoints::numbering;
use ploverwick_names::Moment;

use super::{capacities, domain_peers, quarantine, remote_relays};
use crate::controllers::{limits, slots};
use crate::messages::{AdapterUse, EndpointDigests, EndpointLoad, Message};
use crate::shared::Shared;
use crate::state::{State, TotalsSenders};

/// The maximum number of limits or endpoints in one message. A message that lists adapters in
/// use has at most half as many entries.
pub(super) const MAX_ITEMS_PER_MESSAGE: usize = 48;
/// The maximum number of digests in one message.
const MAX_DIGESTS_PER_MESSAGE: usize = 180;
/// The interval between rounds of messages to peers of the same failure domain.
const INTERVAL: Duration = Duration::from_millis(150);
/// The maximum number of peers of the same failure domain that receive the status in each round. In a larger
/// domain they take turns, so that the number of messages per instance stays bounded.
const MAX_STATUS_RECIPIENTS: usize = 8;
/// The number of rounds between load totals from the placer to its own failure domain.
const TOTALS_INTERVAL_ROUNDS: u32 = 2;
/// The number of rounds between messages to other failure domains, which are rarer because traffic between
/// failure domains is expensive.
const REMOTE_INTERVAL_ROUNDS: u32 = 4;
/// How long an instance that has left still receives the status. A restart takes a few seconds, and an
/// instance that restarts during an outage of the store has no other way to discover its peers.
const FORMER_PEER_RETENTION: Duration = Duration::from_secs(20);
/// How many times an instance asks for the limits of endpoints after it starts, because messages may be lost.
const MAX_LIMIT_REQUESTS: u32 = 3;
/// The number of rounds between digests of adapters and crashes, limits of endpoints, and draining endpoints.
const DIGEST_INTERVAL_ROUNDS: u32 = 14;

/// Sends the periodic messages for as long as the process runs.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut round: u32 = 0;
    let mut limit_requests = 0;
    loop {
        tokio::time::sleep(INTERVAL).await;
        round = round.wrapping_add(1);
        if limit_requests < MAX_LIMIT_REQUESTS && super::request_limits(&shared) {
            limit_requests += 1;
        }
        let outgoing = build_messages(&shared, round);
        for (message, to) in outgoing {
            shared.peer_socket.send(&message, &to);
        }
        slots::tick(&shared);
    }
}

fn build_messages(shared: &Shared, round: u32) -> Vec<(Message, Vec<IpAddr>)> {
    let now = shared.now();
    let mut state = shared.state();
    // A gap between ticks that exceeds the interval reveals that the process was suspended.
    state.watermark.tick(now);
    limits::assign_shares(shared, &mut state, now);
    state.divide_slots(&shared.settings, now);
    state.fleet.tick_capacities(now);
    let placer_token = state.placer_lease.token(now);
    let is_remote_round = round.is_multiple_of(REMOTE_INTERVAL_ROUNDS);
    let mut to = status_recipients(shared, &state, round, now);
    if is_remote_round {
        state
            .former_peers
            .retain(|(_, left)| now.since(*left) < FORMER_PEER_RETENTION);
        to.extend(state.former_peers.iter().map(|(ip, _)| *ip));
    }
    let mut messages = vec![(status(shared, &state, placer_token, |_| true), to)];
    if is_remote_round {
        remote_statuses(shared, &state, placer_token, now, &mut messages);
    }
    if placer_token.is_some() {
        push_totals(shared, &mut state, round, now, &mut messages);
        if round.is_multiple_of(DIGEST_INTERVAL_ROUNDS) {
            push_digests(shared, &mut state, now, &mut messages);
        }
    } else {
        state.totals = TotalsSenders::default();
    }
    if round.is_multiple_of(DIGEST_INTERVAL_ROUNDS) {
        let mut to = domain_peers(shared, &state);
        to.extend(remote_relays(shared, &state, now));
        let updates = state
            .limits
            .recent_updates(INTERVAL * DIGEST_INTERVAL_ROUNDS, now);
        push_chunks(updates, &to, Message::EndpointLimits, &mut messages);
        let draining = state
            .draining_reports
            .recent(INTERVAL * DIGEST_INTERVAL_ROUNDS, now);
        push_chunks(draining, &to, Message::Draining, &mut messages);
        let brittle = state
            .brittleness
            .messages(INTERVAL * DIGEST_INTERVAL_ROUNDS, now);
        push_chunks(brittle, &to, Message::BrittleServices, &mut messages);
    }
    if round.is_multiple_of(DIGEST_INTERVAL_ROUNDS) {
        let mut to = status_recipients(shared, &state, round, now);
        if placer_token.is_some() {
            to.extend(remote_relays(shared, &state, now));
        }
        let digests = quarantine::digests(&state);
        messages.extend(digests.map(|message| (message, to.clone())));
    }
    report_uses(shared.settings.ip.into(), &mut state, now, &mut messages);
    if is_remote_round {
        capacities::push_messages(shared, &mut state, now, &mut messages);
    }
    messages
}

/// Splits a list into messages of bounded size and adds them to `messages`.
fn push_chunks<T>(
    mut list: Vec<T>,
    to: &[IpAddr],
    message: impl Fn(Vec<T>) -> Message,
    messages: &mut Vec<(Message, Vec<IpAddr>)>,
) {
    while !list.is_empty() {
        let rest = list.split_off(list.len().min(MAX_ITEMS_PER_MESSAGE));
        messages.push((message(std::mem::replace(&mut list, rest)), to.to_vec()));
    }
}

/// Returns how often each of `peers` instances of a failure domain sends its status to each of the others.
pub(crate) fn status_interval(peers: usize) -> Duration {
    let rounds = peers.div_ceil(MAX_STATUS_RECIPIENTS).max(1);
    INTERVAL.saturating_mul(u32::try_from(rounds).unwrap_or(u32::MAX))
}

/// Returns the peers of this failure domain that receive the status in this round. The placer always does.
fn status_recipients(shared: &Shared, state: &State, round: u32, now: Moment) -> Vec<IpAddr> {
    let mut local = domain_peers(shared, state);
    if local.len() <= MAX_STATUS_RECIPIENTS {
        return local;
    }
    local.sort_unstable();
    let first = round as usize * MAX_STATUS_RECIPIENTS % local.len();
    local.rotate_left(first);
    local.truncate(MAX_STATUS_RECIPIENTS);
    if let Some(placer) = state.placer_of(&shared.settings.domain, now)
        && !local.contains(&placer)
    {
        local.push(placer);
    }
    local
}

fn status(
    shared: &Shared,
    state: &State,
    placer_token: Option<u64>,
    is_relevant: impl Fn(&str) -> bool,
) -> Message {
    let loads = state.fleet.own_loads().into_iter();
    let loads = loads.filter(|(endpoint, _)| is_relevant(endpoint));
    let loads = loads.map(|(endpoint, load)| EndpointLoad::new(endpoint, load));
    Message::Status {
        instance: Arc::clone(&shared.settings.instance),
        domain: Arc::clone(&shared.settings.domain),
        capacity: shared.settings.capacity,
        placer_token,
        waiting: u32::try_from(state.placer.waiting()).unwrap_or(u32::MAX),
        demand: placer_token.map(|_| state.placer.demand(shared.now())),
        read_states: state.read_states,
        loads: loads.collect(),
    }
}

/// Adds status messages to other failure domains with the load at their endpoints. They go to the relays of
/// each domain; a placer sends them to all instances, so that each instance knows the placer.
fn remote_statuses(
    shared: &Shared,
    state: &State,
    placer_token: Option<u64>,
    now: Moment,
    messages: &mut Vec<(Message, Vec<IpAddr>)>,
) {
    let relays = remote_relays(shared, state, now);
    let others = shared.settings.domains.iter();
    for domain in others.filter(|domain| **domain != shared.settings.domain) {
        let is_in_domain = |id: &str| {
            let entry = state.fleet.entry(id);
            entry.is_some_and(|entry| entry.domain == *domain)
        };
        let peers = state.peers.values().filter(|peer| peer.domain == *domain);
        let recipients = peers.filter(|peer| placer_token.is_some() || relays.contains(&peer.ip));
        let to = recipients.map(|peer| peer.ip).collect();
        messages.push((status(shared, state, placer_token, is_in_domain), to));
    }
}

/// Adds the loads of all instances at the endpoints of this failure domain. Other domains receive them less
/// often, each through its placer.
fn push_totals(
    shared: &Shared,
    state: &mut State,
    round: u32,
    now: Moment,
    messages: &mut Vec<(Message, Vec<IpAddr>)>,
) {
    let domain = &shared.settings.domain;
    let numbering = state.fleet.numbering(domain).clone();
    let load_of = |endpoint: &str| state.fleet.direct_load(endpoint, now);
    let mut totals = Vec::new();
    if round.is_multiple_of(TOTALS_INTERVAL_ROUNDS) {
        let sender = &mut state.totals.local;
        let due = sender.next_messages(domain, &numbering, load_of, now);
        let to = domain_peers(shared, state);
        totals.extend(due.into_iter().map(|message| (message, to.clone())));
    }
    if round.is_multiple_of(REMOTE_INTERVAL_ROUNDS) {
        let load_of = |endpoint: &str| state.fleet.direct_load(endpoint, now);
        let sender = &mut state.totals.remote;
        let due = sender.next_messages(domain, &numbering, load_of, now);
        let to = remote_relays(shared, state, now);
        totals.extend(due.into_iter().map(|message| (message, to.clone())));
    }
    let totals = totals.into_iter();
    messages.extend(totals.map(|(message, to)| (Message::LoadTotals(message), to)));
}

/// Adds digests of the adapters at the endpoints at which this instance places adapters, as far as they are
/// known.
fn push_digests(
    shared: &Shared,
    state: &mut State,
    now: Moment,
    messages: &mut Vec<(Message, Vec<IpAddr>)>,
) {
    let mut to = domain_peers(shared, state);
    to.extend(remote_relays(shared, state, now));
    let domain = &shared.settings.domain;
    let State {
        fleet,
        directory,
        placer,
        ..
    } = state;
    let numbering = fleet.numbering(domain);
    let endpoints = numbering.endpoints().iter().enumerate();
    let known = endpoints.filter_map(|(number, endpoint)| {
        let is_known = placer.slots(endpoint).is_some_and(|slots| slots.is_known());
        is_known.then_some((number, directory.digest(endpoint)? as u32))
    });
    let known: Vec<(usize, u32)> = known.collect();
    for digests in known.chunks(MAX_DIGESTS_PER_MESSAGE) {
        let message = EndpointDigests {
            domain: Arc::clone(domain),
            checksum: numbering.checksum(),
            digests: numbering::encode(digests),
        };
        messages.push((Message::EndpointDigests(message), to.clone()));
    }
}

/// Adds messages that tell the placers which adapters are in use; a placer may unload the others.
fn report_uses(
    own: IpAddr,
    state: &mut State,
    now: Moment,
    messages: &mut Vec<(Message, Vec<IpAddr>)>,
) {
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
            let rest = list.split_off(list.len().min(MAX_ITEMS_PER_MESSAGE / 2));
            let message = Message::AdapterUses(std::mem::replace(&mut list, rest));
            messages.push((message, vec![ip]));
        }
    }
}
