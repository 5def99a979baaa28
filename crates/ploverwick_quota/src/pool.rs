//! The parts that instances lent to this one, and what it grants from them.

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;
use ploverwick_routes::Quota;

use crate::hint;
use crate::slots::{self, Slots};
use crate::{AHEAD, Ask, Grant, Lease};

/// The part of what a window may hold that must be free for more to be granted than waiting requests need.
/// Below it an organisation nears its quota, and what lies unused at one instance is missing at another. Nor
/// is more granted than keeps the pace of the quota: what is used later than it was granted counts in a
/// later window.
const PLENTY: f64 = 0.25;
/// The part of a quota that is granted. The rest covers what is used later than it was granted, in a window
/// that holds more then: at an instance that stood still, or from what was granted ahead.
const GRANTED: f64 = 0.96;
/// The time over which the pace is kept.
const SECOND: Duration = Duration::from_secs(1);
/// How many times faster than it lasts a quota may be used: a crowd of one organisation would use up a window's
/// worth within a second or two, in which the others wait behind it at endpoints, and be refused for the rest.
const FASTEST: f64 = 2.0;
/// How many seconds of its lasting pace a quota may be used ahead of [`STEADY`] of that pace. A pool that ends
/// leaves as much behind that the next one knows nothing of.
const LEAD_S: f64 = 1.2;
/// The part of the lasting pace against which a lead is counted.
const STEADY: f64 = 0.93;
/// The part of a window from which on all of it counts as lent.
const FILLED: f64 = 0.98;
/// The part of a quota from which on a pool lets a request pass that is larger than a window may hold. Many
/// small pools would each let one pass.
const LARGE: f64 = 0.5;
/// The seconds of its rate for which an organisation's refused requests count as coming back: most clients
/// wait no longer.
const COME_BACK_S: f64 = 3.0;

#[derive(Debug, Clone, Copy)]
struct Lender {
    part: f64,
    until: Moment,
}

/// What was granted to one organisation.
#[derive(Debug, Default)]
struct Account {
    granted: Slots,
    /// The units that were refused, less what there was room for since.
    refused: f64,
    refused_at: Moment,
}

/// The parts that instances lent.
///
/// In any window of time a pool grants no more than the part of the quota that was lent to it over that
/// window. That alone does not add up over pools that end: the time before a crowd would let one grant a
/// window's worth within half a window, and the window after its end would hold that and what the next
/// pools grant. So in any time up to its end a pool grants no more than [`LEAD_S`] seconds' worth beyond
/// the lasting pace, and a new one, to which nothing was lent yet, no more than that pace. Then windows over any series
/// of pools hold about a ninth more than the quota at most, and pools need to know nothing of each other.
#[derive(Debug)]
pub struct Pool {
    window: Duration,
    lenders: BTreeMap<IpAddr, Lender>,
    /// Seconds for which whole quotas were lent: a quota of which half is lent for two seconds counts one.
    lent: Slots,
    at: Moment,
    accounts: HashMap<Arc<str>, Account>,
}

impl Pool {
    /// Makes a pool of quotas that hold over any `window` of time.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            lenders: BTreeMap::new(),
            lent: Slots::default(),
            at: Moment(0),
            accounts: HashMap::new(),
        }
    }

    /// Takes in what `from` lends, and returns whether it lends anything.
    pub fn lend(&mut self, from: IpAddr, lease: &Lease, now: Moment) -> bool {
        self.advance(now);
        if lease.lease_ms == 0 {
            self.lenders.remove(&from);
            return false;
        }
        let lender = Lender {
            part: 1.0 / f64::from(lease.sharers.max(1)),
            until: now + Duration::from_millis(lease.lease_ms.into()),
        };
        self.lenders.insert(from, lender);
        true
    }

    /// Returns the part of all quotas that is lent.
    pub fn share(&self) -> f64 {
        let parts = self.lenders.values().map(|lender| lender.part);
        parts.sum::<f64>().min(1.0)
    }

    /// Returns how many instances lend.
    pub fn lenders(&self) -> usize {
        self.lenders.len()
    }

    /// Grants what there is room for.
    pub fn ask(&mut self, ask: &Ask, quota: &Quota, now: Moment) -> Grant {
        self.advance(now);
        let limits = self.limits(quota, now);
        let name = Arc::clone(&ask.organisation);
        let account = self.accounts.entry(name).or_default();
        let mut usage = Usage::of(account, &limits, now);
        let mut missing: Option<Missing> = None;
        for need in &ask.needs {
            let need = f64::from(*need);
            if usage.allows(need, &limits) {
                usage.grant(need);
            } else {
                let short = usage.missing(need, &limits);
                missing = Some(missing.map_or(short, |known| known.max(short)));
                account.refuse(need, limits.rate, now);
            }
        }
        // Requests that were refused come first: one that needs an empty window would else never find it.
        let ahead = if account.refused_now(limits.rate, now) > 0.0 {
            0.0
        } else {
            f64::from(ask.extra).min(usage.room_ahead(&limits))
        };
        usage.grant(ahead.max(0.0).floor());
        account.granted.add(usage.granted, now);
        let wait = missing.map(|missing| account.room_in(missing, &limits, now));
        let wait_ms = wait.unwrap_or_default().as_millis();
        Grant {
            organisation: Arc::clone(&ask.organisation),
            units: usage.granted as u32,
            wait_ms: u32::try_from(wait_ms).unwrap_or(u32::MAX),
        }
    }

    /// Works out what the parts that are lent allow of a quota.
    fn limits(&mut self, quota: &Quota, now: Moment) -> Limits {
        let share = self.share();
        let window_s = self.window.as_secs_f64();
        // A burst may be used once in each window, so that this is what may be used a second over time.
        let whole = quota.rate + quota.burst / window_s;
        let lent = self.lent.sum(self.window, now);
        Limits {
            span: self.window,
            window: whole * lent * GRANTED,
            rate: whole * share,
            is_filling: lent < share * window_s * FILLED,
            large: (share >= LARGE && whole > 0.0).then_some(whole * window_s),
        }
    }

    /// Counts the time up to `now`, each part for as long as it is lent.
    fn advance(&mut self, now: Moment) {
        loop {
            let ended = self
                .lenders
                .iter()
                .filter(|(_, lender)| lender.until <= now);
            let first = ended.min_by_key(|(_, lender)| lender.until);
            let Some((ip, until)) = first.map(|(ip, lender)| (*ip, lender.until)) else {
                return self.count(now);
            };
            self.count(until);
            self.lenders.remove(&ip);
        }
    }

    fn count(&mut self, until: Moment) {
        let share = self.share();
        self.lent.forget(self.window, until);
        // A long pause is counted slot by slot, as it counts in the windows.
        while self.at < until {
            let next = Slots::end(self.at).min(until);
            let seconds = next.since(self.at).as_secs_f64();
            self.lent.add(share * seconds, self.at);
            self.at = next;
        }
    }
}

