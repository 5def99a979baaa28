//! A fleet without a network: instances before endpoints that name limits, messages that are late or lost,
//! instances that are killed, and a judge that sees each request arrive.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use ploverwick_endpoints::{Limit, LimitUpdate, Limits, Share};
use ploverwick_names::Moment;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The window over which requests are counted, in ms.
const WINDOW: u64 = 4_000;
/// How many times its limit an endpoint may get in a window, and how many requests more.
const MOST: (f64, f64) = (1.5, 5.0);
/// From when on the judge counts after the first answer with a limit, in ms.
const SETTLED: u64 = 1_500;
/// How long after its start an instance is not to blame: it knows nothing yet. In ms.
const STARTING: u64 = 500;
/// How often the parts are given anew, in ms.
const ROUND: u64 = 150;
/// How often what answers said is told again, in ms.
const AGAIN: u64 = 2_100;
/// How long a silent instance is still believed to run, in ms.
const BELIEVED: u64 = 2_500;
/// The part of the messages that is lost.
const LOST: f64 = 0.05;
/// The pace of requests at each endpoint, a second.
const PACE: f64 = 12.0;

/// How instances keep to a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Not at all.
    Ignored,
    /// Each has an even part.
    Even,
    /// A few have even parts, and the others send nothing.
    Few,
}

/// A series of events.
#[derive(Debug, Clone)]
pub struct Series {
    pub instances: usize,
    pub domains: usize,
    pub endpoints: usize,
    /// The part of the endpoints that name limits.
    pub limited: f64,
    /// The limits are drawn from these, in requests a second.
    pub limits: (f64, f64),
    /// How many instances are killed and started again, at any moment.
    pub kills: usize,
    /// How long it lasts, in ms; limits are named from a third of it to two thirds.
    pub length: u64,
}

/// What the judge saw.
#[derive(Debug, Default, Clone)]
pub struct Seen {
    /// The fullest window of any endpoint against what it may hold.
    pub fullest: f64,
    /// What limited endpoints got of what their limits allow.
    pub used: f64,
    /// The part of the requests that was refused while limits were in force.
    pub refused: f64,
    /// Messages that each instance got a second while limits were in force.
    pub messages: f64,
    /// What endpoints got after they lifted their limits, against the others; from five seconds on.
    pub regained: f64,
}

struct Instance {
    limits: Limits,
    domain: usize,
    down_until: u64,
    began: u64,
}

struct Endpoint {
    name: Arc<str>,
    limit: Option<Limit>,
    rate: f64,
    /// When an answer first named a limit.
    named: Option<u64>,
    window: VecDeque<u64>,
    limited_arrivals: u64,
    later_arrivals: u64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    RequestArrived {
        endpoint: usize,
        from: usize,
        sent: u64,
        life: u64,
    },
    AnswerReceived {
        endpoint: usize,
        to: usize,
        sent: u64,
        life: u64,
        limit: Option<u64>,
    },
    UpdateReceived {
        to: usize,
        news: usize,
    },
}

pub struct Fleet {
    way: Way,
    series: Series,
    random: StdRng,
    now: u64,
    instances: Vec<Instance>,
    names: Vec<String>,
    endpoints: Vec<Endpoint>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    news: Vec<LimitUpdate>,
    seen: Seen,
    asked: u64,
    refused: u64,
    messages: u64,
}

impl Fleet {
    pub fn new(way: Way, series: Series, seed: u64) -> Self {
        let instances = (0..series.instances).map(|number| Instance {
            limits: Limits::default(),
            domain: number % series.domains,
            down_until: 0,
            began: 0,
        });
        let endpoints = (0..series.endpoints).map(|number| Endpoint {
            name: Arc::from(format!("i-{number}")),
            limit: None,
            rate: 0.0,
            named: None,
            window: VecDeque::new(),
            limited_arrivals: 0,
            later_arrivals: 0,
        });
        Self {
            way,
            instances: instances.collect(),
            names: (0..series.instances)
                .map(|n| format!("instance-{n}"))
                .collect(),
            endpoints: endpoints.collect(),
            random: StdRng::seed_from_u64(seed),
            now: 0,
            events: BinaryHeap::new(),
            number: 0,
            news: Vec::new(),
            seen: Seen::default(),
            asked: 0,
            refused: 0,
            messages: 0,
            series,
        }
    }

    /// Plays the series.
    pub fn run(mut self) -> Seen {
        let length = self.series.length;
        let (named, lifted) = (length / 3, length * 2 / 3);
        let mut kills: Vec<u64> = (0..self.series.kills)
            .map(|_| self.random.random_range(0..length))
            .collect();
        kills.sort_unstable();
        let pace = PACE * self.series.endpoints as f64 / 1_000.0;
        let mut due = 0.0;
        while self.now < length {
            if self.now == named {
                self.name_limits();
            }
            if self.now == lifted {
                for endpoint in &mut self.endpoints {
                    endpoint.limit = None;
                }
            }
            while kills.first().is_some_and(|at| *at <= self.now) {
                kills.remove(0);
                self.kill();
            }
            self.deliver();
            due += pace * self.random.random_range(0.0..2.0);
            while due >= 1.0 {
                due -= 1.0;
                self.ask();
            }
            if self.now.is_multiple_of(ROUND) {
                self.assign_all();
            }
            if self.now.is_multiple_of(AGAIN) {
                self.tell_again();
            }
            self.now += 1;
        }
        self.judge(lifted - named)
    }

