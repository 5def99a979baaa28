//! Tracks which endpoints hold which adapters, as known to one instance.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;
use xxhash_rust::xxh3::xxh3_64;

use crate::announcements::Announcements;
use crate::{Copy, Key, Since, VersionHistory};

/// How long a placer's report takes precedence over the platform's list entry, which lags behind.
const REPORT_PRECEDENCE: Duration = Duration::from_secs(4);
/// The number of adapters whose previous endpoints are kept.
const MAX_PREVIOUS_ADAPTERS: usize = 8_192;
/// The number of previous endpoints kept for each adapter.
const MAX_PREVIOUS_ENDPOINTS: usize = 6;

#[derive(Debug, Default)]
struct EndpointState {
    copies: HashSet<Copy>,
    reported_at: Option<Moment>,
}

/// Maps adapters to the endpoints that hold them.
#[derive(Debug, Default)]
pub struct Directory {
    endpoints: HashMap<Arc<str>, EndpointState>,
    holders: HashMap<Key, Vec<(u64, Arc<str>)>>,
    /// The endpoints that unloaded an adapter, most recent first.
    previous_holders: HashMap<Copy, Vec<Arc<str>>>,
    insertion_order: VecDeque<Copy>,
    histories: HashMap<Key, VersionHistory>,
    loading: Announcements,
}

impl Directory {
    /// Applies the platform's list entry of an endpoint, unless a placer reported on it recently.
    pub fn apply_list_entry(&mut self, endpoint: &Arc<str>, copies: Vec<Copy>, now: Moment) {
        let reported_at = self
            .endpoints
            .get(endpoint)
            .and_then(|state| state.reported_at);
        if reported_at.is_some_and(|at| now.since(at) < REPORT_PRECEDENCE) {
            return;
        }
        self.replace(endpoint, copies, reported_at);
    }

    /// Applies a placer's full list of the adapters at an endpoint.
    pub fn apply_report(&mut self, endpoint: &Arc<str>, copies: Vec<Copy>, now: Moment) {
        self.replace(endpoint, copies, Some(now));
    }

    /// Records that an endpoint is loading an adapter or is about to. Returns whether other
    /// instances should be notified, because it is new or they were last notified some time ago.
    pub fn mark_loading(&mut self, endpoint: &Arc<str>, copy: Copy, now: Moment) -> bool {
        self.loading.add(endpoint, copy, now)
    }

    /// Returns the endpoint that is loading an adapter or is about to, if no other one has loaded
    /// it since.
    pub fn loading_on(&self, copy: &Copy, now: Moment) -> Option<&Arc<str>> {
        self.loading.loading_on(copy, now)
    }

    /// Returns an endpoint that is loading an adapter or is about to, among the accepted ones:
    /// loads at others neither hide nor replace it.
    pub fn loading_among(
        &self,
        copy: &Copy,
        now: Moment,
        accepts: impl Fn(&str) -> bool,
    ) -> Option<&Arc<str>> {
        self.loading.loading_among(copy, now, accepts)
    }

    /// Records that an endpoint now holds an adapter.
    pub fn mark_loaded(&mut self, endpoint: &Arc<str>, copy: Copy, now: Moment) {
        let state = self.endpoints.entry(Arc::clone(endpoint)).or_default();
        state.reported_at = Some(now);
        self.loading.complete(endpoint, &copy);
        if state.copies.insert(copy.clone()) {
            let list = self.holders.entry(copy.key).or_default();
            list.push((copy.version, Arc::clone(endpoint)));
        }
    }

