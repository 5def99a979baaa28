//! Who owns which endpoint, and what the owner may do.
//!
//! Ownership goes to the newest claim in the log. A claim that was overtaken does not stop its
//! author at once: the author may be paused, or cut off from the log. No rule here rests on how
//! long that takes, except for the lag of orders whose sender has ended.
//!
//! 1. On an engine that checks tokens, an owner shows its token before it sends anything, so that
//!    an earlier owner's orders are refused from then on ([`crate::tenure`]).
//! 2. On an engine that checks no token, an unload is announced in the log first, and only an
//!    announcement that comes before the next claim may be followed. A successor has read them
//!    all, and keeps requests away from what they name until the earlier life is settled.
//! 3. A successor unloads nothing until every earlier life is settled: it wrote [`Record::Quit`],
//!    or it ended and the order lag has passed. Until then one of its requests may still arrive.
//!
//! Sending requests and loading into free slots needs no reading of the log at all: by rule 3
//! nobody unloads under them. That is what goes on while the log is out.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ploverwick_names::{Endpoint, Instance, Life, Moment, Offset, Token, Variant};

use crate::record::Record;

/// How long a planned append is waited for before it is planned again.
const PLAN_PATIENCE: Duration = Duration::from_secs(2);
/// How long after its claim an owner that membership does not know yet is left alone.
const CLAIM_GRACE: Duration = Duration::from_secs(3);

/// The spans that the rules use.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// How long an order may still arrive after its sender ended.
    pub order_lag: Duration,
    /// How often a claim is appended again, so that it outlives the log's retention.
    pub refresh: Duration,
}

/// What membership says of an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It answers, or may answer soon.
    Present,
    /// It is leaving or silent for so long that another instance is to take over.
    Gone,
}

/// What this daemon may do with an endpoint now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Permit {
    /// The fencing token to show.
    pub token: Token,
    /// Whether every earlier owner is settled, so that adapters may be unloaded.
    pub settled: bool,
    /// Adapters on which an earlier owner's unload may still strike.
    pub doubtful: BTreeSet<Variant>,
}

/// The state of one endpoint's ownership.
#[derive(Debug, Clone)]
struct Hold {
    owner: Life,
    token: Token,
    claimed_at: Moment,
    released: bool,
    quit: bool,
    earlier: BTreeSet<Life>,
    intents: Vec<Intent>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Intent {
    life: Life,
    variant: Variant,
}

/// What a record changed for this daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// This daemon owns the endpoint now.
    Gained(Endpoint, Token),
    /// Another life owns the endpoint now.
    Lost(Endpoint),
    /// This daemon's announcement stands in the log while it is the owner.
    Announced(Endpoint, Variant),
    /// This daemon's announcement came after another's claim and must not be followed.
    Overtaken(Endpoint, Variant),
}

/// All endpoints' ownership, as this daemon has read it.
#[derive(Debug)]
pub struct Controller {
    me: Life,
    config: Config,
    holds: BTreeMap<Endpoint, Hold>,
    ended: BTreeMap<Life, Moment>,
    planned: BTreeMap<Endpoint, Moment>,
}

impl Controller {
    /// Starts with an empty stream.
    pub fn new(me: Life, config: Config) -> Self {
        Self {
            me,
            config,
            holds: BTreeMap::new(),
            ended: BTreeMap::new(),
            planned: BTreeMap::new(),
        }
    }

    /// Returns this daemon's life.
    pub fn me(&self) -> &Life {
        &self.me
    }

    /// Returns an endpoint's owner, unless it has released the endpoint.
    pub fn owner(&self, endpoint: &Endpoint) -> Option<&Life> {
        let hold = self.holds.get(endpoint)?;
        (!hold.released).then_some(&hold.owner)
    }

    /// Returns an endpoint's newest fencing token.
    pub fn token(&self, endpoint: &Endpoint) -> Option<Token> {
        self.holds.get(endpoint).map(|hold| hold.token)
    }

