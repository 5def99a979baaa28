//! Daemons that compete for one engine.

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

use daemon::{Daemon, News};
use describe::{message as describe_message, record as describe};
use engine::Engine;

/// How long an order may still arrive after its sender ended, in every world.
pub const ORDER_LAG: Duration = Duration::from_secs(2);

/// A mechanism that is switched off, to show that the checks notice.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Off {
    /// Nothing is off.
    #[default]
    Nothing,
    /// Tokens are not shown before the first request.
    Fence,
    /// Unloads are not announced on engines that check no token.
    Intent,
    /// Announcements of earlier owners are not heeded.
    Doubt,
    /// Adapters are unloaded without waiting for earlier owners to be settled.
    Settle,
}

/// The make-up of a world.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// The number of daemons.
    pub daemons: usize,
    /// Whether the engine checks tokens.
    pub checks_tokens: bool,
    /// The engine's slots.
    pub slots: u32,
    /// The mechanism that is off.
    pub off: Off,
}

/// Something on its way to the engine.
#[derive(Debug, Clone)]
enum Message {
    Run(Request, Variant),
    Load(Variant, Token),
    Unload(Variant, Token),
    Fence(Token),
}

/// A message and its sender.
#[derive(Debug, Clone)]
struct Sent {
    from: Life,
    message: Message,
}

/// A life that was killed, and until when what it sent may arrive and run.
#[derive(Debug, Clone)]
struct Dying {
    life: Life,
    until: Moment,
}

/// The world: daemons, a log and an engine.
#[derive(Debug)]
pub struct World {
    plan: Plan,
    now: Moment,
    log: Vec<Record>,
    log_out: bool,
    lose_appends: u32,
    engine: Engine,
    daemons: Vec<Daemon>,
    wanted: usize,
    silent: BTreeSet<usize>,
    on_the_way: Vec<Sent>,
    dying: Vec<Dying>,
    ran: BTreeSet<Request>,
    refused: BTreeSet<Request>,
    violations: Vec<String>,
    events: Vec<String>,
}

/// Returns the endpoint that all daemons compete for.
pub(crate) fn endpoint() -> Endpoint {
    Endpoint::new("engine").expect("the constant is a name")
}

/// Makes an adapter's only version of its name.
pub fn variant(adapter: &str) -> Variant {
    Variant {
        adapter: Adapter::new(adapter).expect("scripts use names"),
        version: Version::new("v1").expect("the constant is a name"),
    }
}

fn life(index: usize, incarnation: u64) -> Life {
    Life {
        instance: Instance::new(&format!("d{}", index + 1)).expect("the text is a name"),
        incarnation: Incarnation(incarnation),
    }
}

