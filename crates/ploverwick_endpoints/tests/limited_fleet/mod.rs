//! A simulated fleet without a network: endpoints set limits, messages are delayed or lost, and instances are
//! killed. The simulation checks each request as it arrives at its endpoint.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use ploverwick_endpoints::{Limit, LimitUpdate, Limits, Share};
use ploverwick_names::Moment;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The window over which the requests to an endpoint are counted.
const WINDOW_MS: u64 = 4_000;
/// The requests that an endpoint may get in a window: a multiple of its limit, plus a constant.
const MAX_WINDOW_REQUESTS: (f64, f64) = (1.5, 5.0);
/// How long after the first answer with a limit counting starts.
const SETTLING_MS: u64 = 1_500;
/// How long after its start the requests of an instance are not counted, because it knows no limits yet.
const STARTUP_MS: u64 = 500;
/// How often shares are reassigned.
const ASSIGN_INTERVAL_MS: u64 = 150;
/// How often recent updates are broadcast again.
const REBROADCAST_INTERVAL_MS: u64 = 2_100;
/// How long other instances take to notice that an instance has stopped.
const FAILURE_DETECTION_MS: u64 = 2_500;
/// The fraction of messages that are lost.
const MESSAGE_LOSS: f64 = 0.05;
/// The average request rate per endpoint.
const REQUESTS_PER_S: f64 = 12.0;

/// How instances divide a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// Instances ignore limits.
    Ignored,
    /// All instances have equal shares.
    Even,
    /// A few instances have equal shares, and the others send nothing.
    Few,
}

/// The parameters of a simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub instances: usize,
    pub domains: usize,
    pub endpoints: usize,
    /// The fraction of endpoints that set limits.
    pub limited: f64,
    /// The range of limits, in requests per second.
    pub limits: (f64, f64),
    /// How many times an instance is killed and restarted, at random times.
    pub kills: usize,
    /// The simulated time. Limits are in force during its second third.
    pub length_ms: u64,
}

/// The measurements of a simulation.
#[derive(Debug, Default, Clone)]
pub struct Results {
    /// The largest ratio of received to allowed requests in any window of any endpoint.
    pub max_window_fill: f64,
    /// The ratio of received to allowed requests at limited endpoints.
    pub utilisation: f64,
    /// The fraction of requests that were refused while limits were in force.
    pub refused: f64,
    /// Messages per second that each instance received while limits were in force.
    pub messages: f64,
    /// The ratio of requests at endpoints that lifted their limits to those at other endpoints, from five seconds
    /// after the lifting.
    pub recovery: f64,
}

struct Instance {
    limits: Limits,
    domain: usize,
    down_until: u64,
    started_at: u64,
}

struct Endpoint {
    name: Arc<str>,
    limit: Option<Limit>,
    rate: f64,
    /// When a request first arrived while the limit was in force.
    limited_at: Option<u64>,
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
        started_at: u64,
    },
    AnswerReceived {
        endpoint: usize,
        to: usize,
        sent: u64,
        started_at: u64,
        limit: Option<u64>,
    },
    UpdateReceived {
        to: usize,
        update: usize,
    },
}

pub struct Fleet {
    strategy: Strategy,
    scenario: Scenario,
    random: StdRng,
    now: u64,
    instances: Vec<Instance>,
    names: Vec<String>,
    endpoints: Vec<Endpoint>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    updates: Vec<LimitUpdate>,
    results: Results,
    requests: u64,
    refused: u64,
    messages: u64,
}

impl Fleet {
    pub fn new(strategy: Strategy, scenario: Scenario, seed: u64) -> Self {
        let instances = (0..scenario.instances).map(|number| Instance {
            limits: Limits::default(),
            domain: number % scenario.domains,
            down_until: 0,
            started_at: 0,
        });
        let endpoints = (0..scenario.endpoints).map(|number| Endpoint {
            name: Arc::from(format!("i-{number}")),
            limit: None,
            rate: 0.0,
            limited_at: None,
            window: VecDeque::new(),
            limited_arrivals: 0,
            later_arrivals: 0,
        });
        Self {
            strategy,
            instances: instances.collect(),
            names: (0..scenario.instances)
                .map(|n| format!("instance-{n}"))
                .collect(),
            endpoints: endpoints.collect(),
            random: StdRng::seed_from_u64(seed),
            now: 0,
            events: BinaryHeap::new(),
            number: 0,
            updates: Vec::new(),
            results: Results::default(),
            requests: 0,
            refused: 0,
            messages: 0,
            scenario,
        }
    }

