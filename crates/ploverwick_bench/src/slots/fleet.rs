//! A simulated fleet, in steps of a millisecond.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;

use ploverwick_endpoints::Brittleness;
use ploverwick_endpoints::slots::{Ending, Ledger, LoanId, Notice, Outgoing, Owners, Permit};
use ploverwick_names::Moment;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{Scenario, Size, Way};

/// The seconds that are measured, after [`WARM_UP_MS`].
pub(super) const MEASURED_S: f64 = 8.0;
const WARM_UP_MS: u64 = 2_000;
const END_MS: u64 = WARM_UP_MS + 8_000;
const SLOTS: u32 = 4;
/// The refusals in a second that an endpoint bears.
const MAX_REFUSALS: u32 = 1;
/// The delay of messages and requests, in milliseconds.
const DELAY_MS: std::ops::Range<u64> = 1..4;
const MESSAGE_LOSS: f64 = 0.02;
/// The age of known loads at most.
const STATUS_MS: u64 = 150;
/// The delay before a refused request is sent again, for each refusal, and the number of refusals after which it fails.
const BACKOFF_MS: u64 = 12;
const MAX_SENDS: u32 = 4;
/// How long a request waits for a slot, and how many wait for each slot.
const MAX_WAIT_MS: u64 = 200;
const MAX_WAITS_PER_SLOT: f64 = 1.5;
/// The number of endpoints whose slots are borrowed for a request.
const MAX_LACKING: usize = 3;
/// When a third of the instances is killed, and when they start again.
const KILLED_MS: u64 = 5_000;
const RESTARTED_MS: u64 = 5_500;
const TICK_MS: u64 = 150;

/// What a simulation showed.
#[derive(Debug, Default)]
pub(super) struct Outcome {
    /// The most refusals of an endpoint in a second.
    pub(super) worst_second: usize,
    pub(super) refusals: usize,
    pub(super) arrived: usize,
    pub(super) served: usize,
    /// The part of the time of all slots in which requests used them.
    pub(super) slot_use: f64,
    pub(super) messages: usize,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    instance: usize,
    /// When it arrived at the instance.
    arrived: u64,
    sends: u32,
    permit: Option<Permit>,
    /// Whether it waits until a slot of its instance is free.
    has_place: bool,
    /// The process of the instance that sent it.
    process: u64,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    /// A client's request arrives at an instance, or is tried again.
    Try(Request),
    /// A request arrives at an endpoint.
    Arrive(Request, usize),
    /// A request ends at an endpoint.
    End(Request, usize),
    /// An instance receives the answer of an endpoint.
    Answer(Request, usize, bool),
    /// An instance receives a notice of another.
    Notice(usize, usize, Notice, usize, LoanId),
    /// All instances learn that an endpoint refused a request.
    Pause(usize, u64),
    Status(usize),
    Tick(usize),
    Kill,
    Restart,
}

#[derive(Debug)]
struct Instance {
    ledger: Ledger,
    in_flight: Vec<u32>,
    /// The load of the others at each endpoint as last known.
    known: Vec<u32>,
    waiting: VecDeque<Request>,
    is_up: bool,
    /// Distinguishes its processes.
    process: u64,
}

#[derive(Debug, Default, Clone)]
struct Endpoint {
    in_use: u32,
    /// The requests that the counting instance has granted, for [`Way::Questions`].
    granted: u32,
    paused_until: u64,
    refusals: Vec<u64>,
}

pub(super) struct Fleet {
    size: Size,
    scenario: Scenario,
    way: Way,
    random: SmallRng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled: HashMap<u64, Event>,
    next_event: u64,
    names: Vec<Arc<str>>,
    endpoint_names: Vec<Arc<str>>,
    instances: Vec<Instance>,
    endpoints: Vec<Endpoint>,
    /// The requests that wait at the single sender.
    pooled: VecDeque<Request>,
    busy_ms: u64,
    outcome: Outcome,
}