impl World {
    /// Starts a world in which the first daemon is wanted as the owner.
    pub fn new(plan: Plan) -> Self {
        let daemons = (0..plan.daemons)
            .map(|index| Daemon::new(life(index, 1), plan))
            .collect();
        Self {
            plan,
            now: Moment(1000),
            log: Vec::new(),
            log_out: false,
            lose_appends: 0,
            engine: Engine::new(plan.checks_tokens, plan.slots),
            daemons,
            wanted: 0,
            silent: BTreeSet::new(),
            on_the_way: Vec::new(),
            dying: Vec::new(),
            ran: BTreeSet::new(),
            refused: BTreeSet::new(),
            violations: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Returns the promises broken so far.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<String> {
        std::mem::take(&mut self.events)
    }

    fn note(&mut self, event: &str) {
        self.events.push(format!("{:>6} {event}", self.now.0));
    }

    /// Says which daemon the hash chooses as the owner.
    pub fn want(&mut self, index: usize) {
        self.wanted = index;
    }

    /// Marks a daemon as silent for so long that others count it as gone, or as heard again.
    pub fn set_silent(&mut self, index: usize, silent: bool) {
        if silent {
            self.silent.insert(index);
        } else {
            self.silent.remove(&index);
        }
    }

    /// Stops a daemon from doing anything, or lets it go on.
    pub fn set_paused(&mut self, index: usize, paused: bool) {
        self.daemons[index].troubles.paused = paused;
    }

    /// Keeps what a daemon sends on its way, as if it were paused between its last check and the
    /// write, or lets it arrive.
    pub fn set_held(&mut self, index: usize, held: bool) {
        self.daemons[index].troubles.held = held;
        if !held {
            self.deliver(index);
        }
    }

    /// Cuts a daemon off from the log, or joins it again.
    pub fn set_cut(&mut self, index: usize, cut: bool) {
        self.daemons[index].troubles.cut = cut;
    }

    /// Cuts a daemon off from the engine's answers, or joins it again.
    pub fn set_deaf(&mut self, index: usize, deaf: bool) {
        self.daemons[index].troubles.deaf = deaf;
    }

    /// Switches the log off or on.
    pub fn set_log_out(&mut self, out: bool) {
        self.log_out = out;
    }

    /// Has the next appends take effect while their answers are lost.
    pub fn lose_appends(&mut self, count: u32) {
        self.lose_appends = count;
    }

    /// Kills a daemon and starts its next life. What it sent may arrive until the order lag is
    /// over, and what it ran may run as long.
    pub fn kill(&mut self, index: usize) {
        let before = self.daemons[index].life().clone();
        self.note(&format!("{before} is killed"));
        let next = life(index, before.incarnation.0 + 1);
        self.daemons[index] = Daemon::new(next, self.plan);
        for daemon in &mut self.daemons {
            daemon.holds.mark_ended(&before, self.now);
        }
        self.dying.push(Dying {
            life: before,
            until: self.now + ORDER_LAG,
        });
    }

    /// Lets what killed daemons had sent arrive now.
    pub fn deliver_dead(&mut self) {
        let lives: Vec<Life> = self.dying.iter().map(|dying| dying.life.clone()).collect();
        for life in lives {
            self.deliver_from(&life);
        }
    }

    /// Ends what is left of lives whose order lag is over.
    fn bury(&mut self) {
        let now = self.now;
        let (over, left): (Vec<Dying>, Vec<Dying>) = std::mem::take(&mut self.dying)
            .into_iter()
            .partition(|dying| dying.until <= now);
        self.dying = left;
        for dying in over {
            self.deliver_from(&dying.life);
            self.engine.drop_runs_of(&dying.life);
        }
    }

    /// Restarts the engine: nothing is loaded, nothing runs, every token is forgotten.
    pub fn restart_engine(&mut self) {
        self.note("engine restarts");
        self.engine.restart();
    }

    /// Hands a request to a daemon, as an entry would.
    pub fn submit(&mut self, index: usize, request: &str, adapter: &str) {
        let request = Request::new(request).expect("scripts use names");
        let action = self.daemons[index].submit(request.clone(), variant(adapter), self.now);
        self.note(&format!(
            "{} gets {request} for {adapter}",
            self.daemons[index].life()
        ));
        self.act(index, action);
    }

    /// Ends a run at the engine.
    pub fn finish(&mut self, request: &str) {
        let Some(owner) = self.engine.finish(request) else {
            return;
        };
        self.note(&format!("engine finishes {request}"));
        let request = Request::new(request).expect("scripts use names");
        self.tell(&owner, News::Finished(request));
    }

    /// Lists the daemons that take themselves for the owner.
    pub fn owners(&self) -> Vec<usize> {
        let daemons = self.daemons.iter().enumerate();
        let owners = daemons.filter(|(_, daemon)| daemon.is_owner());
        owners.map(|(index, _)| index).collect()
    }

    /// Lists the runs at the engine.
    pub fn running(&self) -> Vec<Request> {
        self.engine.running()
    }

    /// Moves the clock and lets every daemon that can act once.
    pub fn tick(&mut self, millis: u64) {
        self.now = Moment(self.now.0 + millis);
        self.bury();
        for index in 0..self.daemons.len() {
            self.turn(index);
        }
        self.check();
    }

    /// Lets one daemon read the log, plan and act.
    pub fn turn(&mut self, index: usize) {
        if self.daemons[index].troubles.paused {
            return;
        }
        self.read(index);
        self.plan_owner(index);
        let report = self.engine.report();
        let actions = self.daemons[index].step(&report, self.now);
        self.act(index, actions);
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
        if self.log_out || self.daemons[index].troubles.cut {
            return;
        }
        let from = self.daemons[index].read;
        for place in from..self.log.len() {
            let record = self.log[place].clone();
            let offset = Offset(place as u64 + 1);
            let now = self.now;
            let told = self.daemons[index].apply(offset, &record, now);
            if let Some((event, actions)) = told {
                let life = self.daemons[index].life().clone();
                self.note(&format!("{life} {event}"));
                self.act(index, actions);
            }
        }
        self.daemons[index].read = self.log.len();
    }

    fn plan_owner(&mut self, index: usize) {
        let instance = self.daemons[self.wanted].life().instance.clone();
        let desired = BTreeMap::from([(endpoint(), instance)]);
        let heard = self.daemons.iter().enumerate();
        let heard = heard.filter(|(index, _)| !self.silent.contains(index));
        let present: Vec<Life> = heard.map(|(_, daemon)| daemon.life().clone()).collect();
        let standing = |life: &Life| {
            if present.contains(life) {
                Liveness::Present
            } else {
                Liveness::Gone
            }
        };
        let now = self.now;
        let log_answers = !self.log_out && !self.daemons[index].troubles.cut;
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
        if self.log_out || self.daemons[index].troubles.cut {
            self.note(&format!("{life} cannot append"));
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
        self.note(&format!(
            "{life} appends {offset}: {}{lost}",
            describe(&record)
        ));
        self.log.push(record);
    }

    fn act(&mut self, index: usize, actions: Vec<daemon::Act>) {
        for action in actions {
            match action {
                daemon::Act::Append(record) => self.append(index, record),
                daemon::Act::Send(message) => self.send(index, message),
                daemon::Act::Refuse(request, code) => {
                    let life = self.daemons[index].life().clone();
                    self.note(&format!("{life} refuses {request}: {}", code.name()));
                    self.refused.insert(request);
                }
            }
        }
    }

    fn send(&mut self, index: usize, message: Message) {
        let from = self.daemons[index].life().clone();
        let held = self.daemons[index].troubles.held;
        self.note(&format!(
            "{from} sends {}{}",
            describe_message(&message),
            if held { ", held" } else { "" }
        ));
        let sent = Sent { from, message };
        if held {
            self.on_the_way.push(sent);
        } else {
            self.arrive(&sent);
        }
    }

    fn deliver(&mut self, index: usize) {
        let life = self.daemons[index].life().clone();
        self.deliver_from(&life);
    }

    fn deliver_from(&mut self, life: &Life) {
        let all = std::mem::take(&mut self.on_the_way);
        let (arriving, staying): (Vec<Sent>, Vec<Sent>) =
            all.into_iter().partition(|sent| sent.from == *life);
        self.on_the_way = staying;
        for sent in arriving {
            self.note(&format!("late: {}", describe_message(&sent.message)));
            self.arrive(&sent);
        }
    }

    fn arrive(&mut self, sent: &Sent) {
        let (news, event) = match &sent.message {
            Message::Run(request, variant) => {
                let runs = self.engine.run(request, variant, &sent.from);
                if runs {
                    self.ran.insert(request.clone());
                }
                (News::Ran(request.clone(), runs), runs)
            }
            Message::Load(variant, token) => {
                let loads = self.engine.load(variant, *token);
                (News::Loaded(variant.clone(), loads), loads)
            }
            Message::Unload(variant, token) => {
                let unloads = self.engine.unload(variant, *token);
                (News::Unloaded(variant.clone(), unloads), unloads)
            }
            Message::Fence(token) => {
                let sees = self.engine.fence(*token);
                (News::Shown(*token, self.engine.incarnation(), sees), sees)
            }
        };
        if !event {
            self.note(&format!(
                "engine refuses {}",
                describe_message(&sent.message)
            ));
        }
        self.tell(&sent.from.clone(), news);
    }

    fn tell(&mut self, life: &Life, news: News) {
        let now = self.now;
        let daemon = self.daemons.iter_mut().find(|daemon| daemon.life() == life);
        let Some(daemon) = daemon else { return };
        let acts = daemon.hear(news, now);
        let index = self.daemons.iter().position(|daemon| daemon.life() == life);
        if let Some(index) = index {
            self.act(index, acts);
        }
    }

    fn check(&mut self) {
        let unloaded = self.engine.take_unloaded_in_use();
        for variant in unloaded {
            self.violate(format!("{variant} was unloaded under a running request"));
        }
        let both: Vec<Request> = self.ran.intersection(&self.refused).cloned().collect();
        for request in both {
            self.violate(format!("{request} was refused as not run, and ran"));
            self.refused.remove(&request);
        }
    }

    fn violate(&mut self, what: String) {
        self.note(&format!("BROKEN: {what}"));
        self.violations.push(what);
    }

    /// Describes the owner, the engine's slots and its runs.
    pub fn describe(&self) -> String {
        let owner = self.daemons.iter().filter(|daemon| daemon.is_owner());
        let owners: Vec<String> = owner.map(|daemon| daemon.life().to_string()).collect();
        format!("owners [{}]; {}", owners.join(" "), self.engine.describe())
    }
}
