//! Parts of prompts that crash the endpoints that run them.
//!
//! Requests share parts of their prompts. If one of the parts crashes endpoints, all requests that share it do, whatever
//! else they hold, and no two of them need to be alike.
//!
//! Several requests run at an endpoint when it crashes, and each shares parts with others. A part is blamed if the
//! endpoints crashed in [`CRASH_THRESHOLD`](crate::CRASH_THRESHOLD) rounds and no request that shares it succeeded
//! meanwhile. A round is a crash under an answer that began when the crash of the round before was known. Endpoints
//! that crash together, such as those of a failure domain that is lost, are one round, however many they are: they say as
//! much about a common part as a single one.
//!
//! A part that is common, such as the first of all prompts, stands in each of these crashes too. Usually other
//! requests that share it succeed between two of them. If there are few, both parts reach the threshold with the same
//! crashes. Then only requests that share both are refused, and the next request that shares one of them distinguishes
//! them: its success clears a part that is sound, and its crash is one that the other part does not explain.

mod caller;
mod entry;
mod part;
mod quarantine;
mod tally;

pub use caller::Caller;
pub use entry::{Entry, Observed};
pub use part::{InvalidPart, MAX_PARTS, Part};
pub use quarantine::{Knowledge, Known, Quarantine, Verdict};
pub use tally::Tally;
