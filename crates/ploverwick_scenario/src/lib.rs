//! Small fakes around the decision crates, driven by scripts and by generated faults.
//!
//! Each world holds the real state machines of some daemons, a fake of the log and, for ownership,
//! of one engine, under a clock that moves only when told. It checks the promises after every
//! step. [`Off`](owners::Off) names a mechanism that is switched off, to show that the checks notice.

pub mod claims;
pub mod explore;
pub mod owners;
pub mod script;
pub mod table;