    /// Takes into account that records were lost to retention. Nobody is known to own anything
    /// then; live owners claim again, and those that were known count as earlier ones.
    pub fn lost_records(&mut self) -> Vec<Change> {
        let mut lost = Vec::new();
        for (endpoint, hold) in &mut self.holds {
            if hold.owner == self.me && !hold.released {
                lost.push(Change::Lost(endpoint.clone()));
            }
            hold.released = true;
        }
        lost
    }

    /// Says that a life's process is known to have ended.
    pub fn ended(&mut self, life: &Life, now: Moment) {
        self.ended.entry(life.clone()).or_insert(now);
    }

    /// Lists the lives that are not settled, for which an end would be news.
    pub fn unsettled(&self) -> Vec<Life> {
        let holds = self.holds.values();
        let lives: BTreeSet<&Life> = holds
            .flat_map(|hold| hold.earlier.iter().chain(std::iter::once(&hold.owner)))
            .filter(|life| **life != self.me && !self.ended.contains_key(life))
            .collect();
        lives.into_iter().cloned().collect()
    }

    /// Takes the next record of the stream into account.
    pub fn apply(&mut self, offset: Offset, record: &Record, now: Moment) -> Option<Change> {
        match record {
            Record::Claim { endpoint, life } => self.claim(endpoint, life, offset.into(), now),
            Record::Release { endpoint, life } => {
                let hold = self.held_by(endpoint, life)?;
                hold.released = true;
                None
            }
            Record::Quit { endpoint, life } => {
                self.quit(endpoint, life);
                None
            }
            Record::Intent {
                endpoint,
                life,
                variant,
                ..
            } => self.intent(endpoint, life, variant),
            Record::Outcome {
                endpoint,
                life,
                variant,
            } => {
                let hold = self.holds.get_mut(endpoint)?;
                hold.intents
                    .retain(|intent| intent.life != *life || intent.variant != *variant);
                None
            }
        }
    }

    fn held_by(&mut self, endpoint: &Endpoint, life: &Life) -> Option<&mut Hold> {
        let hold = self.holds.get_mut(endpoint)?;
        (hold.owner == *life).then_some(hold)
    }

    fn claim(
        &mut self,
        endpoint: &Endpoint,
        life: &Life,
        token: Token,
        now: Moment,
    ) -> Option<Change> {
        self.planned.remove(endpoint);
        let me = self.me.clone();
        let mut was_mine = false;
        match self.holds.get_mut(endpoint) {
            Some(hold) if hold.owner == *life => {
                hold.token = token;
                hold.claimed_at = now;
                hold.released = false;
                hold.quit = false;
            }
            Some(hold) => {
                was_mine = hold.owner == me;
                let before = std::mem::replace(&mut hold.owner, life.clone());
                if !hold.quit {
                    hold.earlier.insert(before);
                }
                hold.earlier.remove(life);
                hold.token = token;
                hold.claimed_at = now;
                hold.released = false;
                hold.quit = false;
            }
            None => {
                self.holds
                    .insert(endpoint.clone(), Hold::first(life, token, now));
            }
        }
        if *life == me {
            return Some(Change::Gained(endpoint.clone(), token));
        }
        was_mine.then(|| Change::Lost(endpoint.clone()))
    }

    fn quit(&mut self, endpoint: &Endpoint, life: &Life) {
        let Some(hold) = self.holds.get_mut(endpoint) else {
            return;
        };
        hold.earlier.remove(life);
        hold.intents.retain(|intent| intent.life != *life);
        if hold.owner == *life && hold.released {
            hold.quit = true;
        }
    }

    fn intent(&mut self, endpoint: &Endpoint, life: &Life, variant: &Variant) -> Option<Change> {
        let mine = *life == self.me;
        let Some(hold) = self.held_by(endpoint, life) else {
            return mine.then(|| Change::Overtaken(endpoint.clone(), variant.clone()));
        };
        hold.intents.push(Intent {
            life: life.clone(),
            variant: variant.clone(),
        });
        mine.then(|| Change::Announced(endpoint.clone(), variant.clone()))
    }

