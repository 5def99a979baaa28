//! Which requests end the endpoints that run them.
//!
//! Pure state: callers pass the time in and carry the messages. Instances agree on what a request and a
//! crash are called, so that what several saw of one crash counts once.

mod breaks;
mod case;
mod crash;
mod fingerprint;
mod quarantine;

pub use breaks::{Breaks, Finding, Proof, Suspect};
pub use case::{Case, PROOF};
pub use crash::Crash;
pub use fingerprint::{Fingerprint, Malformed};
pub use quarantine::{Change, PARTS, Quarantine, Standing};
