//! What endpoints hold, as far as one instance has heard.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;
use xxhash_rust::xxh3::xxh3_64;

use crate::{Copy, Key, Lineage, Since};

/// How long a placer's word goes before the platform's list, which lags behind.
const WORD_AGE: Duration = Duration::from_secs(4);
/// How long an adapter that is on its way is waited for before it is asked for again.
const COMING_AGE: Duration = Duration::from_millis(1_200);
/// Adapters whose earlier endpoints are remembered.
const PAST: usize = 8_192;
/// Earlier endpoints of one adapter that are remembered.
const PAST_ENDPOINTS: usize = 6;

#[derive(Debug, Default)]
struct Holding {
    copies: HashSet<Copy>,
    heard: Option<Moment>,
}

/// Which endpoint holds which adapter.
#[derive(Debug, Default)]
pub struct Directory {
    endpoints: HashMap<Arc<str>, Holding>,
    holders: HashMap<Key, Vec<(u64, Arc<str>)>>,
    /// The endpoints that unloaded an adapter, the last one first.
    past: HashMap<Copy, Vec<Arc<str>>>,
    past_order: VecDeque<Copy>,
    lineages: HashMap<Key, Lineage>,
    coming: HashMap<Copy, (Arc<str>, Moment)>,
}

impl Directory {
    /// Takes in the platform's list, unless a placer said something lately.
    pub fn listed(&mut self, endpoint: &Arc<str>, copies: Vec<Copy>, now: Moment) {
        let heard = self.endpoints.get(endpoint).and_then(|h| h.heard);
        if heard.is_some_and(|at| now.since(at) < WORD_AGE) {
            return;
        }
        self.replace(endpoint, copies, heard);
    }

    /// Takes in a placer's whole list of an endpoint.
    pub fn reported(&mut self, endpoint: &Arc<str>, copies: Vec<Copy>, now: Moment) {
        self.replace(endpoint, copies, Some(now));
    }

    /// Takes in that an adapter is on its way to an endpoint.
    pub fn expect(&mut self, endpoint: &Arc<str>, copy: Copy, now: Moment) {
        self.coming.retain(|_, (_, at)| now.since(*at) < COMING_AGE);
        self.coming.insert(copy, (Arc::clone(endpoint), now));
    }

    /// Returns the endpoint to which an adapter is on its way.
    pub fn coming(&self, copy: &Copy, now: Moment) -> Option<&Arc<str>> {
        let (endpoint, at) = self.coming.get(copy)?;
        (now.since(*at) < COMING_AGE).then_some(endpoint)
    }

    /// Takes in that an endpoint holds an adapter from now on.
    pub fn loaded(&mut self, endpoint: &Arc<str>, copy: Copy, now: Moment) {
        let holding = self.endpoints.entry(Arc::clone(endpoint)).or_default();
        holding.heard = Some(now);
        self.coming.remove(&copy);
        if holding.copies.insert(copy.clone()) {
            let list = self.holders.entry(copy.key).or_default();
            list.push((copy.version, Arc::clone(endpoint)));
        }
    }

    /// Takes in that an endpoint does not hold an adapter in this version.
    pub fn unloaded(&mut self, endpoint: &Arc<str>, copy: &Copy) {
        if let Some(holding) = self.endpoints.get_mut(endpoint) {
            holding.copies.remove(copy);
        }
        self.forget(endpoint, copy);
    }

    /// Takes in that what is known of an endpoint agrees with its placer's word.
    pub fn confirmed(&mut self, endpoint: &str, now: Moment) {
        if let Some(holding) = self.endpoints.get_mut(endpoint) {
            holding.heard = Some(now);
        }
    }

    /// Lists what an endpoint holds; `None` if nothing was heard of it.
    pub fn held(&self, endpoint: &str) -> Option<Vec<Copy>> {
        let holding = self.endpoints.get(endpoint)?;
        Some(holding.copies.iter().cloned().collect())
    }

