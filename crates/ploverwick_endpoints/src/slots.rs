//! The slots of endpoints, divided among instances so that together they never send more requests than an endpoint runs.
//!
//! Each slot belongs to one instance, by rendezvous hashing. An instance sends a request with a
//! slot of its own or with one that another instance lent, so that no load needs to be known in time. Loans lapse: the
//! borrower renews them while a request runs, and returns them afterwards. Nothing is stored, and an instance that starts
//! learns of the loans of its predecessor from their renewals.

mod loan;

use std::collections::{HashMap, VecDeque};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;
use ploverwick_placement::{choose, equally_weighted, rank};

use xxhash_rust::xxh3::xxh3_64;

use loan::{Borrowed, PendingRequest, RequestRate, Use};
pub use loan::{LoanId, Notice, Outgoing};

/// How long a loan is valid after it was granted or renewed.
pub const LOAN_TTL: Duration = Duration::from_millis(900);
/// How often the borrower renews a loan in use.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(200);
/// How long a borrower waits for the reply to its request.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// How long a request for a loan waits for a slot of the lender.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(200);
/// How long no loan is requested from a lender that refused.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(60);
/// How long a slot that moved to this instance is not used: instances learn of each other at different times, and requests of
/// its previous owner may still run.
const TRANSFER_DELAY: Duration = Duration::from_secs(1);
/// How long a slot is not used again if the end of its request is not known. Most endpoints drop a request whose connection
/// closes.
const LINGER: Duration = Duration::from_millis(500);

/// The number of lenders from which a loan is requested at the same time, for each request that waits.
const MAX_LENDERS: usize = 2;
/// The requests for loans that an instance sends in a second at most. Where all slots are in use, more would not help.
const MAX_REQUESTS_PER_S: f64 = 40.0;
/// The number of requests that wait for each own slot, as many as would wait at an endpoint that is not brittle.
pub const MAX_WAITS_PER_SLOT: f64 = 1.5;

/// The right to send one request to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// With a slot that belongs to the instance.
    Own,
    /// With a slot that another instance lent.
    Borrowed(LoanId),
}

/// Whether an endpoint no longer runs a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// It has answered or turned the request away.
    Known,
    /// The connection broke or was closed before the end of the answer.
    Unknown,
}

/// Numbers of slots, as known to one instance.
#[derive(Debug, Clone, Copy, Default)]
pub struct Totals {
    /// The usable slots that belong to the instance.
    pub own: u32,
    /// Those that are neither in use nor lent.
    pub free: u32,
    /// Those that other instances borrowed.
    pub lent: usize,
    /// The slots that the instance borrowed.
    pub borrowed: usize,
}

/// The instances among which the slots of an endpoint are divided.
#[derive(Debug, Clone, Copy)]
pub struct Owners<'a> {
    own: &'a str,
    all: &'a [&'a str],
    /// Changes with the set of instances.
    digest: u64,
}

impl<'a> Owners<'a> {
    /// Creates the set of the instances `all`, which includes this instance, `own`, if slots may belong to it.
    pub fn new(own: &'a str, all: &'a [&'a str]) -> Self {
        let digests = all.iter().map(|name| xxh3_64(name.as_bytes()));
        let digest = digests.fold(0, u64::wrapping_add);
        Self { own, all, digest }
    }

    /// Returns how many of the `slots` of an endpoint belong to this instance, and the others to which slots belong.
    fn divide(self, endpoint: &str, slots: u32) -> (u32, Vec<&'a str>) {
        let candidates = equally_weighted(self.all.iter().copied());
        let ranked = rank(endpoint, &candidates, slots as usize);
        let ranked: Vec<&str> = ranked.into_iter().map(|index| self.all[index]).collect();
        let own_rank = ranked.iter().position(|name| *name == self.own);
        let share = own_rank.map_or(0, |rank| (slots as usize - rank).div_ceil(ranked.len()));
        let others = ranked.into_iter().filter(|name| *name != self.own);
        (u32::try_from(share).unwrap_or(u32::MAX), others.collect())
    }
}

/// The slots of an endpoint that belong to this instance.
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    slots: u32,
    /// The slots that may be used before `usable_at`.
    usable: u32,
    usable_at: Moment,
}

impl Share {
    fn usable(&self, now: Moment) -> u32 {
        if now >= self.usable_at {
            self.slots
        } else {
            self.usable
        }
    }

    /// Changes the number of slots. Added ones may not be used before `usable_at`.
    fn set(&mut self, slots: u32, usable_at: Moment, now: Moment) {
        if slots == self.slots {
            return;
        }
        self.usable = self.usable(now).min(slots);
        self.usable_at = usable_at;
        self.slots = slots;
    }
}