/// What the parts that are lent allow of one quota.
#[derive(Debug, Clone, Copy)]
struct Limits {
    /// The length of the window.
    span: Duration,
    /// The units that the window may hold that ends now.
    window: f64,
    /// The units a second that last.
    rate: f64,
    /// Whether parts were lent for less than a window, so that it may hold more each moment.
    is_filling: bool,
    /// The units above which a request is too large for any window, where one may pass all the same.
    large: Option<f64>,
}

impl Limits {
    /// Returns the units that may be used ahead of the pace.
    fn lead(&self) -> f64 {
        self.rate * LEAD_S
    }

    /// Returns what a request counts as against that. One that is larger than half of it would wait for ever
    /// behind the small ones of its organisation.
    fn led(&self, need: f64) -> f64 {
        need.min(self.lead() / 2.0)
    }
}

/// What one organisation has used, with what is being granted.
#[derive(Debug, Clone, Copy)]
struct Usage {
    /// In the window.
    window: f64,
    /// In the last second.
    second: f64,
    /// In the time for which more is granted ahead.
    lately: f64,
    /// Beyond the pace, in the time in which that is most.
    lead: f64,
    /// What is being granted.
    granted: f64,
}

impl Usage {
    fn of(account: &mut Account, limits: &Limits, now: Moment) -> Self {
        Self {
            window: account.granted.sum(limits.span, now),
            second: account.granted.sum_of_last(SECOND, now),
            lately: account.granted.sum_of_last(AHEAD, now),
            lead: account.granted.excess(limits.rate * STEADY, now),
            granted: 0.0,
        }
    }

    fn allows(&self, need: f64, limits: &Limits) -> bool {
        let is_large = limits.large.is_some_and(|large| need > large);
        let has_room = self.window + need <= limits.window || is_large && self.window <= 0.0;
        let is_paced = self.second + need <= limits.rate * FASTEST || self.second <= 0.0;
        has_room && is_paced && self.lead + limits.led(need) <= limits.lead()
    }

    fn missing(&self, need: f64, limits: &Limits) -> Missing {
        Missing {
            window: self.window + need - limits.window,
            second: self.second + need - limits.rate * FASTEST,
            lead: self.lead + limits.led(need) - limits.lead(),
        }
    }

    fn grant(&mut self, units: f64) {
        self.window += units;
        self.second += units;
        self.lately += units;
        self.lead += units;
        self.granted += units;
    }

    /// Returns how much may be granted beyond what requests need now.
    fn room_ahead(&self, limits: &Limits) -> f64 {
        let room = limits.window * (1.0 - PLENTY) - self.window;
        let pace = limits.rate * AHEAD.as_secs_f64() - self.lately;
        let lead = limits.lead() - limits.led(f64::MAX) - self.lead;
        room.min(pace).min(lead)
    }
}

/// The units that have to go before a refused request has room; not above 0 where it has.
#[derive(Debug, Clone, Copy)]
struct Missing {
    window: f64,
    second: f64,
    lead: f64,
}

impl Missing {
    fn max(self, other: Self) -> Self {
        Self {
            window: self.window.max(other.window),
            second: self.second.max(other.second),
            lead: self.lead.max(other.lead),
        }
    }
}

impl Account {
    /// Returns when there is room for what was refused, behind what was refused before.
    fn room_in(&self, missing: Missing, limits: &Limits, now: Moment) -> Duration {
        if missing.window <= 0.0 {
            let second = self.granted.until_gone(missing.second, SECOND, now);
            let lead = Duration::try_from_secs_f64(missing.lead.max(0.0) / (limits.rate * STEADY));
            // A lead is counted by slots, and so gone up to one later.
            let lead = lead.unwrap_or(Duration::MAX).saturating_add(slots::SLOT);
            second.max(hint::of(lead))
        } else if limits.is_filling {
            hint::of_seconds((missing.window + self.refused) / limits.rate)
        } else {
            let missing = missing.window + self.refused;
            self.granted.until_gone(missing, limits.span, now)
        }
    }

    /// Returns the units that were refused, less what there was room for since.
    fn refused_now(&self, rate: f64, now: Moment) -> f64 {
        let since = now.since(self.refused_at).as_secs_f64();
        (self.refused - since * rate).max(0.0)
    }

    fn refuse(&mut self, need: f64, rate: f64, now: Moment) {
        let left = self.refused_now(rate, now);
        self.refused = (left + need).min(rate * COME_BACK_S);
        self.refused_at = now;
    }
}
