//! What changes while the process runs, in one place that a lock guards.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_adapters::{Copy, Directory, Lease, LeasePolicy, LoadLimiter, Placer, Watermark};
use ploverwick_endpoints::{
    Balance, Budget, Departures, Entry, Fleet, Held, InstanceCount, Limits, Pauses, RetryPolicy,
};
use ploverwick_limits::{PriorUse, RateLimiter};
use ploverwick_names::Moment;
use ploverwick_platform::settings::Settings;
use ploverwick_quarantine::{BrokenConnections, Quarantine};
use ploverwick_quota::{Allocation, Pool};
use ploverwick_routes::Config;
use ploverwick_table::Table;
use ploverwick_topics::Candidate;
use ploverwick_topics::freshness::Freshness;

use crate::incarnations::Incarnations;
use crate::topics::ReadStates;

/// A placer that is silent for longer is asked for nothing that another failure domain can load: it
/// speaks every 600 ms to other domains, so that two messages are missing.
const PLACER_TIMEOUT: Duration = Duration::from_millis(1_300);
/// A peer that is silent for longer is not asked for anything.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Another instance.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    pub(crate) ip: IpAddr,
    pub(crate) domain: Arc<str>,
    /// The part of a processor that it has, in thousandths of a core.
    pub(crate) capacity: u32,
    /// When it last sent a message.
    pub(crate) last_seen: Option<Moment>,
    /// Its fencing token, if it places the adapters of its failure domain.
    pub(crate) placer_token: Option<u64>,
    /// The adapters that wait for a place there, if it places them.
    pub(crate) waiting: u32,
    /// How far it has read each topic of the store.
    pub(crate) read_states: ReadStates,
}

impl Peer {
    /// Returns its place among the instances of its failure domain.
    pub(crate) fn candidate<'a>(&self, name: &'a str) -> Candidate<'a> {
        Candidate {
            capacity: self.capacity,
            name,
        }
    }
}

/// Returns this instance's place among those of its failure domain.
pub(crate) fn own_candidate(settings: &Settings) -> Candidate<'_> {
    Candidate {
        capacity: settings.capacity,
        name: &settings.instance,
    }
}

/// What one life of an instance read of the list of instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum InstanceListState {
    /// Nothing.
    Unread,
    /// The list.
    Read,
    /// The list with its own line. It then knows all that were listed before, and those that are listed
    /// later read its line before theirs count.
    Listed,
}

/// What changes while the process runs.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) config: Option<Arc<Config>>,
    pub(crate) has_roster: bool,
    /// When a peer last told what the list of endpoints holds, and it agreed with this one.
    pub(crate) roster_confirmed_at: Option<Moment>,
    /// Whether the table's topic was read in this life, so that a missing table is known to be none.
    pub(crate) has_table: bool,
    /// The operators' table; `None` until one is published.
    pub(crate) table: Option<Arc<Table>>,
    pub(crate) rates: RateLimiter,
    pub(crate) fleet: Fleet,
    /// The limits that endpoints in need have named.
    pub(crate) limits: Limits,
    /// The pauses that endpoints requested in their answers to this instance.
    pub(crate) pauses: Pauses,
    /// The endpoints whose answers to this instance reported that they are leaving.
    pub(crate) departures: Departures,
    /// The lives of the endpoints in it.
    pub(crate) incarnations: Incarnations,
    pub(crate) directory: Directory,
    /// What is proved of the age of what the operator wrote.
    pub(crate) watermark: Watermark,
    /// What is proven of the age of the configuration.
    pub(crate) freshness: Freshness,
    /// How far this instance has read each topic of the store.
    pub(crate) read_states: ReadStates,
    pub(crate) placer: Placer,
    pub(crate) placer_lease: Lease,
    /// The base models that were loaded lately in this failure domain.
    pub(crate) base_loads: LoadLimiter,
    pub(crate) budgets: HashMap<Arc<str>, Budget>,
    /// The instances that share what is bounded over all of them.
    pub(crate) instance_count: InstanceCount,
    pub(crate) peers: HashMap<Arc<str>, Peer>,
    /// The instances of this failure domain that left, and when: they may start again while the store is
    /// away, and then know nobody.
    pub(crate) former_peers: Vec<(IpAddr, Moment)>,
    /// What this life of the instance read of the list of instances.
    pub(crate) instance_list: InstanceListState,
    /// Whether an earlier life of this instance was the last to place adapters here.
    pub(crate) was_placer: bool,
    /// This instance's requests under way, by endpoint and adapter; 0 for one that ended since the
    /// placers were told.
    pub(crate) adapter_uses: HashMap<(Arc<str>, Copy), u32>,
    /// What this instance may use of the organisations' quotas.
    pub(crate) allocation: Allocation,
    /// The parts of quotas that instances lent to this one.
    pub(crate) quota_pool: Pool,
    /// The connections to endpoints that broke under requests lately.
    pub(crate) broken_connections: BrokenConnections,
    /// The requests that endpoints crashed under.
    pub(crate) quarantine: Quarantine,
}

