//! The quota shares that are leased to this instance, and the units it grants from them.

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;
use ploverwick_routes::Quota;

use crate::refused_units::RefusedUnits;
use crate::retry_after;
use crate::sliding_window::SlidingWindow;
use crate::{Grant, GrantRequest, Lease, PREFETCH_DURATION};

/// The fraction of a window's limit that must stay free when units are granted in advance. With less headroom the
/// organisation is close to its quota, and units unused at one instance are missing at another.
///
/// Grants in advance are also limited to the sustained rate, because units that are used later than they were
/// granted count in a later window.
const PREFETCH_HEADROOM: f64 = 0.25;
/// The fraction of a quota that is granted. The rest covers units that are used later than they were granted, by
/// an instance that was paused or because they were granted in advance, and so add to a later window.
const GRANTABLE_FRACTION: f64 = 0.96;
/// The time over which [`MAX_PACE_FACTOR`] is enforced.
const PACING_WINDOW: Duration = Duration::from_secs(1);
/// How many times the sustained rate may be granted. Without this limit a burst of one organisation would use up
/// a whole window within a second or two, delay the other organisations at the endpoints, and then be refused for
/// the rest of the window.
const MAX_PACE_FACTOR: f64 = 2.0;
/// How far grants may run ahead of [`LEAD_RATE_FRACTION`] of the sustained rate, in seconds at the sustained rate.
/// When a pool fails, the next one does not know of grants up to this amount.
const MAX_LEAD_SECS: f64 = 1.2;
/// The fraction of the sustained rate against which the lead is measured.
const LEAD_RATE_FRACTION: f64 = 0.93;
/// The fraction of a window for which the shares must have been leased for the window to count as full.
const FULL_WINDOW_FRACTION: f64 = 0.98;
/// The share of a quota from which a pool admits a request that is larger than a whole window. Otherwise, many
/// small pools would each admit one.
const MIN_SHARE_FOR_OVERSIZED: f64 = 0.5;
/// The limit of the refused units that are expected to be retried, in seconds at the organisation's rate. Most
/// clients wait no longer.
const MAX_REFUSED_SECS: f64 = 3.0;
const NANOS_PER_MILLI: u128 = 1_000_000;

#[derive(Debug, Clone, Copy)]
struct Lender {
    share: f64,
    until: Moment,
}

/// The units granted to and refused for one organisation.
#[derive(Debug)]
struct Account {
    granted: SlidingWindow,
    refused: RefusedUnits,
}

/// Pools the shares that instances lease to this one, and grants units from them.
///
/// In any window of time a pool grants no more than the share of the quota that was leased to it over that window. That
/// alone is not enough if pools fail. After a time without requests a pool could grant a whole window's worth within
/// half a window and fail, and the next window would hold those units and the grants of its successors.
///
/// Two further limits prevent this. Over any time, a pool grants no more than [`MAX_LEAD_SECS`] seconds' worth
/// beyond the sustained rate. A new pool, which has no past leases to draw on, grants no more than the sustained
/// rate. With these limits a window over any sequence of pools exceeds the quota by at most about a ninth, and
/// pools need not know of each other.
#[derive(Debug)]
pub struct Pool {
    window: Duration,
    lenders: BTreeMap<IpAddr, Lender>,
    /// Leased share times seconds: half of a quota leased for two seconds counts as one.
    leased: SlidingWindow,
    accumulated_until: Moment,
    accounts: HashMap<Arc<str>, Account>,
}

