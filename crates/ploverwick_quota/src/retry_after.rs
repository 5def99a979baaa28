//! The retry delay of a refused request.

use std::time::Duration;

/// The shortest and the longest delay.
const RETRY_AFTER_BOUNDS: [Duration; 2] = [Duration::from_millis(50), Duration::from_secs(30)];

/// Converts seconds to a delay within the bounds.
pub(crate) fn from_secs_f64(seconds: f64) -> Duration {
    clamp(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// Limits a delay to the bounds.
pub(crate) fn clamp(wait: Duration) -> Duration {
    let [shortest, longest] = RETRY_AFTER_BOUNDS;
    wait.clamp(shortest, longest)
}
