//! Loads that peers reported, summed by endpoint.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;

use crate::Load;

/// The age after which a peer's report expires.
pub(crate) const MAX_REPORT_AGE: Duration = Duration::from_millis(2_500);

/// The load of one peer at each endpoint.
#[derive(Debug)]
pub(crate) struct Report {
    /// When the report was received.
    pub(crate) at: Moment,
    pub(crate) loads: HashMap<Arc<str>, Load>,
}

/// The latest report of each peer, and their sums. The sums are kept because endpoint selection reads the load of
/// each endpoint and must not iterate over all peers.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    by_peer: HashMap<Arc<str>, Report>,
    sums: HashMap<Arc<str>, Load>,
    /// When the latest report of any peer was received.
    last_received: Moment,
}

impl Reports {
    /// Replaces a peer's report and removes expired reports.
    pub(crate) fn add(&mut self, peer: Arc<str>, report: Report, now: Moment) {
        self.last_received = now;
        let expired = self.by_peer.iter();
        let expired = expired.filter(|(_, report)| now.since(report.at) > MAX_REPORT_AGE);
        let expired: Vec<Arc<str>> = expired.map(|(peer, _)| Arc::clone(peer)).collect();
        for peer in &expired {
            self.remove(peer);
        }
        self.remove(&peer);
        for (endpoint, load) in &report.loads {
            let sum = self.sums.entry(Arc::clone(endpoint)).or_default();
            *sum = *sum + *load;
        }
        self.by_peer.insert(peer, report);
    }

    fn remove(&mut self, peer: &str) {
        let Some(report) = self.by_peer.remove(peer) else {
            return;
        };
        for (endpoint, load) in report.loads {
            let Some(sum) = self.sums.get_mut(&endpoint) else {
                continue;
            };
            *sum = sum.saturating_sub(load);
            if *sum == Load::default() {
                self.sums.remove(&endpoint);
            }
        }
    }

    /// Returns the load of all peers at an endpoint. An expired report counts until the next report arrives, but
    /// no report counts once the latest one has expired.
    pub(crate) fn load(&self, endpoint: &str, now: Moment) -> Load {
        if now.since(self.last_received) > MAX_REPORT_AGE {
            return Load::default();
        }
        self.sums.get(endpoint).copied().unwrap_or_default()
    }
}
