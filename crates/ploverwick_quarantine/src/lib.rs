//! Detection of requests that crash the endpoints that run them.
//!
//! This crate holds state only: callers pass in the time and transport the messages. All instances derive the same
//! identifiers for a request and for a crash, so that a crash that several instances observed counts once.

mod broken_connections;
mod crash;
mod entry;
mod fingerprint;
mod observation;
mod part;
mod quarantine;
mod tally;

pub use broken_connections::{BrokenConnections, Diagnosis, Finding, Suspect};
pub use crash::Crash;
pub use entry::{CRASH_THRESHOLD, Entry};
pub use fingerprint::{Fingerprint, InvalidFingerprint};
pub use observation::Observation;
pub use part::{InvalidPart, MAX_PARTS, Part};
pub use quarantine::{Change, DIGEST_BUCKETS, Quarantine, Status};
pub use tally::Tally;
