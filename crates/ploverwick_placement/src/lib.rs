//! Chooses instances and endpoints by weighted rendezvous hashing.
//!
//! Every process that knows the same candidates makes the same choice without communication, and
//! adding or removing a candidate moves only that candidate's share of the keys. The hash is 64-bit
//! XXH3 and part of the protocol between instances: changing it moves every key.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The hash seed, which makes these choices independent of other uses of XXH3.
const SEED: u64 = 0x70_6c_6f_76_65_72;

/// The number of distinct fractions that a hash is reduced to: 2^53, the precision of an `f64`.
const FRACTIONS: f64 = (1_u64 << 53) as f64;
const FRACTION_SHIFT: u32 = 64 - 53;

/// A candidate that may be chosen for a key.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate<'a> {
    /// The candidate's name.
    pub name: &'a str,
    /// The candidate's share of the keys relative to the others; must be greater than 0.
    pub weight: f64,
}

/// Creates candidates with equal weights.
pub fn equally_weighted<'a>(names: impl IntoIterator<Item = &'a str>) -> Vec<Candidate<'a>> {
    let names = names.into_iter();
    names.map(|name| Candidate { name, weight: 1.0 }).collect()
}

/// Returns a candidate's score for a key; the candidate with the highest score is chosen.
pub fn score(key: &str, candidate: &Candidate<'_>) -> f64 {
    let key_hash = xxh3_64_with_seed(key.as_bytes(), SEED);
    score_hashed(key_hash, candidate)
}

fn score_hashed(key_hash: u64, candidate: &Candidate<'_>) -> f64 {
    let hash = xxh3_64_with_seed(candidate.name.as_bytes(), key_hash);
    // Adding 0.5 keeps the fraction inside (0, 1), where the logarithm is finite and negative.
    let fraction = ((hash >> FRACTION_SHIFT) as f64 + 0.5) / FRACTIONS;
    -candidate.weight / fraction.ln()
}

/// Returns the index of the candidate chosen for a key; `None` without candidates.
pub fn choose(key: &str, candidates: &[Candidate<'_>]) -> Option<usize> {
    let key_hash = xxh3_64_with_seed(key.as_bytes(), SEED);
    let scored = candidates.iter().enumerate();
    scored
        .map(|(index, candidate)| (score_hashed(key_hash, candidate), index))
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, index)| index)
}

/// Returns the indexes of the `count` highest-scoring candidates for a key, best first.
pub fn rank(key: &str, candidates: &[Candidate<'_>], count: usize) -> Vec<usize> {
    let key_hash = xxh3_64_with_seed(key.as_bytes(), SEED);
    let mut scored: Vec<(f64, usize)> = candidates
        .iter()
        .enumerate()
        .map(|(index, candidate)| (score_hashed(key_hash, candidate), index))
        .collect();
    let count = count.min(scored.len());
    if count == 0 {
        return Vec::new();
    }
    scored.select_nth_unstable_by(count - 1, |a, b| b.0.total_cmp(&a.0));
    scored.truncate(count);
    scored.sort_by(|a, b| b.0.total_cmp(&a.0));
    scored.into_iter().map(|(_, index)| index).collect()
}
