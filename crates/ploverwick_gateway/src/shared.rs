//! The state that tasks share.
//!
//! One lock guards it. It is held for single steps and never across a wait.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use ploverwick_adapters::{Copy, Directory, Horizon, Pace, Placer, Tenure, Terms};
use ploverwick_endpoints::{Account, Budget, Census, Fleet, Rate};
use ploverwick_limits::{Past, Rates, Sharers};
use ploverwick_names::Moment;
use ploverwick_platform::settings::Settings;
use ploverwick_platform::store::Store;
use ploverwick_routes::Config;
use ploverwick_table::Table;
use ploverwick_topics::{Circle, Place};
use tokio::sync::{Notify, watch};

use crate::clock::Clock;
use crate::journal::Lines;
use crate::mail::Mail;
use crate::metrics;
use crate::outbox::Outbox;
use crate::pool::Pool;
use crate::topics::{Inboxes, Stands, Topic};

/// How long a grant of the right to place adapters lasts. A shorter one is taken over sooner, a
/// longer one survives more lost calls, and a restart of the whole system, after which its holder goes
/// on under the same token.
pub(crate) const TENURE: Duration = Duration::from_millis(2_800);
/// How long a placer goes on while the store is silent; outages on record last up to 9 s, and a
/// holder that goes on for too long only meets refusals.
const EXTENSION: Duration = Duration::from_secs(8);
/// The instances of a failure domain that stand by for the right beside its holder. One takes over
/// while another one dies or cannot reach the store; each call is priced.
pub(crate) const STANDBYS: usize = 2;
/// A placer that is silent for longer is asked for nothing that another failure domain can load: it
/// speaks every 600 ms to other domains, so that two messages are missing.
const PLACER_AGE: Duration = Duration::from_millis(1_300);
/// A peer that is silent for longer is not asked for anything.
pub(crate) const PEER_AGE: Duration = Duration::from_millis(2_500);

/// Another instance.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    pub(crate) ip: IpAddr,
    pub(crate) domain: Arc<str>,
    /// The part of a processor that it has, in thousandths of a core.
    pub(crate) capacity: u32,
    /// When it last sent a message.
    pub(crate) heard: Option<Moment>,
    /// Its fencing token, if it places the adapters of its failure domain.
    pub(crate) places: Option<u64>,
    /// The adapters that wait for a place there, if it places them.
    pub(crate) waiting: u32,
    /// How far it has read each topic of the store.
    pub(crate) stands: Stands,
}

impl Peer {
    /// Returns its place among the instances of its failure domain.
    pub(crate) fn place<'a>(&self, name: &'a str) -> Place<'a> {
        Place {
            capacity: self.capacity,
            name,
        }
    }
}

/// Returns this instance's place among those of its failure domain.
pub(crate) fn place(settings: &Settings) -> Place<'_> {
    Place {
        capacity: settings.capacity,
        name: &settings.instance,
    }
}

/// What one life of an instance read of the list of instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Listing {
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
    pub(crate) roster_told: Option<Moment>,
    /// Whether the table's topic was read in this life, so that a missing table is known to be none.
    pub(crate) has_table: bool,
    /// The operators' table; `None` until one is published.
    pub(crate) table: Option<Arc<Table>>,
    pub(crate) rates: Rates,
    pub(crate) fleet: Fleet,
    pub(crate) directory: Directory,
    /// What is proved of the age of what the operator wrote.
    pub(crate) horizon: Horizon,
    /// How far this instance has read each topic of the store.
    pub(crate) stands: Stands,
    pub(crate) placer: Placer,
    pub(crate) tenure: Tenure,
    /// The base models that were loaded lately in this failure domain.
    pub(crate) base_loads: Pace,
    pub(crate) budgets: HashMap<Arc<str>, Budget>,
    /// The instances that share what is bounded over all of them.
    pub(crate) census: Census,
    pub(crate) peers: HashMap<Arc<str>, Peer>,
    /// The instances of this failure domain that left, and when: they may start again while the store is
    /// away, and then know nobody.
    pub(crate) former: Vec<(IpAddr, Moment)>,
    /// What this life of the instance read of the list of instances.
    pub(crate) listing: Listing,
    /// Whether an earlier life of this instance was the last to place adapters here.
    pub(crate) placed_before: bool,
    /// This instance's requests under way, by endpoint and adapter; 0 for one that ended since the
    /// placers were told.
    pub(crate) uses: HashMap<(Arc<str>, Copy), u32>,
}

