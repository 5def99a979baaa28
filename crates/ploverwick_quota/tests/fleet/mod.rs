//! Simulation of a fleet: instances that share quotas, messages that are delayed or lost, and a checker that records
//! every unit used.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;
use ploverwick_quota::{Admission, Allocation, Decision, Grant, Lease, Pool, Ticket};
use ploverwick_routes::{Quota, Unit};
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};

/// The window over which usage is checked.
pub const WINDOW_MS: u64 = 8_000;
/// The allowed excess over the quota in a window, as a factor and as additional units.
const OVERSHOOT: f64 = 1.1;
const SLACK: f64 = 110_000.0;
/// How long a request waits for an answer: a third of the shortest latency objective.
const REQUEST_TIMEOUT_MS: u64 = 100;

/// How the quotas are shared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sharing {
    /// The first available instance pools the shares of all.
    Pooled,
    /// Each instance uses an equal share by itself.
    Even,
}

/// An organisation and its load.
#[derive(Debug, Clone)]
pub struct Organisation {
    pub name: Arc<str>,
    pub quota: Quota,
    /// Requests per second over the whole fleet.
    pub rate: f64,
    /// The number of instances that its clients reach; `None` for all.
    pub reachable_instances: Option<usize>,
}

impl Organisation {
    /// Creates an organisation with a quota of `tokens` per second that uses the fraction `utilisation` of it.
    pub fn new(name: &str, tokens: f64, utilisation: f64) -> Self {
        Self {
            name: Arc::from(name),
            quota: Quota {
                rate: tokens,
                burst: tokens,
                unit: Unit::Tokens { plain: 200 },
            },
            rate: tokens * utilisation / MEAN_COST,
            reachable_instances: None,
        }
    }
}

/// The average tokens of a request: a third are plain calls, and one in 33 is long.
const MEAN_COST: f64 = 200.0 / 3.0 + 716.0 * (2.0 / 3.0 - 0.03) + 9_000.0 * 0.03;

fn request_cost(random: &mut impl Rng) -> u32 {
    let kind: f64 = random.random();
    let spread: f64 = random.random_range(0.5..1.5);
    if kind < 1.0 / 3.0 {
        200
    } else if kind < 0.97 {
        (716.0 * spread) as u32
    } else {
        (9_000.0 * spread) as u32
    }
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Deliver {
        to: usize,
        incarnation: u64,
        message: usize,
    },
}

#[derive(Debug, Clone)]
enum Message {
    Lease {
        from: usize,
        incarnation: u64,
        sent_at: Moment,
        lease: Lease,
    },
    Grant {
        from: usize,
        sent_at: Moment,
        grants: Vec<Grant>,
    },
}

struct Instance {
    allocation: Allocation,
    pool: Pool,
    started_at: u64,
    incarnation: u64,
    /// When it is running again after it was killed.
    down_until: u64,
    /// When it continues after it was frozen.
    frozen_until: u64,
    /// When its messages are delivered again after it was isolated.
    isolated_until: u64,
    last_sent_at: u64,
    pending: Vec<(usize, Ticket, u32, u64, bool)>,
}

/// The statistics that the checker records.
#[derive(Debug, Default, Clone)]
pub struct Stats {
    pub requests: u64,
    pub granted: u64,
    pub granted_tokens: f64,
    /// Requests that were refused although a single counter for the whole fleet had room.
    pub wrong_refusals: u64,
    pub wrongly_refused_tokens: f64,
    pub within_quota_tokens: f64,
    pub messages: u64,
    pub bytes: u64,
    /// The usage in the fullest window, as a fraction of the maximum.
    pub max_window_fill: f64,
}

/// The units used in the last window.
#[derive(Debug, Default, Clone)]
struct Window {
    entries: VecDeque<(u64, f64)>,
    sum: f64,
}

impl Window {
    fn add(&mut self, now: u64, cost: f64) {
        self.entries.push_back((now, cost));
        self.sum += cost;
        let from = now.saturating_sub(WINDOW_MS);
        while let Some((_, expired_cost)) = self.entries.pop_front_if(|(at, _)| *at <= from) {
            self.sum -= expired_cost;
        }
    }

    fn undo_last(&mut self) {
        if let Some((_, last)) = self.entries.pop_back() {
            self.sum -= last;
        }
    }
}

/// Returns the quota for one window.
fn window_limit(quota: &Quota) -> f64 {
    quota.rate * WINDOW_MS as f64 / 1_000.0 + quota.burst
}

/// A single counter for the whole fleet without any delay, for comparison.
#[derive(Debug, Default, Clone)]
struct Reference(Window);

/// The simulated fleet.
pub struct Fleet {
    now: u64,
    sharing: Sharing,
    random: StdRng,
    instances: Vec<Instance>,
    organisations: Vec<Organisation>,
    references: Vec<Reference>,
    usage: Vec<Window>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    in_flight: HashMap<usize, Message>,
    message_count: usize,
    loss_rate: f64,
    pub stats: Stats,
}

pub fn ip(index: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from(
        0x0a00_0001 + u32::try_from(index).expect("few"),
    ))
}