    fn moment(&self) -> Moment {
        Moment(self.now)
    }

    fn is_limited_time(&self) -> bool {
        let third = self.series.length / 3;
        (third..third * 2).contains(&self.now)
    }

    fn name_limits(&mut self) {
        let (least, most) = self.series.limits;
        for number in 0..self.endpoints.len() {
            if self.random.random::<f64>() < self.series.limited {
                let rate = self.random.random_range(least..=most);
                self.endpoints[number].rate = rate;
                self.endpoints[number].limit = Some(Limit::per_second(rate));
            }
        }
    }

    fn kill(&mut self) {
        let number = self.random.random_range(0..self.instances.len());
        let down = self.random.random_range(200..4_000);
        let instance = &mut self.instances[number];
        instance.limits = Limits::default();
        instance.down_until = self.now + down;
        instance.began = self.now + down;
    }

    fn push(&mut self, after: u64, event: Event) {
        self.number += 1;
        self.events
            .push(Reverse((self.now + after, self.number, event)));
    }

    fn deliver(&mut self) {
        while let Some(Reverse((at, _, _))) = self.events.peek()
            && *at <= self.now
        {
            let Some(Reverse((_, _, event))) = self.events.pop() else {
                return;
            };
            match event {
                Event::RequestArrived {
                    endpoint,
                    from,
                    sent,
                    life,
                } => {
                    self.arrives(endpoint, from, sent, life);
                }
                Event::AnswerReceived {
                    endpoint,
                    to,
                    sent,
                    life,
                    limit,
                } => {
                    if self.instances[to].began == life && self.instances[to].down_until <= self.now
                    {
                        self.answered(endpoint, to, sent, limit);
                    }
                }
                Event::UpdateReceived { to, news } => self.told(to, news),
            }
        }
    }

    fn arrives(&mut self, number: usize, from: usize, sent: u64, life: u64) {
        let now = self.now;
        let from_third = self.series.length / 3;
        let is_starting = life > 0 && sent < life + STARTING;
        let endpoint = &mut self.endpoints[number];
        if endpoint.limit.is_some() {
            if !is_starting && endpoint.named.is_some_and(|named| now >= named + SETTLED) {
                endpoint.window.push_back(now);
                while endpoint.window.front().is_some_and(|at| *at + WINDOW < now) {
                    endpoint.window.pop_front();
                }
                let most = MOST.0 * endpoint.rate * WINDOW as f64 / 1_000.0 + MOST.1;
                let fill = endpoint.window.len() as f64 / most.floor();
                self.seen.fullest = self.seen.fullest.max(fill);
                endpoint.limited_arrivals += 1;
            }
            endpoint.named.get_or_insert(now);
        } else if now >= from_third * 2 + 5_000 {
            endpoint.later_arrivals += 1;
        }
        // The limit as the answer carries it, in thousandths, so that events can be ordered.
        let limit = endpoint.limit.map(|_| (endpoint.rate * 1_000.0) as u64);
        let after = self.random.random_range(50..400);
        self.push(
            after,
            Event::AnswerReceived {
                endpoint: number,
                to: from,
                sent,
                life,
                limit,
            },
        );
    }

    fn answered(&mut self, number: usize, to: usize, sent: u64, limit: Option<u64>) {
        if self.way == Way::Ignored {
            return;
        }
        let now = self.moment();
        let name = Arc::clone(&self.endpoints[number].name);
        let limit = limit.map(|limit| Limit::per_second(limit as f64 / 1_000.0));
        let limits = &mut self.instances[to].limits;
        let change = limits.record_answer(&name, limit, Moment(sent), now);
        if change == ploverwick_endpoints::Change::Unchanged {
            return;
        }
        let told = limits.update(&name, now);
        self.assign(to, &name);
        if let Some(told) = told {
            self.tell(to, told);
        }
    }

    fn tell(&mut self, from: usize, told: LimitUpdate) {
        self.news.push(told);
        let news = self.news.len() - 1;
        for to in 0..self.instances.len() {
            if to != from && self.random.random::<f64>() >= LOST {
                let after = self.random.random_range(1..30);
                self.push(after, Event::UpdateReceived { to, news });
            }
        }
    }

    fn told(&mut self, to: usize, news: usize) {
        if self.instances[to].down_until > self.now {
            return;
        }
        if self.is_limited_time() {
            self.messages += 1;
        }
        let told = self.news[news].clone();
        let now = self.moment();
        let change = self.instances[to].limits.apply_update(&told, now);
        if change != ploverwick_endpoints::Change::Unchanged {
            self.assign(to, &told.endpoint);
        }
    }

