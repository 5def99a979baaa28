//! The units that one instance may use of each organisation's quota.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;
use ploverwick_routes::Quota;

use crate::demand::Demand;
use crate::retry_after;
use crate::unspent::UnspentUnits;
use crate::{Grant, GrantRequest, Lease, PREFETCH_DURATION, lease_duration, lease_interval};

/// The assumed maximum delay of a message. A pool counts the duration of a lease from the arrival of the message, so
/// the owner waits this much longer before it reuses its share.
const MAX_TRANSIT_DELAY: Duration = Duration::from_millis(100);
/// How long to wait for an answer before units for a pending request are requested again.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// How long a pool may leave messages unanswered before it is replaced.
const POOL_TIMEOUT: Duration = Duration::from_millis(350);
/// The interval between messages to a pool that has not answered the last one.
const UNANSWERED_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How long an unresponsive pool is excluded. This is short because the pool may merely have started later than
/// this instance, and because instances that exclude different candidates split the quotas over several pools.
const EXCLUSION_PERIOD: Duration = Duration::from_secs(2);
/// How long after an answer an instance is considered able to act as a pool.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How often the candidates preferred to the current pool are probed.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// How many candidates are probed at once, since several may have failed together.
const MAX_CANDIDATES: usize = 4;
/// How many consecutive messages may stay unanswered: one may be lost, and then the answer to the next.
const MAX_UNANSWERED: u32 = 2;
/// How long an instance that gets no answer searches for a pool before it pools its own share.
const SELF_POOL_DELAY: Duration = Duration::from_millis(700);
/// How long the account of an organisation without requests is kept.
const IDLE_ACCOUNT_TTL: Duration = Duration::from_secs(30);

/// Identifies a pending request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(u64);

/// The immediate result of [`Allocation::acquire`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request is within the quota and is charged to it.
    Granted,
    /// The request waits for an answer of the pool.
    Pending(Ticket),
    /// The request is over the quota; it may be retried after this time.
    OverQuota(Duration),
}

/// The state of a request that had to wait for the pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request is within the quota and is charged to it.
    Granted,
    /// The pool has not answered yet.
    Pending,
    /// The request is over the quota; it may be retried after this time.
    OverQuota(Duration),
}

#[derive(Debug)]
struct PendingRequest {
    ticket: Ticket,
    cost: u32,
    /// When units for it were last requested from a pool.
    requested_at: Option<Moment>,
}

/// A request that is no longer pending, until its decision is polled.
#[derive(Debug, Clone, Copy)]
struct DecidedRequest {
    cost: u32,
    decision: Decision,
    at: Moment,
}

/// The state of one organisation at this instance.
#[derive(Debug, Default)]
struct Account {
    /// Units that were granted and not used.
    unspent: UnspentUnits,
    demand: Demand,
    pending: Vec<PendingRequest>,
    /// Decisions that have not been polled yet.
    decided: HashMap<Ticket, DecidedRequest>,
    last_used: Moment,
}

/// Where this instance's share of the quotas is.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ShareState {
    /// At this instance, and not leased.
    Held { since: Moment },
    /// Leased to a pool.
    Leased {
        pool: IpAddr,
        /// When the lease expires.
        until: Moment,
        /// When the first message since the last answer was sent.
        unanswered_since: Option<Moment>,
        /// The number of messages since the last answer.
        unanswered: u32,
    },
    /// Being reclaimed from a pool, until the lease expires or the pool confirms the return.
    Reclaiming {
        pool: IpAddr,
        until: Moment,
        /// When the return was requested.
        requested_at: Option<Moment>,
    },
}

/// What is known of an instance that may act as a pool.
#[derive(Debug, Clone, Copy, Default)]
struct Candidate {
    /// When it last answered.
    answered_at: Option<Moment>,
    /// The number of probes since then.
    unanswered: u32,
    /// Until when it is not considered.
    excluded_until: Moment,
}

/// The units that one instance may use of each organisation's quota.
#[derive(Debug)]
pub struct Allocation {
    own: IpAddr,
    accounts: HashMap<Arc<str>, Account>,
    share_state: ShareState,
    candidates: HashMap<IpAddr, Candidate>,
    instance_count: usize,
    next_ticket: u64,
    /// When the last messages were sent.
    last_sent: Option<Moment>,
    /// When candidates were last probed.
    last_probe: Option<Moment>,
    has_urgent: bool,
    has_leased: bool,
}

