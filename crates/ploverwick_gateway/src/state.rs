//! The mutable state of the process, guarded by one lock.

mod slot_owners;

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_adapters::{
    Copy, Demand, Directory, Lease, LeasePolicy, LoadLimiter, Placer, Watermark,
};
use ploverwick_endpoints::build_history::MAX_LIST_AGE;
use ploverwick_endpoints::origins::Origins;
use ploverwick_endpoints::{
    Balance, Brittleness, Budget, BuildHistory, BuildRegistry, DrainingReports, Entry, Fleet, Held,
    InstanceCount, Limits, Links, Pauses, Reachability, Refusals, Relays, RetryPolicy, Serving,
    State as EndpointState, relays, slots, totals,
};
use ploverwick_limits::{PriorUse, RateLimiter};
use ploverwick_names::Moment;
use ploverwick_platform::settings::Settings;
use ploverwick_quarantine::{BrokenConnections, Quarantine, prompt};
use ploverwick_quota::{Allocation, Pool};
use ploverwick_routes::Config;
use ploverwick_table::Table;
use ploverwick_topics::Candidate;
use ploverwick_topics::freshness::Freshness;

use crate::incarnations::Incarnations;
use crate::topics::ReadStates;

/// How long after its last message a placer still counts as available. An adapter that another failure domain
/// can load is not requested from an unavailable placer. A placer sends to other domains every 600 ms, so two
/// messages are missing by then.
const PLACER_TIMEOUT: Duration = Duration::from_millis(1_300);
/// How long after its last message a peer still counts as alive.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// What this instance knows of another instance.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    pub(crate) ip: IpAddr,
    pub(crate) domain: Arc<str>,
    /// Its CPU capacity in thousandths of a core.
    pub(crate) capacity: u32,
    /// When it last sent a message.
    pub(crate) last_seen: Option<Moment>,
    /// Its fencing token, if it is the placer of its failure domain.
    pub(crate) placer_token: Option<u64>,
    /// The number of adapters that wait for placement in its failure domain, if it is the placer.
    pub(crate) waiting: u32,
    /// Its demand for loads from the weight store, if it is the placer.
    pub(crate) demand: Option<Demand>,
    /// How far it has read each topic of the store.
    pub(crate) read_states: ReadStates,
}

impl Peer {
    /// Returns the key by which it ranks among the instances of its failure domain.
    pub(crate) fn candidate<'a>(&self, name: &'a str) -> Candidate<'a> {
        Candidate {
            capacity: self.capacity,
            name,
        }
    }
}

/// Returns the key by which this instance ranks among those of its failure domain.
pub(crate) fn own_candidate(settings: &Settings) -> Candidate<'_> {
    Candidate {
        capacity: settings.capacity,
        name: &settings.instance,
    }
}

/// What this process has read of the list of instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum InstanceListState {
    /// It has not read the list.
    Unread,
    /// It has read the list.
    Read,
    /// It has read the list with its own entry. It then knows all instances that were listed earlier, and
    /// an instance that is listed later reads this entry before its own takes effect.
    Listed,
}

/// The loads at the endpoints of this failure domain that were last sent, if this instance is the placer.
#[derive(Debug, Default)]
pub(crate) struct TotalsSenders {
    /// To the instances of this failure domain.
    pub(crate) local: totals::Sender,
    /// To the placers of the other failure domains.
    pub(crate) remote: totals::Sender,
}

