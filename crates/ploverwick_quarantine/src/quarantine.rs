//! The requests that endpoints ended under, and those that are refused for it.

use std::collections::HashMap;
use std::time::Duration;

use ploverwick_names::Moment;

use crate::{Case, Crash, Fingerprint, PROOF};

/// The most requests that are remembered: some 100 bytes each, 0.4 MB. Thirty endpoints that end at once with
/// sixty requests each add 1,800.
const MOST: usize = 4_096;
/// The parts in which instances compare what they hold, so that a lost message costs the repeat of a part.
pub const PARTS: usize = 16;

/// What follows for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing is held against it.
    Clear,
    /// So many endpoints ended under it.
    Suspected(usize),
    /// It is refused.
    Refused,
}

impl Standing {
    /// Returns whether the system may send it to a second endpoint of its own accord. If one more crash
    /// would prove it, the caller has to ask again: it is the caller's request that is at stake then.
    pub fn may_repeat(self) -> bool {
        match self {
            Self::Clear => true,
            Self::Suspected(crashes) => crashes + 1 < PROOF,
            Self::Refused => false,
        }
    }
}

/// What a piece of news changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    Known,
    /// Something, and the request is refused or not as before.
    Noted,
    /// The request is refused from now on.
    Refused,
    /// The request is no longer refused.
    Released,
}

#[derive(Debug)]
struct Kept {
    case: Case,
    /// How long ago it last changed when it came here, perhaps before this process started.
    age: Duration,
    /// When it came.
    at: Moment,
    /// Whether this instance has seen one of the crashes itself.
    is_witness: bool,
}

impl Kept {
    fn age(&self, now: Moment) -> Duration {
        self.age + now.since(self.at)
    }

    fn has_lapsed(&self, now: Moment) -> bool {
        self.age(now) >= self.case.lapse()
    }

    /// Returns what is dropped last where there is too much: the same at all instances.
    fn rank(&self) -> (usize, u32, Fingerprint) {
        let case = &self.case;
        (case.crashes.len(), case.clearings, case.fingerprint)
    }
}

/// The requests that endpoints ended under.
#[derive(Debug, Default)]
pub struct Quarantine {
    cases: HashMap<Fingerprint, Kept>,
    /// The sums of the cases' digests, kept up to date: they are compared many times for each change.
    digests: [u64; PARTS],
}

impl Quarantine {
    /// Returns whether nothing is held against any request.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// Counts the requests that are refused.
    pub fn refused(&self) -> usize {
        let cases = self.cases.values();
        cases.filter(|kept| kept.case.is_proved()).count()
    }

    /// Returns what follows for a request.
    pub fn standing(&self, fingerprint: &Fingerprint, now: Moment) -> Standing {
        let kept = self.cases.get(fingerprint);
        let kept = kept.filter(|kept| !kept.has_lapsed(now));
        match kept.map_or(0, |kept| kept.case.crashes.len()) {
            0 => Standing::Clear,
            crashes if crashes < PROOF => Standing::Suspected(crashes),
            _ => Standing::Refused,
        }
    }

    /// Takes in that this instance saw an endpoint end under a request; returns its case, to be told.
    pub fn blame(&mut self, fingerprint: Fingerprint, crash: Crash, now: Moment) -> (Change, Case) {
        let mut case = self.case(&fingerprint, now);
        case.crashes = vec![crash];
        case.age_s = 0;
        let change = self.take(&case, now);
        if let Some(kept) = self.cases.get_mut(&fingerprint) {
            kept.is_witness = true;
        }
        (change, self.case(&fingerprint, now))
    }

    /// Takes in that a request came to a good end, which proves that it need not end what runs it; returns
    /// its case, to be told, if something was held against it.
    pub fn clear(&mut self, fingerprint: &Fingerprint, now: Moment) -> Option<(Change, Case)> {
        if self.standing(fingerprint, now) == Standing::Clear {
            return None;
        }
        let case = self.case(fingerprint, now).cleared();
        let change = self.take(&case, now);
        Some((change, case))
    }

