//! Watches which instances are live: reads the platform's list and probes peers.

use std::net::SocketAddr;
use std::sync::Arc;

use ploverwick_members::{Action, State, Update};
use ploverwick_names::{Incarnation, Instance, Life};
use ploverwick_ports::roster::Listing;
use ploverwick_timeline::clock::Stamp;
use ploverwick_timeline::{Event, Kind};
use ploverwick_wire::{Ack, News as WireNews, PROTOCOL, Probe, supports_protocol};
use tokio::time::MissedTickBehavior;

use crate::controllers::table;
use crate::listing;
use crate::lock::lock;
use crate::logging::Outage;
use crate::node::Node;

/// Reads the platform's list again and again.
pub(crate) async fn follow_list(node: Arc<Node>) {
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
            Err(fault) => {
                outage.failed(&fault);
                continue;
            }
        };
        outage.answered();
        if let Some(changed) = read {
            tag = changed.tag;
            take_listing(&node, changed.value);
        }
        find_ended(&node);
    }
}

fn take_listing(node: &Arc<Node>, read: Listing) {
    let instances = listing::instances(&read);
    let now = node.now();
    let actions = lock(&node.members).apply_list(&instances, now);
    // Whoever is not on the list is not counted by the others either.
    if instances.contains_key(&node.life.instance) {
        node.listed.get_or_init(|| now);
    }
    node.listing.send_if_modified(|known| {
        let changed = **known != read;
        if changed {
            *known = Arc::new(read);
        }
        changed
    });
    take(node, actions);
}

/// Tells ownership which of its earlier lives have ended.
fn find_ended(node: &Node) {
    let lives = lock(&node.holds).unsettled();
    let now = node.now();
    let ended = lock(&node.members).find_ended(&lives, now);
    for life in ended {
        node.record(Event::new(Kind::Member, format!("{life} has ended")));
        lock(&node.holds).mark_ended(&life, now);
    }
}

/// Probes one peer a beat.
pub(crate) async fn beat(node: Arc<Node>) {
    let mut ticks = tokio::time::interval(node.settings.membership.beat());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let actions = lock(&node.members).tick(node.now());
        take(&node, actions);
    }
}

/// Carries out what membership decided.
fn take(node: &Arc<Node>, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Probe(target) => {
                tokio::spawn(probe(Arc::clone(node), target));
            }
            Action::IndirectProbe { helper, target } => {
                tokio::spawn(relay(Arc::clone(node), helper, target));
            }
            Action::Changed(life, state) => {
                forget_link(node, &life, state);
                let event = Event::new(Kind::Member, format!("{life} is {}", state.name()));
                node.record(event);
                spdlog::info!("member changed", kv: { member = life.instance.as_str(), state = state.name() });
            }
            Action::Ended(life) => {
                node.record(Event::new(Kind::Member, format!("{life} has ended")));
                lock(&node.holds).mark_ended(&life, node.now());
            }
        }
    }
}

/// Drops the connection to a member that is gone; one that comes back gets a new one.
fn forget_link(node: &Node, life: &Life, state: State) {
    if state != State::Gone {
        return;
    }
    let address = lock(&node.members).address(&life.instance);
    if let Some(address) = address {
        node.links.forget(address);
    }
}

async fn probe(node: Arc<Node>, target: Instance) {
    if call(&node, &target, "").await.is_some() {
        return;
    }
    let helpers = lock(&node.members).probe_timed_out(&target);
    if helpers.is_empty() {
        give_up(&node, &target);
        return;
    }
    let asked = helpers.into_iter().filter_map(|action| match action {
        Action::IndirectProbe { helper, target } => {
            Some(tokio::spawn(relay(Arc::clone(&node), helper, target)))
        }
        _ => None,
    });
    let asked: Vec<_> = asked.collect();
    let mut reached = false;
    for answer in asked {
        reached |= answer.await.unwrap_or(false);
    }
    if !reached {
        give_up(&node, &target);
    }
}

fn give_up(node: &Arc<Node>, target: &Instance) {
    let action = lock(&node.members).mark_unreachable(target, node.now());
    take(node, action.into_iter().collect());
}