impl Pool {
    /// Creates a pool that enforces quotas over any `window` of time.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            lenders: BTreeMap::new(),
            leased: SlidingWindow::new(window),
            accumulated_until: Moment(0),
            accounts: HashMap::new(),
        }
    }

    /// Applies a lease of `from`, and returns whether it leases anything.
    pub fn apply_lease(&mut self, from: IpAddr, lease: &Lease, now: Moment) -> bool {
        self.advance_to(now);
        if lease.lease_ms == 0 {
            self.lenders.remove(&from);
            return false;
        }
        let lender = Lender {
            share: 1.0 / f64::from(lease.instance_count.max(1)),
            until: now + Duration::from_millis(lease.lease_ms.into()),
        };
        self.lenders.insert(from, lender);
        true
    }

    /// Returns the share of all quotas that is leased to this pool.
    pub fn share(&self) -> f64 {
        let shares = self.lenders.values().map(|lender| lender.share);
        shares.sum::<f64>().min(1.0)
    }

    /// Returns the number of instances that lease their share to this pool.
    pub fn lenders(&self) -> usize {
        self.lenders.len()
    }

    /// Grants the requested units as far as the limits allow.
    pub fn grant(&mut self, request: &GrantRequest, quota: &Quota, now: Moment) -> Grant {
        self.advance_to(now);
        let limits = self.limits(quota, now);
        let name = Arc::clone(&request.organisation);
        let account = self.accounts.entry(name);
        let account = account.or_insert_with(|| Account::new(self.window));
        let mut usage = Usage::of(account, &limits, now);
        let mut refused = Vec::new();
        for cost in &request.costs {
            let cost = f64::from(*cost);
            if usage.allows(cost, &limits) {
                usage.grant(cost);
            } else {
                refused.push(cost);
            }
        }
        // Retries of refused requests take precedence over grants in advance. Otherwise a request that needs an
        // empty window would never find one.
        let prefetch = if !refused.is_empty() || account.refused.sum(now) > 0.0 {
            0.0
        } else {
            f64::from(request.prefetch).min(usage.prefetch_room(&limits))
        };
        usage.grant(prefetch.max(0.0).floor());
        account.granted.add(usage.granted, now);
        // The grant carries one delay, so the longest one applies to all of its refused requests.
        let mut wait = Duration::ZERO;
        for cost in refused {
            let shortfall = usage.shortfall(cost, &limits);
            wait = wait.max(account.retry_after(shortfall, &limits, now));
            account.record_refusal(cost, limits.rate, now + wait, now);
        }
        // Rounded up, since the requests do not fit any earlier.
        let wait_ms = wait.as_nanos().div_ceil(NANOS_PER_MILLI);
        Grant {
            organisation: Arc::clone(&request.organisation),
            units: usage.granted as u32,
            wait_ms: u32::try_from(wait_ms).unwrap_or(u32::MAX),
        }
    }

    /// Computes the limits that the leased shares set for a quota.
    fn limits(&mut self, quota: &Quota, now: Moment) -> Limits {
        let share = self.share();
        let window_s = self.window.as_secs_f64();
        // The burst may be used once per window, so this is the sustained rate per second.
        let whole = quota.rate + quota.burst / window_s;
        let leased = self.leased.sum(now);
        Limits {
            window_len: self.window,
            window: whole * leased * GRANTABLE_FRACTION,
            rate: whole * share,
            is_filling: leased < share * window_s * FULL_WINDOW_FRACTION,
            oversized: (share >= MIN_SHARE_FOR_OVERSIZED && whole > 0.0)
                .then_some(whole * window_s),
        }
    }

    /// Accumulates the leased shares up to `now`, and removes the leases that have expired.
    fn advance_to(&mut self, now: Moment) {
        loop {
            let expired = self
                .lenders
                .iter()
                .filter(|(_, lender)| lender.until <= now);
            let first = expired.min_by_key(|(_, lender)| lender.until);
            let Some((ip, until)) = first.map(|(ip, lender)| (*ip, lender.until)) else {
                return self.accumulate(now);
            };
            self.accumulate(until);
            self.lenders.remove(&ip);
        }
    }

    fn accumulate(&mut self, until: Moment) {
        let share = self.share();
        self.leased.evict(until);
        // Earlier shares have left the window.
        self.accumulated_until = self.accumulated_until.max(until - self.window);
        // A pause is split by slot, so that each part of it leaves the window at its own time.
        while self.accumulated_until < until {
            let next = self.leased.end(self.accumulated_until).min(until);
            let seconds = next.since(self.accumulated_until).as_secs_f64();
            self.leased.add(share * seconds, self.accumulated_until);
            self.accumulated_until = next;
        }
    }
}

/// The limits that the leased shares set for one quota.
#[derive(Debug, Clone, Copy)]
struct Limits {
    /// The length of the window.
    window_len: Duration,
    /// The maximum units in the window that ends now.
    window: f64,
    /// The sustained rate in units per second.
    rate: f64,
    /// Whether the shares have been leased for less than a window, so that the window's limit still grows.
    is_filling: bool,
    /// The cost above which a request fits no window and is admitted if the window is empty; `None` if this pool
    /// must not admit such requests.
    oversized: Option<f64>,
}

impl Limits {
    /// Returns the units that may be granted ahead of the sustained rate.
    fn max_lead(&self) -> f64 {
        self.rate * MAX_LEAD_SECS
    }

