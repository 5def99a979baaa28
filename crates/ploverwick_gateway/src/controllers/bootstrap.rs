//! Fetches state from peers when an instance starts, before it reads the store.

use std::net::IpAddr;
use std::time::Duration;

use anyhow::Result;
use tokio::time::Instant;

use crate::shared::Shared;
use crate::snapshots::{self, SnapshotRequest, SnapshotResponse};
use crate::state::{InstanceListState, own_candidate};
use crate::topics::Topic;

/// How long an instance that starts waits for the list of instances, from which it learns its peers. The list
/// alone may be unreadable.
const LIST_TIMEOUT: Duration = Duration::from_millis(400);
/// The same when the whole system starts for the first time, when the list is read about 400 ms later.
const FIRST_START_LIST_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The timeout of a request to a peer. An answer takes a few milliseconds, or some tens if the processor is
/// busy. A configuration of a thousand routes takes up to 200 ms longer on a link of 20 Mbit/s.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(350);
/// How long an instance retries in total while its peers are starting, too. If all instances read from the
/// store at once instead, the last one has a configuration of a thousand routes after 1.5 s.
const PEER_START_TIMEOUT: Duration = Duration::from_millis(700);
/// The same when the whole system starts for the first time, well before clients connect.
const FIRST_START_PEER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The delay between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// The maximum number of peers to ask: the highest-ranked ones of the failure domain, which read for the
/// others.
const MAX_PEERS: usize = 2;
/// How often to check whether the list of instances was read.
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Asks peers. Returns `None` if this instance should read the store itself: it is among the highest-ranked
/// instances, which the others ask, or those cannot be reached. If the store is unavailable, instances of any
/// rank ask their peers.
pub(super) async fn fetch(shared: &Shared, request: SnapshotRequest) -> Option<SnapshotResponse> {
    if request == SnapshotRequest::Topic(Topic::Instances) {
        // Without the list, no peers are known.
        return None;
    }
    let peers = peers(shared).await;
    let timeout = if shared.settings.first_start {
        FIRST_START_PEER_TIMEOUT
    } else {
        PEER_START_TIMEOUT
    };
    let deadline = Instant::now() + timeout;
    while !peers.is_empty() && Instant::now() < deadline {
        let mut is_starting = false;
        for peer in &peers {
            match ask_peer(shared, *peer, request).await {
                Ok(SnapshotResponse::NotReady) => is_starting = true,
                Ok(response) => {
                    spdlog::info!("start_told what={:?} by={}", request, peer);
                    return Some(response);
                }
                Err(error) => {
                    is_starting |= is_connection_refused(&error);
                    spdlog::debug!("start_untold by={} cause=\"{:#}\"", peer, error);
                }
            }
        }
        if !is_starting {
            break;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    None
}

async fn ask_peer(
    shared: &Shared,
    peer: IpAddr,
    request: SnapshotRequest,
) -> Result<SnapshotResponse> {
    let answer = snapshots::fetch(peer, shared.settings.peer_port, request);
    tokio::time::timeout(ANSWER_TIMEOUT, answer).await?
}

/// Returns whether the peer refused the connection: its machine is up but its process is not listening yet.
fn is_connection_refused(error: &anyhow::Error) -> bool {
    let cause = error.downcast_ref::<std::io::Error>();
    cause.is_some_and(|cause| cause.kind() == std::io::ErrorKind::ConnectionRefused)
}

/// Returns the highest-ranked peers of this failure domain, once the list of instances was read. The result
/// is empty if this instance is one of the highest-ranked itself and the store is available, because some
/// instance must read when all start at once.
async fn peers(shared: &Shared) -> Vec<IpAddr> {
    let settings = &shared.settings;
    let timeout = if settings.first_start {
        FIRST_START_LIST_TIMEOUT
    } else {
        LIST_TIMEOUT
    };
    let deadline = Instant::now() + timeout;
    // Peers that know an earlier process of this instance send their status to it in the meantime.
    while shared.state().instance_list == InstanceListState::Unread && Instant::now() < deadline {
        tokio::time::sleep(LIST_POLL_INTERVAL).await;
    }
    let is_unavailable = *shared.store_unavailable.borrow();
    let state = shared.state();
    let candidates = state.peers.iter();
    let candidates = candidates.filter(|(_, peer)| peer.domain == settings.domain);
    let mut candidates: Vec<_> = candidates
        .map(|(name, peer)| (peer.candidate(name), peer.ip))
        .collect();
    candidates.sort_by(|(a, _), (b, _)| b.precedes(*a).cmp(&a.precedes(*b)));
    candidates.truncate(MAX_PEERS);
    let own = own_candidate(settings);
    let is_first =
        candidates.len() < MAX_PEERS || candidates.iter().any(|(peer, _)| own.precedes(*peer));
    if is_first && !is_unavailable {
        return Vec::new();
    }
    candidates.into_iter().map(|(_, ip)| ip).collect()
}
