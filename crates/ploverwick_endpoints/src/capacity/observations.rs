//! Observations of the speed of endpoints, as instances send them to placers, and the figures that placers return.

use std::ops::Add;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::Capacity;
use super::log_byte::LogByte;
use super::rate::Sums;

/// The prompt tokens that say as much as one generation step.
const TOKENS_PER_STEP: u32 = 10;
/// The unit of the rates in a figure, in milliseconds.
const RATE_UNIT_MS: f64 = 1e-4;

/// Stands for the identifier of an endpoint, which takes four times as many bytes, in messages between instances.
/// Two of 870 endpoints share one with a probability of 1 in 10,000; they are then estimated together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndpointKey([u8; 4]);

impl EndpointKey {
    /// Returns the key of an identifier: the low 32 bits of its XXH3 hash.
    pub fn of(id: &str) -> Self {
        let [a, b, c, d, ..] = xxh3_64(id.as_bytes()).to_le_bytes();
        Self([a, b, c, d])
    }
}

/// Sums of what was observed at an endpoint.
///
/// Sums of several instances are added, so that each observation has the same weight, wherever it was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Observations {
    /// The prompt tokens that were read.
    pub read_tokens: u32,
    /// The time until they were read, in milliseconds.
    pub read_ms: u32,
    /// The generation steps that this time includes.
    pub read_steps: u32,
    /// The generation steps without prompts to read.
    pub steps: u32,
    /// The time that these steps took, in milliseconds.
    pub steps_ms: u32,
}

impl Observations {
    /// Returns whether nothing was observed.
    pub fn is_empty(&self) -> bool {
        self.read_tokens == 0 && self.steps == 0
    }

    /// Returns how much work was observed, in prompt tokens. It does not depend on the speed, so that observations
    /// of a slow endpoint are not sent ahead of others.
    pub(crate) fn amount(&self) -> u32 {
        let steps = self.steps.saturating_mul(TOKENS_PER_STEP);
        self.read_tokens.saturating_add(steps)
    }

    pub(crate) fn reads(&self) -> Sums {
        Sums {
            units: self.read_tokens.into(),
            ms: self.read_ms.into(),
            steps: self.read_steps.into(),
        }
    }

    pub(crate) fn steps(&self) -> Sums {
        Sums {
            units: self.steps.into(),
            ms: self.steps_ms.into(),
            steps: 0.0,
        }
    }
}

impl Add for Observations {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            read_tokens: self.read_tokens.saturating_add(other.read_tokens),
            read_ms: self.read_ms.saturating_add(other.read_ms),
            read_steps: self.read_steps.saturating_add(other.read_steps),
            steps: self.steps.saturating_add(other.steps),
            steps_ms: self.steps_ms.saturating_add(other.steps_ms),
        }
    }
}

/// The observations of one instance at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointObservations {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// What was observed.
    pub observations: Observations,
}

/// The learned speed of an endpoint, rounded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Figure {
    /// The endpoint.
    pub endpoint: EndpointKey,
    read: LogByte,
    step: LogByte,
}

impl Figure {
    pub(crate) fn new(endpoint: EndpointKey, capacity: Capacity) -> Self {
        Self {
            endpoint,
            read: LogByte::round(capacity.read_ms, RATE_UNIT_MS),
            step: LogByte::round(capacity.step_ms, RATE_UNIT_MS),
        }
    }

    /// Returns the speed.
    pub fn capacity(&self) -> Capacity {
        Capacity {
            read_ms: self.read.value(RATE_UNIT_MS),
            step_ms: self.step.value(RATE_UNIT_MS),
        }
    }
}

/// Rounds to whole milliseconds.
pub(crate) fn whole_ms(time: Duration) -> u32 {
    (time.as_secs_f64() * 1_000.0).round() as u32
}
