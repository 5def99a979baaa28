//! Loads that peers sent, summed by endpoint.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;

use crate::Load;

/// The age after which the load of a peer expires.
pub(crate) const MAX_PEER_LOAD_AGE: Duration = Duration::from_millis(2_500);

/// The load of one peer at each endpoint.
#[derive(Debug)]
pub(crate) struct PeerLoad {
    /// When it was received.
    pub(crate) at: Moment,
    pub(crate) loads: HashMap<Arc<str>, Load>,
}

/// The latest load of each peer, and their sums. The sums are kept because endpoint selection reads the load of
/// each endpoint and must not iterate over all peers.
#[derive(Debug, Default)]
pub(crate) struct PeerLoads {
    by_peer: HashMap<Arc<str>, PeerLoad>,
    sums: HashMap<Arc<str>, Load>,
    /// When the latest load of any peer was received.
    last_received: Moment,
}

impl PeerLoads {
    /// Replaces the load of a peer and removes expired loads.
    pub(crate) fn add(&mut self, peer: Arc<str>, peer_load: PeerLoad, now: Moment) {
        self.last_received = now;
        let expired = self.by_peer.iter();
        let expired = expired.filter(|(_, peer_load)| now.since(peer_load.at) > MAX_PEER_LOAD_AGE);
        let expired: Vec<Arc<str>> = expired.map(|(peer, _)| Arc::clone(peer)).collect();
        for peer in &expired {
            self.remove(peer);
        }
        self.remove(&peer);
        for (endpoint, load) in &peer_load.loads {
            let sum = self.sums.entry(Arc::clone(endpoint)).or_default();
            *sum = *sum + *load;
        }
        self.by_peer.insert(peer, peer_load);
    }

    fn remove(&mut self, peer: &str) {
        let Some(peer_load) = self.by_peer.remove(peer) else {
            return;
        };
        for (endpoint, load) in peer_load.loads {
            let Some(sum) = self.sums.get_mut(&endpoint) else {
                continue;
            };
            *sum = sum.saturating_sub(load);
            if *sum == Load::default() {
                self.sums.remove(&endpoint);
            }
        }
    }

    /// Returns the age of the oldest load that is in use; `None` if there is none.
    pub(crate) fn age(&self, now: Moment) -> Option<Duration> {
        let ages = self.by_peer.values().map(|load| now.since(load.at));
        ages.filter(|age| *age <= MAX_PEER_LOAD_AGE).max()
    }

    /// Returns the load of all peers at an endpoint. An expired load counts until the next one arrives, but
    /// none counts once the latest one has expired.
    pub(crate) fn load(&self, endpoint: &str, now: Moment) -> Load {
        if now.since(self.last_received) > MAX_PEER_LOAD_AGE {
            return Load::default();
        }
        self.sums.get(endpoint).copied().unwrap_or_default()
    }
}
