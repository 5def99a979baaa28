//! Makes up requests: skewed over adapters, mixed in kind.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Zipf};

use crate::fleet::BASE;

/// The exponent of the popularity of adapters.
const SKEW: f64 = 1.1;
const MIN_TOKENS: usize = 4;
const MAX_TOKENS: usize = 24;

/// A request to make.
#[derive(Debug, Clone)]
pub struct Work {
    /// Names the work over all its tries.
    pub tag: String,
    /// The adapter.
    pub adapter: String,
    /// The version to ask for; `None` asks for the pinned one.
    pub version: Option<String>,
    /// The number of tokens to ask for.
    pub tokens: usize,
    /// Whether to ask for a stream.
    pub stream: bool,
    /// Whether the work may run at most once.
    pub non_idempotent: bool,
    /// Whether a second caller asks for the same work at the same time elsewhere.
    pub doubled: bool,
}

impl Work {
    /// Returns the model to ask for.
    pub fn model(&self) -> String {
        match &self.version {
            Some(version) => format!("{BASE}:{}@{version}", self.adapter),
            None => format!("{BASE}:{}", self.adapter),
        }
    }

    /// Returns the text of the whole answer.
    pub fn answer(&self) -> String {
        let tokens = (0..self.tokens).map(|index| format!("{}:{index} ", self.adapter));
        tokens.collect()
    }
}

/// Returns the name of an adapter.
pub fn adapter(index: usize) -> String {
    format!("school-{index:03}")
}

/// Makes up `count` requests over `adapters` adapters.
///
/// # Panics
/// Panics if there are no adapters.
pub fn make(seed: u64, count: usize, adapters: usize) -> Vec<Work> {
    let mut random = StdRng::seed_from_u64(seed);
    let popularity = Zipf::new(adapters as f64, SKEW).expect("there is an adapter");
    let work = (0..count).map(|index| {
        let rank = popularity.sample(&mut random) as usize;
        let non_idempotent = random.random_bool(0.2);
        Work {
            tag: format!("work-{seed}-{index}"),
            adapter: adapter(rank.clamp(1, adapters) - 1),
            version: random.random_bool(0.8).then(|| "v1".to_owned()),
            tokens: random.random_range(MIN_TOKENS..=MAX_TOKENS),
            stream: random.random_bool(0.5),
            non_idempotent,
            doubled: non_idempotent && random.random_bool(0.3),
        }
    });
    work.collect()
}
