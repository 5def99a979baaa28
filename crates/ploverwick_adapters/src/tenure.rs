//! The right to give orders.
//!
//! The platform grants it to one instance at a time with a fencing token that rises with each
//! change of holder. The holder counts its lease from when it asked, on its own steady clock, and
//! checks it just before each order. An instance that gets the right back waits until the orders
//! of its predecessor can no longer be followed by its own within the lease.

use std::time::Duration;

use ploverwick_names::Moment;

/// How tenures pass from one holder to the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// How long a grant lasts, counted from when it was asked for.
    pub lease: Duration,
    /// The time within which two holders must not take turns.
    pub turn: Duration,
    /// Endpoints refuse orders with a lower token than one that they have seen.
    pub fenced: bool,
    /// How long a holder goes on after its lease if the platform does not answer and endpoints check
    /// tokens: a successor's first order ends it at each endpoint.
    pub extension: Duration,
    /// How long an instance must have run undisturbed before its turns count. Endpoints that check
    /// tokens are safe from a killed instance's old orders, so that turns are only bounded to keep
    /// holders from alternating; where this is at least as long as a turn, a new life comes too
    /// late to alternate with the one before it.
    pub calm: Duration,
}

impl Terms {
    /// Returns whether a process must wait a turn after its start, since an earlier life of its
    /// instance may have given orders.
    pub fn waits_after_restart(&self) -> bool {
        !self.fenced || self.calm < self.turn
    }
}

/// What the platform answered to a request for the right.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// This instance has the right, with this fencing token.
    Held(u64),
    /// Another instance has it, or none.
    Elsewhere,
}

/// The right as one instance sees it.
#[derive(Debug, Clone)]
pub struct Tenure {
    terms: Terms,
    held: Option<Holding>,
    /// The last moment at which this instance may have given an order.
    last_held: Option<Moment>,
    refused: Option<u64>,
    /// The token that an earlier life of this instance had last.
    recalled: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
struct Holding {
    token: u64,
    until: Moment,
    from: Moment,
}

impl Tenure {
    /// Starts without the right.
    ///
    /// A process that is not part of the first start of the system cannot know when an earlier
    /// life of its instance gave an order; `earlier_life` says that there may have been one.
    pub fn new(terms: Terms, earlier_life: bool, now: Moment) -> Self {
        let must_wait = earlier_life && terms.waits_after_restart();
        Self {
            terms,
            held: None,
            last_held: must_wait.then_some(now),
            refused: None,
            recalled: None,
        }
    }

    /// Recalls the token that an earlier life of this instance had last. The token rises with each
    /// change of holder: under the same one nobody else had the right in between.
    pub fn recall(&mut self, token: u64) {
        self.recalled = Some(token);
    }

    /// Takes in that no earlier life of this instance gave an order within a turn.
    pub fn no_earlier_life(&mut self) {
        if self.held.is_none() {
            self.last_held = None;
        }
    }

    /// Takes in an answer of the platform to a request sent at `asked`.
    pub fn granted(&mut self, grant: Grant, asked: Moment, now: Moment) {
        let Grant::Held(token) = grant else {
            self.lose(now);
            return;
        };
        if self.refused.is_some_and(|refused| token <= refused) {
            return;
        }
        let until = asked + self.terms.lease;
        let from = match self.held {
            // A lapse in between may have let another one in, unless the token is the same.
            Some(held) if held.until >= asked || held.token == token => held.from,
            Some(_) => {
                self.lose(now);
                self.wait(now)
            }
            None if self.recalled == Some(token) => now,
            _ => self.wait(now),
        };
        // It says nothing of a later return.
        self.recalled = None;
        // The token of a holding only rises; an answer that was overtaken by a later one is old.
        let token = self.held.map_or(token, |held| held.token.max(token));
        self.held = Some(Holding { token, until, from });
    }

    /// Gives the right up.
    pub fn lose(&mut self, now: Moment) {
        self.recalled = None;
        if let Some(held) = self.held.take() {
            self.last_held = Some(now.min(self.end(held)));
        }
    }

    /// Takes in that an endpoint has seen a higher token than `token`.
    pub fn fenced(&mut self, token: u64, now: Moment) {
        if self.held.is_some_and(|held| held.token <= token) {
            self.refused = Some(token);
            self.lose(now);
        }
    }

    /// Returns the fencing token if this instance may give an order now.
    pub fn token(&self, now: Moment) -> Option<u64> {
        let held = self.held?;
        (now >= held.from && now < self.end(held)).then_some(held.token)
    }

    /// Returns whether this instance has the right, though it may have to wait yet.
    pub fn is_held(&self, now: Moment) -> bool {
        self.held.is_some_and(|held| now < self.end(held))
    }

    fn end(&self, held: Holding) -> Moment {
        if self.terms.fenced {
            held.until + self.terms.extension
        } else {
            held.until
        }
    }

    fn wait(&self, now: Moment) -> Moment {
        let own = self.last_held.map_or(now, |last| last + self.terms.turn);
        if self.terms.fenced {
            return own.max(now);
        }
        // Endpoints that do not check tokens would obey the predecessor until its lease is over.
        own.max(now + self.terms.lease.max(self.terms.turn))
    }
}
