//! Detection of requests that crash the endpoints that run them.
//!
//! What crashes an endpoint is either a whole request, which callers send again ([`Quarantine`]), or a part of the
//! prompts of many requests, no two of them alike ([`prompt::Quarantine`]).
//!
//! This crate holds state only: callers pass in the time and transport the messages. All instances derive the same
//! identifiers for a request and for a crash, so that a crash that several instances observed counts once.

mod broken_connections;
mod crash;
mod entry;
mod fingerprint;
mod ledger;
mod observation;
pub mod prompt;
mod quarantine;

pub use broken_connections::{BrokenConnections, Diagnosis, Finding, Suspect};
pub use crash::Crash;
pub use entry::{CRASH_THRESHOLD, Entry};
pub use fingerprint::{Fingerprint, InvalidFingerprint};
pub use ledger::{Change, DIGEST_BUCKETS, Evidence, Ledger, Status};
pub use observation::Observation;
pub use quarantine::Quarantine;