fn index(ip: IpAddr) -> usize {
    match ip {
        IpAddr::V4(ip) => usize::try_from(u32::from(ip) - 0x0a00_0001).expect("few"),
        IpAddr::V6(_) => unreachable!("all are of version 4"),
    }
}

impl Fleet {
    pub fn new(size: usize, organisations: Vec<Organisation>, sharing: Sharing, seed: u64) -> Self {
        let instances = (0..size).map(|index| Instance {
            allocation: Allocation::new(ip(index), Moment(0)),
            pool: Pool::new(Duration::from_millis(WINDOW_MS)),
            started_at: 0,
            incarnation: 0,
            down_until: 0,
            frozen_until: 0,
            isolated_until: 0,
            last_sent_at: 0,
            pending: Vec::new(),
        });
        Self {
            now: 0,
            sharing,
            random: StdRng::seed_from_u64(seed),
            instances: instances.collect(),
            references: vec![Reference::default(); organisations.len()],
            usage: vec![Window::default(); organisations.len()],
            organisations,
            events: BinaryHeap::new(),
            in_flight: HashMap::new(),
            message_count: 0,
            loss_rate: 0.001,
            stats: Stats::default(),
        }
    }

    pub fn set_loss_rate(&mut self, loss_rate: f64) {
        self.loss_rate = loss_rate;
    }

    pub fn organisation(&mut self, number: usize) -> &mut Organisation {
        &mut self.organisations[number]
    }

    pub fn random_index(&mut self, below: usize) -> usize {
        self.random.random_range(0..below)
    }

    /// Kills an instance, which restarts without its state after `for_ms`.
    pub fn kill(&mut self, index: usize, for_ms: u64) {
        let back = self.now + for_ms;
        let instance = &mut self.instances[index];
        instance.down_until = back;
        instance.started_at = back;
        instance.incarnation += 1;
        instance.allocation = Allocation::new(ip(index), Moment(0));
        instance.pool = Pool::new(Duration::from_millis(WINDOW_MS));
        instance.pending.clear();
    }

    pub fn freeze(&mut self, index: usize, for_ms: u64) {
        self.instances[index].frozen_until = self.now + for_ms;
    }

    pub fn isolate(&mut self, index: usize, for_ms: u64) {
        self.instances[index].isolated_until = self.now + for_ms;
    }

    /// Runs the simulation for `for_ms` in steps of 2 ms.
    pub fn run(&mut self, for_ms: u64) {
        let until = self.now + for_ms;
        while self.now < until {
            self.now += 2;
            self.deliver();
            self.generate_requests();
            for index in 0..self.instances.len() {
                if self.is_up(index) {
                    self.step(index);
                }
            }
        }
    }

    /// Resets the statistics except for the fullest window.
    pub fn reset_stats(&mut self) {
        self.stats = Stats {
            max_window_fill: self.stats.max_window_fill,
            ..Stats::default()
        };
    }

    fn is_up(&self, index: usize) -> bool {
        let instance = &self.instances[index];
        instance.down_until <= self.now && instance.frozen_until <= self.now
    }

    fn local_time(&self, index: usize) -> Moment {
        Moment(self.now - self.instances[index].started_at)
    }

    fn generate_requests(&mut self) {
        for organisation in 0..self.organisations.len() {
            let Organisation {
                rate,
                reachable_instances,
                ..
            } = self.organisations[organisation];
            let mut left = rate * 0.002;
            while left > 0.0 {
                if self.random.random::<f64>() < left.min(1.0) {
                    let among = reachable_instances.unwrap_or(self.instances.len());
                    let index = self.random.random_range(0..among);
                    self.request(organisation, index);
                }
                left -= 1.0;
            }
        }
    }

    fn request(&mut self, organisation: usize, index: usize) {
        let cost = request_cost(&mut self.random);
        if !self.is_up(index) {
            return;
        }
        self.stats.requests += 1;
        let is_within_quota = self.is_within_quota(organisation, cost);
        if is_within_quota {
            self.stats.within_quota_tokens += f64::from(cost);
        }
        let now = self.local_time(index);
        let Organisation { name, quota, .. } = self.organisations[organisation].clone();
        match self.instances[index]
            .allocation
            .acquire(&name, &quota, cost, now)
        {
            Admission::Granted => self.grant(organisation, cost),
            Admission::OverQuota(_) => self.refuse(cost, is_within_quota),
            Admission::Pending(ticket) => {
                let until = self.now + REQUEST_TIMEOUT_MS;
                let pending = (organisation, ticket, cost, until, is_within_quota);
                self.instances[index].pending.push(pending);
            }
        }
    }

    fn is_within_quota(&mut self, organisation: usize, cost: u32) -> bool {
        let quota = self.organisations[organisation].quota;
        let Reference(window) = &mut self.references[organisation];
        window.add(self.now, f64::from(cost));
        let has_room = window.sum <= window_limit(&quota);
        if !has_room {
            window.undo_last();
        }
        has_room
    }