    fn tell_again(&mut self) {
        let now = self.moment();
        for from in 0..self.instances.len() {
            let span = Duration::from_millis(AGAIN);
            for told in self.instances[from].limits.recent_updates(span, now) {
                self.tell(from, told);
            }
        }
    }

    fn assign_all(&mut self) {
        let now = self.moment();
        for number in 0..self.instances.len() {
            self.ask_limits(number);
            let limits = &mut self.instances[number].limits;
            limits.sweep(|_| true, now);
            let limited: Vec<Arc<str>> = limits.limited().map(|(e, _)| Arc::clone(e)).collect();
            for endpoint in limited {
                self.assign(number, &endpoint);
            }
        }
    }

    /// An instance that has just started asks another one what it knows.
    fn ask_limits(&mut self, number: usize) {
        let began = self.instances[number].began;
        let has_just_started = began > 0 && (began..began + 3 * ROUND).contains(&self.now);
        let other = self.random.random_range(0..self.instances.len());
        if !has_just_started || self.instances[other].down_until > self.now {
            return;
        }
        for told in self.instances[other].limits.updates(self.moment()) {
            self.news.push(told);
            let news = self.news.len() - 1;
            if self.random.random::<f64>() >= LOST {
                self.push(5, Event::UpdateReceived { to: number, news });
            }
        }
    }

    /// Gives an instance its part of a limit, by the others that it believes to run.
    fn assign(&mut self, number: usize, endpoint: &str) {
        let now = self.moment();
        let Some(limit) = self.instances[number].limits.get(endpoint) else {
            return;
        };
        let part = self.part(number, endpoint, limit);
        self.instances[number].limits.assign(endpoint, part, now);
    }

    fn part(&self, number: usize, endpoint: &str, limit: Limit) -> Share {
        if self.way == Way::Even {
            let rate: f64 = limit.to_string().parse().unwrap_or_default();
            let interval = self.instances.len() as f64 / rate.max(0.001);
            return Share::Sender {
                interval: Duration::from_secs_f64(interval),
            };
        }
        let domain = self.instances[number].domain;
        let place: usize = endpoint[2..].parse().unwrap_or_default();
        if place % self.series.domains != domain {
            return Share::NONE;
        }
        let believed = |other: usize| {
            other == number || self.instances[other].down_until < self.now + BELIEVED
        };
        let near = (domain..self.instances.len()).step_by(self.series.domains);
        let near = near.filter(|other| believed(*other));
        let near: Vec<&str> = near.map(|other| &*self.names[other]).collect();
        Share::of(limit, endpoint, &self.names[number], &near)
    }

    /// A client asks an instance, which sends to an endpoint of its failure domain, or to any.
    fn ask(&mut self) {
        let number = self.random.random_range(0..self.instances.len());
        if self.instances[number].down_until > self.now {
            return;
        }
        let now = self.moment();
        let domain = self.instances[number].domain;
        let limits = &self.instances[number].limits;
        let open = |endpoint: &Endpoint| limits.wait(&endpoint.name, now).is_none();
        let all = 0..self.endpoints.len();
        let near = (domain..self.endpoints.len()).step_by(self.series.domains);
        let mut near: Vec<usize> = near.filter(|n| open(&self.endpoints[*n])).collect();
        if near.is_empty() {
            near = all.filter(|n| open(&self.endpoints[*n])).collect();
        }
        if self.is_limited_time() {
            self.asked += 1;
            self.refused += u64::from(near.is_empty());
        }
        if near.is_empty() {
            return;
        }
        let chosen = near[self.random.random_range(0..near.len())];
        let name = Arc::clone(&self.endpoints[chosen].name);
        let instance = &mut self.instances[number];
        instance.limits.record_send(&name, now);
        let life = instance.began;
        let after = self.random.random_range(1..20);
        let sent = self.now;
        self.push(
            after,
            Event::RequestArrived {
                endpoint: chosen,
                from: number,
                sent,
                life,
            },
        );
    }

    fn judge(mut self, limited_ms: u64) -> Seen {
        let seconds = (limited_ms - SETTLED) as f64 / 1_000.0;
        let limited = || self.endpoints.iter().filter(|e| e.named.is_some());
        let got: u64 = limited().map(|e| e.limited_arrivals).sum();
        let could: f64 = limited().map(|e| e.rate * seconds).sum();
        let mean = |list: Vec<u64>| list.iter().sum::<u64>() as f64 / list.len().max(1) as f64;
        let lifted = mean(limited().map(|e| e.later_arrivals).collect());
        let others = self.endpoints.iter().filter(|e| e.named.is_none());
        let others = mean(others.map(|e| e.later_arrivals).collect());
        self.seen.used = got as f64 / could;
        self.seen.regained = lifted / others.max(1.0);
        self.seen.refused = self.refused as f64 / self.asked.max(1) as f64;
        let told = self.messages as f64 * 1_000.0 / limited_ms as f64;
        self.seen.messages = told / self.instances.len() as f64;
        self.seen
    }
}
