//! A whole fleet without a network: instances that share quotas, messages that are late or lost, and a
//! judge that sees every unit that is used.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;
use ploverwick_quota::{Allocation, Claim, Grant, Lease, Pool, Take, Ticket};
use ploverwick_routes::{Quota, Unit};
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};

/// The window over which use is judged, in ms.
pub const WINDOW: u64 = 8_000;
/// The units beyond a quota that a window may hold, as a factor and a number.
const OVERSHOOT: f64 = 1.1;
const SLACK: f64 = 110_000.0;
/// How long a request waits for an answer, in ms: a third of the shortest objective.
const PATIENCE: u64 = 100;

/// What pools.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// The first instances for all.
    Pooled,
    /// Each for itself: even parts.
    Even,
}

/// An organisation and its load.
#[derive(Debug, Clone)]
pub struct Caller {
    pub name: Arc<str>,
    pub quota: Quota,
    /// Requests a second over the whole fleet.
    pub rate: f64,
    /// The instances that its clients reach; `None` for all.
    pub reaches: Option<usize>,
}

impl Caller {
    /// Makes one with a quota of so many tokens a second that asks for a part of it.
    pub fn new(name: &str, tokens: f64, asks: f64) -> Self {
        Self {
            name: Arc::from(name),
            quota: Quota {
                rate: tokens,
                burst: tokens,
                unit: Unit::Tokens { default: 200 },
            },
            rate: tokens * asks / MEAN,
            reaches: None,
        }
    }
}

/// The tokens of a request on average: a third are plain calls, and one in 33 is long.
const MEAN: f64 = 200.0 / 3.0 + 716.0 * (2.0 / 3.0 - 0.03) + 9_000.0 * 0.03;

fn size(random: &mut impl Rng) -> u32 {
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
    Deliver { to: usize, life: u64, mail: usize },
}

#[derive(Debug, Clone)]
enum Mail {
    Lease {
        from: usize,
        life: u64,
        asked: Moment,
        lease: Lease,
    },
    Grant {
        from: usize,
        asked: Moment,
        grants: Vec<Grant>,
    },
}

struct Instance {
    allocation: Allocation,
    pool: Pool,
    began: u64,
    life: u64,
    /// Until when it is down or stands still.
    down_until: u64,
    frozen_until: u64,
    /// Whether it is cut off from all others until then.
    cut_until: u64,
    last_told: u64,
    waiting: Vec<(usize, Ticket, u32, u64, bool)>,
}

/// What the judge saw.
#[derive(Debug, Default, Clone)]
pub struct Seen {
    pub asked: u64,
    pub granted: u64,
    pub granted_tokens: f64,
    /// Refused though one bucket for the whole fleet had room.
    pub wrongly: u64,
    pub wrongly_tokens: f64,
    pub owed_tokens: f64,
    pub messages: u64,
    pub bytes: u64,
    /// The fullest window against what it may hold.
    pub fullest: f64,
}

/// What was used in the last window.
#[derive(Debug, Default, Clone)]
struct Window {
    uses: VecDeque<(u64, f64)>,
    sum: f64,
}

impl Window {
    fn add(&mut self, now: u64, cost: f64) {
        self.uses.push_back((now, cost));
        self.sum += cost;
        let from = now.saturating_sub(WINDOW);
        while let Some((_, gone)) = self.uses.pop_front_if(|(at, _)| *at <= from) {
            self.sum -= gone;
        }
    }

    fn take_back(&mut self) {
        if let Some((_, last)) = self.uses.pop_back() {
            self.sum -= last;
        }
    }
}

/// Returns what a window may hold.
fn allowed(quota: &Quota) -> f64 {
    quota.rate * WINDOW as f64 / 1_000.0 + quota.burst
}

/// One counter for the whole fleet that knows all at once.
#[derive(Debug, Default, Clone)]
struct Reference(Window);

/// A fleet.
pub struct Fleet {
    now: u64,
    way: Way,
    random: StdRng,
    instances: Vec<Instance>,
    callers: Vec<Caller>,
    references: Vec<Reference>,
    used: Vec<Window>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    mails: HashMap<usize, Mail>,
    sent: usize,
    loss: f64,
    pub seen: Seen,
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
    pub fn new(size: usize, callers: Vec<Caller>, way: Way, seed: u64) -> Self {
        let instances = (0..size).map(|index| Instance {
            allocation: Allocation::new(ip(index), Moment(0)),
            pool: Pool::new(Duration::from_millis(WINDOW)),
            began: 0,
            life: 0,
            down_until: 0,
            frozen_until: 0,
            cut_until: 0,
            last_told: 0,
            waiting: Vec::new(),
        });
        Self {
            now: 0,
            way,
            random: StdRng::seed_from_u64(seed),
            instances: instances.collect(),
            references: vec![Reference::default(); callers.len()],
            used: vec![Window::default(); callers.len()],
            callers,
            events: BinaryHeap::new(),
            mails: HashMap::new(),
            sent: 0,
            loss: 0.001,
            seen: Seen::default(),
        }
    }

