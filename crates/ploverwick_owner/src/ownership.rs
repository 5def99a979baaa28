//! Which process owns each endpoint, and what the owner is permitted to do.
//!
//! The latest claim in the log wins. A superseded owner does not stop at once: it may be paused or
//! cut off from the log. No rule here relies on how long that takes, except for the maximum delay
//! of orders whose sender has ended.
//!
//! 1. If the engine checks fencing tokens, an owner shows its token before it sends anything else,
//!    so that the engine refuses orders of earlier owners from then on ([`crate::tenure`]).
//! 2. If the engine does not check tokens, an unload is announced in the log first, and is only
//!    executed if the announcement precedes the next claim. A successor has therefore read every
//!    valid announcement, and sends no requests to the announced adapters until the process that
//!    announced them is settled.
//! 3. A successor unloads nothing until all earlier owners are settled: each has written
//!    [`Record::Quit`], or has ended and the order delay has passed. Until then a request of an
//!    earlier owner may still arrive.
//!
//! Sending requests and loading into free slots does not require reading the log: by rule 3,
//! nobody unloads the adapters in use. Both therefore continue while the log is unavailable.
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ploverwick_names::{Endpoint, Instance, Life, Moment, Offset, Token, Variant};

use crate::record::Record;

/// How long a planned append may take before it is planned again.
const PLAN_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// How long after its claim an owner that membership does not know yet is not replaced.
const CLAIM_GRACE: Duration = Duration::from_secs(3);

/// Delays and intervals of the ownership rules.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// How long an order may still take effect after its sender ended.
    pub order_lag: Duration,
    /// How often an owner repeats its claim, so that the log's retention does not remove it.
    pub refresh: Duration,
}

/// The state of an owner according to membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It responds, or may respond soon.
    Present,
    /// It is leaving, or has been silent for so long that another instance should take over.
    Gone,
}

/// What this process is permitted to do with an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Permit {
    /// The fencing token to show to the engine.
    pub token: Token,
    /// Whether every earlier owner is settled, so that adapters may be unloaded.
    pub settled: bool,
    /// Adapters that an earlier owner's unload order may still remove.
    pub pending_unloads: BTreeSet<Variant>,
}

/// The state of one endpoint's ownership.
#[derive(Debug, Clone)]
struct Ownership {
    owner: Life,
    token: Token,
    claimed_at: Moment,
    released: bool,
    quit: bool,
    earlier_owners: BTreeSet<Life>,
    intents: Vec<Intent>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Intent {
    life: Life,
    variant: Variant,
}

/// A change for this process that a record caused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// This process now owns the endpoint.
    Gained(Endpoint, Token),
    /// Another process now owns the endpoint.
    Lost(Endpoint),
    /// This process's announcement is in the log and valid: it was the owner at that point.
    Announced(Endpoint, Variant),
    /// This process's announcement follows another's claim, so the unload must not be sent.
    Superseded(Endpoint, Variant),
}

/// The ownership of all endpoints, as far as this process has read the log.
#[derive(Debug)]
pub struct Controller {
    me: Life,
    config: Config,
    endpoints: BTreeMap<Endpoint, Ownership>,
    ended: BTreeMap<Life, Moment>,
    planned: BTreeMap<Endpoint, Moment>,
}

impl Controller {
    /// Creates a controller that has read no records.
    pub fn new(me: Life, config: Config) -> Self {
        Self {
            me,
            config,
            endpoints: BTreeMap::new(),
            ended: BTreeMap::new(),
            planned: BTreeMap::new(),
        }
    }

    /// Returns the identity of this process.
    pub fn me(&self) -> &Life {
        &self.me
    }

    /// Returns an endpoint's owner, unless it has released the endpoint.
    pub fn owner(&self, endpoint: &Endpoint) -> Option<&Life> {
        let ownership = self.endpoints.get(endpoint)?;
        (!ownership.released).then_some(&ownership.owner)
    }