    /// Returns a digest of what an endpoint holds; `None` if nothing was heard of it.
    ///
    /// Instances compare it, so that it is XXH3 with 64 bits and part of their protocol.
    pub fn digest(&self, endpoint: &str) -> Option<u64> {
        let copies = &self.endpoints.get(endpoint)?.copies;
        let lines = copies
            .iter()
            .map(|copy| format!("{}@{}", copy.key, copy.version));
        let mut lines: Vec<String> = lines.collect();
        lines.sort_unstable();
        Some(xxh3_64(lines.join("\n").as_bytes()))
    }

    /// Takes in that an endpoint is gone.
    pub fn remove(&mut self, endpoint: &Arc<str>) {
        if let Some(holding) = self.endpoints.remove(endpoint) {
            for copy in holding.copies {
                self.forget(endpoint, &copy);
            }
        }
    }

    /// Lists the endpoints that hold an adapter in this version.
    pub fn holders(&self, key: &Key, version: u64) -> Vec<Arc<str>> {
        let list = self.holders.get(key).map_or(&[][..], Vec::as_slice);
        let matching = list.iter().filter(|(v, _)| *v == version);
        matching.map(|(_, endpoint)| Arc::clone(endpoint)).collect()
    }

    /// Returns whether an endpoint holds an adapter in any version.
    pub fn holds_any(&self, endpoint: &str, key: &Key) -> bool {
        let list = self.holders.get(key).map_or(&[][..], Vec::as_slice);
        list.iter().any(|(_, holder)| &**holder == endpoint)
    }

    /// Returns the newest version below `version` that some endpoint holds.
    pub fn older(&self, key: &Key, version: u64) -> Option<u64> {
        let list = self.holders.get(key)?;
        let below = list.iter().map(|(v, _)| *v).filter(|v| *v < version);
        below.max()
    }

    /// Lists the endpoints that unloaded an adapter, the last one first; they load it fast.
    pub fn past(&self, copy: &Copy) -> &[Arc<str>] {
        self.past.get(copy).map_or(&[], Vec::as_slice)
    }

    /// Takes in that a version was declared. Returns whether it is newer than those known.
    pub fn declare(&mut self, copy: Copy, since: Since) -> bool {
        let lineage = self.lineages.entry(copy.key).or_default();
        lineage.declare(copy.version, since)
    }

    /// Returns the newest version of an adapter.
    ///
    /// An adapter of which nothing was declared is in its first version.
    pub fn newest(&self, key: &Key) -> u64 {
        self.lineages.get(key).map_or(1, Lineage::newest)
    }

    /// Returns since when there has been a newer version; `None` if it is the newest.
    pub fn replaced(&self, copy: &Copy) -> Option<Since> {
        self.lineages.get(&copy.key)?.replaced(copy.version)
    }

    fn replace(&mut self, endpoint: &Arc<str>, copies: Vec<Copy>, heard: Option<Moment>) {
        let copies: HashSet<Copy> = copies.into_iter().collect();
        let holding = self.endpoints.entry(Arc::clone(endpoint)).or_default();
        holding.heard = heard;
        if holding.copies == copies {
            return;
        }
        let before = std::mem::replace(&mut holding.copies, copies.clone());
        for copy in before.difference(&copies) {
            self.forget(endpoint, copy);
        }
        for copy in copies.difference(&before) {
            let list = self.holders.entry(copy.key.clone()).or_default();
            list.push((copy.version, Arc::clone(endpoint)));
        }
    }

    fn forget(&mut self, endpoint: &Arc<str>, copy: &Copy) {
        let Some(list) = self.holders.get_mut(&copy.key) else {
            return;
        };
        list.retain(|(version, id)| *version != copy.version || id != endpoint);
        if list.is_empty() {
            self.holders.remove(&copy.key);
        }
        self.remember(endpoint, copy);
    }

    fn remember(&mut self, endpoint: &Arc<str>, copy: &Copy) {
        if !self.past.contains_key(copy) {
            self.past_order.push_back(copy.clone());
        }
        let past = self.past.entry(copy.clone()).or_default();
        past.retain(|id| id != endpoint);
        past.insert(0, Arc::clone(endpoint));
        past.truncate(PAST_ENDPOINTS);
        if self.past_order.len() > PAST
            && let Some(oldest) = self.past_order.pop_front()
        {
            self.past.remove(&oldest);
        }
    }
}
