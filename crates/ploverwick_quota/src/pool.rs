//! The parts that instances lent to this one, and what it grants from them.

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;
use ploverwick_routes::Quota;

use crate::slots::Slots;
use crate::{AHEAD, Ask, Grant, Lease};

/// The part of what a window may hold that must be free for more to be granted than waiting requests need.
/// Below it an organisation nears its quota, and what lies unused at one instance is missing at another. Nor
/// is more granted than keeps the pace of the quota: what is used later than it was granted counts in a
/// later window.
const PLENTY: f64 = 0.25;
/// The part of a quota that is granted. The rest covers what is used later than it was granted, in a window
/// that holds more then: at an instance that stood still, or from what was granted ahead.
const GRANTED: f64 = 0.96;
const SECOND: Duration = Duration::from_secs(1);
/// How many times faster than it lasts a quota may be used: a crowd of one organisation would use up a window's
/// worth within a second or two, in which the others wait behind it at endpoints, and be refused for the rest.
const FASTEST: f64 = 2.0;
/// The part of a window from which on all of it counts as lent.
const FILLED: f64 = 0.98;
/// The part of a quota from which on a pool lets a request pass that is larger than a window may hold. Many
/// small pools would each let one pass.
const LARGE: f64 = 0.5;
/// The shortest and the longest time after which a refused request is asked to come back.
const WAITS: [Duration; 2] = [Duration::from_millis(50), Duration::from_secs(30)];
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
/// window, so that pools need to know nothing of each other, or of what was granted before they began.
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
        let window = self.window;
        let share = self.share();
        // A burst may be used once in each window, so that this is what may be used a second over time.
        let rate = quota.rate + quota.burst / window.as_secs_f64();
        let lent = self.lent.sum(window, now);
        let most = rate * lent * GRANTED;
        let account = self.account(ask);
        let mut used = account.granted.sum(window, now);
        let mut lately = account.granted.sum_of_last(SECOND, now);
        let pace = rate * share * SECOND.as_secs_f64() * FASTEST;
        let mut units = 0.0;
        let mut missing: f64 = 0.0;
        let mut is_over = false;
        for need in &ask.needs {
            let need = f64::from(*need);
            let is_too_large = share >= LARGE && need > rate * window.as_secs_f64();
            let has_room = used + need <= most || is_too_large && used <= 0.0;
            let is_paced = lately + need <= pace || lately <= 0.0;
            if has_room && is_paced {
                used += need;
                lately += need;
                units += need;
            } else {
                missing = missing.max(used + need - most).max(0.0);
                is_over = true;
                account.refuse(need, rate * share, now);
            }
        }
        let room = most * (1.0 - PLENTY) - used;
        let pace = rate * share * AHEAD.as_secs_f64() - account.granted.sum_of_last(AHEAD, now);
        let extra = f64::from(ask.extra).min(room).min(pace - units);
        units += extra.max(0.0).floor();
        account.granted.add(units, now);
        let is_filling = lent < share * window.as_secs_f64() * FILLED;
        let wait = if !is_over {
            Duration::ZERO
        } else if missing <= 0.0 {
            // There is room, and the pace leaves it for later.
            bounded(account.refused / pace)
        } else if is_filling && rate * share > 0.0 {
            bounded((missing + account.refused) / (rate * share))
        } else {
            account
                .granted
                .until_gone(missing + account.refused, window, now)
        };
        Grant {
            organisation: Arc::clone(&ask.organisation),
            units: units as u32,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        }
    }

    fn account(&mut self, ask: &Ask) -> &mut Account {
        let name = Arc::clone(&ask.organisation);
        self.accounts.entry(name).or_default()
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
        // A long pause is counted slot by slot, as it counts in the windows.
        while self.at < until {
            let next = Slots::end(self.at).min(until);
            let seconds = next.since(self.at).as_secs_f64();
            self.lent.add(share * seconds, self.at);
            self.at = next;
        }
    }
}

impl Account {
    fn refuse(&mut self, need: f64, rate: f64, now: Moment) {
        let since = now.since(self.refused_at).as_secs_f64();
        let left = (self.refused - since * rate).max(0.0);
        self.refused = (left + need).min(rate * COME_BACK_S);
        self.refused_at = now;
    }
}

/// Makes a time to come back of seconds.
fn bounded(seconds: f64) -> Duration {
    wait(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// Bounds a time to come back.
pub(crate) fn wait(wait: Duration) -> Duration {
    let [shortest, longest] = WAITS;
    wait.clamp(shortest, longest)
}
