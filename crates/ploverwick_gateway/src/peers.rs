//! Messages between instances: single datagrams, encoded with postcard.
//!
//! A lost message does no harm: loads and holdings are repeated, and a question is asked again.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use ploverwick_adapters::{Copy, Event, Key, Need};
use ploverwick_endpoints::Entry;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::controllers::{demand, roster};
use crate::shared::{Shared, State};

/// The longest message; longer ones would be cut into packets.
const LONGEST: usize = 1_300;
/// Adapters in one message.
const CHUNK: usize = 48;
/// Lines of the list of endpoints in one message.
const ENTRIES: usize = 8;
/// The pause between messages to peers of the same failure domain.
const NEAR: Duration = Duration::from_millis(150);
/// Each so many of these pauses, peers of other failure domains get a message: bytes between
/// failure domains are dear.
const FAR_EVERY: u32 = 4;
/// Each so many of these pauses, holdings are repeated.
const HOLDINGS_EVERY: u32 = 14;

/// An adapter at an endpoint and the requests of the sender that use it.
#[derive(Debug, Serialize, Deserialize)]
struct Used {
    endpoint: Arc<str>,
    copy: Copy,
    in_use: u32,
}

/// The adapters of one base model that an endpoint holds.
#[derive(Debug, Serialize, Deserialize)]
struct Holding {
    model: Arc<str>,
    adapters: Vec<(Arc<str>, u64)>,
}

/// What one instance tells another.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// It runs, and has this many requests under way at endpoints.
    Status {
        instance: Arc<str>,
        domain: Arc<str>,
        places: Option<u64>,
        /// The version of its configuration.
        config: u64,
        loads: Vec<(Arc<str>, u32)>,
    },
    /// Its requests use these adapters.
    Used(Vec<Used>),
    /// A request needs an adapter.
    Need { copy: Copy, need: Need },
    /// An endpoint holds these adapters and no others.
    Holds {
        endpoint: Arc<str>,
        holdings: Vec<Holding>,
    },
    /// An adapter is on its way to an endpoint.
    Coming { endpoint: Arc<str>, copy: Copy },
    /// An endpoint holds an adapter from now on.
    Loaded { endpoint: Arc<str>, copy: Copy },
    /// What changed in the list of endpoints, and the digest of all of it.
    List {
        changed: Vec<Entry>,
        gone: Vec<Arc<str>>,
        digest: u64,
    },
    /// The sender no longer places the adapters of its failure domain.
    Vacant,
    /// An endpoint does not hold an adapter any more.
    Unloaded { endpoint: Arc<str>, copy: Copy },
}

/// The socket for messages.
#[derive(Debug)]
pub(crate) struct Mail {
    socket: UdpSocket,
}

impl Mail {
    pub(crate) async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self { socket })
    }

    fn send(&self, message: &Message, to: SocketAddr) {
        let bytes = match postcard::to_stdvec(message) {
            Ok(bytes) if bytes.len() <= LONGEST => bytes,
            Ok(bytes) => {
                spdlog::warn!("message_too_long bytes={}", bytes.len());
                return;
            }
            Err(error) => {
                spdlog::warn!("message_unwritable cause=\"{}\"", error);
                return;
            }
        };
        // A full socket loses a message, as the network may.
        if let Err(error) = self.socket.try_send_to(&bytes, to) {
            spdlog::debug!("message_lost to={} cause=\"{}\"", to, error);
        }
    }
}

/// Asks the instance at `ip` for an adapter.
pub(crate) fn ask(shared: &Shared, ip: IpAddr, copy: &Copy, need: Need) {
    let message = Message::Need {
        copy: copy.clone(),
        need,
    };
    shared.mail.send(&message, shared.mail_address(ip));
}

/// Tells all peers what changed at an endpoint.
pub(crate) fn announce(shared: &Shared, endpoint: &Arc<str>, event: &Event) {
    let message = match event {
        Event::Coming(copy) => Message::Coming {
            endpoint: Arc::clone(endpoint),
            copy: copy.clone(),
        },
        Event::Loaded(copy) => Message::Loaded {
            endpoint: Arc::clone(endpoint),
            copy: copy.clone(),
        },
        Event::Unloaded(copy) => Message::Unloaded {
            endpoint: Arc::clone(endpoint),
            copy: copy.clone(),
        },
        Event::Learned(copies) => holds(endpoint, copies),
        Event::BaseLoaded(_) => return,
    };
    let ips: Vec<IpAddr> = shared.state().peers.values().map(|peer| peer.ip).collect();
    for ip in ips {
        shared.mail.send(&message, shared.mail_address(ip));
    }
}

/// Tells the peers of this failure domain that one of them may place its adapters.
pub(crate) fn vacate(shared: &Shared) {
    for ip in near(shared) {
        shared.mail.send(&Message::Vacant, shared.mail_address(ip));
    }
}

/// Tells the peers of this failure domain what changed in the list of endpoints.
pub(crate) fn tell_list(
    shared: &Shared,
    mut changed: Vec<Entry>,
    mut gone: Vec<Arc<str>>,
    digest: u64,
) {
    let peers = near(shared);
    loop {
        // The digest fits once the last part has arrived.
        let rest = changed.split_off(changed.len().min(ENTRIES));
        let message = Message::List {
            changed: std::mem::replace(&mut changed, rest),
            gone: std::mem::take(&mut gone),
            digest,
        };
        for ip in &peers {
            shared.mail.send(&message, shared.mail_address(*ip));
        }
        if changed.is_empty() {
            return;
        }
    }
}

fn near(shared: &Shared) -> Vec<IpAddr> {
    let state = shared.state();
    let peers = state.peers.values();
    let near = peers.filter(|peer| peer.domain == shared.settings.domain);
    near.map(|peer| peer.ip).collect()
}