impl Fleet {
    pub(super) fn new(size: Size, scenario: Scenario, way: Way, seed: u64) -> Self {
        let names: Vec<Arc<str>> = (0..size.instances)
            .map(|i| format!("n{i}").into())
            .collect();
        let endpoint_names = (0..size.endpoints).map(|e| format!("e{e}").into());
        let instances = (0..size.instances).map(|number| Instance {
            ledger: Ledger::new((number as u64) << 32, true, Moment(0)),
            in_flight: vec![0; size.endpoints],
            known: vec![0; size.endpoints],
            waiting: VecDeque::new(),
            is_up: true,
            process: 0,
        });
        let mut fleet = Self {
            size,
            scenario,
            way,
            random: SmallRng::seed_from_u64(seed),
            now: 0,
            events: BinaryHeap::new(),
            scheduled: HashMap::new(),
            next_event: 0,
            endpoint_names: endpoint_names.collect(),
            instances: instances.collect(),
            endpoints: vec![Endpoint::default(); size.endpoints],
            names,
            pooled: VecDeque::new(),
            busy_ms: 0,
            outcome: Outcome::default(),
        };
        for instance in 0..size.instances {
            fleet.divide(instance);
            let phase = fleet.random.random_range(0..STATUS_MS);
            fleet.schedule(phase, Event::Status(instance));
            fleet.schedule(phase, Event::Tick(instance));
        }
        if scenario.has_kills {
            fleet.schedule(KILLED_MS, Event::Kill);
            fleet.schedule(RESTARTED_MS, Event::Restart);
        }
        fleet.schedule_arrivals();
        fleet
    }

    fn divide(&mut self, instance: usize) {
        let all: Vec<&str> = self.names.iter().map(|name| &**name).collect();
        let owners = Owners::new(&self.names[instance], &all);
        for endpoint in &self.endpoint_names {
            let ledger = &mut self.instances[instance].ledger;
            ledger.divide(endpoint, SLOTS, owners, 0, Moment(self.now));
        }
    }