/// The mutable state of the process.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) config: Option<Arc<Config>>,
    /// Whether this instance knows the list of endpoints.
    pub(crate) has_endpoint_list: bool,
    /// When a peer last sent a digest of the list of endpoints that matched this instance's list.
    pub(crate) endpoint_list_confirmed_at: Option<Moment>,
    /// When this instance last read the list of endpoints, or a peer confirmed it.
    endpoint_list_current_at: Option<Moment>,
    /// Which builds of each service serve, or lately did.
    pub(crate) builds: BuildHistory,
    /// The builds that the store records for each service.
    pub(crate) build_registry: BuildRegistry,
    /// The builds that began this instance's streams.
    pub(crate) own_origins: Origins,
    /// The builds that began streams of other instances, kept for them.
    pub(crate) kept_origins: Origins,
    /// Whether this process has read the table's topic, so that a missing table means that there is none.
    pub(crate) has_table: bool,
    /// The operators' table; `None` until one is published.
    pub(crate) table: Option<Arc<Table>>,
    pub(crate) rate_limiter: RateLimiter,
    pub(crate) fleet: Fleet,
    /// What this instance's connections to endpoints have shown.
    pub(crate) reachability: Reachability,
    /// What this instance knows of others as relays of connections to the endpoints of each service.
    pub(crate) relays: HashMap<Arc<str>, Relays>,
    pub(crate) totals: TotalsSenders,
    /// The limits that overloaded endpoints have set.
    pub(crate) limits: Limits,
    /// The pauses that endpoints requested in their answers to this instance.
    pub(crate) pauses: Pauses,
    /// The services whose endpoints crash if they have to turn many requests away.
    pub(crate) brittleness: Brittleness,
    /// The slots of the endpoints of brittle services.
    pub(crate) slots: slots::Ledger,
    /// The number of requests that wait for a slot, by service.
    pub(crate) slot_waits: HashMap<Arc<str>, usize>,
    /// The requests that brittle endpoints turned away.
    pub(crate) refusals: Refusals,
    /// The endpoints whose answers to this instance reported that they are leaving.
    pub(crate) draining_reports: DrainingReports,
    /// The incarnations of the endpoints in `fleet`.
    pub(crate) incarnations: Incarnations,
    pub(crate) directory: Directory,
    /// Bounds how old the records of the operator's topic may be.
    pub(crate) watermark: Watermark,
    /// Proves how recent the configuration is.
    pub(crate) freshness: Freshness,
    /// How far this instance has read each topic of the store.
    pub(crate) read_states: ReadStates,
    pub(crate) placer: Placer,
    /// The lease that allows one instance to place the adapters of this failure domain.
    pub(crate) placer_lease: Lease,
    /// Limits the rate of base model loads in this failure domain.
    pub(crate) base_load_limiter: LoadLimiter,
    pub(crate) retry_budgets: HashMap<Arc<str>, Budget>,
    /// The number of instances that share the global limits.
    pub(crate) instance_count: InstanceCount,
    pub(crate) peers: HashMap<Arc<str>, Peer>,
    /// The instances of this failure domain that left, and when. If they restart while the store is
    /// unavailable, they know no peers and depend on being contacted.
    pub(crate) former_peers: Vec<(IpAddr, Moment)>,
    /// What this process has read of the list of instances.
    pub(crate) instance_list: InstanceListState,
    /// Whether an earlier process of this instance was the last placer of this failure domain.
    pub(crate) was_placer: bool,
    /// The number of this instance's requests in progress, by endpoint and adapter. An entry stays at 0
    /// until the placers have been sent that value.
    pub(crate) adapter_uses: HashMap<(Arc<str>, Copy), u32>,
    /// This instance's part of the organisations' quotas.
    pub(crate) allocation: Allocation,
    /// The quota shares that other instances lease to this one.
    pub(crate) quota_pool: Pool,
    /// The connections to endpoints that recently broke during requests.
    pub(crate) broken_connections: BrokenConnections,
    /// The requests that endpoints crashed on.
    pub(crate) quarantine: Quarantine,
    pub(crate) prompt_quarantine: prompt::Quarantine,
}

impl State {
    /// Creates the state of an instance that has just started.
    pub(crate) fn new(settings: &Settings, lease_policy: LeasePolicy, now: Moment) -> Self {
        Self {
            config: None,
            has_endpoint_list: false,
            endpoint_list_confirmed_at: None,
            endpoint_list_current_at: None,
            builds: BuildHistory::new(settings.first_start, now),
            build_registry: BuildRegistry::default(),
            own_origins: Origins::default(),
            kept_origins: Origins::default(),
            has_table: false,
            table: None,
            rate_limiter: RateLimiter::new(if settings.first_start {
                PriorUse::None
            } else {
                PriorUse::Unknown
            }),
            fleet: Fleet::default(),
            reachability: Reachability::default(),
            relays: HashMap::new(),
            totals: TotalsSenders::default(),
            limits: Limits::default(),
            pauses: Pauses::default(),
            brittleness: Brittleness::default(),
            slots: slots::Ledger::new(rand::random(), settings.first_start, now),
            slot_waits: HashMap::new(),
            refusals: Refusals::default(),
            draining_reports: DrainingReports::default(),
            incarnations: Incarnations::default(),
            directory: Directory::default(),
            watermark: Watermark::default(),
            freshness: Freshness::default(),
            read_states: ReadStates::default(),
            placer: Placer::default(),
            placer_lease: Lease::new(lease_policy, !settings.first_start, now),
            base_load_limiter: if settings.first_start {
                LoadLimiter::default()
            } else {
                LoadLimiter::after_unknown_loads(now)
            },
            retry_budgets: HashMap::new(),
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
            prompt_quarantine: prompt::Quarantine::default(),
        }
    }

