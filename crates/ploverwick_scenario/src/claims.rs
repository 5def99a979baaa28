//! Simulates entry instances that claim idempotency keys through the scribes of one partition.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ploverwick_claims::Key;
use ploverwick_claims::partition::Record;
use ploverwick_claims::scribe::{Answer, ClaimRequest, Config, Outcome, Scribe};
use ploverwick_names::{Caller, Incarnation, Instance, Life, Moment, Offset, Request};

const KEY_WINDOW: Duration = Duration::from_mins(10);
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
const BATCH_INTERVAL: Duration = Duration::from_millis(20);
/// The start of the simulation, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_000_000_000;

/// A mechanism to disable, to prove that the invariant checks detect its absence.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Disabled {
    /// All mechanisms are enabled.
    #[default]
    Nothing,
    /// Requests run without claiming their key.
    Claim,
    /// A confirmed append counts as a won claim, without reading the stream back.
    ReadBack,
    /// Keys are forfeited even after their request ran.
    KeepAfterRun,
}

/// The outcome of an append to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The append takes effect and is confirmed.
    Confirmed,
    /// The append takes effect but its response is lost.
    AnswerLost,
    /// The append has no effect and the scribe is told so.
    Refused,
    /// The append has no effect and the scribe is not told.
    Vanished,
}

/// A scribe and its read position in the stream.
#[derive(Debug)]
struct ScribeState {
    scribe: Scribe,
    read: usize,
}

/// The state of a request at its entry instance.
#[derive(Debug, Clone)]
struct RequestState {
    key: String,
    life: Life,
    dispatched: bool,
    ended: bool,
}

/// A simulation of a partition's stream, its scribes and the requests that claim keys.
#[derive(Debug)]
pub struct Simulation {
    disabled: Disabled,
    now: Moment,
    log: Vec<(u64, Record)>,
    scribes: Vec<ScribeState>,
    requests: BTreeMap<Request, RequestState>,
    runs: BTreeMap<String, BTreeSet<Request>>,
    forfeited: BTreeSet<Request>,
    violations: Vec<String>,
    events: Vec<String>,
}

fn key(text: &str) -> Key {
    let caller = Caller::new("caller").expect("the constant is a valid name");
    Key::digest(&caller, text)
}

fn request(text: &str) -> Request {
    Request::new(text).expect("scripts use valid names")
}

