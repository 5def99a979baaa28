//! Timeout for an answer, after which the request is sent to another endpoint.

use std::time::Duration;

/// The shortest timeout. A healthy endpoint answers sooner, whatever the latency objective.
const MIN_TIMEOUT: Duration = Duration::from_millis(120);
/// The multiple of the expected time that an answer may take. The known load of an endpoint is about
/// 100 ms old, and the endpoint generates tokens for other requests while it reads a prompt.
const EXPECTED_FACTOR: u32 = 3;
/// The longest timeout, as a multiple of the latency objective. Clients disconnect after four objectives.
const MAX_OBJECTIVES: u32 = 3;

/// Returns the timeout for an answer of a brittle endpoint. Whoever gives an answer up leaves a slot unused, since the
/// endpoint may still run the request, and takes another one.
pub fn brittle_answer_timeout(objective: Duration) -> Duration {
    objective.max(MIN_TIMEOUT) * MAX_OBJECTIVES
}

/// Returns the timeout for an answer that is expected to begin after `expected`.
///
/// A healthy endpoint that is reading long prompts answers within the timeout; retrying earlier would make
/// a second endpoint read the same prompt. An endpoint that is expected to answer immediately but misses
/// its objective is probably unhealthy.
pub fn answer_timeout(objective: Duration, expected: Duration) -> Duration {
    let min = objective.max(MIN_TIMEOUT);
    (expected * EXPECTED_FACTOR).clamp(min, min * MAX_OBJECTIVES)
}
