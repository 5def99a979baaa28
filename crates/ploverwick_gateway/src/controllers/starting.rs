//! What an instance that starts asks its peers before it asks the store.

use std::net::IpAddr;
use std::time::Duration;

use anyhow::Result;
use tokio::time::Instant;

use crate::handover::{self, SnapshotRequest, SnapshotResponse};
use crate::shared::Shared;
use crate::state::{InstanceListState, own_candidate};
use crate::topics::Topic;

/// How long an instance that starts waits for the list of instances, from which it knows whom to ask. The
/// list may be unreadable alone.
const LIST: Duration = Duration::from_millis(400);
/// The same when the whole system starts for the first time: the list is read some 400 ms late then.
const FIRST_LIST: Duration = Duration::from_millis(1_200);
/// How long a peer's answer is awaited: it takes a few milliseconds, and some tens where the processor is
/// scarce; a configuration of a thousand routes takes up to 200 ms more on a link of 20 Mbit/s.
const ANSWER: Duration = Duration::from_millis(350);
/// How long an instance waits in all while its peers are starting, too. Where all read from the store at
/// once instead, the last one has a configuration of a thousand routes after 1.5 s.
const STARTING: Duration = Duration::from_millis(700);
/// The same when the whole system starts for the first time, well before clients come.
const FIRST_STARTING: Duration = Duration::from_millis(2_500);
/// The pause between questions.
const PAUSE: Duration = Duration::from_millis(40);
/// The peers that are asked: the first of the failure domain, which read for the others.
const ASKED: usize = 2;
/// How often it looks whether the list of instances was read.
const LOOK: Duration = Duration::from_millis(5);

/// Asks peers; `None` if this instance is to read from the store by itself: it is among the first, which
/// the others ask, or those cannot be reached. Where the store cannot be read, any peer is asked.
pub(super) async fn ask(shared: &Shared, wanted: SnapshotRequest) -> Option<SnapshotResponse> {
    if wanted == SnapshotRequest::Topic(Topic::Instances) {
        // Without the list there is nobody to ask.
        return None;
    }
    let peers = peers(shared).await;
    let limit = if shared.settings.first_start {
        FIRST_STARTING
    } else {
        STARTING
    };
    let until = Instant::now() + limit;
    while !peers.is_empty() && Instant::now() < until {
        let mut is_starting = false;
        for peer in &peers {
            match question(shared, *peer, wanted).await {
                Ok(SnapshotResponse::NotReady) => is_starting = true,
                Ok(given) => {
                    spdlog::info!("start_told what={:?} by={}", wanted, peer);
                    return Some(given);
                }
                Err(error) => {
                    is_starting |= is_refused(&error);
                    spdlog::debug!("start_untold by={} cause=\"{:#}\"", peer, error);
                }
            }
        }
        if !is_starting {
            break;
        }
        tokio::time::sleep(PAUSE).await;
    }
    None
}

async fn question(
    shared: &Shared,
    peer: IpAddr,
    wanted: SnapshotRequest,
) -> Result<SnapshotResponse> {
    let asked = handover::fetch(peer, shared.settings.peer_port, wanted);
    tokio::time::timeout(ANSWER, asked).await?
}

/// Returns whether the peer's machine runs and its process does not yet.
fn is_refused(error: &anyhow::Error) -> bool {
    let cause = error.downcast_ref::<std::io::Error>();
    cause.is_some_and(|cause| cause.kind() == std::io::ErrorKind::ConnectionRefused)
}

/// Lists the first peers of this failure domain, once the list of instances was read. Empty if this
/// instance is one of the first itself: where all start at once, somebody has to read.
async fn peers(shared: &Shared) -> Vec<IpAddr> {
    let settings = &shared.settings;
    let limit = if settings.first_start {
        FIRST_LIST
    } else {
        LIST
    };
    let until = Instant::now() + limit;
    // Peers that know this instance from an earlier life make themselves known meanwhile.
    while shared.state().instance_list == InstanceListState::Unread && Instant::now() < until {
        tokio::time::sleep(LOOK).await;
    }
    let is_away = *shared.store_unavailable.borrow();
    let state = shared.state();
    let near = state.peers.iter();
    let near = near.filter(|(_, peer)| peer.domain == settings.domain);
    let mut near: Vec<_> = near
        .map(|(name, peer)| (peer.candidate(name), peer.ip))
        .collect();
    near.sort_by(|(a, _), (b, _)| b.precedes(*a).cmp(&a.precedes(*b)));
    near.truncate(ASKED);
    let own = own_candidate(settings);
    let is_first = near.len() < ASKED || near.iter().any(|(peer, _)| own.precedes(*peer));
    if is_first && !is_away {
        return Vec::new();
    }
    near.into_iter().map(|(_, ip)| ip).collect()
}
