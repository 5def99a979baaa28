//! A daemon's ownership state machines, connected in the same way as in the production daemon.

use std::time::Duration;

use ploverwick_codes::Code;
use ploverwick_names::{Incarnation, Life, Moment, Offset, Request, Token, Variant};
use ploverwick_owner::endpoint::{Action, Config, Job, Outcome, Report, Rights, Scheduler};
use ploverwick_owner::ownership::{self, Change, Controller};
use ploverwick_owner::record::Record;
use ploverwick_owner::tenure::{Role, Tenure};

use super::{Disabled, Message, ORDER_LAG, Setup, endpoint};

const REQUEST_TIMEOUT: Duration = Duration::from_mins(1);
const LOAD_BUDGET: u32 = 4;

/// An action of a daemon.
#[derive(Debug)]
pub(super) enum Effect {
    Append(Record),
    Send(Message),
    Refuse(Request, Code),
}

/// The engine's response to a message.
#[derive(Debug)]
pub(super) enum Response {
    Ran(Request, bool),
    Finished(Request),
    Loaded(Variant, bool),
    Unloaded(Variant, bool),
    Fenced(Token, Incarnation, bool),
}

/// A simulated daemon.
#[derive(Debug)]
pub(super) struct Daemon {
    pub(super) holds: Controller,
    tenure: Tenure,
    machine: Scheduler,
    disabled: Disabled,
    checks_tokens: bool,
    pub(super) read: usize,
    pub(super) faults: Faults,
}

/// The faults injected into a daemon.
#[derive(Debug, Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the faults are independent and can be combined"
)]
pub(super) struct Faults {
    /// The daemon is paused.
    pub(super) paused: bool,
    /// Messages to the engine are held back.
    pub(super) held: bool,
    /// The log is unreachable.
    pub(super) log_partitioned: bool,
    /// Reports and responses of the engine are lost.
    pub(super) responses_lost: bool,
}

impl Daemon {
    pub(super) fn new(life: Life, setup: Setup) -> Self {
        let config = ownership::Config {
            order_lag: ORDER_LAG,
            refresh: Duration::from_hours(1),
        };
        let machine = Scheduler::new(Config {
            queue_capacity: 64,
            report_lag: Duration::ZERO,
            order_lag: ORDER_LAG,
            drain_after: Duration::from_secs(1),
            retry_after: Duration::from_millis(500),
            load_backoff: Duration::from_secs(1),
        });
        Self {
            holds: Controller::new(life, config),
            tenure: Tenure::new(setup.checks_tokens),
            machine,
            disabled: setup.disabled,
            checks_tokens: setup.checks_tokens,
            read: 0,
            faults: Faults::default(),
        }
    }

    pub(super) fn life(&self) -> &Life {
        self.holds.me()
    }

    pub(super) fn is_owner(&self) -> bool {
        self.tenure.role() == Role::Owner
    }

    fn rights(&self, now: Moment) -> Rights {
        let permit = self.holds.permit(&endpoint(), now);
        let mut rights = self.tenure.rights(permit, LOAD_BUDGET);
        if !self.is_owner() {
            return rights;
        }
        match self.disabled {
            Disabled::Nothing | Disabled::Fence => {}
            Disabled::Settle => rights.unload = rights.send,
            Disabled::Intent => rights.announce = false,
            Disabled::Doubt => rights.pending_unloads.clear(),
        }
        rights
    }

    pub(super) fn submit(
        &mut self,
        request: Request,
        variant: Variant,
        now: Moment,
    ) -> Vec<Effect> {
        if !self.is_owner() {
            return vec![Effect::Refuse(request, Code::NotOwner)];
        }
        let job = Job {
            request,
            variant,
            priority: 5,
            weight: 1.0,
            deadline: now + REQUEST_TIMEOUT,
            arrived: now,
        };
        let refused = self.machine.submit(job).into_iter().collect();
        self.effects(refused)
    }

    pub(super) fn step(&mut self, report: &Report, now: Moment) -> Vec<Effect> {
        if !self.faults.responses_lost {
            self.tenure.set_engine_incarnation(report.incarnation);
            let settled = self.rights(now).unload;
            self.machine.report(report, settled, now);
        }
        let rights = self.rights(now);
        let actions = self.machine.step(&rights, now);
        self.effects(actions)
    }

