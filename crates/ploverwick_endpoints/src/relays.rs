//! The choice of the instance that relays connections to endpoints for one whose own links are down.
//!
//! Nothing is announced in advance: an instance is tried when it is needed, and its reply shows whether it can help. Relays
//! share the work by the connections open at each, and those of the same failure domain go first, since bytes between
//! failure domains are expensive.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Why an instance did not relay a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It does not relay, or cannot be reached.
    Unavailable,
    /// It relays as many connections as it may, or is leaving.
    Busy,
    /// Its own links to the endpoints are down, or may be.
    Partitioned,
}

/// An instance that may relay connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The name of the instance.
    pub name: &'a str,
    /// The failure domain of the instance.
    pub domain: &'a str,
}

/// How long an instance that is unavailable is not tried again: it is gone, or runs a version that does not relay.
const UNAVAILABLE_TTL: Duration = Duration::from_secs(4);
/// How long an instance at its limit is not tried again; relayed answers take some tenths of a second.
const BUSY_TTL: Duration = Duration::from_millis(250);
/// How long an instance whose own links are down is not tried again, and its failure domain is avoided.
const PARTITIONED_TTL: Duration = Duration::from_secs(2);

/// The cost of an instance of another failure domain, in open connections.
const REMOTE_COST: u32 = 32;
/// The cost of an instance that has not relayed yet, in open connections. A failed attempt delays a request.
const UNPROVEN_COST: u32 = 4;
/// The cost of an unproven instance in a failure domain where another one's links are down, in open connections.
const AVOIDED_COST: u32 = 64;

#[derive(Debug, Default)]
struct Relay {
    /// The open connections that it relays for this instance.
    open: u32,
    has_relayed: bool,
    /// When it may be tried again, after a refusal.
    retry_at: Option<Moment>,
}

/// What this instance knows of others as relays to the endpoints of a service.
#[derive(Debug, Default)]
pub struct Relays {
    relays: HashMap<Arc<str>, Relay>,
    /// The failure domains in which an instance's links were down, and until when they are avoided.
    avoided: HashMap<Arc<str>, Moment>,
}

impl Relays {
    /// Chooses the relay for the next connection of the instance `own` of failure domain `domain`; `None` if no
    /// candidate can be tried now.
    pub fn choose<'a>(
        &self,
        own: &str,
        domain: &str,
        candidates: impl Iterator<Item = Candidate<'a>>,
        now: Moment,
    ) -> Option<Candidate<'a>> {
        let seed = xxh3_64_with_seed(own.as_bytes(), 0);
        // The hash spreads the instances of a partitioned failure domain over the relays.
        let hash = |candidate: &Candidate<'_>| xxh3_64_with_seed(candidate.name.as_bytes(), seed);
        candidates
            .filter(|candidate| self.may_try(candidate.name, now))
            .min_by_key(|candidate| (self.cost(candidate, domain, now), hash(candidate)))
    }

    fn may_try(&self, name: &str, now: Moment) -> bool {
        let retry_at = self.relays.get(name).and_then(|relay| relay.retry_at);
        retry_at.is_none_or(|at| now >= at)
    }

    fn cost(&self, candidate: &Candidate<'_>, own_domain: &str, now: Moment) -> u32 {
        let relay = self.relays.get(candidate.name);
        let mut cost = relay.map_or(0, |relay| relay.open);
        if candidate.domain != own_domain {
            cost += REMOTE_COST;
        }
        if relay.is_none_or(|relay| !relay.has_relayed) {
            cost += UNPROVEN_COST;
            let avoided = self.avoided.get(candidate.domain);
            if avoided.is_some_and(|until| now < *until) {
                cost += AVOIDED_COST;
            }
        }
        cost
    }

    /// Returns whether an instance has relayed a connection for this one, and has not failed since.
    pub fn has_relayed(&self, name: &str) -> bool {
        self.relays.get(name).is_some_and(|relay| relay.has_relayed)
    }

    /// Records that an instance opened a connection for this one.
    pub fn record_opened(&mut self, name: &Arc<str>) {
        let relay = self.relays.entry(Arc::clone(name)).or_default();
        relay.open += 1;
        relay.has_relayed = true;
        relay.retry_at = None;
    }

    /// Records that a relayed connection was closed.
    pub fn record_closed(&mut self, name: &str) {
        if let Some(relay) = self.relays.get_mut(name) {
            relay.open = relay.open.saturating_sub(1);
        }
    }

    /// Records that an instance did not open a connection for this one.
    pub fn record_refusal(
        &mut self,
        name: &Arc<str>,
        domain: &Arc<str>,
        refusal: Refusal,
        now: Moment,
    ) {
        let relay = self.relays.entry(Arc::clone(name)).or_default();
        let ttl = match refusal {
            Refusal::Unavailable => UNAVAILABLE_TTL,
            Refusal::Busy => BUSY_TTL,
            Refusal::Partitioned => PARTITIONED_TTL,
        };
        relay.retry_at = Some(now + ttl);
        if refusal != Refusal::Busy {
            relay.has_relayed = false;
        }
        if refusal == Refusal::Partitioned {
            self.avoided
                .insert(Arc::clone(domain), now + PARTITIONED_TTL);
        }
    }

    /// Returns the number of open connections that other instances relay for this one.
    pub fn open_count(&self) -> u32 {
        self.relays.values().map(|relay| relay.open).sum()
    }

    /// Forgets the instances that are not listed and relay nothing.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.relays
            .retain(|name, relay| relay.open > 0 || is_listed(name));
    }
}
