//! One daemon's time as an endpoint's owner.

use ploverwick_names::{Incarnation, Token};

use crate::endpoint::Rights;
use crate::holds::Permit;

/// What a daemon is to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It owns the endpoint.
    Owner,
    /// It owned the endpoint, and something of it may still run there.
    Former,
    /// Nothing of it runs there.
    Settled,
}

/// One daemon's time as an endpoint's owner.
#[derive(Debug)]
pub struct Tenure {
    checks_tokens: bool,
    standing: Standing,
    shown: Option<Shown>,
}

/// A token that an engine has seen in one of its lives. A restarted engine has forgotten it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Shown {
    token: Token,
    incarnation: Incarnation,
}

impl Tenure {
    /// Starts as nobody to an engine that checks tokens, or does not.
    pub fn new(checks_tokens: bool) -> Self {
        Self {
            checks_tokens,
            standing: Standing::Settled,
            shown: None,
        }
    }

    /// Says that the daemon owns the endpoint now.
    pub fn gained(&mut self) {
        if self.standing != Standing::Owner {
            // Another owner may have shown a newer token since.
            self.shown = None;
        }
        self.standing = Standing::Owner;
    }

    /// Says that the daemon is giving the endpoint up, or has lost it.
    pub fn closed(&mut self) {
        if self.standing == Standing::Owner {
            self.standing = Standing::Former;
        }
    }

    /// Returns what the daemon is to the endpoint.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Says that the engine has seen a token in its given life.
    pub fn shown(&mut self, token: Token, incarnation: Incarnation) {
        self.shown = Some(Shown { token, incarnation });
    }

    /// Says which life the engine is in. One that restarted has forgotten every token.
    pub fn engine_is(&mut self, incarnation: Incarnation) {
        if self
            .shown
            .is_some_and(|shown| shown.incarnation < incarnation)
        {
            self.shown = None;
        }
    }

    /// Returns the token that the engine still has to see.
    pub fn token_to_show(&self, permit: Option<&Permit>) -> Option<Token> {
        let token = permit?.token;
        let needed = self.checks_tokens && self.standing == Standing::Owner;
        let seen = self.shown.is_some_and(|shown| shown.token >= token);
        (needed && !seen).then_some(token)
    }

    /// Returns what may be done, with `loads` left of the store's budget.
    pub fn rights(&self, permit: Option<Permit>, loads: u32) -> Rights {
        let Some(permit) = permit.filter(|_| self.standing == Standing::Owner) else {
            return Rights::default();
        };
        // A refreshed claim has a new token; any token of this tenure keeps earlier owners out.
        let fenced = !self.checks_tokens || self.shown.is_some();
        Rights {
            send: fenced,
            unload: fenced && permit.settled,
            announce: !self.checks_tokens,
            doubtful: permit.doubtful,
            loads,
        }
    }

    /// Says whether to write [`crate::record::Record::Quit`] now, and remembers that it is written.
    /// `quiet` says whether nothing of this daemon runs on the endpoint or is on its way to it, and
    /// `released` whether the log shows that it does not own the endpoint any more.
    pub fn quits(&mut self, quiet: bool, released: bool) -> bool {
        let quits = self.standing == Standing::Former && quiet && released;
        if quits {
            self.standing = Standing::Settled;
        }
        quits
    }
}
