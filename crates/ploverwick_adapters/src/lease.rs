//! The lease that permits an instance to send orders.
//!
//! The platform grants the lease to one instance at a time, with a fencing token that rises with
//! each change of holder. The holder counts the lease from when it requested it, on its own
//! monotonic clock, and checks it immediately before each order. An instance that reacquires the
//! lease waits until its orders cannot alternate with another holder's within
//! [`LeasePolicy::reacquire_delay`].

use std::time::Duration;

use ploverwick_names::Moment;

/// Rules for granting the lease and for passing it between holders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeasePolicy {
    /// How long a grant is valid, counted from its request.
    pub duration: Duration,
    /// The interval within which two holders must not alternate.
    pub reacquire_delay: Duration,
    /// Whether endpoints check fencing tokens, and so refuse orders with a lower token than one
    /// that they have seen.
    pub fenced: bool,
    /// How long a holder continues after expiry if the platform does not answer and endpoints check
    /// tokens: the first order of a successor stops the holder at each endpoint.
    pub extension: Duration,
    /// How long an instance must have run undisturbed before the limit on alternating holders
    /// applies to it. Endpoints that check tokens are safe from a killed instance's old orders, so
    /// the limit only keeps holders from alternating. Where this is at least `reacquire_delay`, a
    /// restarted process becomes eligible too late to alternate with its predecessor.
    pub min_stable: Duration,
}

impl LeasePolicy {
    /// Returns whether a process must wait for `reacquire_delay` after its start, since an earlier
    /// process of its instance may have sent orders.
    pub fn waits_after_restart(&self) -> bool {
        !self.fenced || self.min_stable < self.reacquire_delay
    }
}

/// The platform's answer to a lease request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// This instance holds the lease with this fencing token.
    Held(u64),
    /// Another instance holds the lease, or none does.
    Elsewhere,
}

/// The state of the lease from one instance's point of view.
#[derive(Debug, Clone)]
pub struct Lease {
    policy: LeasePolicy,
    held: Option<HeldLease>,
    /// The last time at which this instance may have sent an order.
    last_held: Option<Moment>,
    fenced_token: Option<u64>,
    /// The last token of an earlier process of this instance.
    previous_token: Option<u64>,
    /// When this instance last requested the lease without getting it.
    denied_at: Option<Moment>,
}

#[derive(Debug, Clone, Copy)]
struct HeldLease {
    token: u64,
    expires: Moment,
    usable_from: Moment,
}

impl Lease {
    /// Creates a lease that is not held.
    ///
    /// `is_restart` states that an earlier process of this instance may have run. A process that is
    /// not part of the first start of the system cannot know when an earlier one sent its last
    /// order.
    pub fn new(policy: LeasePolicy, is_restart: bool, now: Moment) -> Self {
        let must_wait = is_restart && policy.waits_after_restart();
        Self {
            policy,
            held: None,
            last_held: must_wait.then_some(now),
            fenced_token: None,
            previous_token: None,
            denied_at: None,
        }
    }

    /// Sets the last token of an earlier process of this instance. As the token rises with each
    /// change of holder, being granted the same one proves that nobody else held the lease in
    /// between.
    pub fn set_previous_token(&mut self, token: u64) {
        self.previous_token = Some(token);
    }

    /// Records that no earlier process of this instance sent an order within `reacquire_delay`.
    pub fn confirm_no_recent_orders(&mut self) {
        if self.held.is_none() {
            self.last_held = None;
        }
    }

    /// Applies the platform's answer to a request sent at `requested_at`.
    pub fn handle_grant(&mut self, grant: Grant, requested_at: Moment, now: Moment) {
        let Grant::Held(token) = grant else {
            self.denied_at = Some(requested_at);
            self.release(now);
            return;
        };
        self.denied_at = None;
        if self
            .fenced_token
            .is_some_and(|fenced_token| token <= fenced_token)
        {
            return;
        }
        let expires = requested_at + self.policy.duration;
        let usable_from = match self.held {
            // If the lease lapsed in between, another instance may have held it, unless the token
            // is the same.
            Some(held) if held.expires >= requested_at || held.token == token => held.usable_from,
            Some(_) => {
                self.release(now);
                self.wait_until(now)
            }
            None if self.previous_token == Some(token) => now,
            _ => self.wait_until(now),
        };
        // The previous token proves nothing about later grants.
        self.previous_token = None;
        // The token only rises while the lease is held; a lower one comes from an answer that
        // arrived out of order.
        let token = self.held.map_or(token, |held| held.token.max(token));
        self.held = Some(HeldLease {
            token,
            expires,
            usable_from,
        });
    }

    /// Gives up the lease.
    pub fn release(&mut self, now: Moment) {
        self.previous_token = None;
        if let Some(held) = self.held.take() {
            self.last_held = Some(now.min(self.expiry(held)));
        }
    }

    /// Records that an endpoint has seen a higher token than `token`.
    pub fn handle_fenced(&mut self, token: u64, now: Moment) {
        if self.held.is_some_and(|held| held.token <= token) {
            self.fenced_token = Some(token);
            self.release(now);
        }
    }

    /// Returns the fencing token if this instance may send orders now.
    pub fn token(&self, now: Moment) -> Option<u64> {
        let held = self.held?;
        (now >= held.usable_from && now < self.expiry(held)).then_some(held.token)
    }

    /// Returns whether this instance holds the lease, even if it must still wait before sending
    /// orders.
    pub fn is_held(&self, now: Moment) -> bool {
        self.held.is_some_and(|held| now < self.expiry(held))
    }

    /// Returns whether the platform stated within the duration of a grant that this instance does not hold the lease.
    pub fn is_denied(&self, now: Moment) -> bool {
        self.denied_at
            .is_some_and(|at| now.since(at) < self.policy.duration)
    }

    fn expiry(&self, held: HeldLease) -> Moment {
        if self.policy.fenced {
            held.expires + self.policy.extension
        } else {
            held.expires
        }
    }

    fn wait_until(&self, now: Moment) -> Moment {
        let own = self
            .last_held
            .map_or(now, |last| last + self.policy.reacquire_delay);
        if self.policy.fenced {
            return own.max(now);
        }
        // Endpoints that do not check tokens obey the predecessor until its lease expires.
        own.max(now + self.policy.duration.max(self.policy.reacquire_delay))
    }
}
