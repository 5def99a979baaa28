//! A fleet whose endpoints crash under requests with a fatal part.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use ploverwick_names::Moment;
use ploverwick_quarantine::Crash;
use ploverwick_quarantine::prompt::{Caller, Knowledge, Part};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::Size;
use super::tracker::{Suspect, Tracker, Update, Way};
use super::workload::{self, Fatal, Prompt, Scenario, Trouble};

const DURATION_MS: u64 = 30_000;
/// When fatal requests or losses of endpoints begin.
const TROUBLE_AT_MS: u64 = 5_000;
const LOSS_INTERVAL_MS: u64 = 2_500;
const LOSSES: u64 = 3;
/// How long an endpoint waits with a request before it begins, and how long it runs, on average.
const WAIT_MS: f64 = 150.0;
const RUN_MS: f64 = 400.0;
/// The time from the beginning of a fatal answer to the crash.
const CRASH_DELAY_MS: std::ops::Range<u64> = 13..120;
const DIAGNOSIS_MS: u64 = 110;
const RESTART_MS: u64 = 3_000;
const INSTANCE_RESTART_MS: u64 = 1_000;
const BATCH_MS: u64 = 20;
const RESEND_MS: u64 = 150;
const MESSAGE_MS: std::ops::Range<u64> = 1..50;
const MESSAGE_LOSS: f64 = 0.05;
const STORE_MS: std::ops::Range<u64> = 20..400;
/// How long after the fifth crash instances may still send fatal requests.
const SETTLE_MS: u64 = 3_000;
const PROVING_CRASHES: usize = 5;

/// What came of a simulation.
#[derive(Debug, Default, Clone)]
pub(super) struct Outcome {
    /// The endpoints that ended under fatal requests.
    pub(super) ended: usize,
    /// The fatal requests sent after the fifth crash and the time for it to settle.
    pub(super) late: usize,
    pub(super) sound: usize,
    /// The sound requests that were refused.
    pub(super) refused: usize,
    /// The sound requests that share the first part of the fatal ones, after twice that time.
    pub(super) neighbours: usize,
    pub(super) neighbours_refused: usize,
}

#[derive(Debug)]
enum Event {
    SoundArrives,
    FatalArrives,
    Begins(u64),
    Succeeds(u64),
    Crashes(usize),
    Diagnosed {
        at: usize,
        incarnation: u32,
        crash: Crash,
        suspects: Vec<Suspect>,
    },
    UpdatesArrive {
        to: usize,
        updates: Rc<[Update]>,
    },
    EndpointUp(usize),
    Lose(f64),
    LoseDomain,
    LoseInstances,
    InstanceUp(usize),
}

#[derive(Debug)]
struct Running {
    instance: usize,
    endpoint: usize,
    prompt: Prompt,
    known: Knowledge,
}

#[derive(Debug)]
struct Instance {
    tracker: Tracker,
    incarnation: u32,
    is_up: bool,
    up_since: u64,
}

#[derive(Debug, Default)]
struct Endpoint {
    incarnation: u32,
    is_down: bool,
    running: Vec<u64>,
}

pub(super) struct Fleet {
    size: Size,
    scenario: Scenario,
    way: Way,
    /// Whether instances cancel requests that are refused before their answers begin.
    cancels: bool,
    random: SmallRng,
    now: u64,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    instances: Vec<Instance>,
    endpoints: Vec<Endpoint>,
    requests: HashMap<u64, Running>,
    store: Vec<Update>,
    shared_first: Vec<Part>,
    last_crash: Option<u64>,
    proven_at: Option<u64>,
    outcome: Outcome,
}

impl Fleet {
    pub(super) fn new(size: Size, scenario: Scenario, way: Way, seed: u64) -> Self {
        let instance = |_| Instance {
            tracker: Tracker::new(way),
            incarnation: 0,
            is_up: true,
            up_since: 0,
        };
        let mut fleet = Self {
            size,
            scenario,
            way,
            cancels: way == Way::Cancelled,
            random: SmallRng::seed_from_u64(seed),
            now: 0,
            events: BTreeMap::new(),
            sequence: 0,
            instances: (0..size.instances).map(instance).collect(),
            endpoints: (0..size.endpoints).map(|_| Endpoint::default()).collect(),
            requests: HashMap::new(),
            store: Vec::new(),
            shared_first: workload::shared_first_parts(scenario.fatal),
            last_crash: None,
            proven_at: None,
            outcome: Outcome::default(),
        };
        fleet.schedule(0, Event::SoundArrives);
        if scenario.fatal != Fatal::None {
            fleet.schedule(TROUBLE_AT_MS, Event::FatalArrives);
        }
        fleet.schedule_trouble();
        fleet
    }

