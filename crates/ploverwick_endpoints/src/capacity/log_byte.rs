//! Positive numbers in one byte each, on a logarithmic scale.

use serde::{Deserialize, Serialize};

/// The ratio between neighbouring values. The rounding error is at most half of it, 4 %.
const RATIO: f64 = 1.08;

/// A positive number as a power of [`RATIO`]; 0 stands for zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LogByte(u8);

impl LogByte {
    /// Rounds a number. `unit` is the smallest number that is not rounded to zero, and the largest is some
    /// 300 million times as much.
    pub fn round(value: f64, unit: f64) -> Self {
        if value < unit {
            return Self(0);
        }
        let exponent = (value / unit).log(RATIO).round();
        Self((1.0 + exponent).clamp(1.0, f64::from(u8::MAX)) as u8)
    }

    /// Returns the number that was rounded with this `unit`.
    pub fn value(self, unit: f64) -> f64 {
        match self.0.checked_sub(1) {
            None => 0.0,
            Some(exponent) => unit * RATIO.powi(exponent.into()),
        }
    }
}