/// The slots of one endpoint, as known to one instance.
#[derive(Debug, Default)]
struct Account {
    share: Share,
    /// The slots and the digest of the owners by which they were divided.
    divided_by: Option<(u32, u64)>,
    /// The other instances to which slots belong.
    lenders: Vec<Arc<str>>,
    /// The own slots in use by requests of this instance. May exceed the share after a change.
    in_use: u32,
    /// When own slots whose requests ended with an unknown outcome may be used again.
    lingering: Vec<Moment>,
    /// The own slots that other instances borrowed, and when the loans expire.
    lent: HashMap<(IpAddr, LoanId), Moment>,
    /// The requests for loans that wait for an own slot, and since when.
    queue: VecDeque<((IpAddr, LoanId), Moment)>,
    borrowed: HashMap<LoanId, Borrowed>,
    /// The lenders that refused, and until when no loan is requested from them.
    refused: HashMap<Arc<str>, Moment>,
}

impl Account {
    /// Returns how many own slots can be used or lent.
    fn available(&self, now: Moment) -> u32 {
        let lent = self.lent.values().filter(|expires| **expires > now);
        let lingering = self.lingering.iter().filter(|until| **until > now);
        let taken = lent.count() + lingering.count() + self.in_use as usize;
        let taken = u32::try_from(taken).unwrap_or(u32::MAX);
        self.share.usable(now).saturating_sub(taken)
    }

    /// Returns whether a request for a loan may wait for an own slot, if `waiting` requests of this instance do.
    fn may_queue(&self, waiting: usize, now: Moment) -> bool {
        let max_waiting = MAX_WAITS_PER_SLOT * f64::from(self.share.usable(now));
        ((self.queue.len() + waiting) as f64) < max_waiting
    }

    fn free_loan(&self, now: Moment) -> Option<LoanId> {
        let mut free = self.borrowed.iter().filter(|(_, loan)| loan.is_free(now));
        free.next().map(|(id, _)| *id)
    }

    fn sweep(&mut self, now: Moment) {
        self.lent.retain(|_, expires| *expires > now);
        self.lingering.retain(|until| *until > now);
        self.queue
            .retain(|(_, since)| now.since(*since) < QUEUE_TIMEOUT);
        self.refused.retain(|_, until| *until > now);
    }
}

/// The endpoints whose slots are divided, as known to one instance.
#[derive(Debug)]
pub struct Ledger {
    accounts: HashMap<Arc<str>, Account>,
    /// The requests for loans that wait for replies.
    pending: HashMap<LoanId, PendingRequest>,
    request_rate: RequestRate,
    next_id: u64,
    /// When the slots of endpoints that are not known yet may be used.
    usable_at: Moment,
}

impl Ledger {
    /// Creates the ledger of a process that starts at `now`, which numbers its loans from `first_id`. Unless the whole
    /// deployment starts for the first time, requests and loans of an earlier process may still be in progress.
    pub fn new(first_id: u64, first_start: bool, now: Moment) -> Self {
        let delay = if first_start {
            Duration::ZERO
        } else {
            TRANSFER_DELAY
        };
        Self {
            accounts: HashMap::new(),
            pending: HashMap::new(),
            request_rate: RequestRate::default(),
            next_id: first_id,
            usable_at: now + delay,
        }
    }

    /// Divides the `slots` of an endpoint, at which `in_progress` requests of this instance are in progress.
    pub fn divide(
        &mut self,
        endpoint: &Arc<str>,
        slots: u32,
        owners: Owners<'_>,
        in_progress: u32,
        now: Moment,
    ) {
        let divided_by = Some((slots, owners.digest));
        let is_known = match self.accounts.get(endpoint) {
            Some(account) if account.divided_by == divided_by => return,
            account => account.is_some(),
        };
        let usable_at = if is_known {
            now + TRANSFER_DELAY
        } else {
            self.usable_at
        };
        let account = self.accounts.entry(Arc::clone(endpoint)).or_default();
        if !is_known {
            account.in_use = in_progress;
        }
        let (share, others) = owners.divide(endpoint, slots);
        account.share.set(share, usable_at, now);
        account.lenders = others.into_iter().map(Arc::from).collect();
        account.divided_by = divided_by;
    }

    /// Stops dividing the slots of all endpoints but these.
    pub fn retain(&mut self, is_divided: impl Fn(&str) -> bool) {
        self.accounts.retain(|endpoint, _| is_divided(endpoint));
    }

    /// Returns whether no slots are divided.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns whether a request can be sent to an endpoint now.
    pub fn has_free(&self, endpoint: &str, now: Moment) -> bool {
        let account = self.accounts.get(endpoint);
        account.is_some_and(|a| a.available(now) > 0 || a.free_loan(now).is_some())
    }

