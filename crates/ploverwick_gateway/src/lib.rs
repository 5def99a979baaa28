//! The daemon in front of the users' platform.
//!
//! Thin tasks around the decision crates: controllers follow the platform's store and keep the
//! shared state, a chain of filters takes each request from a client to an endpoint and back.

mod broadcast;
pub mod clock;
mod connection;
mod controllers;
mod daemon;
mod filters;
mod front;
mod handover;
mod journal;
mod listen;
mod lives;
mod mail;
pub mod metrics;
mod outbox;
mod pool;
pub mod quarantine;
mod quarantine_news;
mod ready;
mod shared;
mod state;
pub mod table;
mod topics;

pub use daemon::{Daemon, run};
pub use journal::set_up as set_up_logs;
