//! A daemon's state machines of ownership, glued as the real daemon glues them.

use std::time::Duration;

use ploverwick_codes::Code;
use ploverwick_names::{Incarnation, Life, Moment, Offset, Request, Token, Variant};
use ploverwick_owner::endpoint::{Action, Config, Job, Outcome, Report, Rights, Scheduler};
use ploverwick_owner::ownership::{self, Change, Controller};
use ploverwick_owner::record::Record;
use ploverwick_owner::tenure::{Role, Tenure};

use super::{Message, ORDER_LAG, Off, Plan, endpoint};

const DEADLINE: Duration = Duration::from_mins(1);
const LOADS: u32 = 4;

/// What a daemon does.
#[derive(Debug)]
pub(super) enum Act {
    Append(Record),
    Send(Message),
    Refuse(Request, Code),
}

/// What a daemon hears of what it sent.
#[derive(Debug)]
pub(super) enum News {
    Ran(Request, bool),
    Finished(Request),
    Loaded(Variant, bool),
    Unloaded(Variant, bool),
    Shown(Token, Incarnation, bool),
}

/// A daemon.
#[derive(Debug)]
pub(super) struct Daemon {
    pub(super) holds: Controller,
    tenure: Tenure,
    machine: Scheduler,
    off: Off,
    checks_tokens: bool,
    pub(super) read: usize,
    pub(super) troubles: Troubles,
}

/// What is wrong with a daemon.
#[derive(Debug, Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each trouble comes alone or with any other"
)]
pub(super) struct Troubles {
    /// It does nothing.
    pub(super) paused: bool,
    /// What it sends stays on its way.
    pub(super) held: bool,
    /// It cannot reach the log.
    pub(super) cut: bool,
    /// It does not hear the engine.
    pub(super) deaf: bool,
}

impl Daemon {
    pub(super) fn new(life: Life, plan: Plan) -> Self {
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
            tenure: Tenure::new(plan.checks_tokens),
            machine,
            off: plan.off,
            checks_tokens: plan.checks_tokens,
            read: 0,
            troubles: Troubles::default(),
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
        let mut rights = self.tenure.rights(permit, LOADS);
        if !self.is_owner() {
            return rights;
        }
        match self.off {
            Off::Nothing | Off::Fence => {}
            Off::Settle => rights.unload = rights.send,
            Off::Intent => rights.announce = false,
            Off::Doubt => rights.pending_unloads.clear(),
        }
        rights
    }

    pub(super) fn submit(&mut self, request: Request, variant: Variant, now: Moment) -> Vec<Act> {
        if !self.is_owner() {
            return vec![Act::Refuse(request, Code::NotOwner)];
        }
        let job = Job {
            request,
            variant,
            priority: 5,
            weight: 1.0,
            deadline: now + DEADLINE,
            arrived: now,
        };
        let refused = self.machine.submit(job).into_iter().collect();
        self.acts(refused)
    }

    pub(super) fn step(&mut self, report: &Report, now: Moment) -> Vec<Act> {
        if !self.troubles.deaf {
            self.tenure.set_engine_incarnation(report.incarnation);
            let settled = self.rights(now).unload;
            self.machine.report(report, settled, now);
        }
        let rights = self.rights(now);
        let actions = self.machine.step(&rights, now);
        self.acts(actions)
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

    /// Closes the endpoint and says whether it may be released already.
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
    ) -> Option<(String, Vec<Act>)> {
        match self.holds.apply(offset, record, now)? {
            Change::Gained(_, token) => {
                self.tenure.gained();
                if self.off == Off::Fence {
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

    fn announced(&mut self, variant: &Variant, valid: bool, now: Moment) -> Vec<Act> {
        let rights = self.rights(now);
        let action = self.machine.announced(variant, valid, &rights, now);
        self.acts(action.into_iter().collect())
    }

    pub(super) fn not_appended(&mut self, record: &Record, now: Moment) {
        if let Record::Intent { variant, .. } = record {
            // What it decides to append next waits for the log too.
            let _ = self.announced(variant, false, now);
        }
    }

    pub(super) fn hear(&mut self, news: News, now: Moment) -> Vec<Act> {
        let lost = self.troubles.deaf;
        let outcome = |done| match (lost, done) {
            (true, _) => Outcome::Unknown,
            (false, true) => Outcome::Done,
            (false, false) => Outcome::Refused,
        };
        match news {
            News::Ran(request, false) | News::Finished(request) => {
                self.machine.finished(&request, now);
            }
            News::Loaded(variant, done) => self.machine.loaded(&variant, outcome(done), now),
            News::Unloaded(variant, done) => {
                let outcome = outcome(done);
                self.machine.unloaded(&variant, outcome, now);
                if !self.checks_tokens && outcome != Outcome::Unknown && self.off != Off::Intent {
                    return self.acts(vec![Action::LogOutcome(variant)]);
                }
            }
            News::Shown(token, incarnation, true) if !lost => {
                self.tenure.shown(token, incarnation);
            }
            // A run that began goes on until the engine finishes it, and so does one without an
            // answer, for all that is known.
            News::Ran(_, true) | News::Shown(..) => {}
        }
        Vec::new()
    }

    fn acts(&mut self, actions: Vec<Action>) -> Vec<Act> {
        let token = self.holds.token(&endpoint()).unwrap_or_default();
        let life = self.life().clone();
        let act = |action| match action {
            Action::Send(request) => {
                let variant = self.machine.variant_of(&request)?;
                Some(Act::Send(Message::Run(request, variant)))
            }
            Action::Refuse(request, code, _) => Some(Act::Refuse(request, code)),
            Action::Load(variant) => Some(Act::Send(Message::Load(variant, token))),
            Action::Unload(variant) => Some(Act::Send(Message::Unload(variant, token))),
            Action::Announce(variant) => Some(Act::Append(Record::Intent {
                endpoint: endpoint(),
                life: life.clone(),
                token,
                variant,
            })),
            Action::LogOutcome(variant) => Some(Act::Append(Record::Outcome {
                endpoint: endpoint(),
                life: life.clone(),
                variant,
            })),
        };
        actions.into_iter().filter_map(act).collect()
    }
}
