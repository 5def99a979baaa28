//! What peers have under way, summed up by endpoint.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;

use crate::Load;

/// How long a peer's report of its requests counts.
pub(crate) const AGE: Duration = Duration::from_millis(2_500);

/// What one peer has under way at endpoints.
#[derive(Debug)]
pub(crate) struct Told {
    /// When it said so.
    pub(crate) at: Moment,
    pub(crate) loads: HashMap<Arc<str>, Load>,
}

/// The last report of each peer, and their sums: a choice among endpoints asks for the load of each, and
/// must not go through all peers for it.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    by_peer: HashMap<Arc<str>, Told>,
    sums: HashMap<Arc<str>, Load>,
    /// When the last report came; the others are older.
    last: Moment,
}

impl Reports {
    /// Takes in a peer's report in place of its last one, and drops those that are too old.
    pub(crate) fn add(&mut self, peer: Arc<str>, told: Told, now: Moment) {
        self.last = now;
        let old = self.by_peer.iter();
        let old = old.filter(|(_, told)| now.since(told.at) > AGE);
        let old: Vec<Arc<str>> = old.map(|(peer, _)| Arc::clone(peer)).collect();
        for peer in &old {
            self.remove(peer);
        }
        self.remove(&peer);
        for (endpoint, load) in &told.loads {
            let sum = self.sums.entry(Arc::clone(endpoint)).or_default();
            *sum = *sum + *load;
        }
        self.by_peer.insert(peer, told);
    }

    fn remove(&mut self, peer: &str) {
        let Some(told) = self.by_peer.remove(peer) else {
            return;
        };
        for (endpoint, load) in told.loads {
            let Some(sum) = self.sums.get_mut(&endpoint) else {
                continue;
            };
            *sum = sum.less(load);
            if *sum == Load::default() {
                self.sums.remove(&endpoint);
            }
        }
    }

    /// Returns what all peers have under way at an endpoint. Where no peer reports any more nothing counts;
    /// else a report counts until the first one after its age.
    pub(crate) fn load(&self, endpoint: &str, now: Moment) -> Load {
        if now.since(self.last) > AGE {
            return Load::default();
        }
        self.sums.get(endpoint).copied().unwrap_or_default()
    }
}
