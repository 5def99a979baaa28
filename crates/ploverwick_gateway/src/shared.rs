//! The data that all tasks share: settings, the store client, the peer socket and the state.
//!
//! One lock guards the state. It is held for single steps and never across an await.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use ploverwick_adapters::LeasePolicy;
use ploverwick_endpoints::RetryPolicy;
use ploverwick_limits::Sharers;
use ploverwick_names::Moment;
use ploverwick_platform::settings::Settings;
use ploverwick_platform::store::Store;
use ploverwick_routes::Config;
use ploverwick_shutdown::Shutdown;
use ploverwick_topics::Role;
use tokio::sync::{Notify, watch};

use crate::clock::Clock;
use crate::logging::LogLimiter;
use crate::memory::Memory;
use crate::messages::{CorrelationId, PeerSocket};
use crate::metrics;
use crate::origin_lookups::OriginLookups;
use crate::outbox::Outbox;
use crate::pool::Pool;
use crate::quarantine_updates::QuarantineUpdates;
use crate::relay::connections::RelayedConnections;
use crate::state::{InstanceListState, PEER_TIMEOUT, State, own_candidate};
use crate::topics::{Inboxes, Topic};

/// How long a placer's lease lasts. A shorter lease is taken over sooner. A longer one survives more lost
/// calls, and a restart of the whole system, after which its holder continues with the same token.
pub(crate) const PLACER_LEASE_DURATION: Duration = Duration::from_millis(2_800);
/// How long a placer continues after its lease expires while the store does not answer. Recorded outages
/// last up to 9 s, and endpoints refuse the orders of a holder that continues for too long.
const LEASE_EXTENSION: Duration = Duration::from_secs(8);
/// The maximum number of standbys for the lease per failure domain. With two, one can take over while the
/// other fails or cannot reach the store. There are no more because each call to the store is charged for.
pub(crate) const MAX_STANDBYS: usize = 2;

/// The fraction of the revocation bound up to which the configuration's age allows requests with keys. The
/// rest covers clock drift, and the time between reading the clock and checking the key.
const SERVE_AGE_SHARE: f64 = 0.97;
/// The fraction of the revocation bound up to which this instance is ready for new connections. Beyond it,
/// this instance will soon refuse requests, and the platform takes about 2 s to direct clients elsewhere.
const READY_AGE_SHARE: f64 = 0.6;

/// The data that all tasks share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) store: Store,
    pub(crate) pool: Pool,
    /// The connections to endpoints that other instances relay.
    pub(crate) relayed_pool: Pool,
    /// The connections that this instance relays for others.
    pub(crate) relayed_connections: Arc<RelayedConnections>,
    /// Signals that links to endpoints are suspected to be down, or are.
    pub(crate) probes_needed: Notify,
    pub(crate) peer_socket: PeerSocket,
    pub(crate) outbox: Outbox,
    /// The lookups of stream origins that wait for replies.
    pub(crate) origin_lookups: OriginLookups,
    /// Signals that a service has a second build, so that the origins of running streams are sent too.
    pub(crate) build_added: Notify,
    /// The quarantine entries whose changes have not been sent to peers yet.
    pub(crate) quarantine_updates: QuarantineUpdates,
    pub(crate) log_limiter: LogLimiter,
    pub(crate) evidence_limiter: LogLimiter,
    /// The bytes held for clients.
    pub(crate) memory: Arc<Memory>,
    /// Whether client connections can be accepted.
    is_accepting: AtomicBool,
    /// Whether the placer's fencing token is stored, so that the next process of this instance knows it.
    pub(crate) persists_token: bool,
    /// Wakes requests that wait for an adapter.
    pub(crate) placement_changed: Notify,
    /// The records that peers sent of each topic of the store.
    pub(crate) inboxes: Inboxes,
    /// Whether the last read of a topic failed.
    pub(crate) store_unavailable: watch::Sender<bool>,
    /// Wakes requests in progress when an adapter version is declared.
    pub(crate) version_declared: Notify,
    /// Wakes requests in progress when a request or a prompt part is refused because endpoints crash on it.
    pub(crate) refusal_added: Notify,
    /// Whether this instance knows which services are brittle.
    pub(crate) brittleness_known: watch::Sender<bool>,
    /// Wakes requests that wait for a slot of a brittle endpoint.
    pub(crate) slots_changed: Notify,
    /// Signals that the placer of this failure domain has released its lease.
    pub(crate) lease_released: Notify,
    /// Wakes the tasks that send orders to endpoints.
    pub(crate) orders_changed: Notify,
    /// Signals that a request waits for its organisation's quota.
    pub(crate) quota_requested: Notify,
    /// Wakes requests that wait for their organisations' quotas.
    pub(crate) quota_decided: Notify,
    /// The shutdown of the process, once it has been asked to stop.
    pub(crate) shutdown: watch::Sender<Option<Shutdown>>,
    /// Distinguishes requests of this process from those of an earlier one at the same address.
    process_nonce: u64,
    state: Mutex<State>,
}

