//! The gateway daemon in front of the users' platform.
//!
//! Thin tasks around the crates that make the decisions: controllers follow the platform's store and update the
//! shared state, and a chain of filters takes each request from a client to an endpoint and back.

mod broadcast;
pub mod clock;
mod connection;
mod controllers;
mod daemon;
mod early_answer;
mod filters;
mod front;
mod incarnations;
mod informational;
mod listen;
mod logging;
mod memory;
mod messages;
pub mod metrics;
mod origin_lookups;
mod outbox;
mod pool;
pub mod quarantine;
mod quarantine_updates;
mod ready;
mod relay;
mod shared;
mod snapshots;
mod state;
pub mod table;
mod topics;

pub use daemon::{Daemon, run};
pub use logging::set_up as set_up_logs;