    pub(super) fn token_to_show(&self, now: Moment) -> Option<Token> {
        let permit = self.holds.permit(&endpoint(), now);
        self.tenure.token_to_show(permit.as_ref())
    }

    pub(super) fn quits(&mut self) -> bool {
        let released = self.holds.owner(&endpoint()) != Some(self.holds.me());
        let quiet = self.machine.is_idle();
        self.tenure.try_settle(quiet, released)
    }

    /// Closes the endpoint and returns whether it can be released: no unload is in progress.
    pub(super) fn may_release(&mut self) -> bool {
        self.tenure.closed();
        self.machine.close();
        !self.machine.has_pending_unloads()
    }

    pub(super) fn apply(
        &mut self,
        offset: Offset,
        record: &Record,
        now: Moment,
    ) -> Option<(String, Vec<Effect>)> {
        match self.holds.apply(offset, record, now)? {
            Change::Gained(_, token) => {
                self.tenure.gained();
                if self.disabled == Disabled::Fence {
                    self.tenure.shown(token, Incarnation(u64::MAX));
                }
                self.machine.open();
                Some((format!("owns the engine with token {token}"), Vec::new()))
            }
            Change::Lost(_) => {
                self.tenure.closed();
                self.machine.close();
                Some(("has lost the engine".to_owned(), Vec::new()))
            }
            Change::Announced(_, variant) => {
                let event = format!("reads its intent for {}", variant.adapter);
                Some((event, self.announced(&variant, true, now)))
            }
            Change::Superseded(_, variant) => {
                let event = format!("was overtaken in its intent for {}", variant.adapter);
                Some((event, self.announced(&variant, false, now)))
            }
        }
    }

    fn announced(&mut self, variant: &Variant, valid: bool, now: Moment) -> Vec<Effect> {
        let rights = self.rights(now);
        let action = self.machine.announced(variant, valid, &rights, now);
        self.effects(action.into_iter().collect())
    }

    pub(super) fn not_appended(&mut self, record: &Record, now: Moment) {
        if let Record::Intent { variant, .. } = record {
            // An append that follows from this would fail too, so it is dropped.
            let _ = self.announced(variant, false, now);
        }
    }

    pub(super) fn handle_response(&mut self, response: Response, now: Moment) -> Vec<Effect> {
        let lost = self.faults.responses_lost;
        let outcome = |done| match (lost, done) {
            (true, _) => Outcome::Unknown,
            (false, true) => Outcome::Done,
            (false, false) => Outcome::Refused,
        };
        match response {
            Response::Ran(request, false) | Response::Finished(request) => {
                self.machine.finished(&request, now);
            }
            Response::Loaded(variant, done) => self.machine.loaded(&variant, outcome(done), now),
            Response::Unloaded(variant, done) => {
                let outcome = outcome(done);
                self.machine.unloaded(&variant, outcome, now);
                if !self.checks_tokens
                    && outcome != Outcome::Unknown
                    && self.disabled != Disabled::Intent
                {
                    return self.effects(vec![Action::LogOutcome(variant)]);
                }
            }
            Response::Fenced(token, incarnation, true) if !lost => {
                self.tenure.shown(token, incarnation);
            }
            // A started run is tracked until the engine finishes it. A run whose response was lost
            // may have started, so it is tracked too.
            Response::Ran(_, true) | Response::Fenced(..) => {}
        }
        Vec::new()
    }

    fn effects(&mut self, actions: Vec<Action>) -> Vec<Effect> {
        let token = self.holds.token(&endpoint()).unwrap_or_default();
        let life = self.life().clone();
        let effect = |action| match action {
            Action::Send(request) => {
                let variant = self.machine.variant_of(&request)?;
                Some(Effect::Send(Message::Run(request, variant)))
            }
            Action::Refuse(request, code, _) => Some(Effect::Refuse(request, code)),
            Action::Load(variant) => Some(Effect::Send(Message::Load(variant, token))),
            Action::Unload(variant) => Some(Effect::Send(Message::Unload(variant, token))),
            Action::Announce(variant) => Some(Effect::Append(Record::Intent {
                endpoint: endpoint(),
                life: life.clone(),
                token,
                variant,
            })),
            Action::LogOutcome(variant) => Some(Effect::Append(Record::Outcome {
                endpoint: endpoint(),
                life: life.clone(),
                variant,
            })),
        };
        actions.into_iter().filter_map(effect).collect()
    }
}