    /// Runs the simulation.
    pub fn run(mut self) -> Results {
        let length_ms = self.scenario.length_ms;
        let (limited_at, lifted) = (length_ms / 3, length_ms * 2 / 3);
        let mut kills: Vec<u64> = (0..self.scenario.kills)
            .map(|_| self.random.random_range(0..length_ms))
            .collect();
        kills.sort_unstable();
        let requests_per_ms = REQUESTS_PER_S * self.scenario.endpoints as f64 / 1_000.0;
        let mut due = 0.0;
        while self.now < length_ms {
            if self.now == limited_at {
                self.set_limits();
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
            due += requests_per_ms * self.random.random_range(0.0..2.0);
            while due >= 1.0 {
                due -= 1.0;
                self.send_request();
            }
            if self.now.is_multiple_of(ASSIGN_INTERVAL_MS) {
                self.assign_all();
            }
            if self.now.is_multiple_of(REBROADCAST_INTERVAL_MS) {
                self.rebroadcast();
            }
            self.now += 1;
        }
        self.measure(lifted - limited_at)
    }

    fn moment(&self) -> Moment {
        Moment(self.now)
    }

    fn is_limited_time(&self) -> bool {
        let third = self.scenario.length_ms / 3;
        (third..third * 2).contains(&self.now)
    }

    fn set_limits(&mut self) {
        let (least, most) = self.scenario.limits;
        for number in 0..self.endpoints.len() {
            if self.random.random::<f64>() < self.scenario.limited {
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
        instance.started_at = self.now + down;
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
                    started_at,
                } => {
                    self.handle_request(endpoint, from, sent, started_at);
                }
                Event::AnswerReceived {
                    endpoint,
                    to,
                    sent,
                    started_at,
                    limit,
                } => {
                    if self.instances[to].started_at == started_at
                        && self.instances[to].down_until <= self.now
                    {
                        self.handle_answer(endpoint, to, sent, limit);
                    }
                }
                Event::UpdateReceived { to, update } => self.receive_update(to, update),
            }
        }
    }

    fn handle_request(&mut self, number: usize, from: usize, sent: u64, started_at: u64) {
        let now = self.now;
        let from_third = self.scenario.length_ms / 3;
        let is_starting = started_at > 0 && sent < started_at + STARTUP_MS;
        let endpoint = &mut self.endpoints[number];
        if endpoint.limit.is_some() {
            if !is_starting
                && endpoint
                    .limited_at
                    .is_some_and(|limited_at| now >= limited_at + SETTLING_MS)
            {
                endpoint.window.push_back(now);
                while endpoint
                    .window
                    .front()
                    .is_some_and(|at| *at + WINDOW_MS < now)
                {
                    endpoint.window.pop_front();
                }
                let most = MAX_WINDOW_REQUESTS.0 * endpoint.rate * WINDOW_MS as f64 / 1_000.0
                    + MAX_WINDOW_REQUESTS.1;
                let fill = endpoint.window.len() as f64 / most.floor();
                self.results.max_window_fill = self.results.max_window_fill.max(fill);
                endpoint.limited_arrivals += 1;
            }
            endpoint.limited_at.get_or_insert(now);
        } else if now >= from_third * 2 + 5_000 {
            endpoint.later_arrivals += 1;
        }
        // Limits are integers, in thousandths, because events must be ordered.
        let limit = endpoint.limit.map(|_| (endpoint.rate * 1_000.0) as u64);
        let after = self.random.random_range(50..400);
        self.push(
            after,
            Event::AnswerReceived {
                endpoint: number,
                to: from,
                sent,
                started_at,
                limit,
            },
        );
    }

