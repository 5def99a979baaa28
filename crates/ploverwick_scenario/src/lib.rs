//! Deterministic simulations of the decision crates, driven by scripts and by randomly generated
//! faults.
//!
//! Each simulation runs the production state machines of several daemons against a fake log and,
//! for ownership, a fake engine, under a simulated clock. It checks the invariants after every
//! step. [`Disabled`](owners::Disabled) names a mechanism to disable, to prove that the checks
//! detect its absence.

pub mod claims;
pub mod explore;
pub mod owners;
pub mod script;
pub mod table;
