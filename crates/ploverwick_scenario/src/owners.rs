//! Simulates daemons that compete for the ownership of one engine.

mod daemon;
mod describe;
mod engine;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ploverwick_names::{
    Adapter, Endpoint, Incarnation, Instance, Life, Moment, Offset, Request, Token, Variant,
    Version,
};
use ploverwick_owner::ownership::Liveness;
use ploverwick_owner::record::Record;

use daemon::{Daemon, Response};
use describe::{message as describe_message, record as describe};
use engine::Engine;

/// The longest time that an order can still arrive after its sender was killed.
pub const ORDER_LAG: Duration = Duration::from_secs(2);

/// A mechanism to disable, to prove that the invariant checks detect its absence.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Disabled {
    /// All mechanisms are enabled.
    #[default]
    Nothing,
    /// The fencing token is not presented to the engine before the first request.
    Fence,
    /// Unloads are not announced in the log on engines that ignore fencing tokens.
    Intent,
    /// Unloads announced by earlier owners are disregarded.
    Doubt,
    /// Adapters are unloaded without waiting until earlier owners have settled.
    Settle,
}

/// The parameters of a simulation.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// The number of daemons.
    pub daemons: usize,
    /// Whether the engine enforces fencing tokens.
    pub checks_tokens: bool,
    /// The number of the engine's adapter slots.
    pub slots: u32,
    /// The mechanism to disable.
    pub disabled: Disabled,
}

/// A message from a daemon to the engine.
#[derive(Debug, Clone)]
enum Message {
    Run(Request, Variant),
    Load(Variant, Token),
    Unload(Variant, Token),
    Fence(Token),
}

/// A message with its sender.
#[derive(Debug, Clone)]
struct Envelope {
    from: Life,
    message: Message,
}

/// A killed daemon process, and the time until which its messages may still arrive and its requests
/// may still run.
#[derive(Debug, Clone)]
struct KilledLife {
    life: Life,
    until: Moment,
}

/// A simulation of daemons, a log and an engine.
#[derive(Debug)]
pub struct Simulation {
    setup: Setup,
    now: Moment,
    log: Vec<Record>,
    log_unavailable: bool,
    lose_appends: u32,
    engine: Engine,
    daemons: Vec<Daemon>,
    desired_owner: usize,
    silent: BTreeSet<usize>,
    in_flight: Vec<Envelope>,
    killed: Vec<KilledLife>,
    ran: BTreeSet<Request>,
    refused: BTreeSet<Request>,
    violations: Vec<String>,
    events: Vec<String>,
}

/// Returns the endpoint that all daemons compete for.
pub(crate) fn endpoint() -> Endpoint {
    Endpoint::new("engine").expect("the constant is a valid name")
}

/// Returns the single version of the named adapter that simulations use.
pub fn variant(adapter: &str) -> Variant {
    Variant {
        adapter: Adapter::new(adapter).expect("scripts use valid names"),
        version: Version::new("v1").expect("the constant is a valid name"),
    }
}

fn life(index: usize, incarnation: u64) -> Life {
    Life {
        instance: Instance::new(&format!("d{}", index + 1)).expect("the text is a valid name"),
        incarnation: Incarnation(incarnation),
    }
}

