//! Which requests crash the endpoints that run them.
//!
//! Pure state: callers pass the time in and carry the messages. Instances agree on what a request and a
//! crash are called, so that what several saw of one crash counts once.

mod breaks;
mod crash;
mod entry;
mod fingerprint;
mod quarantine;

pub use breaks::{Breaks, Diagnosis, Finding, Suspect};
pub use crash::Crash;
pub use entry::{Entry, THRESHOLD};
pub use fingerprint::{Fingerprint, Malformed};
pub use quarantine::{Change, PARTS, Quarantine, Status};