    fn handle_answer(&mut self, number: usize, to: usize, sent: u64, limit: Option<u64>) {
        if self.strategy == Strategy::Ignored {
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
        let update = limits.update(&name, now);
        self.assign(to, &name);
        if let Some(update) = update {
            self.broadcast(to, update);
        }
    }

    fn broadcast(&mut self, from: usize, update: LimitUpdate) {
        self.updates.push(update);
        let update = self.updates.len() - 1;
        for to in 0..self.instances.len() {
            if to != from && self.random.random::<f64>() >= MESSAGE_LOSS {
                let after = self.random.random_range(1..30);
                self.push(after, Event::UpdateReceived { to, update });
            }
        }
    }

    fn receive_update(&mut self, to: usize, update: usize) {
        if self.instances[to].down_until > self.now {
            return;
        }
        if self.is_limited_time() {
            self.messages += 1;
        }
        let update = self.updates[update].clone();
        let now = self.moment();
        let change = self.instances[to].limits.apply_update(&update, now);
        if change != ploverwick_endpoints::Change::Unchanged {
            self.assign(to, &update.endpoint);
        }
    }

    fn rebroadcast(&mut self) {
        let now = self.moment();
        for from in 0..self.instances.len() {
            let max_age = Duration::from_millis(REBROADCAST_INTERVAL_MS);
            for update in self.instances[from].limits.recent_updates(max_age, now) {
                self.broadcast(from, update);
            }
        }
    }

    fn assign_all(&mut self) {
        let now = self.moment();
        for number in 0..self.instances.len() {
            self.request_limits(number);
            let limits = &mut self.instances[number].limits;
            limits.sweep(|_| true, now);
            let limited: Vec<Arc<str>> = limits.limited().map(|(e, _)| Arc::clone(e)).collect();
            for endpoint in limited {
                self.assign(number, &endpoint);
            }
        }
    }

    /// Requests the known limits from a random instance if this one has just started.
    fn request_limits(&mut self, number: usize) {
        let started_at = self.instances[number].started_at;
        let has_just_started =
            started_at > 0 && (started_at..started_at + 3 * ASSIGN_INTERVAL_MS).contains(&self.now);
        let other = self.random.random_range(0..self.instances.len());
        if !has_just_started || self.instances[other].down_until > self.now {
            return;
        }
        for update in self.instances[other].limits.updates(self.moment()) {
            self.updates.push(update);
            let update = self.updates.len() - 1;
            if self.random.random::<f64>() >= MESSAGE_LOSS {
                self.push(5, Event::UpdateReceived { to: number, update });
            }
        }
    }

    /// Assigns an instance its share of a limit, based on the instances that it considers alive.
    fn assign(&mut self, number: usize, endpoint: &str) {
        let now = self.moment();
        let Some(limit) = self.instances[number].limits.get(endpoint) else {
            return;
        };
        let share = self.share(number, endpoint, limit);
        self.instances[number].limits.assign(endpoint, share, now);
    }

    fn share(&self, number: usize, endpoint: &str, limit: Limit) -> Share {
        if self.strategy == Strategy::Even {
            let rate: f64 = limit.to_string().parse().unwrap_or_default();
            let interval = self.instances.len() as f64 / rate.max(0.001);
            return Share::Sender {
                interval: Duration::from_secs_f64(interval),
            };
        }
        let domain = self.instances[number].domain;
        let endpoint_index: usize = endpoint[2..].parse().unwrap_or_default();
        if endpoint_index % self.scenario.domains != domain {
            return Share::NONE;
        }
        let is_believed_up = |other: usize| {
            other == number || self.instances[other].down_until < self.now + FAILURE_DETECTION_MS
        };
        let local = (domain..self.instances.len()).step_by(self.scenario.domains);
        let local = local.filter(|other| is_believed_up(*other));
        let local: Vec<&str> = local.map(|other| &*self.names[other]).collect();
        Share::of(limit, endpoint, &self.names[number], &local)
    }

    /// Simulates a client request to a random instance, which sends it to an endpoint of its failure domain, or to any
    /// endpoint if none there is available.
    fn send_request(&mut self) {
        let number = self.random.random_range(0..self.instances.len());
        if self.instances[number].down_until > self.now {
            return;
        }
        let now = self.moment();
        let domain = self.instances[number].domain;
        let limits = &self.instances[number].limits;
        let open = |endpoint: &Endpoint| limits.wait(&endpoint.name, now).is_none();
        let all = 0..self.endpoints.len();
        let candidates = (domain..self.endpoints.len()).step_by(self.scenario.domains);
        let mut candidates: Vec<usize> = candidates.filter(|n| open(&self.endpoints[*n])).collect();
        if candidates.is_empty() {
            candidates = all.filter(|n| open(&self.endpoints[*n])).collect();
        }
        if self.is_limited_time() {
            self.requests += 1;
            self.refused += u64::from(candidates.is_empty());
        }
        if candidates.is_empty() {
            return;
        }
        let chosen = candidates[self.random.random_range(0..candidates.len())];
        let name = Arc::clone(&self.endpoints[chosen].name);
        let instance = &mut self.instances[number];
        instance.limits.record_send(&name, now);
        let started_at = instance.started_at;
        let after = self.random.random_range(1..20);
        let sent = self.now;
        self.push(
            after,
            Event::RequestArrived {
                endpoint: chosen,
                from: number,
                sent,
                started_at,
            },
        );
    }

    fn measure(mut self, limited_ms: u64) -> Results {
        let seconds = (limited_ms - SETTLING_MS) as f64 / 1_000.0;
        let limited = || self.endpoints.iter().filter(|e| e.limited_at.is_some());
        let received: u64 = limited().map(|e| e.limited_arrivals).sum();
        let allowed: f64 = limited().map(|e| e.rate * seconds).sum();
        let mean = |list: Vec<u64>| list.iter().sum::<u64>() as f64 / list.len().max(1) as f64;
        let lifted = mean(limited().map(|e| e.later_arrivals).collect());
        let others = self.endpoints.iter().filter(|e| e.limited_at.is_none());
        let others = mean(others.map(|e| e.later_arrivals).collect());
        self.results.utilisation = received as f64 / allowed;
        self.results.recovery = lifted / others.max(1.0);
        self.results.refused = self.refused as f64 / self.requests.max(1) as f64;
        let messages_per_s = self.messages as f64 * 1_000.0 / limited_ms as f64;
        self.results.messages = messages_per_s / self.instances.len() as f64;
        self.results
    }
}
