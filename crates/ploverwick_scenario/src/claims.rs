//! Entries that claim keys through scribes of one partition.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ploverwick_claims::Key;
use ploverwick_claims::partition::Record;
use ploverwick_claims::scribe::{Answer, ClaimRequest, Config, Outcome, Scribe};
use ploverwick_names::{Caller, Incarnation, Instance, Life, Moment, Offset, Request};

const WINDOW: Duration = Duration::from_mins(10);
const TIMEOUT: Duration = Duration::from_secs(2);
const BATCH: Duration = Duration::from_millis(20);
/// When the world starts, in milliseconds since the Unix epoch.
const EPOCH_MS: u64 = 1_000_000_000;

/// A mechanism that is switched off, to show that the checks notice.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Off {
    /// Nothing is off.
    #[default]
    Nothing,
    /// Entries run without a claim.
    Claim,
    /// A scribe takes a confirmed append for a won claim, without reading the stream back.
    ReadBack,
    /// Entries give keys back although their request ran.
    KeepAfterRun,
}

/// How the log treats an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It takes effect and is confirmed.
    Confirmed,
    /// It takes effect and its answer is lost.
    AnswerLost,
    /// It has no effect, and the scribe knows.
    Refused,
    /// It has no effect, and the scribe does not know.
    Vanished,
}

#[derive(Debug)]
struct Desk {
    scribe: Scribe,
    read: usize,
}

/// A request at its entry.
#[derive(Debug, Clone)]
struct Entered {
    key: String,
    life: Life,
    dispatched: bool,
    over: bool,
}

/// The world: a partition's stream, scribes and requests.
#[derive(Debug)]
pub struct World {
    off: Off,
    now: Moment,
    log: Vec<(u64, Record)>,
    desks: Vec<Desk>,
    requests: BTreeMap<Request, Entered>,
    runs: BTreeMap<String, BTreeSet<Request>>,
    given_back: BTreeSet<Request>,
    violations: Vec<String>,
    events: Vec<String>,
}

fn key(text: &str) -> Key {
    let caller = Caller::new("caller").expect("the constant is a name");
    Key::digest(&caller, text)
}

fn request(text: &str) -> Request {
    Request::new(text).expect("scripts use names")
}

