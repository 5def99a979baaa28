//! Loans of slots between two instances.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;
use serde::{Deserialize, Serialize};

use super::{LOAN_TTL, MAX_REQUESTS_PER_S, QUEUE_TIMEOUT, RENEWAL_INTERVAL, REPLY_TIMEOUT};

/// How much earlier than for the lender a loan ends for the borrower, as their clocks may drift apart.
const EXPIRY_MARGIN: Duration = Duration::from_millis(100);

/// Identifies a loan among those of its borrower.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LoanId(pub(super) u64);

/// What one instance sends another about a loan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
    /// Requests a loan.
    Request,
    /// Grants the requested loan.
    Grant,
    /// Announces that the requested loan is granted once a slot is free, if that is soon.
    Queued,
    /// Refuses the requested loan.
    Refusal,
    /// Renews a loan in use.
    Renewal,
    /// Confirms a renewal.
    Confirmation,
    /// Ends a loan.
    Return,
}

/// A notice to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// The instance that receives it.
    pub to: IpAddr,
    /// The notice.
    pub notice: Notice,
    /// The endpoint whose slot it is about.
    pub endpoint: Arc<str>,
    /// The loan.
    pub id: LoanId,
}

impl Outgoing {
    /// Creates the refusal of a loan that the instance at `to` requested.
    pub fn refusal(to: IpAddr, endpoint: &Arc<str>, id: LoanId) -> Self {
        Self::new(to, Notice::Refusal, endpoint, id)
    }

    pub(super) fn new(to: IpAddr, notice: Notice, endpoint: &Arc<str>, id: LoanId) -> Self {
        let endpoint = Arc::clone(endpoint);
        Self {
            to,
            notice,
            endpoint,
            id,
        }
    }
}

/// A request for a loan that waits for its reply.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) endpoint: Arc<str>,
    pub(super) lender: Arc<str>,
    pub(super) at: Moment,
    /// Whether the lender will grant the loan once a slot is free.
    pub(super) is_queued: bool,
}

impl PendingRequest {
    /// Returns whether the reply is no longer awaited. A later grant is still accepted.
    pub(super) fn is_over(&self, now: Moment) -> bool {
        let timeout = if self.is_queued {
            QUEUE_TIMEOUT
        } else {
            REPLY_TIMEOUT
        };
        now.since(self.at) >= timeout
    }
}

/// Limits the rate of requests for loans.
#[derive(Debug, Default)]
pub(super) struct RequestRate {
    /// The requests sent since `since`.
    sent: f64,
    since: Moment,
}

impl RequestRate {
    pub(super) fn allows(&mut self, now: Moment) -> bool {
        let earned = now.since(self.since).as_secs_f64() * MAX_REQUESTS_PER_S;
        self.sent = (self.sent - earned).max(0.0);
        self.since = now;
        self.sent < MAX_REQUESTS_PER_S
    }

    pub(super) fn record(&mut self) {
        self.sent += 1.0;
    }
}

/// What a borrowed slot is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Use {
    Free,
    Active,
    /// The endpoint may still run the request that used it.
    Lingering {
        until: Moment,
    },
}

/// A loan of this instance.
#[derive(Debug)]
pub(super) struct Borrowed {
    pub(super) lender: IpAddr,
    pub(super) state: Use,
    valid_until: Moment,
    renewed_at: Moment,
}

impl Borrowed {
    /// Creates a loan that was requested at `requested_at`; the lender counts from when it granted it, which is later.
    pub(super) fn new(lender: IpAddr, requested_at: Moment) -> Self {
        Self {
            lender,
            state: Use::Free,
            valid_until: requested_at + LOAN_TTL.saturating_sub(EXPIRY_MARGIN),
            renewed_at: requested_at,
        }
    }

    pub(super) fn is_free(&self, now: Moment) -> bool {
        self.state == Use::Free && now < self.valid_until
    }

    /// Extends the loan from when the last renewal was sent.
    pub(super) fn confirm(&mut self) {
        self.valid_until = self.renewed_at + LOAN_TTL.saturating_sub(EXPIRY_MARGIN);
    }

    /// Returns the notice that is due.
    pub(super) fn tick(&mut self, now: Moment) -> Option<Notice> {
        match self.state {
            Use::Free => return Some(Notice::Return),
            Use::Lingering { until } if until <= now => return Some(Notice::Return),
            Use::Active | Use::Lingering { .. } => {}
        }
        if now.since(self.renewed_at) < RENEWAL_INTERVAL {
            return None;
        }
        self.renewed_at = now;
        Some(Notice::Renewal)
    }
}