impl Simulation {
    /// Creates a simulation with the given number of scribes, all of the same partition.
    pub fn new(scribes: usize, disabled: Disabled) -> Self {
        let scribes = (0..scribes).map(|_| ScribeState {
            scribe: new_scribe(),
            read: 0,
        });
        Self {
            disabled,
            now: Moment(0),
            log: Vec::new(),
            scribes: scribes.collect(),
            requests: BTreeMap::new(),
            runs: BTreeMap::new(),
            forfeited: BTreeSet::new(),
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

    /// Returns the number of records in the stream.
    pub fn appended(&self) -> usize {
        self.log.len()
    }

    fn record_event(&mut self, event: &str) {
        self.events.push(format!("{:>6} {event}", self.now.0));
    }

    fn now_ms(&self) -> u64 {
        START_MS + self.now.0
    }

    /// Lets an entry instance claim a key, created `age` ago, for a new request.
    pub fn ask(&mut self, entry: usize, name: &str, text: &str, scribe: usize, age: Duration) {
        let life = Life {
            instance: Instance::new(&format!("entry-{entry}")).expect("the text is a valid name"),
            incarnation: Incarnation(1),
        };
        let state = RequestState {
            key: text.to_owned(),
            life: life.clone(),
            dispatched: false,
            ended: false,
        };
        self.record_event(&format!(
            "{life} claims {text} for {name} at scribe {scribe}"
        ));
        self.requests.insert(request(name), state);
        if self.disabled == Disabled::Claim {
            self.dispatch(&request(name));
            return;
        }
        let record = Record {
            key: key(text),
            request: request(name),
            life,
            forfeit: false,
        };
        let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let ask = ClaimRequest {
            record,
            made_ms: self.now_ms().saturating_sub(age),
        };
        let (now_ms, now) = (self.now_ms(), self.now);
        let answer = self.scribes[scribe].scribe.submit(ask, now_ms, now);
        self.handle_answer(answer);
    }

    /// Lets an entry instance forfeit the key of a request that did not run.
    pub fn forfeit(&mut self, name: &str, scribe: usize) {
        let Some(state) = self.requests.get_mut(&request(name)) else {
            return;
        };
        if state.dispatched && self.disabled != Disabled::KeepAfterRun {
            return;
        }
        // The request is never dispatched after this point.
        state.ended = true;
        let record = Record {
            key: key(&state.key),
            request: request(name),
            life: state.life.clone(),
            forfeit: true,
        };
        self.forfeited.insert(request(name));
        self.record_event(&format!("{name} gives its key back at scribe {scribe}"));
        let ask = ClaimRequest {
            record,
            made_ms: self.now_ms(),
        };
        let (now_ms, now) = (self.now_ms(), self.now);
        let _ = self.scribes[scribe].scribe.submit(ask, now_ms, now);
    }

    /// Restarts a scribe, which loses its state.
    pub fn restart_scribe(&mut self, index: usize) {
        self.record_event(&format!("scribe {index} restarts"));
        self.scribes[index] = ScribeState {
            scribe: new_scribe(),
            read: 0,
        };
    }

    /// Kills an entry instance: none of its requests is dispatched after this point.
    pub fn kill_entry(&mut self, entry: usize) {
        let name = format!("entry-{entry}");
        self.record_event(&format!("{name} is killed"));
        for state in self.requests.values_mut() {
            if state.life.instance.as_str() == name {
                state.ended = true;
            }
        }
    }

    /// Lets a scribe append its batch, with the given outcome.
    pub fn append(&mut self, index: usize, outcome: AppendOutcome) {
        let now = self.now;
        let Some(records) = self.scribes[index].scribe.batch(now) else {
            return;
        };
        let shown: Vec<String> = records.iter().map(describe).collect();
        self.record_event(&format!(
            "scribe {index} appends [{}]: {outcome:?}",
            shown.join(", ")
        ));
        if matches!(
            outcome,
            AppendOutcome::Confirmed | AppendOutcome::AnswerLost
        ) {
            let at_ms = self.now_ms();
            self.log
                .extend(records.iter().cloned().map(|record| (at_ms, record)));
        }
        let scribe = &mut self.scribes[index].scribe;
        if outcome == AppendOutcome::Refused {
            scribe.not_appended(records.clone());
        } else {
            scribe.appended();
        }
        if self.disabled == Disabled::ReadBack && outcome == AppendOutcome::Confirmed {
            for record in records.iter().filter(|record| !record.forfeit) {
                self.dispatch(&record.request);
            }
        }
    }

    /// Lets a scribe read up to `count` records of the stream.
    pub fn read(&mut self, index: usize, count: usize) {
        let from = self.scribes[index].read;
        let to = self.log.len().min(from + count);
        for position in from..to {
            let (at_ms, record) = self.log[position].clone();
            let offset = Offset(position as u64 + 1);
            let answer = self.scribes[index].scribe.apply(offset, at_ms, &record);
            self.handle_answer(answer);
        }
        self.scribes[index].read = to;
        if to == self.log.len() {
            self.scribes[index].scribe.caught_up();
        }
    }

    /// Advances the clock; scribes time out claims that have waited too long.
    pub fn tick(&mut self, millis: u64) {
        self.now = Moment(self.now.0 + millis);
        let (now_ms, now) = (self.now_ms(), self.now);
        for index in 0..self.scribes.len() {
            for answer in self.scribes[index].scribe.tick(now_ms, now) {
                self.handle_answer(Some(answer));
            }
        }
    }

    fn handle_answer(&mut self, answer: Option<Answer>) {
        let Some(answer) = answer else { return };
        let shown = match &answer.outcome {
            Outcome::Won => "wins".to_owned(),
            Outcome::Lost(holder) => format!("loses to {}", holder.request),
            Outcome::Expired => "is too old".to_owned(),
            Outcome::Unconfirmed => "is not confirmed".to_owned(),
        };
        self.record_event(&format!("{} {shown}", answer.request));
        match answer.outcome {
            Outcome::Won => self.dispatch(&answer.request),
            _ => {
                if let Some(state) = self.requests.get_mut(&answer.request) {
                    state.ended = true;
                }
            }
        }
    }

    /// Runs a request, unless its entry instance was killed or has abandoned it, or it ran before.
    fn dispatch(&mut self, request: &Request) {
        let Some(state) = self.requests.get_mut(request) else {
            return;
        };
        if state.ended || state.dispatched {
            return;
        }
        state.dispatched = true;
        let key = state.key.clone();
        self.record_event(&format!("{request} runs"));
        let runs = self.runs.entry(key.clone()).or_default();
        runs.insert(request.clone());
        if runs.len() > 1 {
            let what = format!("{key} ran {} times", runs.len());
            self.record_event(&format!("BROKEN: {what}"));
            self.violations.push(what);
        }
    }
}

fn new_scribe() -> Scribe {
    Scribe::new(Config {
        batch_interval: BATCH_INTERVAL,
        window: KEY_WINDOW,
        timeout: CLAIM_TIMEOUT,
    })
}

fn describe(record: &Record) -> String {
    let what = if record.forfeit { "back " } else { "" };
    format!("{what}{}", record.request)
}
