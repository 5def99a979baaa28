//! What tasks share: settings, the store, the messages, and the state.
//!
//! One lock guards the state. It is held for single steps and never across a wait.

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
use ploverwick_topics::Role;
use tokio::sync::{Notify, watch};

use crate::clock::Clock;
use crate::logging::LogLimiter;
use crate::messages::{PeerSocket, QueryId};
use crate::metrics;
use crate::outbox::Outbox;
use crate::pool::Pool;
use crate::quarantine_updates::QuarantineUpdates;
use crate::state::{InstanceListState, PEER_TIMEOUT, State, own_candidate};
use crate::topics::{Inboxes, Topic};

/// How long a grant of the right to place adapters lasts. A shorter one is taken over sooner, a
/// longer one survives more lost calls, and a restart of the whole system, after which its holder goes
/// on under the same token.
pub(crate) const PLACER_LEASE_DURATION: Duration = Duration::from_millis(2_800);
/// How long a placer goes on while the store is silent; outages on record last up to 9 s, and a
/// holder that goes on for too long only meets refusals.
const EXTENSION: Duration = Duration::from_secs(8);
/// The instances of a failure domain that stand by for the right beside its holder. One takes over
/// while another one dies or cannot reach the store; each call is priced.
pub(crate) const MAX_STANDBYS: usize = 2;

/// The part of the bound on revoked keys up to which requests with keys are served. The rest is for clocks
/// that run at other paces, and the time between the look at the clock and at the key.
const TRUSTED_SHARE: f64 = 0.97;
/// The part of it after which new connections should go to other instances: this one will soon refuse, and
/// the platform takes some 2 s to send clients elsewhere.
const CONFIRMED_SHARE: f64 = 0.6;

/// What all tasks share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) store: Store,
    pub(crate) pool: Pool,
    pub(crate) peer_socket: PeerSocket,
    pub(crate) outbox: Outbox,
    /// What is to be told of crashes that are counted against requests.
    pub(crate) quarantine_updates: QuarantineUpdates,
    pub(crate) log_limiter: LogLimiter,
    /// Whether clients' connections can be taken.
    is_accepting: AtomicBool,
    /// Whether the token of the right to place adapters must outlast this process.
    pub(crate) persists_token: bool,
    /// Wakes requests that wait for an adapter.
    pub(crate) placement_changed: Notify,
    /// What peers told of the topics of the store.
    pub(crate) inboxes: Inboxes,
    /// Whether the last call that followed a topic failed.
    pub(crate) store_unavailable: watch::Sender<bool>,
    /// Wakes requests under way when a version is declared.
    pub(crate) version_declared: Notify,
    /// Says that the placer of this failure domain gave up its right.
    pub(crate) lease_released: Notify,
    /// Wakes the tasks that give orders.
    pub(crate) orders_changed: Notify,
    /// Says that a request waits for its organisation's quota.
    pub(crate) quota_requested: Notify,
    /// Wakes requests that wait for their organisations' quotas.
    pub(crate) quota_decided: Notify,
    /// Says that the process is asked to stop.
    pub(crate) stopping: watch::Sender<bool>,
    /// Tells questions of this process from those of an earlier one at the same address.
    process_nonce: u64,
    state: Mutex<State>,
}