impl Shared {
    pub(crate) fn new(settings: Settings, peer_socket: PeerSocket) -> Self {
        let clock = Clock::start();
        let lease_policy = LeasePolicy {
            duration: PLACER_LEASE_DURATION.max(settings.shortest_ttl),
            reacquire_delay: settings.lease,
            fenced: settings.fenced,
            extension: LEASE_EXTENSION,
            min_stable: settings.calm,
        };
        let state = State::new(&settings, lease_policy, clock.now());
        let first_start = settings.first_start;
        Self {
            is_accepting: AtomicBool::new(true),
            persists_token: lease_policy.waits_after_restart(),
            store: Store::new(settings.store, settings.partitions),
            memory: Memory::new(settings.memory),
            settings,
            pool: Pool::new(clock.clone()),
            relayed_pool: Pool::new(clock.clone()),
            relayed_connections: Arc::default(),
            probes_needed: Notify::new(),
            clock,
            peer_socket,
            outbox: Outbox::default(),
            origin_lookups: OriginLookups::new(rand::random()),
            build_added: Notify::new(),
            quarantine_updates: QuarantineUpdates::default(),
            log_limiter: LogLimiter::of_requests(),
            evidence_limiter: LogLimiter::of_evidence(),
            placement_changed: Notify::new(),
            inboxes: Inboxes::default(),
            store_unavailable: watch::Sender::new(false),
            version_declared: Notify::new(),
            refusal_added: Notify::new(),
            brittleness_known: watch::Sender::new(first_start),
            slots_changed: Notify::new(),
            lease_released: Notify::new(),
            orders_changed: Notify::new(),
            quota_requested: Notify::new(),
            quota_decided: Notify::new(),
            shutdown: watch::Sender::new(None),
            process_nonce: rand::random(),
            state: Mutex::new(state),
        }
    }

    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Locks the state for one step.
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Creates the correlation ID of a request to a peer that is sent now.
    pub(crate) fn correlation_id(&self, now: Moment) -> CorrelationId {
        CorrelationId {
            process: self.process_nonce,
            sent_at: now,
        }
    }

    /// Returns whether this process created a correlation ID.
    pub(crate) fn is_own_correlation_id(&self, correlation_id: CorrelationId) -> bool {
        correlation_id.process == self.process_nonce && correlation_id.sent_at <= self.now()
    }