    /// Schedules all arrivals, so that each way gets the same ones.
    fn schedule_arrivals(&mut self) {
        let slots = (self.size.endpoints * SLOTS as usize) as f64;
        let interval = self.scenario.run_ms as f64 / (slots * self.scenario.load);
        let mut at = 0.0;
        while at < END_MS as f64 {
            at -= interval * (1.0 - self.random.random::<f64>()).ln();
            let is_hot = self.scenario.is_skewed && self.random.random_bool(0.5);
            let range = if is_hot {
                self.size.instances.div_ceil(10)
            } else {
                self.size.instances
            };
            let request = Request {
                instance: self.random.random_range(0..range),
                arrived: at as u64,
                sends: 0,
                permit: None,
                has_place: false,
                process: 0,
            };
            self.schedule(at as u64, Event::Try(request));
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, self.next_event)));
        self.scheduled.insert(self.next_event, event);
        self.next_event += 1;
    }

    fn schedule_in(&mut self, delay: u64, event: Event) {
        self.schedule(self.now + delay, event);
    }

    fn delay(&mut self) -> u64 {
        self.random.random_range(DELAY_MS)
    }

    fn is_measured(&self) -> bool {
        self.now >= WARM_UP_MS
    }

    pub(super) fn run(mut self) -> Outcome {
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at >= END_MS {
                break;
            }
            self.now = at;
            if let Some(event) = self.scheduled.remove(&number) {
                self.handle(event);
            }
        }
        for endpoint in &self.endpoints {
            let refusals = &endpoint.refusals;
            let seconds = refusals.iter().enumerate().map(|(first, begin)| {
                let later = refusals[first..].iter();
                later.take_while(|at| **at < begin + 1_000).count()
            });
            let worst = seconds.max().unwrap_or(0);
            self.outcome.worst_second = self.outcome.worst_second.max(worst);
            self.outcome.refusals += refusals.len();
        }
        let slots = self.size.endpoints as f64 * f64::from(SLOTS);
        self.outcome.slot_use = self.busy_ms as f64 / (slots * MEASURED_S * 1_000.0);
        self.outcome
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Try(request) => self.handle_try(request),
            Event::Arrive(request, endpoint) => self.handle_arrival(request, endpoint),
            Event::End(request, endpoint) => {
                self.endpoints[endpoint].in_use -= 1;
                if self.is_measured() {
                    self.busy_ms += self.scenario.run_ms;
                }
                let delay = self.delay();
                self.schedule_in(delay, Event::Answer(request, endpoint, true));
            }
            Event::Answer(request, endpoint, is_served) => {
                self.handle_answer(request, endpoint, is_served);
            }
            Event::Notice(from, to, notice, endpoint, id) => {
                self.handle_notice(from, to, notice, endpoint, id);
            }
            Event::Pause(endpoint, until) => {
                let paused_until = &mut self.endpoints[endpoint].paused_until;
                *paused_until = until.max(*paused_until);
            }
            Event::Status(instance) => {
                for endpoint in 0..self.size.endpoints {
                    let all = self.endpoints[endpoint].in_use;
                    let instance = &mut self.instances[instance];
                    instance.known[endpoint] = all.saturating_sub(instance.in_flight[endpoint]);
                }
                self.schedule_in(STATUS_MS, Event::Status(instance));
            }
            Event::Tick(instance) => {
                if self.way == Way::Loans && self.instances[instance].is_up {
                    let due = self.instances[instance].ledger.tick(Moment(self.now));
                    self.send(instance, due);
                    self.try_waiting(instance);
                }
                self.schedule_in(TICK_MS, Event::Tick(instance));
            }
            Event::Kill => self.kill(),
            Event::Restart => self.restart(),
        }
    }

    fn kill(&mut self) {
        for number in (0..self.size.instances).step_by(3) {
            let instance = &mut self.instances[number];
            instance.is_up = false;
            instance.process += 1;
            instance.waiting.clear();
            instance.in_flight.fill(0);
        }
    }

    fn restart(&mut self) {
        for number in (0..self.size.instances).step_by(3) {
            let first_id = ((number as u64) << 32) + (1 << 31);
            let instance = &mut self.instances[number];
            instance.ledger = Ledger::new(first_id, false, Moment(self.now));
            instance.is_up = true;
            self.divide(number);
        }
    }

    fn handle_try(&mut self, request: Request) {
        if !self.instances[request.instance].is_up {
            return;
        }
        if request.sends == 0 && request.arrived == self.now && self.is_measured() {
            self.outcome.arrived += 1;
        }
        if self.try_send(request) {
            return;
        }
        if self.way == Way::KnownLoads {
            return;
        }
        let instance = &mut self.instances[request.instance];
        let slots = match self.way {
            Way::Shares | Way::Loans => {
                let names = self.endpoint_names.iter();
                instance.ledger.usable(names, Moment(self.now))
            }
            _ => SLOTS,
        };
        let max_waiting = (f64::from(slots) * MAX_WAITS_PER_SLOT) as usize;
        if self.way == Way::SingleSender {
            self.pooled.push_back(request);
            return;
        }
        if self.way == Way::Questions {
            self.schedule_in(20, Event::Try(request));
            return;
        }
        let has_place = instance.waiting.len() < max_waiting;
        let request = Request {
            has_place,
            ..request
        };
        if self.way == Way::Loans {
            instance.waiting.push_back(request);
            self.borrow(request.instance);
        } else if has_place {
            instance.waiting.push_back(request);
        }
    }

    /// Sends a request if the way allows it.
    fn try_send(&mut self, mut request: Request) -> bool {
        if self.now - request.arrived > MAX_WAIT_MS {
            // It is refused.
            return self.way != Way::KnownLoads || request.sends > 0;
        }
        let first = self.random.random_range(0..self.size.endpoints);
        let order = (0..self.size.endpoints).map(|e| (first + e) % self.size.endpoints);
        let now = Moment(self.now);
        let chosen = match self.way {
            Way::KnownLoads => {
                let instance = &self.instances[request.instance];
                let load = |e: &usize| instance.known[*e] + instance.in_flight[*e];
                let open = order.filter(|e| self.endpoints[*e].paused_until <= self.now);
                open.filter(|e| load(e) < SLOTS).min_by_key(load)
            }
            Way::Shares | Way::Loans => {
                let instance = &mut self.instances[request.instance];
                let mut order = order;
                let chosen =
                    order.find(|e| instance.ledger.has_free(&self.endpoint_names[*e], now));
                if let Some(endpoint) = chosen {
                    let name = &self.endpoint_names[endpoint];
                    request.permit = instance.ledger.acquire(name, now);
                }
                chosen
            }
            Way::Questions => {
                // Each question is two messages.
                let asked: Vec<usize> = order.take(3).collect();
                let granted = asked
                    .iter()
                    .position(|e| self.endpoints[*e].granted < SLOTS);
                self.count_messages(2 * granted.map_or(asked.len(), |index| index + 1));
                granted.map(|index| asked[index])
            }
            Way::SingleSender => {
                let mut order = order;
                order.find(|e| self.endpoints[*e].granted < SLOTS)
            }
        };
        let Some(endpoint) = chosen else {
            return false;
        };
        self.endpoints[endpoint].granted += 1;
        request.sends += 1;
        request.process = self.instances[request.instance].process;
        self.instances[request.instance].in_flight[endpoint] += 1;
        let question = if self.way == Way::Questions {
            self.delay() + self.delay()
        } else {
            0
        };
        let delay = self.delay() + question;
        self.schedule_in(delay, Event::Arrive(request, endpoint));
        true
    }

    fn handle_arrival(&mut self, request: Request, endpoint: usize) {
        let now = self.now;
        let is_measured = self.is_measured();
        let target = &mut self.endpoints[endpoint];
        if target.in_use < SLOTS {
            target.in_use += 1;
            let run_ms = self.scenario.run_ms;
            self.schedule_in(run_ms, Event::End(request, endpoint));
            return;
        }
        if is_measured {
            target.refusals.push(now);
        }
        let delay = self.delay();
        self.schedule_in(delay, Event::Answer(request, endpoint, false));
    }

    fn handle_answer(&mut self, mut request: Request, endpoint: usize, is_served: bool) {
        let now = Moment(self.now);
        self.endpoints[endpoint].granted -= 1;
        let instance = &mut self.instances[request.instance];
        if instance.process != request.process {
            return;
        }
        instance.in_flight[endpoint] -= 1;
        let name = &self.endpoint_names[endpoint];
        instance
            .ledger
            .release(name, request.permit.take(), Ending::Known, now);
        if is_served {
            self.outcome.served += usize::from(request.arrived >= WARM_UP_MS);
        } else {
            let pause = Brittleness::pause(MAX_REFUSALS).as_millis() as u64;
            let delay = self.delay();
            let until = self.now + delay + pause;
            self.schedule_in(delay, Event::Pause(endpoint, until));
            if request.sends < MAX_SENDS {
                let backoff = BACKOFF_MS * u64::from(request.sends);
                self.schedule_in(backoff, Event::Try(request));
            }
        }
        if self.way == Way::SingleSender {
            while let Some(request) = self.pooled.pop_front() {
                if !self.try_send(request) {
                    self.pooled.push_front(request);
                    break;
                }
            }
        } else {
            self.try_waiting(request.instance);
        }
    }

    /// Sends requests that wait at an instance, and returns the loans that none needs.
    fn try_waiting(&mut self, instance: usize) {
        while let Some(request) = self.instances[instance].waiting.pop_front() {
            if !self.try_send(request) {
                self.instances[instance].waiting.push_front(request);
                break;
            }
        }
        if self.way != Way::Loans {
            return;
        }
        if !self.instances[instance].waiting.is_empty() {
            self.borrow(instance);
            return;
        }
        let ledger = &mut self.instances[instance].ledger;
        let mut outgoing = Vec::new();
        for name in &self.endpoint_names {
            outgoing.extend(ledger.return_free(name));
            outgoing.extend(ledger.grant_queued(name, Moment(self.now)));
        }
        self.send(instance, outgoing);
    }

    /// Requests loans of slots of some endpoints.
    fn borrow(&mut self, instance: usize) {
        let now = Moment(self.now);
        let mut order: Vec<usize> = (0..self.size.endpoints).collect();
        let first = self.random.random_range(0..self.size.endpoints);
        order.rotate_left(first);
        let known = &self.instances[instance].known;
        order.sort_by_key(|endpoint| known[*endpoint]);
        let names = order.iter().map(|e| self.endpoint_names[*e].clone());
        let names: Vec<Arc<str>> = names.take(MAX_LACKING).collect();
        let waiting = self.instances[instance].waiting.len();
        let ledger = &mut self.instances[instance].ledger;
        let seed = self.now.to_string();
        let address = |name: &str| name[1..].parse().ok().map(address);
        let requests = ledger.request_loans(&names, waiting, &seed, address, now);
        if ledger.awaited_replies(now) == 0 {
            self.instances[instance].waiting.retain(|r| r.has_place);
        }
        self.send(instance, requests);
    }

    fn send(&mut self, from: usize, outgoing: Vec<Outgoing>) {
        for sent in outgoing {
            self.count_messages(1);
            if self.random.random_bool(MESSAGE_LOSS) {
                continue;
            }
            let endpoint: usize = sent.endpoint[1..].parse().expect("names have numbers");
            let delay = self.delay();
            let to = number_of(sent.to);
            let event = Event::Notice(from, to, sent.notice, endpoint, sent.id);
            self.schedule_in(delay, event);
        }
    }

    fn handle_notice(
        &mut self,
        from: usize,
        to: usize,
        notice: Notice,
        endpoint: usize,
        id: LoanId,
    ) {
        let now = Moment(self.now);
        let receiver = &mut self.instances[to];
        if !receiver.is_up {
            return;
        }
        let waiting = receiver.waiting.len();
        let name = &self.endpoint_names[endpoint];
        let reply = receiver
            .ledger
            .handle(address(from), notice, (name, id), waiting, now);
        self.send(to, reply.into_iter().collect());
        if matches!(notice, Notice::Grant | Notice::Return | Notice::Refusal) {
            self.try_waiting(to);
        }
    }

    fn count_messages(&mut self, count: usize) {
        if self.is_measured() {
            self.outcome.messages += count;
        }
    }
}

fn address(instance: usize) -> IpAddr {
    let number = u32::try_from(instance).expect("fleets are small");
    IpAddr::V4(Ipv4Addr::from(number))
}

fn number_of(address: IpAddr) -> usize {
    match address {
        IpAddr::V4(address) => u32::from(address) as usize,
        IpAddr::V6(_) => unreachable!("instances have IPv4 addresses"),
    }
}