    /// Records that the list of endpoints was current at `at`, when its read started or a peer confirmed it.
    pub(crate) fn record_current_endpoint_list(&mut self, at: Moment, now: Moment) {
        let last = self.endpoint_list_current_at;
        match last {
            None => self.builds.record_first_read(at),
            Some(last) if now.since(last) > MAX_LIST_AGE => self.builds.record_gap(now),
            Some(_) => {}
        }
        self.endpoint_list_current_at = last.max(Some(at));
    }

    /// Returns what this instance knows of the builds of a service.
    pub(crate) fn serving(&self, service: &str, now: Moment) -> Serving {
        let serving = self.listed_serving(service, now);
        if self.is_endpoint_list_current(now) {
            serving
        } else {
            serving.outdated()
        }
    }

    /// Returns the same for the list as it is, even if it is out of date.
    pub(crate) fn listed_serving(&self, service: &str, now: Moment) -> Serving {
        let since = self.builds.unbroken_since();
        let earlier = self.build_registry.proven(service, since);
        self.builds.serving(service, earlier.as_deref(), now)
    }

    /// Returns whether this instance knows all builds that serve or lately did.
    pub(crate) fn knows_builds(&self, now: Moment) -> bool {
        self.is_endpoint_list_current(now) && self.builds.is_complete(now)
    }

    fn is_endpoint_list_current(&self, now: Moment) -> bool {
        let at = self.endpoint_list_current_at;
        at.is_some_and(|at| now.since(at) <= MAX_LIST_AGE)
    }

    /// Returns the address of a failure domain's placer, unless it is this instance.
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