impl Allocation {
    /// Creates the allocation of an instance at the address `own` that has just started.
    pub fn new(own: IpAddr, now: Moment) -> Self {
        Self {
            own,
            accounts: HashMap::new(),
            share_state: ShareState::Held { since: now },
            candidates: HashMap::new(),
            instance_count: 0,
            next_ticket: 0,
            last_sent: None,
            last_probe: None,
            has_urgent: false,
            has_leased: false,
        }
    }

    /// Acquires `cost` units for a request, or registers it as pending.
    pub fn acquire(&mut self, name: &Arc<str>, quota: &Quota, cost: u32, now: Moment) -> Admission {
        let account = self.accounts.entry(Arc::clone(name)).or_default();
        let units = f64::from(cost);
        account.demand.add(units, now);
        account.last_used = now;
        account.unspent.expire(now);
        if quota.rate <= 0.0 {
            return Admission::OverQuota(retry_after::clamp(Duration::MAX));
        }
        if account.pending.is_empty() && account.unspent.take(units) {
            return Admission::Granted;
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        account.pending.push(PendingRequest {
            ticket,
            cost,
            requested_at: None,
        });
        self.has_urgent = true;
        Admission::Pending(ticket)
    }

    /// Returns the decision on a pending request. A decision other than [`Decision::Pending`] is returned once.
    pub fn poll(&mut self, name: &str, ticket: Ticket) -> Decision {
        let account = self.accounts.get_mut(name);
        let decided = account.and_then(|account| account.decided.remove(&ticket));
        decided.map_or(Decision::Pending, |decided| decided.decision)
    }

    /// Removes a pending request, and returns its units if they were granted but not polled.
    pub fn cancel(&mut self, name: &str, ticket: Ticket) {
        let Some(account) = self.accounts.get_mut(name) else {
            return;
        };
        account.pending.retain(|pending| pending.ticket != ticket);
        let decided = account.decided.remove(&ticket);
        if let Some(decided) = decided.filter(|decided| decided.decision == Decision::Granted) {
            account.unspent.add(f64::from(decided.cost), decided.at);
        }
    }

    /// Refunds the units of a request that certainly did not run. The request may have been queued for long, so
    /// units are not reused if `granted_at` is long ago.
    pub fn refund(&mut self, name: &str, cost: u32, granted_at: Moment) {
        if let Some(account) = self.accounts.get_mut(name) {
            account.unspent.add(f64::from(cost), granted_at);
        }
    }

    /// Returns whether messages should be sent before [`Self::due`], for example because units for a pending request
    /// have not been requested yet.
    pub fn has_urgent(&self) -> bool {
        self.has_urgent
    }

    /// Returns when the next messages are due.
    pub fn due(&self) -> Moment {
        let pause = match self.share_state {
            ShareState::Leased {
                unanswered_since: Some(_),
                ..
            } => UNANSWERED_RETRY_INTERVAL.min(lease_interval(self.instance_count)),
            ShareState::Leased { .. } | ShareState::Held { .. } | ShareState::Reclaiming { .. } => {
                lease_interval(self.instance_count)
            }
        };
        let regular = self
            .last_sent
            .map_or(Moment(0), |last_sent| last_sent + pause);
        let pending = self.accounts.values().flat_map(|account| &account.pending);
        let requested_at = pending.filter_map(|pending| pending.requested_at).min();
        requested_at.map_or(regular, |requested_at| {
            regular.min(requested_at + RETRY_INTERVAL)
        })
    }

    /// Returns whether the share has been leased since the start, be it to this instance itself.
    pub fn has_leased(&self) -> bool {
        self.has_leased
    }

    /// Returns the pool that the share is leased to, if any.
    pub fn pool(&self) -> Option<IpAddr> {
        match self.share_state {
            ShareState::Leased { pool, .. } => Some(pool),
            ShareState::Held { .. } | ShareState::Reclaiming { .. } => None,
        }
    }

    /// Returns the next messages and their recipients. `pools` lists the instances that may act as a pool, including
    /// this one, in order of preference. `instance_count` is the number of instances that share the quotas.
    pub fn prepare_leases(
        &mut self,
        pools: &[IpAddr],
        instance_count: usize,
        now: Moment,
    ) -> Vec<(IpAddr, Lease)> {
        self.instance_count = instance_count;
        self.last_sent = Some(now);
        self.has_urgent = false;
        self.accounts.retain(|_, account| !account.is_idle(now));
        let mut messages = Vec::new();
        self.update_share_state(pools, now, &mut messages);
        self.probe_candidates(pools, now, &mut messages);
        let ShareState::Leased {
            pool,
            until,
            unanswered_since,
            unanswered,
        } = &mut self.share_state
        else {
            return messages;
        };
        let duration = lease_duration(lease_interval(instance_count));
        // A lease is not extended while the pool does not answer: the pool may have failed, and the share cannot be
        // used elsewhere until the lease expires.
        let left = match unanswered_since {
            Some(_) => until.since(now).saturating_sub(MAX_TRANSIT_DELAY),
            None => duration,
        };
        if unanswered_since.is_none() {
            *until = now + duration + MAX_TRANSIT_DELAY;
        }
        unanswered_since.get_or_insert(now);
        *unanswered += 1;
        let pool = *pool;
        let grant_requests = self.accounts.iter_mut();
        let grant_requests =
            grant_requests.filter_map(|(name, account)| account.build_request(name, now));
        let lease = Lease {
            instance_count: saturating_count(instance_count),
            lease_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX).max(1),
            grant_requests: grant_requests.collect(),
        };
        messages.push((pool, lease));
        messages
    }