impl State {
    /// Makes the state of an instance that knows nothing yet.
    pub(crate) fn new(settings: &Settings, terms: LeasePolicy, now: Moment) -> Self {
        Self {
            config: None,
            has_roster: false,
            roster_confirmed_at: None,
            has_table: false,
            table: None,
            rates: RateLimiter::new(if settings.first_start {
                PriorUse::None
            } else {
                PriorUse::Unknown
            }),
            fleet: Fleet::default(),
            limits: Limits::default(),
            pauses: Pauses::default(),
            departures: Departures::default(),
            incarnations: Incarnations::default(),
            directory: Directory::default(),
            watermark: Watermark::default(),
            freshness: Freshness::default(),
            read_states: ReadStates::default(),
            placer: Placer::default(),
            placer_lease: Lease::new(terms, !settings.first_start, now),
            base_loads: if settings.first_start {
                LoadLimiter::default()
            } else {
                LoadLimiter::after_unknown_loads(now)
            },
            budgets: HashMap::new(),
            instance_count: InstanceCount::default(),
            peers: HashMap::new(),
            former_peers: Vec::new(),
            instance_list: InstanceListState::Unread,
            was_placer: false,
            adapter_uses: HashMap::new(),
            allocation: Allocation::new(settings.ip.into(), now),
            quota_pool: Pool::new(settings.quota_window),
            broken_connections: BrokenConnections::default(),
            quarantine: Quarantine::default(),
        }
    }

    /// Returns who places the adapters of a failure domain, unless it is this instance.
    pub(crate) fn placer_of(&self, domain: &str, now: Moment) -> Option<IpAddr> {
        let peers = self.peers.values().filter(|peer| {
            let is_alive = peer
                .last_seen
                .is_some_and(|at| now.since(at) <= PEER_TIMEOUT);
            is_alive && &*peer.domain == domain
        });
        let placers = peers.filter_map(|peer| Some((peer.placer_token?, peer.ip)));
        placers.max().map(|(_, ip)| ip)
    }

    /// Takes an instance off the list of those that run.
    pub(crate) fn remove_peer(&mut self, name: &str, settings: &Settings, now: Moment) {
        let left = self.peers.remove(name);
        if let Some(peer) = left.filter(|peer| peer.domain == settings.domain) {
            self.former_peers.push((peer.ip, now));
        }
    }

    /// Returns the list of endpoints with what each holds, for an instance that has just started; `None` if
    /// it was not read yet.
    pub(crate) fn roster_snapshot(&self) -> Option<Vec<Entry>> {
        let entries = self.fleet.entries().map(|entry| {
            let mut entry = entry.clone();
            if let Some(copies) = self.directory.held(&entry.id) {
                entry.held = with_copies(entry.held, &copies);
            }
            entry
        });
        self.has_roster.then(|| entries.collect())
    }

    /// Returns how many adapters wait for a place in a failure domain; `None` if nobody places adapters
    /// there.
    pub(crate) fn waiting_in(&self, domain: &str, settings: &Settings, now: Moment) -> Option<u32> {
        if *domain == *settings.domain && self.placer_lease.is_held(now) {
            return Some(u32::try_from(self.placer.waiting()).unwrap_or(u32::MAX));
        }
        let ip = self.placer_of(domain, now)?;
        let placer = self.peers.values().find(|peer| peer.ip == ip)?;
        let is_alive = placer
            .last_seen
            .is_some_and(|at| now.since(at) <= PLACER_TIMEOUT);
        is_alive.then_some(placer.waiting)
    }

