//! What an instance that starts asks its peers before it asks the store.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::shared::{Listing, Shared};
use crate::tell;
use crate::topics::Topic;

/// How long an instance that starts waits for the list of instances, from which it knows whom to ask. The
/// list may be unreadable alone.
const LIST: Duration = Duration::from_millis(400);
/// The same when the whole system starts for the first time: the list is read some 400 ms late then.
const FIRST_LIST: Duration = Duration::from_millis(1_200);
/// How long a peer's answer is awaited: it takes a few milliseconds, and some tens where the processor is
/// scarce. Where all instances start again at once nobody answers, and clients wait meanwhile.
const ANSWER: Duration = Duration::from_millis(60);
/// The same when the whole system starts for the first time, well before clients come: the first ones by
/// name read, and the others are told by them.
const FIRST_ANSWER: Duration = Duration::from_millis(300);
/// How often it asks then.
const FIRST_ASKS: u32 = 6;
/// The peers that are asked: the first by name, which read for the others.
const ASKED: usize = 2;
/// How often it looks whether the answer came.
const LOOK: Duration = Duration::from_millis(5);

/// What an instance that starts wants to know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Wanted {
    /// The newest records of a topic.
    Topic(Topic),
    /// The list of endpoints.
    List,
}

/// Asks peers once or a few times, and returns whether one of them answered.
pub(super) async fn ask(shared: &Shared, wanted: Wanted) -> bool {
    if wanted == Wanted::Topic(Topic::Instances) {
        // Without the list there is nobody to ask.
        return false;
    }
    let peers = peers(shared).await;
    if peers.is_empty() {
        return false;
    }
    let (asks, wait) = if shared.settings.first_start {
        (FIRST_ASKS, FIRST_ANSWER)
    } else {
        (1, ANSWER)
    };
    for _ in 0..asks {
        match wanted {
            Wanted::Topic(topic) => tell::ask_topic(shared, topic, &peers),
            Wanted::List => tell::ask_list(shared, &peers),
        }
        if tokio::time::timeout(wait, answered(shared, wanted))
            .await
            .is_ok()
        {
            spdlog::info!("start_told what={:?}", wanted);
            if wanted == Wanted::List {
                ask_holds(shared, peers[0]);
            }
            return true;
        }
    }
    false
}

/// Asks a peer what the endpoints hold: the list is told without, and digests come seconds apart.
fn ask_holds(shared: &Shared, peer: IpAddr) {
    let state = shared.state();
    let endpoints = state.fleet.entries().map(|entry| Arc::clone(&entry.id));
    let endpoints = endpoints.collect();
    drop(state);
    tell::ask_holds(shared, peer, endpoints);
}

/// Waits until a peer has answered.
async fn answered(shared: &Shared, wanted: Wanted) {
    let is_there = || match wanted {
        Wanted::Topic(topic) => shared.inboxes.of(topic).has_whole(),
        Wanted::List => shared.state().has_roster,
    };
    while !is_there() {
        tokio::time::sleep(LOOK).await;
    }
}

/// Lists the first peers of this failure domain by name, once the list of instances was read. Empty if
/// this instance is one of the first itself.
async fn peers(shared: &Shared) -> Vec<IpAddr> {
    let limit = if shared.settings.first_start {
        FIRST_LIST
    } else {
        LIST
    };
    let until = tokio::time::Instant::now() + limit;
    while shared.state().listing == Listing::Unread {
        if tokio::time::Instant::now() >= until {
            return Vec::new();
        }
        tokio::time::sleep(LOOK).await;
    }
    let state = shared.state();
    let settings = &shared.settings;
    let near = state.peers.iter();
    let near =
        near.filter(|(name, peer)| peer.domain == settings.domain && **name != settings.instance);
    let mut near: Vec<_> = near.map(|(name, peer)| (name, peer.ip)).collect();
    near.sort_unstable();
    let is_first = near
        .get(ASKED - 1)
        .is_none_or(|(name, _)| **name > settings.instance);
    // Where all start for the first time, the first ones have nobody to ask.
    if is_first && settings.first_start {
        return Vec::new();
    }
    near.into_iter().take(ASKED).map(|(_, ip)| ip).collect()
}
