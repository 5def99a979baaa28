//! When a refused request is asked to come back.

use std::time::Duration;

/// The shortest and the longest time that is said.
const BOUNDS: [Duration; 2] = [Duration::from_millis(50), Duration::from_secs(30)];

/// Makes a hint of seconds.
pub(crate) fn of_seconds(seconds: f64) -> Duration {
    of(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// Makes a hint of a time.
pub(crate) fn of(wait: Duration) -> Duration {
    let [shortest, longest] = BOUNDS;
    wait.clamp(shortest, longest)
}