    /// Leases or reclaims the share, depending on the state of the current pool and the candidates.
    fn update_share_state(
        &mut self,
        pools: &[IpAddr],
        now: Moment,
        messages: &mut Vec<(IpAddr, Lease)>,
    ) {
        match self.share_state {
            ShareState::Leased {
                pool,
                until,
                unanswered_since: Some(since),
                unanswered,
            } if unanswered > MAX_UNANSWERED && now.since(since) >= POOL_TIMEOUT => {
                self.exclude(pool, now);
                self.share_state = ShareState::Reclaiming {
                    pool,
                    until,
                    requested_at: None,
                };
                self.last_probe = None;
            }
            ShareState::Leased {
                pool,
                until,
                unanswered_since: None,
                ..
            } if self.best_pool(pools, now).is_some_and(|best| best != pool) => {
                // End the lease at the pool, so that its further grants draw only on other shares.
                messages.push((pool, self.empty_lease()));
                let requested_at = Some(now);
                self.share_state = ShareState::Reclaiming {
                    pool,
                    until,
                    requested_at,
                };
            }
            ShareState::Reclaiming { until, .. } if until <= now => {
                self.share_state = ShareState::Held { since: now };
                self.lease_share(pools, now, now);
            }
            ShareState::Held { since } => self.lease_share(pools, since, now),
            ShareState::Leased { .. } | ShareState::Reclaiming { .. } => {}
        }
    }

    /// Leases the share to the best pool, or to this instance itself if no candidate has answered within
    /// [`SELF_POOL_DELAY`] of `since`.
    fn lease_share(&mut self, pools: &[IpAddr], since: Moment, now: Moment) {
        let is_alone = now.since(since) >= SELF_POOL_DELAY;
        let pool = self.best_pool(pools, now);
        if let Some(pool) = pool.or_else(|| is_alone.then_some(self.own)) {
            self.has_leased = true;
            self.share_state = ShareState::Leased {
                pool,
                until: now,
                unanswered_since: None,
                unanswered: 0,
            };
        }
    }

    /// Returns the most preferred instance that is known to be able to act as a pool.
    fn best_pool(&self, pools: &[IpAddr], now: Moment) -> Option<IpAddr> {
        let usable = pools.iter().filter(|ip| self.is_usable(**ip, now));
        let mut usable = usable.take(MAX_CANDIDATES).copied();
        usable.find(|ip| *ip == self.own || self.is_alive(*ip, now))
    }

    fn is_usable(&self, ip: IpAddr, now: Moment) -> bool {
        let candidate = self.candidates.get(&ip);
        candidate.is_none_or(|candidate| candidate.excluded_until <= now)
    }

    fn is_alive(&self, ip: IpAddr, now: Moment) -> bool {
        let answered_at = self
            .candidates
            .get(&ip)
            .and_then(|candidate| candidate.answered_at);
        answered_at.is_some_and(|at| now.since(at) <= LIVENESS_TIMEOUT)
    }

    fn exclude(&mut self, ip: IpAddr, now: Moment) {
        let candidate = self.candidates.entry(ip).or_default();
        candidate.excluded_until = now + EXCLUSION_PERIOD;
        candidate.unanswered = 0;
        candidate.answered_at = None;
    }

