//! Names of HTTP headers.

/// A result code's number, on answers to callers.
pub const CODE: &str = "ploverwick-code";
/// Milliseconds that a request may still take, relative to its arrival.
pub const DEADLINE_MS: &str = "ploverwick-deadline-ms";
/// The fencing token of the owner that gives an order.
pub const FENCING_TOKEN: &str = "ploverwick-fencing-token";
/// The hall that a request comes from.
pub const HALL: &str = "ploverwick-hall";
/// The caller's key by which repeats of a request are recognised.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// An endpoint's incarnation, on its answers.
pub const INCARNATION: &str = "ploverwick-incarnation";
/// When an idempotency key was made, in milliseconds since the Unix epoch.
pub const KEY_TIME: &str = "ploverwick-key-time";
/// The number of the last event that the caller has.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// The model that a request is for, or that an answer comes from.
pub const MODEL: &str = "ploverwick-model";
/// Marks a request that must not run twice, with the value `true`.
pub const NON_IDEMPOTENT: &str = "ploverwick-non-idempotent";
/// Marks an endpoint's refusal of a request that it did not run, with the value `true`.
pub const NOT_RUN: &str = "ploverwick-not-run";
/// The priority of a request, 0 to 9.
pub const PRIORITY: &str = "ploverwick-priority";
/// A request's identifier over all processes.
pub const REQUEST: &str = "ploverwick-request";
/// The sender's hybrid logical clock.
pub const STAMP: &str = "ploverwick-stamp";