    pub fn lose(&mut self, loss: f64) {
        self.loss = loss;
    }

    pub fn caller(&mut self, number: usize) -> &mut Caller {
        &mut self.callers[number]
    }

    pub fn draw(&mut self, below: usize) -> usize {
        self.random.random_range(0..below)
    }

    /// Kills an instance; it is back after so many ms and knows nothing.
    pub fn kill(&mut self, index: usize, for_ms: u64) {
        let back = self.now + for_ms;
        let instance = &mut self.instances[index];
        instance.down_until = back;
        instance.began = back;
        instance.life += 1;
        instance.allocation = Allocation::new(ip(index), Moment(0));
        instance.pool = Pool::new(Duration::from_millis(WINDOW));
        instance.waiting.clear();
    }

    pub fn freeze(&mut self, index: usize, for_ms: u64) {
        self.instances[index].frozen_until = self.now + for_ms;
    }

    pub fn cut(&mut self, index: usize, for_ms: u64) {
        self.instances[index].cut_until = self.now + for_ms;
    }

    /// Runs for so many ms, a tick of 2 ms at a time.
    pub fn run(&mut self, for_ms: u64) {
        let until = self.now + for_ms;
        while self.now < until {
            self.now += 2;
            self.deliver();
            self.arrive();
            for index in 0..self.instances.len() {
                if self.is_up(index) {
                    self.step(index);
                }
            }
        }
    }

    /// Forgets what was seen of waste so far; the windows stay.
    pub fn count_anew(&mut self) {
        self.seen = Seen {
            fullest: self.seen.fullest,
            ..Seen::default()
        };
    }

    fn is_up(&self, index: usize) -> bool {
        let instance = &self.instances[index];
        instance.down_until <= self.now && instance.frozen_until <= self.now
    }

    fn moment(&self, index: usize) -> Moment {
        Moment(self.now - self.instances[index].began)
    }

    fn arrive(&mut self) {
        for caller in 0..self.callers.len() {
            let Caller { rate, reaches, .. } = self.callers[caller];
            let mut left = rate * 0.002;
            while left > 0.0 {
                if self.random.random::<f64>() < left.min(1.0) {
                    let among = reaches.unwrap_or(self.instances.len());
                    let index = self.random.random_range(0..among);
                    self.request(caller, index);
                }
                left -= 1.0;
            }
        }
    }

    fn request(&mut self, caller: usize, index: usize) {
        let cost = size(&mut self.random);
        if !self.is_up(index) {
            return;
        }
        self.seen.asked += 1;
        let is_owed = self.is_owed(caller, cost);
        if is_owed {
            self.seen.owed_tokens += f64::from(cost);
        }
        let now = self.moment(index);
        let Caller { name, quota, .. } = self.callers[caller].clone();
        match self.instances[index]
            .allocation
            .take(&name, &quota, cost, now)
        {
            Take::Granted => self.grant(caller, cost),
            Take::Over(_) => self.refuse(cost, is_owed),
            Take::Waits(ticket) => {
                let until = self.now + PATIENCE;
                let waiting = (caller, ticket, cost, until, is_owed);
                self.instances[index].waiting.push(waiting);
            }
        }
    }

    fn is_owed(&mut self, caller: usize, cost: u32) -> bool {
        let quota = self.callers[caller].quota;
        let Reference(window) = &mut self.references[caller];
        window.add(self.now, f64::from(cost));
        let has_room = window.sum <= allowed(&quota);
        if !has_room {
            window.take_back();
        }
        has_room
    }

    fn grant(&mut self, caller: usize, cost: u32) {
        self.seen.granted += 1;
        self.seen.granted_tokens += f64::from(cost);
        let quota = self.callers[caller].quota;
        let used = &mut self.used[caller];
        used.add(self.now, f64::from(cost));
        let sum = used.sum;
        let most = allowed(&quota) * OVERSHOOT + SLACK;
        self.seen.fullest = self.seen.fullest.max(sum / most);
    }