impl Simulation {
    /// Creates a simulation in which the first daemon is the desired owner.
    pub fn new(setup: Setup) -> Self {
        let daemons = (0..setup.daemons)
            .map(|index| Daemon::new(life(index, 1), setup))
            .collect();
        Self {
            setup,
            now: Moment(1000),
            log: Vec::new(),
            log_unavailable: false,
            lose_appends: 0,
            engine: Engine::new(setup.checks_tokens, setup.slots),
            daemons,
            desired_owner: 0,
            silent: BTreeSet::new(),
            in_flight: Vec::new(),
            killed: Vec::new(),
            ran: BTreeSet::new(),
            refused: BTreeSet::new(),
            violations: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Returns the invariant violations found so far.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Returns and clears the events recorded since the last call.
    pub fn take_events(&mut self) -> Vec<String> {
        std::mem::take(&mut self.events)
    }

    fn record_event(&mut self, event: &str) {
        self.events.push(format!("{:>6} {event}", self.now.0));
    }

    /// Sets the desired owner, which production daemons choose by hashing.
    pub fn set_desired_owner(&mut self, index: usize) {
        self.desired_owner = index;
    }

    /// Sets whether the other daemons consider a daemon dead because they no longer hear from it.
    pub fn set_silent(&mut self, index: usize, silent: bool) {
        if silent {
            self.silent.insert(index);
        } else {
            self.silent.remove(&index);
        }
    }

    /// Pauses or resumes a daemon.
    pub fn set_paused(&mut self, index: usize, paused: bool) {
        self.daemons[index].faults.paused = paused;
    }

    /// Holds back a daemon's messages to the engine, as if it were paused between its last check
    /// and the write, or delivers the messages held back.
    pub fn set_held(&mut self, index: usize, held: bool) {
        self.daemons[index].faults.held = held;
        if !held {
            self.deliver(index);
        }
    }

    /// Partitions a daemon from the log, or heals the partition.
    pub fn set_log_partitioned(&mut self, index: usize, log_partitioned: bool) {
        self.daemons[index].faults.log_partitioned = log_partitioned;
    }

    /// Sets whether a daemon loses the engine's reports and responses.
    pub fn set_responses_lost(&mut self, index: usize, responses_lost: bool) {
        self.daemons[index].faults.responses_lost = responses_lost;
    }

    /// Makes the log unavailable or available.
    pub fn set_log_unavailable(&mut self, unavailable: bool) {
        self.log_unavailable = unavailable;
    }

    /// Lets the next `count` appends take effect but loses their responses.
    pub fn lose_appends(&mut self, count: u32) {
        self.lose_appends = count;
    }

    /// Kills a daemon and restarts it with the next incarnation. Messages of the killed process may
    /// still arrive, and its requests may still run, until the order lag has passed.
    pub fn kill(&mut self, index: usize) {
        let before = self.daemons[index].life().clone();
        self.record_event(&format!("{before} is killed"));
        let next = life(index, before.incarnation.0 + 1);
        self.daemons[index] = Daemon::new(next, self.setup);
        for daemon in &mut self.daemons {
            daemon.holds.mark_ended(&before, self.now);
        }
        self.killed.push(KilledLife {
            life: before,
            until: self.now + ORDER_LAG,
        });
    }

    /// Delivers the messages of all killed processes now.
    pub fn deliver_killed(&mut self) {
        let lives: Vec<Life> = self
            .killed
            .iter()
            .map(|killed| killed.life.clone())
            .collect();
        for life in lives {
            self.deliver_from(&life);
        }
    }

    /// Delivers the last messages of killed processes whose order lag has passed, and cancels their
    /// runs.
    fn expire_killed(&mut self) {
        let now = self.now;
        let (expired, remaining): (Vec<KilledLife>, Vec<KilledLife>) =
            std::mem::take(&mut self.killed)
                .into_iter()
                .partition(|killed| killed.until <= now);
        self.killed = remaining;
        for killed in expired {
            self.deliver_from(&killed.life);
            self.engine.cancel_runs_of(&killed.life);
        }
    }

    /// Restarts the engine, which loses its loaded adapters, its runs and the newest token.
    pub fn restart_engine(&mut self) {
        self.record_event("engine restarts");
        self.engine.restart();
    }

    /// Submits a request to a daemon, as an entry instance does.
    pub fn submit(&mut self, index: usize, request: &str, adapter: &str) {
        let request = Request::new(request).expect("scripts use valid names");
        let action = self.daemons[index].submit(request.clone(), variant(adapter), self.now);
        self.record_event(&format!(
            "{} gets {request} for {adapter}",
            self.daemons[index].life()
        ));
        self.perform(index, action);
    }

    /// Completes a request that runs on the engine.
    pub fn finish(&mut self, request: &str) {
        let Some(owner) = self.engine.finish(request) else {
            return;
        };
        self.record_event(&format!("engine finishes {request}"));
        let request = Request::new(request).expect("scripts use valid names");
        self.notify(&owner, Response::Finished(request));
    }

    /// Returns the daemons that consider themselves the owner.
    pub fn owners(&self) -> Vec<usize> {
        let daemons = self.daemons.iter().enumerate();
        let owners = daemons.filter(|(_, daemon)| daemon.is_owner());
        owners.map(|(index, _)| index).collect()
    }

    /// Returns the requests that run on the engine.
    pub fn running(&self) -> Vec<Request> {
        self.engine.running()
    }

    /// Advances the clock, lets every daemon take a turn, and checks the invariants.
    pub fn tick(&mut self, millis: u64) {
        self.now = Moment(self.now.0 + millis);
        self.expire_killed();
        for index in 0..self.daemons.len() {
            self.turn(index);
        }
        self.check_invariants();
    }

    /// Lets one daemon read the log, update its ownership and act, unless it is paused.
    pub fn turn(&mut self, index: usize) {
        if self.daemons[index].faults.paused {
            return;
        }
        self.read(index);
        self.update_ownership(index);
        let report = self.engine.report();
        let actions = self.daemons[index].step(&report, self.now);
        self.perform(index, actions);
        if let Some(token) = self.daemons[index].token_to_show(self.now) {
            self.send(index, Message::Fence(token));
        }
        if self.daemons[index].quits() {
            let record = Record::Quit {
                endpoint: endpoint(),
                life: self.daemons[index].life().clone(),
            };
            self.append(index, record);
        }
    }

    fn read(&mut self, index: usize) {
        if self.log_unavailable || self.daemons[index].faults.log_partitioned {
            return;
        }
        let from = self.daemons[index].read;
        for position in from..self.log.len() {
            let record = self.log[position].clone();
            let offset = Offset(position as u64 + 1);
            let now = self.now;
            let change = self.daemons[index].apply(offset, &record, now);
            if let Some((event, actions)) = change {
                let life = self.daemons[index].life().clone();
                self.record_event(&format!("{life} {event}"));
                self.perform(index, actions);
            }
        }
        self.daemons[index].read = self.log.len();
    }

    fn update_ownership(&mut self, index: usize) {
        let instance = self.daemons[self.desired_owner].life().instance.clone();
        let desired = BTreeMap::from([(endpoint(), instance)]);
        let reachable = self.daemons.iter().enumerate();
        let reachable = reachable.filter(|(index, _)| !self.silent.contains(index));
        let present: Vec<Life> = reachable.map(|(_, daemon)| daemon.life().clone()).collect();
        let standing = |life: &Life| {
            if present.contains(life) {
                Liveness::Present
            } else {
                Liveness::Gone
            }
        };
        let now = self.now;
        let log_answers = !self.log_unavailable && !self.daemons[index].faults.log_partitioned;
        let holds = &mut self.daemons[index].holds;
        let records = holds.plan(&desired, standing, log_answers, now);
        for record in records {
            if matches!(record, Record::Release { .. }) && !self.daemons[index].may_release() {
                continue;
            }
            self.append(index, record);
        }
    }

    fn append(&mut self, index: usize, record: Record) {
        let life = self.daemons[index].life().clone();
        if self.log_unavailable || self.daemons[index].faults.log_partitioned {
            self.record_event(&format!("{life} cannot append"));
            self.daemons[index].not_appended(&record, self.now);
            return;
        }
        let offset = self.log.len() + 1;
        let lost = if self.lose_appends > 0 {
            self.lose_appends -= 1;
            ", the answer is lost"
        } else {
            ""
        };
        self.record_event(&format!(
            "{life} appends {offset}: {}{lost}",
            describe(&record)
        ));
        self.log.push(record);
    }

    fn perform(&mut self, index: usize, actions: Vec<daemon::Effect>) {
        for action in actions {
            match action {
                daemon::Effect::Append(record) => self.append(index, record),
                daemon::Effect::Send(message) => self.send(index, message),
                daemon::Effect::Refuse(request, code) => {
                    let life = self.daemons[index].life().clone();
                    self.record_event(&format!("{life} refuses {request}: {}", code.name()));
                    self.refused.insert(request);
                }
            }
        }
    }

    fn send(&mut self, index: usize, message: Message) {
        let from = self.daemons[index].life().clone();
        let held = self.daemons[index].faults.held;
        self.record_event(&format!(
            "{from} sends {}{}",
            describe_message(&message),
            if held { ", held" } else { "" }
        ));
        let envelope = Envelope { from, message };
        if held {
            self.in_flight.push(envelope);
        } else {
            self.arrive(&envelope);
        }
    }

    fn deliver(&mut self, index: usize) {
        let life = self.daemons[index].life().clone();
        self.deliver_from(&life);
    }

    fn deliver_from(&mut self, life: &Life) {
        let all = std::mem::take(&mut self.in_flight);
        let (arriving, remaining): (Vec<Envelope>, Vec<Envelope>) =
            all.into_iter().partition(|envelope| envelope.from == *life);
        self.in_flight = remaining;
        for envelope in arriving {
            self.record_event(&format!("late: {}", describe_message(&envelope.message)));
            self.arrive(&envelope);
        }
    }

    /// Lets the engine process a message and returns its response to the sender.
    fn arrive(&mut self, envelope: &Envelope) {
        let (response, accepted) = match &envelope.message {
            Message::Run(request, variant) => {
                let runs = self.engine.run(request, variant, &envelope.from);
                if runs {
                    self.ran.insert(request.clone());
                }
                (Response::Ran(request.clone(), runs), runs)
            }
            Message::Load(variant, token) => {
                let loads = self.engine.load(variant, *token);
                (Response::Loaded(variant.clone(), loads), loads)
            }
            Message::Unload(variant, token) => {
                let unloads = self.engine.unload(variant, *token);
                (Response::Unloaded(variant.clone(), unloads), unloads)
            }
            Message::Fence(token) => {
                let sees = self.engine.fence(*token);
                (
                    Response::Fenced(*token, self.engine.incarnation(), sees),
                    sees,
                )
            }
        };
        if !accepted {
            self.record_event(&format!(
                "engine refuses {}",
                describe_message(&envelope.message)
            ));
        }
        self.notify(&envelope.from.clone(), response);
    }

    fn notify(&mut self, life: &Life, response: Response) {
        let now = self.now;
        let daemon = self.daemons.iter_mut().find(|daemon| daemon.life() == life);
        let Some(daemon) = daemon else { return };
        let effects = daemon.handle_response(response, now);
        let index = self.daemons.iter().position(|daemon| daemon.life() == life);
        if let Some(index) = index {
            self.perform(index, effects);
        }
    }

    fn check_invariants(&mut self) {
        let unloaded = self.engine.take_unloaded_in_use();
        for variant in unloaded {
            self.report_violation(format!("{variant} was unloaded under a running request"));
        }
        let both: Vec<Request> = self.ran.intersection(&self.refused).cloned().collect();
        for request in both {
            self.report_violation(format!("{request} was refused as not run, and ran"));
            self.refused.remove(&request);
        }
    }

    fn report_violation(&mut self, what: String) {
        self.record_event(&format!("BROKEN: {what}"));
        self.violations.push(what);
    }

    /// Describes the owners and the engine's loaded adapters and runs.
    pub fn describe(&self) -> String {
        let owner = self.daemons.iter().filter(|daemon| daemon.is_owner());
        let owners: Vec<String> = owner.map(|daemon| daemon.life().to_string()).collect();
        format!("owners [{}]; {}", owners.join(" "), self.engine.describe())
    }
}