    /// Returns an endpoint's newest fencing token.
    pub fn token(&self, endpoint: &Endpoint) -> Option<Token> {
        self.endpoints
            .get(endpoint)
            .map(|ownership| ownership.token)
    }

    /// Handles records lost to retention. No endpoint has a known owner after that: live owners
    /// claim again, and the owners known before count as earlier ones.
    pub fn lost_records(&mut self) -> Vec<Change> {
        let mut lost = Vec::new();
        for (endpoint, ownership) in &mut self.endpoints {
            if ownership.owner == self.me && !ownership.released {
                lost.push(Change::Lost(endpoint.clone()));
            }
            ownership.released = true;
        }
        lost
    }

    /// Records that a process is known to have ended.
    pub fn mark_ended(&mut self, life: &Life, now: Moment) {
        self.ended.entry(life.clone()).or_insert(now);
    }

    /// Lists the owners and earlier owners that are not known to have ended.
    pub fn unsettled(&self) -> Vec<Life> {
        let endpoints = self.endpoints.values();
        let lives: BTreeSet<&Life> = endpoints
            .flat_map(|ownership| {
                ownership
                    .earlier_owners
                    .iter()
                    .chain(std::iter::once(&ownership.owner))
            })
            .filter(|life| **life != self.me && !self.ended.contains_key(life))
            .collect();
        lives.into_iter().cloned().collect()
    }

    /// Applies the next record of the stream.
    pub fn apply(&mut self, offset: Offset, record: &Record, now: Moment) -> Option<Change> {
        match record {
            Record::Claim { endpoint, life } => self.claim(endpoint, life, offset.into(), now),
            Record::Release { endpoint, life } => {
                let ownership = self.owned_by(endpoint, life)?;
                ownership.released = true;
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
                let ownership = self.endpoints.get_mut(endpoint)?;
                ownership
                    .intents
                    .retain(|intent| intent.life != *life || intent.variant != *variant);
                None
            }
        }
    }

    fn owned_by(&mut self, endpoint: &Endpoint, life: &Life) -> Option<&mut Ownership> {
        let ownership = self.endpoints.get_mut(endpoint)?;
        (ownership.owner == *life).then_some(ownership)
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
        match self.endpoints.get_mut(endpoint) {
            Some(ownership) if ownership.owner == *life => {
                ownership.token = token;
                ownership.claimed_at = now;
                ownership.released = false;
                ownership.quit = false;
            }
            Some(ownership) => {
                was_mine = ownership.owner == me;
                let before = std::mem::replace(&mut ownership.owner, life.clone());
                if !ownership.quit {
                    ownership.earlier_owners.insert(before);
                }
                ownership.earlier_owners.remove(life);
                ownership.token = token;
                ownership.claimed_at = now;
                ownership.released = false;
                ownership.quit = false;
            }
            None => {
                self.endpoints
                    .insert(endpoint.clone(), Ownership::new(life, token, now));
            }
        }
        if *life == me {
            return Some(Change::Gained(endpoint.clone(), token));
        }
        was_mine.then(|| Change::Lost(endpoint.clone()))
    }

    fn quit(&mut self, endpoint: &Endpoint, life: &Life) {
        let Some(ownership) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        ownership.earlier_owners.remove(life);
        ownership.intents.retain(|intent| intent.life != *life);
        if ownership.owner == *life && ownership.released {
            ownership.quit = true;
        }
    }

    fn intent(&mut self, endpoint: &Endpoint, life: &Life, variant: &Variant) -> Option<Change> {
        let mine = *life == self.me;
        let Some(ownership) = self.owned_by(endpoint, life) else {
            return mine.then(|| Change::Superseded(endpoint.clone(), variant.clone()));
        };
        ownership.intents.push(Intent {
            life: life.clone(),
            variant: variant.clone(),
        });
        mine.then(|| Change::Announced(endpoint.clone(), variant.clone()))
    }