impl Shared {
    pub(crate) fn new(settings: Settings, peer_socket: PeerSocket) -> Self {
        let clock = Clock::start();
        let terms = LeasePolicy {
            duration: PLACER_LEASE_DURATION.max(settings.shortest_ttl),
            reacquire_delay: settings.lease,
            fenced: settings.fenced,
            extension: EXTENSION,
            min_stable: settings.calm,
        };
        let state = State::new(&settings, terms, clock.now());
        Self {
            is_accepting: AtomicBool::new(true),
            persists_token: terms.waits_after_restart(),
            store: Store::new(settings.store, settings.partitions),
            settings,
            pool: Pool::new(clock.clone()),
            clock,
            peer_socket,
            outbox: Outbox::default(),
            quarantine_updates: QuarantineUpdates::default(),
            log_limiter: LogLimiter::default(),
            placement_changed: Notify::new(),
            inboxes: Inboxes::default(),
            store_unavailable: watch::Sender::new(false),
            version_declared: Notify::new(),
            lease_released: Notify::new(),
            orders_changed: Notify::new(),
            quota_requested: Notify::new(),
            quota_decided: Notify::new(),
            stopping: watch::Sender::new(false),
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

    /// Makes a question that is asked now.
    pub(crate) fn query_id(&self, now: Moment) -> QueryId {
        QueryId {
            process: self.process_nonce,
            sent_at: now,
        }
    }

    /// Returns whether this process asked a question.
    pub(crate) fn is_own_query(&self, query_id: QueryId) -> bool {
        query_id.process == self.process_nonce && query_id.sent_at <= self.now()
    }

    /// Returns whether the process is asked to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Returns whether the process can serve.
    pub(crate) fn is_ready(&self) -> bool {
        let can_take = self.is_accepting.load(Ordering::Relaxed);
        let state = self.state();
        let knows_all = state.config.is_some() && state.has_roster && state.has_table;
        let is_fresh = self.is_younger_than(&state, CONFIRMED_SHARE);
        let has_quotas = state
            .config
            .as_ref()
            .is_some_and(|config| config.has_quotas());
        let can_count = !has_quotas || state.allocation.has_leased();
        knows_all && is_fresh && can_count && can_take && !self.is_stopping()
    }

    /// Returns whether a key may have been revoked for so long that requests with it must not run any more.
    pub(crate) fn is_stale(&self) -> bool {
        !self.is_younger_than(&self.state(), TRUSTED_SHARE)
    }

    /// Returns whether the configuration is proven to be younger than a part of the bound on revoked keys,
    /// or there is no such bound.
    fn is_younger_than(&self, state: &State, share: f64) -> bool {
        let has_keys = |config: &Arc<Config>| config.organisations().is_some();
        match self.settings.revocation {
            Some(bound) if state.config.as_ref().is_some_and(has_keys) => {
                let age = state.freshness.age(self.now());
                age.is_some_and(|age| age < bound.mul_f64(share))
            }
            Some(_) | None => true,
        }
    }

    /// Says whether clients' connections can be taken.
    pub(crate) fn set_accepting(&self, can_take: bool) {
        self.is_accepting.store(can_take, Ordering::Relaxed);
    }

    /// Returns whether this instance is among those of its failure domain that call the store for the
    /// others: it places adapters, or stands by to do so.
    pub(crate) fn polls_store(&self) -> bool {
        let now = self.now();
        let state = self.state();
        state.placer_lease.is_held(now) || state.rank(&self.settings, now) < MAX_STANDBYS
    }

    /// Returns what this instance is to the peers of its failure domain for a topic of the store. Whoever
    /// places adapters reads itself, as other failure domains hear of the topics' ends from it.
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

    /// Takes a repeat of a request out of its service's budget; `false` if there is none left.
    pub(crate) fn may_retry(&self, id: &str, service: &Arc<str>) -> bool {
        let now = self.now();
        let mut state = self.state();
        let account = state.try_retry(service, self.retry_policy(), now);
        let instances = state.instance_count.max_in_window(self.retry_policy(), now);
        drop(state);
        let is_granted = account.allows_retry();
        metrics::retry(is_granted);
        if self.log_limiter.allow(now) {
            spdlog::info!(
                "request_repeated id={} service={} granted={} earned={:.2} spent={:.2} share={:.2} instances={:?}",
                id,
                service,
                is_granted,
                account.earned,
                account.spent,
                account.share,
                instances
            );
        }
        is_granted
    }

    /// Takes in that the list of instances may have changed.
    pub(crate) fn count_instances(&self, state: &mut State) {
        if state.instance_list == InstanceListState::Listed {
            let instances = state.peers.len() + 1;
            state
                .instance_count
                .record(instances, self.retry_policy(), self.now());
        }
    }

    /// Returns the largest number of instances that were listed lately; `None` until this one was among them.
    pub(crate) fn max_instances(&self, state: &State) -> Option<usize> {
        state
            .instance_count
            .max_in_window(self.retry_policy(), self.now())
    }

    /// Returns how many instances share what is bounded over all of them, as far as that is proven:
    /// what one spent that has just left still counts.
    pub(crate) fn sharers(&self, state: &State) -> Sharers {
        let most = self.max_instances(state);
        match (state.instance_count.known_since(), most) {
            (Some(since), Some(count)) => Sharers::Known { count, since },
            (None, _) | (_, None) => Sharers::Unknown,
        }
    }

    /// Returns the bound on repeats.
    fn retry_policy(&self) -> RetryPolicy {
        RetryPolicy {
            ratio: self.settings.repeat_ratio,
            allowance: self.settings.repeat_allowance,
            window: self.settings.repeat_window,
        }
    }
}