    fn schedule_trouble(&mut self) {
        match self.scenario.trouble {
            Trouble::None | Trouble::Instances => {}
            Trouble::Crashes(interval) => {
                for at in (interval..DURATION_MS).step_by(interval as usize) {
                    let endpoint = self.random.random_range(0..self.size.endpoints);
                    self.schedule(at, Event::Crashes(endpoint));
                }
            }
            Trouble::Loss(share) => {
                for number in 0..LOSSES {
                    let at = TROUBLE_AT_MS + number * LOSS_INTERVAL_MS;
                    self.schedule(at, Event::Lose(share));
                }
            }
            Trouble::Domain => self.schedule(TROUBLE_AT_MS, Event::LoseDomain),
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn exponential(&mut self, mean_ms: f64) -> u64 {
        (-mean_ms * (1.0 - self.random.random::<f64>()).ln()) as u64 + 1
    }

    pub(super) fn run(mut self) -> Outcome {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at >= DURATION_MS {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.outcome
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::SoundArrives => {
                let next = self.exponential(1_000.0 / self.size.requests_per_s);
                self.schedule(self.now + next, Event::SoundArrives);
                let prompt = workload::sound(self.scenario.alike, &mut self.random);
                self.send(prompt);
            }
            Event::FatalArrives => {
                let next = self.exponential(1_000.0 / self.scenario.rate);
                self.schedule(self.now + next, Event::FatalArrives);
                let prompt = workload::fatal(self.scenario.fatal, &mut self.random);
                self.send(prompt);
            }
            Event::Begins(id) => self.begin(id),
            Event::Succeeds(id) => self.succeed(id),
            Event::Crashes(endpoint) => self.crash(endpoint),
            Event::Diagnosed {
                at,
                incarnation,
                crash,
                suspects,
            } => {
                if self.instances[at].incarnation == incarnation {
                    self.record(at, crash, &suspects);
                }
            }
            Event::UpdatesArrive { to, updates } => self.merge(to, &updates),
            Event::EndpointUp(endpoint) => self.endpoints[endpoint].is_down = false,
            Event::Lose(share) => {
                for endpoint in 0..self.size.endpoints {
                    if self.random.random_bool(share) {
                        self.crash(endpoint);
                    }
                }
            }
            Event::LoseDomain => {
                (0..self.size.endpoints)
                    .step_by(3)
                    .for_each(|endpoint| self.crash(endpoint));
                (0..self.size.instances)
                    .step_by(3)
                    .for_each(|instance| self.kill(instance));
            }
            Event::LoseInstances => {
                (0..self.size.instances)
                    .step_by(3)
                    .for_each(|instance| self.kill(instance));
            }
            Event::InstanceUp(instance) => {
                self.instances[instance].is_up = true;
                self.instances[instance].up_since = self.now;
                let store: Rc<[Update]> = self.store.iter().cloned().collect();
                self.merge(instance, &store);
            }
        }
    }

    /// Sends a request to an endpoint, unless its instance refuses it.
    fn send(&mut self, prompt: Prompt) {
        let instance = self.random.random_range(0..self.size.instances);
        let endpoint = self.random.random_range(0..self.size.endpoints);
        if !self.instances[instance].is_up || self.endpoints[endpoint].is_down {
            return;
        }
        let (now, caller) = (Moment(self.now), caller(&prompt));
        let tracker = &self.instances[instance].tracker;
        let is_refused = tracker.refuses(&prompt.parts, caller, now);
        let known = tracker.known(&prompt.parts, now);
        self.count(&prompt, instance, is_refused);
        if is_refused {
            return;
        }
        self.sequence += 1;
        let id = self.sequence;
        let running = Running {
            instance,
            endpoint,
            prompt,
            known,
        };
        self.requests.insert(id, running);
        self.endpoints[endpoint].running.push(id);
        let wait = self.exponential(WAIT_MS);
        self.schedule(self.now + wait, Event::Begins(id));
    }

    fn count(&mut self, prompt: &Prompt, instance: usize, is_refused: bool) {
        let has_passed = |since: Option<u64>, time| since.is_some_and(|at| self.now > at + time);
        if prompt.is_fatal {
            let up_since = self.instances[instance].up_since;
            let is_settled = up_since == 0 || self.now >= up_since + SETTLE_MS;
            let is_late = has_passed(self.proven_at, SETTLE_MS) && is_settled && !is_refused;
            self.outcome.late += usize::from(is_late);
            return;
        }
        self.outcome.sound += 1;
        self.outcome.refused += usize::from(is_refused);
        let shares_first = prompt
            .parts
            .first()
            .is_some_and(|part| self.shared_first.contains(part));
        if shares_first && has_passed(self.proven_at.or(self.last_crash), 2 * SETTLE_MS) {
            self.outcome.neighbours += 1;
            self.outcome.neighbours_refused += usize::from(is_refused);
        }
    }

    /// Begins to run a request, unless its instance has refused it meanwhile and closed the connection.
    fn begin(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let tracker = &self.instances[request.instance].tracker;
        let now = Moment(self.now);
        if self.cancels && tracker.refuses(&request.prompt.parts, caller(&request.prompt), now) {
            let endpoint = request.endpoint;
            self.endpoints[endpoint]
                .running
                .retain(|other| *other != id);
            self.requests.remove(&id);
            return;
        }
        request.known = tracker.known(&request.prompt.parts, now);
        let (is_fatal, endpoint) = (request.prompt.is_fatal, request.endpoint);
        if is_fatal {
            let delay = self.random.random_range(CRASH_DELAY_MS);
            self.schedule(self.now + delay, Event::Crashes(endpoint));
        } else {
            let run = self.exponential(RUN_MS);
            self.schedule(self.now + run, Event::Succeeds(id));
        }
    }

    fn succeed(&mut self, id: u64) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.endpoints[request.endpoint]
            .running
            .retain(|other| *other != id);
        let tracker = &mut self.instances[request.instance].tracker;
        let updates = tracker.succeed(&request.prompt.parts, Moment(self.now));
        self.broadcast(request.instance, updates);
    }

    fn crash(&mut self, number: usize) {
        if self.endpoints[number].is_down {
            return;
        }
        let endpoint = &mut self.endpoints[number];
        endpoint.is_down = true;
        let crash = Crash::of(&format!("{number}-{}", endpoint.incarnation));
        endpoint.incarnation += 1;
        let running = std::mem::take(&mut endpoint.running);
        self.schedule(self.now + RESTART_MS, Event::EndpointUp(number));
        let mut suspects: BTreeMap<usize, Vec<Suspect>> = BTreeMap::new();
        let mut is_fatal = false;
        for id in running {
            let Some(request) = self.requests.remove(&id) else {
                continue;
            };
            is_fatal |= request.prompt.is_fatal;
            let suspect = Suspect {
                caller: caller(&request.prompt),
                parts: request.prompt.parts,
                known: request.known,
            };
            suspects.entry(request.instance).or_default().push(suspect);
        }
        for (at, suspects) in suspects {
            let incarnation = self.instances[at].incarnation;
            let diagnosed = Event::Diagnosed {
                at,
                incarnation,
                crash,
                suspects,
            };
            self.schedule(self.now + DIAGNOSIS_MS, diagnosed);
        }
        if is_fatal {
            self.count_crash();
        }
    }

    fn count_crash(&mut self) {
        self.outcome.ended += 1;
        self.last_crash = Some(self.now);
        if self.outcome.ended == PROVING_CRASHES {
            self.proven_at = Some(self.now);
        }
        if self.outcome.ended == 1 && self.scenario.trouble == Trouble::Instances {
            self.schedule(self.now + 1, Event::LoseInstances);
        }
    }

    fn record(&mut self, at: usize, crash: Crash, suspects: &[Suspect]) {
        let now = Moment(self.now);
        let tracker = &mut self.instances[at].tracker;
        let updates: Vec<Update> = suspects
            .iter()
            .flat_map(|suspect| tracker.record(suspect, crash, now))
            .collect();
        self.broadcast(at, updates);
    }

    fn merge(&mut self, to: usize, updates: &[Update]) {
        if self.instances[to].is_up {
            for update in updates {
                self.instances[to].tracker.merge(update, Moment(self.now));
            }
        }
    }

    /// Sends updates to all other instances, the urgent ones twice. A refusal and its release also pass through the store.
    fn broadcast(&mut self, from: usize, updates: Vec<Update>) {
        if updates.is_empty() || self.way == Way::WholeRequests {
            return;
        }
        let urgent: Rc<[Update]> = updates.iter().filter(|u| u.is_urgent()).cloned().collect();
        let stored: Rc<[Update]> = updates.iter().filter(|u| u.is_refusal()).cloned().collect();
        let updates: Rc<[Update]> = updates.into();
        for to in (0..self.size.instances).filter(|to| *to != from) {
            self.send_update(to, &updates, BATCH_MS);
            self.send_update(to, &urgent, BATCH_MS + RESEND_MS);
            if !stored.is_empty() {
                let at = self.now + self.random.random_range(STORE_MS);
                let updates = Rc::clone(&stored);
                self.schedule(at, Event::UpdatesArrive { to, updates });
            }
        }
        self.store.extend(stored.iter().cloned());
    }

    fn send_update(&mut self, to: usize, updates: &Rc<[Update]>, delay: u64) {
        if updates.is_empty() || self.random.random_bool(MESSAGE_LOSS) {
            return;
        }
        let at = self.now + delay + self.random.random_range(MESSAGE_MS);
        let updates = Rc::clone(updates);
        self.schedule(at, Event::UpdatesArrive { to, updates });
    }

    fn kill(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        instance.tracker = Tracker::new(self.way);
        instance.incarnation += 1;
        instance.is_up = false;
        self.requests
            .retain(|_, request| request.instance != number);
        self.schedule(self.now + INSTANCE_RESTART_MS, Event::InstanceUp(number));
    }
}

fn caller(prompt: &Prompt) -> Caller {
    Caller::of([&[prompt.caller][..]])
}