    /// Probes the candidates that are preferred to the current pool.
    fn probe_candidates(
        &mut self,
        pools: &[IpAddr],
        now: Moment,
        messages: &mut Vec<(IpAddr, Lease)>,
    ) {
        let pool = self.pool();
        let pause = if pool.is_some() {
            PROBE_INTERVAL
        } else {
            lease_interval(self.instance_count)
        };
        if self.last_probe.is_some_and(|at| now.since(at) < pause) {
            return;
        }
        self.last_probe = Some(now);
        let usable = pools.iter().filter(|ip| self.is_usable(**ip, now));
        let first: Vec<IpAddr> = usable.take(MAX_CANDIDATES).copied().collect();
        for ip in first {
            if Some(ip) == pool || ip == self.own {
                // The remaining candidates are less preferred.
                break;
            }
            let candidate = self.candidates.entry(ip).or_default();
            candidate.unanswered += 1;
            if candidate.unanswered > MAX_UNANSWERED {
                self.exclude(ip, now);
            } else {
                messages.push((ip, self.empty_lease()));
            }
        }
    }

    /// Returns a message that leases nothing, used as a probe and to end a lease.
    fn empty_lease(&self) -> Lease {
        Lease {
            instance_count: saturating_count(self.instance_count),
            lease_ms: 0,
            grant_requests: Vec::new(),
        }
    }

    /// Handles the answer of `from` to the message sent at `requested_at`.
    pub fn handle_grants(
        &mut self,
        from: IpAddr,
        requested_at: Moment,
        grants: &[Grant],
        now: Moment,
    ) {
        let candidate = self.candidates.entry(from).or_default();
        candidate.answered_at = Some(now);
        candidate.unanswered = 0;
        match &mut self.share_state {
            ShareState::Leased {
                pool,
                unanswered_since,
                unanswered,
                ..
            } if *pool == from => {
                *unanswered_since = None;
                *unanswered = 0;
            }
            ShareState::Reclaiming {
                pool,
                requested_at: reclaim_sent,
                ..
            } if *pool == from && *reclaim_sent == Some(requested_at) => {
                self.share_state = ShareState::Held { since: now };
                self.has_urgent = true;
            }
            // An instance without a pool can lease its share now that a candidate has answered.
            ShareState::Held { .. } => self.has_urgent = true,
            ShareState::Leased { .. } | ShareState::Reclaiming { .. } => {}
        }
        for grant in grants {
            if let Some(account) = self.accounts.get_mut(&grant.organisation) {
                account.apply_grant(requested_at, grant, now);
            }
        }
    }
}

fn saturating_count(instance_count: usize) -> u32 {
    u32::try_from(instance_count).unwrap_or(u32::MAX)
}

impl Account {
    /// Builds the request to the pool, or returns `None` if no units are needed.
    fn build_request(&mut self, name: &Arc<str>, now: Moment) -> Option<GrantRequest> {
        self.unspent.expire(now);
        let target = self.demand.rate(now) * PREFETCH_DURATION.as_secs_f64();
        let unspent = self.unspent.sum();
        let is_worth_it = target >= self.demand.mean_cost() && unspent < target / 2.0;
        let prefetch = if is_worth_it { target - unspent } else { 0.0 };
        let due = self.pending.iter_mut().filter(|pending| {
            let requested_at = pending.requested_at;
            requested_at.is_none_or(|requested_at| now.since(requested_at) >= RETRY_INTERVAL)
        });
        let costs = due.map(|pending| {
            pending.requested_at = Some(now);
            pending.cost
        });
        let request = GrantRequest {
            organisation: Arc::clone(name),
            costs: costs.collect(),
            prefetch: prefetch as u32,
        };
        let is_empty = request.costs.is_empty() && request.prefetch == 0;
        (!is_empty).then_some(request)
    }

    /// Adds the granted units, and decides the pending requests.
    fn apply_grant(&mut self, requested_at: Moment, grant: &Grant, now: Moment) {
        self.unspent.expire(now);
        self.unspent.add(f64::from(grant.units), now);
        let over = Duration::from_millis(grant.wait_ms.into());
        let (unspent, decided) = (&mut self.unspent, &mut self.decided);
        self.pending.retain(|pending| {
            let decision = if unspent.take(f64::from(pending.cost)) {
                Decision::Granted
            } else if pending.requested_at == Some(requested_at) && grant.wait_ms > 0 {
                Decision::OverQuota(over)
            } else {
                return true;
            };
            let cost = pending.cost;
            decided.insert(
                pending.ticket,
                DecidedRequest {
                    cost,
                    decision,
                    at: now,
                },
            );
            false
        });
    }

    fn is_idle(&self, now: Moment) -> bool {
        let is_old = now.since(self.last_used) > IDLE_ACCOUNT_TTL;
        is_old && self.pending.is_empty() && self.decided.is_empty()
    }
}