    /// Returns how many instances of this failure domain that are heard come before this one. Those
    /// that come first call the store for the others.
    pub(crate) fn rank(&self, settings: &Settings, now: Moment) -> usize {
        let before = self.peers.iter().filter(|(name, peer)| {
            let is_alive = peer
                .last_seen
                .is_some_and(|at| now.since(at) <= PEER_TIMEOUT);
            let is_near = is_alive && peer.domain == settings.domain;
            is_near && peer.candidate(name).precedes(own_candidate(settings))
        });
        before.count()
    }

    /// Lists the addresses of all instances that are listed and of this one, those that come first first.
    pub(crate) fn ranked_instances(&self, settings: &Settings) -> Vec<IpAddr> {
        let peers = self.peers.iter();
        let peers = peers.map(|(name, peer)| (peer.candidate(name), peer.ip));
        let mut all: Vec<_> = peers
            .chain([(own_candidate(settings), settings.ip.into())])
            .collect();
        all.sort_by(|(a, _), (b, _)| b.precedes(*a).cmp(&a.precedes(*b)));
        all.into_iter().map(|(_, ip)| ip).collect()
    }

    /// Returns how many instances of this failure domain that are listed come before this one, heard
    /// or not; `None` before the list was read.
    pub(crate) fn listed_rank(&self, settings: &Settings) -> Option<usize> {
        let peers = self.peers.iter();
        let before = peers
            .filter(|(_, peer)| peer.domain == settings.domain)
            .filter(|(name, peer)| peer.candidate(name).precedes(own_candidate(settings)));
        (self.instance_list != InstanceListState::Unread).then(|| before.count())
    }

    /// Lists the instances that may send to an endpoint of a failure domain that names a limit: those of
    /// its own domain, or all where none is listed there.
    pub(crate) fn senders<'a>(
        &'a self,
        domain: &str,
        settings: &'a Settings,
        now: Moment,
    ) -> Vec<&'a str> {
        let there = self.peers.iter();
        let there = there.filter(|(_, peer)| *peer.domain == *domain);
        if *domain == *settings.domain {
            let runs = |peer: &Peer| {
                peer.last_seen
                    .is_some_and(|at| now.since(at) <= PEER_TIMEOUT)
            };
            let near = there.filter(|(_, peer)| runs(peer));
            let near = near.map(|(name, _)| &**name);
            return near.chain([&*settings.instance]).collect();
        }
        let names: Vec<&str> = there.map(|(name, _)| &**name).collect();
        if !names.is_empty() {
            return names;
        }
        let all = self.peers.keys().map(|name| &**name);
        all.chain([&*settings.instance]).collect()
    }

    /// Returns how long an endpoint's limit or pause prevents this instance from sending requests to it;
    /// `None` if it may send now.
    pub(crate) fn send_wait(&self, endpoint: &str, now: Moment) -> Option<Duration> {
        let waits = [
            self.limits.wait(endpoint, now),
            self.pauses.wait(endpoint, now),
        ];
        waits.into_iter().flatten().max()
    }

    /// Returns the endpoints to which this instance must not send now, because of their limits or pauses. An endpoint
    /// may occur twice.
    pub(crate) fn closed(&self, now: Moment) -> Vec<Arc<str>> {
        let closed = self.limits.closed(now).chain(self.pauses.closed(now));
        closed.cloned().collect()
    }

    /// Counts a request that uses an adapter at an endpoint, or one that ended.
    pub(crate) fn record_use(&mut self, endpoint: &Arc<str>, copy: &Copy, begins: bool) {
        let key = (Arc::clone(endpoint), copy.clone());
        let in_use = self.adapter_uses.entry(key).or_default();
        *in_use = if begins {
            *in_use + 1
        } else {
            in_use.saturating_sub(1)
        };
    }

    /// Takes a repeat of a request to a service out of the budget, and returns what that rests on.
    pub(crate) fn try_retry(
        &mut self,
        service: &Arc<str>,
        rate: RetryPolicy,
        now: Moment,
    ) -> Balance {
        let budget = self.budgets.entry(Arc::clone(service)).or_default();
        budget.try_retry(rate, &self.instance_count, now)
    }
}

/// Returns the base models that an endpoint holds with these adapters.
fn with_copies(mut held: Vec<Held>, copies: &[Copy]) -> Vec<Held> {
    for models in &mut held {
        let of_model = copies.iter().filter(|copy| copy.key.model == models.model);
        models.adapters = of_model
            .map(|copy| (Arc::clone(&copy.key.adapter), copy.version))
            .collect();
    }
    held
}