    /// Records that an endpoint no longer holds an adapter in this version.
    pub fn mark_unloaded(&mut self, endpoint: &Arc<str>, copy: &Copy) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.copies.remove(copy);
        }
        self.remove_holder(endpoint, copy);
    }

    /// Records that the known state of an endpoint matches its placer's report.
    pub fn confirm_report(&mut self, endpoint: &str, now: Moment) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.reported_at = Some(now);
        }
    }

    /// Returns the adapters that an endpoint holds; `None` if the endpoint is unknown.
    pub fn held(&self, endpoint: &str) -> Option<Vec<Copy>> {
        let state = self.endpoints.get(endpoint)?;
        Some(state.copies.iter().cloned().collect())
    }

    /// Returns a digest of the adapters that an endpoint holds; `None` if the endpoint is unknown.
    ///
    /// Instances compare digests, so the hash, 64-bit XXH3, is part of the protocol between them.
    pub fn digest(&self, endpoint: &str) -> Option<u64> {
        let copies = &self.endpoints.get(endpoint)?.copies;
        let lines = copies
            .iter()
            .map(|copy| format!("{}@{}", copy.key, copy.version));
        let mut lines: Vec<String> = lines.collect();
        lines.sort_unstable();
        Some(xxh3_64(lines.join("\n").as_bytes()))
    }

    /// Removes an endpoint that is gone.
    pub fn remove(&mut self, endpoint: &Arc<str>) {
        if let Some(state) = self.endpoints.remove(endpoint) {
            for copy in state.copies {
                self.remove_holder(endpoint, &copy);
            }
        }
    }

    /// Returns the endpoints that hold an adapter in this version.
    pub fn holders(&self, key: &Key, version: u64) -> Vec<Arc<str>> {
        let list = self.holders.get(key).map_or(&[][..], Vec::as_slice);
        let matching = list.iter().filter(|(v, _)| *v == version);
        matching.map(|(_, endpoint)| Arc::clone(endpoint)).collect()
    }

    /// Returns whether an endpoint holds any version of an adapter.
    pub fn holds_any(&self, endpoint: &str, key: &Key) -> bool {
        let list = self.holders.get(key).map_or(&[][..], Vec::as_slice);
        list.iter().any(|(_, holder)| &**holder == endpoint)
    }

    /// Returns the newest version below `version` that some endpoint holds.
    pub fn newest_held_below(&self, key: &Key, version: u64) -> Option<u64> {
        let list = self.holders.get(key)?;
        let below = list.iter().map(|(v, _)| *v).filter(|v| *v < version);
        below.max()
    }

    /// Returns the endpoints that unloaded an adapter, most recent first; they can reload it
    /// quickly.
    pub fn previous_holders(&self, copy: &Copy) -> &[Arc<str>] {
        self.previous_holders.get(copy).map_or(&[], Vec::as_slice)
    }

    /// Records the declaration of a version. Returns whether it is newer than all known ones.
    pub fn declare(&mut self, copy: Copy, since: Since) -> bool {
        let history = self.histories.entry(copy.key).or_default();
        history.declare(copy.version, since)
    }

    /// Returns the newest version of an adapter.
    ///
    /// An adapter without declarations is at version 1.
    pub fn newest(&self, key: &Key) -> u64 {
        self.histories.get(key).map_or(1, VersionHistory::newest)
    }

    /// Returns the earliest time at which a version may have been replaced; `None` if it is the
    /// newest.
    pub fn replaced_since(&self, copy: &Copy) -> Option<Since> {
        self.histories.get(&copy.key)?.replaced_since(copy.version)
    }

    fn replace(&mut self, endpoint: &Arc<str>, copies: Vec<Copy>, reported_at: Option<Moment>) {
        let copies: HashSet<Copy> = copies.into_iter().collect();
        let state = self.endpoints.entry(Arc::clone(endpoint)).or_default();
        state.reported_at = reported_at;
        if state.copies == copies {
            return;
        }
        let before = std::mem::replace(&mut state.copies, copies.clone());
        for copy in before.difference(&copies) {
            self.remove_holder(endpoint, copy);
        }
        for copy in copies.difference(&before) {
            let list = self.holders.entry(copy.key.clone()).or_default();
            list.push((copy.version, Arc::clone(endpoint)));
        }
    }

    fn remove_holder(&mut self, endpoint: &Arc<str>, copy: &Copy) {
        let Some(list) = self.holders.get_mut(&copy.key) else {
            return;
        };
        list.retain(|(version, id)| *version != copy.version || id != endpoint);
        if list.is_empty() {
            self.holders.remove(&copy.key);
        }
        self.record_previous_holder(endpoint, copy);
    }

    fn record_previous_holder(&mut self, endpoint: &Arc<str>, copy: &Copy) {
        if !self.previous_holders.contains_key(copy) {
            self.insertion_order.push_back(copy.clone());
        }
        let previous = self.previous_holders.entry(copy.clone()).or_default();
        previous.retain(|id| id != endpoint);
        previous.insert(0, Arc::clone(endpoint));
        previous.truncate(MAX_PREVIOUS_ENDPOINTS);
        if self.insertion_order.len() > MAX_PREVIOUS_ADAPTERS
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.previous_holders.remove(&oldest);
        }
    }
}