    fn refuse(&mut self, cost: u32, is_owed: bool) {
        if is_owed {
            self.seen.wrongly += 1;
            self.seen.wrongly_tokens += f64::from(cost);
        }
    }

    /// Tells pools what is due and settles what waits.
    fn step(&mut self, index: usize) {
        let now = self.moment(index);
        let size = self.instances.len();
        let pools: Vec<IpAddr> = match self.way {
            Way::Pooled => (0..size).map(ip).collect(),
            Way::Even => vec![ip(index)],
        };
        let instance = &mut self.instances[index];
        let is_urgent = instance.allocation.has_urgent() && self.now >= instance.last_told + 10;
        if is_urgent || instance.allocation.due() <= now {
            instance.last_told = self.now;
            let life = instance.life;
            for (to, lease) in instance.allocation.tell(&pools, size, now) {
                let mail = Mail::Lease {
                    from: index,
                    life,
                    asked: now,
                    lease,
                };
                self.send(index, self::index(to), mail);
            }
        }
        self.settle(index);
    }

    fn settle(&mut self, index: usize) {
        let waiting = std::mem::take(&mut self.instances[index].waiting);
        for (caller, ticket, cost, until, is_owed) in waiting {
            let name = Arc::clone(&self.callers[caller].name);
            let allocation = &mut self.instances[index].allocation;
            match allocation.claim(&name, ticket) {
                Claim::Granted => self.grant(caller, cost),
                Claim::Over(_) => self.refuse(cost, is_owed),
                Claim::Waits if until <= self.now => {
                    allocation.leave(&name, ticket);
                    self.refuse(cost, is_owed);
                }
                Claim::Waits => {
                    let waiting = (caller, ticket, cost, until, is_owed);
                    self.instances[index].waiting.push(waiting);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, mail: Mail) {
        let is_own = from == to;
        if !is_own {
            self.seen.messages += 1;
            self.seen.bytes += match &mail {
                Mail::Lease { lease, .. } => {
                    20 + lease
                        .asks
                        .iter()
                        .map(|a| 14 + a.needs.len() as u64 * 2)
                        .sum::<u64>()
                }
                Mail::Grant { grants, .. } => 20 + grants.len() as u64 * 14,
            };
            let is_cut = [from, to]
                .iter()
                .any(|index| self.instances[*index].cut_until > self.now);
            if is_cut || self.random.random::<f64>() < self.loss {
                return;
            }
        }
        let delay = if is_own {
            0
        } else {
            self.random.random_range(1..4)
        };
        self.sent += 1;
        self.mails.insert(self.sent, mail);
        let life = self.instances[to].life;
        let event = Event::Deliver {
            to,
            life,
            mail: self.sent,
        };
        self.events
            .push(Reverse((self.now + delay, self.sent as u64, event)));
    }

    fn deliver(&mut self) {
        let mut later = Vec::new();
        while self
            .events
            .peek()
            .is_some_and(|Reverse((at, ..))| *at <= self.now)
        {
            let Some(Reverse((at, number, event))) = self.events.pop() else {
                break;
            };
            let Event::Deliver { to, life, mail } = event.clone();
            let instance = &self.instances[to];
            if instance.frozen_until > self.now && instance.life == life {
                // It waits until the instance goes on.
                later.push(Reverse((instance.frozen_until.max(at), number, event)));
                continue;
            }
            let mail = self.mails.remove(&mail).expect("it was sent");
            if instance.life == life && instance.down_until <= self.now {
                self.take(to, mail);
            }
        }
        self.events.extend(later);
    }

    fn take(&mut self, to: usize, mail: Mail) {
        let now = self.moment(to);
        match mail {
            Mail::Lease {
                from,
                life,
                asked,
                lease,
            } => {
                let pool = &mut self.instances[to].pool;
                pool.lend(ip(from), &lease, now);
                let quotas: HashMap<_, _> =
                    self.callers.iter().map(|c| (&c.name, c.quota)).collect();
                let grants = lease
                    .asks
                    .iter()
                    .map(|ask| pool.ask(ask, &quotas[&ask.organisation], now));
                let grants = grants.collect();
                if self.instances[from].life == life {
                    let mail = Mail::Grant {
                        from: to,
                        asked,
                        grants,
                    };
                    self.send(to, from, mail);
                }
            }
            Mail::Grant {
                from,
                asked,
                grants,
            } => {
                self.instances[to]
                    .allocation
                    .answered(ip(from), asked, &grants, now);
                self.settle(to);
            }
        }
    }
}