fn holds(endpoint: &Arc<str>, copies: &[Copy]) -> Message {
    let mut by_model: HashMap<&Arc<str>, Vec<(Arc<str>, u64)>> = HashMap::new();
    for copy in copies {
        let list = by_model.entry(&copy.key.model).or_default();
        list.push((Arc::clone(&copy.key.adapter), copy.version));
    }
    let holdings = by_model.into_iter().map(|(model, adapters)| Holding {
        model: Arc::clone(model),
        adapters,
    });
    Message::Holds {
        endpoint: Arc::clone(endpoint),
        holdings: holdings.collect(),
    }
}

/// Sends this instance's state to its peers, again and again.
pub(crate) async fn tell(shared: Arc<Shared>) {
    let mut round: u32 = 0;
    loop {
        tokio::time::sleep(NEAR).await;
        round = round.wrapping_add(1);
        for (message, to) in compose(&shared, round) {
            shared.mail.send(&message, to);
        }
    }
}

fn compose(shared: &Shared, round: u32) -> Vec<(Message, SocketAddr)> {
    let now = shared.now();
    let settings = &shared.settings;
    let mut state = shared.state();
    let loads = state.fleet.own_loads();
    let places = state.tenure.token(now);
    let config = state.config.as_ref().map_or(0, |config| config.version);
    let mut out = Vec::new();
    let is_far_turn = round.is_multiple_of(FAR_EVERY);
    for peer in state.peers.values() {
        let is_near = peer.domain == settings.domain;
        if !is_near && !is_far_turn {
            continue;
        }
        // A peer elsewhere sends mostly to endpoints of its own failure domain.
        let matters = |id: &str| {
            let entry = state.fleet.entry(id);
            entry.is_some_and(|entry| is_near || entry.domain == peer.domain)
        };
        let loads = loads.iter().filter(|(id, _)| matters(id)).cloned();
        let status = Message::Status {
            instance: Arc::clone(&settings.instance),
            domain: Arc::clone(&settings.domain),
            places,
            config,
            loads: loads.take(CHUNK).collect(),
        };
        out.push((status, shared.mail_address(peer.ip)));
    }
    if places.is_some() && round.is_multiple_of(HOLDINGS_EVERY) {
        for (endpoint, shelf) in state.placer.shelves().filter(|(_, shelf)| shelf.is_known()) {
            for peer in state.peers.values() {
                let message = holds(endpoint, &shelf.held());
                out.push((message, shared.mail_address(peer.ip)));
            }
        }
    }
    uses(shared, &mut state, now, &mut out);
    out
}

/// Reports the use of adapters to those who may unload them.
fn uses(
    shared: &Shared,
    state: &mut State,
    now: ploverwick_names::Moment,
    out: &mut Vec<(Message, SocketAddr)>,
) {
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
            shelf.used(copy, *in_use, now);
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
            out.push((message, shared.mail_address(ip)));
        }
    }
}

/// Takes in what peers tell.
pub(crate) async fn listen(shared: Arc<Shared>) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let (length, from) = match shared.mail.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                spdlog::warn!("message_unreadable cause=\"{}\"", error);
                tokio::time::sleep(NEAR).await;
                continue;
            }
        };
        match postcard::from_bytes(&buffer[..length]) {
            Ok(message) => take(&shared, message, from.ip()),
            Err(error) => spdlog::warn!("message_malformed from={} cause=\"{}\"", from, error),
        }
    }
}

fn take(shared: &Arc<Shared>, message: Message, from: IpAddr) {
    let now = shared.now();
    let mut state = shared.state();
    match message {
        Message::Status {
            instance,
            domain,
            places,
            config,
            loads,
        } => {
            let known = state.config.as_ref().map_or(0, |config| config.version);
            if config > known {
                shared.newer_config.notify_one();
            }
            let peer = crate::shared::Peer {
                ip: from,
                domain,
                heard: Some(now),
                places,
            };
            state.peers.insert(Arc::clone(&instance), peer);
            state
                .fleet
                .report(instance, loads.into_iter().collect(), now);
        }
        Message::Used(list) => {
            for used in list {
                if let Some(shelf) = state.placer.shelf(&used.endpoint) {
                    shelf.used(&used.copy, used.in_use, now);
                }
            }
        }
        Message::Need { copy, need } => {
            drop(state);
            demand::take(shared, &copy, need);
        }
        Message::Holds { endpoint, holdings } => {
            let copies = holdings.into_iter().flat_map(|holding| {
                let model = holding.model;
                holding.adapters.into_iter().map(move |(adapter, version)| {
                    let key = Key {
                        model: Arc::clone(&model),
                        adapter,
                    };
                    Copy { key, version }
                })
            });
            state.directory.reported(&endpoint, copies.collect(), now);
            drop(state);
            shared.placed.notify_waiters();
        }
        Message::Coming { endpoint, copy } => state.directory.expect(&endpoint, copy, now),
        Message::Loaded { endpoint, copy } => {
            state.directory.loaded(&endpoint, copy, now);
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
        Message::Vacant => shared.vacant.notify_one(),
        Message::Unloaded { endpoint, copy } => state.directory.unloaded(&endpoint, &copy),
    }
}

/// Counts a request that uses an adapter at an endpoint, or one that ended.
pub(crate) fn count_use(state: &mut State, endpoint: &Arc<str>, copy: &Copy, begins: bool) {
    let key = (Arc::clone(endpoint), copy.clone());
    let in_use = state.uses.entry(key).or_default();
    *in_use = if begins {
        *in_use + 1
    } else {
        in_use.saturating_sub(1)
    };
}
