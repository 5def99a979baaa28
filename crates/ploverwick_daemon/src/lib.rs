//! The daemon: a thin shell of tasks around the decision crates.
//!
//! Requests pass a [`chain`] of filters and are then relayed by [`relay`] to the owner of an
//! endpoint. State is kept by a set of [`controllers`], one for each thing that daemons agree on.
//! What is decided, and why, stands in the crates `ploverwick_owner`, `ploverwick_claims`,
//! `ploverwick_members`, `ploverwick_table` and `ploverwick_placement`.

mod admin;
mod answer;
mod budget;
mod chain;
mod commands;
mod controllers;
mod daemon;
mod entry;
mod joining;
mod links;
mod listing;
mod lock;
pub mod logging;
mod node;
mod owner;
mod ownership;
mod peer;
mod relay;
mod reply;
mod route;
mod scribes;
mod service;
pub mod status;

pub use daemon::{Daemon, StartError};
