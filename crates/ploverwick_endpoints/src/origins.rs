//! The builds that began streams, and the instances that keep them.
//!
//! The instance that forwarded the first event of a stream knows its origin. It sends it to a few others, the holders,
//! so that the client may take the stream up again at any instance.

use std::cmp::Ordering;
use std::collections::{BTreeSet, HashMap};

use ploverwick_names::Moment;
use ploverwick_placement::score;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Build;

/// The largest number of origins that an instance keeps, enough for 800 streams a second that clients may take up
/// again for 20 s. The origins of other instances must not fill the memory of this one.
pub const MAX_ORIGINS: usize = 16_384;
/// The largest number of holders of an origin. Clients take their streams up again although some holders are gone.
pub const MAX_HOLDERS: usize = 4;

/// A client's attempt at a request, as instances exchange it: the 64-bit XXH3 hash of the attempt's identifier. The
/// algorithm is part of the protocol between instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Attempt(u64);

impl Attempt {
    /// Returns the attempt with this identifier.
    pub fn of(id: &str) -> Self {
        Self(xxh3_64(id.as_bytes()))
    }
}

#[derive(Debug)]
struct Origin {
    build: Build,
    /// When the client no longer takes the stream up again.
    expires: Moment,
}

/// The origins of streams that clients may take up again; at most [`MAX_ORIGINS`].
#[derive(Debug, Default)]
pub struct Origins {
    origins: HashMap<Attempt, Origin>,
    by_expiry: BTreeSet<(Moment, Attempt)>,
}

impl Origins {
    /// Adds the origin of an attempt until it expires. If the attempt has an origin, that stays, and expires later if this is
    /// the same one.
    ///
    /// If there are too many, removes the one that expires first, which may be the new one.
    pub fn insert(&mut self, attempt: Attempt, build: Build, expires: Moment, now: Moment) {
        if expires <= now {
            return;
        }
        self.remove_expired(now);
        if let Some(known) = self.origins.get(&attempt) {
            if known.build != build || known.expires >= expires {
                return;
            }
            self.by_expiry.remove(&(known.expires, attempt));
        }
        self.origins.insert(attempt, Origin { build, expires });
        self.by_expiry.insert((expires, attempt));
        if self.by_expiry.len() > MAX_ORIGINS {
            self.remove_first();
        }
    }

    /// Returns the build that began the stream of an attempt, unless it is unknown or has expired.
    pub fn get(&self, attempt: Attempt, now: Moment) -> Option<Build> {
        let origin = self.origins.get(&attempt)?;
        (now < origin.expires).then_some(origin.build)
    }

    /// Returns the origins that have not expired and when they do, in the order in which they do.
    pub fn live(&self, now: Moment) -> impl Iterator<Item = (Attempt, Build, Moment)> {
        let live = self
            .by_expiry
            .iter()
            .skip_while(move |(expires, _)| *expires <= now);
        live.map(|(expires, attempt)| (*attempt, self.origins[attempt].build, *expires))
    }

    /// Removes the origins that have expired.
    pub fn remove_expired(&mut self, now: Moment) {
        while self
            .by_expiry
            .first()
            .is_some_and(|(expires, _)| *expires <= now)
        {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        if let Some((_, attempt)) = self.by_expiry.pop_first() {
            self.origins.remove(&attempt);
        }
    }

    /// Returns the number of origins, including those that have expired since the last change.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Returns whether there are no origins.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }
}

/// An instance that may keep the origin of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The name of the instance.
    pub name: &'a str,
    /// The failure domain of the instance.
    pub domain: &'a str,
}

/// Returns the names of the instances that keep the origin of an attempt; at most [`MAX_HOLDERS`].
///
/// Instances that pass the same candidates, in any order, get the same holders; the caller's own instance must
/// therefore be among them. Failure domains take turns, each with its candidate that ranks next.
pub fn holders<'a>(
    attempt: Attempt,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Vec<&'a str> {
    let mut turns: HashMap<&str, usize> = HashMap::new();
    let mut ranked: Vec<(usize, &str)> = rank(attempt, candidates)
        .into_iter()
        .map(|candidate| {
            let next_turn = turns.entry(candidate.domain).or_default();
            let turn = *next_turn;
            *next_turn += 1;
            (turn, candidate.name)
        })
        .collect();
    // The sort is stable, so candidates stay ranked within each turn.
    ranked.sort_by_key(|(turn, _)| *turn);
    let names = ranked.into_iter().map(|(_, name)| name);
    names.take(MAX_HOLDERS).collect()
}

/// Returns the candidates by rendezvous rank, best first, each name once.
fn rank<'a>(
    attempt: Attempt,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Vec<Candidate<'a>> {
    let key = format!("{:016x}", attempt.0);
    let mut scored: Vec<(f64, Candidate<'a>)> = candidates
        .map(|candidate| (score_of(&key, candidate), candidate))
        .collect();
    scored.sort_unstable_by(best_first);
    scored.dedup_by_key(|(_, candidate)| candidate.name);
    scored.into_iter().map(|(_, candidate)| candidate).collect()
}

fn score_of(key: &str, candidate: Candidate<'_>) -> f64 {
    let candidate = ploverwick_placement::Candidate {
        name: candidate.name,
        weight: 1.0,
    };
    score(key, &candidate)
}

fn best_first(a: &(f64, Candidate<'_>), b: &(f64, Candidate<'_>)) -> Ordering {
    let by_score = b.0.total_cmp(&a.0);
    // Equal scores must not leave the order to that of the candidates.
    by_score.then_with(|| (a.1.name, a.1.domain).cmp(&(b.1.name, b.1.domain)))
}
