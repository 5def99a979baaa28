//! Membership: polls the platform's list of instances and probes peers.

use std::net::SocketAddr;
use std::sync::Arc;

use ploverwick_members::{Action, State, Update};
use ploverwick_names::{Incarnation, Instance, Life};
use ploverwick_ports::roster::Listing;
use ploverwick_timeline::clock::Stamp;
use ploverwick_timeline::{Event, Kind};
use ploverwick_wire::{Ack, News as WireUpdate, PROTOCOL, Probe, supports_protocol};
use tokio::time::MissedTickBehavior;

use crate::controllers::table;
use crate::listing;
use crate::lock::lock;
use crate::logging::Outage;
use crate::node::Node;

/// Polls the platform's list.
pub(crate) async fn poll_listing(node: Arc<Node>) {
    let roster = ploverwick_ports::roster::Roster::new(
        node.client.clone(),
        node.settings.platform.roster,
        node.settings.platform.timeout(),
    );
    let mut ticks = tokio::time::interval(node.settings.platform.roster_poll());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut outage = Outage::of("the list of instances");
    let mut tag = None;
    loop {
        ticks.tick().await;
        let read = match roster.read_if_changed(tag.as_deref()).await {
            Ok(read) => read,
            Err(error) => {
                outage.failed(&error);
                continue;
            }
        };
        outage.answered();
        if let Some(changed) = read {
            tag = changed.tag;
            apply_list_entry(&node, changed.value);
        }
        find_ended(&node);
    }
}

fn apply_list_entry(node: &Arc<Node>, read: Listing) {
    let instances = listing::instances(&read);
    let now = node.now();
    let actions = lock(&node.members).apply_list(&instances, now);
    // Other instances do not count this one before it is on the list.
    if instances.contains_key(&node.life.instance) {
        node.listed_at.get_or_init(|| now);
    }
    node.listing.send_if_modified(|known| {
        let changed = **known != read;
        if changed {
            *known = Arc::new(read);
        }
        changed
    });
    perform(node, actions);
}

/// Marks the owners and earlier owners that are known to have ended.
fn find_ended(node: &Node) {
    let lives = lock(&node.ownership).unsettled();
    let now = node.now();
    let ended = lock(&node.members).find_ended(&lives, now);
    for life in ended {
        node.record(Event::new(Kind::Member, format!("{life} has ended")));
        lock(&node.ownership).mark_ended(&life, now);
    }
}

/// Probes one peer in each probe interval.
pub(crate) async fn probe_members(node: Arc<Node>) {
    let mut ticks = tokio::time::interval(node.settings.membership.beat());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let actions = lock(&node.members).tick(node.now());
        perform(&node, actions);
    }
}

/// Performs the actions of the membership protocol.
fn perform(node: &Arc<Node>, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Probe(target) => {
                tokio::spawn(probe(Arc::clone(node), target));
            }
            Action::IndirectProbe { helper, target } => {
                tokio::spawn(probe_indirectly(Arc::clone(node), helper, target));
            }
            Action::Changed(life, state) => {
                remove_connection(node, &life, state);
                let event = Event::new(Kind::Member, format!("{life} is {}", state.name()));
                node.record(event);
                spdlog::info!("member changed", kv: { member = life.instance.as_str(), state = state.name() });
            }
            Action::Ended(life) => {
                node.record(Event::new(Kind::Member, format!("{life} has ended")));
                lock(&node.ownership).mark_ended(&life, node.now());
            }
        }
    }
}

/// Closes the connection to a member that is gone. If the member returns, a new one is opened.
fn remove_connection(node: &Node, life: &Life, state: State) {
    if state != State::Gone {
        return;
    }
    let address = lock(&node.members).address(&life.instance);
    if let Some(address) = address {
        node.peer_connections.remove(address);
    }
}

async fn probe(node: Arc<Node>, target: Instance) {
    if send_probe(&node, &target, "").await.is_some() {
        return;
    }
    let helpers = lock(&node.members).probe_timed_out(&target);
    if helpers.is_empty() {
        mark_unreachable(&node, &target);
        return;
    }
    let probes = helpers.into_iter().filter_map(|action| match action {
        Action::IndirectProbe { helper, target } => Some(tokio::spawn(probe_indirectly(
            Arc::clone(&node),
            helper,
            target,
        ))),
        _ => None,
    });
    let probes: Vec<_> = probes.collect();
    let mut reached = false;
    for probe in probes {
        reached |= probe.await.unwrap_or(false);
    }
    if !reached {
        mark_unreachable(&node, &target);
    }
}