    /// Returns what this process may do with an endpoint, or `None` if it is not the owner.
    pub fn permit(&self, endpoint: &Endpoint, now: Moment) -> Option<Permit> {
        let ownership = self.endpoints.get(endpoint)?;
        if ownership.owner != self.me || ownership.released {
            return None;
        }
        let settled = ownership
            .earlier_owners
            .iter()
            .all(|life| self.settled(life, now));
        let pending_unloads = ownership
            .intents
            .iter()
            .filter(|intent| intent.life != self.me && !self.settled(&intent.life, now))
            .map(|intent| intent.variant.clone())
            .collect();
        Some(Permit {
            token: ownership.token,
            settled,
            pending_unloads,
        })
    }

    /// Returns whether no request or order of a process can still arrive. An earlier process of
    /// this same instance is treated like any other.
    fn settled(&self, life: &Life, now: Moment) -> bool {
        let ended = self.ended.get(life);
        ended.is_some_and(|at| now >= *at + self.config.order_lag)
    }

    /// Plans the records that move endpoints to the instances that should own them. Plans nothing
    /// while the log is unavailable: an owner that closed an endpoint and could not append the
    /// release would leave the endpoint without an owner.
    pub fn plan(
        &mut self,
        desired: &BTreeMap<Endpoint, Instance>,
        liveness: impl Fn(&Life) -> Liveness,
        log_available: bool,
        now: Moment,
    ) -> Vec<Record> {
        let mut records = Vec::new();
        if !log_available {
            return records;
        }
        let unwanted: Vec<Endpoint> = self
            .owned()
            .filter(|endpoint| !desired.contains_key(*endpoint))
            .cloned()
            .collect();
        for endpoint in unwanted {
            if self.should_plan(&endpoint, now) {
                let life = self.me.clone();
                records.push(Record::Release { endpoint, life });
            }
        }
        for (endpoint, instance) in desired {
            let Some(record) = self.plan_endpoint(endpoint, instance, &liveness, now) else {
                continue;
            };
            if self.should_plan(endpoint, now) {
                records.push(record);
            }
        }
        records
    }

    /// Returns whether no append was planned for the endpoint recently, and if so records this one.
    fn should_plan(&mut self, endpoint: &Endpoint, now: Moment) -> bool {
        let planned_at = self.planned.get(endpoint);
        let is_pending = planned_at.is_some_and(|since| now < *since + PLAN_RETRY_INTERVAL);
        if !is_pending {
            self.planned.insert(endpoint.clone(), now);
        }
        !is_pending
    }

    fn plan_endpoint(
        &self,
        endpoint: &Endpoint,
        desired: &Instance,
        liveness: impl Fn(&Life) -> Liveness,
        now: Moment,
    ) -> Option<Record> {
        let for_me = *desired == self.me.instance;
        let claim = || Record::Claim {
            endpoint: endpoint.clone(),
            life: self.me.clone(),
        };
        let Some(ownership) = self.endpoints.get(endpoint) else {
            return for_me.then(claim);
        };
        if ownership.owner == self.me {
            if !for_me {
                let release = Record::Release {
                    endpoint: endpoint.clone(),
                    life: self.me.clone(),
                };
                return (!ownership.released).then_some(release);
            }
            let due = ownership.released || now >= ownership.claimed_at + self.config.refresh;
            return due.then(claim);
        }
        let ended = self.ended.contains_key(&ownership.owner);
        let gone = liveness(&ownership.owner) == Liveness::Gone
            && now >= ownership.claimed_at + CLAIM_GRACE;
        let free = ownership.released || ended || gone;
        (for_me && free).then(claim)
    }

    /// Lists the endpoints that this process owns and has not released.
    pub fn owned(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints
            .iter()
            .filter(|(_, ownership)| ownership.owner == self.me && !ownership.released)
            .map(|(endpoint, _)| endpoint)
    }
}

impl Ownership {
    fn new(life: &Life, token: Token, now: Moment) -> Self {
        Self {
            owner: life.clone(),
            token,
            claimed_at: now,
            released: false,
            quit: false,
            earlier_owners: BTreeSet::new(),
            intents: Vec::new(),
        }
    }
}
