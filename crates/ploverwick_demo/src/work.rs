//! Generates mixed requests with a Zipf distribution over adapters.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Zipf};

use crate::fleet::BASE;

/// The exponent of the Zipf distribution of adapter popularity.
const ZIPF_EXPONENT: f64 = 1.1;
const MIN_TOKENS: usize = 4;
const MAX_TOKENS: usize = 24;

/// A piece of work: a request that callers may send in several attempts.
#[derive(Debug, Clone)]
pub struct Work {
    /// The identifier of the work over all attempts.
    pub tag: String,
    /// The adapter.
    pub adapter: String,
    /// The requested version; `None` for the pinned one.
    pub version: Option<String>,
    /// The requested number of tokens.
    pub tokens: usize,
    /// Whether to request a stream.
    pub stream: bool,
    /// Whether the work may run at most once.
    pub non_idempotent: bool,
    /// Whether a second caller sends the same work to another daemon at the same time.
    pub duplicated: bool,
}

impl Work {
    /// Returns the requested model.
    pub fn model(&self) -> String {
        match &self.version {
            Some(version) => format!("{BASE}:{}@{version}", self.adapter),
            None => format!("{BASE}:{}", self.adapter),
        }
    }

    /// Returns the text of the complete response.
    pub fn expected_text(&self) -> String {
        let tokens = (0..self.tokens).map(|index| format!("{}:{index} ", self.adapter));
        tokens.collect()
    }
}

/// Returns the name of the adapter at `index`.
pub fn adapter_name(index: usize) -> String {
    format!("school-{index:03}")
}

/// Generates `count` requests over `adapters` adapters.
///
/// # Panics
/// Panics if `adapters` is 0.
pub fn generate(seed: u64, count: usize, adapters: usize) -> Vec<Work> {
    let mut rng = StdRng::seed_from_u64(seed);
    let popularity = Zipf::new(adapters as f64, ZIPF_EXPONENT).expect("there is an adapter");
    let work = (0..count).map(|index| {
        let rank = popularity.sample(&mut rng) as usize;
        let non_idempotent = rng.random_bool(0.2);
        Work {
            tag: format!("work-{seed}-{index}"),
            adapter: adapter_name(rank.clamp(1, adapters) - 1),
            version: rng.random_bool(0.8).then(|| "v1".to_owned()),
            tokens: rng.random_range(MIN_TOKENS..=MAX_TOKENS),
            stream: rng.random_bool(0.5),
            non_idempotent,
            duplicated: non_idempotent && rng.random_bool(0.3),
        }
    });
    work.collect()
}
