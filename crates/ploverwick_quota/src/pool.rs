//! The parts that instances lent to this one, and what it grants from them.

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;
use ploverwick_routes::Quota;

use crate::{AHEAD, Ask, Given, Lend};

/// The seconds of its rate that a quota without a burst may save: less than one request would never pass.
const LEAST_BURST_S: f64 = 0.25;
/// The part of what may be saved above which more is granted than waiting requests need. Below it an
/// organisation nears its quota, and what lies unused at one instance is missing at another.
const PLENTY: f64 = 0.5;
/// The part of a quota from which on a pool lets a request pass that is larger than can be saved up, and
/// leaves a debt. Many small pools would each leave one.
const LARGE: f64 = 0.5;
/// The shortest and the longest time after which a refused request is asked to come back.
const WAITS: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(30)];
/// The seconds of its rate for which an organisation's refused requests count as coming back: most clients
/// wait no longer.
const COME_BACK_S: f64 = 3.0;

#[derive(Debug, Clone, Copy)]
struct Lender {
    part: f64,
    until: Moment,
}

/// What one organisation may use.
#[derive(Debug, Clone, Copy, Default)]
struct Level {
    /// The units that may be granted; below 0 after a request that is larger than what can be saved.
    units: f64,
    /// The pool's seconds when that was worked out.
    at: f64,
    /// The units that were refused, less what there was room for since.
    refused: f64,
}

/// The parts that instances lent.
#[derive(Debug, Default)]
pub struct Pool {
    lenders: BTreeMap<IpAddr, Lender>,
    /// Seconds for which whole quotas were lent: a quota of which half is lent for two seconds counts one.
    seconds: f64,
    at: Moment,
    levels: HashMap<Arc<str>, Level>,
}

impl Pool {
    /// Takes in what `from` lends, and returns whether it lends anything.
    pub fn lend(&mut self, from: IpAddr, lend: &Lend, now: Moment) -> bool {
        self.advance(now);
        if lend.lent_ms == 0 {
            self.lenders.remove(&from);
            return false;
        }
        let lender = Lender {
            part: 1.0 / f64::from(lend.sharers.max(1)),
            until: now + Duration::from_millis(lend.lent_ms.into()),
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
    pub fn ask(&mut self, ask: &Ask, quota: &Quota, now: Moment) -> Given {
        self.advance(now);
        let share = self.share();
        let most = most(quota) * share;
        let rate = quota.rate * share;
        let level = self.level(ask, quota.rate, most);
        let mut units = 0.0;
        let mut missing: f64 = 0.0;
        for need in &ask.needs {
            let need = f64::from(*need);
            // What is larger than can be saved up waits until all is saved.
            let least = if share >= LARGE { need.min(most) } else { need };
            if least > 0.0 && level.units >= least {
                level.units -= need;
                units += need;
            } else {
                missing = missing.max(least - level.units);
                level.refused = (level.refused + need).min(rate * COME_BACK_S);
            }
        }
        let room = level.units - most * PLENTY;
        let extra = f64::from(ask.extra).min(room).max(0.0).floor();
        level.units -= extra;
        let wait = if missing > 0.0 {
            wait((missing + level.refused) / rate)
        } else {
            Duration::ZERO
        };
        Given {
            organisation: Arc::clone(&ask.organisation),
            units: (units + extra) as u32,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Works out an organisation's level. What was never asked for was saved up since the pool began.
    fn level(&mut self, ask: &Ask, rate: f64, most: f64) -> &mut Level {
        let seconds = self.seconds;
        let level = self
            .levels
            .entry(Arc::clone(&ask.organisation))
            .or_default();
        let more = (seconds - level.at) * rate;
        level.at = seconds;
        level.units = (level.units + more + f64::from(ask.unused)).min(most);
        level.refused = (level.refused - more).max(0.0);
        level
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
        self.seconds += self.share() * until.since(self.at).as_secs_f64();
        self.at = self.at.max(until);
    }
}

/// Returns the most units that can be saved up: with the burst what lies unused at instances, where it was
/// granted ahead and is missing to others.
fn most(quota: &Quota) -> f64 {
    quota.burst.max(quota.rate * LEAST_BURST_S) + quota.rate * AHEAD.as_secs_f64()
}

/// Makes a time to come back of seconds.
pub(crate) fn wait(seconds: f64) -> Duration {
    let [shortest, longest] = WAITS;
    let seconds = if seconds.is_finite() {
        seconds
    } else {
        longest.as_secs_f64()
    };
    Duration::from_secs_f64(seconds.clamp(shortest.as_secs_f64(), longest.as_secs_f64()))
}