    /// Chooses the instance that relays the next connection to an endpoint of a service; `None` if none can be tried now.
    ///
    /// Instances of other failure domains send their status to few, so that their silence says nothing.
    pub(crate) fn choose_relay(
        &self,
        service: &str,
        settings: &Settings,
        now: Moment,
    ) -> Option<relays::Candidate<'_>> {
        settings.relay_port?;
        let peers = self.peers.iter().filter(|(_, peer)| {
            let is_silent = peer.last_seen.is_none_or(|at| now.since(at) > PEER_TIMEOUT);
            peer.domain != settings.domain || !is_silent
        });
        let candidates = peers.map(|(name, peer)| relays::Candidate {
            name,
            domain: &peer.domain,
        });
        let none = Relays::default();
        let known = self.relays.get(service).unwrap_or(&none);
        known.choose(&settings.instance, &settings.domain, candidates, now)
    }

    /// Returns the failure domain from which connections to the endpoints of a service start: that of the relay if this
    /// instance's own links to them are down.
    pub(crate) fn egress_domain<'a>(
        &self,
        service: &str,
        settings: &'a Settings,
        now: Moment,
    ) -> &'a str {
        if self.reachability.links(service) == Links::Up {
            return &settings.domain;
        }
        let relay = self.choose_relay(service, settings, now);
        let mut domains = settings.domains.iter();
        let domain = domains.find(|domain| relay.is_some_and(|relay| *relay.domain == ***domain));
        domain.unwrap_or(&settings.domain)
    }

    /// Returns whether this instance reaches at least half of the engines of its failure domain directly.
    pub(crate) fn reaches_engines(&self, settings: &Settings) -> bool {
        let engines = self.fleet.entries().filter(|entry| {
            entry.domain == settings.domain
                && entry.state == EndpointState::Ready
                && !entry.held.is_empty()
        });
        let (mut all, mut detoured) = (0, 0);
        for engine in engines {
            all += 1;
            detoured += usize::from(self.reachability.is_detoured(engine));
        }
        detoured * 2 <= all
    }

    /// Removes an instance that has left.
    pub(crate) fn remove_peer(&mut self, name: &str, settings: &Settings, now: Moment) {
        let removed = self.peers.remove(name);
        if let Some(peer) = removed.filter(|peer| peer.domain == settings.domain) {
            self.former_peers.push((peer.ip, now));
        }
    }

    /// Returns the list of endpoints with the adapters that each holds, for an instance that has just
    /// started; `None` if this instance has not read the list yet.
    pub(crate) fn endpoint_list_snapshot(&self) -> Option<Vec<Entry>> {
        let entries = self.fleet.entries().map(|entry| {
            let mut entry = entry.clone();
            if let Some(copies) = self.directory.held(&entry.id) {
                entry.held = with_adapters(entry.held, &copies);
            }
            entry
        });
        self.has_endpoint_list.then(|| entries.collect())
    }

    /// Returns how many adapters wait for placement in a failure domain; `None` if it has no available
    /// placer.
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

    /// Returns how long an adapter that is requested in a failure domain now takes to load; `None` if its
    /// placer has not stated it.
    pub(crate) fn expected_load_wait(
        &self,
        domain: &str,
        settings: &Settings,
        now: Moment,
    ) -> Option<Duration> {
        if *domain == *settings.domain && self.placer_lease.is_held(now) {
            return self.placer.demand(now).expected_wait();
        }
        let ip = self.placer_of(domain, now)?;
        let placer = self.peers.values().find(|peer| peer.ip == ip)?;
        placer.demand?.expected_wait()
    }

    /// Returns how many live instances of this failure domain rank before this one. The
    /// highest-ranked instances read the store for the others.
    pub(crate) fn rank(&self, settings: &Settings, now: Moment) -> usize {
        let before = self.peers.iter().filter(|(name, peer)| {
            let is_alive = peer
                .last_seen
                .is_some_and(|at| now.since(at) <= PEER_TIMEOUT);
            let is_local = is_alive && peer.domain == settings.domain;
            is_local && peer.candidate(name).precedes(own_candidate(settings))
        });
        before.count()
    }

    /// Returns the addresses of all listed instances and of this one, ordered by rank.
    pub(crate) fn ranked_instances(&self, settings: &Settings) -> Vec<IpAddr> {
        let peers = self.peers.iter();
        let peers = peers.map(|(name, peer)| (peer.candidate(name), peer.ip));
        let mut all: Vec<_> = peers
            .chain([(own_candidate(settings), settings.ip.into())])
            .collect();
        all.sort_by(|(a, _), (b, _)| b.precedes(*a).cmp(&a.precedes(*b)));
        all.into_iter().map(|(_, ip)| ip).collect()
    }

    /// Returns how many listed instances of this failure domain rank before this one, whether or not they
    /// are alive; `None` before the list has been read.
    pub(crate) fn listed_rank(&self, settings: &Settings) -> Option<usize> {
        let peers = self.peers.iter();
        let before = peers
            .filter(|(_, peer)| peer.domain == settings.domain)
            .filter(|(name, peer)| peer.candidate(name).precedes(own_candidate(settings)));
        (self.instance_list != InstanceListState::Unread).then(|| before.count())
    }

    /// Returns the instances that may send to an endpoint that has set a limit: those of the endpoint's
    /// failure domain, or all instances if none is listed there.
    pub(crate) fn senders<'a>(
        &'a self,
        domain: &str,
        settings: &'a Settings,
        now: Moment,
    ) -> Vec<&'a str> {
        let in_domain = self.peers.iter();
        let in_domain = in_domain.filter(|(_, peer)| *peer.domain == *domain);
        if *domain == *settings.domain {
            let is_alive = |peer: &Peer| {
                peer.last_seen
                    .is_some_and(|at| now.since(at) <= PEER_TIMEOUT)
            };
            let alive = in_domain.filter(|(_, peer)| is_alive(peer));
            let alive = alive.map(|(name, _)| &**name);
            return alive.chain([&*settings.instance]).collect();
        }
        let names: Vec<&str> = in_domain.map(|(name, _)| &**name).collect();
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

    /// Returns the endpoints to which this instance must not send now, because of their limits or pauses.
    /// An endpoint may occur twice.
    pub(crate) fn closed(&self, now: Moment) -> Vec<Arc<str>> {
        let closed = self.limits.closed(now).chain(self.pauses.closed(now));
        closed.cloned().collect()
    }

    /// Records the start or the end of a request that uses an adapter at an endpoint.
    pub(crate) fn record_use(&mut self, endpoint: &Arc<str>, copy: &Copy, starts: bool) {
        let key = (Arc::clone(endpoint), copy.clone());
        let in_use = self.adapter_uses.entry(key).or_default();
        *in_use = if starts {
            *in_use + 1
        } else {
            in_use.saturating_sub(1)
        };
    }

    /// Charges a retry of a request to the service's budget, and returns the balance that decides on it.
    pub(crate) fn try_retry(
        &mut self,
        service: &Arc<str>,
        policy: RetryPolicy,
        now: Moment,
    ) -> Balance {
        let budget = self.retry_budgets.entry(Arc::clone(service)).or_default();
        budget.try_retry(policy, &self.instance_count, now)
    }
}

/// Replaces the adapters of the base models that an endpoint holds.
fn with_adapters(mut held: Vec<Held>, copies: &[Copy]) -> Vec<Held> {
    for models in &mut held {
        let of_model = copies.iter().filter(|copy| copy.key.model == models.model);
        models.adapters = of_model
            .map(|copy| (Arc::clone(&copy.key.adapter), copy.version))
            .collect();
    }
    held
}