/// What all tasks share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) store: Store,
    pub(crate) pool: Pool,
    pub(crate) mail: Mail,
    pub(crate) outbox: Outbox,
    pub(crate) lines: Lines,
    /// Whether clients' connections can be taken.
    takes_connections: AtomicBool,
    /// Whether the token of the right to place adapters must outlast this process.
    pub(crate) keeps_token: bool,
    /// Wakes requests that wait for an adapter.
    pub(crate) placed: Notify,
    /// What peers told of the topics of the store.
    pub(crate) inboxes: Inboxes,
    /// Whether the last call that followed a topic failed.
    pub(crate) store_away: watch::Sender<bool>,
    /// Wakes requests under way when a version is declared.
    pub(crate) declared: Notify,
    /// Says that the placer of this failure domain gave up its right.
    pub(crate) vacant: Notify,
    /// Wakes the tasks that give orders.
    pub(crate) orders: Notify,
    /// Says that the process is asked to stop.
    pub(crate) stopping: watch::Sender<bool>,
    state: Mutex<State>,
}

impl Shared {
    pub(crate) fn new(settings: Settings, mail: Mail) -> Self {
        let clock = Clock::start();
        let terms = Terms {
            lease: TENURE.max(settings.shortest_ttl),
            turn: settings.lease,
            fenced: settings.fenced,
            extension: EXTENSION,
            calm: settings.calm,
        };
        let state = State {
            config: None,
            has_roster: false,
            roster_told: None,
            has_table: false,
            table: None,
            rates: Rates::new(if settings.first_start {
                Past::None
            } else {
                Past::Unproven
            }),
            fleet: Fleet::default(),
            directory: Directory::default(),
            horizon: Horizon::default(),
            stands: Stands::default(),
            placer: Placer::default(),
            tenure: Tenure::new(terms, !settings.first_start, clock.now()),
            base_loads: if settings.first_start {
                Pace::default()
            } else {
                Pace::after_others(clock.now())
            },
            budgets: HashMap::new(),
            census: Census::default(),
            peers: HashMap::new(),
            former: Vec::new(),
            listing: Listing::Unread,
            placed_before: false,
            uses: HashMap::new(),
        };
        Self {
            takes_connections: AtomicBool::new(true),
            keeps_token: terms.waits_after_restart(),
            store: Store::new(settings.store, settings.partitions),
            settings,
            clock,
            pool: Pool::default(),
            mail,
            outbox: Outbox::default(),
            lines: Lines::default(),
            placed: Notify::new(),
            inboxes: Inboxes::default(),
            store_away: watch::Sender::new(false),
            declared: Notify::new(),
            vacant: Notify::new(),
            orders: Notify::new(),
            stopping: watch::Sender::new(false),
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

    /// Returns whether the process is asked to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Returns whether the process can serve.
    pub(crate) fn is_ready(&self) -> bool {
        let can_take = self.takes_connections.load(Ordering::Relaxed);
        let state = self.state();
        let knows_all = state.config.is_some() && state.has_roster && state.has_table;
        knows_all && can_take && !self.is_stopping()
    }

    /// Says whether clients' connections can be taken.
    pub(crate) fn takes_connections(&self, can_take: bool) {
        self.takes_connections.store(can_take, Ordering::Relaxed);
    }

    /// Returns whether this instance is among those of its failure domain that call the store for the
    /// others: it places adapters, or stands by to do so.
    pub(crate) fn is_caller(&self) -> bool {
        let now = self.now();
        let state = self.state();
        state.tenure.is_held(now) || state.rank(&self.settings, now) < STANDBYS
    }

    /// Returns what this instance is to the peers of its failure domain for a topic of the store. Whoever
    /// places adapters reads itself, as other failure domains hear of the topics' ends from it.
    pub(crate) fn circle(&self, topic: Topic) -> Circle {
        let now = self.now();
        let state = self.state();
        if state.tenure.is_held(now) {
            return Circle::Reads;
        }
        let peers = state.peers.iter().filter(|(_, peer)| {
            let is_heard = peer.heard.is_some_and(|at| now.since(at) <= PEER_AGE);
            is_heard && peer.domain == self.settings.domain
        });
        let peers = peers.map(|(name, peer)| ploverwick_topics::Peer {
            place: peer.place(name),
            reading: peer.stands.of(topic).reading,
        });
        ploverwick_topics::circle(place(&self.settings), peers)
    }

    /// Takes a repeat of a request out of its service's budget; `false` if there is none left.
    pub(crate) fn may_repeat(&self, id: &str, service: &Arc<str>) -> bool {
        let now = self.now();
        let mut state = self.state();
        let account = state.repeat(service, self.repeat_rate(), now);
        let instances = state.census.most(self.repeat_rate(), now);
        drop(state);
        let is_granted = account.has_room();
        metrics::repeat(is_granted);
        if self.lines.allow(now) {
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
        if state.listing == Listing::Listed {
            let instances = state.peers.len() + 1;
            state
                .census
                .heard(instances, self.repeat_rate(), self.now());
        }
    }

    /// Returns how many instances share what is bounded over all of them, as far as that is proven:
    /// what one spent that has just left still counts.
    pub(crate) fn sharers(&self, state: &State) -> Sharers {
        let most = state.census.most(self.repeat_rate(), self.now());
        match (state.census.since(), most) {
            (Some(since), Some(count)) => Sharers::Known { count, since },
            (None, _) | (_, None) => Sharers::Unknown,
        }
    }

    /// Returns the bound on repeats.
    fn repeat_rate(&self) -> Rate {
        Rate {
            ratio: self.settings.repeat_ratio,
            allowance: self.settings.repeat_allowance,
            window: self.settings.repeat_window,
        }
    }
}

impl State {
    /// Returns who places the adapters of a failure domain, unless it is this instance.
    pub(crate) fn placer_of(&self, domain: &str, now: Moment) -> Option<IpAddr> {
        let peers = self.peers.values().filter(|peer| {
            let heard = peer.heard.is_some_and(|at| now.since(at) <= PEER_AGE);
            heard && &*peer.domain == domain
        });
        let placers = peers.filter_map(|peer| Some((peer.places?, peer.ip)));
        placers.max().map(|(_, ip)| ip)
    }

    /// Takes an instance off the list of those that run.
    pub(crate) fn remove_peer(&mut self, name: &str, settings: &Settings, now: Moment) {
        let left = self.peers.remove(name);
        if let Some(peer) = left.filter(|peer| peer.domain == settings.domain) {
            self.former.push((peer.ip, now));
        }
    }

    /// Returns how many adapters wait for a place in a failure domain; `None` if nobody places adapters
    /// there.
    pub(crate) fn waiting_in(&self, domain: &str, settings: &Settings, now: Moment) -> Option<u32> {
        if *domain == *settings.domain && self.tenure.is_held(now) {
            return Some(u32::try_from(self.placer.waiting()).unwrap_or(u32::MAX));
        }
        let ip = self.placer_of(domain, now)?;
        let placer = self.peers.values().find(|peer| peer.ip == ip)?;
        let is_heard = placer.heard.is_some_and(|at| now.since(at) <= PLACER_AGE);
        is_heard.then_some(placer.waiting)
    }

    /// Returns how many instances of this failure domain that are heard come before this one. Those
    /// that come first call the store for the others.
    pub(crate) fn rank(&self, settings: &Settings, now: Moment) -> usize {
        let before = self.peers.iter().filter(|(name, peer)| {
            let is_heard = peer.heard.is_some_and(|at| now.since(at) <= PEER_AGE);
            let is_near = is_heard && peer.domain == settings.domain;
            is_near && peer.place(name).precedes(place(settings))
        });
        before.count()
    }

    /// Returns how many instances of this failure domain that are listed come before this one, heard
    /// or not; `None` before the list was read.
    pub(crate) fn listed_rank(&self, settings: &Settings) -> Option<usize> {
        let peers = self.peers.iter();
        let before = peers
            .filter(|(_, peer)| peer.domain == settings.domain)
            .filter(|(name, peer)| peer.place(name).precedes(place(settings)));
        (self.listing != Listing::Unread).then(|| before.count())
    }

    /// Counts a request that uses an adapter at an endpoint, or one that ended.
    pub(crate) fn count_use(&mut self, endpoint: &Arc<str>, copy: &Copy, begins: bool) {
        let key = (Arc::clone(endpoint), copy.clone());
        let in_use = self.uses.entry(key).or_default();
        *in_use = if begins {
            *in_use + 1
        } else {
            in_use.saturating_sub(1)
        };
    }

    /// Takes a repeat of a request to a service out of the budget, and returns what that rests on.
    fn repeat(&mut self, service: &Arc<str>, rate: Rate, now: Moment) -> Account {
        let budget = self.budgets.entry(Arc::clone(service)).or_default();
        budget.repeat(rate, &self.census, now)
    }
}