    /// Returns the cost of a request against [`Self::max_lead`]. It is capped at half of that, since a larger
    /// request would otherwise starve behind the small ones of its organisation.
    fn lead_cost(&self, cost: f64) -> f64 {
        cost.min(self.max_lead() / 2.0)
    }
}

/// The units granted to one organisation, including those of the grant in progress.
#[derive(Debug, Clone, Copy)]
struct Usage {
    /// The units in the window.
    window: f64,
    /// The units within [`PACING_WINDOW`].
    second: f64,
    /// The units within [`PREFETCH_DURATION`].
    recent: f64,
    /// The units ahead of [`LEAD_RATE_FRACTION`] of the sustained rate, over the time in which that is largest.
    lead: f64,
    /// The units of the grant in progress.
    granted: f64,
}

impl Usage {
    fn of(account: &mut Account, limits: &Limits, now: Moment) -> Self {
        Self {
            window: account.granted.sum(now),
            second: account.granted.sum_of_last(PACING_WINDOW, now),
            recent: account.granted.sum_of_last(PREFETCH_DURATION, now),
            lead: account
                .granted
                .excess(limits.rate * LEAD_RATE_FRACTION, now),
            granted: 0.0,
        }
    }

    fn allows(&self, cost: f64, limits: &Limits) -> bool {
        let is_oversized = limits.oversized.is_some_and(|oversized| cost > oversized);
        let has_room = self.window + cost <= limits.window || is_oversized && self.window <= 0.0;
        let is_paced = self.second + cost <= limits.rate * MAX_PACE_FACTOR || self.second <= 0.0;
        has_room && is_paced && self.lead + limits.lead_cost(cost) <= limits.max_lead()
    }

    fn shortfall(&self, cost: f64, limits: &Limits) -> Shortfall {
        Shortfall {
            window: self.window + cost - limits.window,
            second: self.second + cost - limits.rate * MAX_PACE_FACTOR,
            lead: self.lead + limits.lead_cost(cost) - limits.max_lead(),
        }
    }

    fn grant(&mut self, units: f64) {
        self.window += units;
        self.second += units;
        self.recent += units;
        self.lead += units;
        self.granted += units;
    }

    /// Returns the units that may be granted in advance.
    fn prefetch_room(&self, limits: &Limits) -> f64 {
        let room = limits.window * (1.0 - PREFETCH_HEADROOM) - self.window;
        let pace = limits.rate * PREFETCH_DURATION.as_secs_f64() - self.recent;
        let lead = limits.max_lead() - limits.lead_cost(f64::MAX) - self.lead;
        room.min(pace).min(lead)
    }
}

/// The units by which a refused request exceeds each limit; zero or negative where it is within the limit.
#[derive(Debug, Clone, Copy)]
struct Shortfall {
    window: f64,
    second: f64,
    lead: f64,
}

impl Account {
    fn new(window: Duration) -> Self {
        Self {
            granted: SlidingWindow::new(window),
            refused: RefusedUnits::default(),
        }
    }

    /// Returns the time until a refused request fits. If it exceeds the window's limit, it fits after those that were
    /// refused before it.
    fn retry_after(&mut self, shortfall: Shortfall, limits: &Limits, now: Moment) -> Duration {
        if shortfall.window <= 0.0 {
            let second = self
                .granted
                .time_until_freed(shortfall.second, PACING_WINDOW, now);
            let lead = Duration::try_from_secs_f64(
                shortfall.lead.max(0.0) / (limits.rate * LEAD_RATE_FRACTION),
            );
            // The lead is measured in whole slots, so it may take up to one slot longer to be made up.
            let lead = lead
                .unwrap_or(Duration::MAX)
                .saturating_add(self.granted.slot_duration());
            second.max(retry_after::clamp(lead))
        } else if limits.is_filling {
            let shortfall = shortfall.window + self.refused.sum(now);
            retry_after::from_secs_f64(shortfall / (limits.rate * GRANTABLE_FRACTION))
        } else {
            let shortfall = shortfall.window + self.refused.sum(now);
            self.granted
                .time_until_freed(shortfall, limits.window_len, now)
        }
    }

    /// Records a refused request that may be retried at `retry_at`.
    fn record_refusal(&mut self, cost: f64, rate: f64, retry_at: Moment, now: Moment) {
        let room = rate * MAX_REFUSED_SECS - self.refused.sum(now);
        self.refused.add(cost.min(room), self.granted.end(retry_at));
    }
}