    /// Says what this daemon may do with an endpoint; `None` if another owns it.
    pub fn permit(&self, endpoint: &Endpoint, now: Moment) -> Option<Permit> {
        let hold = self.holds.get(endpoint)?;
        if hold.owner != self.me || hold.released {
            return None;
        }
        let settled = hold.earlier.iter().all(|life| self.settled(life, now));
        let doubtful = hold
            .intents
            .iter()
            .filter(|intent| intent.life != self.me && !self.settled(&intent.life, now))
            .map(|intent| intent.variant.clone())
            .collect();
        Some(Permit {
            token: hold.token,
            settled,
            doubtful,
        })
    }

    /// Says whether nothing of a life can arrive any more. That holds for an earlier life of this
    /// very instance no sooner than for any other.
    fn settled(&self, life: &Life, now: Moment) -> bool {
        let ended = self.ended.get(life);
        ended.is_some_and(|at| now >= *at + self.config.order_lag)
    }

    /// Plans appends so that endpoints come to the instances that should own them. Nothing is
    /// planned while the log is out: an owner that closed an endpoint and could not release it
    /// would leave it without any.
    pub fn plan(
        &mut self,
        desired: &BTreeMap<Endpoint, Instance>,
        standing: impl Fn(&Life) -> Standing,
        log_answers: bool,
        now: Moment,
    ) -> Vec<Record> {
        let mut records = Vec::new();
        if !log_answers {
            return records;
        }
        let unwanted: Vec<Endpoint> = self
            .mine()
            .filter(|endpoint| !desired.contains_key(*endpoint))
            .cloned()
            .collect();
        for endpoint in unwanted {
            if self.may_plan(&endpoint, now) {
                let life = self.me.clone();
                records.push(Record::Release { endpoint, life });
            }
        }
        for (endpoint, instance) in desired {
            let Some(record) = self.step(endpoint, instance, &standing, now) else {
                continue;
            };
            if self.may_plan(endpoint, now) {
                records.push(record);
            }
        }
        records
    }

    /// Says whether nothing was planned for the endpoint lately, and remembers this plan.
    fn may_plan(&mut self, endpoint: &Endpoint, now: Moment) -> bool {
        let earlier = self.planned.get(endpoint);
        let waits = earlier.is_some_and(|since| now < *since + PLAN_PATIENCE);
        if !waits {
            self.planned.insert(endpoint.clone(), now);
        }
        !waits
    }

    fn step(
        &self,
        endpoint: &Endpoint,
        desired: &Instance,
        standing: impl Fn(&Life) -> Standing,
        now: Moment,
    ) -> Option<Record> {
        let for_me = *desired == self.me.instance;
        let claim = || Record::Claim {
            endpoint: endpoint.clone(),
            life: self.me.clone(),
        };
        let Some(hold) = self.holds.get(endpoint) else {
            return for_me.then(claim);
        };
        if hold.owner == self.me {
            if !for_me {
                let release = Record::Release {
                    endpoint: endpoint.clone(),
                    life: self.me.clone(),
                };
                return (!hold.released).then_some(release);
            }
            let due = hold.released || now >= hold.claimed_at + self.config.refresh;
            return due.then(claim);
        }
        let ended = self.ended.contains_key(&hold.owner);
        let gone = standing(&hold.owner) == Standing::Gone && now >= hold.claimed_at + CLAIM_GRACE;
        let free = hold.released || ended || gone;
        (for_me && free).then(claim)
    }

    /// Lists the endpoints that this daemon owns and has not released.
    pub fn mine(&self) -> impl Iterator<Item = &Endpoint> {
        self.holds
            .iter()
            .filter(|(_, hold)| hold.owner == self.me && !hold.released)
            .map(|(endpoint, _)| endpoint)
    }
}

impl Hold {
    fn first(life: &Life, token: Token, now: Moment) -> Self {
        Self {
            owner: life.clone(),
            token,
            claimed_at: now,
            released: false,
            quit: false,
            earlier: BTreeSet::new(),
            intents: Vec::new(),
        }
    }
}