impl World {
    /// Starts a world with some scribes of the same partition.
    pub fn new(scribes: usize, off: Off) -> Self {
        let desks = (0..scribes).map(|_| Desk {
            scribe: new_scribe(),
            read: 0,
        });
        Self {
            off,
            now: Moment(0),
            log: Vec::new(),
            desks: desks.collect(),
            requests: BTreeMap::new(),
            runs: BTreeMap::new(),
            given_back: BTreeSet::new(),
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

    /// Returns how many records the stream has.
    pub fn appended(&self) -> usize {
        self.log.len()
    }

    fn note(&mut self, event: &str) {
        self.events.push(format!("{:>6} {event}", self.now.0));
    }

    fn now_ms(&self) -> u64 {
        EPOCH_MS + self.now.0
    }

    /// Has an entry claim a key for a new request; the key was made `age` ago.
    pub fn ask(&mut self, entry: usize, name: &str, text: &str, scribe: usize, age: Duration) {
        let life = Life {
            instance: Instance::new(&format!("entry-{entry}")).expect("the text is a name"),
            incarnation: Incarnation(1),
        };
        let entered = Entered {
            key: text.to_owned(),
            life: life.clone(),
            dispatched: false,
            over: false,
        };
        self.note(&format!(
            "{life} claims {text} for {name} at scribe {scribe}"
        ));
        self.requests.insert(request(name), entered);
        if self.off == Off::Claim {
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
        let answer = self.desks[scribe].scribe.submit(ask, now_ms, now);
        self.answered(answer);
    }

    /// Has an entry give a key back, as it does for a request that did not run.
    pub fn forfeit(&mut self, name: &str, scribe: usize) {
        let Some(entered) = self.requests.get_mut(&request(name)) else {
            return;
        };
        if entered.dispatched && self.off != Off::KeepAfterRun {
            return;
        }
        // From here on this request is never dispatched.
        entered.over = true;
        let record = Record {
            key: key(&entered.key),
            request: request(name),
            life: entered.life.clone(),
            forfeit: true,
        };
        self.given_back.insert(request(name));
        self.note(&format!("{name} gives its key back at scribe {scribe}"));
        let ask = ClaimRequest {
            record,
            made_ms: self.now_ms(),
        };
        let (now_ms, now) = (self.now_ms(), self.now);
        let _ = self.desks[scribe].scribe.submit(ask, now_ms, now);
    }

    /// Replaces a scribe by a new one that knows nothing.
    pub fn restart_scribe(&mut self, index: usize) {
        self.note(&format!("scribe {index} restarts"));
        self.desks[index] = Desk {
            scribe: new_scribe(),
            read: 0,
        };
    }

    /// Ends an entry: none of its requests is dispatched from here on.
    pub fn kill_entry(&mut self, entry: usize) {
        let name = format!("entry-{entry}");
        self.note(&format!("{name} is killed"));
        for entered in self.requests.values_mut() {
            if entered.life.instance.as_str() == name {
                entered.over = true;
            }
        }
    }

    /// Lets a scribe append its batch, with the given fate.
    pub fn append(&mut self, index: usize, fate: Fate) {
        let now = self.now;
        let Some(records) = self.desks[index].scribe.batch(now) else {
            return;
        };
        let shown: Vec<String> = records.iter().map(describe).collect();
        self.note(&format!(
            "scribe {index} appends [{}]: {fate:?}",
            shown.join(", ")
        ));
        if matches!(fate, Fate::Confirmed | Fate::AnswerLost) {
            let at_ms = self.now_ms();
            self.log
                .extend(records.iter().cloned().map(|record| (at_ms, record)));
        }
        let scribe = &mut self.desks[index].scribe;
        if fate == Fate::Refused {
            scribe.not_appended(records.clone());
        } else {
            scribe.appended();
        }
        if self.off == Off::ReadBack && fate == Fate::Confirmed {
            for record in records.iter().filter(|record| !record.forfeit) {
                self.dispatch(&record.request);
            }
        }
    }

    /// Lets a scribe read the stream, up to `count` records.
    pub fn read(&mut self, index: usize, count: usize) {
        let from = self.desks[index].read;
        let to = self.log.len().min(from + count);
        for place in from..to {
            let (at_ms, record) = self.log[place].clone();
            let offset = Offset(place as u64 + 1);
            let answer = self.desks[index].scribe.apply(offset, at_ms, &record);
            self.answered(answer);
        }
        self.desks[index].read = to;
        if to == self.log.len() {
            self.desks[index].scribe.caught_up();
        }
    }

    /// Moves the clock; scribes give up what waited too long.
    pub fn tick(&mut self, millis: u64) {
        self.now = Moment(self.now.0 + millis);
        let (now_ms, now) = (self.now_ms(), self.now);
        for index in 0..self.desks.len() {
            for answer in self.desks[index].scribe.tick(now_ms, now) {
                self.answered(Some(answer));
            }
        }
    }

    fn answered(&mut self, answer: Option<Answer>) {
        let Some(answer) = answer else { return };
        let shown = match &answer.outcome {
            Outcome::Won => "wins".to_owned(),
            Outcome::Lost(holder) => format!("loses to {}", holder.request),
            Outcome::Expired => "is too old".to_owned(),
            Outcome::Unconfirmed => "is not confirmed".to_owned(),
        };
        self.note(&format!("{} {shown}", answer.request));
        match answer.outcome {
            Outcome::Won => self.dispatch(&answer.request),
            _ => {
                if let Some(entered) = self.requests.get_mut(&answer.request) {
                    entered.over = true;
                }
            }
        }
    }

    /// Runs a request, unless its entry has ended or has given it up.
    fn dispatch(&mut self, request: &Request) {
        let Some(entered) = self.requests.get_mut(request) else {
            return;
        };
        if entered.over || entered.dispatched {
            return;
        }
        entered.dispatched = true;
        let key = entered.key.clone();
        self.note(&format!("{request} runs"));
        let runs = self.runs.entry(key.clone()).or_default();
        runs.insert(request.clone());
        if runs.len() > 1 {
            let what = format!("{key} ran {} times", runs.len());
            self.note(&format!("BROKEN: {what}"));
            self.violations.push(what);
        }
    }
}

fn new_scribe() -> Scribe {
    Scribe::new(Config {
        batch_interval: BATCH,
        window: WINDOW,
        timeout: TIMEOUT,
    })
}

fn describe(record: &Record) -> String {
    let what = if record.forfeit { "back " } else { "" };
    format!("{what}{}", record.request)
}
