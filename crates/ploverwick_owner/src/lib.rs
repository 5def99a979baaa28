//! Ownership of endpoints: which instance owns an endpoint, and how the owner schedules it.
//!
//! [`ownership`] folds the log's stream of claims into the current owners and their permissions.
//! [`tenure`] tracks the period in which one instance owns an endpoint. [`endpoint`] holds the
//! request queue, the adapter slots and the dispatch of one endpoint. All three are deterministic
//! state machines: they take events with their times and return actions. They perform no I/O and
//! read no clock.

pub mod endpoint;
pub mod ownership;
pub mod record;
pub mod tenure;