    /// Takes in a case of another instance, or of an earlier life.
    pub fn take(&mut self, case: &Case, now: Moment) -> Change {
        let age = Duration::from_secs(case.age_s.into());
        if age >= case.lapse() {
            return Change::Known;
        }
        let before = self.standing(&case.fingerprint, now);
        let fresh = || Kept {
            case: Case::clear(case.fingerprint),
            age,
            at: now,
            is_witness: false,
        };
        let kept = self.remove(&case.fingerprint);
        let kept = kept.filter(|kept| !kept.has_lapsed(now));
        let mut kept = kept.unwrap_or_else(fresh);
        let has_changed = kept.case.merge(case);
        if has_changed {
            kept.age = kept.age(now).min(age);
            kept.at = now;
        }
        if kept.case != Case::clear(case.fingerprint) {
            self.insert(kept);
        }
        self.bound();
        match (before, self.standing(&case.fingerprint, now)) {
            (Standing::Refused, Standing::Refused) => Change::Known,
            (_, Standing::Refused) => Change::Refused,
            (Standing::Refused, _) => Change::Released,
            _ if has_changed => Change::Noted,
            _ => Change::Known,
        }
    }

    /// Returns whether this instance has seen an endpoint end under a request.
    pub fn is_witness(&self, fingerprint: &Fingerprint) -> bool {
        let kept = self.cases.get(fingerprint);
        kept.is_some_and(|kept| kept.is_witness)
    }

    /// Drops what has lapsed; returns the requests that are no longer refused.
    pub fn sweep(&mut self, now: Moment) -> Vec<Fingerprint> {
        let cases = self.cases.values();
        let lapsed = cases.filter(|kept| kept.has_lapsed(now));
        let lapsed: Vec<Fingerprint> = lapsed.map(|kept| kept.case.fingerprint).collect();
        let dropped = lapsed.iter().filter_map(|lapsed| self.remove(lapsed));
        let released = dropped.filter(|kept| kept.case.is_proved());
        released.map(|kept| kept.case.fingerprint).collect()
    }

    /// Returns a number for each part of the requests; where those of two instances differ, so do cases.
    pub fn digests(&self) -> [u64; PARTS] {
        self.digests
    }

    /// Lists the cases of the parts in which another instance has other digests.
    pub fn differing(&self, other: &[u64; PARTS], now: Moment) -> Vec<Case> {
        if self.digests == *other {
            return Vec::new();
        }
        let cases = self.cases.values();
        let cases = cases.filter(|kept| {
            let part = kept.case.fingerprint.part(PARTS);
            self.digests[part] != other[part]
        });
        cases.map(|kept| aged(kept, now)).collect()
    }

    /// Returns what is held against a request.
    pub fn case(&self, fingerprint: &Fingerprint, now: Moment) -> Case {
        let kept = self.cases.get(fingerprint);
        kept.map_or_else(|| Case::clear(*fingerprint), |kept| aged(kept, now))
    }

    /// Drops those that matter least if there are too many.
    fn bound(&mut self) {
        if self.cases.len() <= MOST {
            return;
        }
        let least = self.cases.values().min_by_key(|kept| kept.rank());
        if let Some(least) = least.map(|kept| kept.case.fingerprint) {
            self.remove(&least);
        }
    }

    fn insert(&mut self, kept: Kept) {
        self.digests[kept.case.fingerprint.part(PARTS)] ^= kept.case.digest();
        self.cases.insert(kept.case.fingerprint, kept);
    }

    fn remove(&mut self, fingerprint: &Fingerprint) -> Option<Kept> {
        let kept = self.cases.remove(fingerprint)?;
        self.digests[fingerprint.part(PARTS)] ^= kept.case.digest();
        Some(kept)
    }
}

fn aged(kept: &Kept, now: Moment) -> Case {
    let age = kept.age(now).as_secs();
    Case {
        age_s: u32::try_from(age).unwrap_or(u32::MAX),
        ..kept.case.clone()
    }
}
