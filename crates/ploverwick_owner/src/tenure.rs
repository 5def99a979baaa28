//! The period in which one instance owns an endpoint.

use ploverwick_names::{Incarnation, Token};

use crate::endpoint::Rights;
use crate::ownership::Permit;

/// The relation of an instance to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It owns the endpoint.
    Owner,
    /// It owned the endpoint, and its requests or orders may still be running there.
    Former,
    /// None of its requests or orders is running there.
    Settled,
}

/// Tracks an instance's ownership of one endpoint and the fencing token that the engine has seen.
#[derive(Debug)]
pub struct Tenure {
    checks_tokens: bool,
    role: Role,
    shown: Option<ShownToken>,
}

/// A token that the engine accepted in the given incarnation. A restarted engine has forgotten it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ShownToken {
    token: Token,
    incarnation: Incarnation,
}

impl Tenure {
    /// Creates a tenure in [`Role::Settled`]. `checks_tokens` tells whether the engine checks
    /// fencing tokens.
    pub fn new(checks_tokens: bool) -> Self {
        Self {
            checks_tokens,
            role: Role::Settled,
            shown: None,
        }
    }

    /// Records that this instance now owns the endpoint.
    pub fn gained(&mut self) {
        if self.role != Role::Owner {
            // Another owner may have shown the engine a newer token in the meantime.
            self.shown = None;
        }
        self.role = Role::Owner;
    }

    /// Records that this instance is releasing the endpoint or has lost it.
    pub fn closed(&mut self) {
        if self.role == Role::Owner {
            self.role = Role::Former;
        }
    }

    /// Returns the instance's relation to the endpoint.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Records that the engine has accepted a token in the given incarnation.
    pub fn shown(&mut self, token: Token, incarnation: Incarnation) {
        self.shown = Some(ShownToken { token, incarnation });
    }

    /// Updates the engine's incarnation. A restarted engine has forgotten every token.
    pub fn set_engine_incarnation(&mut self, incarnation: Incarnation) {
        if self
            .shown
            .is_some_and(|shown| shown.incarnation < incarnation)
        {
            self.shown = None;
        }
    }

    /// Returns the token that must be shown to the engine, if it has not seen it yet.
    pub fn token_to_show(&self, permit: Option<&Permit>) -> Option<Token> {
        let token = permit?.token;
        let needed = self.checks_tokens && self.role == Role::Owner;
        let seen = self.shown.is_some_and(|shown| shown.token >= token);
        (needed && !seen).then_some(token)
    }

    /// Returns the owner's permissions, with `loads` left of the store's budget.
    pub fn rights(&self, permit: Option<Permit>, loads: u32) -> Rights {
        let Some(permit) = permit.filter(|_| self.role == Role::Owner) else {
            return Rights::default();
        };
        // A refreshed claim has a new token, but any token of this tenure fences off earlier
        // owners.
        let fenced = !self.checks_tokens || self.shown.is_some();
        Rights {
            send: fenced,
            unload: fenced && permit.settled,
            announce: !self.checks_tokens,
            pending_unloads: permit.pending_unloads,
            loads,
        }
    }

    /// Returns whether to write [`crate::record::Record::Quit`] now, and if so marks this instance
    /// as settled. `idle` tells whether none of its requests or orders is running on the endpoint
    /// or on its way to it, and `released` whether the log shows that it no longer owns the
    /// endpoint.
    pub fn try_settle(&mut self, idle: bool, released: bool) -> bool {
        let settles = self.role == Role::Former && idle && released;
        if settles {
            self.role = Role::Settled;
        }
        settles
    }
}
