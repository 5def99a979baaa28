//! Names of HTTP headers.

/// The numeric result code, in responses to callers.
pub const CODE: &str = "ploverwick-code";
/// The time left until the request's deadline, in milliseconds from its arrival.
pub const DEADLINE_MS: &str = "ploverwick-deadline-ms";
/// The fencing token of the owner that sends an order.
pub const FENCING_TOKEN: &str = "ploverwick-fencing-token";
/// The hall that a request comes from.
pub const HALL: &str = "ploverwick-hall";
/// The caller's idempotency key, used to detect repeated requests.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// An endpoint's incarnation, in its responses.
pub const INCARNATION: &str = "ploverwick-incarnation";
/// The creation time of an idempotency key, in milliseconds since the Unix epoch.
pub const KEY_TIME: &str = "ploverwick-key-time";
/// The number of the last event that the caller has received.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// The model that a request is for, or that produced a response.
pub const MODEL: &str = "ploverwick-model";
/// Set to `true` on a request that must not run twice.
pub const NON_IDEMPOTENT: &str = "ploverwick-non-idempotent";
/// Set to `true` by an endpoint that refused a request without running it.
pub const NOT_RUN: &str = "ploverwick-not-run";
/// The priority of a request, 0 to 9.
pub const PRIORITY: &str = "ploverwick-priority";
/// The request identifier, shared by all processes.
pub const REQUEST: &str = "ploverwick-request";
/// The sender's hybrid logical clock timestamp.
pub const STAMP: &str = "ploverwick-stamp";