    /// Returns whether the process has been asked to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.shutdown.borrow().is_some()
    }

    /// Waits until requests are no longer read because the process stops.
    pub(crate) async fn intake_ended(&self) {
        let mut shutdown = self.shutdown.subscribe();
        // An error means that the sender is gone, and with it the process.
        let end = shutdown.wait_for(Option::is_some).await;
        let end = end
            .ok()
            .and_then(|shutdown| Some(shutdown.as_ref()?.intake_end()));
        if let Some(end) = end {
            tokio::time::sleep_until(self.clock.instant(end)).await;
        }
    }

    /// Returns whether this instance is ready for new connections.
    pub(crate) fn is_ready(&self) -> bool {
        let can_accept = self.is_accepting.load(Ordering::Relaxed);
        let state = self.state();
        let is_loaded = state.config.is_some() && state.has_endpoint_list && state.has_table;
        let is_fresh = self.is_fresher_than(&state, READY_AGE_SHARE);
        let has_quotas = state
            .config
            .as_ref()
            .is_some_and(|config| config.has_quotas());
        let can_count = !has_quotas || state.allocation.has_leased();
        is_loaded && is_fresh && can_count && can_accept && !self.is_stopping()
    }

    /// Returns whether the configuration is so old that a key may have been revoked for longer than the bound
    /// allows.
    pub(crate) fn is_stale(&self) -> bool {
        !self.is_fresher_than(&self.state(), SERVE_AGE_SHARE)
    }

    /// Returns whether the configuration is proven to be younger than a fraction of the revocation bound, or
    /// no such bound applies.
    fn is_fresher_than(&self, state: &State, share: f64) -> bool {
        let has_keys = |config: &Arc<Config>| config.organisations().is_some();
        match self.settings.revocation {
            Some(bound) if state.config.as_ref().is_some_and(has_keys) => {
                let age = state.freshness.age(self.now());
                age.is_some_and(|age| age < bound.mul_f64(share))
            }
            Some(_) | None => true,
        }
    }

    /// Sets whether client connections can be accepted.
    pub(crate) fn set_accepting(&self, can_accept: bool) {
        self.is_accepting.store(can_accept, Ordering::Relaxed);
    }

    /// Returns whether this instance calls the store on behalf of its failure domain, which it does as the
    /// placer or a standby.
    pub(crate) fn polls_store(&self) -> bool {
        let now = self.now();
        let state = self.state();
        state.placer_lease.is_held(now) || state.rank(&self.settings, now) < MAX_STANDBYS
    }

    /// Returns this instance's role in its failure domain for a topic of the store. The placer always reads
    /// by itself, because it reports the ends of the topics to other failure domains.
    pub(crate) fn role(&self, topic: Topic) -> Role {
        let now = self.now();
        let state = self.state();
        if state.placer_lease.is_held(now) {
            return Role::Reader;
        }
        let peers = state.peers.iter().filter(|(_, peer)| {
            let is_alive = peer
                .last_seen
                .is_some_and(|at| now.since(at) <= PEER_TIMEOUT);
            is_alive && peer.domain == self.settings.domain
        });
        let peers = peers.map(|(name, peer)| ploverwick_topics::Peer {
            candidate: peer.candidate(name),
            reading: peer.read_states.of(topic).reading,
        });
        ploverwick_topics::role(own_candidate(&self.settings), peers)
    }

    /// Charges a retry of a request to its service's budget; returns `false` if the budget is exhausted.
    pub(crate) fn may_retry(&self, id: &str, service: &Arc<str>) -> bool {
        let now = self.now();
        let mut state = self.state();
        let balance = state.try_retry(service, self.retry_policy(), now);
        let instances = state.instance_count.max_in_window(self.retry_policy(), now);
        drop(state);
        let is_granted = balance.allows_retry();
        metrics::retry(is_granted);
        if self.log_limiter.allow(now) {
            spdlog::info!(
                "request_repeated id={} service={} granted={} earned={:.2} spent={:.2} share={:.2} instances={:?}",
                id,
                service,
                is_granted,
                balance.earned,
                balance.spent,
                balance.share,
                instances
            );
        }
        is_granted
    }

    /// Records the number of listed instances, which may have changed.
    pub(crate) fn count_instances(&self, state: &mut State) {
        if state.instance_list == InstanceListState::Listed {
            let instances = state.peers.len() + 1;
            state
                .instance_count
                .record(instances, self.retry_policy(), self.now());
        }
    }

    /// Returns the largest number of instances that were listed within the retry window; `None` until this
    /// instance is listed itself.
    pub(crate) fn max_instances(&self, state: &State) -> Option<usize> {
        state
            .instance_count
            .max_in_window(self.retry_policy(), self.now())
    }

    /// Returns how many instances share the global limits, if that is known. An instance that has just left
    /// is included, because what it used still counts.
    pub(crate) fn sharers(&self, state: &State) -> Sharers {
        let max_count = self.max_instances(state);
        match (state.instance_count.known_since(), max_count) {
            (Some(since), Some(count)) => Sharers::Known { count, since },
            (None, _) | (_, None) => Sharers::Unknown,
        }
    }

    /// Returns the limit on retries.
    pub(crate) fn retry_policy(&self) -> RetryPolicy {
        RetryPolicy {
            ratio: self.settings.repeat_ratio,
            allowance: self.settings.repeat_allowance,
            window: self.settings.repeat_window,
        }
    }
}