    /// Returns the number of own slots of some endpoints that may be used.
    pub fn usable<'a>(&self, endpoints: impl Iterator<Item = &'a Arc<str>>, now: Moment) -> u32 {
        let accounts = endpoints.filter_map(|endpoint| self.accounts.get(endpoint));
        accounts.map(|account| account.share.usable(now)).sum()
    }

    /// Takes a slot of an endpoint for a request; `None` if there is none, or if its slots are not divided.
    pub fn acquire(&mut self, endpoint: &str, now: Moment) -> Option<Permit> {
        let account = self.accounts.get_mut(endpoint)?;
        if account.available(now) > 0 {
            account.in_use += 1;
            return Some(Permit::Own);
        }
        let id = account.free_loan(now)?;
        account.borrowed.get_mut(&id)?.state = Use::Active;
        Some(Permit::Borrowed(id))
    }

    /// Gives back the slot of a request that ended. A request from before the slots were divided has no permit.
    pub fn release(&mut self, endpoint: &str, permit: Option<Permit>, ending: Ending, now: Moment) {
        let Some(account) = self.accounts.get_mut(endpoint) else {
            return;
        };
        let until = now + LINGER;
        // The loan of a request from before the slots were divided anew is not known any more, and the request counts as one
        // with an own slot.
        if let Some(Permit::Borrowed(id)) = permit
            && let Some(loan) = account.borrowed.get_mut(&id)
        {
            loan.state = match ending {
                Ending::Known => Use::Free,
                Ending::Unknown => Use::Lingering { until },
            };
            return;
        }
        account.in_use = account.in_use.saturating_sub(1);
        if ending == Ending::Unknown {
            account.lingering.push(until);
        }
    }

    /// Returns the loans of an endpoint that no request uses.
    pub fn return_free(&mut self, endpoint: &Arc<str>) -> Vec<Outgoing> {
        let Some(account) = self.accounts.get_mut(endpoint) else {
            return Vec::new();
        };
        let free = account
            .borrowed
            .extract_if(|_, loan| loan.state == Use::Free);
        free.map(|(id, loan)| Outgoing::new(loan.lender, Notice::Return, endpoint, id))
            .collect()
    }

    /// Requests loans of a slot of one of these endpoints on behalf of `waiting` requests. `seed` determines the order of lenders. `address` returns the address of an instance, if it is known.
    ///
    /// Lenders that refused recently or have not replied yet are left out.
    pub fn request_loans(
        &mut self,
        endpoints: &[Arc<str>],
        waiting: usize,
        seed: &str,
        address: impl Fn(&str) -> Option<IpAddr>,
        now: Moment,
    ) -> Vec<Outgoing> {
        let max_requests = (MAX_LENDERS * waiting).saturating_sub(self.awaited_replies(now));
        let max_requests = max_requests.min(MAX_LENDERS);
        let mut outgoing = Vec::new();
        // One lender of each endpoint comes first: the known loads are outdated, so that many instances prefer the same endpoint.
        let preferred = endpoints.iter().cycle().take(2 * endpoints.len());
        for endpoint in preferred {
            if outgoing.len() == max_requests || !self.request_rate.allows(now) {
                break;
            }
            let lender = self.lender(endpoint, seed, now);
            if let Some(lender) = lender
                && let Some(address) = address(&lender)
            {
                self.request_rate.record();
                outgoing.push(self.request_loan(endpoint, lender, address, now));
            }
        }
        outgoing
    }

    /// Returns the next lender to request a slot of an endpoint from.
    fn lender(&self, endpoint: &str, seed: &str, now: Moment) -> Option<Arc<str>> {
        let account = self.accounts.get(endpoint)?;
        let refused = |name: &str| account.refused.get(name).is_some_and(|until| *until > now);
        let is_pending = |name: &str| {
            let mut pending = self.pending.values();
            pending.any(|request| {
                *request.lender == *name && *request.endpoint == *endpoint && !request.is_over(now)
            })
        };
        let lenders = account.lenders.iter().map(|name| &**name);
        let willing: Vec<&str> = lenders
            .filter(|name| !refused(name) && !is_pending(name))
            .collect();
        let candidates = equally_weighted(willing.iter().copied());
        let index = choose(seed, &candidates)?;
        Some(Arc::from(willing[index]))
    }

    fn request_loan(
        &mut self,
        endpoint: &Arc<str>,
        lender: Arc<str>,
        address: IpAddr,
        now: Moment,
    ) -> Outgoing {
        let id = LoanId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1);
        let request = PendingRequest {
            endpoint: Arc::clone(endpoint),
            lender,
            at: now,
            is_queued: false,
        };
        self.pending.insert(id, request);
        Outgoing::new(address, Notice::Request, endpoint, id)
    }

    /// Returns the number of requests for loans whose replies are awaited.
    pub fn awaited_replies(&self, now: Moment) -> usize {
        let pending = self.pending.values();
        pending.filter(|request| !request.is_over(now)).count()
    }

    /// Handles a notice from the instance at `from`, while `waiting` requests of this instance wait for a slot. Returns the
    /// reply.
    pub fn handle(
        &mut self,
        from: IpAddr,
        notice: Notice,
        (endpoint, id): (&Arc<str>, LoanId),
        waiting: usize,
        now: Moment,
    ) -> Option<Outgoing> {
        let reply = |notice| Some(Outgoing::new(from, notice, endpoint, id));
        match notice {
            Notice::Request => reply(self.handle_request(endpoint, (from, id), waiting, now)),
            Notice::Queued => {
                if let Some(request) = self.pending.get_mut(&id) {
                    request.is_queued = true;
                }
                None
            }
            Notice::Grant => {
                let is_wanted = self.accept(endpoint, (from, id), now);
                (!is_wanted).then(|| Outgoing::new(from, Notice::Return, endpoint, id))
            }
            Notice::Refusal => {
                if let Some(request) = self.pending.remove(&id)
                    && let Some(account) = self.accounts.get_mut(endpoint)
                {
                    account
                        .refused
                        .insert(request.lender, now + REFUSAL_BACKOFF);
                }
                None
            }
            Notice::Renewal => {
                // A process that has just started learns of the loans of its predecessor here.
                let account = self.accounts.get_mut(endpoint)?;
                account.lent.insert((from, id), now + LOAN_TTL);
                reply(Notice::Confirmation)
            }
            Notice::Confirmation => {
                let account = self.accounts.get_mut(endpoint)?;
                account.borrowed.get_mut(&id)?.confirm();
                None
            }
            Notice::Return => {
                self.accounts.get_mut(endpoint)?.lent.remove(&(from, id));
                None
            }
        }
    }

    /// Lends a slot of an endpoint, or queues the request. A repeated request gets the same loan.
    fn handle_request(
        &mut self,
        endpoint: &str,
        loan: (IpAddr, LoanId),
        waiting: usize,
        now: Moment,
    ) -> Notice {
        let Some(account) = self.accounts.get_mut(endpoint) else {
            return Notice::Refusal;
        };
        let is_free = waiting == 0 && account.available(now) > 0;
        if is_free || account.lent.contains_key(&loan) {
            account.lent.insert(loan, now + LOAN_TTL);
            return Notice::Grant;
        }
        if !account.may_queue(waiting, now) {
            return Notice::Refusal;
        }
        account.queue.push_back((loan, now));
        Notice::Queued
    }

    /// Lends the free own slots of an endpoint to those that wait for them.
    pub fn grant_queued(&mut self, endpoint: &Arc<str>, now: Moment) -> Vec<Outgoing> {
        let mut grants = Vec::new();
        let Some(account) = self.accounts.get_mut(endpoint) else {
            return grants;
        };
        account.sweep(now);
        while account.available(now) > 0
            && let Some(((borrower, id), _)) = account.queue.pop_front()
        {
            account.lent.insert((borrower, id), now + LOAN_TTL);
            grants.push(Outgoing::new(borrower, Notice::Grant, endpoint, id));
        }
        grants
    }

    /// Accepts a loan; returns `false` if it was not requested or came too late.
    fn accept(&mut self, endpoint: &str, (lender, id): (IpAddr, LoanId), now: Moment) -> bool {
        let Some(request) = self.pending.remove(&id) else {
            let account = self.accounts.get(endpoint);
            return account.is_some_and(|account| account.borrowed.contains_key(&id));
        };
        let Some(account) = self.accounts.get_mut(endpoint) else {
            return false;
        };
        let loan = Borrowed::new(lender, request.at);
        let is_valid = loan.is_free(now);
        if is_valid {
            account.borrowed.insert(id, loan);
        }
        is_valid
    }

    /// Returns the messages that are due: renewals of loans in use, and returns of the others.
    pub fn tick(&mut self, now: Moment) -> Vec<Outgoing> {
        let mut due = Vec::new();
        self.pending
            .retain(|_, request| now.since(request.at) < LOAN_TTL);
        for (endpoint, account) in &mut self.accounts {
            account.sweep(now);
            account.borrowed.retain(|id, loan| {
                let notice = loan.tick(now);
                due.extend(notice.map(|notice| Outgoing::new(loan.lender, notice, endpoint, *id)));
                notice != Some(Notice::Return)
            });
        }
        due
    }

    /// Returns the numbers of slots of all endpoints.
    pub fn totals(&self, now: Moment) -> Totals {
        let mut totals = Totals::default();
        for account in self.accounts.values() {
            totals.own += account.share.usable(now);
            totals.free += account.available(now);
            totals.lent += account.lent.len();
            totals.borrowed += account.borrowed.len();
        }
        totals
    }
}