fn mark_unreachable(node: &Arc<Node>, target: &Instance) {
    let action = lock(&node.members).mark_unreachable(target, node.now());
    perform(node, action.into_iter().collect());
}

/// Asks a helper to probe an unresponsive member; returns whether the member responded.
async fn probe_indirectly(node: Arc<Node>, helper: Instance, target: Instance) -> bool {
    let ack = send_probe(&node, &helper, target.as_str()).await;
    ack.is_some_and(|ack| ack.relayed)
}

/// Sends a probe, optionally to be relayed, and processes the response.
async fn send_probe(node: &Arc<Node>, target: &Instance, relay_to: &str) -> Option<Ack> {
    let address = lock(&node.members).address(target)?;
    let probe = probe_message(node, relay_to);
    let mut timeout = node.settings.membership.probe_timeout();
    if !relay_to.is_empty() {
        timeout *= 2;
    }
    let exchange = async {
        let mut peer = node.peer_connections.get(address).await.ok()?;
        let answered = peer.beat(probe).await;
        if answered.is_err() {
            node.peer_connections.remove(address);
        }
        answered.ok()
    };
    let ack = tokio::time::timeout(timeout, exchange)
        .await
        .ok()??
        .into_inner();
    node.recorder.clock().observe(Stamp(ack.stamp));
    apply_updates(node, ack.from.as_ref(), &ack.news);
    compare_table(node, ack.table, address);
    Some(ack)
}

fn probe_message(node: &Node, relay_to: &str) -> Probe {
    let mut members = lock(&node.members);
    Probe {
        from: Some(to_wire(members.me())),
        news: members.take_updates().iter().map(to_wire).collect(),
        table: node.current_table.borrow().version.0,
        relay_to: relay_to.to_owned(),
        stamp: node.recorder.clock().tick().0,
        protocol: PROTOCOL,
    }
}

/// Handles a probe from a peer. Returns `None` if the peer's protocol version is not supported.
pub(crate) async fn answer_probe(node: &Arc<Node>, probe: Probe) -> Option<Ack> {
    if !supports_protocol(probe.protocol) {
        return None;
    }
    node.recorder.clock().observe(Stamp(probe.stamp));
    apply_updates(node, probe.from.as_ref(), &probe.news);
    let from = probe
        .from
        .as_ref()
        .and_then(|sender| sender.address.parse().ok());
    if let Some(address) = from {
        compare_table(node, probe.table, address);
    }
    let relayed = match Instance::new(&probe.relay_to) {
        // A relayed probe is not relayed again.
        Ok(target) => Box::pin(send_probe(node, &target, "")).await.is_some(),
        Err(_) => false,
    };
    let mut members = lock(&node.members);
    Some(Ack {
        from: Some(to_wire(members.me())),
        news: members.take_updates().iter().map(to_wire).collect(),
        table: node.current_table.borrow().version.0,
        relayed,
        stamp: node.recorder.clock().tick().0,
    })
}

/// Fetches the table from a peer that has a newer one, because the log may be unavailable to this
/// daemon.
fn compare_table(node: &Arc<Node>, version: u64, address: SocketAddr) {
    if version > node.current_table.borrow().version.0 {
        tokio::spawn(table::fetch(Arc::clone(node), address));
    }
}

fn apply_updates(node: &Arc<Node>, from: Option<&WireUpdate>, updates: &[WireUpdate]) {
    let now = node.now();
    let mut actions = Vec::new();
    {
        let mut members = lock(&node.members);
        if let Some(from) = from.and_then(from_wire) {
            actions.extend(members.apply_update(&from, true, now));
        }
        for update in updates.iter().filter_map(from_wire) {
            actions.extend(members.apply_update(&update, false, now));
        }
    }
    perform(node, actions);
}

fn to_wire(update: &Update) -> WireUpdate {
    WireUpdate {
        instance: update.life.instance.to_string(),
        incarnation: update.life.incarnation.0,
        state: match update.state {
            State::Joining | State::Live => 0,
            State::Suspect => 1,
            State::Leaving => 2,
            State::Gone => 3,
        },
        address: update.address.to_string(),
        refutation: update.refutation,
    }
}

fn from_wire(update: &WireUpdate) -> Option<Update> {
    Some(Update {
        life: Life {
            instance: Instance::new(&update.instance).ok()?,
            incarnation: Incarnation(update.incarnation),
        },
        state: match update.state {
            0 => State::Live,
            1 => State::Suspect,
            2 => State::Leaving,
            3 => State::Gone,
            _ => return None,
        },
        address: update.address.parse().ok()?,
        refutation: update.refutation,
    })
}