    fn grant(&mut self, organisation: usize, cost: u32) {
        self.stats.granted += 1;
        self.stats.granted_tokens += f64::from(cost);
        let quota = self.organisations[organisation].quota;
        let usage = &mut self.usage[organisation];
        usage.add(self.now, f64::from(cost));
        let sum = usage.sum;
        let max_units = window_limit(&quota) * OVERSHOOT + SLACK;
        self.stats.max_window_fill = self.stats.max_window_fill.max(sum / max_units);
    }

    fn refuse(&mut self, cost: u32, is_within_quota: bool) {
        if is_within_quota {
            self.stats.wrong_refusals += 1;
            self.stats.wrongly_refused_tokens += f64::from(cost);
        }
    }

    /// Sends the messages that are due and polls the pending requests.
    fn step(&mut self, index: usize) {
        let now = self.local_time(index);
        let size = self.instances.len();
        let pools: Vec<IpAddr> = match self.sharing {
            Sharing::Pooled => (0..size).map(ip).collect(),
            Sharing::Even => vec![ip(index)],
        };
        let instance = &mut self.instances[index];
        let is_urgent = instance.allocation.has_urgent() && self.now >= instance.last_sent_at + 10;
        if is_urgent || instance.allocation.due() <= now {
            instance.last_sent_at = self.now;
            let incarnation = instance.incarnation;
            for (to, lease) in instance.allocation.prepare_leases(&pools, size, now) {
                let message = Message::Lease {
                    from: index,
                    incarnation,
                    sent_at: now,
                    lease,
                };
                self.send(index, self::index(to), message);
            }
        }
        self.poll_pending(index);
    }

    fn poll_pending(&mut self, index: usize) {
        let pending = std::mem::take(&mut self.instances[index].pending);
        for (organisation, ticket, cost, until, is_within_quota) in pending {
            let name = Arc::clone(&self.organisations[organisation].name);
            let allocation = &mut self.instances[index].allocation;
            match allocation.poll(&name, ticket) {
                Decision::Granted => self.grant(organisation, cost),
                Decision::OverQuota(_) => self.refuse(cost, is_within_quota),
                Decision::Pending if until <= self.now => {
                    allocation.cancel(&name, ticket);
                    self.refuse(cost, is_within_quota);
                }
                Decision::Pending => {
                    let pending = (organisation, ticket, cost, until, is_within_quota);
                    self.instances[index].pending.push(pending);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_local = from == to;
        if !is_local {
            self.stats.messages += 1;
            self.stats.bytes += match &message {
                Message::Lease { lease, .. } => {
                    20 + lease
                        .grant_requests
                        .iter()
                        .map(|a| 14 + a.costs.len() as u64 * 2)
                        .sum::<u64>()
                }
                Message::Grant { grants, .. } => 20 + grants.len() as u64 * 14,
            };
            let is_isolated = [from, to]
                .iter()
                .any(|index| self.instances[*index].isolated_until > self.now);
            if is_isolated || self.random.random::<f64>() < self.loss_rate {
                return;
            }
        }
        let delay = if is_local {
            0
        } else {
            self.random.random_range(1..4)
        };
        self.message_count += 1;
        self.in_flight.insert(self.message_count, message);
        let incarnation = self.instances[to].incarnation;
        let event = Event::Deliver {
            to,
            incarnation,
            message: self.message_count,
        };
        self.events.push(Reverse((
            self.now + delay,
            self.message_count as u64,
            event,
        )));
    }

    fn deliver(&mut self) {
        let mut deferred = Vec::new();
        while self
            .events
            .peek()
            .is_some_and(|Reverse((at, ..))| *at <= self.now)
        {
            let Some(Reverse((at, number, event))) = self.events.pop() else {
                break;
            };
            let Event::Deliver {
                to,
                incarnation,
                message,
            } = event.clone();
            let instance = &self.instances[to];
            if instance.frozen_until > self.now && instance.incarnation == incarnation {
                // The message stays queued until the instance continues.
                deferred.push(Reverse((instance.frozen_until.max(at), number, event)));
                continue;
            }
            let message = self.in_flight.remove(&message).expect("it was sent");
            if instance.incarnation == incarnation && instance.down_until <= self.now {
                self.handle(to, message);
            }
        }
        self.events.extend(deferred);
    }

    fn handle(&mut self, to: usize, message: Message) {
        let now = self.local_time(to);
        match message {
            Message::Lease {
                from,
                incarnation,
                sent_at,
                lease,
            } => {
                let pool = &mut self.instances[to].pool;
                pool.apply_lease(ip(from), &lease, now);
                let quotas: HashMap<_, _> = self
                    .organisations
                    .iter()
                    .map(|c| (&c.name, c.quota))
                    .collect();
                let grants = lease
                    .grant_requests
                    .iter()
                    .map(|ask| pool.grant(ask, &quotas[&ask.organisation], now));
                let grants = grants.collect();
                if self.instances[from].incarnation == incarnation {
                    let message = Message::Grant {
                        from: to,
                        sent_at,
                        grants,
                    };
                    self.send(to, from, message);
                }
            }
            Message::Grant {
                from,
                sent_at,
                grants,
            } => {
                self.instances[to]
                    .allocation
                    .handle_grants(ip(from), sent_at, &grants, now);
                self.poll_pending(to);
            }
        }
    }
}