/// Asks a helper to probe a silent member; returns whether it answered.
async fn relay(node: Arc<Node>, helper: Instance, target: Instance) -> bool {
    let ack = call(&node, &helper, target.as_str()).await;
    ack.is_some_and(|ack| ack.relayed)
}

/// Sends a probe and takes its answer into account.
async fn call(node: &Arc<Node>, target: &Instance, relay_to: &str) -> Option<Ack> {
    let address = lock(&node.members).address(target)?;
    let probe = message(node, relay_to);
    let mut timeout = node.settings.membership.probe_timeout();
    if !relay_to.is_empty() {
        timeout *= 2;
    }
    let exchange = async {
        let mut link = node.links.get(address).await.ok()?;
        let answered = link.beat(probe).await;
        if answered.is_err() {
            node.links.forget(address);
        }
        answered.ok()
    };
    let ack = tokio::time::timeout(timeout, exchange)
        .await
        .ok()??
        .into_inner();
    node.recorder.clock().observe(Stamp(ack.stamp));
    hear(node, ack.from.as_ref(), &ack.news);
    compare_table(node, ack.table, address);
    Some(ack)
}

fn message(node: &Node, relay_to: &str) -> Probe {
    let mut members = lock(&node.members);
    Probe {
        from: Some(to_wire(members.me())),
        news: members.take_updates().iter().map(to_wire).collect(),
        table: node.in_force.borrow().version.0,
        relay_to: relay_to.to_owned(),
        stamp: node.recorder.clock().tick().0,
        protocol: PROTOCOL,
    }
}

/// Answers a peer's probe.
pub(crate) async fn answer(node: &Arc<Node>, probe: Probe) -> Option<Ack> {
    if !supports_protocol(probe.protocol) {
        return None;
    }
    node.recorder.clock().observe(Stamp(probe.stamp));
    hear(node, probe.from.as_ref(), &probe.news);
    let from = probe
        .from
        .as_ref()
        .and_then(|news| news.address.parse().ok());
    if let Some(address) = from {
        compare_table(node, probe.table, address);
    }
    let relayed = match Instance::new(&probe.relay_to) {
        // A relayed probe asks for no further relay.
        Ok(target) => Box::pin(call(node, &target, "")).await.is_some(),
        Err(_) => false,
    };
    let mut members = lock(&node.members);
    Some(Ack {
        from: Some(to_wire(members.me())),
        news: members.take_updates().iter().map(to_wire).collect(),
        table: node.in_force.borrow().version.0,
        relayed,
        stamp: node.recorder.clock().tick().0,
    })
}

/// Fetches the table from a peer that has a newer one: the log may be out, or this daemon cut off
/// from it.
fn compare_table(node: &Arc<Node>, version: u64, address: SocketAddr) {
    if version > node.in_force.borrow().version.0 {
        tokio::spawn(table::fetch(Arc::clone(node), address));
    }
}

fn hear(node: &Arc<Node>, from: Option<&WireNews>, news: &[WireNews]) {
    let now = node.now();
    let mut actions = Vec::new();
    {
        let mut members = lock(&node.members);
        if let Some(from) = from.and_then(from_wire) {
            actions.extend(members.apply_update(&from, true, now));
        }
        for item in news.iter().filter_map(from_wire) {
            actions.extend(members.apply_update(&item, false, now));
        }
    }
    take(node, actions);
}

fn to_wire(news: &Update) -> WireNews {
    WireNews {
        instance: news.life.instance.to_string(),
        incarnation: news.life.incarnation.0,
        state: match news.state {
            State::Joining | State::Live => 0,
            State::Suspect => 1,
            State::Leaving => 2,
            State::Gone => 3,
        },
        address: news.address.to_string(),
        refutation: news.refutation,
    }
}

fn from_wire(news: &WireNews) -> Option<Update> {
    Some(Update {
        life: Life {
            instance: Instance::new(&news.instance).ok()?,
            incarnation: Incarnation(news.incarnation),
        },
        state: match news.state {
            0 => State::Live,
            1 => State::Suspect,
            2 => State::Leaving,
            3 => State::Gone,
            _ => return None,
        },
        address: news.address.parse().ok()?,
        refutation: news.refutation,
    })
}
