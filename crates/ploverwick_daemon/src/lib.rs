//! The daemon: a thin layer of async tasks around the crates that make the decisions.
//!
//! A request passes a [`chain`] of filters, and [`relay`] then forwards it to the owner of an
//! endpoint. The [`controllers`] maintain the state shared between daemons, one for each kind of
//! state. The decision logic is in the crates `ploverwick_owner`, `ploverwick_claims`,
//! `ploverwick_members`, `ploverwick_table` and `ploverwick_placement`.

mod admin;
mod budget;
mod chain;
mod commands;
mod controllers;
mod daemon;
mod entry;
mod idempotency;
mod listing;
mod lock;
pub mod logging;
mod node;
mod owner;
mod ownership;
mod peer;
mod peer_connections;
mod relay;
mod reply;
mod response;
mod route;
mod scribes;
mod service;
pub mod status;

pub use daemon::{Daemon, StartError};
